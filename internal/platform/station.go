// Package platform runs a call controller on the platform: it listens for callers, keeps connections to switches, follows
// the notice board and drains at shutdown. It makes no routing decisions. One goroutine, the event loop, owns the
// back-to-back user agent (internal/b2bua) and the policy module inside it; the goroutines of connections only pass messages.
package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"indigodrift/internal/b2bua"
	"indigodrift/internal/board"
	"indigodrift/internal/exchange"
	"indigodrift/internal/lag"
	"indigodrift/internal/sip"
	"indigodrift/internal/trunk"
	"indigodrift/policy"
)

const (
	// inboxMost bounds the events that wait for the event loop; beyond it readers block, and TCP holds the senders back. On a
	// quarter of a core a message takes up to 0.5 ms, and a caller's departure must be noticed within 100 ms.
	inboxMost = 128

	octetsPart   = 8                      // callers' descriptions may take 1/8 of the memory limit
	octetsACall  = 16 << 10               // highest memory use of one call; bounds the number of open calls
	memoryOf     = 0.75                   // share of the memory limit from which the garbage collector works harder
	dialMost     = 500 * time.Millisecond // where the settings have none
	summaryEvery = 10 * time.Second
	notesMost    = 40 // log lines between two summaries; further ones are counted

	// At a planned restart the platform kills the process 700 ms after the longest abandon time, capped at 3 s, and starts it
	// again no sooner. The process serves until shortly before, since transit calls arrive as long as it runs and releases of
	// established calls pass through it. Then it stops listening, answers the open calls and exits.
	stopBefore = 500 * time.Millisecond // before the kill: the listener closes
	abandonTop = 3 * time.Second
	killAfter  = 700 * time.Millisecond
	killRoom   = 150 * time.Millisecond // before the kill: open calls fail and the process exits

	// quietBefore is how long no set-up may have arrived before the process exits: one that crosses the exit is lost.
	quietBefore = 50 * time.Millisecond
	acceptLast  = 5 * time.Millisecond // to accept what the kernel has queued before the listener closes
)

// Dialer opens a connection.
type Dialer = trunk.Dialer

type kind uint8

const (
	callerUp kind = iota
	callerDown
	callerSays
	callerPart
	callerBad
	dialled
	switchDown
	switchSays
	switchPart
	noticed
	boardChange
)

// event is one input of the event loop. Which fields are set depends on its kind.
type event struct {
	kind    kind
	conn    b2bua.Conn
	w       *wire
	m       sip.Message
	at      policy.Tenths // when the message was read
	err     error
	sw      uint32
	ticket  uint32
	refused bool
	notice  board.Event
	up      bool
}

// Station is one call controller on the platform.
type Station struct {
	m       Machine
	dial    Dialer
	log     *slog.Logger
	agent   *b2bua.Agent
	began   time.Time
	inbox   chan event
	stop    chan struct{} // closed after shutdown: no more events are handled
	ending  context.Context
	cancel  context.CancelFunc
	all     sync.WaitGroup
	room    chan struct{} // holds one token per caller connection
	lines   chan struct{} // holds one token per switch connection, from its dial on
	callers map[b2bua.Conn]*wire
	links   map[b2bua.Conn]*wire
	mu      sync.Mutex // guards names and open
	names   b2bua.Conn // last identifier given to a connection
	open    map[*wire]struct{}
	boardAt chan string   // new addresses of the notice board
	shut    chan struct{} // closed once no more connections are accepted
	known   uint64        // number of the last notice board event
	isUp    bool
	stall   lag.Stall
	stood   int // stalls since the last summary
	notes   int // log lines since the last summary
	// recorded counts the records of each kind since the last summary, unsaid the log lines that were suppressed.
	recorded map[b2bua.RecordKind]int
	unsaid   int
}

// New returns a call controller; build creates its policy module.
func New(m Machine, build func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider, dial Dialer,
	log *slog.Logger) *Station {
	callers, links := b2bua.Descriptors(m.Limits.Sockets)
	s := &Station{m: m, dial: dial, log: log, began: time.Now(), inbox: make(chan event, inboxMost),
		stop: make(chan struct{}), room: make(chan struct{}, callers+b2bua.Closing), lines: make(chan struct{}, links+b2bua.Closing), callers: map[b2bua.Conn]*wire{},
		links: map[b2bua.Conn]*wire{}, open: map[*wire]struct{}{}, boardAt: make(chan string, 1), shut: make(chan struct{}), recorded: map[b2bua.RecordKind]int{}}
	s.ending, s.cancel = context.WithCancel(context.Background())
	memory := m.Limits.MemoryMB << 20
	bounds := b2bua.Bounds{Calls: memory / octetsACall, Octets: memory / octetsPart, Callers: callers, Links: links}
	if most := m.Settled.OpenMost; most > 0 {
		bounds.Calls = min(bounds.Calls, most)
	}
	s.agent = b2bua.New(m.Settled, bounds, (*hands)(s), s.now(), build)
	s.agent.Known(s.now(), m.Known)
	if n := len(m.Known); n > 0 {
		s.known = m.Known[n-1].Number
	}
	return s
}

// MemoryTarget returns how many octets the process may use before the garbage collector works harder.
func (m Machine) MemoryTarget() int64 { return int64(memoryOf * float64(m.Limits.MemoryMB<<20)) }

// now returns Unix time in tenths of a millisecond, comparable with the start times of switches. It is monotonic.
func (s *Station) now() policy.Tenths {
	return policy.Tenths(s.began.UnixMicro()/100) + policy.Tenths(time.Since(s.began)/(100*time.Microsecond))
}

// until returns the time left to an instant.
func (s *Station) until(at policy.Tenths) time.Duration { return trunk.Span(at - s.now()) }

// post passes an event to the event loop and blocks while the inbox is full. It returns false after shutdown.
func (s *Station) post(e event) bool {
	select {
	case s.inbox <- e:
		return true
	case <-s.stop:
		return false
	}
}

// wire registers a new connection.
func (s *Station) wire(c net.Conn, most int) *wire {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names++
	w := newWire(s.names, c, most)
	s.open[w] = struct{}{}
	return w
}

// done closes and unregisters a connection whose reader has returned.
func (s *Station) done(w *wire) {
	w.finish()
	w.c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, w)
}

// Run serves callers at a listener until ctx ends, and then until every accepted call is answered.
func (s *Station) Run(ctx context.Context, ln net.Listener, reload <-chan Machine) error {
	s.all.Go(func() {
		s.accept(ln)
		close(s.shut)
	})
	s.all.Go(func() {
		c := board.Client{Dial: s.dial, Address: s.boardAt, Seed: s.m.Settled.Module.Seed,
			Took:   func(e board.Event) { s.post(event{kind: noticed, notice: e}) },
			Change: func(up bool, err error) { s.post(event{kind: boardChange, up: up, err: err}) }}
		c.Keep(s.ending, s.m.Board, s.known)
	})
	s.log.Info("in service", "name", s.m.Name, "listen", s.m.Listen, "cores", s.m.Limits.Cores, "memory_mb", s.m.Limits.MemoryMB,
		"sockets", s.m.Limits.Sockets, "list", s.known)
	s.own(ctx, ln, reload)
	s.cancel()
	ln.Close()
	s.end()
	s.log.Info("ended", "unanswered", s.agent.Unanswered())
	return nil
}

// end closes every connection after writing what is queued for it, by force after a timeout. Further events are discarded.
func (s *Station) end() {
	finish := func(w *wire) {
		if w != nil {
			w.finish()
		}
	}
	for _, some := range []map[b2bua.Conn]*wire{s.callers, s.links} {
		for _, w := range some {
			finish(w)
		}
	}
	ended := make(chan struct{})
	go func() {
		s.all.Wait()
		close(ended)
	}()
	late := time.After(lingerMost + killRoom/5)
	for {
		select {
		case e := <-s.inbox:
			if finish(e.w); e.kind == dialled && e.w != nil { // a new connection that nothing reads or writes yet
				s.done(e.w)
			}
		case <-late:
			close(s.stop)
			s.mu.Lock()
			for w := range s.open {
				w.c.Close()
			}
			s.mu.Unlock()
		case <-ended:
			return
		}
	}
}

// own is the event loop. Only its goroutine uses the agent.
func (s *Station) own(ctx context.Context, ln net.Listener, reload <-chan Machine) {
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	wait := time.NewTimer(0)
	defer wait.Stop()
	done, shut := ctx.Done(), (<-chan struct{})(nil)
	var stopListening, giveUp, quiet <-chan time.Time
	before := uint64(0) // accepted calls when the last quiet period began
	for {
		now := s.now()
		due := s.agent.Next()
		if until, reading := s.stall.Reading(now); reading {
			due = max(due, until)
		}
		wait.Reset(s.until(due))
		select {
		case e := <-s.inbox:
			s.woke(due)
			s.handle(e)
		case <-wait.C:
			s.woke(due)
		case <-done:
			s.woke(due)
			done = nil
			longest := time.Duration(0)
			for _, b := range s.m.Settled.Module.Bearers {
				longest = max(longest, trunk.Span(b.AbandonTime))
			}
			kill := min(longest, abandonTop) + killAfter
			stopListening = time.After(kill - stopBefore)
			giveUp = time.After(kill - killRoom)
			s.log.Info("draining", "unanswered", s.agent.Unanswered())
		case <-stopListening:
			s.woke(due)
			shut = s.shut
			lastCallers(ln)
		case <-shut:
			s.woke(due)
			shut, quiet = nil, time.After(quietBefore)
		case <-quiet:
			s.woke(due)
			if taken := s.agent.Taken(); taken != before || s.agent.Unanswered() > 0 {
				before, quiet = taken, time.After(quietBefore)
				break
			}
			return
		case <-giveUp:
			s.handleWaiting()
			s.agent.FailOpen(s.now())
			return
		case m := <-reload:
			s.woke(due)
			s.reload(m)
		case <-summary.C:
			s.woke(due)
			s.summary()
		}
		s.handleWaiting() // messages before timers: a message may make a timer void
		now = s.now()
		if s.stall.Works(now) {
			s.stood++
		}
		if _, reading := s.stall.Reading(now); !reading && now >= s.agent.Next() {
			s.agent.Tick(now, s.stall.Ended())
		}
	}
}

// handleWaiting handles the events that are in the inbox now, but not those added meanwhile: a flood must not delay timers.
func (s *Station) handleWaiting() {
	for range len(s.inbox) {
		s.handle(<-s.inbox)
	}
}

// lastCallers stops a listener after it has accepted the connections that the kernel has queued: closing it at once would reset
// these, and a set-up on one of them counts as accepted.
func lastCallers(ln net.Listener) {
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(acceptLast)) != nil {
		ln.Close()
	}
}

// woke counts a stall if the event loop woke too late.
func (s *Station) woke(due policy.Tenths) {
	if s.stall.Woke(s.now(), due) {
		s.stood++
	}
}

func (s *Station) handle(e event) {
	now := s.now()
	switch e.kind {
	case callerUp:
		s.callers[e.conn] = e.w
		s.log.Debug("caller connected", "conn", e.conn, "peer", e.w.c.RemoteAddr())
		if !s.agent.CallerUp(now, e.conn) {
			e.w.finish()
		}
	case callerDown:
		if s.callers[e.conn] != nil {
			s.log.Debug("caller connection: end of stream", "conn", e.conn, "err", e.err)
			delete(s.callers, e.conn)
			s.agent.CallerDown(now, e.conn)
		}
	case callerSays:
		s.agent.FromCaller(now, e.at, e.conn, &e.m)
		if e.m.Method == sip.Cancel {
			e.w.seen(e.m.CallID)
		}
	case callerPart:
		s.agent.CallerPart(e.conn, e.at)
	case callerBad:
		s.say(e.err.Error())
		s.agent.CallerBad(now, e.conn, &e.m, errors.Is(e.err, sip.ErrTooLong), "unreadable")
	case dialled:
		if e.w != nil {
			s.links[e.conn] = e.w
			s.log.Debug("switch connected", "conn", e.conn, "switch", board.Text(e.sw))
			s.carry(e.w, s.readSwitch, s.lines)
		}
		s.agent.Dialled(now, e.sw, e.ticket, e.conn, e.refused)
	case switchDown:
		if s.links[e.conn] != nil {
			s.log.Debug("switch connection: end of stream", "conn", e.conn, "err", e.err)
			delete(s.links, e.conn)
		}
		s.agent.LinkDown(now, e.conn, e.err == io.EOF) //nolint:errorlint // within a message the error is io.ErrUnexpectedEOF
	case switchSays:
		if ahead := s.m.crossing(&e.m); ahead != nil {
			s.agent.FromSwitch(now, e.conn, ahead)
		}
		s.agent.FromSwitch(now, e.conn, &e.m)
	case switchPart:
		s.agent.LinkPart(e.conn, e.at)
	case noticed:
		s.known = e.notice.Number
		s.agent.Listed(now, e.notice)
	case boardChange:
		if s.isUp = e.up; e.up {
			s.log.Info("notice board connected", "list", s.known)
			return
		}
		s.log.Warn("notice board disconnected", "list", s.known, "err", e.err)
	}
}

// accept accepts callers' connections. While all tokens are taken, further connections wait in the kernel's queue.
func (s *Station) accept(ln net.Listener) {
	for {
		select {
		case s.room <- struct{}{}:
		case <-s.stop:
			return
		}
		c, err := ln.Accept()
		if err != nil {
			<-s.room
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				ln.Close()
				return
			}
			select { // out of descriptors, or the connection broke before it was accepted
			case <-time.After(5 * time.Millisecond):
				continue
			case <-s.stop:
				return
			}
		}
		w := s.wire(c, callerMost)
		if !s.post(event{kind: callerUp, conn: w.id, w: w}) {
			s.done(w)
			<-s.room
			return
		}
		s.carry(w, s.readCaller, s.room)
	}
}

// carry starts the writer and the reader of a connection. Its token is returned once the connection is closed.
func (s *Station) carry(w *wire, read func(*wire), tokens <-chan struct{}) {
	s.all.Go(w.write)
	s.all.Go(func() {
		read(w)
		s.done(w)
		<-tokens
	})
}

func (s *Station) readCaller(w *wire) {
	r := sip.NewReader(w.c)
	r.Part = func() { s.post(event{kind: callerPart, conn: w.id, at: s.now()}) }
	for {
		m, err := r.Read()
		switch {
		case err == nil && w.finishing() && m.Method != sip.Bye && m.CSeqMethod != sip.Bye: // closing here: only releases and their answers still count
			continue
		case err == nil:
			if m.Method == sip.Cancel {
				w.cancels(m.CallID)
			}
			if !s.post(event{kind: callerSays, conn: w.id, w: w, m: m, at: s.now()}) {
				return
			}
			continue
		case errors.Is(err, sip.ErrMalformed), errors.Is(err, sip.ErrTooLong):
			s.post(event{kind: callerBad, conn: w.id, m: m, err: err})
			// Discards further input until the answer is written and the connection closed.
			io.Copy(io.Discard, w.c) //nolint:errcheck // only the end of the stream matters
		}
		w.gone.Store(true)
		s.post(event{kind: callerDown, conn: w.id, err: err})
		return
	}
}

func (s *Station) readSwitch(w *wire) {
	r := sip.NewReader(w.c)
	r.Part = func() { s.post(event{kind: switchPart, conn: w.id, at: s.now()}) }
	for {
		m, err := r.Read()
		switch {
		case err != nil:
			s.post(event{kind: switchDown, conn: w.id, err: err})
			return
		case !s.post(event{kind: switchSays, conn: w.id, m: m}): // also while the connection is being closed, since a release may cross the close
			return
		}
	}
}

// reload applies a new configuration. Only the address of the notice board can change in service.
func (s *Station) reload(m Machine) {
	if m.Board != s.m.Board {
		s.log.Info("notice board address changed", "board", m.Board)
		select { // replaces an address that was not taken yet
		case <-s.boardAt:
		default:
		}
		s.boardAt <- m.Board
	}
	s.m.Board = m.Board
	s.log.Info("configuration reloaded")
}

// say logs a warning, within the limit between two summaries.
func (s *Station) say(text string) {
	if s.mayNote() {
		s.log.Warn(text)
	}
}

// mayNote reports whether one more line may be logged before the next summary.
func (s *Station) mayNote() bool {
	if s.notes++; s.notes > notesMost {
		s.unsaid++
		return false
	}
	return true
}

// summary logs the controller's counters and its view of the switches, to be compared with the traffic on the sockets.
func (s *Station) summary() {
	t, open, standing, kept, callers, late := s.agent.Counts()
	r, y := s.agent.Releases(), s.agent.Tries()
	heap := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(heap)
	s.log.Info("summary", "taken", t.Taken, "stood", t.Stood, "blocked", t.Blocked, "aborted", t.Aborted, "left", t.Left,
		"refused", t.Refused, "released", t.Released, "cut", t.Cut, "crossed", t.Crossed, "open", open, "standing", standing, "over", kept,
		"callers", callers, "descriptors", len(s.callers)+len(s.links), "far", s.agent.Believes(), "list", s.known,
		"board", s.isUp, "late_ms", float64(late)/10, "stood_still", s.stood,
		"memory_kb", (heap[0].Value.Uint64()-heap[1].Value.Uint64())>>10, "unsaid", s.unsaid,
		slog.Group("releases", "written", r.Written, "repeated", r.Repeated, "unanswered", r.Unanswered, "confirmed", r.Confirmed,
			"late", r.Late, "dropped", r.Dropped, "unknown", r.Unknown, "waiting", r.Waiting, "oldest_ms", float64(r.Oldest)/10),
		slog.Group("tries", "written", y.Written, "again", y.Again, "stood", y.Stood, "refused", y.Refused, "timed_out", y.TimedOut,
			"cancelled", y.Cancelled, "lost", y.Lost, "reset", y.Reset, "answered_late", y.AnsweredLate))
	s.notes, s.unsaid, s.stood = 0, 0, 0
	clear(s.recorded)
}

// hands is the output of the agent, carried out by the server.
type hands Station

// wire returns a connection of a caller or to a switch, nil when it is gone.
func (h *hands) wire(c b2bua.Conn) *wire {
	if w := h.callers[c]; w != nil {
		return w
	}
	return h.links[c]
}

// Write queues a message on a connection.
func (h *hands) Write(to b2bua.Conn, m *sip.Message) {
	w, copies := h.wire(to), 1
	if h.m.planted != "" {
		copies = h.m.copies(h.callers[to] != nil, m)
	}
	for range copies {
		if w != nil && !w.put(m) {
			(*Station)(h).say("connection closed: the peer reads too slowly")
		}
	}
}

// Close closes a connection after writing what is queued for it.
func (h *hands) Close(c b2bua.Conn, why string) {
	if w := h.wire(c); w != nil {
		w.finish()
		delete(h.callers, c)
		delete(h.links, c)
		if s := (*Station)(h); s.mayNote() {
			s.log.Warn("connection closed: "+why, "conn", c, "peer", w.c.RemoteAddr())
		}
	}
}

// Dial opens a connection to a switch.
func (h *hands) Dial(sw, ticket uint32, address string) {
	s := (*Station)(h)
	within := dialMost
	if t := s.m.Settled.DialTime; t > 0 {
		within = trunk.Span(t)
	}
	select {
	case s.lines <- struct{}{}:
	default: // many connections are being closed; their descriptors are free shortly
		s.all.Go(func() { s.post(event{kind: dialled, sw: sw, ticket: ticket}) })
		return
	}
	s.all.Go(func() {
		ctx, cancel := context.WithTimeout(s.ending, within)
		defer cancel()
		c, err := s.dial(ctx, address)
		e := event{kind: dialled, sw: sw, ticket: ticket, refused: errors.Is(err, syscall.ECONNREFUSED)}
		if err == nil {
			e.w = s.wire(c, switchMost)
			e.conn = e.w.id
		}
		posted := s.post(e)
		if !posted && e.w != nil {
			s.done(e.w)
		}
		if !posted || e.w == nil {
			<-s.lines
		}
	})
}

// Left reports whether a caller has closed its connection or cancelled its call, even if that event is still in the inbox.
func (h *hands) Left(caller b2bua.Conn, callID string) bool {
	w := h.callers[caller]
	return w == nil || w.left(callID)
}

// Note logs a line for operators.
func (h *hands) Note(text string) { (*Station)(h).say(text) }
