package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/internal/reconnect"
	"indigodrift/policy"
)

const (
	// switchMessageTimeout is how long a message of a switch may take to become complete, as it blocks the messages
	// behind it.
	switchMessageTimeout = policy.Tenths(3000)

	// peerTimeout is how long a switch may send nothing before its established calls count as disconnected: the
	// platform requires callers to be released within 8 s of the end of a call whose release could not be sent.
	peerTimeout = policy.Tenths(55000)

	initialReconnectDelay = policy.Tenths(1000) // for dials that no call requested
	maxReconnectDelay     = policy.Tenths(8000) // a switch that returns must be known before the releases of its calls are overdue

	// recoveryInterval is how often another connection is opened to a switch with established calls whose own
	// connection is closed, while the last loss is less than linkLossRetention ago. A switch that believes the old
	// connection to be open sends a release there first, and repeats it only on the next connection that opens.
	// The platform allows 8 s for this.
	recoveryInterval  = policy.Tenths(30000)
	recoveryDelay     = policy.Tenths(3000)   // after the first message of a switch that was silent
	linkLossRetention = policy.Tenths(600000) // longer than a switch keeps an idle connection

	// A connection that lasted less than minLinkLifetime was short. After a short one the redial is immediate, as
	// releases come on open connections only. After more than maxShortLinks in a row it is delayed by up to
	// maxShortLinkDelay, to avoid a dial loop with a switch that accepts and resets.
	minLinkLifetime   = policy.Tenths(10000)
	maxShortLinks     = 3
	maxShortLinkDelay = policy.Tenths(10000)

	maxLinksPerSwitch = 4 // switches report group states on no more connections than this
)

// switchLink is one connection to a switch.
type switchLink struct {
	conn            ConnID
	dialID          uint32 // of the dial that opened it
	openedAt        policy.Tenths
	lastMessageAt   policy.Tenths
	unansweredSince policy.Tenths // since when the answer to a keepalive is expected, 0 if none is
	lastSetUpAt     policy.Tenths // when a set-up or its cancellation was last written on it
	messageSeen     bool          // any message came on it
	carriesRepeats  bool          // as it opened, the switch may have repeated on it releases that are recorded nowhere else
	openingRead     bool          // a keepalive was answered, so everything that the switch wrote as it opened was read
	silent          bool          // keepalive timed out: the connection counts as lost and is only read from
	keepaliveSentAt policy.Tenths // when the last keepalive was sent
	keepaliveID     string        // its Call-ID, "" once it was answered
	partialSince    policy.Tenths // when the message that is being received began, 0 if none
	openSetUps      int
	busySince       policy.Tenths // since when there has always been a set-up out on it
	sentReleases    []sentRelease // releases written on it recently
}

// remoteSwitch is one listed switch and the connections to it.
type remoteSwitch struct {
	entry           board.Switch
	links           []*switchLink
	superseded      bool        // another switch listens at its address: no connection to it can be opened
	waitingTries    []*routeTry // tries that wait for a connection
	pendingReleases []switchRelease
	dialing         bool
	dialID          uint32
	// recoveryDialID is the lowest id of a dial whose connection makes the switch repeat the releases lost on a broken
	// connection: switches repeat them on the next connection that opens, and on no other. 0 if nothing was lost
	// since the last one opened.
	recoveryDialID uint32
	// unreadFromDial is the lowest id of a dial whose connection has to be read (openingRead) before the releases that a
	// lost connection may have taken with it count as received. 0 if there are none.
	unreadFromDial    uint32
	lostOpeningAt     policy.Tenths // when the last connection opened that ended unread and carried no repeats, as far as known
	overBefore        policy.Tenths // calls that stood before this time are over, or their releases may be lost
	lossUnseen        bool          // a connection was lost here that the switch may still believe to be open
	linkLostAt        policy.Tenths // when a connection that the switch may believe to be open was last lost, 0 if none was
	nextRecoveryAt    policy.Tenths // when the next connection is opened for calls whose own connection is closed
	silentSinceLoss   bool          // no message came from the switch since a connection was lost
	lostRepeat        lostRepeat
	reconnectPace     *reconnect.Backoff
	nextDialAt        policy.Tenths     // next dial that no call requested
	lastMessageAt     policy.Tenths     // last message on any connection
	shortLinks        int               // consecutive connections that lasted less than minLinkLifetime
	lastReport        policy.LoadReport // last reported circuits, for the log
	roundTrip         policy.Tenths     // round-trip time, as keepalives measured it
	roundTripMeasured bool
}

// pickLink returns the connection for the next set-up: the least loaded one that is neither suspect nor to be avoided,
// nil if there is none.
func (a *Agent) pickLink(remote *remoteSwitch, maxSetUps int, avoid func(ConnID) bool) *switchLink {
	var best *switchLink
	for _, link := range remote.links {
		if !link.messageSeen && a.mayHang(remote) { // the switch may hang, and would not read the set-up
			continue
		}
		if a.isSuspect(remote, link) || maxSetUps > 0 && link.openSetUps >= maxSetUps || avoid(link.conn) {
			continue
		}
		if best == nil || link.openSetUps < best.openSetUps {
			best = link
		}
	}
	return best
}

// avoidNone avoids no connection.
func avoidNone(ConnID) bool { return false }

// findLink returns an open connection to the switch, nil if it is not open.
func (rs *remoteSwitch) findLink(conn ConnID) *switchLink {
	for _, link := range rs.links {
		if link.conn == conn {
			return link
		}
	}
	return nil
}

// shouldConnect reports whether connections to a switch are to be kept open.
func (a *Agent) shouldConnect(remote *remoteSwitch) bool {
	return remote.entry.Exchange != a.settings.Policy.OwnExchange && remote.entry.State != board.Gone
}

// sendWaiting sends the set-ups that wait for a connection to a switch.
func (a *Agent) sendWaiting(remote *remoteSwitch) {
	waiting := remote.waitingTries
	remote.waitingTries = nil
	for _, try := range waiting {
		if try.state != tryWaiting {
			continue
		}
		if call := try.call; a.transport.Abandoned(call.callerConnID, call.callID) {
			a.abandonCall(call)
			a.callCounts.Abandoned++
			continue
		}
		a.placeTry(try, remote)
	}
}

// endWaitingTries ends the route tries that wait for a connection to a switch.
func (a *Agent) endWaitingTries(remote *remoteSwitch) {
	waiting := remote.waitingTries
	remote.waitingTries = nil
	for _, try := range waiting {
		a.dropTry(try, "switch not reached")
		a.endTry(try, policy.Unreachable)
	}
}

// SwitchMessagePartial records since when a message on a connection to a switch is incomplete, 0 when none is.
func (a *Agent) SwitchMessagePartial(conn ConnID, since policy.Tenths) {
	if remote := a.switches[a.switchOfLink[conn]]; remote != nil {
		if link := remote.findLink(conn); link != nil {
			link.partialSince = since
		}
	}
}

// maintainLinks maintains the connections to all switches.
func (a *Agent) maintainLinks() {
	for _, id := range a.switchOrder {
		remote := a.switches[id]
		if !a.shouldConnect(remote) {
			continue
		}
		for _, link := range slices.Clone(remote.links) {
			if a.isSuspect(remote, link) {
				a.suspectLostRepeat(remote, link)
			}
			idleTime, interval := a.silentFor(link.lastMessageAt), keepaliveInterval
			if link.openSetUps > 0 {
				idleTime, interval = a.silentFor(max(link.lastMessageAt, link.busySince)), busyKeepaliveInterval
			}
			switch {
			case link.partialSince != 0 && a.silentFor(link.partialSince) > switchMessageTimeout:
				a.closeLink(remote, link, "incomplete message", linkGivenUp)
			case a.unansweredFor(link) > remote.keepaliveTimeout():
				a.handleKeepaliveTimeout(remote, link)
			case link.unansweredSince == 0 && idleTime > interval:
				link.unansweredSince = a.now
				a.transport.Record(Record{Kind: SwitchConnProbed, Conn: link.conn, Switch: id, Waited: idleTime, Reason: fmt.Sprintf("%d open set-ups", link.openSetUps)})
				a.sendKeepalive(link)
			}
		}
		if remote.nextRecoveryAt != 0 && a.now >= remote.nextRecoveryAt {
			a.scheduleRecovery(remote)
		}
		linkNeeded := remote.recoveryDialID != 0 || a.pickLink(remote, 0, avoidNone) == nil && !a.awaitsFirstMessage(remote)
		if len(remote.waitingTries) > 0 && !a.awaitsFirstMessage(remote) || linkNeeded && a.now >= remote.nextDialAt {
			a.dialReplacingIdle(remote)
		}
		a.closeSurplusLink(remote)
		a.retryCongested(remote)
		a.endLostCalls(remote)
		if a.silentFor(remote.lastMessageAt) > peerTimeout {
			a.disconnectCalls(remote, a.now, "no message received")
		}
	}
}

// retryCongested sends what waits because too much was queued on every connection to a switch, if one can take it now.
func (a *Agent) retryCongested(remote *remoteSwitch) {
	if len(remote.pendingReleases) > 0 {
		if link := a.pickLink(remote, 0, a.congested); link != nil {
			a.flushReleases(remote, link)
		}
	}
	if len(remote.waitingTries) > 0 && a.pickLink(remote, a.settings.MaxTriesPerConn, a.congested) != nil {
		a.sendWaiting(remote)
	}
}
