package b2bua

import (
	"fmt"
	"slices"
	"strconv"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// byeCrosses is how long after a BYE was written to a switch the end of its connection may mean that it was not read, unless a test written
// after it was answered: that long it takes until a silent connection is found. Switches need not answer a BYE.
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

// released takes a switch's release.
func (a *Agent) released(f *farEnd, c Conn, m *sip.Message) {
	id, err := readID(m.CallID)
	if err != nil {
		return
	}
	k, why, rep := a.calls[id], cause(m), readLoad(m)
	switch {
	case k == nil: // it stood before this process started: its caller must hear of it all the same
		a.releases.Unknown++
		a.out.Record(Record{Kind: ReleaseUnknown, CallID: m.CallID, Switch: f.entry.ID, Cause: why})
		k = &call{id: id, callID: m.CallID, uri: m.URI, state: Over}
		a.remember(k)
		a.releaseCaller(k, why)
	case k.state == Standing && (k.far() == f.entry.ID || endsCall(why) && (k.adopted || k.triedAt(f.entry.ID))): // of an adopted call the tries are not known
		a.releasedStanding(k, f, why, rep)
	case (k.state == Offered || k.state == Trying) && endsCall(why) && k.triedAt(f.entry.ID):
		a.releasedUnanswered(k, c, f, why, rep)
	case k.state == Trying && k.far() == f.entry.ID && k.last().state == tryOut && !k.earlierMayBeReleased(f.entry.ID):
		a.resetTry(k.last(), c, why)
	default:
		a.out.Record(Record{Kind: ReleaseIgnored, CallID: m.CallID, Conn: c, Switch: f.entry.ID, Try: len(k.tries), To: k.state, Cause: why})
	}
}

// endsCall tells that a release says that its call stood and is over; with any other cause it resets a set-up before the answer.
func endsCall(cause int) bool { return cause == causeNormal || cause == causeTempFail }

// releasedStanding ends a call that stands. The release may be of an earlier try of it, there or elsewhere: the call is over for the platform all
// the same, which knows calls by their ids alone, so what stands now is released as well.
func (a *Agent) releasedStanding(k *call, f *farEnd, why int, rep policy.Report) {
	rep = a.reportOf(f, k, rep)
	a.releaseCaller(k, why)
	if k.far() != f.entry.ID || k.earlierMayBeReleased(f.entry.ID) {
		a.releaseSwitch(k.far(), k.last().conn, a.bye(k.callID, k.uri, causeNormal))
	}
	if why == causeNormal {
		a.ended(k, policy.Released, rep)
	} else {
		a.ended(k, policy.Cut, rep)
	}
}

// releasedUnanswered fails a call that stood and is over though its caller has no answer: that was lost on its way. What is out of it is taken
// back. A further try would have its caller answered after its release, and never told of that.
func (a *Agent) releasedUnanswered(k *call, c Conn, f *farEnd, why int, rep policy.Report) {
	t := k.last()
	rep = a.reportOf(f, k, rep)
	a.tries.Reset++
	a.out.Record(Record{Kind: TryReset, CallID: k.callID, Conn: c, Switch: f.entry.ID, Try: t.number + 1, To: k.state, Cause: why, Waited: a.now - t.sentAt,
		Why: fmt.Sprintf("the call is over, its last try is %s on connection %d", t.state, t.conn)})
	if k.state == Trying {
		a.abandon(t, "the call is over")
	}
	a.refuse(k, sip.ServerError, 0)
	a.become(k, Over)
	a.tally.Aborted++
	a.decide.Ended(a.now, k.handle, t.number, t.sw, policy.Cut, true, policy.NoReason, 0, rep)
}

// reportOf is the report that goes with the end of a call's last try: the one that came, if it is of that try's switch. One of another switch is told
// of that.
func (a *Agent) reportOf(f *farEnd, k *call, rep policy.Report) policy.Report {
	if k.far() == f.entry.ID {
		return rep
	}
	if rep.Size >= 0 {
		a.decide.Circuits(a.now, f.entry.ID, rep)
	}
	return untold
}

// resetTry ends a try that is out as its switch releases the call. It is taken back all the same: the release may be of a set-up under this id
// from before this process started.
func (a *Agent) resetTry(t *routeTry, c Conn, why int) {
	a.tries.Reset++
	a.out.Record(Record{Kind: TryReset, CallID: t.call.callID, Conn: c, Switch: t.sw, Try: t.number + 1, Cause: why, Waited: a.now - t.sentAt,
		Why: fmt.Sprintf("its set-up is on connection %d", t.conn)})
	a.abandon(t, "released before an answer")
	a.endTry(t, policy.Cut)
}

// releaseSwitch releases a call towards its switch, on any connection; where none is open, on the next that opens.
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

// owe keeps a release for the next connection to a switch.
func (a *Agent) owe(f *farEnd, m *sip.Message) {
	if len(f.owed) < owedMost {
		f.owed = append(f.owed, *m)
	} else {
		a.out.Note("too many releases wait for a switch; one is dropped")
	}
}
