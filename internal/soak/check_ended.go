package soak

import (
	"slices"
	"strings"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// checkEndedAtSwitch checks that a call that is over for its caller ends at its switch as well.
func (c *checker) checkEndedAtSwitch(call *callHistory) {
	answer, ok := call.firstEvent(AnswerRead)
	if !ok || answer.Status != sip.OK {
		return
	}
	ended, endedAtSwitch, established := never, never, Event{}
	for _, e := range call.events {
		answeredLeg := AnswerBody(e.SwitchID, call.id, e.Number) == answer.Detail
		switch {
		case e.Kind == ReleaseRead, e.Kind == CallReleased, e.Kind == CallAbandoned:
			ended = min(ended, e.At)
		case e.Kind == CallEstablished && answeredLeg:
			established = e
		case e.Kind == CallEnded && answeredLeg:
			endedAtSwitch = min(endedAtSwitch, e.At)
		}
	}
	if ended == never || established.CallID == "" {
		return
	}
	deadline := ended + releaseDeliveryTime + slack + maxProxyDelay
	deadline += c.stallTime(ended, deadline)
	if endedAtSwitch <= deadline || !c.aliveThroughout(call.controller, established.At, deadline) || c.endTime < deadline ||
		c.releaseMayBeLost(call.controller, established.SwitchID, ended, deadline) {
		return
	}
	c.addViolation(RuleEndedAtSwitch, call, call.controller, "over for its caller at %.3f, leg %d at %s %s",
		ended.Seconds(), established.Number, board.FormatID(established.SwitchID), formatLegEnd(endedAtSwitch))
}

// formatLegEnd formats the end of a leg for a violation.
func formatLegEnd(at time.Duration) string {
	if at == never {
		return "is still established"
	}
	return "is over " + formatTime(at)
}

// maxFaultDuration is the longest duration of a fault.
const maxFaultDuration = 6 * time.Second

// releaseMayBeLost reports whether a release may not have reached a switch between two times: a connection to it was lost or closed around then, or a
// fault may have silenced all of them.
func (c *checker) releaseMayBeLost(controller int, sw uint32, from, to time.Duration) bool {
	kinds := []FaultKind{PartitionSwitch, HangSwitch, HangLinks, RefuseLinks, SilenceLinks, SilenceLink}
	return slices.ContainsFunc(c.events, func(e Event) bool {
		switch e.Kind {
		case SwitchConnLost, SwitchConnClosed:
			return e.Controller == controller && e.SwitchID == sw && e.At >= from-lossWindow && e.At <= to
		case FaultInjected:
			return e.At >= from-maxFaultDuration-releaseDeliveryTime && e.At <= to &&
				slices.ContainsFunc(kinds, func(kind FaultKind) bool { return strings.HasPrefix(e.Detail, kind.String()+" (") })
		}
		return false
	})
}
