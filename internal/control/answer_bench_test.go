package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/m3ua"
	"indigodrift/internal/standin"
	"indigodrift/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// caller makes calls from the line side of a switch and waits for each answer.
type caller struct {
	conn    net.Conn
	buf     []byte
	scratch []byte
	calls   uint32
}

// newCaller connects to a switch as a block of lines.
func newCaller(b *testing.B, address string, block uint32) *caller {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	handshake, _ := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.ASPUp, ASPID: exchange.FirstSubscriberPoint + block})
	conn.Write(handshake)
	c := &caller{conn: conn}
	c.read(b)
	return c
}

func (c *caller) read(b *testing.B) m3ua.Frame {
	f, s, err := m3ua.Read(c.conn, c.scratch)
	if err != nil {
		b.Fatal(err)
	}
	c.scratch = s
	return f
}

func (c *caller) send(b *testing.B, m isup.Message) {
	user, err := isup.Append(nil, m)
	if err != nil {
		b.Fatal(err)
	}
	c.buf, _ = m3ua.Append(c.buf[:0], m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint, DPC: 1, UserData: user})
	if _, err := c.conn.Write(c.buf); err != nil {
		b.Fatal(err)
	}
}

// call makes one call and releases it. It returns how long the answer took and whether the call was established.
func (c *caller) call(b *testing.B, dest int) (took time.Duration, established bool) {
	c.calls++
	cic := uint16(c.calls & isup.MaxCIC)
	start := time.Now()
	c.send(b, isup.Message{CIC: cic, Type: isup.IAM, Width: 1, Digits: exchange.LineNumber(dest, c.calls), Ref: isup.Reference{Point: 1, Identity: c.calls & 0xffffff},
		UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: 50000, SentAt: uint32(time.Now().UnixMicro() / 100)}})
	for {
		m, err := isup.Decode(c.read(b).UserData)
		if err != nil {
			b.Fatal(err)
		}
		if m.CIC == cic && (m.Type == isup.ANM || m.Type == isup.REL) {
			took, established = time.Since(start), m.Type == isup.ANM
			break
		}
	}
	if established {
		c.send(b, isup.Message{CIC: cic, Type: isup.REL, Cause: isup.NormalClearing})
	}
	return took, established
}

// startEcho starts a peer that answers every set-up at once, with the same codec, as a baseline. It returns its address.
func startEcho(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		var scratch, out, user []byte
		for {
			f, s, err := m3ua.Read(conn, scratch)
			if err != nil {
				return
			}
			scratch = s
			reply := m3ua.Frame{Kind: m3ua.ASPUpAck, ASPID: 1}
			if f.Kind == m3ua.Data {
				m, _ := isup.Decode(f.UserData)
				t := isup.ANM
				if m.Type == isup.REL {
					t = isup.RLC
				}
				user, _ = isup.Append(user[:0], isup.Message{CIC: m.CIC, Type: t})
				reply = m3ua.Frame{Kind: m3ua.Data, OPC: 1, DPC: exchange.FirstSubscriberPoint, UserData: user}
			}
			out, _ = m3ua.Append(out[:0], reply)
			conn.Write(out)
		}
	}()
	return ln.Addr().String()
}

// startNetwork starts exchanges on loopback whose switches process messages in no time. It returns the address of the first
// exchange's switch and the servers.
func startNetwork(b *testing.B, n int, change func(i int, s *Config)) (string, []*Server) {
	work := standin.Processor{SetUpTime: time.Nanosecond, MessageTime: time.Nanosecond, MaxWait: time.Hour, ReportInterval: time.Second, WarmStart: true,
		InitialCapacity: 1, RampTime: 1, OverloadMultiple: 1e9, OverloadWindow: time.Second}
	log := audit.NewLog(discard{})
	var switches []*standin.Switch
	var addresses []string
	sizes := make([][]int, n)
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := standin.NewSwitch(i, work, 1, log)
		if err := s.Start(func() (net.Listener, error) { return listener, nil }); err != nil {
			b.Fatal(err)
		}
		switches, addresses = append(switches, s), append(addresses, listener.Addr().String())
		for range n {
			sizes[i] = append(sizes[i], 100)
		}
		b.Cleanup(s.Stop)
	}
	registerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	reg := standin.NewRegister(switches, sizes, 0, 100*time.Millisecond, log)
	reg.Start(registerListener)
	b.Cleanup(reg.Stop)
	var dialer net.Dialer
	var servers []*Server
	for i := range n {
		s := Config{Deployment: policy.Deployment{OwnExchange: i, Seed: uint64(i), MaxTries: 4, ReleaseTime: 3000, InitialCapacity: 1, OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
			Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, ExchangeCount: n, OwnSwitchAddress: addresses[i], RegisterAddress: registerListener.Addr().String(),
			InboxSize: 16384, MaxLinkOctets: 1 << 24}
		for j := range n {
			if j != i {
				s.Neighbours = append(s.Neighbours, Neighbour{exchange.Neighbour{Number: j, Circuits: 100}, addresses[j]})
			}
		}
		if change != nil {
			change(i, &s)
		}
		server, err := New(s, func(dialer policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(dialer, x, now)
		},
			func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		servers = append(servers, server)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		b.Cleanup(func() { cancel(); <-ended })
	}
	time.Sleep(3 * time.Second)
	return addresses[0], servers
}

// discard is a writer that drops what is written to it.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkAnswer times, in turn, calls over two switches and two controllers and calls answered by the baseline peer.
func BenchmarkAnswer(b *testing.B) {
	at, _ := startNetwork(b, 2, nil)
	fullPath, baseline := newCaller(b, at, 0), newCaller(b, startEcho(b), 0)
	defer fullPath.conn.Close()
	defer baseline.conn.Close()
	fullTimes, baselineTimes := hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
	established := 0
	for b.Loop() {
		if took, ok := fullPath.call(b, 1); ok {
			established++
			fullTimes.RecordValue(took.Nanoseconds())
		}
		took, _ := baseline.call(b, 1)
		baselineTimes.RecordValue(took.Nanoseconds())
	}
	if established == 0 {
		b.Fatal("no call was established")
	}
	for _, q := range []struct {
		name string
		at   float64
	}{{"median", 50}, {"99th", 99}} {
		t, l := float64(fullTimes.ValueAtQuantile(q.at)), float64(baselineTimes.ValueAtQuantile(q.at))
		b.ReportMetric(t/1e3, q.name+"-µs")
		b.ReportMetric(t/l, q.name+"-over-bare")
	}
	b.ReportMetric(float64(established)/float64(b.N), "stood")
}

// BenchmarkQueue times ten thousand calls offered at once, until the last one has its answer.
func BenchmarkQueue(b *testing.B) {
	const calls = 10000
	at, _ := startNetwork(b, 2, nil)
	b.ResetTimer()
	for n := range b.N {
		b.StopTimer()
		answered := make(chan int)
		var callers []*caller
		for block := uint32(n%50) * 4; block < uint32(n%50)*4+4; block++ {
			caller := newCaller(b, at, block)
			callers = append(callers, caller)
			var stream []byte
			for i := range uint32(calls / 4) {
				user, _ := isup.Append(nil, isup.Message{CIC: uint16(i), Type: isup.IAM, Width: 1, Digits: exchange.LineNumber(1, i),
					Ref: isup.Reference{Point: 1, Identity: block<<16 + i + 1}, UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: 50000}})
				stream, _ = m3ua.Append(stream, m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint + block, DPC: 1, UserData: user})
			}
			go caller.conn.Write(stream)
			go func() {
				n := 0
				for n < calls/4 {
					f, s, err := m3ua.Read(caller.conn, caller.scratch)
					if err != nil {
						break
					}
					caller.scratch = s
					if m, err := isup.Decode(f.UserData); err == nil && (m.Type == isup.ANM || m.Type == isup.REL) {
						n++
					}
				}
				answered <- n
			}()
		}
		b.StartTimer()
		total := 0
		for range 4 {
			total += <-answered
		}
		b.StopTimer()
		if total != calls {
			b.Fatalf("%d of %d calls were answered", total, calls)
		}
		for k, caller := range callers { // release the established calls
			for i := range uint16(calls / 4) {
				user, _ := isup.Append(nil, isup.Message{CIC: i, Type: isup.REL, Cause: isup.NormalClearing})
				frame, _ := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint + uint32(n%50*4+k), DPC: 1, UserData: user})
				caller.conn.Write(frame)
			}
		}
		time.Sleep(500 * time.Millisecond)
		for _, caller := range callers {
			caller.conn.Close()
		}
		b.StartTimer()
	}
}

// BenchmarkAnswerDuringSwitch times calls before a table of ten million prefixes is loaded into the running exchange, while it
// is read and built, and after it comes into force.
func BenchmarkAnswerDuringSwitch(b *testing.B) {
	prefixes := 10_000_000
	if testing.Short() {
		prefixes = 100_000
	}
	dir := b.TempDir()
	writeVersion := func(version, lines int) string {
		name := filepath.Join(dir, fmt.Sprintf("t%d.hcl", version))
		rules := fmt.Sprintf("version = %d\nprefixes = \"p%d.csv\"\ndialling {\n  international = \"\"\n}\nroute \"one\" {\n  least = 9\n  most = 24\n  prefixes = [\"001\"]\n  choice {\n    to \"1\" {}\n  }\n}\n", version, version)
		csv := make([]byte, 0, lines*14)
		for i := range lines {
			csv = append(strconv.AppendInt(append(csv, '3', '7', '1'), int64(1_000_000+i), 10), ",one\n"...)
		}
		if err := errors.Join(os.WriteFile(name, []byte(rules), 0o644), os.WriteFile(filepath.Join(dir, fmt.Sprintf("p%d.csv", version)), csv, 0o644)); err != nil {
			b.Fatal(err)
		}
		return name
	}
	first := writeVersion(1, 1000)
	at, servers := startNetwork(b, 2, func(i int, s *Config) {
		s.NumberAnalysis = &NumberAnalysis{StoreFolder: filepath.Join(dir, fmt.Sprint("store", i)), InitialTable: first, MaxCallers: 1000}
	})
	name := writeVersion(2, prefixes)
	caller := newCaller(b, at, 0)
	defer caller.conn.Close()
	measure := func(until func() bool) (int64, int64) {
		h := hdrhistogram.New(1, 1e10, 3)
		for !until() {
			took, ok := caller.call(b, 1)
			if !ok {
				b.Fatal("a call was not established")
			}
			h.RecordValue(took.Nanoseconds())
			time.Sleep(500 * time.Microsecond)
		}
		return h.ValueAtQuantile(99), h.TotalCount()
	}
	for range b.N {
		end := time.Now().Add(5 * time.Second)
		before, _ := measure(func() bool { return time.Now().After(end) })
		var loaded atomic.Int64
		start := time.Now()
		go func() {
			if _, err := servers[0].Load(name, time.Now()); err != nil {
				b.Error(err)
			}
			loaded.Store(time.Now().UnixNano())
		}()
		during, calls := measure(func() bool { return loaded.Load() != 0 })
		took := time.Since(start)
		end = time.Now().Add(5 * time.Second)
		after, _ := measure(func() bool { return time.Now().After(end) })
		b.ReportMetric(float64(during)/float64(before), "99th-during-over-before")
		b.ReportMetric(float64(after)/float64(before), "99th-after-over-before")
		b.ReportMetric(float64(before)/1e3, "99th-before-µs")
		b.ReportMetric(took.Seconds(), "load-s")
		b.ReportMetric(float64(calls), "calls-during")
	}
}
