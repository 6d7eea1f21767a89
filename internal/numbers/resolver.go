package numbers

import (
	"math/rand/v2"

	"indigodrift/policy"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Porting is the result of a portability look-up.
type Porting struct {
	Ported        bool
	RoutingNumber string // number to route by, if ported
}

// PortabilityNet is the output of a PortabilityResolver. Its methods must not call the resolver.
type PortabilityNet interface {
	Query(id uint32, server int, number string)    // sends a query to a server
	LookupDone(call uint32, p Porting, known bool) // reports the result to a call with a pending look-up; known is false if none came in time
}

// ResolverLimits of an Inquirer.
type ResolverLimits struct {
	MaxKnown     int           // cached numbers that a server knows, ported or not
	MaxUnknown   int           // cached numbers that no server knows
	MaxAge       policy.Tenths // maximum time in the cache of known numbers; a tenth of it for unknown ones
	MaxPending   int           // queries pending at once
	QueryTimeout policy.Tenths // after which a query counts as unanswered
	RetryRatio   float64       // retries per query, on average
}

// LookupStatus is the immediate result of a look-up.
type LookupStatus uint8

const (
	LookupAnswered LookupStatus = iota // answered from the cache
	LookupPending                      // LookupDone will be called
	LookupSkipped                      // not queried, or not worth waiting for: use the route of the number as dialled
)

const (
	serverCount = 2

	answerTimeHalfLife   = policy.Tenths(20000) // half-life of answer time samples
	maxUnanswered        = 5                    // a server is considered dead after this many unanswered queries in a row
	initialProbeInterval = policy.Tenths(5000)  // of a dead server; doubles with each unanswered probe
	maxProbeInterval     = policy.Tenths(80000)
	slowerServerSampling = 16 // one query in 16 goes to the slower server to measure it
	lookupTimeDivisor    = 4  // a look-up may take a quarter of the time to the GoS target; the rest is for route tries
	maxRetryTokens       = 10 // retries that may be sent in a burst
	skippedSampling      = 8  // one in 8 queries that a slow server cannot answer in time is sent all the same
	unknownAgeDivisor    = 10
)

// server is the state of one portability server.
type server struct {
	answerTimeSum float64 // decaying sum of answer times
	answerWeight  float64
	updatedAt     policy.Tenths
	unanswered    int // unanswered queries in a row
	nextProbe     policy.Tenths
	probeInterval policy.Tenths
	probing       bool
}

type query struct {
	id       uint32
	number   string
	server   int
	sentAt   policy.Tenths
	deadline policy.Tenths
	isRetry  bool
	waiters  []waiter
	isProbe  bool
}

type waiter struct {
	call     uint32
	deadline policy.Tenths
}

type cacheEntry struct {
	porting Porting
	expires policy.Tenths
}

// PortabilityResolver manages portability look-ups: the cache, which number to query and at which of two servers, how long a
// call waits, and how to proceed while servers are slow or dead.
type PortabilityResolver struct {
	limits      ResolverLimits
	net         PortabilityNet
	random      *rand.Rand
	known       *simplelru.LRU[string, cacheEntry]
	unknown     *simplelru.LRU[string, policy.Tenths]
	byNumber    map[string]*query
	byID        map[uint32]*query
	sendOrder   []*query // in the order sent, so that iteration is deterministic
	nextID      uint32
	servers     [serverCount]server
	retryTokens float64 // token bucket that limits retries
	skipped     int
}

// NewPortabilityResolver returns a resolver with an empty cache. seed makes its random choices reproducible.
func NewPortabilityResolver(l ResolverLimits, seed uint64, out PortabilityNet) (*PortabilityResolver, error) {
	known, err := simplelru.NewLRU[string, cacheEntry](l.MaxKnown, nil)
	if err != nil {
		return nil, err
	}
	unknown, err := simplelru.NewLRU[string, policy.Tenths](l.MaxUnknown, nil)
	if err != nil {
		return nil, err
	}
	return &PortabilityResolver{limits: l, net: out, random: rand.New(rand.NewPCG(seed, 0x9)), known: known, unknown: unknown,
		byNumber: map[string]*query{}, byID: map[uint32]*query{}, retryTokens: maxRetryTokens}, nil
}

// LookupDeadline returns the time until which a call may wait for a look-up: a quarter of the time left to its GoS target or to
// the caller's abandon time, whichever is earlier. The rest is for its route tries.
func LookupDeadline(now, gosAt, leavesAt policy.Tenths) policy.Tenths {
	return now + max(0, min(gosAt, leavesAt)-now)/lookupTimeDivisor
}

// Lookup looks a number up for a call that may wait until a deadline.
func (q *PortabilityResolver) Lookup(now policy.Tenths, call uint32, number string, until policy.Tenths) (Porting, LookupStatus) {
	if r, ok := q.known.Get(number); ok && now < r.expires {
		return r.porting, LookupAnswered
	}
	if t, ok := q.unknown.Get(number); ok && now < t {
		return Porting{}, LookupAnswered
	}
	if o := q.byNumber[number]; o != nil { // one query serves all calls that look up the number
		if q.expectedDelay(now, o.server)-(now-o.sentAt) > until-now && !o.isRetry {
			return Porting{}, LookupSkipped
		}
		o.waiters = append(o.waiters, waiter{call, until})
		return Porting{}, LookupPending
	}
	to, probe, ok := q.chooseServer(now)
	if !ok || len(q.byNumber) >= q.limits.MaxPending {
		q.skipped++
		return Porting{}, LookupSkipped
	}
	inTime := q.expectedDelay(now, to) <= until-now
	if !inTime && !probe {
		// No call waits for a slow server, but a sample of the queries is sent. They measure when it has recovered, and
		// their answers are cached for the next call to the number. A dead server gets probes only.
		if q.skipped++; q.skipped%skippedSampling != 0 {
			return Porting{}, LookupSkipped
		}
	}
	o := q.sendQuery(now, number, to, probe)
	q.retryTokens = min(maxRetryTokens, q.retryTokens+q.limits.RetryRatio)
	if inTime && until > now {
		o.waiters = append(o.waiters, waiter{call, until})
		return Porting{}, LookupPending
	}
	return Porting{}, LookupSkipped
}

func (q *PortabilityResolver) sendQuery(now policy.Tenths, number string, to int, probe bool) *query {
	q.nextID++
	o := &query{id: q.nextID, number: number, server: to, sentAt: now, deadline: now + q.limits.QueryTimeout, isProbe: probe}
	q.byNumber[number], q.byID[o.id] = o, o
	q.sendOrder = append(q.sendOrder, o)
	q.net.Query(o.id, to, number)
	return o
}

// expectedDelay estimates the answer time of a server: the greater of the mean of recent answers and the age of its oldest
// pending query.
func (q *PortabilityResolver) expectedDelay(now policy.Tenths, to int) policy.Tenths {
	s := &q.servers[to]
	worst := policy.Tenths(0)
	if s.answerWeight > 0.1 {
		worst = policy.Tenths(s.answerTimeSum / s.answerWeight)
	}
	for _, o := range q.sendOrder {
		if o.server == to && q.byID[o.id] == o {
			worst = max(worst, now-o.sentAt)
			break
		}
	}
	return worst
}

// chooseServer returns the server to query: a dead one whose probe is due, else the faster of those alive, or occasionally the
// slower to measure it.
func (q *PortabilityResolver) chooseServer(now policy.Tenths) (to int, probe, ok bool) {
	var alive []int
	for i := range q.servers {
		s := &q.servers[i]
		if s.unanswered < maxUnanswered {
			alive = append(alive, i)
		} else if !s.probing && now >= s.nextProbe {
			s.probing = true
			return i, true, true
		}
	}
	switch len(alive) {
	case 0:
		return 0, false, false
	case 1:
		return alive[0], false, true
	}
	better, other := 0, 1
	if q.expectedDelay(now, 1) < q.expectedDelay(now, 0) {
		better, other = 1, 0
	}
	if q.random.IntN(slowerServerSampling) == 0 {
		return other, false, true
	}
	return better, false, true
}

// HandleAnswer handles the answer to a query. known is true if the server knows the number. age is how long the answer may be
// cached, or 0 for the limit of the resolver. An answer for which no call waits any longer is cached as well.
func (q *PortabilityResolver) HandleAnswer(now policy.Tenths, id uint32, p Porting, known bool, age policy.Tenths) {
	o := q.byID[id]
	if o == nil {
		return
	}
	s := &q.servers[o.server]
	s.unanswered, s.probing, s.probeInterval = 0, false, 0
	q.recordAnswerTime(now, s, now-o.sentAt)
	if age <= 0 || age > q.limits.MaxAge {
		age = q.limits.MaxAge
	}
	if known {
		q.known.Add(o.number, cacheEntry{p, now + age})
	} else {
		q.unknown.Add(o.number, now+age/unknownAgeDivisor)
	}
	q.removeQuery(o)
	for _, w := range o.waiters {
		q.net.LookupDone(w.call, p, true)
	}
}

func (q *PortabilityResolver) recordAnswerTime(now policy.Tenths, s *server, took policy.Tenths) {
	if now > s.updatedAt {
		f := decayFactor(now-s.updatedAt, answerTimeHalfLife)
		s.answerTimeSum, s.answerWeight, s.updatedAt = s.answerTimeSum*f, s.answerWeight*f, now
	}
	const newer = 0.8 // factor on the weight of earlier answers for each new one
	s.answerTimeSum, s.answerWeight = s.answerTimeSum*newer+float64(took), s.answerWeight*newer+1
}

// HandleFailure handles an error reply or a failed connection. It counts as an unanswered query without waiting for the timeout.
func (q *PortabilityResolver) HandleFailure(now policy.Tenths, id uint32) {
	if o := q.byID[id]; o != nil {
		q.handleUnanswered(now, o)
	}
}

// handleUnanswered records a failure of the server and retries at the other one if the retry budget and the calls' deadlines allow.
func (q *PortabilityResolver) handleUnanswered(now policy.Tenths, o *query) {
	s := &q.servers[o.server]
	s.unanswered++
	q.recordAnswerTime(now, s, now-o.sentAt)
	if s.unanswered >= maxUnanswered {
		s.probing = false
		s.probeInterval = min(maxProbeInterval, max(initialProbeInterval, 2*s.probeInterval))
		s.nextProbe = now + s.probeInterval/2 + policy.Tenths(q.random.Int64N(int64(s.probeInterval)))
	}
	q.removeQuery(o)
	other := 1 - o.server
	var patient []waiter
	for _, w := range o.waiters {
		if w.deadline > now+q.expectedDelay(now, other) {
			patient = append(patient, w)
		} else {
			q.net.LookupDone(w.call, Porting{}, false)
		}
	}
	if len(patient) == 0 {
		return
	}
	if o.isRetry || q.retryTokens < 1 || q.servers[other].unanswered >= maxUnanswered {
		for _, w := range patient {
			q.net.LookupDone(w.call, Porting{}, false)
		}
		return
	}
	q.retryTokens--
	n := q.sendQuery(now, o.number, other, false)
	n.isRetry, n.waiters = true, patient
}

func (q *PortabilityResolver) removeQuery(o *query) {
	delete(q.byNumber, o.number)
	delete(q.byID, o.id)
	for len(q.sendOrder) > 0 && q.byID[q.sendOrder[0].id] != q.sendOrder[0] {
		q.sendOrder = q.sendOrder[1:]
	}
}

// CancelLookup removes a call from the look-up that it waits for, since its caller has abandoned.
func (q *PortabilityResolver) CancelLookup(call uint32) {
	for _, o := range q.sendOrder {
		if q.byID[o.id] != o {
			continue
		}
		for i, w := range o.waiters {
			if w.call == call {
				o.waiters = append(o.waiters[:i], o.waiters[i+1:]...)
				return
			}
		}
	}
}

// Tick ends the waits and queries whose deadline has passed.
func (q *PortabilityResolver) Tick(now policy.Tenths) {
	for _, o := range append([]*query(nil), q.sendOrder...) {
		if q.byID[o.id] != o {
			continue
		}
		still := o.waiters[:0]
		for _, w := range o.waiters {
			if w.deadline <= now {
				q.net.LookupDone(w.call, Porting{}, false)
			} else {
				still = append(still, w)
			}
		}
		o.waiters = still
		if o.deadline <= now {
			q.handleUnanswered(now, o)
		}
	}
}

// NextTick returns when Tick must be called next, or false if no query is pending.
func (q *PortabilityResolver) NextTick() (at policy.Tenths, ok bool) {
	for _, o := range q.sendOrder {
		if q.byID[o.id] != o {
			continue
		}
		if !ok || o.deadline < at {
			at, ok = o.deadline, true
		}
		for _, w := range o.waiters {
			at = min(at, w.deadline)
		}
	}
	return at, ok
}

// CachedCounts returns how many known and unknown numbers are cached.
func (q *PortabilityResolver) CachedCounts() (known, unknown int) {
	return q.known.Len(), q.unknown.Len()
}

// PendingCount returns how many queries are pending.
func (q *PortabilityResolver) PendingCount() int { return len(q.byNumber) }
