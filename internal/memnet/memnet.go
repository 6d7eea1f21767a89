// Package memnet is a network in memory for tests in virtual time (testing/synctest): listeners, connections whose writes
// do not wait for a reader, as a socket's do not, and gates that hold a party up as a stopped process is held up.
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

// New makes a network without doors.
func New() *Net { return &Net{doors: map[string]*door{}} }

// Net is one network.
type Net struct {
	mu      sync.Mutex
	doors   map[string]*door
	sockets map[netip.AddrPort]*Packet
	number  int
}

type door struct {
	m    *Net
	name string
	in   chan net.Conn
	shut chan struct{}
	once sync.Once
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

func (d *door) Accept() (net.Conn, error) {
	select {
	case c := <-d.in:
		return c, nil
	case <-d.shut:
		return nil, net.ErrClosed
	}
}
func (d *door) Addr() net.Addr { return address(d.name) }
func (d *door) Close() error {
	d.once.Do(func() {
		d.m.mu.Lock()
		delete(d.m.doors, d.name)
		d.m.mu.Unlock()
		close(d.shut)
	})
	return nil
}

// Listen opens a door; "" has a name chosen.
func (m *Net) Listen(name string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == "" {
		m.number++
		name = fmt.Sprintf("127.0.0.1:%d", m.number)
	}
	if m.doors[name] != nil {
		return nil, errors.New("address in use")
	}
	m.doors[name] = &door{m: m, name: name, in: make(chan net.Conn), shut: make(chan struct{})}
	return m.doors[name], nil
}

// Dial connects to a door; it fails at once where there is none.
func (m *Net) Dial(name string) (net.Conn, error) {
	m.mu.Lock()
	d := m.doors[name]
	m.mu.Unlock()
	if d == nil {
		return nil, errors.New("connection refused")
	}
	here, there := buffered()
	select {
	case d.in <- there:
		return here, nil
	case <-d.shut:
		return nil, errors.New("connection refused")
	}
}

// buffered is a connection in memory whose writes do not wait for a reader, as a socket's do not.
func buffered() (net.Conn, net.Conn) {
	a, b := newPipe(), newPipe()
	return &Conn{in: a, out: b}, &Conn{in: b, out: a}
}

type pipe struct {
	mu     sync.Mutex
	buf    []byte
	closed bool
	late   bool // the deadline of its reader has passed
	timer  *time.Timer
	news   chan struct{}
}

func newPipe() *pipe { return &pipe{news: make(chan struct{}, 1)} }

func (p *pipe) tell() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// Conn is one end of a connection.
type Conn struct {
	in, out *pipe
	Gate    *Gate // if set, nothing passes while it is shut
}

func (e *Conn) Read(b []byte) (int, error) {
	for {
		if e.Gate != nil {
			e.Gate.Pass()
		}
		e.in.mu.Lock()
		n := copy(b, e.in.buf)
		e.in.buf = e.in.buf[n:]
		closed, late := e.in.closed, e.in.late
		if closed || late {
			e.in.tell()
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
		<-e.in.news
	}
}

func (e *Conn) Write(b []byte) (int, error) {
	if e.Gate != nil {
		e.Gate.Pass()
	}
	e.out.mu.Lock()
	defer e.out.mu.Unlock()
	if e.out.closed {
		return 0, io.ErrClosedPipe
	}
	e.out.buf = append(e.out.buf, b...)
	e.out.tell()
	return len(b), nil
}

func (e *Conn) Close() error {
	for _, p := range []*pipe{e.in, e.out} {
		p.mu.Lock()
		p.closed = true
		p.tell()
		p.mu.Unlock()
	}
	return nil
}
func (e *Conn) LocalAddr() net.Addr         { return address("here") }
func (e *Conn) RemoteAddr() net.Addr        { return address("there") }
func (e *Conn) SetDeadline(time.Time) error { return nil }

// CloseWrite ends this side only, as a half-closed socket does.
func (e *Conn) CloseWrite() error {
	e.out.mu.Lock()
	defer e.out.mu.Unlock()
	e.out.closed = true
	e.out.tell()
	return nil
}

// SetReadDeadline has reads fail from an instant on, or no longer.
func (e *Conn) SetReadDeadline(at time.Time) error {
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	if e.in.late = false; e.in.timer != nil {
		e.in.timer.Stop()
	}
	if !at.IsZero() {
		e.in.timer = time.AfterFunc(time.Until(at), func() {
			e.in.mu.Lock()
			defer e.in.mu.Unlock()
			e.in.late = true
			e.in.tell()
		})
	}
	return nil
}
func (e *Conn) SetWriteDeadline(time.Time) error { return nil }

// Gate holds up everything that passes it while it is shut, as SIGSTOP does a process.
type Gate struct {
	mu   sync.Mutex
	shut chan struct{} // nil while open
}

// Pass waits while the gate is shut.
func (g *Gate) Pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// Shut closes the gate; false when it was shut already.
func (g *Gate) Shut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		return false
	}
	g.shut = make(chan struct{})
	return true
}

// Open lets everything pass again.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}
