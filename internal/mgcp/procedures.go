package mgcp

import (
	"math/rand/v2"

	"indigodrift/policy"
)

// Times of RFC 3435, 4.4.6 and 4.4.7, in tenths of a millisecond.
const (
	TrunkMaxRestartDelay    = policy.Tenths(6000000) // MWD of a trunk gateway: 600 s; its own restart is at random within
	DisconnectedInitialWait = policy.Tenths(150000)  // Tdinit
	DisconnectedMinWait     = policy.Tenths(150000)  // Tdmin
	DisconnectedMaxWait     = policy.Tenths(6000000) // Tdmax
)

// RestartDelay is how long a gateway that has started waits before it reports: at random up to its greatest wait, so that a
// district whose power returns does not report as one (4.4.6).
func RestartDelay(maxDelay policy.Tenths, random *rand.Rand) policy.Tenths {
	return policy.Tenths(random.Int64N(int64(max(1, maxDelay))))
}

// DisconnectedProcedure is the procedure of 4.4.7 for a gateway whose call agent does not answer: it waits at random up to the first
// time, reports, and doubles the wait up to the greatest. A zero value has ended.
type DisconnectedProcedure struct {
	MinWait, MaxWait policy.Tenths
	wait             policy.Tenths
}

// Start starts the procedure and returns when to report first.
func (d *DisconnectedProcedure) Start(now, first policy.Tenths, random *rand.Rand) policy.Tenths {
	d.wait = first
	return now + RestartDelay(first, random)
}

// NextReport returns when to report again. Where an event is noticed meanwhile the report may go out at once, but not before
// Least has passed; Noticed tells.
func (d *DisconnectedProcedure) NextReport(now policy.Tenths) policy.Tenths {
	d.wait = min(d.MaxWait, 2*d.wait)
	return now + max(d.MinWait, d.wait)
}

// ReportAfterEvent is when a report may go out because a user did something: the least wait after the last one.
func (d *DisconnectedProcedure) ReportAfterEvent(now, last policy.Tenths) policy.Tenths {
	return max(now, last+d.MinWait)
}
