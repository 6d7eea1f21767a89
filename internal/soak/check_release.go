package soak

import (
	"fmt"
	"slices"
	"time"

	"indigodrift/internal/sip"
)

// callerConnUsableFrom returns the first time, not before from, at which some caller connection of a controller stays usable for a duration. It
// returns false if there is none.
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

// checkReleaseDelivery checks that the caller of an established call is notified in time when the call is over.
func (c *checker) checkReleaseDelivery(call *callHistory) {
	answer, ok := call.firstEvent(AnswerRead)
	if !ok || answer.Status != sip.OK {
		return
	}
	notifiedAt := never
	established := Event{} // the leg that the answer names; the caller never saw the others
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
	knownAt := answer.At // time at which the last incarnation of the controller learned of the call
	for _, e := range call.events {
		if e.Kind == EstablishedCallAnnounced {
			knownAt = e.At
		}
	}
	releaseLost := false // the controller's incarnation ended before it had to deliver a release, so the release may be lost
	for _, e := range call.events {
		if e.SwitchID != established.SwitchID || e.Number != established.Number {
			if e.Kind == ReleaseSent && (e.Status == causeNormalClearing || e.Status == causeTemporaryFailure) && e.At < notifiedAt {
				// A release names only the call, so it ends the call even if another leg is established.
				c.checkSentRelease(call, e, notifiedAt)
			}
			continue
		}
		if e.Kind == CallEnded && e.Detail == detailReleasedByController { // the controller released it, so it must release its caller too
			c.checkSentRelease(call, e, notifiedAt)
		}
		if e.Kind == ReleaseSent {
			releaseLost = releaseLost || c.killedWithin(call.controller, e.At, releaseDeliveryTime+slack, func(Event) bool { return true }) ||
				c.exitedWithoutCallers(call.controller, e.At)
			c.checkSentRelease(call, e, notifiedAt)
		}
	}
	for _, e := range call.events {
		if e.SwitchID == established.SwitchID && e.Number == established.Number && e.Kind == CallEnded && e.Detail != detailReleasedByController && !releaseLost {
			c.checkEndNotified(call, e.At, knownAt, notifiedAt)
		}
	}
}

// exitedWithoutCallers reports whether the controller's incarnation that read a release at a time exited before it could deliver it, as no
// caller connection was usable for long enough until then.
func (c *checker) exitedWithoutCallers(controller int, at time.Duration) bool {
	for _, incarnation := range c.incarnations[controller] {
		if at < incarnation.from || at > incarnation.to || incarnation.to == never {
			continue
		}
		from, ok := c.callerConnUsableFrom(controller, at, releaseDeliveryTime+slack+maxProxyDelay)
		return !ok || from+releaseDeliveryTime+slack+maxProxyDelay > incarnation.to
	}
	return false
}

// killedWithin reports whether a controller was sent a SIGKILL that matches within a duration.
func (c *checker) killedWithin(controller int, from, duration time.Duration, matches func(Event) bool) bool {
	return slices.ContainsFunc(c.events, func(e Event) bool {
		return e.Kind == SignalSent && e.Controller == controller && e.Detail == "killed" && e.At >= from-slack && e.At <= from+duration && matches(e)
	})
}

// checkSentRelease checks the delivery of one release by a switch to the caller.
func (c *checker) checkSentRelease(call *callHistory, sent Event, notifiedAt time.Duration) {
	if lost, ok := c.lostAt[sent.ConnID]; ok && lost <= sent.At+lossWindow {
		return
	}
	if closed, ok := c.closedByController[sent.ConnID]; ok && closed <= sent.At+slack+maxProxyDelay { // the release crossed the close
		return
	}
	from, ok := c.callerConnUsableFrom(call.controller, sent.At, releaseDeliveryTime+slack+maxProxyDelay)
	if !ok {
		return
	}
	if c.plan.MaxConnectDelay > 0 { // a new connection may carry the release that much later
		from += c.plan.MaxConnectDelay
	}
	deadline := from + releaseDeliveryTime + slack + maxProxyDelay
	deadline += c.stallTime(sent.At, deadline)
	if notifiedAt <= deadline || !c.aliveThroughout(call.controller, sent.At, deadline) || c.endTime < deadline {
		return
	}
	c.addViolation(RuleReleaseDelivery, call, call.controller, "release written at %.3f, caller notified %s", sent.At.Seconds(), formatTime(notifiedAt))
}

// checkEndNotified checks that the caller learns of the end of a call even if the release by the switch is lost.
func (c *checker) checkEndNotified(call *callHistory, ended, knownAt, notifiedAt time.Duration) {
	start := max(ended, knownAt)
	deadline := start + lostReleaseDeliveryTime + slack + maxProxyDelay
	deadline += c.stallTime(start, deadline)
	if notifiedAt <= deadline || !c.aliveThroughout(call.controller, knownAt, deadline) || c.endTime < deadline {
		return
	}
	if from, ok := c.callerConnUsableFrom(call.controller, start, releaseDeliveryTime+slack+maxProxyDelay); !ok || from+releaseDeliveryTime+slack+maxProxyDelay > deadline {
		return
	}
	c.addViolation(RuleLostReleaseDelivery, call, call.controller, "over at %.3f, caller notified %s", start.Seconds(), formatTime(notifiedAt))
}

// formatTime formats a time for a violation.
func formatTime(at time.Duration) string {
	if at == never {
		return "never"
	}
	return fmt.Sprintf("at %.3f", at.Seconds())
}
