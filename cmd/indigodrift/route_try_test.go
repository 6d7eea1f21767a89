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

// brokenTry is a controller with one switch, which truncated its answer to the first set-up of a call and has received the
// second.
type brokenTry struct {
	*platformNet
	caller *siptest.Peer
	sw     *siptest.Peer // the connection of the second try
	second sip.Message
}

// breakFirstAnswer starts a call and closes the connection in the middle of the first answer.
func breakFirstAnswer(t *testing.T) *brokenTry {
	env := newPlatformNet(t)
	env.start(1, knownSwitches(env.switches[0].Addr().String()))
	first := env.acceptLink(0)
	time.Sleep(50 * time.Millisecond) // the load report of the switch is read
	caller := env.caller()
	caller.Send(platformSetUp(tryCallID, 1, ""))
	m := first.Expect(sip.Invite)
	answer := m.Response(sip.OK)
	answer.Body = []byte("answer to the first try")
	octets := sip.Append(nil, &answer)
	first.SendRaw(string(octets[:len(octets)/2]))
	first.Close()
	next := env.acceptLink(0)
	second, ok := next.Receive(2 * time.Second)
	if ok && second.Method == sip.Bye { // release of the first try, which crosses the switch's own
		second = next.Expect(sip.Invite)
	}
	if second.Method != sip.Invite || second.CallID != tryCallID || second.CSeq != 2 {
		t.Fatalf("the switch received %+v", second)
	}
	return &brokenTry{platformNet: env, caller: caller, sw: next, second: second}
}

// answerSecondTry answers the second set-up after a processing delay.
func (b *brokenTry) answerSecondTry() {
	time.Sleep(75 * time.Millisecond)
	b.sw.Answer(b.second, "answer to the second try")
}

// checkEstablished checks that the second answer reaches the caller and that no further try is sent.
func (b *brokenTry) checkEstablished() {
	b.t.Helper()
	if m, ok := b.caller.Receive(2 * netReleaseTime); !ok || m.Status != sip.OK || string(m.Body) != "answer to the second try" {
		b.t.Errorf("the caller received %v %+v", ok, m)
	}
	for deadline := time.Now().Add(2 * netReleaseTime); time.Now().Before(deadline); {
		if m, ok := b.sw.Receive(time.Until(deadline)); ok && (m.Method == sip.Invite || m.Method == sip.Bye || m.Method == sip.Cancel) {
			b.t.Errorf("the switch received %s, CSeq %d", m.Method, m.CSeq)
		}
	}
}

// Guards against ending a try, and sending the call again too soon, when a switch resets what an earlier try left there.
func TestResetOfABrokenTryDoesNotEndTheNextOne(t *testing.T) {
	b := breakFirstAnswer(t)
	time.Sleep(10 * time.Millisecond)
	b.sw.Send(siptest.Release(tryCallID, 31))
	b.answerSecondTry()
	b.checkEstablished()
}

// Guards against a call that is sent again too soon, or answered and never released, when a switch releases the call that an
// earlier try established. The cause says that the call was established and is over, so the caller is refused and the pending
// try is cancelled.
func TestReleaseOfABrokenTryEndsTheCallOnBothSides(t *testing.T) {
	for _, cause := range []int{16, 41} {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			b := breakFirstAnswer(t)
			time.Sleep(10 * time.Millisecond)
			b.sw.Send(siptest.Release(tryCallID, cause))
			if m, ok := b.caller.Receive(netReleaseTime); !ok || m.Status != sip.ServerInternalError {
				t.Errorf("the caller received %v %+v", ok, m)
			}
			b.answerSecondTry() // crosses the CANCEL
			var received []string
			for deadline := time.Now().Add(3 * netReleaseTime); time.Now().Before(deadline); {
				if m, ok := b.sw.Receive(time.Until(deadline)); ok && m.Method != "" && m.Method != sip.Ack {
					received = append(received, m.Method)
				}
			}
			if got := strings.Join(received, " "); got != "CANCEL BYE" {
				t.Errorf("the switch received %q", got)
			}
		})
	}
}

// Guards against a call that stays established at its switch only, when the release of an earlier try is taken for its own.
func TestReleaseOfABrokenTryAfterTheNextIsAnsweredReleasesBothSides(t *testing.T) {
	b := breakFirstAnswer(t)
	b.answerSecondTry()
	b.checkEstablished()
	b.sw.Send(siptest.Release(tryCallID, 16)) // may belong to either try: the message does not say
	b.caller.ExpectRelease(tryCallID)
	for deadline := time.Now().Add(maxReleaseDelay); ; {
		m, ok := b.sw.Receive(time.Until(deadline))
		if !ok {
			t.Fatal("the caller received a release, the switch did not")
		}
		if m.Method == sip.Bye && m.CallID == tryCallID {
			return
		}
	}
}

// Guards against rejecting the answer to a further try: a switch need not repeat the CSeq number of the set-up in its answer.
func TestAnswerToAFurtherTryIsAcceptedWithAnyCSeqNumber(t *testing.T) {
	b := breakFirstAnswer(t)
	b.second.CSeq = 1
	b.answerSecondTry()
	b.checkEstablished()
}
