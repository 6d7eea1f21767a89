// Package siptest has a far end that speaks SIP over one connection and is played by a test: a caller or a switch. Tests
// alone import it.
package siptest

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"indigodrift/internal/sip"
)

// heardMost messages wait for the test; then the connection is read no further.
const heardMost = 1000

// Peer is one end of a connection.
type Peer struct {
	t   *testing.T
	c   net.Conn
	got chan sip.Message // closed with the connection
}

// New plays the end c.
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

// Say writes a message, Raw what may be none.
func (p *Peer) Say(m sip.Message) { p.Raw(string(sip.Append(nil, &m))) }
func (p *Peer) Raw(text string)   { p.c.Write([]byte(text)) }

// Close ends the connection.
func (p *Peer) Close() { p.c.Close() }

// Stand answers a set-up with a description: the call stands.
func (p *Peer) Stand(m sip.Message, description string) {
	answer := m.Answer(sip.OK)
	answer.Body = []byte(description)
	p.Say(answer)
}

// Next is the next message that is no sign of life; false when the connection has ended or nothing came in time.
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

// Want is the next message, which must be of that method or status.
func (p *Peer) Want(what string) sip.Message {
	p.t.Helper()
	m, ok := p.Next(3 * time.Second)
	if got := m.Method; !ok || got != what && fmt.Sprint(m.Status) != what {
		p.t.Fatalf("came %v %+v, want %s", ok, m, what)
	}
	return m
}

// WantRelease wants the release of a call next, and answers it.
func (p *Peer) WantRelease(id string) {
	p.t.Helper()
	m := p.Want(sip.Bye)
	if m.CallID != id {
		p.t.Errorf("released %+v, want %s", m, id)
	}
	p.Say(m.Answer(sip.OK))
}

// ClosedWithin tells whether the connection ends in that time, whatever comes before.
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

// SetUp is a caller's set-up: a bearer type, the caller's wait in milliseconds, the figures of the call as P-Trunk-Info.
func SetUp(id, bearer string, expiresMS int, info, description string) sip.Message {
	return sip.Message{Method: sip.Invite, URI: "sip:7f3a9c21e0b4d655@net", CallID: id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte(description),
		Fields: []sip.Field{{Name: "Priority-Class", Value: bearer}, {Name: "Expires-Ms", Value: strconv.Itoa(expiresMS)}, {Name: "P-Trunk-Info", Value: info}}}
}

// Release releases a call with a Q.850 cause.
func Release(id string, cause int) sip.Message {
	return sip.Message{Method: sip.Bye, URI: "sip:x@net", CallID: id, CSeq: 2, CSeqMethod: sip.Bye,
		Fields: []sip.Field{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}}}
}

// Group tells the state of a group: its free circuits and its size.
func Group(free, size int) sip.Message {
	return sip.Message{Method: sip.Notify, URI: "sip:x@net", CallID: "0", CSeq: 1, CSeqMethod: sip.Notify,
		Fields: []sip.Field{{Name: "P-Load", Value: fmt.Sprintf("x0:%d;x1:%d", free, size)}}}
}
