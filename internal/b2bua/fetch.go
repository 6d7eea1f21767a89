package b2bua

import (
	"slices"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// requeueReleases queues the releases written recently on a lost connection for the next one.
func (a *Agent) requeueReleases(f *remoteSwitch, l *switchLink) {
	for i := range l.sentReleases {
		if b := &l.sentReleases[i]; a.now-b.sentAt <= releaseLossWindow && !a.activeAt(f, &b.message) {
			a.queueRelease(f, &b.message)
		}
	}
	l.sentReleases = nil
}

// linkLost records that a connection is lost, perhaps with the last messages of the switch.
func (a *Agent) linkLost(f *remoteSwitch, l *switchLink) {
	a.requeueReleases(f, l)
	f.recoveryDialID = a.lastDialID + 1
	f.silentSinceLoss, f.linkLostAt = true, a.now
	f.nextRecoveryAt = a.now + recoveryInterval
}

// dialReplacingIdle opens one more connection to a switch. If the switch has the maximum already, the idle one that has been
// quiet longest is closed first.
func (a *Agent) dialReplacingIdle(f *remoteSwitch) {
	if !f.dialing && len(f.links) >= maxLinksPerSwitch {
		var idle *switchLink
		for _, l := range f.links {
			if l.openSetUps == 0 && (idle == nil || l.lastMessageAt < idle.lastMessageAt) {
				idle = l
			}
		}
		if idle == nil {
			return
		}
		well := idle.messageSeen && idle.unansweredSince == 0
		a.closeLink(f, idle, "replaced by a new connection to this switch", well)
	}
	a.dial(f)
}

// messageReceived records that the switch sent a message. A switch that hung may now release calls that ended meanwhile on
// connections that were closed here, so the next connection is opened soon.
func (f *remoteSwitch) messageReceived(now policy.Tenths) {
	f.lastMessageAt = now
	if f.silentSinceLoss {
		f.silentSinceLoss = false
		f.nextRecoveryAt = min(f.nextRecoveryAt, now+recoveryDelay)
	}
}

// scheduleRecovery schedules one more connection if calls are established whose own connection is closed.
func (a *Agent) scheduleRecovery(f *remoteSwitch) {
	f.nextRecoveryAt = a.now + recoveryInterval
	for _, k := range a.calls {
		if !k.isEstablishedAt(f.entry.ID) {
			continue
		}
		if own := f.findLink(k.lastTry().conn); own == nil || own.silent {
			f.recoveryDialID = a.lastDialID + 1
			return
		}
	}
	f.nextRecoveryAt = 0
}

// mayHang reports whether a switch may hang: no message came since a connection was lost or became suspect.
func (a *Agent) mayHang(f *remoteSwitch) bool {
	return f.silentSinceLoss || slices.ContainsFunc(f.links, func(l *switchLink) bool { return a.isSuspect(f, l) })
}

// awaitsFirstMessage reports whether a connection awaits its first message, after which waiting set-ups can be sent on it.
func (a *Agent) awaitsFirstMessage(f *remoteSwitch) bool {
	return slices.ContainsFunc(f.links, func(l *switchLink) bool { return !l.messageSeen && !l.silent })
}

// closeObsolete closes a connection whose dial is obsolete. The switch that listens at the address may have repeated its
// releases on it, so another connection is opened to that switch.
func (a *Agent) closeObsolete(c ConnID, address string) {
	a.transport.Close(c, "no longer needed")
	for _, id := range a.switchOrder {
		if f := a.switches[id]; f.entry.Address == address && a.shouldConnect(f) {
			a.closingLinks[c] = id
			f.recoveryDialID = a.lastDialID + 1
			a.dialReplacingIdle(f)
		}
	}
}

// handleKeepaliveTimeout handles a connection whose keepalive has timed out.
func (a *Agent) handleKeepaliveTimeout(f *remoteSwitch, l *switchLink) {
	if l.silent && a.unansweredFor(l) <= silentLinkRetention {
		return
	}
	a.transport.Note("connection to " + board.FormatID(f.entry.ID) + " timed out without an answer to a keepalive")
	if !l.messageSeen { // the waiting set-ups were never sent
		a.endWaitingTries(f)
	}
	kept := 0
	for _, other := range f.links {
		if other.silent {
			kept++
		}
	}
	if l.lastSetUpAt >= l.lastMessageAt && l.lastSetUpAt != 0 || l.silent || kept >= maxSilentLinks {
		a.closeLink(f, l, "keepalive timeout", false)
		return
	}
	l.silent = true
	a.linkLost(f, l)
}
