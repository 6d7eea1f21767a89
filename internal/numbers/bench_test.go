package numbers

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"indigodrift/policy"
)

// plan returns random prefixes like those of a national numbering plan: a country code and at least 5 more digits.
func plan(n int) []Prefix {
	chance := rand.New(rand.NewPCG(7, uint64(n)))
	seen := make(map[string]bool, n)
	all := make([]Prefix, 0, n)
	for len(all) < n {
		length := 5 + chance.IntN(4)
		if n > 100000 {
			length += 2
		}
		d := []byte("371")
		for range length {
			d = append(d, byte('0'+chance.IntN(10)))
		}
		if !seen[string(d)] {
			seen[string(d)] = true
			all = append(all, Prefix{string(d), uint32(chance.IntN(1000))})
		}
	}
	return all
}

// finder is a search method: the trie, or a baseline to compare it with.
type finder struct {
	name string
	make func(all []Prefix) func(digits string) (uint32, bool)
}

var finders = []finder{
	{"trie", func(all []Prefix) func(string) (uint32, bool) {
		t, err := NewTrie(all)
		if err != nil {
			panic(err)
		}
		return func(d string) (uint32, bool) { e, _, ok := t.Find(d); return e, ok }
	}},
	{"map-by-length", func(all []Prefix) func(string) (uint32, bool) {
		var by [MaxDigits + 1]map[string]uint32
		for _, p := range all {
			if by[len(p.Digits)] == nil {
				by[len(p.Digits)] = map[string]uint32{}
			}
			by[len(p.Digits)][strings.Clone(p.Digits)] = p.Value // as a table, which does not retain its source
		}
		return func(d string) (uint32, bool) {
			for n := min(len(d), MaxDigits); n >= 0; n-- {
				if e, ok := by[n][d[:n]]; ok {
					return e, true
				}
			}
			return 0, false
		}
	}},
	{"sorted-search", func(all []Prefix) func(string) (uint32, bool) {
		sorted := append([]Prefix{}, all...)
		for i := range sorted {
			sorted[i].Digits = strings.Clone(sorted[i].Digits)
		}
		sort.Slice(sorted, func(i, j int) bool { return sorted[i].Digits < sorted[j].Digits })
		return func(d string) (uint32, bool) {
			for n := len(d); n >= 0; n-- {
				i := sort.Search(len(sorted), func(i int) bool { return sorted[i].Digits >= d[:n] })
				if i < len(sorted) && sorted[i].Digits == d[:n] {
					return sorted[i].Value, true
				}
			}
			return 0, false
		}
	}},
}

// BenchmarkFind measures a search, the memory per prefix and the build time for three sizes and three search methods.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000, 10_000_000} {
		if testing.Short() && n > 1_000_000 {
			continue
		}
		all := plan(n)
		chance := rand.New(rand.NewPCG(9, 9))
		dialled := make([]string, 4096)
		for i := range dialled {
			for dialled[i] = all[chance.IntN(n)].Digits; len(dialled[i]) < 15; { // the maximum length of an E.164 number
				dialled[i] += string(rune('0' + chance.IntN(10)))
			}
		}
		for _, f := range finders {
			b.Run(fmt.Sprintf("%s-%d", f.name, n), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				from := time.Now()
				find := f.make(all)
				built := time.Since(from)
				runtime.GC()
				runtime.ReadMemStats(&after)
				i, missed := 0, 0
				b.ResetTimer()
				for b.Loop() {
					if _, ok := find(dialled[i&4095]); !ok {
						missed++
					}
					i++
				}
				if missed > 0 {
					b.Fatalf("%d searches found nothing", missed)
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/prefix")
				b.ReportMetric(built.Seconds(), "build-s")
				runtime.KeepAlive(all)
			})
		}
	}
}

// BenchmarkSwitch measures the activation of a version, which swaps a pointer whatever the size of the table.
func BenchmarkSwitch(b *testing.B) {
	v := NewVersions(&Table{Version: 1}, Trial{})
	for n := uint64(2); b.Loop(); n++ {
		v.Pin()
		if err := v.Load(&Table{Version: n}, 0, 0, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// discardNet accepts queries and never answers them.
type quiet struct{}

func (quiet) Query(uint32, int, string)        {}
func (quiet) LookupDone(uint32, Porting, bool) {}

// BenchmarkStorm measures the memory retained after look-ups of ten million distinct numbers that the server reports as unknown,
// and how many of the numbers known before stay cached.
func BenchmarkStorm(b *testing.B) {
	storm := 10_000_000
	if testing.Short() {
		storm = 1_000_000
	}
	for range b.N {
		q, err := NewPortabilityResolver(ResolverLimits{MaxKnown: 100000, MaxUnknown: 10000, MaxAge: 36000000, MaxPending: 256, QueryTimeout: 10000, RetryRatio: 0.1}, 1, quiet{})
		if err != nil {
			b.Fatal(err)
		}
		now := policy.Tenths(1)
		id := uint32(0)
		ask := func(number string, known bool) {
			now++
			if _, v := q.Lookup(now, 1, number, now+3000); v != LookupAnswered {
				id++
				q.HandleAnswer(now+10, id, Porting{}, known, 0)
			}
		}
		for i := range 100000 {
			ask(fmt.Sprint("good", i), true)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range storm {
			ask(strconv.Itoa(i), false)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		kept := 0
		for i := range 100000 {
			if _, v := q.Lookup(now, 1, fmt.Sprint("good", i), now); v == LookupAnswered {
				kept++
			}
		}
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MiB-more")
		b.ReportMetric(float64(before.HeapAlloc)/(1<<20), "MiB-before")
		b.ReportMetric(float64(kept)/100000, "known-kept")
		runtime.KeepAlive(q)
	}
}
