package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
)

// Here a caller has left, and the agent's carrier knows, before the agent is told.

func TestNoTryBeginsForACallerWhoHasLeft(t *testing.T) {
	r := newRig(t)
	r.dialAll(9, 9)
	c := r.callerUp()
	r.gone["00000000000003e8"] = true
	k := r.offer(c, 1, 1000)
	if k.trySeq != 0 || k.answers != 0 || r.a.open != 0 {
		t.Fatalf("%+v, %d open", k, r.a.open)
	}
	r.a.FromCaller(r.now, r.now, c, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: k.id, CSeq: 1})
	if got := r.sent(c); got != "" {
		t.Fatalf("the caller heard %q", got)
	}
}

// A set-up that cannot be carried would be refused at once, though nothing is owed any more.
func TestNothingIsSentToACallerWhoHasLeft(t *testing.T) {
	r := newRig(t)
	c := r.callerUp()
	r.gone["00000000000003e8"] = true
	r.offer(c, 9, 1000)
	if got := r.sent(c); got != "" || r.a.open != 0 {
		t.Fatalf("the caller heard %q, %d open", got, r.a.open)
	}
}

// Guards against a call that stands at its switch for nobody, since its answer goes to a connection that is known to have ended.
func TestCallAnsweredAfterItsCallerHasLeftIsReleasedAtItsSwitch(t *testing.T) {
	r := newRig(t)
	r.dialAll(9, 9)
	c := r.callerUp()
	k := r.offer(c, 1, 1000)
	r.gone[k.id] = true
	r.answer(k, sip.OK)
	if k.switchReleased != 1 || k.answers != 0 || r.a.standing != 0 || r.a.open != 0 {
		t.Fatalf("%+v, %d stand, %d open", k, r.a.standing, r.a.open)
	}
	k.left = true
	r.callerDown(c)
	r.pass(1000)
}

func TestNoFurtherTryBeginsForACallerWhoHasLeft(t *testing.T) {
	r := newRig(t)
	r.dialAll(9, 9)
	k := r.offer(r.callerUp(), 1, 2000)
	r.answer(k, sip.ServerTimeout)
	r.gone[k.id] = true
	r.pass(releaseTime + 100)
	if k.trySeq != 1 || k.answers != 0 || r.a.open != 0 {
		t.Fatalf("%+v, %d open", k, r.a.open)
	}
}

func TestNoTryBeginsOnANewConnectionForACallerWhoHasLeft(t *testing.T) {
	r := newRig(t)
	r.dialAll(9, 9)
	for _, c := range append([]Conn(nil), r.linkSeq...) {
		r.linkDown(c)
	}
	k := r.offer(r.callerUp(), 1, 2000)
	r.gone[k.id] = true
	r.dialAll(9, 9)
	if k.trySeq != 0 || k.answers != 0 || r.a.open != 0 {
		t.Fatalf("%+v, %d open", k, r.a.open)
	}
}
