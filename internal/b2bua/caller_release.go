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

	// releaseRoundInterval is how long a release waits for its confirmation before it is written on further
	// connections. Each round doubles the number of copies, so that connections that are not read,
	// however many, delay it by no more than callerReleaseLimit.
	releaseRoundInterval      = policy.Tenths(2000)
	fastRounds                = 5                    // rounds within callerReleaseLimit
	slowRoundInterval         = policy.Tenths(10000) // of later rounds
	maxCopiesPerRound         = 8
	writtenReleaseRetention   = policy.Tenths(100000) // retention of a release after its first copy on a connection with set-ups
	unwrittenReleaseRetention = policy.Tenths(600000) // and after its arrival, while there is no such connection

	// stallReadDelay is how long answers may lie unread after a stall of this process. It postpones a round once.
	stallReadDelay = policy.Tenths(500)

	// announcedOwnSpan is how long the release of a call that was merely announced goes to the connection of the announcement
	// alone, if that is open.
	announcedOwnSpan = 2 * releaseRoundInterval
)

// releaseCopy is a copy of a release written on a connection.
type releaseCopy struct {
	release   *pendingRelease
	seq       uint64 // its sequence number on that connection
	writtenAt policy.Tenths
}

// releaseCaller releases a call towards its caller.
func (a *Agent) releaseCaller(call *trackedCall, cause int) {
	if call.callerNotified { // the caller knows already that the call is over
		return
	}
	if before := a.callerReleases.byCall[call.id]; before != nil {
		a.removeRelease(before)
	}
	call.callerNotified = true
	release := newPendingRelease(call, cause, a.now)
	excess := a.callerReleases.add(release)
	a.writeRound(release)
	for _, dropped := range excess {
		a.dropRelease(dropped, "too many unconfirmed releases")
	}
}

// mayWrite reports whether a copy of a release may be written on a connection.
func (a *Agent) mayWrite(release *pendingRelease, caller *callerConn) bool {
	limits := release.limits()
	if release.copies > 0 && a.callerReleases.copies[release.class] >= limits.copies {
		return false
	}
	return a.transport.Backlog(caller.conn) <= limits.backlog
}

// releaseRoundDue writes the next round of an unconfirmed release.
func (a *Agent) releaseRoundDue(item due.Item) {
	release := a.callerReleases.byCall[item.Token]
	if release == nil {
		return
	}
	call := release.call
	if until := a.silence.stallEndedAt + stallReadDelay; a.silence.stallEndedAt != 0 && a.now < until && !release.postponed {
		release.postponed = true
		a.scheduleRound(release, until)
		return
	}
	waited := a.now - release.receivedAt
	if release.copies > 0 {
		a.releaseCounts.Unanswered++
		a.transport.Record(Record{Kind: ReleaseUnanswered, CallID: call.callID, Conn: call.callerConnID, Switch: call.lastSwitch(), Copies: release.copies, Waited: waited})
	}
	switch {
	case release.firstSetUpConnAt != 0 && a.now-release.firstSetUpConnAt >= writtenReleaseRetention:
		a.dropRelease(release, "not confirmed by any caller")
	case release.firstSetUpConnAt == 0 && waited >= unwrittenReleaseRetention:
		a.dropRelease(release, "no caller connected")
	default:
		a.writeRound(release)
	}
}

// writeRound writes copies of a release on the connections most likely to be read, and schedules the next round.
// If the best connection is suspect, the second best gets a copy in the first round.
func (a *Agent) writeRound(release *pendingRelease) {
	copies := min(1<<max(0, release.rounds-1), maxCopiesPerRound)
	candidates := a.callers.releaseCandidates(release, a.now)
	if release.rounds == 0 && len(candidates) > 0 && candidates[0].suspect(a.now) {
		copies++
	}
	if release.class == releaseOfAnnounced && a.now-release.receivedAt < announcedOwnSpan && len(candidates) > 0 && candidates[0].conn == release.call.callerConnID {
		candidates = candidates[:1]
	}
	a.writeCopies(release, candidates, copies)
	if release.copies > 0 {
		release.rounds++
	}
	wait := releaseRoundInterval
	if release.rounds >= fastRounds || a.now-release.receivedAt >= callerReleaseLimit {
		wait = slowRoundInterval
	}
	a.scheduleRound(release, a.now+wait)
}

// scheduleRound sets the time of the next round of a release.
func (a *Agent) scheduleRound(release *pendingRelease, at policy.Tenths) {
	a.timers.Stop(release.roundTimer)
	release.roundTimer = a.timers.Set(at, timerReleaseRound, release.call.id)
}

// writeCopies writes a release on the first candidates.
func (a *Agent) writeCopies(release *pendingRelease, candidates []*callerConn, copies int) {
	if len(candidates) == 0 && release.copies == 0 && !release.waitLogged {
		release.waitLogged = true
		a.transport.Record(Record{Kind: ReleasePending, CallID: release.call.callID, Switch: release.call.lastSwitch(), Reason: "no open caller connection"})
	}
	copies = min(copies, release.limits().rounds-release.roundCopies)
	for _, caller := range candidates {
		if copies <= 0 {
			return
		}
		if a.mayWrite(release, caller) {
			copies--
			release.roundCopies++
			a.writeCopy(release, caller)
		}
	}
}

func (a *Agent) writeCopy(release *pendingRelease, caller *callerConn) {
	call := release.call
	release.copies++
	release.lastCopyAt = a.now
	if release.firstSetUpConnAt == 0 && caller.setUpSeen {
		release.firstSetUpConnAt = a.now
	}
	kind := ReleaseRepeated
	if release.copies == 1 {
		kind = ReleaseWritten
		a.releaseCounts.Written++
	} else {
		a.releaseCounts.Repeated++
	}
	a.transport.Record(Record{Kind: kind, CallID: call.callID, Conn: caller.conn, Switch: call.lastSwitch(), Cause: release.cause, Copies: release.copies, Waited: a.now - release.receivedAt})
	release.conns = append(release.conns, caller.conn)
	a.callerReleases.copies[release.class]++
	caller.lastSeq++
	caller.copies = append(caller.copies, releaseCopy{release: release, seq: caller.lastSeq, writtenAt: a.now})
	a.transport.Write(caller.conn, a.newRelease(call.callID, call.uri, release.cause))
}

// offerReleases writes releases on a connection about which something new is known: those without a copy on an
// equally good connection, and those whose last copy is too old.
func (a *Agent) offerReleases(caller *callerConn) {
	for release := range a.callerReleases.all() {
		offered := release.mayOffer(caller.lastProofAt != 0) && a.needsCopy(release, caller) && !slices.Contains(release.conns, caller.conn)
		if offered && a.mayWrite(release, caller) {
			release.offeredCopies++
			a.writeCopy(release, caller)
		}
	}
}

// needsCopy reports whether a release should also be written on a connection: its last copy is too old, or its copies
// are only on connections that are less likely to be read.
func (a *Agent) needsCopy(release *pendingRelease, caller *callerConn) bool {
	if a.now-release.lastCopyAt >= releaseRoundInterval || !slices.ContainsFunc(release.conns, a.callers.setUpSeen) {
		return true
	}
	return caller.lastProofAt != 0 && !slices.ContainsFunc(release.conns, a.callers.readProved)
}

// rewriteReleases rewrites releases that were written on a connection that has ended, perhaps unread.
func (a *Agent) rewriteReleases(caller *callerConn) {
	for _, written := range caller.copies {
		release := written.release
		release.conns = slices.DeleteFunc(release.conns, func(conn ConnID) bool { return conn == caller.conn })
		a.callerReleases.copies[release.class]--
	}
	if !caller.setUpSeen { // the rounds continue without it; many connections ending at once would use up all copies
		return
	}
	for _, written := range caller.copies {
		a.writeCopies(written.release, a.callers.releaseCandidates(written.release, a.now), 1)
	}
}

// confirmRelease ends the release of a call, as its caller knows that the call is over.
func (a *Agent) confirmRelease(call *trackedCall) {
	release := a.callerReleases.byCall[call.id]
	if release == nil {
		return
	}
	waited := a.now - release.receivedAt
	a.releaseCounts.Confirmed++
	if waited > callerReleaseLimit {
		a.releaseCounts.Late++
		a.transport.Record(Record{Kind: ReleaseLate, CallID: call.callID, Conn: call.callerConnID, Switch: call.lastSwitch(), Copies: release.copies, Waited: waited})
	}
	a.removeRelease(release)
}

// dropRelease gives up an unconfirmed release.
func (a *Agent) dropRelease(release *pendingRelease, reason string) {
	a.releaseCounts.Dropped++
	a.transport.Record(Record{Kind: ReleaseDropped, CallID: release.call.callID, Switch: release.call.lastSwitch(), Copies: release.copies, Waited: a.now - release.receivedAt, Reason: reason})
	a.removeRelease(release)
}

func (a *Agent) removeRelease(release *pendingRelease) {
	a.timers.Stop(release.roundTimer)
	a.callerReleases.remove(release)
	a.callerReleases.copies[release.class] -= a.callers.forgetCopies(release)
}

// handleReadProof handles a proof that a caller has read its connection up to a sequence number. This confirms the
// releases of calls that came on that connection; other callers may have ignored theirs.
func (a *Agent) handleReadProof(caller *callerConn, seq uint64) {
	firstProof := caller.lastProofAt == 0
	caller.recordReadProof(seq, a.now)
	n := 0
	for n < len(caller.copies) && caller.copies[n].seq <= seq {
		n++
	}
	readCopies := slices.Clone(caller.copies[:n])
	caller.copies = slices.Delete(caller.copies, 0, n)
	for _, written := range readCopies {
		a.callerReleases.copies[written.release.class]--
		if call := written.release.call; call.callerConnID == caller.conn {
			a.confirmRelease(call)
		}
	}
	if firstProof {
		a.offerReleases(caller)
	}
}

// handleReleaseAnswer handles a caller's answer to a BYE.
func (a *Agent) handleReleaseAnswer(caller *callerConn, msg *sip.Message) {
	id, err := parseID(msg.CallID)
	release := a.callerReleases.byCall[id]
	if err != nil || release == nil {
		return
	}
	if i := slices.IndexFunc(caller.copies, func(written releaseCopy) bool { return written.release == release }); i >= 0 {
		a.handleReadProof(caller, caller.copies[i].seq)
	}
	if !msg.Rejected() { // a caller that refuses it does not know the call
		a.confirmRelease(release.call)
	}
}

// handleAck handles a caller's ACK, which is mandatory after an answer. It proves that the caller has read the
// answer and everything before it on that connection.
func (a *Agent) handleAck(caller *callerConn, msg *sip.Message) {
	id, err := parseID(msg.CallID)
	if call := a.calls[id]; err == nil && call != nil && call.callerConnID == caller.conn && call.answerSeq != 0 {
		a.handleReadProof(caller, call.answerSeq)
	}
}

// writeAnswer writes the final answer to a call's set-up.
func (a *Agent) writeAnswer(call *trackedCall, msg *sip.Message) {
	if caller := a.callers.conns[call.callerConnID]; caller != nil {
		caller.lastSeq++
		call.answerSeq = caller.lastSeq
		caller.answerWritten(caller.lastSeq, a.now)
	}
	a.transport.Write(call.callerConnID, msg)
}

// releaseCandidates lists the connections without a copy of a release, the most likely to be read first: the call's own
// connection, those on which set-ups came, those that are not suspect, and among equals those that proved to be
// read, or opened, most recently.
func (cs *callerConns) releaseCandidates(release *pendingRelease, now policy.Tenths) []*callerConn {
	var candidates []*callerConn
	for _, conn := range slices.Backward(cs.order) {
		if !slices.Contains(release.conns, conn) {
			candidates = append(candidates, cs.conns[conn])
		}
	}
	trueFirst := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	}
	ownConn := release.call.callerConnID
	slices.SortStableFunc(candidates, func(x, y *callerConn) int {
		return cmp.Or(trueFirst(x.conn == ownConn, y.conn == ownConn), trueFirst(x.setUpSeen, y.setUpSeen), trueFirst(!x.suspect(now), !y.suspect(now)),
			cmp.Compare(y.lastProofAt, x.lastProofAt))
	})
	return candidates
}
