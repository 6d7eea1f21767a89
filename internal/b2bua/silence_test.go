package b2bua

import (
	"testing"

	"indigodrift/policy"
)

// passWithStalls lets time go by while this process stands still again and again.
func (r *rig) passWithStalls(span, every policy.Tenths) {
	for until := r.now + span; r.now < until; {
		r.now += every
		r.a.Tick(r.now, r.now)
	}
}

// Guards against calls that stand for good at a switch that is gone, since each stall of this process counted its silence anew.
func TestStallsInARowDoNotHideThatASwitchIsGone(t *testing.T) {
	const toldAfterLoss = 80000 // the platform's bound where no release could be sent
	r, _, k := served(t)
	r.silent[r.linkTo(1)] = true
	for range toldAfterLoss / 10000 {
		r.passWithStalls(10000, 700)
		for len(r.dials) > 0 {
			r.dial(false, false)
		}
	}
	if k.callerReleased == 0 {
		t.Error("its caller was not told")
	}
}

// A process that was stopped for long knows nothing of anybody's silence: what came lies unread.
func TestLongStopIsNoSilenceOfASwitch(t *testing.T) {
	r, _, k := served(t)
	r.now += 200000
	r.a.Tick(r.now, r.now)
	if k.callerReleased != 0 || r.closed[r.linkTo(1)] != "" {
		t.Errorf("told %d times, closed %v", k.callerReleased, r.closed)
	}
}
