package b2bua

import (
	"fmt"
	"slices"
	"strconv"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// releaseLossWindow is how long the end of a connection may mean that a BYE written on it was not read, unless a later
// keepalive was answered. It is the time until a silent connection is detected. Switches need not answer a BYE.
const releaseLossWindow = keepaliveInterval + maxKeepaliveTimeout + maxStallAllowance

// sentRelease is a release written to a switch.
type sentRelease struct {
	sentAt  policy.Tenths
	message sip.Message
}

func (a *Agent) newRelease(callID, uri string, cause int) *sip.Message {
	return &sip.Message{Method: sip.Bye, URI: uri, CallID: callID, CSeq: 100,
		Fields: []sip.Field{{Name: fieldReason, Value: "Q.850;cause=" + strconv.Itoa(cause)}}}
}

// handleSwitchRelease handles a switch's release.
func (a *Agent) handleSwitchRelease(f *remoteSwitch, c ConnID, m *sip.Message) {
	id, err := parseID(m.CallID)
	if err != nil {
		return
	}
	k, why, rep := a.calls[id], parseCause(m), parseLoad(m)
	switch {
	case k == nil: // established before this process started: its caller must be released all the same
		a.releaseCounts.Unknown++
		a.transport.Record(Record{Kind: ReleaseUnknown, CallID: m.CallID, Switch: f.entry.ID, Cause: why})
		k = &trackedCall{id: id, callID: m.CallID, uri: m.URI, state: Ended}
		a.retain(k)
		a.releaseCaller(k, why)
	case k.state == Established && (k.lastSwitch() == f.entry.ID || isCallEndCause(why) && (k.adopted || k.mayHaveReached(f.entry.ID))): // the tries of an adopted call are not known
		a.endEstablished(k, f, why, rep)
	case (k.state == Offered || k.state == Trying) && isCallEndCause(why) && k.mayHaveReached(f.entry.ID):
		a.failUnanswered(k, c, f, why, rep)
	case k.state == Trying && k.lastSwitch() == f.entry.ID && k.lastTry().state == trySent && !k.earlierTryMayBeReleased(f.entry.ID):
		a.resetTry(k.lastTry(), c, why)
	default:
		a.transport.Record(Record{Kind: ReleaseIgnored, CallID: m.CallID, Conn: c, Switch: f.entry.ID, Try: len(k.tries), To: k.state, Cause: why})
	}
}

// isCallEndCause reports whether a release cause means that an established call is over. Any other cause resets a set-up
// before its answer.
func isCallEndCause(cause int) bool { return cause == causeNormal || cause == causeTemporaryFailure }

// endEstablished ends an established call. The release may refer to an earlier try, there or at another switch.
// The platform knows calls by their ids alone, so the call is over in any case, and its present switch is released
// too.
func (a *Agent) endEstablished(k *trackedCall, f *remoteSwitch, why int, rep policy.LoadReport) {
	rep = a.reportFor(f, k, rep)
	a.releaseCaller(k, why)
	if k.lastSwitch() != f.entry.ID || k.earlierTryMayBeReleased(f.entry.ID) {
		a.releaseSwitch(k.lastSwitch(), k.lastTry().conn, a.newRelease(k.callID, k.uri, causeNormal))
	}
	if why == causeNormal {
		a.reportEnded(k, policy.Released, rep)
	} else {
		a.reportEnded(k, policy.Disconnected, rep)
	}
}

// failUnanswered fails a call that was established and is over although its caller has no answer, as the
// switch's answer was lost. A try that is out is cancelled. A further try could be answered to the caller after
// the release, and the caller would never be released.
func (a *Agent) failUnanswered(k *trackedCall, c ConnID, f *remoteSwitch, why int, rep policy.LoadReport) {
	t := k.lastTry()
	rep = a.reportFor(f, k, rep)
	a.tryCounts.Reset++
	a.transport.Record(Record{Kind: TryReset, CallID: k.callID, Conn: c, Switch: f.entry.ID, Try: t.number + 1, To: k.state, Cause: why, Waited: a.now - t.sentAt,
		Reason: fmt.Sprintf("call is over, last try is %s on connection %d", t.state, t.conn)})
	if k.state == Trying {
		a.abandonTry(t, "call is over")
	}
	a.refuse(k, sip.ServerInternalError, 0)
	a.setState(k, Ended)
	a.callCounts.Aborted++
	a.decider.TryEnded(a.now, k.handle, t.number, t.switchID, policy.Disconnected, true, policy.NoReason, 0, rep)
}

// reportFor returns the load report for the end of a call's last try: the one that came, if it is of the same
// switch. The report of another switch is passed on separately.
func (a *Agent) reportFor(f *remoteSwitch, k *trackedCall, rep policy.LoadReport) policy.LoadReport {
	if k.lastSwitch() == f.entry.ID {
		return rep
	}
	if rep.Size >= 0 {
		a.decider.LoadReported(a.now, f.entry.ID, rep)
	}
	return noReport
}

// resetTry ends a try that is out when its switch releases the call. The try is cancelled as well, since the
// release may refer to a set-up with the same id from before this process started.
func (a *Agent) resetTry(t *routeTry, c ConnID, why int) {
	a.tryCounts.Reset++
	a.transport.Record(Record{Kind: TryReset, CallID: t.call.callID, Conn: c, Switch: t.switchID, Try: t.number + 1, Cause: why, Waited: a.now - t.sentAt,
		Reason: fmt.Sprintf("set-up was sent on connection %d", t.conn)})
	a.abandonTry(t, "released by the switch before an answer")
	a.endTry(t, policy.Disconnected)
}

// releaseSwitch releases a call towards its switch on any connection, or on the next one that opens.
func (a *Agent) releaseSwitch(sw uint32, link ConnID, m *sip.Message) {
	f := a.switches[sw]
	if f == nil {
		return
	}
	l := f.findLink(link)
	if l == nil || a.isSuspect(f, l) {
		if other := a.pickLink(f, 0, avoidNone); other != nil {
			l = other
		}
	}
	if l != nil {
		l.sentReleases = append(slices.DeleteFunc(l.sentReleases, func(b sentRelease) bool { return a.now-b.sentAt > releaseLossWindow }), sentRelease{a.now, *m})
		a.transport.Write(l.conn, m)
		return
	}
	a.queueRelease(f, m)
	a.dial(f)
}

// queueRelease queues a release for the next connection to a switch.
func (a *Agent) queueRelease(f *remoteSwitch, m *sip.Message) {
	if len(f.pendingReleases) < maxPendingReleases {
		f.pendingReleases = append(f.pendingReleases, *m)
	} else {
		a.transport.Note("too many pending releases for a switch; release dropped")
	}
}
