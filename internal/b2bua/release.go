package b2bua

import (
	"cmp"
	"slices"

	"indigodrift/internal/due"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

const (
	// tellWithin is the time that the platform allows from a switch's release to the release to the caller.
	tellWithin = policy.Tenths(10000)

	// copyEvery is how long a release waits for its confirmation before it is written on further connections. Each
	// round doubles the number of copies, so that callers who do not read cannot use up tellWithin.
	copyEvery  = policy.Tenths(2000)
	roundsFast = 5                     // rounds within tellWithin
	roundSlow  = policy.Tenths(10000)  // interval of later rounds
	roundMost  = 8                     // copies in one round
	copiesMost = 32                    // per release, in rounds and when connections end
	offersMost = 32                    // further copies, on connections that send set-ups later
	provedMost = 64                    // and on connections whose callers prove to read
	keepTold   = policy.Tenths(100000) // retention of a release after its first copy on a connection with set-ups
	keepUntold = policy.Tenths(600000) // and after its arrival, while there is no such connection

	// stallRead is how long answers may lie unread after a stall of this process. It postpones a round once.
	stallRead = policy.Tenths(500)

	releasesMost = 4096 // unconfirmed releases; beyond this the oldest is dropped
)

// pendingRelease is the release of a call towards its caller. It exists from the end of the call until the caller
// is known to have read the release, or the release is dropped. Its next round is always scheduled, whatever
// happens to connections.
type pendingRelease struct {
	call      *call
	cause     int
	cameAt    policy.Tenths
	dueAt     policy.Tenths
	writtenAt policy.Tenths // last copy
	rounds    int
	written   int           // copies in total
	spread    int           // of these, in rounds and when connections ended
	offered   int           // and on connections that came or proved to be read
	askedAt   policy.Tenths // first copy on a connection on which a set-up came, 0 before
	on        []Conn        // open connections with a copy
	putOff    bool          // the round has been postponed for a stall
	reported  bool          // the lack of connections has been logged
}

// releaseQueue holds the unconfirmed releases.
type releaseQueue struct {
	order  []*pendingRelease // oldest first
	byCall map[uint64]*pendingRelease
}

func (q *releaseQueue) add(r *pendingRelease) {
	q.order = append(q.order, r)
	q.byCall[r.call.id] = r
}

func (q *releaseQueue) drop(r *pendingRelease) {
	if i := slices.Index(q.order, r); i >= 0 {
		q.order = slices.Delete(q.order, i, i+1)
	}
	delete(q.byCall, r.call.id)
}

// releaseCopy is a copy of a release written on a connection.
type releaseCopy struct {
	release *pendingRelease
	place   uint64 // its sequence number on that connection
	at      policy.Tenths
}

// releaseCaller releases a call towards its caller.
func (a *Agent) releaseCaller(k *call, why int) {
	if k.ended { // the caller knows already that the call is over
		return
	}
	if before := a.pending.byCall[k.id]; before != nil {
		a.pending.drop(before)
		a.callers.forgetCopies(before)
	}
	if len(a.pending.order) >= releasesMost {
		a.giveUpRelease(a.pending.order[0], "too many unconfirmed releases")
	}
	k.ended = true
	r := &pendingRelease{call: k, cause: max(why, 0), cameAt: a.now}
	a.pending.add(r)
	a.writeRound(r)
}

// releaseDue writes the next round of an unconfirmed release.
func (a *Agent) releaseDue(d due.Item) {
	r := a.pending.byCall[d.Token]
	if r == nil || r.dueAt != d.At {
		return
	}
	k := r.call
	if until := a.silence.stalled + stallRead; a.silence.stalled != 0 && a.now < until && !r.putOff {
		r.putOff = true
		a.releaseAgainAt(r, until)
		return
	}
	waited := a.now - r.cameAt
	if r.written > 0 {
		a.releases.Unanswered++
		a.out.Record(Record{Kind: ReleaseUnanswered, CallID: k.callID, Conn: k.caller, Switch: k.far(), Copies: r.written, Waited: waited})
	}
	switch {
	case r.askedAt != 0 && a.now-r.askedAt >= keepTold:
		a.giveUpRelease(r, "not confirmed by any caller")
	case r.askedAt == 0 && waited >= keepUntold:
		a.giveUpRelease(r, "no caller connected")
	default:
		a.writeRound(r)
	}
}

// writeRound writes copies of a release on the connections most likely to be read, and schedules the next round.
// If the best connection is suspect, the second best gets a copy in the first round.
func (a *Agent) writeRound(r *pendingRelease) {
	copies := min(1<<max(0, r.rounds-1), roundMost)
	candidates := a.callers.forRelease(r, a.now)
	if r.rounds == 0 && len(candidates) > 0 && candidates[0].suspect(a.now) {
		copies++
	}
	a.writeCopies(r, candidates, copies)
	if r.written > 0 {
		r.rounds++
	}
	wait := copyEvery
	if r.rounds >= roundsFast || a.now-r.cameAt >= tellWithin {
		wait = roundSlow
	}
	a.releaseAgainAt(r, a.now+wait)
}

func (a *Agent) releaseAgainAt(r *pendingRelease, at policy.Tenths) {
	r.dueAt = at
	a.timers.Set(at, dueRelease, r.call.id)
}

// writeCopies writes a release on the first candidates.
func (a *Agent) writeCopies(r *pendingRelease, candidates []*callerConn, copies int) {
	if len(candidates) == 0 && r.written == 0 && !r.reported {
		r.reported = true
		a.out.Record(Record{Kind: ReleaseWaits, CallID: r.call.callID, Switch: r.call.far(), Why: "no open caller connection"})
	}
	copies = min(copies, len(candidates), copiesMost-r.spread)
	for _, o := range candidates[:max(0, copies)] {
		r.spread++
		a.writeCopy(r, o)
	}
}

func (a *Agent) writeCopy(r *pendingRelease, o *callerConn) {
	k := r.call
	r.written++
	r.writtenAt = a.now
	if r.askedAt == 0 && o.asked {
		r.askedAt = a.now
	}
	kind := ReleaseRepeated
	if r.written == 1 {
		kind = ReleaseWritten
		a.releases.Written++
	} else {
		a.releases.Repeated++
	}
	a.out.Record(Record{Kind: kind, CallID: k.callID, Conn: o.conn, Switch: k.far(), Cause: r.cause, Copies: r.written, Waited: a.now - r.cameAt})
	r.on = append(r.on, o.conn)
	o.wrote++
	o.copies = append(o.copies, releaseCopy{release: r, place: o.wrote, at: a.now})
	a.out.Write(o.conn, a.bye(k.callID, k.uri, r.cause))
}

// offerReleases writes releases on a connection about which something new is known: those without a copy on an
// equally good connection, and those whose last copy is too old.
func (a *Agent) offerReleases(o *callerConn) {
	for _, r := range slices.Clone(a.pending.order) {
		most := offersMost
		if o.readAt != 0 {
			most += provedMost
		}
		if r.offered < most && !slices.Contains(r.on, o.conn) && a.needsCopy(r, o) {
			r.offered++
			a.writeCopy(r, o)
		}
	}
}

func (a *Agent) needsCopy(r *pendingRelease, o *callerConn) bool {
	if a.now-r.writtenAt >= copyEvery || !slices.ContainsFunc(r.on, a.callers.asked) {
		return true
	}
	return o.readAt != 0 && !slices.ContainsFunc(r.on, a.callers.proved)
}

// releasesCross rewrites releases that were written on a connection that has ended, perhaps unread.
func (a *Agent) releasesCross(o *callerConn) {
	for _, r := range a.pending.order {
		r.on = slices.DeleteFunc(r.on, func(c Conn) bool { return c == o.conn })
	}
	if !o.asked { // the rounds continue without it; many connections ending at once would use up all copies
		return
	}
	for _, written := range o.copies {
		a.writeCopies(written.release, a.callers.forRelease(written.release, a.now), 1)
	}
}

// confirmed ends the release of a call, as its caller knows that the call is over.
func (a *Agent) confirmed(k *call) {
	r := a.pending.byCall[k.id]
	if r == nil {
		return
	}
	waited := a.now - r.cameAt
	a.releases.Confirmed++
	if waited > tellWithin {
		a.releases.Late++
		a.out.Record(Record{Kind: ReleaseLate, CallID: k.callID, Conn: k.caller, Switch: k.far(), Copies: r.written, Waited: waited})
	}
	a.dropRelease(r)
}

func (a *Agent) giveUpRelease(r *pendingRelease, why string) {
	a.releases.Dropped++
	a.out.Record(Record{Kind: ReleaseDropped, CallID: r.call.callID, Switch: r.call.far(), Copies: r.written, Waited: a.now - r.cameAt, Why: why})
	a.dropRelease(r)
}

func (a *Agent) dropRelease(r *pendingRelease) {
	a.pending.drop(r)
	a.callers.forgetCopies(r)
}

// hasRead handles a proof that a caller has read its connection up to a sequence number. This confirms the
// releases of calls that came on that connection; other callers may have ignored theirs.
func (a *Agent) hasRead(o *callerConn, place uint64) {
	first := o.readAt == 0
	o.read(place, a.now)
	n := 0
	for n < len(o.copies) && o.copies[n].place <= place {
		n++
	}
	proven := slices.Clone(o.copies[:n])
	o.copies = slices.Delete(o.copies, 0, n)
	for _, written := range proven {
		if k := written.release.call; k.caller == o.conn {
			a.confirmed(k)
		}
	}
	if first {
		a.offerReleases(o)
	}
}

// answeredRelease handles a caller's answer to a BYE.
func (a *Agent) answeredRelease(o *callerConn, m *sip.Message) {
	id, err := readID(m.CallID)
	r := a.pending.byCall[id]
	if err != nil || r == nil {
		return
	}
	if i := slices.IndexFunc(o.copies, func(written releaseCopy) bool { return written.release == r }); i >= 0 {
		a.hasRead(o, o.copies[i].place)
	}
	if !m.Rejected() { // a caller that refuses it does not know the call
		a.confirmed(r.call)
	}
}

// acknowledged handles a caller's ACK, which is mandatory after an answer. It proves that the caller has read the
// answer and everything before it on that connection.
func (a *Agent) acknowledged(o *callerConn, m *sip.Message) {
	id, err := readID(m.CallID)
	if k := a.calls[id]; err == nil && k != nil && k.caller == o.conn && k.answerPlace != 0 {
		a.hasRead(o, k.answerPlace)
	}
}

// writeAnswer writes the final answer to a call's set-up.
func (a *Agent) writeAnswer(k *call, m *sip.Message) {
	if o := a.callers.conns[k.caller]; o != nil {
		o.wrote++
		k.answerPlace = o.wrote
		o.answered(o.wrote, a.now)
	}
	a.out.Write(k.caller, m)
}

// forRelease lists the connections without a copy of a release, the most likely to be read first: the call's own
// connection, those on which set-ups came, those that are not suspect, and among equals those that proved to be
// read, or opened, most recently.
func (d *callerConns) forRelease(r *pendingRelease, now policy.Tenths) []*callerConn {
	var open []*callerConn
	for _, c := range slices.Backward(d.order) {
		if !slices.Contains(r.on, c) {
			open = append(open, d.conns[c])
		}
	}
	first := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	}
	own := r.call.caller
	slices.SortStableFunc(open, func(x, y *callerConn) int {
		return cmp.Or(first(x.conn == own, y.conn == own), first(x.asked, y.asked), first(!x.suspect(now), !y.suspect(now)),
			cmp.Compare(y.readAt, x.readAt))
	})
	return open
}
