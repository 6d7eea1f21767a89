package b2bua

import (
	"slices"

	"indigodrift/policy"
)

const (
	// wordMost is how long a connection may be open before it has said anything whole, and how long a message may take to
	// be whole: the platform wants an answer or a close within 3 s.
	wordMost = policy.Tenths(20000)

	// idleMost is how long a connection may stay without a message while no set-up is open on it. Callers close theirs
	// after 4 s without a call; what stays longer is kept for nothing.
	idleMost = policy.Tenths(100000)

	// readWithin is how long what must be answered may go unanswered until a connection is suspect.
	readWithin = policy.Tenths(3000)
)

// callerConn is one connection of a caller.
type callerConn struct {
	conn    Conn
	openAt  policy.Tenths
	wholeAt policy.Tenths // last whole message, 0 when none came yet
	partAt  policy.Tenths // since when a message lies half read, 0 when none does
	calls   int           // set-ups open on it
	asked   bool          // a set-up that could be read came on it

	// What was written on it in its order, and how far the far end is known to have read: TCP keeps the order, so whoever
	// acknowledges an answer has read all that went before.
	wrote      uint64        // the place of the last answer or release
	readAt     policy.Tenths // of the last proof, 0 when none came yet
	answerLast uint64        // the place of the last answer, which must be acknowledged
	answerAt   policy.Tenths // since when an ACK is owed, 0 when none is
	copies     []releaseCopy // not known to be read, in their order
}

// answered notes that an answer was written, to which an ACK must come.
func (o *callerConn) answered(place uint64, now policy.Tenths) {
	o.answerLast = place
	if o.answerAt == 0 {
		o.answerAt = now
	}
}

// read notes a proof that all up to a place was read.
func (o *callerConn) read(place uint64, now policy.Tenths) {
	o.readAt = now
	if o.answerAt = now; place >= o.answerLast {
		o.answerAt = 0
	}
}

// suspect tells that nobody may read this connection: an ACK or the answer to a release has been missing for long. It is no state: it ends
// with the next proof, or when what is missing is given up, and only says which of several connections is the better choice.
func (o *callerConn) suspect(now policy.Tenths) bool {
	if o.answerAt != 0 && now-o.answerAt > readWithin {
		return true
	}
	return len(o.copies) > 0 && now-o.copies[0].at > readWithin
}

// callerConns keeps callers' connections and says which must go.
type callerConns struct {
	most  int
	conns map[Conn]*callerConn
	order []Conn // as they opened
}

func newCallerConns(most int) callerConns {
	return callerConns{most: most, conns: map[Conn]*callerConn{}}
}

// setUpEnded notes that a set-up is open no more on a connection.
func (d *callerConns) setUpEnded(c Conn) {
	if o := d.conns[c]; o != nil {
		o.calls--
	}
}

// asked tells that a set-up came on a connection.
func (d *callerConns) asked(c Conn) bool {
	o := d.conns[c]
	return o != nil && o.asked
}

// proved tells that the far end of a connection is known to have read what was written on it.
func (d *callerConns) proved(c Conn) bool {
	o := d.conns[c]
	return o != nil && o.readAt != 0
}

// forgetCopies takes a release that is settled off the connections that bear it.
func (d *callerConns) forgetCopies(r *pendingRelease) {
	for _, c := range r.on {
		if o := d.conns[c]; o != nil {
			o.copies = slices.DeleteFunc(o.copies, func(written releaseCopy) bool { return written.release == r })
		}
	}
}

// leastNeeded tells which connection must go where one more would be too many: one that said nothing whole yet, the oldest of
// them, else, of those without an open set-up, the one that has been quiet longest, those that proved to read last; else none.
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

// overdue tells why a connection must go by itself, "" when it may stay.
func (o *callerConn) overdue(silentFor func(policy.Tenths) policy.Tenths) string {
	switch {
	case o.partAt != 0 && silentFor(o.partAt) > wordMost:
		return "half a message and no more"
	case o.wholeAt == 0 && silentFor(o.openAt) > wordMost:
		return "nothing said"
	case o.calls == 0 && o.wholeAt != 0 && silentFor(o.wholeAt) > idleMost:
		return "idle"
	}
	return ""
}
