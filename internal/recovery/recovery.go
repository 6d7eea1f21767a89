// Package recovery decides what becomes of calls and circuits when a controller starts anew: from what was kept of its life
// before, what neighbours say of their circuits, and the time. It is pure: internal/exchange asks it and does as it says,
// internal/ledger keeps what it is given. Instants are tenths of a millisecond since 1970, as no other clock outlives a process.
package recovery

import (
	"cmp"
	"slices"

	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// Phase of a call as it was kept.
type Phase uint8

const (
	Asked    Phase = iota // offered to the module, not answered yet
	Standing              // answered, and not over
)

// Place is one side of a call: circuits of the group to a neighbour, or a line.
type Place struct {
	Trunk  bool
	Number int    // the neighbour's exchange (Trunk)
	Point  uint16 // block of lines
	CIC    uint16
	Slots  uint32
}

// Kept is one call as it was kept.
type Kept struct {
	ID      uint32
	Phase   Phase
	In, Out Place // Out: Standing alone
	Ref     isup.Reference
	Transit bool
	Since   int64 // when it came to this phase
	Until   int64 // when its caller gives up (Asked)
}

// Life is what was kept of the program's last life beside its calls.
type Life struct {
	Site  uint64         // digest of who it was: a ledger of another exchange is not ours
	Alive int64          // last sign of life
	Own   string         // life of the own switch
	Far   map[int]string // lives of the neighbours' switches
}

// Fate is what becomes of a kept call.
type Fate uint8

const (
	StandsOn   Fate = iota // its circuits are asked about, meanwhile it goes on
	AnswerFail             // its caller still waits: told that it failed, once
	Forget                 // nothing is sent to its caller: he has given up, or cannot be told
	Cut                    // it stood, and cannot any more: what is left of it is released
)

func (f Fate) String() string {
	return [...]string{"stands on", "answered failed", "forgotten", "cut"}[f]
}

// Verdict on one kept call, and why where it does not stand on.
type Verdict struct {
	Kept
	Fate Fate
	Why  string
}

const (
	believed  = int64(6 * 3600 * 10000) // what is older than six hours of death is not believed: people have hung up
	clockSlip = int64(5 * 10000)        // a clock may be set by so much over a restart without a word
	wayBack   = int64(300)              // an answer takes so long to its caller
)

// Sites tells what the settings of this life have.
type Sites struct {
	Digest   uint64
	Circuits map[int]int // neighbour's exchange: circuits of its group
	Lines    func(point uint16) bool
}

// Judge decides what becomes of each kept call, in the order of their ids. Two that claim a circuit: the one that came later to
// its phase counts, and the other is cut, as a circuit is given again only when its call is over.
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

// spread lists the single circuits, or the line, of a place.
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

func one(now int64, life Life, k Kept, s Sites) (Fate, string) {
	dead := now - life.Alive
	switch {
	case life.Site != s.Digest:
		return Forget, "it was kept for another exchange"
	case dead > believed:
		return Forget, "it was kept too long ago"
	case k.Phase == Asked && (k.Since > now+clockSlip || dead < -clockSlip):
		return Forget, "the clock went back: whether its caller still waits is not known"
	case k.Phase == Asked && now >= k.Until-wayBack:
		return Forget, "its caller has given up"
	case k.Phase == Asked && !fits(k.In, s):
		return Forget, "its caller's side is not in the settings any more"
	case k.Phase == Asked:
		return AnswerFail, "its set-up ended with the program"
	case k.Phase != Standing:
		return Forget, "it is in no phase that there is"
	case !fits(k.In, s) || !fits(k.Out, s):
		return Cut, "a circuit or line of it is not in the settings any more"
	}
	return StandsOn, ""
}

// fits tells whether a place is one that the settings have.
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

// Ours is what this exchange holds a circuit to be.
type Ours uint8

const (
	Free     Ours = iota
	Incoming      // it carries a call of the neighbour's
	Outgoing      // it carries a call that went there
	Under         // a release or reset of ours is under way
)

// Step is what to do about one circuit after the neighbour has told its state (CQR).
type Step uint8

const (
	Agreed    Step = iota
	DropOurs       // they released it while we were dead: our call is over, and nothing is sent on the circuit
	ResetBoth      // they claim what we do not know, or another way round: both ends start anew (RSC)
	AskLater       // a release or reset is under way there
)

// Compare sets our word against the neighbour's. A claim of ours never wins over their "idle": a call needs both ends. A claim of
// theirs never wins over ours: neither end can know which call the other means, and a reset frees both. It cannot loop: a reset
// leaves the circuit idle at both ends, which agrees; Transient is asked about again, and ends when their release does.
func Compare(ours Ours, theirs byte) Step {
	switch {
	case ours == Under:
		return Agreed // what is under way settles it
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

// ColdUntil is the instant before which nothing is sent to a switch that is cold, by a controller that has just started: the life
// before may have sent all that the budget of a window allows, and nobody can say.
func ColdUntil(started policy.Tenths, d policy.Deployment) policy.Tenths {
	return started + d.FallWindow
}

// AuditAt is when a controller that has just started asks a neighbour about its circuits: ninety that start together spread their
// questions, each over the neighbours by their place in its own list, so that no processor gets all at once.
func AuditAt(started policy.Tenths, own, place, neighbours int) policy.Tenths {
	const each = policy.Tenths(100)
	if neighbours == 0 {
		return started
	}
	return started + each*policy.Tenths((place+own)%neighbours)
}
