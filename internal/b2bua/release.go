package b2bua

import (
	"slices"

	"indigodrift/internal/due"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

const (
	// heardWithin is how long a caller may take to answer a BYE. The platform wants a release told within 1 s of its coming, so
	// one that is not answered goes again on another connection while there is time.
	heardWithin = policy.Tenths(3000)
	tellWithin  = policy.Tenths(10000) // what the platform allows from a switch's release to the caller's
	byesMost    = 4                    // BYEs to the caller of one call, one after the other
	byesAll     = 8                    // and all in all, as connections open or prove

	// byeCrosses is how long after a BYE was written to a switch the end of its connection may mean that it was not read.
	// Switches need not answer a BYE.
	byeCrosses = policy.Tenths(5000)
)

// bye is a release written to a switch.
type bye struct {
	at policy.Tenths
	m  sip.Message
}

// releaseCaller tells a call's caller that it is over.
func (a *Agent) releaseCaller(k *call, why int) {
	if k.ended { // a caller that has released the call itself is told nothing more
		return
	}
	k.ended, k.owedWhy, k.byes = true, max(why, 0), 0
	a.sayOver(k)
}

// sayOver writes a call's release on any connection of callers; where none is open, on the next that opens.
func (a *Agent) sayOver(k *call) {
	o := a.door.pick(k.caller)
	if o == nil {
		a.oweCaller(k)
		return
	}
	k.byes++
	kind := ReleaseWritten
	if k.byes == 1 {
		a.releases.Written++
	} else {
		kind = ReleaseRepeated
		a.releases.Repeated++
	}
	a.out.Record(Record{Kind: kind, CallID: k.callID, Conn: o.conn, Switch: k.far, Cause: k.owedWhy, Copies: k.byes, Waited: a.now - k.overAt})
	k.byeOn, k.byeDue = o.conn, a.now+heardWithin
	o.byes = append(o.byes, k)
	a.timers.Set(k.byeDue, dueHeard, k.id)
	a.out.Write(o.conn, a.bye(k.callID, k.uri, k.owedWhy))
}

// oweCaller keeps a release until a caller's connection opens or proves to hear.
func (a *Agent) oweCaller(k *call) {
	a.out.Record(Record{Kind: ReleaseWaits, CallID: k.callID, Switch: k.far, Copies: k.byes, Why: a.door.whyNone()})
	if len(a.owed) < owedMost {
		a.owed = append(a.owed, k)
	} else {
		a.releases.Dropped++
		a.out.Record(Record{Kind: ReleaseDropped, CallID: k.callID, Copies: k.byes, Why: "too many wait for a caller's connection"})
	}
}

// heard notes that a call's caller knows that it is over: it answered, or released the call itself.
func (a *Agent) heard(k *call) {
	if o := a.door.conns[k.byeOn]; o != nil {
		o.byes = slices.DeleteFunc(o.byes, func(other *call) bool { return other == k })
	}
	k.byeOn = 0
	a.owed = slices.DeleteFunc(a.owed, func(other *call) bool { return other == k })
}

// sayAgain writes a release anew that was not answered. One that went out often enough waits until a connection opens or proves.
func (a *Agent) sayAgain(k *call) {
	a.heard(k)
	switch {
	case k.byes < byesMost:
		a.sayOver(k)
	case k.byes < byesAll:
		a.oweCaller(k)
	default:
		a.releases.Dropped++
		a.out.Record(Record{Kind: ReleaseDropped, CallID: k.callID, Copies: k.byes, Why: "no caller answers"})
	}
}

// unheard acts on a release that was not answered in time. Whoever holds that connection does not hear releases: others that
// connect here send well-formed set-ups too.
func (a *Agent) unheard(d due.Item) {
	k := a.calls[d.Token]
	if k == nil || k.byeOn == 0 || k.byeDue != d.At {
		return
	}
	if until := a.stalled + heardWithin; a.stalled != 0 && a.now < until { // the answer may lie unread
		k.byeDue = until
		a.timers.Set(until, dueHeard, k.id)
		return
	}
	a.releases.Unanswered++
	a.out.Record(Record{Kind: ReleaseUnanswered, CallID: k.callID, Conn: k.byeOn, Switch: k.far, Copies: k.byes, Waited: a.now - k.overAt})
	if o := a.door.conns[k.byeOn]; o != nil {
		o.deaf = true
	}
	a.sayAgain(k)
}
