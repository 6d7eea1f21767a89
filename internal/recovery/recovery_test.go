package recovery

import (
	"slices"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/seeded"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

const wallNow = int64(17_000_000_000_000)

func settings() Settings {
	return Settings{SiteDigest: 7, Circuits: map[int]int{1: 62, 2: 31}, HasLines: func(point uint16) bool { return point >= 0x2000 }}
}

func trunkLeg(number int, cic uint16) Leg { return Leg{Trunk: true, Number: number, CIC: cic} }

func lineLeg(cic uint16) Leg { return Leg{Point: 0x2000, CIC: cic} }

func TestOutcomes(t *testing.T) {
	process := Process{SiteDigest: 7, LastHeartbeat: wallNow - 20000}
	established := StoredCall{ID: 1, Phase: Established, In: lineLeg(5), Out: trunkLeg(1, 3), Since: wallNow - 90000}
	settingUp := StoredCall{ID: 1, In: lineLeg(5), Since: wallNow - 21000, Until: wallNow + 40000}
	change := func(call StoredCall, do func(*StoredCall)) StoredCall { do(&call); return call }
	for _, c := range []struct {
		name    string
		process Process
		call    StoredCall
		want    Outcome
	}{
		{"established", process, established, Continue},
		{"established, in transit", process, change(established, func(call *StoredCall) { call.In = trunkLeg(2, 31) }), Continue},
		{"of another exchange", Process{SiteDigest: 8, LastHeartbeat: wallNow}, established, Discard},
		{"down for seven hours", Process{SiteDigest: 7, LastHeartbeat: wallNow - 7*3600*10000}, established, Discard},
		{"clock set back an hour, established", Process{SiteDigest: 7, LastHeartbeat: wallNow + 3600*10000}, established, Continue},
		{"neighbour removed from the settings", process, change(established, func(call *StoredCall) { call.Out.Number = 9 }), Release},
		{"group made smaller", process, change(established, func(call *StoredCall) { call.Out = trunkLeg(2, 33) }), Release},
		{"circuit code that no circuit has", process, change(established, func(call *StoredCall) { call.Out.CIC = 32 }), Release},
		{"slots outside the group", process, change(established, func(call *StoredCall) {
			call.Out = Leg{Trunk: true, Number: 1, CIC: 33, Slots: 1 << 30}
			call.Out.Number = 2
		}), Release},
		{"being set up, caller waits", process, settingUp, AnswerFailed},
		{"caller has abandoned the call", process, change(settingUp, func(call *StoredCall) { call.Until = wallNow }), Discard},
		{"caller abandons before an answer can arrive", process, change(settingUp, func(call *StoredCall) { call.Until = wallNow + answerDelay }), Discard},
		{"clock set back", Process{SiteDigest: 7, LastHeartbeat: wallNow + 100*10000}, settingUp, Discard},
		{"starts in the future", process, change(settingUp, func(call *StoredCall) { call.Since = wallNow + 100*10000 }), Discard},
		{"unknown phase", process, change(established, func(call *StoredCall) { call.Phase = 9 }), Discard},
	} {
		if got := Decide(wallNow, c.process, []StoredCall{c.call}, settings()); got[0].Outcome != c.want || got[0].Reason == "" && c.want != Continue {
			t.Errorf("%s: %v (%s), want %v", c.name, got[0].Outcome, got[0].Reason, c.want)
		}
	}
}

// Guards against two restored calls on one circuit or line, and against releasing the later of two calls that claim one.
func TestNoCircuitIsUsedByTwoCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []StoredCall
		drawLeg := func() Leg {
			if rapid.Bool().Draw(t, "line") {
				return lineLeg(rapid.Uint16Max(5).Draw(t, "line's"))
			}
			leg := trunkLeg(1, rapid.Uint16Range(1, 6).Draw(t, "cic"))
			if rapid.Bool().Draw(t, "wide") {
				leg.Slots = 1<<(leg.CIC-1) | 1<<leg.CIC
			}
			return leg
		}
		for id := range uint32(rapid.IntRange(0, 10).Draw(t, "calls")) {
			all = append(all, StoredCall{ID: id + 1, Phase: Established, In: drawLeg(), Out: drawLeg(), Since: wallNow - int64(rapid.IntRange(1, 50).Draw(t, "since"))})
		}
		got := Decide(wallNow, Process{SiteDigest: 7, LastHeartbeat: wallNow}, all, settings())
		held := map[Leg]uint32{}
		for _, decision := range got {
			if decision.Outcome != Continue {
				continue
			}
			for _, leg := range append(singleCircuits(decision.In), singleCircuits(decision.Out)...) {
				if other, twice := held[leg]; twice && other != decision.ID {
					t.Fatalf("%+v is used by calls %d and %d", leg, other, decision.ID)
				}
				held[leg] = decision.ID
			}
		}
		for _, decision := range got { // each released call conflicts with one that entered its phase no earlier
			if decision.Outcome != Release {
				continue
			}
			if slices.ContainsFunc(singleCircuits(decision.In), func(leg Leg) bool { return slices.Contains(singleCircuits(decision.Out), leg) }) {
				continue // both its sides are the same circuit or line
			}
			conflict := slices.ContainsFunc(got, func(o Decision) bool {
				return o.ID != decision.ID && o.Since >= decision.Since && slices.ContainsFunc(append(singleCircuits(o.In), singleCircuits(o.Out)...), func(leg Leg) bool {
					return slices.Contains(append(singleCircuits(decision.In), singleCircuits(decision.Out)...), leg)
				})
			})
			if !conflict {
				t.Fatalf("call %d was released without a conflict: %+v", decision.ID, got)
			}
		}
	})
}

// Guards against circuits that two ends never agree on: whatever state each end starts with, both agree after at most two rounds
// of comparing and acting on the result, and a call continues only if both ends had it.
func TestTwoEndsAgree(t *testing.T) {
	indicator := map[LocalState]byte{Idle: isup.CircuitIdle, Incoming: isup.IncomingBusy, Outgoing: isup.OutgoingBusy, Clearing: isup.Transient}
	for a := Idle; a <= Clearing; a++ {
		for b := Idle; b <= Clearing; b++ {
			ends := [2]LocalState{a, b}
			agreed := false
			for range 4 {
				steps := 0
				for me := range ends {
					switch CompareStates(ends[me], indicator[ends[1-me]]) {
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
			valid := ends == [2]LocalState{Idle, Idle} || ends == [2]LocalState{Incoming, Outgoing} || ends == [2]LocalState{Outgoing, Incoming}
			if !agreed || !valid {
				t.Errorf("from %v and %v: %v, agreed %v", a, b, ends, agreed)
			}
			if continues := ends != [2]LocalState{Idle, Idle}; continues != (a == Incoming && b == Outgoing || a == Outgoing && b == Incoming) {
				t.Errorf("from %v and %v: a call continues: %v", a, b, continues)
			}
		}
	}
}
