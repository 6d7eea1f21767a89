package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/exchange"
	"indigodrift/internal/memnet"
	"indigodrift/internal/numbers"
	"indigodrift/policy"
)

// startWithTables runs a server whose table store is in dir, until stop is called.
func startWithTables(t *testing.T, dir string) (s *Server, stop func()) {
	m := memnet.New()
	s, err := New(Config{Deployment: policy.Deployment{OwnExchange: 0, MaxTries: 4, Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}},
		ExchangeCount: 3, OwnSwitchAddress: "own", RegisterAddress: "none", InboxSize: 64, MaxLinkOctets: 1 << 16,
		NumberAnalysis: &NumberAnalysis{StoreFolder: filepath.Join(dir, "store"), InitialTable: writeTable(t, dir, 1, 1), MaxCallers: 10, Trial: numbers.Trial{Window: 600000, MaxIncrease: 0.2, MinFailures: 5}}},
		func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, x, now)
		},
		func(_ context.Context, address string) (net.Conn, error) { return m.Dial(address) }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return s, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// writeTable writes a table version that routes all numbers to one exchange.
func writeTable(t *testing.T, dir string, version, to int) string {
	t.Helper()
	name := filepath.Join(dir, fmt.Sprintf("v%d.hcl", version))
	text := fmt.Sprintf("version = %d\nroute \"all\" {\n  prefixes = [\"1\"]\n  choice {\n    to \"%d\" {}\n  }\n}\n", version, to)
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return name
}

// inForce returns the version in force.
func inForce(s *Server) uint64 {
	return s.readVersions(func(v *numbers.Versions) (uint64, error) { return v.Current().Version, nil })
}

func TestTableComesIntoForceOnTimeAndSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		s, stop := startWithTables(t, dir)
		instant := time.Now().Add(30 * time.Second).Truncate(time.Second)
		if _, err := s.Load(writeTable(t, dir, 2, 2), instant); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(instant) - time.Millisecond)
		if v := inForce(s); v != 1 {
			t.Fatalf("version %d before the activation time", v)
		}
		time.Sleep(2 * time.Millisecond)
		if v := inForce(s); v != 2 {
			t.Fatalf("version %d after the activation time", v)
		}
		time.Sleep(time.Second) // for the history to be written
		stop()
		s, stop = startWithTables(t, dir)
		if v := inForce(s); v != 2 {
			t.Fatalf("version %d after a restart", v)
		}
		if _, err := s.Rollback("test"); !errors.Is(err, numbers.ErrNoPrevious) {
			t.Fatalf("rolled back to a version that does not exist: %v", err)
		}
		stop()
	})
}

func TestFailedLoadChangesNothing(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		s, stop := startWithTables(t, dir)
		defer stop()
		store := filepath.Join(dir, "store")
		// The store accepts no file: its folder is replaced by a file.
		if err := errors.Join(os.Rename(store, store+"-away"), os.WriteFile(store, nil, 0o644)); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Load(writeTable(t, dir, 2, 2), time.Now()); err == nil || inForce(s) != 1 {
			t.Fatalf("%v, version %d", err, inForce(s))
		}
		bad := filepath.Join(dir, "bad.hcl")
		os.WriteFile(bad, []byte("version = 3\nroute \"x\" {\n  choice {\n    to \"7\" {}\n  }\n}\n"), 0o644)
		if _, err := s.Load(bad, time.Now()); err == nil || !strings.Contains(err.Error(), "bad.hcl:4,5") || inForce(s) != 1 {
			t.Fatalf("%v, version %d", err, inForce(s))
		}
	})
}

func TestConcurrentLoadsEndWithTheNewerVersion(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		s, stop := startWithTables(t, dir)
		defer stop()
		errs := make(chan error, 2)
		for _, v := range []int{2, 3} {
			name := writeTable(t, dir, v, 2)
			go func() {
				_, err := s.Load(name, time.Now())
				errs <- err
			}()
		}
		for range 2 {
			if err := <-errs; err != nil && !errors.Is(err, numbers.ErrNotNewer) {
				t.Fatal(err)
			}
		}
		if v := inForce(s); v != 3 {
			t.Fatalf("version %d", v)
		}
	})
}

func TestCommandsOverTheSocket(t *testing.T) {
	dir := t.TempDir()
	s, stop := startWithTables(t, dir)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		s.serveCommands(ctx, ln)
		close(ended)
	}()
	defer func() { cancel(); <-ended; stop() }()
	at := ln.Addr().String()
	for _, c := range []struct {
		command Command
		version uint64
		fault   string
	}{
		{Command{Name: "versions"}, 1, ""}, {Command{Name: "load", File: writeTable(t, dir, 2, 2)}, 2, ""}, {Command{Name: "load", File: writeTable(t, dir, 2, 2)}, 2, "not newer"},
		{Command{Name: "load", File: filepath.Join(dir, "none")}, 2, "no such file"}, {Command{Name: "rollback"}, 1, ""},
		{Command{Name: "load", File: writeTable(t, dir, 2, 2)}, 1, "taken back before: by order"}, {Command{Name: "dance"}, 1, "there are load, rollback, versions"},
	} {
		reply, err := SendCommand(at, c.command)
		if err != nil || reply.Version != c.version || (c.fault == "") != (reply.Error == "") || !strings.Contains(reply.Error, c.fault) {
			t.Errorf("%+v: %+v, %v", c.command, reply, err)
		}
	}
}
