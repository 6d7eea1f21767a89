package exchange

import (
	"fmt"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/numbers"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

// bureau simulates the portability servers of one exchange.
type bureau struct {
	p     *paper
	delay policy.Tenths // of a reply; negative for no reply
	on    []struct {
		at     policy.Tenths
		id     uint32
		number string
	}
	ported map[string]string
}

// query queues the reply to a portability query.
func (b *bureau) query(id uint32, _ int, number string) {
	if b.delay >= 0 {
		b.on = append(b.on, struct {
			at     policy.Tenths
			id     uint32
			number string
		}{b.p.now + b.delay, id, number})
	}
}

// turned returns a table version that routes numbers 0NN... to exchange (NN+by) mod n. Numbers of exchange 0 are portable.
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

// numbered gives every exchange the same number table and simulated portability servers.
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

// answer delivers the portability replies that are due.
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

// passWith advances the simulated time and delivers portability replies.
func (p *paper) passWith(by policy.Tenths, all []*bureau) {
	for end := p.now + by; p.now < end; {
		p.pass(min(100, end-p.now))
		answer(p, all)
	}
}

// reached returns the exchange where an established call ends, or -1.
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

// load loads a table version at an exchange.
func load(p *paper, site int, t *numbers.Table) (err error) {
	p.sites[site].x.Change(p.now, func(n *Numbering) { err = n.Versions.Load(t, 0, 0, p.now) })
	return err
}

func TestTableChangedWhileALookUpIsOut(t *testing.T) {
	p := newPaper(3, 10)
	all := numbered(t, p)
	all[1].delay = 1500
	ref := p.call(1, 0, 0, 1, 30000) // portable: queried
	p.passWith(500, all)
	if err := load(p, 1, turned(t, 2, 1, 3)); err != nil { // routes the number to exchange 1
		t.Fatal(err)
	}
	other := p.call(1, 1, 0, 1, 30000) // uses the new version, to exchange 2
	p.passWith(3000, all)
	if at := reached(p, ref); at != 0 {
		t.Errorf("a call started with version 1 reached exchange %d", at)
	}
	if at := reached(p, other); at != 2 {
		t.Errorf("a call started with version 2 reached exchange %d", at)
	}
	if held := p.sites[1].x.number.Versions.Held(); held != 2 {
		t.Errorf("%d versions held while calls use two", held)
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

// A late portability reply, received after the call was routed by the donor exchange or has ended, must not affect that
// call. The next call to the number uses it.
func TestPortabilityAnswerThatComesTooLate(t *testing.T) {
	for _, over := range []bool{false, true} {
		p := newPaper(3, 10)
		all := numbered(t, p)
		all[1].delay = 6000 // a call waits 3000 at most
		number := Called(0, 1)
		all[1].ported[number] = Called(2, 7)
		ref := p.call(1, 0, 0, 1, 30000)
		p.passWith(4000, all)
		if at := reached(p, ref); at != 0 {
			t.Fatalf("reached exchange %d without a reply, want the donor exchange 0", at)
		}
		if over {
			p.hangUp(ref)
		}
		if !over && !p.sites[1].x.sorted()[0].donor {
			t.Fatal("call not marked as routed by the donor exchange")
		}
		p.passWith(4000, all)
		if at := reached(p, ref); over != (at == -1) {
			t.Fatalf("call ended %v: after the late reply it is at exchange %d", over, at)
		}
		p.nextCall = 0 // the same line again
		p.callers = map[isup.Reference]*caller{}
		if !over {
			continue
		}
		again := p.call(1, 0, 0, 1, 30000)
		p.passWith(1000, all)
		if at := reached(p, again); at != 2 {
			t.Fatalf("the next call to the number reached exchange %d, want 2", at)
		}
		p.clean(t)
	}
}

// With different table versions, exchange 1 routes a number to 2 and exchange 2 routes it back to 1. The call must not
// loop: the set-up carries the result of the originating exchange, and other exchanges don't analyse the number again.
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
		t.Fatalf("version %d is in force, the call is established: %v", v, p.callers[standing].stands)
	}
	p.clean(t)
}

// A table version takes effect at the instant at which a time rule of both versions changes. Each call must use one
// version and the time at which it started, never the route of the new version for the time before.
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
		t.Fatalf("the call before reached %d, the one after %d; want 0 and 2, 1 mixes both versions", a, b)
	}
}

// Runs calls, releases, table changes, rollbacks and portability replies of any delay in random order. The call rules must
// hold, and in the end no circuit, call or line and no table version but the current one may be held.
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
				t.Fatalf("exchange %d holds %d versions without a call", s.no, held)
			}
		}
	})
}
