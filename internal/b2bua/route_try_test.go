package b2bua

import (
	"fmt"
	"strings"
	"testing"

	"indigodrift/internal/exchange"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// secondTry creates a call whose first try at switch 1 was lost with its connection, and whose second one is out
// there on another connection.
func secondTry(t *testing.T) (r *rig, k *heardOf) {
	r = newRig(t)
	r.dialAll(10, 10)
	k = r.offer(r.callerUp(), 1, 2000)
	r.linkDown(k.tryOn)
	r.dialAll(10, 10)
	r.pass(releaseTime + 2)
	if k.tryOn == 0 || k.trySwitch != 1 || k.trySeq != 2 {
		t.Fatalf("no second try: %+v", *k)
	}
	return r, k
}

// tryOf returns the state of a try of a call, by its number from 1.
func (r *rig) tryOf(k *heardOf, number int) tryState {
	id, _ := readID(k.id)
	return r.a.calls[id].tries[number-1].state
}

// releasesMeetTries runs a test for a release of the call on each kind of connection on which it may come.
func releasesMeetTries(t *testing.T, causes []int, test func(t *testing.T, r *rig, k *heardOf, release func(cause int), cause int)) {
	for name, on := range map[string]func(*rig, *heardOf) Conn{
		"its own connection": func(r *rig, k *heardOf) Conn { return k.tryOn },
		"another": func(r *rig, k *heardOf) Conn {
			r.a.dial(r.a.far[1])
			return r.dial(false, true)
		},
		"a closing connection": func(r *rig, k *heardOf) Conn {
			r.a.dial(r.a.far[1])
			c := r.dial(false, true)
			r.a.closeLink(r.a.far[1], r.a.far[1].link(c), "test", true)
			return c
		},
	} {
		for _, cause := range causes {
			t.Run(fmt.Sprintf("cause %d on %s", cause, name), func(t *testing.T) {
				r, k := secondTry(t)
				test(t, r, k, func(cause int) { r.a.FromSwitch(r.now, on(r, k), r.bye(k.id, cause)) }, cause)
			})
		}
	}
}

// Guards against ending a try because of the reset of an earlier one at that switch, whichever connection that
// comes on.
func TestResetOfAnEarlierTryEndsNoLaterOne(t *testing.T) {
	releasesMeetTries(t, []int{31, 34}, func(t *testing.T, r *rig, k *heardOf, release func(int), cause int) {
		release(cause)
		if r.pass(100); k.tryOn == 0 || len(k.given) > 0 {
			t.Fatal("the second try is over")
		}
		if r.answer(k, sip.OK); !k.stood {
			t.Error("the answer was not passed on")
		}
	})
}

// Guards against retrying a call too soon, or answering it after its end, when the release comes of a call that an
// earlier try established.
func TestCallReleasedBeforeItsAnswerFailsAndItsTryIsTakenBack(t *testing.T) {
	releasesMeetTries(t, []int{16, 41}, func(t *testing.T, r *rig, k *heardOf, release func(int), cause int) {
		on := k.tryOn
		release(cause)
		if k.answers != 1 || k.stood || len(k.given) != 1 {
			t.Fatalf("%d answers, established %v, %d tries cancelled", k.answers, k.stood, len(k.given))
		}
		k.standsAt = 1 // it crossed the CANCEL
		r.a.FromSwitch(r.now, on, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
		if r.pass(20000); k.switchReleased == 0 || k.tryOn != 0 {
			t.Errorf("released %d times at its switch, a try is out on %d", k.switchReleased, k.tryOn)
		}
	})
}

// Guards against the same while the release time of the earlier try runs, before the next one is sent.
func TestCallReleasedWhileTheReleaseTimeRunsFails(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	k := r.offer(r.callerUp(), 1, 2000)
	r.linkDown(k.tryOn)
	r.dialAll(10, 10)
	r.a.FromSwitch(r.now, r.linkTo(1), r.bye(k.id, 16))
	if r.pass(20000); k.answers != 1 || k.stood || k.trySeq != 1 {
		t.Errorf("%d answers, established %v, %d tries", k.answers, k.stood, k.trySeq)
	}
}

// Guards against a call that stays established although it is over for the platform, because another switch
// released an earlier try.
func TestCallReleasedByTheSwitchOfAnEarlierTryIsOverOnAllSides(t *testing.T) {
	r, k := secondTry(t)
	r.answer(k, sip.OK)
	id, _ := readID(k.id)
	r.a.calls[id].tries[0].sw = 2
	k.eitherReleased, k.overAt = true, r.now
	release := r.bye(k.id, 16)
	release.Fields = append(release.Fields, sip.Field{Name: fieldLoad, Value: "x0:3;x1:33"})
	decider := &reported{Decider: r.a.decide}
	r.a.decide = decider
	r.a.FromSwitch(r.now, r.linkTo(2), release)
	if r.pass(1000); k.callerReleased != 1 || k.switchReleased != 1 {
		t.Errorf("the caller was released %d times, the switch of the call %d times", k.callerReleased, k.switchReleased)
	}
	if got := fmt.Sprint(decider.of); got != "[2]" {
		t.Errorf("the report of switch 2 was passed on for %s", got)
	}
}

// Guards against a release that disconnects a later try: it goes ahead of the later set-up on the same connection,
// which keeps the order.
func TestWhatALostTryLeftIsReleasedAheadOfTheNextSetUpThere(t *testing.T) {
	r, k := secondTry(t)
	if got := withoutTests(r.sent(k.tryOn)); got != "BYE INVITE" {
		t.Errorf("the switch received %q", got)
	}
	if r.tryOf(k, 1) != tryOver || r.tryOf(k, 2) != tryOut {
		t.Errorf("tries are %v and %v", r.tryOf(k, 1), r.tryOf(k, 2))
	}
}

// Guards against a call that stays established at its switch without a caller, when a release that may refer to an
// earlier try ended it.
func TestReleaseThatMayBeOfEitherTryLeavesNothingStanding(t *testing.T) {
	r, k := secondTry(t)
	on := k.tryOn
	r.answer(k, sip.OK)
	k.overAt, k.callerEnded = r.now, false
	from := len(r.wrote)
	k.standsAt = 0 // for the harness: the release is of this try
	r.a.FromSwitch(r.now, on, r.bye(k.id, 16))
	var wrote []string
	for _, w := range r.wrote[from:] {
		wrote = append(wrote, w.m.Method)
	}
	if got := strings.TrimSpace(strings.Join(wrote, " ")); got != "BYE BYE" || k.callerReleased != 1 {
		t.Errorf("written %q, the caller was released %d times", got, k.callerReleased)
	}
}

// abandonedTry creates a call whose first try at switch 1 is abandoned, on a connection that stays open.
func abandonedTry(t *testing.T) (r *rig, k *heardOf, on Conn) {
	r = newRig(t)
	r.dialAll(10, 10)
	k = r.offer(r.callerUp(), 1, 2000)
	on = k.tryOn
	id, _ := readID(k.id)
	r.a.abandon(r.a.calls[id].last(), "test")
	r.a.endTry(r.a.calls[id].last(), policy.Cancelled)
	r.a.settle()
	return r, k, on
}

func (r *rig) answerLate(k *heardOf, on Conn) {
	r.a.FromSwitch(r.now, on, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
}

// Guards against retrying a call before the release time has passed since a late answer to an abandoned try.
func TestReleaseTimeRunsFromALateAnswer(t *testing.T) {
	r, k, on := abandonedTry(t)
	r.pass(releaseTime - 500)
	k.notBefore = r.now + releaseTime // the harness fails on a set-up before this time
	r.answerLate(k, on)
	if got := withoutTests(r.sent(on)); got != "INVITE CANCEL ACK" || r.tryOf(k, 1) != tryLeftStanding {
		t.Errorf("the switch received %q, the try is %v", got, r.tryOf(k, 1))
	}
	if r.pass(600); r.tryOf(k, 2) != tryHeld {
		t.Fatalf("the second try is %v", r.tryOf(k, 2))
	}
	r.pass(910)
	if r.dialAll(10, 10); k.tryOn == 0 || withoutTests(r.sent(k.tryOn)) != "BYE INVITE" {
		t.Errorf("the switch received %q", r.sent(on))
	}
}

// Guards against taking the answer to an abandoned try for that to a later one: they use different connections.
func TestLaterTryAtASwitchHasAConnectionOfItsOwn(t *testing.T) {
	r, k, on := abandonedTry(t)
	r.pass(releaseTime + 2)
	if k.tryOn != 0 || r.tryOf(k, 2) != tryWaiting {
		t.Fatalf("the second try is %v", r.tryOf(k, 2))
	}
	if r.dialAll(10, 10); k.tryOn == 0 || k.tryOn == on {
		t.Fatalf("the second try is on connection %d, the first was on %d", k.tryOn, on)
	}
	r.answerLate(k, on)
	if k.stood {
		t.Fatal("the first answer was passed on")
	}
	if r.answer(k, sip.OK); !k.stood {
		t.Error("the second answer was not passed on")
	}
}

// Guards against tries that never count as answered because their switch writes another number in CSeq than the
// set-up had.
func TestAnswerNeedsNotRepeatTheNumberInCSeq(t *testing.T) {
	r, k := secondTry(t)
	if r.answer(k, sip.OK); !k.stood || k.answers != 1 {
		t.Errorf("established %v, %d answers", k.stood, k.answers)
	}
}

// Guards against a call that stays established at a switch where a later try was out when the late answer to the
// earlier one came.
func TestCallLeftStandingIsReleasedOnceNoTryCanCome(t *testing.T) {
	r, k, on := abandonedTry(t)
	r.pass(releaseTime + 2)
	r.dialAll(10, 10)
	next := k.tryOn
	r.answerLate(k, on)
	if got := withoutTests(r.sent(on)); got != "INVITE CANCEL ACK" || k.stood {
		t.Fatalf("the switch received %q, established %v", got, k.stood)
	}
	r.pass(20000) // the second try is never answered
	if got := withoutTests(r.sent(on)) + ", " + withoutTests(r.sent(next)); got != "INVITE CANCEL ACK BYE, BYE INVITE CANCEL" {
		t.Errorf("the switch received %q", got)
	}
}

// Guards against an answer that crosses our close of its connection and leaves the call established.
func TestAnswerThatCrossesOurCloseIsReleased(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	k := r.offer(r.callerUp(), 1, 500)
	f := r.a.far[1]
	on := k.tryOn
	r.a.closeLink(f, f.link(on), "test", false)
	r.a.settle()
	r.dialAll(10, 10)
	r.a.FromSwitch(r.now, on, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
	k.standsAt = 1
	if r.pass(20000); k.switchReleased != 1 || k.answers != 1 {
		t.Errorf("released %d times at its switch, %d answers", k.switchReleased, k.answers)
	}
}

// Guards against leaving a try out at its switch when that releases the call before an answer, which may refer to
// a call from before a restart.
func TestTryThatItsSwitchReleasesIsTakenBack(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	k := r.offer(r.callerUp(), 1, 2000)
	on := k.tryOn
	r.a.FromSwitch(r.now, on, r.bye(k.id, 31))
	if got := withoutTests(r.sent(on)); got != "INVITE 200 CANCEL" || len(k.given) != 1 {
		t.Errorf("the switch received %q", got)
	}
}

// Guards against a timer that acts on another try than its own.
func TestLimitOfAnEarlierTryDoesNotEndALaterOne(t *testing.T) {
	r, k := secondTry(t)
	id, _ := readID(k.id)
	r.a.limitReached(r.a.calls[id], 0)
	if k.tryOn == 0 || r.tryOf(k, 2) != tryOut {
		t.Errorf("the second try is %v", r.tryOf(k, 2))
	}
}

// Guards against not releasing the caller of a call adopted after a restart, when another switch releases a try
// from before the restart.
func TestAdoptedCallReleasedByAnotherSwitchIsOverOnAllSides(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	c := r.callerUp()
	const id = "00000000000007d0"
	k := &heardOf{id: id, on: c, stood: true, standsAt: 1, answers: 1, eitherReleased: true}
	r.calls[id] = k
	r.a.FromCaller(r.now, r.now, c, invite(id, "voice", 1000, "dest:1;width:1;at:s-00000001", ""))
	r.a.FromSwitch(r.now, r.linkTo(2), r.bye(id, 16))
	if k.callerReleased != 1 || k.switchReleased != 1 {
		t.Errorf("the caller was released %d times, the switch of the call %d times", k.callerReleased, k.switchReleased)
	}
}

// reported records the switches of the load reports with 33 circuits that the policy receives.
type reported struct {
	exchange.Decider
	of []uint32
}

func (d *reported) LoadReported(now policy.Tenths, sw uint32, rep policy.LoadReport) {
	if rep.Size == 33 {
		d.of = append(d.of, sw)
	}
	d.Decider.LoadReported(now, sw, rep)
}

func (d *reported) TryEnded(now policy.Tenths, id uint32, try int, sw uint32, end policy.Outcome, final bool, why policy.Reason, wait policy.Tenths, rep policy.LoadReport) {
	if rep.Size == 33 {
		d.of = append(d.of, sw)
	}
	d.Decider.TryEnded(now, id, try, sw, end, final, why, wait, rep)
}
