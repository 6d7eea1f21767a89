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

// joinStep is what is being done for a gateway that comes into service.
//
//	joinNone -> clearing, asking
//	clearing   -> asking      all connections are being deleted: no call of ours stands there
//	asking     -> joinNone  all endpoints are being asked to tell when a receiver is lifted
type joinStep uint8

const (
	joinNone joinStep = iota
	joinDeletingConnections
	joinRequestingEvents
)

// HandleMessage takes one message of a datagram. age is how long it waited before it was read.
func (a *Agent) HandleMessage(now policy.Tenths, from netip.AddrPort, msg mgcp.Message, age policy.Tenths) {
	a.now = now
	switch {
	case msg.IsAcknowledgement():
		if gatewayIndex, ok := a.gatewayByAddress[from]; ok { // it names no endpoint
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
		// The endpoint is not told in a second answer: all of the gateway's are looked at.
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

// isComplete tells whether a response has what its command asked for. One that was cut short is passed over, as the command is
// repeated and the whole of it comes.
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
	// It speaks from where it is. In service only a report moves it; one that is being brought into service at an address of the
	// settings that it has left would be asked there for ever, as it is heard and so is not held to be gone.
	if state := gateway.presence.State(); state == gateways.Joining && msg.Verb != mgcp.RestartInProgress && (len(gateway.Addresses) == 0 || gateway.Addresses[gateway.currentAddress%len(gateway.Addresses)] != from) {
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
		if gateway.presence.State() == gateways.Absent { // it is there, whatever we held: from the start
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

func (a *Agent) owner(name string) int {
	if len(a.config.NotifiedEntities) < 2 {
		return a.config.OwnEntityIndex
	}
	return gateways.Owner(name, a.config.NotifiedEntities, func(int) bool { return true })
}

// selectAddress has a gateway be spoken to at that of its addresses from which it was heard last.
func (a *Agent) selectAddress(gatewayIndex int, from netip.AddrPort) {
	gateway := &a.gateways[gatewayIndex]
	if n := slices.Index(gateway.Addresses, from); n >= 0 {
		gateway.currentAddress = n
	}
}

// adoptAddress takes a gateway's address from what it reports, when it is another than the ones known.
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

// handleRestart takes a report (RSIP, 2.3.12).
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
		a.gatewayLost(gatewayIndex, "it leaves service")
	case "disconnected":
		a.adoptAddress(gatewayIndex, from)
		if gateway.presence.State() == gateways.Serving { // its calls may stand: what it holds is asked for, line by line
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

// resetLine notes that an endpoint has started anew: it holds nothing and is asked for nothing.
func (a *Agent) resetLine(i int) {
	line := &a.lines[i]
	a.setConnection(i, ConnectionNone)
	auditAt := policy.Tenths(0)
	if line.transactionID != 0 {
		a.gateways[line.gateway].sender.Cancel(a.now, line.transactionID)
		delete(a.outstanding, line.transactionID)
		auditAt = a.now + auditDelay // it may be carried out yet
		a.schedule(auditAt, lineTimer, i)
	}
	line.transactionID, line.applied, line.connectedCall, line.orphaned, line.auditDue, line.retryAt, line.refusals, line.uncertainCall, line.auditAt = 0, endpointState{}, nil, nil, false, 0, 0, nil, auditAt
}

// resetGateway ends what goes on at a gateway that has started anew, or is gone.
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

// admitReported has the door say when a gateway that reported is brought into service; its report is answered then, so that one
// whose turn has not come waits rather than reports again.
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

// admit has the door say when a gateway that did not ask is brought into service.
func (a *Agent) admit(gatewayIndex int) {
	switch a.restarts.Admit(a.now, uint32(gatewayIndex)) {
	case gateways.Admitted:
		a.startJoin(gatewayIndex)
	case gateways.Rejected:
		a.gateways[gatewayIndex].presence.Lost(a.now) // asked after later
		a.superviseGateway(gatewayIndex)
	}
	a.scheduleAdmission()
}

func (a *Agent) scheduleAdmission() {
	if at, ok := a.restarts.Next(a.now); ok && (a.admissionAt == 0 || at < a.admissionAt) {
		a.admissionAt = at
		a.schedule(at, admissionTimer, 0)
	}
}

// startJoin brings a gateway into service: three commands for all its endpoints together, not three for each.
func (a *Agent) startJoin(gatewayIndex int) {
	gateway := &a.gateways[gatewayIndex]
	for _, report := range gateway.queuedReports {
		a.output.Send(report.from, gateway.receiver.StoreResponse(a.now, mgcp.Message{Transaction: report.message.Transaction, Code: mgcp.CodeOK, Comment: "OK"}))
	}
	gateway.queuedReports = nil
	a.resetGateway(gatewayIndex)
	gateway.presence.Join(a.now)
	// Also where it has just restarted and holds nothing: a command to make a connection that was on its way to it then may have
	// been carried out since.
	gateway.joinStep = joinDeletingConnections
	gateway.transactionID = a.sendCommand(gatewayIndex, mgcp.Message{Verb: mgcp.DeleteConnection, Endpoint: allEndpoints + "@" + gateway.Name}, outstandingCommand{gatewayCommand, gatewayIndex, mgcp.DeleteConnection, a.now})
}

func (a *Agent) requestOffHookEvents(gatewayIndex int) {
	gateway := &a.gateways[gatewayIndex]
	gateway.joinStep = joinRequestingEvents
	msg := mgcp.Message{Verb: mgcp.NotificationRequest, Endpoint: allEndpoints + "@" + gateway.Name}
	requestID := a.newRequestID()
	a.addNotificationRequest(&msg, requestID, DetectOffHook, gateways.Silence, "")
	for n := range gateway.Endpoints {
		line := &a.lines[gateway.lineOffset+n]
		line.requestID, line.notifiedID = requestID, requestID-1 // what it noticed before it came into service is over
	}
	gateway.transactionID = a.sendCommand(gatewayIndex, msg, outstandingCommand{gatewayCommand, gatewayIndex, msg.Verb, a.now})
}

// handleJoinResponse takes the answer to a command for all endpoints.
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
	accepted := mgcp.ClassOf(response.Code) == mgcp.Success // else one by one: a single phone that is off hook refuses it for all
	for n := range gateway.Endpoints {
		line := &a.lines[gateway.lineOffset+n]
		if accepted {
			line.applied = endpointState{events: DetectOffHook}
		}
		a.handleEvent(gateway.lineOffset+n, endpointBack, eventData{})
	}
	gateway.auditAt = a.now + auditInterval
}

// gatewayLost holds a gateway to be gone: its calls are over, and it is asked after ever less often.
func (a *Agent) gatewayLost(gatewayIndex int, reason string) {
	gateway := &a.gateways[gatewayIndex]
	if gateway.presence.Lost(a.now) {
		a.Counts.Lost++
		a.output.Note("gateway " + gateway.Name + " is out of service: " + reason)
	}
	a.resetGateway(gatewayIndex)
	a.superviseGateway(gatewayIndex)
}

// handleProbeResponse takes the answer to the question whether a gateway is there.
func (a *Agent) handleProbeResponse(gatewayIndex int, outcome mgcp.Outcome, response mgcp.Message) {
	gateway := &a.gateways[gatewayIndex]
	switch {
	case outcome == mgcp.PeerDisconnected:
		a.gatewayLost(gatewayIndex, "it does not answer")
	case gateway.presence.State() == gateways.Absent && mgcp.ClassOf(response.Code) == mgcp.Success:
		a.admit(gatewayIndex)
	}
}

// superviseGateway asks after a gateway that has been quiet, audits its lines in turn, and sets when to look again.
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

// scheduleRetransmission sets when a gateway's commands are to be looked at, wake when it is itself.
func (a *Agent) scheduleRetransmission(gatewayIndex int) {
	if at, ok := a.gateways[gatewayIndex].sender.Next(); ok {
		a.scheduleGateway(gatewayIndex, at)
	}
}

func (a *Agent) scheduleGateway(gatewayIndex int, next policy.Tenths) {
	gateway := &a.gateways[gatewayIndex]
	if next = max(next, a.now+1); gateway.timerAt == 0 || next < gateway.timerAt {
		gateway.timerAt = next
		a.schedule(next, gatewayTimer, gatewayIndex)
	}
}

// handleNotify takes what an endpoint noticed (NTFY, 2.3.3).
func (a *Agent) handleNotify(i int, msg mgcp.Message, age policy.Tenths) {
	line := &a.lines[i]
	requestText, _ := msg.Param("X")
	requestID, err := strconv.ParseUint(requestText, 16, 32)
	if err != nil || gateways.Stale(uint32(requestID), line.notifiedID) { // overtaken on its way: what it is like now is asked for
		a.Counts.StaleNotifications++
		line.auditDue = true
		a.reconcile(i)
		return
	}
	observed, _ := msg.Param("O")
	events, err := mgcp.ParseEvents(observed)
	if err != nil {
		a.output.Note("gateway: " + a.endpointName(i) + " notifies what cannot be read: " + err.Error())
		return
	}
	if line.transactionID != 0 && uint32(requestID) == line.requestID && line.notifiedID != line.requestID && a.outstanding[line.transactionID].verb == mgcp.NotificationRequest {
		// It has noticed what that request asks for, and so has carried it out, whatever became of its answer: a number that was
		// dialled waited for it.
		line.applied = line.pending
		a.gateways[line.gateway].sender.Cancel(a.now, line.transactionID)
		delete(a.outstanding, line.transactionID)
		line.transactionID = 0
	}
	line.notifiedID = uint32(requestID)
	line.applied.events, line.applied.tone = DetectNothing, gateways.Silence // a notification ends what was asked for, and tones with it
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
