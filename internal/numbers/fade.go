package numbers

import (
	"math"

	"indigodrift/policy"
)

// fade is what is left of a weight after a time.
func fade(age, half policy.Tenths) float64 { return math.Exp2(-float64(age) / float64(half)) }
