package b2bua

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

// fleet is a group of call controllers at the same switches. They receive the events of the same notice board,
// each at its own time.
type fleet struct {
	t      *rapid.T
	rigs   []*rig
	killed []bool
	late   [][]board.Event // events that a controller has not received yet
	told   []board.Event   // all events
	now    map[int]board.Switch
	boots  map[uint32]policy.Tenths // start times of switches in slow start
	sent   map[uint32][]policy.Tenths
	next   uint32
}

var fleetBounds = Bounds{Calls: 50, Octets: 1 << 16, Callers: 6, Links: 12}

const rigGroup = 9 // circuits of each group in random steps

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{t: t, killed: make([]bool, n), late: make([][]board.Event, n), now: map[int]board.Switch{}, boots: map[uint32]policy.Tenths{},
		sent: map[uint32][]policy.Tenths{}, next: 100}
	for cell := 1; cell <= 3; cell++ {
		f.now[cell] = board.Switch{ID: uint32(cell), Cell: cell, Address: fmt.Sprintf("10.0.0.%d:1", cell+1)}
	}
	for range n {
		r := f.start(17e12)
		r.dialAll(rigGroup, rigGroup)
		for range 3 {
			r.callerUp()
		}
		f.rigs = append(f.rigs, r)
	}
	return f
}

// start starts a controller with all events of the notice board so far.
func (f *fleet) start(now policy.Tenths) *rig {
	r := newRigWithin(f.t, fleetBounds)
	r.now = now
	r.onSend = func(sw uint32) {
		if _, cold := f.boots[sw]; cold {
			f.sent[sw] = append(f.sent[sw], r.now)
		}
	}
	for _, e := range f.told {
		r.list(e.Complete, e.Switches...)
	}
	return r
}

// kill restarts a controller. Its callers report some of the established calls again, with their switches.
func (f *fleet) kill(i int) {
	old := f.rigs[i]
	r := f.start(old.now)
	f.rigs[i], f.late[i] = r, nil
	r.dialAll(rigGroup, rigGroup)
	c := r.callerUp()
	for _, id := range old.order {
		k := old.calls[id]
		if k.standsAt == 0 || !k.stood || k.callerEnded || k.callerReleased > 0 || !rapid.Bool().Draw(f.t, "reported again") {
			continue
		}
		id := "1" + id[1:] // differs from the ids of the restarted controller
		on := slices.IndexFunc(r.linkSeq, func(c Conn) bool { return r.links[c] == k.standsAt })
		if on < 0 {
			continue
		}
		r.calls[id] = &heardOf{id: id, on: c, answers: 1, stood: true, standsAt: k.standsAt, standsOn: r.linkSeq[on]}
		r.order = append(r.order, id)
		r.a.FromCaller(r.now, r.now, c, invite(id, "voice", 0, fmt.Sprintf("at:%s", board.FormatID(k.standsAt)), ""))
	}
}

// tells publishes an event: a switch replaced by one in slow start, drained or gone, or the whole list. Each
// controller receives it later.
func (f *fleet) tells() {
	cell := rapid.IntRange(1, 3).Draw(f.t, "cell")
	e := board.Event{}
	s, ok := f.now[cell]
	switch what := rapid.IntRange(0, 4).Draw(f.t, "tells"); {
	case what <= 1 || !ok:
		f.next++
		cold := board.Switch{ID: f.next, Cell: cell, Address: fmt.Sprintf("10.0.1.%d:1", f.next), StartedMS: int64(f.rigs[0].now) / 10}
		if ok && what == 1 { // it takes over the address of the old one
			cold.Address, s.State = s.Address, board.Gone
			e.Switches = append(e.Switches, s)
		} else if ok {
			s.State = board.Draining
			e.Switches = append(e.Switches, s)
		}
		f.now[cell], f.boots[cold.ID] = cold, f.rigs[0].now
		e.Switches = append(e.Switches, cold)
	case what == 2:
		s.State = board.Draining
		e.Switches = append(e.Switches, s)
		delete(f.now, cell)
	case what == 3:
		s.State = board.Gone
		e.Switches = append(e.Switches, s)
		delete(f.now, cell)
	default:
		e.Complete = true
		for cell := 1; cell <= 3; cell++ {
			if s, ok := f.now[cell]; ok {
				e.Switches = append(e.Switches, s)
			}
		}
	}
	f.told = append(f.told, e)
	for i := range f.late {
		f.late[i] = append(f.late[i], e)
	}
}

// secondAnswer repeats an answer of a switch.
func (f *fleet) secondAnswer(r *rig) {
	for _, id := range r.order {
		if k := r.calls[id]; k.standsAt != 0 && r.links[k.standsOn] != 0 && k.trySeq != 0 {
			r.a.FromSwitch(r.now, k.standsOn, &sip.Message{Status: sip.OK, CallID: id, CSeq: k.trySeq, CSeqMethod: sip.Invite, Body: []byte(k.switchSDP)})
			return
		}
	}
}

// check compares the observed messages with the bounds of each controller and with the capacity of switches in
// slow start.
func (f *fleet) check() {
	for i, r := range f.rigs {
		open := 0
		for _, id := range r.order {
			if k := r.calls[id]; k.answers == 0 && !k.left {
				open++
			}
		}
		if len(r.callers) > fleetBounds.Callers || len(r.links)+len(r.dials) > fleetBounds.Links || open > fleetBounds.Calls {
			f.t.Fatalf("controller %d holds %d callers, %d connections to switches and %d dials, %d open calls", i, len(r.callers), len(r.links), len(r.dials), open)
		}
	}
	d := settled().Policy
	carried := float64(len(f.rigs)) * rigGroup / 12 // per second at most; half of a processor's work is for calls of its own exchange
	for id, all := range f.sent {
		last := all[len(all)-1]
		n := 0
		for _, at := range all {
			if last-at < d.OverloadWindow {
				n++
			}
		}
		strength := d.InitialCapacity + (1-d.InitialCapacity)*float64(max(0, last-d.OverloadWindow-f.boots[id]))/float64(d.RampTime)
		if bears := d.OverloadMultiple * strength * 2 * carried * float64(d.OverloadWindow) / 10000; float64(n) > bears+2*math.Sqrt(bears)+2 {
			f.t.Fatalf("%d set-ups in a fall window to switch %d in slow start, which can carry %.1f", n, id, bears)
		}
	}
}

// Each of several controllers at the same switches keeps the rules and its bounds at each step, and a switch in
// slow start receives no more set-ups than it can carry from all of them together. The random actions include
// restarts, drains, whole and partial lists received late, resets, repeated answers, and callers that leave.
func TestRulesHoldForManyControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 5).Draw(t, "controllers"))
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(f.rigs)-1).Draw(t, "controller")
			switch what := rapid.IntRange(0, stepsMost+5).Draw(t, "step"); {
			case what <= stepPass: // time passes for all controllers
				span := policy.Tenths(rapid.SampledFrom([]int{10, 300, 1501, 9000}).Draw(t, "span"))
				for _, r := range f.rigs {
					r.pass(span)
				}
			case what == stepLists:
				f.tells()
			case what == stepsMost+4: // many calls to the same exchange at once
				cell := rapid.IntRange(1, 3).Draw(t, "called")
				for _, r := range f.rigs {
					r.dialAll(rigGroup, rigGroup)
					if len(r.callers) == 0 {
						r.callerUp()
					}
					for range 3 {
						r.offer(r.callers[0], cell, 1000)
					}
				}
			case what <= stepsMost:
				f.rigs[i].step(t, what)
			case what == stepsMost+1:
				f.secondAnswer(f.rigs[i])
			case what == stepsMost+2 && !f.killed[i]: // once, as a restart takes time
				f.killed[i] = true
				f.kill(i)
			case what == stepsMost+3:
				f.rigs[i].a.FailOpen(f.rigs[i].now)
			case len(f.late[i]) > 0:
				f.rigs[i].list(f.late[i][0].Complete, f.late[i][0].Switches...)
				f.late[i] = f.late[i][1:]
			}
			f.check()
		}
		for _, r := range f.rigs {
			r.settle(t)
		}
	})
}
