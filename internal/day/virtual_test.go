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

// inside is a controller in this process.
type inside struct {
	station     *control.Server
	ready, done chan struct{}
	drain       context.CancelFunc
	gate        *memnet.Gate
	mu          sync.Mutex
	conns       []net.Conn
	socket      net.PacketConn
	killed      bool
}

func (v *virtualNet) launch(e int, siteFile, routing, plant string) (Program, error) {
	s, err := site.Read(siteFile)
	if err != nil {
		return nil, err
	}
	s.Disk = v.disk
	s.ControlAddress = "" // orders come by call here
	p := &inside{ready: make(chan struct{}), done: make(chan struct{}), gate: &memnet.Gate{}}
	build := control.DeciderBuilder(func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
		return policy.New(d, x, now)
	})
	if routing == "random" {
		build = baseline.Build(true)
	}
	var wrong *Wrong
	if plant != "" {
		var near []exchange.Neighbour
		for _, n := range s.Neighbours {
			near = append(near, n.Neighbour)
		}
		if wrong, err = NewWrong(plant, near); err != nil {
			return nil, err
		}
		build = wrong.Deciding(build)
	}
	p.station, err = control.New(s, build, func(_ context.Context, name string) (net.Conn, error) {
		p.gate.Pass()
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
	p.station.ListenPacket = func(address string) (net.PacketConn, error) {
		c, err := v.ListenPacket(address)
		if err == nil {
			c.(*memnet.Packet).Gate = p.gate
			p.mu.Lock()
			p.socket = c
			p.mu.Unlock()
		}
		return c, err
	}
	if wrong != nil {
		p.station.InterceptSend = wrong.Sent
	}
	p.station.OnReady = func() { close(p.ready) }
	ctx, cancel := context.WithCancel(context.Background())
	p.drain = cancel
	go func() {
		p.station.Run(ctx)
		close(p.done)
	}()
	return p, nil
}

func (p *inside) Ready() <-chan struct{}       { return p.ready }
func (p *inside) Done() <-chan struct{}        { return p.done }
func (p *inside) Drain()                       { p.drain() }
func (p *inside) Used() (time.Duration, int64) { return 0, 0 }
func (p *inside) Load(table string) error {
	_, err := p.station.Load(table, time.Now())
	return err
}
func (p *inside) Kill() {
	p.mu.Lock()
	p.killed = true
	for _, c := range p.conns {
		c.Close()
	}
	if p.socket != nil {
		p.socket.Close()
	}
	p.mu.Unlock()
	p.GoOn()
	p.station.Abort()
}
func (p *inside) Stop() {
	if p.gate.Shut() {
		go p.station.Do(p.gate.Pass)
	}
}
func (p *inside) GoOn() { p.gate.Open() }

// virtual plays a day in virtual time.
func virtual(t *testing.T, name string, change func(*Script)) Report {
	return virtualPlant(t, name, "", change)
}

func virtualPlant(t *testing.T, name, plant string, change func(*Script)) Report {
	t.Helper()
	s, err := Read("../../examples/days/" + name)
	if err != nil {
		t.Fatal(err)
	}
	change(&s)
	var rep Report
	dir := t.TempDir()
	if *keep != "" {
		dir = *keep
	}
	synctest.Test(t, func(t *testing.T) {
		v := &virtualNet{memnet.New(), memnet.NewDisk()}
		rep, err = Run(context.Background(), s, Options{Launch: v.launch, Listen: v.Listen, Dial: v.Dial, Packets: v.ListenPacket, Plant: plant, Keep: dir, Progress: io.Discard})
		if err != nil {
			t.Error(err)
		}
	})
	return rep
}

func rulesHold(t *testing.T, rep Report, serviceLeast float64) {
	t.Helper()
	for i, b := range rep.Breaches {
		if i < 5 {
			t.Errorf("rule %d broken at %.3f s: %s", b.Rule, float64(b.At)/1e6, b.Text)
		}
	}
	if len(rep.Breaches) > 0 || rep.All.Offered == 0 || rep.All.Service < serviceLeast {
		t.Fatalf("%d breaches, %d calls, service %.3f (at least %.2f)", len(rep.Breaches), rep.All.Offered, rep.All.Service, serviceLeast)
	}
}

func TestQuietDayServesNearlyAll(t *testing.T) {
	rulesHold(t, virtual(t, "quiet.hcl", func(*Script) {}), 0.97)
}

func TestBadDayKeepsTheRules(t *testing.T) {
	rulesHold(t, virtual(t, "bad.hcl", func(s *Script) { s.Length = 61 * time.Second }), 0.3)
}

func TestTheOtherTroublesKeepTheRules(t *testing.T) {
	rulesHold(t, virtual(t, "wide.hcl", func(*Script) {}), 0.3)
}

// Each kind of trouble alone, on a small network, by name.
func TestEachTroubleAloneKeepsTheRules(t *testing.T) {
	sizes := map[string]float64{"slow": 4, "other_work": 0.7, "circuits_lost": 0.5, "answers_lost": 0.3, "chopped": 1, "load_jump": 2,
		"hot_caller": 4, "ageing": 6, "mass_cut": 0.6, "leave_early": 0.4, "links_reset": 0.7}
	for _, kind := range Kinds() {
		if kind == "portability" || kind == "tables_change" || kind == "gateways" { // need tables, and the first sockets: days of their own
			continue
		}
		hows := kinds[kind].how
		if len(hows) == 0 {
			hows = []string{""}
		}
		for _, how := range hows {
			t.Run(kind+how, func(t *testing.T) {
				size, ok := sizes[kind]
				if !ok {
					size = 1.5
				}
				rulesHold(t, virtual(t, "quiet.hcl", func(s *Script) {
					s.Length = 14 * time.Second
					s.Troubles = []Trouble{{Kind: kind, Start: 3 * time.Second, Length: 6 * time.Second, Part: 0.5, Size: size,
						Every: 3 * time.Second, How: how}}
				}), 0.1)
			})
		}
	}
}

// A thousand tables, one every 20 ms, each leading every number elsewhere than the one before, under load: no call is routed
// by two of them, nor otherwise than its own says, and the rules hold.
func TestThousandTablesUnderLoadAndNoCallMixesTwo(t *testing.T) {
	rep := virtual(t, "quiet.hcl", func(s *Script) {
		s.Tables, s.Length = true, 21*time.Second
		s.Troubles = []Trouble{{Kind: "tables_change", Start: 200 * time.Millisecond, Length: 20 * time.Second, Every: 20 * time.Millisecond},
			{Kind: "slow", Start: 5 * time.Second, Length: 5 * time.Second, Part: 0.5, Size: 3},
			{Kind: "links_reset", Start: 8 * time.Second, Part: 1, Size: 1},
			{Kind: "controllers_kill", Start: 12 * time.Second, Part: 0.25, Size: 1}}
	})
	rulesHold(t, rep, 0.2)
	if rep.Mixed > 0 || rep.Versions < 200 {
		t.Fatalf("%d calls went by two tables; %d tables were seen in use", rep.Mixed, rep.Versions)
	}
}

// A controller that breaks one rule on its sockets is found by the audit, by that rule; the same day without it is clean.
func TestPlantedBreaksAreFound(t *testing.T) {
	rulesHold(t, virtual(t, "plant.hcl", func(*Script) {}), 0.3)
	for plant, rule := range map[string]int{"answer": 1, "copy": 2, "drain": 3, "cold": 4, "release": 5} {
		t.Run(plant, func(t *testing.T) {
			rep := virtualPlant(t, "plant.hcl", plant, func(*Script) {})
			for _, b := range rep.Breaches {
				if b.Rule == rule {
					return
				}
			}
			t.Fatalf("not found; the audit told %v", rep.Breaches)
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
	rep := virtual(t, "mgcp.hcl", func(s *Script) { s.Troubles, s.Length = nil, 20*time.Second })
	rulesHold(t, rep, 0.8)
	if p := rep.Phones; p.Calls < 300 || float64(p.Stood) < 0.7*float64(p.Calls) {
		t.Fatalf("%+v", p)
	} else {
		t.Logf("%+v", p)
	}
}

// Every trouble that gateways, their users and their network have, alone and by name.
func TestEachTroubleOfGatewaysKeepsTheRules(t *testing.T) {
	sizes := map[string]float64{"loss": 0.05, "double": 0.5, "late": 0.3, "truncated": 0.1, "two_answers": 0.5, "flash": 0.5, "hang_up": 0.5, "trickle": 0.5, "glare": 0.5}
	for _, how := range kinds["gateways"].how {
		t.Run(how, func(t *testing.T) {
			size, ok := sizes[how]
			if !ok {
				size = 1
			}
			rep := virtual(t, "mgcp.hcl", func(s *Script) {
				s.Length, s.Troubles = 20*time.Second, []Trouble{{Kind: "gateways", Start: 4 * time.Second, Length: 8 * time.Second, Part: 0.5, Size: size, How: how}}
			})
			rulesHold(t, rep, 0.8)
			if p := rep.Phones; float64(p.Stood) < 0.4*float64(p.Calls) || p.Calls < 300 {
				t.Fatalf("%+v", p)
			} else {
				t.Logf("%+v", p)
			}
		})
	}
}

var long = flag.Duration("mgcp", 0, "length of the MGCP day, its troubles again and again; 0 as its file has it")

func TestMGCPDayKeepsTheRules(t *testing.T) {
	rep := virtual(t, "mgcp.hcl", func(s *Script) {
		round, all := s.Length, s.Troubles
		for from := round; from < *long; from += round {
			for _, tr := range all {
				tr.Start += from
				s.Troubles = append(s.Troubles, tr)
			}
			s.Length = from + round
		}
	})
	rulesHold(t, rep, 0.3)
	t.Logf("%+v", rep.Phones)
}

// Calls that stand outlive their controller's process: of all that a kill finds standing, hardly any is cut, where without the
// ledger all of them are.
func TestStandingCallsOutliveKills(t *testing.T) {
	cut := map[bool]int{}
	for _, kept := range []bool{true, false} {
		rep := virtual(t, "quiet.hcl", func(s *Script) {
			s.Ledger, s.Length = kept, 20*time.Second
			s.Troubles = []Trouble{{Kind: "controllers_kill", Start: 6 * time.Second, Part: 0.5, Size: 0.5}, {Kind: "controllers_kill", Start: 12 * time.Second, Part: 1, Size: 0.5}}
		})
		rulesHold(t, rep, 0.3)
		cut[kept] = rep.Cuts
		t.Logf("ledger %v: %d cuts, %+v", kept, rep.Cuts, rep.All)
	}
	if cut[false] < 10 || cut[true] > cut[false]/20 {
		t.Fatalf("%d calls were cut with the ledger, %d without", cut[true], cut[false])
	}
}

// A controller is killed twice a second, a hundred and ten times in all, and starts again after a fifth of a second: rules hold, and
// of the calls that stand hardly one is cut. A call that stood for less than the ledger gathers may be.
func TestHundredKillsUnderLoad(t *testing.T) {
	rep := virtual(t, "quiet.hcl", func(s *Script) {
		s.Ledger, s.Length = true, 60*time.Second
		for i := range 110 {
			s.Troubles = append(s.Troubles, Trouble{Kind: "controllers_kill", Start: 2*time.Second + time.Duration(i)*500*time.Millisecond, Part: 0.25, Size: 0.2})
		}
	})
	rulesHold(t, rep, 0.2)
	t.Logf("%d cuts, %+v", rep.Cuts, rep.All)
	if stood := rep.All.Stood + rep.All.Late; rep.Cuts > stood/50 {
		t.Fatalf("%d of %d calls that stood were cut", rep.Cuts, stood)
	}
}

// Every switch stands still for three seconds, and after 0.6 of them, with a hundred and more set-ups from phones in flight, all controllers
// are killed. What they left at the gateways is audited away: a minute later no connection is there that no call has.
func TestControllersKilledWithAHundredSetUpsInFlight(t *testing.T) {
	rep := virtual(t, "mgcp.hcl", func(s *Script) {
		s.Exchanges, s.Length, s.Gateways.Rate, s.Gateways.Near, s.Gateways.Endpoints, s.Gateways.Until = 8, 75*time.Second, 1000, 0, 300, 7*time.Second
		s.Troubles = []Trouble{{Kind: "hung", Start: 4 * time.Second, Length: 3 * time.Second, Part: 1}, {Kind: "controllers_kill", Start: 4600 * time.Millisecond, Part: 1, Size: 0.5}}
	})
	rulesHold(t, rep, 0.5)
	if p := rep.Phones; p.Left < 100 || p.Stood < p.Calls/2 {
		t.Fatalf("%+v", p)
	}
}

// A neighbour falls silent while calls from phones are being set up to it.
func TestNeighboursSilentDuringSetUpsFromPhones(t *testing.T) {
	for _, kind := range []string{"hung", "half_open"} {
		rep := virtual(t, "mgcp.hcl", func(s *Script) {
			s.Length, s.Gateways.Near = 25*time.Second, 0
			s.Troubles = []Trouble{{Kind: kind, Start: 4 * time.Second, Length: 8 * time.Second, Part: 0.5}}
		})
		rulesHold(t, rep, 0.2)
		if p := rep.Phones; p.Calls < 400 || p.Stood < p.Calls/4 {
			t.Fatalf("%s: %+v", kind, p)
		}
	}
}
