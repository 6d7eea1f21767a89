package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

// unreadSetUps is how many set-ups a client writes before it closes its connection. They fit into the buffer of the receiving
// socket: the end of a connection arrives behind the octets before it, so it is not there while some of these are not.
const unreadSetUps = 150

// setUpCounter is a switch that counts the set-ups of each id and answers them.
type setUpCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *setUpCounter) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go c.serveConn(conn)
	}
}

func (c *setUpCounter) serveConn(conn net.Conn) {
	defer conn.Close()
	report := siptest.LoadReport(60000, 60000)
	conn.Write(sip.Append(nil, &report))
	for reader := sip.NewReader(conn); ; {
		m, err := reader.Read()
		if err != nil {
			return
		}
		switch m.Method {
		case sip.Invite:
			c.mu.Lock()
			c.counts[m.CallID]++
			c.mu.Unlock()
		case sip.Options:
		default:
			continue
		}
		answer := m.Response(sip.OK)
		conn.Write(sip.Append(nil, &answer))
	}
}

// total returns the number of set-ups, and of ids that came more than once.
func (c *setUpCounter) total() (setUps, repeated int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.counts {
		setUps += count
		if count > 1 {
			repeated++
		}
	}
	return setUps, repeated
}

func unreadID(n int) string { return fmt.Sprintf("%016x", 0xc1050000+n) }

// Guards against requests that are sent on although their client closed its connection before they were read, and against ids
// that run twice when they come again.
func TestRequestsOfAClosedConnectionAreNotSentOn(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half close": (*net.TCPConn).CloseWrite,
		"reset":      func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			env := newPlatformNet(t)
			process := env.start(1, knownSwitches(env.switches[0].Addr().String()))
			counter := &setUpCounter{counts: map[string]int{}}
			go counter.serve(env.switches[0])
			time.Sleep(100 * time.Millisecond) // the load report of the switch is read
			conn, err := net.Dial("tcp", env.listen)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // it is accepted
			process.Process.Signal(syscall.SIGSTOP)
			var text []byte
			for n := range unreadSetUps {
				m := floodSetUp(unreadID(n), 2000, 1, "", "offer")
				text = sip.Append(text, &m)
			}
			if _, err := conn.Write(text); err != nil {
				t.Fatal(err)
			}
			if err := end(conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			process.Process.Signal(syscall.SIGCONT)
			time.Sleep(500 * time.Millisecond)
			if setUps, _ := counter.total(); setUps > 0 {
				t.Errorf("%d of %d set-ups were sent on after the end of their connection", setUps, unreadSetUps)
			}
			again := env.caller()
			go discard(again)
			for n := range unreadSetUps {
				again.Send(floodSetUp(unreadID(n), 2000, 1, "", "offer"))
			}
			time.Sleep(500 * time.Millisecond)
			setUps, repeated := counter.total()
			if repeated > 0 {
				t.Errorf("%d ids were sent on twice", repeated)
			}
			t.Logf("%d of %d set-ups were sent on when they came again, %d twice", setUps, unreadSetUps, repeated)
			conn.Close()
		})
	}
}

func discard(peer *siptest.Peer) {
	for ok := true; ok; {
		_, ok = peer.Receive(2 * time.Second)
	}
}
