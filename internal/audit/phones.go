package audit

import (
	"math"
	"slices"

	"indigodrift/internal/isup"
)

// Rules for phones at gateways, in addition to rule 1.
const (
	ruleStaleConnection = 6 // a connection exists long after its call
	ruleWrongTone       = 7 // a tone doesn't fit the hook state
)

// MaxOnHookConnectionTime is how long a connection may exist at a phone that is on hook, in microseconds. It covers a
// notification with its retransmissions, one round of audits of a gateway, and the deletion with its retransmissions.
const MaxOnHookConnectionTime = 60_000_000

// minLostOutcomes is the number of copies of an outcome that the network must have lost before a call may end without one.
const minLostOutcomes = 3

type phoneKey struct{ site, gateway, phone int }

type phoneCall struct {
	key                                            phoneKey
	dialledAt, deadline                            int64
	acknowledgedAt, hangUpAcknowledgedAt, hungUpAt int64
	lostOutcomes                                   int // lost copies of the outcome
	outcomeCount, outcome                          int
}

type phoneState struct {
	offHook     bool
	onHookSince int64
	connections map[uint32]int64 // by serial number: when created
}

// phoneChecker checks calls from phones at gateways.
type phoneChecker struct {
	checker   *checker
	calls     map[isup.Reference]*phoneCall
	callOrder []isup.Reference
	phones    map[phoneKey]*phoneState
	outages   map[[2]int][]interval
}

func (p *phoneChecker) phoneOf(e Event) (phoneKey, *phoneState) {
	k := phoneKey{e.Site, e.Peer, int(e.CIC)}
	s := p.phones[k]
	if s == nil {
		s = &phoneState{connections: map[uint32]int64{}}
		p.phones[k] = s
	}
	return k, s
}

// handle processes an event of phones at gateways and reports whether it was one.
func (p *phoneChecker) handle(e Event) bool {
	switch e.Kind {
	case NumberDialled:
		k, _ := p.phoneOf(e)
		p.calls[e.Ref] = &phoneCall{key: k, dialledAt: e.At, deadline: e.At + e.Value}
		p.callOrder = append(p.callOrder, e.Ref)
	case NumberAcknowledged, HangUpAcknowledged, PhoneOutcome, PhoneOutcomeLost:
		if c := p.calls[e.Ref]; c != nil {
			p.checkCallEvent(c, e)
		}
	case HookChanged:
		_, s := p.phoneOf(e)
		s.offHook = e.Value == 1
		if !s.offHook {
			s.onHookSince = e.At
			if c := p.calls[e.Ref]; c != nil && c.hungUpAt == 0 {
				c.hungUpAt = e.At
			}
		}
	case ConnectionChanged:
		k, s := p.phoneOf(e)
		if e.Value == 1 {
			s.connections[e.Slots] = e.At
		} else {
			p.checkConnectionAge(k, s, e.Slots, e.At)
			delete(s.connections, e.Slots)
		}
	case ToneRequested:
		offTone := e.Value >= 1 && e.Value <= 4 || e.Value == 6
		if off := e.Slots&1 != 0; e.Slots&2 == 0 && (offTone && !off || e.Value == 5 && off) {
			p.checker.report(ruleWrongTone, e.At, "phone %d at gateway %d of exchange %d gets tone %d while off hook is %v", e.CIC, e.Peer, e.Site, e.Value, off)
		}
	case GatewayDown:
		at := [2]int{e.Site, e.Peer}
		if n := len(p.outages[at]); e.Value == 1 {
			p.outages[at] = append(p.outages[at], interval{e.At, math.MaxInt64})
		} else if n > 0 && p.outages[at][n-1].end == math.MaxInt64 {
			p.outages[at][n-1].end = e.At
		}
	default:
		return false
	}
	return true
}

func (p *phoneChecker) checkCallEvent(c *phoneCall, e Event) {
	switch e.Kind {
	case NumberAcknowledged:
		c.acknowledgedAt = e.At
	case PhoneOutcomeLost:
		c.lostOutcomes++
	case HangUpAcknowledged:
		c.hangUpAcknowledgedAt = e.At
	case PhoneOutcome:
		first := c.outcomeCount == 0
		switch {
		case c.hangUpAcknowledgedAt != 0 && e.At > c.hangUpAcknowledgedAt+Margin:
			p.checker.report(1, e.At, "the caller at phone %v got an outcome %d ms after the call agent acknowledged the hang-up", c.key, (e.At-c.hangUpAcknowledgedAt)/1000)
		case !first && (c.outcome == 2 || e.Slots == 1): // after an established call, a tone reports its end
			p.checker.report(1, e.At, "the call of phone %v got two outcomes", c.key)
		}
		c.outcomeCount++
		c.outcome = int(e.Slots)
		if first && e.At > c.deadline+Margin {
			p.checker.report(1, e.At, "the call of phone %v got its outcome %d ms after its deadline", c.key, (e.At-c.deadline)/1000)
		}
	}
}

// checkConnectionAge checks a connection that is deleted or exists at the end of the log.
func (p *phoneChecker) checkConnectionAge(k phoneKey, s *phoneState, number uint32, at int64) {
	since := max(s.onHookSince, s.connections[number], p.lastOutageEnd(k, at))
	if s.offHook || at-since < MaxOnHookConnectionTime {
		return
	}
	p.checker.report(ruleStaleConnection, at, "connection %d at phone %v existed for %d s after its call ended", number, k, (at-since)/1_000_000)
}

// lastOutageEnd returns the end of the last outage of a gateway or its controller before a given time. The time for
// deleting connections starts again there.
func (p *phoneChecker) lastOutageEnd(k phoneKey, at int64) (until int64) {
	for _, s := range slices.Concat(p.outages[[2]int{k.site, k.gateway}], p.checker.pauses[k.site]) {
		if s.start <= at {
			until = max(until, min(s.end, at))
		}
	}
	for _, t := range p.checker.kills[k.site] {
		if t <= at {
			until = max(until, t)
		}
	}
	return until
}

// hadOutage reports whether the gateway or its controller was unavailable at any time between from and to.
func (p *phoneChecker) hadOutage(k phoneKey, from, to int64) bool {
	for _, s := range p.outages[[2]int{k.site, k.gateway}] {
		if s.start <= to && s.end >= from {
			return true
		}
	}
	for _, s := range p.checker.pauses[k.site] {
		if s.start <= to && s.end >= from {
			return true
		}
	}
	for _, at := range p.checker.kills[k.site] {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

// checkRemaining checks the calls and connections that remain at the end of the log.
func (p *phoneChecker) checkRemaining(last int64) {
	for _, ref := range p.callOrder {
		c := p.calls[ref]
		if c.acknowledgedAt == 0 || c.outcomeCount > 0 || c.lostOutcomes >= minLostOutcomes || c.deadline+Margin > last || c.hungUpAt != 0 && c.hungUpAt < c.deadline-Margin || p.hadOutage(c.key, c.dialledAt-Margin, c.deadline+Margin) {
			continue
		}
		p.checker.report(1, c.deadline, "the call of phone %v got no outcome before its deadline", c.key)
	}
	for k, s := range p.phones {
		for number := range s.connections {
			p.checkConnectionAge(k, s, number, last)
		}
	}
}
