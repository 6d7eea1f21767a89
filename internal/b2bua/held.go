package b2bua

import "indigodrift/policy"

// HeldCounts counts what the agent holds on account of its peers, for the log. docs/bounds.md lists the bound of each.
type HeldCounts struct {
	Timers        int
	RetainedCalls int // calls that are over
	ReleaseCopies int // of unconfirmed releases to callers, by connection
	Switches      int
	SentReleases  int // releases to switches that may have to be repeated, or wait for a connection
	Policy        policy.HeldCounts
}

// Held counts what the agent holds.
func (a *Agent) Held() HeldCounts {
	held := HeldCounts{Timers: a.timers.Len(), RetainedCalls: a.retained.len(), Switches: len(a.switches)}
	for _, caller := range a.callers.conns {
		held.ReleaseCopies += len(caller.copies)
	}
	for _, remote := range a.switches {
		held.SentReleases += len(remote.pendingReleases)
		for _, link := range remote.links {
			held.SentReleases += len(link.sentReleases)
		}
	}
	if decider, ok := a.decider.(interface{ Held() policy.HeldCounts }); ok {
		held.Policy = decider.Held()
	}
	return held
}
