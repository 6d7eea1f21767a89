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

func parseGateways(b *hclread.Block, s Script) Gateways {
	g := Gateways{PerExchange: b.Int("each", 1, 10000, 0), Endpoints: b.Int("endpoints", 1, 512, 0), CallRate: b.Float("calls_per_second", 0.01, 1e5, 1),
		LastCall: duration(b.Duration("until", 0, maxDuration, maxDuration)), LocalShare: b.Float("near", 0, 1, 0.2), HoldingTime: duration(b.Duration("holding", time.Millisecond, time.Hour, 3*time.Second)),
		DigitInterval: duration(b.Duration("digit", 0, time.Minute, 5*time.Millisecond)), MeanAnswerDelay: duration(b.Duration("pick_up", 0, time.Minute, 500*time.Millisecond)),
		MaxRestartDelay:   duration(b.Duration("restart_wait", 0, time.Hour, 500*time.Millisecond)),
		DisconnectedDelay: duration(b.Duration("disconnected", time.Millisecond, time.Hour, time.Second))}
	name := b.Text("bearer", true, "")
	if g.Bearer = slices.IndexFunc(s.Bearers, func(t Bearer) bool { return t.Name == name }); g.Bearer < 0 {
		b.AddErrorAt("bearer", "unknown bearer type %q", name)
	}
	if g.PerExchange*g.Endpoints > 100000 {
		b.AddError("%d phones at an exchange, 100000 at most", g.PerExchange*g.Endpoints)
	}
	b.CheckUnknown()
	return g
}

// gatewayNetwork holds the gateways of a running day.
type gatewayNetwork struct {
	callAgents []string // address of each exchange's call agent
	gateways   [][]*standin.Gateway
	addresses  [][]netip.AddrPort
	calls      []*standin.PhoneCall
}

const firstPhoneLine = 100

// createGateways opens the sockets of the gateways and draws the calls of their users.
func (r *runner) createGateways() error {
	g := r.script.Gateways
	if g.PerExchange == 0 {
		return nil
	}
	open := func() (net.PacketConn, error) { return r.options.ListenPacket("127.0.0.1:0") }
	p := &r.gateways
	for range r.script.ExchangeCount {
		agent, err := open()
		if err != nil {
			return fmt.Errorf("call agent's address: %w", err)
		}
		p.callAgents = append(p.callAgents, agent.LocalAddr().String())
		agent.Close()
	}
	chance := rand.New(rand.NewPCG(r.script.Seed, 0x9a7e))
	calls := make([][][]*standin.PhoneCall, r.script.ExchangeCount)
	for e := range calls {
		calls[e] = make([][]*standin.PhoneCall, g.PerExchange)
	}
	patience := duration(r.script.Deployment.Bearers[g.Bearer].AbandonTime)
	for at := time.Duration(0); ; {
		at += time.Duration(chance.ExpFloat64() / g.CallRate * float64(time.Second))
		if at > min(r.script.Duration, g.LastCall) {
			break
		}
		from, to := chance.IntN(r.script.ExchangeCount), chance.IntN(r.script.ExchangeCount)
		if chance.Float64() < g.LocalShare {
			to = from
		}
		line := firstPhoneLine + chance.IntN(g.PerExchange*g.Endpoints)
		n := chance.IntN(g.PerExchange)
		c := &standin.PhoneCall{StartTime: r.script.SettleTime + at, Phone: chance.IntN(g.Endpoints), Digits: exchange.LineNumber(to, uint32(line)), AbandonTime: patience,
			HoldingTime: time.Duration(chance.ExpFloat64() * float64(g.HoldingTime))}
		calls[from][n] = append(calls[from][n], c)
		p.calls = append(p.calls, c)
	}
	for e := range r.script.ExchangeCount {
		agent, err := netip.ParseAddrPort(p.callAgents[e])
		if err != nil {
			return fmt.Errorf("call agent's address: %w", err)
		}
		var row []*standin.Gateway
		var at []netip.AddrPort
		for n := range g.PerExchange {
			first, err := open()
			if err != nil {
				return fmt.Errorf("gateway's socket: %w", err)
			}
			where, err := netip.ParseAddrPort(first.LocalAddr().String())
			if err != nil {
				return fmt.Errorf("gateway's address: %w", err)
			}
			at = append(at, where)
			plant := standin.GatewayConfig{Exchange: e, Number: n, Name: gatewayName(e, n), PhoneCount: g.Endpoints, CallAgents: []netip.AddrPort{agent},
				DigitInterval: g.DigitInterval, MeanAnswerDelay: g.MeanAnswerDelay, MaxRestartDelay: g.MaxRestartDelay, DisconnectedDelay: g.DisconnectedDelay}
			row = append(row, standin.NewGateway(plant, calls[e][n], r.script.Seed, func() (net.PacketConn, error) {
				if c := first; c != nil {
					first = nil
					return c, nil
				}
				return open()
			}, r.log))
		}
		p.gateways, p.addresses = append(p.gateways, row), append(p.addresses, at)
	}
	return nil
}

func gatewayName(e, n int) string { return fmt.Sprintf("gw-%d-%d.example", e, n) }

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
func (r *runner) writeGateways(e int, b *hclwrite.Body) {
	g := r.script.Gateways
	if g.PerExchange == 0 {
		return
	}
	all := b.AppendNewBlock("gateways", nil).Body()
	all.SetAttributeValue("listen", cty.StringVal(r.gateways.callAgents[e]))
	for n := range g.PerExchange {
		one := all.AppendNewBlock("gateway", []string{gatewayName(e, n)}).Body()
		one.SetAttributeValue("addresses", cty.ListVal([]cty.Value{cty.StringVal(r.gateways.addresses[e][n].String())}))
		one.SetAttributeValue("endpoints", cty.NumberIntVal(int64(g.Endpoints)))
		one.SetAttributeValue("first_line", cty.NumberIntVal(int64(firstPhoneLine+n*g.Endpoints)))
		one.SetAttributeValue("bearer", cty.StringVal(r.script.Bearers[g.Bearer].Name))
	}
}

// disturbGateways applies a fault to a share of the gateways.
func disturbGateways(r *runner, t Trouble, _ []int, chance *rand.Rand) func() {
	var hit []*standin.Gateway
	for _, row := range r.gateways.gateways {
		for _, n := range pickIndices(len(row), t.Fraction, chance) {
			hit = append(hit, row[n])
		}
	}
	set := func(q *standin.GatewayFaults, size float64) {
		switch t.How {
		case "loss":
			q.Network.LossRatio = size
		case "double":
			q.Network.DuplicationRatio = size
		case "late":
			q.Network.DelayRatio, q.Network.MaxDelay = min(0.3, size), seconds(size)
		case "truncated":
			q.Network.TruncationRatio = size
		case "two_answers":
			q.TwoResponsesRatio = size
		case "reused_ids":
			q.ReuseTransactionIDs = size > 0
		case "cut":
			q.Isolated = size > 0
		case "flash":
			q.FlashRatio = size
		case "hang_up":
			q.HangUpRatio = size
		case "trickle":
			q.SlowDigitsRatio = size
		case "glare":
			q.GlareRatio = size
		}
	}
	for _, g := range hit {
		if t.How == "restart" || t.How == "moved" {
			g.Restart(t.How == "moved")
			continue
		}
		g.UpdateFaults(func(q *standin.GatewayFaults) { set(q, t.Size) })
	}
	return func() {
		for _, g := range hit {
			g.UpdateFaults(func(q *standin.GatewayFaults) { set(q, 0) })
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

func countPhoneCalls(calls []*standin.PhoneCall) PhoneRow {
	var w PhoneRow
	var took []time.Duration
	for _, c := range calls {
		switch {
		case !c.Dialled:
			w.Skipped++
			continue
		case c.SetUpTime > 0:
			w.Established++
			took = append(took, c.SetUpTime)
		case c.Failed:
			w.Failed++
		case c.Refused:
			w.Refused++
		default:
			w.Abandoned++
		}
		w.Calls++
	}
	if slices.Sort(took); len(took) > 0 {
		w.MedianSetUpTime, w.P99SetUpTime = took[len(took)/2], took[len(took)*99/100]
	}
	return w
}
