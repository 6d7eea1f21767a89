package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/faultproxy"
	"indigodrift/internal/sip"
)

const (
	causeNormal = 16
	causeCut    = 41

	writeWithin = time.Second
	lateAnswer  = 300 * time.Millisecond // past the caller's time
	resumeRoom  = 200 * time.Millisecond // what a switch reads so soon after a hang may have lain unread
)

// Switch is one life of the switch of a cell: it holds circuits, answers set-ups and ends calls.
type Switch struct {
	log    *Log
	plan   Plan
	id     uint32
	cell   int
	bornMS int64 // Unix millisecond of a late start, 0 at the start of the run

	mu       sync.Mutex
	random   *rand.Rand
	links    map[int][]*switchLink  // by controller, as they opened
	accepted map[string]*switchLink // by the address of the far end, open or not
	calls    map[string]*heldCall
	repeat   map[int][]*heldCall // releases that go on the next connection as well
	used     int
	hung     chan struct{} // closed when the switch goes on; nil while it works
	hungFor  time.Duration
	hungAt   time.Duration
	resumed  time.Duration
	dead     bool
	closers  []net.Listener
	all      sync.WaitGroup
	stopping chan struct{}
}

// switchLink is a connection of a controller to a switch.
type switchLink struct {
	conn       int
	c          net.Conn
	controller int
	openedAt   time.Duration
	mu         sync.Mutex
	calls      map[*heldCall]struct{} // set-ups open on it
	closed     bool
	lost       bool // nothing passes on it any more
}

// heldCall is a call at a switch.
type heldCall struct {
	id         string
	uri        string
	controller int
	link       *switchLink
	seq        uint32
	stands     bool
	over       bool
}

func newSwitch(log *Log, plan Plan, id uint32, cell int, bornMS int64) *Switch {
	return &Switch{log: log, plan: plan, id: id, cell: cell, bornMS: bornMS, random: rand.New(rand.NewPCG(plan.Seed, uint64(id))),
		links: map[int][]*switchLink{}, accepted: map[string]*switchLink{}, calls: map[string]*heldCall{}, repeat: map[int][]*heldCall{}, stopping: make(chan struct{})}
}

// serve takes a controller's connections at a listener.
func (s *Switch) serve(controller int, ln net.Listener) {
	s.mu.Lock()
	s.closers = append(s.closers, ln)
	s.mu.Unlock()
	s.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l := &switchLink{conn: s.log.Conn(), c: c, controller: controller, openedAt: s.log.Now(), calls: map[*heldCall]struct{}{}}
			s.mu.Lock()
			s.accepted[c.RemoteAddr().String()] = l
			s.mu.Unlock()
			s.all.Go(func() { s.read(l) })
		}
	})
}

// wait blocks while the switch hangs. False: it has died.
func (s *Switch) wait() bool {
	for {
		s.mu.Lock()
		hung, dead := s.hung, s.dead
		s.mu.Unlock()
		if dead {
			return false
		}
		if hung == nil {
			return true
		}
		select {
		case <-hung:
		case <-s.stopping:
			return false
		}
	}
}

// read handles what comes on a connection until its end.
func (s *Switch) read(l *switchLink) {
	if !s.wait() || faultproxy.PeerClosed(l.c) { // whoever dialled has given up meanwhile
		s.drop(l)
		return
	}
	s.mu.Lock()
	s.links[l.controller] = append(s.links[l.controller], l)
	var again []*heldCall
	if !l.lost { // else it was silenced while the switch hung, and never came up here
		again, s.repeat[l.controller] = s.repeat[l.controller], nil
	}
	s.mu.Unlock()
	s.write(l, s.group())
	for _, k := range again {
		s.writeRelease(l, k, causeNormal)
	}
	r := sip.NewReader(l.c)
	for {
		m, err := r.Read()
		if !s.wait() || err != nil {
			break
		}
		s.take(l, &m)
	}
	s.drop(l)
}

// drop ends a connection: the set-ups open on it are given up.
func (s *Switch) drop(l *switchLink) {
	l.c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.closed = true
	delete(s.accepted, l.c.RemoteAddr().String())
	var open []*switchLink
	for _, other := range s.links[l.controller] {
		if other != l {
			open = append(open, other)
		}
	}
	s.links[l.controller] = open
	for k := range l.calls {
		s.giveUp(k, "its connection ended")
	}
}

// giveUp ends a set-up without an answer; s.mu is held.
func (s *Switch) giveUp(k *heldCall, why string) {
	delete(k.link.calls, k)
	if k.over || k.stands {
		return
	}
	k.over = true
	s.used--
	s.log.Add(Event{Kind: TryGivenUp, Controller: k.controller, Switch: s.id, Call: k.id, Conn: k.link.conn, Text: why})
}

func (s *Switch) group() *sip.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &sip.Message{Method: sip.Notify, URI: "sip:group@net", CallID: "0", CSeq: 1, CSeqMethod: sip.Notify, Fields: []sip.Field{s.load()}}
}

// load is the report of the group's state; s.mu is held.
func (s *Switch) load() sip.Field {
	return sip.Field{Name: "P-Load", Value: fmt.Sprintf("x0:%d;x1:%d", max(0, s.plan.Switches.Circuits-s.used), s.plan.Switches.Circuits)}
}

func (s *Switch) write(l *switchLink, m *sip.Message) { s.writeRaw(l, sip.Append(nil, m)) }

func (s *Switch) writeRaw(l *switchLink, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.c.SetWriteDeadline(time.Now().Add(writeWithin)) // a connection that is gone is found by its reader
	_, _ = l.c.Write(b)
}

// lain is how long a message that is read now may have lain unread, through no fault of its sender.
func (s *Switch) lain(l *switchLink) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	span, now := time.Duration(0), s.log.Now()
	if s.hungFor > 0 && now-s.resumed < resumeRoom {
		span = s.hungFor + resumeRoom
	}
	if s.plan.ConnectMost > 0 && now-l.openedAt < resumeRoom {
		span += s.plan.ConnectMost
	}
	return span
}

func (s *Switch) take(l *switchLink, m *sip.Message) {
	switch m.Method {
	case sip.Invite:
		s.setUp(l, m)
	case sip.Cancel:
		s.mu.Lock()
		if k := s.calls[m.CallID]; k != nil && k.seq == m.CSeq && k.link == l {
			s.giveUp(k, "cancelled")
		}
		s.mu.Unlock()
	case sip.Bye:
		heard := m.Answer(sip.OK)
		s.write(l, &heard)
		s.released(m.CallID)
	case sip.Options:
		passed := m.Answer(sip.OK)
		s.write(l, &passed)
	}
}

// released takes a controller's release.
func (s *Switch) released(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.calls[id]; k != nil && k.stands && !k.over {
		k.over = true
		s.used--
		s.log.Add(Event{Kind: CallOver, Controller: k.controller, Switch: s.id, Call: id, Text: "released by the controller"})
	}
}

// answerKind is what becomes of a set-up.
type answerKind uint8

const (
	answerStands answerKind = iota
	answerRefused
	answerSpoilt
	answerBroken
	answerNever
	answerLate
	answerTwice
)

// drawAnswer draws what becomes of a set-up; s.mu is held.
func (s *Switch) drawAnswer() answerKind {
	p := s.plan.Switches
	x := s.random.Float64()
	for _, c := range []struct {
		share float64
		kind  answerKind
	}{{p.Refused, answerRefused}, {p.Spoilt, answerSpoilt}, {p.Broken, answerBroken}, {p.Never, answerNever}, {p.Late, answerLate}, {p.Twice, answerTwice}} {
		if x -= c.share; x < 0 {
			return c.kind
		}
	}
	return answerStands
}

func (s *Switch) setUp(l *switchLink, m *sip.Message) {
	s.log.Add(Event{Kind: TryArrived, Controller: l.controller, Switch: s.id, Call: m.CallID, Conn: l.conn, Span: s.lain(l), Text: string(m.Body)})
	s.mu.Lock()
	k := &heldCall{id: m.CallID, uri: m.URI, controller: l.controller, link: l, seq: m.CSeq}
	full := s.used >= s.plan.Switches.Circuits
	kind := s.drawAnswer()
	wait := upTo(s.random, s.plan.Switches.AnswerMin, s.plan.Switches.AnswerMax)
	if full {
		kind = answerRefused
	}
	if kind == answerLate {
		wait = s.plan.Deadline + lateAnswer
	}
	s.used++
	s.calls[k.id] = k
	l.calls[k] = struct{}{}
	s.mu.Unlock()
	if kind == answerNever {
		return
	}
	s.all.Go(func() {
		select {
		case <-time.After(wait):
		case <-s.stopping:
			return
		}
		s.answer(l, k, kind)
	})
}

// answer writes a set-up's final answer, in the way that was drawn.
func (s *Switch) answer(l *switchLink, k *heldCall, kind answerKind) {
	if !s.wait() {
		return
	}
	m := &sip.Message{Status: sip.OK, CallID: k.id, CSeq: k.seq, CSeqMethod: sip.Invite, Body: []byte(AnswerBody(s.id, k.id))}
	s.mu.Lock()
	if k.over {
		s.mu.Unlock()
		return
	}
	delete(l.calls, k)
	status, text := sip.OK, ""
	switch kind {
	case answerRefused:
		m.Status, m.Body = sip.ServiceUnavail, nil
		m.Fields = []sip.Field{{Name: "Warning-Word", Value: "atb"}}
		k.over = true
		s.used--
		status = m.Status
	case answerSpoilt, answerBroken:
		k.over = true
		s.used--
		status, text = 0, "spoilt"
	default:
		k.stands = true
	}
	m.Fields = append(m.Fields, s.load())
	s.log.Add(Event{Kind: TryEnded, Controller: k.controller, Switch: s.id, Call: k.id, Conn: l.conn, Status: status, Text: text})
	hold := upTo(s.random, s.plan.Switches.HoldMin, s.plan.Switches.HoldMax)
	s.mu.Unlock()
	octets := sip.Append(nil, m)
	switch kind {
	case answerSpoilt:
		s.writeRaw(l, append([]byte("SIP/2.0 noise\x00"), octets[:len(octets)/2]...))
		return
	case answerBroken:
		s.writeRaw(l, octets[:len(octets)/2])
		s.log.Add(Event{Kind: LinkLost, Controller: l.controller, Switch: s.id, Conn: l.conn, Text: "breaks off"})
		l.c.Close()
		return
	}
	s.writeRaw(l, octets)
	if kind == answerTwice {
		time.Sleep(time.Millisecond)
		s.writeRaw(l, octets)
	}
	if kind == answerRefused {
		return
	}
	s.log.Add(Event{Kind: CallStood, Controller: k.controller, Switch: s.id, Call: k.id, Conn: l.conn})
	select {
	case <-time.After(hold):
	case <-s.stopping:
		return
	}
	s.end(k, causeNormal)
}

// AnswerBody is the description with which a switch answers a call.
func AnswerBody(id uint32, call string) string { return "answer of " + board.Text(id) + " to " + call }

// end ends a call that stands and releases it towards its controller: on the connection of its set-up, else on any that is open, and on the
// next that opens as well.
func (s *Switch) end(k *heldCall, cause int) {
	if !s.wait() {
		return
	}
	s.mu.Lock()
	if k.over {
		s.mu.Unlock()
		return
	}
	k.over = true
	s.used--
	s.log.Add(Event{Kind: CallOver, Controller: k.controller, Switch: s.id, Call: k.id, Text: fmt.Sprintf("cause %d", cause)})
	l := k.link
	if l.closed {
		l = nil
		if open := s.links[k.controller]; len(open) > 0 {
			l = open[s.random.IntN(len(open))]
		}
	}
	s.repeat[k.controller] = append(s.repeat[k.controller], k)
	s.mu.Unlock()
	if l != nil {
		s.writeRelease(l, k, cause)
	}
}

func (s *Switch) writeRelease(l *switchLink, k *heldCall, cause int) {
	s.mu.Lock()
	load := s.load()
	s.mu.Unlock()
	s.write(l, &sip.Message{Method: sip.Bye, URI: k.uri, CallID: k.id, CSeq: 2, CSeqMethod: sip.Bye,
		Fields: []sip.Field{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}, load}})
	s.log.Add(Event{Kind: ReleaseWritten, Controller: k.controller, Switch: s.id, Call: k.id, Conn: l.conn})
}

// Hang has the switch neither read nor write until the returned function is called.
func (s *Switch) Hang() (resume func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hung != nil {
		return func() {}
	}
	hung := make(chan struct{})
	s.hung, s.hungAt = hung, s.log.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resumed = s.log.Now()
		s.hungFor = s.resumed - s.hungAt
		s.seeClosed()
		s.hung = nil
		close(hung)
	}
}

// seeClosed notes the connections that their controllers have closed, as a switch does that looks at its sockets before its timers; s.mu is held.
func (s *Switch) seeClosed() {
	for controller, links := range s.links {
		var open []*switchLink
		for _, l := range links {
			if l.closed = faultproxy.PeerClosed(l.c); !l.closed {
				open = append(open, l)
			}
		}
		s.links[controller] = open
	}
}

// CutCalls cuts every second call that stands.
func (s *Switch) CutCalls() {
	s.mu.Lock()
	var standing []*heldCall
	for _, k := range s.calls {
		if k.stands && !k.over && s.random.IntN(2) == 0 {
			standing = append(standing, k)
		}
	}
	s.mu.Unlock()
	for _, k := range standing {
		s.end(k, causeCut)
	}
}

// lose notes that connections of a controller are lost; from names the one, all where it is "".
func (s *Switch) lose(controller int, from, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, l := range s.accepted {
		if l.controller == controller && !l.closed && (from == "" || at == from) {
			l.lost = true
			s.log.Add(Event{Kind: LinkLost, Controller: controller, Switch: s.id, Conn: l.conn, Text: how})
		}
	}
}

// closedByController notes that a controller has closed its side of a connection, which the switch may not know yet.
func (s *Switch) closedByController(controller int, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.accepted[from]; l != nil && !l.closed {
		s.log.Add(Event{Kind: LinkClosed, Controller: controller, Switch: s.id, Conn: l.conn})
	}
}

// Die resets every connection and cuts every call, as a process that is killed does.
func (s *Switch) Die() {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return
	}
	s.dead = true
	close(s.stopping)
	for _, k := range s.calls {
		if k.over {
			continue
		}
		k.over = true
		if k.stands {
			s.log.Add(Event{Kind: CallOver, Controller: k.controller, Switch: s.id, Call: k.id, Text: "the switch died"})
		} else {
			s.log.Add(Event{Kind: TryGivenUp, Controller: k.controller, Switch: s.id, Call: k.id, Conn: k.link.conn, Text: "the switch died"})
		}
	}
	var links []*switchLink
	for _, some := range s.links {
		links = append(links, some...)
	}
	closers := s.closers
	s.mu.Unlock()
	for _, ln := range closers {
		ln.Close()
	}
	for _, l := range links {
		s.log.Add(Event{Kind: LinkLost, Controller: l.controller, Switch: s.id, Conn: l.conn, Text: "the switch died"})
		if t, ok := l.c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // it may be closed already
		}
		l.c.Close()
	}
}
