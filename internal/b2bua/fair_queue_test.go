package b2bua

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelEntry is an entry of the reference model of a fairQueue.
type modelEntry struct {
	conn          ConnID
	value, weight int
	place         *fairEntry
}

// The queue stays within its limit, keeps the order of each connection, and takes from a connection only if no other has
// more.
func TestFairQueueTakesFromTheHeaviestConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 12
		q := newFairQueue[int](limit)
		var model []modelEntry
		weightOf := func(conn ConnID) (sum int) {
			for _, e := range model {
				if e.conn == conn {
					sum += e.weight
				}
			}
			return sum
		}
		// heavier reports whether, with a new entry, any connection has more than the given one.
		heavier := func(conn ConnID, added modelEntry) bool {
			withAdded := func(conn ConnID) int {
				if conn == added.conn {
					return weightOf(conn) + added.weight
				}
				return weightOf(conn)
			}
			return slices.ContainsFunc(model, func(m modelEntry) bool { return withAdded(m.conn) > withAdded(conn) })
		}
		for value := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(model) > 0 && rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				i := rapid.IntRange(0, len(model)-1).Draw(t, "removed")
				q.remove(model[i].place)
				model = slices.Delete(model, i, i+1)
				continue
			}
			e := modelEntry{conn: ConnID(rapid.IntRange(1, 4).Draw(t, "conn")), value: value, weight: rapid.IntRange(1, 3).Draw(t, "weight")}
			place, displaced := q.addWeighted(e.conn, e.value, e.weight)
			for _, lost := range displaced {
				i := slices.IndexFunc(model, func(m modelEntry) bool { return m.value == lost })
				if i < 0 {
					t.Fatalf("displaced %d, which is not held", lost)
				}
				loser := model[i].conn
				if heavier(loser, e) {
					t.Fatalf("displaced %d of connection %d, though another has more: %+v", lost, loser, model)
				}
				if slices.IndexFunc(model, func(m modelEntry) bool { return m.conn == loser }) != i {
					t.Fatalf("displaced %d, which is not the oldest of connection %d", lost, loser)
				}
				model = slices.Delete(model, i, i+1)
			}
			if e.place = place; place != nil {
				model = append(model, e)
			} else if weightOf(e.conn) > 0 || heavier(e.conn, e) {
				t.Fatalf("refused an entry of connection %d, which has others or less than another: %+v", e.conn, model)
			}
			total := 0
			for _, m := range model {
				total += m.weight
			}
			if q.length != len(model) || q.weight != total || q.weight > limit {
				t.Fatalf("%d entries that weigh %d, want %d and %d, at most %d", q.length, q.weight, len(model), total, limit)
			}
		}
		slices.SortStableFunc(model, func(a, b modelEntry) int { return int(a.conn) - int(b.conn) })
		var want []int
		for _, m := range model {
			want = append(want, m.value)
		}
		if got := slices.Collect(q.all()); !slices.Equal(got, want) {
			t.Fatalf("holds %v, want %v", got, want)
		}
		var removed []int
		q.removeWhile(func(int) bool { return true }, func(value int) { removed = append(removed, value) })
		if slices.Sort(removed); q.length+q.weight+len(q.origins)+len(q.heaviest) != 0 || len(removed) != len(want) {
			t.Fatalf("removed %v, left %+v", removed, q)
		}
	})
}
