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
	tryHeld        tryState = iota // not placed, while the release time of an earlier try runs
	tryWaiting                     // waits for a connection to its switch
	trySent                        // its set-up is sent and not answered
	tryEstablished                 // the call is established by it
	tryAbandoned                   // cancelled, or its connection was lost: its state at the switch is not known
	tryOrphaned                    // abandoned and then answered: established at its switch without a caller
	tryReleased                    // released, by either side
	tryFailed                      // refused, or never sent: nothing is established
	tryStateCount
)

// tryStateNames holds the names of the states in the log.
var tryStateNames = [tryStateCount]string{"held", "waiting", "out", "standing", "abandoned", "established without a caller", "over", "failed"}

func (s tryState) String() string { return tryStateNames[s] }

// tryEvent is an event that may change the state of a try.
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
	tryEventCount
)

var tryEventNames = [tryEventCount]string{"hold", "wait", "write", "answer", "refuse", "abandon", "drop", "release"}

func (e tryEvent) String() string { return tryEventNames[e] }

// tryTransitions is the state machine of a try. Events that are not listed change nothing.
var tryTransitions = [tryStateCount]map[tryEvent]tryState{
	tryHeld:        {eventHold: tryHeld, eventWait: tryWaiting, eventWrite: trySent, eventDrop: tryFailed},
	tryWaiting:     {eventHold: tryHeld, eventWait: tryWaiting, eventWrite: trySent, eventDrop: tryFailed},
	trySent:        {eventAnswer: tryEstablished, eventRefuse: tryFailed, eventAbandon: tryAbandoned},
	tryEstablished: {eventRelease: tryReleased},
	tryAbandoned:   {eventAnswer: tryOrphaned, eventRefuse: tryFailed, eventRelease: tryReleased},
	tryOrphaned:    {eventRelease: tryReleased},
	tryReleased:    {eventAnswer: tryOrphaned}, // released before its switch had read the set-up; a second answer is ignored
	tryFailed:      {eventAnswer: tryOrphaned}, // violates the protocol, but the call is established there
}

// routeTry is one route try of a call: one set-up at one switch.
type routeTry struct {
	call     *trackedCall
	number   int // from 0, as the policy counts
	switchID uint32
	conn     ConnID // connection on which its set-up was sent
	state    tryState
	answered bool // with 200; further copies may come
	deadline policy.Tenths
	sentAt   policy.Tenths
}

// cseq returns the CSeq number of its set-up and of the CANCEL.
func (t *routeTry) cseq() uint32 { return uint32(t.number + 1) }

// token identifies the try in a timer.
func (t *routeTry) token() uint64 { return uint64(t.number)<<32 | uint64(t.call.handle) }

// unsent reports whether its set-up has not been sent.
func (t *routeTry) unsent() bool { return t.state == tryHeld || t.state == tryWaiting }

// mayBeEstablished reports whether it may be established at its switch without the call being established by it.
func (t *routeTry) mayBeEstablished() bool { return t.state == tryAbandoned || t.state == tryOrphaned }

// mayBeReleased reports whether its switch may still send a release of it, or repeat one on a further connection.
func (t *routeTry) mayBeReleased() bool { return t.mayBeEstablished() || t.state == tryReleased }

// lastTry returns the present or last try of a call, nil before the first.
func (tc *trackedCall) lastTry() *routeTry {
	if len(tc.tries) == 0 {
		return nil
	}
	return tc.tries[len(tc.tries)-1]
}

// lastSwitch returns the switch of the present or last try, 0 before the first.
func (tc *trackedCall) lastSwitch() uint32 {
	if try := tc.lastTry(); try != nil {
		return try.switchID
	}
	return 0
}

// reachedSwitch reports whether a set-up of the call was written to any switch.
func (tc *trackedCall) reachedSwitch() bool {
	return slices.ContainsFunc(tc.tries, func(try *routeTry) bool { return try.conn != 0 })
}

// isEstablishedAt reports whether a call is established at a switch.
func (tc *trackedCall) isEstablishedAt(switchID uint32) bool {
	return tc.state == Established && tc.lastSwitch() == switchID
}

// tryForAnswer returns the try that a switch's answer on a connection belongs to: the last one that was sent
// there, else one whose own connection is closed, nil if there is none.
func (tc *trackedCall) tryForAnswer(remote *remoteSwitch, conn ConnID) *routeTry {
	var lost *routeTry
	for _, try := range slices.Backward(tc.tries) {
		if try.switchID != remote.entry.ID || try.conn == 0 {
			continue
		}
		if try.conn == conn {
			return try
		}
		if lost == nil && try.mayBeEstablished() && remote.findLink(try.conn) == nil {
			lost = try
		}
	}
	return lost
}

// answerAmbiguousOn reports whether an answer to an abandoned try of the call may come on a connection. It could not be
// told apart from the answer to this try.
func (t *routeTry) answerAmbiguousOn(conn ConnID) bool {
	return slices.ContainsFunc(t.call.tries[:t.number], func(earlier *routeTry) bool { return earlier.conn == conn && earlier.mayBeReleased() })
}

// mayHaveReached reports whether a set-up of a call was sent to a switch and may have been carried out there.
func (tc *trackedCall) mayHaveReached(switchID uint32) bool {
	return slices.ContainsFunc(tc.tries, func(try *routeTry) bool {
		return try.switchID == switchID && (try.state == trySent || try.state == tryEstablished || try.mayBeReleased())
	})
}

// earlierTryMayBeReleased reports whether a release from a switch may belong to a try before the last one.
func (tc *trackedCall) earlierTryMayBeReleased(switchID uint32) bool {
	return slices.ContainsFunc(tc.tries[:max(0, len(tc.tries)-1)], func(try *routeTry) bool { return try.switchID == switchID && try.mayBeReleased() })
}

// advance changes the state of a try; nothing else does. It returns false if the event does not apply to the
// state.
func (a *Agent) advance(try *routeTry, event tryEvent, reason string) bool {
	next, ok := tryTransitions[try.state][event]
	if !ok || try.answered && event == eventAnswer {
		a.transport.Record(Record{Kind: TryEventIgnored, CallID: try.call.callID, Conn: try.conn, Switch: try.switchID, Try: try.number + 1, To: try.call.state,
			Reason: fmt.Sprintf("%s in state %s", event, try.state)})
		return false
	}
	if try.state == trySent {
		if link := a.findLink(try.switchID, try.conn); link != nil {
			link.openSetUps--
		}
	}
	try.answered = try.answered || event == eventAnswer
	a.transport.Record(Record{Kind: TryState, CallID: try.call.callID, Conn: try.conn, Switch: try.switchID, Try: try.number + 1, Reason: fmt.Sprintf("%s to %s: %s", try.state, next, reason)})
	try.state = next
	return true
}

// findLink returns a connection to a switch, nil if it is not open.
func (a *Agent) findLink(switchID uint32, conn ConnID) *switchLink {
	if remote := a.switches[switchID]; remote != nil {
		return remote.findLink(conn)
	}
	return nil
}

// releaseOrphanedTries releases what abandoned tries of a call established, once no further try can come: a release
// names only the call, and would disconnect a later try at the same switch.
func (a *Agent) releaseOrphanedTries(call *trackedCall) {
	if call.state != Established && call.state != Ended {
		return
	}
	for _, try := range call.tries {
		if try.state == tryOrphaned && !call.isEstablishedAt(try.switchID) {
			a.releaseSwitch(try.switchID, try.conn, newSwitchRelease(call, causeNormal))
			a.advance(try, eventRelease, "answered after it was abandoned")
		}
	}
}

// releaseEarlierTries releases what earlier tries of a call may have established at a switch, on the connection of the
// next set-up and ahead of it. The order guarantees that later releases from the switch refer to the later try.
func (a *Agent) releaseEarlierTries(next *routeTry, link *switchLink) {
	released := false
	for _, try := range next.call.tries[:next.number] {
		if try.switchID != next.switchID || !try.mayBeEstablished() {
			continue
		}
		if !released {
			a.transport.Write(link.conn, a.newRelease(try.call.callID, try.call.uri, causeNormal))
			released = true
		}
		a.advance(try, eventRelease, "released ahead of the next set-up there")
	}
}
