package memnet

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxUnreadDatagrams is the receive buffer of a socket. Further datagrams are lost, as at a real socket.
const maxUnreadDatagrams = 4096

type datagram struct {
	data []byte
	from net.Addr
}

// PacketConn is a datagram socket of an in-memory network.
type PacketConn struct {
	network  *Net
	address  *net.UDPAddr
	incoming chan datagram
	closed   chan struct{}
	once     sync.Once
	Gate     *Gate // if set, reads and writes block while it is closed
}

// ListenPacket opens a datagram socket; port 0 chooses a port.
func (n *Net) ListenPacket(name string) (net.PacketConn, error) {
	address, err := netip.ParseAddrPort(name)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets == nil {
		n.sockets = map[netip.AddrPort]*PacketConn{}
	}
	for address.Port() == 0 || n.sockets[address] != nil {
		if address.Port() != 0 {
			return nil, fmt.Errorf("listen %s: address in use", name)
		}
		n.lastPort++
		if next := netip.AddrPortFrom(address.Addr(), uint16(10000+n.lastPort)); n.sockets[next] == nil {
			address = next
		}
	}
	p := &PacketConn{network: n, address: net.UDPAddrFromAddrPort(address), incoming: make(chan datagram, maxUnreadDatagrams), closed: make(chan struct{})}
	n.sockets[address] = p
	return p, nil
}

func (p *PacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	if p.Gate != nil {
		p.Gate.Wait()
	}
	select {
	case d := <-p.incoming:
		if p.Gate != nil {
			p.Gate.Wait()
		}
		return copy(b, d.data), d.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if p.Gate != nil {
		p.Gate.Wait()
	}
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	address, err := netip.ParseAddrPort(to.String())
	if err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	p.network.mu.Lock()
	remote := p.network.sockets[address]
	p.network.mu.Unlock()
	if remote != nil {
		select {
		case remote.incoming <- datagram{append([]byte(nil), b...), p.address}:
		default:
		}
	}
	return len(b), nil
}

func (p *PacketConn) Close() error {
	p.once.Do(func() {
		p.network.mu.Lock()
		delete(p.network.sockets, p.address.AddrPort())
		p.network.mu.Unlock()
		close(p.closed)
	})
	return nil
}
func (p *PacketConn) LocalAddr() net.Addr              { return p.address }
func (p *PacketConn) SetDeadline(time.Time) error      { return nil }
func (p *PacketConn) SetReadDeadline(time.Time) error  { return nil }
func (p *PacketConn) SetWriteDeadline(time.Time) error { return nil }
