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

// handleResponse passes a response to the sender of its gateway. Truncated responses are counted and ignored.
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

// handleCommand handles a command from a gateway, at most once per transaction.
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
		a.output.Send(from, gateway.receiver.StoreResponse(a.now,
			mgcp.Message{Transaction: msg.Transaction, Code: code, Comment: comment}))
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
		if gateway.presence.State() == gateways.Absent { // it is reachable again: join it
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
		a.output.Log("gateway: " + a.endpointName(i) + " sent a malformed event list: " + err.Error())
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
