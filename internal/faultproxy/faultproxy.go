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

	"golang.org/x/sys/unix"
)

const (
	dialWithin = time.Second
	readMost   = 16 << 10 // octets per read
)

// Shape sets how a proxy forwards connections and data without a fault. The zero value forwards at once and unchanged.
type Shape struct {
	ConnectMost time.Duration // maximum random delay of a new connection
	Way         time.Duration // one-way delay of data; the order is kept
	Jitter      time.Duration // maximum random addition to the one-way delay
	PieceMost   int           // data is written in chunks of at most this many octets, 0 for no splitting
	PieceWait   time.Duration // maximum random delay between two chunks
	PieceAll    time.Duration // maximum sum of these delays per read; 0 while more data waits, so that a flood is not held up
}

// Proxy forwards connections from its address to a target.
type Proxy struct {
	address string
	shape   Shape

	// Ended is called when the client has closed a connection, with the proxy's local address of the connection to the target. It
	// must be set before the first connection.
	Ended func(from string)

	mu     sync.Mutex
	random *rand.Rand
	target string
	ln     net.Listener
	links  map[*Link]struct{}
	hung   bool
	closed bool
	all    sync.WaitGroup
}

// Link is one connection through a proxy.
type Link struct {
	near, far net.Conn
	silent    atomic.Bool
}

// Listen starts a proxy at an address that forwards connections to target. seed is of the random delays and chunk sizes.
func Listen(address, target string, shape Shape, seed uint64) (*Proxy, error) {
	p := &Proxy{shape: shape, random: rand.New(rand.NewPCG(seed, 0x50)), target: target, links: map[*Link]struct{}{}}
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

// Retarget sets the target of later connections.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Refuse closes the listener, so that new connections are refused until Accept is called. Open connections stay.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
}

// Accept reopens the listener after Refuse.
func (p *Proxy) Accept() error {
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

// Hang sets whether later connections are accepted but never forwarded.
func (p *Proxy) Hang(hung bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hung = hung
}

// Silence stops all data, in both directions and for good, on the connections that are open now. They stay open.
func (p *Proxy) Silence() { p.each(func(l *Link) { l.silent.Store(true) }) }

// Reset resets the connections that are open now towards client and target.
func (p *Proxy) Reset() { p.each((*Link).reset) }

// ResetOne resets one of the connections that are open now. It returns the proxy's local address of the connection to the target,
// "" if none is open.
func (p *Proxy) ResetOne() string { return p.one((*Link).reset) }

// EndOne closes the direction to the client on one of the connections that are open now. The other direction stays open until the
// client closes it.
func (p *Proxy) EndOne() {
	p.one(func(l *Link) {
		if half, ok := l.near.(*net.TCPConn); ok {
			_ = half.CloseWrite() // fails only if the connection is closed already
		}
	})
}

// SilenceOne stops all data on one of the connections that are open now. It returns the proxy's local address of the connection
// to the target, "" if none is open.
func (p *Proxy) SilenceOne() string { return p.one(func(l *Link) { l.silent.Store(true) }) }

// one applies an action to one connection that is open to the target and not silent.
func (p *Proxy) one(do func(*Link)) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if l.far != nil && !l.silent.Load() {
			do(l)
			return l.far.LocalAddr().String()
		}
	}
	return ""
}

func (p *Proxy) each(do func(*Link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		do(l)
	}
}

// Close closes the proxy and its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.Refuse()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.each((*Link).close)
	p.all.Wait()
}

func (l *Link) close() {
	l.near.Close()
	if l.far != nil {
		l.far.Close()
	}
}

func (l *Link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails only if the connection is closed already
		}
	}
	l.close()
}

func (p *Proxy) serve(ln net.Listener) {
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	p.all.Go(func() {
		for {
			c, err := ln.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				time.Sleep(time.Millisecond)
			default:
				p.all.Go(func() { p.pass(c) })
			}
		}
	})
}

// drawn returns a random duration up to most.
func (p *Proxy) drawn(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(most) + 1))
}

// pass forwards one connection until both directions have ended.
func (p *Proxy) pass(near net.Conn) {
	l := &Link{near: near}
	p.mu.Lock()
	target, hung, closed := p.target, p.hung, p.closed
	if !closed {
		p.links[l] = struct{}{}
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}()
	if closed {
		near.Close()
		return
	}
	if hung {
		l.silent.Store(true)
	} else {
		time.Sleep(p.drawn(p.shape.ConnectMost))
	}
	if l.silent.Load() { // also if it became silent during the delay: it is never connected to the target
		p.copy(l, near, nil)
		near.Close()
		return
	}
	if PeerClosed(near) { // the client has given up during the delay
		near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", target, dialWithin)
	if err != nil {
		l.reset()
		return
	}
	p.mu.Lock()
	l.far = far
	closed = p.closed
	p.mu.Unlock()
	if closed {
		l.close()
	}
	var both sync.WaitGroup
	both.Go(func() {
		p.copy(l, p.delayed(near, func() {
			if p.Ended != nil {
				p.Ended(far.LocalAddr().String())
			}
		}), far)
	})
	both.Go(func() { p.copy(l, p.delayed(far, func() {}), near) })
	both.Wait()
	l.close()
}

// PeerClosed reports whether the peer of a TCP connection has closed it, even if input is still unread.
func PeerClosed(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			closed = info.State != unix.BPF_TCP_ESTABLISHED
		}
	})
	return closed || err != nil
}

// waysMost bounds the reads that are queued in one direction of a connection; beyond it the sender is held back.
const waysMost = 256

// parcel is the result of one read, with the time at which it is forwarded.
type parcel struct {
	due    time.Time
	octets []byte
	err    error
}

// delayLine is a reader that returns data and the end of a stream after a delay.
type delayLine struct {
	parcels chan parcel
	rest    []byte
}

// delayed returns a reader of a connection with the delay of the proxy's shape. It calls ended at the end of the stream, before
// the delay.
func (p *Proxy) delayed(from io.Reader, ended func()) io.Reader {
	line := &delayLine{parcels: make(chan parcel, waysMost)}
	p.all.Go(func() {
		defer close(line.parcels)
		var last time.Time
		for {
			buf := make([]byte, readMost)
			n, err := from.Read(buf)
			if err != nil {
				ended()
			}
			due := time.Now().Add(p.shape.Way + p.drawn(p.shape.Jitter))
			if due.Before(last) {
				due = last
			}
			last = due
			line.parcels <- parcel{due, buf[:n], err}
			if err != nil {
				return
			}
		}
	})
	return line
}

// Read returns the next data once its delay has passed.
func (d *delayLine) Read(b []byte) (int, error) {
	if len(d.rest) == 0 {
		next, ok := <-d.parcels
		if !ok {
			return 0, io.EOF
		}
		time.Sleep(time.Until(next.due))
		if d.rest = next.octets; next.err != nil {
			return copy(b, next.octets), next.err
		}
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// behind reports whether more data is queued after the last read.
func behind(from io.Reader) bool {
	d, ok := from.(*delayLine)
	return ok && len(d.parcels) > 0
}

// drain empties a delay line, so that the goroutine that fills it can end.
func drain(from io.Reader) {
	if d, ok := from.(*delayLine); ok {
		for range d.parcels { //nolint:revive // only the end matters
		}
	}
}

// copy forwards one direction of a connection. It forwards the end of the stream as a half-close and an error as a reset. A silent
// connection forwards neither, and stays open for the side that has not closed it.
func (p *Proxy) copy(l *Link, from io.Reader, to net.Conn) {
	defer drain(from)
	buf := make([]byte, readMost)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() && to != nil {
			p.write(l, to, buf[:n], behind(from))
		}
		if err == nil {
			continue
		}
		if l.silent.Load() {
			return
		}
		if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			_ = half.CloseWrite() // fails only if the connection is closed already
			return
		}
		l.reset()
		return
	}
}

// write writes b in chunks with random delays between them.
func (p *Proxy) write(l *Link, to net.Conn, b []byte, behind bool) {
	left := p.shape.PieceAll
	if behind {
		left = 0
	}
	for len(b) > 0 && !l.silent.Load() {
		n := len(b)
		if p.shape.PieceMost > 0 {
			n = min(n, 1+int(p.drawn(time.Duration(p.shape.PieceMost-1))))
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
		if b = b[n:]; len(b) > 0 && p.shape.PieceMost > 0 {
			wait := min(left, p.drawn(p.shape.PieceWait))
			left -= wait
			time.Sleep(wait)
		}
	}
}
