package b2bua

import (
	"fmt"
	"slices"
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
	k.standsAt, k.overAt = 0, r.now
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
	r.pass(copyEvery - 10)
	r.wantReleases(k, 1, first)
	r.pass(20)
	r.wantReleases(k, 2, second)
	other := r.offer(second, 1, 1000)
	r.answer(other, sip.OK)
	r.callerDown(second)
	r.switchReleases(other) // the one that is left did not hear before: told there all the same, and where the next comes
	r.wantReleases(other, 1, first)
	third := r.callerUp()
	r.offer(third, 1, 1000)
	r.pass(copyEvery)
	r.wantReleases(other, 2, third)
}

func TestReleaseIsNotRepeatedForEver(t *testing.T) {
	r, _, _, k := stood(t)
	r.switchReleases(k)
	for _, c := range r.callers {
		r.deaf[c] = true
	}
	for range keepTold / 1000 { // ten new ones a second
		r.pass(1000)
		r.deafCaller()
	}
	if told := k.callerReleased; told < copiesMost || told > copiesMost+offersMost {
		t.Fatalf("the caller was told %d times", told)
	}
	r.pass(roundSlow)
	if len(r.a.pending.order) != 0 {
		t.Fatalf("%d wait", len(r.a.pending.order))
	}
}

func TestReleaseAnsweredLateOnItsFirstConnectionIsHeard(t *testing.T) {
	r, first, second, k := stood(t)
	r.deaf[first] = true
	r.switchReleases(k)
	r.pass(copyEvery + 10)
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
	r.now += copyEvery + 5000
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

// Guards against releases repeated for callers who never send the optional 200 to BYE: an ACK that must come later on the same connection
// tells that the release before it was read.
func TestAcknowledgementOfALaterAnswerConfirmsAnEarlierRelease(t *testing.T) {
	r, first, _, k := stood(t)
	other := r.offer(first, 1, 1000)
	r.deaf[first] = true // answers no BYE; its ACKs are sent by this test
	r.switchReleases(k)
	r.answer(other, sip.OK)
	r.a.FromCaller(r.now, r.now, first, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: k.id, CSeq: 1}) // of an answer before the release
	if len(r.a.pending.order) != 1 {
		t.Fatal("confirmed by an ACK to an earlier answer")
	}
	r.a.FromCaller(r.now, r.now, first, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: other.id, CSeq: 1})
	k.heardRelease = true
	r.pass(tellWithin)
	r.wantReleases(k, 1, first)
	if got := r.a.Releases(); got.Confirmed != 1 || got.Waiting != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against a release that is taken as heard when a caller who does not know the call refuses it.
func TestRefusalByACallerWhoDoesNotKnowTheCallConfirmsNothing(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(first)
	r.deaf[second] = true
	r.switchReleases(k)
	r.wantReleases(k, 1, second)
	refusal := r.bye(k.id, 16).Answer(sip.NoSuchCall)
	r.a.FromCaller(r.now, r.now, second, &refusal)
	third := r.callerUp()
	r.offer(third, 1, 1000)
	r.pass(copyEvery)
	r.wantReleases(k, 2, third)
}

// Guards against releases that are kept without a due time: one that comes while no caller is connected is written on the next connection,
// though that never sends a set-up.
func TestReleaseThatFindsNobodyGoesToACallerWhoOnlyListens(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(first)
	r.callerDown(second)
	r.switchReleases(k)
	r.pass(30000)
	third := r.callerUp()
	r.pass(roundSlow)
	r.wantReleases(k, 1, third)
}

// Guards against bad clients who send set-ups and acknowledge answers, and never read: a dozen of them stand before the one who does.
func TestReleaseReachesTheOneWhoReadsAmongManyWhoPretendTo(t *testing.T) {
	r := newRigWithin(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 20, Links: 12})
	r.dialAll(50, 50)
	first, second := r.callerUp(), r.callerUp()
	k := r.offer(first, 1, 1000)
	r.answer(k, sip.OK)
	r.answer(r.offer(second, 2, 1000), sip.OK)
	for range 12 {
		c := r.callerUp()
		r.answer(r.offer(c, 1, 1000), sip.OK)
		r.deaf[c] = true
	}
	r.callerDown(first)
	r.switchReleases(k)
	r.pass(tellWithin)
	if !k.heardRelease {
		t.Errorf("told %d times, not to who reads", k.callerReleased)
	}
}

// Guards against releases that pile up without bound while nobody listens.
func TestReleasesThatNobodyConfirmsAreBounded(t *testing.T) {
	r := newRig(t)
	r.dialAll(9, 9)
	for i := range releasesMost + 100 {
		r.a.FromSwitch(r.now, r.linkTo(1), r.bye(idOf(0x10000+i), 16))
	}
	if got := r.a.Releases(); got.Waiting != releasesMost || got.Dropped != 100 {
		t.Errorf("%+v", got)
	}
	r.pass(keepUntold + 2*roundSlow)
	if got := r.a.Releases(); got.Waiting != 0 {
		t.Errorf("%+v", got)
	}
}

func idOf(n int) string { return fmt.Sprintf("%016x", n) }

// Guards against a caller's release that is lost since our close of its connection crosses it.
func TestCallersReleaseThatCrossesOurCloseReachesTheSwitch(t *testing.T) {
	r, first, _, k := stood(t)
	r.a.CallerDown(r.now, first) // closed here; what it has sent is still read
	r.drop(first)
	k.callerEnded = true
	if r.a.FromCaller(r.now, r.now, first, r.bye(k.id, 16)); k.switchReleased != 1 || r.a.standing != 1 {
		t.Errorf("the switch was told %d times, %d stand", k.switchReleased, r.a.standing)
	}
}

// Guards against copies that are used up on a crowd that says nothing and ends all at once, before the caller comes who must be told.
func TestCrowdThatEndsUsesUpNoReleases(t *testing.T) {
	r := newRigWithin(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 150, Links: 12})
	r.dialAll(50, 50)
	first := r.callerUp()
	k := r.offer(first, 1, 1000)
	r.answer(k, sip.OK)
	var crowd []Conn
	for range 120 {
		crowd = append(crowd, r.callerUp())
		r.deaf[crowd[len(crowd)-1]] = true
	}
	r.callerDown(first)
	r.switchReleases(k)
	for _, c := range slices.Backward(crowd) { // those that have copies first
		r.callerDown(c)
	}
	r.pass(copyEvery)
	second := r.callerUp()
	r.offer(second, 1, 1000)
	if r.pass(0); !k.heardRelease || k.releasedOn != second {
		t.Errorf("told %d times, last on %d", k.callerReleased, k.releasedOn)
	}
}

// Guards against a release that waited for long and is given up as soon as the first to come has a copy, though it does not read.
func TestReleaseThatWaitedIsKeptAfterItsFirstCopy(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(first)
	r.callerDown(second)
	r.switchReleases(k)
	r.pass(2 * keepTold)
	r.deafCaller()
	r.pass(keepTold / 2)
	last := r.callerUp()
	r.offer(last, 1, 1000)
	if r.pass(copyEvery); !k.heardRelease {
		t.Errorf("told %d times, not who came last", k.callerReleased)
	}
}
