package b2bua

import (
	"fmt"
	"strings"
	"testing"

	"indigodrift/internal/exchange"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// callWithSecondTry creates a call whose first try at switch 1 was lost with its connection, and whose second one is out
// there on another connection.
func callWithSecondTry(t *testing.T) (r *harness, k *observedCall) {
	r = newHarness(t)
	r.completeDials(10, 10)
	k = r.sendSetUp(r.connectCaller(), 1, 2000)
	r.disconnectLink(k.tryConn)
	r.completeDials(10, 10)
	r.advanceTime(releaseTime + 2)
	if k.tryConn == 0 || k.trySwitch != 1 || k.trySeq != 2 {
		t.Fatalf("no second try: %+v", *k)
	}
	return r, k
}

// tryState returns the state of a try of a call, by its number from 1.
func (r *harness) tryState(k *observedCall, number int) tryState {
	id, _ := parseID(k.id)
	return r.agent.calls[id].tries[number-1].state
}

// forEachReleaseConn runs a test for a release of the call on each kind of connection on which it may come.
func forEachReleaseConn(t *testing.T, causes []int, test func(t *testing.T, r *harness, k *observedCall, release func(cause int), cause int)) {
	for name, on := range map[string]func(*harness, *observedCall) ConnID{
		"its own connection": func(r *harness, k *observedCall) ConnID { return k.tryConn },
		"another": func(r *harness, k *observedCall) ConnID {
			r.agent.dial(r.agent.switches[1])
			return r.completeDial(false, true)
		},
		"a closing connection": func(r *harness, k *observedCall) ConnID {
			r.agent.dial(r.agent.switches[1])
			c := r.completeDial(false, true)
			r.agent.closeLink(r.agent.switches[1], r.agent.switches[1].findLink(c), "test", true)
			return c
		},
	} {
		for _, cause := range causes {
			t.Run(fmt.Sprintf("cause %d on %s", cause, name), func(t *testing.T) {
				r, k := callWithSecondTry(t)
				test(t, r, k, func(cause int) { r.agent.FromSwitch(r.now, on(r, k), r.newRelease(k.id, cause)) }, cause)
			})
		}
	}
}

// Guards against ending a try because of the reset of an earlier one at that switch, whichever connection that
// comes on.
func TestResetOfAnEarlierTryEndsNoLaterOne(t *testing.T) {
	forEachReleaseConn(t, []int{31, 34}, func(t *testing.T, r *harness, k *observedCall, release func(int), cause int) {
		release(cause)
		if r.advanceTime(100); k.tryConn == 0 || len(k.abandonedTries) > 0 {
			t.Fatal("the second try is over")
		}
		if r.answer(k, sip.OK); !k.answered {
			t.Error("the answer was not passed on")
		}
	})
}

// Guards against retrying a call too soon, or answering it after its end, when the release comes of a call that an
// earlier try established.
func TestCallReleasedBeforeItsAnswerFailsAndItsTryIsTakenBack(t *testing.T) {
	forEachReleaseConn(t, []int{16, 41}, func(t *testing.T, r *harness, k *observedCall, release func(int), cause int) {
		on := k.tryConn
		release(cause)
		if k.answers != 1 || k.answered || len(k.abandonedTries) != 1 {
			t.Fatalf("%d answers, established %v, %d tries cancelled", k.answers, k.answered, len(k.abandonedTries))
		}
		k.establishedAt = 1 // it crossed the CANCEL
		r.agent.FromSwitch(r.now, on, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
		if r.advanceTime(20000); k.switchReleases == 0 || k.tryConn != 0 {
			t.Errorf("released %d times at its switch, a try is out on %d", k.switchReleases, k.tryConn)
		}
	})
}

// Guards against the same while the release time of the earlier try runs, before the next one is sent.
func TestCallReleasedWhileTheReleaseTimeRunsFails(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	k := r.sendSetUp(r.connectCaller(), 1, 2000)
	r.disconnectLink(k.tryConn)
	r.completeDials(10, 10)
	r.agent.FromSwitch(r.now, r.mustLinkTo(1), r.newRelease(k.id, 16))
	if r.advanceTime(20000); k.answers != 1 || k.answered || k.trySeq != 1 {
		t.Errorf("%d answers, established %v, %d tries", k.answers, k.answered, k.trySeq)
	}
}

// Guards against a call that stays established although it is over for the platform, because another switch
// released an earlier try.
func TestCallReleasedByTheSwitchOfAnEarlierTryIsOverOnAllSides(t *testing.T) {
	r, k := callWithSecondTry(t)
	r.answer(k, sip.OK)
	id, _ := parseID(k.id)
	r.agent.calls[id].tries[0].switchID = 2
	k.earlierTryReleased, k.endedAt = true, r.now
	release := r.newRelease(k.id, 16)
	release.Fields = append(release.Fields, sip.Field{Name: fieldLoad, Value: "x0:3;x1:33"})
	decider := &reportRecorder{Decider: r.agent.decider}
	r.agent.decider = decider
	r.agent.FromSwitch(r.now, r.mustLinkTo(2), release)
	if r.advanceTime(1000); k.callerReleases != 1 || k.switchReleases != 1 {
		t.Errorf("the caller was released %d times, the switch of the call %d times", k.callerReleases, k.switchReleases)
	}
	if got := fmt.Sprint(decider.switchIDs); got != "[2]" {
		t.Errorf("the report of switch 2 was passed on for %s", got)
	}
}

// Guards against a release that disconnects a later try: it goes ahead of the later set-up on the same connection,
// which keeps the order.
func TestWhatALostTryLeftIsReleasedAheadOfTheNextSetUpThere(t *testing.T) {
	r, k := callWithSecondTry(t)
	if got := withoutKeepalives(r.sentTo(k.tryConn)); got != "BYE INVITE" {
		t.Errorf("the switch received %q", got)
	}
	if r.tryState(k, 1) != tryReleased || r.tryState(k, 2) != trySent {
		t.Errorf("tries are %v and %v", r.tryState(k, 1), r.tryState(k, 2))
	}
}

// Guards against a call that stays established at its switch without a caller, when a release that may refer to an
// earlier try ended it.
func TestReleaseThatMayBeOfEitherTryLeavesNothingStanding(t *testing.T) {
	r, k := callWithSecondTry(t)
	on := k.tryConn
	r.answer(k, sip.OK)
	k.endedAt, k.callerEnded = r.now, false
	from := len(r.sentMessages)
	k.establishedAt = 0 // for the harness: the release is of this try
	r.agent.FromSwitch(r.now, on, r.newRelease(k.id, 16))
	var wrote []string
	for _, w := range r.sentMessages[from:] {
		wrote = append(wrote, w.message.Method)
	}
	if got := strings.TrimSpace(strings.Join(wrote, " ")); got != "BYE BYE" || k.callerReleases != 1 {
		t.Errorf("written %q, the caller was released %d times", got, k.callerReleases)
	}
}

// callWithAbandonedTry creates a call whose first try at switch 1 is abandoned, on a connection that stays open.
func callWithAbandonedTry(t *testing.T) (r *harness, k *observedCall, on ConnID) {
	r = newHarness(t)
	r.completeDials(10, 10)
	k = r.sendSetUp(r.connectCaller(), 1, 2000)
	on = k.tryConn
	id, _ := parseID(k.id)
	r.agent.abandonTry(r.agent.calls[id].lastTry(), "test")
	r.agent.endTry(r.agent.calls[id].lastTry(), policy.Cancelled)
	r.agent.flushDeferred()
	return r, k, on
}

func (r *harness) answerLate(k *observedCall, on ConnID) {
	r.agent.FromSwitch(r.now, on, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
}

// Guards against retrying a call before the release time has passed since a late answer to an abandoned try.
func TestReleaseTimeRunsFromALateAnswer(t *testing.T) {
	r, k, on := callWithAbandonedTry(t)
	r.advanceTime(releaseTime - 500)
	k.notBefore = r.now + releaseTime // the harness fails on a set-up before this time
	r.answerLate(k, on)
	if got := withoutKeepalives(r.sentTo(on)); got != "INVITE CANCEL ACK" || r.tryState(k, 1) != tryOrphaned {
		t.Errorf("the switch received %q, the try is %v", got, r.tryState(k, 1))
	}
	if r.advanceTime(600); r.tryState(k, 2) != tryHeld {
		t.Fatalf("the second try is %v", r.tryState(k, 2))
	}
	r.advanceTime(910)
	if r.completeDials(10, 10); k.tryConn == 0 || withoutKeepalives(r.sentTo(k.tryConn)) != "BYE INVITE" {
		t.Errorf("the switch received %q", r.sentTo(on))
	}
}

// Guards against taking the answer to an abandoned try for that to a later one: they use different connections.
func TestLaterTryAtASwitchHasAConnectionOfItsOwn(t *testing.T) {
	r, k, on := callWithAbandonedTry(t)
	r.advanceTime(releaseTime + 2)
	if k.tryConn != 0 || r.tryState(k, 2) != tryWaiting {
		t.Fatalf("the second try is %v", r.tryState(k, 2))
	}
	if r.completeDials(10, 10); k.tryConn == 0 || k.tryConn == on {
		t.Fatalf("the second try is on connection %d, the first was on %d", k.tryConn, on)
	}
	r.answerLate(k, on)
	if k.answered {
		t.Fatal("the first answer was passed on")
	}
	if r.answer(k, sip.OK); !k.answered {
		t.Error("the second answer was not passed on")
	}
}

// Guards against tries that never count as answered because their switch writes another number in CSeq than the
// set-up had.
func TestAnswerNeedsNotRepeatTheNumberInCSeq(t *testing.T) {
	r, k := callWithSecondTry(t)
	if r.answer(k, sip.OK); !k.answered || k.answers != 1 {
		t.Errorf("established %v, %d answers", k.answered, k.answers)
	}
}

// Guards against a call that stays established at a switch where a later try was out when the late answer to the
// earlier one came.
func TestCallLeftStandingIsReleasedOnceNoTryCanCome(t *testing.T) {
	r, k, on := callWithAbandonedTry(t)
	r.advanceTime(releaseTime + 2)
	r.completeDials(10, 10)
	next := k.tryConn
	r.answerLate(k, on)
	if got := withoutKeepalives(r.sentTo(on)); got != "INVITE CANCEL ACK" || k.answered {
		t.Fatalf("the switch received %q, established %v", got, k.answered)
	}
	r.advanceTime(20000) // the second try is never answered
	if got := withoutKeepalives(r.sentTo(on)) + ", " + withoutKeepalives(r.sentTo(next)); got != "INVITE CANCEL ACK BYE, BYE INVITE CANCEL" {
		t.Errorf("the switch received %q", got)
	}
}

// Guards against an answer that crosses our close of its connection and leaves the call established.
func TestAnswerThatCrossesOurCloseIsReleased(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	k := r.sendSetUp(r.connectCaller(), 1, 500)
	f := r.agent.switches[1]
	on := k.tryConn
	r.agent.closeLink(f, f.findLink(on), "test", false)
	r.agent.flushDeferred()
	r.completeDials(10, 10)
	r.agent.FromSwitch(r.now, on, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
	k.establishedAt = 1
	if r.advanceTime(20000); k.switchReleases != 1 || k.answers != 1 {
		t.Errorf("released %d times at its switch, %d answers", k.switchReleases, k.answers)
	}
}

// Guards against leaving a try out at its switch when that releases the call before an answer, which may refer to
// a call from before a restart.
func TestTryThatItsSwitchReleasesIsTakenBack(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	k := r.sendSetUp(r.connectCaller(), 1, 2000)
	on := k.tryConn
	r.agent.FromSwitch(r.now, on, r.newRelease(k.id, 31))
	if got := withoutKeepalives(r.sentTo(on)); got != "INVITE 200 CANCEL" || len(k.abandonedTries) != 1 {
		t.Errorf("the switch received %q", got)
	}
}

// Guards against a timer that acts on another try than its own.
func TestLimitOfAnEarlierTryDoesNotEndALaterOne(t *testing.T) {
	r, k := callWithSecondTry(t)
	id, _ := parseID(k.id)
	r.agent.tryTimedOut(r.agent.calls[id], 0)
	if k.tryConn == 0 || r.tryState(k, 2) != trySent {
		t.Errorf("the second try is %v", r.tryState(k, 2))
	}
}

// Guards against not releasing the caller of a call adopted after a restart, when another switch releases a try
// from before the restart.
func TestAdoptedCallReleasedByAnotherSwitchIsOverOnAllSides(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	c := r.connectCaller()
	const id = "00000000000007d0"
	k := &observedCall{id: id, conn: c, answered: true, establishedAt: 1, answers: 1, earlierTryReleased: true}
	r.calls[id] = k
	r.agent.FromCaller(r.now, r.now, c, invite(id, "voice", 1000, "dest:1;width:1;at:s-00000001", ""))
	r.agent.FromSwitch(r.now, r.mustLinkTo(2), r.newRelease(id, 16))
	if k.callerReleases != 1 || k.switchReleases != 1 {
		t.Errorf("the caller was released %d times, the switch of the call %d times", k.callerReleases, k.switchReleases)
	}
}

// reportRecorder records the switches of the load reports with 33 circuits that the policy receives.
type reportRecorder struct {
	exchange.Decider
	switchIDs []uint32
}

func (d *reportRecorder) LoadReported(now policy.Tenths, sw uint32, rep policy.LoadReport) {
	if rep.Size == 33 {
		d.switchIDs = append(d.switchIDs, sw)
	}
	d.Decider.LoadReported(now, sw, rep)
}

func (d *reportRecorder) TryEnded(now policy.Tenths, id uint32, try int, sw uint32, end policy.Outcome, final bool, why policy.Reason, wait policy.Tenths, rep policy.LoadReport) {
	if rep.Size == 33 {
		d.switchIDs = append(d.switchIDs, sw)
	}
	d.Decider.TryEnded(now, id, try, sw, end, final, why, wait, rep)
}
