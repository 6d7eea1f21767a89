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
		if q.Len() != 0 || len(want) != 0 {
			t.Fatalf("%d items left in the queue, %d still expected", q.Len(), len(want))
		}
	})
}

// Guards against a queue that keeps what its user has stopped, and against stopping another timer in its place.
func TestStoppedTimersLeaveTheQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var set []*Timer
		pending := map[uint64]bool{}
		for token := range uint64(rapid.IntRange(0, 60).Draw(t, "timers")) {
			set = append(set, q.Set(policy.Tenths(rapid.IntRange(0, 9).Draw(t, "at")), 0, token))
			pending[token] = true
		}
		for now := policy.Tenths(0); now < 10; now++ {
			for range rapid.IntRange(0, 9).Draw(t, "stopped") {
				if len(set) == 0 {
					break
				}
				token := rapid.IntRange(0, len(set)-1).Draw(t, "token")
				if set[token].Pending() != pending[uint64(token)] {
					t.Fatalf("timer %d is pending: %v", token, set[token].Pending())
				}
				q.Stop(set[token]) // perhaps again, or after it fell due
				delete(pending, uint64(token))
			}
			for item, ok := q.Pop(now); ok; item, ok = q.Pop(now) {
				if !pending[item.Token] {
					t.Fatalf("timer %d fell due twice or after it was stopped", item.Token)
				}
				delete(pending, item.Token)
			}
			if q.Len() != len(pending) {
				t.Fatalf("%d timers in the queue, %d pending", q.Len(), len(pending))
			}
		}
	})
	var q Queue
	q.Stop(nil)
}
