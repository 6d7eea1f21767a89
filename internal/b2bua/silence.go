package b2bua

import "indigodrift/policy"

const (
	// stallRoom limits by how much the short stalls of this process, taken together, postpone a silence timeout.
	stallRoom = policy.Tenths(5000)

	// stallLong is the length of a stall after which all silence is measured anew, as the process was stopped
	// rather than short of processor time.
	stallLong = policy.Tenths(10000)
)

// silenceClock measures how long a peer has sent nothing. Messages that came during a stall of this process are
// unread, so stalls do not count as silence; but a series of stalls must not postpone a timeout for ever.
type silenceClock struct {
	tickAt  policy.Tenths
	stalled policy.Tenths // end of the last stall, 0 if there was none
	stopped policy.Tenths // end of the last long stall
}

// tick records the time and the end of the last stall. It is called every houseWork unless the process stalls.
func (s *silenceClock) tick(now, stalled policy.Tenths) {
	if s.tickAt != 0 && now-s.tickAt >= stallLong {
		s.stopped = now
	}
	s.tickAt, s.stalled = now, stalled
}

// silentFor returns how long nothing has come since the given time.
func (a *Agent) silentFor(at policy.Tenths) policy.Tenths {
	s := &a.silence
	return a.now - max(at, s.stopped, min(s.stalled, at+stallRoom))
}
