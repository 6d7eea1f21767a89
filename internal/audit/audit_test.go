package audit

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/isup"
)

const ms = int64(1000)

var testCall = isup.Reference{Point: 1, Identity: 7}

// dayLog returns a log with the parameters of the rules, one call offered at 1 s with 3 s left, and the events of a case.
func dayLog(more ...Event) []Event {
	events := []Event{{Kind: Parameter, Site: ParameterDrainGrace, Value: 250 * ms}, {Kind: Parameter, Site: ParameterReleaseTime, Value: 300 * ms},
		{Kind: Parameter, Site: ParameterRampTime, Value: 14000 * ms}, {Kind: Parameter, Site: ParameterOverloadWindow, Value: 1500 * ms},
		{Kind: Parameter, Site: ParameterOverloadMultiple, Value: 3000}, {Kind: Parameter, Site: ParameterInitialCapacity, Value: 300},
		{At: 1000 * ms, Kind: CallOffered, Ref: testCall, Value: 3000 * ms}}
	events = append(events, more...)
	return append(events, Event{At: 100000 * ms, Kind: ListEntrySent})
}

func eventAt(t int64, kind Kind, site, peer int) Event {
	return Event{At: t * ms, Kind: kind, Site: site, Peer: peer, Ref: testCall, CIC: 1}
}

func callResponse(t int64, m isup.Type) Event {
	return Event{At: t * ms, Kind: CallResponse, Ref: testCall, CIC: uint16(m)}
}

func tryResponse(t int64, site int, m isup.Type) Event {
	e := eventAt(t, TryResponse, site, 0)
	e.Value = int64(m)
	return e
}

func listEntry(t int64, ready uint16, version int64) Event {
	return Event{At: t * ms, Kind: ListEntrySent, Site: 0, Peer: 3, CIC: ready, Value: version}
}

func listAck(t, version int64) Event {
	return Event{At: t * ms, Kind: ListAcknowledged, Site: 0, Value: version}
}

func TestCheckReportsViolations(t *testing.T) {
	answered := callResponse(1500, isup.ANM)
	for _, c := range []struct {
		name string
		log  []Event
		want []int
	}{
		{"an established call", []Event{eventAt(1100, TryReceived, 3, 0), tryResponse(1400, 3, isup.ANM), answered}, nil},
		{"no response", nil, []int{1}},
		{"no response to a call offered just before its deadline", []Event{callResponse(1500, isup.REL), {At: 1000 * ms, Kind: CallOffered, Ref: isup.Reference{Point: 1, Identity: 8}, Value: ms}}, nil},
		{"the caller abandoned early", []Event{eventAt(2000, CallerReleased, 0, 0)}, nil},
		{"the caller abandoned at the deadline", []Event{eventAt(4000, CallerReleased, 0, 0)}, []int{1}},
		{"two refusals", []Event{callResponse(1500, isup.REL), callResponse(1600, isup.REL)}, []int{1}},
		{"established and released", []Event{answered, callResponse(1600, isup.REL)}, nil},
		{"established twice", []Event{answered, callResponse(1600, isup.ANM)}, []int{1}},
		{"a response after the deadline by twice the margin", []Event{callResponse(4200, isup.REL)}, []int{1, 1}},
		{"a response after the caller abandoned", []Event{eventAt(2000, CallerReleased, 0, 0), callResponse(2200, isup.REL)}, []int{1}},
		{"the caller abandoned during a pause", []Event{eventAt(1500, ControllerPaused, 0, 0), eventAt(2000, CallerReleased, 0, 0), eventAt(2500, ControllerResumed, 0, 0), callResponse(2550, isup.REL)}, nil},
		{"the caller abandoned during a pause, response too late", []Event{eventAt(1500, ControllerPaused, 0, 0), eventAt(2000, CallerReleased, 0, 0), eventAt(2500, ControllerResumed, 0, 0), callResponse(2700, isup.REL)}, []int{1}},
		{"sent after the final response", []Event{callResponse(1500, isup.REL), eventAt(1700, TryReceived, 3, 0)}, []int{1}},
		{"the caller abandoned during two overlapping pauses", []Event{eventAt(1500, ControllerPaused, 0, 0), eventAt(2000, CallerReleased, 0, 0), eventAt(2100, ControllerPaused, 0, 0), eventAt(2500, ControllerResumed, 0, 0),
			callResponse(2550, isup.REL), eventAt(2700, ControllerResumed, 0, 0)}, nil},
		{"no response as the controller was killed", []Event{eventAt(2000, ControllerKilled, 0, 0)}, nil},
		{"no response as the controller was paused at the deadline", []Event{eventAt(3900, ControllerPaused, 0, 0), eventAt(5000, ControllerResumed, 0, 0)}, nil},
		{"no response though the controller resumed in time", []Event{eventAt(1100, ControllerPaused, 0, 0), eventAt(2000, ControllerResumed, 0, 0)}, []int{1}},
		{"two route tries at once", []Event{eventAt(1100, TryReceived, 3, 0), eventAt(1200, TryReceived, 4, 0), answered}, []int{2}},
		{"the next try after a refusal", []Event{eventAt(1100, TryReceived, 3, 0), tryResponse(1150, 3, isup.REL), eventAt(1160, TryReceived, 4, 0), answered}, nil},
		{"the next try after the release time", []Event{eventAt(1100, TryReceived, 3, 0), eventAt(1200, TryReleased, 3, 0), eventAt(1500, TryReceived, 4, 0), answered}, nil},
		{"the next try too early by twice the margin", []Event{eventAt(1100, TryReceived, 3, 0), eventAt(1200, TryReleased, 3, 0), eventAt(1300, TryReceived, 4, 0), answered}, []int{5}},
		{"too early after a lost link", []Event{eventAt(1100, TryReceived, 3, 0), eventAt(1200, LinkLost, 3, 0), eventAt(1300, TryReceived, 4, 0), answered}, []int{5}},
		{"too early after a reset", []Event{eventAt(1100, TryReceived, 3, 0), eventAt(1200, ResetDelivered, 0, 3), eventAt(1300, TryReceived, 4, 0), answered}, []int{5}},
		{"a reset of one circuit of a multirate call", []Event{{At: 1100 * ms, Kind: TryReceived, Site: 3, Peer: 0, Ref: testCall, CIC: 1, Slots: 5}, {At: 1200 * ms, Kind: ResetDelivered, Site: 0, Peer: 3, Ref: testCall, CIC: 3},
			eventAt(1550, TryReceived, 4, 0), answered}, nil},
		{"a reset of a circuit next to a multirate call", []Event{{At: 1100 * ms, Kind: TryReceived, Site: 3, Peer: 0, Ref: testCall, CIC: 1, Slots: 5}, {At: 1200 * ms, Kind: ResetDelivered, Site: 0, Peer: 3, Ref: testCall, CIC: 2},
			eventAt(1550, TryReceived, 4, 0), answered}, []int{2}},
		{"dual seizure that the remote exchange wins", []Event{eventAt(1100, TryReceived, 3, 0), {At: 1150 * ms, Kind: SetUpDelivered, Site: 0, Peer: 3, CIC: 1, Slots: 3},
			eventAt(1151, TryReceived, 4, 0), answered}, nil},
		{"dual seizure that this exchange wins", []Event{{At: 1100 * ms, Kind: TryReceived, Site: 3, Peer: 0, Ref: testCall, CIC: 1, Slots: 7},
			{At: 1150 * ms, Kind: SetUpDelivered, Site: 0, Peer: 3, CIC: 1, Slots: 3}, eventAt(1151, TryReceived, 4, 0), answered}, []int{2}},
		{"crossed by a reset that was read after a pause", []Event{eventAt(1050, ControllerPaused, 0, 0), eventAt(1100, ResetDelivered, 0, 3), eventAt(1200, ControllerResumed, 0, 0), eventAt(1210, TryReceived, 3, 0),
			eventAt(1520, TryReceived, 4, 0), answered}, nil},
		{"crossed by a reset, and sent again too early", []Event{eventAt(1100, ResetDelivered, 0, 3), eventAt(1110, TryReceived, 3, 0), eventAt(1210, TryReceived, 4, 0), answered}, []int{5}},
		{"sent within the grace time", []Event{listEntry(900, 0, 1), listAck(950, 1), eventAt(1250, TryReceived, 3, 0), answered}, nil},
		{"sent after the grace time by twice the margin", []Event{listEntry(800, 0, 1), listAck(850, 1), eventAt(1300, TryReceived, 3, 0), answered}, []int{3}},
		{"list never acknowledged by an active controller", []Event{listEntry(500, 0, 1), eventAt(1100, TryReceived, 4, 0), tryResponse(1150, 4, isup.REL), eventAt(1500, TryReceived, 3, 0), answered}, []int{3}},
		{"reported not ready, then ready", []Event{listEntry(100, 0, 1), listAck(150, 1), listEntry(900, 1, 2), listAck(910, 2), eventAt(1300, TryReceived, 3, 0), answered}, nil},
	} {
		var got []int
		for _, violation := range Check(dayLog(c.log...)) {
			got = append(got, violation.Rule)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: rules %v broken, want %v", c.name, got, c.want)
		}
	}
}

// Of several lists that were never acknowledged, the last one written must count. Applied in map order, an old list could
// mark a switch as not ready that was ready again.
func TestLastUnacknowledgedListCounts(t *testing.T) {
	var log []Event
	for version := range int64(20) {
		log = append(log, listEntry(100+version, uint16(version%2), version))
	}
	log = append(log, eventAt(500, TryReceived, 4, 0), tryResponse(510, 4, isup.REL), eventAt(1500, TryReceived, 3, 0), callResponse(1600, isup.ANM))
	for range 20 {
		if got := Check(dayLog(log...)); len(got) > 0 {
			t.Fatal(got)
		}
	}
}

func TestColdSwitchBudgetCountsAllSetUps(t *testing.T) {
	for _, c := range []struct {
		setUps   int
		informed bool
		broken   bool
	}{{20, true, false}, {60, true, true}, {60, false, false}} {
		// The switch handles 20 set-ups per second when warm.
		log := []Event{{At: 500 * ms, Kind: SwitchStarted, Site: 3, CIC: 1, Value: 20_000}, callResponse(1500, isup.REL)}
		if c.informed {
			for controller := range 5 {
				log = append(log, Event{At: 600 * ms, Kind: ListEntrySent, Site: controller, Peer: 3, CIC: 1, Value: 1}, Event{At: 601 * ms, Kind: ListAcknowledged, Site: controller, Value: 1})
			}
		}
		for n := range c.setUps { // refused set-ups count as well: the log has no TryResponse
			log = append(log, Event{At: (2000 + int64(n)) * ms, Kind: TryReceived, Site: 3, Peer: n % 5, Ref: isup.Reference{Point: 9, Identity: uint32(n)}, CIC: uint16(n/31*32 + n%31 + 1)})
		}
		got := Check(dayLog(log...))
		if (len(got) > 0) != c.broken || c.broken && got[0].Rule != 4 {
			t.Errorf("%d set-ups, controllers informed %v: %v", c.setUps, c.informed, got)
		}
	}
}

func TestReadRoundTripAndErrorLine(t *testing.T) {
	var b bytes.Buffer
	l := NewLog(&b)
	want := Event{Kind: TryReceived, Site: 3, Peer: 4, Ref: testCall, CIC: 77, Slots: 1 << 30, Value: -5}
	l.Add(want)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := Read(strings.NewReader(b.String()))
	if err != nil || len(got) != 1 {
		t.Fatal(got, err)
	}
	if want.At = got[0].At; got[0] != want {
		t.Fatalf("%+v", got[0])
	}
	for _, bad := range []string{"1 t 2", "1 t 1 2 3 4 5 6 x"} {
		if _, err := Read(strings.NewReader(b.String() + bad + "\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// Checks valid logs of calls from phones at gateways and one log for each violation.
func TestCheckReportsViolationsOfPhones(t *testing.T) {
	ref := isup.Reference{Point: 1, Identity: 99}
	ev := func(t int64, k Kind, slots uint32, v int64) Event {
		return Event{At: t * ms, Kind: k, Site: 0, Peer: 2, CIC: 5, Ref: ref, Slots: slots, Value: v}
	}
	dialled := ev(1000, NumberDialled, 0, 5000*ms)
	taken := ev(1010, NumberAcknowledged, 0, 0)
	down := func(t, v int64) Event { return ev(t, GatewayDown, 0, v) }
	for _, c := range []struct {
		name string
		log  []Event
		want []int
	}{
		{"established call", []Event{dialled, taken, ev(1500, PhoneOutcome, 1, 0)}, nil},
		{"no outcome", []Event{dialled, taken}, []int{1}},
		{"no outcome of a number that was never acknowledged", []Event{dialled}, nil},
		{"no outcome as the gateway was unreachable", []Event{dialled, taken, down(3000, 1), down(9000, 0)}, nil},
		{"no outcome, gateway unreachable long before", []Event{down(100, 1), down(200, 0), dialled, taken}, []int{1}},
		{"no outcome, controller killed", []Event{dialled, taken, eventAt(3000, ControllerKilled, 0, 0)}, nil},
		{"no outcome, another controller killed", []Event{dialled, taken, eventAt(3000, ControllerKilled, 1, 0)}, []int{1}},
		{"every copy of the outcome lost", []Event{dialled, taken, ev(2000, PhoneOutcomeLost, 0, 0), ev(2200, PhoneOutcomeLost, 0, 0), ev(2600, PhoneOutcomeLost, 0, 0)}, nil},
		{"two copies lost and no third", []Event{dialled, taken, ev(2000, PhoneOutcomeLost, 0, 0), ev(2200, PhoneOutcomeLost, 0, 0)}, []int{1}},
		{"the caller abandoned early", []Event{dialled, taken, ev(2000, HookChanged, 0, 0)}, nil},
		{"established call, and a tone at its end", []Event{dialled, taken, ev(1500, PhoneOutcome, 1, 0), ev(4000, PhoneOutcome, 2, 2)}, nil},
		{"refused, then established", []Event{dialled, taken, ev(1500, PhoneOutcome, 2, 2), ev(1700, PhoneOutcome, 1, 0)}, []int{1}},
		{"refused, then failed", []Event{dialled, taken, ev(1500, PhoneOutcome, 2, 2), ev(1700, PhoneOutcome, 2, 4)}, []int{1}},
		{"outcome after the deadline", []Event{dialled, taken, ev(6300, PhoneOutcome, 2, 2)}, []int{1}},
		{"outcome after the acknowledged hang-up", []Event{dialled, taken, ev(2000, HookChanged, 0, 0), ev(2010, HangUpAcknowledged, 0, 0), ev(2300, PhoneOutcome, 1, 0)}, []int{1}},
		{"a connection kept while the phone is off hook", []Event{ev(900, HookChanged, 0, 1), ev(1000, ConnectionChanged, 7, 1), ev(90000, ConnectionChanged, 7, 0)}, nil},
		{"a connection that outlives its call", []Event{ev(900, HookChanged, 0, 1), ev(1000, ConnectionChanged, 7, 1), ev(2000, HookChanged, 0, 0), ev(65000, ConnectionChanged, 7, 0)}, []int{6}},
		{"a connection that exists at the end", []Event{ev(1000, ConnectionChanged, 7, 1)}, []int{6}},
		{"a connection at a gateway that was unreachable", []Event{ev(1000, ConnectionChanged, 7, 1), down(50000, 1), down(80000, 0), ev(99000, ConnectionChanged, 7, 0)}, nil},
		{"a connection left by a controller that was killed long before", []Event{ev(1000, ConnectionChanged, 7, 1), eventAt(20000, ControllerKilled, 0, 0), ev(99000, ConnectionChanged, 7, 0)}, []int{6}},
		{"a connection left by a controller that was killed recently", []Event{ev(1000, ConnectionChanged, 7, 1), eventAt(50000, ControllerKilled, 0, 0), ev(99000, ConnectionChanged, 7, 0)}, nil},
		{"a connection that is deleted after the end of the day", []Event{ev(90000, ConnectionChanged, 7, 1), {At: 95000 * ms, Kind: DayEnded}, eventAt(96000, ControllerKilled, 0, 0)}, nil},
		{"a stale connection at the end of the day", []Event{ev(1000, ConnectionChanged, 7, 1), {At: 95000 * ms, Kind: DayEnded}, eventAt(96000, ControllerKilled, 0, 0)}, []int{6}},
		{"ringing at a phone that is off hook", []Event{ev(1000, ToneRequested, 1, 5)}, []int{7}},
		{"ringing while going off hook", []Event{ev(1000, ToneRequested, 3, 5)}, nil},
		{"dial tone at a phone on hook", []Event{ev(1000, ToneRequested, 0, 1)}, []int{7}},
		{"dial tone at a phone that is off hook", []Event{ev(1000, ToneRequested, 1, 1)}, nil},
	} {
		var got []int
		for _, violation := range Check(append(c.log, Event{At: 100000 * ms, Kind: ListAcknowledged})) {
			got = append(got, violation.Rule)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: rules %v broken, want %v", c.name, got, c.want)
		}
	}
}
