package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/policy"
)

// tryState is where one route try is in its life. A call's id and its switch outlive a try, so no message acts on a try that does not name
// it: an answer and the end of a connection by the connection, a timer by the number of the try. The number in an answer's CSeq names none: the
// protocol matches answers by the method alone, and a switch may write any number there.
type tryState uint8

const (
	tryHeld         tryState = iota // not placed: the release time of an earlier try runs
	tryWaiting                      // waits for a connection to its switch
	tryOut                          // its set-up is written and not answered
	tryStanding                     // the call stands by it
	tryAbandoned                    // given up here, or its connection was lost: what its switch made of it is not known
	tryLeftStanding                 // abandoned, and answered all the same: it stands at its switch for nobody
	tryOver                         // released, by either side
	tryFailed                       // refused, or never written: nothing stands
	tryStates
)

var tryStateNames = [tryStates]string{"held", "waiting", "out", "standing", "abandoned", "left standing", "over", "failed"}

func (s tryState) String() string { return tryStateNames[s] }

// tryEvent is what can happen to a try.
type tryEvent uint8

const (
	eventHold    tryEvent = iota // it is too early to place it
	eventWait                    // no connection to its switch can take it
	eventWrite                   // its set-up is written
	eventAnswer                  // 200 on its connection
	eventRefuse                  // a refusal on its connection
	eventAbandon                 // it is cancelled, or its connection has ended
	eventDrop                    // it is given up before it was written
	eventRelease                 // a release of it was read or written
	tryEvents
)

var tryEventNames = [tryEvents]string{"hold", "wait", "write", "answer", "refuse", "abandon", "drop", "release"}

func (e tryEvent) String() string { return tryEventNames[e] }

// tryNext is the state machine of a try; what it does not name changes nothing.
var tryNext = [tryStates]map[tryEvent]tryState{
	tryHeld:         {eventHold: tryHeld, eventWait: tryWaiting, eventWrite: tryOut, eventDrop: tryFailed},
	tryWaiting:      {eventHold: tryHeld, eventWait: tryWaiting, eventWrite: tryOut, eventDrop: tryFailed},
	tryOut:          {eventAnswer: tryStanding, eventRefuse: tryFailed, eventAbandon: tryAbandoned},
	tryStanding:     {eventRelease: tryOver},
	tryAbandoned:    {eventAnswer: tryLeftStanding, eventRefuse: tryFailed, eventRelease: tryOver},
	tryLeftStanding: {eventRelease: tryOver},
	tryOver:         {eventAnswer: tryLeftStanding}, // released before its switch had read the set-up; a second answer is no event
	tryFailed:       {eventAnswer: tryLeftStanding}, // against the protocol, but it stands
}

// routeTry is one route try of a call: one set-up at one switch.
type routeTry struct {
	call     *call
	number   int // from 0, as the module counts
	sw       uint32
	conn     Conn // on which its set-up was written
	state    tryState
	answered bool // with 200; more copies may come
	limitAt  policy.Tenths
	sentAt   policy.Tenths
}

// cseq is the CSeq number of its set-up, and of the CANCEL of that.
func (t *routeTry) cseq() uint32 { return uint32(t.number + 1) }

// token names the try in a timer.
func (t *routeTry) token() uint64 { return uint64(t.number)<<32 | uint64(t.call.handle) }

// unplaced tells that its set-up is still to be written.
func (t *routeTry) unplaced() bool { return t.state == tryHeld || t.state == tryWaiting }

// mayStand tells that it may stand at its switch though the call does not stand by it.
func (t *routeTry) mayStand() bool { return t.state == tryAbandoned || t.state == tryLeftStanding }

// mayBeReleased tells that a release of it may still come from its switch, or come again on a further connection.
func (t *routeTry) mayBeReleased() bool { return t.mayStand() || t.state == tryOver }

// last is the present or last try of a call, nil before the first.
func (k *call) last() *routeTry {
	if len(k.tries) == 0 {
		return nil
	}
	return k.tries[len(k.tries)-1]
}

// far is the switch of the present or last try, 0 before the first.
func (k *call) far() uint32 {
	if t := k.last(); t != nil {
		return t.sw
	}
	return 0
}

// standsAt tells that a call stands at a switch.
func (k *call) standsAt(sw uint32) bool { return k.state == Standing && k.far() == sw }

// tryAnsweredOn is the try that a switch's answer on a connection belongs to: the last one that was written there, else one whose own
// connection is not open any more. nil when there is none.
func (k *call) tryAnsweredOn(f *farEnd, c Conn) *routeTry {
	var lost *routeTry
	for _, t := range slices.Backward(k.tries) {
		if t.sw != f.entry.ID || t.conn == 0 {
			continue
		}
		if t.conn == c {
			return t
		}
		if lost == nil && t.mayStand() && f.link(t.conn) == nil {
			lost = t
		}
	}
	return lost
}

// answersMeet tells that an answer to an abandoned try of the same call may come on a connection. Nothing would tell it from the answer to this one.
func (t *routeTry) answersMeet(c Conn) bool {
	return slices.ContainsFunc(t.call.tries[:t.number], func(earlier *routeTry) bool { return earlier.conn == c && earlier.mayBeReleased() })
}

// triedAt tells that a set-up of a call was written to a switch and may have run there.
func (k *call) triedAt(sw uint32) bool {
	return slices.ContainsFunc(k.tries, func(t *routeTry) bool {
		return t.sw == sw && (t.state == tryOut || t.state == tryStanding || t.mayBeReleased())
	})
}

// earlierMayBeReleased tells that a release from a switch may belong to a try before the last one.
func (k *call) earlierMayBeReleased(sw uint32) bool {
	return slices.ContainsFunc(k.tries[:max(0, len(k.tries)-1)], func(t *routeTry) bool { return t.sw == sw && t.mayBeReleased() })
}

// advance is the one place where a try changes its state. False: the event is none in its state.
func (a *Agent) advance(t *routeTry, e tryEvent, why string) bool {
	to, ok := tryNext[t.state][e]
	if !ok || t.answered && e == eventAnswer {
		a.out.Record(Record{Kind: TryEventIgnored, CallID: t.call.callID, Conn: t.conn, Switch: t.sw, Try: t.number + 1, To: t.call.state,
			Why: fmt.Sprintf("%s in state %s", e, t.state)})
		return false
	}
	if t.state == tryOut {
		if l := a.linkOn(t.sw, t.conn); l != nil {
			l.tries--
		}
	}
	t.answered = t.answered || e == eventAnswer
	a.out.Record(Record{Kind: TryState, CallID: t.call.callID, Conn: t.conn, Switch: t.sw, Try: t.number + 1, Why: fmt.Sprintf("%s to %s: %s", t.state, to, why)})
	t.state = to
	return true
}

// linkOn is a connection to a switch, nil when it is not open.
func (a *Agent) linkOn(sw uint32, c Conn) *link {
	if f := a.far[sw]; f != nil {
		return f.link(c)
	}
	return nil
}

// releaseTryLeft releases what abandoned tries of a call left standing, once no further try of it can come: a release names the call alone
// and would cut a later try at the same switch.
func (a *Agent) releaseTryLeft(k *call) {
	if k.state != Standing && k.state != Over {
		return
	}
	for _, t := range k.tries {
		if t.state == tryLeftStanding && !k.standsAt(t.sw) {
			a.releaseSwitch(t.sw, t.conn, a.bye(k.callID, k.uri, causeNormal))
			a.advance(t, eventRelease, "answered after it was given up")
		}
	}
}

// clearSwitch releases what earlier tries of a call may have left at a switch, ahead of the next set-up there and on the same connection, so
// that the one is read before the other and later releases from there belong to the later try.
func (a *Agent) clearSwitch(next *routeTry, l *link) {
	written := false
	for _, t := range next.call.tries[:next.number] {
		if t.sw != next.sw || !t.mayStand() {
			continue
		}
		if !written {
			a.out.Write(l.conn, a.bye(t.call.callID, t.call.uri, causeNormal))
			written = true
		}
		a.advance(t, eventRelease, "ahead of the next set-up there")
	}
}
