package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"indigodrift/internal/faultproxy"
	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

const (
	toldWithin    = time.Second     // limit of the protocol between a switch's release and the caller's
	toldAfterLoss = 8 * time.Second // limit if the switch could not send its release
)

func switchEntries(address string) string {
	return fmt.Sprintf(`{"rev":1,"pool":{"reset":true,"instances":[{"cell":0,"hostPort":"127.0.0.1:1","instanceId":"s-000000a0","lifecycle":"in_service"},
{"cell":1,"hostPort":%q,"instanceId":"s-000000a1","lifecycle":"in_service"}]}}`, address)
}

// establishCalls starts a controller with one switch and sets up calls, in turn on the connections of callers.
func standingCalls(t *testing.T, connections, calls int) (sw *siptest.Peer, callers []*siptest.Peer, ids []string) {
	n := newPlatformNet(t)
	n.start(1, switchEntries(n.switches[0].Addr().String()))
	sw = n.up(0)
	time.Sleep(50 * time.Millisecond) // the load report of the switch is read
	for range connections {
		callers = append(callers, n.caller())
	}
	for i := range calls {
		ids = append(ids, fmt.Sprintf("%016x", 0x100+i))
		setUpOnPlatform(callers[i%connections], sw, ids[i])
	}
	return sw, callers, ids
}

func setUpOnPlatform(caller, sw *siptest.Peer, id string) {
	caller.Send(platformSetUp(id, 1, ""))
	m := sw.Expect(sip.Invite)
	sw.Answer(m, "answer to "+id)
	sw.Expect(sip.Ack)
	caller.Send(sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: caller.Expect("200").CallID, CSeq: 1})
}

// releaseLog records when callers received the first release of each call.
type told struct {
	mu sync.Mutex
	at map[string]time.Time
}

// listen reads a caller's connection until it closes, and calls answer for each release.
func (x *told) listen(c *siptest.Peer, answer func(sip.Message)) {
	for {
		m, ok := c.Receive(20 * time.Second)
		if !ok {
			return
		}
		if m.Method != sip.Bye {
			continue
		}
		x.mu.Lock()
		if _, before := x.at[m.CallID]; !before {
			x.at[m.CallID] = time.Now()
		}
		x.mu.Unlock()
		answer(m)
	}
}

// releaseEach releases calls at the switch one after the other, and checks that the callers receive the releases in time.
func releaseEach(t *testing.T, sw *siptest.Peer, callers []*siptest.Peer, ids []string, answer func(*siptest.Peer, sip.Message)) {
	t.Helper()
	x := &told{at: map[string]time.Time{}}
	for _, c := range callers {
		go x.listen(c, func(m sip.Message) { answer(c, m) })
	}
	written := map[string]time.Time{}
	for _, id := range ids {
		written[id] = time.Now()
		sw.Send(siptest.Release(id, 16))
		sw.Expect("200")
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(toldWithin)
	x.mu.Lock()
	defer x.mu.Unlock()
	late := 0
	for _, id := range ids {
		if at, ok := x.at[id]; !ok || at.Sub(written[id]) > toldWithin {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d callers received no release within %v", late, len(ids), toldWithin)
	}
}

// Guards against releases that are held back because callers do not send the optional 200 to BYE.
func TestCallersWhoAnswerNoReleaseAreToldOfEachCall(t *testing.T) {
	sw, callers, ids := standingCalls(t, 2, 24)
	releaseEach(t, sw, callers, ids, func(*siptest.Peer, sip.Message) {})
}

// Guards against releases that are late because the optional 200 to an earlier BYE is late.
func TestCallersWhoAnswerReleasesLateAreToldOfEachCallInTime(t *testing.T) {
	const late = 900 * time.Millisecond
	sw, callers, ids := standingCalls(t, 2, 24)
	releaseEach(t, sw, callers, ids, func(c *siptest.Peer, m sip.Message) {
		time.AfterFunc(late, func() { c.Send(m.Response(sip.OK)) })
	})
}

// Guards against a connection blocked for releases because its caller did not answer releases of calls unknown to it.
func TestReleasesOfUnknownCallsDoNotKeepLaterReleasesBack(t *testing.T) {
	sw, callers, ids := standingCalls(t, 1, 6)
	for i := range 3 { // calls of an earlier controller process, unknown to the callers
		sw.Send(siptest.Release(fmt.Sprintf("%016x", 0x900+i), 16))
		sw.Expect("200")
	}
	time.Sleep(toldWithin)
	known := map[string]bool{}
	for _, id := range ids {
		known[id] = true
	}
	releaseEach(t, sw, callers, ids, func(c *siptest.Peer, m sip.Message) {
		if known[m.CallID] {
			c.Send(m.Response(sip.OK))
		}
	})
}

// Guards against losing a release on a connection that is silent, when another connection to the switch is already open.
func TestReleaseLostOnASilentConnectionIsFetchedOnANewOne(t *testing.T) {
	n := newPlatformNet(t)
	proxy, err := faultproxy.Listen("127.0.0.1:0", n.switches[0].Addr().String(), faultproxy.Shape{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	n.start(1, switchEntries(proxy.Address()))
	first := n.up(0)
	time.Sleep(50 * time.Millisecond)
	caller := n.caller()
	const id = "0000000000000100"
	setUpOnPlatform(caller, first, id)
	go func() { // answers keepalives while they arrive
		for {
			if _, ok := first.Receive(20 * time.Second); !ok {
				return
			}
		}
	}()
	proxy.SilenceOne()
	second := n.up(0) // opened because the first is silent
	go second.Receive(20 * time.Second)
	first.Send(siptest.Release(id, 16)) // lost on the silent connection of the set-up
	go func() {
		for { // the switch repeats it on its next connection
			c, err := n.switches[0].Accept()
			if err != nil {
				return
			}
			defer c.Close()
			next := siptest.New(t, c)
			next.Send(siptest.Release(id, 16))
			go next.Receive(20 * time.Second)
		}
	}()
	n.switches[0].(*net.TCPListener).SetDeadline(time.Time{})
	if m, ok := caller.Receive(toldAfterLoss); !ok || m.Method != sip.Bye {
		t.Errorf("the caller received no release within %v: %v %+v", toldAfterLoss, ok, m)
	}
}

// Guards against calls that are never released when a release and its only repetition are both lost, the latter with the
// switch's connection.
func TestReleaseThatIsLostTwiceIsToldInTime(t *testing.T) {
	n := newPlatformNet(t)
	proxy, err := faultproxy.Listen("127.0.0.1:0", n.switches[0].Addr().String(), faultproxy.Shape{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	n.start(1, switchEntries(proxy.Address()))
	first := n.up(0)
	time.Sleep(50 * time.Millisecond)
	caller := n.caller()
	const id = "0000000000000100"
	setUpOnPlatform(caller, first, id)
	go first.Receive(20 * time.Second)
	proxy.Silence()
	first.Send(siptest.Release(id, 16)) // lost on the silent connection of the set-up
	n.switches[0].(*net.TCPListener).SetDeadline(time.Now().Add(toldAfterLoss))
	c, err := n.switches[0].Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	proxy.Silence() // loses the repetition on the next connection too
	next := siptest.New(t, c)
	next.Send(siptest.Release(id, 16))
	go next.Receive(20 * time.Second)
	go func() { // later connections work, but carry no release
		for {
			later, err := n.switches[0].Accept()
			if err != nil {
				return
			}
			p := siptest.New(t, later)
			p.Send(siptest.LoadReport(50, 50))
			go p.Receive(20 * time.Second)
		}
	}()
	if m, ok := caller.Receive(toldAfterLoss); !ok || m.Method != sip.Bye {
		t.Errorf("the caller received no release within %v: %v %+v", toldAfterLoss, ok, m)
	}
}
