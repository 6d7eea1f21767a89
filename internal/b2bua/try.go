package b2bua

import (
	"fmt"
	"slices"
	"strconv"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// leftAsItStood ends a call that its switch answered after the caller had abandoned it.
func (a *Agent) leftAsItStood(k *call) {
	t := k.last()
	a.decide.Abandoned(a.now, k.handle)
	a.become(k, Over)
	a.decide.TryEnded(a.now, k.handle, t.number, t.sw, policy.Cancelled, true, policy.NoReason, 0, untold)
	a.tally.Left++
}

// place sends the set-up of a try on a connection to its switch, or queues the try until there is one.
func (a *Agent) place(t *routeTry, f *farEnd) {
	if a.now < t.call.heldUntil {
		a.advance(t, eventHold, "release time of an earlier try")
		a.timers.Set(t.call.heldUntil, dueHold, t.token())
		return
	}
	if l := a.room(f, a.set.MaxTriesPerConn, t.answersMeet); l != nil {
		a.clearSwitch(t, l)
		a.writeSetUp(t, l)
		return
	}
	a.advance(t, eventWait, "no connection available")
	f.waiting = append(f.waiting, t)
	if a.awaited(f) {
		return
	}
	if a.dial(f); a.full() && !f.dialing { // no connection is coming up
		a.drop(t, "no descriptor available")
		a.endTry(t, policy.Unreachable)
	}
}

func (a *Agent) writeSetUp(t *routeTry, l *link) {
	if l.tries++; l.tries == 1 {
		l.busyAt = a.now
	}
	l.triedAt = a.now
	t.conn, t.sentAt = l.conn, a.now
	a.tries.Written++
	if t.number > 0 {
		a.tries.Again++
	}
	a.advance(t, eventWrite, "written")
	k, left := t.call, max(1, (t.limitAt-a.now)/10)
	a.out.Write(l.conn, &sip.Message{Method: sip.Invite, URI: k.uri, CallID: k.callID, CSeq: t.cseq(),
		Fields: []sip.Field{{Name: fieldClass, Value: k.class}, {Name: fieldExpires, Value: strconv.FormatInt(int64(left), 10)}},
		Body:   k.body})
}

// holdOver places a try that was held.
func (a *Agent) holdOver(k *call, number int) {
	if k == nil || k.state != Trying || k.last().number != number || k.last().state != tryHeld {
		return
	}
	t := k.last()
	f := a.far[t.sw]
	switch {
	case a.out.Left(k.caller, k.callID):
		a.left(k)
		a.tally.Left++
	case f == nil || f.entry.State != board.Ready:
		a.drop(t, "its switch is draining or gone")
		a.endTry(t, policy.Unreachable)
	default:
		a.place(t, f)
	}
}

// limitReached ends a try that has timed out.
func (a *Agent) limitReached(k *call, number int) {
	if k == nil || k.state != Trying || k.last().number != number {
		return
	}
	a.tries.TimedOut++
	a.abandon(k.last(), "no answer in time")
	a.endTry(k.last(), policy.TimedOut)
}

// drop ends a try that was not sent.
func (a *Agent) drop(t *routeTry, why string) {
	if f := a.far[t.sw]; f != nil {
		f.waiting = slices.DeleteFunc(f.waiting, func(other *routeTry) bool { return other == t })
	}
	a.advance(t, eventDrop, why)
}

// abandon gives up the present try of a call, and cancels it at its switch if it was sent.
func (a *Agent) abandon(t *routeTry, why string) {
	if t.unplaced() {
		a.drop(t, why)
		return
	}
	if l := a.linkOn(t.sw, t.conn); l != nil {
		l.triedAt = a.now
	}
	a.out.Write(t.conn, &sip.Message{Method: sip.Cancel, URI: t.call.uri, CallID: t.call.callID, CSeq: t.cseq()})
	a.advance(t, eventAbandon, why)
}

// endTry returns a call whose try is over to the policy, by a deferred result.
func (a *Agent) endTry(t *routeTry, end policy.Outcome) {
	a.become(t.call, Offered)
	a.later = append(a.later, report{handle: t.call.handle, try: t.number, sw: t.sw, end: end, rep: untold})
}

// answer handles a switch's answer to a set-up.
func (a *Agent) answer(f *farEnd, c Conn, m *sip.Message) {
	id, err := readID(m.CallID)
	k := a.calls[id]
	if err != nil || k == nil || m.Provisional() { // progress is not used, and an unknown id is not a call of this agent
		return
	}
	t := k.tryAnsweredOn(f, c)
	if t == nil {
		a.ignoreAnswer(k, f, c, m)
		return
	}
	a.out.Write(c, &sip.Message{Method: sip.Ack, URI: k.uri, CallID: k.callID, CSeq: m.CSeq})
	switch {
	case t.state != tryOut || t.conn != c:
		a.lateAnswer(t, f, c, m)
	case m.Rejected():
		a.refused(t, m)
	default:
		a.stands(t, m)
	}
}

// refused handles the refusal of the try that is out.
func (a *Agent) refused(t *routeTry, m *sip.Message) {
	end, why, wait := readRefusal(m)
	a.tries.Refused++
	a.advance(t, eventRefuse, strconv.Itoa(m.Status))
	a.become(t.call, Offered)
	a.later = append(a.later, report{handle: t.call.handle, try: t.number, sw: t.sw, end: end, why: why, wait: wait, rep: readLoad(m)})
}

// stands handles the successful answer of the try that is out, and passes it on.
func (a *Agent) stands(t *routeTry, m *sip.Message) {
	k, rep := t.call, readLoad(m)
	a.advance(t, eventAnswer, "answered")
	if a.out.Left(k.caller, k.callID) { // the caller could receive neither the answer nor the release
		a.out.Write(t.conn, a.bye(k.callID, k.uri, causeNormal))
		a.advance(t, eventRelease, "the caller has abandoned the call")
		a.leftAsItStood(k)
		return
	}
	a.writeAnswer(k, &sip.Message{Status: sip.OK, CallID: k.callID, CSeq: k.cseq, CSeqMethod: sip.Invite, Body: m.Body})
	a.become(k, Standing)
	a.tally.Stood++
	a.tries.Stood++
	a.decide.Answered(a.now, k.handle, t.number)
	if rep.Size >= 0 {
		a.decide.LoadReported(a.now, t.sw, rep)
	}
}

// lateAnswer handles an answer to a try that is not out on that connection. A try that was abandoned and is
// established all the same is released, and the release time starts now, since the try was out until now.
func (a *Agent) lateAnswer(t *routeTry, f *farEnd, c Conn, m *sip.Message) {
	k := t.call
	a.tries.AnsweredLate++
	a.ignoreAnswer(k, f, c, m)
	if m.Rejected() {
		if t.state == tryAbandoned {
			a.advance(t, eventRefuse, strconv.Itoa(m.Status))
		}
		return
	}
	if t.state == tryOut || t.state == tryStanding || !a.advance(t, eventAnswer, "after it was abandoned") {
		return
	}
	k.heldUntil = max(k.heldUntil, a.now+a.set.Policy.ReleaseTime)
	a.releaseTryLeft(k)
}

// ignoreAnswer logs an answer that no try waits for.
func (a *Agent) ignoreAnswer(k *call, f *farEnd, c Conn, m *sip.Message) {
	a.out.Record(Record{Kind: AnswerIgnored, CallID: k.callID, Conn: c, Switch: f.entry.ID, Try: int(m.CSeq), To: k.state,
		Why: fmt.Sprintf("status %d, %d tries so far", m.Status, len(k.tries))})
}
