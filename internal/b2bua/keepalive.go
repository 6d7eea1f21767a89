package b2bua

import (
	"slices"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

const (
	// A connection to a switch is probed with an OPTIONS keepalive when it opens, after keepaliveInterval without a
	// message, and after busyKeepaliveInterval while a set-up is out on it. The process at the other end answers at
	// once, so the answer takes one round-trip time, which each keepalive measures. After half of keepaliveRoundTrips
	// round trips without an answer the connection takes no new set-up and another one is opened; after all of them it
	// counts as lost. Keeping a dead connection longer recovers nothing, and its set-ups make the switch look slow.
	keepaliveInterval       = policy.Tenths(8000)
	busyKeepaliveInterval   = policy.Tenths(600)
	keepaliveRoundTrips     = 4
	minKeepaliveTimeout     = policy.Tenths(1200)  // tolerates a short stall of the switch
	initialKeepaliveTimeout = policy.Tenths(6000)  // before the first round trip is measured
	maxKeepaliveTimeout     = policy.Tenths(20000) // on a slow network, connections must not be closed again and again

	// silentLinkRetention is how long a silent connection is kept if no set-up was written on it since its last
	// message; one with set-ups is closed, which abandons them. A switch that hung and recovers still sends its
	// pending messages on the old connection, and connections that are closed and opened meanwhile would only queue
	// up in front of it.
	silentLinkRetention = peerTimeout

	// maxOpenLinksPerSwitch bounds the connections to a switch, silent ones included. Beyond it no other one is opened.
	maxOpenLinksPerSwitch = 2 * maxLinksPerSwitch
)

// unansweredFor returns how long the answer to a keepalive has been missing, 0 if none is expected.
func (a *Agent) unansweredFor(link *switchLink) policy.Tenths {
	if link.unansweredSince == 0 {
		return 0
	}
	return a.silentFor(link.unansweredSince)
}

// keepaliveTimeout returns the keepalive timeout of the connections to a switch.
func (rs *remoteSwitch) keepaliveTimeout() policy.Tenths {
	if !rs.roundTripMeasured {
		return initialKeepaliveTimeout
	}
	return min(maxKeepaliveTimeout, max(minKeepaliveTimeout, keepaliveRoundTrips*rs.roundTrip))
}

// isSuspect reports whether a connection should take no new messages.
func (a *Agent) isSuspect(remote *remoteSwitch, link *switchLink) bool {
	return a.unansweredFor(link) > remote.keepaliveTimeout()/2
}

// keepaliveAnswered handles the answer to a keepalive. Only the last keepalive counts, as an answer to an earlier one
// would measure too short a time. The estimate is the longest round trip measured, decayed by an eighth with each
// further measurement.
func (a *Agent) keepaliveAnswered(remote *remoteSwitch, link *switchLink, id string) {
	if link.keepaliveID == "" || id != link.keepaliveID {
		return
	}
	// The switch has read the releases that were sent before the keepalive.
	a.setSent(link, slices.DeleteFunc(link.sentReleases, func(sent sentRelease) bool { return sent.sentAt < link.keepaliveSentAt }))
	remote.roundTrip = max(a.now-link.keepaliveSentAt, remote.roundTrip-remote.roundTrip/8)
	remote.roundTripMeasured, link.keepaliveID = true, ""
	remote.markOpeningRead(link)
}

// sendKeepalive sends a keepalive on a connection.
func (a *Agent) sendKeepalive(link *switchLink) {
	link.keepaliveSentAt, link.keepaliveID = a.now, a.newKeepaliveID()
	a.transport.Write(link.conn, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: link.keepaliveID, CSeq: 1})
}

// handleKeepaliveTimeout handles a connection whose keepalive has timed out.
func (a *Agent) handleKeepaliveTimeout(remote *remoteSwitch, link *switchLink) {
	if link.silent && a.unansweredFor(link) <= silentLinkRetention {
		return
	}
	a.transport.Log("connection to " + board.FormatID(remote.entry.ID) + " timed out without an answer to a keepalive")
	if !link.messageSeen { // the waiting set-ups were never sent
		a.endWaitingTries(remote)
	}
	if link.lastSetUpAt >= link.lastMessageAt && link.lastSetUpAt != 0 || link.silent {
		a.closeLink(remote, link, "keepalive timeout", linkGivenUp)
		return
	}
	link.silent = true
	a.linkLost(remote, link, linkGivenUp)
}
