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
	port       = 5060
	boardPort  = 2379
	settleTime = 9500 * time.Millisecond // after the last call: what is over must be told within 8 s and slack
	crowdSize  = 120
	burstSize  = 100
	listLater  = 700 * time.Millisecond // how much later than a switch's death or start the board tells of it, at most

	// At a planned restart new connections go on coming for so long.
	newFor     = 200 * time.Millisecond
	newForMost = 400 * time.Millisecond
)

// world is everything in one run: controllers as processes, and all they talk to.
type world struct {
	plan    Plan
	log     *Log
	folder  string
	program string
	plant   string
	net     int // second octet of all addresses

	mu          sync.Mutex
	random      *rand.Rand
	number      uint64 // of the last event of the board
	slots       int    // lives of switches so far
	switches    []*Switch
	proxies     [][]*faultproxy.Proxy // by cell, then controller
	boards      []*Board
	moves       int
	controllers []*Controller
	callers     []*Callers
	fronts      []*faultproxy.Proxy // before each controller
	stop        chan struct{}
	all         sync.WaitGroup
	restarting  []sync.Mutex // by controller
	replacing   []sync.Mutex // by cell
}

func (w *world) address(kind, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, kind, number, port)
}

// Third octets of addresses.
const (
	kindController = 1
	kindFront      = 2
	kindBoard      = 3 // and more with each move
	kindSwitch     = 100
	kindProxy      = 150
)

// build starts switches, boards, proxies and controllers.
func (w *world) build() error {
	n := w.plan.Controllers
	shape := faultproxy.Shape{PieceMost: w.plan.PieceMost, PieceWait: pieceWait, PieceAll: pieceAll, ConnectMost: w.plan.ConnectMost}
	w.proxies = make([][]*faultproxy.Proxy, n)
	w.restarting, w.replacing = make([]sync.Mutex, n), make([]sync.Mutex, n)
	var entries []board.Switch
	for cell := range n {
		s, err := w.newSwitch(cell, 0)
		if err != nil {
			return err
		}
		w.switches = append(w.switches, s)
		for i := range n {
			way := shape
			way.Way, way.Jitter = w.plan.Ways[cell*n+i], w.plan.Jitter
			p, err := faultproxy.Listen(w.address(kindProxy+i, cell+1, port), w.switchAddress(s, i), way, w.plan.Seed+uint64(cell*n+i))
			if err != nil {
				return err
			}
			p.Ended = func(from string) { w.cell(cell).closedByController(i, from) }
			w.proxies[cell] = append(w.proxies[cell], p)
		}
		entries = append(entries, board.Switch{ID: s.id, Cell: cell})
	}
	for i := range n {
		b := newBoard(w.log, i, w.plan.BoardTwice)
		if err := b.listen(w.address(kindBoard, i+1, boardPort)); err != nil {
			return err
		}
		w.boards = append(w.boards, b)
	}
	w.announce(true, entries...)
	for i := range n {
		c := &Controller{log: w.log, number: i, plan: w.plan, program: w.program, plant: w.plant, folder: w.folder, listen: w.address(kindController, i+1, port), board: w.boards[i]}
		w.controllers = append(w.controllers, c)
		front, err := faultproxy.Listen(w.address(kindFront, i+1, port), c.listen, faultproxy.Shape{PieceMost: w.plan.PieceMost, PieceWait: pieceWait, PieceAll: pieceAll}, w.plan.Seed+uint64(i))
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, front)
		w.callers = append(w.callers, newCallers(w.log, w.plan, i, front.Address()))
	}
	for _, c := range w.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

const (
	pieceWait = 4 * time.Millisecond  // between two pieces of what passes a proxy
	pieceAll  = 20 * time.Millisecond // and for all pieces of what came at once
)

func (w *world) switchAddress(s *Switch, controller int) string {
	return w.address(kindSwitch+controller, int(s.id&0xff), port)
}

// newSwitch starts a life of a cell's switch, with one address for each controller.
func (w *world) newSwitch(cell int, bornMS int64) (*Switch, error) {
	w.slots++
	s := newSwitch(w.log, w.plan, uint32(w.plan.Seed&0xffff)<<16|uint32(w.slots), cell, bornMS)
	for i := range w.plan.Controllers {
		ln, err := net.Listen("tcp", w.switchAddress(s, i))
		if err != nil {
			return nil, fmt.Errorf("switch: %w", err)
		}
		s.serve(i, ln)
	}
	return s, nil
}

// announce tells a change of the list to every board, with the addresses at which its controller reaches the switches.
func (w *world) announce(whole bool, entries ...board.Switch) {
	w.number++
	for _, s := range entries {
		w.log.Add(Event{Kind: ListChanged, Controller: -1, Switch: s.ID, Cell: s.Cell, Status: int(s.State), Number: w.number, Text: fmt.Sprintf("cell %d state %d", s.Cell, s.State),
			Span: time.Duration(s.StartedMS) * time.Millisecond})
	}
	for i, b := range w.boards {
		e := board.Event{Number: w.number, Whole: whole}
		for _, s := range entries {
			s.Address = w.proxies[s.Cell][i].Address()
			e.Switches = append(e.Switches, s)
		}
		b.tell(e)
	}
}

// play runs a plan to its end.
func (w *world) play(ctx context.Context) error {
	go w.log.watch(w.stop)
	if err := w.build(); err != nil {
		return err
	}
	began := w.log.Now()
	for _, g := range w.callers {
		g.allow(admitAll)
		w.all.Go(g.run)
	}
	for _, f := range w.plan.Faults {
		if !w.sleep(ctx, began+f.At-w.log.Now()) {
			return ctx.Err()
		}
		w.all.Go(func() { w.inject(f) })
	}
	if !w.sleep(ctx, began+w.plan.Length-w.log.Now()) {
		return ctx.Err()
	}
	for _, g := range w.callers {
		g.pause()
	}
	// Each call has its answer, is over and told by then.
	w.sleep(ctx, w.plan.Deadline+w.plan.Switches.HoldMax+settleTime)
	w.finish()
	return ctx.Err()
}

func (w *world) sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(0, span)):
		return true
	}
}

// finish ends everything; controllers by SIGTERM, and SIGKILL at the earliest.
func (w *world) finish() {
	close(w.stop)
	var ends sync.WaitGroup
	for i, c := range w.controllers {
		ends.Go(func() {
			w.restarting[i].Lock() // a restart under way ends first
			defer w.restarting[i].Unlock()
			c.signal(syscall.SIGTERM)
			w.endOrKill(c)
		})
	}
	ends.Wait()
	for _, g := range w.callers {
		g.stop()
	}
	for _, s := range w.switches {
		s.Die()
	}
	for _, b := range w.boards {
		b.end()
	}
	for _, p := range w.fronts {
		p.Close()
	}
	for _, some := range w.proxies {
		for _, p := range some {
			p.Close()
		}
	}
	w.all.Wait()
}

func (w *world) endOrKill(c *Controller) {
	select {
	case <-c.running():
	case <-time.After(c.killFrom()):
		c.signal(syscall.SIGKILL)
		<-c.running()
	}
}

// drawn is a random wait.
func (w *world) drawn(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return upTo(w.random, least, most)
}

// pause waits; false: the run ends.
func (w *world) pause(span time.Duration) bool {
	select {
	case <-w.stop:
		return false
	case <-time.After(span):
		return true
	}
}

func (w *world) cell(cell int) *Switch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.switches[cell]
}

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
		if from := proxy.SilenceOne(); from != "" {
			s.lose(f.Controller, from, lostSilent)
		}
	case ResetLinks:
		s.lose(f.Controller, "", "reset")
		proxy.Reset()
	case ResetLink:
		if from := proxy.ResetOne(); from != "" {
			s.lose(f.Controller, from, "reset")
		}
	case RefuseLinks:
		proxy.Refuse()
		w.pause(f.For)
		w.problem(proxy.Accept())
	case HangLinks:
		proxy.Hang(true)
		w.pause(f.For)
		proxy.Hang(false)
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
		proxy.EndOne()
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
		p.Hang(true)
		s.lose(i, "", lostVanished)
		p.Silence()
	}
	w.pause(span)
	for _, p := range w.proxies[cell] {
		p.Hang(false)
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
		p.Refuse()
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
			p.Retarget(w.switchAddress(fresh, i))
		}
		w.switches[cell] = fresh
	}
	w.mu.Unlock()
	w.problem(err)
	if err != nil {
		return
	}
	for _, p := range w.proxies[cell] {
		w.problem(p.Accept())
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

// take picks a second octet that no other run uses, by holding a port on it.
func take(seed uint64) (octet int, lock net.Listener, err error) {
	for i := range 200 {
		octet = 20 + int((seed+uint64(i)*37+uint64(os.Getpid()))%200)
		if lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, port)); err == nil {
			return octet, lock, nil
		}
	}
	return 0, nil, fmt.Errorf("no free loopback network: %w", err)
}
