package b2bua

import (
	"cmp"
	"slices"

	"indigodrift/internal/due"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

const (
	// callerReleaseLimit is the time that the platform allows from a switch's release to the release to the caller.
	callerReleaseLimit = policy.Tenths(10000)

	// releaseRoundInterval is how long a release waits for its confirmation before it is written on further connections. Each
	// round doubles the number of copies, so that callers who do not read cannot use up callerReleaseLimit.
	releaseRoundInterval      = policy.Tenths(2000)
	fastRounds                = 5                     // rounds within callerReleaseLimit
	slowRoundInterval         = policy.Tenths(10000)  // interval of later rounds
	maxCopiesPerRound         = 8                     // copies in one round
	maxRoundCopies            = 32                    // per release, in rounds and when connections end
	maxOfferedCopies          = 32                    // further copies, on connections that send set-ups later
	maxProvedCopies           = 64                    // and on connections whose callers prove to read
	writtenReleaseRetention   = policy.Tenths(100000) // retention of a release after its first copy on a connection with set-ups
	unwrittenReleaseRetention = policy.Tenths(600000) // and after its arrival, while there is no such connection

	// stallReadDelay is how long answers may lie unread after a stall of this process. It postpones a round once.
	stallReadDelay = policy.Tenths(500)

	maxCallerReleases = 4096 // unconfirmed releases; beyond this the oldest is dropped
)

// pendingRelease is the release of a call towards its caller. It exists from the end of the call until the caller
// is known to have read the release, or the release is dropped. Its next round is always scheduled, whatever
// happens to connections.
type pendingRelease struct {
	call             *trackedCall
	cause            int
	receivedAt       policy.Tenths
	nextRoundAt      policy.Tenths
	lastCopyAt       policy.Tenths // last copy
	rounds           int
	copies           int           // copies in total
	roundCopies      int           // of these, in rounds and when connections ended
	offeredCopies    int           // and on connections that came or proved to be read
	firstSetUpConnAt policy.Tenths // first copy on a connection on which a set-up came, 0 before
	conns            []ConnID      // open connections with a copy
	postponed        bool          // the round has been postponed for a stall
	waitLogged       bool          // the lack of connections has been logged
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

func (q *releaseQueue) remove(r *pendingRelease) {
	if i := slices.Index(q.order, r); i >= 0 {
		q.order = slices.Delete(q.order, i, i+1)
	}
	delete(q.byCall, r.call.id)
}

// releaseCopy is a copy of a release written on a connection.
type releaseCopy struct {
	release   *pendingRelease
	seq       uint64 // its sequence number on that connection
	writtenAt policy.Tenths
}

// releaseCaller releases a call towards its caller.
func (a *Agent) releaseCaller(k *trackedCall, why int) {
	if k.callerNotified { // the caller knows already that the call is over
		return
	}
	if before := a.callerReleases.byCall[k.id]; before != nil {
		a.callerReleases.remove(before)
		a.callers.forgetCopies(before)
	}
	if len(a.callerReleases.order) >= maxCallerReleases {
		a.dropRelease(a.callerReleases.order[0], "too many unconfirmed releases")
	}
	k.callerNotified = true
	r := &pendingRelease{call: k, cause: max(why, 0), receivedAt: a.now}
	a.callerReleases.add(r)
	a.writeRound(r)
}

// releaseRoundDue writes the next round of an unconfirmed release.
func (a *Agent) releaseRoundDue(d due.Item) {
	r := a.callerReleases.byCall[d.Token]
	if r == nil || r.nextRoundAt != d.At {
		return
	}
	k := r.call
	if until := a.silence.stallEndedAt + stallReadDelay; a.silence.stallEndedAt != 0 && a.now < until && !r.postponed {
		r.postponed = true
		a.scheduleRound(r, until)
		return
	}
	waited := a.now - r.receivedAt
	if r.copies > 0 {
		a.releaseCounts.Unanswered++
		a.transport.Record(Record{Kind: ReleaseUnanswered, CallID: k.callID, Conn: k.caller, Switch: k.lastSwitch(), Copies: r.copies, Waited: waited})
	}
	switch {
	case r.firstSetUpConnAt != 0 && a.now-r.firstSetUpConnAt >= writtenReleaseRetention:
		a.dropRelease(r, "not confirmed by any caller")
	case r.firstSetUpConnAt == 0 && waited >= unwrittenReleaseRetention:
		a.dropRelease(r, "no caller connected")
	default:
		a.writeRound(r)
	}
}

// writeRound writes copies of a release on the connections most likely to be read, and schedules the next round.
// If the best connection is suspect, the second best gets a copy in the first round.
func (a *Agent) writeRound(r *pendingRelease) {
	copies := min(1<<max(0, r.rounds-1), maxCopiesPerRound)
	candidates := a.callers.releaseCandidates(r, a.now)
	if r.rounds == 0 && len(candidates) > 0 && candidates[0].suspect(a.now) {
		copies++
	}
	a.writeCopies(r, candidates, copies)
	if r.copies > 0 {
		r.rounds++
	}
	wait := releaseRoundInterval
	if r.rounds >= fastRounds || a.now-r.receivedAt >= callerReleaseLimit {
		wait = slowRoundInterval
	}
	a.scheduleRound(r, a.now+wait)
}

func (a *Agent) scheduleRound(r *pendingRelease, at policy.Tenths) {
	r.nextRoundAt = at
	a.timers.Set(at, timerReleaseRound, r.call.id)
}

// writeCopies writes a release on the first candidates.
func (a *Agent) writeCopies(r *pendingRelease, candidates []*callerConn, copies int) {
	if len(candidates) == 0 && r.copies == 0 && !r.waitLogged {
		r.waitLogged = true
		a.transport.Record(Record{Kind: ReleasePending, CallID: r.call.callID, Switch: r.call.lastSwitch(), Reason: "no open caller connection"})
	}
	copies = min(copies, len(candidates), maxRoundCopies-r.roundCopies)
	for _, o := range candidates[:max(0, copies)] {
		r.roundCopies++
		a.writeCopy(r, o)
	}
}

func (a *Agent) writeCopy(r *pendingRelease, o *callerConn) {
	k := r.call
	r.copies++
	r.lastCopyAt = a.now
	if r.firstSetUpConnAt == 0 && o.setUpSeen {
		r.firstSetUpConnAt = a.now
	}
	kind := ReleaseRepeated
	if r.copies == 1 {
		kind = ReleaseWritten
		a.releaseCounts.Written++
	} else {
		a.releaseCounts.Repeated++
	}
	a.transport.Record(Record{Kind: kind, CallID: k.callID, Conn: o.conn, Switch: k.lastSwitch(), Cause: r.cause, Copies: r.copies, Waited: a.now - r.receivedAt})
	r.conns = append(r.conns, o.conn)
	o.lastSeq++
	o.copies = append(o.copies, releaseCopy{release: r, seq: o.lastSeq, writtenAt: a.now})
	a.transport.Write(o.conn, a.newRelease(k.callID, k.uri, r.cause))
}

// offerReleases writes releases on a connection about which something new is known: those without a copy on an
// equally good connection, and those whose last copy is too old.
func (a *Agent) offerReleases(o *callerConn) {
	for _, r := range slices.Clone(a.callerReleases.order) {
		most := maxOfferedCopies
		if o.lastProofAt != 0 {
			most += maxProvedCopies
		}
		if r.offeredCopies < most && !slices.Contains(r.conns, o.conn) && a.needsCopy(r, o) {
			r.offeredCopies++
			a.writeCopy(r, o)
		}
	}
}

func (a *Agent) needsCopy(r *pendingRelease, o *callerConn) bool {
	if a.now-r.lastCopyAt >= releaseRoundInterval || !slices.ContainsFunc(r.conns, a.callers.setUpSeen) {
		return true
	}
	return o.lastProofAt != 0 && !slices.ContainsFunc(r.conns, a.callers.readProved)
}

// rewriteReleases rewrites releases that were written on a connection that has ended, perhaps unread.
func (a *Agent) rewriteReleases(o *callerConn) {
	for _, r := range a.callerReleases.order {
		r.conns = slices.DeleteFunc(r.conns, func(c ConnID) bool { return c == o.conn })
	}
	if !o.setUpSeen { // the rounds continue without it; many connections ending at once would use up all copies
		return
	}
	for _, written := range o.copies {
		a.writeCopies(written.release, a.callers.releaseCandidates(written.release, a.now), 1)
	}
}

// confirmRelease ends the release of a call, as its caller knows that the call is over.
func (a *Agent) confirmRelease(k *trackedCall) {
	r := a.callerReleases.byCall[k.id]
	if r == nil {
		return
	}
	waited := a.now - r.receivedAt
	a.releaseCounts.Confirmed++
	if waited > callerReleaseLimit {
		a.releaseCounts.Late++
		a.transport.Record(Record{Kind: ReleaseLate, CallID: k.callID, Conn: k.caller, Switch: k.lastSwitch(), Copies: r.copies, Waited: waited})
	}
	a.removeRelease(r)
}

func (a *Agent) dropRelease(r *pendingRelease, why string) {
	a.releaseCounts.Dropped++
	a.transport.Record(Record{Kind: ReleaseDropped, CallID: r.call.callID, Switch: r.call.lastSwitch(), Copies: r.copies, Waited: a.now - r.receivedAt, Reason: why})
	a.removeRelease(r)
}

func (a *Agent) removeRelease(r *pendingRelease) {
	a.callerReleases.remove(r)
	a.callers.forgetCopies(r)
}

// handleReadProof handles a proof that a caller has read its connection up to a sequence number. This confirms the
// releases of calls that came on that connection; other callers may have ignored theirs.
func (a *Agent) handleReadProof(o *callerConn, place uint64) {
	first := o.lastProofAt == 0
	o.proveRead(place, a.now)
	n := 0
	for n < len(o.copies) && o.copies[n].seq <= place {
		n++
	}
	proven := slices.Clone(o.copies[:n])
	o.copies = slices.Delete(o.copies, 0, n)
	for _, written := range proven {
		if k := written.release.call; k.caller == o.conn {
			a.confirmRelease(k)
		}
	}
	if first {
		a.offerReleases(o)
	}
}

// handleReleaseAnswer handles a caller's answer to a BYE.
func (a *Agent) handleReleaseAnswer(o *callerConn, m *sip.Message) {
	id, err := parseID(m.CallID)
	r := a.callerReleases.byCall[id]
	if err != nil || r == nil {
		return
	}
	if i := slices.IndexFunc(o.copies, func(written releaseCopy) bool { return written.release == r }); i >= 0 {
		a.handleReadProof(o, o.copies[i].seq)
	}
	if !m.Rejected() { // a caller that refuses it does not know the call
		a.confirmRelease(r.call)
	}
}

// handleAck handles a caller's ACK, which is mandatory after an answer. It proves that the caller has read the
// answer and everything before it on that connection.
func (a *Agent) handleAck(o *callerConn, m *sip.Message) {
	id, err := parseID(m.CallID)
	if k := a.calls[id]; err == nil && k != nil && k.caller == o.conn && k.answerSeq != 0 {
		a.handleReadProof(o, k.answerSeq)
	}
}

// writeAnswer writes the final answer to a call's set-up.
func (a *Agent) writeAnswer(k *trackedCall, m *sip.Message) {
	if o := a.callers.conns[k.caller]; o != nil {
		o.lastSeq++
		k.answerSeq = o.lastSeq
		o.answerWritten(o.lastSeq, a.now)
	}
	a.transport.Write(k.caller, m)
}

// releaseCandidates lists the connections without a copy of a release, the most likely to be read first: the call's own
// connection, those on which set-ups came, those that are not suspect, and among equals those that proved to be
// read, or opened, most recently.
func (d *callerConns) releaseCandidates(r *pendingRelease, now policy.Tenths) []*callerConn {
	var open []*callerConn
	for _, c := range slices.Backward(d.order) {
		if !slices.Contains(r.conns, c) {
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
		return cmp.Or(first(x.conn == own, y.conn == own), first(x.setUpSeen, y.setUpSeen), first(!x.suspect(now), !y.suspect(now)),
			cmp.Compare(y.lastProofAt, x.lastProofAt))
	})
	return open
}
