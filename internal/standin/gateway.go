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

// PhoneCall is one call that the user of a phone wants to make; what came of it stands in the second half.
type PhoneCall struct {
	At       time.Duration
	Phone    int
	Digits   string
	Patience time.Duration // from the last digit
	Holding  time.Duration

	Dialled bool
	Stood   time.Duration // from the last digit until it stood
	Refused bool
	Failed  bool
	Left    bool
	Skipped bool // the phone was in use, or gave no dial tone
}

// Network is what happens to a gateway's datagrams, either way.
type Network struct {
	Lose, Double, Truncate float64 // shares
	LateShare              float64
	Late                   time.Duration // so much later: behind others, or past the keeping time
}

// Quirk is what a trouble makes a gateway or its users do.
type Quirk struct {
	Net        Network
	TwoAnswers float64 // share of connections made that are answered twice, differently
	ReuseIDs   bool    // transaction ids are counted from one again and again
	Cut        bool    // nothing passes
	Flash      float64 // share of callers who flash the hook while they wait
	HangUp     float64 // share of callers who hang up while they wait
	Trickle    float64 // share of numbers that come a digit at a time as the time-out falls
	Glare      float64 // share of rings at which the user lifts to dial at that moment
}

type connection struct {
	id, call string
	number   uint32
	both     bool
}

type phone struct {
	off      bool
	request  string
	lift     bool
	hang     bool
	flash    bool
	digits   bool
	armed    bool
	dmap     mgcp.DigitMap
	dialled  string
	tone     string
	told     string // the tone that told its user that the call is over
	ring     bool
	pending  []mgcp.Event // quarantined
	conns    []connection
	call     *PhoneCall // that its user makes
	ref      isup.Reference
	dialledT time.Time
	waiting  bool // dialled and not answered
	stands   bool
	unacked  int // hook changes that the call agent has not answered
	turn     int // counts what its user does, so that a timer of before does nothing
}

type timed struct {
	at    time.Time
	order int
	do    func()
}
type timers []timed

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timed)) }
func (t *timers) Pop() any     { n := len(*t) - 1; x := (*t)[n]; *t = (*t)[:n]; return x }

// Plant is what a gateway is and where.
type Plant struct {
	Exchange, Number int
	Name             string
	Phones           int
	Agents           []netip.AddrPort // the addresses of its notified entity
	Digit            time.Duration    // between two digits
	PickUp           time.Duration    // mean time until somebody picks up
	RestartWait      time.Duration    // it reports at random within, after a start
	Disconnected     time.Duration    // first wait of the disconnected procedure
}

// Gateway is a stand-in MGCP gateway with phones and their users. One goroutine does all.
type Gateway struct {
	p       Plant
	log     *audit.Log
	chance  *rand.Rand
	base    time.Time
	conn    net.PacketConn
	listen  func() (net.PacketConn, error)
	in      chan received
	orders  chan func()
	stop    chan struct{}
	all     sync.WaitGroup
	timers  timers
	order   int
	phones  []phone
	calls   []*PhoneCall
	quirk   Quirk
	ids     *mgcp.TransactionIDs
	sender  *mgcp.Sender
	rcv     *mgcp.Receiver
	out     map[uint32]func(ok bool)
	agent   int
	discon  mgcp.DisconnectedProcedure
	lost    bool
	down    bool // as noted
	stale   bool // what is being carried out is older than transactions are kept
	serial  uint32
	lives   int
	nextTry time.Time
}

type received struct {
	from netip.AddrPort
	b    []byte
}

// NewGateway makes a gateway that is off.
func NewGateway(p Plant, calls []*PhoneCall, seed uint64, listen func() (net.PacketConn, error), log *audit.Log) *Gateway {
	return &Gateway{p: p, calls: calls, log: log, chance: rand.New(rand.NewPCG(seed, uint64(p.Exchange<<16+p.Number))), listen: listen,
		in: make(chan received, 1024), orders: make(chan func(), 64), stop: make(chan struct{}), phones: make([]phone, p.Phones)}
}

// Start turns it on; its users begin to call at their times from then.
func (g *Gateway) Start() error {
	g.base = time.Now()
	conn, err := g.listen()
	if err != nil {
		return fmt.Errorf("gateway %s: %w", g.p.Name, err)
	}
	g.power(conn)
	for _, c := range g.calls {
		g.after(c.At, func() { g.begin(c) })
	}
	g.all.Go(g.run)
	return nil
}

// Stop ends it.
func (g *Gateway) Stop() {
	close(g.stop)
	g.all.Wait()
}

// Do has the gateway's goroutine do something: troubles come through it.
func (g *Gateway) Do(do func(q *Quirk)) {
	select {
	case g.orders <- func() { do(&g.quirk); g.mark() }:
	case <-g.stop:
	}
}

// Restart turns it off and on: its connections are gone; elsewhere: it comes back at another address.
func (g *Gateway) Restart(elsewhere bool) {
	g.Do(func(*Quirk) {
		for i := range g.phones {
			p := &g.phones[i]
			for _, c := range p.conns {
				g.note(audit.Connection, i, p.ref, c.number, 0)
			}
			if p.call != nil {
				p.call.Failed = p.call.Failed || p.waiting
			}
			g.phones[i] = phone{turn: p.turn + 1}
		}
		conn := g.conn
		if elsewhere {
			if next, err := g.listen(); err == nil {
				conn = next
				g.conn.Close()
			}
		}
		g.power(conn)
	})
}

func (g *Gateway) power(conn net.PacketConn) {
	if conn != g.conn {
		g.conn = conn
		g.all.Go(func() { g.read(conn) })
	}
	g.lives++
	g.ids, g.rcv, g.out = mgcp.NewTransactionIDs(uint32(g.lives)*1000), mgcp.NewReceiver(), map[uint32]func(bool){}
	g.sender = mgcp.NewSender(g.ids, g.chance.Uint64(), (*gatewayOut)(g))
	g.discon = mgcp.DisconnectedProcedure{MinWait: tenths(g.p.Disconnected), MaxWait: tenths(8 * g.p.Disconnected)}
	g.lost = true
	life := g.lives
	g.after(time.Duration(mgcp.RestartDelay(tenths(g.p.RestartWait), g.chance))*100*time.Microsecond, func() { g.report("restart", life) })
}

// mark notes when the gateway cannot reach its call agent, or has not yet, and when it can again.
func (g *Gateway) mark() {
	if down := g.quirk.Cut || g.lost; down != g.down {
		g.down = down
		v := int64(0)
		if down {
			v = 1
		}
		g.note(audit.GatewayDown, 0, isup.Reference{}, 0, v)
	}
}

func tenths(d time.Duration) policy.Tenths { return policy.Tenths(d / (100 * time.Microsecond)) }

func (g *Gateway) now() policy.Tenths { return 1<<32 + tenths(time.Since(g.base)) }

func (g *Gateway) note(k audit.Kind, i int, ref isup.Reference, slots uint32, v int64) {
	g.log.Add(audit.Event{Kind: k, Site: g.p.Exchange, Peer: g.p.Number, Ref: ref, CIC: uint16(i), Slots: slots, Value: v})
}

func (g *Gateway) after(d time.Duration, do func()) {
	g.order++
	heap.Push(&g.timers, timed{time.Now().Add(d), g.order, do})
}

func (g *Gateway) read(conn net.PacketConn) {
	buf := make([]byte, mgcp.MaxDatagramSize)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		if at, err := netip.ParseAddrPort(from.String()); err == nil {
			select {
			case g.in <- received{at, append([]byte(nil), buf[:n]...)}:
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
			heap.Pop(&g.timers).(timed).do()
		}
		wait := time.Hour
		if len(g.timers) > 0 {
			wait = time.Until(g.timers[0].at)
		}
		if at, ok := g.sender.Next(); ok {
			if due := time.Duration(at-g.now()) * 100 * time.Microsecond; due <= 0 {
				g.sender.Tick(g.now())
				continue
			} else {
				wait = min(wait, due)
			}
		}
		timer.Reset(wait)
		select {
		case <-g.stop:
			return
		case <-timer.C:
		case do := <-g.orders:
			do()
		case r := <-g.in:
			heard := false
			came := time.Now()
			g.through(func() {
				heard = true
				// Held up by the network past the time for which transactions are kept, a command is carried out twice, and no call
				// agent can help it: what its user hears then is not the call agent's answer.
				g.stale = time.Since(came) > 29*time.Second
				g.receive(r)
				g.stale = false
			}, nil)
			if !heard {
				g.swallowed(r.b)
			}
		}
	}
}

// through lets the network do to a datagram what it does.
func (g *Gateway) through(pass func(), cut func()) {
	n := g.quirk.Net
	switch {
	case g.quirk.Cut || g.chance.Float64() < n.Lose:
		return
	case cut != nil && g.chance.Float64() < n.Truncate:
		cut()
		return
	}
	if g.chance.Float64() < n.Double {
		g.after(time.Duration(g.chance.Int64N(int64(20*time.Millisecond))), pass)
	}
	if g.chance.Float64() < n.LateShare {
		g.after(time.Duration(g.chance.Float64()*float64(n.Late)), pass)
		return
	}
	pass()
}

// swallowed notes the answers to calls in a datagram that the network lost or holds up.
func (g *Gateway) swallowed(b []byte) {
	all, _ := mgcp.Decode(b)
	for _, m := range all {
		local, _, _ := strings.Cut(m.Endpoint, "@")
		i, err := strconv.Atoi(strings.TrimPrefix(local, "aaln/"))
		if err != nil || i < 1 || i > len(g.phones) || !g.phones[i-1].waiting {
			continue
		}
		mode, _ := m.Param("M")
		tone, _ := m.Param("S")
		if mode == "sendrecv" || tone == "L/bz" || tone == "L/ro" || tone == "G/cg" {
			g.note(audit.Swallowed, i-1, g.phones[i-1].ref, 0, 0)
		}
	}
}

func (g *Gateway) transmit(to netip.AddrPort, m mgcp.Message) {
	b, err := mgcp.Append(nil, m)
	if err != nil {
		return
	}
	addr := net.UDPAddrFromAddrPort(to)
	write := func(b []byte) func() { return func() { g.conn.WriteTo(b, addr) } }
	g.through(write(b), write(b[:g.chance.IntN(len(b))]))
}

// gatewayOut is the gateway as its sender sees it.
type gatewayOut Gateway

func (o *gatewayOut) Transmit(m mgcp.Message, _ int) {
	g := (*Gateway)(o)
	g.transmit(g.p.Agents[g.agent%len(g.p.Agents)], m)
}
func (o *gatewayOut) HandleConflict(uint32, int, mgcp.Message) {}
func (o *gatewayOut) HandleOutcome(id uint32, fate mgcp.Outcome, r mgcp.Message) {
	g := (*Gateway)(o)
	if fate == mgcp.PeerSuspect {
		g.agent++ // another address of the notified entity
		return
	}
	done := g.out[id]
	delete(g.out, id)
	if r.Code == mgcp.CodeRedirected {
		if n, ok := r.Param("N"); ok {
			if at, err := netip.ParseAddrPort(n[strings.LastIndexByte(n, '@')+1:]); err == nil {
				g.p.Agents = append([]netip.AddrPort{at}, g.p.Agents...)
				g.agent = 0
			}
		}
	}
	if done != nil {
		done(fate == mgcp.Answered && mgcp.ClassOf(r.Code) == mgcp.Success)
	}
}

func (g *Gateway) command(m mgcp.Message, done func(ok bool)) {
	if g.quirk.ReuseIDs { // RFC 3435 asks for THist between two uses
		g.ids = mgcp.NewTransactionIDs(uint32(g.chance.IntN(3)))
		g.sender = mgcp.NewSender(g.ids, g.chance.Uint64(), (*gatewayOut)(g))
	}
	id := g.sender.Send(g.now(), m)
	g.out[id] = done
}

// report tells the call agent of a start, or that it could not be reached; until it is answered it reports again.
func (g *Gateway) report(method string, life int) {
	if life != g.lives || !g.lost {
		return
	}
	g.command(mgcp.Message{Verb: mgcp.RestartInProgress, Endpoint: "aaln/*@" + g.p.Name, Params: []mgcp.Param{{Name: "RM", Value: method}}}, func(ok bool) {
		if ok && life == g.lives {
			g.lost = false
			g.mark()
			return
		}
		at := g.discon.NextReport(g.now())
		g.after(time.Duration(at-g.now())*100*time.Microsecond, func() { g.report(method, life) })
	})
}

func (g *Gateway) disconnected() {
	if g.lost {
		return
	}
	g.lost = true
	g.mark()
	at, life := g.discon.Start(g.now(), tenths(g.p.Disconnected), g.chance), g.lives
	g.after(time.Duration(at-g.now())*100*time.Microsecond, func() { g.report("disconnected", life) })
}

func (g *Gateway) receive(r received) {
	all, _ := mgcp.Decode(r.b)
	for _, m := range all {
		switch {
		case m.IsAcknowledgement():
			g.rcv.HandleAck(m.Transaction)
		case m.Verb == "":
			g.sender.HandleResponse(g.now(), m)
		default:
			carryOut, again := g.rcv.HandleCommand(g.now(), m)
			if again != nil {
				g.transmit(r.from, *again)
			}
			if carryOut {
				reply := g.carryOut(m)
				reply.Transaction = m.Transaction
				g.transmit(r.from, g.rcv.StoreResponse(g.now(), reply))
				if m.Verb == mgcp.CreateConnection && g.chance.Float64() < g.quirk.TwoAnswers {
					g.secondAnswer(m, reply, r.from)
				}
			}
		}
	}
}

// secondAnswer contradicts the first: another connection, which it makes as well.
func (g *Gateway) secondAnswer(m, reply mgcp.Message, to netip.AddrPort) {
	local, _, _ := strings.Cut(m.Endpoint, "@")
	if i, err := strconv.Atoi(strings.TrimPrefix(local, "aaln/")); err == nil && reply.Code == mgcp.CodeOK {
		id := g.connect(i-1, "", false)
		reply.Params = []mgcp.Param{{Name: "I", Value: id}}
		g.transmit(to, reply)
	}
}
