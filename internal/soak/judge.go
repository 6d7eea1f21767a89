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

// Rule names what a breach breaks.
type Rule string

// The rules, from the protocol and its terms.
const (
	RuleAnswered    Rule = "a call taken gets one final answer in time"
	RuleServedTrue  Rule = "what stands has the answer of a switch"
	RuleOneTry      Rule = "no two tries out at once"
	RuleDrain       Rule = "nothing new to a switch past the grace once it drains"
	RuleCold        Rule = "no cold switch is pushed over"
	RuleReleaseTime Rule = "the release time is awaited"
	RuleTold        Rule = "the caller of a call that is over is told within 1 s of its release"
	RuleToldLost    Rule = "the caller of a call that is over is told within 8 s"
	RuleNoCaller    Rule = "no set-up that no caller sent, none to the own exchange, in transit to its destination alone"
	RuleBothSides   Rule = "what is over for its caller is over at its switch"
	RuleBadClient   Rule = "a bad client has a refusal or a close within 3 s"
	RuleCrash       Rule = "no controller ends by itself"
	RuleReady       Rule = "a controller is ready within 10 s"
	RuleLimits      Rule = "memory and descriptors stay within their limits"
)

const (
	slack       = 50 * time.Millisecond // by which every time limit grows
	passMost    = 50 * time.Millisecond // the way through proxies and pieces
	rigMost     = 10 * time.Millisecond // between what a peer of a controller does and what it notes
	lateMost    = 500 * time.Millisecond
	toldWithin  = time.Second
	toldLost    = 8 * time.Second
	transitMost = 300 * time.Millisecond // what was written so shortly before a connection was lost may be lost with it
	termTaken   = 700 * time.Millisecond
	linesMost   = 40 // of a timeline
)

// Breach is one rule that was broken.
type Breach struct {
	Rule       Rule
	Controller int
	Call       string
	What       string
	Timeline   []string
}

func (b Breach) String() string {
	text := fmt.Sprintf("%s: n%d", b.Rule, b.Controller)
	if b.Call != "" {
		text += " call " + b.Call
	}
	return text + ": " + b.What
}

// callView is all that was seen of one call.
type callView struct {
	id         string
	controller int
	events     []Event
}

// judge holds what was seen against the rules.
type judge struct {
	plan     Plan
	events   []Event
	calls    map[string]*callView
	order    []string
	lostAt   map[int]time.Duration // connections to switches, and callers' connections that are silenced
	silent   map[int]bool          // of these, those whose end neither side can see
	cellOf   map[uint32]int        // by switch
	shutAt   map[int]time.Duration // connections to switches that their controller has closed
	opened   map[int]time.Duration // callers' connections
	closed   map[int]time.Duration
	whose    map[int]int // callers' connections, by controller
	lives    [][]span    // of controllers: from ready to end
	stalls   []Event
	breaches []Breach
	end      time.Duration
}

type span struct{ from, to time.Duration }

const never = time.Duration(math.MaxInt64)

// Judge judges a run from what callers, switches, the board and the rig saw.
func Judge(plan Plan, events []Event) []Breach {
	j := &judge{plan: plan, events: events, calls: map[string]*callView{}, lostAt: map[int]time.Duration{}, silent: map[int]bool{}, cellOf: map[uint32]int{}, shutAt: map[int]time.Duration{}, opened: map[int]time.Duration{},
		closed: map[int]time.Duration{}, whose: map[int]int{}, lives: make([][]span, plan.Controllers)}
	if len(events) > 0 {
		j.end = events[len(events)-1].At
	}
	j.index()
	for _, id := range j.order {
		k := j.calls[id]
		j.answered(k)
		j.tries(k)
		j.told(k)
		j.bothSides(k)
	}
	j.drains()
	j.cold()
	j.controllers()
	return j.breaches
}

func (j *judge) index() {
	ready := make([]time.Duration, j.plan.Controllers)
	for _, e := range j.events {
		if e.Call != "" {
			k := j.calls[e.Call]
			if k == nil {
				k = &callView{id: e.Call, controller: e.Controller}
				j.calls[e.Call] = k
				j.order = append(j.order, e.Call)
			}
			k.events = append(k.events, e)
		}
		switch e.Kind {
		case LinkLost, CallerSilenced:
			if _, before := j.lostAt[e.Conn]; !before {
				j.lostAt[e.Conn], j.silent[e.Conn] = e.At, e.Kind == CallerSilenced || e.Text == lostSilent || e.Text == lostVanished
			}
		case ListChanged:
			j.cellOf[e.Switch] = e.Cell
		case LinkClosed:
			j.shutAt[e.Conn] = e.At
		case CallerOpened:
			j.opened[e.Conn], j.whose[e.Conn] = e.At, e.Controller
		case CallerClosed:
			j.closed[e.Conn] = e.At
		case ControllerReady:
			ready[e.Controller] = e.At
			j.lives[e.Controller] = append(j.lives[e.Controller], span{e.At, never})
		case ControllerEnded:
			if n := len(j.lives[e.Controller]); n > 0 {
				j.lives[e.Controller][n-1].to = e.At
			}
		case ControllerTold:
			if n := len(j.lives[e.Controller]); n > 0 && e.Text == "killed" {
				j.lives[e.Controller][n-1].to = min(j.lives[e.Controller][n-1].to, e.At)
			}
		case RigStalled:
			j.stalls = append(j.stalls, e)
		}
	}
}

// late is how long the rig itself stood still in a span: what it saw then was late by no fault of a controller.
func (j *judge) late(from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, s := range j.stalls {
		if s.At >= from && s.At-s.Span <= to {
			sum += s.Span
		}
	}
	return sum
}

// aliveThrough tells whether one life of a controller lasts through a span.
func (j *judge) aliveThrough(controller int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.lives[controller], func(l span) bool { return l.from <= from && l.to >= to })
}

func (j *judge) breach(rule Rule, k *callView, controller int, format string, a ...any) {
	b := Breach{Rule: rule, Controller: controller, What: fmt.Sprintf(format, a...)}
	if k != nil {
		b.Call = k.id
		b.Timeline = j.timeline(k)
	}
	j.breaches = append(j.breaches, b)
}

// timeline is what was seen of a call, of its connections and of its controller meanwhile.
func (j *judge) timeline(k *callView) []string {
	conns := map[int]bool{}
	from, to := never, time.Duration(0)
	for _, e := range k.events {
		if e.Conn != 0 {
			conns[e.Conn] = true
		}
		from, to = min(from, e.At), max(to, e.At)
	}
	var lines []string
	for _, e := range j.events {
		about := e.Call == k.id
		if !about && e.At >= from-2*time.Second && e.At <= to+10*time.Second {
			switch e.Kind {
			case CallerOpened, CallerClosed, CallerSilenced, LinkLost:
				about = conns[e.Conn] || e.Kind != LinkLost && e.Controller == k.controller
			case ControllerStarted, ControllerReady, ControllerEnded, ControllerTold:
				about = e.Controller == k.controller
			case Fault, RigStalled:
				about = true
			}
		}
		if about {
			lines = append(lines, e.String())
		}
	}
	if len(lines) > linesMost {
		lines = append(lines[:linesMost], "...")
	}
	return lines
}

func (k *callView) first(kind Kind) (Event, bool) {
	i := slices.IndexFunc(k.events, func(e Event) bool { return e.Kind == kind })
	if i < 0 {
		return Event{}, false
	}
	return k.events[i], true
}

// answered judges the final answer of a call.
func (j *judge) answered(k *callView) {
	var sent, last Event
	var answer, unanswered, given Event
	answers := 0
	for _, e := range k.events {
		switch e.Kind {
		case CallSent:
			if sent.Call == "" {
				sent = e
			}
			last, unanswered = e, Event{}
		case CallAnswered:
			if answers++; answers == 1 {
				answer = e
			}
		case CallUnanswered:
			unanswered = e
		case CallGivenUp:
			given = e
		}
	}
	if sent.Call == "" {
		if answers > 0 {
			j.breach(RuleServedTrue, k, k.controller, "an answer to a call that nobody placed")
		}
		return
	}
	if answers > 1 {
		j.breach(RuleAnswered, k, k.controller, "%d final answers", answers)
	}
	if answers > 0 && answer.Status == sip.OK {
		j.servedTrue(k, answer)
	}
	if given.Call != "" && (answers == 0 || answer.At > given.At) {
		return
	}
	deadline := sent.At + sent.Span + lateMost + slack + passMost
	deadline += j.late(sent.At, deadline)
	switch {
	case answers > 0 && answer.At > deadline:
		j.breach(RuleAnswered, k, k.controller, "answered %v after it was sent, its time was %v", (answer.At - sent.At).Round(time.Millisecond), sent.Span)
	case answers > 0 || j.excused(last, unanswered, deadline):
	case unanswered.Call != "":
		j.breach(RuleAnswered, k, k.controller, "its connection ended %v after it was sent, with no answer: %s", (unanswered.At - last.At).Round(time.Millisecond), unanswered.Text)
	case j.end > deadline:
		j.breach(RuleAnswered, k, k.controller, "no answer within %v", sent.Span)
	}
}

// servedTrue judges that what stands has the description that a switch gave for this call.
func (j *judge) servedTrue(k *callView, answer Event) {
	for _, e := range k.events {
		if e.Kind == TryEnded && e.Status == sip.OK && AnswerBody(e.Switch, k.id, e.Number) == answer.Text {
			return
		}
	}
	j.breach(RuleServedTrue, k, k.controller, "the caller read %q", answer.Text)
}

// excused tells that a set-up without an answer is not lost: the rig took its connection away or killed the controller, it crossed a close and found no
// controller that takes it again, or it was never taken.
func (j *judge) excused(sent, unanswered Event, deadline time.Duration) bool {
	if lost, ok := j.lostAt[sent.Conn]; ok && lost <= deadline {
		return true
	}
	if j.killedWithin(sent.Controller, sent.At, deadline-sent.At, func(kill Event) bool { return !j.planned(kill) }) {
		return true
	}
	if unanswered.Call == "" {
		return false
	}
	return unanswered.At-sent.At <= crossWithin+slack+j.late(sent.At, unanswered.At)
}

// planned tells whether SIGKILL is the end of a planned restart.
func (j *judge) planned(kill Event) bool {
	for _, e := range slices.Backward(j.events) {
		if e.At < kill.At && e.Controller == kill.Controller {
			switch {
			case e.Kind == ControllerTold && e.Text == "terminated":
				return true
			case e.Kind == ControllerStarted:
				return false
			}
		}
	}
	return false
}

func keys[K comparable, V any](m map[K]V) func(func(K) bool) {
	return func(yield func(K) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// controllers judges crashes, starts and bad clients.
func (j *judge) controllers() {
	started := make([]time.Duration, j.plan.Controllers)
	ready := make([]bool, j.plan.Controllers)
	for i := range ready {
		ready[i] = true
	}
	for _, e := range j.events {
		switch e.Kind {
		case ControllerStarted:
			started[e.Controller], ready[e.Controller] = e.At, false
		case ControllerReady:
			ready[e.Controller] = true
			if e.Span > readyWithin+j.late(started[e.Controller], e.At) {
				j.breach(RuleReady, nil, e.Controller, "ready after %v", e.Span)
			}
		case ControllerEnded:
			if e.Status != 0 {
				j.breach(RuleCrash, nil, e.Controller, "%s at %.3f", e.Text, e.At.Seconds())
			}
			ready[e.Controller] = true // the end was judged
		case ClientServed:
			if e.Status == sip.OK || e.Span > servedWithin+slack+j.late(e.At-e.Span, e.At) || e.Status == 0 {
				if !j.aliveThrough(e.Controller, e.At-e.Span, e.At) {
					continue
				}
				j.breach(RuleBadClient, nil, e.Controller, "%s: status %d after %v", e.Text, e.Status, e.Span)
			}
		}
	}
	for i, ok := range ready {
		if !ok && j.end-started[i] > readyWithin {
			j.breach(RuleReady, nil, i, "started at %.3f and never ready", started[i].Seconds())
		}
	}
}

// Summary counts breaches by rule.
func Summary(breaches []Breach) string {
	count := map[Rule]int{}
	for _, b := range breaches {
		count[b.Rule]++
	}
	var parts []string
	for _, rule := range slices.SortedFunc(keys(count), cmp.Compare[Rule]) {
		parts = append(parts, fmt.Sprintf("%dx %s", count[rule], rule))
	}
	return strings.Join(parts, "; ")
}
