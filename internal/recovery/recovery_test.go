package recovery

import (
	"slices"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/seeded"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

const wall = int64(17_000_000_000_000)

func sites() Settings {
	return Settings{SiteDigest: 7, Circuits: map[int]int{1: 62, 2: 31}, HasLines: func(point uint16) bool { return point >= 0x2000 }}
}

func trunk(number int, cic uint16) Place { return Place{Trunk: true, Number: number, CIC: cic} }

func line(cic uint16) Place { return Place{Point: 0x2000, CIC: cic} }

func TestFates(t *testing.T) {
	life := Process{SiteDigest: 7, LastHeartbeat: wall - 20000}
	standing := StoredCall{ID: 1, Phase: Established, In: line(5), Out: trunk(1, 3), Since: wall - 90000}
	asked := StoredCall{ID: 1, In: line(5), Since: wall - 21000, Until: wall + 40000}
	change := func(k StoredCall, do func(*StoredCall)) StoredCall { do(&k); return k }
	for _, c := range []struct {
		name string
		life Process
		k    StoredCall
		want Outcome
	}{
		{"established", life, standing, Continue},
		{"established, in transit", life, change(standing, func(k *StoredCall) { k.In = trunk(2, 31) }), Continue},
		{"of another exchange", Process{SiteDigest: 8, LastHeartbeat: wall}, standing, Discard},
		{"down for seven hours", Process{SiteDigest: 7, LastHeartbeat: wall - 7*3600*10000}, standing, Discard},
		{"clock set back an hour, established", Process{SiteDigest: 7, LastHeartbeat: wall + 3600*10000}, standing, Continue},
		{"neighbour removed from the settings", life, change(standing, func(k *StoredCall) { k.Out.Number = 9 }), Release},
		{"group made smaller", life, change(standing, func(k *StoredCall) { k.Out = trunk(2, 33) }), Release},
		{"circuit code that no circuit has", life, change(standing, func(k *StoredCall) { k.Out.CIC = 32 }), Release},
		{"slots outside the group", life, change(standing, func(k *StoredCall) { k.Out = Place{Trunk: true, Number: 1, CIC: 33, Slots: 1 << 30}; k.Out.Number = 2 }), Release},
		{"being set up, caller waits", life, asked, AnswerFailed},
		{"caller has abandoned the call", life, change(asked, func(k *StoredCall) { k.Until = wall }), Discard},
		{"caller abandons before an answer can arrive", life, change(asked, func(k *StoredCall) { k.Until = wall + wayBack }), Discard},
		{"clock set back", Process{SiteDigest: 7, LastHeartbeat: wall + 100*10000}, asked, Discard},
		{"starts in the future", life, change(asked, func(k *StoredCall) { k.Since = wall + 100*10000 }), Discard},
		{"unknown phase", life, change(standing, func(k *StoredCall) { k.Phase = 9 }), Discard},
	} {
		if got := Decide(wall, c.life, []StoredCall{c.k}, sites()); got[0].Outcome != c.want || got[0].Reason == "" && c.want != Continue {
			t.Errorf("%s: %v (%s), want %v", c.name, got[0].Outcome, got[0].Reason, c.want)
		}
	}
}

// Guards against two restored calls on one circuit or line, and against releasing the later of two calls that claim one.
func TestNoCircuitIsHeldTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []StoredCall
		place := func() Place {
			if rapid.Bool().Draw(t, "line") {
				return line(rapid.Uint16Max(5).Draw(t, "line's"))
			}
			p := trunk(1, rapid.Uint16Range(1, 6).Draw(t, "cic"))
			if rapid.Bool().Draw(t, "wide") {
				p.Slots = 1<<(p.CIC-1) | 1<<p.CIC
			}
			return p
		}
		for id := range uint32(rapid.IntRange(0, 10).Draw(t, "calls")) {
			all = append(all, StoredCall{ID: id + 1, Phase: Established, In: place(), Out: place(), Since: wall - int64(rapid.IntRange(1, 50).Draw(t, "since"))})
		}
		got := Decide(wall, Process{SiteDigest: 7, LastHeartbeat: wall}, all, sites())
		held := map[Place]uint32{}
		for _, v := range got {
			if v.Outcome != Continue {
				continue
			}
			for _, p := range append(spread(v.In), spread(v.Out)...) {
				if other, twice := held[p]; twice && other != v.ID {
					t.Fatalf("%+v is used by calls %d and %d", p, other, v.ID)
				}
				held[p] = v.ID
			}
		}
		for _, v := range got { // each released call conflicts with one that entered its phase no earlier
			if v.Outcome != Release {
				continue
			}
			if slices.ContainsFunc(spread(v.In), func(p Place) bool { return slices.Contains(spread(v.Out), p) }) {
				continue // both its sides are the same circuit or line
			}
			rival := slices.ContainsFunc(got, func(o Decision) bool {
				return o.ID != v.ID && o.Since >= v.Since && slices.ContainsFunc(append(spread(o.In), spread(o.Out)...), func(p Place) bool {
					return slices.Contains(append(spread(v.In), spread(v.Out)...), p)
				})
			})
			if !rival {
				t.Fatalf("call %d was released without a conflict: %+v", v.ID, got)
			}
		}
	})
}

// Guards against circuits that two ends never agree on: whatever state each end starts with, comparing and acting on the result
// ends with both in agreement, and keeps a call only if both ends had it.
func TestTwoEndsAgree(t *testing.T) {
	tell := map[LocalState]byte{Idle: isup.CircuitIdle, Incoming: isup.IncomingBusy, Outgoing: isup.OutgoingBusy, Clearing: isup.Transient}
	for a := Idle; a <= Clearing; a++ {
		for b := Idle; b <= Clearing; b++ {
			ends := [2]LocalState{a, b}
			agreed := false
			for range 4 {
				steps := 0
				for me := range ends {
					switch CompareStates(ends[me], tell[ends[1-me]]) {
					case DropCall:
						ends[me] = Idle
						steps++
					case ResetCircuit: // RSC frees the circuit at the remote end on arrival, here once it is answered
						ends = [2]LocalState{Idle, Idle}
						steps++
					case QueryAgain: // the remote release ends
						ends[1-me] = Idle
						steps++
					}
				}
				if ends[0] == Clearing || ends[1] == Clearing { // a release or reset started here ends at both
					ends = [2]LocalState{Idle, Idle}
					steps++
				}
				if agreed = steps == 0; agreed {
					break
				}
			}
			good := ends == [2]LocalState{Idle, Idle} || ends == [2]LocalState{Incoming, Outgoing} || ends == [2]LocalState{Outgoing, Incoming}
			if !agreed || !good {
				t.Errorf("from %v and %v: %v, agreed %v", a, b, ends, agreed)
			}
			if kept := ends != [2]LocalState{Idle, Idle}; kept != (a == Incoming && b == Outgoing || a == Outgoing && b == Incoming) {
				t.Errorf("from %v and %v: a call continues: %v", a, b, kept)
			}
		}
	}
}
