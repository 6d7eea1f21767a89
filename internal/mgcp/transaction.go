package mgcp

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"indigodrift/policy"
)

// Times of RFC 3435, 3.5, in tenths of a millisecond.
const (
	TMax  = policy.Tenths(200000) // a command is repeated for so long at most, and is then given up
	THist = policy.Tenths(300000) // a response is kept so long after it was sent, and an id is not used again before

	longTimer = policy.Tenths(50000) // after a provisional response a command is repeated this seldom
	rtoFirst  = policy.Tenths(2000)  // before any answer of a peer has told how long it takes
	rtoLeast  = policy.Tenths(500)   // the least wait before a repeat
	rtoMost   = policy.Tenths(40000) // 3.5.3: not over four seconds
	suspectAt = 5                    // Max1: repeats after which a peer's other addresses are tried
	goneAt    = 7                    // Max2: repeats after which it is held to be disconnected
	deviants  = 2                    // deviations above the mean answer time that a wait allows for
	idMost    = uint32(TransactionMost)
	gain      = 0.125
	gainDev   = 0.25
	lossGain  = 0.05
	byTimes   = 8
	jitter    = 0.1
	keptMost  = 1 << 16 // responses kept for one peer
)

// Fate of a command that was sent.
type Fate uint8

const (
	Answered Fate = iota
	Suspect       // not answered so often that another address of the peer should be tried; it goes on
	Gone          // given up: the peer is held to be disconnected
)

// Out is what a Sender asks for. Ended may send, Transmit must not call back.
type Out interface {
	Transmit(m Message, repeat int)        // put it on the wire; repeat counts from 0
	Ended(id uint32, fate Fate, r Message) // r is the response when it was answered
	// Contradicted tells that a command which is over was answered again, otherwise: the first answer counts, but the peer may
	// hold what it said the second time.
	Contradicted(id uint32, first int, r Message)
}

type sent struct {
	m       Message
	first   policy.Tenths
	dueAt   policy.Tenths
	repeats int
	by      policy.Tenths // it is of use until then, 0: no matter when
	long    bool          // a provisional response came
	suspect bool
}

// over is a command that was answered or given up: its id must not be used again until then.
type over struct {
	until policy.Tenths
	code  int // of the answer, 0 none
	what  uint64
}

// Sender sees commands to one peer through: repeats them with a wait that follows how long answers take and doubles, gives
// them up after TMax, and acknowledges final responses that ask for it.
type Sender struct {
	out     Out
	chance  *rand.Rand
	open    map[uint32]*sent
	order   []uint32 // as sent
	ids     *IDs
	mean    float64 // answer time, tenths
	dev     float64
	told    bool
	loss    float64         // share of commands that had to be repeated, of late
	held    policy.Tenths   // the wait that a repeated command had come to, until one is answered without a repeat
	late    map[uint32]over // given up or answered
	sweepAt policy.Tenths
	acks    []uint32 // answered, to be acknowledged with the next command (K parameter)
}

// IDs counts transaction ids for all the senders of one party, so that a response tells by its id alone whose it is.
type IDs struct{ next uint32 }

// NewIDs starts with an id; the one after the last must be kept over a restart of the program, or drawn at random.
func NewIDs(first uint32) *IDs { return &IDs{first%idMost + 1} }

func (n *IDs) take() uint32 {
	id := n.next
	n.next = id%idMost + 1
	return id
}

// NewSender makes a sender that has nothing out.
func NewSender(ids *IDs, seed uint64, out Out) *Sender {
	return &Sender{out: out, chance: rand.New(rand.NewPCG(seed, 0x17)), open: map[uint32]*sent{}, ids: ids, late: map[uint32]over{}}
}

// rto is the wait before the first repeat: the mean answer time and some deviations.
func (s *Sender) rto() policy.Tenths {
	switch {
	case s.held > 0:
		return s.held
	case !s.told:
		return rtoFirst
	}
	return min(rtoMost, max(rtoLeast, policy.Tenths(s.mean+deviants*s.dev)))
}

// Send sends a command under a new transaction id and returns it.
func (s *Sender) Send(now policy.Tenths, m Message) uint32 { return s.SendBy(now, m, 0) }

// SendBy sends a command that is of use until an instant only: however long this peer's answers take, it is repeated often
// enough to be sent byTimes until then. A call's last answer went out but once or twice on a network that lost one datagram in
// three, with the waits that such a network leads to.
func (s *Sender) SendBy(now policy.Tenths, m Message, by policy.Tenths) uint32 {
	for m.Transaction = s.ids.take(); ; m.Transaction = s.ids.take() {
		was, used := s.late[m.Transaction]
		if s.open[m.Transaction] == nil && (!used || now >= was.until) {
			break
		}
	}
	delete(s.late, m.Transaction)
	if len(s.acks) > 0 {
		m.Params = append([]Param{{"K", ranges(s.acks)}}, m.Params...)
		s.acks = s.acks[:0]
	}
	t := &sent{m: m, first: now, by: by}
	t.dueAt = now + s.spread(t.within(now, s.rto()))
	s.open[m.Transaction] = t
	s.order = append(s.order, m.Transaction)
	s.out.Transmit(m, 0)
	return m.Transaction
}

// within shortens a wait for a command that is of use for a while only.
func (t *sent) within(now, wait policy.Tenths) policy.Tenths {
	if now >= t.by {
		return wait
	}
	return min(wait, max(rtoLeast, (t.by-t.first)/byTimes))
}

// spread keeps many senders that began together from repeating together.
func (s *Sender) spread(wait policy.Tenths) policy.Tenths {
	return wait + policy.Tenths(float64(wait)*jitter*s.chance.Float64())
}

// Response takes a response. One to a command that is over, or never was, is passed over; a final one that follows a
// provisional one is acknowledged at once (the three-way handshake of 3.5.6).
func (s *Sender) Response(now policy.Tenths, r Message) {
	t := s.open[r.Transaction]
	if t == nil {
		// What a peer has seen acknowledged it repeats without its parameters: no contradiction, though on a network that held
		// commands up it was taken for one, and every such repeat had a whole gateway audited. An answer to what was never sent, or is
		// forgotten, tells that something old was carried out just now.
		was, known := s.late[r.Transaction]
		stripped := r.Code == was.code && len(r.Params)+len(r.Session) == 0
		if !r.IsProvisional() && (!known || was.code != 0 && was.what != digest(r) && !stripped) {
			s.out.Contradicted(r.Transaction, was.code, r)
		}
		return
	}
	if r.IsProvisional() {
		t.long = true
		t.dueAt = min(now+longTimer, t.first+TMax) // unbounded, a late provisional response kept a dead command past TMax
		return
	}
	// An answer to a repeat may be the answer to the first and tells no time; the next command waits as long as this one took in
	// all, so that a peer slower than the first wait is learned of (Karn's rule, without its doubling: on a network that loses one
	// datagram in three the wait doubled from command to command, and the last answers of a call were sent but once).
	s.loss += lossGain * (min(1, float64(t.repeats)) - s.loss)
	if t.repeats > 0 {
		s.held = min(rtoMost, now-t.first)
	} else {
		s.held = 0
		took := float64(now - t.first)
		if !s.told {
			s.told, s.mean, s.dev = true, took, took/2
		} else if d := took - s.mean; !t.long {
			s.mean += gain * d
			s.dev += gainDev * (max(d, -d) - s.dev)
		}
	}
	if t.long {
		s.out.Transmit(Message{Transaction: r.Transaction}, 0)
	} else {
		s.acks = append(s.acks, r.Transaction)
	}
	s.close(now, r.Transaction, over{code: r.Code, what: digest(r)})
	s.out.Ended(r.Transaction, Answered, r)
}

func (s *Sender) close(now policy.Tenths, id uint32, o over) {
	delete(s.open, id)
	o.until = now + THist
	s.late[id] = o
	for len(s.order) > 0 && s.open[s.order[0]] == nil {
		s.order = s.order[1:]
	}
}

// Tick repeats what is due and gives up what has been repeated too long.
func (s *Sender) Tick(now policy.Tenths) {
	for _, id := range append([]uint32(nil), s.order...) {
		t := s.open[id]
		if t == nil || now < t.dueAt {
			continue
		}
		if now-t.first >= TMax || t.repeats >= goneAt && !t.long && now >= t.by {
			s.close(now, id, over{})
			s.out.Ended(id, Gone, Message{})
			continue
		}
		t.repeats++
		wait := longTimer
		if !t.long {
			wait = t.within(now, min(rtoMost, s.rto()<<t.repeats))
		}
		t.dueAt = min(now+s.spread(wait), t.first+TMax)
		s.out.Transmit(t.m, t.repeats)
		if t.repeats == suspectAt && !t.suspect {
			t.suspect = true
			s.out.Ended(id, Suspect, Message{})
		}
	}
	if now < s.sweepAt {
		return
	}
	s.sweepAt = now + THist/8
	for id, was := range s.late { // bounded by what was sent within THist and the time between two sweeps
		if now >= was.until {
			delete(s.late, id)
		}
	}
}

// Cancel gives a command up without a word: nobody waits for its answer any more.
func (s *Sender) Cancel(now policy.Tenths, id uint32) {
	if s.open[id] != nil {
		s.close(now, id, over{})
	}
}

// CancelAll gives up all that is out, as when the peer has restarted and knows of none of it. It returns the ids.
func (s *Sender) CancelAll(now policy.Tenths) []uint32 {
	var all []uint32
	for _, id := range append([]uint32(nil), s.order...) {
		if s.open[id] != nil {
			s.close(now, id, over{})
			all = append(all, id)
		}
	}
	return all
}

// Loss is the share of commands that had to be repeated, of late.
func (s *Sender) Loss() float64 { return s.loss }

// Wait is how long the first repeat of a command is waited for now.
func (s *Sender) Wait() policy.Tenths { return s.rto() }

// Next is when Tick must be called next; false when nothing is out.
func (s *Sender) Next() (at policy.Tenths, ok bool) {
	for _, id := range s.order {
		if t := s.open[id]; t != nil && (!ok || t.dueAt < at) {
			at, ok = t.dueAt, true
		}
	}
	return at, ok
}

// Receiver carries each command of one peer out at most once (3.5.1): a command that comes again while it is being carried
// out gets a provisional response, and afterwards the response that was sent before, for THist.
type Receiver struct {
	kept  map[uint32]*kept
	order []uint32
}

type kept struct {
	what     uint64 // digest of the command
	response Message
	done     bool
	until    policy.Tenths
}

// NewReceiver makes a receiver that has seen nothing.
func NewReceiver() *Receiver { return &Receiver{kept: map[uint32]*kept{}} }

// Command takes a command. carryOut: it is new, and Done must follow; else reply, if any, goes back.
func (r *Receiver) Command(now policy.Tenths, m Message) (carryOut bool, reply *Message) {
	r.forget(now)
	what := digest(m)
	// Another command under an id that is still kept is no repeat: a gateway that restarts may count from where it counted
	// before, and its off-hook was answered with the answer to an old one and lost.
	if k := r.kept[m.Transaction]; k != nil && k.what == what {
		if k.done {
			return false, &k.response
		}
		return false, &Message{Transaction: m.Transaction, Code: 100, Comment: "being carried out"}
	}
	if len(r.kept) >= keptMost { // memory stays bounded: an overloaded peer is told so (403: no resources now)
		return false, &Message{Transaction: m.Transaction, Code: 403, Comment: "too many transactions"}
	}
	r.kept[m.Transaction] = &kept{what: what, until: now + THist}
	r.order = append(r.order, m.Transaction)
	return true, nil
}

// Done keeps the response to a command and returns what to send.
func (r *Receiver) Done(now policy.Tenths, m Message) Message {
	if k := r.kept[m.Transaction]; k != nil {
		k.response, k.done, k.until = m, true, now+THist
	}
	return m
}

// Acknowledged forgets a response that the peer has; its id stays used until THist has passed.
func (r *Receiver) Acknowledged(id uint32) {
	if k := r.kept[id]; k != nil && k.done {
		k.response = Message{Transaction: id, Code: k.response.Code}
	}
}

// forget drops what was kept for long enough. Responses are kept from when they were sent, so that the order of commands
// is not quite that of their ends; one in the way of others waits for its own time.
func (r *Receiver) forget(now policy.Tenths) {
	for len(r.order) > 0 {
		k := r.kept[r.order[0]]
		if k != nil && now < k.until {
			return
		}
		delete(r.kept, r.order[0])
		r.order = r.order[1:]
	}
}

// ParseRanges reads ids as the K parameter has them. What is no range is passed over, and a range that is too wide.
func ParseRanges(text string) (ids []uint32) {
	for _, part := range strings.Split(text, ",") {
		first, last, two := strings.Cut(strings.TrimSpace(part), "-")
		if !two {
			last = first
		}
		from, err := strconv.ParseUint(strings.TrimSpace(first), 10, 32)
		to, err2 := strconv.ParseUint(strings.TrimSpace(last), 10, 32)
		if err != nil || err2 != nil || to < from || to-from > keptMost {
			continue
		}
		for id := from; id <= to && len(ids) < keptMost; id++ {
			ids = append(ids, uint32(id))
		}
	}
	return ids
}

// digest tells messages apart that share an id. Repeats are the same octets; only acknowledgements that ride along (K) may
// differ between them.
func digest(m Message) uint64 {
	h := xxhash.New()
	fmt.Fprint(h, m.Verb, m.Endpoint, m.Code)
	for _, p := range m.Params {
		if p.Name != "K" {
			h.WriteString(p.Name + ":" + p.Value + "\n")
		}
	}
	h.Write(m.Session)
	h.Write(m.Second)
	return h.Sum64()
}

// Kept counts the responses kept.
func (r *Receiver) Kept() int { return len(r.kept) }

// ranges writes ids as the K parameter has them: 6234-6255, 6257.
func ranges(ids []uint32) string {
	var b []byte
	for i := 0; i < len(ids); {
		j := i
		for j+1 < len(ids) && ids[j+1] == ids[j]+1 {
			j++
		}
		if len(b) > 0 {
			b = append(b, ", "...)
		}
		b = strconv.AppendUint(b, uint64(ids[i]), 10)
		if j > i {
			b = strconv.AppendUint(append(b, '-'), uint64(ids[j]), 10)
		}
		i = j + 1
	}
	return string(b)
}
