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
	ListenAddress string // address where the call agent receives datagrams
	callagent.Config
}

// datagram holds the messages of one datagram from a gateway.
type datagram struct {
	from     netip.AddrPort
	messages []mgcp.Message
	readAt   policy.Tenths // when it was read
}

// encodedMessage is a message to a gateway that waits to be sent.
type encodedMessage struct {
	to      netip.AddrPort
	payload []byte
}

// maxQueuedDatagrams is the capacity of the send queue. Datagrams beyond it are dropped, as the network may drop them: commands
// are retransmitted.
const maxQueuedDatagrams = 4096

// agentAdapter connects the call agent to the server. The event loop calls it, one goroutine reads its socket and one writes to
// it. Without gateways it is nil.
type agentAdapter struct {
	server        *Server
	agent         *callagent.Agent
	listenAddress string
	sendQueue     chan encodedMessage
}

// newAgentAdapter creates the call agent.
func newAgentAdapter(s *Server, settings *Gateways) *agentAdapter {
	a := &agentAdapter{server: s, listenAddress: settings.ListenAddress, sendQueue: make(chan encodedMessage, maxQueuedDatagrams)}
	agentSettings := settings.Config
	// Two starts within a second would share call IDs, but the first would have had no time to use any.
	agentSettings.Incarnation = uint32(time.Now().Unix())
	a.agent = callagent.New(agentSettings, a, s.clock.Now())
	return a
}

// open opens the socket and starts its reader and writer, which run until ctx ends.
func (a *agentAdapter) open(ctx context.Context, wg *sync.WaitGroup) error {
	conn, err := a.server.ListenPacket(a.listenAddress)
	if err != nil {
		return fmt.Errorf("listen for gateways: %w", err)
	}
	wg.Go(func() {
		<-ctx.Done()
		conn.Close()
	})
	wg.Go(func() { a.read(conn) })
	wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case p := <-a.sendQueue:
				conn.WriteTo(p.payload, net.UDPAddrFromAddrPort(p.to)) // a failed write counts as a lost datagram
			}
		}
	})
	return nil
}

// read decodes datagrams and queues them for the event loop until the socket is closed.
func (a *agentAdapter) read(conn net.PacketConn) {
	buf := make([]byte, mgcp.MaxDatagramSize+1)
	for {
		size, from, err := conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-a.server.done:
				return
			default:
			}
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
				continue
			}
			return
		}
		address, err := netip.ParseAddrPort(from.String())
		if err != nil {
			continue
		}
		messages, err := mgcp.Decode(buf[:size])
		if err != nil {
			a.server.log.Debug("datagram", "from", address, "why", err)
		}
		if len(messages) > 0 { // the messages before a malformed one are used
			// Queued like events of the own switch: after a stall what users did is handled before remote switches' answers.
			(*inputHandler)(a.server).enqueue(event{kind: evDatagram, link: len(a.server.links) - 1, datagram: datagram{address, messages, a.server.clock.Now()}})
		}
	}
}

// nextDeadline returns when tick must be called next.
func (a *agentAdapter) nextDeadline() policy.Tenths {
	if a == nil {
		return math.MaxInt64
	}
	at, ok := a.agent.Next()
	if !ok {
		return math.MaxInt64
	}
	return at
}

// tick runs the agent's expired timers.
func (a *agentAdapter) tick(now policy.Tenths) {
	if a != nil {
		a.agent.Tick(now)
	}
}

// logCounters logs the counters of gateways and their calls since the start of the process.
func (a *agentAdapter) logCounters() {
	if a == nil {
		return
	}
	unexpected := 0
	for _, row := range a.agent.UnexpectedEvents {
		for _, count := range row {
			unexpected += count
		}
	}
	counts := a.agent.Counts
	a.server.log.Info("gateway counters", "dialled", counts.Dialled, "stood", counts.Answered, "refused", counts.Refused, "failed", counts.Failed, "rung", counts.Rung, "turned away", counts.Rejected,
		"joined", counts.Joined, "lost", counts.Lost, "leftovers", counts.OrphanedConnections, "contradictions", counts.ConflictingResponses, "stale", counts.StaleNotifications, "cut short", counts.IncompleteMessages,
		"unexpected", unexpected, "faults", counts.InvalidTransitions, "datagrams", counts.DatagramsSent)
}

// pendingCommands counts the lines whose gateway has not answered a command that a call still depends on.
func (a *agentAdapter) pendingCommands(now policy.Tenths) int {
	if a == nil {
		return 0
	}
	return a.agent.LinesAwaitingResponse(now)
}

// processQueue lets the agent handle what the exchange sent to its lines during an event.
func (a *agentAdapter) processQueue(now policy.Tenths) {
	if a != nil {
		a.agent.ProcessQueue(now)
	}
}

// deliver passes a message to the agent if it is for a line at a gateway, and reports whether it is.
func (a *agentAdapter) deliver(point uint16, m isup.Message) bool {
	return a != nil && a.agent.HandleISUP(point, m.CIC, m)
}

// hasLine reports whether a call's side is a line at a gateway.
func (a *agentAdapter) hasLine(leg recovery.Leg) bool {
	return a != nil && !leg.Trunk && a.agent.HasCircuit(leg.Point, leg.CIC)
}

// handleDatagram passes the messages of a datagram to the agent.
func (a *agentAdapter) handleDatagram(now policy.Tenths, d datagram) {
	a.agent.SetCallDelay(now, now-d.readAt)
	for _, m := range d.messages {
		a.agent.HandleMessage(now, d.from, m, now-d.readAt)
	}
}

// Send queues a message for a gateway without blocking.
func (a *agentAdapter) Send(to netip.AddrPort, m mgcp.Message) {
	text, err := mgcp.Append(nil, m)
	if err != nil {
		a.server.log.Error("cannot encode message to gateway", "why", err)
		return
	}
	select {
	case a.sendQueue <- encodedMessage{to, text}:
	default:
	}
}

// Offer passes a message from a line at a gateway to the exchange.
func (a *agentAdapter) Offer(point, cic uint16, m isup.Message) {
	a.server.exchange.Receive(a.server.clock.Now(), exchange.Hop{Side: exchange.Line, Point: point}, m, 0)
}

// Log logs a notable event.
func (a *agentAdapter) Log(text string) { a.server.log.Info(text) }

// CallFailed logs why a call of a line failed.
func (a *agentAdapter) CallFailed(line int, reason string) {
	a.server.log.Debug("call from gateway failed", "line", line, "why", reason)
}
