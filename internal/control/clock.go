package control

import (
	"sync/atomic"
	"time"

	"indigodrift/policy"
)

// clock is the time of this process. It starts well above zero, so that the start time of a switch is never negative.
type clock struct {
	startTime    time.Time
	lastStallEnd atomic.Int64 // end of the last stall
}

// clockAtStart is the reading of the clock when the process starts.
const clockAtStart = policy.Tenths(1 << 32)

// Now returns the current reading of the clock.
func (c *clock) Now() policy.Tenths {
	return clockAtStart + policy.Tenths(time.Since(c.startTime)/(100*time.Microsecond))
}

// LastStallEnd returns the end of the last stall of this process.
func (c *clock) LastStallEnd() policy.Tenths { return policy.Tenths(c.lastStallEnd.Load()) }

// wallTime converts a clock reading to tenths of a millisecond since 1970.
func (c *clock) wallTime(t policy.Tenths) int64 {
	return c.startTime.UnixNano()/100_000 + int64(t-clockAtStart)
}
