// Package siptest provides a scripted SIP peer on one connection, a caller or a switch, for tests.
package siptest

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"indigodrift/internal/sip"
)

// maxQueuedMessages bounds the received messages that wait for the test; beyond it the connection is not read.
const maxQueuedMessages = 1000

// Peer is a SIP peer at one end of a connection.
type Peer struct {
	t        *testing.T
	conn     net.Conn
	received chan sip.Message // closed with the connection
}

// New returns a peer that uses and reads a connection.
func New(t *testing.T, conn net.Conn) *Peer {
	p := &Peer{t: t, conn: conn, received: make(chan sip.Message, maxQueuedMessages)}
	go func() {
		defer close(p.received)
		reader := sip.NewReader(conn)
		for {
			m, err := reader.Read()
			if err != nil {
				return
			}
			p.received <- m
		}
	}()
	return p
}

// Send sends a message.
func (p *Peer) Send(m sip.Message) { p.SendRaw(string(sip.Append(nil, &m))) }

// SendRaw sends a text that need not be a valid message.
func (p *Peer) SendRaw(text string) { p.conn.Write([]byte(text)) }

// Close closes the connection.
func (p *Peer) Close() { p.conn.Close() }

// Answer accepts the set-up m with a 200 response and a session description.
func (p *Peer) Answer(m sip.Message, description string) {
	answer := m.Response(sip.OK)
	answer.Body = []byte(description)
	p.Send(answer)
}

// Receive returns the next message and answers the keepalives before it. It returns false if the connection has ended or nothing
// arrived in time.
func (p *Peer) Receive(timeout time.Duration) (sip.Message, bool) {
	expired := time.After(timeout)
	for {
		select {
		case m, ok := <-p.received:
			if ok && m.Method == sip.Options {
				p.Send(m.Response(sip.OK))
				continue
			}
			return m, ok
		case <-expired:
			return sip.Message{}, false
		}
	}
}

// Expect returns the next message and fails the test if that has another method or status.
func (p *Peer) Expect(methodOrStatus string) sip.Message {
	p.t.Helper()
	m, ok := p.Receive(3 * time.Second)
	if got := m.Method; !ok || got != methodOrStatus && fmt.Sprint(m.Status) != methodOrStatus {
		p.t.Fatalf("received %v %+v, want %s", ok, m, methodOrStatus)
	}
	return m
}

// ExpectRelease answers the next message, which must be the release of a call.
func (p *Peer) ExpectRelease(id string) {
	p.t.Helper()
	m := p.Expect(sip.Bye)
	if m.CallID != id {
		p.t.Errorf("released %+v, want %s", m, id)
	}
	p.Send(m.Response(sip.OK))
}

// ClosedWithin reports whether the connection ends within a time. Messages before the end are discarded.
func (p *Peer) ClosedWithin(timeout time.Duration) bool {
	expired := time.After(timeout)
	for {
		select {
		case _, ok := <-p.received:
			if !ok {
				return true
			}
		case <-expired:
			return false
		}
	}
}

// SetUp returns a caller's set-up with the given bearer type, abandon time in milliseconds, P-Trunk-Info and session description.
func SetUp(id, bearer string, expiresMS int, info, description string) sip.Message {
	return sip.Message{Method: sip.Invite, URI: "sip:7f3a9c21e0b4d655@net", CallID: id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte(description),
		Fields: []sip.Field{{Name: "Priority-Class", Value: bearer}, {Name: "Expires-Ms", Value: strconv.Itoa(expiresMS)}, {Name: "P-Trunk-Info", Value: info}}}
}

// Release returns the release of a call with a Q.850 cause.
func Release(id string, cause int) sip.Message {
	return sip.Message{Method: sip.Bye, URI: "sip:x@net", CallID: id, CSeq: 2, CSeqMethod: sip.Bye,
		Fields: []sip.Field{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}}}
}

// LoadReport returns a load report of a switch: the free circuits and the size of its trunk group.
func LoadReport(free, size int) sip.Message {
	return sip.Message{Method: sip.Notify, URI: "sip:x@net", CallID: "0", CSeq: 1, CSeqMethod: sip.Notify,
		Fields: []sip.Field{{Name: "P-Load", Value: fmt.Sprintf("x0:%d;x1:%d", free, size)}}}
}
