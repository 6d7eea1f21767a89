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
	InitialTable string // file of the table to read when the store is empty
	Trial        numbers.Trial
	MaxCallers   int      // callers remembered for splitting traffic between choices
	ENUMServers  []string // ENUM servers for portability: two, or none
	ENUMZone     string
	Limits       numbers.ResolverLimits
}

// tableManager does the file access and the ENUM queries of number analysis, outside the event loop.
type tableManager struct {
	server         *Server
	store          *numberfile.Store
	history        chan numberfile.Record // records to be written to the history, in order
	enumClient     *enum.Client
	pendingQueries sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
	loadMutex      sync.Mutex // serializes Load
}

// openTables loads the table version to start with and sets up number analysis in the exchange.
func (s *Server) openTables(settings *NumberAnalysis, seed uint64) error {
	t := &tableManager{server: s, history: make(chan numberfile.Record, 64)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	var err error
	if t.store, err = numberfile.OpenStore(settings.StoreFolder); err != nil {
		return err
	}
	table, remarks, err := t.store.LoadInForce(s.config.ExchangeCount)
	if err != nil {
		return err
	}
	for _, remark := range remarks {
		s.log.Warn("tables", "doubt", remark)
	}
	if table == nil {
		if table, err = t.loadInitial(settings.InitialTable); err != nil {
			return err
		}
	}
	s.log.Info("table in force", "version", table.Version, "name", table.Name, "prefixes", table.PrefixCount())
	numbering := &exchange.Numbering{Versions: numbers.NewVersions(table, settings.Trial), Split: numbers.NewDistributor(settings.MaxCallers),
		UnixSecond: func(at policy.Tenths) int64 { return time.Now().Add(trunk.Duration(at - s.clock.Now())).Unix() },
		Instant: func(second int64) policy.Tenths {
			return s.clock.Now() + policy.Tenths(time.Until(time.Unix(second, 0))/(100*time.Microsecond))
		},
		Changed: t.versionChanged}
	if len(settings.ENUMServers) == 2 {
		t.enumClient = &enum.Client{Servers: [2]string{settings.ENUMServers[0], settings.ENUMServers[1]}, Zone: settings.ENUMZone, Timeout: trunk.Duration(settings.Limits.QueryTimeout)}
		if numbering.Portability, err = numbers.NewPortabilityResolver(settings.Limits, seed, s.exchange.PortabilityNet(t.query)); err != nil {
			return fmt.Errorf("portability: %w", err)
		}
	}
	s.exchange.SetNumbering(numbering)
	s.tables = t
	return nil
}

// loadInitial reads the initial table and puts it in the store.
func (t *tableManager) loadInitial(name string) (*numbers.Table, error) {
	if name == "" {
		return nil, errors.New("the table store is empty and no initial table is configured")
	}
	source, table, err := t.readTable(name)
	if err != nil {
		return nil, err
	}
	return table, errors.Join(t.store.Save(table.Version, source), t.store.AppendHistory(numberfile.Record{Version: table.Version, Name: table.Name,
		Time: time.Now(), Event: "in force"}))
}

// readTable reads a table from a file and builds it.
func (t *tableManager) readTable(name string) (numberfile.Source, *numbers.Table, error) {
	source, err := numberfile.ReadSource(name)
	if err != nil {
		return source, nil, err
	}
	table, err := source.Table(t.server.config.ExchangeCount)
	return source, table, err
}

// query looks up a number on a goroutine of its own. The portability resolver limits how many queries are pending.
func (t *tableManager) query(id uint32, server int, number string) {
	t.pendingQueries.Go(func() {
		answer, err := t.enumClient.Query(t.ctx, server, number)
		if err != nil {
			t.server.log.Debug("portability", "server", server, "why", err)
		}
		(*inputHandler)(t.server).enqueue(event{kind: evPortability, portability: answer, queryID: id, err: err})
	})
}

// versionChanged is called on the event loop when another version comes into force. A reason means that it was a rollback.
func (t *tableManager) versionChanged(table *numbers.Table, why string) {
	record := numberfile.Record{Version: table.Version, Name: table.Name, Time: time.Now(), Event: "in force", Reason: why}
	if why != "" {
		record.Event = "in force again"
		t.server.log.Warn("table rolled back", "version", table.Version, "why", why)
	} else {
		t.server.log.Info("table in force", "version", table.Version, "name", table.Name, "prefixes", table.PrefixCount())
	}
	select {
	case t.history <- record:
	default: // the disk has not accepted a record for 64 changes
		t.server.log.Error("table change not written to history: queue is full", "version", record.Version)
	}
}

// writeHistory writes the history until ctx ends.
func (t *tableManager) writeHistory(ctx context.Context) {
	for {
		select {
		case record := <-t.history:
			if err := t.store.AppendHistory(record); err != nil {
				t.server.log.Error("table change not written to history", "version", record.Version, "why", err)
			}
		case <-ctx.Done():
			t.cancel()
			t.pendingQueries.Wait()
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
	t.loadMutex.Lock()
	defer t.loadMutex.Unlock()
	source, table, err := t.readTable(name)
	if err != nil {
		return nil, err
	}
	if current := s.readVersions(func(v *numbers.Versions) (uint64, error) { return v.Current().Version, nil }); current >= table.Version {
		return nil, fmt.Errorf("version %d: %w (%d)", table.Version, numbers.ErrNotNewer, current)
	}
	if err := t.store.Save(table.Version, source); err != nil {
		return nil, err
	}
	return table, s.changeNumbering(func(n *exchange.Numbering, now policy.Tenths) error {
		before := n.Versions.Current()
		err := n.Versions.Load(table, at.Unix(), time.Now().Unix(), now)
		if err == nil && n.Versions.Current() != before {
			n.Changed(table, "")
		}
		return err
	})
}

// readVersions reads a number from the table versions on the event loop.
func (s *Server) readVersions(read func(*numbers.Versions) (uint64, error)) (value uint64) {
	s.changeNumbering(func(n *exchange.Numbering, _ policy.Tenths) (err error) {
		value, err = read(n.Versions)
		return err
	})
	return value
}

// Rollback puts the previous version into force.
func (s *Server) Rollback(why string) (previous *numbers.Table, err error) {
	err = s.changeNumbering(func(n *exchange.Numbering, now policy.Tenths) (err error) {
		if previous, err = n.Versions.Rollback(why, now); err == nil {
			n.Changed(previous, why)
		}
		return err
	})
	return previous, err
}

// ErrShuttingDown is returned to a command that arrives while the server ends.
var ErrShuttingDown = errors.New("the exchange is shutting down")

// changeNumbering runs a function on the number analysis, on the event loop.
func (s *Server) changeNumbering(change func(n *exchange.Numbering, now policy.Tenths) error) error {
	if s.tables == nil {
		return ErrNoNumberAnalysis
	}
	var err error
	if !s.Do(func() {
		now := s.clock.Now()
		s.exchange.UpdateNumbering(now, func(n *exchange.Numbering) { err = change(n, now) })
	}) {
		return ErrShuttingDown
	}
	return err
}
