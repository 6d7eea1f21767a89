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
	return strings.Join(slices.DeleteFunc(strings.Fields(sent), func(msg string) bool { return msg == sip.Options }), " ")
}

// mustLinkTo returns the first connection to a switch.
func (h *harness) mustLinkTo(switchID uint32) ConnID {
	for _, conn := range h.linkOrder {
		if h.links[conn] == switchID {
			return conn
		}
	}
	h.t.Fatalf("no connection to switch %d", switchID)
	return 0
}

func establishedCall(t *testing.T) (*harness, ConnID, *observedCall) {
	h := newHarness(t)
	h.completeDials(10, 10)
	conn := h.connectCaller()
	call := h.sendSetUp(conn, 1, 1500)
	if call.tryConn == 0 || call.trySwitch != 1 {
		t.Fatalf("not sent: %+v, logged %v", call, h.logged)
	}
	h.answer(call, sip.OK)
	if !call.answered {
		t.Fatal("the answer was not passed on")
	}
	return h, conn, call
}

func TestCallIsEstablishedAndReleasedByEitherSide(t *testing.T) {
	for _, by := range []string{"switch", "caller", "caller on another connection"} {
		h, conn, call := establishedCall(t)
		link := h.mustLinkTo(1)
		switch by {
		case "switch":
			h.agent.FromSwitch(h.now, link, h.newRelease(call.id, 16))
			if call.callerReleases != 1 || h.agent.callCounts.Released != 1 {
				t.Errorf("by %s: caller %q", by, h.sentTo(conn))
			}
			h.agent.FromSwitch(h.now, link, h.newRelease(call.id, 16)) // repeated on the next connection that opens
		default:
			if by != "caller" {
				h.disconnectCaller(conn)
				conn = h.connectCaller()
			}
			call.callerEnded = true
			h.agent.FromCaller(h.now, h.now, conn, h.newRelease(call.id, 16))
			if call.switchReleases != 1 {
				t.Errorf("by %s: switch %q", by, h.sentTo(link))
			}
		}
		if h.agent.establishedCalls != 0 {
			t.Errorf("by %s: %d established calls", by, h.agent.establishedCalls)
		}
	}
}

func TestRefusalsAreRetriedOrAnsweredAsThePolicyDecides(t *testing.T) {
	for _, tc := range []struct {
		status int
		word   string
		want   string // what the caller receives, "" if another try is sent
	}{{503, "atb", ""}, {480, "atb", ""}, {503, "acc", "503"}, {486, "sub", "503"}, {500, "", "503"}, {504, "", "later"}} {
		h := newHarness(t)
		h.completeDials(10, 10)
		caller := h.connectCaller()
		call := h.sendSetUp(caller, 1, 1500)
		h.answer(call, tc.status, fieldWarning, tc.word)
		switch got := h.sentTo(caller); {
		case tc.want == "later":
			if got != "" || call.tryConn != 0 {
				t.Errorf("%d: answered %q before the release time", tc.status, got)
			}
			if h.advanceTime(releaseTime + 10); call.tryConn == 0 {
				t.Errorf("%d: not retried after the release time", tc.status)
			}
		case got != tc.want || (call.tryConn != 0) != (tc.want == ""):
			t.Errorf("%d %s: caller received %q, try out %v", tc.status, tc.word, got, call.tryConn != 0)
		}
	}
}

func TestUnansweredTryTimesOutAndItsLateAnswerIsReleased(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	conn := h.connectCaller()
	call := h.sendSetUp(conn, 1, 1000)
	link := call.tryConn
	h.advanceTime(11000)
	if call.answers != 1 || call.answered || call.tryConn != 0 {
		t.Fatalf("%d answers (%q), try out %v", call.answers, h.sentTo(conn), call.tryConn != 0)
	}
	call.establishedAt = 1
	h.agent.FromSwitch(h.now, link, &sip.Message{Status: sip.OK, CallID: call.id, CSeq: call.trySeq, CSeqMethod: sip.Invite, Body: []byte("late")})
	if got := withoutKeepalives(h.sentTo(link)); got != "INVITE CANCEL ACK BYE" || call.switchReleases != 1 {
		t.Errorf("the switch received %q", h.sentTo(link))
	}
}

// Guards against a second copy of an answer releasing the established call.
func TestSecondCopyOfAnAnswerIsIgnored(t *testing.T) {
	h, conn, call := establishedCall(t)
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), &sip.Message{Status: sip.OK, CallID: call.id, CSeq: call.trySeq, CSeqMethod: sip.Invite, Body: []byte(call.answerBody)})
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), &sip.Message{Status: sip.OK, CallID: "00000000000000ff", CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("ahead")})
	if call.establishedAt != 1 || h.agent.establishedCalls != 1 || h.sentTo(conn) != "200" {
		t.Errorf("%d established calls, caller received %q, switch %q", h.agent.establishedCalls, h.sentTo(conn), h.sentTo(h.mustLinkTo(1)))
	}
}

func TestInvalidSetUpsAreRefusedAndNotForwarded(t *testing.T) {
	good := func() *sip.Message { return invite("0123456789abcdef", "voice", 1500, "dest:1;width:1;via:-1", "x") }
	set := func(name, value string) *sip.Message {
		msg := good()
		for i := range msg.Fields {
			if msg.Fields[i].Name == name {
				msg.Fields[i].Value = value
			}
		}
		return msg
	}
	noID, noNumber := good(), good()
	noID.CallID, noNumber.URI = "", "sip:net"
	for name, msg := range map[string]*sip.Message{"no id": noID, "no number": noNumber, "class": set(fieldClass, "gold"), "no time": set(fieldExpires, ""),
		"negative time": set(fieldExpires, "-5"), "time no number": set(fieldExpires, "NaN"), "endless": set(fieldExpires, "1e300"),
		"no destination": set(fieldInfo, "width:1"), "destination": set(fieldInfo, "dest:-1;width:1"), "no number there": set(fieldInfo, "dest:NaN;width:1"),
		"width": set(fieldInfo, "dest:1;width:0"), "part of a circuit": set(fieldInfo, "dest:1;width:1.5"), "huge": set(fieldInfo, "dest:1;width:1e30"),
		"switch": set(fieldInfo, "at:s-1"), "words": set(fieldInfo, "dest"), "method": {Method: "HELLO", URI: "sip:x@net", CallID: "0123456789abcdef"}} {
		h := newHarness(t)
		h.completeDials(10, 10)
		conn := h.connectCaller()
		before := len(h.sentMessages)
		h.agent.FromCaller(h.now, h.now, conn, msg)
		if got := h.sentTo(conn); got != "400" || len(h.sentMessages) != before+1 || len(h.agent.calls) != 0 {
			t.Errorf("%s: received %q, %d messages, %d calls", name, got, len(h.sentMessages)-before, len(h.agent.calls))
		}
	}
}

func TestSetUpWithDuplicateIDLeavesTheFirstCallAlone(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	conn, other := h.connectCaller(), h.connectCaller()
	call := h.sendSetUp(conn, 1, 1500)
	h.agent.FromCaller(h.now, h.now, other, invite(call.id, "voice", 1500, "dest:2;width:1;via:-1", "another"))
	h.agent.FromCaller(h.now, h.now, other, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
	if h.sentTo(other) != "400 481" || call.tryConn == 0 {
		t.Fatalf("received %q", h.sentTo(other))
	}
	if h.answer(call, sip.OK); !call.answered {
		t.Error("the first call was not answered")
	}
}

func TestUnreadableMessageClosesItsConnection(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	conn := h.connectCaller()
	call := h.sendSetUp(conn, 1, 1500)
	call.abandoned = false
	h.agent.CallerMessageInvalid(h.now, conn, &sip.Message{Method: sip.Invite, CallID: "0123456789abcdef"}, true, "60 MB")
	if h.sentTo(conn) != "500 413" || h.closed[conn] == "" || call.answers != 1 || call.tryConn != 0 {
		t.Errorf("received %q, closed %q", h.sentTo(conn), h.closed[conn])
	}
}

func TestSilentAndPartialCallerConnectionsAreClosed(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	silent, partial, active, probing := h.connectCaller(), h.connectCaller(), h.connectCaller(), h.connectCaller()
	h.agent.CallerMessagePartial(partial, h.now)
	call := h.sendSetUp(active, 1, 20000)
	h.agent.FromCaller(h.now, h.now, probing, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
	h.advanceTime(19000)
	if len(h.closed) != 0 {
		t.Fatalf("closed early: %v", h.closed)
	}
	h.advanceTime(4000)
	if h.closed[silent] == "" || h.closed[partial] == "" || h.closed[active] != "" || h.closed[probing] != "" || call.abandoned {
		t.Errorf("closed %v", h.closed)
	}
}

func TestCallerConnectionIsEvictedForANewOne(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	var all []ConnID
	for range 6 {
		all = append(all, h.connectCaller())
	}
	for i, conn := range all[1:] {
		h.sendSetUp(conn, 1+i%3, 20000)
	}
	if h.connectCaller(); h.closed[all[0]] == "" || len(h.closed) != 1 {
		t.Errorf("the connection without a message was not closed: %v", h.closed)
	}
	h.sendSetUp(h.callers[5], 3, 20000)
	if conn := h.newConn(); h.agent.CallerConnected(h.now, conn) {
		t.Error("a connection was accepted although all others have open set-ups")
	}
}

// Guards against calls without an answer at the end of the process: an accepted call that is never answered is
// lost.
func TestFailOpenCallsAnswersEveryOpenCall(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	one, other := h.connectCaller(), h.connectCaller()
	firstCall, secondCall := h.sendSetUp(one, 1, 20000), h.sendSetUp(other, 2, 20000)
	h.agent.FailOpenCalls(h.now)
	if firstCall.answers != 1 || secondCall.answers != 1 || h.agent.Unanswered() != 0 || firstCall.tryConn != 0 || secondCall.tryConn != 0 {
		t.Errorf("%d and %d answers, %d open", firstCall.answers, secondCall.answers, h.agent.Unanswered())
	}
}

func TestFullAgentRefusesAtOnce(t *testing.T) {
	h := newHarness(t)
	h.agent.maxOpenCalls = 1
	conn := h.connectCaller()
	h.completeDials(10, 10)
	h.sendSetUp(conn, 1, 1500)
	if call := h.sendSetUp(conn, 1, 1500); call.answers != 1 || h.sentTo(conn) != "503" {
		t.Errorf("received %q", h.sentTo(conn))
	}
}

func TestReleaseIsSentOnAnotherCallerConnection(t *testing.T) {
	h, conn, call := establishedCall(t)
	h.disconnectCaller(conn)
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(call.id, 16))
	if call.callerReleases != 0 {
		t.Fatal("released without a connected caller")
	}
	next := h.connectCaller()
	if h.sendSetUp(next, 1, 1500); call.callerReleases != 1 {
		t.Errorf("the next connection of a caller received %q", h.sentTo(next))
	}
}

// Guards against a release to a caller that was not connected, and has released the call itself by the time it
// connects.
func TestPendingReleaseIsDroppedWhenTheCallerReleases(t *testing.T) {
	h, conn, call := establishedCall(t)
	h.disconnectCaller(conn)
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(call.id, 16))
	next := h.connectCaller()
	call.callerEnded = true
	h.agent.FromCaller(h.now, h.now, next, h.newRelease(call.id, 16))
	if h.sendSetUp(next, 1, 1500); call.callerReleases != 0 {
		t.Errorf("received %q", h.sentTo(next))
	}
}

func TestAdoptedCallIsReleasedByEitherSide(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	conn := h.connectCaller()
	at := func(id, switchID string) {
		h.agent.FromCaller(h.now, h.now, conn, invite(id, "voice", 0, "at:"+switchID, ""))
	}
	at("00000000000000a1", "s-00000001")
	at("00000000000000a2", "s-00000001")
	at("00000000000000a3", "s-000000ee") // no such switch any more
	if h.sentTo(conn) != "BYE" {
		t.Fatalf("received %q", h.sentTo(conn))
	}
	h.agent.FromCaller(h.now, h.now, conn, h.newRelease("00000000000000a1", 16))
	if got := withoutKeepalives(h.sentTo(h.mustLinkTo(1))); got != "BYE" {
		t.Errorf("the switch received %q", got)
	}
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease("00000000000000a2", 16))
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease("00000000000000a4", 16)) // unknown call
	if got := h.sentTo(conn); got != "BYE 200 BYE BYE" {
		t.Errorf("the caller received %q", got)
	}
}

// Guards against mixing up two switches at one address, when a new one takes over from one that drains: their
// connections, calls and releases stay apart.
func TestNewSwitchAtTheAddressOfADrainingOne(t *testing.T) {
	h, conn, call := establishedCall(t)
	old := h.mustLinkTo(1)
	h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", State: board.Draining}, board.Switch{ID: 9, Exchange: 1, Address: "10.0.0.2:1"})
	h.completeDials(10, 10)
	newLink := h.mustLinkTo(9)
	if newLink == 0 || h.closed[old] != "" || call.callerReleases != 0 {
		t.Fatalf("connection %d to the new one, the old one's closed %q, released %d times", newLink, h.closed[old], call.callerReleases)
	}
	next := h.sendSetUp(conn, 1, 1500)
	if next.tryConn != newLink {
		t.Fatalf("a call was sent on connection %d, want %d", next.tryConn, newLink)
	}
	h.answer(next, sip.OK)
	if h.agent.FromSwitch(h.now, newLink, h.newRelease(call.id, 16)); call.callerReleases != 0 {
		t.Error("the new switch released a call of the old one")
	}
	h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", State: board.Gone})
	if call.callerReleases != 1 || next.callerReleases != 0 || h.closed[old] == "" || h.closed[newLink] != "" {
		t.Errorf("old call released %d times, new one %d; connections closed %v", call.callerReleases, next.callerReleases, h.closed)
	}
}

// Guards against callers that are never released, because the switch of their call is lost and cannot send a
// release.
func TestCallsOfALostSwitchAreReleased(t *testing.T) {
	for name, lose := range map[string]func(h *harness){
		"gone":       func(h *harness) { h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, State: board.Gone}) },
		"not listed": func(h *harness) { h.updateSwitches(true, board.Switch{ID: 2, Exchange: 2, Address: "10.0.0.3:1"}) },
		"has restarted": func(h *harness) {
			h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", StartedMS: int64(h.now)/10 + 1})
		},
		"refuses": func(h *harness) { h.disconnectLink(h.mustLinkTo(1)); h.completeDial(true, false) },
		"silent": func(h *harness) {
			for _, conn := range h.linkOrder {
				h.silent[conn] = true
			}
			for range 30 {
				h.advanceTime(2500)
				for len(h.dials) > 0 {
					h.completeDial(false, false)
				}
			}
		},
		"hangs: connections open but no message comes": func(h *harness) {
			for _, conn := range h.linkOrder {
				h.silent[conn] = true
			}
			for range 30 {
				h.advanceTime(2500)
				for len(h.dials) > 0 {
					if conn := h.completeDial(false, true); conn != 0 {
						h.silent[conn] = true
					}
				}
			}
		},
		"never up again": func(h *harness) {
			h.disconnectLink(h.mustLinkTo(1))
			for range 30 {
				h.advanceTime(2500)
				for len(h.dials) > 0 {
					h.completeDial(false, false)
				}
			}
		},
	} {
		h, _, call := establishedCall(t)
		if lose(h); call.callerReleases != 1 || h.agent.establishedCalls != 0 || h.agent.callCounts.Disconnected != 1 {
			t.Errorf("%s: released %d times, %d established calls", name, call.callerReleases, h.agent.establishedCalls)
		}
	}
}

// Guards against disconnecting calls when only a connection is lost: the switch process still holds them.
func TestCallsSurviveTheLossOfTheirConnection(t *testing.T) {
	h, _, call := establishedCall(t)
	h.disconnectLink(h.mustLinkTo(1))
	h.completeDials(10, 10)
	if call.callerReleases != 0 || h.agent.establishedCalls != 1 {
		t.Fatal("disconnected with its connection")
	}
	if h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(call.id, 16)); call.callerReleases != 1 {
		t.Error("not released on the next connection")
	}
}

func TestSilentConnectionIsProbedSuspectedAndClosed(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	h.advanceTime(0) // the keepalive on each new connection is answered
	link, conn := h.mustLinkTo(1), h.connectCaller()
	if h.advanceTime(keepaliveInterval + 2*maintenanceInterval); h.sentTo(link) != "OPTIONS OPTIONS" || h.closed[link] != "" {
		t.Fatalf("an idle connection received %q", h.sentTo(link))
	}
	h.silent[link] = true
	call := h.sendSetUp(conn, 1, 1500)
	h.advanceTime(busyKeepaliveInterval + 2*maintenanceInterval)
	if got := h.sentTo(link); got != "OPTIONS OPTIONS INVITE OPTIONS" {
		t.Fatalf("with a set-up out it received %q", got)
	}
	if h.advanceTime(minKeepaliveTimeout/2 + maintenanceInterval); len(h.dials) != 1 || h.dials[0].switchID != 1 {
		t.Fatalf("suspect: dials %v", h.dials)
	}
	h.completeDials(10, 10)
	if other := h.sendSetUp(conn, 1, 1500); other.tryConn == link {
		t.Error("a set-up was sent on a suspect connection")
	}
	if h.advanceTime(minKeepaliveTimeout/2 + maintenanceInterval); h.closed[link] == "" || call.tryConn == link {
		t.Error("the connection was not closed")
	}
}

// Guards against measuring too short a round trip, by taking the answer to an earlier keepalive for that to the
// last one.
func TestAnswerToAnEarlierKeepaliveIsNotMeasured(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	link := h.mustLinkTo(1)
	h.silent[link] = true // answered by this test
	h.sendSetUp(h.connectCaller(), 1, 3000)
	h.advanceTime(busyKeepaliveInterval + 2*maintenanceInterval)
	var keepalives []sip.Message
	for _, sent := range h.sentMessages {
		if sent.to == link && sent.message.Method == sip.Options {
			keepalives = append(keepalives, sent.message)
		}
	}
	if len(keepalives) != 2 {
		t.Fatalf("%d keepalives", len(keepalives))
	}
	first, last := keepalives[0].Response(sip.OK), keepalives[1].Response(sip.OK)
	if h.agent.FromSwitch(h.now, link, &first); h.agent.switches[1].roundTripMeasured {
		t.Errorf("measured %d by the first keepalive", h.agent.switches[1].roundTrip)
	}
	if h.agent.FromSwitch(h.now, link, &last); !h.agent.switches[1].roundTripMeasured {
		t.Error("not measured by the last keepalive")
	}
}

// The keepalive timeout follows the measured round-trip time. With the timeout for the longest possible round
// trip, each silent connection made the policy shed a healthy switch for a quarter of a second and more; with that
// for the shortest, every connection of a slow network would break.
func TestKeepaliveTimeoutFollowsTheRoundTripTime(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		roundTrip, within, from policy.Tenths // roundTrip 0: no keepalive was answered yet
	}{
		{"near", 300, minKeepaliveTimeout + 3*maintenanceInterval, minKeepaliveTimeout - maintenanceInterval},
		{"far", 1000, 4000 + 3*maintenanceInterval, 4000 - maintenanceInterval},
		{"not measured", 0, initialKeepaliveTimeout + 3*maintenanceInterval, initialKeepaliveTimeout - maintenanceInterval},
		{"beyond the maximum", 7000, maxKeepaliveTimeout + 3*maintenanceInterval, maxKeepaliveTimeout - maintenanceInterval},
	} {
		h := newHarness(t)
		h.completeDials(10, 10)
		link := h.mustLinkTo(1)
		h.silent[link] = true // answered by this test, and only once
		keepalive := h.sentMessages[slices.IndexFunc(h.sentMessages, func(sent sentMessage) bool { return sent.to == link })].message
		if tc.roundTrip > 0 {
			h.advanceTime(tc.roundTrip)
			msg := keepalive.Response(sip.OK)
			h.agent.FromSwitch(h.now, link, &msg)
		}
		h.reportCircuits(link, 10, 10)
		h.sendSetUp(h.connectCaller(), 1, 3000)
		h.advanceTime(busyKeepaliveInterval + maintenanceInterval) // the keepalive has been sent by now
		if h.advanceTime(tc.from - maintenanceInterval); h.closed[link] != "" {
			t.Errorf("%s: closed too early: %s", tc.name, h.closed[link])
		}
		if h.advanceTime(tc.within - tc.from); h.closed[link] == "" {
			t.Errorf("%s: not closed in time", tc.name)
		}
	}
}

func TestPartialAnswerClosesTheConnection(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	call := h.sendSetUp(h.connectCaller(), 1, 1500)
	link := call.tryConn
	h.silent[link] = true // the rest of the incomplete message is not read
	h.agent.SwitchMessagePartial(link, h.now)
	h.advanceTime(4500)
	if h.closed[link] == "" || call.answers == 0 && call.notBefore == 0 {
		t.Errorf("closed %v, %+v", h.closed, call)
	}
}

func TestNoTryWaitsForADrainingSwitch(t *testing.T) {
	h := newHarness(t)
	conn := h.connectCaller()
	h.completeDials(10, 10)
	link := h.mustLinkTo(1)
	h.disconnectLink(link)
	h.sendSetUp(conn, 1, 1500)
	h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", State: board.Draining})
	h.completeDials(10, 10) // the harness fails if a set-up goes there
}

func TestEndedCallsArePurged(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	for range 200 {
		conn := h.connectCaller()
		h.answer(h.sendSetUp(conn, 1, 1500), sip.BusyHere)
		h.disconnectCaller(conn)
	}
	h.advanceTime(endedRetention + 2*maintenanceInterval)
	if len(h.agent.calls)+len(h.agent.byHandle)+h.agent.retained.len()+len(h.agent.callers.conns)+len(h.agent.callers.order)+h.agent.openCalls+h.agent.bodyOctets != 0 {
		t.Errorf("%d calls, %d connections, %d open, %d octets retained", len(h.agent.calls), len(h.agent.callers.conns), h.agent.openCalls, h.agent.bodyOctets)
	}
}

// The rules hold at each step and nothing is left in the end, for random actions of both sides, the network and
// the notice board.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			h.randomStep(t, rapid.IntRange(0, maxStep).Draw(t, "step"))
		}
		h.checkSettled(t)
	})
}

// maxStep is the last kind of step. Steps up to stepTimePasses let time pass; stepSwitchUpdate reports a change of a
// switch.
const (
	maxStep          = 23
	stepTimePasses   = 2
	stepSwitchUpdate = 18
)

// checkSettled lets all calls end and checks that nothing is left.
func (h *harness) checkSettled(t *rapid.T) {
	for range 40 {
		h.advanceTime(1000)
		for len(h.dials) > 0 {
			h.completeDial(true, false)
		}
	}
	for _, id := range h.order {
		if call := h.calls[id]; call.answers == 0 && !call.abandoned {
			t.Fatalf("call %s has no answer", id)
		}
	}
	for _, id := range h.order {
		for switchID := range h.calls[id].orphanedTries {
			if slices.ContainsFunc(h.linkOrder, func(conn ConnID) bool { return h.links[conn] == switchID && !h.silent[conn] }) {
				t.Fatalf("call %s remains established at switch %d", id, switchID)
			}
		}
	}
	if h.agent.openCalls != 0 || h.agent.bodyOctets != 0 {
		t.Fatalf("%d open, %d octets held", h.agent.openCalls, h.agent.bodyOctets)
	}
	if held, pending := h.agent.Held(), h.agent.callerReleases.len(); held.Timers > idleTimers+pending || held.Policy.Calls > h.agent.establishedCalls {
		t.Fatalf("held %+v, with %d releases pending and %d calls established", held, pending, h.agent.establishedCalls)
	}
}

// randomStep performs one random action.
func (h *harness) randomStep(t *rapid.T, kind int) {
	pick := func(name string, ok func(*observedCall) bool) *observedCall {
		var candidates []*observedCall
		for _, id := range h.order {
			if call := h.calls[id]; ok(call) {
				candidates = append(candidates, call)
			}
		}
		if len(candidates) == 0 {
			return nil
		}
		return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, name)]
	}
	tryOut := func(call *observedCall) bool { return call.tryConn != 0 }
	link := func() ConnID {
		if len(h.linkOrder) == 0 {
			return 0
		}
		return h.linkOrder[rapid.IntRange(0, len(h.linkOrder)-1).Draw(t, "link")]
	}
	switch kind {
	case 0, 1, 2:
		h.advanceTime(policy.Tenths(rapid.SampledFrom([]int{0, 10, 300, 1501, 3000, 9000}).Draw(t, "span")))
	case 3:
		h.connectCaller()
	case 4, 5, 6, 7:
		if len(h.callers) > 0 {
			conn := h.callers[rapid.IntRange(0, len(h.callers)-1).Draw(t, "caller")]
			h.sendSetUp(conn, rapid.IntRange(0, 4).Draw(t, "dest"), rapid.SampledFrom([]int{20, 300, 1000, 3000}).Draw(t, "time"))
		}
	case 8, 9:
		if call := pick("served", tryOut); call != nil {
			h.answer(call, sip.OK)
		}
	case 10:
		if call := pick("refused", tryOut); call != nil {
			h.answer(call, rapid.SampledFrom([]int{503, 503, 486, 500, 480, 504}).Draw(t, "status"),
				fieldWarning, rapid.SampledFrom([]string{"", "atb", "rtb", "acc", "racc", "sub"}).Draw(t, "word"), fieldWait, "30")
		}
	case 11:
		if call := pick("released before the answer", tryOut); call != nil {
			tryConn := call.tryConn
			call.tryConn, call.notBefore = 0, h.now+releaseTime
			h.agent.FromSwitch(h.now, tryConn, h.newRelease(call.id, rapid.SampledFrom([]int{16, 31, 41}).Draw(t, "cause")))
		}
	case 12:
		if call := pick("released", func(call *observedCall) bool { return call.establishedAt != 0 && h.links[call.establishedConn] != 0 }); call != nil {
			call.establishedAt, call.endedAt = 0, h.now
			h.agent.FromSwitch(h.now, call.establishedConn, h.newRelease(call.id, rapid.SampledFrom([]int{16, 41}).Draw(t, "cause")))
		}
	case 13:
		if call := pick("ended by its caller", func(call *observedCall) bool { return call.answered && call.callerReleases == 0 && !call.callerEnded }); call != nil && len(h.callers) > 0 {
			call.callerEnded = true
			h.agent.FromCaller(h.now, h.now, h.callers[0], h.newRelease(call.id, 16))
		}
	case 14:
		if call := pick("abandoned by its caller", func(call *observedCall) bool { return call.answers == 0 && !call.abandoned }); call != nil {
			call.abandoned = true
			h.agent.FromCaller(h.now, h.now, call.conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
		}
	case 15:
		if len(h.callers) > 0 {
			h.disconnectCaller(h.callers[rapid.IntRange(0, len(h.callers)-1).Draw(t, "caller")])
		}
	case 16:
		if conn := link(); conn != 0 {
			h.disconnectLink(conn)
		}
	case 17:
		if len(h.dials) > 0 {
			up := rapid.Bool().Draw(t, "up")
			if conn := h.completeDial(rapid.Bool().Draw(t, "refused"), up); up && h.closed[conn] == "" {
				h.reportCircuits(conn, rapid.IntRange(0, 9).Draw(t, "free"), 9)
			}
		}
	case 18:
		id := uint32(rapid.IntRange(1, 3).Draw(t, "switch"))
		entry := board.Switch{ID: id, Exchange: int(id), Address: "10.0.0.9:1", State: board.State(rapid.IntRange(0, 2).Draw(t, "state"))}
		if rapid.Bool().Draw(t, "anew") {
			entry.StartedMS = int64(h.now) / 10
		}
		h.updateSwitches(false, entry)
	case 20:
		if conn := link(); conn != 0 {
			h.silent[conn] = true
		}
	case 21:
		if len(h.callers) > 0 {
			h.unresponsive[h.callers[rapid.IntRange(0, len(h.callers)-1).Draw(t, "caller")]] = true
		}
	case 19: // the late answer of an abandoned try
		if call := pick("late", func(call *observedCall) bool {
			return len(call.abandonedTries) > 0 && h.links[call.abandonedTries[0].conn] != 0
		}); call != nil {
			abandoned := call.abandonedTries[0]
			call.abandonedTries = call.abandonedTries[1:]
			if id, _ := parseID(call.id); h.agent.calls[id] != nil { // otherwise the call is forgotten already
				call.orphanedTries[abandoned.switchID] = true
			}
			if call.tryConn == 0 { // the try was out until now
				call.notBefore = max(call.notBefore, h.now+releaseTime)
			}
			h.agent.FromSwitch(h.now, abandoned.conn, &sip.Message{Status: sip.OK, CallID: call.id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("late")})
		}
	case 22, 23: // a switch releases what an earlier try established, while a later one is out, established or still to come
		if conn := link(); conn != 0 {
			switchID := h.links[conn]
			// The release of a call that the agent does not know may go to any caller.
			known := func(call *observedCall) bool { id, _ := parseID(call.id); return h.agent.calls[id] != nil }
			if call := pick("left", func(call *observedCall) bool { return call.earlierTries[switchID] && known(call) }); call != nil {
				delete(call.earlierTries, switchID)
				delete(call.orphanedTries, switchID)
				cause := rapid.SampledFrom([]int{16, 31, 41}).Draw(t, "cause")
				if call.establishedAt == switchID || call.establishedAt != 0 && isCallEndCause(cause) {
					call.earlierTryReleased, call.endedAt = true, h.now
				}
				h.agent.FromSwitch(h.now, conn, h.newRelease(call.id, cause))
			}
		}
	}
}
