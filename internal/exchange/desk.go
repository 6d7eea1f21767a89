package exchange

import (
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// desk implements policy.Exchange. It carries out the decider's actions in the order they are made; an ending that
// follows at once from an action is reported only after the decider has returned.
type desk Exchange

// Send starts a route try.
func (d *desk) Send(id, to uint32, limit policy.Tenths) {
	x := (*Exchange)(d)
	k := x.calls[id]
	if k == nil || k.state != Offered {
		x.out.Note("fault: route try requested for a call that has ended or already has a try in progress")
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

// Block refuses a call.
func (d *desk) Block(id uint32, comeBack policy.Tenths) {
	x := (*Exchange)(d)
	k := x.calls[id]
	if k == nil {
		return
	}
	cause := isup.NoCircuit
	if k.ask.Transit && k.cause == isup.Congestion { // tells the preceding exchange that the processor beyond is full
		cause = isup.Congestion
	}
	if k.cause == isup.UserBusy {
		cause = isup.UserBusy
	}
	x.finish(k, Refused, cause, comeBack)
}

// Abort fails a call.
func (d *desk) Abort(id uint32) {
	x := (*Exchange)(d)
	if k := x.calls[id]; k != nil {
		cause := isup.TemporaryFailure
		if k.ask.Transit { // the preceding exchange may try another route
			cause = isup.NoCircuit
		}
		x.finish(k, Failed, cause, 0)
	}
}

// Cancel abandons a route try.
func (d *desk) Cancel(id uint32, try int) {
	x := (*Exchange)(d)
	if k := x.calls[id]; k != nil && k.state == Trying && try == k.tries-1 {
		x.dropTry(k, isup.NormalUnspecified)
		x.tryEnded(k, policy.Cancelled, policy.NoReason, 0, isup.Says{})
	}
}

// SetTimer schedules a call of the decider's wake-up method.
func (d *desk) SetTimer(at policy.Tenths, token uint64) { (*Exchange)(d).at(at, dueWake, token) }

// Subscribe subscribes to the list of switches.
func (d *desk) Subscribe() { d.out.Follow() }

// Log writes a line to the operator's log.
func (d *desk) Log(text string) { d.out.Note(text) }
