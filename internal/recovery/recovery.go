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

// Phases of a stored call.
const (
	SettingUp   Phase = iota // offered to the decider, not answered yet
	Established              // answered and not released
)

// Leg is one side of a call: circuits of the group to a neighbour, or a line. It is written as JSON under its field names.
type Leg struct {
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
	In, Out Leg // Out only once it is established
	Ref     isup.Reference
	Transit bool
	Since   int64 // when it entered this phase
	Until   int64 // when its caller abandons it, during set-up
}

// Process is what the ledger stores of the process that wrote it, besides its calls.
type Process struct {
	SiteDigest     uint64         // digest that identifies the exchange: calls of another one are discarded
	LastHeartbeat  int64          // time of the last heartbeat
	OwnIncarnation string         // of the own switch
	Incarnations   map[int]string // of the neighbours' switches, by exchange number
}

// Outcome is what happens to a stored call.
type Outcome uint8

// Outcomes of a stored call.
const (
	Continue     Outcome = iota // the call continues while its circuits are queried
	AnswerFailed                // its caller still waits and is told once that it failed
	Discard                     // nothing is sent to its caller, who has abandoned it or cannot be reached
	Release                     // it was established and cannot continue: what remains of it is released
)

// String returns the outcome as logs and reports show it.
func (o Outcome) String() string {
	return [...]string{"still established", "answered as failed", "forgotten", "cut"}[o]
}

// Decision is a stored call with its outcome, and the reason if it does not continue.
type Decision struct {
	StoredCall
	Outcome Outcome
	Reason  string
}

const (
	maxDowntime    = int64(6 * 3600 * 10000) // tenths; after a longer downtime callers have hung up
	clockTolerance = int64(5 * 10000)        // tenths; tolerated clock adjustment over a restart
	answerDelay    = int64(300)              // tenths; time an answer takes to reach its caller
)

// Settings describes the exchange as it is configured now.
type Settings struct {
	SiteDigest uint64
	Circuits   map[int]int             // circuits of the group to each neighbour, by exchange number
	HasLines   func(point uint16) bool // whether a point code is a block of lines
}

// Decide decides what happens to each stored call, in the order of their IDs. If two calls claim a circuit, the one that entered
// its phase later holds it and the other is released, since a circuit is reused only when its call is over.
func Decide(now int64, process Process, stored []StoredCall, settings Settings) []Decision {
	decisions := make([]Decision, 0, len(stored))
	for _, call := range stored {
		decisions = append(decisions, Decision{StoredCall: call})
	}
	slices.SortStableFunc(decisions, func(a, b Decision) int { return cmp.Compare(a.ID, b.ID) })
	holders := map[Leg]int{}
	for i := range decisions {
		decision := &decisions[i]
		decision.Outcome, decision.Reason = decideOne(now, process, decision.StoredCall, settings)
		if decision.Outcome != Continue {
			continue
		}
		for _, leg := range []Leg{decision.In, decision.Out} {
			for _, circuit := range singleCircuits(leg) {
				j, taken := holders[circuit]
				switch {
				case !taken || decisions[j].Outcome != Continue:
					holders[circuit] = i
				case decisions[j].Since <= decision.Since:
					decisions[j].Outcome, decisions[j].Reason = Release, "a later call holds its circuit"
					holders[circuit] = i
				default:
					decision.Outcome, decision.Reason = Release, "a later call holds its circuit"
				}
			}
		}
	}
	return decisions
}

// singleCircuits splits a leg into legs of one circuit each. A line is a single leg.
func singleCircuits(leg Leg) []Leg {
	if !leg.Trunk || leg.Slots == 0 {
		return []Leg{{Trunk: leg.Trunk, Number: leg.Number, Point: leg.Point, CIC: leg.CIC}}
	}
	var circuits []Leg
	for slot := range uint16(isup.CircuitsPerMultiplex) {
		if leg.Slots&(1<<slot) != 0 {
			circuits = append(circuits, Leg{Trunk: true, Number: leg.Number, CIC: leg.CIC/32*32 + slot + 1})
		}
	}
	return circuits
}

// decideOne decides on a single call.
func decideOne(now int64, process Process, call StoredCall, settings Settings) (Outcome, string) {
	downtime := now - process.LastHeartbeat
	switch {
	case process.SiteDigest != settings.SiteDigest:
		return Discard, "the ledger belongs to another exchange"
	case downtime > maxDowntime:
		return Discard, "the ledger is too old"
	case call.Phase == SettingUp && (call.Since > now+clockTolerance || downtime < -clockTolerance):
		return Discard, "the clock was set back: whether the caller still waits is unknown"
	case call.Phase == SettingUp && now >= call.Until-answerDelay:
		return Discard, "the caller has abandoned the call"
	case call.Phase == SettingUp && !isConfigured(call.In, settings):
		return Discard, "the caller's side is no longer in the settings"
	case call.Phase == SettingUp:
		return AnswerFailed, "the set-up ended with the previous process"
	case call.Phase != Established:
		return Discard, "the phase is unknown"
	case !isConfigured(call.In, settings) || !isConfigured(call.Out, settings):
		return Release, "a circuit or line of the call is no longer in the settings"
	}
	return Continue, ""
}

// isConfigured reports whether a leg exists in the settings.
func isConfigured(leg Leg, settings Settings) bool {
	if !leg.Trunk {
		return settings.HasLines(leg.Point)
	}
	size := settings.Circuits[leg.Number]
	for _, circuit := range singleCircuits(leg) {
		if i := int(circuit.CIC)/32*isup.CircuitsPerMultiplex + int(circuit.CIC)%32 - 1; circuit.CIC%32 == 0 || i >= size {
			return false
		}
	}
	return true
}

// LocalState is the state of a circuit at this exchange.
type LocalState uint8

// States of a circuit at this exchange.
const (
	Idle     LocalState = iota
	Incoming            // carries a call from the neighbour
	Outgoing            // carries a call to the neighbour
	Clearing            // this exchange is releasing or resetting it
)

// Action is what to do about one circuit after the neighbour has reported its state (CQR).
type Action uint8

// Actions after a circuit query.
const (
	NoAction     Action = iota
	DropCall            // the neighbour released it during the downtime: the call here is over and nothing is sent
	ResetCircuit        // the neighbour has a call that is unknown here, or in the other direction: reset at both ends (RSC)
	QueryAgain          // the neighbour is releasing or resetting it
)

// CompareStates decides what to do from the state of a circuit here and at the neighbour. If the neighbour reports idle, the
// call here is over, since a call needs both ends. If the two ends claim different calls, neither wins: no end can know which
// call the other means, and a reset frees the circuit at both. The comparison converges: after a reset both ends are idle and
// agree, and a transient state is queried again until the neighbour's release is done.
func CompareStates(local LocalState, remote byte) Action {
	switch {
	case local == Clearing:
		return NoAction // the release or reset settles it
	case remote&isup.CallProcessingMask == 0: // transient, or not equipped
		if remote&3 == isup.Unequipped {
			if local == Idle {
				return NoAction
			}
			return DropCall
		}
		return QueryAgain
	case remote&isup.CallProcessingMask == isup.CircuitIdle:
		if local == Idle {
			return NoAction
		}
		return DropCall
	case remote&isup.CallProcessingMask == isup.IncomingBusy && local == Outgoing, remote&isup.CallProcessingMask == isup.OutgoingBusy && local == Incoming:
		return NoAction
	}
	return ResetCircuit
}

// ColdSwitchHoldEnd returns the time before which a controller that has just started sends nothing to a cold switch. The
// previous process may have used the whole slow-start budget of the window, and that is not stored.
func ColdSwitchHoldEnd(startTime policy.Tenths, deployment policy.Deployment) policy.Tenths {
	return startTime + deployment.OverloadWindow
}

// FirstAuditTime returns when a controller that has just started queries a neighbour about its circuits. Each controller
// spreads its queries by the neighbour's index in its list, so that no processor gets all queries at once when ninety
// controllers start together.
func FirstAuditTime(startTime policy.Tenths, own, index, neighbours int) policy.Tenths {
	const spacing = policy.Tenths(100)
	if neighbours == 0 {
		return startTime
	}
	return startTime + spacing*policy.Tenths((index+own)%neighbours)
}
