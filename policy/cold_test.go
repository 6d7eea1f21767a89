package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// fleet is the controllers of a full mesh, in which the switch of one exchange is replaced by a cold one.
type fleet struct {
	d       Deployment
	rigs    []*rig
	share   []float64 // share of the calls to each exchange, by controller
	chance  *rand.Rand
	now     Tenths
	boot    Tenths
	ids     uint32
	perSec  float64 // first calls per second to each exchange from all controllers together
	arrived []Tenths
}

const (
	fleetNumber = 1 // exchange whose switch is replaced
	fleetOld    = 101
	fleetNew    = 9001
	usedOf      = 0.78 // load of a processor in a usual hour
	spare       = 1.33 // circuits of a group, as a multiple of the carried calls
)

// newFleet starts n controllers, of which every tenth has several times the mean traffic.
func newFleet(n int, perSec float64, seed uint64) *fleet {
	f := &fleet{chance: rand.New(rand.NewPCG(seed, uint64(n))), now: 1_000_000, perSec: perSec}
	sum := 0.0
	for i := range n {
		w := 0.5 + f.chance.Float64()
		if i%10 == 3 {
			w *= 4
		}
		f.share, sum = append(f.share, w), sum+w
	}
	for i := range f.share {
		f.share[i] /= sum
		f.rigs = append(f.rigs, f.start(n, i))
	}
	return f
}

// start returns a controller that has just started or restarted. It knows the list and the state of each group.
func (f *fleet) start(n, i int) *rig {
	r := town(2, 50)
	f.d = r.d
	f.d.Seed, f.d.OwnExchange, f.d.Controllers = f.chance.Uint64(), n+1, n
	for b := range f.d.Bearers {
		f.d.Bearers[b].HoldingTime = 100000
	}
	r = newRig(f.d)
	r.now = f.now
	r.c = New(f.d, r, r.now)
	var list []Switch
	for k := range n {
		list = append(list, Switch{ID: uint32(100 + k), Number: k, Ready: true})
	}
	if f.boot != 0 {
		list[fleetNumber].Ready = false
		list = append(list, Switch{ID: fleetNew, Number: fleetNumber, Ready: true, BootAt: f.boot})
	}
	r.list(true, list...)
	for _, s := range list {
		r.group(s.ID, f.circuits(i), f.circuits(i))
	}
	return r
}

// circuits is the size of each group of controller i: a third more than its calls to an exchange take.
func (f *fleet) circuits(i int) int {
	return int(math.Ceil(f.share[i] * f.perSec * spare * float64(f.d.Bearers[0].HoldingTime) / 10000))
}

// offer offers controller i a call to an exchange and records the arrival if it goes to the cold switch. The call is answered at
// once and released, so that the circuits never limit the traffic.
func (f *fleet) offer(i, dest int, again bool) {
	r := f.rigs[i]
	f.ids++
	k := ask(f.ids, 1, dest)
	k.Disconnected = again
	was := len(r.sent)
	r.offer(k)
	if len(r.sent) > was && r.calls[f.ids].out != nil {
		to := r.sent[len(r.sent)-1].id
		if to == fleetNew {
			f.arrived = append(f.arrived, f.now)
		}
		r.stand(f.ids)
		r.end(f.ids, Released, NoReason)
		r.group(to, f.circuits(i), f.circuits(i))
	}
	delete(r.calls, f.ids)
	r.order, r.sent = r.order[:0], r.sent[:0]
}

// pass advances the time with the usual calls, multiplied by a factor.
func (f *fleet) pass(by Tenths, times float64) {
	const step = 50
	for end := f.now + by; f.now < end; {
		f.now += step
		for i, r := range f.rigs {
			r.pass(f.now - r.now)
			for dest := range f.rigs {
				if f.chance.Float64() < times*f.perSec*f.share[i]*step/10000 {
					f.offer(i, dest, false)
				}
			}
		}
	}
}

// replace lists the cold switch as ready and the old one as draining.
func (f *fleet) replace() {
	f.boot = f.now
	for i, r := range f.rigs {
		r.list(false, Switch{ID: fleetNew, Number: fleetNumber, Ready: true, BootAt: f.boot}, Switch{ID: fleetOld, Number: fleetNumber, Draining: true})
		r.group(fleetNew, f.circuits(i), f.circuits(i))
	}
}

// again has the calls that were disconnected at the old switch come again, spread over a time span.
func (f *fleet) again(calls int, span Tenths) {
	var when []Tenths
	for range calls {
		when = append(when, f.now+Tenths(f.chance.Int64N(int64(span))))
	}
	for end := f.now + span; f.now < end; {
		f.pass(50, 1)
		for _, at := range when {
			if at > f.now-50 && at <= f.now {
				f.offer(f.who(), fleetNumber, true)
			}
		}
	}
}

// who selects a controller at random, weighted by its share.
func (f *fleet) who() int {
	x := f.chance.Float64()
	for i, w := range f.share {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(f.share) - 1
}

// worst returns the largest load of an overload window, as a share of what the switch can bear (N), the largest excess of arrivals
// over N and random variation, and a description of that window.
func (f *fleet) worst() (most, over float64, told string) {
	over = math.Inf(-1)
	for i, last := range f.arrived {
		n := 0
		for _, at := range f.arrived[:i+1] {
			if last-at < f.d.OverloadWindow {
				n++
			}
		}
		strength := f.d.InitialCapacity + (1-f.d.InitialCapacity)*float64(last-f.d.OverloadWindow-f.boot)/float64(f.d.RampTime)
		bears := f.d.OverloadMultiple * max(f.d.InitialCapacity, strength) * 2 * f.perSec / usedOf * float64(f.d.OverloadWindow) / 10000
		most = max(most, float64(n)/bears)
		if by := float64(n) - bears - 2*math.Sqrt(bears) - 2; by > over {
			over, told = by, fmt.Sprintf("%d in an overload window %.1f s after the start, N is %.1f", n, float64(last-f.boot)/10000, bears)
		}
	}
	return most, over, told
}

// TestColdSwitchBearsTheSumOfAllControllers replaces a switch and has the calls that were disconnected there come again within half a
// second: at once, or after the controllers have saved up their budgets, or after most of them have restarted. The budgets of all
// controllers must not add up to more than the switch can bear (N) on the mean of the seeds, nor exceed it by more than random
// variation for any seed. First calls of a usual hour must still get through, or rejecting everything would pass.
func TestColdSwitchBearsTheSumOfAllControllers(t *testing.T) {
	const seeds = 4
	for _, perSec := range []float64{1.5, 5} {
		for _, n := range []int{5, 20, 30, 48} {
			for _, what := range []string{"at once", "after a while", "most start anew", "usual"} {
				sent, share := 0, 0.0
				for seed := range uint64(seeds) {
					f := newFleet(n, perSec, seed)
					f.pass(60000, 1)
					f.replace()
					switch what {
					case "after a while":
						f.pass(30000, 0.2)
					case "most start anew":
						f.pass(10000, 1)
						for i := range f.rigs {
							if i%10 < 7 {
								f.rigs[i] = f.start(n, i)
							}
						}
						f.pass(20000, 1)
					}
					if what != "usual" {
						f.again(int(20*perSec), 5000)
					}
					f.pass(60000, 1)
					most, over, told := f.worst()
					if share += most / seeds; over > 0 {
						t.Errorf("%d controllers, %.1f calls/s, %s, seed %d: %s", n, perSec, what, seed, told)
					}
					sent += len(f.arrived)
				}
				if share > 1 {
					t.Errorf("%d controllers, %.1f calls/s, %s: mean load is %.2f of what the switch can bear", n, perSec, what, share)
				}
				if asked := perSec * 6 * seeds; what == "usual" && float64(sent) < asked/2 {
					t.Errorf("%d controllers, %.1f calls/s: %d of about %.0f first calls went to the cold switch", n, perSec, sent, asked)
				}
			}
		}
	}
}
