package day

import (
	"math/rand/v2"
	"sort"
	"time"

	"indigodrift/internal/standin"
)

// kind is one sort of trouble: the range of its size, and what brings it on. begin returns what ends it, or nil.
type kind struct {
	least, most float64
	size        string // what size means
	how         []string
	begin       func(r *run, t Trouble, in []int, chance *rand.Rand) func()
}

var kinds map[string]kind

func init() {
	kinds = map[string]kind{
		"load_jump":         {0, 100, "times the calls", nil, nil},
		"hot_caller":        {0, 1000, "times the calls of a part of the exchanges", nil, nil},
		"circuits_lost":     {0, 1, "share of circuits lost, between a part of the exchanges and the others", nil, circuitsLost},
		"mass_cut":          {0, 1, "share of standing calls cut", nil, massCut},
		"slow":              {1, 1000, "times slower", nil, disturb(func(d *standin.Disturb, t Trouble) { d.Slow = t.Size })},
		"other_work":        {0, 0.99, "share of the processor taken", nil, disturb(func(d *standin.Disturb, t Trouble) { d.Busy = t.Size })},
		"hung":              {0, 1e6, "not used", nil, disturb(func(d *standin.Disturb, t Trouble) { d.Hung = true })},
		"half_open":         {0, 1e6, "not used", nil, halfOpen},
		"chopped":           {1, 4096, "octets a write", nil, disturb(func(d *standin.Disturb, t Trouble) { d.Chop = int(t.Size) })},
		"answers_lost":      {0, 1, "share of answers lost", []string{"silence", "reset"}, disturb(func(d *standin.Disturb, t Trouble) { d.LoseAnswer, d.ResetLost = t.Size, t.How == "reset" })},
		"links_reset":       {0, 1, "share of a switch's links reset", nil, linksReset},
		"list_late":         {0, 1000, "seconds later", nil, listLate},
		"list_wrong":        {0, 1e6, "not used", []string{"short", "repeated", "contradictory", "stale"}, listWrong},
		"leave_early":       {0, 1, "share of callers", nil, leaveEarly},
		"controllers_kill":  {0, 1000, "seconds until they are started again", nil, controllersKill},
		"controllers_stall": {0.001, 1000, "seconds stopped, every so often", nil, controllersStall},
		"controllers_roll":  {0, 1000, "seconds until each is started again", nil, controllersRoll},
		"drain":             {0, 1000, "seconds between drain and restart", nil, drain},
		"ageing":            {1, 1000, "times slower at the end, then dead for a second", nil, ageing},
		"gateways":          {0, 60, "share, or seconds late", []string{"loss", "double", "late", "truncated", "two_answers", "reused_ids", "cut", "flash", "hang_up", "trickle", "glare", "restart", "moved"}, gatewaysTroubled},
		"portability":       {0, 60, "seconds late", []string{"late", "silent", "truncated", "wrong", "contradictory", "other"}, portability},
		"tables_change":     {0, 1e6, "not used", nil, tablesChange},
		"mass_restart":      {0, 1000, "seconds that switches are gone", nil, massRestart},
	}
}

// Kinds lists the names of all kinds of trouble.
func Kinds() []string {
	var all []string
	for name := range kinds {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

func disturb(change func(*standin.Disturb, Trouble)) func(*run, Trouble, []int, *rand.Rand) func() {
	return func(r *run, t Trouble, in []int, _ *rand.Rand) func() {
		for _, e := range in {
			r.switches[e].Set(func(d *standin.Disturb) { change(d, t) })
		}
		return func() {
			for _, e := range in { // other troubles of the same kind, if any, end with it
				r.switches[e].Set(func(d *standin.Disturb) { *d = standin.Disturb{Slow: 1} })
			}
		}
	}
}

func halfOpen(r *run, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.switches[e].Set(func(d *standin.Disturb) { d.Deaf = true })
	}
	return func() {
		for _, e := range in {
			r.switches[e].BreakLinks(1) // what was half open is not taken up again: both ends start anew
			r.switches[e].Set(func(d *standin.Disturb) { d.Deaf = false })
		}
	}
}

func circuitsLost(r *run, t Trouble, in []int, chance *rand.Rand) func() {
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
		if b < a { // the same circuits at both ends
			for i := range r.plan.sizes[a][b] {
				if chance.Float64() < t.Size {
					cics = append(cics, uint16(i/31*32+i%31+1))
				}
			}
			r.switches[a].LoseCircuits(b, cics)
			r.switches[b].LoseCircuits(a, cics)
		}
	})
	return func() { each(func(a, b int) { r.switches[a].LoseCircuits(b, nil) }) }
}

func massCut(r *run, t Trouble, _ []int, _ *rand.Rand) func() {
	for _, s := range r.switches {
		s.CutCalls(t.Size)
	}
	return nil
}

func linksReset(r *run, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.switches[e].BreakLinks(t.Size)
	}
	return nil
}

func listLate(r *run, t Trouble, _ []int, _ *rand.Rand) func() {
	r.register.Late(r.script.ListLate + time.Duration(t.Size*float64(time.Second)))
	return func() { r.register.Late(r.script.ListLate) }
}

func listWrong(r *run, t Trouble, _ []int, _ *rand.Rand) func() {
	r.register.Wrong(t.How)
	return func() { r.register.Wrong("") }
}

func leaveEarly(r *run, t Trouble, _ []int, _ *rand.Rand) func() {
	r.subscribers.LeaveEarly(t.Size)
	return func() { r.subscribers.LeaveEarly(0) }
}

func portability(r *run, t Trouble, _ []int, _ *rand.Rand) func() {
	how, late := t.How, time.Duration(0)
	if how == "late" {
		how, late = "", seconds(t.Size)
	}
	r.ported.Set(how, late)
	return func() { r.ported.Set("", 0) }
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func controllersKill(r *run, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.controllers[e].kill()
	}
	r.after(seconds(t.Size), func() {
		for _, e := range in {
			r.startController(e)
		}
	})
	return nil
}

func controllersRoll(r *run, t Trouble, in []int, _ *rand.Rand) func() {
	for i, e := range in {
		r.after(t.Length*time.Duration(i)/time.Duration(len(in)), func() {
			r.controllers[e].program().Drain()
			r.after(seconds(t.Size), func() {
				r.controllers[e].kill()
				r.startController(e)
			})
		})
	}
	return nil
}

func controllersStall(r *run, t Trouble, in []int, chance *rand.Rand) func() {
	for _, e := range in {
		for at := time.Duration(chance.Float64() * float64(t.Every)); at < t.Length; at += t.Every {
			r.after(at, func() { r.controllers[e].stop() })
			r.after(at+seconds(t.Size), func() { r.controllers[e].goOn() })
		}
	}
	return nil
}

func (r *run) restart(e int, gone time.Duration) {
	r.switches[e].Stop()
	r.after(gone, func() { r.startSwitch(e) })
}

func drain(r *run, t Trouble, in []int, _ *rand.Rand) func() {
	for i, e := range in {
		r.after(t.Length*time.Duration(i)/time.Duration(len(in)), func() {
			r.switches[e].Drain(true)
			r.after(seconds(t.Size), func() { r.restart(e, time.Second) })
		})
	}
	return nil
}

func ageing(r *run, t Trouble, in []int, _ *rand.Rand) func() {
	const steps = 20
	for i := range steps {
		r.after(t.Length*time.Duration(i)/steps, func() {
			for _, e := range in {
				r.switches[e].Set(func(d *standin.Disturb) { d.Slow = 1 + (t.Size-1)*float64(i+1)/steps })
			}
		})
	}
	return func() {
		for _, e := range in {
			r.switches[e].Set(func(d *standin.Disturb) { d.Slow = 1 })
			r.restart(e, time.Second)
		}
	}
}

func massRestart(r *run, t Trouble, in []int, _ *rand.Rand) func() {
	for _, e := range in {
		r.restart(e, seconds(t.Size))
	}
	return nil
}
