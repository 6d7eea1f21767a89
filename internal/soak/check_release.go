package soak

import (
	"fmt"
	"slices"
	"time"

	"indigodrift/internal/sip"
)

// callerConnUsableFrom is the first instant from which on a caller's connection to a controller is open for a span; false when there is none.
func (c *checker) callerConnUsableFrom(controller int, from, duration time.Duration) (time.Duration, bool) {
	earliest, found := never, false
	for conn, owner := range c.callerConnController {
		if owner != controller {
			continue
		}
		usable, until := max(from, c.callerOpenedAt[conn]), never
		if closed, ok := c.callerClosedAt[conn]; ok {
			until = closed
		}
		if lost, ok := c.lostAt[conn]; ok {
			until = min(until, lost-lossWindow)
		}
		if usable < earliest && usable+duration <= until {
			earliest, found = usable, true
		}
	}
	return earliest, found
}

// checkReleaseDelivery judges that the caller of a call that stood and is over knows so.
func (c *checker) checkReleaseDelivery(call *callHistory) {
	answer, ok := call.firstEvent(AnswerRead)
	if !ok || answer.Status != sip.OK {
		return
	}
	notifiedAt := never
	established := Event{} // what its answer names: other runs never stood for its caller
	for _, e := range call.events {
		switch e.Kind {
		case ReleaseRead, CallReleased, CallAbandoned:
			notifiedAt = min(notifiedAt, e.At)
		case CallEstablished:
			if AnswerBody(e.SwitchID, call.id, e.Number) == answer.Detail {
				established = e
			}
		}
	}
	knownAt := answer.At // to the life of the controller that was told last
	for _, e := range call.events {
		if e.Kind == EstablishedCallAnnounced {
			knownAt = e.At
		}
	}
	releaseLost := false // a release reached a life that was killed before it had to pass it on, and what that held is no duty any more
	for _, e := range call.events {
		if e.SwitchID != established.SwitchID || e.Number != established.Number {
			if e.Kind == ReleaseSent && (e.Status == causeNormalClearing || e.Status == causeTemporaryFailure) && e.At < notifiedAt {
				c.checkRelease(call, e, notifiedAt) // a call is known by its id alone: by this release it is over, though another run of it stands
			}
			continue
		}
		if e.Kind == CallEnded && e.Detail == releasedByController { // the controller cut it, and must tell its caller as well
			c.checkRelease(call, e, notifiedAt)
		}
		if e.Kind == ReleaseSent {
			releaseLost = releaseLost || c.killedWithin(call.controller, e.At, releaseDeliveryTime+slack, func(Event) bool { return true }) || c.exitedWithoutCallers(call.controller, e.At)
			c.checkRelease(call, e, notifiedAt)
		}
	}
	for _, e := range call.events {
		if e.SwitchID == established.SwitchID && e.Number == established.Number && e.Kind == CallEnded && e.Detail != releasedByController && !releaseLost {
			c.checkEnd(call, e.At, knownAt, notifiedAt)
		}
	}
}

// exitedWithoutCallers tells that a life of a controller ended before a release that it read at an instant could be told: until then no caller's
// connection was open and not silent for the time that takes.
func (c *checker) exitedWithoutCallers(controller int, at time.Duration) bool {
	for _, lifetime := range c.lifetimes[controller] {
		if at < lifetime.from || at > lifetime.to || lifetime.to == never {
			continue
		}
		from, ok := c.callerConnUsableFrom(controller, at, releaseDeliveryTime+slack+maxProxyDelay)
		return !ok || from+releaseDeliveryTime+slack+maxProxyDelay > lifetime.to
	}
	return false
}

// killedWithin tells whether a controller got such a SIGKILL in a span.
func (c *checker) killedWithin(controller int, from, duration time.Duration, matches func(Event) bool) bool {
	return slices.ContainsFunc(c.events, func(e Event) bool {
		return e.Kind == SignalSent && e.Controller == controller && e.Detail == "killed" && e.At >= from-slack && e.At <= from+duration && matches(e)
	})
}

// checkRelease judges one release that a switch wrote.
func (c *checker) checkRelease(call *callHistory, sent Event, notifiedAt time.Duration) {
	if lost, ok := c.lostAt[sent.ConnID]; ok && lost <= sent.At+lossWindow {
		return
	}
	if closed, ok := c.closedByController[sent.ConnID]; ok && closed <= sent.At+slack+maxProxyDelay { // it crossed the close
		return
	}
	from, ok := c.callerConnUsableFrom(call.controller, sent.At, releaseDeliveryTime+slack+maxProxyDelay)
	if !ok {
		return
	}
	if c.plan.MaxConnectDelay > 0 { // the connection may carry it that much later
		from += c.plan.MaxConnectDelay
	}
	deadline := from + releaseDeliveryTime + slack + maxProxyDelay
	deadline += c.stallTime(sent.At, deadline)
	if notifiedAt <= deadline || !c.aliveThroughout(call.controller, sent.At, deadline) || c.endTime < deadline {
		return
	}
	c.addViolation(RuleReleaseDelivery, call, call.controller, "release written at %.3f, told %s", sent.At.Seconds(), formatTime(notifiedAt))
}

// checkEnd judges the end of a call whose release may never have been sent.
func (c *checker) checkEnd(call *callHistory, ended, knownAt, notifiedAt time.Duration) {
	start := max(ended, knownAt)
	deadline := start + lostReleaseDeliveryTime + slack + maxProxyDelay
	deadline += c.stallTime(start, deadline)
	if notifiedAt <= deadline || !c.aliveThroughout(call.controller, knownAt, deadline) || c.endTime < deadline {
		return
	}
	if from, ok := c.callerConnUsableFrom(call.controller, start, releaseDeliveryTime+slack+maxProxyDelay); !ok || from+releaseDeliveryTime+slack+maxProxyDelay > deadline {
		return
	}
	c.addViolation(RuleLostReleaseDelivery, call, call.controller, "over at %.3f, told %s", start.Seconds(), formatTime(notifiedAt))
}

func formatTime(at time.Duration) string {
	if at == never {
		return "never"
	}
	return fmt.Sprintf("at %.3f", at.Seconds())
}
