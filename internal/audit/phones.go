package audit

import (
	"math"
	"slices"

	"indigodrift/internal/isup"
)

// What is judged of phones at gateways beside the first rule.
const (
	ruleOutlives  = 6 // a connection outlives its call
	ruleWrongTone = 7
)

// Outlives is how long a connection may be there at a phone that is on hook, in microseconds: the way of a notification with
// its repeats, a gateway's round of audits, and the deletion with its repeats.
const Outlives = 60_000_000

// swallowedMost is the number of copies of an answer that the network must have taken before a call may stay without one.
const swallowedMost = 3

type phoneKey struct{ site, gateway, phone int }

type phoneCall struct {
	key                 phoneKey
	at, deadline        int64
	taken, hungUp, left int64
	swallowed           int // copies of its answer
	finals, outcome     int
}

type phoneState struct {
	off   bool
	onAt  int64            // on hook since
	conns map[uint32]int64 // made at
}

// phones judges calls from phones at gateways.
type phones struct {
	j     *judge
	calls map[isup.Reference]*phoneCall
	order []isup.Reference
	state map[phoneKey]*phoneState
	down  map[[2]int][]interval
}

func (p *phones) at(e Event) (phoneKey, *phoneState) {
	k := phoneKey{e.Site, e.Peer, int(e.CIC)}
	s := p.state[k]
	if s == nil {
		s = &phoneState{conns: map[uint32]int64{}}
		p.state[k] = s
	}
	return k, s
}

// take handles what concerns phones and tells whether it did.
func (p *phones) take(e Event) bool {
	switch e.Kind {
	case Dialled:
		k, _ := p.at(e)
		p.calls[e.Ref] = &phoneCall{key: k, at: e.At, deadline: e.At + e.Value}
		p.order = append(p.order, e.Ref)
	case Taken, HungUp, Final, Swallowed:
		if c := p.calls[e.Ref]; c != nil {
			p.told(c, e)
		}
	case Hook:
		_, s := p.at(e)
		s.off = e.Value == 1
		if !s.off {
			s.onAt = e.At
			if c := p.calls[e.Ref]; c != nil && c.left == 0 {
				c.left = e.At
			}
		}
	case Connection:
		k, s := p.at(e)
		if e.Value == 1 {
			s.conns[e.Slots] = e.At
		} else {
			p.outlived(k, s, e.Slots, e.At)
			delete(s.conns, e.Slots)
		}
	case Tone:
		offTone := e.Value >= 1 && e.Value <= 4 || e.Value == 6
		if off := e.Slots&1 != 0; e.Slots&2 == 0 && (offTone && !off || e.Value == 5 && off) {
			p.j.breach(ruleWrongTone, e.At, "phone %d at gateway %d of exchange %d gets tone %d with its receiver off: %v", e.CIC, e.Peer, e.Site, e.Value, off)
		}
	case GatewayDown:
		at := [2]int{e.Site, e.Peer}
		if n := len(p.down[at]); e.Value == 1 {
			p.down[at] = append(p.down[at], interval{e.At, math.MaxInt64})
		} else if n > 0 && p.down[at][n-1].to == math.MaxInt64 {
			p.down[at][n-1].to = e.At
		}
	default:
		return false
	}
	return true
}

func (p *phones) told(c *phoneCall, e Event) {
	switch e.Kind {
	case Taken:
		c.taken = e.At
	case Swallowed:
		c.swallowed++
	case HungUp:
		c.hungUp = e.At
	case Final:
		first := c.finals == 0
		switch {
		case c.hungUp != 0 && e.At > c.hungUp+Margin:
			p.j.breach(1, e.At, "a caller at phone %v hears an answer %d ms after the call agent was told that he hung up", c.key, (e.At-c.hungUp)/1000)
		case !first && (c.outcome == 2 || e.Slots == 1): // after it stood, a tone tells that it is over
			p.j.breach(1, e.At, "the call of phone %v is answered twice", c.key)
		}
		c.finals++
		c.outcome = int(e.Slots)
		if first && e.At > c.deadline+Margin {
			p.j.breach(1, e.At, "the call of phone %v is answered %d ms after its caller's time", c.key, (e.At-c.deadline)/1000)
		}
	}
}

// outlived judges a connection that ends, or is there at the end.
func (p *phones) outlived(k phoneKey, s *phoneState, number uint32, at int64) {
	since := max(s.onAt, s.conns[number], p.goneUntil(k, at))
	if s.off || at-since < Outlives {
		return
	}
	p.j.breach(ruleOutlives, at, "connection %d at phone %v is there %d s after its call was over", number, k, (at-since)/1_000_000)
}

// goneUntil is when a gateway or its controller was gone last, up to an instant: from then on it has its time anew.
func (p *phones) goneUntil(k phoneKey, at int64) (until int64) {
	for _, s := range slices.Concat(p.down[[2]int{k.site, k.gateway}], p.j.stopped[k.site]) {
		if s.from <= at {
			until = max(until, min(s.to, at))
		}
	}
	for _, t := range p.j.killed[k.site] {
		if t <= at {
			until = max(until, t)
		}
	}
	return until
}

// excused tells whether the gateway or its controller was gone in some part of a span.
func (p *phones) excused(k phoneKey, from, to int64) bool {
	for _, s := range p.down[[2]int{k.site, k.gateway}] {
		if s.from <= to && s.to >= from {
			return true
		}
	}
	for _, s := range p.j.stopped[k.site] {
		if s.from <= to && s.to >= from {
			return true
		}
	}
	for _, at := range p.j.killed[k.site] {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

// finish judges what is left at the end of the log.
func (p *phones) finish(last int64) {
	for _, ref := range p.order {
		c := p.calls[ref]
		if c.taken == 0 || c.finals > 0 || c.swallowed >= swallowedMost || c.deadline+Margin > last || c.left != 0 && c.left < c.deadline-Margin || p.excused(c.key, c.at-Margin, c.deadline+Margin) {
			continue
		}
		p.j.breach(1, c.deadline, "the call of phone %v got no answer before its caller's time was up", c.key)
	}
	for k, s := range p.state {
		for number := range s.conns {
			p.outlived(k, s, number, last)
		}
	}
}
