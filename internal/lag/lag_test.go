package lag

import (
	"testing"

	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

func TestWaitIsIndependentOfClockOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var estimator Estimator
		offset := rapid.Uint32().Draw(t, "offset") // the stamps may wrap at any point
		now, transmission := policy.Tenths(rapid.Uint32().Draw(t, "start")), policy.Tenths(20)
		estimator.Age(now+transmission, uint32(now)+offset)
		for range 50 {
			now += policy.Tenths(rapid.IntRange(0, 20000).Draw(t, "gap"))
			waited := policy.Tenths(rapid.IntRange(0, 30000).Draw(t, "waited"))
			if got := estimator.Age(now+transmission+waited, uint32(now)+offset); got != waited {
				t.Fatalf("message waited %d, got %d", waited, got)
			}
		}
	})
}

func TestLongerPathIsLearned(t *testing.T) {
	var estimator Estimator
	estimator.Age(10, 0)
	for now := policy.Tenths(0); now < 3*window; now += 1000 {
		got := estimator.Age(now+500, uint32(now))
		if now > 2*window+2000 && got != 0 {
			t.Fatalf("a permanently longer path still counts as %d of waiting", got)
		}
	}
}

func TestFirstMessagesAfterAStallAreOld(t *testing.T) {
	// The handshake is read at once, or after the stall.
	for _, c := range []struct{ read, want policy.Tenths }{{1010, 18990}, {20000, 19000}} {
		estimator := NewEstimator(1000, c.read, 500)
		if got := estimator.Age(20000, 500); got != c.want {
			t.Errorf("handshake read at %d: age %d, want %d", c.read, got, c.want)
		}
	}
}
