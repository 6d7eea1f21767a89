// Package membership judges the lists of switches that a register sends before the deciding module sees them: which are
// stale, cut short or contradict themselves, and when a switch really started. It is pure. A list that cannot be trusted
// is refused whole, with the reason, and the one before stays; what a good list says of a drain or an absence always
// counts, at once.
package membership

import (
	"fmt"

	"indigodrift/policy"
)

// Line is what the register says of one switch.
type Line struct {
	ID       uint32
	Number   int           // the exchange it serves
	Life     uint64        // counts its starts
	UpFor    policy.Tenths // since its last start, as the register reckons when it writes
	Ready    bool
	Draining bool
}

// List is one message of the register.
type List struct {
	Epoch   uint64 // one life of the register
	Version uint64 // rises within an epoch
	Whole   bool   // else only what changed since the version before
	Count   int    // lines that the register meant to send
	Lines   []Line
}

type known struct {
	line   Line
	bootAt policy.Tenths
}

// View is what one controller holds to be so.
type View struct {
	exchanges int
	epoch     uint64
	version   uint64
	any       bool
	switches  map[uint32]known
}

// NewView makes a view of a network whose exchanges are numbered below a bound.
func NewView(exchanges int) *View { return &View{exchanges: exchanges, switches: map[uint32]known{}} }

// Version is the version held.
func (v *View) Version() uint64 { return v.version }

// Verdict is what follows from a list.
type Verdict uint8

const (
	Accepted Verdict = iota
	Old              // stale or repeated: nothing follows
	Refused          // not to be trusted: the whole list should be asked for
)

// Take judges a list. When it is accepted the result is what to tell the deciding module; doubts are remarks for staff
// on single lines.
func (v *View) Take(now policy.Tenths, l List) (verdict Verdict, told []policy.Switch, doubts []string) {
	switch {
	case len(l.Lines) != l.Count:
		return Refused, nil, []string{fmt.Sprintf("list %d has %d lines and says %d", l.Version, len(l.Lines), l.Count)}
	case v.any && l.Epoch == v.epoch && l.Version <= v.version:
		return Old, nil, nil
	case !l.Whole && (!v.any || l.Epoch != v.epoch || l.Version != v.version+1):
		return Refused, nil, []string{fmt.Sprintf("change %d does not follow version %d", l.Version, v.version)}
	}
	merged := map[uint32]Line{}
	var order []uint32
	for _, n := range l.Lines {
		if n.Number < 0 || n.Number >= v.exchanges {
			doubts = append(doubts, fmt.Sprintf("switch %d serves exchange %d, which there is not", n.ID, n.Number))
			continue
		}
		if was, ok := v.switches[n.ID]; ok && l.Epoch == v.epoch && n.Life < was.line.Life {
			doubts = append(doubts, fmt.Sprintf("switch %d is told in life %d after life %d", n.ID, n.Life, was.line.Life))
			n.Life, n.Ready = was.line.Life, false // one of the two is wrong: nothing new goes there until it is settled
		}
		if other, twice := merged[n.ID]; twice {
			if other != n {
				doubts = append(doubts, fmt.Sprintf("switch %d is told twice, and differently", n.ID))
			}
			n.Ready = n.Ready && other.Ready
			n.Draining = n.Draining || other.Draining
			n.Life = max(n.Life, other.Life)
		} else {
			order = append(order, n.ID)
		}
		n.Ready = n.Ready && !n.Draining
		merged[n.ID] = n
	}
	fresh := map[uint32]known{}
	if !l.Whole {
		fresh = v.switches
	}
	for _, id := range order {
		n := merged[id]
		k := known{line: n}
		// The register's reckoning of one start wavers from list to list; a start is dated once.
		if was, ok := v.switches[id]; ok && was.line.Life == n.Life && l.Epoch == v.epoch {
			k.bootAt = was.bootAt
		} else if n.UpFor < now {
			k.bootAt = now - max(0, n.UpFor)
		}
		fresh[id] = k
		told = append(told, policy.Switch{ID: id, Number: n.Number, BootAt: k.bootAt, Ready: n.Ready, Draining: n.Draining})
	}
	v.switches, v.epoch, v.version, v.any = fresh, l.Epoch, l.Version, true
	return Accepted, told, doubts
}
