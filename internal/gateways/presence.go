package gateways

import "indigodrift/policy"

// State of a gateway with its call agent.
//
//	Absent  -> Joining (it reported, or answered a probe), Absent
//	Joining -> Serving (its endpoints are as they should be), Absent (no answer)
//	Serving -> Joining (it restarted), Leaving (it goes gracefully), Absent (no answer, or forced)
//	Leaving -> Joining, Serving (cancelled), Absent
type State uint8

const (
	Absent  State = iota // no call goes there; it is probed now and then
	Joining              // being brought into service
	Serving
	Leaving // calls that stand go on, no new one is put there
)

func (s State) String() string { return [...]string{"absent", "joining", "serving", "leaving"}[s] }

var stateTransitions = [...][]State{Absent: {Joining}, Joining: {Serving, Absent, Joining}, Serving: {Joining, Leaving, Absent},
	Leaving: {Joining, Serving, Absent}}

const (
	keepaliveInterval    = policy.Tenths(300000) // a gateway that says nothing for so long is asked whether it is there
	initialProbeInterval = policy.Tenths(20000)  // one that is absent is asked again after so long, then ever less often
	maxProbeInterval     = policy.Tenths(600000)
)

// Presence follows one gateway: whether it is in service, and when to ask after it. The zero value is absent and never asked.
type Presence struct {
	state            State
	lastReceived     policy.Tenths
	unansweredProbes int
	nextProbe        policy.Tenths
}

// State is where the gateway stands.
func (p *Presence) State() State { return p.state }

// setState is the one place where a standing changes; false: it may not so.
func (p *Presence) setState(next State) bool {
	for _, allowed := range stateTransitions[p.state] {
		if allowed == next {
			p.state = next
			return true
		}
	}
	return p.state == next
}

// Received notes that something came from the gateway.
func (p *Presence) Received(now policy.Tenths) { p.lastReceived, p.unansweredProbes = now, 0 }

// ReceivedSince tells whether it was heard since an instant. A command that it did not answer since then tells that the network is bad,
// not that the gateway is gone: on a network that loses every other datagram, gateways full of calls were held to be gone.
func (p *Presence) ReceivedSince(since policy.Tenths) bool { return p.lastReceived > since }

// Join tells that it is being brought into service, Joined that it is.
func (p *Presence) Join(now policy.Tenths) bool { p.Received(now); return p.setState(Joining) }
func (p *Presence) Joined() bool                { return p.setState(Serving) }

// Leave and Stay: it announced that it goes, or took that back.
func (p *Presence) Leave() bool       { return p.setState(Leaving) }
func (p *Presence) CancelLeave() bool { return p.setState(Serving) }

// Lost tells that a command was given up, or that it said it is out of service. True when it was there until now.
func (p *Presence) Lost(now policy.Tenths) bool {
	wasPresent := p.state != Absent
	p.setState(Absent)
	if wasPresent {
		p.unansweredProbes = 0
	}
	p.nextProbe = now + min(maxProbeInterval, initialProbeInterval<<min(p.unansweredProbes, 8))
	p.unansweredProbes++
	return wasPresent
}

// ProbeDue tells whether to ask after it now (AUEP), and when to look again.
func (p *Presence) ProbeDue(now policy.Tenths) (probe bool, next policy.Tenths) {
	switch p.state {
	case Absent:
		if p.nextProbe == 0 {
			return false, now + keepaliveInterval
		}
		if now < p.nextProbe {
			return false, p.nextProbe
		}
		p.nextProbe = now + min(maxProbeInterval, initialProbeInterval<<min(p.unansweredProbes, 8))
		p.unansweredProbes++
		return true, p.nextProbe
	default:
		if at := p.lastReceived + keepaliveInterval; now < at {
			return false, at
		}
		p.lastReceived = now // one question at a time
		return true, now + keepaliveInterval
	}
}

// Owner tells which of a site's controllers a gateway belongs to: the one with the greatest weight for its name among those
// that are up (rendezvous hashing), so that the loss of one moves its own gateways alone and all reckon alike without a word.
// With none up it is the first.
func Owner(gateway string, controllers []string, up func(i int) bool) int {
	best, bestWeight := 0, uint64(0)
	for i, controller := range controllers {
		if weight := weightOf(gateway, controller); up(i) && (weight > bestWeight || weight == bestWeight && best == 0) {
			best, bestWeight = i, weight
		}
	}
	return best
}
