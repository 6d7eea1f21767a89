package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// lostRepeatDelay is how long after the first message on a later connection messages may still come on
// the silent one, or releases on any, before what the switch wrote on the silent one counts as lost. The platform
// requires callers to be released within 8 s of the end of a call.
const lostRepeatDelay = policy.Tenths(10000)

// lostRepeat is a connection to a switch on which no message ever came. A switch repeats a release once, on the
// next connection that opens, so a release that it repeated on this one may be lost permanently.
type lostRepeat struct {
	conn     ConnID // 0 if there is none
	openedAt policy.Tenths
	closed   bool          // it was closed locally and no message can come on it
	dueAt    policy.Tenths // when its calls count as over, 0 while the switch is silent
}

// suspectLostRepeat records a connection on which a message is overdue, the first of several.
func (rs *remoteSwitch) suspectLostRepeat(link *switchLink) {
	if rs.lostRepeat.conn == 0 && !link.messageSeen {
		rs.lostRepeat = lostRepeat{conn: link.conn, openedAt: link.openedAt}
	}
}

// messageOnLink handles a message on a connection. On a connection that was silent it proves that the switch only
// hung and nothing was lost; on a later connection it starts lostRepeatDelay.
func (rs *remoteSwitch) messageOnLink(link *switchLink, now policy.Tenths) {
	switch suspect := &rs.lostRepeat; {
	case suspect.conn == 0:
	case link.silent || link.conn == suspect.conn || link.openedAt <= suspect.openedAt:
		*suspect = lostRepeat{}
	case suspect.dueAt == 0:
		suspect.dueAt = now + lostRepeatDelay
	}
}

// endLostCalls ends the calls whose release may be lost permanently: they were established before, and
// their own connection is closed. They may still be established, so they are released at the switch as well.
func (a *Agent) endLostCalls(remote *remoteSwitch) {
	suspect := remote.lostRepeat
	if suspect.dueAt == 0 || a.now < suspect.dueAt {
		return
	}
	remote.lostRepeat = lostRepeat{}
	anySilent := slices.ContainsFunc(remote.links, func(link *switchLink) bool { return link.silent })
	if suspect.closed && !anySilent { // it may have been a hang, and no connection is left that would show it
		return
	}
	calls := a.matchingCalls(func(call *trackedCall) bool {
		if !call.isEstablishedAt(remote.entry.ID) || call.establishedAt >= suspect.openedAt {
			return false
		}
		ownLink := remote.findLink(call.lastTry().conn)
		return ownLink == nil || ownLink.silent
	})
	if len(calls) > 0 {
		a.transport.Log(fmt.Sprintf("%d calls established at %s are released: messages on connection %d may be lost", len(calls), board.FormatID(remote.entry.ID), suspect.conn))
	}
	for _, call := range calls {
		a.releaseSwitch(remote.entry.ID, 0, newSwitchRelease(call, causeTemporaryFailure))
		a.releaseCaller(call, causeTemporaryFailure)
		a.endCall(call, policy.Disconnected, noReport)
	}
}
