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

// harness is a running server whose own switch is played by the test.
type harness struct {
	t          *testing.T
	server     *Server
	switchConn net.Conn
	log        strings.Builder
	mu         sync.Mutex
	received   []isup.Message
	drain      context.CancelFunc
	ended      chan error
}

func (h *harness) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.Write(p)
}

// startHarness runs a server with an event queue of the given capacity and accepts its link.
func startHarness(t *testing.T, inboxSize int) *harness {
	memNet := memnet.New()
	ln, err := memNet.Listen("own")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, ended: make(chan error, 1)}
	config := Config{Deployment: policy.Deployment{OwnExchange: 0, Seed: 1, MaxTries: 4, ReleaseTime: 3000,
		Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, ExchangeCount: 3, OwnSwitchAddress: "own", RegisterAddress: "none",
		Neighbours: []Neighbour{{exchange.Neighbour{Number: 1, Circuits: 4}, "away"}}, InboxSize: inboxSize, MaxLinkOctets: 1 << 16}
	h.server, err = New(config, func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
		return policy.New(d, x, now)
	},
		func(_ context.Context, address string) (net.Conn, error) { return memNet.Dial(address) }, slog.New(slog.NewTextHandler(h, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.drain = cancel
	go func() { h.ended <- h.server.Run(ctx) }()
	h.accept(ln)
	t.Cleanup(func() { ln.Close() })
	return h
}

// accept answers the handshake of the server's link and collects the messages that it sends.
func (h *harness) accept(ln net.Listener) {
	conn, err := ln.Accept()
	if err != nil {
		h.t.Fatal(err)
	}
	frame, _, err := m3ua.Read(conn, nil)
	if err != nil || frame.Kind != m3ua.ASPUp || frame.ASPID != 1 {
		h.t.Fatal(frame, err)
	}
	h.switchConn = conn
	h.sendFrame(m3ua.Frame{Kind: m3ua.ASPUpAck, ASPID: 1, Info: "life=1"})
	go func() {
		var scratch []byte
		for {
			frame, s, err := m3ua.Read(conn, scratch)
			if err != nil {
				return
			}
			if scratch = s; frame.Kind == m3ua.Data {
				if message, err := isup.Decode(frame.UserData); err == nil {
					h.mu.Lock()
					h.received = append(h.received, message)
					h.mu.Unlock()
				}
			}
		}
	}()
}

func (h *harness) sendFrame(f m3ua.Frame) {
	buf, err := m3ua.Append(nil, f)
	if err != nil {
		h.t.Fatal(err)
	}
	h.switchConn.Write(buf)
}

// sendSetUp sends a set-up from a line, with the time left for its caller and the stamp of the switch's clock.
func (h *harness) sendSetUp(cic uint16, dest int, timeLeft policy.Tenths, stamp uint32) {
	buf, err := isup.Append(nil, isup.Message{CIC: cic, Type: isup.IAM, Width: 1, Digits: exchange.LineNumber(dest, 1),
		Ref: isup.Reference{Point: 1, Identity: uint32(cic) + 1}, UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: uint32(timeLeft), SentAt: stamp}})
	if err != nil {
		h.t.Fatal(err)
	}
	h.sendFrame(m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint, DPC: 1, UserData: buf})
}

// releaseCount counts the releases received for a circuit.
func (h *harness) releaseCount(cic uint16) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.received {
		if m.CIC == cic && m.Type == isup.REL {
			n++
		}
	}
	return n
}

// stop drains the server and returns what Run returned.
func (h *harness) stop() error {
	h.drain()
	err := <-h.ended
	h.switchConn.Close()
	return err
}

func TestFullInboxRefusesAtOnceAndDropsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 16)
		stop := make(chan struct{})
		go h.server.Do(func() { <-stop }) // blocks the event loop
		time.Sleep(time.Millisecond)
		for cic := range uint16(200) {
			h.sendSetUp(cic, 1, 30000, 0)
		}
		time.Sleep(time.Millisecond)
		answered := 0
		for cic := range uint16(200) {
			answered += h.releaseCount(cic)
		}
		if answered < 180 {
			t.Fatalf("%d of 200 calls were answered at once with a full event queue", answered)
		}
		close(stop)
		time.Sleep(time.Second)
		for cic := range uint16(200) {
			if n := h.releaseCount(cic); n != 1 {
				t.Fatalf("call %d got %d answers", cic, n)
			}
		}
		if err := h.stop(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestMalformedMessageClosesOnlyItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 64)
		h.sendFrame(m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint, DPC: 1, UserData: []byte{1, 0, 0x7f}})
		time.Sleep(10 * time.Millisecond)
		h.mu.Lock()
		logged := h.log.String()
		h.mu.Unlock()
		if !strings.Contains(logged, "malformed ISUP message: type 7f is not known") {
			t.Fatalf("log: %s", logged)
		}
		if !h.server.Do(func() {}) {
			t.Fatal("the server ended")
		}
		h.stop()
	})
}

func TestDrainAnswersAcceptedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 64)
		h.sendSetUp(1, 0, 30000, 0) // to a line of this exchange, which rings
		time.Sleep(time.Millisecond)
		h.drain()
		time.Sleep(time.Millisecond)
		if err := <-h.ended; err != nil {
			t.Fatal(err)
		}
		h.switchConn.Close()
	})
}

func TestAbandonedCallIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 64)
		h.sendSetUp(1, 2, 30000, 100000) // sets the transmission time; refused, as there is no route
		time.Sleep(time.Millisecond)
		h.sendSetUp(2, 2, 5000, 90000) // stamped 1 s earlier: the caller abandoned it 0.5 s ago
		h.sendSetUp(3, 2, 5000, 100000)
		time.Sleep(time.Millisecond)
		if h.releaseCount(1) != 1 || h.releaseCount(2) != 0 || h.releaseCount(3) != 1 {
			t.Fatalf("answers %d, %d, %d", h.releaseCount(1), h.releaseCount(2), h.releaseCount(3))
		}
		h.stop()
	})
}

// Guards against refusing all calls after the own switch restarts with a new clock: measured against the old clock, every call
// seemed to have waited for as long as the switch had run before.
func TestRestartedOwnSwitchHasANewClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memnet.New()
		ln, _ := m.Listen("own")
		h := &harness{t: t, ended: make(chan error, 1)}
		config := Config{Deployment: policy.Deployment{OwnExchange: 0, MaxTries: 4, Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}},
			ExchangeCount: 3, OwnSwitchAddress: "own", RegisterAddress: "none", InboxSize: 64, MaxLinkOctets: 1 << 16}
		h.server, _ = New(config, func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, x, now)
		},
			func(_ context.Context, address string) (net.Conn, error) { return m.Dial(address) }, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		h.drain = cancel
		go func() { h.ended <- h.server.Run(ctx) }()
		h.accept(ln)
		time.Sleep(time.Second)
		h.sendSetUp(1, 2, 30000, 1000000)
		time.Sleep(time.Millisecond)
		h.switchConn.Close()
		h.accept(ln)
		h.sendSetUp(2, 2, 30000, 10)
		time.Sleep(time.Millisecond)
		if h.releaseCount(1) != 1 || h.releaseCount(2) != 1 {
			t.Fatalf("answers %d, %d", h.releaseCount(1), h.releaseCount(2))
		}
		h.stop()
		ln.Close()
	})
}
