package soak

import (
	"cmp"
	"math"
	"slices"
	"time"

	"indigodrift/internal/board"
)

// toldBy is the instant at which an event of the list counts as told to a controller.
func (j *judge) toldBy(controller int, number uint64, changed time.Duration) time.Duration {
	bound, from, span := changed, time.Duration(0), time.Duration(0)
	lost := 0
	for _, e := range j.events {
		if e.Controller != controller {
			continue
		}
		switch e.Kind {
		case BoardLost:
			if lost++; lost == 1 {
				from, span = e.At, 0
			}
			span = max(span, e.Span)
		case BoardBack:
			if lost--; lost == 0 && from <= bound+slack && e.At+span >= bound {
				bound = e.At + span
			}
		case ControllerStarted: // what came before is in its configuration
			if e.At >= changed {
				bound = min(bound, e.At)
			}
		}
	}
	if lost > 0 && from <= bound+slack {
		return never
	}
	for _, e := range j.events {
		if e.Kind == ListTold && e.Controller == controller && e.Number == number {
			return min(bound, e.At)
		}
	}
	return bound
}

// drains judges set-ups to switches that drain or are gone.
func (j *judge) drains() {
	type period struct{ from, to time.Duration }
	for controller := range j.plan.Controllers {
		closed := map[uint32][]period{}
		for _, e := range j.events {
			if e.Kind != ListChanged {
				continue
			}
			told := j.toldBy(controller, e.Number, e.At)
			all := closed[e.Switch]
			switch {
			case board.State(e.Status) != board.Ready && (len(all) == 0 || all[len(all)-1].to != never):
				closed[e.Switch] = append(all, period{told, never})
			case board.State(e.Status) == board.Ready && len(all) > 0 && all[len(all)-1].to == never:
				all[len(all)-1].to = e.At
			}
		}
		for _, e := range j.events {
			if e.Kind != TryArrived || e.Controller != controller {
				continue
			}
			for _, p := range closed[e.Switch] {
				from := p.from
				if from == never {
					continue
				}
				from += drainGrace + slack + passMost + e.Span
				from += j.late(p.from, from)
				if e.At > from && e.At < p.to {
					j.breach(RuleDrain, j.calls[e.Call], controller, "a set-up at %s at %.3f, told at %.3f that it drains or is gone", board.FormatID(e.Switch), e.At.Seconds(), p.from.Seconds())
				}
			}
		}
	}
}

// cold judges what all controllers together sent to a switch that had just started.
func (j *judge) cold() {
	born := map[uint32]time.Duration{}
	for _, e := range j.events {
		if e.Kind == ListChanged && e.Span > 0 && board.State(e.Status) == board.Ready {
			if _, before := born[e.Switch]; !before {
				born[e.Switch] = e.At - listLater
			}
		}
	}
	arrived := map[uint32][]time.Duration{}
	for _, e := range j.events {
		if at, ok := born[e.Switch]; ok && e.Kind == TryArrived && e.At < at+rampTime {
			arrived[e.Switch] = append(arrived[e.Switch], e.At)
		}
	}
	// What a warm switch does in the time: all circuits of all groups turned over, and as much again for its own exchange's calls.
	carried := float64(j.plan.Controllers*j.plan.Switches.Circuits) / (j.plan.Switches.HoldMax / 2).Seconds()
	for _, id := range slices.SortedFunc(keys(arrived), cmp.Compare[uint32]) {
		for i, at := range arrived[id] {
			n := 0
			for _, other := range arrived[id][i:] {
				if other-at < tipAfter {
					n++
				}
			}
			strength := coldFrom + (1-coldFrom)*min(1, (at-born[id]).Seconds()/rampTime.Seconds())
			bears := tipMultiple * strength * 2 * carried * tipAfter.Seconds()
			if float64(n) > bears+3*math.Sqrt(bears)+3 {
				j.breach(RuleCold, nil, -1, "%d set-ups in %v to %s, which bears %.1f", n, tipAfter, board.FormatID(id), bears)
				break
			}
		}
	}
}
