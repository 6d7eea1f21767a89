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

// duration converts a time in tenths of a millisecond.
func duration(t policy.Tenths) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// Read reads a day file. The error has a line for each fault.
func Read(name string) (Script, error) {
	file, root, err := hclread.Open(name)
	if err != nil {
		return Script{}, err
	}
	script := parse(root)
	script.Name = name
	return script, file.Err()
}

func parse(root *hclread.Block) Script {
	var script Script
	script.Description = root.Text("about", false, "")
	script.Duration = duration(root.Duration("length", time.Second, maxDuration, -1))
	script.SettleTime = duration(root.Duration("settle", 0, time.Minute, 2*time.Second))
	script.Seed = uint64(root.Int("seed", 0, math.MaxInt32, 1))
	script.ExchangeCount = root.Int("exchanges", 2, 999, 1)
	script.CallRate = root.Float("calls_per_second", 0.1, 1e6, math.NaN())
	script.LoadFactor = root.Float("load", 0.01, 100, 0.9)
	script.SpareCircuits = root.Float("spare", 0, 10, 0.2)
	script.TrafficDeviation = root.Float("uneven", 0, 3, 0.4)
	script.ProcessorLoad = root.Float("processors_at", 0.01, 1, 0.75)
	script.UseTables = root.Bool("tables", false)
	script.UseLedger = root.Bool("ledger", false)
	if script.PortedShare = root.Float("ported", 0, 1, 0); script.PortedShare > 0 && !script.UseTables {
		root.AddErrorAt("ported", "ported numbers need tables = true")
	}
	site.ParseRules(root, &script.Deployment)
	script.ListDelay = duration(root.Duration("list_late", 0, time.Minute, time.Second))
	script.ListInterval = duration(root.Duration("list_every", 10*time.Millisecond, time.Minute, 200*time.Millisecond))
	processor := root.SingleBlock("processor", false)
	script.Processor = standin.Processor{MaxWait: duration(processor.Duration("refuse_after", time.Millisecond, time.Minute, 2*time.Second)),
		ReportInterval: duration(processor.Duration("report_every", time.Millisecond, time.Minute, 300*time.Millisecond)),
		ReportNoise:    processor.Float("noise", 0, 1, 0.08), InitialCapacity: script.Deployment.InitialCapacity, RampTime: duration(script.Deployment.RampTime),
		OverloadMultiple: script.Deployment.OverloadMultiple, OverloadWindow: duration(script.Deployment.OverloadWindow), WarmStart: true}
	processor.CheckUnknown()
	callers := root.SingleBlock("callers", false)
	script.Subscribers = standin.SubscriberBehaviour{MaxRedials: callers.Int("redials", 0, 100, 2), InitialBackoff: duration(callers.Duration("backoff", 0, time.Hour, time.Second)),
		RetryAfterCompliance: callers.Float("honour", 0, 1, 0.6), AttemptTimeRatio: callers.Float("try_share", 0.01, 1, 0.35),
		MaxReconnectDelay: duration(callers.Duration("cut_back", 0, time.Hour, 2500*time.Millisecond))}
	callers.CheckUnknown()
	script.Deployment.Bearers = site.ParseBearers(root, func(block *hclread.Block) {
		script.Bearers = append(script.Bearers, Bearer{Name: block.Label, Share: block.Float("share", 0, 1e6, 1), Width: block.Int("width", 1, 30, 1),
			HoldingTime: duration(block.Duration("holding", time.Millisecond, maxDuration, 10*time.Second))})
	})
	for _, t := range script.Deployment.Bearers {
		script.Subscribers.GoSTargets = append(script.Subscribers.GoSTargets, duration(t.GoSTarget))
	}
	if len(root.Blocks("gateways", false)) > 0 {
		script.Gateways = parseGateways(root.SingleBlock("gateways", false), script)
	}
	for _, block := range root.Blocks("trouble", true) {
		t := Trouble{Kind: block.Label, Start: duration(block.Duration("start", 0, maxDuration, 0)), Duration: duration(block.Duration("length", 0, maxDuration, 10*time.Second)),
			Fraction: block.Float("part", 0, 1, 0.3), Size: block.Float("size", 0, 1e6, 1), Interval: duration(block.Duration("every", 10*time.Millisecond, maxDuration, 3*time.Second)),
			How: block.Text("how", false, "")}
		kind, known := troubleKinds[t.Kind]
		switch {
		case !known:
			block.AddError("unknown trouble %q; known are %v", t.Kind, TroubleKinds())
		case t.Kind == "portability" && script.PortedShare == 0:
			block.AddError("trouble portability needs ported numbers")
		case t.Kind == "gateways" && script.Gateways.PerExchange == 0:
			block.AddError("trouble gateways needs gateways")
		case t.Kind == "tables_change" && !script.UseTables:
			block.AddError("trouble tables_change needs tables = true")
		case t.Start > script.Duration:
			block.AddErrorAt("start", "the trouble starts after the end of the day (%v)", script.Duration)
		case t.Size < kind.minSize || t.Size > kind.maxSize:
			block.AddErrorAt("size", "size %v of trouble %s, it can be %v to %v (%s)", t.Size, t.Kind, kind.minSize, kind.maxSize, kind.sizeMeaning)
		case len(kind.how) > 0 && !contains(kind.how, t.How):
			block.AddErrorAt("how", "how %q of trouble %s, it can be one of %v", t.How, t.Kind, kind.how)
		}
		block.CheckUnknown()
		script.Troubles = append(script.Troubles, t)
	}
	root.CheckUnknown()
	return script
}

func contains(values []string, value string) bool {
	for _, element := range values {
		if element == value {
			return true
		}
	}
	return false
}

// String returns a description for the progress output.
func (t Trouble) String() string {
	return fmt.Sprintf("%s %s for %v, part %.2g, size %.3g", t.Kind, t.How, t.Duration, t.Fraction, t.Size)
}
