// Package site reads and validates the settings of one exchange. docs/operators.md lists each setting with its unit and
// default.
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
	maxExchanges = 999 // called numbers start with three digits for the exchange
	maxDuration  = 24 * time.Hour
	maxLines     = 1_000_000 // called numbers end with six digits for the line
	maxEndpoints = 256 * (isup.MaxCIC + 1)
)

// Read reads a site file. The error has a line for each fault, with file, line, column and reason.
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
	s.ExchangeCount = b.Int("exchanges", 2, maxExchanges, 1)
	d.OwnExchange = b.Int("exchange", 0, maxExchanges-1, -1)
	if d.OwnExchange >= s.ExchangeCount {
		b.AddErrorAt("exchange", "exchange %d is out of range: exchanges are numbered below %d", d.OwnExchange, s.ExchangeCount)
	}
	d.Seed = uint64(b.Int("seed", 0, math.MaxInt32, 1))
	s.OwnSwitchAddress = b.Address("own_switch", false)
	s.RegisterAddress = b.Address("register", false)
	ParseRules(b, d)
	queues := b.SingleBlock("queues", false)
	s.InboxSize = queues.Int("inbox", 16, 1<<20, 8192)
	s.MaxLinkOctets = queues.Int("link_octets", 4096, 1<<30, 1<<20)
	queues.CheckUnknown()
	s.LedgerFile = b.Text("ledger", false, "")
	if b.Has("control") {
		s.ControlAddress = b.Address("control", true)
	}
	if all := b.Blocks("numbers", false); len(all) > 0 {
		s.NumberAnalysis = parseNumberAnalysis(b.SingleBlock("numbers", false))
	}
	names := map[string]int{}
	d.Bearers = ParseBearers(b, func(n *hclread.Block) { names[n.Label] = len(names) })
	if len(b.Blocks("gateways", false)) > 0 {
		s.Gateways = parseGateways(b.SingleBlock("gateways", false), d, names)
	}
	seen := map[int]bool{}
	for _, n := range b.Blocks("neighbour", true) {
		near := control.Neighbour{Neighbour: exchange.Neighbour{Number: n.Int("exchange", 0, maxExchanges-1, -1),
			Circuits: n.Int("circuits", 1, circuit.MaxCircuits, 0)}, Address: n.Address("address", false)}
		switch {
		case near.Number >= s.ExchangeCount:
			n.AddErrorAt("exchange", "the group %q has no far end: exchanges are numbered below %d", n.Label, s.ExchangeCount)
		case near.Number == d.OwnExchange:
			n.AddErrorAt("exchange", "the group %q leads to this exchange itself", n.Label)
		case seen[near.Number]:
			n.AddErrorAt("exchange", "exchange %d already has a trunk group", near.Number)
		}
		seen[near.Number] = true
		s.Neighbours = append(s.Neighbours, near)
		n.CheckUnknown()
	}
	b.CheckUnknown()
	return s
}

// ParseRules reads the settings of tries, releases, drains and cold starts, which site and day files share.
func ParseRules(b *hclread.Block, d *policy.Deployment) {
	d.MaxTries = b.Int("tries", 1, 16, 4)
	d.ReleaseTime = b.Duration("release_time", 0, time.Minute, 300*time.Millisecond)
	d.MaxRetryAfter = b.Duration("come_back_most", 0, time.Hour, 0)
	d.DrainGrace = b.Duration("drain_grace", 0, time.Minute, 250*time.Millisecond)
	d.CancelsAllowed = b.Bool("cancels", true)
	cold := b.SingleBlock("cold", false)
	d.InitialCapacity = cold.Float("from", 0.01, 1, 0.3)
	d.RampTime = cold.Duration("ramp", 0, time.Hour, 14*time.Second)
	d.OverloadMultiple = cold.Float("fall_multiple", 1, 100, 3)
	d.OverloadWindow = cold.Duration("fall_window", time.Millisecond, time.Minute, 1500*time.Millisecond)
	cold.CheckUnknown()
}

// ParseBearers reads the bearer types in file order; more reads further settings of a block and may be nil.
func ParseBearers(b *hclread.Block, more func(*hclread.Block)) []policy.Bearer {
	var all []policy.Bearer
	seen := map[string]bool{}
	for _, n := range b.Blocks("bearer", true) {
		if seen[n.Label] {
			n.AddError("bearer type %q is defined twice", n.Label)
		}
		seen[n.Label] = true
		t := policy.Bearer{Revenue: n.Float("revenue", 0, 1e6, math.NaN()), LateShare: n.Float("late_share", 0, 1, 0),
			GoSTarget: n.Duration("gos_target", time.Millisecond, maxDuration, -1), AbandonTime: n.Duration("abandon", time.Millisecond, maxDuration, -1)}
		if t.GoSTarget > t.AbandonTime {
			n.AddErrorAt("gos_target", "gos_target is longer than abandon")
		}
		all = append(all, t)
		if more != nil {
			more(n)
		}
		n.CheckUnknown()
	}
	if len(all) == 0 || len(all) > 255 {
		b.AddError("%d bearer types, there must be 1 to 255", len(all))
	}
	return all
}

// parseGateways reads the settings of MGCP gateways.
func parseGateways(b *hclread.Block, d *policy.Deployment, bearers map[string]int) *control.Gateways {
	g := &control.Gateways{ListenAddress: b.Address("listen", false)}
	g.OwnExchange, g.PointCode, g.Seed = d.OwnExchange, exchange.PointCode(d.OwnExchange), d.Seed
	g.MaxDialTime = b.Duration("dial_most", time.Second, time.Hour, 20*time.Second)
	g.MaxRingTime = b.Duration("ring_most", time.Second, time.Hour, time.Minute)
	g.RestartRate = b.Float("restarts_per_second", 0.1, 1e6, 200)
	g.MaxQueuedRestarts = b.Int("restarts_queue", 1, 1<<20, 16384)
	g.MediaAddress = b.Text("media", false, "127.0.0.1")
	if _, err := netip.ParseAddr(g.MediaAddress); err != nil {
		b.AddErrorAt("media", "%q is not an address", g.MediaAddress)
	}
	var err error
	if g.DigitMap, err = mgcp.ParseDigitMap(b.Text("digit_map", false, "(xxxxxxxxx)")); err != nil {
		b.AddErrorAt("digit_map", "%v", err)
	}
	g.NotifiedEntities = b.TextList("notified")
	g.OwnEntityIndex = b.Int("notified_self", 0, max(0, len(g.NotifiedEntities)-1), 0)
	for _, t := range d.Bearers {
		g.AbandonTimes = append(g.AbandonTimes, t.AbandonTime)
		if g.GoSTarget == 0 || t.GoSTarget < g.GoSTarget {
			g.GoSTarget = t.GoSTarget
		}
	}
	names, lines := map[string]bool{}, map[int]string{}
	for _, n := range b.Blocks("gateway", true) {
		one := callagent.Gateway{Name: n.Text("name", false, n.Label), Endpoints: n.Int("endpoints", 1, 4096, 0), Width: n.Int("width", 1, isup.MaxWidth, 1),
			FirstLine: n.Int("first_line", 0, maxLines-1, -1)}
		for _, text := range n.TextList("addresses") {
			at, err := netip.ParseAddrPort(text)
			if err != nil {
				n.AddErrorAt("addresses", "%q is not an address with a port", text)
			}
			one.Addresses = append(one.Addresses, at)
		}
		bearer, ok := bearers[n.Text("bearer", true, "")]
		if !ok {
			n.AddErrorAt("bearer", "unknown bearer type")
		}
		one.BearerIndex = bearer
		switch {
		case names[strings.ToLower(one.Name)]:
			n.AddError("gateway %q is defined twice", one.Name)
		case one.FirstLine+one.Endpoints > maxLines:
			n.AddErrorAt("endpoints", "lines %d to %d are out of range: lines are numbered below %d", one.FirstLine, one.FirstLine+one.Endpoints-1, maxLines)
		}
		names[strings.ToLower(one.Name)] = true
		for line := one.FirstLine; line < one.FirstLine+one.Endpoints; line++ {
			if other, taken := lines[line]; taken {
				n.AddErrorAt("first_line", "line %d already belongs to gateway %q", line, other)
				break
			}
			lines[line] = n.Label
		}
		n.CheckUnknown()
		g.Gateways = append(g.Gateways, one)
	}
	if len(lines) > maxEndpoints {
		b.AddError("%d endpoints, the maximum is %d", len(lines), maxEndpoints)
	}
	b.CheckUnknown()
	return g
}

// parseNumberAnalysis reads the settings of number analysis.
func parseNumberAnalysis(b *hclread.Block) *control.NumberAnalysis {
	n := &control.NumberAnalysis{StoreFolder: b.Text("store", true, ""), InitialTable: b.Text("table", false, ""), MaxCallers: b.Int("callers", 1, 1<<24, 100000),
		Trial: numbers.Trial{Window: b.Duration("trial_window", 0, maxDuration, time.Minute), MaxIncrease: b.Float("trial_bound", 0, 1, 0.2),
			MinFailures: b.Int("trial_least", 1, 1<<30, 20)}}
	p := b.SingleBlock("portability", false)
	if n.ENUMServers = p.TextList("servers"); len(n.ENUMServers) != 0 && len(n.ENUMServers) != 2 {
		p.AddErrorAt("servers", "%d servers, there must be two (a single one is listed twice)", len(n.ENUMServers))
	}
	for _, a := range n.ENUMServers {
		if _, err := netip.ParseAddrPort(a); err != nil {
			p.AddErrorAt("servers", "%q is not an address with a port", a)
		}
	}
	if n.ENUMZone = p.Text("zone", false, "e164.arpa."); !strings.HasSuffix(n.ENUMZone, ".") {
		n.ENUMZone += "."
	}
	n.Limits = numbers.ResolverLimits{MaxKnown: p.Int("known", 1, 1<<26, 100000), MaxUnknown: p.Int("unknown", 1, 1<<26, 10000),
		MaxAge: p.Duration("age", time.Second, maxDuration, time.Hour), MaxPending: p.Int("out", 1, 1<<16, 256),
		QueryTimeout: p.Duration("time_out", time.Millisecond, time.Minute, time.Second), RetryRatio: p.Float("retry_share", 0, 1, 0.1)}
	p.CheckUnknown()
	b.CheckUnknown()
	return n
}
