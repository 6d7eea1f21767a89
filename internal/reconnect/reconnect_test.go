package reconnect

import (
	"testing"

	"indigodrift/policy"
)

// Guards against a thundering herd: a thousand exchanges lose one switch at the same time, and it is down for a minute. In no
// tenth of a second may more than a tenth of them dial.
func TestExchangesDoNotReconnectAtOnce(t *testing.T) {
	const exchanges, interval, length = 1000, 1000, 600000
	for _, starting := range []bool{true, false} {
		dials := make([]int, length/interval+1)
		total := 0
		for e := range uint64(exchanges) {
			backoff := NewBackoff(e, exchanges)
			if !starting { // the links were up for long
				backoff.NextDelay()
				backoff.Up(1)
				backoff.Down(1 + stableTime)
			}
			for now := backoff.NextDelay(); now < length; now += backoff.NextDelay() {
				backoff.Down(now)
				dials[now/interval]++
				total++
			}
		}
		for i, n := range dials {
			if n > exchanges/10 {
				t.Errorf("starting %v: %d dials in the tenth of a second at %d", starting, n, i)
			}
		}
		if total < exchanges*5 {
			t.Errorf("starting %v: %d dials in a minute are too few", starting, total)
		}
	}
}

func TestLinkThatDropsAtOnceIsNotDialledAtFullSpeed(t *testing.T) {
	backoff, now := NewBackoff(3, 1), policy.Tenths(1)
	dials := 0
	for ; now < 600000; dials++ {
		now += backoff.NextDelay()
		backoff.Up(now)
		now += 100
		backoff.Down(now)
	}
	if dials > 40 {
		t.Fatalf("%d dials in a minute to a switch that accepts and drops", dials)
	}
	backoff.Up(now)
	backoff.Down(now + stableTime)
	backoff.failures = 0
	if delay := backoff.NextDelay(); delay > 2*initialDelay {
		t.Fatalf("delay of %d after a link was up for long", delay)
	}
}

func TestSilentLinkIsDeadButNotAfterAStall(t *testing.T) {
	var liveness Liveness
	liveness.Received(100)
	dead, diedAt := false, policy.Tenths(0)
	heartbeats := 0
	for now := policy.Tenths(100); !dead; now += 500 {
		var heartbeatDue bool
		if heartbeatDue, dead, _ = liveness.Check(now, 0); heartbeatDue {
			heartbeats++
		}
		diedAt = now
	}
	if heartbeats < 3 || diedAt < silenceTimeout || diedAt > silenceTimeout+1000 {
		t.Fatalf("dead at %d after %d heartbeats", diedAt, heartbeats)
	}
	if _, dead, _ := liveness.Check(diedAt, diedAt-10); dead {
		t.Fatal("link is dead although this process was stalled until now")
	}
}
