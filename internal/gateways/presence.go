package gateways

import "indigodrift/policy"

// Standing of a gateway with its call agent.
//
//	Absent  -> Joining (it reported, or answered a probe), Absent
//	Joining -> Serving (its endpoints are as they should be), Absent (no answer)
//	Serving -> Joining (it restarted), Leaving (it goes gracefully), Absent (no answer, or forced)
//	Leaving -> Joining, Serving (cancelled), Absent
type Standing uint8

const (
	Absent  Standing = iota // no call goes there; it is probed now and then
	Joining                 // being brought into service
	Serving
	Leaving // calls that stand go on, no new one is put there
)

func (s Standing) String() string { return [...]string{"absent", "joining", "serving", "leaving"}[s] }

var mayBecome = [...][]Standing{Absent: {Joining}, Joining: {Serving, Absent, Joining}, Serving: {Joining, Leaving, Absent},
	Leaving: {Joining, Serving, Absent}}

const (
	quietMost  = policy.Tenths(300000) // a gateway that says nothing for so long is asked whether it is there
	probeFirst = policy.Tenths(20000)  // one that is absent is asked again after so long, then ever less often
	probeMost  = policy.Tenths(600000)
)

// Presence follows one gateway: whether it is in service, and when to ask after it. The zero value is absent and never asked.
type Presence struct {
	standing Standing
	heardAt  policy.Tenths
	probes   int
	probeAt  policy.Tenths
}

// Standing is where the gateway stands.
func (p *Presence) Standing() Standing { return p.standing }

// become is the one place where a standing changes; false: it may not so.
func (p *Presence) become(s Standing) bool {
	for _, may := range mayBecome[p.standing] {
		if may == s {
			p.standing = s
			return true
		}
	}
	return p.standing == s
}

// Heard notes that something came from the gateway.
func (p *Presence) Heard(now policy.Tenths) { p.heardAt, p.probes = now, 0 }

// Alive tells whether it was heard since an instant. A command that it did not answer since then tells that the network is bad,
// not that the gateway is gone: on a network that loses every other datagram, gateways full of calls were held to be gone.
func (p *Presence) Alive(since policy.Tenths) bool { return p.heardAt > since }

// Join tells that it is being brought into service, Joined that it is.
func (p *Presence) Join(now policy.Tenths) bool { p.Heard(now); return p.become(Joining) }
func (p *Presence) Joined() bool                { return p.become(Serving) }

// Leave and Stay: it announced that it goes, or took that back.
func (p *Presence) Leave() bool { return p.become(Leaving) }
func (p *Presence) Stay() bool  { return p.become(Serving) }

// Lost tells that a command was given up, or that it said it is out of service. True when it was there until now.
func (p *Presence) Lost(now policy.Tenths) bool {
	was := p.standing != Absent
	p.become(Absent)
	if was {
		p.probes = 0
	}
	p.probeAt = now + min(probeMost, probeFirst<<min(p.probes, 8))
	p.probes++
	return was
}

// Due tells whether to ask after it now (AUEP), and when to look again.
func (p *Presence) Due(now policy.Tenths) (ask bool, next policy.Tenths) {
	switch p.standing {
	case Absent:
		if p.probeAt == 0 {
			return false, now + quietMost
		}
		if now < p.probeAt {
			return false, p.probeAt
		}
		p.probeAt = now + min(probeMost, probeFirst<<min(p.probes, 8))
		p.probes++
		return true, p.probeAt
	default:
		if at := p.heardAt + quietMost; now < at {
			return false, at
		}
		p.heardAt = now // one question at a time
		return true, now + quietMost
	}
}

// Owner tells which of a site's controllers a gateway belongs to: the one with the greatest weight for its name among those
// that are up (rendezvous hashing), so that the loss of one moves its own gateways alone and all reckon alike without a word.
// With none up it is the first.
func Owner(gateway string, controllers []string, up func(i int) bool) int {
	best, weight := 0, uint64(0)
	for i, c := range controllers {
		if w := weightOf(gateway, c); up(i) && (w > weight || w == weight && best == 0) {
			best, weight = i, w
		}
	}
	return best
}
