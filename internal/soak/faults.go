package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"indigodrift/internal/board"
)

const (
	numIdleClients = 120
	callsPerBurst  = 100
	maxListDelay   = 700 * time.Millisecond // between the end or start of a switch and its publication on the board

	// Callers go on opening connections for a time in this range after SIGTERM.
	minConnectTime = 200 * time.Millisecond
	maxConnectTime = 400 * time.Millisecond
)

// inject injects one fault.
func (h *harness) inject(fault Injection) {
	h.log.Add(Event{Kind: FaultInjected, Controller: fault.Controller, Detail: fault.String()})
	if fault.Cell == fault.Controller { // a controller doesn't connect to the switch of its own exchange
		fault.Cell = (fault.Cell + 1) % h.plan.Controllers
	}
	proxy, sw, noticeBoard := h.switchProxies[fault.Cell][fault.Controller], h.currentSwitch(fault.Cell), h.boards[fault.Controller]
	switch fault.Kind {
	case SilenceLinks:
		sw.recordConnsLost(fault.Controller, "", lossSilent)
		proxy.Silence()
	case SilenceLink:
		sw.recordConnLost(fault.Controller, proxy.SilenceOne(), lossSilent)
	case ResetLinks:
		sw.recordConnsLost(fault.Controller, "", lossReset)
		proxy.Reset()
	case ResetLink:
		sw.recordConnLost(fault.Controller, proxy.ResetOne(), lossReset)
	case RefuseLinks:
		proxy.CloseListener()
		h.sleepUnlessDone(fault.Duration)
		h.recordFailure(proxy.ReopenListener())
	case HangLinks:
		proxy.SetHanging(true)
		h.sleepUnlessDone(fault.Duration)
		proxy.SetHanging(false)
	case PartitionSwitch:
		h.partition(fault.Cell, fault.Duration)
	case HangSwitch:
		resume := sw.Hang()
		h.sleepUnlessDone(fault.Duration)
		resume()
	case KillSwitch:
		h.replaceSwitch(fault.Cell, false, fault.Count%2 == 0)
	case ReplaceSwitch:
		h.replaceSwitch(fault.Cell, true, fault.Count%2 == 0)
	case DrainSwitch:
		h.publishChange(board.Switch{ID: sw.id, Exchange: fault.Cell, State: board.Draining, StartedMS: sw.startedMS})
		if h.sleepUnlessDone(fault.Duration) && h.currentSwitch(fault.Cell) == sw {
			h.publishChange(board.Switch{ID: sw.id, Exchange: fault.Cell, State: board.Ready, StartedMS: sw.startedMS})
		}
	case DisconnectCalls:
		sw.DisconnectCalls()
	case SilenceBoard:
		noticeBoard.silence()
	case TruncateBoard:
		noticeBoard.truncateEvent()
	case StopBoard:
		restart := noticeBoard.stop()
		h.sleepUnlessDone(fault.Duration)
		h.recordFailure(restart())
	case Reload:
		h.reload(fault)
	case Restart:
		h.restart(fault.Controller)
	case ReloadRestart:
		fault.Count = 1
		h.reload(fault)
		h.restart(fault.Controller)
	case KillController:
		h.kill(fault.Controller)
	case SilenceCallers:
		h.callerGroups[fault.Controller].disruptConns(true, h.callerProxies[fault.Controller].Silence)
	case ResetCallers:
		h.callerGroups[fault.Controller].disruptConns(false, h.callerProxies[fault.Controller].Reset)
	case IdleClients:
		for range numIdleClients {
			h.wg.Go(func() { connectIdle(h.controllers[fault.Controller].listen, h.done) })
		}
	case HalfCloseLink:
		proxy.HalfCloseOne()
	case CallBurst:
		for range callsPerBurst {
			h.wg.Go(h.callerGroups[fault.Controller].placeNewCall)
		}
	case SignalBurst:
		h.signalBurst(fault)
	case BadClients:
		for i := range 8 * fault.Count {
			random := rand.New(rand.NewPCG(h.plan.Seed, uint64(fault.At)+uint64(i)))
			h.wg.Go(func() { runBadClient(h.log, fault.Controller, h.controllers[fault.Controller].listen, random) })
		}
	}
}

// recordFailure records a failure of the test harness itself.
func (h *harness) recordFailure(err error) {
	if err != nil {
		h.log.Add(Event{Kind: FaultInjected, Controller: -1, Detail: "test harness failed: " + err.Error()})
	}
}

// publishChange publishes changed entries of the switch list.
func (h *harness) publishChange(entries ...board.Switch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishUpdate(false, entries...)
}

// partition makes a switch unreachable from all controllers for a while: open and new connections drop all data.
func (h *harness) partition(cell int, duration time.Duration) {
	sw := h.currentSwitch(cell)
	for i, p := range h.switchProxies[cell] {
		p.SetHanging(true)
		sw.recordConnsLost(i, "", lossPartition)
		p.Silence()
	}
	h.sleepUnlessDone(duration)
	for _, p := range h.switchProxies[cell] {
		p.SetHanging(false)
		p.Reset() // connections that were opened meanwhile
	}
}

// replaceSwitch kills a switch and starts another in its place, at the same addresses since the proxies stay. With drain the switch is listed as
// draining first. With listedFirst it is listed as gone before it is killed, otherwise afterwards.
func (h *harness) replaceSwitch(cell int, drain, listedFirst bool) {
	h.replaceMutexes[cell].Lock() // one replacement at a time
	defer h.replaceMutexes[cell].Unlock()
	old := h.currentSwitch(cell)
	gone := board.Switch{ID: old.id, Exchange: cell, State: board.Gone, StartedMS: old.startedMS}
	if drain {
		draining := gone
		draining.State = board.Draining
		h.publishChange(draining)
		h.sleepUnlessDone(h.randomDuration(500*time.Millisecond, 2*time.Second))
	}
	if listedFirst {
		h.publishChange(gone)
	}
	old.Kill()
	for _, p := range h.switchProxies[cell] {
		p.CloseListener()
		p.Reset()
	}
	h.sleepUnlessDone(h.randomDuration(0, maxListDelay))
	if !listedFirst {
		h.publishChange(gone)
	}
	h.mu.Lock()
	replacement, err := h.startSwitch(cell, time.Now().UnixMilli())
	if err == nil {
		for i, p := range h.switchProxies[cell] {
			p.SetTarget(h.switchAddress(replacement, i))
		}
		h.switches[cell] = replacement
	}
	h.mu.Unlock()
	h.recordFailure(err)
	if err != nil {
		return
	}
	for _, p := range h.switchProxies[cell] {
		h.recordFailure(p.ReopenListener())
	}
	h.sleepUnlessDone(h.randomDuration(0, maxListDelay))
	h.publishChange(board.Switch{ID: replacement.id, Exchange: cell, State: board.Ready, StartedMS: replacement.startedMS})
}

// reload moves the board, writes a new configuration and sends SIGHUP, f.Count times.
func (h *harness) reload(fault Injection) {
	controller := h.controllers[fault.Controller]
	for range fault.Count {
		h.mu.Lock()
		h.boardMoves++
		address := h.address(subnetBoard+h.boardMoves, fault.Controller+1, boardPort)
		h.mu.Unlock()
		h.recordFailure(h.boards[fault.Controller].move(address))
		h.recordFailure(controller.writeConfig())
		controller.signal(syscall.SIGHUP)
		if !h.sleepUnlessDone(h.randomDuration(50*time.Millisecond, 700*time.Millisecond)) {
			return
		}
	}
}

// signalBurst sends SIGHUPs with and without a new configuration, then restarts the controller and sends more signals during the shutdown.
func (h *harness) signalBurst(fault Injection) {
	fault.Count = 1
	for range 2 {
		h.reload(fault)
		h.controllers[fault.Controller].signal(syscall.SIGHUP) // without a new configuration
	}
	time.AfterFunc(h.randomDuration(0, 100*time.Millisecond), func() {
		h.controllers[fault.Controller].signalIfExiting(syscall.SIGTERM)
		h.controllers[fault.Controller].signalIfExiting(syscall.SIGHUP)
	})
	h.restart(fault.Controller)
}

// restart restarts a controller as planned: SIGTERM, SIGKILL after killDelay, and a new process. Callers use open connections until the process
// exits.
func (h *harness) restart(index int) {
	if !h.restartMutexes[index].TryLock() {
		return
	}
	defer h.restartMutexes[index].Unlock()
	controller, group := h.controllers[index], h.callerGroups[index]
	controller.signal(syscall.SIGTERM)
	exited := make(chan struct{})
	go func() {
		h.awaitExitOrKill(controller)
		close(exited)
	}()
	time.AfterFunc(h.randomDuration(minConnectTime, maxConnectTime), func() {
		select {
		case <-exited:
		default:
			group.setAccess(accessOpenConns)
		}
	})
	<-exited
	group.setAccess(accessNone)
	h.startAgain(index)
}

// kill sends SIGKILL to a controller without warning and starts it again.
func (h *harness) kill(index int) {
	if !h.restartMutexes[index].TryLock() {
		return
	}
	defer h.restartMutexes[index].Unlock()
	h.callerGroups[index].setAccess(accessNone)
	h.controllers[index].signal(syscall.SIGKILL)
	<-h.controllers[index].done()
	h.startAgain(index)
}

// startAgain starts a controller after a random delay and lets its callers connect.
func (h *harness) startAgain(index int) {
	h.sleepUnlessDone(h.randomDuration(0, 700*time.Millisecond))
	if err := h.controllers[index].start(); err != nil {
		h.recordFailure(err)
		return
	}
	h.callerGroups[index].setAccess(accessFull)
}
