package control

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/m3ua"
	"indigodrift/internal/memnet"
	"indigodrift/policy"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bench is a running server whose own switch is played by the test.
type bench struct {
	t       *testing.T
	station *Server
	own     net.Conn
	log     strings.Builder
	mu      sync.Mutex
	got     []isup.Message
	drain   context.CancelFunc
	ended   chan error
}

func (b *bench) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.Write(p)
}

// start runs a server with an event queue of the given capacity and accepts its link.
func start(t *testing.T, inbox int) *bench {
	m := memnet.New()
	ln, err := m.Listen("own")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, ended: make(chan error, 1)}
	s := Config{Deployment: policy.Deployment{OwnExchange: 0, Seed: 1, MaxTries: 4, ReleaseTime: 3000,
		Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, ExchangeCount: 3, OwnSwitchAddress: "own", RegisterAddress: "none",
		Neighbours: []Neighbour{{exchange.Neighbour{Number: 1, Circuits: 4}, "away"}}, InboxSize: inbox, MaxLinkOctets: 1 << 16}
	b.station, err = New(s, func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
		return policy.New(d, x, now)
	},
		func(_ context.Context, address string) (net.Conn, error) { return m.Dial(address) }, slog.New(slog.NewTextHandler(b, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.drain = cancel
	go func() { b.ended <- b.station.Run(ctx) }()
	b.accept(ln)
	t.Cleanup(func() { ln.Close() })
	return b
}

// accept answers the handshake of the server's link and collects the messages that it sends.
func (b *bench) accept(ln net.Listener) {
	c, err := ln.Accept()
	if err != nil {
		b.t.Fatal(err)
	}
	f, _, err := m3ua.Read(c, nil)
	if err != nil || f.Kind != m3ua.ASPUp || f.ASPID != 1 {
		b.t.Fatal(f, err)
	}
	b.own = c
	b.frame(m3ua.Frame{Kind: m3ua.ASPUpAck, ASPID: 1, Info: "life=1"})
	go func() {
		var scratch []byte
		for {
			f, s, err := m3ua.Read(c, scratch)
			if err != nil {
				return
			}
			if scratch = s; f.Kind == m3ua.Data {
				if m, err := isup.Decode(f.UserData); err == nil {
					b.mu.Lock()
					b.got = append(b.got, m)
					b.mu.Unlock()
				}
			}
		}
	}()
}

func (b *bench) frame(f m3ua.Frame) {
	buf, err := m3ua.Append(nil, f)
	if err != nil {
		b.t.Fatal(err)
	}
	b.own.Write(buf)
}

// dial sends a set-up from a line, with the time left for its caller and the stamp of the switch's clock.
func (b *bench) dial(cic uint16, dest int, left policy.Tenths, stamp uint32) {
	buf, err := isup.Append(nil, isup.Message{CIC: cic, Type: isup.IAM, Width: 1, Digits: exchange.LineNumber(dest, 1),
		Ref: isup.Reference{Point: 1, Identity: uint32(cic) + 1}, UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: uint32(left), SentAt: stamp}})
	if err != nil {
		b.t.Fatal(err)
	}
	b.frame(m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint, DPC: 1, UserData: buf})
}

// released counts the releases received for a circuit.
func (b *bench) released(cic uint16) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.got {
		if m.CIC == cic && m.Type == isup.REL {
			n++
		}
	}
	return n
}

// end drains the server and returns what Run returned.
func (b *bench) end() error {
	b.drain()
	err := <-b.ended
	b.own.Close()
	return err
}

func TestFullInboxAnswersAtOnceAndDropsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 16)
		stop := make(chan struct{})
		go b.station.Do(func() { <-stop }) // blocks the event loop
		time.Sleep(time.Millisecond)
		for cic := range uint16(200) {
			b.dial(cic, 1, 30000, 0)
		}
		time.Sleep(time.Millisecond)
		at := 0
		for cic := range uint16(200) {
			at += b.released(cic)
		}
		if at < 180 {
			t.Fatalf("%d of 200 calls were answered at once with a full event queue", at)
		}
		close(stop)
		time.Sleep(time.Second)
		for cic := range uint16(200) {
			if n := b.released(cic); n != 1 {
				t.Fatalf("call %d got %d answers", cic, n)
			}
		}
		if err := b.end(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestMalformedMessageCostsItsOwnLinkAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 64)
		b.frame(m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint, DPC: 1, UserData: []byte{1, 0, 0x7f}})
		time.Sleep(10 * time.Millisecond)
		b.mu.Lock()
		told := b.log.String()
		b.mu.Unlock()
		if !strings.Contains(told, "malformed ISUP message: type 7f is not known") {
			t.Fatalf("log: %s", told)
		}
		if !b.station.Do(func() {}) {
			t.Fatal("the server ended")
		}
		b.end()
	})
}

func TestDrainAnswersWhatWasTakenAndRefusesTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 64)
		b.dial(1, 0, 30000, 0) // to a line of this exchange, which rings
		time.Sleep(time.Millisecond)
		b.drain()
		time.Sleep(time.Millisecond)
		if err := <-b.ended; err != nil {
			t.Fatal(err)
		}
		b.own.Close()
	})
}

func TestCallReadTooLateIsNotTouched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, 64)
		b.dial(1, 2, 30000, 100000) // sets the transmission time; refused, as there is no route
		time.Sleep(time.Millisecond)
		b.dial(2, 2, 5000, 90000) // stamped 1 s earlier: the caller abandoned it 0.5 s ago
		b.dial(3, 2, 5000, 100000)
		time.Sleep(time.Millisecond)
		if b.released(1) != 1 || b.released(2) != 0 || b.released(3) != 1 {
			t.Fatalf("answers %d, %d, %d", b.released(1), b.released(2), b.released(3))
		}
		b.end()
	})
}

// Guards against refusing all calls after the own switch restarts with a new clock: measured against the old clock, every call
// seemed to have waited for as long as the switch had run before.
func TestNewLifeOfTheOwnSwitchHasANewClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memnet.New()
		ln, _ := m.Listen("own")
		b := &bench{t: t, ended: make(chan error, 1)}
		s := Config{Deployment: policy.Deployment{OwnExchange: 0, MaxTries: 4, Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}},
			ExchangeCount: 3, OwnSwitchAddress: "own", RegisterAddress: "none", InboxSize: 64, MaxLinkOctets: 1 << 16}
		b.station, _ = New(s, func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, x, now)
		},
			func(_ context.Context, address string) (net.Conn, error) { return m.Dial(address) }, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		b.drain = cancel
		go func() { b.ended <- b.station.Run(ctx) }()
		b.accept(ln)
		time.Sleep(time.Second)
		b.dial(1, 2, 30000, 1000000)
		time.Sleep(time.Millisecond)
		b.own.Close()
		b.accept(ln)
		b.dial(2, 2, 30000, 10)
		time.Sleep(time.Millisecond)
		if b.released(1) != 1 || b.released(2) != 1 {
			t.Fatalf("answers %d, %d", b.released(1), b.released(2))
		}
		b.end()
		ln.Close()
	})
}
