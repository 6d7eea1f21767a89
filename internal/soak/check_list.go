package soak

import (
	"cmp"
	"math"
	"slices"
	"time"

	"indigodrift/internal/board"
)

// updateKnownBy returns the time from which a controller must know an update of the switch list, never if the board did not recover.
func (c *checker) updateKnownBy(controller int, update uint64, changedAt time.Duration) time.Duration {
	bound, outageStart, recoveryTime := changedAt, time.Duration(0), time.Duration(0)
	outages := 0
	for _, e := range c.events {
		if e.Controller != controller {
			continue
		}
		switch e.Kind {
		case BoardLost:
			if outages++; outages == 1 {
				outageStart, recoveryTime = e.At, 0
			}
			recoveryTime = max(recoveryTime, e.Duration)
		case BoardRestored:
			if outages--; outages == 0 && outageStart <= bound+slack && e.At+recoveryTime >= bound {
				bound = e.At + recoveryTime
			}
		case ControllerStarted: // earlier updates are in its configuration
			if e.At >= changedAt {
				bound = min(bound, e.At)
			}
		}
	}
	if outages > 0 && outageStart <= bound+slack {
		return never
	}
	for _, e := range c.events {
		if e.Kind == ListSent && e.Controller == controller && e.Number == update {
			return min(bound, e.At)
		}
	}
	return bound
}

// checkDraining checks that no set-up goes to a switch that is listed as draining or gone.
func (c *checker) checkDraining() {
	type period struct{ from, to time.Duration }
	for controller := range c.plan.Controllers {
		notReady := map[uint32][]period{}
		for _, e := range c.events {
			if e.Kind != ListChanged {
				continue
			}
			knownBy := c.updateKnownBy(controller, e.Number, e.At)
			periods := notReady[e.SwitchID]
			switch {
			case board.State(e.Status) != board.Ready && (len(periods) == 0 || periods[len(periods)-1].to != never):
				notReady[e.SwitchID] = append(periods, period{knownBy, never})
			case board.State(e.Status) == board.Ready && len(periods) > 0 && periods[len(periods)-1].to == never:
				periods[len(periods)-1].to = e.At
			}
		}
		for _, e := range c.events {
			if e.Kind != TryReceived || e.Controller != controller {
				continue
			}
			for _, notReadyPeriod := range notReady[e.SwitchID] {
				from := notReadyPeriod.from
				if from == never {
					continue
				}
				from += drainGrace + slack + maxProxyDelay + e.Duration
				from += c.stallTime(notReadyPeriod.from, from)
				if e.At > from && e.At < notReadyPeriod.to {
					c.addViolation(RuleDrain, c.calls[e.CallID], controller, "set-up at %s at %.3f, known at %.3f to be draining or gone",
						board.FormatID(e.SwitchID), e.At.Seconds(), notReadyPeriod.from.Seconds())
				}
			}
		}
	}
}

// checkColdSwitches checks that all controllers together don't overload a switch that has just started.
func (c *checker) checkColdSwitches() {
	startedAt := map[uint32]time.Duration{}
	for _, e := range c.events {
		if e.Kind == ListChanged && e.Duration > 0 && board.State(e.Status) == board.Ready {
			if _, before := startedAt[e.SwitchID]; !before {
				startedAt[e.SwitchID] = e.At - maxListDelay
			}
		}
	}
	received := map[uint32][]time.Duration{}
	for _, e := range c.events {
		if at, ok := startedAt[e.SwitchID]; ok && e.Kind == TryReceived && e.At < at+rampTime {
			received[e.SwitchID] = append(received[e.SwitchID], e.At)
		}
	}
	// Set-ups per second that a warm switch handles: all circuits of all groups once per mean holding time. The same again is allowed for the
	// calls of its own exchange.
	normalRate := float64(c.plan.Controllers*c.plan.Switches.Circuits) / (c.plan.Switches.MaxHoldingTime / 2).Seconds()
	for _, id := range slices.SortedFunc(mapKeys(received), cmp.Compare[uint32]) {
		for i, at := range received[id] {
			count := 0
			for _, other := range received[id][i:] {
				if other-at < overloadWindow {
					count++
				}
			}
			capacityShare := initialCapacity + (1-initialCapacity)*min(1, (at-startedAt[id]).Seconds()/rampTime.Seconds())
			tolerated := overloadMultiple * capacityShare * 2 * normalRate * overloadWindow.Seconds()
			if float64(count) > tolerated+3*math.Sqrt(tolerated)+3 {
				c.addViolation(RuleColdSwitch, nil, -1, "%d set-ups in %v to %s, which tolerates %.1f", count, overloadWindow, board.FormatID(id), tolerated)
				break
			}
		}
	}
}
