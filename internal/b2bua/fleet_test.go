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

// controllerGroup is a group of call controllers at the same switches. They receive the events of the same notice board,
// each at its own time.
type controllerGroup struct {
	t              *rapid.T
	controllers    []*harness
	restarted      []bool
	undelivered    [][]board.Event // events that a controller has not received yet
	events         []board.Event   // all events
	listed         map[int]board.Switch
	slowStartTimes map[uint32]policy.Tenths // start times of switches in slow start
	setUpTimes     map[uint32][]policy.Tenths
	lastSwitchID   uint32
}

var groupBounds = Bounds{Calls: 50, Octets: 1 << 16, Callers: 6, Links: 12}

const groupCircuits = 9 // circuits of each group in random steps

func newControllerGroup(t *rapid.T, n int) *controllerGroup {
	f := &controllerGroup{t: t, restarted: make([]bool, n), undelivered: make([][]board.Event, n), listed: map[int]board.Switch{}, slowStartTimes: map[uint32]policy.Tenths{},
		setUpTimes: map[uint32][]policy.Tenths{}, lastSwitchID: 100}
	for cell := 1; cell <= 3; cell++ {
		f.listed[cell] = board.Switch{ID: uint32(cell), Cell: cell, Address: fmt.Sprintf("10.0.0.%d:1", cell+1)}
	}
	for range n {
		r := f.start(17e12)
		r.completeDials(groupCircuits, groupCircuits)
		for range 3 {
			r.connectCaller()
		}
		f.controllers = append(f.controllers, r)
	}
	return f
}

// start starts a controller with all events of the notice board so far.
func (f *controllerGroup) start(now policy.Tenths) *harness {
	r := newHarnessWithBounds(f.t, groupBounds)
	r.now = now
	r.onSetUp = func(sw uint32) {
		if _, cold := f.slowStartTimes[sw]; cold {
			f.setUpTimes[sw] = append(f.setUpTimes[sw], r.now)
		}
	}
	for _, e := range f.events {
		r.updateSwitches(e.Complete, e.Switches...)
	}
	return r
}

// restart restarts a controller. Its callers report some of the established calls again, with their switches.
func (f *controllerGroup) restart(i int) {
	old := f.controllers[i]
	r := f.start(old.now)
	f.controllers[i], f.undelivered[i] = r, nil
	r.completeDials(groupCircuits, groupCircuits)
	c := r.connectCaller()
	for _, id := range old.order {
		k := old.calls[id]
		if k.establishedAt == 0 || !k.answered || k.callerEnded || k.callerReleases > 0 || !rapid.Bool().Draw(f.t, "reported again") {
			continue
		}
		id := "1" + id[1:] // differs from the ids of the restarted controller
		on := slices.IndexFunc(r.linkOrder, func(c ConnID) bool { return r.links[c] == k.establishedAt })
		if on < 0 {
			continue
		}
		r.calls[id] = &observedCall{id: id, conn: c, answers: 1, answered: true, establishedAt: k.establishedAt, establishedConn: r.linkOrder[on]}
		r.order = append(r.order, id)
		r.agent.FromCaller(r.now, r.now, c, invite(id, "voice", 0, fmt.Sprintf("at:%s", board.FormatID(k.establishedAt)), ""))
	}
}

// publish publishes an event: a switch replaced by one in slow start, drained or gone, or the whole list. Each
// controller receives it later.
func (f *controllerGroup) publish() {
	cell := rapid.IntRange(1, 3).Draw(f.t, "cell")
	e := board.Event{}
	s, ok := f.listed[cell]
	switch what := rapid.IntRange(0, 4).Draw(f.t, "tells"); {
	case what <= 1 || !ok:
		f.lastSwitchID++
		cold := board.Switch{ID: f.lastSwitchID, Cell: cell, Address: fmt.Sprintf("10.0.1.%d:1", f.lastSwitchID), StartedMS: int64(f.controllers[0].now) / 10}
		if ok && what == 1 { // it takes over the address of the old one
			cold.Address, s.State = s.Address, board.Gone
			e.Switches = append(e.Switches, s)
		} else if ok {
			s.State = board.Draining
			e.Switches = append(e.Switches, s)
		}
		f.listed[cell], f.slowStartTimes[cold.ID] = cold, f.controllers[0].now
		e.Switches = append(e.Switches, cold)
	case what == 2:
		s.State = board.Draining
		e.Switches = append(e.Switches, s)
		delete(f.listed, cell)
	case what == 3:
		s.State = board.Gone
		e.Switches = append(e.Switches, s)
		delete(f.listed, cell)
	default:
		e.Complete = true
		for cell := 1; cell <= 3; cell++ {
			if s, ok := f.listed[cell]; ok {
				e.Switches = append(e.Switches, s)
			}
		}
	}
	f.events = append(f.events, e)
	for i := range f.undelivered {
		f.undelivered[i] = append(f.undelivered[i], e)
	}
}

// repeatAnswer repeats an answer of a switch.
func (f *controllerGroup) repeatAnswer(r *harness) {
	for _, id := range r.order {
		if k := r.calls[id]; k.establishedAt != 0 && r.links[k.establishedConn] != 0 && k.trySeq != 0 {
			r.agent.FromSwitch(r.now, k.establishedConn, &sip.Message{Status: sip.OK, CallID: id, CSeq: k.trySeq, CSeqMethod: sip.Invite, Body: []byte(k.answerBody)})
			return
		}
	}
}

// check compares the observed messages with the bounds of each controller and with the capacity of switches in
// slow start.
func (f *controllerGroup) check() {
	for i, r := range f.controllers {
		open := 0
		for _, id := range r.order {
			if k := r.calls[id]; k.answers == 0 && !k.abandoned {
				open++
			}
		}
		if len(r.callers) > groupBounds.Callers || len(r.links)+len(r.dials) > groupBounds.Links || open > groupBounds.Calls {
			f.t.Fatalf("controller %d holds %d callers, %d connections to switches and %d dials, %d open calls", i, len(r.callers), len(r.links), len(r.dials), open)
		}
	}
	d := testSettings().Policy
	carried := float64(len(f.controllers)) * groupCircuits / 12 // per second at most; half of a processor's work is for calls of its own exchange
	for id, all := range f.setUpTimes {
		last := all[len(all)-1]
		n := 0
		for _, at := range all {
			if last-at < d.OverloadWindow {
				n++
			}
		}
		strength := d.InitialCapacity + (1-d.InitialCapacity)*float64(max(0, last-d.OverloadWindow-f.slowStartTimes[id]))/float64(d.RampTime)
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
		f := newControllerGroup(t, rapid.IntRange(2, 5).Draw(t, "controllers"))
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(f.controllers)-1).Draw(t, "controller")
			switch what := rapid.IntRange(0, maxStep+5).Draw(t, "step"); {
			case what <= stepTimePasses: // time passes for all controllers
				span := policy.Tenths(rapid.SampledFrom([]int{10, 300, 1501, 9000}).Draw(t, "span"))
				for _, r := range f.controllers {
					r.advanceTime(span)
				}
			case what == stepSwitchUpdate:
				f.publish()
			case what == maxStep+4: // many calls to the same exchange at once
				cell := rapid.IntRange(1, 3).Draw(t, "called")
				for _, r := range f.controllers {
					r.completeDials(groupCircuits, groupCircuits)
					if len(r.callers) == 0 {
						r.connectCaller()
					}
					for range 3 {
						r.sendSetUp(r.callers[0], cell, 1000)
					}
				}
			case what <= maxStep:
				f.controllers[i].randomStep(t, what)
			case what == maxStep+1:
				f.repeatAnswer(f.controllers[i])
			case what == maxStep+2 && !f.restarted[i]: // once, as a restart takes time
				f.restarted[i] = true
				f.restart(i)
			case what == maxStep+3:
				f.controllers[i].agent.FailOpenCalls(f.controllers[i].now)
			case len(f.undelivered[i]) > 0:
				f.controllers[i].updateSwitches(f.undelivered[i][0].Complete, f.undelivered[i][0].Switches...)
				f.undelivered[i] = f.undelivered[i][1:]
			}
			f.check()
		}
		for _, r := range f.controllers {
			r.checkSettled(t)
		}
	})
}
