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

func withoutKeepalives(sent string) string {
	return strings.Join(slices.DeleteFunc(strings.Fields(sent), func(m string) bool { return m == sip.Options }), " ")
}

// mustLinkTo returns the first connection to a switch.
func (r *harness) mustLinkTo(sw uint32) ConnID {
	for _, c := range r.linkOrder {
		if r.links[c] == sw {
			return c
		}
	}
	r.t.Fatalf("no connection to switch %d", sw)
	return 0
}

func establishedCall(t *testing.T) (*harness, ConnID, *observedCall) {
	r := newHarness(t)
	r.completeDials(10, 10)
	c := r.connectCaller()
	k := r.sendSetUp(c, 1, 1500)
	if k.tryConn == 0 || k.trySwitch != 1 {
		t.Fatalf("not sent: %+v, notes %v", k, r.logged)
	}
	r.answer(k, sip.OK)
	if !k.answered {
		t.Fatal("the answer was not passed on")
	}
	return r, c, k
}

func TestCallStandsAndIsReleasedByEitherSide(t *testing.T) {
	for _, by := range []string{"switch", "caller", "caller on another connection"} {
		r, c, k := establishedCall(t)
		link := r.mustLinkTo(1)
		switch by {
		case "switch":
			r.agent.FromSwitch(r.now, link, r.newRelease(k.id, 16))
			if k.callerReleases != 1 || r.agent.callCounts.Released != 1 {
				t.Errorf("by %s: caller %q", by, r.sentTo(c))
			}
			r.agent.FromSwitch(r.now, link, r.newRelease(k.id, 16)) // repeated on the next connection that opens
		default:
			if by != "caller" {
				r.disconnectCaller(c)
				c = r.connectCaller()
			}
			k.callerEnded = true
			r.agent.FromCaller(r.now, r.now, c, r.newRelease(k.id, 16))
			if k.switchReleases != 1 {
				t.Errorf("by %s: switch %q", by, r.sentTo(link))
			}
		}
		if r.agent.establishedCalls != 0 {
			t.Errorf("by %s: %d established calls", by, r.agent.establishedCalls)
		}
	}
}

func TestRefusalsAreTriedAgainOrAnsweredAsTheModuleSays(t *testing.T) {
	for _, c := range []struct {
		status int
		word   string
		want   string // what the caller receives, "" if another try is sent
	}{{503, "atb", ""}, {480, "atb", ""}, {503, "acc", "503"}, {486, "sub", "503"}, {500, "", "503"}, {504, "", "later"}} {
		r := newHarness(t)
		r.completeDials(10, 10)
		caller := r.connectCaller()
		k := r.sendSetUp(caller, 1, 1500)
		r.answer(k, c.status, fieldWarning, c.word)
		switch got := r.sentTo(caller); {
		case c.want == "later":
			if got != "" || k.tryConn != 0 {
				t.Errorf("%d: answered %q before the release time", c.status, got)
			}
			if r.advanceTime(releaseTime + 10); k.tryConn == 0 {
				t.Errorf("%d: not retried after the release time", c.status)
			}
		case got != c.want || (k.tryConn != 0) != (c.want == ""):
			t.Errorf("%d %s: caller received %q, try out %v", c.status, c.word, got, k.tryConn != 0)
		}
	}
}

func TestUnansweredTryIsGivenUpAndItsLateAnswerReleased(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	c := r.connectCaller()
	k := r.sendSetUp(c, 1, 1000)
	link := k.tryConn
	r.advanceTime(11000)
	if k.answers != 1 || k.answered || k.tryConn != 0 {
		t.Fatalf("%d answers (%q), try out %v", k.answers, r.sentTo(c), k.tryConn != 0)
	}
	k.establishedAt = 1
	r.agent.FromSwitch(r.now, link, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: k.trySeq, CSeqMethod: sip.Invite, Body: []byte("late")})
	if got := withoutKeepalives(r.sentTo(link)); got != "INVITE CANCEL ACK BYE" || k.switchReleases != 1 {
		t.Errorf("the switch received %q", r.sentTo(link))
	}
}

// Guards against a second copy of an answer releasing the established call.
func TestSecondCopyOfAnAnswerIsPassedOver(t *testing.T) {
	r, c, k := establishedCall(t)
	r.agent.FromSwitch(r.now, r.mustLinkTo(1), &sip.Message{Status: sip.OK, CallID: k.id, CSeq: k.trySeq, CSeqMethod: sip.Invite, Body: []byte(k.answerBody)})
	r.agent.FromSwitch(r.now, r.mustLinkTo(1), &sip.Message{Status: sip.OK, CallID: "00000000000000ff", CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("ahead")})
	if k.establishedAt != 1 || r.agent.establishedCalls != 1 || r.sentTo(c) != "200" {
		t.Errorf("%d established calls, caller received %q, switch %q", r.agent.establishedCalls, r.sentTo(c), r.sentTo(r.mustLinkTo(1)))
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
		r := newHarness(t)
		r.completeDials(10, 10)
		c := r.connectCaller()
		before := len(r.sentMessages)
		r.agent.FromCaller(r.now, r.now, c, m)
		if got := r.sentTo(c); got != "400" || len(r.sentMessages) != before+1 || len(r.agent.calls) != 0 {
			t.Errorf("%s: received %q, %d messages, %d calls", name, got, len(r.sentMessages)-before, len(r.agent.calls))
		}
	}
}

func TestSecondSetUpUnderOneIDLeavesTheFirstAlone(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	c, other := r.connectCaller(), r.connectCaller()
	k := r.sendSetUp(c, 1, 1500)
	r.agent.FromCaller(r.now, r.now, other, invite(k.id, "voice", 1500, "dest:2;width:1;via:-1", "another"))
	r.agent.FromCaller(r.now, r.now, other, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: k.id, CSeq: 1})
	if r.sentTo(other) != "400 481" || k.tryConn == 0 {
		t.Fatalf("received %q", r.sentTo(other))
	}
	if r.answer(k, sip.OK); !k.answered {
		t.Error("the first call was not answered")
	}
}

func TestUnreadableMessageCostsItsConnection(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	c := r.connectCaller()
	k := r.sendSetUp(c, 1, 1500)
	k.abandoned = false
	r.agent.CallerMessageInvalid(r.now, c, &sip.Message{Method: sip.Invite, CallID: "0123456789abcdef"}, true, "60 MB")
	if r.sentTo(c) != "500 413" || r.closed[c] == "" || k.answers != 1 || k.tryConn != 0 {
		t.Errorf("received %q, closed %q", r.sentTo(c), r.closed[c])
	}
}

func TestSilentAndHalfSaidConnectionsGoInTime(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	silent, half, served, talks := r.connectCaller(), r.connectCaller(), r.connectCaller(), r.connectCaller()
	r.agent.CallerMessagePartial(half, r.now)
	k := r.sendSetUp(served, 1, 20000)
	r.agent.FromCaller(r.now, r.now, talks, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
	r.advanceTime(19000)
	if len(r.closed) != 0 {
		t.Fatalf("closed early: %v", r.closed)
	}
	r.advanceTime(4000)
	if r.closed[silent] == "" || r.closed[half] == "" || r.closed[served] != "" || r.closed[talks] != "" || k.abandoned {
		t.Errorf("closed %v", r.closed)
	}
}

func TestRoomIsMadeForOneMoreCaller(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	var all []ConnID
	for range 6 {
		all = append(all, r.connectCaller())
	}
	for i, c := range all[1:] {
		r.sendSetUp(c, 1+i%3, 20000)
	}
	if r.connectCaller(); r.closed[all[0]] == "" || len(r.closed) != 1 {
		t.Errorf("the connection without a message was not closed: %v", r.closed)
	}
	r.sendSetUp(r.callers[5], 3, 20000)
	if c := r.newConn(); r.agent.CallerConnected(r.now, c) {
		t.Error("a connection was accepted although all others have open set-ups")
	}
}

// Guards against calls without an answer at the end of the process: an accepted call that is never answered is
// lost.
func TestEveryOpenCallIsAnsweredAtTheEnd(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	one, other := r.connectCaller(), r.connectCaller()
	k, o := r.sendSetUp(one, 1, 20000), r.sendSetUp(other, 2, 20000)
	r.agent.FailOpenCalls(r.now)
	if k.answers != 1 || o.answers != 1 || r.agent.Unanswered() != 0 || k.tryConn != 0 || o.tryConn != 0 {
		t.Errorf("%d and %d answers, %d open", k.answers, o.answers, r.agent.Unanswered())
	}
}

func TestFullAgentRefusesAtOnce(t *testing.T) {
	r := newHarness(t)
	r.agent.maxOpenCalls = 1
	c := r.connectCaller()
	r.completeDials(10, 10)
	r.sendSetUp(c, 1, 1500)
	if k := r.sendSetUp(c, 1, 1500); k.answers != 1 || r.sentTo(c) != "503" {
		t.Errorf("received %q", r.sentTo(c))
	}
}

func TestReleaseFindsAnotherCallerConnection(t *testing.T) {
	r, c, k := establishedCall(t)
	r.disconnectCaller(c)
	r.agent.FromSwitch(r.now, r.mustLinkTo(1), r.newRelease(k.id, 16))
	if k.callerReleases != 0 {
		t.Fatal("released without a connected caller")
	}
	next := r.connectCaller()
	if r.sendSetUp(next, 1, 1500); k.callerReleases != 1 {
		t.Errorf("the next connection of a caller received %q", r.sentTo(next))
	}
}

// Guards against a release to a caller that was not connected, and has released the call itself by the time it
// connects.
func TestOwedReleaseIsDroppedWhenTheCallerReleases(t *testing.T) {
	r, c, k := establishedCall(t)
	r.disconnectCaller(c)
	r.agent.FromSwitch(r.now, r.mustLinkTo(1), r.newRelease(k.id, 16))
	next := r.connectCaller()
	k.callerEnded = true
	r.agent.FromCaller(r.now, r.now, next, r.newRelease(k.id, 16))
	if r.sendSetUp(next, 1, 1500); k.callerReleases != 0 {
		t.Errorf("received %q", r.sentTo(next))
	}
}

func TestCallFromBeforeTheStartIsReleasedBothWays(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	c := r.connectCaller()
	at := func(id, sw string) { r.agent.FromCaller(r.now, r.now, c, invite(id, "voice", 0, "at:"+sw, "")) }
	at("00000000000000a1", "s-00000001")
	at("00000000000000a2", "s-00000001")
	at("00000000000000a3", "s-000000ee") // no such switch any more
	if r.sentTo(c) != "BYE" {
		t.Fatalf("received %q", r.sentTo(c))
	}
	r.agent.FromCaller(r.now, r.now, c, r.newRelease("00000000000000a1", 16))
	if got := withoutKeepalives(r.sentTo(r.mustLinkTo(1))); got != "BYE" {
		t.Errorf("the switch received %q", got)
	}
	r.agent.FromSwitch(r.now, r.mustLinkTo(1), r.newRelease("00000000000000a2", 16))
	r.agent.FromSwitch(r.now, r.mustLinkTo(1), r.newRelease("00000000000000a4", 16)) // unknown call
	if got := r.sentTo(c); got != "BYE 200 BYE BYE" {
		t.Errorf("the caller received %q", got)
	}
}

// Guards against mixing up two switches at one address, when a new one takes over from one that drains: their
// connections, calls and releases stay apart.
func TestNewSwitchAtTheAddressOfOneThatGoes(t *testing.T) {
	r, c, k := establishedCall(t)
	old := r.mustLinkTo(1)
	r.updateSwitches(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Draining}, board.Switch{ID: 9, Cell: 1, Address: "10.0.0.2:1"})
	r.completeDials(10, 10)
	fresh := r.mustLinkTo(9)
	if fresh == 0 || r.closed[old] != "" || k.callerReleases != 0 {
		t.Fatalf("connection %d to the new one, the old one's closed %q, released %d times", fresh, r.closed[old], k.callerReleases)
	}
	next := r.sendSetUp(c, 1, 1500)
	if next.tryConn != fresh {
		t.Fatalf("a call was sent on connection %d, want %d", next.tryConn, fresh)
	}
	r.answer(next, sip.OK)
	if r.agent.FromSwitch(r.now, fresh, r.newRelease(k.id, 16)); k.callerReleases != 0 {
		t.Error("the new switch released a call of the old one")
	}
	r.updateSwitches(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Gone})
	if k.callerReleases != 1 || next.callerReleases != 0 || r.closed[old] == "" || r.closed[fresh] != "" {
		t.Errorf("old call released %d times, new one %d; connections closed %v", k.callerReleases, next.callerReleases, r.closed)
	}
}

// Guards against callers that are never released, because the switch of their call is lost and cannot send a
// release.
func TestCallsOfALostSwitchAreReleased(t *testing.T) {
	for name, lose := range map[string]func(r *harness){
		"gone":       func(r *harness) { r.updateSwitches(false, board.Switch{ID: 1, Cell: 1, State: board.Gone}) },
		"not listed": func(r *harness) { r.updateSwitches(true, board.Switch{ID: 2, Cell: 2, Address: "10.0.0.3:1"}) },
		"has restarted": func(r *harness) {
			r.updateSwitches(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", StartedMS: int64(r.now)/10 + 1})
		},
		"refuses": func(r *harness) { r.disconnectLink(r.mustLinkTo(1)); r.completeDial(true, false) },
		"silent": func(r *harness) {
			for _, c := range r.linkOrder {
				r.silent[c] = true
			}
			for range 30 {
				r.advanceTime(2500)
				for len(r.dials) > 0 {
					r.completeDial(false, false)
				}
			}
		},
		"hangs: connections open but no message comes": func(r *harness) {
			for _, c := range r.linkOrder {
				r.silent[c] = true
			}
			for range 30 {
				r.advanceTime(2500)
				for len(r.dials) > 0 {
					if c := r.completeDial(false, true); c != 0 {
						r.silent[c] = true
					}
				}
			}
		},
		"never up again": func(r *harness) {
			r.disconnectLink(r.mustLinkTo(1))
			for range 30 {
				r.advanceTime(2500)
				for len(r.dials) > 0 {
					r.completeDial(false, false)
				}
			}
		},
	} {
		r, _, k := establishedCall(t)
		if lose(r); k.callerReleases != 1 || r.agent.establishedCalls != 0 || r.agent.callCounts.Disconnected != 1 {
			t.Errorf("%s: released %d times, %d established calls", name, k.callerReleases, r.agent.establishedCalls)
		}
	}
}

// Guards against disconnecting calls when only a connection is lost: the switch process still holds them.
func TestCallsOutliveTheirConnection(t *testing.T) {
	r, _, k := establishedCall(t)
	r.disconnectLink(r.mustLinkTo(1))
	r.completeDials(10, 10)
	if k.callerReleases != 0 || r.agent.establishedCalls != 1 {
		t.Fatal("disconnected with its connection")
	}
	if r.agent.FromSwitch(r.now, r.mustLinkTo(1), r.newRelease(k.id, 16)); k.callerReleases != 1 {
		t.Error("not released on the next connection")
	}
}

func TestSilentConnectionIsAskedDoubtedAndClosed(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	r.advanceTime(0) // the keepalive on each new connection is answered
	link, c := r.mustLinkTo(1), r.connectCaller()
	if r.advanceTime(keepaliveInterval + 2*maintenanceInterval); r.sentTo(link) != "OPTIONS OPTIONS" || r.closed[link] != "" {
		t.Fatalf("an idle connection received %q", r.sentTo(link))
	}
	r.silent[link] = true
	k := r.sendSetUp(c, 1, 1500)
	r.advanceTime(busyKeepaliveInterval + 2*maintenanceInterval)
	if got := r.sentTo(link); got != "OPTIONS OPTIONS INVITE OPTIONS" {
		t.Fatalf("with a set-up out it received %q", got)
	}
	if r.advanceTime(minKeepaliveTimeout/2 + maintenanceInterval); len(r.dials) != 1 || r.dials[0].switchID != 1 {
		t.Fatalf("suspect: dials %v", r.dials)
	}
	r.completeDials(10, 10)
	if other := r.sendSetUp(c, 1, 1500); other.tryConn == link {
		t.Error("a set-up was sent on a suspect connection")
	}
	if r.advanceTime(minKeepaliveTimeout/2 + maintenanceInterval); r.closed[link] == "" || k.tryConn == link {
		t.Error("the connection was not closed")
	}
}

// Guards against measuring too short a round trip, by taking the answer to an earlier keepalive for that to the
// last one.
func TestAnswerToAnEarlierTestMeasuresNothing(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	link := r.mustLinkTo(1)
	r.silent[link] = true // answered by this test
	r.sendSetUp(r.connectCaller(), 1, 3000)
	r.advanceTime(busyKeepaliveInterval + 2*maintenanceInterval)
	var tests []sip.Message
	for _, w := range r.sentMessages {
		if w.to == link && w.message.Method == sip.Options {
			tests = append(tests, w.message)
		}
	}
	if len(tests) != 2 {
		t.Fatalf("%d keepalives", len(tests))
	}
	first, last := tests[0].Response(sip.OK), tests[1].Response(sip.OK)
	if r.agent.FromSwitch(r.now, link, &first); r.agent.switches[1].roundTripMeasured {
		t.Errorf("measured %d by the first keepalive", r.agent.switches[1].roundTrip)
	}
	if r.agent.FromSwitch(r.now, link, &last); !r.agent.switches[1].roundTripMeasured {
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
		{"near", 300, minKeepaliveTimeout + 3*maintenanceInterval, minKeepaliveTimeout - maintenanceInterval},
		{"far", 1000, 4000 + 3*maintenanceInterval, 4000 - maintenanceInterval},
		{"not measured", 0, initialKeepaliveTimeout + 3*maintenanceInterval, initialKeepaliveTimeout - maintenanceInterval},
		{"farther than is waited for", 7000, maxKeepaliveTimeout + 3*maintenanceInterval, maxKeepaliveTimeout - maintenanceInterval},
	} {
		r := newHarness(t)
		r.completeDials(10, 10)
		link := r.mustLinkTo(1)
		r.silent[link] = true // answered by this test, and only once
		test := r.sentMessages[slices.IndexFunc(r.sentMessages, func(w sentMessage) bool { return w.to == link })].message
		if c.trip > 0 {
			r.advanceTime(c.trip)
			m := test.Response(sip.OK)
			r.agent.FromSwitch(r.now, link, &m)
		}
		r.reportCircuits(link, 10, 10)
		r.sendSetUp(r.connectCaller(), 1, 3000)
		r.advanceTime(busyKeepaliveInterval + maintenanceInterval) // the keepalive has been sent by now
		if r.advanceTime(c.from - maintenanceInterval); r.closed[link] != "" {
			t.Errorf("%s: closed too early: %s", c.name, r.closed[link])
		}
		if r.advanceTime(c.within - c.from); r.closed[link] == "" {
			t.Errorf("%s: not closed in time", c.name)
		}
	}
}

func TestHalfAnAnswerCostsTheConnection(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	k := r.sendSetUp(r.connectCaller(), 1, 1500)
	link := k.tryConn
	r.silent[link] = true // the rest of the incomplete message is not read
	r.agent.SwitchMessagePartial(link, r.now)
	r.advanceTime(4500)
	if r.closed[link] == "" || k.answers == 0 && k.notBefore == 0 {
		t.Errorf("closed %v, %+v", r.closed, k)
	}
}

func TestNothingWaitsForASwitchThatDrains(t *testing.T) {
	r := newHarness(t)
	c := r.connectCaller()
	r.completeDials(10, 10)
	link := r.mustLinkTo(1)
	r.disconnectLink(link)
	r.sendSetUp(c, 1, 1500)
	r.updateSwitches(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Draining})
	r.completeDials(10, 10) // the harness fails if a set-up goes there
}

func TestWhatIsOverIsForgotten(t *testing.T) {
	r := newHarness(t)
	r.completeDials(10, 10)
	for range 200 {
		c := r.connectCaller()
		r.answer(r.sendSetUp(c, 1, 1500), sip.BusyHere)
		r.disconnectCaller(c)
	}
	r.advanceTime(endedRetention + 2*maintenanceInterval)
	if len(r.agent.calls)+len(r.agent.byHandle)+len(r.agent.ended)+len(r.agent.callers.conns)+len(r.agent.callers.order)+r.agent.openCalls+r.agent.bodyOctets != 0 {
		t.Errorf("%d calls, %d connections, %d open, %d octets retained", len(r.agent.calls), len(r.agent.callers.conns), r.agent.openCalls, r.agent.bodyOctets)
	}
}

// The rules hold at each step and nothing is left in the end, for random actions of both sides, the network and
// the notice board.
func TestRulesHoldWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			r.randomStep(t, rapid.IntRange(0, maxStep).Draw(t, "step"))
		}
		r.checkSettled(t)
	})
}

// maxStep is the last kind of step. Steps up to stepTimePasses let time pass; stepSwitchUpdate reports a change of a switch.
const (
	maxStep          = 23
	stepTimePasses   = 2
	stepSwitchUpdate = 18
)

// checkSettled lets all calls end and checks that nothing is left.
func (r *harness) checkSettled(t *rapid.T) {
	for range 40 {
		r.advanceTime(1000)
		for len(r.dials) > 0 {
			r.completeDial(true, false)
		}
	}
	for _, id := range r.order {
		if k := r.calls[id]; k.answers == 0 && !k.abandoned {
			t.Fatalf("call %s has no answer", id)
		}
	}
	for _, id := range r.order {
		for sw := range r.calls[id].orphanedTries {
			if slices.ContainsFunc(r.linkOrder, func(c ConnID) bool { return r.links[c] == sw && !r.silent[c] }) {
				t.Fatalf("call %s remains established at switch %d", id, sw)
			}
		}
	}
	if r.agent.openCalls != 0 || r.agent.bodyOctets != 0 {
		t.Fatalf("%d open, %d octets held", r.agent.openCalls, r.agent.bodyOctets)
	}
}

// randomStep performs one random action.
func (r *harness) randomStep(t *rapid.T, what int) {
	pick := func(name string, ok func(*observedCall) bool) *observedCall {
		var fit []*observedCall
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
	out := func(k *observedCall) bool { return k.tryConn != 0 }
	link := func() ConnID {
		if len(r.linkOrder) == 0 {
			return 0
		}
		return r.linkOrder[rapid.IntRange(0, len(r.linkOrder)-1).Draw(t, "link")]
	}
	switch what {
	case 0, 1, 2:
		r.advanceTime(policy.Tenths(rapid.SampledFrom([]int{0, 10, 300, 1501, 3000, 9000}).Draw(t, "span")))
	case 3:
		r.connectCaller()
	case 4, 5, 6, 7:
		if len(r.callers) > 0 {
			c := r.callers[rapid.IntRange(0, len(r.callers)-1).Draw(t, "caller")]
			r.sendSetUp(c, rapid.IntRange(0, 4).Draw(t, "dest"), rapid.SampledFrom([]int{20, 300, 1000, 3000}).Draw(t, "time"))
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
			on := k.tryConn
			k.tryConn, k.notBefore = 0, r.now+releaseTime
			r.agent.FromSwitch(r.now, on, r.newRelease(k.id, rapid.SampledFrom([]int{16, 31, 41}).Draw(t, "cause")))
		}
	case 12:
		if k := pick("released", func(k *observedCall) bool { return k.establishedAt != 0 && r.links[k.establishedConn] != 0 }); k != nil {
			k.establishedAt, k.endedAt = 0, r.now
			r.agent.FromSwitch(r.now, k.establishedConn, r.newRelease(k.id, rapid.SampledFrom([]int{16, 41}).Draw(t, "cause")))
		}
	case 13:
		if k := pick("ended by its caller", func(k *observedCall) bool { return k.answered && k.callerReleases == 0 && !k.callerEnded }); k != nil && len(r.callers) > 0 {
			k.callerEnded = true
			r.agent.FromCaller(r.now, r.now, r.callers[0], r.newRelease(k.id, 16))
		}
	case 14:
		if k := pick("abandoned by its caller", func(k *observedCall) bool { return k.answers == 0 && !k.abandoned }); k != nil {
			k.abandoned = true
			r.agent.FromCaller(r.now, r.now, k.conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: k.id, CSeq: 1})
		}
	case 15:
		if len(r.callers) > 0 {
			r.disconnectCaller(r.callers[rapid.IntRange(0, len(r.callers)-1).Draw(t, "caller")])
		}
	case 16:
		if c := link(); c != 0 {
			r.disconnectLink(c)
		}
	case 17:
		if len(r.dials) > 0 {
			up := rapid.Bool().Draw(t, "up")
			if c := r.completeDial(rapid.Bool().Draw(t, "refused"), up); up && r.closed[c] == "" {
				r.reportCircuits(c, rapid.IntRange(0, 9).Draw(t, "free"), 9)
			}
		}
	case 18:
		id := uint32(rapid.IntRange(1, 3).Draw(t, "switch"))
		e := board.Switch{ID: id, Cell: int(id), Address: "10.0.0.9:1", State: board.State(rapid.IntRange(0, 2).Draw(t, "state"))}
		if rapid.Bool().Draw(t, "anew") {
			e.StartedMS = int64(r.now) / 10
		}
		r.updateSwitches(false, e)
	case 20:
		if c := link(); c != 0 {
			r.silent[c] = true
		}
	case 21:
		if len(r.callers) > 0 {
			r.unresponsive[r.callers[rapid.IntRange(0, len(r.callers)-1).Draw(t, "caller")]] = true
		}
	case 19: // the late answer of an abandoned try
		if k := pick("late", func(k *observedCall) bool { return len(k.abandonedTries) > 0 && r.links[k.abandonedTries[0].conn] != 0 }); k != nil {
			g := k.abandonedTries[0]
			k.abandonedTries = k.abandonedTries[1:]
			if id, _ := parseID(k.id); r.agent.calls[id] != nil { // otherwise the call is forgotten already
				k.orphanedTries[g.switchID] = true
			}
			if k.tryConn == 0 { // the try was out until now
				k.notBefore = max(k.notBefore, r.now+releaseTime)
			}
			r.agent.FromSwitch(r.now, g.conn, &sip.Message{Status: sip.OK, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
		}
	case 22, 23: // a switch releases what an earlier try established, while a later one is out, established or still to come
		if c := link(); c != 0 {
			sw := r.links[c]
			known := func(k *observedCall) bool { id, _ := parseID(k.id); return r.agent.calls[id] != nil } // otherwise any caller may receive the release
			if k := pick("left", func(k *observedCall) bool { return k.earlierTries[sw] && known(k) }); k != nil {
				delete(k.earlierTries, sw)
				delete(k.orphanedTries, sw)
				cause := rapid.SampledFrom([]int{16, 31, 41}).Draw(t, "cause")
				if k.establishedAt == sw || k.establishedAt != 0 && isCallEndCause(cause) {
					k.earlierTryReleased, k.endedAt = true, r.now
				}
				r.agent.FromSwitch(r.now, c, r.newRelease(k.id, cause))
			}
		}
	}
}
