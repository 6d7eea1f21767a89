// Package policy decides every call of one exchange: admit, route, try again, turn away.
//
// A caller makes a Controller with New and tells it what happens: Offer for a new call, Stands and Ended
// for its route tries, CallerLeft, Circuits, Listed, ListLost, Woken. Each may act at once through the
// Exchange it was given. The interface, both what is told and what can be done, is in exchange.go. The
// module knows no wire and no clock: every entry point is handed the present time. docs/design.md names
// each departure from the design page.
package policy

import (
	"math"
	"slices"
	"sort"
)

const (
	reserveStart = 2 // circuits kept for the protected bearer types, the paper's best setting
	transitExtra = 2 // and so many more must stay free behind a call over a tandem
	markShare    = 4 // the two together should close one part in so many of a group to transit

	answerHalf = Tenths(15000) // half-life of what answers tell: a few answers of one far end
	reportHalf = Tenths(60000) // half-life of a reported wait, a few report periods
	offerHalf  = Tenths(80000) // half-life of traffic counts, longer than any burst between two calls
	emptyPrior = 0.3           // answers' weight against which fading evidence loses its say
	spread     = 0.7           // deviations above the mean: the upper quartile of answer times

	ageWeight = 1.5  // an unanswered try is so much worse than its age, as it is not done yet
	eachAdds  = 0.15 // of the tightest GoS target: what each further late try at the same switch adds

	overdue = 2.0 // times its far end's usual answer time: a try so old that was overtaken is taken as lost
	lossy   = 0.5 // tries overtaken lately at one switch: from here on messages are taken to get lost

	shedFrom = 0.2 // of the GoS target: an expected answer this late starts shedding
	shedAll  = 1.4 // and this late stops all; a steeper slope swings between jam and idleness

	shedShared = 1.0 // lateness that far ends share stops all here already: many answers tell of it

	resends = 2.5 // intervals that a set-up may wait: resent after one, and again after three

	backRest = Tenths(120000) // a tandem that turned a call back is not asked again for that destination, where
	// the longest mean holding time of the bearer types is not told: by then circuits have come free

	drawWorth = 0.3 // share of the tandems drawn that must serve their call for every draw to be worth its work

	newer = 0.7 // what earlier answers still weigh after each later one

	heardOf    = 0.2 // weight of answers from which a far end counts as heard of lately
	commonFrom = 3   // far ends heard of, for what they share to mean something

	manyCuts = 20 // cut within a second or two: a line for staff

	cutAdds = 0.01 // of the tightest GoS target: the work that each standing call cut lately leaves behind

	comeBackLater = 3 // times the expected answer time: the line ahead and the redials that come first

	trickleEvery = Tenths(7000) // a shed far end is asked this often, to learn of its recovery

	noteEvery = Tenths(300000) // the same line for staff at most so often

	beatEvery = Tenths(1000) // short against any GoS target, long against the wire's interval

	followFirst = Tenths(2500) // first wait before the list is asked for anew; it doubles

	coldDepth    = 0.5     // share of the fall window whose budget may be spent at once
	coldFloor    = 6.0     // set-ups a second from all controllers to a cold switch of unknown traffic
	carriedLeast = 1.0 / 3 // or this share of what a group's circuits can carry, if less
)

// callState names where a call is in its life; become is the one place that changes it.
type callState uint8

const (
	offered  callState = iota // taken, nothing sent
	trying                    // one route try out
	resting                   // waiting out the release time
	standing                  // the call stands
	over                      // final answer given, or the caller has left
)

type call struct {
	ask       Call
	state     callState
	firstAt   Tenths // when the caller first asked, as far as known
	gosAt     Tenths // worth trying until then
	late      bool   // a redial that can earn the late share alone
	again     bool   // it was turned away, or cut, before
	abandonAt Tenths
	tries     int
	far       int // index of the switch of the present try
	tandem    bool
	drawn     bool // its tandem was drawn, not remembered
	noDirect  bool // the direct route could not take it
	lost      bool // a later try to the same switch was answered first
	sentAt    Tenths
	readyAt   Tenths // no send before: the release time of the last try
}

// bearerRow is what the module reads of a bearer type.
type bearerRow struct {
	protected bool
	gosTarget Tenths
	rank      [2]int // place in the order of revenue, for a first call and for a redial
	pools     []int
}

// pending is a route try sent and perhaps not answered yet.
type pending struct {
	id     uint32
	sentAt Tenths
}

// farEnd is one switch and the group of circuits towards it.
type farEnd struct {
	id         uint32
	number     int
	ready      bool
	bootAt     Tenths
	free, size int
	answers    decaying // answer times of route tries
	losses     decaying // tries overtaken by later ones
	wait       Tenths   // last wait reported or hinted
	holdBack   float64
	reportedAt Tenths
	sends      decaying
	sentAt     Tenths  // last send
	budget     float64 // first calls a cold switch may still be sent
	chance     float64 // and calls that come again, mostly a part of one
	budgetAt   Tenths
	waiting    []pending
	backAt     map[int]Tenths // destination: when this switch last turned back a call for it
}

// Controller decides for one exchange.
type Controller struct {
	d        Deployment
	out      Exchange
	rows     []bearerRow
	chance   uint64
	began    Tenths
	far      []farEnd
	byID     map[uint32]int
	serving  map[int]int       // number of an exchange or pool: index of the switch that serves it now
	tandems  map[int]int       // destination: index of the tandem remembered
	asked    map[int]*decaying // first calls by destination
	ranks    []decaying        // offered calls by place in the order of revenue
	calls    map[uint32]*call
	turned   map[uint64]Tenths // number called: when a caller turned away first asked for it
	longest  []Tenths          // the longest time a caller gave a try, by bearer type
	forget   []uint64          // the same numbers, oldest first
	patience Tenths            // the longest that a caller keeps trying
	tightest Tenths            // the least GoS target
	rest     Tenths            // of a tandem that turned a call back
	followIn Tenths
	cuts     decaying
	draws    decaying // tandems drawn lately, and how many of them served their call
	commonAt Tenths
	commonIs Tenths
	beatDue  Tenths // when the next beat must come
	stalled  Tenths // end of the last stall of this controller
	stallFor Tenths
	noted    map[string]Tenths // lines for staff: when each was last written
}

const (
	followToken = math.MaxUint64 // wakes that no call asked for
	beatToken   = math.MaxUint64 - 1
)

// New returns a controller at the moment its process starts.
func New(d Deployment, out Exchange, now Tenths) *Controller {
	c := &Controller{d: d, out: out, chance: d.Seed%0xfffffffe + 1, began: now, byID: map[uint32]int{},
		serving: map[int]int{}, tandems: map[int]int{}, asked: map[int]*decaying{},
		calls: map[uint32]*call{}, turned: map[uint64]Tenths{}, noted: map[string]Tenths{}}
	c.rankBearers()
	if d.ListAsked {
		c.out.Follow()
	}
	c.beat(now)
	return c
}

// rankBearers orders bearer types and their redials by what a call still earns, and protects the dearest
// types. A redial mostly comes after the GoS target of its first try, so it is worth the late share.
func (c *Controller) rankBearers() {
	var values []float64
	dearest := 0.0
	for _, b := range c.d.Bearers {
		values = append(values, b.Revenue, b.Revenue*b.LateShare)
		dearest = max(dearest, b.Revenue)
		c.patience, c.rest = max(c.patience, b.Abandon), max(c.rest, b.Holding)
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

// Offer takes a call; it reports false for a bearer type that the deployment does not have.
func (c *Controller) Offer(now Tenths, ask Call) bool {
	if ask.Bearer < 0 || ask.Bearer >= len(c.rows) {
		return false
	}
	c.notice(now)
	waited := Tenths(0) // calls that came during a stall are handed over when it ends; the time they lack tells
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

// recognise finds out whether a call is a redial that comes too late for the GoS target of its caller's
// first try. Where callers do not mark their redials, or the mark does not say when the first try was, the
// number called tells: asked for again soon after it was turned away here. It guards against redials
// crowding out first calls; it could do harm where many callers ask for one number, of whom all but the
// first would wait behind first calls.
func (c *Controller) recognise(now Tenths, k *call) {
	k.again = k.ask.Redial || k.ask.Cut
	if k.ask.Transit || k.ask.Cut {
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

// place is the ordinary path of a call: direct, else over one tandem, else turned away.
func (c *Controller) place(now Tenths, k *call) {
	dest, known := c.serving[k.ask.Dest]
	if !known { // with pools, one of second choice may still serve it
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
		spare := c.far[dest].free - k.ask.Width // circuits left on the direct group
		direct := spare >= c.far[dest].reserve() || spare >= 0 && c.rows[k.ask.Bearer].protected
		if k.ask.Transit || k.late {
			direct = c.far[dest].aboveMark(k.ask.Width) >= 0
		}
		if direct && c.send(now, k, dest, c.patienceWith(now, k, dest)) {
			return
		}
	}
	if k.ask.Transit { // to its destination or back
		c.giveUp(now, k, false)
		return
	}
	if !k.late && now < k.gosAt {
		t, ok := c.tandems[k.ask.Dest]
		k.drawn = false
		if !ok || !c.tandemFits(now, k, t, dest) {
			if k.drawn = c.draw()*drawWorth < c.served(now); k.drawn {
				t, ok = c.drawTandem(now, k, dest)
			} else if t, ok = c.serving[k.ask.Advice]; ok {
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

// reserve is what a group keeps for the protected bearer types: 2 circuits where the transit mark then closes
// no more than a quarter of the group, else 1. In a large network most groups are so thin that the mark would
// close half of them and leave no tandem; it could do harm where the protected type alone fills thin groups.
func (f *farEnd) reserve() int {
	return min(reserveStart, max(1, f.size/markShare-transitExtra))
}

// aboveMark is how many circuits above the transit mark a call over a tandem finds, negative when none. The
// mark is on the circuits free before the call; where the full reserve is kept, so many must stay free behind
// a wide call, since a few of them would fill the group for all others. In thin groups that would bar them.
func (f *farEnd) aboveMark(width int) int {
	if f.reserve() < reserveStart && f.free >= width {
		width = 1
	}
	return f.free - width - f.reserve() - transitExtra
}

// patienceWith is the time-out of a try: up to the GoS target, or, over a tandem or where messages were
// lost lately and answers else come well within that, short enough to leave room for the release time and
// one more try.
func (c *Controller) patienceWith(now Tenths, k *call, to int) Tenths {
	f, left := &c.far[to], k.gosAt-now
	again := (left - c.d.ReleaseTime) / 2
	risky := f.number != k.ask.Dest || f.losses.read(now, offerHalf) > lossy
	if risky && k.tries == 0 && again > 2*c.expects(now, f) {
		return again
	}
	return left
}

// tandemFits tells whether a switch may serve as tandem: behind the transit mark, warm and not pressed.
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

// drawTandem picks one of the fitting tandems at random, each with a chance by the square of the circuits it
// has free above the mark: a tandem well linked to here is mostly well linked to the destination too, and of
// many thin groups most draws would be turned back.
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

// served is the share of the tandems drawn lately that served their call, taken as worthwhile before any
// evidence. It guards against draws that are mostly turned back, each of them work for two processors, as in
// large networks of thin groups or where circuits were lost: then fewer are drawn, and the centre's advised
// tandem, if any, takes their place. Right after circuits come back draws are rare for some seconds.
func (c *Controller) served(now Tenths) float64 {
	n := c.draws.read(now, offerHalf)
	share := (c.draws.x + drawWorth) / (n + 1)
	if share < drawWorth/8 {
		c.note(now, "drawn tandems are mostly turned back")
	}
	return share
}

// worthTheWork sheds the calls of least revenue first when the processors on the way answer late: what is
// let through is the dearest part of the traffic, as large as the processors can still serve in time.
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

// trickles lets a call of the dearest kind through to a shed far end that owes no answer and was not asked
// for a while, so that a recovery is learnt of even where shedding stops all else.
func (c *Controller) trickles(now Tenths, k *call, f *farEnd) bool {
	return c.rank(k) == 0 && len(f.waiting) == 0 && now-f.sentAt > trickleEvery
}

// held is the share of new set-ups that should not go to a far end now. Where most far ends look late the
// slope is steeper: a line that all share settles where arrivals equal what is served, and on the gentle one
// that is so near the GoS target that most tries through it are lost.
func (c *Controller) held(now Tenths, f *farEnd, k *call) float64 {
	scale := float64(c.rows[k.ask.Bearer].gosTarget)
	if c.d.Resend > 0 { // waiting longer makes repeats, which are work again
		scale = min(scale, resends*float64(c.d.Resend))
	}
	late := (float64(c.expects(now, f))/scale - shedFrom) / (shedAll - shedFrom)
	shared := (float64(c.common(now))/scale - shedFrom) / (shedShared - shedFrom)
	asked := f.holdBack * fade(now-f.reportedAt, reportHalf)
	return min(1, max(0, late, shared, asked))
}

// common is what every far end is expected to be, at the least: the median of those heard of lately. Where
// most look late together, the own processor or all of them are pressed, and a far end that was not asked
// of late will be no better. It guards against slowdowns of everything, which one or two answers a second a
// pair tell too late; it could do harm where most far ends are slow and the own exchange calls the others.
// Standing calls cut lately count as well: their releases and returns fill the processors before any answer
// tells. Where releases go ahead of set-ups that sheds for a moment without need.
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
				c.note(now, "most far ends answer late")
			}
		}
	}
	return max(c.commonIs, Tenths(c.cuts.read(now, answerHalf)*cutAdds*float64(c.tightest)))
}

// expects is the answer time to reckon with: a high quantile of late answers, the wait last reported, or
// what the tries still unanswered tell by their age and number, whichever is worst. A hung switch answers
// nothing and a slow one answers seconds late; at one or two calls a second the unanswered tries are the
// first sign of either. Only tries far older than usual answers count by their number: where calls follow
// each other faster than answers come, some are always out. It misleads for a moment after a burst.
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

// unanswered is the call of a route try that is out to a switch and not taken as lost, else nil.
func (c *Controller) unanswered(f *farEnd, p pending) *call {
	k := c.calls[p.id]
	if k == nil || k.state != trying || k.sentAt != p.sentAt || &c.far[k.far] != f || k.lost {
		return nil
	}
	return k
}

func (c *Controller) rank(k *call) int {
	if k.late {
		return c.rows[k.ask.Bearer].rank[1]
	}
	return c.rows[k.ask.Bearer].rank[0]
}

// cold tells whether a switch started so lately that it may not have its full strength.
func (c *Controller) cold(now Tenths, f *farEnd) bool {
	return f.bootAt > 0 && now < f.bootAt+c.d.RampTime
}

// coldRoom tells whether one more set-up may go to a cold switch, and spends what it takes. What callers here
// ask of it, or of a warm fellow on average, is this exchange's share of what such a switch can do, with room
// to spare, since half of a processor's work is its own exchange's calls; where little is known yet, part of
// what the group can carry. The fall multiple times that, at the strength reached so far, is what comes in.
// Refused set-ups were counted when sent.
//
// First calls come to many controllers independently of one another, so each may save up one whole set-up and
// the sum scatters about its mean. Calls that come again, and tries after a first one, come to all together,
// since what caused them struck all. There whole set-ups saved up would go in one window, and their number,
// not the share, would be the sum. So the share, far less than one set-up where controllers are many, is only
// the chance to go, and is spent either way.
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
	asked *= math.Ln2 / (1 - fade(max(c.d.FallWindow, now-c.began), offerHalf)) / float64(offerHalf) * 10000
	rate := max(asked, min(carriedLeast*carries, coldFloor/all))
	rate *= c.d.FallMultiple * (c.d.ColdFrom + (1-c.d.ColdFrom)*float64(now-f.bootAt)/float64(c.d.RampTime))
	most, came := rate*coldDepth*float64(c.d.FallWindow)/10000, rate*float64(now-f.budgetAt)/10000
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

// send is the guard that every route try passes; it knows the five rules and tells whether the try went
// out.
func (c *Controller) send(now Tenths, k *call, to int, limit Tenths) bool {
	f := &c.far[to]
	limit = min(limit, k.abandonAt-now)
	switch {
	case k.state != offered && k.state != resting: // answered, or a try is out: rules 1 and 2
		return false
	case !f.ready || f.number == c.d.Own || c.serving[f.number] != to: // told it drains or is gone: rule 3
		return false
	case k.ask.Transit && f.number != k.ask.Dest:
		return false
	case now < k.readyAt: // the release is awaited: rule 5
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

// giveUp gives a call its final answer at once. Where a processor is pressed, the caller is told to come
// back when the line there should have been worked off.
func (c *Controller) giveUp(now Tenths, k *call, pressed bool) {
	c.become(k, over)
	if now >= k.abandonAt {
		c.out.Abort(k.ask.ID)
		return
	}
	comeBack := Tenths(0)
	if dest, ok := c.serving[k.ask.Dest]; ok && pressed {
		comeBack = min(c.d.ComeBackMost, comeBackLater*c.expects(now, &c.far[dest]))
	}
	c.out.Block(k.ask.ID, comeBack)
}

// become is the one place where a call changes its state.
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

// beat asks to be woken at short intervals, so that notice can tell when this controller itself was held
// up.
func (c *Controller) beat(now Tenths) {
	c.beatDue = now + beatEvery
	c.out.Wake(c.beatDue, beatToken)
}

// notice finds a stall of this very controller: the beat is overdue. What was answered meanwhile was not
// late, and must not count against any far end; otherwise the controller would shed for seconds after each
// stall.
func (c *Controller) notice(now Tenths) {
	if now > c.beatDue+beatEvery && c.stalled != now {
		c.stallFor, c.stalled = now-c.beatDue, now
		c.note(now, "this controller stood still")
	}
}

// note writes one of the few lines for staff that docs/oncall.md names, each seldom.
func (c *Controller) note(now Tenths, line string) {
	if at, again := c.noted[line]; !again || now > at+noteEvery {
		c.noted[line] = now
		c.out.Note(line)
	}
}

// Stands tells that a call stands.
func (c *Controller) Stands(now Tenths, id uint32, try int) {
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

// overtaken looks for direct tries sent to the same switch before the one just answered. A processor works
// in one line, so the message or its answer was lost of those that have waited far longer than answers from
// there take: they say nothing of the processor, and are called off where another try can still meet the
// GoS target. It guards against links or switches that drop some messages. Younger ones are left alone: where
// calls follow each other within the jitter of the links, answers overtake each other by themselves.
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

// Ended tells how a route try ended; final is set when the call is over with it.
func (c *Controller) Ended(now Tenths, id uint32, try int, sw uint32, end Ending, final bool,
	why Reason, wait Tenths, rep Report) {
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
	if k.state == standing && end == Cut {
		c.cuts.add(now, answerHalf, 1)
		if c.cuts.n > manyCuts {
			c.note(now, "many standing calls cut")
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
	case TimedOut, Cut, Cancelled:
		k.readyAt = now + c.d.ReleaseTime + 1 // times are cut to whole tenths: one more is the full wait
		if k.tandem {
			delete(c.tandems, k.ask.Dest)
		}
		if k.readyAt >= min(k.abandonAt, k.gosAt) { // no further try can serve this caller in time
			c.giveUp(now, k, false)
			return
		}
		c.become(k, resting)
		c.out.Wake(k.readyAt, uint64(id))
	case Faulted:
		c.giveUp(now, k, false)
	default: // it never ran
		if why == ProcessorFull || why == DestFull {
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

// judge takes what a try without success tells about the processors on its way.
func (c *Controller) judge(now Tenths, k *call, f *farEnd, end Ending, why Reason, wait Tenths) {
	full := max(wait, c.rows[k.ask.Bearer].gosTarget)
	switch {
	case why == ProcessorFull:
		f.wait, f.reportedAt = full, now
	case why == DestFull:
		if d, ok := c.serving[k.ask.Dest]; ok {
			c.far[d].wait, c.far[d].reportedAt = full, now
		}
	case end == Unreached:
		f.answers.add(now, answerHalf, float64(full))
	default:
		c.answered(now, k, now-k.sentAt)
	}
}

// answered takes the time of a try's answer, unless this controller was held up while it was out. Over a
// tandem it covers two legs and two processors, and counts half.
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

// heard takes the report that came with an answer.
func (c *Controller) heard(now Tenths, f *farEnd, rep Report) {
	if rep.Size >= 0 {
		f.free, f.size = max(0, rep.Free), rep.Size
	}
	if rep.Wait >= 0 || rep.HoldBack >= 0 {
		f.wait, f.holdBack, f.reportedAt = max(0, rep.Wait), max(0, rep.HoldBack), now
	}
}

// Circuits tells the free circuits and the size of the group towards a switch.
func (c *Controller) Circuits(now Tenths, sw uint32, rep Report) {
	c.heard(now, &c.far[c.index(sw)], rep)
}

// CallerLeft tells that the caller has given up; nothing more is owed. A try older than usual answers, or
// late enough to shed, that its caller did not wait for counts as late as the GoS target: else the latest
// answers are never counted where callers leave early, the far ends look prompt and jam. A younger one tells
// nothing of the far end: its caller left for no lateness of ours.
func (c *Controller) CallerLeft(now Tenths, id uint32) {
	if k := c.calls[id]; k != nil {
		goal := c.rows[k.ask.Bearer].gosTarget
		usual := min(overdue*c.far[k.far].answers.quantile(now), shedFrom*float64(goal))
		if k.state == trying && !k.lost && float64(now-k.sentAt) > usual {
			c.answered(now, k, goal)
		}
		c.become(k, over)
	}
}

// Woken is called at or after a time asked for.
func (c *Controller) Woken(now Tenths, token uint64) {
	c.notice(now)
	switch token {
	case followToken:
		c.out.Follow()
		return
	case beatToken:
		c.beat(now)
		return
	}
	if k := c.calls[uint32(token)]; k != nil && k.state == resting && now >= k.readyAt {
		c.place(now, k)
	}
}

// ListLost tells that the list could not be had or the subscription broke: ask again, backing off.
func (c *Controller) ListLost(now Tenths) {
	c.followIn = min(max(2*c.followIn, followFirst), max(followFirst, c.d.AskWithin/4))
	c.out.Wake(now+c.followIn+Tenths(c.draw()*float64(c.followIn)), followToken)
}

// Listed takes the list of switches, whole or only what changed.
func (c *Controller) Listed(now Tenths, whole bool, list []Switch) {
	c.followIn = 0
	if whole {
		for i := range c.far {
			c.far[i].ready = false
		}
	}
	for _, s := range list {
		f := &c.far[c.index(s.ID)]
		if s.BootAt != f.bootAt { // another process: what was learned of the old one is void
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

// index maps a switch id to a small index at the door.
func (c *Controller) index(id uint32) int {
	i, ok := c.byID[id]
	if !ok {
		i = len(c.far)
		c.far = append(c.far, farEnd{id: id, number: -1, backAt: map[int]Tenths{}})
		c.byID[id] = i
	}
	return i
}

// draw returns a chance in [0, 1) from a multiply-with-carry generator.
func (c *Controller) draw() float64 {
	c.chance = 4294957665*(c.chance&0xffffffff) + c.chance>>32
	return float64(c.chance&0xffffffff) / (1 << 32)
}

// decaying is a set of sums that fade with a half-life, brought up to date when read.
type decaying struct {
	n, x, xx float64
	at       Tenths
}

func (s *decaying) read(now, half Tenths) float64 {
	if now > s.at {
		s.lessen(fade(now-s.at, half))
		s.at = now
	}
	return s.n
}

func (s *decaying) lessen(by float64) { s.n, s.x, s.xx = s.n*by, s.x*by, s.xx*by }

func (s *decaying) add(now, half Tenths, x float64) {
	s.read(now, half)
	s.n, s.x, s.xx = s.n+1, s.x+x, s.xx+x*x
}

// quantile is the mean and some deviations; evidence that fades loses its say.
func (s *decaying) quantile(now Tenths) float64 {
	n := s.read(now, answerHalf)
	if n <= 0 {
		return 0
	}
	mean := s.x / n
	return (mean + spread*math.Sqrt(max(0, s.xx/n-mean*mean))) * n / (n + emptyPrior)
}

func fade(age, half Tenths) float64 { return math.Exp2(-float64(age) / float64(half)) }
