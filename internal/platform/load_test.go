package platform

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

func testCallID(n int) string { return fmt.Sprintf("%016x", n) }

// writeInChunks writes a text in chunks of random size, which hold parts of messages or several of them.
func writeInChunks(p *siptest.Peer, rng *rand.Rand, text string) {
	for len(text) > 0 {
		n := min(len(text), 1+rng.IntN(700))
		p.SendRaw(text[:n])
		text = text[n:]
	}
}

// 300 calls share one caller connection and one switch connection, messages are split at random, and answers arrive in another
// order than the set-ups. Each call must get its own session description, one answer and one release.
func TestHundredsOfCallsOnOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 300
		rng := rand.New(rand.NewPCG(1, 2))
		h, sw, c := startServing(t)
		sw.Send(siptest.LoadReport(calls, calls))
		time.Sleep(10 * time.Millisecond)
		var text []byte
		for n := range calls {
			m := setUp(testCallID(n), 3000)
			m.Body = []byte("offer " + testCallID(n))
			text = sip.Append(text, &m)
		}
		writeInChunks(c, rng, string(text))
		var received []sip.Message
		for range calls {
			m := sw.Expect(sip.Invite)
			if string(m.Body) != "offer "+m.CallID || slices.ContainsFunc(received, func(o sip.Message) bool { return o.CallID == m.CallID }) {
				t.Fatalf("the switch received %+v", m)
			}
			received = append(received, m)
		}
		rng.Shuffle(calls, func(i, j int) { received[i], received[j] = received[j], received[i] })
		text = text[:0]
		for _, m := range received {
			answer := m.Response(sip.OK)
			answer.Body = []byte("answer " + m.CallID)
			text = sip.Append(text, &answer)
		}
		writeInChunks(sw, rng, string(text))
		answered, released := map[string]bool{}, map[string]bool{}
		for range calls {
			if m := c.Expect("200"); string(m.Body) != "answer "+m.CallID || answered[m.CallID] {
				t.Fatalf("the caller received %+v", m)
			} else {
				answered[m.CallID] = true
			}
			sw.Expect(sip.Ack)
		}
		text = text[:0]
		for _, m := range received {
			bye := release(m.CallID)
			text = sip.Append(text, &bye)
		}
		writeInChunks(sw, rng, string(text))
		for range calls {
			m := c.Expect(sip.Bye)
			if !answered[m.CallID] || released[m.CallID] {
				t.Fatalf("released %+v", m)
			}
			released[m.CallID] = true
		}
		if m, ok := c.Receive(100 * time.Millisecond); ok {
			t.Errorf("the caller received more: %+v", m)
		}
		h.shutDown()
	})
}

// 40 connections flood the controller with invalid messages, each sending the next as soon as one is rejected. All must be
// rejected, none may reach the switch, and the calls of another caller must be served without delay.
func TestFloodsAreRejectedAndOtherCallsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, sw, c := startServing(t)
		sw.Send(siptest.LoadReport(1000, 1000))
		time.Sleep(10 * time.Millisecond)
		corruptions := []func(m *sip.Message){
			func(m *sip.Message) { m.CallID = "none" },
			func(m *sip.Message) { m.Fields[0].Value = "no such type" },
			func(m *sip.Message) { m.Fields[1].Value = "NaN" },
			func(m *sip.Message) { m.Fields[1].Value = "-5" },
			func(m *sip.Message) { m.Fields[2].Value = "dest:1e300;width:1" },
			func(m *sip.Message) { m.Fields[2].Value = "dest:1;width:0" },
			func(m *sip.Message) { m.URI = "sip:nobody@net" },
			func(m *sip.Message) { *m = release(m.CallID) },
			func(m *sip.Message) { m.Method, m.Body = sip.Cancel, nil },
			func(m *sip.Message) { m.Method = "PUBLISH" },
		}
		const flooders, messagesEach = 40, 50
		done := make(chan int, flooders)
		for n := range flooders {
			p := h.connectCaller()
			go func() {
				rejected := 0
				for i := range messagesEach {
					m := setUp(testCallID(1<<20+n*messagesEach+i), 1000)
					corruptions[(n+i)%len(corruptions)](&m)
					p.Send(m)
					if got, ok := p.Receive(time.Second); ok && got.Status >= 400 {
						rejected++
					}
				}
				done <- rejected
				p.Close()
			}()
		}
		for n := range 60 {
			start := time.Now()
			c.Send(setUp(testCallID(n), 1000))
			m := sw.Expect(sip.Invite)
			if m.CallID != testCallID(n) {
				t.Fatalf("the switch received %+v", m)
			}
			sw.Answer(m, "answer")
			sw.Expect(sip.Ack)
			c.Expect("200")
			if took := time.Since(start); took > 20*time.Millisecond {
				t.Errorf("call %d took %v", n, took)
			}
		}
		for range flooders {
			if rejected := <-done; rejected != messagesEach {
				t.Errorf("%d of %d rejected", rejected, messagesEach)
			}
		}
		if m, ok := sw.Receive(100 * time.Millisecond); ok {
			t.Errorf("the switch received %+v", m)
		}
		h.shutDown()
		if lines := strings.Count(h.log.String(), "message is refused"); lines == 0 || lines > maxWarningsPerSummary {
			t.Errorf("%d log lines for one flood", lines)
		}
	})
}
