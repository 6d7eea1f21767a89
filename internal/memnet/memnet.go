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

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *listener) Addr() net.Addr { return address(l.name) }
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.name)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Listen opens a listener; "" chooses an address.
func (n *Net) Listen(name string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name == "" {
		n.lastPort++
		name = fmt.Sprintf("127.0.0.1:%d", n.lastPort)
	}
	if n.listeners[name] != nil {
		return nil, errors.New("address in use")
	}
	n.listeners[name] = &listener{network: n, name: name, incoming: make(chan net.Conn), closed: make(chan struct{})}
	return n.listeners[name], nil
}

// Dial connects to a listener. It fails at once if there is none.
func (n *Net) Dial(name string) (net.Conn, error) {
	n.mu.Lock()
	remote := n.listeners[name]
	n.mu.Unlock()
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

// pipe is one direction of a connection.
type pipe struct {
	mu             sync.Mutex
	buf            []byte
	closed         bool
	deadlinePassed bool // the read deadline
	timer          *time.Timer
	changed        chan struct{} // wakes the reader
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

func (c *Conn) Read(b []byte) (int, error) {
	for {
		if c.Gate != nil {
			c.Gate.Wait()
		}
		c.in.mu.Lock()
		n := copy(b, c.in.buf)
		c.in.buf = c.in.buf[n:]
		closed, late := c.in.closed, c.in.deadlinePassed
		if closed || late {
			c.in.signal()
		}
		c.in.mu.Unlock()
		if late {
			return 0, os.ErrDeadlineExceeded
		}
		if n > 0 {
			return n, nil
		}
		if closed {
			return 0, io.EOF
		}
		<-c.in.changed
	}
}

func (c *Conn) Write(b []byte) (int, error) {
	if c.Gate != nil {
		c.Gate.Wait()
	}
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if c.out.closed {
		return 0, io.ErrClosedPipe
	}
	c.out.buf = append(c.out.buf, b...)
	c.out.signal()
	return len(b), nil
}

func (c *Conn) Close() error {
	for _, p := range []*pipe{c.in, c.out} {
		p.mu.Lock()
		p.closed = true
		p.signal()
		p.mu.Unlock()
	}
	return nil
}
func (c *Conn) LocalAddr() net.Addr         { return address("here") }
func (c *Conn) RemoteAddr() net.Addr        { return address("there") }
func (c *Conn) SetDeadline(time.Time) error { return nil }

// CloseWrite closes the connection for writing only, like a half-closed socket.
func (c *Conn) CloseWrite() error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.closed = true
	c.out.signal()
	return nil
}

// SetReadDeadline makes reads fail from a given time on; the zero time clears the deadline.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.in.deadlinePassed = false; c.in.timer != nil {
		c.in.timer.Stop()
	}
	if !at.IsZero() {
		c.in.timer = time.AfterFunc(time.Until(at), func() {
			c.in.mu.Lock()
			defer c.in.mu.Unlock()
			c.in.deadlinePassed = true
			c.in.signal()
		})
	}
	return nil
}
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Gate blocks the I/O of a party while it is closed, as SIGSTOP blocks a process.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while open
}

// Wait blocks while the gate is closed.
func (g *Gate) Wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
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
