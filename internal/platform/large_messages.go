package platform

import (
	"time"

	"indigodrift/internal/sip"
)

const (
	// Large messages, while they are received and until they are handled, may take 1/16 of the memory limit on connections of
	// callers, and as much on those to switches.
	largeMessageDivisor = 16
	octetsPerLarge      = 48 << 10 // a large buffer, the message and its body

	// closingCheckInterval is how often a reader that waits for a place notices that its connection is being closed.
	closingCheckInterval = 20 * time.Millisecond
)

// largeMessages limits how many connections receive, or have passed on, a large message at the same time: one entry each.
type largeMessages chan struct{}

func newLargeMessages(memory int) largeMessages {
	return make(largeMessages, max(1, memory/largeMessageDivisor/octetsPerLarge))
}

// acquire waits for a place. It returns false if the connection is being closed or the server has stopped.
func (l largeMessages) acquire(conn *connection, stopped <-chan struct{}) bool {
	for !conn.isClosing() {
		select {
		case l <- struct{}{}:
			return true
		case <-stopped:
			return false
		case <-time.After(closingCheckInterval):
		}
	}
	return false
}

func (l largeMessages) release() { <-l }

// messageReader reads the messages of one connection within the limit of large ones.
type messageReader struct {
	*sip.Reader
	places  largeMessages
	stopped <-chan struct{}
	handled chan struct{} // an entry for a large message that has been handled
}

func (s *Server) newMessageReader(conn *connection, places largeMessages) *messageReader {
	r := &messageReader{Reader: sip.NewReader(conn.netConn), places: places, stopped: s.stopped}
	r.BeforeLarge = func() bool { return places.acquire(conn, s.stopped) }
	return r
}

// handledSignal returns where the event loop has to signal that it has handled the message that was read last, nil if nobody
// waits for that.
func (r *messageReader) handledSignal() chan<- struct{} {
	if !r.Large() {
		return nil
	}
	r.handled = make(chan struct{}, 1)
	return r.handled
}

// messagePassed waits until a large message that was passed on has been handled, and gives back its place.
func (r *messageReader) messagePassed() {
	if !r.Large() {
		return
	}
	select {
	case <-r.handled:
	case <-r.stopped:
	}
	if r.Shrink() {
		r.places.release()
	}
}

// close gives back the place of the reader, if it has one.
func (r *messageReader) close() {
	if r.Large() {
		r.places.release()
	}
}
