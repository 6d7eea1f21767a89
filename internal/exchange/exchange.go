// Package exchange implements the call control of one exchange, without I/O. It connects subscriber lines and trunk
// circuits with the routing policy and issues the messages to send.
//
// internal/control passes in the time and every received message, sends what the exchange emits through Carrier, and
// calls Tick at the time that Next returns. The Decider chooses the route of a call; this package and internal/circuit
// choose the circuit and handle unexpected messages.
package exchange

import (
	"cmp"
	"fmt"
	"slices"

	"indigodrift/internal/circuit"
	"indigodrift/internal/due"
	"indigodrift/internal/isup"
	"indigodrift/internal/numbers"
	"indigodrift/internal/recovery"
	"indigodrift/policy"
)

// Decider makes every routing and admission decision. The implementation in service is policy.Controller, which
// documents the methods.
type Decider interface {
	Offer(now policy.Tenths, ask policy.Call) bool
	Answered(now policy.Tenths, id uint32, try int)
	TryEnded(now policy.Tenths, id uint32, try int, sw uint32, end policy.Outcome, final bool, why policy.Reason,
		wait policy.Tenths, rep policy.LoadReport)
	LoadReported(now policy.Tenths, sw uint32, rep policy.LoadReport)
	Abandoned(now policy.Tenths, id uint32)
	TimerExpired(now policy.Tenths, token uint64)
	ListReceived(now policy.Tenths, whole bool, list []policy.Switch)
	ListLost(now policy.Tenths)
}

// Side is the kind of party that a message goes to or comes from.
type Side uint8

// Kinds of parties.
const (
	// Line is the line side of the own switch; Hop.Point names the block of lines.
	Line Side = iota
	// Ahead is the link that this exchange opened to a neighbour's switch. It carries messages about calls sent there.
	Ahead
	// Behind is the link from the own switch to a neighbour. It carries messages about calls received from there.
	Behind
)

// Hop addresses the party that a message goes to or comes from.
type Hop struct {
	Side  Side
	Peer  int    // index of the neighbour (Ahead, Behind)
	Point uint16 // block of lines (Line)
}

// atGateway reports whether the hop is a telephone at a media gateway, which is reached without the own switch.
func (h Hop) atGateway() bool { return h.Side == Line && h.Point >= AtGateways && h.Point < CalledFrom }

// Outcome is the final answer of a call.
type Outcome uint8

// Outcomes of a call.
const (
	Stood   Outcome = iota // answered
	Refused                // no capacity or no route
	Failed                 // fault or time-out
	Left                   // the caller abandoned the call first: no answer is due
)

// String returns the outcome as the log shows it.
func (o Outcome) String() string { return [...]string{"stands", "refused", "failed", "caller left"}[o] }

// Answer describes the final answer of a call; it is reported once for every call that was offered to the decider.
type Answer struct {
	Ref      isup.Reference
	Outcome  Outcome
	Dest     int
	Tries    int
	Took     policy.Tenths
	Transit  bool
	ComeBack policy.Tenths
}

// Carrier sends the messages and reports of the exchange. Its methods must not call back into the exchange.
type Carrier interface {
	Transmit(to Hop, m isup.Message)
	Follow()          // request the whole switch list from the register
	Note(text string) // write a line to the operator's log
	Answered(a Answer)
}

// Neighbour is an adjacent exchange and the number of circuits of the trunk group to it.
type Neighbour struct{ Number, Circuits int }

// Point returns the point code of an exchange.
func Point(number int) uint16 { return uint16(number + 1) }

// Point codes of the own line side. Each addresses a block of lines with one circuit code per line.
const (
	Lines      = 0x2000 // first block for calls from subscriber lines
	AtGateways = 0x2f00 // first block for calls from lines at gateways
	CalledFrom = 0x3000 // first block for calls to lines of this exchange
	blockMost  = 256    // number of blocks for calls to lines

	numberDigits = 3 // leading digits of a called number that hold the exchange number
)

// Called returns the number of a line at an exchange.
func Called(exchange int, line uint32) string {
	return fmt.Sprintf("%0*d%06d", numberDigits, exchange, line)
}

// State is the state of a call. Only the become method changes it, and only along the transitions of mayBecome.
type State uint8

// States of a call.
const (
	Asking    State = iota // its number is being analysed
	Offered                // the decider chooses what to do
	Trying                 // a set-up was sent to another exchange
	Answering              // a line of this exchange rings
	Standing               // answered, or restored as answered after a restart
	Over                   // released, refused or failed
)

var mayBecome = [...][]State{Asking: {Offered, Answering, Standing, Over}, Offered: {Trying, Over}, Trying: {Offered, Standing, Over},
	Answering: {Standing, Over}, Standing: {Over}, Over: nil}

// leg is one side of a call: where it came from, or where its current try went.
type leg struct {
	hop    Hop
	bundle circuit.Bundle
}

type call struct {
	id       uint32
	state    State
	ask      policy.Call
	ref      isup.Reference
	digits   string
	hops     uint8
	in, out  leg
	caller   string         // calling number, "" if not given
	table    *numbers.Table // number table used for this call, nil if another exchange analysed the number
	version  uint64         // version of the table that found the destination, here or at another exchange
	found    numbers.Result // result of the number analysis, while a portability query is pending
	donor    bool           // routed by the donor exchange, as portability was not known in time
	counted  bool           // counted among the calls that await a final answer
	decided  bool           // offered to the decider: an originating or transit call
	closed   bool           // its final answer was reported
	beganAt  policy.Tenths
	leavesAt policy.Tenths
	limitAt  policy.Tenths // when the current try times out
	tries    int
	sw       uint32     // the switch of the current try
	cause    isup.Cause // why the last try ended, for the caller or the preceding exchange
	session  string     // session description of the caller's side, "" if not given
}

type group struct {
	number  int
	g       *circuit.Group
	sw      uint32 // id of the switch that serves the neighbour, from the last list
	ready   bool   // whether the list gave that switch as ready
	bootAt  policy.Tenths
	listed  bool
	up      bool
	life    string
	changed bool
	anew    bool          // this process has restarted and knows only the circuits of stored calls
	auditAt policy.Tenths // earliest time for the next circuit query after a restart
}

type lineKey struct {
	point uint16
	cic   uint16
}

const (
	dueLimit due.Kind = iota // a route try times out
	dueLeave                 // the caller abandons the call
	dueWake                  // the decider asked to be woken
	dueAudit                 // unanswered circuit messages may have to be repeated
	dueAsk                   // the circuit query to a neighbour may start
)

// report is the end of a try that is reported to the decider once it has returned from its current decision.
type report struct {
	id    uint32
	try   int
	sw    uint32
	end   policy.Outcome
	why   policy.Reason
	wait  policy.Tenths
	final bool
	says  isup.Says
}

const (
	// auditEvery is the interval at which unanswered releases and resets are looked for.
	auditEvery = policy.Tenths(2500)

	// handBack is subtracted from a caller's abandon time, as an answer sent at that very time would reach the caller
	// too late.
	handBack = policy.Tenths(300)

	hopsAtStart = 3 // hop counter of an originating call: allows one tandem and the destination
)

// RoomForCall reports whether a new call may join a message queue. The last quarter of the queue is reserved for
// answers and releases, which finish work, where a new call adds some.
func RoomForCall(waiting, most int) bool { return waiting <= most-most/4 }

// Exchange is the call control of one exchange.
type Exchange struct {
	own      int
	d        policy.Deployment
	decide   Decider
	out      Carrier
	now      policy.Tenths
	groups   []group
	byNumber map[int]int
	bySwitch map[uint32]int
	calls    map[uint32]*call
	lines    map[lineKey]uint32
	advice   map[int]int
	timers   due.Queue
	nextID   uint32
	nextLine uint32
	later    []report
	ownLife  string
	draining bool
	waiting  int // calls without a final answer
	number   *Numbering
	told     []portTold
	keeper   Keeper
	wall     func(policy.Tenths) int64
	coldFrom policy.Tenths         // no call goes to a cold switch before this time
	fails    []recovery.StoredCall // calls of the previous process whose callers must be told that they failed
	cuts     []recovery.Place      // lines of established calls that were lost in the restart
	withheld []policy.Switch       // cold switches, as listed, that are not used yet
}

// New creates an exchange. build creates its decider, which acts through the policy.Exchange passed to it.
func New(d policy.Deployment, neighbours []Neighbour, out Carrier, now policy.Tenths,
	build func(policy.Deployment, policy.Executor, policy.Tenths) Decider) *Exchange {
	x := &Exchange{own: d.OwnExchange, d: d, out: out, now: now, byNumber: map[int]int{}, bySwitch: map[uint32]int{},
		calls: map[uint32]*call{}, lines: map[lineKey]uint32{}, advice: map[int]int{}, keeper: noKeeper{}, wall: func(policy.Tenths) int64 { return 0 }}
	for i, n := range neighbours {
		x.groups = append(x.groups, group{number: n.Number, g: circuit.New(Point(d.OwnExchange), Point(n.Number), n.Circuits)})
		x.byNumber[n.Number] = i
	}
	x.decide = build(d, (*desk)(x), now)
	x.at(now+auditEvery, dueAudit, 0)
	return x
}

// Next returns the time at which Tick must be called.
func (x *Exchange) Next() policy.Tenths {
	at, _ := x.timers.Next() // the audit is always set
	return min(at, x.nextNumbering())
}

// Unanswered returns the number of calls without a final answer.
func (x *Exchange) Unanswered() int { return x.waiting }

// Standing returns the number of established calls, whether they originate here, end here or are in transit.
func (x *Exchange) Standing() int {
	n := 0
	for _, k := range x.calls {
		if k.state == Standing {
			n++
		}
	}
	return n
}

// Drain makes the exchange refuse every new call from now on.
func (x *Exchange) Drain() { x.draining = true }

func (x *Exchange) at(at policy.Tenths, kind due.Kind, token uint64) { x.timers.Set(at, kind, token) }

// Tick handles all timers that have expired.
func (x *Exchange) Tick(now policy.Tenths) {
	x.now = now
	for d, ok := x.timers.Pop(now); ok; d, ok = x.timers.Pop(now) {
		switch d.Kind {
		case dueWake:
			x.decide.TimerExpired(now, d.Token)
		case dueLimit:
			if k := x.calls[uint32(d.Token)]; k != nil && k.state == Trying && k.limitAt == d.At {
				x.dropTry(k, isup.TimerExpiry)
				x.tryEnded(k, policy.TimedOut, policy.NoReason, 0, isup.Says{})
			}
		case dueLeave:
			x.expire(uint32(d.Token))
		case dueAsk:
			x.audit()
		case dueAudit:
			x.audit()
			if len(x.withheld) > 0 && now >= x.coldFrom {
				list := x.withheld
				x.withheld = nil
				x.Listed(now, false, list)
			}
			x.at(now+auditEvery, dueAudit, 0)
		}
		x.settle()
	}
	x.tickNumbering()
	x.settle()
}

// expire fails a call that still has no answer when its caller is about to abandon it. The decider normally answers
// earlier, so that an expired call is logged.
func (x *Exchange) expire(id uint32) {
	k := x.calls[id]
	if k == nil || k.state == Standing || k.state == Over {
		return
	}
	if k.decided {
		x.out.Note("call not answered before its abandon time")
		x.decide.Abandoned(x.now, id)
	}
	x.dropTry(k, isup.TimerExpiry)
	x.finish(k, Failed, isup.TimerExpiry, 0)
}

// settle reports pending endings, portability replies and changed trunk groups to the decider until none is left.
func (x *Exchange) settle() {
	for {
		if len(x.later) > 0 {
			r := x.later[0]
			x.later = x.later[1:]
			x.tell(r)
			continue
		}
		if len(x.told) > 0 {
			t := x.told[0]
			x.told = x.told[1:]
			x.portKnown(t)
			continue
		}
		told := false
		for i := range x.groups {
			if g := &x.groups[i]; g.changed {
				g.changed = false
				x.circuits(i, isup.Says{})
				told = true
			}
		}
		if !told {
			return
		}
	}
}

// tell reports the end of a try to the decider, unless the call has moved on since.
func (x *Exchange) tell(r report) {
	k := x.calls[r.id]
	if !r.final && (k == nil || k.state != Offered || k.tries-1 != r.try) {
		return
	}
	rep := policy.LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1}
	if i, ok := x.bySwitch[r.sw]; ok {
		rep = x.groupReport(i, r.says)
	}
	x.decide.TryEnded(x.now, r.id, r.try, r.sw, r.end, r.final, r.why, r.wait, rep)
}

// groupReport builds the decider's report about a trunk group and the load of the switch behind it.
func (x *Exchange) groupReport(i int, says isup.Says) policy.LoadReport {
	g := &x.groups[i]
	rep := policy.LoadReport{Free: g.g.Free(), Size: g.g.Size(), Wait: -1, HoldBack: -1}
	if !g.up {
		rep.Free = 0
	}
	if says.Has&isup.PartLoad != 0 {
		rep.Wait, rep.HoldBack = policy.Tenths(says.Wait), float64(says.HoldBack)/1000
	}
	return rep
}

// circuits reports the free circuits of a trunk group to the decider.
func (x *Exchange) circuits(i int, says isup.Says) {
	if x.groups[i].listed {
		x.decide.LoadReported(x.now, x.groups[i].sw, x.groupReport(i, says))
	}
}

// become changes the state of a call; a transition that is not allowed is logged as a fault.
func (x *Exchange) become(k *call, s State) {
	fits := false
	for _, may := range mayBecome[k.state] {
		fits = fits || may == s
	}
	if !fits {
		x.out.Note(fmt.Sprintf("fault: call in state %d cannot change to state %d", k.state, s))
		return
	}
	if s == Over {
		delete(x.calls, k.id)
		x.keeper.Drop(k.id)
		x.unnumber(k)
		if k.counted && !k.closed { // the caller's side is gone: no answer can be given
			k.closed = true
			x.waiting--
		}
		if k.in.hop.Side == Line {
			delete(x.lines, lineKey{k.in.hop.Point, k.in.bundle.CIC})
		}
		if k.out.hop.Side == Line && k.state == Answering || k.state == Standing && k.out.hop.Side == Line {
			delete(x.lines, lineKey{k.out.hop.Point, k.out.bundle.CIC})
		}
	}
	k.state = s
}

// finish ends a call that was not established and gives the caller its final answer.
func (x *Exchange) finish(k *call, o Outcome, cause isup.Cause, comeBack policy.Tenths) {
	if k.state == Over {
		return
	}
	x.answered(k, o, comeBack)
	m := isup.Message{CIC: k.in.bundle.CIC, Type: isup.REL, Cause: cause, Location: isup.LocalNetwork}
	if comeBack > 0 {
		m.Says = isup.Says{Has: isup.PartComeBack, ComeBack: uint32(comeBack)}
	}
	if k.ask.Transit {
		m.Location = isup.Transit
	}
	x.release(k.in, m)
	x.become(k, Over)
}

// answered reports the final answer of a call, once.
func (x *Exchange) answered(k *call, o Outcome, comeBack policy.Tenths) {
	if k.closed || !k.counted {
		return
	}
	k.closed = true
	x.waiting--
	x.out.Answered(Answer{Ref: k.ref, Outcome: o, Dest: k.ask.Dest, Tries: k.tries, Took: x.now - k.beganAt,
		Transit: k.ask.Transit, ComeBack: comeBack})
}

// release sends a release on a leg and marks its circuits as being released.
func (x *Exchange) release(l leg, m isup.Message) {
	m.CIC = l.bundle.CIC
	if l.hop.Side != Line {
		x.sayYielded(l.hop.Peer, &m)
		x.groups[l.hop.Peer].g.Release(x.now, m.CIC)
		x.groups[l.hop.Peer].changed = true
	}
	x.out.Transmit(l.hop, m)
}

// sayYielded marks a release or its answer if the call had taken its circuits from a call of this exchange.
func (x *Exchange) sayYielded(peer int, m *isup.Message) {
	if x.groups[peer].g.Yielded(m.CIC) {
		m.Says.Has |= isup.PartCall
		m.Says.Marks |= isup.Yielded
	}
}

// dropTry releases the circuits of the current try, if any.
func (x *Exchange) dropTry(k *call, cause isup.Cause) {
	if k.state == Trying || k.state == Answering || k.state == Standing {
		x.release(k.out, isup.Message{Type: isup.REL, Cause: cause, Location: isup.LocalNetwork})
	}
}

// tryEnded returns a call to the decider after its try has ended.
func (x *Exchange) tryEnded(k *call, end policy.Outcome, why policy.Reason, wait policy.Tenths, says isup.Says) {
	x.become(k, Offered)
	x.later = append(x.later, report{id: k.id, try: k.tries - 1, sw: k.sw, end: end, why: why, wait: wait, says: says})
}

// audit repeats the messages that neighbours have not answered.
func (x *Exchange) audit() {
	for i := range x.groups {
		g := &x.groups[i]
		if !g.up || x.now < g.auditAt {
			continue
		}
		for _, r := range g.g.Due(x.now) {
			to := Hop{Side: Ahead, Peer: i}
			if r.Type == isup.REL && r.Theirs {
				to.Side = Behind
			}
			m := isup.Message{CIC: r.CIC, Type: r.Type, Range: r.Range, Cause: isup.NormalUnspecified, Location: isup.LocalNetwork}
			if r.Type == isup.REL {
				x.sayYielded(i, &m)
			}
			x.out.Transmit(to, m)
			g.changed = true
		}
	}
}

// Listed applies a validated list of switches.
func (x *Exchange) Listed(now policy.Tenths, whole bool, list []policy.Switch) {
	x.now = now
	if whole {
		for i := range x.groups {
			x.groups[i].ready = false
		}
	}
	if whole {
		x.withheld = nil
	}
	seen := map[int]bool{}
	for i := range list {
		// The previous process may have used up the slow-start budget of a cold switch.
		if s := &list[i]; now < x.coldFrom && s.BootAt > 0 && now < s.BootAt+x.d.RampTime {
			x.withheld = append(x.withheld, *s)
			s.Ready = false
		}
	}
	for _, s := range list {
		if i, ok := x.byNumber[s.Number]; ok {
			x.bySwitch[s.ID] = i
			if g := &x.groups[i]; !seen[i] || !g.ready {
				g.sw, g.ready, g.bootAt, g.listed, g.changed = s.ID, s.Ready, s.BootAt, true, true
			}
			seen[i] = true
		}
	}
	x.decide.ListReceived(now, whole, list)
	x.settle()
}

// ListLost reports that the register cannot be reached.
func (x *Exchange) ListLost(now policy.Tenths) {
	x.now = now
	x.decide.ListLost(now)
	x.settle()
}

// Advise sets the tandem that the centre recommends for each destination.
func (x *Exchange) Advise(advice map[int]int) { x.advice = advice }

// LinkUp reports that the link to a neighbour's switch is up. life identifies the process lifetime of that switch. If it
// has changed, the state of the circuits is unknown and all of them are reset.
func (x *Exchange) LinkUp(now policy.Tenths, peer int, life string) {
	x.now = now
	g := &x.groups[peer]
	g.up, g.changed = true, true
	switch {
	case g.life != life:
		g.life = life
		x.lose(peer, g.g.Reset(now))
		x.keeper.Knows(g.number, life)
		x.audit()
	case g.anew: // the switch still knows the restored calls; all other circuits are reset
		g.g.ResetRest(now)
		x.keeper.Knows(g.number, life)
		x.audit()
		x.at(g.auditAt, dueAsk, 0)
	}
	g.anew = false
	x.settle()
}

// LinkDown reports that the link to a neighbour's switch was lost. Tries through that switch end; established calls
// continue, as their circuits do not depend on the signalling link.
func (x *Exchange) LinkDown(now policy.Tenths, peer int) {
	x.now = now
	x.groups[peer].up, x.groups[peer].changed = false, true
	for _, k := range x.sorted() {
		if k.state == Trying && k.out.hop.Peer == peer {
			x.dropTry(k, isup.NetworkOutOfOrder)
			x.tryEnded(k, policy.Disconnected, policy.NoReason, 0, isup.Says{})
		}
	}
	x.settle()
}

// OwnUp reports that the link to the own switch is up. A restarted switch, which a changed life shows, has lost all
// lines and circuits.
func (x *Exchange) OwnUp(now policy.Tenths, life string) {
	x.now = now
	if x.ownLife != "" && x.ownLife != life {
		for _, k := range x.sorted() {
			x.vanish(k, isup.NetworkOutOfOrder)
		}
	}
	if x.ownLife != "" && x.ownLife != life {
		x.fails, x.cuts = nil, nil
	}
	x.ownLife = life
	x.keeper.Knows(-1, life)
	x.tellKept()
	x.settle()
}

// OwnDown reports that the link to the own switch was lost. No answer can reach a caller, so that calls without one end
// and are released. Established calls continue until the switch returns and turns out to have restarted.
func (x *Exchange) OwnDown(now policy.Tenths) {
	x.now = now
	for _, k := range x.sorted() {
		if k.state != Standing {
			x.vanish(k, isup.TemporaryFailure)
		}
	}
	x.settle()
}

// vanish ends a call whose caller's side is lost.
func (x *Exchange) vanish(k *call, cause isup.Cause) {
	if k.decided && k.state != Standing {
		x.decide.Abandoned(x.now, k.id)
		if k.in.hop.atGateway() {
			x.answered(k, Failed, 0)
		}
		x.answered(k, Left, 0)
	} else if k.decided {
		x.later = append(x.later, report{id: k.id, try: k.tries - 1, sw: k.sw, end: policy.Disconnected, final: true})
	}
	x.dropTry(k, cause)
	if k.in.hop.Side == Behind || k.in.hop.atGateway() { // a telephone at a gateway is reached without the switch
		x.release(k.in, isup.Message{Type: isup.REL, Cause: cause, Location: isup.LocalNetwork})
	}
	x.become(k, Over)
}

// lose ends calls that lost their circuits of a group. The circuits themselves are already in their new state.
func (x *Exchange) lose(peer int, ids []uint32) {
	for _, id := range ids {
		k := x.calls[id]
		if k == nil {
			continue
		}
		if out := k.out.hop; out.Side == Ahead && out.Peer == peer && (k.state == Trying || k.state == Standing) {
			x.backward(k, policy.Disconnected, policy.NoReason, isup.Message{Cause: isup.NetworkOutOfOrder})
			continue
		}
		x.forwardGone(k, isup.NetworkOutOfOrder)
	}
}

// sorted returns the calls in the order of arrival, so that processing does not depend on map order.
func (x *Exchange) sorted() []*call {
	all := make([]*call, 0, len(x.calls))
	for _, k := range x.calls {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return all
}
