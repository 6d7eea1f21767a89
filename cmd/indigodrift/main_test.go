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

// programCommand returns a command that runs the program by the test binary.
func programCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "INDIGODRIFT_BE_PROGRAM=1")
	return cmd
}

const bearerSettings = `
bearer "ride-status" {
  revenue    = 1
  gos_target = "1.2s"
  abandon    = "9s"
  holding    = "2s"
}
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

// dayResult is the part of a day's last line that the tests check.
type dayResult struct {
	Offered     int `json:"offered"`
	Established int `json:"stood"`
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
	Violations  int `json:"broken"`
	Telephones  struct {
		Calls       int `json:"calls"`
		Established int `json:"stood"`
	} `json:"phones"`
}

func parseLastLine(t *testing.T, out []byte) (result dayResult) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &result); err != nil {
		t.Fatalf("%v in %q", err, lines[len(lines)-1])
	}
	return result
}

// Runs telephones at gateways with packet loss, restarts of gateways and the kill of a controller.
func TestTelephonesOnLoopbackWithFaults(t *testing.T) {
	file := writeFile(t, "day.hcl", `
length           = "8s"
settle           = "2s"
exchanges        = 3
calls_per_second = 10
`+bearerSettings+`
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
	out, err := programCommand("day", "run", file, "--json").Output()
	if v := parseLastLine(t, out); err != nil || v.Violations > 0 || v.Telephones.Calls < 100 || v.Telephones.Established < v.Telephones.Calls/3 {
		t.Fatalf("%v: %+v", err, v)
	}
}

// Runs controller processes on loopback: one is killed and restarted, one is stalled, and links are reset.
func TestDayOnLoopbackWithFaults(t *testing.T) {
	file := writeFile(t, "day.hcl", `
length           = "6s"
ledger           = true
settle           = "2s"
exchanges        = 3
calls_per_second = 30
load             = 0.7
`+bearerSettings+`
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
	out, err := programCommand("day", "run", file, "--json", "--keep", dir).Output()
	if v := parseLastLine(t, out); err != nil || v.Violations > 0 || v.Offered < 60 || v.Established < v.Offered/4 {
		t.Fatalf("%v: %+v", err, v)
	}
	ledgerFile := filepath.Join(dir, "ledger-1")
	for _, subcommand := range []string{"verify", "inspect", "dump"} {
		if out, err := programCommand("ledger", subcommand, ledgerFile).CombinedOutput(); err != nil || len(out) == 0 {
			t.Fatalf("ledger %s: %v: %s", subcommand, err, out)
		}
	}
	content, err := os.ReadFile(ledgerFile)
	if err != nil {
		t.Fatal(err)
	}
	damaged := writeFile(t, "ledger", string(content[:len(content)-3]))
	if out, err := programCommand("ledger", "verify", damaged).CombinedOutput(); err == nil || !strings.Contains(string(out), "whole up to octet") {
		t.Fatalf("truncated ledger: %v: %s", err, out)
	}
}

func TestInjectedFaultFailsDayAndAudit(t *testing.T) {
	file := writeFile(t, "day.hcl", "length = \"3s\"\nsettle = \"1s\"\nexchanges = 2\ncalls_per_second = 40\nload = 3\n"+bearerSettings)
	dir := t.TempDir()
	out, err := programCommand("day", "run", file, "--json", "--plant", "answer", "--keep", dir).Output()
	if v := parseLastLine(t, out); err == nil || v.Violations == 0 {
		t.Fatalf("%v: %+v", err, v)
	}
	audit, err := programCommand("audit", filepath.Join(dir, "audit.log")).Output()
	if err == nil || !strings.Contains(string(audit), "is answered twice") {
		t.Fatalf("%v: %s", err, audit)
	}
}

func TestInterruptedDayLeavesNoProcesses(t *testing.T) {
	dir := t.TempDir()
	file := writeFile(t, "day.hcl", "length = \"60s\"\nsettle = \"1s\"\nexchanges = 3\ncalls_per_second = 10\n"+bearerSettings)
	cmd := programCommand("day", "run", file, "--json", "--keep", dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for range 100 { // until every controller has a log file
		time.Sleep(50 * time.Millisecond)
		if logs, _ := filepath.Glob(filepath.Join(dir, "controller-*.log")); len(logs) == 3 {
			break
		}
	}
	if len(processesNaming(t, dir)) < 2 { // the command lines of the day and its controllers contain the folder
		t.Fatal("nothing was running before the interrupt")
	}
	cmd.Process.Signal(os.Interrupt)
	cmd.Wait()
	if found := processesNaming(t, dir); len(found) > 0 {
		t.Fatalf("still running: %v", found)
	}
}

// processesNaming lists the processes whose command line names a folder.
func processesNaming(t *testing.T, dir string) (found []string) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d processes to look at, %v", len(files), err)
	}
	for _, name := range files {
		if line, err := os.ReadFile(name); err == nil && strings.Contains(string(line), dir) {
			found = append(found, strings.ReplaceAll(string(line), "\x00", " "))
		}
	}
	return found
}

func TestSettingsErrorsNameTheirLocation(t *testing.T) {
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
		out, err := programCommand("check", writeFile(t, "site.hcl", c.text)).CombinedOutput()
		if (err == nil) != (c.want == "") || !strings.Contains(string(out), c.want) {
			t.Errorf("%q: %v, %s", c.text[max(0, len(c.text)-40):], err, out)
		}
		if c.want != "" && err.(*exec.ExitError).ExitCode() != 2 {
			t.Errorf("%q: %v", c.want, err)
		}
	}
}

func TestReloadOfInvalidSettingsChangesNothing(t *testing.T) {
	text := "exchanges = 2\nexchange = 0\nown_switch = \"127.0.0.1:1\"\nregister = \"127.0.0.1:2\"\n" +
		"bearer \"a\" {\n  revenue    = 1\n  gos_target = \"1s\"\n  abandon    = \"9s\"\n}\n"
	file := writeFile(t, "site.hcl", text)
	cmd := programCommand("serve", "-f", file, "--log", "json")
	pipe, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if err := os.WriteFile(file, []byte("exchange = "), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGTERM)
	buf := make([]byte, 1<<16)
	log := ""
	for {
		n, err := pipe.Read(buf)
		if log += string(buf[:n]); err != nil {
			break
		}
	}
	if err := cmd.Wait(); err != nil || !strings.Contains(log, "settings rejected, nothing changes") || !strings.Contains(log, "site.hcl:1") {
		t.Fatalf("%v: %s", err, log)
	}
}

// Kills a process while it reads, stores and activates tables. After each restart a complete version must be in force that is
// not older than the last one confirmed before the kill.
func TestKillsDuringTableChanges(t *testing.T) {
	dir := t.TempDir()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	writeTable := func(version uint64) string {
		name := filepath.Join(dir, fmt.Sprintf("v%d.hcl", version))
		text := fmt.Sprintf("version = %d\nroute \"all\" {\n  prefixes = [\"1\"]\n  choice {\n    to \"1\" {}\n  }\n}\n", version)
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return name
	}
	file := writeFile(t, "site.hcl", fmt.Sprintf("exchanges = 2\nexchange = 0\nown_switch = \"127.0.0.1:1\"\nregister = \"127.0.0.1:2\"\ncontrol = %q\n"+
		"numbers {\n  store = %q\n  table = %q\n}\n", address, filepath.Join(dir, "store"), writeTable(1))+
		"bearer \"a\" {\n  revenue    = 1\n  gos_target = \"1s\"\n  abandon    = \"9s\"\n}\n")
	confirmed, next := uint64(1), uint64(2)
	for round := range 12 {
		cmd := programCommand("serve", "-f", file)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		var reply control.Reply
		for range 200 {
			if reply, err = control.SendCommand(address, control.Command{Name: "versions"}); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err != nil || reply.Version < confirmed {
			cmd.Process.Kill()
			t.Fatalf("process %d: version %d, %v; %d was confirmed", round, reply.Version, err, confirmed)
		}
		next = max(next, reply.Version+1)
		kill := time.AfterFunc(time.Duration(5+round*7)*time.Millisecond, func() { cmd.Process.Kill() })
		for {
			reply, err := control.SendCommand(address, control.Command{Name: "load", File: writeTable(next)})
			if err != nil {
				break
			}
			if reply.Error == "" {
				confirmed = max(confirmed, reply.Version-1) // its history record may not be written yet
			}
			next++
		}
		kill.Stop()
		cmd.Process.Kill()
		cmd.Wait()
	}
	if confirmed < 5 {
		t.Fatalf("%d versions were confirmed by twelve processes", confirmed)
	}
}
