package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// listenLoopback listens on a free port of a loopback address.
func listenLoopback() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return ln
}

// cannotRun ends the case with 2.
func cannotRun(format string, a ...any) {
	fmt.Printf("the case couldn't run: "+format+"\n", a...)
	endAll()
	os.Exit(2)
}

// entry is a switch in the list of the notice board.
type entry struct {
	id        uint32
	addr      string
	state     int // 0 ready, 1 draining, 2 gone
	cell      int
	startedMS int64
}

// board is the notice board of one call controller.
type board struct {
	ln     net.Listener
	mu     sync.Mutex
	events [][]entry // event n is events[n-1]; the first holds the whole list
	known  int       // events of the start
	more   chan struct{}
}

func newBoard(list []entry) *board {
	b := &board{ln: listenLoopback(), events: [][]entry{list}, known: 1, more: make(chan struct{})}
	go func() {
		for {
			c, err := b.ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// publish puts changes into the notice board.
func (b *board) publish(changes ...entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, changes)
	close(b.more)
	b.more = make(chan struct{})
}

func (b *board) serve(c net.Conn) {
	defer c.Close()
	var last [8]byte
	if _, err := io.ReadFull(c, last[:]); err != nil {
		return
	}
	n := int(binary.BigEndian.Uint64(last[:]))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		b.mu.Lock()
		var out []byte
		for ; n < len(b.events); n++ {
			out = append(out, frame(uint64(n+1), n == 0, b.events[n])...)
		}
		more := b.more
		b.mu.Unlock()
		if len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return
			}
		}
		select {
		case <-more:
		case <-tick.C:
			if _, err := c.Write(frame(uint64(n), false, nil)); err != nil {
				return
			}
		}
	}
}

// frame returns the frame of an event, the empty one if there are no entries.
func frame(number uint64, whole bool, list []entry) []byte {
	kind := byte(2)
	if whole {
		kind = 1
	}
	if list == nil {
		kind = 0
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(list)))
	out = binary.BigEndian.AppendUint64(out, number)
	out = append(out, kind)
	for _, e := range list {
		host, port, _ := net.SplitHostPort(e.addr)
		p, _ := strconv.Atoi(port)
		out = binary.BigEndian.AppendUint32(out, e.id)
		out = append(out, net.ParseIP(host).To4()...)
		out = binary.BigEndian.AppendUint16(out, uint16(p))
		out = append(out, byte(e.state), 0, 0)
		out = binary.BigEndian.AppendUint16(out, uint16(e.cell))
		out = binary.BigEndian.AppendUint32(out, 1000)
		out = binary.BigEndian.AppendUint64(out, uint64(e.startedMS))
	}
	return out
}

// knownJSON returns the events so far, as the configuration holds them.
func (b *board) knownJSON() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := []string{"in_service", "terminating", "terminated"}
	notices := []any{}
	for i, list := range b.events {
		instances := []any{}
		for _, e := range list {
			instances = append(instances, map[string]any{"instanceId": fmt.Sprintf("s-%08x", e.id), "hostPort": e.addr, "zone": "riga",
				"machineType": "single-core", "cell": e.cell, "lifecycle": states[e.state], "weight": 1, "startedAtMs": e.startedMS})
		}
		notices = append(notices, map[string]any{"rev": i + 1, "pool": map[string]any{"generation": i + 1, "reset": i == 0, "instances": instances}})
	}
	return map[string]any{"rev": len(b.events), "notices": notices}
}

// limits are what the platform grants a call controller.
type limits struct {
	memoryMB, sockets int
}

// controller is a call controller, started as the platform starts it.
type controller struct {
	rec     *record
	dir     string
	listen  string
	board   *board
	limits  limits
	cmd     *exec.Cmd
	exited  chan struct{}
	ending  atomic.Bool // the platform has asked for the end
	overMB  atomic.Int64
	peakKB  atomic.Int64
	settles string
	starts  int
}

var (
	runningMu sync.Mutex
	running   = map[int]struct{}{}
)

// endAll ends every process that was started, by its id.
func endAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for pid := range running {
		syscall.Kill(pid, syscall.SIGKILL)
	}
}

func newController(rec *record, dir string, b *board, l limits, settings string) *controller {
	ln := listenLoopback()
	addr := ln.Addr().String()
	ln.Close()
	return &controller{rec: rec, dir: dir, listen: addr, board: b, limits: l, settles: settings}
}

// writeConfig replaces the configuration.
func (c *controller) writeConfig() string {
	path := filepath.Join(c.dir, "n0.json")
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": c.listen, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", c.starts), "board": c.board.ln.Addr().String(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.limits.memoryMB, "sockets": c.limits.sockets},
		"known":  c.board.knownJSON(), "settings": json.RawMessage(c.settles)})
	if err == nil {
		err = os.WriteFile(path+".next", text, 0o644)
	}
	if err == nil {
		err = os.Rename(path+".next", path)
	}
	if err != nil {
		cannotRun("configuration: %v", err)
	}
	return path
}

// start starts the process by the line `run` of the deploy file and waits until it passes a test.
func (c *controller) start() {
	c.starts++
	path := c.writeConfig()
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	run := ""
	for _, line := range strings.Split(string(deploy), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			run, _ = strconv.Unquote(strings.TrimSpace(rest))
		}
	}
	logFile, err := os.OpenFile(filepath.Join(c.dir, "n0.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	defer logFile.Close()
	tmp := filepath.Join(c.dir, fmt.Sprintf("tmp%d", c.starts))
	os.MkdirAll(tmp, 0o755)
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=n0", "GW_LISTEN="+c.listen, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	runningMu.Lock()
	running[cmd.Process.Pid] = struct{}{}
	runningMu.Unlock()
	exited := make(chan struct{})
	c.cmd, c.exited = cmd, exited
	c.ending.Store(false)
	go func() {
		err := cmd.Wait()
		runningMu.Lock()
		delete(running, cmd.Process.Pid)
		runningMu.Unlock()
		c.rec.add("controller ended: %v", err)
		close(exited)
	}()
	go c.watchMemory(cmd.Process.Pid, exited)
	for range 1000 {
		if c.test() {
			c.rec.add("controller ready: memory_mb %d, sockets %d", c.limits.memoryMB, c.limits.sockets)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	cannotRun("the controller did not get ready")
}

// test reports whether the controller passes a test.
func (c *controller) test() bool {
	conn, err := net.DialTimeout("tcp", c.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	w := &wire{c: conn}
	conn.SetDeadline(time.Now().Add(time.Second))
	w.send(&msg{method: "OPTIONS", uri: "sip:ping@net", callID: "1", cseq: 1})
	m, err := readMsg(newReader(conn))
	return err == nil && m.status == 200
}

// watchMemory kills the process when it is over its limit, as the platform does. Only anonymous memory is counted, so the
// pages of the program file, which a machine may take back, don't count.
func (c *controller) watchMemory(pid int, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		kb := statusKB(pid, "RssAnon:")
		if int64(kb) > c.peakKB.Load() {
			c.peakKB.Store(int64(kb))
		}
		if kb > c.limits.memoryMB<<10 && c.overMB.CompareAndSwap(0, int64(kb>>10)) {
			c.rec.add("controller over its memory limit: %d KiB anonymous memory, limit %d KiB: the platform kills it", kb, c.limits.memoryMB<<10)
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}

// statusKB returns a value of /proc/PID/status.
func statusKB(pid int, name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

func (c *controller) alive() bool {
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

// end ends the process, and kills it when it is still there after 5 s.
func (c *controller) end() {
	if !c.alive() {
		return
	}
	c.ending.Store(true)
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.exited:
	case <-time.After(5 * time.Second):
		c.cmd.Process.Kill()
		<-c.exited
	}
}
