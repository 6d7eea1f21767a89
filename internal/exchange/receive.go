package exchange

import (
	"strconv"

	"indigodrift/internal/circuit"
	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// Receive handles a message from a hop. age is the time that the message waited before it was read.
func (x *Exchange) Receive(now policy.Tenths, from Hop, m isup.Message, age policy.Tenths) {
	x.now = now
	if from.Side == Line {
		x.fromLine(from, m, age)
	} else {
		x.fromTrunk(from, m, age)
	}
	x.settle()
}

// fromLine handles a message from a line.
func (x *Exchange) fromLine(from Hop, m isup.Message, age policy.Tenths) {
	key := lineKey{from.Point, m.CIC}
	k := x.calls[x.lines[key]]
	switch m.Type {
	case isup.IAM:
		if k != nil {
			x.out.Note("fault: set-up on a subscriber circuit that already has a call")
			return
		}
		x.nextID++
		x.begin(x.nextID, leg{from, circuit.Bundle{CIC: m.CIC}}, m, age)
	case isup.ANM:
		if k != nil && k.state == Answering {
			x.stand(k, m.Says)
		}
	case isup.REL:
		x.out.Transmit(from, isup.Message{CIC: m.CIC, Type: isup.RLC})
		switch {
		case k == nil:
		case k.in.hop == from && k.in.bundle.CIC == m.CIC:
			x.forwardGone(k, m.Cause)
		default:
			x.backward(k, policy.Released, policy.NoReason, m)
		}
	}
}

// fromTrunk handles a message about circuits of a trunk group.
func (x *Exchange) fromTrunk(from Hop, m isup.Message, age policy.Tenths) {
	g := &x.groups[from.Peer]
	state, id, known := g.g.State(m.CIC)
	if !known {
		x.out.Note("fault: message for circuit " + strconv.Itoa(int(m.CIC)) + ", which the trunk group to exchange " +
			strconv.Itoa(g.number) + " does not have")
		return
	}
	g.changed = true
	k := x.calls[id]
	if k != nil && !names(k, from.Peer, m.CIC) && (m.Type == isup.ANM || m.Type == isup.REL || m.Type == isup.ACM || m.Type == isup.RLC) {
		// Messages of a multirate call name only its lowest circuit. A release on another of its circuits concerns an
		// earlier call; applied to this one, it caused a second try while the first was still in progress.
		if m.Type == isup.REL {
			x.out.Transmit(from, isup.Message{CIC: m.CIC, Type: isup.RLC})
		}
		return
	}
	reply := func(t isup.Type) {
		r := isup.Message{CIC: m.CIC, Type: t, Range: m.Range}
		if t == isup.RLC {
			x.sayYielded(from.Peer, &r)
		}
		x.out.Transmit(from, r)
	}
	if m.Says.Marks&isup.Yielded != 0 && (state == circuit.Seized || state == circuit.Outgoing || state == circuit.Releasing) {
		g.g.Crossed(x.now, m.CIC)
	}
	switch m.Type {
	case isup.IAM:
		if from.Side != Behind {
			x.out.Note("fault: set-up received on a link that carries only set-ups of this exchange")
			return
		}
		x.arrived(from, m, age)
	case isup.ACM:
		g.g.Answered(x.now, m.CIC)
	case isup.ANM:
		switch {
		case state == circuit.Idle: // answer to a call that has ended here: reset the circuit at both ends
			reply(isup.RSC)
		case k != nil && k.state == Trying && k.out.hop.Peer == from.Peer && from.Side == Ahead &&
			(state == circuit.Seized || state == circuit.Outgoing):
			g.g.Answered(x.now, m.CIC)
			x.circuits(from.Peer, m.Says)
			x.stand(k, m.Says)
		}
	case isup.REL:
		reply(isup.RLC)
		ours := state == circuit.Seized || state == circuit.Outgoing
		switch {
		case from.Side == Ahead && ours:
			g.g.Cleared(x.now, m.CIC, true)
			if k != nil {
				end, why := ending(m)
				x.backward(k, end, why, m)
			}
		case from.Side == Behind && state == circuit.Incoming:
			g.g.Cleared(x.now, m.CIC, true)
			if k != nil {
				x.forwardGone(k, m.Cause)
			}
		case from.Side == Behind && ours && k != nil && k.state == Trying:
			// The neighbour releases a call whose set-up never arrived here. It has ignored our set-up, which crossed its own.
			x.dropTry(k, isup.NormalUnspecified)
			x.tryEnded(k, policy.Disconnected, policy.NoReason, 0, m.Says)
		}
	case isup.RLC:
		// If the circuit carries a call of the neighbour, this answers the repetition of an earlier release. Clearing the
		// circuit would disconnect an established call.
		if state == circuit.Releasing || state == circuit.Resetting {
			g.g.Cleared(x.now, m.CIC, false)
		}
	case isup.BLO:
		g.g.Block(m.CIC, true)
		reply(isup.BLA)
	case isup.UBL:
		g.g.Block(m.CIC, false)
		reply(isup.UBA)
	case isup.RSC:
		if lost, ok := g.g.WasReset(x.now, m.CIC, 1); ok {
			reply(isup.RLC)
			x.lose(from.Peer, lost)
		}
	case isup.GRS:
		if lost, ok := g.g.WasReset(x.now, m.CIC, int(m.Range)+1); ok {
			reply(isup.GRA)
			x.lose(from.Peer, lost)
		}
	case isup.CQM:
		x.answerQuery(from, m)
	case isup.CQR:
		x.compare(from.Peer, m)
	case isup.GRA:
		g.g.ResetDone(x.now, m.CIC, int(m.Range)+1)
	}
}

// names reports whether the messages of a call name a given circuit of the trunk group to a neighbour.
func names(k *call, peer int, cic uint16) bool {
	for _, l := range []leg{k.in, k.out} {
		if l.hop.Side != Line && l.hop.Peer == peer && l.bundle.CIC == cic {
			return true
		}
	}
	return false
}

// arrived handles a neighbour's set-up: it resolves a dual seizure, then starts the call.
func (x *Exchange) arrived(from Hop, m isup.Message, age policy.Tenths) {
	g := &x.groups[from.Peer]
	b := circuit.Bundle{CIC: m.CIC, Slots: m.Slots}
	x.nextID++ // id of the call if it is accepted
	verdict, yielded, gone := g.g.Arrived(x.now, x.nextID, b, m.Width)
	for _, id := range gone {
		if k := x.calls[id]; k != nil {
			x.forwardGone(k, isup.NetworkOutOfOrder)
		}
	}
	switch verdict {
	case circuit.Unknown:
		x.out.Note("fault: set-up for circuits that the trunk group to exchange " + strconv.Itoa(g.number) + " does not have")
		x.out.Transmit(from, isup.Message{CIC: m.CIC, Type: isup.REL, Cause: isup.NoCircuit, Location: isup.LocalNetwork})
	case circuit.Taken:
		for _, id := range yielded {
			if k := x.calls[id]; k != nil && k.state == Trying {
				x.repeatTry(k)
			}
		}
		x.begin(x.nextID, leg{from, b}, m, age)
	}
}

// repeatTry repeats a try that lost its circuits to a call of the neighbour, on other circuits of the same group (the
// automatic repeat attempt of Q.764, 2.8.1), or else returns the call to the decider. The decider does not see the
// repeat. It is therefore not made to a switch that is no longer listed as ready, nor to a cold switch, whose slow-start
// budget would not count it.
func (x *Exchange) repeatTry(k *call) {
	g := &x.groups[k.out.hop.Peer]
	cold := g.bootAt > 0 && x.now < g.bootAt+x.d.RampTime
	if g.up && g.ready && g.sw == k.sw && !cold {
		if b, ok := g.g.Seize(x.now, k.id, k.ask.Width); ok {
			k.out.bundle = b
			x.setUp(k)
			return
		}
	}
	x.tryEnded(k, policy.Blocked, policy.NoCircuit, 0, isup.Says{})
}

// begin starts a new call, or refuses it when it cannot be served. A call to a line of this exchange is passed to that
// line, all others are offered to the decider.
func (x *Exchange) begin(id uint32, in leg, m isup.Message, age policy.Tenths) {
	transit := in.hop.Side == Behind
	refuse := func(c isup.Cause) {
		says := isup.Says{}
		if x.draining && x.d.MaxRetryAfter > 0 {
			says = isup.Says{Has: isup.PartComeBack, ComeBack: uint32(x.d.MaxRetryAfter)}
		}
		x.release(in, isup.Message{Type: isup.REL, Cause: c, Location: isup.LocalNetwork, Says: says})
	}
	bearer := int(m.Says.Bearer)
	switch {
	case x.draining:
		refuse(isup.Congestion)
		return
	case bearer >= len(x.d.Bearers) || m.Width < 1:
		x.out.Note("fault: call with an unknown bearer type or no circuits")
		refuse(isup.TemporaryFailure)
		return
	case transit && m.Hops == 0:
		refuse(isup.Congestion)
		return
	}
	left := x.d.Bearers[bearer].AbandonTime
	if m.Says.Has&isup.PartLeft != 0 {
		left = policy.Tenths(m.Says.Left) - age
	}
	if left > 0 && left <= handBack { // too late for a route try, but an answer still reaches the caller
		refuse(isup.TemporaryFailure)
		return
	}
	if left -= handBack; left <= 0 {
		// The caller abandoned the call while the set-up waited, and sends a release: not even a refusal may be sent.
		if transit {
			refuse(isup.Congestion)
		}
		return
	}
	k := &call{id: id, in: in, ref: m.Ref, digits: m.Digits, caller: m.Caller, session: m.Says.Session,
		donor: m.Says.Marks&isup.Donor != 0, beganAt: x.now, leavesAt: x.now + left, hops: hopsAtStart}
	if transit {
		k.hops = m.Hops - 1
	}
	k.ask = policy.Call{ID: k.id, Number: number(m.Digits), Bearer: bearer, Dest: -1, Width: m.Width, AdvisedTandem: -1, TTL: left,
		Redial: m.Says.Marks&isup.Redial != 0, Disconnected: m.Says.Marks&isup.CutBefore != 0, Transit: transit}
	x.calls[k.id] = k
	if in.hop.Side == Line {
		x.lines[lineKey{in.hop.Point, in.bundle.CIC}] = k.id
	}
	x.at(k.leavesAt+handBack/2, dueLeave, uint64(k.id)) // after the time-out of a try at the same time
	switch {
	case m.Says.Has&isup.PartRoute != 0 && transit: // the originating exchange's table applies in every exchange
		k.version = m.Says.Table
		x.routed(k, int(m.Says.Dest))
	case x.number != nil && !transit:
		x.analyse(k)
	default:
		dest, err := strconv.Atoi(m.Digits[:min(numberDigits, len(m.Digits))])
		if err != nil {
			dest = -1
		}
		x.routed(k, dest)
	}
}

// routed continues a call whose destination is known: its line rings, or it is offered to the decider.
func (x *Exchange) routed(k *call, dest int) {
	if k.ask.Dest = dest; dest == x.own {
		k.ask.Transit = false
		x.ring(k)
		return
	}
	if tandem, ok := x.advice[dest]; ok && !k.ask.Transit {
		k.ask.AdvisedTandem = tandem
	}
	x.count(k)
	k.decided = true
	if !k.ask.Transit {
		x.keeper.Put(x.kept(k, recovery.SettingUp))
	}
	k.ask.TTL = k.leavesAt - x.now
	x.become(k, Offered)
	x.decide.Offer(x.now, k.ask)
}

// count adds a call to those that await a final answer, once.
func (x *Exchange) count(k *call) {
	if !k.counted {
		k.counted = true
		x.waiting++
	}
}

// number returns the called number in the form that the decider uses.
func number(digits string) uint64 {
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n + 1 // 0 means unknown
}

// ring sends a call to a line of this exchange.
func (x *Exchange) ring(k *call) {
	x.nextLine++
	at := x.nextLine % (blockMost * (isup.CICMost + 1))
	k.out = leg{Hop{Side: Line, Point: CalledFrom + uint16(at>>12)}, circuit.Bundle{CIC: uint16(at & isup.CICMost)}}
	x.lines[lineKey{k.out.hop.Point, k.out.bundle.CIC}] = k.id
	x.become(k, Answering)
	x.setUp(k)
}

// setUp sends the set-up of a call's current try.
func (x *Exchange) setUp(k *call) {
	marks := uint8(0)
	if k.ask.Redial {
		marks |= isup.Redial
	}
	if k.ask.Disconnected {
		marks |= isup.CutBefore
	}
	if k.donor {
		marks |= isup.Donor
	}
	until := k.leavesAt
	if k.state == Trying {
		until = min(until, k.limitAt)
	}
	says := isup.Says{Has: isup.PartLeft | isup.PartCall, Left: uint32(max(0, until-x.now)), Stamp: uint32(x.now),
		Bearer: uint8(k.ask.Bearer), Marks: marks}
	if k.version != 0 {
		says.Has |= isup.PartRoute
		says.Dest, says.Table = uint16(k.ask.Dest), k.version
	}
	if k.session != "" {
		says.Has |= isup.PartSession
		says.Session = k.session
	}
	x.out.Transmit(k.out.hop, isup.Message{CIC: k.out.bundle.CIC, Type: isup.IAM, Digits: k.digits, Caller: k.caller, Width: k.ask.Width,
		Slots: k.out.bundle.Slots, Hops: k.hops, Ref: k.ref, Says: says})
}

// stand marks a call as established and passes the answer to the caller's side.
func (x *Exchange) stand(k *call, says isup.Says) {
	x.become(k, Standing)
	x.keeper.Put(x.kept(k, recovery.Established))
	x.answered(k, Stood, 0)
	x.out.Transmit(k.in.hop, isup.Message{CIC: k.in.bundle.CIC, Type: isup.ANM,
		Says: isup.Says{Has: says.Has & isup.PartSession, Session: says.Session}})
	if k.decided {
		x.decide.Answered(x.now, k.id, k.tries-1)
	}
}

// forwardGone ends a call that was released from the caller's side.
func (x *Exchange) forwardGone(k *call, cause isup.Cause) {
	x.dropTry(k, cause)
	switch {
	case k.decided && k.state == Standing:
		x.later = append(x.later, report{id: k.id, try: k.tries - 1, sw: k.sw, end: policy.Released, final: true})
	case k.decided:
		x.decide.Abandoned(x.now, k.id)
		x.answered(k, Left, 0)
	default:
		x.answered(k, Left, 0)
	}
	x.become(k, Over)
}

// backward handles a release from the called side. The circuits of that side are already in their new state.
func (x *Exchange) backward(k *call, end policy.Outcome, why policy.Reason, m isup.Message) {
	switch {
	case k.state == Trying:
		k.cause = m.Cause
		wait := policy.Tenths(0)
		if m.Says.Has&isup.PartComeBack != 0 {
			wait = policy.Tenths(m.Says.ComeBack)
		}
		x.tryEnded(k, end, why, wait, m.Says)
	case k.state == Standing:
		if m.Cause != isup.NormalClearing {
			end = policy.Disconnected
		}
		if k.decided {
			x.later = append(x.later, report{id: k.id, try: k.tries - 1, sw: k.sw, end: end, final: true, says: m.Says})
		}
		x.release(k.in, isup.Message{Type: isup.REL, Cause: m.Cause, Location: m.Location})
		x.become(k, Over)
	case k.state == Answering:
		x.release(k.in, isup.Message{Type: isup.REL, Cause: m.Cause, Location: m.Location, Says: m.Says})
		x.become(k, Over)
	}
}

// ending derives from a release how and why a try ended.
func ending(m isup.Message) (policy.Outcome, policy.Reason) {
	switch m.Cause {
	case isup.NormalClearing:
		return policy.Released, policy.NoReason
	case isup.UserBusy:
		return policy.Faulted, policy.NumberBusy
	case isup.NoCircuit:
		if m.Location == isup.Transit {
			return policy.Blocked, policy.TurnedBack
		}
		return policy.Blocked, policy.NoCircuit
	case isup.Congestion:
		if m.Location == isup.Transit {
			return policy.Blocked, policy.DestOverloaded
		}
		return policy.Blocked, policy.ProcessorOverloaded
	case isup.OutOfOrder, isup.NetworkOutOfOrder:
		return policy.Unreachable, policy.NoReason
	case isup.TimerExpiry:
		return policy.Blocked, policy.TurnedBack // the remote exchange's own try timed out and was abandoned there
	}
	return policy.Faulted, policy.NoReason
}
