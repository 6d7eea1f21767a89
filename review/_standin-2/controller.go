package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"indigodrift/internal/board"
)

// settings are those of a small deployment: figures of the example in the wire page, this exchange is number 0.
const settings = `{"callers":{"marks_retry":true},"discovery":"automatic","family":"trunks",
"family_info":{"advice":true,"class_cells":[],"class_width":[1,1],"far_state":"piggyback","holding":[11400.0,13700.0],"release_guard":300.0,"retransmit":0.0,"retry_hint":true,"self_no":0,"shape":"mesh"},
"flavors":["single-core"],
"grades":[{"aim":1200.0,"deadline":9000.0,"effect":"repeatable","key_scope":"all","late_worth":0.1,"name":"ride-status","stream":true,"window":5000.0,"worth":1.0},
{"aim":1500.0,"deadline":9000.0,"effect":"repeatable","key_scope":"all","late_worth":0.25,"name":"ride-slot","stream":true,"window":5000.0,"worth":2.0}],
"load_report":{"names":["free","size","hold_back","avg_ms"],"source":"piggyback"},"locality":0,"me":0,
"policy_limits":{"cancel":true,"conn_idle":600000.0,"cpu_us_per_request":0.0,"cpu_us_per_s":300000,"dial_timeout":500.0,"max_attempts":4,"max_open":20000,"max_retry_after":2000.0,"may_tell":false,"probes":false,"retry_after":true,"second_copies":false,"streams_per_conn":1048576},
"quantum":5.0,"replicas_of_me":6,
"rules":{"answer_slack":20.0,"ask_within":10000.0,"cold_from":0.28,"ramp_time":14000.0,"stop_sending_within":250.0,"tip_after":1500.0,"tip_multiple":3.0},
"tenants":[],"tier":0,"tiers":["desk-fleet"],"weights":"silent","worth_by":"request","zones":["riga"]}`

// className is the bearer type of all calls here.
const className = "ride-status"

// controller is one call controller.
type controller struct {
	run    *run
	name   string
	listen string
	board  *noticeBoard
	lives  int
	cmd    *exec.Cmd
	exited chan struct{}
}

// newController reserves an address for a call controller and starts it.
func (r *run) newController(name string, b *noticeBoard) *controller {
	c := &controller{run: r, name: name, listen: r.freeAddress(), board: b}
	c.startUp()
	return c
}

// freeAddress returns a loopback address with a free port, below those that the system gives to connections.
func (r *run) freeAddress() string {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if ln, err := net.Listen("tcp4", address); err == nil {
			ln.Close()
			return address
		}
	}
	r.giveUp("no free port")
	return ""
}

// runCommand returns the line "run" of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no line run")
}

// startUp starts the process and waits until it passes a test.
func (c *controller) startUp() {
	r := c.run
	c.lives++
	path := filepath.Join(r.dir, c.name+".json")
	config := map[string]any{"name": c.name, "listen": c.listen, "seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(c.lives)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
		"board":  c.board.address(), "known": c.board.known(), "settings": json.RawMessage(settings)}
	text, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	command, commandErr := runCommand()
	if err != nil || commandErr != nil {
		r.giveUp("configuration: %v %v", err, commandErr)
	}
	log, err := os.OpenFile(filepath.Join(r.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.giveUp("%v", err)
	}
	defer log.Close()
	temp := filepath.Join(r.dir, fmt.Sprintf("%s-%d", c.name, c.lives))
	if err := os.Mkdir(temp, 0o700); err != nil {
		r.giveUp("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME="+c.name, "GW_LISTEN="+c.listen, "TMPDIR="+temp)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		r.giveUp("start: %v", err)
	}
	exited := make(chan struct{})
	r.mu.Lock()
	if c.cmd, c.exited = cmd, exited; !slices.Contains(r.ctl, c) {
		r.ctl = append(r.ctl, c)
	}
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.note("controller %s: process %d has ended: %v", c.name, cmd.Process.Pid, err)
		close(exited)
	}()
	r.note("controller %s: process %d started", c.name, cmd.Process.Pid)
	if !r.wait(r.since()+10*time.Second, c.passesTest) {
		c.showLog(5)
		r.giveUp("controller %s is not ready within 10 s", c.name)
	}
	r.note("controller %s: ready", c.name)
}

// passesTest reports whether the process answers a test.
func (c *controller) passesTest() bool {
	conn, err := net.DialTimeout("tcp4", c.listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(500 * time.Millisecond))                                                                                               //nolint:errcheck // the read fails
	fmt.Fprint(conn, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // the read fails
	answer := make([]byte, 12)
	n, _ := conn.Read(answer)
	return string(answer[:n]) == "SIP/2.0 200 "
}

// kill kills the process outright and waits for its end.
func (c *controller) kill() {
	c.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended
	<-c.exited
}

// showLog copies the last lines of the controller's log to the record.
func (c *controller) showLog(lines int) {
	text, _ := os.ReadFile(filepath.Join(c.run.dir, c.name+".log"))
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range all[max(0, len(all)-lines):] {
		c.run.note("log of %s: %s", c.name, line)
	}
}

var lifecycles = map[board.State]string{board.Ready: "in_service", board.Draining: "terminating", board.Gone: "terminated"}
