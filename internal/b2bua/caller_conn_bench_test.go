package b2bua

import (
	"testing"

	"indigodrift/internal/sip"
)

// BenchmarkInvalidMessage measures a client that connects, sends a set-up and an unreadable message, and is closed, while many
// calls of others are held.
func BenchmarkInvalidMessage(b *testing.B) {
	h := newHarnessWithBounds(b, Bounds{Calls: 50, Octets: 1 << 16, Callers: 20, Links: 12})
	h.completeDials(20, 20)
	others := h.connectCaller()
	for n := range 20000 {
		h.agent.FromCaller(h.now, h.now, others, invite(idOf(n), "voice", 1000, "dest:900;width:1;via:-1", ""))
	}
	var none []sentMessage
	for n := 0; b.Loop(); n++ {
		conn := h.newConn()
		h.agent.CallerConnected(h.now, conn)
		h.agent.FromCaller(h.now, h.now, conn, invite(idOf(0x1000000+n), "voice", 1000, "dest:900;width:1;via:-1", ""))
		h.agent.CallerMessageInvalid(h.now, conn, &sip.Message{}, false, "unreadable")
		h.sentMessages, h.records, h.unacknowledgedAnswers = none, nil, none
	}
}
