package b2bua

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

const unknownExchange = 900

// newSmallHarness creates an agent with the smallest limits of what it holds.
func newSmallHarness(t *testing.T) *harness {
	h := newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 20, Links: 12, Memory: 1})
	h.completeDials(2000, 2000)
	return h
}

// heapOctets returns the octets of the live heap.
func heapOctets() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// announcement returns a set-up of a call that is established at a switch.
func announcement(id string, switchID uint32) *sip.Message {
	return invite(id, "voice", 3000, fmt.Sprintf("dest:1;width:1;via:-1;at:s-%08x", switchID), "")
}

// Guards against calls that are over holding the whole header of their set-up, of which id and URI are parts.
func TestLongHeadersAreNotRetained(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	const calls, headerOctets, allowedPerCall = 4000, 14 << 10, 2 << 10
	before := heapOctets()
	for n := range calls {
		text := sip.Append(nil, invite(idOf(0x10000+n), "voice", 1500, fmt.Sprintf("dest:%d;width:1;via:-1", unknownExchange), ""))
		padding := "\r\nX-Padding: " + strings.Repeat("x", headerOctets) + "\r\nContent-Length"
		msg, err := sip.NewReader(strings.NewReader(strings.Replace(string(text), "\r\nContent-Length", padding, 1))).Read()
		if err != nil {
			t.Fatal(err)
		}
		h.agent.FromCaller(h.now, h.now, conn, &msg)
	}
	h.sentMessages, h.records, h.unacknowledgedAnswers = nil, nil, nil // what the harness holds
	if held := heapOctets() - before; held > calls*allowedPerCall {
		t.Errorf("%d octets held after %d calls, %d a call", held, calls, held/calls)
	}
	runtime.KeepAlive(h)
}

// Guards against a set-up whose URI alone would be held at the length of a whole message, and against passing on what a
// switch may be unable to read: it closes the connection, with the set-ups of others on it.
func TestUnusableURIIsRefused(t *testing.T) {
	for name, added := range map[string]string{"too long": strings.Repeat("x", maxURIOctets), "no ASCII": "\xff\x80", "a tab": "\t"} {
		h := newHarness(t)
		h.completeDials(9, 9)
		msg := invite(idOf(1), "voice", 1500, "dest:1;width:1;via:-1", "")
		msg.URI += added
		conn := h.connectCaller()
		h.agent.FromCaller(h.now, h.now, conn, msg)
		if got := h.sentTo(conn); got != "400" {
			t.Errorf("%s: answered %q", name, got)
		}
	}
}

// Guards against clients that are turned away at full speed making the agent forget a call that a switch may still
// answer: it would stay established there.
func TestTurnedAwayCallsDisplaceNoCallKnownToASwitch(t *testing.T) {
	h := newSmallHarness(t)
	conn, flooder := h.connectCaller(), h.connectCaller()
	call := h.sendSetUp(conn, 1, 1000)
	link, try := call.tryConn, call.trySeq
	call.abandoned = true
	h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: call.id, CSeq: 1})
	for range 3 * minLimitOfHeldEntries {
		h.sendSetUp(flooder, unknownExchange, 1000)
	}
	h.advanceTime(maintenanceInterval)
	h.sentMessages = nil
	late := sip.Message{Status: sip.OK, CallID: call.id, CSeq: try, CSeqMethod: sip.Invite, Body: []byte("late")}
	call.establishedAt, call.callerEnded = 1, true
	h.agent.FromSwitch(h.now, link, &late)
	if got := h.sentTo(link); got != "ACK BYE" {
		t.Errorf("the switch that answered late got %q", got)
	}
	if held := h.agent.Held(); held.RetainedCalls > 2*minLimitOfHeldEntries {
		t.Errorf("held %+v", held)
	}
}

// Guards against a client that announces calls without end: they have a limit, and they displace each other, not the
// calls that another caller announced.
func TestAnnouncedCallsOfOneClientDisplaceNoOthers(t *testing.T) {
	h := newSmallHarness(t)
	usual, flooder := h.connectCaller(), h.connectCaller()
	const usualCalls = 20
	announce := func(conn ConnID, from, count int) {
		for n := range count {
			h.agent.FromCaller(h.now, h.now, conn, announcement(idOf(from+n), 1))
		}
	}
	announce(usual, 0x10000, usualCalls/2)
	announce(flooder, 0x20000, 10*minLimitOfHeldEntries)
	announce(usual, 0x10000+usualCalls/2, usualCalls/2)
	if h.agent.announced.length > minLimitOfHeldEntries || h.agent.establishedCalls != h.agent.announced.length {
		t.Fatalf("%d announced calls, %d established", h.agent.announced.length, h.agent.establishedCalls)
	}
	for n := range usualCalls {
		if call := h.agent.calls[0x10000+uint64(n)]; call == nil || call.state != Established {
			t.Fatalf("call %d of the usual caller is %+v", n, call)
		}
	}
	if got := h.sentTo(usual); strings.Contains(got, "BYE") {
		t.Errorf("the usual caller got %q", got)
	}
	for n := range usualCalls { // they end at their switch
		h.agent.FromSwitch(h.now, h.mustLinkTo(1), h.newRelease(idOf(0x10000+n), 16))
	}
	if h.agent.announced.origins[usual] != nil {
		t.Error("calls that are over are still listed as announced")
	}
}

// Guards against announced calls that use up the limit of established calls, so that set-ups are refused.
func TestAnnouncedCallsTakeNoRoomFromSetUps(t *testing.T) {
	h := newSmallHarness(t)
	conn := h.connectCaller()
	for n := range 2 * minLimitOfHeldEntries {
		h.agent.FromCaller(h.now, h.now, conn, announcement(idOf(0x20000+n), 2))
	}
	for range minLimitOfHeldEntries {
		h.answer(h.sendSetUp(conn, 1, 1000), sip.OK)
	}
	if call := h.sendSetUp(conn, 1, 1000); call.answers != 1 || call.tryConn != 0 {
		t.Errorf("a set-up beyond the limit of established calls: %+v", call)
	}
	if h.agent.callCounts.Established != minLimitOfHeldEntries {
		t.Errorf("%d calls established", h.agent.callCounts.Established)
	}
}

// Guards against a notice board that lists switches without end: those beyond the limit are left out, and those in use stay.
func TestSwitchesBeyondTheLimitAreLeftOut(t *testing.T) {
	h := newSmallHarness(t)
	entries := func(first, count int, state board.State) (list []board.Switch) {
		for n := range count {
			list = append(list, board.Switch{ID: uint32(first + n), Exchange: first + n, Address: "10.9.0.1:1", State: state})
		}
		return list
	}
	check := func(when string, want int) {
		t.Helper()
		held := h.agent.Held()
		if held.Switches != want || held.Policy.Switches > 1024 {
			t.Fatalf("%s: %d switches are held, want %d; the policy holds %d", when, held.Switches, want, held.Policy.Switches)
		}
	}
	h.updateSwitches(false, entries(100, 2*minLimitOfHeldEntries, board.Ready)...)
	check("after the flood", minLimitOfHeldEntries)
	if !slices.ContainsFunc(h.logged, func(line string) bool { return strings.Contains(line, "left out") }) {
		t.Error("nothing was logged")
	}
	h.updateSwitches(false, entries(100, 10, board.Gone)...)
	check("after some are gone", minLimitOfHeldEntries-10)
	h.updateSwitches(false, entries(5000, 20, board.Ready)...)
	check("after new ones", minLimitOfHeldEntries)
	if h.agent.switches[5000] == nil || h.agent.switches[5019] != nil {
		t.Error("not the first of the new ones are held")
	}
	complete := append(entries(7000, 2*minLimitOfHeldEntries, board.Ready), entries(5000, 5, board.Ready)...)
	h.updateSwitches(true, complete...)
	if check("after a complete list", minLimitOfHeldEntries); h.agent.switches[5004] == nil {
		t.Error("a listed switch in use was left out")
	}
}

// Guards against releases to switches that are held without a bound for calls set up here, not only for announced ones.
func TestReleasesOfOwnCallsHeldForSwitchesAreBounded(t *testing.T) {
	h := newHarness(t)
	h.completeDials(9, 9)
	link := h.agent.switches[1].findLink(h.mustLinkTo(1))
	for n := range maxSentReleases + 100 {
		h.agent.writeRelease(link, switchRelease{callID: idOf(n), uri: "sip:x@net", cause: causeNormal})
	}
	sent := link.sentReleases
	if len(sent) != maxSentReleases || sent[len(sent)-1].release.callID != idOf(maxSentReleases+99) || sent[0].release.callID != idOf(100) {
		t.Fatalf("%d releases are remembered, the first %s", len(sent), sent[0].release.callID)
	}
	h.disconnectLink(link.conn)
	if h.agent.switchReleases != (switchReleaseCounts{pending: maxPendingReleases}) || !slices.ContainsFunc(h.logged, func(line string) bool { return strings.Contains(line, "release dropped") }) {
		t.Fatalf("held %+v", h.agent.switchReleases)
	}
	h.completeDials(9, 9)
	if h.agent.switchReleases.pending != 0 {
		t.Errorf("held %+v after a new connection", h.agent.switchReleases)
	}
}

// Guards against ids of switches that have gone which are held without end, as each event may list new ones.
func TestIDsOfSwitchesThatHaveGoneAreBounded(t *testing.T) {
	h := newSmallHarness(t)
	for id := uint32(1000); id < 1000+3*minLimitOfHeldEntries; id++ {
		entry := board.Switch{ID: id, Exchange: 5, Address: "10.9.0.1:1"}
		h.updateSwitches(false, entry)
		entry.State = board.Gone
		h.updateSwitches(false, entry)
		if held := len(h.agent.goneSwitches); held > minLimitOfHeldEntries {
			t.Fatalf("%d ids are held", held)
		}
	}
	last := uint32(1000 + 3*minLimitOfHeldEntries - 1)
	startedMS := int64(h.now) / 10
	h.updateSwitches(false, board.Switch{ID: last, Exchange: 5, Address: "10.9.0.1:1", StartedMS: startedMS}, board.Switch{ID: 9999, Exchange: 5, Address: "10.9.0.2:1", StartedMS: startedMS})
	if h.agent.switches[last].overBefore != h.now || h.agent.switches[9999].overBefore != 0 {
		t.Errorf("calls before %d are over at one that came back, before %d at a new one", h.agent.switches[last].overBefore, h.agent.switches[9999].overBefore)
	}
}
