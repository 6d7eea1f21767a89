package b2bua

import (
	"strings"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// announcementDelay is how long after the end of the controller that set it up a call may be announced here: within 8 s
// of the end of a call its controller would have released it, and its caller looks for another one for some seconds.
const announcementDelay = policy.Tenths(100000)

// mayHaveStoodBefore reports whether a call may have been established before a time. When a call that was announced was
// established is not known, only that it was announced within announcementDelay.
func (tc *trackedCall) mayHaveStoodBefore(time policy.Tenths) bool {
	if tc.merelyAnnounced() {
		return tc.establishedAt-announcementDelay < time
	}
	return tc.establishedAt < time
}

// adoptCall handles a set-up of a call that is established at a switch already. The call is tracked from now on, and
// no answer is sent. Nothing proves that the switch knows it, so such calls have a limit of their own.
func (a *Agent) adoptCall(caller *callerConn, parsed setUp, msg *sip.Message) {
	a.markSetUpSeen(caller)
	if call := a.calls[parsed.id]; call != nil {
		if call.state == Ended { // the caller may not have received the release
			call.callerNotified = false
			a.releaseCaller(call, causeTemporaryFailure)
		}
		return
	}
	call := &trackedCall{id: parsed.id, state: Established, callerConnID: caller.conn, callID: strings.Clone(msg.CallID), uri: strings.Clone(msg.URI), adopted: true, establishedAt: a.now}
	call.tries = []*routeTry{{call: call, switchID: parsed.adoptedSwitch, state: tryEstablished}}
	a.calls[call.id] = call
	a.establishedCalls++
	a.callers.countEstablished(call, 1)
	remote := a.switches[parsed.adoptedSwitch]
	if remote == nil {
		a.endAnnounced(call)
		return
	}
	if remote.nextRecoveryAt == 0 {
		remote.nextRecoveryAt = a.now + recoveryInterval
	}
	if call.mayHaveStoodBefore(remote.overBefore) {
		a.endLostCall(call)
		return
	}
	place, displaced := a.announced.add(caller.conn, call)
	if call.announcement = place; place == nil {
		a.endAnnounced(call)
	}
	for _, other := range displaced {
		other.announcement = nil
		a.endAnnounced(other)
	}
}

// endAnnounced ends an announced call that cannot be tracked.
func (a *Agent) endAnnounced(call *trackedCall) {
	a.releaseCaller(call, causeTemporaryFailure)
	a.setState(call, Ended)
}

// forgetAnnouncement removes a call that is over from the announced ones.
func (a *Agent) forgetAnnouncement(call *trackedCall) {
	if call.announcement != nil {
		a.announced.remove(call.announcement)
		call.announcement = nil
	}
}

// merelyAnnounced reports whether a call is known by the announcement of a caller alone.
func (tc *trackedCall) merelyAnnounced() bool { return tc.adopted && !tc.confirmed }
