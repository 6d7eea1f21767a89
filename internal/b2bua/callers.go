package b2bua

import (
	"fmt"
	"slices"
	"strings"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// CallerConnected adds a new connection of a caller. It returns false if the connection limit is reached and the new
// connection has to be closed.
func (a *Agent) CallerConnected(now policy.Tenths, conn ConnID) bool {
	a.now = now
	if len(a.callers.conns) >= a.callers.limit {
		evicted := a.callers.evictionCandidate(a.transport.Unhandled)
		if evicted == 0 {
			a.transport.Log("limit of caller connections reached")
			return false
		}
		a.transport.Close(evicted, "connection limit reached")
		a.CallerDisconnected(now, evicted)
	}
	a.callers.conns[conn] = &callerConn{conn: conn, openedAt: now, setUps: map[uint32]*trackedCall{}}
	a.callers.order = append(a.callers.order, conn)
	return true
}

// CallerDisconnected removes a caller's connection and abandons the set-ups open on it.
func (a *Agent) CallerDisconnected(now policy.Tenths, conn ConnID) {
	a.now = now
	caller := a.callers.conns[conn]
	if caller == nil {
		return
	}
	delete(a.callers.conns, conn)
	if i := slices.Index(a.callers.order, conn); i >= 0 {
		a.callers.order = slices.Delete(a.callers.order, i, i+1)
	}
	openSetUps := caller.openSetUps()
	if len(openSetUps) > 0 || len(caller.copies) > 0 {
		a.transport.Record(Record{Kind: CallerConnEnded, Conn: conn, Reason: fmt.Sprintf("%d set-ups and %d releases pending", len(openSetUps), len(caller.copies))})
	}
	for _, call := range openSetUps {
		a.abandonCall(call)
		a.callCounts.Abandoned++
	}
	a.rewriteReleases(caller)
	a.flushDeferred()
}

// CallerMessagePartial records since when a message on a connection is incomplete, 0 when none is.
func (a *Agent) CallerMessagePartial(conn ConnID, since policy.Tenths) {
	if caller := a.callers.conns[conn]; caller != nil {
		caller.partialSince = since
	}
}

// CallerMessageInvalid handles an unreadable message: it is answered where it has an id, and the connection is
// closed. Calls that are open on it fail at once, as their caller would not receive a later answer.
func (a *Agent) CallerMessageInvalid(now policy.Tenths, conn ConnID, msg *sip.Message, tooLong bool, reason string) {
	a.now = now
	caller := a.callers.conns[conn]
	if caller == nil {
		return
	}
	a.callCounts.Refused++
	status := sip.BadRequest
	if tooLong {
		status = sip.RequestEntityTooLarge
	}
	for _, call := range caller.openSetUps() {
		a.failCall(call)
	}
	refusal := msg.Response(status)
	if _, err := parseID(msg.CallID); err != nil {
		refusal.CallID = ""
	}
	a.transport.Write(conn, &refusal)
	a.transport.Close(conn, reason)
	a.CallerDisconnected(now, conn)
}

// FailOpenCalls fails every open call, because the process ends before more can be done for it.
func (a *Agent) FailOpenCalls(now policy.Tenths) {
	a.now = now
	for _, call := range a.matchingCalls(func(call *trackedCall) bool { return call.state == Offered || call.state == Trying }) {
		a.failCall(call)
	}
	a.flushDeferred()
}

// failCall gives an open call a final answer that it failed.
func (a *Agent) failCall(call *trackedCall) {
	a.refuse(call, sip.ServerInternalError, 0)
	a.abandonCall(call)
	a.callCounts.Aborted++
}

// closeOverdueCallers closes callers' connections that are overdue.
func (a *Agent) closeOverdueCallers() {
	for _, conn := range slices.Clone(a.callers.order) {
		caller := a.callers.conns[conn]
		if a.transport.Unhandled(conn) {
			continue
		}
		if reason := caller.closeReason(a.silentFor); reason != "" {
			if caller.partialSince != 0 {
				a.CallerMessageInvalid(a.now, conn, &sip.Message{}, false, reason)
				continue
			}
			a.transport.Close(conn, reason)
			a.CallerDisconnected(a.now, conn)
		}
	}
}

// FromCaller handles a message of a caller. receivedAt is when it was completely read, which may be earlier than now.
func (a *Agent) FromCaller(now, receivedAt policy.Tenths, conn ConnID, msg *sip.Message) {
	a.now = now
	caller := a.callers.conns[conn]
	if caller == nil {
		a.callerMessageAfterClose(conn, msg)
		return
	}
	caller.lastMessageAt, caller.partialSince = now, 0
	switch {
	case msg.Status != 0 && msg.CSeqMethod == sip.Bye:
		a.handleReleaseAnswer(caller, msg)
	case msg.Status != 0:
	case msg.Method == sip.Invite:
		a.handleSetUp(caller, receivedAt, msg)
	case msg.Method == sip.Cancel:
		a.handleCancel(conn, msg)
	case msg.Method == sip.Bye:
		a.handleCallerRelease(conn, msg)
	case msg.Method == sip.Ack:
		a.handleAck(caller, msg)
	case msg.Method == sip.Options:
		response := msg.Response(sip.OK)
		a.transport.Write(conn, &response)
	default:
		a.rejectMessage(conn, msg, sip.BadRequest, "method "+msg.Method)
	}
	a.flushDeferred()
}

// callerMessageAfterClose handles a message that arrived while its connection was being closed locally: releases and
// answers to releases still count.
func (a *Agent) callerMessageAfterClose(conn ConnID, msg *sip.Message) {
	switch {
	case msg.Method == sip.Bye:
		a.handleCallerRelease(conn, msg)
	case msg.Status == sip.OK && msg.CSeqMethod == sip.Bye:
		if id, err := parseID(msg.CallID); err == nil && a.calls[id] != nil {
			a.confirmRelease(a.calls[id])
		}
	}
	a.flushDeferred()
}

// rejectMessage answers a caller's message with an error status.
func (a *Agent) rejectMessage(conn ConnID, msg *sip.Message, status int, reason string) {
	a.callCounts.Refused++
	a.transport.Record(Record{Kind: SetUpRefused, CallID: msg.CallID, Conn: conn, Reason: reason})
	refusal := msg.Response(status)
	a.transport.Write(conn, &refusal)
}

// handleSetUp handles a set-up.
func (a *Agent) handleSetUp(caller *callerConn, receivedAt policy.Tenths, msg *sip.Message) {
	parsed, err := parseSetUp(msg, &a.settings)
	if err != nil {
		a.rejectMessage(caller.conn, msg, sip.BadRequest, err.Error())
		return
	}
	if parsed.adopted {
		a.adoptCall(caller, parsed, msg)
		return
	}
	if earlier := a.calls[parsed.id]; earlier != nil && !a.mayComeAgain(earlier) {
		a.rejectMessage(caller.conn, msg, sip.BadRequest, "duplicate call id")
		return
	}
	a.markSetUpSeen(caller)
	call := &trackedCall{id: parsed.id, callerConnID: caller.conn, callID: strings.Clone(msg.CallID), uri: strings.Clone(msg.URI),
		bearerType: a.settings.BearerNames[parsed.request.Bearer], cseq: msg.CSeq, body: msg.Body,
		deadline: receivedAt + parsed.request.TTL - answerMargin}
	if a.transport.Abandoned(call.callerConnID, call.callID) { // the CANCEL or the end of the connection follows
		call.body, call.state = nil, Ended
		a.retain(call)
		a.callCounts.Abandoned++
		return
	}
	if a.atCallLimit(call) {
		refusal := msg.Response(sip.ServiceUnavailable)
		a.transport.Write(caller.conn, &refusal)
		a.callCounts.Blocked++
		return
	}
	a.lastHandle++
	if a.lastHandle == 0 {
		a.lastHandle = 1
	}
	call.handle = a.lastHandle
	parsed.request.ID, parsed.request.TTL = call.handle, call.deadline-a.now
	a.calls[call.id], a.byHandle[call.handle] = call, call
	a.openCalls++
	a.bodyOctets += len(call.body)
	caller.setUps[call.handle] = call
	a.callCounts.Accepted++
	call.timers.deadline = a.timers.Set(call.deadline+answerMargin/3, timerCallDeadline, uint64(call.handle))
	a.decider.Offer(a.now, parsed.request)
}

// mayComeAgain reports whether the id of a call may be used by another set-up: the call ended with the connection of its
// caller, before it was answered or sent to any switch. Callers send a set-up that crosses the end of a connection again on a
// new one.
func (a *Agent) mayComeAgain(call *trackedCall) bool {
	if call.state != Ended || call.adopted || call.foreignFrom != 0 || call.reachedSwitch() || call.answerSeq != 0 {
		return false
	}
	return a.callers.conns[call.callerConnID] == nil || a.transport.Abandoned(call.callerConnID, call.callID)
}

// atCallLimit reports whether one more call would exceed a limit.
func (a *Agent) atCallLimit(call *trackedCall) bool {
	return a.openCalls >= a.maxOpenCalls || a.bodyOctets+len(call.body) > a.maxBodyOctets || a.openCalls+a.establishedCalls-a.announced.length >= a.limits.established
}

// markSetUpSeen marks a connection on which a set-up came, and writes the releases that wait for such a connection.
func (a *Agent) markSetUpSeen(caller *callerConn) {
	if caller.setUpSeen {
		return
	}
	caller.setUpSeen = true
	a.offerReleases(caller)
}

// handleCancel handles a caller's CANCEL.
func (a *Agent) handleCancel(conn ConnID, msg *sip.Message) {
	id, err := parseID(msg.CallID)
	call := a.calls[id]
	if err != nil || call == nil || call.callerConnID != conn {
		a.rejectMessage(conn, msg, sip.CallDoesNotExist, "CANCEL for an unknown call")
		return
	}
	switch call.state {
	case Offered, Trying:
		a.abandonCall(call)
		a.callCounts.Abandoned++
	case Established: // the CANCEL crossed the answer
		a.callCounts.CancelCrossed++
		a.releaseSwitch(call.lastSwitch(), call.lastTry().conn, newSwitchRelease(call, causeNormal))
		a.endCall(call, policy.Cancelled, noReport)
	}
}

// handleCallerRelease handles a caller's release, which may come on any connection.
func (a *Agent) handleCallerRelease(conn ConnID, msg *sip.Message) {
	id, err := parseID(msg.CallID)
	call := a.calls[id]
	if err != nil || call == nil {
		a.rejectMessage(conn, msg, sip.CallDoesNotExist, "release of an unknown call")
		return
	}
	response := msg.Response(sip.OK)
	a.transport.Write(conn, &response)
	call.callerNotified = true
	a.confirmRelease(call)
	switch call.state {
	case Established:
		a.releaseSwitch(call.lastSwitch(), call.lastTry().conn, newSwitchRelease(call, max(parseCause(msg), causeNormal)))
		a.endCall(call, policy.Cancelled, noReport)
	case Offered, Trying:
		a.abandonCall(call)
		a.callCounts.Abandoned++
	}
}
