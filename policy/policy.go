// Package policy makes every decision about the calls of one exchange: admission, routing, further route
// tries and rejection.
//
// The owner creates a Controller with New and reports events to it: Offer for a new call, Answered and TryEnded
// for its route tries, Abandoned, LoadReported, ListReceived, ListLost and TimerExpired. While it handles an
// event, the Controller acts through the Executor that it was given. types.go declares what both sides exchange.
// The package does no input or output and reads no clock: every method takes the current time.
// docs/design.md lists each departure from the design page.
package policy

import (
	"math"
	"slices"
	"sort"
)

// Trunk reservation.
const (
	reserveStart = 2 // circuits of a group reserved for the protected bearer types, the best setting in the paper
	transitExtra = 2 // circuits that must stay free in addition behind a call in transit
	markShare    = 4 // reserve and transit margin together close at most 1 circuit in markShare to transit calls
)

// Measurement of answer times and traffic.
const (
	answerHalf = Tenths(15000) // half-life of answer times: spans a few answers of one remote switch
	reportHalf = Tenths(60000) // half-life of a reported processor wait: spans a few report periods
	offerHalf  = Tenths(80000) // half-life of traffic counts: longer than any burst or gap between two calls
	emptyPrior = 0.3           // sample weight of the prior, an answer time of 0, which prevails as samples decay
	spread     = 0.7           // standard deviations from the mean to the upper quartile of answer times
	newer      = 0.7           // share of their weight that earlier answer times keep after each new one

	heardOf    = 0.2 // minimum sample weight of answer times for a remote switch to count as recently observed
	commonFrom = 3   // minimum number of recently observed remote switches for their median to count
)

// Unanswered and lost route tries.
const (
	ageWeight = 1.5  // answer time to expect of an unanswered try, in multiples of its age, as it is not done yet
	eachAdds  = 0.15 // what each further late try at the same switch adds to it, as a share of the tightest GoS target

	overdue = 2.0 // multiple of the usual answer time from which an overtaken try is taken as lost
	lossy   = 0.5 // weight of recently overtaken tries from which a remote switch is taken to lose messages
)

// Load shedding, by the expected answer time as a share of the GoS target.
const (
	shedFrom   = 0.2 // start of load shedding
	shedAll    = 1.4 // all calls are shed; a steeper slope oscillates between overload and idleness
	shedShared = 1.0 // all calls are shed if most remote switches are this late: many answers show it

	// resends is the wait in resend intervals that sheds all calls. A set-up is sent again after one and after three.
	resends = 2.5

	// cutAdds is the answer time that each recent disconnection of an established call adds by the work that it
	// causes, as a share of the tightest GoS target.
	cutAdds = 0.01

	trickleEvery  = Tenths(7000) // probe interval: how often a shed remote switch gets a call, to detect its recovery
	comeBackLater = 3            // retry-after time in expected answer times: the queue and earlier redials go first
)

// Selection of tandems.
const (
	// backRest is the retry interval after a turn-back, for the same tandem and destination, where the bearer types
	// have no holding times. Else it is the longest mean holding time: by then circuits have become free.
	backRest = Tenths(120000)

	drawWorth = 0.3 // success rate of randomly selected tandems below which not every call selects one
)

// Slow start of a cold switch.
const (
	coldDepth    = 0.5     // share of the overload window whose slow-start budget may be spent at once
	coldFloor    = 6.0     // set-ups per second from all controllers to a cold switch of unknown traffic
	carriedLeast = 1.0 / 3 // upper bound of that rate, as a share of what the circuits of the group can carry
)

// Timers and log lines.
const (
	beatEvery   = Tenths(1000)   // tick interval: short compared to a GoS target, long compared to the input interval
	followFirst = Tenths(2500)   // initial delay before the list is requested again; it doubles
	manyCuts    = 20             // disconnections within one or two seconds above which a line is logged
	noteEvery   = Tenths(300000) // minimum interval between two equal log lines
)

// callState is the state of a call. Only setState changes it.
type callState uint8

const (
	offered  callState = iota // accepted, no route try is out
	trying                    // one route try is out
	resting                   // waits for the release time of the last try
	standing                  // connected
	over                      // finally answered, released or abandoned
)

// call is a call that is not over.
type call struct {
	ask       Call
	state     callState
	firstAt   Tenths // when the caller first dialled, as far as known
	gosAt     Tenths // end of the GoS target: route tries are useful until then
	late      bool   // a redial past its GoS target, which earns only the late share of the revenue
	again     bool   // the caller was rejected or disconnected before
	abandonAt Tenths
	tries     int
	far       int // index of the remote switch of the latest try
	tandem    bool
	drawn     bool // its tandem was selected at random, not remembered
	noDirect  bool // the direct route has failed
	lost      bool // the try is taken as lost: a later one to the same switch was answered first
	sentAt    Tenths
	readyAt   Tenths // no try before: end of the release time of the last one
}

// bearerRow holds the parameters of a bearer type.
type bearerRow struct {
	protected bool
	gosTarget Tenths
	rank      [2]int // position in the order of revenue, of a first call and of a late redial
	pools     []int
}

// pending is a route try that was sent and may still be unanswered.
type pending struct {
	id     uint32
	sentAt Tenths
}

// farEnd is a remote switch and the circuit group towards it.
type farEnd struct {
	id         uint32
	number     int
	ready      bool
	bootAt     Tenths
	free, size int
	answers    decaying // answer times of its route tries
	losses     decaying // tries overtaken by later ones, taken as lost
	wait       Tenths   // processor wait that it last reported or implied
	holdBack   float64
	reportedAt Tenths
	sends      decaying
	sentAt     Tenths  // last route try
	budget     float64 // slow-start budget for first calls, while it is cold
	chance     float64 // slow-start budget for repeated calls, mostly less than one
	budgetAt   Tenths
	waiting    []pending
	backAt     map[int]Tenths // time of the last turn-back, by destination
}

// Controller decides about the calls of one exchange.
type Controller struct {
	d        Deployment
	out      Executor
	rows     []bearerRow
	chance   uint64
	began    Tenths
	far      []farEnd
	byID     map[uint32]int
	serving  map[int]int       // index of the switch in service, by exchange or pool
	tandems  map[int]int       // index of the tandem last used, by destination
	asked    map[int]*decaying // rate of first calls, by destination
	ranks    []decaying        // offered calls, by position in the order of revenue
	calls    map[uint32]*call
	turned   map[uint64]Tenths // when a rejected caller first dialled, by number called
	longest  []Tenths          // longest time to live of a call, by bearer type
	forget   []uint64          // keys of rejectedNumbers, oldest first
	patience Tenths            // longest abandon time of the bearer types
	tightest Tenths            // shortest GoS target of the bearer types
	rest     Tenths            // retry interval after a turn-back
	followIn Tenths
	cuts     decaying
	draws    decaying // random selections of a tandem: 1 for success, 0 for a turn-back
	commonAt Tenths
	commonIs Tenths
	beatDue  Tenths // when the next tick is due
	stalled  Tenths // end of the last stall of this controller
	stallFor Tenths
	noted    map[string]Tenths // when each log line was last written
}

const (
	followToken = math.MaxUint64 // timer tokens that belong to no call
	beatToken   = math.MaxUint64 - 1
)

// New returns a controller whose process starts now.
func New(d Deployment, out Executor, now Tenths) *Controller {
	c := &Controller{d: d, out: out, chance: d.Seed%0xfffffffe + 1, began: now, byID: map[uint32]int{},
		serving: map[int]int{}, tandems: map[int]int{}, asked: map[int]*decaying{},
		calls: map[uint32]*call{}, turned: map[uint64]Tenths{}, noted: map[string]Tenths{}}
	c.rankBearers()
	if d.MustSubscribe {
		c.out.Subscribe()
	}
	c.beat(now)
	return c
}

// rankBearers orders first calls and redials of all bearer types by the revenue that a call still earns and
// protects the types of highest revenue. A redial usually comes after the GoS target of its first try, so it
// counts with the late share of the revenue.
func (c *Controller) rankBearers() {
	var values []float64
	dearest := 0.0
	for _, b := range c.d.Bearers {
		values = append(values, b.Revenue, b.Revenue*b.LateShare)
		dearest = max(dearest, b.Revenue)
		c.patience, c.rest = max(c.patience, b.AbandonTime), max(c.rest, b.HoldingTime)
		if c.tightest == 0 || b.GoSTarget < c.tightest {
			c.tightest = b.GoSTarget
		}
	}
	if c.rest == 0 {
		c.rest = backRest
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(values)))
	for _, b := range c.d.Bearers {
		row := bearerRow{protected: b.Revenue == dearest, gosTarget: b.GoSTarget, pools: b.Pools}
		for i, v := range []float64{b.Revenue, b.Revenue * b.LateShare} {
			row.rank[i] = sort.Search(len(values), func(j int) bool { return values[j] <= v })
		}
		c.rows = append(c.rows, row)
	}
	c.ranks, c.longest = make([]decaying, len(values)), make([]Tenths, len(c.rows))
}

// Offer routes or rejects a new call. It returns false if the deployment lacks its bearer type.
func (c *Controller) Offer(now Tenths, ask Call) bool {
	if ask.Bearer < 0 || ask.Bearer >= len(c.rows) {
		return false
	}
	c.notice(now)
	waited := Tenths(0) // calls that arrived during a stall come at its end; the missing time to live is the time waited
	if c.longest[ask.Bearer] = max(c.longest[ask.Bearer], ask.TTL); c.stalled == now && !ask.Transit {
		waited = min(c.stallFor, c.longest[ask.Bearer]-ask.TTL)
	}
	k := &call{ask: ask, firstAt: now - waited, abandonAt: now + ask.TTL}
	k.gosAt = k.firstAt + c.rows[ask.Bearer].gosTarget
	c.calls[ask.ID] = k
	c.recognise(now, k)
	if !ask.Transit {
		c.ranks[c.rank(k)].add(now, offerHalf, 1)
		if c.asked[ask.Dest] == nil {
			c.asked[ask.Dest] = &decaying{}
		}
		if !k.again {
			c.asked[ask.Dest].add(now, offerHalf, 1)
		}
	}
	c.place(now, k)
	return true
}

// recognise determines whether a call is a redial that comes too late for the GoS target of its caller's
// first try. Callers may not mark redials, and the mark does not give the time of the first try, so a call to
// a number that was recently rejected here counts as a redial. This keeps redials from crowding out first
// calls. Its cost: where many callers dial one number, all but the first of them rank behind first calls.
func (c *Controller) recognise(now Tenths, k *call) {
	k.again = k.ask.Redial || k.ask.Disconnected
	if k.ask.Transit || k.ask.Disconnected {
		return
	}
	if k.late = now >= k.gosAt; k.late {
		k.gosAt = now + c.rows[k.ask.Bearer].gosTarget
		return
	}
	for len(c.forget) > 0 && now-c.turned[c.forget[0]] > c.patience {
		delete(c.turned, c.forget[0])
		c.forget = c.forget[1:]
	}
	first, again := c.turned[k.ask.Number]
	if again {
		k.again, k.firstAt = true, first
		goal := first + c.rows[k.ask.Bearer].gosTarget
		if dest, ok := c.serving[k.ask.Dest]; ok && now+c.expects(now, &c.far[dest]) < goal {
			k.gosAt = goal
			return
		}
		k.late = true
		return
	}
	k.late = k.ask.Redial
}

// place routes a call directly, else over one tandem, else rejects it.
func (c *Controller) place(now Tenths, k *call) {
	dest, known := c.serving[k.ask.Dest]
	if !known { // a pool of second choice may still serve it
		dest = -1
	}
	if now >= k.abandonAt || !known && !c.d.Pools {
		c.giveUp(now, k, false)
		return
	}
	if known && !c.worthTheWork(now, k, dest) {
		c.giveUp(now, k, true)
		return
	}
	if known && !k.noDirect {
		spare := c.far[dest].free - k.ask.Width // circuits that would be left in the direct group
		direct := spare >= c.far[dest].reserve() || spare >= 0 && c.rows[k.ask.Bearer].protected
		if k.ask.Transit || k.late {
			direct = c.far[dest].aboveMark(k.ask.Width) >= 0
		}
		if direct && c.send(now, k, dest, c.patienceWith(now, k, dest)) {
			return
		}
	}
	if k.ask.Transit { // it may only go directly to its destination
		c.giveUp(now, k, false)
		return
	}
	if !k.late && now < k.gosAt {
		t, ok := c.tandems[k.ask.Dest]
		k.drawn = false
		if !ok || !c.tandemFits(now, k, t, dest) {
			if k.drawn = c.draw()*drawWorth < c.served(now); k.drawn {
				t, ok = c.drawTandem(now, k, dest)
			} else if t, ok = c.serving[k.ask.AdvisedTandem]; ok {
				ok = c.tandemFits(now, k, t, dest)
			}
		}
		if ok {
			c.tandems[k.ask.Dest] = t
			if c.send(now, k, t, c.patienceWith(now, k, t)) {
				return
			}
		}
	}
	c.giveUp(now, k, false)
}

// reserve is the number of circuits reserved for the protected bearer types: 2 if that closes no more than a
// quarter of the group to transit calls, else 1. Most groups of a large network are so small that a full
// reserve would close half of each group to transit and leave no tandem. Its cost: where the protected types
// alone fill small groups, the reserve is too small.
func (f *farEnd) reserve() int {
	return min(reserveStart, max(1, f.size/markShare-transitExtra))
}

// aboveMark is the number of circuits beyond the reserve and the transit margin that a call over a tandem
// finds; negative means that it may not use the group. In a group with the full reserve, all circuits of a
// wide call count, since a few wide calls would fill the group. In a small group only one counts, or wide
// calls would never get through.
func (f *farEnd) aboveMark(width int) int {
	if f.reserve() < reserveStart && f.free >= width {
		width = 1
	}
	return f.free - width - f.reserve() - transitExtra
}

// patienceWith is the timeout of a route try. It ends with the GoS target. A first try over a tandem, or to a
// switch that recently lost messages, gets a shorter one that leaves time for the release and one more try,
// if answers usually come well within it.
func (c *Controller) patienceWith(now Tenths, k *call, to int) Tenths {
	f, left := &c.far[to], k.gosAt-now
	again := (left - c.d.ReleaseTime) / 2
	risky := f.number != k.ask.Dest || f.losses.read(now, offerHalf) > lossy
	if risky && k.tries == 0 && again > 2*c.expects(now, f) {
		return again
	}
	return left
}

// tandemFits reports whether a switch may serve as tandem: it has circuits for transit, is warm and not overloaded.
func (c *Controller) tandemFits(now Tenths, k *call, t, dest int) bool {
	f := &c.far[t]
	if t == dest || c.serving[f.number] != t || c.cold(now, f) {
		return false
	}
	if f.aboveMark(k.ask.Width) < 0 {
		return false
	}
	if pools := c.rows[k.ask.Bearer].pools; c.d.Pools && len(pools) > 0 && !slices.Contains(pools, f.number) {
		return false
	}
	if back, ok := f.backAt[k.ask.Dest]; ok && now < back+c.rest {
		return false
	}
	return c.held(now, f, k) == 0
}

// drawTandem selects one of the usable tandems at random, weighted by the square of the circuits that are free
// for transit. A tandem with many circuits to here usually has many to the destination too; with uniform
// weights and many small groups most selections would be turned back.
func (c *Controller) drawTandem(now Tenths, k *call, dest int) (int, bool) {
	pick, room := 0, 0
	for t := range c.far {
		if !c.tandemFits(now, k, t, dest) {
			continue
		}
		f := &c.far[t]
		mine := f.aboveMark(k.ask.Width) + 1
		mine *= mine
		if room += mine; c.draw()*float64(room) < float64(mine) {
			pick = t
		}
	}
	return pick, room > 0
}

// served is the recent success rate of randomly selected tandems; without samples it is high enough to select
// every time. Where most selections are turned back, as in large networks of small groups or after a loss of
// circuits, each is wasted work for two processors: then fewer tandems are selected at random, and the
// tandem that a routing centre advises, if any, is used instead. Its cost: after circuits have come back,
// random selection stays rare for some seconds.
func (c *Controller) served(now Tenths) float64 {
	n := c.draws.read(now, offerHalf)
	share := (c.draws.x + drawWorth) / (n + 1)
	if share < drawWorth/8 {
		c.note(now, "randomly selected tandems mostly turn calls back")
	}
	return share
}

// worthTheWork reports whether a call is admitted. When processors on the way answer late, calls of the lowest
// revenue are shed first, so that the admitted part of the traffic is the most valuable one and no larger
// than what the processors can serve in time.
func (c *Controller) worthTheWork(now Tenths, k *call, dest int) bool {
	keep := 1 - c.held(now, &c.far[dest], k)
	if keep >= 1 || c.trickles(now, k, &c.far[dest]) {
		return true
	}
	all, above, own := 0.0, 0.0, 0.0
	for r := range c.ranks {
		n := c.ranks[r].read(now, offerHalf)
		all += n
		if r < c.rank(k) {
			above += n
		} else if r == c.rank(k) {
			own = n
		}
	}
	keep *= all
	return above+own <= keep || own > 0 && c.draw() < (keep-above)/own
}

// trickles reports whether a call goes to a shed remote switch as a probe, so that a recovery is detected even
// where all other calls are shed. A probe is of the highest revenue; the switch must have no unanswered try
// and have had none for the probe interval.
func (c *Controller) trickles(now Tenths, k *call, f *farEnd) bool {
	return c.rank(k) == 0 && len(f.waiting) == 0 && now-f.sentAt > trickleEvery
}

// held is the share of new set-ups to a remote switch that is to be shed now. The slope is steeper if most
// remote switches are late: a queue that all share settles where arrivals equal the service rate, and on the
// gentle slope that is so near the GoS target that most tries through the queue are lost.
func (c *Controller) held(now Tenths, f *farEnd, k *call) float64 {
	scale := float64(c.rows[k.ask.Bearer].gosTarget)
	if c.d.ResendInterval > 0 { // a longer wait causes resends, which are further work
		scale = min(scale, resends*float64(c.d.ResendInterval))
	}
	late := (float64(c.expects(now, f))/scale - shedFrom) / (shedAll - shedFrom)
	shared := (float64(c.common(now))/scale - shedFrom) / (shedShared - shedFrom)
	asked := f.holdBack * fade(now-f.reportedAt, reportHalf)
	return min(1, max(0, late, shared, asked))
}

// common is the least answer time to expect of any remote switch: the median of those observed recently. If
// most are late together, the own processor or all of theirs are overloaded, and a switch that was not used
// recently will be no faster. It detects a general slowdown, for which the one or two answers per second and
// pair of switches come too late. Its cost: where most remote switches are slow, calls to the others are shed
// too.
//
// Recent disconnections of established calls count as well, since their releases and redials load the
// processors before any answer shows it. Where processors handle releases ahead of set-ups, that sheds calls
// for a moment without need.
func (c *Controller) common(now Tenths) Tenths {
	if c.commonAt != now {
		c.commonAt, c.commonIs = now, 0
		var seen []Tenths
		for i := range c.far {
			if f := &c.far[i]; f.ready && (f.answers.read(now, answerHalf) > heardOf || len(f.waiting) > 0) {
				seen = append(seen, c.expects(now, f))
			}
		}
		if len(seen) >= commonFrom {
			slices.Sort(seen)
			if c.commonIs = seen[len(seen)/2]; c.commonIs > c.tightest/2 {
				c.note(now, "most remote switches answer late")
			}
		}
	}
	return max(c.commonIs, Tenths(c.cuts.read(now, answerHalf)*cutAdds*float64(c.tightest)))
}

// expects is the expected answer time of a remote switch, the largest of three estimates: the upper quartile of
// recent answer times, the processor wait last reported, and one from the age and number of unanswered tries.
// A hung switch does not answer and a slow one answers seconds late; at one or two calls per second the
// unanswered tries are the first sign of either. Only tries much older than the usual answer time count by
// number, since at high rates some tries are always out. The estimate is too high for a moment after a burst.
func (c *Controller) expects(now Tenths, f *farEnd) Tenths {
	usual := f.answers.quantile(now)
	worst := max(usual, float64(f.wait)*fade(now-f.reportedAt, reportHalf))
	open, late := f.waiting[:0], 0
	for _, p := range f.waiting {
		if c.unanswered(f, p) != nil {
			open = append(open, p)
			if float64(now-max(c.stalled, p.sentAt)) > overdue*usual {
				late++
			}
		}
	}
	if f.waiting = open; len(open) > 0 {
		age, more := now-max(c.stalled, open[0].sentAt), float64(max(0, late-1))
		worst = max(worst, ageWeight*float64(age)+more*eachAdds*float64(c.tightest))
	}
	return Tenths(worst)
}

// unanswered returns the call of a route try that is still out to a switch and not taken as lost, else nil.
func (c *Controller) unanswered(f *farEnd, p pending) *call {
	k := c.calls[p.id]
	if k == nil || k.state != trying || k.sentAt != p.sentAt || &c.far[k.far] != f || k.lost {
		return nil
	}
	return k
}

// rank is the position of a call in the order of revenue.
func (c *Controller) rank(k *call) int {
	if k.late {
		return c.rows[k.ask.Bearer].rank[1]
	}
	return c.rows[k.ask.Bearer].rank[0]
}

// cold reports whether a switch started so recently that it may not have its full capacity yet.
func (c *Controller) cold(now Tenths, f *farEnd) bool {
	return f.bootAt > 0 && now < f.bootAt+c.d.RampTime
}

// coldRoom reports whether one more set-up may go to a cold switch and takes it from the slow-start budget.
//
// The budget grows at a rate that starts from this exchange's traffic: the larger of the first calls offered
// for that switch and the mean sent to a warm switch. That is this exchange's share of the capacity of a
// switch, with a margin, since half of a processor's work is for calls of its own exchange. While little
// traffic is known, part of what the circuit group can carry is the lower bound. The rate is this traffic
// times the overload multiple, times the capacity that the switch has reached. Set-ups that are rejected
// count as well, since sends are counted.
//
// First calls reach the controllers independently of one another, so each controller may save up one whole
// set-up, and the sum varies about its mean. Repeated calls and further tries reach all controllers at the
// same time, since they have a common cause. If each controller had saved up a whole set-up for these, all
// would be sent within one window, and their sum would be the number of controllers instead of the budget.
// So their budget, far less than one set-up where controllers are many, is the probability that the set-up
// is sent, and it is spent either way.
func (c *Controller) coldRoom(now Tenths, f *farEnd, k *call) bool {
	if !c.cold(now, f) {
		return true
	}
	total, fellows := 0.0, 0
	for i := range c.far {
		if g := &c.far[i]; g.ready && !c.cold(now, g) {
			total += g.sends.read(now, offerHalf)
			fellows++
		}
	}
	all, carries := float64(max(1, c.d.Controllers)), float64(f.size)*10000/float64(c.rest)
	if c.d.Pools { // all controllers share the group
		carries /= all
	}
	asked := total / float64(max(1, fellows))
	if a := c.asked[f.number]; a != nil {
		asked = max(asked, a.read(now, offerHalf))
	}
	asked *= math.Ln2 / (1 - fade(max(c.d.OverloadWindow, now-c.began), offerHalf)) / float64(offerHalf) * 10000
	rate := max(asked, min(carriedLeast*carries, coldFloor/all))
	rate *= c.d.OverloadMultiple * (c.d.InitialCapacity + (1-c.d.InitialCapacity)*float64(now-f.bootAt)/float64(c.d.RampTime))
	most, came := rate*coldDepth*float64(c.d.OverloadWindow)/10000, rate*float64(now-f.budgetAt)/10000
	f.budgetAt = now
	f.budget = min(max(1, most), f.budget+came)
	f.chance = min(most, f.chance+came)
	if k.again || k.tries > 0 || k.ask.Transit {
		spend := min(1, f.chance)
		f.chance -= spend
		return spend == 1 || c.draw() < spend
	}
	if f.budget < 1 {
		return false
	}
	f.budget--
	return true
}

// send sends a route try unless one of the five rules forbids it, and reports whether it did. Every route try
// passes through it.
func (c *Controller) send(now Tenths, k *call, to int, limit Tenths) bool {
	f := &c.far[to]
	limit = min(limit, k.abandonAt-now)
	switch {
	case k.state != offered && k.state != resting: // rules 1 and 2: it is answered or a try is out
		return false
	case !f.ready || f.number == c.d.OwnExchange || c.serving[f.number] != to: // rule 3: the list says that it drains or is gone
		return false
	case k.ask.Transit && f.number != k.ask.Dest:
		return false
	case now < k.readyAt: // rule 5: the release time of the last try has not passed
		return false
	case limit <= 0 || k.tries >= c.d.MaxTries || f.free < k.ask.Width:
		return false
	case !c.coldRoom(now, f, k): // rule 4
		return false
	}
	f.sends.add(now, offerHalf, 1)
	f.free -= k.ask.Width
	f.sentAt = now
	f.waiting = append(f.waiting, pending{k.ask.ID, now})
	k.far, k.sentAt, k.tandem = to, now, f.number != k.ask.Dest
	k.tries++
	k.lost = false
	c.become(k, trying)
	c.out.Send(k.ask.ID, f.id, limit)
	return true
}

// giveUp gives a call its final answer. If a processor is overloaded, the answer tells the caller to try again
// when the queue there should have been worked off.
func (c *Controller) giveUp(now Tenths, k *call, pressed bool) {
	c.become(k, over)
	if now >= k.abandonAt {
		c.out.Abort(k.ask.ID)
		return
	}
	comeBack := Tenths(0)
	if dest, ok := c.serving[k.ask.Dest]; ok && pressed {
		comeBack = min(c.d.MaxRetryAfter, comeBackLater*c.expects(now, &c.far[dest]))
	}
	c.out.Block(k.ask.ID, comeBack)
}

// become sets the state of a call. Nothing else does.
func (c *Controller) become(k *call, s callState) {
	if s == over {
		delete(c.calls, k.ask.ID)
		if k.state != standing && !k.ask.Transit && k.ask.Number != 0 {
			c.turned[k.ask.Number] = k.firstAt
			c.forget = append(c.forget, k.ask.Number)
		}
	}
	k.state = s
}

// beat schedules the next tick, by which detectStall notices that this controller itself has stalled.
func (c *Controller) beat(now Tenths) {
	c.beatDue = now + beatEvery
	c.out.SetTimer(c.beatDue, beatToken)
}

// notice detects a stall of this controller: the tick is overdue. Answers that came meanwhile were not late and
// must not count against any remote switch; otherwise the controller would shed calls for seconds after each
// stall.
func (c *Controller) notice(now Tenths) {
	if now > c.beatDue+beatEvery && c.stalled != now {
		c.stallFor, c.stalled = now-c.beatDue, now
		c.note(now, "this call controller stalled")
	}
}

// note writes one of the log lines that docs/oncall.md lists, each at most once per minimum interval.
func (c *Controller) note(now Tenths, line string) {
	if at, again := c.noted[line]; !again || now > at+noteEvery {
		c.noted[line] = now
		c.out.Log(line)
	}
}

// Answered reports that a route try was answered and the call is established.
func (c *Controller) Answered(now Tenths, id uint32, try int) {
	c.notice(now)
	k := c.calls[id]
	if k == nil || k.state != trying || try != k.tries-1 {
		return
	}
	c.answered(now, k, now-k.sentAt)
	if k.tandem && k.drawn {
		c.draws.add(now, offerHalf, 1)
	}
	c.become(k, standing)
	c.overtaken(now, k)
}

// overtaken detects lost messages on links or at switches that drop some: it looks for direct tries sent to the
// same switch before the one just answered. A processor serves one queue in order, so a try that has waited
// much longer than the usual answer time has lost its set-up or its answer. Such a try does not count against
// the processor, and it is cancelled if another try can still meet the GoS target. Younger tries are left
// alone, since answers within the jitter of the links may overtake each other.
func (c *Controller) overtaken(now Tenths, k *call) {
	if k.tandem {
		return
	}
	usual := overdue * c.far[k.far].answers.quantile(now)
	for _, p := range c.far[k.far].waiting {
		o := c.unanswered(&c.far[k.far], p)
		if o == nil || o.tandem || o.sentAt >= k.sentAt || float64(now-o.sentAt) <= usual {
			continue
		}
		o.lost = true
		c.far[k.far].losses.add(now, offerHalf, 1)
		if c.d.CancelsAllowed && now+c.d.ReleaseTime < o.gosAt {
			c.out.Cancel(o.ask.ID, o.tries-1)
		}
	}
}

// TryEnded reports the outcome of a route try, with its reason, the wait that the switch hinted at and its load
// report. final means that the call is over as well.
func (c *Controller) TryEnded(now Tenths, id uint32, try int, sw uint32, end Outcome, final bool,
	why Reason, wait Tenths, rep LoadReport) {
	c.notice(now)
	i, ok := c.byID[sw]
	if !ok {
		return
	}
	f := &c.far[i]
	c.heard(now, f, rep)
	k := c.calls[id]
	if k == nil || try != k.tries-1 {
		return
	}
	if k.state == trying && !k.lost && end != Unsent && end != Released {
		c.judge(now, k, f, end, why, wait)
	}
	if k.state == standing && end == Disconnected {
		c.cuts.add(now, answerHalf, 1)
		if c.cuts.n > manyCuts {
			c.note(now, "many established calls disconnected")
		}
	}
	if final || k.state == standing {
		c.become(k, over)
		return
	}
	if k.state != trying {
		return
	}
	c.become(k, offered)
	switch end {
	case TimedOut, Disconnected, Cancelled:
		k.readyAt = now + c.d.ReleaseTime + 1 // times are rounded down to whole tenths: one more makes the full wait
		if k.tandem {
			delete(c.tandems, k.ask.Dest)
		}
		if k.readyAt >= min(k.abandonAt, k.gosAt) { // no further try can meet the GoS target
			c.giveUp(now, k, false)
			return
		}
		c.become(k, resting)
		c.out.SetTimer(k.readyAt, uint64(id))
	case Faulted:
		c.giveUp(now, k, false)
	default: // it was blocked, or never reached the switch
		if why == ProcessorOverloaded || why == DestOverloaded {
			c.giveUp(now, k, true)
			return
		}
		if k.tandem {
			delete(c.tandems, k.ask.Dest)
			f.backAt[k.ask.Dest] = now
			if k.drawn {
				c.draws.add(now, offerHalf, 0)
			}
		} else {
			k.noDirect = true
		}
		c.place(now, k)
	}
}

// judge records what a failed try shows about the load of the processors on its way.
func (c *Controller) judge(now Tenths, k *call, f *farEnd, end Outcome, why Reason, wait Tenths) {
	full := max(wait, c.rows[k.ask.Bearer].gosTarget)
	switch {
	case why == ProcessorOverloaded:
		f.wait, f.reportedAt = full, now
	case why == DestOverloaded:
		if d, ok := c.serving[k.ask.Dest]; ok {
			c.far[d].wait, c.far[d].reportedAt = full, now
		}
	case end == Unreachable:
		f.answers.add(now, answerHalf, float64(full))
	default:
		c.answered(now, k, now-k.sentAt)
	}
}

// answered records the answer time of a try, unless this controller stalled while it was out. Over a tandem it
// covers two legs and two processors, so half of it counts.
func (c *Controller) answered(now Tenths, k *call, took Tenths) {
	if k.sentAt >= c.stalled {
		if k.tandem {
			took /= 2
		}
		a := &c.far[k.far].answers
		a.lessen(newer)
		a.add(now, answerHalf, float64(took))
	}
}

// heard records a load report.
func (c *Controller) heard(now Tenths, f *farEnd, rep LoadReport) {
	if rep.Size >= 0 {
		f.free, f.size = max(0, rep.Free), rep.Size
	}
	if rep.Wait >= 0 || rep.HoldBack >= 0 {
		f.wait, f.holdBack, f.reportedAt = max(0, rep.Wait), max(0, rep.HoldBack), now
	}
}

// LoadReported reports the free circuits and the size of the group towards a switch.
func (c *Controller) LoadReported(now Tenths, sw uint32, rep LoadReport) {
	c.heard(now, &c.far[c.index(sw)], rep)
}

// Abandoned reports that the caller has abandoned the call, which needs no answer any more. A try that is older
// than the usual answer time, or late enough for shedding, then counts as answered after the GoS target.
// Otherwise the latest answers would never count where callers abandon early, and the remote switches would
// look fast and be overloaded. A younger try shows nothing: its caller left for another reason.
func (c *Controller) Abandoned(now Tenths, id uint32) {
	if k := c.calls[id]; k != nil {
		goal := c.rows[k.ask.Bearer].gosTarget
		usual := min(overdue*c.far[k.far].answers.quantile(now), shedFrom*float64(goal))
		if k.state == trying && !k.lost && float64(now-k.sentAt) > usual {
			c.answered(now, k, goal)
		}
		c.become(k, over)
	}
}

// TimerExpired reports that a timer that was set with Executor.SetTimer has expired.
func (c *Controller) TimerExpired(now Tenths, token uint64) {
	c.notice(now)
	switch token {
	case followToken:
		c.out.Subscribe()
		return
	case beatToken:
		c.beat(now)
		return
	}
	if k := c.calls[uint32(token)]; k != nil && k.state == resting && now >= k.readyAt {
		c.place(now, k)
	}
}

// ListLost reports that the list of switches could not be fetched or that its subscription broke. It is requested
// again after an exponential delay with jitter.
func (c *Controller) ListLost(now Tenths) {
	c.followIn = min(max(2*c.followIn, followFirst), max(followFirst, c.d.MaxSubscribeInterval/4))
	c.out.SetTimer(now+c.followIn+Tenths(c.draw()*float64(c.followIn)), followToken)
}

// ListReceived reports the list of switches: all of them if whole is set, else those that changed.
func (c *Controller) ListReceived(now Tenths, whole bool, list []Switch) {
	c.followIn = 0
	if whole {
		for i := range c.far {
			c.far[i].ready = false
		}
	}
	for _, s := range list {
		f := &c.far[c.index(s.ID)]
		if s.BootAt != f.bootAt { // a new process: what was measured of the old one is void
			f.answers, f.wait, f.holdBack, f.budget, f.chance, f.budgetAt = decaying{}, 0, 0, 1, 0, now
		}
		f.number, f.bootAt, f.ready = s.Number, s.BootAt, s.Ready
	}
	clear(c.serving)
	for i := range c.far {
		f := &c.far[i]
		if old, taken := c.serving[f.number]; f.ready && (!taken || c.far[old].bootAt <= f.bootAt) {
			c.serving[f.number] = i
		}
	}
}

// index returns the index of a remote switch in remotes and adds the switch if it is unknown.
func (c *Controller) index(id uint32) int {
	i, ok := c.byID[id]
	if !ok {
		i = len(c.far)
		c.far = append(c.far, farEnd{id: id, number: -1, backAt: map[int]Tenths{}})
		c.byID[id] = i
	}
	return i
}

// draw returns a random number in [0, 1) from a multiply-with-carry generator.
func (c *Controller) draw() float64 {
	c.chance = 4294957665*(c.chance&0xffffffff) + c.chance>>32
	return float64(c.chance&0xffffffff) / (1 << 32)
}

// decaying holds the weight, sum and sum of squares of samples that decay exponentially.
type decaying struct {
	n, x, xx float64
	at       Tenths
}

// read decays the sums to the given time and returns the weight of the samples.
func (s *decaying) read(now, half Tenths) float64 {
	if now > s.at {
		s.lessen(fade(now-s.at, half))
		s.at = now
	}
	return s.n
}

// lessen multiplies the weight of all samples.
func (s *decaying) lessen(by float64) { s.n, s.x, s.xx = s.n*by, s.x*by, s.xx*by }

// add decays the sums to the given time and adds a sample of weight 1.
func (s *decaying) add(now, half Tenths, x float64) {
	s.read(now, half)
	s.n, s.x, s.xx = s.n+1, s.x+x, s.xx+x*x
}

// quantile estimates the upper quartile from mean and standard deviation. As the samples decay, it tends to the
// prior, zero.
func (s *decaying) quantile(now Tenths) float64 {
	n := s.read(now, answerHalf)
	if n <= 0 {
		return 0
	}
	mean := s.x / n
	return (mean + spread*math.Sqrt(max(0, s.xx/n-mean*mean))) * n / (n + emptyPrior)
}

// fade is the factor by which a weight decays within the given age.
func fade(age, half Tenths) float64 { return math.Exp2(-float64(age) / float64(half)) }
