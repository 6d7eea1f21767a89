package due

import (
	"slices"
	"testing"

	"indigodrift/policy"

	"indigodrift/internal/seeded"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 1000) }

func TestItemsAreOrderedByDueTimeThenInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var want []Item
		for i := range rapid.IntRange(0, 60).Draw(t, "items") {
			at := policy.Tenths(rapid.IntRange(0, 9).Draw(t, "at"))
			q.Set(at, Kind(i%3), uint64(i))
			want = append(want, Item{At: at, Kind: Kind(i % 3), Token: uint64(i)})
		}
		slices.SortStableFunc(want, func(a, b Item) int { return int(a.At - b.At) })
		for now := policy.Tenths(0); now < 10; now++ {
			for {
				if at, ok := q.Next(); ok != (len(want) > 0) || ok && at != want[0].At {
					t.Fatalf("next at %d %v, want %+v", at, ok, want)
				}
				got, ok := q.Pop(now)
				if !ok {
					break
				}
				if got.At > now || got.Token != want[0].Token || got.Kind != want[0].Kind {
					t.Fatalf("at %d: got %+v, want %+v", now, got, want[0])
				}
				want = want[1:]
			}
		}
		if len(q.items) != 0 || len(want) != 0 {
			t.Fatalf("%d items left in the queue, %d still expected", len(q.items), len(want))
		}
	})
}
