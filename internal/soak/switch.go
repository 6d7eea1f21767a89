package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"indigodrift/internal/faultproxy"
	"indigodrift/internal/sip"
)

const (
	writeWithin = time.Second
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
	runs     map[string][]*run      // by call
	number   int                    // of the last run
	repeat   map[int][]release      // that go on the next connection as well
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
	runs       map[*run]struct{} // set-ups open on it
	saidAt     time.Duration     // when a message came on it last
	closed     bool
	lost       bool // nothing passes on it any more
}

func newSwitch(log *Log, plan Plan, id uint32, cell int, bornMS int64) *Switch {
	return &Switch{log: log, plan: plan, id: id, cell: cell, bornMS: bornMS, random: rand.New(rand.NewPCG(plan.Seed, uint64(id))),
		links: map[int][]*switchLink{}, accepted: map[string]*switchLink{}, runs: map[string][]*run{}, repeat: map[int][]release{}, stopping: make(chan struct{})}
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
			l := &switchLink{conn: s.log.Conn(), c: c, controller: controller, openedAt: s.log.Now(), saidAt: s.log.Now(), runs: map[*run]struct{}{}}
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
	var again []release
	fresh := s.random.Float64() < s.plan.Switches.ResetNew
	if !l.lost && !fresh { // else it was silenced while the switch hung, and never came up here
		again, s.repeat[l.controller] = s.repeat[l.controller], nil
	}
	s.mu.Unlock()
	if fresh {
		s.reset(l, "reset when new")
		s.drop(l)
		return
	}
	s.write(l, s.group())
	for _, r := range again {
		s.writeRelease(l, r)
	}
	if s.plan.Switches.Unasked > 0 {
		s.all.Go(func() { s.report(l) })
	}
	if s.plan.Switches.IdleClose > 0 {
		s.all.Go(func() { s.closeIdle(l) })
	}
	r := sip.NewReader(l.c)
	for {
		m, err := r.Read()
		if !s.wait() || err != nil {
			break
		}
		s.mu.Lock()
		l.saidAt = s.log.Now()
		s.mu.Unlock()
		s.take(l, &m)
	}
	s.drop(l)
}

// report tells the group's state on a connection again and again, unasked.
func (s *Switch) report(l *switchLink) {
	for s.pause(s.plan.Switches.Unasked) {
		s.mu.Lock()
		closed := l.closed
		s.mu.Unlock()
		if closed {
			return
		}
		s.write(l, s.group())
	}
}

// closeIdle closes a connection on which no set-up is open and nothing has come for long, or resets it.
func (s *Switch) closeIdle(l *switchLink) {
	for {
		select {
		case <-s.stopping:
			return
		case <-time.After(s.plan.Switches.IdleClose / 4):
		}
		s.mu.Lock()
		idle := len(l.runs) == 0 && s.hung == nil && s.log.Now()-l.saidAt > s.plan.Switches.IdleClose
		closed, reset := l.closed, s.random.IntN(2) == 0
		s.mu.Unlock()
		switch {
		case closed:
			return
		case idle && reset:
			s.reset(l, "reset when idle")
			return
		case idle:
			l.c.Close()
			return
		}
	}
}

// reset resets a connection.
func (s *Switch) reset(l *switchLink, why string) {
	s.log.Add(Event{Kind: LinkLost, Controller: l.controller, Switch: s.id, Conn: l.conn, Text: why})
	if t, ok := l.c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it may be closed already
	}
	l.c.Close()
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
	for r := range l.runs {
		s.giveUp(r, "its connection ended")
	}
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

// loseOne notes that the connection of a controller from an address is lost; there is none where it is "".
func (s *Switch) loseOne(controller int, from, how string) {
	if from != "" {
		s.lose(controller, from, how)
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
	for _, runs := range s.runs {
		for _, r := range runs {
			s.giveUp(r, "the switch died")
			s.over(r, "the switch died")
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
