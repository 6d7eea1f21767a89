package b2bua

import "testing"

// callWithSilentLinks creates an agent with an established call whose connection is silent, and with a next connection on
// which no message has come.
func callWithSilentLinks(t *testing.T) (r *harness, old, next ConnID, k *observedCall) {
	r, old, next, k = callWithTwoLinks(t)
	r.silent[next] = true
	for range 60 {
		if r.advanceTime(maintenanceInterval); r.agent.switches[1].lostRepeat.conn == next {
			return r, old, next, k
		}
	}
	t.Fatalf("connection %d is not suspected: %+v", next, r.agent.switches[1].lostRepeat)
	return r, old, next, k
}

// openSpeakingLink opens a further connection, on which the switch sends a message.
func (r *harness) openSpeakingLink() {
	for range 60 {
		for len(r.dials) > 0 {
			r.reportCircuits(r.completeDial(false, true), 9, 9)
			return
		}
		r.advanceTime(maintenanceInterval)
	}
	r.t.Fatalf("no further connection")
}

// Guards against calls that stay established for ever because their release was lost and its repetition too, on
// the connection that never delivered a message.
func TestCallWhoseRepeatedReleaseMayBeLostIsReleasedOnBothSides(t *testing.T) {
	r, _, _, k := callWithSilentLinks(t)
	r.openSpeakingLink()
	k.earlierTryReleased = true
	if r.advanceTime(lostRepeatDelay - 2*maintenanceInterval); k.callerReleases != 0 {
		t.Fatal("released too soon")
	}
	if r.advanceTime(4 * maintenanceInterval); k.callerReleases != 1 || k.switchReleases != 1 {
		t.Errorf("the caller was released %d times, the switch %d times", k.callerReleases, k.switchReleases)
	}
}

// Guards against disconnecting calls because their switch hung for a moment: it sends on the earlier connections
// too when it recovers.
func TestCallsOfASwitchThatHungGoOnStanding(t *testing.T) {
	for name, speaks := range map[string]func(r *harness, old, next ConnID){
		"the connection of the set-up": func(r *harness, old, _ ConnID) { r.reportCircuits(old, 9, 9) },
		"the silent one":               func(r *harness, _, next ConnID) { r.reportCircuits(next, 9, 9) },
	} {
		r, old, next, k := callWithSilentLinks(t)
		r.openSpeakingLink()
		r.silent = map[ConnID]bool{}
		speaks(r, old, next)
		if r.advanceTime(3 * lostRepeatDelay); k.callerReleases != 0 || r.agent.establishedCalls != 1 {
			t.Errorf("%s: the caller was released %d times", name, k.callerReleases)
		}
	}
}

// Guards against disconnecting calls whose own connection is open, as their release would come there.
func TestCallsOnOpenConnectionsGoOnStandingWhenARepetitionIsLost(t *testing.T) {
	r, _, _, k := callWithSilentLinks(t)
	r.openSpeakingLink()
	id, _ := parseID(k.id)
	for _, l := range r.agent.switches[1].links {
		if l.messageSeen && !l.silent {
			r.agent.calls[id].lastTry().conn = l.conn
		}
	}
	if r.advanceTime(2 * lostRepeatDelay); k.callerReleases != 0 || r.agent.establishedCalls != 1 {
		t.Errorf("the caller was released %d times", k.callerReleases)
	}
}
