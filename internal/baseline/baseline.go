// Package baseline holds the two plain ways of routing that the deciding module is measured beside: direct only, and
// direct, else one tandem drawn anew for each call. Scripted days alone use it; an exchange in service never does.
package baseline

import (
	"math/rand/v2"

	"indigodrift/internal/exchange"
	"indigodrift/policy"
)

type far struct {
	number int
	ready  bool
	free   int
}

type call struct {
	ask   policy.Call
	until policy.Tenths
	tries int
}

// Plain routes a call direct; with a tandem it tries one drawn at random when the direct group is full or turned it back.
type Plain struct {
	d      policy.Deployment
	out    policy.Executor
	tandem bool
	chance *rand.Rand
	far    map[uint32]*far
	order  []uint32
	calls  map[uint32]*call
}

// Build makes a builder for internal/exchange.
func Build(tandem bool) func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider {
	return func(d policy.Deployment, out policy.Executor, _ policy.Tenths) exchange.Decider {
		return &Plain{d: d, out: out, tandem: tandem, chance: rand.New(rand.NewPCG(d.Seed, 5)), far: map[uint32]*far{},
			calls: map[uint32]*call{}}
	}
}

// Offer takes a call and sends or blocks it at once.
func (p *Plain) Offer(now policy.Tenths, ask policy.Call) bool {
	k := &call{ask: ask, until: now + ask.TTL}
	p.calls[ask.ID] = k
	p.route(now, k, true)
	return true
}

func (p *Plain) route(now policy.Tenths, k *call, direct bool) {
	var fit []uint32
	for _, id := range p.order {
		f := p.far[id]
		if !f.ready || f.number == p.d.OwnExchange || f.free < k.ask.Width {
			continue
		}
		if f.number == k.ask.Dest && direct {
			p.send(now, k, id)
			return
		}
		if f.number != k.ask.Dest {
			fit = append(fit, id)
		}
	}
	if p.tandem && !k.ask.Transit && k.tries < 2 && len(fit) > 0 {
		p.send(now, k, fit[p.chance.IntN(len(fit))])
		return
	}
	delete(p.calls, k.ask.ID)
	p.out.Block(k.ask.ID, 0)
}

func (p *Plain) send(now policy.Tenths, k *call, to uint32) {
	k.tries++
	p.far[to].free -= k.ask.Width
	p.out.Send(k.ask.ID, to, k.until-now)
}

// Answered forgets the call; its end needs no choice.
func (p *Plain) Answered(_ policy.Tenths, id uint32, _ int) { delete(p.calls, id) }

// TryEnded tries a tandem after a try that never ran, and otherwise gives the call up.
func (p *Plain) TryEnded(now policy.Tenths, id uint32, _ int, _ uint32, end policy.Outcome, final bool, _ policy.Reason, _ policy.Tenths, _ policy.LoadReport) {
	k := p.calls[id]
	switch {
	case k == nil:
	case final:
		delete(p.calls, id)
	case end == policy.Blocked || end == policy.Unsent || end == policy.Unreachable:
		p.route(now, k, false)
	default:
		delete(p.calls, id)
		p.out.Abort(id)
	}
}

// LoadReported takes the free circuits towards a switch.
func (p *Plain) LoadReported(_ policy.Tenths, sw uint32, rep policy.LoadReport) {
	if f := p.far[sw]; f != nil && rep.Free >= 0 {
		f.free = rep.Free
	}
}

// Abandoned forgets the call.
func (p *Plain) Abandoned(_ policy.Tenths, id uint32) { delete(p.calls, id) }

// TimerExpired and ListLost need no choice here.
func (p *Plain) TimerExpired(policy.Tenths, uint64) {}
func (p *Plain) ListLost(policy.Tenths)             {}

// ListReceived takes the list of switches.
func (p *Plain) ListReceived(_ policy.Tenths, whole bool, list []policy.Switch) {
	if whole {
		for _, f := range p.far {
			f.ready = false
		}
	}
	for _, s := range list {
		f := p.far[s.ID]
		if f == nil {
			f = &far{}
			p.far[s.ID] = f
			p.order = append(p.order, s.ID)
		}
		f.number, f.ready = s.Number, s.Ready
	}
}
