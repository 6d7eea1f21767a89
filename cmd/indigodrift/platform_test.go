package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

func onPlatformProgram(file string) *exec.Cmd {
	c := program("platform")
	c.Env = append(c.Env, "GW_CONFIG="+file, "GW_NAME=", "GW_LISTEN=")
	return c
}

// logBuffer collects the output of a process and waits for a text in it.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *lines) wait(t *testing.T, words string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !strings.Contains(l.String(), words); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%q is not in the output: %s", words, l)
		}
	}
}

// An unusable configuration at the start exits with code 2, the file name and the reason. A malformed one on SIGHUP is logged
// and changes nothing. SIGTERM exits with code 0.
func TestPlatformConfigurationDamagedAndSignals(t *testing.T) {
	if out, err := onPlatformProgram(write(t, "config.json", `{"listen":"127.0.0.1:0"}`)).CombinedOutput(); err == nil ||
		err.(*exec.ExitError).ExitCode() != 2 || !strings.Contains(string(out), "config.json") || !strings.Contains(string(out), "board") {
		t.Errorf("%v %s", err, out)
	}
	file := write(t, "config.json", `{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":64,"sockets":256},"board":"127.0.0.1:1",
"known":{"rev":0,"notices":[]},"settings":{"grades":[{"name":"voice","aim":10,"deadline":100,"worth":1}]}}`)
	c, log := onPlatformProgram(file), &lines{}
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	log.wait(t, "in service")
	if err := os.WriteFile(file, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	c.Process.Signal(syscall.SIGHUP)
	log.wait(t, "nothing changes")
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}

// platformNet is the environment of one call controller on loopback: two switches, a notice board and callers.
type platformNet struct {
	t        *testing.T
	listen   string
	switches [2]net.Listener
	board    net.Listener
	asked    chan uint64   // event numbers from which the controller subscribed to the board
	boards   chan net.Conn // the connections of these subscriptions
	log      *lines
	file     string // configuration file
}

func newPlatformNet(t *testing.T) *platformNet {
	open := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
	n := &platformNet{t: t, switches: [2]net.Listener{open(), open()}, board: open(), asked: make(chan uint64, 9), boards: make(chan net.Conn, 9)}
	here := open()
	n.listen = here.Addr().String()
	here.Close() // each controller process listens on this address
	go func() {
		for {
			c, err := n.board.Accept()
			if err != nil {
				return
			}
			var from [8]byte
			if _, err := io.ReadFull(c, from[:]); err != nil {
				continue
			}
			n.asked <- binary.BigEndian.Uint64(from[:])
			n.boards <- c
		}
	}()
	return n
}

// start starts a controller process. known are the board's events in JSON, up to the number rev.
func (n *platformNet) start(rev int, known string) *exec.Cmd {
	n.t.Helper()
	file := write(n.t, "config.json", fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"memory_mb":64,"sockets":256},
"board":%q,"known":{"rev":%d,"notices":[%s]},"settings":{"family_info":{"self_no":0,"shape":"mesh","release_guard":150.0},
"grades":[{"name":"voice","aim":1000.0,"deadline":2000.0,"worth":1.0}],
"policy_limits":{"cancel":true,"dial_timeout":500.0,"max_attempts":4,"retry_after":true,"max_retry_after":2000.0}}}`,
		n.listen, n.board.Addr(), rev, known))
	c := onPlatformProgram(file)
	n.log, n.file = &lines{}, file
	c.Stderr = n.log
	if err := c.Start(); err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Process.Kill() })
	n.log.wait(n.t, "in service")
	return c
}

func (n *platformNet) caller() *siptest.Peer {
	n.t.Helper()
	c, err := net.Dial("tcp", n.listen)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	return siptest.New(n.t, c)
}

// acceptLink accepts the controller's next connection to a switch, and reports the load of the switch on it.
func (n *platformNet) up(sw int) *siptest.Peer {
	n.t.Helper()
	n.switches[sw].(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	c, err := n.switches[sw].Accept()
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	p := siptest.New(n.t, c)
	p.Send(siptest.LoadReport(50, 50))
	return p
}

func (n *platformNet) tell(c net.Conn, number uint64, s board.Switch) {
	n.t.Helper()
	b, err := board.AppendFrame(nil, board.Event{Number: number, Switches: []board.Switch{s}})
	if err != nil {
		n.t.Fatal(err)
	}
	if _, err := c.Write(b); err != nil {
		n.t.Fatal(err)
	}
}

func platformSetUp(id string, dest int, more string) sip.Message {
	return siptest.SetUp(id, "voice", 2000, fmt.Sprintf("dest:%d;width:1;via:-1%s", dest, more), "offer of "+id)
}

// Runs the program against simulated switches, a board and callers: calls of several callers, a switch added by the board, a
// kill with established calls, a new process that adopts them and forwards releases in both directions, a switch drained by
// the board, and an orderly shutdown.
func TestPlatformEndToEndWithAKillAndANextLife(t *testing.T) {
	n := newPlatformNet(t)
	entry := func(id, cell int, address, state string) string {
		return fmt.Sprintf(`{"cell":%d,"hostPort":%q,"instanceId":"s-%08x","lifecycle":%q}`, cell, address, id, state)
	}
	first := `{"rev":1,"pool":{"reset":true,"instances":[` + entry(0xa0, 0, "127.0.0.1:1", "in_service") + "," +
		entry(0xa1, 1, n.switches[0].Addr().String(), "in_service") + `]}}`
	process := n.start(1, first)
	sw := n.up(0)
	if from := <-n.asked; from != 1 {
		t.Errorf("the controller subscribed to the board from event %d", from)
	}
	board1 := <-n.boards
	callers := []*siptest.Peer{n.caller(), n.caller(), n.caller()}
	ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	time.Sleep(50 * time.Millisecond) // the load report of the switch is read
	stands := func(c, far *siptest.Peer, id string, dest int) {
		t.Helper()
		c.Send(platformSetUp(id, dest, ""))
		m := far.Expect(sip.Invite)
		if m.CallID != id || string(m.Body) != "offer of "+id {
			t.Fatalf("the switch received %+v", m)
		}
		far.Answer(m, "answer to "+id)
		far.Expect(sip.Ack)
		if got := c.Expect("200"); got.CallID != id || string(got.Body) != "answer to "+id {
			t.Fatalf("the caller received %+v", got)
		}
	}
	for i, c := range callers {
		stands(c, sw, ids[i], 1)
	}

	other := board.Switch{ID: 0xa2, Cell: 2, Address: n.switches[1].Addr().String()}
	n.tell(board1, 2, other)
	sw2 := n.up(1)
	time.Sleep(50 * time.Millisecond)
	stands(callers[0], sw2, "00000000000000b1", 2)

	process.Process.Kill()
	process.Wait()
	process = n.start(2, first+`,{"rev":2,"pool":{"reset":false,"instances":[`+entry(0xa2, 2, other.Address, "in_service")+`]}}`)
	sw, sw2 = n.up(0), n.up(1)
	if from := <-n.asked; from != 2 {
		t.Errorf("after the kill the controller subscribed to the board from event %d", from)
	}
	board2 := <-n.boards
	c := n.caller()
	c.Send(platformSetUp(ids[0], 1, ";at:s-000000a1"))
	c.Send(platformSetUp(ids[1], 1, ";at:s-000000a1"))
	time.Sleep(50 * time.Millisecond)
	sw.Send(siptest.Release(ids[0], 16)) // from the switch
	sw.Expect("200")
	c.ExpectRelease(ids[0])             // set-ups with the parameter at are not answered
	c.Send(siptest.Release(ids[1], 16)) // from the caller
	c.Expect("200")
	if m := sw.Expect(sip.Bye); m.CallID != ids[1] {
		t.Errorf("the switch received %+v", m)
	}
	sw.Send(siptest.Release(ids[2], 16)) // of a call that no caller has adopted
	sw.Expect("200")
	c.ExpectRelease(ids[2])
	stands(c, sw, "00000000000000c1", 1)

	other.State = board.Draining
	n.tell(board2, 3, other)
	time.Sleep(100 * time.Millisecond)
	c.Send(platformSetUp("00000000000000c2", 2, ""))
	c.Expect("503")
	if m, ok := sw2.Receive(100 * time.Millisecond); ok {
		t.Errorf("the draining switch received %+v", m)
	}

	process.Process.Signal(syscall.SIGTERM)
	n.log.wait(t, "draining")
	late := n.caller()
	stands(late, sw, "00000000000000d1", 1)
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
	if log := n.log.String(); !strings.Contains(log, "unanswered=0") || strings.Contains(log, "fault") {
		t.Error(log)
	}
}

// Sends SIGTERM while the program reads its configuration from a pipe that is still empty.
func TestPlatformIsToldToEndWhileItStarts(t *testing.T) {
	file := t.TempDir() + "/config.json"
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	c, log := onPlatformProgram(file), &lines{}
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // waits for the reader
	if err != nil {
		t.Fatal(err)
	}
	c.Process.Signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	fmt.Fprint(pipe, `{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":64,"sockets":256},"board":"127.0.0.1:1",
"known":{"rev":0,"notices":[]},"settings":{"grades":[{"name":"voice","aim":10,"deadline":100,"worth":1}]}}`)
	pipe.Close()
	if err := c.Wait(); err != nil || !strings.Contains(log.String(), "unanswered=0") {
		t.Error(err, log)
	}
}

// Sends SIGHUP with a new board address, SIGTERM, and both again, while the old board is gone. The controller must connect to the
// new board, answer the calls accepted meanwhile, and shut down in order.
func TestPlatformReloadsAndDrainsAtOnce(t *testing.T) {
	n := newPlatformNet(t)
	next, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	process := n.start(1, fmt.Sprintf(`{"rev":1,"pool":{"reset":true,"instances":[{"cell":1,"hostPort":%q,"instanceId":"s-000000a1","lifecycle":"in_service"}]}}`, n.switches[0].Addr()))
	sw := n.up(0)
	(<-n.boards).Close()
	n.board.Close()
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.file, []byte(strings.Replace(string(text), n.board.Addr().String(), next.Addr().String(), 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	c := n.caller()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		process.Process.Signal(s)
	}
	asked, err := next.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer asked.Close()
	n.log.wait(t, "draining")
	for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
		c.Send(platformSetUp(id, 1, ""))
		m := sw.Expect(sip.Invite)
		sw.Answer(m, "answer")
		sw.Expect(sip.Ack)
		c.Expect("200")
	}
	c.Send(platformSetUp("00000000000000a3", 1, "")) // never answered by the switch
	if m, ok := c.Receive(4 * time.Second); !ok || m.Status < 400 || m.CallID != "00000000000000a3" {
		t.Errorf("the caller received %v %+v", ok, m)
	}
	if err := process.Wait(); err != nil || strings.Count(n.log.String(), "draining") != 1 {
		t.Error(err, n.log)
	}
}
