// Package tcpstate reads the state that the system has for a TCP connection. It tells that the peer has ended the connection
// although octets that came before are unread.
package tcpstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a TCP connection (RFC 9293, section 3.3.2).
type State uint8

// The states that matter here, as Linux numbers them.
const (
	Unknown     State = 0 // the system does not tell
	Established State = unix.BPF_TCP_ESTABLISHED
	Closed      State = unix.BPF_TCP_CLOSE      // after a reset
	CloseWait   State = unix.BPF_TCP_CLOSE_WAIT // after a close or half-close by the peer
)

// EndedByPeer reports whether the peer has ended the connection.
func (s State) EndedByPeer() bool { return s == Closed || s == CloseWait }

// Raw returns the socket of a connection, nil if it has none.
func Raw(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Of returns the state of the connection of a socket, Unknown if the socket is nil or closed.
func Of(raw syscall.RawConn) State {
	if raw == nil {
		return Unknown
	}
	state := Unknown
	err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = State(info.State)
		}
	})
	if err != nil {
		return Unknown
	}
	return state
}
