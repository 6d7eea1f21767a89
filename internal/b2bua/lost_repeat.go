package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// repeatWait is how long after the first message on a later connection the silent one may still speak, or releases
// may still come, before what the switch wrote on the silent one counts as lost. The platform requires callers to
// be released within 8 s of the end of a call.
const repeatWait = policy.Tenths(10000)

// lostRepeat is a connection to a switch on which no message ever came. A switch repeats a release once, on the
// next connection that opens, so a release that it repeated on this one may be lost for good.
type lostRepeat struct {
	conn   Conn // 0 if there is none
	openAt policy.Tenths
	closed bool          // it was closed locally and no message can come on it
	dueAt  policy.Tenths // when its calls count as over, 0 while the switch is silent
}

// suspectRepeat records a connection on which a message is overdue, the first of several.
func (f *farEnd) suspectRepeat(l *link) {
	if f.lostRepeat.conn == 0 && !l.heard {
		f.lostRepeat = lostRepeat{conn: l.conn, openAt: l.openAt}
	}
}

// spoke handles a message on a connection. On a connection that was silent it proves that the switch only hung and
// nothing was lost; on a later connection it starts the time within which the silent one may still speak.
func (f *farEnd) spoke(l *link, now policy.Tenths) {
	switch r := &f.lostRepeat; {
	case r.conn == 0:
	case l.silent || l.conn == r.conn || l.openAt <= r.openAt:
		*r = lostRepeat{}
	case r.dueAt == 0:
		r.dueAt = now + repeatWait
	}
}

// repeatDue ends the calls whose release may be lost for good: they were established before, and their own
// connection is closed. They may still be established, so they are released at the switch as well.
func (a *Agent) repeatDue(f *farEnd) {
	r := f.lostRepeat
	if r.dueAt == 0 || a.now < r.dueAt {
		return
	}
	f.lostRepeat = lostRepeat{}
	silent := slices.ContainsFunc(f.links, func(l *link) bool { return l.silent })
	if r.closed && !silent { // it may have been a hang, and no connection is left that would show it
		return
	}
	ended := a.inOrder(func(k *call) bool {
		if !k.standsAt(f.entry.ID) || k.stoodAt >= r.openAt {
			return false
		}
		own := f.link(k.last().conn)
		return own == nil || own.silent
	})
	if len(ended) > 0 {
		a.out.Note(fmt.Sprintf("%d calls established at %s are released: messages on connection %d may be lost", len(ended), board.FormatID(f.entry.ID), r.conn))
	}
	for _, k := range ended {
		a.releaseSwitch(f.entry.ID, 0, a.bye(k.callID, k.uri, causeTempFail))
		a.releaseCaller(k, causeTempFail)
		a.ended(k, policy.Disconnected, untold)
	}
}
