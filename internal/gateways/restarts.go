// Package gateways decides about MGCP gateways at the door of an exchange, apart from any call: so far, when those that
// restart together are answered. It is pure; a call agent that speaks internal/mgcp calls it.
package gateways

import (
	"math"

	"indigodrift/policy"
)

// Admission on a restart that a gateway reports (RSIP, RFC 3435, 2.3.12).
type Admission uint8

const (
	Admitted Admission = iota // take it into service and answer
	Queued                    // answer that it is being carried out; Tick will name it
	Rejected                  // answer that there is no room now (403): the gateway comes again with its random delay
)

const (
	burstTime          = policy.Tenths(5000)   // restarts of so long may be answered at once after a quiet time
	maxQueueTime       = policy.Tenths(150000) // none is kept past what a gateway repeats its report for, with room to spare
	overloadRateShare  = 0.5                   // of its pace, what is left to restarts while calls wait longer than they should
	lightDelayShare    = 0.05                  // below which they are not, and the pace may grow
	rateDoublingTime   = 1000.0                // tenths in which it doubles then
	maxRateMultiple    = 64                    // times the stated rate that it grows to
	overloadDelayShare = 0.2                   // share of the tightest GoSTarget target that calls wait for the program, from which they are pressed
)

// Limits of the door.
type Limits struct {
	Rate      float64       // gateways a second that are taken into service whatever calls wait, half of it while they wait long
	MaxQueued int           // reports that may wait
	GoSTarget policy.Tenths // the tightest GoSTarget target of calls
}

type queuedRestart struct {
	gateway  uint32
	queuedAt policy.Tenths
}

// RestartLimiter paces gateways back into service after a district's power returns: each costs an answer, a request for
// notifications and an audit, and ten thousand in a second would hold up every call. Calls come first: while they wait,
// restarts go at a part of their pace.
type RestartLimiter struct {
	limits     Limits
	tokens     float64
	refilledAt policy.Tenths
	queue      []queuedRestart
	queuedAt   map[uint32]policy.Tenths // endpoint: since when it waits
	rate       float64
	delaySetAt policy.Tenths // when the calls' wait was last told
}

// NewRestartLimiter makes a door that nobody waits at.
func NewRestartLimiter(limits Limits, now policy.Tenths) *RestartLimiter {
	r := &RestartLimiter{limits: limits, refilledAt: now, delaySetAt: now, queuedAt: map[uint32]policy.Tenths{}, rate: limits.Rate}
	r.tokens = r.maxTokens()
	return r
}

func (r *RestartLimiter) maxTokens() float64 { return max(1, r.rate*float64(burstTime)/10000) }

func (r *RestartLimiter) refill(now policy.Tenths) {
	if now > r.refilledAt {
		r.tokens = min(r.maxTokens(), r.tokens+r.rate*float64(now-r.refilledAt)/10000)
		r.refilledAt = now
	}
}

// SetCallDelay tells how long calls wait for the program now; the pace follows it: it grows while they do not wait, as a fixed one
// either holds gateways off from a program that has time, or is no limit when it has none.
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

// Admit takes a gateway's report. One that is repeated while it waits keeps its place.
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

// queueTime is how long one that comes now would wait.
func (r *RestartLimiter) queueTime() policy.Tenths {
	return policy.Tenths(float64(len(r.queue)) / max(1e-9, r.rate) * 10000)
}

// Remove forgets a gateway that no longer waits for an answer.
func (r *RestartLimiter) Remove(gateway uint32) { delete(r.queuedAt, gateway) }

// Tick names the gateways whose turn has come, in the order in which they first reported.
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

// Next is when Tick must be called next; false when nobody waits.
func (r *RestartLimiter) Next(now policy.Tenths) (policy.Tenths, bool) {
	if len(r.queue) == 0 {
		return 0, false
	}
	return now + max(1, policy.Tenths((1-min(1, r.tokens))/r.rate*10000)), true
}

// Waiting counts the gateways that wait.
func (r *RestartLimiter) Waiting() int { return len(r.queuedAt) }
