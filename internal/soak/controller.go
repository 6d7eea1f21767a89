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
	memoryLimitMB   = 64
	descriptorLimit = 384

	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	sampleInterval    = 250 * time.Millisecond
	maxDrainTime      = 3 * time.Second        // limits the abandon time in killDelay
	killMargin        = 700 * time.Millisecond // between the end of the drain time and SIGKILL
)

// Controller runs one call controller and restarts its process.
type Controller struct {
	log          *Log
	number       int
	plan         Plan
	program      string
	plantedFault string
	dir          string
	listen       string
	board        *Board

	mu              sync.Mutex
	command         *exec.Cmd
	starts          int
	exitRequested   bool // SIGTERM or SIGKILL was sent
	exited          chan struct{}
	peakMemoryKB    int // resident memory
	peakDescriptors int // open file descriptors
}

// configPath returns the path of the configuration.
func (c *Controller) configPath() string {
	return filepath.Join(c.dir, fmt.Sprintf("n%d.json", c.number))
}

// LogPath returns the path of the log of the process.
func (c *Controller) LogPath() string {
	return filepath.Join(c.dir, fmt.Sprintf("n%d.log", c.number))
}

// instanceJSON is a switch in the configuration.
type instanceJSON struct {
	ID        string `json:"instanceId"`
	Address   string `json:"hostPort"`
	Cell      int    `json:"cell"`
	State     string `json:"lifecycle"`
	StartedMS int64  `json:"startedAtMs"`
}

// noticeJSON is a board event in the configuration.
type noticeJSON struct {
	Rev  uint64 `json:"rev"`
	Pool struct {
		Reset     bool           `json:"reset"`
		Instances []instanceJSON `json:"instances"`
	} `json:"pool"`
}

// configJSON is the configuration of a controller.
type configJSON struct {
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
		Notices []noticeJSON `json:"notices"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

var lifecycles = map[board.State]string{board.Ready: "in_service", board.Draining: "terminating", board.Gone: "terminated"}

// Settings of the controllers that the checker relies on.
const (
	releaseTime      = 300 * time.Millisecond
	drainGrace       = 250 * time.Millisecond
	initialCapacity  = 0.3
	rampTime         = 10 * time.Second
	overloadWindow   = 1500 * time.Millisecond
	overloadMultiple = 3.0
)

// settingsJSON returns the settings object of the configuration.
func (c *Controller) settingsJSON() json.RawMessage {
	var grades, holdingTimes []string
	for _, bearer := range c.plan.Bearers {
		grades = append(grades, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"worth":%g,"late_worth":0.3}`,
			bearer.Name, bearer.GoSTarget.Milliseconds(), c.plan.MaxAbandonTime.Milliseconds(), bearer.Revenue))
		holdingTimes = append(holdingTimes, strconv.Itoa(int((c.plan.Switches.MaxHoldingTime / 2).Milliseconds())))
	}
	return json.RawMessage(fmt.Sprintf(`{"replicas_of_me":%d,"family_info":{"self_no":%d,"shape":"mesh","release_guard":%d,"holding":[%s]},
"grades":[%s],
"policy_limits":{"cancel":true,"dial_timeout":500,"max_attempts":4,"retry_after":true,"max_retry_after":2000},
"rules":{"cold_from":%g,"ramp_time":%d,"stop_sending_within":%d,"tip_after":%d,"tip_multiple":%g}}`,
		c.plan.Controllers, c.number, releaseTime.Milliseconds(), strings.Join(holdingTimes, ","), strings.Join(grades, ","),
		initialCapacity, rampTime.Milliseconds(), drainGrace.Milliseconds(), overloadWindow.Milliseconds(), overloadMultiple))
}

// writeConfig writes the configuration with the board's current address and events. It replaces the file atomically.
func (c *Controller) writeConfig() error {
	events, boardAddress := c.board.snapshot()
	var config configJSON
	config.Name, config.Listen, config.Board = fmt.Sprintf("n%d", c.number), c.listen, boardAddress
	config.Seed = fmt.Sprintf("%x", c.plan.Seed<<8|uint64(c.number))
	config.Limits.Cores, config.Limits.MemoryMB, config.Limits.Sockets = 1, memoryLimitMB, descriptorLimit
	for _, event := range events {
		notice := noticeJSON{Rev: event.Number}
		notice.Pool.Reset = event.Complete
		for _, sw := range event.Switches {
			notice.Pool.Instances = append(notice.Pool.Instances,
				instanceJSON{board.FormatID(sw.ID), sw.Address, sw.Exchange, lifecycles[sw.State], sw.StartedMS})
		}
		config.Known.Rev = event.Number
		config.Known.Notices = append(config.Known.Notices, notice)
	}
	config.Settings = c.settingsJSON()
	data, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	nextPath := c.configPath() + ".next"
	if err := os.WriteFile(nextPath, data, 0o644); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return os.Rename(nextPath, c.configPath())
}

// start starts the process and waits until it is ready, has exited or readyTimeout has passed.
func (c *Controller) start() error {
	if err := c.writeConfig(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(c.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of controller: %w", err)
	}
	defer logFile.Close()
	args := []string{"platform"}
	if c.plantedFault != "" {
		args = append(args, "--plant", c.plantedFault)
	}
	command := exec.Command(c.program, args...)
	command.Env = append(os.Environ(), "GW_CONFIG="+c.configPath(), "GW_NAME=", "GW_LISTEN=")
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with the run, even if that crashes
	startTime := c.log.Add(Event{Kind: ControllerStarted, Controller: c.number})
	c.log.Add(Event{Kind: BoardLost, Controller: c.number, Duration: truncationRecoveryTime, Detail: "not connected yet"})
	if err := command.Start(); err != nil {
		return fmt.Errorf("start controller %d: %w", c.number, err)
	}
	exited := make(chan struct{})
	c.mu.Lock()
	c.starts++
	c.command, c.exitRequested, c.exited = command, false, exited
	c.mu.Unlock()
	go c.recordExit(command, exited)
	go c.sampleUsage(command.Process.Pid, exited)
	for c.log.Now()-startTime < readyTimeout {
		if c.isReady() {
			c.log.Add(Event{Kind: ControllerReady, Controller: c.number, Duration: c.log.Now() - startTime})
			c.log.Add(Event{Kind: BoardRestored, Controller: c.number})
			return nil
		}
		select {
		case <-exited:
			return nil // reported by the checker as an exit
		case <-time.After(readyPollInterval):
		}
	}
	return nil // reported by the checker as not ready
}

// recordExit waits for the end of a process and records it. The status is 1 if the exit was not requested or failed.
func (c *Controller) recordExit(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	c.mu.Lock()
	exitRequested := c.exitRequested
	c.mu.Unlock()
	detail := "exit 0"
	if err != nil {
		detail = err.Error()
	}
	status := 0
	if !exitRequested || err != nil && !strings.Contains(detail, "killed") {
		status = 1
	}
	c.log.Add(Event{Kind: ControllerExited, Controller: c.number, Status: status, Detail: detail})
	close(exited)
}

// isReady reports whether the controller answers OPTIONS with 200.
func (c *Controller) isReady() bool {
	conn, err := net.DialTimeout("tcp", c.listen, dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout)) // if it fails, so does the read
	if _, err := conn.Write(sip.Append(nil, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})); err != nil {
		return false
	}
	response, err := sip.NewReader(conn).Read()
	return err == nil && response.Status == sip.OK
}

// sampleUsage records the peak memory and descriptors of a process until it exits.
func (c *Controller) sampleUsage(pid int, exited <-chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(sampleInterval):
		}
		memoryKB, descriptors := residentKB(pid), 0
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			descriptors = len(entries)
		}
		c.mu.Lock()
		c.peakMemoryKB, c.peakDescriptors = max(c.peakMemoryKB, memoryKB), max(c.peakDescriptors, descriptors)
		c.mu.Unlock()
	}
}

// residentKB returns the resident memory of a process in KiB, 0 if it is unknown.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// signal records a signal and sends it.
func (c *Controller) signal(sig syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sig != syscall.SIGHUP {
		c.exitRequested = true
	}
	c.log.Add(Event{Kind: SignalSent, Controller: c.number, Status: int(sig), Detail: sig.String()})
	_ = c.command.Process.Signal(sig) // the process may have exited
}

// signalIfExiting sends one more signal to a controller whose exit was requested already. The signal is not recorded.
func (c *Controller) signalIfExiting(sig syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exitRequested {
		_ = c.command.Process.Signal(sig) // the process may have exited
	}
}

// killDelay returns the time between SIGTERM and SIGKILL.
func (c *Controller) killDelay() time.Duration {
	return min(c.plan.MaxAbandonTime, maxDrainTime) + killMargin
}

// done returns a channel that is closed when the process has exited.
func (c *Controller) done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exited
}

// peakUsage returns the peak memory and descriptors of all processes so far.
func (c *Controller) peakUsage() (memoryKB, descriptors int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peakMemoryKB, c.peakDescriptors
}
