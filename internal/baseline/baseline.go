// Package baseline implements two simple routing methods as a baseline for measurements of the policy: direct only, and
// direct with overflow to one random tandem per call. Only scripted days use it, never an exchange in service.
package baseline

import (
	"math/rand/v2"

	"indigodrift/internal/exchange"
	"indigodrift/policy"
)

type switchState struct {
	number       int
	ready        bool
	freeCircuits int
}

type call struct {
	offer    policy.Call
	deadline policy.Tenths
	tries    int
}

// Router routes calls direct. With useTandem it tries a random tandem if the direct trunk group is full or the call could
// not be sent on it.
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
func (p *Router) Offer(now policy.Tenths, offer policy.Call) bool {
	c := &call{offer: offer, deadline: now + offer.TTL}
	p.calls[offer.ID] = c
	p.route(now, c, true)
	return true
}

func (p *Router) route(now policy.Tenths, c *call, direct bool) {
	var tandems []uint32
	for _, id := range p.switchOrder {
		candidate := p.switches[id]
		if !candidate.ready || candidate.number == p.deployment.OwnExchange || candidate.freeCircuits < c.offer.Width {
			continue
		}
		if candidate.number == c.offer.Dest && direct {
			p.send(now, c, id)
			return
		}
		if candidate.number != c.offer.Dest {
			tandems = append(tandems, id)
		}
	}
	if p.useTandem && !c.offer.Transit && c.tries < 2 && len(tandems) > 0 {
		p.send(now, c, tandems[p.random.IntN(len(tandems))])
		return
	}
	delete(p.calls, c.offer.ID)
	p.executor.Block(c.offer.ID, 0)
}

func (p *Router) send(now policy.Tenths, c *call, to uint32) {
	c.tries++
	p.switches[to].freeCircuits -= c.offer.Width
	p.executor.Send(c.offer.ID, to, c.deadline-now)
}

// Answered removes the call, since its end needs no decision.
func (p *Router) Answered(_ policy.Tenths, id uint32, _ int) { delete(p.calls, id) }

// TryEnded tries a tandem if the route try did not reach the switch, and otherwise aborts the call.
func (p *Router) TryEnded(now policy.Tenths, id uint32, _ int, _ uint32, end policy.Outcome, final bool, _ policy.Reason, _ policy.Tenths, _ policy.LoadReport) {
	c := p.calls[id]
	switch {
	case c == nil:
	case final:
		delete(p.calls, id)
	case end == policy.Blocked || end == policy.Unsent || end == policy.Unreachable:
		p.route(now, c, false)
	default:
		delete(p.calls, id)
		p.executor.Abort(id)
	}
}

// LoadReported stores the number of free circuits towards a switch.
func (p *Router) LoadReported(_ policy.Tenths, sw uint32, rep policy.LoadReport) {
	if target := p.switches[sw]; target != nil && rep.Free >= 0 {
		target.freeCircuits = rep.Free
	}
}

// Abandoned removes the call.
func (p *Router) Abandoned(_ policy.Tenths, id uint32) { delete(p.calls, id) }

// TimerExpired does nothing, since a Router sets no timers.
func (p *Router) TimerExpired(policy.Tenths, uint64) {}

// ListLost does nothing: the last list stays in use.
func (p *Router) ListLost(policy.Tenths) {}

// ListReceived stores which switches are ready.
func (p *Router) ListReceived(_ policy.Tenths, full bool, list []policy.Switch) {
	if full {
		for _, known := range p.switches {
			known.ready = false
		}
	}
	for _, s := range list {
		known := p.switches[s.ID]
		if known == nil {
			known = &switchState{}
			p.switches[s.ID] = known
			p.switchOrder = append(p.switchOrder, s.ID)
		}
		known.number, known.ready = s.Number, s.Ready
	}
}
