package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"time"

	"indigodrift/internal/sip"
)

// stopAccepting stops a listener after it has accepted the connections that the kernel has queued: closing it at once would reset
// these, and a set-up on one of them counts as accepted.
func stopAccepting(ln net.Listener) {
	if listener, ok := ln.(interface{ SetDeadline(time.Time) error }); !ok || listener.SetDeadline(time.Now().Add(finalAcceptTimeout)) != nil {
		ln.Close()
	}
}

// acceptCallers accepts connections of callers until the listener closes. While no slot is free, further connections wait in the
// kernel's queue.
func (s *Server) acceptCallers(ln net.Listener) {
	for {
		select {
		case s.callerSlots <- struct{}{}:
		case <-s.stopped:
			return
		}
		netConn, err := ln.Accept()
		if err != nil {
			<-s.callerSlots
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				ln.Close()
				return
			}
			select { // out of descriptors, or the connection broke before it was accepted
			case <-time.After(5 * time.Millisecond):
				continue
			case <-s.stopped:
				return
			}
		}
		conn := s.addConn(netConn)
		if !s.post(event{kind: callerConnected, connID: conn.id, conn: conn}) {
			s.removeConn(conn)
			<-s.callerSlots
			return
		}
		s.serveConn(conn, s.readCaller, s.callerSlots)
	}
}

// serveConn starts the writer and the reader of a connection. Its slot is free again once the connection is closed.
func (s *Server) serveConn(conn *connection, read func(*connection), slots <-chan struct{}) {
	s.goroutines.Go(conn.writeLoop)
	s.goroutines.Go(func() {
		read(conn)
		s.removeConn(conn)
		<-slots
	})
}

// readCaller reads a caller's messages until its connection ends.
func (s *Server) readCaller(conn *connection) {
	reader := s.newMessageReader(conn, s.largeFromCallers)
	defer reader.close()
	reader.ReadSoon = conn.readArrived // a set-up does not wait: if its length does not fit, it fails with the octets behind it
	reader.OnPartial = func() { s.post(event{kind: callerPartialMessage, connID: conn.id, readAt: s.now()}) }
	for {
		m, err := reader.Read()
		switch {
		// While the connection is being closed here, only releases and their answers still count.
		case err == nil && conn.isClosing() && m.Method != sip.Bye && m.CSeqMethod != sip.Bye:
			continue
		case err == nil:
			if m.Method == sip.Cancel {
				conn.addCancel(m.CallID)
			}
			conn.unhandledMessages.Add(1)
			if !s.post(event{kind: callerMessage, connID: conn.id, conn: conn, message: m, readAt: s.now(), handled: reader.handledSignal()}) {
				return
			}
			reader.messagePassed()
			runtime.Gosched() // a peer that sends at full speed must not use up the time slice that others wait for
			continue
		case errors.Is(err, sip.ErrMalformed), errors.Is(err, sip.ErrTooLong):
			s.post(event{kind: callerMalformed, connID: conn.id, message: m, err: err})
			discardInput(conn)
		case errors.Is(err, sip.ErrNoBuffer): // the connection is being closed
			discardInput(conn)
		}
		conn.inputEnded.Store(true)
		s.post(event{kind: callerDisconnected, connID: conn.id, err: err})
		return
	}
}

// discardInput discards further input until the answer is written and the connection closed.
func discardInput(conn *connection) {
	io.Copy(io.Discard, conn.netConn) //nolint:errcheck // only the end of the stream matters
}

// readSwitch reads a switch's messages until its connection ends.
func (s *Server) readSwitch(conn *connection) {
	reader := s.newMessageReader(conn, s.largeFromSwitches)
	defer reader.close()
	reader.ReadSoon = conn.readSoon
	reader.OnPartial = func() { s.post(event{kind: switchPartialMessage, connID: conn.id, readAt: s.now()}) }
	for {
		m, err := reader.Read()
		switch {
		case err != nil:
			s.post(event{kind: switchDisconnected, connID: conn.id, err: err})
			return
		// Messages are passed on also while the connection is being closed, since a release may cross the close.
		case !s.post(event{kind: switchMessage, connID: conn.id, message: m, handled: reader.handledSignal()}):
			return
		}
		reader.messagePassed()
		runtime.Gosched() // as in readCaller
	}
}
