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

// controllerGroup is a group of call controllers at the same switches. They receive the events of the same notice
// board, each at its own time.
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
	group := &controllerGroup{t: t, restarted: make([]bool, n), undelivered: make([][]board.Event, n), listed: map[int]board.Switch{}, slowStartTimes: map[uint32]policy.Tenths{},
		setUpTimes: map[uint32][]policy.Tenths{}, lastSwitchID: 100}
	for exchangeNumber := 1; exchangeNumber <= 3; exchangeNumber++ {
		group.listed[exchangeNumber] = board.Switch{ID: uint32(exchangeNumber), Exchange: exchangeNumber, Address: fmt.Sprintf("10.0.0.%d:1", exchangeNumber+1)}
	}
	for range n {
		h := group.start(17e12)
		h.completeDials(groupCircuits, groupCircuits)
		for range 3 {
			h.connectCaller()
		}
		group.controllers = append(group.controllers, h)
	}
	return group
}

// start starts a controller with all events of the notice board so far.
func (g *controllerGroup) start(now policy.Tenths) *harness {
	h := newHarnessWithBounds(g.t, groupBounds)
	h.now = now
	h.onSetUp = func(switchID uint32) {
		if _, inSlowStart := g.slowStartTimes[switchID]; inSlowStart {
			g.setUpTimes[switchID] = append(g.setUpTimes[switchID], h.now)
		}
	}
	for _, event := range g.events {
		h.updateSwitches(event.Complete, event.Switches...)
	}
	return h
}

// restart restarts a controller. Its callers report some of the established calls again, with their switches.
func (g *controllerGroup) restart(i int) {
	old := g.controllers[i]
	h := g.start(old.now)
	g.controllers[i], g.undelivered[i] = h, nil
	h.completeDials(groupCircuits, groupCircuits)
	conn := h.connectCaller()
	for _, id := range old.order {
		call := old.calls[id]
		if call.establishedAt == 0 || !call.answered || call.callerEnded || call.callerReleases > 0 || !rapid.Bool().Draw(g.t, "reported again") {
			continue
		}
		id := "1" + id[1:] // differs from the ids of the restarted controller
		index := slices.IndexFunc(h.linkOrder, func(conn ConnID) bool { return h.links[conn] == call.establishedAt })
		if index < 0 {
			continue
		}
		h.calls[id] = &observedCall{id: id, conn: conn, answers: 1, answered: true, establishedAt: call.establishedAt, establishedConn: h.linkOrder[index]}
		h.order = append(h.order, id)
		h.agent.FromCaller(h.now, h.now, conn, invite(id, "voice", 0, fmt.Sprintf("at:%s", board.FormatID(call.establishedAt)), ""))
	}
}

// publish publishes an event: a switch replaced by one in slow start, drained or gone, or the whole list. Each
// controller receives it later.
func (g *controllerGroup) publish() {
	exchangeNumber := rapid.IntRange(1, 3).Draw(g.t, "cell")
	event := board.Event{}
	entry, ok := g.listed[exchangeNumber]
	switch kind := rapid.IntRange(0, 4).Draw(g.t, "tells"); {
	case kind <= 1 || !ok:
		g.lastSwitchID++
		replacement := board.Switch{ID: g.lastSwitchID, Exchange: exchangeNumber, Address: fmt.Sprintf("10.0.1.%d:1", g.lastSwitchID), StartedMS: int64(g.controllers[0].now) / 10}
		if ok && kind == 1 { // it takes over the address of the old one
			replacement.Address, entry.State = entry.Address, board.Gone
			event.Switches = append(event.Switches, entry)
		} else if ok {
			entry.State = board.Draining
			event.Switches = append(event.Switches, entry)
		}
		g.listed[exchangeNumber], g.slowStartTimes[replacement.ID] = replacement, g.controllers[0].now
		event.Switches = append(event.Switches, replacement)
	case kind == 2:
		entry.State = board.Draining
		event.Switches = append(event.Switches, entry)
		delete(g.listed, exchangeNumber)
	case kind == 3:
		entry.State = board.Gone
		event.Switches = append(event.Switches, entry)
		delete(g.listed, exchangeNumber)
	default:
		event.Complete = true
		for exchangeNumber := 1; exchangeNumber <= 3; exchangeNumber++ {
			if entry, ok := g.listed[exchangeNumber]; ok {
				event.Switches = append(event.Switches, entry)
			}
		}
	}
	g.events = append(g.events, event)
	for i := range g.undelivered {
		g.undelivered[i] = append(g.undelivered[i], event)
	}
}

// repeatAnswer repeats an answer of a switch.
func (g *controllerGroup) repeatAnswer(h *harness) {
	for _, id := range h.order {
		if call := h.calls[id]; call.establishedAt != 0 && h.links[call.establishedConn] != 0 && call.trySeq != 0 {
			h.agent.FromSwitch(h.now, call.establishedConn, &sip.Message{Status: sip.OK, CallID: id, CSeq: call.trySeq, CSeqMethod: sip.Invite, Body: []byte(call.answerBody)})
			return
		}
	}
}

// check compares the observed messages with the bounds of each controller and with the capacity of switches in
// slow start.
func (g *controllerGroup) check() {
	for i, h := range g.controllers {
		open := 0
		for _, id := range h.order {
			if call := h.calls[id]; call.answers == 0 && !call.abandoned {
				open++
			}
		}
		if len(h.callers) > groupBounds.Callers || len(h.links)+len(h.dials) > groupBounds.Links || open > groupBounds.Calls {
			g.t.Fatalf("controller %d holds %d callers, %d connections to switches and %d dials, %d open calls", i, len(h.callers), len(h.links), len(h.dials), open)
		}
	}
	settings := testSettings().Policy
	carried := float64(len(g.controllers)) * groupCircuits / 12 // per second at most; half of a processor's work is for calls of its own exchange
	for id, times := range g.setUpTimes {
		last := times[len(times)-1]
		n := 0
		for _, at := range times {
			if last-at < settings.OverloadWindow {
				n++
			}
		}
		capacityShare := settings.InitialCapacity + (1-settings.InitialCapacity)*float64(max(0, last-settings.OverloadWindow-g.slowStartTimes[id]))/float64(settings.RampTime)
		if capacity := settings.OverloadMultiple * capacityShare * 2 * carried * float64(settings.OverloadWindow) / 10000; float64(n) > capacity+2*math.Sqrt(capacity)+2 {
			g.t.Fatalf("%d set-ups in an overload window to switch %d in slow start, which can carry %.1f", n, id, capacity)
		}
	}
}

// Each of several controllers at the same switches keeps the rules and its bounds at each step, and a switch in
// slow start receives no more set-ups than it can carry from all of them together. The random actions include
// restarts, drains, whole and partial lists received late, resets, repeated answers, and abandoned calls.
func TestInvariantsHoldForSeveralControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := newControllerGroup(t, rapid.IntRange(2, 5).Draw(t, "controllers"))
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(group.controllers)-1).Draw(t, "controller")
			switch kind := rapid.IntRange(0, maxStep+5).Draw(t, "step"); {
			case kind <= stepTimePasses: // time passes for all controllers
				span := policy.Tenths(rapid.SampledFrom([]int{10, 300, 1501, 9000}).Draw(t, "span"))
				for _, h := range group.controllers {
					h.advanceTime(span)
				}
			case kind == stepSwitchUpdate:
				group.publish()
			case kind == maxStep+4: // many calls to the same exchange at once
				exchangeNumber := rapid.IntRange(1, 3).Draw(t, "called")
				for _, h := range group.controllers {
					h.completeDials(groupCircuits, groupCircuits)
					if len(h.callers) == 0 {
						h.connectCaller()
					}
					for range 3 {
						h.sendSetUp(h.callers[0], exchangeNumber, 1000)
					}
				}
			case kind <= maxStep:
				group.controllers[i].randomStep(t, kind)
			case kind == maxStep+1:
				group.repeatAnswer(group.controllers[i])
			case kind == maxStep+2 && !group.restarted[i]: // once, as a restart takes time
				group.restarted[i] = true
				group.restart(i)
			case kind == maxStep+3:
				group.controllers[i].agent.FailOpenCalls(group.controllers[i].now)
			case len(group.undelivered[i]) > 0:
				group.controllers[i].updateSwitches(group.undelivered[i][0].Complete, group.undelivered[i][0].Switches...)
				group.undelivered[i] = group.undelivered[i][1:]
			}
			group.check()
		}
		for _, h := range group.controllers {
			h.checkSettled(t)
		}
	})
}
