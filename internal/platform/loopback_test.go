package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

func listenOnLoopback(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func dialLoopback(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// newOnLoopback returns a controller with one switch and a notice board. abandonTime is its callers' in milliseconds.
func newOnLoopback(t *testing.T, switchAddress, boardAddress, abandonTime string, dial Dialer, log io.Writer) *Server {
	text := strings.NewReplacer("10.0.0.2:1", switchAddress, `"board":"board"`, fmt.Sprintf("%q:%q", "board", boardAddress), "3000.0", abandonTime).Replace(fmt.Sprintf(configTemplate, 256))
	m, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return New(m, newPolicy, dial, slog.New(slog.NewTextHandler(log, nil)))
}

// runOnLoopback runs a controller with one switch and a notice board. The returned function shuts it down.
func runOnLoopback(t *testing.T, ln net.Listener, switchAddress, boardAddress string) func() {
	terminate, waitEnded := runServer(t, newOnLoopback(t, switchAddress, boardAddress, "3000.0", dialLoopback, io.Discard), ln)
	return func() {
		terminate()
		waitEnded()
	}
}

// runServer runs a controller. terminate makes it drain, waitEnded waits for its end.
func runServer(t *testing.T, s *Server, ln net.Listener) (terminate, waitEnded func()) {
	ctx, terminate := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- s.Run(ctx, ln, nil) }()
	return terminate, func() {
		t.Helper()
		if err := <-result; err != nil {
			t.Error(err)
		}
	}
}

// closeWatcher is a listener that reports the remote address of each connection that the controller closes. A client that reads
// nothing can't observe the close itself: its kernel drops incoming segments, the reset among them, for seconds.
type closeWatcher struct {
	net.Listener
	closedPeers chan string
}

type watchedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (w *closeWatcher) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, onClose: func() { w.closedPeers <- c.RemoteAddr().String() }}, nil
}

func (c *watchedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// Guards against a slow reader that blocks the controller: a caller that sends requests and reads no responses loses its
// connection, while another caller is served without delay.
func TestSlowReaderLosesItsConnectionAndOtherCallerIsServed(t *testing.T) {
	switchListener, boardListener := listenOnLoopback(t), listenOnLoopback(t)
	ln := &closeWatcher{Listener: listenOnLoopback(t), closedPeers: make(chan string, 2)}
	defer boardListener.Close()
	defer switchListener.Close()
	shutDown := runOnLoopback(t, ln, switchListener.Addr().String(), boardListener.Addr().String())
	slow, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := slow.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	ping := sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1}
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		const maxSent = 64 << 20 // octets, far more than the kernel buffers
		batch := bytes.Repeat(sip.Append(nil, &ping), 100)
		for sent := 0; sent < maxSent; sent += len(batch) {
			if _, err := slow.Write(batch); err != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	healthy := siptest.New(t, conn)
	deadline := time.After(15 * time.Second)
	for slowOpen := true; slowOpen; {
		healthy.Send(ping)
		healthy.Expect("200")
		select {
		case peer := <-ln.closedPeers:
			if slowOpen = false; peer != slow.LocalAddr().String() {
				t.Error("the healthy caller lost its connection")
			}
		case <-deadline:
			t.Fatal("the slow reader kept its connection")
		case <-time.After(10 * time.Millisecond):
		}
	}
	healthy.Send(ping)
	healthy.Expect("200")
	slow.Close()
	<-flooded
	shutDown()
	conn.Close()
}

// loopbackNet is a running controller with a connected switch, whose load report it has read, and a connected caller.
type loopbackNet struct {
	switchListener net.Listener
	switchConn     net.Conn
	sw, caller     *siptest.Peer
	shutDown       func()
}

func serveOnLoopback(t *testing.T) *loopbackNet {
	ln, boardListener := listenOnLoopback(t), listenOnLoopback(t)
	n := &loopbackNet{switchListener: listenOnLoopback(t)}
	shutDown := runOnLoopback(t, ln, n.switchListener.Addr().String(), boardListener.Addr().String())
	var err error
	if n.switchConn, err = n.switchListener.Accept(); err != nil {
		t.Fatal(err)
	}
	n.sw = siptest.New(t, n.switchConn)
	n.sw.Send(siptest.LoadReport(20, 20))
	time.Sleep(50 * time.Millisecond)
	callerConn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	n.caller = siptest.New(t, callerConn)
	n.shutDown = func() {
		shutDown()
		callerConn.Close()
		n.switchListener.Close()
		boardListener.Close()
	}
	return n
}

// A switch resets its connection during a set-up and stops listening. Its established call must be released, the call being set
// up must get one final answer, and the shutdown must not hang.
func TestSwitchThatResetsAndStopsListening(t *testing.T) {
	n := serveOnLoopback(t)
	sw, caller := n.sw, n.caller
	caller.Send(setUp(callID1, 3000))
	sw.Answer(sw.Expect(sip.Invite), "answer")
	caller.Expect("200")
	caller.Send(setUp(callID2, 3000))
	sw.Expect(sip.Ack)
	sw.Expect(sip.Invite)
	n.switchListener.Close()
	if err := n.switchConn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	n.switchConn.Close()
	received := map[string]int{}
	for len(received) < 2 {
		got, ok := caller.Receive(3 * time.Second)
		if !ok {
			t.Fatalf("the caller received only %v", received)
		}
		if got.Method == sip.Bye && got.CallID == callID1 {
			received["release of the first"]++
		}
		if got.Status >= 400 && got.CallID == callID2 {
			received["refusal of the second"]++
		}
	}
	n.shutDown()
}

// Guards against an answer that is passed on cut, or with octets of another one, because its length does not fit: as it
// arrives in one piece, and in two.
func TestAnswerWhoseLengthDoesNotFitIsNotPassedOn(t *testing.T) {
	const length = "Content-Length: 17"
	for name, spoil := range map[string]func(answer string) string{
		"too small": func(answer string) string { return strings.Replace(answer, length, "Content-Length: 5", 1) },
		"too large": func(answer string) string { return strings.Replace(answer, length, "Content-Length: 37", 1) + answer },
	} {
		for _, inPieces := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in pieces %v", name, inPieces), func(t *testing.T) {
				t.Parallel()
				expectAnswerNotPassedOn(t, spoil, inPieces)
			})
		}
	}
}

func expectAnswerNotPassedOn(t *testing.T, spoil func(answer string) string, inPieces bool) {
	n := serveOnLoopback(t)
	sw, caller := n.sw, n.caller
	caller.Send(setUp(callID1, 1000))
	request := sw.Expect(sip.Invite)
	answer := request.Response(sip.OK)
	answer.Body = []byte("v=0\r\na=recvonly\r\n")
	text := spoil(string(sip.Append(nil, &answer)))
	if inPieces {
		endOfFirstLine := strings.Index(text, "v=0\r\n") + len("v=0\r\n")
		sw.SendRaw(text[:endOfFirstLine])
		text = text[endOfFirstLine:]
	}
	sw.SendRaw(text)
	if got, ok := caller.Receive(3 * time.Second); !ok || got.Status == sip.OK {
		t.Errorf("the caller received %d %q", got.Status, got.Body)
	}
	n.shutDown()
}
