package b2bua

import (
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// twoLinks creates an agent with an established call at switch 1 and two connections to it; the second was opened
// after the first fell silent.
func twoLinks(t *testing.T) (r *rig, old, other Conn, k *heardOf) {
	r, _, k = served(t)
	old = r.linkTo(1)
	r.pass(askAfter + 2*houseWork) // so that a keepalive is answered after the set-up
	r.silent[old] = true
	for range 200 {
		if r.pass(houseWork); len(r.dials) > 0 {
			other = r.dial(false, true)
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
	r, old, _, _ := twoLinks(t)
	r.linkDown(old)
	if len(r.dials) != 1 || r.dials[0].sw != 1 {
		t.Fatalf("dials %v", r.dials)
	}
	for range 3 { // until one opens
		r.dial(false, false)
		r.pass(redialMost + redialFirst)
		if len(r.dials) != 1 {
			t.Fatalf("dials %v", r.dials)
		}
	}
	r.dial(false, true)
	if len(r.dials) != 0 || r.a.far[1].fetchFrom != 0 {
		t.Errorf("still dials %v", r.dials)
	}
}

// Guards against taking a dial that was in progress when a connection broke for one that recovers lost releases:
// the switch may have accepted it before it wrote the release.
func TestDialUnderWayFetchesNothing(t *testing.T) {
	r, first, _, _ := twoLinks(t)
	r.linkDown(first)
	before := r.dials[0].ticket
	r.linkDown(r.linkTo(1)) // while the dial is in progress
	r.dial(false, true)
	if len(r.dials) != 1 || r.dials[0].ticket <= before {
		t.Errorf("dials %v after dial %d", r.dials, before)
	}
}

// Guards against needless dials: a switch that closes an idle connection has written everything, so nothing is
// lost while another connection is open.
func TestConnectionThatItsSwitchClosesIsNotReplaced(t *testing.T) {
	r, old, _, _ := twoLinks(t)
	r.forgetLink(old)
	if r.a.LinkDown(r.now, old, true); len(r.dials) != 0 {
		t.Errorf("dials %v", r.dials)
	}
}

// Guards against losing a release that crosses our close of its connection.
func TestReleaseThatCrossesOurCloseIsTaken(t *testing.T) {
	r, old, _, k := twoLinks(t)
	for range 1 + silentKeep/houseWork {
		if r.pass(houseWork); r.closed[old] != "" {
			break
		}
	}
	k.standsAt, k.overAt = 0, r.now
	r.a.FromSwitch(r.now, old, r.bye(k.id, 16))
	if k.callerReleased != 1 {
		t.Error("caller not released")
	}
	late := &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite}
	if r.a.FromSwitch(r.now, old, late); len(r.a.closing) == 0 {
		t.Error("removed before its end")
	}
	if r.a.LinkDown(r.now, old, false); len(r.a.closing) != 0 {
		t.Error("still present after its end")
	}
}

// Guards against no recovery of lost releases when a switch has the maximum of connections: an idle one is closed
// for the new one.
func TestIdleConnectionMakesRoomForTheOneThatFetches(t *testing.T) {
	r, _, _ := served(t)
	for range linksMost {
		r.a.far[1].fetchFrom = r.a.tickets + 1
		r.pass(policy.Tenths(houseWork))
		r.dialAll(10, 10)
	}
	if n := len(r.a.far[1].links); n != linksMost || r.a.far[1].fetchFrom != 0 {
		t.Errorf("%d connections, recovery from dial %d", n, r.a.far[1].fetchFrom)
	}
}

// Guards against losing a caller's release on a silent connection to a switch, which would hold the circuit.
func TestCallersReleaseOnASilentConnectionGoesAgainOnTheNext(t *testing.T) {
	r, c, k := served(t)
	link := r.linkTo(1)
	r.silent[link] = true
	k.callerEnded = true
	r.a.FromCaller(r.now, r.now, c, r.bye(k.id, 16))
	if k.switchReleased != 1 {
		t.Fatalf("released %d times", k.switchReleased)
	}
	k.standsAt = 1 // the switch did not read it
	for range 200 {
		r.pass(houseWork)
		r.dialAll(9, 9)
	}
	if k.switchReleased != 2 {
		t.Errorf("closed %v, the switch was released %d times", r.closed, k.switchReleased)
	}
}

// Guards against repeating the release of an earlier try to a switch at which the call is established by now.
func TestReleaseOfAnEarlierTryIsNotRepeatedWhereTheCallStands(t *testing.T) {
	r, _, k := served(t)
	link := r.linkTo(1)
	r.a.far[1].link(link).byes = []bye{{r.now, *r.bye(k.id, 16)}}
	r.linkDown(link)
	r.dialAll(9, 9)
	if k.switchReleased != 0 {
		t.Error("cut")
	}
}

// Guards against a dial loop with a switch that accepts connections and resets them.
func TestSwitchThatResetsEveryConnectionIsNotDialledInALoop(t *testing.T) {
	r, _, _ := served(t)
	r.linkDown(r.linkTo(1))
	dials := 0
	for range 1000 { // steps of 10 ms
		for range len(r.dials) {
			dials++
			r.linkDown(r.dial(false, true))
		}
		r.pass(100)
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
	r, old, _, k := twoLinks(t)
	over := policy.Tenths(0)
	for at := policy.Tenths(0); at < 130000 && k.callerReleased == 0; at += houseWork {
		r.pass(houseWork)
		for len(r.dials) > 0 {
			c := r.dial(false, true)
			if over != 0 && k.callerReleased == 0 {
				r.a.FromSwitch(r.now, c, r.bye(k.id, 16))
			}
		}
		if r.closed[old] != "" && over == 0 && at > 50000 {
			over, k.standsAt = r.now, 0
		}
	}
	if over == 0 || k.callerReleased != 1 || r.now-over > within {
		t.Errorf("over at %d, caller released %d times by %d", over, k.callerReleased, r.now)
	}
	dialled := r.a.tickets
	for range 400 {
		r.pass(houseWork)
		r.dialAll(9, 9)
	}
	if r.a.tickets != dialled {
		t.Errorf("%d more dials, although no call is established there", r.a.tickets-dialled)
	}
}

// Guards against closing a silent connection on which a switch that only hung will send its releases.
func TestSilentConnectionWithoutSetUpsIsListenedTo(t *testing.T) {
	r, old, _, k := twoLinks(t)
	r.pass(signMost)
	if r.closed[old] != "" || r.a.room(r.a.far[1], 0, anyConn) == r.a.far[1].link(old) {
		t.Fatalf("closed %v, or still in use", r.closed)
	}
	k.standsAt, k.overAt = 0, r.now
	if r.a.FromSwitch(r.now, old, r.bye(k.id, 16)); k.callerReleased != 1 || r.a.far[1].link(old).silent {
		t.Errorf("caller released %d times", k.callerReleased)
	}
	r.silent[old] = true
	if r.pass(askAfter + silentKeep + 2*signMost); r.closed[old] == "" {
		t.Error("never closed")
	}
}

// Guards against a call that waits for ever for a connection to a switch that has the maximum of connections, all
// of them silent.
func TestCallFindsAConnectionThoughAllAreSilent(t *testing.T) {
	r, _, _ := served(t)
	f := r.a.far[1]
	for len(f.links) < linksMost {
		f.fetchFrom = r.a.tickets + 1
		r.pass(houseWork)
		r.dialAll(10, 10)
	}
	for _, l := range f.links {
		r.silent[l.conn] = true
	}
	r.pass(askAfter + signMost)
	k := r.offer(r.callerUp(), 1, 2000)
	r.pass(2 * houseWork)
	r.dialAll(10, 10)
	if k.tryOn == 0 {
		t.Errorf("not sent; %d connections, dials %v", len(f.links), r.dials)
	}
}

// Guards against sending set-ups to a hung switch on connections that only its system accepts: they would lie
// there unread, and closing the connection abandons them.
func TestSetUpWaitsForTheFirstWordOfASwitchThatFellSilent(t *testing.T) {
	r, old, other, _ := twoLinks(t)
	r.silent[other] = true
	c := r.callerUp()
	k := r.offer(c, 1, 2000)
	if k.tryOn != 0 {
		t.Fatalf("sent on connection %d", k.tryOn)
	}
	r.silent[other] = false
	r.notify(other, 9, 9)
	if k.tryOn != other {
		t.Fatalf("sent on %d after the first message on %d", k.tryOn, other)
	}
	r.answer(k, sip.OK)
	if r.closed[old] != "" {
		t.Errorf("closed %v", r.closed)
	}
}

// Guards against set-ups that wait for a silent switch until their deadline: nothing was sent, so another route
// can be tried at once.
func TestSetUpThatWaitedForASilentSwitchIsTakenAsUnreached(t *testing.T) {
	r, _, other, _ := twoLinks(t)
	r.silent[other] = true
	k := r.offer(r.callerUp(), 1, 3000)
	for range 100 {
		r.pass(houseWork)
		for len(r.dials) > 0 {
			c := r.dial(false, true)
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
	r := newRig(t)
	for len(r.dials) > 0 {
		r.dial(true, false)
	}
	old := board.Switch{ID: 7, Cell: 2, Address: "10.0.0.7:1"}
	gone, next := old, board.Switch{ID: 8, Cell: 2, Address: "10.0.0.7:1", StartedMS: int64(r.now) / 10}
	gone.State = board.Gone
	r.a.Known(r.now, []board.Event{{Number: 2, Complete: true, Switches: []board.Switch{old}}, {Number: 3, Switches: []board.Switch{gone, next}}})
	if len(r.dials) != 1 || r.dials[0].sw != 8 {
		t.Fatalf("dials %v", r.dials)
	}
}

// Guards against releases that are lost on a connection that is closed as it comes up, because its switch was
// replaced during the dial: the new switch at that address may have repeated its releases on it.
func TestConnectionThatNobodyAsksForAnyMoreIsFollowedByAnother(t *testing.T) {
	r := newRig(t)
	for len(r.dials) > 0 && r.dials[0].sw != 1 {
		r.dial(true, false)
	}
	under := r.dials[0]
	r.dials = nil
	r.list(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Gone}, board.Switch{ID: 9, Cell: 1, Address: "10.0.0.2:1"})
	r.dialAll(9, 9)
	c := r.name()
	r.a.Dialled(r.now, under.sw, under.ticket, c, false)
	if r.closed[c] == "" || len(r.dials) != 1 || r.dials[0].sw != 9 {
		t.Fatalf("closed %v, dials %v", r.closed, r.dials)
	}
	caller := r.callerUp()
	r.a.FromSwitch(r.now, c, r.bye("00000000000000f1", 16)) // delivered before the close
	if got := r.sent(caller); got != "BYE" {
		t.Errorf("the caller received %q", got)
	}
}

// Guards against a dial loop: closing a connection to make room for the next must not count as a loss that asks
// for one more.
func TestConnectionsThatMakeRoomAskForNoFurtherOnes(t *testing.T) {
	const seconds = 60
	r, old, _, k := twoLinks(t)
	r.linkDown(old)
	before := r.a.tickets
	for range seconds * 10000 / int(houseWork) {
		r.pass(houseWork)
		r.dialAll(9, 9)
	}
	if k.callerReleased != 0 {
		t.Fatal("the call is not established")
	}
	if dials := int(r.a.tickets - before); dials > seconds*10000/int(refetchEvery)+2*linksMost {
		t.Errorf("%d dials in %d s", dials, seconds)
	}
}

// Guards against taking a suspect connection that is closed to make room for a healthy one: nothing would recover
// the releases of its calls.
func TestConnectionInDoubtThatMakesRoomCountsAsLost(t *testing.T) {
	r, old, _, k := twoLinks(t) // old is suspect
	f := r.a.far[1]
	for len(f.links) < linksMost {
		f.fetchFrom = r.a.tickets + 1
		r.a.fetch(f)
		r.dialAll(9, 9)
	}
	f.fetchFrom = r.a.tickets + 1
	r.a.fetch(f)
	if r.closed[old] == "" || f.refetchAt == 0 {
		t.Fatalf("closed %v, recovery at %d", r.closed, f.refetchAt)
	}
	r.dialAll(9, 9)
	before := r.a.tickets
	for range 2 * refetchEvery / houseWork {
		r.pass(houseWork)
		r.dialAll(9, 9)
	}
	if r.a.tickets == before || k.callerReleased != 0 {
		t.Errorf("no further connection while the call is established")
	}
}

// Guards against losing a release that the switch sends on an earlier lost connection, when the call's own
// connection was closed in good order meanwhile.
func TestCallWhoseConnectionIsClosedAfterAnotherWasLostIsAskedAfter(t *testing.T) {
	r, old, other, _ := twoLinks(t)
	r.linkDown(old)
	r.dialAll(9, 9)
	second := r.offer(r.callerUp(), 1, 2000)
	r.answer(second, sip.OK)
	if second.standsOn != other {
		t.Fatalf("established on connection %d", second.standsOn)
	}
	r.a.refetch(r.a.far[1])
	r.a.far[1].refetchAt = 0
	r.forgetLink(other)
	r.a.LinkDown(r.now, other, true)
	if r.a.far[1].refetchAt == 0 {
		t.Error("no recovery scheduled")
	}
}
