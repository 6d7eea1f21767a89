package b2bua

import (
	"slices"

	"indigodrift/policy"
)

const (
	// wordMost is how long a connection may be open before its first complete message, and how long a message may
	// take to become complete: the platform requires an answer or a close within 3 s.
	wordMost = policy.Tenths(20000)

	// idleMost is how long a connection may stay without a message while no set-up is open on it. Callers close
	// their connections after 4 s without a call, so one that stays longer is not in use.
	idleMost = policy.Tenths(100000)

	// readWithin is how long an expected acknowledgement may be missing before a connection is suspect.
	readWithin = policy.Tenths(3000)
)

// callerConn is one connection of a caller.
type callerConn struct {
	conn    Conn
	openAt  policy.Tenths
	wholeAt policy.Tenths // last complete message, 0 before the first
	partAt  policy.Tenths // when the message that is being received began, 0 if none
	calls   int           // set-ups open on it
	asked   bool          // a valid set-up came on it

	// Sequence numbers of the writes on the connection, and how far the caller is known to have read. TCP keeps
	// the order, so an acknowledgement of an answer proves that everything before it was read.
	wrote      uint64        // of the last answer or release
	readAt     policy.Tenths // of the last proof that the caller reads, 0 before the first
	answerLast uint64        // of the last answer, which must be acknowledged
	answerAt   policy.Tenths // since when an ACK is expected, 0 if none is
	copies     []releaseCopy // not known to be read, in write order
}

// answered records that an answer was written, which the caller must acknowledge.
func (o *callerConn) answered(place uint64, now policy.Tenths) {
	o.answerLast = place
	if o.answerAt == 0 {
		o.answerAt = now
	}
}

// read records a proof that everything up to a sequence number was read.
func (o *callerConn) read(place uint64, now policy.Tenths) {
	o.readAt = now
	if o.answerAt = now; place >= o.answerLast {
		o.answerAt = 0
	}
}

// suspect reports whether the caller may not be reading this connection: an ACK or the answer to a release is
// overdue. It is derived, not stored: it ends with the next proof or when the release is dropped, and it only
// ranks connections.
func (o *callerConn) suspect(now policy.Tenths) bool {
	if o.answerAt != 0 && now-o.answerAt > readWithin {
		return true
	}
	return len(o.copies) > 0 && now-o.copies[0].at > readWithin
}

// callerConns holds the callers' connections and selects those to close.
type callerConns struct {
	most  int
	conns map[Conn]*callerConn
	order []Conn // in the order in which they opened
}

func newCallerConns(most int) callerConns {
	return callerConns{most: most, conns: map[Conn]*callerConn{}}
}

// setUpEnded records that a set-up on a connection is no longer open.
func (d *callerConns) setUpEnded(c Conn) {
	if o := d.conns[c]; o != nil {
		o.calls--
	}
}

// asked reports whether a set-up came on a connection.
func (d *callerConns) asked(c Conn) bool {
	o := d.conns[c]
	return o != nil && o.asked
}

// proved reports whether a caller is known to have read anything written on its connection.
func (d *callerConns) proved(c Conn) bool {
	o := d.conns[c]
	return o != nil && o.readAt != 0
}

// forgetCopies removes a finished release from the connections on which it was written.
func (d *callerConns) forgetCopies(r *pendingRelease) {
	for _, c := range r.on {
		if o := d.conns[c]; o != nil {
			o.copies = slices.DeleteFunc(o.copies, func(written releaseCopy) bool { return written.release == r })
		}
	}
}

// leastNeeded selects the connection to close when one more would exceed the limit: the oldest one without any
// complete message, else the one without an open set-up that has been quiet longest, preferring those whose caller
// never proved to read. It returns 0 if there is none.
func (d *callerConns) leastNeeded() Conn {
	var idle *callerConn
	for _, c := range d.order {
		o := d.conns[c]
		if o.wholeAt == 0 {
			return c
		}
		if o.calls > 0 {
			continue
		}
		proved, idleProved := o.readAt != 0, idle != nil && idle.readAt != 0
		if idle == nil || idleProved && !proved || idleProved == proved && o.wholeAt < idle.wholeAt {
			idle = o
		}
	}
	if idle == nil {
		return 0
	}
	return idle.conn
}

// overdue returns why a connection must be closed, "" if it may stay.
func (o *callerConn) overdue(silentFor func(policy.Tenths) policy.Tenths) string {
	switch {
	case o.partAt != 0 && silentFor(o.partAt) > wordMost:
		return "incomplete message"
	case o.wholeAt == 0 && silentFor(o.openAt) > wordMost:
		return "no message received"
	case o.calls == 0 && o.wholeAt != 0 && silentFor(o.wholeAt) > idleMost:
		return "idle"
	}
	return ""
}
