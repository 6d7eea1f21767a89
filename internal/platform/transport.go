package platform

import (
	"context"
	"errors"
	"syscall"

	"indigodrift/internal/b2bua"
	"indigodrift/internal/sip"
	"indigodrift/internal/trunk"
)

// transport carries out what the agent requests: it is the server with the agent's output methods.
type transport Server

// conn returns the connection with an identifier, of a caller or to a switch, nil if it is closed.
func (t *transport) conn(id b2bua.ConnID) *connection {
	if conn := t.callerConns[id]; conn != nil {
		return conn
	}
	return t.switchConns[id]
}

// Write queues a message on a connection.
func (t *transport) Write(to b2bua.ConnID, m *sip.Message) {
	conn, copies := t.conn(to), 1
	if t.config.injectedFault != "" {
		copies = t.config.copies(t.callerConns[to] != nil, m)
	}
	s := (*Server)(t)
	for range copies {
		if conn != nil && !conn.enqueue(m) {
			s.logClosedByQueue(conn, "connection closed: the peer reads too slowly")
			conn.discard()
		}
	}
	s.closeLargestQueues()
}

// Backlog returns the octets that wait to be written on a connection.
func (t *transport) Backlog(id b2bua.ConnID) int {
	if conn := t.conn(id); conn != nil {
		return conn.queuedOctets()
	}
	return 0
}

// Close closes a connection after writing what is queued for it.
func (t *transport) Close(id b2bua.ConnID, reason string) {
	if conn := t.conn(id); conn != nil {
		conn.closeAfterWrite()
		delete(t.callerConns, id)
		delete(t.switchConns, id)
		if s := (*Server)(t); s.allowWarning() {
			s.log.Warn("connection closed: "+reason, "conn", id, "peer", conn.netConn.RemoteAddr())
		}
	}
}

// Dial opens a connection to a switch.
func (t *transport) Dial(switchID, dialID uint32, address string) {
	s := (*Server)(t)
	timeout := defaultDialTimeout
	if configured := s.config.Settings.DialTimeout; configured > 0 {
		timeout = trunk.Duration(configured)
	}
	select {
	case s.switchSlots <- struct{}{}:
	default: // many connections are being closed; their descriptors are free shortly
		s.goroutines.Go(func() {
			s.post(event{kind: dialFinished, switchID: switchID, dialID: dialID, outcome: b2bua.DialTimedOut})
		})
		return
	}
	s.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(s.runCtx, timeout)
		defer cancel()
		netConn, err := s.dial(ctx, address)
		e := event{kind: dialFinished, switchID: switchID, dialID: dialID, outcome: dialOutcome(err)}
		if err == nil {
			e.conn = s.addConn(netConn)
			e.connID = e.conn.id
		}
		posted := s.post(e)
		if !posted && e.conn != nil {
			s.removeConn(e.conn)
		}
		if !posted || e.conn == nil {
			<-s.switchSlots
		}
	})
}

// dialOutcome returns the outcome of a dial that ended with an error, or with none.
func dialOutcome(err error) b2bua.DialOutcome {
	switch {
	case err == nil:
		return b2bua.DialConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return b2bua.DialRefused
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ENOTCONN):
		return b2bua.DialReset
	}
	return b2bua.DialTimedOut
}

// Abandoned reports whether a caller has closed its connection or cancelled its call, even if that event is still in the inbox.
func (t *transport) Abandoned(caller b2bua.ConnID, callID string) bool {
	conn := t.callerConns[caller]
	return conn == nil || conn.abandoned(callID)
}

// Unhandled reports whether a message read on a caller's connection is still in the inbox.
func (t *transport) Unhandled(caller b2bua.ConnID) bool {
	conn := t.callerConns[caller]
	return conn != nil && conn.unhandledMessages.Load() > 0
}

// Log logs a line for operators.
func (t *transport) Log(text string) { (*Server)(t).warn(text) }
