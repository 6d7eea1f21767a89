package b2bua

import (
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// desk implements the interface through which the policy acts on the agent.
type desk Agent

// Send starts a route try.
func (d *desk) Send(id, to uint32, limit policy.Tenths) {
	a := (*Agent)(d)
	k := a.byHandle[id]
	if k == nil || k.state != Offered {
		a.out.Note("fault: the policy routed a call that is over or has a try out")
		return
	}
	t := &routeTry{call: k, number: len(k.tries), sw: to, state: tryHeld}
	k.tries = append(k.tries, t)
	if a.out.Left(k.caller, k.callID) { // no try may start for a caller who has abandoned the call
		a.advance(t, eventDrop, "the caller has abandoned the call")
		a.later = append(a.later, report{handle: id, try: t.number, left: true})
		return
	}
	f := a.far[to]
	if f == nil || !a.wanted(f) || len(k.tries) > a.set.Policy.MaxTries || a.now >= k.leavesAt {
		a.advance(t, eventDrop, "unknown switch, too many tries, or too late")
		a.later = append(a.later, report{handle: id, try: t.number, sw: to, end: policy.Unsent, rep: untold})
		return
	}
	t.limitAt = k.leavesAt
	if limit > 0 {
		t.limitAt = min(t.limitAt, a.now+limit)
	}
	a.become(k, Trying)
	a.timers.Set(t.limitAt, dueTry, t.token())
	a.place(t, f)
}

// Block gives the final answer "refused", after which the caller may try again.
func (d *desk) Block(id uint32, comeBack policy.Tenths) {
	a := (*Agent)(d)
	if k := a.byHandle[id]; k != nil && k.state == Offered {
		a.refuse(k, sip.ServiceUnavailable, comeBack)
		a.become(k, Over)
		a.tally.Blocked++
	}
}

// Abort gives the final answer "failed".
func (d *desk) Abort(id uint32) {
	a := (*Agent)(d)
	if k := a.byHandle[id]; k != nil && k.state == Offered {
		a.refuse(k, sip.ServerInternalError, 0)
		a.become(k, Over)
		a.tally.Aborted++
	}
}

// Cancel cancels a try.
func (d *desk) Cancel(id uint32, try int) {
	a := (*Agent)(d)
	if k := a.byHandle[id]; k != nil && k.state == Trying && try == k.last().number {
		a.tries.Cancelled++
		a.abandon(k.last(), "cancelled by the policy")
		a.endTry(k.last(), policy.Cancelled)
	}
}

// SetTimer sets a timer of the policy.
func (d *desk) SetTimer(at policy.Tenths, token uint64) { (*Agent)(d).timers.Set(at, dueWake, token) }

// Subscribe requests the list of switches. It does nothing, as the notice board is followed all the time.
func (d *desk) Subscribe() {}

// Log logs a message for the operator.
func (d *desk) Log(text string) { d.out.Note(text) }
