package b2bua

import "testing"

// wordless creates an agent with an established call whose connection is silent, and with a next connection on
// which no message has come.
func wordless(t *testing.T) (r *rig, old, next Conn, k *heardOf) {
	r, old, next, k = twoLinks(t)
	r.silent[next] = true
	for range 60 {
		if r.pass(houseWork); r.a.far[1].lostRepeat.conn == next {
			return r, old, next, k
		}
	}
	t.Fatalf("connection %d is not suspected: %+v", next, r.a.far[1].lostRepeat)
	return r, old, next, k
}

// later opens a further connection, on which the switch sends a message.
func (r *rig) later() {
	for range 60 {
		for len(r.dials) > 0 {
			r.notify(r.dial(false, true), 9, 9)
			return
		}
		r.pass(houseWork)
	}
	r.t.Fatalf("no further connection")
}

// Guards against calls that stay established for ever because their release was lost and its repetition too, on
// the connection that never delivered a message.
func TestCallWhoseRepeatedReleaseMayBeLostIsReleasedOnBothSides(t *testing.T) {
	r, _, _, k := wordless(t)
	r.later()
	k.eitherReleased = true
	if r.pass(repeatWait - 2*houseWork); k.callerReleased != 0 {
		t.Fatal("released too soon")
	}
	if r.pass(4 * houseWork); k.callerReleased != 1 || k.switchReleased != 1 {
		t.Errorf("the caller was released %d times, the switch %d times", k.callerReleased, k.switchReleased)
	}
}

// Guards against disconnecting calls because their switch hung for a moment: it sends on the earlier connections
// too when it recovers.
func TestCallsOfASwitchThatHungGoOnStanding(t *testing.T) {
	for name, speaks := range map[string]func(r *rig, old, next Conn){
		"the connection of the set-up": func(r *rig, old, _ Conn) { r.notify(old, 9, 9) },
		"the silent one":               func(r *rig, _, next Conn) { r.notify(next, 9, 9) },
	} {
		r, old, next, k := wordless(t)
		r.later()
		r.silent = map[Conn]bool{}
		speaks(r, old, next)
		if r.pass(3 * repeatWait); k.callerReleased != 0 || r.a.standing != 1 {
			t.Errorf("%s: the caller was released %d times", name, k.callerReleased)
		}
	}
}

// Guards against disconnecting calls whose own connection is open, as their release would come there.
func TestCallsOnOpenConnectionsGoOnStandingWhenARepetitionIsLost(t *testing.T) {
	r, _, _, k := wordless(t)
	r.later()
	id, _ := readID(k.id)
	for _, l := range r.a.far[1].links {
		if l.heard && !l.silent {
			r.a.calls[id].last().conn = l.conn
		}
	}
	if r.pass(2 * repeatWait); k.callerReleased != 0 || r.a.standing != 1 {
		t.Errorf("the caller was released %d times", k.callerReleased)
	}
}
