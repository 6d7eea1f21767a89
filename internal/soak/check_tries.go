package soak

import (
	"strings"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// try is one set-up received by a switch.
type try struct {
	received  Event
	endedAt   time.Duration // never if it did not end
	endKind   EventKind
	status    int
	endUnseen bool // its connection is silent, so the switch doesn't see the end
	delayed   bool // it may have been unread for a while
}

// checkTries checks that the tries of a call belong to a caller's set-up and follow each other properly.
func (c *checker) checkTries(call *callHistory) {
	if strings.HasPrefix(call.id, badCallPrefix) { // a set-up of a bad client that is valid may be forwarded
		return
	}
	var tries []*try
	for _, e := range call.events {
		switch e.Kind {
		case TryReceived:
			tries = append(tries, &try{received: e, endedAt: never, delayed: e.Duration > 0})
		case TryEnded, TryAbandoned:
			for _, current := range tries {
				if current.received.ConnID == e.ConnID && current.received.SwitchID == e.SwitchID && current.received.Number == e.Number && current.endedAt == never {
					current.endedAt, current.endKind, current.status = e.At, e.Kind, e.Status
					break
				}
			}
		}
	}
	sent, placed := call.firstEvent(SetUpSent)
	for i, current := range tries {
		if lost, ok := c.lostAt[current.received.ConnID]; ok && lost <= current.endedAt {
			current.endUnseen, current.endedAt, current.endKind = c.lostSilently[current.received.ConnID], lost, TryAbandoned
		}
		// A close abandons pending set-ups, though the switch may see it late.
		if closed, ok := c.closedByController[current.received.ConnID]; ok && closed < current.endedAt {
			current.endedAt, current.endKind = closed, TryAbandoned
		}
		own := int(current.received.SwitchID&0xffff) <= c.plan.Controllers && int(current.received.SwitchID&0xffff)-1 == call.controller
		if !placed || sent.At > current.received.At || current.received.Detail != "offer of "+call.id || own {
			c.addViolation(RuleValidSetUp, call, call.controller, "set-up at %s that no caller sent, with body %q",
				board.FormatID(current.received.SwitchID), current.received.Detail)
		}
		if sent.Cell > 0 && c.cellOf[current.received.SwitchID] != sent.Cell-1 {
			c.addViolation(RuleValidSetUp, call, call.controller, "transit call to cell %d at %s", sent.Cell-1, board.FormatID(current.received.SwitchID))
		}
		if i > 0 && !current.delayed && !tries[i-1].delayed {
			c.checkRetry(call, tries[i-1], current)
		}
	}
}

// checkRetry checks that a try starts after the end of the previous one and, if required, after the release time.
func (c *checker) checkRetry(call *callHistory, previous, next *try) {
	tolerance := slack + maxProxyDelay + c.stallTime(previous.received.At, next.received.At)
	if previous.endedAt > next.received.At+tolerance {
		c.addViolation(RuleSingleTry, call, call.controller, "set-up at %s at %.3f while one is pending at %s since %.3f",
			board.FormatID(next.received.SwitchID), next.received.At.Seconds(), board.FormatID(previous.received.SwitchID), previous.received.At.Seconds())
		return
	}
	if tolerance := c.releaseTimeTolerance(previous, next); previous.requiresReleaseTime() && next.received.At-previous.endedAt < releaseTime-tolerance {
		c.addViolation(RuleReleaseTime, call, call.controller, "retried %v after the end of the previous try (%s, status %d)",
			(next.received.At - previous.endedAt).Round(time.Millisecond), previous.endKind, previous.status)
	}
}

// requiresReleaseTime reports whether the next try must wait for the release time. Time-outs, resets and cancels require it, and so does a positive
// answer, since a controller that retries after one has not received it. A complete rejection doesn't, and the wait after a try on a silent
// connection can't be checked, as the switch doesn't see its end.
func (t *try) requiresReleaseTime() bool {
	switch t.status {
	case sip.ServiceUnavailable, sip.TemporarilyUnavailable, sip.BusyHere, sip.ServerInternalError:
		return t.endKind != TryEnded
	}
	return !t.endUnseen
}

// releaseTimeTolerance returns by how much the release time may seem shorter at the switches than at the controller, as a CANCEL may be delayed
// more than the following set-up.
func (c *checker) releaseTimeTolerance(previous, next *try) time.Duration {
	tolerance := slack + maxRecordDelay + c.plan.Jitter + c.stallTime(previous.received.At, next.received.At)
	if previous.received.SwitchID != next.received.SwitchID {
		tolerance += maxLatency
	}
	if c.plan.MaxChunk > 0 {
		tolerance += maxTotalChunkDelay
	}
	return tolerance
}
