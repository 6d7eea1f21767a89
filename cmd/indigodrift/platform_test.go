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

func platformProgram(file string) *exec.Cmd {
	cmd := programCommand("platform")
	cmd.Env = append(cmd.Env, "GW_CONFIG="+file, "GW_NAME=", "GW_LISTEN=")
	return cmd
}

// logBuffer collects the output of a process and waits for a text in it.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logBuffer) waitFor(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(l.String(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%q is not in the output: %s", text, l)
		}
	}
}

// An unusable configuration at the start exits with code 2, the file name and the reason. A malformed one on SIGHUP is logged
// and changes nothing. SIGTERM exits with code 0.
func TestPlatformInvalidConfigurationAndSignals(t *testing.T) {
	if out, err := platformProgram(writeFile(t, "config.json", `{"listen":"127.0.0.1:0"}`)).CombinedOutput(); err == nil ||
		err.(*exec.ExitError).ExitCode() != 2 || !strings.Contains(string(out), "config.json") || !strings.Contains(string(out), "board") {
		t.Errorf("%v %s", err, out)
	}
	file := writeFile(t, "config.json", `{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":64,"sockets":256},"board":"127.0.0.1:1",
"known":{"rev":0,"notices":[]},"settings":{"grades":[{"name":"voice","aim":10,"deadline":100,"worth":1}]}}`)
	cmd, log := platformProgram(file), &logBuffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	log.waitFor(t, "in service")
	if err := os.WriteFile(file, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	log.waitFor(t, "nothing changes")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// defaultSockets is the limit of descriptors of a controller where a test sets no other.
const defaultSockets = 256

// platformNet is the environment of one call controller on loopback: two switches, a notice board and callers.
type platformNet struct {
	t             *testing.T
	listen        string
	switches      [2]net.Listener
	board         net.Listener
	subscriptions chan uint64   // event numbers from which the controller subscribed to the board
	boardConns    chan net.Conn // the connections of these subscriptions
	log           *logBuffer
	configFile    string
	memoryMB      int // limits of the controller
	sockets       int
}

func newPlatformNet(t *testing.T) *platformNet {
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
	n := &platformNet{t: t, switches: [2]net.Listener{listen(), listen()}, board: listen(), subscriptions: make(chan uint64, 9), boardConns: make(chan net.Conn, 9), memoryMB: 64, sockets: defaultSockets}
	reserved := listen()
	n.listen = reserved.Addr().String()
	reserved.Close() // each incarnation of the controller listens on this address
	go func() {
		for {
			conn, err := n.board.Accept()
			if err != nil {
				return
			}
			var number [8]byte
			if _, err := io.ReadFull(conn, number[:]); err != nil {
				continue
			}
			n.subscriptions <- binary.BigEndian.Uint64(number[:])
			n.boardConns <- conn
		}
	}()
	return n
}

// start starts a controller process. known are the board's events in JSON, up to the number rev.
func (n *platformNet) start(rev int, known string) *exec.Cmd {
	n.t.Helper()
	file := writeFile(n.t, "config.json", fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","limits":{"memory_mb":%d,"sockets":%d},
"board":%q,"known":{"rev":%d,"notices":[%s]},"settings":{"family_info":{"self_no":0,"shape":"mesh","release_guard":150.0},
"grades":[{"name":"voice","aim":1000.0,"deadline":2000.0,"worth":1.0}],
"policy_limits":{"cancel":true,"dial_timeout":500.0,"max_attempts":4,"retry_after":true,"max_retry_after":2000.0}}}`,
		n.listen, n.memoryMB, n.sockets, n.board.Addr(), rev, known))
	cmd := platformProgram(file)
	n.log, n.configFile = &logBuffer{}, file
	cmd.Stderr = n.log
	if err := cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { cmd.Process.Kill() })
	n.log.waitFor(n.t, "in service")
	return cmd
}

func (n *platformNet) caller() *siptest.Peer {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.listen)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { conn.Close() })
	return siptest.New(n.t, conn)
}

// acceptLink accepts the controller's next connection to a switch, and reports the load of the switch on it.
func (n *platformNet) acceptLink(sw int) *siptest.Peer {
	n.t.Helper()
	n.switches[sw].(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	conn, err := n.switches[sw].Accept()
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { conn.Close() })
	peer := siptest.New(n.t, conn)
	peer.Send(siptest.LoadReport(50, 50))
	return peer
}

func (n *platformNet) publish(conn net.Conn, number uint64, sw board.Switch) {
	n.t.Helper()
	frame, err := board.AppendFrame(nil, board.Event{Number: number, Switches: []board.Switch{sw}})
	if err != nil {
		n.t.Fatal(err)
	}
	if _, err := conn.Write(frame); err != nil {
		n.t.Fatal(err)
	}
}

func platformSetUp(id string, dest int, parameters string) sip.Message {
	return siptest.SetUp(id, "voice", 2000, fmt.Sprintf("dest:%d;width:1;via:-1%s", dest, parameters), "offer of "+id)
}

// Runs the program against simulated switches, a board and callers: calls of several callers, a switch added by the board, a
// kill with established calls, a new incarnation that adopts them and forwards releases in both directions, a switch drained by
// the board, and an orderly shutdown.
func TestPlatformEndToEndWithRestartAfterKill(t *testing.T) {
	env := newPlatformNet(t)
	instance := func(id, cell int, address, lifecycle string) string {
		return fmt.Sprintf(`{"cell":%d,"hostPort":%q,"instanceId":"s-%08x","lifecycle":%q}`, cell, address, id, lifecycle)
	}
	first := `{"rev":1,"pool":{"reset":true,"instances":[` + instance(0xa0, 0, "127.0.0.1:1", "in_service") + "," +
		instance(0xa1, 1, env.switches[0].Addr().String(), "in_service") + `]}}`
	process := env.start(1, first)
	sw := env.acceptLink(0)
	if from := <-env.subscriptions; from != 1 {
		t.Errorf("the controller subscribed to the board from event %d", from)
	}
	boardConn := <-env.boardConns
	callers := []*siptest.Peer{env.caller(), env.caller(), env.caller()}
	ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	time.Sleep(50 * time.Millisecond) // the load report of the switch is read
	establish := func(caller, remote *siptest.Peer, id string, dest int) {
		t.Helper()
		caller.Send(platformSetUp(id, dest, ""))
		m := remote.Expect(sip.Invite)
		if m.CallID != id || string(m.Body) != "offer of "+id {
			t.Fatalf("the switch received %+v", m)
		}
		remote.Answer(m, "answer to "+id)
		remote.Expect(sip.Ack)
		if got := caller.Expect("200"); got.CallID != id || string(got.Body) != "answer to "+id {
			t.Fatalf("the caller received %+v", got)
		}
	}
	for i, caller := range callers {
		establish(caller, sw, ids[i], 1)
	}

	added := board.Switch{ID: 0xa2, Exchange: 2, Address: env.switches[1].Addr().String()}
	env.publish(boardConn, 2, added)
	sw2 := env.acceptLink(1)
	time.Sleep(50 * time.Millisecond)
	establish(callers[0], sw2, "00000000000000b1", 2)

	process.Process.Kill()
	process.Wait()
	process = env.start(2, first+`,{"rev":2,"pool":{"reset":false,"instances":[`+instance(0xa2, 2, added.Address, "in_service")+`]}}`)
	sw, sw2 = env.acceptLink(0), env.acceptLink(1)
	if from := <-env.subscriptions; from != 2 {
		t.Errorf("after the kill the controller subscribed to the board from event %d", from)
	}
	nextBoardConn := <-env.boardConns
	caller := env.caller()
	caller.Send(platformSetUp(ids[0], 1, ";at:s-000000a1"))
	caller.Send(platformSetUp(ids[1], 1, ";at:s-000000a1"))
	time.Sleep(50 * time.Millisecond)
	sw.Send(siptest.Release(ids[0], 16)) // from the switch
	sw.Expect("200")
	caller.ExpectRelease(ids[0])             // set-ups with the parameter at are not answered
	caller.Send(siptest.Release(ids[1], 16)) // from the caller
	caller.Expect("200")
	if m := sw.Expect(sip.Bye); m.CallID != ids[1] {
		t.Errorf("the switch received %+v", m)
	}
	sw.Send(siptest.Release(ids[2], 16)) // of a call that no caller has adopted
	sw.Expect("200")
	caller.ExpectRelease(ids[2])
	establish(caller, sw, "00000000000000c1", 1)

	added.State = board.Draining
	env.publish(nextBoardConn, 3, added)
	time.Sleep(100 * time.Millisecond)
	caller.Send(platformSetUp("00000000000000c2", 2, ""))
	caller.Expect("503")
	if m, ok := sw2.Receive(100 * time.Millisecond); ok {
		t.Errorf("the draining switch received %+v", m)
	}

	process.Process.Signal(syscall.SIGTERM)
	env.log.waitFor(t, "draining")
	lateCaller := env.caller()
	establish(lateCaller, sw, "00000000000000d1", 1)
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
	if log := env.log.String(); !strings.Contains(log, "unanswered=0") || strings.Contains(log, "fault") {
		t.Error(log)
	}
}

// Sends SIGTERM while the program reads its configuration from a pipe that is still empty.
func TestPlatformTerminatedDuringStart(t *testing.T) {
	file := t.TempDir() + "/config.json"
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := platformProgram(file), &logBuffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // waits for the reader
	if err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	fmt.Fprint(pipe, `{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":64,"sockets":256},"board":"127.0.0.1:1",
"known":{"rev":0,"notices":[]},"settings":{"grades":[{"name":"voice","aim":10,"deadline":100,"worth":1}]}}`)
	pipe.Close()
	if err := cmd.Wait(); err != nil || !strings.Contains(log.String(), "unanswered=0") {
		t.Error(err, log)
	}
}

// Sends SIGHUP with a new board address, SIGTERM, and both again, while the old board is gone. The controller must connect to the
// new board, answer the calls accepted meanwhile, and shut down in order.
func TestPlatformReloadsAndDrainsTogether(t *testing.T) {
	env := newPlatformNet(t)
	newBoard, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer newBoard.Close()
	process := env.start(1, fmt.Sprintf(`{"rev":1,"pool":{"reset":true,"instances":[{"cell":1,"hostPort":%q,"instanceId":"s-000000a1","lifecycle":"in_service"}]}}`, env.switches[0].Addr()))
	sw := env.acceptLink(0)
	sw.Send(sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
	sw.Expect("200") // the load report before it has been read: without one a set-up is refused
	(<-env.boardConns).Close()
	env.board.Close()
	config, err := os.ReadFile(env.configFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(env.configFile, []byte(strings.Replace(string(config), env.board.Addr().String(), newBoard.Addr().String(), 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	caller := env.caller()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		process.Process.Signal(s)
	}
	boardConn, err := newBoard.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer boardConn.Close()
	env.log.waitFor(t, "draining")
	for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
		caller.Send(platformSetUp(id, 1, ""))
		m := sw.Expect(sip.Invite)
		sw.Answer(m, "answer")
		sw.Expect(sip.Ack)
		caller.Expect("200")
	}
	caller.Send(platformSetUp("00000000000000a3", 1, "")) // never answered by the switch
	if m, ok := caller.Receive(4 * time.Second); !ok || m.Status < 400 || m.CallID != "00000000000000a3" {
		t.Errorf("the caller received %v %+v", ok, m)
	}
	if err := process.Wait(); err != nil || strings.Count(env.log.String(), "draining") != 1 {
		t.Error(err, env.log)
	}
}
