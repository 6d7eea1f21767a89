package soak

import (
	"fmt"
	"slices"
	"time"

	"indigodrift/internal/sip"
)

// usableFrom is the first instant from which on a caller's connection to a controller is open for a span; false when there is none.
func (j *judge) usableFrom(controller int, from, span time.Duration) (time.Duration, bool) {
	best, found := never, false
	for conn, whose := range j.whose {
		if whose != controller {
			continue
		}
		at, until := max(from, j.opened[conn]), never
		if closed, ok := j.closed[conn]; ok {
			until = closed
		}
		if lost, ok := j.lostAt[conn]; ok {
			until = min(until, lost-transitMost)
		}
		if at < best && at+span <= until {
			best, found = at, true
		}
	}
	return best, found
}

// told judges that the caller of a call that stood and is over knows so.
func (j *judge) told(k *callView) {
	answer, ok := k.first(CallAnswered)
	if !ok || answer.Status != sip.OK {
		return
	}
	toldAt := never
	stood := Event{} // what its answer names: other runs never stood for its caller
	for _, e := range k.events {
		switch e.Kind {
		case CallToldOver, CallReleased, CallGivenUp:
			toldAt = min(toldAt, e.At)
		case CallStood:
			if AnswerBody(e.Switch, k.id, e.Number) == answer.Text {
				stood = e
			}
		}
	}
	known := answer.At // to the life of the controller that was told last
	for _, e := range k.events {
		if e.Kind == CallAnnounced {
			known = e.At
		}
	}
	held := false // a release reached a life that was killed before it had to pass it on, and what that held is no duty any more
	for _, e := range k.events {
		if e.Switch != stood.Switch || e.Number != stood.Number {
			if e.Kind == ReleaseWritten && (e.Status == causeNormal || e.Status == causeCut) && e.At < toldAt {
				j.toldOfRelease(k, e, toldAt) // a call is known by its id alone: by this release it is over, though another run of it stands
			}
			continue
		}
		if e.Kind == CallOver && e.Text == textReleased { // the controller cut it, and must tell its caller as well
			j.toldOfRelease(k, e, toldAt)
		}
		if e.Kind == ReleaseWritten {
			held = held || j.killedWithin(k.controller, e.At, toldWithin+slack, func(Event) bool { return true }) || j.endedWithoutCallers(k.controller, e.At)
			j.toldOfRelease(k, e, toldAt)
		}
	}
	for _, e := range k.events {
		if e.Switch == stood.Switch && e.Number == stood.Number && e.Kind == CallOver && e.Text != textReleased && !held {
			j.toldOfEnd(k, e.At, known, toldAt)
		}
	}
}

// endedWithoutCallers tells that a life of a controller ended before a release that it read at an instant could be told: until then no caller's
// connection was open and not silent for the time that takes.
func (j *judge) endedWithoutCallers(controller int, at time.Duration) bool {
	for _, life := range j.lives[controller] {
		if at < life.from || at > life.to || life.to == never {
			continue
		}
		from, ok := j.usableFrom(controller, at, toldWithin+slack+passMost)
		return !ok || from+toldWithin+slack+passMost > life.to
	}
	return false
}

// killedWithin tells whether a controller got such a SIGKILL in a span.
func (j *judge) killedWithin(controller int, from, span time.Duration, which func(Event) bool) bool {
	return slices.ContainsFunc(j.events, func(e Event) bool {
		return e.Kind == ControllerTold && e.Controller == controller && e.Text == "killed" && e.At >= from-slack && e.At <= from+span && which(e)
	})
}

// toldOfRelease judges one release that a switch wrote.
func (j *judge) toldOfRelease(k *callView, written Event, toldAt time.Duration) {
	if lost, ok := j.lostAt[written.Conn]; ok && lost <= written.At+transitMost {
		return
	}
	if shut, ok := j.shutAt[written.Conn]; ok && shut <= written.At+slack+passMost { // it crossed the close
		return
	}
	from, ok := j.usableFrom(k.controller, written.At, toldWithin+slack+passMost)
	if !ok {
		return
	}
	if j.plan.ConnectMost > 0 { // the connection may carry it that much later
		from += j.plan.ConnectMost
	}
	deadline := from + toldWithin + slack + passMost
	deadline += j.late(written.At, deadline)
	if toldAt <= deadline || !j.aliveThrough(k.controller, written.At, deadline) || j.end < deadline {
		return
	}
	j.breach(RuleTold, k, k.controller, "release written at %.3f, told %s", written.At.Seconds(), whenTold(toldAt))
}

// toldOfEnd judges the end of a call whose release may never have been sent.
func (j *judge) toldOfEnd(k *callView, ended, known, toldAt time.Duration) {
	over := max(ended, known)
	deadline := over + toldLost + slack + passMost
	deadline += j.late(over, deadline)
	if toldAt <= deadline || !j.aliveThrough(k.controller, known, deadline) || j.end < deadline {
		return
	}
	if from, ok := j.usableFrom(k.controller, over, toldWithin+slack+passMost); !ok || from+toldWithin+slack+passMost > deadline {
		return
	}
	j.breach(RuleToldLost, k, k.controller, "over at %.3f, told %s", over.Seconds(), whenTold(toldAt))
}

func whenTold(at time.Duration) string {
	if at == never {
		return "never"
	}
	return fmt.Sprintf("at %.3f", at.Seconds())
}
