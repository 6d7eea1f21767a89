package callagent

import (
	"strconv"
	"strings"

	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// What is listened for and what is heard, as the packages of RFC 3660 name it.
var requestedEventLists = [...]string{DetectNothing: "", DetectOffHook: "L/hd(N)", DetectDigits: "L/hu(N), L/hf(N), D/[0-9#*T](D)", DetectOnHook: "L/hu(N), L/hf(N)"}

var toneSignals = [...]string{gateways.Silence: "", gateways.DialTone: "L/dl", gateways.Busy: "L/bz", gateways.Congestion: "G/cg",
	gateways.Reorder: "L/ro", gateways.Ring: "L/rg, G/rt@", gateways.OffHookWarning: "L/ot"}

// reconcile sends the one command that brings a line's gateway nearer to what is wished, if there is one to send and none is out.
func (a *Agent) reconcile(i int) {
	line := &a.lines[i]
	gateway := &a.gateways[line.gateway]
	if line.transactionID != 0 || line.state == OutOfService || gateway.presence.State() != gateways.Serving && gateway.presence.State() != gateways.Leaving || a.now < line.retryAt {
		return
	}
	desired, applied := line.desired, line.applied
	msg := mgcp.Message{Endpoint: a.endpointName(i)}
	pending := applied
	requestEvents := desired.events != applied.events || desired.tone != applied.tone
	connectionID := ""
	line.pendingCall = nil
	switch {
	case len(line.orphaned) > 0:
		msg.Verb, requestEvents = mgcp.DeleteConnection, false
		msg.Set("I", line.orphaned[0])
	case line.uncertainCall != nil:
		msg.Verb = mgcp.DeleteConnection
		a.setConnection(i, ConnectionDeleting)
		msg.Set("C", a.callID(line.uncertainCall))
		requestEvents = requestEvents && desired.mode == NoMode
	case applied.mode != NoMode && (desired.mode == NoMode || line.connectedCall != line.call):
		msg.Verb = mgcp.DeleteConnection
		a.setConnection(i, ConnectionDeleting)
		msg.Set("C", a.callID(line.connectedCall))
		msg.Set("I", line.connectedCall.connectionID)
		pending.mode = NoMode
		requestEvents = requestEvents && desired.mode == NoMode // else with the new connection
	case desired.mode != NoMode && applied.mode == NoMode:
		msg.Verb, connectionID = mgcp.CreateConnection, "$"
		a.setConnection(i, ConnectionCreating)
		msg.Set("C", a.callID(line.call))
		msg.Set("L", "p:20, a:PCMU")
		msg.Set("M", desired.mode.String())
		msg.Session = []byte(line.call.remoteSession)
		pending.mode, line.pendingCall = desired.mode, line.call
	case desired.mode != NoMode && (desired.mode != applied.mode || line.call.remoteSession != line.call.appliedSession):
		msg.Verb, connectionID = mgcp.ModifyConnection, line.call.connectionID
		a.setConnection(i, ConnectionModifying)
		msg.Set("C", a.callID(line.call))
		msg.Set("I", line.call.connectionID)
		msg.Set("M", desired.mode.String())
		if line.call.remoteSession != line.call.appliedSession {
			msg.Session = []byte(line.call.remoteSession)
		}
		pending.mode, line.pendingCall = desired.mode, line.call
	case requestEvents:
		msg.Verb = mgcp.NotificationRequest
		if line.call != nil {
			connectionID = line.call.connectionID
		}
	case line.auditDue:
		line.auditDue = false
		msg.Verb = mgcp.AuditEndpoint
		msg.Set("F", "I, ES")
	default:
		return
	}
	if line.pendingCall != nil {
		line.pendingCall.pendingSession = string(msg.Session)
	}
	if requestEvents {
		pending.events, pending.tone = desired.events, desired.tone
		a.addNotificationRequest(&msg, a.newRequestID(), desired.events, desired.tone, connectionID)
		line.requestID = a.lastRequestID
	}
	line.pending = pending
	line.transactionID = a.sendCommand(int(line.gateway), msg, outstandingCommand{lineCommand, i, msg.Verb, a.now})
}

func (a *Agent) newRequestID() uint32 { a.lastRequestID++; return a.lastRequestID }

// addNotificationRequest adds a request for notifications and a tone.
func (a *Agent) addNotificationRequest(msg *mgcp.Message, requestID uint32, events RequestedEvents, tone gateways.Tone, connectionID string) {
	msg.Set("X", strconv.FormatUint(uint64(requestID), 16))
	msg.Set("R", requestedEventLists[events])
	if events == DetectDigits {
		msg.Set("D", a.config.DigitMap.String())
	}
	signal := toneSignals[tone]
	if strings.HasSuffix(signal, "@") {
		signal += connectionID
	}
	msg.Set("S", signal)
}

// sendCommand sends a command and notes what it is about.
func (a *Agent) sendCommand(gatewayIndex int, msg mgcp.Message, command outstandingCommand) uint32 {
	gateway := &a.gateways[gatewayIndex]
	if len(a.config.NotifiedEntities) > 1 && msg.Verb == mgcp.NotificationRequest {
		msg.Set("N", a.config.NotifiedEntities[a.config.OwnEntityIndex])
	}
	deadline := policy.Tenths(0)
	if command.kind == lineCommand {
		deadline = a.lines[command.index].answerDeadline
	}
	id := gateway.sender.SendWithDeadline(a.now, msg, deadline)
	a.outstanding[id] = command
	a.scheduleRetransmission(gatewayIndex) // to look at the gateway here began an audit of the very line whose command is being sent: it got two at once
	return id
}

// commandOutput is the agent as its senders see it.
type commandOutput Agent

// Transmit puts a command on its way; the transaction's id tells whose it is.
func (o *commandOutput) Transmit(msg mgcp.Message, repeat int) {
	a := (*Agent)(o)
	_, domain, _ := strings.Cut(msg.Endpoint, "@")
	gatewayIndex, ok := a.gatewayByName[strings.ToLower(domain)]
	if msg.Verb == "" { // the acknowledgement of a response
		command, found := a.outstanding[msg.Transaction]
		gatewayIndex, ok = a.gatewayOfCommand(command), found
	}
	if gateway := &a.gateways[gatewayIndex]; ok && len(gateway.Addresses) > 0 {
		a.Counts.DatagramsSent++
		a.output.Send(gateway.Addresses[gateway.currentAddress%len(gateway.Addresses)], msg)
	}
}

func (a *Agent) gatewayOfCommand(command outstandingCommand) int {
	if command.kind == lineCommand {
		return int(a.lines[command.index].gateway)
	}
	return command.index
}

// HandleConflict has an endpoint audited that answered a command a second time, otherwise: the first answer counts, and what the
// second told of is looked for and taken away.
func (o *commandOutput) HandleConflict(id uint32, _ int, response mgcp.Message) {
	a := (*Agent)(o)
	a.Counts.ConflictingResponses++
	if a.onConflict != nil {
		a.onConflict(response)
	}
}

// HandleOutcome takes the end of a command.
func (o *commandOutput) HandleOutcome(id uint32, outcome mgcp.Outcome, response mgcp.Message) {
	a := (*Agent)(o)
	command := a.outstanding[id]
	gatewayIndex := a.gatewayOfCommand(command)
	gateway := &a.gateways[gatewayIndex]
	if outcome == mgcp.PeerSuspect {
		// Another address of it, if there is one; not while it is heard: on a network that loses much, half of what was sent to a
		// gateway that had moved went to the address it had left.
		if !gateway.presence.ReceivedSince(command.sentAt) {
			gateway.suspect = true
			gateway.currentAddress++
		}
		return
	}
	delete(a.outstanding, id)
	if outcome == mgcp.Answered {
		gateway.suspect = false
		gateway.presence.Received(a.now)
	}
	switch {
	case outcome == mgcp.PeerDisconnected && gateway.presence.ReceivedSince(command.sentAt):
		a.handleUnanswered(gatewayIndex, id, command)
	case command.kind == probeCommand:
		a.handleProbeResponse(gatewayIndex, outcome, response)
	case command.kind == gatewayCommand:
		a.handleJoinResponse(gatewayIndex, id, outcome, response)
	case a.lines[command.index].transactionID != id:
	case outcome == mgcp.PeerDisconnected:
		a.lines[command.index].transactionID = 0
		a.gatewayLost(gatewayIndex, "it does not answer")
	default:
		a.lines[command.index].transactionID = 0
		a.handleLineResponse(command, response)
	}
}

// handleUnanswered takes the end of a command that a gateway which is there did not answer: what it has done is not known, and is asked
// for and put right.
func (a *Agent) handleUnanswered(gatewayIndex int, id uint32, command outstandingCommand) {
	switch {
	case command.kind == gatewayCommand && a.gateways[gatewayIndex].transactionID == id:
		a.startJoin(gatewayIndex)
	case command.kind == lineCommand && a.lines[command.index].transactionID == id:
		a.abandonCommand(command.index)
		a.lines[command.index].auditDue = true
		a.reconcile(command.index)
	}
}

// abandonCommand lets go of the command that is out for a line, whether the gateway has carried it out or not.
func (a *Agent) abandonCommand(i int) {
	line := &a.lines[i]
	a.gateways[line.gateway].sender.Cancel(a.now, line.transactionID)
	delete(a.outstanding, line.transactionID)
	line.transactionID = 0
	line.applied.events, line.applied.tone = DetectNothing, gateways.Silence
	if line.connection == ConnectionCreating || line.connection == ConnectionDeleting && line.uncertainCall != nil {
		a.setConnection(i, ConnectionUncertain)
	}
	if line.connection == ConnectionUncertain && line.uncertainCall == nil {
		line.uncertainCall = line.pendingCall
	} else if line.connection == ConnectionModifying || line.connection == ConnectionDeleting {
		a.setConnection(i, ConnectionCreated)
	}
}

// handleLineResponse takes the answer to a command of a line.
func (a *Agent) handleLineResponse(command outstandingCommand, response mgcp.Message) {
	i := command.index
	line := &a.lines[i]
	if command.verb == mgcp.AuditEndpoint {
		a.handleAudit(i, response)
		return
	}
	result := gateways.ResultOf(command.verb, response.Code)
	if result != gateways.RetryLater {
		line.refusals = 0
	} else if line.refusals++; line.refusals > maxRefusals {
		result = gateways.Failed
	}
	deletesOrphan := command.verb == mgcp.DeleteConnection && len(line.orphaned) > 0
	if command.verb == mgcp.DeleteConnection && !deletesOrphan && line.uncertainCall != nil && result != gateways.Succeeded {
		a.setConnection(i, ConnectionNone)
		line.uncertainCall, line.auditDue = nil, true
	}
	if result != gateways.Succeeded { // as it was before the command
		switch line.connection {
		case ConnectionCreating:
			a.setConnection(i, ConnectionNone)
		case ConnectionModifying, ConnectionDeleting:
			a.setConnection(i, ConnectionCreated)
		}
	}
	switch result {
	case gateways.Succeeded:
		if deletesOrphan {
			line.orphaned = line.orphaned[1:]
			a.Counts.OrphanedConnections++
			break
		}
		a.handleSuccess(i, command.verb, response)
		return
	case gateways.IsOffHook:
		a.handleEvent(i, a.offHookEvent(), eventData{})
		return
	case gateways.IsOnHook:
		a.handleEvent(i, onHook, eventData{})
		return
	case gateways.RetryLater:
		line.retryAt = a.now + gateways.RetryDelay(int(line.refusals))
		a.schedule(line.retryAt, lineTimer, i)
		return
	case gateways.ConnectionGone:
		a.setConnection(i, ConnectionNone)
		line.applied.mode, line.connectedCall = NoMode, nil
		if line.pendingCall != nil && line.pendingCall == line.call {
			a.handleEvent(i, connectionLost, eventData{})
			return
		}
	case gateways.EndpointUnavailable, gateways.OtherCallAgent:
		a.endpointOutOfService(i)
		return
	case gateways.Failed:
		a.output.Note("gateway: " + a.endpointName(i) + " answers " + string(command.verb) + " with " + strconv.Itoa(response.Code) + " " + response.Comment)
		switch {
		case deletesOrphan:
			line.orphaned = line.orphaned[1:]
		case command.verb == mgcp.DeleteConnection:
			a.setConnection(i, ConnectionNone)
			line.applied.mode, line.connectedCall, line.auditDue = NoMode, nil, true
		case command.verb == mgcp.CreateConnection:
			if line.pendingCall == line.call {
				a.handleEvent(i, connectionFailed, eventData{})
				return
			}
		case command.verb == mgcp.ModifyConnection:
			if line.pendingCall == line.call {
				a.handleEvent(i, connectionLost, eventData{})
				return
			}
		default: // a tone or an event it does not know: go on without, rather than ask for ever
			line.applied.events, line.applied.tone = line.pending.events, line.pending.tone
		}
	}
	a.reconcile(i)
}

// endpointOutOfService takes an endpoint out of service that its gateway says it does not have, or not now; it is asked after.
func (a *Agent) endpointOutOfService(i int) {
	line := &a.lines[i]
	a.handleEvent(i, endpointLost, eventData{})
	a.setConnection(i, ConnectionNone)
	line.applied, line.connectedCall = endpointState{}, nil
	line.retryAt = a.now + gateways.RetryDelay(maxRefusals)
	a.schedule(line.retryAt, lineTimer, i)
}

// handleSuccess notes that the gateway is as the command asked.
func (a *Agent) handleSuccess(i int, verb mgcp.Verb, response mgcp.Message) {
	line := &a.lines[i]
	alreadyNotified := line.notifiedID == line.requestID && line.applied.events == DetectNothing && line.pending.events != DetectNothing
	line.applied = line.pending
	if alreadyNotified { // what was asked for has been notified before the answer came: it must be asked for anew
		line.applied.events, line.applied.tone = DetectNothing, gateways.Silence
	}
	call := line.pendingCall
	switch verb {
	case mgcp.DeleteConnection:
		a.setConnection(i, ConnectionNone)
		if line.uncertainCall != nil {
			line.uncertainCall = nil
		} else {
			line.connectedCall = nil
		}
		// A command to make it that was held up on its way may be carried out after this one: the endpoint is asked later.
		line.auditAt = a.now + auditDelay
		a.schedule(line.auditAt, lineTimer, i)
	case mgcp.CreateConnection:
		a.setConnection(i, ConnectionCreated)
		line.connectedCall = call
		call.connectionID, _ = response.Param("I")
		call.appliedSession = call.pendingSession
		session, err := readSession(response.Session)
		if call.localSession = session; err != nil || call.connectionID == "" {
			a.output.Note("gateway: " + a.endpointName(i) + " makes a connection that cannot be used: " + sessionErrorText(err))
			if call == line.call {
				a.handleEvent(i, connectionFailed, eventData{})
				return
			}
		} else if call == line.call {
			a.handleEvent(i, connectionReady, eventData{})
			return
		}
	case mgcp.ModifyConnection:
		a.setConnection(i, ConnectionCreated)
		call.appliedSession = call.pendingSession
	}
	a.reconcile(i)
}

func sessionErrorText(err error) string {
	if err == nil {
		return "it has no name"
	}
	return err.Error()
}

// handleAudit takes what an endpoint says of itself: connections of no call are deleted, and its hook counts against what we hold.
func (a *Agent) handleAudit(i int, response mgcp.Message) {
	line := &a.lines[i]
	if mgcp.ClassOf(response.Code) != mgcp.Success {
		if gateways.ResultOf(mgcp.AuditEndpoint, response.Code) == gateways.EndpointUnavailable {
			a.endpointOutOfService(i)
		}
		return
	}
	if line.state == OutOfService {
		a.handleEvent(i, endpointBack, eventData{})
	}
	if line.state == Idle {
		// What it listens for is asked for anew: one that noticed something and could not tell it listens for nothing more, and
		// does not say so.
		line.applied.events = DetectNothing
	}
	list, _ := response.Param("I")
	var heldIDs []string
	for _, id := range strings.Split(list, ",") {
		if id = strings.TrimSpace(id); id != "" {
			heldIDs = append(heldIDs, id)
		}
	}
	liveID := ""
	if line.connectedCall != nil {
		liveID = line.connectedCall.connectionID
	}
	orphaned, liveGone := gateways.OrphanedConnections(heldIDs, liveID)
	line.orphaned = append(line.orphaned, orphaned...)
	if liveGone {
		lostCall := line.connectedCall
		a.setConnection(i, ConnectionNone)
		line.applied.mode, line.connectedCall = NoMode, nil
		if lostCall == line.call {
			a.handleEvent(i, connectionLost, eventData{})
		}
	}
	observed, _ := response.Param("ES")
	events, err := mgcp.ParseEvents(observed)
	for _, event := range events {
		expectOffHook := line.state == Dialing || line.state == CreatingConnection || line.state == Calling || line.state == Talking || line.state == HearingTone
		switch {
		case err != nil:
		case event.Is(mgcp.PackageLine, "hd") && !expectOffHook:
			a.handleEvent(i, a.offHookEvent(), eventData{})
		case event.Is(mgcp.PackageLine, "hu") && expectOffHook:
			a.handleEvent(i, onHook, eventData{})
		}
	}
	a.reconcile(i)
}

// offHookEvent is what it means that a receiver is lifted now.
func (a *Agent) offHookEvent() event {
	if gateways.Overloaded(a.callDelay, a.config.GoSTarget) {
		return offHookRejected
	}
	return offHook
}

// retryLine takes a line up that could not do what it was asked a while ago.
func (a *Agent) retryLine(i int) {
	line := &a.lines[i]
	if line.state == OutOfService && line.transactionID == 0 && a.gateways[line.gateway].presence.State() == gateways.Serving {
		msg := mgcp.Message{Verb: mgcp.AuditEndpoint, Endpoint: a.endpointName(i), Params: []mgcp.Param{{Name: "F", Value: "I, ES"}}}
		line.transactionID = a.sendCommand(int(line.gateway), msg, outstandingCommand{lineCommand, i, msg.Verb, a.now})
		line.retryAt = a.now + gateways.RetryDelay(8)
		a.schedule(line.retryAt, lineTimer, i)
		return
	}
	a.reconcile(i)
}

// remoteSessionOf is where the other side of a call takes media: as it told, or the own switch where it told nothing.
func (a *Agent) remoteSessionOf(userInfo isup.UserInfo, circuit circuitKey) string {
	if userInfo.Present&isup.PartSession != 0 && userInfo.Session != "" {
		if _, err := readSession([]byte(userInfo.Session)); err == nil {
			return userInfo.Session
		}
	}
	return pcmuSession(a.config.MediaAddress, 20000+2*int(circuit.cic))
}
