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

// State is the state of one circuit. Only setState changes it. The transitions are:
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
	initialRepeatInterval = policy.Tenths(10000) // before an unanswered release or reset is repeated; doubles each time
	maxRepeatInterval     = policy.Tenths(80000)
	maxReleases           = 4 // unanswered releases before the circuit is reset (Q.764 2.9.6: T5)

	// guardInterval is the time before this exchange seizes a circuit that the neighbour has released. The answer to the
	// release takes another link than the next set-up, which could overtake it.
	guardInterval = policy.Tenths(3000)

	// A set-up that lost a dual seizure may wait in a queue of the neighbour's switch until the winning call has ended.
	// Accepting it then would set up its call twice, as that was repeated on other circuits. The release of the winning
	// call therefore carries isup.FlagYielded: the neighbour ignores set-ups on these circuits for ignoreInterval, and the
	// yielding exchange does not seize them for yieldGuardInterval.
	ignoreInterval     = policy.Tenths(20000)
	yieldGuardInterval = policy.Tenths(25000)
)

// NoCall is the call id of a circuit without a call.
const NoCall = 0

// circuit is one circuit of a group.
type circuit struct {
	state         State
	blocked       bool // by the neighbour: no new call
	neighbourKnew bool // the neighbour knew the call that is being released
	wasIncoming   bool // the call that is being released came from the neighbour
	unconfirmed   bool // its call was restored after a restart, and the neighbour has not confirmed it
	call          uint32
	lead          int // index of the circuit whose code the call's set-up named
	idleSince     policy.Tenths
	guardUntil    policy.Tenths // earliest time for this exchange to seize it
	ignoreUntil   policy.Tenths // set-ups received before this time lost a dual seizure and are ignored
	yielded       bool          // the neighbour's call on it took it from an own call
	repeatAt      policy.Tenths // next repeat (Releasing, Resetting)
	repeats       int
}

// Assignment is the set of circuits that one call holds in a group: the circuit that its messages name, and the time slots
// of a multirate call.
type Assignment struct {
	CIC   uint16
	Slots uint32 // 0 for a single circuit
}

// Group holds the circuits to one neighbour.
type Group struct {
	ownPoint, peerPoint uint16 // point codes
	circuits            []circuit
	free                int // idle and not blocked
	unblocked           int // not blocked
}

// New creates a group of idle circuits between two point codes. Both exchanges must configure the same size.
func New(ownPoint, peerPoint uint16, size int) *Group {
	return &Group{ownPoint: ownPoint, peerPoint: peerPoint, circuits: make([]circuit, size), free: size, unblocked: size}
}

// MaxCircuits is the size of the largest group that 12-bit circuit codes can address.
const MaxCircuits = (isup.MaxCIC + 1) / 32 * isup.CircuitsPerMultiplex

// code returns the circuit identification code of the circuit at an index. Slot 0 of each multiplex is not used.
func code(i int) uint16 {
	return uint16(i/isup.CircuitsPerMultiplex*32 + i%isup.CircuitsPerMultiplex + 1)
}

// multiplex returns the index range of the multiplex of circuit i. All circuits of a call are in one multiplex.
func (g *Group) multiplex(i int) (from, to int) {
	from = i - i%isup.CircuitsPerMultiplex
	return from, min(from+isup.CircuitsPerMultiplex, len(g.circuits))
}

// index returns the index of a circuit identification code; false if the group does not have it.
func (g *Group) index(cic uint16) (int, bool) {
	i := int(cic)/32*isup.CircuitsPerMultiplex + int(cic)%32 - 1
	return i, cic%32 != 0 && i < len(g.circuits)
}

// Free returns the number of circuits that are idle and not blocked.
func (g *Group) Free() int { return g.free }

// Size returns the number of circuits that are not blocked.
func (g *Group) Size() int { return g.unblocked }

// State returns the state of a circuit and the call that holds it; false if the group has no such circuit.
func (g *Group) State(cic uint16) (State, uint32, bool) {
	i, ok := g.index(cic)
	if !ok {
		return Idle, NoCall, false
	}
	return g.circuits[i].state, g.circuits[i].call, true
}

// controls reports whether this exchange wins a dual seizure of the circuit: the exchange with the higher point code
// controls the even circuit codes, the other one the odd codes (Q.764, 2.9.1.4).
func (g *Group) controls(cic uint16) bool { return (g.ownPoint > g.peerPoint) == (cic%2 == 0) }

// setState changes the state of a circuit; no other function does.
func (g *Group) setState(now policy.Tenths, i int, next State, call uint32, lead int) {
	c := &g.circuits[i]
	if c.state == Idle && !c.blocked {
		g.free--
	}
	if next == Idle {
		call, c.idleSince = NoCall, now
		if c.yielded {
			c.yielded, c.guardUntil = false, now+yieldGuardInterval
		}
	}
	c.neighbourKnew = next == Releasing && (c.state == Outgoing || c.state == Incoming)
	c.wasIncoming = next == Releasing && c.state == Incoming
	c.state, c.call, c.lead, c.unconfirmed = next, call, lead, false
	c.repeats, c.repeatAt = 0, now+initialRepeatInterval
	if c.state == Idle && !c.blocked {
		g.free++
	}
}

// Seize selects circuits for an outgoing call. It takes the longest idle of the circuits that this exchange controls,
// or else the shortest idle of the others (Q.764, 2.9.1.3, method 2), which makes dual seizures rare. A multirate call
// takes time slots of one multiplex.
func (g *Group) Seize(now policy.Tenths, call uint32, width int) (Assignment, bool) {
	if width == 1 {
		best := -1
		for i := range g.circuits {
			if g.seizable(now, i) && (best < 0 || g.preferred(i, best)) {
				best = i
			}
		}
		if best < 0 {
			return Assignment{}, false
		}
		g.setState(now, best, Seized, call, best)
		return Assignment{CIC: code(best)}, true
	}
	for first := 0; first < len(g.circuits); first += isup.CircuitsPerMultiplex {
		var selected []int
		for _, controlled := range []bool{true, false} {
			for i := first; i < min(first+isup.CircuitsPerMultiplex, len(g.circuits)) && len(selected) < width; i++ {
				if g.seizable(now, i) && g.controls(code(i)) == controlled {
					selected = append(selected, i)
				}
			}
		}
		if len(selected) < width {
			continue
		}
		lead := selected[0]
		for _, i := range selected {
			lead = min(lead, i)
		}
		var slots uint32
		for _, i := range selected {
			slots |= 1 << (i - first)
			g.setState(now, i, Seized, call, lead)
		}
		return Assignment{code(lead), slots}, true
	}
	return Assignment{}, false
}

// seizable reports whether this exchange may seize a circuit.
func (g *Group) seizable(now policy.Tenths, i int) bool {
	c := &g.circuits[i]
	return c.state == Idle && !c.blocked && now >= c.guardUntil
}

// preferred reports whether circuit i is to be seized in preference to circuit j.
func (g *Group) preferred(i, j int) bool {
	ownControlled, otherControlled := g.controls(code(i)), g.controls(code(j))
	if ownControlled != otherControlled {
		return ownControlled
	}
	if ownControlled {
		return g.circuits[i].idleSince < g.circuits[j].idleSince
	}
	return g.circuits[i].idleSince > g.circuits[j].idleSince
}

// SetUpVerdict is the result of a received set-up.
type SetUpVerdict uint8

// Results of a received set-up.
const (
	Accepted       SetUpVerdict = iota // the neighbour's call holds the circuits
	OwnCallWins                        // dual seizure that the own call won: ignore the set-up
	NotIdle                            // release or reset in progress: ignore the set-up
	UnknownCircuit                     // the group has no such circuits: fault of the neighbour
)

// SetUpReceived handles a set-up of the neighbour. yielded lists the outgoing calls that lost their circuits to it; they
// may be tried again on other circuits, and nothing is sent for the lost ones. stale lists earlier calls of the neighbour
// on the same circuits: its messages arrive in order, so that their release must have been lost.
func (g *Group) SetUpReceived(now policy.Tenths, call uint32, assigned Assignment, width int) (
	verdict SetUpVerdict, yielded, stale []uint32) {
	indices, ok := g.indices(assigned)
	if !ok || len(indices) != width {
		return UnknownCircuit, nil, nil
	}
	for _, i := range indices {
		switch c := &g.circuits[i]; c.state {
		case Idle:
			if now < c.ignoreUntil {
				return NotIdle, nil, nil
			}
		case Seized:
			if g.winsDualSeizure(i, indices) {
				return OwnCallWins, nil, nil
			}
		case Releasing:
			if !c.neighbourKnew { // the set-up may have crossed that of the own call, whose release ends it there
				return NotIdle, nil, nil
			}
		case Incoming:
		default:
			return NotIdle, nil, nil
		}
	}
	var yieldedIndices []int
	for _, i := range indices {
		if c := &g.circuits[i]; c.state == Incoming {
			stale = append(stale, c.call)
			g.setStateOfCall(now, code(i), Idle, Incoming)
		}
		if g.circuits[i].state == Seized {
			yieldedIndices = append(yieldedIndices, i)
			loser := g.circuits[i].call
			yielded = append(yielded, loser)
			from, to := g.multiplex(i)
			for j := from; j < to; j++ {
				if g.circuits[j].state == Seized && g.circuits[j].call == loser {
					g.setState(now, j, Idle, NoCall, j)
				}
			}
		}
	}
	for _, i := range indices {
		// The set-up implies that the neighbour received the release of the previous call. All circuits of that call are
		// idle; otherwise the remaining circuits of a multirate call would be held for ever.
		g.setStateOfCall(now, code(i), Idle, Releasing)
		g.setState(now, i, Incoming, call, indices[0])
	}
	for _, i := range yieldedIndices {
		g.circuits[i].yielded = true
	}
	return Accepted, yielded, stale
}

// Yielded reports whether the neighbour's call on a circuit took it from an own call. The release of that call must carry
// isup.FlagYielded.
func (g *Group) Yielded(cic uint16) bool {
	found := false
	g.forEachOfCall(cic, func(c *circuit) { found = found || c.yielded })
	return found
}

// YieldReceived records that the release of an outgoing call on a circuit carried isup.FlagYielded.
func (g *Group) YieldReceived(now policy.Tenths, cic uint16) {
	g.forEachOfCall(cic, func(c *circuit) { c.ignoreUntil = now + ignoreInterval })
}

// forEachOfCall calls do for each circuit of the call that holds a given circuit.
func (g *Group) forEachOfCall(cic uint16, do func(c *circuit)) {
	i, ok := g.index(cic)
	if !ok {
		return
	}
	from, to := g.multiplex(i)
	for j := from; j < to; j++ {
		if c := &g.circuits[j]; j == i || c.call == g.circuits[i].call && c.lead == g.circuits[i].lead &&
			c.state == g.circuits[i].state && c.state != Idle {
			do(c)
		}
	}
}

// winsDualSeizure reports whether the own call that holds circuit i wins a dual seizure against a call for the contending
// circuits. The call with more circuits wins, as it is harder to place again; with equal numbers, the exchange wins that
// controls the lowest circuit that both calls ask for. Both exchanges see the same set-ups and come to the same result.
func (g *Group) winsDualSeizure(i int, contending []int) bool {
	var own []int
	from, to := g.multiplex(i)
	for j := from; j < to; j++ {
		if g.circuits[j].state == Seized && g.circuits[j].call == g.circuits[i].call {
			own = append(own, j)
		}
	}
	if len(own) != len(contending) {
		return len(own) > len(contending)
	}
	for _, j := range own {
		for _, k := range contending {
			if j == k {
				return g.controls(code(j))
			}
		}
	}
	return false
}

// indices returns the indices of the assigned circuits in rising order; false if the group lacks one of them.
func (g *Group) indices(assigned Assignment) ([]int, bool) {
	lead, ok := g.index(assigned.CIC)
	if !ok {
		return nil, false
	}
	if assigned.Slots == 0 {
		return []int{lead}, true
	}
	first := lead - lead%isup.CircuitsPerMultiplex
	all := make([]int, 0, bits.OnesCount32(assigned.Slots))
	for slot := range isup.CircuitsPerMultiplex {
		if assigned.Slots&(1<<slot) != 0 {
			all = append(all, first+slot)
		}
	}
	return all, all[0] == lead && all[len(all)-1] < len(g.circuits)
}

// Acknowledged records a backward message for an outgoing call: the neighbour has received the set-up.
func (g *Group) Acknowledged(now policy.Tenths, cic uint16) {
	g.setStateOfCall(now, cic, Outgoing, Seized)
}

// Restore assigns circuits to an established call that was restored after a restart. They stay assigned until the
// neighbour denies the call. It returns false if the group has no such circuits or they are taken.
func (g *Group) Restore(now policy.Tenths, call uint32, assigned Assignment, incoming bool) bool {
	indices, ok := g.indices(assigned)
	if !ok {
		return false
	}
	for _, i := range indices {
		if g.circuits[i].state != Idle {
			return false
		}
	}
	for _, i := range indices {
		state := Outgoing
		if incoming {
			state = Incoming
		}
		g.setState(now, i, state, call, indices[0])
		g.circuits[i].unconfirmed = true
		g.circuits[i].repeatAt = now
	}
	return true
}

// ResetUnrestored resets every circuit without a restored call, as its state at the neighbour is unknown.
func (g *Group) ResetUnrestored(now policy.Tenths) {
	for i := range g.circuits {
		if c := &g.circuits[i]; !c.unconfirmed {
			g.setState(now, i, Resetting, NoCall, i)
			c.repeatAt = now
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

// Unconfirmed reports whether the neighbour has yet to confirm the restored call on a circuit.
func (g *Group) Unconfirmed(cic uint16) bool {
	i, ok := g.index(cic)
	return ok && g.circuits[i].unconfirmed
}

// Confirm records that the neighbour has confirmed the call on a circuit.
func (g *Group) Confirm(cic uint16) {
	if i, ok := g.index(cic); ok {
		g.circuits[i].unconfirmed = false
	}
}

// UnconfirmedCount returns the number of circuits whose restored call the neighbour has not confirmed.
func (g *Group) UnconfirmedCount() (n int) {
	for i := range g.circuits {
		if g.circuits[i].unconfirmed {
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
		return NoCall
	}
	call := g.circuits[i].call
	next := Idle
	if reset {
		next = Resetting
	}
	from, end := g.multiplex(i)
	for j := from; j < end; j++ {
		if c := &g.circuits[j]; j == i || c.call == call && call != NoCall {
			g.setState(now, j, next, NoCall, j)
			c.repeatAt = now
		}
	}
	return call
}

// Release records that a release was sent for the call on a circuit; the answer is pending.
func (g *Group) Release(now policy.Tenths, cic uint16) {
	g.setStateOfCall(now, cic, Releasing, Seized, Outgoing, Incoming)
}

// Cleared frees the circuits of a call: the neighbour has answered a release or reset, or this exchange answers its
// release. In the latter case guard is set, and the circuits are not seized for guardInterval.
func (g *Group) Cleared(now policy.Tenths, cic uint16, guard bool) {
	if i, ok := g.index(cic); ok && guard && g.circuits[i].state != Idle {
		from, to := g.multiplex(i)
		for j := from; j < to; j++ {
			if c := &g.circuits[j]; c.lead == g.circuits[i].lead && c.call == g.circuits[i].call {
				c.guardUntil = now + guardInterval
			}
		}
	}
	g.setStateOfCall(now, cic, Idle, Seized, Outgoing, Incoming, Releasing, Resetting)
}

// setStateOfCall changes the state of all circuits of the call on a circuit, if they are in one of the states from.
func (g *Group) setStateOfCall(now policy.Tenths, cic uint16, next State, from ...State) {
	i, ok := g.index(cic)
	if !ok {
		return
	}
	holder := g.circuits[i]
	first, end := g.multiplex(i)
	for j := first; j < end; j++ {
		if c := &g.circuits[j]; j != i && (c.call != holder.call || c.call == NoCall || c.lead != holder.lead || c.state != holder.state) {
			continue
		}
		for _, s := range from {
			if holder.state == s {
				g.setState(now, j, next, holder.call, holder.lead)
				break
			}
		}
	}
}

// ResetAll starts the reset of every circuit, as their states at the neighbour are unknown. It returns the calls that held
// circuits.
func (g *Group) ResetAll(now policy.Tenths) []uint32 {
	var lost []uint32
	for i := range g.circuits {
		c := &g.circuits[i]
		if c.call != NoCall && c.lead == i && c.state != Releasing {
			lost = append(lost, c.call)
		}
		g.setState(now, i, Resetting, NoCall, i)
		c.repeatAt = now // the next Due returns it
	}
	return lost
}

// ResetReceived handles the neighbour's reset of count circuits, starting at cic: they become idle and unblocked. It
// returns the calls that held them, and false if the group has no such circuits.
func (g *Group) ResetReceived(now policy.Tenths, cic uint16, count int) ([]uint32, bool) {
	i, ok := g.index(cic)
	if !ok || int(cic)%32+count > 32 || i+count > len(g.circuits) {
		return nil, false
	}
	var lost []uint32
	for j := i; j < i+count; j++ {
		if c := &g.circuits[j]; c.state == Seized || c.state == Outgoing || c.state == Incoming {
			lost = append(lost, c.call)
			g.setStateOfCall(now, code(j), Idle, c.state)
		} else if c.state != Resetting {
			g.setState(now, j, Idle, NoCall, j)
		} else { // an own reset is unanswered; the neighbour is alive, so it is repeated at once
			c.repeatAt = now
		}
		g.SetBlocked(code(j), false)
	}
	return lost, true
}

// ResetAnswered records the neighbour's answer to a group reset.
func (g *Group) ResetAnswered(now policy.Tenths, cic uint16, count int) {
	for j := range count {
		if i, ok := g.index(cic + uint16(j)); ok && g.circuits[i].state == Resetting {
			g.setState(now, i, Idle, NoCall, i)
		}
	}
}

// SetBlocked marks a circuit as blocked or unblocked by the neighbour. A call on it continues. It returns false if the
// group has no such circuit.
func (g *Group) SetBlocked(cic uint16, blocked bool) bool {
	i, ok := g.index(cic)
	if !ok {
		return false
	}
	if c := &g.circuits[i]; c.blocked != blocked {
		change := 1
		if blocked {
			change = -1
		}
		c.blocked = blocked
		g.unblocked += change
		if c.state == Idle {
			g.free += change
		}
	}
	return true
}

// DueMessage is a message that is due, for the first time or again.
type DueMessage struct {
	Type  isup.Type // REL, RSC, GRS or CQM
	CIC   uint16
	Range uint8 // GRS, CQM
	// Incoming is set for the release of a call from the neighbour, which takes the link of its set-up.
	Incoming bool
}

// Due returns the messages that must be sent or repeated now. Adjacent circuits of one multiplex share a GRS or CQM. A
// release that stays unanswered becomes a reset.
func (g *Group) Due(now policy.Tenths) []DueMessage {
	var due []DueMessage
	for i := 0; i < len(g.circuits); i++ {
		c := &g.circuits[i]
		if now < c.repeatAt || c.state != Releasing && c.state != Resetting && !c.unconfirmed {
			continue
		}
		if c.unconfirmed {
			last := i
			for last+1 < len(g.circuits) && (last+1)%isup.CircuitsPerMultiplex != 0 && g.circuits[last+1].unconfirmed &&
				now >= g.circuits[last+1].repeatAt {
				last++
				g.scheduleRepeat(now, last)
			}
			g.scheduleRepeat(now, i)
			due = append(due, DueMessage{Type: isup.CQM, CIC: code(i), Range: uint8(last - i)})
			i = last
			continue
		}
		if c.state == Releasing && c.lead != i {
			continue
		}
		if c.state == Releasing && c.repeats >= maxReleases {
			g.setStateOfCall(now, code(i), Resetting, Releasing)
		}
		g.scheduleRepeat(now, i)
		if c.state == Releasing {
			due = append(due, DueMessage{Type: isup.REL, CIC: code(i), Incoming: c.wasIncoming})
			continue
		}
		last := i
		for last+1 < len(g.circuits) && (last+1)%isup.CircuitsPerMultiplex != 0 && g.circuits[last+1].state == Resetting &&
			now >= g.circuits[last+1].repeatAt {
			last++
			g.scheduleRepeat(now, last)
		}
		if last == i {
			due = append(due, DueMessage{Type: isup.RSC, CIC: code(i)})
		} else {
			due = append(due, DueMessage{Type: isup.GRS, CIC: code(i), Range: uint8(last - i)})
		}
		i = last
	}
	return due
}

// scheduleRepeat schedules the next repetition for a circuit.
func (g *Group) scheduleRepeat(now policy.Tenths, i int) {
	c := &g.circuits[i]
	c.repeatAt = now + min(maxRepeatInterval, initialRepeatInterval<<min(c.repeats, 10))
	c.repeats++
}

// checkInvariants verifies the invariants of the group, for tests.
func (g *Group) checkInvariants() error {
	free, unblocked := 0, 0
	for i, c := range g.circuits {
		if !c.blocked {
			unblocked++
			if c.state == Idle {
				free++
			}
		}
		busy := c.state == Seized || c.state == Outgoing || c.state == Incoming
		if busy != (c.call != NoCall) && c.state != Releasing && c.state != Resetting {
			return fmt.Errorf("circuit %d in state %d holds call %d", code(i), c.state, c.call)
		}
	}
	if free != g.free || unblocked != g.unblocked {
		return fmt.Errorf("counted %d free of %d circuits, expected %d of %d", free, unblocked, g.free, g.unblocked)
	}
	return nil
}
