package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// CallerConnected adds a new connection of a caller. It returns false when there is no room for it and it has to be
// closed.
func (a *Agent) CallerConnected(now policy.Tenths, c ConnID) bool {
	a.now = now
	if len(a.callers.conns) >= a.callers.max {
		worst := a.callers.evictionCandidate()
		if worst == 0 {
			a.transport.Note("limit of caller connections reached")
			return false
		}
		a.transport.Close(worst, "connection limit reached")
		a.CallerDisconnected(now, worst)
	}
	a.callers.conns[c] = &callerConn{conn: c, openedAt: now}
	a.callers.order = append(a.callers.order, c)
	return true
}

// CallerDisconnected removes a caller's connection and abandons the set-ups open on it.
func (a *Agent) CallerDisconnected(now policy.Tenths, c ConnID) {
	a.now = now
	o := a.callers.conns[c]
	if o == nil {
		return
	}
	delete(a.callers.conns, c)
	if i := slices.Index(a.callers.order, c); i >= 0 {
		a.callers.order = slices.Delete(a.callers.order, i, i+1)
	}
	if o.openSetUps > 0 || len(o.copies) > 0 {
		a.transport.Record(Record{Kind: CallerConnEnded, Conn: c, Reason: fmt.Sprintf("%d set-ups and %d releases pending", o.openSetUps, len(o.copies))})
	}
	if o.openSetUps > 0 {
		for _, k := range a.matchingCalls(func(k *trackedCall) bool { return k.caller == c && (k.state == Offered || k.state == Trying) }) {
			a.abandonCall(k)
			a.callCounts.Abandoned++
		}
	}
	a.rewriteReleases(o)
	a.flushDeferred()
}

// CallerMessagePartial records since when a message on a connection is incomplete, 0 when none is.
func (a *Agent) CallerMessagePartial(c ConnID, since policy.Tenths) {
	if o := a.callers.conns[c]; o != nil {
		o.partialSince = since
	}
}

// CallerMessageInvalid handles an unreadable message: it is answered where it has an id, and the connection is closed. Calls
// that are open on it fail at once, as their caller would not receive a later answer.
func (a *Agent) CallerMessageInvalid(now policy.Tenths, c ConnID, m *sip.Message, tooLong bool, why string) {
	a.now = now
	if a.callers.conns[c] == nil {
		return
	}
	a.callCounts.Refused++
	status := sip.BadRequest
	if tooLong {
		status = sip.RequestEntityTooLarge
	}
	a.failOpenCalls(func(k *trackedCall) bool { return k.caller == c })
	refusal := m.Response(status)
	if _, err := parseID(m.CallID); err != nil {
		refusal.CallID = ""
	}
	a.transport.Write(c, &refusal)
	a.transport.Close(c, why)
	a.CallerDisconnected(now, c)
}

// FailOpenCalls fails every open call, because the process ends before more can be done for it.
func (a *Agent) FailOpenCalls(now policy.Tenths) {
	a.now = now
	a.failOpenCalls(func(*trackedCall) bool { return true })
	a.flushDeferred()
}

func (a *Agent) failOpenCalls(which func(*trackedCall) bool) {
	for _, k := range a.matchingCalls(func(k *trackedCall) bool { return (k.state == Offered || k.state == Trying) && which(k) }) {
		a.failCall(k)
	}
}

// failCall gives an open call a final answer that it failed.
func (a *Agent) failCall(k *trackedCall) {
	a.refuse(k, sip.ServerInternalError, 0)
	a.abandonCall(k)
	a.callCounts.Aborted++
}

// closeOverdueCallers closes callers' connections that are overdue.
func (a *Agent) closeOverdueCallers() {
	for _, c := range slices.Clone(a.callers.order) {
		o := a.callers.conns[c]
		if why := o.closeReason(a.silentFor); why != "" {
			if o.partialSince != 0 {
				a.CallerMessageInvalid(a.now, c, &sip.Message{}, false, why)
				continue
			}
			a.transport.Close(c, why)
			a.CallerDisconnected(a.now, c)
		}
	}
}

// FromCaller handles a message of a caller. lastProofAt is when it was completely read, which may be earlier than now.
func (a *Agent) FromCaller(now, readAt policy.Tenths, c ConnID, m *sip.Message) {
	a.now = now
	o := a.callers.conns[c]
	if o == nil {
		a.callerMessageAfterClose(c, m)
		return
	}
	o.lastMessageAt, o.partialSince = now, 0
	switch {
	case m.Status != 0 && m.CSeqMethod == sip.Bye:
		a.handleReleaseAnswer(o, m)
	case m.Status != 0:
	case m.Method == sip.Invite:
		a.handleSetUp(o, readAt, m)
	case m.Method == sip.Cancel:
		a.handleCancel(c, m)
	case m.Method == sip.Bye:
		a.handleCallerRelease(c, m)
	case m.Method == sip.Ack:
		a.handleAck(o, m)
	case m.Method == sip.Options:
		passed := m.Response(sip.OK)
		a.transport.Write(c, &passed)
	default:
		a.rejectMessage(c, m, sip.BadRequest, "method "+m.Method)
	}
	a.flushDeferred()
}

// callerMessageAfterClose handles a message that arrived while its connection was being closed locally: releases and answers
// to releases still count.
func (a *Agent) callerMessageAfterClose(c ConnID, m *sip.Message) {
	switch {
	case m.Method == sip.Bye:
		a.handleCallerRelease(c, m)
	case m.Status == sip.OK && m.CSeqMethod == sip.Bye:
		if id, err := parseID(m.CallID); err == nil && a.calls[id] != nil {
			a.confirmRelease(a.calls[id])
		}
	}
	a.flushDeferred()
}

func (a *Agent) rejectMessage(c ConnID, m *sip.Message, status int, why string) {
	a.callCounts.Refused++
	a.transport.Record(Record{Kind: SetUpRefused, CallID: m.CallID, Conn: c, Reason: why})
	refusal := m.Response(status)
	a.transport.Write(c, &refusal)
}

// handleSetUp handles a set-up.
func (a *Agent) handleSetUp(o *callerConn, readAt policy.Tenths, m *sip.Message) {
	in, err := parseSetUp(m, &a.settings)
	if err != nil {
		a.rejectMessage(o.conn, m, sip.BadRequest, err.Error())
		return
	}
	if in.adopted {
		a.adoptCall(o, in, m)
		return
	}
	if a.calls[in.id] != nil {
		a.rejectMessage(o.conn, m, sip.BadRequest, "duplicate call id")
		return
	}
	a.markSetUpSeen(o)
	k := &trackedCall{id: in.id, caller: o.conn, callID: m.CallID, uri: m.URI, class: m.Get(fieldClass), cseq: m.CSeq, body: m.Body,
		deadline: readAt + in.request.TTL - answerMargin}
	if a.transport.Abandoned(k.caller, k.callID) { // the CANCEL or the end of the connection follows
		k.body, k.state = nil, Ended
		a.retain(k)
		a.callCounts.Abandoned++
		return
	}
	if a.openCalls >= a.maxOpenCalls || a.bodyOctets+len(k.body) > a.maxBodyOctets { // limit reached
		refusal := m.Response(sip.ServiceUnavailable)
		a.transport.Write(o.conn, &refusal)
		a.callCounts.Blocked++
		return
	}
	a.lastHandle++
	if a.lastHandle == 0 {
		a.lastHandle = 1
	}
	k.handle = a.lastHandle
	in.request.ID, in.request.TTL = k.handle, k.deadline-a.now
	a.calls[k.id], a.byHandle[k.handle] = k, k
	a.openCalls++
	a.bodyOctets += len(k.body)
	o.openSetUps++
	a.callCounts.Accepted++
	a.timers.Set(k.deadline+answerMargin/3, timerCallDeadline, uint64(k.handle))
	a.decider.Offer(a.now, in.request)
}

// markSetUpSeen marks a connection on which a set-up came, and writes the releases that wait for such a connection.
func (a *Agent) markSetUpSeen(o *callerConn) {
	if o.setUpSeen {
		return
	}
	o.setUpSeen = true
	a.offerReleases(o)
}

// adoptCall handles a set-up of a call that is established at a switch already. The call is tracked from now on, and
// no answer is sent.
func (a *Agent) adoptCall(o *callerConn, in setUp, m *sip.Message) {
	a.markSetUpSeen(o)
	if k := a.calls[in.id]; k != nil {
		if k.state == Ended { // the caller may not have received the release
			k.callerNotified = false
			a.releaseCaller(k, causeTemporaryFailure)
		}
		return
	}
	k := &trackedCall{id: in.id, state: Established, caller: o.conn, callID: m.CallID, uri: m.URI, adopted: true, establishedAt: a.now}
	k.tries = []*routeTry{{call: k, switchID: in.adoptedAt, state: tryEstablished}}
	a.calls[k.id] = k
	a.establishedCalls++
	if f := a.switches[in.adoptedAt]; f != nil && f.nextRecoveryAt == 0 {
		f.nextRecoveryAt = a.now + recoveryInterval
	}
	if a.switches[in.adoptedAt] == nil || a.establishedCalls > maxRetainedCalls {
		a.releaseCaller(k, causeTemporaryFailure)
		a.setState(k, Ended)
	}
}

// handleCancel handles a caller's CANCEL.
func (a *Agent) handleCancel(c ConnID, m *sip.Message) {
	id, err := parseID(m.CallID)
	k := a.calls[id]
	if err != nil || k == nil || k.caller != c {
		a.rejectMessage(c, m, sip.CallDoesNotExist, "CANCEL for an unknown call")
		return
	}
	switch k.state {
	case Offered, Trying:
		a.abandonCall(k)
		a.callCounts.Abandoned++
	case Established: // the CANCEL crossed the answer
		a.callCounts.CancelCrossed++
		a.releaseSwitch(k.lastSwitch(), k.lastTry().conn, a.newRelease(k.callID, k.uri, causeNormal))
		a.reportEnded(k, policy.Cancelled, noReport)
	}
}

// handleCallerRelease handles a caller's release, which may come on any connection.
func (a *Agent) handleCallerRelease(c ConnID, m *sip.Message) {
	id, err := parseID(m.CallID)
	k := a.calls[id]
	if err != nil || k == nil {
		a.rejectMessage(c, m, sip.CallDoesNotExist, "release of an unknown call")
		return
	}
	heard := m.Response(sip.OK)
	a.transport.Write(c, &heard)
	k.callerNotified = true
	a.confirmRelease(k)
	switch k.state {
	case Established:
		a.releaseSwitch(k.lastSwitch(), k.lastTry().conn, a.newRelease(k.callID, k.uri, max(parseCause(m), causeNormal)))
		a.reportEnded(k, policy.Cancelled, noReport)
	case Offered, Trying:
		a.abandonCall(k)
		a.callCounts.Abandoned++
	}
}
