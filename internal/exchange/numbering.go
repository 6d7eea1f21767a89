package exchange

import (
	"math"

	"indigodrift/internal/isup"
	"indigodrift/internal/numbers"
	"indigodrift/policy"
)

// Numbering holds the number tables and the portability client of an exchange. An exchange without it takes the
// destination from the first digits of the called number.
type Numbering struct {
	Versions *numbers.Versions
	Split    *numbers.Split
	Inquirer *numbers.Inquirer                  // nil if portability is not queried
	Second   func(at policy.Tenths) int64       // converts an instant to Unix seconds
	At       func(second int64) policy.Tenths   // converts Unix seconds to an instant
	Changed  func(t *numbers.Table, why string) // called when another version takes effect; why is the reason for a rollback, or ""
}

// portTold is a reply of the portability client that has not been handled yet.
type portTold struct {
	call  uint32
	port  numbers.Port
	known bool
}

// Asker implements numbers.Net for an exchange: it sends queries through a function and queues replies for the calls
// that wait for them.
type Asker struct {
	x     *Exchange
	query func(id uint32, server int, number string)
}

// Asker returns the numbers.Net that the portability client of this exchange is to use.
func (x *Exchange) Asker(query func(id uint32, server int, number string)) *Asker {
	return &Asker{x, query}
}

// Query sends a query to a portability server.
func (a *Asker) Query(id uint32, server int, number string) { a.query(id, server, number) }

// Told queues the portability result for a call; it is handled after the portability client has returned.
func (a *Asker) Told(call uint32, p numbers.Port, known bool) {
	a.x.told = append(a.x.told, portTold{call, p, known})
}

// Number makes the exchange analyse called numbers with n.
func (x *Exchange) Number(n *Numbering) { x.number = n }

// Change calls do with the numbering of the exchange, if it has any, and handles what results for its calls.
func (x *Exchange) Change(now policy.Tenths, do func(n *Numbering)) {
	x.now = now
	if x.number != nil {
		do(x.number)
	}
	x.settle()
}

// analyse analyses the called number with the table version in force. The call uses that version until its end.
func (x *Exchange) analyse(k *call) {
	n := x.number
	k.table = n.Versions.Pin()
	k.version = k.table.Version
	x.count(k)
	r := k.table.Analyse(k.caller, k.digits, n.Second(x.now), n.Split.For(k.version), nil)
	if r.Ask && n.Inquirer != nil {
		until := numbers.WaitUntil(x.now, x.now+x.d.Bearers[k.ask.Bearer].GoSTarget, k.leavesAt)
		p, verdict := n.Inquirer.Ask(x.now, k.id, r.Number, until)
		switch verdict {
		case numbers.Known:
			x.ported(k, r, p)
			return
		case numbers.Wait:
			k.found = r
			return
		}
		k.donor = true
	}
	x.found(k, r)
}

// portKnown handles the portability reply for a call. A call that has gone on or ended since is left alone.
func (x *Exchange) portKnown(t portTold) {
	k := x.calls[t.call]
	if k == nil || k.state != Asking {
		return
	}
	if t.known {
		x.ported(k, k.found, t.port)
		return
	}
	k.donor = true
	x.found(k, k.found)
}

// ported repeats the number analysis with the new number if the called number was ported.
func (x *Exchange) ported(k *call, r numbers.Result, p numbers.Port) {
	if p.Ported {
		r = k.table.Again(k.caller, p.Number, x.number.Second(x.now), x.number.Split.For(k.version))
	}
	x.found(k, r)
}

// found continues a call with the result of its number analysis, and rolls the table back if too many numbers have no
// route.
func (x *Exchange) found(k *call, r numbers.Result) {
	n := x.number
	if why, back := n.Versions.Analysed(k.table, r.Outcome != numbers.NoRoute, x.now); back {
		if t, err := n.Versions.Rollback(why, x.now); err == nil {
			n.Changed(t, why)
		}
	}
	if r.Outcome != numbers.ToOffice {
		x.finish(k, Refused, isup.Cause(r.Cause), 0)
		return
	}
	k.digits = r.Sent
	x.routed(k, r.Exchange)
}

// unnumber releases the table version and the pending query of a call that has ended.
func (x *Exchange) unnumber(k *call) {
	if k.table == nil {
		return
	}
	if k.state == Asking && x.number.Inquirer != nil {
		x.number.Inquirer.Forget(k.id)
	}
	x.number.Versions.Unpin(k.table)
	k.table = nil
}

// nextNumbering returns the time at which a portability query is due or a table version takes effect.
func (x *Exchange) nextNumbering() policy.Tenths {
	next := policy.Tenths(math.MaxInt64)
	if x.number == nil {
		return next
	}
	if x.number.Inquirer != nil {
		if at, ok := x.number.Inquirer.Next(); ok {
			next = at
		}
	}
	if t, second := x.number.Versions.Waiting(); t != nil {
		next = min(next, x.number.At(second))
	}
	return next
}

// tickNumbering puts a due table version into force and handles the timers of the portability client.
func (x *Exchange) tickNumbering() {
	n := x.number
	if n == nil {
		return
	}
	if n.Versions.Due(n.Second(x.now), x.now) {
		n.Changed(n.Versions.Current(), "")
	}
	if n.Inquirer != nil {
		n.Inquirer.Tick(x.now)
	}
}
