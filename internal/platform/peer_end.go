package platform

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection (RFC 9293, section 3.3.2) as Linux numbers them: the peer has ended it, though octets that came
// before may be unread.
const (
	tcpClosed    = 7 // after a reset
	tcpCloseWait = 8 // after a close or half-close by the peer
)

// peerEnded reports whether the peer has ended a connection, even if what it sent before is unread. It returns false where
// the system does not tell.
func peerEnded(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && (info.State == tcpClosed || info.State == tcpCloseWait)
	})
	return err == nil && ended
}
