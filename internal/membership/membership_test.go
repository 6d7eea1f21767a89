package membership

import (
	"slices"
	"testing"

	"indigodrift/policy"
)

func newEntry(id uint32, incarnation uint64, uptime policy.Tenths) Entry {
	return Entry{ID: id, Number: int(id), Incarnation: incarnation, Uptime: uptime, Ready: true}
}

func fullList(version uint64, entries ...Entry) List {
	return List{Epoch: 1, Version: version, Full: true, Count: len(entries), Entries: entries}
}

func TestInvalidLists(t *testing.T) {
	short := fullList(4, newEntry(1, 1, 0), newEntry(2, 1, 0))
	short.Entries = short.Entries[:1]
	gap := List{Epoch: 1, Version: 9, Count: 1, Entries: []Entry{newEntry(1, 1, 0)}}
	for _, c := range []struct {
		name string
		list List
		want Verdict
	}{
		{"stale", fullList(2, newEntry(1, 1, 0)), Stale}, {"repeated", fullList(3, newEntry(1, 1, 0)), Stale}, {"short", short, Rejected},
		{"change after a gap", gap, Rejected},
		{"register restarted", List{Epoch: 2, Version: 1, Full: true, Count: 1, Entries: []Entry{newEntry(1, 1, 0)}}, Accepted},
		{"change of an epoch never seen", List{Epoch: 2, Version: 4, Count: 1, Entries: []Entry{newEntry(1, 1, 0)}}, Rejected},
	} {
		v := NewView(5)
		v.Apply(1000, fullList(3, newEntry(1, 1, 100), newEntry(2, 1, 100)))
		got, switches, _ := v.Apply(2000, c.list)
		if got != c.want || (got != Accepted) != (switches == nil) {
			t.Errorf("%s: verdict %d, switches %v", c.name, got, switches)
		}
	}
}

func TestContradictionsCountAsNotReady(t *testing.T) {
	v := NewView(5)
	draining := newEntry(1, 1, 0)
	draining.Ready, draining.Draining = false, true
	_, switches, remarks := v.Apply(1000, fullList(1, newEntry(1, 1, 0), draining, newEntry(2, 3, 0), newEntry(7, 1, 0)))
	want := []policy.Switch{{ID: 1, Number: 1, BootAt: 1000, Draining: true}, {ID: 2, Number: 2, BootAt: 1000, Ready: true}}
	if !slices.Equal(switches, want) || len(remarks) != 2 {
		t.Fatalf("switches %v, remarks %q", switches, remarks)
	}
	if _, switches, _ = v.Apply(2000, fullList(2, newEntry(2, 2, 0))); switches[0].Ready {
		t.Fatalf("a switch listed in an earlier incarnation counts as ready: %v", switches)
	}
}

func TestStartTimeIsKept(t *testing.T) {
	v := NewView(5)
	_, first, _ := v.Apply(50000, fullList(1, newEntry(1, 4, 2000)))
	_, again, _ := v.Apply(60000, fullList(2, newEntry(1, 4, 13000)))
	_, later, _ := v.Apply(70000, List{Epoch: 1, Version: 3, Count: 1, Entries: []Entry{newEntry(1, 5, 100)}})
	if first[0].BootAt != 48000 || again[0].BootAt != 48000 || later[0].BootAt != 69900 {
		t.Fatalf("%v %v %v", first, again, later)
	}
}
