package callagent

import (
	"strconv"
	"strings"

	"indigodrift/internal/gateways"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// commandKind tells what a command is addressed to.
type commandKind uint8

const (
	lineCommand    commandKind = iota
	gatewayCommand             // to all endpoints of a gateway while it joins
	probeCommand               // checks whether a gateway answers
)

// outstandingCommand is a command that has not been answered.
type outstandingCommand struct {
	kind   commandKind
	index  int // of the line or the gateway
	verb   mgcp.Verb
	sentAt policy.Tenths
}

// sendCommand sends a command, records it as outstanding and returns its transaction ID.
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
	// Not superviseGateway: it could audit the same line, which would then have two commands outstanding.
	a.scheduleRetransmission(gatewayIndex)
	return id
}

// newRequestID returns the next request ID (X parameter).
func (a *Agent) newRequestID() uint32 { a.lastRequestID++; return a.lastRequestID }

// addNotificationRequest adds the parameters that request events and a tone to a command.
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

// gatewayOfCommand returns the index of the gateway of a command.
func (a *Agent) gatewayOfCommand(command outstandingCommand) int {
	if command.kind == lineCommand {
		return int(a.lines[command.index].gateway)
	}
	return command.index
}

// commandOutput implements mgcp.SenderOutput for the agent.
type commandOutput Agent

// Transmit sends a command, or the acknowledgement of a response, to the current address of its gateway.
func (o *commandOutput) Transmit(msg mgcp.Message, retransmission int) {
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

// HandleConflict handles a second, different response to a command. The first response counts; the endpoints are audited, and
// what the second response reported is found there and deleted.
func (o *commandOutput) HandleConflict(id uint32, _ int, response mgcp.Message) {
	a := (*Agent)(o)
	a.Counts.ConflictingResponses++
	if a.onConflict != nil {
		a.onConflict(response)
	}
}

// HandleOutcome handles the response to a command or the lack of one.
func (o *commandOutput) HandleOutcome(id uint32, outcome mgcp.Outcome, response mgcp.Message) {
	a := (*Agent)(o)
	command := a.outstanding[id]
	gatewayIndex := a.gatewayOfCommand(command)
	gateway := &a.gateways[gatewayIndex]
	if outcome == mgcp.PeerSuspect {
		// Try the next address, but not while the gateway sends: on a lossy network, half of the commands to a gateway that had
		// moved went to its old address.
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

// handleUnanswered handles a command that a reachable gateway didn't answer. Whether it was executed is unknown: the endpoint is
// audited, or a joining gateway is joined again.
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

// abandonCommand stops waiting for the response to the outstanding command of a line. The gateway may have executed it.
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
