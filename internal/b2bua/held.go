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
	held := HeldCounts{Timers: a.timers.Len(), RetainedCalls: a.retained.len(), Switches: len(a.switches),
		SentReleases: a.switchReleases.sent + a.switchReleases.pending}
	for _, caller := range a.callers.conns {
		held.ReleaseCopies += len(caller.copies)
	}
	if decider, ok := a.decider.(interface{ Held() policy.HeldCounts }); ok {
		held.Policy = decider.Held()
	}
	return held
}
