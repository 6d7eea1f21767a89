package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/internal/reconnect"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

const (
	// A connection to a switch is probed with an OPTIONS keepalive after keepaliveInterval without a message, or after
	// busyKeepaliveInterval while a set-up is out on it. The process at the other end answers at once, so the answer takes one
	// round-trip time, which each keepalive measures. After half of keepaliveRoundTrips round trips without an answer the
	// connection takes no new set-up and another one is opened; after all of them it counts as lost. Keeping a
	// dead connection longer recovers nothing, and its set-ups make the switch look slow.
	keepaliveInterval       = policy.Tenths(8000)
	busyKeepaliveInterval   = policy.Tenths(600)
	keepaliveRoundTrips     = 4
	minKeepaliveTimeout     = policy.Tenths(1200)  // tolerates a short stall of the switch
	initialKeepaliveTimeout = policy.Tenths(6000)  // before the first round trip is measured
	maxKeepaliveTimeout     = policy.Tenths(20000) // keeps the connections of a slow network

	// silentLinkRetention is how long a silent connection is kept if no set-up was written on it since its last message;
	// one with set-ups is closed, which abandons them. A switch that hung and recovers still sends its pending
	// messages on the old connection, and connections that are closed and opened meanwhile would only queue up in
	// front of it.
	silentLinkRetention = peerTimeout
	maxSilentLinks      = 2 // per switch; silent connections beyond these are closed and replaced

	// switchMessageTimeout is how long a message of a switch may take to become complete, as it blocks the messages behind it.
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

	maxLinksPerSwitch  = 4    // per switch; switches report group states on no more connections than this
	maxPendingReleases = 4096 // per switch
)

// switchLink is one connection to a switch.
type switchLink struct {
	conn            ConnID
	openedAt        policy.Tenths
	lastMessageAt   policy.Tenths
	unansweredSince policy.Tenths // since when the answer to a keepalive is expected, 0 if none is
	lastSetUpAt     policy.Tenths // when a set-up or its cancellation was last written on it
	messageSeen     bool          // any message came on it
	silent          bool          // keepalive timed out: the connection counts as lost and is only read from
	keepaliveSentAt policy.Tenths // when the last keepalive was sent
	keepaliveID     string        // its Call-ID, "" once it was answered
	partialSince    policy.Tenths // when the message that is being received began, 0 if none
	openSetUps      int
	busySince       policy.Tenths // since when there has always been a set-up out on it
	sentReleases    []sentRelease // releases written on it recently
}

// unansweredFor returns how long the answer to a keepalive has been missing, 0 if none is expected.
func (a *Agent) unansweredFor(l *switchLink) policy.Tenths {
	if l.unansweredSince == 0 {
		return 0
	}
	return a.silentFor(l.unansweredSince)
}

// keepaliveTimeout returns the keepalive timeout of the connections to a switch.
func (f *remoteSwitch) keepaliveTimeout() policy.Tenths {
	if !f.roundTripMeasured {
		return initialKeepaliveTimeout
	}
	return min(maxKeepaliveTimeout, max(minKeepaliveTimeout, keepaliveRoundTrips*f.roundTrip))
}

// isSuspect reports whether a connection should take no new messages.
func (a *Agent) isSuspect(f *remoteSwitch, l *switchLink) bool {
	return a.unansweredFor(l) > f.keepaliveTimeout()/2
}

// keepaliveAnswered handles the answer to a keepalive. Only the last keepalive counts, as an answer to an earlier one would
// measure too short a time. The estimate is the longest round trip measured, decayed by an eighth with each
// further measurement.
func (f *remoteSwitch) keepaliveAnswered(l *switchLink, now policy.Tenths, id string) {
	if l.keepaliveID != "" && id == l.keepaliveID {
		l.sentReleases = slices.DeleteFunc(l.sentReleases, func(b sentRelease) bool { return b.sentAt < l.keepaliveSentAt }) // read by the switch before the keepalive
		f.roundTrip, f.roundTripMeasured, l.keepaliveID = max(now-l.keepaliveSentAt, f.roundTrip-f.roundTrip/8), true, ""
	}
}

// remoteSwitch is one listed switch and the connections to it.
type remoteSwitch struct {
	entry           board.Switch
	links           []*switchLink
	waitingTries    []*routeTry // tries that wait for a connection
	pendingReleases []sip.Message
	dialing         bool
	dialID          uint32
	// recoveryDialID is the lowest id of a dial whose connection makes the switch repeat the releases lost on a broken
	// connection: switches repeat them on the next connection that opens, and on no other. 0 if nothing was lost
	// since the last one opened.
	recoveryDialID    uint32
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
func (a *Agent) pickLink(f *remoteSwitch, most int, avoid func(ConnID) bool) *switchLink {
	var best *switchLink
	for _, l := range f.links {
		if !l.messageSeen && a.mayHang(f) { // the switch may hang, and would not read the set-up
			continue
		}
		if a.isSuspect(f, l) || most > 0 && l.openSetUps >= most || avoid(l.conn) {
			continue
		}
		if best == nil || l.openSetUps < best.openSetUps {
			best = l
		}
	}
	return best
}

// avoidNone avoids no connection.
func avoidNone(ConnID) bool { return false }

func (f *remoteSwitch) findLink(c ConnID) *switchLink {
	for _, l := range f.links {
		if l.conn == c {
			return l
		}
	}
	return nil
}

// dial opens one more connection, unless a dial is in progress. When all descriptors for switches are in use, it
// closes the idle connection to another switch that has been quiet longest; the only connection of a switch is
// closed only if calls or releases wait.
func (a *Agent) dial(f *remoteSwitch) {
	if a.starting || f.dialing || len(f.links) >= maxLinksPerSwitch || a.descriptorsExhausted() && !a.evictIdleLink(f) {
		return
	}
	a.lastDialID++
	a.dialsInProgress++
	f.dialing, f.dialID = true, a.lastDialID
	a.dialAddresses[f.dialID] = f.entry.Address
	a.transport.Dial(f.entry.ID, f.dialID, f.entry.Address)
}

// descriptorsExhausted reports whether all descriptors for switches are in use.
func (a *Agent) descriptorsExhausted() bool {
	return len(a.switchOfLink)+a.dialsInProgress >= a.maxLinks
}

func (a *Agent) evictIdleLink(f *remoteSwitch) bool {
	var worst *switchLink
	for _, id := range a.switchOrder {
		other := a.switches[id]
		for _, l := range other.links {
			single := len(other.links) == 1
			if other == f || l.openSetUps > 0 || single && len(f.waitingTries) == 0 && len(f.pendingReleases) == 0 {
				continue
			}
			if worst == nil || l.lastMessageAt < worst.lastMessageAt {
				worst = l
			}
		}
	}
	if worst == nil {
		return false
	}
	other := a.switches[a.switchOfLink[worst.conn]]
	delete(a.switchOfLink, worst.conn)
	a.closingLinks[worst.conn] = other.entry.ID
	other.links = slices.DeleteFunc(other.links, func(l *switchLink) bool { return l == worst })
	other.nextDialAt = a.now + other.reconnectPace.NextDelay()
	a.transport.Close(worst.conn, "descriptor needed for another switch")
	return true
}

// shouldConnect reports whether connections to a switch are to be kept open.
func (a *Agent) shouldConnect(f *remoteSwitch) bool {
	return f.entry.Cell != a.settings.Policy.OwnExchange && f.entry.State != board.Gone
}

// DialDone handles the result of a dial: a connection, a refusal (no process listens at the address), or a timeout.
func (a *Agent) DialDone(now policy.Tenths, sw, ticket uint32, c ConnID, refused bool) {
	a.now = now
	a.dialsInProgress--
	address := a.dialAddresses[ticket]
	delete(a.dialAddresses, ticket)
	f := a.switches[sw]
	if f == nil || f.dialID != ticket {
		if c != 0 {
			a.closeObsolete(c, address)
		}
		return
	}
	f.dialing = false
	if c != 0 && ticket >= f.recoveryDialID {
		f.recoveryDialID = 0
	}
	if c == 0 {
		f.reconnectPace.Down(now)
		f.nextDialAt = now + f.reconnectPace.NextDelay()
		a.endWaitingTries(f)
		if refused && len(f.links) == 0 { // the process that held the calls established there is gone
			a.disconnectCalls(f, now+1, "its address refuses connections")
		}
		a.flushDeferred()
		return
	}
	f.reconnectPace.Up(now)
	l := &switchLink{conn: c, openedAt: now, lastMessageAt: now}
	f.links = append(f.links, l)
	a.switchOfLink[c] = sw
	a.sendKeepalive(l)
	if a.mayHang(f) {
		l.unansweredSince = now
	}
	for i := range f.pendingReleases {
		if m := &f.pendingReleases[i]; !a.activeAt(f, m) {
			l.sentReleases = append(l.sentReleases, sentRelease{now, *m})
			a.transport.Write(c, m)
		}
	}
	f.pendingReleases = nil
	a.sendWaiting(f)
	if f.recoveryDialID != 0 { // the dial was in progress already when the connection was lost
		a.dialReplacingIdle(f)
	}
	a.flushDeferred()
}

// activeAt reports whether a call is being set up or is established at a switch, where a release of an earlier try
// would disconnect it.
func (a *Agent) activeAt(f *remoteSwitch, release *sip.Message) bool {
	id, err := parseID(release.CallID)
	k := a.calls[id]
	return err == nil && k != nil && k.lastSwitch() == f.entry.ID && (k.state == Trying || k.state == Established)
}

// sendWaiting sends the set-ups that wait for a connection to a switch.
func (a *Agent) sendWaiting(f *remoteSwitch) {
	waiting := f.waitingTries
	f.waitingTries = nil
	for _, t := range waiting {
		if t.state != tryWaiting {
			continue
		}
		if k := t.call; a.transport.Abandoned(k.caller, k.callID) {
			a.abandonCall(k)
			a.callCounts.Abandoned++
			continue
		}
		a.placeTry(t, f)
	}
}

// endWaitingTries ends the route tries that wait for a connection to a switch.
func (a *Agent) endWaitingTries(f *remoteSwitch) {
	waiting := f.waitingTries
	f.waitingTries = nil
	for _, t := range waiting {
		a.dropTry(t, "switch not reached")
		a.endTry(t, policy.Unreachable)
	}
}

// SwitchMessagePartial records since when a message on a connection to a switch is incomplete, 0 when none is.
func (a *Agent) SwitchMessagePartial(c ConnID, since policy.Tenths) {
	if f := a.switches[a.switchOfLink[c]]; f != nil {
		if l := f.findLink(c); l != nil {
			l.partialSince = since
		}
	}
}

// SwitchDisconnected handles the end of a connection to a switch. The set-ups open on it may have been carried out. whole
// means that the switch closed the connection and everything that it wrote was read; otherwise its last messages
// may be lost.
func (a *Agent) SwitchDisconnected(now policy.Tenths, c ConnID, whole bool) {
	a.now = now
	delete(a.closingLinks, c)
	sw, ok := a.switchOfLink[c]
	if !ok {
		return
	}
	delete(a.switchOfLink, c)
	if f := a.switches[sw]; f != nil {
		l := f.findLink(c)
		if l != nil {
			if f.shortLinks++; now-l.openedAt >= minLinkLifetime {
				f.shortLinks = 0
			}
			a.requeueReleases(f, l)
		}
		f.links = slices.DeleteFunc(f.links, func(other *switchLink) bool { return other == l })
		f.reconnectPace.Down(now)
		f.nextDialAt = now
		if f.shortLinks > maxShortLinks || l != nil && !l.messageSeen {
			f.nextDialAt = now + min(f.reconnectPace.NextDelay(), maxShortLinkDelay)
		}
		if !whole && l != nil && !l.silent {
			a.linkLost(f, l)
		} else if f.nextRecoveryAt == 0 && f.linkLostAt != 0 && now-f.linkLostAt < linkLossRetention {
			f.nextRecoveryAt = now + recoveryInterval
		}
		if a.shouldConnect(f) && now >= f.nextDialAt && (len(f.links) == 0 || f.recoveryDialID != 0) {
			a.dialReplacingIdle(f)
		}
	}
	cut := a.matchingCalls(func(k *trackedCall) bool {
		return k.state == Trying && k.lastTry().state == trySent && k.lastTry().conn == c
	})
	a.transport.Record(Record{Kind: SwitchConnEnded, Conn: c, Switch: sw, Reason: fmt.Sprintf("%d open set-ups", len(cut))})
	for _, k := range cut {
		a.tryCounts.Lost++
		a.advance(k.lastTry(), eventAbandon, "connection ended")
		a.endTry(k.lastTry(), policy.Disconnected)
	}
	a.flushDeferred()
}

// closeLinks closes the connections to a switch that match.
func (a *Agent) closeLinks(f *remoteSwitch, why string, which func(*switchLink) bool) {
	for _, l := range slices.Clone(f.links) {
		if which(l) {
			a.closeLink(f, l, why, false)
		}
	}
}

// closeLink closes a connection to a switch. whole means that the connection works, and messages that cross the
// close are still read.
func (a *Agent) closeLink(f *remoteSwitch, l *switchLink, why string, whole bool) {
	if l.conn == f.lostRepeat.conn {
		f.lostRepeat.closed = true
	}
	a.transport.Close(l.conn, why)
	a.SwitchDisconnected(a.now, l.conn, whole)
	a.closingLinks[l.conn] = f.entry.ID
}

// disconnectCalls ends the calls that were established at a switch before the given time, as their releases cannot
// come any more.
func (a *Agent) disconnectCalls(f *remoteSwitch, before policy.Tenths, why string) {
	cut := a.matchingCalls(func(k *trackedCall) bool { return k.isEstablishedAt(f.entry.ID) && k.establishedAt < before })
	if len(cut) > 0 {
		a.transport.Note(fmt.Sprintf("%d calls established at %s count as disconnected: %s", len(cut), board.FormatID(f.entry.ID), why))
	}
	for _, k := range cut {
		a.releaseCaller(k, causeTemporaryFailure)
		a.reportEnded(k, policy.Disconnected, noReport)
	}
}

// sendKeepalive sends a keepalive on a connection.
func (a *Agent) sendKeepalive(l *switchLink) {
	l.keepaliveSentAt, l.keepaliveID = a.now, a.newKeepaliveID()
	a.transport.Write(l.conn, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: l.keepaliveID, CSeq: 1})
}

// maintainLinks maintains the connections to all switches.
func (a *Agent) maintainLinks() {
	for _, id := range a.switchOrder {
		f := a.switches[id]
		if !a.shouldConnect(f) {
			continue
		}
		for _, l := range slices.Clone(f.links) {
			if a.isSuspect(f, l) {
				f.suspectLostRepeat(l)
			}
			quiet, most := a.silentFor(l.lastMessageAt), keepaliveInterval
			if l.openSetUps > 0 {
				quiet, most = a.silentFor(max(l.lastMessageAt, l.busySince)), busyKeepaliveInterval
			}
			switch {
			case l.partialSince != 0 && a.silentFor(l.partialSince) > switchMessageTimeout:
				a.closeLink(f, l, "incomplete message", false)
			case a.unansweredFor(l) > f.keepaliveTimeout():
				a.handleKeepaliveTimeout(f, l)
			case l.unansweredSince == 0 && quiet > most:
				l.unansweredSince = a.now
				a.transport.Record(Record{Kind: SwitchConnProbed, Conn: l.conn, Switch: id, Waited: quiet, Reason: fmt.Sprintf("%d open set-ups", l.openSetUps)})
				a.sendKeepalive(l)
			}
		}
		if f.nextRecoveryAt != 0 && a.now >= f.nextRecoveryAt {
			a.scheduleRecovery(f)
		}
		needed := f.recoveryDialID != 0 || a.pickLink(f, 0, avoidNone) == nil && !a.awaitsFirstMessage(f)
		if len(f.waitingTries) > 0 && !a.awaitsFirstMessage(f) || needed && a.now >= f.nextDialAt {
			a.dialReplacingIdle(f)
		}
		a.endLostCalls(f)
		if a.silentFor(f.lastMessageAt) > peerTimeout {
			a.disconnectCalls(f, a.now, "no message received")
		}
	}
}

// startTime returns the start time of a switch, 0 if none is reported.
func startTime(s board.Switch) policy.Tenths { return policy.Tenths(max(0, s.StartedMS)) * 10 }

// Bootstrap handles the events that are known at the start, all of them before anything is dialled: a connection for
// an entry that a later event replaces would open at the address of the new switch and be closed at once.
func (a *Agent) Bootstrap(now policy.Tenths, events []board.Event) {
	a.starting = true
	for _, e := range events {
		a.UpdateSwitches(now, e)
	}
	a.starting = false
	a.maintainLinks()
	a.flushDeferred()
}

// UpdateSwitches handles an event of the notice board.
func (a *Agent) UpdateSwitches(now policy.Tenths, e board.Event) {
	a.now = now
	named := map[uint32]bool{}
	var list []policy.Switch
	for _, s := range e.Switches {
		named[s.ID] = true
		list = append(list, policy.Switch{ID: s.ID, Number: s.Cell, Ready: s.State == board.Ready,
			Draining: s.State == board.Draining, BootAt: startTime(s)})
	}
	a.decider.ListReceived(now, e.Complete, list)
	if e.Complete {
		for _, id := range slices.Clone(a.switchOrder) {
			if !named[id] {
				a.removeSwitch(a.switches[id])
			}
		}
	}
	for _, s := range e.Switches {
		f := a.switches[s.ID]
		if s.State == board.Gone {
			if f != nil {
				f.entry.State = s.State
				a.removeSwitch(f)
			}
			continue
		}
		if f == nil {
			f = &remoteSwitch{entry: s, lastMessageAt: now, nextDialAt: now}
			f.reconnectPace = reconnect.NewBackoffBetween(a.settings.Policy.Seed^uint64(s.ID), initialReconnectDelay, maxReconnectDelay)
			a.switches[s.ID] = f
			a.switchOrder = append(a.switchOrder, s.ID)
		}
		anew := startTime(f.entry) != startTime(s)
		moved := f.entry.Address != s.Address
		f.entry = s
		if anew || moved { // a new process: connections and calls of the previous one are over
			f.dialID, f.dialing, f.nextDialAt = 0, false, now
			a.closeLinks(f, "the switch restarted", func(l *switchLink) bool { return moved || l.openedAt < startTime(s) })
			a.disconnectCalls(f, startTime(s), "it restarted")
		}
		if s.State == board.Draining {
			a.endWaitingTries(f)
		}
	}
	a.maintainLinks()
	a.flushDeferred()
}

// removeSwitch removes a switch that is gone.
func (a *Agent) removeSwitch(f *remoteSwitch) {
	f.entry.State = board.Gone
	a.endWaitingTries(f)
	a.closeLinks(f, "the switch is gone", func(*switchLink) bool { return true })
	a.disconnectCalls(f, a.now+1, "it is gone")
	delete(a.switches, f.entry.ID)
	a.switchOrder = slices.DeleteFunc(a.switchOrder, func(id uint32) bool { return id == f.entry.ID })
}
