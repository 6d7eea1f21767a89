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

// Register watches the lamps of switches, late, and tells every controller that calls; the centre's advice rides along.
type Register struct {
	switches []*Switch
	sizes    [][]int // circuits between two exchanges
	log      *audit.Log
	every    time.Duration
	mu       sync.Mutex
	late     time.Duration
	mend     bool
	wrong    string // trouble: how the next lists are wrong
	version  uint64
	held     []sighting
	shown    []membership.Entry
	clients  map[*client]bool
	ln       net.Listener
	stop     chan struct{}
	all      sync.WaitGroup
}

type sighting struct {
	at    time.Time
	lines []membership.Entry
}

type client struct {
	conn     net.Conn
	exchange int
	told     bool
}

// NewRegister makes a register over switches, told of a change late.
func NewRegister(switches []*Switch, sizes [][]int, late, every time.Duration, log *audit.Log) *Register {
	return &Register{switches: switches, sizes: sizes, late: late, every: every, log: log, clients: map[*client]bool{},
		stop: make(chan struct{})}
}

// Start serves on a listener.
func (r *Register) Start(ln net.Listener) {
	r.ln = ln
	r.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.all.Go(func() { r.serve(c) })
		}
	})
	r.all.Go(r.watch)
}

// Stop ends it.
func (r *Register) Stop() {
	close(r.stop)
	r.ln.Close()
	r.mu.Lock()
	for c := range r.clients {
		c.conn.Close()
	}
	r.mu.Unlock()
	r.all.Wait()
}

// Late changes how late changes are told; Wrong how lists are wrong: short, repeated, contradictory, stale or not at all.
func (r *Register) Late(d time.Duration) { r.mu.Lock(); r.late = d; r.mu.Unlock() }
func (r *Register) Wrong(how string)     { r.mu.Lock(); r.wrong, r.mend = how, how == ""; r.mu.Unlock() }

func (r *Register) look() []membership.Entry {
	var lines []membership.Entry
	for _, s := range r.switches {
		life, up, ready, draining := s.Lamp()
		lines = append(lines, membership.Entry{ID: uint32(1000 + s.Number), Number: s.Number, Incarnation: uint64(life),
			Uptime: policy.Tenths(up / (100 * time.Microsecond)), Ready: ready, Draining: draining})
	}
	return lines
}

func (r *Register) watch() {
	for n := 0; ; n++ {
		now, seen := time.Now(), r.look()
		r.mu.Lock()
		r.held = append(r.held, sighting{now, seen})
		changed := r.shown == nil
		for len(r.held) > 0 && (now.Sub(r.held[0].at) >= r.late || r.shown == nil) {
			for i, l := range r.held[0].lines {
				changed = changed || r.shown == nil || l.Ready != r.shown[i].Ready || l.Draining != r.shown[i].Draining || l.Incarnation != r.shown[i].Incarnation
			}
			for i := range r.held[0].lines { // how long it has been up is reckoned when it is told
				r.held[0].lines[i].Uptime += policy.Tenths(now.Sub(r.held[0].at) / (100 * time.Microsecond))
			}
			r.shown, r.held = r.held[0].lines, r.held[1:]
		}
		if changed || r.wrong != "" || r.mend { // once it is well again all are told so
			r.mend = false
			r.version++
			for c := range r.clients {
				r.list(c)
			}
		}
		if n%20 == 0 {
			r.advise()
		}
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-time.After(r.every):
		}
	}
}

// list writes the whole list to one controller; the lock is held.
func (r *Register) list(c *client) {
	l := membership.List{Epoch: 1, Version: r.version, Full: true, Count: len(r.shown), Entries: r.shown}
	switch r.wrong {
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
		e := audit.Event{Kind: audit.Told, Site: c.exchange, Peer: s.Number, Value: int64(l.Version)}
		if s.Ready {
			e.CIC = 1
		}
		// What a controller must not believe tells it nothing; a list that is sent twice, or wrong about one switch, does.
		if r.wrong == "" || r.wrong == "repeated" || r.wrong == "contradictory" && s.ID != l.Entries[0].ID {
			r.log.Add(e)
		}
	}
	r.write(c, register.Message{List: &l})
	if r.wrong == "repeated" {
		r.write(c, register.Message{List: &l})
	}
}

func (r *Register) write(c *client, w register.Message) {
	b, err := json.Marshal(w)
	if err != nil {
		return
	}
	c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.conn.Write(append(b, '\n')); err != nil {
		c.conn.Close()
	}
}

// advise tells each controller, for each destination, the tandem with most room on both legs at this look.
func (r *Register) advise() {
	n := len(r.switches)
	room := make([][]int, n)
	for a := range n {
		room[a] = make([]int, n)
		for b := range n {
			if a != b {
				room[a][b] = r.sizes[a][b] - r.switches[b].Busy(a) - r.switches[a].Busy(b)
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
		r.write(c, register.Message{Advice: advice})
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
		if (w.Exchange != nil || w.RequestList) && r.clients[c] && r.shown != nil {
			r.version++
			r.list(c)
		}
		if w.AckVersion != 0 && r.clients[c] {
			r.log.Add(audit.Event{Kind: audit.Ack, Site: c.exchange, Value: int64(w.AckVersion)})
		}
		r.mu.Unlock()
	}
}
