package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
)

// In these tests a caller has abandoned the call, and Carrier.Left reports it before the agent receives the event.

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
		t.Fatalf("the caller received %q", got)
	}
}

// Guards against answering a caller that has left: a set-up that cannot be carried would otherwise be refused at
// once.
func TestNothingIsSentToACallerWhoHasLeft(t *testing.T) {
	r := newRig(t)
	c := r.callerUp()
	r.gone["00000000000003e8"] = true
	r.offer(c, 9, 1000)
	if got := r.sent(c); got != "" || r.a.open != 0 {
		t.Fatalf("the caller received %q, %d open", got, r.a.open)
	}
}

// Guards against a call that stays established at its switch without a caller, because the answer goes to a
// connection that has ended.
func TestCallAnsweredAfterItsCallerHasLeftIsReleasedAtItsSwitch(t *testing.T) {
	r := newRig(t)
	r.dialAll(9, 9)
	c := r.callerUp()
	k := r.offer(c, 1, 1000)
	r.gone[k.id] = true
	r.answer(k, sip.OK)
	if k.switchReleased != 1 || k.answers != 0 || r.a.standing != 0 || r.a.open != 0 {
		t.Fatalf("%+v, %d established, %d open", k, r.a.standing, r.a.open)
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
