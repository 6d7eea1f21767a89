package exchange

import (
	"fmt"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/numbers"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

// bureau is the portability servers of one exchange on paper.
type bureau struct {
	p     *paper
	delay policy.Tenths // negative: silent
	on    []struct {
		at     policy.Tenths
		id     uint32
		number string
	}
	ported map[string]string
}

func (b *bureau) query(id uint32, _ int, number string) {
	if b.delay >= 0 {
		b.on = append(b.on, struct {
			at     policy.Tenths
			id     uint32
			number string
		}{b.p.now + b.delay, id, number})
	}
}

// turned is a version that leads 0NN... to exchange NN plus so many, counted round; numbers of exchange 0 are portable.
func turned(t interface{ Fatal(...any) }, version uint64, by, n int) *numbers.Table {
	z, err := numbers.NewZone("UTC")
	if err != nil {
		t.Fatal(err)
	}
	tab := &numbers.Table{Version: version, Zone: z}
	var prefixes []numbers.Prefix
	for e := range n {
		tab.Entries = append(tab.Entries, numbers.Entry{Name: fmt.Sprint(e), Least: 9, Most: 9, Ported: e == 0,
			Choices: []numbers.Choice{{Shares: []numbers.Share{{Weight: 1, Exchange: (e + by) % n}}}}})
		prefixes = append(prefixes, numbers.Prefix{Digits: fmt.Sprintf("%03d", e), Entry: uint32(e)})
	}
	if err := tab.Build(prefixes, n); err != nil {
		t.Fatal(err)
	}
	return tab
}

// numbered gives every exchange of a paper network the same table and a bureau.
func numbered(t interface{ Fatal(...any) }, p *paper) []*bureau {
	var all []*bureau
	for _, s := range p.sites {
		b := &bureau{p: p, delay: 100, ported: map[string]string{}}
		n := &Numbering{Versions: numbers.NewVersions(turned(t, 1, 0, len(p.sites)), numbers.Trial{Window: 100000, Bound: 0.5, Least: 5}),
			Split: numbers.NewSplit(100), Second: func(at policy.Tenths) int64 { return int64(at / 10000) },
			At: func(second int64) policy.Tenths { return policy.Tenths(second) * 10000 }, Changed: func(*numbers.Table, string) {}}
		var err error
		n.Inquirer, err = numbers.NewInquirer(numbers.Limits{Known: 50, Unknown: 50, Age: 100000, Out: 8, TimeOut: 10000, RetryShare: 0.1}, 1,
			s.x.Asker(b.query))
		if err != nil {
			t.Fatal(err)
		}
		s.x.Number(n)
		all = append(all, b)
	}
	return all
}

// answer hands over what the bureaus have ready.
func answer(p *paper, all []*bureau) {
	for i, b := range all {
		still := b.on[:0]
		for _, f := range b.on {
			if f.at > p.now {
				still = append(still, f)
				continue
			}
			to, ported := b.ported[f.number]
			p.sites[i].x.Change(p.now, func(n *Numbering) {
				n.Inquirer.Answered(p.now, f.id, numbers.Port{Ported: ported, Number: to}, true, 0)
			})
		}
		b.on = still
	}
}

func (p *paper) passWith(by policy.Tenths, all []*bureau) {
	for end := p.now + by; p.now < end; {
		p.pass(min(100, end-p.now))
		answer(p, all)
	}
}

// reached tells at which exchange a call's line rang, from the circuits held there.
func reached(p *paper, ref isup.Reference) int {
	for i, s := range p.sites {
		for _, k := range s.x.calls {
			if k.ref == ref && k.out.hop.Side == Line && k.state == Standing {
				return i
			}
		}
	}
	return -1
}

func load(p *paper, site int, t *numbers.Table) (err error) {
	p.sites[site].x.Change(p.now, func(n *Numbering) { err = n.Versions.Load(t, 0, 0, p.now) })
	return err
}

func TestTableChangedWhileALookUpIsOut(t *testing.T) {
	p := newPaper(3, 10)
	all := numbered(t, p)
	all[1].delay = 1500
	ref := p.call(1, 0, 0, 1, 30000) // portable: asks
	p.passWith(500, all)
	if err := load(p, 1, turned(t, 2, 1, 3)); err != nil { // would lead it to exchange 1
		t.Fatal(err)
	}
	other := p.call(1, 1, 0, 1, 30000) // a new call goes by the new one, to exchange 2
	p.passWith(3000, all)
	if at := reached(p, ref); at != 0 {
		t.Errorf("a call that began by version 1 reached exchange %d", at)
	}
	if at := reached(p, other); at != 2 {
		t.Errorf("a call that began by version 2 reached exchange %d", at)
	}
	if held := p.sites[1].x.number.Versions.Held(); held != 2 {
		t.Errorf("%d versions held while calls stand by two", held)
	}
	p.hangUp(ref)
	p.hangUp(other)
	p.passWith(5000, all)
	if held := p.sites[1].x.number.Versions.Held(); held != 1 {
		t.Errorf("%d versions held with no call left", held)
	}
	p.idle(t)
	p.clean(t)
}

// The answer comes when the call has gone by the donor's route, and when it is over: neither touches it, and the next call
// to the number knows.
func TestPortabilityAnswerThatComesTooLate(t *testing.T) {
	for _, over := range []bool{false, true} {
		p := newPaper(3, 10)
		all := numbered(t, p)
		all[1].delay = 6000 // a call waits for 3000 at most
		number := Called(0, 1)
		all[1].ported[number] = Called(2, 7)
		ref := p.call(1, 0, 0, 1, 30000)
		p.passWith(4000, all)
		if at := reached(p, ref); at != 0 {
			t.Fatalf("without an answer it reached exchange %d, the donor is 0", at)
		}
		if over {
			p.hangUp(ref)
		}
		if !over && !p.sites[1].x.sorted()[0].donor {
			t.Fatal("not marked as gone by the donor's route")
		}
		p.passWith(4000, all)
		if at := reached(p, ref); over != (at == -1) {
			t.Fatalf("over %v: the late answer left it at exchange %d", over, at)
		}
		p.nextCall = 0 // the same line again
		p.callers = map[isup.Reference]*caller{}
		if !over {
			continue
		}
		again := p.call(1, 0, 0, 1, 30000)
		p.passWith(1000, all)
		if at := reached(p, again); at != 2 {
			t.Fatalf("the next call to the number reached exchange %d, it was ported to 2", at)
		}
		p.clean(t)
	}
}

// Exchange 1 believes in a version that leads a number to 2, exchange 2 in one that leads it back to 1: the result found
// where the call began travels, so that no exchange asks its own.
func TestDifferentVersionsCannotMakeACallLoop(t *testing.T) {
	p := newPaper(3, 10)
	all := numbered(t, p)
	load(p, 1, turned(t, 2, 1, 3)) // 1 -> 2
	load(p, 2, turned(t, 3, 0, 3)) // 1 -> 1
	ref := p.call(1, 1, 0, 1, 30000)
	p.passWith(2000, all)
	if at := reached(p, ref); at != 2 {
		t.Fatalf("reached exchange %d", at)
	}
	p.hangUp(ref)
	p.passWith(3000, all)
	p.idle(t)
	p.clean(t)
}

func TestTableWithoutADestinationLeavesStandingCallsAndIsTakenBack(t *testing.T) {
	p := newPaper(3, 20)
	all := numbered(t, p)
	standing := p.call(1, 2, 0, 1, 30000)
	p.passWith(1000, all)
	z, _ := numbers.NewZone("UTC")
	bad := &numbers.Table{Version: 2, Zone: z}
	if err := bad.Build(nil, 3); err != nil {
		t.Fatal(err)
	}
	if err := load(p, 1, bad); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		p.call(1, 2, 0, 1, 30000)
		p.passWith(200, all)
	}
	if v := p.sites[1].x.number.Versions.Current().Version; v != 1 || !p.callers[standing].stands {
		t.Fatalf("version %d is in force, the standing call stands: %v", v, p.callers[standing].stands)
	}
	p.clean(t)
}

// A version comes into force in the very second in which a time rule of both turns: each call goes by one whole version at
// the time it began, never by the new one's route at the old one's hour.
func TestChangeAtTheInstantOfATimeRule(t *testing.T) {
	p := newPaper(3, 20)
	all := numbered(t, p)
	z, _ := numbers.NewZone("UTC")
	turn := p.now/10000/60 + 1 // the next full minute
	timed := func(version uint64, early, late int) *numbers.Table {
		minute := int(turn % 1440)
		tab := &numbers.Table{Version: version, Zone: z, Entries: []numbers.Entry{{Name: "x", Least: 9, Most: 9, Choices: []numbers.Choice{
			{When: &numbers.When{From: minute, To: minute + 60}, Shares: []numbers.Share{{Weight: 1, Exchange: late}}},
			{Shares: []numbers.Share{{Weight: 1, Exchange: early}}}}}}}
		if err := tab.Build([]numbers.Prefix{{Digits: "001", Entry: 0}}, 3); err != nil {
			t.Fatal(err)
		}
		return tab
	}
	p.sites[1].x.Change(p.now, func(n *Numbering) {
		n.Versions.Load(timed(2, 0, 0), 0, 0, p.now)
		if err := n.Versions.Load(timed(3, 1, 2), int64(turn*60), n.Second(p.now), p.now); err != nil {
			t.Fatal(err)
		}
	})
	p.passWith(turn*600000-p.now-100, all)
	before := p.call(1, 1, 0, 1, 30000)
	p.passWith(100, all)
	after := p.call(1, 1, 0, 1, 30000)
	p.passWith(2000, all)
	if a, b := reached(p, before), reached(p, after); a != 0 || b != 2 {
		t.Fatalf("the call before reached %d, the one after %d; 0 and 2 are right, 1 is a mixture", a, b)
	}
}

// Calls, hang-ups, tables changed and taken back, look-ups quick, late and silent, in any order: the rules hold, nothing is
// held when all is over, and every version but the one in force is freed.
func TestRulesHoldWhileTablesAndLookUpsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		p := newPaper(n, 8)
		all := numbered(t, p)
		version := uint64(1)
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			site := rapid.IntRange(0, n-1).Draw(t, "site")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				p.call(site, rapid.IntRange(0, n-1).Draw(t, "dest"), rapid.IntRange(0, 1).Draw(t, "bearer"), 1, policy.Tenths(rapid.IntRange(500, 30000).Draw(t, "ttl")))
			case 3:
				for _, c := range p.callers {
					if c.site == site && !c.left && (c.stands || len(c.answers) == 0) {
						for ref, other := range p.callers {
							if other == c {
								p.hangUp(ref)
							}
						}
						break
					}
				}
			case 4:
				version++
				load(p, site, turned(t, version, rapid.IntRange(0, n-1).Draw(t, "by"), n))
			case 5:
				all[site].delay = rapid.SampledFrom([]policy.Tenths{20, 2000, 8000, -1}).Draw(t, "delay")
			case 6:
				p.sites[site].x.Change(p.now, func(x *Numbering) { x.Versions.Rollback("test", p.now) })
			}
			p.passWith(policy.Tenths(rapid.IntRange(0, 3000).Draw(t, "pass")), all)
		}
		p.clean(t)
		for ref, c := range p.callers {
			if !c.left && (c.stands || len(c.answers) == 0) {
				p.hangUp(ref)
			}
		}
		p.passWith(60000, all)
		p.clean(t)
		p.idle(t)
		for _, s := range p.sites {
			if held := s.x.number.Versions.Held(); held != 1 {
				t.Fatalf("exchange %d holds %d versions with no call", s.no, held)
			}
		}
	})
}
