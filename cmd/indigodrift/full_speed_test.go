package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

const (
	fullSpeedDuration = 3 * time.Second
	usualCallers      = 3
	usualPause        = 50 * time.Millisecond // between the calls of one usual caller

	// answerAim is within which a class wants its answers in the settings of these tests.
	answerAim = time.Second

	// maxGrowthKB bounds the growth of memory in the second half of a flood: nothing is held for longer than 10 s, and the
	// tables that hold it have their size by the middle.
	maxGrowthKB = 4 << 10
)

// fullSpeedFloods are what one client sends on one connection, without waiting for an answer.
var fullSpeedFloods = []flood{
	{name: "requests without an id", messages: func(string) []sip.Message { return []sip.Message{floodSetUp("", 1000, 1, "", "")} }},
	{name: "requests of an unknown class", messages: func(id string) []sip.Message {
		return []sip.Message{siptest.SetUp(id, "gold", 1000, "dest:1;width:1;via:-1", "")}
	}},
	{name: "an unknown method", messages: func(id string) []sip.Message {
		return []sip.Message{{Method: "HELLO", URI: "sip:x@net", CallID: id, CSeq: 1}}
	}},
	{name: "the id of one request again and again", messages: func(string) []sip.Message {
		return []sip.Message{floodSetUp("00000000000000d1", 1000, 1, "", "offer")}
	}},
	{name: "small requests under ever new ids and numbers", messages: func(id string) []sip.Message {
		m := floodSetUp(id, 1000, 1, "", "offer")
		m.URI = "sip:" + id + "@net"
		return []sip.Message{m}
	}},
	{name: "requests to ever new destinations under ever new ids", messages: func(id string) []sip.Message {
		n, _ := strconv.ParseUint(id, 16, 64)
		m := floodSetUp(id, 3_600_000, int(n%60000), "", "")
		m.URI = "sip:" + id + "@net"
		return []sip.Message{m}
	}},
	{name: "requests that are taken back at once", messages: func(id string) []sip.Message {
		m := floodSetUp(id, 1000, 1, "", "offer")
		return []sip.Message{m, {Method: sip.Cancel, URI: m.URI, CallID: id, CSeq: 1}}
	}},
	{name: "announcements and releases under ever new ids", messages: func(id string) []sip.Message {
		return []sip.Message{floodSetUp(id, 1000, 1, ";at:s-000000a1", ""), siptest.Release(id, 16)}
	}},
	{name: "tests", messages: func(id string) []sip.Message {
		return []sip.Message{{Method: sip.Options, URI: "sip:ping@net", CallID: id, CSeq: 1}}
	}},
}

// Guards against one client whose requests, sent on one connection at full speed, delay the answers to others or make memory
// grow without end.
func TestOneClientAtFullSpeedDelaysNoOther(t *testing.T) {
	for _, f := range fullSpeedFloods {
		t.Run(f.name, func(t *testing.T) {
			env, process := startUnderFlood(t, defaultSockets)
			stop, secondHalf := make(chan struct{}), make(chan struct{})
			var flooding, usual sync.WaitGroup
			var sent atomic.Uint64
			flooding.Go(func() { f.run(env.listen, 1<<32, &sent, stop) })
			firstKB, peakKB := &atomic.Int64{}, &atomic.Int64{}
			go samplePeak(process, firstKB, secondHalf)
			go samplePeak(process, peakKB, stop)
			time.AfterFunc(fullSpeedDuration/2, func() { close(secondHalf) })
			waits := make([][]time.Duration, usualCallers)
			for n := range waits {
				caller := env.caller()
				usual.Go(func() { waits[n] = placeTimedCalls(t, caller, n, fullSpeedDuration) })
			}
			usual.Wait()
			close(stop)
			flooding.Wait()
			all := slices.Sorted(slices.Values(slices.Concat(waits...)))
			if len(all) == 0 || all[len(all)-1] > answerAim {
				t.Errorf("answers after %v at most", all[max(0, len(all)-1):])
			}
			if growth := peakKB.Load() - firstKB.Load(); growth > maxGrowthKB || peakKB.Load() > floodMemoryMB<<10 {
				t.Errorf("%d KiB of %d KiB used, %d of them in the second half", peakKB.Load(), floodMemoryMB<<10, growth)
			}
			if len(all) > 0 {
				t.Logf("%d messages, %d usual calls, answered after %v (median) and %v (slowest), %d KiB, of these %d since the middle", sent.Load(),
					len(all), all[len(all)/2], all[len(all)-1], peakKB.Load(), peakKB.Load()-firstKB.Load())
			}
		})
	}
}

// placeTimedCalls places calls and returns how long their answers took. It fails the test if one is not answered in time.
func placeTimedCalls(t *testing.T, caller *siptest.Peer, number int, duration time.Duration) (waits []time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(usualPause) {
		id := fmt.Sprintf("%08x%08x", 0xca110000+number, len(waits))
		sentAt := time.Now()
		caller.Send(platformSetUp(id, 1, ""))
		if !answeredIn(caller, id, answerLimit) {
			t.Errorf("call %s: no answer, or the connection was closed", id)
			return waits
		}
		waits = append(waits, time.Since(sentAt))
		caller.Send(sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: id, CSeq: 1})
		caller.Send(siptest.Release(id, 16))
	}
	return waits
}

// answeredIn reports whether the answer to a set-up comes in time. Other messages are passed over.
func answeredIn(caller *siptest.Peer, id string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); ; {
		m, ok := caller.Receive(time.Until(deadline))
		if !ok {
			return false
		}
		if m.CSeqMethod == sip.Invite && m.CallID == id {
			return true
		}
	}
}
