package lag

import (
	"testing"

	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestWaitIsFoundWhateverTheClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lag
		offset := rapid.Uint32().Draw(t, "offset") // the two clocks wrap at any point
		now, way := policy.Tenths(rapid.Uint32().Draw(t, "start")), policy.Tenths(20)
		l.Age(now+way, uint32(now)+offset)
		for range 50 {
			now += policy.Tenths(rapid.IntRange(0, 20000).Draw(t, "gap"))
			waited := policy.Tenths(rapid.IntRange(0, 30000).Draw(t, "waited"))
			if got := l.Age(now+way+waited, uint32(now)+offset); got != waited {
				t.Fatalf("waited %d, told %d", waited, got)
			}
		}
	})
}

func TestLongerWayIsLearned(t *testing.T) {
	var l Lag
	l.Age(10, 0)
	for now := policy.Tenths(0); now < 3*window; now += 1000 {
		got := l.Age(now+500, uint32(now))
		if now > 2*window+2000 && got != 0 {
			t.Fatalf("a way longer for good still counts as %d of waiting", got)
		}
	}
}
