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
	At   int64 // microseconds
	Text string
}

type callKey struct {
	ref        isup.Reference
	controller int // exchange that sends the call: its origin or a tandem
}

type tryKey struct {
	toSwitch, controller int
	cic                  uint16
}

type offeredCall struct {
	site                    int
	offeredAt, deadline     int64
	answeredAt, abandonedAt int64
	established             bool
}

type callTries struct {
	open       map[tryKey]uint32 // route tries in progress, and their circuits as a bit mask
	sentAt     map[tryKey]int64  // when the switch read the set-up
	releasedAt int64             // last release after which the release time must pass; -1: none
	answered   bool
}

type interval struct{ start, end int64 }

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
		if d := c.calls[e.Ref]; d != nil && d.abandonedAt == 0 {
			d.abandonedAt = e.At
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
			at := [2]int{e.Site, e.Peer}
			c.deliveredResets[at] = append(c.deliveredResets[at], e)
		}
		at, by := e.Site, e.Peer
		if e.Kind == ResetDelivered {
			at, by = by, at
		}
		for cic := e.CIC; cic <= e.CIC+uint16(e.Value); cic++ {
			c.closeTry(Event{At: e.At, Site: at, Peer: by, CIC: cic}, true)
			for k, of := range c.openTries { // a reset of one circuit ends a multirate call
				if s := c.callTries[of]; k.toSwitch == at && k.controller == by && k.cic/32 == cic/32 && s != nil && s.open[k]&(1<<(cic%32-1)) != 0 {
					c.closeTry(Event{At: e.At, Site: at, Peer: by, CIC: k.cic}, true)
				}
			}
		}
	case LinkLost:
		for k := range c.openTries {
			if k.toSwitch == e.Site && k.controller == e.Peer {
				c.closeTry(Event{At: e.At, Site: e.Site, Peer: e.Peer, CIC: k.cic}, true)
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
		if s := c.pauses[e.Site]; len(s) > 0 && s[len(s)-1].end == math.MaxInt64 {
			s[len(s)-1].end = e.At
			for at, ins := range c.deliveredSetUps { // set-ups written during the pause are read now
				for i := range ins {
					if at[0] == e.Site && ins[i].At >= s[len(s)-1].start-Margin {
						ins[i].At = e.At
						c.dropYieldedTries(ins[i])
					}
				}
			}
		}
	case ControllerKilled:
		c.kills[e.Site] = append(c.kills[e.Site], e.At)
		delete(c.notReadySince, e.Site)
		delete(c.lists, e.Site)
		delete(c.unreadLists, e.Site)
		for k, by := range c.openTries { // its route tries have no owner any more
			if k.controller == e.Site {
				delete(c.openTries, k)
				delete(c.callTries, by)
			}
		}
	}
}

// recordActivity notes that a controller is active, which means that it has read the lists written long enough before.
func (c *checker) recordActivity(site int, at int64) {
	// Apply the lists in the order written: in map order an old list could override a newer one, and a switch that was
	// ready again was taken for not ready.
	for _, version := range slices.Sorted(maps.Keys(c.unreadLists[site])) {
		if at > c.unreadLists[site][version]+maxListReadTime {
			c.applyList(site, version, at)
		}
	}
}

// applyList records the time at which a controller learns the content of a list.
func (c *checker) applyList(site int, version, at int64) {
	list := c.lists[site][version]
	if c.notReadySince[site] == nil {
		c.notReadySince[site] = map[int]int64{}
	}
	for sw, ready := range list {
		if _, off := c.notReadySince[site][sw]; ready {
			delete(c.notReadySince[site], sw)
			if c.informed[sw] != nil {
				c.informed[sw][site] = true
			}
		} else if !off {
			c.notReadySince[site][sw] = at
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
	d := c.calls[e.Ref]
	switch {
	case d == nil:
		c.report(1, e.At, "exchange %d responds to call %v, which it was not offered", e.Site, e.Ref)
	case d.answeredAt != 0 && !d.established:
		c.report(1, e.At, "call %v got two responses", e.Ref)
	case d.answeredAt != 0: // an established call ends
		d.established = false
		if isup.Type(e.CIC) == isup.ANM {
			c.report(1, e.At, "call %v got two responses", e.Ref)
		}
	case d.abandonedAt != 0 && e.At > c.readTime(d.site, d.abandonedAt)+Margin:
		c.report(1, e.At, "call %v got its response %d ms after its caller released", e.Ref, (e.At-d.abandonedAt)/1000)
	case e.At > d.deadline+Margin && !c.wasPaused(d.site, d.deadline):
		c.report(1, e.At, "call %v got its response %d ms after its deadline", e.Ref, (e.At-d.deadline)/1000)
	default:
		d.answeredAt, d.established = e.At, isup.Type(e.CIC) == isup.ANM
	}
}

// readTime returns the time by which a controller can have read what was written to it at a given time: the end of the
// pause if it was paused. Decisions made before the pause are sent then, too.
func (c *checker) readTime(site int, at int64) int64 {
	for _, s := range c.pauses[site] {
		if at >= s.start-Margin && at <= s.end && s.end != math.MaxInt64 {
			return s.end
		}
	}
	return at
}

// wasPaused reports whether a controller was paused at a given time or had just resumed.
func (c *checker) wasPaused(site int, at int64) bool {
	for _, s := range c.pauses[site] {
		if at >= s.start-Margin && (s.end == math.MaxInt64 || at <= s.end+Margin) {
			return true
		}
	}
	return false
}

// checkUnanswered checks rule 1 for a call without a response.
func (c *checker) checkUnanswered(ref isup.Reference, last int64) {
	d := c.calls[ref]
	early := d.abandonedAt != 0 && d.abandonedAt < d.deadline-Margin
	if d.answeredAt != 0 || early || d.deadline-d.offeredAt < Margin || d.deadline+Margin > last || c.wasPaused(d.site, d.deadline) {
		return
	}
	for _, at := range c.kills[d.site] {
		if at >= d.offeredAt-Margin && at <= d.deadline+Margin {
			return
		}
	}
	c.report(1, d.deadline, "call %v got no response before its deadline", ref)
}

// checkTry checks the rules on sending a set-up: 1, 2, 3 and 5.
func (c *checker) checkTry(e Event) {
	key := callKey{e.Ref, e.Peer}
	s := c.callTries[key]
	if s == nil {
		s = &callTries{open: map[tryKey]uint32{}, sentAt: map[tryKey]int64{}, releasedAt: -1}
		c.callTries[key] = s
	}
	mine, bits := tryKey{e.Site, e.Peer, e.CIC}, circuitBits(e)
	for _, in := range c.deliveredSetUps[[2]int{e.Peer, e.Site}] { // read by the sender as it sent its own: both exchanges seized the circuit
		if e.At <= in.At+Margin && in.CIC/32 == e.CIC/32 && circuitBits(in)&bits != 0 && !setUpPrevails(e.Peer, bits, in.Peer, circuitBits(in)) {
			bits = 0
			break
		}
	}
	for k := range s.open {
		c.closeIfReset(s, k)
	}
	d := c.calls[e.Ref]
	switch {
	case d != nil && d.site == e.Peer && d.answeredAt != 0 && e.At > d.answeredAt+Margin:
		c.report(1, e.At, "call %v is sent to switch %d after its final response", e.Ref, e.Site)
	case d != nil && d.site == e.Peer && d.abandonedAt != 0 && e.At > c.readTime(e.Peer, d.abandonedAt)+Margin:
		c.report(1, e.At, "call %v is sent to switch %d after its caller released", e.Ref, e.Site)
	case len(s.open) > 0 || s.answered:
		c.report(2, e.At, "call %v is sent to switch %d while another route try is in progress", e.Ref, e.Site)
	case s.releasedAt >= 0 && e.At < s.releasedAt+c.parameters[ParameterReleaseTime]-Margin:
		c.report(5, e.At, "call %v is sent again %d ms after a route try was released", e.Ref, (e.At-s.releasedAt)/1000)
	}
	if at, off := c.notReadySince[e.Peer][e.Site]; off && e.At > at+c.parameters[ParameterDrainGrace]+Margin {
		c.report(3, e.At, "exchange %d sends to switch %d %d ms after the switch was reported not ready", e.Peer, e.Site, (e.At-at)/1000)
	}
	c.checkColdStart(e)
	s.releasedAt = -1
	if bits != 0 {
		s.open[mine], s.sentAt[mine] = bits, e.At
		c.openTries[mine] = key
	}
}

// closeIfReset closes a route try whose circuit the remote exchange reset, where the sender may have read the reset only
// after it sent the set-up: the two messages crossed, or the reset lay unread while the controller was paused.
func (c *checker) closeIfReset(s *callTries, k tryKey) {
	sent := s.sentAt[k]
	for _, r := range c.deliveredResets[[2]int{k.controller, k.toSwitch}] {
		read := c.readTime(k.controller, r.At)
		if k.cic >= r.CIC && int64(k.cic) <= int64(r.CIC)+r.Value && read >= sent-Margin && r.At <= sent+Margin && !s.answered {
			s.releasedAt = max(read, sent)
			delete(s.open, k)
			delete(c.openTries, k)
			return
		}
	}
}

func circuitBits(e Event) uint32 {
	if e.Slots != 0 {
		return e.Slots
	}
	return 1 << (e.CIC%32 - 1)
}

// recordSetUp records a set-up that reaches a controller. The controller's own tries on the same circuits end without a
// release where the other exchange's set-up prevails.
func (c *checker) recordSetUp(e Event) {
	at := [2]int{e.Site, e.Peer}
	recent := c.deliveredSetUps[at][:0]
	for _, in := range c.deliveredSetUps[at] {
		if e.At <= in.At+Margin || c.isPaused(e.Site) {
			recent = append(recent, in)
		}
	}
	c.deliveredSetUps[at] = append(recent, e)
	c.dropYieldedTries(e)
}

func (c *checker) isPaused(site int) bool {
	s := c.pauses[site]
	return len(s) > 0 && s[len(s)-1].end == math.MaxInt64
}

// dropYieldedTries removes a controller's route tries on circuits that a set-up read by it also seizes and wins.
func (c *checker) dropYieldedTries(e Event) {
	for k, by := range c.openTries {
		if k.toSwitch != e.Peer || k.controller != e.Site || k.cic/32 != e.CIC/32 {
			continue
		}
		if s := c.callTries[by]; s != nil && !s.answered && s.open[k]&circuitBits(e) != 0 && !setUpPrevails(e.Site, s.open[k], e.Peer, circuitBits(e)) {
			delete(s.open, k)
			delete(c.openTries, k)
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

func countBits(b uint32) (n int) {
	for ; b != 0; b &= b - 1 {
		n++
	}
	return n
}

// closeTry ends a route try. If it was released, the release time must pass before the next one.
func (c *checker) closeTry(e Event, released bool) {
	k := tryKey{e.Site, e.Peer, e.CIC}
	key, ok := c.openTries[k]
	if !ok {
		return
	}
	s := c.callTries[key]
	if s == nil {
		delete(c.openTries, k)
		return
	}
	if !released && isup.Type(e.Value) == isup.ANM {
		s.answered = true
		return
	}
	if _, open := s.open[k]; open && released && !s.answered {
		s.releasedAt = e.At
	}
	delete(s.open, k)
	delete(c.openTries, k)
	s.answered = false
}

// checkColdStart checks rule 4: the set-ups that a cold switch received in the last window, refused or not, against its budget.
func (c *checker) checkColdStart(e Event) {
	born, ok := c.starts[e.Site]
	age := e.At - born.At
	if !ok || born.CIC == 0 || age > c.parameters[ParameterRampTime] || c.parameters[ParameterOverloadWindow] == 0 {
		return
	}
	w := append(c.recentSetUps[e.Site], e)
	for len(w) > 0 && w[0].At < e.At-c.parameters[ParameterOverloadWindow] {
		w = w[1:]
	}
	c.recentSetUps[e.Site] = w
	told := 0
	for _, one := range w {
		if c.informed[e.Site][one.Peer] {
			told++
		}
	}
	from := float64(c.parameters[ParameterInitialCapacity]) / 1000
	strength := from + (1-from)*float64(age)/float64(max(1, c.parameters[ParameterRampTime]))
	budget := float64(c.parameters[ParameterOverloadMultiple]) / 1000 * strength * float64(born.Value) / 1000 * float64(c.parameters[ParameterOverloadWindow]) / 1e6
	if float64(len(w)) > budget+2*math.Sqrt(budget) && 3*told >= 2*len(w) && !c.overloadReported[e.Site] {
		c.overloadReported[e.Site] = true
		c.report(4, e.At, "switch %d, started %d ms before, receives %d set-ups in one window; its budget is %.0f", e.Site, age/1000, len(w), budget)
	}
}
