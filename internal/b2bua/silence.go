package b2bua

import "indigodrift/policy"

const (
	// maxStallAllowance limits by how much the short stalls of this process, taken together, postpone a silence
	// timeout.
	maxStallAllowance = policy.Tenths(5000)

	// longStall is the length of a stall after which all silence is measured anew, as the process was stopped
	// rather than short of processor time.
	longStall = policy.Tenths(10000)
)

// silenceClock measures how long a peer has sent nothing. Messages that came during a stall of this process are
// unread, so stalls do not count as silence; but a series of stalls must not postpone a timeout indefinitely.
type silenceClock struct {
	lastTickAt       policy.Tenths
	stallEndedAt     policy.Tenths // end of the last stall, 0 if there was none
	longStallEndedAt policy.Tenths // end of the last long stall
}

// tick records the time and the end of the last stall. It is called every maintenanceInterval unless the process
// stalls.
func (s *silenceClock) tick(now, stallEndedAt policy.Tenths) {
	if s.lastTickAt != 0 && now-s.lastTickAt >= longStall {
		s.longStallEndedAt = now
	}
	s.lastTickAt, s.stallEndedAt = now, stallEndedAt
}

// silentFor returns how long nothing has come since the given time.
func (a *Agent) silentFor(since policy.Tenths) policy.Tenths {
	s := &a.silence
	return a.now - max(since, s.longStallEndedAt, min(s.stallEndedAt, since+maxStallAllowance))
}
