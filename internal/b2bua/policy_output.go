package b2bua

import (
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// policyOutput implements the interface through which the policy acts on the agent.
type policyOutput Agent

// Send starts a route try.
func (p *policyOutput) Send(id, switchID uint32, timeout policy.Tenths) {
	a := (*Agent)(p)
	call := a.byHandle[id]
	if call == nil || call.state != Offered {
		a.transport.Log("fault: the policy routed a call that is over or has a try out")
		return
	}
	try := &routeTry{call: call, number: len(call.tries), switchID: switchID, state: tryHeld}
	call.tries = append(call.tries, try)
	if a.transport.Abandoned(call.callerConnID, call.callID) { // no try may start for a caller who has abandoned the call
		a.advance(try, eventDrop, "the caller has abandoned the call")
		a.deferred = append(a.deferred, deferredResult{handle: id, try: try.number, abandoned: true})
		return
	}
	remote := a.switches[switchID]
	if remote == nil || !a.shouldConnect(remote) || len(call.tries) > a.settings.Policy.MaxTries || a.now >= call.deadline {
		a.advance(try, eventDrop, "unknown switch, too many tries, or too late")
		a.deferred = append(a.deferred, deferredResult{handle: id, try: try.number, switchID: switchID, outcome: policy.Unsent, report: noReport})
		return
	}
	try.deadline = call.deadline
	if timeout > 0 {
		try.deadline = min(try.deadline, a.now+timeout)
	}
	a.setState(call, Trying)
	a.setTryTimeout(try)
	a.placeTry(try, remote)
}

// Block gives the final answer "refused", after which the caller may try again.
func (p *policyOutput) Block(id uint32, retryAfter policy.Tenths) {
	a := (*Agent)(p)
	if call := a.byHandle[id]; call != nil && call.state == Offered {
		a.refuse(call, sip.ServiceUnavailable, retryAfter)
		a.setState(call, Ended)
		a.callCounts.Blocked++
	}
}

// Abort gives the final answer "failed".
func (p *policyOutput) Abort(id uint32) {
	a := (*Agent)(p)
	if call := a.byHandle[id]; call != nil && call.state == Offered {
		a.refuse(call, sip.ServerInternalError, 0)
		a.setState(call, Ended)
		a.callCounts.Aborted++
	}
}

// Cancel cancels a try.
func (p *policyOutput) Cancel(id uint32, try int) {
	a := (*Agent)(p)
	if call := a.byHandle[id]; call != nil && call.state == Trying && try == call.lastTry().number {
		a.tryCounts.Cancelled++
		a.abandonTry(call.lastTry(), "cancelled by the policy")
		a.endTry(call.lastTry(), policy.Cancelled)
	}
}

// SetTimer sets a timer of the policy.
func (p *policyOutput) SetTimer(at policy.Tenths, token uint64) {
	(*Agent)(p).setPolicyTimer(at, token)
}

// Subscribe requests the list of switches. It does nothing, as the notice board is followed all the time.
func (p *policyOutput) Subscribe() {}

// Log logs a message for the operator.
func (p *policyOutput) Log(text string) { p.transport.Log(text) }
