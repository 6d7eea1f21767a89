package exchange

import (
	"math"

	"indigodrift/internal/isup"
	"indigodrift/internal/numbers"
	"indigodrift/policy"
)

// Numbering is what an exchange finds destinations with, where the numbers dialled do not begin with the exchange's own
// number. Its tables and look-ups are internal/numbers'; here they meet the states of a call.
type Numbering struct {
	Versions *numbers.Versions
	Split    *numbers.Split
	Inquirer *numbers.Inquirer                  // nil: portability is not asked for
	Second   func(at policy.Tenths) int64       // seconds since 1970 at an instant
	At       func(second int64) policy.Tenths   // and back
	Changed  func(t *numbers.Table, why string) // another version is in force; why it was taken back, or ""
}

// portTold is an answer of the inquirer that has not been handled yet.
type portTold struct {
	call  uint32
	port  numbers.Port
	known bool
}

// Asker is what the inquirer of an exchange tells its calls through; queries go out by query.
type Asker struct {
	x     *Exchange
	query func(id uint32, server int, number string)
}

// Asker makes the exchange's side of an inquirer.
func (x *Exchange) Asker(query func(id uint32, server int, number string)) *Asker {
	return &Asker{x, query}
}

// Query sends a query out.
func (a *Asker) Query(id uint32, server int, number string) { a.query(id, server, number) }

// Told takes what is known for a call; it is handled once the inquirer has returned.
func (a *Asker) Told(call uint32, p numbers.Port, known bool) {
	a.x.told = append(a.x.told, portTold{call, p, known})
}

// Number has the exchange analyse numbers; without it the first digits name the exchange.
func (x *Exchange) Number(n *Numbering) { x.number = n }

// Change does something to versions or look-ups at an instant, and lets follow what follows.
func (x *Exchange) Change(now policy.Tenths, do func(n *Numbering)) {
	x.now = now
	if x.number != nil {
		do(x.number)
	}
	x.settle()
}

// analyse finds where a call's number leads, by the version in force as it begins; the call goes by that version until its
// end.
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

// portKnown takes what was told for a call that waits. One that has gone on meanwhile is not touched.
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

func (x *Exchange) ported(k *call, r numbers.Result, p numbers.Port) {
	if p.Ported {
		r = k.table.Again(k.caller, p.Number, x.number.Second(x.now), x.number.Split.For(k.version))
	}
	x.found(k, r)
}

// found takes a call on by what its number leads to, and watches whether the version in force should be taken back.
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

// unnumber lets go what a call that is over held of tables and look-ups.
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

// nextNumbering is when a look-up falls due or a version comes into force.
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
