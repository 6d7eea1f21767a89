package mgcp

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"indigodrift/policy"

	"pgregory.net/rapid"
)

// lossyNetwork connects a sender and a receiver over a simulated network.
type lossyNetwork struct {
	sender         *Sender
	receiver       *Receiver
	now            policy.Tenths
	inFlight       []packet
	random         *rand.Rand
	loss           float64
	duplication    float64
	maxDelay       policy.Tenths // random delay of packets, which may overtake each other
	processingTime policy.Tenths // of a command at the receiver
	executing      []packet
	executions     map[uint32]int
	outcomes       map[uint32]Outcome
	transmissions  int
	violations     []string
	conflicts      []int // codes of conflicting responses
}

type packet struct {
	at         policy.Tenths // when it arrives, or when its execution ends
	message    Message
	isResponse bool
}

func newLossyNetwork(seed uint64) *lossyNetwork {
	n := &lossyNetwork{now: 1000000, receiver: NewReceiver(), random: rand.New(rand.NewPCG(seed, 1)), executions: map[uint32]int{},
		outcomes: map[uint32]Outcome{}, processingTime: 50}
	n.sender = NewSender(NewTransactionIDs(5), seed, n)
	return n
}

// deliver sends a message over the network, which may lose, duplicate or delay it.
func (n *lossyNetwork) deliver(msg Message, isResponse bool) {
	copies := 1
	if n.random.Float64() < n.duplication {
		copies = 2
	}
	for range copies {
		if n.random.Float64() >= n.loss {
			n.inFlight = append(n.inFlight, packet{n.now + 100 + policy.Tenths(n.random.Int64N(int64(n.maxDelay)+1)), msg, isResponse})
		}
	}
}

func (n *lossyNetwork) Transmit(msg Message, _ int) { n.transmissions++; n.deliver(msg, false) }

func (n *lossyNetwork) HandleOutcome(id uint32, outcome Outcome, response Message) {
	if outcome == PeerSuspect {
		return
	}
	if _, twice := n.outcomes[id]; twice {
		n.violations = append(n.violations, fmt.Sprintf("transaction %d has two outcomes", id))
	}
	if outcome == Answered && response.Code != 200 {
		n.violations = append(n.violations, fmt.Sprintf("transaction %d ends with code %d", id, response.Code))
	}
	n.outcomes[id] = outcome
}

// advance runs the simulation for a duration.
func (n *lossyNetwork) advance(duration policy.Tenths) {
	for end := n.now + duration; n.now < end; {
		n.now = min(end, n.now+50)
		for i := 0; i < len(n.inFlight); {
			arrived := n.inFlight[i]
			if arrived.at > n.now {
				i++
				continue
			}
			n.inFlight = slices.Delete(n.inFlight, i, i+1)
			switch {
			case arrived.isResponse:
				n.sender.HandleResponse(n.now, arrived.message)
			case arrived.message.IsAcknowledgement():
				n.receiver.HandleAck(arrived.message.Transaction)
			default:
				execute, reply := n.receiver.HandleCommand(n.now, arrived.message)
				if execute {
					n.executions[arrived.message.Transaction]++
					n.executing = append(n.executing, packet{at: n.now + n.processingTime, message: arrived.message})
				}
				if reply != nil {
					n.deliver(*reply, true)
				}
			}
		}
		for i := 0; i < len(n.executing); {
			if command := n.executing[i]; command.at <= n.now {
				n.executing = slices.Delete(n.executing, i, i+1)
				n.deliver(n.receiver.StoreResponse(n.now, Message{Transaction: command.message.Transaction, Code: 200}), true)
			} else {
				i++
			}
		}
		if at, ok := n.sender.Next(); ok && at <= n.now {
			n.sender.Tick(n.now)
		}
	}
}

// Whatever the network loses, duplicates and delays, a command is executed at most once and has exactly one outcome within TMax.
func TestCommandsExecuteAtMostOnceAndFinishOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := newLossyNetwork(rapid.Uint64().Draw(t, "seed"))
		network.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.7, 1}).Draw(t, "loss")
		network.duplication = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
		network.maxDelay = rapid.SampledFrom([]policy.Tenths{0, 3000, 30000}).Draw(t, "slow")
		network.processingTime = rapid.SampledFrom([]policy.Tenths{10, 4000, 60000}).Draw(t, "work")
		var ids []uint32
		for range rapid.IntRange(1, 20).Draw(t, "commands") {
			ids = append(ids, network.sender.Send(network.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"}))
			network.advance(policy.Tenths(rapid.IntRange(0, 5000).Draw(t, "gap")))
		}
		network.advance(TMax + 1000)
		for _, id := range ids {
			if _, ok := network.outcomes[id]; !ok || network.executions[id] > 1 || network.outcomes[id] == Answered && network.executions[id] == 0 {
				t.Fatalf("transaction %d executed %d times, has outcome: %v", id, network.executions[id], ok)
			}
		}
		if len(network.violations) > 0 {
			t.Fatal(network.violations)
		}
		network.advance(THist + TMax)
		network.receiver.purge(network.now)
		if network.receiver.StoredResponses() > 0 {
			t.Fatalf("%d responses are never removed", network.receiver.StoredResponses())
		}
	})
}

// A fast peer gets no retransmissions, a lost one a bounded number, and a slow one few once its response time is measured.
func TestRetransmissionTimeoutAdaptsAndStops(t *testing.T) {
	network := newLossyNetwork(1)
	for range 50 { // a fast peer
		network.sender.Send(network.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		network.advance(1000)
	}
	if network.transmissions != 50 || network.sender.rto() > 1000 {
		t.Fatalf("%d transmissions for 50 commands, the timeout is %d", network.transmissions, network.sender.rto())
	}
	network.loss = 1
	network.sender.Send(network.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
	network.advance(TMax)
	if extra := network.transmissions - 51; extra != maxRetransmissions {
		t.Fatalf("%d retransmissions to a lost peer", extra)
	}
	network = newLossyNetwork(1)
	network.processingTime = 6000 // a peer that takes 600 ms: retransmissions stop once that is measured
	for range 30 {
		network.sender.Send(network.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		network.advance(10000)
	}
	before := network.transmissions
	for range 30 {
		network.sender.Send(network.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		network.advance(10000)
	}
	if extra := network.transmissions - before - 30; extra > 30 {
		t.Fatalf("%d retransmissions and acknowledgements for 30 commands to a slow peer", extra)
	}
}

func TestTransactionIDsAreNotReusedEarly(t *testing.T) {
	network := newLossyNetwork(2)
	network.sender.ids.next = maxID - 1
	seen := map[uint32]policy.Tenths{}
	for range 30 {
		id := network.sender.Send(network.now, Message{Verb: AuditEndpoint, Endpoint: "a@b"})
		if at, used := seen[id]; used && network.now < at+THist {
			t.Fatalf("transaction ID %d is reused after %d", id, network.now-at)
		}
		seen[id] = network.now
		network.advance(500)
		network.sender.ids.next = maxID - 1 // as if all other IDs had been used
	}
}

func TestFormatIDRanges(t *testing.T) {
	if got := formatIDRanges([]uint32{6234, 6235, 6236, 6257, 6259}); got != "6234-6236, 6257, 6259" {
		t.Fatal(got)
	}
}

func (n *lossyNetwork) HandleConflict(id uint32, first int, response Message) {
	n.conflicts = append(n.conflicts, response.Code)
}

// The first of two different responses counts, and the second is reported as a conflict. A repetition of the first is not.
func TestConflictingResponseIsReported(t *testing.T) {
	network := newLossyNetwork(3)
	id := network.sender.Send(network.now, Message{Verb: CreateConnection, Endpoint: "a@b"})
	response := Message{Transaction: id, Code: 200, Params: []Param{{"I", "1"}}}
	network.sender.HandleResponse(network.now+10, response)
	network.sender.HandleResponse(network.now+20, response)
	network.sender.HandleResponse(network.now+30, Message{Transaction: id, Code: 200, Params: []Param{{"I", "2"}}})
	if network.outcomes[id] != Answered || len(network.conflicts) != 1 || len(network.violations) > 0 {
		t.Fatal(network.outcomes, network.conflicts, network.violations)
	}
}

// A restarted gateway may reuse a transaction ID while the response to the old command is stored: the new command must be executed.
func TestReusedIDWithNewCommandIsExecuted(t *testing.T) {
	receiver := NewReceiver()
	off := Message{Verb: Notify, Transaction: 7, Endpoint: "a@b", Params: []Param{{"X", "1"}, {"O", "L/hd"}}}
	on := Message{Verb: Notify, Transaction: 7, Endpoint: "a@b", Params: []Param{{"X", "2"}, {"O", "L/hu"}}}
	for i, c := range []struct {
		m    Message
		want bool
	}{{off, true}, {off, false}, {on, true}, {on, false}} {
		execute, reply := receiver.HandleCommand(policy.Tenths(1000+i), c.m)
		if execute != c.want || execute == (reply != nil) {
			t.Fatalf("command %d: execute %v, reply %v", i, execute, reply)
		}
		if execute {
			receiver.StoreResponse(policy.Tenths(1000+i), Message{Transaction: 7, Code: 200})
		}
	}
}
