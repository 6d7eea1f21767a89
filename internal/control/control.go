// Package control runs one exchange. A single goroutine, the event loop, owns the internal/exchange instance and its
// decider. The goroutines of the links pass received messages to it through one bounded queue, and sending never blocks
// it. The package makes no decisions about calls.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"time"

	"indigodrift/internal/enum"
	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/lag"
	"indigodrift/internal/ledger"
	"indigodrift/internal/m3ua"
	"indigodrift/internal/membership"
	"indigodrift/internal/register"
	"indigodrift/internal/trunk"
	"indigodrift/policy"
)

// Neighbour is another exchange, the group of circuits to it, and the address of its switch.
type Neighbour struct {
	exchange.Neighbour
	Address string
}

// Config holds the settings of a running exchange.
type Config struct {
	Deployment       policy.Deployment
	ExchangeCount    int // exchanges in the network, numbered from 0
	OwnSwitchAddress string
	RegisterAddress  string
	Neighbours       []Neighbour
	InboxSize        int             // capacity of the event queue
	MaxLinkOctets    int             // maximum octets queued on one link
	ControlAddress   string          // address for operators' commands, "" for none
	NumberAnalysis   *NumberAnalysis // nil: the first digits of a number identify the exchange
	Gateways         *Gateways       // nil: no MGCP gateways
	LedgerFile       string          // file that stores the calls, "" for none
	Disk             ledger.Disk     // nil: the local file system
}

// DeciderBuilder creates the decider of an exchange.
type DeciderBuilder func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider

// finalWriteDelay is the time between the end of a drain and the closing of the links. The writers hand the last answers to
// the kernel within microseconds; closing a connection earlier would lose them.
const finalWriteDelay = 20 * time.Millisecond

// eventKind is the kind of an event.
type eventKind uint8

const (
	evMessage eventKind = iota
	evLinkUp
	evLinkDown
	evList
	evAdvice
	evRegisterLost
	evFunc // run a function on the event loop
	evPortability
	evDatagram
)

// event is what the event loop handles; each kind sets the fields that it needs.
type event struct {
	kind        eventKind
	link        int // index of the link, the last of which is the own switch's
	hop         exchange.Hop
	message     isup.Message
	age         policy.Tenths // how long the message waited before it was read
	incarnation string        // of the switch
	err         error
	list        membership.List
	advice      map[int]int
	run         func()
	portability enum.Answer
	queryID     uint32 // of the portability query
	datagram    datagram
}

// Server runs one exchange.
type Server struct {
	config           Config
	log              *slog.Logger
	clock            *clock
	exchange         *exchange.Exchange
	membership       *membership.View
	links            []*trunk.Link // one for each neighbour, then the own switch's
	register         *register.Client
	inbox            chan event
	done             chan struct{}
	abort            chan struct{}
	messageLags      []lag.Estimator // one for each link, used only by its reader
	sendBuffer       []byte
	stallDetector    lag.StallDetector
	heldEvents       []event        // received since a stall ended, not handled yet
	neighbourByPoint map[uint32]int // point code: neighbour index
	tables           *tableManager
	controlListener  net.Listener
	agent            *agentAdapter
	ledger           *ledger.Ledger
	OnReady          func() // called once when the own switch first answers
	// ListenPacket opens the socket for MGCP gateways. Tests replace it with one in memory.
	ListenPacket func(address string) (net.PacketConn, error)
	// InterceptSend, if set, intercepts messages from the exchange to the links. Only scripted days set it, to plant a
	// violation of a call rule.
	InterceptSend func(to exchange.Hop, m isup.Message, send func(exchange.Hop, isup.Message))
}

// New creates a server from settings. Run starts it.
func New(config Config, build DeciderBuilder, dial trunk.Dialer, log *slog.Logger) (*Server, error) {
	s := &Server{config: config, log: log, clock: &clock{startTime: time.Now()}, membership: membership.NewView(config.ExchangeCount),
		inbox: make(chan event, config.InboxSize), done: make(chan struct{}), abort: make(chan struct{}, 1), neighbourByPoint: map[uint32]int{},
		messageLags: make([]lag.Estimator, len(config.Neighbours)+1), OnReady: func() {},
		ListenPacket: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }}
	var neighbours []exchange.Neighbour
	ownPoint := uint32(exchange.PointCode(config.Deployment.OwnExchange))
	linkConfig := trunk.Config{OwnPoint: ownPoint, MaxQueuedOctets: config.MaxLinkOctets, LinkCount: len(config.Neighbours) + 1}
	for i, n := range config.Neighbours {
		neighbours = append(neighbours, n.Neighbour)
		s.neighbourByPoint[uint32(exchange.PointCode(n.Number))] = i
		linkConfig.Index, linkConfig.PeerPoint, linkConfig.Address = i, uint32(exchange.PointCode(n.Number)), n.Address
		linkConfig.Seed = config.Deployment.Seed*0x9e3779b97f4a7c15 + uint64(i)
		s.links = append(s.links, trunk.NewLink(linkConfig, dial, s.clock, (*inputHandler)(s)))
	}
	linkConfig.Index, linkConfig.PeerPoint, linkConfig.Address, linkConfig.LinkCount = len(neighbours), ownPoint, config.OwnSwitchAddress, 1
	linkConfig.Seed++
	s.links = append(s.links, trunk.NewLink(linkConfig, dial, s.clock, (*inputHandler)(s)))
	s.register = register.NewClient(config.Deployment.OwnExchange, config.RegisterAddress, linkConfig.Seed+1, 1, dial, s.clock, (*inputHandler)(s))
	s.exchange = exchange.New(config.Deployment, neighbours, (*outputHandler)(s), s.clock.Now(), build)
	if config.NumberAnalysis != nil {
		if err := s.openTables(config.NumberAnalysis, linkConfig.Seed+2); err != nil {
			return nil, err
		}
	}
	if config.Gateways != nil {
		s.agent = newAgentAdapter(s, config.Gateways)
	}
	if config.LedgerFile != "" {
		if err := s.openLedger(config.LedgerFile); err != nil {
			return nil, err
		}
	}
	if config.ControlAddress != "" {
		var err error
		if s.controlListener, err = net.Listen("tcp", config.ControlAddress); err != nil {
			return nil, fmt.Errorf("listen on control socket: %w", err)
		}
	}
	return s, nil
}

// ErrAborted is returned by Run after Abort.
var ErrAborted = errors.New("aborted")

// Abort makes Run return without a drain, like a killed process. Tests use it, as they have no process to kill.
func (s *Server) Abort() {
	select {
	case s.abort <- struct{}{}:
	default:
	}
}

// ErrUnanswered is returned by Run when a drain ends with unanswered calls.
var ErrUnanswered = errors.New("drain ended with unanswered calls")

// Run serves until the context ends, then drains: it accepts no new calls and returns once every accepted call is
// answered.
func (s *Server) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, l := range s.links {
		wg.Go(func() { l.Run(serveCtx) })
	}
	wg.Go(func() { s.register.Run(serveCtx) })
	if s.tables != nil {
		wg.Go(func() { s.tables.writeHistory(serveCtx) })
	}
	if s.controlListener != nil {
		wg.Go(func() { s.serveCommands(serveCtx, s.controlListener) })
	}
	if s.ledger != nil {
		go s.ledger.Run()
		defer s.ledger.Close()
	}
	if s.agent != nil {
		if err := s.agent.open(serveCtx, &wg); err != nil {
			stop()
			close(s.done)
			wg.Wait()
			return err
		}
	}
	err := s.eventLoop(ctx)
	s.agent.logCounters()
	if err == nil {
		time.Sleep(finalWriteDelay)
	}
	stop()
	close(s.done)
	wg.Wait()
	return err
}

// eventLoop handles events and timers until a drain is complete or Abort is called.
func (s *Server) eventLoop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	shutdown, drainDeadline := ctx.Done(), policy.Tenths(0)
	for {
		now := s.clock.Now()
		next := min(s.exchange.Next(), s.agent.nextDeadline())
		s.recordStall(s.stallDetector.Running(now))
		holdEnd, timersHeld := s.stallDetector.TimersHeld(now)
		if timersHeld {
			next = max(next, holdEnd)
		} else {
			s.handleHeld()
		}
		if next <= now {
			s.exchange.Tick(now)
			s.agent.tick(now)
			if shutdown == nil && s.exchange.UnansweredCalls() == 0 && (now >= drainDeadline || s.agent.pendingCommands(now) == 0) {
				return nil
			}
			if shutdown == nil && now >= drainDeadline {
				return fmt.Errorf("%w: %d", ErrUnanswered, s.exchange.UnansweredCalls())
			}
			s.drainInbox(256) // queued events go before the next timer
			continue
		}
		timer.Reset(trunk.Duration(next - now))
		select {
		case <-s.abort:
			return ErrAborted
		case <-shutdown:
			shutdown = nil
			s.log.Info("draining", "unanswered", s.exchange.UnansweredCalls(), "standing", s.exchange.EstablishedCalls())
			s.exchange.Drain()
			s.links[len(s.links)-1].Send(m3ua.Frame{Kind: m3ua.ASPDown})
			for _, b := range s.config.Deployment.Bearers {
				drainDeadline = max(drainDeadline, now+b.AbandonTime)
			}
		case ev := <-s.inbox:
			s.recordStall(s.stallDetector.Woke(s.clock.Now(), next))
			s.handleOrHold(ev)
			s.drainInbox(256)
		case <-timer.C:
			s.recordStall(s.stallDetector.Woke(s.clock.Now(), next))
		}
	}
}

// recordStall records and logs a stall of the process that ended just now, if there was one.
func (s *Server) recordStall(stalled bool) {
	if stalled {
		s.clock.lastStallEnd.Store(int64(s.stallDetector.LastEnd()))
		s.log.Info("process was stalled")
	}
}

// drainInbox handles queued events, up to a limit.
func (s *Server) drainInbox(limit int) {
	for range limit {
		select {
		case ev := <-s.inbox:
			s.handleOrHold(ev)
		default:
			return
		}
	}
}

// handleOrHold handles an event, or holds it back while messages that arrived during a stall are still being read.
func (s *Server) handleOrHold(ev event) {
	now := s.clock.Now()
	s.recordStall(s.stallDetector.Running(now))
	if _, timersHeld := s.stallDetector.TimersHeld(now); timersHeld {
		s.heldEvents = append(s.heldEvents, ev)
		return
	}
	s.handleHeld()
	s.handle(ev)
}

// handleHeld handles the events held back after a stall, those of the own switch first: a caller who abandoned the call
// during the stall must not be answered because a remote switch's answer was read before the caller's release.
func (s *Server) handleHeld() {
	if len(s.heldEvents) == 0 {
		return
	}
	var ordered []event
	for _, own := range []bool{true, false} {
		for _, ev := range s.heldEvents {
			if (ev.link == len(s.links)-1) == own {
				ordered = append(ordered, ev)
			}
		}
	}
	s.heldEvents = nil
	for i, ev := range ordered {
		s.handle(ev)
		now := s.clock.Now()
		if s.recordStall(s.stallDetector.Running(now)); i+1 < len(ordered) {
			if _, timersHeld := s.stallDetector.TimersHeld(now); timersHeld { // another stall: hold the rest back again
				s.heldEvents = append(s.heldEvents, ordered[i+1:]...)
				return
			}
		}
	}
}

// handle handles one event.
func (s *Server) handle(ev event) {
	now := s.clock.Now()
	defer s.agent.processQueue(now)
	own := ev.link == len(s.links)-1
	switch ev.kind {
	case evMessage:
		s.exchange.Receive(now, ev.hop, ev.message, ev.age)
	case evLinkUp:
		if own {
			s.log.Info("own switch is up", "life", ev.incarnation)
			s.exchange.OwnSwitchUp(now, ev.incarnation)
			s.OnReady()
			s.OnReady = func() {}
			return
		}
		s.log.Debug("link is up", "to", s.config.Neighbours[ev.link].Number, "life", ev.incarnation)
		s.exchange.LinkUp(now, ev.link, ev.incarnation)
	case evLinkDown:
		if own {
			s.log.Info("link to own switch is down", "why", ev.err)
			s.exchange.OwnSwitchDown(now)
			return
		}
		s.log.Info("link is down", "to", s.config.Neighbours[ev.link].Number, "why", ev.err)
		s.exchange.LinkDown(now, ev.link)
	case evList:
		verdict, switches, remarks := s.membership.Apply(now, ev.list)
		for _, remark := range remarks {
			s.log.Warn("register", "version", ev.list.Version, "doubt", remark)
		}
		switch verdict {
		case membership.Accepted:
			s.exchange.ListReceived(now, ev.list.Full, switches)
			s.register.Ack(ev.list.Version)
		case membership.Rejected:
			// The decider paces the next request: requests sent at once went on without end when a register kept sending
			// invalid lists.
			s.exchange.ListLost(now)
		}
	case evAdvice:
		s.exchange.SetAdvice(ev.advice)
	case evRegisterLost:
		s.log.Info("connection to register lost", "why", ev.err)
		s.exchange.ListLost(now)
	case evFunc:
		ev.run()
	case evDatagram:
		s.agent.handleDatagram(now, ev.datagram)
	case evPortability:
		s.exchange.UpdateNumbering(now, func(n *exchange.Numbering) {
			if ev.err != nil {
				n.Portability.HandleFailure(now, ev.queryID)
			} else {
				n.Portability.HandleAnswer(now, ev.queryID, ev.portability.Porting, ev.portability.Known, ev.portability.TTL)
			}
		})
	}
}

// Do runs a function on the event loop, between two events, and waits for it. It returns false if the server has ended.
func (s *Server) Do(run func()) bool {
	finished := make(chan struct{})
	select {
	case s.inbox <- event{kind: evFunc, run: func() { run(); close(finished) }}:
	case <-s.done:
		return false
	}
	select {
	case <-finished:
		return true
	case <-s.done:
		return false
	}
}

// Reload compares settings that were read again with those in force. No setting can change while the exchange runs, so
// it only reports whether they are equal.
func (s *Server) Reload(reread Config) bool { return reflect.DeepEqual(s.config, reread) }
