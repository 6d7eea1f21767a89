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
	file, root, err := hclread.Open(name)
	if err != nil {
		return control.Config{}, err
	}
	config := parse(root)
	return config, file.Err()
}

func parse(root *hclread.Block) control.Config {
	var config control.Config
	deployment := &config.Deployment
	config.ExchangeCount = root.Int("exchanges", 2, maxExchanges, 1)
	deployment.OwnExchange = root.Int("exchange", 0, maxExchanges-1, -1)
	if deployment.OwnExchange >= config.ExchangeCount {
		root.AddErrorAt("exchange", "exchange %d is out of range: exchanges are numbered below %d", deployment.OwnExchange, config.ExchangeCount)
	}
	deployment.Seed = uint64(root.Int("seed", 0, math.MaxInt32, 1))
	config.OwnSwitchAddress = root.Address("own_switch", false)
	config.RegisterAddress = root.Address("register", false)
	ParseRules(root, deployment)
	queues := root.SingleBlock("queues", false)
	config.InboxSize = queues.Int("inbox", 16, 1<<20, 8192)
	config.MaxLinkOctets = queues.Int("link_octets", 4096, 1<<30, 1<<20)
	queues.CheckUnknown()
	config.LedgerFile = root.Text("ledger", false, "")
	if root.Has("control") {
		config.ControlAddress = root.Address("control", true)
	}
	if blocks := root.Blocks("numbers", false); len(blocks) > 0 {
		config.NumberAnalysis = parseNumberAnalysis(root.SingleBlock("numbers", false))
	}
	bearerIndex := map[string]int{}
	deployment.Bearers = ParseBearers(root, func(block *hclread.Block) { bearerIndex[block.Label] = len(bearerIndex) })
	if len(root.Blocks("gateways", false)) > 0 {
		config.Gateways = parseGateways(root.SingleBlock("gateways", false), deployment, bearerIndex)
	}
	seen := map[int]bool{}
	for _, block := range root.Blocks("neighbour", true) {
		neighbour := control.Neighbour{Neighbour: exchange.Neighbour{Number: block.Int("exchange", 0, maxExchanges-1, -1),
			Circuits: block.Int("circuits", 1, circuit.MaxCircuits, 0)}, Address: block.Address("address", false)}
		switch {
		case neighbour.Number >= config.ExchangeCount:
			block.AddErrorAt("exchange", "the group %q has no far end: exchanges are numbered below %d", block.Label, config.ExchangeCount)
		case neighbour.Number == deployment.OwnExchange:
			block.AddErrorAt("exchange", "the group %q leads to its own exchange", block.Label)
		case seen[neighbour.Number]:
			block.AddErrorAt("exchange", "exchange %d already has a trunk group", neighbour.Number)
		}
		seen[neighbour.Number] = true
		config.Neighbours = append(config.Neighbours, neighbour)
		block.CheckUnknown()
	}
	root.CheckUnknown()
	return config
}

// ParseRules reads the settings of tries, releases, drains and cold starts, which site and day files share.
func ParseRules(root *hclread.Block, deployment *policy.Deployment) {
	deployment.MaxTries = root.Int("tries", 1, 16, 4)
	deployment.ReleaseTime = root.Duration("release_time", 0, time.Minute, 300*time.Millisecond)
	deployment.MaxRetryAfter = root.Duration("come_back_most", 0, time.Hour, 0)
	deployment.DrainGrace = root.Duration("drain_grace", 0, time.Minute, 250*time.Millisecond)
	deployment.CancelsAllowed = root.Bool("cancels", true)
	cold := root.SingleBlock("cold", false)
	deployment.InitialCapacity = cold.Float("from", 0.01, 1, 0.3)
	deployment.RampTime = cold.Duration("ramp", 0, time.Hour, 14*time.Second)
	deployment.OverloadMultiple = cold.Float("fall_multiple", 1, 100, 3)
	deployment.OverloadWindow = cold.Duration("fall_window", time.Millisecond, time.Minute, 1500*time.Millisecond)
	cold.CheckUnknown()
}

// ParseBearers reads the bearer types in file order. readMore, if not nil, reads further settings of each block.
func ParseBearers(root *hclread.Block, readMore func(*hclread.Block)) []policy.Bearer {
	var bearers []policy.Bearer
	seen := map[string]bool{}
	for _, block := range root.Blocks("bearer", true) {
		if seen[block.Label] {
			block.AddError("bearer type %q is defined twice", block.Label)
		}
		seen[block.Label] = true
		bearer := policy.Bearer{Revenue: block.Float("revenue", 0, 1e6, math.NaN()), LateShare: block.Float("late_share", 0, 1, 0),
			GoSTarget: block.Duration("gos_target", time.Millisecond, maxDuration, -1), AbandonTime: block.Duration("abandon", time.Millisecond, maxDuration, -1)}
		if bearer.GoSTarget > bearer.AbandonTime {
			block.AddErrorAt("gos_target", "gos_target is longer than abandon")
		}
		bearers = append(bearers, bearer)
		if readMore != nil {
			readMore(block)
		}
		block.CheckUnknown()
	}
	if len(bearers) == 0 || len(bearers) > 255 {
		root.AddError("%d bearer types, there must be 1 to 255", len(bearers))
	}
	return bearers
}

// parseGateways reads the settings of MGCP gateways.
func parseGateways(root *hclread.Block, deployment *policy.Deployment, bearers map[string]int) *control.Gateways {
	gateways := &control.Gateways{ListenAddress: root.Address("listen", false)}
	gateways.OwnExchange, gateways.PointCode, gateways.Seed = deployment.OwnExchange, exchange.PointCode(deployment.OwnExchange), deployment.Seed
	gateways.MaxDialTime = root.Duration("dial_most", time.Second, time.Hour, 20*time.Second)
	gateways.MaxRingTime = root.Duration("ring_most", time.Second, time.Hour, time.Minute)
	gateways.RestartRate = root.Float("restarts_per_second", 0.1, 1e6, 200)
	gateways.MaxQueuedRestarts = root.Int("restarts_queue", 1, 1<<20, 16384)
	gateways.MediaAddress = root.Text("media", false, "127.0.0.1")
	if _, err := netip.ParseAddr(gateways.MediaAddress); err != nil {
		root.AddErrorAt("media", "%q is not an address", gateways.MediaAddress)
	}
	var err error
	if gateways.DigitMap, err = mgcp.ParseDigitMap(root.Text("digit_map", false, "(xxxxxxxxx)")); err != nil {
		root.AddErrorAt("digit_map", "%v", err)
	}
	gateways.NotifiedEntities = root.TextList("notified")
	gateways.OwnEntityIndex = root.Int("notified_self", 0, max(0, len(gateways.NotifiedEntities)-1), 0)
	for _, bearerType := range deployment.Bearers {
		gateways.AbandonTimes = append(gateways.AbandonTimes, bearerType.AbandonTime)
		if gateways.GoSTarget == 0 || bearerType.GoSTarget < gateways.GoSTarget {
			gateways.GoSTarget = bearerType.GoSTarget
		}
	}
	names, lineOwners := map[string]bool{}, map[int]string{}
	for _, block := range root.Blocks("gateway", true) {
		gateway := callagent.Gateway{Name: block.Text("name", false, block.Label), Endpoints: block.Int("endpoints", 1, 4096, 0), Width: block.Int("width", 1, isup.MaxWidth, 1),
			FirstLine: block.Int("first_line", 0, maxLines-1, -1)}
		for _, text := range block.TextList("addresses") {
			address, err := netip.ParseAddrPort(text)
			if err != nil {
				block.AddErrorAt("addresses", "%q is not an address with a port", text)
			}
			gateway.Addresses = append(gateway.Addresses, address)
		}
		bearer, ok := bearers[block.Text("bearer", true, "")]
		if !ok {
			block.AddErrorAt("bearer", "unknown bearer type")
		}
		gateway.BearerIndex = bearer
		switch {
		case names[strings.ToLower(gateway.Name)]:
			block.AddError("gateway %q is defined twice", gateway.Name)
		case gateway.FirstLine+gateway.Endpoints > maxLines:
			block.AddErrorAt("endpoints", "lines %d to %d are out of range: lines are numbered below %d", gateway.FirstLine, gateway.FirstLine+gateway.Endpoints-1, maxLines)
		}
		names[strings.ToLower(gateway.Name)] = true
		for line := gateway.FirstLine; line < gateway.FirstLine+gateway.Endpoints; line++ {
			if other, taken := lineOwners[line]; taken {
				block.AddErrorAt("first_line", "line %d already belongs to gateway %q", line, other)
				break
			}
			lineOwners[line] = block.Label
		}
		block.CheckUnknown()
		gateways.Gateways = append(gateways.Gateways, gateway)
	}
	if len(lineOwners) > maxEndpoints {
		root.AddError("%d endpoints, the maximum is %d", len(lineOwners), maxEndpoints)
	}
	root.CheckUnknown()
	return gateways
}

// parseNumberAnalysis reads the settings of number analysis.
func parseNumberAnalysis(root *hclread.Block) *control.NumberAnalysis {
	analysis := &control.NumberAnalysis{StoreFolder: root.Text("store", true, ""), InitialTable: root.Text("table", false, ""), MaxCallers: root.Int("callers", 1, 1<<24, 100000),
		Trial: numbers.Trial{Window: root.Duration("trial_window", 0, maxDuration, time.Minute), MaxIncrease: root.Float("trial_bound", 0, 1, 0.2),
			MinFailures: root.Int("trial_least", 1, 1<<30, 20)}}
	portability := root.SingleBlock("portability", false)
	if analysis.ENUMServers = portability.TextList("servers"); len(analysis.ENUMServers) != 0 && len(analysis.ENUMServers) != 2 {
		portability.AddErrorAt("servers", "%d servers, there must be two (a single one is listed twice)", len(analysis.ENUMServers))
	}
	for _, address := range analysis.ENUMServers {
		if _, err := netip.ParseAddrPort(address); err != nil {
			portability.AddErrorAt("servers", "%q is not an address with a port", address)
		}
	}
	if analysis.ENUMZone = portability.Text("zone", false, "e164.arpa."); !strings.HasSuffix(analysis.ENUMZone, ".") {
		analysis.ENUMZone += "."
	}
	analysis.Limits = numbers.ResolverLimits{MaxKnown: portability.Int("known", 1, 1<<26, 100000), MaxUnknown: portability.Int("unknown", 1, 1<<26, 10000),
		MaxAge: portability.Duration("age", time.Second, maxDuration, time.Hour), MaxPending: portability.Int("out", 1, 1<<16, 256),
		QueryTimeout: portability.Duration("time_out", time.Millisecond, time.Minute, time.Second), RetryRatio: portability.Float("retry_share", 0, 1, 0.1)}
	portability.CheckUnknown()
	root.CheckUnknown()
	return analysis
}
