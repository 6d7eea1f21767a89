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

// Guards against refusing a set-up that crossed the end of its connection and comes again on a new one, and against running one
// twice that had reached a switch.
func TestSetUpComesAgainOnlyIfItNeverReachedASwitch(t *testing.T) {
	for name, tc := range map[string]struct {
		play   func(h *harness, conn ConnID) *observedCall
		wanted bool // it is sent on when it comes again
	}{
		"its connection had ended before it was handled": {func(h *harness, conn ConnID) *observedCall {
			h.abandonedIDs[stateCaseID] = true
			call := h.sendSetUp(conn, 1, 2000)
			delete(h.abandonedIDs, stateCaseID)
			h.disconnectCaller(conn)
			return call
		}, true},
		"its connection ended while it waited for one to its switch": {func(h *harness, conn ConnID) *observedCall {
			h.disconnectLink(h.mustLinkTo(1))
			call := h.sendSetUp(conn, 1, 2000)
			h.disconnectCaller(conn)
			h.completeDials(9, 9)
			return call
		}, true},
		"its connection ended while it was at a switch": {func(h *harness, conn ConnID) *observedCall {
			call := h.sendSetUp(conn, 1, 2000)
			h.disconnectCaller(conn)
			return call
		}, false},
		"its connection ended after it was refused": {func(h *harness, conn ConnID) *observedCall {
			call := h.sendSetUp(conn, 9, 2000)
			h.disconnectCaller(conn)
			return call
		}, false},
	} {
		h := newHarness(t)
		h.completeDials(9, 9)
		call := tc.play(h, h.connectCaller())
		setUps := h.setUpsSent(call.id)
		*call = observedCall{id: call.id, conn: h.connectCaller(), deadline: h.now + 20000, body: call.body}
		h.agent.FromCaller(h.now, h.now, call.conn, invite(call.id, "voice", 2000, "dest:1;width:1;via:-1", call.body))
		if sentOn := h.setUpsSent(call.id) > setUps; sentOn != tc.wanted {
			t.Errorf("%s: sent on %v, the caller received %q", name, sentOn, h.sentTo(call.conn))
		}
	}
}

// setUpsSent returns how many set-ups of a call were sent to switches.
func (h *harness) setUpsSent(id string) (count int) {
	for _, sent := range h.sentMessages {
		if _, isLink := h.links[sent.to]; isLink && sent.message.Method == sip.Invite && sent.message.CallID == id {
			count++
		}
	}
	return count
}
