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
	maxReleaseDelay          = time.Second     // limit of the protocol between a switch's release and the caller's
	maxReleaseDelayAfterLoss = 8 * time.Second // limit if the switch could not send its release
)

func knownSwitches(address string) string {
	return fmt.Sprintf(`{"rev":1,"pool":{"reset":true,"instances":[{"cell":0,"hostPort":"127.0.0.1:1","instanceId":"s-000000a0","lifecycle":"in_service"},
{"cell":1,"hostPort":%q,"instanceId":"s-000000a1","lifecycle":"in_service"}]}}`, address)
}

// establishCalls starts a controller with one switch and sets up calls, in turn on the connections of callers.
func establishCalls(t *testing.T, connections, calls int) (sw *siptest.Peer, callers []*siptest.Peer, ids []string) {
	env := newPlatformNet(t)
	env.start(1, knownSwitches(env.switches[0].Addr().String()))
	sw = env.acceptLink(0)
	time.Sleep(50 * time.Millisecond) // the load report of the switch is read
	for range connections {
		callers = append(callers, env.caller())
	}
	for i := range calls {
		ids = append(ids, fmt.Sprintf("%016x", 0x100+i))
		establishCall(callers[i%connections], sw, ids[i])
	}
	return sw, callers, ids
}

func establishCall(caller, sw *siptest.Peer, id string) {
	caller.Send(platformSetUp(id, 1, ""))
	m := sw.Expect(sip.Invite)
	sw.Answer(m, "answer to "+id)
	sw.Expect(sip.Ack)
	caller.Send(sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: caller.Expect("200").CallID, CSeq: 1})
}

// releaseLog records when callers received the first release of each call.
type releaseLog struct {
	mu            sync.Mutex
	firstReceived map[string]time.Time
}

// record reads a caller's connection until it closes, and calls answer for each release.
func (l *releaseLog) record(caller *siptest.Peer, answer func(sip.Message)) {
	for {
		m, ok := caller.Receive(20 * time.Second)
		if !ok {
			return
		}
		if m.Method != sip.Bye {
			continue
		}
		l.mu.Lock()
		if _, seen := l.firstReceived[m.CallID]; !seen {
			l.firstReceived[m.CallID] = time.Now()
		}
		l.mu.Unlock()
		answer(m)
	}
}

// releaseEach releases calls at the switch one after the other, and checks that the callers receive the releases in time.
func releaseEach(t *testing.T, sw *siptest.Peer, callers []*siptest.Peer, ids []string, answer func(*siptest.Peer, sip.Message)) {
	t.Helper()
	log := &releaseLog{firstReceived: map[string]time.Time{}}
	for _, c := range callers {
		go log.record(c, func(m sip.Message) { answer(c, m) })
	}
	sentAt := map[string]time.Time{}
	for _, id := range ids {
		sentAt[id] = time.Now()
		sw.Send(siptest.Release(id, 16))
		sw.Expect("200")
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(maxReleaseDelay)
	log.mu.Lock()
	defer log.mu.Unlock()
	late := 0
	for _, id := range ids {
		if receivedAt, ok := log.firstReceived[id]; !ok || receivedAt.Sub(sentAt[id]) > maxReleaseDelay {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d callers received no release within %v", late, len(ids), maxReleaseDelay)
	}
}

// Guards against releases that are held back because callers do not send the optional 200 to BYE.
func TestReleasesReachCallersThatDoNotAnswerThem(t *testing.T) {
	sw, callers, ids := establishCalls(t, 2, 24)
	releaseEach(t, sw, callers, ids, func(*siptest.Peer, sip.Message) {})
}

// Guards against releases that are late because the optional 200 to an earlier BYE is late.
func TestReleasesReachCallersThatAnswerLateInTime(t *testing.T) {
	const answerDelay = 900 * time.Millisecond
	sw, callers, ids := establishCalls(t, 2, 24)
	releaseEach(t, sw, callers, ids, func(c *siptest.Peer, m sip.Message) {
		time.AfterFunc(answerDelay, func() { c.Send(m.Response(sip.OK)) })
	})
}

// Guards against a connection blocked for releases because its caller did not answer releases of calls unknown to it.
func TestReleasesOfUnknownCallsDoNotBlockLaterReleases(t *testing.T) {
	sw, callers, ids := establishCalls(t, 1, 6)
	for i := range 3 { // calls of an earlier incarnation of the controller, unknown to the callers
		sw.Send(siptest.Release(fmt.Sprintf("%016x", 0x900+i), 16))
		sw.Expect("200")
	}
	time.Sleep(maxReleaseDelay)
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
func TestReleaseLostOnASilentConnectionReachesCaller(t *testing.T) {
	env := newPlatformNet(t)
	proxy, err := faultproxy.Listen("127.0.0.1:0", env.switches[0].Addr().String(), faultproxy.Shape{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	env.start(1, knownSwitches(proxy.Address()))
	first := env.acceptLink(0)
	time.Sleep(50 * time.Millisecond)
	caller := env.caller()
	const id = "0000000000000100"
	establishCall(caller, first, id)
	go func() { // answers keepalives while they arrive
		for {
			if _, ok := first.Receive(20 * time.Second); !ok {
				return
			}
		}
	}()
	proxy.SilenceOne()
	second := env.acceptLink(0) // opened because the first is silent
	go second.Receive(20 * time.Second)
	first.Send(siptest.Release(id, 16)) // lost on the silent connection of the set-up
	go func() {
		for { // the switch repeats it on its next connection
			c, err := env.switches[0].Accept()
			if err != nil {
				return
			}
			defer c.Close()
			next := siptest.New(t, c)
			next.Send(siptest.Release(id, 16))
			go next.Receive(20 * time.Second)
		}
	}()
	env.switches[0].(*net.TCPListener).SetDeadline(time.Time{})
	if m, ok := caller.Receive(maxReleaseDelayAfterLoss); !ok || m.Method != sip.Bye {
		t.Errorf("the caller received no release within %v: %v %+v", maxReleaseDelayAfterLoss, ok, m)
	}
}

// Guards against calls that are never released when a release and its only repetition are both lost, the latter with the
// switch's connection.
func TestReleaseLostTwiceReachesCallerInTime(t *testing.T) {
	env := newPlatformNet(t)
	proxy, err := faultproxy.Listen("127.0.0.1:0", env.switches[0].Addr().String(), faultproxy.Shape{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	env.start(1, knownSwitches(proxy.Address()))
	first := env.acceptLink(0)
	time.Sleep(50 * time.Millisecond)
	caller := env.caller()
	const id = "0000000000000100"
	establishCall(caller, first, id)
	go first.Receive(20 * time.Second)
	proxy.Silence()
	first.Send(siptest.Release(id, 16)) // lost on the silent connection of the set-up
	env.switches[0].(*net.TCPListener).SetDeadline(time.Now().Add(maxReleaseDelayAfterLoss))
	c, err := env.switches[0].Accept()
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
			later, err := env.switches[0].Accept()
			if err != nil {
				return
			}
			p := siptest.New(t, later)
			p.Send(siptest.LoadReport(50, 50))
			go p.Receive(20 * time.Second)
		}
	}()
	if m, ok := caller.Receive(maxReleaseDelayAfterLoss); !ok || m.Method != sip.Bye {
		t.Errorf("the caller received no release within %v: %v %+v", maxReleaseDelayAfterLoss, ok, m)
	}
}
