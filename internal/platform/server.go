// Package platform runs a call controller on the platform: it listens for callers, keeps connections to switches, follows
// the notice board and drains at shutdown. It makes no routing decisions. One goroutine, the event loop, owns the
// back-to-back user agent (internal/b2bua) and the policy inside it; the goroutines of connections only pass messages.
package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
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
	// inboxSize bounds the events that wait for the event loop; beyond it readers block, and TCP holds the senders back. On a
	// quarter of a core a message takes up to 0.5 ms, and an abandoned call must be known as such within 100 ms.
	inboxSize = 128

	// maxQueuedBoardEvents bounds the events of the notice board in the inbox; one may hold the whole list of switches.
	maxQueuedBoardEvents = 4

	descriptionMemoryDivisor = 8                      // callers' descriptions may take 1/8 of the memory limit
	maxOctetsPerCall         = 16 << 10               // highest memory use of one call; bounds the number of open calls
	memoryTargetShare        = 0.75                   // share of the memory limit from which the garbage collector works harder
	defaultDialTimeout       = 500 * time.Millisecond // where the settings have none
	summaryInterval          = 10 * time.Second
	maxWarningsPerSummary    = 40 // warnings logged between two summaries; further ones are counted

	// At a planned restart the platform kills the process 700 ms after the longest abandon time, capped at 3 s, and starts it
	// again no sooner. The process serves until shortly before, since transit calls arrive as long as it runs and releases of
	// established calls pass through it. Then it stops listening, answers the open calls and exits.
	stopListeningLead = 500 * time.Millisecond // before the kill: the listener closes
	maxAbandonTime    = 3 * time.Second
	killDelay         = 700 * time.Millisecond
	shutdownMargin    = 150 * time.Millisecond // before the kill: open calls fail and the process exits

	// quietPeriod is how long no set-up may have arrived before the process exits: one that crosses the exit is lost.
	quietPeriod        = 50 * time.Millisecond
	finalAcceptTimeout = 5 * time.Millisecond // to accept what the kernel has queued before the listener closes
)

// Dialer opens a connection.
type Dialer = trunk.Dialer

type eventKind uint8

const (
	callerConnected eventKind = iota
	callerDisconnected
	callerMessage
	callerPartialMessage
	callerMalformed
	dialFinished
	switchDisconnected
	switchMessage
	switchPartialMessage
	boardEvent
	boardStatus
)

// event is one input of the event loop. Which fields are set depends on its kind.
type event struct {
	kind       eventKind
	connID     b2bua.ConnID
	conn       *connection
	message    sip.Message
	handled    chan<- struct{} // receives a value once a large message has been handled, nil for others
	readAt     policy.Tenths   // when the message, or the first part of it, was read
	err        error
	switchID   uint32
	dialID     uint32
	outcome    b2bua.DialOutcome // of a dial
	boardEvent board.Event
	connected  bool
}

// Server is one call controller on the platform.
type Server struct {
	config         Config
	dial           Dialer
	log            *slog.Logger
	agent          *b2bua.Agent
	startTime      time.Time
	inbox          chan event
	stopped        chan struct{} // closed after shutdown: no more events are handled
	runCtx         context.Context
	cancelRun      context.CancelFunc
	goroutines     sync.WaitGroup
	callerSlots    chan struct{} // bounds the caller connections: one entry each
	switchSlots    chan struct{} // bounds the switch connections: one entry each, from the dial on
	callerConns    map[b2bua.ConnID]*connection
	switchConns    map[b2bua.ConnID]*connection
	mu             sync.Mutex   // guards lastConnID and openConns
	lastConnID     b2bua.ConnID // last identifier given to a connection
	openConns      map[*connection]struct{}
	writeBudget    writeBudget
	boardAddresses chan string   // new addresses of the notice board
	boardSlots     chan struct{} // bounds the events of the notice board that wait in the inbox: one entry each
	listenerClosed chan struct{} // closed once no more connections are accepted
	lastBoardEvent uint64        // number of the last notice board event
	boardConnected bool
	stall          lag.StallDetector
	stalls         int // stalls since the last summary
	warningCount   int // warnings since the last summary

	largeFromCallers, largeFromSwitches largeMessages // by the kind of the connection

	// recordCounts counts the records of each kind since the last summary.
	recordCounts map[b2bua.RecordKind]int
	suppressed   int // log lines left out since the last summary
}

// New returns a call controller; build creates its policy.
func New(config Config, build func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider, dial Dialer,
	log *slog.Logger) *Server {
	maxCallers, maxLinks := b2bua.Descriptors(config.Limits.Sockets)
	s := &Server{
		config:         config,
		dial:           dial,
		log:            log,
		startTime:      time.Now(),
		inbox:          make(chan event, inboxSize),
		stopped:        make(chan struct{}),
		callerSlots:    make(chan struct{}, maxCallers+b2bua.MaxClosing),
		switchSlots:    make(chan struct{}, maxLinks+b2bua.MaxClosing),
		callerConns:    map[b2bua.ConnID]*connection{},
		switchConns:    map[b2bua.ConnID]*connection{},
		openConns:      map[*connection]struct{}{},
		boardAddresses: make(chan string, 1),
		boardSlots:     make(chan struct{}, maxQueuedBoardEvents),
		listenerClosed: make(chan struct{}),
		recordCounts:   map[b2bua.RecordKind]int{},
	}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	memory := config.Limits.MemoryMB << 20
	s.writeBudget.limit = int64(memory / queueMemoryDivisor)
	s.largeFromCallers, s.largeFromSwitches = newLargeMessages(memory), newLargeMessages(memory)
	bounds := b2bua.Bounds{Calls: memory / maxOctetsPerCall, Octets: memory / descriptionMemoryDivisor, Callers: maxCallers, Links: maxLinks, Memory: memory}
	if maxOpen := config.Settings.MaxOpenCalls; maxOpen > 0 {
		bounds.Calls = min(bounds.Calls, maxOpen)
	}
	s.agent = b2bua.New(config.Settings, bounds, (*transport)(s), s.now(), build)
	s.agent.Bootstrap(s.now(), config.InitialEvents)
	if n := len(config.InitialEvents); n > 0 {
		s.lastBoardEvent = config.InitialEvents[n-1].Number
	}
	return s
}

// MemoryTarget returns how many octets the process may use before the garbage collector works harder.
func (c Config) MemoryTarget() int64 {
	return int64(memoryTargetShare * float64(c.Limits.MemoryMB<<20))
}

// now returns Unix time in tenths of a millisecond, comparable with the start times of switches. It is monotonic.
func (s *Server) now() policy.Tenths {
	return policy.Tenths(s.startTime.UnixMicro()/100) + policy.Tenths(time.Since(s.startTime)/(100*time.Microsecond))
}

func (s *Server) timeUntil(deadline policy.Tenths) time.Duration {
	return trunk.Duration(deadline - s.now())
}

// post passes an event to the event loop and blocks while the inbox is full. It returns false after shutdown.
func (s *Server) post(e event) bool {
	select {
	case s.inbox <- e:
		return true
	case <-s.stopped:
		return false
	}
}

// postBoardEvent passes an event of the notice board to the event loop. It blocks while too many wait.
func (s *Server) postBoardEvent(e board.Event) {
	select {
	case s.boardSlots <- struct{}{}:
		s.post(event{kind: boardEvent, boardEvent: e})
	case <-s.runCtx.Done():
	}
}

// addConn registers a new connection.
func (s *Server) addConn(netConn net.Conn) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConnID++
	conn := newConnection(s.lastConnID, netConn, int(s.writeBudget.limit)/queueBudgetDivisor)
	conn.budget = &s.writeBudget
	s.openConns[conn] = struct{}{}
	return conn
}

// removeConn closes and unregisters a connection whose reader has returned.
func (s *Server) removeConn(conn *connection) {
	conn.closeAfterWrite()
	conn.netConn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openConns, conn)
}

// Run serves callers at a listener until ctx ends, and then until every accepted call is answered.
func (s *Server) Run(ctx context.Context, ln net.Listener, reload <-chan Config) error {
	s.goroutines.Go(func() {
		s.acceptCallers(ln)
		close(s.listenerClosed)
	})
	s.goroutines.Go(func() {
		client := board.Client{Dial: s.dial, Addresses: s.boardAddresses, Seed: s.config.Settings.Policy.Seed,
			OnEvent:  s.postBoardEvent,
			OnStatus: func(up bool, err error) { s.post(event{kind: boardStatus, connected: up, err: err}) }}
		client.Run(s.runCtx, s.config.Board, s.lastBoardEvent)
	})
	s.log.Info("in service", "name", s.config.Name, "listen", s.config.Listen, "cores", s.config.Limits.Cores, "memory_mb", s.config.Limits.MemoryMB,
		"sockets", s.config.Limits.Sockets, "list", s.lastBoardEvent)
	s.eventLoop(ctx, ln, reload)
	s.cancelRun()
	ln.Close()
	s.shutDown()
	s.log.Info("ended", "unanswered", s.agent.Unanswered())
	return nil
}

// shutDown closes every connection after writing what is queued for it, by force after a timeout. Further events are discarded.
func (s *Server) shutDown() {
	finish := func(conn *connection) {
		if conn != nil {
			conn.closeAfterWrite()
		}
	}
	for _, conns := range []map[b2bua.ConnID]*connection{s.callerConns, s.switchConns} {
		for _, conn := range conns {
			finish(conn)
		}
	}
	finished := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(finished)
	}()
	timeout := time.After(lingerTimeout + shutdownMargin/5)
	for {
		select {
		case e := <-s.inbox:
			if e.handled != nil {
				e.handled <- struct{}{}
			}
			if finish(e.conn); e.kind == dialFinished && e.conn != nil { // a new connection that nothing reads or writes yet
				s.removeConn(e.conn)
			}
		case <-timeout:
			close(s.stopped)
			s.mu.Lock()
			for conn := range s.openConns {
				conn.netConn.Close()
			}
			s.mu.Unlock()
		case <-finished:
			return
		}
	}
}

// eventLoop handles events until the drain is complete. Only its goroutine uses the agent.
func (s *Server) eventLoop(ctx context.Context, ln net.Listener, reload <-chan Config) {
	summaryTicker := time.NewTicker(summaryInterval)
	defer summaryTicker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	drainRequested, listenerClosed := ctx.Done(), (<-chan struct{})(nil)
	var stopListening, failOpenCalls, quietPeriodOver <-chan time.Time
	acceptedBefore := uint64(0) // accepted calls when the last quiet period began
	for {
		now := s.now()
		due := s.agent.NextTick()
		if readUntil, reading := s.stall.TimersHeld(now); reading {
			due = max(due, readUntil)
		}
		timer.Reset(s.timeUntil(due))
		select {
		case e := <-s.inbox:
			s.detectStall(due)
			s.handle(e)
		case <-timer.C:
			s.detectStall(due)
		case <-drainRequested:
			s.detectStall(due)
			drainRequested = nil
			longestAbandon := time.Duration(0)
			for _, bearer := range s.config.Settings.Policy.Bearers {
				longestAbandon = max(longestAbandon, trunk.Duration(bearer.AbandonTime))
			}
			timeToKill := min(longestAbandon, maxAbandonTime) + killDelay
			stopListening = time.After(timeToKill - stopListeningLead)
			failOpenCalls = time.After(timeToKill - shutdownMargin)
			s.log.Info("draining", "unanswered", s.agent.Unanswered())
		case <-stopListening:
			s.detectStall(due)
			listenerClosed = s.listenerClosed
			stopAccepting(ln)
		case <-listenerClosed:
			s.detectStall(due)
			listenerClosed, quietPeriodOver = nil, time.After(quietPeriod)
		case <-quietPeriodOver:
			s.detectStall(due)
			if accepted := s.agent.Accepted(); accepted != acceptedBefore || s.agent.Unanswered() > 0 {
				acceptedBefore, quietPeriodOver = accepted, time.After(quietPeriod)
				break
			}
			return
		case <-failOpenCalls:
			s.handleQueued()
			s.agent.FailOpenCalls(s.now())
			return
		case config := <-reload:
			s.detectStall(due)
			s.reload(config)
		case <-summaryTicker.C:
			s.detectStall(due)
			s.logSummary()
		}
		s.handleQueued() // messages before timers: a message may make a timer void
		now = s.now()
		if s.stall.Running(now) {
			s.stalls++
		}
		if _, reading := s.stall.TimersHeld(now); !reading && now >= s.agent.NextTick() {
			s.agent.Tick(now, s.stall.LastEnd())
		}
	}
}

// handleQueued handles the events that are in the inbox now, but not those added meanwhile: a flood must not delay timers.
func (s *Server) handleQueued() {
	for range len(s.inbox) {
		s.handle(<-s.inbox)
	}
}

// detectStall counts a stall if the event loop woke too long after due.
func (s *Server) detectStall(due policy.Tenths) {
	if s.stall.Woke(s.now(), due) {
		s.stalls++
	}
}

// handle passes one event on to the agent.
func (s *Server) handle(e event) {
	now := s.now()
	if e.handled != nil {
		defer func() { e.handled <- struct{}{} }()
	}
	switch e.kind {
	case callerConnected:
		s.callerConns[e.connID] = e.conn
		s.log.Debug("caller connected", "conn", e.connID, "peer", e.conn.netConn.RemoteAddr())
		if !s.agent.CallerConnected(now, e.connID) {
			e.conn.closeAfterWrite()
		}
	case callerDisconnected:
		if s.callerConns[e.connID] != nil {
			s.log.Debug("caller connection: end of stream", "conn", e.connID, "err", e.err)
			delete(s.callerConns, e.connID)
			s.agent.CallerDisconnected(now, e.connID)
		}
	case callerMessage:
		e.conn.unhandledMessages.Add(-1)
		s.agent.FromCaller(now, e.readAt, e.connID, &e.message)
		if e.message.Method == sip.Cancel {
			e.conn.removeCancel(e.message.CallID)
		}
	case callerPartialMessage:
		s.agent.CallerMessagePartial(e.connID, e.readAt)
	case callerMalformed:
		s.warn(e.err.Error())
		s.agent.CallerMessageInvalid(now, e.connID, &e.message, errors.Is(e.err, sip.ErrTooLong), "unreadable")
	case dialFinished:
		if e.conn != nil {
			s.switchConns[e.connID] = e.conn
			s.log.Debug("switch connected", "conn", e.connID, "switch", board.FormatID(e.switchID))
			s.serveConn(e.conn, s.readSwitch, s.switchSlots)
		}
		s.agent.DialDone(now, e.switchID, e.dialID, e.connID, e.outcome)
	case switchDisconnected:
		if s.switchConns[e.connID] != nil {
			s.log.Debug("switch connection: end of stream", "conn", e.connID, "err", e.err)
			delete(s.switchConns, e.connID)
		}
		s.agent.SwitchDisconnected(now, e.connID, e.err == io.EOF) //nolint:errorlint // within a message the error is io.ErrUnexpectedEOF
	case switchMessage:
		if extraAnswer := s.config.crossedRelease(&e.message); extraAnswer != nil {
			s.agent.FromSwitch(now, e.connID, extraAnswer)
		}
		s.agent.FromSwitch(now, e.connID, &e.message)
	case switchPartialMessage:
		s.agent.SwitchMessagePartial(e.connID, e.readAt)
	case boardEvent:
		<-s.boardSlots
		s.lastBoardEvent = e.boardEvent.Number
		s.agent.UpdateSwitches(now, e.boardEvent)
	case boardStatus:
		if s.boardConnected = e.connected; e.connected {
			s.log.Info("notice board connected", "list", s.lastBoardEvent)
			return
		}
		s.log.Warn("notice board disconnected", "list", s.lastBoardEvent, "err", e.err)
	}
}

// reload applies a new configuration. Only the address of the notice board can change in service.
func (s *Server) reload(config Config) {
	if config.Board != s.config.Board {
		s.log.Info("notice board address changed", "board", config.Board)
		select { // replaces an address that was not taken yet
		case <-s.boardAddresses:
		default:
		}
		s.boardAddresses <- config.Board
	}
	s.config.Board = config.Board
	s.log.Info("configuration reloaded")
}
