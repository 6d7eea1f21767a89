// Package faultproxy is a TCP proxy that injects network faults: it delays connections and data, splits writes into chunks,
// drops data, resets connections, stalls new ones and refuses them. internal/soak and tests put it between a controller and its
// peers. It doesn't interpret the data.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"indigodrift/internal/tcpstate"
)

const (
	dialTimeout = time.Second
	readSize    = 16 << 10 // octets per read
)

// Shape sets how a proxy forwards connections and data without a fault. The zero value forwards at once and unchanged.
type Shape struct {
	MaxConnectDelay    time.Duration // maximum random delay of a new connection
	Latency            time.Duration // one-way delay of data; the order is kept
	Jitter             time.Duration // maximum random addition to the one-way delay
	MaxChunk           int           // data is written in chunks of at most this many octets, 0 for no splitting
	MaxChunkDelay      time.Duration // maximum random delay between two chunks
	MaxTotalChunkDelay time.Duration // maximum sum of these delays per read; none while more data is queued, so that a flood is not held up
}

// Proxy forwards connections from its address to a target.
type Proxy struct {
	address string
	shape   Shape

	// OnClientClosed, if set, is called when the client has closed a connection, with the proxy's local address of the connection
	// to the target. It must be set before the first connection.
	OnClientClosed func(from string)

	mu          sync.Mutex
	random      *rand.Rand
	target      string
	ln          net.Listener
	connections map[*Connection]struct{}
	hanging     bool
	closed      bool
	goroutines  sync.WaitGroup
}

// Connection is one connection through a proxy.
type Connection struct {
	client, server net.Conn
	silent         atomic.Bool
}

// Listen starts a proxy at an address that forwards connections to target. seed determines the random delays and chunk sizes.
func Listen(address, target string, shape Shape, seed uint64) (*Proxy, error) {
	p := &Proxy{shape: shape, random: rand.New(rand.NewPCG(seed, 0x50)), target: target, connections: map[*Connection]struct{}{}}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy at %s: %w", address, err)
	}
	p.address = ln.Addr().String()
	p.serve(ln)
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// SetTarget sets the target of later connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// CloseListener closes the listener, so that new connections are refused until ReopenListener is called. Open connections stay.
func (p *Proxy) CloseListener() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
}

// ReopenListener listens again after CloseListener.
func (p *Proxy) ReopenListener() error {
	p.mu.Lock()
	open := p.ln != nil || p.closed
	p.mu.Unlock()
	if open {
		return nil
	}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("proxy at %s: %w", p.address, err)
	}
	p.serve(ln)
	return nil
}

// SetHanging sets whether later connections are accepted but never forwarded.
func (p *Proxy) SetHanging(hanging bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hanging = hanging
}

// Silence stops all data, in both directions and for good, on the connections that are open now. They stay open.
func (p *Proxy) Silence() { p.applyToAll(func(c *Connection) { c.silent.Store(true) }) }

// Reset resets the connections that are open now towards client and target.
func (p *Proxy) Reset() { p.applyToAll((*Connection).reset) }

// ResetOne resets one of the connections that are open now. It returns the proxy's local address of the connection to the target,
// "" if none is open.
func (p *Proxy) ResetOne() string { return p.applyToOne((*Connection).reset) }

// HalfCloseOne closes the direction to the client on one of the connections that are open now. The other direction stays open
// until the client closes it.
func (p *Proxy) HalfCloseOne() {
	p.applyToOne(func(c *Connection) {
		if conn, ok := c.client.(*net.TCPConn); ok {
			_ = conn.CloseWrite() // fails only if the connection is closed already
		}
	})
}

// SilenceOne stops all data on one of the connections that are open now. It returns the proxy's local address of the connection
// to the target, "" if none is open.
func (p *Proxy) SilenceOne() string {
	return p.applyToOne(func(c *Connection) { c.silent.Store(true) })
}

// applyToOne applies an action to one connection that is open to the target and not silent.
func (p *Proxy) applyToOne(do func(*Connection)) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if c.server != nil && !c.silent.Load() {
			do(c)
			return c.server.LocalAddr().String()
		}
	}
	return ""
}

func (p *Proxy) applyToAll(do func(*Connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		do(c)
	}
}

// Close closes the proxy and its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.CloseListener()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.applyToAll((*Connection).close)
	p.goroutines.Wait()
}

func (c *Connection) close() {
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

func (c *Connection) reset() {
	for _, netConn := range []net.Conn{c.client, c.server} {
		if tcpConn, ok := netConn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0) // fails only if the connection is closed already
		}
	}
	c.close()
}

func (p *Proxy) serve(ln net.Listener) {
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	p.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				time.Sleep(time.Millisecond)
			default:
				p.goroutines.Go(func() { p.forward(c) })
			}
		}
	})
}

// randomDelay returns a random duration from 0 to limit.
func (p *Proxy) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(limit) + 1))
}

// forward connects to the target and copies both directions of a connection until they have ended.
func (p *Proxy) forward(client net.Conn) {
	c := &Connection{client: client}
	p.mu.Lock()
	target, hanging, closed := p.target, p.hanging, p.closed
	if !closed {
		p.connections[c] = struct{}{}
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.connections, c)
		p.mu.Unlock()
	}()
	if closed {
		client.Close()
		return
	}
	if hanging {
		c.silent.Store(true)
	} else {
		time.Sleep(p.randomDelay(p.shape.MaxConnectDelay))
	}
	if c.silent.Load() { // also if it became silent during the delay: it is never connected to the target
		p.copyOneWay(c, client, nil)
		client.Close()
		return
	}
	if PeerClosed(client) { // the client closed the connection during the delay
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		c.reset()
		return
	}
	p.mu.Lock()
	c.server = server
	closed = p.closed
	p.mu.Unlock()
	if closed {
		c.close()
	}
	var directions sync.WaitGroup
	directions.Go(func() {
		p.copyOneWay(c, p.newDelayLine(client, func() {
			if p.OnClientClosed != nil {
				p.OnClientClosed(server.LocalAddr().String())
			}
		}), server)
	})
	directions.Go(func() { p.copyOneWay(c, p.newDelayLine(server, func() {}), client) })
	directions.Wait()
	c.close()
}

// PeerClosed reports whether the peer of a TCP connection has closed it, even if input is still unread.
func PeerClosed(c net.Conn) bool {
	_, ok := c.(*net.TCPConn)
	return ok && tcpstate.Of(tcpstate.Raw(c)) != tcpstate.Established
}

// maxQueuedReads bounds the reads that are queued in one direction of a connection; beyond it the sender is held back.
const maxQueuedReads = 256

// delayedRead is the result of one read, with the time at which it is forwarded.
type delayedRead struct {
	due    time.Time
	octets []byte
	err    error
}

// delayLine is a reader that returns data and the end of a stream after a delay.
type delayLine struct {
	reads     chan delayedRead
	remaining []byte
}

// newDelayLine returns a reader of a connection with the delay of the proxy's shape. It calls onEnd when the stream ends, without
// the delay.
func (p *Proxy) newDelayLine(from io.Reader, onEnd func()) io.Reader {
	line := &delayLine{reads: make(chan delayedRead, maxQueuedReads)}
	p.goroutines.Go(func() {
		defer close(line.reads)
		var last time.Time
		for {
			buf := make([]byte, readSize)
			n, err := from.Read(buf)
			if err != nil {
				onEnd()
			}
			due := time.Now().Add(p.shape.Latency + p.randomDelay(p.shape.Jitter))
			if due.Before(last) {
				due = last
			}
			last = due
			line.reads <- delayedRead{due, buf[:n], err}
			if err != nil {
				return
			}
		}
	})
	return line
}

// Read returns the next data once its delay has passed.
func (d *delayLine) Read(b []byte) (int, error) {
	if len(d.remaining) == 0 {
		read, ok := <-d.reads
		if !ok {
			return 0, io.EOF
		}
		time.Sleep(time.Until(read.due))
		if d.remaining = read.octets; read.err != nil {
			return copy(b, read.octets), read.err
		}
	}
	n := copy(b, d.remaining)
	d.remaining = d.remaining[n:]
	return n, nil
}

// hasMore reports whether more data is queued after the last read.
func hasMore(from io.Reader) bool {
	d, ok := from.(*delayLine)
	return ok && len(d.reads) > 0
}

// drain empties a delay line, so that the goroutine that fills it can end.
func drain(from io.Reader) {
	if d, ok := from.(*delayLine); ok {
		for range d.reads { //nolint:revive // only the end matters
		}
	}
}

// copyOneWay forwards one direction of a connection, the end of the stream as a half-close and an error as a reset. On a silent
// connection it forwards nothing, and the side that has not closed it sees it open.
func (p *Proxy) copyOneWay(c *Connection, from io.Reader, to net.Conn) {
	defer drain(from)
	buf := make([]byte, readSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.silent.Load() && to != nil {
			p.write(c, to, buf[:n], hasMore(from))
		}
		if err == nil {
			continue
		}
		if c.silent.Load() {
			return
		}
		if conn, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			_ = conn.CloseWrite() // fails only if the connection is closed already
			return
		}
		c.reset()
		return
	}
}

// write writes b, in chunks with random delays if the proxy's shape says so.
func (p *Proxy) write(c *Connection, to net.Conn, b []byte, moreQueued bool) {
	remaining := p.shape.MaxTotalChunkDelay
	if moreQueued {
		remaining = 0
	}
	for len(b) > 0 && !c.silent.Load() {
		n := len(b)
		if p.shape.MaxChunk > 0 {
			n = min(n, 1+int(p.randomDelay(time.Duration(p.shape.MaxChunk-1))))
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
		if b = b[n:]; len(b) > 0 && p.shape.MaxChunk > 0 {
			wait := min(remaining, p.randomDelay(p.shape.MaxChunkDelay))
			remaining -= wait
			time.Sleep(wait)
		}
	}
}
