package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"indigodrift/internal/board"
)

const (
	crowdSize = 120
	burstSize = 100
	listLater = 700 * time.Millisecond // how much later than a switch's death or start the board tells of it, at most

	// At a planned restart new connections go on coming for so long.
	newFor     = 200 * time.Millisecond
	newForMost = 400 * time.Millisecond
)

// inject does one fault.
func (w *world) inject(f Injection) {
	w.log.Add(Event{Kind: Fault, Controller: f.Controller, Text: f.String()})
	if f.Cell == f.Controller { // a controller has no connection to its own cell
		f.Cell = (f.Cell + 1) % w.plan.Controllers
	}
	proxy, s, b := w.proxies[f.Cell][f.Controller], w.cell(f.Cell), w.boards[f.Controller]
	switch f.Kind {
	case SilenceLinks:
		s.lose(f.Controller, "", lostSilent)
		proxy.Silence()
	case SilenceLink:
		s.loseOne(f.Controller, proxy.SilenceOne(), lostSilent)
	case ResetLinks:
		s.lose(f.Controller, "", lostReset)
		proxy.Reset()
	case ResetLink:
		s.loseOne(f.Controller, proxy.ResetOne(), lostReset)
	case RefuseLinks:
		proxy.CloseListener()
		w.pause(f.For)
		w.problem(proxy.ReopenListener())
	case HangLinks:
		proxy.SetHanging(true)
		w.pause(f.For)
		proxy.SetHanging(false)
	case VanishSwitch:
		w.vanish(f.Cell, f.For)
	case HangSwitch:
		resume := s.Hang()
		w.pause(f.For)
		resume()
	case KillSwitch:
		w.replace(f.Cell, false, f.Count%2 == 0)
	case ReplaceSwitch:
		w.replace(f.Cell, true, f.Count%2 == 0)
	case DrainSwitch:
		w.list(board.Switch{ID: s.id, Cell: f.Cell, State: board.Draining, StartedMS: s.bornMS})
		if w.pause(f.For) && w.cell(f.Cell) == s {
			w.list(board.Switch{ID: s.id, Cell: f.Cell, State: board.Ready, StartedMS: s.bornMS})
		}
	case CutCalls:
		s.CutCalls()
	case SilenceBoard:
		b.silence()
	case BreakBoard:
		b.breakOff()
	case LoseBoard:
		back := b.lose()
		w.pause(f.For)
		w.problem(back())
	case Reload:
		w.reload(f)
	case Restart:
		w.restart(f.Controller)
	case ReloadRestart:
		f.Count = 1
		w.reload(f)
		w.restart(f.Controller)
	case KillController:
		w.kill(f.Controller)
	case SilenceCallers:
		w.callers[f.Controller].fault(true, w.fronts[f.Controller].Silence)
	case ResetCallers:
		w.callers[f.Controller].fault(false, w.fronts[f.Controller].Reset)
	case Crowd:
		for range crowdSize {
			w.all.Go(func() { idle(w.controllers[f.Controller].listen, w.stop) })
		}
	case EndLink:
		proxy.HalfCloseOne()
	case Burst:
		for range burstSize {
			w.all.Go(w.callers[f.Controller].call)
		}
	case Signals:
		w.signals(f)
	case BadClients:
		for i := range 8 * f.Count {
			r := rand.New(rand.NewPCG(w.plan.Seed, uint64(f.At)+uint64(i)))
			w.all.Go(func() { intrude(w.log, f.Controller, w.controllers[f.Controller].listen, r) })
		}
	}
}

// problem notes what the rig itself could not do.
func (w *world) problem(err error) {
	if err != nil {
		w.log.Add(Event{Kind: Fault, Controller: -1, Text: "the rig failed: " + err.Error()})
	}
}

func (w *world) list(entries ...board.Switch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announce(false, entries...)
}

// vanish cuts a switch off from all controllers: what is open is silent, and what is new too.
func (w *world) vanish(cell int, span time.Duration) {
	s := w.cell(cell)
	for i, p := range w.proxies[cell] {
		p.SetHanging(true)
		s.lose(i, "", lostVanished)
		p.Silence()
	}
	w.pause(span)
	for _, p := range w.proxies[cell] {
		p.SetHanging(false)
		p.Reset() // what came up meanwhile
	}
}

// replace has a switch end and another stand in its place. With drain it is listed as draining first, else it dies and the list tells later.
// The proxies' addresses stay, so the new one stands at the address of the old one.
func (w *world) replace(cell int, drain, listedFirst bool) {
	w.replacing[cell].Lock() // one after the other
	defer w.replacing[cell].Unlock()
	old := w.cell(cell)
	gone := board.Switch{ID: old.id, Cell: cell, State: board.Gone, StartedMS: old.bornMS}
	if drain {
		draining := gone
		draining.State = board.Draining
		w.list(draining)
		w.pause(w.drawn(500*time.Millisecond, 2*time.Second))
	}
	if listedFirst {
		w.list(gone)
	}
	old.Die()
	for _, p := range w.proxies[cell] {
		p.CloseListener()
		p.Reset()
	}
	w.pause(w.drawn(0, listLater))
	if !listedFirst {
		w.list(gone)
	}
	w.mu.Lock()
	fresh, err := w.newSwitch(cell, time.Now().UnixMilli())
	if err == nil {
		for i, p := range w.proxies[cell] {
			p.SetTarget(w.switchAddress(fresh, i))
		}
		w.switches[cell] = fresh
	}
	w.mu.Unlock()
	w.problem(err)
	if err != nil {
		return
	}
	for _, p := range w.proxies[cell] {
		w.problem(p.ReopenListener())
	}
	w.pause(w.drawn(0, listLater))
	w.list(board.Switch{ID: fresh.id, Cell: cell, State: board.Ready, StartedMS: fresh.bornMS})
}

// reload moves the board and tells the controller by SIGHUP, several times in a row.
func (w *world) reload(f Injection) {
	c := w.controllers[f.Controller]
	for range f.Count {
		w.mu.Lock()
		w.moves++
		at := w.address(kindBoard+w.moves, f.Controller+1, boardPort)
		w.mu.Unlock()
		w.problem(w.boards[f.Controller].move(at))
		w.problem(c.configure())
		c.signal(syscall.SIGHUP)
		if !w.pause(w.drawn(50*time.Millisecond, 700*time.Millisecond)) {
			return
		}
	}
}

// signals sends signals in a row, each a new configuration or none, and restarts the controller.
func (w *world) signals(f Injection) {
	f.Count = 1
	for range 2 {
		w.reload(f)
		w.controllers[f.Controller].signal(syscall.SIGHUP) // nothing new
	}
	time.AfterFunc(w.drawn(0, 100*time.Millisecond), func() {
		w.controllers[f.Controller].again(syscall.SIGTERM)
		w.controllers[f.Controller].again(syscall.SIGHUP)
	})
	w.restart(f.Controller)
}

// restart is a planned one: SIGTERM, SIGKILL at the earliest, and a new life. Callers use open connections until the kill.
func (w *world) restart(i int) {
	if !w.restarting[i].TryLock() {
		return
	}
	defer w.restarting[i].Unlock()
	c, g := w.controllers[i], w.callers[i]
	c.signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		w.endOrKill(c)
		close(ended)
	}()
	time.AfterFunc(w.drawn(newFor, newForMost), func() {
		select {
		case <-ended:
		default:
			g.allow(admitOpen)
		}
	})
	<-ended
	g.allow(admitNone)
	w.begin(i)
}

// kill ends a controller without a warning and starts it again.
func (w *world) kill(i int) {
	if !w.restarting[i].TryLock() {
		return
	}
	defer w.restarting[i].Unlock()
	w.callers[i].allow(admitNone)
	w.controllers[i].signal(syscall.SIGKILL)
	<-w.controllers[i].running()
	w.begin(i)
}

// begin starts a controller anew; its callers come at once.
func (w *world) begin(i int) {
	w.pause(w.drawn(0, 700*time.Millisecond))
	if err := w.controllers[i].start(); err != nil {
		w.problem(err)
		return
	}
	w.callers[i].allow(admitAll)
}
