package exchange

import "testing"

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
