package gateways

import (
	"math/rand/v2"
	"testing"

	"indigodrift/policy"

	"pgregory.net/rapid"
)

// Ten thousand gateways report within a second; those refused come again after a random delay, as RFC 3435 has it. All are
// back within the time that the pace promises, none is taken twice, and the first of calls' time is kept.
func TestDistrictComesBackAtTheStatedPace(t *testing.T) {
	const gateways, rate = 10000, 500
	r := NewRestartLimiter(Limits{Rate: rate, MaxQueued: 4000, GoSTarget: 12000}, 0)
	chance := rand.New(rand.NewPCG(1, 1))
	due := make([]policy.Tenths, gateways)
	for i := range due {
		due[i] = 1 + policy.Tenths(chance.IntN(10000))
	}
	back := map[uint32]int{}
	now, perSecond, most := policy.Tenths(0), map[policy.Tenths]int{}, 0
	take := func(e uint32) {
		back[e]++
		perSecond[now/10000]++
		most = max(most, perSecond[now/10000])
	}
	for len(back) < gateways && now < 600000 {
		now += 50
		for e := range uint32(gateways) {
			if due[e] == 0 || due[e] > now {
				continue
			}
			due[e] = 0
			switch r.Admit(now, e) {
			case Admitted:
				take(e)
			case Rejected:
				due[e] = now + 1 + policy.Tenths(chance.IntN(100000))
			}
		}
		for _, e := range r.Tick(now) {
			take(e)
		}
	}
	if len(back) < gateways || now > 300000 || most > rate+rate/2+1 {
		t.Fatalf("%d of %d back after %d, %d in the busiest second", len(back), gateways, now, most)
	}
	for e, n := range back {
		if n != 1 {
			t.Fatalf("gateway %d was taken %d times", e, n)
		}
	}
}

func TestRestartsGiveWayToCalls(t *testing.T) {
	count := func(wait policy.Tenths) (n int) {
		r := NewRestartLimiter(Limits{Rate: 100, MaxQueued: 5000, GoSTarget: 12000}, 0)
		for e := range uint32(3000) {
			r.Admit(1, e)
		}
		for now := policy.Tenths(0); now < 100000; now += 100 {
			r.SetCallDelay(now, wait)
			n += len(r.Tick(now))
		}
		return n
	}
	if quiet, between, pressed := count(0), count(1500), count(6000); quiet < 1450 || between < 900 || between > 1200 || pressed > between*6/10 || pressed < 400 {
		t.Fatalf("%d gateways in ten seconds, %d while calls wait a little, %d while they wait long", quiet, between, pressed)
	}
}

// Against a plain queue: order of first report kept, nobody twice without a new report, bounds kept.
func TestRestartsAgainstAPlainQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRestartLimiter(Limits{Rate: 50, MaxQueued: 10, GoSTarget: 12000}, 0)
		var plain []uint32
		now := policy.Tenths(0)
		for range 100 {
			now += policy.Tenths(rapid.IntRange(0, 2000).Draw(t, "later"))
			e := rapid.Uint32Max(30).Draw(t, "endpoint")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				at := -1
				for i, w := range plain {
					if w == e {
						at = i
					}
				}
				v := r.Admit(now, e)
				if at >= 0 && v != Queued || v == Admitted && len(plain) > 0 {
					t.Fatalf("endpoint %d at place %d of %v: %d", e, at, plain, v)
				}
				if v == Queued && at < 0 {
					plain = append(plain, e)
				}
			case 2:
				r.Remove(e)
				for i, w := range plain {
					if w == e {
						plain = append(plain[:i], plain[i+1:]...)
						break
					}
				}
			case 3:
				for _, got := range r.Tick(now) {
					if len(plain) == 0 || plain[0] != got {
						t.Fatalf("turn of %d, %v wait", got, plain)
					}
					plain = plain[1:]
				}
			}
			if r.Waiting() != len(plain) || len(r.queue) > 10 {
				t.Fatalf("%d wait, %v should; queue %d", r.Waiting(), plain, len(r.queue))
			}
		}
	})
}
