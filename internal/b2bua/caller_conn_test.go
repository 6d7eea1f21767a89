package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// Guards against closing, as idle, the only connection of a caller who then can't be told that its call is over.
func TestConnectionOfAnEstablishedCallIsNotClosedAsIdle(t *testing.T) {
	for name, announced := range map[string]bool{"set up here": false, "announced": true} {
		h, conn, _ := establishedCall(t)
		if announced {
			conn = h.announce()
		}
		h.settle(2 * callerIdleTimeout)
		if h.closed[conn] != "" {
			t.Errorf("%s: closed: %s", name, h.closed[conn])
		}
	}
}

// Guards against closing a connection on which a release was written and is not confirmed, and against keeping it longer
// than the release.
func TestConnectionWithAnUnconfirmedReleaseIsNotClosedAsIdle(t *testing.T) {
	h, conn, call := establishedCall(t)
	h.settle(2 * callerIdleTimeout)
	h.unresponsive[conn] = true
	call.establishedAt = 0
	h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(call.id, 16))
	if h.settle(callerReleaseLimit); h.closed[conn] != "" {
		t.Errorf("closed %v after the release", h.closed)
	}
	if h.settle(writtenReleaseRetention + callerIdleTimeout); h.closed[conn] != "idle" {
		t.Errorf("closed %v", h.closed)
	}
}

// Guards against a connection that stays open for good after its calls are over, in each way in which a call ends.
func TestConnectionIsIdleOnceItsCallsAreOver(t *testing.T) {
	for name, end := range map[string]func(h *harness, conn ConnID, call *observedCall){
		"released by the switch": func(h *harness, _ ConnID, call *observedCall) {
			call.establishedAt = 0
			h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(call.id, 16))
		},
		"released by the caller": func(h *harness, conn ConnID, call *observedCall) {
			call.callerEnded = true
			h.agent.FromCaller(h.now, h.now, conn, h.newRelease(call.id, 16))
		},
		"cancelled as it was answered": func(h *harness, conn ConnID, call *observedCall) {
			call.callerEnded = true
			h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
		},
		"address refused": func(h *harness, _ ConnID, call *observedCall) {
			h.disconnectLink(h.mustLinkTo(1))
			call.establishedAt = 0
			h.completeDial(true, false)
		},
	} {
		h, conn, call := establishedCall(t)
		end(h, conn, call)
		if h.settle(callerIdleTimeout + writtenReleaseRetention); h.closed[conn] != "idle" {
			t.Errorf("%s: closed %v, %+v", name, h.closed, h.agent.callers.conns[conn])
		}
	}
}

// Guards against evicting a connection on which more is owed while another one could go.
func TestEvictionTakesTheConnectionOnWhichLeastIsOwed(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	ping := func(conn ConnID) {
		h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
	}
	owesAnswer, owesRelease := h.connectCaller(), h.connectCaller()
	h.sendSetUp(owesAnswer, 1, 20000)
	h.answer(h.sendSetUp(owesRelease, 2, 20000), sip.OK)
	announced := h.announce()
	quiet, newer, silent := h.connectCaller(), h.connectCaller(), h.connectCaller()
	ping(quiet)
	h.advanceTime(10)
	ping(newer)
	for _, want := range []ConnID{silent, quiet, newer, announced, owesRelease} {
		next := h.connectCaller()
		if h.closed[want] == "" {
			t.Fatalf("closed %v instead of %d", h.closed, want)
		}
		h.sendSetUp(next, 3, 20000)
	}
	if conn := h.newConn(); h.agent.CallerConnected(h.now, conn) {
		t.Error("a connection was evicted whose caller waits for an answer")
	}
}

// Guards against refusing new callers because connections that send at full speed always have a message in the inbox.
func TestNewCallerIsAcceptedBesideConnectionsThatNeverRest(t *testing.T) {
	h, owesRelease, _ := establishedCall(t)
	h.unhandled = map[ConnID]bool{}
	var busy []ConnID
	for len(h.agent.callers.conns) < h.agent.callers.limit {
		conn := h.connectCaller()
		h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: "1", CSeq: 1})
		busy, h.unhandled[conn] = append(busy, conn), true
	}
	for _, want := range busy {
		conn := h.newConn()
		if h.unhandled[conn] = true; !h.agent.CallerConnected(h.now, conn) || h.closed[want] == "" {
			t.Errorf("not accepted in the place of %d: closed %v", want, h.closed)
		}
	}
	if h.unhandled[owesRelease] = true; h.closed[owesRelease] != "" {
		t.Error("the connection of an established call was closed")
	}
	if conn := h.newConn(); !h.agent.CallerConnected(h.now, conn) || h.closed[owesRelease] == "" {
		t.Error("not accepted although only first messages of others are unhandled")
	}
}

// Guards against closing a connection whose set-up has been read and waits for its turn.
func TestConnectionWithAnUnhandledSetUpIsNotClosed(t *testing.T) {
	h := newHarness(t)
	h.completeDials(10, 10)
	waiting := h.connectCaller()
	h.unhandled = map[ConnID]bool{waiting: true}
	for range 6 {
		h.connectCaller()
	}
	if h.advanceTime(callerMessageTimeout + policy.Tenths(1000)); h.closed[waiting] != "" {
		t.Errorf("closed: %s", h.closed[waiting])
	}
}
