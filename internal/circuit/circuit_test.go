package circuit

import (
	"slices"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

// neighbour simulates one exchange of a pair: its group, its calls and its outgoing messages.
type neighbour struct {
	group    *Group
	outgoing map[uint32]Assignment // own calls
	incoming map[uint32]Assignment // calls of the other exchange
	yielded  int                   // number of calls that yielded their circuits
	sent     []isup.Message        // in transit to the other exchange; Ref.Identity holds the call
}

// newNeighbour returns one exchange of a pair with idle circuits.
func newNeighbour(own, peer uint16, size int) *neighbour {
	return &neighbour{group: New(own, peer, size), outgoing: map[uint32]Assignment{}, incoming: map[uint32]Assignment{}}
}

// send puts a message in transit.
func (n *neighbour) send(t isup.Type, call uint32, b Assignment, width int) {
	n.sent = append(n.sent, isup.Message{Type: t, CIC: b.CIC, Slots: b.Slots, Width: width,
		Ref: isup.Reference{Identity: call}})
}

// receive handles a received message.
func (n *neighbour) receive(now policy.Tenths, m isup.Message) {
	switch m.Type {
	case isup.IAM:
		b := Assignment{m.CIC, m.Slots}
		v, yielded, _ := n.group.SetUpReceived(now, m.Ref.Identity, b, m.Width)
		for _, id := range yielded {
			delete(n.outgoing, id)
			n.yielded++
		}
		if v == Accepted {
			n.incoming[m.Ref.Identity] = b
			n.send(isup.ANM, m.Ref.Identity, b, 0)
		}
	case isup.ANM:
		n.group.Acknowledged(now, m.CIC)
	case isup.REL:
		if s, call, _ := n.group.State(m.CIC); s == Outgoing || s == Seized || s == Incoming {
			delete(n.incoming, call)
			delete(n.outgoing, call)
			n.group.Cleared(now, m.CIC, true)
		}
		n.send(isup.RLC, 0, Assignment{CIC: m.CIC}, 0)
	case isup.RLC:
		if s, _, _ := n.group.State(m.CIC); s == Releasing || s == Resetting {
			n.group.Cleared(now, m.CIC, false)
		}
	}
}

// Two exchanges seize, answer and release circuits at random, and their messages arrive late but in order. After all
// messages have arrived, both must agree on the state and the call of every circuit.
func TestBothExchangesAgreeOnEveryCircuit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 8, 40}).Draw(t, "size")
		neighbours := [2]*neighbour{newNeighbour(2, 9, size), newNeighbour(9, 2, size)}
		now, next := policy.Tenths(100000), uint32(1)
		deliver := func(from int) {
			m := neighbours[from].sent[0]
			neighbours[from].sent = neighbours[from].sent[1:]
			neighbours[1-from].receive(now, m)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += policy.Tenths(rapid.IntRange(0, 4000).Draw(t, "later"))
			who := rapid.IntRange(0, 1).Draw(t, "who")
			n := neighbours[who]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				width := rapid.SampledFrom([]int{1, 1, 1, 3}).Draw(t, "width")
				free := n.group.Free()
				if b, ok := n.group.Seize(now, next, width); ok {
					if n.group.Free() != free-width {
						t.Fatalf("seizing %d circuits left %d of %d free", width, n.group.Free(), free)
					}
					n.outgoing[next] = b
					n.send(isup.IAM, next, b, width)
				}
				next++
			case 2:
				ids := make([]uint32, 0)
				for id, b := range n.outgoing {
					if s, _, _ := n.group.State(b.CIC); s == Outgoing || s == Seized {
						ids = append(ids, id)
					}
				}
				if len(ids) > 0 {
					slices.Sort(ids)
					b := n.outgoing[ids[0]]
					delete(n.outgoing, ids[0])
					n.group.Release(now, b.CIC)
					n.send(isup.REL, ids[0], b, 0)
				}
			default:
				if len(n.sent) > 0 {
					deliver(who)
				}
			}
			for _, n := range neighbours {
				if err := n.group.checkInvariants(); err != nil {
					t.Fatal(err)
				}
			}
		}
		for range 2 { // deliver all messages; then release set-ups that dual seizures left without an answer
			for len(neighbours[0].sent)+len(neighbours[1].sent) > 0 {
				for who := range neighbours {
					if len(neighbours[who].sent) > 0 {
						deliver(who)
					}
				}
			}
			for _, n := range neighbours {
				for i := range size {
					if s, call, _ := n.group.State(code(i)); s == Seized {
						delete(n.outgoing, call)
						n.group.Release(now, code(i))
						n.send(isup.REL, call, Assignment{CIC: code(i)}, 0)
					}
				}
			}
		}
		for who := range neighbours {
			for len(neighbours[who].sent) > 0 {
				deliver(who)
			}
		}
		for who := range neighbours {
			for len(neighbours[who].sent) > 0 {
				deliver(who)
			}
		}
		for i := range size {
			a, callA, _ := neighbours[0].group.State(code(i))
			b, callB, _ := neighbours[1].group.State(code(i))
			fits := a == Idle && b == Idle || a == Outgoing && b == Incoming && callA == callB ||
				a == Incoming && b == Outgoing && callA == callB
			if !fits {
				t.Fatalf("circuit %d: state %d of call %d at one exchange, state %d of call %d at the other", code(i), a, callA, b, callB)
			}
		}
		if neighbours[0].group.Free() != neighbours[1].group.Free() {
			t.Fatalf("%d and %d free", neighbours[0].group.Free(), neighbours[1].group.Free())
		}
	})
}

func TestControlledCircuitsAreSeizedFirst(t *testing.T) {
	for _, c := range []struct {
		own, peer uint16
		want      uint16
	}{{9, 2, 0}, {2, 9, 1}} {
		g := New(c.own, c.peer, 10)
		for n := range 10 {
			b, ok := g.Seize(policy.Tenths(n), uint32(n+1), 1)
			if !ok || (b.CIC%2 == c.want) != (n < 5) {
				t.Errorf("exchange %d takes circuit %d as number %d", c.own, b.CIC, n)
			}
		}
	}
}

func TestDualSeizureExactlyOneKeepsTheCircuit(t *testing.T) {
	for _, width := range [][2]int{{1, 1}, {3, 3}, {1, 3}, {3, 1}} {
		a, b := New(2, 9, 3), New(9, 2, 3)
		x, _ := a.Seize(0, 1, width[0])
		y, _ := b.Seize(0, 2, width[1])
		if width[0] == 1 && width[1] == 1 { // each would take a circuit it controls: force one circuit
			a, b = New(2, 9, 1), New(9, 2, 1)
			x, _ = a.Seize(0, 1, 1)
			y, _ = b.Seize(0, 2, 1)
		}
		atA, _, _ := a.SetUpReceived(1, 2, y, width[1])
		atB, _, _ := b.SetUpReceived(1, 1, x, width[0])
		if (atA == Accepted) == (atB == Accepted) {
			t.Errorf("widths %v: verdicts %d and %d", width, atA, atB)
		}
	}
}

func TestUnansweredReleaseIsRepeatedThenReset(t *testing.T) {
	g := New(1, 2, 4)
	b, _ := g.Seize(0, 7, 1)
	g.Release(0, b.CIC)
	var got []isup.Type
	for now := policy.Tenths(0); now < 1500000; now += 1000 {
		for _, r := range g.Due(now) {
			got = append(got, r.Type)
		}
	}
	want := []isup.Type{isup.REL, isup.REL, isup.REL, isup.REL, isup.RSC}
	if len(got) < 6 || !slices.Equal(got[:5], want) || g.Free() != 3 {
		t.Fatalf("sent %v, %d free", got, g.Free())
	}
	g.Cleared(1500000, b.CIC, false)
	if g.Free() != 4 {
		t.Fatalf("%d free after the answer", g.Free())
	}
}

func TestGroupResetClearsBothWays(t *testing.T) {
	g := New(1, 2, 40)
	b, _ := g.Seize(0, 7, 3)
	g.SetUpReceived(0, 8, Assignment{CIC: 35}, 1)
	if lost := g.ResetAll(1); !slices.Equal(lost, []uint32{7, 8}) || g.Free() != 0 {
		t.Fatalf("lost %v, %d free (assignment %v)", lost, g.Free(), b)
	}
	due := g.Due(1)
	if want := []DueMessage{{Type: isup.GRS, CIC: 1, Range: 30}, {Type: isup.GRS, CIC: 33, Range: 8}}; !slices.Equal(due, want) {
		t.Fatalf("sent %v", due)
	}
	g.ResetAnswered(2, 1, 31)
	g.ResetAnswered(2, 33, 9)
	if g.Free() != 40 {
		t.Fatalf("%d free", g.Free())
	}
	g.Seize(3, 9, 1)
	if lost, ok := g.ResetReceived(4, 1, 31); !ok || !slices.Equal(lost, []uint32{9}) {
		t.Fatalf("reset by the neighbour: lost calls %v", lost)
	}
	if _, ok := g.ResetReceived(4, 33, 31); ok {
		t.Fatal("reset of circuits that the group does not have was accepted")
	}
}

func TestBlockedCircuitsAreNotSeized(t *testing.T) {
	g := New(1, 2, 2)
	g.SetBlocked(1, true)
	b, ok := g.Seize(0, 1, 1)
	if _, again := g.Seize(0, 2, 1); !ok || b.CIC != 2 || again || g.Size() != 1 {
		t.Fatalf("assignment %v, second seizure %v, size %d", b, again, g.Size())
	}
}

func TestSetUpThatOvertakesReleaseAnswerFreesTheWholeMultirateCall(t *testing.T) {
	g := New(1, 2, 6)
	b, _ := g.Seize(0, 7, 3)
	g.Acknowledged(1, b.CIC)
	g.Release(2, b.CIC)
	if v, _, _ := g.SetUpReceived(3, 8, Assignment{CIC: b.CIC}, 1); v != Accepted || g.Free() != 5 {
		t.Fatalf("verdict %d, %d free", v, g.Free())
	}
}

func TestSetUpOnIncomingCircuitImpliesALostRelease(t *testing.T) {
	g := New(1, 2, 6)
	g.SetUpReceived(0, 8, Assignment{CIC: 1, Slots: 3}, 2)
	v, _, stale := g.SetUpReceived(1, 9, Assignment{CIC: 2}, 1)
	if v != Accepted || !slices.Equal(stale, []uint32{8}) || g.Free() != 5 {
		t.Fatalf("verdict %d, stale %v, %d free", v, stale, g.Free())
	}
}

// The set-up that lost a dual seizure may be read late, after the winning call has ended. The release with
// isup.FlagYielded makes the winner ignore it, while a later set-up is accepted.
func TestLateSetUpThatLostADualSeizureIsIgnored(t *testing.T) {
	winner, loser := New(2, 1, 31), New(1, 2, 31) // only circuit 2 is free; the higher point code controls it
	const cic = 2
	for _, g := range []*Group{winner, loser} {
		for i := range g.circuits {
			g.SetBlocked(code(i), code(i) != cic)
		}
		if b, ok := g.Seize(1000, 7, 1); !ok || b.CIC != cic {
			t.Fatal(b, ok)
		}
	}
	v, lost, _ := loser.SetUpReceived(1100, 8, Assignment{CIC: cic}, 1)
	if v != Accepted || len(lost) != 1 || !loser.Yielded(cic) || winner.Yielded(cic) {
		t.Fatal(v, lost)
	}
	loser.Release(1200, cic) // the call is refused
	winner.YieldReceived(1300, cic)
	winner.Cleared(1300, cic, true)
	loser.Cleared(1400, cic, false)
	if v, _, _ := winner.SetUpReceived(9000, 9, Assignment{CIC: cic}, 1); v != NotIdle {
		t.Fatalf("verdict %d on the yielded set-up", v)
	}
	if _, ok := loser.Seize(1300+ignoreInterval, 10, 1); ok {
		t.Fatal("seized while the other exchange ignores set-ups on the circuit")
	}
	if _, ok := loser.Seize(1400+yieldGuardInterval, 10, 1); !ok {
		t.Fatal("never seized again")
	}
	if v, _, _ := winner.SetUpReceived(1400+yieldGuardInterval, 10, Assignment{CIC: cic}, 1); v != Accepted {
		t.Fatalf("verdict %d on the next set-up", v)
	}
}
