package callagent

import (
	"strconv"
	"strings"

	"indigodrift/internal/gateways"
	"indigodrift/internal/mgcp"
)

// reconcile sends the next command that brings the applied state of a line's endpoint closer to the desired state. It sends nothing
// while a command is outstanding.
func (a *Agent) reconcile(i int) {
	line := &a.lines[i]
	gateway := &a.gateways[line.gateway]
	if line.transactionID != 0 || line.state == OutOfService ||
		gateway.presence.State() != gateways.Serving && gateway.presence.State() != gateways.Leaving || a.now < line.retryAt {
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
		requestEvents = requestEvents && desired.mode == NoMode // otherwise requested with the new connection
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

// handleLineResponse handles the response to a command to one endpoint.
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
	if result != gateways.Succeeded { // restore the state from before the command
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
		a.output.Log("gateway: " + a.endpointName(i) + " answers " + string(command.verb) + " with " +
			strconv.Itoa(response.Code) + " " + response.Comment)
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
		default: // unknown tone or event: continue without it instead of requesting it forever
			line.applied.events, line.applied.tone = line.pending.events, line.pending.tone
		}
	}
	a.reconcile(i)
}

// endpointOutOfService takes an endpoint out of service that its gateway reported as unknown or unavailable. It is audited later.
func (a *Agent) endpointOutOfService(i int) {
	line := &a.lines[i]
	a.handleEvent(i, endpointLost, eventData{})
	a.setConnection(i, ConnectionNone)
	line.applied, line.connectedCall = endpointState{}, nil
	line.retryAt = a.now + gateways.RetryDelay(maxRefusals)
	a.schedule(line.retryAt, lineTimer, i)
}

// handleSuccess records the state that a successful command has applied.
func (a *Agent) handleSuccess(i int, verb mgcp.Verb, response mgcp.Message) {
	line := &a.lines[i]
	alreadyNotified := line.notifiedID == line.requestID && line.applied.events == DetectNothing && line.pending.events != DetectNothing
	line.applied = line.pending
	if alreadyNotified { // the notification came before the response and ended the request
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
		// A delayed CRCX for the same call may be executed after this command: audit the endpoint later.
		line.auditAt = a.now + auditDelay
		a.schedule(line.auditAt, lineTimer, i)
	case mgcp.CreateConnection:
		a.setConnection(i, ConnectionCreated)
		line.connectedCall = call
		call.connectionID, _ = response.Param("I")
		call.appliedSession = call.pendingSession
		session, err := readSession(response.Session)
		if call.localSession = session; err != nil || call.connectionID == "" {
			a.output.Log("gateway: " + a.endpointName(i) + " created an unusable connection: " + sessionErrorText(err))
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

// sessionErrorText returns why a created connection is unusable.
func sessionErrorText(err error) string {
	if err == nil {
		return "it has no connection ID"
	}
	return err.Error()
}

// handleAudit handles the response to an audit of an endpoint. Connections without a call are deleted, and the reported hook state
// overrides the known one.
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
		// Request the events again: an endpoint that couldn't deliver a notification detects nothing any more, and an audit
		// doesn't show it.
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
		expectOffHook := line.state == Dialing || line.state == CreatingConnection || line.state == Calling ||
			line.state == Talking || line.state == HearingTone
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

// offHookEvent returns the event for a line that goes off hook now.
func (a *Agent) offHookEvent() event {
	if gateways.Overloaded(a.callDelay, a.config.GoSTarget) {
		return offHookRejected
	}
	return offHook
}

// retryLine continues with a line after a retry delay. An endpoint out of service is audited.
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
