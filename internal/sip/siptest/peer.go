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

// heardMost bounds the received messages that wait for the test; beyond it the connection is not read.
const heardMost = 1000

// Peer is a SIP peer at one end of a connection.
type Peer struct {
	t   *testing.T
	c   net.Conn
	got chan sip.Message // closed with the connection
}

// New returns a peer at the end c of a connection and starts reading it.
func New(t *testing.T, c net.Conn) *Peer {
	p := &Peer{t: t, c: c, got: make(chan sip.Message, heardMost)}
	go func() {
		defer close(p.got)
		r := sip.NewReader(c)
		for {
			m, err := r.Read()
			if err != nil {
				return
			}
			p.got <- m
		}
	}()
	return p
}

// Say sends a message.
func (p *Peer) Say(m sip.Message) { p.Raw(string(sip.Append(nil, &m))) }

// Raw sends a text that need not be a valid message.
func (p *Peer) Raw(text string) { p.c.Write([]byte(text)) }

// Close closes the connection.
func (p *Peer) Close() { p.c.Close() }

// Stand accepts the set-up m with a 200 response and a session description.
func (p *Peer) Stand(m sip.Message, description string) {
	answer := m.Answer(sip.OK)
	answer.Body = []byte(description)
	p.Say(answer)
}

// Next returns the next message and answers the keepalives before it. It returns false if the connection has ended or nothing
// arrived in time.
func (p *Peer) Next(within time.Duration) (sip.Message, bool) {
	until := time.After(within)
	for {
		select {
		case m, ok := <-p.got:
			if ok && m.Method == sip.Options {
				p.Say(m.Answer(sip.OK))
				continue
			}
			return m, ok
		case <-until:
			return sip.Message{}, false
		}
	}
}

// Want returns the next message, which must have the given method or status.
func (p *Peer) Want(what string) sip.Message {
	p.t.Helper()
	m, ok := p.Next(3 * time.Second)
	if got := m.Method; !ok || got != what && fmt.Sprint(m.Status) != what {
		p.t.Fatalf("received %v %+v, want %s", ok, m, what)
	}
	return m
}

// WantRelease expects the release of a call as the next message and answers it.
func (p *Peer) WantRelease(id string) {
	p.t.Helper()
	m := p.Want(sip.Bye)
	if m.CallID != id {
		p.t.Errorf("released %+v, want %s", m, id)
	}
	p.Say(m.Answer(sip.OK))
}

// ClosedWithin reports whether the connection ends within a time. Messages before the end are discarded.
func (p *Peer) ClosedWithin(span time.Duration) bool {
	until := time.After(span)
	for {
		select {
		case _, ok := <-p.got:
			if !ok {
				return true
			}
		case <-until:
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

// Group returns a load report of a switch: the free circuits and the size of its trunk group.
func Group(free, size int) sip.Message {
	return sip.Message{Method: sip.Notify, URI: "sip:x@net", CallID: "0", CSeq: 1, CSeqMethod: sip.Notify,
		Fields: []sip.Field{{Name: "P-Load", Value: fmt.Sprintf("x0:%d;x1:%d", free, size)}}}
}
