package exchange

import (
	"indigodrift/internal/circuit"
	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// CallStore stores what must survive a restart of the process. Its methods must neither block nor call back.
type CallStore interface {
	Put(k recovery.StoredCall)                     // add or replace a call
	Drop(id uint32)                                // remove a call
	SetIncarnation(number int, incarnation string) // record the incarnation of a neighbour's switch, or of the own one for -1
}

// nullStore stores nothing.
type nullStore struct{}

func (nullStore) Put(recovery.StoredCall)    {}
func (nullStore) Drop(uint32)                {}
func (nullStore) SetIncarnation(int, string) {}

// SetStore makes the exchange store its calls from now on. wallClock converts an instant to tenths of a millisecond since
// 1970.
func (x *Exchange) SetStore(store CallStore, wallClock func(policy.Tenths) int64) {
	x.store, x.wallClock = store, wallClock
}

// storedCall returns the form in which a call is stored.
func (x *Exchange) storedCall(call *activeCall, phase recovery.Phase) recovery.StoredCall {
	stored := recovery.StoredCall{
		ID:      call.id,
		Phase:   phase,
		In:      x.storedLeg(call.in),
		Ref:     call.ref,
		Transit: call.request.Transit,
		Since:   x.wallClock(x.now),
		Until:   x.wallClock(call.abandonTime + answerMargin),
	}
	if phase == recovery.Established {
		stored.Out = x.storedLeg(call.out)
	}
	return stored
}

// storedLeg returns the stored form of a leg.
func (x *Exchange) storedLeg(leg callLeg) recovery.Leg {
	if leg.hop.Side == Line {
		return recovery.Leg{Point: leg.hop.Point, CIC: leg.circuits.CIC}
	}
	return recovery.Leg{Trunk: true, Number: x.groups[leg.hop.Peer].number, CIC: leg.circuits.CIC, Slots: leg.circuits.Slots}
}

// restoredLeg returns the leg for its stored form; false if the neighbour is not configured any more.
func (x *Exchange) restoredLeg(stored recovery.Leg, out bool) (callLeg, bool) {
	if !stored.Trunk {
		return callLeg{Hop{Side: Line, Point: stored.Point}, circuit.Assignment{CIC: stored.CIC}}, true
	}
	i, ok := x.groupByNumber[stored.Number]
	side := Preceding
	if out {
		side = Succeeding
	}
	return callLeg{Hop{Side: side, Peer: i}, circuit.Assignment{CIC: stored.CIC, Slots: stored.Slots}}, ok
}

// Restore takes over the stored calls of the previous process. It must be called before any link is up, and returns the
// number of established calls that continue. Their circuits are compared with the neighbours once the links are up, and
// waiting callers are answered once the own switch is up. Calls in set-up fail: otherwise a new try could follow one of
// the previous process within its release time.
func (x *Exchange) Restore(now policy.Tenths, previous recovery.Process, decisions []recovery.Decision) (restored int) {
	x.now = now
	x.ownIncarnation = previous.OwnIncarnation
	x.coldHoldUntil = recovery.ColdSwitchHoldEnd(now, x.deployment)
	for i := range x.groups {
		group := &x.groups[i]
		group.incarnation, group.restored = previous.Incarnations[group.number], true
		group.earliestAudit = recovery.FirstAuditTime(now, x.ownNumber, i, len(x.groups))
	}
	for _, decision := range decisions {
		x.lastCallID = max(x.lastCallID, decision.ID)
		switch decision.Outcome {
		case recovery.Continue:
			if x.restoreCall(decision.StoredCall) {
				restored++
			}
		case recovery.AnswerFailed:
			if !decision.In.Trunk { // a neighbour learns of it by the reset of the circuit
				x.failedCalls = append(x.failedCalls, decision.StoredCall)
			}
		case recovery.Release: // neighbours learn of it by a circuit reset, lines by a release
			for _, leg := range []recovery.Leg{decision.In, decision.Out} {
				if !leg.Trunk {
					x.lostLines = append(x.lostLines, leg)
				}
			}
		}
	}
	return restored
}

// restoreCall restores an established call; false if its circuits are unknown or taken.
func (x *Exchange) restoreCall(stored recovery.StoredCall) bool {
	in, inOK := x.restoredLeg(stored.In, false)
	out, outOK := x.restoredLeg(stored.Out, true)
	if !inOK || !outOK {
		return false
	}
	call := &activeCall{id: stored.ID, in: in, out: out, ref: stored.Ref, startTime: x.now, abandonTime: x.now, answerReported: true}
	call.request.Transit = stored.Transit
	for n, leg := range []callLeg{in, out} {
		if leg.hop.Side != Line && !x.groups[leg.hop.Peer].circuits.Restore(x.now, call.id, leg.circuits, n == 0) {
			if n == 1 && in.hop.Side != Line {
				x.groups[in.hop.Peer].circuits.Drop(x.now, in.circuits.CIC, true)
			}
			return false
		}
	}
	for _, leg := range []callLeg{in, out} {
		if leg.hop.Side == Line {
			x.callByLine[lineKey{leg.hop.Point, leg.circuits.CIC}] = call.id
			if leg.hop.Point >= FirstCalledPoint {
				x.lastCalledLine = max(x.lastCalledLine, uint32(leg.hop.Point-FirstCalledPoint)<<12|uint32(leg.circuits.CIC))
			}
		}
	}
	x.calls[call.id] = call
	x.setState(call, Established)
	return true
}

// releaseLostCallers releases the lines of calls of the previous process that failed or were lost. It runs once the own
// switch is up and has not restarted.
func (x *Exchange) releaseLostCallers() {
	for _, stored := range x.failedCalls {
		if x.wallClock(x.now) < stored.Until-int64(answerMargin) {
			x.output.Transmit(Hop{Side: Line, Point: stored.In.Point},
				isup.Message{CIC: stored.In.CIC, Type: isup.REL, Cause: isup.TemporaryFailure, Location: isup.LocalNetwork})
		}
		x.store.Drop(stored.ID)
	}
	for _, line := range x.lostLines {
		x.output.Transmit(Hop{Side: Line, Point: line.Point},
			isup.Message{CIC: line.CIC, Type: isup.REL, Cause: isup.NetworkOutOfOrder, Location: isup.LocalNetwork})
	}
	x.failedCalls, x.lostLines = nil, nil
}

// UnconfirmedCircuits returns the number of circuits of restored calls that the neighbours have not confirmed.
func (x *Exchange) UnconfirmedCircuits() (n int) {
	for i := range x.groups {
		n += x.groups[i].circuits.UnconfirmedCount()
	}
	return n
}

// answerCircuitQuery answers a neighbour's circuit group query.
func (x *Exchange) answerCircuitQuery(from Hop, msg isup.Message) {
	group := &x.groups[from.Peer]
	states := make([]byte, int(msg.Range)+1)
	for i := range states {
		states[i] = group.circuits.Indicator(msg.CIC + uint16(i))
	}
	x.output.Transmit(from, isup.Message{CIC: msg.CIC, Type: isup.CQR, Range: msg.Range, States: string(states)})
}

// compareCircuits compares a neighbour's circuit states with those held here, and drops or resets circuits that differ.
func (x *Exchange) compareCircuits(peer int, msg isup.Message) {
	group := &x.groups[peer]
	for i := range len(msg.States) {
		cic := msg.CIC + uint16(i)
		if !group.circuits.Unconfirmed(cic) { // resolved since the query was sent
			continue
		}
		state, id, _ := group.circuits.State(cic)
		held := recovery.Idle
		switch state {
		case circuit.Seized, circuit.Outgoing:
			held = recovery.Outgoing
		case circuit.Incoming:
			held = recovery.Incoming
		case circuit.Releasing, circuit.Resetting:
			held = recovery.Clearing
		}
		action := recovery.CompareStates(held, msg.States[i])
		switch action {
		case recovery.NoAction:
			group.circuits.Confirm(cic)
		case recovery.DropCall, recovery.ResetCircuit:
			group.circuits.Drop(x.now, cic, action == recovery.ResetCircuit)
			group.changed = true
			x.endOnLostCircuits(peer, []uint32{id})
		}
	}
	x.audit()
}
