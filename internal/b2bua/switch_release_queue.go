package b2bua

import (
	"slices"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

const (
	// releaseLossWindow is how long a BYE that was written on a connection is remembered at least, unless a later keepalive is
	// answered. Within it, a silent connection is detected. Switches need not answer a BYE.
	releaseLossWindow = keepaliveInterval + maxKeepaliveTimeout + maxStallAllowance

	maxSentReleases    = 16384 // remembered for all connections, to be repeated if one of them is lost
	maxPendingReleases = 4096  // that wait for a connection, to all switches; half of them for calls merely announced

	// maxSwitchBacklog is how many octets may wait on a connection to a switch before releases and set-ups go to another one
	// or wait themselves.
	maxSwitchBacklog = 128 << 10
)

// switchRelease is the release of a call towards a switch.
type switchRelease struct {
	callID, uri string
	cause       int
	announced   bool // the call was merely announced by its caller
}

// sentRelease is a release written to a switch.
type sentRelease struct {
	sentAt  policy.Tenths
	release switchRelease
}

// switchReleaseCounts counts the releases that are held for all switches.
type switchReleaseCounts struct{ sent, pending int }

// newSwitchRelease returns the release of a call towards a switch with a Q.850 cause.
func newSwitchRelease(call *trackedCall, cause int) switchRelease {
	return switchRelease{callID: call.callID, uri: call.uri, cause: cause, announced: call.merelyAnnounced()}
}

func (a *Agent) releaseMessage(release switchRelease) *sip.Message {
	return a.newRelease(release.callID, release.uri, release.cause)
}

// releaseSwitch releases a call towards its switch on any connection that can take a message, or as soon as there is one.
func (a *Agent) releaseSwitch(switchID uint32, conn ConnID, release switchRelease) {
	remote := a.switches[switchID]
	if remote == nil {
		return
	}
	link := remote.findLink(conn)
	if link == nil || a.isSuspect(remote, link) || a.congested(conn) {
		if other := a.pickLink(remote, 0, a.congested); other != nil {
			link = other
		}
	}
	switch {
	case link == nil:
		a.queueRelease(remote, release)
		a.dial(remote)
	case a.congested(link.conn):
		a.queueRelease(remote, release)
	default:
		a.writeRelease(link, release)
	}
}

// congested reports whether so much waits on a connection to a switch that it takes no further release or set-up.
func (a *Agent) congested(conn ConnID) bool { return a.transport.Backlog(conn) > maxSwitchBacklog }

// writeRelease writes a release on a connection and remembers it in case the connection is lost.
func (a *Agent) writeRelease(link *switchLink, release switchRelease) {
	a.recordSent(link, release)
	a.transport.Write(link.conn, a.releaseMessage(release))
}

// recordSent remembers a release that was written on a connection. If too many are remembered, the oldest one of this
// connection is forgotten instead, or the release itself.
func (a *Agent) recordSent(link *switchLink, release switchRelease) {
	expired := 0
	for expired < len(link.sentReleases) && a.now-link.sentReleases[expired].sentAt > releaseLossWindow {
		expired++
	}
	a.setSent(link, slices.Delete(link.sentReleases, 0, expired))
	if a.switchReleases.sent >= maxSentReleases {
		if len(link.sentReleases) == 0 || release.announced {
			return
		}
		a.setSent(link, slices.Delete(link.sentReleases, 0, 1))
	}
	a.setSent(link, append(link.sentReleases, sentRelease{a.now, release}))
}

// setSent replaces the releases remembered for a connection.
func (a *Agent) setSent(link *switchLink, releases []sentRelease) {
	a.switchReleases.sent += len(releases) - len(link.sentReleases)
	link.sentReleases = releases
}

// setPending replaces the releases that wait for a connection to a switch.
func (a *Agent) setPending(remote *remoteSwitch, releases []switchRelease) {
	a.switchReleases.pending += len(releases) - len(remote.pendingReleases)
	remote.pendingReleases = releases
}

// queueRelease queues a release until a connection to its switch can take it.
func (a *Agent) queueRelease(remote *remoteSwitch, release switchRelease) {
	limit := maxPendingReleases
	if release.announced {
		limit /= 2
	}
	if a.switchReleases.pending >= limit {
		a.transport.Log("too many pending releases for switches; release dropped")
		return
	}
	a.setPending(remote, append(remote.pendingReleases, release))
}

// flushReleases writes the queued releases on a connection, as many as it can take. A release whose call has come back to
// the switch would disconnect that and is dropped.
func (a *Agent) flushReleases(remote *remoteSwitch, link *switchLink) {
	written := 0
	for _, release := range remote.pendingReleases {
		if a.congested(link.conn) {
			break
		}
		written++
		if !a.activeAt(remote, release.callID) {
			a.writeRelease(link, release)
		}
	}
	a.setPending(remote, slices.Delete(remote.pendingReleases, 0, written))
}

// requeueReleases queues the releases remembered for a lost connection for the next one.
func (a *Agent) requeueReleases(remote *remoteSwitch, link *switchLink) {
	for _, sent := range link.sentReleases {
		if !a.activeAt(remote, sent.release.callID) {
			a.queueRelease(remote, sent.release)
		}
	}
	a.setSent(link, nil)
}

// activeAt reports whether a call is being set up or is established at a switch, where a release of an earlier try
// would disconnect it.
func (a *Agent) activeAt(remote *remoteSwitch, callID string) bool {
	id, err := parseID(callID)
	call := a.calls[id]
	return err == nil && call != nil && call.lastSwitch() == remote.entry.ID && (call.state == Trying || call.state == Established)
}
