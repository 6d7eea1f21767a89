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
var listens = [...]string{HearNothing: "", HearLift: "L/hd(N)", HearDigits: "L/hu(N), L/hf(N), D/[0-9#*T](D)", HearHang: "L/hu(N), L/hf(N)"}

var tones = [...]string{gateways.Silence: "", gateways.DialTone: "L/dl", gateways.Busy: "L/bz", gateways.Congestion: "G/cg",
	gateways.Reorder: "L/ro", gateways.Ring: "L/rg, G/rt@", gateways.OffHookWarning: "L/ot"}

// push sends the one command that brings a line's gateway nearer to what is wished, if there is one to send and none is out.
func (a *Agent) push(i int) {
	l := &a.lines[i]
	g := &a.gws[l.gw]
	if l.out != 0 || l.state == Away || g.presence.Standing() != gateways.Serving && g.presence.Standing() != gateways.Leaving || a.now < l.retryAt {
		return
	}
	w, h := l.want, l.has
	m := mgcp.Message{Endpoint: a.endpoint(i)}
	sent := h
	asks := w.hear != h.hear || w.tone != h.tone
	connection := ""
	l.sentTalk = nil
	switch {
	case len(l.left) > 0:
		m.Verb, asks = mgcp.DeleteConnection, false
		m.Set("I", l.left[0])
	case l.unsure != nil:
		m.Verb = mgcp.DeleteConnection
		a.connect(i, Deleting)
		m.Set("C", a.callID(l.unsure))
		asks = asks && w.mode == NoMedia
	case h.mode != NoMedia && (w.mode == NoMedia || l.held != l.talk):
		m.Verb = mgcp.DeleteConnection
		a.connect(i, Deleting)
		m.Set("C", a.callID(l.held))
		m.Set("I", l.held.conn)
		sent.mode = NoMedia
		asks = asks && w.mode == NoMedia // else with the new connection
	case w.mode != NoMedia && h.mode == NoMedia:
		m.Verb, connection = mgcp.CreateConnection, "$"
		a.connect(i, Making)
		m.Set("C", a.callID(l.talk))
		m.Set("L", "p:20, a:PCMU")
		m.Set("M", w.mode.String())
		m.Session = []byte(l.talk.remote)
		sent.mode, l.sentTalk = w.mode, l.talk
	case w.mode != NoMedia && (w.mode != h.mode || l.talk.remote != l.talk.told):
		m.Verb, connection = mgcp.ModifyConnection, l.talk.conn
		a.connect(i, Changing)
		m.Set("C", a.callID(l.talk))
		m.Set("I", l.talk.conn)
		m.Set("M", w.mode.String())
		if l.talk.remote != l.talk.told {
			m.Session = []byte(l.talk.remote)
		}
		sent.mode, l.sentTalk = w.mode, l.talk
	case asks:
		m.Verb = mgcp.NotificationRequest
		if l.talk != nil {
			connection = l.talk.conn
		}
	case l.audit:
		l.audit = false
		m.Verb = mgcp.AuditEndpoint
		m.Set("F", "I, ES")
	default:
		return
	}
	if l.sentTalk != nil {
		l.sentTalk.sending = string(m.Session)
	}
	if asks {
		sent.hear, sent.tone = w.hear, w.tone
		a.ask(&m, a.newRequest(), w.hear, w.tone, connection)
		l.request = a.nextReq
	}
	l.sent = sent
	l.out = a.send(int(l.gw), m, pending{outLine, i, m.Verb, a.now})
}

func (a *Agent) newRequest() uint32 { a.nextReq++; return a.nextReq }

// ask adds a request for notifications and a tone.
func (a *Agent) ask(m *mgcp.Message, request uint32, hear Hear, tone gateways.Tone, connection string) {
	m.Set("X", strconv.FormatUint(uint64(request), 16))
	m.Set("R", listens[hear])
	if hear == HearDigits {
		m.Set("D", a.site.Map.String())
	}
	s := tones[tone]
	if strings.HasSuffix(s, "@") {
		s += connection
	}
	m.Set("S", s)
}

// send sends a command and notes what it is about.
func (a *Agent) send(gw int, m mgcp.Message, p pending) uint32 {
	g := &a.gws[gw]
	if len(a.site.Notified) > 1 && m.Verb == mgcp.NotificationRequest {
		m.Set("N", a.site.Notified[a.site.Self])
	}
	by := policy.Tenths(0)
	if p.kind == outLine {
		by = a.lines[p.n].by
	}
	id := g.sender.SendBy(a.now, m, by)
	a.outs[id] = p
	a.watch(gw) // to look at the gateway here began an audit of the very line whose command is being sent: it got two at once
	return id
}

// ends is the agent as its senders see it.
type ends Agent

// Transmit puts a command on its way; the transaction's id tells whose it is.
func (e *ends) Transmit(m mgcp.Message, repeat int) {
	a := (*Agent)(e)
	_, domain, _ := strings.Cut(m.Endpoint, "@")
	gw, ok := a.byName[strings.ToLower(domain)]
	if m.Verb == "" { // the acknowledgement of a response
		p, there := a.outs[m.Transaction]
		gw, ok = a.gatewayOf(p), there
	}
	if g := &a.gws[gw]; ok && len(g.Addresses) > 0 {
		a.Counts.Sent++
		a.out.Send(g.Addresses[g.at%len(g.Addresses)], m)
	}
}

func (a *Agent) gatewayOf(p pending) int {
	if p.kind == outLine {
		return int(a.lines[p.n].gw)
	}
	return p.n
}

// Contradicted has an endpoint audited that answered a command a second time, otherwise: the first answer counts, and what the
// second told of is looked for and taken away.
func (e *ends) Contradicted(id uint32, _ int, r mgcp.Message) {
	a := (*Agent)(e)
	a.Counts.Contradictions++
	if a.contrary != nil {
		a.contrary(r)
	}
}

// Ended takes the end of a command.
func (e *ends) Ended(id uint32, fate mgcp.Fate, r mgcp.Message) {
	a := (*Agent)(e)
	p := a.outs[id]
	gw := a.gatewayOf(p)
	g := &a.gws[gw]
	if fate == mgcp.Suspect {
		// Another address of it, if there is one; not while it is heard: on a network that loses much, half of what was sent to a
		// gateway that had moved went to the address it had left.
		if !g.presence.Alive(p.at) {
			g.suspect = true
			g.at++
		}
		return
	}
	delete(a.outs, id)
	if fate == mgcp.Answered {
		g.suspect = false
		g.presence.Heard(a.now)
	}
	switch {
	case fate == mgcp.Gone && g.presence.Alive(p.at):
		a.unanswered(gw, id, p)
	case p.kind == outProbe:
		a.probed(gw, fate, r)
	case p.kind == outGateway:
		a.stepped(gw, id, fate, r)
	case a.lines[p.n].out != id:
	case fate == mgcp.Gone:
		a.lines[p.n].out = 0
		a.gatewayLost(gw, "it does not answer")
	default:
		a.lines[p.n].out = 0
		a.obeyed(p, r)
	}
}

// unanswered takes the end of a command that a gateway which is there did not answer: what it has done is not known, and is asked
// for and put right.
func (a *Agent) unanswered(gw int, id uint32, p pending) {
	switch {
	case p.kind == outGateway && a.gws[gw].out == id:
		a.join(gw)
	case p.kind == outLine && a.lines[p.n].out == id:
		a.abandon(p.n)
		a.lines[p.n].audit = true
		a.push(p.n)
	}
}

// abandon lets go of the command that is out for a line, whether the gateway has carried it out or not.
func (a *Agent) abandon(i int) {
	l := &a.lines[i]
	a.gws[l.gw].sender.Cancel(a.now, l.out)
	delete(a.outs, l.out)
	l.out = 0
	l.has.hear, l.has.tone = HearNothing, gateways.Silence
	if l.conn == Making || l.conn == Deleting && l.unsure != nil {
		a.connect(i, Unsure)
	}
	if l.conn == Unsure && l.unsure == nil {
		l.unsure = l.sentTalk
	} else if l.conn == Changing || l.conn == Deleting {
		a.connect(i, Made)
	}
}

// obeyed takes the answer to a command of a line.
func (a *Agent) obeyed(p pending, r mgcp.Message) {
	i := p.n
	l := &a.lines[i]
	if p.verb == mgcp.AuditEndpoint {
		a.audited(i, r)
		return
	}
	reading := gateways.ReadCode(p.verb, r.Code)
	if reading != gateways.NotNow {
		l.refusals = 0
	} else if l.refusals++; l.refusals > refusalsMost {
		reading = gateways.Cannot
	}
	leftover := p.verb == mgcp.DeleteConnection && len(l.left) > 0
	if p.verb == mgcp.DeleteConnection && !leftover && l.unsure != nil && reading != gateways.Obeyed {
		a.connect(i, None)
		l.unsure, l.audit = nil, true
	}
	if reading != gateways.Obeyed { // as it was before the command
		switch l.conn {
		case Making:
			a.connect(i, None)
		case Changing, Deleting:
			a.connect(i, Made)
		}
	}
	switch reading {
	case gateways.Obeyed:
		if leftover {
			l.left = l.left[1:]
			a.Counts.Leftovers++
			break
		}
		a.took(i, p.verb, r)
		return
	case gateways.LiftedNow:
		a.happen(i, a.lift(), input{})
		return
	case gateways.HungUpNow:
		a.happen(i, hungUp, input{})
		return
	case gateways.NotNow:
		l.retryAt = a.now + gateways.LaterWait(int(l.refusals))
		a.at(l.retryAt, dueLine, i)
		return
	case gateways.NoConnection:
		a.connect(i, None)
		l.has.mode, l.held = NoMedia, nil
		if l.sentTalk != nil && l.sentTalk == l.talk {
			a.happen(i, vanished, input{})
			return
		}
	case gateways.NoEndpoint, gateways.Elsewhere:
		a.outOfService(i)
		return
	case gateways.Cannot:
		a.out.Note("gateway: " + a.endpoint(i) + " answers " + string(p.verb) + " with " + strconv.Itoa(r.Code) + " " + r.Comment)
		switch {
		case leftover:
			l.left = l.left[1:]
		case p.verb == mgcp.DeleteConnection:
			a.connect(i, None)
			l.has.mode, l.held, l.audit = NoMedia, nil, true
		case p.verb == mgcp.CreateConnection:
			if l.sentTalk == l.talk {
				a.happen(i, unopened, input{})
				return
			}
		case p.verb == mgcp.ModifyConnection:
			if l.sentTalk == l.talk {
				a.happen(i, vanished, input{})
				return
			}
		default: // a tone or an event it does not know: go on without, rather than ask for ever
			l.has.hear, l.has.tone = l.sent.hear, l.sent.tone
		}
	}
	a.push(i)
}

// outOfService takes an endpoint out of service that its gateway says it does not have, or not now; it is asked after.
func (a *Agent) outOfService(i int) {
	l := &a.lines[i]
	a.happen(i, lost, input{})
	a.connect(i, None)
	l.has, l.held = wish{}, nil
	l.retryAt = a.now + gateways.LaterWait(refusalsMost)
	a.at(l.retryAt, dueLine, i)
}

// took notes that the gateway is as the command asked.
func (a *Agent) took(i int, verb mgcp.Verb, r mgcp.Message) {
	l := &a.lines[i]
	overtaken := l.heard == l.request && l.has.hear == HearNothing && l.sent.hear != HearNothing
	l.has = l.sent
	if overtaken { // what was asked for has been notified before the answer came: it must be asked for anew
		l.has.hear, l.has.tone = HearNothing, gateways.Silence
	}
	k := l.sentTalk
	switch verb {
	case mgcp.DeleteConnection:
		a.connect(i, None)
		if l.unsure != nil {
			l.unsure = nil
		} else {
			l.held = nil
		}
		// A command to make it that was held up on its way may be carried out after this one: the endpoint is asked later.
		l.auditAt = a.now + settled
		a.at(l.auditAt, dueLine, i)
	case mgcp.CreateConnection:
		a.connect(i, Made)
		l.held = k
		k.conn, _ = r.Param("I")
		k.told = k.sending
		local, err := readSession(r.Session)
		if k.local = local; err != nil || k.conn == "" {
			a.out.Note("gateway: " + a.endpoint(i) + " makes a connection that cannot be used: " + errText(err))
			if k == l.talk {
				a.happen(i, unopened, input{})
				return
			}
		} else if k == l.talk {
			a.happen(i, opened, input{})
			return
		}
	case mgcp.ModifyConnection:
		a.connect(i, Made)
		k.told = k.sending
	}
	a.push(i)
}

func errText(err error) string {
	if err == nil {
		return "it has no name"
	}
	return err.Error()
}

// audited takes what an endpoint says of itself: connections of no call are deleted, and its hook counts against what we hold.
func (a *Agent) audited(i int, r mgcp.Message) {
	l := &a.lines[i]
	if mgcp.KindOf(r.Code) != mgcp.Success {
		if gateways.ReadCode(mgcp.AuditEndpoint, r.Code) == gateways.NoEndpoint {
			a.outOfService(i)
		}
		return
	}
	if l.state == Away {
		a.happen(i, back, input{})
	}
	if l.state == Idle {
		// What it listens for is asked for anew: one that noticed something and could not tell it listens for nothing more, and
		// does not say so.
		l.has.hear = HearNothing
	}
	list, _ := r.Param("I")
	var held []string
	for _, id := range strings.Split(list, ",") {
		if id = strings.TrimSpace(id); id != "" {
			held = append(held, id)
		}
	}
	live := ""
	if l.held != nil {
		live = l.held.conn
	}
	left, gone := gateways.Leftovers(held, live)
	l.left = append(l.left, left...)
	if gone {
		was := l.held
		a.connect(i, None)
		l.has.mode, l.held = NoMedia, nil
		if was == l.talk {
			a.happen(i, vanished, input{})
		}
	}
	es, _ := r.Param("ES")
	states, err := mgcp.ParseEvents(es)
	for _, e := range states {
		off := l.state == Dialing || l.state == Opening || l.state == Calling || l.state == Talking || l.state == Hearing
		switch {
		case err != nil:
		case e.Is(mgcp.Line, "hd") && !off:
			a.happen(i, a.lift(), input{})
		case e.Is(mgcp.Line, "hu") && off:
			a.happen(i, hungUp, input{})
		}
	}
	a.push(i)
}

// lift is what it means that a receiver is lifted now.
func (a *Agent) lift() event {
	if gateways.DoorShut(a.waits, a.site.GoS) {
		return turnedAway
	}
	return lifted
}

// again takes a line up that could not do what it was asked a while ago.
func (a *Agent) again(i int) {
	l := &a.lines[i]
	if l.state == Away && l.out == 0 && a.gws[l.gw].presence.Standing() == gateways.Serving {
		m := mgcp.Message{Verb: mgcp.AuditEndpoint, Endpoint: a.endpoint(i), Params: []mgcp.Param{{Name: "F", Value: "I, ES"}}}
		l.out = a.send(int(l.gw), m, pending{outLine, i, m.Verb, a.now})
		l.retryAt = a.now + gateways.LaterWait(8)
		a.at(l.retryAt, dueLine, i)
		return
	}
	a.push(i)
}

// sessionOf is where the other side of a call takes media: as it told, or the own switch where it told nothing.
func (a *Agent) sessionOf(s isup.UserInfo, hop place) string {
	if s.Present&isup.PartSession != 0 && s.Session != "" {
		if _, err := readSession([]byte(s.Session)); err == nil {
			return s.Session
		}
	}
	return ownSession(a.site.Media, 20000+2*int(hop.cic))
}
