package numbers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"indigodrift/policy"
)

// testNet simulates two portability servers and the calls that look numbers up.
type testNet struct {
	resolver    *PortabilityResolver
	now         policy.Tenths
	delay       [2]policy.Tenths // negative: the server does not answer
	replies     []pendingReply
	done        map[uint32]bool
	known       map[uint32]bool
	queryTimes  []policy.Tenths
	queryCounts map[string]int
	deadlines   map[uint32]policy.Tenths
	violations  []string
}

type pendingReply struct {
	dueAt  policy.Tenths
	id     uint32
	number string
}

func newTestNet(limits ResolverLimits) *testNet {
	net := &testNet{now: 1000000, done: map[uint32]bool{}, known: map[uint32]bool{}, queryCounts: map[string]int{}, deadlines: map[uint32]policy.Tenths{}}
	var err error
	if net.resolver, err = NewPortabilityResolver(limits, 3, net); err != nil {
		panic(err)
	}
	return net
}

func (n *testNet) Query(id uint32, server int, number string) {
	n.queryTimes = append(n.queryTimes, n.now)
	n.queryCounts[number]++
	if delay := n.delay[server]; delay >= 0 {
		n.replies = append(n.replies, pendingReply{n.now + delay, id, number})
	}
}

func (n *testNet) LookupDone(call uint32, porting Porting, known bool) {
	if n.done[call] {
		n.violations = append(n.violations, fmt.Sprintf("call %d got two results", call))
	}
	if n.now > n.deadlines[call]+100 {
		n.violations = append(n.violations, fmt.Sprintf("call %d waited %d past its deadline", call, n.now-n.deadlines[call]))
	}
	n.done[call], n.known[call] = true, known
}

func (n *testNet) lookUp(call uint32, number string, maxWait policy.Tenths) LookupStatus {
	n.deadlines[call] = n.now + maxWait
	_, status := n.resolver.Lookup(n.now, call, number, n.now+maxWait)
	if status != LookupPending {
		n.done[call], n.known[call] = true, status == LookupAnswered
	}
	return status
}

func (n *testNet) advance(duration policy.Tenths) {
	for end := n.now + duration; n.now < end; {
		n.now = min(end, n.now+50)
		for i := 0; i < len(n.replies); {
			if reply := n.replies[i]; reply.dueAt <= n.now {
				n.replies = slices.Delete(n.replies, i, i+1)
				n.resolver.HandleAnswer(n.now, reply.id, Porting{Ported: true, RoutingNumber: "9" + reply.number}, true, 0)
			} else {
				i++
			}
		}
		if next, ok := n.resolver.NextTick(); ok && next <= n.now {
			n.resolver.Tick(n.now)
		}
	}
}

func limits() ResolverLimits {
	return ResolverLimits{MaxKnown: 100, MaxUnknown: 50, MaxAge: 600000, MaxPending: 64, QueryTimeout: 10000, RetryRatio: 0.1}
}

func TestLookupsOfANumberShareOneQuery(t *testing.T) {
	net := newTestNet(limits())
	net.delay = [2]policy.Tenths{200, 200}
	for call := range uint32(50) {
		net.lookUp(call+1, "37129000001", 3000)
	}
	net.advance(1000)
	if len(net.queryTimes) != 1 || len(net.done) != 50 || net.lookUp(60, "37129000001", 3000) != LookupAnswered || len(net.violations) > 0 {
		t.Fatalf("%d queries, %d results, violations %v", len(net.queryTimes), len(net.done), net.violations)
	}
}

func TestSlowAndDeadServersRecover(t *testing.T) {
	for _, c := range []struct {
		name                   string
		delay                  policy.Tenths
		minQueries, maxQueries int // bounds of queries in 20 s of fault with 50 calls/s
	}{{"slow", 8000, 50, 700}, {"dead", -1, 5, 60}} {
		net := newTestNet(limits())
		net.delay = [2]policy.Tenths{100, 100}
		call, waited := uint32(0), policy.Tenths(0)
		makeCalls := func(calls int) (known int) {
			first := call
			for range calls {
				call++
				net.lookUp(call, fmt.Sprintf("371290%05d", call), 3000)
				net.advance(200)
			}
			for c := first + 1; c <= call; c++ {
				if net.known[c] {
					known++
				}
			}
			return known
		}
		makeCalls(200)
		net.delay = [2]policy.Tenths{c.delay, c.delay}
		queriesBefore := len(net.queryTimes)
		makeCalls(1000)
		queriesDuring := len(net.queryTimes) - queriesBefore
		net.delay = [2]policy.Tenths{100, 100}
		makeCalls(800) // time to detect the recovery
		if known := makeCalls(100); known < 90 || queriesDuring < c.minQueries || queriesDuring > c.maxQueries || len(net.violations) > 0 {
			t.Errorf("%s: %d queries during the fault, %d of 100 known after it, violations %v, waited %d", c.name, queriesDuring, known, net.violations, waited)
		}
	}
}

// A server that immediately returns errors or malformed answers is treated as dead: the calls do not wait for it, and the
// other server is queried.
func TestServerThatFailsAtOnceIsAvoided(t *testing.T) {
	net := newTestNet(limits())
	net.delay = [2]policy.Tenths{-1, 100}
	for call := uint32(1); call <= 200; call++ {
		net.lookUp(call, fmt.Sprint("3712", call), 3000)
		for _, q := range append([]*query(nil), net.resolver.sendOrder...) { // all queries to the first server fail
			if net.resolver.byID[q.id] == q && q.server == 0 {
				net.resolver.HandleFailure(net.now, q.id)
			}
		}
		net.advance(200)
	}
	known := 0
	for call := uint32(101); call <= 200; call++ {
		if net.known[call] {
			known++
		}
	}
	if known < 95 || len(net.violations) > 0 {
		t.Fatalf("%d of the last 100 calls got an answer; violations %v", known, net.violations)
	}
}

func TestOtherServerTakesOver(t *testing.T) {
	net := newTestNet(limits())
	net.delay = [2]policy.Tenths{-1, 100}
	for call := range uint32(300) {
		net.lookUp(call+1, fmt.Sprint("3712", call), 3000)
		net.advance(200)
	}
	known := 0
	for call := uint32(201); call <= 300; call++ {
		if net.known[call] {
			known++
		}
	}
	if known < 90 {
		t.Fatalf("%d of the last 100 calls got an answer with one of two servers dead", known)
	}
}

// During a storm of unknown numbers the caches and the pending queries stay within their limits, and known numbers are
// not evicted.
func TestStormOfUnknownNumbersIsBounded(t *testing.T) {
	net := newTestNet(limits())
	net.delay = [2]policy.Tenths{100, 100}
	for call := range uint32(80) {
		net.lookUp(call+1, fmt.Sprint("good", call), 3000)
		net.advance(200)
	}
	random := rand.New(rand.NewPCG(1, 1))
	net.delay = [2]policy.Tenths{-1, -1}
	for n := range uint32(200000) {
		net.lookUp(1000+n, fmt.Sprint("bad", random.Uint32()), 3000)
		if n%20 == 0 {
			net.advance(50)
		}
		if net.resolver.PendingCount() > limits().MaxPending {
			t.Fatalf("%d queries pending", net.resolver.PendingCount())
		}
	}
	stillKnown := 0
	for call := range uint32(80) {
		if _, status := net.resolver.Lookup(net.now, 500000+call, fmt.Sprint("good", call), net.now); status == LookupAnswered {
			stillKnown++
		}
	}
	known, unknown := net.resolver.CachedCounts()
	if stillKnown < 80 || known > 100 || unknown > 50 || len(net.violations) > 0 {
		t.Fatalf("%d of 80 known numbers left, %d known and %d unknown cached, violations %v", stillKnown, known, unknown, net.violations[:min(3, len(net.violations))])
	}
}

func TestLookupDeadlineLeavesTimeForRouteTries(t *testing.T) {
	for _, c := range []struct{ now, gos, abandon, want policy.Tenths }{{0, 12000, 90000, 3000}, {0, 12000, 4000, 1000}, {20000, 12000, 90000, 20000}} {
		if got := LookupDeadline(c.now, c.gos, c.abandon); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// BenchmarkGoS measures the share of calls whose look-up and route together meet the GoS target, at 50 calls/s for a minute to
// 2,000 numbers with a Zipf distribution. It varies the behaviour of the server and compares the resolver, the resolver
// without a cache, and a plain look-up that waits for its answer until the timeout.
func BenchmarkGoS(b *testing.B) {
	const gosTarget, calls = policy.Tenths(12000), 3000
	for _, server := range []struct {
		name  string
		delay func(now policy.Tenths) policy.Tenths
	}{{"healthy", func(policy.Tenths) policy.Tenths { return 100 }}, {"500-ms-late", func(policy.Tenths) policy.Tenths { return 5000 }},
		{"silent", func(policy.Tenths) policy.Tenths { return -1 }},
		{"flapping", func(now policy.Tenths) policy.Tenths {
			if now/20000%2 == 0 {
				return 100
			}
			return -1
		}}} {
		for _, variant := range []string{"all", "no-memory", "plain"} {
			b.Run(server.name+"/"+variant, func(b *testing.B) {
				for range b.N {
					resolverLimits := limits()
					resolverLimits.MaxKnown, resolverLimits.MaxUnknown, resolverLimits.QueryTimeout = 1000, 100, 10000
					if variant == "no-memory" {
						resolverLimits.MaxKnown, resolverLimits.MaxUnknown, resolverLimits.MaxAge = 1, 1, 1
					}
					net := newTestNet(resolverLimits)
					random := rand.New(rand.NewPCG(5, 5))
					dialled := rand.NewZipf(random, 1.1, 5, 1999)
					startTimes, withinTarget, known := map[uint32]policy.Tenths{}, 0, 0
					lookupTimes := make([]policy.Tenths, calls+1)
					for call := uint32(1); call <= calls; call++ {
						delay := server.delay(net.now)
						net.delay = [2]policy.Tenths{delay, delay}
						if variant == "plain" {
							if lookupTimes[call] = delay; delay < 0 || delay > resolverLimits.QueryTimeout {
								lookupTimes[call] = resolverLimits.QueryTimeout
							} else {
								known++
							}
							net.now += 200
							continue
						}
						startTimes[call] = net.now
						net.lookUp(call, fmt.Sprint("3712", dialled.Uint64()), LookupDeadline(net.now, net.now+gosTarget, net.now+30000)-net.now)
						for end := net.now + 200; net.now < end; {
							net.advance(50)
							for c, startTime := range startTimes {
								if net.done[c] {
									lookupTimes[c] = net.now - startTime
									delete(startTimes, c)
									if net.known[c] {
										known++
									}
								}
							}
						}
					}
					for _, lookupTime := range lookupTimes[1:] {
						if routeTime := policy.Tenths(random.ExpFloat64() * 3000); lookupTime+routeTime <= gosTarget { // 300 ms on average
							withinTarget++
						}
					}
					b.ReportMetric(float64(withinTarget)/calls, "gos-share")
					b.ReportMetric(float64(known)/calls, "known-share")
					b.ReportMetric(float64(len(net.queryTimes))/calls, "queries-a-call")
				}
			})
		}
	}
}
