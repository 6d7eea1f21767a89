package exchange

import (
	"indigodrift/internal/circuit"
	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// Keeper stores what must survive a restart of the process. Its methods must neither block nor call back.
type Keeper interface {
	Put(k recovery.StoredCall)     // add or replace a call
	Drop(id uint32)                // remove a call
	Knows(number int, life string) // record the process lifetime of a neighbour's switch, or of the own one for -1
}

// noKeeper stores nothing.
type noKeeper struct{}

func (noKeeper) Put(recovery.StoredCall) {}
func (noKeeper) Drop(uint32)             {}
func (noKeeper) Knows(int, string)       {}

// Keep makes the exchange store its calls in k from now on. wall converts an instant to tenths of a millisecond since
// 1970.
func (x *Exchange) Keep(k Keeper, wall func(policy.Tenths) int64) { x.keeper, x.wall = k, wall }

// kept returns the form in which a call is stored.
func (x *Exchange) kept(k *call, p recovery.Phase) recovery.StoredCall {
	r := recovery.StoredCall{ID: k.id, Phase: p, In: x.place(k.in), Ref: k.ref, Transit: k.ask.Transit, Since: x.wall(x.now), Until: x.wall(k.leavesAt + handBack)}
	if p == recovery.Established {
		r.Out = x.place(k.out)
	}
	return r
}

// place returns the stored form of a leg.
func (x *Exchange) place(l leg) recovery.Place {
	if l.hop.Side == Line {
		return recovery.Place{Point: l.hop.Point, CIC: l.bundle.CIC}
	}
	return recovery.Place{Trunk: true, Number: x.groups[l.hop.Peer].number, CIC: l.bundle.CIC, Slots: l.bundle.Slots}
}

// leg returns the leg for its stored form; false if the neighbour is not configured any more.
func (x *Exchange) leg(p recovery.Place, out bool) (leg, bool) {
	if !p.Trunk {
		return leg{Hop{Side: Line, Point: p.Point}, circuit.Bundle{CIC: p.CIC}}, true
	}
	i, ok := x.byNumber[p.Number]
	side := Behind
	if out {
		side = Ahead
	}
	return leg{Hop{Side: side, Peer: i}, circuit.Bundle{CIC: p.CIC, Slots: p.Slots}}, ok
}

// Restore takes over the stored calls of the previous process. It must be called before any link is up, and returns the
// number of established calls that continue. Their circuits are compared with the neighbours once the links are up, and
// waiting callers are answered once the own switch is up. Calls in set-up fail: otherwise a new try could follow one of
// the previous process within its release time.
func (x *Exchange) Restore(now policy.Tenths, life recovery.Process, all []recovery.Decision) (standing int) {
	x.now = now
	x.ownLife = life.OwnIncarnation
	x.coldFrom = recovery.ColdSwitchHoldEnd(now, x.d)
	for i := range x.groups {
		g := &x.groups[i]
		g.life, g.anew = life.Incarnations[g.number], true
		g.auditAt = recovery.FirstAuditTime(now, x.own, i, len(x.groups))
	}
	for _, v := range all {
		x.nextID = max(x.nextID, v.ID)
		switch v.Outcome {
		case recovery.Continue:
			if x.standOn(v.StoredCall) {
				standing++
			}
		case recovery.AnswerFailed:
			if !v.In.Trunk { // a neighbour learns of it by the reset of the circuit
				x.fails = append(x.fails, v.StoredCall)
			}
		case recovery.Release: // neighbours learn of it by a circuit reset, lines by a release
			for _, p := range []recovery.Place{v.In, v.Out} {
				if !p.Trunk {
					x.cuts = append(x.cuts, p)
				}
			}
		}
	}
	return standing
}

// standOn restores an established call; false if its circuits are unknown or taken.
func (x *Exchange) standOn(v recovery.StoredCall) bool {
	in, ok := x.leg(v.In, false)
	out, ok2 := x.leg(v.Out, true)
	if !ok || !ok2 {
		return false
	}
	k := &call{id: v.ID, in: in, out: out, ref: v.Ref, beganAt: x.now, leavesAt: x.now, closed: true}
	k.ask.Transit = v.Transit
	for n, l := range []leg{in, out} {
		if l.hop.Side != Line && !x.groups[l.hop.Peer].g.Keep(x.now, k.id, l.bundle, n == 0) {
			if n == 1 && in.hop.Side != Line {
				x.groups[in.hop.Peer].g.Drop(x.now, in.bundle.CIC, true)
			}
			return false
		}
	}
	for _, l := range []leg{in, out} {
		if l.hop.Side == Line {
			x.lines[lineKey{l.hop.Point, l.bundle.CIC}] = k.id
			if l.hop.Point >= CalledFrom {
				x.nextLine = max(x.nextLine, uint32(l.hop.Point-CalledFrom)<<12|uint32(l.bundle.CIC))
			}
		}
	}
	x.calls[k.id] = k
	x.become(k, Standing)
	return true
}

// tellKept releases the lines of calls of the previous process that failed or were lost. It runs once the own switch is
// up and has not restarted.
func (x *Exchange) tellKept() {
	for _, k := range x.fails {
		if x.wall(x.now) < k.Until-int64(handBack) {
			x.out.Transmit(Hop{Side: Line, Point: k.In.Point}, isup.Message{CIC: k.In.CIC, Type: isup.REL, Cause: isup.TemporaryFailure, Location: isup.LocalNetwork})
		}
		x.keeper.Drop(k.ID)
	}
	for _, p := range x.cuts {
		x.out.Transmit(Hop{Side: Line, Point: p.Point}, isup.Message{CIC: p.CIC, Type: isup.REL, Cause: isup.NetworkOutOfOrder, Location: isup.LocalNetwork})
	}
	x.fails, x.cuts = nil, nil
}

// Unagreed returns the number of circuits of restored calls that the neighbours have not confirmed.
func (x *Exchange) Unagreed() (n int) {
	for i := range x.groups {
		n += x.groups[i].g.UnsureCount()
	}
	return n
}

// answerQuery answers a neighbour's circuit group query.
func (x *Exchange) answerQuery(from Hop, m isup.Message) {
	g := &x.groups[from.Peer]
	states := make([]byte, int(m.Range)+1)
	for i := range states {
		states[i] = g.g.Indicator(m.CIC + uint16(i))
	}
	x.out.Transmit(from, isup.Message{CIC: m.CIC, Type: isup.CQR, Range: m.Range, States: string(states)})
}

// compare compares a neighbour's circuit states with those held here, and drops or resets circuits that differ.
func (x *Exchange) compare(peer int, m isup.Message) {
	g := &x.groups[peer]
	for i := range len(m.States) {
		cic := m.CIC + uint16(i)
		if !g.g.Unsure(cic) { // resolved since the query was sent
			continue
		}
		state, id, _ := g.g.State(cic)
		ours := recovery.Idle
		switch state {
		case circuit.Seized, circuit.Outgoing:
			ours = recovery.Outgoing
		case circuit.Incoming:
			ours = recovery.Incoming
		case circuit.Releasing, circuit.Resetting:
			ours = recovery.Clearing
		}
		step := recovery.CompareStates(ours, m.States[i])
		switch step {
		case recovery.NoAction:
			g.g.Sure(cic)
		case recovery.DropCall, recovery.ResetCircuit:
			g.g.Drop(x.now, cic, step == recovery.ResetCircuit)
			g.changed = true
			x.lose(peer, []uint32{id})
		}
	}
	x.audit()
}
