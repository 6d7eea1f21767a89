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

// virtualNet starts controllers in this process, on a network in memory.
type virtualNet struct {
	*memnet.Net
	disk ledger.Disk
}

// inProcess is a controller in this process.
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
	s.ControlAddress = "" // orders come by call here
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

// runVirtual plays a day in virtual time.
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
		t.Fatalf("%d breaches, %d calls, service %.3f (at least %.2f)", len(rep.Violations), rep.Total.Offered, rep.Total.Service, serviceLeast)
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

// Each kind of trouble alone, on a small network, by name.
func TestEachTroubleAloneKeepsTheRules(t *testing.T) {
	sizes := map[string]float64{"slow": 4, "other_work": 0.7, "circuits_lost": 0.5, "answers_lost": 0.3, "chopped": 1, "load_jump": 2,
		"hot_caller": 4, "ageing": 6, "mass_cut": 0.6, "leave_early": 0.4, "links_reset": 0.7}
	for _, kind := range TroubleKinds() {
		if kind == "portability" || kind == "tables_change" || kind == "gateways" { // need tables, and the first sockets: days of their own
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

// A thousand tables, one every 20 ms, each leading every number elsewhere than the one before, under load: no call is routed
// by two of them, nor otherwise than its own says, and the rules hold.
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
		t.Fatalf("%d calls went by two tables; %d tables were seen in use", rep.MixedCalls, rep.TableVersions)
	}
}

// A controller that breaks one rule on its sockets is found by the audit, by that rule; the same day without it is clean.
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
			t.Fatalf("not found; the audit told %v", rep.Violations)
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

// Phones at gateways: calls within an exchange, between two and over tandems, with nothing wrong.
func TestPhonesAtGatewaysOnAQuietDay(t *testing.T) {
	rep := runVirtual(t, "mgcp.hcl", func(s *Script) { s.Troubles, s.Duration = nil, 20*time.Second })
	requireRulesHold(t, rep, 0.8)
	if p := rep.Phones; p.Calls < 300 || float64(p.Established) < 0.7*float64(p.Calls) {
		t.Fatalf("%+v", p)
	} else {
		t.Logf("%+v", p)
	}
}

// Every trouble that gateways, their users and their network have, alone and by name.
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

var mgcpDuration = flag.Duration("mgcp", 0, "length of the MGCP day, its troubles again and again; 0 as its file has it")

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

// Calls that stand outlive their controller's process: of all that a kill finds standing, hardly any is cut, where without the
// ledger all of them are.
func TestStandingCallsOutliveKills(t *testing.T) {
	cut := map[bool]int{}
	for _, kept := range []bool{true, false} {
		rep := runVirtual(t, "quiet.hcl", func(s *Script) {
			s.UseLedger, s.Duration = kept, 20*time.Second
			s.Troubles = []Trouble{{Kind: "controllers_kill", Start: 6 * time.Second, Fraction: 0.5, Size: 0.5}, {Kind: "controllers_kill", Start: 12 * time.Second, Fraction: 1, Size: 0.5}}
		})
		requireRulesHold(t, rep, 0.3)
		cut[kept] = rep.Disconnections
		t.Logf("ledger %v: %d cuts, %+v", kept, rep.Disconnections, rep.Total)
	}
	if cut[false] < 10 || cut[true] > cut[false]/20 {
		t.Fatalf("%d calls were cut with the ledger, %d without", cut[true], cut[false])
	}
}

// A controller is killed twice a second, a hundred and ten times in all, and starts again after a fifth of a second: rules hold, and
// of the calls that stand hardly one is cut. A call that stood for less than the ledger gathers may be.
func TestHundredKillsUnderLoad(t *testing.T) {
	rep := runVirtual(t, "quiet.hcl", func(s *Script) {
		s.UseLedger, s.Duration = true, 60*time.Second
		for i := range 110 {
			s.Troubles = append(s.Troubles, Trouble{Kind: "controllers_kill", Start: 2*time.Second + time.Duration(i)*500*time.Millisecond, Fraction: 0.25, Size: 0.2})
		}
	})
	requireRulesHold(t, rep, 0.2)
	t.Logf("%d cuts, %+v", rep.Disconnections, rep.Total)
	if stood := rep.Total.Established + rep.Total.Late; rep.Disconnections > stood/50 {
		t.Fatalf("%d of %d calls that stood were cut", rep.Disconnections, stood)
	}
}

// Every switch stands still for three seconds, and after 0.6 of them, with a hundred and more set-ups from phones in flight, all controllers
// are killed. What they left at the gateways is audited away: a minute later no connection is there that no call has.
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

// A neighbour falls silent while calls from phones are being set up to it.
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
