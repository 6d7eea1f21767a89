package exchange

import (
	"runtime"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// lastSent is an Output that keeps the last message sent to a neighbour.
type lastSent struct {
	to  Hop
	msg isup.Message
}

func (s *lastSent) Transmit(to Hop, msg isup.Message) {
	if to.Side == Succeeding {
		s.to, s.msg = to, msg
	}
}
func (s *lastSent) RequestSwitchList()  {}
func (s *lastSent) Log(string)          {}
func (s *lastSent) ReportAnswer(Answer) {}

// newTestExchange returns an exchange with one neighbour, links up and all circuits idle.
func newTestExchange(circuits int) (*Exchange, *lastSent, policy.Tenths) {
	out, now := &lastSent{}, policy.Tenths(1<<32)
	x := New(policy.Deployment{OwnExchange: 0, MaxTries: 4, ReleaseTime: 3000, InitialCapacity: 1, OverloadMultiple: 3, OverloadWindow: 15000, RampTime: 1,
		Bearers: []policy.Bearer{{Revenue: 1, GoSTarget: 12000, AbandonTime: 90000}}}, []Neighbour{{1, circuits}}, out, now,
		func(d policy.Deployment, e policy.Executor, now policy.Tenths) Decider { return policy.New(d, e, now) })
	x.OwnSwitchUp(now, "1")
	x.LinkUp(now, 0, "1")
	for first := 0; first < circuits; first += isup.CircuitsPerMultiplex {
		x.Receive(now, Hop{Side: Succeeding}, isup.Message{Type: isup.GRA, CIC: uint16(first/isup.CircuitsPerMultiplex*32 + 1),
			Range: isup.CircuitsPerMultiplex - 1}, 0)
	}
	x.ListReceived(now, true, []policy.Switch{{ID: 5, Number: 1, Ready: true}})
	return x, out, now
}

// dial passes a set-up from a subscriber line to the exchange.
func (x *Exchange) dial(now policy.Tenths, i uint32) {
	x.Receive(now, Hop{Side: Line, Point: FirstSubscriberPoint + uint16(i>>12&0xff)}, isup.Message{
		CIC:      uint16(i & isup.MaxCIC),
		Type:     isup.IAM,
		Width:    1,
		Digits:   "001000001",
		Ref:      isup.Reference{Point: 1, Identity: i & 0xffffff},
		UserInfo: isup.UserInfo{Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: 30000},
	}, 0)
}

// BenchmarkDecide measures the work of the event loop for one call that is answered and released.
func BenchmarkDecide(b *testing.B) {
	x, out, now := newTestExchange(248)
	b.ReportAllocs()
	for i := uint32(1); b.Loop(); i++ {
		now += 200
		x.dial(now, i)
		if out.msg.Type != isup.IAM {
			b.Fatal("set-up was not sent")
		}
		cic := out.msg.CIC
		x.Receive(now+50, Hop{Side: Succeeding}, isup.Message{CIC: cic, Type: isup.ANM, UserInfo: isup.UserInfo{Present: isup.PartLoad}}, 0)
		x.Receive(now+100, Hop{Side: Line, Point: FirstSubscriberPoint + uint16(i>>12&0xff)},
			isup.Message{CIC: uint16(i & isup.MaxCIC), Type: isup.REL}, 0)
		x.Receive(now+150, Hop{Side: Succeeding}, isup.Message{CIC: cic, Type: isup.RLC}, 0)
		for x.Next() <= now+150 {
			x.Tick(now + 150)
		}
	}
}

// BenchmarkStanding measures the memory of one established call.
func BenchmarkStanding(b *testing.B) {
	const calls = 3900
	for range b.N {
		x, out, now := newTestExchange(3968)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range uint32(calls) {
			now += 200
			x.dial(now, i+1)
			x.Receive(now+50, Hop{Side: Succeeding}, isup.Message{CIC: out.msg.CIC, Type: isup.ANM}, 0)
		}
		now += 40000 // the timers of the set-ups have expired
		x.Tick(now)
		runtime.GC()
		runtime.ReadMemStats(&after)
		if x.EstablishedCalls() != calls {
			b.Fatalf("%d of %d calls are established", x.EstablishedCalls(), calls)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/calls, "B/standing-call")
		runtime.KeepAlive(x)
	}
}
