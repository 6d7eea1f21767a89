package gateways

import (
	"math/rand/v2"
	"testing"

	"indigodrift/policy"

	"pgregory.net/rapid"
)

// Ten thousand gateways report a restart within a second; rejected ones report again after a random delay, as RFC 3435 requires. All
// are admitted exactly once within the time that the rate allows, and no second has more than the rate and the burst.
func TestMassRestartIsAdmittedAtLimitedRate(t *testing.T) {
	const gateways, rate = 10000, 500
	limiter := NewRestartLimiter(Limits{Rate: rate, MaxQueued: 4000, GoSTarget: 12000}, 0)
	random := rand.New(rand.NewPCG(1, 1))
	reportAt := make([]policy.Tenths, gateways)
	for i := range reportAt {
		reportAt[i] = 1 + policy.Tenths(random.IntN(10000))
	}
	admissions := map[uint32]int{}
	now, perSecond, busiest := policy.Tenths(0), map[policy.Tenths]int{}, 0
	admit := func(gateway uint32) {
		admissions[gateway]++
		perSecond[now/10000]++
		busiest = max(busiest, perSecond[now/10000])
	}
	for len(admissions) < gateways && now < 600000 {
		now += 50
		for gateway := range uint32(gateways) {
			if reportAt[gateway] == 0 || reportAt[gateway] > now {
				continue
			}
			reportAt[gateway] = 0
			switch limiter.Admit(now, gateway) {
			case Admitted:
				admit(gateway)
			case Rejected:
				reportAt[gateway] = now + 1 + policy.Tenths(random.IntN(100000))
			}
		}
		for _, gateway := range limiter.Tick(now) {
			admit(gateway)
		}
	}
	if len(admissions) < gateways || now > 300000 || busiest > rate+rate/2+1 {
		t.Fatalf("%d of %d admitted after %d, %d in the busiest second", len(admissions), gateways, now, busiest)
	}
	for gateway, n := range admissions {
		if n != 1 {
			t.Fatalf("gateway %d was admitted %d times", gateway, n)
		}
	}
}

// The rate grows while calls don't wait and is reduced while they wait long.
func TestRestartRateFallsWhenCallsWait(t *testing.T) {
	count := func(callDelay policy.Tenths) (n int) {
		limiter := NewRestartLimiter(Limits{Rate: 100, MaxQueued: 5000, GoSTarget: 12000}, 0)
		for gateway := range uint32(3000) {
			limiter.Admit(1, gateway)
		}
		for now := policy.Tenths(0); now < 100000; now += 100 {
			limiter.SetCallDelay(now, callDelay)
			n += len(limiter.Tick(now))
		}
		return n
	}
	if fast, moderate, slow := count(0), count(1500), count(6000); fast < 1450 || moderate < 900 || moderate > 1200 || slow > moderate*6/10 || slow < 400 {
		t.Fatalf("%d gateways in ten seconds without call delay, %d with a short one, %d with a long one", fast, moderate, slow)
	}
}

// Compares the limiter with a plain queue: gateways are admitted once per report, in order, and the bound of the queue is kept.
func TestRestartLimiterAgainstPlainQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewRestartLimiter(Limits{Rate: 50, MaxQueued: 10, GoSTarget: 12000}, 0)
		var plain []uint32
		now := policy.Tenths(0)
		for range 100 {
			now += policy.Tenths(rapid.IntRange(0, 2000).Draw(t, "later"))
			gateway := rapid.Uint32Max(30).Draw(t, "endpoint")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				position := -1
				for i, queued := range plain {
					if queued == gateway {
						position = i
					}
				}
				admission := limiter.Admit(now, gateway)
				if position >= 0 && admission != Queued || admission == Admitted && len(plain) > 0 {
					t.Fatalf("gateway %d at position %d of %v: admission %d", gateway, position, plain, admission)
				}
				if admission == Queued && position < 0 {
					plain = append(plain, gateway)
				}
			case 2:
				limiter.Remove(gateway)
				for i, queued := range plain {
					if queued == gateway {
						plain = append(plain[:i], plain[i+1:]...)
						break
					}
				}
			case 3:
				for _, got := range limiter.Tick(now) {
					if len(plain) == 0 || plain[0] != got {
						t.Fatalf("gateway %d is admitted, %v are queued", got, plain)
					}
					plain = plain[1:]
				}
			}
			if limiter.Waiting() != len(plain) || len(limiter.queue) > 10 {
				t.Fatalf("%d are waiting, want %v; queue length %d", limiter.Waiting(), plain, len(limiter.queue))
			}
		}
	})
}
