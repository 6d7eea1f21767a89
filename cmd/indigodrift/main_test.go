package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigodrift/internal/control"
)

// TestMain runs the test binary as the program if INDIGODRIFT_BE_PROGRAM is set. A day starts its controllers in this way.
func TestMain(m *testing.M) {
	if os.Getenv("INDIGODRIFT_BE_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "INDIGODRIFT_BE_PROGRAM=1")
	return c
}

const bearers = `
bearer "ride-status" {
  revenue    = 1
  gos_target = "1.2s"
  abandon    = "9s"
  holding    = "2s"
}
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

type verdict struct {
	Offered, Stood, Refused, Failed, Broken int
	Phones                                  struct{ Calls, Stood int }
}

func lastLine(t *testing.T, out []byte) (v verdict) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &v); err != nil {
		t.Fatalf("%v in %q", err, lines[len(lines)-1])
	}
	return v
}

// Runs telephones at gateways with packet loss, gateway restarts and a controller process killed.
func TestPhonesOnLoopbackWithProcessesKilled(t *testing.T) {
	file := write(t, "day.hcl", `
length           = "8s"
settle           = "2s"
exchanges        = 3
calls_per_second = 10
`+bearers+`
gateways {
  each             = 2
  endpoints        = 24
  calls_per_second = 30
  bearer           = "ride-status"
  holding          = "500ms"
  pick_up          = "100ms"
}

trouble "gateways" {
  start  = "1s"
  length = "6s"
  part   = 0.5
  size   = 0.1
  how    = "loss"
}

trouble "gateways" {
  start = "3s"
  part  = 0.5
  how   = "restart"
}

trouble "controllers_kill" {
  start = "4s"
  part  = 0.3
  size  = 1
}
`)
	out, err := program("day", "run", file, "--json").Output()
	if v := lastLine(t, out); err != nil || v.Broken > 0 || v.Phones.Calls < 100 || v.Phones.Stood < v.Phones.Calls/3 {
		t.Fatalf("%v: %+v", err, v)
	}
}

// Runs controller processes on loopback: one is killed and restarted, one is stalled, and links are reset.
func TestDayOnLoopbackWithProcessesKilled(t *testing.T) {
	file := write(t, "day.hcl", `
length           = "6s"
ledger           = true
settle           = "2s"
exchanges        = 3
calls_per_second = 30
load             = 0.7
`+bearers+`
trouble "controllers_kill" {
  start = "1s"
  part  = 0.3
  size  = 1
}

trouble "controllers_stall" {
  start  = "2s"
  length = "2s"
  part   = 0.3
  size   = 1
}

trouble "links_reset" {
  start = "4s"
  part  = 1
  size  = 1
}
`)
	dir := t.TempDir()
	out, err := program("day", "run", file, "--json", "--keep", dir).Output()
	if v := lastLine(t, out); err != nil || v.Broken > 0 || v.Offered < 60 || v.Stood < v.Offered/4 {
		t.Fatalf("%v: %+v", err, v)
	}
	kept := filepath.Join(dir, "ledger-1")
	for _, verb := range []string{"verify", "inspect", "dump"} {
		if out, err := program("ledger", verb, kept).CombinedOutput(); err != nil || len(out) == 0 {
			t.Fatalf("ledger %s: %v: %s", verb, err, out)
		}
	}
	b, err := os.ReadFile(kept)
	if err != nil {
		t.Fatal(err)
	}
	damaged := write(t, "ledger", string(b[:len(b)-3]))
	if out, err := program("ledger", "verify", damaged).CombinedOutput(); err == nil || !strings.Contains(string(out), "whole up to octet") {
		t.Fatalf("truncated ledger: %v: %s", err, out)
	}
}

func TestPlantedBreakEndsWithCodeOneAndAuditAgrees(t *testing.T) {
	file := write(t, "day.hcl", "length = \"3s\"\nsettle = \"1s\"\nexchanges = 2\ncalls_per_second = 40\nload = 3\n"+bearers)
	dir := t.TempDir()
	out, err := program("day", "run", file, "--json", "--plant", "answer", "--keep", dir).Output()
	if v := lastLine(t, out); err == nil || v.Broken == 0 {
		t.Fatalf("%v: %+v", err, v)
	}
	again, err := program("audit", filepath.Join(dir, "audit.log")).Output()
	if err == nil || !strings.Contains(string(again), "is answered twice") {
		t.Fatalf("%v: %s", err, again)
	}
}

func TestInterruptedDayLeavesNothingRunning(t *testing.T) {
	dir := t.TempDir()
	file := write(t, "day.hcl", "length = \"60s\"\nsettle = \"1s\"\nexchanges = 3\ncalls_per_second = 10\n"+bearers)
	c := program("day", "run", file, "--json", "--keep", dir)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	for range 100 { // until every controller has a log file
		time.Sleep(50 * time.Millisecond)
		if up, _ := filepath.Glob(filepath.Join(dir, "controller-*.log")); len(up) == 3 {
			break
		}
	}
	if len(running(t, dir)) < 2 { // the command lines of the day and its controllers contain the folder
		t.Fatal("nothing was running before the interrupt")
	}
	c.Process.Signal(os.Interrupt)
	c.Wait()
	if found := running(t, dir); len(found) > 0 {
		t.Fatalf("still running: %v", found)
	}
}

// running lists the processes whose command line names a folder.
func running(t *testing.T, dir string) (found []string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil || len(all) == 0 {
		t.Fatalf("%d processes to look at, %v", len(all), err)
	}
	for _, name := range all {
		if line, err := os.ReadFile(name); err == nil && strings.Contains(string(line), dir) {
			found = append(found, strings.ReplaceAll(string(line), "\x00", " "))
		}
	}
	return found
}

func TestFaultsInSettingsNameThePlace(t *testing.T) {
	good := "exchanges = 2\nexchange = 0\nown_switch = \"127.0.0.1:1\"\nregister = \"127.0.0.1:2\"\n" +
		"bearer \"a\" {\n  revenue    = 1\n  gos_target = \"1s\"\n  abandon    = \"9s\"\n}\n"
	for _, c := range []struct{ text, want string }{
		{good, ""},
		{good + "tyres = 4\n", "site.hcl:10,1: tyres is not known here"},
		{good + "tries = 99\n", "site.hcl:10,9: tries is 99, it can be 1 to 16"},
		{good + "release_time = \"soon\"\n", `site.hcl:10,16: release_time is "soon", not a span`},
		{good + "neighbour \"n\" {\n  exchange = 7\n  circuits = 3\n  address = \"127.0.0.1:3\"\n}\n", `site.hcl:11,14: the group "n" has no far end`},
		{good + "neighbour \"n\" {\n  exchange = 1\n  circuits = 3\n}\n", "site.hcl:10,1: address is missing"},
		{good + "neighbour \"n\" {\n  exchange = 1\n  circuits = 0\n  address = \"x\"\n}\n", `it can be 1 to`},
		{"exchanges = 2 +\n", "site.hcl:"},
		{strings.Replace(good, "127.0.0.1:1", "nowhere", 1), "not an address with a port"},
	} {
		out, err := program("check", write(t, "site.hcl", c.text)).CombinedOutput()
		if (err == nil) != (c.want == "") || !strings.Contains(string(out), c.want) {
			t.Errorf("%q: %v, %s", c.text[max(0, len(c.text)-40):], err, out)
		}
		if c.want != "" && err.(*exec.ExitError).ExitCode() != 2 {
			t.Errorf("%q: %v", c.want, err)
		}
	}
}

func TestHangUpSignalWithABadFileChangesNothing(t *testing.T) {
	text := "exchanges = 2\nexchange = 0\nown_switch = \"127.0.0.1:1\"\nregister = \"127.0.0.1:2\"\n" +
		"bearer \"a\" {\n  revenue    = 1\n  gos_target = \"1s\"\n  abandon    = \"9s\"\n}\n"
	file := write(t, "site.hcl", text)
	c := program("serve", "-f", file, "--log", "json")
	pipe, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if err := os.WriteFile(file, []byte("exchange = "), 0o644); err != nil {
		t.Fatal(err)
	}
	c.Process.Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	c.Process.Signal(syscall.SIGTERM)
	buf := make([]byte, 1<<16)
	log := ""
	for {
		n, err := pipe.Read(buf)
		if log += string(buf[:n]); err != nil {
			break
		}
	}
	if err := c.Wait(); err != nil || !strings.Contains(log, "settings rejected, nothing changes") || !strings.Contains(log, "site.hcl:1") {
		t.Fatalf("%v: %s", err, log)
	}
}

// Kills a process while it reads, stores and activates tables. After each restart a complete version must be in force that is
// not older than the last one confirmed before the kill.
func TestKillsDuringTableChanges(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := ln.Addr().String()
	ln.Close()
	table := func(version uint64) string {
		name := filepath.Join(dir, fmt.Sprintf("v%d.hcl", version))
		text := fmt.Sprintf("version = %d\nroute \"all\" {\n  prefixes = [\"1\"]\n  choice {\n    to \"1\" {}\n  }\n}\n", version)
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return name
	}
	file := write(t, "site.hcl", fmt.Sprintf("exchanges = 2\nexchange = 0\nown_switch = \"127.0.0.1:1\"\nregister = \"127.0.0.1:2\"\ncontrol = %q\n"+
		"numbers {\n  store = %q\n  table = %q\n}\n", at, filepath.Join(dir, "store"), table(1))+
		"bearer \"a\" {\n  revenue    = 1\n  gos_target = \"1s\"\n  abandon    = \"9s\"\n}\n")
	confirmed, next := uint64(1), uint64(2)
	for life := range 12 {
		c := program("serve", "-f", file)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		var r control.Reply
		for range 200 {
			if r, err = control.SendCommand(at, control.Command{Name: "versions"}); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err != nil || r.Version < confirmed {
			c.Process.Kill()
			t.Fatalf("process %d: version %d, %v; %d was confirmed", life, r.Version, err, confirmed)
		}
		next = max(next, r.Version+1)
		kill := time.AfterFunc(time.Duration(5+life*7)*time.Millisecond, func() { c.Process.Kill() })
		for {
			r, err := control.SendCommand(at, control.Command{Name: "load", File: table(next)})
			if err != nil {
				break
			}
			if r.Error == "" {
				confirmed = max(confirmed, r.Version-1) // its history record may not be written yet
			}
			next++
		}
		kill.Stop()
		c.Process.Kill()
		c.Wait()
	}
	if confirmed < 5 {
		t.Fatalf("%d versions were confirmed by twelve processes", confirmed)
	}
}
