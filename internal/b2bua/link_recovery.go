package b2bua

import (
	"slices"

	"indigodrift/policy"
)

// linkLost records that a connection is lost, perhaps with the last messages of the switch.
func (a *Agent) linkLost(remote *remoteSwitch, link *switchLink, end linkEnd) {
	a.requeueReleases(remote, link)
	remote.recoveryDialID = a.lastDialID + 1
	remote.unreadFromDial = remote.recoveryDialID
	remote.lossUnseen = remote.lossUnseen || end == linkGivenUp
	remote.silentSinceLoss, remote.linkLostAt = true, a.now
	remote.nextRecoveryAt = a.now + recoveryInterval
	for _, other := range remote.links {
		if !other.openingRead && other.openedAt > link.lastMessageAt {
			other.carriesRepeats = true
		}
	}
	if remote.lostOpeningAt > link.lastMessageAt { // that connection opened while this one was lost already
		remote.repeatLost(link.conn, remote.lostOpeningAt, a.now+lostRepeatDelay)
	}
}

// awaitRepeats records that no connection to the switch is open: it writes its releases on the next one alone.
func (rs *remoteSwitch) awaitRepeats(lastDialID uint32) {
	switch {
	case rs.unreadFromDial != 0:
	case rs.dialing:
		rs.unreadFromDial = rs.dialID
	default:
		rs.unreadFromDial = lastDialID + 1
	}
}

// mayOpenLink reports whether one more connection may be opened. Silent connections are kept to be read and leave room
// for others, within a limit of their own.
func (rs *remoteSwitch) mayOpenLink() bool {
	return rs.usableLinks() < maxLinksPerSwitch && len(rs.links) < maxOpenLinksPerSwitch
}

// allLinksSilent reports whether as many connections as may be open are open and silent.
func (rs *remoteSwitch) allLinksSilent() bool {
	return rs.usableLinks() == 0 && !rs.mayOpenLink()
}

// usableLinks returns the number of connections that are not silent.
func (rs *remoteSwitch) usableLinks() int {
	usable := 0
	for _, link := range rs.links {
		if !link.silent {
			usable++
		}
	}
	return usable
}

// dialReplacingIdle opens one more connection to a switch. If the switch has the maximum already, the idle one that
// has been quiet longest is closed first. Silent ones stay: a switch that only hung writes its releases there.
func (a *Agent) dialReplacingIdle(remote *remoteSwitch) {
	if remote.superseded {
		return
	}
	if !remote.dialing && remote.usableLinks() >= maxLinksPerSwitch {
		idle := remote.quietestIdleLink()
		if idle == nil {
			return
		}
		a.closeLink(remote, idle, "replaced by a new connection to this switch", idle.endIfClosed())
	}
	a.dial(remote)
}

// quietestIdleLink returns the connection without open set-ups that has been quiet longest, nil if there is none. It passes
// over silent ones, and over those on which repeated releases may still come.
func (rs *remoteSwitch) quietestIdleLink() *switchLink {
	var idle *switchLink
	for _, link := range rs.links {
		if link.openSetUps > 0 || link.silent || link.carriesRepeats && !link.openingRead {
			continue
		}
		if idle == nil || link.lastMessageAt < idle.lastMessageAt {
			idle = link
		}
	}
	return idle
}

// healthy reports whether the switch is known to have written nothing on the connection that is not read.
func (l *switchLink) healthy() bool {
	return l.openingRead && l.unansweredSince == 0
}

// endIfClosed returns how the connection ends if it is closed now.
func (l *switchLink) endIfClosed() linkEnd {
	if l.healthy() {
		return linkClosedInOrder
	}
	return linkGivenUp
}

// closeSurplusLink closes one connection of a switch that has more than the maximum, after silent ones have come back.
func (a *Agent) closeSurplusLink(remote *remoteSwitch) {
	if remote.usableLinks() <= maxLinksPerSwitch {
		return
	}
	if idle := remote.quietestIdleLink(); idle != nil && idle.healthy() {
		a.closeLink(remote, idle, "more connections than needed", linkClosedInOrder)
	}
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
			if remote.lossUnseen && !remote.silentSinceLoss {
				remote.lossUnseen, remote.unreadFromDial = false, remote.recoveryDialID
			}
			return
		}
	}
	remote.nextRecoveryAt, remote.lossUnseen = 0, false
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
