package numbers

import (
	"math"

	"indigodrift/policy"
)

// decayFactor is what is left of a weight after a time.
func decayFactor(age, half policy.Tenths) float64 { return math.Exp2(-float64(age) / float64(half)) }
