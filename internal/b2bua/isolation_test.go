package b2bua

import (
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// maxTestMessage is more than the octets of any message in these tests.
const maxTestMessage = 512

const unlistedSwitch = 0x0badcafe

// callerWithOpenSetUp creates an agent and a usual caller with a set-up at a switch. What the agent writes to the caller
// stays queued, as within one step of the event loop.
func callerWithOpenSetUp(t *testing.T) (h *harness, usual ConnID, call *observedCall) {
	h = newHarness(t)
	h.completeDials(50, 50)
	usual = h.connectCaller()
	call = h.sendSetUp(usual, 1, 10000)
	h.unwritten[usual] = true
	return h, usual, call
}

// announceMany lets a client announce calls at a switch.
func (h *harness) announceMany(conn ConnID, firstID, count int, switchID uint32) {
	for n := range count {
		h.agent.FromCaller(h.now, h.now, conn, announcement(idOf(firstID+n), switchID))
	}
}

// Guards against releases that fill the write queues of other callers, whose connections were closed for it with set-ups
// open on them. In each case one peer makes the agent release thousands of calls that no caller confirms.
func TestReleasesCausedByOnePeerFillNoOtherQueue(t *testing.T) {
	const flood = 4000
	cases := []struct {
		name       string
		maxBacklog int
		flood      func(h *harness)
	}{
		{"announcements at an unlisted switch", maxAnnouncedBacklog, func(h *harness) { h.announceMany(h.connectCaller(), 0x100000, flood, unlistedSwitch) }},
		{"announcements, then the connection ends", maxAnnouncedBacklog, func(h *harness) {
			conn := h.connectCaller()
			h.announceMany(conn, 0x100000, flood, unlistedSwitch)
			h.disconnectCaller(conn)
		}},
		{"announcements at a listed switch, which goes", maxAnnouncedBacklog, func(h *harness) {
			h.announceMany(h.connectCaller(), 0x100000, flood, 2)
			h.updateSwitches(false, board.Switch{ID: 2, Exchange: 2, Address: "10.0.0.3:1", State: board.Gone})
		}},
		{"announcements, again and again", maxAnnouncedBacklog, func(h *harness) {
			conn := h.connectCaller()
			for range 3 {
				h.announceMany(conn, 0x100000, flood, unlistedSwitch)
			}
		}},
		{"releases of a switch for unknown calls", maxReleaseBacklog, func(h *harness) {
			for n := range flood {
				h.agent.FromSwitch(h.now, h.mustLinkTo(2), h.newRelease(idOf(0x100000+n), 16))
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h, usual, call := callerWithOpenSetUp(t)
			test.flood(h)
			h.advanceTime(callerReleaseLimit)
			h.sendSetUp(usual, 900, 1000)
			if got := h.backlogs[usual]; got > test.maxBacklog+2*maxTestMessage {
				t.Errorf("%d octets queued for the usual caller, at most %d allowed", got, test.maxBacklog)
			}
			if h.closed[usual] != "" || call.abandoned {
				t.Errorf("the usual caller's connection was closed: %s", h.closed[usual])
			}
		})
	}
}

// Guards against a client that displaces or delays the releases of others: with thousands of its own pending, the release
// of a usual call is written at once, and survives where its connection ends.
func TestReleaseOfAUsualCallIsWrittenAmongThousandsOfOthers(t *testing.T) {
	h, first, second, call := twoCallersWithCall(t)
	h.unwritten[first], h.unwritten[second] = true, true
	flooder := h.connectCaller()
	h.announceMany(flooder, 0x100000, 4000, unlistedSwitch)
	h.advanceTime(2 * releaseRoundInterval)
	h.releaseFromSwitch(call)
	h.checkReleases(call, 1, first)
	h.announceMany(flooder, 0x200000, 4000, unlistedSwitch)
	h.disconnectCaller(first) // before the caller answered it
	h.checkReleases(call, 2, second)
}

// Guards against announcing the same call again and again, each time with a release that is repeated.
func TestAnnouncingOneCallAgainHoldsOneRelease(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	h.unresponsive[conn] = true
	for range 1000 {
		h.agent.FromCaller(h.now, h.now, conn, announcement(idOf(7), unlistedSwitch))
	}
	if held := h.agent.Held(); h.agent.callerReleases.len() != 1 || held.Timers != idleTimers+1 || held.ReleaseCopies > 1 {
		t.Errorf("held %+v, %d releases", held, h.agent.callerReleases.len())
	}
}

// Guards against copies that are no longer counted, or counted for ever: their number is bounded.
func TestReleaseCopiesAreCounted(t *testing.T) {
	h := newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 40, Links: 12})
	h.completeDials(50, 50)
	var conns []ConnID
	for range 30 {
		conn := h.connectCaller()
		h.unresponsive[conn] = true
		h.sendSetUp(conn, 900, 1000)
		conns = append(conns, conn)
	}
	for n := range 2 * maxCallerReleases {
		h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(idOf(0x100000+n), 16))
	}
	h.advanceTime(callerReleaseLimit)
	check := func() {
		t.Helper()
		if held := h.agent.Held().ReleaseCopies; held != h.agent.callerReleases.copyCount() || held > maxReleaseCopies {
			t.Fatalf("%d copies held, %d counted", held, h.agent.callerReleases.copyCount())
		}
	}
	check()
	for _, conn := range conns[:10] {
		h.disconnectCaller(conn)
	}
	check()
	h.advanceTime(unwrittenReleaseRetention + writtenReleaseRetention)
	if check(); h.agent.callerReleases.copyCount() != 0 {
		t.Errorf("%d copies counted in the end", h.agent.callerReleases.copyCount())
	}
}

// Guards against releases on an announced call's own connection alone, if that connection is not read.
func TestReleaseOfAnAnnouncedCallReachesAnotherConnection(t *testing.T) {
	h, first, second, _ := twoCallersWithCall(t)
	h.unresponsive[first] = true
	h.backlogs[first] = maxAnnouncedBacklog + 1
	h.agent.FromCaller(h.now, h.now, first, announcement(idOf(7), unlistedSwitch))
	h.advanceTime(callerReleaseLimit)
	if got := h.sentTo(second); !strings.Contains(got, "BYE") {
		t.Errorf("the other connection got %q", got)
	}
	if slices.ContainsFunc(h.sentMessages, func(sent sentMessage) bool { return sent.to == first && sent.message.Method == sip.Bye }) {
		t.Error("a release was written on a connection with a full queue")
	}
}

// Guards against one caller whose calls fill the queue of a connection to a switch, which was closed for it with the
// set-ups of others on it: announced calls that it releases at once, thousands of them.
func TestReleasesOfOneCallerFillNoSwitchQueue(t *testing.T) {
	h, usual, call := callerWithOpenSetUp(t)
	link := call.tryConn
	h.unwritten[link] = true
	flooder := h.connectCaller()
	h.unresponsive[flooder] = true
	const flood = 3 * maxPendingReleases
	for n := range flood {
		h.agent.FromCaller(h.now, h.now, flooder, announcement(idOf(0x100000+n), 1))
		h.agent.FromCaller(h.now, h.now, flooder, h.newRelease(idOf(0x100000+n), 16))
	}
	if got := h.backlogs[link]; got > maxSwitchBacklog+maxTestMessage {
		t.Fatalf("%d octets queued for the switch, at most %d allowed", got, maxSwitchBacklog)
	}
	if counts := h.agent.switchReleases; counts.pending == 0 || counts.pending > maxPendingReleases/2 || counts.sent > maxSentReleases {
		t.Fatalf("held %+v", counts)
	}
	h.answer(call, sip.OK)
	call.callerEnded = true
	h.agent.FromCaller(h.now, h.now, usual, h.newRelease(call.id, 16)) // it waits behind the others
	for range 20 {                                                     // the switch reads
		h.backlogs[link] = 0
		h.advanceTime(maintenanceInterval)
	}
	if counts := h.agent.switchReleases; counts.pending != 0 || call.switchReleases != 1 {
		t.Errorf("held %+v, the usual call was released %d times", counts, call.switchReleases)
	}
}

// Guards against set-ups with long descriptions that fill the queue of a connection to a switch: they wait until it is
// written, or go on other connections.
func TestLongSetUpsFillNoSwitchQueue(t *testing.T) {
	h := newHarnessWithBounds(t, Bounds{Calls: 500, Octets: 8 << 20, Callers: 6, Links: 12})
	h.completeDials(1000, 1000)
	link := h.mustLinkTo(1)
	h.unwritten[link] = true
	conn := h.connectCaller()
	const calls, bodySize = 50, 15 << 10
	var placed []*observedCall
	for range calls {
		h.nextBody = strings.Repeat("x", bodySize)
		placed = append(placed, h.sendSetUp(conn, 1, 10000))
	}
	if got := h.backlogs[link]; got > maxSwitchBacklog+bodySize+maxTestMessage {
		t.Fatalf("%d octets queued for the switch, at most %d allowed", got, maxSwitchBacklog)
	}
	for range 10 { // the switch reads; no further connection comes up
		h.backlogs[link] = 0
		h.advanceTime(maintenanceInterval)
	}
	for _, call := range placed {
		if call.tryConn == 0 {
			t.Fatalf("call %s was not set up: %d answers", call.id, call.answers)
		}
	}
}

// Guards against releases that are held for switches without a bound, or that are still counted when their connection or
// their switch is gone.
func TestReleasesHeldForSwitchesAreCounted(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	for n := range 2 * maxSentReleases {
		switchID := uint32(1 + n%3)
		h.agent.FromCaller(h.now, h.now, conn, announcement(idOf(0x100000+n), switchID))
		h.agent.FromCaller(h.now, h.now, conn, h.newRelease(idOf(0x100000+n), 16))
	}
	check := func(when string) {
		t.Helper()
		counted := switchReleaseCounts{}
		for _, remote := range h.agent.switches {
			counted.pending += len(remote.pendingReleases)
			for _, link := range remote.links {
				counted.sent += len(link.sentReleases)
			}
		}
		if counted != h.agent.switchReleases || counted.sent > maxSentReleases || counted.pending > maxPendingReleases {
			t.Fatalf("%s: held %+v, counted %+v", when, counted, h.agent.switchReleases)
		}
	}
	check("after the flood")
	h.disconnectLink(h.mustLinkTo(1))
	check("after the loss of a connection")
	h.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", State: board.Gone})
	check("after a switch is gone")
	h.updateSwitches(false, board.Switch{ID: 2, Exchange: 2, Address: "10.0.9.9:1"})
	check("after a switch has moved")
	h.advanceTime(releaseLossWindow + keepaliveInterval)
	h.completeDials(9, 9)
	if check("in the end"); h.agent.switchReleases.pending != 0 {
		t.Errorf("held %+v", h.agent.switchReleases)
	}
}

// Guards against one announcement of a call that its switch does not know, for which a further connection to the switch was
// opened every 3 s, and another one closed, as long as the process ran.
func TestAnnouncementOpensNoSwitchConnectionsForEver(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	h.agent.FromCaller(h.now, h.now, conn, announcement(idOf(7), 1))
	pass := func(span, step policy.Tenths) (dials int) {
		for end := h.now + span; h.now < end; {
			h.advanceTime(step)
			dials += len(h.dials)
			h.completeDials(9, 9)
		}
		return dials
	}
	if dials := pass(linkLossRetention, 1000); dials < 10 { // its release may have been lost
		t.Errorf("%d connections in the first minute", dials)
	}
	pass(recoveryInterval, 1000)
	if dials := pass(linkLossRetention, 1000); dials > 0 {
		t.Errorf("%d connections in a later minute", dials)
	}
}
