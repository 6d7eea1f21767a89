package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// CallerUp adds a new connection of a caller. It returns false when there is no room for it and it has to be
// closed.
func (a *Agent) CallerUp(now policy.Tenths, c Conn) bool {
	a.now = now
	if len(a.callers.conns) >= a.callers.most {
		worst := a.callers.leastNeeded()
		if worst == 0 {
			a.out.Note("limit of caller connections reached")
			return false
		}
		a.out.Close(worst, "connection limit reached")
		a.CallerDown(now, worst)
	}
	a.callers.conns[c] = &callerConn{conn: c, openAt: now}
	a.callers.order = append(a.callers.order, c)
	return true
}

// CallerDown removes a caller's connection and abandons the set-ups open on it.
func (a *Agent) CallerDown(now policy.Tenths, c Conn) {
	a.now = now
	o := a.callers.conns[c]
	if o == nil {
		return
	}
	delete(a.callers.conns, c)
	if i := slices.Index(a.callers.order, c); i >= 0 {
		a.callers.order = slices.Delete(a.callers.order, i, i+1)
	}
	if o.calls > 0 || len(o.copies) > 0 {
		a.out.Record(Record{Kind: CallerDown, Conn: c, Why: fmt.Sprintf("%d set-ups and %d releases pending", o.calls, len(o.copies))})
	}
	if o.calls > 0 {
		for _, k := range a.inOrder(func(k *call) bool { return k.caller == c && (k.state == Offered || k.state == Trying) }) {
			a.left(k)
			a.tally.Left++
		}
	}
	a.releasesCross(o)
	a.settle()
}

// CallerPart records since when a message on a connection is incomplete, 0 when none is.
func (a *Agent) CallerPart(c Conn, since policy.Tenths) {
	if o := a.callers.conns[c]; o != nil {
		o.partAt = since
	}
}

// CallerBad handles an unreadable message: it is answered where it has an id, and the connection is closed. Calls
// that are open on it fail at once, as their caller would not receive a later answer.
func (a *Agent) CallerBad(now policy.Tenths, c Conn, m *sip.Message, tooLong bool, why string) {
	a.now = now
	if a.callers.conns[c] == nil {
		return
	}
	a.tally.Refused++
	status := sip.BadRequest
	if tooLong {
		status = sip.RequestEntityTooLarge
	}
	a.failOpen(func(k *call) bool { return k.caller == c })
	refusal := m.Response(status)
	if _, err := readID(m.CallID); err != nil {
		refusal.CallID = ""
	}
	a.out.Write(c, &refusal)
	a.out.Close(c, why)
	a.CallerDown(now, c)
}

// FailOpen fails every open call, because the process ends before more can be done for it.
func (a *Agent) FailOpen(now policy.Tenths) {
	a.now = now
	a.failOpen(func(*call) bool { return true })
	a.settle()
}

func (a *Agent) failOpen(which func(*call) bool) {
	for _, k := range a.inOrder(func(k *call) bool { return (k.state == Offered || k.state == Trying) && which(k) }) {
		a.fail(k)
	}
}

// fail gives an open call a final answer that it failed.
func (a *Agent) fail(k *call) {
	a.refuse(k, sip.ServerInternalError, 0)
	a.left(k)
	a.tally.Aborted++
}

// sweep closes callers' connections that are overdue.
func (a *Agent) sweep() {
	for _, c := range slices.Clone(a.callers.order) {
		o := a.callers.conns[c]
		if why := o.overdue(a.silentFor); why != "" {
			if o.partAt != 0 {
				a.CallerBad(a.now, c, &sip.Message{}, false, why)
				continue
			}
			a.out.Close(c, why)
			a.CallerDown(a.now, c)
		}
	}
}

// FromCaller handles a message of a caller. readAt is when it was completely read, which may be earlier than now.
func (a *Agent) FromCaller(now, readAt policy.Tenths, c Conn, m *sip.Message) {
	a.now = now
	o := a.callers.conns[c]
	if o == nil {
		a.crossesClose(c, m)
		return
	}
	o.wholeAt, o.partAt = now, 0
	switch {
	case m.Status != 0 && m.CSeqMethod == sip.Bye:
		a.answeredRelease(o, m)
	case m.Status != 0:
	case m.Method == sip.Invite:
		a.offer(o, readAt, m)
	case m.Method == sip.Cancel:
		a.cancelled(c, m)
	case m.Method == sip.Bye:
		a.callerReleases(c, m)
	case m.Method == sip.Ack:
		a.acknowledged(o, m)
	case m.Method == sip.Options:
		passed := m.Response(sip.OK)
		a.out.Write(c, &passed)
	default:
		a.refuseMessage(c, m, sip.BadRequest, "method "+m.Method)
	}
	a.settle()
}

// crossesClose handles a message that arrived while its connection was being closed locally: releases and answers
// to releases still count.
func (a *Agent) crossesClose(c Conn, m *sip.Message) {
	switch {
	case m.Method == sip.Bye:
		a.callerReleases(c, m)
	case m.Status == sip.OK && m.CSeqMethod == sip.Bye:
		if id, err := readID(m.CallID); err == nil && a.calls[id] != nil {
			a.confirmed(a.calls[id])
		}
	}
	a.settle()
}

func (a *Agent) refuseMessage(c Conn, m *sip.Message, status int, why string) {
	a.tally.Refused++
	a.out.Record(Record{Kind: SetUpRefused, CallID: m.CallID, Conn: c, Why: why})
	refusal := m.Response(status)
	a.out.Write(c, &refusal)
}

// offer handles a set-up.
func (a *Agent) offer(o *callerConn, readAt policy.Tenths, m *sip.Message) {
	in, err := readOffer(m, &a.set)
	if err != nil {
		a.refuseMessage(o.conn, m, sip.BadRequest, err.Error())
		return
	}
	if in.adopted {
		a.adopt(o, in, m)
		return
	}
	if a.calls[in.id] != nil {
		a.refuseMessage(o.conn, m, sip.BadRequest, "duplicate call id")
		return
	}
	a.asks(o)
	k := &call{id: in.id, caller: o.conn, callID: m.CallID, uri: m.URI, class: m.Get(fieldClass), cseq: m.CSeq, body: m.Body,
		leavesAt: readAt + in.ask.TTL - handBack}
	if a.out.Left(k.caller, k.callID) { // the CANCEL or the end of the connection follows
		k.body, k.state = nil, Over
		a.remember(k)
		a.tally.Left++
		return
	}
	if a.open >= a.openMost || a.held+len(k.body) > a.heldMost { // limit reached
		refusal := m.Response(sip.ServiceUnavailable)
		a.out.Write(o.conn, &refusal)
		a.tally.Blocked++
		return
	}
	a.handles++
	if a.handles == 0 {
		a.handles = 1
	}
	k.handle = a.handles
	in.ask.ID, in.ask.TTL = k.handle, k.leavesAt-a.now
	a.calls[k.id], a.byHandle[k.handle] = k, k
	a.open++
	a.held += len(k.body)
	o.calls++
	a.tally.Taken++
	a.timers.Set(k.leavesAt+handBack/3, dueLeave, uint64(k.handle))
	a.decide.Offer(a.now, in.ask)
}

// asks marks a connection on which a set-up came, and writes the releases that wait for such a connection.
func (a *Agent) asks(o *callerConn) {
	if o.asked {
		return
	}
	o.asked = true
	a.offerReleases(o)
}

// adopt handles a set-up of a call that is established at a switch already. The call is tracked from now on, and
// no answer is sent.
func (a *Agent) adopt(o *callerConn, in offer, m *sip.Message) {
	a.asks(o)
	if k := a.calls[in.id]; k != nil {
		if k.state == Over { // the caller may not have received the release
			k.ended = false
			a.releaseCaller(k, causeTempFail)
		}
		return
	}
	k := &call{id: in.id, state: Standing, caller: o.conn, callID: m.CallID, uri: m.URI, adopted: true, stoodAt: a.now}
	k.tries = []*routeTry{{call: k, sw: in.at, state: tryStanding}}
	a.calls[k.id] = k
	a.standing++
	if f := a.far[in.at]; f != nil && f.refetchAt == 0 {
		f.refetchAt = a.now + refetchEvery
	}
	if a.far[in.at] == nil || a.standing > overMost {
		a.releaseCaller(k, causeTempFail)
		a.become(k, Over)
	}
}

// cancelled handles a caller's CANCEL.
func (a *Agent) cancelled(c Conn, m *sip.Message) {
	id, err := readID(m.CallID)
	k := a.calls[id]
	if err != nil || k == nil || k.caller != c {
		a.refuseMessage(c, m, sip.CallDoesNotExist, "CANCEL for an unknown call")
		return
	}
	switch k.state {
	case Offered, Trying:
		a.left(k)
		a.tally.Left++
	case Standing: // the CANCEL crossed the answer
		a.tally.Crossed++
		a.releaseSwitch(k.far(), k.last().conn, a.bye(k.callID, k.uri, causeNormal))
		a.ended(k, policy.Cancelled, untold)
	}
}

// callerReleases handles a caller's release, which may come on any connection.
func (a *Agent) callerReleases(c Conn, m *sip.Message) {
	id, err := readID(m.CallID)
	k := a.calls[id]
	if err != nil || k == nil {
		a.refuseMessage(c, m, sip.CallDoesNotExist, "release of an unknown call")
		return
	}
	heard := m.Response(sip.OK)
	a.out.Write(c, &heard)
	k.ended = true
	a.confirmed(k)
	switch k.state {
	case Standing:
		a.releaseSwitch(k.far(), k.last().conn, a.bye(k.callID, k.uri, max(cause(m), causeNormal)))
		a.ended(k, policy.Cancelled, untold)
	case Offered, Trying:
		a.left(k)
		a.tally.Left++
	}
}
