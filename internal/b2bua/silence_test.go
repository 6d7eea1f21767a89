package b2bua

import (
	"testing"

	"indigodrift/policy"
)

// passWithStalls lets time pass while this process stalls repeatedly.
func (h *harness) passWithStalls(span, stallInterval policy.Tenths) {
	for until := h.now + span; h.now < until; {
		h.now += stallInterval
		h.agent.Tick(h.now, h.now)
	}
}

// Guards against calls that stay established indefinitely at a switch that is gone, because each stall of this process
// restarted the silence timeout.
func TestRepeatedStallsDoNotHideALostSwitch(t *testing.T) {
	const releaseLimit = 80000 // the platform's limit where no release could be sent
	h, _, call := establishedCall(t)
	h.silent[h.mustLinkTo(1)] = true
	for range releaseLimit / 10000 {
		h.passWithStalls(10000, 700)
		for len(h.dials) > 0 {
			h.completeDial(false, false)
		}
	}
	if call.callerReleases == 0 {
		t.Error("the caller was not released")
	}
}

// Guards against a silence timeout after a long stop of this process, when received messages are still unread.
func TestLongStallIsNotSilenceOfASwitch(t *testing.T) {
	h, _, call := establishedCall(t)
	h.now += 200000
	h.agent.Tick(h.now, h.now)
	if call.callerReleases != 0 || h.closed[h.mustLinkTo(1)] != "" {
		t.Errorf("caller released %d times, closed %v", call.callerReleases, h.closed)
	}
}
