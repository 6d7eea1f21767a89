package exchange

import (
	"indigodrift/internal/circuit"
	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// Keeper keeps what must outlive this process. Its methods must neither wait nor call back.
type Keeper interface {
	Put(k recovery.StoredCall)
	Drop(id uint32)
	Knows(number int, life string) // the life of a neighbour's switch; -1: of the own one
}

// noKeeper keeps nothing.
type noKeeper struct{}

func (noKeeper) Put(recovery.StoredCall) {}
func (noKeeper) Drop(uint32)             {}
func (noKeeper) Knows(int, string)       {}

// Keep has the exchange tell a keeper of its calls from now on; wall turns an instant into tenths since 1970.
func (x *Exchange) Keep(k Keeper, wall func(policy.Tenths) int64) { x.keeper, x.wall = k, wall }

// kept is a call as the keeper gets it.
func (x *Exchange) kept(k *call, p recovery.Phase) recovery.StoredCall {
	r := recovery.StoredCall{ID: k.id, Phase: p, In: x.place(k.in), Ref: k.ref, Transit: k.ask.Transit, Since: x.wall(x.now), Until: x.wall(k.leavesAt + handBack)}
	if p == recovery.Established {
		r.Out = x.place(k.out)
	}
	return r
}

func (x *Exchange) place(l leg) recovery.Place {
	if l.hop.Side == Line {
		return recovery.Place{Point: l.hop.Point, CIC: l.bundle.CIC}
	}
	return recovery.Place{Trunk: true, Number: x.groups[l.hop.Peer].number, CIC: l.bundle.CIC, Slots: l.bundle.Slots}
}

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

// Restore takes up what was kept of the life before, before any link is up: calls that stand on stand, and their circuits are asked
// about once the far switches answer; callers who wait are told once the own one does. No call that was being set up goes on: it is
// answered failed, so that no try of this life follows one of the last within its release time. It returns how many stand on.
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
			if !v.In.Trunk { // one from a neighbour is told by the reset of its circuit
				x.fails = append(x.fails, v.StoredCall)
			}
		case recovery.Release: // the far ends learn of it by reset, the lines by release
			for _, p := range []recovery.Place{v.In, v.Out} {
				if !p.Trunk {
					x.cuts = append(x.cuts, p)
				}
			}
		}
	}
	return standing
}

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

// told tells callers of the life before what became of their calls, once the own switch is up and is the one that knew them.
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

// Unagreed counts the circuits of kept calls that their far ends have not answered for.
func (x *Exchange) Unagreed() (n int) {
	for i := range x.groups {
		n += x.groups[i].g.UnsureCount()
	}
	return n
}

// answerQuery tells a neighbour the state of its circuits with us.
func (x *Exchange) answerQuery(from Hop, m isup.Message) {
	g := &x.groups[from.Peer]
	states := make([]byte, int(m.Range)+1)
	for i := range states {
		states[i] = g.g.Indicator(m.CIC + uint16(i))
	}
	x.out.Transmit(from, isup.Message{CIC: m.CIC, Type: isup.CQR, Range: m.Range, States: string(states)})
}

// compare takes a neighbour's answer, circuit by circuit.
func (x *Exchange) compare(peer int, m isup.Message) {
	g := &x.groups[peer]
	for i := range len(m.States) {
		cic := m.CIC + uint16(i)
		if !g.g.Unsure(cic) { // it has been settled since it was asked about
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
