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

// lostRepeat is a connection to a switch of which it is not known that what the switch wrote as it opened was read. A
// switch repeats a release once, on the next connection that opens, so a release that it repeated on this one may be
// lost permanently. Of several such connections the last one counts, as it covers the most calls.
type lostRepeat struct {
	conn     ConnID        // 0 if there is none, or if it was reset before it could be used
	openedAt policy.Tenths // 0 if there is none
	ended    bool          // no message can come on it any more; otherwise it is silent
	dueAt    policy.Tenths // when its calls count as over, 0 while the switch is silent
}

// suspectLostRepeat records a connection on which a message is overdue, the first of several.
func (a *Agent) suspectLostRepeat(remote *remoteSwitch, link *switchLink) {
	if remote.lostRepeat.openedAt == 0 && !link.openingRead && a.mayCarryRepeats(remote, link) {
		remote.lostRepeat = lostRepeat{conn: link.conn, openedAt: link.openedAt}
	}
}

// mayCarryRepeats reports whether the switch may have repeated releases on a connection as it opened: one that was open
// before is lost, or may be.
func (a *Agent) mayCarryRepeats(remote *remoteSwitch, link *switchLink) bool {
	return link.carriesRepeats || slices.ContainsFunc(remote.links, func(other *switchLink) bool {
		return (other.silent || a.isSuspect(remote, other)) && other.lastMessageAt < link.openedAt
	})
}

// openingLost handles the end of a connection before it was known that what the switch wrote as it opened was read.
func (a *Agent) openingLost(remote *remoteSwitch, link *switchLink, end linkEnd) {
	if link.openingRead {
		return
	}
	if !a.mayCarryRepeats(remote, link) {
		remote.lostOpeningAt = link.openedAt
		return
	}
	dueAt := policy.Tenths(0) // of a connection closed here, once the switch is heard again
	if end == linkReset {
		dueAt = a.now + lostRepeatDelay
	}
	remote.repeatLost(link.conn, link.openedAt, dueAt)
}

// markOpeningRead records that what the switch wrote as a connection opened was read.
func (rs *remoteSwitch) markOpeningRead(link *switchLink) {
	link.openingRead = true
	if link.dialID >= rs.unreadFromDial {
		rs.unreadFromDial = 0
	}
	if suspect := &rs.lostRepeat; suspect.conn == link.conn && !suspect.ended {
		*suspect = lostRepeat{}
	}
}

// repeatLost records that what a switch repeated on a connection that has ended may be lost.
func (rs *remoteSwitch) repeatLost(conn ConnID, openedAt, dueAt policy.Tenths) {
	suspect := &rs.lostRepeat
	if suspect.dueAt == 0 {
		suspect.dueAt = dueAt
	}
	suspect.conn, suspect.openedAt, suspect.ended = conn, max(openedAt, suspect.openedAt), true
}

// messageOnLink handles a message on a connection. On a connection that was silent it proves that the switch only
// hung and nothing was lost; on any other one, that the switch runs, and it starts lostRepeatDelay.
func (rs *remoteSwitch) messageOnLink(link *switchLink, now policy.Tenths) {
	suspect := &rs.lostRepeat
	if suspect.openedAt == 0 {
		return
	}
	onlyHung := link.silent || link.conn == suspect.conn
	switch {
	case onlyHung && !suspect.ended:
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
	remote.overBefore = max(remote.overBefore, suspect.openedAt)
	calls := a.matchingCalls(func(call *trackedCall) bool {
		if !call.isEstablishedAt(remote.entry.ID) || !call.mayHaveStoodBefore(suspect.openedAt) {
			return false
		}
		ownLink := remote.findLink(call.lastTry().conn)
		return ownLink == nil || ownLink.silent
	})
	if len(calls) > 0 {
		a.transport.Log(fmt.Sprintf("%d calls established at %s are released: messages on connection %d may be lost", len(calls), board.FormatID(remote.entry.ID), suspect.conn))
	}
	for _, call := range calls {
		a.endLostCall(call)
	}
}

// endLostCall releases a call whose release may be lost, on both sides.
func (a *Agent) endLostCall(call *trackedCall) {
	a.releaseSwitch(call.lastSwitch(), 0, newSwitchRelease(call, causeTemporaryFailure))
	a.releaseCaller(call, causeTemporaryFailure)
	a.endCall(call, policy.Disconnected, noReport)
}
