package day

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"indigodrift/internal/circuit"
	"indigodrift/internal/standin"
)

// plan holds what is drawn from the seed of a script: the calls, and the circuits between any two exchanges.
type plan struct {
	trafficShares [][]float64 // share of all traffic from one exchange to another
	circuits      [][]int
	callers       []*standin.Caller
	processor     standin.Processor
}

// newPlan draws the plan. All calls are drawn in advance, independently of what the exchanges do.
func newPlan(s Script) plan {
	chance := rand.New(rand.NewPCG(s.Seed, 0xd1))
	n := s.ExchangeCount
	p := plan{trafficShares: newMatrix[float64](n), circuits: newMatrix[int](n), processor: s.Processor}
	sum := 0.0
	for a := range n {
		for b := range n {
			if a != b {
				p.trafficShares[a][b] = math.Exp(s.TrafficDeviation * chance.NormFloat64())
				sum += p.trafficShares[a][b]
			}
		}
	}
	holding, weight := 0.0, 0.0
	for _, t := range s.Bearers {
		holding += t.Share * float64(t.Width) * t.HoldingTime.Seconds()
		weight += t.Share
	}
	holding /= weight
	for a := range n {
		for b := range n {
			p.trafficShares[a][b] /= sum
		}
	}
	g := s.Gateways // calls between phones are distributed evenly, and a share stays within an exchange
	phones := g.CallRate * (1 - g.LocalShare) * (g.HoldingTime + g.MeanAnswerDelay).Seconds() / float64(n*n)
	for a := range n {
		for b := range a {
			erlangs := 2*phones + (p.trafficShares[a][b]+p.trafficShares[b][a])*s.CallRate*holding
			size := min(circuit.MaxCircuits, max(1, int(math.Round(erlangs*(1+s.SpareCircuits)))))
			p.circuits[a][b], p.circuits[b][a] = size, size
		}
	}
	// A call takes two set-ups and about eight answers and releases at an eighth of a set-up's time each: the time of three
	// set-ups in all.
	perExchange := (s.CallRate + g.CallRate) / float64(n)
	p.processor.SetUpTime = time.Duration(s.ProcessorLoad / (3 * perExchange) * float64(time.Second))
	p.processor.MessageTime = p.processor.SetUpTime / 8
	p.callers = drawCallers(s, p.trafficShares, weight, chance)
	return p
}

func newMatrix[T any](n int) [][]T {
	all := make([][]T, n)
	for i := range all {
		all[i] = make([]T, n)
	}
	return all
}

// surge is a period with more calls than usual.
type surge struct {
	start, end time.Duration
	factor     float64
	exchanges  map[int]bool // exchanges of the additional callers; nil: all
}

func drawCallers(s Script, share [][]float64, weight float64, chance *rand.Rand) []*standin.Caller {
	var surges []surge
	for _, t := range s.Troubles {
		switch t.Kind {
		case "load_jump":
			surges = append(surges, surge{t.Start, t.Start + t.Duration, t.Size, nil})
		case "hot_caller":
			hot := map[int]bool{}
			for _, e := range pickIndices(s.ExchangeCount, t.Fraction, chance) {
				hot[e] = true
			}
			surges = append(surges, surge{t.Start, t.Start + t.Duration, t.Size, hot})
		}
	}
	most := 1.0 // arrivals are drawn at the maximum rate and thinned to the present one
	for _, g := range surges {
		most *= max(1, g.factor)
	}
	var all []*standin.Caller
	cumulated := make([]float64, 0, len(share)*len(share))
	total := 0.0
	for a := range share {
		for b := range share {
			total += share[a][b]
			cumulated = append(cumulated, total)
		}
	}
	for at := time.Duration(0); ; {
		at += time.Duration(chance.ExpFloat64() / (s.CallRate * s.LoadFactor * most) * float64(time.Second))
		if at > s.Duration {
			return all
		}
		pair := min(sort.SearchFloat64s(cumulated, chance.Float64()*total), len(cumulated)-1)
		from := pair / len(share)
		now := 1.0
		for _, g := range surges {
			if at >= g.start && at < g.end && (g.exchanges == nil || g.exchanges[from]) {
				now *= g.factor
			}
		}
		if chance.Float64()*most > now {
			continue
		}
		kind, left := 0, chance.Float64()*weight
		for kind < len(s.Bearers)-1 && left > s.Bearers[kind].Share {
			left -= s.Bearers[kind].Share
			kind++
		}
		t := s.Bearers[kind]
		all = append(all, &standin.Caller{StartTime: at, From: from, Dest: pair % len(share), Bearer: kind, Width: t.Width,
			HoldingTime: time.Duration(chance.ExpFloat64() * float64(t.HoldingTime)), AbandonTime: duration(s.Deployment.Bearers[kind].AbandonTime)})
	}
}

// pickIndices draws a share of n indices, at least one, in ascending order.
func pickIndices(n int, part float64, chance *rand.Rand) []int {
	all := chance.Perm(n)[:max(1, min(n, int(math.Round(part*float64(n)))))]
	sort.Ints(all)
	return all
}
