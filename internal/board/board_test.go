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

func TestMain(m *testing.M) { goleak.VerifyTestMain(runs{m}) }

type runs struct{ *testing.M }

func (r runs) Run() int { return seeded.Run(r.M, 1000) }

func TestFrameOfThePage(t *testing.T) {
	// length 36, number 42, changes; s-00c41f7a at 10.1.0.9:5060, draining, zone 1, kind 2, cell 3, weight 4, started 5
	in := []byte{0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 42, 2,
		0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x13, 0xc4, 1, 1, 2, 0, 3, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 5}
	e, something, err := ReadFrame(bytes.NewReader(in))
	want := Event{Number: 42, Switches: []Switch{{ID: 0xc41f7a, Address: "10.1.0.9:5060", State: Draining, Cell: 3, StartedMS: 5}}}
	if err != nil || !something || !reflect.DeepEqual(e, want) {
		t.Fatalf("%+v %v %v", e, something, err)
	}
	for n := range in {
		if _, _, err := ReadFrame(bytes.NewReader(in[:n])); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for at, octet := range map[int]byte{0: 0x70, 3: 35, 12: 3, 23: 3, 32: 0x80} { // length (twice), kind, state, start time
		bad := bytes.Clone(in)
		bad[at] = octet
		if _, _, err := ReadFrame(bytes.NewReader(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("octet %d as %d: %v", at, octet, err)
		}
	}
}

func TestKnownOfTheStart(t *testing.T) {
	events, err := Known([]byte(`{"rev":2,"notices":[{"rev":1,"pool":{"reset":true,"instances":[{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:5060",
"cell":2,"lifecycle":"in_service","startedAtMs":0,"weight":1.0}]}},{"rev":2,"pool":{"instances":[{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:5060",
"cell":2,"lifecycle":"terminating","startedAtMs":7}]}}]}`))
	one := Switch{ID: 0xc41f7a, Address: "10.1.0.9:5060", Cell: 2}
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
		if _, err := Known([]byte(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

func drawEvent(t *rapid.T, number uint64) Event {
	e := Event{Number: number, Whole: rapid.Bool().Draw(t, "whole")}
	for range rapid.IntRange(0, 4).Draw(t, "switches") {
		e.Switches = append(e.Switches, Switch{ID: rapid.Uint32().Draw(t, "id"), Address: "10.0.0.1:5060",
			State: State(rapid.IntRange(0, 2).Draw(t, "state")), Cell: rapid.IntRange(0, 65535).Draw(t, "cell"),
			StartedMS: rapid.Int64Min(0).Draw(t, "started")})
	}
	return e
}

func TestEventsAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEvent(t, rapid.Uint64().Draw(t, "number"))
		octets, err := AppendFrame(nil, e)
		if err != nil {
			t.Fatal(err)
		}
		back, something, err := ReadFrame(bytes.NewReader(octets))
		if err != nil || !something || !reflect.DeepEqual(e, back) {
			t.Fatalf("%+v became %+v, %v", e, back, err)
		}
	})
}

func corpus(t testing.TB) [][]byte {
	event, err := AppendFrame(nil, Event{Number: 9, Whole: true, Switches: []Switch{{ID: 1, Address: "10.0.0.1:1"},
		{ID: 2, Address: "10.0.0.2:65535", State: Draining, StartedMS: 1 << 40}}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{AppendNothing(nil, 7), event}
}

func readsWhatIsThere(t *testing.T, in []byte) {
	if e, _, err := ReadFrame(bytes.NewReader(in)); err == nil && len(e.Switches)*recordSize > len(in) {
		t.Fatalf("%d records from %d octets", len(e.Switches), len(in))
	}
}

func TestDamagedFrames(t *testing.T) { seeded.Damaged(t, corpus(t), 100000, readsWhatIsThere) }

func FuzzReadFrame(f *testing.F) {
	for _, b := range corpus(f) {
		f.Add(b)
	}
	f.Fuzz(readsWhatIsThere)
}

// script is a scripted board in virtual time: each function serves one connection of the client, given the requested number.
type script struct {
	t   *testing.T
	net *memnet.Net
	got []Event
	up  []bool
}

func (s *script) play(address string, parts ...func(asked uint64, c net.Conn)) net.Listener {
	ln, err := s.net.Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	go func() {
		for _, part := range parts {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var ask [8]byte
			if _, err := io.ReadFull(c, ask[:]); err != nil {
				return
			}
			asked := uint64(0)
			for _, b := range ask {
				asked = asked<<8 | uint64(b)
			}
			part(asked, c)
		}
	}()
	return ln
}

func (s *script) follow(ctx context.Context, moves <-chan string) chan struct{} {
	done := make(chan struct{})
	c := Client{Address: moves, Took: func(e Event) { s.got = append(s.got, e) }, Change: func(up bool, _ error) { s.up = append(s.up, up) },
		Dial: func(_ context.Context, address string) (net.Conn, error) { return s.net.Dial(address) }}
	go func() { c.Keep(ctx, "board", 1); close(done) }()
	return done
}

func (s *script) numbers() (n []uint64) {
	for _, e := range s.got {
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
// order, and the client must reconnect well before its events count as known: 2 s after a disconnect, 4 s after silence began.
func TestEveryEventComesOnceWhateverTheBoardDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{t: t, net: memnet.New()}
		var asked []uint64
		var silentAt, backAt time.Time
		say := func(end bool, parts ...[]byte) func(uint64, net.Conn) {
			return func(n uint64, c net.Conn) {
				asked = append(asked, n)
				if len(asked) == 5 {
					backAt = time.Now()
				}
				for _, p := range parts {
					c.Write(p)
				}
				if len(asked) == 4 {
					silentAt = time.Now()
				}
				if end {
					c.Close()
				}
			}
		}
		ln := s.play("board", say(true, frame(t, 2), frame(t, 3)[:20]), say(true, frame(t, 3), frame(t, 3), frame(t, 2), frame(t, 4)),
			say(true, frame(t, 6)), say(false, frame(t, 5), AppendNothing(nil, 5)), say(false, frame(t, 6)))
		ctx, cancel := context.WithCancel(t.Context())
		done := s.follow(ctx, nil)
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		ln.Close()
		if want := []uint64{2, 3, 4, 5, 6}; !reflect.DeepEqual(s.numbers(), want) {
			t.Errorf("events %v, want %v", s.numbers(), want)
		}
		if want := []uint64{1, 2, 4, 4, 5}; !reflect.DeepEqual(asked, want) {
			t.Errorf("requested numbers %v, want %v", asked, want)
		}
		if away := backAt.Sub(silentAt); away > silentMost+retryAfter/2 {
			t.Errorf("reconnected to a silent board after %v", away)
		}
	})
}

func TestAnotherAddressIsFollowedFromTheSameNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{t: t, net: memnet.New()}
		from := uint64(0)
		old := s.play("board", func(_ uint64, c net.Conn) { c.Write(frame(t, 2)) })
		next := s.play("next", func(n uint64, c net.Conn) { from = n; c.Write(frame(t, 3)) })
		moves := make(chan string, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := s.follow(ctx, moves)
		time.Sleep(100 * time.Millisecond)
		moves <- "next"
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-done
		if from != 2 || !reflect.DeepEqual(s.numbers(), []uint64{2, 3}) {
			t.Errorf("requested number %d, events %v", from, s.numbers())
		}
		old.Close()
		next.Close()
	})
}

// Guards against a late switch-over: the address changes while a dial to the old board blocks. The client must connect to the
// new one at once.
func TestAddressToldDuringADialIsFollowedAtOnce(t *testing.T) {
	old, next := listenHere(t), listenHere(t)
	defer old.Close()
	defer next.Close()
	dialling, moves := make(chan struct{}), make(chan string, 1)
	got := make(chan Event, 1)
	c := Client{Address: moves, Took: func(e Event) { got <- e }, Change: func(bool, error) {},
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
	go func() { c.Keep(ctx, old.Addr().String(), 1); close(done) }()
	<-dialling
	told := time.Now()
	moves <- next.Addr().String()
	conn, err := next.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(told); took > dialMost/2 {
		t.Errorf("connected after %v", took)
	}
	conn.Write(frame(t, 2))
	if e := <-got; e.Number != 2 {
		t.Errorf("received %+v", e)
	}
	cancel()
	<-done
	conn.Close()
}

func listenHere(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// A board disconnects all its clients at once. Their reconnects must be spread over time, and each must come well before the
// board's events count as known.
func TestFollowersOfABoardThatBreaksOffComeBackSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers = 48
		n := memnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var asked []time.Time
		var all sync.WaitGroup
		var conns []net.Conn
		for seed := range uint64(followers) {
			c := Client{Took: func(Event) {}, Change: func(bool, error) {}, Seed: seed,
				Dial: func(_ context.Context, address string) (net.Conn, error) {
					mu.Lock()
					asked = append(asked, time.Now())
					mu.Unlock()
					return n.Dial(address)
				}}
			all.Go(func() { c.Keep(ctx, "board", 1) })
		}
		ln, err := n.Listen("board")
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
		asked = nil
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		began := time.Now()
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		for i, at := range asked {
			if i >= 8 && at.Sub(asked[i-8]) < time.Millisecond {
				t.Errorf("nine clients reconnected within %v", at.Sub(asked[i-8]))
			}
			if at.Sub(began) > 200*time.Millisecond {
				t.Errorf("a client reconnected after %v", at.Sub(began))
			}
		}
		if len(asked) != followers {
			t.Errorf("%d clients reconnected", len(asked))
		}
		mu.Unlock()
		cancel()
		all.Wait()
		ln.Close()
	})
}
