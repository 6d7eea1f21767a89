package numbers

import (
	"math"

	"indigodrift/policy"
)

// decayFactor returns the part of a weight that remains after an age.
func decayFactor(age, halfLife policy.Tenths) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
