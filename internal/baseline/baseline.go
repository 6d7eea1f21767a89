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
func NewBuilder(tandem bool) func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider {
	return func(d policy.Deployment, out policy.Executor, _ policy.Tenths) exchange.Decider {
		return &Router{deployment: d, executor: out, useTandem: tandem, random: rand.New(rand.NewPCG(d.Seed, 5)), switches: map[uint32]*switchState{},
			calls: map[uint32]*call{}}
	}
}

// Offer sends or blocks a call at once.
func (p *Router) Offer(now policy.Tenths, ask policy.Call) bool {
	k := &call{offer: ask, deadline: now + ask.TTL}
	p.calls[ask.ID] = k
	p.route(now, k, true)
	return true
}

func (p *Router) route(now policy.Tenths, k *call, direct bool) {
	var fit []uint32
	for _, id := range p.switchOrder {
		f := p.switches[id]
		if !f.ready || f.number == p.deployment.OwnExchange || f.freeCircuits < k.offer.Width {
			continue
		}
		if f.number == k.offer.Dest && direct {
			p.send(now, k, id)
			return
		}
		if f.number != k.offer.Dest {
			fit = append(fit, id)
		}
	}
	if p.useTandem && !k.offer.Transit && k.tries < 2 && len(fit) > 0 {
		p.send(now, k, fit[p.random.IntN(len(fit))])
		return
	}
	delete(p.calls, k.offer.ID)
	p.executor.Block(k.offer.ID, 0)
}

func (p *Router) send(now policy.Tenths, k *call, to uint32) {
	k.tries++
	p.switches[to].freeCircuits -= k.offer.Width
	p.executor.Send(k.offer.ID, to, k.deadline-now)
}

// Answered removes the call, since its end needs no decision.
func (p *Router) Answered(_ policy.Tenths, id uint32, _ int) { delete(p.calls, id) }

// TryEnded tries a tandem if the route try did not reach the switch, and otherwise aborts the call.
func (p *Router) TryEnded(now policy.Tenths, id uint32, _ int, _ uint32, end policy.Outcome, final bool, _ policy.Reason, _ policy.Tenths, _ policy.LoadReport) {
	k := p.calls[id]
	switch {
	case k == nil:
	case final:
		delete(p.calls, id)
	case end == policy.Blocked || end == policy.Unsent || end == policy.Unreachable:
		p.route(now, k, false)
	default:
		delete(p.calls, id)
		p.executor.Abort(id)
	}
}

// LoadReported stores the number of free circuits towards a switch.
func (p *Router) LoadReported(_ policy.Tenths, sw uint32, rep policy.LoadReport) {
	if f := p.switches[sw]; f != nil && rep.Free >= 0 {
		f.freeCircuits = rep.Free
	}
}

// Abandoned removes the call.
func (p *Router) Abandoned(_ policy.Tenths, id uint32) { delete(p.calls, id) }

// TimerExpired does nothing, since a Router sets no timers.
func (p *Router) TimerExpired(policy.Tenths, uint64) {}

// ListLost does nothing: the last list stays in use.
func (p *Router) ListLost(policy.Tenths) {}

// ListReceived stores which switches are ready.
func (p *Router) ListReceived(_ policy.Tenths, whole bool, list []policy.Switch) {
	if whole {
		for _, f := range p.switches {
			f.ready = false
		}
	}
	for _, s := range list {
		f := p.switches[s.ID]
		if f == nil {
			f = &switchState{}
			p.switches[s.ID] = f
			p.switchOrder = append(p.switchOrder, s.ID)
		}
		f.number, f.ready = s.Number, s.Ready
	}
}
