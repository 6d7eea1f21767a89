package b2bua

import (
	"fmt"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

func TestDescriptorsForCallersAndSwitchesFitTogether(t *testing.T) {
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
	r := newHarnessWithBounds(t, Bounds{Calls: 200, Octets: 1 << 16, Callers: 6, Links: links})
	var list []board.Switch
	for i := range switches {
		list = append(list, board.Switch{ID: uint32(i), Cell: i, Address: fmt.Sprintf("10.0.1.%d:1", i)})
	}
	for len(r.dials) > 0 { // those of the harness's own list
		r.completeDial(true, false)
	}
	r.updateSwitches(true, list...)
	return r
}

func TestConnectionsToSwitchesStayWithinTheirDescriptors(t *testing.T) {
	const links = 5
	r := manySwitches(t, links, 20)
	c := r.connectCaller()
	for n := range 60 {
		if held := len(r.links) + len(r.dials); held > links {
			t.Fatalf("%d connections and dials, %d allowed", held, links)
		}
		if n%3 == 0 && len(r.dials) > 0 {
			if up := r.completeDial(false, n%2 == 0); up != 0 && r.closed[up] == "" {
				r.reportCircuits(up, 20, 20)
			}
		}
		r.sendSetUp(c, 1+n%19, 1000)
		r.advanceTime(700)
	}
}

// Guards against a release that cannot be sent when all descriptors for switches are in use: it goes out on a
// connection that replaces an idle one.
func TestReleaseTakesTheDescriptorOfAQuietConnection(t *testing.T) {
	r := manySwitches(t, 3, 4)
	r.completeDials(9, 9)
	c := r.connectCaller()
	k := r.sendSetUp(c, 1, 1000)
	r.answer(k, sip.OK)
	r.disconnectLink(k.establishedConn)
	r.updateSwitches(false, board.Switch{ID: 4, Cell: 4, Address: "10.0.1.4:1"}) // the new switch needs a connection as well
	if len(r.dials) != 1 {
		t.Fatalf("%d dials", len(r.dials))
	}
	r.completeDial(false, false)
	for r.advanceTime(1000); len(r.links) < 3; r.advanceTime(1000) { // the new switch gets the free descriptor
		for len(r.dials) > 0 {
			r.completeDial(false, r.dials[0].switchID == 4)
		}
	}
	k.callerEnded = true
	r.agent.FromCaller(r.now, r.now, c, r.newRelease(k.id, 16))
	r.completeDials(9, 9)
	if k.switchReleases != 1 || len(r.links) > 3 {
		t.Fatalf("released %d times, %d connections", k.switchReleases, len(r.links))
	}
}
