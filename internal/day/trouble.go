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
	start            func(r *runner, t Trouble, in []int, chance *rand.Rand) func()
}

var troubleKinds map[string]troubleKind

func init() {
	troubleKinds = map[string]troubleKind{
		"load_jump":         {0, 100, "factor of the call rate", nil, nil},
		"hot_caller":        {0, 1000, "factor of the call rate of some exchanges", nil, nil},
		"circuits_lost":     {0, 1, "share of the circuits between some exchanges and the others", nil, loseCircuits},
		"mass_cut":          {0, 1, "share of established calls disconnected", nil, disconnectCalls},
		"slow":              {1, 1000, "times slower", nil, switchFault(func(d *standin.SwitchFaults, t Trouble) { d.Slowdown = t.Size })},
		"other_work":        {0, 0.99, "share of the processor taken", nil, switchFault(func(d *standin.SwitchFaults, t Trouble) { d.OtherLoad = t.Size })},
		"hung":              {0, 1e6, "not used", nil, switchFault(func(d *standin.SwitchFaults, t Trouble) { d.Hung = true })},
		"half_open":         {0, 1e6, "not used", nil, halfOpen},
		"chopped":           {1, 4096, "octets a write", nil, switchFault(func(d *standin.SwitchFaults, t Trouble) { d.MaxWriteSize = int(t.Size) })},
		"answers_lost":      {0, 1, "share of answers lost", []string{"silence", "reset"}, switchFault(func(d *standin.SwitchFaults, t Trouble) { d.AnswerLossRatio, d.ResetOnLoss = t.Size, t.How == "reset" })},
		"links_reset":       {0, 1, "share of a switch's links reset", nil, resetLinks},
		"list_late":         {0, 1000, "additional delay in seconds", nil, delayList},
		"list_wrong":        {0, 1e6, "not used", []string{"short", "repeated", "contradictory", "stale"}, corruptList},
		"leave_early":       {0, 1, "share of callers", nil, abandonEarly},
		"controllers_kill":  {0, 1000, "seconds until the restart", nil, killControllers},
		"controllers_stall": {0.001, 1000, "seconds of each pause", nil, pauseControllers},
		"controllers_roll":  {0, 1000, "seconds until each restart", nil, rollControllers},
		"drain":             {0, 1000, "seconds between drain and restart", nil, drainSwitches},
		"ageing":            {1, 1000, "times slower at the end, before a restart within a second", nil, ageSwitches},
		"gateways":          {0, 60, "share, or seconds late", []string{"loss", "double", "late", "truncated", "two_answers", "reused_ids", "cut", "flash", "hang_up", "trickle", "glare", "restart", "moved"}, disturbGateways},
		"portability":       {0, 60, "seconds late", []string{"late", "silent", "truncated", "wrong", "contradictory", "other"}, disturbPortability},
		"tables_change":     {0, 1e6, "not used", nil, changeTables},
		"mass_restart":      {0, 1000, "seconds without the switches", nil, restartSwitches},
	}
}

// TroubleKinds lists the names of all kinds of trouble.
func TroubleKinds() []string {
	var all []string
	for name := range troubleKinds {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

func switchFault(change func(*standin.SwitchFaults, Trouble)) func(*runner, Trouble, []int, *rand.Rand) func() {
	return func(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
		for _, e := range in {
			r.switches[e].UpdateFaults(func(d *standin.SwitchFaults) { change(d, t) })
		}
		return func() {
			for _, e := range in { // this also ends other faults of the switch
				r.switches[e].UpdateFaults(func(d *standin.SwitchFaults) { *d = standin.SwitchFaults{Slowdown: 1} })
			}
		}
	}
}

func halfOpen(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.switches[e].UpdateFaults(func(d *standin.SwitchFaults) { d.HalfOpen = true })
	}
	return func() {
		for _, e := range in {
			r.switches[e].ResetLinks(1) // half-open links are closed, so that both ends reconnect
			r.switches[e].UpdateFaults(func(d *standin.SwitchFaults) { d.HalfOpen = false })
		}
	}
}

func loseCircuits(r *runner, t Trouble, in []int, chance *rand.Rand) func() {
	inside := map[int]bool{}
	for _, e := range in {
		inside[e] = true
	}
	each := func(do func(a, b int)) {
		for a := range r.switches {
			for b := range r.switches {
				if a != b && inside[a] != inside[b] {
					do(a, b)
				}
			}
		}
	}
	each(func(a, b int) {
		var cics []uint16
		if b < a { // the same circuits at both exchanges
			for i := range r.plan.circuits[a][b] {
				if chance.Float64() < t.Size {
					cics = append(cics, uint16(i/31*32+i%31+1))
				}
			}
			r.switches[a].SetLostCircuits(b, cics)
			r.switches[b].SetLostCircuits(a, cics)
		}
	})
	return func() { each(func(a, b int) { r.switches[a].SetLostCircuits(b, nil) }) }
}

func disconnectCalls(r *runner, t Trouble, _ []int, _ *rand.Rand) func() {
	for _, s := range r.switches {
		s.DisconnectCalls(t.Size)
	}
	return nil
}

func resetLinks(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.switches[e].ResetLinks(t.Size)
	}
	return nil
}

func delayList(r *runner, t Trouble, _ []int, _ *rand.Rand) func() {
	r.register.SetDelay(r.script.ListDelay + time.Duration(t.Size*float64(time.Second)))
	return func() { r.register.SetDelay(r.script.ListDelay) }
}

func corruptList(r *runner, t Trouble, _ []int, _ *rand.Rand) func() {
	r.register.SetFault(t.How)
	return func() { r.register.SetFault("") }
}

func abandonEarly(r *runner, t Trouble, _ []int, _ *rand.Rand) func() {
	r.subscribers.SetEarlyAbandonRatio(t.Size)
	return func() { r.subscribers.SetEarlyAbandonRatio(0) }
}

func disturbPortability(r *runner, t Trouble, _ []int, _ *rand.Rand) func() {
	how, late := t.How, time.Duration(0)
	if how == "late" {
		how, late = "", seconds(t.Size)
	}
	r.portability.SetFault(how, late)
	return func() { r.portability.SetFault("", 0) }
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func killControllers(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.controllers[e].kill()
	}
	r.schedule(seconds(t.Size), func() {
		for _, e := range in {
			r.startController(e)
		}
	})
	return nil
}

func rollControllers(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
	for i, e := range in {
		r.schedule(t.Duration*time.Duration(i)/time.Duration(len(in)), func() {
			r.controllers[e].process().Drain()
			r.schedule(seconds(t.Size), func() {
				r.controllers[e].kill()
				r.startController(e)
			})
		})
	}
	return nil
}

func pauseControllers(r *runner, t Trouble, in []int, chance *rand.Rand) func() {
	for _, e := range in {
		for at := time.Duration(chance.Float64() * float64(t.Interval)); at < t.Duration; at += t.Interval {
			r.schedule(at, func() { r.controllers[e].pause() })
			r.schedule(at+seconds(t.Size), func() { r.controllers[e].resume() })
		}
	}
	return nil
}

func (r *runner) restartSwitch(e int, gone time.Duration) {
	r.switches[e].Stop()
	r.schedule(gone, func() { r.startSwitch(e) })
}

func drainSwitches(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
	for i, e := range in {
		r.schedule(t.Duration*time.Duration(i)/time.Duration(len(in)), func() {
			r.switches[e].SetDraining(true)
			r.schedule(seconds(t.Size), func() { r.restartSwitch(e, time.Second) })
		})
	}
	return nil
}

func ageSwitches(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
	const steps = 20
	for i := range steps {
		r.schedule(t.Duration*time.Duration(i)/steps, func() {
			for _, e := range in {
				r.switches[e].UpdateFaults(func(d *standin.SwitchFaults) { d.Slowdown = 1 + (t.Size-1)*float64(i+1)/steps })
			}
		})
	}
	return func() {
		for _, e := range in {
			r.switches[e].UpdateFaults(func(d *standin.SwitchFaults) { d.Slowdown = 1 })
			r.restartSwitch(e, time.Second)
		}
	}
}

func restartSwitches(r *runner, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.restartSwitch(e, seconds(t.Size))
	}
	return nil
}
