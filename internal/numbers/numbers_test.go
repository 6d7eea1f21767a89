package numbers

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

// Compares the trie with a linear search for all numbers from 0 to 999, with and without leading zeros, and random longer ones.
func TestLongestPrefixAgainstPlainSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := map[string]uint32{}
		for range rapid.IntRange(0, 60).Draw(t, "count") {
			plain[rapid.StringMatching(`[0-9BC]{0,6}`).Draw(t, "prefix")] = rapid.Uint32Max(9).Draw(t, "entry")
		}
		var all []Prefix
		for d, e := range plain {
			all = append(all, Prefix{d, e})
		}
		trie, err := NewTrie(all)
		if err != nil || trie.Len() != len(plain) {
			t.Fatal(err, trie.Len())
		}
		check := func(number string) {
			entry, length, ok := trie.Find(number)
			for n := len(number); n >= 0; n-- {
				if e, is := plain[number[:n]]; is {
					if !ok || length != n || entry != e {
						t.Fatalf("%s: got value %d with %d digits, %v; want %d with %d", number, entry, length, ok, e, n)
					}
					return
				}
			}
			if ok {
				t.Fatalf("%s: got value %d, want none", number, entry)
			}
		}
		for n := range 1000 {
			check(fmt.Sprintf("%03d", n))
			check(fmt.Sprint(n))
		}
		for range 50 {
			check(rapid.StringMatching(`[0-9BC]{0,24}`).Draw(t, "number"))
		}
		walked := map[string]uint32{}
		trie.Walk(func(d string, e uint32) bool { walked[d] = e; return true })
		if len(walked) != len(plain) {
			t.Fatalf("%d prefixes walked, %d inserted", len(walked), len(plain))
		}
	})
}

func TestContradictingPrefixesAreNamed(t *testing.T) {
	for _, c := range []struct {
		all  []Prefix
		want string
	}{
		{[]Prefix{{"371", 1}, {"371", 2}}, "prefix 371 is defined twice"}, {[]Prefix{{"37x", 1}}, `prefix "37x"`},
		{[]Prefix{{strings.Repeat("1", 25), 1}}, "25 digits"},
	} {
		if _, err := NewTrie(c.all); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v", c.all, err)
		}
	}
}

// Compares local times with package time for each minute of two years, which contain changes of the clock.
func TestLocalTimeMinuteByMinute(t *testing.T) {
	for _, name := range []string{"Europe/Riga", "America/Bogota", "Australia/Lord_Howe"} {
		z, err := NewZone(name)
		if err != nil {
			t.Fatal(err)
		}
		loc, _ := time.LoadLocation(name)
		at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for end := at.AddDate(2, 0, 0); at.Before(end); at = at.Add(time.Minute) {
			l, got := at.In(loc), z.Local(at.Unix())
			y, m, d := l.Date()
			if got.Minute != l.Hour()*60+l.Minute() || got.Day != DayNumber(y, m, d) || got.Weekday() != int(l.Weekday()) {
				t.Fatalf("%s at %v: %+v, weekday %d", name, l, got, got.Weekday())
			}
		}
	}
}

func TestHoursThatComeTwiceOrNever(t *testing.T) {
	z, _ := NewZone("Europe/Riga")
	night := &Schedule{FromMinute: 3 * 60, ToMinute: 4 * 60}
	count := func(day time.Time) (minutes int) {
		for i := range 26 * 60 {
			if night.Contains(z, nil, day.Add(time.Duration(i)*time.Minute).Unix()) {
				minutes++
			}
		}
		return minutes
	}
	for _, c := range []struct {
		utc  time.Time
		want int
	}{{time.Date(2026, 3, 28, 20, 0, 0, 0, time.UTC), 0}, {time.Date(2026, 10, 24, 20, 0, 0, 0, time.UTC), 120},
		{time.Date(2026, 6, 1, 20, 0, 0, 0, time.UTC), 60}} {
		if got := count(c.utc); got != c.want {
			t.Errorf("%v: 3:00 to 4:00 contains %d minutes, want %d", c.utc, got, c.want)
		}
	}
}

func TestSpansPastMidnightBelongToTheirFirstDay(t *testing.T) {
	z, _ := NewZone("Europe/Riga")
	w := &Schedule{Weekdays: 1 << 5, FromMinute: 22 * 60, ToMinute: 30 * 60, ExceptHolidays: true} // Friday 22:00 to Saturday 6:00
	loc, _ := time.LoadLocation("Europe/Riga")
	holiday := []int{DayNumber(2026, 5, 8)}
	for _, c := range []struct {
		day, hour int
		want      bool
	}{{1, 21, false}, {1, 22, true}, {2, 5, true}, {2, 6, false}, {2, 22, false}, {8, 23, false}, {9, 3, false}, {15, 23, true}} {
		at := time.Date(2026, 5, c.day, c.hour, 0, 0, 0, loc)
		if got := w.Contains(z, holiday, at.Unix()); got != c.want {
			t.Errorf("%v: %v", at, got)
		}
	}
}

func table(version uint64, entries []Route, prefixes ...Prefix) *Table {
	z, _ := NewZone("Europe/Riga")
	t := &Table{Version: version, DialPlan: DialPlan{InternationalPrefix: "00", NationalPrefix: "", CountryCode: "371", MaxShortDigits: 3}, Zone: z, Routes: entries}
	if err := t.Build(prefixes, 10); err != nil {
		panic(err)
	}
	return t
}

func to(exchange int) []Choice { return []Choice{{Shares: []Share{{1, exchange, 0}}}} }

func TestNumbersFindTheirWay(t *testing.T) {
	tab := table(1, []Route{
		{Name: "riga", MinDigits: 11, MaxDigits: 11, Choices: to(3)},
		{Name: "clinic", MinDigits: 8, MaxDigits: 11, DeleteDigits: 3, InsertDigits: "9", Priority: true, Choices: to(4)},
		{Name: "emergency", MinDigits: 3, MaxDigits: 3, Emergency: true, Choices: to(5)},
		{Name: "closed", MinDigits: 4, MaxDigits: 12, Choices: []Choice{{Shares: []Share{{1, -1, 22}}}}},
		{Name: "moved", MinDigits: 11, MaxDigits: 11, MayBePorted: true, Choices: to(6)},
	}, Prefix{"371670", 0}, Prefix{"37167012", 1}, Prefix{"112", 2}, Prefix{"372", 3}, Prefix{"3712", 4})
	tab.Screens = []Screen{{"all", "", "3712900"}, {"one", "37167", "371670"}, {"even emergency", "", "112"}}
	if err := tab.buildScreens(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		caller, dialled string
		outcome         Outcome
		exchange        int
		sent            string
		cause           uint8
	}{
		{"", "67000000", ToExchange, 3, "37167000000", 0}, {"", "0037167000000", ToExchange, 3, "37167000000", 0},
		{"", "67012345", ToExchange, 4, "967012345", 0}, {"", "112", ToExchange, 5, "112", 0}, {"37160", "112", ToExchange, 5, "112", 0},
		{"", "003725555", Announcement, -1, "", 22}, {"", "6700000", TooShort, -1, "", 28}, {"", "670000000", TooLong, -1, "", 28},
		{"", "0049301234", NoRoute, -1, "", 1}, {"", "29001234", Barred, -1, "", 21}, {"37160000000", "67000000", ToExchange, 3, "37167000000", 0},
		{"37167111111", "67000000", Barred, -1, "", 21}, {"37167111111", "29001234", Barred, -1, "", 21}, {"", "28001234", ToExchange, 6, "37128001234", 0},
	} {
		steps := 0
		r := tab.Analyse(c.caller, c.dialled, 0, nil, func(string) { steps++ })
		if r.Outcome != c.outcome || r.Exchange != c.exchange || r.OutgoingDigits != c.sent || r.Cause != c.cause || steps < 2 {
			t.Errorf("%s from %q: %+v in %d steps", c.dialled, c.caller, r, steps)
		}
	}
	if r := tab.Analyse("", "28001234", 0, nil, nil); !r.NeedsLookup || tab.AnalysePorted("", "37167000001", 0, nil).Exchange != 3 {
		t.Errorf("%+v", r)
	}
}

func TestBadEntriesAreRefusedByName(t *testing.T) {
	for _, e := range []Route{{Name: "x", MinDigits: 3, MaxDigits: 2, Choices: to(1)}, {Name: "x", MinDigits: 3, MaxDigits: 25, Choices: to(1)},
		{Name: "x", MinDigits: 3, MaxDigits: 9, DeleteDigits: 4, Choices: to(1)}, {Name: "x", MinDigits: 3, MaxDigits: 9, InsertDigits: "1a", Choices: to(1)},
		{Name: "x", MinDigits: 3, MaxDigits: 9, Choices: to(10)}, {Name: "x", MinDigits: 3, MaxDigits: 9, Choices: []Choice{{}}}} {
		tab := &Table{Routes: []Route{e}}
		if err := tab.Build([]Prefix{{"1", 0}}, 10); err == nil || !strings.Contains(err.Error(), `route "x"`) {
			t.Errorf("%+v: %v", e, err)
		}
	}
}

// After any number of calls each share is close to its proportion, and a caller who redials gets the same share.
func TestSharesHoldOverFewCallsAsOverMany(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []Share
		sum := 0
		for range rapid.IntRange(1, 5).Draw(t, "shares") {
			w := rapid.IntRange(0, 50).Draw(t, "weight")
			shares = append(shares, Share{w, len(shares), 0})
			sum += w
		}
		if sum == 0 {
			return
		}
		s := NewDistributor(100)
		pick := s.ForVersion(1)
		given := make([]int, len(shares))
		had := map[string]int{}
		for n := 1; n <= 200; n++ {
			caller := fmt.Sprint(n)
			got := pick(0, 0, shares, caller)
			given[got]++
			had[caller] = got
			for i, x := range shares {
				want := float64(n) * float64(x.Weight) / float64(sum)
				if d := float64(given[i]) - want; d > 1.0001 || d < -float64(len(shares)) {
					t.Fatalf("after %d calls share %d of %v has %d, want %.2f", n, i, shares, given[i], want)
				}
			}
			if again := fmt.Sprint(max(1, n-50)); pick(0, 0, shares, again) != had[again] {
				t.Fatalf("caller %s got another share when redialling", again)
			}
		}
		if len(s.assigned) > 100 {
			t.Fatalf("%d callers are remembered, the limit is 100", len(s.assigned))
		}
	})
}

func TestCallKeepsItsVersionAndOldOnesAreFreed(t *testing.T) {
	v := NewVersions(table(1, nil), Trial{Window: 100000, MaxIncrease: 0.2, MinFailures: 5})
	first := v.Pin()
	if err := v.Load(table(2, nil), 50, 10, 0); err != nil || v.Current().Version != 1 {
		t.Fatal(err, v.Current().Version)
	}
	if v.ActivateDue(49, 1) || !v.ActivateDue(50, 2) {
		t.Fatal("not activated at its activation time")
	}
	second := v.Pin()
	if first.Version != 1 || second.Version != 2 || v.HeldCount() != 2 {
		t.Fatalf("%d, %d, %d held", first.Version, second.Version, v.HeldCount())
	}
	v.Unpin(first)
	if v.HeldCount() != 1 {
		t.Fatalf("%d versions held without a call on the old one", v.HeldCount())
	}
	for _, version := range []uint64{1, 2} {
		if err := v.Load(table(version, nil), 0, 60, 3); !errors.Is(err, ErrNotNewer) {
			t.Fatalf("version %d: %v", version, err)
		}
	}
	v.Load(table(4, nil), 100, 60, 3) // of two scheduled versions the newer stays pending
	if err := v.Load(table(3, nil), 90, 60, 3); !errors.Is(err, ErrNotNewer) {
		t.Fatal(err)
	}
}

func TestVersionIsTakenBackWhenCallsFindNoRoute(t *testing.T) {
	for _, c := range []struct {
		missed, of, before int
		back               bool
	}{{0, 100, 0, false}, {10, 100, 0, false}, {4, 5, 0, false}, {5, 6, 0, true}, {30, 60, 0, true}, {30, 60, 500, false}} {
		v := NewVersions(table(1, nil), Trial{Window: 100000, MaxIncrease: 0.3, MinFailures: 5})
		for range c.before { // half of the calls find no route before the change
			v.RecordCall(v.Current(), false, 0)
			v.RecordCall(v.Current(), true, 0)
		}
		v.Load(table(2, nil), 0, 0, 0)
		back := false
		for n := range c.of {
			why, must := v.RecordCall(v.Current(), (n+1)*c.missed/c.of == n*c.missed/c.of, policy.Tenths(n))
			if must {
				back = true
				if _, err := v.Rollback(why, 10); err != nil {
					t.Fatal(err)
				}
				break
			}
		}
		if back != c.back {
			t.Errorf("%+v: rolled back %v", c, back)
		}
		if back {
			if err := v.Load(table(2, nil), 0, 0, 0); !errors.Is(err, ErrRolledBack) || v.Current().Version != 1 {
				t.Errorf("a version rolled back was accepted again: %v", err)
			}
		}
	}
	v := NewVersions(table(1, nil), Trial{Window: 100, MaxIncrease: 0.3, MinFailures: 5})
	v.Load(table(2, nil), 0, 0, 0)
	for range 50 { // no rollback after the trial window
		if _, back := v.RecordCall(v.Current(), false, 200); back {
			t.Fatal("rolled back after the trial window")
		}
	}
}

// Applies random loads, pins and rollbacks. Guards against dropping a version that calls use and keeping one that none uses.
func TestVersionsUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewVersions(table(1, nil), Trial{Window: 1000, MaxIncrease: 0.5, MinFailures: 3})
		var calls []*Table
		next := uint64(2)
		for range 60 {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				calls = append(calls, v.Pin())
			case 2:
				if len(calls) > 0 {
					i := rapid.IntRange(0, len(calls)-1).Draw(t, "which")
					v.Unpin(calls[i])
					calls = slices.Delete(calls, i, i+1)
				}
			case 3:
				v.Load(table(next, nil), 0, 0, 0)
				next++
			case 4:
				v.Rollback("test", 0)
			}
			held := map[uint64]bool{v.Current().Version: true}
			for _, c := range calls {
				held[c.Version] = true
			}
			if v.HeldCount() != len(held) {
				t.Fatalf("%d versions held, in use are %v", v.HeldCount(), held)
			}
		}
	})
}
