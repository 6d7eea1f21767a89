package b2bua

import "indigodrift/policy"

// dial opens one more connection, unless a dial is in progress. When all descriptors for switches are in use, it
// closes the idle connection to another switch that has been quiet longest; the only connection of a switch is
// closed only if calls or releases wait.
func (a *Agent) dial(remote *remoteSwitch) {
	if a.starting || remote.superseded || remote.dialing || !remote.mayOpenLink() || a.descriptorsExhausted() && !a.evictIdleLink(remote) {
		return
	}
	a.lastDialID++
	a.dialsInProgress++
	remote.dialing, remote.dialID = true, a.lastDialID
	a.dialAddresses[remote.dialID] = remote.entry.Address
	a.transport.Dial(remote.entry.ID, remote.dialID, remote.entry.Address)
}

// descriptorsExhausted reports whether all descriptors for switches are in use.
func (a *Agent) descriptorsExhausted() bool {
	return len(a.switchOfLink)+a.dialsInProgress >= a.maxLinks
}

// evictIdleLink closes an idle connection to another switch. It returns false if there is none to close.
func (a *Agent) evictIdleLink(remote *remoteSwitch) bool {
	link := a.evictableLink(remote)
	if link == nil {
		return false
	}
	other := a.switches[a.switchOfLink[link.conn]]
	a.transport.Close(link.conn, "descriptor needed for another switch")
	a.dropLink(other, link, link.endIfClosed())
	a.closingLinks[link.conn] = closingLink{other.entry.ID, link, link.endIfClosed()}
	other.nextDialAt = a.now + other.reconnectPace.NextDelay()
	return true
}

// evictableLink returns the idle connection to another switch that has been quiet longest, a healthy one if there is any,
// nil if there is none.
func (a *Agent) evictableLink(remote *remoteSwitch) *switchLink {
	var candidate *switchLink
	for _, id := range a.switchOrder {
		other := a.switches[id]
		for _, link := range other.links {
			onlyLink := len(other.links) == 1
			if other == remote || link.openSetUps > 0 || onlyLink && len(remote.waitingTries) == 0 && len(remote.pendingReleases) == 0 {
				continue
			}
			if candidate == nil || link.healthy() && !candidate.healthy() || link.healthy() == candidate.healthy() && link.lastMessageAt < candidate.lastMessageAt {
				candidate = link
			}
		}
	}
	return candidate
}

// DialOutcome is the outcome of a dial.
type DialOutcome uint8

const (
	DialConnected DialOutcome = iota
	DialRefused               // no process listens at the address
	DialReset                 // the connection was opened and reset before it could be used
	DialTimedOut              // the connection did not come up, or was not tried
)

// DialDone handles the outcome of a dial. conn is the connection if it is DialConnected, otherwise 0.
func (a *Agent) DialDone(now policy.Tenths, switchID, dialID uint32, conn ConnID, outcome DialOutcome) {
	a.now = now
	a.dialsInProgress--
	address := a.dialAddresses[dialID]
	delete(a.dialAddresses, dialID)
	remote := a.switches[switchID]
	if remote == nil || remote.dialID != dialID {
		a.dialObsolete(conn, address, outcome)
		return
	}
	remote.dialing = false
	if outcome == DialConnected {
		a.linkOpened(remote, conn)
	} else {
		a.dialFailed(remote, outcome)
	}
	a.flushDeferred()
}

// dialFailed handles a dial that brought no connection.
func (a *Agent) dialFailed(remote *remoteSwitch, outcome DialOutcome) {
	remote.reconnectPace.Down(a.now)
	remote.nextDialAt = a.now + remote.reconnectPace.NextDelay()
	a.endWaitingTries(remote)
	if outcome == DialReset {
		a.openingLost(remote, a.newLink(remote, 0), linkReset)
		remote.nextDialAt = a.now + min(remote.reconnectPace.NextDelay(), maxShortLinkDelay)
	}
	if outcome == DialRefused && len(remote.links) == 0 { // the process that held the calls established there is gone
		remote.overBefore = a.now + 1
		a.disconnectCalls(remote, a.now+1, "the address refuses connections")
	}
}

// newLink returns a connection to a switch that the last dial has opened.
func (a *Agent) newLink(remote *remoteSwitch, conn ConnID) *switchLink {
	return &switchLink{conn: conn, dialID: remote.dialID, openedAt: a.now, lastMessageAt: a.now, carriesRepeats: remote.unreadFromDial != 0}
}

// linkOpened handles a new connection to a switch.
func (a *Agent) linkOpened(remote *remoteSwitch, conn ConnID) {
	if remote.dialID >= remote.recoveryDialID {
		remote.recoveryDialID = 0
	}
	remote.reconnectPace.Up(a.now)
	link := a.newLink(remote, conn)
	remote.links = append(remote.links, link)
	a.switchOfLink[conn] = remote.entry.ID
	a.sendKeepalive(link)
	if a.mayHang(remote) {
		link.unansweredSince = a.now
	}
	a.flushReleases(remote, link)
	a.sendWaiting(remote)
	if remote.recoveryDialID != 0 { // the dial was in progress already when the connection was lost
		a.dialReplacingIdle(remote)
	}
}

// dialObsolete handles the outcome of a dial whose switch has been replaced meanwhile. The switch that listens at the
// address may have repeated its releases on the connection, so another one is opened to that switch.
func (a *Agent) dialObsolete(conn ConnID, address string, outcome DialOutcome) {
	if outcome != DialConnected && outcome != DialReset {
		return
	}
	if conn != 0 {
		a.transport.Close(conn, "no longer needed")
	}
	for _, id := range a.switchOrder {
		remote := a.switches[id]
		if remote.entry.Address != address || remote.superseded || !a.shouldConnect(remote) {
			continue
		}
		opened := a.newLink(remote, conn)
		if conn != 0 {
			a.closingLinks[conn] = closingLink{id, opened, linkClosedInOrder}
		} else {
			a.openingLost(remote, opened, linkReset)
		}
		remote.recoveryDialID = a.lastDialID + 1
		a.dialReplacingIdle(remote)
	}
}
