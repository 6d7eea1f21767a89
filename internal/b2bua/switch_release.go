package b2bua

import (
	"fmt"
	"strconv"
	"strings"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// newRelease returns a BYE with a Q.850 cause.
func (a *Agent) newRelease(callID, uri string, cause int) *sip.Message {
	return &sip.Message{Method: sip.Bye, URI: uri, CallID: callID, CSeq: 100,
		Fields: []sip.Field{{Name: fieldReason, Value: "Q.850;cause=" + strconv.Itoa(cause)}}}
}

// handleSwitchRelease handles a switch's release.
func (a *Agent) handleSwitchRelease(remote *remoteSwitch, conn ConnID, msg *sip.Message) {
	id, err := parseID(msg.CallID)
	if err != nil {
		return
	}
	call, cause, report := a.calls[id], parseCause(msg), parseLoad(msg)
	switch {
	case call == nil: // established before this process started: its caller must be released all the same
		a.releaseCounts.Unknown++
		a.transport.Record(Record{Kind: ReleaseUnknown, CallID: msg.CallID, Switch: remote.entry.ID, Cause: cause})
		call = &trackedCall{id: id, callID: strings.Clone(msg.CallID), uri: boundedURI(msg), state: Ended, foreignFrom: conn}
		a.retain(call)
		a.releaseCaller(call, cause)
	// The earlier tries of an adopted call are not known, so it may have reached any switch.
	case call.state == Established && (call.lastSwitch() == remote.entry.ID || isCallEndCause(cause) && (call.adopted || call.mayHaveReached(remote.entry.ID))):
		a.handleEstablishedRelease(call, remote, cause, report)
	case (call.state == Offered || call.state == Trying) && isCallEndCause(cause) && call.mayHaveReached(remote.entry.ID):
		a.handleUnansweredRelease(call, conn, remote, cause, report)
	case call.state == Trying && call.lastSwitch() == remote.entry.ID && call.lastTry().state == trySent && !call.earlierTryMayBeReleased(remote.entry.ID):
		a.resetTry(call.lastTry(), conn, cause)
	default:
		a.transport.Record(Record{Kind: ReleaseIgnored, CallID: msg.CallID, Conn: conn, Switch: remote.entry.ID, Try: len(call.tries), To: call.state, Cause: cause})
	}
}

// isCallEndCause reports whether a release cause means that an established call is over. Any other cause resets a
// set-up before its answer.
func isCallEndCause(cause int) bool { return cause == causeNormal || cause == causeTemporaryFailure }

// handleEstablishedRelease ends an established call. The release may refer to an earlier try, there or at another
// switch. The platform knows calls by their ids alone, so the call is over in any case, and its present switch is
// released too.
func (a *Agent) handleEstablishedRelease(call *trackedCall, remote *remoteSwitch, cause int, report policy.LoadReport) {
	report = a.reportFor(remote, call, report)
	call.confirmed = true
	a.releaseCaller(call, cause)
	if call.lastSwitch() != remote.entry.ID || call.earlierTryMayBeReleased(remote.entry.ID) {
		a.releaseSwitch(call.lastSwitch(), call.lastTry().conn, newSwitchRelease(call, causeNormal))
	}
	if cause == causeNormal {
		a.endCall(call, policy.Released, report)
	} else {
		a.endCall(call, policy.Disconnected, report)
	}
}

// handleUnansweredRelease fails a call that was established and is over although its caller has no answer, as the
// switch's answer was lost. A try that is out is cancelled. A further try could be answered to the caller after
// the release, and the caller would never be released.
func (a *Agent) handleUnansweredRelease(call *trackedCall, conn ConnID, remote *remoteSwitch, cause int, report policy.LoadReport) {
	try := call.lastTry()
	report = a.reportFor(remote, call, report)
	a.tryCounts.Reset++
	a.transport.Record(Record{Kind: TryReset, CallID: call.callID, Conn: conn, Switch: remote.entry.ID, Try: try.number + 1, To: call.state, Cause: cause, Waited: a.now - try.sentAt,
		Reason: fmt.Sprintf("call is over, last try is %s on connection %d", try.state, try.conn)})
	if call.state == Trying {
		a.abandonTry(try, "call is over")
	}
	a.refuse(call, sip.ServerInternalError, 0)
	a.setState(call, Ended)
	a.callCounts.Aborted++
	a.decider.TryEnded(a.now, call.handle, try.number, try.switchID, policy.Disconnected, true, policy.NoReason, 0, report)
}

// reportFor returns the load report for the end of a call's last try: the one that came, if it is of the same
// switch. The report of another switch is passed on separately.
func (a *Agent) reportFor(remote *remoteSwitch, call *trackedCall, report policy.LoadReport) policy.LoadReport {
	if call.lastSwitch() == remote.entry.ID {
		return report
	}
	if report.Size >= 0 {
		a.decider.LoadReported(a.now, remote.entry.ID, report)
	}
	return noReport
}

// resetTry ends a try that is out when its switch releases the call. The try is cancelled as well, since the
// release may refer to a set-up with the same id from before this process started.
func (a *Agent) resetTry(try *routeTry, conn ConnID, cause int) {
	a.tryCounts.Reset++
	a.transport.Record(Record{Kind: TryReset, CallID: try.call.callID, Conn: conn, Switch: try.switchID, Try: try.number + 1, Cause: cause, Waited: a.now - try.sentAt,
		Reason: fmt.Sprintf("set-up was sent on connection %d", try.conn)})
	a.abandonTry(try, "released by the switch before an answer")
	a.endTry(try, policy.Disconnected)
}
