// Package memnet implements an in-memory network and disk for tests in virtual time (testing/synctest). Writes to a
// connection do not wait for a reader, as with a socket. A Gate blocks a party's I/O as SIGSTOP would.
package memnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// New returns a network without listeners.
func New() *Net { return &Net{listeners: map[string]*listener{}} }

// Net is an in-memory network.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	sockets   map[netip.AddrPort]*PacketConn
	lastPort  int
}

type listener struct {
	network  *Net
	name     string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

func (d *listener) Accept() (net.Conn, error) {
	select {
	case c := <-d.incoming:
		return c, nil
	case <-d.closed:
		return nil, net.ErrClosed
	}
}
func (d *listener) Addr() net.Addr { return address(d.name) }
func (d *listener) Close() error {
	d.once.Do(func() {
		d.network.mu.Lock()
		delete(d.network.listeners, d.name)
		d.network.mu.Unlock()
		close(d.closed)
	})
	return nil
}

// Listen opens a listener; "" chooses an address.
func (m *Net) Listen(name string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == "" {
		m.lastPort++
		name = fmt.Sprintf("127.0.0.1:%d", m.lastPort)
	}
	if m.listeners[name] != nil {
		return nil, errors.New("address in use")
	}
	m.listeners[name] = &listener{network: m, name: name, incoming: make(chan net.Conn), closed: make(chan struct{})}
	return m.listeners[name], nil
}

// Dial connects to a listener. It fails at once if there is none.
func (m *Net) Dial(name string) (net.Conn, error) {
	m.mu.Lock()
	remote := m.listeners[name]
	m.mu.Unlock()
	if remote == nil {
		return nil, errors.New("connection refused")
	}
	here, there := connectedPair()
	select {
	case remote.incoming <- there:
		return here, nil
	case <-remote.closed:
		return nil, errors.New("connection refused")
	}
}

// connectedPair returns the two ends of a connection whose writes do not wait for a reader, as with a socket.
func connectedPair() (net.Conn, net.Conn) {
	a, b := newPipe(), newPipe()
	return &Conn{in: a, out: b}, &Conn{in: b, out: a}
}

type pipe struct {
	mu             sync.Mutex
	buf            []byte
	closed         bool
	deadlinePassed bool // the read deadline
	timer          *time.Timer
	changed        chan struct{}
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{}, 1)} }

func (p *pipe) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Conn is one end of a connection.
type Conn struct {
	in, out *pipe
	Gate    *Gate // if set, reads and writes block while it is closed
}

func (e *Conn) Read(b []byte) (int, error) {
	for {
		if e.Gate != nil {
			e.Gate.Wait()
		}
		e.in.mu.Lock()
		n := copy(b, e.in.buf)
		e.in.buf = e.in.buf[n:]
		closed, late := e.in.closed, e.in.deadlinePassed
		if closed || late {
			e.in.signal()
		}
		e.in.mu.Unlock()
		if late {
			return 0, os.ErrDeadlineExceeded
		}
		if n > 0 {
			return n, nil
		}
		if closed {
			return 0, io.EOF
		}
		<-e.in.changed
	}
}

func (e *Conn) Write(b []byte) (int, error) {
	if e.Gate != nil {
		e.Gate.Wait()
	}
	e.out.mu.Lock()
	defer e.out.mu.Unlock()
	if e.out.closed {
		return 0, io.ErrClosedPipe
	}
	e.out.buf = append(e.out.buf, b...)
	e.out.signal()
	return len(b), nil
}

func (e *Conn) Close() error {
	for _, p := range []*pipe{e.in, e.out} {
		p.mu.Lock()
		p.closed = true
		p.signal()
		p.mu.Unlock()
	}
	return nil
}
func (e *Conn) LocalAddr() net.Addr         { return address("here") }
func (e *Conn) RemoteAddr() net.Addr        { return address("there") }
func (e *Conn) SetDeadline(time.Time) error { return nil }

// CloseWrite closes the connection for writing only, like a half-closed socket.
func (e *Conn) CloseWrite() error {
	e.out.mu.Lock()
	defer e.out.mu.Unlock()
	e.out.closed = true
	e.out.signal()
	return nil
}

// SetReadDeadline makes reads fail from a given time on; the zero time clears the deadline.
func (e *Conn) SetReadDeadline(at time.Time) error {
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	if e.in.deadlinePassed = false; e.in.timer != nil {
		e.in.timer.Stop()
	}
	if !at.IsZero() {
		e.in.timer = time.AfterFunc(time.Until(at), func() {
			e.in.mu.Lock()
			defer e.in.mu.Unlock()
			e.in.deadlinePassed = true
			e.in.signal()
		})
	}
	return nil
}
func (e *Conn) SetWriteDeadline(time.Time) error { return nil }

// Gate blocks the I/O of a party while it is closed, as SIGSTOP blocks a process.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while open
}

// Wait blocks while the gate is closed.
func (g *Gate) Wait() {
	g.mu.Lock()
	shut := g.closed
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// Close closes the gate. It returns false if the gate was already closed.
func (g *Gate) Close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		return false
	}
	g.closed = make(chan struct{})
	return true
}

// Open opens the gate.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}
