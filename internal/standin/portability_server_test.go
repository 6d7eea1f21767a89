package standin

import (
	"net"
	"syscall"
	"testing"
)

// Guards against a server that does not start because the port chosen for UDP is in use for TCP. The test occupies many TCP
// ports.
func TestPortabilityServerFindsAPortFreeForUDPAndTCP(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	listeners := min(2000, int(limit.Cur)/2)
	for range listeners { // about one in fourteen ports of the usual ephemeral range
		if ln, err := net.Listen("tcp", "127.0.0.1:0"); err == nil {
			defer ln.Close()
		}
	}
	for range 200 {
		p, err := NewPortabilityServer(nil)
		if err != nil {
			t.Fatal(err)
		}
		p.Stop()
	}
}
