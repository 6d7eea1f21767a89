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

// onLoopback returns a controller with one switch and a notice board; deadline is the callers' abandon time in milliseconds.
func onLoopback(t *testing.T, far, board, deadline string, dial Dialer, log io.Writer) *Station {
	text := strings.NewReplacer("10.0.0.2:1", far, `"board":"board"`, fmt.Sprintf("%q:%q", "board", board), "3000.0", deadline).Replace(fmt.Sprintf(configuration, 256))
	m, err := ParseMachine([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return New(m, module, dial, slog.New(slog.NewTextHandler(log, nil)))
}

// runOnLoopback runs a controller that listens at here, with one switch and a notice board. The returned function shuts it down.
func runOnLoopback(t *testing.T, here net.Listener, far, board string) func() {
	term, ended := run(t, onLoopback(t, far, board, "3000.0", dialLoopback, io.Discard), here)
	return func() {
		term()
		ended()
	}
}

// run runs a controller. term makes it drain, ended waits for its end.
func run(t *testing.T, s *Station, here net.Listener) (term, ended func()) {
	ctx, term := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- s.Run(ctx, here, nil) }()
	return term, func() {
		t.Helper()
		if err := <-end; err != nil {
			t.Error(err)
		}
	}
}

// watched reports the remote address of each accepted connection that the controller closes. A client that reads nothing cannot
// observe the close itself: its kernel drops incoming segments, the reset among them, for seconds.
type watched struct {
	net.Listener
	closed chan string
}

type watchedConn struct {
	net.Conn
	once sync.Once
	tell func()
}

func (w *watched) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, tell: func() { w.closed <- c.RemoteAddr().String() }}, nil
}

func (c *watchedConn) Close() error {
	c.once.Do(c.tell)
	return c.Conn.Close()
}

// Guards against a slow reader that blocks the controller: a caller that sends requests and reads no responses loses its
// connection, while another caller is served without delay.
func TestSlowReaderBesideAHealthyCallerOnLoopback(t *testing.T) {
	far, board := listenOnLoopback(t), listenOnLoopback(t)
	here := &watched{Listener: listenOnLoopback(t), closed: make(chan string, 2)}
	defer board.Close()
	defer far.Close()
	end := runOnLoopback(t, here, far.Addr().String(), board.Addr().String())
	slow, err := net.Dial("tcp", here.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := slow.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	ping := sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1}
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		const most = 64 << 20 // octets, far more than the kernel buffers
		many := bytes.Repeat(sip.Append(nil, &ping), 100)
		for sent := 0; sent < most; sent += len(many) {
			if _, err := slow.Write(many); err != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", here.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	healthy := siptest.New(t, conn)
	until := time.After(15 * time.Second)
	for waiting := true; waiting; {
		healthy.Say(ping)
		healthy.Want("200")
		select {
		case who := <-here.closed:
			if waiting = false; who != slow.LocalAddr().String() {
				t.Error("the healthy caller lost its connection")
			}
		case <-until:
			t.Fatal("the slow reader kept its connection")
		case <-time.After(10 * time.Millisecond):
		}
	}
	healthy.Say(ping)
	healthy.Want("200")
	slow.Close()
	<-asked
	end()
	conn.Close()
}

// A switch resets its connection during a set-up and stops listening. Its established call must be released, the call being set
// up must get one final answer, and the shutdown must not hang.
func TestSwitchThatDiesOnLoopback(t *testing.T) {
	here, far, board := listenOnLoopback(t), listenOnLoopback(t), listenOnLoopback(t)
	defer board.Close()
	end := runOnLoopback(t, here, far.Addr().String(), board.Addr().String())
	c, err := far.Accept()
	if err != nil {
		t.Fatal(err)
	}
	sw := siptest.New(t, c)
	sw.Say(siptest.Group(20, 20))
	time.Sleep(50 * time.Millisecond)
	conn, err := net.Dial("tcp", here.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	caller := siptest.New(t, conn)
	caller.Say(setUp(id1, 3000))
	sw.Stand(sw.Want(sip.Invite), "answer")
	caller.Want("200")
	caller.Say(setUp(id2, 3000))
	sw.Want(sip.Ack)
	sw.Want(sip.Invite)
	far.Close()
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
	seen := map[string]int{}
	for len(seen) < 2 {
		got, ok := caller.Next(3 * time.Second)
		if !ok {
			t.Fatalf("the caller received only %v", seen)
		}
		if got.Method == sip.Bye && got.CallID == id1 {
			seen["release of the first"]++
		}
		if got.Status >= 400 && got.CallID == id2 {
			seen["refusal of the second"]++
		}
	}
	end()
	conn.Close()
}
