// Package faultproxy is a TCP proxy that spoils what passes: it delays connections, passes octets in pieces, swallows them,
// resets connections, hangs and refuses. internal/soak and tests put it between a controller and everything it talks to. It
// knows nothing of what the octets mean.
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
	readMost   = 16 << 10 // octets of one read
)

// Shape is how a proxy passes octets while it works. The zero value passes them as they come.
type Shape struct {
	ConnectMost time.Duration // a connection is passed on after a random wait up to this
	Way         time.Duration // octets take this long each way, in their order
	Jitter      time.Duration // and up to so much longer
	PieceMost   int           // octets are passed in pieces of at most so many, 0: as they come
	PieceWait   time.Duration // between two pieces, at most
	PieceAll    time.Duration // and for the pieces of what was read at once all together; none where more waits, so that a flood is not held up
}

// Proxy passes connections from one address to another.
type Proxy struct {
	address string
	shape   Shape

	// Ended, if set before the first connection, is called when the near side of a connection has ended, with the address from which
	// the target sees it.
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

// Listen starts a proxy at an address that passes connections on to target; seed draws its waits and pieces.
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

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Retarget has later connections passed on to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Refuse ends the listener: connections are refused until Accept. Those that are open stay.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
}

// Accept listens again after Refuse.
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

// Hang has later connections accepted and not passed on, until it is called with false.
func (p *Proxy) Hang(hung bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hung = hung
}

// Silence has nothing pass on the connections that are open now, in either direction, for good. They stay open.
func (p *Proxy) Silence() { p.each(func(l *Link) { l.silent.Store(true) }) }

// Reset resets the connections that are open now, at both ends.
func (p *Proxy) Reset() { p.each((*Link).reset) }

// ResetOne resets one of the connections that are open now, and returns the address from which its target sees it, "" where there is none.
func (p *Proxy) ResetOne() string { return p.one((*Link).reset) }

// EndOne ends the direction to the near side of one of the connections that are open now; the other goes on until the near side closes it.
func (p *Proxy) EndOne() {
	p.one(func(l *Link) {
		if half, ok := l.near.(*net.TCPConn); ok {
			_ = half.CloseWrite() // it may be gone already
		}
	})
}

// SilenceOne silences one of the connections that are open now, and returns the address from which its target sees it.
func (p *Proxy) SilenceOne() string { return p.one(func(l *Link) { l.silent.Store(true) }) }

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

// Close ends the proxy and everything that passes through it.
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
			_ = t.SetLinger(0) // a connection that is closed already needs no reset
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

// drawn is a random wait up to most.
func (p *Proxy) drawn(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(most) + 1))
}

// pass passes one connection on until either side ends it.
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
	if l.silent.Load() { // perhaps since it waited: it never comes up
		p.copy(l, near, nil)
		near.Close()
		return
	}
	if PeerClosed(near) { // whoever dialled has given up: the connection never came up
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

// PeerClosed tells whether the far end of a TCP connection has closed it, though octets of it may lie unread.
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

// waysMost reads of a connection are under way at a time; then the far end waits.
const waysMost = 256

// parcel is what one read gave, and when it is due at the other side.
type parcel struct {
	due    time.Time
	octets []byte
	err    error
}

// delayLine is a connection whose octets, and its end, are read later than they came.
type delayLine struct {
	parcels chan parcel
	rest    []byte
}

// delayed reads a connection by the way of the proxy's shape; ended is called as its end is read, before the way.
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

// Read waits for what is due next.
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

// behind tells that more has come than what was read last.
func behind(from io.Reader) bool {
	d, ok := from.(*delayLine)
	return ok && len(d.parcels) > 0
}

// drain reads a line to its end, so that what fills it does not wait for good.
func drain(from io.Reader) {
	if d, ok := from.(*delayLine); ok {
		for range d.parcels { //nolint:revive // only the end matters
		}
	}
}

// copy passes octets one way. At their end the other side's end is passed on as well, a reset as a reset; on a silent connection
// nothing is, and it stays open for the side that has not closed it.
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
			_ = half.CloseWrite() // it may be gone already
			return
		}
		l.reset()
		return
	}
}

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
