// Package circuit tracks the states of the circuits between this exchange and one neighbour, by the procedures of ITU-T
// Q.764: the selection of a circuit for a call, the resolution of dual seizures, and the repetition of unanswered releases
// and resets. It does no I/O: internal/exchange passes in the time and the events, and sends the messages that result.
package circuit

import (
	"fmt"
	"math/bits"

	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// State is the state of one circuit. Only the set method changes it. The transitions are:
//
//	Idle      -> Seized (own call), Incoming (neighbour's call), Resetting
//	Seized    -> Outgoing (backward message), Incoming (yielded in a dual seizure), Releasing, Idle, Resetting
//	Outgoing  -> Releasing, Idle, Resetting
//	Incoming  -> Releasing, Idle, Resetting
//	Releasing -> Idle (RLC), Incoming (the neighbour's next call overtook the RLC), Resetting (no RLC)
//	Resetting -> Idle (RLC, GRA)
type State uint8

// States of a circuit.
const (
	Idle      State = iota
	Seized          // an own set-up was sent, nothing received yet
	Outgoing        // an own call that the neighbour has received
	Incoming        // a call of the neighbour
	Releasing       // a release was sent, not answered yet
	Resetting       // a reset was sent, not answered yet
)

const (
	repeatFirst = policy.Tenths(10000) // before an unanswered release or reset is repeated; doubles each time
	repeatMost  = policy.Tenths(80000)
	releaseMost = 4 // unanswered releases before the circuit is reset (Q.764 2.9.6: T5)

	// settle is the time before this exchange seizes a circuit that the neighbour has released. The answer to the release
	// takes another link than the next set-up, which could overtake it.
	settle = policy.Tenths(3000)

	// A set-up that lost a dual seizure may still wait in a queue of the neighbour's switch and be read after the winning
	// call has ended. It was then accepted as a second set-up of a call that had been repeated on other circuits. The
	// release of the winning call therefore carries the Yielded mark: the neighbour ignores set-ups on these circuits for
	// crossing, and the yielding exchange does not seize them for yieldSettle.
	crossing    = policy.Tenths(20000)
	yieldSettle = policy.Tenths(25000)
)

// None is the call id of a circuit without a call.
const None = 0

type circuit struct {
	state   State
	blocked bool // by the neighbour: no new call
	heard   bool // the neighbour knew the call that is being released
	theirs  bool // the call that is being released came from the neighbour
	unsure  bool // its call was restored after a restart, and the neighbour has not confirmed it
	call    uint32
	lead    int // index of the circuit whose code the call's set-up named
	idleAt  policy.Tenths
	settled policy.Tenths // earliest time for this exchange to seize it
	crossed policy.Tenths // set-ups received before this time lost a dual seizure and are ignored
	yielded bool          // the neighbour's call on it took it from an own call
	dueAt   policy.Tenths // next repeat (Releasing, Resetting)
	repeats int
}

// Bundle is the set of circuits that one call holds in a group: the circuit that its messages name, and the time slots
// of a multirate call.
type Bundle struct {
	CIC   uint16
	Slots uint32 // 0 for a single circuit
}

// Group holds the circuits to one neighbour.
type Group struct {
	own, peer uint16 // point codes
	circuits  []circuit
	free      int // idle and not blocked
	open      int // not blocked
}

// New creates a group of idle circuits between two point codes. Both exchanges must configure the same size.
func New(own, peer uint16, size int) *Group {
	return &Group{own: own, peer: peer, circuits: make([]circuit, size), free: size, open: size}
}

// MostCircuits is the size of the largest group that 12-bit circuit codes can address.
const MostCircuits = (isup.CICMost + 1) / 32 * isup.PerMultiplex

// code returns the circuit identification code of the circuit at an index. Slot 0 of each multiplex is not used.
func code(i int) uint16 { return uint16(i/isup.PerMultiplex*32 + i%isup.PerMultiplex + 1) }

// multiplex returns the index range of the multiplex of circuit i. All circuits of a call are in one multiplex.
func (g *Group) multiplex(i int) (from, to int) {
	from = i - i%isup.PerMultiplex
	return from, min(from+isup.PerMultiplex, len(g.circuits))
}

// index returns the index of a circuit identification code; false if the group does not have it.
func (g *Group) index(cic uint16) (int, bool) {
	i := int(cic)/32*isup.PerMultiplex + int(cic)%32 - 1
	return i, cic%32 != 0 && i < len(g.circuits)
}

// Free returns the number of circuits that are idle and not blocked.
func (g *Group) Free() int { return g.free }

// Size returns the number of circuits that are not blocked.
func (g *Group) Size() int { return g.open }

// State returns the state of a circuit and the call that holds it; false if the group has no such circuit.
func (g *Group) State(cic uint16) (State, uint32, bool) {
	i, ok := g.index(cic)
	if !ok {
		return Idle, None, false
	}
	return g.circuits[i].state, g.circuits[i].call, true
}

// controls reports whether this exchange wins a dual seizure of the circuit: the exchange with the higher point code
// controls the even circuit codes, the other one the odd codes (Q.764, 2.9.1.4).
func (g *Group) controls(cic uint16) bool { return (g.own > g.peer) == (cic%2 == 0) }

// set changes the state of a circuit; no other function does.
func (g *Group) set(now policy.Tenths, i int, s State, call uint32, lead int) {
	c := &g.circuits[i]
	if c.state == Idle && !c.blocked {
		g.free--
	}
	if s == Idle {
		call, c.idleAt = None, now
		if c.yielded {
			c.yielded, c.settled = false, now+yieldSettle
		}
	}
	c.heard = s == Releasing && (c.state == Outgoing || c.state == Incoming)
	c.theirs = s == Releasing && c.state == Incoming
	c.state, c.call, c.lead, c.unsure = s, call, lead, false
	c.repeats, c.dueAt = 0, now+repeatFirst
	if c.state == Idle && !c.blocked {
		g.free++
	}
}

// Seize selects circuits for an outgoing call. It takes the longest idle of the circuits that this exchange controls,
// or else the shortest idle of the others (Q.764, 2.9.1.3, method 2), which makes dual seizures rare. A multirate call
// takes time slots of one multiplex.
func (g *Group) Seize(now policy.Tenths, call uint32, width int) (Bundle, bool) {
	if width == 1 {
		best := -1
		for i := range g.circuits {
			if g.fit(now, i) && (best < 0 || g.before(i, best)) {
				best = i
			}
		}
		if best < 0 {
			return Bundle{}, false
		}
		g.set(now, best, Seized, call, best)
		return Bundle{CIC: code(best)}, true
	}
	for first := 0; first < len(g.circuits); first += isup.PerMultiplex {
		var taken []int
		for _, mine := range []bool{true, false} {
			for i := first; i < min(first+isup.PerMultiplex, len(g.circuits)) && len(taken) < width; i++ {
				if g.fit(now, i) && g.controls(code(i)) == mine {
					taken = append(taken, i)
				}
			}
		}
		if len(taken) < width {
			continue
		}
		lead := taken[0]
		for _, i := range taken {
			lead = min(lead, i)
		}
		var slots uint32
		for _, i := range taken {
			slots |= 1 << (i - first)
			g.set(now, i, Seized, call, lead)
		}
		return Bundle{code(lead), slots}, true
	}
	return Bundle{}, false
}

// fit reports whether this exchange may seize a circuit.
func (g *Group) fit(now policy.Tenths, i int) bool {
	c := &g.circuits[i]
	return c.state == Idle && !c.blocked && now >= c.settled
}

// before reports whether circuit i is to be seized in preference to circuit j.
func (g *Group) before(i, j int) bool {
	mine, theirs := g.controls(code(i)), g.controls(code(j))
	if mine != theirs {
		return mine
	}
	if mine {
		return g.circuits[i].idleAt < g.circuits[j].idleAt
	}
	return g.circuits[i].idleAt > g.circuits[j].idleAt
}

// Verdict is the result of a received set-up.
type Verdict uint8

// Results of a received set-up.
const (
	Taken   Verdict = iota // accepted: the neighbour's call holds the circuits
	Ours                   // dual seizure that the own call won: ignore the set-up
	NotIdle                // release or reset in progress: ignore the set-up
	Unknown                // the group has no such circuits: fault of the neighbour
)

// Arrived handles a set-up of the neighbour. yielded lists the outgoing calls that lost their circuits to it; they may be
// tried again on other circuits, and nothing is sent for the lost ones. gone lists earlier calls of the neighbour on the
// same circuits: its messages arrive in order, so that their release must have been lost.
func (g *Group) Arrived(now policy.Tenths, call uint32, b Bundle, width int) (v Verdict, yielded, gone []uint32) {
	taken, ok := g.members(b)
	if !ok || len(taken) != width {
		return Unknown, nil, nil
	}
	for _, i := range taken {
		switch c := &g.circuits[i]; c.state {
		case Idle:
			if now < c.crossed {
				return NotIdle, nil, nil
			}
		case Seized:
			if g.keeps(i, taken) {
				return Ours, nil, nil
			}
		case Releasing:
			if !c.heard { // the set-up may have crossed that of the own call, whose release ends it there
				return NotIdle, nil, nil
			}
		case Incoming:
		default:
			return NotIdle, nil, nil
		}
	}
	var given []int
	for _, i := range taken {
		if c := &g.circuits[i]; c.state == Incoming {
			gone = append(gone, c.call)
			g.held(now, code(i), Idle, Incoming)
		}
		if g.circuits[i].state == Seized {
			given = append(given, i)
			lost := g.circuits[i].call
			yielded = append(yielded, lost)
			from, to := g.multiplex(i)
			for j := from; j < to; j++ {
				if g.circuits[j].state == Seized && g.circuits[j].call == lost {
					g.set(now, j, Idle, None, j)
				}
			}
		}
	}
	for _, i := range taken {
		// The set-up implies that the neighbour received the release of the previous call. All circuits of that call are
		// idle; otherwise the remaining circuits of a multirate call would be held for ever.
		g.held(now, code(i), Idle, Releasing)
		g.set(now, i, Incoming, call, taken[0])
	}
	for _, i := range given {
		g.circuits[i].yielded = true
	}
	return Taken, yielded, gone
}

// Yielded reports whether the neighbour's call on a circuit took it from an own call. The release of that call must say
// so.
func (g *Group) Yielded(cic uint16) bool {
	found := false
	g.bundle(cic, func(c *circuit) { found = found || c.yielded })
	return found
}

// Crossed records that the release of an outgoing call on a circuit carried the Yielded mark.
func (g *Group) Crossed(now policy.Tenths, cic uint16) {
	g.bundle(cic, func(c *circuit) { c.crossed = now + crossing })
}

// bundle calls do for each circuit of the call that holds a given circuit.
func (g *Group) bundle(cic uint16, do func(c *circuit)) {
	i, ok := g.index(cic)
	if !ok {
		return
	}
	from, to := g.multiplex(i)
	for j := from; j < to; j++ {
		if c := &g.circuits[j]; j == i || c.call == g.circuits[i].call && c.lead == g.circuits[i].lead && c.state == g.circuits[i].state && c.state != Idle {
			do(c)
		}
	}
}

// keeps reports whether the own call that holds circuit i wins a dual seizure against a call for the circuits theirs. The
// call with more circuits wins, as it is harder to place again; with equal numbers, the exchange wins that controls the
// lowest circuit of both calls. Both exchanges see the same two set-ups and come to the same result.
func (g *Group) keeps(i int, theirs []int) bool {
	var ours []int
	from, to := g.multiplex(i)
	for j := from; j < to; j++ {
		if g.circuits[j].state == Seized && g.circuits[j].call == g.circuits[i].call {
			ours = append(ours, j)
		}
	}
	if len(ours) != len(theirs) {
		return len(ours) > len(theirs)
	}
	for _, j := range ours {
		for _, k := range theirs {
			if j == k {
				return g.controls(code(j))
			}
		}
	}
	return false
}

// members returns the indices of the circuits of a bundle in rising order; false if the group lacks one of them.
func (g *Group) members(b Bundle) ([]int, bool) {
	lead, ok := g.index(b.CIC)
	if !ok {
		return nil, false
	}
	if b.Slots == 0 {
		return []int{lead}, true
	}
	first := lead - lead%isup.PerMultiplex
	all := make([]int, 0, bits.OnesCount32(b.Slots))
	for s := range isup.PerMultiplex {
		if b.Slots&(1<<s) != 0 {
			all = append(all, first+s)
		}
	}
	return all, all[0] == lead && all[len(all)-1] < len(g.circuits)
}

// Answered records a backward message for an outgoing call: the neighbour has received the set-up.
func (g *Group) Answered(now policy.Tenths, cic uint16) { g.held(now, cic, Outgoing, Seized) }

// Keep assigns circuits to an established call that was restored after a restart. They stay assigned until the neighbour
// denies the call. It returns false if the group has no such circuits or they are taken.
func (g *Group) Keep(now policy.Tenths, call uint32, b Bundle, theirs bool) bool {
	taken, ok := g.members(b)
	if !ok {
		return false
	}
	for _, i := range taken {
		if g.circuits[i].state != Idle {
			return false
		}
	}
	for _, i := range taken {
		s := Outgoing
		if theirs {
			s = Incoming
		}
		g.set(now, i, s, call, taken[0])
		g.circuits[i].unsure = true
		g.circuits[i].dueAt = now
	}
	return true
}

// ResetRest resets every circuit without a restored call, as its state at the neighbour is unknown.
func (g *Group) ResetRest(now policy.Tenths) {
	for i := range g.circuits {
		if c := &g.circuits[i]; !c.unsure {
			g.set(now, i, Resetting, None, i)
			c.dueAt = now
		}
	}
}

// Indicator returns the circuit state indicator for a CQR (Q.763, 3.14).
func (g *Group) Indicator(cic uint16) byte {
	i, ok := g.index(cic)
	if !ok {
		return isup.Unequipped
	}
	c := &g.circuits[i]
	blocked := byte(0)
	if c.blocked {
		blocked = 2 // remotely
	}
	switch c.state {
	case Idle:
		return isup.CircuitIdle | blocked
	case Seized, Outgoing:
		return isup.OutgoingBusy | blocked
	case Incoming:
		return isup.IncomingBusy | blocked
	}
	return isup.Transient
}

// Unsure reports whether the neighbour has yet to confirm the restored call on a circuit.
func (g *Group) Unsure(cic uint16) bool {
	i, ok := g.index(cic)
	return ok && g.circuits[i].unsure
}

// Sure records that the neighbour has confirmed the call on a circuit.
func (g *Group) Sure(cic uint16) {
	if i, ok := g.index(cic); ok {
		g.circuits[i].unsure = false
	}
}

// UnsureCount returns the number of circuits whose restored call the neighbour has not confirmed.
func (g *Group) UnsureCount() (n int) {
	for i := range g.circuits {
		if g.circuits[i].unsure {
			n++
		}
	}
	return n
}

// Drop frees the circuits of a call that the neighbour does not know, at once, or with reset after the neighbour has
// answered a reset. It returns the call.
func (g *Group) Drop(now policy.Tenths, cic uint16, reset bool) uint32 {
	i, ok := g.index(cic)
	if !ok {
		return None
	}
	call := g.circuits[i].call
	to := Idle
	if reset {
		to = Resetting
	}
	from, end := g.multiplex(i)
	for j := from; j < end; j++ {
		if c := &g.circuits[j]; j == i || c.call == call && call != None {
			g.set(now, j, to, None, j)
			c.dueAt = now
		}
	}
	return call
}

// Release records that a release was sent for the call on a circuit; the answer is pending.
func (g *Group) Release(now policy.Tenths, cic uint16) {
	g.held(now, cic, Releasing, Seized, Outgoing, Incoming)
}

// Cleared frees the circuits of a call: the neighbour has answered a release or reset, or this exchange answers its
// release. In the latter case settling is set, and the circuits are not seized again for the time settle.
func (g *Group) Cleared(now policy.Tenths, cic uint16, settling bool) {
	if i, ok := g.index(cic); ok && settling && g.circuits[i].state != Idle {
		from, to := g.multiplex(i)
		for j := from; j < to; j++ {
			if c := &g.circuits[j]; c.lead == g.circuits[i].lead && c.call == g.circuits[i].call {
				c.settled = now + settle
			}
		}
	}
	g.held(now, cic, Idle, Seized, Outgoing, Incoming, Releasing, Resetting)
}

// held changes the state of all circuits of the call on a circuit, if they are in one of the states from.
func (g *Group) held(now policy.Tenths, cic uint16, to State, from ...State) {
	i, ok := g.index(cic)
	if !ok {
		return
	}
	of := g.circuits[i]
	first, end := g.multiplex(i)
	for j := first; j < end; j++ {
		if c := &g.circuits[j]; j != i && (c.call != of.call || c.call == None || c.lead != of.lead || c.state != of.state) {
			continue
		}
		for _, s := range from {
			if of.state == s {
				g.set(now, j, to, of.call, of.lead)
				break
			}
		}
	}
}

// Reset starts the reset of every circuit, as their states at the neighbour are unknown. It returns the calls that held
// circuits.
func (g *Group) Reset(now policy.Tenths) []uint32 {
	var lost []uint32
	for i := range g.circuits {
		c := &g.circuits[i]
		if c.call != None && c.lead == i && c.state != Releasing {
			lost = append(lost, c.call)
		}
		g.set(now, i, Resetting, None, i)
		c.dueAt = now // the next Due returns it
	}
	return lost
}

// WasReset handles the neighbour's reset of count circuits, starting at cic: they become idle and unblocked. It returns
// the calls that held them, and false if the group has no such circuits.
func (g *Group) WasReset(now policy.Tenths, cic uint16, count int) ([]uint32, bool) {
	i, ok := g.index(cic)
	if !ok || int(cic)%32+count > 32 || i+count > len(g.circuits) {
		return nil, false
	}
	var lost []uint32
	for j := i; j < i+count; j++ {
		if c := &g.circuits[j]; c.state == Seized || c.state == Outgoing || c.state == Incoming {
			lost = append(lost, c.call)
			g.held(now, code(j), Idle, c.state)
		} else if c.state != Resetting {
			g.set(now, j, Idle, None, j)
		} else { // an own reset is unanswered; the neighbour is alive, so it is repeated at once
			c.dueAt = now
		}
		g.Block(code(j), false)
	}
	return lost, true
}

// ResetDone records the neighbour's answer to a group reset.
func (g *Group) ResetDone(now policy.Tenths, cic uint16, count int) {
	for j := range count {
		if i, ok := g.index(cic + uint16(j)); ok && g.circuits[i].state == Resetting {
			g.set(now, i, Idle, None, i)
		}
	}
}

// Block marks a circuit as blocked or unblocked by the neighbour. A call on it continues. It returns false if the group
// has no such circuit.
func (g *Group) Block(cic uint16, blocked bool) bool {
	i, ok := g.index(cic)
	if !ok {
		return false
	}
	if c := &g.circuits[i]; c.blocked != blocked {
		by := 1
		if blocked {
			by = -1
		}
		c.blocked = blocked
		g.open += by
		if c.state == Idle {
			g.free += by
		}
	}
	return true
}

// Repeat is a message that is due, for the first time or again.
type Repeat struct {
	Type  isup.Type // REL, RSC, GRS or CQM
	CIC   uint16
	Range uint8 // GRS, CQM
	// Theirs is set for the release of a call from the neighbour, which takes the link of its set-up.
	Theirs bool
}

// Due returns the messages that must be sent or repeated now. Adjacent circuits of one multiplex share a GRS or CQM. A
// release that stays unanswered becomes a reset.
func (g *Group) Due(now policy.Tenths) []Repeat {
	var due []Repeat
	for i := 0; i < len(g.circuits); i++ {
		c := &g.circuits[i]
		if now < c.dueAt || c.state != Releasing && c.state != Resetting && !c.unsure {
			continue
		}
		if c.unsure {
			last := i
			for last+1 < len(g.circuits) && (last+1)%isup.PerMultiplex != 0 && g.circuits[last+1].unsure && now >= g.circuits[last+1].dueAt {
				last++
				g.again(now, last)
			}
			g.again(now, i)
			due = append(due, Repeat{Type: isup.CQM, CIC: code(i), Range: uint8(last - i)})
			i = last
			continue
		}
		if c.state == Releasing && c.lead != i {
			continue
		}
		if c.state == Releasing && c.repeats >= releaseMost {
			g.held(now, code(i), Resetting, Releasing)
		}
		g.again(now, i)
		if c.state == Releasing {
			due = append(due, Repeat{Type: isup.REL, CIC: code(i), Theirs: c.theirs})
			continue
		}
		last := i
		for last+1 < len(g.circuits) && (last+1)%isup.PerMultiplex != 0 && g.circuits[last+1].state == Resetting &&
			now >= g.circuits[last+1].dueAt {
			last++
			g.again(now, last)
		}
		if last == i {
			due = append(due, Repeat{Type: isup.RSC, CIC: code(i)})
		} else {
			due = append(due, Repeat{Type: isup.GRS, CIC: code(i), Range: uint8(last - i)})
		}
		i = last
	}
	return due
}

// again schedules the next repetition for a circuit.
func (g *Group) again(now policy.Tenths, i int) {
	c := &g.circuits[i]
	c.dueAt = now + min(repeatMost, repeatFirst<<min(c.repeats, 10))
	c.repeats++
}

// check verifies the invariants of the group, for tests.
func (g *Group) check() error {
	free, open := 0, 0
	for i, c := range g.circuits {
		if !c.blocked {
			open++
			if c.state == Idle {
				free++
			}
		}
		busy := c.state == Seized || c.state == Outgoing || c.state == Incoming
		if busy != (c.call != None) && c.state != Releasing && c.state != Resetting {
			return fmt.Errorf("circuit %d in state %d holds call %d", code(i), c.state, c.call)
		}
	}
	if free != g.free || open != g.open {
		return fmt.Errorf("counted %d free of %d circuits, expected %d of %d", free, open, g.free, g.open)
	}
	return nil
}
