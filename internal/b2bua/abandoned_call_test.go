package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
)

// In these tests a caller has abandoned the call, and Transport.Abandoned reports it before the agent receives
// the event.

func TestNoTryStartsForAnAbandonedCall(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	h.abandonedIDs["00000000000003e8"] = true
	call := h.sendSetUp(conn, 1, 1000)
	if call.trySeq != 0 || call.answers != 0 || h.agent.openCalls != 0 {
		t.Fatalf("%+v, %d open", call, h.agent.openCalls)
	}
	h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
	if got := h.sentTo(conn); got != "" {
		t.Fatalf("the caller received %q", got)
	}
}

// Guards against answering a caller that has abandoned the call: a set-up that cannot be carried would otherwise be
// refused at once.
func TestNothingIsSentForAnAbandonedCall(t *testing.T) {
	h := newHarness(t)
	conn := h.connectCaller()
	h.abandonedIDs["00000000000003e8"] = true
	h.sendSetUp(conn, 9, 1000)
	if got := h.sentTo(conn); got != "" || h.agent.openCalls != 0 {
		t.Fatalf("the caller received %q, %d open", got, h.agent.openCalls)
	}
}

// Guards against a call that stays established at its switch without a caller, because the answer goes to a
// connection that has ended.
func TestAbandonedCallIsReleasedWhenAnswered(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	call := h.sendSetUp(conn, 1, 1000)
	h.abandonedIDs[call.id] = true
	h.answer(call, sip.OK)
	if call.switchReleases != 1 || call.answers != 0 || h.agent.establishedCalls != 0 || h.agent.openCalls != 0 {
		t.Fatalf("%+v, %d established, %d open", call, h.agent.establishedCalls, h.agent.openCalls)
	}
	call.abandoned = true
	h.disconnectCaller(conn)
	h.advanceTime(1000)
}

func TestNoFurtherTryStartsForAnAbandonedCall(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	call := h.sendSetUp(h.connectCaller(), 1, 2000)
	h.answer(call, sip.ServerTimeout)
	h.abandonedIDs[call.id] = true
	h.advanceTime(releaseTime + 100)
	if call.trySeq != 1 || call.answers != 0 || h.agent.openCalls != 0 {
		t.Fatalf("%+v, %d open", call, h.agent.openCalls)
	}
}

func TestNoTryStartsOnANewConnectionForAnAbandonedCall(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	for _, conn := range append([]ConnID(nil), h.linkOrder...) {
		h.disconnectLink(conn)
	}
	call := h.sendSetUp(h.connectCaller(), 1, 2000)
	h.abandonedIDs[call.id] = true
	h.completeDials(9, 9)
	if call.trySeq != 0 || call.answers != 0 || h.agent.openCalls != 0 {
		t.Fatalf("%+v, %d open", call, h.agent.openCalls)
	}
}
