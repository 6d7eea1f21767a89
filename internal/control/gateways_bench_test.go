package control

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/callagent"
	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/internal/standin"
	"indigodrift/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sessionDescription is the SDP body that gateways return for a connection.
const sessionDescription = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 0\r\n"

// gatewaySettings returns settings with a number of gateways of equal size. rate is the limit of gateways that are brought into
// service per second.
func gatewaySettings(own, gateways, endpoints int, rate float64) *Gateways {
	digitMap, _ := mgcp.ParseDigitMap("(xxxxxxxxx)")
	settings := &Gateways{Config: callagent.Config{OwnExchange: own, PointCode: exchange.PointCode(own), DigitMap: digitMap, AbandonTimes: []policy.Tenths{90000}, GoSTarget: 12000, MaxDialTime: 200000,
		MaxRingTime: 600000, MediaAddress: "127.0.0.1", RestartRate: rate, MaxQueuedRestarts: 1 << 15}}
	for n := range gateways {
		settings.Gateways = append(settings.Gateways, callagent.Gateway{Name: fmt.Sprintf("gw%d", n), Endpoints: endpoints, FirstLine: 100 + n*endpoints, Width: 1})
	}
	return settings
}

// agentHarness is a call agent and an exchange connected without sockets. Messages that they send are encoded and recorded.
type agentHarness struct {
	exchange  *exchange.Exchange
	agent     *callagent.Agent
	now       policy.Tenths
	datagrams [][]byte
	encoded   []byte
	setUpHop  exchange.Hop
	setUp     isup.Message
	requestID string // ID of the last notification request
}

func (h *agentHarness) RequestSwitchList()           {}
func (h *agentHarness) Log(string)                   {}
func (h *agentHarness) CallFailed(int, string)       {}
func (h *agentHarness) ReportAnswer(exchange.Answer) {}
func (h *agentHarness) Transmit(to exchange.Hop, m isup.Message) {
	if to.Side == exchange.Line && h.agent != nil && h.agent.HandleISUP(to.Point, m.CIC, m) {
		return
	}
	h.encoded, _ = isup.Append(h.encoded[:0], m)
	if m.Type == isup.IAM {
		h.setUpHop, h.setUp = to, m
	}
}
func (h *agentHarness) Send(_ netip.AddrPort, m mgcp.Message) {
	b, err := mgcp.Append(nil, m)
	if err != nil {
		panic(err)
	}
	h.datagrams = append(h.datagrams, b)
}
func (h *agentHarness) Offer(point, _ uint16, m isup.Message) {
	h.exchange.Receive(h.now, exchange.Hop{Side: exchange.Line, Point: point}, m, 0)
}

// receiveDatagram passes a datagram of the gateway to the agent.
func (h *agentHarness) receiveDatagram(text []byte) {
	all, err := mgcp.Decode(text)
	if err != nil {
		panic(err)
	}
	for _, m := range all {
		h.agent.HandleMessage(h.now, gatewayAddress, m, 0)
	}
	h.agent.ProcessQueue(h.now)
}

// receiveTrunk passes a message from a trunk to the exchange.
func (h *agentHarness) receiveTrunk(from exchange.Hop, b []byte) {
	m, err := isup.Decode(b)
	if err != nil {
		panic(err)
	}
	h.exchange.Receive(h.now, from, m, 0)
	if h.agent != nil {
		h.agent.ProcessQueue(h.now)
	}
}

var gatewayAddress = netip.MustParseAddrPort("127.0.0.1:2427")

// responses returns the gateway's responses to all commands sent to it.
func (h *agentHarness) responses() (all [][]byte) {
	for _, b := range h.datagrams {
		m, _ := mgcp.Decode(b)
		if m[0].Verb == "" {
			continue
		}
		if x, ok := m[0].Param("X"); ok {
			h.requestID = x
		}
		r := mgcp.Message{Transaction: m[0].Transaction, Code: 200, Comment: "OK"}
		switch m[0].Verb {
		case mgcp.AuditEndpoint: // sent only between calls
			r.Params = []mgcp.Param{{Name: "I", Value: ""}, {Name: "ES", Value: "L/hu"}}
		case mgcp.CreateConnection:
			r.Params, r.Session = []mgcp.Param{{Name: "I", Value: "A1"}}, []byte(sessionDescription)
		}
		text, _ := mgcp.Append(nil, r)
		all = append(all, text)
	}
	h.datagrams = nil
	return all
}

// newAgentHarness connects an agent and an exchange with two neighbours and brings the gateways into service.
func newAgentHarness(gateways, endpoints int) *agentHarness {
	h := &agentHarness{now: 1 << 32}
	h.exchange = exchange.New(policy.Deployment{OwnExchange: 0, MaxTries: 4, ReleaseTime: 3000, InitialCapacity: 1, OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
		Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, []exchange.Neighbour{{Number: 1, Circuits: 248}, {Number: 2, Circuits: 248}}, h, h.now,
		func(d policy.Deployment, e policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, e, now)
		})
	h.exchange.OwnSwitchUp(h.now, "1")
	for peer := range 2 {
		h.exchange.LinkUp(h.now, peer, "1")
		for first := 0; first < 248; first += isup.CircuitsPerMultiplex {
			h.exchange.Receive(h.now, exchange.Hop{Side: exchange.Succeeding, Peer: peer}, isup.Message{Type: isup.GRA, CIC: uint16(first/isup.CircuitsPerMultiplex*32 + 1), Range: isup.CircuitsPerMultiplex - 1}, 0)
		}
	}
	h.exchange.ListReceived(h.now, true, []policy.Switch{{ID: 5, Number: 1, Ready: true}, {ID: 6, Number: 2, Ready: true}})
	site := gatewaySettings(0, gateways, endpoints, 1e6).Config
	for i := range site.Gateways {
		site.Gateways[i].Addresses = []netip.AddrPort{gatewayAddress}
	}
	h.agent = callagent.New(site, h, h.now)
	for range 4 * gateways {
		for _, r := range h.responses() {
			h.receiveDatagram(r)
		}
		if at, ok := h.agent.Next(); ok {
			h.now = max(h.now, min(at, h.now+100))
			h.agent.Tick(h.now)
		}
		if h.agent.CountLines(callagent.Idle) == gateways*endpoints {
			break
		}
	}
	return h
}

// BenchmarkCallByGatewayAndByTrunk times, in turn, the CPU work of a call from a telephone at a gateway to another exchange (off
// hook, dial tone, number, connection, answer, hang-up) and of a transit call from trunk to trunk: decoding, call agent,
// exchange, decider, encoding.
func BenchmarkCallByGatewayAndByTrunk(b *testing.B) {
	h := newAgentHarness(1, 24)
	if h.agent.CountLines(callagent.Idle) != 24 {
		b.Fatal("the gateway did not come into service")
	}
	var byGateway, byTrunk time.Duration
	addTime := func(sum *time.Duration, do func()) {
		start := time.Now()
		do()
		*sum += time.Since(start)
	}
	notify := func(id int, x, o string) []byte {
		return fmt.Appendf(nil, "NTFY %d aaln/1@gw0 MGCP 1.0\r\nX: %s\r\nO: %s\r\n", id, x, o)
	}
	trunkREL, _ := isup.Append(nil, isup.Message{CIC: 1, Type: isup.REL, Cause: isup.NormalClearing})
	succeeding := exchange.Hop{Side: exchange.Succeeding, Peer: 0}
	id, calls := 0, 0
	for b.Loop() {
		calls++
		h.now += 400
		addTime(&byGateway, func() { // counts the timers, the exchange's too, as part of the gateway call
			for h.exchange.Next() <= h.now {
				h.exchange.Tick(h.now)
			}
			if at, ok := h.agent.Next(); ok && at <= h.now {
				h.agent.Tick(h.now)
			}
		})
		for len(h.datagrams) > 0 {
			for _, r := range h.responses() {
				h.receiveDatagram(r)
			}
		}
		step := func(text []byte) {
			addTime(&byGateway, func() { h.receiveDatagram(text) })
			for _, r := range h.responses() {
				addTime(&byGateway, func() { h.receiveDatagram(r) })
			}
		}
		id += 3
		h.setUpHop = exchange.Hop{}
		step(notify(id, h.requestID, "L/hd"))
		step(notify(id+1, h.requestID, "D/0, D/0, D/1, D/0, D/0, D/0, D/0, D/0, D/1"))
		if h.setUpHop.Side != exchange.Succeeding {
			b.Fatal("no set-up was sent")
		}
		cic := h.setUp.CIC
		anm, _ := isup.Append(nil, isup.Message{CIC: cic, Type: isup.ANM, UserInfo: isup.UserInfo{Present: isup.PartSession, Session: sessionDescription}})
		addTime(&byGateway, func() { h.receiveTrunk(succeeding, anm) })
		for _, r := range h.responses() {
			addTime(&byGateway, func() { h.receiveDatagram(r) })
		}
		step(notify(id+2, h.requestID, "L/hu"))
		rlc, _ := isup.Append(nil, isup.Message{CIC: cic, Type: isup.RLC})
		addTime(&byGateway, func() { h.receiveTrunk(succeeding, rlc) })

		iam, _ := isup.Append(nil, isup.Message{CIC: 1, Type: isup.IAM, Width: 1, Digits: "001000001", HopCounter: 2, Ref: isup.Reference{Point: 3, Identity: uint32(calls) & 0xffffff},
			UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: 80000}})
		preceding := exchange.Hop{Side: exchange.Preceding, Peer: 1}
		h.setUpHop = exchange.Hop{}
		addTime(&byTrunk, func() { h.receiveTrunk(preceding, iam) })
		if h.setUpHop.Side != exchange.Succeeding {
			b.Fatal("no set-up was sent on")
		}
		cic = h.setUp.CIC
		anm, _ = isup.Append(nil, isup.Message{CIC: cic, Type: isup.ANM})
		rlc, _ = isup.Append(nil, isup.Message{CIC: cic, Type: isup.RLC})
		addTime(&byTrunk, func() {
			h.receiveTrunk(succeeding, anm)
			h.receiveTrunk(preceding, trunkREL)
			h.receiveTrunk(succeeding, rlc)
		})
	}
	g, t := byGateway.Seconds()/float64(calls), byTrunk.Seconds()/float64(calls)
	b.ReportMetric(g*1e6, "µs/call-by-gateway")
	b.ReportMetric(t*1e6, "µs/call-by-trunk")
	b.ReportMetric(g/t, "gateway-over-trunk")
	b.ReportMetric(1/g, "calls/s-a-core-by-gateway")
}

// BenchmarkIdleEndpoint measures the memory of an idle endpoint in service, over 100,000 endpoints.
func BenchmarkIdleEndpoint(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := newAgentHarness(4167, 24)
		h.datagrams = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		if n := h.agent.CountLines(callagent.Idle); n != 4167*24 {
			b.Fatalf("%d lines are idle", n)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(4167*24), "B/endpoint")
		runtime.KeepAlive(h)
	}
}

// gatewayFleet is a set of gateways behind one socket. They answer every command and repeat their restart reports until these are
// answered.
type gatewayFleet struct {
	conn         *net.UDPConn
	agentAddress *net.UDPAddr
	mu           sync.Mutex
	answered     map[string]bool      // transactions whose report was answered
	retryAt      map[string]time.Time // when a report may be repeated after a provisional response
	armed        map[string]bool      // endpoints that were asked to report off hook
	sent         int                  // reports sent
}

// serve answers the agent's commands until the socket is closed.
func (f *gatewayFleet) serve() {
	buf := make([]byte, 8192)
	for {
		n, _, err := f.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		all, _ := mgcp.Decode(buf[:n])
		for _, m := range all {
			if m.Verb == "" {
				f.mu.Lock()
				if m.Code == 200 {
					f.answered[fmt.Sprint(m.Transaction)] = true
				} else if m.IsProvisional() { // repeated after at least 5 s (RFC 3435, 3.5.6)
					f.retryAt[fmt.Sprint(m.Transaction)] = time.Now().Add(5 * time.Second)
				}
				f.mu.Unlock()
				continue
			}
			text, _ := mgcp.Append(nil, mgcp.Message{Transaction: m.Transaction, Code: 200})
			f.conn.WriteToUDP(text, f.agentAddress)
			if r, _ := m.Param("R"); strings.Contains(r, "L/hd") {
				f.mu.Lock()
				f.armed[m.Endpoint] = true
				f.mu.Unlock()
			}
		}
	}
}

// restartAll makes all gateways report a restart within a second and repeat it about every second until it is answered. It
// returns the time until all are in service.
func (f *gatewayFleet) restartAll(gateways, incarnation int) time.Duration {
	f.mu.Lock()
	f.answered, f.retryAt, f.armed, f.sent = map[string]bool{}, map[string]time.Time{}, map[string]bool{}, 0
	f.mu.Unlock()
	start := time.Now()
	for round := 0; round < 240; round++ {
		f.mu.Lock()
		unanswered := []int{}
		for n := range gateways {
			if id := fmt.Sprint(incarnation*gateways + n + 1); !f.answered[id] && time.Now().After(f.retryAt[id]) {
				unanswered = append(unanswered, n)
			}
		}
		done := len(f.armed) >= gateways
		f.mu.Unlock()
		if done {
			break
		}
		for i, n := range unanswered {
			text := fmt.Appendf(nil, "RSIP %d aaln/*@gw%d MGCP 1.0\r\nRM: restart\r\n", incarnation*gateways+n+1, n)
			f.conn.WriteToUDP(text, f.agentAddress)
			f.sent++
			if i%20 == 19 {
				time.Sleep(time.Duration(20*1e9/int64(gateways)) * time.Nanosecond)
			}
		}
		if len(unanswered) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// BenchmarkStorm restarts ten thousand gateways within a second while calls go on by trunk: first with the rate limit on bringing
// gateways into service, then practically without one.
func BenchmarkStorm(b *testing.B) {
	const gateways = 10000
	for range b.N {
		for incarnation, rate := range []float64{200, 1e6} {
			agentAt := freeUDP(b)
			at, _ := startNetwork(b, 2, func(i int, s *Config) {
				if i == 0 {
					s.Gateways = gatewaySettings(0, gateways, 4, rate)
					s.Gateways.ListenAddress = agentAt
				}
			})
			conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				b.Fatal(err)
			}
			conn.SetReadBuffer(1 << 22)
			agent, _ := net.ResolveUDPAddr("udp", agentAt)
			fleet := &gatewayFleet{conn: conn, agentAddress: agent}
			go fleet.serve()
			caller := newCaller(b, at, 0)
			measure := func(until func() bool) (int64, int, int) {
				h, failed, n := hdrhistogram.New(1, 1e11, 3), 0, 0
				for !until() {
					took, ok := caller.call(b, 1)
					h.RecordValue(took.Nanoseconds())
					if n++; !ok {
						failed++
					}
					time.Sleep(500 * time.Microsecond)
				}
				return h.ValueAtQuantile(99), failed, n
			}
			end := time.Now().Add(2 * time.Second)
			before, _, _ := measure(func() bool { return time.Now().After(end) })
			finished := make(chan time.Duration, 1)
			go func() { finished <- fleet.restartAll(gateways, incarnation+1) }()
			var took time.Duration
			during, failed, n := measure(func() bool {
				select {
				case took = <-finished:
					return true
				default:
					return false
				}
			})
			name := map[int]string{0: "paced", 1: "unpaced"}[incarnation]
			b.ReportMetric(float64(during)/float64(before), name+"-99th-over-before")
			b.ReportMetric(took.Seconds(), name+"-s-until-all-serve")
			b.ReportMetric(float64(failed)/float64(n), name+"-calls-failed")
			b.ReportMetric(float64(fleet.sent)/gateways, name+"-reports-each")
			caller.conn.Close()
			conn.Close()
		}
	}
}

// freeUDP returns a free UDP address on loopback.
func freeUDP(b *testing.B) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// directExchange is the baseline: a call agent whose exchange connects its lines at once, without a decider, circuits or
// switches.
type directExchange struct {
	agent     *callagent.Agent
	conn      net.PacketConn
	now       policy.Tenths
	otherSide map[[2]uint16][2]uint16 // the other side of each connected call, as point code and CIC
	lastCIC   uint16
	pending   []func()
}

func (e *directExchange) Log(string)             {}
func (e *directExchange) CallFailed(int, string) {}
func (e *directExchange) Send(to netip.AddrPort, m mgcp.Message) {
	b, _ := mgcp.Append(nil, m)
	e.conn.WriteTo(b, net.UDPAddrFromAddrPort(to))
}
func (e *directExchange) Offer(point, cic uint16, m isup.Message) {
	here := [2]uint16{point, cic}
	there, ok := e.otherSide[here]
	if m.Type == isup.IAM {
		e.lastCIC++
		there = [2]uint16{exchange.FirstCalledPoint, e.lastCIC}
		e.otherSide[here], e.otherSide[there] = there, here
	} else if !ok {
		return
	}
	if m.Type == isup.REL {
		delete(e.otherSide, here)
		delete(e.otherSide, there)
	}
	m.CIC = there[1]
	e.agent.HandleISUP(there[0], there[1], m)
}

// run serves the agent's socket and timers until ctx ends.
func (e *directExchange) run(ctx context.Context) {
	base := time.Now()
	in := make(chan []byte, 4096)
	from := make(chan netip.AddrPort, 4096)
	go func() {
		buf := make([]byte, 8192)
		for {
			n, at, err := e.conn.ReadFrom(buf)
			if err != nil {
				return
			}
			where, _ := netip.ParseAddrPort(at.String())
			in <- bytes.Clone(buf[:n])
			from <- where
		}
	}()
	for {
		e.now = 1<<32 + policy.Tenths(time.Since(base)/(100*time.Microsecond))
		wait := time.Hour
		if at, ok := e.agent.Next(); ok {
			if at <= e.now {
				e.agent.Tick(e.now)
				continue
			}
			wait = time.Duration(at-e.now) * 100 * time.Microsecond
		}
		select {
		case <-ctx.Done():
			e.conn.Close()
			return
		case <-time.After(wait):
		case text := <-in:
			e.now = 1<<32 + policy.Tenths(time.Since(base)/(100*time.Microsecond))
			all, _ := mgcp.Decode(text)
			at := <-from
			for _, m := range all {
				e.agent.HandleMessage(e.now, at, m, 0)
			}
			e.agent.ProcessQueue(e.now)
		}
	}
}

// BenchmarkSetUpByGateway times set-ups between telephones of two exchanges, through two call agents, controllers and switches,
// compared with the baseline, at four rates of datagram loss in both directions.
func BenchmarkSetUpByGateway(b *testing.B) {
	const calls, phones = 400, 100
	for range b.N {
		for _, loss := range []float64{0, 0.01, 0.05, 0.2} {
			agents := []string{freeUDP(b), freeUDP(b)}
			startNetwork(b, 2, func(i int, s *Config) {
				s.Gateways = gatewaySettings(i, 1, phones, 1e6)
				s.Gateways.ListenAddress = agents[i]
			})
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			baseline := &directExchange{conn: conn, now: 1 << 32, otherSide: map[[2]uint16][2]uint16{}}
			agentConfig := gatewaySettings(0, 2, phones, 1e6).Config
			baseline.agent = callagent.New(agentConfig, baseline, baseline.now)
			ctx, cancel := context.WithCancel(context.Background())
			go baseline.run(ctx)
			log := audit.NewLog(discard{})
			var callsByPath [2][]*standin.PhoneCall
			var fleet []*standin.Gateway
			for path := range 2 {
				for e := range 2 {
					var scheduled []*standin.PhoneCall
					agent, name := agents[e], "gw0"
					if path == 1 {
						agent, name = conn.LocalAddr().String(), fmt.Sprintf("gw%d", e)
					}
					if e == 0 {
						for n := range calls {
							line := uint32(100 + n%phones)
							to := exchange.LineNumber(1, line)
							if path == 1 {
								to = exchange.LineNumber(0, line+phones)
							}
							scheduled = append(scheduled, &standin.PhoneCall{StartTime: 2*time.Second + time.Duration(n)*40*time.Millisecond, Phone: n % phones, Digits: to,
								AbandonTime: 9 * time.Second, HoldingTime: 50 * time.Millisecond})
						}
						callsByPath[path] = scheduled
					}
					at, _ := netip.ParseAddrPort(agent)
					g := standin.NewGateway(standin.GatewayConfig{Exchange: e, Number: path, Name: name, PhoneCount: phones, CallAgents: []netip.AddrPort{at}, DigitInterval: time.Millisecond,
						MeanAnswerDelay: 20 * time.Millisecond, MaxRestartDelay: 100 * time.Millisecond, DisconnectedDelay: time.Second}, scheduled, uint64(path+1),
						func() (net.PacketConn, error) { return net.ListenPacket("udp", "127.0.0.1:0") }, log)
					if err := g.Start(); err != nil {
						b.Fatal(err)
					}
					g.UpdateFaults(func(quantile *standin.GatewayFaults) { quantile.Network.LossRatio = loss })
					fleet = append(fleet, g)
				}
			}
			time.Sleep(2*time.Second + calls*40*time.Millisecond + 5*time.Second)
			for _, g := range fleet {
				g.Stop()
			}
			cancel()
			var at [2][]time.Duration
			for path := range 2 {
				for _, c := range callsByPath[path] {
					if c.SetUpTime > 0 {
						at[path] = append(at[path], c.SetUpTime)
					}
				}
				if slices.Sort(at[path]); len(at[path]) < calls/4 {
					b.Fatalf("%d of %d calls were established at loss %v on path %d", len(at[path]), calls, loss, path)
				}
			}
			quantile := func(path, of int) float64 { return at[path][len(at[path])*of/100].Seconds() }
			b.ReportMetric(quantile(0, 50)/quantile(1, 50), fmt.Sprintf("median-over-bare-loss%g", loss*100))
			b.ReportMetric(quantile(0, 99)/quantile(1, 99), fmt.Sprintf("99th-over-bare-loss%g", loss*100))
			b.ReportMetric(quantile(0, 50)*1e3, fmt.Sprintf("median-ms-loss%g", loss*100))
			b.ReportMetric(quantile(0, 99)*1e3, fmt.Sprintf("99th-ms-loss%g", loss*100))
		}
	}
}
