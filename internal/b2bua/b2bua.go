// Package b2bua implements a back-to-back user agent (RFC 7092): callers on one side, switches on the other, and the
// routing policy in between. The package does no I/O. internal/platform passes it the time and every message, performs
// the I/O that it requests through Transport, and calls Tick when NextTick falls due.
//
// The agent translates what it sees on the network into calls to the policy:
//
//	| event                                             | reported to the policy                                           |
//	| set-up from a caller                              | Offer, once for each id, with the time left                      |
//	| 200 to the set-up of the try that is out          | Answered; the caller has its answer already                      |
//	| 503                                               | TryEnded(Blocked), with Warning-Word and P-Wait                  |
//	| 486, 500 and other refusals                       | TryEnded(Faulted)                                                |
//	| 480                                               | TryEnded(Unsent)                                                 |
//	| 504, connection lost                              | TryEnded(Disconnected)                                           |
//	| release with cause 16 or 41, no answer yet        | CANCEL, TryEnded(Disconnected, final); the caller gets a failure |
//	| release with another cause, the first try is out  | CANCEL, TryEnded(Disconnected)                                   |
//	| the same, where it may refer to an earlier try    | nothing; the try continues                                       |
//	| no connection in time, or refused                 | TryEnded(Unreachable)                                            |
//	| no answer within the try's timeout                | CANCEL, TryEnded(TimedOut); the policy still has to answer       |
//	| more than MaxTries, or no such switch in the list | TryEnded(Unsent)                                                 |
//	| the policy's Cancel                               | CANCEL, TryEnded(Cancelled)                                      |
//	| caller abandons the call                          | Abandoned, then TryEnded(Cancelled, final) of a try that is out  |
//	| release by the switch with cause 16, or another   | TryEnded(Released, final), TryEnded(Disconnected, final)         |
//	| release by the caller                             | TryEnded(Cancelled, final)                                       |
//	| NOTIFY                                            | LoadReported                                                     |
//
// The timeout of a try ends at the caller's deadline at the latest.
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
	Write(to ConnID, msg *sip.Message)            // no-op if the connection is closed
	Close(conn ConnID, reason string)             // after pending writes are flushed
	Dial(switchID, dialID uint32, address string) // reports the result to DialDone
	Backlog(conn ConnID) int                      // octets that wait to be written on a connection, 0 if it is closed
	// Abandoned reports whether the caller has disconnected or cancelled, even if that event is still queued.
	Abandoned(caller ConnID, callID string) bool
	// Unhandled reports whether a message has been read on a caller's connection that was not passed to the agent yet.
	Unhandled(caller ConnID) bool
	Log(text string) // logs a message for the operator
	Record(Record)   // logs an entry about a call or a connection
}

// State is the state of a call. Only setState changes it.
//
//	Offered     -> Trying (a route try is out or waits for its connection), Ended
//	Trying      -> Offered (the try ended or was abandoned; the policy decides), Established, Ended
//	Established -> Ended
//	Ended          is retained for a while, since late answers and releases still refer to the call
type State uint8

const (
	Offered State = iota
	Trying
	Established
	Ended
)

// callTransitions lists the states that may follow each state.
var callTransitions = [...][]State{Offered: {Trying, Ended}, Trying: {Offered, Established, Ended}, Established: {Ended}, Ended: nil}

// trackedCall is a call that the agent knows, including ended calls that are retained.
type trackedCall struct {
	id           uint64
	handle       uint32 // 0 for an adopted call, which the policy does not know
	state        State
	callerConnID ConnID // connection on which its set-up came
	callID       string
	uri          string
	bearerType   string
	cseq         uint32 // of the caller's set-up
	body         []byte // the caller's session description, until the call is established
	foreignFrom  ConnID // connection on which a switch released it, though this process does not know it; 0 for all others
	deadline     policy.Tenths
	tries        []*routeTry // in the order of their numbers; an adopted call has only the one that established it
	adopted      bool
	confirmed    bool       // a switch has shown that it knows the adopted call
	announcement *fairEntry // place of an adopted call among those announced, nil once it is over
	// nextTryAt is the earliest time of the next try. After an answer to an abandoned try the release time counts
	// from that answer.
	nextTryAt      policy.Tenths
	establishedAt  policy.Tenths
	endedAt        policy.Tenths
	callerNotified bool // the caller knows that the call is over, or a release to it is pending
	// answerSeq is the sequence number of the answer among the writes on the caller's connection, 0 before it is
	// written.
	answerSeq uint64
	timers    callTimers
}

const (
	// answerMargin is reserved for the transit of the final answer to the caller.
	answerMargin = policy.Tenths(150)

	maintenanceInterval = policy.Tenths(250) // how often connections are checked
)

const (
	timerTryTimeout due.Kind = iota // a try has timed out
	timerHeldTry                    // a held try may be placed
	timerCallDeadline
	timerPolicyWake
	timerReleaseRound
)

// deferredResult is the result of a try that is passed to the policy after the policy has returned from its current
// call.
type deferredResult struct {
	handle    uint32
	try       int
	switchID  uint32
	outcome   policy.Outcome
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
	retained         retainedCalls
	limits           heldLimits
	announced        fairQueue[*trackedCall] // established calls that callers announced, within their limit
	openCalls        int                     // calls that are neither established nor ended
	establishedCalls int
	bodyOctets       int // octets of session descriptions
	maxOpenCalls     int
	maxBodyOctets    int
	maxLinks         int
	dialsInProgress  int
	lastHandle       uint32
	lastDialID       uint32
	lastKeepaliveID  uint64
	switches         map[uint32]*remoteSwitch
	switchOrder      []uint32
	listKnown        bool            // a whole list has been received
	goneSwitches     map[uint32]bool // ids that were listed and are not, which a switch may use again
	switchOfLink     map[ConnID]uint32
	dialAddresses    map[uint32]string      // of dials in progress, by dial ID
	starting         bool                   // during start-up, when nothing is dialled yet
	closingLinks     map[ConnID]closingLink // connections to switches that were closed locally and may still deliver releases
	callers          callerConns
	callerReleases   releaseQueue
	switchReleases   switchReleaseCounts
	timers           due.Queue
	maintenanceAt    policy.Tenths
	deferred         []deferredResult
	callCounts       CallCounts
	releaseCounts    ReleaseCounts
	tryCounts        TryCounts
	maxLateness      policy.Tenths // maximum lateness of a timer since it was last reported
}

// New creates an agent; build creates the policy, given the interface through which it acts on the agent.
func New(settings deployment.Settings, bounds Bounds, transport Transport, now policy.Tenths,
	build func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider) *Agent {
	limits := bounds.heldLimits()
	a := &Agent{
		settings:        settings,
		transport:       transport,
		now:             now,
		silence:         silenceClock{lastTickAt: now},
		calls:           map[uint64]*trackedCall{},
		byHandle:        map[uint32]*trackedCall{},
		limits:          limits,
		announced:       newFairQueue[*trackedCall](limits.announced),
		retained:        newRetainedCalls(limits),
		maxOpenCalls:    bounds.Calls,
		maxBodyOctets:   bounds.Octets,
		maxLinks:        bounds.Links,
		switches:        map[uint32]*remoteSwitch{},
		goneSwitches:    map[uint32]bool{},
		switchOfLink:    map[ConnID]uint32{},
		closingLinks:    map[ConnID]closingLink{},
		dialAddresses:   map[uint32]string{},
		callers:         newCallerConns(bounds.Callers),
		callerReleases:  newReleaseQueue(),
		maintenanceAt:   now + maintenanceInterval,
		lastKeepaliveID: settings.Policy.Seed,
	}
	a.decider = build(settings.Policy, (*policyOutput)(a), now)
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

// Tick runs the timers that have fallen due. stallEndedAt is the end of the last stall of this process, 0 if there was
// none.
func (a *Agent) Tick(now, stallEndedAt policy.Tenths) {
	a.now = now
	a.silence.tick(now, stallEndedAt)
	for item, ok := a.timers.Pop(now); ok; item, ok = a.timers.Pop(now) {
		a.maxLateness = max(a.maxLateness, now-item.At)
		call := a.byHandle[uint32(item.Token)]
		switch item.Kind {
		case timerPolicyWake:
			a.decider.TimerExpired(now, item.Token)
		case timerReleaseRound:
			a.releaseRoundDue(item)
		case timerTryTimeout:
			a.tryTimedOut(call, int(item.Token>>32))
		case timerHeldTry:
			a.heldTryDue(call, int(item.Token>>32))
		case timerCallDeadline:
			a.failAtDeadline(call)
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
func (a *Agent) failAtDeadline(call *trackedCall) {
	if call == nil || call.state == Established || call.state == Ended {
		return
	}
	a.transport.Log("a call had no final answer at its caller's deadline")
	a.failCall(call)
}

// flushDeferred passes the deferred results to the policy.
func (a *Agent) flushDeferred() {
	for len(a.deferred) > 0 {
		result := a.deferred[0]
		a.deferred = a.deferred[1:]
		call := a.byHandle[result.handle]
		if call == nil || call.state != Offered || len(call.tries)-1 != result.try {
			continue
		}
		if result.abandoned {
			a.abandonCall(call)
			a.callCounts.Abandoned++
			continue
		}
		a.decider.TryEnded(a.now, result.handle, result.try, result.switchID, result.outcome, false, result.reason, result.wait, result.report)
	}
}

// setState changes the state of a call; nothing else does.
func (a *Agent) setState(call *trackedCall, state State) {
	if !slices.Contains(callTransitions[call.state], state) {
		a.transport.Log(fmt.Sprintf("fault: invalid transition of a call from state %d to %d", call.state, state))
		return
	}
	open := func(state State) bool { return state == Offered || state == Trying }
	if open(call.state) && !open(state) {
		a.openCalls--
		a.callers.setUpEnded(call)
		a.bodyOctets -= len(call.body)
		call.body = nil
		a.stopCallTimers(call)
	}
	if call.state == Trying {
		a.stopTryTimers(call)
	}
	switch {
	case state == Established:
		a.establishedCalls++
		a.callers.countEstablished(call, 1)
		call.establishedAt = a.now
	case call.state == Established:
		a.establishedCalls--
		a.callers.countEstablished(call, -1)
	}
	a.transport.Record(Record{Kind: CallState, CallID: call.callID, Conn: call.callerConnID, Switch: call.lastSwitch(), From: call.state, To: state})
	call.state = state
	if state == Ended {
		a.forgetAnnouncement(call)
		delete(a.byHandle, call.handle)
		a.retain(call)
	}
	a.releaseOrphanedTries(call)
}

// matchingCalls returns the calls that match, sorted by handle and then id, so that the map's iteration order has no
// effect.
func (a *Agent) matchingCalls(match func(*trackedCall) bool) []*trackedCall {
	var found []*trackedCall
	for _, call := range a.calls {
		if match(call) {
			found = append(found, call)
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
func (a *Agent) refuse(call *trackedCall, status int, retryAfter policy.Tenths) {
	msg := sip.Message{Status: status, CallID: call.callID, CSeq: call.cseq, CSeqMethod: sip.Invite}
	if retryAfter > 0 {
		msg.Fields = []sip.Field{{Name: fieldBackOff, Value: strconv.FormatInt(int64((retryAfter+9)/10), 10)}}
	}
	a.transport.Record(Record{Kind: CallRefused, CallID: call.callID, Conn: call.callerConnID, Switch: call.lastSwitch(), Try: len(call.tries), Reason: strconv.Itoa(status)})
	a.writeAnswer(call, &msg)
}

// abandonCall ends a call whose caller needs no further answer.
func (a *Agent) abandonCall(call *trackedCall) {
	a.decider.Abandoned(a.now, call.handle)
	if call.state == Trying {
		a.tryCounts.Cancelled++
		try := call.lastTry()
		a.abandonTry(try, "the caller abandoned the call, or the call failed")
		a.setState(call, Ended)
		a.decider.TryEnded(a.now, call.handle, try.number, try.switchID, policy.Cancelled, true, policy.NoReason, 0, noReport)
		return
	}
	a.setState(call, Ended)
}

// noReport is the load report of an event that carries none.
var noReport = policy.LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1}

// endCall reports the end of an established call to the policy.
func (a *Agent) endCall(call *trackedCall, outcome policy.Outcome, report policy.LoadReport) {
	try := call.lastTry()
	a.advance(try, eventRelease, "the call is over")
	a.setState(call, Ended)
	if call.handle != 0 {
		a.decider.TryEnded(a.now, call.handle, try.number, try.switchID, outcome, true, policy.NoReason, 0, report)
	} else if report.Size >= 0 && a.switches[try.switchID] != nil {
		a.decider.LoadReported(a.now, try.switchID, report)
	}
	if outcome == policy.Disconnected {
		a.callCounts.Disconnected++
	} else {
		a.callCounts.Released++
	}
}

// FromSwitch handles a message of a switch.
func (a *Agent) FromSwitch(now policy.Tenths, conn ConnID, msg *sip.Message) {
	a.now = now
	switchID, ok := a.switchOfLink[conn]
	if !ok {
		a.switchMessageAfterClose(conn, msg)
		return
	}
	remote := a.switches[switchID]
	if remote == nil {
		return
	}
	remote.messageReceived(now)
	if link := remote.findLink(conn); link != nil {
		remote.messageOnLink(link, now)
		link.lastMessageAt, link.unansweredSince, link.partialSince, link.messageSeen, link.silent = now, 0, 0, true, false
		if msg.Status != 0 && msg.CSeqMethod == sip.Options {
			a.keepaliveAnswered(remote, link, msg.CallID)
		}
	}
	switch {
	case msg.Status != 0 && msg.CSeqMethod == sip.Invite:
		a.handleAnswer(remote, conn, msg)
	case msg.Status != 0:
	case msg.Method == sip.Notify:
		if report := parseLoad(msg); report.Size >= 0 {
			remote.lastReport = report
			a.decider.LoadReported(now, switchID, report)
		}
	case msg.Method == sip.Bye:
		response := msg.Response(sip.OK)
		a.transport.Write(conn, &response)
		a.handleSwitchRelease(remote, conn, msg)
	case msg.Method == sip.Options:
		response := msg.Response(sip.OK)
		a.transport.Write(conn, &response)
	}
	if len(remote.waitingTries) > 0 {
		a.sendWaiting(remote)
	}
	a.flushDeferred()
}

// switchMessageAfterClose handles a message that arrived while its connection was being closed locally. Releases still
// count, and a call that was answered is established at its switch.
func (a *Agent) switchMessageAfterClose(conn ConnID, msg *sip.Message) {
	closing, ok := a.closingLinks[conn]
	remote := a.switches[closing.switchID]
	switch {
	case !ok || remote == nil:
		return
	case msg.Method == sip.Bye:
		a.handleSwitchRelease(remote, conn, msg)
	case msg.Status != 0 && msg.CSeqMethod == sip.Invite:
		a.handleAnswer(remote, conn, msg)
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
	var statuses []SwitchStatus
	for _, id := range a.switchOrder {
		remote := a.switches[id]
		statuses = append(statuses, SwitchStatus{board.FormatID(id), remote.entry.State, remote.lastReport.Free, remote.lastReport.Size, len(remote.links)})
	}
	return statuses
}

// ReleaseCounts returns the counters of releases towards callers.
func (a *Agent) ReleaseCounts() ReleaseCounts {
	counts := a.releaseCounts
	counts.Pending = a.callerReleases.len()
	if oldest, ok := a.callerReleases.oldest(); ok {
		counts.OldestAge = a.now - oldest
	}
	return counts
}

// TryCounts returns the counters of route tries.
func (a *Agent) TryCounts() TryCounts { return a.tryCounts }

// Counts returns the call counters, the numbers of calls that are open, established and retained after their end,
// the number of callers' connections, and the maximum lateness of a timer since the previous call.
func (a *Agent) Counts() (counts CallCounts, openCalls, establishedCalls, retained, callers int, lateness policy.Tenths) {
	lateness, a.maxLateness = a.maxLateness, 0
	return a.callCounts, a.openCalls, a.establishedCalls, a.retained.len(), len(a.callers.conns), lateness
}
