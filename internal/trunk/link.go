// Package trunk keeps signalling links to switches over TCP: it dials, greets, reads, writes and notices that a link is
// dead. When to dial and when to give a link up is internal/reconnect's; what the messages mean is internal/exchange's.
// A slow or faulty far end loses its own link and holds up nothing else.
package trunk

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigodrift/internal/m3ua"
	"indigodrift/internal/reconnect"
	"indigodrift/policy"
)

// Clock tells the time of the process that owns a link.
type Clock interface {
	Now() policy.Tenths
	Stalled() policy.Tenths // end of the last stall of this process
}

// Dialer opens a connection.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Sink takes what happens to a link, one call at a time for each link. Frame's octets are valid until it returns.
type Sink interface {
	Up(link int, g Greeting)
	Frame(link int, f m3ua.Frame) error // an error costs the link
	Down(link int, err error)
}

// Line is what a link needs to know.
type Line struct {
	Link    int    // how Sink calls it
	Own     uint32 // point code of this exchange
	Peer    uint32 // point code that must answer
	Address string
	Most    int // octets that may wait to be written
	Seed    uint64
	Links   int // links of this exchange, to spread their dials
}

const greetWithin = 3 * time.Second

// Link is one link, dialled again for as long as its context lasts.
type Link struct {
	line  Line
	dial  Dialer
	clock Clock
	sink  Sink
	pace  *reconnect.Pace

	mu      sync.Mutex
	pending []byte
	conn    net.Conn // nil while down
	wake    chan struct{}
	full    atomic.Int64 // times the queue was found full
}

// NewLink makes a link; Keep runs it.
func NewLink(line Line, dial Dialer, clock Clock, sink Sink) *Link {
	return &Link{line: line, dial: dial, clock: clock, sink: sink, pace: reconnect.NewPace(line.Seed, line.Links),
		wake: make(chan struct{}, 1)}
}

// Errors that a link ends with.
var (
	ErrStranger = errors.New("another party answered")
	ErrSilent   = errors.New("no sign of life")
	ErrSlow     = errors.New("the far end reads too slowly")
)

// Keep dials and serves the link until the context ends.
func (l *Link) Keep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(Span(l.pace.Wait())):
		}
		up, err := l.once(ctx)
		l.pace.Down(l.clock.Now())
		if up && ctx.Err() == nil {
			l.sink.Down(l.line.Link, err)
		}
	}
}

// Span is a span as the library counts it.
func Span(t policy.Tenths) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// once dials and serves one connection; up tells whether the sink was told of it.
func (l *Link) once(ctx context.Context) (up bool, err error) {
	greeting, cancel := context.WithTimeout(ctx, greetWithin)
	defer cancel()
	conn, err := l.dial(greeting, l.line.Address)
	if err != nil {
		return false, fmt.Errorf("dial %s: %w", l.line.Address, err)
	}
	var all sync.WaitGroup
	stop := make(chan struct{})
	defer func() {
		l.mu.Lock()
		l.conn, l.pending = nil, l.pending[:0]
		l.mu.Unlock()
		conn.Close()
		close(stop)
		all.Wait()
	}()
	all.Go(func() {
		select {
		case <-ctx.Done():
			conn.Close()
		case <-stop:
		}
	})
	g, scratch, err := l.greet(conn)
	if err != nil {
		return false, fmt.Errorf("greet %s: %w", l.line.Address, err)
	}
	var pulse pulse
	pulse.heard(l.clock.Now())
	l.pace.Up(l.clock.Now())
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.sink.Up(l.line.Link, g)
	failed := make(chan error, 2)
	all.Go(func() { failed <- l.write(conn, stop) })
	all.Go(func() { failed <- l.watch(&pulse, conn, stop) })
	err = l.read(conn, scratch, &pulse)
	select {
	case e := <-failed: // the writer or the watch closed the connection: its reason counts
		if e != nil {
			err = e
		}
	default:
	}
	return true, err
}

// Greeting is what the far end said as the link came up, and when.
type Greeting struct {
	Life        string // which of its starts this is
	Clock       uint32 // its stamps count with this clock, in tenths of a millisecond
	HasClock    bool
	Asked, Read policy.Tenths
}

func (l *Link) greet(conn net.Conn) (g Greeting, scratch []byte, err error) {
	hello, err := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.Up, ASP: l.line.Own})
	if err != nil {
		return g, nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(greetWithin)); err != nil {
		return g, nil, fmt.Errorf("deadline: %w", err)
	}
	g.Asked = l.clock.Now()
	if _, err := conn.Write(hello); err != nil {
		return g, nil, fmt.Errorf("write: %w", err)
	}
	f, scratch, err := m3ua.Read(conn, nil)
	if err != nil {
		return g, nil, err
	}
	if f.Kind != m3ua.UpAck || f.ASP != l.line.Peer {
		return g, nil, fmt.Errorf("%w: kind %04x, point code %d in place of %d", ErrStranger, uint16(f.Kind), f.ASP, l.line.Peer)
	}
	g.Read = l.clock.Now()
	for _, part := range strings.Fields(f.Info) {
		name, v, _ := strings.Cut(part, "=")
		switch name {
		case "life":
			g.Life = v
		case "clock":
			n, err := strconv.ParseUint(v, 10, 32)
			if err != nil {
				return g, nil, fmt.Errorf("%w: clock %q", ErrStranger, v)
			}
			g.Clock, g.HasClock = uint32(n), true
		}
	}
	return g, scratch, conn.SetDeadline(time.Time{})
}

func (l *Link) read(conn net.Conn, scratch []byte, p *pulse) error {
	for {
		var f m3ua.Frame
		var err error
		if f, scratch, err = m3ua.Read(conn, scratch); err != nil {
			return err
		}
		p.heard(l.clock.Now())
		switch f.Kind {
		case m3ua.Beat:
			l.Send(m3ua.Frame{Kind: m3ua.BeatAck, User: f.User})
		case m3ua.Data:
			if err := l.sink.Frame(l.line.Link, f); err != nil {
				return err
			}
		}
	}
}

// Send puts a frame in the link's queue and never waits. False: the link is down, or its queue is full and so the link
// is given up, as what it would still carry is late beyond use.
func (l *Link) Send(f m3ua.Frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	buf, err := m3ua.Append(l.pending, f)
	if err != nil {
		return false
	}
	l.pending = buf
	if len(l.pending) > l.line.Most {
		l.full.Add(1)
		l.conn.Close()
		l.conn = nil
		return false
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

func (l *Link) write(conn net.Conn, stop chan struct{}) error {
	var buf []byte
	for {
		select {
		case <-stop:
			return nil
		case <-l.wake:
		}
		l.mu.Lock()
		if l.conn == nil && l.full.Load() > 0 {
			l.mu.Unlock()
			return ErrSlow
		}
		buf, l.pending = l.pending, buf[:0]
		l.mu.Unlock()
		if _, err := conn.Write(buf); err != nil {
			conn.Close()
			return fmt.Errorf("write: %w", err)
		}
	}
}

// pulse is a link's signs of life; the reader and the watch share it.
type pulse struct {
	mu   sync.Mutex
	life reconnect.Life
}

func (p *pulse) heard(now policy.Tenths) {
	p.mu.Lock()
	p.life.Heard(now)
	p.mu.Unlock()
}

// watch sends heartbeats and closes a link that gives no sign of life.
func (l *Link) watch(p *pulse, conn net.Conn, stop chan struct{}) error {
	for {
		now := l.clock.Now()
		p.mu.Lock()
		beat, dead, next := p.life.Check(now, l.clock.Stalled())
		p.mu.Unlock()
		if dead {
			conn.Close()
			return ErrSilent
		}
		if beat {
			l.Send(m3ua.Frame{Kind: m3ua.Beat, User: []byte("beat")})
		}
		select {
		case <-stop:
			return nil
		case <-time.After(Span(next - now)):
		}
	}
}
