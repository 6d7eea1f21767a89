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

func (v *virtualNet) launch(e int, siteFile, routing, plant string) (Process, error) {
	s, err := site.Read(siteFile)
	if err != nil {
		return nil, err
	}
	s.Disk = v.disk
	s.ControlAddress = "" // control commands are method calls here
	p := &inProcess{ready: make(chan struct{}), done: make(chan struct{}), gate: &memnet.Gate{}}
	build := control.DeciderBuilder(func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
		return policy.New(d, x, now)
	})
	if routing == "random" {
		build = baseline.NewBuilder(true)
	}
	var wrong *FaultyController
	if plant != "" {
		var near []exchange.Neighbour
		for _, n := range s.Neighbours {
			near = append(near, n.Neighbour)
		}
		if wrong, err = NewFaultyController(plant, near); err != nil {
			return nil, err
		}
		build = wrong.WrapDecider(build)
	}
	p.server, err = control.New(s, build, func(_ context.Context, name string) (net.Conn, error) {
		p.gate.Wait()
		c, err := v.Dial(name)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		c.(*memnet.Conn).Gate = p.gate
		if p.conns = append(p.conns, c); p.killed {
			c.Close()
		}
		return c, nil
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	p.server.ListenPacket = func(address string) (net.PacketConn, error) {
		c, err := v.ListenPacket(address)
		if err == nil {
			c.(*memnet.PacketConn).Gate = p.gate
			p.mu.Lock()
			p.socket = c
			p.mu.Unlock()
		}
		return c, err
	}
	if wrong != nil {
		p.server.InterceptSend = wrong.InterceptSend
	}
	p.server.OnReady = func() { close(p.ready) }
	ctx, cancel := context.WithCancel(context.Background())
	p.drain = cancel
	go func() {
		p.server.Run(ctx)
		close(p.done)
	}()
	return p, nil
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
func runVirtual(t *testing.T, name string, change func(*Script)) Report {
	return runVirtualWithFault(t, name, "", change)
}

func runVirtualWithFault(t *testing.T, name, plant string, change func(*Script)) Report {
	t.Helper()
	s, err := Read("../../examples/days/" + name)
	if err != nil {
		t.Fatal(err)
	}
	change(&s)
	var rep Report
	dir := t.TempDir()
	if *keepDir != "" {
		dir = *keepDir
	}
	synctest.Test(t, func(t *testing.T) {
		v := &virtualNet{memnet.New(), memnet.NewDisk()}
		rep, err = Run(context.Background(), s, Options{Launch: v.launch, Listen: v.Listen, Dial: v.Dial, ListenPacket: v.ListenPacket, PlantedFault: plant, Dir: dir, Progress: io.Discard})
		if err != nil {
			t.Error(err)
		}
	})
	return rep
}

func requireRulesHold(t *testing.T, rep Report, serviceLeast float64) {
	t.Helper()
	for i, b := range rep.Violations {
		if i < 5 {
			t.Errorf("rule %d broken at %.3f s: %s", b.Rule, float64(b.At)/1e6, b.Text)
		}
	}
	if len(rep.Violations) > 0 || rep.Total.Offered == 0 || rep.Total.Service < serviceLeast {
		t.Fatalf("%d violations, %d calls, service %.3f, want at least %.2f", len(rep.Violations), rep.Total.Offered, rep.Total.Service, serviceLeast)
	}
}

func TestQuietDayServesNearlyAll(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "quiet.hcl", func(*Script) {}), 0.97)
}

func TestBadDayKeepsTheRules(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "bad.hcl", func(s *Script) { s.Duration = 61 * time.Second }), 0.3)
}

func TestTheOtherTroublesKeepTheRules(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "wide.hcl", func(*Script) {}), 0.3)
}

// Checks the rules with each kind of trouble alone, on a small network.
func TestEachTroubleAloneKeepsTheRules(t *testing.T) {
	sizes := map[string]float64{"slow": 4, "other_work": 0.7, "circuits_lost": 0.5, "answers_lost": 0.3, "chopped": 1, "load_jump": 2,
		"hot_caller": 4, "ageing": 6, "mass_cut": 0.6, "leave_early": 0.4, "links_reset": 0.7}
	for _, kind := range TroubleKinds() {
		if kind == "portability" || kind == "tables_change" || kind == "gateways" { // these need tables, gateways or real sockets and have tests of their own
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
func TestThousandTablesUnderLoadAndNoCallMixesTwo(t *testing.T) {
	rep := runVirtual(t, "quiet.hcl", func(s *Script) {
		s.UseTables, s.Duration = true, 21*time.Second
		s.Troubles = []Trouble{{Kind: "tables_change", Start: 200 * time.Millisecond, Duration: 20 * time.Second, Interval: 20 * time.Millisecond},
			{Kind: "slow", Start: 5 * time.Second, Duration: 5 * time.Second, Fraction: 0.5, Size: 3},
			{Kind: "links_reset", Start: 8 * time.Second, Fraction: 1, Size: 1},
			{Kind: "controllers_kill", Start: 12 * time.Second, Fraction: 0.25, Size: 1}}
	})
	requireRulesHold(t, rep, 0.2)
	if rep.MixedCalls > 0 || rep.TableVersions < 200 {
		t.Fatalf("%d calls mixed tables; %d tables were in use", rep.MixedCalls, rep.TableVersions)
	}
}

// The audit must find a controller that violates one rule on its sockets, and find nothing on the same day without it.
func TestPlantedBreaksAreFound(t *testing.T) {
	requireRulesHold(t, runVirtual(t, "plant.hcl", func(*Script) {}), 0.3)
	for plant, rule := range map[string]int{"answer": 1, "copy": 2, "drain": 3, "cold": 4, "release": 5} {
		t.Run(plant, func(t *testing.T) {
			rep := runVirtualWithFault(t, "plant.hcl", plant, func(*Script) {})
			for _, b := range rep.Violations {
				if b.Rule == rule {
					return
				}
			}
			t.Fatalf("planted fault not found in %v", rep.Violations)
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
func TestPhonesAtGatewaysOnAQuietDay(t *testing.T) {
	rep := runVirtual(t, "mgcp.hcl", func(s *Script) { s.Troubles, s.Duration = nil, 20*time.Second })
	requireRulesHold(t, rep, 0.8)
	if p := rep.Phones; p.Calls < 300 || float64(p.Established) < 0.7*float64(p.Calls) {
		t.Fatalf("%+v", p)
	} else {
		t.Logf("%+v", p)
	}
}

// Checks the rules with each fault of gateways, their users and their network alone.
func TestEachTroubleOfGatewaysKeepsTheRules(t *testing.T) {
	sizes := map[string]float64{"loss": 0.05, "double": 0.5, "late": 0.3, "truncated": 0.1, "two_answers": 0.5, "flash": 0.5, "hang_up": 0.5, "trickle": 0.5, "glare": 0.5}
	for _, how := range troubleKinds["gateways"].how {
		t.Run(how, func(t *testing.T) {
			size, ok := sizes[how]
			if !ok {
				size = 1
			}
			rep := runVirtual(t, "mgcp.hcl", func(s *Script) {
				s.Duration, s.Troubles = 20*time.Second, []Trouble{{Kind: "gateways", Start: 4 * time.Second, Duration: 8 * time.Second, Fraction: 0.5, Size: size, How: how}}
			})
			requireRulesHold(t, rep, 0.8)
			if p := rep.Phones; float64(p.Established) < 0.4*float64(p.Calls) || p.Calls < 300 {
				t.Fatalf("%+v", p)
			} else {
				t.Logf("%+v", p)
			}
		})
	}
}

var mgcpDuration = flag.Duration("mgcp", 0, "length of the MGCP day, with its troubles repeated; 0: as in its file")

func TestMGCPDayKeepsTheRules(t *testing.T) {
	rep := runVirtual(t, "mgcp.hcl", func(s *Script) {
		round, all := s.Duration, s.Troubles
		for from := round; from < *mgcpDuration; from += round {
			for _, tr := range all {
				tr.Start += from
				s.Troubles = append(s.Troubles, tr)
			}
			s.Duration = from + round
		}
	})
	requireRulesHold(t, rep, 0.3)
	t.Logf("%+v", rep.Phones)
}

// Established calls must survive the kill of their controller. With the ledger hardly any is disconnected, without it all
// of the controller's calls are.
func TestStandingCallsOutliveKills(t *testing.T) {
	cut := map[bool]int{}
	for _, kept := range []bool{true, false} {
		rep := runVirtual(t, "quiet.hcl", func(s *Script) {
			s.UseLedger, s.Duration = kept, 20*time.Second
			s.Troubles = []Trouble{{Kind: "controllers_kill", Start: 6 * time.Second, Fraction: 0.5, Size: 0.5}, {Kind: "controllers_kill", Start: 12 * time.Second, Fraction: 1, Size: 0.5}}
		})
		requireRulesHold(t, rep, 0.3)
		cut[kept] = rep.Disconnections
		t.Logf("ledger %v: %d disconnections, %+v", kept, rep.Disconnections, rep.Total)
	}
	if cut[false] < 10 || cut[true] > cut[false]/20 {
		t.Fatalf("%d calls were disconnected with the ledger, %d without", cut[true], cut[false])
	}
}

// Kills a controller every 500 ms, 110 times in all, and restarts it after 200 ms. The rules must hold, and hardly any
// established call may be disconnected: only one that is too recent to be in the ledger may be.
func TestHundredKillsUnderLoad(t *testing.T) {
	rep := runVirtual(t, "quiet.hcl", func(s *Script) {
		s.UseLedger, s.Duration = true, 60*time.Second
		for i := range 110 {
			s.Troubles = append(s.Troubles, Trouble{Kind: "controllers_kill", Start: 2*time.Second + time.Duration(i)*500*time.Millisecond, Fraction: 0.25, Size: 0.2})
		}
	})
	requireRulesHold(t, rep, 0.2)
	t.Logf("%d disconnections, %+v", rep.Disconnections, rep.Total)
	if stood := rep.Total.Established + rep.Total.Late; rep.Disconnections > stood/50 {
		t.Fatalf("%d of %d established calls were disconnected", rep.Disconnections, stood)
	}
}

// All switches hang for 3 s. After 0.6 s, with over a hundred set-ups from phones in progress, all controllers are killed. The
// audit of the gateways must delete what they left: a minute later there is no connection without a call.
func TestControllersKilledWithAHundredSetUpsInFlight(t *testing.T) {
	rep := runVirtual(t, "mgcp.hcl", func(s *Script) {
		s.ExchangeCount, s.Duration, s.Gateways.CallRate, s.Gateways.LocalShare, s.Gateways.Endpoints, s.Gateways.LastCall = 8, 75*time.Second, 1000, 0, 300, 7*time.Second
		s.Troubles = []Trouble{{Kind: "hung", Start: 4 * time.Second, Duration: 3 * time.Second, Fraction: 1}, {Kind: "controllers_kill", Start: 4600 * time.Millisecond, Fraction: 1, Size: 0.5}}
	})
	requireRulesHold(t, rep, 0.5)
	if p := rep.Phones; p.Abandoned < 100 || p.Established < p.Calls/2 {
		t.Fatalf("%+v", p)
	}
}

// Checks that a neighbour that stops responding does not harm calls from phones that are being set up to it.
func TestNeighboursSilentDuringSetUpsFromPhones(t *testing.T) {
	for _, kind := range []string{"hung", "half_open"} {
		rep := runVirtual(t, "mgcp.hcl", func(s *Script) {
			s.Duration, s.Gateways.LocalShare = 25*time.Second, 0
			s.Troubles = []Trouble{{Kind: kind, Start: 4 * time.Second, Duration: 8 * time.Second, Fraction: 0.5}}
		})
		requireRulesHold(t, rep, 0.2)
		if p := rep.Phones; p.Calls < 400 || p.Established < p.Calls/4 {
			t.Fatalf("%s: %+v", kind, p)
		}
	}
}
