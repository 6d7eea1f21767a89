package soak

import (
	"reflect"
	"testing"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

const (
	ms       = time.Millisecond
	callID   = "0001000000000001"
	switchID = uint32(0x10002)
)

// normalCall returns the events of a run with one call that is answered and released normally.
func normalCall() []Event {
	return []Event{
		{At: 0, Kind: ControllerStarted},
		{At: 10 * ms, Kind: ControllerReady, Duration: 10 * ms},
		{At: 10 * ms, Kind: CallerConnOpened, ConnID: 1},
		{At: 100 * ms, Kind: SetUpSent, CallID: callID, ConnID: 1, Duration: time.Second},
		{At: 105 * ms, Kind: TryReceived, CallID: callID, SwitchID: switchID, ConnID: 2, Detail: "offer of " + callID},
		{At: 120 * ms, Kind: TryEnded, CallID: callID, SwitchID: switchID, ConnID: 2, Status: sip.OK},
		{At: 120 * ms, Kind: CallEstablished, CallID: callID, SwitchID: switchID, ConnID: 2},
		{At: 125 * ms, Kind: AnswerRead, CallID: callID, ConnID: 1, Status: sip.OK, Detail: AnswerBody(switchID, callID, 0)},
		{At: 2000 * ms, Kind: CallEnded, CallID: callID, SwitchID: switchID, Detail: "cause 16"},
		{At: 2000 * ms, Kind: ReleaseSent, CallID: callID, SwitchID: switchID, ConnID: 2},
		{At: 2010 * ms, Kind: ReleaseRead, CallID: callID, ConnID: 1},
		{At: 30000 * ms, Kind: CallerConnClosed, ConnID: 1},
		{At: 31000 * ms, Kind: SignalSent, Status: 15, Detail: "terminated"},
		{At: 32000 * ms, Kind: ControllerExited},
	}
}

// callWithStatus returns the events of a run with one call whose only try ends with a status.
func callWithStatus(status int) []Event {
	events := withoutKind(withoutKind(normalCall(), CallEstablished), AnswerRead)
	for i := range events {
		if events[i].Kind == TryEnded {
			events[i].Status = status
		}
	}
	return withEvents(withoutKind(withoutKind(withoutKind(events, CallEnded), ReleaseSent), ReleaseRead),
		Event{At: 900 * ms, Kind: AnswerRead, CallID: callID, ConnID: 1, Status: sip.ServiceUnavailable})
}

// withoutKind removes the events of a kind.
func withoutKind(events []Event, kind EventKind) []Event {
	var remaining []Event
	for _, e := range events {
		if e.Kind != kind {
			remaining = append(remaining, e)
		}
	}
	return remaining
}

// withEvents inserts events in the order of time.
func withEvents(events []Event, added ...Event) []Event {
	for _, e := range added {
		i := 0
		for i < len(events) && events[i].At <= e.At {
			i++
		}
		events = append(events[:i:i], append([]Event{e}, events[i:]...)...)
	}
	return events
}

// Guards against a checker that misses a violation or reports what the protocol allows: events for each rule and for each exception.
func TestCheckReportsTheViolatedRule(t *testing.T) {
	answer := Event{At: 130 * ms, Kind: AnswerRead, CallID: callID, ConnID: 1, Status: sip.OK, Detail: AnswerBody(switchID, callID, 0)}
	retry := Event{Kind: TryReceived, CallID: callID, SwitchID: switchID + 1, ConnID: 3, Detail: "offer of " + callID}
	cancelled := Event{At: 110 * ms, Kind: TryAbandoned, CallID: callID, SwitchID: switchID, ConnID: 2}
	drained := []Event{{At: 50 * ms, Kind: ListChanged, Controller: -1, SwitchID: switchID, Status: int(board.Draining), Number: 2}}
	at := func(e Event, at time.Duration) Event { e.At = at; return e }
	for _, test := range []struct {
		name   string
		events []Event
		want   Rule
	}{
		{"normal call", normalCall(), ""},
		{"two answers", withEvents(normalCall(), answer), RuleFinalAnswer},
		{"no answer", withoutKind(withoutKind(normalCall(), AnswerRead), ReleaseRead), RuleFinalAnswer},
		{"no answer, as the caller abandoned the call", withEvents(withoutKind(withoutKind(normalCall(), AnswerRead), ReleaseRead),
			Event{At: 115 * ms, Kind: CallAbandoned, CallID: callID, ConnID: 1}), ""},
		{"no answer, as a fault silenced the connection", withEvents(withoutKind(withoutKind(normalCall(), AnswerRead), ReleaseRead),
			Event{At: 115 * ms, Kind: CallerConnDisrupted, ConnID: 1}), ""},
		{"connection closed with a pending set-up", withEvents(withoutKind(withoutKind(normalCall(), AnswerRead), ReleaseRead),
			Event{At: 400 * ms, Kind: ConnEndedUnanswered, CallID: callID, ConnID: 1}), RuleFinalAnswer},
		{"answer that no switch sent", withEvents(withoutKind(normalCall(), AnswerRead),
			Event{At: 125 * ms, Kind: AnswerRead, CallID: callID, ConnID: 1, Status: sip.OK, Detail: "invented answer"}), RuleAnswerFromSwitch},
		{"release never delivered", withoutKind(normalCall(), ReleaseRead), RuleReleaseDelivery},
		{"release delivered late", withEvents(withoutKind(normalCall(), ReleaseRead),
			Event{At: 3300 * ms, Kind: ReleaseRead, CallID: callID, ConnID: 1}), RuleReleaseDelivery},
		{"release lost on its way and never delivered", withEvents(withoutKind(normalCall(), ReleaseRead),
			Event{At: 1900 * ms, Kind: SwitchConnLost, ConnID: 2}), RuleLostReleaseDelivery},
		{"release lost on its way and delivered late", withEvents(withoutKind(normalCall(), ReleaseRead), Event{At: 1900 * ms, Kind: SwitchConnLost, ConnID: 2},
			Event{At: 9000 * ms, Kind: ReleaseRead, CallID: callID, ConnID: 1}), ""},
		{"release lost long before a kill and never delivered", withEvents(withoutKind(normalCall(), ReleaseRead), Event{At: 1900 * ms, Kind: SwitchConnLost, ConnID: 2},
			Event{At: 20000 * ms, Kind: SignalSent, Status: 9, Detail: "killed"}), RuleLostReleaseDelivery},
		{"release lost with a killed controller", withEvents(withoutKind(normalCall(), ReleaseRead), Event{At: 2005 * ms, Kind: SignalSent, Status: 9, Detail: "killed"},
			Event{At: 2006 * ms, Kind: ControllerExited, Detail: "signal: killed"}, Event{At: 2100 * ms, Kind: ControllerStarted}, Event{At: 2110 * ms, Kind: ControllerReady, Duration: 10 * ms},
			Event{At: 2120 * ms, Kind: EstablishedCallAnnounced, CallID: callID, SwitchID: switchID, ConnID: 1}), ""},
		{"release not delivered, as no caller is connected", withEvents(withoutKind(withoutKind(normalCall(), ReleaseRead), CallerConnClosed),
			Event{At: 1900 * ms, Kind: CallerConnClosed, ConnID: 1}), ""},
		{"immediate retry after a rejection", withEvents(callWithStatus(sip.ServiceUnavailable), at(retry, 110*ms+maxProxyDelay)), ""},
		{"immediate retry after an answer", withEvents(normalCall(), at(retry, 110*ms+maxProxyDelay)), RuleReleaseTime},
		{"immediate retry after a malformed answer", withEvents(callWithStatus(0), at(retry, 110*ms+maxProxyDelay)), RuleReleaseTime},
		{"immediate retry after a server time-out", withEvents(callWithStatus(sip.ServerTimeout), at(retry, 110*ms+maxProxyDelay)), RuleReleaseTime},
		{"immediate retry after a connection reset", withEvents(withoutKind(callWithStatus(0), TryEnded),
			Event{At: 112 * ms, Kind: SwitchConnLost, ConnID: 2, Detail: "reset"}, at(retry, 110*ms+maxProxyDelay)), RuleReleaseTime},
		{"retry after a connection was silenced", withEvents(withoutKind(callWithStatus(0), TryEnded),
			Event{At: 106 * ms, Kind: SwitchConnLost, ConnID: 2, Detail: lossSilent}, at(retry, 400*ms)), ""},
		{"released by the controller at the switch only", withEvents(withoutKind(withoutKind(withoutKind(normalCall(), ReleaseRead), ReleaseSent), CallEnded),
			Event{At: 2000 * ms, Kind: CallEnded, CallID: callID, SwitchID: switchID, Detail: detailReleasedByController}), RuleReleaseDelivery},
		{"released to the caller only", withoutKind(withoutKind(normalCall(), CallEnded), ReleaseSent), RuleEndedAtSwitch},
		{"released by its caller and never at its switch", withEvents(withoutKind(withoutKind(withoutKind(normalCall(), CallEnded), ReleaseSent), ReleaseRead),
			Event{At: 1500 * ms, Kind: CallReleased, CallID: callID, ConnID: 1}), RuleEndedAtSwitch},
		{"two pending tries", withEvents(withoutKind(normalCall(), TryEnded), at(retry, 400*ms)), RuleSingleTry},
		{"retry before the release time", withEvents(normalCall(), cancelled, at(retry, 300*ms)), RuleReleaseTime},
		{"retry after the release time", withEvents(normalCall(), cancelled, at(retry, 111*ms+releaseTime)), ""},
		{"set-up to a draining switch after the grace period", withEvents(withEvents(withoutKind(normalCall(), TryReceived), drained...),
			Event{At: 60 * ms, Kind: ListSent, Number: 2},
			Event{At: 500 * ms, Kind: TryReceived, CallID: callID, SwitchID: switchID, ConnID: 2, Detail: "offer of " + callID}), RuleDrain},
		{"set-up to a draining switch while the board is away", withEvents(withEvents(withoutKind(normalCall(), TryReceived), drained...),
			Event{At: 40 * ms, Kind: BoardLost, Duration: outageRecoveryTime},
			Event{At: 3000 * ms, Kind: BoardRestored}, Event{At: 500 * ms, Kind: TryReceived, CallID: callID, SwitchID: switchID, ConnID: 2, Detail: "offer of " + callID}), ""},
		{"set-up that no caller sent", withEvents(normalCall(),
			Event{At: 200 * ms, Kind: TryReceived, CallID: "00010000000000ff", SwitchID: switchID, ConnID: 2}), RuleValidSetUp},
		{"bad client answered with 200", withEvents(normalCall(), Event{At: 200 * ms, Kind: BadClientServed, Status: sip.OK, Duration: ms}), RuleBadClient},
		{"connection of a bad client closed late", withEvents(normalCall(),
			Event{At: 9000 * ms, Kind: BadClientServed, Status: 1, Duration: 4 * time.Second}), RuleBadClient},
		{"crash", withEvents(normalCall(), Event{At: 20000 * ms, Kind: ControllerExited, Status: 1, Detail: "exit status 2"}), RuleNoCrash},
		{"controller ready late", withEvents(withoutKind(normalCall(), ControllerReady),
			Event{At: 11000 * ms, Kind: ControllerReady, Duration: 11 * time.Second}), RuleReady},
	} {
		plan := Plan{Controllers: 1, Switches: SwitchPlan{Circuits: 10, MaxHoldingTime: time.Second}}
		violations := Check(plan, test.events)
		found := Rule("")
		for _, violation := range violations {
			if found = violation.Rule; found == test.want {
				break
			}
		}
		if found != test.want {
			t.Errorf("%s: found %q, want %q: %v", test.name, found, test.want, violations)
		}
	}
}

// Guards against a checker that counts set-ups to a cold switch per controller: the sum of all controllers overloads it.
func TestCheckFindsAnOverloadedColdSwitch(t *testing.T) {
	plan := Plan{Controllers: 2, Switches: SwitchPlan{Circuits: 4, MaxHoldingTime: 4 * time.Second}}
	events := []Event{{At: time.Second, Kind: ListChanged, Controller: -1, SwitchID: switchID, Status: int(board.Ready), Number: 2, Duration: time.Hour}}
	for i := range 60 {
		events = append(events, Event{At: 2*time.Second + time.Duration(i)*ms, Kind: TryReceived, Controller: i % 2, SwitchID: switchID, CallID: callID, ConnID: 5})
	}
	found := false
	for _, violation := range Check(plan, events) {
		found = found || violation.Rule == RuleColdSwitch
	}
	if !found {
		t.Error("overload of the cold switch not found")
	}
}

func TestNewPlanIsDeterministic(t *testing.T) {
	kinds := map[FaultKind]bool{}
	for seed := range uint64(200) {
		p := NewPlan(seed, 12*time.Second)
		if !reflect.DeepEqual(p, NewPlan(seed, 12*time.Second)) {
			t.Fatalf("seed %d gives two different plans", seed)
		}
		for _, f := range p.Faults {
			kinds[f.Kind] = true
		}
	}
	if len(kinds) != int(numFaultKinds) {
		t.Errorf("%d of %d kinds of faults in the plans", len(kinds), numFaultKinds)
	}
}
