package b2bua

import (
	"fmt"
	"slices"
	"strconv"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// byeCrosses is how long the end of a connection may mean that a BYE written on it was not read, unless a later
// keepalive was answered. It is the time until a silent connection is detected. Switches need not answer a BYE.
const byeCrosses = askAfter + signMost + stallRoom

// bye is a release written to a switch.
type bye struct {
	at policy.Tenths
	m  sip.Message
}

func (a *Agent) bye(callID, uri string, cause int) *sip.Message {
	return &sip.Message{Method: sip.Bye, URI: uri, CallID: callID, CSeq: 100,
		Fields: []sip.Field{{Name: fieldReason, Value: "Q.850;cause=" + strconv.Itoa(cause)}}}
}

// released handles a switch's release.
func (a *Agent) released(f *farEnd, c Conn, m *sip.Message) {
	id, err := readID(m.CallID)
	if err != nil {
		return
	}
	k, why, rep := a.calls[id], cause(m), readLoad(m)
	switch {
	case k == nil: // established before this process started: its caller must be released all the same
		a.releases.Unknown++
		a.out.Record(Record{Kind: ReleaseUnknown, CallID: m.CallID, Switch: f.entry.ID, Cause: why})
		k = &call{id: id, callID: m.CallID, uri: m.URI, state: Over}
		a.remember(k)
		a.releaseCaller(k, why)
	case k.state == Standing && (k.far() == f.entry.ID || endsCall(why) && (k.adopted || k.triedAt(f.entry.ID))): // the tries of an adopted call are not known
		a.releasedStanding(k, f, why, rep)
	case (k.state == Offered || k.state == Trying) && endsCall(why) && k.triedAt(f.entry.ID):
		a.releasedUnanswered(k, c, f, why, rep)
	case k.state == Trying && k.far() == f.entry.ID && k.last().state == tryOut && !k.earlierMayBeReleased(f.entry.ID):
		a.resetTry(k.last(), c, why)
	default:
		a.out.Record(Record{Kind: ReleaseIgnored, CallID: m.CallID, Conn: c, Switch: f.entry.ID, Try: len(k.tries), To: k.state, Cause: why})
	}
}

// endsCall reports whether a release cause means that an established call is over. Any other cause resets a set-up
// before its answer.
func endsCall(cause int) bool { return cause == causeNormal || cause == causeTempFail }

// releasedStanding ends an established call. The release may refer to an earlier try, there or at another switch.
// The platform knows calls by their ids alone, so the call is over in any case, and its present switch is released
// too.
func (a *Agent) releasedStanding(k *call, f *farEnd, why int, rep policy.LoadReport) {
	rep = a.reportOf(f, k, rep)
	a.releaseCaller(k, why)
	if k.far() != f.entry.ID || k.earlierMayBeReleased(f.entry.ID) {
		a.releaseSwitch(k.far(), k.last().conn, a.bye(k.callID, k.uri, causeNormal))
	}
	if why == causeNormal {
		a.ended(k, policy.Released, rep)
	} else {
		a.ended(k, policy.Disconnected, rep)
	}
}

// releasedUnanswered fails a call that was established and is over although its caller has no answer, as the
// switch's answer was lost. A try that is out is cancelled. A further try could be answered to the caller after
// the release, and the caller would never be released.
func (a *Agent) releasedUnanswered(k *call, c Conn, f *farEnd, why int, rep policy.LoadReport) {
	t := k.last()
	rep = a.reportOf(f, k, rep)
	a.tries.Reset++
	a.out.Record(Record{Kind: TryReset, CallID: k.callID, Conn: c, Switch: f.entry.ID, Try: t.number + 1, To: k.state, Cause: why, Waited: a.now - t.sentAt,
		Why: fmt.Sprintf("call is over, last try is %s on connection %d", t.state, t.conn)})
	if k.state == Trying {
		a.abandon(t, "call is over")
	}
	a.refuse(k, sip.ServerInternalError, 0)
	a.become(k, Over)
	a.tally.Aborted++
	a.decide.TryEnded(a.now, k.handle, t.number, t.sw, policy.Disconnected, true, policy.NoReason, 0, rep)
}

// reportOf returns the load report for the end of a call's last try: the one that came, if it is of the same
// switch. The report of another switch is passed on separately.
func (a *Agent) reportOf(f *farEnd, k *call, rep policy.LoadReport) policy.LoadReport {
	if k.far() == f.entry.ID {
		return rep
	}
	if rep.Size >= 0 {
		a.decide.LoadReported(a.now, f.entry.ID, rep)
	}
	return untold
}

// resetTry ends a try that is out when its switch releases the call. The try is cancelled as well, since the
// release may refer to a set-up with the same id from before this process started.
func (a *Agent) resetTry(t *routeTry, c Conn, why int) {
	a.tries.Reset++
	a.out.Record(Record{Kind: TryReset, CallID: t.call.callID, Conn: c, Switch: t.sw, Try: t.number + 1, Cause: why, Waited: a.now - t.sentAt,
		Why: fmt.Sprintf("set-up was sent on connection %d", t.conn)})
	a.abandon(t, "released by the switch before an answer")
	a.endTry(t, policy.Disconnected)
}

// releaseSwitch releases a call towards its switch on any connection, or on the next one that opens.
func (a *Agent) releaseSwitch(sw uint32, link Conn, m *sip.Message) {
	f := a.far[sw]
	if f == nil {
		return
	}
	l := f.link(link)
	if l == nil || a.doubtful(f, l) {
		if other := a.room(f, 0, anyConn); other != nil {
			l = other
		}
	}
	if l != nil {
		l.byes = append(slices.DeleteFunc(l.byes, func(b bye) bool { return a.now-b.at > byeCrosses }), bye{a.now, *m})
		a.out.Write(l.conn, m)
		return
	}
	a.owe(f, m)
	a.dial(f)
}

// owe queues a release for the next connection to a switch.
func (a *Agent) owe(f *farEnd, m *sip.Message) {
	if len(f.owed) < owedMost {
		f.owed = append(f.owed, *m)
	} else {
		a.out.Note("too many pending releases for a switch; release dropped")
	}
}
