package membership

import (
	"slices"
	"testing"

	"indigodrift/policy"
)

func line(id uint32, life uint64, up policy.Tenths) Line {
	return Line{ID: id, Number: int(id), Life: life, UpFor: up, Ready: true}
}

func whole(version uint64, lines ...Line) List {
	return List{Epoch: 1, Version: version, Whole: true, Count: len(lines), Lines: lines}
}

func TestListsThatCannotBeTrusted(t *testing.T) {
	short := whole(4, line(1, 1, 0), line(2, 1, 0))
	short.Lines = short.Lines[:1]
	gap := List{Epoch: 1, Version: 9, Count: 1, Lines: []Line{line(1, 1, 0)}}
	for _, c := range []struct {
		name string
		l    List
		want Verdict
	}{
		{"stale", whole(2, line(1, 1, 0)), Old}, {"repeated", whole(3, line(1, 1, 0)), Old}, {"short", short, Refused},
		{"change after a gap", gap, Refused},
		{"register restarted", List{Epoch: 2, Version: 1, Whole: true, Count: 1, Lines: []Line{line(1, 1, 0)}}, Accepted},
		{"change of an epoch never seen", List{Epoch: 2, Version: 4, Count: 1, Lines: []Line{line(1, 1, 0)}}, Refused},
	} {
		v := NewView(5)
		v.Take(1000, whole(3, line(1, 1, 100), line(2, 1, 100)))
		got, told, _ := v.Take(2000, c.l)
		if got != c.want || (got != Accepted) != (told == nil) {
			t.Errorf("%s: verdict %d, switches %v", c.name, got, told)
		}
	}
}

func TestContradictionsAreReadTheCarefulWay(t *testing.T) {
	v := NewView(5)
	drains := line(1, 1, 0)
	drains.Ready, drains.Draining = false, true
	_, told, doubts := v.Take(1000, whole(1, line(1, 1, 0), drains, line(2, 3, 0), line(7, 1, 0)))
	want := []policy.Switch{{ID: 1, Number: 1, BootAt: 1000, Draining: true}, {ID: 2, Number: 2, BootAt: 1000, Ready: true}}
	if !slices.Equal(told, want) || len(doubts) != 2 {
		t.Fatalf("switches %v, doubts %q", told, doubts)
	}
	if _, told, _ = v.Take(2000, whole(2, line(2, 2, 0))); told[0].Ready {
		t.Fatalf("a switch listed in an earlier incarnation counts as ready: %v", told)
	}
}

func TestStartIsDatedOnce(t *testing.T) {
	v := NewView(5)
	_, first, _ := v.Take(50000, whole(1, line(1, 4, 2000)))
	_, again, _ := v.Take(60000, whole(2, line(1, 4, 13000)))
	_, later, _ := v.Take(70000, List{Epoch: 1, Version: 3, Count: 1, Lines: []Line{line(1, 5, 100)}})
	if first[0].BootAt != 48000 || again[0].BootAt != 48000 || later[0].BootAt != 69900 {
		t.Fatalf("%v %v %v", first, again, later)
	}
}
