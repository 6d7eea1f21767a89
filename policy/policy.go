// Package policy makes every decision about the calls of one exchange: admission, routing, further route tries and
// rejection.
//
// The owner creates a Controller with New and reports events to it: Offer for a new call, Answered and TryEnded for
// its route tries, Abandoned, LoadReported, ListReceived, ListLost and TimerExpired. While it handles an event, the
// Controller acts through the Executor that it was given. types.go declares what both sides exchange. The package
// does no input or output and reads no clock: every method takes the current time. docs/design.md lists each
// departure from the design page.
package policy

import (
	"math"
	"slices"
	"sort"
)

// Trunk reservation.
const (
	fullReserve        = 2 // circuits of a group for the protected bearer types, the best setting in the paper
	transitMargin      = 2 // circuits that must stay free in addition behind a call in transit
	closedShareDivisor = 4 // the two together close at most a quarter of a group to transit calls
)

// Measurement of answer times and traffic.
const (
	answerHalfLife  = Tenths(15000) // of answer times: spans a few answers of one remote switch
	reportHalfLife  = Tenths(60000) // of a reported processor wait: spans a few report periods
	trafficHalfLife = Tenths(80000) // of traffic counts: longer than any burst or gap between two calls

	priorWeight             = 0.3 // sample weight of the prior, an answer time of 0, which prevails as samples decay
	upperQuartileDeviations = 0.7 // standard deviations from the mean to the upper quartile of answer times
	olderAnswersFactor      = 0.7 // share of its weight that an answer time keeps after each later one

	minSampleWeight   = 0.2 // of answer times, for a remote switch to count as recently observed
	minCommonSwitches = 3   // recently observed remote switches needed for their median to count
)

// Unanswered and lost route tries.
const (
	unansweredAgeFactor = 1.5  // expected answer time of an unanswered try by its age: it is not done yet
	delayPerLateTry     = 0.15 // added by each further late try at the switch, as a share of the tightest GoS target

	overdueFactor = 2.0 // multiple of the usual answer time from which an overtaken try is taken as lost
	lossThreshold = 0.5 // weight of recently overtaken tries from which a remote switch is taken to lose messages
)

// Load shedding, by the expected answer time as a share of the GoS target.
const (
	sheddingStart      = 0.2 // start of load shedding
	sheddingFull       = 1.4 // all calls are shed; a steeper slope oscillates between overload and idleness
	commonSheddingFull = 1.0 // all calls are shed if most remote switches are this late: many answers show it

	// maxResendIntervals is the longest useful wait of a set-up, which is sent again after one interval and after three.
	maxResendIntervals = 2.5

	// delayPerDisconnect is the answer time that each recent disconnection of an established call adds, by the work
	// that it causes, as a share of the tightest GoS target.
	delayPerDisconnect = 0.01

	probeInterval    = Tenths(7000) // a shed remote switch gets a call this often, to detect its recovery
	retryAfterFactor = 3            // retry-after time by the expected answer time: the queue and earlier redials go first
)

// Selection of tandems.
const (
	// defaultTurnBackRetryInterval applies if the bearer types have no holding times. Else the interval is the longest
	// mean holding time: by then circuits have become free.
	defaultTurnBackRetryInterval = Tenths(120000)

	minSelectionSuccessRate = 0.3 // of randomly selected tandems; below it not every call selects one
)

// Slow start of a cold switch.
const (
	slowStartBurstShare       = 0.5     // share of the overload window whose slow-start budget may be spent at once
	minSlowStartRate          = 6.0     // set-ups per second from all controllers while the traffic is unknown
	minSlowStartCapacityShare = 1.0 / 3 // bounds that rate by the calls that the circuits of the group can carry
)

// Timers and log lines.
const (
	tickInterval          = Tenths(1000)   // short compared to any GoS target, long compared to the input interval
	initialSubscribeDelay = Tenths(2500)   // before the list of switches is requested again; it doubles
	manyDisconnects       = 20             // within one or two seconds, above which a line is logged
	logInterval           = Tenths(300000) // minimum time between two equal log lines
)

// callState is the state of a call. Only setState changes it.
type callState uint8

const (
	offered         callState = iota // accepted, no route try is out
	trying                           // one route try is out
	awaitingRelease                  // waits for the release time of the last try
	established                      // connected
	ended                            // finally answered, released or abandoned
)

// activeCall is a call that has not ended.
type activeCall struct {
	request        Call
	state          callState
	firstDialledAt Tenths // when the caller first dialled, as far as known
	gosDeadline    Tenths // end of the GoS target: route tries are useful until then
	lateRedial     bool   // a redial past its GoS target, which earns only the late share of the revenue
	repeated       bool   // the caller was rejected or disconnected before
	abandonAt      Tenths
	tries          int
	remote         int // index of the remote switch of the latest try
	viaTandem      bool
	randomTandem   bool // its tandem was selected at random, not remembered
	directFailed   bool // the direct route has failed
	lost           bool // the try is taken as lost: a later one to the same switch was answered first
	sentAt         Tenths
	retryAt        Tenths // no try before: end of the release time of the last one
}

// bearerParams holds the parameters of a bearer type.
type bearerParams struct {
	protected bool
	gosTarget Tenths
	rank      [2]int // position in the order of revenue, of a first call and of a late redial
	pools     []int
}

// sentTry is a route try that was sent and may still be unanswered.
type sentTry struct {
	id     uint32
	sentAt Tenths
}

// remoteSwitch is a remote switch and the circuit group towards it.
type remoteSwitch struct {
	id                 uint32
	number             int // of the exchange or pool that it serves
	ready              bool
	bootAt             Tenths
	free, size         int
	answerTimes        decayingStats // answer times of its route tries
	losses             decayingStats // tries overtaken by later ones, taken as lost
	reportedWait       Tenths        // processor wait that it last reported or implied
	admissionHoldBack  float64
	reportedAt         Tenths
	sends              decayingStats
	sentAt             Tenths  // last route try
	firstCallBudget    float64 // slow-start budget for first calls, while it is cold
	repeatedCallBudget float64 // slow-start budget for repeated calls, mostly less than one
	budgetUpdatedAt    Tenths
	openTries          []sentTry
	turnedBackAt       map[int]Tenths // time of the last turn-back, by destination
}

// Controller decides about the calls of one exchange.
type Controller struct {
	deployment            Deployment
	executor              Executor
	bearers               []bearerParams
	randomState           uint64
	startTime             Tenths
	remotes               []remoteSwitch
	byID                  map[uint32]int
	serving               map[int]int            // index of the switch in service, by exchange or pool
	lastTandem            map[int]int            // index of the tandem last used, by destination
	traffic               map[int]*decayingStats // first calls offered, by destination
	offeredByRank         []decayingStats        // offered calls, by position in the order of revenue
	calls                 map[uint32]*activeCall
	rejected              rejectedNumbers
	maxTTL                []Tenths // longest time to live of a call, by bearer type
	maxAbandonTime        Tenths   // longest abandon time of the bearer types
	minGoSTarget          Tenths   // shortest GoS target of the bearer types
	turnBackRetryInterval Tenths   // retry interval after a turn-back
	subscribeDelay        Tenths
	disconnects           decayingStats
	tandemSelections      decayingStats // random selections of a tandem: 1 for success, 0 for a turn-back
	cachedCommonAt        Tenths
	cachedCommon          Tenths
	nextTickAt            Tenths // when the next tick is due
	stallEndedAt          Tenths // end of the last stall of this controller
	stallDuration         Tenths
	loggedAt              map[string]Tenths // when each log line was last written
}

const (
	subscribeToken = math.MaxUint64 // timer tokens that belong to no call
	tickToken      = math.MaxUint64 - 1
)

// New returns a controller whose process starts now.
func New(deployment Deployment, executor Executor, now Tenths) *Controller {
	c := &Controller{
		deployment:  deployment,
		executor:    executor,
		randomState: deployment.Seed%0xfffffffe + 1,
		startTime:   now,
		byID:        map[uint32]int{},
		serving:     map[int]int{},
		lastTandem:  map[int]int{},
		traffic:     map[int]*decayingStats{},
		calls:       map[uint32]*activeCall{},
		rejected:    newRejectedNumbers(),
		loggedAt:    map[string]Tenths{},
	}
	c.rankBearers()
	if deployment.MustSubscribe {
		c.executor.Subscribe()
	}
	c.scheduleTick(now)
	return c
}

// rankBearers orders first calls and redials of all bearer types by the revenue that a call still earns and
// protects the types of highest revenue. A redial usually comes after the GoS target of its first try, so it counts
// with the late share of the revenue.
func (c *Controller) rankBearers() {
	var revenues []float64
	highest := 0.0
	for _, bearer := range c.deployment.Bearers {
		revenues = append(revenues, bearer.Revenue, bearer.Revenue*bearer.LateShare)
		highest = max(highest, bearer.Revenue)
		c.maxAbandonTime, c.turnBackRetryInterval =
			max(c.maxAbandonTime, bearer.AbandonTime), max(c.turnBackRetryInterval, bearer.HoldingTime)
		if c.minGoSTarget == 0 || bearer.GoSTarget < c.minGoSTarget {
			c.minGoSTarget = bearer.GoSTarget
		}
	}
	if c.turnBackRetryInterval == 0 {
		c.turnBackRetryInterval = defaultTurnBackRetryInterval
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(revenues)))
	for _, bearer := range c.deployment.Bearers {
		params := bearerParams{protected: bearer.Revenue == highest, gosTarget: bearer.GoSTarget, pools: bearer.Pools}
		for i, v := range []float64{bearer.Revenue, bearer.Revenue * bearer.LateShare} {
			params.rank[i] = sort.Search(len(revenues), func(j int) bool { return revenues[j] <= v })
		}
		c.bearers = append(c.bearers, params)
	}
	c.offeredByRank, c.maxTTL = make([]decayingStats, len(revenues)), make([]Tenths, len(c.bearers))
}

// Offer routes or rejects a new call. It returns false if the deployment lacks its bearer type.
func (c *Controller) Offer(now Tenths, request Call) bool {
	if request.Bearer < 0 || request.Bearer >= len(c.bearers) {
		return false
	}
	c.detectStall(now)
	waited := Tenths(0)                                                       // calls that arrived during a stall come at its end; the missing time to live is the time waited
	ttl := min(request.TTL, c.deployment.Bearers[request.Bearer].AbandonTime) // a longer one is no measure of others
	if c.maxTTL[request.Bearer] = max(c.maxTTL[request.Bearer], ttl); c.stallEndedAt == now && !request.Transit {
		waited = min(c.stallDuration, c.maxTTL[request.Bearer]-ttl)
	}
	call := &activeCall{request: request, firstDialledAt: now - waited, abandonAt: now + request.TTL}
	call.gosDeadline = call.firstDialledAt + c.bearers[request.Bearer].gosTarget
	c.calls[request.ID] = call
	c.classifyRedial(now, call)
	if !request.Transit {
		c.offeredByRank[c.rank(call)].add(now, trafficHalfLife, 1)
		if traffic := c.trafficTo(request.Dest); traffic != nil && !call.repeated {
			traffic.add(now, trafficHalfLife, 1)
		}
	}
	c.route(now, call)
	return true
}

// classifyRedial determines whether a call is a redial that comes too late for the GoS target of its caller's first
// try. Callers may not mark redials, and the mark does not give the time of the first try, so a call to a number
// that was recently rejected here counts as a redial. This keeps redials from crowding out first calls. Its cost:
// where many callers dial one number, all but the first of them rank behind first calls.
func (c *Controller) classifyRedial(now Tenths, call *activeCall) {
	call.repeated = call.request.Redial || call.request.Disconnected
	if call.request.Transit || call.request.Disconnected {
		return
	}
	if call.lateRedial = now >= call.gosDeadline; call.lateRedial {
		call.gosDeadline = now + c.bearers[call.request.Bearer].gosTarget
		return
	}
	c.rejected.expire(now, c.maxAbandonTime)
	first, repeated := c.rejected.firstDialledAt[call.request.Number]
	if repeated {
		call.repeated, call.firstDialledAt = true, first
		deadline := first + c.bearers[call.request.Bearer].gosTarget
		if dest, ok := c.serving[call.request.Dest]; ok && now+c.expectedAnswerTime(now, &c.remotes[dest]) < deadline {
			call.gosDeadline = deadline
			return
		}
		call.lateRedial = true
		return
	}
	call.lateRedial = call.request.Redial
}

// route routes a call directly, else over one tandem, else rejects it.
func (c *Controller) route(now Tenths, call *activeCall) {
	dest, known := c.serving[call.request.Dest]
	if !known { // a pool of second choice may still serve it
		dest = -1
	}
	if now >= call.abandonAt || !known && !c.deployment.Pools {
		c.reject(now, call, false)
		return
	}
	if known && !c.admits(now, call, dest) {
		c.reject(now, call, true)
		return
	}
	if known && !call.directFailed {
		spare := c.remotes[dest].free - call.request.Width // circuits that would be left in the direct group
		direct := spare >= c.remotes[dest].reserve() || spare >= 0 && c.bearers[call.request.Bearer].protected
		if call.request.Transit || call.lateRedial {
			direct = c.remotes[dest].transitCircuits(call.request.Width) >= 0
		}
		if direct && c.send(now, call, dest, c.tryTimeout(now, call, dest)) {
			return
		}
	}
	if call.request.Transit { // it may only go directly to its destination
		c.reject(now, call, false)
		return
	}
	if !call.lateRedial && now < call.gosDeadline {
		tandem, ok := c.lastTandem[call.request.Dest]
		call.randomTandem = false
		if !ok || !c.tandemUsable(now, call, tandem, dest) {
			if call.randomTandem = c.random()*minSelectionSuccessRate < c.selectionSuccessRate(now); call.randomTandem {
				tandem, ok = c.selectTandem(now, call, dest)
			} else if tandem, ok = c.serving[call.request.AdvisedTandem]; ok {
				ok = c.tandemUsable(now, call, tandem, dest)
			}
		}
		if ok {
			c.rememberTandem(call.request.Dest, tandem)
			if c.send(now, call, tandem, c.tryTimeout(now, call, tandem)) {
				return
			}
		}
	}
	c.reject(now, call, false)
}

// reserve is the number of circuits reserved for the protected bearer types: 2 if that closes no more than a
// quarter of the group to transit calls, else 1. Most groups of a large network are so small that a full reserve
// would close half of each group to transit and leave no tandem. Its cost: where the protected types alone fill
// small groups, the reserve is too small.
func (r *remoteSwitch) reserve() int {
	return min(fullReserve, max(1, r.size/closedShareDivisor-transitMargin))
}

// transitCircuits is the number of circuits beyond the reserve and the transit margin that a call over a tandem
// finds; negative means that it may not use the group. In a group with the full reserve, all circuits of a wide
// call count, since a few wide calls would fill the group. In a small group only one counts, or wide calls would
// never get through.
func (r *remoteSwitch) transitCircuits(width int) int {
	if r.reserve() < fullReserve && r.free >= width {
		width = 1
	}
	return r.free - width - r.reserve() - transitMargin
}

// tryTimeout is the timeout of a route try. It ends with the GoS target. A first try over a tandem, or to a switch
// that recently lost messages, gets a shorter one that leaves time for the release and one more try, if answers
// usually come well within it.
func (c *Controller) tryTimeout(now Tenths, call *activeCall, index int) Tenths {
	remote, remaining := &c.remotes[index], call.gosDeadline-now
	shortTimeout := (remaining - c.deployment.ReleaseTime) / 2
	risky := remote.number != call.request.Dest || remote.losses.weightAt(now, trafficHalfLife) > lossThreshold
	if risky && call.tries == 0 && shortTimeout > 2*c.expectedAnswerTime(now, remote) {
		return shortTimeout
	}
	return remaining
}

// tandemUsable reports whether a switch may serve as tandem: it has circuits for transit, is warm and not
// overloaded.
func (c *Controller) tandemUsable(now Tenths, call *activeCall, tandem, dest int) bool {
	remote := &c.remotes[tandem]
	if tandem == dest || c.serving[remote.number] != tandem || c.isCold(now, remote) {
		return false
	}
	if remote.transitCircuits(call.request.Width) < 0 {
		return false
	}
	if pools := c.bearers[call.request.Bearer].pools; c.deployment.Pools && len(pools) > 0 &&
		!slices.Contains(pools, remote.number) {
		return false
	}
	if at, ok := remote.turnedBackAt[call.request.Dest]; ok && now < at+c.turnBackRetryInterval {
		return false
	}
	return c.shedShare(now, remote, call) == 0
}

// selectTandem selects one of the usable tandems at random, weighted by the square of the circuits that are free
// for transit. A tandem with many circuits to here usually has many to the destination too; with uniform weights
// and many small groups most selections would be turned back.
func (c *Controller) selectTandem(now Tenths, call *activeCall, dest int) (int, bool) {
	selected, totalWeight := 0, 0
	for tandem := range c.remotes {
		if !c.tandemUsable(now, call, tandem, dest) {
			continue
		}
		remote := &c.remotes[tandem]
		weight := remote.transitCircuits(call.request.Width) + 1
		weight *= weight
		if totalWeight += weight; c.random()*float64(totalWeight) < float64(weight) {
			selected = tandem
		}
	}
	return selected, totalWeight > 0
}

// selectionSuccessRate is the recent success rate of randomly selected tandems; without samples it is high enough
// to select every time. Where most selections are turned back, as in large networks of small groups or after a loss
// of circuits, each is wasted work for two processors: then fewer tandems are selected at random, and the tandem
// that a routing centre advises, if any, is used instead. Its cost: after circuits have come back, random selection
// stays rare for some seconds.
func (c *Controller) selectionSuccessRate(now Tenths) float64 {
	n := c.tandemSelections.weightAt(now, trafficHalfLife)
	share := (c.tandemSelections.sum + minSelectionSuccessRate) / (n + 1)
	if share < minSelectionSuccessRate/8 {
		c.logRateLimited(now, "randomly selected tandems mostly turn calls back")
	}
	return share
}

// admits reports whether a call is admitted. When processors on the way answer late, calls of the lowest revenue
// are shed first, so that the admitted part of the traffic is the most valuable one and no larger than what the
// processors can serve in time.
func (c *Controller) admits(now Tenths, call *activeCall, dest int) bool {
	admitted := 1 - c.shedShare(now, &c.remotes[dest], call)
	if admitted >= 1 || c.isProbe(now, call, &c.remotes[dest]) {
		return true
	}
	total, higher, same := 0.0, 0.0, 0.0
	for position := range c.offeredByRank {
		n := c.offeredByRank[position].weightAt(now, trafficHalfLife)
		total += n
		if position < c.rank(call) {
			higher += n
		} else if position == c.rank(call) {
			same = n
		}
	}
	admitted *= total
	return higher+same <= admitted || same > 0 && c.random() < (admitted-higher)/same
}

// isProbe reports whether a call goes to a shed remote switch as a probe, so that a recovery is detected even where
// all other calls are shed. A probe is a call of the highest revenue, to a switch that has no unanswered try and
// got none within the probe interval.
func (c *Controller) isProbe(now Tenths, call *activeCall, remote *remoteSwitch) bool {
	return c.rank(call) == 0 && len(remote.openTries) == 0 && now-remote.sentAt > probeInterval
}

// shedShare is the share of new set-ups to a remote switch that is to be shed now. The slope is steeper if most
// remote switches are late: a queue that all share settles where arrivals equal the service rate, and on the gentle
// slope that is so near the GoS target that most tries through the queue are lost.
func (c *Controller) shedShare(now Tenths, remote *remoteSwitch, call *activeCall) float64 {
	scale := float64(c.bearers[call.request.Bearer].gosTarget)
	if c.deployment.ResendInterval > 0 { // a longer wait causes resends, which are further work
		scale = min(scale, maxResendIntervals*float64(c.deployment.ResendInterval))
	}
	late := (float64(c.expectedAnswerTime(now, remote))/scale - sheddingStart) / (sheddingFull - sheddingStart)
	common := (float64(c.commonAnswerTime(now))/scale - sheddingStart) / (commonSheddingFull - sheddingStart)
	requested := remote.admissionHoldBack * decayFactor(now-remote.reportedAt, reportHalfLife)
	return min(1, max(0, late, common, requested))
}

// commonAnswerTime is the least answer time to expect of any remote switch: the median of those observed recently.
// If most are late together, the own processor or all of theirs are overloaded, and a switch that was not used
// recently will be no faster. It detects a general slowdown, for which the one or two answers per second and pair
// of switches come too late. Its cost: where most remote switches are slow, calls to the others are shed too.
//
// Recent disconnections of established calls count as well, since their releases and redials load the processors
// before any answer shows it. Where processors handle releases ahead of set-ups, that sheds calls for a moment
// without need.
func (c *Controller) commonAnswerTime(now Tenths) Tenths {
	if c.cachedCommonAt != now {
		c.cachedCommonAt, c.cachedCommon = now, 0
		var expected []Tenths
		for i := range c.remotes {
			if remote := &c.remotes[i]; remote.ready &&
				(remote.answerTimes.weightAt(now, answerHalfLife) > minSampleWeight || len(remote.openTries) > 0) {
				expected = append(expected, c.expectedAnswerTime(now, remote))
			}
		}
		if len(expected) >= minCommonSwitches {
			slices.Sort(expected)
			if c.cachedCommon = expected[len(expected)/2]; c.cachedCommon > c.minGoSTarget/2 {
				c.logRateLimited(now, "most remote switches answer late")
			}
		}
	}
	return max(c.cachedCommon, Tenths(c.disconnects.weightAt(now, answerHalfLife)*delayPerDisconnect*float64(c.minGoSTarget)))
}

// expectedAnswerTime is the expected answer time of a remote switch, the largest of three estimates: the upper
// quartile of recent answer times, the processor wait last reported, and one from the age and number of unanswered
// tries. A hung switch does not answer and a slow one answers seconds late; at one or two calls per second the
// unanswered tries are the first sign of either. Only tries much older than the usual answer time count by number,
// since at high rates some tries are always out. The estimate is too high for a moment after a burst.
func (c *Controller) expectedAnswerTime(now Tenths, remote *remoteSwitch) Tenths {
	usual := remote.answerTimes.upperQuartile(now)
	worst := max(usual, float64(remote.reportedWait)*decayFactor(now-remote.reportedAt, reportHalfLife))
	open, overdueTries := remote.openTries[:0], 0
	for _, try := range remote.openTries {
		if c.openCall(remote, try) != nil {
			open = append(open, try)
			if float64(now-max(c.stallEndedAt, try.sentAt)) > overdueFactor*usual {
				overdueTries++
			}
		}
	}
	if remote.openTries = open; len(open) > 0 {
		age, furtherTries := now-max(c.stallEndedAt, open[0].sentAt), float64(max(0, overdueTries-1))
		worst = max(worst, unansweredAgeFactor*float64(age)+furtherTries*delayPerLateTry*float64(c.minGoSTarget))
	}
	return Tenths(worst)
}

// openCall returns the call of a route try that is still out to a switch and not taken as lost, else nil.
func (c *Controller) openCall(remote *remoteSwitch, try sentTry) *activeCall {
	call := c.calls[try.id]
	if call == nil || call.state != trying || call.sentAt != try.sentAt || &c.remotes[call.remote] != remote || call.lost {
		return nil
	}
	return call
}

// rank is the position of a call in the order of revenue.
func (c *Controller) rank(call *activeCall) int {
	if call.lateRedial {
		return c.bearers[call.request.Bearer].rank[1]
	}
	return c.bearers[call.request.Bearer].rank[0]
}

// isCold reports whether a switch started so recently that it may not have its full capacity yet.
func (c *Controller) isCold(now Tenths, remote *remoteSwitch) bool {
	return remote.bootAt > 0 && now < remote.bootAt+c.deployment.RampTime
}

// takeSlowStartBudget reports whether one more set-up may go to a cold switch and takes it from the slow-start
// budget.
//
// The budget grows at a rate that starts from this exchange's traffic: the larger of the first calls offered for
// that switch and the mean sent to a warm switch. That is this exchange's share of the capacity of a switch, with a
// margin, since half of a processor's work is for calls of its own exchange. While little traffic is known, part of
// what the circuit group can carry is the lower bound. The rate is this traffic times the overload multiple, times
// the capacity that the switch has reached. Set-ups that are rejected count as well, since sends are counted.
//
// First calls reach the controllers independently of one another, so each controller may save up one whole set-up,
// and the sum varies about its mean. Repeated calls and further tries reach all controllers at the same time, since
// they have a common cause. If each controller had saved up a whole set-up for these, all would be sent within one
// window, and their sum would be the number of controllers instead of the budget. So their budget, far less than
// one set-up where controllers are many, is the probability that the set-up is sent, and it is spent either way.
func (c *Controller) takeSlowStartBudget(now Tenths, remote *remoteSwitch, call *activeCall) bool {
	if !c.isCold(now, remote) {
		return true
	}
	total, warm := 0.0, 0
	for i := range c.remotes {
		if other := &c.remotes[i]; other.ready && !c.isCold(now, other) {
			total += other.sends.weightAt(now, trafficHalfLife)
			warm++
		}
	}
	controllers, capacity :=
		float64(max(1, c.deployment.Controllers)), float64(remote.size)*10000/float64(c.turnBackRetryInterval)
	if c.deployment.Pools { // all controllers share the group
		capacity /= controllers
	}
	traffic := total / float64(max(1, warm))
	if firstCalls := c.traffic[remote.number]; firstCalls != nil {
		traffic = max(traffic, firstCalls.weightAt(now, trafficHalfLife))
	}
	traffic *= math.Ln2 / (1 - decayFactor(max(c.deployment.OverloadWindow, now-c.startTime), trafficHalfLife)) /
		float64(trafficHalfLife) * 10000
	rate := max(traffic, min(minSlowStartCapacityShare*capacity, minSlowStartRate/controllers))
	rate *= c.deployment.OverloadMultiple * (c.deployment.InitialCapacity +
		(1-c.deployment.InitialCapacity)*float64(now-remote.bootAt)/float64(c.deployment.RampTime))
	maxBudget, earned :=
		rate*slowStartBurstShare*float64(c.deployment.OverloadWindow)/10000, rate*float64(now-remote.budgetUpdatedAt)/10000
	remote.budgetUpdatedAt = now
	remote.firstCallBudget = min(max(1, maxBudget), remote.firstCallBudget+earned)
	remote.repeatedCallBudget = min(maxBudget, remote.repeatedCallBudget+earned)
	if call.repeated || call.tries > 0 || call.request.Transit {
		spent := min(1, remote.repeatedCallBudget)
		remote.repeatedCallBudget -= spent
		return spent == 1 || c.random() < spent
	}
	if remote.firstCallBudget < 1 {
		return false
	}
	remote.firstCallBudget--
	return true
}

// send sends a route try unless one of the five rules forbids it, and reports whether it did. Every route try
// passes through it.
func (c *Controller) send(now Tenths, call *activeCall, index int, timeout Tenths) bool {
	remote := &c.remotes[index]
	timeout = min(timeout, call.abandonAt-now)
	switch {
	case call.state != offered && call.state != awaitingRelease: // rules 1 and 2: it is answered or a try is out
		return false
	case !remote.ready || remote.number == c.deployment.OwnExchange ||
		c.serving[remote.number] != index: // rule 3: the list says that it drains or is gone
		return false
	case call.request.Transit && remote.number != call.request.Dest:
		return false
	case now < call.retryAt: // rule 5: the release time of the last try has not passed
		return false
	case timeout <= 0 || call.tries >= c.deployment.MaxTries || remote.free < call.request.Width:
		return false
	case !c.takeSlowStartBudget(now, remote, call): // rule 4
		return false
	}
	remote.sends.add(now, trafficHalfLife, 1)
	remote.free -= call.request.Width
	remote.sentAt = now
	remote.openTries = append(remote.openTries, sentTry{call.request.ID, now})
	call.remote, call.sentAt, call.viaTandem = index, now, remote.number != call.request.Dest
	call.tries++
	call.lost = false
	c.setState(call, trying)
	c.executor.Send(call.request.ID, remote.id, timeout)
	return true
}

// reject gives a call its final answer. If a processor is overloaded, the answer tells the caller to try again when
// the queue there should have been worked off.
func (c *Controller) reject(now Tenths, call *activeCall, overloaded bool) {
	c.setState(call, ended)
	if now >= call.abandonAt {
		c.executor.Abort(call.request.ID)
		return
	}
	retryAfter := Tenths(0)
	if dest, ok := c.serving[call.request.Dest]; ok && overloaded {
		retryAfter = min(c.deployment.MaxRetryAfter, retryAfterFactor*c.expectedAnswerTime(now, &c.remotes[dest]))
	}
	c.executor.Block(call.request.ID, retryAfter)
}

// setState sets the state of a call. Nothing else does.
func (c *Controller) setState(call *activeCall, next callState) {
	if next == ended {
		delete(c.calls, call.request.ID)
		if call.state != established && !call.request.Transit && call.request.Number != 0 {
			c.rejected.add(call.request.Number, call.firstDialledAt)
		}
	}
	call.state = next
}

// scheduleTick schedules the next tick, by which detectStall notices that this controller itself has stalled.
func (c *Controller) scheduleTick(now Tenths) {
	c.nextTickAt = now + tickInterval
	c.executor.SetTimer(c.nextTickAt, tickToken)
}

// detectStall detects a stall of this controller: the tick is overdue. Answers that came meanwhile were not late
// and must not count against any remote switch; otherwise the controller would shed calls for seconds after each
// stall.
func (c *Controller) detectStall(now Tenths) {
	if now > c.nextTickAt+tickInterval && c.stallEndedAt != now {
		c.stallDuration, c.stallEndedAt = now-c.nextTickAt, now
		c.logRateLimited(now, "this call controller stalled")
	}
}

// logRateLimited writes one of the log lines that docs/oncall.md lists, each at most once per minimum interval.
func (c *Controller) logRateLimited(now Tenths, line string) {
	if at, logged := c.loggedAt[line]; !logged || now > at+logInterval {
		c.loggedAt[line] = now
		c.executor.Log(line)
	}
}

// Answered reports that a route try was answered and the call is established.
func (c *Controller) Answered(now Tenths, callID uint32, try int) {
	c.detectStall(now)
	call := c.calls[callID]
	if call == nil || call.state != trying || try != call.tries-1 {
		return
	}
	c.recordAnswer(now, call, now-call.sentAt)
	if call.viaTandem && call.randomTandem {
		c.tandemSelections.add(now, trafficHalfLife, 1)
	}
	c.setState(call, established)
	c.detectLostTries(now, call)
}

// detectLostTries detects lost messages on links or at switches that drop some: it looks for direct tries sent to
// the same switch before the one just answered. A processor serves one queue in order, so a try that has waited
// much longer than the usual answer time has lost its set-up or its answer. Such a try does not count against the
// processor, and it is cancelled if another try can still meet the GoS target. Younger tries are left alone, since
// answers within the jitter of the links may overtake each other.
func (c *Controller) detectLostTries(now Tenths, call *activeCall) {
	if call.viaTandem {
		return
	}
	usual := overdueFactor * c.remotes[call.remote].answerTimes.upperQuartile(now)
	for _, try := range c.remotes[call.remote].openTries {
		other := c.openCall(&c.remotes[call.remote], try)
		if other == nil || other.viaTandem || other.sentAt >= call.sentAt || float64(now-other.sentAt) <= usual {
			continue
		}
		other.lost = true
		c.remotes[call.remote].losses.add(now, trafficHalfLife, 1)
		if c.deployment.CancelsAllowed && now+c.deployment.ReleaseTime < other.gosDeadline {
			c.executor.Cancel(other.request.ID, other.tries-1)
		}
	}
}

// TryEnded reports the outcome of a route try, with its reason, the wait that the switch hinted at and its load
// report. final means that the call is over as well.
func (c *Controller) TryEnded(now Tenths, callID uint32, try int, switchID uint32, outcome Outcome, final bool,
	reason Reason, reportedWait Tenths, report LoadReport) {
	c.detectStall(now)
	i, ok := c.byID[switchID]
	if !ok {
		return
	}
	remote := &c.remotes[i]
	c.recordReport(now, remote, report)
	call := c.calls[callID]
	if call == nil || try != call.tries-1 {
		return
	}
	if call.state == trying && !call.lost && outcome != Unsent && outcome != Released {
		c.recordFailure(now, call, remote, outcome, reason, reportedWait)
	}
	if call.state == established && outcome == Disconnected {
		c.disconnects.add(now, answerHalfLife, 1)
		if c.disconnects.weight > manyDisconnects {
			c.logRateLimited(now, "many established calls disconnected")
		}
	}
	if final || call.state == established {
		c.setState(call, ended)
		return
	}
	if call.state != trying {
		return
	}
	c.setState(call, offered)
	switch outcome {
	case TimedOut, Disconnected, Cancelled:
		call.retryAt = now + c.deployment.ReleaseTime + 1 // times are rounded down to whole tenths: one more makes the full wait
		if call.viaTandem {
			delete(c.lastTandem, call.request.Dest)
		}
		if call.retryAt >= min(call.abandonAt, call.gosDeadline) { // no further try can meet the GoS target
			c.reject(now, call, false)
			return
		}
		c.setState(call, awaitingRelease)
		c.executor.SetTimer(call.retryAt, uint64(callID))
	case Faulted:
		c.reject(now, call, false)
	default: // it was blocked, or never reached the switch
		if reason == ProcessorOverloaded || reason == DestOverloaded {
			c.reject(now, call, true)
			return
		}
		if call.viaTandem {
			delete(c.lastTandem, call.request.Dest)
			c.recordTurnBack(now, remote, call.request.Dest)
			if call.randomTandem {
				c.tandemSelections.add(now, trafficHalfLife, 0)
			}
		} else {
			call.directFailed = true
		}
		c.route(now, call)
	}
}

// recordFailure records what a failed try shows about the load of the processors on its way.
func (c *Controller) recordFailure(now Tenths, call *activeCall, remote *remoteSwitch, outcome Outcome, reason Reason,
	reportedWait Tenths) {
	overloadWait := max(reportedWait, c.bearers[call.request.Bearer].gosTarget)
	switch {
	case reason == ProcessorOverloaded:
		remote.reportedWait, remote.reportedAt = overloadWait, now
	case reason == DestOverloaded:
		if dest, ok := c.serving[call.request.Dest]; ok {
			c.remotes[dest].reportedWait, c.remotes[dest].reportedAt = overloadWait, now
		}
	case outcome == Unreachable:
		remote.answerTimes.add(now, answerHalfLife, float64(overloadWait))
	default:
		c.recordAnswer(now, call, now-call.sentAt)
	}
}

// recordAnswer records the answer time of a try, unless this controller stalled while it was out. Over a tandem it
// covers two legs and two processors, so half of it counts.
func (c *Controller) recordAnswer(now Tenths, call *activeCall, answerTime Tenths) {
	if call.sentAt >= c.stallEndedAt {
		if call.viaTandem {
			answerTime /= 2
		}
		times := &c.remotes[call.remote].answerTimes
		times.scale(olderAnswersFactor)
		times.add(now, answerHalfLife, float64(answerTime))
	}
}

// recordReport records a load report.
func (c *Controller) recordReport(now Tenths, remote *remoteSwitch, report LoadReport) {
	if report.Size >= 0 {
		remote.free, remote.size = max(0, report.Free), report.Size
	}
	if report.Wait >= 0 || report.HoldBack >= 0 {
		remote.reportedWait, remote.admissionHoldBack, remote.reportedAt = max(0, report.Wait), max(0, report.HoldBack), now
	}
}

// LoadReported reports the free circuits and the size of the group towards a switch.
func (c *Controller) LoadReported(now Tenths, switchID uint32, report LoadReport) {
	c.recordReport(now, &c.remotes[c.remoteIndex(switchID)], report)
}

// Abandoned reports that the caller has abandoned the call, which needs no answer any more. A try that is older
// than the usual answer time, or late enough for shedding, then counts as answered after the GoS target. Otherwise
// the latest answers would never count where callers abandon early, and the remote switches would look fast and be
// overloaded. A younger try shows nothing: its caller abandoned the call for another reason.
func (c *Controller) Abandoned(now Tenths, callID uint32) {
	if call := c.calls[callID]; call != nil {
		gosTarget := c.bearers[call.request.Bearer].gosTarget
		minAge := min(overdueFactor*c.remotes[call.remote].answerTimes.upperQuartile(now), sheddingStart*float64(gosTarget))
		if call.state == trying && !call.lost && float64(now-call.sentAt) > minAge {
			c.recordAnswer(now, call, gosTarget)
		}
		c.setState(call, ended)
	}
}

// TimerExpired reports that a timer that was set with Executor.SetTimer has expired.
func (c *Controller) TimerExpired(now Tenths, token uint64) {
	c.detectStall(now)
	switch token {
	case subscribeToken:
		c.executor.Subscribe()
		return
	case tickToken:
		c.scheduleTick(now)
		return
	}
	if call := c.calls[uint32(token)]; call != nil && call.state == awaitingRelease && now >= call.retryAt {
		c.route(now, call)
	}
}

// ListLost reports that the list of switches could not be fetched or that its subscription broke. It is requested
// again after an exponential delay with jitter.
func (c *Controller) ListLost(now Tenths) {
	c.subscribeDelay = min(max(2*c.subscribeDelay, initialSubscribeDelay),
		max(initialSubscribeDelay, c.deployment.MaxSubscribeInterval/4))
	c.executor.SetTimer(now+c.subscribeDelay+Tenths(c.random()*float64(c.subscribeDelay)), subscribeToken)
}

// ListReceived reports the list of switches: all of them if whole is set, else those that changed.
func (c *Controller) ListReceived(now Tenths, whole bool, list []Switch) {
	c.subscribeDelay = 0
	if whole {
		c.withdrawUnlisted(list)
	}
	for _, sw := range list {
		remote := &c.remotes[c.remoteIndex(sw.ID)]
		if sw.BootAt != remote.bootAt { // a new process: what was measured of the old one is void
			remote.answerTimes, remote.reportedWait, remote.admissionHoldBack,
				remote.firstCallBudget, remote.repeatedCallBudget, remote.budgetUpdatedAt =
				decayingStats{}, 0, 0, 1, 0, now
		}
		remote.number, remote.bootAt, remote.ready = sw.Number, sw.BootAt, sw.Ready
	}
	clear(c.serving)
	for i := range c.remotes {
		remote := &c.remotes[i]
		if other, taken := c.serving[remote.number]; remote.ready && (!taken || c.remotes[other].bootAt <= remote.bootAt) {
			c.serving[remote.number] = i
		}
	}
}

// random returns a random number in [0, 1) from a multiply-with-carry generator.
func (c *Controller) random() float64 {
	c.randomState = 4294957665*(c.randomState&0xffffffff) + c.randomState>>32
	return float64(c.randomState&0xffffffff) / (1 << 32)
}

// decayingStats holds the weight, sum and sum of squares of samples that decay exponentially.
type decayingStats struct {
	weight, sum, sumSquares float64
	updatedAt               Tenths
}

// weightAt decays the sums to the given time and returns the weight of the samples.
func (s *decayingStats) weightAt(now, halfLife Tenths) float64 {
	if now > s.updatedAt {
		s.scale(decayFactor(now-s.updatedAt, halfLife))
		s.updatedAt = now
	}
	return s.weight
}

// scale multiplies the weight of all samples.
func (s *decayingStats) scale(factor float64) {
	s.weight, s.sum, s.sumSquares = s.weight*factor, s.sum*factor, s.sumSquares*factor
}

// add decays the sums to the given time and adds a sample of weight 1.
func (s *decayingStats) add(now, halfLife Tenths, value float64) {
	s.weightAt(now, halfLife)
	s.weight, s.sum, s.sumSquares = s.weight+1, s.sum+value, s.sumSquares+value*value
}

// upperQuartile estimates the upper quartile from mean and standard deviation. As the samples decay, it tends to
// the prior, zero.
func (s *decayingStats) upperQuartile(now Tenths) float64 {
	weight := s.weightAt(now, answerHalfLife)
	if weight <= 0 {
		return 0
	}
	mean := s.sum / weight
	return (mean + upperQuartileDeviations*math.Sqrt(max(0, s.sumSquares/weight-mean*mean))) * weight / (weight + priorWeight)
}

// decayFactor is the factor by which a weight decays within the given age.
func decayFactor(age, halfLife Tenths) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }
