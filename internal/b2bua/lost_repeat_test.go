package b2bua

import "testing"

// callWithSilentLinks creates an agent with an established call whose connection is silent, and with a next
// connection on which no message has come.
func callWithSilentLinks(t *testing.T) (h *harness, old, next ConnID, call *observedCall) {
	h, old, next, call = callWithTwoLinks(t)
	h.silent[next] = true
	for range 60 {
		if h.advanceTime(maintenanceInterval); h.agent.switches[1].lostRepeat.conn == next {
			return h, old, next, call
		}
	}
	t.Fatalf("connection %d is not suspect: %+v", next, h.agent.switches[1].lostRepeat)
	return h, old, next, call
}

// openRespondingLink opens a further connection, on which the switch sends a message.
func (h *harness) openRespondingLink() {
	for range 60 {
		for len(h.dials) > 0 {
			h.reportCircuits(h.completeDial(false, true), 9, 9)
			return
		}
		h.advanceTime(maintenanceInterval)
	}
	h.t.Fatalf("no further connection")
}

// Guards against calls that stay established indefinitely because their release was lost and its repetition too, on
// the connection that never delivered a message.
func TestCallWhoseRepeatedReleaseMayBeLostIsReleasedOnBothSides(t *testing.T) {
	h, _, _, call := callWithSilentLinks(t)
	h.openRespondingLink()
	call.earlierTryReleased = true
	if h.advanceTime(lostRepeatDelay - 2*maintenanceInterval); call.callerReleases != 0 {
		t.Fatal("released too soon")
	}
	if h.advanceTime(4 * maintenanceInterval); call.callerReleases != 1 || call.switchReleases != 1 {
		t.Errorf("the caller was released %d times, the switch %d times", call.callerReleases, call.switchReleases)
	}
}

// Guards against disconnecting calls because their switch hung for a moment: it sends on the earlier connections
// too when it recovers.
func TestCallsOfASwitchThatHungStayEstablished(t *testing.T) {
	for name, resume := range map[string]func(h *harness, old, next ConnID){
		"the connection of the set-up": func(h *harness, old, _ ConnID) { h.reportCircuits(old, 9, 9) },
		"the silent one":               func(h *harness, _, next ConnID) { h.reportCircuits(next, 9, 9) },
	} {
		h, old, next, call := callWithSilentLinks(t)
		h.openRespondingLink()
		h.silent = map[ConnID]bool{}
		resume(h, old, next)
		if h.advanceTime(3 * lostRepeatDelay); call.callerReleases != 0 || h.agent.establishedCalls != 1 {
			t.Errorf("%s: the caller was released %d times", name, call.callerReleases)
		}
	}
}

// Guards against disconnecting calls whose own connection is open, as their release would come there.
func TestCallsOnOpenConnectionsStayEstablishedWhenARepetitionIsLost(t *testing.T) {
	h, _, _, call := callWithSilentLinks(t)
	h.openRespondingLink()
	id, _ := parseID(call.id)
	for _, link := range h.agent.switches[1].links {
		if link.messageSeen && !link.silent {
			h.agent.calls[id].lastTry().conn = link.conn
		}
	}
	if h.advanceTime(2 * lostRepeatDelay); call.callerReleases != 0 || h.agent.establishedCalls != 1 {
		t.Errorf("the caller was released %d times", call.callerReleases)
	}
}
