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
func newPlan(script Script) plan {
	random := rand.New(rand.NewPCG(script.Seed, 0xd1))
	count := script.ExchangeCount
	drawn := plan{trafficShares: newMatrix[float64](count), circuits: newMatrix[int](count), processor: script.Processor}
	total := 0.0
	for a := range count {
		for b := range count {
			if a != b {
				drawn.trafficShares[a][b] = math.Exp(script.TrafficDeviation * random.NormFloat64())
				total += drawn.trafficShares[a][b]
			}
		}
	}
	holding, shares := 0.0, 0.0
	for _, bearer := range script.Bearers {
		holding += bearer.Share * float64(bearer.Width) * bearer.HoldingTime.Seconds()
		shares += bearer.Share
	}
	holding /= shares
	for a := range count {
		for b := range count {
			drawn.trafficShares[a][b] /= total
		}
	}
	gateways := script.Gateways // calls between phones are distributed evenly, and a share stays within an exchange
	phoneErlangs := gateways.CallRate * (1 - gateways.LocalShare) * (gateways.HoldingTime + gateways.MeanAnswerDelay).Seconds() / float64(count*count)
	for a := range count {
		for b := range a {
			erlangs := 2*phoneErlangs + (drawn.trafficShares[a][b]+drawn.trafficShares[b][a])*script.CallRate*holding
			size := min(circuit.MaxCircuits, max(1, int(math.Round(erlangs*(1+script.SpareCircuits)))))
			drawn.circuits[a][b], drawn.circuits[b][a] = size, size
		}
	}
	// A call takes two set-ups and about eight answers and releases at an eighth of a set-up's time each: the time of three
	// set-ups in all.
	perExchange := (script.CallRate + gateways.CallRate) / float64(count)
	drawn.processor.SetUpTime = time.Duration(script.ProcessorLoad / (3 * perExchange) * float64(time.Second))
	drawn.processor.MessageTime = drawn.processor.SetUpTime / 8
	drawn.callers = drawCallers(script, drawn.trafficShares, shares, random)
	return drawn
}

// newMatrix returns a square matrix.
func newMatrix[T any](n int) [][]T {
	rows := make([][]T, n)
	for i := range rows {
		rows[i] = make([]T, n)
	}
	return rows
}

// surge is a period with more calls than usual.
type surge struct {
	start, end time.Duration
	factor     float64
	exchanges  map[int]bool // exchanges of the additional callers; nil: all
}

// drawCallers draws the callers of a day, with the surges of its troubles.
func drawCallers(script Script, trafficShares [][]float64, bearerShares float64, random *rand.Rand) []*standin.Caller {
	var surges []surge
	for _, t := range script.Troubles {
		switch t.Kind {
		case "load_jump":
			surges = append(surges, surge{t.Start, t.Start + t.Duration, t.Size, nil})
		case "hot_caller":
			hotExchanges := map[int]bool{}
			for _, e := range pickIndices(script.ExchangeCount, t.Fraction, random) {
				hotExchanges[e] = true
			}
			surges = append(surges, surge{t.Start, t.Start + t.Duration, t.Size, hotExchanges})
		}
	}
	maxFactor := 1.0 // arrivals are drawn at the maximum rate and thinned to the present one
	for _, period := range surges {
		maxFactor *= max(1, period.factor)
	}
	var callers []*standin.Caller
	cumulativeShares := make([]float64, 0, len(trafficShares)*len(trafficShares))
	total := 0.0
	for a := range trafficShares {
		for b := range trafficShares {
			total += trafficShares[a][b]
			cumulativeShares = append(cumulativeShares, total)
		}
	}
	for start := time.Duration(0); ; {
		start += time.Duration(random.ExpFloat64() / (script.CallRate * script.LoadFactor * maxFactor) * float64(time.Second))
		if start > script.Duration {
			return callers
		}
		pair := min(sort.SearchFloat64s(cumulativeShares, random.Float64()*total), len(cumulativeShares)-1)
		from := pair / len(trafficShares)
		factor := 1.0
		for _, period := range surges {
			if start >= period.start && start < period.end && (period.exchanges == nil || period.exchanges[from]) {
				factor *= period.factor
			}
		}
		if random.Float64()*maxFactor > factor {
			continue
		}
		bearer, remaining := 0, random.Float64()*bearerShares
		for bearer < len(script.Bearers)-1 && remaining > script.Bearers[bearer].Share {
			remaining -= script.Bearers[bearer].Share
			bearer++
		}
		t := script.Bearers[bearer]
		callers = append(callers, &standin.Caller{StartTime: start, From: from, Dest: pair % len(trafficShares), Bearer: bearer, Width: t.Width,
			HoldingTime: time.Duration(random.ExpFloat64() * float64(t.HoldingTime)), AbandonTime: duration(script.Deployment.Bearers[bearer].AbandonTime)})
	}
}

// pickIndices draws a share of n indices, at least one, in ascending order.
func pickIndices(n int, fraction float64, random *rand.Rand) []int {
	indices := random.Perm(n)[:max(1, min(n, int(math.Round(fraction*float64(n)))))]
	sort.Ints(indices)
	return indices
}
