// Package membership validates the lists of switches from the register before the decider sees them: it detects
// stale, truncated and contradictory lists, and works out when each switch started. It is pure. An invalid list is rejected as
// a whole, with the reason, and the previous one stays in force. What a valid list says about draining or missing switches
// takes effect at once.
package membership

import (
	"fmt"

	"indigodrift/policy"
)

// Entry is the register's entry for one switch. It is encoded as JSON under its field names.
type Entry struct {
	ID          uint32
	Number      int           // the exchange it serves
	Incarnation uint64        `json:"Life"`  // number of its starts
	Uptime      policy.Tenths `json:"UpFor"` // time since its last start, estimated by the register when it writes
	Ready       bool
	Draining    bool
}

// List is a full list of switches or a change to one. It is encoded as JSON under its field names.
type List struct {
	Epoch   uint64  // incarnation of the register
	Version uint64  // increases within an epoch
	Full    bool    `json:"Whole"` // otherwise only what changed since the previous version
	Count   int     // number of entries that the register sent, to detect truncation
	Entries []Entry `json:"Lines"`
}

// switchState is what a view holds of one switch.
type switchState struct {
	entry     Entry
	startTime policy.Tenths
}

// View is the list of switches that a controller has in force.
type View struct {
	exchanges int
	epoch     uint64
	version   uint64
	hasList   bool // whether a list has been accepted
	switches  map[uint32]switchState
}

// NewView creates an empty view of a network with a number of exchanges, numbered from 0.
func NewView(exchanges int) *View {
	return &View{exchanges: exchanges, switches: map[uint32]switchState{}}
}

// Version returns the version in force.
func (v *View) Version() uint64 { return v.version }

// Verdict is the result of validating a list.
type Verdict uint8

// Results of validating a list.
const (
	Accepted Verdict = iota
	Stale            // stale or repeated: ignored
	Rejected         // invalid: the full list should be requested
)

// Apply validates a list and, if it is accepted, puts it in force and returns the switches to report to the decider.
// The remarks describe, for the log, what is wrong with the list or with single entries.
func (v *View) Apply(now policy.Tenths, list List) (verdict Verdict, switches []policy.Switch, remarks []string) {
	switch {
	case len(list.Entries) != list.Count:
		return Rejected, nil, []string{fmt.Sprintf("list %d has %d entries, announced are %d", list.Version, len(list.Entries), list.Count)}
	case v.hasList && list.Epoch == v.epoch && list.Version <= v.version:
		return Stale, nil, nil
	case !list.Full && (!v.hasList || list.Epoch != v.epoch || list.Version != v.version+1):
		return Rejected, nil, []string{fmt.Sprintf("change %d does not follow version %d", list.Version, v.version)}
	}
	merged := map[uint32]Entry{}
	var order []uint32
	for _, entry := range list.Entries {
		if entry.Number < 0 || entry.Number >= v.exchanges {
			remarks = append(remarks, fmt.Sprintf("switch %d serves unknown exchange %d", entry.ID, entry.Number))
			continue
		}
		if previous, ok := v.switches[entry.ID]; ok && list.Epoch == v.epoch && entry.Incarnation < previous.entry.Incarnation {
			remarks = append(remarks, fmt.Sprintf("switch %d has incarnation %d after incarnation %d", entry.ID, entry.Incarnation, previous.entry.Incarnation))
			// One of the two is wrong: no new calls until a list resolves it.
			entry.Incarnation, entry.Ready = previous.entry.Incarnation, false
		}
		if other, duplicate := merged[entry.ID]; duplicate {
			if other != entry {
				remarks = append(remarks, fmt.Sprintf("switch %d is listed twice with different values", entry.ID))
			}
			entry.Ready = entry.Ready && other.Ready
			entry.Draining = entry.Draining || other.Draining
			entry.Incarnation = max(entry.Incarnation, other.Incarnation)
		} else {
			order = append(order, entry.ID)
		}
		entry.Ready = entry.Ready && !entry.Draining
		merged[entry.ID] = entry
	}
	states := map[uint32]switchState{}
	if !list.Full {
		states = v.switches
	}
	for _, id := range order {
		entry := merged[id]
		state := switchState{entry: entry}
		// The register's estimates for one start vary between lists, so the first one is kept.
		if previous, ok := v.switches[id]; ok && previous.entry.Incarnation == entry.Incarnation && list.Epoch == v.epoch {
			state.startTime = previous.startTime
		} else if entry.Uptime < now {
			state.startTime = now - max(0, entry.Uptime)
		}
		states[id] = state
		switches = append(switches, policy.Switch{ID: id, Number: entry.Number, BootAt: state.startTime, Ready: entry.Ready, Draining: entry.Draining})
	}
	v.switches, v.epoch, v.version, v.hasList = states, list.Epoch, list.Version, true
	return Accepted, switches, remarks
}
