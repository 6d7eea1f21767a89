package exchange

import (
	"math"

	"indigodrift/internal/isup"
	"indigodrift/internal/numbers"
	"indigodrift/policy"
)

// Numbering holds the number tables and the portability resolver of an exchange. An exchange without it takes the
// destination from the first digits of the called number.
type Numbering struct {
	Versions    *numbers.Versions
	Split       *numbers.Distributor
	Portability *numbers.PortabilityResolver       // nil if portability is not queried
	UnixSecond  func(at policy.Tenths) int64       // converts an instant to Unix seconds
	Instant     func(second int64) policy.Tenths   // converts Unix seconds to an instant
	Changed     func(t *numbers.Table, why string) // called when a version takes effect; why: reason for a rollback, or ""
}

// portReply is a result of the portability resolver that has not been handled yet.
type portReply struct {
	call  uint32
	port  numbers.Porting
	known bool
}

// PortabilityNet implements numbers.PortabilityNet for an exchange. It sends queries through a function, and queues the
// results for the calls that wait for them.
type PortabilityNet struct {
	exchange *Exchange
	query    func(id uint32, server int, number string)
}

// PortabilityNet returns the interface that the portability resolver of this exchange is to use.
func (x *Exchange) PortabilityNet(query func(id uint32, server int, number string)) *PortabilityNet {
	return &PortabilityNet{x, query}
}

// Query sends a query to a portability server.
func (n *PortabilityNet) Query(id uint32, server int, number string) { n.query(id, server, number) }

// LookupDone queues the portability result for a call; it is handled after the portability resolver has returned.
func (n *PortabilityNet) LookupDone(call uint32, port numbers.Porting, known bool) {
	n.exchange.portReplies = append(n.exchange.portReplies, portReply{call, port, known})
}

// SetNumbering makes the exchange analyse called numbers with the given tables.
func (x *Exchange) SetNumbering(numbering *Numbering) { x.numbering = numbering }

// UpdateNumbering calls do with the numbering of the exchange, if it has any, and handles what results for its calls.
func (x *Exchange) UpdateNumbering(now policy.Tenths, do func(n *Numbering)) {
	x.now = now
	if x.numbering != nil {
		do(x.numbering)
	}
	x.reportPending()
}

// analyse analyses the called number with the table version in force. The call uses that version until its end.
func (x *Exchange) analyse(call *activeCall) {
	numbering := x.numbering
	call.table = numbering.Versions.Pin()
	call.tableVersion = call.table.Version
	x.expectAnswer(call)
	result := call.table.Analyse(call.caller, call.digits, numbering.UnixSecond(x.now),
		numbering.Split.ForVersion(call.tableVersion), nil)
	if result.NeedsLookup && numbering.Portability != nil {
		deadline := numbers.LookupDeadline(x.now, x.now+x.deployment.Bearers[call.request.Bearer].GoSTarget, call.abandonTime)
		port, verdict := numbering.Portability.Lookup(x.now, call.id, result.Number, deadline)
		switch verdict {
		case numbers.LookupAnswered:
			x.applyPort(call, result, port)
			return
		case numbers.LookupPending:
			call.analysis = result
			return
		}
		call.donorRouted = true
	}
	x.handleAnalysis(call, result)
}

// handlePortReply handles the portability reply for a call. A call that has gone on or ended since is left alone.
func (x *Exchange) handlePortReply(reply portReply) {
	call := x.calls[reply.call]
	if call == nil || call.state != Analysing {
		return
	}
	if reply.known {
		x.applyPort(call, call.analysis, reply.port)
		return
	}
	call.donorRouted = true
	x.handleAnalysis(call, call.analysis)
}

// applyPort repeats the number analysis with the new number if the called number was ported.
func (x *Exchange) applyPort(call *activeCall, result numbers.Result, port numbers.Porting) {
	if port.Ported {
		result = call.table.AnalysePorted(call.caller, port.RoutingNumber, x.numbering.UnixSecond(x.now),
			x.numbering.Split.ForVersion(call.tableVersion))
	}
	x.handleAnalysis(call, result)
}

// handleAnalysis continues a call with the result of its number analysis. If too many numbers have no route, it rolls the
// number table back.
func (x *Exchange) handleAnalysis(call *activeCall, result numbers.Result) {
	numbering := x.numbering
	if reason, rollback := numbering.Versions.RecordCall(call.table, result.Outcome != numbers.NoRoute, x.now); rollback {
		if t, err := numbering.Versions.Rollback(reason, x.now); err == nil {
			numbering.Changed(t, reason)
		}
	}
	if result.Outcome != numbers.ToExchange {
		x.finish(call, Refused, isup.Cause(result.Cause), 0)
		return
	}
	call.digits = result.OutgoingDigits
	x.routeCall(call, result.Exchange)
}

// releaseNumbering releases the table version and the pending query of a call that has ended.
func (x *Exchange) releaseNumbering(call *activeCall) {
	if call.table == nil {
		return
	}
	if call.state == Analysing && x.numbering.Portability != nil {
		x.numbering.Portability.CancelLookup(call.id)
	}
	x.numbering.Versions.Unpin(call.table)
	call.table = nil
}

// nextNumberingTime returns the time at which a portability query is due or a table version takes effect.
func (x *Exchange) nextNumberingTime() policy.Tenths {
	next := policy.Tenths(math.MaxInt64)
	if x.numbering == nil {
		return next
	}
	if x.numbering.Portability != nil {
		if at, ok := x.numbering.Portability.NextTick(); ok {
			next = at
		}
	}
	if t, second := x.numbering.Versions.Pending(); t != nil {
		next = min(next, x.numbering.Instant(second))
	}
	return next
}

// tickNumbering puts a due table version into force and handles the timers of the portability resolver.
func (x *Exchange) tickNumbering() {
	numbering := x.numbering
	if numbering == nil {
		return
	}
	if numbering.Versions.ActivateDue(numbering.UnixSecond(x.now), x.now) {
		numbering.Changed(numbering.Versions.Current(), "")
	}
	if numbering.Portability != nil {
		numbering.Portability.Tick(x.now)
	}
}
