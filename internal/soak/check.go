package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"indigodrift/internal/sip"
)

// Rule is a rule that a run must keep.
type Rule string

// Rules of the protocol and of its settings.
const (
	RuleFinalAnswer         Rule = "a call taken gets one final answer in time"
	RuleAnswerFromSwitch    Rule = "what stands has the answer of a switch"
	RuleSingleTry           Rule = "no two tries out at once"
	RuleDrain               Rule = "nothing new to a switch past the grace once it drains"
	RuleColdSwitch          Rule = "no cold switch is pushed over"
	RuleReleaseTime         Rule = "the release time is awaited"
	RuleReleaseDelivery     Rule = "the caller of a call that is over is told within 1 s of its release"
	RuleLostReleaseDelivery Rule = "the caller of a call that is over is told within 8 s"
	RuleValidSetUp          Rule = "no set-up that no caller sent, none to the own exchange, in transit to its destination alone"
	RuleEndedAtSwitch       Rule = "what is over for its caller is over at its switch"
	RuleBadClient           Rule = "a bad client has a refusal or a close within 3 s"
	RuleNoCrash             Rule = "no controller ends by itself"
	RuleReady               Rule = "a controller is ready within 10 s"
	RuleLimits              Rule = "memory and descriptors stay within their limits"
)

const (
	slack                   = 50 * time.Millisecond  // tolerance of every time limit
	maxProxyDelay           = 50 * time.Millisecond  // from one end of a proxy to the other, chunks included
	maxRecordDelay          = 10 * time.Millisecond  // between an action of a controller's peer and its event
	maxAnswerOverrun        = 500 * time.Millisecond // of a final answer after the abandon time
	releaseDeliveryTime     = time.Second            // from a release by a switch to the release to the caller
	lostReleaseDeliveryTime = 8 * time.Second        // from the end of a call to the release to the caller, if the release by the switch may be lost
	lossWindow              = 300 * time.Millisecond // data written within it before a connection is lost may be lost too
	maxTimelineLines        = 40
)

// Violation is one violation of a rule.
type Violation struct {
	Rule       Rule
	Controller int
	CallID     string
	Detail     string
	Timeline   []string
}

func (v Violation) String() string {
	text := fmt.Sprintf("%s: n%d", v.Rule, v.Controller)
	if v.CallID != "" {
		text += " call " + v.CallID
	}
	return text + ": " + v.Detail
}

// callHistory is all events of one call.
type callHistory struct {
	id         string
	controller int
	events     []Event
}

// checker checks the events of a run against the rules.
type checker struct {
	plan                 Plan
	events               []Event
	calls                map[string]*callHistory
	order                []string              // of calls, by their first event
	lostAt               map[int]time.Duration // lost connections to switches, and callers' connections disrupted by faults
	lostSilently         map[int]bool          // those of lostAt whose loss neither side sees
	cellOf               map[uint32]int        // exchange by switch
	closedByController   map[int]time.Duration // connections to switches that the controller closed
	callerOpenedAt       map[int]time.Duration // by caller connection
	callerClosedAt       map[int]time.Duration
	callerConnController map[int]int  // controller of a caller connection
	incarnations         [][]interval // of each controller, from ready to exit
	stalls               []Event
	violations           []Violation
	endTime              time.Duration
}

// interval is a time interval of a run.
type interval struct{ from, to time.Duration }

// never is later than any time of a run.
const never = time.Duration(math.MaxInt64)

// Check checks the events of a run against the rules and returns the violations.
func Check(plan Plan, events []Event) []Violation {
	c := &checker{plan: plan, events: events, calls: map[string]*callHistory{}, lostAt: map[int]time.Duration{}, lostSilently: map[int]bool{},
		cellOf: map[uint32]int{}, closedByController: map[int]time.Duration{}, callerOpenedAt: map[int]time.Duration{}, callerClosedAt: map[int]time.Duration{},
		callerConnController: map[int]int{}, incarnations: make([][]interval, plan.Controllers)}
	if len(events) > 0 {
		c.endTime = events[len(events)-1].At
	}
	c.index()
	for _, id := range c.order {
		call := c.calls[id]
		c.checkAnswer(call)
		c.checkTries(call)
		c.checkReleaseDelivery(call)
		c.checkEndedAtSwitch(call)
	}
	c.checkDraining()
	c.checkColdSwitches()
	c.checkControllers()
	return c.violations
}

// index groups the events by call and collects the times of connections, processes and stalls.
func (c *checker) index() {
	ready := make([]time.Duration, c.plan.Controllers)
	for _, e := range c.events {
		if e.CallID != "" {
			call := c.calls[e.CallID]
			if call == nil {
				call = &callHistory{id: e.CallID, controller: e.Controller}
				c.calls[e.CallID] = call
				c.order = append(c.order, e.CallID)
			}
			call.events = append(call.events, e)
		}
		switch e.Kind {
		case SwitchConnLost, CallerConnDisrupted:
			if _, before := c.lostAt[e.ConnID]; !before {
				c.lostAt[e.ConnID], c.lostSilently[e.ConnID] = e.At, e.Kind == CallerConnDisrupted || e.Detail == lossSilent || e.Detail == lossPartition
			}
		case ListChanged:
			c.cellOf[e.SwitchID] = e.Cell
		case SwitchConnClosed:
			c.closedByController[e.ConnID] = e.At
		case CallerConnOpened:
			c.callerOpenedAt[e.ConnID], c.callerConnController[e.ConnID] = e.At, e.Controller
		case CallerConnClosed:
			c.callerClosedAt[e.ConnID] = e.At
		case ControllerReady:
			ready[e.Controller] = e.At
			c.incarnations[e.Controller] = append(c.incarnations[e.Controller], interval{e.At, never})
		case ControllerExited:
			if n := len(c.incarnations[e.Controller]); n > 0 {
				c.incarnations[e.Controller][n-1].to = e.At
			}
		case SignalSent:
			if n := len(c.incarnations[e.Controller]); n > 0 && e.Detail == "killed" {
				c.incarnations[e.Controller][n-1].to = min(c.incarnations[e.Controller][n-1].to, e.At)
			}
		case HarnessStalled:
			c.stalls = append(c.stalls, e)
		}
	}
}

// stallTime returns how long the test harness stalled between two times, as its events are late by that through no fault of a controller.
func (c *checker) stallTime(from, to time.Duration) time.Duration {
	total := time.Duration(0)
	for _, stall := range c.stalls {
		if stall.At >= from && stall.At-stall.Duration <= to {
			total += stall.Duration
		}
	}
	return total
}

// aliveThroughout reports whether one incarnation of a controller was ready from one time to another.
func (c *checker) aliveThroughout(controller int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.incarnations[controller], func(incarnation interval) bool { return incarnation.from <= from && incarnation.to >= to })
}

// addViolation adds a violation, with the timeline of its call unless call is nil.
func (c *checker) addViolation(rule Rule, call *callHistory, controller int, format string, args ...any) {
	violation := Violation{Rule: rule, Controller: controller, Detail: fmt.Sprintf(format, args...)}
	if call != nil {
		violation.CallID = call.id
		violation.Timeline = c.timeline(call)
	}
	c.violations = append(c.violations, violation)
}

// timeline returns the events of a call and, around them, of its connections, its controller and faults.
func (c *checker) timeline(call *callHistory) []string {
	conns := map[int]bool{}
	from, to := never, time.Duration(0)
	for _, e := range call.events {
		if e.ConnID != 0 {
			conns[e.ConnID] = true
		}
		from, to = min(from, e.At), max(to, e.At)
	}
	var lines []string
	for _, e := range c.events {
		relevant := e.CallID == call.id
		if !relevant && e.At >= from-2*time.Second && e.At <= to+10*time.Second {
			switch e.Kind {
			case CallerConnOpened, CallerConnClosed, CallerConnDisrupted, SwitchConnLost:
				relevant = conns[e.ConnID] || e.Kind != SwitchConnLost && e.Controller == call.controller
			case ControllerStarted, ControllerReady, ControllerExited, SignalSent:
				relevant = e.Controller == call.controller
			case FaultInjected, HarnessStalled:
				relevant = true
			}
		}
		if relevant {
			lines = append(lines, e.String())
		}
	}
	if len(lines) > maxTimelineLines {
		lines = append(lines[:maxTimelineLines], "...")
	}
	return lines
}

// firstEvent returns the first event of a kind.
func (h *callHistory) firstEvent(kind EventKind) (Event, bool) {
	i := slices.IndexFunc(h.events, func(e Event) bool { return e.Kind == kind })
	if i < 0 {
		return Event{}, false
	}
	return h.events[i], true
}

// checkAnswer checks that a call gets one final answer in time.
func (c *checker) checkAnswer(call *callHistory) {
	var firstSent, lastSent Event
	var answer, unanswered, abandoned Event
	answers := 0
	for _, e := range call.events {
		switch e.Kind {
		case SetUpSent:
			if firstSent.CallID == "" {
				firstSent = e
			}
			lastSent, unanswered = e, Event{}
		case AnswerRead:
			if answers++; answers == 1 {
				answer = e
			}
		case ConnEndedUnanswered:
			unanswered = e
		case CallAbandoned:
			abandoned = e
		}
	}
	if firstSent.CallID == "" {
		if answers > 0 {
			c.addViolation(RuleAnswerFromSwitch, call, call.controller, "answer to a call that no caller placed")
		}
		return
	}
	if answers > 1 {
		c.addViolation(RuleFinalAnswer, call, call.controller, "%d final answers", answers)
	}
	if answers > 0 && answer.Status == sip.OK {
		c.checkAnswerBody(call, answer)
	}
	if abandoned.CallID != "" && (answers == 0 || answer.At > abandoned.At) {
		return
	}
	deadline := firstSent.At + firstSent.Duration + maxAnswerOverrun + slack + maxProxyDelay
	deadline += c.stallTime(firstSent.At, deadline)
	switch {
	case answers > 0 && answer.At > deadline:
		c.addViolation(RuleFinalAnswer, call, call.controller, "answered %v after the set-up, abandon time %v",
			(answer.At - firstSent.At).Round(time.Millisecond), firstSent.Duration)
	case answers > 0 || c.unansweredAllowed(lastSent, unanswered, deadline):
	case unanswered.CallID != "":
		c.addViolation(RuleFinalAnswer, call, call.controller, "connection ended %v after the set-up without an answer: %s",
			(unanswered.At - lastSent.At).Round(time.Millisecond), unanswered.Detail)
	case c.endTime > deadline:
		c.addViolation(RuleFinalAnswer, call, call.controller, "no answer within %v", firstSent.Duration)
	}
}

// checkAnswerBody checks that a 200 carries the session description that a switch sent for this call.
func (c *checker) checkAnswerBody(call *callHistory, answer Event) {
	for _, e := range call.events {
		if e.Kind == TryEnded && e.Status == sip.OK && AnswerBody(e.SwitchID, call.id, e.Number) == answer.Detail {
			return
		}
	}
	c.addViolation(RuleAnswerFromSwitch, call, call.controller, "no switch sent the answer %q", answer.Detail)
}

// unansweredAllowed reports whether a set-up may stay without an answer: a fault hit its connection or killed the controller without warning, or
// the set-up crossed the close of its connection.
func (c *checker) unansweredAllowed(sent, unanswered Event, deadline time.Duration) bool {
	if lost, ok := c.lostAt[sent.ConnID]; ok && lost <= deadline {
		return true
	}
	if c.killedWithin(sent.Controller, sent.At, deadline-sent.At, func(kill Event) bool { return !c.isPlannedKill(kill) }) {
		return true
	}
	if unanswered.CallID == "" {
		return false
	}
	return unanswered.At-sent.At <= closeCrossingTime+slack+c.stallTime(sent.At, unanswered.At)
}

// isPlannedKill reports whether a SIGKILL is the end of a planned restart.
func (c *checker) isPlannedKill(kill Event) bool {
	for _, e := range slices.Backward(c.events) {
		if e.At < kill.At && e.Controller == kill.Controller {
			switch {
			case e.Kind == SignalSent && e.Detail == "terminated":
				return true
			case e.Kind == ControllerStarted:
				return false
			}
		}
	}
	return false
}

// mapKeys returns an iterator over the keys of a map.
func mapKeys[K comparable, V any](m map[K]V) func(func(K) bool) {
	return func(yield func(K) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// checkControllers checks crashes, the time to readiness and the reactions to bad clients.
func (c *checker) checkControllers() {
	started := make([]time.Duration, c.plan.Controllers)
	ready := make([]bool, c.plan.Controllers)
	for i := range ready {
		ready[i] = true
	}
	for _, e := range c.events {
		switch e.Kind {
		case ControllerStarted:
			started[e.Controller], ready[e.Controller] = e.At, false
		case ControllerReady:
			ready[e.Controller] = true
			if e.Duration > readyTimeout+c.stallTime(started[e.Controller], e.At) {
				c.addViolation(RuleReady, nil, e.Controller, "ready after %v", e.Duration)
			}
		case ControllerExited:
			if e.Status != 0 {
				c.addViolation(RuleNoCrash, nil, e.Controller, "%s at %.3f", e.Detail, e.At.Seconds())
			}
			ready[e.Controller] = true // the exit was checked
		case BadClientServed:
			if e.Status == sip.OK || e.Duration > badClientTimeout+slack+c.stallTime(e.At-e.Duration, e.At) || e.Status == 0 {
				if !c.aliveThroughout(e.Controller, e.At-e.Duration, e.At) {
					continue
				}
				c.addViolation(RuleBadClient, nil, e.Controller, "%s: status %d after %v", e.Detail, e.Status, e.Duration)
			}
		}
	}
	for i, ok := range ready {
		if !ok && c.endTime-started[i] > readyTimeout {
			c.addViolation(RuleReady, nil, i, "started at %.3f and never ready", started[i].Seconds())
		}
	}
}

// Summary returns the number of violations by rule.
func Summary(violations []Violation) string {
	count := map[Rule]int{}
	for _, violation := range violations {
		count[violation.Rule]++
	}
	var parts []string
	for _, rule := range slices.SortedFunc(mapKeys(count), cmp.Compare[Rule]) {
		parts = append(parts, fmt.Sprintf("%dx %s", count[rule], rule))
	}
	return strings.Join(parts, "; ")
}
