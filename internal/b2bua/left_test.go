package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
)

// In these tests a caller has abandoned the call, and Carrier.Left reports it before the agent receives the event.

func TestNoTryBeginsForACallerWhoHasLeft(t *testing.T) {
	r := newHarness(t)
	r.completeDials(9, 9)
	c := r.connectCaller()
	r.abandonedIDs["00000000000003e8"] = true
	k := r.sendSetUp(c, 1, 1000)
	if k.trySeq != 0 || k.answers != 0 || r.agent.openCalls != 0 {
		t.Fatalf("%+v, %d open", k, r.agent.openCalls)
	}
	r.agent.FromCaller(r.now, r.now, c, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: k.id, CSeq: 1})
	if got := r.sentTo(c); got != "" {
		t.Fatalf("the caller received %q", got)
	}
}

// Guards against answering a caller that has left: a set-up that cannot be carried would otherwise be refused at
// once.
func TestNothingIsSentToACallerWhoHasLeft(t *testing.T) {
	r := newHarness(t)
	c := r.connectCaller()
	r.abandonedIDs["00000000000003e8"] = true
	r.sendSetUp(c, 9, 1000)
	if got := r.sentTo(c); got != "" || r.agent.openCalls != 0 {
		t.Fatalf("the caller received %q, %d open", got, r.agent.openCalls)
	}
}

// Guards against a call that stays established at its switch without a caller, because the answer goes to a
// connection that has ended.
func TestCallAnsweredAfterItsCallerHasLeftIsReleasedAtItsSwitch(t *testing.T) {
	r := newHarness(t)
	r.completeDials(9, 9)
	c := r.connectCaller()
	k := r.sendSetUp(c, 1, 1000)
	r.abandonedIDs[k.id] = true
	r.answer(k, sip.OK)
	if k.switchReleases != 1 || k.answers != 0 || r.agent.establishedCalls != 0 || r.agent.openCalls != 0 {
		t.Fatalf("%+v, %d established, %d open", k, r.agent.establishedCalls, r.agent.openCalls)
	}
	k.abandoned = true
	r.disconnectCaller(c)
	r.advanceTime(1000)
}

func TestNoFurtherTryBeginsForACallerWhoHasLeft(t *testing.T) {
	r := newHarness(t)
	r.completeDials(9, 9)
	k := r.sendSetUp(r.connectCaller(), 1, 2000)
	r.answer(k, sip.ServerTimeout)
	r.abandonedIDs[k.id] = true
	r.advanceTime(releaseTime + 100)
	if k.trySeq != 1 || k.answers != 0 || r.agent.openCalls != 0 {
		t.Fatalf("%+v, %d open", k, r.agent.openCalls)
	}
}

func TestNoTryBeginsOnANewConnectionForACallerWhoHasLeft(t *testing.T) {
	r := newHarness(t)
	r.completeDials(9, 9)
	for _, c := range append([]ConnID(nil), r.linkOrder...) {
		r.disconnectLink(c)
	}
	k := r.sendSetUp(r.connectCaller(), 1, 2000)
	r.abandonedIDs[k.id] = true
	r.completeDials(9, 9)
	if k.trySeq != 0 || k.answers != 0 || r.agent.openCalls != 0 {
		t.Fatalf("%+v, %d open", k, r.agent.openCalls)
	}
}
