// Package baseline implements two simple routing methods as a baseline for measurements of the policy: direct only, and
// direct with overflow to one random tandem per call. Only scripted days use it, never an exchange in service.
package baseline

import (
	"math/rand/v2"

	"indigodrift/internal/exchange"
	"indigodrift/policy"
)

// switchState is what a Router knows about a switch.
type switchState struct {
	number       int
	ready        bool
	freeCircuits int
}

// call is a call that is not established yet.
type call struct {
	offer    policy.Call
	deadline policy.Tenths
	tries    int
}

// Router routes calls direct. With useTandem it tries a random tandem if the direct trunk group is full, the call was turned
// back on it, or it could not be sent.
type Router struct {
	deployment  policy.Deployment
	executor    policy.Executor
	useTandem   bool
	random      *rand.Rand
	switches    map[uint32]*switchState
	switchOrder []uint32
	calls       map[uint32]*call
}

// NewBuilder returns a builder of Routers for internal/exchange.
func NewBuilder(useTandem bool) func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider {
	return func(deployment policy.Deployment, executor policy.Executor, _ policy.Tenths) exchange.Decider {
		return &Router{deployment: deployment, executor: executor, useTandem: useTandem, random: rand.New(rand.NewPCG(deployment.Seed, 5)), switches: map[uint32]*switchState{},
			calls: map[uint32]*call{}}
	}
}

// Offer sends or blocks a call at once.
func (r *Router) Offer(now policy.Tenths, offer policy.Call) bool {
	c := &call{offer: offer, deadline: now + offer.TTL}
	r.calls[offer.ID] = c
	r.route(now, c, true)
	return true
}

// route sends a call on the direct trunk group if that is allowed, else to a tandem, or blocks it.
func (r *Router) route(now policy.Tenths, c *call, direct bool) {
	var tandems []uint32
	for _, id := range r.switchOrder {
		candidate := r.switches[id]
		if !candidate.ready || candidate.number == r.deployment.OwnExchange || candidate.freeCircuits < c.offer.Width {
			continue
		}
		if candidate.number == c.offer.Dest && direct {
			r.send(now, c, id)
			return
		}
		if candidate.number != c.offer.Dest {
			tandems = append(tandems, id)
		}
	}
	if r.useTandem && !c.offer.Transit && c.tries < 2 && len(tandems) > 0 {
		r.send(now, c, tandems[r.random.IntN(len(tandems))])
		return
	}
	delete(r.calls, c.offer.ID)
	r.executor.Block(c.offer.ID, 0)
}

func (r *Router) send(now policy.Tenths, c *call, to uint32) {
	c.tries++
	r.switches[to].freeCircuits -= c.offer.Width
	r.executor.Send(c.offer.ID, to, c.deadline-now)
}

// Answered removes the call, since its end needs no decision.
func (r *Router) Answered(_ policy.Tenths, id uint32, _ int) { delete(r.calls, id) }

// TryEnded tries a tandem if the route try was turned back or did not reach the switch, and otherwise aborts the call. A call
// that has ended is only removed.
func (r *Router) TryEnded(now policy.Tenths, id uint32, _ int, _ uint32, outcome policy.Outcome, final bool, _ policy.Reason, _ policy.Tenths, _ policy.LoadReport) {
	c := r.calls[id]
	switch {
	case c == nil:
	case final:
		delete(r.calls, id)
	case outcome == policy.Blocked || outcome == policy.Unsent || outcome == policy.Unreachable:
		r.route(now, c, false)
	default:
		delete(r.calls, id)
		r.executor.Abort(id)
	}
}

// LoadReported stores the number of free circuits towards a switch.
func (r *Router) LoadReported(_ policy.Tenths, sw uint32, report policy.LoadReport) {
	if target := r.switches[sw]; target != nil && report.Free >= 0 {
		target.freeCircuits = report.Free
	}
}

// Abandoned removes the call.
func (r *Router) Abandoned(_ policy.Tenths, id uint32) { delete(r.calls, id) }

// TimerExpired does nothing, since a Router sets no timers.
func (r *Router) TimerExpired(policy.Tenths, uint64) {}

// ListLost does nothing: the last list stays in use.
func (r *Router) ListLost(policy.Tenths) {}

// ListReceived stores which switches are ready.
func (r *Router) ListReceived(_ policy.Tenths, full bool, list []policy.Switch) {
	if full {
		for _, known := range r.switches {
			known.ready = false
		}
	}
	for _, s := range list {
		known := r.switches[s.ID]
		if known == nil {
			known = &switchState{}
			r.switches[s.ID] = known
			r.switchOrder = append(r.switchOrder, s.ID)
		}
		known.number, known.ready = s.Number, s.Ready
	}
}
