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
	Query(id uint32, server int, number string) // sends a query to a server
	// LookupDone reports the result to a call with a pending look-up; known is false if none came in time.
	LookupDone(call uint32, porting Porting, known bool)
}

// ResolverLimits are the limits of a PortabilityResolver.
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

	answerTimeHalfLife   = policy.Tenths(20000) // of answer time samples
	maxUnanswered        = 5                    // a server is considered dead after this many unanswered queries in a row
	initialProbeInterval = policy.Tenths(5000)  // of a dead server; doubles with each unanswered probe
	maxProbeInterval     = policy.Tenths(80000)
	slowerServerSampling = 16 // one query in 16 goes to the slower server to measure it
	lookupTimeDivisor    = 4  // a look-up may take a quarter of the time to the GoS target; the rest is for route tries
	maxRetryTokens       = 10 // retries that may be sent in a burst
	skippedSampling      = 8  // one in 8 queries that a slow server cannot answer in time is sent all the same
	unknownAgeDivisor    = 10 // unknown numbers are cached for a tenth of the time of known ones
)

// server is the state of one portability server.
type server struct {
	answerTimeSum float64 // decaying sum of answer times
	answerWeight  float64
	updatedAt     policy.Tenths
	unanswered    int // queries in a row
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
func NewPortabilityResolver(limits ResolverLimits, seed uint64, net PortabilityNet) (*PortabilityResolver, error) {
	known, err := simplelru.NewLRU[string, cacheEntry](limits.MaxKnown, nil)
	if err != nil {
		return nil, err
	}
	unknown, err := simplelru.NewLRU[string, policy.Tenths](limits.MaxUnknown, nil)
	if err != nil {
		return nil, err
	}
	return &PortabilityResolver{limits: limits, net: net, random: rand.New(rand.NewPCG(seed, 0x9)), known: known, unknown: unknown,
		byNumber: map[string]*query{}, byID: map[uint32]*query{}, retryTokens: maxRetryTokens}, nil
}

// LookupDeadline returns the time until which a call may wait for a look-up: a quarter of the time left to its GoS target or to
// the caller's abandon time, whichever is earlier. The rest is for its route tries.
func LookupDeadline(now, gosDeadline, abandonTime policy.Tenths) policy.Tenths {
	return now + max(0, min(gosDeadline, abandonTime)-now)/lookupTimeDivisor
}

// Lookup looks a number up for a call that may wait until a deadline.
func (r *PortabilityResolver) Lookup(now policy.Tenths, call uint32, number string, deadline policy.Tenths) (Porting, LookupStatus) {
	if cached, ok := r.known.Get(number); ok && now < cached.expires {
		return cached.porting, LookupAnswered
	}
	if expires, ok := r.unknown.Get(number); ok && now < expires {
		return Porting{}, LookupAnswered
	}
	if q := r.byNumber[number]; q != nil { // one query serves all calls that look up the number
		if r.expectedDelay(now, q.server)-(now-q.sentAt) > deadline-now && !q.isRetry {
			return Porting{}, LookupSkipped
		}
		q.waiters = append(q.waiters, waiter{call, deadline})
		return Porting{}, LookupPending
	}
	server, probe, ok := r.chooseServer(now)
	if !ok || len(r.byNumber) >= r.limits.MaxPending {
		r.skipped++
		return Porting{}, LookupSkipped
	}
	inTime := r.expectedDelay(now, server) <= deadline-now
	if !inTime && !probe {
		// No call waits for a slow server, but a sample of the queries is sent. They measure when it has recovered, and
		// their answers are cached for the next call to the number. A dead server gets probes only.
		if r.skipped++; r.skipped%skippedSampling != 0 {
			return Porting{}, LookupSkipped
		}
	}
	q := r.sendQuery(now, number, server, probe)
	r.retryTokens = min(maxRetryTokens, r.retryTokens+r.limits.RetryRatio)
	if inTime && deadline > now {
		q.waiters = append(q.waiters, waiter{call, deadline})
		return Porting{}, LookupPending
	}
	return Porting{}, LookupSkipped
}

func (r *PortabilityResolver) sendQuery(now policy.Tenths, number string, server int, probe bool) *query {
	r.nextID++
	q := &query{id: r.nextID, number: number, server: server, sentAt: now, deadline: now + r.limits.QueryTimeout, isProbe: probe}
	r.byNumber[number], r.byID[q.id] = q, q
	r.sendOrder = append(r.sendOrder, q)
	r.net.Query(q.id, server, number)
	return q
}

// expectedDelay estimates the answer time of a server: the greater of the mean of recent answers and the age of its oldest
// pending query.
func (r *PortabilityResolver) expectedDelay(now policy.Tenths, server int) policy.Tenths {
	s := &r.servers[server]
	delay := policy.Tenths(0)
	if s.answerWeight > 0.1 {
		delay = policy.Tenths(s.answerTimeSum / s.answerWeight)
	}
	for _, q := range r.sendOrder {
		if q.server == server && r.byID[q.id] == q {
			delay = max(delay, now-q.sentAt)
			break
		}
	}
	return delay
}

// chooseServer returns the server to query: a dead one whose probe is due, else the faster of those alive, or occasionally the
// slower to measure it.
func (r *PortabilityResolver) chooseServer(now policy.Tenths) (server int, probe, ok bool) {
	var alive []int
	for i := range r.servers {
		s := &r.servers[i]
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
	faster, slower := 0, 1
	if r.expectedDelay(now, 1) < r.expectedDelay(now, 0) {
		faster, slower = 1, 0
	}
	if r.random.IntN(slowerServerSampling) == 0 {
		return slower, false, true
	}
	return faster, false, true
}

// HandleAnswer handles the answer to a query. known is true if the server knows the number. maxAge is how long the answer may
// be cached, or 0 for the limit of the resolver. An answer for which no call waits any longer is cached as well.
func (r *PortabilityResolver) HandleAnswer(now policy.Tenths, id uint32, porting Porting, known bool, maxAge policy.Tenths) {
	q := r.byID[id]
	if q == nil {
		return
	}
	s := &r.servers[q.server]
	s.unanswered, s.probing, s.probeInterval = 0, false, 0
	r.recordAnswerTime(now, s, now-q.sentAt)
	if maxAge <= 0 || maxAge > r.limits.MaxAge {
		maxAge = r.limits.MaxAge
	}
	if known {
		r.known.Add(q.number, cacheEntry{porting, now + maxAge})
	} else {
		r.unknown.Add(q.number, now+maxAge/unknownAgeDivisor)
	}
	r.removeQuery(q)
	for _, w := range q.waiters {
		r.net.LookupDone(w.call, porting, true)
	}
}

func (r *PortabilityResolver) recordAnswerTime(now policy.Tenths, s *server, answerTime policy.Tenths) {
	if now > s.updatedAt {
		factor := decayFactor(now-s.updatedAt, answerTimeHalfLife)
		s.answerTimeSum, s.answerWeight, s.updatedAt = s.answerTimeSum*factor, s.answerWeight*factor, now
	}
	const retained = 0.8 // factor on the weight of earlier answers for each new one
	s.answerTimeSum, s.answerWeight = s.answerTimeSum*retained+float64(answerTime), s.answerWeight*retained+1
}

// HandleFailure handles an error reply or a failed connection. It counts as an unanswered query without waiting for the timeout.
func (r *PortabilityResolver) HandleFailure(now policy.Tenths, id uint32) {
	if q := r.byID[id]; q != nil {
		r.handleUnanswered(now, q)
	}
}

// handleUnanswered records a failure of the server and retries at the other one if the retry budget and the calls' deadlines allow.
func (r *PortabilityResolver) handleUnanswered(now policy.Tenths, q *query) {
	s := &r.servers[q.server]
	s.unanswered++
	r.recordAnswerTime(now, s, now-q.sentAt)
	if s.unanswered >= maxUnanswered {
		s.probing = false
		s.probeInterval = min(maxProbeInterval, max(initialProbeInterval, 2*s.probeInterval))
		s.nextProbe = now + s.probeInterval/2 + policy.Tenths(r.random.Int64N(int64(s.probeInterval)))
	}
	r.removeQuery(q)
	other := 1 - q.server
	var remaining []waiter
	for _, w := range q.waiters {
		if w.deadline > now+r.expectedDelay(now, other) {
			remaining = append(remaining, w)
		} else {
			r.net.LookupDone(w.call, Porting{}, false)
		}
	}
	if len(remaining) == 0 {
		return
	}
	if q.isRetry || r.retryTokens < 1 || r.servers[other].unanswered >= maxUnanswered {
		for _, w := range remaining {
			r.net.LookupDone(w.call, Porting{}, false)
		}
		return
	}
	r.retryTokens--
	retry := r.sendQuery(now, q.number, other, false)
	retry.isRetry, retry.waiters = true, remaining
}

func (r *PortabilityResolver) removeQuery(q *query) {
	delete(r.byNumber, q.number)
	delete(r.byID, q.id)
	for len(r.sendOrder) > 0 && r.byID[r.sendOrder[0].id] != r.sendOrder[0] {
		r.sendOrder = r.sendOrder[1:]
	}
}

// CancelLookup removes a call from the look-up that it waits for, since its caller has abandoned.
func (r *PortabilityResolver) CancelLookup(call uint32) {
	for _, q := range r.sendOrder {
		if r.byID[q.id] != q {
			continue
		}
		for i, w := range q.waiters {
			if w.call == call {
				q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
				return
			}
		}
	}
}

// Tick ends the waits and queries whose deadline has passed.
func (r *PortabilityResolver) Tick(now policy.Tenths) {
	for _, q := range append([]*query(nil), r.sendOrder...) {
		if r.byID[q.id] != q {
			continue
		}
		remaining := q.waiters[:0]
		for _, w := range q.waiters {
			if w.deadline <= now {
				r.net.LookupDone(w.call, Porting{}, false)
			} else {
				remaining = append(remaining, w)
			}
		}
		q.waiters = remaining
		if q.deadline <= now {
			r.handleUnanswered(now, q)
		}
	}
}

// NextTick returns when Tick must be called next, or false if no query is pending.
func (r *PortabilityResolver) NextTick() (next policy.Tenths, ok bool) {
	for _, q := range r.sendOrder {
		if r.byID[q.id] != q {
			continue
		}
		if !ok || q.deadline < next {
			next, ok = q.deadline, true
		}
		for _, w := range q.waiters {
			next = min(next, w.deadline)
		}
	}
	return next, ok
}

// CachedCounts returns how many known and unknown numbers are cached.
func (r *PortabilityResolver) CachedCounts() (known, unknown int) {
	return r.known.Len(), r.unknown.Len()
}

// PendingCount returns how many queries are pending.
func (r *PortabilityResolver) PendingCount() int { return len(r.byNumber) }
