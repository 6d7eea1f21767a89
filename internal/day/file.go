// Package day runs scripted days: exchanges with simulated switches, a register and subscribers on loopback, and faults at
// scheduled times. At the end it reports a table of the calls and the result of the audit. Day files are HCL; docs/days.md
// lists their settings.
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

// Trouble is one scheduled fault of a day.
type Trouble struct {
	Kind     string
	Start    time.Duration
	Duration time.Duration
	Fraction float64 // share of the exchanges, or of what the kind affects
	Size     float64
	Interval time.Duration
	How      string
}

// Bearer is the traffic of a bearer type, in addition to the settings that the policy reads.
type Bearer struct {
	Name        string
	Share       float64
	Width       int
	HoldingTime time.Duration
}

// Script is the content of a day file.
type Script struct {
	Name             string
	Description      string
	Duration         time.Duration
	SettleTime       time.Duration
	Seed             uint64
	ExchangeCount    int
	CallRate         float64 // planned calls per second of all exchanges
	LoadFactor       float64 // offered calls relative to the plan
	SpareCircuits    float64 // share of circuits above the planned traffic
	TrafficDeviation float64 // standard deviation of the logarithm of the traffic between two exchanges
	ProcessorLoad    float64 // load of the processors by the planned calls
	Processor        standin.Processor
	Subscribers      standin.SubscriberBehaviour
	ListDelay        time.Duration
	ListInterval     time.Duration
	Deployment       policy.Deployment
	Bearers          []Bearer
	Troubles         []Trouble
	PortedShare      float64 // share of ported numbers, found by ENUM; 0: no queries
	Gateways         Gateways
	UseLedger        bool // calls survive a restart of their controller
	UseTables        bool // destinations are found by number tables, which may change during the day
}

const maxDuration = 24 * time.Hour

// duration converts tenths of a millisecond.
func duration(t policy.Tenths) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// Read reads a day file. The error has a line for each fault.
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
		b.AddErrorAt("ported", "ported numbers need tables = true")
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
			n.AddError("unknown trouble %q; known are %v", t.Kind, TroubleKinds())
		case t.Kind == "portability" && s.PortedShare == 0:
			n.AddError("trouble portability needs ported numbers")
		case t.Kind == "gateways" && s.Gateways.PerExchange == 0:
			n.AddError("trouble gateways needs gateways")
		case t.Kind == "tables_change" && !s.UseTables:
			n.AddError("trouble tables_change needs tables = true")
		case t.Start > s.Duration:
			n.AddErrorAt("start", "the trouble starts after the end of the day (%v)", s.Duration)
		case t.Size < kind.minSize || t.Size > kind.maxSize:
			n.AddErrorAt("size", "size %v of trouble %s, it can be %v to %v (%s)", t.Size, t.Kind, kind.minSize, kind.maxSize, kind.sizeMeaning)
		case len(kind.how) > 0 && !contains(kind.how, t.How):
			n.AddErrorAt("how", "how %q of trouble %s, it can be one of %v", t.How, t.Kind, kind.how)
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

// String returns a description for the progress output.
func (t Trouble) String() string {
	return fmt.Sprintf("%s %s for %v, part %.2g, size %.3g", t.Kind, t.How, t.Duration, t.Fraction, t.Size)
}
