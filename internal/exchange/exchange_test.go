package exchange

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 600) }

// paper simulates a network: exchanges, the messages between them, and callers. It records violations of the call rules.
type paper struct {
	now      policy.Tenths
	sites    []*site
	on       []flight
	callers  map[isup.Reference]*caller
	broken   []string
	nextCall uint32
	lose     func() bool

	delivering flight
}

// flight is a message in transit.
type flight struct {
	at   policy.Tenths
	to   int
	from Hop
	m    isup.Message
}

// site is one simulated exchange and its Carrier.
type site struct {
	p      *paper
	no     int
	x      *Exchange
	ups    int
	notes  []string
	lastAt map[int]policy.Tenths // time of the last message to each exchange, as links keep the order
}

// caller is a subscriber with a call, as the line sees it.
type caller struct {
	site         int
	cic          uint16
	leaves       policy.Tenths
	answers      []string
	left, stands bool
	outAt        map[string]isup.Message // tries in progress, by exchange and circuit
	lastRelease  policy.Tenths
	released     bool
}

func (s *site) Follow()           {}
func (s *site) Note(text string)  { s.notes = append(s.notes, text) }
func (s *site) Answered(a Answer) {}

// Transmit sends a message through the simulated network. A called line answers at once.
func (s *site) Transmit(to Hop, m isup.Message) {
	p := s.p
	if to.Side == Line {
		if m.Type == isup.IAM { // the called line
			p.fly(s.no, s.no, Hop{Side: Line, Point: to.Point}, isup.Message{CIC: m.CIC, Type: isup.ANM})
		} else if to.Point < CalledFrom {
			p.heard(s.no, m)
		}
		return
	}
	far := s.x.groups[to.Peer].number
	back := p.sites[far].x.byNumber[s.no]
	from := Hop{Side: Behind, Peer: back}
	if to.Side == Behind {
		from.Side = Ahead
	}
	if to.Side == Ahead && m.Type == isup.IAM {
		p.tried(s.no, far, m)
	}
	if to.Side == Ahead && m.Type == isup.REL {
		for _, c := range p.callers {
			if key := fmt.Sprint(far, m.CIC); c.site == s.no && c.outAt[key].Type == isup.IAM {
				delete(c.outAt, key)
				c.released, c.lastRelease = true, p.now
			}
		}
	}
	p.fly(s.no, far, from, m)
}

// fly puts a message in transit.
func (p *paper) fly(from, to int, hop Hop, m isup.Message) {
	s := p.sites[from]
	at := max(p.now+50, s.lastAt[to])
	s.lastAt[to] = at
	p.on = append(p.on, flight{at, to, hop, m})
}

// fault records a violation of a call rule.
func (p *paper) fault(format string, args ...any) {
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

// tried checks a set-up of the originating exchange: one try at a time, none after the end of the call, and none within
// the release time of the previous try.
func (p *paper) tried(site, far int, m isup.Message) {
	c := p.callers[m.Ref]
	if c == nil || c.site != site {
		return
	}
	if len(c.answers) > 0 || c.left {
		p.fault("call %v sent after its end", m.Ref)
	}
	if f := p.delivering; f.m.Type == isup.IAM && f.to == site && f.from.Side == Behind {
		by := p.sites[site].x.groups[f.from.Peer].number
		for key, sent := range c.outAt { // dual seizure won by the neighbour: this try is void
			if key == fmt.Sprint(by, sent.CIC) && slots(sent)&slots(f.m) != 0 {
				delete(c.outAt, key)
			}
		}
	}
	if len(c.outAt) > 0 {
		p.fault("call %v has two tries in progress: %v and %d", m.Ref, c.outAt, far)
	}
	if c.released && p.now < c.lastRelease+3000 {
		p.fault("call %v tried again %d after a release", m.Ref, p.now-c.lastRelease)
	}
	c.outAt[fmt.Sprint(far, m.CIC)] = m
}

// slots returns the circuits of a set-up as bits of one multiplex. No group of these tests has more than one multiplex.
func slots(m isup.Message) uint32 {
	if m.Slots != 0 {
		return m.Slots
	}
	return 1 << (m.CIC - 1)
}

// heard checks a message to a subscriber line: one answer per call, in time, and none after its end.
func (p *paper) heard(site int, m isup.Message) {
	for ref, c := range p.callers {
		if c.site != site || c.cic != m.CIC {
			continue
		}
		switch {
		case m.Type == isup.RLC:
		case m.Type == isup.REL && c.stands:
			c.stands = false
		case c.left || len(c.answers) > 0:
			p.fault("call %v: %v after its end (answers %v, abandoned %v)", ref, m.Type, c.answers, c.left)
		case p.now > c.leaves:
			p.fault("call %v answered too late", ref)
		default:
			c.answers = append(c.answers, m.Type.String())
			c.stands = m.Type == isup.ANM
		}
	}
}

// newPaper returns n fully meshed exchanges with groups of the given size.
func newPaper(n, size int) *paper {
	p := &paper{now: 1000000, callers: map[isup.Reference]*caller{}, lose: func() bool { return false }}
	var list []policy.Switch
	for i := range n {
		list = append(list, policy.Switch{ID: uint32(100 + i), Number: i, Ready: true})
	}
	for i := range n {
		s := &site{p: p, no: i, lastAt: map[int]policy.Tenths{}}
		p.sites = append(p.sites, s)
		p.start(s, list, size)
	}
	for i := range n {
		p.wire(i)
	}
	p.pass(5000)
	return p
}

// start creates the Exchange of a site.
func (p *paper) start(s *site, list []policy.Switch, size int) {
	var near []Neighbour
	for j := range list {
		if j != s.no {
			near = append(near, Neighbour{j, size})
		}
	}
	d := policy.Deployment{Seed: uint64(s.no + 7*s.ups), OwnExchange: s.no, MaxTries: 4, ReleaseTime: 3000, CancelsAllowed: true, InitialCapacity: 1,
		OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
		Bearers: []policy.Bearer{{Revenue: 1, LateShare: 0.1, GoSTarget: 12000, AbandonTime: 90000},
			{Revenue: 5, LateShare: 0.1, GoSTarget: 12000, AbandonTime: 90000}}}
	s.x = New(d, near, s, p.now, func(d policy.Deployment, e policy.Executor, now policy.Tenths) Decider {
		return policy.New(d, e, now)
	})
	s.x.Listed(p.now, true, list)
}

// wire brings up the links of an exchange.
func (p *paper) wire(i int) {
	s := p.sites[i]
	s.ups++
	s.x.OwnUp(p.now, "1")
	for j := range s.x.groups {
		s.x.LinkUp(p.now, j, "1")
	}
}

// call starts a call to a line at another exchange.
func (p *paper) call(site, dest, bearer, width int, ttl policy.Tenths) isup.Reference {
	p.nextCall++
	ref := isup.Reference{Point: Point(site), Identity: p.nextCall}
	c := &caller{site: site, cic: uint16(p.nextCall & isup.CICMost), leaves: p.now + ttl, outAt: map[string]isup.Message{}}
	p.callers[ref] = c
	p.sites[site].x.Receive(p.now, Hop{Side: Line, Point: Lines}, isup.Message{CIC: c.cic, Type: isup.IAM, Width: width,
		Digits: Called(dest, p.nextCall), Ref: ref, Says: isup.Says{Has: isup.PartLeft | isup.PartCall, Left: uint32(ttl),
			Bearer: uint8(bearer)}}, 0)
	return ref
}

// hangUp releases a call from the caller's side.
func (p *paper) hangUp(ref isup.Reference) {
	c := p.callers[ref]
	c.left, c.stands = true, false
	p.sites[c.site].x.Receive(p.now, Hop{Side: Line, Point: Lines}, isup.Message{CIC: c.cic, Type: isup.REL, Cause: isup.NormalClearing}, 0)
}

// pass advances the simulated time, event by event.
func (p *paper) pass(by policy.Tenths) {
	for end := p.now + by; p.now < end; {
		next := end
		for _, f := range p.on {
			next = min(next, f.at)
		}
		for _, s := range p.sites {
			next = min(next, s.x.Next())
		}
		p.now = max(p.now, next)
		for i := 0; i < len(p.on); {
			f := p.on[i]
			if f.at > p.now {
				i++
				continue
			}
			p.on = slices.Delete(p.on, i, i+1)
			if p.lose() {
				continue
			}
			if f.m.Type == isup.ANM || f.m.Type == isup.REL || f.m.Type == isup.GRS || f.m.Type == isup.RSC {
				p.ended(f)
			}
			p.delivering = f
			p.sites[f.to].x.Receive(p.now, f.from, f.m, 0)
			p.delivering = flight{}
			i = 0
		}
		for _, s := range p.sites {
			if s.x.Next() <= p.now {
				s.x.Tick(p.now)
			}
		}
		for ref, c := range p.callers {
			if !c.left && len(c.answers) == 0 && p.now > c.leaves+100 {
				p.fault("call %v has no answer", ref)
				c.left = true
			}
		}
	}
}

// ended notes that a backward message or a reset ends the try on its circuits.
func (p *paper) ended(f flight) {
	if f.m.Type == isup.GRS || f.m.Type == isup.RSC {
		for _, c := range p.callers {
			for cic := f.m.CIC; cic <= f.m.CIC+uint16(f.m.Range); cic++ {
				key := fmt.Sprint(p.sites[f.to].x.groups[f.from.Peer].number, cic)
				if c.site == f.to && c.outAt[key].Type == isup.IAM {
					delete(c.outAt, key)
					c.released, c.lastRelease = true, p.now
				}
			}
		}
		return
	}
	if f.from.Side != Ahead {
		return
	}
	key := fmt.Sprint(p.sites[f.to].x.groups[f.from.Peer].number, f.m.CIC)
	for _, c := range p.callers {
		if c.site == f.to {
			delete(c.outAt, key)
		}
	}
}

// idle fails the test if any circuit, call or line is still held.
func (p *paper) idle(t interface{ Fatalf(string, ...any) }) {
	for _, s := range p.sites {
		for i := range s.x.groups {
			if g := s.x.groups[i].g; g.Free() != g.Size() {
				t.Fatalf("exchange %d still holds %d of %d circuits to %d; %d calls: %+v", s.no, g.Size()-g.Free(),
					g.Size(), s.x.groups[i].number, len(s.x.calls), g)
			}
		}
		if len(s.x.calls) > 0 || len(s.x.lines) > 0 || s.x.waiting != 0 {
			t.Fatalf("exchange %d still holds %d calls, %d lines, %d unanswered", s.no, len(s.x.calls), len(s.x.lines), s.x.waiting)
		}
	}
}

// clean fails the test on a rule violation or a logged fault.
func (p *paper) clean(t interface{ Fatalf(string, ...any) }) {
	if len(p.broken) > 0 {
		t.Fatalf("%d rule violations: %v", len(p.broken), p.broken[:min(3, len(p.broken))])
	}
	for _, s := range p.sites {
		for _, n := range s.notes {
			if len(n) > 6 && n[:6] == "fault:" {
				t.Fatalf("exchange %d: %s", s.no, n)
			}
		}
	}
}

func TestCallStandsAndIsReleasedFromEitherSide(t *testing.T) {
	p := newPaper(3, 10)
	ref := p.call(0, 1, 0, 1, 30000)
	p.pass(2000)
	if c := p.callers[ref]; !c.stands {
		t.Fatalf("answers %v", c.answers)
	}
	if free := p.sites[1].x.groups[p.sites[1].x.byNumber[0]].g.Free(); free != 9 {
		t.Fatalf("the remote exchange counts %d free", free)
	}
	p.hangUp(ref)
	p.pass(2000)
	p.idle(t)
	p.clean(t)
}

func TestCallGoesOverATandemWhenTheGroupIsFull(t *testing.T) {
	p := newPaper(3, 12)
	var refs []isup.Reference
	for range 18 {
		refs = append(refs, p.call(0, 1, 1, 1, 30000))
		p.pass(500)
	}
	stood := 0
	for _, ref := range refs {
		if p.callers[ref].stands {
			stood++
		}
	}
	if stood < 15 {
		t.Fatalf("%d of 18 calls are established over 12 direct circuits and one tandem", stood)
	}
	for _, ref := range refs {
		if p.callers[ref].stands {
			p.hangUp(ref)
		}
	}
	p.pass(5000)
	p.idle(t)
	p.clean(t)
}

// Runs calls, releases, lost messages, link failures and restarted switches in random order. The call rules must hold
// after each step, and in the end no circuit, call or line may be held.
func TestRulesHoldUnderAnyMixtureOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "exchanges")
		p := newPaper(n, rapid.SampledFrom([]int{2, 6, 20}).Draw(t, "circuits"))
		lossy := rapid.Bool().Draw(t, "lossy")
		chance := uint32(1)
		p.lose = func() bool {
			chance = chance*1664525 + 1013904223
			return lossy && chance>>24 < 20
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			site := rapid.IntRange(0, n-1).Draw(t, "site")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				p.call(site, rapid.IntRange(0, n-1).Draw(t, "dest"), rapid.IntRange(0, 1).Draw(t, "bearer"),
					rapid.SampledFrom([]int{1, 1, 2}).Draw(t, "width"), policy.Tenths(rapid.IntRange(500, 30000).Draw(t, "ttl")))
			case 5, 6:
				refs := slices.SortedFunc(maps.Keys(p.callers), func(a, b isup.Reference) int { return int(a.Identity) - int(b.Identity) })
				for _, ref := range refs {
					if c := p.callers[ref]; !c.left && (c.stands || len(c.answers) == 0) && c.site == site {
						p.hangUp(ref)
						break
					}
				}
			case 7:
				if len(p.sites[site].x.groups) > 0 {
					peer := rapid.IntRange(0, n-2).Draw(t, "peer")
					p.sites[site].x.LinkDown(p.now, peer)
					for _, c := range p.callers { // tries through the lost link have ended
						for key := range c.outAt {
							if c.site == site && len(key) > 0 && key[0] == byte('0'+p.sites[site].x.groups[peer].number) {
								delete(c.outAt, key)
							}
						}
					}
					p.pass(policy.Tenths(rapid.IntRange(0, 3000).Draw(t, "down")))
					p.sites[site].x.LinkUp(p.now, peer, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "life"))
				}
			default:
			}
			p.pass(policy.Tenths(rapid.IntRange(0, 5000).Draw(t, "pass")))
			if len(p.broken) > 0 {
				break
			}
		}
		p.clean(t)
		p.lose = func() bool { return false }
		for _, c := range p.callers {
			if c.stands || len(c.answers) == 0 {
				c.left = true
			}
		}
		for ref, c := range p.callers {
			if c.left {
				p.hangUp(ref)
			}
		}
		p.pass(400000)
		p.clean(t)
		if lossy { // a lost release is only found by the next call on the circuit or by a reset
			for _, s := range p.sites {
				for j := range s.x.groups {
					s.x.LinkUp(p.now, j, "3")
				}
			}
			p.pass(100000)
		}
		p.idle(t)
	})
}
