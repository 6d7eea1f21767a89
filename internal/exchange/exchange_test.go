package exchange

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 600) }

// testNetwork simulates exchanges, the messages between them, and callers. It records violations of the call rules.
type testNetwork struct {
	now        policy.Tenths
	nodes      []*testNode
	inTransit  []delivery
	callers    map[isup.Reference]*caller
	violations []string
	nextCall   uint32
	lose       func() bool

	delivering delivery
}

// delivery is a message in transit.
type delivery struct {
	at   policy.Tenths
	to   int
	from Hop
	msg  isup.Message
}

// testNode is one simulated exchange and its Output.
type testNode struct {
	net         *testNetwork
	number      int
	exchange    *Exchange
	connects    int
	logLines    []string
	lastArrival map[int]policy.Tenths // time of the last message to each exchange, as links keep the order
}

// caller is a subscriber with a call, as the line sees it.
type caller struct {
	origin                 int
	cic                    uint16
	abandonTime            policy.Tenths
	answers                []string
	abandoned, established bool
	openTries              map[string]isup.Message // tries in progress, by exchange and circuit
	lastRelease            policy.Tenths
	released               bool
}

func (node *testNode) RequestSwitchList()    {}
func (node *testNode) Log(text string)       { node.logLines = append(node.logLines, text) }
func (node *testNode) ReportAnswer(a Answer) {}

// Transmit sends a message through the simulated network. A called line answers at once.
func (node *testNode) Transmit(to Hop, m isup.Message) {
	net := node.net
	if to.Side == Line {
		if m.Type == isup.IAM { // the called line
			net.send(node.number, node.number, Hop{Side: Line, Point: to.Point}, isup.Message{CIC: m.CIC, Type: isup.ANM})
		} else if to.Point < FirstCalledPoint {
			net.checkAnswer(node.number, m)
		}
		return
	}
	remote := node.exchange.groups[to.Peer].number
	back := net.nodes[remote].exchange.groupByNumber[node.number]
	from := Hop{Side: Preceding, Peer: back}
	if to.Side == Preceding {
		from.Side = Succeeding
	}
	if to.Side == Succeeding && m.Type == isup.IAM {
		net.checkTry(node.number, remote, m)
	}
	if to.Side == Succeeding && m.Type == isup.REL {
		for _, c := range net.callers {
			if key := fmt.Sprint(remote, m.CIC); c.origin == node.number && c.openTries[key].Type == isup.IAM {
				delete(c.openTries, key)
				c.released, c.lastRelease = true, net.now
			}
		}
	}
	net.send(node.number, remote, from, m)
}

// send puts a message in transit.
func (net *testNetwork) send(from, to int, hop Hop, m isup.Message) {
	node := net.nodes[from]
	at := max(net.now+50, node.lastArrival[to])
	node.lastArrival[to] = at
	net.inTransit = append(net.inTransit, delivery{at, to, hop, m})
}

// violation records a violation of a call rule.
func (net *testNetwork) violation(format string, args ...any) {
	net.violations = append(net.violations, fmt.Sprintf(format, args...))
}

// checkTry checks a set-up of the originating exchange: one try at a time, none after the end of the call, and none within
// the release time of the previous try.
func (net *testNetwork) checkTry(origin, remote int, m isup.Message) {
	c := net.callers[m.Ref]
	if c == nil || c.origin != origin {
		return
	}
	if len(c.answers) > 0 || c.abandoned {
		net.violation("call %v sent after its end", m.Ref)
	}
	if arriving := net.delivering; arriving.msg.Type == isup.IAM && arriving.to == origin && arriving.from.Side == Preceding {
		neighbour := net.nodes[origin].exchange.groups[arriving.from.Peer].number
		for key, sent := range c.openTries { // dual seizure won by the neighbour: this try is void
			if key == fmt.Sprint(neighbour, sent.CIC) && slots(sent)&slots(arriving.msg) != 0 {
				delete(c.openTries, key)
			}
		}
	}
	if len(c.openTries) > 0 {
		net.violation("call %v has two tries in progress: %v and %d", m.Ref, c.openTries, remote)
	}
	if c.released && net.now < c.lastRelease+3000 {
		net.violation("call %v tried again %d after a release", m.Ref, net.now-c.lastRelease)
	}
	c.openTries[fmt.Sprint(remote, m.CIC)] = m
}

// slots returns the circuits of a set-up as bits of one multiplex. No group of these tests has more than one multiplex.
func slots(m isup.Message) uint32 {
	if m.Slots != 0 {
		return m.Slots
	}
	return 1 << (m.CIC - 1)
}

// checkAnswer checks a message to a subscriber line: one answer per call, in time, and none after its end.
func (net *testNetwork) checkAnswer(origin int, m isup.Message) {
	for ref, c := range net.callers {
		if c.origin != origin || c.cic != m.CIC {
			continue
		}
		switch {
		case m.Type == isup.RLC:
		case m.Type == isup.REL && c.established:
			c.established = false
		case c.abandoned || len(c.answers) > 0:
			net.violation("call %v: %v after its end (answers %v, abandoned %v)", ref, m.Type, c.answers, c.abandoned)
		case net.now > c.abandonTime:
			net.violation("call %v answered too late", ref)
		default:
			c.answers = append(c.answers, m.Type.String())
			c.established = m.Type == isup.ANM
		}
	}
}

// newTestNetwork returns n fully meshed exchanges with groups of the given size.
func newTestNetwork(n, size int) *testNetwork {
	net := &testNetwork{now: 1000000, callers: map[isup.Reference]*caller{}, lose: func() bool { return false }}
	var list []policy.Switch
	for i := range n {
		list = append(list, policy.Switch{ID: uint32(100 + i), Number: i, Ready: true})
	}
	for i := range n {
		node := &testNode{net: net, number: i, lastArrival: map[int]policy.Tenths{}}
		net.nodes = append(net.nodes, node)
		net.start(node, list, size)
	}
	for i := range n {
		net.connect(i)
	}
	net.advance(5000)
	return net
}

// start creates the Exchange of a node.
func (net *testNetwork) start(node *testNode, list []policy.Switch, size int) {
	var neighbours []Neighbour
	for j := range list {
		if j != node.number {
			neighbours = append(neighbours, Neighbour{j, size})
		}
	}
	d := policy.Deployment{Seed: uint64(node.number + 7*node.connects), OwnExchange: node.number, MaxTries: 4, ReleaseTime: 3000, CancelsAllowed: true, InitialCapacity: 1,
		OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
		Bearers: []policy.Bearer{{Revenue: 1, LateShare: 0.1, GoSTarget: 12000, AbandonTime: 90000},
			{Revenue: 5, LateShare: 0.1, GoSTarget: 12000, AbandonTime: 90000}}}
	node.exchange = New(d, neighbours, node, net.now, func(d policy.Deployment, e policy.Executor, now policy.Tenths) Decider {
		return policy.New(d, e, now)
	})
	node.exchange.ListReceived(net.now, true, list)
}

// connect brings up the links of an exchange.
func (net *testNetwork) connect(i int) {
	node := net.nodes[i]
	node.connects++
	node.exchange.OwnSwitchUp(net.now, "1")
	for j := range node.exchange.groups {
		node.exchange.LinkUp(net.now, j, "1")
	}
}

// call starts a call to a line at another exchange.
func (net *testNetwork) call(origin, dest, bearer, width int, ttl policy.Tenths) isup.Reference {
	net.nextCall++
	ref := isup.Reference{Point: PointCode(origin), Identity: net.nextCall}
	c := &caller{origin: origin, cic: uint16(net.nextCall & isup.MaxCIC), abandonTime: net.now + ttl, openTries: map[string]isup.Message{}}
	net.callers[ref] = c
	net.nodes[origin].exchange.Receive(net.now, Hop{Side: Line, Point: FirstSubscriberPoint}, isup.Message{
		CIC:    c.cic,
		Type:   isup.IAM,
		Width:  width,
		Digits: LineNumber(dest, net.nextCall),
		Ref:    ref,
		UserInfo: isup.UserInfo{
			Present:  isup.PartTimeLeft | isup.PartCall,
			TimeLeft: uint32(ttl),
			Bearer:   uint8(bearer),
		},
	}, 0)
	return ref
}

// hangUp releases a call from the caller's side.
func (net *testNetwork) hangUp(ref isup.Reference) {
	c := net.callers[ref]
	c.abandoned, c.established = true, false
	net.nodes[c.origin].exchange.Receive(net.now, Hop{Side: Line, Point: FirstSubscriberPoint},
		isup.Message{CIC: c.cic, Type: isup.REL, Cause: isup.NormalClearing}, 0)
}

// advance advances the simulated time, event by event.
func (net *testNetwork) advance(by policy.Tenths) {
	for end := net.now + by; net.now < end; {
		next := end
		for _, arriving := range net.inTransit {
			next = min(next, arriving.at)
		}
		for _, node := range net.nodes {
			next = min(next, node.exchange.Next())
		}
		net.now = max(net.now, next)
		for i := 0; i < len(net.inTransit); {
			arriving := net.inTransit[i]
			if arriving.at > net.now {
				i++
				continue
			}
			net.inTransit = slices.Delete(net.inTransit, i, i+1)
			if net.lose() {
				continue
			}
			if arriving.msg.Type == isup.ANM || arriving.msg.Type == isup.REL || arriving.msg.Type == isup.GRS || arriving.msg.Type == isup.RSC {
				net.recordTryEnd(arriving)
			}
			net.delivering = arriving
			net.nodes[arriving.to].exchange.Receive(net.now, arriving.from, arriving.msg, 0)
			net.delivering = delivery{}
			i = 0
		}
		for _, node := range net.nodes {
			if node.exchange.Next() <= net.now {
				node.exchange.Tick(net.now)
			}
		}
		for ref, c := range net.callers {
			if !c.abandoned && len(c.answers) == 0 && net.now > c.abandonTime+100 {
				net.violation("call %v has no answer", ref)
				c.abandoned = true
			}
		}
	}
}

// recordTryEnd records that a backward message or a reset ends the try on its circuits.
func (net *testNetwork) recordTryEnd(arriving delivery) {
	if arriving.msg.Type == isup.GRS || arriving.msg.Type == isup.RSC {
		for _, c := range net.callers {
			for cic := arriving.msg.CIC; cic <= arriving.msg.CIC+uint16(arriving.msg.Range); cic++ {
				key := fmt.Sprint(net.nodes[arriving.to].exchange.groups[arriving.from.Peer].number, cic)
				if c.origin == arriving.to && c.openTries[key].Type == isup.IAM {
					delete(c.openTries, key)
					c.released, c.lastRelease = true, net.now
				}
			}
		}
		return
	}
	if arriving.from.Side != Succeeding {
		return
	}
	key := fmt.Sprint(net.nodes[arriving.to].exchange.groups[arriving.from.Peer].number, arriving.msg.CIC)
	for _, c := range net.callers {
		if c.origin == arriving.to {
			delete(c.openTries, key)
		}
	}
}

// requireIdle fails the test if any circuit, call or line is still held.
func (net *testNetwork) requireIdle(t interface{ Fatalf(string, ...any) }) {
	for _, node := range net.nodes {
		for i := range node.exchange.groups {
			if g := node.exchange.groups[i].circuits; g.Free() != g.Size() {
				t.Fatalf("exchange %d still holds %d of %d circuits to %d; %d calls: %+v", node.number, g.Size()-g.Free(),
					g.Size(), node.exchange.groups[i].number, len(node.exchange.calls), g)
			}
		}
		if len(node.exchange.calls) > 0 || len(node.exchange.callByLine) > 0 || node.exchange.unanswered != 0 {
			t.Fatalf("exchange %d still holds %d calls, %d lines, %d unanswered", node.number,
				len(node.exchange.calls), len(node.exchange.callByLine), node.exchange.unanswered)
		}
	}
}

// requireNoViolations fails the test on a rule violation or a logged fault.
func (net *testNetwork) requireNoViolations(t interface{ Fatalf(string, ...any) }) {
	if len(net.violations) > 0 {
		t.Fatalf("%d rule violations: %v", len(net.violations), net.violations[:min(3, len(net.violations))])
	}
	for _, node := range net.nodes {
		for _, line := range node.logLines {
			if len(line) > 6 && line[:6] == "fault:" {
				t.Fatalf("exchange %d: %s", node.number, line)
			}
		}
	}
}

func TestCallIsEstablishedAndReleased(t *testing.T) {
	net := newTestNetwork(3, 10)
	ref := net.call(0, 1, 0, 1, 30000)
	net.advance(2000)
	if c := net.callers[ref]; !c.established {
		t.Fatalf("answers %v", c.answers)
	}
	if free := net.nodes[1].exchange.groups[net.nodes[1].exchange.groupByNumber[0]].circuits.Free(); free != 9 {
		t.Fatalf("the remote exchange counts %d free", free)
	}
	net.hangUp(ref)
	net.advance(2000)
	net.requireIdle(t)
	net.requireNoViolations(t)
}

func TestCallGoesOverATandemWhenTheGroupIsFull(t *testing.T) {
	net := newTestNetwork(3, 12)
	var refs []isup.Reference
	for range 18 {
		refs = append(refs, net.call(0, 1, 1, 1, 30000))
		net.advance(500)
	}
	established := 0
	for _, ref := range refs {
		if net.callers[ref].established {
			established++
		}
	}
	if established < 15 {
		t.Fatalf("%d of 18 calls are established over 12 direct circuits and one tandem", established)
	}
	for _, ref := range refs {
		if net.callers[ref].established {
			net.hangUp(ref)
		}
	}
	net.advance(5000)
	net.requireIdle(t)
	net.requireNoViolations(t)
}

// Runs calls, releases, lost messages, link failures and restarted switches in random order. The call rules must hold
// after each step, and in the end no circuit, call or line may be held.
func TestRulesHoldUnderAnyMixtureOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "exchanges")
		net := newTestNetwork(n, rapid.SampledFrom([]int{2, 6, 20}).Draw(t, "circuits"))
		lossy := rapid.Bool().Draw(t, "lossy")
		chance := uint32(1)
		net.lose = func() bool {
			chance = chance*1664525 + 1013904223
			return lossy && chance>>24 < 20
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			origin := rapid.IntRange(0, n-1).Draw(t, "site")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				net.call(origin, rapid.IntRange(0, n-1).Draw(t, "dest"), rapid.IntRange(0, 1).Draw(t, "bearer"),
					rapid.SampledFrom([]int{1, 1, 2}).Draw(t, "width"), policy.Tenths(rapid.IntRange(500, 30000).Draw(t, "ttl")))
			case 5, 6:
				refs := slices.SortedFunc(maps.Keys(net.callers), func(a, b isup.Reference) int { return int(a.Identity) - int(b.Identity) })
				for _, ref := range refs {
					if c := net.callers[ref]; !c.abandoned && (c.established || len(c.answers) == 0) && c.origin == origin {
						net.hangUp(ref)
						break
					}
				}
			case 7:
				if len(net.nodes[origin].exchange.groups) > 0 {
					peer := rapid.IntRange(0, n-2).Draw(t, "peer")
					net.nodes[origin].exchange.LinkDown(net.now, peer)
					for _, c := range net.callers { // tries through the lost link have ended
						for key := range c.openTries {
							if c.origin == origin && len(key) > 0 && key[0] == byte('0'+net.nodes[origin].exchange.groups[peer].number) {
								delete(c.openTries, key)
							}
						}
					}
					net.advance(policy.Tenths(rapid.IntRange(0, 3000).Draw(t, "down")))
					net.nodes[origin].exchange.LinkUp(net.now, peer, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "life"))
				}
			default:
			}
			net.advance(policy.Tenths(rapid.IntRange(0, 5000).Draw(t, "pass")))
			if len(net.violations) > 0 {
				break
			}
		}
		net.requireNoViolations(t)
		net.lose = func() bool { return false }
		for _, c := range net.callers {
			if c.established || len(c.answers) == 0 {
				c.abandoned = true
			}
		}
		for ref, c := range net.callers {
			if c.abandoned {
				net.hangUp(ref)
			}
		}
		net.advance(400000)
		net.requireNoViolations(t)
		if lossy { // a lost release is only found by the next call on the circuit or by a reset
			for _, node := range net.nodes {
				for j := range node.exchange.groups {
					node.exchange.LinkUp(net.now, j, "3")
				}
			}
			net.advance(100000)
		}
		net.requireIdle(t)
	})
}
