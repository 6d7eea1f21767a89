package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/policy"
)

// linkEnd is how a connection to a switch ended.
type linkEnd uint8

const (
	linkEndedBySwitch linkEnd = iota // in good order: everything that the switch wrote was read
	linkReset                        // by the switch or the network: its last messages may be lost
	linkGivenUp                      // closed here: the same, and the switch may still believe it to be open
	linkClosedInOrder                // closed here though it works: what crosses the close is still read
)

// closingLink is a connection to a switch that was closed here and is read until the switch has ended it as well.
type closingLink struct {
	switchID uint32
	link     *switchLink
	end      linkEnd
}

// SwitchDisconnected handles the end of a connection to a switch. The set-ups open on it may have been carried out.
// graceful means that the switch closed the connection and everything that it wrote was read; otherwise its last
// messages may be lost.
func (a *Agent) SwitchDisconnected(now policy.Tenths, conn ConnID, graceful bool) {
	a.now = now
	if closing, ok := a.closingLinks[conn]; ok {
		delete(a.closingLinks, conn)
		a.closeFinished(closing, graceful)
		return
	}
	end := linkReset
	if graceful {
		end = linkEndedBySwitch
	}
	a.linkEnded(conn, end)
}

// closeFinished handles the end of a connection that was closed here in good order. If the switch has ended it too, both
// sides have read all; otherwise the last messages of both may be lost.
func (a *Agent) closeFinished(closing closingLink, graceful bool) {
	remote := a.switches[closing.switchID]
	if closing.end != linkClosedInOrder {
		return // what may be lost is known since the close
	}
	if graceful || remote == nil {
		a.setSent(closing.link, nil)
		return
	}
	a.requeueReleases(remote, closing.link)
	a.openingLost(remote, closing.link, linkReset)
	remote.awaitRepeats(a.lastDialID)
	if remote.nextRecoveryAt == 0 {
		remote.nextRecoveryAt = a.now + recoveryInterval
	}
}

// linkEnded handles the end of a connection to a switch.
func (a *Agent) linkEnded(conn ConnID, end linkEnd) {
	remote := a.switches[a.switchOfLink[conn]]
	if remote == nil {
		return
	}
	link := remote.findLink(conn)
	if link == nil {
		return
	}
	if remote.shortLinks++; a.now-link.openedAt >= minLinkLifetime {
		remote.shortLinks = 0
	}
	remote.reconnectPace.Down(a.now)
	remote.nextDialAt = a.now
	if remote.shortLinks > maxShortLinks || !link.messageSeen {
		remote.nextDialAt = a.now + min(remote.reconnectPace.NextDelay(), maxShortLinkDelay)
	}
	a.dropLink(remote, link, end)
	if a.shouldConnect(remote) && a.now >= remote.nextDialAt && (len(remote.links) == 0 || remote.recoveryDialID != 0) {
		a.dialReplacingIdle(remote)
	}
	a.endTriesOn(conn, remote.entry.ID)
	a.flushDeferred()
}

// dropLink removes a connection that has ended and records what may be lost with it.
func (a *Agent) dropLink(remote *remoteSwitch, link *switchLink, end linkEnd) {
	delete(a.switchOfLink, link.conn)
	remote.links = slices.DeleteFunc(remote.links, func(other *switchLink) bool { return other == link })
	switch end {
	case linkEndedBySwitch:
		a.requeueReleases(remote, link)
		remote.markOpeningRead(link)
	case linkReset, linkGivenUp:
		a.requeueReleases(remote, link)
		a.openingLost(remote, link, end)
		if !link.silent { // otherwise it counts as lost already
			a.linkLost(remote, link, end)
		}
	}
	if remote.nextRecoveryAt == 0 && remote.linkLostAt != 0 && a.now-remote.linkLostAt < linkLossRetention {
		remote.nextRecoveryAt = a.now + recoveryInterval
	}
	if len(remote.links) > 0 {
		return
	}
	remote.awaitRepeats(a.lastDialID)
	if remote.superseded { // it has no way left to release its calls
		a.disconnectCalls(remote, a.now+1, "another switch listens at the address")
	}
}

// endTriesOn ends the route tries that are out on a connection that has ended.
func (a *Agent) endTriesOn(conn ConnID, switchID uint32) {
	lostCalls := a.matchingCalls(func(call *trackedCall) bool {
		return call.state == Trying && call.lastTry().state == trySent && call.lastTry().conn == conn
	})
	a.transport.Record(Record{Kind: SwitchConnEnded, Conn: conn, Switch: switchID, Reason: fmt.Sprintf("%d open set-ups", len(lostCalls))})
	for _, call := range lostCalls {
		a.tryCounts.Lost++
		a.advance(call.lastTry(), eventAbandon, "connection ended")
		a.endTry(call.lastTry(), policy.Disconnected)
	}
}

// closeLinks gives up the connections to a switch that match.
func (a *Agent) closeLinks(remote *remoteSwitch, reason string, match func(*switchLink) bool) {
	for _, link := range slices.Clone(remote.links) {
		if match(link) {
			a.closeLink(remote, link, reason, linkGivenUp)
		}
	}
}

// closeLink closes a connection to a switch. Messages that cross the close are still read.
func (a *Agent) closeLink(remote *remoteSwitch, link *switchLink, reason string, end linkEnd) {
	a.transport.Close(link.conn, reason)
	a.linkEnded(link.conn, end)
	a.closingLinks[link.conn] = closingLink{remote.entry.ID, link, end}
}
