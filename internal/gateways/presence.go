package gateways

import "indigodrift/policy"

// State is the service state of a gateway.
//
//	Absent  -> Joining (it sent a message or answered a probe)
//	Joining -> Serving (its endpoints are set up), Joining (it restarted), Absent (no response)
//	Serving -> Joining (it restarted), Leaving (graceful restart), Absent (no response, or forced restart)
//	Leaving -> Joining, Serving (cancelled), Absent
type State uint8

const (
	Absent  State = iota // gets no calls and is probed at intervals
	Joining              // being brought into service
	Serving              // in service
	Leaving              // existing calls continue, new ones are refused
)

// String returns the name of the state for logs and tests.
func (s State) String() string { return [...]string{"absent", "joining", "serving", "leaving"}[s] }

var stateTransitions = [...][]State{
	Absent:  {Joining},
	Joining: {Serving, Absent, Joining},
	Serving: {Joining, Leaving, Absent},
	Leaving: {Joining, Serving, Absent},
}

const (
	keepaliveInterval    = policy.Tenths(300000) // a gateway that is silent for so long is audited
	initialProbeInterval = policy.Tenths(20000)  // for absent gateways, doubled after each probe
	maxProbeInterval     = policy.Tenths(600000)
)

// Presence tracks whether a gateway is in service and when to probe it. The zero value is Absent and never probed.
type Presence struct {
	state            State
	lastReceived     policy.Tenths
	unansweredProbes int
	nextProbe        policy.Tenths
}

// State returns the service state of the gateway.
func (p *Presence) State() State { return p.state }

// setState changes the state. It returns false if the transition is not allowed.
func (p *Presence) setState(next State) bool {
	for _, allowed := range stateTransitions[p.state] {
		if allowed == next {
			p.state = next
			return true
		}
	}
	return p.state == next
}

// Received records a message from the gateway.
func (p *Presence) Received(now policy.Tenths) { p.lastReceived, p.unansweredProbes = now, 0 }

// ReceivedSince reports whether the gateway has sent a message since a time. If it has, an unanswered command means a bad network
// and not a lost gateway: with half of all datagrams lost, gateways with many calls were taken for lost.
func (p *Presence) ReceivedSince(since policy.Tenths) bool { return p.lastReceived > since }

// Join records that the gateway is being brought into service.
func (p *Presence) Join(now policy.Tenths) bool { p.Received(now); return p.setState(Joining) }

// Joined records that the gateway is in service.
func (p *Presence) Joined() bool { return p.setState(Serving) }

// Leave records that the gateway announced a graceful restart.
func (p *Presence) Leave() bool { return p.setState(Leaving) }

// CancelLeave records that the gateway cancelled its graceful restart.
func (p *Presence) CancelLeave() bool { return p.setState(Serving) }

// Lost records that the gateway doesn't respond or left service. It returns true if the gateway wasn't absent before.
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

// ProbeDue reports whether to probe the gateway (AUEP) now, and when to call ProbeDue again.
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
		p.lastReceived = now // no further probe until the next interval
		return true, now + keepaliveInterval
	}
}
