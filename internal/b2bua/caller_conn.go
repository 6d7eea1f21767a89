package b2bua

import (
	"maps"
	"slices"

	"indigodrift/policy"
)

const (
	// callerMessageTimeout is how long a connection may be open before its first complete message, and how long a
	// message may take to become complete: the platform requires an answer or a close within 3 s.
	callerMessageTimeout = policy.Tenths(20000)

	// callerIdleTimeout is how long a connection may stay without a message while nothing is owed on it. Callers
	// close their connections after 4 s without a call, so one that stays longer is not in use.
	callerIdleTimeout = policy.Tenths(100000)

	// readProofTimeout is how long an expected acknowledgement may be missing before a connection is suspect.
	readProofTimeout = policy.Tenths(3000)
)

// callerConn is one connection of a caller.
type callerConn struct {
	conn          ConnID
	openedAt      policy.Tenths
	lastMessageAt policy.Tenths           // last complete message, 0 before the first
	partialSince  policy.Tenths           // when the message that is being received began, 0 if none
	setUps        map[uint32]*trackedCall // open on it, by handle
	setUpSeen     bool                    // a valid set-up came on it

	// Established calls that came on it: set up here, or announced by its caller.
	ownCalls, announcedCalls int

	// Sequence numbers of the writes on the connection, and how far the caller is known to have read. TCP keeps
	// the order, so an acknowledgement of an answer proves that everything before it was read.
	lastSeq         uint64        // of the last answer or release
	lastProofAt     policy.Tenths // of the last proof that the caller reads, 0 before the first
	lastAnswerSeq   uint64        // of the last answer, which must be acknowledged
	ackPendingSince policy.Tenths // since when an ACK is expected, 0 if none is
	copies          []releaseCopy // not known to be read, in write order
}

// answerWritten records that an answer was written, which the caller must acknowledge.
func (c *callerConn) answerWritten(seq uint64, now policy.Tenths) {
	c.lastAnswerSeq = seq
	if c.ackPendingSince == 0 {
		c.ackPendingSince = now
	}
}

// recordReadProof records a proof that everything up to a sequence number was read.
func (c *callerConn) recordReadProof(seq uint64, now policy.Tenths) {
	c.lastProofAt = now
	if c.ackPendingSince = now; seq >= c.lastAnswerSeq {
		c.ackPendingSince = 0
	}
}

// suspect reports whether the caller may not be reading this connection: an ACK or the answer to a release is
// overdue. It is derived, not stored: it ends with the next proof or when the release is dropped, and it only
// ranks connections.
func (c *callerConn) suspect(now policy.Tenths) bool {
	if c.ackPendingSince != 0 && now-c.ackPendingSince > readProofTimeout {
		return true
	}
	return len(c.copies) > 0 && now-c.copies[0].writtenAt > readProofTimeout
}

// callerConns holds the callers' connections and selects those to close.
type callerConns struct {
	limit int
	conns map[ConnID]*callerConn
	order []ConnID // in the order in which they opened
}

func newCallerConns(limit int) callerConns {
	return callerConns{limit: limit, conns: map[ConnID]*callerConn{}}
}

// setUpEnded records that the set-up of a call is no longer open.
func (cs *callerConns) setUpEnded(call *trackedCall) {
	if caller := cs.conns[call.callerConnID]; caller != nil {
		delete(caller.setUps, call.handle)
	}
}

// countEstablished counts a call that is established, or no longer, for the connection on which it came.
func (cs *callerConns) countEstablished(call *trackedCall, change int) {
	caller := cs.conns[call.callerConnID]
	switch {
	case caller == nil:
	case call.adopted:
		caller.announcedCalls += change
	default:
		caller.ownCalls += change
	}
}

// openSetUps returns the calls whose set-ups are open on the connection, in the order in which they came.
func (c *callerConn) openSetUps() []*trackedCall {
	var calls []*trackedCall
	for _, handle := range slices.Sorted(maps.Keys(c.setUps)) {
		calls = append(calls, c.setUps[handle])
	}
	return calls
}

// setUpSeen reports whether a set-up came on a connection.
func (cs *callerConns) setUpSeen(conn ConnID) bool {
	caller := cs.conns[conn]
	return caller != nil && caller.setUpSeen
}

// readProved reports whether a caller is known to have read anything written on its connection.
func (cs *callerConns) readProved(conn ConnID) bool {
	caller := cs.conns[conn]
	return caller != nil && caller.lastProofAt != 0
}

// forgetCopies removes a finished release from the connections on which it was written. It returns the number of its
// copies there.
func (cs *callerConns) forgetCopies(release *pendingRelease) (copies int) {
	for _, conn := range release.conns {
		if caller := cs.conns[conn]; caller != nil {
			before := len(caller.copies)
			caller.copies = slices.DeleteFunc(caller.copies, func(written releaseCopy) bool { return written.release == release })
			copies += before - len(caller.copies)
		}
	}
	return copies
}

// owes reports whether something is still to be told on the connection: the answer to a set-up, the release of a call that
// is established, or one that was written and not confirmed.
func (c *callerConn) owes() bool {
	return len(c.setUps) > 0 || c.ownCalls > 0 || c.announcedCalls > 0 || len(c.copies) > 0
}

// evictionRank orders the connections by how little is lost when they are closed.
type evictionRank uint8

const (
	rankSilent         evictionRank = iota // no complete message came on it
	rankUnproved                           // nothing is established that came on it, and its caller never proved to read
	rankProved                             // nothing is established that came on it
	rankBusyUnproved                       // as rankUnproved, and a further message of it is not handled yet
	rankAnnouncedCalls                     // only calls are established that its caller announced
	rankOwnCalls                           // calls are established whose set-ups came on it
	rankBusy                               // a further message is not handled yet, on any other connection
	rankKept                               // an answer is owed on it, or its first message is not handled yet
)

// rank returns the rank of the connection for eviction. unhandled reports whether it has sent a message that was not
// passed to the agent yet.
func (c *callerConn) rank(unhandled func(ConnID) bool) evictionRank {
	busy := unhandled(c.conn)
	switch {
	case len(c.setUps) > 0 || busy && c.lastMessageAt == 0:
		return rankKept
	case c.lastMessageAt == 0:
		return rankSilent
	case busy && c.lastProofAt == 0 && c.ownCalls == 0 && c.announcedCalls == 0:
		return rankBusyUnproved
	case busy:
		return rankBusy
	case c.ownCalls > 0:
		return rankOwnCalls
	case c.announcedCalls > 0:
		return rankAnnouncedCalls
	case c.lastProofAt != 0:
		return rankProved
	}
	return rankUnproved
}

// evictionCandidate selects the connection to close when one more would exceed the limit: of those with the lowest rank the
// one that has been quiet longest, the oldest of those that sent nothing. It returns 0 if there is none.
func (cs *callerConns) evictionCandidate(unhandled func(ConnID) bool) ConnID {
	var candidate *callerConn
	lowest := rankKept
	for _, conn := range cs.order {
		caller := cs.conns[conn]
		rank := caller.rank(unhandled)
		if rank < lowest || candidate != nil && rank == lowest && caller.lastMessageAt < candidate.lastMessageAt {
			candidate, lowest = caller, rank
		}
	}
	if candidate == nil {
		return 0
	}
	return candidate.conn
}

// closeReason returns why a connection must be closed, "" if it may stay.
func (c *callerConn) closeReason(silentFor func(policy.Tenths) policy.Tenths) string {
	switch {
	case c.partialSince != 0 && silentFor(c.partialSince) > callerMessageTimeout:
		return "incomplete message"
	case c.lastMessageAt == 0 && silentFor(c.openedAt) > callerMessageTimeout:
		return "no message received"
	case !c.owes() && c.lastMessageAt != 0 && silentFor(c.lastMessageAt) > callerIdleTimeout:
		return "idle"
	}
	return ""
}
