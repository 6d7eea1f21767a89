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

func id(n int) string { return fmt.Sprintf("%016x", n) }

// pieces writes a text in chunks of random size, which hold parts of messages or several of them.
func pieces(p *siptest.Peer, rng *rand.Rand, text string) {
	for len(text) > 0 {
		n := min(len(text), 1+rng.IntN(700))
		p.Raw(text[:n])
		text = text[n:]
	}
}

// 300 calls share one caller connection and one switch connection, messages are split at random, and answers arrive in another
// order than the set-ups. Each call must get its own session description, one answer and one release.
func TestHundredsOfCallsOnOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 300
		rng := rand.New(rand.NewPCG(1, 2))
		b, sw, c := serving(t)
		sw.Say(siptest.Group(calls, calls))
		time.Sleep(10 * time.Millisecond)
		var text []byte
		for n := range calls {
			m := setUp(id(n), 3000)
			m.Body = []byte("offer " + id(n))
			text = sip.Append(text, &m)
		}
		pieces(c, rng, string(text))
		var heard []sip.Message
		for range calls {
			m := sw.Want(sip.Invite)
			if string(m.Body) != "offer "+m.CallID || slices.ContainsFunc(heard, func(o sip.Message) bool { return o.CallID == m.CallID }) {
				t.Fatalf("the switch received %+v", m)
			}
			heard = append(heard, m)
		}
		rng.Shuffle(calls, func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
		text = text[:0]
		for _, m := range heard {
			answer := m.Answer(sip.OK)
			answer.Body = []byte("answer " + m.CallID)
			text = sip.Append(text, &answer)
		}
		pieces(sw, rng, string(text))
		stood, released := map[string]bool{}, map[string]bool{}
		for range calls {
			if m := c.Want("200"); string(m.Body) != "answer "+m.CallID || stood[m.CallID] {
				t.Fatalf("the caller received %+v", m)
			} else {
				stood[m.CallID] = true
			}
			sw.Want(sip.Ack)
		}
		text = text[:0]
		for _, m := range heard {
			bye := release(m.CallID)
			text = sip.Append(text, &bye)
		}
		pieces(sw, rng, string(text))
		for range calls {
			m := c.Want(sip.Bye)
			if !stood[m.CallID] || released[m.CallID] {
				t.Fatalf("released %+v", m)
			}
			released[m.CallID] = true
		}
		if m, ok := c.Next(100 * time.Millisecond); ok {
			t.Errorf("the caller received more: %+v", m)
		}
		b.end()
	})
}

// 40 connections flood the controller with invalid messages, each sending the next as soon as one is rejected. All must be
// rejected, none may reach the switch, and the calls of another caller must be served without delay.
func TestFloodsAreRefusedAndTouchNoOtherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, sw, c := serving(t)
		sw.Say(siptest.Group(1000, 1000))
		time.Sleep(10 * time.Millisecond)
		spoilt := []func(m *sip.Message){
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
		const flooders, each = 40, 50
		done := make(chan int, flooders)
		for n := range flooders {
			p := b.caller()
			go func() {
				refused := 0
				for i := range each {
					m := setUp(id(1<<20+n*each+i), 1000)
					spoilt[(n+i)%len(spoilt)](&m)
					p.Say(m)
					if got, ok := p.Next(time.Second); ok && got.Status >= 400 {
						refused++
					}
				}
				done <- refused
				p.Close()
			}()
		}
		for n := range 60 {
			began := time.Now()
			c.Say(setUp(id(n), 1000))
			m := sw.Want(sip.Invite)
			if m.CallID != id(n) {
				t.Fatalf("the switch received %+v", m)
			}
			sw.Stand(m, "answer")
			sw.Want(sip.Ack)
			c.Want("200")
			if took := time.Since(began); took > 20*time.Millisecond {
				t.Errorf("call %d took %v", n, took)
			}
		}
		for range flooders {
			if refused := <-done; refused != each {
				t.Errorf("%d of %d rejected", refused, each)
			}
		}
		if m, ok := sw.Next(100 * time.Millisecond); ok {
			t.Errorf("the switch received %+v", m)
		}
		b.end()
		if lines := strings.Count(b.log.String(), "message is refused"); lines == 0 || lines > notesMost {
			t.Errorf("%d log lines for one flood", lines)
		}
	})
}
