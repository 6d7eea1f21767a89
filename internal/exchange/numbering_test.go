package exchange

import (
	"fmt"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/numbers"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

// portabilityServers simulates the portability servers of one exchange.
type portabilityServers struct {
	net     *testNetwork
	delay   policy.Tenths // of a reply; negative for no reply
	replies []struct {
		at     policy.Tenths
		id     uint32
		number string
	}
	ported map[string]string
}

// query queues the reply to a portability query.
func (s *portabilityServers) query(id uint32, _ int, number string) {
	if s.delay >= 0 {
		s.replies = append(s.replies, struct {
			at     policy.Tenths
			id     uint32
			number string
		}{s.net.now + s.delay, id, number})
	}
}

// shiftedTable returns a table version that routes numbers 0NN... to exchange (NN+shift) mod n. Numbers of exchange 0 are
// portable.
func shiftedTable(t interface{ Fatal(...any) }, version uint64, shift, n int) *numbers.Table {
	zone, err := numbers.NewZone("UTC")
	if err != nil {
		t.Fatal(err)
	}
	table := &numbers.Table{Version: version, Zone: zone}
	var prefixes []numbers.Prefix
	for exchange := range n {
		table.Routes = append(table.Routes, numbers.Route{Name: fmt.Sprint(exchange), MinDigits: 9, MaxDigits: 9, MayBePorted: exchange == 0,
			Choices: []numbers.Choice{{Shares: []numbers.Share{{Weight: 1, Exchange: (exchange + shift) % n}}}}})
		prefixes = append(prefixes, numbers.Prefix{Digits: fmt.Sprintf("%03d", exchange), Value: uint32(exchange)})
	}
	if err := table.Build(prefixes, n); err != nil {
		t.Fatal(err)
	}
	return table
}

// addNumbering gives every exchange the same number table and simulated portability servers.
func addNumbering(t interface{ Fatal(...any) }, net *testNetwork) []*portabilityServers {
	var all []*portabilityServers
	for _, node := range net.nodes {
		servers := &portabilityServers{net: net, delay: 100, ported: map[string]string{}}
		numbering := &Numbering{Versions: numbers.NewVersions(shiftedTable(t, 1, 0, len(net.nodes)), numbers.Trial{Window: 100000, MaxIncrease: 0.5, MinFailures: 5}),
			Split: numbers.NewDistributor(100), UnixSecond: func(at policy.Tenths) int64 { return int64(at / 10000) },
			Instant: func(second int64) policy.Tenths { return policy.Tenths(second) * 10000 }, Changed: func(*numbers.Table, string) {}}
		var err error
		numbering.Portability, err = numbers.NewPortabilityResolver(numbers.ResolverLimits{MaxKnown: 50, MaxUnknown: 50, MaxAge: 100000, MaxPending: 8, QueryTimeout: 10000, RetryRatio: 0.1}, 1,
			node.exchange.PortabilityNet(servers.query))
		if err != nil {
			t.Fatal(err)
		}
		node.exchange.SetNumbering(numbering)
		all = append(all, servers)
	}
	return all
}

// deliverReplies delivers the portability replies that are due.
func deliverReplies(net *testNetwork, all []*portabilityServers) {
	for i, servers := range all {
		pending := servers.replies[:0]
		for _, reply := range servers.replies {
			if reply.at > net.now {
				pending = append(pending, reply)
				continue
			}
			to, ported := servers.ported[reply.number]
			net.nodes[i].exchange.UpdateNumbering(net.now, func(n *Numbering) {
				n.Portability.HandleAnswer(net.now, reply.id, numbers.Porting{Ported: ported, RoutingNumber: to}, true, 0)
			})
		}
		servers.replies = pending
	}
}

// advanceWith advances the simulated time and delivers portability replies.
func (net *testNetwork) advanceWith(by policy.Tenths, all []*portabilityServers) {
	for end := net.now + by; net.now < end; {
		net.advance(min(100, end-net.now))
		deliverReplies(net, all)
	}
}

// destinationOf returns the exchange where an established call ends, or -1.
func destinationOf(net *testNetwork, ref isup.Reference) int {
	for i, node := range net.nodes {
		for _, call := range node.exchange.calls {
			if call.ref == ref && call.out.hop.Side == Line && call.state == Established {
				return i
			}
		}
	}
	return -1
}

// loadTable loads a table version at an exchange.
func loadTable(net *testNetwork, origin int, t *numbers.Table) (err error) {
	net.nodes[origin].exchange.UpdateNumbering(net.now, func(n *Numbering) { err = n.Versions.Load(t, 0, 0, net.now) })
	return err
}

func TestTableChangeDuringPortabilityQuery(t *testing.T) {
	net := newTestNetwork(3, 10)
	all := addNumbering(t, net)
	all[1].delay = 1500
	ref := net.call(1, 0, 0, 1, 30000) // portable: queried
	net.advanceWith(500, all)
	if err := loadTable(net, 1, shiftedTable(t, 2, 1, 3)); err != nil { // routes the number to exchange 1
		t.Fatal(err)
	}
	other := net.call(1, 1, 0, 1, 30000) // uses the new version, to exchange 2
	net.advanceWith(3000, all)
	if at := destinationOf(net, ref); at != 0 {
		t.Errorf("a call started with version 1 reached exchange %d", at)
	}
	if at := destinationOf(net, other); at != 2 {
		t.Errorf("a call started with version 2 reached exchange %d", at)
	}
	if held := net.nodes[1].exchange.numbering.Versions.HeldCount(); held != 2 {
		t.Errorf("%d versions held while calls use two", held)
	}
	net.hangUp(ref)
	net.hangUp(other)
	net.advanceWith(5000, all)
	if held := net.nodes[1].exchange.numbering.Versions.HeldCount(); held != 1 {
		t.Errorf("%d versions held with no call left", held)
	}
	net.requireIdle(t)
	net.requireNoViolations(t)
}

// A late portability reply, received after the call was routed by the donor exchange or has ended, must not affect that
// call. The next call to the number uses it.
func TestLatePortabilityReply(t *testing.T) {
	for _, ended := range []bool{false, true} {
		net := newTestNetwork(3, 10)
		all := addNumbering(t, net)
		all[1].delay = 6000 // a call waits 3000 at most
		number := LineNumber(0, 1)
		all[1].ported[number] = LineNumber(2, 7)
		ref := net.call(1, 0, 0, 1, 30000)
		net.advanceWith(4000, all)
		if at := destinationOf(net, ref); at != 0 {
			t.Fatalf("reached exchange %d without a reply, want the donor exchange 0", at)
		}
		if ended {
			net.hangUp(ref)
		}
		if !ended && !net.nodes[1].exchange.callsByID()[0].donorRouted {
			t.Fatal("call not marked as routed by the donor exchange")
		}
		net.advanceWith(4000, all)
		if at := destinationOf(net, ref); ended != (at == -1) {
			t.Fatalf("call ended %v: after the late reply it is at exchange %d", ended, at)
		}
		net.nextCall = 0 // the same line again
		net.callers = map[isup.Reference]*caller{}
		if !ended {
			continue
		}
		again := net.call(1, 0, 0, 1, 30000)
		net.advanceWith(1000, all)
		if at := destinationOf(net, again); at != 2 {
			t.Fatalf("the next call to the number reached exchange %d, want 2", at)
		}
		net.requireNoViolations(t)
	}
}

// With different table versions, exchange 1 routes a number to 2 and exchange 2 routes it back to 1. The call must not
// loop: the set-up carries the result of the originating exchange, and other exchanges don't analyse the number again.
func TestDifferentVersionsCannotMakeACallLoop(t *testing.T) {
	net := newTestNetwork(3, 10)
	all := addNumbering(t, net)
	loadTable(net, 1, shiftedTable(t, 2, 1, 3)) // 1 -> 2
	loadTable(net, 2, shiftedTable(t, 3, 0, 3)) // 1 -> 1
	ref := net.call(1, 1, 0, 1, 30000)
	net.advanceWith(2000, all)
	if at := destinationOf(net, ref); at != 2 {
		t.Fatalf("reached exchange %d", at)
	}
	net.hangUp(ref)
	net.advanceWith(3000, all)
	net.requireIdle(t)
	net.requireNoViolations(t)
}

func TestTableWithoutADestinationIsRolledBackAndLeavesEstablishedCalls(t *testing.T) {
	net := newTestNetwork(3, 20)
	all := addNumbering(t, net)
	establishedCall := net.call(1, 2, 0, 1, 30000)
	net.advanceWith(1000, all)
	zone, _ := numbers.NewZone("UTC")
	bad := &numbers.Table{Version: 2, Zone: zone}
	if err := bad.Build(nil, 3); err != nil {
		t.Fatal(err)
	}
	if err := loadTable(net, 1, bad); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		net.call(1, 2, 0, 1, 30000)
		net.advanceWith(200, all)
	}
	if v := net.nodes[1].exchange.numbering.Versions.Current().Version; v != 1 || !net.callers[establishedCall].established {
		t.Fatalf("version %d is in force, the call is established: %v", v, net.callers[establishedCall].established)
	}
	net.requireNoViolations(t)
}

// A table version takes effect at the instant at which a time rule of both versions changes. Each call must use one
// version and the time at which it started, never the route of the new version for the time before.
func TestChangeAtTheInstantOfATimeRule(t *testing.T) {
	net := newTestNetwork(3, 20)
	all := addNumbering(t, net)
	zone, _ := numbers.NewZone("UTC")
	changeMinute := net.now/10000/60 + 1 // the next full minute
	timed := func(version uint64, early, late int) *numbers.Table {
		minute := int(changeMinute % 1440)
		table := &numbers.Table{Version: version, Zone: zone, Routes: []numbers.Route{{Name: "x", MinDigits: 9, MaxDigits: 9, Choices: []numbers.Choice{
			{Schedule: &numbers.Schedule{FromMinute: minute, ToMinute: minute + 60}, Shares: []numbers.Share{{Weight: 1, Exchange: late}}},
			{Shares: []numbers.Share{{Weight: 1, Exchange: early}}}}}}}
		if err := table.Build([]numbers.Prefix{{Digits: "001", Value: 0}}, 3); err != nil {
			t.Fatal(err)
		}
		return table
	}
	net.nodes[1].exchange.UpdateNumbering(net.now, func(n *Numbering) {
		n.Versions.Load(timed(2, 0, 0), 0, 0, net.now)
		if err := n.Versions.Load(timed(3, 1, 2), int64(changeMinute*60), n.UnixSecond(net.now), net.now); err != nil {
			t.Fatal(err)
		}
	})
	net.advanceWith(changeMinute*600000-net.now-100, all)
	before := net.call(1, 1, 0, 1, 30000)
	net.advanceWith(100, all)
	after := net.call(1, 1, 0, 1, 30000)
	net.advanceWith(2000, all)
	if a, b := destinationOf(net, before), destinationOf(net, after); a != 0 || b != 2 {
		t.Fatalf("the call before reached %d, the one after %d; want 0 and 2, 1 mixes both versions", a, b)
	}
}

// Runs calls, releases, table changes, rollbacks and portability replies of any delay in random order. The call rules must
// hold, and in the end no circuit, call or line and no table version but the current one may be held.
func TestRulesHoldDuringTableChangesAndPortabilityQueries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		net := newTestNetwork(n, 8)
		all := addNumbering(t, net)
		version := uint64(1)
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			origin := rapid.IntRange(0, n-1).Draw(t, "site")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				net.call(origin, rapid.IntRange(0, n-1).Draw(t, "dest"), rapid.IntRange(0, 1).Draw(t, "bearer"), 1,
					policy.Tenths(rapid.IntRange(500, 30000).Draw(t, "ttl")))
			case 3:
				for _, c := range net.callers {
					if c.origin == origin && !c.abandoned && (c.established || len(c.answers) == 0) {
						for ref, other := range net.callers {
							if other == c {
								net.hangUp(ref)
							}
						}
						break
					}
				}
			case 4:
				version++
				loadTable(net, origin, shiftedTable(t, version, rapid.IntRange(0, n-1).Draw(t, "by"), n))
			case 5:
				all[origin].delay = rapid.SampledFrom([]policy.Tenths{20, 2000, 8000, -1}).Draw(t, "delay")
			case 6:
				net.nodes[origin].exchange.UpdateNumbering(net.now, func(x *Numbering) { x.Versions.Rollback("test", net.now) })
			}
			net.advanceWith(policy.Tenths(rapid.IntRange(0, 3000).Draw(t, "pass")), all)
		}
		net.requireNoViolations(t)
		for ref, c := range net.callers {
			if !c.abandoned && (c.established || len(c.answers) == 0) {
				net.hangUp(ref)
			}
		}
		net.advanceWith(60000, all)
		net.requireNoViolations(t)
		net.requireIdle(t)
		for _, node := range net.nodes {
			if held := node.exchange.numbering.Versions.HeldCount(); held != 1 {
				t.Fatalf("exchange %d holds %d versions without a call", node.number, held)
			}
		}
	})
}
