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
func OnLoopback(program string, options Options) Options {
	options.Launch = func(exchange int, siteFile, routing, plantedFault string) (Process, error) {
		return startProcess(program, exchange, siteFile, routing, plantedFault)
	}
	options.Listen = func(address string) (net.Listener, error) {
		if address == "" {
			address = "127.0.0.1:0"
		}
		return net.Listen("tcp", address)
	}
	options.ListenPacket = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	options.Dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
	return options
}

// controllerProcess is a controller in an operating system process.
type controllerProcess struct {
	cmd            *exec.Cmd
	controlAddress string
	ready, done    chan struct{}
}

// startProcess starts the controller of an exchange, with its output in a log next to the site file.
func startProcess(program string, exchange int, siteFile, routing, plantedFault string) (Process, error) {
	logFile, err := os.OpenFile(filepath.Join(filepath.Dir(siteFile), fmt.Sprintf("controller-%d.log", exchange)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open controller log: %w", err)
	}
	defer logFile.Close()
	args := []string{"serve", "-f", siteFile}
	if routing != "" {
		args = append(args, "--routing", routing)
	}
	if plantedFault != "" {
		args = append(args, "--plant", plantedFault)
	}
	config, err := site.Read(siteFile)
	if err != nil {
		return nil, err
	}
	started := &controllerProcess{controlAddress: config.ControlAddress, cmd: exec.Command(program, args...), ready: make(chan struct{}), done: make(chan struct{})}
	started.cmd.Stderr = logFile
	started.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with the day, however that ends
	pipe, err := started.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("controller %d: %w", exchange, err)
	}
	if err := started.cmd.Start(); err != nil {
		return nil, fmt.Errorf("controller %d: %w", exchange, err)
	}
	go func() {
		if scanner := bufio.NewScanner(pipe); scanner.Scan() && strings.HasPrefix(scanner.Text(), "ready") {
			close(started.ready)
		}
		io.Copy(io.Discard, pipe)
		started.cmd.Wait()
		close(started.done)
	}()
	return started, nil
}

// Ready returns a channel that is closed when the exchange is in service.
func (p *controllerProcess) Ready() <-chan struct{} { return p.ready }

// Done returns a channel that is closed when the process has ended.
func (p *controllerProcess) Done() <-chan struct{} { return p.done }

// Kill ends the process at once.
func (p *controllerProcess) Kill() { p.cmd.Process.Signal(syscall.SIGKILL) }

// Drain starts a graceful shutdown of the controller.
func (p *controllerProcess) Drain() { p.cmd.Process.Signal(syscall.SIGTERM) }

// Pause stops the execution of the process.
func (p *controllerProcess) Pause() { p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues the execution of the process.
func (p *controllerProcess) Resume() { p.cmd.Process.Signal(syscall.SIGCONT) }

// Load makes the process load a number table.
func (p *controllerProcess) Load(table string) error {
	reply, err := control.SendCommand(p.controlAddress, control.Command{Name: "load", File: table})
	if err == nil && reply.Error != "" {
		err = errors.New(reply.Error)
	}
	return err
}

// ResourceUse returns the processor time and peak memory of the process.
func (p *controllerProcess) ResourceUse() (time.Duration, int64) {
	kilobytes := int64(0)
	if usage, ok := p.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		kilobytes = usage.Maxrss
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime(), kilobytes
}
