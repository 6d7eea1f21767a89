// Package recovery decides what happens to calls and circuits when a controller restarts. It decides from the calls that the
// previous process stored, the states that neighbours report for their circuits, and the time. It is pure: internal/exchange
// carries out its decisions and internal/ledger stores the calls. Timestamps are tenths of a millisecond since 1970, because only
// the wall clock survives a restart.
package recovery

import (
	"cmp"
	"slices"

	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// Phase is the state of a stored call.
type Phase uint8

const (
	Asked    Phase = iota // offered to the decision module, not answered yet
	Standing              // answered and not released
)

// Place is one side of a call: circuits of the group to a neighbour, or a line. It is written as JSON under its field names.
type Place struct {
	Trunk  bool
	Number int    // exchange number of the neighbour (trunk)
	Point  uint16 // point code of the block of lines (line)
	CIC    uint16
	Slots  uint32 // circuits of a call over several of them, a bit each within the multiplex of CIC; 0: CIC alone
}

// Kept is one call as the ledger stores it. It is written as JSON under its field names.
type Kept struct {
	ID      uint32
	Phase   Phase
	In, Out Place // Out only once it is established
	Ref     isup.Reference
	Transit bool
	Since   int64 // when it entered this phase
	Until   int64 // when its caller abandons it, during set-up
}

// Life is what the ledger stores of the process that wrote it, besides its calls.
type Life struct {
	Site  uint64         // digest that identifies the exchange: calls of another one are discarded
	Alive int64          // last heartbeat
	Own   string         // incarnation of the own switch
	Far   map[int]string // incarnations of the neighbours' switches
}

// Fate is what happens to a stored call.
type Fate uint8

const (
	StandsOn   Fate = iota // the call continues while its circuits are queried
	AnswerFail             // its caller still waits and is told once that it failed
	Forget                 // nothing is sent to its caller, who has abandoned it or cannot be reached
	Cut                    // it was established and cannot continue: what remains of it is released
)

func (f Fate) String() string {
	return [...]string{"still established", "answered as failed", "forgotten", "cut"}[f]
}

// Verdict is the decision on one stored call, with the reason if the call does not continue.
type Verdict struct {
	Kept
	Fate Fate
	Why  string
}

const (
	believed  = int64(6 * 3600 * 10000) // tenths; after a longer downtime callers have hung up
	clockSlip = int64(5 * 10000)        // tenths; tolerated clock adjustment over a restart
	wayBack   = int64(300)              // tenths; time an answer takes to reach its caller
)

// Sites describes the exchange as it is configured now.
type Sites struct {
	Digest   uint64
	Circuits map[int]int             // circuits of the group to each neighbour, by exchange number
	Lines    func(point uint16) bool // whether a point code is a block of lines
}

// Judge decides what happens to each stored call, in the order of their IDs. If two calls claim a circuit, the one that entered
// its phase later holds it and the other is released, since a circuit is reused only when its call is over.
func Judge(now int64, life Life, kept []Kept, s Sites) []Verdict {
	all := make([]Verdict, 0, len(kept))
	for _, k := range kept {
		all = append(all, Verdict{Kept: k})
	}
	slices.SortStableFunc(all, func(a, b Verdict) int { return cmp.Compare(a.ID, b.ID) })
	holder := map[Place]int{}
	for i := range all {
		v := &all[i]
		v.Fate, v.Why = one(now, life, v.Kept, s)
		if v.Fate != StandsOn {
			continue
		}
		for _, p := range []Place{v.In, v.Out} {
			for _, at := range spread(p) {
				j, taken := holder[at]
				switch {
				case !taken || all[j].Fate != StandsOn:
					holder[at] = i
				case all[j].Since <= v.Since:
					all[j].Fate, all[j].Why = Cut, "its circuit was kept for a later call"
					holder[at] = i
				default:
					v.Fate, v.Why = Cut, "its circuit was kept for a later call"
				}
			}
		}
	}
	return all
}

// spread lists the single circuits of a place, or its line.
func spread(p Place) []Place {
	if !p.Trunk || p.Slots == 0 {
		return []Place{{Trunk: p.Trunk, Number: p.Number, Point: p.Point, CIC: p.CIC}}
	}
	var all []Place
	for s := range uint16(isup.PerMultiplex) {
		if p.Slots&(1<<s) != 0 {
			all = append(all, Place{Trunk: true, Number: p.Number, CIC: p.CIC/32*32 + s + 1})
		}
	}
	return all
}

// one decides on a single call.
func one(now int64, life Life, k Kept, s Sites) (Fate, string) {
	dead := now - life.Alive
	switch {
	case life.Site != s.Digest:
		return Forget, "the ledger belongs to another exchange"
	case dead > believed:
		return Forget, "the ledger is too old"
	case k.Phase == Asked && (k.Since > now+clockSlip || dead < -clockSlip):
		return Forget, "the clock was set back: whether the caller still waits is unknown"
	case k.Phase == Asked && now >= k.Until-wayBack:
		return Forget, "the caller has abandoned the call"
	case k.Phase == Asked && !fits(k.In, s):
		return Forget, "the caller's side is no longer in the settings"
	case k.Phase == Asked:
		return AnswerFail, "the set-up ended with the previous process"
	case k.Phase != Standing:
		return Forget, "the phase is unknown"
	case !fits(k.In, s) || !fits(k.Out, s):
		return Cut, "a circuit or line of the call is no longer in the settings"
	}
	return StandsOn, ""
}

// fits reports whether a place exists in the settings.
func fits(p Place, s Sites) bool {
	if !p.Trunk {
		return s.Lines(p.Point)
	}
	size := s.Circuits[p.Number]
	for _, at := range spread(p) {
		if i := int(at.CIC)/32*isup.PerMultiplex + int(at.CIC)%32 - 1; at.CIC%32 == 0 || i >= size {
			return false
		}
	}
	return true
}

// Ours is the state of a circuit at this exchange.
type Ours uint8

const (
	Free     Ours = iota
	Incoming      // carries a call from the neighbour
	Outgoing      // carries a call to the neighbour
	Under         // this exchange is releasing or resetting it
)

// Step is what to do about one circuit after the neighbour has reported its state (CQR).
type Step uint8

const (
	Agreed    Step = iota
	DropOurs       // the neighbour released it during the downtime: the call here is over and nothing is sent
	ResetBoth      // the neighbour has a call that is unknown here, or in the other direction: reset at both ends (RSC)
	AskLater       // the neighbour is releasing or resetting it
)

// Compare decides from the state of a circuit here and at the neighbour. If the neighbour reports idle, the call here is over,
// since a call needs both ends. If the two ends claim different calls, neither wins: no end can know which call the other means,
// and a reset frees the circuit at both. This ends: after a reset both ends are idle and agree, and a transient state is queried
// again until the neighbour's release is done.
func Compare(ours Ours, theirs byte) Step {
	switch {
	case ours == Under:
		return Agreed // the release or reset settles it
	case theirs&isup.Processing == 0: // transient, or not equipped
		if theirs&3 == isup.Unequipped {
			if ours == Free {
				return Agreed
			}
			return DropOurs
		}
		return AskLater
	case theirs&isup.Processing == isup.CircuitIdle:
		if ours == Free {
			return Agreed
		}
		return DropOurs
	case theirs&isup.Processing == isup.IncomingBusy && ours == Outgoing, theirs&isup.Processing == isup.OutgoingBusy && ours == Incoming:
		return Agreed
	}
	return ResetBoth
}

// ColdUntil returns the time before which a controller that has just started sends nothing to a cold switch. The previous process
// may have used the whole slow-start budget of the window, and that is not stored.
func ColdUntil(started policy.Tenths, d policy.Deployment) policy.Tenths {
	return started + d.OverloadWindow
}

// AuditAt returns when a controller that has just started queries a neighbour about its circuits. Each controller spreads its
// queries by the neighbour's place in its list, so that no processor gets all queries at once when ninety controllers start
// together.
func AuditAt(started policy.Tenths, own, place, neighbours int) policy.Tenths {
	const each = policy.Tenths(100)
	if neighbours == 0 {
		return started
	}
	return started + each*policy.Tenths((place+own)%neighbours)
}
