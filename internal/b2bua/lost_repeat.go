package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// repeatWait is how long after the first word on a later connection the one before may still speak, or releases may still come, until what was
// written on that is taken as lost. The platform wants callers told within 8 s of the end of a call.
const repeatWait = policy.Tenths(10000)

// lostRepeat is a connection to a switch that came up and never said a word. A switch repeats a release once, on the next connection that opens: what
// it repeated on this one may be lost for good.
type lostRepeat struct {
	conn   Conn // 0 when there is none
	openAt policy.Tenths
	closed bool          // it was closed here, so that it cannot speak any more
	dueAt  policy.Tenths // when its calls are taken as over, 0 while the switch says nothing
}

// suspectRepeat notes a connection that should have spoken by now, the first of several.
func (f *farEnd) suspectRepeat(l *link) {
	if f.lostRepeat.conn == 0 && !l.heard {
		f.lostRepeat = lostRepeat{conn: l.conn, openAt: l.openAt}
	}
}

// spoke takes a word of the switch on a connection. If it comes on one that had fallen silent, the switch has hung and nothing was lost; on one that
// opened later, the earlier one is given some time to speak.
func (f *farEnd) spoke(l *link, now policy.Tenths) {
	switch r := &f.lostRepeat; {
	case r.conn == 0:
	case l.silent || l.conn == r.conn || l.openAt <= r.openAt:
		*r = lostRepeat{}
	case r.dueAt == 0:
		r.dueAt = now + repeatWait
	}
}

// repeatDue ends the calls whose release may have been lost for good: they stood before, and their own connection is not open. They may stand
// still, so their switch is told as well.
func (a *Agent) repeatDue(f *farEnd) {
	r := f.lostRepeat
	if r.dueAt == 0 || a.now < r.dueAt {
		return
	}
	f.lostRepeat = lostRepeat{}
	silent := slices.ContainsFunc(f.links, func(l *link) bool { return l.silent })
	if r.closed && !silent { // it may have been a hang: no connection is left that would tell
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
		a.out.Note(fmt.Sprintf("%d calls that stood at %s are released: what it wrote on connection %d is lost", len(ended), board.Text(f.entry.ID), r.conn))
	}
	for _, k := range ended {
		a.releaseSwitch(f.entry.ID, 0, a.bye(k.callID, k.uri, causeTempFail))
		a.releaseCaller(k, causeTempFail)
		a.ended(k, policy.Cut, untold)
	}
}
