package exchange

import (
	"testing"

	"indigodrift/policy"
)

// Guards against the growth of the timer queue with the calls that have ended: their timers stayed until the callers would
// have abandoned them.
func TestEndedCallsLeaveNoTimers(t *testing.T) {
	net := newTestNetwork(3, 30)
	idle := net.nodes[0].exchange.timers.Len()
	for range 200 {
		ref := net.call(0, 1, 0, 1, 90000)
		net.advance(500)
		net.hangUp(ref)
		net.advance(500)
	}
	net.requireNoViolations(t)
	net.requireIdle(t)
	if n := net.nodes[0].exchange.timers.Len(); n > idle {
		t.Errorf("%d timers after all calls, %d before", n, idle)
	}
}

// Guards against timers of the decider that stay when their call ends before they fall due.
func TestEndedCallLeavesNoTimerOfTheDecider(t *testing.T) {
	net := newTestNetwork(3, 30)
	exchange := net.nodes[0].exchange
	idle := exchange.timers.Len()
	ref := net.call(0, 1, 0, 1, 90000)
	const farOff = policy.Tenths(1_000_000)
	for id := range exchange.calls {
		(*executor)(exchange).SetTimer(net.now+farOff, uint64(id))
	}
	net.advance(500)
	net.hangUp(ref)
	net.advance(500)
	net.requireIdle(t)
	if n := exchange.timers.Len(); n > idle {
		t.Errorf("%d timers after the call, %d before", n, idle)
	}
}
