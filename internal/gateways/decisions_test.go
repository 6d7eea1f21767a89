package gateways

import (
	"fmt"
	"slices"
	"testing"

	"indigodrift/internal/mgcp"
	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

func TestResultOf(t *testing.T) {
	for _, c := range []struct {
		verb mgcp.Verb
		code int
		want Result
	}{
		{mgcp.CreateConnection, 200, Succeeded}, {mgcp.DeleteConnection, 250, Succeeded}, {mgcp.DeleteConnection, 515, Succeeded}, {mgcp.ModifyConnection, 515, ConnectionGone},
		{mgcp.NotificationRequest, 401, IsOffHook}, {mgcp.NotificationRequest, 402, IsOnHook}, {mgcp.NotificationRequest, 400, RetryLater},
		{mgcp.NotificationRequest, 409, RetryLater}, {mgcp.CreateConnection, 403, Failed}, {mgcp.NotificationRequest, 403, RetryLater}, {mgcp.CreateConnection, 500, EndpointUnavailable},
		{mgcp.AuditEndpoint, 521, OtherCallAgent}, {mgcp.NotificationRequest, 513, Failed}, {mgcp.CreateConnection, 899, Failed}, {mgcp.CreateConnection, 405, EndpointUnavailable},
	} {
		if got := ResultOf(c.verb, c.code); got != c.want {
			t.Errorf("%s %d: %d, want %d", c.verb, c.code, got, c.want)
		}
	}
}

// The answer margin grows with the loss rate and the timeout, suffices for the minimum of transmissions, and leaves at least half of
// the time for the set-up.
func TestAnswerMargin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout, remaining := policy.Tenths(rapid.IntRange(500, 40000).Draw(t, "wait")), policy.Tenths(rapid.IntRange(1, 100000).Draw(t, "left"))
		loss := rapid.Float64Range(0, 1).Draw(t, "loss")
		margin := AnswerMargin(timeout, remaining, loss)
		if margin < 0 || margin > remaining/2 || margin < min(remaining/2, timeout+2*timeout) {
			t.Fatalf("margin %d of %d, timeout %d", margin, remaining, timeout)
		}
		if AnswerMargin(timeout, remaining, min(1, loss+0.2)) < margin || AnswerMargin(timeout+100, remaining, loss) < margin {
			t.Fatalf("smaller margin for a worse network")
		}
	})
	if withoutLoss, withLoss := AnswerMargin(2000, 90000, 0), AnswerMargin(2000, 90000, 0.3); withoutLoss >= withLoss {
		t.Fatalf("%d without loss, %d with", withoutLoss, withLoss)
	}
}

// Compares OrphanedConnections with a plain filter.
func TestOrphanedConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfDistinct(rapid.StringMatching(`[0-9A-F]{1,3}`), rapid.ID).Draw(t, "held")
		live := rapid.SampledFrom(append([]string{"", "no such"}, ids...)).Draw(t, "live")
		var want []string
		for _, id := range ids {
			if id != live {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		got, liveGone := OrphanedConnections(ids, live)
		if !slices.Equal(got, want) || liveGone != (live != "" && !slices.Contains(ids, live)) {
			t.Fatalf("orphaned %v, live gone %v, of %v, live %q", got, liveGone, ids, live)
		}
	})
}

// Request IDs that wrap around at 32 bits stay in order.
func TestStaleHandlesWraparound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lastID, by := rapid.Uint32().Draw(t, "heard"), rapid.Uint32Range(1, 1<<30).Draw(t, "by")
		if Stale(lastID, lastID) || Stale(lastID+by, lastID) || !Stale(lastID-by, lastID) {
			t.Fatal(lastID, by)
		}
	})
}

// The loss of a controller moves only its own gateways, and each controller has its share of them.
func TestOwnerBalancesAndMovesFew(t *testing.T) {
	controllers := []string{"ca@a:2727", "ca@b:2727", "ca@c:2727"}
	count := map[int]int{}
	for n := range 3000 {
		name := fmt.Sprintf("gw-%d.example", n)
		owner := Owner(name, controllers, func(int) bool { return true })
		count[owner]++
		for down := range controllers {
			if got := Owner(name, controllers, func(i int) bool { return i != down }); got == down || owner != down && got != owner {
				t.Fatalf("%s moves from %d to %d when %d is down", name, owner, got, down)
			}
		}
	}
	for i, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("controller %d has %d of 3000", i, n)
		}
	}
}

// Compares Presence with a model of its transitions. Probes are never closer than the shortest interval, and an absent gateway is
// probed forever.
func TestPresenceTransitionsAndProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Presence
		now, want := policy.Tenths(1000), Absent
		lastProbe, everLost := policy.Tenths(-1<<40), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += policy.Tenths(rapid.IntRange(1, 400000).Draw(t, "gap"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				p.Join(now)
				want = Joining
			case 1:
				if p.Joined(); want == Joining || want == Leaving {
					want = Serving
				}
			case 2:
				if p.Leave(); want == Serving {
					want = Leaving
				}
			case 3:
				if p.CancelLeave(); want == Leaving || want == Joining {
					want = Serving
				}
			case 4:
				wasPresent := p.Lost(now)
				if wasPresent != (want != Absent) {
					t.Fatalf("Lost in state %v returned %v", want, wasPresent)
				}
				want, everLost = Absent, true
			case 5:
				p.Received(now)
			case 6:
				probe, next := p.ProbeDue(now)
				if probe && now-lastProbe < min(initialProbeInterval, keepaliveInterval) && lastProbe > 0 {
					t.Fatalf("two probes within %d", now-lastProbe)
				}
				if probe {
					lastProbe = now
				}
				if next <= now {
					t.Fatalf("next probe is not in the future")
				}
			}
			if p.State() != want {
				t.Fatalf("%v, want %v", p.State(), want)
			}
		}
		if everLost && want == Absent {
			if probe, _ := p.ProbeDue(now + 2*maxProbeInterval); !probe {
				t.Fatal("an absent gateway is no longer probed")
			}
		}
	})
}
