package day

import (
	"math/rand/v2"
	"sort"
	"time"

	"indigodrift/internal/standin"
)

// troubleKind is one kind of trouble: the range of its size and its effect. start begins it and returns the function that
// ends it, or nil.
type troubleKind struct {
	minSize, maxSize float64
	sizeMeaning      string // meaning of the size
	how              []string
	start            func(r *runner, trouble Trouble, affected []int, random *rand.Rand) func()
}

var troubleKinds map[string]troubleKind

func init() {
	troubleKinds = map[string]troubleKind{
		"load_jump":     {0, 100, "factor of the call rate", nil, nil},
		"hot_caller":    {0, 1000, "factor of the call rate of some exchanges", nil, nil},
		"circuits_lost": {0, 1, "share of the circuits between some exchanges and the others", nil, loseCircuits},
		"mass_cut":      {0, 1, "share of established calls disconnected", nil, disconnectCalls},
		"slow":          {1, 1000, "times slower", nil, switchFault(func(d *standin.SwitchFaults, trouble Trouble) { d.Slowdown = trouble.Size })},
		"other_work":    {0, 0.99, "share of the processor taken", nil, switchFault(func(d *standin.SwitchFaults, trouble Trouble) { d.OtherLoad = trouble.Size })},
		"hung":          {0, 1e6, "not used", nil, switchFault(func(d *standin.SwitchFaults, trouble Trouble) { d.Hung = true })},
		"half_open":     {0, 1e6, "not used", nil, halfOpen},
		"chopped":       {1, 4096, "octets a write", nil, switchFault(func(d *standin.SwitchFaults, trouble Trouble) { d.MaxWriteSize = int(trouble.Size) })},
		"answers_lost": {0, 1, "share of answers lost", []string{"silence", "reset"}, switchFault(func(d *standin.SwitchFaults, trouble Trouble) {
			d.AnswerLossRatio, d.ResetOnLoss = trouble.Size, trouble.How == "reset"
		})},
		"links_reset":       {0, 1, "share of a switch's links reset", nil, resetLinks},
		"list_late":         {0, 1000, "additional delay in seconds", nil, delayList},
		"list_wrong":        {0, 1e6, "not used", []string{"short", "repeated", "contradictory", "stale"}, corruptList},
		"leave_early":       {0, 1, "share of callers", nil, abandonEarly},
		"controllers_kill":  {0, 1000, "seconds until the restart", nil, killControllers},
		"controllers_stall": {0.001, 1000, "seconds of each pause", nil, pauseControllers},
		"controllers_roll":  {0, 1000, "seconds until each restart", nil, rollControllers},
		"drain":             {0, 1000, "seconds between drain and restart", nil, drainSwitches},
		"ageing":            {1, 1000, "times slower at the end, then a restart with one second of outage", nil, ageSwitches},
		"gateways":          {0, 60, "share, or seconds late", []string{"loss", "double", "late", "truncated", "two_answers", "reused_ids", "cut", "flash", "hang_up", "trickle", "glare", "restart", "moved"}, disturbGateways},
		"portability":       {0, 60, "seconds late", []string{"late", "silent", "truncated", "wrong", "contradictory", "other"}, disturbPortability},
		"tables_change":     {0, 1e6, "not used", nil, changeTables},
		"mass_restart":      {0, 1000, "seconds without the switches", nil, restartSwitches},
	}
}

// TroubleKinds lists the names of all kinds of trouble.
func TroubleKinds() []string {
	var names []string
	for name := range troubleKinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// switchFault returns a trouble that sets a fault of the affected switches.
func switchFault(set func(*standin.SwitchFaults, Trouble)) func(*runner, Trouble, []int, *rand.Rand) func() {
	return func(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
		for _, exchange := range affected {
			r.switches[exchange].UpdateFaults(func(faults *standin.SwitchFaults) { set(faults, trouble) })
		}
		return func() {
			for _, exchange := range affected { // this also ends other faults of the switch
				r.switches[exchange].UpdateFaults(func(faults *standin.SwitchFaults) { *faults = standin.SwitchFaults{Slowdown: 1} })
			}
		}
	}
}

func halfOpen(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
	for _, exchange := range affected {
		r.switches[exchange].UpdateFaults(func(faults *standin.SwitchFaults) { faults.HalfOpen = true })
	}
	return func() {
		for _, exchange := range affected {
			r.switches[exchange].ResetLinks(1) // half-open links are closed, so that both ends reconnect
			r.switches[exchange].UpdateFaults(func(faults *standin.SwitchFaults) { faults.HalfOpen = false })
		}
	}
}

// loseCircuits takes circuits between the affected exchanges and the others out of service.
func loseCircuits(r *runner, trouble Trouble, affected []int, random *rand.Rand) func() {
	isAffected := map[int]bool{}
	for _, exchange := range affected {
		isAffected[exchange] = true
	}
	forEachPair := func(do func(a, b int)) {
		for a := range r.switches {
			for b := range r.switches {
				if a != b && isAffected[a] != isAffected[b] {
					do(a, b)
				}
			}
		}
	}
	forEachPair(func(a, b int) {
		var cics []uint16
		if b < a { // the same circuits at both exchanges
			for i := range r.plan.circuits[a][b] {
				if random.Float64() < trouble.Size {
					cics = append(cics, uint16(i/31*32+i%31+1))
				}
			}
			r.switches[a].SetLostCircuits(b, cics)
			r.switches[b].SetLostCircuits(a, cics)
		}
	})
	return func() { forEachPair(func(a, b int) { r.switches[a].SetLostCircuits(b, nil) }) }
}

func disconnectCalls(r *runner, trouble Trouble, _ []int, _ *rand.Rand) func() {
	for _, s := range r.switches {
		s.DisconnectCalls(trouble.Size)
	}
	return nil
}

func resetLinks(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
	for _, exchange := range affected {
		r.switches[exchange].ResetLinks(trouble.Size)
	}
	return nil
}

func delayList(r *runner, trouble Trouble, _ []int, _ *rand.Rand) func() {
	r.register.SetDelay(r.script.ListDelay + time.Duration(trouble.Size*float64(time.Second)))
	return func() { r.register.SetDelay(r.script.ListDelay) }
}

func corruptList(r *runner, trouble Trouble, _ []int, _ *rand.Rand) func() {
	r.register.SetFault(trouble.How)
	return func() { r.register.SetFault("") }
}

func abandonEarly(r *runner, trouble Trouble, _ []int, _ *rand.Rand) func() {
	r.subscribers.SetEarlyAbandonRatio(trouble.Size)
	return func() { r.subscribers.SetEarlyAbandonRatio(0) }
}

func disturbPortability(r *runner, trouble Trouble, _ []int, _ *rand.Rand) func() {
	fault, delay := trouble.How, time.Duration(0)
	if fault == "late" {
		fault, delay = "", seconds(trouble.Size)
	}
	r.portability.SetFault(fault, delay)
	return func() { r.portability.SetFault("", 0) }
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func killControllers(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
	for _, exchange := range affected {
		r.controllers[exchange].kill()
	}
	r.schedule(seconds(trouble.Size), func() {
		for _, exchange := range affected {
			r.startController(exchange)
		}
	})
	return nil
}

// rollControllers drains and restarts the affected controllers one after the other.
func rollControllers(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
	for i, exchange := range affected {
		r.schedule(trouble.Duration*time.Duration(i)/time.Duration(len(affected)), func() {
			r.controllers[exchange].process().Drain()
			r.schedule(seconds(trouble.Size), func() {
				r.controllers[exchange].kill()
				r.startController(exchange)
			})
		})
	}
	return nil
}

func pauseControllers(r *runner, trouble Trouble, affected []int, random *rand.Rand) func() {
	for _, exchange := range affected {
		for start := time.Duration(random.Float64() * float64(trouble.Interval)); start < trouble.Duration; start += trouble.Interval {
			r.schedule(start, func() { r.controllers[exchange].pause() })
			r.schedule(start+seconds(trouble.Size), func() { r.controllers[exchange].resume() })
		}
	}
	return nil
}

func (r *runner) restartSwitch(exchange int, downTime time.Duration) {
	r.switches[exchange].Stop()
	r.schedule(downTime, func() { r.startSwitch(exchange) })
}

// drainSwitches drains and restarts the affected switches one after the other.
func drainSwitches(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
	for i, exchange := range affected {
		r.schedule(trouble.Duration*time.Duration(i)/time.Duration(len(affected)), func() {
			r.switches[exchange].SetDraining(true)
			r.schedule(seconds(trouble.Size), func() { r.restartSwitch(exchange, time.Second) })
		})
	}
	return nil
}

// ageSwitches slows the affected switches down step by step and restarts them at the end.
func ageSwitches(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
	const steps = 20
	for i := range steps {
		r.schedule(trouble.Duration*time.Duration(i)/steps, func() {
			for _, exchange := range affected {
				r.switches[exchange].UpdateFaults(func(faults *standin.SwitchFaults) { faults.Slowdown = 1 + (trouble.Size-1)*float64(i+1)/steps })
			}
		})
	}
	return func() {
		for _, exchange := range affected {
			r.switches[exchange].UpdateFaults(func(faults *standin.SwitchFaults) { faults.Slowdown = 1 })
			r.restartSwitch(exchange, time.Second)
		}
	}
}

func restartSwitches(r *runner, trouble Trouble, affected []int, _ *rand.Rand) func() {
	for _, exchange := range affected {
		r.restartSwitch(exchange, seconds(trouble.Size))
	}
	return nil
}
