package control

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"indigodrift/internal/ledger"
	"indigodrift/internal/recovery"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// slowDisk is a disk on which a sync takes two seconds.
type slowDisk struct{ ledger.OSDisk }

// slowFile is a file on a slow disk.
type slowFile struct{ ledger.File }

func (f slowFile) Sync() error { time.Sleep(2 * time.Second); return f.File.Sync() }
func (d slowDisk) Create(name string) (ledger.File, error) {
	f, err := d.OSDisk.Create(name)
	return slowFile{f}, err
}

// BenchmarkAnswerKept times calls in turn through three networks: without a ledger, with one, and with one on a disk on which a
// sync takes two seconds.
func BenchmarkAnswerKept(b *testing.B) {
	var callers []*caller
	var servers []*Server
	for _, kind := range []string{"none", "kept", "slow"} {
		dir := b.TempDir()
		at, started := startNetwork(b, 2, func(i int, s *Config) {
			if kind != "none" {
				s.LedgerFile = filepath.Join(dir, string(rune('a'+i)))
			}
			if kind == "slow" {
				s.Disk = slowDisk{}
			}
		})
		caller := newCaller(b, at, 0)
		defer caller.conn.Close()
		callers, servers = append(callers, caller), append(servers, started[0])
	}
	took := []*hdrhistogram.Histogram{hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)}
	for b.Loop() {
		for i, caller := range callers {
			d, ok := caller.call(b, 1)
			if !ok {
				b.Fatal("a call was not answered")
			}
			took[i].RecordValue(d.Nanoseconds())
			time.Sleep(200 * time.Microsecond)
		}
	}
	for i, name := range []string{"", "kept", "slow-disk"} {
		if i > 0 {
			b.ReportMetric(float64(took[i].ValueAtQuantile(50))/float64(took[0].ValueAtQuantile(50)), name+"-median-over-none")
			b.ReportMetric(float64(took[i].ValueAtQuantile(99))/float64(took[0].ValueAtQuantile(99)), name+"-99th-over-none")
		}
	}
	b.ReportMetric(float64(servers[1].ledger.WrittenOctets())/float64(b.N), "octets-a-call")
}

// BenchmarkTakeUp times reading a ledger and deciding on its calls.
func BenchmarkTakeUp(b *testing.B) {
	for _, calls := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(calls), func(b *testing.B) {
			name := filepath.Join(b.TempDir(), "ledger")
			opened, _, err := ledger.Open(name, 7, ledger.OSDisk{}, func(string) {})
			if err != nil {
				b.Fatal(err)
			}
			go opened.Run()
			now := time.Now().UnixNano() / 100_000
			for i := range calls {
				opened.Put(recovery.StoredCall{ID: uint32(i + 1), Phase: recovery.Established, In: recovery.Leg{Point: 0x2000 + uint16(i>>12), CIC: uint16(i & 4095)},
					Out: recovery.Leg{Trunk: true, Number: i / 3900, CIC: uint16(i%3900/31*32 + i%31 + 1)}, Since: now})
			}
			opened.Close()
			settings := recovery.Settings{SiteDigest: 7, Circuits: map[int]int{}, HasLines: func(uint16) bool { return true }}
			for n := range 30 {
				settings.Circuits[n] = 3968
			}
			for b.Loop() {
				_, contents, err := ledger.Open(name, 7, ledger.OSDisk{}, func(string) {})
				if err != nil || len(contents.Calls) != calls {
					b.Fatal(err, len(contents.Calls))
				}
				stored := make([]recovery.StoredCall, 0, calls)
				for _, call := range contents.Calls {
					stored = append(stored, call)
				}
				established := 0
				for _, decision := range recovery.Decide(now+20000, contents.Process, stored, settings) {
					if decision.Outcome == recovery.Continue {
						established++
					}
				}
				if established != calls {
					b.Fatalf("%d of %d continue", established, calls)
				}
			}
		})
	}
}
