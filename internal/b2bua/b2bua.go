// Package b2bua implements a back-to-back user agent (RFC 7092): callers on one side, switches on the other, and the
// routing policy in between. The package does no I/O. internal/platform passes it the time and every message, performs
// the I/O that it requests through Carrier, and calls Tick when Next falls due.
//
// The agent translates what it sees on the network into calls to the policy:
//
//	| event                                               | reported to the policy                                |
//	| set-up from a caller                                | Offer, once for each id, with the time left           |
//	| 200 to the set-up of the try that is out            | Stands; the caller has been answered already          |
//	| 503                                                 | Ended(Blocked), with Warning-Word and P-Wait          |
//	| 486, 500 and other refusals                         | Ended(Faulted)                                        |
//	| 480                                                 | Ended(Unsent)                                         |
//	| 504, connection lost                                | Ended(Cut)                                            |
//	| release with cause 16 or 41, no answer yet          | CANCEL, Ended(Cut, final); the caller gets a failure  |
//	| release with another cause, the first try is out    | CANCEL, Ended(Cut)                                    |
//	| the same, where it may refer to an earlier try      | nothing; the try continues                            |
//	| no connection in time, or refused                   | Ended(Unreached)                                      |
//	| try timed out, at the caller's deadline at the latest | CANCEL, Ended(TimedOut); the policy still has to answer |
//	| more than MaxTries, or no such switch in the list   | Ended(Unsent)                                         |
//	| the policy's Cancel                                 | CANCEL, Ended(Cancelled)                              |
//	| caller abandons the call                            | CallerLeft, then Ended(Cancelled, final) of a try that is out |
//	| release by the switch with cause 16, or another     | Ended(Released, final), Ended(Cut, final)             |
//	| release by the caller                               | Ended(Cancelled, final)                               |
//	| NOTIFY                                              | Circuits                                              |
//
// The policy is never called from inside its own Send or Cancel; results of these are deferred until it has returned.
// An answer to an abandoned try is acknowledged and never passed on. The call that it established at its switch is
// released ahead of the next set-up there, on the same connection, or once no further try can come. route_try.go
// defines the states of a try.
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

// Conn identifies a connection to a caller or to a switch. Values are never reused; 0 means none.
type Conn uint32

// Carrier performs the I/O that the agent requests. Its methods must not call back into the agent.
type Carrier interface {
	Write(to Conn, m *sip.Message) // no-op if the connection is closed
	Close(c Conn, why string)      // after pending writes are flushed
	Dial(sw, ticket uint32, address string)
	Left(caller Conn, callID string) bool // reports whether the caller has disconnected or cancelled, even if that event is still queued
	Note(text string)
	Record(Record)
}

// State is the state of a call. Only become changes it.
//
//	Offered  -> Trying (a route try is out or waits for its connection), Over
//	Trying   -> Offered (the try ended or was abandoned; the policy decides), Standing, Over
//	Standing -> Over
//	Over        is retained for a while, since late answers and releases still refer to the call
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
	handle   uint32 // 0 for an adopted call, which the policy does not know
	state    State
	caller   Conn // connection on which its set-up came
	callID   string
	uri      string
	class    string
	cseq     uint32 // of the caller's set-up
	body     []byte // the caller's session description, until the call is established
	leavesAt policy.Tenths
	tries    []*routeTry // in the order of their numbers; an adopted call has only the one that established it
	adopted  bool
	// heldUntil is the earliest time of the next try. After an answer to an abandoned try the release time counts
	// from that answer.
	heldUntil policy.Tenths
	stoodAt   policy.Tenths
	overAt    policy.Tenths
	ended     bool // the caller knows that the call is over, or a release to it is pending
	// answerPlace is the sequence number of the answer among the writes on the caller's connection, 0 before it is
	// written.
	answerPlace uint64
}

const (
	// handBack is reserved for the transit of the final answer to the caller.
	handBack = policy.Tenths(150)

	keepOver  = policy.Tenths(100000) // how long ended calls are retained
	overMost  = 16384                 // and how many of them
	houseWork = policy.Tenths(250)    // how often connections are checked
)

const (
	dueTry  due.Kind = iota // a try has timed out
	dueHold                 // a held try may be placed
	dueLeave
	dueWake
	dueRelease
)

// report is the result of a try that is passed to the policy after the policy has returned from its current call.
type report struct {
	handle uint32
	try    int
	sw     uint32
	end    policy.Outcome
	why    policy.Reason
	wait   policy.Tenths
	rep    policy.LoadReport
	left   bool // the caller has abandoned the call: there is nothing left to decide
}

// Tally counts the outcomes of calls since the start.
type Tally struct{ Taken, Stood, Blocked, Aborted, Left, Refused, Released, Cut, Crossed uint64 }

// Agent is the back-to-back user agent.
type Agent struct {
	set      deployment.Settings
	decide   exchange.Decider
	out      Carrier
	now      policy.Tenths
	silence  silenceClock
	calls    map[uint64]*call
	byHandle map[uint32]*call
	over     []*call // oldest first
	open     int     // calls that are neither established nor over
	standing int
	held     int // octets of session descriptions
	openMost int
	heldMost int
	linkMost int
	dialled  int // dials in progress
	handles  uint32
	tickets  uint32
	fresh    uint64
	far      map[uint32]*farEnd
	farOrder []uint32
	linkOf   map[Conn]uint32
	dialTo   map[uint32]string // addresses of dials in progress, by dial
	starting bool              // during start-up, when nothing is dialled yet
	closing  map[Conn]uint32   // connections to switches that were closed locally and may still deliver releases
	callers  callerConns
	pending  releaseQueue
	timers   due.Queue
	houseAt  policy.Tenths
	later    []report
	tally    Tally
	releases Releases
	tries    Tries
	lateness policy.Tenths // maximum lateness of a timer since it was last reported
}

// New creates an agent; build creates the policy, given the interface through which it acts on the agent.
func New(set deployment.Settings, b Bounds, out Carrier, now policy.Tenths,
	build func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider) *Agent {
	a := &Agent{set: set, out: out, now: now, calls: map[uint64]*call{}, byHandle: map[uint32]*call{},
		openMost: b.Calls, heldMost: b.Octets, linkMost: b.Links, far: map[uint32]*farEnd{}, linkOf: map[Conn]uint32{}, closing: map[Conn]uint32{}, dialTo: map[uint32]string{},
		callers: newCallerConns(b.Callers), silence: silenceClock{tickAt: now}, pending: releaseQueue{byCall: map[uint64]*pendingRelease{}}, houseAt: now + houseWork, fresh: set.Policy.Seed}
	a.decide = build(set.Policy, (*desk)(a), now)
	return a
}

// Next returns when Tick must be called next.
func (a *Agent) Next() policy.Tenths {
	if at, ok := a.timers.Next(); ok {
		return min(at, a.houseAt)
	}
	return a.houseAt
}

// Taken returns the number of calls accepted since the start.
func (a *Agent) Taken() uint64 { return a.tally.Taken }

// Unanswered returns the number of calls without a final answer.
func (a *Agent) Unanswered() int { return a.open }

// Tick runs the timers that have fallen due. stalled is the end of the last stall of this process, 0 if there was
// none.
func (a *Agent) Tick(now, stalled policy.Tenths) {
	a.now = now
	a.silence.tick(now, stalled)
	for d, ok := a.timers.Pop(now); ok; d, ok = a.timers.Pop(now) {
		a.lateness = max(a.lateness, now-d.At)
		k := a.byHandle[uint32(d.Token)]
		switch d.Kind {
		case dueWake:
			a.decide.TimerExpired(now, d.Token)
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

// expire fails a call that the policy has left unanswered when its caller is about to abandon it. The policy
// normally answers earlier, so this is logged.
func (a *Agent) expire(k *call) {
	if k == nil || k.state == Standing || k.state == Over {
		return
	}
	a.out.Note("a call had no final answer when its caller's time was up")
	a.fail(k)
}

// settle passes the deferred results to the policy.
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
		a.decide.TryEnded(a.now, r.handle, r.try, r.sw, r.end, false, r.why, r.wait, r.rep)
	}
}

// become changes the state of a call; nothing else does.
func (a *Agent) become(k *call, s State) {
	if !slices.Contains(mayBecome[k.state], s) {
		a.out.Note(fmt.Sprintf("fault: invalid transition of a call from state %d to %d", k.state, s))
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

// remember retains a call that is over for a while.
func (a *Agent) remember(k *call) {
	k.overAt = a.now
	a.calls[k.id] = k
	a.over = append(a.over, k)
}

// forget drops calls whose retention has expired, and the oldest ones beyond the limit.
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

// inOrder returns the calls that match, sorted by handle and then id, so that the map's iteration order has no
// effect.
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

// freshID returns a new Call-ID for a keepalive.
func (a *Agent) freshID() string {
	a.fresh++
	return fmt.Sprintf("%016x", a.fresh)
}

// refuse writes a final answer that refuses or fails a call.
func (a *Agent) refuse(k *call, status int, comeBack policy.Tenths) {
	m := sip.Message{Status: status, CallID: k.callID, CSeq: k.cseq, CSeqMethod: sip.Invite}
	if comeBack > 0 {
		m.Fields = []sip.Field{{Name: fieldBackOff, Value: strconv.FormatInt(int64((comeBack+9)/10), 10)}}
	}
	a.out.Record(Record{Kind: CallRefused, CallID: k.callID, Conn: k.caller, Switch: k.far(), Try: len(k.tries), Why: strconv.Itoa(status)})
	a.writeAnswer(k, &m)
}

// left ends a call whose caller needs no further answer.
func (a *Agent) left(k *call) {
	a.decide.Abandoned(a.now, k.handle)
	if k.state == Trying {
		a.tries.Cancelled++
		t := k.last()
		a.abandon(t, "the caller abandoned the call, or the call failed")
		a.become(k, Over)
		a.decide.TryEnded(a.now, k.handle, t.number, t.sw, policy.Cancelled, true, policy.NoReason, 0, untold)
		return
	}
	a.become(k, Over)
}

var untold = policy.LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1}

// ended reports the end of an established call to the policy.
func (a *Agent) ended(k *call, end policy.Outcome, rep policy.LoadReport) {
	t := k.last()
	a.advance(t, eventRelease, "the call is over")
	a.become(k, Over)
	if k.handle != 0 {
		a.decide.TryEnded(a.now, k.handle, t.number, t.sw, end, true, policy.NoReason, 0, rep)
	} else if rep.Size >= 0 && a.far[t.sw] != nil {
		a.decide.LoadReported(a.now, t.sw, rep)
	}
	if end == policy.Disconnected {
		a.tally.Cut++
	} else {
		a.tally.Released++
	}
}

// FromSwitch handles a message of a switch.
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
			a.decide.LoadReported(now, sw, rep)
		}
	case m.Method == sip.Bye:
		heard := m.Response(sip.OK)
		a.out.Write(c, &heard)
		a.released(f, c, m)
	case m.Method == sip.Options:
		passed := m.Response(sip.OK)
		a.out.Write(c, &passed)
	}
	if len(f.waiting) > 0 {
		a.sendWaiting(f)
	}
	a.settle()
}

// crossesSwitchClose handles a message that arrived while its connection was being closed locally. Releases still
// count, and a call that was answered is established at its switch.
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

// Far is the state of one switch as the agent sees it, for the log.
type Far struct {
	ID         string
	State      board.State
	Free, Size int
	Links      int
}

// Believes returns the state of every switch, in the order in which they were listed.
func (a *Agent) Believes() []Far {
	var all []Far
	for _, id := range a.farOrder {
		f := a.far[id]
		all = append(all, Far{board.FormatID(id), f.entry.State, f.told.Free, f.told.Size, len(f.links)})
	}
	return all
}

// Releases returns the counters of releases towards callers.
func (a *Agent) Releases() Releases {
	r := a.releases
	if r.Waiting = len(a.pending.order); r.Waiting > 0 {
		r.Oldest = a.now - a.pending.order[0].cameAt
	}
	return r
}

// Tries returns the counters of route tries.
func (a *Agent) Tries() Tries { return a.tries }

// Counts returns the call counters, the numbers of calls that are open, established and retained after their end,
// the number of callers' connections, and the maximum lateness of a timer since the previous call.
func (a *Agent) Counts() (t Tally, open, standing, kept, callers int, late policy.Tenths) {
	late, a.lateness = a.lateness, 0
	return a.tally, a.open, a.standing, len(a.over), len(a.callers.conns), late
}
