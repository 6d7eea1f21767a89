package day

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/baseline"
	"indigodrift/internal/control"
	"indigodrift/internal/exchange"
	"indigodrift/internal/ledger"
	"indigodrift/internal/memnet"
	"indigodrift/internal/site"
	"indigodrift/policy"

	"go.uber.org/goleak"
)

// virtualNet starts controllers in this process, on an in-memory network.
type virtualNet struct {
	*memnet.Net
	disk ledger.Disk
}

// inProcess is a controller that runs in this process.
type inProcess struct {
	server      *control.Server
	ready, done chan struct{}
	drain       context.CancelFunc
	gate        *memnet.Gate
	mu          sync.Mutex
	conns       []net.Conn
	socket      net.PacketConn
	killed      bool
}

func (v *virtualNet) launch(exchangeNumber int, siteFile, routing, plantedFault string) (Process, error) {
	config, err := site.Read(siteFile)
	if err != nil {
		return nil, err
	}
	config.Disk = v.disk
	config.ControlAddress = "" // control commands are method calls here
	started := &inProcess{ready: make(chan struct{}), done: make(chan struct{}), gate: &memnet.Gate{}}
	build := control.DeciderBuilder(func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
		return policy.New(d, x, now)
	})
	if routing == "random" {
		build = baseline.NewBuilder(true)
	}
	var faulty *FaultyController
	if plantedFault != "" {
		var neighbours []exchange.Neighbour
		for _, n := range config.Neighbours {
			neighbours = append(neighbours, n.Neighbour)
		}
		if faulty, err = NewFaultyController(plantedFault, neighbours); err != nil {
			return nil, err
		}
		build = faulty.WrapDecider(build)
	}
	started.server, err = control.New(config, build, func(_ context.Context, name string) (net.Conn, error) {
		started.gate.Wait()
		conn, err := v.Dial(name)
		if err != nil {
			return nil, err
		}
		started.mu.Lock()
		defer started.mu.Unlock()
		conn.(*memnet.Conn).Gate = started.gate
		if started.conns = append(started.conns, conn); started.killed {
			conn.Close()
		}
		return conn, nil
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	started.server.ListenPacket = func(address string) (net.PacketConn, error) {
		conn, err := v.ListenPacket(address)
		if err == nil {
			conn.(*memnet.PacketConn).Gate = started.gate
			started.mu.Lock()
			started.socket = conn
			started.mu.Unlock()
		}
		return conn, err
	}
	if faulty != nil {
		started.server.InterceptSend = faulty.InterceptSend
	}
	started.server.OnReady = func() { close(started.ready) }
	ctx, cancel := context.WithCancel(context.Background())
	started.drain = cancel
	go func() {
		started.server.Run(ctx)
		close(started.done)
	}()
	return started, nil
}

func (p *inProcess) Ready() <-chan struct{}              { return p.ready }
func (p *inProcess) Done() <-chan struct{}               { return p.done }
func (p *inProcess) Drain()                              { p.drain() }
func (p *inProcess) ResourceUse() (time.Duration, int64) { return 0, 0 }
func (p *inProcess) Load(table string) error {
	_, err := p.server.Load(table, time.Now())
	return err
}
func (p *inProcess) Kill() {
	p.mu.Lock()
	p.killed = true
	for _, c := range p.conns {
		c.Close()
	}
	if p.socket != nil {
		p.socket.Close()
	}
	p.mu.Unlock()
	p.Resume()
	p.server.Abort()
}
func (p *inProcess) Pause() {
	if p.gate.Close() {
		go p.server.Do(p.gate.Wait)
	}
}
func (p *inProcess) Resume() { p.gate.Open() }

// runVirtual runs a day in virtual time.
func runVirtual(t *testing.T, name string, adjust func(*Script)) Report {
	return runVirtualWithFault(t, name, "", adjust)
}

// runVirtualWithFault runs a day in virtual time with a planted fault.
func runVirtualWithFault(t *testing.T, name, plantedFault string, adjust func(*Script)) Report {
	t.Helper()
	script, err := Read("../../examples/days/" + name)
	if err != nil {
		t.Fatal(err)
	}
	adjust(&script)
	var report Report
	dir := t.TempDir()
	if *keepDir != "" {
		dir = *keepDir
	}
	synctest.Test(t, func(t *testing.T) {
		network := &virtualNet{memnet.New(), memnet.NewDisk()}
		report, err = Run(context.Background(), script, Options{Launch: network.launch, Listen: network.Listen, Dial: network.Dial, ListenPacket: network.ListenPacket, PlantedFault: plantedFault, Dir: dir, Progress: io.Discard})
		if err != nil {
			t.Error(err)
		}
	})
	return report
}

// requireRulesHold fails the test on violations, a day without calls, or too low a service.
func requireRulesHold(t *testing.T, report Report, minService float64) {
	t.Helper()
	for i, violation := range report.Violations {
		if i < 5 {
			t.Errorf("rule %d broken at %.3f s: %s", violation.Rule, float64(violation.At)/1e6, violation.Text)
		}
	}
	if len(report.Violations) > 0 || report.Total.Offered == 0 || report.Total.Service < minService {
		t.Fatalf("%d violations, %d calls, service %.3f, want at least %.2f", len(report.Violations), report.Total.Offered, report.Total.Service, minService)
	}
}

func TestQuietDayServesNearlyAllCalls(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "quiet.hcl", func(*Script) {}), 0.97)
}

func TestRulesHoldOnBadDay(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "bad.hcl", func(s *Script) { s.Duration = 61 * time.Second }), 0.3)
}

func TestRulesHoldWithRemainingTroubles(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "wide.hcl", func(*Script) {}), 0.3)
}

// Checks the rules with each kind of trouble alone, on a small network.
func TestRulesHoldWithEachTroubleAlone(t *testing.T) {
	sizes := map[string]float64{"slow": 4, "other_work": 0.7, "circuits_lost": 0.5, "answers_lost": 0.3, "chopped": 1, "load_jump": 2,
		"hot_caller": 4, "ageing": 6, "mass_cut": 0.6, "leave_early": 0.4, "links_reset": 0.7}
	for _, kind := range TroubleKinds() {
		if kind == "portability" || kind == "tables_change" || kind == "gateways" { // these need tables, sockets or gateways, and days of their own
			continue
		}
		hows := troubleKinds[kind].how
		if len(hows) == 0 {
			hows = []string{""}
		}
		for _, how := range hows {
			t.Run(kind+how, func(t *testing.T) {
				size, ok := sizes[kind]
				if !ok {
					size = 1.5
				}
				requireRulesHold(t, runVirtual(t, "quiet.hcl", func(s *Script) {
					s.Duration = 14 * time.Second
					s.Troubles = []Trouble{{Kind: kind, Start: 3 * time.Second, Duration: 6 * time.Second, Fraction: 0.5, Size: size,
						Interval: 3 * time.Second, How: how}}
				}), 0.1)
			})
		}
	}
}

// Loads a thousand number tables under load, one every 20 ms, each with other destinations for all numbers. Guards against
// calls that are routed by two tables or not as their table says.
func TestNoCallMixesTablesChangedUnderLoad(t *testing.T) {
	report := runVirtual(t, "quiet.hcl", func(s *Script) {
		s.UseTables, s.Duration = true, 21*time.Second
		s.Troubles = []Trouble{{Kind: "tables_change", Start: 200 * time.Millisecond, Duration: 20 * time.Second, Interval: 20 * time.Millisecond},
			{Kind: "slow", Start: 5 * time.Second, Duration: 5 * time.Second, Fraction: 0.5, Size: 3},
			{Kind: "links_reset", Start: 8 * time.Second, Fraction: 1, Size: 1},
			{Kind: "controllers_kill", Start: 12 * time.Second, Fraction: 0.25, Size: 1}}
	})
	requireRulesHold(t, report, 0.2)
	if report.MixedCalls > 0 || report.TableVersions < 200 {
		t.Fatalf("%d calls mixed tables; %d tables were in use", report.MixedCalls, report.TableVersions)
	}
}

// The audit must report the rule that a controller violates on its sockets, and nothing on the same day without the fault.
func TestAuditFindsPlantedFaults(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "plant.hcl", func(*Script) {}), 0.3)
	for plantedFault, rule := range map[string]int{"answer": 1, "copy": 2, "drain": 3, "cold": 4, "release": 5} {
		t.Run(plantedFault, func(t *testing.T) {
			report := runVirtualWithFault(t, "plant.hcl", plantedFault, func(*Script) {})
			for _, violation := range report.Violations {
				if violation.Rule == rule {
					return
				}
			}
			t.Fatalf("planted fault not found in %v", report.Violations)
		})
	}
}

func TestMain(m *testing.M) {
	code := m.Run()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// Checks calls from phones at gateways without faults: within an exchange, between two, and over tandems.
func TestPhonesOnQuietDay(t *testing.T) {
	report := runVirtual(t, "mgcp.hcl", func(s *Script) { s.Troubles, s.Duration = nil, 20*time.Second })
	requireRulesHold(t, report, 0.8)
	if phones := report.Phones; phones.Calls < 300 || float64(phones.Established) < 0.7*float64(phones.Calls) {
		t.Fatalf("%+v", phones)
	} else {
		t.Logf("%+v", phones)
	}
}

// Checks the rules with each fault of gateways, their users and their network alone.
func TestRulesHoldWithEachGatewayFault(t *testing.T) {
	sizes := map[string]float64{"loss": 0.05, "double": 0.5, "late": 0.3, "truncated": 0.1, "two_answers": 0.5, "flash": 0.5, "hang_up": 0.5, "trickle": 0.5, "glare": 0.5}
	for _, how := range troubleKinds["gateways"].how {
		t.Run(how, func(t *testing.T) {
			size, ok := sizes[how]
			if !ok {
				size = 1
			}
			report := runVirtual(t, "mgcp.hcl", func(s *Script) {
				s.Duration, s.Troubles = 20*time.Second, []Trouble{{Kind: "gateways", Start: 4 * time.Second, Duration: 8 * time.Second, Fraction: 0.5, Size: size, How: how}}
			})
			requireRulesHold(t, report, 0.8)
			if phones := report.Phones; float64(phones.Established) < 0.4*float64(phones.Calls) || phones.Calls < 300 {
				t.Fatalf("%+v", phones)
			} else {
				t.Logf("%+v", phones)
			}
		})
	}
}

var mgcpDuration = flag.Duration("mgcp", 0, "length of the MGCP day, with its troubles repeated; 0: as in its file")

func TestRulesHoldOnMGCPDay(t *testing.T) {
	report := runVirtual(t, "mgcp.hcl", func(s *Script) {
		length, troubles := s.Duration, s.Troubles
		for from := length; from < *mgcpDuration; from += length {
			for _, trouble := range troubles {
				trouble.Start += from
				s.Troubles = append(s.Troubles, trouble)
			}
			s.Duration = from + length
		}
	})
	requireRulesHold(t, report, 0.3)
	t.Logf("%+v", report.Phones)
}

// Established calls must survive the kill of their controller. With the ledger hardly any is disconnected, without it all
// of the controller's calls are.
func TestEstablishedCallsSurviveKills(t *testing.T) {
	disconnections := map[bool]int{}
	for _, withLedger := range []bool{true, false} {
		report := runVirtual(t, "quiet.hcl", func(s *Script) {
			s.UseLedger, s.Duration = withLedger, 20*time.Second
			s.Troubles = []Trouble{{Kind: "controllers_kill", Start: 6 * time.Second, Fraction: 0.5, Size: 0.5}, {Kind: "controllers_kill", Start: 12 * time.Second, Fraction: 1, Size: 0.5}}
		})
		requireRulesHold(t, report, 0.3)
		disconnections[withLedger] = report.Disconnections
		t.Logf("ledger %v: %d disconnections, %+v", withLedger, report.Disconnections, report.Total)
	}
	if disconnections[false] < 10 || disconnections[true] > disconnections[false]/20 {
		t.Fatalf("%d calls were disconnected with the ledger, %d without", disconnections[true], disconnections[false])
	}
}

// Kills a controller every 500 ms, 110 times in all, and restarts it after 200 ms. The rules must hold, and hardly any
// established call may be disconnected: only one that is too recent to be in the ledger may be.
func TestRepeatedKillsUnderLoad(t *testing.T) {
	report := runVirtual(t, "quiet.hcl", func(s *Script) {
		s.UseLedger, s.Duration = true, 60*time.Second
		for i := range 110 {
			s.Troubles = append(s.Troubles, Trouble{Kind: "controllers_kill", Start: 2*time.Second + time.Duration(i)*500*time.Millisecond, Fraction: 0.25, Size: 0.2})
		}
	})
	requireRulesHold(t, report, 0.2)
	t.Logf("%d disconnections, %+v", report.Disconnections, report.Total)
	if established := report.Total.Established + report.Total.Late; report.Disconnections > established/50 {
		t.Fatalf("%d of %d established calls were disconnected", report.Disconnections, established)
	}
}

// All switches hang for 3 s. After 0.6 s, with over a hundred set-ups from phones in progress, all controllers are killed. The
// audit of the gateways must delete what they left: a minute later there is no connection without a call.
func TestControllersKilledDuringSetUps(t *testing.T) {
	report := runVirtual(t, "mgcp.hcl", func(s *Script) {
		s.ExchangeCount, s.Duration, s.Gateways.CallRate, s.Gateways.LocalShare, s.Gateways.Endpoints, s.Gateways.LastCall = 8, 75*time.Second, 1000, 0, 300, 7*time.Second
		s.Troubles = []Trouble{{Kind: "hung", Start: 4 * time.Second, Duration: 3 * time.Second, Fraction: 1}, {Kind: "controllers_kill", Start: 4600 * time.Millisecond, Fraction: 1, Size: 0.5}}
	})
	requireRulesHold(t, report, 0.5)
	if phones := report.Phones; phones.Abandoned < 100 || phones.Established < phones.Calls/2 {
		t.Fatalf("%+v", phones)
	}
}

// Checks that a neighbour that stops responding does not harm calls from phones that are being set up to it.
func TestNeighboursSilentDuringSetUpsFromPhones(t *testing.T) {
	for _, kind := range []string{"hung", "half_open"} {
		report := runVirtual(t, "mgcp.hcl", func(s *Script) {
			s.Duration, s.Gateways.LocalShare = 25*time.Second, 0
			s.Troubles = []Trouble{{Kind: kind, Start: 4 * time.Second, Duration: 8 * time.Second, Fraction: 0.5}}
		})
		requireRulesHold(t, report, 0.2)
		if phones := report.Phones; phones.Calls < 400 || phones.Established < phones.Calls/4 {
			t.Fatalf("%s: %+v", kind, phones)
		}
	}
}
