package numberfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"indigodrift/internal/numbers"
)

const rules = `name = "test"
version = 7
zone = "Europe/Riga"
holidays = ["2026-11-18"]
prefixes = "p.csv"
dialling {
  country = "371"
  short_most = 3
}
route "riga" {
  least = 11
  most = 11
  choice {
    days = ["mon", "tue"]
    from = "22:00"
    to = "06:00"
    holidays = "never"
    to "1" {
      weight = 3
    }
    announce {
      cause = 22
      weight = 1
    }
  }
  choice {
    to "2" {}
  }
}
screen "none" {
  numbers = "37190"
}
`

func writeSource(t *testing.T, rules, csv string) Source {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"t.hcl": rules, "p.csv": csv} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	s, err := ReadSource(filepath.Join(dir, "t.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestTableFromFiles(t *testing.T) {
	table, err := writeSource(t, rules, "# comment\n37167,riga\n37126,riga\n").Table(5)
	if err != nil {
		t.Fatal(err)
	}
	location, _ := time.LoadLocation("Europe/Riga")
	for _, c := range []struct {
		at   time.Time
		want int
	}{{time.Date(2026, 11, 17, 23, 0, 0, 0, location), 1}, {time.Date(2026, 11, 18, 5, 0, 0, 0, location), 1}, {time.Date(2026, 11, 18, 23, 0, 0, 0, location), 2}, {time.Date(2026, 11, 20, 23, 0, 0, 0, location), 2}} {
		if r := table.Analyse("", "67000000", c.at.Unix(), nil, nil); r.Exchange != c.want {
			t.Errorf("%v: %+v", c.at, r)
		}
	}
	if r := table.Analyse("", "90000000", 0, nil, nil); r.Outcome != numbers.NoRoute || table.Version != 7 || table.PrefixCount() != 2 {
		t.Errorf("%+v", r)
	}
}

func TestErrorsNameFileLineAndColumn(t *testing.T) {
	for _, c := range []struct{ from, to, csv, want string }{
		{`to "2" {}`, `to "9" {}`, "", `t.hcl:27,5: exchange "9"`}, {"least = 11", "least = 40", "", "t.hcl:11,11: least is 40"},
		{`"mon", "tue"`, `"mon", "noday"`, "", `t.hcl:14,12: day "noday"`}, {"Europe/Riga", "Europe/Nowhere", "", "t.hcl:3,8: time zone"},
		{"22:00", "25:00", "", "t.hcl:15,12"}, {"", "", "37167,riga\n371x,riga\n", `p.csv:2,4: 'x' is not a digit`},
		{"", "", "37167,riga\n3712,jelgava\n", `p.csv:2,6: route "jelgava" is not defined`}, {"", "", "1,riga\n1,riga,x\n", "p.csv: record on line 2"},
	} {
		_, err := writeSource(t, strings.Replace(rules, c.from, c.to, 1), c.csv).Table(5)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.want, err)
		}
	}
}

// A stored version that is truncated at any octet is rejected, and a flipped bit never yields other rules or prefixes.
func TestDecodeRejectsDamagedFiles(t *testing.T) {
	encoded := Encode(writeSource(t, rules, "37167,riga\n"))
	if s, err := Decode(encoded); err != nil || string(s.Prefixes) != "37167,riga\n" {
		t.Fatal(err)
	}
	for n := range encoded {
		if _, err := Decode(encoded[:n]); !errors.Is(err, ErrDamaged) {
			t.Fatalf("truncated to %d of %d octets: %v", n, len(encoded), err)
		}
		for bit := range 8 {
			damaged := append([]byte{}, encoded...)
			damaged[n] ^= 1 << bit
			if s, err := Decode(damaged); err == nil && string(s.Rules)+string(s.Prefixes) != rules+"37167,riga\n" {
				t.Fatalf("octet %d, bit %d: damaged file was accepted", n, bit)
			}
		}
	}
}

func TestLoadInForceFallsBackToLastGoodVersion(t *testing.T) {
	store, err := OpenStore(filepath.Join(t.TempDir(), "store"))
	if err != nil {
		t.Fatal(err)
	}
	if table, _, err := store.LoadInForce(5); table != nil || err != nil {
		t.Fatal(table, err)
	}
	for _, v := range []string{"1", "2", "3"} {
		s := writeSource(t, strings.Replace(rules, "version = 7", "version = "+v, 1), "37167,riga\n")
		version := uint64(v[0] - '0')
		if err := errors.Join(store.Save(version, s), store.AppendHistory(Record{Version: version, Event: "in force"})); err != nil {
			t.Fatal(err)
		}
	}
	os.WriteFile(store.path(3), []byte(magic+"{}"), 0o644) // damaged
	os.Remove(store.path(2))                               // missing
	history, _ := os.OpenFile(filepath.Join(store.dir, "history"), os.O_APPEND|os.O_WRONLY, 0)
	history.WriteString(`{"version":9,"na`) // killed while writing a line
	history.Close()
	table, warnings, err := store.LoadInForce(5)
	if err != nil || table == nil || table.Version != 1 || len(warnings) != 3 {
		t.Fatalf("%v, warnings %q, %v", table, warnings, err)
	}
}
