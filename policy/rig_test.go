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

// try is an open route try, as the harness sees it.
type try struct {
	to    uint32
	no    int
	until Tenths
}

// held is a call as the harness sees it.
type held struct {
	ask       Call
	leaves    Tenths
	out       *try
	tries     int
	releaseAt Tenths
	stands    bool
	done      bool
	told      bool // its end was reported to the controller or decided by it
}

// wake is a timer that the controller has set.
type wake struct {
	at    Tenths
	token uint64
}

// rig is a simulated exchange: it carries out what the controller decides and records every violated rule.
type rig struct {
	d       Deployment
	c       *Controller
	now     Tenths
	calls   map[uint32]*held
	order   []uint32
	off     map[uint32]Tenths // when a switch was first listed as draining or gone
	named   map[uint32]int    // numbers of all switches ever listed
	wakes   []wake
	sent    []pending // every route try: switch and time
	last    string
	follows int
	cancels int
	notes   []string
	broken  []string
}

func newRig(d Deployment) *rig {
	r := &rig{d: d, now: 1_000_000, calls: map[uint32]*held{}, off: map[uint32]Tenths{}, named: map[uint32]int{}}
	r.c = New(d, r, r.now)
	return r
}

// fault records a violated rule.
func (r *rig) fault(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *rig) Send(id, to uint32, limit Tenths) {
	h := r.calls[id]
	r.last = fmt.Sprintf("send %d", to)
	switch {
	case h == nil || h.done:
		r.fault("route try for call %d, which is over", id)
		return
	case h.out != nil || h.stands:
		r.fault("second route try for call %d", id)
	case r.now < h.releaseAt:
		r.fault("route try for call %d before its release", id)
	case h.tries >= r.d.MaxTries:
		r.fault("too many route tries for call %d", id)
	}
	if at, off := r.off[to]; off && r.now > at+r.d.DrainGrace {
		r.fault("route try to switch %d, which drains or is gone", to)
	}
	if n, ok := r.named[to]; !ok || n == r.d.OwnExchange || h.ask.Transit && n != h.ask.Dest {
		r.fault("call %d routed to forbidden switch %d", id, to)
	}
	until := h.leaves
	if limit > 0 {
		until = min(until, r.now+limit)
	}
	h.out = &try{to, h.tries, until}
	h.tries++
	r.sent = append(r.sent, pending{to, r.now})
}

// answer records a final answer.
func (r *rig) answer(id uint32, kind string) {
	r.last = kind
	h := r.calls[id]
	if h == nil || h.done || h.stands {
		r.fault("%s for call %d, which is over", kind, id)
		return
	}
	if h.out != nil {
		r.fault("%s for call %d while a route try is out", kind, id)
	}
	h.done = true
}

func (r *rig) Block(id uint32, comeBack Tenths) {
	if comeBack > r.d.MaxRetryAfter {
		r.fault("retry-after time of %d", comeBack)
	}
	r.answer(id, "block")
}
func (r *rig) Abort(id uint32) { r.answer(id, "abort") }
func (r *rig) Cancel(id uint32, no int) {
	r.last = fmt.Sprintf("cancel %d", no)
	r.cancels++
	if h := r.calls[id]; h == nil || no >= h.tries || !r.c.d.CancelsAllowed {
		r.fault("cancel of try %d of call %d", no, id)
	}
}
func (r *rig) Subscribe()      { r.follows++ }
func (r *rig) Log(line string) { r.notes = append(r.notes, line) }
func (r *rig) SetTimer(at Tenths, token uint64) {
	r.wakes = append(r.wakes, wake{at, token})
}

// offer offers a call to the controller and returns the last action that it took.
func (r *rig) offer(ask Call) string {
	r.calls[ask.ID] = &held{ask: ask, leaves: r.now + ask.TTL}
	r.order = append(r.order, ask.ID)
	r.last = "nothing"
	r.c.Offer(r.now, ask)
	return r.last
}

// end reports the outcome of the open route try or of the established call and returns the last action.
func (r *rig) end(id uint32, e Outcome, why Reason) string {
	h := r.calls[id]
	t := h.out
	h.out = nil
	if e == TimedOut || e == Disconnected || e == Cancelled {
		h.releaseAt = r.now + r.d.ReleaseTime
	}
	if h.stands {
		h.done = true
	}
	r.last = "nothing"
	r.c.TryEnded(r.now, id, t.no, t.to, e, h.done, why, 0, LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1})
	return r.last
}

// stand reports that the open route try is answered.
func (r *rig) stand(id uint32) {
	h := r.calls[id]
	h.stands = true
	r.c.Answered(r.now, id, h.out.no)
}

// list delivers a list of switches and records which of them drain or are gone.
func (r *rig) list(whole bool, sw ...Switch) {
	if whole {
		for id := range r.named {
			if _, off := r.off[id]; !off {
				r.off[id] = r.now
			}
		}
	}
	for _, s := range sw {
		r.named[s.ID] = s.Number
		if _, off := r.off[s.ID]; s.Ready {
			delete(r.off, s.ID)
		} else if !off {
			r.off[s.ID] = r.now
		}
	}
	r.c.ListReceived(r.now, whole, sw)
}

// group reports the circuits towards a switch.
func (r *rig) group(sw uint32, free, size int) {
	r.c.LoadReported(r.now, sw, LoadReport{Free: free, Size: size, Wait: -1, HoldBack: -1})
}

// pass advances the time. Route tries and timers expire, and callers whose time to live is over must have been
// answered.
func (r *rig) pass(by Tenths) {
	for end := r.now + by; r.now < end; {
		r.now = min(end, r.now+50)
		for _, id := range r.order {
			h := r.calls[id]
			if h.out != nil && !h.stands && r.now >= h.out.until {
				r.end(id, TimedOut, NoReason)
			}
			if !h.done && !h.stands && r.now > h.leaves+200 {
				r.fault("call %d got no answer in time", id)
				h.done = true
			}
		}
		asked := r.wakes
		r.wakes = nil
		var due []uint64 // expired after all are sorted out, since each may set another timer
		for _, w := range asked {
			if w.at <= r.now {
				due = append(due, w.token)
			} else {
				r.wakes = append(r.wakes, w)
			}
		}
		for _, token := range due {
			r.c.TimerExpired(r.now, token)
		}
	}
}

// open returns the calls with an open route try, in the order offered.
func (r *rig) open() []uint32 {
	var ids []uint32
	for _, id := range r.order {
		if r.calls[id].out != nil {
			ids = append(ids, id)
		}
	}
	return ids
}
