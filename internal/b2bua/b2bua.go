// Package b2bua is a back-to-back user agent (RFC 7092) without any socket: callers on one side, switches on the other,
// the deciding module between. It is pure: internal/platform tells it the time and every message, carries out what it
// asks through Carrier, and calls Tick when Next falls due.
//
// What it owes the module, which the bench's simulator else does between module and network:
//
//	| seen                                                | told                                                  |
//	| set-up from a caller                                | Offer, once for each id, with the time left           |
//	| 200 to the set-up of the try that is out            | Stands; the caller has its answer already             |
//	| 503                                                 | Ended(Blocked), with Warning-Word and P-Wait          |
//	| 486, 500 and other refusals                         | Ended(Faulted)                                        |
//	| 480                                                 | Ended(Unsent)                                         |
//	| 504, connection lost                                | Ended(Cut)                                            |
//	| release with cause 16 or 41, no answer yet          | CANCEL, Ended(Cut, final); the caller has its failure |
//	| release with another cause, a first try is out      | CANCEL, Ended(Cut)                                    |
//	| the same, where an earlier try may be meant         | nothing; the try goes on                              |
//	| no connection in time, or refused                   | Ended(Unreached)                                      |
//	| no answer in the try's time, never past the caller's | CANCEL, Ended(TimedOut); the module still owes an answer |
//	| more than MaxTries, no such switch in the list      | Ended(Unsent)                                         |
//	| the module's Cancel                                 | CANCEL, Ended(Cancelled)                              |
//	| caller gave up                                      | CallerLeft, then Ended(Cancelled, final) of a try out |
//	| release by the switch with cause 16, or another     | Ended(Released, final), Ended(Cut, final)             |
//	| release by the caller                               | Ended(Cancelled, final)                               |
//	| NOTIFY                                              | Circuits                                              |
//
// Nothing is told to the module from inside its own Send or Cancel; what follows from these is told when it has returned.
// An answer that comes for a try that was given up is acknowledged and never passed on; what stands by it is released ahead of the next set-up
// at that switch, on the same connection, or once no further try can come. route_try.go has the states of a try.
package b2bua

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"indigodrift/internal/board"
	"indigodrift/internal/deployment"
	"indigodrift/internal/due"
	"indigodrift/internal/exchange"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// Conn names a connection, a caller's or a switch's. Names are never used again; 0 is none.
type Conn uint32

// Carrier carries out what the agent asks. Its methods must not call back.
type Carrier interface {
	Write(to Conn, m *sip.Message) // nothing where the connection is gone
	Close(c Conn, why string)      // once what was written before has gone out
	Dial(sw, ticket uint32, address string)
	Left(caller Conn, callID string) bool // its connection has ended, or it has cancelled: the message of it is on its way here
	Note(text string)
	Record(Record)
}

// State of a call. become is the one place that changes it.
//
//	Offered  -> Trying (a route try is out, or waits for its connection), Over
//	Trying   -> Offered (the try ended or was given up, the module decides), Standing, Over
//	Standing -> Over
//	Over        is kept for a while, since late answers and releases still name it
type State uint8

const (
	Offered State = iota
	Trying
	Standing
	Over
)

var mayBecome = [...][]State{Offered: {Trying, Over}, Trying: {Offered, Standing, Over}, Standing: {Over}, Over: nil}

type call struct {
	id       uint64
	handle   uint32 // 0 for a call that was adopted: the module does not know it
	state    State
	caller   Conn // on which its set-up came
	callID   string
	uri      string
	class    string
	cseq     uint32 // of the caller's set-up
	body     []byte // the caller's description, until the call stands
	leavesAt policy.Tenths
	tries    []*routeTry // in the order of their numbers; of an adopted call the one by which it stands
	adopted  bool
	// heldUntil is when the next try may be written: an answer to an earlier one came after that was given up, and the release time runs from there.
	heldUntil policy.Tenths
	stoodAt   policy.Tenths
	overAt    policy.Tenths
	ended     bool // its caller knows that it is over, or is being told
	// answerPlace is where its answer stands in what was written on its caller's connection, 0 before.
	answerPlace uint64
}

const (
	// handBack is kept of a caller's time for the way of its final answer.
	handBack = policy.Tenths(150)

	keepOver  = policy.Tenths(100000) // what is over is remembered so long
	overMost  = 16384                 // and no more than so many
	houseWork = policy.Tenths(250)    // connections are looked after so often
)

const (
	dueTry  due.Kind = iota // the limit of a try
	dueHold                 // a try that was held may be placed
	dueLeave
	dueWake
	dueRelease
)

// report is an ending that the module is told once it has returned from the choice it is making.
type report struct {
	handle uint32
	try    int
	sw     uint32
	end    policy.Ending
	why    policy.Reason
	wait   policy.Tenths
	rep    policy.Report
	left   bool // the caller has left: nothing is to be decided any more
}

// Tally counts what became of calls since the start.
type Tally struct{ Taken, Stood, Blocked, Aborted, Left, Refused, Released, Cut, Crossed uint64 }

// Agent is the back-to-back user agent.
type Agent struct {
	set      deployment.Settled
	decide   exchange.Decider
	out      Carrier
	now      policy.Tenths
	silence  silenceClock
	calls    map[uint64]*call
	byHandle map[uint32]*call
	over     []*call // oldest first
	open     int     // neither standing nor over
	standing int
	held     int // octets of descriptions
	openMost int
	heldMost int
	linkMost int
	dialled  int // dials under way
	handles  uint32
	tickets  uint32
	fresh    uint64
	far      map[uint32]*farEnd
	farOrder []uint32
	linkOf   map[Conn]uint32
	dialTo   map[uint32]string // addresses of dials under way, by ticket
	starting bool              // nothing is dialled yet
	closing  map[Conn]uint32   // connections to switches that were closed here and may still bring releases
	callers  callerConns
	pending  releaseQueue
	timers   due.Queue
	houseAt  policy.Tenths
	later    []report
	tally    Tally
	releases Releases
	tries    Tries
	lateness policy.Tenths // greatest of a timer since it was last asked for
}

// New makes an agent; build makes its decider round the interface that the agent offers to it.
func New(set deployment.Settled, b Bounds, out Carrier, now policy.Tenths,
	build func(policy.Deployment, policy.Exchange, policy.Tenths) exchange.Decider) *Agent {
	a := &Agent{set: set, out: out, now: now, calls: map[uint64]*call{}, byHandle: map[uint32]*call{},
		openMost: b.Calls, heldMost: b.Octets, linkMost: b.Links, far: map[uint32]*farEnd{}, linkOf: map[Conn]uint32{}, closing: map[Conn]uint32{}, dialTo: map[uint32]string{},
		callers: newCallerConns(b.Callers), silence: silenceClock{tickAt: now}, pending: releaseQueue{byCall: map[uint64]*pendingRelease{}}, houseAt: now + houseWork, fresh: set.Module.Seed}
	a.decide = build(set.Module, (*desk)(a), now)
	return a
}

// Next is when Tick must be called next.
func (a *Agent) Next() policy.Tenths {
	if at, ok := a.timers.Next(); ok {
		return min(at, a.houseAt)
	}
	return a.houseAt
}

// Taken counts the calls that were taken since the start.
func (a *Agent) Taken() uint64 { return a.tally.Taken }

// Unanswered counts the calls that have no final answer yet.
func (a *Agent) Unanswered() int { return a.open }

// Tick does what has fallen due. stalled is the end of the last stall of this process, 0 when there was none.
func (a *Agent) Tick(now, stalled policy.Tenths) {
	a.now = now
	a.silence.tick(now, stalled)
	for d, ok := a.timers.Pop(now); ok; d, ok = a.timers.Pop(now) {
		a.lateness = max(a.lateness, now-d.At)
		k := a.byHandle[uint32(d.Token)]
		switch d.Kind {
		case dueWake:
			a.decide.Woken(now, d.Token)
		case dueRelease:
			a.releaseDue(d)
		case dueTry:
			a.limitReached(k, int(d.Token>>32))
		case dueHold:
			a.holdOver(k, int(d.Token>>32))
		case dueLeave:
			a.expire(k)
		}
		a.settle()
	}
	if now >= a.houseAt {
		a.houseAt = now + houseWork
		a.keep()
		a.forget()
		a.sweep()
		a.settle()
	}
}

// expire is the last guard of the first rule: a call that the module has not answered when its caller is about to give
// up fails now. The module answers before that, so a line is written when this acts.
func (a *Agent) expire(k *call) {
	if k == nil || k.state == Standing || k.state == Over {
		return
	}
	a.out.Note("a call found no answer before its caller's time was up")
	a.fail(k)
}

// settle tells the module of endings that followed from its own choices.
func (a *Agent) settle() {
	for len(a.later) > 0 {
		r := a.later[0]
		a.later = a.later[1:]
		k := a.byHandle[r.handle]
		if k == nil || k.state != Offered || len(k.tries)-1 != r.try {
			continue
		}
		if r.left {
			a.left(k)
			a.tally.Left++
			continue
		}
		a.decide.Ended(a.now, r.handle, r.try, r.sw, r.end, false, r.why, r.wait, r.rep)
	}
}

// become is the one place where a call changes its state.
func (a *Agent) become(k *call, s State) {
	if !slices.Contains(mayBecome[k.state], s) {
		a.out.Note(fmt.Sprintf("fault: call in state %d was to become %d", k.state, s))
		return
	}
	open := func(s State) bool { return s == Offered || s == Trying }
	if open(k.state) && !open(s) {
		a.open--
		a.callers.setUpEnded(k.caller)
		a.held -= len(k.body)
		k.body = nil
	}
	switch {
	case s == Standing:
		a.standing++
		k.stoodAt = a.now
	case k.state == Standing:
		a.standing--
	}
	a.out.Record(Record{Kind: CallState, CallID: k.callID, Conn: k.caller, Switch: k.far(), From: k.state, To: s})
	k.state = s
	if s == Over {
		delete(a.byHandle, k.handle)
		a.remember(k)
	}
	a.releaseTryLeft(k)
}

// remember keeps a call that is over for a while.
func (a *Agent) remember(k *call) {
	k.overAt = a.now
	a.calls[k.id] = k
	a.over = append(a.over, k)
}

// forget drops what has been over for long, and the oldest where there are too many.
func (a *Agent) forget() {
	n := 0
	for n < len(a.over) && (a.now-a.over[n].overAt > keepOver || len(a.over)-n > overMost) {
		delete(a.calls, a.over[n].id)
		n++
	}
	if n > 0 {
		a.over = slices.Delete(a.over, 0, n)
	}
}

// inOrder lists the calls that a choice names, by handle and then id: the map's order must decide nothing.
func (a *Agent) inOrder(which func(*call) bool) []*call {
	var found []*call
	for _, k := range a.calls {
		if which(k) {
			found = append(found, k)
		}
	}
	slices.SortFunc(found, func(x, y *call) int {
		return cmp.Or(cmp.Compare(x.handle, y.handle), cmp.Compare(x.id, y.id))
	})
	return found
}

// freshID makes the id of a test.
func (a *Agent) freshID() string {
	a.fresh++
	return fmt.Sprintf("%016x", a.fresh)
}

// refuse writes a call's final answer that it does not stand.
func (a *Agent) refuse(k *call, status int, comeBack policy.Tenths) {
	m := sip.Message{Status: status, CallID: k.callID, CSeq: k.cseq, CSeqMethod: sip.Invite}
	if comeBack > 0 {
		m.Fields = []sip.Field{{Name: fieldBackOff, Value: strconv.FormatInt(int64((comeBack+9)/10), 10)}}
	}
	a.out.Record(Record{Kind: CallRefused, CallID: k.callID, Conn: k.caller, Switch: k.far(), Try: len(k.tries), Why: strconv.Itoa(status)})
	a.writeAnswer(k, &m)
}

// left ends a call whose caller is owed nothing more.
func (a *Agent) left(k *call) {
	a.decide.CallerLeft(a.now, k.handle)
	if k.state == Trying {
		a.tries.Cancelled++
		t := k.last()
		a.abandon(t, "its caller has left, or its call has failed")
		a.become(k, Over)
		a.decide.Ended(a.now, k.handle, t.number, t.sw, policy.Cancelled, true, policy.NoReason, 0, untold)
		return
	}
	a.become(k, Over)
}

var untold = policy.Report{Free: -1, Size: -1, Wait: -1, HoldBack: -1}

// ended tells the module of the end of a standing call and forgets it.
func (a *Agent) ended(k *call, end policy.Ending, rep policy.Report) {
	t := k.last()
	a.advance(t, eventRelease, "the call is over")
	a.become(k, Over)
	if k.handle != 0 {
		a.decide.Ended(a.now, k.handle, t.number, t.sw, end, true, policy.NoReason, 0, rep)
	} else if rep.Size >= 0 && a.far[t.sw] != nil {
		a.decide.Circuits(a.now, t.sw, rep)
	}
	if end == policy.Cut {
		a.tally.Cut++
	} else {
		a.tally.Released++
	}
}

// FromSwitch takes a message of a switch.
func (a *Agent) FromSwitch(now policy.Tenths, c Conn, m *sip.Message) {
	a.now = now
	sw, ok := a.linkOf[c]
	if !ok {
		a.crossesSwitchClose(c, m)
		return
	}
	f := a.far[sw]
	if f == nil {
		return
	}
	f.heard(now)
	if l := f.link(c); l != nil {
		f.spoke(l, now)
		l.heardAt, l.askedAt, l.partAt, l.heard, l.silent = now, 0, 0, true, false
		if m.Status != 0 && m.CSeqMethod == sip.Options {
			f.tested(l, now, m.CallID)
		}
	}
	switch {
	case m.Status != 0 && m.CSeqMethod == sip.Invite:
		a.answer(f, c, m)
	case m.Status != 0:
	case m.Method == sip.Notify:
		if rep := readLoad(m); rep.Size >= 0 {
			f.told = rep
			a.decide.Circuits(now, sw, rep)
		}
	case m.Method == sip.Bye:
		heard := m.Answer(sip.OK)
		a.out.Write(c, &heard)
		a.released(f, c, m)
	case m.Method == sip.Options:
		passed := m.Answer(sip.OK)
		a.out.Write(c, &passed)
	}
	if len(f.waiting) > 0 {
		a.sendWaiting(f)
	}
	a.settle()
}

// crossesSwitchClose takes a message that came while its connection to a switch was closed here: a release is worth as much as before, and what
// was answered stands there.
func (a *Agent) crossesSwitchClose(c Conn, m *sip.Message) {
	sw, ok := a.closing[c]
	f := a.far[sw]
	switch {
	case !ok || f == nil:
		return
	case m.Method == sip.Bye:
		a.released(f, c, m)
	case m.Status != 0 && m.CSeqMethod == sip.Invite:
		a.answer(f, c, m)
	}
	a.settle()
}

// Far is what is believed of one switch, for the log.
type Far struct {
	ID         string
	State      board.State
	Free, Size int
	Links      int
}

// Believes lists what is believed of every switch, in the order in which they were listed.
func (a *Agent) Believes() []Far {
	var all []Far
	for _, id := range a.farOrder {
		f := a.far[id]
		all = append(all, Far{board.Text(id), f.entry.State, f.told.Free, f.told.Size, len(f.links)})
	}
	return all
}

// Releases tells what became of releases towards callers.
func (a *Agent) Releases() Releases {
	r := a.releases
	if r.Waiting = len(a.pending.order); r.Waiting > 0 {
		r.Oldest = a.now - a.pending.order[0].cameAt
	}
	return r
}

// Tries tells what became of route tries.
func (a *Agent) Tries() Tries { return a.tries }

// Counts tells calls open, standing and remembered, callers' connections, and the greatest lateness of a timer since the
// last time.
func (a *Agent) Counts() (t Tally, open, standing, kept, callers int, late policy.Tenths) {
	late, a.lateness = a.lateness, 0
	return a.tally, a.open, a.standing, len(a.over), len(a.callers.conns), late
}
