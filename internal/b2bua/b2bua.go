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

// ConnID identifies a connection to a caller or to a switch. Values are never reused; 0 means none.
type ConnID uint32

// Transport performs the I/O that the agent requests. Its methods must not call back into the agent.
type Transport interface {
	Write(to ConnID, m *sip.Message) // no-op if the connection is closed
	Close(c ConnID, why string)      // after pending writes are flushed
	Dial(sw, ticket uint32, address string)
	Abandoned(caller ConnID, callID string) bool // reports whether the caller has disconnected or cancelled, even if that event is still queued
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
	Established
	Ended
)

var callTransitions = [...][]State{Offered: {Trying, Ended}, Trying: {Offered, Established, Ended}, Established: {Ended}, Ended: nil}

type trackedCall struct {
	id       uint64
	handle   uint32 // 0 for an adopted call, which the policy does not know
	state    State
	caller   ConnID // connection on which its set-up came
	callID   string
	uri      string
	class    string
	cseq     uint32 // of the caller's set-up
	body     []byte // the caller's session description, until the call is established
	deadline policy.Tenths
	tries    []*routeTry // in the order of their numbers; an adopted call has only the one that established it
	adopted  bool
	// nextTryAt is the earliest time of the next try. After an answer to an abandoned try the release time counts
	// from that answer.
	nextTryAt      policy.Tenths
	establishedAt  policy.Tenths
	endedAt        policy.Tenths
	callerNotified bool // the caller knows that the call is over, or a release to it is pending
	// answerSeq is the sequence number of the answer among the writes on the caller's connection, 0 before it is
	// written.
	answerSeq uint64
}

const (
	// answerMargin is reserved for the transit of the final answer to the caller.
	answerMargin = policy.Tenths(150)

	endedRetention      = policy.Tenths(100000) // how long ended calls are retained
	maxRetainedCalls    = 16384                 // and how many of them
	maintenanceInterval = policy.Tenths(250)    // how often connections are checked
)

const (
	timerTryTimeout due.Kind = iota // a try has timed out
	timerHeldTry                    // a held try may be placed
	timerCallDeadline
	timerPolicyWake
	timerReleaseRound
)

// deferredResult is the result of a try that is passed to the policy after the policy has returned from its current call.
type deferredResult struct {
	handle    uint32
	try       int
	switchID  uint32
	ending    policy.Outcome
	reason    policy.Reason
	wait      policy.Tenths
	report    policy.LoadReport
	abandoned bool // the caller has abandoned the call: there is nothing left to decide
}

// CallCounts counts the outcomes of calls since the start.
type CallCounts struct{ Accepted, Established, Blocked, Aborted, Abandoned, Refused, Released, Disconnected, CancelCrossed uint64 }

// Agent is the back-to-back user agent.
type Agent struct {
	settings         deployment.Settings
	decider          exchange.Decider
	transport        Transport
	now              policy.Tenths
	silence          silenceClock
	calls            map[uint64]*trackedCall
	byHandle         map[uint32]*trackedCall
	ended            []*trackedCall // oldest first
	openCalls        int            // calls that are neither established nor over
	establishedCalls int
	bodyOctets       int // octets of session descriptions
	maxOpenCalls     int
	maxBodyOctets    int
	maxLinks         int
	dialsInProgress  int // dials in progress
	lastHandle       uint32
	lastDialID       uint32
	lastKeepaliveID  uint64
	switches         map[uint32]*remoteSwitch
	switchOrder      []uint32
	switchOfLink     map[ConnID]uint32
	dialAddresses    map[uint32]string // addresses of dials in progress, by dial
	starting         bool              // during start-up, when nothing is dialled yet
	closingLinks     map[ConnID]uint32 // connections to switches that were closed locally and may still deliver releases
	callers          callerConns
	callerReleases   releaseQueue
	timers           due.Queue
	maintenanceAt    policy.Tenths
	deferred         []deferredResult
	callCounts       CallCounts
	releaseCounts    ReleaseCounts
	tryCounts        TryCounts
	maxLateness      policy.Tenths // maximum lateness of a timer since it was last reported
}

// New creates an agent; build creates the policy, given the interface through which it acts on the agent.
func New(set deployment.Settings, b Bounds, out Transport, now policy.Tenths,
	build func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider) *Agent {
	a := &Agent{settings: set, transport: out, now: now, calls: map[uint64]*trackedCall{}, byHandle: map[uint32]*trackedCall{},
		maxOpenCalls: b.Calls, maxBodyOctets: b.Octets, maxLinks: b.Links, switches: map[uint32]*remoteSwitch{}, switchOfLink: map[ConnID]uint32{}, closingLinks: map[ConnID]uint32{}, dialAddresses: map[uint32]string{},
		callers: newCallerConns(b.Callers), silence: silenceClock{lastTickAt: now}, callerReleases: releaseQueue{byCall: map[uint64]*pendingRelease{}}, maintenanceAt: now + maintenanceInterval, lastKeepaliveID: set.Policy.Seed}
	a.decider = build(set.Policy, (*policyOutput)(a), now)
	return a
}

// NextTick returns when Tick must be called next.
func (a *Agent) NextTick() policy.Tenths {
	if at, ok := a.timers.Next(); ok {
		return min(at, a.maintenanceAt)
	}
	return a.maintenanceAt
}

// Accepted returns the number of calls accepted since the start.
func (a *Agent) Accepted() uint64 { return a.callCounts.Accepted }

// Unanswered returns the number of calls without a final answer.
func (a *Agent) Unanswered() int { return a.openCalls }

// Tick runs the timers that have fallen due. stalled is the end of the last stall of this process, 0 if there was
// none.
func (a *Agent) Tick(now, stalled policy.Tenths) {
	a.now = now
	a.silence.tick(now, stalled)
	for d, ok := a.timers.Pop(now); ok; d, ok = a.timers.Pop(now) {
		a.maxLateness = max(a.maxLateness, now-d.At)
		k := a.byHandle[uint32(d.Token)]
		switch d.Kind {
		case timerPolicyWake:
			a.decider.TimerExpired(now, d.Token)
		case timerReleaseRound:
			a.releaseRoundDue(d)
		case timerTryTimeout:
			a.tryTimedOut(k, int(d.Token>>32))
		case timerHeldTry:
			a.heldTryDue(k, int(d.Token>>32))
		case timerCallDeadline:
			a.failAtDeadline(k)
		}
		a.flushDeferred()
	}
	if now >= a.maintenanceAt {
		a.maintenanceAt = now + maintenanceInterval
		a.maintainLinks()
		a.purgeEnded()
		a.closeOverdueCallers()
		a.flushDeferred()
	}
}

// failAtDeadline fails a call that the policy has left unanswered when its caller is about to abandon it. The policy
// normally answers earlier, so this is logged.
func (a *Agent) failAtDeadline(k *trackedCall) {
	if k == nil || k.state == Established || k.state == Ended {
		return
	}
	a.transport.Note("a call had no final answer when its caller's time was up")
	a.failCall(k)
}

// flushDeferred passes the deferred results to the policy.
func (a *Agent) flushDeferred() {
	for len(a.deferred) > 0 {
		r := a.deferred[0]
		a.deferred = a.deferred[1:]
		k := a.byHandle[r.handle]
		if k == nil || k.state != Offered || len(k.tries)-1 != r.try {
			continue
		}
		if r.abandoned {
			a.abandonCall(k)
			a.callCounts.Abandoned++
			continue
		}
		a.decider.TryEnded(a.now, r.handle, r.try, r.switchID, r.ending, false, r.reason, r.wait, r.report)
	}
}

// setState changes the state of a call; nothing else does.
func (a *Agent) setState(k *trackedCall, s State) {
	if !slices.Contains(callTransitions[k.state], s) {
		a.transport.Note(fmt.Sprintf("fault: invalid transition of a call from state %d to %d", k.state, s))
		return
	}
	open := func(s State) bool { return s == Offered || s == Trying }
	if open(k.state) && !open(s) {
		a.openCalls--
		a.callers.setUpEnded(k.caller)
		a.bodyOctets -= len(k.body)
		k.body = nil
	}
	switch {
	case s == Established:
		a.establishedCalls++
		k.establishedAt = a.now
	case k.state == Established:
		a.establishedCalls--
	}
	a.transport.Record(Record{Kind: CallState, CallID: k.callID, Conn: k.caller, Switch: k.lastSwitch(), From: k.state, To: s})
	k.state = s
	if s == Ended {
		delete(a.byHandle, k.handle)
		a.retain(k)
	}
	a.releaseOrphanedTries(k)
}

// retain retains a call that is over for a while.
func (a *Agent) retain(k *trackedCall) {
	k.endedAt = a.now
	a.calls[k.id] = k
	a.ended = append(a.ended, k)
}

// purgeEnded drops calls whose retention has expired, and the oldest ones beyond the limit.
func (a *Agent) purgeEnded() {
	n := 0
	for n < len(a.ended) && (a.now-a.ended[n].endedAt > endedRetention || len(a.ended)-n > maxRetainedCalls) {
		delete(a.calls, a.ended[n].id)
		n++
	}
	if n > 0 {
		a.ended = slices.Delete(a.ended, 0, n)
	}
}

// matchingCalls returns the calls that match, sorted by handle and then id, so that the map's iteration order has no
// effect.
func (a *Agent) matchingCalls(which func(*trackedCall) bool) []*trackedCall {
	var found []*trackedCall
	for _, k := range a.calls {
		if which(k) {
			found = append(found, k)
		}
	}
	slices.SortFunc(found, func(x, y *trackedCall) int {
		return cmp.Or(cmp.Compare(x.handle, y.handle), cmp.Compare(x.id, y.id))
	})
	return found
}

// newKeepaliveID returns a new Call-ID for a keepalive.
func (a *Agent) newKeepaliveID() string {
	a.lastKeepaliveID++
	return fmt.Sprintf("%016x", a.lastKeepaliveID)
}

// refuse writes a final answer that refuses or fails a call.
func (a *Agent) refuse(k *trackedCall, status int, comeBack policy.Tenths) {
	m := sip.Message{Status: status, CallID: k.callID, CSeq: k.cseq, CSeqMethod: sip.Invite}
	if comeBack > 0 {
		m.Fields = []sip.Field{{Name: fieldBackOff, Value: strconv.FormatInt(int64((comeBack+9)/10), 10)}}
	}
	a.transport.Record(Record{Kind: CallRefused, CallID: k.callID, Conn: k.caller, Switch: k.lastSwitch(), Try: len(k.tries), Reason: strconv.Itoa(status)})
	a.writeAnswer(k, &m)
}

// abandonCall ends a call whose caller needs no further answer.
func (a *Agent) abandonCall(k *trackedCall) {
	a.decider.Abandoned(a.now, k.handle)
	if k.state == Trying {
		a.tryCounts.Cancelled++
		t := k.lastTry()
		a.abandonTry(t, "the caller abandoned the call, or the call failed")
		a.setState(k, Ended)
		a.decider.TryEnded(a.now, k.handle, t.number, t.switchID, policy.Cancelled, true, policy.NoReason, 0, noReport)
		return
	}
	a.setState(k, Ended)
}

var noReport = policy.LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1}

// reportEnded reports the end of an established call to the policy.
func (a *Agent) reportEnded(k *trackedCall, end policy.Outcome, rep policy.LoadReport) {
	t := k.lastTry()
	a.advance(t, eventRelease, "the call is over")
	a.setState(k, Ended)
	if k.handle != 0 {
		a.decider.TryEnded(a.now, k.handle, t.number, t.switchID, end, true, policy.NoReason, 0, rep)
	} else if rep.Size >= 0 && a.switches[t.switchID] != nil {
		a.decider.LoadReported(a.now, t.switchID, rep)
	}
	if end == policy.Disconnected {
		a.callCounts.Disconnected++
	} else {
		a.callCounts.Released++
	}
}

// FromSwitch handles a message of a switch.
func (a *Agent) FromSwitch(now policy.Tenths, c ConnID, m *sip.Message) {
	a.now = now
	sw, ok := a.switchOfLink[c]
	if !ok {
		a.switchMessageAfterClose(c, m)
		return
	}
	f := a.switches[sw]
	if f == nil {
		return
	}
	f.messageReceived(now)
	if l := f.findLink(c); l != nil {
		f.messageOnLink(l, now)
		l.lastMessageAt, l.unansweredSince, l.partialSince, l.messageSeen, l.silent = now, 0, 0, true, false
		if m.Status != 0 && m.CSeqMethod == sip.Options {
			f.keepaliveAnswered(l, now, m.CallID)
		}
	}
	switch {
	case m.Status != 0 && m.CSeqMethod == sip.Invite:
		a.handleAnswer(f, c, m)
	case m.Status != 0:
	case m.Method == sip.Notify:
		if rep := parseLoad(m); rep.Size >= 0 {
			f.lastReport = rep
			a.decider.LoadReported(now, sw, rep)
		}
	case m.Method == sip.Bye:
		heard := m.Response(sip.OK)
		a.transport.Write(c, &heard)
		a.handleSwitchRelease(f, c, m)
	case m.Method == sip.Options:
		passed := m.Response(sip.OK)
		a.transport.Write(c, &passed)
	}
	if len(f.waitingTries) > 0 {
		a.sendWaiting(f)
	}
	a.flushDeferred()
}

// switchMessageAfterClose handles a message that arrived while its connection was being closed locally. Releases still
// count, and a call that was answered is established at its switch.
func (a *Agent) switchMessageAfterClose(c ConnID, m *sip.Message) {
	sw, ok := a.closingLinks[c]
	f := a.switches[sw]
	switch {
	case !ok || f == nil:
		return
	case m.Method == sip.Bye:
		a.handleSwitchRelease(f, c, m)
	case m.Status != 0 && m.CSeqMethod == sip.Invite:
		a.handleAnswer(f, c, m)
	}
	a.flushDeferred()
}

// SwitchStatus is the state of one switch as the agent sees it, for the log.
type SwitchStatus struct {
	ID         string
	State      board.State
	Free, Size int
	Links      int
}

// SwitchStatuses returns the state of every switch, in the order in which they were listed.
func (a *Agent) SwitchStatuses() []SwitchStatus {
	var all []SwitchStatus
	for _, id := range a.switchOrder {
		f := a.switches[id]
		all = append(all, SwitchStatus{board.FormatID(id), f.entry.State, f.lastReport.Free, f.lastReport.Size, len(f.links)})
	}
	return all
}

// ReleaseCounts returns the counters of releases towards callers.
func (a *Agent) ReleaseCounts() ReleaseCounts {
	r := a.releaseCounts
	if r.Pending = len(a.callerReleases.order); r.Pending > 0 {
		r.OldestAge = a.now - a.callerReleases.order[0].receivedAt
	}
	return r
}

// TryCounts returns the counters of route tries.
func (a *Agent) TryCounts() TryCounts { return a.tryCounts }

// Counts returns the call counters, the numbers of calls that are open, established and retained after their end,
// the number of callers' connections, and the maximum lateness of a timer since the previous call.
func (a *Agent) Counts() (t CallCounts, open, standing, kept, callers int, late policy.Tenths) {
	late, a.maxLateness = a.maxLateness, 0
	return a.callCounts, a.openCalls, a.establishedCalls, len(a.ended), len(a.callers.conns), late
}
