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

func sites() Sites {
	return Sites{Digest: 7, Circuits: map[int]int{1: 62, 2: 31}, Lines: func(point uint16) bool { return point >= 0x2000 }}
}

func trunk(number int, cic uint16) Place { return Place{Trunk: true, Number: number, CIC: cic} }

func line(cic uint16) Place { return Place{Point: 0x2000, CIC: cic} }

func TestFates(t *testing.T) {
	life := Life{Site: 7, Alive: wall - 20000}
	standing := Kept{ID: 1, Phase: Standing, In: line(5), Out: trunk(1, 3), Since: wall - 90000}
	asked := Kept{ID: 1, In: line(5), Since: wall - 21000, Until: wall + 40000}
	change := func(k Kept, do func(*Kept)) Kept { do(&k); return k }
	for _, c := range []struct {
		name string
		life Life
		k    Kept
		want Fate
	}{
		{"established", life, standing, StandsOn},
		{"established, in transit", life, change(standing, func(k *Kept) { k.In = trunk(2, 31) }), StandsOn},
		{"of another exchange", Life{Site: 8, Alive: wall}, standing, Forget},
		{"down for seven hours", Life{Site: 7, Alive: wall - 7*3600*10000}, standing, Forget},
		{"clock set back an hour, established", Life{Site: 7, Alive: wall + 3600*10000}, standing, StandsOn},
		{"neighbour removed from the settings", life, change(standing, func(k *Kept) { k.Out.Number = 9 }), Cut},
		{"group made smaller", life, change(standing, func(k *Kept) { k.Out = trunk(2, 33) }), Cut},
		{"circuit code that no circuit has", life, change(standing, func(k *Kept) { k.Out.CIC = 32 }), Cut},
		{"slots outside the group", life, change(standing, func(k *Kept) { k.Out = Place{Trunk: true, Number: 1, CIC: 33, Slots: 1 << 30}; k.Out.Number = 2 }), Cut},
		{"being set up, caller waits", life, asked, AnswerFail},
		{"caller has abandoned the call", life, change(asked, func(k *Kept) { k.Until = wall }), Forget},
		{"caller abandons before an answer can arrive", life, change(asked, func(k *Kept) { k.Until = wall + wayBack }), Forget},
		{"clock set back", Life{Site: 7, Alive: wall + 100*10000}, asked, Forget},
		{"starts in the future", life, change(asked, func(k *Kept) { k.Since = wall + 100*10000 }), Forget},
		{"unknown phase", life, change(standing, func(k *Kept) { k.Phase = 9 }), Forget},
	} {
		if got := Judge(wall, c.life, []Kept{c.k}, sites()); got[0].Fate != c.want || got[0].Why == "" && c.want != StandsOn {
			t.Errorf("%s: %v (%s), want %v", c.name, got[0].Fate, got[0].Why, c.want)
		}
	}
}

// Guards against two restored calls on one circuit or line, and against releasing the later of two calls that claim one.
func TestNoCircuitIsHeldTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Kept
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
			all = append(all, Kept{ID: id + 1, Phase: Standing, In: place(), Out: place(), Since: wall - int64(rapid.IntRange(1, 50).Draw(t, "since"))})
		}
		got := Judge(wall, Life{Site: 7, Alive: wall}, all, sites())
		held := map[Place]uint32{}
		for _, v := range got {
			if v.Fate != StandsOn {
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
			if v.Fate != Cut {
				continue
			}
			if slices.ContainsFunc(spread(v.In), func(p Place) bool { return slices.Contains(spread(v.Out), p) }) {
				continue // both its sides are the same circuit or line
			}
			rival := slices.ContainsFunc(got, func(o Verdict) bool {
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
	tell := map[Ours]byte{Free: isup.CircuitIdle, Incoming: isup.IncomingBusy, Outgoing: isup.OutgoingBusy, Under: isup.Transient}
	for a := Free; a <= Under; a++ {
		for b := Free; b <= Under; b++ {
			ends := [2]Ours{a, b}
			agreed := false
			for range 4 {
				steps := 0
				for me := range ends {
					switch Compare(ends[me], tell[ends[1-me]]) {
					case DropOurs:
						ends[me] = Free
						steps++
					case ResetBoth: // RSC frees the circuit at the remote end on arrival, here once it is answered
						ends = [2]Ours{Free, Free}
						steps++
					case AskLater: // the remote release ends
						ends[1-me] = Free
						steps++
					}
				}
				if ends[0] == Under || ends[1] == Under { // a release or reset started here ends at both
					ends = [2]Ours{Free, Free}
					steps++
				}
				if agreed = steps == 0; agreed {
					break
				}
			}
			good := ends == [2]Ours{Free, Free} || ends == [2]Ours{Incoming, Outgoing} || ends == [2]Ours{Outgoing, Incoming}
			if !agreed || !good {
				t.Errorf("from %v and %v: %v, agreed %v", a, b, ends, agreed)
			}
			if kept := ends != [2]Ours{Free, Free}; kept != (a == Incoming && b == Outgoing || a == Outgoing && b == Incoming) {
				t.Errorf("from %v and %v: a call continues: %v", a, b, kept)
			}
		}
	}
}
