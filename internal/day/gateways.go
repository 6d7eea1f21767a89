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

// Gateways is what a day says of MGCP gateways and their phones; Each 0: there are none.
type Gateways struct {
	Each         int // at an exchange
	Endpoints    int
	Rate         float64       // calls a second, all phones together
	Until        time.Duration // no call begins after
	Near         float64       // share of calls to phones of the same exchange
	Bearer       int
	Holding      time.Duration
	Digit        time.Duration
	PickUp       time.Duration
	RestartWait  time.Duration
	Disconnected time.Duration
}

func readGateways(b *hclread.Block, s Script) Gateways {
	g := Gateways{Each: b.Whole("each", 1, 10000, 0), Endpoints: b.Whole("endpoints", 1, 512, 0), Rate: b.Number("calls_per_second", 0.01, 1e5, 1),
		Until: span(b.Span("until", 0, longest, longest)), Near: b.Number("near", 0, 1, 0.2), Holding: span(b.Span("holding", time.Millisecond, time.Hour, 3*time.Second)),
		Digit: span(b.Span("digit", 0, time.Minute, 5*time.Millisecond)), PickUp: span(b.Span("pick_up", 0, time.Minute, 500*time.Millisecond)),
		RestartWait:  span(b.Span("restart_wait", 0, time.Hour, 500*time.Millisecond)),
		Disconnected: span(b.Span("disconnected", time.Millisecond, time.Hour, time.Second))}
	name := b.Text("bearer", true, "")
	if g.Bearer = slices.IndexFunc(s.Bearers, func(t Bearer) bool { return t.Name == name }); g.Bearer < 0 {
		b.FaultAt("bearer", "there is no bearer type %q", name)
	}
	if g.Each*g.Endpoints > 100000 {
		b.Fault("%d phones at an exchange, 100000 at most", g.Each*g.Endpoints)
	}
	b.Done()
	return g
}

// phones are the gateways of a day that is being played.
type phones struct {
	agents []string // where each exchange's call agent listens
	all    [][]*standin.Gateway
	at     [][]netip.AddrPort
	calls  []*standin.PhoneCall
}

const firstLine = 100

// makeGateways opens the gateways' sockets and draws their users' calls.
func (r *run) makeGateways() error {
	g := r.script.Gateways
	if g.Each == 0 {
		return nil
	}
	open := func() (net.PacketConn, error) { return r.opts.Packets("127.0.0.1:0") }
	p := &r.phones
	for range r.script.Exchanges {
		agent, err := open()
		if err != nil {
			return fmt.Errorf("call agent's address: %w", err)
		}
		p.agents = append(p.agents, agent.LocalAddr().String())
		agent.Close()
	}
	chance := rand.New(rand.NewPCG(r.script.Seed, 0x9a7e))
	calls := make([][][]*standin.PhoneCall, r.script.Exchanges)
	for e := range calls {
		calls[e] = make([][]*standin.PhoneCall, g.Each)
	}
	patience := span(r.script.Deployment.Bearers[g.Bearer].AbandonTime)
	for at := time.Duration(0); ; {
		at += time.Duration(chance.ExpFloat64() / g.Rate * float64(time.Second))
		if at > min(r.script.Length, g.Until) {
			break
		}
		from, to := chance.IntN(r.script.Exchanges), chance.IntN(r.script.Exchanges)
		if chance.Float64() < g.Near {
			to = from
		}
		line := firstLine + chance.IntN(g.Each*g.Endpoints)
		n := chance.IntN(g.Each)
		c := &standin.PhoneCall{At: r.script.Settle + at, Phone: chance.IntN(g.Endpoints), Digits: exchange.LineNumber(to, uint32(line)), Patience: patience,
			Holding: time.Duration(chance.ExpFloat64() * float64(g.Holding))}
		calls[from][n] = append(calls[from][n], c)
		p.calls = append(p.calls, c)
	}
	for e := range r.script.Exchanges {
		agent, err := netip.ParseAddrPort(p.agents[e])
		if err != nil {
			return fmt.Errorf("call agent's address: %w", err)
		}
		var row []*standin.Gateway
		var at []netip.AddrPort
		for n := range g.Each {
			first, err := open()
			if err != nil {
				return fmt.Errorf("gateway's socket: %w", err)
			}
			where, err := netip.ParseAddrPort(first.LocalAddr().String())
			if err != nil {
				return fmt.Errorf("gateway's address: %w", err)
			}
			at = append(at, where)
			plant := standin.Plant{Exchange: e, Number: n, Name: gatewayName(e, n), Phones: g.Endpoints, Agents: []netip.AddrPort{agent},
				Digit: g.Digit, PickUp: g.PickUp, RestartWait: g.RestartWait, Disconnected: g.Disconnected}
			row = append(row, standin.NewGateway(plant, calls[e][n], r.script.Seed, func() (net.PacketConn, error) {
				if c := first; c != nil {
					first = nil
					return c, nil
				}
				return open()
			}, r.log))
		}
		p.all, p.at = append(p.all, row), append(p.at, at)
	}
	return nil
}

func gatewayName(e, n int) string { return fmt.Sprintf("gw-%d-%d.example", e, n) }

func (r *run) startGateways() error {
	for _, row := range r.phones.all {
		for _, g := range row {
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) stopGateways() {
	for _, row := range r.phones.all {
		for _, g := range row {
			g.Stop()
		}
	}
}

// gatewaysOf writes an exchange's gateways into its settings.
func (r *run) gatewaysOf(e int, b *hclwrite.Body) {
	g := r.script.Gateways
	if g.Each == 0 {
		return
	}
	all := b.AppendNewBlock("gateways", nil).Body()
	all.SetAttributeValue("listen", cty.StringVal(r.phones.agents[e]))
	for n := range g.Each {
		one := all.AppendNewBlock("gateway", []string{gatewayName(e, n)}).Body()
		one.SetAttributeValue("addresses", cty.ListVal([]cty.Value{cty.StringVal(r.phones.at[e][n].String())}))
		one.SetAttributeValue("endpoints", cty.NumberIntVal(int64(g.Endpoints)))
		one.SetAttributeValue("first_line", cty.NumberIntVal(int64(firstLine+n*g.Endpoints)))
		one.SetAttributeValue("bearer", cty.StringVal(r.script.Bearers[g.Bearer].Name))
	}
}

// gatewaysTroubled has a part of the gateways do wrong, or fare ill.
func gatewaysTroubled(r *run, t Trouble, _ []int, chance *rand.Rand) func() {
	var hit []*standin.Gateway
	for _, row := range r.phones.all {
		for _, n := range pick(len(row), t.Part, chance) {
			hit = append(hit, row[n])
		}
	}
	set := func(q *standin.Quirk, size float64) {
		switch t.How {
		case "loss":
			q.Net.Lose = size
		case "double":
			q.Net.Double = size
		case "late":
			q.Net.LateShare, q.Net.Late = min(0.3, size), seconds(size)
		case "truncated":
			q.Net.Truncate = size
		case "two_answers":
			q.TwoAnswers = size
		case "reused_ids":
			q.ReuseIDs = size > 0
		case "cut":
			q.Cut = size > 0
		case "flash":
			q.Flash = size
		case "hang_up":
			q.HangUp = size
		case "trickle":
			q.Trickle = size
		case "glare":
			q.Glare = size
		}
	}
	for _, g := range hit {
		if t.How == "restart" || t.How == "moved" {
			g.Restart(t.How == "moved")
			continue
		}
		g.Do(func(q *standin.Quirk) { set(q, t.Size) })
	}
	return func() {
		for _, g := range hit {
			g.Do(func(q *standin.Quirk) { set(q, 0) })
		}
	}
}

// PhoneRow counts calls from phones at gateways.
type PhoneRow struct {
	Calls   int           `json:"calls"` // numbers dialled to the end
	Stood   int           `json:"stood"`
	Refused int           `json:"refused"`
	Failed  int           `json:"failed"`
	Left    int           `json:"left"`
	Skipped int           `json:"skipped"` // the phone was in use, or no number came about
	Median  time.Duration `json:"median_ns"`
	Most    time.Duration `json:"p99_ns"`
}

func countPhones(calls []*standin.PhoneCall) PhoneRow {
	var w PhoneRow
	var took []time.Duration
	for _, c := range calls {
		switch {
		case !c.Dialled:
			w.Skipped++
			continue
		case c.Stood > 0:
			w.Stood++
			took = append(took, c.Stood)
		case c.Failed:
			w.Failed++
		case c.Refused:
			w.Refused++
		default:
			w.Left++
		}
		w.Calls++
	}
	if slices.Sort(took); len(took) > 0 {
		w.Median, w.Most = took[len(took)/2], took[len(took)*99/100]
	}
	return w
}
