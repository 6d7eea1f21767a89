package b2bua

import (
	"fmt"
	"strings"
	"testing"

	"indigodrift/internal/exchange"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// callWithSecondTry creates a call whose first try at switch 1 was lost with its connection, and whose second one is
// out there on another connection.
func callWithSecondTry(t *testing.T) (h *harness, call *observedCall) {
	h = newHarness(t)
	h.completeDials(10, 10)
	call = h.sendSetUp(h.connectCaller(), 1, 2000)
	h.disconnectLink(call.tryConn)
	h.completeDials(10, 10)
	h.advanceTime(releaseTime + 2)
	if call.tryConn == 0 || call.trySwitch != 1 || call.trySeq != 2 {
		t.Fatalf("no second try: %+v", *call)
	}
	return h, call
}

// tryState returns the state of a try of a call, by its number from 1.
func (h *harness) tryState(call *observedCall, number int) tryState {
	id, _ := parseID(call.id)
	return h.agent.calls[id].tries[number-1].state
}

// forEachReleaseConn runs a test for a release of the call on each kind of connection on which it may come.
func forEachReleaseConn(t *testing.T, causes []int, test func(t *testing.T, h *harness, call *observedCall, release func(cause int), cause int)) {
	for name, releaseConn := range map[string]func(*harness, *observedCall) ConnID{
		"its own connection": func(h *harness, call *observedCall) ConnID { return call.tryConn },
		"another": func(h *harness, call *observedCall) ConnID {
			h.agent.dial(h.agent.switches[1])
			return h.completeDial(false, true)
		},
		"a closing connection": func(h *harness, call *observedCall) ConnID {
			h.agent.dial(h.agent.switches[1])
			conn := h.completeDial(false, true)
			h.agent.closeLink(h.agent.switches[1], h.agent.switches[1].findLink(conn), "test", linkClosedInOrder)
			return conn
		},
	} {
		for _, cause := range causes {
			t.Run(fmt.Sprintf("cause %d on %s", cause, name), func(t *testing.T) {
				h, call := callWithSecondTry(t)
				test(t, h, call, func(cause int) { h.agent.FromSwitch(h.now, releaseConn(h, call), h.newRelease(call.id, cause)) }, cause)
			})
		}
	}
}

// Guards against ending a try because of the reset of an earlier one at that switch, whichever connection that
// comes on.
func TestResetOfAnEarlierTryDoesNotEndALaterOne(t *testing.T) {
	forEachReleaseConn(t, []int{31, 34}, func(t *testing.T, h *harness, call *observedCall, release func(int), cause int) {
		release(cause)
		if h.advanceTime(100); call.tryConn == 0 || len(call.abandonedTries) > 0 {
			t.Fatal("the second try is over")
		}
		if h.answer(call, sip.OK); !call.answered {
			t.Error("the answer was not passed on")
		}
	})
}

// Guards against retrying a call too soon, or answering it after its end, when the release comes of a call that an
// earlier try established.
func TestCallReleasedBeforeItsAnswerFailsAndItsTryIsCancelled(t *testing.T) {
	forEachReleaseConn(t, []int{16, 41}, func(t *testing.T, h *harness, call *observedCall, release func(int), cause int) {
		conn := call.tryConn
		release(cause)
		if call.answers != 1 || call.answered || len(call.abandonedTries) != 1 {
			t.Fatalf("%d answers, established %v, %d tries cancelled", call.answers, call.answered, len(call.abandonedTries))
		}
		call.establishedAt = 1 // it crossed the CANCEL
		h.agent.FromSwitch(h.now, conn, &sip.Message{Status: sip.OK, CallID: call.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
		if h.advanceTime(20000); call.switchReleases == 0 || call.tryConn != 0 {
			t.Errorf("released %d times at its switch, a try is out on %d", call.switchReleases, call.tryConn)
		}
	})
}

// Guards against the same while the release time of the earlier try runs, before the next one is sent.
func TestCallReleasedWhileTheReleaseTimeRunsFails(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	call := h.sendSetUp(h.connectCaller(), 1, 2000)
	h.disconnectLink(call.tryConn)
	h.completeDials(10, 10)
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(call.id, 16))
	if h.advanceTime(20000); call.answers != 1 || call.answered || call.trySeq != 1 {
		t.Errorf("%d answers, established %v, %d tries", call.answers, call.answered, call.trySeq)
	}
}

// Guards against a call that stays established although it is over for the platform, because another switch
// released an earlier try.
func TestCallReleasedByTheSwitchOfAnEarlierTryIsReleasedOnAllSides(t *testing.T) {
	h, call := callWithSecondTry(t)
	h.answer(call, sip.OK)
	id, _ := parseID(call.id)
	h.agent.calls[id].tries[0].switchID = 2
	call.earlierTryReleased, call.endedAt = true, h.now
	release := h.newRelease(call.id, 16)
	release.Fields = append(release.Fields, sip.Field{Name: fieldLoad, Value: "x0:3;x1:33"})
	decider := &reportRecorder{Decider: h.agent.decider}
	h.agent.decider = decider
	h.agent.FromSwitch(h.now, h.mustLinkTo(2), release)
	if h.advanceTime(1000); call.callerReleases != 1 || call.switchReleases != 1 {
		t.Errorf("the caller was released %d times, the switch of the call %d times", call.callerReleases, call.switchReleases)
	}
	if got := fmt.Sprint(decider.switchIDs); got != "[2]" {
		t.Errorf("the report of switch 2 was passed on for %s", got)
	}
}

// Guards against a release that disconnects a later try: it goes ahead of the later set-up on the same connection,
// which keeps the order.
func TestLostTryIsReleasedAheadOfTheNextSetUp(t *testing.T) {
	h, call := callWithSecondTry(t)
	if got := withoutKeepalives(h.sentTo(call.tryConn)); got != "BYE INVITE" {
		t.Errorf("the switch received %q", got)
	}
	if h.tryState(call, 1) != tryReleased || h.tryState(call, 2) != trySent {
		t.Errorf("tries are %v and %v", h.tryState(call, 1), h.tryState(call, 2))
	}
}

// Guards against a call that stays established at its switch without a caller, when a release that may refer to an
// earlier try ended it.
func TestAmbiguousReleaseLeavesNothingEstablished(t *testing.T) {
	h, call := callWithSecondTry(t)
	conn := call.tryConn
	h.answer(call, sip.OK)
	call.endedAt, call.callerEnded = h.now, false
	from := len(h.sentMessages)
	call.establishedAt = 0 // for the harness: the release is of this try
	h.agent.FromSwitch(h.now, conn, h.newRelease(call.id, 16))
	var methods []string
	for _, sent := range h.sentMessages[from:] {
		methods = append(methods, sent.message.Method)
	}
	if got := strings.TrimSpace(strings.Join(methods, " ")); got != "BYE BYE" || call.callerReleases != 1 {
		t.Errorf("written %q, the caller was released %d times", got, call.callerReleases)
	}
}

// callWithAbandonedTry creates a call whose first try at switch 1 is abandoned, on a connection that stays open.
func callWithAbandonedTry(t *testing.T) (h *harness, call *observedCall, conn ConnID) {
	h = newHarness(t)
	h.completeDials(10, 10)
	call = h.sendSetUp(h.connectCaller(), 1, 2000)
	conn = call.tryConn
	id, _ := parseID(call.id)
	h.agent.abandonTry(h.agent.calls[id].lastTry(), "test")
	h.agent.endTry(h.agent.calls[id].lastTry(), policy.Cancelled)
	h.agent.flushDeferred()
	return h, call, conn
}

func (h *harness) answerLate(call *observedCall, conn ConnID) {
	h.agent.FromSwitch(h.now, conn, &sip.Message{Status: sip.OK, CallID: call.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
}

// Guards against retrying a call before the release time has passed since a late answer to an abandoned try.
func TestReleaseTimeRunsFromALateAnswer(t *testing.T) {
	h, call, conn := callWithAbandonedTry(t)
	h.advanceTime(releaseTime - 500)
	call.notBefore = h.now + releaseTime // the harness fails on a set-up before this time
	h.answerLate(call, conn)
	if got := withoutKeepalives(h.sentTo(conn)); got != "INVITE CANCEL ACK" || h.tryState(call, 1) != tryOrphaned {
		t.Errorf("the switch received %q, the try is %v", got, h.tryState(call, 1))
	}
	if h.advanceTime(600); h.tryState(call, 2) != tryHeld {
		t.Fatalf("the second try is %v", h.tryState(call, 2))
	}
	h.advanceTime(910)
	if h.completeDials(10, 10); call.tryConn == 0 || withoutKeepalives(h.sentTo(call.tryConn)) != "BYE INVITE" {
		t.Errorf("the switch received %q", h.sentTo(conn))
	}
}

// Guards against taking the answer to an abandoned try for that to a later one: they use different connections.
func TestLaterTryAtASwitchUsesAnotherConnection(t *testing.T) {
	h, call, conn := callWithAbandonedTry(t)
	h.advanceTime(releaseTime + 2)
	if call.tryConn != 0 || h.tryState(call, 2) != tryWaiting {
		t.Fatalf("the second try is %v", h.tryState(call, 2))
	}
	if h.completeDials(10, 10); call.tryConn == 0 || call.tryConn == conn {
		t.Fatalf("the second try is on connection %d, the first was on %d", call.tryConn, conn)
	}
	h.answerLate(call, conn)
	if call.answered {
		t.Fatal("the first answer was passed on")
	}
	if h.answer(call, sip.OK); !call.answered {
		t.Error("the second answer was not passed on")
	}
}

// Guards against tries that never count as answered because their switch writes another number in CSeq than the
// set-up had.
func TestAnswerNeedNotRepeatTheCSeqNumber(t *testing.T) {
	h, call := callWithSecondTry(t)
	if h.answer(call, sip.OK); !call.answered || call.answers != 1 {
		t.Errorf("established %v, %d answers", call.answered, call.answers)
	}
}

// Guards against a call that stays established at a switch where a later try was out when the late answer to the
// earlier one came.
func TestOrphanedTryIsReleasedOnceNoTryCanCome(t *testing.T) {
	h, call, conn := callWithAbandonedTry(t)
	h.advanceTime(releaseTime + 2)
	h.completeDials(10, 10)
	next := call.tryConn
	h.answerLate(call, conn)
	if got := withoutKeepalives(h.sentTo(conn)); got != "INVITE CANCEL ACK" || call.answered {
		t.Fatalf("the switch received %q, established %v", got, call.answered)
	}
	h.advanceTime(20000) // the second try is never answered
	if got := withoutKeepalives(h.sentTo(conn)) + ", " + withoutKeepalives(h.sentTo(next)); got != "INVITE CANCEL ACK BYE, BYE INVITE CANCEL" {
		t.Errorf("the switch received %q", got)
	}
}

// Guards against an answer that crosses our close of its connection and leaves the call established.
func TestAnswerThatCrossesOurCloseIsReleased(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	call := h.sendSetUp(h.connectCaller(), 1, 500)
	remote := h.agent.switches[1]
	conn := call.tryConn
	h.agent.closeLink(remote, remote.findLink(conn), "test", linkGivenUp)
	h.agent.flushDeferred()
	h.completeDials(10, 10)
	h.agent.FromSwitch(h.now, conn, &sip.Message{Status: sip.OK, CallID: call.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
	call.establishedAt = 1
	if h.advanceTime(20000); call.switchReleases != 1 || call.answers != 1 {
		t.Errorf("released %d times at its switch, %d answers", call.switchReleases, call.answers)
	}
}

// Guards against leaving a try out at its switch when that releases the call before an answer, which may refer to
// a call from before a restart.
func TestTryReleasedByItsSwitchIsCancelled(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	call := h.sendSetUp(h.connectCaller(), 1, 2000)
	conn := call.tryConn
	h.agent.FromSwitch(h.now, conn, h.newRelease(call.id, 31))
	if got := withoutKeepalives(h.sentTo(conn)); got != "INVITE 200 CANCEL" || len(call.abandonedTries) != 1 {
		t.Errorf("the switch received %q", got)
	}
}

// Guards against a timer that acts on another try than its own.
func TestTimeoutOfAnEarlierTryDoesNotEndALaterOne(t *testing.T) {
	h, call := callWithSecondTry(t)
	id, _ := parseID(call.id)
	h.agent.tryTimedOut(h.agent.calls[id], 0)
	if call.tryConn == 0 || h.tryState(call, 2) != trySent {
		t.Errorf("the second try is %v", h.tryState(call, 2))
	}
}

// Guards against not releasing the caller of a call adopted after a restart, when another switch releases a try
// from before the restart.
func TestAdoptedCallReleasedByAnotherSwitchIsReleasedOnAllSides(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	conn := h.connectCaller()
	const id = "00000000000007d0"
	call := &observedCall{id: id, conn: conn, answered: true, establishedAt: 1, answers: 1, earlierTryReleased: true}
	h.calls[id] = call
	h.agent.FromCaller(h.now, h.now, conn, invite(id, "voice", 1000, "dest:1;width:1;at:s-00000001", ""))
	h.agent.FromSwitch(h.now, h.mustLinkTo(2), h.newRelease(id, 16))
	if call.callerReleases != 1 || call.switchReleases != 1 {
		t.Errorf("the caller was released %d times, the switch of the call %d times", call.callerReleases, call.switchReleases)
	}
}

// reportRecorder records the switches of the load reports with 33 circuits that the policy receives.
type reportRecorder struct {
	exchange.Decider
	switchIDs []uint32
}

func (d *reportRecorder) LoadReported(now policy.Tenths, switchID uint32, report policy.LoadReport) {
	if report.Size == 33 {
		d.switchIDs = append(d.switchIDs, switchID)
	}
	d.Decider.LoadReported(now, switchID, report)
}

func (d *reportRecorder) TryEnded(now policy.Tenths, id uint32, try int, switchID uint32, outcome policy.Outcome, final bool, reason policy.Reason, wait policy.Tenths, report policy.LoadReport) {
	if report.Size == 33 {
		d.switchIDs = append(d.switchIDs, switchID)
	}
	d.Decider.TryEnded(now, id, try, switchID, outcome, final, reason, wait, report)
}
