package exchange

import (
	"strconv"

	"indigodrift/internal/circuit"
	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// Receive handles a message from a hop. age is the time that the message waited before it was read.
func (x *Exchange) Receive(now policy.Tenths, from Hop, msg isup.Message, age policy.Tenths) {
	x.now = now
	if from.Side == Line {
		x.receiveFromLine(from, msg, age)
	} else {
		x.receiveFromTrunk(from, msg, age)
	}
	x.reportPending()
}

// receiveFromLine handles a message from a line.
func (x *Exchange) receiveFromLine(from Hop, msg isup.Message, age policy.Tenths) {
	key := lineKey{from.Point, msg.CIC}
	call := x.calls[x.callByLine[key]]
	switch msg.Type {
	case isup.IAM:
		if call != nil {
			x.output.Log("fault: set-up on a subscriber circuit that already has a call")
			return
		}
		x.lastCallID++
		x.startCall(x.lastCallID, callLeg{from, circuit.Assignment{CIC: msg.CIC}}, msg, age)
	case isup.ANM:
		if call != nil && call.state == Ringing {
			x.establish(call, msg.UserInfo)
		}
	case isup.REL:
		x.output.Transmit(from, isup.Message{CIC: msg.CIC, Type: isup.RLC})
		switch {
		case call == nil:
		case call.in.hop == from && call.in.circuits.CIC == msg.CIC:
			x.releasedByCaller(call, msg.Cause)
		default:
			x.releasedByCalled(call, policy.Released, policy.NoReason, msg)
		}
	}
}

// receiveFromTrunk handles a message about circuits of a trunk group.
func (x *Exchange) receiveFromTrunk(from Hop, msg isup.Message, age policy.Tenths) {
	group := &x.groups[from.Peer]
	state, id, known := group.circuits.State(msg.CIC)
	if !known {
		x.output.Log("fault: message for circuit " + strconv.Itoa(int(msg.CIC)) + ", which the trunk group to exchange " +
			strconv.Itoa(group.number) + " does not have")
		return
	}
	group.changed = true
	call := x.calls[id]
	if call != nil && !namesCircuit(call, from.Peer, msg.CIC) &&
		(msg.Type == isup.ANM || msg.Type == isup.REL || msg.Type == isup.ACM || msg.Type == isup.RLC) {
		// Messages of a multirate call name only its lowest circuit. A release on another of its circuits concerns an
		// earlier call; applied to this one, it caused a second try while the first was still in progress.
		if msg.Type == isup.REL {
			x.output.Transmit(from, isup.Message{CIC: msg.CIC, Type: isup.RLC})
		}
		return
	}
	reply := func(t isup.Type) {
		r := isup.Message{CIC: msg.CIC, Type: t, Range: msg.Range}
		if t == isup.RLC {
			x.markYielded(from.Peer, &r)
		}
		x.output.Transmit(from, r)
	}
	if msg.UserInfo.Flags&isup.FlagYielded != 0 && (state == circuit.Seized || state == circuit.Outgoing || state == circuit.Releasing) {
		group.circuits.YieldReceived(x.now, msg.CIC)
	}
	switch msg.Type {
	case isup.IAM:
		if from.Side != Preceding {
			x.output.Log("fault: set-up received on a link that carries only set-ups of this exchange")
			return
		}
		x.receiveSetUp(from, msg, age)
	case isup.ACM:
		group.circuits.Acknowledged(x.now, msg.CIC)
	case isup.ANM:
		switch {
		case state == circuit.Idle: // answer to a call that has ended here: reset the circuit at both ends
			reply(isup.RSC)
		case call != nil && call.state == Trying && call.out.hop.Peer == from.Peer && from.Side == Succeeding &&
			(state == circuit.Seized || state == circuit.Outgoing):
			group.circuits.Acknowledged(x.now, msg.CIC)
			x.reportCircuits(from.Peer, msg.UserInfo)
			x.establish(call, msg.UserInfo)
		}
	case isup.REL:
		reply(isup.RLC)
		outgoing := state == circuit.Seized || state == circuit.Outgoing
		switch {
		case from.Side == Succeeding && outgoing:
			group.circuits.Cleared(x.now, msg.CIC, true)
			if call != nil {
				outcome, reason := tryOutcome(msg)
				x.releasedByCalled(call, outcome, reason, msg)
			}
		case from.Side == Preceding && state == circuit.Incoming:
			group.circuits.Cleared(x.now, msg.CIC, true)
			if call != nil {
				x.releasedByCaller(call, msg.Cause)
			}
		case from.Side == Preceding && outgoing && call != nil && call.state == Trying:
			// The neighbour releases a call whose set-up never arrived here. It has ignored our set-up, which crossed its own.
			x.releaseTry(call, isup.NormalUnspecified)
			x.endTry(call, policy.Disconnected, policy.NoReason, 0, msg.UserInfo)
		}
	case isup.RLC:
		// If the circuit carries a call of the neighbour, this answers the repetition of an earlier release. Clearing the
		// circuit would disconnect an established call.
		if state == circuit.Releasing || state == circuit.Resetting {
			group.circuits.Cleared(x.now, msg.CIC, false)
		}
	case isup.BLO:
		group.circuits.SetBlocked(msg.CIC, true)
		reply(isup.BLA)
	case isup.UBL:
		group.circuits.SetBlocked(msg.CIC, false)
		reply(isup.UBA)
	case isup.RSC:
		if lost, ok := group.circuits.ResetReceived(x.now, msg.CIC, 1); ok {
			reply(isup.RLC)
			x.endOnLostCircuits(from.Peer, lost)
		}
	case isup.GRS:
		if lost, ok := group.circuits.ResetReceived(x.now, msg.CIC, int(msg.Range)+1); ok {
			reply(isup.GRA)
			x.endOnLostCircuits(from.Peer, lost)
		}
	case isup.CQM:
		x.answerCircuitQuery(from, msg)
	case isup.CQR:
		x.compareCircuits(from.Peer, msg)
	case isup.GRA:
		group.circuits.ResetAnswered(x.now, msg.CIC, int(msg.Range)+1)
	}
}

// namesCircuit reports whether the messages of a call name a given circuit of the trunk group to a neighbour.
func namesCircuit(call *activeCall, peer int, cic uint16) bool {
	for _, leg := range []callLeg{call.in, call.out} {
		if leg.hop.Side != Line && leg.hop.Peer == peer && leg.circuits.CIC == cic {
			return true
		}
	}
	return false
}

// receiveSetUp handles a neighbour's set-up: it resolves a dual seizure, then starts the call.
func (x *Exchange) receiveSetUp(from Hop, msg isup.Message, age policy.Tenths) {
	group := &x.groups[from.Peer]
	assigned := circuit.Assignment{CIC: msg.CIC, Slots: msg.Slots}
	x.lastCallID++ // id of the call if it is accepted
	verdict, yielded, stale := group.circuits.SetUpReceived(x.now, x.lastCallID, assigned, msg.Width)
	for _, id := range stale {
		if call := x.calls[id]; call != nil {
			x.releasedByCaller(call, isup.NetworkOutOfOrder)
		}
	}
	switch verdict {
	case circuit.UnknownCircuit:
		x.output.Log("fault: set-up for circuits that the trunk group to exchange " + strconv.Itoa(group.number) + " does not have")
		x.output.Transmit(from, isup.Message{CIC: msg.CIC, Type: isup.REL, Cause: isup.NoCircuit, Location: isup.LocalNetwork})
	case circuit.Accepted:
		for _, id := range yielded {
			if call := x.calls[id]; call != nil && call.state == Trying {
				x.repeatTry(call)
			}
		}
		x.startCall(x.lastCallID, callLeg{from, assigned}, msg, age)
	}
}

// repeatTry repeats a try that lost its circuits to a call of the neighbour, on other circuits of the same group (the
// automatic repeat attempt of Q.764, 2.8.1), or else returns the call to the decider. The decider does not see the
// repeat. It is therefore not made to a switch that is no longer listed as ready, nor to a cold switch, whose slow-start
// budget would not count it.
func (x *Exchange) repeatTry(call *activeCall) {
	group := &x.groups[call.out.hop.Peer]
	cold := group.bootAt > 0 && x.now < group.bootAt+x.deployment.RampTime
	if group.linkUp && group.ready && group.switchID == call.switchID && !cold {
		if assigned, ok := group.circuits.Seize(x.now, call.id, call.request.Width); ok {
			call.out.circuits = assigned
			x.sendSetUp(call)
			return
		}
	}
	x.endTry(call, policy.Blocked, policy.NoCircuit, 0, isup.UserInfo{})
}

// startCall starts a new call, or refuses it when it cannot be served. A call to a line of this exchange is passed to that
// line, all others are offered to the decider.
func (x *Exchange) startCall(id uint32, in callLeg, msg isup.Message, age policy.Tenths) {
	transit := in.hop.Side == Preceding
	refuse := func(cause isup.Cause) {
		userInfo := isup.UserInfo{}
		if x.draining && x.deployment.MaxRetryAfter > 0 {
			userInfo = isup.UserInfo{Present: isup.PartRetryAfter, RetryAfter: uint32(x.deployment.MaxRetryAfter)}
		}
		x.release(in, isup.Message{Type: isup.REL, Cause: cause, Location: isup.LocalNetwork, UserInfo: userInfo})
	}
	bearer := int(msg.UserInfo.Bearer)
	switch {
	case x.draining:
		refuse(isup.Congestion)
		return
	case bearer >= len(x.deployment.Bearers) || msg.Width < 1:
		x.output.Log("fault: call with an unknown bearer type or no circuits")
		refuse(isup.TemporaryFailure)
		return
	case transit && msg.HopCounter == 0:
		refuse(isup.Congestion)
		return
	}
	timeLeft := x.deployment.Bearers[bearer].AbandonTime
	if msg.UserInfo.Present&isup.PartTimeLeft != 0 {
		timeLeft = policy.Tenths(msg.UserInfo.TimeLeft) - age
	}
	if timeLeft > 0 && timeLeft <= answerMargin { // too late for a route try, but an answer still reaches the caller
		refuse(isup.TemporaryFailure)
		return
	}
	if timeLeft -= answerMargin; timeLeft <= 0 {
		// The caller abandoned the call while the set-up waited, and sends a release: a line must not even get a refusal.
		if transit {
			refuse(isup.Congestion)
		}
		return
	}
	call := &activeCall{
		id:          id,
		in:          in,
		ref:         msg.Ref,
		digits:      msg.Digits,
		caller:      msg.Caller,
		session:     msg.UserInfo.Session,
		donorRouted: msg.UserInfo.Flags&isup.FlagDonorRouted != 0,
		startTime:   x.now,
		abandonTime: x.now + timeLeft,
		hopCounter:  initialHops,
	}
	if transit {
		call.hopCounter = msg.HopCounter - 1
	}
	call.request = policy.Call{
		ID:            call.id,
		Number:        policyNumber(msg.Digits),
		Bearer:        bearer,
		Dest:          -1,
		Width:         msg.Width,
		AdvisedTandem: -1,
		TTL:           timeLeft,
		Redial:        msg.UserInfo.Flags&isup.FlagRedial != 0,
		Disconnected:  msg.UserInfo.Flags&isup.FlagDisconnectedBefore != 0,
		Transit:       transit,
	}
	x.calls[call.id] = call
	if in.hop.Side == Line {
		x.callByLine[lineKey{in.hop.Point, in.circuits.CIC}] = call.id
	}
	call.abandonTimer = x.schedule(call.abandonTime+answerMargin/2, dueAbandon, uint64(call.id)) // after the time-out of a try at the same time
	switch {
	case msg.UserInfo.Present&isup.PartRoute != 0 && transit: // the originating exchange's table applies in every exchange
		call.tableVersion = msg.UserInfo.TableVersion
		x.routeCall(call, int(msg.UserInfo.Dest))
	case x.numbering != nil && !transit:
		x.analyse(call)
	default:
		dest, err := strconv.Atoi(msg.Digits[:min(exchangeDigits, len(msg.Digits))])
		if err != nil {
			dest = -1
		}
		x.routeCall(call, dest)
	}
}

// routeCall continues a call whose destination is known: its line rings, or it is offered to the decider.
func (x *Exchange) routeCall(call *activeCall, dest int) {
	if call.request.Dest = dest; dest == x.ownNumber {
		call.request.Transit = false
		x.ringLine(call)
		return
	}
	if tandem, ok := x.advice[dest]; ok && !call.request.Transit {
		call.request.AdvisedTandem = tandem
	}
	x.expectAnswer(call)
	call.offered = true
	if !call.request.Transit {
		x.store.Put(x.storedCall(call, recovery.SettingUp))
	}
	call.request.TTL = call.abandonTime - x.now
	x.setState(call, Offered)
	x.decider.Offer(x.now, call.request)
}

// expectAnswer adds a call to those that await a final answer, once.
func (x *Exchange) expectAnswer(call *activeCall) {
	if !call.answerExpected {
		call.answerExpected = true
		x.unanswered++
	}
}

// policyNumber returns the called number in the form that the decider uses.
func policyNumber(digits string) uint64 {
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n + 1 // 0 means unknown
}

// ringLine sends a call to a line of this exchange.
func (x *Exchange) ringLine(call *activeCall) {
	x.lastCalledLine++
	line := x.lastCalledLine % (calledBlocks * (isup.MaxCIC + 1))
	call.out = callLeg{Hop{Side: Line, Point: FirstCalledPoint + uint16(line>>12)}, circuit.Assignment{CIC: uint16(line & isup.MaxCIC)}}
	x.callByLine[lineKey{call.out.hop.Point, call.out.circuits.CIC}] = call.id
	x.setState(call, Ringing)
	x.sendSetUp(call)
}

// sendSetUp sends the set-up of a call's current try.
func (x *Exchange) sendSetUp(call *activeCall) {
	flags := uint8(0)
	if call.request.Redial {
		flags |= isup.FlagRedial
	}
	if call.request.Disconnected {
		flags |= isup.FlagDisconnectedBefore
	}
	if call.donorRouted {
		flags |= isup.FlagDonorRouted
	}
	deadline := call.abandonTime
	if call.state == Trying {
		deadline = min(deadline, call.tryDeadline)
	}
	userInfo := isup.UserInfo{
		Present:  isup.PartTimeLeft | isup.PartCall,
		TimeLeft: uint32(max(0, deadline-x.now)),
		SentAt:   uint32(x.now),
		Bearer:   uint8(call.request.Bearer),
		Flags:    flags,
	}
	if call.tableVersion != 0 {
		userInfo.Present |= isup.PartRoute
		userInfo.Dest, userInfo.TableVersion = uint16(call.request.Dest), call.tableVersion
	}
	if call.session != "" {
		userInfo.Present |= isup.PartSession
		userInfo.Session = call.session
	}
	x.output.Transmit(call.out.hop, isup.Message{
		CIC:        call.out.circuits.CIC,
		Type:       isup.IAM,
		Digits:     call.digits,
		Caller:     call.caller,
		Width:      call.request.Width,
		Slots:      call.out.circuits.Slots,
		HopCounter: call.hopCounter,
		Ref:        call.ref,
		UserInfo:   userInfo,
	})
}

// establish marks a call as established and passes the answer to the caller's side.
func (x *Exchange) establish(call *activeCall, userInfo isup.UserInfo) {
	x.setState(call, Established)
	x.store.Put(x.storedCall(call, recovery.Established))
	x.reportAnswer(call, Answered, 0)
	x.output.Transmit(call.in.hop, isup.Message{CIC: call.in.circuits.CIC, Type: isup.ANM,
		UserInfo: isup.UserInfo{Present: userInfo.Present & isup.PartSession, Session: userInfo.Session}})
	if call.offered {
		x.decider.Answered(x.now, call.id, call.tries-1)
	}
}

// releasedByCaller ends a call that was released from the caller's side.
func (x *Exchange) releasedByCaller(call *activeCall, cause isup.Cause) {
	x.releaseTry(call, cause)
	switch {
	case call.offered && call.state == Established:
		x.pendingResults = append(x.pendingResults,
			tryResult{callID: call.id, try: call.tries - 1, switchID: call.switchID, outcome: policy.Released, final: true})
	case call.offered:
		x.decider.Abandoned(x.now, call.id)
		x.reportAnswer(call, Abandoned, 0)
	default:
		x.reportAnswer(call, Abandoned, 0)
	}
	x.setState(call, Ended)
}

// releasedByCalled handles a release from the called side. The circuits of that side are already in their new state.
func (x *Exchange) releasedByCalled(call *activeCall, outcome policy.Outcome, reason policy.Reason, msg isup.Message) {
	switch {
	case call.state == Trying:
		call.lastCause = msg.Cause
		wait := policy.Tenths(0)
		if msg.UserInfo.Present&isup.PartRetryAfter != 0 {
			wait = policy.Tenths(msg.UserInfo.RetryAfter)
		}
		x.endTry(call, outcome, reason, wait, msg.UserInfo)
	case call.state == Established:
		if msg.Cause != isup.NormalClearing {
			outcome = policy.Disconnected
		}
		if call.offered {
			x.pendingResults = append(x.pendingResults, tryResult{
				callID:   call.id,
				try:      call.tries - 1,
				switchID: call.switchID,
				outcome:  outcome,
				final:    true,
				userInfo: msg.UserInfo,
			})
		}
		x.release(call.in, isup.Message{Type: isup.REL, Cause: msg.Cause, Location: msg.Location})
		x.setState(call, Ended)
	case call.state == Ringing:
		x.release(call.in, isup.Message{Type: isup.REL, Cause: msg.Cause, Location: msg.Location, UserInfo: msg.UserInfo})
		x.setState(call, Ended)
	}
}

// tryOutcome derives from a release how and why a try ended.
func tryOutcome(msg isup.Message) (policy.Outcome, policy.Reason) {
	switch msg.Cause {
	case isup.NormalClearing:
		return policy.Released, policy.NoReason
	case isup.UserBusy:
		return policy.Faulted, policy.NumberBusy
	case isup.NoCircuit:
		if msg.Location == isup.TransitNetwork {
			return policy.Blocked, policy.TurnedBack
		}
		return policy.Blocked, policy.NoCircuit
	case isup.Congestion:
		if msg.Location == isup.TransitNetwork {
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
