package day

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"indigodrift/internal/control"
	"indigodrift/internal/site"
)

// OnLoopback returns options by which the controllers run as processes of a program, and all connections use loopback.
func OnLoopback(program string, o Options) Options {
	o.Launch = func(e int, siteFile, routing, plant string) (Process, error) {
		return startProcess(program, e, siteFile, routing, plant)
	}
	o.Listen = func(address string) (net.Listener, error) {
		if address == "" {
			address = "127.0.0.1:0"
		}
		return net.Listen("tcp", address)
	}
	o.ListenPacket = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	o.Dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
	return o
}

// controllerProcess is a controller in an operating system process.
type controllerProcess struct {
	cmd            *exec.Cmd
	controlAddress string
	ready, done    chan struct{}
}

func startProcess(program string, e int, siteFile, routing, plant string) (Process, error) {
	out, err := os.OpenFile(filepath.Join(filepath.Dir(siteFile), fmt.Sprintf("controller-%d.log", e)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log of controller: %w", err)
	}
	defer out.Close()
	args := []string{"serve", "-f", siteFile}
	if routing != "" {
		args = append(args, "--routing", routing)
	}
	if plant != "" {
		args = append(args, "--plant", plant)
	}
	s, err := site.Read(siteFile)
	if err != nil {
		return nil, err
	}
	p := &controllerProcess{controlAddress: s.ControlAddress, cmd: exec.Command(program, args...), ready: make(chan struct{}), done: make(chan struct{})}
	p.cmd.Stderr = out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with the day, however that ends
	pipe, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("controller %d: %w", e, err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("controller %d: %w", e, err)
	}
	go func() {
		if in := bufio.NewScanner(pipe); in.Scan() && strings.HasPrefix(in.Text(), "ready") {
			close(p.ready)
		}
		io.Copy(io.Discard, pipe)
		p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Ready returns a channel that closes when the exchange is in service, Done one that closes when the process has ended.
func (p *controllerProcess) Ready() <-chan struct{} { return p.ready }
func (p *controllerProcess) Done() <-chan struct{}  { return p.done }

// Kill, Drain, Pause and Resume send the corresponding signal.
func (p *controllerProcess) Kill()   { p.cmd.Process.Signal(syscall.SIGKILL) }
func (p *controllerProcess) Drain()  { p.cmd.Process.Signal(syscall.SIGTERM) }
func (p *controllerProcess) Pause()  { p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *controllerProcess) Resume() { p.cmd.Process.Signal(syscall.SIGCONT) }

// Load makes the process load a number table.
func (p *controllerProcess) Load(table string) error {
	r, err := control.SendCommand(p.controlAddress, control.Command{Name: "load", File: table})
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return err
}

// ResourceUse returns the processor time and peak memory of the process.
func (p *controllerProcess) ResourceUse() (time.Duration, int64) {
	kilobytes := int64(0)
	if u, ok := p.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		kilobytes = u.Maxrss
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime(), kilobytes
}
