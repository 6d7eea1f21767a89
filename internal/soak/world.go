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
	shape := faultproxy.Shape{MaxChunk: w.plan.PieceMost, MaxChunkDelay: pieceWait, MaxTotalChunkDelay: pieceAll, MaxConnectDelay: w.plan.ConnectMost}
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
			way.Latency, way.Jitter = w.plan.Ways[cell*n+i], w.plan.Jitter
			p, err := faultproxy.Listen(w.address(kindProxy+i, cell+1, port), w.switchAddress(s, i), way, w.plan.Seed+uint64(cell*n+i))
			if err != nil {
				return err
			}
			p.OnClientClosed = func(from string) { w.cell(cell).closedByController(i, from) }
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
		front, err := faultproxy.Listen(w.address(kindFront, i+1, port), c.listen, faultproxy.Shape{MaxChunk: w.plan.PieceMost, MaxChunkDelay: pieceWait, MaxTotalChunkDelay: pieceAll}, w.plan.Seed+uint64(i))
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
		e := board.Event{Number: w.number, Complete: whole}
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
