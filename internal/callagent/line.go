package callagent

import (
	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// State is the state of a line, an endpoint of a gateway with a subscriber's telephone. Only handleEvent changes it.
type State uint8

const (
	OutOfService       State = iota // the gateway or the endpoint is out of service
	Idle                            // on hook
	Dialing                         // off hook with dial tone, digits are collected
	CreatingConnection              // a number was dialled; the connection is being created
	Calling                         // offered to the exchange
	Talking                         // the call is connected, in either direction
	HearingTone                     // off hook; the tone tells that the call was refused, failed or has ended
	Incoming                        // call to this line: the connection is being created and ringing started
	Ringing                         // the telephone rings; the exchange has the call as answered
	stateCount
)

// String returns the name of the state for logs and tests.
func (s State) String() string {
	return [...]string{"away", "idle", "dialing", "opening", "calling", "talking", "hearing", "taking", "ringing"}[s]
}

// event is an event at a line, whichever message reported it.
type event uint8

const (
	offHook         event = iota // to dial or to answer
	offHookRejected              // off hook while the program is overloaded: no new call is accepted
	onHook
	hookFlash
	numberDialled    // a complete number
	numberInvalid    // the digits match no number
	connectionReady  // the connection is created, with the events and the tone requested with it
	connectionFailed // the connection can't be created
	callAnswered     // by the exchange
	callReleased     // by the exchange
	incomingCall     // from the exchange to this line
	connectionLost   // the gateway no longer has the connection of the call
	endpointLost     // the gateway or the endpoint is out of service
	endpointBack     // back in service, on hook as far as is known
	stateTimedOut    // the timer of the state has expired
	eventCount
)

// String returns the name of the event for logs and tests.
func (e event) String() string {
	return [...]string{"lifted", "off hook under overload", "hung up", "flashed", "dialled", "misdialled", "opened", "unopened", "answered",
		"released", "called", "vanished", "lost", "back", "expired"}[e]
}

// eventData holds the parameters of an event.
type eventData struct {
	digits  string        // of numberDialled
	age     policy.Tenths // how long ago it occurred, as far as is known
	circuit circuitKey    // of incomingCall
	message isup.Message  // of callAnswered, callReleased and incomingCall
}

// transition is the next state of a line and the action on the way there.
type transition struct {
	next   State
	action func(*Agent, int, eventData)
}

// transitions is the state machine of a line. An event without an entry changes nothing and is counted: notifications have been
// acknowledged before they get here, and calls from the exchange have an entry in every state.
var transitions = [stateCount][eventCount]transition{
	OutOfService: {
		endpointBack: {Idle, (*Agent).goIdle},
		endpointLost: {OutOfService, (*Agent).noAction},
		incomingCall: {OutOfService, (*Agent).refuseCall},
	},
	Idle: {
		offHook:         {Dialing, (*Agent).startDialling},
		offHookRejected: {HearingTone, (*Agent).rejectOverload},
		incomingCall:    {Incoming, (*Agent).startIncoming},
		endpointLost:    {OutOfService, (*Agent).goIdle},
		endpointBack:    {Idle, (*Agent).goIdle},
		onHook:          {Idle, (*Agent).noAction},
	},
	Dialing: {
		numberDialled: {CreatingConnection, (*Agent).startCall},
		numberInvalid: {HearingTone, (*Agent).rejectNumber},
		stateTimedOut: {HearingTone, (*Agent).rejectNumber},
		hookFlash:     {Dialing, (*Agent).startDialling},
		onHook:        {Idle, (*Agent).goIdle},
		incomingCall:  {Dialing, (*Agent).refuseCall},
		endpointLost:  {OutOfService, (*Agent).goIdle},
		endpointBack:  {Idle, (*Agent).goIdle},
	},
	CreatingConnection: {
		connectionReady:  {Calling, (*Agent).offerCall},
		connectionFailed: {HearingTone, (*Agent).failSetUp},
		stateTimedOut:    {HearingTone, (*Agent).failSetUp},
		connectionLost:   {HearingTone, (*Agent).failSetUp},
		onHook:           {Idle, (*Agent).goIdle},
		hookFlash:        {CreatingConnection, (*Agent).noAction},
		incomingCall:     {CreatingConnection, (*Agent).refuseCall},
		endpointLost:     {OutOfService, (*Agent).goIdle},
		endpointBack:     {Idle, (*Agent).goIdle},
	},
	Calling: {
		callAnswered:   {Talking, (*Agent).connectCall},
		callReleased:   {HearingTone, (*Agent).playCause},
		stateTimedOut:  {HearingTone, (*Agent).failCall},
		connectionLost: {HearingTone, (*Agent).failCall},
		onHook:         {Idle, (*Agent).clearCall},
		hookFlash:      {Calling, (*Agent).noAction},
		incomingCall:   {Calling, (*Agent).refuseCall},
		endpointLost:   {OutOfService, (*Agent).disconnectCall},
		endpointBack:   {Idle, (*Agent).disconnectCall},
	},
	Talking: {
		callReleased:   {HearingTone, (*Agent).playCause},
		connectionLost: {HearingTone, (*Agent).failCall},
		onHook:         {Idle, (*Agent).clearCall},
		hookFlash:      {Talking, (*Agent).noAction},
		incomingCall:   {Talking, (*Agent).refuseCall},
		endpointLost:   {OutOfService, (*Agent).disconnectCall},
		endpointBack:   {Idle, (*Agent).disconnectCall},
	},
	HearingTone: {
		onHook:        {Idle, (*Agent).goIdle},
		stateTimedOut: {HearingTone, (*Agent).warnOffHook},
		hookFlash:     {Dialing, (*Agent).startDialling},
		incomingCall:  {HearingTone, (*Agent).refuseCall},
		endpointLost:  {OutOfService, (*Agent).goIdle},
		endpointBack:  {Idle, (*Agent).goIdle},
	},
	Incoming: {
		connectionReady:  {Ringing, (*Agent).sendAnswer},
		connectionFailed: {Idle, (*Agent).failIncoming},
		connectionLost:   {Idle, (*Agent).failIncoming},
		callReleased:     {Idle, (*Agent).goIdle},
		// Glare: the user went off hook to dial as the call arrived and hasn't heard the ringing. The call finds the line busy.
		offHook:         {Dialing, (*Agent).resolveGlare},
		offHookRejected: {Dialing, (*Agent).resolveGlare},
		onHook:          {Incoming, (*Agent).noAction},
		incomingCall:    {Incoming, (*Agent).refuseCall},
		endpointLost:    {OutOfService, (*Agent).disconnectCall},
		endpointBack:    {Idle, (*Agent).disconnectCall},
	},
	Ringing: {
		offHook:         {Talking, (*Agent).pickUpCall},
		offHookRejected: {Talking, (*Agent).pickUpCall},
		callReleased:    {Idle, (*Agent).goIdle},
		stateTimedOut:   {Idle, (*Agent).releaseUnanswered},
		connectionLost:  {Idle, (*Agent).failIncoming},
		onHook:          {Ringing, (*Agent).noAction},
		incomingCall:    {Ringing, (*Agent).refuseCall},
		endpointLost:    {OutOfService, (*Agent).disconnectCall},
		endpointBack:    {Idle, (*Agent).disconnectCall},
	},
}

// handleEvent runs the state machine of a line.
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

// setDesired sets the desired state of a line's endpoint and the timer of its state, 0 for none; reconcile applies it.
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

// noAction is the action of events that change nothing.
func (a *Agent) noAction(int, eventData) {}

// goIdle ends all activity at a line. Out of service it requests nothing from the endpoint.
func (a *Agent) goIdle(i int, _ eventData) {
	a.setDesired(i, DetectOffHook, gateways.Silence, NoMode, 0)
}

// startDialling starts dial tone and collects digits.
func (a *Agent) startDialling(i int, _ eventData) {
	a.setDesired(i, DetectDigits, gateways.DialTone, NoMode, a.now+a.config.MaxDialTime)
	// After a hook flash both are requested again: the digits start over.
	a.lines[i].applied.events, a.lines[i].applied.tone = DetectNothing, gateways.Silence
}

// playTone plays a tone that refuses or ends a call. It doesn't wait for the response to an outstanding command: that command is
// abandoned, and a connection that it may have created is deleted by its call ID together with the tone.
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

// startCall starts a call to the dialled number. The caller's abandon time runs from here.
func (a *Agent) startCall(i int, data eventData) {
	line := &a.lines[i]
	line.answerDeadline = a.now - data.age + a.config.AbandonTimes[a.gateways[line.gateway].BearerIndex]
	remaining := line.answerDeadline - a.now
	remaining -= gateways.AnswerMargin(a.gateways[line.gateway].sender.RetransmissionTimeout(), remaining,
		a.gateways[line.gateway].sender.LossRate())
	a.lastCallID++
	line.call = &lineCall{id: a.lastCallID, digits: data.digits, deadline: a.now + remaining, circuit: circuitKey{a.pointOf(i), a.cicOf(i)}}
	a.Counts.Dialled++
	a.setDesired(i, DetectOnHook, gateways.Silence, ReceiveOnly, line.call.deadline)
}

// offerCall offers the call to the exchange with the rest of the caller's abandon time.
func (a *Agent) offerCall(i int, _ eventData) {
	line := &a.lines[i]
	call, gateway := line.call, &a.gateways[line.gateway]
	flags := uint8(0)
	if line.lastNumber == numberDigest(call.digits) { // a redial after a refused or disconnected call
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

// connectCall connects the caller to the answered call.
func (a *Agent) connectCall(i int, data eventData) {
	line := &a.lines[i]
	a.Counts.Answered++
	line.lastNumber, line.lastFlags = numberDigest(line.call.digits), isup.FlagDisconnectedBefore
	line.call.remoteSession = a.remoteSessionOf(data.message.UserInfo, line.call.circuit)
	a.setDesired(i, DetectOnHook, gateways.Silence, SendReceive, 0)
}

// playCause plays the tone for the cause of a release.
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
	a.output.CallFailed(i, reason)
	a.playTone(i, tone)
}

// failSetUp ends a call that hasn't been offered to the exchange.
func (a *Agent) failSetUp(i int, _ eventData) {
	a.Counts.Failed++
	a.output.CallFailed(i, "the gateway did not create the connection in time")
	a.playTone(i, gateways.Reorder)
}

// failCall ends a call that has been offered to the exchange or came from it.
func (a *Agent) failCall(i int, _ eventData) {
	a.sendRelease(i, isup.NetworkOutOfOrder)
	a.Counts.Failed++
	a.output.CallFailed(i, "the gateway lost the connection or the exchange did not answer")
	a.playTone(i, gateways.Reorder)
}

// sendRelease releases the call of a line, if any, towards the exchange.
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

// refuseCall releases a call to a line that can't accept it.
func (a *Agent) refuseCall(i int, data eventData) {
	cause := isup.UserBusy
	if a.lines[i].state == OutOfService {
		cause = isup.OutOfOrder
	}
	a.sendToExchange(data.circuit, isup.Message{Type: isup.REL, Cause: cause, Location: isup.User})
}

// startIncoming rings the telephone: one command creates the connection, starts ringing and plays ringback to the caller.
func (a *Agent) startIncoming(i int, data eventData) {
	a.lastCallID++
	if data.message.UserInfo.Present&isup.PartTimeLeft != 0 {
		a.lines[i].answerDeadline = a.now + policy.Tenths(data.message.UserInfo.TimeLeft)
	}
	a.lines[i].call = &lineCall{id: a.lastCallID, circuit: data.circuit, remoteSession: a.remoteSessionOf(data.message.UserInfo, data.circuit)}
	a.Counts.Rung++
	a.setDesired(i, DetectOffHook, gateways.Ring, SendReceive, 0)
}

// sendAnswer reports the call to the exchange as answered when the telephone rings: the path is complete from end to end. Whether
// the subscriber answers is not part of the set-up.
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
