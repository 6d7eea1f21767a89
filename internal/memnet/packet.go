package memnet

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// packets that may lie unread at a socket; what comes beyond is lost, as at a real one.
const unreadMost = 4096

type datagram struct {
	b    []byte
	from net.Addr
}

// Packet is a datagram socket of a network in memory.
type Packet struct {
	m    *Net
	at   *net.UDPAddr
	in   chan datagram
	shut chan struct{}
	once sync.Once
	Gate *Gate // if set, nothing passes while it is shut
}

// ListenPacket opens a datagram socket; port 0 has one chosen.
func (m *Net) ListenPacket(name string) (net.PacketConn, error) {
	at, err := netip.ParseAddrPort(name)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sockets == nil {
		m.sockets = map[netip.AddrPort]*Packet{}
	}
	for at.Port() == 0 || m.sockets[at] != nil {
		if at.Port() != 0 {
			return nil, fmt.Errorf("listen %s: address in use", name)
		}
		m.number++
		if next := netip.AddrPortFrom(at.Addr(), uint16(10000+m.number)); m.sockets[next] == nil {
			at = next
		}
	}
	p := &Packet{m: m, at: net.UDPAddrFromAddrPort(at), in: make(chan datagram, unreadMost), shut: make(chan struct{})}
	m.sockets[at] = p
	return p, nil
}

func (p *Packet) ReadFrom(b []byte) (int, net.Addr, error) {
	if p.Gate != nil {
		p.Gate.Pass()
	}
	select {
	case d := <-p.in:
		if p.Gate != nil {
			p.Gate.Pass()
		}
		return copy(b, d.b), d.from, nil
	case <-p.shut:
		return 0, nil, net.ErrClosed
	}
}

func (p *Packet) WriteTo(b []byte, to net.Addr) (int, error) {
	if p.Gate != nil {
		p.Gate.Pass()
	}
	select {
	case <-p.shut:
		return 0, net.ErrClosed
	default:
	}
	at, err := netip.ParseAddrPort(to.String())
	if err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	p.m.mu.Lock()
	far := p.m.sockets[at]
	p.m.mu.Unlock()
	if far != nil {
		select {
		case far.in <- datagram{append([]byte(nil), b...), p.at}:
		default:
		}
	}
	return len(b), nil
}

func (p *Packet) Close() error {
	p.once.Do(func() {
		p.m.mu.Lock()
		delete(p.m.sockets, p.at.AddrPort())
		p.m.mu.Unlock()
		close(p.shut)
	})
	return nil
}
func (p *Packet) LocalAddr() net.Addr              { return p.at }
func (p *Packet) SetDeadline(time.Time) error      { return nil }
func (p *Packet) SetReadDeadline(time.Time) error  { return nil }
func (p *Packet) SetWriteDeadline(time.Time) error { return nil }
