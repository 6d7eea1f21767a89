package mgcp

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"indigodrift/policy"

	"pgregory.net/rapid"
)

// wire is a sender and a receiver with a bad network between them.
type wire struct {
	s       *Sender
	r       *Receiver
	now     policy.Tenths
	on      []packet
	chance  *rand.Rand
	loss    float64
	double  float64
	slow    policy.Tenths // a packet is up to so much late, so that they overtake each other
	work    policy.Tenths // the receiver needs so long
	doing   []packet
	carried map[uint32]int
	ended   map[uint32]Outcome
	sends   int
	broken  []string
	against []int // codes of second answers
}

type packet struct {
	at   policy.Tenths
	m    Message
	back bool
}

func newWire(seed uint64) *wire {
	w := &wire{now: 1000000, r: NewReceiver(), chance: rand.New(rand.NewPCG(seed, 1)), carried: map[uint32]int{}, ended: map[uint32]Outcome{}, work: 50}
	w.s = NewSender(NewTransactionIDs(5), seed, w)
	return w
}

func (w *wire) put(m Message, back bool) {
	copies := 1
	if w.chance.Float64() < w.double {
		copies = 2
	}
	for range copies {
		if w.chance.Float64() >= w.loss {
			w.on = append(w.on, packet{w.now + 100 + policy.Tenths(w.chance.Int64N(int64(w.slow)+1)), m, back})
		}
	}
}

func (w *wire) Transmit(m Message, _ int) { w.sends++; w.put(m, false) }

func (w *wire) HandleOutcome(id uint32, f Outcome, r Message) {
	if f == PeerSuspect {
		return
	}
	if _, twice := w.ended[id]; twice {
		w.broken = append(w.broken, fmt.Sprintf("transaction %d ends twice", id))
	}
	if f == Answered && r.Code != 200 {
		w.broken = append(w.broken, fmt.Sprintf("transaction %d ends with %d", id, r.Code))
	}
	w.ended[id] = f
}

func (w *wire) pass(by policy.Tenths) {
	for end := w.now + by; w.now < end; {
		w.now = min(end, w.now+50)
		for i := 0; i < len(w.on); {
			p := w.on[i]
			if p.at > w.now {
				i++
				continue
			}
			w.on = slices.Delete(w.on, i, i+1)
			switch {
			case p.back:
				w.s.HandleResponse(w.now, p.m)
			case p.m.IsAcknowledgement():
				w.r.HandleAck(p.m.Transaction)
			default:
				carryOut, reply := w.r.HandleCommand(w.now, p.m)
				if carryOut {
					w.carried[p.m.Transaction]++
					w.doing = append(w.doing, packet{at: w.now + w.work, m: p.m})
				}
				if reply != nil {
					w.put(*reply, true)
				}
			}
		}
		for i := 0; i < len(w.doing); {
			if d := w.doing[i]; d.at <= w.now {
				w.doing = slices.Delete(w.doing, i, i+1)
				w.put(w.r.StoreResponse(w.now, Message{Transaction: d.m.Transaction, Code: 200}), true)
			} else {
				i++
			}
		}
		if at, ok := w.s.Next(); ok && at <= w.now {
			w.s.Tick(w.now)
		}
	}
}

// Whatever the network loses, doubles and delays: a command is carried out at most once, and ends exactly once, by TMax.
func TestCommandsAreCarriedOutAtMostOnceAndEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWire(rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.7, 1}).Draw(t, "loss")
		w.double = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
		w.slow = rapid.SampledFrom([]policy.Tenths{0, 3000, 30000}).Draw(t, "slow")
		w.work = rapid.SampledFrom([]policy.Tenths{10, 4000, 60000}).Draw(t, "work")
		var ids []uint32
		for range rapid.IntRange(1, 20).Draw(t, "commands") {
			ids = append(ids, w.s.Send(w.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"}))
			w.pass(policy.Tenths(rapid.IntRange(0, 5000).Draw(t, "gap")))
		}
		w.pass(TMax + 1000)
		for _, id := range ids {
			if _, ok := w.ended[id]; !ok || w.carried[id] > 1 || w.ended[id] == Answered && w.carried[id] == 0 {
				t.Fatalf("transaction %d carried out %d times, ended %v", id, w.carried[id], ok)
			}
		}
		if len(w.broken) > 0 {
			t.Fatal(w.broken)
		}
		w.pass(THist + TMax)
		w.r.purge(w.now)
		if w.r.StoredResponses() > 0 {
			t.Fatalf("%d responses are kept for ever", w.r.StoredResponses())
		}
	})
}

func TestRepeatsFollowThePeersAnswerTimeAndStop(t *testing.T) {
	w := newWire(1)
	for range 50 { // a quick peer
		w.s.Send(w.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		w.pass(1000)
	}
	if w.sends != 50 || w.s.rto() > 1000 {
		t.Fatalf("%d sends for 50 commands, the wait is %d", w.sends, w.s.rto())
	}
	w.loss = 1
	w.s.Send(w.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
	w.pass(TMax)
	if extra := w.sends - 51; extra != maxRetransmissions {
		t.Fatalf("%d repeats to a peer that is gone", extra)
	}
	w = newWire(1)
	w.work = 6000 // a peer that takes 600 ms: repeats stop once that is learned
	for range 30 {
		w.s.Send(w.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		w.pass(10000)
	}
	before := w.sends
	for range 30 {
		w.s.Send(w.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		w.pass(10000)
	}
	if extra := w.sends - before - 30; extra > 30 {
		t.Fatalf("%d repeats and acknowledgements for 30 commands to a slow peer", extra)
	}
}

func TestIdsAreNotUsedAgainBeforeTheirTime(t *testing.T) {
	w := newWire(2)
	w.s.ids.next = maxID - 1
	seen := map[uint32]policy.Tenths{}
	for range 30 {
		id := w.s.Send(w.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		if at, used := seen[id]; used && w.now < at+THist {
			t.Fatalf("id %d is used again after %d", id, w.now-at)
		}
		seen[id] = w.now
		w.pass(500)
		w.s.ids.next = maxID - 1 // as if a thousand million commands had passed
	}
}

func TestAcknowledgementsAreWrittenAsRanges(t *testing.T) {
	if got := formatIDRanges([]uint32{6234, 6235, 6236, 6257, 6259}); got != "6234-6236, 6257, 6259" {
		t.Fatal(got)
	}
}

func (w *wire) HandleConflict(id uint32, first int, r Message) { w.against = append(w.against, r.Code) }

// The first of two different answers counts, and the second is told of; a repeat of the first is not.
func TestSecondOtherAnswerIsToldOf(t *testing.T) {
	w := newWire(3)
	id := w.s.Send(w.now, Message{Verb: CreateConnection, Endpoint: "a@b"})
	answer := Message{Transaction: id, Code: 200, Params: []Param{{"I", "1"}}}
	w.s.HandleResponse(w.now+10, answer)
	w.s.HandleResponse(w.now+20, answer)
	w.s.HandleResponse(w.now+30, Message{Transaction: id, Code: 200, Params: []Param{{"I", "2"}}})
	if w.ended[id] != Answered || len(w.against) != 1 || len(w.broken) > 0 {
		t.Fatal(w.ended, w.against, w.broken)
	}
}

// A gateway that counts anew uses an id again while the answer to the old command is kept: the new command is carried out.
func TestOtherCommandUnderAKeptIdIsCarriedOut(t *testing.T) {
	r := NewReceiver()
	off := Message{Verb: Notify, Transaction: 7, Endpoint: "a@b", Params: []Param{{"X", "1"}, {"O", "L/hd"}}}
	on := Message{Verb: Notify, Transaction: 7, Endpoint: "a@b", Params: []Param{{"X", "2"}, {"O", "L/hu"}}}
	for i, c := range []struct {
		m    Message
		want bool
	}{{off, true}, {off, false}, {on, true}, {on, false}} {
		carryOut, reply := r.HandleCommand(policy.Tenths(1000+i), c.m)
		if carryOut != c.want || carryOut == (reply != nil) {
			t.Fatalf("command %d: carried out %v, reply %v", i, carryOut, reply)
		}
		if carryOut {
			r.StoreResponse(policy.Tenths(1000+i), Message{Transaction: 7, Code: 200})
		}
	}
}
