package callagent

import (
	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// State of a line, that is of an endpoint at a gateway with the user's phone. happen is the one place that changes it.
type State uint8

const (
	OutOfService       State = iota // its gateway, or it alone, is out of service
	Idle                            // on hook
	Dialing                         // off hook, dial tone, digits come
	CreatingConnection              // a number is known; its connection is being made
	Calling                         // offered to the exchange
	Talking                         // the call stands, in either direction
	HearingTone                     // off hook with a tone: refused, failed, over
	Incoming                        // a call for it: its connection is being made and its phone is to ring
	Ringing                         // its phone rings; the call stands
	stateCount
)

func (s State) String() string {
	return [...]string{"away", "idle", "dialing", "opening", "calling", "talking", "hearing", "taking", "ringing"}[s]
}

// event is what happens to a line, whatever message told it.
type event uint8

const (
	offHook         event = iota // the receiver, to dial
	offHookRejected              // lifted, but the program has no room for another call
	onHook
	hookFlash
	numberDialled    // a whole number
	numberInvalid    // digits that are no number
	connectionReady  // the connection is made, and what was asked with it obeyed
	connectionFailed // it cannot be made
	callAnswered     // the exchange: the call stands
	callReleased     // the exchange: it is over
	incomingCall     // the exchange: a call for this line
	connectionLost   // the connection of the call is gone from the gateway
	endpointLost     // the gateway, or this endpoint
	endpointBack     // it is there again, on hook as far as is known
	stateTimedOut    // the guard of the state
	eventCount
)

func (e event) String() string {
	return [...]string{"lifted", "turned away", "hung up", "flashed", "dialled", "misdialled", "opened", "unopened", "answered", "released", "called",
		"vanished", "lost", "back", "expired"}[e]
}

// eventData is what an event brings.
type eventData struct {
	digits  string
	age     policy.Tenths // how long ago it happened, as far as is known
	circuit circuitKey    // called
	message isup.Message  // answered, released, called
}

type transition struct {
	next   State
	action func(*Agent, int, eventData)
}

// transitions is the whole of a line's life. What is not in it changes nothing: a notification is answered by the door before it
// comes here, a call by the exchange gets its answer from refuse, and every other is counted.
var transitions = [stateCount][eventCount]transition{
	OutOfService: {endpointBack: {Idle, (*Agent).goIdle}, endpointLost: {OutOfService, (*Agent).noAction}, incomingCall: {OutOfService, (*Agent).refuseCall}},
	Idle: {offHook: {Dialing, (*Agent).startDialling}, offHookRejected: {HearingTone, (*Agent).rejectOverload}, incomingCall: {Incoming, (*Agent).startIncoming},
		endpointLost: {OutOfService, (*Agent).goIdle}, endpointBack: {Idle, (*Agent).goIdle}, onHook: {Idle, (*Agent).noAction}},
	Dialing: {numberDialled: {CreatingConnection, (*Agent).startCall}, numberInvalid: {HearingTone, (*Agent).rejectNumber}, stateTimedOut: {HearingTone, (*Agent).rejectNumber},
		hookFlash: {Dialing, (*Agent).startDialling}, onHook: {Idle, (*Agent).goIdle}, incomingCall: {Dialing, (*Agent).refuseCall},
		endpointLost: {OutOfService, (*Agent).goIdle}, endpointBack: {Idle, (*Agent).goIdle}},
	CreatingConnection: {connectionReady: {Calling, (*Agent).offerCall}, connectionFailed: {HearingTone, (*Agent).failSetUp}, stateTimedOut: {HearingTone, (*Agent).failSetUp}, connectionLost: {HearingTone, (*Agent).failSetUp},
		onHook: {Idle, (*Agent).goIdle}, hookFlash: {CreatingConnection, (*Agent).noAction}, incomingCall: {CreatingConnection, (*Agent).refuseCall}, endpointLost: {OutOfService, (*Agent).goIdle}, endpointBack: {Idle, (*Agent).goIdle}},
	Calling: {callAnswered: {Talking, (*Agent).connectCall}, callReleased: {HearingTone, (*Agent).playCause}, stateTimedOut: {HearingTone, (*Agent).failCall},
		connectionLost: {HearingTone, (*Agent).failCall}, onHook: {Idle, (*Agent).clearCall}, hookFlash: {Calling, (*Agent).noAction},
		incomingCall: {Calling, (*Agent).refuseCall}, endpointLost: {OutOfService, (*Agent).disconnectCall}, endpointBack: {Idle, (*Agent).disconnectCall}},
	Talking: {callReleased: {HearingTone, (*Agent).playCause}, connectionLost: {HearingTone, (*Agent).failCall}, onHook: {Idle, (*Agent).clearCall},
		hookFlash: {Talking, (*Agent).noAction}, incomingCall: {Talking, (*Agent).refuseCall}, endpointLost: {OutOfService, (*Agent).disconnectCall}, endpointBack: {Idle, (*Agent).disconnectCall}},
	HearingTone: {onHook: {Idle, (*Agent).goIdle}, stateTimedOut: {HearingTone, (*Agent).warnOffHook}, hookFlash: {Dialing, (*Agent).startDialling},
		incomingCall: {HearingTone, (*Agent).refuseCall}, endpointLost: {OutOfService, (*Agent).goIdle}, endpointBack: {Idle, (*Agent).goIdle}},
	Incoming: {connectionReady: {Ringing, (*Agent).sendAnswer}, connectionFailed: {Idle, (*Agent).failIncoming}, connectionLost: {Idle, (*Agent).failIncoming}, callReleased: {Idle, (*Agent).goIdle},
		// Glare: the user lifted to dial as the call came and has not heard it ring. The call finds the line engaged.
		offHook: {Dialing, (*Agent).resolveGlare}, offHookRejected: {Dialing, (*Agent).resolveGlare}, onHook: {Incoming, (*Agent).noAction},
		incomingCall: {Incoming, (*Agent).refuseCall}, endpointLost: {OutOfService, (*Agent).disconnectCall}, endpointBack: {Idle, (*Agent).disconnectCall}},
	Ringing: {offHook: {Talking, (*Agent).pickUpCall}, offHookRejected: {Talking, (*Agent).pickUpCall}, callReleased: {Idle, (*Agent).goIdle}, stateTimedOut: {Idle, (*Agent).releaseUnanswered},
		connectionLost: {Idle, (*Agent).failIncoming}, onHook: {Ringing, (*Agent).noAction}, incomingCall: {Ringing, (*Agent).refuseCall},
		endpointLost: {OutOfService, (*Agent).disconnectCall}, endpointBack: {Idle, (*Agent).disconnectCall}},
}

// handleEvent is the one place where a line changes its state.
func (a *Agent) handleEvent(i int, e event, data eventData) {
	line := &a.lines[i]
	t := transitions[line.state][e]
	if t.action == nil {
		a.UnexpectedEvents[line.state][e]++
		a.reconcile(i)
		return
	}
	line.state = t.next
	t.action(a, i, data)
	a.reconcile(i)
}

// setDesired has a line be so from now on; push brings the gateway there.
func (a *Agent) setDesired(i int, events RequestedEvents, tone gateways.Tone, mode Mode, timeoutAt policy.Tenths) {
	line := &a.lines[i]
	line.desired = endpointState{events, tone, mode}
	if mode == NoMode {
		line.call = nil
	}
	line.stateTimeoutAt = timeoutAt
	if timeoutAt > 0 {
		a.schedule(timeoutAt, lineTimer, i)
	}
}

func (a *Agent) noAction(int, eventData) {}

// goIdle leaves a line on hook with nothing going on; away, nothing is asked of it.
func (a *Agent) goIdle(i int, _ eventData) {
	a.setDesired(i, DetectOffHook, gateways.Silence, NoMode, 0)
}

func (a *Agent) startDialling(i int, _ eventData) {
	a.setDesired(i, DetectDigits, gateways.DialTone, NoMode, a.now+a.config.MaxDialTime)
	a.lines[i].applied.events, a.lines[i].applied.tone = DetectNothing, gateways.Silence // also after a flash: the digits begin anew
}

// playTone has a user hear a tone. It is the final answer of a call, or the end of one, and does not wait behind a command that the
// gateway has not answered: that one is given up, and what it may have made is deleted by the call's id with the tone.
func (a *Agent) playTone(i int, tone gateways.Tone) {
	if a.lines[i].transactionID != 0 {
		a.abandonCommand(i)
	}
	a.setDesired(i, DetectOnHook, tone, NoMode, a.now+maxToneTime)
}

func (a *Agent) rejectOverload(i int, _ eventData) {
	a.Counts.Rejected++
	a.playTone(i, gateways.Congestion)
}
func (a *Agent) rejectNumber(i int, _ eventData) { a.playTone(i, gateways.Reorder) }
func (a *Agent) warnOffHook(i int, _ eventData) {
	a.setDesired(i, DetectOnHook, gateways.OffHookWarning, NoMode, 0)
}

// startCall takes a dialled number: the caller's time runs from here.
func (a *Agent) startCall(i int, data eventData) {
	line := &a.lines[i]
	line.answerDeadline = a.now - data.age + a.config.AbandonTimes[a.gateways[line.gateway].BearerIndex]
	remaining := line.answerDeadline - a.now
	remaining -= gateways.AnswerMargin(a.gateways[line.gateway].sender.RetransmissionTimeout(), remaining, a.gateways[line.gateway].sender.LossRate())
	a.lastCallID++
	line.call = &lineCall{id: a.lastCallID, digits: data.digits, deadline: a.now + remaining, circuit: circuitKey{a.pointOf(i), a.cicOf(i)}}
	a.Counts.Dialled++
	a.setDesired(i, DetectOnHook, gateways.Silence, ReceiveOnly, line.call.deadline)
}

// offerCall gives the call to the exchange, with the time that is left of the caller's.
func (a *Agent) offerCall(i int, _ eventData) {
	line := &a.lines[i]
	call, gateway := line.call, &a.gateways[line.gateway]
	flags := uint8(0)
	if line.lastNumber == numberDigest(call.digits) { // it was turned away or cut, and comes again
		flags = line.lastFlags
	}
	line.lastNumber, line.lastFlags = numberDigest(call.digits), isup.FlagRedial
	a.lastIdentity = (a.lastIdentity + 1) & identityMask
	userInfo := isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall | isup.PartSession, TimeLeft: uint32(max(1, call.deadline-a.now)), Bearer: uint8(gateway.BearerIndex),
		Flags: flags, Session: call.localSession}
	line.stateTimeoutAt = call.deadline + policy.Tenths(lateAnswerMargin)
	a.schedule(line.stateTimeoutAt, lineTimer, i)
	a.sendToExchange(call.circuit, isup.Message{Type: isup.IAM, Digits: call.digits, Caller: a.numberOf(i), Width: gateway.Width,
		Ref: isup.Reference{Point: a.config.PointCode, Identity: a.lastIdentity | firstGatewayIdentity}, UserInfo: userInfo})
}

// connectCall joins caller and called: the call stands.
func (a *Agent) connectCall(i int, data eventData) {
	line := &a.lines[i]
	a.Counts.Answered++
	line.lastNumber, line.lastFlags = numberDigest(line.call.digits), isup.FlagDisconnectedBefore
	line.call.remoteSession = a.remoteSessionOf(data.message.UserInfo, line.call.circuit)
	a.setDesired(i, DetectOnHook, gateways.Silence, SendReceive, 0)
}

// playCause lets a user hear why the call is over, or never was.
func (a *Agent) playCause(i int, data eventData) {
	line := &a.lines[i]
	tone, reason := gateways.ToneFor(data.message.Cause)
	if data.message.Cause == isup.NormalClearing {
		line.lastNumber = 0
	}
	if tone == gateways.Reorder {
		a.Counts.Failed++
	} else {
		a.Counts.Refused++
	}
	a.output.Told(i, reason)
	a.playTone(i, tone)
}

// failSetUp answers a call that never came to the exchange; failCall one that is there.
func (a *Agent) failSetUp(i int, _ eventData) {
	a.Counts.Failed++
	a.output.Told(i, "the gateway did not make the connection in time")
	a.playTone(i, gateways.Reorder)
}

func (a *Agent) failCall(i int, _ eventData) {
	a.sendRelease(i, isup.NetworkOutOfOrder)
	a.Counts.Failed++
	a.output.Told(i, "the connection at the gateway is gone")
	a.playTone(i, gateways.Reorder)
}

func (a *Agent) sendRelease(i int, cause isup.Cause) {
	if call := a.lines[i].call; call != nil {
		a.sendToExchange(call.circuit, isup.Message{Type: isup.REL, Cause: cause, Location: isup.User})
	}
}

func (a *Agent) clearCall(i int, data eventData) {
	a.sendRelease(i, isup.NormalClearing)
	a.goIdle(i, data)
}
func (a *Agent) disconnectCall(i int, data eventData) {
	a.sendRelease(i, isup.NetworkOutOfOrder)
	a.goIdle(i, data)
}

// refuseCall answers a call for a line that cannot take it.
func (a *Agent) refuseCall(i int, data eventData) {
	cause := isup.UserBusy
	if a.lines[i].state == OutOfService {
		cause = isup.OutOfOrder
	}
	a.sendToExchange(data.circuit, isup.Message{Type: isup.REL, Cause: cause, Location: isup.User})
}

// startIncoming has a phone ring: its connection, the ring and the caller's ring-back go out as one command.
func (a *Agent) startIncoming(i int, data eventData) {
	a.lastCallID++
	if data.message.UserInfo.Present&isup.PartTimeLeft != 0 {
		a.lines[i].answerDeadline = a.now + policy.Tenths(data.message.UserInfo.TimeLeft)
	}
	a.lines[i].call = &lineCall{id: a.lastCallID, circuit: data.circuit, remoteSession: a.remoteSessionOf(data.message.UserInfo, data.circuit)}
	a.Counts.Rung++
	a.setDesired(i, DetectOffHook, gateways.Ring, SendReceive, 0)
}

// sendAnswer tells the exchange that the phone rings: the way is there from end to end, and the call stands. Whether somebody
// picks up is not the network's.
func (a *Agent) sendAnswer(i int, _ eventData) {
	line := &a.lines[i]
	line.stateTimeoutAt = a.now + a.config.MaxRingTime
	a.schedule(line.stateTimeoutAt, lineTimer, i)
	a.sendToExchange(line.call.circuit, isup.Message{Type: isup.ANM, UserInfo: isup.UserInfo{Present: isup.PartSession, Session: line.call.localSession}})
}

func (a *Agent) failIncoming(i int, data eventData) {
	a.sendRelease(i, isup.TemporaryFailure)
	a.goIdle(i, data)
}
func (a *Agent) releaseUnanswered(i int, data eventData) {
	a.sendRelease(i, isup.NoAnswer)
	a.goIdle(i, data)
}
func (a *Agent) resolveGlare(i int, data eventData) {
	a.sendRelease(i, isup.UserBusy)
	a.startDialling(i, data)
}
func (a *Agent) pickUpCall(i int, _ eventData) {
	a.setDesired(i, DetectOnHook, gateways.Silence, SendReceive, 0)
}
