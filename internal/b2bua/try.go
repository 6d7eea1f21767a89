package b2bua

import (
	"fmt"
	"slices"
	"strconv"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

var endings = [...]string{policy.Released: "released", policy.Faulted: "error", policy.Blocked: "refused", policy.TimedOut: "timed out",
	policy.Unreached: "not reached", policy.Cut: "reset", policy.Cancelled: "cancelled", policy.Unsent: "not sent"}

// recordTry logs what became of the present try of a call.
func (a *Agent) recordTry(k *call, why string) {
	a.out.Record(Record{Kind: TryState, CallID: k.callID, Conn: k.link, Switch: k.far, Try: k.tries, From: k.state, To: k.state, Why: why})
}

// leftAsItStood ends a call whose switch answered after its caller had gone.
func (a *Agent) leftAsItStood(k *call) {
	handle, try, far := k.handle, k.tries-1, k.far
	a.decide.CallerLeft(a.now, handle)
	a.become(k, Over)
	a.decide.Ended(a.now, handle, try, far, policy.Cancelled, true, policy.NoReason, 0, untold)
	a.tally.Left++
}

// setUp writes a set-up on a connection of the switch.
func (a *Agent) setUp(k *call, f *farEnd) {
	l := a.room(f, a.set.StreamsMost)
	if l == nil {
		f.waiting = append(f.waiting, k.handle)
		if a.awaited(f) {
			return
		}
		if a.dial(f); a.full() && !f.dialing { // nothing to wait for
			a.offLink(k)
			a.endTry(k.handle, policy.Unreached)
		}
		return
	}
	if l.tries++; l.tries == 1 {
		l.busyAt = a.now
	}
	l.triedAt = a.now
	k.link, k.seq, k.sentAt = l.conn, uint32(k.tries), a.now
	a.tries.Written++
	if k.tries > 1 {
		a.tries.Again++
	}
	a.recordTry(k, "written")
	left := max(1, (k.limitAt-a.now)/10)
	a.out.Write(l.conn, &sip.Message{Method: sip.Invite, URI: k.uri, CallID: k.callID, CSeq: k.seq,
		Fields: []sip.Field{{Name: fieldClass, Value: k.class}, {Name: fieldExpires, Value: strconv.FormatInt(int64(left), 10)}},
		Body:   k.body})
}

// offLink takes a try off its connection, or from those that wait for one: left among these, it would be ended again when
// the dial fails, though a later try of the call is out by then.
func (a *Agent) offLink(k *call) {
	f := a.far[k.far]
	if f == nil {
		return
	}
	if k.link == 0 {
		f.waiting = slices.DeleteFunc(f.waiting, func(h uint32) bool { return h == k.handle })
	} else if l := f.link(k.link); l != nil {
		l.tries--
	}
}

// giveUpTry cancels the try that is out, and logs why.
func (a *Agent) giveUpTry(k *call, why string) {
	a.recordTry(k, why)
	if k.link != 0 {
		if f := a.far[k.far]; f != nil && f.link(k.link) != nil {
			f.link(k.link).triedAt = a.now
		}
		a.out.Write(k.link, &sip.Message{Method: sip.Cancel, URI: k.uri, CallID: k.callID, CSeq: k.seq})
	}
	a.offLink(k)
}

// endTry puts a call whose try is over back to the module, once that has returned.
func (a *Agent) endTry(handle uint32, end policy.Ending) {
	k := a.byHandle[handle]
	if k == nil || k.state != Trying {
		return
	}
	a.recordTry(k, "ended: "+endings[end])
	a.become(k, Offered)
	a.later = append(a.later, report{handle: handle, try: k.tries - 1, sw: k.far, end: end, rep: untold})
}

// answer takes a switch's answer to a set-up.
func (a *Agent) answer(f *farEnd, c Conn, m *sip.Message) {
	id, err := readID(m.CallID)
	k := a.calls[id]
	if err != nil || k == nil || m.Provisional() { // progress means nothing; an unknown id is none of ours
		return
	}
	ack := sip.Message{Method: sip.Ack, URI: k.uri, CallID: k.callID, CSeq: m.CSeq}
	if k.state != Trying || k.link != c || m.CSeq != k.seq {
		a.lateAnswer(k, f, c, m, ack)
		return
	}
	rep := readLoad(m)
	a.out.Write(c, &ack)
	a.offLink(k)
	if m.Refusal() {
		end, why, wait := readRefusal(m)
		a.tries.Refused++
		a.recordTry(k, "refused with "+strconv.Itoa(m.Status))
		a.become(k, Offered)
		a.later = append(a.later, report{handle: k.handle, try: k.tries - 1, sw: k.far, end: end, why: why, wait: wait, rep: rep})
		return
	}
	if a.out.Left(k.caller, k.callID) { // nobody would hear that the call stands, nor that it is over
		a.out.Write(c, a.bye(k.callID, k.uri, causeNormal))
		a.leftAsItStood(k)
		return
	}
	a.writeAnswer(k, &sip.Message{Status: sip.OK, CallID: k.callID, CSeq: k.cseq, CSeqMethod: sip.Invite, Body: m.Body})
	a.become(k, Standing)
	a.tally.Stood++
	a.tries.Stood++
	a.recordTry(k, "answered")
	a.decide.Stands(a.now, k.handle, k.tries-1)
	if rep.Size >= 0 {
		a.decide.Circuits(a.now, k.far, rep)
	}
}

// lateAnswer takes an answer for which nobody waits. A set-up that was given up and stands all the same is released; the
// second copy of an answer is passed over, and so is what comes for an earlier try while a later one is at that switch,
// since a release names the call and would cut that one.
func (a *Agent) lateAnswer(k *call, f *farEnd, c Conn, m *sip.Message, ack sip.Message) {
	if k.tries == 0 || m.CSeq > k.seq {
		return
	}
	a.tries.AnsweredLate++
	a.out.Record(Record{Kind: AnswerIgnored, CallID: k.callID, Conn: c, Switch: f.entry.ID, Try: int(m.CSeq), To: k.state,
		Why: fmt.Sprintf("status %d, try %d is the last", m.Status, k.tries)})
	a.out.Write(c, &ack)
	if m.Refusal() || k.far == f.entry.ID && (k.state == Standing || k.state == Trying) {
		return
	}
	if k.state == Over && k.stoodAt != 0 && k.seq == m.CSeq {
		return
	}
	a.out.Write(c, a.bye(k.callID, k.uri, causeNormal))
}
