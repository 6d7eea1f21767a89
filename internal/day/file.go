// Package day plays scripted days: exchanges, switches, a register and subscribers on loopback, troubles at their times,
// and at the end a table and the audit's verdict. Day files are HCL; docs/days.md lists what may stand in one.
package day

import (
	"fmt"
	"math"
	"time"

	"indigodrift/internal/hclread"
	"indigodrift/internal/site"
	"indigodrift/internal/standin"
	"indigodrift/policy"
)

// Trouble is one thing that goes wrong in a day.
type Trouble struct {
	Kind     string
	Start    time.Duration
	Duration time.Duration
	Fraction float64 // of the exchanges, or of what the kind says
	Size     float64
	Interval time.Duration
	How      string
}

// Bearer is what a day says of a bearer type beside what the module reads.
type Bearer struct {
	Name        string
	Share       float64
	Width       int
	HoldingTime time.Duration
}

// Script is one day as its file has it.
type Script struct {
	Name             string
	Description      string
	Duration         time.Duration
	SettleTime       time.Duration
	Seed             uint64
	ExchangeCount    int
	CallRate         float64 // planned calls a second, all exchanges together
	LoadFactor       float64 // of the plan that is offered
	SpareCircuits    float64 // circuits above the planned traffic
	TrafficDeviation float64 // deviation of pairs' traffic from even
	ProcessorLoad    float64 // share of the processors that the plan takes
	Processor        standin.Processor
	Subscribers      standin.SubscriberBehaviour
	ListDelay        time.Duration
	ListInterval     time.Duration
	Deployment       policy.Deployment
	Bearers          []Bearer
	Troubles         []Trouble
	PortedShare      float64 // share of callers' numbers that were ported, asked for by ENUM; 0: not asked for
	Gateways         Gateways
	UseLedger        bool // calls outlive a controller's process
	UseTables        bool // destinations are found by tables of numbers, that troubles may change
}

const maxDuration = 24 * time.Hour

// duration is how package time counts what hclread counts in tenths.
func duration(t policy.Tenths) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// Read takes a day file. Its error has a line for each fault.
func Read(name string) (Script, error) {
	f, b, err := hclread.Open(name)
	if err != nil {
		return Script{}, err
	}
	s := parse(b)
	s.Name = name
	return s, f.Err()
}

func parse(b *hclread.Block) Script {
	var s Script
	s.Description = b.Text("about", false, "")
	s.Duration = duration(b.Duration("length", time.Second, maxDuration, -1))
	s.SettleTime = duration(b.Duration("settle", 0, time.Minute, 2*time.Second))
	s.Seed = uint64(b.Int("seed", 0, math.MaxInt32, 1))
	s.ExchangeCount = b.Int("exchanges", 2, 999, 1)
	s.CallRate = b.Float("calls_per_second", 0.1, 1e6, math.NaN())
	s.LoadFactor = b.Float("load", 0.01, 100, 0.9)
	s.SpareCircuits = b.Float("spare", 0, 10, 0.2)
	s.TrafficDeviation = b.Float("uneven", 0, 3, 0.4)
	s.ProcessorLoad = b.Float("processors_at", 0.01, 1, 0.75)
	s.UseTables = b.Bool("tables", false)
	s.UseLedger = b.Bool("ledger", false)
	if s.PortedShare = b.Float("ported", 0, 1, 0); s.PortedShare > 0 && !s.UseTables {
		b.AddErrorAt("ported", "numbers cannot be ported in a day without tables = true")
	}
	site.ParseRules(b, &s.Deployment)
	s.ListDelay = duration(b.Duration("list_late", 0, time.Minute, time.Second))
	s.ListInterval = duration(b.Duration("list_every", 10*time.Millisecond, time.Minute, 200*time.Millisecond))
	p := b.SingleBlock("processor", false)
	s.Processor = standin.Processor{MaxWait: duration(p.Duration("refuse_after", time.Millisecond, time.Minute, 2*time.Second)),
		ReportInterval: duration(p.Duration("report_every", time.Millisecond, time.Minute, 300*time.Millisecond)),
		ReportNoise:    p.Float("noise", 0, 1, 0.08), InitialCapacity: s.Deployment.InitialCapacity, RampTime: duration(s.Deployment.RampTime),
		OverloadMultiple: s.Deployment.OverloadMultiple, OverloadWindow: duration(s.Deployment.OverloadWindow), WarmStart: true}
	p.CheckUnknown()
	c := b.SingleBlock("callers", false)
	s.Subscribers = standin.SubscriberBehaviour{MaxRedials: c.Int("redials", 0, 100, 2), InitialBackoff: duration(c.Duration("backoff", 0, time.Hour, time.Second)),
		RetryAfterCompliance: c.Float("honour", 0, 1, 0.6), AttemptTimeRatio: c.Float("try_share", 0.01, 1, 0.35),
		MaxReconnectDelay: duration(c.Duration("cut_back", 0, time.Hour, 2500*time.Millisecond))}
	c.CheckUnknown()
	s.Deployment.Bearers = site.ParseBearers(b, func(n *hclread.Block) {
		s.Bearers = append(s.Bearers, Bearer{Name: n.Label, Share: n.Float("share", 0, 1e6, 1), Width: n.Int("width", 1, 30, 1),
			HoldingTime: duration(n.Duration("holding", time.Millisecond, maxDuration, 10*time.Second))})
	})
	for _, t := range s.Deployment.Bearers {
		s.Subscribers.GoSTargets = append(s.Subscribers.GoSTargets, duration(t.GoSTarget))
	}
	if len(b.Blocks("gateways", false)) > 0 {
		s.Gateways = parseGateways(b.SingleBlock("gateways", false), s)
	}
	for _, n := range b.Blocks("trouble", true) {
		t := Trouble{Kind: n.Label, Start: duration(n.Duration("start", 0, maxDuration, 0)), Duration: duration(n.Duration("length", 0, maxDuration, 10*time.Second)),
			Fraction: n.Float("part", 0, 1, 0.3), Size: n.Float("size", 0, 1e6, 1), Interval: duration(n.Duration("every", 10*time.Millisecond, maxDuration, 3*time.Second)),
			How: n.Text("how", false, "")}
		kind, ok := troubleKinds[t.Kind]
		switch {
		case !ok:
			n.AddError("trouble %q is not known; there are %v", t.Kind, TroubleKinds())
		case t.Kind == "portability" && s.PortedShare == 0:
			n.AddError("portability cannot be troubled in a day without ported numbers")
		case t.Kind == "gateways" && s.Gateways.PerExchange == 0:
			n.AddError("gateways cannot be troubled in a day without gateways")
		case t.Kind == "tables_change" && !s.UseTables:
			n.AddError("tables cannot change in a day without tables = true")
		case t.Start > s.Duration:
			n.AddErrorAt("start", "the trouble starts after the day's %v", s.Duration)
		case t.Size < kind.minSize || t.Size > kind.maxSize:
			n.AddErrorAt("size", "size %v of %s, it can be %v to %v (%s)", t.Size, t.Kind, kind.minSize, kind.maxSize, kind.sizeMeaning)
		case len(kind.how) > 0 && !contains(kind.how, t.How):
			n.AddErrorAt("how", "how %q of %s, it can be %v", t.How, t.Kind, kind.how)
		}
		n.CheckUnknown()
		s.Troubles = append(s.Troubles, t)
	}
	b.CheckUnknown()
	return s
}

func contains(all []string, one string) bool {
	for _, a := range all {
		if a == one {
			return true
		}
	}
	return false
}

// String names a trouble as the progress shows it.
func (t Trouble) String() string {
	return fmt.Sprintf("%s %s for %v, part %.2g, size %.3g", t.Kind, t.How, t.Duration, t.Fraction, t.Size)
}
