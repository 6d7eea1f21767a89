// Package gateways decides about MGCP gateways at the door of an exchange, apart from any call: so far, when those that
// restart together are answered. It is pure; a call agent that speaks internal/mgcp calls it.
package gateways

import (
	"math"

	"indigodrift/policy"
)

// Verdict on a restart that a gateway reports (RSIP, RFC 3435, 2.3.12).
type Verdict uint8

const (
	Now     Verdict = iota // take it into service and answer
	Later                  // answer that it is being carried out; Tick will name it
	Refused                // answer that there is no room now (403): the gateway comes again with its random delay
)

const (
	depth       = policy.Tenths(5000)   // restarts of so long may be answered at once after a quiet time
	waitMost    = policy.Tenths(150000) // none is kept past what a gateway repeats its report for, with room to spare
	callsFirst  = 0.5                   // of its pace, what is left to restarts while calls wait longer than they should
	easyBelow   = 0.05                  // below which they are not, and the pace may grow
	doubles     = 1000.0                // tenths in which it doubles then
	paceMost    = 64                    // times the stated rate that it grows to
	pressedFrom = 0.2                   // share of the tightest GoS target that calls wait for the program, from which they are pressed
)

// Limits of the door.
type Limits struct {
	Rate  float64       // gateways a second that are taken into service whatever calls wait, half of it while they wait long
	Queue int           // reports that may wait
	GoS   policy.Tenths // the tightest GoS target of calls
}

type report struct {
	endpoint uint32
	since    policy.Tenths
}

// Restarts paces gateways back into service after a district's power returns: each costs an answer, a request for
// notifications and an audit, and ten thousand in a second would hold up every call. Calls come first: while they wait,
// restarts go at a part of their pace.
type Restarts struct {
	l       Limits
	tokens  float64
	at      policy.Tenths
	queue   []report
	waiting map[uint32]policy.Tenths // endpoint: since when it waits
	pace    float64
	told    policy.Tenths // when the calls' wait was last told
}

// NewRestarts makes a door that nobody waits at.
func NewRestarts(l Limits, now policy.Tenths) *Restarts {
	r := &Restarts{l: l, at: now, told: now, waiting: map[uint32]policy.Tenths{}, pace: l.Rate}
	r.tokens = r.most()
	return r
}

func (r *Restarts) most() float64 { return max(1, r.pace*float64(depth)/10000) }

func (r *Restarts) refill(now policy.Tenths) {
	if now > r.at {
		r.tokens = min(r.most(), r.tokens+r.pace*float64(now-r.at)/10000)
		r.at = now
	}
}

// CallsWait tells how long calls wait for the program now; the pace follows it: it grows while they do not wait, as a fixed one
// either holds gateways off from a program that has time, or is no limit when it has none.
func (r *Restarts) CallsWait(now, wait policy.Tenths) {
	r.refill(now)
	share := float64(wait) / float64(max(1, r.l.GoS))
	switch {
	case share > pressedFrom:
		r.pace = r.l.Rate * callsFirst
	case share < easyBelow:
		r.pace = min(paceMost*r.l.Rate, max(r.l.Rate, r.pace)*math.Exp2(float64(now-r.told)/doubles))
	default:
		r.pace = max(r.l.Rate, r.pace)
	}
	r.told = now
}

// Report takes a gateway's report. One that is repeated while it waits keeps its place.
func (r *Restarts) Report(now policy.Tenths, endpoint uint32) Verdict {
	r.refill(now)
	if _, waits := r.waiting[endpoint]; waits {
		return Later
	}
	if len(r.queue) == 0 && r.tokens >= 1 {
		r.tokens--
		return Now
	}
	if len(r.queue) >= r.l.Queue || r.wait() > waitMost {
		return Refused
	}
	r.queue = append(r.queue, report{endpoint, now})
	r.waiting[endpoint] = now
	return Later
}

// wait is how long one that comes now would wait.
func (r *Restarts) wait() policy.Tenths {
	return policy.Tenths(float64(len(r.queue)) / max(1e-9, r.pace) * 10000)
}

// Gone forgets a gateway that no longer waits for an answer.
func (r *Restarts) Gone(endpoint uint32) { delete(r.waiting, endpoint) }

// Tick names the gateways whose turn has come, in the order in which they first reported.
func (r *Restarts) Tick(now policy.Tenths) (turn []uint32) {
	r.refill(now)
	for len(r.queue) > 0 {
		first := r.queue[0]
		if since, waits := r.waiting[first.endpoint]; waits && since == first.since {
			if r.tokens < 1 {
				return turn
			}
			r.tokens--
			delete(r.waiting, first.endpoint)
			turn = append(turn, first.endpoint)
		}
		r.queue = r.queue[1:]
	}
	return turn
}

// Next is when Tick must be called next; false when nobody waits.
func (r *Restarts) Next(now policy.Tenths) (policy.Tenths, bool) {
	if len(r.queue) == 0 {
		return 0, false
	}
	return now + max(1, policy.Tenths((1-min(1, r.tokens))/r.pace*10000)), true
}

// Waiting counts the gateways that wait.
func (r *Restarts) Waiting() int { return len(r.waiting) }
