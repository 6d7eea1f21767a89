package mgcp

import (
	"math/rand/v2"

	"indigodrift/policy"
)

// Times of RFC 3435, 4.4.6 and 4.4.7, in tenths of a millisecond.
const (
	TrunkMaxRestartDelay    = policy.Tenths(6000000) // maximum waiting delay (MWD) of a trunk gateway: 600 s
	DisconnectedInitialWait = policy.Tenths(150000)  // Tdinit
	DisconnectedMinWait     = policy.Tenths(150000)  // Tdmin
	DisconnectedMaxWait     = policy.Tenths(6000000) // Tdmax
)

// RestartDelay returns how long a gateway waits after a start before it reports: a random time below maxDelay, so that the gateways of
// a district don't all report at once after a power failure (4.4.6).
func RestartDelay(maxDelay policy.Tenths, random *rand.Rand) policy.Tenths {
	return policy.Tenths(random.Int64N(int64(max(1, maxDelay))))
}

// DisconnectedProcedure is the procedure of 4.4.7 for a gateway whose call agent doesn't respond. The gateway reports after a random
// initial wait and again after waits that double up to MaxWait.
type DisconnectedProcedure struct {
	MinWait, MaxWait policy.Tenths
	wait             policy.Tenths
}

// Start starts the procedure and returns the time of the first report, at random within the initial wait.
func (d *DisconnectedProcedure) Start(now, initialWait policy.Tenths, random *rand.Rand) policy.Tenths {
	d.wait = initialWait
	return now + RestartDelay(initialWait, random)
}

// NextReport returns the time of the next report after an unanswered one. An event at an endpoint may bring it forward to
// ReportAfterEvent.
func (d *DisconnectedProcedure) NextReport(now policy.Tenths) policy.Tenths {
	d.wait = min(d.MaxWait, 2*d.wait)
	return now + max(d.MinWait, d.wait)
}

// ReportAfterEvent returns the earliest time of a report caused by an event at an endpoint: MinWait after the last report.
func (d *DisconnectedProcedure) ReportAfterEvent(now, last policy.Tenths) policy.Tenths {
	return max(now, last+d.MinWait)
}
