package policy

import "testing"

// Guards against callers that name ever new destinations: what is held for destinations must not grow without a bound,
// neither where exchanges are named nor where pools of second choice may serve any of them.
func TestStateForUnservedDestinationsIsBounded(t *testing.T) {
	for _, pools := range []bool{false, true} {
		h := newMesh(3, 1<<20)
		h.controller.deployment.Pools = pools
		if pools {
			h.controller.deployment.OwnExchange = -1
		}
		const served, named = 3, 4 * maxUnservedDestinations
		for id := range uint32(named) {
			h.offer(newCall(id+1, 0, served+int(id)))
			for h.calls[id+1].openTry != nil {
				h.end(id+1, Blocked, TurnedBack)
			}
		}
		c := h.controller
		limit := served + maxUnservedDestinations
		if held := c.Held(); held.Destinations > limit || held.Calls > 0 || len(c.lastTandem) > limit {
			t.Errorf("pools %v: held %+v, %d tandems", pools, held, len(c.lastTandem))
		}
		for _, remote := range c.remotes {
			if len(remote.turnedBackAt) > limit {
				t.Errorf("pools %v: %d turn-backs of switch %d", pools, len(remote.turnedBackAt), remote.id)
			}
		}
		h.list(false, Switch{ID: 900, Number: served + named, Ready: true}) // served from now on
		h.reportGroup(900, 10, 10)
		expectAction(t, h, h.offer(newCall(named+1, 0, served+named)), "send 900")
		if c.traffic[served+named] == nil {
			t.Errorf("pools %v: the traffic to a destination in service is not counted", pools)
		}
	}
}

// Guards against switches that are replaced by new ones without end: the places of those that are gone are used again,
// but not while a call is established there.
func TestPlacesOfSwitchesThatAreGoneAreUsedAgain(t *testing.T) {
	h := newMesh(3, 50)
	expectAction(t, h, h.offer(newCall(1, 0, 1)), "send 101")
	h.answerTry(1)
	h.list(false, Switch{ID: 101, Number: 1})
	const first, replaced = 1000, 3 * maxRemotes
	for n := range uint32(replaced) {
		h.list(false, Switch{ID: first + n, Number: 1, Ready: true})
		h.reportGroup(first+n, 50, 50)
		if n > 0 {
			h.list(false, Switch{ID: first + n - 1, Number: 1})
		}
	}
	if held := h.controller.Held(); held.Switches > maxRemotes || len(h.controller.byID) != held.Switches {
		t.Fatalf("held %+v, %d ids", held, len(h.controller.byID))
	}
	expectAction(t, h, h.offer(newCall(2, 0, 1)), "send 4071")
	if h.controller.calls[1] == nil {
		t.Fatal("the established call is gone")
	}
	h.end(1, Released, NoReason)
	if h.controller.calls[1] != nil {
		t.Fatal("the call whose switch is gone did not end")
	}
	h.list(true, Switch{ID: 102, Number: 2, Ready: true})
	expectAction(t, h, h.offer(newCall(3, 0, 1)), "block")
	expectAction(t, h, h.offer(newCall(4, 0, 2)), "send 102")
}
