package exchange

import (
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// actionHandler implements policy.Exchange. It carries out the decider's actions in the order they are made. The end of a
// try that follows at once from an action is reported only after the decider has returned.
type actionHandler Exchange

// Send starts a route try.
func (h *actionHandler) Send(id, switchID uint32, limit policy.Tenths) {
	x := (*Exchange)(h)
	call := x.calls[id]
	if call == nil || call.state != Offered {
		x.output.Note("fault: route try requested for a call that has ended or already has a try in progress")
		return
	}
	call.tries++
	call.switchID = switchID
	unsent := func(ending policy.Outcome, reason policy.Reason) {
		x.pendingEndings = append(x.pendingEndings, pendingEnding{callID: id, try: call.tries - 1, switchID: switchID, ending: ending, reason: reason})
	}
	i, ok := x.groupBySwitch[switchID]
	if !ok || !x.groups[i].linkUp {
		unsent(policy.Unreachable, policy.NoReason)
		return
	}
	group := &x.groups[i]
	assigned, ok := group.circuits.Seize(x.now, id, call.request.Width)
	if !ok {
		unsent(policy.Unsent, policy.NoCircuit)
		return
	}
	group.changed = true
	call.tryDeadline = call.abandonTime
	if limit > 0 {
		call.tryDeadline = min(call.tryDeadline, x.now+limit)
	}
	call.out = callLeg{Hop{Side: Succeeding, Peer: i}, assigned}
	x.setState(call, Trying)
	x.schedule(call.tryDeadline, dueTryTimeout, uint64(id))
	x.sendSetUp(call)
}

// Block refuses a call.
func (h *actionHandler) Block(id uint32, retryAfter policy.Tenths) {
	x := (*Exchange)(h)
	call := x.calls[id]
	if call == nil {
		return
	}
	cause := isup.NoCircuit
	if call.request.Transit && call.lastCause == isup.Congestion { // tells the preceding exchange that the processor beyond is full
		cause = isup.Congestion
	}
	if call.lastCause == isup.UserBusy {
		cause = isup.UserBusy
	}
	x.finish(call, Refused, cause, retryAfter)
}

// Abort fails a call.
func (h *actionHandler) Abort(id uint32) {
	x := (*Exchange)(h)
	if call := x.calls[id]; call != nil {
		cause := isup.TemporaryFailure
		if call.request.Transit { // the preceding exchange may try another route
			cause = isup.NoCircuit
		}
		x.finish(call, Failed, cause, 0)
	}
}

// Cancel abandons a route try.
func (h *actionHandler) Cancel(id uint32, try int) {
	x := (*Exchange)(h)
	if call := x.calls[id]; call != nil && call.state == Trying && try == call.tries-1 {
		x.releaseTry(call, isup.NormalUnspecified)
		x.endTry(call, policy.Cancelled, policy.NoReason, 0, isup.UserInfo{})
	}
}

// SetTimer schedules a call of the decider's wake-up method.
func (h *actionHandler) SetTimer(at policy.Tenths, token uint64) {
	(*Exchange)(h).schedule(at, dueWake, token)
}

// Subscribe subscribes to the list of switches.
func (h *actionHandler) Subscribe() { h.output.Follow() }

// Log writes a line to the operator's log.
func (h *actionHandler) Log(text string) { h.output.Note(text) }
