package standin

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/membership"
	"indigodrift/internal/register"
	"indigodrift/policy"
)

// Register simulates the register of switches. It publishes their status with a delay to every connected controller, and
// sends advice on tandems.
type Register struct {
	switches     []*Switch
	circuits     [][]int // number of circuits between two exchanges
	log          *audit.Log
	interval     time.Duration
	mu           sync.Mutex
	delay        time.Duration
	faultCleared bool
	fault        string // how the next lists are wrong
	version      uint64
	observations []observation
	published    []membership.Entry
	clients      map[*client]bool
	listener     net.Listener
	stop         chan struct{}
	wg           sync.WaitGroup
}

type observation struct {
	at      time.Time
	entries []membership.Entry
}

type client struct {
	conn     net.Conn
	exchange int
	told     bool
}

// NewRegister returns a register that publishes a change of the switches after late.
func NewRegister(switches []*Switch, sizes [][]int, late, every time.Duration, log *audit.Log) *Register {
	return &Register{switches: switches, circuits: sizes, delay: late, interval: every, log: log, clients: map[*client]bool{},
		stop: make(chan struct{})}
}

// Start serves controllers on ln.
func (r *Register) Start(ln net.Listener) {
	r.listener = ln
	r.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.serve(c) })
		}
	})
	r.wg.Go(r.publishChanges)
}

// Stop shuts the register down.
func (r *Register) Stop() {
	close(r.stop)
	r.listener.Close()
	r.mu.Lock()
	for c := range r.clients {
		c.conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// SetDelay sets the time after which a change is published.
func (r *Register) SetDelay(d time.Duration) { r.mu.Lock(); r.delay = d; r.mu.Unlock() }

// SetFault sets how the next lists are wrong: short, repeated, contradictory or stale; "" stands for correct lists.
func (r *Register) SetFault(how string) {
	r.mu.Lock()
	r.fault, r.faultCleared = how, how == ""
	r.mu.Unlock()
}

func (r *Register) observe() []membership.Entry {
	var lines []membership.Entry
	for _, s := range r.switches {
		life, up, ready, draining := s.Status()
		lines = append(lines, membership.Entry{ID: uint32(1000 + s.Number), Number: s.Number, Incarnation: uint64(life),
			Uptime: policy.Tenths(up / (100 * time.Microsecond)), Ready: ready, Draining: draining})
	}
	return lines
}

func (r *Register) publishChanges() {
	for n := 0; ; n++ {
		now, seen := time.Now(), r.observe()
		r.mu.Lock()
		r.observations = append(r.observations, observation{now, seen})
		changed := r.published == nil
		for len(r.observations) > 0 && (now.Sub(r.observations[0].at) >= r.delay || r.published == nil) {
			for i, l := range r.observations[0].entries {
				changed = changed || r.published == nil || l.Ready != r.published[i].Ready || l.Draining != r.published[i].Draining || l.Incarnation != r.published[i].Incarnation
			}
			for i := range r.observations[0].entries { // the uptime counts until publication
				r.observations[0].entries[i].Uptime += policy.Tenths(now.Sub(r.observations[0].at) / (100 * time.Microsecond))
			}
			r.published, r.observations = r.observations[0].entries, r.observations[1:]
		}
		if changed || r.fault != "" || r.faultCleared { // send a correct list after a fault is cleared
			r.faultCleared = false
			r.version++
			for c := range r.clients {
				r.sendList(c)
			}
		}
		if n%20 == 0 {
			r.sendAdvice()
		}
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-time.After(r.interval):
		}
	}
}

// sendList sends the whole list to one controller. The caller holds the lock.
func (r *Register) sendList(c *client) {
	l := membership.List{Epoch: 1, Version: r.version, Full: true, Count: len(r.published), Entries: r.published}
	switch r.fault {
	case "short":
		l.Entries = l.Entries[:len(l.Entries)/2]
	case "stale":
		l.Version = 1
	case "contradictory":
		l.Entries = append(append([]membership.Entry{}, l.Entries...), l.Entries[0])
		l.Entries[len(l.Entries)-1].Ready = !l.Entries[0].Ready
		l.Count++
	}
	for _, s := range l.Entries {
		e := audit.Event{Kind: audit.ListEntrySent, Site: c.exchange, Peer: s.Number, Value: int64(l.Version)}
		if s.Ready {
			e.CIC = 1
		}
		// Record only the entries that the controller must accept: none of a short or stale list, and not the contradictory one.
		if r.fault == "" || r.fault == "repeated" || r.fault == "contradictory" && s.ID != l.Entries[0].ID {
			r.log.Add(e)
		}
	}
	r.send(c, register.Message{List: &l})
	if r.fault == "repeated" {
		r.send(c, register.Message{List: &l})
	}
}

func (r *Register) send(c *client, w register.Message) {
	b, err := json.Marshal(w)
	if err != nil {
		return
	}
	c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.conn.Write(append(b, '\n')); err != nil {
		c.conn.Close()
	}
}

// sendAdvice sends each controller the tandem with the most free circuits on both legs, for each destination.
func (r *Register) sendAdvice() {
	n := len(r.switches)
	room := make([][]int, n)
	for a := range n {
		room[a] = make([]int, n)
		for b := range n {
			if a != b {
				room[a][b] = r.circuits[a][b] - r.switches[b].BusyCircuits(a) - r.switches[a].BusyCircuits(b)
			}
		}
	}
	for c := range r.clients {
		advice := map[int]int{}
		for to := range n {
			best, most := -1, 0
			for t := range n {
				if got := min(room[c.exchange][t], room[t][to]); t != c.exchange && t != to && to != c.exchange && got > most {
					best, most = t, got
				}
			}
			if best >= 0 {
				advice[to] = best
			}
		}
		r.send(c, register.Message{Advice: advice})
	}
}

func (r *Register) serve(conn net.Conn) {
	c := &client{conn: conn}
	defer func() {
		r.mu.Lock()
		delete(r.clients, c)
		r.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewScanner(conn)
	for in.Scan() {
		var w register.Message
		if json.Unmarshal(in.Bytes(), &w) != nil {
			return
		}
		r.mu.Lock()
		if w.Exchange != nil && *w.Exchange >= 0 && *w.Exchange < len(r.switches) {
			c.exchange = *w.Exchange
			r.clients[c] = true
		}
		if (w.Exchange != nil || w.RequestList) && r.clients[c] && r.published != nil {
			r.version++
			r.sendList(c)
		}
		if w.AckVersion != 0 && r.clients[c] {
			r.log.Add(audit.Event{Kind: audit.ListAcknowledged, Site: c.exchange, Value: int64(w.AckVersion)})
		}
		r.mu.Unlock()
	}
}
