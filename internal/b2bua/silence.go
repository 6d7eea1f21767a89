package b2bua

import "indigodrift/policy"

const (
	// stallRoom is how much the short stalls of this process may put off, all together, that a far end is taken as silent.
	stallRoom = policy.Tenths(5000)

	// stallLong is a stall after which all silence is counted anew: the process was stopped, not short of its processor.
	stallLong = policy.Tenths(10000)
)

// silenceClock counts how long nothing has come from a far end. What came during a stall of this process was not read, so stalls are no
// silence; but stalls that follow each other must not put a verdict off for good.
type silenceClock struct {
	tickAt  policy.Tenths
	stalled policy.Tenths // end of the last stall, 0 when there was none
	stopped policy.Tenths // end of the last long one
}

// tick tells the time and the end of the last stall. It comes each houseWork, unless the process stalls.
func (s *silenceClock) tick(now, stalled policy.Tenths) {
	if s.tickAt != 0 && now-s.tickAt >= stallLong {
		s.stopped = now
	}
	s.tickAt, s.stalled = now, stalled
}

// silentFor is how long nothing has come since an instant.
func (a *Agent) silentFor(at policy.Tenths) policy.Tenths {
	s := &a.silence
	return a.now - max(at, s.stopped, min(s.stalled, at+stallRoom))
}
