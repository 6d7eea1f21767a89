package exchange

import (
	"testing"

	"indigodrift/internal/circuit"
	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// memoryStore is a CallStore in memory.
type memoryStore struct {
	calls        map[uint32]recovery.StoredCall
	incarnations map[int]string
}

func (s *memoryStore) Put(call recovery.StoredCall) { s.calls[call.ID] = call }
func (s *memoryStore) Drop(id uint32)               { delete(s.calls, id) }
func (s *memoryStore) SetIncarnation(number int, incarnation string) {
	s.incarnations[number] = incarnation
}

// sentMessages is an Output that keeps all messages sent.
type sentMessages struct {
	messages []isup.Message
	hops     []Hop
}

func (s *sentMessages) Transmit(to Hop, m isup.Message) {
	s.messages, s.hops = append(s.messages, m), append(s.hops, to)
}
func (s *sentMessages) RequestSwitchList()  {}
func (s *sentMessages) Log(string)          {}
func (s *sentMessages) ReportAnswer(Answer) {}

// count returns the number of messages of a type.
func (s *sentMessages) count(t isup.Type) (n int) {
	for _, m := range s.messages {
		if m.Type == t {
			n++
		}
	}
	return n
}

// wallClock converts an instant to wall-clock time, with the same origin.
func wallClock(at policy.Tenths) int64 { return int64(at) }

// restart restarts an exchange with its stored calls. own and remote are the incarnations of the own switch and of the
// neighbour's switch after the restart.
func restart(t *testing.T, now policy.Tenths, stored *memoryStore, own, remote string) (*Exchange, *sentMessages, *memoryStore) {
	t.Helper()
	out := &sentMessages{}
	x := New(policy.Deployment{OwnExchange: 0, MaxTries: 4, ReleaseTime: 3000, InitialCapacity: 1, OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
		Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, []Neighbour{{1, 62}}, out, now,
		func(d policy.Deployment, e policy.Executor, now policy.Tenths) Decider { return policy.New(d, e, now) })
	next := &memoryStore{calls: map[uint32]recovery.StoredCall{}, incarnations: map[int]string{}}
	x.SetStore(next, wallClock)
	var all []recovery.StoredCall
	for _, call := range stored.calls {
		all = append(all, call)
	}
	process := recovery.Process{LastHeartbeat: wallClock(now) - 5000, OwnIncarnation: stored.incarnations[-1], Incarnations: stored.incarnations}
	x.Restore(now, process, recovery.Decide(wallClock(now), process, all, recovery.Settings{Circuits: map[int]int{1: 62}, HasLines: func(uint16) bool { return true }}))
	x.OwnSwitchUp(now, own)
	x.LinkUp(now, 0, remote)
	for range 20 {
		now += 1000
		x.Tick(now)
	}
	return x, out, next
}

// storedCalls returns the stored calls of an exchange with two established calls and one in set-up.
func storedCalls(t *testing.T) (*memoryStore, policy.Tenths, []uint16) {
	t.Helper()
	x, out, now := newTestExchange(62)
	stored := &memoryStore{calls: map[uint32]recovery.StoredCall{}, incarnations: map[int]string{}}
	x.SetStore(stored, wallClock)
	x.store.SetIncarnation(1, "1")
	x.store.SetIncarnation(-1, "1")
	var cics []uint16
	for i := range uint32(3) {
		now += 200
		x.dial(now, i+1)
		cics = append(cics, out.msg.CIC)
		if i < 2 {
			x.Receive(now+50, Hop{Side: Succeeding}, isup.Message{CIC: out.msg.CIC, Type: isup.ANM}, 0)
		}
	}
	if len(stored.calls) != 3 || x.EstablishedCalls() != 2 {
		t.Fatalf("%d calls are stored, %d established", len(stored.calls), x.EstablishedCalls())
	}
	return stored, now + 100, cics
}

func TestRestartedExchangeQueriesCircuitsAndRestoresCalls(t *testing.T) {
	stored, now, cics := storedCalls(t)
	x, out, next := restart(t, now, stored, "1", "1")
	if x.EstablishedCalls() != 2 || x.UnconfirmedCircuits() != 2 || out.count(isup.CQM) == 0 || out.count(isup.GRS)+out.count(isup.RSC) == 0 {
		t.Fatalf("%d established, %d unconfirmed, %d queries", x.EstablishedCalls(), x.UnconfirmedCircuits(), out.count(isup.CQM))
	}
	for i, m := range out.messages { // no circuit of a restored call is reset, and the waiting caller is released once
		last := m.CIC + uint16(m.Range)
		for _, cic := range cics[:2] {
			if (m.Type == isup.GRS || m.Type == isup.RSC) && m.CIC <= cic && cic <= last {
				t.Fatalf("circuit %d of a restored call is reset by %+v", cic, m)
			}
		}
		if m.Type == isup.REL && (out.hops[i].Side != Line || m.CIC != 3 || m.Cause != isup.TemporaryFailure) {
			t.Fatalf("%+v to %+v", m, out.hops[i])
		}
	}
	if out.count(isup.REL) != 1 || len(next.calls) != 0 {
		t.Fatalf("%d callers were released; the exchange stored %v again", out.count(isup.REL), next.calls)
	}
	now += 30000
	// The neighbour confirms the first call and does not know the second.
	for n, state := range []byte{isup.IncomingBusy, isup.CircuitIdle} {
		x.Receive(now, Hop{Side: Succeeding}, isup.Message{CIC: cics[n], Type: isup.CQR, States: string([]byte{state})}, 0)
	}
	if x.EstablishedCalls() != 1 || x.UnconfirmedCircuits() != 0 {
		t.Fatalf("%d established, %d unconfirmed", x.EstablishedCalls(), x.UnconfirmedCircuits())
	}
	if state, _, _ := x.groups[0].circuits.State(cics[1]); state != circuit.Idle {
		t.Fatalf("circuit of the second call is in state %d", state)
	}
	last := out.messages[len(out.messages)-1]
	if last.Type != isup.REL || last.CIC != 2 || out.hops[len(out.hops)-1].Side != Line { // its caller is released
		t.Fatalf("%+v", last)
	}
	x.Receive(now+10, Hop{Side: Line, Point: FirstSubscriberPoint}, isup.Message{CIC: 1, Type: isup.REL, Cause: isup.NormalClearing}, 0)
	// The first call is released as usual.
	if last = out.messages[len(out.messages)-1]; x.EstablishedCalls() != 0 || last.Type != isup.REL || last.CIC != cics[0] {
		t.Fatalf("%d established; %+v", x.EstablishedCalls(), last)
	}
}

func TestRestartedSwitchLosesAllCalls(t *testing.T) {
	stored, now, _ := storedCalls(t)
	if x, out, _ := restart(t, now, stored, "1", "2"); x.EstablishedCalls() != 0 || out.count(isup.CQM) > 0 || out.count(isup.REL) != 3 {
		t.Fatalf("neighbour's switch restarted: %d established, %d queries, %d callers released", x.EstablishedCalls(), out.count(isup.CQM), out.count(isup.REL))
	}
	stored, now, _ = storedCalls(t)
	x, out, _ := restart(t, now, stored, "2", "1")
	toLines := 0
	for i, m := range out.messages {
		if m.Type == isup.REL && out.hops[i].Side == Line {
			toLines++
		}
	}
	if x.EstablishedCalls() != 0 || toLines > 0 {
		t.Fatalf("own switch restarted: %d established, %d lines released", x.EstablishedCalls(), toLines)
	}
}

func TestCircuitQueryIsAnswered(t *testing.T) {
	x, out, now := newTestExchange(62)
	x.dial(now, 1)
	got := &sentMessages{}
	x.output = got
	x.Receive(now+10, Hop{Side: Preceding}, isup.Message{CIC: 1, Type: isup.CQM, Range: 30}, 0)
	if len(got.messages) != 1 || got.messages[0].Type != isup.CQR || got.hops[0].Side != Preceding || len(got.messages[0].States) != 31 {
		t.Fatalf("%+v", got.messages)
	}
	for i, s := range []byte(got.messages[0].States) {
		want := byte(isup.CircuitIdle)
		if uint16(i+1) == out.msg.CIC {
			want = isup.OutgoingBusy
		}
		if s != want {
			t.Fatalf("circuit %d is reported as %02x", i+1, s)
		}
	}
}

// A release that names a multirate call by a circuit other than its lowest must not end the call.
func TestReleaseOnAnotherCircuitOfAMultirateCallIsIgnored(t *testing.T) {
	x, out, now := newTestExchange(62)
	x.Receive(now, Hop{Side: Line, Point: FirstSubscriberPoint}, isup.Message{CIC: 1, Type: isup.IAM, Width: 3,
		Digits: "001000001", Ref: isup.Reference{Point: 1, Identity: 1},
		UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: 30000}}, 0)
	lead, other := out.msg.CIC, uint16(0)
	for s := range uint16(31) {
		if out.msg.Slots&(1<<s) != 0 && s+1 != lead {
			other = s + 1
		}
	}
	if out.msg.Type != isup.IAM || other == 0 {
		t.Fatalf("%+v", out.msg)
	}
	x.Receive(now+10, Hop{Side: Succeeding}, isup.Message{CIC: other, Type: isup.REL, Cause: isup.NetworkOutOfOrder}, 0)
	if state, _, _ := x.groups[0].circuits.State(lead); state != circuit.Seized {
		t.Fatalf("the call's circuit is in state %d", state)
	}
	x.Receive(now+20, Hop{Side: Succeeding}, isup.Message{CIC: lead, Type: isup.ANM}, 0)
	if x.EstablishedCalls() != 1 {
		t.Fatal("the call is not established")
	}
}
