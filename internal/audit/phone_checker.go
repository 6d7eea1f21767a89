package audit

import (
	"math"
	"slices"

	"indigodrift/internal/isup"
)

// Rules for phones at gateways, in addition to rule 1.
const (
	ruleStaleConnection = 6 // a connection exists long after its call
	ruleWrongTone       = 7 // a tone does not fit the hook state
)

// MaxOnHookConnectionTime is how long a connection may exist at a phone that is on hook, in microseconds. It covers a
// notification with its retransmissions, one round of audits of a gateway, and the deletion with its retransmissions.
const MaxOnHookConnectionTime = 60_000_000

// minLostOutcomes is the number of copies of an outcome that the network must have lost before a call may end without one.
const minLostOutcomes = 3

// phoneKey identifies a phone by its exchange, its gateway and its endpoint.
type phoneKey struct{ site, gateway, phone int }

// phoneCall is a call that the user of a phone makes. Times are 0 until the event occurs.
type phoneCall struct {
	key                                            phoneKey
	dialledAt, deadline                            int64
	acknowledgedAt, hangUpAcknowledgedAt, hungUpAt int64
	lostOutcomes                                   int // lost copies of the outcome
	outcomeCount, outcome                          int
}

// phoneState is the hook state of a phone and its connections.
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

// phoneOf returns the key and the state of the phone of an event.
func (p *phoneChecker) phoneOf(e Event) (phoneKey, *phoneState) {
	key := phoneKey{e.Site, e.Peer, int(e.CIC)}
	state := p.phones[key]
	if state == nil {
		state = &phoneState{connections: map[uint32]int64{}}
		p.phones[key] = state
	}
	return key, state
}

// handle processes an event of phones at gateways and reports whether it was one.
func (p *phoneChecker) handle(e Event) bool {
	switch e.Kind {
	case NumberDialled:
		phone, _ := p.phoneOf(e)
		p.calls[e.Ref] = &phoneCall{key: phone, dialledAt: e.At, deadline: e.At + e.Value}
		p.callOrder = append(p.callOrder, e.Ref)
	case NumberAcknowledged, HangUpAcknowledged, PhoneOutcome, PhoneOutcomeLost:
		if call := p.calls[e.Ref]; call != nil {
			p.checkCallEvent(call, e)
		}
	case HookChanged:
		_, state := p.phoneOf(e)
		state.offHook = e.Value == 1
		if !state.offHook {
			state.onHookSince = e.At
			if call := p.calls[e.Ref]; call != nil && call.hungUpAt == 0 {
				call.hungUpAt = e.At
			}
		}
	case ConnectionChanged:
		phone, state := p.phoneOf(e)
		if e.Value == 1 {
			state.connections[e.Slots] = e.At
		} else {
			p.checkConnectionAge(phone, state, e.Slots, e.At)
			delete(state.connections, e.Slots)
		}
	case ToneRequested:
		offHookTone := e.Value >= 1 && e.Value <= 4 || e.Value == 6
		if offHook := e.Slots&1 != 0; e.Slots&2 == 0 && (offHookTone && !offHook || e.Value == 5 && offHook) {
			p.checker.report(ruleWrongTone, e.At, "phone %d at gateway %d of exchange %d gets tone %d while off hook is %v", e.CIC, e.Peer, e.Site, e.Value, offHook)
		}
	case GatewayDown:
		gateway := [2]int{e.Site, e.Peer}
		if n := len(p.outages[gateway]); e.Value == 1 {
			p.outages[gateway] = append(p.outages[gateway], interval{e.At, math.MaxInt64})
		} else if n > 0 && p.outages[gateway][n-1].end == math.MaxInt64 {
			p.outages[gateway][n-1].end = e.At
		}
	default:
		return false
	}
	return true
}

// checkCallEvent checks rule 1 for an event of a phone's call.
func (p *phoneChecker) checkCallEvent(call *phoneCall, e Event) {
	switch e.Kind {
	case NumberAcknowledged:
		call.acknowledgedAt = e.At
	case PhoneOutcomeLost:
		call.lostOutcomes++
	case HangUpAcknowledged:
		call.hangUpAcknowledgedAt = e.At
	case PhoneOutcome:
		first := call.outcomeCount == 0
		switch {
		case call.hangUpAcknowledgedAt != 0 && e.At > call.hangUpAcknowledgedAt+Margin:
			p.checker.report(1, e.At, "the caller at phone %v got an outcome %d ms after the call agent acknowledged the hang-up", call.key, (e.At-call.hangUpAcknowledgedAt)/1000)
		case !first && (call.outcome == 2 || e.Slots == 1): // after an established call, a tone reports its end
			p.checker.report(1, e.At, "the call of phone %v got two outcomes", call.key)
		}
		call.outcomeCount++
		call.outcome = int(e.Slots)
		if first && e.At > call.deadline+Margin {
			p.checker.report(1, e.At, "the call of phone %v got its outcome %d ms after its deadline", call.key, (e.At-call.deadline)/1000)
		}
	}
}

// checkConnectionAge checks a connection that is deleted or exists at the end of the log.
func (p *phoneChecker) checkConnectionAge(phone phoneKey, state *phoneState, serial uint32, time int64) {
	since := max(state.onHookSince, state.connections[serial], p.lastOutageEnd(phone, time))
	if state.offHook || time-since < MaxOnHookConnectionTime {
		return
	}
	p.checker.report(ruleStaleConnection, time, "connection %d at phone %v existed for %d s after its call ended", serial, phone, (time-since)/1_000_000)
}

// lastOutageEnd returns the end of the last outage of a gateway or its controller before a given time. The time for
// deleting connections starts again there.
func (p *phoneChecker) lastOutageEnd(phone phoneKey, before int64) (end int64) {
	for _, outage := range slices.Concat(p.outages[[2]int{phone.site, phone.gateway}], p.checker.pauses[phone.site]) {
		if outage.start <= before {
			end = max(end, min(outage.end, before))
		}
	}
	for _, killedAt := range p.checker.kills[phone.site] {
		if killedAt <= before {
			end = max(end, killedAt)
		}
	}
	return end
}

// hadOutage reports whether the gateway or its controller was unavailable at any time between from and to.
func (p *phoneChecker) hadOutage(phone phoneKey, from, to int64) bool {
	for _, outage := range p.outages[[2]int{phone.site, phone.gateway}] {
		if outage.start <= to && outage.end >= from {
			return true
		}
	}
	for _, outage := range p.checker.pauses[phone.site] {
		if outage.start <= to && outage.end >= from {
			return true
		}
	}
	for _, killedAt := range p.checker.kills[phone.site] {
		if killedAt >= from && killedAt <= to {
			return true
		}
	}
	return false
}

// checkRemaining checks the calls and connections that remain at the end of the log.
func (p *phoneChecker) checkRemaining(last int64) {
	for _, ref := range p.callOrder {
		call := p.calls[ref]
		if call.acknowledgedAt == 0 || call.outcomeCount > 0 || call.lostOutcomes >= minLostOutcomes || call.deadline+Margin > last || call.hungUpAt != 0 && call.hungUpAt < call.deadline-Margin || p.hadOutage(call.key, call.dialledAt-Margin, call.deadline+Margin) {
			continue
		}
		p.checker.report(1, call.deadline, "the call of phone %v got no outcome before its deadline", call.key)
	}
	for phone, state := range p.phones {
		for serial := range state.connections {
			p.checkConnectionAge(phone, state, serial, last)
		}
	}
}
