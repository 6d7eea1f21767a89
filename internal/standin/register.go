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

// observation is the status of all switches at one time.
type observation struct {
	at      time.Time
	entries []membership.Entry
}

// client is a connected controller.
type client struct {
	conn     net.Conn
	exchange int
}

// NewRegister returns a register that looks at the switches at each interval and publishes a change after a delay.
func NewRegister(switches []*Switch, circuits [][]int, delay, interval time.Duration, log *audit.Log) *Register {
	return &Register{switches: switches, circuits: circuits, delay: delay, interval: interval, log: log, clients: map[*client]bool{},
		stop: make(chan struct{})}
}

// Start serves controllers on a listener.
func (r *Register) Start(listener net.Listener) {
	r.listener = listener
	r.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.serve(conn) })
		}
	})
	r.wg.Go(r.publishChanges)
}

// Stop shuts the register down.
func (r *Register) Stop() {
	close(r.stop)
	r.listener.Close()
	r.mu.Lock()
	for client := range r.clients {
		client.conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// SetDelay sets the time after which a change is published.
func (r *Register) SetDelay(delay time.Duration) { r.mu.Lock(); r.delay = delay; r.mu.Unlock() }

// SetFault sets how the next lists are wrong: short, repeated, contradictory or stale; "" stands for correct lists.
func (r *Register) SetFault(fault string) {
	r.mu.Lock()
	r.fault, r.faultCleared = fault, fault == ""
	r.mu.Unlock()
}

func (r *Register) observe() []membership.Entry {
	var entries []membership.Entry
	for _, s := range r.switches {
		incarnation, uptime, ready, draining := s.Status()
		entries = append(entries, membership.Entry{ID: uint32(1000 + s.Number), Number: s.Number, Incarnation: uint64(incarnation),
			Uptime: policy.Tenths(uptime / (100 * time.Microsecond)), Ready: ready, Draining: draining})
	}
	return entries
}

// publishChanges observes the switches and publishes their status after the delay.
func (r *Register) publishChanges() {
	for round := 0; ; round++ {
		now, entries := time.Now(), r.observe()
		r.mu.Lock()
		r.observations = append(r.observations, observation{now, entries})
		changed := r.published == nil
		for len(r.observations) > 0 && (now.Sub(r.observations[0].at) >= r.delay || r.published == nil) {
			for i, entry := range r.observations[0].entries {
				changed = changed || r.published == nil || entry.Ready != r.published[i].Ready || entry.Draining != r.published[i].Draining || entry.Incarnation != r.published[i].Incarnation
			}
			for i := range r.observations[0].entries { // the uptime counts until publication
				r.observations[0].entries[i].Uptime += policy.Tenths(now.Sub(r.observations[0].at) / (100 * time.Microsecond))
			}
			r.published, r.observations = r.observations[0].entries, r.observations[1:]
		}
		if changed || r.fault != "" || r.faultCleared { // send a correct list after a fault is cleared
			r.faultCleared = false
			r.version++
			for client := range r.clients {
				r.sendList(client)
			}
		}
		if round%20 == 0 {
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
func (r *Register) sendList(client *client) {
	list := membership.List{Epoch: 1, Version: r.version, Full: true, Count: len(r.published), Entries: r.published}
	switch r.fault {
	case "short":
		list.Entries = list.Entries[:len(list.Entries)/2]
	case "stale":
		list.Version = 1
	case "contradictory":
		list.Entries = append(append([]membership.Entry{}, list.Entries...), list.Entries[0])
		list.Entries[len(list.Entries)-1].Ready = !list.Entries[0].Ready
		list.Count++
	}
	for _, entry := range list.Entries {
		event := audit.Event{Kind: audit.ListEntrySent, Site: client.exchange, Peer: entry.Number, Value: int64(list.Version)}
		if entry.Ready {
			event.CIC = 1
		}
		// Record only the entries that the controller must accept: none of a short or stale list, and not the contradictory one.
		if r.fault == "" || r.fault == "repeated" || r.fault == "contradictory" && entry.ID != list.Entries[0].ID {
			r.log.Add(event)
		}
	}
	r.send(client, register.Message{List: &list})
	if r.fault == "repeated" {
		r.send(client, register.Message{List: &list})
	}
}

func (r *Register) send(client *client, message register.Message) {
	b, err := json.Marshal(message)
	if err != nil {
		return
	}
	client.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	if _, err := client.conn.Write(append(b, '\n')); err != nil {
		client.conn.Close()
	}
}

// sendAdvice sends each controller the tandem with the most free circuits on both legs, for each destination.
func (r *Register) sendAdvice() {
	count := len(r.switches)
	free := make([][]int, count)
	for a := range count {
		free[a] = make([]int, count)
		for b := range count {
			if a != b {
				free[a][b] = r.circuits[a][b] - r.switches[b].BusyCircuits(a) - r.switches[a].BusyCircuits(b)
			}
		}
	}
	for client := range r.clients {
		advice := map[int]int{}
		for to := range count {
			best, maxAvailable := -1, 0
			for tandem := range count {
				if available := min(free[client.exchange][tandem], free[tandem][to]); tandem != client.exchange && tandem != to && to != client.exchange && available > maxAvailable {
					best, maxAvailable = tandem, available
				}
			}
			if best >= 0 {
				advice[to] = best
			}
		}
		r.send(client, register.Message{Advice: advice})
	}
}

func (r *Register) serve(conn net.Conn) {
	client := &client{conn: conn}
	defer func() {
		r.mu.Lock()
		delete(r.clients, client)
		r.mu.Unlock()
		conn.Close()
	}()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		var message register.Message
		if json.Unmarshal(scanner.Bytes(), &message) != nil {
			return
		}
		r.mu.Lock()
		if message.Exchange != nil && *message.Exchange >= 0 && *message.Exchange < len(r.switches) {
			client.exchange = *message.Exchange
			r.clients[client] = true
		}
		if (message.Exchange != nil || message.RequestList) && r.clients[client] && r.published != nil {
			r.version++
			r.sendList(client)
		}
		if message.AckVersion != 0 && r.clients[client] {
			r.log.Add(audit.Event{Kind: audit.ListAcknowledged, Site: client.exchange, Value: int64(message.AckVersion)})
		}
		r.mu.Unlock()
	}
}
