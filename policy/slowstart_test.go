package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// fleet is the controllers of a full mesh, in which the switch of one exchange is replaced by a cold one.
type fleet struct {
	deployment     Deployment
	harnesses      []*harness
	shares         []float64 // share of the calls to each exchange, by controller
	rng            *rand.Rand
	now            Tenths
	bootAt         Tenths
	lastID         uint32
	callsPerSecond float64 // first calls per second to each exchange from all controllers together
	arrivals       []Tenths
}

const (
	replacedExchange = 1 // exchange whose switch is replaced
	oldSwitch        = 101
	newSwitch        = 9001
	usualLoad        = 0.78 // load of a processor in a usual hour
	circuitFactor    = 1.33 // circuits of a group, as a multiple of the carried calls
)

// newFleet starts n controllers, of which every tenth has several times the mean traffic.
func newFleet(n int, callsPerSecond float64, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(n))), now: 1_000_000, callsPerSecond: callsPerSecond}
	sum := 0.0
	for i := range n {
		weight := 0.5 + f.rng.Float64()
		if i%10 == 3 {
			weight *= 4
		}
		f.shares, sum = append(f.shares, weight), sum+weight
	}
	for i := range f.shares {
		f.shares[i] /= sum
		f.harnesses = append(f.harnesses, f.startController(n, i))
	}
	return f
}

// startController returns a controller that has just started or restarted. It knows the list and the state of each group.
func (f *fleet) startController(n, i int) *harness {
	h := newMesh(2, 50)
	f.deployment = h.deployment
	f.deployment.Seed, f.deployment.OwnExchange, f.deployment.Controllers = f.rng.Uint64(), n+1, n
	for b := range f.deployment.Bearers {
		f.deployment.Bearers[b].HoldingTime = 100000
	}
	h = newHarness(f.deployment)
	h.now = f.now
	h.controller = New(f.deployment, h, h.now)
	var list []Switch
	for k := range n {
		list = append(list, Switch{ID: uint32(100 + k), Number: k, Ready: true})
	}
	if f.bootAt != 0 {
		list[replacedExchange].Ready = false
		list = append(list, Switch{ID: newSwitch, Number: replacedExchange, Ready: true, BootAt: f.bootAt})
	}
	h.list(true, list...)
	for _, s := range list {
		h.reportGroup(s.ID, f.groupSize(i), f.groupSize(i))
	}
	return h
}

// groupSize is the size of each group of controller i: a third more than its calls to an exchange take.
func (f *fleet) groupSize(i int) int {
	return int(math.Ceil(f.shares[i] * f.callsPerSecond * circuitFactor * float64(f.deployment.Bearers[0].HoldingTime) / 10000))
}

// offer offers controller i a call to an exchange and records the arrival if it goes to the cold switch. The call is
// answered at once and released, so that the circuits never limit the traffic.
func (f *fleet) offer(i, dest int, repeated bool) {
	h := f.harnesses[i]
	f.lastID++
	request := newCall(f.lastID, 1, dest)
	request.Disconnected = repeated
	triesBefore := len(h.sent)
	h.offer(request)
	if len(h.sent) > triesBefore && h.calls[f.lastID].openTry != nil {
		switchID := h.sent[len(h.sent)-1].id
		if switchID == newSwitch {
			f.arrivals = append(f.arrivals, f.now)
		}
		h.answerTry(f.lastID)
		h.end(f.lastID, Released, NoReason)
		h.reportGroup(switchID, f.groupSize(i), f.groupSize(i))
	}
	delete(h.calls, f.lastID)
	h.order, h.sent = h.order[:0], h.sent[:0]
}

// advance advances the time with the usual calls, multiplied by a factor.
func (f *fleet) advance(by Tenths, factor float64) {
	const step = 50
	for end := f.now + by; f.now < end; {
		f.now += step
		for i, h := range f.harnesses {
			h.advance(f.now - h.now)
			for dest := range f.harnesses {
				if f.rng.Float64() < factor*f.callsPerSecond*f.shares[i]*step/10000 {
					f.offer(i, dest, false)
				}
			}
		}
	}
}

// replaceSwitch lists the cold switch as ready and the old one as draining.
func (f *fleet) replaceSwitch() {
	f.bootAt = f.now
	for i, h := range f.harnesses {
		h.list(false, Switch{ID: newSwitch, Number: replacedExchange, Ready: true, BootAt: f.bootAt},
			Switch{ID: oldSwitch, Number: replacedExchange, Draining: true})
		h.reportGroup(newSwitch, f.groupSize(i), f.groupSize(i))
	}
}

// repeatCalls has the calls that were disconnected at the old switch come again, spread over a time span.
func (f *fleet) repeatCalls(calls int, span Tenths) {
	var times []Tenths
	for range calls {
		times = append(times, f.now+Tenths(f.rng.Int64N(int64(span))))
	}
	for end := f.now + span; f.now < end; {
		f.advance(50, 1)
		for _, at := range times {
			if at > f.now-50 && at <= f.now {
				f.offer(f.pickController(), replacedExchange, true)
			}
		}
	}
}

// pickController selects a controller at random, weighted by its share.
func (f *fleet) pickController() int {
	x := f.rng.Float64()
	for i, share := range f.shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(f.shares) - 1
}

// worstWindow returns the largest load of an overload window, as a share of what the switch can bear (N), the largest
// excess of arrivals over N and random variation, and a description of that window.
func (f *fleet) worstWindow() (load, excess float64, description string) {
	excess = math.Inf(-1)
	for i, last := range f.arrivals {
		n := 0
		for _, at := range f.arrivals[:i+1] {
			if last-at < f.deployment.OverloadWindow {
				n++
			}
		}
		capacityShare := f.deployment.InitialCapacity + (1-f.deployment.InitialCapacity)*
			float64(last-f.deployment.OverloadWindow-f.bootAt)/float64(f.deployment.RampTime)
		bearable := f.deployment.OverloadMultiple * max(f.deployment.InitialCapacity, capacityShare) * 2 *
			f.callsPerSecond / usualLoad * float64(f.deployment.OverloadWindow) / 10000
		load = max(load, float64(n)/bearable)
		if windowExcess := float64(n) - bearable - 2*math.Sqrt(bearable) - 2; windowExcess > excess {
			excess, description = windowExcess, fmt.Sprintf("%d in an overload window %.1f s after the start, N is %.1f",
				n, float64(last-f.bootAt)/10000, bearable)
		}
	}
	return load, excess, description
}

// TestSlowStartBudgetOfFleetAfterSwitchReplacement replaces a switch and has the calls that were disconnected there
// come again within half a second: at once, after the controllers have saved up their budgets, or after most of them
// have restarted. The set-ups of all controllers must not add up to more than the switch can bear (N) on the mean of
// the seeds, nor exceed it by more than random variation for any seed. First calls of a usual hour must still get
// through, or rejecting everything would pass.
func TestSlowStartBudgetOfFleetAfterSwitchReplacement(t *testing.T) {
	const seeds = 4
	for _, callsPerSecond := range []float64{1.5, 5} {
		for _, n := range []int{5, 20, 30, 48} {
			for _, scenario := range []string{"at once", "after a while", "most restarted", "usual"} {
				sent, meanLoad := 0, 0.0
				for seed := range uint64(seeds) {
					f := newFleet(n, callsPerSecond, seed)
					f.advance(60000, 1)
					f.replaceSwitch()
					switch scenario {
					case "after a while":
						f.advance(30000, 0.2)
					case "most restarted":
						f.advance(10000, 1)
						for i := range f.harnesses {
							if i%10 < 7 {
								f.harnesses[i] = f.startController(n, i)
							}
						}
						f.advance(20000, 1)
					}
					if scenario != "usual" {
						f.repeatCalls(int(20*callsPerSecond), 5000)
					}
					f.advance(60000, 1)
					load, excess, description := f.worstWindow()
					if meanLoad += load / seeds; excess > 0 {
						t.Errorf("%d controllers, %.1f calls/s, %s, seed %d: %s", n, callsPerSecond, scenario, seed, description)
					}
					sent += len(f.arrivals)
				}
				if meanLoad > 1 {
					t.Errorf("%d controllers, %.1f calls/s, %s: mean load is %.2f of what the switch can bear",
						n, callsPerSecond, scenario, meanLoad)
				}
				if offered := callsPerSecond * 6 * seeds; scenario == "usual" && float64(sent) < offered/2 {
					t.Errorf("%d controllers, %.1f calls/s: %d of about %.0f first calls went to the cold switch",
						n, callsPerSecond, sent, offered)
				}
			}
		}
	}
}
