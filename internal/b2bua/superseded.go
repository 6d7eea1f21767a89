package b2bua

import (
	"indigodrift/internal/board"
	"indigodrift/policy"
)

// addressOwners returns, by address, the switch whose process listens there: the one that started last. A switch that drains
// owns no address at which another one is in service.
func (a *Agent) addressOwners(event board.Event) map[string]board.Switch {
	owners := map[string]board.Switch{}
	claim := func(entry board.Switch) {
		if owner, taken := owners[entry.Address]; !taken || succeeds(entry, owner) {
			owners[entry.Address] = entry
		}
	}
	told := map[uint32]bool{}
	for _, entry := range event.Switches {
		if told[entry.ID] = true; entry.State != board.Gone {
			claim(entry)
		}
	}
	for id, remote := range a.switches {
		if !told[id] && !event.Complete {
			claim(remote.entry)
		}
	}
	return owners
}

// succeeds reports whether a switch has taken over the address of another one.
func succeeds(entry, other board.Switch) bool {
	switch {
	case entry.ID == other.ID || entry.Address != other.Address:
		return false
	case startTime(entry) != startTime(other):
		return startTime(entry) > startTime(other)
	}
	return entry.State == board.Ready && other.State == board.Draining
}

// markSuperseded records which switches have lost their address to another one.
func (a *Agent) markSuperseded(owners map[string]board.Switch) {
	for _, id := range a.switchOrder {
		remote := a.switches[id]
		owner := owners[remote.entry.Address]
		superseded := succeeds(owner, remote.entry)
		if superseded && !remote.superseded {
			a.supersede(remote, startTime(owner))
		}
		remote.superseded = superseded
	}
}

// supersede separates a switch from the one that has taken over its address: connections that were opened since lead to the
// new one, and no message on them shows that the old one is alive. The new one started at startedAt, 0 if that is not known.
func (a *Agent) supersede(remote *remoteSwitch, startedAt policy.Tenths) {
	remote.superseded, remote.dialing, remote.dialID, remote.recoveryDialID = true, false, 0, 0
	a.endWaitingTries(remote)
	leadsToNew := func(link *switchLink) bool { return startedAt != 0 && link.openedAt >= startedAt }
	for _, link := range remote.links {
		if leadsToNew(link) {
			a.releaseCallsOn(remote, link)
		}
	}
	a.closeLinks(remote, "another switch listens at the address", leadsToNew)
	if len(remote.links) == 0 {
		a.disconnectCalls(remote, a.now+1, "another switch listens at the address")
		return
	}
	remote.lastMessageAt = 0
	for _, link := range remote.links {
		remote.lastMessageAt = max(remote.lastMessageAt, link.lastMessageAt)
	}
}

// releaseCallsOn releases on a connection the calls that were established on it: they stand at the switch behind it, whatever
// id it was taken for.
func (a *Agent) releaseCallsOn(remote *remoteSwitch, link *switchLink) {
	for _, call := range a.matchingCalls(func(call *trackedCall) bool {
		return call.isEstablishedAt(remote.entry.ID) && call.lastTry().conn == link.conn
	}) {
		a.transport.Write(link.conn, a.newRelease(call.callID, call.uri, causeTemporaryFailure))
	}
}
