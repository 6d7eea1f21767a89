package day

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/standin"
)

// Program is one life of one exchange's controller.
type Program interface {
	Ready() <-chan struct{}
	Done() <-chan struct{}
	Kill()
	Drain()
	Load(table string) error // has it take a table of numbers at once
	Stop()                   // stands still until GoOn
	GoOn()
	Used() (processor time.Duration, kilobytes int64) // once done
}

// Options of one run.
type Options struct {
	Launch   func(exchange int, siteFile, routing, plant string) (Program, error)
	Listen   func(address string) (net.Listener, error) // "" has an address chosen
	Dial     func(address string) (net.Conn, error)
	Packets  func(address string) (net.PacketConn, error) // datagram sockets; port 0 has one chosen
	Routing  string                                       // "module", or a baseline: "direct", "random"
	Plant    string                                       // rule to be broken once: answer, copy, drain, cold, release
	Keep     string                                       // folder for the log and the controllers' output; "" a temporary one, removed at the end
	Progress io.Writer
}

// run is a day being played.
type run struct {
	script      Script
	opts        Options
	plan        plan
	dir         string
	log         *audit.Log
	switches    []*standin.Switch
	addresses   []string
	register    *standin.Register
	registerAt  string
	subscribers *standin.Subscribers
	controllers []*controller
	controls    []string // addresses that take orders, where there are tables
	tables      int      // versions made so far
	ported      *standin.Ported
	phones      phones
	ctx         context.Context
	all         sync.WaitGroup
	mu          sync.Mutex
	cpu         time.Duration
	memory      int64 // the most that one controller held, kilobytes
}

// Run plays a day and returns its report. It ends all it started, also when ctx ends early.
func Run(ctx context.Context, s Script, o Options) (Report, error) {
	r := &run{script: s, opts: o, plan: draw(s), ctx: ctx}
	dir := o.Keep
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "indigodrift-day-"); err != nil {
			return Report{}, fmt.Errorf("folder for the day: %w", err)
		}
		defer os.RemoveAll(dir)
	} else if err = os.MkdirAll(dir, 0o755); err != nil {
		return Report{}, fmt.Errorf("folder for the day: %w", err)
	}
	r.dir = dir
	name := filepath.Join(dir, "audit.log")
	f, err := os.Create(name)
	if err != nil {
		return Report{}, fmt.Errorf("audit log: %w", err)
	}
	r.log = audit.NewLog(f)
	err = r.play()
	if closing := errors.Join(r.log.Close(), f.Close()); err == nil {
		err = closing
	}
	if err != nil {
		return Report{}, err
	}
	events, err := readLog(name)
	if err != nil {
		return Report{}, err
	}
	rep := count(s, r.plan.callers)
	rep.Breaches = audit.Judge(events)
	for _, e := range events {
		if e.Kind == audit.Try {
			rep.Tries++
		}
	}
	if s.Tables && s.Ported == 0 { // a ported number goes elsewhere than its own digits say
		rep.Versions, rep.Mixed = judgeTables(events, s.Exchanges)
	}
	if r.ported != nil {
		rep.Asked = r.ported.Asked()
	}
	rep.Phones = countPhones(r.phones.calls)
	rep.CPU, rep.Memory, rep.DialLate = r.cpu, r.memory, r.subscribers.Late()
	return rep, nil
}

func readLog(name string) ([]audit.Event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("audit log: %w", err)
	}
	defer f.Close()
	events, err := audit.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return events, nil
}

func (r *run) play() error {
	d := r.script.Deployment
	for rule, v := range map[int]int64{audit.RuleGrace: span(d.DrainGrace).Microseconds(), audit.RuleRelease: span(d.ReleaseTime).Microseconds(),
		audit.RuleRamp: span(d.RampTime).Microseconds(), audit.RuleWindow: span(d.OverloadWindow).Microseconds(),
		audit.RuleMultiple: int64(d.OverloadMultiple * 1000), audit.RuleColdFrom: int64(d.InitialCapacity * 1000)} {
		r.log.Add(audit.Event{Kind: audit.Rule, Site: rule, Value: v})
	}
	ctx, end := context.WithCancel(r.ctx)
	r.ctx = ctx
	defer r.stopAll(end)
	for i := range r.script.Exchanges {
		r.switches = append(r.switches, standin.NewSwitch(i, r.plan.work, r.script.Seed, r.log))
		ln, err := r.opts.Listen("")
		if err != nil {
			return fmt.Errorf("switch %d: %w", i, err)
		}
		r.addresses = append(r.addresses, ln.Addr().String())
		if err := r.switches[i].Start(func() (net.Listener, error) { return ln, nil }); err != nil {
			return err
		}
	}
	ln, err := r.opts.Listen("")
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.registerAt = ln.Addr().String()
	r.register = standin.NewRegister(r.switches, r.plan.sizes, r.script.ListLate, r.script.ListEvery, r.log)
	r.register.Start(ln)
	r.subscribers = standin.NewSubscribers(r.script.Exchanges, r.plan.callers, r.script.Habits, r.script.Seed, func(e int) (net.Conn, error) {
		return r.opts.Dial(r.addresses[e])
	})
	if r.script.Tables {
		if err := r.makeTable(); err != nil {
			return err
		}
		if r.script.Ported > 0 {
			if err := r.startPorted(); err != nil {
				return err
			}
		}
		for range r.script.Exchanges {
			at, err := freeAddress()
			if err != nil {
				return err
			}
			r.controls = append(r.controls, at)
		}
	}
	if err := r.makeGateways(); err != nil {
		return err
	}
	for i := range r.script.Exchanges {
		r.controllers = append(r.controllers, &controller{no: i, run: r})
		if err := r.startController(i); err != nil {
			return err
		}
	}
	for _, c := range r.controllers {
		if err := c.wait(20 * time.Second); err != nil {
			return err
		}
	}
	if err := r.startGateways(); err != nil {
		return err
	}
	fmt.Fprintf(r.opts.Progress, "%d exchanges are in service, %d callers will call\n", len(r.switches), len(r.plan.callers))
	if !r.sleep(r.script.Settle) {
		return context.Cause(r.ctx)
	}
	for i, t := range r.script.Troubles {
		chance := rand.New(rand.NewPCG(r.script.Seed, uint64(1000+i)))
		k := kinds[t.Kind]
		in := pick(r.script.Exchanges, t.Part, chance)
		r.after(t.Start, func() {
			fmt.Fprintf(r.opts.Progress, "%6.1f s  %v\n", t.Start.Seconds(), t)
			if k.begin == nil {
				return
			}
			if over := k.begin(r, t, in, chance); over != nil {
				r.after(t.Length, over)
			}
		})
	}
	if r.opts.Plant == "drain" || r.opts.Plant == "cold" {
		fmt.Fprintln(r.opts.Progress, "planted break:", r.opts.Plant)
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		r.subscribers.Run(stop)
		close(done)
	}()
	tail := 5 * time.Second
	for _, b := range r.script.Deployment.Bearers {
		tail = max(tail, span(b.AbandonTime))
	}
	early := done
	if r.script.Gateways.Each > 0 { // the subscribers may be done before the phones are
		early = nil
	}
	select {
	case <-early:
	case <-time.After(r.script.Length + tail):
	case <-r.ctx.Done():
	}
	r.log.Add(audit.Event{Kind: audit.End})
	close(stop)
	<-done
	return context.Cause(r.ctx)
}

func (r *run) sleep(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// after does something later, unless the day ends before.
func (r *run) after(d time.Duration, do func()) {
	r.all.Go(func() {
		if r.sleep(d) {
			do()
		}
	})
}

func (r *run) stopAll(end func()) {
	end()
	r.all.Wait()
	for _, c := range r.controllers {
		c.goOn()
		if p := c.program(); p != nil {
			p.Drain()
		}
	}
	for _, c := range r.controllers {
		c.leave(3 * time.Second)
	}
	r.stopGateways()
	if r.register != nil {
		r.register.Stop()
	}
	if r.ported != nil {
		r.ported.Stop()
	}
	for _, s := range r.switches {
		s.Stop()
	}
}

func (r *run) startSwitch(e int) {
	err := r.switches[e].Start(func() (net.Listener, error) {
		var ln net.Listener
		var err error
		for range 50 { // the address may still be held for a moment
			if ln, err = r.opts.Listen(r.addresses[e]); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		return ln, err
	})
	if err != nil {
		fmt.Fprintln(r.opts.Progress, err)
	}
}

// controller is one exchange's program over all its lives.
type controller struct {
	no       int
	run      *run
	starting sync.Mutex // two troubles may want it started again: one life at a time
	mu       sync.Mutex
	now      Program
	counted  Program // whose use has been added up
}

func (r *run) startController(e int) error {
	c := r.controllers[e]
	c.starting.Lock()
	defer c.starting.Unlock()
	if p := c.program(); p != nil {
		c.end(p)
	}
	file := filepath.Join(r.dir, fmt.Sprintf("site-%d.hcl", e))
	if err := os.WriteFile(file, r.siteFile(e), 0o644); err != nil {
		return fmt.Errorf("site file: %w", err)
	}
	plant := ""
	if e == 0 || r.opts.Plant != "answer" && r.opts.Plant != "copy" {
		plant = r.opts.Plant
	}
	p, err := r.opts.Launch(e, file, r.opts.Routing, plant)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.now = p
	c.mu.Unlock()
	return nil
}

func (c *controller) program() Program {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *controller) wait(most time.Duration) error {
	p := c.program()
	select {
	case <-p.Ready():
		return nil
	case <-p.Done():
		return fmt.Errorf("controller %d ended at once; see its log in %s", c.no, c.run.dir)
	case <-time.After(most):
		return fmt.Errorf("controller %d is not ready after %v", c.no, most)
	}
}

func (c *controller) stop() {
	c.run.log.Add(audit.Event{Kind: audit.Stopped, Site: c.no})
	c.program().Stop()
}

func (c *controller) goOn() {
	if p := c.program(); p != nil {
		p.GoOn()
		c.run.log.Add(audit.Event{Kind: audit.Went, Site: c.no})
	}
}

func (c *controller) kill() {
	c.run.log.Add(audit.Event{Kind: audit.Killed, Site: c.no})
	c.end(c.program())
}

// end kills a program and adds up what it used.
func (c *controller) end(p Program) {
	p.Kill()
	<-p.Done()
	c.mu.Lock()
	again := c.counted == p
	c.counted = p
	c.mu.Unlock()
	if again {
		return
	}
	cpu, memory := p.Used()
	c.run.mu.Lock()
	c.run.cpu += cpu
	c.run.memory = max(c.run.memory, memory)
	c.run.mu.Unlock()
}

func (c *controller) leave(most time.Duration) {
	if p := c.program(); p != nil {
		select {
		case <-p.Done():
		case <-time.After(most):
		}
		c.end(p)
	}
}
