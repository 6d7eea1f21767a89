package b2bua

import (
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// policyOutput implements the interface through which the policy acts on the agent.
type policyOutput Agent

// Send starts a route try.
func (d *policyOutput) Send(id, to uint32, limit policy.Tenths) {
	a := (*Agent)(d)
	k := a.byHandle[id]
	if k == nil || k.state != Offered {
		a.transport.Note("fault: the policy routed a call that is over or has a try out")
		return
	}
	t := &routeTry{call: k, number: len(k.tries), switchID: to, state: tryHeld}
	k.tries = append(k.tries, t)
	if a.transport.Abandoned(k.caller, k.callID) { // no try may start for a caller who has abandoned the call
		a.advance(t, eventDrop, "the caller has abandoned the call")
		a.deferred = append(a.deferred, deferredResult{handle: id, try: t.number, abandoned: true})
		return
	}
	f := a.switches[to]
	if f == nil || !a.shouldConnect(f) || len(k.tries) > a.settings.Policy.MaxTries || a.now >= k.deadline {
		a.advance(t, eventDrop, "unknown switch, too many tries, or too late")
		a.deferred = append(a.deferred, deferredResult{handle: id, try: t.number, switchID: to, ending: policy.Unsent, report: noReport})
		return
	}
	t.deadline = k.deadline
	if limit > 0 {
		t.deadline = min(t.deadline, a.now+limit)
	}
	a.setState(k, Trying)
	a.timers.Set(t.deadline, timerTryTimeout, t.token())
	a.placeTry(t, f)
}

// Block gives the final answer "refused", after which the caller may try again.
func (d *policyOutput) Block(id uint32, comeBack policy.Tenths) {
	a := (*Agent)(d)
	if k := a.byHandle[id]; k != nil && k.state == Offered {
		a.refuse(k, sip.ServiceUnavailable, comeBack)
		a.setState(k, Ended)
		a.callCounts.Blocked++
	}
}

// Abort gives the final answer "failed".
func (d *policyOutput) Abort(id uint32) {
	a := (*Agent)(d)
	if k := a.byHandle[id]; k != nil && k.state == Offered {
		a.refuse(k, sip.ServerInternalError, 0)
		a.setState(k, Ended)
		a.callCounts.Aborted++
	}
}

// Cancel cancels a try.
func (d *policyOutput) Cancel(id uint32, try int) {
	a := (*Agent)(d)
	if k := a.byHandle[id]; k != nil && k.state == Trying && try == k.lastTry().number {
		a.tryCounts.Cancelled++
		a.abandonTry(k.lastTry(), "cancelled by the policy")
		a.endTry(k.lastTry(), policy.Cancelled)
	}
}

// SetTimer sets a timer of the policy.
func (d *policyOutput) SetTimer(at policy.Tenths, token uint64) {
	(*Agent)(d).timers.Set(at, timerPolicyWake, token)
}

// Subscribe requests the list of switches. It does nothing, as the notice board is followed all the time.
func (d *policyOutput) Subscribe() {}

// Log logs a message for the operator.
func (d *policyOutput) Log(text string) { d.transport.Note(text) }
