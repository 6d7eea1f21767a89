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
	lines chan struct{} // receives a token when a line is blocked
	let   chan struct{} // a token lets one blocked line through
}

func (g *gatedLog) Write(p []byte) (int, error) {
	passed := make(chan struct{})
	go func() { g.Pass(); close(passed) }()
	select {
	case <-passed:
	case g.lines <- struct{}{}:
		select {
		case <-passed:
		case <-g.let:
		}
	}
	return len(p), nil
}

// waits waits until a line is blocked.
func (g *gatedLog) waits(t *testing.T) {
	t.Helper()
	select {
	case <-g.lines:
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

func gatedOnLoopback(t *testing.T) *gatedListener {
	return &gatedListener{Listener: listenOnLoopback(t), closed: make(chan struct{}), conns: make(chan *gatedConn, 100)}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	l.gate.Pass()
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
	in, out memnet.Gate // delay reads and writes while shut
	mu      sync.Mutex
	text    []byte
	ended   bool
}

func (c *gatedConn) Read(b []byte) (int, error) {
	c.in.Pass()
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text, c.ended = append(c.text, b[:n]...), c.ended || err != nil
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) { c.out.Pass(); return c.TCPConn.Write(b) }
func (c *gatedConn) CloseWrite() error           { defer c.in.Open(); return c.TCPConn.CloseWrite() }
func (c *gatedConn) Close() error                { defer c.in.Open(); return c.TCPConn.Close() }

// until waits until a condition on the recorded input holds.
func (c *gatedConn) until(t *testing.T, ok func() bool) {
	t.Helper()
	for late := time.Now().Add(3 * time.Second); time.Now().Before(late); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		done := ok()
		c.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatalf("timeout; input so far: %q", c.text)
}

// hasRead waits until the input contains some octets, however the reads divide it.
func (c *gatedConn) hasRead(t *testing.T, text []byte) {
	t.Helper()
	c.until(t, func() bool { return bytes.Contains(c.text, text) })
}

// hasEnded waits until the end of the stream or an error was read.
func (c *gatedConn) hasEnded(t *testing.T) {
	t.Helper()
	c.until(t, func() bool { return c.ended })
}

// crossing is a test harness: a controller with one switch, whose event loop can be stopped.
type crossing struct {
	t     *testing.T
	here  *gatedListener
	far   net.Listener
	board net.Listener
	log   gatedLog
	sw    *siptest.Peer
	link  *gatedConn // the controller's end of its connection to the switch
	dials memnet.Gate
	term  func()
	ended func()
	bad   int
}

func newCrossing(t *testing.T, deadline string) *crossing {
	x := &crossing{t: t, here: gatedOnLoopback(t), far: listenOnLoopback(t), board: listenOnLoopback(t)}
	x.log.lines, x.log.let = make(chan struct{}), make(chan struct{})
	links := make(chan *gatedConn, 10)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialLoopback(ctx, address)
		if err != nil || address != x.far.Addr().String() {
			return c, err
		}
		g := &gatedConn{TCPConn: c.(*net.TCPConn)}
		links <- g
		x.dials.Pass()
		return g, nil
	}
	s := onLoopback(t, x.far.Addr().String(), x.board.Addr().String(), deadline, dial, &x.log)
	x.term, x.ended = run(t, s, x.here)
	x.link, x.sw = <-links, x.accept()
	time.Sleep(20 * time.Millisecond)
	return x
}

func (x *crossing) accept() *siptest.Peer {
	c, err := x.far.Accept()
	if err != nil {
		x.t.Fatal(err)
	}
	p := siptest.New(x.t, c)
	p.Say(siptest.Group(20, 20))
	return p
}

func (x *crossing) end() {
	x.log.Open()
	x.term()
	x.ended()
	x.far.Close()
	x.board.Close()
}

// caller connects to the controller and returns both ends of the connection.
func (x *crossing) caller() (net.Conn, *gatedConn) {
	c, err := net.Dial("tcp", x.here.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	return c, <-x.here.conns
}

// noise sends a malformed message on a new connection: the event loop logs two lines when it handles that.
func (x *crossing) noise() {
	c, near := x.caller()
	text := []byte("noise\r\n")
	c.Write(text)
	near.hasRead(x.t, text)
	x.t.Cleanup(func() { c.Close() })
}

// holdOwner stops the event loop.
func (x *crossing) holdOwner() {
	x.log.Shut()
	x.noise()
	x.log.waits(x.t)
}

// nothingMore checks that a switch receives no set-up.
func nothingMore(t *testing.T, sw *siptest.Peer) {
	t.Helper()
	for {
		m, ok := sw.Next(300 * time.Millisecond)
		if !ok {
			return
		}
		if m.Method == sip.Invite {
			t.Fatalf("a try began for a caller that has left: %+v", m)
		}
	}
}

func octets(m ...sip.Message) []byte {
	var b []byte
	for i := range m {
		b = sip.Append(b, &m[i])
	}
	return b
}

func cancel(id string) sip.Message {
	return sip.Message{Method: sip.Cancel, URI: "sip:7f3a9c21e0b4d655@net", CallID: id, CSeq: 1}
}

// waysToGo are the ways in which a caller can leave: what it writes after its set-up and how it ends its connection.
var waysToGo = []struct {
	name  string
	after []byte
	end   func(*net.TCPConn) error
}{
	{"full close", nil, (*net.TCPConn).Close},
	{"half close", nil, (*net.TCPConn).CloseWrite},
	{"reset", nil, func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }},
	{"CANCEL", octets(cancel(id1)), nil},
	{"CANCEL after 100 messages", octets(append(make100(), cancel(id1))...), nil},
	{"close within a message", []byte("INVITE sip:x@net SIP/2.0\r\nContent-Le"), (*net.TCPConn).Close},
}

func make100() []sip.Message {
	var all []sip.Message
	for range 100 {
		all = append(all, sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: id2, CSeq: 1})
	}
	return all
}

// leaves makes a caller leave: it writes its last octets in pieces and ends the connection. It returns once the reader has seen
// all of that.
func (x *crossing) leaves(c net.Conn, near *gatedConn, after []byte, end func(*net.TCPConn) error) {
	x.t.Helper()
	for len(after) > 0 {
		n := (len(after) + 1) / 2
		near.mu.Lock()
		all := len(near.text) + n
		near.mu.Unlock()
		c.Write(after[:n])
		near.until(x.t, func() bool { return len(near.text) >= all })
		after = after[n:]
	}
	if end != nil {
		if err := end(c.(*net.TCPConn)); err != nil {
			x.t.Fatal(err)
		}
		near.hasEnded(x.t)
	}
	time.Sleep(20 * time.Millisecond)
}

// leavesWhileHeld makes a caller leave while the event loop is stopped. A malformed message is queued between the event that would
// begin a try and the one that reports the departure, and the event loop is stopped there again, so that writers have enough
// time to send a set-up by mistake.
func (x *crossing) leavesWhileHeld(leave func(), sw *siptest.Peer) {
	x.t.Helper()
	time.Sleep(20 * time.Millisecond)
	x.noise()
	time.Sleep(20 * time.Millisecond)
	leave()
	x.log.let <- struct{}{}
	x.log.waits(x.t)
	x.log.let <- struct{}{}
	x.log.waits(x.t)
	nothingMore(x.t, sw)
	x.log.Open()
	nothingMore(x.t, sw)
}

// forEachWayToGo runs a subtest for each way to leave; leave makes the caller leave.
func forEachWayToGo(t *testing.T, play func(x *crossing, c net.Conn, near *gatedConn, leave func())) {
	for _, way := range waysToGo {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			x := newCrossing(t, "300.0")
			defer x.end()
			c, near := x.caller()
			defer c.Close()
			play(x, c, near, func() { x.leaves(c, near, way.after, way.end) })
		})
	}
}

func TestNoTryBeginsForACallerWhoHasGoneBeforeTheOwnerLooks(t *testing.T) {
	forEachWayToGo(t, func(x *crossing, c net.Conn, near *gatedConn, leave func()) {
		x.holdOwner()
		c.Write(octets(setUp(id1, 3000)))
		near.hasRead(x.t, octets(setUp(id1, 3000)))
		x.leavesWhileHeld(leave, x.sw)
	})
}

// Guards against a retry by timer while the caller's departure waits in the inbox: queued events are handled before timers.
func TestNoFurtherTryBeginsForACallerWhoHasGone(t *testing.T) {
	forEachWayToGo(t, func(x *crossing, c net.Conn, near *gatedConn, leave func()) {
		c.Write(octets(setUp(id1, 3000)))
		m := x.sw.Want(sip.Invite)
		x.holdOwner()
		cut := m.Answer(sip.ServerTimeout) // permits a retry after the release time
		x.sw.Say(cut)
		x.link.hasRead(x.t, octets(cut))
		time.Sleep(20 * time.Millisecond)
		leave()
		x.log.Open()
		nothingMore(x.t, x.sw)
	})
}

func TestNoTryBeginsOnAConnectionThatComesUpAfterItsCallerHasGone(t *testing.T) {
	forEachWayToGo(t, func(x *crossing, c net.Conn, near *gatedConn, leave func()) {
		x.dials.Shut()
		x.sw.Close()
		x.link.hasEnded(x.t)
		c.Write(octets(setUp(id1, 3000))) // the try waits for the connection being dialled
		near.hasRead(x.t, octets(setUp(id1, 3000)))
		next := x.accept()
		x.holdOwner()
		x.dials.Open() // the connection is up, but the event loop has not handled that yet
		x.leavesWhileHeld(leave, next)
	})
}

func TestSetUpThatWaitsToBeWrittenIsTakenBack(t *testing.T) {
	x := newCrossing(t, "300.0")
	defer x.end()
	c, _ := x.caller()
	defer c.Close()
	x.link.out.Shut()
	first := setUp(id2, 3000)
	c.Write(octets(first)) // blocks the writer
	time.Sleep(20 * time.Millisecond)
	c.Write(octets(setUp(id1, 3000)))
	time.Sleep(20 * time.Millisecond)
	c.Write(octets(cancel(id1)))
	time.Sleep(20 * time.Millisecond)
	x.link.out.Open()
	if m := x.sw.Want(sip.Invite); m.CallID != id2 {
		t.Fatalf("the switch received %+v", m)
	}
	nothingMore(t, x.sw)
}

// Guards against a lost set-up at shutdown: the kernel has queued a connection with a set-up when the listener is about to close.
func TestSetUpOnAConnectionNotYetAcceptedIsAnsweredAtTheEnd(t *testing.T) {
	x := newCrossing(t, "300.0")
	x.here.gate.Shut()
	first, near := x.caller() // for the Accept call that is already blocked
	defer first.Close()
	_ = near
	c, err := net.Dial("tcp", x.here.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(octets(setUp(id1, 3000)))
	x.term()
	p := siptest.New(t, c)
	x.sw.Want(sip.Invite)
	if m, ok := p.Next(3 * time.Second); !ok || m.CallID != id1 {
		t.Fatalf("the caller received %v %+v", ok, m)
	}
	x.end()
}

// A set-up arrives on an established connection after the listener has closed, while no call is open.
func TestSetUpThatCrossesTheEndOfTheListenerIsAnswered(t *testing.T) {
	x := newCrossing(t, "300.0")
	c, _ := x.caller()
	defer c.Close()
	x.term()
	<-x.here.closed
	c.Write(octets(setUp(id1, 3000)))
	p := siptest.New(t, c)
	x.sw.Stand(x.sw.Want(sip.Invite), "answer")
	p.Want("200")
	x.end()
}

// At shutdown an answer is written while input from the caller is unread. Closing the socket at once would reset the connection
// and destroy the answer.
func TestAnswerAtTheEndIsReadThoughOctetsOfTheCallerLieUnread(t *testing.T) {
	x := newCrossing(t, "300.0")
	c, near := x.caller()
	defer c.Close()
	c.Write(octets(setUp(id1, 3000)))
	x.sw.Want(sip.Invite) // not answered before the shutdown
	near.in.Shut()
	c.Write(octets(cancel("00000000000000ff"))) // completes the blocked read; the next one blocks at the gate
	near.hasRead(t, octets(cancel("00000000000000ff")))
	c.Write(bytes.Repeat([]byte("x"), 5000))
	x.term()
	x.ended()
	text, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(text), "CSeq: 1 INVITE") {
		t.Errorf("the caller received %q, %v", text, err)
	}
	x.far.Close()
	x.board.Close()
}

// Guards against leaked goroutines: callers keep opening new connections.
func TestCallersWhoComeAndGoLeaveNothingBehind(t *testing.T) {
	x := newCrossing(t, "300.0")
	defer x.end()
	before := runtime.NumGoroutine()
	for range 200 {
		c, near := x.caller()
		ping := octets(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
		c.Write(ping)
		near.hasRead(t, ping)
		c.Close()
	}
	until := time.Now().Add(3 * time.Second)
	for runtime.NumGoroutine() > before+10 && time.Now().Before(until) {
		time.Sleep(10 * time.Millisecond)
	}
	if now := runtime.NumGoroutine(); now > before+10 {
		t.Errorf("%d goroutines, %d before 200 callers connected and left", now, before)
	}
}

// The notice board is unreachable and idle callers hold all the connections they can get. The platform's test message, a caller
// with a call, the switch and the board must still be served, within the limit of descriptors.
func TestIdleCallersLeaveDescriptorsForAllOthersWhileTheBoardIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64
		b := &bench{t: t, net: memnet.New(), reload: make(chan Machine), ended: make(chan error, 1), boards: make(chan net.Conn, 10), sw: make(chan *siptest.Peer, 10)}
		b.serve(limit)
		var idle []*siptest.Peer
		for range 3 * limit {
			c := b.caller()
			c.Say(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
			c.Want("200") // in service without the board and the switch
			idle = append(idle, c)
			time.Sleep(10 * time.Millisecond)
		}
		go accepts(b.listen("10.0.0.2:1"), func(c net.Conn) {
			p := siptest.New(t, c)
			p.Say(siptest.Group(20, 20))
			b.sw <- p
		})
		sw := <-b.sw
		go accepts(b.listen("board"), func(c net.Conn) { b.boards <- c })
		<-b.boards
		c := b.caller()
		c.Say(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
		c.Want("200")
		c.Say(setUp(id1, 1500))
		sw.Stand(sw.Want(sip.Invite), "answer")
		c.Want("200")
		b.end()
		for _, p := range idle {
			p.Close()
		}
		if most := b.most; most+1 > limit-3 { // one for the listener, three for the standard streams
			t.Errorf("%d connections at once with %d descriptors", most, limit)
		}
	})
}
