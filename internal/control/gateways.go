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

// Gateways is what a site says of its MGCP gateways.
type Gateways struct {
	Listen string // where this call agent takes datagrams
	callagent.Site
}

// datagram is what was read from the gateways' socket at an instant.
type datagram struct {
	from netip.AddrPort
	all  []mgcp.Message
	at   policy.Tenths
}

type packet struct {
	to   netip.AddrPort
	text []byte
}

// datagramsMost may wait to be written. What comes beyond is dropped, as the network may drop it: commands are repeated.
const datagramsMost = 4096

// agent joins the call agent with the station: the owning goroutine calls it, one goroutine reads its socket, one writes. A nil
// agent is that of a site without gateways.
type agent struct {
	s      *Station
	a      *callagent.Agent
	listen string
	send   chan packet
}

func newAgent(s *Station, g *Gateways) *agent {
	n := &agent{s: s, listen: g.Listen, send: make(chan packet, datagramsMost)}
	site := g.Site
	site.Life = uint32(time.Now().Unix()) // two starts within a second would share call ids: the first had no time to make any
	n.a = callagent.New(site, n, s.clock.Now())
	return n
}

// open opens the socket and starts what reads and writes it, until ctx ends.
func (n *agent) open(ctx context.Context, all *sync.WaitGroup) error {
	conn, err := n.s.ListenPacket(n.listen)
	if err != nil {
		return fmt.Errorf("gateways' socket: %w", err)
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
				conn.WriteTo(p.text, net.UDPAddrFromAddrPort(p.to)) // what cannot be sent is lost, as on the way
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
		if len(all) > 0 { // of what is at fault the messages before it count
			// Beside the own switch's: after a stall what users did goes before what far ends answered.
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

// report writes what came of gateways and their calls in this life.
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
	n.s.log.Info("gateways in this life", "dialled", c.Dialled, "stood", c.Stood, "refused", c.Refused, "failed", c.Failed, "rung", c.Rung, "turned away", c.TurnedAway,
		"joined", c.Joined, "lost", c.Lost, "leftovers", c.Leftovers, "contradictions", c.Contradictions, "stale", c.Stale, "cut short", c.Incomplete,
		"unexpected", unexpected, "faults", c.Faults, "datagrams", c.Sent)
}

// telling counts what calls still wait for at gateways.
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

// takes tells whether a place is a line at a gateway.
func (n *agent) takes(p recovery.Place) bool {
	return n != nil && !p.Trunk && n.a.Takes(p.Point, p.CIC)
}

func (n *agent) datagram(now policy.Tenths, d datagram) {
	n.a.Waits(now, now-d.at)
	for _, m := range d.all {
		n.a.Datagram(now, d.from, m, now-d.at)
	}
}

// Send puts a message in the writer's queue and never waits.
func (n *agent) Send(to netip.AddrPort, m mgcp.Message) {
	text, err := mgcp.Append(nil, m)
	if err != nil {
		n.s.log.Error("message to a gateway cannot be sent", "why", err)
		return
	}
	select {
	case n.send <- packet{to, text}:
	default:
	}
}

// Offer gives the exchange a message from a line at a gateway.
func (n *agent) Offer(point, cic uint16, m isup.Message) {
	n.s.x.Receive(n.s.clock.Now(), exchange.Hop{Side: exchange.Line, Point: point}, m, 0)
}

// Note and Told write lines for staff.
func (n *agent) Note(text string) { n.s.log.Info(text) }
func (n *agent) Told(line int, words string) {
	n.s.log.Debug("call from a gateway came to nothing", "line", line, "why", words)
}
