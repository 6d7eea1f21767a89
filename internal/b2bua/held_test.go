package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
)

// idleTimers is how many timers an agent has without calls and releases: the tick of the policy.
const idleTimers = 1

// checkNoTimers fails the test if more timers are pending than an agent without calls and releases has.
func (h *harness) checkNoTimers(after string) {
	h.t.Helper()
	if n := h.agent.Held().Timers; n != idleTimers {
		h.t.Fatalf("%d timers after %s, want %d", n, after, idleTimers)
	}
}

// Guards against the growth of the timer queue under clients that ask again as soon as they are turned away: timers of
// ended calls stayed until the deadlines of the calls, up to an hour.
func TestRefusedCallsLeaveNoTimers(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	for range 1000 {
		if call := h.sendSetUp(conn, unknownExchange, maxExpiresMS); call.answers != 1 {
			t.Fatalf("%d answers", call.answers)
		}
	}
	h.checkNoTimers("calls that were refused at once")
}

// Guards against timers that stay behind when a call ends in any other way.
func TestEndedCallsLeaveNoTimers(t *testing.T) {
	cases := map[string]func(h *harness, conn ConnID, call *observedCall){
		"a CANCEL": func(h *harness, conn ConnID, call *observedCall) {
			call.abandoned = true
			h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
		},
		"the end of the caller's connection": func(h *harness, conn ConnID, _ *observedCall) { h.disconnectCaller(conn) },
		"a refusal by the switch":            func(h *harness, _ ConnID, call *observedCall) { h.answer(call, sip.BusyHere) },
		"a CANCEL in the release time": func(h *harness, conn ConnID, call *observedCall) {
			h.answer(call, sip.ServerTimeout)
			call.abandoned = true
			h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
		},
		"its release": func(h *harness, _ ConnID, call *observedCall) {
			h.answer(call, sip.OK)
			h.releaseFromSwitch(call)
			h.answerPending()
		},
		"the end of its switch's connection": func(h *harness, conn ConnID, call *observedCall) {
			h.disconnectLink(call.tryConn)
			h.disconnectCaller(conn)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.completeDials(9, 9)
			conn := h.connectCaller()
			call := h.sendSetUp(conn, 1, 20000)
			if call.tryConn == 0 || h.agent.Held().Timers == idleTimers {
				t.Fatalf("no try is out: %+v, %d timers", call, h.agent.Held().Timers)
			}
			end(h, conn, call)
			h.checkNoTimers(name)
		})
	}
}
