package numbers

import (
	"math/rand/v2"

	"indigodrift/policy"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Port is what portability says of a number.
type Port struct {
	Ported bool
	Number string // what to route by, when ported
}

// Net carries the wishes of an Inquirer out. Its methods must not call back.
type Net interface {
	Query(id uint32, server int, number string) // ask a server
	Told(call uint32, p Port, known bool)       // a call that waited: what is known, or nothing came in time
}

// Limits of an Inquirer.
type Limits struct {
	Known      int           // numbers remembered as ported, or asked about and found not to be
	Unknown    int           // numbers remembered that no server knows
	Age        policy.Tenths // how long the first are believed, the second a tenth of it
	Out        int           // queries out at once
	TimeOut    policy.Tenths // after which a query is taken as unanswered
	RetryShare float64       // repeats a query, on average
}

// Verdict of an inquiry.
type Verdict uint8

const (
	Known Verdict = iota // from memory
	Wait                 // Told will come
	Skip                 // not asked, or not waited for: go by the donor's route
)

const (
	servers = 2

	answerHalf  = policy.Tenths(20000) // half-life of what answer times tell
	deadAfter   = 5                    // queries in a row without any answer: the server is dead
	probeFirst  = policy.Tenths(5000)  // then it is asked this often, doubling, to learn of its recovery
	probeMost   = policy.Tenths(80000)
	tasteOther  = 16 // one query in so many goes to the server that looks worse
	waitPart    = 4  // part of the time to the GoS target that a call may wait: the rest is for its route tries
	burst       = 10 // repeats that may be made at once
	tasteSlow   = 8  // of queries that a slow server could not answer in time, one in so many is still sent
	unknownPart = 10
)

// server is what is known of one portability server.
type server struct {
	took    float64 // decaying mean of answer times, in tenths
	weight  float64
	at      policy.Tenths
	silent  int // queries in a row without an answer
	probeAt policy.Tenths
	probeIn policy.Tenths
	probing bool
}

type query struct {
	id      uint32
	number  string
	server  int
	sentAt  policy.Tenths
	dueAt   policy.Tenths
	again   bool
	waiting []waiter
	probe   bool
}

type waiter struct {
	call  uint32
	until policy.Tenths
}

type remembered struct {
	port  Port
	until policy.Tenths
}

// Inquirer decides about portability look-ups: what is remembered, what is asked, which of two servers, how long a call
// waits, and what to do while servers are slow or dead.
type Inquirer struct {
	l       Limits
	out     Net
	chance  *rand.Rand
	known   *simplelru.LRU[string, remembered]
	unknown *simplelru.LRU[string, policy.Tenths]
	open    map[string]*query
	byID    map[uint32]*query
	order   []*query // as sent, so that map order decides nothing
	nextID  uint32
	servers [servers]server
	repeats float64 // tokens
	skipped int
}

// NewInquirer makes an inquirer that knows nothing yet.
func NewInquirer(l Limits, seed uint64, out Net) (*Inquirer, error) {
	known, err := simplelru.NewLRU[string, remembered](l.Known, nil)
	if err != nil {
		return nil, err
	}
	unknown, err := simplelru.NewLRU[string, policy.Tenths](l.Unknown, nil)
	if err != nil {
		return nil, err
	}
	return &Inquirer{l: l, out: out, chance: rand.New(rand.NewPCG(seed, 0x9)), known: known, unknown: unknown,
		open: map[string]*query{}, byID: map[uint32]*query{}, repeats: burst}, nil
}

// WaitUntil is how long a call may wait for a look-up: a quarter of what is left to its GoS target, never past its
// caller's time. The rest is for its route tries.
func WaitUntil(now, gosAt, leavesAt policy.Tenths) policy.Tenths {
	return now + max(0, min(gosAt, leavesAt)-now)/waitPart
}

// Ask looks a number up for a call that may wait until an instant.
func (q *Inquirer) Ask(now policy.Tenths, call uint32, number string, until policy.Tenths) (Port, Verdict) {
	if r, ok := q.known.Get(number); ok && now < r.until {
		return r.port, Known
	}
	if t, ok := q.unknown.Get(number); ok && now < t {
		return Port{}, Known
	}
	if o := q.open[number]; o != nil { // one query serves all who ask for the number
		if q.expects(now, o.server)-(now-o.sentAt) > until-now && !o.again {
			return Port{}, Skip
		}
		o.waiting = append(o.waiting, waiter{call, until})
		return Port{}, Wait
	}
	to, probe, ok := q.choose(now)
	if !ok || len(q.open) >= q.l.Out {
		q.skipped++
		return Port{}, Skip
	}
	inTime := q.expects(now, to) <= until-now
	if !inTime && !probe {
		// A slow server: no call waits for it, but some queries go out all the same. They tell when it is quick again, and
		// what they bring is remembered for the number's next call. A dead one is probed alone.
		if q.skipped++; q.skipped%tasteSlow != 0 {
			return Port{}, Skip
		}
	}
	o := q.send(now, number, to, probe)
	q.repeats = min(burst, q.repeats+q.l.RetryShare)
	if inTime && until > now {
		o.waiting = append(o.waiting, waiter{call, until})
		return Port{}, Wait
	}
	return Port{}, Skip
}

func (q *Inquirer) send(now policy.Tenths, number string, to int, probe bool) *query {
	q.nextID++
	o := &query{id: q.nextID, number: number, server: to, sentAt: now, dueAt: now + q.l.TimeOut, probe: probe}
	q.open[number], q.byID[o.id] = o, o
	q.order = append(q.order, o)
	q.out.Query(o.id, to, number)
	return o
}

// expects is the answer time to reckon with from a server: the mean of late answers, or the age of the oldest query that
// it has not answered.
func (q *Inquirer) expects(now policy.Tenths, to int) policy.Tenths {
	s := &q.servers[to]
	worst := policy.Tenths(0)
	if s.weight > 0.1 {
		worst = policy.Tenths(s.took / s.weight)
	}
	for _, o := range q.order {
		if o.server == to && q.byID[o.id] == o {
			worst = max(worst, now-o.sentAt)
			break
		}
	}
	return worst
}

// choose picks the server to ask: the quicker of those that live, at times the other; a dead one only when it is its time
// to be probed.
func (q *Inquirer) choose(now policy.Tenths) (to int, probe, ok bool) {
	var alive []int
	for i := range q.servers {
		s := &q.servers[i]
		if s.silent < deadAfter {
			alive = append(alive, i)
		} else if !s.probing && now >= s.probeAt {
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
	if q.expects(now, 1) < q.expects(now, 0) {
		better, other = 1, 0
	}
	if q.chance.IntN(tasteOther) == 0 {
		return other, false, true
	}
	return better, false, true
}

// Answered takes a server's answer to a query; known tells that it knows the number, age how long that may be believed
// (0: as long as the limits say). An answer that nobody waits for any more is remembered all the same.
func (q *Inquirer) Answered(now policy.Tenths, id uint32, p Port, known bool, age policy.Tenths) {
	o := q.byID[id]
	if o == nil {
		return
	}
	s := &q.servers[o.server]
	s.silent, s.probing, s.probeIn = 0, false, 0
	q.took(now, s, now-o.sentAt)
	if age <= 0 || age > q.l.Age {
		age = q.l.Age
	}
	if known {
		q.known.Add(o.number, remembered{p, now + age})
	} else {
		q.unknown.Add(o.number, now+age/unknownPart)
	}
	q.close(o)
	for _, w := range o.waiting {
		q.out.Told(w.call, p, true)
	}
}

func (q *Inquirer) took(now policy.Tenths, s *server, took policy.Tenths) {
	if now > s.at {
		f := fade(now-s.at, answerHalf)
		s.took, s.weight, s.at = s.took*f, s.weight*f, now
	}
	const newer = 0.8 // what earlier answers still weigh after each later one
	s.took, s.weight = s.took*newer+float64(took), s.weight*newer+1
}

// Failed takes a server's word that it cannot answer now, or a way there that broke: like no answer, but at once.
func (q *Inquirer) Failed(now policy.Tenths, id uint32) {
	if o := q.byID[id]; o != nil {
		q.unanswered(now, o)
	}
}

// unanswered counts a query against its server and, where the budget and a caller's time allow, asks the other.
func (q *Inquirer) unanswered(now policy.Tenths, o *query) {
	s := &q.servers[o.server]
	s.silent++
	q.took(now, s, now-o.sentAt)
	if s.silent >= deadAfter {
		s.probing = false
		s.probeIn = min(probeMost, max(probeFirst, 2*s.probeIn))
		s.probeAt = now + s.probeIn/2 + policy.Tenths(q.chance.Int64N(int64(s.probeIn)))
	}
	q.close(o)
	other := 1 - o.server
	var patient []waiter
	for _, w := range o.waiting {
		if w.until > now+q.expects(now, other) {
			patient = append(patient, w)
		} else {
			q.out.Told(w.call, Port{}, false)
		}
	}
	if len(patient) == 0 {
		return
	}
	if o.again || q.repeats < 1 || q.servers[other].silent >= deadAfter {
		for _, w := range patient {
			q.out.Told(w.call, Port{}, false)
		}
		return
	}
	q.repeats--
	n := q.send(now, o.number, other, false)
	n.again, n.waiting = true, patient
}

func (q *Inquirer) close(o *query) {
	delete(q.open, o.number)
	delete(q.byID, o.id)
	for len(q.order) > 0 && q.byID[q.order[0].id] != q.order[0] {
		q.order = q.order[1:]
	}
}

// Forget takes back what a call waits for: its caller has left.
func (q *Inquirer) Forget(call uint32) {
	for _, o := range q.order {
		if q.byID[o.id] != o {
			continue
		}
		for i, w := range o.waiting {
			if w.call == call {
				o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
				return
			}
		}
	}
}

// Tick ends waits and queries whose time has come.
func (q *Inquirer) Tick(now policy.Tenths) {
	for _, o := range append([]*query(nil), q.order...) {
		if q.byID[o.id] != o {
			continue
		}
		still := o.waiting[:0]
		for _, w := range o.waiting {
			if w.until <= now {
				q.out.Told(w.call, Port{}, false)
			} else {
				still = append(still, w)
			}
		}
		o.waiting = still
		if o.dueAt <= now {
			q.unanswered(now, o)
		}
	}
}

// Next is when Tick must be called next; false when nothing waits.
func (q *Inquirer) Next() (at policy.Tenths, ok bool) {
	for _, o := range q.order {
		if q.byID[o.id] != o {
			continue
		}
		if !ok || o.dueAt < at {
			at, ok = o.dueAt, true
		}
		for _, w := range o.waiting {
			at = min(at, w.until)
		}
	}
	return at, ok
}

// Remembered counts the numbers held in memory, Out the queries out.
func (q *Inquirer) Remembered() (known, unknown int) { return q.known.Len(), q.unknown.Len() }
func (q *Inquirer) Out() int                         { return len(q.open) }
