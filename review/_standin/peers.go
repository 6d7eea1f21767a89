package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, 32<<10) }

// farSwitch is a switch: it answers each set-up after a time, holds the call, and releases it.
type farSwitch struct {
	rec         *record
	id          uint32
	cell        int
	circuits    int
	answerAfter func() time.Duration
	hold        func() time.Duration
	ln          net.Listener
	mu          sync.Mutex
	links       []*wire
	legs        map[string]*leg
	toRepeat    []*msg // releases that go on the next connection as well
	used        int
	setUps      int
	gone        bool
	seen        map[string]bool // ids of the set-ups that came
	releasedAt  map[string]time.Time
}

type leg struct {
	link *wire
	cseq int
	up   bool
	body []byte
}

func newSwitch(rec *record, id uint32, cell, circuits int, answerAfter, hold func() time.Duration) *farSwitch {
	return newSwitchAt(rec, id, cell, circuits, answerAfter, hold, listenLoopback())
}

func newSwitchAt(rec *record, id uint32, cell, circuits int, answerAfter, hold func() time.Duration, ln net.Listener) *farSwitch {
	s := &farSwitch{rec: rec, id: id, cell: cell, circuits: circuits, answerAfter: answerAfter, hold: hold, ln: ln, legs: map[string]*leg{},
		seen: map[string]bool{}, releasedAt: map[string]time.Time{}}
	go s.accept(ln)
	return s
}

func (s *farSwitch) entry() entry { return entry{id: s.id, addr: s.ln.Addr().String(), cell: s.cell} }

func (s *farSwitch) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serve(&wire{c: c})
	}
}

func (s *farSwitch) load() [2]string {
	return [2]string{"P-Load", fmt.Sprintf("x0:%d;x1:%d;eps:0;latency_ms:1", max(0, s.circuits-s.used), s.circuits)}
}

func (s *farSwitch) serve(w *wire) {
	s.mu.Lock()
	s.links = append(s.links, w)
	repeat := s.toRepeat
	s.toRepeat = nil
	report := &msg{method: "NOTIFY", uri: "sip:group@net", callID: "0", cseq: 1, fields: [][2]string{s.load()}}
	s.mu.Unlock()
	w.send(report)
	for _, m := range repeat {
		w.send(m)
	}
	r := newReader(w.c)
	for {
		m, err := readMsg(r)
		if err != nil {
			break
		}
		s.handle(w, m)
	}
	w.c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.links {
		if other == w {
			s.links = append(s.links[:i], s.links[i+1:]...)
			break
		}
	}
	for id, l := range s.legs {
		if l.link == w && !l.up {
			delete(s.legs, id)
			s.used--
		}
	}
}

func (s *farSwitch) handle(w *wire, m *msg) {
	switch {
	case m.method == "OPTIONS":
		w.send(&msg{status: 200, callID: m.callID, cseq: m.cseq, cseqOf: "OPTIONS"})
	case m.method == "INVITE":
		s.mu.Lock()
		s.setUps++
		s.seen[m.callID] = true
		if s.used >= s.circuits || s.legs[m.callID] != nil {
			out := &msg{status: 503, callID: m.callID, cseq: m.cseq, cseqOf: "INVITE", fields: [][2]string{{"Warning-Word", "atb"}, s.load()}}
			s.mu.Unlock()
			w.send(out)
			return
		}
		s.used++
		l := &leg{link: w, cseq: m.cseq, body: []byte(fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n", rand.Uint64()))}
		s.legs[m.callID] = l
		s.mu.Unlock()
		time.AfterFunc(s.answerAfter(), func() { s.answer(m, l) })
	case m.method == "CANCEL":
		s.mu.Lock()
		if l := s.legs[m.callID]; l != nil && !l.up && l.link == w {
			delete(s.legs, m.callID)
			s.used--
		}
		s.mu.Unlock()
	case m.method == "BYE":
		s.mu.Lock()
		if s.legs[m.callID] != nil {
			delete(s.legs, m.callID)
			s.used--
		}
		s.mu.Unlock()
		w.send(&msg{status: 200, callID: m.callID, cseq: m.cseq, cseqOf: "BYE"})
	}
}

func (s *farSwitch) answer(m *msg, l *leg) {
	s.mu.Lock()
	if s.legs[m.callID] != l || s.gone {
		s.mu.Unlock()
		return
	}
	l.up = true
	out := &msg{status: 200, callID: m.callID, cseq: m.cseq, cseqOf: "INVITE", body: l.body, fields: [][2]string{s.load()}}
	s.mu.Unlock()
	l.link.send(out)
	time.AfterFunc(s.hold(), func() { s.release(m.callID, l) })
}

// release ends a call that stands: on the connection of its set-up, else on any, and on the next that opens as well.
func (s *farSwitch) release(callID string, l *leg) {
	s.mu.Lock()
	if s.legs[callID] != l || s.gone {
		s.mu.Unlock()
		return
	}
	delete(s.legs, callID)
	s.used--
	out := &msg{method: "BYE", uri: "sip:call@net", callID: callID, cseq: 2, fields: [][2]string{{"Reason", "Q.850;cause=16"}, s.load()}}
	var to *wire
	for _, w := range s.links {
		if w == l.link || to == nil {
			to = w
		}
	}
	s.toRepeat = append(s.toRepeat, out)
	s.releasedAt[callID] = time.Now()
	s.mu.Unlock()
	if to != nil {
		to.send(out)
	}
}

// stop ends a switch.
func (s *farSwitch) stop() {
	s.ln.Close()
	s.mu.Lock()
	s.gone = true
	links := append([]*wire(nil), s.links...)
	s.mu.Unlock()
	for _, w := range links {
		w.reset()
	}
}

// newID returns a new call id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// setUp returns a set-up.
func setUp(id, class string, dest, expiresMS int) *msg {
	return &msg{method: "INVITE", uri: fmt.Sprintf("sip:%016x@net", rand.Uint64()), callID: id, cseq: 1, fields: [][2]string{
		{"Priority-Class", class}, {"Expires-Ms", fmt.Sprint(expiresMS)}, {"P-Trunk-Info", fmt.Sprintf("dest:%d;width:1;via:-1", dest)}},
		body: []byte(fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 30000 RTP/AVP 0 8 101\r\n", rand.Uint64()))}
}

// call is one call of a usual client.
type call struct {
	id       string
	sentAt   time.Time
	expires  time.Duration
	status   int // of the final answer, 0 if there is none
	answered time.Time
	answers  int
	released time.Time
	ended    error // the end of its connection without an answer
	endedAt  time.Time
	done     chan struct{}
	client   *client
	number   int // of the set-up on its connection, from 1
}

// client is one connection of a usual client. It answers releases and acknowledges answers.
type client struct {
	w      *wire
	mu     sync.Mutex
	calls  map[string]*call
	over   bool // the connection has ended
	overAt time.Time
	find   func(callID string) *call // a call that came on another connection
	stray  int                       // messages for calls that it doesn't know
}

func dialClient(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{w: &wire{c: c}, calls: map[string]*call{}}
	go cl.read()
	return cl, nil
}

func (cl *client) read() {
	r := newReader(cl.w.c)
	var err error
	var m *msg
	for {
		if m, err = readMsg(r); err != nil {
			break
		}
		cl.mu.Lock()
		k := cl.calls[m.callID]
		switch {
		case m.status >= 200 && m.cseqOf == "INVITE" && k != nil:
			if k.answers++; k.answers == 1 {
				k.status, k.answered = m.status, time.Now()
				close(k.done)
			}
			cl.mu.Unlock()
			cl.w.send(&msg{method: "ACK", uri: "sip:call@net", callID: m.callID, cseq: m.cseq})
			continue
		case m.method == "BYE":
			cl.mu.Unlock()
			if k == nil && cl.find != nil {
				k = cl.find(m.callID)
			}
			if k != nil {
				k.client.mu.Lock()
				if k.released.IsZero() {
					k.released = time.Now()
				}
				k.client.mu.Unlock()
			} else {
				cl.mu.Lock()
				cl.stray++
				cl.mu.Unlock()
			}
			cl.w.send(&msg{status: 200, callID: m.callID, cseq: m.cseq, cseqOf: "BYE"})
			continue
		}
		cl.mu.Unlock()
	}
	cl.w.c.Close()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.over, cl.overAt = true, time.Now()
	for _, k := range cl.calls {
		if k.answers == 0 && k.ended == nil {
			k.ended, k.endedAt = err, time.Now()
			close(k.done)
		}
	}
}

// place sends a set-up.
func (cl *client) place(class string, dest, expiresMS int) (*call, error) {
	k := &call{id: newID(), expires: time.Duration(expiresMS) * time.Millisecond, done: make(chan struct{}), client: cl, sentAt: time.Now()}
	cl.mu.Lock()
	if cl.over {
		cl.mu.Unlock()
		return nil, net.ErrClosed
	}
	cl.calls[k.id] = k
	k.number = len(cl.calls)
	cl.mu.Unlock()
	err := cl.w.send(setUp(k.id, class, dest, expiresMS))
	return k, err
}

func (cl *client) closed() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.over
}
