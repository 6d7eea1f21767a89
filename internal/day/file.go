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
	Kind   string
	Start  time.Duration
	Length time.Duration
	Part   float64 // of the exchanges, or of what the kind says
	Size   float64
	Every  time.Duration
	How    string
}

// Bearer is what a day says of a bearer type beside what the module reads.
type Bearer struct {
	Name    string
	Share   float64
	Width   int
	Holding time.Duration
}

// Script is one day as its file has it.
type Script struct {
	Name        string
	About       string
	Length      time.Duration
	Settle      time.Duration
	Seed        uint64
	Exchanges   int
	Rate        float64 // planned calls a second, all exchanges together
	Load        float64 // of the plan that is offered
	Spare       float64 // circuits above the planned traffic
	Uneven      float64 // deviation of pairs' traffic from even
	ProcessorAt float64 // share of the processors that the plan takes
	Work        standin.Work
	Habits      standin.Habits
	ListLate    time.Duration
	ListEvery   time.Duration
	Deployment  policy.Deployment
	Bearers     []Bearer
	Troubles    []Trouble
	Ported      float64 // share of callers' numbers that were ported, asked for by ENUM; 0: not asked for
	Gateways    Gateways
	Ledger      bool // calls outlive a controller's process
	Tables      bool // destinations are found by tables of numbers, that troubles may change
}

const longest = 24 * time.Hour

// span is how package time counts what hclread counts in tenths.
func span(t policy.Tenths) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

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
	s.About = b.Text("about", false, "")
	s.Length = span(b.Span("length", time.Second, longest, -1))
	s.Settle = span(b.Span("settle", 0, time.Minute, 2*time.Second))
	s.Seed = uint64(b.Whole("seed", 0, math.MaxInt32, 1))
	s.Exchanges = b.Whole("exchanges", 2, 999, 1)
	s.Rate = b.Number("calls_per_second", 0.1, 1e6, math.NaN())
	s.Load = b.Number("load", 0.01, 100, 0.9)
	s.Spare = b.Number("spare", 0, 10, 0.2)
	s.Uneven = b.Number("uneven", 0, 3, 0.4)
	s.ProcessorAt = b.Number("processors_at", 0.01, 1, 0.75)
	s.Tables = b.Flag("tables", false)
	s.Ledger = b.Flag("ledger", false)
	if s.Ported = b.Number("ported", 0, 1, 0); s.Ported > 0 && !s.Tables {
		b.FaultAt("ported", "numbers cannot be ported in a day without tables = true")
	}
	site.Rules(b, &s.Deployment)
	s.ListLate = span(b.Span("list_late", 0, time.Minute, time.Second))
	s.ListEvery = span(b.Span("list_every", 10*time.Millisecond, time.Minute, 200*time.Millisecond))
	p := b.Only("processor", false)
	s.Work = standin.Work{RefuseAfter: span(p.Span("refuse_after", time.Millisecond, time.Minute, 2*time.Second)),
		ReportEvery: span(p.Span("report_every", time.Millisecond, time.Minute, 300*time.Millisecond)),
		Noise:       p.Number("noise", 0, 1, 0.08), ColdFrom: s.Deployment.InitialCapacity, Ramp: span(s.Deployment.RampTime),
		FallMultiple: s.Deployment.OverloadMultiple, FallWindow: span(s.Deployment.OverloadWindow), Reuse: true}
	p.Done()
	c := b.Only("callers", false)
	s.Habits = standin.Habits{Redials: c.Whole("redials", 0, 100, 2), Backoff: span(c.Span("backoff", 0, time.Hour, time.Second)),
		Honour: c.Number("honour", 0, 1, 0.6), TryShare: c.Number("try_share", 0.01, 1, 0.35),
		CutBack: span(c.Span("cut_back", 0, time.Hour, 2500*time.Millisecond))}
	c.Done()
	s.Deployment.Bearers = site.Bearers(b, func(n *hclread.Block) {
		s.Bearers = append(s.Bearers, Bearer{Name: n.Label, Share: n.Number("share", 0, 1e6, 1), Width: n.Whole("width", 1, 30, 1),
			Holding: span(n.Span("holding", time.Millisecond, longest, 10*time.Second))})
	})
	for _, t := range s.Deployment.Bearers {
		s.Habits.GoS = append(s.Habits.GoS, span(t.GoSTarget))
	}
	if len(b.Blocks("gateways", false)) > 0 {
		s.Gateways = readGateways(b.Only("gateways", false), s)
	}
	for _, n := range b.Blocks("trouble", true) {
		t := Trouble{Kind: n.Label, Start: span(n.Span("start", 0, longest, 0)), Length: span(n.Span("length", 0, longest, 10*time.Second)),
			Part: n.Number("part", 0, 1, 0.3), Size: n.Number("size", 0, 1e6, 1), Every: span(n.Span("every", 10*time.Millisecond, longest, 3*time.Second)),
			How: n.Text("how", false, "")}
		kind, ok := kinds[t.Kind]
		switch {
		case !ok:
			n.Fault("trouble %q is not known; there are %v", t.Kind, Kinds())
		case t.Kind == "portability" && s.Ported == 0:
			n.Fault("portability cannot be troubled in a day without ported numbers")
		case t.Kind == "gateways" && s.Gateways.Each == 0:
			n.Fault("gateways cannot be troubled in a day without gateways")
		case t.Kind == "tables_change" && !s.Tables:
			n.Fault("tables cannot change in a day without tables = true")
		case t.Start > s.Length:
			n.FaultAt("start", "the trouble starts after the day's %v", s.Length)
		case t.Size < kind.least || t.Size > kind.most:
			n.FaultAt("size", "size %v of %s, it can be %v to %v (%s)", t.Size, t.Kind, kind.least, kind.most, kind.size)
		case len(kind.how) > 0 && !contains(kind.how, t.How):
			n.FaultAt("how", "how %q of %s, it can be %v", t.How, t.Kind, kind.how)
		}
		n.Done()
		s.Troubles = append(s.Troubles, t)
	}
	b.Done()
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
	return fmt.Sprintf("%s %s for %v, part %.2g, size %.3g", t.Kind, t.How, t.Length, t.Part, t.Size)
}
