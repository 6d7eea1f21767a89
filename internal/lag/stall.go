package lag

import "indigodrift/policy"

const (
	stallMin  = policy.Tenths(500)  // woken so much too late, the process stood still
	readFirst = policy.Tenths(200)  // then what came meanwhile is read for so long before any timer acts
	heldMost  = policy.Tenths(1000) // timers are held back no longer than this, however many stalls follow each other
)

// Stall finds out that this process stood still: stopped, swapped out, or starved of its processor. Until the messages
// that lay unread are read, a timer that fell due meanwhile knows less than the sockets do: it would fail a call whose
// answer has come, or answer a caller who has left.
type Stall struct {
	last  policy.Tenths
	until policy.Tenths
	ended policy.Tenths
	held  policy.Tenths // since when timers have been held back, 0 when they are not
}

// Woke tells that the process runs at an instant, after waiting, and was to run at due, if not before.
func (s *Stall) Woke(now, due policy.Tenths) (stood bool) {
	s.last = now
	return s.check(now, now-due)
}

// Works tells that the process runs at an instant, between two pieces of work and without having waited: it can be stopped
// there as well, and what it has already taken from its sockets is then as old as the stall.
func (s *Stall) Works(now policy.Tenths) (stood bool) {
	last := s.last
	s.last = now
	return last != 0 && s.check(now, now-last)
}

func (s *Stall) check(now, gap policy.Tenths) bool {
	if gap < stallMin {
		return false
	}
	if s.held == 0 {
		s.held = now
	}
	s.until, s.ended = min(now+readFirst, s.held+heldMost), now
	return true
}

// Reading tells that timers must still wait, and until when.
func (s *Stall) Reading(now policy.Tenths) (policy.Tenths, bool) {
	if now >= s.until {
		s.held = 0
		return s.until, false
	}
	return s.until, true
}

// Ended is the end of the last stall, 0 when there was none.
func (s *Stall) Ended() policy.Tenths { return s.ended }
