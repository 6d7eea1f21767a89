package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

const (
	netReleaseTime = 150 * time.Millisecond // release_guard of platformNet's settings
	tryCallID      = "0000000000000100"
)

// brokenTry is a controller with one switch, which has read a call's first set-up and broken its answer off, and reads the second.
type brokenTry struct {
	*platformNet
	caller *siptest.Peer
	sw     *siptest.Peer // the connection of the second try
	second sip.Message
}

// breakFirstAnswer sets one call up whose first answer breaks off within a message, which ends its connection.
func breakFirstAnswer(t *testing.T) *brokenTry {
	n := newPlatformNet(t)
	n.start(1, switchEntries(n.switches[0].Addr().String()))
	first := n.up(0)
	time.Sleep(50 * time.Millisecond) // the state of the group is read
	caller := n.caller()
	caller.Send(platformSetUp(tryCallID, 1, ""))
	m := first.Expect(sip.Invite)
	answer := m.Response(sip.OK)
	answer.Body = []byte("answer to the first try")
	octets := sip.Append(nil, &answer)
	first.SendRaw(string(octets[:len(octets)/2]))
	first.Close()
	next := n.up(0)
	second, ok := next.Receive(2 * time.Second)
	if ok && second.Method == sip.Bye { // of what the first try may have left there; it has crossed the switch's own
		second = next.Expect(sip.Invite)
	}
	if second.Method != sip.Invite || second.CallID != tryCallID || second.CSeq != 2 {
		t.Fatalf("the switch read %+v", second)
	}
	return &brokenTry{platformNet: n, caller: caller, sw: next, second: second}
}

// answers has the switch set the second try up, as it works on it for a while.
func (b *brokenTry) answers() {
	time.Sleep(75 * time.Millisecond)
	b.sw.Answer(b.second, "answer to the second try")
}

// wantsTheCallToStand wants the second answer to reach the caller, and no further try.
func (b *brokenTry) wantsTheCallToStand() {
	b.t.Helper()
	if m, ok := b.caller.Receive(2 * netReleaseTime); !ok || m.Status != sip.OK || string(m.Body) != "answer to the second try" {
		b.t.Errorf("the caller read %v %+v", ok, m)
	}
	for until := time.Now().Add(2 * netReleaseTime); time.Now().Before(until); {
		if m, ok := b.sw.Receive(time.Until(until)); ok && (m.Method == sip.Invite || m.Method == sip.Bye || m.Method == sip.Cancel) {
			b.t.Errorf("the switch read %s, CSeq %d", m.Method, m.CSeq)
		}
	}
}

// Guards against a try that is taken for over, and its call sent again too soon, when the reset comes of what an earlier try left at that switch.
func TestResetOfABrokenTryDoesNotEndTheNextOne(t *testing.T) {
	b := breakFirstAnswer(t)
	time.Sleep(10 * time.Millisecond)
	b.sw.Send(siptest.Release(tryCallID, 31))
	b.answers()
	b.wantsTheCallToStand()
}

// Guards against a call that is sent again too soon, or answered and never released, when the release comes of what an earlier try left standing: by
// its cause the call stood and is over, so its caller is refused and the try that is out is taken back.
func TestReleaseOfABrokenTryEndsTheCallOnBothSides(t *testing.T) {
	for _, cause := range []int{16, 41} {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			b := breakFirstAnswer(t)
			time.Sleep(10 * time.Millisecond)
			b.sw.Send(siptest.Release(tryCallID, cause))
			if m, ok := b.caller.Receive(netReleaseTime); !ok || m.Status != sip.ServerInternalError {
				t.Errorf("the caller read %v %+v", ok, m)
			}
			b.answers() // it crosses the CANCEL
			var read []string
			for until := time.Now().Add(3 * netReleaseTime); time.Now().Before(until); {
				if m, ok := b.sw.Receive(time.Until(until)); ok && m.Method != "" && m.Method != sip.Ack {
					read = append(read, m.Method)
				}
			}
			if got := strings.Join(read, " "); got != "CANCEL BYE" {
				t.Errorf("the switch read %q", got)
			}
		})
	}
}

// Guards against a call that stands at its switch for nobody, when the release of an earlier try there is taken for its own.
func TestReleaseOfABrokenTryWhileTheNextStandsLeavesNothingStanding(t *testing.T) {
	b := breakFirstAnswer(t)
	b.answers()
	b.wantsTheCallToStand()
	b.sw.Send(siptest.Release(tryCallID, 16)) // of either try: nothing on the wire tells which
	b.caller.ExpectRelease(tryCallID)
	for until := time.Now().Add(toldWithin); ; {
		m, ok := b.sw.Receive(time.Until(until))
		if !ok {
			t.Fatal("the caller was told that its call is over, the switch was not")
		}
		if m.Method == sip.Bye && m.CallID == tryCallID {
			return
		}
	}
}

// Guards against calls that no further try can serve: a switch need not repeat the number of the set-up's CSeq in its answer.
func TestAnswerToAFurtherTryIsTakenWhateverItsCSeqNumber(t *testing.T) {
	b := breakFirstAnswer(t)
	b.second.CSeq = 1
	b.answers()
	b.wantsTheCallToStand()
}
