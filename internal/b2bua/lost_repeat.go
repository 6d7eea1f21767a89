package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// lostRepeatDelay is how long after the first message on a later connection the silent one may still speak, or releases
// may still come, before what the switch wrote on the silent one counts as lost. The platform requires callers to
// be released within 8 s of the end of a call.
const lostRepeatDelay = policy.Tenths(10000)

// lostRepeat is a connection to a switch on which no message ever came. A switch repeats a release once, on the
// next connection that opens, so a release that it repeated on this one may be lost for good.
type lostRepeat struct {
	conn     ConnID // 0 if there is none
	openedAt policy.Tenths
	closed   bool          // it was closed locally and no message can come on it
	dueAt    policy.Tenths // when its calls count as over, 0 while the switch is silent
}

// suspectLostRepeat records a connection on which a message is overdue, the first of several.
func (f *remoteSwitch) suspectLostRepeat(l *switchLink) {
	if f.lostRepeat.conn == 0 && !l.messageSeen {
		f.lostRepeat = lostRepeat{conn: l.conn, openedAt: l.openedAt}
	}
}

// messageOnLink handles a message on a connection. On a connection that was silent it proves that the switch only hung and
// nothing was lost; on a later connection it starts the time within which the silent one may still speak.
func (f *remoteSwitch) messageOnLink(l *switchLink, now policy.Tenths) {
	switch r := &f.lostRepeat; {
	case r.conn == 0:
	case l.silent || l.conn == r.conn || l.openedAt <= r.openedAt:
		*r = lostRepeat{}
	case r.dueAt == 0:
		r.dueAt = now + lostRepeatDelay
	}
}

// endLostCalls ends the calls whose release may be lost for good: they were established before, and their own
// connection is closed. They may still be established, so they are released at the switch as well.
func (a *Agent) endLostCalls(f *remoteSwitch) {
	r := f.lostRepeat
	if r.dueAt == 0 || a.now < r.dueAt {
		return
	}
	f.lostRepeat = lostRepeat{}
	silent := slices.ContainsFunc(f.links, func(l *switchLink) bool { return l.silent })
	if r.closed && !silent { // it may have been a hang, and no connection is left that would show it
		return
	}
	ended := a.matchingCalls(func(k *trackedCall) bool {
		if !k.isEstablishedAt(f.entry.ID) || k.establishedAt >= r.openedAt {
			return false
		}
		own := f.findLink(k.lastTry().conn)
		return own == nil || own.silent
	})
	if len(ended) > 0 {
		a.transport.Note(fmt.Sprintf("%d calls established at %s are released: messages on connection %d may be lost", len(ended), board.FormatID(f.entry.ID), r.conn))
	}
	for _, k := range ended {
		a.releaseSwitch(f.entry.ID, 0, a.newRelease(k.callID, k.uri, causeTemporaryFailure))
		a.releaseCaller(k, causeTemporaryFailure)
		a.reportEnded(k, policy.Disconnected, noReport)
	}
}
