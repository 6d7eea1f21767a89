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

// Process is one process of an exchange's controller.
type Process interface {
	Ready() <-chan struct{}
	Done() <-chan struct{}
	Kill()
	Drain()
	Load(table string) error // loads a number table at once
	Pause()                  // stops execution until Resume
	Resume()
	ResourceUse() (processor time.Duration, kilobytes int64) // after Done is closed
}

// Options are the options of one run.
type Options struct {
	Launch       func(exchange int, siteFile, routing, plant string) (Process, error)
	Listen       func(address string) (net.Listener, error) // "" chooses an address
	Dial         func(address string) (net.Conn, error)
	ListenPacket func(address string) (net.PacketConn, error) // datagram sockets; port 0 chooses a port
	Routing      string                                       // "module", or a baseline: "direct", "random"
	PlantedFault string                                       // violation to inject: answer, copy, drain, cold, release
	Dir          string                                       // folder for the audit log and the controllers' output; "": a temporary one
	Progress     io.Writer
}

// runner is a running day.
type runner struct {
	script           Script
	options          Options
	plan             plan
	dir              string
	log              *audit.Log
	switches         []*standin.Switch
	switchAddresses  []string
	register         *standin.Register
	registerAddress  string
	subscribers      *standin.Subscribers
	controllers      []*controller
	controlAddresses []string // addresses for control commands, in days with tables
	tableVersion     int      // last version written
	portability      *standin.PortabilityServer
	gateways         gatewayNetwork
	ctx              context.Context
	wg               sync.WaitGroup
	mu               sync.Mutex
	cpu              time.Duration
	maxMemory        int64 // maximum of one controller, in kilobytes
}

// Run runs a day and returns its report. It stops all that it started, also if ctx ends early.
func Run(ctx context.Context, s Script, o Options) (Report, error) {
	r := &runner{script: s, options: o, plan: newPlan(s), ctx: ctx}
	dir := o.Dir
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "indigodrift-day-"); err != nil {
			return Report{}, fmt.Errorf("create folder of the day: %w", err)
		}
		defer os.RemoveAll(dir)
	} else if err = os.MkdirAll(dir, 0o755); err != nil {
		return Report{}, fmt.Errorf("create folder of the day: %w", err)
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
	events, err := readAuditLog(name)
	if err != nil {
		return Report{}, err
	}
	rep := countCallers(s, r.plan.callers)
	rep.Violations = audit.Check(events)
	for _, e := range events {
		if e.Kind == audit.TryReceived {
			rep.Tries++
		}
	}
	if s.UseTables && s.PortedShare == 0 { // a ported number is routed by other digits than its own
		rep.TableVersions, rep.MixedCalls = checkTables(events, s.ExchangeCount)
	}
	if r.portability != nil {
		rep.PortabilityQueries = r.portability.QueryCount()
	}
	rep.Phones = countPhoneCalls(r.gateways.calls)
	rep.CPU, rep.MaxMemory, rep.MaxDialDelay = r.cpu, r.maxMemory, r.subscribers.MaxDialDelay()
	return rep, nil
}

func readAuditLog(name string) ([]audit.Event, error) {
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

func (r *runner) play() error {
	d := r.script.Deployment
	for rule, v := range map[int]int64{audit.ParameterDrainGrace: duration(d.DrainGrace).Microseconds(), audit.ParameterReleaseTime: duration(d.ReleaseTime).Microseconds(),
		audit.ParameterRampTime: duration(d.RampTime).Microseconds(), audit.ParameterOverloadWindow: duration(d.OverloadWindow).Microseconds(),
		audit.ParameterOverloadMultiple: int64(d.OverloadMultiple * 1000), audit.ParameterInitialCapacity: int64(d.InitialCapacity * 1000)} {
		r.log.Add(audit.Event{Kind: audit.Parameter, Site: rule, Value: v})
	}
	ctx, end := context.WithCancel(r.ctx)
	r.ctx = ctx
	defer r.stopAll(end)
	for i := range r.script.ExchangeCount {
		r.switches = append(r.switches, standin.NewSwitch(i, r.plan.processor, r.script.Seed, r.log))
		ln, err := r.options.Listen("")
		if err != nil {
			return fmt.Errorf("switch %d: %w", i, err)
		}
		r.switchAddresses = append(r.switchAddresses, ln.Addr().String())
		if err := r.switches[i].Start(func() (net.Listener, error) { return ln, nil }); err != nil {
			return err
		}
	}
	ln, err := r.options.Listen("")
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.registerAddress = ln.Addr().String()
	r.register = standin.NewRegister(r.switches, r.plan.circuits, r.script.ListDelay, r.script.ListInterval, r.log)
	r.register.Start(ln)
	r.subscribers = standin.NewSubscribers(r.script.ExchangeCount, r.plan.callers, r.script.Subscribers, r.script.Seed, func(e int) (net.Conn, error) {
		return r.options.Dial(r.switchAddresses[e])
	})
	if r.script.UseTables {
		if err := r.writeNextTable(); err != nil {
			return err
		}
		if r.script.PortedShare > 0 {
			if err := r.startPortability(); err != nil {
				return err
			}
		}
		for range r.script.ExchangeCount {
			at, err := freeAddress()
			if err != nil {
				return err
			}
			r.controlAddresses = append(r.controlAddresses, at)
		}
	}
	if err := r.createGateways(); err != nil {
		return err
	}
	for i := range r.script.ExchangeCount {
		r.controllers = append(r.controllers, &controller{exchange: i, runner: r})
		if err := r.startController(i); err != nil {
			return err
		}
	}
	for _, c := range r.controllers {
		if err := c.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	if err := r.startGateways(); err != nil {
		return err
	}
	fmt.Fprintf(r.options.Progress, "%d exchanges in service, %d callers planned\n", len(r.switches), len(r.plan.callers))
	if !r.sleep(r.script.SettleTime) {
		return context.Cause(r.ctx)
	}
	for i, t := range r.script.Troubles {
		chance := rand.New(rand.NewPCG(r.script.Seed, uint64(1000+i)))
		k := troubleKinds[t.Kind]
		in := pickIndices(r.script.ExchangeCount, t.Fraction, chance)
		r.schedule(t.Start, func() {
			fmt.Fprintf(r.options.Progress, "%6.1f s  %v\n", t.Start.Seconds(), t)
			if k.start == nil {
				return
			}
			if over := k.start(r, t, in, chance); over != nil {
				r.schedule(t.Duration, over)
			}
		})
	}
	if r.options.PlantedFault == "drain" || r.options.PlantedFault == "cold" {
		fmt.Fprintln(r.options.Progress, "planted fault:", r.options.PlantedFault)
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		r.subscribers.Run(stop)
		close(done)
	}()
	tail := 5 * time.Second
	for _, b := range r.script.Deployment.Bearers {
		tail = max(tail, duration(b.AbandonTime))
	}
	early := done
	if r.script.Gateways.PerExchange > 0 { // the phones may take longer than the subscribers
		early = nil
	}
	select {
	case <-early:
	case <-time.After(r.script.Duration + tail):
	case <-r.ctx.Done():
	}
	r.log.Add(audit.Event{Kind: audit.DayEnded})
	close(stop)
	<-done
	return context.Cause(r.ctx)
}

func (r *runner) sleep(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// schedule runs do after a delay, unless the day ends first.
func (r *runner) schedule(d time.Duration, do func()) {
	r.wg.Go(func() {
		if r.sleep(d) {
			do()
		}
	})
}

func (r *runner) stopAll(end func()) {
	end()
	r.wg.Wait()
	for _, c := range r.controllers {
		c.resume()
		if p := c.process(); p != nil {
			p.Drain()
		}
	}
	for _, c := range r.controllers {
		c.waitExit(3 * time.Second)
	}
	r.stopGateways()
	if r.register != nil {
		r.register.Stop()
	}
	if r.portability != nil {
		r.portability.Stop()
	}
	for _, s := range r.switches {
		s.Stop()
	}
}

func (r *runner) startSwitch(e int) {
	err := r.switches[e].Start(func() (net.Listener, error) {
		var ln net.Listener
		var err error
		for range 50 { // the address may be in use for a moment
			if ln, err = r.options.Listen(r.switchAddresses[e]); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		return ln, err
	})
	if err != nil {
		fmt.Fprintln(r.options.Progress, err)
	}
}

// controller is the controller of one exchange, over all its processes.
type controller struct {
	exchange   int
	runner     *runner
	startMutex sync.Mutex // two troubles may restart it: one process at a time
	mu         sync.Mutex
	current    Process
	counted    Process // last process whose resource use has been added
}

func (r *runner) startController(e int) error {
	c := r.controllers[e]
	c.startMutex.Lock()
	defer c.startMutex.Unlock()
	if p := c.process(); p != nil {
		c.terminate(p)
	}
	file := filepath.Join(r.dir, fmt.Sprintf("site-%d.hcl", e))
	if err := os.WriteFile(file, r.siteFile(e), 0o644); err != nil {
		return fmt.Errorf("write site file: %w", err)
	}
	plant := ""
	if e == 0 || r.options.PlantedFault != "answer" && r.options.PlantedFault != "copy" {
		plant = r.options.PlantedFault
	}
	p, err := r.options.Launch(e, file, r.options.Routing, plant)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.current = p
	c.mu.Unlock()
	return nil
}

func (c *controller) process() Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *controller) waitReady(most time.Duration) error {
	p := c.process()
	select {
	case <-p.Ready():
		return nil
	case <-p.Done():
		return fmt.Errorf("controller %d ended during start-up; see its log in %s", c.exchange, c.runner.dir)
	case <-time.After(most):
		return fmt.Errorf("controller %d is not ready after %v", c.exchange, most)
	}
}

func (c *controller) pause() {
	c.runner.log.Add(audit.Event{Kind: audit.ControllerPaused, Site: c.exchange})
	c.process().Pause()
}

func (c *controller) resume() {
	if p := c.process(); p != nil {
		p.Resume()
		c.runner.log.Add(audit.Event{Kind: audit.ControllerResumed, Site: c.exchange})
	}
}

func (c *controller) kill() {
	c.runner.log.Add(audit.Event{Kind: audit.ControllerKilled, Site: c.exchange})
	c.terminate(c.process())
}

// terminate kills a process and adds its resource use.
func (c *controller) terminate(p Process) {
	p.Kill()
	<-p.Done()
	c.mu.Lock()
	again := c.counted == p
	c.counted = p
	c.mu.Unlock()
	if again {
		return
	}
	cpu, memory := p.ResourceUse()
	c.runner.mu.Lock()
	c.runner.cpu += cpu
	c.runner.maxMemory = max(c.runner.maxMemory, memory)
	c.runner.mu.Unlock()
}

func (c *controller) waitExit(most time.Duration) {
	if p := c.process(); p != nil {
		select {
		case <-p.Done():
		case <-time.After(most):
		}
		c.terminate(p)
	}
}
