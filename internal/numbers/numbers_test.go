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
func TestFindMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := map[string]uint32{}
		for range rapid.IntRange(0, 60).Draw(t, "count") {
			values[rapid.StringMatching(`[0-9BC]{0,6}`).Draw(t, "prefix")] = rapid.Uint32Max(9).Draw(t, "entry")
		}
		var prefixes []Prefix
		for d, e := range values {
			prefixes = append(prefixes, Prefix{d, e})
		}
		trie, err := NewTrie(prefixes)
		if err != nil || trie.Len() != len(values) {
			t.Fatal(err, trie.Len())
		}
		check := func(number string) {
			value, length, ok := trie.Find(number)
			for n := len(number); n >= 0; n-- {
				if e, found := values[number[:n]]; found {
					if !ok || length != n || value != e {
						t.Fatalf("%s: got value %d with %d digits, %v; want %d with %d", number, value, length, ok, e, n)
					}
					return
				}
			}
			if ok {
				t.Fatalf("%s: got value %d, want none", number, value)
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
		if len(walked) != len(values) {
			t.Fatalf("%d prefixes walked, %d inserted", len(walked), len(values))
		}
	})
}

func TestErrorsNameInvalidPrefixes(t *testing.T) {
	for _, c := range []struct {
		prefixes []Prefix
		want     string
	}{
		{[]Prefix{{"371", 1}, {"371", 2}}, "prefix 371 is defined twice"}, {[]Prefix{{"37x", 1}}, `prefix "37x"`},
		{[]Prefix{{strings.Repeat("1", 25), 1}}, "25 digits"},
	} {
		if _, err := NewTrie(c.prefixes); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v", c.prefixes, err)
		}
	}
}

// Compares local times with package time for each minute of two years, which contain changes of the clock.
func TestLocalTimeMatchesPackageTime(t *testing.T) {
	for _, name := range []string{"Europe/Riga", "America/Bogota", "Australia/Lord_Howe"} {
		zone, err := NewZone(name)
		if err != nil {
			t.Fatal(err)
		}
		location, _ := time.LoadLocation(name)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for end := now.AddDate(2, 0, 0); now.Before(end); now = now.Add(time.Minute) {
			want, got := now.In(location), zone.Local(now.Unix())
			y, m, d := want.Date()
			if got.Minute != want.Hour()*60+want.Minute() || got.Day != DayNumber(y, m, d) || got.Weekday() != int(want.Weekday()) {
				t.Fatalf("%s at %v: %+v, weekday %d", name, want, got, got.Weekday())
			}
		}
	}
}

func TestScheduleAtClockChanges(t *testing.T) {
	zone, _ := NewZone("Europe/Riga")
	night := &Schedule{FromMinute: 3 * 60, ToMinute: 4 * 60}
	count := func(start time.Time) (minutes int) {
		for i := range 26 * 60 {
			if night.Contains(zone, nil, start.Add(time.Duration(i)*time.Minute).Unix()) {
				minutes++
			}
		}
		return minutes
	}
	for _, c := range []struct {
		start time.Time
		want  int
	}{{time.Date(2026, 3, 28, 20, 0, 0, 0, time.UTC), 0}, {time.Date(2026, 10, 24, 20, 0, 0, 0, time.UTC), 120},
		{time.Date(2026, 6, 1, 20, 0, 0, 0, time.UTC), 60}} {
		if got := count(c.start); got != c.want {
			t.Errorf("%v: 3:00 to 4:00 contains %d minutes, want %d", c.start, got, c.want)
		}
	}
}

func TestSchedulePastMidnightBelongsToItsFirstDay(t *testing.T) {
	zone, _ := NewZone("Europe/Riga")
	schedule := &Schedule{Weekdays: 1 << 5, FromMinute: 22 * 60, ToMinute: 30 * 60, ExceptHolidays: true} // Friday 22:00 to Saturday 6:00
	location, _ := time.LoadLocation("Europe/Riga")
	holiday := []int{DayNumber(2026, 5, 8)}
	for _, c := range []struct {
		day, hour int
		want      bool
	}{{1, 21, false}, {1, 22, true}, {2, 5, true}, {2, 6, false}, {2, 22, false}, {8, 23, false}, {9, 3, false}, {15, 23, true}} {
		at := time.Date(2026, 5, c.day, c.hour, 0, 0, 0, location)
		if got := schedule.Contains(zone, holiday, at.Unix()); got != c.want {
			t.Errorf("%v: %v", at, got)
		}
	}
}

func newTestTable(version uint64, routes []Route, prefixes ...Prefix) *Table {
	z, _ := NewZone("Europe/Riga")
	t := &Table{Version: version, DialPlan: DialPlan{InternationalPrefix: "00", NationalPrefix: "", CountryCode: "371", MaxShortDigits: 3}, Zone: z, Routes: routes}
	if err := t.Build(prefixes, 10); err != nil {
		panic(err)
	}
	return t
}

func choicesTo(exchange int) []Choice { return []Choice{{Shares: []Share{{1, exchange, 0}}}} }

func TestAnalyse(t *testing.T) {
	table := newTestTable(1, []Route{
		{Name: "riga", MinDigits: 11, MaxDigits: 11, Choices: choicesTo(3)},
		{Name: "clinic", MinDigits: 8, MaxDigits: 11, DeleteDigits: 3, InsertDigits: "9", Priority: true, Choices: choicesTo(4)},
		{Name: "emergency", MinDigits: 3, MaxDigits: 3, Emergency: true, Choices: choicesTo(5)},
		{Name: "closed", MinDigits: 4, MaxDigits: 12, Choices: []Choice{{Shares: []Share{{1, -1, 22}}}}},
		{Name: "moved", MinDigits: 11, MaxDigits: 11, MayBePorted: true, Choices: choicesTo(6)},
	}, Prefix{"371670", 0}, Prefix{"37167012", 1}, Prefix{"112", 2}, Prefix{"372", 3}, Prefix{"3712", 4})
	table.Screens = []Screen{{"all", "", "3712900"}, {"one", "37167", "371670"}, {"even emergency", "", "112"}}
	if err := table.buildScreens(); err != nil {
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
		r := table.Analyse(c.caller, c.dialled, 0, nil, func(string) { steps++ })
		if r.Outcome != c.outcome || r.Exchange != c.exchange || r.OutgoingDigits != c.sent || r.Cause != c.cause || steps < 2 {
			t.Errorf("%s from %q: %+v in %d steps", c.dialled, c.caller, r, steps)
		}
	}
	if r := table.Analyse("", "28001234", 0, nil, nil); !r.NeedsLookup || table.AnalysePorted("", "37167000001", 0, nil).Exchange != 3 {
		t.Errorf("%+v", r)
	}
}

func TestErrorsNameInvalidRoutes(t *testing.T) {
	for _, route := range []Route{{Name: "x", MinDigits: 3, MaxDigits: 2, Choices: choicesTo(1)}, {Name: "x", MinDigits: 3, MaxDigits: 25, Choices: choicesTo(1)},
		{Name: "x", MinDigits: 3, MaxDigits: 9, DeleteDigits: 4, Choices: choicesTo(1)}, {Name: "x", MinDigits: 3, MaxDigits: 9, InsertDigits: "1a", Choices: choicesTo(1)},
		{Name: "x", MinDigits: 3, MaxDigits: 9, Choices: choicesTo(10)}, {Name: "x", MinDigits: 3, MaxDigits: 9, Choices: []Choice{{}}}} {
		table := &Table{Routes: []Route{route}}
		if err := table.Build([]Prefix{{"1", 0}}, 10); err == nil || !strings.Contains(err.Error(), `route "x"`) {
			t.Errorf("%+v: %v", route, err)
		}
	}
}

// No share gets more than one call over its proportion after any number of calls, and a caller who redials gets the same share.
func TestSharesStayInProportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares []Share
		totalWeight := 0
		for range rapid.IntRange(1, 5).Draw(t, "shares") {
			weight := rapid.IntRange(0, 50).Draw(t, "weight")
			shares = append(shares, Share{weight, len(shares), 0})
			totalWeight += weight
		}
		if totalWeight == 0 {
			return
		}
		distributor := NewDistributor(100)
		selectShare := distributor.ForVersion(1)
		counts := make([]int, len(shares))
		previous := map[string]int{}
		for n := 1; n <= 200; n++ {
			caller := fmt.Sprint(n)
			got := selectShare(0, 0, shares, caller)
			counts[got]++
			previous[caller] = got
			for i, share := range shares {
				want := float64(n) * float64(share.Weight) / float64(totalWeight)
				if d := float64(counts[i]) - want; d > 1.0001 || d < -float64(len(shares)) {
					t.Fatalf("after %d calls share %d of %v has %d, want %.2f", n, i, shares, counts[i], want)
				}
			}
			if redialler := fmt.Sprint(max(1, n-50)); selectShare(0, 0, shares, redialler) != previous[redialler] {
				t.Fatalf("caller %s got another share when redialling", redialler)
			}
		}
		if len(distributor.assigned) > 100 {
			t.Fatalf("%d callers are remembered, the limit is 100", len(distributor.assigned))
		}
	})
}

func TestVersionIsKeptWhilePinned(t *testing.T) {
	versions := NewVersions(newTestTable(1, nil), Trial{Window: 100000, MaxIncrease: 0.2, MinFailures: 5})
	first := versions.Pin()
	if err := versions.Load(newTestTable(2, nil), 50, 10, 0); err != nil || versions.Current().Version != 1 {
		t.Fatal(err, versions.Current().Version)
	}
	if versions.ActivateDue(49, 1) || !versions.ActivateDue(50, 2) {
		t.Fatal("not activated at its activation time")
	}
	second := versions.Pin()
	if first.Version != 1 || second.Version != 2 || versions.HeldCount() != 2 {
		t.Fatalf("%d, %d, %d held", first.Version, second.Version, versions.HeldCount())
	}
	versions.Unpin(first)
	if versions.HeldCount() != 1 {
		t.Fatalf("%d versions held without a call on the old one", versions.HeldCount())
	}
	for _, version := range []uint64{1, 2} {
		if err := versions.Load(newTestTable(version, nil), 0, 60, 3); !errors.Is(err, ErrNotNewer) {
			t.Fatalf("version %d: %v", version, err)
		}
	}
	versions.Load(newTestTable(4, nil), 100, 60, 3) // of two scheduled versions the newer stays pending
	if err := versions.Load(newTestTable(3, nil), 90, 60, 3); !errors.Is(err, ErrNotNewer) {
		t.Fatal(err)
	}
}

func TestVersionIsRolledBackWhenCallsFindNoRoute(t *testing.T) {
	for _, c := range []struct {
		missed, calls, callsBefore int
		rolledBack                 bool
	}{{0, 100, 0, false}, {10, 100, 0, false}, {4, 5, 0, false}, {5, 6, 0, true}, {30, 60, 0, true}, {30, 60, 500, false}} {
		versions := NewVersions(newTestTable(1, nil), Trial{Window: 100000, MaxIncrease: 0.3, MinFailures: 5})
		for range c.callsBefore { // half of the calls find no route before the change
			versions.RecordCall(versions.Current(), false, 0)
			versions.RecordCall(versions.Current(), true, 0)
		}
		versions.Load(newTestTable(2, nil), 0, 0, 0)
		rolledBack := false
		for n := range c.calls {
			reason, trialFailed := versions.RecordCall(versions.Current(), (n+1)*c.missed/c.calls == n*c.missed/c.calls, policy.Tenths(n))
			if trialFailed {
				rolledBack = true
				if _, err := versions.Rollback(reason, 10); err != nil {
					t.Fatal(err)
				}
				break
			}
		}
		if rolledBack != c.rolledBack {
			t.Errorf("%+v: rolled back %v", c, rolledBack)
		}
		if rolledBack {
			if err := versions.Load(newTestTable(2, nil), 0, 0, 0); !errors.Is(err, ErrRolledBack) || versions.Current().Version != 1 {
				t.Errorf("a version rolled back was accepted again: %v", err)
			}
		}
	}
	versions := NewVersions(newTestTable(1, nil), Trial{Window: 100, MaxIncrease: 0.3, MinFailures: 5})
	versions.Load(newTestTable(2, nil), 0, 0, 0)
	for range 50 { // no rollback after the trial window
		if _, rolledBack := versions.RecordCall(versions.Current(), false, 200); rolledBack {
			t.Fatal("rolled back after the trial window")
		}
	}
}

// Applies random loads, pins and rollbacks. Guards against dropping a version that calls use and keeping one that none uses.
func TestVersionsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := NewVersions(newTestTable(1, nil), Trial{Window: 1000, MaxIncrease: 0.5, MinFailures: 3})
		var calls []*Table
		next := uint64(2)
		for range 60 {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				calls = append(calls, versions.Pin())
			case 2:
				if len(calls) > 0 {
					i := rapid.IntRange(0, len(calls)-1).Draw(t, "which")
					versions.Unpin(calls[i])
					calls = slices.Delete(calls, i, i+1)
				}
			case 3:
				versions.Load(newTestTable(next, nil), 0, 0, 0)
				next++
			case 4:
				versions.Rollback("test", 0)
			}
			held := map[uint64]bool{versions.Current().Version: true}
			for _, c := range calls {
				held[c.Version] = true
			}
			if versions.HeldCount() != len(held) {
				t.Fatalf("%d versions held, in use are %v", versions.HeldCount(), held)
			}
		}
	})
}
