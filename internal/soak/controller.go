package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// Limits of each controller process.
const (
	memoryMB    = 64
	descriptors = 384

	readyWithin = 10 * time.Second
	readyAsk    = 10 * time.Millisecond
	sampleEvery = 250 * time.Millisecond
	killTop     = 3 * time.Second // the longest deadline counts as no more
	killAfter   = 700 * time.Millisecond
)

// Controller runs one call controller, life after life.
type Controller struct {
	log     *Log
	number  int
	plan    Plan
	program string
	plant   string
	folder  string
	listen  string
	board   *Board

	mu       sync.Mutex
	cmd      *exec.Cmd
	life     int
	signaled bool // its end was asked for
	ended    chan struct{}
	memory   int // greatest resident memory, KiB
	files    int // most descriptors
}

func (c *Controller) file() string { return filepath.Join(c.folder, fmt.Sprintf("n%d.json", c.number)) }

// LogFile is where the process writes its log.
func (c *Controller) LogFile() string {
	return filepath.Join(c.folder, fmt.Sprintf("n%d.log", c.number))
}

type instanceText struct {
	ID        string `json:"instanceId"`
	Address   string `json:"hostPort"`
	Cell      int    `json:"cell"`
	State     string `json:"lifecycle"`
	StartedMS int64  `json:"startedAtMs"`
}

type noticeText struct {
	Rev  uint64 `json:"rev"`
	Pool struct {
		Reset     bool           `json:"reset"`
		Instances []instanceText `json:"instances"`
	} `json:"pool"`
}

type configText struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Board  string `json:"board"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known struct {
		Rev     uint64       `json:"rev"`
		Notices []noticeText `json:"notices"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

var lifecycles = map[board.State]string{board.Ready: "in_service", board.Draining: "terminating", board.Gone: "terminated"}

// Settings that the judge holds controllers to.
const (
	releaseGuard = 300 * time.Millisecond
	drainGrace   = 250 * time.Millisecond
	coldFrom     = 0.3
	rampTime     = 10 * time.Second
	tipAfter     = 1500 * time.Millisecond
	tipMultiple  = 3.0
)

func (c *Controller) settings() json.RawMessage {
	var grades, holdings []string
	for _, class := range c.plan.Classes {
		grades = append(grades, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"worth":%g,"late_worth":0.3}`, class.Name, class.Aim.Milliseconds(), c.plan.Deadline.Milliseconds(), class.Worth))
		holdings = append(holdings, strconv.Itoa(int((c.plan.Switches.HoldMax / 2).Milliseconds())))
	}
	return json.RawMessage(fmt.Sprintf(`{"replicas_of_me":%d,"family_info":{"self_no":%d,"shape":"mesh","release_guard":%d,"holding":[%s]},
"grades":[%s],
"policy_limits":{"cancel":true,"dial_timeout":500,"max_attempts":4,"retry_after":true,"max_retry_after":2000},
"rules":{"cold_from":%g,"ramp_time":%d,"stop_sending_within":%d,"tip_after":%d,"tip_multiple":%g}}`,
		c.plan.Controllers, c.number, releaseGuard.Milliseconds(), strings.Join(holdings, ","), strings.Join(grades, ","), coldFrom, rampTime.Milliseconds(), drainGrace.Milliseconds(), tipAfter.Milliseconds(), tipMultiple))
}

// configure writes the configuration as it is now.
func (c *Controller) configure() error {
	events, at := c.board.known()
	var t configText
	t.Name, t.Listen, t.Board = fmt.Sprintf("n%d", c.number), c.listen, at
	t.Seed = fmt.Sprintf("%x", c.plan.Seed<<8|uint64(c.number))
	t.Limits.Cores, t.Limits.MemoryMB, t.Limits.Sockets = 1, memoryMB, descriptors
	for _, e := range events {
		n := noticeText{Rev: e.Number}
		n.Pool.Reset = e.Complete
		for _, s := range e.Switches {
			n.Pool.Instances = append(n.Pool.Instances, instanceText{board.FormatID(s.ID), s.Address, s.Cell, lifecycles[s.State], s.StartedMS})
		}
		t.Known.Rev = e.Number
		t.Known.Notices = append(t.Known.Notices, n)
	}
	t.Settings = c.settings()
	text, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	next := c.file() + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return os.Rename(next, c.file())
}

// start starts a life and waits until it passes a test.
func (c *Controller) start() error {
	if err := c.configure(); err != nil {
		return err
	}
	out, err := os.OpenFile(c.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of the controller: %w", err)
	}
	defer out.Close()
	args := []string{"platform"}
	if c.plant != "" {
		args = append(args, "--plant", c.plant)
	}
	cmd := exec.Command(c.program, args...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+c.file(), "GW_NAME=", "GW_LISTEN=")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives the run, however it ends
	began := c.log.Add(Event{Kind: ControllerStarted, Controller: c.number})
	c.log.Add(Event{Kind: BoardLost, Controller: c.number, Span: toldAfterBreak, Text: "not asked yet"})
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("controller %d: %w", c.number, err)
	}
	ended := make(chan struct{})
	c.mu.Lock()
	c.life++
	c.cmd, c.signaled, c.ended = cmd, false, ended
	c.mu.Unlock()
	go c.wait(cmd, ended)
	go c.sample(cmd.Process.Pid, ended)
	for c.log.Now()-began < readyWithin {
		if c.passes() {
			c.log.Add(Event{Kind: ControllerReady, Controller: c.number, Span: c.log.Now() - began})
			c.log.Add(Event{Kind: BoardBack, Controller: c.number})
			return nil
		}
		select {
		case <-ended:
			return nil // the judge sees that it ended
		case <-time.After(readyAsk):
		}
	}
	return nil // and that it is not ready
}

// wait notes how a process ended.
func (c *Controller) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	c.mu.Lock()
	asked := c.signaled
	c.mu.Unlock()
	text := "exit 0"
	if err != nil {
		text = err.Error()
	}
	status := 0
	if !asked || err != nil && !strings.Contains(text, "killed") {
		status = 1
	}
	c.log.Add(Event{Kind: ControllerEnded, Controller: c.number, Status: status, Text: text})
	close(ended)
}

// passes tells whether the controller passes a test.
func (c *Controller) passes() bool {
	conn, err := net.DialTimeout("tcp", c.listen, dialWithin)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(dialWithin)) // else the read fails
	if _, err := conn.Write(sip.Append(nil, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})); err != nil {
		return false
	}
	m, err := sip.NewReader(conn).Read()
	return err == nil && m.Status == sip.OK
}

// sample follows memory and descriptors of a process.
func (c *Controller) sample(pid int, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(sampleEvery):
		}
		memory, files := residentKB(pid), 0
		if all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			files = len(all)
		}
		c.mu.Lock()
		c.memory, c.files = max(c.memory, memory), max(c.files, files)
		c.mu.Unlock()
	}
}

func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

func (c *Controller) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != syscall.SIGHUP {
		c.signaled = true
	}
	c.log.Add(Event{Kind: ControllerTold, Controller: c.number, Status: int(s), Text: s.String()})
	_ = c.cmd.Process.Signal(s) // it may have ended
}

// again sends one more signal to a controller whose end was asked for already.
func (c *Controller) again(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.signaled {
		_ = c.cmd.Process.Signal(s) // it may have ended
	}
}

// killFrom is how long after SIGTERM SIGKILL comes.
func (c *Controller) killFrom() time.Duration { return min(c.plan.Deadline, killTop) + killAfter }

// running is the process's end.
func (c *Controller) running() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *Controller) used() (memoryKB, files int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory, c.files
}
