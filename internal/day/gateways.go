package day

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"

	"indigodrift/internal/exchange"
	"indigodrift/internal/hclread"
	"indigodrift/internal/standin"
)

// Gateways describes the MGCP gateways of a day and their phones. With PerExchange 0 there are none.
type Gateways struct {
	PerExchange       int
	Endpoints         int
	CallRate          float64       // calls per second of all phones
	LastCall          time.Duration // no call starts later
	LocalShare        float64       // share of calls within an exchange
	Bearer            int
	HoldingTime       time.Duration
	DigitInterval     time.Duration
	MeanAnswerDelay   time.Duration
	MaxRestartDelay   time.Duration
	DisconnectedDelay time.Duration
}

// parseGateways reads the settings of gateways.
func parseGateways(block *hclread.Block, script Script) Gateways {
	gateways := Gateways{PerExchange: block.Int("each", 1, 10000, 0), Endpoints: block.Int("endpoints", 1, 512, 0), CallRate: block.Float("calls_per_second", 0.01, 1e5, 1),
		LastCall: duration(block.Duration("until", 0, maxDuration, maxDuration)), LocalShare: block.Float("near", 0, 1, 0.2), HoldingTime: duration(block.Duration("holding", time.Millisecond, time.Hour, 3*time.Second)),
		DigitInterval: duration(block.Duration("digit", 0, time.Minute, 5*time.Millisecond)), MeanAnswerDelay: duration(block.Duration("pick_up", 0, time.Minute, 500*time.Millisecond)),
		MaxRestartDelay:   duration(block.Duration("restart_wait", 0, time.Hour, 500*time.Millisecond)),
		DisconnectedDelay: duration(block.Duration("disconnected", time.Millisecond, time.Hour, time.Second))}
	name := block.Text("bearer", true, "")
	if gateways.Bearer = slices.IndexFunc(script.Bearers, func(bearer Bearer) bool { return bearer.Name == name }); gateways.Bearer < 0 {
		block.AddErrorAt("bearer", "unknown bearer type %q", name)
	}
	if gateways.PerExchange*gateways.Endpoints > 100000 {
		block.AddError("%d phones at an exchange, the maximum is 100000", gateways.PerExchange*gateways.Endpoints)
	}
	block.CheckUnknown()
	return gateways
}

// gatewayNetwork holds the gateways of a running day.
type gatewayNetwork struct {
	callAgents []string // address of each exchange's call agent
	gateways   [][]*standin.Gateway
	addresses  [][]netip.AddrPort
	calls      []*standin.PhoneCall
}

// firstPhoneLine is the line number of an exchange's first phone.
const firstPhoneLine = 100

// createGateways opens the sockets of the gateways and draws the calls of their users.
func (r *runner) createGateways() error {
	settings := r.script.Gateways
	if settings.PerExchange == 0 {
		return nil
	}
	open := func() (net.PacketConn, error) { return r.options.ListenPacket("127.0.0.1:0") }
	network := &r.gateways
	for range r.script.ExchangeCount {
		agent, err := open()
		if err != nil {
			return fmt.Errorf("address of call agent: %w", err)
		}
		network.callAgents = append(network.callAgents, agent.LocalAddr().String())
		agent.Close()
	}
	random := rand.New(rand.NewPCG(r.script.Seed, 0x9a7e))
	calls := make([][][]*standin.PhoneCall, r.script.ExchangeCount)
	for exchangeNumber := range calls {
		calls[exchangeNumber] = make([][]*standin.PhoneCall, settings.PerExchange)
	}
	abandonTime := duration(r.script.Deployment.Bearers[settings.Bearer].AbandonTime)
	for start := time.Duration(0); ; {
		start += time.Duration(random.ExpFloat64() / settings.CallRate * float64(time.Second))
		if start > min(r.script.Duration, settings.LastCall) {
			break
		}
		from, to := random.IntN(r.script.ExchangeCount), random.IntN(r.script.ExchangeCount)
		if random.Float64() < settings.LocalShare {
			to = from
		}
		line := firstPhoneLine + random.IntN(settings.PerExchange*settings.Endpoints)
		gateway := random.IntN(settings.PerExchange)
		call := &standin.PhoneCall{StartTime: r.script.SettleTime + start, Phone: random.IntN(settings.Endpoints), Digits: exchange.LineNumber(to, uint32(line)), AbandonTime: abandonTime,
			HoldingTime: time.Duration(random.ExpFloat64() * float64(settings.HoldingTime))}
		calls[from][gateway] = append(calls[from][gateway], call)
		network.calls = append(network.calls, call)
	}
	for exchangeNumber := range r.script.ExchangeCount {
		agent, err := netip.ParseAddrPort(network.callAgents[exchangeNumber])
		if err != nil {
			return fmt.Errorf("address of call agent: %w", err)
		}
		var row []*standin.Gateway
		var addresses []netip.AddrPort
		for gateway := range settings.PerExchange {
			socket, err := open()
			if err != nil {
				return fmt.Errorf("socket of gateway: %w", err)
			}
			address, err := netip.ParseAddrPort(socket.LocalAddr().String())
			if err != nil {
				return fmt.Errorf("address of gateway: %w", err)
			}
			addresses = append(addresses, address)
			config := standin.GatewayConfig{Exchange: exchangeNumber, Number: gateway, Name: gatewayName(exchangeNumber, gateway), PhoneCount: settings.Endpoints, CallAgents: []netip.AddrPort{agent},
				DigitInterval: settings.DigitInterval, MeanAnswerDelay: settings.MeanAnswerDelay, MaxRestartDelay: settings.MaxRestartDelay, DisconnectedDelay: settings.DisconnectedDelay}
			row = append(row, standin.NewGateway(config, calls[exchangeNumber][gateway], r.script.Seed, func() (net.PacketConn, error) {
				if opened := socket; opened != nil {
					socket = nil
					return opened, nil
				}
				return open()
			}, r.log))
		}
		network.gateways, network.addresses = append(network.gateways, row), append(network.addresses, addresses)
	}
	return nil
}

func gatewayName(exchange, number int) string {
	return fmt.Sprintf("gw-%d-%d.example", exchange, number)
}

func (r *runner) startGateways() error {
	for _, row := range r.gateways.gateways {
		for _, g := range row {
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) stopGateways() {
	for _, row := range r.gateways.gateways {
		for _, g := range row {
			g.Stop()
		}
	}
}

// writeGateways writes the gateways of an exchange into its settings.
func (r *runner) writeGateways(exchange int, body *hclwrite.Body) {
	settings := r.script.Gateways
	if settings.PerExchange == 0 {
		return
	}
	gateways := body.AppendNewBlock("gateways", nil).Body()
	gateways.SetAttributeValue("listen", cty.StringVal(r.gateways.callAgents[exchange]))
	for n := range settings.PerExchange {
		gateway := gateways.AppendNewBlock("gateway", []string{gatewayName(exchange, n)}).Body()
		gateway.SetAttributeValue("addresses", cty.ListVal([]cty.Value{cty.StringVal(r.gateways.addresses[exchange][n].String())}))
		gateway.SetAttributeValue("endpoints", cty.NumberIntVal(int64(settings.Endpoints)))
		gateway.SetAttributeValue("first_line", cty.NumberIntVal(int64(firstPhoneLine+n*settings.Endpoints)))
		gateway.SetAttributeValue("bearer", cty.StringVal(r.script.Bearers[settings.Bearer].Name))
	}
}

// disturbGateways applies a fault to a share of the gateways.
func disturbGateways(r *runner, trouble Trouble, _ []int, random *rand.Rand) func() {
	var affected []*standin.Gateway
	for _, row := range r.gateways.gateways {
		for _, n := range pickIndices(len(row), trouble.Fraction, random) {
			affected = append(affected, row[n])
		}
	}
	set := func(faults *standin.GatewayFaults, size float64) {
		switch trouble.How {
		case "loss":
			faults.Network.LossRatio = size
		case "double":
			faults.Network.DuplicationRatio = size
		case "late":
			faults.Network.DelayRatio, faults.Network.MaxDelay = min(0.3, size), seconds(size)
		case "truncated":
			faults.Network.TruncationRatio = size
		case "two_answers":
			faults.TwoResponsesRatio = size
		case "reused_ids":
			faults.ReuseTransactionIDs = size > 0
		case "cut":
			faults.Isolated = size > 0
		case "flash":
			faults.FlashRatio = size
		case "hang_up":
			faults.HangUpRatio = size
		case "trickle":
			faults.SlowDigitsRatio = size
		case "glare":
			faults.GlareRatio = size
		}
	}
	for _, gateway := range affected {
		if trouble.How == "restart" || trouble.How == "moved" {
			gateway.Restart(trouble.How == "moved")
			continue
		}
		gateway.UpdateFaults(func(faults *standin.GatewayFaults) { set(faults, trouble.Size) })
	}
	return func() {
		for _, gateway := range affected {
			gateway.UpdateFaults(func(faults *standin.GatewayFaults) { set(faults, 0) })
		}
	}
}

// PhoneRow counts the outcomes of calls from phones at gateways.
type PhoneRow struct {
	Calls           int           `json:"calls"` // completely dialled numbers
	Established     int           `json:"stood"`
	Refused         int           `json:"refused"`
	Failed          int           `json:"failed"`
	Abandoned       int           `json:"left"`
	Skipped         int           `json:"skipped"` // the phone was in use, or no number was dialled
	MedianSetUpTime time.Duration `json:"median_ns"`
	P99SetUpTime    time.Duration `json:"p99_ns"`
}

// countPhoneCalls counts the outcomes of calls.
func countPhoneCalls(calls []*standin.PhoneCall) PhoneRow {
	var row PhoneRow
	var setUpTimes []time.Duration
	for _, call := range calls {
		switch {
		case !call.Dialled:
			row.Skipped++
			continue
		case call.SetUpTime > 0:
			row.Established++
			setUpTimes = append(setUpTimes, call.SetUpTime)
		case call.Failed:
			row.Failed++
		case call.Refused:
			row.Refused++
		default:
			row.Abandoned++
		}
		row.Calls++
	}
	if slices.Sort(setUpTimes); len(setUpTimes) > 0 {
		row.MedianSetUpTime, row.P99SetUpTime = setUpTimes[len(setUpTimes)/2], setUpTimes[len(setUpTimes)*99/100]
	}
	return row
}
