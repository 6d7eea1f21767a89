package b2bua

import (
	"fmt"
	"slices"
	"testing"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// callerPairWithCall creates an agent with two callers that keep to the protocol, and an established call of the first one.
func callerPairWithCall(t *testing.T) (r *harness, first, second ConnID, k *observedCall) {
	r = newHarness(t)
	r.completeDials(9, 9)
	first, second = r.connectCaller(), r.connectCaller()
	k = r.sendSetUp(first, 1, 1000)
	r.answer(k, sip.OK)
	r.answer(r.sendSetUp(second, 2, 1000), sip.OK)
	return r, first, second, k
}

func (r *harness) releaseFromSwitch(k *observedCall) {
	k.establishedAt, k.endedAt = 0, r.now
	r.agent.FromSwitch(r.now, k.establishedConn, r.newRelease(k.id, 16))
}

// connectUnresponsiveCaller connects a caller that sends a well-formed set-up, and reads and acknowledges nothing.
func (r *harness) connectUnresponsiveCaller() {
	c := r.connectCaller()
	r.unresponsive[c] = true
	r.sendSetUp(c, 9, 1000)
}

// checkReleases checks how often a call's caller was released, and on which connection last.
func (r *harness) checkReleases(k *observedCall, n int, on ConnID) {
	r.t.Helper()
	if k.callerReleases != n || k.releasedOn != on {
		r.t.Fatalf("the caller was released %d times, last on %d; want %d, %d", k.callerReleases, k.releasedOn, n, on)
	}
}

func TestReleaseThatCrossesTheCloseOfItsConnectionGoesAgainOnAnother(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.releaseFromSwitch(k)
	r.checkReleases(k, 1, first)
	r.disconnectCaller(first) // before the caller answered it
	r.checkReleases(k, 2, second)
	r.advanceTime(20000)
	r.checkReleases(k, 2, second)
}

func TestReleaseThatFindsNoOtherConnectionGoesOnTheNext(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.disconnectCaller(second)
	r.releaseFromSwitch(k)
	r.disconnectCaller(first)
	r.checkReleases(k, 1, 0)
	third := r.connectCaller()
	r.checkReleases(k, 1, 0)
	r.sendSetUp(third, 1, 1000)
	r.checkReleases(k, 2, third)
}

func TestReleaseThatIsNotAnsweredGoesAgainWhereSomebodyHears(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.unresponsive[first] = true
	r.releaseFromSwitch(k)
	r.advanceTime(releaseRoundInterval - 10)
	r.checkReleases(k, 1, first)
	r.advanceTime(20)
	r.checkReleases(k, 2, second)
	other := r.sendSetUp(second, 1, 1000)
	r.answer(other, sip.OK)
	r.disconnectCaller(second)
	r.releaseFromSwitch(other) // the remaining caller did not read before; the release is still sent to it, and to the next one that connects
	r.checkReleases(other, 1, first)
	third := r.connectCaller()
	r.sendSetUp(third, 1, 1000)
	r.advanceTime(releaseRoundInterval)
	r.checkReleases(other, 2, third)
}

func TestReleaseIsNotRepeatedForEver(t *testing.T) {
	r, _, _, k := callerPairWithCall(t)
	r.releaseFromSwitch(k)
	for _, c := range r.callers {
		r.unresponsive[c] = true
	}
	for range writtenReleaseRetention / 1000 { // ten new callers a second
		r.advanceTime(1000)
		r.connectUnresponsiveCaller()
	}
	if told := k.callerReleases; told < maxRoundCopies || told > maxRoundCopies+maxOfferedCopies {
		t.Fatalf("the caller was released %d times", told)
	}
	r.advanceTime(slowRoundInterval)
	if len(r.agent.callerReleases.order) != 0 {
		t.Fatalf("%d pending releases", len(r.agent.callerReleases.order))
	}
}

func TestReleaseAnsweredLateOnItsFirstConnectionIsHeard(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.unresponsive[first] = true
	r.releaseFromSwitch(k)
	r.advanceTime(releaseRoundInterval + 10)
	r.checkReleases(k, 2, second)
	late := r.newRelease(k.id, 16).Response(sip.OK)
	r.agent.FromCaller(r.now, r.now, first, &late)
	r.disconnectCaller(second)
	r.sendSetUp(r.connectCaller(), 1, 1000)
	r.checkReleases(k, 2, 0)
}

func TestOwnStallIsNoSilenceOfACaller(t *testing.T) {
	r, first, _, k := callerPairWithCall(t)
	r.releaseFromSwitch(k)
	r.now += releaseRoundInterval + 5000
	r.agent.Tick(r.now, r.now) // the process stalled and the answer is unread
	r.checkReleases(k, 1, first)
	r.advanceTime(policy.Tenths(100))
	r.checkReleases(k, 1, first)
}

func TestReleaseThatCrossesTheEndOfASwitchConnectionGoesOnTheNext(t *testing.T) {
	r, first, _, k := callerPairWithCall(t)
	on := k.establishedConn
	k.callerEnded = true
	r.agent.FromCaller(r.now, r.now, first, r.newRelease(k.id, 16))
	if k.switchReleases != 1 {
		t.Fatalf("released %d times", k.switchReleases)
	}
	k.establishedAt = r.links[on] // the switch did not read it
	r.disconnectLink(on)
	r.completeDials(9, 9)
	if k.switchReleases != 2 {
		t.Fatalf("the switch was released %d times", k.switchReleases)
	}
}

// Guards against choosing one of many callers that send well-formed set-ups but read nothing.
func TestReleaseGoesToOneWhoAcknowledgesAmongManyWhoDoNot(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.disconnectCaller(first)
	for range 3 {
		r.connectUnresponsiveCaller()
	}
	r.releaseFromSwitch(k)
	r.checkReleases(k, 1, second)
}

// Guards against closing the connection of a caller that acknowledges when more connect than the limit allows,
// though it has been quiet longest.
func TestWhoAcknowledgesIsTheLastToLoseItsConnection(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.releaseFromSwitch(k)
	r.advanceTime(100)
	for range 10 {
		r.connectUnresponsiveCaller()
		r.advanceTime(10)
	}
	if r.closed[first] != "" || r.closed[second] != "" {
		t.Fatalf("closed: %v", r.closed)
	}
}

// Guards against a delay when no connected caller reads: the release goes to them one after the other, and at once
// to a new caller that acknowledges.
func TestReleaseGoesAtOnceToWhoProvesToHear(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.disconnectCaller(first)
	r.disconnectCaller(second)
	for range 3 {
		r.connectUnresponsiveCaller()
	}
	r.releaseFromSwitch(k)
	r.advanceTime(100)
	r.checkReleases(k, 1, r.callers[2])
	c := r.connectCaller()
	r.sendSetUp(c, 9, 1000)
	r.checkReleases(k, 2, c)
}

// Guards against repeating releases to callers that never send the optional 200 to BYE: a mandatory ACK later on
// the same connection proves that the release was read.
func TestAcknowledgementOfALaterAnswerConfirmsAnEarlierRelease(t *testing.T) {
	r, first, _, k := callerPairWithCall(t)
	other := r.sendSetUp(first, 1, 1000)
	r.unresponsive[first] = true // answers no BYE; this test sends its ACKs
	r.releaseFromSwitch(k)
	r.answer(other, sip.OK)
	r.agent.FromCaller(r.now, r.now, first, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: k.id, CSeq: 1}) // of an answer before the release
	if len(r.agent.callerReleases.order) != 1 {
		t.Fatal("confirmed by an ACK to an earlier answer")
	}
	r.agent.FromCaller(r.now, r.now, first, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: other.id, CSeq: 1})
	k.releaseAnswered = true
	r.advanceTime(callerReleaseLimit)
	r.checkReleases(k, 1, first)
	if got := r.agent.ReleaseCounts(); got.Confirmed != 1 || got.Pending != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against taking a release as confirmed when a caller that does not know the call refuses it.
func TestRefusalByACallerWhoDoesNotKnowTheCallConfirmsNothing(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.disconnectCaller(first)
	r.unresponsive[second] = true
	r.releaseFromSwitch(k)
	r.checkReleases(k, 1, second)
	refusal := r.newRelease(k.id, 16).Response(sip.CallDoesNotExist)
	r.agent.FromCaller(r.now, r.now, second, &refusal)
	third := r.connectCaller()
	r.sendSetUp(third, 1, 1000)
	r.advanceTime(releaseRoundInterval)
	r.checkReleases(k, 2, third)
}

// Guards against releases without a scheduled round: a release that finds no caller connected is written on the
// next connection, even if no set-up ever comes there.
func TestReleaseThatFindsNobodyGoesToACallerWhoOnlyListens(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.disconnectCaller(first)
	r.disconnectCaller(second)
	r.releaseFromSwitch(k)
	r.advanceTime(30000)
	third := r.connectCaller()
	r.advanceTime(slowRoundInterval)
	r.checkReleases(k, 1, third)
}

// Guards against faulty clients that send set-ups and acknowledge answers but read no releases: a dozen of them
// connect before the one that reads.
func TestReleaseReachesTheOneWhoReadsAmongManyWhoPretendTo(t *testing.T) {
	r := newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 20, Links: 12})
	r.completeDials(50, 50)
	first, second := r.connectCaller(), r.connectCaller()
	k := r.sendSetUp(first, 1, 1000)
	r.answer(k, sip.OK)
	r.answer(r.sendSetUp(second, 2, 1000), sip.OK)
	for range 12 {
		c := r.connectCaller()
		r.answer(r.sendSetUp(c, 1, 1000), sip.OK)
		r.unresponsive[c] = true
	}
	r.disconnectCaller(first)
	r.releaseFromSwitch(k)
	r.advanceTime(callerReleaseLimit)
	if !k.releaseAnswered {
		t.Errorf("released %d times, but not to the caller that reads", k.callerReleases)
	}
}

// Guards against an unbounded number of releases while no caller confirms any.
func TestReleasesThatNobodyConfirmsAreBounded(t *testing.T) {
	r := newHarness(t)
	r.completeDials(9, 9)
	for i := range maxCallerReleases + 100 {
		r.agent.FromSwitch(r.now, r.mustLinkTo(1), r.newRelease(idOf(0x10000+i), 16))
	}
	if got := r.agent.ReleaseCounts(); got.Pending != maxCallerReleases || got.Dropped != 100 {
		t.Errorf("%+v", got)
	}
	r.advanceTime(unwrittenReleaseRetention + 2*slowRoundInterval)
	if got := r.agent.ReleaseCounts(); got.Pending != 0 {
		t.Errorf("%+v", got)
	}
}

func idOf(n int) string { return fmt.Sprintf("%016x", n) }

// Guards against losing a caller's release that crosses our close of its connection.
func TestCallersReleaseThatCrossesOurCloseReachesTheSwitch(t *testing.T) {
	r, first, _, k := callerPairWithCall(t)
	r.agent.CallerDisconnected(r.now, first) // closed locally; what the caller has sent is still read
	r.forgetCaller(first)
	k.callerEnded = true
	if r.agent.FromCaller(r.now, r.now, first, r.newRelease(k.id, 16)); k.switchReleases != 1 || r.agent.establishedCalls != 1 {
		t.Errorf("the switch was released %d times, %d established calls", k.switchReleases, r.agent.establishedCalls)
	}
}

// Guards against using up all copies on many connections that send nothing and end at once, before the caller
// connects that needs the release.
func TestCrowdThatEndsUsesUpNoReleases(t *testing.T) {
	r := newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 150, Links: 12})
	r.completeDials(50, 50)
	first := r.connectCaller()
	k := r.sendSetUp(first, 1, 1000)
	r.answer(k, sip.OK)
	var crowd []ConnID
	for range 120 {
		crowd = append(crowd, r.connectCaller())
		r.unresponsive[crowd[len(crowd)-1]] = true
	}
	r.disconnectCaller(first)
	r.releaseFromSwitch(k)
	for _, c := range slices.Backward(crowd) { // the newest first, as they have copies
		r.disconnectCaller(c)
	}
	r.advanceTime(releaseRoundInterval)
	second := r.connectCaller()
	r.sendSetUp(second, 1, 1000)
	if r.advanceTime(0); !k.releaseAnswered || k.releasedOn != second {
		t.Errorf("released %d times, last on %d", k.callerReleases, k.releasedOn)
	}
}

// Guards against dropping a long-pending release as soon as the first caller to connect, which reads nothing, has
// a copy.
func TestReleaseThatWaitedIsKeptAfterItsFirstCopy(t *testing.T) {
	r, first, second, k := callerPairWithCall(t)
	r.disconnectCaller(first)
	r.disconnectCaller(second)
	r.releaseFromSwitch(k)
	r.advanceTime(2 * writtenReleaseRetention)
	r.connectUnresponsiveCaller()
	r.advanceTime(writtenReleaseRetention / 2)
	last := r.connectCaller()
	r.sendSetUp(last, 1, 1000)
	if r.advanceTime(releaseRoundInterval); !k.releaseAnswered {
		t.Errorf("released %d times, but not to the last caller", k.callerReleases)
	}
}
