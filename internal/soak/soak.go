// Package soak runs real controller processes on loopback against simulated callers, switches and notice boards, with TCP proxies between
// controllers and their callers and switches, and injects faults. Everything random is drawn from one seed. A run is checked against the
// rules of the protocol by what callers, switches and boards wrote and read, never by a controller's own log. The command `indigodrift soak`
// runs it.
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

// Options selects the runs.
type Options struct {
	Program      string // path of the indigodrift binary
	PlantedFault string // fault that the controllers are made to have, "" for none
	OnlyOutcome  string // name of the only unusual SetUpOutcome, without faults; "" for what the seed draws
	FirstSeed    uint64
	Seeds        int
	Parallel     int           // concurrent runs
	Duration     time.Duration // of the part with calls and faults
	Dir          string        // keeps configurations, events and logs; "" to remove them
	Out          io.Writer
}

// Result is the result of the run of one seed.
type Result struct {
	Plan         Plan
	Violations   []Violation
	SetUps       int
	Established  int
	ReleasesRead int
	Retries      int           // set-ups that switches received after the first of a call
	MemoryKB     int           // greatest peak of a controller
	Descriptors  int           // greatest peak of a controller
	Stalled      time.Duration // total time for which the test harness stalled
	Err          error         // failure of the test harness
	Dir          string
}

// ErrUnknownOutcome reports the name of a set-up outcome that does not exist.
var ErrUnknownOutcome = errors.New("unknown set-up outcome")

// Run runs the seeds and prints a line for each. For a violation it prints the rule, the call, its timeline and the command that repeats the run.
func Run(ctx context.Context, options Options) ([]Result, error) {
	results := make([]Result, options.Seeds)
	semaphore := make(chan struct{}, max(1, options.Parallel))
	var wg sync.WaitGroup
	var printMutex sync.Mutex
	for i := range options.Seeds {
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
			wg.Wait()
			return nil, ctx.Err()
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			results[i] = runSeed(ctx, options, options.FirstSeed+uint64(i))
			printMutex.Lock()
			defer printMutex.Unlock()
			results[i].print(options)
		})
	}
	wg.Wait()
	return results, ctx.Err()
}

// runSeed runs one seed and checks the run.
func runSeed(ctx context.Context, options Options, seed uint64) (result Result) {
	result.Plan = NewPlan(seed, options.Duration)
	if options.OnlyOutcome != "" {
		outcome, ok := ParseSetUpOutcome(options.OnlyOutcome)
		if !ok {
			result.Err = fmt.Errorf("%w: %q", ErrUnknownOutcome, options.OnlyOutcome)
			return result
		}
		result.Plan.RestrictTo(outcome)
	}
	dir := options.Dir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			result.Err = fmt.Errorf("create directory for the run: %w", err)
			return result
		}
		defer os.RemoveAll(tempDir)
		dir = tempDir
	}
	result.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if result.Err = os.MkdirAll(result.Dir, 0o755); result.Err != nil {
		return result
	}
	network, hold, err := claimNetwork(seed)
	if err != nil {
		result.Err = err
		return result
	}
	defer hold.Close()
	h := &harness{plan: result.Plan, log: NewLog(), dir: result.Dir, program: options.Program, plantedFault: options.PlantedFault, network: network,
		random: rand.New(rand.NewPCG(seed, 0xfa017)), done: make(chan struct{})}
	if result.Err = h.run(ctx); result.Err != nil {
		return result
	}
	events := h.log.Events()
	result.Violations = Check(result.Plan, events)
	result.countEvents(events)
	for _, c := range h.controllers {
		memory, descriptors := c.peakUsage()
		result.MemoryKB, result.Descriptors = max(result.MemoryKB, memory), max(result.Descriptors, descriptors)
		if memory > memoryLimitMB<<10 || descriptors > descriptorLimit {
			result.Violations = append(result.Violations, Violation{Rule: RuleLimits, Controller: c.number,
				Detail: fmt.Sprintf("%d KiB, %d descriptors", memory, descriptors)})
		}
	}
	if options.Dir != "" {
		result.Err = writeEvents(filepath.Join(result.Dir, "events.log"), events)
	}
	return result
}

// writeEvents writes one line for each event.
func writeEvents(path string, events []Event) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create event file: %w", err)
	}
	defer file.Close()
	for _, e := range events {
		if _, err := fmt.Fprintf(file, "%s call %s\n", e, e.CallID); err != nil {
			return fmt.Errorf("write event file: %w", err)
		}
	}
	return nil
}

// countEvents fills the counts of the result.
func (r *Result) countEvents(events []Event) {
	tried := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case SetUpSent:
			r.SetUps++
		case CallEstablished:
			r.Established++
		case ReleaseRead:
			r.ReleasesRead++
		case TryReceived:
			if tried[e.CallID] {
				r.Retries++
			}
			tried[e.CallID] = true
		case HarnessStalled:
			r.Stalled += e.Duration
		}
	}
}

const maxViolationsShown = 3

// print prints the line of the seed and its first violations.
func (r *Result) print(options Options) {
	verdict := "kept"
	switch {
	case r.Err != nil:
		verdict = "test harness failed: " + r.Err.Error()
	case len(r.Violations) > 0:
		verdict = "BROKEN " + Summary(r.Violations)
	}
	faults := map[string]int{}
	for _, f := range r.Plan.Faults {
		faults[f.Kind.String()]++
	}
	fmt.Fprintf(options.Out, "seed %d: %s; %d controllers, %d set-ups, %d established, %d retries, %d releases read, faults %v, %d KiB, %d descriptors, harness stalled %v\n",
		r.Plan.Seed, verdict, r.Plan.Controllers, r.SetUps, r.Established, r.Retries, r.ReleasesRead, faults, r.MemoryKB, r.Descriptors, r.Stalled.Round(time.Millisecond))
	for _, violation := range r.Violations[:min(maxViolationsShown, len(r.Violations))] {
		fmt.Fprintf(options.Out, "  %s\n", violation)
		for _, line := range violation.Timeline {
			fmt.Fprintf(options.Out, "    %s\n", line)
		}
	}
	if len(r.Violations) > 0 {
		command := fmt.Sprintf("indigodrift soak --from %d --seeds 1 --length %v", r.Plan.Seed, options.Duration)
		if options.PlantedFault != "" {
			command += " --plant " + options.PlantedFault
		}
		if options.OnlyOutcome != "" {
			command += " --only " + options.OnlyOutcome
		}
		fmt.Fprintf(options.Out, "  repeat with: %s\n", command)
	}
}
