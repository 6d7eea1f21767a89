// Package lag estimates how old a message is when it is read. A sender stamps it with its own clock, which need not
// agree with ours; the least difference seen lately between our clock and its stamps is the way without any waiting, and
// what a message exceeds it by it has waited, in a buffer or before a process that stood still. It is pure.
package lag

import "indigodrift/policy"

// window is how long the least difference is kept, at least: clocks drift apart by less than a tenth of a millisecond
// meanwhile, and a path that becomes longer for good is learned within two windows.
const window = policy.Tenths(600000)

// Lag follows the stamps of one link. The zero value knows nothing yet.
type Lag struct {
	now, before int32 // least differences in this window and in the last one
	since       policy.Tenths
	known       bool
}

// Age takes the stamp of a message read at an instant and returns how long it has waited. The difference is taken in 32
// bits, as stamps are, so that neither clock's beginning matters.
func (l *Lag) Age(at policy.Tenths, stamp uint32) policy.Tenths {
	d := int32(uint32(at) - stamp)
	switch {
	case !l.known:
		l.known, l.now, l.before, l.since = true, d, d, at
	case at-l.since > window:
		l.before, l.now, l.since = l.now, d, at
	case d-l.now < 0:
		l.now = d
	}
	least := l.now
	if l.before-least < 0 {
		least = l.before
	}
	return max(0, policy.Tenths(d-least))
}

// Begin knows from the first what a message's way takes: the far end was asked for its clock at one instant and its stamp was
// read at another. Where the two are as far apart as a stall the answer lay unread, and the far end's clock is taken to be of
// the instant at which it was asked. Without this the first messages of a link that came up as the process stood still all
// seemed new, and their callers were answered after they had left.
func Begin(asked, read policy.Tenths, stamp uint32) Lag {
	at := read
	if read-asked >= stallMin {
		at = asked
	}
	d := int32(uint32(at) - stamp)
	return Lag{now: d, before: d, since: read, known: true}
}
