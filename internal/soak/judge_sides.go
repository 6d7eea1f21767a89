package soak

import (
	"slices"
	"strings"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// bothSides judges that a call that is over for its caller does not go on standing at its switch.
func (j *judge) bothSides(k *callView) {
	answer, ok := k.first(CallAnswered)
	if !ok || answer.Status != sip.OK {
		return
	}
	ended, over, stood := never, never, Event{}
	for _, e := range k.events {
		ofAnswer := AnswerBody(e.Switch, k.id, e.Number) == answer.Text
		switch {
		case e.Kind == CallToldOver, e.Kind == CallReleased, e.Kind == CallGivenUp:
			ended = min(ended, e.At)
		case e.Kind == CallStood && ofAnswer:
			stood = e
		case e.Kind == CallOver && ofAnswer:
			over = min(over, e.At)
		}
	}
	if ended == never || stood.Call == "" {
		return
	}
	deadline := ended + toldWithin + slack + passMost
	deadline += j.late(ended, deadline)
	if over <= deadline || !j.aliveThrough(k.controller, stood.At, deadline) || j.end < deadline || j.unreachable(k.controller, stood.Switch, ended, deadline) {
		return
	}
	j.breach(RuleBothSides, k, k.controller, "over for its caller at %.3f, run %d at %s %s", ended.Seconds(), stood.Number, board.FormatID(stood.Switch), whenOver(over))
}

func whenOver(at time.Duration) string {
	if at == never {
		return "goes on"
	}
	return "is over " + whenTold(at)
}

// faultMost is how long a fault lasts at most.
const faultMost = 6 * time.Second

// unreachable tells that a release may not have reached a switch in a span: a connection to it was lost about then, or all of them may be silent.
func (j *judge) unreachable(controller int, sw uint32, from, to time.Duration) bool {
	kinds := []FaultKind{VanishSwitch, HangSwitch, HangLinks, RefuseLinks, SilenceLinks, SilenceLink}
	return slices.ContainsFunc(j.events, func(e Event) bool {
		switch e.Kind {
		case LinkLost, LinkClosed:
			return e.Controller == controller && e.Switch == sw && e.At >= from-transitMost && e.At <= to
		case Fault:
			return e.At >= from-faultMost-toldWithin && e.At <= to && slices.ContainsFunc(kinds, func(kind FaultKind) bool { return strings.HasPrefix(e.Text, kind.String()+" (") })
		}
		return false
	})
}
