// Package control runs one exchange: one goroutine owns internal/exchange and the deciding module in it, the links'
// goroutines hand it what they read through one bounded queue and take what it sends without ever making it wait. It
// decides nothing about a call.
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

// Neighbour is another exchange, the group of circuits to it, and where its switch listens.
type Neighbour struct {
	exchange.Neighbour
	Address string
}

// Site is what a running exchange is told.
type Site struct {
	Deployment policy.Deployment
	Exchanges  int // numbers of exchanges are below
	OwnSwitch  string
	Register   string
	Neighbours []Neighbour
	Inbox      int         // messages that may wait to be handled
	LinkMost   int         // octets that may wait on one link
	Control    string      // address that takes operators' orders, "" none
	Numbers    *Numbers    // nil: the first digits of a number name the exchange
	Gateways   *Gateways   // nil: no phones at MGCP gateways
	Ledger     string      // file that calls are kept in, "" none
	Disk       ledger.Disk // nil: this machine's
}

// Build makes the deciding module of an exchange.
type Build func(policy.Deployment, policy.Exchange, policy.Tenths) exchange.Decider

// clock counts from well above zero, so that no start of a switch falls before it.
type clock struct {
	base    time.Time
	stalled atomic.Int64
}

// lastWords is left to the links' writers for the answers that a drain ended with: they are handed to the kernel within
// microseconds, and a connection closed before that would lose them.
const lastWords = 20 * time.Millisecond

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

// Station is one running exchange.
type Station struct {
	site   Site
	log    *slog.Logger
	clock  *clock
	x      *exchange.Exchange
	view   *membership.View
	links  []*trunk.Link // the own switch's last
	reg    *register.Client
	inbox  chan event
	done   chan struct{}
	abort  chan struct{}
	lags   []lag.Lag // one for each link, used by its reader alone
	buf    []byte
	stall  lag.Stall
	held   []event        // read since a stall ended, not handled yet
	behind map[uint32]int // point code: index of the neighbour
	tables *tables
	orders net.Listener
	agent  *agent
	ledger *ledger.Ledger
	Ready  func() // called once when the own switch first answers
	// ListenPacket opens the socket that gateways are spoken to through; tests have it in memory.
	ListenPacket func(address string) (net.PacketConn, error)
	// Sent, if set, stands between the exchange and the links: scripted days alone set it, to plant a broken rule.
	Sent func(to exchange.Hop, m isup.Message, send func(exchange.Hop, isup.Message))
}

// New makes the station of a site; Run runs it.
func New(site Site, build Build, dial trunk.Dialer, log *slog.Logger) (*Station, error) {
	s := &Station{site: site, log: log, clock: &clock{base: time.Now()}, view: membership.NewView(site.Exchanges),
		inbox: make(chan event, site.Inbox), done: make(chan struct{}), abort: make(chan struct{}, 1), behind: map[uint32]int{},
		lags: make([]lag.Lag, len(site.Neighbours)+1), Ready: func() {},
		ListenPacket: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }}
	var near []exchange.Neighbour
	own := uint32(exchange.Point(site.Deployment.Own))
	line := trunk.Line{Own: own, Most: site.LinkMost, Links: len(site.Neighbours) + 1}
	for i, n := range site.Neighbours {
		near = append(near, n.Neighbour)
		s.behind[uint32(exchange.Point(n.Number))] = i
		line.Link, line.Peer, line.Address = i, uint32(exchange.Point(n.Number)), n.Address
		line.Seed = site.Deployment.Seed*0x9e3779b97f4a7c15 + uint64(i)
		s.links = append(s.links, trunk.NewLink(line, dial, s.clock, (*reader)(s)))
	}
	line.Link, line.Peer, line.Address, line.Links = len(near), own, site.OwnSwitch, 1
	line.Seed++
	s.links = append(s.links, trunk.NewLink(line, dial, s.clock, (*reader)(s)))
	s.reg = register.NewClient(site.Deployment.Own, site.Register, line.Seed+1, 1, dial, s.clock, (*reader)(s))
	s.x = exchange.New(site.Deployment, near, (*hands)(s), s.clock.Now(), build)
	if site.Numbers != nil {
		if err := s.openTables(site.Numbers, line.Seed+2); err != nil {
			return nil, err
		}
	}
	if site.Gateways != nil {
		s.agent = newAgent(s, site.Gateways)
	}
	if site.Ledger != "" {
		if err := s.openLedger(site.Ledger); err != nil {
			return nil, err
		}
	}
	if site.Control != "" {
		var err error
		if s.orders, err = net.Listen("tcp", site.Control); err != nil {
			return nil, fmt.Errorf("control socket: %w", err)
		}
	}
	return s, nil
}

// ErrAborted is what Run returns after Abort.
var ErrAborted = errors.New("aborted")

// Abort has Run return without a drain, as a killed process ends: for stations within a test, where there is no process to kill.
func (s *Station) Abort() {
	select {
	case s.abort <- struct{}{}:
	default:
	}
}

// ErrUnanswered is what Run returns when a drain ended with calls not answered.
var ErrUnanswered = errors.New("calls were left without an answer")

// Run serves until the context ends, then drains: no new call is taken and every call taken is answered before it
// returns.
func (s *Station) Run(ctx context.Context) error {
	carrying, stop := context.WithCancel(context.WithoutCancel(ctx))
	var all sync.WaitGroup
	for _, l := range s.links {
		all.Go(func() { l.Keep(carrying) })
	}
	all.Go(func() { s.reg.Keep(carrying) })
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

func (s *Station) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	quit, drainBy := ctx.Done(), policy.Tenths(0)
	for {
		now := s.clock.Now()
		next := min(s.x.Next(), s.agent.next())
		s.stood(s.stall.Works(now))
		until, reading := s.stall.Reading(now)
		if reading {
			next = max(next, until)
		} else {
			s.release()
		}
		if next <= now {
			s.x.Tick(now)
			s.agent.tick(now)
			if quit == nil && s.x.Unanswered() == 0 && (now >= drainBy || s.agent.telling(now) == 0) {
				return nil
			}
			if quit == nil && now >= drainBy {
				return fmt.Errorf("%w: %d", ErrUnanswered, s.x.Unanswered())
			}
			s.drainInbox(256) // what came meanwhile goes before the next timer
			continue
		}
		timer.Reset(trunk.Span(next - now))
		select {
		case <-s.abort:
			return ErrAborted
		case <-quit:
			quit = nil
			s.log.Info("draining", "unanswered", s.x.Unanswered(), "standing", s.x.Standing())
			s.x.Drain()
			s.links[len(s.links)-1].Send(m3ua.Frame{Kind: m3ua.Down})
			for _, b := range s.site.Deployment.Bearers {
				drainBy = max(drainBy, now+b.Abandon)
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

// stood notes that the process stood still until now.
func (s *Station) stood(stood bool) {
	if stood {
		s.clock.stalled.Store(int64(s.stall.Ended()))
		s.log.Info("this process stood still")
	}
}

// drainInbox handles what waits, at most so many.
func (s *Station) drainInbox(most int) {
	for range most {
		select {
		case ev := <-s.inbox:
			s.take(ev)
		default:
			return
		}
	}
}

// take handles what was read, or keeps it while what lay unread during a stall comes in.
func (s *Station) take(ev event) {
	now := s.clock.Now()
	s.stood(s.stall.Works(now))
	if _, reading := s.stall.Reading(now); reading {
		s.held = append(s.held, ev)
		return
	}
	s.release()
	s.handle(ev)
}

// release handles what was read after a stall: the own switch's word first, as a caller who left meanwhile must not be
// answered because a far end's answer was read before the caller's release.
func (s *Station) release() {
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
		if s.stood(s.stall.Works(now)); i+1 < len(order) {
			if _, reading := s.stall.Reading(now); reading { // it stood still again: the rest is old once more
				s.held = append(s.held, order[i+1:]...)
				return
			}
		}
	}
}

func (s *Station) handle(ev event) {
	now := s.clock.Now()
	defer s.agent.settle(now)
	own := ev.link == len(s.links)-1
	switch ev.kind {
	case evMessage:
		s.x.Receive(now, ev.hop, ev.m, ev.age)
	case evUp:
		if own {
			s.log.Info("own switch answers", "life", ev.life)
			s.x.OwnUp(now, ev.life)
			s.Ready()
			s.Ready = func() {}
			return
		}
		s.log.Debug("link up", "to", s.site.Neighbours[ev.link].Number, "life", ev.life)
		s.x.LinkUp(now, ev.link, ev.life)
	case evDown:
		if own {
			s.log.Info("link to the own switch broke", "why", ev.err)
			s.x.OwnDown(now)
			return
		}
		s.log.Info("link broke", "to", s.site.Neighbours[ev.link].Number, "why", ev.err)
		s.x.LinkDown(now, ev.link)
	case evList:
		verdict, told, doubts := s.view.Take(now, ev.list)
		for _, d := range doubts {
			s.log.Warn("register", "version", ev.list.Version, "doubt", d)
		}
		switch verdict {
		case membership.Accepted:
			s.x.Listed(now, ev.list.Whole, told)
			s.reg.Ack(ev.list.Version)
		case membership.Refused: // asked for anew at the module's pace: a register that goes on so was asked without end
			s.x.ListLost(now)
		}
	case evAdvice:
		s.x.Advise(ev.advice)
	case evLost:
		s.log.Info("register lost", "why", ev.err)
		s.x.ListLost(now)
	case evDo:
		ev.do()
	case evDatagram:
		s.agent.datagram(now, ev.mgcp)
	case evPort:
		s.x.Change(now, func(n *exchange.Numbering) {
			if ev.err != nil {
				n.Inquirer.Failed(now, ev.id)
			} else {
				n.Inquirer.Answered(now, ev.id, ev.port.Port, ev.port.Known, ev.port.Age)
			}
		})
	}
}

// Do has the goroutine that owns the exchange run something between two events, and waits for it. False: the station has
// ended.
func (s *Station) Do(do func()) bool {
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

// reader is the station as its links and its register client see it, each from its own goroutine.
type reader Station

func (r *reader) put(ev event) {
	select {
	case r.inbox <- ev:
	case <-r.done:
	}
}

// Up, Down, List, Advice and Lost hand over what happened.
func (r *reader) Up(link int, g trunk.Greeting) {
	// A switch in a new life has a new clock: with what was learned of the old one, every call seemed to have waited for
	// as long as the old life had lasted, and none was taken.
	r.lags[link] = lag.Lag{}
	if g.HasClock {
		r.lags[link] = lag.Begin(g.Asked, g.Read, g.Clock)
	}
	r.put(event{kind: evUp, link: link, life: g.Life})
}
func (r *reader) Down(link int, err error)  { r.put(event{kind: evDown, link: link, err: err}) }
func (r *reader) List(l membership.List)    { r.put(event{kind: evList, list: l}) }
func (r *reader) Advice(advice map[int]int) { r.put(event{kind: evAdvice, advice: advice}) }
func (r *reader) Lost(err error)            { r.put(event{kind: evLost, err: err}) }

// Frame hands over a message. A new call that finds no room in the inbox is answered here, at once.
func (r *reader) Frame(link int, f m3ua.Frame) error {
	m, err := isup.Decode(f.User)
	if err != nil {
		return err
	}
	hop := exchange.Hop{Side: exchange.Ahead, Peer: link}
	if own := len(r.links) - 1; link == own {
		if peer, ok := r.behind[f.From]; ok {
			hop = exchange.Hop{Side: exchange.Behind, Peer: peer}
		} else if f.From >= exchange.Lines && f.From < 1<<14 {
			hop = exchange.Hop{Side: exchange.Line, Point: uint16(f.From)}
		} else {
			return fmt.Errorf("point code %d is nobody's", f.From)
		}
	}
	ev := event{kind: evMessage, link: link, hop: hop, m: m}
	if m.Says.Has&isup.PartLeft != 0 {
		ev.age = r.lags[link].Age(r.clock.Now(), m.Says.Stamp)
	}
	if m.Type == isup.IAM && !exchange.RoomForCall(len(r.inbox), cap(r.inbox)) {
		(*Station)(r).transmit(nil, hop, isup.Message{CIC: m.CIC, Type: isup.REL, Cause: isup.Congestion, Location: isup.LocalNetwork})
		return nil
	}
	r.put(ev)
	return nil
}

// transmit sends a message; buf is scratch, nil to have some made.
func (s *Station) transmit(buf []byte, to exchange.Hop, m isup.Message) []byte {
	buf, err := isup.Append(buf[:0], m)
	if err != nil {
		s.log.Error("message cannot be sent", "why", err)
		return buf
	}
	own := len(s.links) - 1
	f := m3ua.Frame{Kind: m3ua.Data, From: uint32(exchange.Point(s.site.Deployment.Own)), User: buf, SLS: uint8(m.CIC)}
	link := own
	switch to.Side {
	case exchange.Line:
		f.To = uint32(to.Point)
	default:
		f.To = uint32(exchange.Point(s.site.Neighbours[to.Peer].Number))
		if to.Side == exchange.Ahead {
			link = to.Peer
		}
	}
	s.links[link].Send(f)
	return buf
}

// hands is the station as the exchange sees it: what carries out its wishes.
type hands Station

// Transmit sends a message.
func (h *hands) Transmit(to exchange.Hop, m isup.Message) {
	s := (*Station)(h)
	if to.Side == exchange.Line && s.agent.hears(to.Point, m) {
		return
	}
	if s.Sent != nil {
		s.Sent(to, m, func(to exchange.Hop, m isup.Message) { s.buf = s.transmit(s.buf, to, m) })
		return
	}
	s.buf = s.transmit(s.buf, to, m)
}

// Follow asks the register for the whole list.
func (h *hands) Follow() { h.reg.Ask() }

// Note writes a turning point.
func (h *hands) Note(text string) { h.log.Info(text) }

// Answered writes the final answer of a call.
func (h *hands) Answered(a exchange.Answer) {
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("answer", "call", a.Ref.Identity, "from", a.Ref.Point, "outcome", a.Outcome.String(), "dest", a.Dest,
			"tries", a.Tries, "took", trunk.Span(a.Took), "transit", a.Transit, "come_back", trunk.Span(a.ComeBack))
	}
}

// Reload takes settings read again while the exchange runs. Nothing in them can change under calls yet, so it tells
// whether they are the ones in force.
func (s *Station) Reload(again Site) bool { return reflect.DeepEqual(s.site, again) }
