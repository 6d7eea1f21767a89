package audit

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"indigodrift/internal/isup"
)

// Margin is the tolerated difference between a time seen at a socket and the time that the controller saw, in
// microseconds. The two ends of a connection differ on a machine that is busy with a whole network. A violation by twice
// the margin is always found.
const Margin = 100_000

// maxListReadTime is the time in microseconds after which a controller that is active must have read a list sent to it.
const maxListReadTime = 200_000

// Violation is one case of a broken rule.
type Violation struct {
	Rule int
	At   int64 // microseconds since the start of the log
	Text string
}

// callKey identifies a call as sent by one controller.
type callKey struct {
	ref        isup.Reference
	controller int // exchange that sends the call: its origin or a tandem
}

// tryKey identifies a route try by its circuit.
type tryKey struct {
	toSwitch, controller int
	cic                  uint16
}

// offeredCall is a call that a subscriber offered to a controller.
type offeredCall struct {
	site                    int
	offeredAt, deadline     int64
	answeredAt, abandonedAt int64
	established             bool
}

// callTries is the state of a call's route tries from one controller.
type callTries struct {
	open       map[tryKey]uint32 // route tries in progress, and their circuits as a bit mask
	sentAt     map[tryKey]int64  // when the switch read the set-up
	releasedAt int64             // last release after which the release time must pass; -1: none
	answered   bool
}

// interval is a period in microseconds since the start of the log.
type interval struct{ start, end int64 }

// checker holds the state of a check while it reads a log.
type checker struct {
	parameters       [parameterCount]int64
	calls            map[isup.Reference]*offeredCall
	callOrder        []isup.Reference
	callTries        map[callKey]*callTries
	openTries        map[tryKey]callKey
	unreadLists      map[int]map[int64]int64        // by controller and version: when the list was written
	lists            map[int]map[int64]map[int]bool // by controller, version and switch: whether the switch is ready
	notReadySince    map[int]map[int]int64          // by controller and switch: when the switch was reported not ready
	pauses           map[int][]interval
	kills            map[int][]int64
	starts           map[int]Event
	informed         map[int]map[int]bool // by switch: controllers that know of its present incarnation
	recentSetUps     map[int][]Event      // at a cold switch
	overloadReported map[int]bool
	deliveredResets  map[[2]int][]Event // by controller and remote exchange: resets written to the controller
	deliveredSetUps  map[[2]int][]Event // by controller and preceding exchange: set-ups written to the controller recently
	violations       []Violation
}

// Check returns every violation in a log, in the order found.
func Check(events []Event) []Violation {
	c := &checker{calls: map[isup.Reference]*offeredCall{}, callTries: map[callKey]*callTries{}, openTries: map[tryKey]callKey{},
		unreadLists: map[int]map[int64]int64{}, lists: map[int]map[int64]map[int]bool{}, notReadySince: map[int]map[int]int64{},
		pauses: map[int][]interval{}, kills: map[int][]int64{}, starts: map[int]Event{}, informed: map[int]map[int]bool{},
		recentSetUps: map[int][]Event{}, overloadReported: map[int]bool{}, deliveredSetUps: map[[2]int][]Event{}, deliveredResets: map[[2]int][]Event{}}
	p := &phoneChecker{checker: c, calls: map[isup.Reference]*phoneCall{}, phones: map[phoneKey]*phoneState{}, outages: map[[2]int][]interval{}}
	last := int64(0)
	for _, e := range events {
		if e.Kind == DayEnded {
			last = e.At
			break
		}
		if !p.handle(e) {
			c.handle(e)
		}
		last = e.At
	}
	p.checkRemaining(last)
	for _, ref := range c.callOrder {
		c.checkUnanswered(ref, last)
	}
	return c.violations
}

func (c *checker) report(rule int, at int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// handle processes one event.
func (c *checker) handle(e Event) {
	switch e.Kind {
	case Parameter:
		if e.Site >= 0 && e.Site < parameterCount {
			c.parameters[e.Site] = e.Value
		}
	case SwitchStarted:
		c.starts[e.Site], c.informed[e.Site], c.recentSetUps[e.Site], c.overloadReported[e.Site] = e, map[int]bool{}, nil, false
	case CallOffered:
		c.calls[e.Ref] = &offeredCall{site: e.Site, offeredAt: e.At, deadline: e.At + e.Value}
		c.callOrder = append(c.callOrder, e.Ref)
	case CallerReleased:
		if call := c.calls[e.Ref]; call != nil && call.abandonedAt == 0 {
			call.abandonedAt = e.At
		}
	case CallResponse:
		c.recordActivity(e.Site, e.At)
		c.checkResponse(e)
	case TryReceived:
		c.recordActivity(e.Peer, e.At)
		c.checkTry(e)
	case SetUpDelivered:
		c.recordSetUp(e)
	case TryReleased:
		c.recordActivity(e.Peer, e.At)
		c.closeTry(e, true)
	case TryResponse:
		c.closeTry(e, false)
	case ResetReceived, ResetDelivered:
		if e.Kind == ResetDelivered {
			route := [2]int{e.Site, e.Peer}
			c.deliveredResets[route] = append(c.deliveredResets[route], e)
		}
		toSwitch, controller := e.Site, e.Peer
		if e.Kind == ResetDelivered {
			toSwitch, controller = controller, toSwitch
		}
		for cic := e.CIC; cic <= e.CIC+uint16(e.Value); cic++ {
			c.closeTry(Event{At: e.At, Site: toSwitch, Peer: controller, CIC: cic}, true)
			for try, call := range c.openTries { // a reset of one circuit ends a multirate call
				if state := c.callTries[call]; try.toSwitch == toSwitch && try.controller == controller && try.cic/32 == cic/32 && state != nil && state.open[try]&(1<<(cic%32-1)) != 0 {
					c.closeTry(Event{At: e.At, Site: toSwitch, Peer: controller, CIC: try.cic}, true)
				}
			}
		}
	case LinkLost:
		for try := range c.openTries {
			if try.toSwitch == e.Site && try.controller == e.Peer {
				c.closeTry(Event{At: e.At, Site: e.Site, Peer: e.Peer, CIC: try.cic}, true)
			}
		}
	case ListEntrySent:
		if c.lists[e.Site] == nil {
			c.lists[e.Site], c.unreadLists[e.Site] = map[int64]map[int]bool{}, map[int64]int64{}
		}
		if c.lists[e.Site][e.Value] == nil {
			c.lists[e.Site][e.Value], c.unreadLists[e.Site][e.Value] = map[int]bool{}, e.At
		}
		c.lists[e.Site][e.Value][e.Peer] = e.CIC == 1
	case ListAcknowledged:
		c.applyList(e.Site, e.Value, e.At)
	case ControllerPaused:
		if c.isPaused(e.Site) { // paused twice: the first resumption ends both pauses
			return
		}
		c.pauses[e.Site] = append(c.pauses[e.Site], interval{e.At, math.MaxInt64})
	case ControllerResumed:
		if state := c.pauses[e.Site]; len(state) > 0 && state[len(state)-1].end == math.MaxInt64 {
			state[len(state)-1].end = e.At
			for route, setUps := range c.deliveredSetUps { // set-ups written during the pause are read now
				for i := range setUps {
					if route[0] == e.Site && setUps[i].At >= state[len(state)-1].start-Margin {
						setUps[i].At = e.At
						c.dropYieldedTries(setUps[i])
					}
				}
			}
		}
	case ControllerKilled:
		c.kills[e.Site] = append(c.kills[e.Site], e.At)
		delete(c.notReadySince, e.Site)
		delete(c.lists, e.Site)
		delete(c.unreadLists, e.Site)
		for try, call := range c.openTries { // its route tries have no owner any more
			if try.controller == e.Site {
				delete(c.openTries, try)
				delete(c.callTries, call)
			}
		}
	}
}

// recordActivity notes that a controller is active, which means that it has read the lists written long enough before.
func (c *checker) recordActivity(site int, time int64) {
	// Apply the lists in the order written: in map order an old list could override a newer one, and a switch that was
	// ready again was taken for not ready.
	for _, version := range slices.Sorted(maps.Keys(c.unreadLists[site])) {
		if time > c.unreadLists[site][version]+maxListReadTime {
			c.applyList(site, version, time)
		}
	}
}

// applyList records the time at which a controller learns the content of a list.
func (c *checker) applyList(site int, version, time int64) {
	list := c.lists[site][version]
	if c.notReadySince[site] == nil {
		c.notReadySince[site] = map[int]int64{}
	}
	for number, ready := range list {
		if _, notReady := c.notReadySince[site][number]; ready {
			delete(c.notReadySince[site], number)
			if c.informed[number] != nil {
				c.informed[number][site] = true
			}
		} else if !notReady {
			c.notReadySince[site][number] = time
		}
	}
	for v := range c.unreadLists[site] { // older lists are superseded
		if v <= version {
			delete(c.unreadLists[site], v)
			delete(c.lists[site], v)
		}
	}
}

// checkResponse checks rule 1 for a response read from a controller.
func (c *checker) checkResponse(e Event) {
	call := c.calls[e.Ref]
	switch {
	case call == nil:
		c.report(1, e.At, "exchange %d responds to call %v, which it was not offered", e.Site, e.Ref)
	case call.answeredAt != 0 && !call.established:
		c.report(1, e.At, "call %v is answered twice", e.Ref)
	case call.answeredAt != 0: // an established call ends
		call.established = false
		if isup.Type(e.CIC) == isup.ANM {
			c.report(1, e.At, "call %v is answered twice", e.Ref)
		}
	case call.abandonedAt != 0 && e.At > c.readTime(call.site, call.abandonedAt)+Margin:
		c.report(1, e.At, "call %v got its response %d ms after its caller released", e.Ref, (e.At-call.abandonedAt)/1000)
	case e.At > call.deadline+Margin && !c.wasPaused(call.site, call.deadline):
		c.report(1, e.At, "call %v got its response %d ms after its deadline", e.Ref, (e.At-call.deadline)/1000)
	default:
		call.answeredAt, call.established = e.At, isup.Type(e.CIC) == isup.ANM
	}
}

// readTime returns the time by which a controller can have read what was written to it at a given time: the end of the
// pause if it was paused. Decisions made before the pause are sent then, too.
func (c *checker) readTime(site int, written int64) int64 {
	for _, pause := range c.pauses[site] {
		if written >= pause.start-Margin && written <= pause.end && pause.end != math.MaxInt64 {
			return pause.end
		}
	}
	return written
}

// wasPaused reports whether a controller was paused at a given time or had just resumed.
func (c *checker) wasPaused(site int, time int64) bool {
	for _, pause := range c.pauses[site] {
		if time >= pause.start-Margin && (pause.end == math.MaxInt64 || time <= pause.end+Margin) {
			return true
		}
	}
	return false
}

// checkUnanswered checks rule 1 at the end of the log: a call without a response must have a reason.
func (c *checker) checkUnanswered(ref isup.Reference, last int64) {
	call := c.calls[ref]
	abandonedEarly := call.abandonedAt != 0 && call.abandonedAt < call.deadline-Margin
	if call.answeredAt != 0 || abandonedEarly || call.deadline-call.offeredAt < Margin || call.deadline+Margin > last || c.wasPaused(call.site, call.deadline) {
		return
	}
	for _, killedAt := range c.kills[call.site] {
		if killedAt >= call.offeredAt-Margin && killedAt <= call.deadline+Margin {
			return
		}
	}
	c.report(1, call.deadline, "call %v got no response before its deadline", ref)
}

// checkTry checks the rules on sending a set-up: 1, 2, 3 and 5.
func (c *checker) checkTry(e Event) {
	call := callKey{e.Ref, e.Peer}
	tries := c.callTries[call]
	if tries == nil {
		tries = &callTries{open: map[tryKey]uint32{}, sentAt: map[tryKey]int64{}, releasedAt: -1}
		c.callTries[call] = tries
	}
	try, bits := tryKey{e.Site, e.Peer, e.CIC}, circuitBits(e)
	for _, remote := range c.deliveredSetUps[[2]int{e.Peer, e.Site}] { // read by the sender as it sent its own: both exchanges seized the circuit
		if e.At <= remote.At+Margin && remote.CIC/32 == e.CIC/32 && circuitBits(remote)&bits != 0 && !setUpPrevails(e.Peer, bits, remote.Peer, circuitBits(remote)) {
			bits = 0
			break
		}
	}
	for earlier := range tries.open {
		c.closeIfReset(tries, earlier)
	}
	offered := c.calls[e.Ref]
	switch {
	case offered != nil && offered.site == e.Peer && offered.answeredAt != 0 && e.At > offered.answeredAt+Margin:
		c.report(1, e.At, "call %v is sent to switch %d after its final response", e.Ref, e.Site)
	case offered != nil && offered.site == e.Peer && offered.abandonedAt != 0 && e.At > c.readTime(e.Peer, offered.abandonedAt)+Margin:
		c.report(1, e.At, "call %v is sent to switch %d after its caller released", e.Ref, e.Site)
	case len(tries.open) > 0 || tries.answered:
		c.report(2, e.At, "call %v is sent to switch %d while another route try is in progress", e.Ref, e.Site)
	case tries.releasedAt >= 0 && e.At < tries.releasedAt+c.parameters[ParameterReleaseTime]-Margin:
		c.report(5, e.At, "call %v is sent again %d ms after a route try was released", e.Ref, (e.At-tries.releasedAt)/1000)
	}
	if since, notReady := c.notReadySince[e.Peer][e.Site]; notReady && e.At > since+c.parameters[ParameterDrainGrace]+Margin {
		c.report(3, e.At, "exchange %d sends to switch %d %d ms after the switch was reported not ready", e.Peer, e.Site, (e.At-since)/1000)
	}
	c.checkColdStart(e)
	tries.releasedAt = -1
	if bits != 0 {
		tries.open[try], tries.sentAt[try] = bits, e.At
		c.openTries[try] = call
	}
}

// closeIfReset closes a route try whose circuit the remote exchange reset, where the sender may have read the reset only
// after it sent the set-up: the two messages crossed, or the reset lay unread while the controller was paused.
func (c *checker) closeIfReset(tries *callTries, try tryKey) {
	sent := tries.sentAt[try]
	for _, reset := range c.deliveredResets[[2]int{try.controller, try.toSwitch}] {
		read := c.readTime(try.controller, reset.At)
		if try.cic >= reset.CIC && int64(try.cic) <= int64(reset.CIC)+reset.Value && read >= sent-Margin && reset.At <= sent+Margin && !tries.answered {
			tries.releasedAt = max(read, sent)
			delete(tries.open, try)
			delete(c.openTries, try)
			return
		}
	}
}

// circuitBits returns the circuits of a set-up as a bit mask within their multiplex.
func circuitBits(e Event) uint32 {
	if e.Slots != 0 {
		return e.Slots
	}
	return 1 << (e.CIC%32 - 1)
}

// recordSetUp records a set-up that reaches a controller. The controller's own tries on the same circuits end without a
// release where the other exchange's set-up prevails.
func (c *checker) recordSetUp(e Event) {
	route := [2]int{e.Site, e.Peer}
	recent := c.deliveredSetUps[route][:0]
	for _, setUp := range c.deliveredSetUps[route] {
		if e.At <= setUp.At+Margin || c.isPaused(e.Site) {
			recent = append(recent, setUp)
		}
	}
	c.deliveredSetUps[route] = append(recent, e)
	c.dropYieldedTries(e)
}

func (c *checker) isPaused(site int) bool {
	pauses := c.pauses[site]
	return len(pauses) > 0 && pauses[len(pauses)-1].end == math.MaxInt64
}

// dropYieldedTries removes a controller's route tries on circuits that a set-up read by it also seizes and wins.
func (c *checker) dropYieldedTries(setUp Event) {
	for try, call := range c.openTries {
		if try.toSwitch != setUp.Peer || try.controller != setUp.Site || try.cic/32 != setUp.CIC/32 {
			continue
		}
		if tries := c.callTries[call]; tries != nil && !tries.answered && tries.open[try]&circuitBits(setUp) != 0 && !setUpPrevails(setUp.Site, tries.open[try], setUp.Peer, circuitBits(setUp)) {
			delete(tries.open, try)
			delete(c.openTries, try)
		}
	}
}

// setUpPrevails reports whether the set-up of exchange a wins when two set-ups seize the same circuits, by the rule that
// both exchanges apply (docs/protocol.md).
func setUpPrevails(a int, bitsA uint32, b int, bitsB uint32) bool {
	if na, nb := countBits(bitsA), countBits(bitsB); na != nb {
		return na > nb
	}
	lowest := 0
	for common := bitsA & bitsB; common&1 == 0; common >>= 1 {
		lowest++
	}
	even := (lowest+1)%2 == 0
	return (a > b) == even
}

func countBits(bits uint32) (n int) {
	for ; bits != 0; bits &= bits - 1 {
		n++
	}
	return n
}

// closeTry ends a route try. If it was released, the release time must pass before the next one.
func (c *checker) closeTry(e Event, released bool) {
	try := tryKey{e.Site, e.Peer, e.CIC}
	call, ok := c.openTries[try]
	if !ok {
		return
	}
	tries := c.callTries[call]
	if tries == nil {
		delete(c.openTries, try)
		return
	}
	if !released && isup.Type(e.Value) == isup.ANM {
		tries.answered = true
		return
	}
	if _, open := tries.open[try]; open && released && !tries.answered {
		tries.releasedAt = e.At
	}
	delete(tries.open, try)
	delete(c.openTries, try)
	tries.answered = false
}

// checkColdStart checks rule 4: the set-ups that a cold switch received in the last window, refused or not, against its budget.
func (c *checker) checkColdStart(e Event) {
	start, ok := c.starts[e.Site]
	age := e.At - start.At
	if !ok || start.CIC == 0 || age > c.parameters[ParameterRampTime] || c.parameters[ParameterOverloadWindow] == 0 {
		return
	}
	recent := append(c.recentSetUps[e.Site], e)
	for len(recent) > 0 && recent[0].At < e.At-c.parameters[ParameterOverloadWindow] {
		recent = recent[1:]
	}
	c.recentSetUps[e.Site] = recent
	informed := 0
	for _, setUp := range recent {
		if c.informed[e.Site][setUp.Peer] {
			informed++
		}
	}
	initial := float64(c.parameters[ParameterInitialCapacity]) / 1000
	capacity := initial + (1-initial)*float64(age)/float64(max(1, c.parameters[ParameterRampTime]))
	budget := float64(c.parameters[ParameterOverloadMultiple]) / 1000 * capacity * float64(start.Value) / 1000 * float64(c.parameters[ParameterOverloadWindow]) / 1e6
	if float64(len(recent)) > budget+2*math.Sqrt(budget) && 3*informed >= 2*len(recent) && !c.overloadReported[e.Site] {
		c.overloadReported[e.Site] = true
		c.report(4, e.At, "switch %d, started %d ms before, receives %d set-ups in one window; its budget is %.0f", e.Site, age/1000, len(recent), budget)
	}
}
