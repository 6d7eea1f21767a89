package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

const (
	callerIdleTimeout   = 4 * time.Second       // of a connection without calls
	closeCrossingTime   = 50 * time.Millisecond // a set-up sent within it before its connection closes may have crossed the close
	dialTimeout         = 500 * time.Millisecond
	maxResponseDelay    = 900 * time.Millisecond // of RespondLate
	shutdownDialTime    = 200 * time.Millisecond // after accessOpenConns is set, during which a connection may still be opened if none is open
	maxRememberedCalls  = 4096                   // per group, before finished ones are removed
	minShortAbandonTime = 5 * time.Millisecond   // of calls with a very short abandon time
	maxShortAbandonTime = 250 * time.Millisecond
)

// access is how callers may reach their controller.
type access uint8

const (
	accessFull      access = iota
	accessOpenConns        // requests on open connections only, as the controller is shutting down
	accessNone             // the controller is down
)

// CallerGroup simulates the callers of one controller.
type CallerGroup struct {
	log        *Log
	plan       Plan
	groupPlan  CallerPlan
	controller int
	address    string

	mu             sync.Mutex
	random         *rand.Rand
	access         access
	accessSince    time.Duration // time of the last change of access
	openConns      []*callerConn
	calls          map[string]*placedCall
	lastCall       int
	placingStopped bool // no new calls are placed
	stopped        chan struct{}
	wg             sync.WaitGroup
}

// callerConn is a connection of a caller.
type callerConn struct {
	id              int
	netConn         net.Conn
	releaseResponse ReleaseResponse
	writeMu         sync.Mutex // serializes writes
	lastSetUpAt     time.Duration
	silenced        bool
	reset           bool // reset by a fault
	closing         bool // closed by the caller
	closed          bool
}

// placedCall is the state of a call at its caller.
type placedCall struct {
	id          string
	conn        *callerConn
	sentAt      time.Duration
	setUp       sip.Message
	resent      bool // the set-up was sent a second time
	answered    bool
	established bool
	ended       bool
	abandoned   bool
	switchID    uint32 // of the switch that answered
	transitDest int    // destination of a transit call, counted from 1; 0 for other calls
}

func newCallerGroup(log *Log, plan Plan, controller int, address string) *CallerGroup {
	return &CallerGroup{log: log, plan: plan, groupPlan: plan.Callers[controller], controller: controller, address: address, access: accessNone,
		random: rand.New(rand.NewPCG(plan.Seed, uint64(0xca11e0+controller))), calls: map[string]*placedCall{}, stopped: make(chan struct{})}
}

// run places calls until stop is called.
func (g *CallerGroup) run() {
	for {
		g.mu.Lock()
		delay := time.Duration(g.random.ExpFloat64() / g.groupPlan.CallsPerSecond * float64(time.Second))
		g.mu.Unlock()
		select {
		case <-g.stopped:
			return
		case <-time.After(delay):
		}
		g.closeIdleConns()
		g.mu.Lock()
		placingStopped := g.placingStopped
		g.mu.Unlock()
		if !placingStopped {
			g.placeNewCall()
		}
	}
}

// setAccess sets the access from now on. With accessFull, after a start of the controller, callers connect at once and announce most of the
// established calls.
func (g *CallerGroup) setAccess(allowed access) {
	g.mu.Lock()
	g.access, g.accessSince = allowed, g.log.Now()
	var established []*placedCall
	if allowed == accessFull {
		for _, call := range g.calls {
			if call.established && !call.ended && g.random.IntN(5) > 0 {
				established = append(established, call)
			}
		}
	}
	g.mu.Unlock()
	for _, call := range established {
		g.announceCall(call)
	}
}

// announceCall tells the controller at which switch a call is established.
func (g *CallerGroup) announceCall(call *placedCall) {
	conn := g.pickConn()
	if conn == nil {
		return
	}
	g.mu.Lock()
	call.conn = conn
	g.mu.Unlock()
	message := call.setUp
	message.Fields = []sip.Field{{Name: "Priority-Class", Value: bearerName}, {Name: "Expires-Ms", Value: "1000"},
		{Name: "P-Trunk-Info", Value: "at:" + board.FormatID(call.switchID)}}
	if g.send(conn, &message) {
		g.log.Add(Event{Kind: EstablishedCallAnnounced, Controller: g.controller, CallID: call.id, ConnID: conn.id, SwitchID: call.switchID})
	}
}

// pickConn returns the connection for the next message: an open one, or a new one if there are too few. It returns nil if there is none.
func (g *CallerGroup) pickConn() *callerConn {
	g.mu.Lock()
	if n := len(g.openConns); n > 0 && (n >= g.groupPlan.Connections || g.access != accessFull) {
		conn := g.openConns[g.random.IntN(n)]
		g.mu.Unlock()
		return conn
	}
	if g.access == accessNone || g.access == accessOpenConns && g.log.Now()-g.accessSince > shutdownDialTime {
		g.mu.Unlock()
		return nil
	}
	response := g.groupPlan.ReleaseResponses[g.random.IntN(len(g.groupPlan.ReleaseResponses))]
	g.mu.Unlock()
	netConn, err := net.DialTimeout("tcp", g.address, dialTimeout)
	if err != nil {
		return nil
	}
	conn := &callerConn{id: g.log.NewConnID(), netConn: netConn, releaseResponse: response, lastSetUpAt: g.log.Now()}
	g.mu.Lock()
	g.openConns = append(g.openConns, conn)
	g.mu.Unlock()
	g.log.Add(Event{Kind: CallerConnOpened, Controller: g.controller, ConnID: conn.id, Detail: fmt.Sprint(netConn.LocalAddr())})
	g.wg.Go(func() { g.readConn(conn) })
	return conn
}

// send writes a message on a connection. It returns false if the write fails.
func (g *CallerGroup) send(conn *callerConn, message *sip.Message) bool {
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	_ = conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the reader detects a lost connection
	_, err := conn.netConn.Write(sip.Append(nil, message))
	return err == nil
}

// bearerName is the bearer type that every plan has.
const bearerName = "voice"

// placeNewCall places an ordinary call.
func (g *CallerGroup) placeNewCall() { g.placeCall(false, "") }

// placeCall places a call. isRepeat marks it as the repetition of a rejected call; extraInfo is appended to its P-Trunk-Info.
func (g *CallerGroup) placeCall(isRepeat bool, extraInfo string) {
	conn := g.pickConn()
	if conn == nil {
		return
	}
	g.mu.Lock()
	g.lastCall++
	id := fmt.Sprintf("%04x%04x%08x", g.plan.Seed&0xffff, g.controller, g.lastCall)
	cell := (g.controller + 1 + g.random.IntN(g.plan.Controllers-1)) % g.plan.Controllers
	expires := randomDuration(g.random, g.plan.MaxAbandonTime/3, g.plan.MaxAbandonTime)
	if g.random.Float64() < g.groupPlan.ShortAbandonTimeShare {
		expires = randomDuration(g.random, minShortAbandonTime, maxShortAbandonTime)
	}
	bearer := g.plan.Bearers[g.random.IntN(len(g.plan.Bearers))].Name
	transitDest := 0
	if g.random.Float64() < g.groupPlan.TransitShare {
		transitDest = cell + 1
		extraInfo += ";transit:1"
	}
	via := []int{-1, (cell + 1) % g.plan.Controllers}[g.random.IntN(2)]
	abandons := g.random.Float64() < g.groupPlan.AbandonShare
	abandonAfter := randomDuration(g.random, 0, expires)
	message := sip.Message{Method: sip.Invite, URI: "sip:7f3a9c21e0b4d655@net", CallID: id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("offer of " + id),
		Fields: []sip.Field{{Name: "Priority-Class", Value: bearer}, {Name: "Expires-Ms", Value: strconv.Itoa(int(expires.Milliseconds()))},
			{Name: "P-Trunk-Info", Value: fmt.Sprintf("dest:%d;width:1;via:%d%s", cell, via, extraInfo)}}}
	if isRepeat {
		message.Fields = append(message.Fields, sip.Field{Name: "P-Repeat", Value: "1"})
	}
	call := &placedCall{id: id, conn: conn, setUp: message, transitDest: transitDest}
	g.forgetFinishedCalls()
	g.calls[id] = call
	g.mu.Unlock()
	g.sendSetUp(call, conn, expires)
	if abandons {
		g.wg.Go(func() {
			select {
			case <-time.After(abandonAfter):
				g.abandonCall(call)
			case <-g.stopped:
			}
		})
	}
}

// forgetFinishedCalls removes finished calls once there are too many. g.mu must be held.
func (g *CallerGroup) forgetFinishedCalls() {
	if len(g.calls) < maxRememberedCalls {
		return
	}
	for id, call := range g.calls {
		if call.ended || call.answered && !call.established {
			delete(g.calls, id)
		}
	}
}

// sendSetUp writes the set-up of a call. It counts as sent from just before the write.
func (g *CallerGroup) sendSetUp(call *placedCall, conn *callerConn, expires time.Duration) {
	g.mu.Lock()
	if conn.closed { // it closed after pickConn returned it
		delete(g.calls, call.id)
		g.mu.Unlock()
		return
	}
	call.conn = conn
	call.sentAt = g.log.Now()
	conn.lastSetUpAt = call.sentAt
	detail := ""
	if call.resent {
		detail = "again"
	}
	// Recorded under the lock, before handleClose can record the end of the connection.
	g.log.Add(Event{Kind: SetUpSent, Controller: g.controller, CallID: call.id, ConnID: conn.id, Cell: call.transitDest, Duration: expires, Detail: detail})
	g.mu.Unlock()
	g.send(conn, &call.setUp)
}

// abandonCall cancels the set-up of a call that has no answer yet.
func (g *CallerGroup) abandonCall(call *placedCall) {
	g.mu.Lock()
	done := call.answered || call.ended || call.conn.closed
	if !done {
		call.abandoned, call.ended = true, true
	}
	conn := call.conn
	g.mu.Unlock()
	if done {
		return
	}
	g.log.Add(Event{Kind: CallAbandoned, Controller: g.controller, CallID: call.id, ConnID: conn.id, Detail: "cancelled"})
	g.send(conn, &sip.Message{Method: sip.Cancel, URI: call.setUp.URI, CallID: call.id, CSeq: 1})
}

// readConn handles the messages on a connection until it ends.
func (g *CallerGroup) readConn(conn *callerConn) {
	r := sip.NewReader(conn.netConn)
	for {
		message, err := r.Read()
		if err != nil {
			g.handleClose(conn, err)
			return
		}
		switch {
		case message.Status >= sip.OK && message.CSeqMethod == sip.Invite:
			g.handleAnswer(conn, &message)
		case message.Method == sip.Bye:
			g.handleRelease(conn, &message)
		case message.Method == sip.Options:
			response := message.Response(sip.OK)
			g.send(conn, &response)
		}
	}
}

// handleAnswer handles a final answer. It may release an established call later or repeat a rejected one at once.
func (g *CallerGroup) handleAnswer(conn *callerConn, message *sip.Message) {
	body := ""
	g.mu.Lock()
	call := g.calls[message.CallID]
	if call != nil {
		call.answered = true
		if message.Status == sip.OK && !call.abandoned {
			call.established = true
		}
	}
	releases := call != nil && call.established && g.random.Float64() < g.groupPlan.ReleaseShare
	releaseAfter := randomDuration(g.random, 0, g.plan.Switches.MaxHoldingTime)
	repeats := call != nil && message.Rejected() && !call.abandoned && !g.placingStopped && g.random.Float64() < g.groupPlan.RepeatShare/2
	g.mu.Unlock()
	if message.Status == sip.OK {
		body = string(message.Body)
		if call != nil {
			var id uint32
			if _, err := fmt.Sscanf(body, "answer of s-%08x", &id); err == nil {
				g.mu.Lock()
				call.switchID = id
				g.mu.Unlock()
			}
		}
	}
	g.log.Add(Event{Kind: AnswerRead, Controller: g.controller, CallID: message.CallID, ConnID: conn.id, Status: message.Status, Detail: body})
	g.send(conn, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: message.CallID, CSeq: 1})
	if releases {
		g.wg.Go(func() {
			select {
			case <-time.After(releaseAfter):
				g.releaseCall(call)
			case <-g.stopped:
			}
		})
	}
	if repeats {
		g.wg.Go(func() { g.placeCall(true, "") })
	}
}

// releaseCall releases an established call, on any connection.
func (g *CallerGroup) releaseCall(call *placedCall) {
	conn := g.pickConn()
	g.mu.Lock()
	done := call.ended || conn == nil || conn.silenced
	if !done {
		call.ended = true
	}
	g.mu.Unlock()
	if done {
		return
	}
	g.log.Add(Event{Kind: CallReleased, Controller: g.controller, CallID: call.id, ConnID: conn.id})
	g.send(conn, &sip.Message{Method: sip.Bye, URI: call.setUp.URI, CallID: call.id, CSeq: 2,
		Fields: []sip.Field{{Name: "Reason", Value: "Q.850;cause=16"}}})
}

// handleRelease handles a release by the controller. It may place a disconnected call again.
func (g *CallerGroup) handleRelease(conn *callerConn, message *sip.Message) {
	g.log.Add(Event{Kind: ReleaseRead, Controller: g.controller, CallID: message.CallID, ConnID: conn.id})
	g.mu.Lock()
	call := g.calls[message.CallID]
	if call != nil {
		call.ended = true
	}
	delay := randomDuration(g.random, maxResponseDelay/3, maxResponseDelay)
	redials := call != nil && !g.placingStopped && isAbnormalRelease(message) && g.random.Float64() < g.groupPlan.RedialShare
	g.mu.Unlock()
	if redials {
		g.wg.Go(func() { g.placeCall(false, ";again:1") })
	}
	response := message.Response(sip.OK)
	switch {
	case conn.releaseResponse == RespondImmediately && call != nil:
		g.send(conn, &response)
	case conn.releaseResponse == RespondLate:
		time.AfterFunc(delay, func() { g.send(conn, &response) })
	}
}

// isAbnormalRelease reports whether a release has another cause than normal clearing.
func isAbnormalRelease(message *sip.Message) bool {
	return message.Get("Reason") != fmt.Sprintf("Q.850;cause=%d", causeNormalClearing)
}

// handleClose handles the end of a connection. A set-up that crossed the close is sent once more on a new one.
func (g *CallerGroup) handleClose(conn *callerConn, err error) {
	conn.netConn.Close()
	g.mu.Lock()
	conn.closed = true
	reason := err.Error()
	switch {
	case conn.closing:
		reason = "closed by its caller"
	case conn.reset:
		reason = detailResetByHarness
	case conn.silenced:
		reason = detailSilencedByHarness
	}
	for i, other := range g.openConns {
		if other == conn {
			g.openConns = append(g.openConns[:i:i], g.openConns[i+1:]...)
			break
		}
	}
	var unanswered []*placedCall
	for _, call := range g.calls {
		if call.conn == conn && call.sentAt > 0 && !call.answered && !call.abandoned {
			unanswered = append(unanswered, call)
		}
	}
	g.mu.Unlock()
	now := g.log.Add(Event{Kind: CallerConnClosed, Controller: g.controller, ConnID: conn.id, Detail: reason})
	for _, call := range unanswered {
		g.log.Add(Event{Kind: ConnEndedUnanswered, Controller: g.controller, CallID: call.id, ConnID: conn.id, Detail: reason})
		if now-call.sentAt <= closeCrossingTime && !call.resent && !conn.reset && !conn.silenced {
			g.resendSetUp(call)
		}
	}
}

// resendSetUp sends the set-up of a call a second time, on another connection.
func (g *CallerGroup) resendSetUp(call *placedCall) {
	g.mu.Lock()
	call.resent = true
	mayResend := g.access == accessFull
	g.mu.Unlock()
	if !mayResend {
		return
	}
	if conn := g.pickConn(); conn != nil {
		g.sendSetUp(call, conn, 0)
	}
}

// Details of the end of connections that faults hit.
const (
	detailResetByHarness    = "reset by the test harness"
	detailSilencedByHarness = "silenced by the test harness"
)

// closeIdleConns closes connections that have been without calls for the idle timeout.
func (g *CallerGroup) closeIdleConns() {
	g.mu.Lock()
	busy := map[*callerConn]bool{}
	for _, call := range g.calls {
		if !call.answered && !call.abandoned || call.established && !call.ended {
			busy[call.conn] = true
		}
	}
	var idle []*callerConn
	for _, conn := range g.openConns {
		if !busy[conn] && g.log.Now()-conn.lastSetUpAt > callerIdleTimeout {
			conn.closing = true
			idle = append(idle, conn)
		}
	}
	g.mu.Unlock()
	for _, conn := range idle {
		conn.netConn.Close()
	}
}

// disruptConns records that the open connections are silenced or reset. apply makes the proxy do so.
func (g *CallerGroup) disruptConns(silence bool, apply func()) {
	g.mu.Lock()
	for _, conn := range g.openConns {
		conn.silenced, conn.reset = conn.silenced || silence, conn.reset || !silence
		g.log.Add(Event{Kind: CallerConnDisrupted, Controller: g.controller, ConnID: conn.id})
	}
	if silence { // callers use other connections from now on
		for _, conn := range g.openConns {
			time.AfterFunc(callerIdleTimeout, func() { conn.netConn.Close() })
		}
		g.openConns = nil
	}
	apply()
	g.mu.Unlock()
}

// stopPlacing stops the placing of new calls.
func (g *CallerGroup) stopPlacing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placingStopped = true
}

// stop stops the group and closes its connections.
func (g *CallerGroup) stop() {
	close(g.stopped)
	g.mu.Lock()
	for _, conn := range g.openConns {
		conn.closing = true
		conn.netConn.Close()
	}
	g.mu.Unlock()
}
