package mgcp

import (
	"math/rand/v2"

	"indigodrift/policy"
)

// Times of RFC 3435, 4.4.6 and 4.4.7, in tenths of a millisecond.
const (
	WaitTrunk   = policy.Tenths(6000000) // MWD of a trunk gateway: 600 s; its own restart is at random within
	DisconFirst = policy.Tenths(150000)  // Tdinit
	DisconLeast = policy.Tenths(150000)  // Tdmin
	DisconMost  = policy.Tenths(6000000) // Tdmax
)

// RestartWait is how long a gateway that has started waits before it reports: at random up to its greatest wait, so that a
// district whose power returns does not report as one (4.4.6).
func RestartWait(most policy.Tenths, chance *rand.Rand) policy.Tenths {
	return policy.Tenths(chance.Int64N(int64(max(1, most))))
}

// Disconnected is the procedure of 4.4.7 for a gateway whose call agent does not answer: it waits at random up to the first
// time, reports, and doubles the wait up to the greatest. A zero value has ended.
type Disconnected struct {
	Least, Most policy.Tenths
	wait        policy.Tenths
}

// Begin starts the procedure and returns when to report first.
func (d *Disconnected) Begin(now, first policy.Tenths, chance *rand.Rand) policy.Tenths {
	d.wait = first
	return now + RestartWait(first, chance)
}

// Unanswered returns when to report again. Where an event is noticed meanwhile the report may go out at once, but not before
// Least has passed; Noticed tells.
func (d *Disconnected) Unanswered(now policy.Tenths) policy.Tenths {
	d.wait = min(d.Most, 2*d.wait)
	return now + max(d.Least, d.wait)
}

// Noticed is when a report may go out because a user did something: the least wait after the last one.
func (d *Disconnected) Noticed(now, last policy.Tenths) policy.Tenths { return max(now, last+d.Least) }
