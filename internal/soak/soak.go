// Package soak runs real controller processes on loopback among callers, switches and notice boards of its own, with a TCP proxy between all
// of them, and injects faults. One seed draws everything. What callers, switches and boards wrote and read is judged against the protocol's
// rules; a controller's own log is never asked. The command `indigodrift soak` is its user.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options say what to run.
type Options struct {
	Program  string // the built binary
	Plant    string // a fault that the controllers have on purpose, "" for none
	Only     string // the one unusual way in which set-ups end, by SetUpEnd's name, "" for what the seed draws
	From     uint64 // the first seed
	Seeds    int
	Parallel int           // runs side by side
	Length   time.Duration // of the part with faults
	Folder   string        // where configurations and logs stay, "" to remove them
	Out      io.Writer
}

// Result is what became of one seed.
type Result struct {
	Plan     Plan
	Breaches []Breach
	Calls    int
	Stood    int
	Told     int
	Again    int // set-ups of calls that were tried before
	MemoryKB int
	Files    int
	Stalled  time.Duration // how long the rig itself stood still
	Err      error         // of the rig
	Folder   string
}

// ErrOnly tells that set-ups cannot end in such a way.
var ErrOnly = errors.New("no such end of a set-up")

// Run runs the seeds and prints a line for each, and for a failure the rule, the call, its timeline and the command that plays it again.
func Run(ctx context.Context, o Options) ([]Result, error) {
	results := make([]Result, o.Seeds)
	tokens := make(chan struct{}, max(1, o.Parallel))
	var all sync.WaitGroup
	var printing sync.Mutex
	for i := range o.Seeds {
		select {
		case tokens <- struct{}{}:
		case <-ctx.Done():
			all.Wait()
			return nil, ctx.Err()
		}
		all.Go(func() {
			defer func() { <-tokens }()
			results[i] = runSeed(ctx, o, o.From+uint64(i))
			printing.Lock()
			defer printing.Unlock()
			results[i].print(o)
		})
	}
	all.Wait()
	return results, ctx.Err()
}

func runSeed(ctx context.Context, o Options, seed uint64) (r Result) {
	r.Plan = Draw(seed, o.Length)
	if o.Only != "" {
		kind, ok := SetUpEndNamed(o.Only)
		if !ok {
			r.Err = fmt.Errorf("%w: %q", ErrOnly, o.Only)
			return r
		}
		r.Plan.Only(kind)
	}
	folder := o.Folder
	if folder == "" {
		made, err := os.MkdirTemp("", "soak-")
		if err != nil {
			r.Err = fmt.Errorf("folder of the run: %w", err)
			return r
		}
		defer os.RemoveAll(made)
		folder = made
	}
	r.Folder = filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if r.Err = os.MkdirAll(r.Folder, 0o755); r.Err != nil {
		return r
	}
	octet, lock, err := take(seed)
	if err != nil {
		r.Err = err
		return r
	}
	defer lock.Close()
	w := &world{plan: r.Plan, log: NewLog(), folder: r.Folder, program: o.Program, plant: o.Plant, net: octet,
		random: rand.New(rand.NewPCG(seed, 0xfa017)), stop: make(chan struct{})}
	if r.Err = w.play(ctx); r.Err != nil {
		return r
	}
	events := w.log.Events()
	r.Breaches = Judge(r.Plan, events)
	r.count(events)
	for _, c := range w.controllers {
		memory, files := c.used()
		r.MemoryKB, r.Files = max(r.MemoryKB, memory), max(r.Files, files)
		if memory > memoryMB<<10 || files > descriptors {
			r.Breaches = append(r.Breaches, Breach{Rule: RuleLimits, Controller: c.number, What: fmt.Sprintf("%d KiB, %d descriptors", memory, files)})
		}
	}
	if o.Folder != "" {
		r.Err = keep(filepath.Join(r.Folder, "events.log"), events)
	}
	return r
}

func keep(file string, events []Event) error {
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("events of the run: %w", err)
	}
	defer out.Close()
	for _, e := range events {
		if _, err := fmt.Fprintf(out, "%s call %s\n", e, e.Call); err != nil {
			return fmt.Errorf("events of the run: %w", err)
		}
	}
	return nil
}

func (r *Result) count(events []Event) {
	tried := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case CallSent:
			r.Calls++
		case CallStood:
			r.Stood++
		case CallToldOver:
			r.Told++
		case TryArrived:
			if tried[e.Call] {
				r.Again++
			}
			tried[e.Call] = true
		case RigStalled:
			r.Stalled += e.Span
		}
	}
}

const breachesShown = 3

func (r *Result) print(o Options) {
	verdict := "kept"
	switch {
	case r.Err != nil:
		verdict = "the rig failed: " + r.Err.Error()
	case len(r.Breaches) > 0:
		verdict = "BROKEN " + Summary(r.Breaches)
	}
	kinds := map[string]int{}
	for _, f := range r.Plan.Faults {
		kinds[f.Kind.String()]++
	}
	fmt.Fprintf(o.Out, "seed %d: %s; %d controllers, %d set-ups, %d stood, %d tried again, %d releases told, faults %v, %d KiB, %d descriptors, rig stalled %v\n", r.Plan.Seed, verdict,
		r.Plan.Controllers, r.Calls, r.Stood, r.Again, r.Told, kinds, r.MemoryKB, r.Files, r.Stalled.Round(time.Millisecond))
	for _, b := range r.Breaches[:min(breachesShown, len(r.Breaches))] {
		fmt.Fprintf(o.Out, "  %s\n", b)
		for _, line := range b.Timeline {
			fmt.Fprintf(o.Out, "    %s\n", line)
		}
	}
	if len(r.Breaches) > 0 {
		again := fmt.Sprintf("indigodrift soak --from %d --seeds 1 --length %v", r.Plan.Seed, o.Length)
		if o.Plant != "" {
			again += " --plant " + o.Plant
		}
		if o.Only != "" {
			again += " --only " + o.Only
		}
		fmt.Fprintf(o.Out, "  play it again: %s\n", again)
	}
}
