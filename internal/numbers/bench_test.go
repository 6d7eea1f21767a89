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

// randomPrefixes returns random prefixes like those of a national numbering plan: a country code and at least 5 more digits.
func randomPrefixes(n int) []Prefix {
	random := rand.New(rand.NewPCG(7, uint64(n)))
	seen := make(map[string]bool, n)
	prefixes := make([]Prefix, 0, n)
	for len(prefixes) < n {
		length := 5 + random.IntN(4)
		if n > 100000 {
			length += 2
		}
		digits := []byte("371")
		for range length {
			digits = append(digits, byte('0'+random.IntN(10)))
		}
		if !seen[string(digits)] {
			seen[string(digits)] = true
			prefixes = append(prefixes, Prefix{string(digits), uint32(random.IntN(1000))})
		}
	}
	return prefixes
}

// finder is a search method: the trie, or a baseline to compare it with.
type finder struct {
	name  string
	build func(all []Prefix) func(digits string) (uint32, bool)
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
		var byLength [MaxDigits + 1]map[string]uint32
		for _, p := range all {
			if byLength[len(p.Digits)] == nil {
				byLength[len(p.Digits)] = map[string]uint32{}
			}
			byLength[len(p.Digits)][strings.Clone(p.Digits)] = p.Value // as a table, which does not retain its source
		}
		return func(d string) (uint32, bool) {
			for n := min(len(d), MaxDigits); n >= 0; n-- {
				if e, ok := byLength[n][d[:n]]; ok {
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
		prefixes := randomPrefixes(n)
		random := rand.New(rand.NewPCG(9, 9))
		dialled := make([]string, 4096)
		for i := range dialled {
			for dialled[i] = prefixes[random.IntN(n)].Digits; len(dialled[i]) < 15; { // the maximum length of an E.164 number
				dialled[i] += string(rune('0' + random.IntN(10)))
			}
		}
		for _, f := range finders {
			b.Run(fmt.Sprintf("%s-%d", f.name, n), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				start := time.Now()
				find := f.build(prefixes)
				buildTime := time.Since(start)
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
				b.ReportMetric(buildTime.Seconds(), "build-s")
				runtime.KeepAlive(prefixes)
			})
		}
	}
}

// BenchmarkActivate measures the activation of a version, which swaps a pointer whatever the size of the table.
func BenchmarkActivate(b *testing.B) {
	versions := NewVersions(&Table{Version: 1}, Trial{})
	for n := uint64(2); b.Loop(); n++ {
		versions.Pin()
		if err := versions.Load(&Table{Version: n}, 0, 0, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// discardNet accepts queries and never answers them.
type discardNet struct{}

func (discardNet) Query(uint32, int, string)        {}
func (discardNet) LookupDone(uint32, Porting, bool) {}

// BenchmarkStorm measures the memory retained after look-ups of ten million distinct numbers that the server reports as unknown,
// and how many of the numbers known before stay cached.
func BenchmarkStorm(b *testing.B) {
	unknownCount := 10_000_000
	if testing.Short() {
		unknownCount = 1_000_000
	}
	for range b.N {
		resolver, err := NewPortabilityResolver(ResolverLimits{MaxKnown: 100000, MaxUnknown: 10000, MaxAge: 36000000, MaxPending: 256, QueryTimeout: 10000, RetryRatio: 0.1}, 1, discardNet{})
		if err != nil {
			b.Fatal(err)
		}
		now := policy.Tenths(1)
		id := uint32(0)
		lookUp := func(number string, known bool) {
			now++
			if _, status := resolver.Lookup(now, 1, number, now+3000); status != LookupAnswered {
				id++
				resolver.HandleAnswer(now+10, id, Porting{}, known, 0)
			}
		}
		for i := range 100000 {
			lookUp(fmt.Sprint("good", i), true)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range unknownCount {
			lookUp(strconv.Itoa(i), false)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		stillKnown := 0
		for i := range 100000 {
			if _, status := resolver.Lookup(now, 1, fmt.Sprint("good", i), now); status == LookupAnswered {
				stillKnown++
			}
		}
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MiB-more")
		b.ReportMetric(float64(before.HeapAlloc)/(1<<20), "MiB-before")
		b.ReportMetric(float64(stillKnown)/100000, "known-kept")
		runtime.KeepAlive(resolver)
	}
}
