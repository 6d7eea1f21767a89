// Package trunk maintains signalling links to switches over TCP: it dials, does the M3UA handshake, reads and writes frames,
// and detects dead links. internal/reconnect decides when to dial and when a silent link is dead; internal/exchange interprets
// the messages. A slow or faulty remote switch loses its own link and delays nothing else.
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

// Clock is the clock of this process.
type Clock interface {
	Now() policy.Tenths
	LastStallEnd() policy.Tenths // end of the last stall
}

// Dialer connects to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Handler receives the events of links, one call at a time for each link. The octets of a frame are valid until the method
// returns.
type Handler interface {
	LinkUp(link int, handshake Handshake)
	HandleFrame(link int, frame m3ua.Frame) error // an error closes the link
	LinkDown(link int, err error)
}

// Config holds the settings of a link.
type Config struct {
	Index           int    // index of the link, passed to the Handler
	OwnPoint        uint32 // point code of this exchange
	PeerPoint       uint32 // point code of the switch, which must answer with it
	Address         string
	MaxQueuedOctets int // maximum octets queued for writing
	Seed            uint64
	LinkCount       int // number of links of this exchange, over which the dials are spread
}

// handshakeTimeout limits dialling and, separately, the handshake.
const handshakeTimeout = 3 * time.Second

// Link is a signalling link that is dialled again whenever it fails.
type Link struct {
	config  Config
	dial    Dialer
	clock   Clock
	handler Handler
	backoff *reconnect.Backoff

	mu        sync.Mutex
	pending   []byte        // queued frames
	conn      net.Conn      // nil while down
	wake      chan struct{} // signals the writer
	overflows atomic.Int64  // how often the queue overflowed
}

// NewLink creates a link. Run runs it.
func NewLink(config Config, dial Dialer, clock Clock, handler Handler) *Link {
	return &Link{config: config, dial: dial, clock: clock, handler: handler, backoff: reconnect.NewBackoff(config.Seed, config.LinkCount),
		wake: make(chan struct{}, 1)}
}

// Errors that end a link.
var (
	ErrUnexpectedPeer   = errors.New("unexpected peer")
	ErrKeepaliveTimeout = errors.New("keepalive timeout")
	ErrSlowPeer         = errors.New("remote switch reads too slowly")
)

// Run dials and serves the link until the context ends.
func (l *Link) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(Duration(l.backoff.NextDelay())):
		}
		up, err := l.serveOnce(ctx)
		l.backoff.Down(l.clock.Now())
		if up && ctx.Err() == nil {
			l.handler.LinkDown(l.config.Index, err)
		}
	}
}

// Duration converts tenths of a millisecond to a time.Duration.
func Duration(t policy.Tenths) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// serveOnce dials and serves one connection. It returns whether the link came up, and why it ended.
func (l *Link) serveOnce(ctx context.Context) (up bool, err error) {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := l.dial(handshakeCtx, l.config.Address)
	if err != nil {
		return false, fmt.Errorf("dial %s: %w", l.config.Address, err)
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	defer func() {
		l.mu.Lock()
		l.conn, l.pending = nil, l.pending[:0]
		l.mu.Unlock()
		conn.Close()
		close(stop)
		wg.Wait()
	}()
	wg.Go(func() {
		select {
		case <-ctx.Done():
			conn.Close()
		case <-stop:
		}
	})
	handshake, scratch, err := l.handshake(conn)
	if err != nil {
		return false, fmt.Errorf("handshake with %s: %w", l.config.Address, err)
	}
	var liveness sharedLiveness
	liveness.received(l.clock.Now())
	l.backoff.Up(l.clock.Now())
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.handler.LinkUp(l.config.Index, handshake)
	failed := make(chan error, 2)
	wg.Go(func() { failed <- l.write(conn, stop) })
	wg.Go(func() { failed <- l.monitor(&liveness, conn, stop) })
	err = l.read(conn, scratch, &liveness)
	select {
	case reason := <-failed: // the writer or the keepalive check closed the connection, and knows why
		if reason != nil {
			err = reason
		}
	default:
	}
	return true, err
}

// Handshake is the remote switch's part of the handshake.
type Handshake struct {
	Incarnation        string // incarnation of the switch, which changes with every start
	Clock              uint32 // reading of the clock that stamps its messages, in tenths of a millisecond
	HasClock           bool
	SentAt, ReceivedAt policy.Tenths // when the handshake was sent and its answer read
}

// handshake announces this exchange to the switch and reads the answer.
func (l *Link) handshake(conn net.Conn) (handshake Handshake, scratch []byte, err error) {
	hello, err := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.ASPUp, ASPID: l.config.OwnPoint})
	if err != nil {
		return handshake, nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return handshake, nil, fmt.Errorf("set deadline: %w", err)
	}
	handshake.SentAt = l.clock.Now()
	if _, err := conn.Write(hello); err != nil {
		return handshake, nil, fmt.Errorf("write: %w", err)
	}
	frame, scratch, err := m3ua.Read(conn, nil)
	if err != nil {
		return handshake, nil, err
	}
	if frame.Kind != m3ua.ASPUpAck || frame.ASPID != l.config.PeerPoint {
		return handshake, nil, fmt.Errorf("%w: frame kind %04x, point code %d, want %d", ErrUnexpectedPeer, uint16(frame.Kind), frame.ASPID, l.config.PeerPoint)
	}
	handshake.ReceivedAt = l.clock.Now()
	for _, part := range strings.Fields(frame.Info) {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "life":
			handshake.Incarnation = value
		case "clock":
			n, err := strconv.ParseUint(value, 10, 32)
			if err != nil {
				return handshake, nil, fmt.Errorf("%w: clock %q", ErrUnexpectedPeer, value)
			}
			handshake.Clock, handshake.HasClock = uint32(n), true
		}
	}
	return handshake, scratch, conn.SetDeadline(time.Time{})
}

// read passes received frames to the handler and answers heartbeats.
func (l *Link) read(conn net.Conn, scratch []byte, liveness *sharedLiveness) error {
	for {
		var frame m3ua.Frame
		var err error
		if frame, scratch, err = m3ua.Read(conn, scratch); err != nil {
			return err
		}
		liveness.received(l.clock.Now())
		switch frame.Kind {
		case m3ua.Heartbeat:
			l.Send(m3ua.Frame{Kind: m3ua.HeartbeatAck, UserData: frame.UserData})
		case m3ua.Data:
			if err := l.handler.HandleFrame(l.config.Index, frame); err != nil {
				return err
			}
		}
	}
}

// Send queues a frame without blocking. It returns false if the link is down or its queue is full. A full queue closes the
// link: what it would still carry is too late to be useful.
func (l *Link) Send(frame m3ua.Frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	buf, err := m3ua.Append(l.pending, frame)
	if err != nil {
		return false
	}
	l.pending = buf
	if len(l.pending) > l.config.MaxQueuedOctets {
		l.overflows.Add(1)
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

// write writes queued frames to the connection.
func (l *Link) write(conn net.Conn, stop chan struct{}) error {
	var buf []byte
	for {
		select {
		case <-stop:
			return nil
		case <-l.wake:
		}
		l.mu.Lock()
		if l.conn == nil && l.overflows.Load() > 0 {
			l.mu.Unlock()
			return ErrSlowPeer
		}
		buf, l.pending = l.pending, buf[:0]
		l.mu.Unlock()
		if _, err := conn.Write(buf); err != nil {
			conn.Close()
			return fmt.Errorf("write: %w", err)
		}
	}
}

// sharedLiveness is the liveness of a link, shared by its reader and its keepalive check.
type sharedLiveness struct {
	mu       sync.Mutex
	liveness reconnect.Liveness
}

func (s *sharedLiveness) received(now policy.Tenths) {
	s.mu.Lock()
	s.liveness.Received(now)
	s.mu.Unlock()
}

// monitor sends heartbeats and closes a link on which nothing is received.
func (l *Link) monitor(liveness *sharedLiveness, conn net.Conn, stop chan struct{}) error {
	for {
		now := l.clock.Now()
		liveness.mu.Lock()
		heartbeatDue, dead, next := liveness.liveness.Check(now, l.clock.LastStallEnd())
		liveness.mu.Unlock()
		if dead {
			conn.Close()
			return ErrKeepaliveTimeout
		}
		if heartbeatDue {
			l.Send(m3ua.Frame{Kind: m3ua.Heartbeat, UserData: []byte("beat")})
		}
		select {
		case <-stop:
			return nil
		case <-time.After(Duration(next - now)):
		}
	}
}
