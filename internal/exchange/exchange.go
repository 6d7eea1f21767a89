// Package exchange implements the call control of one exchange, without I/O. It connects subscriber lines and trunk
// circuits with the routing policy and issues the messages to send.
//
// internal/control passes in the time and every received message, sends what the exchange emits through Output, and
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
	Offer(now policy.Tenths, call policy.Call) bool
	Answered(now policy.Tenths, id uint32, try int)
	TryEnded(now policy.Tenths, id uint32, try int, switchID uint32, outcome policy.Outcome, final bool, reason policy.Reason,
		wait policy.Tenths, report policy.LoadReport)
	LoadReported(now policy.Tenths, switchID uint32, report policy.LoadReport)
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
	// Succeeding is a neighbour that calls are sent to, reached through the link that this exchange opened to its switch.
	Succeeding
	// Preceding is a neighbour that calls are received from, reached through the own switch.
	Preceding
)

// Hop addresses the party that a message goes to or comes from.
type Hop struct {
	Side  Side
	Peer  int    // index of the neighbour (Succeeding, Preceding)
	Point uint16 // block of lines (Line)
}

// atGateway reports whether the hop is a telephone at a media gateway, which is reached without the own switch.
func (h Hop) atGateway() bool {
	return h.Side == Line && h.Point >= FirstGatewayPoint && h.Point < FirstCalledPoint
}

// Outcome is the final answer of a call.
type Outcome uint8

// Outcomes of a call.
const (
	Answered  Outcome = iota
	Refused           // no capacity or no route
	Failed            // fault or time-out
	Abandoned         // the caller abandoned the call first: no answer is due
)

// String returns the outcome as the log shows it.
func (o Outcome) String() string { return [...]string{"stands", "refused", "failed", "caller left"}[o] }

// Answer describes the final answer of a call. It is reported at most once per call.
type Answer struct {
	Ref        isup.Reference
	Outcome    Outcome
	Dest       int           // number of the destination exchange, -1 if unknown
	Tries      int           // route tries made
	Duration   policy.Tenths // from the set-up to the answer
	Transit    bool          // the call came from another exchange
	RetryAfter policy.Tenths // time for which the caller should not redial, 0 if none
}

// Output sends the messages and reports of the exchange. Its methods must not call back into the exchange.
type Output interface {
	Transmit(to Hop, msg isup.Message) // send a message
	RequestSwitchList()                // request the whole switch list from the register
	Log(text string)                   // write a line to the operator's log
	ReportAnswer(a Answer)             // report the final answer of a call, once
}

// Neighbour is an adjacent exchange and the number of circuits of the trunk group to it.
type Neighbour struct{ Number, Circuits int }

// PointCode returns the point code of an exchange.
func PointCode(number int) uint16 { return uint16(number + 1) }

// Point codes of the own line side. Each addresses a block of lines with one circuit code per line.
const (
	FirstSubscriberPoint = 0x2000 // first block for calls from subscriber lines
	FirstGatewayPoint    = 0x2f00 // first block for calls from lines at gateways
	FirstCalledPoint     = 0x3000 // first block for calls to lines of this exchange
	calledBlocks         = 256    // number of blocks for calls to lines

	exchangeDigits = 3 // leading digits of a called number that hold the exchange number
)

// LineNumber returns the number of a line at an exchange.
func LineNumber(exchange int, line uint32) string {
	return fmt.Sprintf("%0*d%06d", exchangeDigits, exchange, line)
}

// State is the state of a call. Only setState changes it, as listed in transitions.
type State uint8

// States of a call.
const (
	Analysing   State = iota // its number is being analysed
	Offered                  // the decider chooses what to do
	Trying                   // a set-up was sent to another exchange
	Ringing                  // a line of this exchange rings
	Established              // answered, or restored as answered after a restart
	Ended                    // released, refused or failed
)

// transitions lists the states that may follow each state of a call. Analysing is followed by Ringing if the number belongs
// to a line of this exchange, and by Established only for a call restored after a restart. Trying is followed by Offered when
// the try has ended without an answer, so that the decider chooses again.
var transitions = [...][]State{
	Analysing:   {Offered, Ringing, Established, Ended},
	Offered:     {Trying, Ended},
	Trying:      {Offered, Established, Ended},
	Ringing:     {Established, Ended},
	Established: {Ended},
	Ended:       nil,
}

// callLeg is one side of a call: where it came from, or where its current try went.
type callLeg struct {
	hop      Hop
	circuits circuit.Assignment
}

// activeCall is a call in progress.
type activeCall struct {
	id             uint32
	state          State
	request        policy.Call
	ref            isup.Reference
	digits         string
	hopCounter     uint8
	in, out        callLeg
	caller         string         // calling number, "" if not given
	table          *numbers.Table // number table used for this call, nil if another exchange analysed the number
	tableVersion   uint64         // version of the table that found the destination, here or at another exchange
	analysis       numbers.Result // result of the number analysis, while a portability query is pending
	donorRouted    bool           // routed by the donor exchange, as portability was not known in time
	answerExpected bool           // counted among the calls that await a final answer
	offered        bool           // offered to the decider: an originating or transit call
	answerReported bool           // its final answer was reported
	startTime      policy.Tenths
	abandonTime    policy.Tenths
	abandonTimer   *due.Timer
	tryTimer       *due.Timer
	deciderTimers  due.Group
	tryDeadline    policy.Tenths // when the current try times out
	tries          int
	switchID       uint32     // the switch of the current try
	lastCause      isup.Cause // why the last try ended, for the caller or the preceding exchange
	session        string     // session description of the caller's side, "" if not given
}

// trunkGroup is the group of circuits to one neighbour, with the state of the neighbour's switch.
type trunkGroup struct {
	number        int
	circuits      *circuit.Group
	switchID      uint32 // id of the switch that serves the neighbour, from the last list
	ready         bool   // whether the list gave that switch as ready
	bootAt        policy.Tenths
	listed        bool // a list has named a switch
	linkUp        bool
	incarnation   string        // changes when the switch restarts
	changed       bool          // the decider has not seen the current state of the circuits
	restored      bool          // this process has restarted and knows only the circuits of stored calls
	earliestAudit policy.Tenths // earliest time for the next circuit query after a restart
}

// lineKey addresses a line by its point code and circuit code.
type lineKey struct {
	point uint16
	cic   uint16
}

// Kinds of timers.
const (
	dueTryTimeout   due.Kind = iota // a route try times out
	dueAbandon                      // the caller abandons the call
	dueDeciderTimer                 // a timer of the decider expires
	dueAudit                        // unanswered circuit messages may have to be repeated
	dueCircuitQuery                 // the circuit query to a neighbour may start
)

// tryResult is the end of a try that is reported to the decider once it has returned from its current decision.
type tryResult struct {
	callID   uint32
	try      int
	switchID uint32
	outcome  policy.Outcome
	reason   policy.Reason
	wait     policy.Tenths // wait that the switch hinted at by a retry-after time, 0 if none
	final    bool
	userInfo isup.UserInfo
}

const (
	// auditInterval is the interval at which unanswered releases and resets are looked for.
	auditInterval = policy.Tenths(2500)

	// answerMargin is subtracted from a caller's abandon time, as an answer sent at that very time would reach the caller
	// too late.
	answerMargin = policy.Tenths(300)

	initialHops = 3 // hop counter of an originating call: allows one tandem and the destination
)

// QueueAcceptsCall reports whether a new call may join a message queue. The last quarter of the queue is reserved for
// answers and releases, which finish work, where a new call adds some.
func QueueAcceptsCall(queued, capacity int) bool { return queued <= capacity-capacity/4 }

// Exchange is the call control of one exchange.
type Exchange struct {
	ownNumber        int
	deployment       policy.Deployment
	decider          Decider
	output           Output
	now              policy.Tenths
	groups           []trunkGroup
	groupByNumber    map[int]int
	groupBySwitch    map[uint32]int
	calls            map[uint32]*activeCall
	callByLine       map[lineKey]uint32
	advice           map[int]int
	timers           due.Queue
	lastCallID       uint32
	lastCalledLine   uint32
	pendingResults   []tryResult
	ownIncarnation   string
	draining         bool
	unanswered       int // calls without a final answer
	numbering        *Numbering
	portReplies      []portReply
	store            CallStore
	wallClock        func(policy.Tenths) int64
	coldHoldUntil    policy.Tenths         // no call goes to a cold switch before this time
	failedCalls      []recovery.StoredCall // calls of the previous process whose callers must be told that they failed
	lostLines        []recovery.Leg        // lines of established calls that were lost in the restart
	withheldSwitches []policy.Switch       // cold switches, as listed, that are not used yet
}

// New creates an exchange. build creates its decider, which acts through the policy.Executor passed to it.
func New(deployment policy.Deployment, neighbours []Neighbour, output Output, now policy.Tenths,
	build func(policy.Deployment, policy.Executor, policy.Tenths) Decider) *Exchange {
	x := &Exchange{
		ownNumber:     deployment.OwnExchange,
		deployment:    deployment,
		output:        output,
		now:           now,
		groupByNumber: map[int]int{},
		groupBySwitch: map[uint32]int{},
		calls:         map[uint32]*activeCall{},
		callByLine:    map[lineKey]uint32{},
		advice:        map[int]int{},
		store:         nullStore{},
		wallClock:     func(policy.Tenths) int64 { return 0 },
	}
	for i, n := range neighbours {
		x.groups = append(x.groups, trunkGroup{
			number:   n.Number,
			circuits: circuit.New(PointCode(deployment.OwnExchange), PointCode(n.Number), n.Circuits),
		})
		x.groupByNumber[n.Number] = i
	}
	x.decider = build(deployment, (*executor)(x), now)
	x.schedule(now+auditInterval, dueAudit, 0)
	return x
}

// Next returns the time at which Tick must be called.
func (x *Exchange) Next() policy.Tenths {
	at, _ := x.timers.Next() // the audit timer is always set
	return min(at, x.nextNumberingTime())
}

// UnansweredCalls returns the number of calls without a final answer.
func (x *Exchange) UnansweredCalls() int { return x.unanswered }

// EstablishedCalls returns the number of established calls, whether they originate here, end here or are in transit.
func (x *Exchange) EstablishedCalls() int {
	n := 0
	for _, call := range x.calls {
		if call.state == Established {
			n++
		}
	}
	return n
}

// Drain makes the exchange refuse every new call from now on.
func (x *Exchange) Drain() { x.draining = true }

func (x *Exchange) schedule(at policy.Tenths, kind due.Kind, token uint64) *due.Timer {
	return x.timers.Set(at, kind, token)
}

// Tick handles all timers that have expired.
func (x *Exchange) Tick(now policy.Tenths) {
	x.now = now
	for item, ok := x.timers.Pop(now); ok; item, ok = x.timers.Pop(now) {
		switch item.Kind {
		case dueDeciderTimer:
			x.decider.TimerExpired(now, item.Token)
		case dueTryTimeout:
			if call := x.calls[uint32(item.Token)]; call != nil && call.state == Trying && call.tryDeadline == item.At {
				x.releaseTry(call, isup.TimerExpiry)
				x.endTry(call, policy.TimedOut, policy.NoReason, 0, isup.UserInfo{})
			}
		case dueAbandon:
			x.expire(uint32(item.Token))
		case dueCircuitQuery:
			x.audit()
		case dueAudit:
			x.audit()
			if len(x.withheldSwitches) > 0 && now >= x.coldHoldUntil {
				list := x.withheldSwitches
				x.withheldSwitches = nil
				x.ListReceived(now, false, list)
			}
			x.schedule(now+auditInterval, dueAudit, 0)
		}
		x.reportPending()
	}
	x.tickNumbering()
	x.reportPending()
}

// expire fails a call that still has no answer when its caller is about to abandon it. The decider normally answers
// earlier, so that an expired call is logged.
func (x *Exchange) expire(id uint32) {
	call := x.calls[id]
	if call == nil || call.state == Established || call.state == Ended {
		return
	}
	if call.offered {
		x.output.Log("call not answered before its abandon time")
		x.decider.Abandoned(x.now, id)
	}
	x.releaseTry(call, isup.TimerExpiry)
	x.finish(call, Failed, isup.TimerExpiry, 0)
}

// reportPending reports pending try results, portability replies and changed trunk groups to the decider until none is left.
func (x *Exchange) reportPending() {
	for {
		if len(x.pendingResults) > 0 {
			result := x.pendingResults[0]
			x.pendingResults = x.pendingResults[1:]
			x.reportTryResult(result)
			continue
		}
		if len(x.portReplies) > 0 {
			reply := x.portReplies[0]
			x.portReplies = x.portReplies[1:]
			x.handlePortReply(reply)
			continue
		}
		reported := false
		for i := range x.groups {
			if group := &x.groups[i]; group.changed {
				group.changed = false
				x.reportCircuits(i, isup.UserInfo{})
				reported = true
			}
		}
		if !reported {
			return
		}
	}
}

// reportTryResult reports the end of a try to the decider, unless the call has moved on since.
func (x *Exchange) reportTryResult(result tryResult) {
	call := x.calls[result.callID]
	if !result.final && (call == nil || call.state != Offered || call.tries-1 != result.try) {
		return
	}
	report := policy.LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1}
	if i, ok := x.groupBySwitch[result.switchID]; ok {
		report = x.groupReport(i, result.userInfo)
	}
	x.decider.TryEnded(x.now, result.callID, result.try, result.switchID, result.outcome, result.final, result.reason,
		result.wait, report)
}

// groupReport returns the report about a trunk group for the decider, with the load of its switch from userInfo.
func (x *Exchange) groupReport(i int, userInfo isup.UserInfo) policy.LoadReport {
	group := &x.groups[i]
	report := policy.LoadReport{Free: group.circuits.Free(), Size: group.circuits.Size(), Wait: -1, HoldBack: -1}
	if !group.linkUp {
		report.Free = 0
	}
	if userInfo.Present&isup.PartLoad != 0 {
		report.Wait, report.HoldBack = policy.Tenths(userInfo.Wait), float64(userInfo.HoldBack)/1000
	}
	return report
}

// reportCircuits reports the free circuits of a trunk group to the decider.
func (x *Exchange) reportCircuits(i int, userInfo isup.UserInfo) {
	if x.groups[i].listed {
		x.decider.LoadReported(x.now, x.groups[i].switchID, x.groupReport(i, userInfo))
	}
}

// setState changes the state of a call; a transition that is not allowed is logged as a fault.
func (x *Exchange) setState(call *activeCall, next State) {
	allowed := false
	for _, state := range transitions[call.state] {
		allowed = allowed || state == next
	}
	if !allowed {
		x.output.Log(fmt.Sprintf("fault: call in state %d cannot change to state %d", call.state, next))
		return
	}
	if next == Ended {
		x.timers.Stop(call.abandonTimer)
		x.timers.Stop(call.tryTimer)
		call.deciderTimers.Stop(&x.timers)
		delete(x.calls, call.id)
		x.store.Drop(call.id)
		x.releaseNumbering(call)
		if call.answerExpected && !call.answerReported { // the caller's side is gone: no answer can be given
			call.answerReported = true
			x.unanswered--
		}
		if call.in.hop.Side == Line {
			delete(x.callByLine, lineKey{call.in.hop.Point, call.in.circuits.CIC})
		}
		if call.out.hop.Side == Line && call.state == Ringing || call.state == Established && call.out.hop.Side == Line {
			delete(x.callByLine, lineKey{call.out.hop.Point, call.out.circuits.CIC})
		}
	}
	call.state = next
}

// finish ends a call that was not established and gives the caller its final answer.
func (x *Exchange) finish(call *activeCall, outcome Outcome, cause isup.Cause, retryAfter policy.Tenths) {
	if call.state == Ended {
		return
	}
	x.reportAnswer(call, outcome, retryAfter)
	msg := isup.Message{CIC: call.in.circuits.CIC, Type: isup.REL, Cause: cause, Location: isup.LocalNetwork}
	if retryAfter > 0 {
		msg.UserInfo = isup.UserInfo{Present: isup.PartRetryAfter, RetryAfter: uint32(retryAfter)}
	}
	if call.request.Transit {
		msg.Location = isup.TransitNetwork
	}
	x.release(call.in, msg)
	x.setState(call, Ended)
}

// reportAnswer reports the final answer of a call, once.
func (x *Exchange) reportAnswer(call *activeCall, outcome Outcome, retryAfter policy.Tenths) {
	if call.answerReported || !call.answerExpected {
		return
	}
	call.answerReported = true
	x.unanswered--
	x.output.ReportAnswer(Answer{
		Ref:        call.ref,
		Outcome:    outcome,
		Dest:       call.request.Dest,
		Tries:      call.tries,
		Duration:   x.now - call.startTime,
		Transit:    call.request.Transit,
		RetryAfter: retryAfter,
	})
}

// release sends a release on a leg and marks its circuits as being released.
func (x *Exchange) release(leg callLeg, msg isup.Message) {
	msg.CIC = leg.circuits.CIC
	if leg.hop.Side != Line {
		x.markYielded(leg.hop.Peer, &msg)
		x.groups[leg.hop.Peer].circuits.Release(x.now, msg.CIC)
		x.groups[leg.hop.Peer].changed = true
	}
	x.output.Transmit(leg.hop, msg)
}

// markYielded marks a release or its answer if the call had taken its circuits from a call of this exchange.
func (x *Exchange) markYielded(peer int, msg *isup.Message) {
	if x.groups[peer].circuits.Yielded(msg.CIC) {
		msg.UserInfo.Present |= isup.PartCall
		msg.UserInfo.Flags |= isup.FlagYielded
	}
}

// releaseTry releases the circuits of the current try, if any.
func (x *Exchange) releaseTry(call *activeCall, cause isup.Cause) {
	if call.state == Trying || call.state == Ringing || call.state == Established {
		x.release(call.out, isup.Message{Type: isup.REL, Cause: cause, Location: isup.LocalNetwork})
	}
}

// endTry returns a call to the decider after its try has ended.
func (x *Exchange) endTry(call *activeCall, outcome policy.Outcome, reason policy.Reason, wait policy.Tenths, userInfo isup.UserInfo) {
	x.setState(call, Offered)
	x.pendingResults = append(x.pendingResults, tryResult{
		callID:   call.id,
		try:      call.tries - 1,
		switchID: call.switchID,
		outcome:  outcome,
		reason:   reason,
		wait:     wait,
		userInfo: userInfo,
	})
}

// audit repeats the messages that neighbours have not answered.
func (x *Exchange) audit() {
	for i := range x.groups {
		group := &x.groups[i]
		if !group.linkUp || x.now < group.earliestAudit {
			continue
		}
		for _, repeat := range group.circuits.Due(x.now) {
			to := Hop{Side: Succeeding, Peer: i}
			if repeat.Type == isup.REL && repeat.Incoming {
				to.Side = Preceding
			}
			msg := isup.Message{CIC: repeat.CIC, Type: repeat.Type, Range: repeat.Range, Cause: isup.NormalUnspecified,
				Location: isup.LocalNetwork}
			if repeat.Type == isup.REL {
				x.markYielded(i, &msg)
			}
			x.output.Transmit(to, msg)
			group.changed = true
		}
	}
}

// ListReceived applies a validated list of switches, or a change to the previous list unless whole is set.
func (x *Exchange) ListReceived(now policy.Tenths, whole bool, list []policy.Switch) {
	x.now = now
	if whole {
		for i := range x.groups {
			x.groups[i].ready = false
		}
	}
	if whole {
		x.withheldSwitches = nil
	}
	seen := map[int]bool{}
	for i := range list {
		// The previous process may have used up the slow-start budget of a cold switch.
		if s := &list[i]; now < x.coldHoldUntil && s.BootAt > 0 && now < s.BootAt+x.deployment.RampTime {
			x.withheldSwitches = append(x.withheldSwitches, *s)
			s.Ready = false
		}
	}
	for _, s := range list {
		if i, ok := x.groupByNumber[s.Number]; ok {
			x.groupBySwitch[s.ID] = i
			if group := &x.groups[i]; !seen[i] || !group.ready {
				group.switchID, group.ready, group.bootAt, group.listed, group.changed = s.ID, s.Ready, s.BootAt, true, true
			}
			seen[i] = true
		}
	}
	x.decider.ListReceived(now, whole, list)
	x.reportPending()
}

// ListLost reports that the register cannot be reached.
func (x *Exchange) ListLost(now policy.Tenths) {
	x.now = now
	x.decider.ListLost(now)
	x.reportPending()
}

// SetAdvice sets the tandem that the centre recommends for each destination.
func (x *Exchange) SetAdvice(advice map[int]int) { x.advice = advice }

// LinkUp reports that the link to a neighbour's switch is up. If the switch has restarted, which a changed incarnation
// shows, or this exchange has just started, the state of the circuits is unknown. All circuits are then reset, except
// those of restored calls if the switch is still the same.
func (x *Exchange) LinkUp(now policy.Tenths, peer int, incarnation string) {
	x.now = now
	group := &x.groups[peer]
	group.linkUp, group.changed = true, true
	switch {
	case group.incarnation != incarnation:
		group.incarnation = incarnation
		x.endOnLostCircuits(peer, group.circuits.ResetAll(now))
		x.store.SetIncarnation(group.number, incarnation)
		x.audit()
	case group.restored: // the switch still knows the restored calls; all other circuits are reset
		group.circuits.ResetUnrestored(now)
		x.store.SetIncarnation(group.number, incarnation)
		x.audit()
		x.schedule(group.earliestAudit, dueCircuitQuery, 0)
	}
	group.restored = false
	x.reportPending()
}

// LinkDown reports that the link to a neighbour's switch was lost. Tries through that switch end; established calls
// continue, as their circuits do not depend on the signalling link.
func (x *Exchange) LinkDown(now policy.Tenths, peer int) {
	x.now = now
	x.groups[peer].linkUp, x.groups[peer].changed = false, true
	for _, call := range x.callsByID() {
		if call.state == Trying && call.out.hop.Peer == peer {
			x.releaseTry(call, isup.NetworkOutOfOrder)
			x.endTry(call, policy.Disconnected, policy.NoReason, 0, isup.UserInfo{})
		}
	}
	x.reportPending()
}

// OwnSwitchUp reports that the link to the own switch is up. A changed incarnation shows that the switch has restarted
// and has lost all lines and circuits.
func (x *Exchange) OwnSwitchUp(now policy.Tenths, incarnation string) {
	x.now = now
	if x.ownIncarnation != "" && x.ownIncarnation != incarnation {
		for _, call := range x.callsByID() {
			x.endOrphaned(call, isup.NetworkOutOfOrder)
		}
	}
	if x.ownIncarnation != "" && x.ownIncarnation != incarnation {
		x.failedCalls, x.lostLines = nil, nil
	}
	x.ownIncarnation = incarnation
	x.store.SetIncarnation(-1, incarnation)
	x.releaseLostCallers()
	x.reportPending()
}

// OwnSwitchDown reports that the link to the own switch was lost. No answer can reach a caller, so calls without an
// answer end and are released. Established calls continue unless the switch turns out to have restarted.
func (x *Exchange) OwnSwitchDown(now policy.Tenths) {
	x.now = now
	for _, call := range x.callsByID() {
		if call.state != Established {
			x.endOrphaned(call, isup.TemporaryFailure)
		}
	}
	x.reportPending()
}

// endOrphaned ends a call whose caller's side is lost.
func (x *Exchange) endOrphaned(call *activeCall, cause isup.Cause) {
	if call.offered && call.state != Established {
		x.decider.Abandoned(x.now, call.id)
		if call.in.hop.atGateway() {
			x.reportAnswer(call, Failed, 0)
		}
		x.reportAnswer(call, Abandoned, 0)
	} else if call.offered {
		x.pendingResults = append(x.pendingResults,
			tryResult{callID: call.id, try: call.tries - 1, switchID: call.switchID, outcome: policy.Disconnected, final: true})
	}
	x.releaseTry(call, cause)
	if call.in.hop.Side == Preceding || call.in.hop.atGateway() { // a telephone at a gateway is reached without the switch
		x.release(call.in, isup.Message{Type: isup.REL, Cause: cause, Location: isup.LocalNetwork})
	}
	x.setState(call, Ended)
}

// endOnLostCircuits ends calls that lost their circuits of a group. The circuits are already in their new state.
func (x *Exchange) endOnLostCircuits(peer int, ids []uint32) {
	for _, id := range ids {
		call := x.calls[id]
		if call == nil {
			continue
		}
		if out := call.out.hop; out.Side == Succeeding && out.Peer == peer && (call.state == Trying || call.state == Established) {
			x.releasedByCalled(call, policy.Disconnected, policy.NoReason, isup.Message{Cause: isup.NetworkOutOfOrder})
			continue
		}
		x.releasedByCaller(call, isup.NetworkOutOfOrder)
	}
}

// callsByID returns the calls in the order of arrival, so that processing does not depend on map order.
func (x *Exchange) callsByID() []*activeCall {
	all := make([]*activeCall, 0, len(x.calls))
	for _, call := range x.calls {
		all = append(all, call)
	}
	slices.SortFunc(all, func(a, b *activeCall) int { return cmp.Compare(a.id, b.id) })
	return all
}
