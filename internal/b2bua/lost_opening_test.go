package b2bua

import (
	"testing"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// releaseLimit is the time that the platform allows for the release of a caller after the end of a call whose release
// could not be sent.
const releaseLimit = policy.Tenths(80000)

// resetWhileNew completes the next dial with a connection that is reset before anything that the switch wrote on it came.
func (h *harness) resetWhileNew() { h.disconnectLink(h.completeDial(false, true)) }

// resetDuringDial completes the next dial with a connection that is reset before it can be used.
func (h *harness) resetDuringDial() {
	request := h.dials[0]
	h.dials = h.dials[1:]
	h.lostOpenings[request.switchID] = h.now
	h.agent.DialDone(h.now, request.switchID, request.dialID, 0, DialReset)
}

// resetAfterReport resets the next connection after the first message of the switch, ahead of the release.
func (h *harness) resetAfterReport() {
	conn := h.completeDial(false, true)
	h.reportCircuits(conn, 9, 9)
	h.disconnectLink(conn)
}

var lostOpenings = map[string]func(h *harness){
	"while new":              (*harness).resetWhileNew,
	"during the dial":        (*harness).resetDuringDial,
	"after a first message":  (*harness).resetAfterReport,
	"silent and then closed": (*harness).closeSilent,
}

// closeSilent lets the next connection be silent, and the one after it be answered.
func (h *harness) closeSilent() {
	h.silent[h.completeDial(false, true)] = true
	h.openRespondingLink()
}

// settle lets time pass in which every further connection works.
func (h *harness) settle(span policy.Tenths) {
	for elapsed := policy.Tenths(0); elapsed < span; elapsed += maintenanceInterval {
		h.completeDials(9, 9)
		h.advanceTime(maintenanceInterval)
	}
}

// Guards against a caller who is never told that its call is over, as the release was lost with a connection and its
// repetition with the next one.
func TestReleaseLostWithTwoConnectionsInARowIsToldToItsCaller(t *testing.T) {
	for name, loseOpening := range lostOpenings {
		h, _, call := establishedCall(t)
		h.settle(keepaliveInterval)
		h.disconnectLink(h.mustLinkTo(1))
		loseOpening(h)
		if h.settle(releaseLimit - maintenanceInterval); call.callerReleases != 1 || h.agent.establishedCalls != 0 {
			t.Errorf("%s: the caller was released %d times", name, call.callerReleases)
		}
	}
}

// Guards against the same beside a connection that works: its messages were taken for a sign that the switch only hung, though
// the next connection stays silent for good.
func TestReleaseLostBesideAWorkingConnectionIsToldToItsCaller(t *testing.T) {
	for name, loseOpening := range lostOpenings {
		h, _, call := establishedCall(t)
		own := h.mustLinkTo(1)
		h.agent.switches[1].recoveryDialID = h.agent.lastDialID + 1
		h.settle(2 * keepaliveInterval)
		h.disconnectLink(own)
		loseOpening(h)
		if h.settle(releaseLimit - maintenanceInterval); call.callerReleases != 1 {
			t.Errorf("%s: the caller was released %d times", name, call.callerReleases)
		}
	}
}

// Guards against the same where the next connection was opened before the end of the earlier one was noticed.
func TestReleaseLostWithAnOverlappingConnectionIsToldToItsCaller(t *testing.T) {
	for name, oldFirst := range map[string]bool{"the old one ends first": true, "the new one ends first": false} {
		h, old, other, call := callWithTwoLinks(t)
		ends := []ConnID{other, old}
		if oldFirst {
			ends = []ConnID{old, other}
		}
		for _, conn := range ends {
			h.disconnectLink(conn)
		}
		if h.settle(releaseLimit - maintenanceInterval); call.callerReleases != 1 {
			t.Errorf("%s: the caller was released %d times", name, call.callerReleases)
		}
	}
}

// Guards against disconnecting calls because a connection that was opened without a loss stays silent.
func TestCallsStayEstablishedIfAnExtraConnectionIsSilent(t *testing.T) {
	h, _, call := establishedCall(t)
	own := h.mustLinkTo(1)
	h.agent.switches[1].recoveryDialID = h.agent.lastDialID + 1
	h.settle(2 * keepaliveInterval)
	h.forgetLink(own)
	h.agent.SwitchDisconnected(h.now, own, true)
	h.agent.switches[1].recoveryDialID = h.agent.lastDialID + 1
	h.advanceTime(maintenanceInterval)
	h.silent[h.completeDial(false, true)] = true
	if h.settle(releaseLimit); call.callerReleases != 0 {
		t.Errorf("the caller was released %d times", call.callerReleases)
	}
}

// Guards against the same where the only connection was closed in good order, so that the release was written on the next
// one alone.
func TestReleaseWrittenOnNoOtherConnectionIsToldToItsCaller(t *testing.T) {
	h, _, call := establishedCall(t)
	h.settle(keepaliveInterval)
	link := h.mustLinkTo(1)
	h.forgetLink(link)
	h.agent.SwitchDisconnected(h.now, link, true)
	h.resetWhileNew()
	if h.settle(releaseLimit - maintenanceInterval); call.callerReleases != 1 {
		t.Errorf("the caller was released %d times", call.callerReleases)
	}
}

// Guards against disconnecting calls whose release cannot be lost: only one of two connections in a row ended unread.
func TestCallsStayEstablishedIfTheRepetitionIsRead(t *testing.T) {
	for name, play := range map[string]func(h *harness){
		"the next one is read": func(h *harness) { h.disconnectLink(h.mustLinkTo(1)); h.settle(keepaliveInterval) },
		"an extra one is lost": func(h *harness) {
			h.agent.switches[1].recoveryDialID = h.agent.lastDialID + 1
			h.advanceTime(maintenanceInterval)
			h.resetWhileNew()
		},
		"a dial is refused by nobody": func(h *harness) { h.disconnectLink(h.mustLinkTo(1)); h.completeDial(false, false) },
	} {
		h, _, call := establishedCall(t)
		h.settle(keepaliveInterval)
		play(h)
		if h.settle(2 * releaseLimit); call.callerReleases != 0 || h.agent.establishedCalls != 1 {
			t.Errorf("%s: the caller was released %d times", name, call.callerReleases)
		}
	}
}

const announcedID = "0000000000000abc"

// announce lets a caller announce a call at switch 1, and returns the caller's connection.
func (h *harness) announce() ConnID {
	conn := h.connectCaller()
	h.agent.FromCaller(h.now, h.now, conn, announcement(announcedID, 1))
	return conn
}

// restartedController creates an agent that has started with switch 1 listed alone, and has not dialled it yet.
func restartedController(t *testing.T) *harness {
	h := newHarness(t)
	for len(h.dials) > 0 && h.dials[0].switchID != 1 {
		h.completeDial(true, false)
	}
	h.dials = h.dials[:1]
	return h
}

// Guards against a call that is announced after the release of it was lost with the first connection after a restart of
// this process: it was never released, as it counted as established only since its announcement.
func TestAnnouncedCallWhoseReleaseWasLostBeforeIsReleased(t *testing.T) {
	for name, loseOpening := range lostOpenings {
		for _, announcedFirst := range []bool{true, false} {
			h := restartedController(t)
			var conn ConnID
			if announcedFirst {
				conn = h.announce()
			}
			loseOpening(h)
			h.settle(2 * lostRepeatDelay)
			if !announcedFirst {
				conn = h.announce()
			}
			if h.settle(2 * lostRepeatDelay); withoutKeepalives(h.sentTo(conn)) != "BYE" || h.agent.establishedCalls != 0 {
				t.Errorf("%s, announced first %v: the caller received %q", name, announcedFirst, h.sentTo(conn))
			}
		}
	}
}

// Guards against an announced call that counts as one of the new process of its switch, in each order of its announcement,
// the refusal of the switch's address, and the list's news of the new process.
func TestAnnouncedCallOfARestartedSwitchIsReleased(t *testing.T) {
	for name, order := range map[string]string{"announced, told": "at", "told, announced": "ta", "refused, announced": "ra",
		"announced, refused": "ar", "refused, up, announced, told": "ruat", "up, announced, told": "uat", "up, told, announced": "uta"} {
		h := restartedController(t)
		restartedAt := int64(h.now)/10 + 100
		var conn ConnID
		for _, event := range order {
			h.advanceTime(3000)
			switch event {
			case 'a':
				conn = h.announce()
			case 't':
				h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", StartedMS: restartedAt})
			case 'r':
				h.completeDial(true, false)
			case 'u':
				for len(h.dials) == 0 {
					h.advanceTime(maintenanceInterval)
				}
				h.completeDials(9, 9)
			}
		}
		if h.advanceTime(lostRepeatDelay); h.sentTo(conn) != "BYE" || h.agent.establishedCalls != 0 {
			t.Errorf("%s: the caller received %q", name, h.sentTo(conn))
		}
	}
}

// Guards against releasing announced calls without need: at a switch that is new under its id, or has run for long.
func TestAnnouncedCallOfARunningSwitchStaysEstablished(t *testing.T) {
	h := restartedController(t)
	h.settle(keepaliveInterval)
	h.updateSwitches(false, board.Switch{ID: 9, Exchange: 1, Address: "10.0.0.9:1", StartedMS: int64(h.now) / 10})
	h.settle(keepaliveInterval)
	conn := h.announce()
	h.agent.FromCaller(h.now, h.now, conn, announcement("0000000000000abd", 9))
	if h.settle(releaseLimit); h.agent.establishedCalls != 2 {
		t.Errorf("the caller received %q", h.sentTo(conn))
	}
}

// Guards against closing connections to a switch that hangs: it writes its releases there, and repeats them on those that
// were opened meanwhile, when it resumes.
func TestConnectionsToASwitchThatHangsAreKept(t *testing.T) {
	h, _, call := establishedCall(t)
	remote := h.agent.switches[1]
	for len(remote.links) < maxLinksPerSwitch {
		remote.recoveryDialID = h.agent.lastDialID + 1
		h.settle(maintenanceInterval)
	}
	h.settle(2 * keepaliveInterval)
	kept := len(remote.links)
	for conn, switchID := range h.links {
		h.silent[conn] = switchID == 1
	}
	for range (peerTimeout - 2*keepaliveInterval) / maintenanceInterval {
		h.advanceTime(maintenanceInterval)
		for len(h.dials) > 0 {
			h.silent[h.completeDial(false, true)] = true
		}
	}
	if len(h.closed) != 1 || len(remote.links) <= kept || len(remote.links) > maxOpenLinksPerSwitch { // one made room for the first new one
		t.Errorf("closed %v, %d connections", h.closed, len(remote.links))
	}
	h.silent = map[ConnID]bool{}
	for _, link := range remote.links {
		h.reportCircuits(link.conn, 9, 9)
	}
	if h.settle(2 * keepaliveInterval); len(remote.links) > maxLinksPerSwitch || call.callerReleases != 0 {
		t.Errorf("%d connections afterwards, the caller was released %d times: %v", len(remote.links), call.callerReleases, h.logged)
	}
}

// Guards against set-ups that wait until their time is up for a switch to which no further connection may be opened.
func TestSetUpToASwitchThatHangsEndsAsUnreached(t *testing.T) {
	h, _, _, _ := callWithTwoLinks(t)
	remote := h.agent.switches[1]
	for range 4 * maxKeepaliveTimeout / maintenanceInterval {
		h.advanceTime(maintenanceInterval)
		for len(h.dials) > 0 {
			h.silent[h.completeDial(false, true)] = true
		}
		for conn, switchID := range h.links {
			h.silent[conn] = h.silent[conn] || switchID == 1
		}
		if remote.allLinksSilent() {
			break
		}
	}
	call := h.sendSetUp(h.connectCaller(), 1, 3000)
	if h.advanceTime(maintenanceInterval); len(remote.waitingTries) != 0 || call.trySwitch == 1 {
		t.Errorf("%d connections, %d set-ups wait", len(remote.links), len(remote.waitingTries))
	}
}

// Guards against closing a connection that a switch may still write on, for its descriptor, while an idle one is known to be
// read.
func TestDescriptorComesFromAHealthyConnection(t *testing.T) {
	h := manySwitches(t, 4, 4)
	h.completeDials(9, 9)
	h.settle(keepaliveInterval)
	remote := h.agent.switches[1]
	remote.recoveryDialID = h.agent.lastDialID + 1
	h.agent.dialReplacingIdle(remote)
	h.completeDials(9, 9)
	h.settle(keepaliveInterval / 4)
	suspect := remote.links[0]
	suspect.unansweredSince, suspect.lastMessageAt = h.now-maintenanceInterval, 1
	if link := h.agent.evictableLink(h.agent.switches[2]); link == nil || link == suspect {
		t.Errorf("chose %+v", link)
	}
}
