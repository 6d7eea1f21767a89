package callagent

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"indigodrift/internal/gateways"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

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

// HandleMessage handles one message of a datagram; age is how long the datagram waited in the queue.
func (a *Agent) HandleMessage(now policy.Tenths, from netip.AddrPort, msg mgcp.Message, age policy.Tenths) {
	a.now = now
	switch {
	case msg.IsAcknowledgement():
		if gatewayIndex, ok := a.gatewayByAddress[from]; ok { // an acknowledgement names no endpoint
			a.gateways[gatewayIndex].receiver.HandleAck(msg.Transaction)
		}
	case msg.Verb == "":
		a.handleResponse(from, msg)
	default:
		a.handleCommand(from, msg, age)
	}
	a.processQueue()
}

func (a *Agent) handleResponse(from netip.AddrPort, msg mgcp.Message) {
	command, ok := a.outstanding[msg.Transaction]
	gatewayIndex := a.gatewayOfCommand(command)
	if ok && command.kind == lineCommand && !isComplete(command.verb, msg) {
		a.Counts.IncompleteMessages++
		return
	}
	if !ok {
		if gatewayIndex, ok = a.gatewayByAddress[from]; !ok {
			return
		}
		// A response names no endpoint: a conflicting one leads to an audit of all endpoints of the gateway.
		a.onConflict = func(mgcp.Message) {
			for i := range a.gateways[gatewayIndex].Endpoints {
				a.lines[a.gateways[gatewayIndex].lineOffset+i].auditDue = true
				a.reconcile(a.gateways[gatewayIndex].lineOffset + i)
			}
		}
	}
	a.selectAddress(gatewayIndex, from)
	a.gateways[gatewayIndex].sender.HandleResponse(a.now, msg)
	a.onConflict = nil
	a.superviseGateway(gatewayIndex)
}

// isComplete reports whether a response has the parameters that its command requires. A truncated response is ignored: the
// command is retransmitted and the whole response follows.
func isComplete(verb mgcp.Verb, msg mgcp.Message) bool {
	if mgcp.ClassOf(msg.Code) != mgcp.Success {
		return true
	}
	_, hasID := msg.Param("I")
	_, hasState := msg.Param("ES")
	switch verb {
	case mgcp.CreateConnection:
		return hasID && len(msg.Session) > 0
	case mgcp.AuditEndpoint:
		return hasID && hasState
	}
	return true
}

func (a *Agent) handleCommand(from netip.AddrPort, msg mgcp.Message, age policy.Tenths) {
	gatewayIndex, i, ok := a.findEndpoint(msg.Endpoint)
	if !ok {
		a.output.Send(from, mgcp.Message{Transaction: msg.Transaction, Code: mgcp.CodeUnknownEndpoint, Comment: "no such endpoint"})
		return
	}
	if !msg.HasRequiredParams() {
		a.Counts.IncompleteMessages++
		return
	}
	gateway := &a.gateways[gatewayIndex]
	if acks, hasAcks := msg.Param("K"); hasAcks {
		for _, id := range mgcp.ParseIDRanges(acks) {
			gateway.receiver.HandleAck(id)
		}
	}
	execute, stored := gateway.receiver.HandleCommand(a.now, msg)
	if stored != nil {
		a.output.Send(from, *stored)
	}
	if !execute {
		return
	}
	gateway.presence.Received(a.now)
	gateway.suspect = false
	a.selectAddress(gatewayIndex, from)
	// A joining gateway that sends from a new address is joined again there. Commands to a configured address that it has left
	// would be sent forever, since its own messages keep it from counting as lost. In service only RSIP changes the address.
	if state := gateway.presence.State(); state == gateways.Joining && msg.Verb != mgcp.RestartInProgress &&
		(len(gateway.Addresses) == 0 || gateway.Addresses[gateway.currentAddress%len(gateway.Addresses)] != from) {
		a.adoptAddress(gatewayIndex, from)
		defer a.startJoin(gatewayIndex)
	}
	reply := func(code int, comment string) {
		a.output.Send(from, gateway.receiver.StoreResponse(a.now, mgcp.Message{Transaction: msg.Transaction, Code: code, Comment: comment}))
	}
	if owner := a.owner(gateway.Name); owner != a.config.OwnEntityIndex {
		response := mgcp.Message{Transaction: msg.Transaction, Code: mgcp.CodeRedirected, Comment: "it belongs to another call agent",
			Params: []mgcp.Param{{Name: "N", Value: a.config.NotifiedEntities[owner]}}}
		a.output.Send(from, gateway.receiver.StoreResponse(a.now, response))
		return
	}
	switch msg.Verb {
	case mgcp.RestartInProgress:
		a.handleRestart(gatewayIndex, i, from, msg, reply)
	case mgcp.Notify:
		reply(mgcp.CodeOK, "OK")
		if gateway.presence.State() == gateways.Absent { // it is reachable after all: join it anew
			a.adoptAddress(gatewayIndex, from)
			a.admit(gatewayIndex)
			return
		}
		if i >= 0 && gateway.joinStep == joinNone {
			a.handleNotify(i, msg, age)
		}
	default:
		reply(mgcp.CodeUnknownCommand, "a call agent does not take it")
	}
	a.superviseGateway(gatewayIndex)
}

// owner returns the index of the call agent that a gateway belongs to.
func (a *Agent) owner(name string) int {
	if len(a.config.NotifiedEntities) < 2 {
		return a.config.OwnEntityIndex
	}
	return gateways.Owner(name, a.config.NotifiedEntities, func(int) bool { return true })
}

// selectAddress selects the address from which a gateway last sent, if it is one of its known addresses.
func (a *Agent) selectAddress(gatewayIndex int, from netip.AddrPort) {
	gateway := &a.gateways[gatewayIndex]
	if n := slices.Index(gateway.Addresses, from); n >= 0 {
		gateway.currentAddress = n
	}
}

// adoptAddress selects the address from which a gateway sent, and adds it if it is new.
func (a *Agent) adoptAddress(gatewayIndex int, from netip.AddrPort) {
	gateway := &a.gateways[gatewayIndex]
	for n, address := range gateway.Addresses {
		if address == from {
			gateway.currentAddress = n
			a.gatewayByAddress[from] = gatewayIndex
			return
		}
	}
	gateway.Addresses = append([]netip.AddrPort{from}, gateway.Addresses[:min(len(gateway.Addresses), maxAddresses-1)]...)
	gateway.currentAddress = 0
	a.gatewayByAddress[from] = gatewayIndex
}

// handleRestart handles a RestartInProgress command (RSIP, RFC 3435, 2.3.12).
func (a *Agent) handleRestart(gatewayIndex, i int, from netip.AddrPort, msg mgcp.Message, reply func(int, string)) {
	gateway := &a.gateways[gatewayIndex]
	method, _ := msg.Param("RM")
	switch strings.ToLower(strings.TrimSpace(method)) {
	case "graceful":
		gateway.presence.Leave()
		reply(mgcp.CodeOK, "OK")
	case "cancel-graceful":
		gateway.presence.CancelLeave()
		reply(mgcp.CodeOK, "OK")
	case "forced":
		reply(mgcp.CodeOK, "OK")
		if i >= 0 {
			a.resetLine(i)
			a.handleEvent(i, endpointLost, eventData{})
			return
		}
		a.gatewayLost(gatewayIndex, "it reported a forced restart")
	case "disconnected":
		a.adoptAddress(gatewayIndex, from)
		if gateway.presence.State() == gateways.Serving { // its calls may still be connected: audit each endpoint
			reply(mgcp.CodeOK, "OK")
			for n := range gateway.Endpoints {
				a.lines[gateway.lineOffset+n].auditDue = true
				a.reconcile(gateway.lineOffset + n)
			}
			return
		}
		a.admitReported(gatewayIndex, from, msg, reply)
	case "restart", "":
		if i >= 0 && gateway.presence.State() == gateways.Serving {
			reply(mgcp.CodeOK, "OK")
			a.resetLine(i)
			a.handleEvent(i, endpointBack, eventData{})
			return
		}
		a.adoptAddress(gatewayIndex, from)
		a.resetGateway(gatewayIndex)
		a.admitReported(gatewayIndex, from, msg, reply)
	default:
		reply(mgcp.CodeProtocolError, "restart method "+method)
	}
}

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
		a.output.Note("gateway " + gateway.Name + " is out of service: " + reason)
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

// handleNotify handles a Notify command (NTFY, RFC 3435, 2.3.3).
func (a *Agent) handleNotify(i int, msg mgcp.Message, age policy.Tenths) {
	line := &a.lines[i]
	requestText, _ := msg.Param("X")
	requestID, err := strconv.ParseUint(requestText, 16, 32)
	if err != nil || gateways.Stale(uint32(requestID), line.notifiedID) { // overtaken by a later one: audit the current state
		a.Counts.StaleNotifications++
		line.auditDue = true
		a.reconcile(i)
		return
	}
	observed, _ := msg.Param("O")
	events, err := mgcp.ParseEvents(observed)
	if err != nil {
		a.output.Note("gateway: " + a.endpointName(i) + " sent a malformed event list: " + err.Error())
		return
	}
	if line.transactionID != 0 && uint32(requestID) == line.requestID && line.notifiedID != line.requestID &&
		a.outstanding[line.transactionID].verb == mgcp.NotificationRequest {
		// The endpoint detected an event of the outstanding request, so it has executed the request even if the response was lost.
		// Without this, a dialled number had to wait for the response.
		line.applied = line.pending
		a.gateways[line.gateway].sender.Cancel(a.now, line.transactionID)
		delete(a.outstanding, line.transactionID)
		line.transactionID = 0
	}
	line.notifiedID = uint32(requestID)
	line.applied.events, line.applied.tone = DetectNothing, gateways.Silence // a notification ends the request and its tone
	if line.state == OutOfService {
		a.handleEvent(i, endpointBack, eventData{})
	}
	digits := mgcp.Digits(events)
	for _, event := range events {
		switch {
		case event.Is(mgcp.PackageLine, "hd"):
			a.handleEvent(i, a.offHookEvent(), eventData{age: age})
		case event.Is(mgcp.PackageLine, "hu"):
			a.handleEvent(i, onHook, eventData{age: age})
		case event.Is(mgcp.PackageLine, "hf"):
			a.handleEvent(i, hookFlash, eventData{age: age})
		}
	}
	if digits != "" {
		event := numberInvalid
		if match := a.config.DigitMap.Match(digits); match == mgcp.FullMatch || match == mgcp.AmbiguousMatch {
			event = numberDialled
		}
		a.handleEvent(i, event, eventData{digits: strings.TrimSuffix(digits, "T"), age: age})
	}
	a.reconcile(i)
}
