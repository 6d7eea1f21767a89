package lag

import (
	"testing"

	"indigodrift/policy"
)

func TestTimersAreHeldAfterAStall(t *testing.T) {
	var s StallDetector
	if !s.Woke(10000, 5000) {
		t.Fatal("no stall found")
	}
	if until, held := s.TimersHeld(10000); !held || until != 10000+timerHold {
		t.Errorf("timers held %v until %d", held, until)
	}
	if _, held := s.TimersHeld(10000 + timerHold); held {
		t.Error("timers still held")
	}
}

// Guards against timers that never run: under a CPU quota a new stall begins before the hold after the previous one has ended.
func TestRepeatedStallsDoNotHoldTimersForever(t *testing.T) {
	const runs, stalled = policy.Tenths(100), policy.Tenths(900) // a quota of a tenth of a CPU
	var s StallDetector
	ran := 0
	for now := policy.Tenths(10000); now < 110000; now += runs + stalled {
		s.Woke(now, now-stalled)
		for at := now; at < now+runs; at += 10 {
			if _, held := s.TimersHeld(at); !held {
				ran++
				break
			}
		}
	}
	if ran < 30 {
		t.Errorf("timers ran in %d of 100 periods", ran)
	}
}
