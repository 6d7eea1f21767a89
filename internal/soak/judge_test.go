package soak

import (
	"reflect"
	"testing"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

const (
	ms     = time.Millisecond
	callID = "0001000000000001"
	swID   = uint32(0x10002)
)

// history is what peers of a controller see of one call that goes well.
func history() []Event {
	return []Event{
		{At: 0, Kind: ControllerStarted},
		{At: 10 * ms, Kind: ControllerReady, Span: 10 * ms},
		{At: 10 * ms, Kind: CallerOpened, Conn: 1},
		{At: 100 * ms, Kind: CallSent, Call: callID, Conn: 1, Span: time.Second},
		{At: 105 * ms, Kind: TryArrived, Call: callID, Switch: swID, Conn: 2, Text: "offer of " + callID},
		{At: 120 * ms, Kind: TryEnded, Call: callID, Switch: swID, Conn: 2, Status: sip.OK},
		{At: 120 * ms, Kind: CallStood, Call: callID, Switch: swID, Conn: 2},
		{At: 125 * ms, Kind: CallAnswered, Call: callID, Conn: 1, Status: sip.OK, Text: AnswerBody(swID, callID, 0)},
		{At: 2000 * ms, Kind: CallOver, Call: callID, Switch: swID, Text: "cause 16"},
		{At: 2000 * ms, Kind: ReleaseWritten, Call: callID, Switch: swID, Conn: 2},
		{At: 2010 * ms, Kind: CallToldOver, Call: callID, Conn: 1},
		{At: 30000 * ms, Kind: CallerClosed, Conn: 1},
		{At: 31000 * ms, Kind: ControllerTold, Status: 15, Text: "terminated"},
		{At: 32000 * ms, Kind: ControllerEnded},
	}
}

// ended is the history of a call whose set-up ends with a status.
func ended(status int) []Event {
	events := without(without(history(), CallStood), CallAnswered)
	for i := range events {
		if events[i].Kind == TryEnded {
			events[i].Status = status
		}
	}
	return with(without(without(without(events, CallOver), ReleaseWritten), CallToldOver),
		Event{At: 900 * ms, Kind: CallAnswered, Call: callID, Conn: 1, Status: sip.ServiceUnavailable})
}

func without(events []Event, kind Kind) []Event {
	var left []Event
	for _, e := range events {
		if e.Kind != kind {
			left = append(left, e)
		}
	}
	return left
}

// with adds events in the order of time.
func with(events []Event, more ...Event) []Event {
	for _, e := range more {
		i := 0
		for i < len(events) && events[i].At <= e.At {
			i++
		}
		events = append(events[:i:i], append([]Event{e}, events[i:]...)...)
	}
	return events
}

// Each rule is found broken by what breaks it, and by nothing that the page allows.
func TestJudgeNamesTheRuleThatIsBroken(t *testing.T) {
	answer := Event{At: 130 * ms, Kind: CallAnswered, Call: callID, Conn: 1, Status: sip.OK, Text: AnswerBody(swID, callID, 0)}
	again := Event{Kind: TryArrived, Call: callID, Switch: swID + 1, Conn: 3, Text: "offer of " + callID}
	gave := Event{At: 110 * ms, Kind: TryGivenUp, Call: callID, Switch: swID, Conn: 2}
	listed := []Event{{At: 50 * ms, Kind: ListChanged, Controller: -1, Switch: swID, Status: int(board.Draining), Number: 2}}
	at := func(e Event, at time.Duration) Event { e.At = at; return e }
	for _, c := range []struct {
		name   string
		events []Event
		want   Rule
	}{
		{"all well", history(), ""},
		{"two answers", with(history(), answer), RuleAnswered},
		{"no answer", without(without(history(), CallAnswered), CallToldOver), RuleAnswered},
		{"no answer, and the caller gave up", with(without(without(history(), CallAnswered), CallToldOver), Event{At: 115 * ms, Kind: CallGivenUp, Call: callID, Conn: 1}), ""},
		{"no answer, as the connection was cut by the rig", with(without(without(history(), CallAnswered), CallToldOver), Event{At: 115 * ms, Kind: CallerSilenced, Conn: 1}), ""},
		{"connection closed under a set-up", with(without(without(history(), CallAnswered), CallToldOver), Event{At: 400 * ms, Kind: CallUnanswered, Call: callID, Conn: 1}), RuleAnswered},
		{"an answer of nobody", with(without(history(), CallAnswered), Event{At: 125 * ms, Kind: CallAnswered, Call: callID, Conn: 1, Status: sip.OK, Text: "made up"}), RuleServedTrue},
		{"never told", without(history(), CallToldOver), RuleTold},
		{"told late", with(without(history(), CallToldOver), Event{At: 3300 * ms, Kind: CallToldOver, Call: callID, Conn: 1}), RuleTold},
		{"never told, and the release was lost", with(without(history(), CallToldOver), Event{At: 1900 * ms, Kind: LinkLost, Conn: 2}), RuleToldLost},
		{"told late, and the release was lost", with(without(history(), CallToldOver), Event{At: 1900 * ms, Kind: LinkLost, Conn: 2},
			Event{At: 9000 * ms, Kind: CallToldOver, Call: callID, Conn: 1}), ""},
		{"never told, and the release was lost long before a kill", with(without(history(), CallToldOver), Event{At: 1900 * ms, Kind: LinkLost, Conn: 2},
			Event{At: 20000 * ms, Kind: ControllerTold, Status: 9, Text: "killed"}), RuleToldLost},
		{"never told, as the controller was killed with the release", with(without(history(), CallToldOver), Event{At: 2005 * ms, Kind: ControllerTold, Status: 9, Text: "killed"},
			Event{At: 2006 * ms, Kind: ControllerEnded, Text: "signal: killed"}, Event{At: 2100 * ms, Kind: ControllerStarted}, Event{At: 2110 * ms, Kind: ControllerReady, Span: 10 * ms},
			Event{At: 2120 * ms, Kind: CallAnnounced, Call: callID, Switch: swID, Conn: 1}), ""},
		{"never told, and nobody was there", with(without(without(history(), CallToldOver), CallerClosed), Event{At: 1900 * ms, Kind: CallerClosed, Conn: 1}), ""},
		{"tried again at once after a refusal", with(ended(sip.ServiceUnavailable), at(again, 110*ms+passMost)), ""},
		{"tried again at once after an answer", with(history(), at(again, 110*ms+passMost)), RuleReleaseTime},
		{"tried again at once after a spoilt answer", with(ended(0), at(again, 110*ms+passMost)), RuleReleaseTime},
		{"tried again at once after a reset", with(ended(sip.ServerTimeout), at(again, 110*ms+passMost)), RuleReleaseTime},
		{"tried again at once after its connection was reset", with(without(ended(0), TryEnded), Event{At: 112 * ms, Kind: LinkLost, Conn: 2, Text: "reset"}, at(again, 110*ms+passMost)), RuleReleaseTime},
		{"tried again after a connection fell silent", with(without(ended(0), TryEnded), Event{At: 106 * ms, Kind: LinkLost, Conn: 2, Text: lostSilent}, at(again, 400*ms)), ""},
		{"cut by the controller, and its caller not told", with(without(without(without(history(), CallToldOver), ReleaseWritten), CallOver),
			Event{At: 2000 * ms, Kind: CallOver, Call: callID, Switch: swID, Text: textReleased}), RuleTold},
		{"told that it is over while it stands", without(without(history(), CallOver), ReleaseWritten), RuleBothSides},
		{"ended by its caller and never released at its switch", with(without(without(without(history(), CallOver), ReleaseWritten), CallToldOver),
			Event{At: 1500 * ms, Kind: CallReleased, Call: callID, Conn: 1}), RuleBothSides},
		{"two tries at once for long", with(without(history(), TryEnded), at(again, 400*ms)), RuleOneTry},
		{"tried again too early", with(history(), gave, at(again, 300*ms)), RuleReleaseTime},
		{"tried again in time", with(history(), gave, at(again, 111*ms+releaseGuard)), ""},
		{"sent past the grace", with(with(without(history(), TryArrived), listed...), Event{At: 60 * ms, Kind: ListTold, Number: 2},
			Event{At: 500 * ms, Kind: TryArrived, Call: callID, Switch: swID, Conn: 2, Text: "offer of " + callID}), RuleDrain},
		{"sent while nobody could know", with(with(without(history(), TryArrived), listed...), Event{At: 40 * ms, Kind: BoardLost, Span: toldAfterLoss},
			Event{At: 3000 * ms, Kind: BoardBack}, Event{At: 500 * ms, Kind: TryArrived, Call: callID, Switch: swID, Conn: 2, Text: "offer of " + callID}), ""},
		{"a set-up that nobody sent", with(history(), Event{At: 200 * ms, Kind: TryArrived, Call: "00010000000000ff", Switch: swID, Conn: 2}), RuleNoCaller},
		{"bad client served", with(history(), Event{At: 200 * ms, Kind: ClientServed, Status: sip.OK, Span: ms}), RuleBadClient},
		{"bad client left waiting", with(history(), Event{At: 9000 * ms, Kind: ClientServed, Status: 1, Span: 4 * time.Second}), RuleBadClient},
		{"crash", with(history(), Event{At: 20000 * ms, Kind: ControllerEnded, Status: 1, Text: "exit status 2"}), RuleCrash},
		{"slow start", with(without(history(), ControllerReady), Event{At: 11000 * ms, Kind: ControllerReady, Span: 11 * time.Second}), RuleReady},
	} {
		plan := Plan{Controllers: 1, Switches: SwitchPlan{Circuits: 10, HoldMax: time.Second}}
		breaches := Judge(plan, c.events)
		found := Rule("")
		for _, b := range breaches {
			if found = b.Rule; found == c.want {
				break
			}
		}
		if found != c.want {
			t.Errorf("%s: found %q, want %q: %v", c.name, found, c.want, breaches)
		}
	}
}

// A crowd of set-ups that a switch cannot bear just after its start is found, whichever controllers sent them.
func TestJudgeFindsAColdSwitchPushedOver(t *testing.T) {
	plan := Plan{Controllers: 2, Switches: SwitchPlan{Circuits: 4, HoldMax: 4 * time.Second}}
	events := []Event{{At: time.Second, Kind: ListChanged, Controller: -1, Switch: swID, Status: int(board.Ready), Number: 2, Span: time.Hour}}
	for i := range 60 {
		events = append(events, Event{At: 2*time.Second + time.Duration(i)*ms, Kind: TryArrived, Controller: i % 2, Switch: swID, Call: callID, Conn: 5})
	}
	found := false
	for _, b := range Judge(plan, events) {
		found = found || b.Rule == RuleCold
	}
	if !found {
		t.Error("not found")
	}
}

func TestSeedDrawsTheSamePlanEachTime(t *testing.T) {
	kinds := map[FaultKind]bool{}
	for seed := range uint64(200) {
		p := Draw(seed, 12*time.Second)
		if !reflect.DeepEqual(p, Draw(seed, 12*time.Second)) {
			t.Fatalf("seed %d draws two plans", seed)
		}
		for _, f := range p.Faults {
			kinds[f.Kind] = true
		}
	}
	if len(kinds) != int(faultKinds) {
		t.Errorf("%d of %d kinds of faults drawn", len(kinds), faultKinds)
	}
}
