// Package baseline holds the two plain ways of routing that the deciding module is measured beside: direct only, and
// direct, else one tandem drawn anew for each call. Scripted days alone use it; an exchange in service never does.
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

// Router routes a call direct; with a tandem it tries one drawn at random when the direct group is full or turned it back.
type Router struct {
	deployment  policy.Deployment
	executor    policy.Executor
	useTandem   bool
	random      *rand.Rand
	switches    map[uint32]*switchState
	switchOrder []uint32
	calls       map[uint32]*call
}

// NewBuilder makes a builder for internal/exchange.
func NewBuilder(tandem bool) func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider {
	return func(d policy.Deployment, out policy.Executor, _ policy.Tenths) exchange.Decider {
		return &Router{deployment: d, executor: out, useTandem: tandem, random: rand.New(rand.NewPCG(d.Seed, 5)), switches: map[uint32]*switchState{},
			calls: map[uint32]*call{}}
	}
}

// Offer takes a call and sends or blocks it at once.
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

// Answered forgets the call; its end needs no choice.
func (p *Router) Answered(_ policy.Tenths, id uint32, _ int) { delete(p.calls, id) }

// TryEnded tries a tandem after a try that never ran, and otherwise gives the call up.
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

// LoadReported takes the free circuits towards a switch.
func (p *Router) LoadReported(_ policy.Tenths, sw uint32, rep policy.LoadReport) {
	if f := p.switches[sw]; f != nil && rep.Free >= 0 {
		f.freeCircuits = rep.Free
	}
}

// Abandoned forgets the call.
func (p *Router) Abandoned(_ policy.Tenths, id uint32) { delete(p.calls, id) }

// TimerExpired and ListLost need no choice here.
func (p *Router) TimerExpired(policy.Tenths, uint64) {}
func (p *Router) ListLost(policy.Tenths)             {}

// ListReceived takes the list of switches.
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
