package exchange

import (
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// desk is the exchange as the module sees it: each wish is carried out in the order made, and what follows at once from
// one is told only after the module has returned.
type desk Exchange

// Send starts a route try.
func (d *desk) Send(id, to uint32, limit policy.Tenths) {
	x := (*Exchange)(d)
	k := x.calls[id]
	if k == nil || k.state != Offered {
		x.out.Note("fault: the module sends a call that is over or has a try out")
		return
	}
	k.tries++
	k.sw = to
	unsent := func(end policy.Outcome, why policy.Reason) {
		x.later = append(x.later, report{id: id, try: k.tries - 1, sw: to, end: end, why: why})
	}
	i, ok := x.bySwitch[to]
	if !ok || !x.groups[i].up {
		unsent(policy.Unreachable, policy.NoReason)
		return
	}
	g := &x.groups[i]
	b, ok := g.g.Seize(x.now, id, k.ask.Width)
	if !ok {
		unsent(policy.Unsent, policy.NoCircuit)
		return
	}
	g.changed = true
	k.limitAt = k.leavesAt
	if limit > 0 {
		k.limitAt = min(k.limitAt, x.now+limit)
	}
	k.out = leg{Hop{Side: Ahead, Peer: i}, b}
	x.become(k, Trying)
	x.at(k.limitAt, dueLimit, uint64(id))
	x.setUp(k)
}

// Block gives the final answer "refused".
func (d *desk) Block(id uint32, comeBack policy.Tenths) {
	x := (*Exchange)(d)
	k := x.calls[id]
	if k == nil {
		return
	}
	cause := isup.NoCircuit
	if k.ask.Transit && k.cause == isup.Congestion { // the exchange before learns that the processor beyond is full
		cause = isup.Congestion
	}
	if k.cause == isup.UserBusy {
		cause = isup.UserBusy
	}
	x.finish(k, Refused, cause, comeBack)
}

// Abort gives the final answer "failed".
func (d *desk) Abort(id uint32) {
	x := (*Exchange)(d)
	if k := x.calls[id]; k != nil {
		cause := isup.TemporaryFailure
		if k.ask.Transit { // returned: the exchange before may try another way
			cause = isup.NoCircuit
		}
		x.finish(k, Failed, cause, 0)
	}
}

// Cancel calls a try off.
func (d *desk) Cancel(id uint32, try int) {
	x := (*Exchange)(d)
	if k := x.calls[id]; k != nil && k.state == Trying && try == k.tries-1 {
		x.dropTry(k, isup.NormalUnspecified)
		x.tryEnded(k, policy.Cancelled, policy.NoReason, 0, isup.Says{})
	}
}

// SetTimer has the module woken.
func (d *desk) SetTimer(at policy.Tenths, token uint64) { (*Exchange)(d).at(at, dueWake, token) }

// Subscribe asks for the list of switches.
func (d *desk) Subscribe() { d.out.Follow() }

// Log writes a line for staff.
func (d *desk) Log(text string) { d.out.Note(text) }
