package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

const (
	idleClose   = 4 * time.Second // callers close a connection after so long with no call on it
	crossWithin = 50 * time.Millisecond
	dialWithin  = 500 * time.Millisecond
	answerLater = 900 * time.Millisecond // how late AnswerLate is, at most
	noneFreeFor = 200 * time.Millisecond // after a planned end has begun to show, a new connection is made where none is open
	standMost   = 4096                   // calls that a group remembers
	briefLeast  = 5 * time.Millisecond   // what calls with little time left have
	briefMost   = 250 * time.Millisecond
)

// admission is what the front allows callers towards a controller.
type admission uint8

const (
	admitAll  admission = iota
	admitOpen           // requests on open connections only: the controller is told to end
	admitNone           // it is down
)

// Callers are the callers of one controller.
type Callers struct {
	log        *Log
	plan       Plan
	own        CallerPlan
	controller int
	address    string

	mu       sync.Mutex
	random   *rand.Rand
	admit    admission
	openFrom time.Duration // since when it is so
	open     []*callerLink
	calls    map[string]*placedCall
	number   int
	paused   bool // callers call no more
	stopped  chan struct{}
	all      sync.WaitGroup
}

// callerLink is a connection of a caller.
type callerLink struct {
	conn     int
	c        net.Conn
	answer   ReleaseAnswer
	mu       sync.Mutex // writes
	usedAt   time.Duration
	silenced bool
	faulted  bool // the rig has reset it
	closing  bool // its caller closes it
	gone     bool
}

// placedCall is a call as its caller sees it.
type placedCall struct {
	id       string
	link     *callerLink
	sentAt   time.Duration
	message  sip.Message
	again    bool // it was sent once more already
	answered bool
	stands   bool
	over     bool
	givenUp  bool
	at       uint32 // the switch where it stands
	transit  int    // its destination from 1, where it is in transit
}

func newCallers(log *Log, plan Plan, controller int, address string) *Callers {
	return &Callers{log: log, plan: plan, own: plan.Callers[controller], controller: controller, address: address, admit: admitNone,
		random: rand.New(rand.NewPCG(plan.Seed, uint64(0xca11e0+controller))), calls: map[string]*placedCall{}, stopped: make(chan struct{})}
}

// run has callers call until stop.
func (g *Callers) run() {
	for {
		g.mu.Lock()
		wait := time.Duration(g.random.ExpFloat64() / g.own.Rate * float64(time.Second))
		g.mu.Unlock()
		select {
		case <-g.stopped:
			return
		case <-time.After(wait):
		}
		g.closeIdle()
		g.mu.Lock()
		paused := g.paused
		g.mu.Unlock()
		if !paused {
			g.call()
		}
	}
}

// allow says what the front allows from now on. With admitAll, after a start, callers come at once and tell of the calls that stand.
func (g *Callers) allow(a admission) {
	g.mu.Lock()
	g.admit, g.openFrom = a, g.log.Now()
	var standing []*placedCall
	if a == admitAll {
		for _, k := range g.calls {
			if k.stands && !k.over && g.random.IntN(5) > 0 {
				standing = append(standing, k)
			}
		}
	}
	g.mu.Unlock()
	for _, k := range standing {
		g.announce(k)
	}
}

func (g *Callers) announce(k *placedCall) {
	l := g.connection()
	if l == nil {
		return
	}
	g.mu.Lock()
	k.link = l
	g.mu.Unlock()
	m := k.message
	m.Fields = []sip.Field{{Name: "Priority-Class", Value: className}, {Name: "Expires-Ms", Value: "1000"}, {Name: "P-Trunk-Info", Value: "at:" + board.FormatID(k.at)}}
	if g.write(l, &m) {
		g.log.Add(Event{Kind: CallAnnounced, Controller: g.controller, Call: k.id, Conn: l.conn, Switch: k.at})
	}
}

// connection is the one for the next message: one of those that are open, or a new one where there are too few.
func (g *Callers) connection() *callerLink {
	g.mu.Lock()
	if n := len(g.open); n > 0 && (n >= g.own.Connections || g.admit != admitAll) {
		l := g.open[g.random.IntN(n)]
		g.mu.Unlock()
		return l
	}
	if g.admit == admitNone || g.admit == admitOpen && g.log.Now()-g.openFrom > noneFreeFor {
		g.mu.Unlock()
		return nil
	}
	answer := g.own.Answer[g.random.IntN(len(g.own.Answer))]
	g.mu.Unlock()
	c, err := net.DialTimeout("tcp", g.address, dialWithin)
	if err != nil {
		return nil
	}
	l := &callerLink{conn: g.log.Conn(), c: c, answer: answer, usedAt: g.log.Now()}
	g.mu.Lock()
	g.open = append(g.open, l)
	g.mu.Unlock()
	g.log.Add(Event{Kind: CallerOpened, Controller: g.controller, Conn: l.conn, Text: fmt.Sprint(c.LocalAddr())})
	g.all.Go(func() { g.read(l) })
	return l
}

func (g *Callers) write(l *callerLink, m *sip.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.c.SetWriteDeadline(time.Now().Add(writeWithin)) // a connection that is gone is found by its reader
	_, err := l.c.Write(sip.Append(nil, m))
	return err == nil
}

// className is the class that every plan has.
const className = "voice"

// call places one call.
func (g *Callers) call() { g.place(false, "") }

// place places one call; it may repeat one that was refused, and more may mark it.
func (g *Callers) place(repeats bool, more string) {
	l := g.connection()
	if l == nil {
		return
	}
	g.mu.Lock()
	g.number++
	id := fmt.Sprintf("%04x%04x%08x", g.plan.Seed&0xffff, g.controller, g.number)
	cell := (g.controller + 1 + g.random.IntN(g.plan.Controllers-1)) % g.plan.Controllers
	expires := upTo(g.random, g.plan.Deadline/3, g.plan.Deadline)
	if g.random.Float64() < g.own.Brief {
		expires = upTo(g.random, briefLeast, briefMost)
	}
	class := g.plan.Classes[g.random.IntN(len(g.plan.Classes))].Name
	transit := 0
	if g.random.Float64() < g.own.Transit {
		transit = cell + 1
		more += ";transit:1"
	}
	via := []int{-1, (cell + 1) % g.plan.Controllers}[g.random.IntN(2)]
	impatient := g.random.Float64() < g.own.Impatient
	patience := upTo(g.random, 0, expires)
	m := sip.Message{Method: sip.Invite, URI: "sip:7f3a9c21e0b4d655@net", CallID: id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("offer of " + id),
		Fields: []sip.Field{{Name: "Priority-Class", Value: class}, {Name: "Expires-Ms", Value: strconv.Itoa(int(expires.Milliseconds()))},
			{Name: "P-Trunk-Info", Value: fmt.Sprintf("dest:%d;width:1;via:%d%s", cell, via, more)}}}
	if repeats {
		m.Fields = append(m.Fields, sip.Field{Name: "P-Repeat", Value: "1"})
	}
	k := &placedCall{id: id, link: l, message: m, transit: transit}
	g.forgetOld()
	g.calls[id] = k
	g.mu.Unlock()
	g.send(k, l, expires)
	if impatient {
		g.all.Go(func() {
			select {
			case <-time.After(patience):
				g.giveUp(k)
			case <-g.stopped:
			}
		})
	}
}

// forgetOld bounds what is remembered; g.mu is held.
func (g *Callers) forgetOld() {
	if len(g.calls) < standMost {
		return
	}
	for id, k := range g.calls {
		if k.over || k.answered && !k.stands {
			delete(g.calls, id)
		}
	}
}

// send writes a call's set-up. It counts as sent from just before its last octet is written.
func (g *Callers) send(k *placedCall, l *callerLink, expires time.Duration) {
	g.mu.Lock()
	if l.gone { // it ended as it was chosen: nothing is sent
		delete(g.calls, k.id)
		g.mu.Unlock()
		return
	}
	k.link = l
	k.sentAt = g.log.Now()
	l.usedAt = k.sentAt
	text := ""
	if k.again {
		text = "again"
	}
	g.log.Add(Event{Kind: CallSent, Controller: g.controller, Call: k.id, Conn: l.conn, Cell: k.transit, Span: expires, Text: text}) // before its connection can be seen to end
	g.mu.Unlock()
	g.write(l, &k.message)
}

func (g *Callers) giveUp(k *placedCall) {
	g.mu.Lock()
	done := k.answered || k.over || k.link.gone
	if !done {
		k.givenUp, k.over = true, true
	}
	l := k.link
	g.mu.Unlock()
	if done {
		return
	}
	g.log.Add(Event{Kind: CallGivenUp, Controller: g.controller, Call: k.id, Conn: l.conn, Text: "cancelled"})
	g.write(l, &sip.Message{Method: sip.Cancel, URI: k.message.URI, CallID: k.id, CSeq: 1})
}

// read handles what comes on a connection until its end.
func (g *Callers) read(l *callerLink) {
	r := sip.NewReader(l.c)
	for {
		m, err := r.Read()
		if err != nil {
			g.closed(l, err)
			return
		}
		switch {
		case m.Status >= sip.OK && m.CSeqMethod == sip.Invite:
			g.answered(l, &m)
		case m.Method == sip.Bye:
			g.toldOver(l, &m)
		case m.Method == sip.Options:
			passed := m.Response(sip.OK)
			g.write(l, &passed)
		}
	}
}

func (g *Callers) answered(l *callerLink, m *sip.Message) {
	text := ""
	g.mu.Lock()
	k := g.calls[m.CallID]
	if k != nil {
		k.answered = true
		if m.Status == sip.OK && !k.givenUp {
			k.stands = true
		}
	}
	release := k != nil && k.stands && g.random.Float64() < g.own.Release
	after := upTo(g.random, 0, g.plan.Switches.HoldMax)
	repeat := k != nil && m.Rejected() && !k.givenUp && !g.paused && g.random.Float64() < g.own.Repeat/2
	g.mu.Unlock()
	if m.Status == sip.OK {
		text = string(m.Body)
		if k != nil {
			var id uint32
			if _, err := fmt.Sscanf(text, "answer of s-%08x", &id); err == nil {
				g.mu.Lock()
				k.at = id
				g.mu.Unlock()
			}
		}
	}
	g.log.Add(Event{Kind: CallAnswered, Controller: g.controller, Call: m.CallID, Conn: l.conn, Status: m.Status, Text: text})
	g.write(l, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: m.CallID, CSeq: 1})
	if release {
		g.all.Go(func() {
			select {
			case <-time.After(after):
				g.release(k)
			case <-g.stopped:
			}
		})
	}
	if repeat {
		g.all.Go(func() { g.place(true, "") })
	}
}

// release ends a call that stands, on any connection.
func (g *Callers) release(k *placedCall) {
	l := g.connection()
	g.mu.Lock()
	done := k.over || l == nil || l.silenced
	if !done {
		k.over = true
	}
	g.mu.Unlock()
	if done {
		return
	}
	g.log.Add(Event{Kind: CallReleased, Controller: g.controller, Call: k.id, Conn: l.conn})
	g.write(l, &sip.Message{Method: sip.Bye, URI: k.message.URI, CallID: k.id, CSeq: 2, Fields: []sip.Field{{Name: "Reason", Value: "Q.850;cause=16"}}})
}

func (g *Callers) toldOver(l *callerLink, m *sip.Message) {
	g.log.Add(Event{Kind: CallToldOver, Controller: g.controller, Call: m.CallID, Conn: l.conn})
	g.mu.Lock()
	k := g.calls[m.CallID]
	if k != nil {
		k.over = true
	}
	later := upTo(g.random, answerLater/3, answerLater)
	comes := k != nil && !g.paused && cutOff(m) && g.random.Float64() < g.own.Again
	g.mu.Unlock()
	if comes {
		g.all.Go(func() { g.place(false, ";again:1") })
	}
	heard := m.Response(sip.OK)
	switch {
	case l.answer == AnswerAtOnce && k != nil:
		g.write(l, &heard)
	case l.answer == AnswerLate:
		time.AfterFunc(later, func() { g.write(l, &heard) })
	}
}

// cutOff tells that a release is no end of a call in the ordinary way.
func cutOff(m *sip.Message) bool {
	return m.Get("Reason") != fmt.Sprintf("Q.850;cause=%d", causeNormal)
}

// closed handles the end of a connection. A set-up that crossed it goes again on a new one, once.
func (g *Callers) closed(l *callerLink, err error) {
	l.c.Close()
	g.mu.Lock()
	l.gone = true
	text := err.Error()
	switch {
	case l.closing:
		text = "closed by its caller"
	case l.faulted:
		text = textFaulted
	case l.silenced:
		text = textSilenced
	}
	for i, other := range g.open {
		if other == l {
			g.open = append(g.open[:i:i], g.open[i+1:]...)
			break
		}
	}
	var unanswered []*placedCall
	for _, k := range g.calls {
		if k.link == l && k.sentAt > 0 && !k.answered && !k.givenUp {
			unanswered = append(unanswered, k)
		}
	}
	g.mu.Unlock()
	now := g.log.Add(Event{Kind: CallerClosed, Controller: g.controller, Conn: l.conn, Text: text})
	for _, k := range unanswered {
		g.log.Add(Event{Kind: CallUnanswered, Controller: g.controller, Call: k.id, Conn: l.conn, Text: text})
		if now-k.sentAt <= crossWithin && !k.again && !l.faulted && !l.silenced {
			g.again(k)
		}
	}
}

func (g *Callers) again(k *placedCall) {
	g.mu.Lock()
	k.again = true
	allowed := g.admit == admitAll
	g.mu.Unlock()
	if !allowed {
		return
	}
	if l := g.connection(); l != nil {
		g.send(k, l, 0)
	}
}

const (
	textFaulted  = "reset by the rig"
	textSilenced = "silenced by the rig"
)

// closeIdle closes connections that have had no call for long.
func (g *Callers) closeIdle() {
	g.mu.Lock()
	busy := map[*callerLink]bool{}
	for _, k := range g.calls {
		if !k.answered && !k.givenUp || k.stands && !k.over {
			busy[k.link] = true
		}
	}
	var idle []*callerLink
	for _, l := range g.open {
		if !busy[l] && g.log.Now()-l.usedAt > idleClose {
			l.closing = true
			idle = append(idle, l)
		}
	}
	g.mu.Unlock()
	for _, l := range idle {
		l.c.Close()
	}
}

// silence has nothing pass any more on the connections that are open now; reset resets them. pass is what the proxy does.
func (g *Callers) fault(silence bool, pass func()) {
	g.mu.Lock()
	for _, l := range g.open {
		l.silenced, l.faulted = l.silenced || silence, l.faulted || !silence
		g.log.Add(Event{Kind: CallerSilenced, Controller: g.controller, Conn: l.conn})
	}
	if silence { // their callers go elsewhere with what comes next
		for _, l := range g.open {
			time.AfterFunc(idleClose, func() { l.c.Close() })
		}
		g.open = nil
	}
	pass()
	g.mu.Unlock()
}

// pause has no new call placed from now on.
func (g *Callers) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = true
}

// stop ends all connections.
func (g *Callers) stop() {
	close(g.stopped)
	g.mu.Lock()
	for _, l := range g.open {
		l.closing = true
		l.c.Close()
	}
	g.mu.Unlock()
}
