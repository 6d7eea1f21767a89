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
	SettingUp   Phase = iota // offered to the decision module, not answered yet
	Established              // answered and not released
)

// Place is one side of a call: circuits of the group to a neighbour, or a line. It is written as JSON under its field names.
type Place struct {
	Trunk  bool
	Number int    // exchange number of the neighbour (trunk)
	Point  uint16 // point code of the block of lines (line)
	CIC    uint16
	Slots  uint32 // circuits of a call over several of them, a bit each within the multiplex of CIC; 0: CIC alone
}

// StoredCall is one call as the ledger stores it. It is written as JSON under its field names.
type StoredCall struct {
	ID      uint32
	Phase   Phase
	In, Out Place // Out only once it is established
	Ref     isup.Reference
	Transit bool
	Since   int64 // when it entered this phase
	Until   int64 // when its caller abandons it, during set-up
}

// Process is what the ledger stores of the process that wrote it, besides its calls.
type Process struct {
	SiteDigest     uint64         // digest that identifies the exchange: calls of another one are discarded
	LastHeartbeat  int64          // last heartbeat
	OwnIncarnation string         // incarnation of the own switch
	Incarnations   map[int]string // incarnations of the neighbours' switches
}

// Outcome is what happens to a stored call.
type Outcome uint8

const (
	Continue     Outcome = iota // the call continues while its circuits are queried
	AnswerFailed                // its caller still waits and is told once that it failed
	Discard                     // nothing is sent to its caller, who has abandoned it or cannot be reached
	Release                     // it was established and cannot continue: what remains of it is released
)

func (f Outcome) String() string {
	return [...]string{"still established", "answered as failed", "forgotten", "cut"}[f]
}

// Decision is the decision on one stored call, with the reason if the call does not continue.
type Decision struct {
	StoredCall
	Outcome Outcome
	Reason  string
}

const (
	believed  = int64(6 * 3600 * 10000) // tenths; after a longer downtime callers have hung up
	clockSlip = int64(5 * 10000)        // tenths; tolerated clock adjustment over a restart
	wayBack   = int64(300)              // tenths; time an answer takes to reach its caller
)

// Settings describes the exchange as it is configured now.
type Settings struct {
	SiteDigest uint64
	Circuits   map[int]int             // circuits of the group to each neighbour, by exchange number
	HasLines   func(point uint16) bool // whether a point code is a block of lines
}

// Decide decides what happens to each stored call, in the order of their IDs. If two calls claim a circuit, the one that entered
// its phase later holds it and the other is released, since a circuit is reused only when its call is over.
func Decide(now int64, life Process, kept []StoredCall, s Settings) []Decision {
	all := make([]Decision, 0, len(kept))
	for _, k := range kept {
		all = append(all, Decision{StoredCall: k})
	}
	slices.SortStableFunc(all, func(a, b Decision) int { return cmp.Compare(a.ID, b.ID) })
	holder := map[Place]int{}
	for i := range all {
		v := &all[i]
		v.Outcome, v.Reason = one(now, life, v.StoredCall, s)
		if v.Outcome != Continue {
			continue
		}
		for _, p := range []Place{v.In, v.Out} {
			for _, at := range spread(p) {
				j, taken := holder[at]
				switch {
				case !taken || all[j].Outcome != Continue:
					holder[at] = i
				case all[j].Since <= v.Since:
					all[j].Outcome, all[j].Reason = Release, "its circuit was kept for a later call"
					holder[at] = i
				default:
					v.Outcome, v.Reason = Release, "its circuit was kept for a later call"
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
	for s := range uint16(isup.CircuitsPerMultiplex) {
		if p.Slots&(1<<s) != 0 {
			all = append(all, Place{Trunk: true, Number: p.Number, CIC: p.CIC/32*32 + s + 1})
		}
	}
	return all
}

// one decides on a single call.
func one(now int64, life Process, k StoredCall, s Settings) (Outcome, string) {
	dead := now - life.LastHeartbeat
	switch {
	case life.SiteDigest != s.SiteDigest:
		return Discard, "the ledger belongs to another exchange"
	case dead > believed:
		return Discard, "the ledger is too old"
	case k.Phase == SettingUp && (k.Since > now+clockSlip || dead < -clockSlip):
		return Discard, "the clock was set back: whether the caller still waits is unknown"
	case k.Phase == SettingUp && now >= k.Until-wayBack:
		return Discard, "the caller has abandoned the call"
	case k.Phase == SettingUp && !fits(k.In, s):
		return Discard, "the caller's side is no longer in the settings"
	case k.Phase == SettingUp:
		return AnswerFailed, "the set-up ended with the previous process"
	case k.Phase != Established:
		return Discard, "the phase is unknown"
	case !fits(k.In, s) || !fits(k.Out, s):
		return Release, "a circuit or line of the call is no longer in the settings"
	}
	return Continue, ""
}

// fits reports whether a place exists in the settings.
func fits(p Place, s Settings) bool {
	if !p.Trunk {
		return s.HasLines(p.Point)
	}
	size := s.Circuits[p.Number]
	for _, at := range spread(p) {
		if i := int(at.CIC)/32*isup.CircuitsPerMultiplex + int(at.CIC)%32 - 1; at.CIC%32 == 0 || i >= size {
			return false
		}
	}
	return true
}

// LocalState is the state of a circuit at this exchange.
type LocalState uint8

const (
	Idle     LocalState = iota
	Incoming            // carries a call from the neighbour
	Outgoing            // carries a call to the neighbour
	Clearing            // this exchange is releasing or resetting it
)

// Action is what to do about one circuit after the neighbour has reported its state (CQR).
type Action uint8

const (
	NoAction     Action = iota
	DropCall            // the neighbour released it during the downtime: the call here is over and nothing is sent
	ResetCircuit        // the neighbour has a call that is unknown here, or in the other direction: reset at both ends (RSC)
	QueryAgain          // the neighbour is releasing or resetting it
)

// CompareStates decides from the state of a circuit here and at the neighbour. If the neighbour reports idle, the call here is over,
// since a call needs both ends. If the two ends claim different calls, neither wins: no end can know which call the other means,
// and a reset frees the circuit at both. This ends: after a reset both ends are idle and agree, and a transient state is queried
// again until the neighbour's release is done.
func CompareStates(ours LocalState, theirs byte) Action {
	switch {
	case ours == Clearing:
		return NoAction // the release or reset settles it
	case theirs&isup.CallProcessingMask == 0: // transient, or not equipped
		if theirs&3 == isup.Unequipped {
			if ours == Idle {
				return NoAction
			}
			return DropCall
		}
		return QueryAgain
	case theirs&isup.CallProcessingMask == isup.CircuitIdle:
		if ours == Idle {
			return NoAction
		}
		return DropCall
	case theirs&isup.CallProcessingMask == isup.IncomingBusy && ours == Outgoing, theirs&isup.CallProcessingMask == isup.OutgoingBusy && ours == Incoming:
		return NoAction
	}
	return ResetCircuit
}

// ColdSwitchHoldEnd returns the time before which a controller that has just started sends nothing to a cold switch. The previous process
// may have used the whole slow-start budget of the window, and that is not stored.
func ColdSwitchHoldEnd(started policy.Tenths, d policy.Deployment) policy.Tenths {
	return started + d.OverloadWindow
}

// FirstAuditTime returns when a controller that has just started queries a neighbour about its circuits. Each controller spreads its
// queries by the neighbour's place in its list, so that no processor gets all queries at once when ninety controllers start
// together.
func FirstAuditTime(started policy.Tenths, own, place, neighbours int) policy.Tenths {
	const each = policy.Tenths(100)
	if neighbours == 0 {
		return started
	}
	return started + each*policy.Tenths((place+own)%neighbours)
}
