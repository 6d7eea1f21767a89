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
	phone := &g.phones[i]
	switch m.Verb {
	case mgcp.AuditEndpoint:
		state := "L/hu"
		if phone.offHook {
			state = "L/hd"
		}
		var ids []string
		for _, connection := range phone.connections {
			ids = append(ids, connection.id)
		}
		return mgcp.Message{Code: mgcp.CodeOK, Params: []mgcp.Param{{Name: "I", Value: strings.Join(ids, ", ")}, {Name: "ES", Value: state}}}
	case mgcp.NotificationRequest, mgcp.CreateConnection, mgcp.ModifyConnection, mgcp.DeleteConnection:
	default:
		return mgcp.Message{Code: mgcp.CodeUnknownCommand}
	}
	// The user may go off hook to dial at the moment at which the phone is told to ring.
	if signals, _ := m.Param("S"); strings.HasPrefix(signals, "L/rg") && !phone.offHook && g.random.Float64() < g.faults.GlareRatio {
		g.goOffHook(i)
		g.scheduleUserAction(i, time.Second, func() { g.goOnHook(i) })
	}
	if code := g.hookStateError(i, m); code != 0 {
		return mgcp.Message{Code: code}
	}
	reply := mgcp.Message{Code: mgcp.CodeOK}
	id, _ := m.Param("I")
	mode, _ := m.Param("M")
	index := -1
	for n, connection := range phone.connections {
		if connection.id == id {
			index = n
		}
	}
	switch m.Verb {
	case mgcp.CreateConnection:
		callID, _ := m.Param("C")
		reply.Params = []mgcp.Param{{Name: "I", Value: g.createConnection(i, callID, mode == "sendrecv")}}
		reply.Session = []byte("v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio " + strconv.Itoa(30000+2*i) + " RTP/AVP 0\r\n")
	case mgcp.ModifyConnection, mgcp.DeleteConnection:
		if callID, _ := m.Param("C"); m.Verb == mgcp.DeleteConnection && id == "" { // all connections of the call (RFC 3435, 2.3.8)
			for n := len(phone.connections) - 1; n >= 0; n-- {
				if phone.connections[n].callID == callID {
					g.logEvent(audit.ConnectionChanged, i, phone.callRef, phone.connections[n].serial, 0)
					phone.connections = append(phone.connections[:n], phone.connections[n+1:]...)
				}
			}
			reply.Code = mgcp.CodeConnectionDeleted
			break
		}
		if index < 0 {
			return mgcp.Message{Code: mgcp.CodeUnknownConnection}
		}
		if m.Verb == mgcp.DeleteConnection {
			g.logEvent(audit.ConnectionChanged, i, phone.callRef, phone.connections[index].serial, 0)
			phone.connections = append(phone.connections[:index], phone.connections[index+1:]...)
			reply.Code = mgcp.CodeConnectionDeleted
		} else if mode == "sendrecv" {
			phone.connections[index].twoWay = true
		}
	}
	g.applyNotificationRequest(i, m)
	g.simulateUserReaction(i)
	return reply
}

func (g *Gateway) createConnection(i int, callID string, twoWay bool) string {
	g.serial++
	id := fmt.Sprintf("%X", g.serial<<8|uint32(g.incarnation&255))
	g.phones[i].connections = append(g.phones[i].connections, connection{id, callID, g.serial, twoWay})
	g.logEvent(audit.ConnectionChanged, i, g.phones[i].callRef, g.serial, 1)
	return id
}

// hookStateError returns 401 or 402 if the request does not fit the hook state, else 0.
func (g *Gateway) hookStateError(i int, m mgcp.Message) int {
	if _, requested := m.Param("X"); !requested {
		return 0
	}
	events, _ := m.Param("R")
	signals, _ := m.Param("S")
	offHook := g.phones[i].offHook
	switch {
	case offHook && (strings.Contains(events, "L/hd") || strings.Contains(signals, "L/rg")):
		return mgcp.CodeOffHook
	case !offHook && strings.Contains(events, "L/hu"):
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
			for _, connection := range g.phones[i].connections {
				g.logEvent(audit.ConnectionChanged, i, g.phones[i].callRef, connection.serial, 0)
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
	requestID, ok := m.Param("X")
	if !ok {
		return
	}
	phone := &g.phones[i]
	events, _ := m.Param("R")
	signals, _ := m.Param("S")
	phone.requestID, phone.requestPending = requestID, true
	phone.notifyOffHook, phone.notifyOnHook, phone.notifyFlash, phone.notifyDigits = strings.Contains(events, "L/hd"), strings.Contains(events, "L/hu"), strings.Contains(events, "L/hf"), strings.Contains(events, "D/")
	phone.dialString = ""
	if digitMap, ok := m.Param("D"); ok {
		phone.digitMap, _ = mgcp.ParseDigitMap(digitMap)
	}
	signal, _, _ := strings.Cut(signals, ",")
	phone.tone, phone.ringing = strings.TrimSpace(signal), strings.HasPrefix(signal, "L/rg")
	hookFlags := uint32(0)
	if phone.offHook {
		hookFlags = 1
	}
	if phone.unackedHookEvents > 0 {
		hookFlags |= 2
	}
	if !g.staleCommand {
		g.logEvent(audit.ToneRequested, i, phone.callRef, hookFlags, toneCodes[phone.tone])
	}
	quarantined := phone.quarantined
	phone.quarantined = nil
	for _, e := range quarantined {
		g.handleEvent(i, e)
	}
}

// handleEvent notifies an event that was requested. Without a pending request, the event waits in quarantine.
func (g *Gateway) handleEvent(i int, e mgcp.Event) {
	phone := &g.phones[i]
	switch {
	case !phone.requestPending:
		phone.quarantined = append(phone.quarantined, e)
	case e.Package == mgcp.PackageDTMF && phone.notifyDigits:
		phone.tone = ""
		phone.dialString += e.Name
		if match := phone.digitMap.Match(phone.dialString); match == mgcp.FullMatch || match == mgcp.NoMatch || strings.HasSuffix(phone.dialString, "T") {
			g.notify(i, mgcp.DigitEvents(phone.dialString))
		}
	case e.Name == "hd" && phone.notifyOffHook, e.Name == "hu" && phone.notifyOnHook, e.Name == "hf" && phone.notifyFlash:
		g.notify(i, []mgcp.Event{e})
	}
}

func (g *Gateway) notify(i int, observed []mgcp.Event) {
	phone := &g.phones[i]
	phone.requestPending, phone.tone, phone.ringing = false, "", false
	hook := observed[0].Name == "hd" || observed[0].Name == "hu"
	if hook {
		phone.unackedHookEvents++
	}
	ref, incarnation, digits := phone.callRef, g.incarnation, observed[0].Package == mgcp.PackageDTMF
	g.sendCommand(mgcp.Message{Verb: mgcp.Notify, Endpoint: fmt.Sprintf("aaln/%d@%s", i+1, g.config.Name),
		Params: []mgcp.Param{{Name: "X", Value: phone.requestID}, {Name: "O", Value: mgcp.FormatEvents(observed)}}}, func(ok bool) {
		if incarnation != g.incarnation {
			return
		}
		if hook {
			phone.unackedHookEvents--
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
	phone := &g.phones[i]
	twoWay := false
	for _, connection := range phone.connections {
		twoWay = twoWay || connection.twoWay
	}
	call := phone.call
	switch {
	case phone.offHook && call != nil && !call.Dialled && phone.tone == "L/dl":
		if phone.userActions++; phone.waiting || call.Dialled {
			break
		}
		g.dialDigit(i, call, phone.userActions, 0)
	case phone.offHook && call != nil && !call.Dialled && phone.tone == "G/cg": // congestion before dialling
		call.Refused = true
		g.scheduleUserAction(i, 300*time.Millisecond, func() { g.goOnHook(i) })
	case phone.waiting && twoWay:
		phone.waiting, phone.established = false, true
		call.SetUpTime = max(1, time.Since(phone.dialledAt))
		g.logEvent(audit.PhoneOutcome, i, phone.callRef, 1, 0)
		g.scheduleUserAction(i, call.HoldingTime, func() { g.goOnHook(i) })
	case phone.offHook && (phone.tone == "L/bz" || phone.tone == "G/cg" || phone.tone == "L/ro"):
		if call != nil && call.Dialled && phone.endTone != phone.tone && !g.staleCommand {
			phone.endTone = phone.tone
			g.logEvent(audit.PhoneOutcome, i, phone.callRef, 2, toneCodes[phone.tone])
			if phone.waiting {
				call.Failed, call.Refused = phone.tone == "L/ro", phone.tone != "L/ro"
			}
		}
		phone.waiting = false
		g.scheduleUserAction(i, 300*time.Millisecond, func() { g.goOnHook(i) })
	case phone.ringing && !phone.offHook:
		g.scheduleUserAction(i, time.Duration(g.random.ExpFloat64()*float64(g.config.MeanAnswerDelay)), func() { g.goOffHook(i) })
	}
}

// scheduleUserAction runs an action of a phone's user later, unless another action comes first.
func (g *Gateway) scheduleUserAction(i int, d time.Duration, action func()) {
	phone := &g.phones[i]
	phone.userActions++
	serial, incarnation := phone.userActions, g.incarnation
	g.schedule(d, func() {
		if phone.userActions == serial && incarnation == g.incarnation {
			action()
		}
	})
}

func (g *Gateway) goOffHook(i int) {
	phone := &g.phones[i]
	if !phone.offHook {
		phone.offHook, phone.ringing = true, false
		g.logEvent(audit.HookChanged, i, phone.callRef, 0, 1)
		g.handleEvent(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hd"})
	}
}

func (g *Gateway) goOnHook(i int) {
	phone := &g.phones[i]
	if !phone.offHook {
		return
	}
	if phone.waiting {
		phone.call.Abandoned = true
	}
	phone.offHook, phone.tone, phone.waiting, phone.established, phone.call = false, "", false, false, nil
	phone.userActions++
	g.logEvent(audit.HookChanged, i, phone.callRef, 0, 0)
	g.handleEvent(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hu"})
}

// startCall starts a call if the phone is free.
func (g *Gateway) startCall(call *PhoneCall) {
	phone := &g.phones[call.Phone]
	if phone.offHook || phone.ringing || phone.call != nil {
		call.Skipped = true
		return
	}
	g.serial++
	phone.call, phone.endTone = call, ""
	phone.callRef = isup.Reference{Point: exchange.PointCode(g.config.Exchange), Identity: uint32(g.config.Number)<<17 | g.serial&0x1ffff}
	phone.userActions++
	g.goOffHook(call.Phone)
	g.scheduleUserAction(call.Phone, call.AbandonTime, func() { // no dial tone in time
		if phone.call == call && !call.Dialled {
			call.Skipped = true
			g.goOnHook(call.Phone)
		}
	})
}

// dialDigit dials digit n of the number and schedules the next one.
func (g *Gateway) dialDigit(i int, call *PhoneCall, serial, n int) {
	phone := &g.phones[i]
	incarnation := g.incarnation
	wait := g.config.DigitInterval
	if g.random.Float64() < g.faults.SlowDigitsRatio {
		wait = 4 * time.Second // as long as the gateway's digit timer
	}
	g.schedule(wait, func() {
		if phone.userActions != serial || incarnation != g.incarnation || phone.call != call {
			return
		}
		if n == len(call.Digits)-1 {
			g.finishDialling(i, call)
		}
		g.handleEvent(i, mgcp.Event{Package: mgcp.PackageDTMF, Name: call.Digits[n : n+1]})
		if n < len(call.Digits)-1 && wait < 4*time.Second {
			g.dialDigit(i, call, serial, n+1)
		} else if n < len(call.Digits)-1 { // the digit timer expires at the same time
			g.handleEvent(i, mgcp.Event{Package: mgcp.PackageDTMF, Name: "T"})
			g.dialDigit(i, call, serial, n+1)
		}
	})
}

// finishDialling records that the last digit is dialled. From here the caller waits.
func (g *Gateway) finishDialling(i int, call *PhoneCall) {
	phone := &g.phones[i]
	call.Dialled, phone.waiting, phone.dialledAt = true, true, time.Now()
	g.logEvent(audit.NumberDialled, i, phone.callRef, 0, call.AbandonTime.Microseconds())
	g.scheduleUserAction(i, call.AbandonTime, func() { g.goOnHook(i) })
	g.scheduleImpatience(i, call)
}

// scheduleImpatience makes some callers flash or hang up while they wait.
func (g *Gateway) scheduleImpatience(i int, call *PhoneCall) {
	phone := &g.phones[i]
	serial := phone.userActions
	delay := time.Duration(g.random.Float64() * float64(100*time.Millisecond))
	flash, hangUp := g.random.Float64() < g.faults.FlashRatio, g.random.Float64() < g.faults.HangUpRatio
	g.schedule(delay, func() {
		if phone.userActions != serial || !phone.waiting || phone.call != call {
			return
		}
		if flash {
			g.handleEvent(i, mgcp.Event{Package: mgcp.PackageLine, Name: "hf"})
		}
		if hangUp {
			g.goOnHook(i)
		}
	})
}
