package control

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"sync"
	"time"

	"indigodrift/internal/callagent"
	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// Gateways holds the settings for MGCP gateways.
type Gateways struct {
	Listen string // address where the call agent receives datagrams
	callagent.Site
}

// datagram holds the messages of one datagram from a gateway.
type datagram struct {
	from netip.AddrPort
	all  []mgcp.Message
	at   policy.Tenths // when it was read
}

// packet is an encoded message to a gateway.
type packet struct {
	to   netip.AddrPort
	text []byte
}

// datagramsMost is the capacity of the send queue. Datagrams beyond it are dropped, as the network may drop them: commands
// are retransmitted.
const datagramsMost = 4096

// agent connects the call agent to the server. The event loop calls it, one goroutine reads its socket and one writes to
// it. Without gateways it is nil.
type agent struct {
	s      *Server
	a      *callagent.Agent
	listen string
	send   chan packet
}

func newAgent(s *Server, g *Gateways) *agent {
	n := &agent{s: s, listen: g.Listen, send: make(chan packet, datagramsMost)}
	site := g.Site
	site.Life = uint32(time.Now().Unix()) // two starts within a second would share call IDs, but the first had no time to use any
	n.a = callagent.New(site, n, s.clock.Now())
	return n
}

// open opens the socket and starts its reader and writer, which run until ctx ends.
func (n *agent) open(ctx context.Context, all *sync.WaitGroup) error {
	conn, err := n.s.ListenPacket(n.listen)
	if err != nil {
		return fmt.Errorf("listen for gateways: %w", err)
	}
	all.Go(func() {
		<-ctx.Done()
		conn.Close()
	})
	all.Go(func() { n.read(conn) })
	all.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case p := <-n.send:
				conn.WriteTo(p.text, net.UDPAddrFromAddrPort(p.to)) // a failed write counts as a lost datagram
			}
		}
	})
	return nil
}

func (n *agent) read(conn net.PacketConn) {
	buf := make([]byte, mgcp.DatagramMost+1)
	for {
		size, from, err := conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-n.s.done:
				return
			default:
			}
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		at, err := netip.ParseAddrPort(from.String())
		if err != nil {
			continue
		}
		all, err := mgcp.Decode(buf[:size])
		if err != nil {
			n.s.log.Debug("datagram", "from", at, "why", err)
		}
		if len(all) > 0 { // the messages before a malformed one are used
			// Queued like events of the own switch: after a stall what users did is handled before remote switches' answers.
			(*reader)(n.s).put(event{kind: evDatagram, link: len(n.s.links) - 1, mgcp: datagram{at, all, n.s.clock.Now()}})
		}
	}
}

func (n *agent) next() policy.Tenths {
	if n == nil {
		return math.MaxInt64
	}
	at, ok := n.a.Next()
	if !ok {
		return math.MaxInt64
	}
	return at
}

func (n *agent) tick(now policy.Tenths) {
	if n != nil {
		n.a.Tick(now)
	}
}

// report logs the counters of gateways and their calls since the start of the process.
func (n *agent) report() {
	if n == nil {
		return
	}
	unexpected := 0
	for _, row := range n.a.Unexpected {
		for _, times := range row {
			unexpected += times
		}
	}
	c := n.a.Counts
	n.s.log.Info("gateway counters", "dialled", c.Dialled, "stood", c.Stood, "refused", c.Refused, "failed", c.Failed, "rung", c.Rung, "turned away", c.TurnedAway,
		"joined", c.Joined, "lost", c.Lost, "leftovers", c.Leftovers, "contradictions", c.Contradictions, "stale", c.Stale, "cut short", c.Incomplete,
		"unexpected", unexpected, "faults", c.Faults, "datagrams", c.Sent)
}

// telling counts the lines whose gateway has not answered a command that a call still depends on.
func (n *agent) telling(now policy.Tenths) int {
	if n == nil {
		return 0
	}
	return n.a.Telling(now)
}

func (n *agent) settle(now policy.Tenths) {
	if n != nil {
		n.a.Settle(now)
	}
}

func (n *agent) hears(point uint16, m isup.Message) bool {
	return n != nil && n.a.Hear(point, m.CIC, m)
}

// takes reports whether a call's side is a line at a gateway.
func (n *agent) takes(p recovery.Place) bool {
	return n != nil && !p.Trunk && n.a.Takes(p.Point, p.CIC)
}

func (n *agent) datagram(now policy.Tenths, d datagram) {
	n.a.Waits(now, now-d.at)
	for _, m := range d.all {
		n.a.Datagram(now, d.from, m, now-d.at)
	}
}

// Send queues a message for a gateway without blocking.
func (n *agent) Send(to netip.AddrPort, m mgcp.Message) {
	text, err := mgcp.Append(nil, m)
	if err != nil {
		n.s.log.Error("cannot encode message to gateway", "why", err)
		return
	}
	select {
	case n.send <- packet{to, text}:
	default:
	}
}

// Offer passes a message from a line at a gateway to the exchange.
func (n *agent) Offer(point, cic uint16, m isup.Message) {
	n.s.x.Receive(n.s.clock.Now(), exchange.Hop{Side: exchange.Line, Point: point}, m, 0)
}

// Note logs a notable event.
func (n *agent) Note(text string) { n.s.log.Info(text) }

// Told logs why a call of a line failed.
func (n *agent) Told(line int, words string) {
	n.s.log.Debug("call from gateway failed", "line", line, "why", words)
}
