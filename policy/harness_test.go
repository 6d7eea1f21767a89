package policy

import (
	"flag"
	"fmt"
	"testing"

	"indigodrift/internal/seeded"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.steps", "60"); err != nil {
		panic(err)
	}
	seeded.Main(m, 3000)
}

// routeTry is an open route try, as the harness sees it.
type routeTry struct {
	switchID  uint32
	number    int
	expiresAt Tenths
}

// testCall is a call as the harness sees it.
type testCall struct {
	request     Call
	abandonAt   Tenths
	openTry     *routeTry
	tries       int
	retryAt     Tenths
	established bool
	done        bool
	reported    bool // its end was reported to the controller or decided by it
}

// timer is a timer that the controller has set.
type timer struct {
	at    Tenths
	token uint64
}

// harness is a simulated exchange: it carries out what the controller decides and records every violated rule.
type harness struct {
	deployment    Deployment
	controller    *Controller
	now           Tenths
	calls         map[uint32]*testCall
	order         []uint32
	unavailable   map[uint32]Tenths // when a switch was first listed as draining or gone
	exchangeOf    map[uint32]int    // exchange of every switch ever listed
	timers        []timer
	sent          []sentTry // every route try: switch and time
	lastAction    string
	subscriptions int
	cancellations int
	logLines      []string
	violations    []string
}

func newHarness(deployment Deployment) *harness {
	h := &harness{deployment: deployment, now: 1_000_000, calls: map[uint32]*testCall{},
		unavailable: map[uint32]Tenths{}, exchangeOf: map[uint32]int{}}
	h.controller = New(deployment, h, h.now)
	return h
}

// addViolation records a violated rule.
func (h *harness) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *harness) Send(id, switchID uint32, timeout Tenths) {
	call := h.calls[id]
	h.lastAction = fmt.Sprintf("send %d", switchID)
	switch {
	case call == nil || call.done:
		h.addViolation("route try for call %d, which is over", id)
		return
	case call.openTry != nil || call.established:
		h.addViolation("second route try for call %d", id)
	case h.now < call.retryAt:
		h.addViolation("route try for call %d before its release", id)
	case call.tries >= h.deployment.MaxTries:
		h.addViolation("too many route tries for call %d", id)
	}
	if at, unavailable := h.unavailable[switchID]; unavailable && h.now > at+h.deployment.DrainGrace {
		h.addViolation("route try to switch %d, which drains or is gone", switchID)
	}
	if n, ok := h.exchangeOf[switchID]; !ok || n == h.deployment.OwnExchange || call.request.Transit && n != call.request.Dest {
		h.addViolation("call %d routed to forbidden switch %d", id, switchID)
	}
	expiresAt := call.abandonAt
	if timeout > 0 {
		expiresAt = min(expiresAt, h.now+timeout)
	}
	call.openTry = &routeTry{switchID, call.tries, expiresAt}
	call.tries++
	h.sent = append(h.sent, sentTry{switchID, h.now})
}

// finalAnswer records a final answer.
func (h *harness) finalAnswer(id uint32, action string) {
	h.lastAction = action
	call := h.calls[id]
	if call == nil || call.done || call.established {
		h.addViolation("%s for call %d, which is over", action, id)
		return
	}
	if call.openTry != nil {
		h.addViolation("%s for call %d while a route try is out", action, id)
	}
	call.done = true
}

func (h *harness) Block(id uint32, retryAfter Tenths) {
	if retryAfter > h.deployment.MaxRetryAfter {
		h.addViolation("retry-after time of %d", retryAfter)
	}
	h.finalAnswer(id, "block")
}
func (h *harness) Abort(id uint32) { h.finalAnswer(id, "abort") }
func (h *harness) Cancel(id uint32, try int) {
	h.lastAction = fmt.Sprintf("cancel %d", try)
	h.cancellations++
	if call := h.calls[id]; call == nil || try >= call.tries || !h.controller.deployment.CancelsAllowed {
		h.addViolation("cancel of try %d of call %d", try, id)
	}
}
func (h *harness) Subscribe()      { h.subscriptions++ }
func (h *harness) Log(line string) { h.logLines = append(h.logLines, line) }
func (h *harness) SetTimer(at Tenths, token uint64) {
	h.timers = append(h.timers, timer{at, token})
}

// offer offers a call to the controller and returns the last action that it took.
func (h *harness) offer(request Call) string {
	h.calls[request.ID] = &testCall{request: request, abandonAt: h.now + request.TTL}
	h.order = append(h.order, request.ID)
	h.lastAction = "nothing"
	h.controller.Offer(h.now, request)
	return h.lastAction
}

// end reports the outcome of the open route try or of the established call and returns the last action.
func (h *harness) end(id uint32, outcome Outcome, reason Reason) string {
	call := h.calls[id]
	try := call.openTry
	call.openTry = nil
	if outcome == TimedOut || outcome == Disconnected || outcome == Cancelled {
		call.retryAt = h.now + h.deployment.ReleaseTime
	}
	if call.established {
		call.done = true
	}
	h.lastAction = "nothing"
	h.controller.TryEnded(h.now, id, try.number, try.switchID, outcome, call.done, reason, 0,
		LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1})
	return h.lastAction
}

// answerTry reports that the open route try is answered.
func (h *harness) answerTry(id uint32) {
	call := h.calls[id]
	call.established = true
	h.controller.Answered(h.now, id, call.openTry.number)
}

// list delivers a list of switches and records which of them drain or are gone.
func (h *harness) list(whole bool, switches ...Switch) {
	if whole {
		for id := range h.exchangeOf {
			if _, unavailable := h.unavailable[id]; !unavailable {
				h.unavailable[id] = h.now
			}
		}
	}
	for _, s := range switches {
		h.exchangeOf[s.ID] = s.Number
		if _, unavailable := h.unavailable[s.ID]; s.Ready {
			delete(h.unavailable, s.ID)
		} else if !unavailable {
			h.unavailable[s.ID] = h.now
		}
	}
	h.controller.ListReceived(h.now, whole, switches)
}

// reportGroup reports the circuits towards a switch.
func (h *harness) reportGroup(switchID uint32, free, size int) {
	h.controller.LoadReported(h.now, switchID, LoadReport{Free: free, Size: size, Wait: -1, HoldBack: -1})
}

// advance advances the time. Route tries and timers expire, and callers whose time to live is over must have been
// answered.
func (h *harness) advance(by Tenths) {
	for end := h.now + by; h.now < end; {
		h.now = min(end, h.now+50)
		for _, id := range h.order {
			call := h.calls[id]
			if call.openTry != nil && !call.established && h.now >= call.openTry.expiresAt {
				h.end(id, TimedOut, NoReason)
			}
			if !call.done && !call.established && h.now > call.abandonAt+200 {
				h.addViolation("call %d got no answer in time", id)
				call.done = true
			}
		}
		pending := h.timers
		h.timers = nil
		var due []uint64 // expired after all are sorted out, since each may set another timer
		for _, timer := range pending {
			if timer.at <= h.now {
				due = append(due, timer.token)
			} else {
				h.timers = append(h.timers, timer)
			}
		}
		for _, token := range due {
			h.controller.TimerExpired(h.now, token)
		}
	}
}

// openCalls returns the calls with an open route try, in the order offered.
func (h *harness) openCalls() []uint32 {
	var ids []uint32
	for _, id := range h.order {
		if h.calls[id].openTry != nil {
			ids = append(ids, id)
		}
	}
	return ids
}
