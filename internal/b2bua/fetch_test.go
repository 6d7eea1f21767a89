package b2bua

import (
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// callWithTwoLinks creates an agent with an established call at switch 1 and two connections to it; the second was opened
// after the first fell silent.
func callWithTwoLinks(t *testing.T) (r *harness, old, other ConnID, k *observedCall) {
	r, _, k = establishedCall(t)
	old = r.mustLinkTo(1)
	r.advanceTime(keepaliveInterval + 2*maintenanceInterval) // so that a keepalive is answered after the set-up
	r.silent[old] = true
	for range 200 {
		if r.advanceTime(maintenanceInterval); len(r.dials) > 0 {
			other = r.completeDial(false, true)
			break
		}
	}
	if other == 0 || r.closed[old] != "" {
		t.Fatalf("other %d, closed %v", other, r.closed)
	}
	return r, old, other, k
}

// Guards against a release that is lost with its connection because no further connection opens on which the
// switch would repeat it.
func TestConnectionThatBreaksIsReplacedThoughAnotherIsOpen(t *testing.T) {
	r, old, _, _ := callWithTwoLinks(t)
	r.disconnectLink(old)
	if len(r.dials) != 1 || r.dials[0].switchID != 1 {
		t.Fatalf("dials %v", r.dials)
	}
	for range 3 { // until one opens
		r.completeDial(false, false)
		r.advanceTime(maxReconnectDelay + initialReconnectDelay)
		if len(r.dials) != 1 {
			t.Fatalf("dials %v", r.dials)
		}
	}
	r.completeDial(false, true)
	if len(r.dials) != 0 || r.agent.switches[1].recoveryDialID != 0 {
		t.Errorf("still dials %v", r.dials)
	}
}

// Guards against taking a dial that was in progress when a connection broke for one that recovers lost releases:
// the switch may have accepted it before it wrote the release.
func TestDialUnderWayFetchesNothing(t *testing.T) {
	r, first, _, _ := callWithTwoLinks(t)
	r.disconnectLink(first)
	before := r.dials[0].dialID
	r.disconnectLink(r.mustLinkTo(1)) // while the dial is in progress
	r.completeDial(false, true)
	if len(r.dials) != 1 || r.dials[0].dialID <= before {
		t.Errorf("dials %v after dial %d", r.dials, before)
	}
}

// Guards against needless dials: a switch that closes an idle connection has written everything, so nothing is
// lost while another connection is open.
func TestConnectionThatItsSwitchClosesIsNotReplaced(t *testing.T) {
	r, old, _, _ := callWithTwoLinks(t)
	r.forgetLink(old)
	if r.agent.SwitchDisconnected(r.now, old, true); len(r.dials) != 0 {
		t.Errorf("dials %v", r.dials)
	}
}

// Guards against losing a release that crosses our close of its connection.
func TestReleaseThatCrossesOurCloseIsTaken(t *testing.T) {
	r, old, _, k := callWithTwoLinks(t)
	for range 1 + silentLinkRetention/maintenanceInterval {
		if r.advanceTime(maintenanceInterval); r.closed[old] != "" {
			break
		}
	}
	k.establishedAt, k.endedAt = 0, r.now
	r.agent.FromSwitch(r.now, old, r.newRelease(k.id, 16))
	if k.callerReleases != 1 {
		t.Error("caller not released")
	}
	late := &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite}
	if r.agent.FromSwitch(r.now, old, late); len(r.agent.closingLinks) == 0 {
		t.Error("removed before its end")
	}
	if r.agent.SwitchDisconnected(r.now, old, false); len(r.agent.closingLinks) != 0 {
		t.Error("still present after its end")
	}
}

// Guards against no recovery of lost releases when a switch has the maximum of connections: an idle one is closed
// for the new one.
func TestIdleConnectionMakesRoomForTheOneThatFetches(t *testing.T) {
	r, _, _ := establishedCall(t)
	for range maxLinksPerSwitch {
		r.agent.switches[1].recoveryDialID = r.agent.lastDialID + 1
		r.advanceTime(policy.Tenths(maintenanceInterval))
		r.completeDials(10, 10)
	}
	if n := len(r.agent.switches[1].links); n != maxLinksPerSwitch || r.agent.switches[1].recoveryDialID != 0 {
		t.Errorf("%d connections, recovery from dial %d", n, r.agent.switches[1].recoveryDialID)
	}
}

// Guards against losing a caller's release on a silent connection to a switch, which would hold the circuit.
func TestCallersReleaseOnASilentConnectionGoesAgainOnTheNext(t *testing.T) {
	r, c, k := establishedCall(t)
	link := r.mustLinkTo(1)
	r.silent[link] = true
	k.callerEnded = true
	r.agent.FromCaller(r.now, r.now, c, r.newRelease(k.id, 16))
	if k.switchReleases != 1 {
		t.Fatalf("released %d times", k.switchReleases)
	}
	k.establishedAt = 1 // the switch did not read it
	for range 200 {
		r.advanceTime(maintenanceInterval)
		r.completeDials(9, 9)
	}
	if k.switchReleases != 2 {
		t.Errorf("closed %v, the switch was released %d times", r.closed, k.switchReleases)
	}
}

// Guards against repeating the release of an earlier try to a switch at which the call is established by now.
func TestReleaseOfAnEarlierTryIsNotRepeatedWhereTheCallStands(t *testing.T) {
	r, _, k := establishedCall(t)
	link := r.mustLinkTo(1)
	r.agent.switches[1].findLink(link).sentReleases = []sentRelease{{r.now, *r.newRelease(k.id, 16)}}
	r.disconnectLink(link)
	r.completeDials(9, 9)
	if k.switchReleases != 0 {
		t.Error("cut")
	}
}

// Guards against a dial loop with a switch that accepts connections and resets them.
func TestSwitchThatResetsEveryConnectionIsNotDialledInALoop(t *testing.T) {
	r, _, _ := establishedCall(t)
	r.disconnectLink(r.mustLinkTo(1))
	dials := 0
	for range 1000 { // steps of 10 ms
		for range len(r.dials) {
			dials++
			r.disconnectLink(r.completeDial(false, true))
		}
		r.advanceTime(100)
	}
	if dials < 5 || dials > 50 {
		t.Errorf("%d dials in 10 s", dials)
	}
}

// Guards against losing the release of a call whose connection is lost here but open in the view of the switch.
// The call ends long after the replacement connections were opened, and its release is repeated only on the next
// one.
func TestReleaseOfACallSetUpOnALostConnectionIsFetchedWhenItComes(t *testing.T) {
	const within = 80000 // the platform's limit where no release could be sent
	r, old, _, k := callWithTwoLinks(t)
	over := policy.Tenths(0)
	for at := policy.Tenths(0); at < 130000 && k.callerReleases == 0; at += maintenanceInterval {
		r.advanceTime(maintenanceInterval)
		for len(r.dials) > 0 {
			c := r.completeDial(false, true)
			if over != 0 && k.callerReleases == 0 {
				r.agent.FromSwitch(r.now, c, r.newRelease(k.id, 16))
			}
		}
		if r.closed[old] != "" && over == 0 && at > 50000 {
			over, k.establishedAt = r.now, 0
		}
	}
	if over == 0 || k.callerReleases != 1 || r.now-over > within {
		t.Errorf("over at %d, caller released %d times by %d", over, k.callerReleases, r.now)
	}
	dialled := r.agent.lastDialID
	for range 400 {
		r.advanceTime(maintenanceInterval)
		r.completeDials(9, 9)
	}
	if r.agent.lastDialID != dialled {
		t.Errorf("%d more dials, although no call is established there", r.agent.lastDialID-dialled)
	}
}

// Guards against closing a silent connection on which a switch that only hung will send its releases.
func TestSilentConnectionWithoutSetUpsIsListenedTo(t *testing.T) {
	r, old, _, k := callWithTwoLinks(t)
	r.advanceTime(maxKeepaliveTimeout)
	if r.closed[old] != "" || r.agent.pickLink(r.agent.switches[1], 0, avoidNone) == r.agent.switches[1].findLink(old) {
		t.Fatalf("closed %v, or still in use", r.closed)
	}
	k.establishedAt, k.endedAt = 0, r.now
	if r.agent.FromSwitch(r.now, old, r.newRelease(k.id, 16)); k.callerReleases != 1 || r.agent.switches[1].findLink(old).silent {
		t.Errorf("caller released %d times", k.callerReleases)
	}
	r.silent[old] = true
	if r.advanceTime(keepaliveInterval + silentLinkRetention + 2*maxKeepaliveTimeout); r.closed[old] == "" {
		t.Error("never closed")
	}
}

// Guards against a call that waits for ever for a connection to a switch that has the maximum of connections, all
// of them silent.
func TestCallFindsAConnectionThoughAllAreSilent(t *testing.T) {
	r, _, _ := establishedCall(t)
	f := r.agent.switches[1]
	for len(f.links) < maxLinksPerSwitch {
		f.recoveryDialID = r.agent.lastDialID + 1
		r.advanceTime(maintenanceInterval)
		r.completeDials(10, 10)
	}
	for _, l := range f.links {
		r.silent[l.conn] = true
	}
	r.advanceTime(keepaliveInterval + maxKeepaliveTimeout)
	k := r.sendSetUp(r.connectCaller(), 1, 2000)
	r.advanceTime(2 * maintenanceInterval)
	r.completeDials(10, 10)
	if k.tryConn == 0 {
		t.Errorf("not sent; %d connections, dials %v", len(f.links), r.dials)
	}
}

// Guards against sending set-ups to a hung switch on connections that only its system accepts: they would lie
// there unread, and closing the connection abandons them.
func TestSetUpWaitsForTheFirstWordOfASwitchThatFellSilent(t *testing.T) {
	r, old, other, _ := callWithTwoLinks(t)
	r.silent[other] = true
	c := r.connectCaller()
	k := r.sendSetUp(c, 1, 2000)
	if k.tryConn != 0 {
		t.Fatalf("sent on connection %d", k.tryConn)
	}
	r.silent[other] = false
	r.reportCircuits(other, 9, 9)
	if k.tryConn != other {
		t.Fatalf("sent on %d after the first message on %d", k.tryConn, other)
	}
	r.answer(k, sip.OK)
	if r.closed[old] != "" {
		t.Errorf("closed %v", r.closed)
	}
}

// Guards against set-ups that wait for a silent switch until their deadline: nothing was sent, so another route
// can be tried at once.
func TestSetUpThatWaitedForASilentSwitchIsTakenAsUnreached(t *testing.T) {
	r, _, other, _ := callWithTwoLinks(t)
	r.silent[other] = true
	k := r.sendSetUp(r.connectCaller(), 1, 3000)
	for range 100 {
		r.advanceTime(maintenanceInterval)
		for len(r.dials) > 0 {
			c := r.completeDial(false, true)
			r.silent[c] = true
		}
	}
	if k.answers == 0 && k.trySwitch == 0 || k.trySwitch == 1 {
		t.Errorf("%+v", k)
	}
}

// Guards against releases that are lost at start-up: a switch repeats them on the first connection, and that one
// was opened for a list entry which a later one replaces, and closed at once.
func TestNothingIsDialledBeforeAllThatIsKnownIsTaken(t *testing.T) {
	r := newHarness(t)
	for len(r.dials) > 0 {
		r.completeDial(true, false)
	}
	old := board.Switch{ID: 7, Cell: 2, Address: "10.0.0.7:1"}
	gone, next := old, board.Switch{ID: 8, Cell: 2, Address: "10.0.0.7:1", StartedMS: int64(r.now) / 10}
	gone.State = board.Gone
	r.agent.Bootstrap(r.now, []board.Event{{Number: 2, Complete: true, Switches: []board.Switch{old}}, {Number: 3, Switches: []board.Switch{gone, next}}})
	if len(r.dials) != 1 || r.dials[0].switchID != 8 {
		t.Fatalf("dials %v", r.dials)
	}
}

// Guards against releases that are lost on a connection that is closed as it comes up, because its switch was
// replaced during the dial: the new switch at that address may have repeated its releases on it.
func TestConnectionThatNobodyAsksForAnyMoreIsFollowedByAnother(t *testing.T) {
	r := newHarness(t)
	for len(r.dials) > 0 && r.dials[0].switchID != 1 {
		r.completeDial(true, false)
	}
	under := r.dials[0]
	r.dials = nil
	r.updateSwitches(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Gone}, board.Switch{ID: 9, Cell: 1, Address: "10.0.0.2:1"})
	r.completeDials(9, 9)
	c := r.newConn()
	r.agent.DialDone(r.now, under.switchID, under.dialID, c, false)
	if r.closed[c] == "" || len(r.dials) != 1 || r.dials[0].switchID != 9 {
		t.Fatalf("closed %v, dials %v", r.closed, r.dials)
	}
	caller := r.connectCaller()
	r.agent.FromSwitch(r.now, c, r.newRelease("00000000000000f1", 16)) // delivered before the close
	if got := r.sentTo(caller); got != "BYE" {
		t.Errorf("the caller received %q", got)
	}
}

// Guards against a dial loop: closing a connection to make room for the next must not count as a loss that asks
// for one more.
func TestConnectionsThatMakeRoomAskForNoFurtherOnes(t *testing.T) {
	const seconds = 60
	r, old, _, k := callWithTwoLinks(t)
	r.disconnectLink(old)
	before := r.agent.lastDialID
	for range seconds * 10000 / int(maintenanceInterval) {
		r.advanceTime(maintenanceInterval)
		r.completeDials(9, 9)
	}
	if k.callerReleases != 0 {
		t.Fatal("the call is not established")
	}
	if dials := int(r.agent.lastDialID - before); dials > seconds*10000/int(recoveryInterval)+2*maxLinksPerSwitch {
		t.Errorf("%d dials in %d s", dials, seconds)
	}
}

// Guards against taking a suspect connection that is closed to make room for a healthy one: nothing would recover
// the releases of its calls.
func TestConnectionInDoubtThatMakesRoomCountsAsLost(t *testing.T) {
	r, old, _, k := callWithTwoLinks(t) // old is suspect
	f := r.agent.switches[1]
	for len(f.links) < maxLinksPerSwitch {
		f.recoveryDialID = r.agent.lastDialID + 1
		r.agent.dialReplacingIdle(f)
		r.completeDials(9, 9)
	}
	f.recoveryDialID = r.agent.lastDialID + 1
	r.agent.dialReplacingIdle(f)
	if r.closed[old] == "" || f.nextRecoveryAt == 0 {
		t.Fatalf("closed %v, recovery at %d", r.closed, f.nextRecoveryAt)
	}
	r.completeDials(9, 9)
	before := r.agent.lastDialID
	for range 2 * recoveryInterval / maintenanceInterval {
		r.advanceTime(maintenanceInterval)
		r.completeDials(9, 9)
	}
	if r.agent.lastDialID == before || k.callerReleases != 0 {
		t.Errorf("no further connection while the call is established")
	}
}

// Guards against losing a release that the switch sends on an earlier lost connection, when the call's own
// connection was closed in good order meanwhile.
func TestCallWhoseConnectionIsClosedAfterAnotherWasLostIsAskedAfter(t *testing.T) {
	r, old, other, _ := callWithTwoLinks(t)
	r.disconnectLink(old)
	r.completeDials(9, 9)
	second := r.sendSetUp(r.connectCaller(), 1, 2000)
	r.answer(second, sip.OK)
	if second.establishedConn != other {
		t.Fatalf("established on connection %d", second.establishedConn)
	}
	r.agent.scheduleRecovery(r.agent.switches[1])
	r.agent.switches[1].nextRecoveryAt = 0
	r.forgetLink(other)
	r.agent.SwitchDisconnected(r.now, other, true)
	if r.agent.switches[1].nextRecoveryAt == 0 {
		t.Error("no recovery scheduled")
	}
}
