// Package site reads the settings of one exchange and checks them before anything starts. docs/operators.md lists each
// with its unit and what holds when it is left out.
package site

import (
	"math"
	"net/netip"
	"strings"
	"time"

	"indigodrift/internal/callagent"
	"indigodrift/internal/circuit"
	"indigodrift/internal/control"
	"indigodrift/internal/exchange"
	"indigodrift/internal/hclread"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/internal/numbers"
	"indigodrift/policy"
)

const (
	exchangesMost = 999 // called numbers begin with three digits of the exchange
	forever       = 24 * time.Hour
	linesMost     = 1_000_000 // called numbers end with six digits of the line
	agentLines    = 256 * (isup.MaxCIC + 1)
)

// Read takes a site file. Its error has a line for each fault, with file, line, column and reason.
func Read(name string) (control.Config, error) {
	f, b, err := hclread.Open(name)
	if err != nil {
		return control.Config{}, err
	}
	s := parse(b)
	return s, f.Err()
}

func parse(b *hclread.Block) control.Config {
	var s control.Config
	d := &s.Deployment
	s.ExchangeCount = b.Whole("exchanges", 2, exchangesMost, 1)
	d.OwnExchange = b.Whole("exchange", 0, exchangesMost-1, -1)
	if d.OwnExchange >= s.ExchangeCount {
		b.FaultAt("exchange", "exchange %d, but exchanges are numbered below %d", d.OwnExchange, s.ExchangeCount)
	}
	d.Seed = uint64(b.Whole("seed", 0, math.MaxInt32, 1))
	s.OwnSwitchAddress = b.Address("own_switch", false)
	s.RegisterAddress = b.Address("register", false)
	Rules(b, d)
	queues := b.Only("queues", false)
	s.InboxSize = queues.Whole("inbox", 16, 1<<20, 8192)
	s.MaxLinkOctets = queues.Whole("link_octets", 4096, 1<<30, 1<<20)
	queues.Done()
	s.LedgerFile = b.Text("ledger", false, "")
	if b.Has("control") {
		s.ControlAddress = b.Address("control", true)
	}
	if all := b.Blocks("numbers", false); len(all) > 0 {
		s.NumberAnalysis = numbering(b.Only("numbers", false))
	}
	names := map[string]int{}
	d.Bearers = Bearers(b, func(n *hclread.Block) { names[n.Label] = len(names) })
	if len(b.Blocks("gateways", false)) > 0 {
		s.Gateways = gateways(b.Only("gateways", false), d, names)
	}
	seen := map[int]bool{}
	for _, n := range b.Blocks("neighbour", true) {
		near := control.Neighbour{Neighbour: exchange.Neighbour{Number: n.Whole("exchange", 0, exchangesMost-1, -1),
			Circuits: n.Whole("circuits", 1, circuit.MaxCircuits, 0)}, Address: n.Address("address", false)}
		switch {
		case near.Number >= s.ExchangeCount:
			n.FaultAt("exchange", "the group %q has no far end: exchanges are numbered below %d", n.Label, s.ExchangeCount)
		case near.Number == d.OwnExchange:
			n.FaultAt("exchange", "the group %q leads to this exchange itself", n.Label)
		case seen[near.Number]:
			n.FaultAt("exchange", "exchange %d has a group already", near.Number)
		}
		seen[near.Number] = true
		s.Neighbours = append(s.Neighbours, near)
		n.Done()
	}
	b.Done()
	return s
}

// Rules reads what site and day files say alike of tries, releases, drains and cold starts.
func Rules(b *hclread.Block, d *policy.Deployment) {
	d.MaxTries = b.Whole("tries", 1, 16, 4)
	d.ReleaseTime = b.Span("release_time", 0, time.Minute, 300*time.Millisecond)
	d.MaxRetryAfter = b.Span("come_back_most", 0, time.Hour, 0)
	d.DrainGrace = b.Span("drain_grace", 0, time.Minute, 250*time.Millisecond)
	d.CancelsAllowed = b.Flag("cancels", true)
	cold := b.Only("cold", false)
	d.InitialCapacity = cold.Number("from", 0.01, 1, 0.3)
	d.RampTime = cold.Span("ramp", 0, time.Hour, 14*time.Second)
	d.OverloadMultiple = cold.Number("fall_multiple", 1, 100, 3)
	d.OverloadWindow = cold.Span("fall_window", time.Millisecond, time.Minute, 1500*time.Millisecond)
	cold.Done()
}

// Bearers reads the bearer types, in the order written; more reads what else may stand in one.
func Bearers(b *hclread.Block, more func(*hclread.Block)) []policy.Bearer {
	var all []policy.Bearer
	seen := map[string]bool{}
	for _, n := range b.Blocks("bearer", true) {
		if seen[n.Label] {
			n.Fault("bearer type %q stands twice", n.Label)
		}
		seen[n.Label] = true
		t := policy.Bearer{Revenue: n.Number("revenue", 0, 1e6, math.NaN()), LateShare: n.Number("late_share", 0, 1, 0),
			GoSTarget: n.Span("gos_target", time.Millisecond, forever, -1), AbandonTime: n.Span("abandon", time.Millisecond, forever, -1)}
		if t.GoSTarget > t.AbandonTime {
			n.FaultAt("gos_target", "gos_target is longer than abandon")
		}
		all = append(all, t)
		if more != nil {
			more(n)
		}
		n.Done()
	}
	if len(all) == 0 || len(all) > 255 {
		b.Fault("%d bearer types, 1 to 255 are needed", len(all))
	}
	return all
}

// gateways reads what a site says of its MGCP gateways.
func gateways(b *hclread.Block, d *policy.Deployment, bearers map[string]int) *control.Gateways {
	g := &control.Gateways{ListenAddress: b.Address("listen", false)}
	g.OwnExchange, g.PointCode, g.Seed = d.OwnExchange, exchange.PointCode(d.OwnExchange), d.Seed
	g.MaxDialTime = b.Span("dial_most", time.Second, time.Hour, 20*time.Second)
	g.MaxRingTime = b.Span("ring_most", time.Second, time.Hour, time.Minute)
	g.RestartRate = b.Number("restarts_per_second", 0.1, 1e6, 200)
	g.MaxQueuedRestarts = b.Whole("restarts_queue", 1, 1<<20, 16384)
	g.MediaAddress = b.Text("media", false, "127.0.0.1")
	if _, err := netip.ParseAddr(g.MediaAddress); err != nil {
		b.FaultAt("media", "%q is not an address", g.MediaAddress)
	}
	var err error
	if g.DigitMap, err = mgcp.ParseDigitMap(b.Text("digit_map", false, "(xxxxxxxxx)")); err != nil {
		b.FaultAt("digit_map", "%v", err)
	}
	g.NotifiedEntities = b.Texts("notified")
	g.OwnEntityIndex = b.Whole("notified_self", 0, max(0, len(g.NotifiedEntities)-1), 0)
	for _, t := range d.Bearers {
		g.AbandonTimes = append(g.AbandonTimes, t.AbandonTime)
		if g.GoSTarget == 0 || t.GoSTarget < g.GoSTarget {
			g.GoSTarget = t.GoSTarget
		}
	}
	names, lines := map[string]bool{}, map[int]string{}
	for _, n := range b.Blocks("gateway", true) {
		one := callagent.Gateway{Name: n.Text("name", false, n.Label), Endpoints: n.Whole("endpoints", 1, 4096, 0), Width: n.Whole("width", 1, isup.MaxWidth, 1),
			FirstLine: n.Whole("first_line", 0, linesMost-1, -1)}
		for _, text := range n.Texts("addresses") {
			at, err := netip.ParseAddrPort(text)
			if err != nil {
				n.FaultAt("addresses", "%q is not an address with a port", text)
			}
			one.Addresses = append(one.Addresses, at)
		}
		bearer, ok := bearers[n.Text("bearer", true, "")]
		if !ok {
			n.FaultAt("bearer", "there is no such bearer type")
		}
		one.BearerIndex = bearer
		switch {
		case names[strings.ToLower(one.Name)]:
			n.Fault("a gateway named %q stands twice", one.Name)
		case one.FirstLine+one.Endpoints > linesMost:
			n.FaultAt("endpoints", "lines %d to %d, but numbers of lines are below %d", one.FirstLine, one.FirstLine+one.Endpoints-1, linesMost)
		}
		names[strings.ToLower(one.Name)] = true
		for line := one.FirstLine; line < one.FirstLine+one.Endpoints; line++ {
			if other, taken := lines[line]; taken {
				n.FaultAt("first_line", "line %d belongs to gateway %q already", line, other)
				break
			}
			lines[line] = n.Label
		}
		n.Done()
		g.Gateways = append(g.Gateways, one)
	}
	if len(lines) > agentLines {
		b.Fault("%d endpoints, %d at most", len(lines), agentLines)
	}
	b.Done()
	return g
}

// numbering reads what a site says of number analysis.
func numbering(b *hclread.Block) *control.NumberAnalysis {
	n := &control.NumberAnalysis{StoreFolder: b.Text("store", true, ""), InitialTable: b.Text("table", false, ""), MaxCallers: b.Whole("callers", 1, 1<<24, 100000),
		Trial: numbers.Trial{Window: b.Span("trial_window", 0, forever, time.Minute), MaxIncrease: b.Number("trial_bound", 0, 1, 0.2),
			MinFailures: b.Whole("trial_least", 1, 1<<30, 20)}}
	p := b.Only("portability", false)
	if n.ENUMServers = p.Texts("servers"); len(n.ENUMServers) != 0 && len(n.ENUMServers) != 2 {
		p.FaultAt("servers", "%d servers, two are needed (the same twice where there is one)", len(n.ENUMServers))
	}
	for _, a := range n.ENUMServers {
		if _, err := netip.ParseAddrPort(a); err != nil {
			p.FaultAt("servers", "%q is not an address with a port", a)
		}
	}
	if n.ENUMZone = p.Text("zone", false, "e164.arpa."); !strings.HasSuffix(n.ENUMZone, ".") {
		n.ENUMZone += "."
	}
	n.Limits = numbers.ResolverLimits{MaxKnown: p.Whole("known", 1, 1<<26, 100000), MaxUnknown: p.Whole("unknown", 1, 1<<26, 10000),
		MaxAge: p.Span("age", time.Second, forever, time.Hour), MaxPending: p.Whole("out", 1, 1<<16, 256),
		QueryTimeout: p.Span("time_out", time.Millisecond, time.Minute, time.Second), RetryRatio: p.Number("retry_share", 0, 1, 0.1)}
	p.Done()
	b.Done()
	return n
}
