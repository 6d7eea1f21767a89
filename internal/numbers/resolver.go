package numbers

import (
	"math/rand/v2"

	"indigodrift/policy"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Porting is what portability says of a number.
type Porting struct {
	Ported        bool
	RoutingNumber string // what to route by, when ported
}

// PortabilityNet carries the wishes of an Inquirer out. Its methods must not call back.
type PortabilityNet interface {
	Query(id uint32, server int, number string)    // ask a server
	LookupDone(call uint32, p Porting, known bool) // a call that waited: what is known, or nothing came in time
}

// ResolverLimits of an Inquirer.
type ResolverLimits struct {
	MaxKnown     int           // numbers remembered as ported, or asked about and found not to be
	MaxUnknown   int           // numbers remembered that no server knows
	MaxAge       policy.Tenths // how long the first are believed, the second a tenth of it
	MaxPending   int           // queries out at once
	QueryTimeout policy.Tenths // after which a query is taken as unanswered
	RetryRatio   float64       // repeats a query, on average
}

// LookupStatus of an inquiry.
type LookupStatus uint8

const (
	LookupAnswered LookupStatus = iota // from memory
	LookupPending                      // Told will come
	LookupSkipped                      // not asked, or not waited for: go by the donor's route
)

const (
	serverCount = 2

	answerTimeHalfLife   = policy.Tenths(20000) // half-life of what answer times tell
	maxUnanswered        = 5                    // queries in a row without any answer: the server is dead
	initialProbeInterval = policy.Tenths(5000)  // then it is asked this often, doubling, to learn of its recovery
	maxProbeInterval     = policy.Tenths(80000)
	slowerServerSampling = 16 // one query in so many goes to the server that looks worse
	lookupTimeDivisor    = 4  // part of the time to the GoS target that a call may wait: the rest is for its route tries
	maxRetryTokens       = 10 // repeats that may be made at once
	skippedSampling      = 8  // of queries that a slow server could not answer in time, one in so many is still sent
	unknownAgeDivisor    = 10
)

// server is what is known of one portability server.
type server struct {
	answerTimeSum float64 // decaying mean of answer times, in tenths
	answerWeight  float64
	updatedAt     policy.Tenths
	unanswered    int // queries in a row without an answer
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

// PortabilityResolver decides about portability look-ups: what is remembered, what is asked, which of two servers, how long a call
// waits, and what to do while servers are slow or dead.
type PortabilityResolver struct {
	limits      ResolverLimits
	net         PortabilityNet
	random      *rand.Rand
	known       *simplelru.LRU[string, cacheEntry]
	unknown     *simplelru.LRU[string, policy.Tenths]
	byNumber    map[string]*query
	byID        map[uint32]*query
	sendOrder   []*query // as sent, so that map order decides nothing
	nextID      uint32
	servers     [serverCount]server
	retryTokens float64 // tokens
	skipped     int
}

// NewPortabilityResolver makes an inquirer that knows nothing yet.
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

// LookupDeadline is how long a call may wait for a look-up: a quarter of what is left to its GoS target, never past its
// caller's time. The rest is for its route tries.
func LookupDeadline(now, gosAt, leavesAt policy.Tenths) policy.Tenths {
	return now + max(0, min(gosAt, leavesAt)-now)/lookupTimeDivisor
}

// Lookup looks a number up for a call that may wait until an instant.
func (q *PortabilityResolver) Lookup(now policy.Tenths, call uint32, number string, until policy.Tenths) (Porting, LookupStatus) {
	if r, ok := q.known.Get(number); ok && now < r.expires {
		return r.porting, LookupAnswered
	}
	if t, ok := q.unknown.Get(number); ok && now < t {
		return Porting{}, LookupAnswered
	}
	if o := q.byNumber[number]; o != nil { // one query serves all who ask for the number
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
		// A slow server: no call waits for it, but some queries go out all the same. They tell when it is quick again, and
		// what they bring is remembered for the number's next call. A dead one is probed alone.
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

// expectedDelay is the answer time to reckon with from a server: the mean of late answers, or the age of the oldest query that
// it has not answered.
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

// chooseServer picks the server to ask: the quicker of those that live, at times the other; a dead one only when it is its time
// to be probed.
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

// HandleAnswer takes a server's answer to a query; known tells that it knows the number, age how long that may be believed
// (0: as long as the limits say). An answer that nobody waits for any more is remembered all the same.
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
	const newer = 0.8 // what earlier answers still weigh after each later one
	s.answerTimeSum, s.answerWeight = s.answerTimeSum*newer+float64(took), s.answerWeight*newer+1
}

// HandleFailure takes a server's word that it cannot answer now, or a way there that broke: like no answer, but at once.
func (q *PortabilityResolver) HandleFailure(now policy.Tenths, id uint32) {
	if o := q.byID[id]; o != nil {
		q.handleUnanswered(now, o)
	}
}

// handleUnanswered counts a query against its server and, where the budget and a caller's time allow, asks the other.
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

// CancelLookup takes back what a call waits for: its caller has left.
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

// Tick ends waits and queries whose time has come.
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

// NextTick is when Tick must be called next; false when nothing waits.
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

// CachedCounts counts the numbers held in memory, Out the queries out.
func (q *PortabilityResolver) CachedCounts() (known, unknown int) {
	return q.known.Len(), q.unknown.Len()
}
func (q *PortabilityResolver) PendingCount() int { return len(q.byNumber) }
