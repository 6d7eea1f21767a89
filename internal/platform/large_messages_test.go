package platform

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

// largeSetUp returns a set-up that doesn't fit into a small buffer.
func largeSetUp(id string) sip.Message {
	return siptest.SetUp(id, "voice", 3000, "dest:1;width:1;via:-1", strings.Repeat("x", 8<<10))
}

// Guards against large messages that are taken without a bound, and against ones beyond it that get no answer: with all places
// held by half messages, a large one is refused in time, a small one is served, and a large one is served once places are free.
func TestLargeMessageBeyondThePlacesIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, sw, usual := startServing(t)
		places := h.config.Limits.MemoryMB << 20 / largeMessageDivisor / octetsPerLarge
		half := largeSetUp(callID1)
		text := string(sip.Append(nil, &half))
		var holders []*siptest.Peer
		for range places {
			holder := h.connectCaller()
			holder.SendRaw(text[:len(text)-1])
			holders = append(holders, holder)
		}
		synctest.Wait()
		beyond := h.connectCaller()
		beyond.Send(largeSetUp(callID1))
		usual.Send(setUp(callID2, 3000))
		sw.Answer(sw.Expect(sip.Invite), "answer")
		usual.Expect("200")
		if m, ok := beyond.Receive(3 * time.Second); !ok || m.Status != sip.BadRequest {
			t.Errorf("beyond the places: received %v %+v", ok, m)
		}
		for _, holder := range holders {
			if !holder.ClosedWithin(3 * time.Second) {
				t.Fatal("half a message keeps its place")
			}
		}
		usual.Send(largeSetUp(testCallID(3)))
		sw.Expect(sip.Ack)
		if m := sw.Expect(sip.Invite); m.CallID != testCallID(3) {
			t.Errorf("received %+v", m)
		}
		h.shutDown()
	})
}
