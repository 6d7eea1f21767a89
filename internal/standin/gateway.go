package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// PhoneCall is one call that the user of a phone attempts. The fields from Dialled on hold its outcome.
type PhoneCall struct {
	StartTime   time.Duration
	Phone       int
	Digits      string
	AbandonTime time.Duration // counted from the last digit
	HoldingTime time.Duration

	Dialled   bool
	SetUpTime time.Duration // from the last digit until the call was established
	Refused   bool
	Failed    bool
	Abandoned bool
	Skipped   bool // the phone was in use or got no dial tone
}

// NetworkFaults are the faults of the network between a gateway and its call agent, in both directions. The ratios are
// shares of all datagrams.
type NetworkFaults struct {
	LossRatio, DuplicationRatio, TruncationRatio float64
	DelayRatio                                   float64
	MaxDelay                                     time.Duration // long enough to reorder datagrams or to exceed the time that transactions are stored
}

// GatewayFaults are the faults of a gateway, its network and its users.
type GatewayFaults struct {
	Network             NetworkFaults
	TwoResponsesRatio   float64 // share of CreateConnection commands that get a second, different response
	ReuseTransactionIDs bool    // transaction identifiers are reused too early
	Isolated            bool    // no datagram passes
	FlashRatio          float64 // share of callers who flash the hook while waiting
	HangUpRatio         float64 // share of callers who hang up while waiting
	SlowDigitsRatio     float64 // share of numbers dialled so slowly that the digit timer expires between digits
	GlareRatio          float64 // share of incoming calls at which the user goes off hook to dial at the same moment
}

// connection is an MGCP connection at an endpoint.
type connection struct {
	id, callID string
	serial     uint32
	twoWay     bool
}

// phone is the state of one endpoint and its user.
type phone struct {
	offHook           bool
	requestID         string
	notifyOffHook     bool
	notifyOnHook      bool
	notifyFlash       bool
	notifyDigits      bool
	requestPending    bool
	digitMap          mgcp.DigitMap
	dialString        string
	tone              string
	endTone           string // the tone that reported the end of the call
	ringing           bool
	quarantined       []mgcp.Event
	connections       []connection
	call              *PhoneCall // the call that the user attempts
	callRef           isup.Reference
	dialledAt         time.Time
	waiting           bool // the number is dialled and the outcome unknown
	established       bool
	unackedHookEvents int // hook changes that the call agent has not acknowledged
	userActions       int // counts user actions, which makes earlier timers void
}

// timerEntry is a function that runs at a given time.
type timerEntry struct {
	at     time.Time
	serial int
	run    func()
}
type timerHeap []timerEntry

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].serial < t[j].serial
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timerEntry)) }
func (t *timerHeap) Pop() any     { n := len(*t) - 1; x := (*t)[n]; *t = (*t)[:n]; return x }

// GatewayConfig is the configuration of a simulated gateway.
type GatewayConfig struct {
	Exchange, Number  int
	Name              string
	PhoneCount        int
	CallAgents        []netip.AddrPort // addresses of the notified entity
	DigitInterval     time.Duration    // time between two digits
	MeanAnswerDelay   time.Duration    // mean time until a ringing phone is answered
	MaxRestartDelay   time.Duration    // bound of the random delay of a restart report
	DisconnectedDelay time.Duration    // initial delay of the disconnected procedure
}

// Gateway simulates an MGCP gateway with phones and their users. One goroutine owns its state.
type Gateway struct {
	config                GatewayConfig
	log                   *audit.Log
	random                *rand.Rand
	startTime             time.Time
	conn                  net.PacketConn
	listen                func() (net.PacketConn, error)
	datagrams             chan datagram
	commands              chan func()
	stop                  chan struct{}
	wg                    sync.WaitGroup
	timers                timerHeap
	timerSerial           int
	phones                []phone
	calls                 []*PhoneCall
	faults                GatewayFaults
	transactionIDs        *mgcp.TransactionIDs
	sender                *mgcp.Sender
	receiver              *mgcp.Receiver
	outstanding           map[uint32]func(ok bool)
	agentIndex            int
	disconnectedProcedure mgcp.DisconnectedProcedure
	unregistered          bool
	loggedDown            bool // as last written to the audit log
	staleCommand          bool // the command being executed is older than the time that transactions are stored
	serial                uint32
	incarnation           int
}

// datagram is a received datagram.
type datagram struct {
	from netip.AddrPort
	data []byte
}

// NewGateway returns a gateway that is switched off.
func NewGateway(config GatewayConfig, calls []*PhoneCall, seed uint64, listen func() (net.PacketConn, error), log *audit.Log) *Gateway {
	return &Gateway{config: config, calls: calls, log: log, random: rand.New(rand.NewPCG(seed, uint64(config.Exchange<<16+config.Number))), listen: listen,
		datagrams: make(chan datagram, 1024), commands: make(chan func(), 64), stop: make(chan struct{}), phones: make([]phone, config.PhoneCount)}
}

// Start switches the gateway on. The start times of its users' calls count from here.
func (g *Gateway) Start() error {
	g.startTime = time.Now()
	conn, err := g.listen()
	if err != nil {
		return fmt.Errorf("gateway %s: %w", g.config.Name, err)
	}
	g.boot(conn)
	for _, call := range g.calls {
		g.schedule(call.StartTime, func() { g.startCall(call) })
	}
	g.wg.Go(g.run)
	return nil
}

// Stop shuts the gateway down.
func (g *Gateway) Stop() {
	close(g.stop)
	g.wg.Wait()
}

// UpdateFaults changes the faults of the gateway. update runs in the gateway's goroutine.
func (g *Gateway) UpdateFaults(update func(faults *GatewayFaults)) {
	select {
	case g.commands <- func() { update(&g.faults); g.logReachability() }:
	case <-g.stop:
	}
}

// Restart switches the gateway off and on, which deletes its connections. With newAddress it gets another address.
func (g *Gateway) Restart(newAddress bool) {
	g.UpdateFaults(func(*GatewayFaults) {
		for i := range g.phones {
			current := &g.phones[i]
			for _, connection := range current.connections {
				g.logEvent(audit.ConnectionChanged, i, current.callRef, connection.serial, 0)
			}
			if current.call != nil {
				current.call.Failed = current.call.Failed || current.waiting
			}
			g.phones[i] = phone{userActions: current.userActions + 1}
		}
		conn := g.conn
		if newAddress {
			if next, err := g.listen(); err == nil {
				conn = next
				g.conn.Close()
			}
		}
		g.boot(conn)
	})
}

// boot starts a new incarnation of the gateway on conn.
func (g *Gateway) boot(conn net.PacketConn) {
	if conn != g.conn {
		g.conn = conn
		g.wg.Go(func() { g.readDatagrams(conn) })
	}
	g.incarnation++
	g.transactionIDs, g.receiver, g.outstanding = mgcp.NewTransactionIDs(uint32(g.incarnation)*1000), mgcp.NewReceiver(), map[uint32]func(bool){}
	g.sender = mgcp.NewSender(g.transactionIDs, g.random.Uint64(), (*mgcpOutput)(g))
	g.disconnectedProcedure = mgcp.DisconnectedProcedure{MinWait: tenths(g.config.DisconnectedDelay), MaxWait: tenths(8 * g.config.DisconnectedDelay)}
	g.unregistered = true
	incarnation := g.incarnation
	g.schedule(time.Duration(mgcp.RestartDelay(tenths(g.config.MaxRestartDelay), g.random))*100*time.Microsecond, func() { g.reportRestart("restart", incarnation) })
}

// logReachability records when the gateway loses its call agent and when it has registered again.
func (g *Gateway) logReachability() {
	if down := g.faults.Isolated || g.unregistered; down != g.loggedDown {
		g.loggedDown = down
		value := int64(0)
		if down {
			value = 1
		}
		g.logEvent(audit.GatewayDown, 0, isup.Reference{}, 0, value)
	}
}

func tenths(d time.Duration) policy.Tenths { return policy.Tenths(d / (100 * time.Microsecond)) }

func (g *Gateway) now() policy.Tenths { return 1<<32 + tenths(time.Since(g.startTime)) }

func (g *Gateway) logEvent(kind audit.Kind, phone int, ref isup.Reference, slots uint32, value int64) {
	g.log.Add(audit.Event{Kind: kind, Site: g.config.Exchange, Peer: g.config.Number, Ref: ref, CIC: uint16(phone), Slots: slots, Value: value})
}

func (g *Gateway) schedule(d time.Duration, run func()) {
	g.timerSerial++
	heap.Push(&g.timers, timerEntry{time.Now().Add(d), g.timerSerial, run})
}

func (g *Gateway) readDatagrams(conn net.PacketConn) {
	buf := make([]byte, mgcp.MaxDatagramSize)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		if address, err := netip.ParseAddrPort(from.String()); err == nil {
			select {
			case g.datagrams <- datagram{address, append([]byte(nil), buf[:n]...)}:
			case <-g.stop:
				return
			}
		}
	}
}

func (g *Gateway) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer func() { g.conn.Close() }()
	for {
		for len(g.timers) > 0 && !g.timers[0].at.After(time.Now()) {
			heap.Pop(&g.timers).(timerEntry).run()
		}
		wait := time.Hour
		if len(g.timers) > 0 {
			wait = time.Until(g.timers[0].at)
		}
		if next, ok := g.sender.Next(); ok {
			if remaining := time.Duration(next-g.now()) * 100 * time.Microsecond; remaining <= 0 {
				g.sender.Tick(g.now())
				continue
			} else {
				wait = min(wait, remaining)
			}
		}
		timer.Reset(wait)
		select {
		case <-g.stop:
			return
		case <-timer.C:
		case command := <-g.commands:
			command()
		case received := <-g.datagrams:
			delivered := false
			receivedAt := time.Now()
			g.applyNetworkFaults(func() {
				delivered = true
				// A command that the network delays beyond the time for which transactions are stored is executed twice. The
				// call agent cannot prevent that, so the tone that the user hears then is not the call agent's response.
				g.staleCommand = time.Since(receivedAt) > 29*time.Second
				g.handleDatagram(received)
				g.staleCommand = false
			}, nil)
			if !delivered {
				g.logLostOutcomes(received.data)
			}
		}
	}
}

// applyNetworkFaults loses, truncates, duplicates or delays a datagram by the present faults, or passes it on.
func (g *Gateway) applyNetworkFaults(deliver func(), truncate func()) {
	network := g.faults.Network
	switch {
	case g.faults.Isolated || g.random.Float64() < network.LossRatio:
		return
	case truncate != nil && g.random.Float64() < network.TruncationRatio:
		truncate()
		return
	}
	if g.random.Float64() < network.DuplicationRatio {
		g.schedule(time.Duration(g.random.Int64N(int64(20*time.Millisecond))), deliver)
	}
	if g.random.Float64() < network.DelayRatio {
		g.schedule(time.Duration(g.random.Float64()*float64(network.MaxDelay)), deliver)
		return
	}
	deliver()
}

// logLostOutcomes records the call outcomes in a datagram that the network lost or delays.
func (g *Gateway) logLostOutcomes(data []byte) {
	messages, _ := mgcp.Decode(data)
	for _, m := range messages {
		local, _, _ := strings.Cut(m.Endpoint, "@")
		number, err := strconv.Atoi(strings.TrimPrefix(local, "aaln/"))
		if err != nil || number < 1 || number > len(g.phones) || !g.phones[number-1].waiting {
			continue
		}
		mode, _ := m.Param("M")
		tone, _ := m.Param("S")
		if mode == "sendrecv" || tone == "L/bz" || tone == "L/ro" || tone == "G/cg" {
			g.logEvent(audit.PhoneOutcomeLost, number-1, g.phones[number-1].callRef, 0, 0)
		}
	}
}

func (g *Gateway) send(to netip.AddrPort, m mgcp.Message) {
	data, err := mgcp.Append(nil, m)
	if err != nil {
		return
	}
	addr := net.UDPAddrFromAddrPort(to)
	write := func(data []byte) func() { return func() { g.conn.WriteTo(data, addr) } }
	g.applyNetworkFaults(write(data), write(data[:g.random.IntN(len(data))]))
}

// mgcpOutput adapts the gateway to the handler of mgcp.Sender.
type mgcpOutput Gateway

func (o *mgcpOutput) Transmit(m mgcp.Message, _ int) {
	g := (*Gateway)(o)
	g.send(g.config.CallAgents[g.agentIndex%len(g.config.CallAgents)], m)
}
func (o *mgcpOutput) HandleConflict(uint32, int, mgcp.Message) {}
func (o *mgcpOutput) HandleOutcome(id uint32, outcome mgcp.Outcome, response mgcp.Message) {
	g := (*Gateway)(o)
	if outcome == mgcp.PeerSuspect {
		g.agentIndex++ // try the next address of the notified entity
		return
	}
	done := g.outstanding[id]
	delete(g.outstanding, id)
	if response.Code == mgcp.CodeRedirected {
		if entity, ok := response.Param("N"); ok {
			if address, err := netip.ParseAddrPort(entity[strings.LastIndexByte(entity, '@')+1:]); err == nil {
				g.config.CallAgents = append([]netip.AddrPort{address}, g.config.CallAgents...)
				g.agentIndex = 0
			}
		}
	}
	if done != nil {
		done(outcome == mgcp.Answered && mgcp.ClassOf(response.Code) == mgcp.Success)
	}
}

func (g *Gateway) sendCommand(m mgcp.Message, done func(ok bool)) {
	if g.faults.ReuseTransactionIDs { // RFC 3435 requires THist between two uses
		g.transactionIDs = mgcp.NewTransactionIDs(uint32(g.random.IntN(3)))
		g.sender = mgcp.NewSender(g.transactionIDs, g.random.Uint64(), (*mgcpOutput)(g))
	}
	id := g.sender.Send(g.now(), m)
	g.outstanding[id] = done
}

// reportRestart sends RestartInProgress after a start or a lost call agent, and repeats it until it is acknowledged.
func (g *Gateway) reportRestart(method string, incarnation int) {
	if incarnation != g.incarnation || !g.unregistered {
		return
	}
	g.sendCommand(mgcp.Message{Verb: mgcp.RestartInProgress, Endpoint: "aaln/*@" + g.config.Name, Params: []mgcp.Param{{Name: "RM", Value: method}}}, func(ok bool) {
		if ok && incarnation == g.incarnation {
			g.unregistered = false
			g.logReachability()
			return
		}
		next := g.disconnectedProcedure.NextReport(g.now())
		g.schedule(time.Duration(next-g.now())*100*time.Microsecond, func() { g.reportRestart(method, incarnation) })
	})
}

// startDisconnectedProcedure starts the disconnected procedure (RFC 3435, 4.4.7) after a lost call agent.
func (g *Gateway) startDisconnectedProcedure() {
	if g.unregistered {
		return
	}
	g.unregistered = true
	g.logReachability()
	next, incarnation := g.disconnectedProcedure.Start(g.now(), tenths(g.config.DisconnectedDelay), g.random), g.incarnation
	g.schedule(time.Duration(next-g.now())*100*time.Microsecond, func() { g.reportRestart("disconnected", incarnation) })
}

func (g *Gateway) handleDatagram(received datagram) {
	messages, _ := mgcp.Decode(received.data)
	for _, m := range messages {
		switch {
		case m.IsAcknowledgement():
			g.receiver.HandleAck(m.Transaction)
		case m.Verb == "":
			g.sender.HandleResponse(g.now(), m)
		default:
			execute, repeated := g.receiver.HandleCommand(g.now(), m)
			if repeated != nil {
				g.send(received.from, *repeated)
			}
			if execute {
				reply := g.executeCommand(m)
				reply.Transaction = m.Transaction
				g.send(received.from, g.receiver.StoreResponse(g.now(), reply))
				if m.Verb == mgcp.CreateConnection && g.random.Float64() < g.faults.TwoResponsesRatio {
					g.sendSecondResponse(m, reply, received.from)
				}
			}
		}
	}
}

// sendSecondResponse creates another connection and reports it in a second response that contradicts the first.
func (g *Gateway) sendSecondResponse(m, reply mgcp.Message, to netip.AddrPort) {
	local, _, _ := strings.Cut(m.Endpoint, "@")
	if i, err := strconv.Atoi(strings.TrimPrefix(local, "aaln/")); err == nil && reply.Code == mgcp.CodeOK {
		id := g.createConnection(i-1, "", false)
		reply.Params = []mgcp.Param{{Name: "I", Value: id}}
		g.send(to, reply)
	}
}
