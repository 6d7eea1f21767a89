package board

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/memnet"
	"indigodrift/internal/seeded"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(seededMain{m}) }

type seededMain struct{ *testing.M }

func (r seededMain) Run() int { return seeded.Run(r.M, 1000) }

func TestReadFrame(t *testing.T) {
	// length 36, number 42, changes; s-00c41f7a at 10.1.0.9:5060, draining, zone 1, kind 2, exchange 3, weight 4, started 5
	in := []byte{0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 42, 2,
		0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x13, 0xc4, 1, 1, 2, 0, 3, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 5}
	e, isEvent, err := ReadFrame(bytes.NewReader(in))
	want := Event{Number: 42, Switches: []Switch{{ID: 0xc41f7a, Address: "10.1.0.9:5060", State: Draining, Exchange: 3, StartedMS: 5}}}
	if err != nil || !isEvent || !reflect.DeepEqual(e, want) {
		t.Fatalf("%+v %v %v", e, isEvent, err)
	}
	for n := range in {
		if _, _, err := ReadFrame(bytes.NewReader(in[:n])); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for offset, octet := range map[int]byte{0: 0x70, 3: 35, 12: 3, 23: 3, 32: 0x80} { // length (twice), kind, state, start time
		bad := bytes.Clone(in)
		bad[offset] = octet
		if _, _, err := ReadFrame(bytes.NewReader(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("octet %d as %d: %v", offset, octet, err)
		}
	}
}

func TestParseInitialEvents(t *testing.T) {
	events, err := ParseInitialEvents([]byte(`{"rev":2,"notices":[{"rev":1,"pool":{"reset":true,"instances":[{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:5060",
"cell":2,"lifecycle":"in_service","startedAtMs":0,"weight":1.0}]}},{"rev":2,"pool":{"instances":[{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:5060",
"cell":2,"lifecycle":"terminating","startedAtMs":7}]}}]}`))
	one := Switch{ID: 0xc41f7a, Address: "10.1.0.9:5060", Exchange: 2}
	two := one
	two.State, two.StartedMS = Draining, 7
	want := []Event{{1, true, []Switch{one}}, {2, false, []Switch{two}}}
	if err != nil || !reflect.DeepEqual(events, want) {
		t.Fatalf("%+v %v", events, err)
	}
	for _, bad := range []string{`[]`, `{"notices":[{"rev":1,"pool":{"instances":[{"instanceId":"x-00c41f7a"}]}}]}`,
		`{"notices":[{"rev":1,"pool":{"instances":[{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9","lifecycle":"in_service"}]}}]}`,
		`{"notices":[{"rev":1,"pool":{"instances":[{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:1","lifecycle":"asleep"}]}}]}`,
		`{"notices":[{"rev":2},{"rev":1}]}`} {
		if _, err := ParseInitialEvents([]byte(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

func drawEvent(t *rapid.T, number uint64) Event {
	e := Event{Number: number, Complete: rapid.Bool().Draw(t, "whole")}
	for range rapid.IntRange(0, 4).Draw(t, "switches") {
		e.Switches = append(e.Switches, Switch{ID: rapid.Uint32().Draw(t, "id"), Address: "10.0.0.1:5060",
			State: State(rapid.IntRange(0, 2).Draw(t, "state")), Exchange: rapid.IntRange(0, 65535).Draw(t, "cell"),
			StartedMS: rapid.Int64Min(0).Draw(t, "started")})
	}
	return e
}

func TestEncodedEventsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEvent(t, rapid.Uint64().Draw(t, "number"))
		octets, err := AppendFrame(nil, e)
		if err != nil {
			t.Fatal(err)
		}
		decoded, isEvent, err := ReadFrame(bytes.NewReader(octets))
		if err != nil || !isEvent || !reflect.DeepEqual(e, decoded) {
			t.Fatalf("%+v became %+v, %v", e, decoded, err)
		}
	})
}

func corpus(t testing.TB) [][]byte {
	event, err := AppendFrame(nil, Event{Number: 9, Complete: true, Switches: []Switch{{ID: 1, Address: "10.0.0.1:1"},
		{ID: 2, Address: "10.0.0.2:65535", State: Draining, StartedMS: 1 << 40}}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{AppendKeepalive(nil, 7), event}
}

func checkReadFrame(t *testing.T, in []byte) {
	if e, _, err := ReadFrame(bytes.NewReader(in)); err == nil && len(e.Switches)*recordSize > len(in) {
		t.Fatalf("%d records from %d octets", len(e.Switches), len(in))
	}
}

func TestDamagedFrames(t *testing.T) { seeded.ForEachMutation(t, corpus(t), 100000, checkReadFrame) }

func FuzzReadFrame(f *testing.F) {
	for _, b := range corpus(f) {
		f.Add(b)
	}
	f.Fuzz(checkReadFrame)
}

// scriptedBoard is a notice board in virtual time. Each of its handlers serves one connection of the client and gets the requested
// number.
type scriptedBoard struct {
	t        *testing.T
	network  *memnet.Net
	events   []Event
	statuses []bool
}

func (s *scriptedBoard) serve(address string, handlers ...func(requested uint64, c net.Conn)) net.Listener {
	ln, err := s.network.Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	go func() {
		for _, handle := range handlers {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var request [8]byte
			if _, err := io.ReadFull(c, request[:]); err != nil {
				return
			}
			requested := uint64(0)
			for _, b := range request {
				requested = requested<<8 | uint64(b)
			}
			handle(requested, c)
		}
	}()
	return ln
}

func (s *scriptedBoard) startClient(ctx context.Context, addresses <-chan string) chan struct{} {
	done := make(chan struct{})
	c := Client{Addresses: addresses, OnEvent: func(e Event) { s.events = append(s.events, e) }, OnStatus: func(up bool, _ error) { s.statuses = append(s.statuses, up) },
		Dial: func(_ context.Context, address string) (net.Conn, error) { return s.network.Dial(address) }}
	go func() { c.Run(ctx, "board", 1); close(done) }()
	return done
}

func (s *scriptedBoard) numbers() (n []uint64) {
	for _, e := range s.events {
		n = append(n, e.Number)
	}
	return n
}

func frame(t *testing.T, n uint64) []byte {
	b, err := AppendFrame(nil, Event{Number: n, Switches: []Switch{{ID: 1, Address: "10.0.0.1:1"}}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The board disconnects within an event, repeats events, leaves one out and falls silent. Each event must be passed on once, in
// order, and the client must reconnect well before it counts as knowing its events: 2 s after a disconnect, 4 s after silence began.
func TestEachEventIsDeliveredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBoard{t: t, network: memnet.New()}
		var requested []uint64
		var silentSince, reconnectedAt time.Time
		respond := func(disconnect bool, parts ...[]byte) func(uint64, net.Conn) {
			return func(n uint64, c net.Conn) {
				requested = append(requested, n)
				if len(requested) == 5 {
					reconnectedAt = time.Now()
				}
				for _, p := range parts {
					c.Write(p)
				}
				if len(requested) == 4 {
					silentSince = time.Now()
				}
				if disconnect {
					c.Close()
				}
			}
		}
		ln := s.serve("board", respond(true, frame(t, 2), frame(t, 3)[:20]), respond(true, frame(t, 3), frame(t, 3), frame(t, 2), frame(t, 4)),
			respond(true, frame(t, 6)), respond(false, frame(t, 5), AppendKeepalive(nil, 5)), respond(false, frame(t, 6)))
		ctx, cancel := context.WithCancel(t.Context())
		done := s.startClient(ctx, nil)
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		ln.Close()
		if want := []uint64{2, 3, 4, 5, 6}; !reflect.DeepEqual(s.numbers(), want) {
			t.Errorf("events %v, want %v", s.numbers(), want)
		}
		if want := []uint64{1, 2, 4, 4, 5}; !reflect.DeepEqual(requested, want) {
			t.Errorf("requested numbers %v, want %v", requested, want)
		}
		if outage := reconnectedAt.Sub(silentSince); outage > silenceTimeout+initialRetryDelay/2 {
			t.Errorf("reconnected to a silent board after %v", outage)
		}
	})
}

func TestNewAddressContinuesNumbering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBoard{t: t, network: memnet.New()}
		requested := uint64(0)
		old := s.serve("board", func(_ uint64, c net.Conn) { c.Write(frame(t, 2)) })
		next := s.serve("next", func(n uint64, c net.Conn) { requested = n; c.Write(frame(t, 3)) })
		addresses := make(chan string, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := s.startClient(ctx, addresses)
		time.Sleep(100 * time.Millisecond)
		addresses <- "next"
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-done
		if requested != 2 || !reflect.DeepEqual(s.numbers(), []uint64{2, 3}) {
			t.Errorf("requested number %d, events %v", requested, s.numbers())
		}
		old.Close()
		next.Close()
	})
}

// Guards against a late switch-over: the address changes while a dial to the old board blocks. The client must connect to the
// new one at once.
func TestNewAddressCancelsDial(t *testing.T) {
	old, next := listenOnLoopback(t), listenOnLoopback(t)
	defer old.Close()
	defer next.Close()
	dialling, addresses := make(chan struct{}), make(chan string, 1)
	events := make(chan Event, 1)
	c := Client{Addresses: addresses, OnEvent: func(e Event) { events <- e }, OnStatus: func(bool, error) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if address == old.Addr().String() { // never accepts
				close(dialling)
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return net.Dial("tcp", address)
		}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { c.Run(ctx, old.Addr().String(), 1); close(done) }()
	<-dialling
	changedAt := time.Now()
	addresses <- next.Addr().String()
	conn, err := next.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(changedAt); took > dialTimeout/2 {
		t.Errorf("connected after %v", took)
	}
	conn.Write(frame(t, 2))
	if e := <-events; e.Number != 2 {
		t.Errorf("received %+v", e)
	}
	cancel()
	<-done
	conn.Close()
}

func listenOnLoopback(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// A board disconnects all its clients at once. Their reconnects must be spread over time, and each must come well before the
// client counts as knowing the board's events.
func TestReconnectsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients = 48
		network := memnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var dials []time.Time
		var goroutines sync.WaitGroup
		var conns []net.Conn
		for seed := range uint64(clients) {
			c := Client{OnEvent: func(Event) {}, OnStatus: func(bool, error) {}, Seed: seed,
				Dial: func(_ context.Context, address string) (net.Conn, error) {
					mu.Lock()
					dials = append(dials, time.Now())
					mu.Unlock()
					return network.Dial(address)
				}}
			goroutines.Go(func() { c.Run(ctx, "board", 1) })
		}
		ln, err := network.Listen("board")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
			}
		}()
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		dials = nil
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		disconnectedAt := time.Now()
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		for i, at := range dials {
			if i >= 8 && at.Sub(dials[i-8]) < time.Millisecond {
				t.Errorf("nine clients reconnected within %v", at.Sub(dials[i-8]))
			}
			if at.Sub(disconnectedAt) > 200*time.Millisecond {
				t.Errorf("a client reconnected after %v", at.Sub(disconnectedAt))
			}
		}
		if len(dials) != clients {
			t.Errorf("%d clients reconnected", len(dials))
		}
		mu.Unlock()
		cancel()
		goroutines.Wait()
		ln.Close()
	})
}
