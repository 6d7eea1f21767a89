package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

const (
	floodClients  = 4
	floodDuration = 2 * time.Second
	floodMemoryMB = 32       // the smallest limit that the platform sets
	floodBatch    = 32 << 10 // octets written at once
	answerLimit   = 2 * time.Second
)

// flood is what bad clients send at full speed, while they read what they are sent.
type flood struct {
	name     string
	messages func(id string) []sip.Message // that one client sends next
	once     bool                          // each connection sends this once and is closed by the controller
}

func longField(m sip.Message, octets int) sip.Message {
	m.Fields = append(m.Fields, sip.Field{Name: "X-Padding", Value: strings.Repeat("x", octets)})
	return m
}

func floodSetUp(id string, expiresMS, dest int, parameters, body string) sip.Message {
	return siptest.SetUp(id, "voice", expiresMS, fmt.Sprintf("dest:%d;width:1;via:-1%s", dest, parameters), body)
}

var floods = []flood{
	{name: "set-ups that are turned away, with a long time to live", messages: func(id string) []sip.Message {
		return []sip.Message{floodSetUp(id, 3_600_000, 900, "", "offer")}
	}},
	{name: "set-ups that are turned away, with long headers", messages: func(id string) []sip.Message {
		return []sip.Message{longField(floodSetUp(id, 1000, 900, "", "offer"), 14<<10)}
	}},
	{name: "set-ups to ever new destinations", messages: func(id string) []sip.Message {
		n, _ := strconv.ParseUint(id, 16, 64)
		return []sip.Message{floodSetUp(id, 1000, int(n%60000), "", "offer")}
	}},
	{name: "set-ups that are cancelled at once", messages: func(id string) []sip.Message {
		m := floodSetUp(id, 1000, 1, "", "offer")
		cancel := sip.Message{Method: sip.Cancel, URI: m.URI, CallID: id, CSeq: 1}
		return []sip.Message{m, cancel}
	}},
	{name: "set-ups with long descriptions", messages: func(id string) []sip.Message {
		return []sip.Message{floodSetUp(id, 1000, 1, "", strings.Repeat("x", 15<<10))}
	}},
	{name: "announcements at an unlisted switch", messages: func(id string) []sip.Message {
		return []sip.Message{floodSetUp(id, 1000, 1, ";at:s-0badcafe", "")}
	}},
	{name: "announcements at a listed switch", messages: func(id string) []sip.Message {
		return []sip.Message{floodSetUp(id, 1000, 1, ";at:s-000000a1", "")}
	}},
	{name: "announcements at a listed switch, released at once", messages: func(id string) []sip.Message {
		return []sip.Message{floodSetUp(id, 1000, 1, ";at:s-000000a1", ""), siptest.Release(id, 16)}
	}},
	{name: "releases and cancels of unknown calls", messages: func(id string) []sip.Message {
		return []sip.Message{siptest.Release(id, 16), {Method: sip.Cancel, URI: "sip:x@net", CallID: id, CSeq: 1}}
	}},
	{name: "tests", messages: func(id string) []sip.Message {
		return []sip.Message{{Method: sip.Options, URI: "sip:ping@net", CallID: id, CSeq: 1}}
	}},
	{name: "a set-up and an unreadable message, then a new connection", once: true, messages: func(id string) []sip.Message {
		return []sip.Message{floodSetUp(id, 1000, 1, "", "offer"), {Method: "IN VITE", URI: "sip:x@net", CallID: id}}
	}},
}

// Guards against clients that bring the controller over its memory limit or make it close the connections of others, whatever
// they send at full speed.
func TestFloodsHarmNoOtherCaller(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			env, process := startUnderFlood(t, defaultSockets)
			env.checkUnderFlood(process, floodClients, func(n int, sent *atomic.Uint64, stop <-chan struct{}) { f.run(env.listen, uint64(n+1)<<32, sent, stop) })
		})
	}
}

// startUnderFlood starts a controller with the smallest memory, and a switch that answers its set-ups.
func startUnderFlood(t *testing.T, sockets int) (*platformNet, *exec.Cmd) {
	env := newPlatformNet(t)
	env.memoryMB, env.sockets = floodMemoryMB, sockets
	process := env.start(1, knownSwitches(env.switches[0].Addr().String()))
	go answerSetUps(env.switches[0])
	time.Sleep(100 * time.Millisecond) // the load report of the switch is read
	return env, process
}

// switchFloods are what a faulty switch sends at full speed on its connection.
var switchFloods = []flood{
	{name: "releases of unknown calls", messages: func(id string) []sip.Message { return []sip.Message{siptest.Release(id, 16)} }},
	{name: "answers to unknown calls", messages: func(id string) []sip.Message {
		return []sip.Message{{Status: sip.OK, CallID: id, CSeq: 1, CSeqMethod: sip.Invite, Body: make([]byte, 15<<10)}}
	}},
	{name: "reports of its load", messages: func(string) []sip.Message { return []sip.Message{siptest.LoadReport(50, 50)} }},
	{name: "tests", messages: func(id string) []sip.Message {
		return []sip.Message{{Method: sip.Options, URI: "sip:ping@net", CallID: id, CSeq: 1}}
	}},
}

// Guards against a switch that brings the controller over its memory limit or makes it close the connections of callers.
func TestFloodsOfASwitchHarmNoCaller(t *testing.T) {
	for _, f := range switchFloods {
		t.Run(f.name, func(t *testing.T) {
			env := newPlatformNet(t)
			env.memoryMB = floodMemoryMB
			process := env.start(1, fmt.Sprintf(`{"rev":1,"pool":{"reset":true,"instances":[{"cell":1,"hostPort":%q,"instanceId":"s-000000a1","lifecycle":"in_service"},
{"cell":2,"hostPort":%q,"instanceId":"s-000000a2","lifecycle":"in_service"}]}}`, env.switches[0].Addr(), env.switches[1].Addr()))
			go answerSetUps(env.switches[0])
			conn, err := env.switches[1].Accept()
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // the load report of the other switch is read
			env.checkUnderFlood(process, 1, func(_ int, sent *atomic.Uint64, stop <-chan struct{}) { f.runOn(conn, 1<<32, sent, stop) })
		})
	}
}

// checkUnderFlood runs flooders, and fails the test if the controller exceeds its memory limit meanwhile or does not answer
// the calls of a usual caller.
func (n *platformNet) checkUnderFlood(process *exec.Cmd, flooders int, flood func(n int, sent *atomic.Uint64, stop <-chan struct{})) {
	n.t.Helper()
	stop := make(chan struct{})
	var flooding sync.WaitGroup
	var sent atomic.Uint64
	for i := range flooders {
		flooding.Go(func() { flood(i, &sent, stop) })
	}
	peakKB := &atomic.Int64{}
	go samplePeak(process, peakKB, stop)
	calls := placeCalls(n.t, n.caller(), floodDuration)
	close(stop)
	flooding.Wait()
	if peakKB.Load() > int64(n.memoryMB)<<10 {
		n.t.Errorf("%d KiB of %d KiB used", peakKB.Load(), n.memoryMB<<10)
	}
	n.t.Logf("%d messages of the flood, %d usual calls, %d KiB", sent.Load(), calls, peakKB.Load())
}

// placeCalls places one call after the other and fails the test if one is not answered in time. It returns their number.
func placeCalls(t *testing.T, caller *siptest.Peer, duration time.Duration) (calls int) {
	for end := time.Now().Add(duration); time.Now().Before(end); calls++ {
		id := fmt.Sprintf("%016x", 0xca110000+calls)
		caller.Send(platformSetUp(id, 1, ""))
		for deadline := time.Now().Add(answerLimit); ; {
			m, ok := caller.Receive(time.Until(deadline))
			if !ok {
				t.Errorf("call %s, after %d others: no answer, or the connection was closed", id, calls)
				return calls
			}
			if m.CSeqMethod == sip.Invite && m.CallID == id {
				caller.Send(sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: id, CSeq: 1})
				break
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return calls
}

// answerSetUps answers the set-ups on all connections to a switch.
func answerSetUps(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			report := siptest.LoadReport(1000, 1000)
			conn.Write(sip.Append(nil, &report))
			for reader := sip.NewReader(conn); ; {
				m, err := reader.Read()
				if err != nil {
					return
				}
				if m.Method != sip.Invite && m.Method != sip.Options {
					continue
				}
				answer := m.Response(sip.OK)
				if m.Method == sip.Invite {
					answer.Body = []byte("answer")
				}
				conn.Write(sip.Append(nil, &answer))
			}
		}()
	}
}

// run sends messages, with ids from first on, until stop is closed.
func (f *flood) run(address string, first uint64, sent *atomic.Uint64, stop <-chan struct{}) {
	next := first
	connectAgainAndAgain(address, stop, func(conn net.Conn) { next = f.runOn(conn, next, sent, stop) })
}

// connectAgainAndAgain runs a client on one connection after the other until stop is closed.
func connectAgainAndAgain(address string, stop <-chan struct{}, run func(net.Conn)) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			run(conn)
		}
	}
}

// discardInput reads a connection and discards what comes. closed is closed at its end; finish ends it.
func discardInput(conn net.Conn) (closed <-chan struct{}, finish func()) {
	ended := make(chan struct{})
	go func() {
		io.Copy(io.Discard, conn)
		close(ended)
	}()
	return ended, func() {
		conn.Close()
		<-ended
	}
}

// runOn sends messages on one connection until it ends or stop is closed, and returns the next id.
func (f *flood) runOn(conn net.Conn, next uint64, sent *atomic.Uint64, stop <-chan struct{}) uint64 {
	closed, finish := discardInput(conn)
	defer finish()
	var batch []byte
	for {
		select {
		case <-stop:
			return next
		case <-closed:
			return next
		default:
		}
		for batch = batch[:0]; len(batch) < floodBatch; {
			for _, m := range f.messages(fmt.Sprintf("%016x", next)) {
				batch = sip.Append(batch, &m)
				sent.Add(1)
			}
			if next++; f.once {
				break
			}
		}
		conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write(batch); err != nil {
			return next
		}
		if f.once {
			select {
			case <-closed:
			case <-stop:
			}
		}
	}
}

// samplePeak records the greatest anonymous memory of a process until stop is closed.
func samplePeak(process *exec.Cmd, peakKB *atomic.Int64, stop <-chan struct{}) {
	path := fmt.Sprintf("/proc/%d/status", process.Process.Pid)
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), "RssAnon:")
		if fields := strings.Fields(rest); len(fields) > 0 {
			kb, _ := strconv.ParseInt(fields[0], 10, 64)
			peakKB.Store(max(peakKB.Load(), kb))
		}
	}
}
