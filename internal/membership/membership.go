// Package membership validates the lists of switches from the register before the decision module sees them: it detects
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
	Incarnation uint64        `json:"Life"`  // incarnation: the number of its starts
	Uptime      policy.Tenths `json:"UpFor"` // time since its last start, estimated by the register when it writes
	Ready       bool
	Draining    bool
}

// List is a full list of switches or a change to one. It is encoded as JSON under its field names.
type List struct {
	Epoch   uint64  // incarnation of the register
	Version uint64  // increases within an epoch
	Full    bool    `json:"Whole"` // otherwise only what changed since the previous version
	Count   int     // number of lines that the register sent, to detect truncation
	Entries []Entry `json:"Lines"`
}

// known is what a view holds of one switch.
type known struct {
	line   Entry
	bootAt policy.Tenths // when it started
}

// View is the list of switches that a controller has in force.
type View struct {
	exchanges int
	epoch     uint64
	version   uint64
	any       bool // whether a list has been accepted
	switches  map[uint32]known
}

// NewView creates an empty view of a network with a number of exchanges, numbered from 0.
func NewView(exchanges int) *View { return &View{exchanges: exchanges, switches: map[uint32]known{}} }

// Version returns the version in force.
func (v *View) Version() uint64 { return v.version }

// Verdict is the result of validating a list.
type Verdict uint8

const (
	Accepted Verdict = iota
	Stale            // stale or repeated: ignored
	Rejected         // invalid: the full list should be requested
)

// Apply validates a list and, if it is accepted, puts it in force and returns the switches to report to the decision module.
// The doubts describe what is wrong with the list or with single lines, for the log.
func (v *View) Apply(now policy.Tenths, l List) (verdict Verdict, told []policy.Switch, doubts []string) {
	switch {
	case len(l.Entries) != l.Count:
		return Rejected, nil, []string{fmt.Sprintf("list %d has %d lines, announced are %d", l.Version, len(l.Entries), l.Count)}
	case v.any && l.Epoch == v.epoch && l.Version <= v.version:
		return Stale, nil, nil
	case !l.Full && (!v.any || l.Epoch != v.epoch || l.Version != v.version+1):
		return Rejected, nil, []string{fmt.Sprintf("change %d does not follow version %d", l.Version, v.version)}
	}
	merged := map[uint32]Entry{}
	var order []uint32
	for _, n := range l.Entries {
		if n.Number < 0 || n.Number >= v.exchanges {
			doubts = append(doubts, fmt.Sprintf("switch %d serves unknown exchange %d", n.ID, n.Number))
			continue
		}
		if was, ok := v.switches[n.ID]; ok && l.Epoch == v.epoch && n.Incarnation < was.line.Incarnation {
			doubts = append(doubts, fmt.Sprintf("switch %d has incarnation %d after incarnation %d", n.ID, n.Incarnation, was.line.Incarnation))
			n.Incarnation, n.Ready = was.line.Incarnation, false // one of the two is wrong: no new calls until a list settles it
		}
		if other, twice := merged[n.ID]; twice {
			if other != n {
				doubts = append(doubts, fmt.Sprintf("switch %d is listed twice with different values", n.ID))
			}
			n.Ready = n.Ready && other.Ready
			n.Draining = n.Draining || other.Draining
			n.Incarnation = max(n.Incarnation, other.Incarnation)
		} else {
			order = append(order, n.ID)
		}
		n.Ready = n.Ready && !n.Draining
		merged[n.ID] = n
	}
	fresh := map[uint32]known{}
	if !l.Full {
		fresh = v.switches
	}
	for _, id := range order {
		n := merged[id]
		k := known{line: n}
		// The register's estimates for one start vary between lists, so the first one is kept.
		if was, ok := v.switches[id]; ok && was.line.Incarnation == n.Incarnation && l.Epoch == v.epoch {
			k.bootAt = was.bootAt
		} else if n.Uptime < now {
			k.bootAt = now - max(0, n.Uptime)
		}
		fresh[id] = k
		told = append(told, policy.Switch{ID: id, Number: n.Number, BootAt: k.bootAt, Ready: n.Ready, Draining: n.Draining})
	}
	v.switches, v.epoch, v.version, v.any = fresh, l.Epoch, l.Version, true
	return Accepted, told, doubts
}
