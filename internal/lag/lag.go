// Package lag estimates how long a message has waited before it is read, in a buffer or because this process was stalled. The
// sender stamps messages with its own clock, which need not agree with the local one. The minimum difference between the local
// clock and the stamps in recent windows is the transmission time without waiting; anything beyond it is waiting time. The
// package is pure.
package lag

import "indigodrift/policy"

// window is how long a minimum difference is used at least. Clocks drift by less than a tenth of a millisecond within it, and a
// path that has become permanently longer is learned within two windows.
const window = policy.Tenths(600000)

// Estimator estimates the waiting time of messages on one link. The zero value assumes that the first message did not wait.
type Estimator struct {
	currentMin, previousMin int32 // minimum differences in this window and in the last one
	windowStart             policy.Tenths
	hasStamp                bool // a stamp has been read
}

// Age returns how long a message with the given stamp, read at the given time, has waited. Differences are computed in 32 bits
// like the stamps, so the origins of the two clocks do not matter.
func (e *Estimator) Age(readAt policy.Tenths, stamp uint32) policy.Tenths {
	difference := int32(uint32(readAt) - stamp)
	switch {
	case !e.hasStamp:
		e.hasStamp, e.currentMin, e.previousMin, e.windowStart = true, difference, difference, readAt
	case readAt-e.windowStart > window:
		e.previousMin, e.currentMin, e.windowStart = e.currentMin, difference, readAt
	case difference-e.currentMin < 0:
		e.currentMin = difference
	}
	minimum := e.currentMin
	if e.previousMin-minimum < 0 {
		minimum = e.previousMin
	}
	return max(0, policy.Tenths(difference-minimum))
}

// NewEstimator returns an estimator that knows the clock of the remote switch from the handshake. If the handshake was sent and
// its answer received as far apart as a stall, the answer may have waited, and the remote clock reading is attributed to the
// time of sending. Without this, the first messages of a link that came up during a stall all seemed new, and callers were
// answered after they had abandoned their calls.
func NewEstimator(sentAt, receivedAt policy.Tenths, stamp uint32) Estimator {
	clockTime := receivedAt
	if receivedAt-sentAt >= minStall {
		clockTime = sentAt
	}
	difference := int32(uint32(clockTime) - stamp)
	return Estimator{currentMin: difference, previousMin: difference, windowStart: receivedAt, hasStamp: true}
}
