// Package gateways holds the decisions of a call agent about MGCP gateways that don't depend on the state of a call: admission
// after restarts, supervision, the meaning of return codes, tones, retry delays and audits. It does no I/O and reads no clock.
package gateways

import (
	"math"

	"indigodrift/policy"
)

// Admission is the decision on a gateway that reports a restart (RSIP, RFC 3435, 2.3.12).
type Admission uint8

const (
	Admitted Admission = iota // bring it into service and confirm the report
	Queued                    // send a provisional response; Tick admits it later
	Rejected                  // respond with 403; the gateway reports again after a random delay
)

const (
	burstTime          = policy.Tenths(5000)   // burst size of the token bucket, as time at the current rate
	maxQueueTime       = policy.Tenths(150000) // well below the time for which a gateway retransmits its report
	overloadRateShare  = 0.5                   // of the stated rate, while calls are delayed
	lightDelayShare    = 0.05                  // of the GoS target: below this delay of calls the rate grows
	rateDoublingTime   = 1000.0                // in tenths of a millisecond, while the rate grows
	maxRateMultiple    = 64                    // maximum rate as a multiple of the stated rate
	overloadDelayShare = 0.2                   // of the GoS target: above this delay of calls the rate is reduced
)

// Limits holds the settings of a RestartLimiter.
type Limits struct {
	Rate      float64       // gateways per second; half of it while calls are delayed
	MaxQueued int           // gateways that may wait for admission
	GoSTarget policy.Tenths // the tightest of all bearer types
}

// queuedRestart is a gateway that waits for admission.
type queuedRestart struct {
	gateway  uint32
	queuedAt policy.Tenths
}

// RestartLimiter limits the rate at which gateways are brought into service, with a token bucket and a queue. After a power failure
// a whole district restarts at once. Each gateway costs a response, a notification request and an audit, and ten thousand in a
// second would delay every call. Calls have priority: while they are delayed, the rate is reduced.
type RestartLimiter struct {
	limits     Limits
	tokens     float64
	refilledAt policy.Tenths
	queue      []queuedRestart
	queuedAt   map[uint32]policy.Tenths // by gateway
	rate       float64                  // current rate, gateways per second
	delaySetAt policy.Tenths
}

// NewRestartLimiter returns a limiter with a full token bucket and an empty queue.
func NewRestartLimiter(limits Limits, now policy.Tenths) *RestartLimiter {
	r := &RestartLimiter{limits: limits, refilledAt: now, delaySetAt: now, queuedAt: map[uint32]policy.Tenths{}, rate: limits.Rate}
	r.tokens = r.maxTokens()
	return r
}

func (r *RestartLimiter) maxTokens() float64 { return max(1, r.rate*float64(burstTime)/10000) }

// refill adds the tokens since the last refill.
func (r *RestartLimiter) refill(now policy.Tenths) {
	if now > r.refilledAt {
		r.tokens = min(r.maxTokens(), r.tokens+r.rate*float64(now-r.refilledAt)/10000)
		r.refilledAt = now
	}
}

// SetCallDelay sets how long calls wait in the queue now, and adapts the rate. The rate grows while calls don't wait: a fixed rate
// would either delay gateways at an idle program or be no limit for a busy one.
func (r *RestartLimiter) SetCallDelay(now, delay policy.Tenths) {
	r.refill(now)
	delayShare := float64(delay) / float64(max(1, r.limits.GoSTarget))
	switch {
	case delayShare > overloadDelayShare:
		r.rate = r.limits.Rate * overloadRateShare
	case delayShare < lightDelayShare:
		r.rate = min(maxRateMultiple*r.limits.Rate, max(r.limits.Rate, r.rate)*math.Exp2(float64(now-r.delaySetAt)/rateDoublingTime))
	default:
		r.rate = max(r.limits.Rate, r.rate)
	}
	r.delaySetAt = now
}

// Admit decides on a gateway that reports a restart. A gateway that reports again while it is queued keeps its place.
func (r *RestartLimiter) Admit(now policy.Tenths, gateway uint32) Admission {
	r.refill(now)
	if _, queued := r.queuedAt[gateway]; queued {
		return Queued
	}
	if len(r.queue) == 0 && r.tokens >= 1 {
		r.tokens--
		return Admitted
	}
	if len(r.queue) >= r.limits.MaxQueued || r.queueTime() > maxQueueTime {
		return Rejected
	}
	r.queue = append(r.queue, queuedRestart{gateway, now})
	r.queuedAt[gateway] = now
	return Queued
}

// queueTime returns how long a gateway that is queued now would wait.
func (r *RestartLimiter) queueTime() policy.Tenths {
	return policy.Tenths(float64(len(r.queue)) / max(1e-9, r.rate) * 10000)
}

// Remove removes a gateway from the queue.
func (r *RestartLimiter) Remove(gateway uint32) { delete(r.queuedAt, gateway) }

// Tick returns the queued gateways that are admitted now, in the order of their first reports.
func (r *RestartLimiter) Tick(now policy.Tenths) (admitted []uint32) {
	r.refill(now)
	for len(r.queue) > 0 {
		first := r.queue[0]
		if queuedAt, queued := r.queuedAt[first.gateway]; queued && queuedAt == first.queuedAt {
			if r.tokens < 1 {
				return admitted
			}
			r.tokens--
			delete(r.queuedAt, first.gateway)
			admitted = append(admitted, first.gateway)
		}
		r.queue = r.queue[1:]
	}
	return admitted
}

// Next returns the time at which Tick must be called next; false if the queue is empty.
func (r *RestartLimiter) Next(now policy.Tenths) (policy.Tenths, bool) {
	if len(r.queue) == 0 {
		return 0, false
	}
	return now + max(1, policy.Tenths((1-min(1, r.tokens))/r.rate*10000)), true
}

// Waiting returns the number of queued gateways.
func (r *RestartLimiter) Waiting() int { return len(r.queuedAt) }
