package exchange

import (
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// executor implements policy.Executor. It carries out the decider's actions in the order they are made. The end of a
// try that follows at once from an action is reported only after the decider has returned.
type executor Exchange

// Send starts a route try.
func (e *executor) Send(id, switchID uint32, timeout policy.Tenths) {
	x := (*Exchange)(e)
	call := x.calls[id]
	if call == nil || call.state != Offered {
		x.output.Log("fault: route try requested for a call that has ended or already has a try in progress")
		return
	}
	call.tries++
	call.switchID = switchID
	unsent := func(outcome policy.Outcome, reason policy.Reason) {
		x.pendingResults = append(x.pendingResults,
			tryResult{callID: id, try: call.tries - 1, switchID: switchID, outcome: outcome, reason: reason})
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
	if timeout > 0 {
		call.tryDeadline = min(call.tryDeadline, x.now+timeout)
	}
	call.out = callLeg{Hop{Side: Succeeding, Peer: i}, assigned}
	x.setState(call, Trying)
	x.timers.Stop(call.tryTimer)
	call.tryTimer = x.schedule(call.tryDeadline, dueTryTimeout, uint64(id))
	x.sendSetUp(call)
}

// Block refuses a call.
func (e *executor) Block(id uint32, retryAfter policy.Tenths) {
	x := (*Exchange)(e)
	call := x.calls[id]
	if call == nil {
		return
	}
	cause := isup.NoCircuit
	if call.request.Transit && call.lastCause == isup.Congestion { // tells the preceding exchange that a processor is overloaded
		cause = isup.Congestion
	}
	if call.lastCause == isup.UserBusy {
		cause = isup.UserBusy
	}
	x.finish(call, Refused, cause, retryAfter)
}

// Abort fails a call.
func (e *executor) Abort(id uint32) {
	x := (*Exchange)(e)
	if call := x.calls[id]; call != nil {
		cause := isup.TemporaryFailure
		if call.request.Transit { // the preceding exchange may try another route
			cause = isup.NoCircuit
		}
		x.finish(call, Failed, cause, 0)
	}
}

// Cancel abandons a route try.
func (e *executor) Cancel(id uint32, try int) {
	x := (*Exchange)(e)
	if call := x.calls[id]; call != nil && call.state == Trying && try == call.tries-1 {
		x.releaseTry(call, isup.NormalUnspecified)
		x.endTry(call, policy.Cancelled, policy.NoReason, 0, isup.UserInfo{})
	}
}

// SetTimer schedules a call of Decider.TimerExpired.
func (e *executor) SetTimer(at policy.Tenths, token uint64) {
	x := (*Exchange)(e)
	timer := x.schedule(at, dueDeciderTimer, token)
	if call := x.calls[uint32(token)]; call != nil && uint64(call.id) == token {
		call.deciderTimers.Add(timer)
	}
}

// Subscribe requests the list of switches.
func (e *executor) Subscribe() { e.output.RequestSwitchList() }

// Log writes a line to the operator's log.
func (e *executor) Log(text string) { e.output.Log(text) }
