package numbers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"indigodrift/policy"
)

// testNet simulates two portability servers and the calls that look numbers up.
type office struct {
	q       *PortabilityResolver
	now     policy.Tenths
	delay   [2]policy.Tenths // negative: the server does not answer
	on      []flown
	told    map[uint32]bool
	known   map[uint32]bool
	queries []policy.Tenths
	asked   map[string]int
	until   map[uint32]policy.Tenths
	broken  []string
}

type flown struct {
	at     policy.Tenths
	id     uint32
	number string
}

func newOffice(l ResolverLimits) *office {
	o := &office{now: 1000000, told: map[uint32]bool{}, known: map[uint32]bool{}, asked: map[string]int{}, until: map[uint32]policy.Tenths{}}
	var err error
	if o.q, err = NewPortabilityResolver(l, 3, o); err != nil {
		panic(err)
	}
	return o
}

func (o *office) Query(id uint32, server int, number string) {
	o.queries = append(o.queries, o.now)
	o.asked[number]++
	if d := o.delay[server]; d >= 0 {
		o.on = append(o.on, flown{o.now + d, id, number})
	}
}

func (o *office) LookupDone(call uint32, p Porting, known bool) {
	if o.told[call] {
		o.broken = append(o.broken, fmt.Sprintf("call %d got two results", call))
	}
	if o.now > o.until[call]+100 {
		o.broken = append(o.broken, fmt.Sprintf("call %d waited %d past its deadline", call, o.now-o.until[call]))
	}
	o.told[call], o.known[call] = true, known
}

func (o *office) ask(call uint32, number string, patience policy.Tenths) LookupStatus {
	o.until[call] = o.now + patience
	_, v := o.q.Lookup(o.now, call, number, o.now+patience)
	if v != LookupPending {
		o.told[call], o.known[call] = true, v == LookupAnswered
	}
	return v
}

func (o *office) pass(by policy.Tenths) {
	for end := o.now + by; o.now < end; {
		o.now = min(end, o.now+50)
		for i := 0; i < len(o.on); {
			if f := o.on[i]; f.at <= o.now {
				o.on = slices.Delete(o.on, i, i+1)
				o.q.HandleAnswer(o.now, f.id, Porting{Ported: true, RoutingNumber: "9" + f.number}, true, 0)
			} else {
				i++
			}
		}
		if at, ok := o.q.NextTick(); ok && at <= o.now {
			o.q.Tick(o.now)
		}
	}
}

func limits() ResolverLimits {
	return ResolverLimits{MaxKnown: 100, MaxUnknown: 50, MaxAge: 600000, MaxPending: 64, QueryTimeout: 10000, RetryRatio: 0.1}
}

func TestOneQueryServesAllWhoAskForANumber(t *testing.T) {
	o := newOffice(limits())
	o.delay = [2]policy.Tenths{200, 200}
	for call := range uint32(50) {
		o.ask(call+1, "37129000001", 3000)
	}
	o.pass(1000)
	if len(o.queries) != 1 || len(o.told) != 50 || o.ask(60, "37129000001", 3000) != LookupAnswered || len(o.broken) > 0 {
		t.Fatalf("%d queries, %d results, violations %v", len(o.queries), len(o.told), o.broken)
	}
}

func TestSlowServerIsToldFromADeadOneAndRecoveryIsFound(t *testing.T) {
	for _, c := range []struct {
		name        string
		delay       policy.Tenths
		least, most int // bounds of queries in 20 s of fault with 50 calls/s
	}{{"slow", 8000, 50, 700}, {"dead", -1, 5, 60}} {
		o := newOffice(limits())
		o.delay = [2]policy.Tenths{100, 100}
		call, waited := uint32(0), policy.Tenths(0)
		offer := func(calls int) (known int) {
			first := call
			for range calls {
				call++
				o.ask(call, fmt.Sprintf("371290%05d", call), 3000)
				o.pass(200)
			}
			for c := first + 1; c <= call; c++ {
				if o.known[c] {
					known++
				}
			}
			return known
		}
		offer(200)
		o.delay = [2]policy.Tenths{c.delay, c.delay}
		before := len(o.queries)
		offer(1000)
		during := len(o.queries) - before
		o.delay = [2]policy.Tenths{100, 100}
		offer(800) // time to detect the recovery
		if known := offer(100); known < 90 || during < c.least || during > c.most || len(o.broken) > 0 {
			t.Errorf("%s: %d queries during the fault, %d of 100 known after it, violations %v, waited %d", c.name, during, known, o.broken, waited)
		}
	}
}

// A server that immediately returns errors or malformed answers is treated as dead: the calls do not wait for it, and the
// other server is queried.
func TestServerThatFailsAtOnceIsLeft(t *testing.T) {
	o := newOffice(limits())
	o.delay = [2]policy.Tenths{-1, 100}
	for call := uint32(1); call <= 200; call++ {
		o.ask(call, fmt.Sprint("3712", call), 3000)
		for _, q := range append([]*query(nil), o.q.sendOrder...) { // all queries to the first server fail
			if o.q.byID[q.id] == q && q.server == 0 {
				o.q.HandleFailure(o.now, q.id)
			}
		}
		o.pass(200)
	}
	known := 0
	for call := uint32(101); call <= 200; call++ {
		if o.known[call] {
			known++
		}
	}
	if known < 95 || len(o.broken) > 0 {
		t.Fatalf("%d of the last 100 calls got an answer; violations %v", known, o.broken)
	}
}

func TestOtherServerTakesOver(t *testing.T) {
	o := newOffice(limits())
	o.delay = [2]policy.Tenths{-1, 100}
	for call := range uint32(300) {
		o.ask(call+1, fmt.Sprint("3712", call), 3000)
		o.pass(200)
	}
	known := 0
	for call := uint32(201); call <= 300; call++ {
		if o.known[call] {
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
	o := newOffice(limits())
	o.delay = [2]policy.Tenths{100, 100}
	for call := range uint32(80) {
		o.ask(call+1, fmt.Sprint("good", call), 3000)
		o.pass(200)
	}
	chance := rand.New(rand.NewPCG(1, 1))
	o.delay = [2]policy.Tenths{-1, -1}
	for n := range uint32(200000) {
		o.ask(1000+n, fmt.Sprint("bad", chance.Uint32()), 3000)
		if n%20 == 0 {
			o.pass(50)
		}
		if o.q.PendingCount() > limits().MaxPending {
			t.Fatalf("%d queries pending", o.q.PendingCount())
		}
	}
	good := 0
	for call := range uint32(80) {
		if _, v := o.q.Lookup(o.now, 500000+call, fmt.Sprint("good", call), o.now); v == LookupAnswered {
			good++
		}
	}
	known, unknown := o.q.CachedCounts()
	if good < 80 || known > 100 || unknown > 50 || len(o.broken) > 0 {
		t.Fatalf("%d of 80 known numbers left, %d known and %d unknown cached, violations %v", good, known, unknown, o.broken[:min(3, len(o.broken))])
	}
}

func TestCallNeverWaitsPastThePointWhereItCanBeServed(t *testing.T) {
	for _, c := range []struct{ now, gos, leaves, want policy.Tenths }{{0, 12000, 90000, 3000}, {0, 12000, 4000, 1000}, {20000, 12000, 90000, 20000}} {
		if got := LookupDeadline(c.now, c.gos, c.leaves); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// BenchmarkGoS measures the share of calls whose look-up and route together meet the GoS target, at 50 calls/s for a minute to
// 2,000 numbers with a Zipf distribution. It varies the behaviour of the server and compares the resolver, the resolver
// without a cache, and a plain look-up that waits for its answer until the timeout.
func BenchmarkGoS(b *testing.B) {
	const gos, calls = policy.Tenths(12000), 3000
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
		for _, use := range []string{"all", "no-memory", "plain"} {
			b.Run(server.name+"/"+use, func(b *testing.B) {
				for range b.N {
					l := limits()
					l.MaxKnown, l.MaxUnknown, l.QueryTimeout = 1000, 100, 10000
					if use == "no-memory" {
						l.MaxKnown, l.MaxUnknown, l.MaxAge = 1, 1, 1
					}
					o := newOffice(l)
					chance := rand.New(rand.NewPCG(5, 5))
					dialled := rand.NewZipf(chance, 1.1, 5, 1999)
					began, met, known := map[uint32]policy.Tenths{}, 0, 0
					waited := make([]policy.Tenths, calls+1)
					for call := uint32(1); call <= calls; call++ {
						d := server.delay(o.now)
						o.delay = [2]policy.Tenths{d, d}
						if use == "plain" {
							if waited[call] = d; d < 0 || d > l.QueryTimeout {
								waited[call] = l.QueryTimeout
							} else {
								known++
							}
							o.now += 200
							continue
						}
						began[call] = o.now
						o.ask(call, fmt.Sprint("3712", dialled.Uint64()), LookupDeadline(o.now, o.now+gos, o.now+30000)-o.now)
						for end := o.now + 200; o.now < end; {
							o.pass(50)
							for c, at := range began {
								if o.told[c] {
									waited[c] = o.now - at
									delete(began, c)
									if o.known[c] {
										known++
									}
								}
							}
						}
					}
					for _, w := range waited[1:] {
						if route := policy.Tenths(chance.ExpFloat64() * 3000); w+route <= gos { // 300 ms on average
							met++
						}
					}
					b.ReportMetric(float64(met)/calls, "gos-share")
					b.ReportMetric(float64(known)/calls, "known-share")
					b.ReportMetric(float64(len(o.queries))/calls, "queries-a-call")
				}
			})
		}
	}
}
