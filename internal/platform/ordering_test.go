package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/memnet"
	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

// These tests run on TCP connections. Each forces two events into the unfavourable order with gates in its listener, connections,
// dialer or log.

// gatedLog is a log output that blocks its writers while shut. The event loop logs synchronously, so this stops it. Lines can be
// let through one at a time.
type gatedLog struct {
	memnet.Gate
	blocked    chan struct{} // receives a token when a line is blocked
	letThrough chan struct{} // a token lets one blocked line through
}

func (g *gatedLog) Write(p []byte) (int, error) {
	passed := make(chan struct{})
	go func() { g.Wait(); close(passed) }()
	select {
	case <-passed:
	case g.blocked <- struct{}{}:
		select {
		case <-passed:
		case <-g.letThrough:
		}
	}
	return len(p), nil
}

// waitBlocked waits until a line is blocked.
func (g *gatedLog) waitBlocked(t *testing.T) {
	t.Helper()
	select {
	case <-g.blocked:
	case <-time.After(3 * time.Second):
		t.Fatal("the event loop logged nothing")
	}
}

// gatedListener delays Accept while its gate is shut. Close and SetDeadline open the gate. Its connections are gatedConns.
type gatedListener struct {
	net.Listener
	gate   memnet.Gate
	closed chan struct{} // closed by Close
	once   sync.Once
	conns  chan *gatedConn
}

func listenGated(t *testing.T) *gatedListener {
	return &gatedListener{Listener: listenOnLoopback(t), closed: make(chan struct{}), conns: make(chan *gatedConn, 100)}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	l.gate.Wait()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &gatedConn{TCPConn: c.(*net.TCPConn)}
	l.conns <- g
	return g, nil
}

func (l *gatedListener) SetDeadline(at time.Time) error {
	l.gate.Open()
	return l.Listener.(*net.TCPListener).SetDeadline(at)
}

func (l *gatedListener) Close() error {
	err := l.Listener.Close()
	l.gate.Open()
	l.once.Do(func() { close(l.closed) })
	return err
}

// gatedConn is the controller's end of a connection. It records the input.
type gatedConn struct {
	*net.TCPConn
	readGate, writeGate memnet.Gate // delay reads and writes while shut
	mu                  sync.Mutex
	input               []byte
	inputEnded          bool
}

func (c *gatedConn) Read(b []byte) (int, error) {
	c.readGate.Wait()
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input, c.inputEnded = append(c.input, b[:n]...), c.inputEnded || err != nil
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) { c.writeGate.Wait(); return c.TCPConn.Write(b) }
func (c *gatedConn) CloseWrite() error           { defer c.readGate.Open(); return c.TCPConn.CloseWrite() }
func (c *gatedConn) Close() error                { defer c.readGate.Open(); return c.TCPConn.Close() }

// waitUntil waits until a condition on the recorded input holds.
func (c *gatedConn) waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		done := holds()
		c.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatalf("timeout; input so far: %q", c.input)
}

// waitRead waits until the input contains some octets, however the reads divide it.
func (c *gatedConn) waitRead(t *testing.T, octets []byte) {
	t.Helper()
	c.waitUntil(t, func() bool { return bytes.Contains(c.input, octets) })
}

// waitEnded waits until the end of the stream or an error was read.
func (c *gatedConn) waitEnded(t *testing.T) {
	t.Helper()
	c.waitUntil(t, func() bool { return c.inputEnded })
}

// gatedHarness runs a controller with one switch over TCP. Its event loop can be stopped.
type gatedHarness struct {
	t              *testing.T
	listener       *gatedListener
	switchListener net.Listener
	boardListener  net.Listener
	log            gatedLog
	sw             *siptest.Peer
	switchConn     *gatedConn // the controller's end of its connection to the switch
	dialGate       memnet.Gate
	terminate      func()
	waitEnded      func()
	bad            int
}

func newGatedHarness(t *testing.T, abandonTime string) *gatedHarness {
	h := &gatedHarness{t: t, listener: listenGated(t), switchListener: listenOnLoopback(t), boardListener: listenOnLoopback(t)}
	h.log.blocked, h.log.letThrough = make(chan struct{}), make(chan struct{})
	switchConns := make(chan *gatedConn, 10)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialLoopback(ctx, address)
		if err != nil || address != h.switchListener.Addr().String() {
			return c, err
		}
		gated := &gatedConn{TCPConn: c.(*net.TCPConn)}
		switchConns <- gated
		h.dialGate.Wait()
		return gated, nil
	}
	s := newOnLoopback(t, h.switchListener.Addr().String(), h.boardListener.Addr().String(), abandonTime, dial, &h.log)
	h.terminate, h.waitEnded = runServer(t, s, h.listener)
	h.switchConn, h.sw = <-switchConns, h.acceptSwitch()
	time.Sleep(20 * time.Millisecond)
	return h
}

func (h *gatedHarness) acceptSwitch() *siptest.Peer {
	c, err := h.switchListener.Accept()
	if err != nil {
		h.t.Fatal(err)
	}
	p := siptest.New(h.t, c)
	p.Send(siptest.LoadReport(20, 20))
	return p
}

func (h *gatedHarness) shutDown() {
	h.log.Open()
	h.terminate()
	h.waitEnded()
	h.switchListener.Close()
	h.boardListener.Close()
}

// connectCaller connects to the controller and returns both ends of the connection.
func (h *gatedHarness) connectCaller() (net.Conn, *gatedConn) {
	c, err := net.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	return c, <-h.listener.conns
}

// sendMalformed sends a malformed message on a new connection: the event loop logs two lines when it handles that.
func (h *gatedHarness) sendMalformed() {
	c, serverConn := h.connectCaller()
	text := []byte("noise\r\n")
	c.Write(text)
	serverConn.waitRead(h.t, text)
	h.t.Cleanup(func() { c.Close() })
}

// stopEventLoop makes the event loop block when it logs a malformed message.
func (h *gatedHarness) stopEventLoop() {
	h.log.Close()
	h.sendMalformed()
	h.log.waitBlocked(h.t)
}

// expectNoSetUp checks that a switch receives no set-up.
func expectNoSetUp(t *testing.T, sw *siptest.Peer) {
	t.Helper()
	for {
		m, ok := sw.Receive(300 * time.Millisecond)
		if !ok {
			return
		}
		if m.Method == sip.Invite {
			t.Fatalf("a try began for an abandoned call: %+v", m)
		}
	}
}

func encode(m ...sip.Message) []byte {
	var b []byte
	for i := range m {
		b = sip.Append(b, &m[i])
	}
	return b
}

func cancelRequest(id string) sip.Message {
	return sip.Message{Method: sip.Cancel, URI: "sip:7f3a9c21e0b4d655@net", CallID: id, CSeq: 1}
}

// abandonments are the ways in which a caller can abandon a call: what it writes after its set-up and how it ends its
// connection.
var abandonments = []struct {
	name  string
	after []byte
	end   func(*net.TCPConn) error
}{
	{"full close", nil, (*net.TCPConn).Close},
	{"half close", nil, (*net.TCPConn).CloseWrite},
	{"reset", nil, func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }},
	{"CANCEL", encode(cancelRequest(callID1)), nil},
	{"CANCEL after 100 messages", encode(append(hundredAcks(), cancelRequest(callID1))...), nil},
	{"close within a message", []byte("INVITE sip:x@net SIP/2.0\r\nContent-Le"), (*net.TCPConn).Close},
}

func hundredAcks() []sip.Message {
	var all []sip.Message
	for range 100 {
		all = append(all, sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: callID2, CSeq: 1})
	}
	return all
}

// abandon makes a caller abandon its call: it writes its last octets in pieces and ends the connection. It returns once the
// reader has seen all of that.
func (h *gatedHarness) abandon(c net.Conn, serverConn *gatedConn, after []byte, end func(*net.TCPConn) error) {
	h.t.Helper()
	for len(after) > 0 {
		n := (len(after) + 1) / 2
		serverConn.mu.Lock()
		total := len(serverConn.input) + n
		serverConn.mu.Unlock()
		c.Write(after[:n])
		serverConn.waitUntil(h.t, func() bool { return len(serverConn.input) >= total })
		after = after[n:]
	}
	if end != nil {
		if err := end(c.(*net.TCPConn)); err != nil {
			h.t.Fatal(err)
		}
		serverConn.waitEnded(h.t)
	}
	time.Sleep(20 * time.Millisecond)
}

// abandonWhileStopped makes a caller abandon its call while the event loop is stopped. A malformed message is queued between the
// event that would begin a try and the event of the abandonment. The event loop is stopped there again, so that a set-up sent
// by mistake has time to be written.
func (h *gatedHarness) abandonWhileStopped(abandon func(), sw *siptest.Peer) {
	h.t.Helper()
	time.Sleep(20 * time.Millisecond)
	h.sendMalformed()
	time.Sleep(20 * time.Millisecond)
	abandon()
	h.log.letThrough <- struct{}{}
	h.log.waitBlocked(h.t)
	h.log.letThrough <- struct{}{}
	h.log.waitBlocked(h.t)
	expectNoSetUp(h.t, sw)
	h.log.Open()
	expectNoSetUp(h.t, sw)
}

// forEachAbandonment runs a subtest for each way to abandon a call; abandon makes the caller do so.
func forEachAbandonment(t *testing.T, test func(h *gatedHarness, c net.Conn, serverConn *gatedConn, abandon func())) {
	for _, abandonment := range abandonments {
		t.Run(abandonment.name, func(t *testing.T) {
			t.Parallel()
			h := newGatedHarness(t, "300.0")
			defer h.shutDown()
			c, serverConn := h.connectCaller()
			defer c.Close()
			test(h, c, serverConn, func() { h.abandon(c, serverConn, abandonment.after, abandonment.end) })
		})
	}
}

func TestNoTryForCallAbandonedBeforeItsSetUpIsHandled(t *testing.T) {
	forEachAbandonment(t, func(h *gatedHarness, c net.Conn, serverConn *gatedConn, abandon func()) {
		h.stopEventLoop()
		c.Write(encode(setUp(callID1, 3000)))
		serverConn.waitRead(h.t, encode(setUp(callID1, 3000)))
		h.abandonWhileStopped(abandon, h.sw)
	})
}

// Guards against a retry by timer while the event of the abandonment waits in the inbox: queued events are handled before
// timers.
func TestNoRetryForAbandonedCall(t *testing.T) {
	forEachAbandonment(t, func(h *gatedHarness, c net.Conn, serverConn *gatedConn, abandon func()) {
		c.Write(encode(setUp(callID1, 3000)))
		m := h.sw.Expect(sip.Invite)
		h.stopEventLoop()
		timeout := m.Response(sip.ServerTimeout) // permits a retry after the release time
		h.sw.Send(timeout)
		h.switchConn.waitRead(h.t, encode(timeout))
		time.Sleep(20 * time.Millisecond)
		abandon()
		h.log.Open()
		expectNoSetUp(h.t, h.sw)
	})
}

func TestNoTryOnConnectionEstablishedAfterAbandonment(t *testing.T) {
	forEachAbandonment(t, func(h *gatedHarness, c net.Conn, serverConn *gatedConn, abandon func()) {
		h.dialGate.Close()
		h.sw.Close()
		h.switchConn.waitEnded(h.t)
		c.Write(encode(setUp(callID1, 3000))) // the try waits for the connection being dialled
		serverConn.waitRead(h.t, encode(setUp(callID1, 3000)))
		next := h.acceptSwitch()
		h.stopEventLoop()
		h.dialGate.Open() // the connection is up, but the event loop has not handled that yet
		h.abandonWhileStopped(abandon, next)
	})
}

func TestCancelRemovesQueuedSetUp(t *testing.T) {
	h := newGatedHarness(t, "300.0")
	defer h.shutDown()
	c, _ := h.connectCaller()
	defer c.Close()
	h.switchConn.writeGate.Close()
	first := setUp(callID2, 3000)
	c.Write(encode(first)) // blocks the writer
	time.Sleep(20 * time.Millisecond)
	c.Write(encode(setUp(callID1, 3000)))
	time.Sleep(20 * time.Millisecond)
	c.Write(encode(cancelRequest(callID1)))
	time.Sleep(20 * time.Millisecond)
	h.switchConn.writeGate.Open()
	if m := h.sw.Expect(sip.Invite); m.CallID != callID2 {
		t.Fatalf("the switch received %+v", m)
	}
	expectNoSetUp(t, h.sw)
}

// Guards against a lost set-up at shutdown: the kernel has queued a connection with a set-up when the listener is about to close.
func TestSetUpOnQueuedConnectionIsAnsweredAtShutdown(t *testing.T) {
	h := newGatedHarness(t, "300.0")
	h.listener.gate.Close()
	first, serverConn := h.connectCaller() // for the Accept call that is already blocked
	defer first.Close()
	_ = serverConn
	c, err := net.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(encode(setUp(callID1, 3000)))
	h.terminate()
	p := siptest.New(t, c)
	h.sw.Expect(sip.Invite)
	if m, ok := p.Receive(3 * time.Second); !ok || m.CallID != callID1 {
		t.Fatalf("the caller received %v %+v", ok, m)
	}
	h.shutDown()
}

// A set-up arrives on an established connection after the listener has closed, while no call is open.
func TestSetUpAfterListenerClosedIsAnswered(t *testing.T) {
	h := newGatedHarness(t, "300.0")
	c, _ := h.connectCaller()
	defer c.Close()
	h.terminate()
	<-h.listener.closed
	c.Write(encode(setUp(callID1, 3000)))
	p := siptest.New(t, c)
	h.sw.Answer(h.sw.Expect(sip.Invite), "answer")
	p.Expect("200")
	h.shutDown()
}

// At shutdown an answer is written while input from the caller is unread. Closing the socket at once would reset the connection
// and destroy the answer.
func TestAnswerAtShutdownArrivesDespiteUnreadInput(t *testing.T) {
	h := newGatedHarness(t, "300.0")
	c, serverConn := h.connectCaller()
	defer c.Close()
	c.Write(encode(setUp(callID1, 3000)))
	h.sw.Expect(sip.Invite) // not answered before the shutdown
	serverConn.readGate.Close()
	c.Write(encode(cancelRequest("00000000000000ff"))) // completes the blocked read; the next one blocks at the gate
	serverConn.waitRead(t, encode(cancelRequest("00000000000000ff")))
	c.Write(bytes.Repeat([]byte("x"), 5000))
	h.terminate()
	h.waitEnded()
	text, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(text), "CSeq: 1 INVITE") {
		t.Errorf("the caller received %q, %v", text, err)
	}
	h.switchListener.Close()
	h.boardListener.Close()
}

// Guards against leaked goroutines: callers keep opening new connections.
func TestClosedCallerConnectionsLeakNoGoroutines(t *testing.T) {
	h := newGatedHarness(t, "300.0")
	defer h.shutDown()
	before := runtime.NumGoroutine()
	for range 200 {
		c, serverConn := h.connectCaller()
		ping := encode(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
		c.Write(ping)
		serverConn.waitRead(t, ping)
		c.Close()
	}
	deadline := time.Now().Add(3 * time.Second)
	for runtime.NumGoroutine() > before+10 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if now := runtime.NumGoroutine(); now > before+10 {
		t.Errorf("%d goroutines, %d before 200 callers connected and disconnected", now, before)
	}
}

// The notice board is unreachable and idle callers hold all the connections they can get. The platform's test message, a caller
// with a call, the switch and the board must still be served, within the limit of descriptors.
func TestIdleCallersLeaveDescriptorsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64
		h := &harness{t: t, network: memnet.New(), reload: make(chan Config), ended: make(chan error, 1), boardConns: make(chan net.Conn, 10), switches: make(chan *siptest.Peer, 10)}
		h.serve(limit)
		var idle []*siptest.Peer
		for range 3 * limit {
			c := h.connectCaller()
			c.Send(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
			c.Expect("200") // in service without the board and the switch
			idle = append(idle, c)
			time.Sleep(10 * time.Millisecond)
		}
		go acceptAll(h.listen("10.0.0.2:1"), func(c net.Conn) {
			p := siptest.New(t, c)
			p.Send(siptest.LoadReport(20, 20))
			h.switches <- p
		})
		sw := <-h.switches
		go acceptAll(h.listen("board"), func(c net.Conn) { h.boardConns <- c })
		<-h.boardConns
		c := h.connectCaller()
		c.Send(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
		c.Expect("200")
		c.Send(setUp(callID1, 1500))
		sw.Answer(sw.Expect(sip.Invite), "answer")
		c.Expect("200")
		h.shutDown()
		for _, p := range idle {
			p.Close()
		}
		if maxOpen := h.maxOpenConns; maxOpen+1 > limit-3 { // one for the listener, three for the standard streams
			t.Errorf("%d connections at once with %d descriptors", maxOpen, limit)
		}
	})
}
