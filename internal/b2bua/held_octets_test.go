package b2bua

import (
	"runtime"
	"strings"
	"testing"

	"indigodrift/internal/sip"
)

// Guards against entries that take more than docs/bounds.md says, by which the limits in number were chosen. Each call has
// the longest URI.
func TestHeldEntriesTakeNoMoreThanTheirOctets(t *testing.T) {
	const entries = 4000
	longURI := "sip:7f3a9c21e0b4d655@" + strings.Repeat("n", maxURIOctets-len("sip:7f3a9c21e0b4d655@"))
	longInvite := func(n int, parameters string) *sip.Message {
		msg := invite(idOf(0x100000+n), "voice", 60000, parameters, "")
		msg.URI = longURI
		return msg
	}
	answer := func(h *harness, n int) {
		id := idOf(0x100000 + n)
		h.agent.FromSwitch(h.now, h.mustLinkTo(1), &sip.Message{Status: sip.OK, CallID: id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("answer")})
	}
	cases := []struct {
		name      string
		maxOctets int
		add       func(h *harness, conn ConnID, n int)
	}{
		{"an open call", 2048, func(h *harness, conn ConnID, n int) {
			h.agent.FromCaller(h.now, h.now, conn, longInvite(n, "dest:1;width:1;via:-1"))
		}},
		{"an established call", 1536, func(h *harness, conn ConnID, n int) {
			h.agent.FromCaller(h.now, h.now, conn, longInvite(n, "dest:1;width:1;via:-1"))
			answer(h, n)
		}},
		{"an announced call", 1280, func(h *harness, conn ConnID, n int) {
			h.agent.FromCaller(h.now, h.now, conn, longInvite(n, "dest:1;width:1;via:-1;at:s-00000001"))
		}},
		{"a call that was turned away", 1024, func(h *harness, conn ConnID, n int) {
			h.agent.FromCaller(h.now, h.now, conn, longInvite(n, "dest:900;width:1;via:-1"))
		}},
		{"a call that is over", 1280, func(h *harness, conn ConnID, n int) {
			h.agent.FromCaller(h.now, h.now, conn, longInvite(n, "dest:1;width:1;via:-1"))
			h.agent.FromCaller(h.now, h.now, conn, &sip.Message{Method: sip.Cancel, URI: longURI, CallID: idOf(0x100000 + n), CSeq: 1})
		}},
		{"an unconfirmed release", 2048, func(h *harness, _ ConnID, n int) {
			release := h.newRelease(idOf(0x100000+n), 16)
			release.URI = longURI
			h.agent.FromSwitch(h.now, h.mustLinkTo(1), release)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarnessWithBounds(t, Bounds{Calls: 2 * entries, Octets: 1 << 20, Callers: 6, Links: 12})
			h.completeDials(2*entries, 2*entries)
			conn := h.connectCaller()
			forget := func() {
				h.sentMessages, h.records, h.unacknowledgedAnswers, h.unansweredReleases, h.keepalives = nil, nil, nil, nil, nil
			}
			forget()
			before := heapOctets()
			for n := range entries {
				test.add(h, conn, n)
			}
			forget()
			octets := (heapOctets() - before) / entries
			runtime.KeepAlive(h)
			if octets > test.maxOctets {
				t.Errorf("%d octets an entry, at most %d allowed", octets, test.maxOctets)
			}
			t.Logf("%d octets an entry: %+v", octets, h.agent.Held())
		})
	}
}
