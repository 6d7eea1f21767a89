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

// toneCodes are the codes of tones in the audit log.
var toneCodes = map[string]int64{"": 0, "L/dl": 1, "L/bz": 2, "G/cg": 3, "L/ro": 4, "L/rg": 5, "L/ot": 6}

// executeCommand executes a command for one endpoint or for all, and returns the response.
func (g *Gateway) executeCommand(m mgcp.Message) mgcp.Message {
	local, _, _ := strings.Cut(m.Endpoint, "@")
	if strings.HasSuffix(local, "*") {
		return g.executeForAllEndpoints(m)
	}
	i, err := strconv.Atoi(strings.TrimPrefix(local, "aaln/"))
	if i--; err != nil || i < 0 || i >= len(g.phones) {
		return mgcp.Message{Code: mgcp.CodeUnknownEndpoint}
	}
	p := &g.phones[i]
	switch m.Verb {
	case mgcp.AuditEndpoint:
		state := "L/hu"
		if p.offHook {
			state = "L/hd"
		}
		var ids []string
		for _, c := range p.connections {
			ids = append(ids, c.id)
		}
		return mgcp.Message{Code: mgcp.CodeOK, Params: []mgcp.Param{{Name: "I", Value: strings.Join(ids, ", ")}, {Name: "ES", Value: state}}}
	case mgcp.NotificationRequest, mgcp.CreateConnection, mgcp.ModifyConnection, mgcp.DeleteConnection:
	default:
		return mgcp.Message{Code: mgcp.CodeUnknownCommand}
	}
	if s, _ := m.Param("S"); strings.HasPrefix(s, "L/rg") && !p.offHook && g.random.Float64() < g.faults.GlareRatio { // goes off hook to dial at the same moment
		g.goOffHook(i)
		g.scheduleUserAction(i, time.Second, func() { g.goOnHook(i) })
	}
	if code := g.hookStateError(i, m); code != 0 {
		return mgcp.Message{Code: code}
	}
	reply := mgcp.Message{Code: mgcp.CodeOK}
	id, _ := m.Param("I")
	mode, _ := m.Param("M")
	at := -1
	for n, c := range p.connections {
		if c.id == id {
			at = n
		}
	}
	switch m.Verb {
	case mgcp.CreateConnection:
		call, _ := m.Param("C")
		reply.Params = []mgcp.Param{{Name: "I", Value: g.createConnection(i, call, mode == "sendrecv")}}
		reply.Session = []byte("v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio " + strconv.Itoa(30000+2*i) + " RTP/AVP 0\r\n")
	case mgcp.ModifyConnection, mgcp.DeleteConnection:
		if call, _ := m.Param("C"); m.Verb == mgcp.DeleteConnection && id == "" { // all connections of the call (RFC 3435, 2.3.8)
			for n := len(p.connections) - 1; n >= 0; n-- {
				if p.connections[n].callID == call {
					g.logEvent(audit.ConnectionChanged, i, p.callRef, p.connections[n].serial, 0)
					p.connections = append(p.connections[:n], p.connections[n+1:]...)
				}
			}
			reply.Code = mgcp.CodeConnectionDeleted
			break
		}
		if at < 0 {
			return mgcp.Message{Code: mgcp.CodeUnknownConnection}
		}
		if m.Verb == mgcp.DeleteConnection {
			g.logEvent(audit.ConnectionChanged, i, p.callRef, p.connections[at].serial, 0)
			p.connections = append(p.connections[:at], p.connections[at+1:]...)
			reply.Code = mgcp.CodeConnectionDeleted
		} else if mode == "sendrecv" {
			p.connections[at].twoWay = true
		}
	}
	g.applyNotificationRequest(i, m)
	g.simulateUserReaction(i)
	return reply
}

func (g *Gateway) createConnection(i int, call string, both bool) string {
	g.serial++
	id := fmt.Sprintf("%X", g.serial<<8|uint32(g.incarnation&255))
	g.phones[i].connections = append(g.phones[i].connections, connection{id, call, g.serial, both})
	g.logEvent(audit.ConnectionChanged, i, g.phones[i].callRef, g.serial, 1)
	return id
}

// hookStateError returns 401 or 402 if the request does not fit the hook state, else 0.
func (g *Gateway) hookStateError(i int, m mgcp.Message) int {
	if _, asks := m.Param("X"); !asks {
		return 0
	}
	r, _ := m.Param("R")
	s, _ := m.Param("S")
	off := g.phones[i].offHook
	switch {
	case off && (strings.Contains(r, "L/hd") || strings.Contains(s, "L/rg")):
		return mgcp.CodeOffHook
	case !off && strings.Contains(r, "L/hu"):
		return mgcp.CodeOnHook
	}
	return 0
}

func (g *Gateway) executeForAllEndpoints(m mgcp.Message) mgcp.Message {
	reply := mgcp.Message{Code: mgcp.CodeOK}
	switch m.Verb {
	case mgcp.AuditEndpoint:
		for i := range g.phones {
			reply.Params = append(reply.Params, mgcp.Param{Name: "Z", Value: fmt.Sprintf("aaln/%d@%s", i+1, g.config.Name)})
			if len(reply.Params) == 60 {
				break
			}
		}
	case mgcp.DeleteConnection:
		for i := range g.phones {
			for _, c := range g.phones[i].connections {
				g.logEvent(audit.ConnectionChanged, i, g.phones[i].callRef, c.serial, 0)
			}
			g.phones[i].connections = nil
		}
		reply.Code = mgcp.CodeConnectionDeleted
	case mgcp.NotificationRequest:
		for i := range g.phones {
			if code := g.hookStateError(i, m); code != 0 {
				return mgcp.Message{Code: code}
			}
		}
		for i := range g.phones {
			g.applyNotificationRequest(i, m)
		}
	default:
		return mgcp.Message{Code: mgcp.CodeAllOfTooComplicated}
	}
	return reply
}

// applyNotificationRequest processes a notification request, which may be part of another command.
func (g *Gateway) applyNotificationRequest(i int, m mgcp.Message) {
	x, ok := m.Param("X")
	if !ok {
		return
	}
	p := &g.phones[i]
	r, _ := m.Param("R")
	s, _ := m.Param("S")
	p.requestID, p.requestPending = x, true
	p.notifyOffHook, p.notifyOnHook, p.notifyFlash, p.notifyDigits = strings.Contains(r, "L/hd"), strings.Contains(r, "L/hu"), strings.Contains(r, "L/hf"), strings.Contains(r, "D/")
	p.dialString = ""
	if d, ok := m.Param("D"); ok {
		p.digitMap, _ = mgcp.ParseDigitMap(d)
	}
	signal, _, _ := strings.Cut(s, ",")
	p.tone, p.ringing = strings.TrimSpace(signal), strings.HasPrefix(signal, "L/rg")
	off := uint32(0)
	if p.offHook {
		off = 1
	}
	if p.unackedHookEvents > 0 {
		off |= 2
	}
	if !g.staleCommand {
		g.logEvent(audit.ToneRequested, i, p.callRef, off, toneCodes[p.tone])
	}
	quarantined := p.quarantined
	p.quarantined = nil
	for _, e := range quarantined {
		g.handleEvent(i, e)
	}
}

// handleEvent notifies an event that was requested. Without a pending request, the event waits in quarantine.
func (g *Gateway) handleEvent(i int, e mgcp.Event) {
	p := &g.phones[i]
	switch {
	case !p.requestPending:
		p.quarantined = append(p.quarantined, e)
	case e.Package == mgcp.PackageDTMF && p.notifyDigits:
		p.tone = ""
		p.dialString += e.Name
		if m := p.digitMap.Match(p.dialString); m == mgcp.FullMatch || m == mgcp.NoMatch || strings.HasSuffix(p.dialString, "T") {
			g.notify(i, mgcp.DigitEvents(p.dialString))
		}
	case e.Name == "hd" && p.notifyOffHook, e.Name == "hu" && p.notifyOnHook, e.Name == "hf" && p.notifyFlash:
		g.notify(i, []mgcp.Event{e})
	}
}

func (g *Gateway) notify(i int, observed []mgcp.Event) {
	p := &g.phones[i]
	p.requestPending, p.tone, p.ringing = false, "", false
	hook := observed[0].Name == "hd" || observed[0].Name == "hu"
	if hook {
		p.unackedHookEvents++
	}
	ref, life, digits := p.callRef, g.incarnation, observed[0].Package == mgcp.PackageDTMF
	g.sendCommand(mgcp.Message{Verb: mgcp.Notify, Endpoint: fmt.Sprintf("aaln/%d@%s", i+1, g.config.Name),
		Params: []mgcp.Param{{Name: "X", Value: p.requestID}, {Name: "O", Value: mgcp.FormatEvents(observed)}}}, func(ok bool) {
		if life != g.incarnation {
			return
		}
		if hook {
			p.unackedHookEvents--
		}
		switch {
		case !ok:
			g.startDisconnectedProcedure()
		case digits:
			g.logEvent(audit.NumberAcknowledged, i, ref, 0, 0)
		case observed[0].Name == "hu":
			g.logEvent(audit.HangUpAcknowledged, i, ref, 0, 0)
		}
	})
}

// simulateUserReaction makes the user of a phone react to the changes of a command.
func (g *Gateway) simulateUserReaction(i int) {
	p := &g.phones[i]
	both := false
	for _, c := range p.connections {
		both = both || c.twoWay
	}
	c := p.call
	switch {
	case p.offHook && c != nil && !c.Dialled && p.tone == "L/dl":
		if p.userActions++; p.waiting || c.Dialled {
			break
		}
		g.dialDigit(i, c, p.userActions, 0)
	case p.offHook && c != nil && !c.Dialled && p.tone == "G/cg": // congestion before dialling
		c.Refused = true
		g.scheduleUserAction(i, 300*time.Millisecond, func() { g.goOnHook(i) })
	case p.waiting && both:
		p.waiting, p.established = false, true
		c.SetUpTime = max(1, time.Since(p.dialledAt))
		g.logEvent(audit.PhoneOutcome, i, p.callRef, 1, 0)
		g.scheduleUserAction(i, c.HoldingTime, func() { g.goOnHook(i) })
	case p.offHook && (p.tone == "L/bz" || p.tone == "G/cg" || p.tone == "L/ro"):
		if c != nil && c.Dialled && p.endTone != p.tone && !g.staleCommand {
			p.endTone = p.tone
			g.logEvent(audit.PhoneOutcome, i, p.callRef, 2, toneCodes[p.tone])
			if p.waiting {
				c.Failed, c.Refused = p.tone == "L/ro", p.tone != "L/ro"
			}
		}
		p.waiting = false
		g.scheduleUserAction(i, 300*time.Millisecond, func() { g.goOnHook(i) })
	case p.ringing && !p.offHook:
		g.scheduleUserAction(i, time.Duration(g.random.ExpFloat64()*float64(g.config.MeanAnswerDelay)), func() { g.goOffHook(i) })
	}
}

// scheduleUserAction runs an action of a phone's user later, unless another action comes first.
func (g *Gateway) scheduleUserAction(i int, d time.Duration, do func()) {
	p := &g.phones[i]
	p.userActions++
	turn, life := p.userActions, g.incarnation
	g.schedule(d, func() {
		if p.userActions == turn && life == g.incarnation {
			do()
		}
	})
}

func (g *Gateway) goOffHook(i int) {
	p := &g.phones[i]
	if !p.offHook {
		p.offHook, p.ringing = true, false
		g.logEvent(audit.HookChanged, i, p.callRef, 0, 1)
		g.handleEvent(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hd"})
	}
}

func (g *Gateway) goOnHook(i int) {
	p := &g.phones[i]
	if !p.offHook {
		return
	}
	if p.waiting {
		p.call.Abandoned = true
	}
	p.offHook, p.tone, p.waiting, p.established, p.call = false, "", false, false, nil
	p.userActions++
	g.logEvent(audit.HookChanged, i, p.callRef, 0, 0)
	g.handleEvent(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hu"})
}

// startCall starts a call if the phone is free.
func (g *Gateway) startCall(c *PhoneCall) {
	p := &g.phones[c.Phone]
	if p.offHook || p.ringing || p.call != nil {
		c.Skipped = true
		return
	}
	g.serial++
	p.call, p.endTone = c, ""
	p.callRef = isup.Reference{Point: exchange.PointCode(g.config.Exchange), Identity: uint32(g.config.Number)<<17 | g.serial&0x1ffff}
	p.userActions++
	g.goOffHook(c.Phone)
	g.scheduleUserAction(c.Phone, c.AbandonTime, func() { // no dial tone in time
		if p.call == c && !c.Dialled {
			c.Skipped = true
			g.goOnHook(c.Phone)
		}
	})
}

// dialDigit dials digit n of the number and schedules the next one.
func (g *Gateway) dialDigit(i int, c *PhoneCall, turn, n int) {
	p := &g.phones[i]
	life := g.incarnation
	wait := g.config.DigitInterval
	if g.random.Float64() < g.faults.SlowDigitsRatio {
		wait = 4 * time.Second // as long as the gateway's digit timer
	}
	g.schedule(wait, func() {
		if p.userActions != turn || life != g.incarnation || p.call != c {
			return
		}
		if n == len(c.Digits)-1 {
			g.finishDialling(i, c)
		}
		g.handleEvent(i, mgcp.Event{Package: mgcp.PackageDTMF, Name: c.Digits[n : n+1]})
		if n < len(c.Digits)-1 && wait < 4*time.Second {
			g.dialDigit(i, c, turn, n+1)
		} else if n < len(c.Digits)-1 { // the digit timer expires at the same time
			g.handleEvent(i, mgcp.Event{Package: mgcp.PackageDTMF, Name: "T"})
			g.dialDigit(i, c, turn, n+1)
		}
	})
}

// finishDialling records that the last digit is dialled. From here the caller waits.
func (g *Gateway) finishDialling(i int, c *PhoneCall) {
	p := &g.phones[i]
	c.Dialled, p.waiting, p.dialledAt = true, true, time.Now()
	g.logEvent(audit.NumberDialled, i, p.callRef, 0, c.AbandonTime.Microseconds())
	g.scheduleUserAction(i, c.AbandonTime, func() { g.goOnHook(i) })
	g.scheduleImpatience(i, c)
}

// scheduleImpatience makes some callers flash or hang up while they wait.
func (g *Gateway) scheduleImpatience(i int, c *PhoneCall) {
	p := &g.phones[i]
	turn := p.userActions
	soon := time.Duration(g.random.Float64() * float64(100*time.Millisecond))
	flash, hang := g.random.Float64() < g.faults.FlashRatio, g.random.Float64() < g.faults.HangUpRatio
	g.schedule(soon, func() {
		if p.userActions != turn || !p.waiting || p.call != c {
			return
		}
		if flash {
			g.handleEvent(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hf"})
		}
		if hang {
			g.goOnHook(i)
		}
	})
}
