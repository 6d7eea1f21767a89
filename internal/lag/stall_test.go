package lag

import (
	"testing"

	"indigodrift/policy"
)

func TestTimersWaitUntilWhatCameDuringAStallIsRead(t *testing.T) {
	var s StallDetector
	if !s.Woke(10000, 5000) {
		t.Fatal("no stall found")
	}
	if until, reading := s.TimersHeld(10000); !reading || until != 10000+readFirst {
		t.Errorf("timers held %v until %d", reading, until)
	}
	if _, reading := s.TimersHeld(10000 + readFirst); reading {
		t.Error("timers still held")
	}
}

// Guards against timers that never run: under a CPU quota a new stall begins before the hold after the previous one has ended.
func TestStallsInARowDoNotHoldTimersForGood(t *testing.T) {
	const runs, stands = policy.Tenths(100), policy.Tenths(900) // a quota of a tenth of a CPU
	var s StallDetector
	acted := 0
	for now := policy.Tenths(10000); now < 110000; now += runs + stands {
		s.Woke(now, now-stands)
		for at := now; at < now+runs; at += 10 {
			if _, reading := s.TimersHeld(at); !reading {
				acted++
				break
			}
		}
	}
	if acted < 30 {
		t.Errorf("timers ran in %d of 100 turns", acted)
	}
}
