package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// stood is an agent with two callers who speak the protocol, and a call of the first one that stands.
func stood(t *testing.T) (r *rig, first, second Conn, k *heardOf) {
	r = newRig(t)
	r.dialAll(9, 9)
	first, second = r.callerUp(), r.callerUp()
	k = r.offer(first, 1, 1000)
	r.answer(k, sip.OK)
	r.answer(r.offer(second, 2, 1000), sip.OK)
	return r, first, second, k
}

func (r *rig) switchReleases(k *heardOf) {
	k.standsAt = 0
	r.a.FromSwitch(r.now, k.standsOn, r.bye(k.id, 16))
}

// deafCaller connects one who sends a well-formed set-up, and hears and acknowledges nothing.
func (r *rig) deafCaller() {
	c := r.callerUp()
	r.deaf[c] = true
	r.offer(c, 9, 1000)
}

// wantReleases checks how often a call's caller was told, and on which connection last.
func (r *rig) wantReleases(k *heardOf, n int, on Conn) {
	r.t.Helper()
	if k.callerReleased != n || k.releasedOn != on {
		r.t.Fatalf("the caller was told %d times, last on %d; want %d, %d", k.callerReleased, k.releasedOn, n, on)
	}
}

func TestReleaseThatCrossesTheCloseOfItsConnectionGoesAgainOnAnother(t *testing.T) {
	r, first, second, k := stood(t)
	r.switchReleases(k)
	r.wantReleases(k, 1, first)
	r.callerDown(first) // before it answered
	r.wantReleases(k, 2, second)
	r.pass(20000)
	r.wantReleases(k, 2, second)
}

func TestReleaseThatFindsNoOtherConnectionGoesOnTheNext(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(second)
	r.switchReleases(k)
	r.callerDown(first)
	r.wantReleases(k, 1, 0)
	third := r.callerUp()
	r.wantReleases(k, 1, 0)
	r.offer(third, 1, 1000)
	r.wantReleases(k, 2, third)
}

func TestReleaseThatIsNotAnsweredGoesAgainWhereSomebodyHears(t *testing.T) {
	r, first, second, k := stood(t)
	r.deaf[first] = true
	r.switchReleases(k)
	r.pass(heardWithin - 10)
	r.wantReleases(k, 1, first)
	r.pass(20)
	r.wantReleases(k, 2, second)
	other := r.offer(second, 1, 1000)
	r.answer(other, sip.OK)
	r.callerDown(second)
	r.switchReleases(other) // the one that is left did not hear before
	third := r.callerUp()
	r.offer(third, 1, 1000)
	r.wantReleases(other, 1, third)
}

func TestReleaseIsNotRepeatedForEver(t *testing.T) {
	r, _, _, k := stood(t)
	r.switchReleases(k)
	for range 3 * byesAll {
		for _, c := range r.callers {
			r.deaf[c] = true
		}
		r.pass(heardWithin)
		c := r.callerUp()
		last := r.offer(c, 1, 1000)
		r.answer(last, sip.OK)
	}
	if k.callerReleased != byesAll {
		t.Fatalf("the caller was told %d times", k.callerReleased)
	}
}

func TestReleaseAnsweredLateOnItsFirstConnectionIsHeard(t *testing.T) {
	r, first, second, k := stood(t)
	r.deaf[first] = true
	r.switchReleases(k)
	r.pass(heardWithin + 10)
	r.wantReleases(k, 2, second)
	late := r.bye(k.id, 16).Answer(sip.OK)
	r.a.FromCaller(r.now, r.now, first, &late)
	r.callerDown(second)
	r.offer(r.callerUp(), 1, 1000)
	r.wantReleases(k, 2, 0)
}

func TestOwnStallIsNoSilenceOfACaller(t *testing.T) {
	r, first, _, k := stood(t)
	r.switchReleases(k)
	r.now += heardWithin + 5000
	r.a.Tick(r.now, r.now) // the process stood still, and the answer lies unread
	r.wantReleases(k, 1, first)
	r.pass(policy.Tenths(100))
	r.wantReleases(k, 1, first)
}

func TestReleaseThatCrossesTheEndOfASwitchConnectionGoesOnTheNext(t *testing.T) {
	r, first, _, k := stood(t)
	on := k.standsOn
	k.callerEnded = true
	r.a.FromCaller(r.now, r.now, first, r.bye(k.id, 16))
	if k.switchReleased != 1 {
		t.Fatalf("released %d times", k.switchReleased)
	}
	k.standsAt = r.links[on] // it was not read
	r.linkDown(on)
	r.dialAll(9, 9)
	if k.switchReleased != 2 {
		t.Fatalf("the switch was told %d times", k.switchReleased)
	}
}

// Many who send well-formed set-ups and hear nothing stand round one who does.
func TestReleaseGoesToOneWhoAcknowledgesAmongManyWhoDoNot(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(first)
	for range 3 {
		r.deafCaller()
	}
	r.switchReleases(k)
	r.wantReleases(k, 1, second)
}

// More connect than there is room for: who acknowledges keeps its connection, though it has been quiet longest.
func TestWhoAcknowledgesIsTheLastToLoseItsConnection(t *testing.T) {
	r, first, second, k := stood(t)
	r.switchReleases(k)
	r.pass(100)
	for range 10 {
		r.deafCaller()
		r.pass(10)
	}
	if r.closed[first] != "" || r.closed[second] != "" {
		t.Fatalf("closed: %v", r.closed)
	}
}

// Nobody who hears is there; those who are get it one after the other, and who comes and acknowledges gets it at once.
func TestReleaseGoesAtOnceToWhoProvesToHear(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(first)
	r.callerDown(second)
	for range 3 {
		r.deafCaller()
	}
	r.switchReleases(k)
	r.pass(100)
	r.wantReleases(k, 1, r.callers[2])
	c := r.callerUp()
	r.offer(c, 9, 1000)
	r.wantReleases(k, 2, c)
}
