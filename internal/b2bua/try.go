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
func (a *Agent) endAnsweredAfterAbandon(k *trackedCall) {
	t := k.lastTry()
	a.decider.Abandoned(a.now, k.handle)
	a.setState(k, Ended)
	a.decider.TryEnded(a.now, k.handle, t.number, t.switchID, policy.Cancelled, true, policy.NoReason, 0, noReport)
	a.callCounts.Abandoned++
}

// placeTry sends the set-up of a try on a connection to its switch, or queues the try until there is one.
func (a *Agent) placeTry(t *routeTry, f *remoteSwitch) {
	if a.now < t.call.nextTryAt {
		a.advance(t, eventHold, "release time of an earlier try")
		a.timers.Set(t.call.nextTryAt, timerHeldTry, t.token())
		return
	}
	if l := a.pickLink(f, a.settings.MaxTriesPerConn, t.answerAmbiguousOn); l != nil {
		a.releaseEarlierTries(t, l)
		a.writeSetUp(t, l)
		return
	}
	a.advance(t, eventWait, "no connection available")
	f.waitingTries = append(f.waitingTries, t)
	if a.awaitsFirstMessage(f) {
		return
	}
	if a.dial(f); a.descriptorsExhausted() && !f.dialing { // no connection is coming up
		a.dropTry(t, "no descriptor available")
		a.endTry(t, policy.Unreachable)
	}
}

func (a *Agent) writeSetUp(t *routeTry, l *switchLink) {
	if l.openSetUps++; l.openSetUps == 1 {
		l.busySince = a.now
	}
	l.lastSetUpAt = a.now
	t.conn, t.sentAt = l.conn, a.now
	a.tryCounts.Written++
	if t.number > 0 {
		a.tryCounts.Retries++
	}
	a.advance(t, eventWrite, "written")
	k, left := t.call, max(1, (t.deadline-a.now)/10)
	a.transport.Write(l.conn, &sip.Message{Method: sip.Invite, URI: k.uri, CallID: k.callID, CSeq: t.cseq(),
		Fields: []sip.Field{{Name: fieldClass, Value: k.class}, {Name: fieldExpires, Value: strconv.FormatInt(int64(left), 10)}},
		Body:   k.body})
}

// heldTryDue places a try that was held.
func (a *Agent) heldTryDue(k *trackedCall, number int) {
	if k == nil || k.state != Trying || k.lastTry().number != number || k.lastTry().state != tryHeld {
		return
	}
	t := k.lastTry()
	f := a.switches[t.switchID]
	switch {
	case a.transport.Abandoned(k.caller, k.callID):
		a.abandonCall(k)
		a.callCounts.Abandoned++
	case f == nil || f.entry.State != board.Ready:
		a.dropTry(t, "its switch is draining or gone")
		a.endTry(t, policy.Unreachable)
	default:
		a.placeTry(t, f)
	}
}

// tryTimedOut ends a try that has timed out.
func (a *Agent) tryTimedOut(k *trackedCall, number int) {
	if k == nil || k.state != Trying || k.lastTry().number != number {
		return
	}
	a.tryCounts.TimedOut++
	a.abandonTry(k.lastTry(), "no answer in time")
	a.endTry(k.lastTry(), policy.TimedOut)
}

// dropTry ends a try that was not sent.
func (a *Agent) dropTry(t *routeTry, why string) {
	if f := a.switches[t.switchID]; f != nil {
		f.waitingTries = slices.DeleteFunc(f.waitingTries, func(other *routeTry) bool { return other == t })
	}
	a.advance(t, eventDrop, why)
}

// abandonTry gives up the present try of a call, and cancels it at its switch if it was sent.
func (a *Agent) abandonTry(t *routeTry, why string) {
	if t.unsent() {
		a.dropTry(t, why)
		return
	}
	if l := a.findLink(t.switchID, t.conn); l != nil {
		l.lastSetUpAt = a.now
	}
	a.transport.Write(t.conn, &sip.Message{Method: sip.Cancel, URI: t.call.uri, CallID: t.call.callID, CSeq: t.cseq()})
	a.advance(t, eventAbandon, why)
}

// endTry returns a call whose try is over to the policy, by a deferred result.
func (a *Agent) endTry(t *routeTry, end policy.Outcome) {
	a.setState(t.call, Offered)
	a.deferred = append(a.deferred, deferredResult{handle: t.call.handle, try: t.number, switchID: t.switchID, ending: end, report: noReport})
}

// handleAnswer handles a switch's answer to a set-up.
func (a *Agent) handleAnswer(f *remoteSwitch, c ConnID, m *sip.Message) {
	id, err := parseID(m.CallID)
	k := a.calls[id]
	if err != nil || k == nil || m.Provisional() { // progress is not used, and an unknown id is not a call of this agent
		return
	}
	t := k.tryForAnswer(f, c)
	if t == nil {
		a.ignoreAnswer(k, f, c, m)
		return
	}
	a.transport.Write(c, &sip.Message{Method: sip.Ack, URI: k.uri, CallID: k.callID, CSeq: m.CSeq})
	switch {
	case t.state != trySent || t.conn != c:
		a.handleLateAnswer(t, f, c, m)
	case m.Rejected():
		a.tryRefused(t, m)
	default:
		a.tryAnswered(t, m)
	}
}

// tryRefused handles the refusal of the try that is out.
func (a *Agent) tryRefused(t *routeTry, m *sip.Message) {
	end, why, wait := parseRefusal(m)
	a.tryCounts.Refused++
	a.advance(t, eventRefuse, strconv.Itoa(m.Status))
	a.setState(t.call, Offered)
	a.deferred = append(a.deferred, deferredResult{handle: t.call.handle, try: t.number, switchID: t.switchID, ending: end, reason: why, wait: wait, report: parseLoad(m)})
}

// tryAnswered handles the successful answer of the try that is out, and passes it on.
func (a *Agent) tryAnswered(t *routeTry, m *sip.Message) {
	k, rep := t.call, parseLoad(m)
	a.advance(t, eventAnswer, "answered")
	if a.transport.Abandoned(k.caller, k.callID) { // the caller could receive neither the answer nor the release
		a.transport.Write(t.conn, a.newRelease(k.callID, k.uri, causeNormal))
		a.advance(t, eventRelease, "the caller has abandoned the call")
		a.endAnsweredAfterAbandon(k)
		return
	}
	a.writeAnswer(k, &sip.Message{Status: sip.OK, CallID: k.callID, CSeq: k.cseq, CSeqMethod: sip.Invite, Body: m.Body})
	a.setState(k, Established)
	a.callCounts.Established++
	a.tryCounts.Answered++
	a.decider.Answered(a.now, k.handle, t.number)
	if rep.Size >= 0 {
		a.decider.LoadReported(a.now, t.switchID, rep)
	}
}

// handleLateAnswer handles an answer to a try that is not out on that connection. A try that was abandoned and is
// established all the same is released, and the release time starts now, since the try was out until now.
func (a *Agent) handleLateAnswer(t *routeTry, f *remoteSwitch, c ConnID, m *sip.Message) {
	k := t.call
	a.tryCounts.AnsweredLate++
	a.ignoreAnswer(k, f, c, m)
	if m.Rejected() {
		if t.state == tryAbandoned {
			a.advance(t, eventRefuse, strconv.Itoa(m.Status))
		}
		return
	}
	if t.state == trySent || t.state == tryEstablished || !a.advance(t, eventAnswer, "after it was abandoned") {
		return
	}
	k.nextTryAt = max(k.nextTryAt, a.now+a.settings.Policy.ReleaseTime)
	a.releaseOrphanedTries(k)
}

// ignoreAnswer logs an answer that no try waits for.
func (a *Agent) ignoreAnswer(k *trackedCall, f *remoteSwitch, c ConnID, m *sip.Message) {
	a.transport.Record(Record{Kind: AnswerIgnored, CallID: k.callID, Conn: c, Switch: f.entry.ID, Try: int(m.CSeq), To: k.state,
		Reason: fmt.Sprintf("status %d, %d tries so far", m.Status, len(k.tries))})
}
