package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/internal/reconnect"
	"indigodrift/policy"
)

// disconnectCalls ends the calls that were established at a switch before the given time, as their releases cannot
// come any more.
func (a *Agent) disconnectCalls(remote *remoteSwitch, before policy.Tenths, reason string) {
	calls := a.matchingCalls(func(call *trackedCall) bool {
		return call.isEstablishedAt(remote.entry.ID) && call.mayHaveStoodBefore(before)
	})
	if len(calls) > 0 {
		a.transport.Log(fmt.Sprintf("%d calls established at %s count as disconnected: %s", len(calls), board.FormatID(remote.entry.ID), reason))
	}
	for _, call := range calls {
		a.releaseCaller(call, causeTemporaryFailure)
		a.endCall(call, policy.Disconnected, noReport)
	}
}

// startTime returns the start time of a switch, 0 if none is reported.
func startTime(entry board.Switch) policy.Tenths { return policy.Tenths(max(0, entry.StartedMS)) * 10 }

// Bootstrap handles the events that are known at the start, all of them before anything is dialled: a connection for
// an entry that a later event replaces would open at the address of the new switch and be closed at once.
func (a *Agent) Bootstrap(now policy.Tenths, events []board.Event) {
	a.starting = true
	for _, event := range events {
		a.UpdateSwitches(now, event)
	}
	a.starting = false
	a.maintainLinks()
	a.flushDeferred()
}

// UpdateSwitches handles an event of the notice board.
func (a *Agent) UpdateSwitches(now policy.Tenths, event board.Event) {
	a.now = now
	event.Switches = a.withinSwitchLimit(event)
	owners := a.addressOwners(event)
	a.decider.ListReceived(now, event.Complete, a.policyList(event, owners))
	if event.Complete {
		a.removeUnlisted(event.Switches)
	}
	for _, entry := range event.Switches {
		switch remote := a.switches[entry.ID]; {
		case entry.State != board.Gone:
			a.updateSwitch(entry)
		case remote != nil:
			a.removeSwitch(remote)
		}
	}
	a.markSuperseded(owners)
	a.listKnown = a.listKnown || event.Complete
	a.maintainLinks()
	a.flushDeferred()
}

// policyList returns the entries of an event as the policy sees them. To the policy, a switch that has lost its address to
// another one drains.
func (a *Agent) policyList(event board.Event, owners map[string]board.Switch) (list []policy.Switch) {
	add := func(entry board.Switch) {
		superseded := succeeds(owners[entry.Address], entry)
		list = append(list, policy.Switch{ID: entry.ID, Number: entry.Exchange, Ready: entry.State == board.Ready && !superseded,
			Draining: entry.State == board.Draining || entry.State == board.Ready && superseded, BootAt: startTime(entry)})
	}
	told := map[uint32]bool{}
	for _, entry := range event.Switches {
		told[entry.ID] = true
		add(entry)
	}
	for _, id := range a.switchOrder {
		remote := a.switches[id]
		if !event.Complete && !told[id] && succeeds(owners[remote.entry.Address], remote.entry) != remote.superseded {
			add(remote.entry)
		}
	}
	return list
}

// removeUnlisted removes the switches that a whole list does not hold.
func (a *Agent) removeUnlisted(entries []board.Switch) {
	listed := map[uint32]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, id := range slices.Clone(a.switchOrder) {
		if !listed[id] {
			a.removeSwitch(a.switches[id])
		}
	}
}

// updateSwitch adds a switch to the list or updates its entry.
func (a *Agent) updateSwitch(entry board.Switch) {
	remote := a.switches[entry.ID]
	if remote == nil {
		remote = &remoteSwitch{entry: entry, lastMessageAt: a.now, nextDialAt: a.now, unreadFromDial: a.lastDialID + 1}
		remote.reconnectPace = reconnect.NewBackoffBetween(a.settings.Policy.Seed^uint64(entry.ID), initialReconnectDelay, maxReconnectDelay)
		a.switches[entry.ID] = remote
		a.switchOrder = append(a.switchOrder, entry.ID)
		if !a.listKnown || a.goneSwitches[entry.ID] { // it may have run before under its id
			remote.overBefore = startTime(entry)
		}
	}
	restarted := startTime(remote.entry) != startTime(entry)
	moved := remote.entry.Address != entry.Address
	remote.entry = entry
	if restarted || moved { // a new process: connections and calls of the previous one are over
		remote.overBefore = max(remote.overBefore, startTime(entry))
		remote.dialID, remote.dialing, remote.nextDialAt = 0, false, a.now
		a.closeLinks(remote, "the switch restarted", func(link *switchLink) bool { return moved || link.openedAt < startTime(entry) })
		a.disconnectCalls(remote, startTime(entry), "the switch restarted")
	}
	if entry.State == board.Draining {
		a.endWaitingTries(remote)
	}
}

// withinSwitchLimit returns the entries of an event without new switches beyond the limit.
func (a *Agent) withinSwitchLimit(event board.Event) []board.Switch {
	isNew := func(entry board.Switch) bool { return a.switches[entry.ID] == nil && entry.State != board.Gone }
	room := a.limits.switches - len(a.switches)
	if event.Complete { // switches that are not listed are removed
		room = a.limits.switches
		for _, entry := range event.Switches {
			if a.switches[entry.ID] != nil {
				room--
			}
		}
	}
	var kept []board.Switch
	for _, entry := range event.Switches {
		if isNew(entry) {
			if room--; room < 0 {
				continue
			}
		}
		kept = append(kept, entry)
	}
	if room < 0 {
		a.transport.Log(fmt.Sprintf("%d switches of the list are left out, as %d are held at most", -room, a.limits.switches))
	}
	return kept
}

// removeSwitch removes a switch that is gone.
func (a *Agent) removeSwitch(remote *remoteSwitch) {
	remote.entry.State = board.Gone
	a.endWaitingTries(remote)
	a.closeLinks(remote, "the switch is gone", func(*switchLink) bool { return true })
	a.disconnectCalls(remote, a.now+1, "the switch is gone")
	a.setPending(remote, nil)
	delete(a.switches, remote.entry.ID)
	if len(a.goneSwitches) >= a.limits.switches {
		clear(a.goneSwitches)
	}
	a.goneSwitches[remote.entry.ID] = true
	a.switchOrder = slices.DeleteFunc(a.switchOrder, func(id uint32) bool { return id == remote.entry.ID })
}
