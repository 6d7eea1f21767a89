package callagent

import (
	"net/netip"

	"indigodrift/internal/gateways"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// gatewayRecord is the state of one gateway.
type gatewayRecord struct {
	Gateway
	lineOffset     int // index of its first line in Agent.lines
	currentAddress int // index into Addresses, modulo their number
	presence       gateways.Presence
	sender         *mgcp.Sender
	receiver       *mgcp.Receiver
	joinStep       joinStep
	transactionID  uint32         // of the outstanding command for all endpoints, 0 for none
	queuedReports  []queuedReport // restart reports to answer on admission
	suspect        bool           // commands have been retransmitted often without a response
	timerAt        policy.Tenths
	auditAt        policy.Tenths
	nextAudit      int // endpoint to audit next
}

// queuedReport is a restart report that is answered when its gateway is admitted.
type queuedReport struct {
	message mgcp.Message
	from    netip.AddrPort
}

// joinStep is the step of bringing a gateway into service.
//
//	joinNone                -> joinDeletingConnections
//	joinDeletingConnections -> joinRequestingEvents   all connections of the gateway are deleted: none has a call here
//	joinRequestingEvents    -> joinNone               all endpoints are requested to report off-hook
type joinStep uint8

const (
	joinNone joinStep = iota
	joinDeletingConnections
	joinRequestingEvents
)

// resetLine forgets the applied state and the outstanding command of an endpoint that has restarted.
func (a *Agent) resetLine(i int) {
	line := &a.lines[i]
	a.setConnection(i, ConnectionNone)
	auditAt := policy.Tenths(0)
	if line.transactionID != 0 {
		a.gateways[line.gateway].sender.Cancel(a.now, line.transactionID)
		delete(a.outstanding, line.transactionID)
		auditAt = a.now + auditDelay // the endpoint may still execute it
		a.schedule(auditAt, lineTimer, i)
	}
	line.transactionID, line.applied, line.connectedCall, line.orphaned, line.auditDue, line.retryAt, line.refusals, line.uncertainCall, line.auditAt =
		0, endpointState{}, nil, nil, false, 0, 0, nil, auditAt
}

// resetGateway ends all calls and commands of a gateway that has restarted or is lost.
func (a *Agent) resetGateway(gatewayIndex int) {
	gateway := &a.gateways[gatewayIndex]
	gateway.transactionID, gateway.joinStep = 0, joinNone
	for n := range gateway.Endpoints {
		a.resetLine(gateway.lineOffset + n)
		a.handleEvent(gateway.lineOffset+n, endpointLost, eventData{})
	}
	for _, id := range gateway.sender.CancelAll(a.now) {
		delete(a.outstanding, id)
	}
}

// admitReported requests admission for a gateway that reported a restart. Its report is answered on admission, so that a queued
// gateway waits and doesn't report again.
func (a *Agent) admitReported(gatewayIndex int, from netip.AddrPort, msg mgcp.Message, reply func(int, string)) {
	gateway := &a.gateways[gatewayIndex]
	switch a.restarts.Admit(a.now, uint32(gatewayIndex)) {
	case gateways.Admitted:
		reply(mgcp.CodeOK, "OK")
		a.startJoin(gatewayIndex)
	case gateways.Queued:
		gateway.queuedReports = append(gateway.queuedReports, queuedReport{msg, from})
		a.output.Send(from, mgcp.Message{Transaction: msg.Transaction, Code: mgcp.CodeQueued, Comment: "waits for its turn"})
	default:
		reply(mgcp.CodeNoResources, "too many gateways restart")
		gateway.presence.Lost(a.now)
	}
	a.scheduleAdmission()
}

// admit requests admission for a gateway that didn't report a restart.
func (a *Agent) admit(gatewayIndex int) {
	switch a.restarts.Admit(a.now, uint32(gatewayIndex)) {
	case gateways.Admitted:
		a.startJoin(gatewayIndex)
	case gateways.Rejected:
		a.gateways[gatewayIndex].presence.Lost(a.now) // probed later
		a.superviseGateway(gatewayIndex)
	}
	a.scheduleAdmission()
}

// scheduleAdmission sets the timer for the next admission from the queue.
func (a *Agent) scheduleAdmission() {
	if at, ok := a.restarts.Next(a.now); ok && (a.admissionAt == 0 || at < a.admissionAt) {
		a.admissionAt = at
		a.schedule(at, admissionTimer, 0)
	}
}

// startJoin starts to bring a gateway into service. Each command of the join goes to all endpoints together, not to each.
func (a *Agent) startJoin(gatewayIndex int) {
	gateway := &a.gateways[gatewayIndex]
	for _, report := range gateway.queuedReports {
		a.output.Send(report.from, gateway.receiver.StoreResponse(a.now,
			mgcp.Message{Transaction: report.message.Transaction, Code: mgcp.CodeOK, Comment: "OK"}))
	}
	gateway.queuedReports = nil
	a.resetGateway(gatewayIndex)
	gateway.presence.Join(a.now)
	// Connections are deleted even after a restart: the gateway may have executed a delayed CRCX since.
	gateway.joinStep = joinDeletingConnections
	gateway.transactionID = a.sendCommand(gatewayIndex,
		mgcp.Message{Verb: mgcp.DeleteConnection, Endpoint: allEndpoints + "@" + gateway.Name},
		outstandingCommand{gatewayCommand, gatewayIndex, mgcp.DeleteConnection, a.now})
}

// requestOffHookEvents requests all endpoints of a joining gateway to report off-hook.
func (a *Agent) requestOffHookEvents(gatewayIndex int) {
	gateway := &a.gateways[gatewayIndex]
	gateway.joinStep = joinRequestingEvents
	msg := mgcp.Message{Verb: mgcp.NotificationRequest, Endpoint: allEndpoints + "@" + gateway.Name}
	requestID := a.newRequestID()
	a.addNotificationRequest(&msg, requestID, DetectOffHook, gateways.Silence, "")
	for n := range gateway.Endpoints {
		line := &a.lines[gateway.lineOffset+n]
		line.requestID, line.notifiedID = requestID, requestID-1 // earlier notifications are stale
	}
	gateway.transactionID = a.sendCommand(gatewayIndex, msg, outstandingCommand{gatewayCommand, gatewayIndex, msg.Verb, a.now})
}

// handleJoinResponse handles the response to a command to all endpoints of a joining gateway, or its failure.
func (a *Agent) handleJoinResponse(gatewayIndex int, id uint32, outcome mgcp.Outcome, response mgcp.Message) {
	gateway := &a.gateways[gatewayIndex]
	switch {
	case gateway.transactionID != id:
		return
	case outcome == mgcp.PeerDisconnected:
		a.gatewayLost(gatewayIndex, "it does not answer")
		return
	case gateways.ResultOf(mgcp.NotificationRequest, response.Code) == gateways.OtherCallAgent:
		a.gatewayLost(gatewayIndex, "it belongs to another call agent")
		return
	case gateway.joinStep == joinDeletingConnections:
		a.requestOffHookEvents(gatewayIndex)
		return
	}
	gateway.transactionID, gateway.joinStep = 0, joinNone
	gateway.presence.Joined()
	a.Counts.Joined++
	// If refused, the events are requested from each endpoint: a single endpoint off hook refuses the request for all.
	accepted := mgcp.ClassOf(response.Code) == mgcp.Success
	for n := range gateway.Endpoints {
		line := &a.lines[gateway.lineOffset+n]
		if accepted {
			line.applied = endpointState{events: DetectOffHook}
		}
		a.handleEvent(gateway.lineOffset+n, endpointBack, eventData{})
	}
	gateway.auditAt = a.now + auditInterval
}

// gatewayLost takes a gateway out of service and ends its calls. It is then probed at growing intervals.
func (a *Agent) gatewayLost(gatewayIndex int, reason string) {
	gateway := &a.gateways[gatewayIndex]
	if gateway.presence.Lost(a.now) {
		a.Counts.Lost++
		a.output.Log("gateway " + gateway.Name + " is out of service: " + reason)
	}
	a.resetGateway(gatewayIndex)
	a.superviseGateway(gatewayIndex)
}

// handleProbeResponse handles the response to a probe, or its failure.
func (a *Agent) handleProbeResponse(gatewayIndex int, outcome mgcp.Outcome, response mgcp.Message) {
	gateway := &a.gateways[gatewayIndex]
	switch {
	case outcome == mgcp.PeerDisconnected:
		a.gatewayLost(gatewayIndex, "it does not answer")
	case gateway.presence.State() == gateways.Absent && mgcp.ClassOf(response.Code) == mgcp.Success:
		a.admit(gatewayIndex)
	}
}

// superviseGateway probes a silent gateway, audits its endpoints in turn and sets the timer of the gateway.
func (a *Agent) superviseGateway(gatewayIndex int) {
	gateway := &a.gateways[gatewayIndex]
	probe, next := gateway.presence.ProbeDue(a.now)
	if probe && len(gateway.Addresses) > 0 && gateway.joinStep == joinNone {
		msg := mgcp.Message{Verb: mgcp.AuditEndpoint, Endpoint: allEndpoints + "@" + gateway.Name}
		id := gateway.sender.Send(a.now, msg)
		a.outstanding[id] = outstandingCommand{probeCommand, gatewayIndex, msg.Verb, a.now}
	}
	if gateway.presence.State() == gateways.Serving {
		if a.now >= gateway.auditAt {
			i := gateway.lineOffset + gateway.nextAudit
			gateway.nextAudit = (gateway.nextAudit + 1) % gateway.Endpoints
			gateway.auditAt = a.now + auditInterval
			a.lines[i].auditDue = true
			a.reconcile(i)
		}
		next = min(next, gateway.auditAt)
	}
	a.scheduleRetransmission(gatewayIndex)
	a.scheduleGateway(gatewayIndex, next)
}

// scheduleRetransmission sets the timer of a gateway for its next retransmission.
func (a *Agent) scheduleRetransmission(gatewayIndex int) {
	if at, ok := a.gateways[gatewayIndex].sender.Next(); ok {
		a.scheduleGateway(gatewayIndex, at)
	}
}

// scheduleGateway sets the timer of a gateway, unless it is set for an earlier time.
func (a *Agent) scheduleGateway(gatewayIndex int, next policy.Tenths) {
	gateway := &a.gateways[gatewayIndex]
	if next = max(next, a.now+1); gateway.timerAt == 0 || next < gateway.timerAt {
		gateway.timerAt = next
		a.schedule(next, gatewayTimer, gatewayIndex)
	}
}
