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
func (a *Agent) HandleMessage(now policy.Tenths, from netip.AddrPort, m mgcp.Message, age policy.Tenths) {
	a.now = now
	switch {
	case m.IsAcknowledgement():
		if gw, ok := a.gatewayByAddress[from]; ok { // it names no endpoint
			a.gateways[gw].receiver.HandleAck(m.Transaction)
		}
	case m.Verb == "":
		a.handleResponse(from, m)
	default:
		a.handleCommand(from, m, age)
	}
	a.processQueue()
}

func (a *Agent) handleResponse(from netip.AddrPort, m mgcp.Message) {
	p, ok := a.outstanding[m.Transaction]
	gw := a.gatewayOfCommand(p)
	if ok && p.kind == lineCommand && !isComplete(p.verb, m) {
		a.Counts.IncompleteMessages++
		return
	}
	if !ok {
		if gw, ok = a.gatewayByAddress[from]; !ok {
			return
		}
		// The endpoint is not told in a second answer: all of the gateway's are looked at.
		a.onConflict = func(mgcp.Message) {
			for i := range a.gateways[gw].Endpoints {
				a.lines[a.gateways[gw].lineOffset+i].auditDue = true
				a.reconcile(a.gateways[gw].lineOffset + i)
			}
		}
	}
	a.selectAddress(gw, from)
	a.gateways[gw].sender.HandleResponse(a.now, m)
	a.onConflict = nil
	a.superviseGateway(gw)
}

// isComplete tells whether a response has what its command asked for. One that was cut short is passed over, as the command is
// repeated and the whole of it comes.
func isComplete(verb mgcp.Verb, m mgcp.Message) bool {
	if mgcp.ClassOf(m.Code) != mgcp.Success {
		return true
	}
	_, id := m.Param("I")
	_, state := m.Param("ES")
	switch verb {
	case mgcp.CreateConnection:
		return id && len(m.Session) > 0
	case mgcp.AuditEndpoint:
		return id && state
	}
	return true
}

func (a *Agent) handleCommand(from netip.AddrPort, m mgcp.Message, age policy.Tenths) {
	gw, i, ok := a.findEndpoint(m.Endpoint)
	if !ok {
		a.output.Send(from, mgcp.Message{Transaction: m.Transaction, Code: mgcp.CodeUnknownEndpoint, Comment: "no such endpoint"})
		return
	}
	if !m.HasRequiredParams() {
		a.Counts.IncompleteMessages++
		return
	}
	g := &a.gateways[gw]
	if acks, had := m.Param("K"); had {
		for _, id := range mgcp.ParseIDRanges(acks) {
			g.receiver.HandleAck(id)
		}
	}
	carryOut, again := g.receiver.HandleCommand(a.now, m)
	if again != nil {
		a.output.Send(from, *again)
	}
	if !carryOut {
		return
	}
	g.presence.Received(a.now)
	g.suspect = false
	a.selectAddress(gw, from)
	// It speaks from where it is. In service only a report moves it; one that is being brought into service at an address of the
	// settings that it has left would be asked there for ever, as it is heard and so is not held to be gone.
	if at := g.presence.State(); at == gateways.Joining && m.Verb != mgcp.RestartInProgress && (len(g.Addresses) == 0 || g.Addresses[g.addressIndex%len(g.Addresses)] != from) {
		a.adoptAddress(gw, from)
		defer a.startJoin(gw)
	}
	reply := func(code int, comment string) {
		a.output.Send(from, g.receiver.StoreResponse(a.now, mgcp.Message{Transaction: m.Transaction, Code: code, Comment: comment}))
	}
	if owner := a.owner(g.Name); owner != a.config.OwnEntity {
		r := mgcp.Message{Transaction: m.Transaction, Code: mgcp.CodeRedirected, Comment: "it belongs to another call agent",
			Params: []mgcp.Param{{Name: "N", Value: a.config.NotifiedEntities[owner]}}}
		a.output.Send(from, g.receiver.StoreResponse(a.now, r))
		return
	}
	switch m.Verb {
	case mgcp.RestartInProgress:
		a.handleRestart(gw, i, from, m, reply)
	case mgcp.Notify:
		reply(mgcp.CodeOK, "OK")
		if g.presence.State() == gateways.Absent { // it is there, whatever we held: from the start
			a.adoptAddress(gw, from)
			a.admit(gw)
			return
		}
		if i >= 0 && g.joinStep == joinNone {
			a.handleNotify(i, m, age)
		}
	default:
		reply(mgcp.CodeUnknownCommand, "a call agent does not take it")
	}
	a.superviseGateway(gw)
}

func (a *Agent) owner(name string) int {
	if len(a.config.NotifiedEntities) < 2 {
		return a.config.OwnEntity
	}
	return gateways.Owner(name, a.config.NotifiedEntities, func(int) bool { return true })
}

// selectAddress has a gateway be spoken to at that of its addresses from which it was heard last.
func (a *Agent) selectAddress(gw int, from netip.AddrPort) {
	g := &a.gateways[gw]
	if n := slices.Index(g.Addresses, from); n >= 0 {
		g.addressIndex = n
	}
}

// adoptAddress takes a gateway's address from what it reports, when it is another than the ones known.
func (a *Agent) adoptAddress(gw int, from netip.AddrPort) {
	g := &a.gateways[gw]
	for n, known := range g.Addresses {
		if known == from {
			g.addressIndex = n
			a.gatewayByAddress[from] = gw
			return
		}
	}
	g.Addresses = append([]netip.AddrPort{from}, g.Addresses[:min(len(g.Addresses), maxAddresses-1)]...)
	g.addressIndex = 0
	a.gatewayByAddress[from] = gw
}

// handleRestart takes a report (RSIP, 2.3.12).
func (a *Agent) handleRestart(gw, i int, from netip.AddrPort, m mgcp.Message, reply func(int, string)) {
	g := &a.gateways[gw]
	method, _ := m.Param("RM")
	switch strings.ToLower(strings.TrimSpace(method)) {
	case "graceful":
		g.presence.Leave()
		reply(mgcp.CodeOK, "OK")
	case "cancel-graceful":
		g.presence.CancelLeave()
		reply(mgcp.CodeOK, "OK")
	case "forced":
		reply(mgcp.CodeOK, "OK")
		if i >= 0 {
			a.resetLine(i)
			a.handleEvent(i, endpointLost, eventData{})
			return
		}
		a.gatewayLost(gw, "it leaves service")
	case "disconnected":
		a.adoptAddress(gw, from)
		if g.presence.State() == gateways.Serving { // its calls may stand: what it holds is asked for, line by line
			reply(mgcp.CodeOK, "OK")
			for n := range g.Endpoints {
				a.lines[g.lineOffset+n].auditDue = true
				a.reconcile(g.lineOffset + n)
			}
			return
		}
		a.admitReported(gw, from, m, reply)
	case "restart", "":
		if i >= 0 && g.presence.State() == gateways.Serving {
			reply(mgcp.CodeOK, "OK")
			a.resetLine(i)
			a.handleEvent(i, endpointBack, eventData{})
			return
		}
		a.adoptAddress(gw, from)
		a.resetGateway(gw)
		a.admitReported(gw, from, m, reply)
	default:
		reply(mgcp.CodeProtocolError, "restart method "+method)
	}
}

// resetLine notes that an endpoint has started anew: it holds nothing and is asked for nothing.
func (a *Agent) resetLine(i int) {
	l := &a.lines[i]
	a.setConnection(i, ConnectionNone)
	audit := policy.Tenths(0)
	if l.transaction != 0 {
		a.gateways[l.gateway].sender.Cancel(a.now, l.transaction)
		delete(a.outstanding, l.transaction)
		audit = a.now + auditDelay // it may be carried out yet
		a.schedule(audit, lineTimer, i)
	}
	l.transaction, l.applied, l.connectedCall, l.orphaned, l.auditDue, l.retryAt, l.refusals, l.uncertainCall, l.auditAt = 0, endpointState{}, nil, nil, false, 0, 0, nil, audit
}

// resetGateway ends what goes on at a gateway that has started anew, or is gone.
func (a *Agent) resetGateway(gw int) {
	g := &a.gateways[gw]
	g.transaction, g.joinStep = 0, joinNone
	for n := range g.Endpoints {
		a.resetLine(g.lineOffset + n)
		a.handleEvent(g.lineOffset+n, endpointLost, eventData{})
	}
	for _, id := range g.sender.CancelAll(a.now) {
		delete(a.outstanding, id)
	}
}

// admitReported has the door say when a gateway that reported is brought into service; its report is answered then, so that one
// whose turn has not come waits rather than reports again.
func (a *Agent) admitReported(gw int, from netip.AddrPort, m mgcp.Message, reply func(int, string)) {
	g := &a.gateways[gw]
	switch a.restarts.Admit(a.now, uint32(gw)) {
	case gateways.Admitted:
		reply(mgcp.CodeOK, "OK")
		a.startJoin(gw)
	case gateways.Queued:
		g.queuedReports = append(g.queuedReports, queuedReport{m, from})
		a.output.Send(from, mgcp.Message{Transaction: m.Transaction, Code: mgcp.CodeQueued, Comment: "waits for its turn"})
	default:
		reply(mgcp.CodeNoResources, "too many gateways restart")
		g.presence.Lost(a.now)
	}
	a.scheduleAdmission()
}

// admit has the door say when a gateway that did not ask is brought into service.
func (a *Agent) admit(gw int) {
	switch a.restarts.Admit(a.now, uint32(gw)) {
	case gateways.Admitted:
		a.startJoin(gw)
	case gateways.Rejected:
		a.gateways[gw].presence.Lost(a.now) // asked after later
		a.superviseGateway(gw)
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
func (a *Agent) startJoin(gw int) {
	g := &a.gateways[gw]
	for _, w := range g.queuedReports {
		a.output.Send(w.from, g.receiver.StoreResponse(a.now, mgcp.Message{Transaction: w.message.Transaction, Code: mgcp.CodeOK, Comment: "OK"}))
	}
	g.queuedReports = nil
	a.resetGateway(gw)
	g.presence.Join(a.now)
	// Also where it has just restarted and holds nothing: a command to make a connection that was on its way to it then may have
	// been carried out since.
	g.joinStep = joinDeletingConnections
	g.transaction = a.sendCommand(gw, mgcp.Message{Verb: mgcp.DeleteConnection, Endpoint: allEndpoints + "@" + g.Name}, outstandingCommand{gatewayCommand, gw, mgcp.DeleteConnection, a.now})
}

func (a *Agent) requestOffHook(gw int) {
	g := &a.gateways[gw]
	g.joinStep = joinRequestingEvents
	m := mgcp.Message{Verb: mgcp.NotificationRequest, Endpoint: allEndpoints + "@" + g.Name}
	request := a.newRequestID()
	a.addNotificationRequest(&m, request, DetectOffHook, gateways.Silence, "")
	for n := range g.Endpoints {
		l := &a.lines[g.lineOffset+n]
		l.requestID, l.notifiedID = request, request-1 // what it noticed before it came into service is over
	}
	g.transaction = a.sendCommand(gw, m, outstandingCommand{gatewayCommand, gw, m.Verb, a.now})
}

// handleJoinResponse takes the answer to a command for all endpoints.
func (a *Agent) handleJoinResponse(gw int, id uint32, fate mgcp.Outcome, r mgcp.Message) {
	g := &a.gateways[gw]
	switch {
	case g.transaction != id:
		return
	case fate == mgcp.PeerDisconnected:
		a.gatewayLost(gw, "it does not answer")
		return
	case gateways.ResultOf(mgcp.NotificationRequest, r.Code) == gateways.OtherCallAgent:
		a.gatewayLost(gw, "it belongs to another call agent")
		return
	case g.joinStep == joinDeletingConnections:
		a.requestOffHook(gw)
		return
	}
	g.transaction, g.joinStep = 0, joinNone
	g.presence.Joined()
	a.Counts.Joined++
	all := mgcp.ClassOf(r.Code) == mgcp.Success // else one by one: a single phone that is off hook refuses it for all
	for n := range g.Endpoints {
		l := &a.lines[g.lineOffset+n]
		if all {
			l.applied = endpointState{events: DetectOffHook}
		}
		a.handleEvent(g.lineOffset+n, endpointBack, eventData{})
	}
	g.auditAt = a.now + auditInterval
}

// gatewayLost holds a gateway to be gone: its calls are over, and it is asked after ever less often.
func (a *Agent) gatewayLost(gw int, why string) {
	g := &a.gateways[gw]
	if g.presence.Lost(a.now) {
		a.Counts.Lost++
		a.output.Note("gateway " + g.Name + " is out of service: " + why)
	}
	a.resetGateway(gw)
	a.superviseGateway(gw)
}

// handleProbeResponse takes the answer to the question whether a gateway is there.
func (a *Agent) handleProbeResponse(gw int, fate mgcp.Outcome, r mgcp.Message) {
	g := &a.gateways[gw]
	switch {
	case fate == mgcp.PeerDisconnected:
		a.gatewayLost(gw, "it does not answer")
	case g.presence.State() == gateways.Absent && mgcp.ClassOf(r.Code) == mgcp.Success:
		a.admit(gw)
	}
}

// superviseGateway asks after a gateway that has been quiet, audits its lines in turn, and sets when to look again.
func (a *Agent) superviseGateway(gw int) {
	g := &a.gateways[gw]
	ask, next := g.presence.ProbeDue(a.now)
	if ask && len(g.Addresses) > 0 && g.joinStep == joinNone {
		m := mgcp.Message{Verb: mgcp.AuditEndpoint, Endpoint: allEndpoints + "@" + g.Name}
		id := g.sender.Send(a.now, m)
		a.outstanding[id] = outstandingCommand{probeCommand, gw, m.Verb, a.now}
	}
	if g.presence.State() == gateways.Serving {
		if a.now >= g.auditAt {
			i := g.lineOffset + g.nextAudit
			g.nextAudit = (g.nextAudit + 1) % g.Endpoints
			g.auditAt = a.now + auditInterval
			a.lines[i].auditDue = true
			a.reconcile(i)
		}
		next = min(next, g.auditAt)
	}
	a.scheduleRetransmission(gw)
	a.scheduleGateway(gw, next)
}

// scheduleRetransmission sets when a gateway's commands are to be looked at, wake when it is itself.
func (a *Agent) scheduleRetransmission(gw int) {
	if at, ok := a.gateways[gw].sender.Next(); ok {
		a.scheduleGateway(gw, at)
	}
}

func (a *Agent) scheduleGateway(gw int, next policy.Tenths) {
	g := &a.gateways[gw]
	if next = max(next, a.now+1); g.timerAt == 0 || next < g.timerAt {
		g.timerAt = next
		a.schedule(next, gatewayTimer, gw)
	}
}

// handleNotify takes what an endpoint noticed (NTFY, 2.3.3).
func (a *Agent) handleNotify(i int, m mgcp.Message, age policy.Tenths) {
	l := &a.lines[i]
	x, _ := m.Param("X")
	request, err := strconv.ParseUint(x, 16, 32)
	if err != nil || gateways.Stale(uint32(request), l.notifiedID) { // overtaken on its way: what it is like now is asked for
		a.Counts.StaleNotifications++
		l.auditDue = true
		a.reconcile(i)
		return
	}
	observed, _ := m.Param("O")
	list, err := mgcp.ParseEvents(observed)
	if err != nil {
		a.output.Note("gateway: " + a.endpointName(i) + " notifies what cannot be read: " + err.Error())
		return
	}
	if l.transaction != 0 && uint32(request) == l.requestID && l.notifiedID != l.requestID && a.outstanding[l.transaction].verb == mgcp.NotificationRequest {
		// It has noticed what that request asks for, and so has carried it out, whatever became of its answer: a number that was
		// dialled waited for it.
		l.applied = l.pending
		a.gateways[l.gateway].sender.Cancel(a.now, l.transaction)
		delete(a.outstanding, l.transaction)
		l.transaction = 0
	}
	l.notifiedID = uint32(request)
	l.applied.events, l.applied.tone = DetectNothing, gateways.Silence // a notification ends what was asked for, and tones with it
	if l.state == OutOfService {
		a.handleEvent(i, endpointBack, eventData{})
	}
	digits := mgcp.Digits(list)
	for _, e := range list {
		switch {
		case e.Is(mgcp.PackageLine, "hd"):
			a.handleEvent(i, a.offHookEvent(), eventData{age: age})
		case e.Is(mgcp.PackageLine, "hu"):
			a.handleEvent(i, onHook, eventData{age: age})
		case e.Is(mgcp.PackageLine, "hf"):
			a.handleEvent(i, hookFlash, eventData{age: age})
		}
	}
	if digits != "" {
		e := numberInvalid
		if d := a.config.DigitMap.Match(digits); d == mgcp.FullMatch || d == mgcp.AmbiguousMatch {
			e = numberDialled
		}
		a.handleEvent(i, e, eventData{digits: strings.TrimSuffix(digits, "T"), age: age})
	}
	a.reconcile(i)
}
