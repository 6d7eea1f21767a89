package callagent

import (
	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// State of a line, that is of an endpoint at a gateway with the user's phone. happen is the one place that changes it.
type State uint8

const (
	Away    State = iota // its gateway, or it alone, is out of service
	Idle                 // on hook
	Dialing              // off hook, dial tone, digits come
	Opening              // a number is known; its connection is being made
	Calling              // offered to the exchange
	Talking              // the call stands, in either direction
	Hearing              // off hook with a tone: refused, failed, over
	Taking               // a call for it: its connection is being made and its phone is to ring
	Ringing              // its phone rings; the call stands
	states
)

func (s State) String() string {
	return [...]string{"away", "idle", "dialing", "opening", "calling", "talking", "hearing", "taking", "ringing"}[s]
}

// event is what happens to a line, whatever message told it.
type event uint8

const (
	lifted     event = iota // the receiver, to dial
	turnedAway              // lifted, but the program has no room for another call
	hungUp
	flashed
	dialled    // a whole number
	misdialled // digits that are no number
	opened     // the connection is made, and what was asked with it obeyed
	unopened   // it cannot be made
	answered   // the exchange: the call stands
	released   // the exchange: it is over
	called     // the exchange: a call for this line
	vanished   // the connection of the call is gone from the gateway
	lost       // the gateway, or this endpoint
	back       // it is there again, on hook as far as is known
	expired    // the guard of the state
	events
)

func (e event) String() string {
	return [...]string{"lifted", "turned away", "hung up", "flashed", "dialled", "misdialled", "opened", "unopened", "answered", "released", "called",
		"vanished", "lost", "back", "expired"}[e]
}

// input is what an event brings.
type input struct {
	digits string
	age    policy.Tenths // how long ago it happened, as far as is known
	hop    place         // called
	m      isup.Message  // answered, released, called
}

type move struct {
	to State
	do func(*Agent, int, input)
}

// moves is the whole of a line's life. What is not in it changes nothing: a notification is answered by the door before it
// comes here, a call by the exchange gets its answer from refuse, and every other is counted.
var moves = [states][events]move{
	Away: {back: {Idle, (*Agent).rest}, lost: {Away, (*Agent).stay}, called: {Away, (*Agent).refuse}},
	Idle: {lifted: {Dialing, (*Agent).giveTone}, turnedAway: {Hearing, (*Agent).turnAway}, called: {Taking, (*Agent).take},
		lost: {Away, (*Agent).rest}, back: {Idle, (*Agent).rest}, hungUp: {Idle, (*Agent).stay}},
	Dialing: {dialled: {Opening, (*Agent).open}, misdialled: {Hearing, (*Agent).wrongNumber}, expired: {Hearing, (*Agent).wrongNumber},
		flashed: {Dialing, (*Agent).giveTone}, hungUp: {Idle, (*Agent).rest}, called: {Dialing, (*Agent).refuse},
		lost: {Away, (*Agent).rest}, back: {Idle, (*Agent).rest}},
	Opening: {opened: {Calling, (*Agent).offer}, unopened: {Hearing, (*Agent).fail}, expired: {Hearing, (*Agent).fail}, vanished: {Hearing, (*Agent).fail},
		hungUp: {Idle, (*Agent).rest}, flashed: {Opening, (*Agent).stay}, called: {Opening, (*Agent).refuse}, lost: {Away, (*Agent).rest}, back: {Idle, (*Agent).rest}},
	Calling: {answered: {Talking, (*Agent).through}, released: {Hearing, (*Agent).tellCause}, expired: {Hearing, (*Agent).giveUp},
		vanished: {Hearing, (*Agent).giveUp}, hungUp: {Idle, (*Agent).hangUp}, flashed: {Calling, (*Agent).stay},
		called: {Calling, (*Agent).refuse}, lost: {Away, (*Agent).cut}, back: {Idle, (*Agent).cut}},
	Talking: {released: {Hearing, (*Agent).tellCause}, vanished: {Hearing, (*Agent).giveUp}, hungUp: {Idle, (*Agent).hangUp},
		flashed: {Talking, (*Agent).stay}, called: {Talking, (*Agent).refuse}, lost: {Away, (*Agent).cut}, back: {Idle, (*Agent).cut}},
	Hearing: {hungUp: {Idle, (*Agent).rest}, expired: {Hearing, (*Agent).warn}, flashed: {Dialing, (*Agent).giveTone},
		called: {Hearing, (*Agent).refuse}, lost: {Away, (*Agent).rest}, back: {Idle, (*Agent).rest}},
	Taking: {opened: {Ringing, (*Agent).ringing}, unopened: {Idle, (*Agent).unable}, vanished: {Idle, (*Agent).unable}, released: {Idle, (*Agent).rest},
		// Glare: the user lifted to dial as the call came and has not heard it ring. The call finds the line engaged.
		lifted: {Dialing, (*Agent).glare}, turnedAway: {Dialing, (*Agent).glare}, hungUp: {Taking, (*Agent).stay},
		called: {Taking, (*Agent).refuse}, lost: {Away, (*Agent).cut}, back: {Idle, (*Agent).cut}},
	Ringing: {lifted: {Talking, (*Agent).pickUp}, turnedAway: {Talking, (*Agent).pickUp}, released: {Idle, (*Agent).rest}, expired: {Idle, (*Agent).noAnswer},
		vanished: {Idle, (*Agent).unable}, hungUp: {Ringing, (*Agent).stay}, called: {Ringing, (*Agent).refuse},
		lost: {Away, (*Agent).cut}, back: {Idle, (*Agent).cut}},
}

// happen is the one place where a line changes its state.
func (a *Agent) happen(i int, e event, in input) {
	l := &a.lines[i]
	m := moves[l.state][e]
	if m.do == nil {
		a.Unexpected[l.state][e]++
		a.push(i)
		return
	}
	l.state = m.to
	m.do(a, i, in)
	a.push(i)
}

// wish has a line be so from now on; push brings the gateway there.
func (a *Agent) wish(i int, hear Hear, tone gateways.Tone, mode Mode, guard policy.Tenths) {
	l := &a.lines[i]
	l.want = wish{hear, tone, mode}
	if mode == NoMedia {
		l.talk = nil
	}
	l.guard = guard
	if guard > 0 {
		a.at(guard, dueLine, i)
	}
}

func (a *Agent) stay(int, input) {}

// rest leaves a line on hook with nothing going on; away, nothing is asked of it.
func (a *Agent) rest(i int, _ input) { a.wish(i, HearLift, gateways.Silence, NoMedia, 0) }

func (a *Agent) giveTone(i int, _ input) {
	a.wish(i, HearDigits, gateways.DialTone, NoMedia, a.now+a.site.DialMost)
	a.lines[i].has.hear, a.lines[i].has.tone = HearNothing, gateways.Silence // also after a flash: the digits begin anew
}

// hears has a user hear a tone. It is the final answer of a call, or the end of one, and does not wait behind a command that the
// gateway has not answered: that one is given up, and what it may have made is deleted by the call's id with the tone.
func (a *Agent) hears(i int, t gateways.Tone) {
	if a.lines[i].out != 0 {
		a.abandon(i)
	}
	a.wish(i, HearHang, t, NoMedia, a.now+toneMost)
}

func (a *Agent) turnAway(i int, _ input)    { a.Counts.TurnedAway++; a.hears(i, gateways.Congestion) }
func (a *Agent) wrongNumber(i int, _ input) { a.hears(i, gateways.Reorder) }
func (a *Agent) warn(i int, _ input) {
	a.wish(i, HearHang, gateways.OffHookWarning, NoMedia, 0)
}

// open takes a dialled number: the caller's time runs from here.
func (a *Agent) open(i int, in input) {
	l := &a.lines[i]
	l.by = a.now - in.age + a.site.Abandon[a.gws[l.gw].Bearer]
	left := l.by - a.now
	left -= gateways.AnswerRoom(a.gws[l.gw].sender.Wait(), left, a.gws[l.gw].sender.Loss())
	a.nextCall++
	l.talk = &talk{call: a.nextCall, digits: in.digits, leaves: a.now + left, hop: place{a.pointOf(i), a.cicOf(i)}}
	a.Counts.Dialled++
	a.wish(i, HearHang, gateways.Silence, Receive, l.talk.leaves)
}

// offer gives the call to the exchange, with the time that is left of the caller's.
func (a *Agent) offer(i int, _ input) {
	l := &a.lines[i]
	k, g := l.talk, &a.gws[l.gw]
	marks := uint8(0)
	if l.last == numberDigest(k.digits) { // it was turned away or cut, and comes again
		marks = l.lastMark
	}
	l.last, l.lastMark = numberDigest(k.digits), isup.FlagRedial
	a.identity = (a.identity + 1) & identityMost
	says := isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall | isup.PartSession, TimeLeft: uint32(max(1, k.leaves-a.now)), Bearer: uint8(g.Bearer),
		Flags: marks, Session: k.local}
	l.guard = k.leaves + policy.Tenths(lateAnswer)
	a.at(l.guard, dueLine, i)
	a.toExchange(k.hop, isup.Message{Type: isup.IAM, Digits: k.digits, Caller: a.numberOf(i), Width: g.Width,
		Ref: isup.Reference{Point: a.site.Point, Identity: a.identity | identityFirst}, UserInfo: says})
}

// through joins caller and called: the call stands.
func (a *Agent) through(i int, in input) {
	l := &a.lines[i]
	a.Counts.Stood++
	l.last, l.lastMark = numberDigest(l.talk.digits), isup.FlagDisconnectedBefore
	l.talk.remote = a.sessionOf(in.m.UserInfo, l.talk.hop)
	a.wish(i, HearHang, gateways.Silence, Both, 0)
}

// tellCause lets a user hear why the call is over, or never was.
func (a *Agent) tellCause(i int, in input) {
	l := &a.lines[i]
	tone, words := gateways.ToneFor(in.m.Cause)
	if in.m.Cause == isup.NormalClearing {
		l.last = 0
	}
	if tone == gateways.Reorder {
		a.Counts.Failed++
	} else {
		a.Counts.Refused++
	}
	a.out.Told(i, words)
	a.hears(i, tone)
}

// fail answers a call that never came to the exchange; giveUp one that is there.
func (a *Agent) fail(i int, _ input) {
	a.Counts.Failed++
	a.out.Told(i, "the gateway did not make the connection in time")
	a.hears(i, gateways.Reorder)
}

func (a *Agent) giveUp(i int, _ input) {
	a.release(i, isup.NetworkOutOfOrder)
	a.Counts.Failed++
	a.out.Told(i, "the connection at the gateway is gone")
	a.hears(i, gateways.Reorder)
}

func (a *Agent) release(i int, c isup.Cause) {
	if k := a.lines[i].talk; k != nil {
		a.toExchange(k.hop, isup.Message{Type: isup.REL, Cause: c, Location: isup.User})
	}
}

func (a *Agent) hangUp(i int, in input) { a.release(i, isup.NormalClearing); a.rest(i, in) }
func (a *Agent) cut(i int, in input)    { a.release(i, isup.NetworkOutOfOrder); a.rest(i, in) }

// refuse answers a call for a line that cannot take it.
func (a *Agent) refuse(i int, in input) {
	c := isup.UserBusy
	if a.lines[i].state == Away {
		c = isup.OutOfOrder
	}
	a.toExchange(in.hop, isup.Message{Type: isup.REL, Cause: c, Location: isup.User})
}

// take has a phone ring: its connection, the ring and the caller's ring-back go out as one command.
func (a *Agent) take(i int, in input) {
	a.nextCall++
	if in.m.UserInfo.Present&isup.PartTimeLeft != 0 {
		a.lines[i].by = a.now + policy.Tenths(in.m.UserInfo.TimeLeft)
	}
	a.lines[i].talk = &talk{call: a.nextCall, hop: in.hop, remote: a.sessionOf(in.m.UserInfo, in.hop)}
	a.Counts.Rung++
	a.wish(i, HearLift, gateways.Ring, Both, 0)
}

// ringing tells the exchange that the phone rings: the way is there from end to end, and the call stands. Whether somebody
// picks up is not the network's.
func (a *Agent) ringing(i int, _ input) {
	l := &a.lines[i]
	l.guard = a.now + a.site.RingMost
	a.at(l.guard, dueLine, i)
	a.toExchange(l.talk.hop, isup.Message{Type: isup.ANM, UserInfo: isup.UserInfo{Present: isup.PartSession, Session: l.talk.local}})
}

func (a *Agent) unable(i int, in input) { a.release(i, isup.TemporaryFailure); a.rest(i, in) }
func (a *Agent) noAnswer(i int, in input) {
	a.release(i, isup.NoAnswer)
	a.rest(i, in)
}
func (a *Agent) glare(i int, in input) { a.release(i, isup.UserBusy); a.giveTone(i, in) }
func (a *Agent) pickUp(i int, _ input) { a.wish(i, HearHang, gateways.Silence, Both, 0) }
