package lag

import "indigodrift/policy"

const (
	minStall     = policy.Tenths(500)  // waking up this much later than planned is a stall
	timerHold    = policy.Tenths(200)  // after a stall timers are held for this long, while messages are read
	maxTimerHold = policy.Tenths(1000) // maximum total hold, however many stalls follow each other
)

// StallDetector detects that this process was stalled: stopped, swapped out, or starved of CPU time. Timers that expired
// meanwhile must wait until the messages that arrived during the stall are read. Otherwise a timer would fail a call whose
// answer has arrived, or answer a caller who has abandoned the call.
type StallDetector struct {
	lastRunning policy.Tenths // when the process was last seen running
	holdEnd     policy.Tenths // end of the hold on timers
	lastEnd     policy.Tenths // end of the last stall
	holdStart   policy.Tenths // since when timers are held, 0 when they are not
}

// Woke records that the process woke up from a wait that was to end at due or before. It reports whether it was stalled.
func (s *StallDetector) Woke(now, due policy.Tenths) (stalled bool) {
	s.lastRunning = now
	return s.check(now, now-due)
}

// Running records that the process is running, between two pieces of work and without having waited. It reports whether it was
// stalled since it was last seen running: what it has already read is then as old as the stall.
func (s *StallDetector) Running(now policy.Tenths) (stalled bool) {
	last := s.lastRunning
	s.lastRunning = now
	return last != 0 && s.check(now, now-last)
}

// check starts or extends the hold on timers if the gap is long enough for a stall.
func (s *StallDetector) check(now, gap policy.Tenths) bool {
	if gap < minStall {
		return false
	}
	if s.holdStart == 0 {
		s.holdStart = now
	}
	s.holdEnd, s.lastEnd = min(now+timerHold, s.holdStart+maxTimerHold), now
	return true
}

// TimersHeld returns until when timers are held, and whether they still are.
func (s *StallDetector) TimersHeld(now policy.Tenths) (policy.Tenths, bool) {
	if now >= s.holdEnd {
		s.holdStart = 0
		return s.holdEnd, false
	}
	return s.holdEnd, true
}

// LastEnd returns the end of the last stall, 0 if there was none.
func (s *StallDetector) LastEnd() policy.Tenths { return s.lastEnd }
