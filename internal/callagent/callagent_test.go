package callagent

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/exchange"
	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

const session = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 0\r\n"

var where = netip.MustParseAddrPort("127.0.0.1:2427")

// phone is one endpoint as simply as it can be: what it was last asked for, and its connections.
type phone struct {
	off   bool
	x     string
	r, s  string
	armed bool
	conns map[string]bool
	kept  []string // events while nothing is asked for
}

// rig is an agent between two gateways as plain as can be and an exchange that answers at random.
type rig struct {
	t      *rapid.T
	a      *Agent
	now    policy.Tenths
	chance *rand.Rand
	loss   float64
	phones [][]phone
	rcv    []*mgcp.Receiver
	snd    []*mgcp.Sender
	wire   []func()
	mixed  bool // some of what is sent is overtaken by what follows
	late   map[policy.Tenths][]func()
	serial int
	calls  map[circuitKey]string // offered to the exchange, or from it: "asked", "stands"
	ended  int
	began  int
}

type fromGateway struct {
	r *rig
	n int
}

func (f fromGateway) Transmit(m mgcp.Message, _ int) {
	f.r.post(func() { f.r.a.HandleMessage(f.r.now, where, m, 0) })
}
func (f fromGateway) HandleOutcome(uint32, mgcp.Outcome, mgcp.Message) {}
func (f fromGateway) HandleConflict(uint32, int, mgcp.Message)         {}
func (r *rig) Note(string)                                             {}
func (r *rig) Told(int, string)                                        {}
func (r *rig) post(do func()) {
	switch {
	case r.chance.Float64() < r.loss:
	case r.mixed && r.chance.Float64() < 0.2:
		at := r.now + 50*policy.Tenths(1+r.chance.Int64N(400))
		r.late[at] = append(r.late[at], do)
	default:
		r.wire = append(r.wire, do)
	}
}

// Offer is the exchange: it answers calls at random, later.
func (r *rig) Offer(point, cic uint16, m isup.Message) {
	p := circuitKey{point, cic}
	switch m.Type {
	case isup.IAM:
		if r.calls[p] != "" {
			r.t.Fatalf("a second call on %v, where one is %s", p, r.calls[p])
		}
		r.calls[p] = "asked"
		r.began++
	case isup.ANM:
		if r.calls[p] != "ringing" {
			r.t.Fatalf("an answer on %v, which is %q", p, r.calls[p])
		}
		r.calls[p] = "stands"
	case isup.REL:
		if r.calls[p] == "" {
			r.t.Fatalf("a release on %v, where there is no call", p)
		}
		delete(r.calls, p)
		r.ended++
	}
}

// Send is the way to a gateway.
func (r *rig) Send(_ netip.AddrPort, m mgcp.Message) {
	if _, err := mgcp.Append(nil, m); err != nil {
		r.t.Fatalf("a message that cannot be sent: %v", err)
	}
	r.post(func() { r.receive(m) })
}

func (r *rig) receive(m mgcp.Message) {
	if m.Verb == "" {
		for _, s := range r.snd {
			s.HandleResponse(r.now, m)
		}
		return
	}
	local, domain, _ := strings.Cut(m.Endpoint, "@")
	var gw, n int
	fmt.Sscanf(domain, "gw%d", &gw)
	carryOut, again := r.rcv[gw].HandleCommand(r.now, m)
	if again != nil {
		reply := *again
		r.post(func() { r.a.HandleMessage(r.now, where, reply, 0) })
	}
	if !carryOut {
		return
	}
	reply := mgcp.Message{Transaction: m.Transaction, Code: 200}
	which := r.phones[gw]
	if local != "aaln/*" {
		fmt.Sscanf(local, "aaln/%d", &n)
		which = which[n-1 : n]
	}
	for i := range which {
		if reply.Code < 300 {
			r.endpoint(&which[i], m, &reply)
		}
	}
	done := r.rcv[gw].StoreResponse(r.now, reply)
	r.post(func() { r.a.HandleMessage(r.now, where, done, 0) })
}

func (r *rig) endpoint(p *phone, m mgcp.Message, reply *mgcp.Message) {
	x, asks := m.Param("X")
	want, _ := m.Param("R")
	tone, _ := m.Param("S")
	id, named := m.Param("I")
	switch {
	case m.Verb == mgcp.AuditEndpoint:
		state := "L/hu"
		if p.off {
			state = "L/hd"
		}
		var ids []string
		for c := range p.conns {
			ids = append(ids, c)
		}
		reply.Params = []mgcp.Param{{Name: "I", Value: strings.Join(ids, ",")}, {Name: "ES", Value: state}}
		return
	case asks && p.off && strings.Contains(want, "L/hd"):
		reply.Code = mgcp.CodeOffHook
		return
	case asks && !p.off && strings.Contains(want, "L/hu"):
		reply.Code = mgcp.CodeOnHook
		return
	case named && !p.conns[id] && m.Verb != mgcp.CreateConnection:
		reply.Code = mgcp.CodeUnknownConnection
		return
	case m.Verb == mgcp.CreateConnection:
		if len(p.conns) > 0 && !r.mixed {
			r.t.Fatalf("a second connection at %s", m.Endpoint)
		}
		r.serial++
		id = fmt.Sprintf("%X", r.serial)
		p.conns[id] = true
		reply.Params, reply.Session = []mgcp.Param{{Name: "I", Value: id}}, []byte(session)
	case m.Verb == mgcp.DeleteConnection && named:
		delete(p.conns, id)
	case m.Verb == mgcp.DeleteConnection:
		clear(p.conns)
	}
	if asks {
		p.x, p.r, p.s, p.armed = x, want, tone, true
		kept := p.kept
		p.kept = nil
		for _, e := range kept {
			r.notice(p, e)
		}
	}
}

// notice: a user did something at a phone.
func (r *rig) notice(p *phone, e string) {
	wanted := strings.Contains(p.r, "D/") && strings.HasPrefix(e, "D/") || strings.Contains(p.r, e)
	switch {
	case !p.armed:
		p.kept = append(p.kept, e)
	case wanted:
		p.armed, p.s = false, ""
		for gw := range r.phones {
			for n := range r.phones[gw] {
				if &r.phones[gw][n] == p {
					r.snd[gw].Send(r.now, mgcp.Message{Verb: mgcp.Notify, Endpoint: fmt.Sprintf("aaln/%d@gw%d", n+1, gw),
						Params: []mgcp.Param{{Name: "X", Value: p.x}, {Name: "O", Value: e}}})
				}
			}
		}
	}
}

func (r *rig) pass(by policy.Tenths) {
	for end := r.now + by; r.now < end; {
		next := r.now + 50
		if len(r.wire)+len(r.late) == 0 { // nothing on its way: on to what falls due
			next = end
			if at, ok := r.a.Next(); ok {
				next = min(next, at)
			}
			for _, s := range r.snd {
				if at, ok := s.Next(); ok {
					next = min(next, at)
				}
			}
		}
		r.now = max(next, r.now+1)
		wire := r.wire
		r.wire = nil
		for _, at := range slices.Sorted(maps.Keys(r.late)) {
			if at <= r.now {
				wire = append(wire, r.late[at]...)
				delete(r.late, at)
			}
		}
		for _, do := range wire {
			do()
		}
		for _, s := range r.snd {
			if at, ok := s.Next(); ok && at <= r.now {
				s.Tick(r.now)
			}
		}
		if at, ok := r.a.Next(); ok && at <= r.now {
			r.a.Tick(r.now)
		}
	}
	out := map[int]int{} // commands out for a line
	for _, p := range r.a.outstanding {
		if p.kind == lineCommand {
			if out[p.index]++; out[p.index] > 1 {
				r.t.Fatalf("two commands are out for line %d", p.index)
			}
		}
	}
	for i := range r.a.lines {
		l := &r.a.lines[i]
		if (l.state == CreatingConnection || l.state == Calling || l.state == Talking || l.state == Incoming || l.state == Ringing) != (l.call != nil) {
			r.t.Fatalf("line %d is %v, call %v", i, l.state, l.call)
		}
		if (l.connection.there() && l.uncertainCall == nil) != (l.applied.mode != NoMode) || (l.connection == ConnectionUncertain) && l.uncertainCall == nil || r.a.Counts.InvalidTransitions > 0 {
			r.t.Fatalf("line %d: connection %v, has %v, unsure %v, %d faults", i, l.connection, l.applied, l.uncertainCall, r.a.Counts.InvalidTransitions)
		}
		if l.transaction != 0 {
			if p, ok := r.a.outstanding[l.transaction]; !ok || p.kind != lineCommand || p.index != i {
				r.t.Fatalf("line %d waits for a command that is not out", i)
			}
		}
	}
}

func newRig(t *rapid.T, seed uint64) *rig {
	r := &rig{t: t, now: 1 << 30, chance: rand.New(rand.NewPCG(seed, 3)), late: map[policy.Tenths][]func(){}, calls: map[circuitKey]string{}}
	m, _ := mgcp.ParseDigitMap("(xxx)")
	site := Config{OwnExchange: 4, PointCode: 5, Seed: seed, Incarnation: 7, DigitMap: m, AbandonTimes: []policy.Tenths{90000}, GoSTarget: 12000, MaxDialTime: 100000, MaxRingTime: 200000, MediaAddress: "127.0.0.1", RestartRate: 100, MaxQueuedRestarts: 10}
	ids := mgcp.NewTransactionIDs(1)
	for gw := range 2 {
		site.Gateways = append(site.Gateways, Gateway{Name: fmt.Sprintf("gw%d", gw), Addresses: []netip.AddrPort{where}, Endpoints: 3, FirstLine: 10 * gw, Width: 1})
		r.phones = append(r.phones, make([]phone, 3))
		for n := range r.phones[gw] {
			r.phones[gw][n].conns = map[string]bool{}
		}
		r.rcv = append(r.rcv, mgcp.NewReceiver())
		r.snd = append(r.snd, mgcp.NewSender(ids, seed+uint64(gw), fromGateway{r, gw}))
	}
	r.a = New(site, r, r.now)
	return r
}

// fromExchange has the exchange say something of a call.
func (r *rig) fromExchange(p circuitKey, m isup.Message) {
	m.CIC = p.cic
	if !r.a.HandleISUP(p.point, p.cic, m) {
		r.t.Fatalf("%v is not taken", p)
	}
	r.a.ProcessQueue(r.now)
}

// there tells whether the gateway holds a connection, or may.
func (c ConnectionState) there() bool {
	return c == ConnectionCreated || c == ConnectionModifying || c == ConnectionDeleting
}

// Users, the exchange and the network do anything in any order. After each step every line is whole; once all is quiet and well
// again every phone is idle, no connection is left and every call has ended once.
func TestLinesComeToRestWhateverHappened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(t, rapid.Uint64().Draw(t, "seed"))
		r.pass(20000)
		if n := r.a.CountLines(Idle); n != 6 {
			t.Fatalf("%d lines of 6 came into service", n)
		}
		r.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		r.mixed = rapid.Bool().Draw(t, "mixed")
		incoming := uint16(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			gw, n := rapid.IntRange(0, 1).Draw(t, "gateway"), rapid.IntRange(0, 2).Draw(t, "phone")
			p := &r.phones[gw][n]
			switch what := rapid.IntRange(0, 7).Draw(t, "what"); what {
			case 0, 1:
				if p.off = !p.off; p.off {
					r.notice(p, "L/hd")
				} else {
					r.notice(p, "L/hu")
				}
			case 2:
				if p.off {
					r.notice(p, "L/hf")
				}
			case 3:
				if p.off {
					r.notice(p, rapid.SampledFrom([]string{"D/1, D/2, D/3", "D/1, D/T", "D/4, D/4, D/4"}).Draw(t, "digits"))
				}
			case 4, 5: // the exchange ends, or answers, a call
				for i := range r.a.lines {
					k := r.a.lines[i].call
					if k == nil || r.calls[k.circuit] == "" || k.circuit.point < exchange.FirstCalledPoint && r.a.lines[i].state == CreatingConnection {
						continue
					}
					hop := k.circuit
					if what == 4 && r.calls[hop] == "asked" && hop.point < exchange.FirstCalledPoint {
						r.calls[hop] = "stands"
						r.fromExchange(hop, isup.Message{Type: isup.ANM, UserInfo: isup.UserInfo{Present: isup.PartSession, Session: session}})
					} else if what == 5 {
						delete(r.calls, hop)
						r.ended++
						r.fromExchange(hop, isup.Message{Type: isup.REL, Cause: isup.UserBusy})
					}
					break
				}
			case 6: // a call for a phone
				incoming++
				hop := circuitKey{exchange.FirstCalledPoint, incoming}
				r.calls[hop] = "ringing"
				r.began++
				r.fromExchange(hop, isup.Message{Type: isup.IAM, Digits: exchange.LineNumber(4, uint32(10*gw+n)), UserInfo: isup.UserInfo{Present: isup.PartTimeLeft, TimeLeft: 50000}})
			case 7: // a gateway starts anew
				for i := range r.phones[gw] {
					r.phones[gw][i] = phone{conns: map[string]bool{}, off: r.phones[gw][i].off}
				}
				r.snd[gw].Send(r.now, mgcp.Message{Verb: mgcp.RestartInProgress, Endpoint: fmt.Sprintf("*@gw%d", gw), Params: []mgcp.Param{{Name: "RM", Value: "restart"}}})
			}
			r.pass(policy.Tenths(rapid.SampledFrom([]int{0, 50, 1000, 20000, 200000}).Draw(t, "gap")))
		}
		r.loss, r.mixed = 0, false
		for gw := range r.phones { // everybody hangs up, and everybody is asked
			for n := range r.phones[gw] {
				if p := &r.phones[gw][n]; p.off {
					p.off = false
					r.notice(p, "L/hu")
				}
			}
		}
		r.pass(1500000)
		for hop, state := range r.calls {
			t.Fatalf("the call on %v is still %s", hop, state)
		}
		for gw := range r.phones {
			for n, p := range r.phones[gw] {
				if l := r.a.lines[gw*3+n]; len(p.conns) > 0 || l.state != Idle || !p.armed || !strings.Contains(p.r, "L/hd") {
					t.Fatalf("phone %d at gateway %d: %+v, line %v", n, gw, p, l.state)
				}
			}
		}
		if r.began != r.ended {
			t.Fatalf("%d calls began, %d ended", r.began, r.ended)
		}
	})
}

// A gateway that moved while the program was down is not at its address in the settings: it is followed to where it speaks from.
func TestGatewayIsFollowedToWhereItSpeaksFrom(t *testing.T) {
	m, _ := mgcp.ParseDigitMap("(xxx)")
	there := netip.MustParseAddrPort("127.0.0.1:3000")
	var sent []netip.AddrPort
	out := carrier{send: func(to netip.AddrPort, _ mgcp.Message) { sent = append(sent, to) }}
	a := New(Config{OwnExchange: 4, PointCode: 5, Incarnation: 7, DigitMap: m, AbandonTimes: []policy.Tenths{90000}, GoSTarget: 12000, RestartRate: 100, MaxQueuedRestarts: 10,
		Gateways: []Gateway{{Name: "gw", Addresses: []netip.AddrPort{where}, Endpoints: 1, Width: 1}}}, out, 1000)
	if len(sent) != 1 || sent[0] != where {
		t.Fatal(sent)
	}
	a.HandleMessage(2000, there, mgcp.Message{Verb: mgcp.Notify, Transaction: 5, Endpoint: "aaln/1@gw", Params: []mgcp.Param{{Name: "X", Value: "1"}, {Name: "O", Value: "L/hd"}}}, 0)
	if last := sent[len(sent)-1]; last != there || len(sent) != 3 { // its answer, and the first command again
		t.Fatal(sent)
	}
}

type carrier struct {
	send func(netip.AddrPort, mgcp.Message)
}

func (c carrier) Send(to netip.AddrPort, m mgcp.Message) { c.send(to, m) }
func (c carrier) Offer(uint16, uint16, isup.Message)     {}
func (c carrier) Note(string)                            {}
func (c carrier) Told(int, string)                       {}

// Each state says what becomes of each event, or that it changes nothing; a line that is called is answered in every state.
func TestEveryStateAnswersACall(t *testing.T) {
	for s := range stateCount {
		if transitions[s][incomingCall].action == nil || transitions[s][endpointLost].action == nil {
			t.Errorf("%v: a call, or the loss of the gateway, is passed over", s)
		}
		for e, m := range transitions[s] {
			if m.action != nil && m.next >= stateCount {
				t.Errorf("%v, %v: to nowhere", s, event(e))
			}
		}
	}
}

func TestToneAndWordsGoWithTheCause(t *testing.T) {
	for c, want := range map[isup.Cause]gateways.Tone{isup.UserBusy: gateways.Busy, isup.NoCircuit: gateways.Congestion, isup.TemporaryFailure: gateways.Reorder, 1: gateways.Reorder} {
		if got, words := gateways.ToneFor(c); got != want || words == "" {
			t.Errorf("cause %d: %v %q", c, got, words)
		}
	}
}
