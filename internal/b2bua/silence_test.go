package b2bua

import (
	"testing"

	"indigodrift/policy"
)

// passWithStalls lets time pass while this process stalls repeatedly.
func (r *harness) passWithStalls(span, every policy.Tenths) {
	for until := r.now + span; r.now < until; {
		r.now += every
		r.agent.Tick(r.now, r.now)
	}
}

// Guards against calls that stay established for ever at a switch that is gone, because each stall of this process
// restarted the silence timeout.
func TestStallsInARowDoNotHideThatASwitchIsGone(t *testing.T) {
	const toldAfterLoss = 80000 // the platform's limit where no release could be sent
	r, _, k := establishedCall(t)
	r.silent[r.mustLinkTo(1)] = true
	for range toldAfterLoss / 10000 {
		r.passWithStalls(10000, 700)
		for len(r.dials) > 0 {
			r.completeDial(false, false)
		}
	}
	if k.callerReleases == 0 {
		t.Error("the caller was not released")
	}
}

// Guards against a silence timeout after a long stop of this process, when received messages are still unread.
func TestLongStopIsNoSilenceOfASwitch(t *testing.T) {
	r, _, k := establishedCall(t)
	r.now += 200000
	r.agent.Tick(r.now, r.now)
	if k.callerReleases != 0 || r.closed[r.mustLinkTo(1)] != "" {
		t.Errorf("caller released %d times, closed %v", k.callerReleases, r.closed)
	}
}
