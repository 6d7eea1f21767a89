package b2bua

import (
	"fmt"
	"slices"
	"strconv"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// endAnsweredAfterAbandon ends a call that its switch answered after the caller had abandoned it.
func (a *Agent) endAnsweredAfterAbandon(call *trackedCall) {
	try := call.lastTry()
	a.decider.Abandoned(a.now, call.handle)
	a.setState(call, Ended)
	a.decider.TryEnded(a.now, call.handle, try.number, try.switchID, policy.Cancelled, true, policy.NoReason, 0, noReport)
	a.callCounts.Abandoned++
}

// placeTry sends the set-up of a try on a connection to its switch, or queues the try until there is one.
func (a *Agent) placeTry(try *routeTry, remote *remoteSwitch) {
	if a.now < try.call.nextTryAt {
		a.advance(try, eventHold, "release time of an earlier try")
		a.setHeldTry(try)
		return
	}
	avoid := func(conn ConnID) bool { return try.answerAmbiguousOn(conn) || a.congested(conn) }
	if link := a.pickLink(remote, a.settings.MaxTriesPerConn, avoid); link != nil {
		a.releaseEarlierTries(try, link)
		a.writeSetUp(try, link)
		return
	}
	a.advance(try, eventWait, "no connection available")
	remote.waitingTries = append(remote.waitingTries, try)
	if a.awaitsFirstMessage(remote) {
		return
	}
	anyCongested := slices.ContainsFunc(remote.links, func(link *switchLink) bool { return a.congested(link.conn) })
	if a.dial(remote); !remote.dialing && !anyCongested && (a.descriptorsExhausted() || remote.superseded || remote.allLinksSilent()) { // no connection is coming up
		a.dropTry(try, "no connection can be opened")
		a.endTry(try, policy.Unreachable)
	}
}

// writeSetUp sends the set-up of a try on a connection.
func (a *Agent) writeSetUp(try *routeTry, link *switchLink) {
	if link.openSetUps++; link.openSetUps == 1 {
		link.busySince = a.now
	}
	link.lastSetUpAt = a.now
	try.conn, try.sentAt = link.conn, a.now
	a.tryCounts.Written++
	if try.number > 0 {
		a.tryCounts.Retries++
	}
	a.advance(try, eventWrite, "written")
	call, timeLeft := try.call, max(1, (try.deadline-a.now)/10)
	a.transport.Write(link.conn, &sip.Message{Method: sip.Invite, URI: call.uri, CallID: call.callID, CSeq: try.cseq(),
		Fields: []sip.Field{{Name: fieldClass, Value: call.bearerType}, {Name: fieldExpires, Value: strconv.FormatInt(int64(timeLeft), 10)}},
		Body:   call.body})
}

// heldTryDue places a try that was held.
func (a *Agent) heldTryDue(call *trackedCall, number int) {
	if call == nil || call.state != Trying || call.lastTry().number != number || call.lastTry().state != tryHeld {
		return
	}
	try := call.lastTry()
	remote := a.switches[try.switchID]
	switch {
	case a.transport.Abandoned(call.callerConnID, call.callID):
		a.abandonCall(call)
		a.callCounts.Abandoned++
	case remote == nil || remote.entry.State != board.Ready:
		a.dropTry(try, "its switch is draining or gone")
		a.endTry(try, policy.Unreachable)
	default:
		a.placeTry(try, remote)
	}
}

// tryTimedOut ends a try that has timed out.
func (a *Agent) tryTimedOut(call *trackedCall, number int) {
	if call == nil || call.state != Trying || call.lastTry().number != number {
		return
	}
	a.tryCounts.TimedOut++
	a.abandonTry(call.lastTry(), "no answer in time")
	a.endTry(call.lastTry(), policy.TimedOut)
}

// dropTry ends a try that was not sent.
func (a *Agent) dropTry(try *routeTry, reason string) {
	if remote := a.switches[try.switchID]; remote != nil {
		remote.waitingTries = slices.DeleteFunc(remote.waitingTries, func(other *routeTry) bool { return other == try })
	}
	a.advance(try, eventDrop, reason)
}

// abandonTry gives up the present try of a call, and cancels it at its switch if it was sent.
func (a *Agent) abandonTry(try *routeTry, reason string) {
	if try.unsent() {
		a.dropTry(try, reason)
		return
	}
	if link := a.findLink(try.switchID, try.conn); link != nil {
		link.lastSetUpAt = a.now
	}
	a.transport.Write(try.conn, &sip.Message{Method: sip.Cancel, URI: try.call.uri, CallID: try.call.callID, CSeq: try.cseq()})
	a.advance(try, eventAbandon, reason)
}

// endTry returns a call whose try is over to the policy, by a deferred result.
func (a *Agent) endTry(try *routeTry, outcome policy.Outcome) {
	a.setState(try.call, Offered)
	a.deferred = append(a.deferred, deferredResult{handle: try.call.handle, try: try.number, switchID: try.switchID, outcome: outcome, report: noReport})
}

// handleAnswer handles a switch's answer to a set-up.
func (a *Agent) handleAnswer(remote *remoteSwitch, conn ConnID, msg *sip.Message) {
	id, err := parseID(msg.CallID)
	call := a.calls[id]
	if err != nil || call == nil || msg.Provisional() { // progress is not used, and an unknown id is not a call of this agent
		return
	}
	try := call.tryForAnswer(remote, conn)
	if try == nil {
		a.ignoreAnswer(call, remote, conn, msg)
		return
	}
	a.transport.Write(conn, &sip.Message{Method: sip.Ack, URI: call.uri, CallID: call.callID, CSeq: msg.CSeq})
	switch {
	case try.state != trySent || try.conn != conn:
		a.handleLateAnswer(try, remote, conn, msg)
	case msg.Rejected():
		a.tryRefused(try, msg)
	default:
		a.tryAnswered(try, msg)
	}
}

// tryRefused handles the refusal of the try that is out.
func (a *Agent) tryRefused(try *routeTry, msg *sip.Message) {
	outcome, reason, wait := parseRefusal(msg)
	a.tryCounts.Refused++
	a.advance(try, eventRefuse, strconv.Itoa(msg.Status))
	a.setState(try.call, Offered)
	a.deferred = append(a.deferred, deferredResult{handle: try.call.handle, try: try.number, switchID: try.switchID, outcome: outcome, reason: reason, wait: wait, report: parseLoad(msg)})
}

// tryAnswered handles the successful answer of the try that is out, and passes it on.
func (a *Agent) tryAnswered(try *routeTry, msg *sip.Message) {
	call, report := try.call, parseLoad(msg)
	a.advance(try, eventAnswer, "answered")
	if a.transport.Abandoned(call.callerConnID, call.callID) { // the caller could receive neither the answer nor the release
		a.transport.Write(try.conn, a.newRelease(call.callID, call.uri, causeNormal))
		a.advance(try, eventRelease, "the caller has abandoned the call")
		a.endAnsweredAfterAbandon(call)
		return
	}
	a.writeAnswer(call, &sip.Message{Status: sip.OK, CallID: call.callID, CSeq: call.cseq, CSeqMethod: sip.Invite, Body: msg.Body})
	a.setState(call, Established)
	a.callCounts.Established++
	a.tryCounts.Answered++
	a.decider.Answered(a.now, call.handle, try.number)
	if report.Size >= 0 {
		a.decider.LoadReported(a.now, try.switchID, report)
	}
}

// handleLateAnswer handles an answer to a try that is not out on that connection. A try that was abandoned and is
// established all the same is released, and the release time starts now, since the try was out until now.
func (a *Agent) handleLateAnswer(try *routeTry, remote *remoteSwitch, conn ConnID, msg *sip.Message) {
	call := try.call
	a.tryCounts.AnsweredLate++
	a.ignoreAnswer(call, remote, conn, msg)
	if msg.Rejected() {
		if try.state == tryAbandoned {
			a.advance(try, eventRefuse, strconv.Itoa(msg.Status))
		}
		return
	}
	if try.state == trySent || try.state == tryEstablished || !a.advance(try, eventAnswer, "after it was abandoned") {
		return
	}
	call.nextTryAt = max(call.nextTryAt, a.now+a.settings.Policy.ReleaseTime)
	a.releaseOrphanedTries(call)
}

// ignoreAnswer logs an answer that no try waits for.
func (a *Agent) ignoreAnswer(call *trackedCall, remote *remoteSwitch, conn ConnID, msg *sip.Message) {
	a.transport.Record(Record{Kind: AnswerIgnored, CallID: call.callID, Conn: conn, Switch: remote.entry.ID, Try: int(msg.CSeq), To: call.state,
		Reason: fmt.Sprintf("status %d, %d tries so far", msg.Status, len(call.tries))})
}
