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

// oneSession is a session description.
const oneSession = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 0\r\n"

// gatewaySite returns settings with gateways of so many endpoints; rate is how many gateways a second may be brought into service.
func gatewaySite(own, gateways, endpoints int, rate float64) *Gateways {
	m, _ := mgcp.ParseMap("(xxxxxxxxx)")
	g := &Gateways{Site: callagent.Site{Own: own, Point: exchange.PointCode(own), Map: m, Abandon: []policy.Tenths{90000}, GoS: 12000, DialMost: 200000,
		RingMost: 600000, Media: "127.0.0.1", Rate: rate, Queue: 1 << 15}}
	for n := range gateways {
		g.Gateways = append(g.Gateways, callagent.Gateway{Name: fmt.Sprintf("gw%d", n), Endpoints: endpoints, FirstLine: 100 + n*endpoints, Width: 1})
	}
	return g
}

// joined is a call agent and an exchange connected without sockets. Messages that they send are encoded and recorded.
type joined struct {
	x    *exchange.Exchange
	a    *callagent.Agent
	now  policy.Tenths
	text [][]byte
	isup []byte
	to   exchange.Hop
	m    isup.Message
	x1   string // ID of the last notification request
}

func (j *joined) Follow()                  {}
func (j *joined) Note(string)              {}
func (j *joined) Told(int, string)         {}
func (j *joined) Answered(exchange.Answer) {}
func (j *joined) Transmit(to exchange.Hop, m isup.Message) {
	if to.Side == exchange.Line && j.a != nil && j.a.Hear(to.Point, m.CIC, m) {
		return
	}
	j.isup, _ = isup.Append(j.isup[:0], m)
	if m.Type == isup.IAM {
		j.to, j.m = to, m
	}
}
func (j *joined) Send(_ netip.AddrPort, m mgcp.Message) {
	b, err := mgcp.Append(nil, m)
	if err != nil {
		panic(err)
	}
	j.text = append(j.text, b)
}
func (j *joined) Offer(point, _ uint16, m isup.Message) {
	j.x.Receive(j.now, exchange.Hop{Side: exchange.Line, Point: point}, m, 0)
}

// datagram passes a datagram of the gateway to the agent.
func (j *joined) datagram(text []byte) {
	all, err := mgcp.Decode(text)
	if err != nil {
		panic(err)
	}
	for _, m := range all {
		j.a.Datagram(j.now, benchFrom, m, 0)
	}
	j.a.Settle(j.now)
}

// trunk passes a message from a trunk to the exchange.
func (j *joined) trunk(from exchange.Hop, b []byte) {
	m, err := isup.Decode(b)
	if err != nil {
		panic(err)
	}
	j.x.Receive(j.now, from, m, 0)
	if j.a != nil {
		j.a.Settle(j.now)
	}
}

var benchFrom = netip.MustParseAddrPort("127.0.0.1:2427")

// replies returns the gateway's responses to all commands sent to it.
func (j *joined) replies() (all [][]byte) {
	for _, b := range j.text {
		m, _ := mgcp.Decode(b)
		if m[0].Verb == "" {
			continue
		}
		if x, ok := m[0].Param("X"); ok {
			j.x1 = x
		}
		r := mgcp.Message{Transaction: m[0].Transaction, Code: 200, Comment: "OK"}
		switch m[0].Verb {
		case mgcp.AuditEndpoint: // sent only between calls
			r.Params = []mgcp.Param{{Name: "I", Value: ""}, {Name: "ES", Value: "L/hu"}}
		case mgcp.CreateConnection:
			r.Params, r.Session = []mgcp.Param{{Name: "I", Value: "A1"}}, []byte(oneSession)
		}
		text, _ := mgcp.Append(nil, r)
		all = append(all, text)
	}
	j.text = nil
	return all
}

// newJoined connects an agent and an exchange with two neighbours and brings the gateways into service.
func newJoined(gateways, endpoints int) *joined {
	j := &joined{now: 1 << 32}
	j.x = exchange.New(policy.Deployment{OwnExchange: 0, MaxTries: 4, ReleaseTime: 3000, InitialCapacity: 1, OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
		Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, []exchange.Neighbour{{Number: 1, Circuits: 248}, {Number: 2, Circuits: 248}}, j, j.now,
		func(d policy.Deployment, e policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, e, now)
		})
	j.x.OwnSwitchUp(j.now, "1")
	for peer := range 2 {
		j.x.LinkUp(j.now, peer, "1")
		for first := 0; first < 248; first += isup.CircuitsPerMultiplex {
			j.x.Receive(j.now, exchange.Hop{Side: exchange.Succeeding, Peer: peer}, isup.Message{Type: isup.GRA, CIC: uint16(first/isup.CircuitsPerMultiplex*32 + 1), Range: isup.CircuitsPerMultiplex - 1}, 0)
		}
	}
	j.x.Listed(j.now, true, []policy.Switch{{ID: 5, Number: 1, Ready: true}, {ID: 6, Number: 2, Ready: true}})
	site := gatewaySite(0, gateways, endpoints, 1e6).Site
	for i := range site.Gateways {
		site.Gateways[i].Addresses = []netip.AddrPort{benchFrom}
	}
	j.a = callagent.New(site, j, j.now)
	for range 4 * gateways {
		for _, r := range j.replies() {
			j.datagram(r)
		}
		if at, ok := j.a.Next(); ok {
			j.now = max(j.now, min(at, j.now+100))
			j.a.Tick(j.now)
		}
		if j.a.Lines(callagent.Idle) == gateways*endpoints {
			break
		}
	}
	return j
}

// BenchmarkCallByGatewayAndByTrunk times, in turn, the CPU work of a call from a telephone at a gateway to another exchange (off
// hook, dial tone, number, connection, answer, hang-up) and of a transit call from trunk to trunk: decoding, call agent,
// exchange, decision module, encoding.
func BenchmarkCallByGatewayAndByTrunk(b *testing.B) {
	j := newJoined(1, 24)
	if j.a.Lines(callagent.Idle) != 24 {
		b.Fatal("the gateway did not come into service")
	}
	var byGateway, byTrunk time.Duration
	spent := func(sum *time.Duration, do func()) {
		from := time.Now()
		do()
		*sum += time.Since(from)
	}
	notify := func(id int, x, o string) []byte {
		return fmt.Appendf(nil, "NTFY %d aaln/1@gw0 MGCP 1.0\r\nX: %s\r\nO: %s\r\n", id, x, o)
	}
	trunkREL, _ := isup.Append(nil, isup.Message{CIC: 1, Type: isup.REL, Cause: isup.NormalClearing})
	ahead := exchange.Hop{Side: exchange.Succeeding, Peer: 0}
	id, calls := 0, 0
	for b.Loop() {
		calls++
		j.now += 400
		spent(&byGateway, func() { // counts the timers, the exchange's too, as part of the gateway call
			for j.x.Next() <= j.now {
				j.x.Tick(j.now)
			}
			if at, ok := j.a.Next(); ok && at <= j.now {
				j.a.Tick(j.now)
			}
		})
		for len(j.text) > 0 {
			for _, r := range j.replies() {
				j.datagram(r)
			}
		}
		step := func(text []byte) {
			spent(&byGateway, func() { j.datagram(text) })
			for _, r := range j.replies() {
				spent(&byGateway, func() { j.datagram(r) })
			}
		}
		id += 3
		j.to = exchange.Hop{}
		step(notify(id, j.x1, "L/hd"))
		step(notify(id+1, j.x1, "D/0, D/0, D/1, D/0, D/0, D/0, D/0, D/0, D/1"))
		if j.to.Side != exchange.Succeeding {
			b.Fatal("no set-up was sent")
		}
		cic := j.m.CIC
		anm, _ := isup.Append(nil, isup.Message{CIC: cic, Type: isup.ANM, UserInfo: isup.UserInfo{Present: isup.PartSession, Session: oneSession}})
		spent(&byGateway, func() { j.trunk(ahead, anm) })
		for _, r := range j.replies() {
			spent(&byGateway, func() { j.datagram(r) })
		}
		step(notify(id+2, j.x1, "L/hu"))
		rlc, _ := isup.Append(nil, isup.Message{CIC: cic, Type: isup.RLC})
		spent(&byGateway, func() { j.trunk(ahead, rlc) })

		iam, _ := isup.Append(nil, isup.Message{CIC: 1, Type: isup.IAM, Width: 1, Digits: "001000001", HopCounter: 2, Ref: isup.Reference{Point: 3, Identity: uint32(calls) & 0xffffff},
			UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: 80000}})
		behind := exchange.Hop{Side: exchange.Preceding, Peer: 1}
		j.to = exchange.Hop{}
		spent(&byTrunk, func() { j.trunk(behind, iam) })
		if j.to.Side != exchange.Succeeding {
			b.Fatal("no set-up was sent on")
		}
		cic = j.m.CIC
		anm, _ = isup.Append(nil, isup.Message{CIC: cic, Type: isup.ANM})
		rlc, _ = isup.Append(nil, isup.Message{CIC: cic, Type: isup.RLC})
		spent(&byTrunk, func() { j.trunk(ahead, anm); j.trunk(behind, trunkREL); j.trunk(ahead, rlc) })
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
		j := newJoined(4167, 24)
		j.text = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		if n := j.a.Lines(callagent.Idle); n != 4167*24 {
			b.Fatalf("%d lines are idle", n)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(4167*24), "B/endpoint")
		runtime.KeepAlive(j)
	}
}

// district is a set of gateways behind one socket. They answer every command and repeat their restart reports until these are
// answered.
type district struct {
	conn  *net.UDPConn
	agent *net.UDPAddr
	mu    sync.Mutex
	back  map[string]bool      // transactions whose report was answered
	wait  map[string]time.Time // when a report may be repeated after a provisional response
	armed map[string]bool      // endpoints that were asked to report off hook
	sent  int                  // reports sent
}

// serve answers the agent's commands until the socket is closed.
func (d *district) serve() {
	buf := make([]byte, 8192)
	for {
		n, _, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		all, _ := mgcp.Decode(buf[:n])
		for _, m := range all {
			if m.Verb == "" {
				d.mu.Lock()
				if m.Code == 200 {
					d.back[fmt.Sprint(m.Transaction)] = true
				} else if m.IsProvisional() { // repeated after at least 5 s (RFC 3435, 3.5.6)
					d.wait[fmt.Sprint(m.Transaction)] = time.Now().Add(5 * time.Second)
				}
				d.mu.Unlock()
				continue
			}
			text, _ := mgcp.Append(nil, mgcp.Message{Transaction: m.Transaction, Code: 200})
			d.conn.WriteToUDP(text, d.agent)
			if r, _ := m.Param("R"); strings.Contains(r, "L/hd") {
				d.mu.Lock()
				d.armed[m.Endpoint] = true
				d.mu.Unlock()
			}
		}
	}
}

// storm makes all gateways report a restart within a second and repeat it about every second until it is answered. It returns the
// time until all are in service.
func (d *district) storm(gateways, life int) time.Duration {
	d.mu.Lock()
	d.back, d.wait, d.armed, d.sent = map[string]bool{}, map[string]time.Time{}, map[string]bool{}, 0
	d.mu.Unlock()
	from := time.Now()
	for round := 0; round < 240; round++ {
		d.mu.Lock()
		left := []int{}
		for n := range gateways {
			if id := fmt.Sprint(life*gateways + n + 1); !d.back[id] && time.Now().After(d.wait[id]) {
				left = append(left, n)
			}
		}
		done := len(d.armed) >= gateways
		d.mu.Unlock()
		if done {
			break
		}
		for i, n := range left {
			text := fmt.Appendf(nil, "RSIP %d aaln/*@gw%d MGCP 1.0\r\nRM: restart\r\n", life*gateways+n+1, n)
			d.conn.WriteToUDP(text, d.agent)
			d.sent++
			if i%20 == 19 {
				time.Sleep(time.Duration(20*1e9/int64(gateways)) * time.Nanosecond)
			}
		}
		if len(left) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(from)
}

// BenchmarkStorm restarts ten thousand gateways within a second while calls go on by trunk: first with the rate limit on bringing
// gateways into service, then practically without one.
func BenchmarkStorm(b *testing.B) {
	const gateways = 10000
	for range b.N {
		for life, rate := range []float64{200, 1e6} {
			agentAt := freeUDP(b)
			at, _ := network(b, 2, func(i int, s *Config) {
				if i == 0 {
					s.Gateways = gatewaySite(0, gateways, 4, rate)
					s.Gateways.Listen = agentAt
				}
			})
			conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				b.Fatal(err)
			}
			conn.SetReadBuffer(1 << 22)
			agent, _ := net.ResolveUDPAddr("udp", agentAt)
			r := &district{conn: conn, agent: agent}
			go r.serve()
			a := newAsker(b, at, 0)
			measure := func(until func() bool) (int64, int, int) {
				h, failed, n := hdrhistogram.New(1, 1e11, 3), 0, 0
				for !until() {
					took, ok := a.call(b, 1)
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
			over := make(chan time.Duration, 1)
			go func() { over <- r.storm(gateways, life+1) }()
			var took time.Duration
			during, failed, n := measure(func() bool {
				select {
				case took = <-over:
					return true
				default:
					return false
				}
			})
			name := map[int]string{0: "paced", 1: "unpaced"}[life]
			b.ReportMetric(float64(during)/float64(before), name+"-99th-over-before")
			b.ReportMetric(took.Seconds(), name+"-s-until-all-serve")
			b.ReportMetric(float64(failed)/float64(n), name+"-calls-failed")
			b.ReportMetric(float64(r.sent)/gateways, name+"-reports-each")
			a.conn.Close()
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

// patch is the baseline: a call agent whose exchange connects its lines at once, without a decision module, circuits or switches.
type patch struct {
	a    *callagent.Agent
	conn net.PacketConn
	now  policy.Tenths
	far  map[[2]uint16][2]uint16 // the other side of each connected call, as point code and CIC
	next uint16
	todo []func()
}

func (p *patch) Note(string)      {}
func (p *patch) Told(int, string) {}
func (p *patch) Send(to netip.AddrPort, m mgcp.Message) {
	b, _ := mgcp.Append(nil, m)
	p.conn.WriteTo(b, net.UDPAddrFromAddrPort(to))
}
func (p *patch) Offer(point, cic uint16, m isup.Message) {
	here := [2]uint16{point, cic}
	there, ok := p.far[here]
	if m.Type == isup.IAM {
		p.next++
		there = [2]uint16{exchange.FirstCalledPoint, p.next}
		p.far[here], p.far[there] = there, here
	} else if !ok {
		return
	}
	if m.Type == isup.REL {
		delete(p.far, here)
		delete(p.far, there)
	}
	m.CIC = there[1]
	p.a.Hear(there[0], there[1], m)
}

// run serves the agent's socket and timers until ctx ends.
func (p *patch) run(ctx context.Context) {
	base := time.Now()
	in := make(chan []byte, 4096)
	from := make(chan netip.AddrPort, 4096)
	go func() {
		buf := make([]byte, 8192)
		for {
			n, at, err := p.conn.ReadFrom(buf)
			if err != nil {
				return
			}
			where, _ := netip.ParseAddrPort(at.String())
			in <- bytes.Clone(buf[:n])
			from <- where
		}
	}()
	for {
		p.now = 1<<32 + policy.Tenths(time.Since(base)/(100*time.Microsecond))
		wait := time.Hour
		if at, ok := p.a.Next(); ok {
			if at <= p.now {
				p.a.Tick(p.now)
				continue
			}
			wait = time.Duration(at-p.now) * 100 * time.Microsecond
		}
		select {
		case <-ctx.Done():
			p.conn.Close()
			return
		case <-time.After(wait):
		case text := <-in:
			p.now = 1<<32 + policy.Tenths(time.Since(base)/(100*time.Microsecond))
			all, _ := mgcp.Decode(text)
			at := <-from
			for _, m := range all {
				p.a.Datagram(p.now, at, m, 0)
			}
			p.a.Settle(p.now)
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
			network(b, 2, func(i int, s *Config) {
				s.Gateways = gatewaySite(i, 1, phones, 1e6)
				s.Gateways.Listen = agents[i]
			})
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			bare := &patch{conn: conn, now: 1 << 32, far: map[[2]uint16][2]uint16{}}
			site := gatewaySite(0, 2, phones, 1e6).Site
			bare.a = callagent.New(site, bare, bare.now)
			ctx, cancel := context.WithCancel(context.Background())
			go bare.run(ctx)
			log := audit.NewLog(discard{})
			var rows [2][]*standin.PhoneCall
			var all []*standin.Gateway
			for path := range 2 {
				for e := range 2 {
					var mine []*standin.PhoneCall
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
							mine = append(mine, &standin.PhoneCall{At: 2*time.Second + time.Duration(n)*40*time.Millisecond, Phone: n % phones, Digits: to,
								Patience: 9 * time.Second, Holding: 50 * time.Millisecond})
						}
						rows[path] = mine
					}
					at, _ := netip.ParseAddrPort(agent)
					g := standin.NewGateway(standin.Plant{Exchange: e, Number: path, Name: name, Phones: phones, Agents: []netip.AddrPort{at}, Digit: time.Millisecond,
						PickUp: 20 * time.Millisecond, RestartWait: 100 * time.Millisecond, Disconnected: time.Second}, mine, uint64(path+1),
						func() (net.PacketConn, error) { return net.ListenPacket("udp", "127.0.0.1:0") }, log)
					if err := g.Start(); err != nil {
						b.Fatal(err)
					}
					g.Do(func(q *standin.Quirk) { q.Net.Lose = loss })
					all = append(all, g)
				}
			}
			time.Sleep(2*time.Second + calls*40*time.Millisecond + 5*time.Second)
			for _, g := range all {
				g.Stop()
			}
			cancel()
			var at [2][]time.Duration
			for path := range 2 {
				for _, c := range rows[path] {
					if c.Stood > 0 {
						at[path] = append(at[path], c.Stood)
					}
				}
				if slices.Sort(at[path]); len(at[path]) < calls/4 {
					b.Fatalf("%d of %d calls were established at loss %v on path %d", len(at[path]), calls, loss, path)
				}
			}
			q := func(path, of int) float64 { return at[path][len(at[path])*of/100].Seconds() }
			b.ReportMetric(q(0, 50)/q(1, 50), fmt.Sprintf("median-over-bare-loss%g", loss*100))
			b.ReportMetric(q(0, 99)/q(1, 99), fmt.Sprintf("99th-over-bare-loss%g", loss*100))
			b.ReportMetric(q(0, 50)*1e3, fmt.Sprintf("median-ms-loss%g", loss*100))
			b.ReportMetric(q(0, 99)*1e3, fmt.Sprintf("99th-ms-loss%g", loss*100))
		}
	}
}
