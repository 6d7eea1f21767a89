package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"indigodrift/internal/enum"
	"indigodrift/internal/exchange"
	"indigodrift/internal/numberfile"
	"indigodrift/internal/numbers"
	"indigodrift/internal/trunk"
	"indigodrift/policy"
)

// NumberAnalysis holds the settings of number analysis. Without them calls are routed by the first digits of the number.
type NumberAnalysis struct {
	StoreFolder  string // folder of table versions
	InitialTable string // file of the first table, read when the store is empty
	Trial        numbers.Trial
	MaxCallers   int      // callers remembered for splitting traffic between choices
	ENUMServers  []string // ENUM servers for portability: two, or none
	ENUMZone     string   // ENUM zone
	Limits       numbers.Limits
}

// tables does the file access and the ENUM queries of number analysis, outside the event loop.
type tables struct {
	s       *Server
	store   *numberfile.Store
	keep    chan numberfile.Record // records to be written to the history, in order
	client  *enum.Client
	asking  sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	loading sync.Mutex // serializes Load
}

// openTables loads the table version to start with and sets up number analysis in the exchange.
func (s *Server) openTables(n *NumberAnalysis, seed uint64) error {
	t := &tables{s: s, keep: make(chan numberfile.Record, 64)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	var err error
	if t.store, err = numberfile.OpenStore(n.StoreFolder); err != nil {
		return err
	}
	table, doubts, err := t.store.InForce(s.site.ExchangeCount)
	if err != nil {
		return err
	}
	for _, d := range doubts {
		s.log.Warn("tables", "doubt", d)
	}
	if table == nil {
		if table, err = t.first(n.InitialTable); err != nil {
			return err
		}
	}
	s.log.Info("table in force", "version", table.Version, "name", table.Name, "prefixes", table.Prefixes())
	x := &exchange.Numbering{Versions: numbers.NewVersions(table, n.Trial), Split: numbers.NewSplit(n.MaxCallers),
		UnixSecond: func(at policy.Tenths) int64 { return time.Now().Add(trunk.Duration(at - s.clock.Now())).Unix() },
		Instant: func(second int64) policy.Tenths {
			return s.clock.Now() + policy.Tenths(time.Until(time.Unix(second, 0))/(100*time.Microsecond))
		},
		Changed: t.changed}
	if len(n.ENUMServers) == 2 {
		t.client = &enum.Client{Servers: [2]string{n.ENUMServers[0], n.ENUMServers[1]}, Zone: n.ENUMZone, Most: trunk.Duration(n.Limits.TimeOut)}
		if x.Portability, err = numbers.NewInquirer(n.Limits, seed, s.x.PortabilityNet(t.query)); err != nil {
			return fmt.Errorf("portability: %w", err)
		}
	}
	s.x.SetNumbering(x)
	s.tables = t
	return nil
}

// first reads the initial table and puts it in the store.
func (t *tables) first(name string) (*numbers.Table, error) {
	if name == "" {
		return nil, errors.New("the table store is empty and no initial table is configured")
	}
	src, table, err := t.read(name)
	if err != nil {
		return nil, err
	}
	return table, errors.Join(t.store.Keep(table.Version, src), t.store.Note(numberfile.Record{Version: table.Version, Name: table.Name,
		At: time.Now(), What: "in force"}))
}

func (t *tables) read(name string) (numberfile.Source, *numbers.Table, error) {
	src, err := numberfile.ReadSource(name)
	if err != nil {
		return src, nil, err
	}
	table, err := src.Table(t.s.site.ExchangeCount)
	return src, table, err
}

// query looks up a number on a goroutine of its own. The inquirer limits how many queries are pending.
func (t *tables) query(id uint32, server int, number string) {
	t.asking.Go(func() {
		a, err := t.client.Ask(t.ctx, server, number)
		if err != nil {
			t.s.log.Debug("portability", "server", server, "why", err)
		}
		(*reader)(t.s).put(event{kind: evPort, port: a, id: id, err: err})
	})
}

// changed is called on the event loop when another version comes into force. A reason means that it was a rollback.
func (t *tables) changed(table *numbers.Table, why string) {
	r := numberfile.Record{Version: table.Version, Name: table.Name, At: time.Now(), What: "in force", Why: why}
	if why != "" {
		r.What = "in force again"
		t.s.log.Warn("table rolled back", "version", table.Version, "why", why)
	} else {
		t.s.log.Info("table in force", "version", table.Version, "name", table.Name, "prefixes", table.Prefixes())
	}
	select {
	case t.keep <- r:
	default: // the disk has not accepted a record for 64 changes
		t.s.log.Error("table change not written to history: queue is full", "version", r.Version)
	}
}

// run writes the history until ctx ends.
func (t *tables) run(ctx context.Context) {
	for {
		select {
		case r := <-t.keep:
			if err := t.store.Note(r); err != nil {
				t.s.log.Error("table change not written to history", "version", r.Version, "why", err)
			}
		case <-ctx.Done():
			t.cancel()
			t.asking.Wait()
			return
		}
	}
}

// ErrNoNumberAnalysis is returned when number analysis is not configured.
var ErrNoNumberAnalysis = errors.New("number analysis is not configured")

// Load reads a table, stores it, and puts it into force at the given time, or at once if that has passed. If the table cannot
// be read, built or stored, nothing changes.
func (s *Server) Load(name string, at time.Time) (*numbers.Table, error) {
	t := s.tables
	if t == nil {
		return nil, ErrNoNumberAnalysis
	}
	t.loading.Lock()
	defer t.loading.Unlock()
	src, table, err := t.read(name)
	if err != nil {
		return nil, err
	}
	if have := s.versions(func(v *numbers.Versions) (uint64, error) { return v.Current().Version, nil }); have >= table.Version {
		return nil, fmt.Errorf("version %d: %w (%d)", table.Version, numbers.ErrOld, have)
	}
	if err := t.store.Keep(table.Version, src); err != nil {
		return nil, err
	}
	return table, s.change(func(n *exchange.Numbering, now policy.Tenths) error {
		before := n.Versions.Current()
		err := n.Versions.Load(table, at.Unix(), time.Now().Unix(), now)
		if err == nil && n.Versions.Current() != before {
			n.Changed(table, "")
		}
		return err
	})
}

// versions reads a number from the table versions on the event loop.
func (s *Server) versions(get func(*numbers.Versions) (uint64, error)) (got uint64) {
	s.change(func(n *exchange.Numbering, _ policy.Tenths) (err error) {
		got, err = get(n.Versions)
		return err
	})
	return got
}

// Rollback puts the previous version into force.
func (s *Server) Rollback(why string) (back *numbers.Table, err error) {
	err = s.change(func(n *exchange.Numbering, now policy.Tenths) (err error) {
		if back, err = n.Versions.Rollback(why, now); err == nil {
			n.Changed(back, why)
		}
		return err
	})
	return back, err
}

// ErrShuttingDown is returned to a command that arrives while the server ends.
var ErrShuttingDown = errors.New("the exchange is shutting down")

// change runs a function on the number analysis, on the event loop.
func (s *Server) change(do func(n *exchange.Numbering, now policy.Tenths) error) error {
	if s.tables == nil {
		return ErrNoNumberAnalysis
	}
	var err error
	if !s.Do(func() {
		now := s.clock.Now()
		s.x.UpdateNumbering(now, func(n *exchange.Numbering) { err = do(n, now) })
	}) {
		return ErrShuttingDown
	}
	return err
}
