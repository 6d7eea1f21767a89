package exchange

import (
	"testing"

	"indigodrift/internal/circuit"
	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// notebook is a Keeper in memory.
type notebook struct {
	calls map[uint32]recovery.StoredCall
	far   map[int]string
}

func (n *notebook) Put(k recovery.StoredCall)     { n.calls[k.ID] = k }
func (n *notebook) Drop(id uint32)                { delete(n.calls, id) }
func (n *notebook) Knows(number int, life string) { n.far[number] = life }

// sentBy is a Carrier that keeps all messages sent.
type sentBy struct {
	all []isup.Message
	to  []Hop
}

func (c *sentBy) Transmit(to Hop, m isup.Message) { c.all, c.to = append(c.all, m), append(c.to, to) }
func (c *sentBy) Follow()                         {}
func (c *sentBy) Note(string)                     {}
func (c *sentBy) Answered(Answer)                 {}

// count returns the number of messages of a type.
func (c *sentBy) count(t isup.Type) (n int) {
	for _, m := range c.all {
		if m.Type == t {
			n++
		}
	}
	return n
}

func wallOf(at policy.Tenths) int64 { return int64(at) }

// again restarts an exchange with its stored calls. own and far identify the process lifetimes of the own switch and of
// the neighbour's switch after the restart.
func again(t *testing.T, now policy.Tenths, kept *notebook, own, far string) (*Exchange, *sentBy, *notebook) {
	t.Helper()
	out := &sentBy{}
	x := New(policy.Deployment{OwnExchange: 0, MaxTries: 4, ReleaseTime: 3000, InitialCapacity: 1, OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
		Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, []Neighbour{{1, 62}}, out, now,
		func(d policy.Deployment, e policy.Executor, now policy.Tenths) Decider { return policy.New(d, e, now) })
	next := &notebook{calls: map[uint32]recovery.StoredCall{}, far: map[int]string{}}
	x.Keep(next, wallOf)
	var all []recovery.StoredCall
	for _, k := range kept.calls {
		all = append(all, k)
	}
	life := recovery.Process{LastHeartbeat: wallOf(now) - 5000, OwnIncarnation: kept.far[-1], Incarnations: kept.far}
	x.Restore(now, life, recovery.Decide(wallOf(now), life, all, recovery.Settings{Circuits: map[int]int{1: 62}, HasLines: func(uint16) bool { return true }}))
	x.OwnUp(now, own)
	x.LinkUp(now, 0, far)
	for range 20 {
		now += 1000
		x.Tick(now)
	}
	return x, out, next
}

// before returns the stored calls of an exchange with two established calls and one in set-up.
func before(t *testing.T) (*notebook, policy.Tenths, []uint16) {
	t.Helper()
	x, out, now := lone(62)
	kept := &notebook{calls: map[uint32]recovery.StoredCall{}, far: map[int]string{}}
	x.Keep(kept, wallOf)
	x.keeper.Knows(1, "1")
	x.keeper.Knows(-1, "1")
	var cics []uint16
	for i := range uint32(3) {
		now += 200
		x.dial(now, i+1)
		cics = append(cics, out.m.CIC)
		if i < 2 {
			x.Receive(now+50, Hop{Side: Ahead}, isup.Message{CIC: out.m.CIC, Type: isup.ANM}, 0)
		}
	}
	if len(kept.calls) != 3 || x.Standing() != 2 {
		t.Fatalf("%d calls are stored, %d established", len(kept.calls), x.Standing())
	}
	return kept, now + 100, cics
}

func TestRestartedExchangeAsksAndKeepsWhatStands(t *testing.T) {
	kept, now, cics := before(t)
	x, out, next := again(t, now, kept, "1", "1")
	if x.Standing() != 2 || x.Unagreed() != 2 || out.count(isup.CQM) == 0 || out.count(isup.GRS)+out.count(isup.RSC) == 0 {
		t.Fatalf("%d established, %d unconfirmed, %d queries", x.Standing(), x.Unagreed(), out.count(isup.CQM))
	}
	for i, m := range out.all { // no circuit of a restored call is reset, and the waiting caller is released once
		last := m.CIC + uint16(m.Range)
		for _, cic := range cics[:2] {
			if (m.Type == isup.GRS || m.Type == isup.RSC) && m.CIC <= cic && cic <= last {
				t.Fatalf("circuit %d of a restored call is reset by %+v", cic, m)
			}
		}
		if m.Type == isup.REL && (out.to[i].Side != Line || m.CIC != 3 || m.Cause != isup.TemporaryFailure) {
			t.Fatalf("%+v to %+v", m, out.to[i])
		}
	}
	if out.count(isup.REL) != 1 || len(next.calls) != 0 {
		t.Fatalf("%d callers were released; the exchange stored %v again", out.count(isup.REL), next.calls)
	}
	now += 30000
	// The neighbour confirms the first call and does not know the second.
	for n, state := range []byte{isup.IncomingBusy, isup.CircuitIdle} {
		x.Receive(now, Hop{Side: Ahead}, isup.Message{CIC: cics[n], Type: isup.CQR, States: string([]byte{state})}, 0)
	}
	if x.Standing() != 1 || x.Unagreed() != 0 {
		t.Fatalf("%d established, %d unconfirmed", x.Standing(), x.Unagreed())
	}
	if state, _, _ := x.groups[0].g.State(cics[1]); state != circuit.Idle {
		t.Fatalf("circuit of the second call is in state %d", state)
	}
	last := out.all[len(out.all)-1]
	if last.Type != isup.REL || last.CIC != 2 || out.to[len(out.to)-1].Side != Line { // its caller is released
		t.Fatalf("%+v", last)
	}
	x.Receive(now+10, Hop{Side: Line, Point: Lines}, isup.Message{CIC: 1, Type: isup.REL, Cause: isup.NormalClearing}, 0)
	if last = out.all[len(out.all)-1]; x.Standing() != 0 || last.Type != isup.REL || last.CIC != cics[0] { // the first call is released as usual
		t.Fatalf("%d established; %+v", x.Standing(), last)
	}
}

func TestAnotherLifeOfASwitchKeepsNothing(t *testing.T) {
	kept, now, _ := before(t)
	if x, out, _ := again(t, now, kept, "1", "2"); x.Standing() != 0 || out.count(isup.CQM) > 0 || out.count(isup.REL) != 3 {
		t.Fatalf("neighbour's switch restarted: %d established, %d queries, %d callers released", x.Standing(), out.count(isup.CQM), out.count(isup.REL))
	}
	kept, now, _ = before(t)
	x, out, _ := again(t, now, kept, "2", "1")
	toLines := 0
	for i, m := range out.all {
		if m.Type == isup.REL && out.to[i].Side == Line {
			toLines++
		}
	}
	if x.Standing() != 0 || toLines > 0 {
		t.Fatalf("own switch restarted: %d established, %d lines released", x.Standing(), toLines)
	}
}

func TestNeighbourIsToldTheStatesOfCircuits(t *testing.T) {
	x, out, now := lone(62)
	x.dial(now, 1)
	got := &sentBy{}
	x.out = got
	x.Receive(now+10, Hop{Side: Behind}, isup.Message{CIC: 1, Type: isup.CQM, Range: 30}, 0)
	if len(got.all) != 1 || got.all[0].Type != isup.CQR || got.to[0].Side != Behind || len(got.all[0].States) != 31 {
		t.Fatalf("%+v", got.all)
	}
	for i, s := range []byte(got.all[0].States) {
		want := byte(isup.CircuitIdle)
		if uint16(i+1) == out.m.CIC {
			want = isup.OutgoingBusy
		}
		if s != want {
			t.Fatalf("circuit %d is reported as %02x", i+1, s)
		}
	}
}

// A release that names a multirate call by a circuit other than its lowest must not end the call.
func TestReleaseOnAnotherCircuitOfAWideCallIsNotItsOwn(t *testing.T) {
	x, out, now := lone(62)
	x.Receive(now, Hop{Side: Line, Point: Lines}, isup.Message{CIC: 1, Type: isup.IAM, Width: 3, Digits: "001000001", Ref: isup.Reference{Point: 1, Identity: 1},
		Says: isup.Says{Has: isup.PartLeft | isup.PartCall, Left: 30000}}, 0)
	lead, other := out.m.CIC, uint16(0)
	for s := range uint16(31) {
		if out.m.Slots&(1<<s) != 0 && s+1 != lead {
			other = s + 1
		}
	}
	if out.m.Type != isup.IAM || other == 0 {
		t.Fatalf("%+v", out.m)
	}
	x.Receive(now+10, Hop{Side: Ahead}, isup.Message{CIC: other, Type: isup.REL, Cause: isup.NetworkOutOfOrder}, 0)
	if state, _, _ := x.groups[0].g.State(lead); state != circuit.Seized {
		t.Fatalf("the call's circuit is in state %d", state)
	}
	x.Receive(now+20, Hop{Side: Ahead}, isup.Message{CIC: lead, Type: isup.ANM}, 0)
	if x.Standing() != 1 {
		t.Fatal("the call is not established")
	}
}
