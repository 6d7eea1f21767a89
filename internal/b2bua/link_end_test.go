package b2bua

import "testing"

// closeForAnother opens a further connection to switch 1, for which the quietest of the maximum is closed in good order, and
// returns the closed one.
func (h *harness) closeForAnother() ConnID {
	remote := h.agent.switches[1]
	for len(remote.links) < maxLinksPerSwitch {
		remote.recoveryDialID = h.agent.lastDialID + 1
		h.settle(2 * keepaliveInterval)
	}
	quietest := remote.quietestIdleLink().conn
	remote.recoveryDialID = h.agent.lastDialID + 1
	h.settle(maintenanceInterval)
	if h.closed[quietest] == "" || h.agent.closingLinks[quietest].end != linkClosedInOrder {
		h.t.Fatalf("closed %v, closing %+v", h.closed, h.agent.closingLinks)
	}
	h.settle(keepaliveInterval)
	return quietest
}

// establishedOnClosing creates an agent with a call whose own connection is closed in good order for another one.
func establishedOnClosing(t *testing.T) (h *harness, closing ConnID, call *observedCall) {
	h, _, call = establishedCall(t)
	closing = h.closeForAnother()
	id, _ := parseID(call.id)
	h.agent.calls[id].lastTry().conn, call.establishedConn = closing, closing
	return h, closing, call
}

// Guards against a release that is lost on a connection closed here, which its switch had not ended when it was read for the
// last time, and with the connection after it.
func TestReleaseLostOnAConnectionClosedHereIsToldToItsCaller(t *testing.T) {
	for name, loseOpening := range lostOpenings {
		h, closing, call := establishedOnClosing(t)
		h.agent.SwitchDisconnected(h.now, closing, false)
		for range 2 * recoveryInterval / maintenanceInterval {
			if h.advanceTime(maintenanceInterval); len(h.dials) > 0 {
				break
			}
		}
		if len(h.dials) == 0 {
			t.Fatalf("%s: no further connection", name)
		}
		endedAt := h.now
		loseOpening(h)
		if h.settle(endedAt + releaseLimit - maintenanceInterval - h.now); call.callerReleases != 1 {
			t.Errorf("%s: the caller was released %d times", name, call.callerReleases)
		}
	}
}

// Guards against needless connections and cuts after a close that the switch has followed, and against a loop of closes that
// it never follows.
func TestConnectionClosedHereIsReplacedOnlyIfItsSwitchDoesNotEndIt(t *testing.T) {
	for name, followed := range map[string]bool{"followed": true, "not followed": false} {
		h, closing, call := establishedOnClosing(t)
		before := h.agent.lastDialID
		h.agent.SwitchDisconnected(h.now, closing, followed)
		const span = 10 * recoveryInterval
		for range span / maintenanceInterval {
			h.settle(maintenanceInterval)
			for conn := range h.agent.closingLinks {
				h.agent.SwitchDisconnected(h.now, conn, followed)
			}
		}
		dials := int(h.agent.lastDialID - before)
		if followed && dials > 0 || !followed && (dials == 0 || dials > int(span/recoveryInterval)) || call.callerReleases != 0 {
			t.Errorf("%s: %d dials, the caller was released %d times", name, dials, call.callerReleases)
		}
	}
}

// Guards against a release to a switch that is forgotten, or repeated without need, when the connection on which it was
// written is closed for its descriptor.
func TestReleaseToASwitchIsHeldUntilItsClosedConnectionHasEnded(t *testing.T) {
	for name, followed := range map[string]bool{"followed": true, "not followed": false} {
		h, conn, call := establishedCall(t)
		h.settle(keepaliveInterval)
		link := h.mustLinkTo(1)
		call.callerEnded = true
		h.agent.FromCaller(h.now, h.now, conn, h.newRelease(call.id, 16))
		call.establishedAt = 1 // it may not have read the release
		other := h.agent.switches[2]
		other.waitingTries = []*routeTry{{}}
		if h.agent.evictableLink(other).conn != link {
			t.Fatalf("%s: another connection is closed", name)
		}
		h.agent.evictIdleLink(other)
		other.waitingTries = nil
		h.agent.SwitchDisconnected(h.now, link, followed)
		h.settle(2 * maxReconnectDelay)
		if want := map[bool]int{true: 1, false: 2}[followed]; call.switchReleases != want || h.agent.switchReleases.sent > 1 {
			t.Errorf("%s: the switch was released %d times, %d releases are held", name, call.switchReleases, h.agent.switchReleases.sent)
		}
	}
}

// Guards against disconnecting calls for a connection that its switch ended in good order before a keepalive was answered: all
// that was written on it was read, also if it was late, and what is lost later carried nothing.
func TestOpeningThatItsSwitchEndsInOrderIsRead(t *testing.T) {
	for name, play := range map[string]func(h *harness, conn ConnID){
		"at once, and a later one is lost": func(h *harness, conn ConnID) {
			h.endInOrder(conn)
			h.agent.switches[1].recoveryDialID = h.agent.lastDialID + 1
			h.advanceTime(maxShortLinkDelay + maintenanceInterval)
			h.resetWhileNew()
		},
		"after it was overdue": func(h *harness, conn ConnID) {
			h.silent[conn] = true
			for range maxKeepaliveTimeout / maintenanceInterval {
				if h.advanceTime(maintenanceInterval); h.agent.switches[1].lostRepeat.conn == conn {
					break
				}
			}
			h.endInOrder(conn)
		},
	} {
		h, _, call := establishedCall(t)
		own := h.mustLinkTo(1)
		h.agent.switches[1].recoveryDialID = h.agent.lastDialID + 1
		h.settle(2 * keepaliveInterval) // a second connection, which stays
		h.disconnectLink(own)
		conn := h.completeDial(false, true)
		play(h, conn)
		if h.settle(2 * releaseLimit); call.callerReleases != 0 {
			t.Errorf("%s: the caller was released %d times", name, call.callerReleases)
		}
	}
}

// endInOrder lets a switch end a connection in good order, after everything on it was read.
func (h *harness) endInOrder(conn ConnID) {
	delete(h.unreadOpenings, conn)
	h.forgetLink(conn)
	h.agent.SwitchDisconnected(h.now, conn, true)
}

// Guards against a release to a switch that counts as read because this process did not run for a while after it was written.
func TestReleaseToASwitchIsRepeatedAfterAStall(t *testing.T) {
	h, conn, call := establishedCall(t)
	h.settle(keepaliveInterval)
	call.callerEnded = true
	h.agent.FromCaller(h.now, h.now, conn, h.newRelease(call.id, 16))
	call.establishedAt = 1 // it has not read the release
	h.now += 2 * releaseLossWindow
	h.disconnectLink(h.mustLinkTo(1))
	if h.settle(keepaliveInterval); call.switchReleases != 2 {
		t.Errorf("the switch was released %d times", call.switchReleases)
	}
}
