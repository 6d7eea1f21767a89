package audit

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/isup"
)

const ms = int64(1000)

var call = isup.Reference{Point: 1, Identity: 7}

// day is a log on paper: the figures of the rules, one call offered at 1 s with 3 s left, then what a case adds.
func day(more ...Event) []Event {
	all := []Event{{Kind: Rule, Site: RuleGrace, Value: 250 * ms}, {Kind: Rule, Site: RuleRelease, Value: 300 * ms},
		{Kind: Rule, Site: RuleRamp, Value: 14000 * ms}, {Kind: Rule, Site: RuleWindow, Value: 1500 * ms},
		{Kind: Rule, Site: RuleMultiple, Value: 3000}, {Kind: Rule, Site: RuleColdFrom, Value: 300},
		{At: 1000 * ms, Kind: Offer, Ref: call, Value: 3000 * ms}}
	all = append(all, more...)
	return append(all, Event{At: 100000 * ms, Kind: Told})
}

func at(t int64, k Kind, site, peer int) Event {
	return Event{At: t * ms, Kind: k, Site: site, Peer: peer, Ref: call, CIC: 1}
}

func answer(t int64, m isup.Type) Event {
	return Event{At: t * ms, Kind: Answer, Ref: call, CIC: uint16(m)}
}

func back(t int64, site int, m isup.Type) Event {
	e := at(t, Back, site, 0)
	e.Value = int64(m)
	return e
}

func told(t int64, ready uint16, version int64) Event {
	return Event{At: t * ms, Kind: Told, Site: 0, Peer: 3, CIC: ready, Value: version}
}

func ack(t, version int64) Event { return Event{At: t * ms, Kind: Ack, Site: 0, Value: version} }

func TestVerdicts(t *testing.T) {
	fine := answer(1500, isup.ANM)
	for _, c := range []struct {
		name string
		log  []Event
		want []int
	}{
		{"a call that stands", []Event{at(1100, Try, 3, 0), back(1400, 3, isup.ANM), fine}, nil},
		{"no answer", nil, []int{1}},
		{"no answer to one given too late to be told", []Event{answer(1500, isup.REL), {At: 1000 * ms, Kind: Offer, Ref: isup.Reference{Point: 1, Identity: 8}, Value: ms}}, nil},
		{"the caller left early", []Event{at(2000, Leave, 0, 0)}, nil},
		{"the caller left as its time was up", []Event{at(4000, Leave, 0, 0)}, []int{1}},
		{"two refusals", []Event{answer(1500, isup.REL), answer(1600, isup.REL)}, []int{1}},
		{"stands and is released", []Event{fine, answer(1600, isup.REL)}, nil},
		{"stands twice", []Event{fine, answer(1600, isup.ANM)}, []int{1}},
		{"an answer past the time by twice the margin", []Event{answer(4200, isup.REL)}, []int{1, 1}},
		{"an answer after the caller left", []Event{at(2000, Leave, 0, 0), answer(2200, isup.REL)}, []int{1}},
		{"the caller left while it stood still", []Event{at(1500, Stopped, 0, 0), at(2000, Leave, 0, 0), at(2500, Went, 0, 0), answer(2550, isup.REL)}, nil},
		{"the caller left while it stood still, long ago", []Event{at(1500, Stopped, 0, 0), at(2000, Leave, 0, 0), at(2500, Went, 0, 0), answer(2700, isup.REL)}, []int{1}},
		{"sent after the final answer", []Event{answer(1500, isup.REL), at(1700, Try, 3, 0)}, []int{1}},
		{"the caller left while it was stopped twice over", []Event{at(1500, Stopped, 0, 0), at(2000, Leave, 0, 0), at(2100, Stopped, 0, 0), at(2500, Went, 0, 0),
			answer(2550, isup.REL), at(2700, Went, 0, 0)}, nil},
		{"unanswered as the controller was killed", []Event{at(2000, Killed, 0, 0)}, nil},
		{"unanswered as it stood still at the end", []Event{at(3900, Stopped, 0, 0), at(5000, Went, 0, 0)}, nil},
		{"stood still, but went on in time", []Event{at(1100, Stopped, 0, 0), at(2000, Went, 0, 0)}, []int{1}},
		{"two tries out", []Event{at(1100, Try, 3, 0), at(1200, Try, 4, 0), fine}, []int{2}},
		{"the next after a refusal", []Event{at(1100, Try, 3, 0), back(1150, 3, isup.REL), at(1160, Try, 4, 0), fine}, nil},
		{"the next after its release time", []Event{at(1100, Try, 3, 0), at(1200, Off, 3, 0), at(1500, Try, 4, 0), fine}, nil},
		{"the next before it by twice the margin", []Event{at(1100, Try, 3, 0), at(1200, Off, 3, 0), at(1300, Try, 4, 0), fine}, []int{5}},
		{"after a link broke, too early", []Event{at(1100, Try, 3, 0), at(1200, Broke, 3, 0), at(1300, Try, 4, 0), fine}, []int{5}},
		{"after a reset came in, too early", []Event{at(1100, Try, 3, 0), at(1200, ResetIn, 0, 3), at(1300, Try, 4, 0), fine}, []int{5}},
		{"a reset of one circuit of a wide call", []Event{{At: 1100 * ms, Kind: Try, Site: 3, Peer: 0, Ref: call, CIC: 1, Slots: 5}, {At: 1200 * ms, Kind: ResetIn, Site: 0, Peer: 3, Ref: call, CIC: 3},
			at(1550, Try, 4, 0), fine}, nil},
		{"a reset of a circuit beside a wide call", []Event{{At: 1100 * ms, Kind: Try, Site: 3, Peer: 0, Ref: call, CIC: 1, Slots: 5}, {At: 1200 * ms, Kind: ResetIn, Site: 0, Peer: 3, Ref: call, CIC: 2},
			at(1550, Try, 4, 0), fine}, []int{2}},
		{"void as the far exchange keeps the circuit", []Event{at(1100, Try, 3, 0), {At: 1150 * ms, Kind: In, Site: 0, Peer: 3, CIC: 1, Slots: 3},
			at(1151, Try, 4, 0), fine}, nil},
		{"not void as this one keeps it", []Event{{At: 1100 * ms, Kind: Try, Site: 3, Peer: 0, Ref: call, CIC: 1, Slots: 7},
			{At: 1150 * ms, Kind: In, Site: 0, Peer: 3, CIC: 1, Slots: 3}, at(1151, Try, 4, 0), fine}, []int{2}},
		{"crossed by a reset that lay unread", []Event{at(1050, Stopped, 0, 0), at(1100, ResetIn, 0, 3), at(1200, Went, 0, 0), at(1210, Try, 3, 0),
			at(1520, Try, 4, 0), fine}, nil},
		{"crossed by a reset, and sent again too early", []Event{at(1100, ResetIn, 0, 3), at(1110, Try, 3, 0), at(1210, Try, 4, 0), fine}, []int{5}},
		{"within the grace", []Event{told(900, 0, 1), ack(950, 1), at(1250, Try, 3, 0), fine}, nil},
		{"past the grace by twice the margin", []Event{told(800, 0, 1), ack(850, 1), at(1300, Try, 3, 0), fine}, []int{3}},
		{"never acknowledged, but alive", []Event{told(500, 0, 1), at(1100, Try, 4, 0), back(1150, 4, isup.REL), at(1500, Try, 3, 0), fine}, []int{3}},
		{"told off, then on", []Event{told(100, 0, 1), ack(150, 1), told(900, 1, 2), ack(910, 2), at(1300, Try, 3, 0), fine}, nil},
	} {
		var got []int
		for _, b := range Judge(day(c.log...)) {
			got = append(got, b.Rule)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: rules %v broken, want %v", c.name, got, c.want)
		}
	}
}

// Of lists that were never acknowledged the last one written counts; taken as a map has them, a switch that was ready again
// seemed told off now and then.
func TestLastOfUnacknowledgedListsCounts(t *testing.T) {
	var log []Event
	for version := range int64(20) {
		log = append(log, told(100+version, uint16(version%2), version))
	}
	log = append(log, at(500, Try, 4, 0), back(510, 4, isup.REL), at(1500, Try, 3, 0), answer(1600, isup.ANM))
	for range 20 {
		if got := Judge(day(log...)); len(got) > 0 {
			t.Fatal(got)
		}
	}
}

func TestColdSwitchIsJudgedByAllItGets(t *testing.T) {
	for _, c := range []struct {
		setups int
		told   bool
		broken bool
	}{{20, true, false}, {60, true, true}, {60, false, false}} {
		log := []Event{{At: 500 * ms, Kind: Life, Site: 3, CIC: 1, Value: 20_000}, answer(1500, isup.REL)} // 20 set-ups a second warm
		if c.told {
			for who := range 5 {
				log = append(log, Event{At: 600 * ms, Kind: Told, Site: who, Peer: 3, CIC: 1, Value: 1}, Event{At: 601 * ms, Kind: Ack, Site: who, Value: 1})
			}
		}
		for n := range c.setups { // refused ones count as well: no Back tells them apart
			log = append(log, Event{At: (2000 + int64(n)) * ms, Kind: Try, Site: 3, Peer: n % 5, Ref: isup.Reference{Point: 9, Identity: uint32(n)}, CIC: uint16(n/31*32 + n%31 + 1)})
		}
		got := Judge(day(log...))
		if (len(got) > 0) != c.broken || c.broken && got[0].Rule != 4 {
			t.Errorf("%d set-ups, told %v: %v", c.setups, c.told, got)
		}
	}
}

func TestLogReadsBackAndNamesABadLine(t *testing.T) {
	var b bytes.Buffer
	l := NewLog(&b)
	want := Event{Kind: Try, Site: 3, Peer: 4, Ref: call, CIC: 77, Slots: 1 << 30, Value: -5}
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

// Calls from phones at gateways, on paper: what is in order, and each thing that is not.
func TestVerdictsOnPhones(t *testing.T) {
	ref := isup.Reference{Point: 1, Identity: 99}
	ev := func(t int64, k Kind, slots uint32, v int64) Event {
		return Event{At: t * ms, Kind: k, Site: 0, Peer: 2, CIC: 5, Ref: ref, Slots: slots, Value: v}
	}
	dialled := ev(1000, Dialled, 0, 5000*ms)
	taken := ev(1010, Taken, 0, 0)
	down := func(t, v int64) Event { return ev(t, GatewayDown, 0, v) }
	for _, c := range []struct {
		name string
		log  []Event
		want []int
	}{
		{"stands", []Event{dialled, taken, ev(1500, Final, 1, 0)}, nil},
		{"no answer", []Event{dialled, taken}, []int{1}},
		{"no answer to what was never taken", []Event{dialled}, nil},
		{"no answer as the gateway was cut off", []Event{dialled, taken, down(3000, 1), down(9000, 0)}, nil},
		{"no answer, cut off long before", []Event{down(100, 1), down(200, 0), dialled, taken}, []int{1}},
		{"no answer, the controller killed", []Event{dialled, taken, at(3000, Killed, 0, 0)}, nil},
		{"no answer, another controller killed", []Event{dialled, taken, at(3000, Killed, 1, 0)}, []int{1}},
		{"every copy of the answer lost", []Event{dialled, taken, ev(2000, Swallowed, 0, 0), ev(2200, Swallowed, 0, 0), ev(2600, Swallowed, 0, 0)}, nil},
		{"two copies lost and no third", []Event{dialled, taken, ev(2000, Swallowed, 0, 0), ev(2200, Swallowed, 0, 0)}, []int{1}},
		{"the caller left early", []Event{dialled, taken, ev(2000, Hook, 0, 0)}, nil},
		{"stands, and a tone at its end", []Event{dialled, taken, ev(1500, Final, 1, 0), ev(4000, Final, 2, 2)}, nil},
		{"refused, then stands", []Event{dialled, taken, ev(1500, Final, 2, 2), ev(1700, Final, 1, 0)}, []int{1}},
		{"refused, then failed", []Event{dialled, taken, ev(1500, Final, 2, 2), ev(1700, Final, 2, 4)}, []int{1}},
		{"answered after its time", []Event{dialled, taken, ev(6300, Final, 2, 2)}, []int{1}},
		{"answered after the hang-up was answered", []Event{dialled, taken, ev(2000, Hook, 0, 0), ev(2010, HungUp, 0, 0), ev(2300, Final, 1, 0)}, []int{1}},
		{"a connection kept while the phone is off hook", []Event{ev(900, Hook, 0, 1), ev(1000, Connection, 7, 1), ev(90000, Connection, 7, 0)}, nil},
		{"a connection that outlives its call", []Event{ev(900, Hook, 0, 1), ev(1000, Connection, 7, 1), ev(2000, Hook, 0, 0), ev(65000, Connection, 7, 0)}, []int{6}},
		{"one that is there at the end", []Event{ev(1000, Connection, 7, 1)}, []int{6}},
		{"one of a gateway that was cut off", []Event{ev(1000, Connection, 7, 1), down(50000, 1), down(80000, 0), ev(99000, Connection, 7, 0)}, nil},
		{"one left by a controller that was killed long ago", []Event{ev(1000, Connection, 7, 1), at(20000, Killed, 0, 0), ev(99000, Connection, 7, 0)}, []int{6}},
		{"one left by a controller that was killed of late", []Event{ev(1000, Connection, 7, 1), at(50000, Killed, 0, 0), ev(99000, Connection, 7, 0)}, nil},
		{"one that is torn down after the day", []Event{ev(90000, Connection, 7, 1), {At: 95000 * ms, Kind: End}, at(96000, Killed, 0, 0)}, nil},
		{"one that was there long as the day ended", []Event{ev(1000, Connection, 7, 1), {At: 95000 * ms, Kind: End}, at(96000, Killed, 0, 0)}, []int{6}},
		{"ring at a phone that is off hook", []Event{ev(1000, Tone, 1, 5)}, []int{7}},
		{"ring as it is being lifted", []Event{ev(1000, Tone, 3, 5)}, nil},
		{"dial tone at a phone on hook", []Event{ev(1000, Tone, 0, 1)}, []int{7}},
		{"dial tone at one that is off", []Event{ev(1000, Tone, 1, 1)}, nil},
	} {
		var got []int
		for _, b := range Judge(append(c.log, Event{At: 100000 * ms, Kind: Ack})) {
			got = append(got, b.Rule)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: rules %v broken, want %v", c.name, got, c.want)
		}
	}
}
