package b2bua

import (
	"fmt"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

func TestDescriptorsAreDividedWithinTheTotal(t *testing.T) {
	for all := 64; all <= 4096; all++ {
		callers, links := Descriptors(all)
		if sum := callers + links + 2*MaxClosing + reservedDescriptors; callers < all/3 || links < 1 || sum > all {
			t.Fatalf("%d descriptors: %d for callers, %d for switches, %d with the reserve", all, callers, links, sum)
		}
	}
	if _, links := Descriptors(256); links < 2*48 {
		t.Errorf("256 descriptors: %d for switches", links)
	}
}

// manySwitches creates an agent that may hold fewer connections than there are switches.
func manySwitches(t *testing.T, links, switches int) *harness {
	h := newHarnessWithBounds(t, Bounds{Calls: 200, Octets: 1 << 16, Callers: 6, Links: links})
	var list []board.Switch
	for i := range switches {
		list = append(list, board.Switch{ID: uint32(i), Exchange: i, Address: fmt.Sprintf("10.0.1.%d:1", i)})
	}
	for len(h.dials) > 0 { // those of the harness's own list
		h.completeDial(true, false)
	}
	h.updateSwitches(true, list...)
	return h
}

func TestConnectionsToSwitchesStayWithinTheirDescriptors(t *testing.T) {
	const links = 5
	h := manySwitches(t, links, 20)
	conn := h.connectCaller()
	for n := range 60 {
		if held := len(h.links) + len(h.dials); held > links {
			t.Fatalf("%d connections and dials, %d allowed", held, links)
		}
		if n%3 == 0 && len(h.dials) > 0 {
			if up := h.completeDial(false, n%2 == 0); up != 0 && h.closed[up] == "" {
				h.reportCircuits(up, 20, 20)
			}
		}
		h.sendSetUp(conn, 1+n%19, 1000)
		h.advanceTime(700)
	}
}

// Guards against a release that cannot be sent when all descriptors for switches are in use: it goes out on a
// connection that replaces an idle one.
func TestReleaseTakesTheDescriptorOfAnIdleConnection(t *testing.T) {
	h := manySwitches(t, 3, 4)
	h.completeDials(9, 9)
	conn := h.connectCaller()
	call := h.sendSetUp(conn, 1, 1000)
	h.answer(call, sip.OK)
	h.disconnectLink(call.establishedConn)
	h.updateSwitches(false, board.Switch{ID: 4, Exchange: 4, Address: "10.0.1.4:1"}) // the new switch needs a connection as well
	if len(h.dials) != 1 {
		t.Fatalf("%d dials", len(h.dials))
	}
	h.completeDial(false, false)
	for h.advanceTime(1000); len(h.links) < 3; h.advanceTime(1000) { // the new switch gets the free descriptor
		for len(h.dials) > 0 {
			h.completeDial(false, h.dials[0].switchID == 4)
		}
	}
	call.callerEnded = true
	h.agent.FromCaller(h.now, h.now, conn, h.newRelease(call.id, 16))
	h.completeDials(9, 9)
	if call.switchReleases != 1 || len(h.links) > 3 {
		t.Fatalf("released %d times, %d connections", call.switchReleases, len(h.links))
	}
}
