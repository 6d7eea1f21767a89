package mgcp

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

// Every message of the corpus, which follows the grammar, decodes and encodes to an equal message, and so do its events. Truncated
// within a line it is malformed.
func TestCorpusOfMessages(t *testing.T) {
	files, _ := filepath.Glob("testdata/corpus/*.txt")
	if len(files) < 20 {
		t.Fatalf("%d messages", len(files))
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		messages, err := Decode(text)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		var encoded []byte
		for i, m := range messages {
			if i > 0 {
				encoded = append(encoded, ".\r\n"...)
			}
			if encoded, err = Append(encoded, m); err != nil {
				t.Errorf("%s: %v", f, err)
			}
			for _, name := range []string{"R", "S", "O", "T"} {
				list, ok := m.Param(name)
				events, err := ParseEvents(list)
				if err != nil || ok && list != "" && len(events) == 0 {
					t.Errorf("%s: %s: %v %v", f, name, events, err)
				}
				back, err := ParseEvents(FormatEvents(events))
				if err != nil || !reflect.DeepEqual(back, events) {
					t.Errorf("%s: %v parses again as %v, %v", f, events, back, err)
				}
			}
		}
		if read, err := Decode(encoded); err != nil || !reflect.DeepEqual(read, messages) {
			t.Errorf("%s: decodes again as %+v, %v", f, read, err)
		}
		for n := range text {
			if truncated, err := Decode(text[:n]); err == nil && (n == 0 || text[n-1] != '\n') {
				t.Errorf("%s truncated after %d octets decodes as %+v", f, n, truncated)
			}
		}
	}
}

func TestEventsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []Event
		for range rapid.IntRange(0, 5).Draw(t, "events") {
			want = append(want, Event{Package: rapid.SampledFrom([]string{"", "L", "D", "G", "T"}).Draw(t, "package"), Name: rapid.StringMatching(`[a-z0-9]{1,4}|\[[0-9#*T]{1,5}\]`).Draw(t, "name"),
				Connection: rapid.SampledFrom([]string{"", "$", "*", "A1"}).Draw(t, "connection"), Args: rapid.StringMatching(`([A-Z](\([a-z], [a-z]\))?)?`).Draw(t, "args")})
		}
		got, err := ParseEvents(FormatEvents(want))
		if err != nil || len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: %v, %v", FormatEvents(want), got, err)
		}
	})
	for _, text := range []string{"L/hd(", "L/hd)", ",", "L/", "L/hd,", "a b", strings.Repeat("a,", 70) + "a"} {
		if e, err := ParseEvents(text); err == nil {
			t.Errorf("%.20q parses as %v", text, e)
		}
	}
}

func TestDigitsRoundTrip(t *testing.T) {
	if got := Digits(DigitEvents("0123#*T")); got != "0123#*T" {
		t.Fatal(got)
	}
	if got := Digits([]Event{{"L", "hd", "", ""}, {"D", "1", "", ""}, {"", "t", "", ""}, {"G", "2", "", ""}}); got != "1T" {
		t.Fatal(got)
	}
}

// Restart delays are spread evenly over the maximum. A disconnected gateway reports forever, after waits that grow and stay within
// their bounds.
func TestRestartAndDisconnectedDelays(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var counts [10]int
	for range 10000 {
		counts[RestartDelay(TrunkMaxRestartDelay, random)*10/TrunkMaxRestartDelay]++
	}
	for i, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("%d of 10000 in tenth %d", n, i)
		}
	}
	procedure := DisconnectedProcedure{MinWait: DisconnectedMinWait, MaxWait: DisconnectedMaxWait}
	now := policy.Tenths(1000)
	at := procedure.Start(now, DisconnectedInitialWait, random)
	if at < now || at > now+DisconnectedInitialWait {
		t.Fatalf("first report after %d", at-now)
	}
	lastWait := policy.Tenths(0)
	for range 12 {
		now = at
		if at = procedure.NextReport(now); at-now < DisconnectedMinWait || at-now > DisconnectedMaxWait || at-now < lastWait {
			t.Fatalf("wait of %d after one of %d", at-now, lastWait)
		}
		lastWait = at - now
	}
	if lastWait != DisconnectedMaxWait || procedure.ReportAfterEvent(now+10, now) != now+DisconnectedMinWait {
		t.Fatal(lastWait)
	}
}

const sampleEvents = "L/hd(A, E(S(L/dl), R(L/oc, L/hu, D/[0-9#*T](D)))), G/rt@$"

func checkEventsRoundTrip(t *testing.T, text []byte) {
	all, err := ParseEvents(string(text))
	if err != nil {
		return
	}
	if again, err := ParseEvents(FormatEvents(all)); err != nil || !reflect.DeepEqual(again, all) {
		t.Fatalf("%q: %v, then %v %v", text, all, again, err)
	}
}

func TestDamagedEvents(t *testing.T) {
	seeded.ForEachMutation(t, [][]byte{[]byte(sampleEvents)}, 100000, checkEventsRoundTrip)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(sampleEvents))
	f.Fuzz(checkEventsRoundTrip)
}
