package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/policy"
)

// tryState is the state of a route try. A call's id and switch are shared by several tries, so messages are
// matched to a try by other means: answers and ends of connections by the connection, timers by the number of the
// try. The CSeq of an answer is not used: the protocol matches answers by the method alone, and a switch may write
// any number there.
type tryState uint8

const (
	tryHeld         tryState = iota // not placed, while the release time of an earlier try runs
	tryWaiting                      // waits for a connection to its switch
	tryOut                          // its set-up is sent and not answered
	tryStanding                     // the call is established by it
	tryAbandoned                    // cancelled, or its connection was lost: its state at the switch is not known
	tryLeftStanding                 // abandoned and then answered: established at its switch without a caller
	tryOver                         // released, by either side
	tryFailed                       // refused, or never sent: nothing is established
	tryStates
)

var tryStateNames = [tryStates]string{"held", "waiting", "out", "standing", "abandoned", "established without a caller", "over", "failed"}

func (s tryState) String() string { return tryStateNames[s] }

// tryEvent is an event in the life of a try.
type tryEvent uint8

const (
	eventHold    tryEvent = iota // it must not be placed yet
	eventWait                    // no connection to its switch can take it
	eventWrite                   // its set-up is written
	eventAnswer                  // 200 on its connection
	eventRefuse                  // a refusal on its connection
	eventAbandon                 // it is cancelled, or its connection ended
	eventDrop                    // it is abandoned before it was sent
	eventRelease                 // a release of it was received or sent
	tryEvents
)

var tryEventNames = [tryEvents]string{"hold", "wait", "write", "answer", "refuse", "abandon", "drop", "release"}

func (e tryEvent) String() string { return tryEventNames[e] }

// tryNext is the state machine of a try. Events that are not listed change nothing.
var tryNext = [tryStates]map[tryEvent]tryState{
	tryHeld:         {eventHold: tryHeld, eventWait: tryWaiting, eventWrite: tryOut, eventDrop: tryFailed},
	tryWaiting:      {eventHold: tryHeld, eventWait: tryWaiting, eventWrite: tryOut, eventDrop: tryFailed},
	tryOut:          {eventAnswer: tryStanding, eventRefuse: tryFailed, eventAbandon: tryAbandoned},
	tryStanding:     {eventRelease: tryOver},
	tryAbandoned:    {eventAnswer: tryLeftStanding, eventRefuse: tryFailed, eventRelease: tryOver},
	tryLeftStanding: {eventRelease: tryOver},
	tryOver:         {eventAnswer: tryLeftStanding}, // released before its switch had read the set-up; a second answer is ignored
	tryFailed:       {eventAnswer: tryLeftStanding}, // violates the protocol, but the call is established there
}

// routeTry is one route try of a call: one set-up at one switch.
type routeTry struct {
	call     *call
	number   int // from 0, as the policy counts
	sw       uint32
	conn     Conn // connection on which its set-up was sent
	state    tryState
	answered bool // with 200; further copies may come
	limitAt  policy.Tenths
	sentAt   policy.Tenths
}

// cseq returns the CSeq number of its set-up and of the CANCEL.
func (t *routeTry) cseq() uint32 { return uint32(t.number + 1) }

// token identifies the try in a timer.
func (t *routeTry) token() uint64 { return uint64(t.number)<<32 | uint64(t.call.handle) }

// unplaced reports whether its set-up has not been sent.
func (t *routeTry) unplaced() bool { return t.state == tryHeld || t.state == tryWaiting }

// mayStand reports whether it may be established at its switch without the call being established by it.
func (t *routeTry) mayStand() bool { return t.state == tryAbandoned || t.state == tryLeftStanding }

// mayBeReleased reports whether its switch may still send a release of it, or repeat one on a further connection.
func (t *routeTry) mayBeReleased() bool { return t.mayStand() || t.state == tryOver }

// last returns the present or last try of a call, nil before the first.
func (k *call) last() *routeTry {
	if len(k.tries) == 0 {
		return nil
	}
	return k.tries[len(k.tries)-1]
}

// far returns the switch of the present or last try, 0 before the first.
func (k *call) far() uint32 {
	if t := k.last(); t != nil {
		return t.sw
	}
	return 0
}

// standsAt reports whether a call is established at a switch.
func (k *call) standsAt(sw uint32) bool { return k.state == Standing && k.far() == sw }

// tryAnsweredOn returns the try that a switch's answer on a connection belongs to: the last one that was sent
// there, else one whose own connection is closed, nil if there is none.
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

// answersMeet reports whether an answer to an abandoned try of the call may come on a connection. It could not be
// told apart from the answer to this try.
func (t *routeTry) answersMeet(c Conn) bool {
	return slices.ContainsFunc(t.call.tries[:t.number], func(earlier *routeTry) bool { return earlier.conn == c && earlier.mayBeReleased() })
}

// triedAt reports whether a set-up of a call was sent to a switch and may have been carried out there.
func (k *call) triedAt(sw uint32) bool {
	return slices.ContainsFunc(k.tries, func(t *routeTry) bool {
		return t.sw == sw && (t.state == tryOut || t.state == tryStanding || t.mayBeReleased())
	})
}

// earlierMayBeReleased reports whether a release from a switch may belong to a try before the last one.
func (k *call) earlierMayBeReleased(sw uint32) bool {
	return slices.ContainsFunc(k.tries[:max(0, len(k.tries)-1)], func(t *routeTry) bool { return t.sw == sw && t.mayBeReleased() })
}

// advance changes the state of a try; nothing else does. It returns false if the event does not apply to the
// state.
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

// linkOn returns a connection to a switch, nil if it is not open.
func (a *Agent) linkOn(sw uint32, c Conn) *link {
	if f := a.far[sw]; f != nil {
		return f.link(c)
	}
	return nil
}

// releaseTryLeft releases what abandoned tries of a call established, once no further try can come: a release
// names only the call, and would disconnect a later try at the same switch.
func (a *Agent) releaseTryLeft(k *call) {
	if k.state != Standing && k.state != Over {
		return
	}
	for _, t := range k.tries {
		if t.state == tryLeftStanding && !k.standsAt(t.sw) {
			a.releaseSwitch(t.sw, t.conn, a.bye(k.callID, k.uri, causeNormal))
			a.advance(t, eventRelease, "answered after it was abandoned")
		}
	}
}

// clearSwitch releases what earlier tries of a call may have established at a switch, on the connection of the
// next set-up and ahead of it. The order guarantees that later releases from the switch refer to the later try.
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
		a.advance(t, eventRelease, "released ahead of the next set-up there")
	}
}
