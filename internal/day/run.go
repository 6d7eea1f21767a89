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
	Ready() <-chan struct{} // closed when the exchange is in service
	Done() <-chan struct{}  // closed when the process has ended
	Kill()
	Drain()                  // starts a graceful shutdown
	Load(table string) error // loads a number table at once
	Pause()                  // stops execution until Resume
	Resume()
	ResourceUse() (processor time.Duration, kilobytes int64) // after Done is closed
}

// Options are the options of one run.
type Options struct {
	Launch       func(exchange int, siteFile, routing, plantedFault string) (Process, error)
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
func Run(ctx context.Context, script Script, options Options) (Report, error) {
	day := &runner{script: script, options: options, plan: newPlan(script), ctx: ctx}
	dir := options.Dir
	var err error
	if dir == "" {
		if dir, err = os.MkdirTemp("", "indigodrift-day-"); err != nil {
			return Report{}, fmt.Errorf("create folder of the day: %w", err)
		}
		defer os.RemoveAll(dir)
	} else if err = os.MkdirAll(dir, 0o755); err != nil {
		return Report{}, fmt.Errorf("create folder of the day: %w", err)
	}
	day.dir = dir
	name := filepath.Join(dir, "audit.log")
	file, err := os.Create(name)
	if err != nil {
		return Report{}, fmt.Errorf("audit log: %w", err)
	}
	day.log = audit.NewLog(file)
	err = day.play()
	if closeErr := errors.Join(day.log.Close(), file.Close()); err == nil {
		err = closeErr
	}
	if err != nil {
		return Report{}, err
	}
	events, err := readAuditLog(name)
	if err != nil {
		return Report{}, err
	}
	report := countCallers(script, day.plan.callers)
	report.Violations = audit.Check(events)
	for _, event := range events {
		if event.Kind == audit.TryReceived {
			report.Tries++
		}
	}
	if script.UseTables && script.PortedShare == 0 { // a ported number is routed by other digits than its own
		report.TableVersions, report.MixedCalls = checkTables(events, script.ExchangeCount)
	}
	if day.portability != nil {
		report.PortabilityQueries = day.portability.QueryCount()
	}
	report.Phones = countPhoneCalls(day.gateways.calls)
	report.CPU, report.MaxMemory, report.MaxDialDelay = day.cpu, day.maxMemory, day.subscribers.MaxDialDelay()
	return report, nil
}

func readAuditLog(name string) ([]audit.Event, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("audit log: %w", err)
	}
	defer file.Close()
	events, err := audit.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return events, nil
}

// play runs the day from the start of the stand-ins to the end of the calls.
func (r *runner) play() error {
	deployment := r.script.Deployment
	for parameter, value := range map[int]int64{audit.ParameterDrainGrace: duration(deployment.DrainGrace).Microseconds(), audit.ParameterReleaseTime: duration(deployment.ReleaseTime).Microseconds(),
		audit.ParameterRampTime: duration(deployment.RampTime).Microseconds(), audit.ParameterOverloadWindow: duration(deployment.OverloadWindow).Microseconds(),
		audit.ParameterOverloadMultiple: int64(deployment.OverloadMultiple * 1000), audit.ParameterInitialCapacity: int64(deployment.InitialCapacity * 1000)} {
		r.log.Add(audit.Event{Kind: audit.Parameter, Site: parameter, Value: value})
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.ctx = ctx
	defer r.stopAll(cancel)
	for i := range r.script.ExchangeCount {
		r.switches = append(r.switches, standin.NewSwitch(i, r.plan.processor, r.script.Seed, r.log))
		listener, err := r.options.Listen("")
		if err != nil {
			return fmt.Errorf("switch %d: %w", i, err)
		}
		r.switchAddresses = append(r.switchAddresses, listener.Addr().String())
		if err := r.switches[i].Start(func() (net.Listener, error) { return listener, nil }); err != nil {
			return err
		}
	}
	listener, err := r.options.Listen("")
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.registerAddress = listener.Addr().String()
	r.register = standin.NewRegister(r.switches, r.plan.circuits, r.script.ListDelay, r.script.ListInterval, r.log)
	r.register.Start(listener)
	r.subscribers = standin.NewSubscribers(r.script.ExchangeCount, r.plan.callers, r.script.Subscribers, r.script.Seed, func(exchange int) (net.Conn, error) {
		return r.options.Dial(r.switchAddresses[exchange])
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
			address, err := freeAddress()
			if err != nil {
				return err
			}
			r.controlAddresses = append(r.controlAddresses, address)
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
	for i, trouble := range r.script.Troubles {
		random := rand.New(rand.NewPCG(r.script.Seed, uint64(1000+i)))
		kind := troubleKinds[trouble.Kind]
		affected := pickIndices(r.script.ExchangeCount, trouble.Fraction, random)
		r.schedule(trouble.Start, func() {
			fmt.Fprintf(r.options.Progress, "%6.1f s  %v\n", trouble.Start.Seconds(), trouble)
			if kind.start == nil {
				return
			}
			if end := kind.start(r, trouble, affected, random); end != nil {
				r.schedule(trouble.Duration, end)
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
	grace := 5 * time.Second
	for _, b := range r.script.Deployment.Bearers {
		grace = max(grace, duration(b.AbandonTime))
	}
	subscribersDone := done
	if r.script.Gateways.PerExchange > 0 { // the phones may take longer than the subscribers
		subscribersDone = nil
	}
	select {
	case <-subscribersDone:
	case <-time.After(r.script.Duration + grace):
	case <-r.ctx.Done():
	}
	r.log.Add(audit.Event{Kind: audit.DayEnded})
	close(stop)
	<-done
	return context.Cause(r.ctx)
}

// sleep waits and returns false if the day ends first.
func (r *runner) sleep(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// schedule runs a function after a delay, unless the day ends first.
func (r *runner) schedule(d time.Duration, run func()) {
	r.wg.Go(func() {
		if r.sleep(d) {
			run()
		}
	})
}

func (r *runner) stopAll(cancel func()) {
	cancel()
	r.wg.Wait()
	for _, c := range r.controllers {
		c.resume()
		if process := c.process(); process != nil {
			process.Drain()
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

func (r *runner) startSwitch(exchange int) {
	err := r.switches[exchange].Start(func() (net.Listener, error) {
		var listener net.Listener
		var err error
		for range 50 { // the address may be in use for a moment
			if listener, err = r.options.Listen(r.switchAddresses[exchange]); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		return listener, err
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

func (r *runner) startController(exchange int) error {
	controller := r.controllers[exchange]
	controller.startMutex.Lock()
	defer controller.startMutex.Unlock()
	if process := controller.process(); process != nil {
		controller.terminate(process)
	}
	path := filepath.Join(r.dir, fmt.Sprintf("site-%d.hcl", exchange))
	if err := os.WriteFile(path, r.siteFile(exchange), 0o644); err != nil {
		return fmt.Errorf("write site file: %w", err)
	}
	plantedFault := ""
	if exchange == 0 || r.options.PlantedFault != "answer" && r.options.PlantedFault != "copy" {
		plantedFault = r.options.PlantedFault
	}
	process, err := r.options.Launch(exchange, path, r.options.Routing, plantedFault)
	if err != nil {
		return err
	}
	controller.mu.Lock()
	controller.current = process
	controller.mu.Unlock()
	return nil
}

func (c *controller) process() Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *controller) waitReady(timeout time.Duration) error {
	process := c.process()
	select {
	case <-process.Ready():
		return nil
	case <-process.Done():
		return fmt.Errorf("controller %d ended during start-up; see its log in %s", c.exchange, c.runner.dir)
	case <-time.After(timeout):
		return fmt.Errorf("controller %d is not ready after %v", c.exchange, timeout)
	}
}

func (c *controller) pause() {
	c.runner.log.Add(audit.Event{Kind: audit.ControllerPaused, Site: c.exchange})
	c.process().Pause()
}

func (c *controller) resume() {
	if process := c.process(); process != nil {
		process.Resume()
		c.runner.log.Add(audit.Event{Kind: audit.ControllerResumed, Site: c.exchange})
	}
}

func (c *controller) kill() {
	c.runner.log.Add(audit.Event{Kind: audit.ControllerKilled, Site: c.exchange})
	c.terminate(c.process())
}

// terminate kills a process and adds its resource use.
func (c *controller) terminate(process Process) {
	process.Kill()
	<-process.Done()
	c.mu.Lock()
	alreadyCounted := c.counted == process
	c.counted = process
	c.mu.Unlock()
	if alreadyCounted {
		return
	}
	cpu, memory := process.ResourceUse()
	c.runner.mu.Lock()
	c.runner.cpu += cpu
	c.runner.maxMemory = max(c.runner.maxMemory, memory)
	c.runner.mu.Unlock()
}

func (c *controller) waitExit(timeout time.Duration) {
	if process := c.process(); process != nil {
		select {
		case <-process.Done():
		case <-time.After(timeout):
		}
		c.terminate(process)
	}
}
