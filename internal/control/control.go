// Package control runs one exchange. A single goroutine, the event loop, owns the internal/exchange instance and its
// decision module. The goroutines of the links pass received messages to it through one bounded queue, and sending never
// blocks it. The package makes no decisions about calls.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
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
	ExchangeCount    int    // exchanges in the network, numbered from 0
	OwnSwitchAddress string // address
	RegisterAddress  string // address
	Neighbours       []Neighbour
	InboxSize        int             // capacity of the event queue
	MaxLinkOctets    int             // maximum octets queued on one link
	ControlAddress   string          // address for operators' commands, "" for none
	NumberAnalysis   *NumberAnalysis // nil: the first digits of a number identify the exchange
	Gateways         *Gateways       // nil: no MGCP gateways
	LedgerFile       string          // file that stores the calls, "" for none
	Disk             ledger.Disk     // nil: the local file system
}

// DeciderBuilder creates the decision module of an exchange.
type DeciderBuilder func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider

// clock is the time of this process. It starts well above zero, so that the start time of a switch is never negative.
type clock struct {
	base    time.Time
	stalled atomic.Int64 // end of the last stall
}

// lastWords is the time between the end of a drain and the closing of the links. The writers hand the last answers to
// the kernel within microseconds; closing a connection earlier would lose them.
const lastWords = 20 * time.Millisecond

// epoch is the reading of the clock when the process starts.
const epoch = policy.Tenths(1 << 32)

func (c *clock) Now() policy.Tenths {
	return epoch + policy.Tenths(time.Since(c.base)/(100*time.Microsecond))
}
func (c *clock) Stalled() policy.Tenths { return policy.Tenths(c.stalled.Load()) }

type eventKind uint8

const (
	evMessage eventKind = iota
	evUp
	evDown
	evList
	evAdvice
	evLost
	evDo
	evPort
	evDatagram
)

type event struct {
	kind   eventKind
	link   int
	hop    exchange.Hop
	m      isup.Message
	age    policy.Tenths
	life   string
	err    error
	list   membership.List
	advice map[int]int
	do     func()
	port   enum.Answer
	id     uint32
	mgcp   datagram
}

// Server runs one exchange.
type Server struct {
	site    Config
	log     *slog.Logger
	clock   *clock
	x       *exchange.Exchange
	view    *membership.View
	links   []*trunk.Link // one for each neighbour, then the own switch's
	reg     *register.Client
	inbox   chan event
	done    chan struct{}
	abort   chan struct{}
	lags    []lag.Estimator // one for each link, used only by its reader
	buf     []byte
	stall   lag.StallDetector
	held    []event        // received since a stall ended, not handled yet
	behind  map[uint32]int // point code: neighbour index
	tables  *tables
	orders  net.Listener
	agent   *agent
	ledger  *ledger.Ledger
	OnReady func() // called once when the own switch first answers
	// ListenPacket opens the socket for MGCP gateways. Tests replace it with one in memory.
	ListenPacket func(address string) (net.PacketConn, error)
	// InterceptSend, if set, intercepts messages from the exchange to the links. Only scripted days set it, to break a rule on
	// purpose.
	InterceptSend func(to exchange.Hop, m isup.Message, send func(exchange.Hop, isup.Message))
}

// New creates a server from settings. Run starts it.
func New(site Config, build DeciderBuilder, dial trunk.Dialer, log *slog.Logger) (*Server, error) {
	s := &Server{site: site, log: log, clock: &clock{base: time.Now()}, view: membership.NewView(site.ExchangeCount),
		inbox: make(chan event, site.InboxSize), done: make(chan struct{}), abort: make(chan struct{}, 1), behind: map[uint32]int{},
		lags: make([]lag.Estimator, len(site.Neighbours)+1), OnReady: func() {},
		ListenPacket: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }}
	var near []exchange.Neighbour
	own := uint32(exchange.PointCode(site.Deployment.OwnExchange))
	line := trunk.Config{OwnPoint: own, MaxQueuedOctets: site.MaxLinkOctets, LinkCount: len(site.Neighbours) + 1}
	for i, n := range site.Neighbours {
		near = append(near, n.Neighbour)
		s.behind[uint32(exchange.PointCode(n.Number))] = i
		line.Index, line.PeerPoint, line.Address = i, uint32(exchange.PointCode(n.Number)), n.Address
		line.Seed = site.Deployment.Seed*0x9e3779b97f4a7c15 + uint64(i)
		s.links = append(s.links, trunk.NewLink(line, dial, s.clock, (*reader)(s)))
	}
	line.Index, line.PeerPoint, line.Address, line.LinkCount = len(near), own, site.OwnSwitchAddress, 1
	line.Seed++
	s.links = append(s.links, trunk.NewLink(line, dial, s.clock, (*reader)(s)))
	s.reg = register.NewClient(site.Deployment.OwnExchange, site.RegisterAddress, line.Seed+1, 1, dial, s.clock, (*reader)(s))
	s.x = exchange.New(site.Deployment, near, (*hands)(s), s.clock.Now(), build)
	if site.NumberAnalysis != nil {
		if err := s.openTables(site.NumberAnalysis, line.Seed+2); err != nil {
			return nil, err
		}
	}
	if site.Gateways != nil {
		s.agent = newAgent(s, site.Gateways)
	}
	if site.LedgerFile != "" {
		if err := s.openLedger(site.LedgerFile); err != nil {
			return nil, err
		}
	}
	if site.ControlAddress != "" {
		var err error
		if s.orders, err = net.Listen("tcp", site.ControlAddress); err != nil {
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

// Run serves until the context ends, then drains: it accepts no new call and returns once every accepted call is
// answered.
func (s *Server) Run(ctx context.Context) error {
	carrying, stop := context.WithCancel(context.WithoutCancel(ctx))
	var all sync.WaitGroup
	for _, l := range s.links {
		all.Go(func() { l.Run(carrying) })
	}
	all.Go(func() { s.reg.Run(carrying) })
	if s.tables != nil {
		all.Go(func() { s.tables.run(carrying) })
	}
	if s.orders != nil {
		all.Go(func() { s.takeOrders(carrying, s.orders) })
	}
	if s.ledger != nil {
		go s.ledger.Run()
		defer s.ledger.Close()
	}
	if s.agent != nil {
		if err := s.agent.open(carrying, &all); err != nil {
			stop()
			close(s.done)
			all.Wait()
			return err
		}
	}
	err := s.loop(ctx)
	s.agent.report()
	if err == nil {
		time.Sleep(lastWords)
	}
	stop()
	close(s.done)
	all.Wait()
	return err
}

func (s *Server) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	quit, drainBy := ctx.Done(), policy.Tenths(0)
	for {
		now := s.clock.Now()
		next := min(s.x.Next(), s.agent.next())
		s.stood(s.stall.Running(now))
		until, reading := s.stall.TimersHeld(now)
		if reading {
			next = max(next, until)
		} else {
			s.release()
		}
		if next <= now {
			s.x.Tick(now)
			s.agent.tick(now)
			if quit == nil && s.x.UnansweredCalls() == 0 && (now >= drainBy || s.agent.telling(now) == 0) {
				return nil
			}
			if quit == nil && now >= drainBy {
				return fmt.Errorf("%w: %d", ErrUnanswered, s.x.UnansweredCalls())
			}
			s.drainInbox(256) // queued events go before the next timer
			continue
		}
		timer.Reset(trunk.Duration(next - now))
		select {
		case <-s.abort:
			return ErrAborted
		case <-quit:
			quit = nil
			s.log.Info("draining", "unanswered", s.x.UnansweredCalls(), "standing", s.x.EstablishedCalls())
			s.x.Drain()
			s.links[len(s.links)-1].Send(m3ua.Frame{Kind: m3ua.ASPDown})
			for _, b := range s.site.Deployment.Bearers {
				drainBy = max(drainBy, now+b.AbandonTime)
			}
		case ev := <-s.inbox:
			s.stood(s.stall.Woke(s.clock.Now(), next))
			s.take(ev)
			s.drainInbox(256)
		case <-timer.C:
			s.stood(s.stall.Woke(s.clock.Now(), next))
		}
	}
}

// stood records a stall of the process that ended just now.
func (s *Server) stood(stood bool) {
	if stood {
		s.clock.stalled.Store(int64(s.stall.LastEnd()))
		s.log.Info("process was stalled")
	}
}

// drainInbox handles queued events, up to a limit.
func (s *Server) drainInbox(most int) {
	for range most {
		select {
		case ev := <-s.inbox:
			s.take(ev)
		default:
			return
		}
	}
}

// take handles an event, or holds it back while messages that arrived during a stall are still being read.
func (s *Server) take(ev event) {
	now := s.clock.Now()
	s.stood(s.stall.Running(now))
	if _, reading := s.stall.TimersHeld(now); reading {
		s.held = append(s.held, ev)
		return
	}
	s.release()
	s.handle(ev)
}

// release handles the events held back after a stall, those of the own switch first: a caller who abandoned the call
// during the stall must not be answered because a remote switch's answer was read before the caller's release.
func (s *Server) release() {
	if len(s.held) == 0 {
		return
	}
	var order []event
	for _, own := range []bool{true, false} {
		for _, ev := range s.held {
			if (ev.link == len(s.links)-1) == own {
				order = append(order, ev)
			}
		}
	}
	s.held = nil
	for i, ev := range order {
		s.handle(ev)
		now := s.clock.Now()
		if s.stood(s.stall.Running(now)); i+1 < len(order) {
			if _, reading := s.stall.TimersHeld(now); reading { // another stall: hold the rest back again
				s.held = append(s.held, order[i+1:]...)
				return
			}
		}
	}
}

func (s *Server) handle(ev event) {
	now := s.clock.Now()
	defer s.agent.settle(now)
	own := ev.link == len(s.links)-1
	switch ev.kind {
	case evMessage:
		s.x.Receive(now, ev.hop, ev.m, ev.age)
	case evUp:
		if own {
			s.log.Info("own switch is up", "life", ev.life)
			s.x.OwnSwitchUp(now, ev.life)
			s.OnReady()
			s.OnReady = func() {}
			return
		}
		s.log.Debug("link is up", "to", s.site.Neighbours[ev.link].Number, "life", ev.life)
		s.x.LinkUp(now, ev.link, ev.life)
	case evDown:
		if own {
			s.log.Info("link to own switch is down", "why", ev.err)
			s.x.OwnSwitchDown(now)
			return
		}
		s.log.Info("link is down", "to", s.site.Neighbours[ev.link].Number, "why", ev.err)
		s.x.LinkDown(now, ev.link)
	case evList:
		verdict, told, doubts := s.view.Apply(now, ev.list)
		for _, d := range doubts {
			s.log.Warn("register", "version", ev.list.Version, "doubt", d)
		}
		switch verdict {
		case membership.Accepted:
			s.x.Listed(now, ev.list.Full, told)
			s.reg.Ack(ev.list.Version)
		case membership.Rejected:
			// The decision module paces the next request: asking at once never ended with a register that kept sending
			// bad lists.
			s.x.ListLost(now)
		}
	case evAdvice:
		s.x.SetAdvice(ev.advice)
	case evLost:
		s.log.Info("connection to register lost", "why", ev.err)
		s.x.ListLost(now)
	case evDo:
		ev.do()
	case evDatagram:
		s.agent.datagram(now, ev.mgcp)
	case evPort:
		s.x.UpdateNumbering(now, func(n *exchange.Numbering) {
			if ev.err != nil {
				n.Portability.Failed(now, ev.id)
			} else {
				n.Portability.Answered(now, ev.id, ev.port.Port, ev.port.Known, ev.port.Age)
			}
		})
	}
}

// Do runs a function on the event loop, between two events, and waits for it. It returns false if the server has ended.
func (s *Server) Do(do func()) bool {
	ran := make(chan struct{})
	select {
	case s.inbox <- event{kind: evDo, do: func() { do(); close(ran) }}:
	case <-s.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-s.done:
		return false
	}
}

// reader receives what happens on the links and at the register client, each on its own goroutine, and queues it for the
// event loop.
type reader Server

func (r *reader) put(ev event) {
	select {
	case r.inbox <- ev:
	case <-r.done:
	}
}

// LinkUp reports that a link came up.
func (r *reader) LinkUp(link int, g trunk.Handshake) {
	// A restarted switch has a new clock. With the estimate of the old one every call seemed to have waited for as long as
	// the switch had run before, and none was accepted.
	r.lags[link] = lag.Estimator{}
	if g.HasClock {
		r.lags[link] = lag.NewEstimator(g.SentAt, g.ReceivedAt, g.Clock)
	}
	r.put(event{kind: evUp, link: link, life: g.Incarnation})
}

// LinkDown reports that a link went down.
func (r *reader) LinkDown(link int, err error) { r.put(event{kind: evDown, link: link, err: err}) }

// HandleList reports a list of switches from the register.
func (r *reader) HandleList(l membership.List) { r.put(event{kind: evList, list: l}) }

// HandleAdvice reports tandems that the register advises.
func (r *reader) HandleAdvice(advice map[int]int) { r.put(event{kind: evAdvice, advice: advice}) }

// RegisterLost reports that the connection to the register ended.
func (r *reader) RegisterLost(err error) { r.put(event{kind: evLost, err: err}) }

// HandleFrame queues a message from a link. If the queue has no capacity for a new call, the call is refused here, at once.
func (r *reader) HandleFrame(link int, f m3ua.Frame) error {
	m, err := isup.Decode(f.UserData)
	if err != nil {
		return err
	}
	hop := exchange.Hop{Side: exchange.Succeeding, Peer: link}
	if own := len(r.links) - 1; link == own {
		if peer, ok := r.behind[f.OPC]; ok {
			hop = exchange.Hop{Side: exchange.Preceding, Peer: peer}
		} else if f.OPC >= exchange.FirstSubscriberPoint && f.OPC < 1<<14 {
			hop = exchange.Hop{Side: exchange.Line, Point: uint16(f.OPC)}
		} else {
			return fmt.Errorf("point code %d is not known", f.OPC)
		}
	}
	ev := event{kind: evMessage, link: link, hop: hop, m: m}
	if m.UserInfo.Present&isup.PartTimeLeft != 0 {
		ev.age = r.lags[link].Age(r.clock.Now(), m.UserInfo.SentAt)
	}
	if m.Type == isup.IAM && !exchange.QueueAcceptsCall(len(r.inbox), cap(r.inbox)) {
		(*Server)(r).transmit(nil, hop, isup.Message{CIC: m.CIC, Type: isup.REL, Cause: isup.Congestion, Location: isup.LocalNetwork})
		return nil
	}
	r.put(ev)
	return nil
}

// transmit encodes and sends a message. buf is scratch memory and may be nil.
func (s *Server) transmit(buf []byte, to exchange.Hop, m isup.Message) []byte {
	buf, err := isup.Append(buf[:0], m)
	if err != nil {
		s.log.Error("cannot encode message", "why", err)
		return buf
	}
	own := len(s.links) - 1
	f := m3ua.Frame{Kind: m3ua.Data, OPC: uint32(exchange.PointCode(s.site.Deployment.OwnExchange)), UserData: buf, SLS: uint8(m.CIC)}
	link := own
	switch to.Side {
	case exchange.Line:
		f.DPC = uint32(to.Point)
	default:
		f.DPC = uint32(exchange.PointCode(s.site.Neighbours[to.Peer].Number))
		if to.Side == exchange.Succeeding {
			link = to.Peer
		}
	}
	s.links[link].Send(f)
	return buf
}

// hands carries out what the exchange asks for.
type hands Server

// Transmit sends a message to a line or a neighbour.
func (h *hands) Transmit(to exchange.Hop, m isup.Message) {
	s := (*Server)(h)
	if to.Side == exchange.Line && s.agent.hears(to.Point, m) {
		return
	}
	if s.InterceptSend != nil {
		s.InterceptSend(to, m, func(to exchange.Hop, m isup.Message) { s.buf = s.transmit(s.buf, to, m) })
		return
	}
	s.buf = s.transmit(s.buf, to, m)
}

// Follow requests the full list of switches from the register.
func (h *hands) Follow() { h.reg.RequestList() }

// Note logs a notable event.
func (h *hands) Note(text string) { h.log.Info(text) }

// Answered logs the final answer of a call.
func (h *hands) Answered(a exchange.Answer) {
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("answer", "call", a.Ref.Identity, "from", a.Ref.Point, "outcome", a.Outcome.String(), "dest", a.Dest,
			"tries", a.Tries, "took", trunk.Duration(a.Duration), "transit", a.Transit, "come_back", trunk.Duration(a.RetryAfter))
	}
}

// Reload compares settings that were read again with those in force. No setting can change while the exchange runs, so
// it only reports whether they are equal.
func (s *Server) Reload(again Config) bool { return reflect.DeepEqual(s.site, again) }
