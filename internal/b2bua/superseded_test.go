package b2bua

import (
	"testing"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// successor returns the entry of a switch that listens at the address of switch 1 since a time.
func successor(startedAt policy.Tenths) board.Switch {
	return board.Switch{ID: 9, Exchange: 1, Address: "10.0.0.2:1", StartedMS: int64(startedAt) / 10}
}

// Guards against taking the process of a new switch for that of an old one whose machine has vanished: its answers kept the
// calls of the old one alive, and calls went to it under the old one's id.
func TestCallsOfAVanishedSwitchEndThoughAnotherAnswersAtItsAddress(t *testing.T) {
	h, conn, call := establishedCall(t)
	h.settle(keepaliveInterval)
	vanishedAt := h.now
	h.silent[h.mustLinkTo(1)] = true
	h.advanceTime(peerTimeout / 2) // no connection comes up
	startedAt := h.now
	h.settle(2 * keepaliveInterval) // connections come up, and the new one answers
	misled := h.sendSetUp(conn, 1, 1500)
	h.answer(misled, 200)
	misled.earlierTryReleased = true
	h.updateSwitches(false, successor(startedAt))
	h.settle(vanishedAt + releaseLimit - h.now)
	if call.callerReleases != 1 || misled.callerReleases != 1 || misled.switchReleases != 1 {
		t.Errorf("released: the old call %d times, the one set up since %d times, at its switch %d times", call.callerReleases, misled.callerReleases, misled.switchReleases)
	}
	next := h.sendSetUp(conn, 1, 1500)
	if next.trySwitch != 9 || h.links[next.tryConn] != 9 {
		t.Errorf("the next call went to switch %d on a connection to %d", next.trySwitch, h.links[next.tryConn])
	}
}

// Guards against ending the calls of a switch that is still heard on its connections though another one listens at its
// address, and against connections to the other one in its name.
func TestCallsOfASupersededSwitchEndWithItsLastConnection(t *testing.T) {
	h, conn, call := establishedCall(t)
	h.settle(keepaliveInterval)
	old := h.mustLinkTo(1)
	h.updateSwitches(false, successor(h.now))
	h.settle(2 * peerTimeout)
	if call.callerReleases != 0 || h.closed[old] != "" {
		t.Fatalf("released %d times, closed %v", call.callerReleases, h.closed)
	}
	if next := h.sendSetUp(conn, 1, 1500); next.trySwitch != 9 {
		t.Errorf("a new call went to switch %d", next.trySwitch)
	}
	h.disconnectLink(old)
	if h.advanceTime(maintenanceInterval); call.callerReleases != 1 {
		t.Errorf("released %d times after its last connection", call.callerReleases)
	}
	for _, dial := range h.dials {
		if dial.switchID == 1 {
			t.Error("its address was dialled")
		}
	}
}

// Guards against a switch that stays without connections after the one at its address has gone.
func TestSwitchIsDialledAgainOnceItsAddressIsFree(t *testing.T) {
	h, _, _ := establishedCall(t)
	h.settle(keepaliveInterval)
	entry := successor(h.now)
	h.updateSwitches(false, entry)
	h.disconnectLink(h.mustLinkTo(1))
	entry.State = board.Gone
	h.updateSwitches(false, entry)
	h.settle(2 * maxReconnectDelay)
	if h.agent.switches[1].usableLinks() == 0 {
		t.Error("no connection")
	}
}
