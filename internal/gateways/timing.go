package gateways

import (
	"math"

	"indigodrift/policy"
)

// The answer margin allows for so many transmissions that at most maxUndelivered of all answers are lost, within bounds.
const (
	maxUndelivered   = 0.001
	minTransmissions = 3
	maxTransmissions = 8
)

// AnswerMargin returns the part of a caller's remaining time that is reserved to deliver the answer to the gateway, with
// retransmissions at doubling timeouts. timeout is the first of them; loss is the recent share of commands to the gateway that were
// retransmitted. The margin is at most half of the remaining time, or a bad network would leave no time to set up calls.
func AnswerMargin(timeout, remaining policy.Tenths, loss float64) policy.Tenths {
	transmissions := minTransmissions
	for undelivered := math.Pow(loss, minTransmissions); undelivered > maxUndelivered && transmissions < maxTransmissions; undelivered *= loss {
		transmissions++
	}
	margin := policy.Tenths(0)
	for i := range transmissions - 1 {
		margin += timeout << i
	}
	return min(margin, remaining/2)
}

// Overloaded reports whether a user who goes off hook now gets congestion tone instead of dial tone. Calls then wait in the queue for
// more than half of the tightest GoS target: a new call would probably be late and delay others. Users who have dialled continue.
func Overloaded(callDelay, gosTarget policy.Tenths) bool { return callDelay > gosTarget/2 }
