// Package exchange is one exchange's call control without any socket: it joins what arrives from subscribers' lines and
// trunk circuits with the deciding module, and says what is to be sent. It is pure: internal/control tells it the time
// and every message, carries out what it asks through Carrier, and calls Tick when Next falls due. Which route a call
// takes is the Decider's; which circuit, and what an unexpected message means, stands here and in internal/circuit.
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

// Decider makes every choice about a call; policy.Controller is the one in service. Its methods and what they mean are
// those of package policy.
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

// Side tells which way a message goes or came.
type Side uint8

const (
	// Line is the own switch's line side; Hop.Point names the block of lines.
	Line Side = iota
	// Ahead is the link dialled to a neighbour's switch: it carries what concerns calls that this exchange sent there.
	Ahead
	// Behind is the own switch, for a neighbour: it carries what concerns calls that the neighbour sent here.
	Behind
)

// Hop is one way to another party.
type Hop struct {
	Side  Side
	Peer  int    // index of the neighbour (Ahead, Behind)
	Point uint16 // block of lines (Line)
}

// atGateway tells whether a line is a phone at a gateway, which is told without the own switch.
func (h Hop) atGateway() bool { return h.Side == Line && h.Point >= AtGateways && h.Point < CalledFrom }

// Outcome is the final answer of a call.
type Outcome uint8

const (
	Stood Outcome = iota
	Refused
	Failed
	Left // the caller left first: nothing is owed
)

func (o Outcome) String() string { return [...]string{"stands", "refused", "failed", "caller left"}[o] }

// Answer is what is told, once, of every call that was offered to the module.
type Answer struct {
	Ref      isup.Reference
	Outcome  Outcome
	Dest     int
	Tries    int
	Took     policy.Tenths
	Transit  bool
	ComeBack policy.Tenths
}

// Carrier carries out what the exchange asks. Its methods must not call back.
type Carrier interface {
	Transmit(to Hop, m isup.Message)
	Follow() // ask the register for the whole list
	Note(text string)
	Answered(a Answer)
}

// Neighbour is another exchange and the size of the group of circuits to it.
type Neighbour struct{ Number, Circuits int }

// Point is the point code of an exchange; Lines the first of the codes that stand for its own line side, each with as
// many circuit codes as ISUP has.
func Point(number int) uint16 { return uint16(number + 1) }

const (
	Lines      = 0x2000 // blocks from which subscribers call
	AtGateways = 0x2f00 // blocks from which lines at gateways call
	CalledFrom = 0x3000 // blocks on which this exchange calls its lines
	blockMost  = 256

	numberDigits = 3 // a called number begins with so many digits of the exchange's number
)

// Called is the number of a line at an exchange.
func Called(exchange int, line uint32) string {
	return fmt.Sprintf("%0*d%06d", numberDigits, exchange, line)
}

// State of a call. become is the one place that changes it.
//
//	Asking    -> Offered (to the module), Answering (its line rings), Over; where its number leads is being found; Standing where it
//	             was kept from the program's life before
//	Offered   -> Trying (a set-up sent on), Over
//	Trying    -> Offered (that try ended, the module decides), Standing, Over
//	Answering -> Standing, Over
//	Standing  -> Over
type State uint8

const (
	Asking State = iota
	Offered
	Trying
	Answering
	Standing
	Over
)

var mayBecome = [...][]State{Asking: {Offered, Answering, Standing, Over}, Offered: {Trying, Over}, Trying: {Offered, Standing, Over},
	Answering: {Standing, Over}, Standing: {Over}, Over: nil}

// leg is one side of a call: where it came from or where its present try went.
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
	caller   string         // calling number, "" when not told
	table    *numbers.Table // the version it goes by here, nil when it was found elsewhere
	version  uint64         // of the table that found its destination, wherever that was
	found    numbers.Result // what its number leads to, while portability is asked for
	donor    bool           // portability could not be asked in time
	counted  bool           // owed a final answer by this exchange
	decided  bool           // offered to the module: originating here or in transit
	closed   bool           // its final answer was told
	beganAt  policy.Tenths
	leavesAt policy.Tenths
	limitAt  policy.Tenths // when the present try times out
	tries    int
	sw       uint32     // the switch of the present try
	cause    isup.Cause // why the last try ended, for a caller in another exchange
	session  string     // where the caller's side takes media, "" not told
}

type group struct {
	number  int
	g       *circuit.Group
	sw      uint32 // id of the switch that serves it, as last listed
	ready   bool   // and what the list said of it
	bootAt  policy.Tenths
	listed  bool
	up      bool
	life    string
	changed bool
	anew    bool          // this exchange has started anew and knows of its circuits what was kept
	auditAt policy.Tenths // not asked about them before
}

type lineKey struct {
	point uint16
	cic   uint16
}

const (
	dueLimit due.Kind = iota // a try's time-out
	dueLeave                 // the caller gives up
	dueWake                  // the module asked to be woken
	dueAudit                 // circuits with something to repeat
	dueAsk                   // a neighbour's turn to be asked has come
)

// report is an ending that the module is told once it has returned from the choice it is making.
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
	// auditEvery is how often circuits are looked through for a release or reset to repeat.
	auditEvery = policy.Tenths(2500)

	// handBack is kept of a caller's time for the way of its final answer: an answer made at the very end would reach
	// the caller after it gave up.
	handBack = policy.Tenths(300)

	hopsAtStart = 3 // an originating call may cross so many exchanges: one tandem and the destination
)

// RoomForCall tells whether a new call may still join so many messages that wait, of so many that can: the last quarter is
// kept for answers and releases, which end work, where a call begins some.
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
	waiting  int // calls that have no final answer yet
	number   *Numbering
	told     []portTold
	keeper   Keeper
	wall     func(policy.Tenths) int64
	coldFrom policy.Tenths         // nothing goes to a cold switch before
	fails    []recovery.StoredCall // callers of the life before who are to be told that their calls failed
	cuts     []recovery.Place
	withheld []policy.Switch // cold ones, as listed
}

// New makes the exchange; build makes its decider round the interface that the exchange offers to it.
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

// Next is when Tick must be called next.
func (x *Exchange) Next() policy.Tenths {
	at, _ := x.timers.Next() // the audit is always set
	return min(at, x.nextNumbering())
}

// Unanswered counts the calls that have no final answer yet.
func (x *Exchange) Unanswered() int { return x.waiting }

// Standing counts the calls that stand, in whatever part this exchange has in them.
func (x *Exchange) Standing() int {
	n := 0
	for _, k := range x.calls {
		if k.state == Standing {
			n++
		}
	}
	return n
}

// Drain has every new call refused from now on.
func (x *Exchange) Drain() { x.draining = true }

func (x *Exchange) at(at policy.Tenths, kind due.Kind, token uint64) { x.timers.Set(at, kind, token) }

// Tick does what has fallen due.
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

// expire is the last guard of the first rule: a call that the module has not answered when its caller is about to give
// up fails now. The module answers before that, so a line is written when this acts.
func (x *Exchange) expire(id uint32) {
	k := x.calls[id]
	if k == nil || k.state == Standing || k.state == Over {
		return
	}
	if k.decided {
		x.out.Note("a call found no answer before its caller's time was up")
		x.decide.Abandoned(x.now, id)
	}
	x.dropTry(k, isup.TimerExpiry)
	x.finish(k, Failed, isup.TimerExpiry, 0)
}

// settle tells the module of endings that followed from its own choices and of groups that changed.
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

func (x *Exchange) circuits(i int, says isup.Says) {
	if x.groups[i].listed {
		x.decide.LoadReported(x.now, x.groups[i].sw, x.groupReport(i, says))
	}
}

// become is the one place where a call changes its state.
func (x *Exchange) become(k *call, s State) {
	fits := false
	for _, may := range mayBecome[k.state] {
		fits = fits || may == s
	}
	if !fits {
		x.out.Note(fmt.Sprintf("fault: call in state %d was to become %d", k.state, s))
		return
	}
	if s == Over {
		delete(x.calls, k.id)
		x.keeper.Drop(k.id)
		x.unnumber(k)
		if k.counted && !k.closed { // its line answered nothing, or its side is gone: nobody is owed an answer
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

// finish gives the final answer that a call did not stand, and ends it.
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

// answered tells the carrier of the final answer, once.
func (x *Exchange) answered(k *call, o Outcome, comeBack policy.Tenths) {
	if k.closed || !k.counted {
		return
	}
	k.closed = true
	x.waiting--
	x.out.Answered(Answer{Ref: k.ref, Outcome: o, Dest: k.ask.Dest, Tries: k.tries, Took: x.now - k.beganAt,
		Transit: k.ask.Transit, ComeBack: comeBack})
}

// release sends a release on a leg and marks its circuits.
func (x *Exchange) release(l leg, m isup.Message) {
	m.CIC = l.bundle.CIC
	if l.hop.Side != Line {
		x.sayYielded(l.hop.Peer, &m)
		x.groups[l.hop.Peer].g.Release(x.now, m.CIC)
		x.groups[l.hop.Peer].changed = true
	}
	x.out.Transmit(l.hop, m)
}

// sayYielded has the end of a call tell that it took its circuits from one of ours.
func (x *Exchange) sayYielded(peer int, m *isup.Message) {
	if x.groups[peer].g.Yielded(m.CIC) {
		m.Says.Has |= isup.PartCall
		m.Says.Marks |= isup.Yielded
	}
}

// dropTry releases what the present try holds, if any.
func (x *Exchange) dropTry(k *call, cause isup.Cause) {
	if k.state == Trying || k.state == Answering || k.state == Standing {
		x.release(k.out, isup.Message{Type: isup.REL, Cause: cause, Location: isup.LocalNetwork})
	}
}

// tryEnded puts a call whose try is out back to the module.
func (x *Exchange) tryEnded(k *call, end policy.Outcome, why policy.Reason, wait policy.Tenths, says isup.Says) {
	x.become(k, Offered)
	x.later = append(x.later, report{id: k.id, try: k.tries - 1, sw: k.sw, end: end, why: why, wait: wait, says: says})
}

// audit sends again what the far ends have not answered.
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

// Listed takes an accepted list of switches.
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
		// The life before may have used the budget of a cold switch up.
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

// ListLost tells that the register cannot be had.
func (x *Exchange) ListLost(now policy.Tenths) {
	x.now = now
	x.decide.ListLost(now)
	x.settle()
}

// Advise takes the centre's advice: for each destination the tandem it thinks best.
func (x *Exchange) Advise(advice map[int]int) { x.advice = advice }

// LinkUp tells that the link to a neighbour's switch is up, and which life of that switch answered. Where the switch is
// another than before, or this exchange has just started, nothing is known of the circuits: all are reset.
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
	case g.anew: // the switch that knew our calls: those that were kept stand, all other circuits start anew
		g.g.ResetRest(now)
		x.keeper.Knows(g.number, life)
		x.audit()
		x.at(g.auditAt, dueAsk, 0)
	}
	g.anew = false
	x.settle()
}

// LinkDown tells that the link to a neighbour's switch broke. Tries that were out there are cut; calls that stand go on,
// as their circuits do not run through the link.
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

// OwnUp tells that the link to the own switch is up. Another life of it has no line and no circuit of the one before.
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

// OwnDown tells that the link to the own switch broke. No answer reaches a caller now: calls without one are over and
// what they hold is released; calls that stand go on until the switch is back and turns out to be another.
func (x *Exchange) OwnDown(now policy.Tenths) {
	x.now = now
	for _, k := range x.sorted() {
		if k.state != Standing {
			x.vanish(k, isup.TemporaryFailure)
		}
	}
	x.settle()
}

// vanish ends a call whose caller's side is gone.
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
	if k.in.hop.Side == Behind || k.in.hop.atGateway() { // a gateway's phone can still be told, whatever became of the switch
		x.release(k.in, isup.Message{Type: isup.REL, Cause: cause, Location: isup.LocalNetwork})
	}
	x.become(k, Over)
}

// lose ends calls whose circuits of a group are gone, the circuits being dealt with already.
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

// sorted lists the calls in the order they came, so that map order decides nothing.
func (x *Exchange) sorted() []*call {
	all := make([]*call, 0, len(x.calls))
	for _, k := range x.calls {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return all
}
