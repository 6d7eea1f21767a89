package b2bua

import (
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// callWithTwoLinks creates an agent with an established call at switch 1 and two connections to it; the second was
// opened after the first fell silent.
func callWithTwoLinks(t *testing.T) (h *harness, old, other ConnID, call *observedCall) {
	h, _, call = establishedCall(t)
	old = h.mustLinkTo(1)
	h.advanceTime(keepaliveInterval + 2*maintenanceInterval) // so that a keepalive is answered after the set-up
	h.silent[old] = true
	for range 200 {
		if h.advanceTime(maintenanceInterval); len(h.dials) > 0 {
			other = h.completeDial(false, true)
			break
		}
	}
	if other == 0 || h.closed[old] != "" {
		t.Fatalf("other %d, closed %v", other, h.closed)
	}
	return h, old, other, call
}

// Guards against a release that is lost with its connection because no further connection opens on which the
// switch would repeat it.
func TestLostConnectionIsReplacedThoughAnotherIsOpen(t *testing.T) {
	h, old, _, _ := callWithTwoLinks(t)
	h.disconnectLink(old)
	if len(h.dials) != 1 || h.dials[0].switchID != 1 {
		t.Fatalf("dials %v", h.dials)
	}
	for range 3 { // until one opens
		h.completeDial(false, false)
		h.advanceTime(maxReconnectDelay + initialReconnectDelay)
		if len(h.dials) != 1 {
			t.Fatalf("dials %v", h.dials)
		}
	}
	h.completeDial(false, true)
	if len(h.dials) != 0 || h.agent.switches[1].recoveryDialID != 0 {
		t.Errorf("still dials %v", h.dials)
	}
}

// Guards against taking a dial that was in progress when a connection broke for one that recovers lost releases:
// the switch may have accepted it before it wrote the release.
func TestDialInProgressDoesNotCountAsRecovery(t *testing.T) {
	h, first, _, _ := callWithTwoLinks(t)
	h.disconnectLink(first)
	before := h.dials[0].dialID
	h.disconnectLink(h.mustLinkTo(1)) // while the dial is in progress
	h.completeDial(false, true)
	if len(h.dials) != 1 || h.dials[0].dialID <= before {
		t.Errorf("dials %v after dial %d", h.dials, before)
	}
}

// Guards against needless dials: a switch that closes an idle connection has written everything, so nothing is
// lost while another connection is open.
func TestConnectionClosedByItsSwitchIsNotReplaced(t *testing.T) {
	h, old, _, _ := callWithTwoLinks(t)
	h.forgetLink(old)
	if h.agent.SwitchDisconnected(h.now, old, true); len(h.dials) != 0 {
		t.Errorf("dials %v", h.dials)
	}
}

// Guards against losing a release that crosses our close of its connection.
func TestReleaseThatCrossesOurCloseIsHandled(t *testing.T) {
	h, old, _, call := callWithTwoLinks(t)
	for range 1 + silentLinkRetention/maintenanceInterval {
		if h.advanceTime(maintenanceInterval); h.closed[old] != "" {
			break
		}
	}
	call.establishedAt, call.endedAt = 0, h.now
	h.agent.FromSwitch(h.now, old, h.newRelease(call.id, 16))
	if call.callerReleases != 1 {
		t.Error("caller not released")
	}
	late := &sip.Message{Status: sip.OK, CallID: call.id, CSeq: 1, CSeqMethod: sip.Invite}
	if h.agent.FromSwitch(h.now, old, late); len(h.agent.closingLinks) == 0 {
		t.Error("removed before its end")
	}
	if h.agent.SwitchDisconnected(h.now, old, false); len(h.agent.closingLinks) != 0 {
		t.Error("still present after its end")
	}
}

// Guards against no recovery of lost releases when a switch has the maximum of connections: an idle one is closed
// for the new one.
func TestIdleConnectionIsReplacedForRecovery(t *testing.T) {
	h, _, _ := establishedCall(t)
	for range maxLinksPerSwitch {
		h.agent.switches[1].recoveryDialID = h.agent.lastDialID + 1
		h.advanceTime(policy.Tenths(maintenanceInterval))
		h.completeDials(10, 10)
	}
	if n := len(h.agent.switches[1].links); n != maxLinksPerSwitch || h.agent.switches[1].recoveryDialID != 0 {
		t.Errorf("%d connections, recovery from dial %d", n, h.agent.switches[1].recoveryDialID)
	}
}

// Guards against losing a caller's release on a silent connection to a switch, which would hold the circuit.
func TestReleaseOnASilentConnectionIsRepeatedOnTheNext(t *testing.T) {
	h, conn, call := establishedCall(t)
	link := h.mustLinkTo(1)
	h.silent[link] = true
	call.callerEnded = true
	h.agent.FromCaller(h.now, h.now, conn, h.newRelease(call.id, 16))
	if call.switchReleases != 1 {
		t.Fatalf("released %d times", call.switchReleases)
	}
	call.establishedAt = 1 // the switch did not read it
	for range 200 {
		h.advanceTime(maintenanceInterval)
		h.completeDials(9, 9)
	}
	if call.switchReleases != 2 {
		t.Errorf("closed %v, the switch was released %d times", h.closed, call.switchReleases)
	}
}

// Guards against repeating the release of an earlier try to a switch at which the call is established by now.
func TestReleaseOfAnEarlierTryIsNotRepeatedWhereTheCallIsEstablished(t *testing.T) {
	h, _, call := establishedCall(t)
	link := h.mustLinkTo(1)
	h.agent.recordSent(h.agent.switches[1].findLink(link), switchRelease{callID: call.id, uri: "sip:x@net", cause: causeNormal})
	h.disconnectLink(link)
	h.completeDials(9, 9)
	if call.switchReleases != 0 {
		t.Error("cut")
	}
}

// Guards against a dial loop with a switch that accepts connections and resets them.
func TestSwitchThatResetsEveryConnectionIsNotDialledInALoop(t *testing.T) {
	h, _, _ := establishedCall(t)
	h.disconnectLink(h.mustLinkTo(1))
	dials := 0
	for range 1000 { // steps of 10 ms
		for range len(h.dials) {
			dials++
			h.disconnectLink(h.completeDial(false, true))
		}
		h.advanceTime(100)
	}
	if dials < 5 || dials > 50 {
		t.Errorf("%d dials in 10 s", dials)
	}
}

// Guards against losing the release of a call whose connection is lost here but open in the view of the switch.
// The call ends long after the replacement connections were opened, and its release is repeated only on the next
// one.
func TestLateReleaseOfACallOnALostConnectionIsRecovered(t *testing.T) {
	const limit = 80000 // the platform's limit where no release could be sent
	h, old, _, call := callWithTwoLinks(t)
	endedAt := policy.Tenths(0)
	for elapsed := policy.Tenths(0); elapsed < 130000 && call.callerReleases == 0; elapsed += maintenanceInterval {
		h.advanceTime(maintenanceInterval)
		for len(h.dials) > 0 {
			conn := h.completeDial(false, true)
			if endedAt != 0 && call.callerReleases == 0 {
				h.agent.FromSwitch(h.now, conn, h.newRelease(call.id, 16))
			}
		}
		if h.closed[old] != "" && endedAt == 0 && elapsed > 50000 {
			endedAt, call.establishedAt = h.now, 0
		}
	}
	if endedAt == 0 || call.callerReleases != 1 || h.now-endedAt > limit {
		t.Errorf("over at %d, caller released %d times by %d", endedAt, call.callerReleases, h.now)
	}
	dialsBefore := h.agent.lastDialID
	for range 400 {
		h.advanceTime(maintenanceInterval)
		h.completeDials(9, 9)
	}
	if h.agent.lastDialID != dialsBefore {
		t.Errorf("%d more dials, although no call is established there", h.agent.lastDialID-dialsBefore)
	}
}

// Guards against closing a silent connection on which a switch that only hung will send its releases.
func TestSilentConnectionWithoutSetUpsIsStillRead(t *testing.T) {
	h, old, _, call := callWithTwoLinks(t)
	h.advanceTime(maxKeepaliveTimeout)
	if h.closed[old] != "" || h.agent.pickLink(h.agent.switches[1], 0, avoidNone) == h.agent.switches[1].findLink(old) {
		t.Fatalf("closed %v, or still in use", h.closed)
	}
	call.establishedAt, call.endedAt = 0, h.now
	if h.agent.FromSwitch(h.now, old, h.newRelease(call.id, 16)); call.callerReleases != 1 || h.agent.switches[1].findLink(old).silent {
		t.Errorf("caller released %d times", call.callerReleases)
	}
	h.silent[old] = true
	if h.advanceTime(keepaliveInterval + silentLinkRetention + 2*maxKeepaliveTimeout); h.closed[old] == "" {
		t.Error("never closed")
	}
}

// Guards against a call that waits indefinitely for a connection to a switch that has the maximum of connections, all
// of them silent.
func TestCallGetsAConnectionThoughAllAreSilent(t *testing.T) {
	h, _, _ := establishedCall(t)
	remote := h.agent.switches[1]
	for len(remote.links) < maxLinksPerSwitch {
		remote.recoveryDialID = h.agent.lastDialID + 1
		h.advanceTime(maintenanceInterval)
		h.completeDials(10, 10)
	}
	for _, link := range remote.links {
		h.silent[link.conn] = true
	}
	h.advanceTime(keepaliveInterval + maxKeepaliveTimeout)
	call := h.sendSetUp(h.connectCaller(), 1, 2000)
	h.advanceTime(2 * maintenanceInterval)
	h.completeDials(10, 10)
	if call.tryConn == 0 {
		t.Errorf("not sent; %d connections, dials %v", len(remote.links), h.dials)
	}
}

// Guards against sending set-ups to a hung switch on connections that only its system accepts: they would lie
// there unread, and closing the connection abandons them.
func TestSetUpWaitsForTheFirstMessageOfASilentSwitch(t *testing.T) {
	h, old, other, _ := callWithTwoLinks(t)
	h.silent[other] = true
	conn := h.connectCaller()
	call := h.sendSetUp(conn, 1, 2000)
	if call.tryConn != 0 {
		t.Fatalf("sent on connection %d", call.tryConn)
	}
	h.silent[other] = false
	h.reportCircuits(other, 9, 9)
	if call.tryConn != other {
		t.Fatalf("sent on %d after the first message on %d", call.tryConn, other)
	}
	h.answer(call, sip.OK)
	if h.closed[old] != "" {
		t.Errorf("closed %v", h.closed)
	}
}

// Guards against set-ups that wait for a silent switch until their deadline: nothing was sent, so another route
// can be tried at once.
func TestSetUpThatWaitedForASilentSwitchEndsAsUnreached(t *testing.T) {
	h, _, other, _ := callWithTwoLinks(t)
	h.silent[other] = true
	call := h.sendSetUp(h.connectCaller(), 1, 3000)
	for range 100 {
		h.advanceTime(maintenanceInterval)
		for len(h.dials) > 0 {
			conn := h.completeDial(false, true)
			h.silent[conn] = true
		}
	}
	if call.answers == 0 && call.trySwitch == 0 || call.trySwitch == 1 {
		t.Errorf("%+v", call)
	}
}

// Guards against releases that are lost at start-up: a switch repeats them on the first connection, and that one
// was opened for a list entry which a later one replaces, and closed at once.
func TestBootstrapDialsAfterAllEvents(t *testing.T) {
	h := newHarness(t)
	for len(h.dials) > 0 {
		h.completeDial(true, false)
	}
	old := board.Switch{ID: 7, Exchange: 2, Address: "10.0.0.7:1"}
	gone, next := old, board.Switch{ID: 8, Exchange: 2, Address: "10.0.0.7:1", StartedMS: int64(h.now) / 10}
	gone.State = board.Gone
	h.agent.Bootstrap(h.now, []board.Event{{Number: 2, Complete: true, Switches: []board.Switch{old}}, {Number: 3, Switches: []board.Switch{gone, next}}})
	if len(h.dials) != 1 || h.dials[0].switchID != 8 {
		t.Fatalf("dials %v", h.dials)
	}
}

// Guards against releases that are lost on a connection that is closed as it comes up, because its switch was
// replaced during the dial: the new switch at that address may have repeated its releases on it.
func TestObsoleteConnectionIsFollowedByAnother(t *testing.T) {
	h := newHarness(t)
	for len(h.dials) > 0 && h.dials[0].switchID != 1 {
		h.completeDial(true, false)
	}
	obsoleteDial := h.dials[0]
	h.dials = nil
	h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", State: board.Gone}, board.Switch{ID: 9, Exchange: 1, Address: "10.0.0.2:1"})
	h.completeDials(9, 9)
	conn := h.newConn()
	h.agent.DialDone(h.now, obsoleteDial.switchID, obsoleteDial.dialID, conn, DialConnected)
	if h.closed[conn] == "" || len(h.dials) != 1 || h.dials[0].switchID != 9 {
		t.Fatalf("closed %v, dials %v", h.closed, h.dials)
	}
	caller := h.connectCaller()
	h.agent.FromSwitch(h.now, conn, h.newRelease("00000000000000f1", 16)) // delivered before the close
	if got := h.sentTo(caller); got != "BYE" {
		t.Errorf("the caller received %q", got)
	}
}

// Guards against a dial loop: closing a connection to make room for the next must not count as a loss that asks
// for one more.
func TestReplacedConnectionsCauseNoFurtherDials(t *testing.T) {
	const seconds = 60
	h, old, _, call := callWithTwoLinks(t)
	h.disconnectLink(old)
	before := h.agent.lastDialID
	for range seconds * 10000 / int(maintenanceInterval) {
		h.advanceTime(maintenanceInterval)
		h.completeDials(9, 9)
	}
	if call.callerReleases != 0 {
		t.Fatal("the call is not established")
	}
	if dials := int(h.agent.lastDialID - before); dials > seconds*10000/int(recoveryInterval)+2*maxLinksPerSwitch {
		t.Errorf("%d dials in %d s", dials, seconds)
	}
}

// Guards against taking a suspect connection that is closed to make room for a healthy one: nothing would recover
// the releases of its calls.
func TestSuspectConnectionThatIsReplacedCountsAsLost(t *testing.T) {
	h, old, _, call := callWithTwoLinks(t) // old is suspect
	remote := h.agent.switches[1]
	for len(remote.links) < maxLinksPerSwitch {
		remote.recoveryDialID = h.agent.lastDialID + 1
		h.agent.dialReplacingIdle(remote)
		h.completeDials(9, 9)
	}
	remote.recoveryDialID = h.agent.lastDialID + 1
	h.agent.dialReplacingIdle(remote)
	if h.closed[old] == "" || remote.nextRecoveryAt == 0 {
		t.Fatalf("closed %v, recovery at %d", h.closed, remote.nextRecoveryAt)
	}
	h.completeDials(9, 9)
	before := h.agent.lastDialID
	for range 2 * recoveryInterval / maintenanceInterval {
		h.advanceTime(maintenanceInterval)
		h.completeDials(9, 9)
	}
	if h.agent.lastDialID == before || call.callerReleases != 0 {
		t.Errorf("no further connection while the call is established")
	}
}

// Guards against losing a release that the switch sends on an earlier lost connection, when the call's own
// connection was closed in good order meanwhile.
func TestRecoveryIsScheduledWhenAConnectionClosesAfterALoss(t *testing.T) {
	h, old, other, _ := callWithTwoLinks(t)
	h.disconnectLink(old)
	h.completeDials(9, 9)
	second := h.sendSetUp(h.connectCaller(), 1, 2000)
	h.answer(second, sip.OK)
	if second.establishedConn != other {
		t.Fatalf("established on connection %d", second.establishedConn)
	}
	h.agent.scheduleRecovery(h.agent.switches[1])
	h.agent.switches[1].nextRecoveryAt = 0
	h.forgetLink(other)
	h.agent.SwitchDisconnected(h.now, other, true)
	if h.agent.switches[1].nextRecoveryAt == 0 {
		t.Error("no recovery scheduled")
	}
}
