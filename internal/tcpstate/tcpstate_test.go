package tcpstate

import (
	"net"
	"testing"
	"time"
)

// Guards against an end of a connection that is not seen behind unread octets, and against one that is seen too early.
func TestEndOfTheConnectionIsSeenBehindUnreadOctets(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(*net.TCPConn)
		want State
	}{
		"open":       {func(*net.TCPConn) {}, Established},
		"close":      {func(c *net.TCPConn) { c.Close() }, CloseWait},
		"half close": {func(c *net.TCPConn) { c.CloseWrite() }, CloseWait},
		"reset":      {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, Closed},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		client.Write([]byte("unread"))
		tc.end(client.(*net.TCPConn))
		raw := Raw(server)
		state := Of(raw)
		for deadline := time.Now().Add(2 * time.Second); state != tc.want && time.Now().Before(deadline); state = Of(raw) {
			time.Sleep(time.Millisecond)
		}
		if state != tc.want || state.EndedByPeer() != (tc.want != Established) {
			t.Errorf("%s: state %d, want %d", name, state, tc.want)
		}
		server.Close()
		if after := Of(raw); after != Unknown {
			t.Errorf("%s: state %d after the close here", name, after)
		}
		client.Close()
		ln.Close()
	}
	if Of(Raw(nil)) != Unknown {
		t.Error("a connection without a socket has a state")
	}
}
