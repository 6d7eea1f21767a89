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
//	notJoining -> clearing, asking
//	clearing   -> asking      all connections are being deleted: no call of ours stands there
//	asking     -> notJoining  all endpoints are being asked to tell when a receiver is lifted
type joinStep uint8

const (
	notJoining joinStep = iota
	clearing
	asking
)

// Datagram takes one message of a datagram. age is how long it waited before it was read.
func (a *Agent) Datagram(now policy.Tenths, from netip.AddrPort, m mgcp.Message, age policy.Tenths) {
	a.now = now
	switch {
	case m.IsAcknowledgement():
		if gw, ok := a.byAddress[from]; ok { // it names no endpoint
			a.gws[gw].receiver.Acknowledged(m.Transaction)
		}
	case m.Verb == "":
		a.response(from, m)
	default:
		a.command(from, m, age)
	}
	a.settle()
}

func (a *Agent) response(from netip.AddrPort, m mgcp.Message) {
	p, ok := a.outs[m.Transaction]
	gw := a.gatewayOf(p)
	if ok && p.kind == outLine && !complete(p.verb, m) {
		a.Counts.Incomplete++
		return
	}
	if !ok {
		if gw, ok = a.byAddress[from]; !ok {
			return
		}
		// The endpoint is not told in a second answer: all of the gateway's are looked at.
		a.contrary = func(mgcp.Message) {
			for i := range a.gws[gw].Endpoints {
				a.lines[a.gws[gw].first+i].audit = true
				a.push(a.gws[gw].first + i)
			}
		}
	}
	a.heardFrom(gw, from)
	a.gws[gw].sender.Response(a.now, m)
	a.contrary = nil
	a.look(gw)
}

// complete tells whether a response has what its command asked for. One that was cut short is passed over, as the command is
// repeated and the whole of it comes.
func complete(verb mgcp.Verb, m mgcp.Message) bool {
	if mgcp.KindOf(m.Code) != mgcp.Success {
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

func (a *Agent) command(from netip.AddrPort, m mgcp.Message, age policy.Tenths) {
	gw, i, ok := a.find(m.Endpoint)
	if !ok {
		a.out.Send(from, mgcp.Message{Transaction: m.Transaction, Code: mgcp.NoEndpoint, Comment: "no such endpoint"})
		return
	}
	if !m.Complete() {
		a.Counts.Incomplete++
		return
	}
	g := &a.gws[gw]
	if acks, had := m.Param("K"); had {
		for _, id := range mgcp.ParseRanges(acks) {
			g.receiver.Acknowledged(id)
		}
	}
	carryOut, again := g.receiver.Command(a.now, m)
	if again != nil {
		a.out.Send(from, *again)
	}
	if !carryOut {
		return
	}
	g.presence.Heard(a.now)
	g.suspect = false
	a.heardFrom(gw, from)
	// It speaks from where it is. In service only a report moves it; one that is being brought into service at an address of the
	// settings that it has left would be asked there for ever, as it is heard and so is not held to be gone.
	if at := g.presence.Standing(); at == gateways.Joining && m.Verb != mgcp.RestartInProgress && (len(g.Addresses) == 0 || g.Addresses[g.at%len(g.Addresses)] != from) {
		a.adopt(gw, from)
		defer a.join(gw)
	}
	reply := func(code int, comment string) {
		a.out.Send(from, g.receiver.Done(a.now, mgcp.Message{Transaction: m.Transaction, Code: code, Comment: comment}))
	}
	if owner := a.owner(g.Name); owner != a.site.Self {
		r := mgcp.Message{Transaction: m.Transaction, Code: mgcp.Redirected, Comment: "it belongs to another call agent",
			Params: []mgcp.Param{{Name: "N", Value: a.site.Notified[owner]}}}
		a.out.Send(from, g.receiver.Done(a.now, r))
		return
	}
	switch m.Verb {
	case mgcp.RestartInProgress:
		a.restart(gw, i, from, m, reply)
	case mgcp.Notify:
		reply(mgcp.Done, "OK")
		if g.presence.Standing() == gateways.Absent { // it is there, whatever we held: from the start
			a.adopt(gw, from)
			a.enter(gw)
			return
		}
		if i >= 0 && g.step == notJoining {
			a.notified(i, m, age)
		}
	default:
		reply(mgcp.UnknownVerb, "a call agent does not take it")
	}
	a.look(gw)
}

func (a *Agent) owner(name string) int {
	if len(a.site.Notified) < 2 {
		return a.site.Self
	}
	return gateways.Owner(name, a.site.Notified, func(int) bool { return true })
}

// heardFrom has a gateway be spoken to at that of its addresses from which it was heard last.
func (a *Agent) heardFrom(gw int, from netip.AddrPort) {
	g := &a.gws[gw]
	if n := slices.Index(g.Addresses, from); n >= 0 {
		g.at = n
	}
}

// adopt takes a gateway's address from what it reports, when it is another than the ones known.
func (a *Agent) adopt(gw int, from netip.AddrPort) {
	g := &a.gws[gw]
	for n, known := range g.Addresses {
		if known == from {
			g.at = n
			a.byAddress[from] = gw
			return
		}
	}
	g.Addresses = append([]netip.AddrPort{from}, g.Addresses[:min(len(g.Addresses), addressesMost-1)]...)
	g.at = 0
	a.byAddress[from] = gw
}

// restart takes a report (RSIP, 2.3.12).
func (a *Agent) restart(gw, i int, from netip.AddrPort, m mgcp.Message, reply func(int, string)) {
	g := &a.gws[gw]
	method, _ := m.Param("RM")
	switch strings.ToLower(strings.TrimSpace(method)) {
	case "graceful":
		g.presence.Leave()
		reply(mgcp.Done, "OK")
	case "cancel-graceful":
		g.presence.Stay()
		reply(mgcp.Done, "OK")
	case "forced":
		reply(mgcp.Done, "OK")
		if i >= 0 {
			a.fresh(i)
			a.happen(i, lost, input{})
			return
		}
		a.gatewayLost(gw, "it leaves service")
	case "disconnected":
		a.adopt(gw, from)
		if g.presence.Standing() == gateways.Serving { // its calls may stand: what it holds is asked for, line by line
			reply(mgcp.Done, "OK")
			for n := range g.Endpoints {
				a.lines[g.first+n].audit = true
				a.push(g.first + n)
			}
			return
		}
		a.enterReported(gw, from, m, reply)
	case "restart", "":
		if i >= 0 && g.presence.Standing() == gateways.Serving {
			reply(mgcp.Done, "OK")
			a.fresh(i)
			a.happen(i, back, input{})
			return
		}
		a.adopt(gw, from)
		a.dropAll(gw)
		a.enterReported(gw, from, m, reply)
	default:
		reply(mgcp.ProtocolError, "restart method "+method)
	}
}

// fresh notes that an endpoint has started anew: it holds nothing and is asked for nothing.
func (a *Agent) fresh(i int) {
	l := &a.lines[i]
	a.connect(i, None)
	audit := policy.Tenths(0)
	if l.out != 0 {
		a.gws[l.gw].sender.Cancel(a.now, l.out)
		delete(a.outs, l.out)
		audit = a.now + settled // it may be carried out yet
		a.at(audit, dueLine, i)
	}
	l.out, l.has, l.held, l.left, l.audit, l.retryAt, l.refusals, l.unsure, l.auditAt = 0, wish{}, nil, nil, false, 0, 0, nil, audit
}

// dropAll ends what goes on at a gateway that has started anew, or is gone.
func (a *Agent) dropAll(gw int) {
	g := &a.gws[gw]
	g.out, g.step = 0, notJoining
	for n := range g.Endpoints {
		a.fresh(g.first + n)
		a.happen(g.first+n, lost, input{})
	}
	for _, id := range g.sender.CancelAll(a.now) {
		delete(a.outs, id)
	}
}

// enterReported has the door say when a gateway that reported is brought into service; its report is answered then, so that one
// whose turn has not come waits rather than reports again.
func (a *Agent) enterReported(gw int, from netip.AddrPort, m mgcp.Message, reply func(int, string)) {
	g := &a.gws[gw]
	switch a.door.Report(a.now, uint32(gw)) {
	case gateways.Now:
		reply(mgcp.Done, "OK")
		a.join(gw)
	case gateways.Later:
		g.waiting = append(g.waiting, report{m, from})
		a.out.Send(from, mgcp.Message{Transaction: m.Transaction, Code: mgcp.Queued, Comment: "waits for its turn"})
	default:
		reply(mgcp.NoResources, "too many gateways restart")
		g.presence.Lost(a.now)
	}
	a.watchDoor()
}

// enter has the door say when a gateway that did not ask is brought into service.
func (a *Agent) enter(gw int) {
	switch a.door.Report(a.now, uint32(gw)) {
	case gateways.Now:
		a.join(gw)
	case gateways.Refused:
		a.gws[gw].presence.Lost(a.now) // asked after later
		a.look(gw)
	}
	a.watchDoor()
}

func (a *Agent) watchDoor() {
	if at, ok := a.door.Next(a.now); ok && (a.doorAt == 0 || at < a.doorAt) {
		a.doorAt = at
		a.at(at, dueDoor, 0)
	}
}

// join brings a gateway into service: three commands for all its endpoints together, not three for each.
func (a *Agent) join(gw int) {
	g := &a.gws[gw]
	for _, w := range g.waiting {
		a.out.Send(w.from, g.receiver.Done(a.now, mgcp.Message{Transaction: w.m.Transaction, Code: mgcp.Done, Comment: "OK"}))
	}
	g.waiting = nil
	a.dropAll(gw)
	g.presence.Join(a.now)
	// Also where it has just restarted and holds nothing: a command to make a connection that was on its way to it then may have
	// been carried out since.
	g.step = clearing
	g.out = a.send(gw, mgcp.Message{Verb: mgcp.DeleteConnection, Endpoint: allEndpoints + "@" + g.Name}, pending{outGateway, gw, mgcp.DeleteConnection, a.now})
}

func (a *Agent) stepAsk(gw int) {
	g := &a.gws[gw]
	g.step = asking
	m := mgcp.Message{Verb: mgcp.NotificationRequest, Endpoint: allEndpoints + "@" + g.Name}
	request := a.newRequest()
	a.ask(&m, request, HearLift, gateways.Silence, "")
	for n := range g.Endpoints {
		l := &a.lines[g.first+n]
		l.request, l.heard = request, request-1 // what it noticed before it came into service is over
	}
	g.out = a.send(gw, m, pending{outGateway, gw, m.Verb, a.now})
}

// stepped takes the answer to a command for all endpoints.
func (a *Agent) stepped(gw int, id uint32, fate mgcp.Fate, r mgcp.Message) {
	g := &a.gws[gw]
	switch {
	case g.out != id:
		return
	case fate == mgcp.Gone:
		a.gatewayLost(gw, "it does not answer")
		return
	case gateways.ReadCode(mgcp.NotificationRequest, r.Code) == gateways.Elsewhere:
		a.gatewayLost(gw, "it belongs to another call agent")
		return
	case g.step == clearing:
		a.stepAsk(gw)
		return
	}
	g.out, g.step = 0, notJoining
	g.presence.Joined()
	a.Counts.Joined++
	all := mgcp.KindOf(r.Code) == mgcp.Success // else one by one: a single phone that is off hook refuses it for all
	for n := range g.Endpoints {
		l := &a.lines[g.first+n]
		if all {
			l.has = wish{hear: HearLift}
		}
		a.happen(g.first+n, back, input{})
	}
	g.auditAt = a.now + auditEvery
}

// gatewayLost holds a gateway to be gone: its calls are over, and it is asked after ever less often.
func (a *Agent) gatewayLost(gw int, why string) {
	g := &a.gws[gw]
	if g.presence.Lost(a.now) {
		a.Counts.Lost++
		a.out.Note("gateway " + g.Name + " is out of service: " + why)
	}
	a.dropAll(gw)
	a.look(gw)
}

// probed takes the answer to the question whether a gateway is there.
func (a *Agent) probed(gw int, fate mgcp.Fate, r mgcp.Message) {
	g := &a.gws[gw]
	switch {
	case fate == mgcp.Gone:
		a.gatewayLost(gw, "it does not answer")
	case g.presence.Standing() == gateways.Absent && mgcp.KindOf(r.Code) == mgcp.Success:
		a.enter(gw)
	}
}

// look asks after a gateway that has been quiet, audits its lines in turn, and sets when to look again.
func (a *Agent) look(gw int) {
	g := &a.gws[gw]
	ask, next := g.presence.Due(a.now)
	if ask && len(g.Addresses) > 0 && g.step == notJoining {
		m := mgcp.Message{Verb: mgcp.AuditEndpoint, Endpoint: allEndpoints + "@" + g.Name}
		id := g.sender.Send(a.now, m)
		a.outs[id] = pending{outProbe, gw, m.Verb, a.now}
	}
	if g.presence.Standing() == gateways.Serving {
		if a.now >= g.auditAt {
			i := g.first + g.next
			g.next = (g.next + 1) % g.Endpoints
			g.auditAt = a.now + auditEvery
			a.lines[i].audit = true
			a.push(i)
		}
		next = min(next, g.auditAt)
	}
	a.watch(gw)
	a.wake(gw, next)
}

// watch sets when a gateway's commands are to be looked at, wake when it is itself.
func (a *Agent) watch(gw int) {
	if at, ok := a.gws[gw].sender.Next(); ok {
		a.wake(gw, at)
	}
}

func (a *Agent) wake(gw int, next policy.Tenths) {
	g := &a.gws[gw]
	if next = max(next, a.now+1); g.dueAt == 0 || next < g.dueAt {
		g.dueAt = next
		a.at(next, dueGateway, gw)
	}
}

// notified takes what an endpoint noticed (NTFY, 2.3.3).
func (a *Agent) notified(i int, m mgcp.Message, age policy.Tenths) {
	l := &a.lines[i]
	x, _ := m.Param("X")
	request, err := strconv.ParseUint(x, 16, 32)
	if err != nil || gateways.Stale(uint32(request), l.heard) { // overtaken on its way: what it is like now is asked for
		a.Counts.Stale++
		l.audit = true
		a.push(i)
		return
	}
	observed, _ := m.Param("O")
	list, err := mgcp.ParseEvents(observed)
	if err != nil {
		a.out.Note("gateway: " + a.endpoint(i) + " notifies what cannot be read: " + err.Error())
		return
	}
	if l.out != 0 && uint32(request) == l.request && l.heard != l.request && a.outs[l.out].verb == mgcp.NotificationRequest {
		// It has noticed what that request asks for, and so has carried it out, whatever became of its answer: a number that was
		// dialled waited for it.
		l.has = l.sent
		a.gws[l.gw].sender.Cancel(a.now, l.out)
		delete(a.outs, l.out)
		l.out = 0
	}
	l.heard = uint32(request)
	l.has.hear, l.has.tone = HearNothing, gateways.Silence // a notification ends what was asked for, and tones with it
	if l.state == Away {
		a.happen(i, back, input{})
	}
	digits := mgcp.Digits(list)
	for _, e := range list {
		switch {
		case e.Is(mgcp.Line, "hd"):
			a.happen(i, a.lift(), input{age: age})
		case e.Is(mgcp.Line, "hu"):
			a.happen(i, hungUp, input{age: age})
		case e.Is(mgcp.Line, "hf"):
			a.happen(i, flashed, input{age: age})
		}
	}
	if digits != "" {
		e := misdialled
		if d := a.site.Map.Match(digits); d == mgcp.Full || d == mgcp.Ambiguous {
			e = dialled
		}
		a.happen(i, e, input{digits: strings.TrimSuffix(digits, "T"), age: age})
	}
	a.push(i)
}
