package gateways

import "github.com/cespare/xxhash/v2"

// weightOf returns the weight of a controller for a gateway; it is never 0.
func weightOf(gateway, controller string) uint64 {
	return max(1, xxhash.Sum64String(gateway+"\x00"+controller))
}
