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
	l := &a.lines[i]
	g := &a.gateways[l.gateway]
	if l.transaction != 0 || l.state == OutOfService || g.presence.State() != gateways.Serving && g.presence.State() != gateways.Leaving || a.now < l.retryAt {
		return
	}
	w, h := l.desired, l.applied
	m := mgcp.Message{Endpoint: a.endpointName(i)}
	sent := h
	asks := w.events != h.events || w.tone != h.tone
	connection := ""
	l.pendingCall = nil
	switch {
	case len(l.orphaned) > 0:
		m.Verb, asks = mgcp.DeleteConnection, false
		m.Set("I", l.orphaned[0])
	case l.uncertainCall != nil:
		m.Verb = mgcp.DeleteConnection
		a.setConnection(i, ConnectionDeleting)
		m.Set("C", a.callID(l.uncertainCall))
		asks = asks && w.mode == NoMode
	case h.mode != NoMode && (w.mode == NoMode || l.connectedCall != l.call):
		m.Verb = mgcp.DeleteConnection
		a.setConnection(i, ConnectionDeleting)
		m.Set("C", a.callID(l.connectedCall))
		m.Set("I", l.connectedCall.connectionID)
		sent.mode = NoMode
		asks = asks && w.mode == NoMode // else with the new connection
	case w.mode != NoMode && h.mode == NoMode:
		m.Verb, connection = mgcp.CreateConnection, "$"
		a.setConnection(i, ConnectionCreating)
		m.Set("C", a.callID(l.call))
		m.Set("L", "p:20, a:PCMU")
		m.Set("M", w.mode.String())
		m.Session = []byte(l.call.remoteSession)
		sent.mode, l.pendingCall = w.mode, l.call
	case w.mode != NoMode && (w.mode != h.mode || l.call.remoteSession != l.call.appliedSession):
		m.Verb, connection = mgcp.ModifyConnection, l.call.connectionID
		a.setConnection(i, ConnectionModifying)
		m.Set("C", a.callID(l.call))
		m.Set("I", l.call.connectionID)
		m.Set("M", w.mode.String())
		if l.call.remoteSession != l.call.appliedSession {
			m.Session = []byte(l.call.remoteSession)
		}
		sent.mode, l.pendingCall = w.mode, l.call
	case asks:
		m.Verb = mgcp.NotificationRequest
		if l.call != nil {
			connection = l.call.connectionID
		}
	case l.auditDue:
		l.auditDue = false
		m.Verb = mgcp.AuditEndpoint
		m.Set("F", "I, ES")
	default:
		return
	}
	if l.pendingCall != nil {
		l.pendingCall.pendingSession = string(m.Session)
	}
	if asks {
		sent.events, sent.tone = w.events, w.tone
		a.addNotificationRequest(&m, a.newRequestID(), w.events, w.tone, connection)
		l.requestID = a.lastRequestID
	}
	l.pending = sent
	l.transaction = a.sendCommand(int(l.gateway), m, outstandingCommand{lineCommand, i, m.Verb, a.now})
}

func (a *Agent) newRequestID() uint32 { a.lastRequestID++; return a.lastRequestID }

// addNotificationRequest adds a request for notifications and a tone.
func (a *Agent) addNotificationRequest(m *mgcp.Message, request uint32, hear RequestedEvents, tone gateways.Tone, connection string) {
	m.Set("X", strconv.FormatUint(uint64(request), 16))
	m.Set("R", requestedEventLists[hear])
	if hear == DetectDigits {
		m.Set("D", a.config.DigitMap.String())
	}
	s := toneSignals[tone]
	if strings.HasSuffix(s, "@") {
		s += connection
	}
	m.Set("S", s)
}

// sendCommand sends a command and notes what it is about.
func (a *Agent) sendCommand(gw int, m mgcp.Message, p outstandingCommand) uint32 {
	g := &a.gateways[gw]
	if len(a.config.NotifiedEntities) > 1 && m.Verb == mgcp.NotificationRequest {
		m.Set("N", a.config.NotifiedEntities[a.config.OwnEntity])
	}
	by := policy.Tenths(0)
	if p.kind == lineCommand {
		by = a.lines[p.index].answerDeadline
	}
	id := g.sender.SendWithDeadline(a.now, m, by)
	a.outstanding[id] = p
	a.scheduleRetransmission(gw) // to look at the gateway here began an audit of the very line whose command is being sent: it got two at once
	return id
}

// senderOutput is the agent as its senders see it.
type senderOutput Agent

// Transmit puts a command on its way; the transaction's id tells whose it is.
func (e *senderOutput) Transmit(m mgcp.Message, repeat int) {
	a := (*Agent)(e)
	_, domain, _ := strings.Cut(m.Endpoint, "@")
	gw, ok := a.gatewayByName[strings.ToLower(domain)]
	if m.Verb == "" { // the acknowledgement of a response
		p, there := a.outstanding[m.Transaction]
		gw, ok = a.gatewayOfCommand(p), there
	}
	if g := &a.gateways[gw]; ok && len(g.Addresses) > 0 {
		a.Counts.DatagramsSent++
		a.output.Send(g.Addresses[g.addressIndex%len(g.Addresses)], m)
	}
}

func (a *Agent) gatewayOfCommand(p outstandingCommand) int {
	if p.kind == lineCommand {
		return int(a.lines[p.index].gateway)
	}
	return p.index
}

// HandleConflict has an endpoint audited that answered a command a second time, otherwise: the first answer counts, and what the
// second told of is looked for and taken away.
func (e *senderOutput) HandleConflict(id uint32, _ int, r mgcp.Message) {
	a := (*Agent)(e)
	a.Counts.ConflictingResponses++
	if a.onConflict != nil {
		a.onConflict(r)
	}
}

// HandleOutcome takes the end of a command.
func (e *senderOutput) HandleOutcome(id uint32, fate mgcp.Outcome, r mgcp.Message) {
	a := (*Agent)(e)
	p := a.outstanding[id]
	gw := a.gatewayOfCommand(p)
	g := &a.gateways[gw]
	if fate == mgcp.PeerSuspect {
		// Another address of it, if there is one; not while it is heard: on a network that loses much, half of what was sent to a
		// gateway that had moved went to the address it had left.
		if !g.presence.ReceivedSince(p.sentAt) {
			g.suspect = true
			g.addressIndex++
		}
		return
	}
	delete(a.outstanding, id)
	if fate == mgcp.Answered {
		g.suspect = false
		g.presence.Received(a.now)
	}
	switch {
	case fate == mgcp.PeerDisconnected && g.presence.ReceivedSince(p.sentAt):
		a.commandUnanswered(gw, id, p)
	case p.kind == probeCommand:
		a.handleProbeResponse(gw, fate, r)
	case p.kind == gatewayCommand:
		a.handleJoinResponse(gw, id, fate, r)
	case a.lines[p.index].transaction != id:
	case fate == mgcp.PeerDisconnected:
		a.lines[p.index].transaction = 0
		a.gatewayLost(gw, "it does not answer")
	default:
		a.lines[p.index].transaction = 0
		a.handleLineResponse(p, r)
	}
}

// commandUnanswered takes the end of a command that a gateway which is there did not answer: what it has done is not known, and is asked
// for and put right.
func (a *Agent) commandUnanswered(gw int, id uint32, p outstandingCommand) {
	switch {
	case p.kind == gatewayCommand && a.gateways[gw].transaction == id:
		a.startJoin(gw)
	case p.kind == lineCommand && a.lines[p.index].transaction == id:
		a.abandonCommand(p.index)
		a.lines[p.index].auditDue = true
		a.reconcile(p.index)
	}
}

// abandonCommand lets go of the command that is out for a line, whether the gateway has carried it out or not.
func (a *Agent) abandonCommand(i int) {
	l := &a.lines[i]
	a.gateways[l.gateway].sender.Cancel(a.now, l.transaction)
	delete(a.outstanding, l.transaction)
	l.transaction = 0
	l.applied.events, l.applied.tone = DetectNothing, gateways.Silence
	if l.connection == ConnectionCreating || l.connection == ConnectionDeleting && l.uncertainCall != nil {
		a.setConnection(i, ConnectionUncertain)
	}
	if l.connection == ConnectionUncertain && l.uncertainCall == nil {
		l.uncertainCall = l.pendingCall
	} else if l.connection == ConnectionModifying || l.connection == ConnectionDeleting {
		a.setConnection(i, ConnectionCreated)
	}
}

// handleLineResponse takes the answer to a command of a line.
func (a *Agent) handleLineResponse(p outstandingCommand, r mgcp.Message) {
	i := p.index
	l := &a.lines[i]
	if p.verb == mgcp.AuditEndpoint {
		a.handleAudit(i, r)
		return
	}
	reading := gateways.ResultOf(p.verb, r.Code)
	if reading != gateways.RetryLater {
		l.refusals = 0
	} else if l.refusals++; l.refusals > maxRefusals {
		reading = gateways.Failed
	}
	leftover := p.verb == mgcp.DeleteConnection && len(l.orphaned) > 0
	if p.verb == mgcp.DeleteConnection && !leftover && l.uncertainCall != nil && reading != gateways.Succeeded {
		a.setConnection(i, ConnectionNone)
		l.uncertainCall, l.auditDue = nil, true
	}
	if reading != gateways.Succeeded { // as it was before the command
		switch l.connection {
		case ConnectionCreating:
			a.setConnection(i, ConnectionNone)
		case ConnectionModifying, ConnectionDeleting:
			a.setConnection(i, ConnectionCreated)
		}
	}
	switch reading {
	case gateways.Succeeded:
		if leftover {
			l.orphaned = l.orphaned[1:]
			a.Counts.OrphanedConnections++
			break
		}
		a.commandApplied(i, p.verb, r)
		return
	case gateways.IsOffHook:
		a.handleEvent(i, a.offHookEvent(), eventData{})
		return
	case gateways.IsOnHook:
		a.handleEvent(i, onHook, eventData{})
		return
	case gateways.RetryLater:
		l.retryAt = a.now + gateways.RetryDelay(int(l.refusals))
		a.schedule(l.retryAt, lineTimer, i)
		return
	case gateways.ConnectionGone:
		a.setConnection(i, ConnectionNone)
		l.applied.mode, l.connectedCall = NoMode, nil
		if l.pendingCall != nil && l.pendingCall == l.call {
			a.handleEvent(i, connectionLost, eventData{})
			return
		}
	case gateways.EndpointUnavailable, gateways.OtherCallAgent:
		a.takeOutOfService(i)
		return
	case gateways.Failed:
		a.output.Note("gateway: " + a.endpointName(i) + " answers " + string(p.verb) + " with " + strconv.Itoa(r.Code) + " " + r.Comment)
		switch {
		case leftover:
			l.orphaned = l.orphaned[1:]
		case p.verb == mgcp.DeleteConnection:
			a.setConnection(i, ConnectionNone)
			l.applied.mode, l.connectedCall, l.auditDue = NoMode, nil, true
		case p.verb == mgcp.CreateConnection:
			if l.pendingCall == l.call {
				a.handleEvent(i, connectionFailed, eventData{})
				return
			}
		case p.verb == mgcp.ModifyConnection:
			if l.pendingCall == l.call {
				a.handleEvent(i, connectionLost, eventData{})
				return
			}
		default: // a tone or an event it does not know: go on without, rather than ask for ever
			l.applied.events, l.applied.tone = l.pending.events, l.pending.tone
		}
	}
	a.reconcile(i)
}

// takeOutOfService takes an endpoint out of service that its gateway says it does not have, or not now; it is asked after.
func (a *Agent) takeOutOfService(i int) {
	l := &a.lines[i]
	a.handleEvent(i, endpointLost, eventData{})
	a.setConnection(i, ConnectionNone)
	l.applied, l.connectedCall = endpointState{}, nil
	l.retryAt = a.now + gateways.RetryDelay(maxRefusals)
	a.schedule(l.retryAt, lineTimer, i)
}

// commandApplied notes that the gateway is as the command asked.
func (a *Agent) commandApplied(i int, verb mgcp.Verb, r mgcp.Message) {
	l := &a.lines[i]
	overtaken := l.notifiedID == l.requestID && l.applied.events == DetectNothing && l.pending.events != DetectNothing
	l.applied = l.pending
	if overtaken { // what was asked for has been notified before the answer came: it must be asked for anew
		l.applied.events, l.applied.tone = DetectNothing, gateways.Silence
	}
	k := l.pendingCall
	switch verb {
	case mgcp.DeleteConnection:
		a.setConnection(i, ConnectionNone)
		if l.uncertainCall != nil {
			l.uncertainCall = nil
		} else {
			l.connectedCall = nil
		}
		// A command to make it that was held up on its way may be carried out after this one: the endpoint is asked later.
		l.auditAt = a.now + auditDelay
		a.schedule(l.auditAt, lineTimer, i)
	case mgcp.CreateConnection:
		a.setConnection(i, ConnectionCreated)
		l.connectedCall = k
		k.connectionID, _ = r.Param("I")
		k.appliedSession = k.pendingSession
		local, err := readSession(r.Session)
		if k.localSession = local; err != nil || k.connectionID == "" {
			a.output.Note("gateway: " + a.endpointName(i) + " makes a connection that cannot be used: " + sessionErrorText(err))
			if k == l.call {
				a.handleEvent(i, connectionFailed, eventData{})
				return
			}
		} else if k == l.call {
			a.handleEvent(i, connectionReady, eventData{})
			return
		}
	case mgcp.ModifyConnection:
		a.setConnection(i, ConnectionCreated)
		k.appliedSession = k.pendingSession
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
func (a *Agent) handleAudit(i int, r mgcp.Message) {
	l := &a.lines[i]
	if mgcp.ClassOf(r.Code) != mgcp.Success {
		if gateways.ResultOf(mgcp.AuditEndpoint, r.Code) == gateways.EndpointUnavailable {
			a.takeOutOfService(i)
		}
		return
	}
	if l.state == OutOfService {
		a.handleEvent(i, endpointBack, eventData{})
	}
	if l.state == Idle {
		// What it listens for is asked for anew: one that noticed something and could not tell it listens for nothing more, and
		// does not say so.
		l.applied.events = DetectNothing
	}
	list, _ := r.Param("I")
	var held []string
	for _, id := range strings.Split(list, ",") {
		if id = strings.TrimSpace(id); id != "" {
			held = append(held, id)
		}
	}
	live := ""
	if l.connectedCall != nil {
		live = l.connectedCall.connectionID
	}
	left, gone := gateways.OrphanedConnections(held, live)
	l.orphaned = append(l.orphaned, left...)
	if gone {
		was := l.connectedCall
		a.setConnection(i, ConnectionNone)
		l.applied.mode, l.connectedCall = NoMode, nil
		if was == l.call {
			a.handleEvent(i, connectionLost, eventData{})
		}
	}
	es, _ := r.Param("ES")
	states, err := mgcp.ParseEvents(es)
	for _, e := range states {
		off := l.state == Dialing || l.state == CreatingConnection || l.state == Calling || l.state == Talking || l.state == HearingTone
		switch {
		case err != nil:
		case e.Is(mgcp.PackageLine, "hd") && !off:
			a.handleEvent(i, a.offHookEvent(), eventData{})
		case e.Is(mgcp.PackageLine, "hu") && off:
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
	l := &a.lines[i]
	if l.state == OutOfService && l.transaction == 0 && a.gateways[l.gateway].presence.State() == gateways.Serving {
		m := mgcp.Message{Verb: mgcp.AuditEndpoint, Endpoint: a.endpointName(i), Params: []mgcp.Param{{Name: "F", Value: "I, ES"}}}
		l.transaction = a.sendCommand(int(l.gateway), m, outstandingCommand{lineCommand, i, m.Verb, a.now})
		l.retryAt = a.now + gateways.RetryDelay(8)
		a.schedule(l.retryAt, lineTimer, i)
		return
	}
	a.reconcile(i)
}

// remoteSessionOf is where the other side of a call takes media: as it told, or the own switch where it told nothing.
func (a *Agent) remoteSessionOf(s isup.UserInfo, hop circuitKey) string {
	if s.Present&isup.PartSession != 0 && s.Session != "" {
		if _, err := readSession([]byte(s.Session)); err == nil {
			return s.Session
		}
	}
	return pcmuSession(a.config.MediaAddress, 20000+2*int(hop.cic))
}
