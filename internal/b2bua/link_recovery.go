package b2bua

import (
	"slices"

	"indigodrift/policy"
)

// linkLost records that a connection is lost, perhaps with the last messages of the switch.
func (a *Agent) linkLost(remote *remoteSwitch, link *switchLink) {
	a.requeueReleases(remote, link)
	remote.recoveryDialID = a.lastDialID + 1
	remote.silentSinceLoss, remote.linkLostAt = true, a.now
	remote.nextRecoveryAt = a.now + recoveryInterval
}

// dialReplacingIdle opens one more connection to a switch. If the switch has the maximum already, the idle one that
// has been quiet longest is closed first.
func (a *Agent) dialReplacingIdle(remote *remoteSwitch) {
	if !remote.dialing && len(remote.links) >= maxLinksPerSwitch {
		var idle *switchLink
		for _, link := range remote.links {
			if link.openSetUps == 0 && (idle == nil || link.lastMessageAt < idle.lastMessageAt) {
				idle = link
			}
		}
		if idle == nil {
			return
		}
		healthy := idle.messageSeen && idle.unansweredSince == 0
		a.closeLink(remote, idle, "replaced by a new connection to this switch", healthy)
	}
	a.dial(remote)
}

// messageReceived records that the switch sent a message. A switch that hung may now release calls that ended
// meanwhile on connections that were closed here, so the next connection is opened soon.
func (rs *remoteSwitch) messageReceived(now policy.Tenths) {
	rs.lastMessageAt = now
	if rs.silentSinceLoss {
		rs.silentSinceLoss = false
		rs.nextRecoveryAt = min(rs.nextRecoveryAt, now+recoveryDelay)
	}
}

// scheduleRecovery schedules one more connection if calls are established whose own connection is closed.
func (a *Agent) scheduleRecovery(remote *remoteSwitch) {
	remote.nextRecoveryAt = a.now + recoveryInterval
	for _, call := range a.calls {
		if !call.isEstablishedAt(remote.entry.ID) || call.merelyAnnounced() && a.now-call.establishedAt > linkLossRetention {
			continue
		}
		if ownLink := remote.findLink(call.lastTry().conn); ownLink == nil || ownLink.silent {
			remote.recoveryDialID = a.lastDialID + 1
			return
		}
	}
	remote.nextRecoveryAt = 0
}

// mayHang reports whether a switch may hang: no message came since a connection was lost or became suspect.
func (a *Agent) mayHang(remote *remoteSwitch) bool {
	return remote.silentSinceLoss || slices.ContainsFunc(remote.links, func(link *switchLink) bool { return a.isSuspect(remote, link) })
}

// awaitsFirstMessage reports whether a connection awaits its first message, after which waiting set-ups can be sent
// on it.
func (a *Agent) awaitsFirstMessage(remote *remoteSwitch) bool {
	return slices.ContainsFunc(remote.links, func(link *switchLink) bool { return !link.messageSeen && !link.silent })
}

// closeObsolete closes a connection whose dial is obsolete. The switch that listens at the address may have repeated
// its releases on it, so another connection is opened to that switch.
func (a *Agent) closeObsolete(conn ConnID, address string) {
	a.transport.Close(conn, "no longer needed")
	for _, id := range a.switchOrder {
		if remote := a.switches[id]; remote.entry.Address == address && a.shouldConnect(remote) {
			a.closingLinks[conn] = id
			remote.recoveryDialID = a.lastDialID + 1
			a.dialReplacingIdle(remote)
		}
	}
}
