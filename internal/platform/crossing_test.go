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

// What follows runs on real connections. Each test makes two events cross in the bad order every time, by gates in its own listener,
// connections, dialer or log.

// gatedLog holds up whoever writes a line, when it is shut: the owner, which writes its lines itself. Lines may be let through one
// by one.
type gatedLog struct {
	memnet.Gate
	lines chan struct{} // one token for each line that waits
	let   chan struct{} // and one for each that may go
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

// waits until a line waits at the shut gate.
func (g *gatedLog) waits(t *testing.T) {
	t.Helper()
	select {
	case <-g.lines:
	case <-time.After(3 * time.Second):
		t.Fatal("the owner writes no line")
	}
}

// gatedListener holds up accepted connections until it is told to close or has a deadline; its connections are gatedConns.
type gatedListener struct {
	net.Listener
	gate   memnet.Gate
	closed chan struct{} // closed with the listener
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

// gatedConn is the controller's end of a connection. It keeps what was read from it.
type gatedConn struct {
	*net.TCPConn
	in, out memnet.Gate // shut: what is read, or written, waits
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

// until waits until what was read is as told.
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
	t.Fatalf("only this was read: %q", c.text)
}

// hasRead waits until some octets were read, among whatever else: reads may end anywhere.
func (c *gatedConn) hasRead(t *testing.T, text []byte) {
	t.Helper()
	c.until(t, func() bool { return bytes.Contains(c.text, text) })
}

// hasEnded waits until its end was read.
func (c *gatedConn) hasEnded(t *testing.T) {
	t.Helper()
	c.until(t, func() bool { return c.ended })
}

// crossing is a controller with one switch, whose owner can be held up.
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

// caller connects, and gives the controller's end as well.
func (x *crossing) caller() (net.Conn, *gatedConn) {
	c, err := net.Dial("tcp", x.here.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	return c, <-x.here.conns
}

// noise sends what cannot be read: the owner writes two lines when it comes to it.
func (x *crossing) noise() {
	c, near := x.caller()
	text := []byte("noise\r\n")
	c.Write(text)
	near.hasRead(x.t, text)
	x.t.Cleanup(func() { c.Close() })
}

// holdOwner has the owner stand still.
func (x *crossing) holdOwner() {
	x.log.Shut()
	x.noise()
	x.log.waits(x.t)
}

// nothingMore checks that a switch hears of no set-up.
func nothingMore(t *testing.T, sw *siptest.Peer) {
	t.Helper()
	for {
		m, ok := sw.Next(300 * time.Millisecond)
		if !ok {
			return
		}
		if m.Method == sip.Invite {
			t.Fatalf("a try began for a caller who has gone: %+v", m)
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

// Ways in which a caller can have gone: what it writes after its set-up, and how it ends its connection.
var waysToGo = []struct {
	name  string
	after []byte
	end   func(*net.TCPConn) error
}{
	{"full close", nil, (*net.TCPConn).Close},
	{"half close", nil, (*net.TCPConn).CloseWrite},
	{"reset", nil, func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }},
	{"CANCEL", octets(cancel(id1)), nil},
	{"CANCEL behind a run of messages", octets(append(make100(), cancel(id1))...), nil},
	{"close behind half a message", []byte("INVITE sip:x@net SIP/2.0\r\nContent-Le"), (*net.TCPConn).Close},
}

func make100() []sip.Message {
	var all []sip.Message
	for range 100 {
		all = append(all, sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: id2, CSeq: 1})
	}
	return all
}

// leaves has a caller go: what it still writes comes in pieces. It returns when the reader has seen all of it.
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

// leavesWhileHeld has a caller go while the owner stands still, with noise between what the owner would begin a try for and what tells
// it that the caller has gone; then the owner goes on to the noise, where it stands still again, and writers have all the time they want.
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

// forEachWayToGo plays a caller who goes, in each way; leave has it go.
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

// What lies in the inbox is handled before any timer acts.
func TestNoFurtherTryBeginsForACallerWhoHasGone(t *testing.T) {
	forEachWayToGo(t, func(x *crossing, c net.Conn, near *gatedConn, leave func()) {
		c.Write(octets(setUp(id1, 3000)))
		m := x.sw.Want(sip.Invite)
		x.holdOwner()
		cut := m.Answer(sip.ServerTimeout) // it may go again once the release time has passed
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
		c.Write(octets(setUp(id1, 3000))) // waits for the connection that is being dialled
		near.hasRead(x.t, octets(setUp(id1, 3000)))
		next := x.accept()
		x.holdOwner()
		x.dials.Open() // the connection is up, and the owner is yet to be told
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
	c.Write(octets(first)) // the writer has it, and waits
	time.Sleep(20 * time.Millisecond)
	c.Write(octets(setUp(id1, 3000)))
	time.Sleep(20 * time.Millisecond)
	c.Write(octets(cancel(id1)))
	time.Sleep(20 * time.Millisecond)
	x.link.out.Open()
	if m := x.sw.Want(sip.Invite); m.CallID != id2 {
		t.Fatalf("the switch heard %+v", m)
	}
	nothingMore(t, x.sw)
}

// The kernel has accepted a connection, and a set-up on it counts as taken, when the listener is about to close.
func TestSetUpOnAConnectionNotYetAcceptedIsAnsweredAtTheEnd(t *testing.T) {
	x := newCrossing(t, "300.0")
	x.here.gate.Shut()
	first, near := x.caller() // one accept was under way
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
		t.Fatalf("the caller heard %v %+v", ok, m)
	}
	x.end()
}

// The listener has closed, nothing is open, and a set-up comes on a connection that is still there.
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

// At the end an answer goes out while octets of the caller lie unread: closing then would reset the connection.
func TestAnswerAtTheEndIsReadThoughOctetsOfTheCallerLieUnread(t *testing.T) {
	x := newCrossing(t, "300.0")
	c, near := x.caller()
	defer c.Close()
	c.Write(octets(setUp(id1, 3000)))
	x.sw.Want(sip.Invite) // never answered: the process ends first
	near.in.Shut()
	c.Write(octets(cancel("00000000000000ff"))) // ends the read that is under way; the next waits at the gate
	near.hasRead(t, octets(cancel("00000000000000ff")))
	c.Write(bytes.Repeat([]byte("x"), 5000))
	x.term()
	x.ended()
	text, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(text), "CSeq: 1 INVITE") {
		t.Errorf("the caller read %q, %v", text, err)
	}
	x.far.Close()
	x.board.Close()
}

// Connections of callers are ever new; each leaves nothing behind.
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
		t.Errorf("%d goroutines, %d before 200 callers came and went", now, before)
	}
}

// The board is away, idle callers take every descriptor they can get and keep them: the platform's test, a caller with a call, the
// switch and the board get theirs all the same, and the limit holds.
func TestIdleCallersLeaveDescriptorsForAllOthersWhileTheBoardIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64
		b := &bench{t: t, net: memnet.New(), reload: make(chan Machine), ended: make(chan error, 1), boards: make(chan net.Conn, 10), sw: make(chan *siptest.Peer, 10)}
		b.serve(limit)
		var idle []*siptest.Peer
		for range 3 * limit {
			c := b.caller()
			c.Say(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
			c.Want("200") // ready, though neither the board nor the switch is there
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
		if most := b.most; most+1 > limit-3 { // the listener; the standard streams
			t.Errorf("%d connections at once with %d descriptors", most, limit)
		}
	})
}
