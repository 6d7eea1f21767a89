package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/faultproxy"
)

const (
	sipPort    = 5060
	boardPort  = 2379
	settleTime = 9500 * time.Millisecond // after the last call; callers must learn of the end of a call within 8 s and slack
)

// harness holds one run: the controller processes and all their peers.
type harness struct {
	plan         Plan
	log          *Log
	dir          string
	program      string
	plantedFault string
	network      int // second octet of all addresses of the run

	mu              sync.Mutex
	random          *rand.Rand
	lastUpdate      uint64 // number of the last board event
	switchesStarted int    // switch processes simulated so far
	switches        []*Switch
	switchProxies   [][]*faultproxy.Proxy // in front of switches, by cell and controller
	boards          []*Board
	boardMoves      int
	controllers     []*Controller
	callerGroups    []*CallerGroup
	callerProxies   []*faultproxy.Proxy // in front of controllers
	done            chan struct{}
	wg              sync.WaitGroup
	restartMutexes  []sync.Mutex // by controller
	replaceMutexes  []sync.Mutex // by cell
}

// address returns an address in the network of the run.
func (h *harness) address(subnet, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", h.network, subnet, host, port)
}

// Third octets of addresses. Boards, switches and their proxies count up from theirs.
const (
	subnetController  = 1
	subnetCallerProxy = 2
	subnetBoard       = 3 // a board takes a new one with each move
	subnetSwitch      = 100
	subnetSwitchProxy = 150
)

// startPeersAndControllers starts switches, boards, proxies and controllers.
func (h *harness) startPeersAndControllers() error {
	count := h.plan.Controllers
	shape := faultproxy.Shape{MaxChunk: h.plan.MaxChunk, MaxChunkDelay: maxChunkDelay, MaxTotalChunkDelay: maxTotalChunkDelay,
		MaxConnectDelay: h.plan.MaxConnectDelay}
	h.switchProxies = make([][]*faultproxy.Proxy, count)
	h.restartMutexes, h.replaceMutexes = make([]sync.Mutex, count), make([]sync.Mutex, count)
	var entries []board.Switch
	for cell := range count {
		sw, err := h.startSwitch(cell, 0)
		if err != nil {
			return err
		}
		h.switches = append(h.switches, sw)
		for i := range count {
			linkShape := shape
			linkShape.Latency, linkShape.Jitter = h.plan.Latencies[cell*count+i], h.plan.Jitter
			proxy, err := faultproxy.Listen(h.address(subnetSwitchProxy+i, cell+1, sipPort), h.switchAddress(sw, i), linkShape,
				h.plan.Seed+uint64(cell*count+i))
			if err != nil {
				return err
			}
			proxy.OnClientClosed = func(remoteAddr string) { h.currentSwitch(cell).recordConnClosed(i, remoteAddr) }
			h.switchProxies[cell] = append(h.switchProxies[cell], proxy)
		}
		entries = append(entries, board.Switch{ID: sw.id, Exchange: cell})
	}
	for i := range count {
		b := newBoard(h.log, i, h.plan.DuplicateBoardEvents)
		if err := b.listen(h.address(subnetBoard, i+1, boardPort)); err != nil {
			return err
		}
		h.boards = append(h.boards, b)
	}
	h.publishUpdate(true, entries...)
	for i := range count {
		controller := &Controller{log: h.log, number: i, plan: h.plan, program: h.program, plantedFault: h.plantedFault,
			dir: h.dir, listen: h.address(subnetController, i+1, sipPort), board: h.boards[i]}
		h.controllers = append(h.controllers, controller)
		callerProxy, err := faultproxy.Listen(h.address(subnetCallerProxy, i+1, sipPort), controller.listen,
			faultproxy.Shape{MaxChunk: h.plan.MaxChunk, MaxChunkDelay: maxChunkDelay, MaxTotalChunkDelay: maxTotalChunkDelay}, h.plan.Seed+uint64(i))
		if err != nil {
			return err
		}
		h.callerProxies = append(h.callerProxies, callerProxy)
		h.callerGroups = append(h.callerGroups, newCallerGroup(h.log, h.plan, i, callerProxy.Address()))
	}
	for _, controller := range h.controllers {
		if err := controller.start(); err != nil {
			return err
		}
	}
	return nil
}

const (
	maxChunkDelay      = 4 * time.Millisecond  // between two chunks
	maxTotalChunkDelay = 20 * time.Millisecond // for all chunks of one read
)

// switchAddress returns the address at which a switch listens for a controller.
func (h *harness) switchAddress(sw *Switch, controller int) string {
	return h.address(subnetSwitch+controller, int(sw.id&0xff), sipPort)
}

// startSwitch starts a new switch of a cell, with one address for each controller.
func (h *harness) startSwitch(cell int, startedMS int64) (*Switch, error) {
	h.switchesStarted++
	sw := newSwitch(h.log, h.plan, uint32(h.plan.Seed&0xffff)<<16|uint32(h.switchesStarted), cell, startedMS)
	for i := range h.plan.Controllers {
		ln, err := net.Listen("tcp", h.switchAddress(sw, i))
		if err != nil {
			return nil, fmt.Errorf("listen for switch: %w", err)
		}
		sw.serve(i, ln)
	}
	return sw, nil
}

// publishUpdate publishes an update of the switch list on every board, with the addresses at which the board's controller reaches the switches.
func (h *harness) publishUpdate(complete bool, entries ...board.Switch) {
	h.lastUpdate++
	for _, sw := range entries {
		h.log.Add(Event{Kind: ListChanged, Controller: -1, SwitchID: sw.ID, Cell: sw.Exchange, Status: int(sw.State), Number: h.lastUpdate,
			Detail: fmt.Sprintf("cell %d state %d", sw.Exchange, sw.State), Duration: time.Duration(sw.StartedMS) * time.Millisecond})
	}
	for i, b := range h.boards {
		event := board.Event{Number: h.lastUpdate, Complete: complete}
		for _, sw := range entries {
			sw.Address = h.switchProxies[sw.Exchange][i].Address()
			event.Switches = append(event.Switches, sw)
		}
		b.publish(event)
	}
}

// run executes the plan.
func (h *harness) run(ctx context.Context) error {
	go h.log.watchStalls(h.done)
	if err := h.startPeersAndControllers(); err != nil {
		return err
	}
	startTime := h.log.Now()
	for _, group := range h.callerGroups {
		group.setAccess(accessFull)
		h.wg.Go(group.run)
	}
	for _, f := range h.plan.Faults {
		if !h.sleep(ctx, startTime+f.At-h.log.Now()) {
			return ctx.Err()
		}
		h.wg.Go(func() { h.inject(f) })
	}
	if !h.sleep(ctx, startTime+h.plan.Duration-h.log.Now()) {
		return ctx.Err()
	}
	for _, group := range h.callerGroups {
		group.stopPlacing()
	}
	// By then each call is answered and over, and its caller has been notified.
	h.sleep(ctx, h.plan.MaxAbandonTime+h.plan.Switches.MaxHoldingTime+settleTime)
	h.shutDown()
	return ctx.Err()
}

// sleep waits for a duration. It returns false if the context ends first.
func (h *harness) sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(0, duration)):
		return true
	}
}

// shutDown stops everything: first the controllers, by SIGTERM and, after killDelay, SIGKILL.
func (h *harness) shutDown() {
	close(h.done)
	var exits sync.WaitGroup
	for i, c := range h.controllers {
		exits.Go(func() {
			h.restartMutexes[i].Lock() // waits for a restart in progress
			defer h.restartMutexes[i].Unlock()
			c.signal(syscall.SIGTERM)
			h.awaitExitOrKill(c)
		})
	}
	exits.Wait()
	for _, group := range h.callerGroups {
		group.stop()
	}
	for _, s := range h.switches {
		s.Kill()
	}
	for _, b := range h.boards {
		b.close()
	}
	for _, p := range h.callerProxies {
		p.Close()
	}
	for _, cellProxies := range h.switchProxies {
		for _, p := range cellProxies {
			p.Close()
		}
	}
	h.wg.Wait()
}

// awaitExitOrKill waits until a controller has exited and sends SIGKILL after killDelay.
func (h *harness) awaitExitOrKill(c *Controller) {
	select {
	case <-c.done():
	case <-time.After(c.killDelay()):
		c.signal(syscall.SIGKILL)
		<-c.done()
	}
}

// randomDuration draws a duration from low to high.
func (h *harness) randomDuration(low, high time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return randomDuration(h.random, low, high)
}

// sleepUnlessDone waits for a duration. It returns false if the run ends first.
func (h *harness) sleepUnlessDone(duration time.Duration) bool {
	select {
	case <-h.done:
		return false
	case <-time.After(duration):
		return true
	}
}

// currentSwitch returns the switch of a cell.
func (h *harness) currentSwitch(cell int) *Switch {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.switches[cell]
}

// claimNetwork claims a second octet that no other run uses, by listening on a port of that network until hold is closed.
func claimNetwork(seed uint64) (network int, hold net.Listener, err error) {
	for i := range 200 {
		network = 20 + int((seed+uint64(i)*37+uint64(os.Getpid()))%200)
		if hold, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, sipPort)); err == nil {
			return network, hold, nil
		}
	}
	return 0, nil, fmt.Errorf("find a free loopback network: %w", err)
}
