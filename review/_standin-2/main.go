// Command standin-2 plays the cases of the second review: it starts call controllers as the deploy file says and plays callers,
// switches and the notice board round them on loopback.
//
//	standin-2 CASE FOLDER
//
// CASE is the name of a case, FOLDER takes record.txt. TROUBLE=0 in the environment leaves the disruption out. The exit code is 1
// if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// slack is what the pages add to every time limit.
const slack = 50 * time.Millisecond

// run is one run of a case.
type run struct {
	trouble bool
	variant string
	start   time.Time
	dir     string // temporary folder
	mu      sync.Mutex
	record  *os.File
	ctl     []*controller
}

var cases = map[string]func(*run) (broken bool){
	"quiet":     playQuiet,
	"successor": playSuccessor, // played by hand only
	"announced": playAnnounced,
	"resets":    playResets,
	"spoilt":    playSpoilt,
	"hung":      playHung,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// couldNotRun is the panic value that ends a run that says nothing about the rule.
type couldNotRun string

func play(body func(*run) bool, folder string) (code int) {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", variant: os.Getenv("VARIANT"), start: time.Now()}
	var err error
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.record.Close()
	if r.dir, err = os.MkdirTemp("", "standin-2-"); err != nil {
		r.note("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(r.dir)
	killAll := func() {
		for _, c := range r.controllers() {
			c.kill()
		}
	}
	defer killAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() { // whoever ends the script ends its processes
		<-stop
		killAll()
		os.RemoveAll(r.dir)
		os.Exit(2)
	}()
	defer func() {
		if reason := recover(); reason != nil {
			r.note("could not run: %v", reason)
			code = 2
		}
	}()
	r.note("disruption: %v", r.trouble)
	if body(r) {
		r.note("RESULT: the rule was broken")
		return 1
	}
	r.note("RESULT: the rule held")
	return 0
}

// controllers are the call controllers that were started.
func (r *run) controllers() []*controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ctl)
}

// since is the time since the start of the run.
func (r *run) since() time.Duration { return time.Since(r.start) }

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
	r.record.WriteString(line) //nolint:errcheck // the record is for the reader only
	fmt.Print(line)
}

func (r *run) giveUp(format string, args ...any) { panic(couldNotRun(fmt.Sprintf(format, args...))) }

// until sleeps until a time of the run.
func (r *run) until(at time.Duration) { time.Sleep(at - r.since()) }

// wait waits until a condition holds, at most until a time of the run, and reports whether it does.
func (r *run) wait(at time.Duration, condition func() bool) bool {
	for !condition() {
		if r.since() >= at {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
	return true
}
