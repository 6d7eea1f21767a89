// Package circuit keeps the states of the circuits between this exchange and one neighbour, by the procedures of ITU-T
// Q.764: which circuit a call takes, who keeps one that both ends seized at once, and when a release or reset that was
// not answered is sent again. It is pure: told the time and what arrived, it says what follows. internal/exchange calls
// it and sends what it asks for; it never sees a link or a message's octets.
package circuit

import (
	"fmt"
	"math/bits"

	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// State of one circuit. set is the one place that changes it.
//
//	Idle      -> Seized (ours), Incoming (theirs), Resetting
//	Seized    -> Outgoing (a backward message), Incoming (we yield), Releasing, Idle, Resetting
//	Outgoing  -> Releasing, Idle, Resetting
//	Incoming  -> Releasing, Idle, Resetting
//	Releasing -> Idle (RLC), Incoming (their next call overtook the RLC), Resetting (no RLC for long)
//	Resetting -> Idle (RLC, GRA)
type State uint8

const (
	Idle State = iota
	Seized
	Outgoing
	Incoming
	Releasing
	Resetting
)

const (
	repeatFirst = policy.Tenths(10000) // a release or reset not answered is sent again after this; it doubles
	repeatMost  = policy.Tenths(80000)
	releaseMost = 4 // releases sent in vain before the circuit is reset (Q.764 2.9.6: T5)

	// settle keeps this exchange from seizing a circuit that the other end's release just cleared: the release's
	// answer takes another way than the next set-up, and would be overtaken by it.
	settle = policy.Tenths(3000)

	// A call of ours that yields its circuits to one of theirs may lie in a queue of their switch still, and may come out of it after
	// their call has ended: taken then, it was set up twice over, as we sent it on other circuits. So the end of their call tells them
	// of it (Yielded); what comes on its circuits within crossing is passed over there, and we do not seize them for yieldSettle.
	crossing    = policy.Tenths(20000)
	yieldSettle = policy.Tenths(25000)
)

// None is the call number that no call has.
const None = 0

type circuit struct {
	state   State
	blocked bool // by the far end: no new call
	heard   bool // the far end knew of the call that is being released
	theirs  bool // the call that is being released was the far end's
	unsure  bool // its call was kept from the program's life before: the far end is asked whether it still stands
	call    uint32
	lead    int // index of the circuit whose code the call's set-up named
	idleAt  policy.Tenths
	settled policy.Tenths // not seized by us before
	crossed policy.Tenths // a set-up of theirs that comes before was sent before they had ours
	yielded bool          // its call of theirs took it from one of ours
	dueAt   policy.Tenths // next repeat (Releasing, Resetting)
	repeats int
}

// Bundle is what one call holds in a group: the circuit its messages name, and the slots of a multirate call.
type Bundle struct {
	CIC   uint16
	Slots uint32 // 0 for a single circuit
}

// Group is all circuits to one neighbour.
type Group struct {
	own, peer uint16 // point codes
	circuits  []circuit
	free      int // idle and not blocked
	open      int // not blocked
}

// New makes a group of that many circuits, every one idle. Both ends must make it alike.
func New(own, peer uint16, size int) *Group {
	return &Group{own: own, peer: peer, circuits: make([]circuit, size), free: size, open: size}
}

// MostCircuits is the largest group that circuit codes of 12 bits can name.
const MostCircuits = (isup.CICMost + 1) / 32 * isup.PerMultiplex

// code is the circuit identification code of the circuit at an index: slot 0 of each multiplex is not used.
func code(i int) uint16 { return uint16(i/isup.PerMultiplex*32 + i%isup.PerMultiplex + 1) }

// multiplex is the range of indices in which a call that holds circuit i has all of its circuits.
func (g *Group) multiplex(i int) (from, to int) {
	from = i - i%isup.PerMultiplex
	return from, min(from+isup.PerMultiplex, len(g.circuits))
}

func (g *Group) index(cic uint16) (int, bool) {
	i := int(cic)/32*isup.PerMultiplex + int(cic)%32 - 1
	return i, cic%32 != 0 && i < len(g.circuits)
}

// Free is how many circuits could be seized, Size how many are not blocked.
func (g *Group) Free() int { return g.free }
func (g *Group) Size() int { return g.open }

// State tells how the circuit named stands and which call holds it; false when the group has no such circuit.
func (g *Group) State(cic uint16) (State, uint32, bool) {
	i, ok := g.index(cic)
	if !ok {
		return Idle, None, false
	}
	return g.circuits[i].state, g.circuits[i].call, true
}

// controls tells whether this exchange keeps the circuit when both seize it: the one with the higher point code
// controls the even circuit codes, the other the odd ones (Q.764, 2.9.1.4).
func (g *Group) controls(cic uint16) bool { return (g.own > g.peer) == (cic%2 == 0) }

// set is the one place where a circuit changes its state.
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

// Seize takes circuits for a call of ours. Among the circuits this exchange controls it takes the one longest idle,
// then among the others the one idle for the shortest time (Q.764, 2.9.1.3, method 2), so that the two ends meet late.
// A multirate call takes slots of one multiplex.
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

func (g *Group) fit(now policy.Tenths, i int) bool {
	c := &g.circuits[i]
	return c.state == Idle && !c.blocked && now >= c.settled
}

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

// Verdict is what follows from a set-up that arrived.
type Verdict uint8

const (
	Taken   Verdict = iota // the circuits are theirs now
	Ours                   // seized by both, ours stands: pass over their set-up
	NotIdle                // a release or reset is under way: pass over it
	Unknown                // the group has no such circuits: a fault of the far end
)

// Arrived takes the far end's set-up. yielded are calls of ours that lost their circuits to it and may be tried again
// on others; nothing is sent for those circuits. gone are calls of theirs that held circuits asked for: what they send
// for calls of theirs keeps its order, so that the release of those was lost.
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
			if !c.heard { // their set-up may have crossed ours, so that our release will end it there
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
		// Their set-up tells that they took our release of the call before; all its circuits are idle, not these
		// alone, else the rest of a multirate call is held for ever.
		g.held(now, code(i), Idle, Releasing)
		g.set(now, i, Incoming, call, taken[0])
	}
	for _, i := range given {
		g.circuits[i].yielded = true
	}
	return Taken, yielded, gone
}

// Yielded tells whether the call on a circuit took it from one of ours: its end must say so. Crossed takes that word, from the end
// of a call of ours.
func (g *Group) Yielded(cic uint16) bool {
	found := false
	g.bundle(cic, func(c *circuit) { found = found || c.yielded })
	return found
}
func (g *Group) Crossed(now policy.Tenths, cic uint16) {
	g.bundle(cic, func(c *circuit) { c.crossed = now + crossing })
}

// bundle does something with each circuit that the call on a circuit holds.
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

// keeps settles a dual seizure of circuit i, that a call of ours holds and their call asks for with others: the call
// with more circuits stands, as it is the harder to place again; among equals, the exchange that controls the lowest
// circuit both ask for. Both ends see the same two set-ups and so agree.
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

// members lists the circuits of a bundle in rising order.
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

// Answered tells that a backward message came for a call of ours: the far end knows it.
func (g *Group) Answered(now policy.Tenths, cic uint16) { g.held(now, cic, Outgoing, Seized) }

// Keep has circuits carry a call that stood in the program's life before, until the far end says otherwise. False: the group has
// no such circuits, or they are taken.
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

// ResetRest puts every circuit into resetting that carries no kept call: what the far end holds there is not known.
func (g *Group) ResetRest(now policy.Tenths) {
	for i := range g.circuits {
		if c := &g.circuits[i]; !c.unsure {
			g.set(now, i, Resetting, None, i)
			c.dueAt = now
		}
	}
}

// Indicator is the circuit state that a CQR tells (Q.763, 3.14).
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

// Unsure tells whether the far end is still to be asked about a circuit; Sure that it agrees.
func (g *Group) Unsure(cic uint16) bool {
	i, ok := g.index(cic)
	return ok && g.circuits[i].unsure
}
func (g *Group) Sure(cic uint16) {
	if i, ok := g.index(cic); ok {
		g.circuits[i].unsure = false
	}
}

// UnsureCount counts the circuits that the far end has not agreed on yet.
func (g *Group) UnsureCount() (n int) {
	for i := range g.circuits {
		if g.circuits[i].unsure {
			n++
		}
	}
	return n
}

// Drop ends what a circuit and the others of its call hold, as the far end does not know of it: idle at once, or, with reset, once
// the far end has answered a reset. It returns the call.
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

// Release tells that a release was sent for the call on a circuit: its answer is awaited.
func (g *Group) Release(now policy.Tenths, cic uint16) {
	g.held(now, cic, Releasing, Seized, Outgoing, Incoming)
}

// Cleared tells that the far end answered our release or reset, or that we answer its release. settling is set in the
// latter case: we do not seize the circuit for a moment.
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

// held changes the state of all circuits that the call on a circuit holds, if they are in one of the states given.
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

// Reset puts every circuit into resetting: their state at the far end is not known. It returns the calls that held
// some.
func (g *Group) Reset(now policy.Tenths) []uint32 {
	var lost []uint32
	for i := range g.circuits {
		c := &g.circuits[i]
		if c.call != None && c.lead == i && c.state != Releasing {
			lost = append(lost, c.call)
		}
		g.set(now, i, Resetting, None, i)
		c.dueAt = now // sent by the next Due
	}
	return lost
}

// WasReset tells that the far end reset the circuits from cic on, count of them: they are idle now, and blocked ones
// are open. It returns the calls that held some, and false when the group has no such circuits.
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
		} else { // a reset of ours is still to be answered; the far end is alive, so it is sent again at once
			c.dueAt = now
		}
		g.Block(code(j), false)
	}
	return lost, true
}

// ResetDone tells that the far end answered a group reset.
func (g *Group) ResetDone(now policy.Tenths, cic uint16, count int) {
	for j := range count {
		if i, ok := g.index(cic + uint16(j)); ok && g.circuits[i].state == Resetting {
			g.set(now, i, Idle, None, i)
		}
	}
}

// Block marks a circuit as blocked by the far end, or open again; a call on it goes on.
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

// Repeat is a message that is due again.
type Repeat struct {
	Type  isup.Type // REL, RSC, GRS or CQM
	CIC   uint16
	Range uint8 // GRS, CQM
	// Theirs tells that the call released was the far end's: its release goes back the way its set-up came.
	Theirs bool
}

// Due lists what must be sent (again) now. Circuits of one multiplex that are all to be reset share a GRS; a release
// never answered becomes a reset.
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

func (g *Group) again(now policy.Tenths, i int) {
	c := &g.circuits[i]
	c.dueAt = now + min(repeatMost, repeatFirst<<min(c.repeats, 10))
	c.repeats++
}

// check is what must hold after every step; the tests call it.
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
		return fmt.Errorf("free %d of %d counted, %d of %d kept", free, open, g.free, g.open)
	}
	return nil
}
