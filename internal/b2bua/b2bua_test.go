package b2bua

import (
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func withoutTests(sent string) string {
	return strings.Join(slices.DeleteFunc(strings.Fields(sent), func(m string) bool { return m == sip.Options }), " ")
}

// linkTo returns the first connection to a switch.
func (r *rig) linkTo(sw uint32) Conn {
	for _, c := range r.linkSeq {
		if r.links[c] == sw {
			return c
		}
	}
	r.t.Fatalf("no connection to switch %d", sw)
	return 0
}

func served(t *testing.T) (*rig, Conn, *heardOf) {
	r := newRig(t)
	r.dialAll(10, 10)
	c := r.callerUp()
	k := r.offer(c, 1, 1500)
	if k.tryOn == 0 || k.trySwitch != 1 {
		t.Fatalf("not sent: %+v, notes %v", k, r.notes)
	}
	r.answer(k, sip.OK)
	if !k.stood {
		t.Fatal("the answer was not passed on")
	}
	return r, c, k
}

func TestCallStandsAndIsReleasedByEitherSide(t *testing.T) {
	for _, by := range []string{"switch", "caller", "caller on another connection"} {
		r, c, k := served(t)
		link := r.linkTo(1)
		switch by {
		case "switch":
			r.a.FromSwitch(r.now, link, r.bye(k.id, 16))
			if k.callerReleased != 1 || r.a.tally.Released != 1 {
				t.Errorf("by %s: caller %q", by, r.sent(c))
			}
			r.a.FromSwitch(r.now, link, r.bye(k.id, 16)) // repeated on the next connection that opens
		default:
			if by != "caller" {
				r.callerDown(c)
				c = r.callerUp()
			}
			k.callerEnded = true
			r.a.FromCaller(r.now, r.now, c, r.bye(k.id, 16))
			if k.switchReleased != 1 {
				t.Errorf("by %s: switch %q", by, r.sent(link))
			}
		}
		if r.a.standing != 0 {
			t.Errorf("by %s: %d established calls", by, r.a.standing)
		}
	}
}

func TestRefusalsAreTriedAgainOrAnsweredAsTheModuleSays(t *testing.T) {
	for _, c := range []struct {
		status int
		word   string
		want   string // what the caller receives, "" if another try is sent
	}{{503, "atb", ""}, {480, "atb", ""}, {503, "acc", "503"}, {486, "sub", "503"}, {500, "", "503"}, {504, "", "later"}} {
		r := newRig(t)
		r.dialAll(10, 10)
		caller := r.callerUp()
		k := r.offer(caller, 1, 1500)
		r.answer(k, c.status, fieldWarning, c.word)
		switch got := r.sent(caller); {
		case c.want == "later":
			if got != "" || k.tryOn != 0 {
				t.Errorf("%d: answered %q before the release time", c.status, got)
			}
			if r.pass(releaseTime + 10); k.tryOn == 0 {
				t.Errorf("%d: not retried after the release time", c.status)
			}
		case got != c.want || (k.tryOn != 0) != (c.want == ""):
			t.Errorf("%d %s: caller received %q, try out %v", c.status, c.word, got, k.tryOn != 0)
		}
	}
}

func TestUnansweredTryIsGivenUpAndItsLateAnswerReleased(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	c := r.callerUp()
	k := r.offer(c, 1, 1000)
	link := k.tryOn
	r.pass(11000)
	if k.answers != 1 || k.stood || k.tryOn != 0 {
		t.Fatalf("%d answers (%q), try out %v", k.answers, r.sent(c), k.tryOn != 0)
	}
	k.standsAt = 1
	r.a.FromSwitch(r.now, link, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: k.trySeq, CSeqMethod: sip.Invite, Body: []byte("late")})
	if got := withoutTests(r.sent(link)); got != "INVITE CANCEL ACK BYE" || k.switchReleased != 1 {
		t.Errorf("the switch received %q", r.sent(link))
	}
}

// Guards against a second copy of an answer releasing the established call.
func TestSecondCopyOfAnAnswerIsPassedOver(t *testing.T) {
	r, c, k := served(t)
	r.a.FromSwitch(r.now, r.linkTo(1), &sip.Message{Status: sip.OK, CallID: k.id, CSeq: k.trySeq, CSeqMethod: sip.Invite, Body: []byte(k.switchSDP)})
	r.a.FromSwitch(r.now, r.linkTo(1), &sip.Message{Status: sip.OK, CallID: "00000000000000ff", CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("ahead")})
	if k.standsAt != 1 || r.a.standing != 1 || r.sent(c) != "200" {
		t.Errorf("%d established calls, caller received %q, switch %q", r.a.standing, r.sent(c), r.sent(r.linkTo(1)))
	}
}

func TestBadSetUpsAreRefusedAndNothingIsSentOn(t *testing.T) {
	good := func() *sip.Message { return invite("0123456789abcdef", "voice", 1500, "dest:1;width:1;via:-1", "x") }
	set := func(name, value string) *sip.Message {
		m := good()
		for i := range m.Fields {
			if m.Fields[i].Name == name {
				m.Fields[i].Value = value
			}
		}
		return m
	}
	noID, noNumber := good(), good()
	noID.CallID, noNumber.URI = "", "sip:net"
	for name, m := range map[string]*sip.Message{"no id": noID, "no number": noNumber, "class": set(fieldClass, "gold"), "no time": set(fieldExpires, ""),
		"negative time": set(fieldExpires, "-5"), "time no number": set(fieldExpires, "NaN"), "endless": set(fieldExpires, "1e300"),
		"no destination": set(fieldInfo, "width:1"), "destination": set(fieldInfo, "dest:-1;width:1"), "no number there": set(fieldInfo, "dest:NaN;width:1"),
		"width": set(fieldInfo, "dest:1;width:0"), "part of a circuit": set(fieldInfo, "dest:1;width:1.5"), "huge": set(fieldInfo, "dest:1;width:1e30"),
		"switch": set(fieldInfo, "at:s-1"), "words": set(fieldInfo, "dest"), "method": {Method: "HELLO", URI: "sip:x@net", CallID: "0123456789abcdef"}} {
		r := newRig(t)
		r.dialAll(10, 10)
		c := r.callerUp()
		before := len(r.wrote)
		r.a.FromCaller(r.now, r.now, c, m)
		if got := r.sent(c); got != "400" || len(r.wrote) != before+1 || len(r.a.calls) != 0 {
			t.Errorf("%s: received %q, %d messages, %d calls", name, got, len(r.wrote)-before, len(r.a.calls))
		}
	}
}

func TestSecondSetUpUnderOneIDLeavesTheFirstAlone(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	c, other := r.callerUp(), r.callerUp()
	k := r.offer(c, 1, 1500)
	r.a.FromCaller(r.now, r.now, other, invite(k.id, "voice", 1500, "dest:2;width:1;via:-1", "another"))
	r.a.FromCaller(r.now, r.now, other, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: k.id, CSeq: 1})
	if r.sent(other) != "400 481" || k.tryOn == 0 {
		t.Fatalf("received %q", r.sent(other))
	}
	if r.answer(k, sip.OK); !k.stood {
		t.Error("the first call was not answered")
	}
}

func TestUnreadableMessageCostsItsConnection(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	c := r.callerUp()
	k := r.offer(c, 1, 1500)
	k.left = false
	r.a.CallerBad(r.now, c, &sip.Message{Method: sip.Invite, CallID: "0123456789abcdef"}, true, "60 MB")
	if r.sent(c) != "500 413" || r.closed[c] == "" || k.answers != 1 || k.tryOn != 0 {
		t.Errorf("received %q, closed %q", r.sent(c), r.closed[c])
	}
}

func TestSilentAndHalfSaidConnectionsGoInTime(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	silent, half, served, talks := r.callerUp(), r.callerUp(), r.callerUp(), r.callerUp()
	r.a.CallerPart(half, r.now)
	k := r.offer(served, 1, 20000)
	r.a.FromCaller(r.now, r.now, talks, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
	r.pass(19000)
	if len(r.closed) != 0 {
		t.Fatalf("closed early: %v", r.closed)
	}
	r.pass(4000)
	if r.closed[silent] == "" || r.closed[half] == "" || r.closed[served] != "" || r.closed[talks] != "" || k.left {
		t.Errorf("closed %v", r.closed)
	}
}

func TestRoomIsMadeForOneMoreCaller(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	var all []Conn
	for range 6 {
		all = append(all, r.callerUp())
	}
	for i, c := range all[1:] {
		r.offer(c, 1+i%3, 20000)
	}
	if r.callerUp(); r.closed[all[0]] == "" || len(r.closed) != 1 {
		t.Errorf("the connection without a message was not closed: %v", r.closed)
	}
	r.offer(r.callers[5], 3, 20000)
	if c := r.name(); r.a.CallerUp(r.now, c) {
		t.Error("a connection was accepted although all others have open set-ups")
	}
}

// Guards against calls without an answer at the end of the process: an accepted call that is never answered is
// lost.
func TestEveryOpenCallIsAnsweredAtTheEnd(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	one, other := r.callerUp(), r.callerUp()
	k, o := r.offer(one, 1, 20000), r.offer(other, 2, 20000)
	r.a.FailOpen(r.now)
	if k.answers != 1 || o.answers != 1 || r.a.Unanswered() != 0 || k.tryOn != 0 || o.tryOn != 0 {
		t.Errorf("%d and %d answers, %d open", k.answers, o.answers, r.a.Unanswered())
	}
}

func TestFullAgentRefusesAtOnce(t *testing.T) {
	r := newRig(t)
	r.a.openMost = 1
	c := r.callerUp()
	r.dialAll(10, 10)
	r.offer(c, 1, 1500)
	if k := r.offer(c, 1, 1500); k.answers != 1 || r.sent(c) != "503" {
		t.Errorf("received %q", r.sent(c))
	}
}

func TestReleaseFindsAnotherCallerConnection(t *testing.T) {
	r, c, k := served(t)
	r.callerDown(c)
	r.a.FromSwitch(r.now, r.linkTo(1), r.bye(k.id, 16))
	if k.callerReleased != 0 {
		t.Fatal("released without a connected caller")
	}
	next := r.callerUp()
	if r.offer(next, 1, 1500); k.callerReleased != 1 {
		t.Errorf("the next connection of a caller received %q", r.sent(next))
	}
}

// Guards against a release to a caller that was not connected, and has released the call itself by the time it
// connects.
func TestOwedReleaseIsDroppedWhenTheCallerReleases(t *testing.T) {
	r, c, k := served(t)
	r.callerDown(c)
	r.a.FromSwitch(r.now, r.linkTo(1), r.bye(k.id, 16))
	next := r.callerUp()
	k.callerEnded = true
	r.a.FromCaller(r.now, r.now, next, r.bye(k.id, 16))
	if r.offer(next, 1, 1500); k.callerReleased != 0 {
		t.Errorf("received %q", r.sent(next))
	}
}

func TestCallFromBeforeTheStartIsReleasedBothWays(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	c := r.callerUp()
	at := func(id, sw string) { r.a.FromCaller(r.now, r.now, c, invite(id, "voice", 0, "at:"+sw, "")) }
	at("00000000000000a1", "s-00000001")
	at("00000000000000a2", "s-00000001")
	at("00000000000000a3", "s-000000ee") // no such switch any more
	if r.sent(c) != "BYE" {
		t.Fatalf("received %q", r.sent(c))
	}
	r.a.FromCaller(r.now, r.now, c, r.bye("00000000000000a1", 16))
	if got := withoutTests(r.sent(r.linkTo(1))); got != "BYE" {
		t.Errorf("the switch received %q", got)
	}
	r.a.FromSwitch(r.now, r.linkTo(1), r.bye("00000000000000a2", 16))
	r.a.FromSwitch(r.now, r.linkTo(1), r.bye("00000000000000a4", 16)) // unknown call
	if got := r.sent(c); got != "BYE 200 BYE BYE" {
		t.Errorf("the caller received %q", got)
	}
}

// Guards against mixing up two switches at one address, when a new one takes over from one that drains: their
// connections, calls and releases stay apart.
func TestNewSwitchAtTheAddressOfOneThatGoes(t *testing.T) {
	r, c, k := served(t)
	old := r.linkTo(1)
	r.list(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Draining}, board.Switch{ID: 9, Cell: 1, Address: "10.0.0.2:1"})
	r.dialAll(10, 10)
	fresh := r.linkTo(9)
	if fresh == 0 || r.closed[old] != "" || k.callerReleased != 0 {
		t.Fatalf("connection %d to the new one, the old one's closed %q, released %d times", fresh, r.closed[old], k.callerReleased)
	}
	next := r.offer(c, 1, 1500)
	if next.tryOn != fresh {
		t.Fatalf("a call was sent on connection %d, want %d", next.tryOn, fresh)
	}
	r.answer(next, sip.OK)
	if r.a.FromSwitch(r.now, fresh, r.bye(k.id, 16)); k.callerReleased != 0 {
		t.Error("the new switch released a call of the old one")
	}
	r.list(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Gone})
	if k.callerReleased != 1 || next.callerReleased != 0 || r.closed[old] == "" || r.closed[fresh] != "" {
		t.Errorf("old call released %d times, new one %d; connections closed %v", k.callerReleased, next.callerReleased, r.closed)
	}
}

// Guards against callers that are never released, because the switch of their call is lost and cannot send a
// release.
func TestCallsOfALostSwitchAreReleased(t *testing.T) {
	for name, lose := range map[string]func(r *rig){
		"gone":       func(r *rig) { r.list(false, board.Switch{ID: 1, Cell: 1, State: board.Gone}) },
		"not listed": func(r *rig) { r.list(true, board.Switch{ID: 2, Cell: 2, Address: "10.0.0.3:1"}) },
		"has restarted": func(r *rig) {
			r.list(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", StartedMS: int64(r.now)/10 + 1})
		},
		"refuses": func(r *rig) { r.linkDown(r.linkTo(1)); r.dial(true, false) },
		"silent": func(r *rig) {
			for _, c := range r.linkSeq {
				r.silent[c] = true
			}
			for range 30 {
				r.pass(2500)
				for len(r.dials) > 0 {
					r.dial(false, false)
				}
			}
		},
		"hangs: connections open but no message comes": func(r *rig) {
			for _, c := range r.linkSeq {
				r.silent[c] = true
			}
			for range 30 {
				r.pass(2500)
				for len(r.dials) > 0 {
					if c := r.dial(false, true); c != 0 {
						r.silent[c] = true
					}
				}
			}
		},
		"never up again": func(r *rig) {
			r.linkDown(r.linkTo(1))
			for range 30 {
				r.pass(2500)
				for len(r.dials) > 0 {
					r.dial(false, false)
				}
			}
		},
	} {
		r, _, k := served(t)
		if lose(r); k.callerReleased != 1 || r.a.standing != 0 || r.a.tally.Cut != 1 {
			t.Errorf("%s: released %d times, %d established calls", name, k.callerReleased, r.a.standing)
		}
	}
}

// Guards against disconnecting calls when only a connection is lost: the switch process still holds them.
func TestCallsOutliveTheirConnection(t *testing.T) {
	r, _, k := served(t)
	r.linkDown(r.linkTo(1))
	r.dialAll(10, 10)
	if k.callerReleased != 0 || r.a.standing != 1 {
		t.Fatal("disconnected with its connection")
	}
	if r.a.FromSwitch(r.now, r.linkTo(1), r.bye(k.id, 16)); k.callerReleased != 1 {
		t.Error("not released on the next connection")
	}
}

func TestSilentConnectionIsAskedDoubtedAndClosed(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	r.pass(0) // the keepalive on each new connection is answered
	link, c := r.linkTo(1), r.callerUp()
	if r.pass(askAfter + 2*houseWork); r.sent(link) != "OPTIONS OPTIONS" || r.closed[link] != "" {
		t.Fatalf("an idle connection received %q", r.sent(link))
	}
	r.silent[link] = true
	k := r.offer(c, 1, 1500)
	r.pass(askBusy + 2*houseWork)
	if got := r.sent(link); got != "OPTIONS OPTIONS INVITE OPTIONS" {
		t.Fatalf("with a set-up out it received %q", got)
	}
	if r.pass(signLeast/2 + houseWork); len(r.dials) != 1 || r.dials[0].sw != 1 {
		t.Fatalf("suspect: dials %v", r.dials)
	}
	r.dialAll(10, 10)
	if other := r.offer(c, 1, 1500); other.tryOn == link {
		t.Error("a set-up was sent on a suspect connection")
	}
	if r.pass(signLeast/2 + houseWork); r.closed[link] == "" || k.tryOn == link {
		t.Error("the connection was not closed")
	}
}

// Guards against measuring too short a round trip, by taking the answer to an earlier keepalive for that to the
// last one.
func TestAnswerToAnEarlierTestMeasuresNothing(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	link := r.linkTo(1)
	r.silent[link] = true // answered by this test
	r.offer(r.callerUp(), 1, 3000)
	r.pass(askBusy + 2*houseWork)
	var tests []sip.Message
	for _, w := range r.wrote {
		if w.to == link && w.m.Method == sip.Options {
			tests = append(tests, w.m)
		}
	}
	if len(tests) != 2 {
		t.Fatalf("%d keepalives", len(tests))
	}
	first, last := tests[0].Response(sip.OK), tests[1].Response(sip.OK)
	if r.a.FromSwitch(r.now, link, &first); r.a.far[1].measured {
		t.Errorf("measured %d by the first keepalive", r.a.far[1].trip)
	}
	if r.a.FromSwitch(r.now, link, &last); !r.a.far[1].measured {
		t.Error("not measured by the last keepalive")
	}
}

// The keepalive timeout follows the measured round-trip time. With the timeout for the longest possible round
// trip, each silent connection made the policy shed a healthy switch for a quarter of a second and more; with that
// for the shortest, every connection of a slow network would break.
func TestSignOfLifeIsWaitedForByTheMeasuredWay(t *testing.T) {
	for _, c := range []struct {
		name               string
		trip, within, from policy.Tenths // trip 0: no keepalive was answered yet
	}{
		{"near", 300, signLeast + 3*houseWork, signLeast - houseWork},
		{"far", 1000, 4000 + 3*houseWork, 4000 - houseWork},
		{"not measured", 0, signFirst + 3*houseWork, signFirst - houseWork},
		{"farther than is waited for", 7000, signMost + 3*houseWork, signMost - houseWork},
	} {
		r := newRig(t)
		r.dialAll(10, 10)
		link := r.linkTo(1)
		r.silent[link] = true // answered by this test, and only once
		test := r.wrote[slices.IndexFunc(r.wrote, func(w written) bool { return w.to == link })].m
		if c.trip > 0 {
			r.pass(c.trip)
			m := test.Response(sip.OK)
			r.a.FromSwitch(r.now, link, &m)
		}
		r.notify(link, 10, 10)
		r.offer(r.callerUp(), 1, 3000)
		r.pass(askBusy + houseWork) // the keepalive has been sent by now
		if r.pass(c.from - houseWork); r.closed[link] != "" {
			t.Errorf("%s: closed too early: %s", c.name, r.closed[link])
		}
		if r.pass(c.within - c.from); r.closed[link] == "" {
			t.Errorf("%s: not closed in time", c.name)
		}
	}
}

func TestHalfAnAnswerCostsTheConnection(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	k := r.offer(r.callerUp(), 1, 1500)
	link := k.tryOn
	r.silent[link] = true // the rest of the incomplete message is not read
	r.a.LinkPart(link, r.now)
	r.pass(4500)
	if r.closed[link] == "" || k.answers == 0 && k.notBefore == 0 {
		t.Errorf("closed %v, %+v", r.closed, k)
	}
}

func TestNothingWaitsForASwitchThatDrains(t *testing.T) {
	r := newRig(t)
	c := r.callerUp()
	r.dialAll(10, 10)
	link := r.linkTo(1)
	r.linkDown(link)
	r.offer(c, 1, 1500)
	r.list(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Draining})
	r.dialAll(10, 10) // the harness fails if a set-up goes there
}

func TestWhatIsOverIsForgotten(t *testing.T) {
	r := newRig(t)
	r.dialAll(10, 10)
	for range 200 {
		c := r.callerUp()
		r.answer(r.offer(c, 1, 1500), sip.BusyHere)
		r.callerDown(c)
	}
	r.pass(keepOver + 2*houseWork)
	if len(r.a.calls)+len(r.a.byHandle)+len(r.a.over)+len(r.a.callers.conns)+len(r.a.callers.order)+r.a.open+r.a.held != 0 {
		t.Errorf("%d calls, %d connections, %d open, %d octets retained", len(r.a.calls), len(r.a.callers.conns), r.a.open, r.a.held)
	}
}

// The rules hold at each step and nothing is left in the end, for random actions of both sides, the network and
// the notice board.
func TestRulesHoldWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			r.step(t, rapid.IntRange(0, stepsMost).Draw(t, "step"))
		}
		r.settle(t)
	})
}

// stepsMost is the last kind of step. Steps up to stepPass let time pass; stepLists reports a change of a switch.
const (
	stepsMost = 23
	stepPass  = 2
	stepLists = 18
)

// settle lets all calls end and checks that nothing is left.
func (r *rig) settle(t *rapid.T) {
	for range 40 {
		r.pass(1000)
		for len(r.dials) > 0 {
			r.dial(true, false)
		}
	}
	for _, id := range r.order {
		if k := r.calls[id]; k.answers == 0 && !k.left {
			t.Fatalf("call %s has no answer", id)
		}
	}
	for _, id := range r.order {
		for sw := range r.calls[id].strays {
			if slices.ContainsFunc(r.linkSeq, func(c Conn) bool { return r.links[c] == sw && !r.silent[c] }) {
				t.Fatalf("call %s remains established at switch %d", id, sw)
			}
		}
	}
	if r.a.open != 0 || r.a.held != 0 {
		t.Fatalf("%d open, %d octets held", r.a.open, r.a.held)
	}
}

// step performs one random action.
func (r *rig) step(t *rapid.T, what int) {
	pick := func(name string, ok func(*heardOf) bool) *heardOf {
		var fit []*heardOf
		for _, id := range r.order {
			if k := r.calls[id]; ok(k) {
				fit = append(fit, k)
			}
		}
		if len(fit) == 0 {
			return nil
		}
		return fit[rapid.IntRange(0, len(fit)-1).Draw(t, name)]
	}
	out := func(k *heardOf) bool { return k.tryOn != 0 }
	link := func() Conn {
		if len(r.linkSeq) == 0 {
			return 0
		}
		return r.linkSeq[rapid.IntRange(0, len(r.linkSeq)-1).Draw(t, "link")]
	}
	switch what {
	case 0, 1, 2:
		r.pass(policy.Tenths(rapid.SampledFrom([]int{0, 10, 300, 1501, 3000, 9000}).Draw(t, "span")))
	case 3:
		r.callerUp()
	case 4, 5, 6, 7:
		if len(r.callers) > 0 {
			c := r.callers[rapid.IntRange(0, len(r.callers)-1).Draw(t, "caller")]
			r.offer(c, rapid.IntRange(0, 4).Draw(t, "dest"), rapid.SampledFrom([]int{20, 300, 1000, 3000}).Draw(t, "time"))
		}
	case 8, 9:
		if k := pick("served", out); k != nil {
			r.answer(k, sip.OK)
		}
	case 10:
		if k := pick("refused", out); k != nil {
			r.answer(k, rapid.SampledFrom([]int{503, 503, 486, 500, 480, 504}).Draw(t, "status"),
				fieldWarning, rapid.SampledFrom([]string{"", "atb", "rtb", "acc", "racc", "sub"}).Draw(t, "word"), fieldWait, "30")
		}
	case 11:
		if k := pick("released before the answer", out); k != nil {
			on := k.tryOn
			k.tryOn, k.notBefore = 0, r.now+releaseTime
			r.a.FromSwitch(r.now, on, r.bye(k.id, rapid.SampledFrom([]int{16, 31, 41}).Draw(t, "cause")))
		}
	case 12:
		if k := pick("released", func(k *heardOf) bool { return k.standsAt != 0 && r.links[k.standsOn] != 0 }); k != nil {
			k.standsAt, k.overAt = 0, r.now
			r.a.FromSwitch(r.now, k.standsOn, r.bye(k.id, rapid.SampledFrom([]int{16, 41}).Draw(t, "cause")))
		}
	case 13:
		if k := pick("ended by its caller", func(k *heardOf) bool { return k.stood && k.callerReleased == 0 && !k.callerEnded }); k != nil && len(r.callers) > 0 {
			k.callerEnded = true
			r.a.FromCaller(r.now, r.now, r.callers[0], r.bye(k.id, 16))
		}
	case 14:
		if k := pick("abandoned by its caller", func(k *heardOf) bool { return k.answers == 0 && !k.left }); k != nil {
			k.left = true
			r.a.FromCaller(r.now, r.now, k.on, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: k.id, CSeq: 1})
		}
	case 15:
		if len(r.callers) > 0 {
			r.callerDown(r.callers[rapid.IntRange(0, len(r.callers)-1).Draw(t, "caller")])
		}
	case 16:
		if c := link(); c != 0 {
			r.linkDown(c)
		}
	case 17:
		if len(r.dials) > 0 {
			up := rapid.Bool().Draw(t, "up")
			if c := r.dial(rapid.Bool().Draw(t, "refused"), up); up && r.closed[c] == "" {
				r.notify(c, rapid.IntRange(0, 9).Draw(t, "free"), 9)
			}
		}
	case 18:
		id := uint32(rapid.IntRange(1, 3).Draw(t, "switch"))
		e := board.Switch{ID: id, Cell: int(id), Address: "10.0.0.9:1", State: board.State(rapid.IntRange(0, 2).Draw(t, "state"))}
		if rapid.Bool().Draw(t, "anew") {
			e.StartedMS = int64(r.now) / 10
		}
		r.list(false, e)
	case 20:
		if c := link(); c != 0 {
			r.silent[c] = true
		}
	case 21:
		if len(r.callers) > 0 {
			r.deaf[r.callers[rapid.IntRange(0, len(r.callers)-1).Draw(t, "caller")]] = true
		}
	case 19: // the late answer of an abandoned try
		if k := pick("late", func(k *heardOf) bool { return len(k.given) > 0 && r.links[k.given[0].on] != 0 }); k != nil {
			g := k.given[0]
			k.given = k.given[1:]
			if id, _ := readID(k.id); r.a.calls[id] != nil { // otherwise the call is forgotten already
				k.strays[g.sw] = true
			}
			if k.tryOn == 0 { // the try was out until now
				k.notBefore = max(k.notBefore, r.now+releaseTime)
			}
			r.a.FromSwitch(r.now, g.on, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
		}
	case 22, 23: // a switch releases what an earlier try established, while a later one is out, established or still to come
		if c := link(); c != 0 {
			sw := r.links[c]
			known := func(k *heardOf) bool { id, _ := readID(k.id); return r.a.calls[id] != nil } // otherwise any caller may receive the release
			if k := pick("left", func(k *heardOf) bool { return k.ran[sw] && known(k) }); k != nil {
				delete(k.ran, sw)
				delete(k.strays, sw)
				cause := rapid.SampledFrom([]int{16, 31, 41}).Draw(t, "cause")
				if k.standsAt == sw || k.standsAt != 0 && endsCall(cause) {
					k.eitherReleased, k.overAt = true, r.now
				}
				r.a.FromSwitch(r.now, c, r.bye(k.id, cause))
			}
		}
	}
}
