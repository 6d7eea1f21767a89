package gateways

import "github.com/cespare/xxhash/v2"

// Owner returns the index of the controller of a site that a gateway belongs to: of those that are up, the one with the greatest
// weight for the gateway's name (rendezvous hashing). The loss of a controller moves only its own gateways, and all controllers
// reach the same result without communicating. If none is up, the result is 0.
func Owner(gateway string, controllers []string, up func(i int) bool) int {
	best, bestWeight := 0, uint64(0)
	for i, controller := range controllers {
		if weight := weightOf(gateway, controller); up(i) && (weight > bestWeight || weight == bestWeight && best == 0) {
			best, bestWeight = i, weight
		}
	}
	return best
}

// weightOf returns the weight of a controller for a gateway; it is never 0.
func weightOf(gateway, controller string) uint64 {
	return max(1, xxhash.Sum64String(gateway+"\x00"+controller))
}
