package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
)

// toneCode numbers tones for the log.
var toneCode = map[string]int64{"": 0, "L/dl": 1, "L/bz": 2, "G/cg": 3, "L/ro": 4, "L/rg": 5, "L/ot": 6}

// carryOut does what a command asks of one endpoint or of all, and returns the response.
func (g *Gateway) carryOut(m mgcp.Message) mgcp.Message {
	local, _, _ := strings.Cut(m.Endpoint, "@")
	if strings.HasSuffix(local, "*") {
		return g.forAll(m)
	}
	i, err := strconv.Atoi(strings.TrimPrefix(local, "aaln/"))
	if i--; err != nil || i < 0 || i >= len(g.phones) {
		return mgcp.Message{Code: mgcp.CodeUnknownEndpoint}
	}
	p := &g.phones[i]
	switch m.Verb {
	case mgcp.AuditEndpoint:
		state := "L/hu"
		if p.off {
			state = "L/hd"
		}
		var ids []string
		for _, c := range p.conns {
			ids = append(ids, c.id)
		}
		return mgcp.Message{Code: mgcp.CodeOK, Params: []mgcp.Param{{Name: "I", Value: strings.Join(ids, ", ")}, {Name: "ES", Value: state}}}
	case mgcp.NotificationRequest, mgcp.CreateConnection, mgcp.ModifyConnection, mgcp.DeleteConnection:
	default:
		return mgcp.Message{Code: mgcp.CodeUnknownCommand}
	}
	if s, _ := m.Param("S"); strings.HasPrefix(s, "L/rg") && !p.off && g.chance.Float64() < g.quirk.Glare { // lifted to dial, at that instant
		g.lift(i)
		g.userAfter(i, time.Second, func() { g.putDown(i) })
	}
	if code := g.refuses(i, m); code != 0 {
		return mgcp.Message{Code: code}
	}
	reply := mgcp.Message{Code: mgcp.CodeOK}
	id, _ := m.Param("I")
	mode, _ := m.Param("M")
	at := -1
	for n, c := range p.conns {
		if c.id == id {
			at = n
		}
	}
	switch m.Verb {
	case mgcp.CreateConnection:
		call, _ := m.Param("C")
		reply.Params = []mgcp.Param{{Name: "I", Value: g.connect(i, call, mode == "sendrecv")}}
		reply.Session = []byte("v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio " + strconv.Itoa(30000+2*i) + " RTP/AVP 0\r\n")
	case mgcp.ModifyConnection, mgcp.DeleteConnection:
		if call, _ := m.Param("C"); m.Verb == mgcp.DeleteConnection && id == "" { // all of the call (RFC 3435, 2.3.8)
			for n := len(p.conns) - 1; n >= 0; n-- {
				if p.conns[n].call == call {
					g.note(audit.Connection, i, p.ref, p.conns[n].number, 0)
					p.conns = append(p.conns[:n], p.conns[n+1:]...)
				}
			}
			reply.Code = mgcp.CodeConnectionDeleted
			break
		}
		if at < 0 {
			return mgcp.Message{Code: mgcp.CodeUnknownConnection}
		}
		if m.Verb == mgcp.DeleteConnection {
			g.note(audit.Connection, i, p.ref, p.conns[at].number, 0)
			p.conns = append(p.conns[:at], p.conns[at+1:]...)
			reply.Code = mgcp.CodeConnectionDeleted
		} else if mode == "sendrecv" {
			p.conns[at].both = true
		}
	}
	g.request(i, m)
	g.heard(i)
	return reply
}

func (g *Gateway) connect(i int, call string, both bool) string {
	g.serial++
	id := fmt.Sprintf("%X", g.serial<<8|uint32(g.lives&255))
	g.phones[i].conns = append(g.phones[i].conns, connection{id, call, g.serial, both})
	g.note(audit.Connection, i, g.phones[i].ref, g.serial, 1)
	return id
}

// refuses tells whether what is asked does not go with the hook (401, 402).
func (g *Gateway) refuses(i int, m mgcp.Message) int {
	if _, asks := m.Param("X"); !asks {
		return 0
	}
	r, _ := m.Param("R")
	s, _ := m.Param("S")
	off := g.phones[i].off
	switch {
	case off && (strings.Contains(r, "L/hd") || strings.Contains(s, "L/rg")):
		return mgcp.CodeOffHook
	case !off && strings.Contains(r, "L/hu"):
		return mgcp.CodeOnHook
	}
	return 0
}

func (g *Gateway) forAll(m mgcp.Message) mgcp.Message {
	reply := mgcp.Message{Code: mgcp.CodeOK}
	switch m.Verb {
	case mgcp.AuditEndpoint:
		for i := range g.phones {
			reply.Params = append(reply.Params, mgcp.Param{Name: "Z", Value: fmt.Sprintf("aaln/%d@%s", i+1, g.p.Name)})
			if len(reply.Params) == 60 {
				break
			}
		}
	case mgcp.DeleteConnection:
		for i := range g.phones {
			for _, c := range g.phones[i].conns {
				g.note(audit.Connection, i, g.phones[i].ref, c.number, 0)
			}
			g.phones[i].conns = nil
		}
		reply.Code = mgcp.CodeConnectionDeleted
	case mgcp.NotificationRequest:
		for i := range g.phones {
			if code := g.refuses(i, m); code != 0 {
				return mgcp.Message{Code: code}
			}
		}
		for i := range g.phones {
			g.request(i, m)
		}
	default:
		return mgcp.Message{Code: mgcp.CodeAllOfTooComplicated}
	}
	return reply
}

// request takes a notification request, also one within another command.
func (g *Gateway) request(i int, m mgcp.Message) {
	x, ok := m.Param("X")
	if !ok {
		return
	}
	p := &g.phones[i]
	r, _ := m.Param("R")
	s, _ := m.Param("S")
	p.request, p.armed = x, true
	p.lift, p.hang, p.flash, p.digits = strings.Contains(r, "L/hd"), strings.Contains(r, "L/hu"), strings.Contains(r, "L/hf"), strings.Contains(r, "D/")
	p.dialled = ""
	if d, ok := m.Param("D"); ok {
		p.dmap, _ = mgcp.ParseDigitMap(d)
	}
	signal, _, _ := strings.Cut(s, ",")
	p.tone, p.ring = strings.TrimSpace(signal), strings.HasPrefix(signal, "L/rg")
	off := uint32(0)
	if p.off {
		off = 1
	}
	if p.unacked > 0 {
		off |= 2
	}
	if !g.stale {
		g.note(audit.Tone, i, p.ref, off, toneCode[p.tone])
	}
	quarantined := p.pending
	p.pending = nil
	for _, e := range quarantined {
		g.noticed(i, e)
	}
}

// noticed takes an event: notified if it was asked for, else kept until something is asked for again.
func (g *Gateway) noticed(i int, e mgcp.Event) {
	p := &g.phones[i]
	switch {
	case !p.armed:
		p.pending = append(p.pending, e)
	case e.Package == mgcp.PackageDTMF && p.digits:
		p.tone = ""
		p.dialled += e.Name
		if m := p.dmap.Match(p.dialled); m == mgcp.FullMatch || m == mgcp.NoMatch || strings.HasSuffix(p.dialled, "T") {
			g.notify(i, mgcp.DigitEvents(p.dialled))
		}
	case e.Name == "hd" && p.lift, e.Name == "hu" && p.hang, e.Name == "hf" && p.flash:
		g.notify(i, []mgcp.Event{e})
	}
}

func (g *Gateway) notify(i int, observed []mgcp.Event) {
	p := &g.phones[i]
	p.armed, p.tone, p.ring = false, "", false
	hook := observed[0].Name == "hd" || observed[0].Name == "hu"
	if hook {
		p.unacked++
	}
	ref, life, digits := p.ref, g.lives, observed[0].Package == mgcp.PackageDTMF
	g.command(mgcp.Message{Verb: mgcp.Notify, Endpoint: fmt.Sprintf("aaln/%d@%s", i+1, g.p.Name),
		Params: []mgcp.Param{{Name: "X", Value: p.request}, {Name: "O", Value: mgcp.FormatEvents(observed)}}}, func(ok bool) {
		if life != g.lives {
			return
		}
		if hook {
			p.unacked--
		}
		switch {
		case !ok:
			g.disconnected()
		case digits:
			g.note(audit.Taken, i, ref, 0, 0)
		case observed[0].Name == "hu":
			g.note(audit.HungUp, i, ref, 0, 0)
		}
	})
}

// heard lets the user of a phone notice what a command has changed.
func (g *Gateway) heard(i int) {
	p := &g.phones[i]
	both := false
	for _, c := range p.conns {
		both = both || c.both
	}
	c := p.call
	switch {
	case p.off && c != nil && !c.Dialled && p.tone == "L/dl":
		if p.turn++; p.waiting || c.Dialled {
			break
		}
		g.press(i, c, p.turn, 0)
	case p.off && c != nil && !c.Dialled && p.tone == "G/cg": // no room to dial
		c.Refused = true
		g.userAfter(i, 300*time.Millisecond, func() { g.putDown(i) })
	case p.waiting && both:
		p.waiting, p.stands = false, true
		c.Stood = max(1, time.Since(p.dialledT))
		g.note(audit.Final, i, p.ref, 1, 0)
		g.userAfter(i, c.Holding, func() { g.putDown(i) })
	case p.off && (p.tone == "L/bz" || p.tone == "G/cg" || p.tone == "L/ro"):
		if c != nil && c.Dialled && p.told != p.tone && !g.stale {
			p.told = p.tone
			g.note(audit.Final, i, p.ref, 2, toneCode[p.tone])
			if p.waiting {
				c.Failed, c.Refused = p.tone == "L/ro", p.tone != "L/ro"
			}
		}
		p.waiting = false
		g.userAfter(i, 300*time.Millisecond, func() { g.putDown(i) })
	case p.ring && !p.off:
		g.userAfter(i, time.Duration(g.chance.ExpFloat64()*float64(g.p.PickUp)), func() { g.lift(i) })
	}
}

// userAfter has a phone's user do something, unless something else has come up by then.
func (g *Gateway) userAfter(i int, d time.Duration, do func()) {
	p := &g.phones[i]
	p.turn++
	turn, life := p.turn, g.lives
	g.after(d, func() {
		if p.turn == turn && life == g.lives {
			do()
		}
	})
}

func (g *Gateway) lift(i int) {
	p := &g.phones[i]
	if !p.off {
		p.off, p.ring = true, false
		g.note(audit.Hook, i, p.ref, 0, 1)
		g.noticed(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hd"})
	}
}

func (g *Gateway) putDown(i int) {
	p := &g.phones[i]
	if !p.off {
		return
	}
	if p.waiting {
		p.call.Left = true
	}
	p.off, p.tone, p.waiting, p.stands, p.call = false, "", false, false, nil
	p.turn++
	g.note(audit.Hook, i, p.ref, 0, 0)
	g.noticed(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hu"})
}

// begin has a user make a call, if the phone is free.
func (g *Gateway) begin(c *PhoneCall) {
	p := &g.phones[c.Phone]
	if p.off || p.ring || p.call != nil {
		c.Skipped = true
		return
	}
	g.serial++
	p.call, p.told = c, ""
	p.ref = isup.Reference{Point: exchange.PointCode(g.p.Exchange), Identity: uint32(g.p.Number)<<17 | g.serial&0x1ffff}
	p.turn++
	g.lift(c.Phone)
	g.userAfter(c.Phone, c.Patience, func() { // no dial tone
		if p.call == c && !c.Dialled {
			c.Skipped = true
			g.putDown(c.Phone)
		}
	})
}

// press dials one digit after the other.
func (g *Gateway) press(i int, c *PhoneCall, turn, n int) {
	p := &g.phones[i]
	life := g.lives
	wait := g.p.Digit
	if g.chance.Float64() < g.quirk.Trickle {
		wait = 4 * time.Second // as long as the gateway waits for the next one
	}
	g.after(wait, func() {
		if p.turn != turn || life != g.lives || p.call != c {
			return
		}
		if n == len(c.Digits)-1 {
			g.dialled(i, c)
		}
		g.noticed(i, mgcp.Event{Package: mgcp.PackageDTMF, Name: c.Digits[n : n+1]})
		if n < len(c.Digits)-1 && wait < 4*time.Second {
			g.press(i, c, turn, n+1)
		} else if n < len(c.Digits)-1 { // the time-out and the digit fall together
			g.noticed(i, mgcp.Event{Package: mgcp.PackageDTMF, Name: "T"})
			g.press(i, c, turn, n+1)
		}
	})
}

// dialled: the last digit is pressed, and the caller waits.
func (g *Gateway) dialled(i int, c *PhoneCall) {
	p := &g.phones[i]
	c.Dialled, p.waiting, p.dialledT = true, true, time.Now()
	g.note(audit.Dialled, i, p.ref, 0, c.Patience.Microseconds())
	g.userAfter(i, c.Patience, func() { g.putDown(i) })
	g.impatient(i, c)
}

// impatient has some callers flash or hang up while they wait.
func (g *Gateway) impatient(i int, c *PhoneCall) {
	p := &g.phones[i]
	turn := p.turn
	soon := time.Duration(g.chance.Float64() * float64(100*time.Millisecond))
	flash, hang := g.chance.Float64() < g.quirk.Flash, g.chance.Float64() < g.quirk.HangUp
	g.after(soon, func() {
		if p.turn != turn || !p.waiting || p.call != c {
			return
		}
		if flash {
			g.noticed(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hf"})
		}
		if hang {
			g.putDown(i)
		}
	})
}
