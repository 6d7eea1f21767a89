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
	writeTimeout = time.Second
	resumeMargin = 200 * time.Millisecond // messages read within it after a hang may have been unread during the hang
)

// Switch simulates one switch process of an exchange. It holds circuits, answers set-ups and releases calls. The switch of a cell that is killed
// or replaced is succeeded by another Switch.
type Switch struct {
	log       *Log
	plan      Plan
	id        uint32
	cell      int
	startedMS int64 // Unix time in milliseconds, 0 if it started with the run

	mu               sync.Mutex
	random           *rand.Rand
	conns            map[int][]*switchConn  // open ones by controller, in the order in which they opened
	connsByAddr      map[string]*switchConn // by remote address, including those that the switch does not read yet
	legs             map[string][]*callLeg  // by call id
	lastLeg          int                    // number of the last leg
	repeatedReleases map[int][]release      // to repeat on the next connection, by controller
	usedCircuits     int
	hangEnd          chan struct{} // closed when the switch resumes, nil unless it hangs
	hangDuration     time.Duration
	hangStart        time.Duration
	resumedAt        time.Duration
	dead             bool
	listeners        []net.Listener
	wg               sync.WaitGroup
	died             chan struct{}
}

// switchConn is a connection of a controller to a switch.
type switchConn struct {
	id         int
	netConn    net.Conn
	controller int
	openedAt   time.Duration
	mu         sync.Mutex
	legs       map[*callLeg]struct{} // whose set-ups are pending on it
	lastReadAt time.Duration         // time of the last message read
	closed     bool
	lost       bool // silenced or reset by a fault
}

func newSwitch(log *Log, plan Plan, id uint32, cell int, startedMS int64) *Switch {
	return &Switch{log: log, plan: plan, id: id, cell: cell, startedMS: startedMS, random: rand.New(rand.NewPCG(plan.Seed, uint64(id))),
		conns: map[int][]*switchConn{}, connsByAddr: map[string]*switchConn{}, legs: map[string][]*callLeg{}, repeatedReleases: map[int][]release{}, died: make(chan struct{})}
}

// serve accepts the connections of a controller.
func (s *Switch) serve(controller int, ln net.Listener) {
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	s.wg.Go(func() {
		for {
			netConn, err := ln.Accept()
			if err != nil {
				return
			}
			conn := &switchConn{id: s.log.NewConnID(), netConn: netConn, controller: controller, openedAt: s.log.Now(), lastReadAt: s.log.Now(),
				legs: map[*callLeg]struct{}{}}
			s.mu.Lock()
			s.connsByAddr[netConn.RemoteAddr().String()] = conn
			s.mu.Unlock()
			s.wg.Go(func() { s.serveConn(conn) })
		}
	})
}

// awaitResume blocks while the switch hangs. It returns false if the switch is dead.
func (s *Switch) awaitResume() bool {
	for {
		s.mu.Lock()
		hangEnd, dead := s.hangEnd, s.dead
		s.mu.Unlock()
		if dead {
			return false
		}
		if hangEnd == nil {
			return true
		}
		select {
		case <-hangEnd:
		case <-s.died:
			return false
		}
	}
}

// serveConn handles the messages on a connection until it ends.
func (s *Switch) serveConn(conn *switchConn) {
	if !s.awaitResume() || faultproxy.PeerClosed(conn.netConn) { // the controller gave up the dial during the hang
		s.dropConn(conn)
		return
	}
	s.mu.Lock()
	s.conns[conn.controller] = append(s.conns[conn.controller], conn)
	var repeated []release
	resetNew := s.random.Float64() < s.plan.Switches.ResetNewShare
	if !conn.lost && !resetNew { // a connection silenced during a hang never carries them
		repeated, s.repeatedReleases[conn.controller] = s.repeatedReleases[conn.controller], nil
	}
	s.mu.Unlock()
	if resetNew {
		s.resetConn(conn, "reset when new")
		s.dropConn(conn)
		return
	}
	s.send(conn, s.loadReport())
	for _, r := range repeated {
		s.sendRelease(conn, r)
	}
	if s.plan.Switches.LoadReportInterval > 0 {
		s.wg.Go(func() { s.sendLoadReports(conn) })
	}
	if s.plan.Switches.IdleTimeout > 0 {
		s.wg.Go(func() { s.closeWhenIdle(conn) })
	}
	r := sip.NewReader(conn.netConn)
	for {
		message, err := r.Read()
		if !s.awaitResume() || err != nil {
			break
		}
		s.mu.Lock()
		conn.lastReadAt = s.log.Now()
		s.mu.Unlock()
		s.handle(conn, &message)
	}
	s.dropConn(conn)
}

// sendLoadReports sends unsolicited load reports on a connection until it closes.
func (s *Switch) sendLoadReports(conn *switchConn) {
	for s.sleepUnlessDead(s.plan.Switches.LoadReportInterval) {
		s.mu.Lock()
		closed := conn.closed
		s.mu.Unlock()
		if closed {
			return
		}
		s.send(conn, s.loadReport())
	}
}

// closeWhenIdle closes or resets a connection once it has no pending set-up and has received nothing for the idle timeout.
func (s *Switch) closeWhenIdle(conn *switchConn) {
	for {
		select {
		case <-s.died:
			return
		case <-time.After(s.plan.Switches.IdleTimeout / 4):
		}
		s.mu.Lock()
		idle := len(conn.legs) == 0 && s.hangEnd == nil && s.log.Now()-conn.lastReadAt > s.plan.Switches.IdleTimeout
		closed, reset := conn.closed, s.random.IntN(2) == 0
		s.mu.Unlock()
		switch {
		case closed:
			return
		case idle && reset:
			s.resetConn(conn, "reset when idle")
			return
		case idle:
			conn.netConn.Close()
			return
		}
	}
}

// resetConn records a connection as lost and resets it.
func (s *Switch) resetConn(conn *switchConn, reason string) {
	s.log.Add(Event{Kind: SwitchConnLost, Controller: conn.controller, SwitchID: s.id, ConnID: conn.id, Detail: reason})
	if tcpConn, ok := conn.netConn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0) // may be closed already
	}
	conn.netConn.Close()
}

// dropConn closes a connection and abandons its pending set-ups.
func (s *Switch) dropConn(conn *switchConn) {
	conn.netConn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.closed = true
	delete(s.connsByAddr, conn.netConn.RemoteAddr().String())
	var open []*switchConn
	for _, other := range s.conns[conn.controller] {
		if other != conn {
			open = append(open, other)
		}
	}
	s.conns[conn.controller] = open
	for leg := range conn.legs {
		s.abandonSetUp(leg, "its connection ended")
	}
}

// loadReport returns a NOTIFY with the load of the circuit group.
func (s *Switch) loadReport() *sip.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &sip.Message{Method: sip.Notify, URI: "sip:group@net", CallID: "0", CSeq: 1, CSeqMethod: sip.Notify, Fields: []sip.Field{s.loadField()}}
}

// loadField returns the field with the free circuits and the size of the group. s.mu must be held.
func (s *Switch) loadField() sip.Field {
	return sip.Field{Name: "P-Load", Value: fmt.Sprintf("x0:%d;x1:%d", max(0, s.plan.Switches.Circuits-s.usedCircuits), s.plan.Switches.Circuits)}
}

// send writes a message on a connection.
func (s *Switch) send(conn *switchConn, message *sip.Message) {
	s.sendOctets(conn, sip.Append(nil, message))
}

// sendOctets writes octets on a connection.
func (s *Switch) sendOctets(conn *switchConn, octets []byte) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	_ = conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the reader detects a lost connection
	_, _ = conn.netConn.Write(octets)
}

// maxUnreadTime returns how long a message that is read now may have been unread because of a hang or a slow connection set-up.
func (s *Switch) maxUnreadTime(conn *switchConn) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	unread, now := time.Duration(0), s.log.Now()
	if s.hangDuration > 0 && now-s.resumedAt < resumeMargin {
		unread = s.hangDuration + resumeMargin
	}
	if s.plan.MaxConnectDelay > 0 && now-conn.openedAt < resumeMargin {
		unread += s.plan.MaxConnectDelay
	}
	return unread
}

// Hang makes the switch neither read nor write until the returned function is called.
func (s *Switch) Hang() (resume func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hangEnd != nil {
		return func() {}
	}
	hangEnd := make(chan struct{})
	s.hangEnd, s.hangStart = hangEnd, s.log.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resumedAt = s.log.Now()
		s.hangDuration = s.resumedAt - s.hangStart
		s.removeClosedConns()
		s.hangEnd = nil
		close(hangEnd)
	}
}

// removeClosedConns removes the connections that controllers closed during a hang, as a switch that reads its sockets before it serves its timers.
// s.mu must be held.
func (s *Switch) removeClosedConns() {
	for controller, conns := range s.conns {
		var open []*switchConn
		for _, conn := range conns {
			if conn.closed = faultproxy.PeerClosed(conn.netConn); !conn.closed {
				open = append(open, conn)
			}
		}
		s.conns[controller] = open
	}
}

// recordConnLost records that the connection of a controller from a remote address is lost. It does nothing if the address is "".
func (s *Switch) recordConnLost(controller int, remoteAddr, loss string) {
	if remoteAddr != "" {
		s.recordConnsLost(controller, remoteAddr, loss)
	}
}

// recordConnsLost records that the connection of a controller from a remote address is lost, or all of its connections if the address is "".
func (s *Switch) recordConnsLost(controller int, remoteAddr, loss string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, conn := range s.connsByAddr {
		if conn.controller == controller && !conn.closed && (remoteAddr == "" || addr == remoteAddr) {
			conn.lost = true
			s.log.Add(Event{Kind: SwitchConnLost, Controller: controller, SwitchID: s.id, ConnID: conn.id, Detail: loss})
		}
	}
}

// recordConnClosed records that a controller has closed its end of a connection. The switch itself may read the close later.
func (s *Switch) recordConnClosed(controller int, remoteAddr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn := s.connsByAddr[remoteAddr]; conn != nil && !conn.closed {
		s.log.Add(Event{Kind: SwitchConnClosed, Controller: controller, SwitchID: s.id, ConnID: conn.id})
	}
}

// Kill resets all connections and ends all calls, as when the process is killed.
func (s *Switch) Kill() {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return
	}
	s.dead = true
	close(s.died)
	for _, legs := range s.legs {
		for _, leg := range legs {
			s.abandonSetUp(leg, "the switch died")
			s.endLeg(leg, "the switch died")
		}
	}
	var conns []*switchConn
	for _, controllerConns := range s.conns {
		conns = append(conns, controllerConns...)
	}
	listeners := s.listeners
	s.mu.Unlock()
	for _, ln := range listeners {
		ln.Close()
	}
	for _, conn := range conns {
		s.log.Add(Event{Kind: SwitchConnLost, Controller: conn.controller, SwitchID: s.id, ConnID: conn.id, Detail: "the switch died"})
		if tcpConn, ok := conn.netConn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0) // may be closed already
		}
		conn.netConn.Close()
	}
}
