package b2bua

import (
	"fmt"
	"slices"
	"testing"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// twoCallersWithCall creates an agent with two callers that keep to the protocol, and an established call of the
// first one.
func twoCallersWithCall(t *testing.T) (h *harness, first, second ConnID, call *observedCall) {
	h = newHarness(t)
	h.completeDials(9, 9)
	first, second = h.connectCaller(), h.connectCaller()
	call = h.sendSetUp(first, 1, 1000)
	h.answer(call, sip.OK)
	h.answer(h.sendSetUp(second, 2, 1000), sip.OK)
	return h, first, second, call
}

func (h *harness) releaseFromSwitch(call *observedCall) {
	call.establishedAt, call.endedAt = 0, h.now
	h.agent.FromSwitch(h.now, call.establishedConn, h.newRelease(call.id, 16))
}

// connectUnresponsiveCaller connects a caller that sends a well-formed set-up, and reads and acknowledges nothing.
func (h *harness) connectUnresponsiveCaller() {
	conn := h.connectCaller()
	h.unresponsive[conn] = true
	h.sendSetUp(conn, 9, 1000)
}

// checkReleases checks how often a call's caller was released, and on which connection last.
func (h *harness) checkReleases(call *observedCall, n int, conn ConnID) {
	h.t.Helper()
	if call.callerReleases != n || call.releasedOn != conn {
		h.t.Fatalf("the caller was released %d times, last on %d; want %d, %d", call.callerReleases, call.releasedOn, n, conn)
	}
}

func TestReleaseThatCrossesACloseIsRepeatedOnAnotherConnection(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.releaseFromSwitch(call)
	h.checkReleases(call, 1, first)
	h.disconnectCaller(first) // before the caller answered it
	h.checkReleases(call, 2, second)
	h.advanceTime(20000)
	h.checkReleases(call, 2, second)
}

func TestReleaseWithoutAnotherConnectionIsRepeatedOnTheNext(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.disconnectCaller(second)
	h.releaseFromSwitch(call)
	h.disconnectCaller(first)
	h.checkReleases(call, 1, 0)
	third := h.connectCaller()
	h.checkReleases(call, 1, 0)
	h.sendSetUp(third, 1, 1000)
	h.checkReleases(call, 2, third)
}

func TestUnansweredReleaseIsRepeatedOnAConnectionThatIsRead(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.unresponsive[first] = true
	h.releaseFromSwitch(call)
	h.advanceTime(releaseRoundInterval - 10)
	h.checkReleases(call, 1, first)
	h.advanceTime(20)
	h.checkReleases(call, 2, second)
	other := h.sendSetUp(second, 1, 1000)
	h.answer(other, sip.OK)
	h.disconnectCaller(second)
	h.releaseFromSwitch(other) // the remaining caller did not read before; the release is still sent to it, and to the next one that connects
	h.checkReleases(other, 1, first)
	third := h.connectCaller()
	h.sendSetUp(third, 1, 1000)
	h.advanceTime(releaseRoundInterval)
	h.checkReleases(other, 2, third)
}

func TestReleaseIsNotRepeatedIndefinitely(t *testing.T) {
	h, _, _, call := twoCallersWithCall(t)
	h.releaseFromSwitch(call)
	for _, conn := range h.callers {
		h.unresponsive[conn] = true
	}
	for range writtenReleaseRetention / 1000 { // ten new callers a second
		h.advanceTime(1000)
		h.connectUnresponsiveCaller()
	}
	if copies := call.callerReleases; copies < maxRoundCopies || copies > maxRoundCopies+maxOfferedCopies {
		t.Fatalf("the caller was released %d times", copies)
	}
	h.advanceTime(slowRoundInterval)
	if h.agent.callerReleases.len() != 0 {
		t.Fatalf("%d pending releases", h.agent.callerReleases.len())
	}
}

func TestLateAnswerConfirmsARelease(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.unresponsive[first] = true
	h.releaseFromSwitch(call)
	h.advanceTime(releaseRoundInterval + 10)
	h.checkReleases(call, 2, second)
	late := h.newRelease(call.id, 16).Response(sip.OK)
	h.agent.FromCaller(h.now, h.now, first, &late)
	h.disconnectCaller(second)
	h.sendSetUp(h.connectCaller(), 1, 1000)
	h.checkReleases(call, 2, 0)
}

func TestLocalStallPostponesAReleaseRound(t *testing.T) {
	h, first, _, call := twoCallersWithCall(t)
	h.releaseFromSwitch(call)
	h.now += releaseRoundInterval + 5000
	h.agent.Tick(h.now, h.now) // the process stalled and the answer is unread
	h.checkReleases(call, 1, first)
	h.advanceTime(policy.Tenths(100))
	h.checkReleases(call, 1, first)
}

func TestReleaseThatCrossesTheEndOfASwitchConnectionIsRepeated(t *testing.T) {
	h, first, _, call := twoCallersWithCall(t)
	conn := call.establishedConn
	call.callerEnded = true
	h.agent.FromCaller(h.now, h.now, first, h.newRelease(call.id, 16))
	if call.switchReleases != 1 {
		t.Fatalf("released %d times", call.switchReleases)
	}
	call.establishedAt = h.links[conn] // the switch did not read it
	h.disconnectLink(conn)
	h.completeDials(9, 9)
	if call.switchReleases != 2 {
		t.Fatalf("the switch was released %d times", call.switchReleases)
	}
}

// Guards against choosing one of many callers that send well-formed set-ups but read nothing.
func TestReleaseGoesToACallerThatAcknowledges(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.disconnectCaller(first)
	for range 3 {
		h.connectUnresponsiveCaller()
	}
	h.releaseFromSwitch(call)
	h.checkReleases(call, 1, second)
}

// Guards against closing the connection of a caller that acknowledges when more connect than the limit allows,
// though it has been quiet longest.
func TestCallerThatAcknowledgesIsEvictedLast(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.releaseFromSwitch(call)
	h.advanceTime(100)
	for range 10 {
		h.connectUnresponsiveCaller()
		h.advanceTime(10)
	}
	if h.closed[first] != "" || h.closed[second] != "" {
		t.Fatalf("closed: %v", h.closed)
	}
}

// Guards against a delay when no connected caller reads: the release goes to them one after the other, and at once
// to a new caller that acknowledges.
func TestReleaseGoesAtOnceToACallerThatProvesToRead(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.disconnectCaller(first)
	h.disconnectCaller(second)
	for range 3 {
		h.connectUnresponsiveCaller()
	}
	h.releaseFromSwitch(call)
	h.advanceTime(100)
	h.checkReleases(call, 1, h.callers[2])
	conn := h.connectCaller()
	h.sendSetUp(conn, 9, 1000)
	h.checkReleases(call, 2, conn)
}

// Guards against repeating releases to callers that never send the optional 200 to BYE: a mandatory ACK later on
// the same connection proves that the release was read.
func TestAcknowledgementOfALaterAnswerConfirmsAnEarlierRelease(t *testing.T) {
	h, first, _, call := twoCallersWithCall(t)
	other := h.sendSetUp(first, 1, 1000)
	h.unresponsive[first] = true // answers no BYE; this test sends its ACKs
	h.releaseFromSwitch(call)
	h.answer(other, sip.OK)
	h.agent.FromCaller(h.now, h.now, first, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: call.id, CSeq: 1}) // of an answer before the release
	if h.agent.callerReleases.len() != 1 {
		t.Fatal("confirmed by an ACK to an earlier answer")
	}
	h.agent.FromCaller(h.now, h.now, first, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: other.id, CSeq: 1})
	call.releaseAnswered = true
	h.advanceTime(callerReleaseLimit)
	h.checkReleases(call, 1, first)
	if got := h.agent.ReleaseCounts(); got.Confirmed != 1 || got.Pending != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against taking a release as confirmed when a caller that does not know the call refuses it.
func TestRefusalOfAReleaseConfirmsNothing(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.disconnectCaller(first)
	h.unresponsive[second] = true
	h.releaseFromSwitch(call)
	h.checkReleases(call, 1, second)
	refusal := h.newRelease(call.id, 16).Response(sip.CallDoesNotExist)
	h.agent.FromCaller(h.now, h.now, second, &refusal)
	third := h.connectCaller()
	h.sendSetUp(third, 1, 1000)
	h.advanceTime(releaseRoundInterval)
	h.checkReleases(call, 2, third)
}

// Guards against releases without a scheduled round: a release that finds no caller connected is written on the
// next connection, even if no set-up ever comes there.
func TestReleaseGoesToACallerWithoutSetUps(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.disconnectCaller(first)
	h.disconnectCaller(second)
	h.releaseFromSwitch(call)
	h.advanceTime(30000)
	third := h.connectCaller()
	h.advanceTime(slowRoundInterval)
	h.checkReleases(call, 1, third)
}

// Guards against faulty clients that send set-ups and acknowledge answers but read no releases: a dozen of them
// connect before the one that reads.
func TestReleaseReachesTheCallerThatReads(t *testing.T) {
	h := newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 20, Links: 12})
	h.completeDials(50, 50)
	first, second := h.connectCaller(), h.connectCaller()
	call := h.sendSetUp(first, 1, 1000)
	h.answer(call, sip.OK)
	h.answer(h.sendSetUp(second, 2, 1000), sip.OK)
	for range 12 {
		conn := h.connectCaller()
		h.answer(h.sendSetUp(conn, 1, 1000), sip.OK)
		h.unresponsive[conn] = true
	}
	h.disconnectCaller(first)
	h.releaseFromSwitch(call)
	h.advanceTime(callerReleaseLimit)
	if !call.releaseAnswered {
		t.Errorf("released %d times, but not to the caller that reads", call.callerReleases)
	}
}

// Guards against an unbounded number of releases while no caller confirms any.
func TestUnconfirmedReleasesAreBounded(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	for i := range maxCallerReleases + 100 {
		h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(idOf(0x10000+i), 16))
	}
	if got := h.agent.ReleaseCounts(); got.Pending != maxCallerReleases || got.Dropped != 100 {
		t.Errorf("%+v", got)
	}
	h.advanceTime(unwrittenReleaseRetention + 2*slowRoundInterval)
	if got := h.agent.ReleaseCounts(); got.Pending != 0 {
		t.Errorf("%+v", got)
	}
}

func idOf(n int) string { return fmt.Sprintf("%016x", n) }

// Guards against losing a caller's release that crosses our close of its connection.
func TestCallersReleaseThatCrossesOurCloseReachesTheSwitch(t *testing.T) {
	h, first, _, call := twoCallersWithCall(t)
	h.agent.CallerDisconnected(h.now, first) // closed locally; what the caller has sent is still read
	h.forgetCaller(first)
	call.callerEnded = true
	if h.agent.FromCaller(h.now, h.now, first, h.newRelease(call.id, 16)); call.switchReleases != 1 || h.agent.establishedCalls != 1 {
		t.Errorf("the switch was released %d times, %d established calls", call.switchReleases, h.agent.establishedCalls)
	}
}

// Guards against using up all copies on many connections that send nothing and end at once, before the caller
// connects that needs the release.
func TestEndOfManyConnectionsUsesUpNoCopies(t *testing.T) {
	h := newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 150, Links: 12})
	h.completeDials(50, 50)
	first := h.connectCaller()
	call := h.sendSetUp(first, 1, 1000)
	h.answer(call, sip.OK)
	var silentConns []ConnID
	for range 120 {
		silentConns = append(silentConns, h.connectCaller())
		h.unresponsive[silentConns[len(silentConns)-1]] = true
	}
	h.disconnectCaller(first)
	h.releaseFromSwitch(call)
	for _, conn := range slices.Backward(silentConns) { // the newest first, as they have copies
		h.disconnectCaller(conn)
	}
	h.advanceTime(releaseRoundInterval)
	second := h.connectCaller()
	h.sendSetUp(second, 1, 1000)
	if h.advanceTime(0); !call.releaseAnswered || call.releasedOn != second {
		t.Errorf("released %d times, last on %d", call.callerReleases, call.releasedOn)
	}
}

// Guards against dropping a long-pending release as soon as the first caller to connect, which reads nothing, has
// a copy.
func TestLongPendingReleaseIsRetainedAfterItsFirstCopy(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.disconnectCaller(first)
	h.disconnectCaller(second)
	h.releaseFromSwitch(call)
	h.advanceTime(2 * writtenReleaseRetention)
	h.connectUnresponsiveCaller()
	h.advanceTime(writtenReleaseRetention / 2)
	last := h.connectCaller()
	h.sendSetUp(last, 1, 1000)
	if h.advanceTime(releaseRoundInterval); !call.releaseAnswered {
		t.Errorf("released %d times, but not to the last caller", call.callerReleases)
	}
}
