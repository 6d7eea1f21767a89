package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
)

// releaseUnknownCalls lets a switch release calls that the agent does not know.
func (h *harness) releaseUnknownCalls(switchID uint32, firstID, count int) {
	link := h.mustLinkTo(switchID)
	for n := range count {
		h.agent.FromSwitch(h.now, link, h.newRelease(idOf(firstID+n), 16))
	}
}

// Guards against one switch that releases unknown calls without end: it displaced the pending releases of calls that were
// set up here, whose callers were never told.
func TestReleasesOfUnknownCallsDisplaceNoOthers(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.unresponsive[first] = true
	h.releaseFromSwitch(call)
	h.releaseUnknownCalls(2, 0x100000, 2*maxCallerReleases)
	if h.agent.callerReleases.byCall[1000] == nil {
		t.Fatal("the release of the usual call was dropped")
	}
	h.unwritten[first], h.unwritten[second] = false, false
	h.advanceTime(callerReleaseLimit)
	if !call.releaseAnswered {
		t.Errorf("the usual call was released %d times, and its caller heard none", call.callerReleases)
	}
}

// Guards against copies of one switch's releases that use up those of calls set up here.
func TestCopiesOfUnknownCallsLeaveRoomForOthers(t *testing.T) {
	h := newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 40, Links: 12})
	h.completeDials(50, 50)
	first := h.connectCaller()
	call := h.sendSetUp(first, 1, 1000)
	h.answer(call, sip.OK)
	h.unresponsive[first] = true
	for range 30 {
		conn := h.connectCaller()
		h.unresponsive[conn] = true
		h.sendSetUp(conn, unknownExchange, 1000)
	}
	h.releaseUnknownCalls(2, 0x100000, maxCallerReleases)
	h.advanceTime(callerReleaseLimit)
	h.releaseFromSwitch(call)
	h.advanceTime(callerReleaseLimit)
	if call.callerReleases < 8 {
		t.Errorf("the usual call, which no caller confirms, was released %d times", call.callerReleases)
	}
}

// lateAnswerIsReleased reports whether an answer to an abandoned try, which comes now, is released at its switch.
func (h *harness) lateAnswerIsReleased(call *observedCall, link ConnID) bool {
	h.sentMessages = nil
	call.establishedAt, call.callerEnded = 1, true
	h.agent.FromSwitch(h.now, link, &sip.Message{Status: sip.OK, CallID: call.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
	return h.sentTo(link) == "ACK BYE"
}

// Guards against one peer that makes the agent forget a call of another which a switch may still answer: it would stay
// established there.
func TestCallsKnownToASwitchAreDisplacedByNoOtherPeer(t *testing.T) {
	cases := map[string]func(h *harness){
		"a switch that releases unknown calls": func(h *harness) { h.releaseUnknownCalls(2, 0x100000, 4*minLimitOfHeldEntries) },
		"a caller that cancels its set-ups": func(h *harness) {
			flooder := h.connectCaller()
			for n := range 4 * minLimitOfHeldEntries {
				id := idOf(0x200000 + n)
				h.agent.FromCaller(h.now, h.now, flooder, invite(id, "voice", 1000, "dest:2;width:1;via:-1", ""))
				h.agent.FromCaller(h.now, h.now, flooder, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: id, CSeq: 1})
			}
		},
	}
	for name, flood := range cases {
		t.Run(name, func(t *testing.T) {
			h := newSmallHarness(t)
			conn := h.connectCaller()
			call := h.sendSetUp(conn, 1, 1000)
			link := call.tryConn
			call.abandoned = true
			h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
			flood(h)
			h.advanceTime(maintenanceInterval)
			if held := h.agent.Held().RetainedCalls; held > 3*minLimitOfHeldEntries {
				t.Errorf("%d calls retained", held)
			}
			if !h.lateAnswerIsReleased(call, link) {
				t.Errorf("the switch that answered late got %q", h.sentTo(link))
			}
		})
	}
}

// Guards against calls with many tries, which are all held: such a call weighs as much as several in the limit of calls that
// are over.
func TestTriesOfRetainedCallsAreBounded(t *testing.T) {
	h := newSmallHarness(t)
	const triesEach = 40
	for n := range 2 * minLimitOfHeldEntries {
		call := &trackedCall{id: uint64(0x300000 + n), callerConnID: 1, state: Ended}
		for range triesEach {
			call.tries = append(call.tries, &routeTry{call: call, conn: 9})
		}
		h.agent.retain(call)
	}
	tries := 0
	for _, call := range h.agent.calls {
		tries += len(call.tries)
	}
	if limit := minLimitOfHeldEntries * triesPerWeight; tries > limit || tries < limit/2 || h.agent.retained.len() != len(h.agent.calls) {
		t.Errorf("%d tries of %d calls are held, at most %d allowed", tries, len(h.agent.calls), limit)
	}
}
