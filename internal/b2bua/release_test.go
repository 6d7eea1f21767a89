package b2bua

import (
	"fmt"
	"slices"
	"testing"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// stood creates an agent with two callers that keep to the protocol, and an established call of the first one.
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

// deafCaller connects a caller that sends a well-formed set-up, and reads and acknowledges nothing.
func (r *rig) deafCaller() {
	c := r.callerUp()
	r.deaf[c] = true
	r.offer(c, 9, 1000)
}

// wantReleases checks how often a call's caller was released, and on which connection last.
func (r *rig) wantReleases(k *heardOf, n int, on Conn) {
	r.t.Helper()
	if k.callerReleased != n || k.releasedOn != on {
		r.t.Fatalf("the caller was released %d times, last on %d; want %d, %d", k.callerReleased, k.releasedOn, n, on)
	}
}

func TestReleaseThatCrossesTheCloseOfItsConnectionGoesAgainOnAnother(t *testing.T) {
	r, first, second, k := stood(t)
	r.switchReleases(k)
	r.wantReleases(k, 1, first)
	r.callerDown(first) // before the caller answered it
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
	r.switchReleases(other) // the remaining caller did not read before; the release is still sent to it, and to the next one that connects
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
	for range keepTold / 1000 { // ten new callers a second
		r.pass(1000)
		r.deafCaller()
	}
	if told := k.callerReleased; told < copiesMost || told > copiesMost+offersMost {
		t.Fatalf("the caller was released %d times", told)
	}
	r.pass(roundSlow)
	if len(r.a.pending.order) != 0 {
		t.Fatalf("%d pending releases", len(r.a.pending.order))
	}
}

func TestReleaseAnsweredLateOnItsFirstConnectionIsHeard(t *testing.T) {
	r, first, second, k := stood(t)
	r.deaf[first] = true
	r.switchReleases(k)
	r.pass(copyEvery + 10)
	r.wantReleases(k, 2, second)
	late := r.bye(k.id, 16).Response(sip.OK)
	r.a.FromCaller(r.now, r.now, first, &late)
	r.callerDown(second)
	r.offer(r.callerUp(), 1, 1000)
	r.wantReleases(k, 2, 0)
}

func TestOwnStallIsNoSilenceOfACaller(t *testing.T) {
	r, first, _, k := stood(t)
	r.switchReleases(k)
	r.now += copyEvery + 5000
	r.a.Tick(r.now, r.now) // the process stalled and the answer is unread
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
	k.standsAt = r.links[on] // the switch did not read it
	r.linkDown(on)
	r.dialAll(9, 9)
	if k.switchReleased != 2 {
		t.Fatalf("the switch was released %d times", k.switchReleased)
	}
}

// Guards against choosing one of many callers that send well-formed set-ups but read nothing.
func TestReleaseGoesToOneWhoAcknowledgesAmongManyWhoDoNot(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(first)
	for range 3 {
		r.deafCaller()
	}
	r.switchReleases(k)
	r.wantReleases(k, 1, second)
}

// Guards against closing the connection of a caller that acknowledges when more connect than the limit allows,
// though it has been quiet longest.
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

// Guards against a delay when no connected caller reads: the release goes to them one after the other, and at once
// to a new caller that acknowledges.
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

// Guards against repeating releases to callers that never send the optional 200 to BYE: a mandatory ACK later on
// the same connection proves that the release was read.
func TestAcknowledgementOfALaterAnswerConfirmsAnEarlierRelease(t *testing.T) {
	r, first, _, k := stood(t)
	other := r.offer(first, 1, 1000)
	r.deaf[first] = true // answers no BYE; this test sends its ACKs
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

// Guards against taking a release as confirmed when a caller that does not know the call refuses it.
func TestRefusalByACallerWhoDoesNotKnowTheCallConfirmsNothing(t *testing.T) {
	r, first, second, k := stood(t)
	r.callerDown(first)
	r.deaf[second] = true
	r.switchReleases(k)
	r.wantReleases(k, 1, second)
	refusal := r.bye(k.id, 16).Response(sip.CallDoesNotExist)
	r.a.FromCaller(r.now, r.now, second, &refusal)
	third := r.callerUp()
	r.offer(third, 1, 1000)
	r.pass(copyEvery)
	r.wantReleases(k, 2, third)
}

// Guards against releases without a scheduled round: a release that finds no caller connected is written on the
// next connection, even if no set-up ever comes there.
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

// Guards against faulty clients that send set-ups and acknowledge answers but read no releases: a dozen of them
// connect before the one that reads.
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
		t.Errorf("released %d times, but not to the caller that reads", k.callerReleased)
	}
}

// Guards against an unbounded number of releases while no caller confirms any.
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

// Guards against losing a caller's release that crosses our close of its connection.
func TestCallersReleaseThatCrossesOurCloseReachesTheSwitch(t *testing.T) {
	r, first, _, k := stood(t)
	r.a.CallerDown(r.now, first) // closed locally; what the caller has sent is still read
	r.drop(first)
	k.callerEnded = true
	if r.a.FromCaller(r.now, r.now, first, r.bye(k.id, 16)); k.switchReleased != 1 || r.a.standing != 1 {
		t.Errorf("the switch was released %d times, %d established calls", k.switchReleased, r.a.standing)
	}
}

// Guards against using up all copies on many connections that send nothing and end at once, before the caller
// connects that needs the release.
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
	for _, c := range slices.Backward(crowd) { // the newest first, as they have copies
		r.callerDown(c)
	}
	r.pass(copyEvery)
	second := r.callerUp()
	r.offer(second, 1, 1000)
	if r.pass(0); !k.heardRelease || k.releasedOn != second {
		t.Errorf("released %d times, last on %d", k.callerReleased, k.releasedOn)
	}
}

// Guards against dropping a long-pending release as soon as the first caller to connect, which reads nothing, has
// a copy.
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
		t.Errorf("released %d times, but not to the last caller", k.callerReleased)
	}
}
