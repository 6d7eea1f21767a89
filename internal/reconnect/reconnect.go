// Package reconnect decides when a signalling link is dialled again and when a silent link is dead. It is pure: it depends
// only on the seed and on the times that are passed in. internal/trunk does the dialling.
package reconnect

import (
	"math/rand/v2"

	"indigodrift/policy"
)

const (
	first  = policy.Tenths(2000)  // minimum delay after a failure
	most   = policy.Tenths(60000) // maximum delay
	steady = policy.Tenths(50000) // a link that was up for so long starts again with the minimum delay

	// perLink spreads the dials of an exchange over its links. Every exchange has about as many links as there are
	// exchanges, so when the whole network starts or loses a switch at once, each switch gets one dial per perLink. With
	// the minimum delay alone, a thousand exchanges reconnected within 0.2 s.
	perLink = policy.Tenths(30)

	beatEvery  = policy.Tenths(10000) // time between heartbeats
	silentMost = policy.Tenths(35000) // a link is dead after such a silence: three heartbeats and a margin
)

// Backoff computes the delays between the dials of one link: exponential backoff with jitter.
type Backoff struct {
	chance  *rand.Rand
	links   int
	least   policy.Tenths // minimum delay, and at least the random part after the first failure
	most    policy.Tenths // maximum random part
	failed  int           // failures in a row
	dialled bool          // the first dial was made
	upAt    policy.Tenths // when the link came up, 0 while it is down
}

// NewBackoff creates the backoff for one of the links of an exchange. The seed must differ between links and exchanges.
func NewBackoff(seed uint64, links int) *Backoff {
	return &Backoff{chance: rand.New(rand.NewPCG(seed, 0x11)), links: links, least: first, most: most}
}

// NewBackoffBetween creates a backoff with its own minimum delay and maximum random part. The first dial counts as made.
func NewBackoffBetween(seed uint64, least, most policy.Tenths) *Backoff {
	return &Backoff{chance: rand.New(rand.NewPCG(seed, 0x11)), links: 1, least: least, most: most, dialled: true}
}

// NextDelay returns the delay before the next dial. The first dials are spread over all links. Later delays are the minimum delay
// and a random part of a span that doubles with each failure, so that many exchanges that lost the same switch at once do not
// reconnect at once.
func (p *Backoff) NextDelay() policy.Tenths {
	if !p.dialled {
		p.dialled = true
		return policy.Tenths(p.chance.Int64N(int64(perLink)*int64(max(1, p.links)) + 1))
	}
	span := min(p.most, max(p.least, perLink*policy.Tenths(p.links))<<min(p.failed, 10))
	p.failed++
	return p.least + policy.Tenths(p.chance.Int64N(int64(span)))
}

// Up records that the link came up.
func (p *Backoff) Up(now policy.Tenths) { p.upAt = now }

// Down records that the link went down or could not be established. The failure count is reset only if the link was up for
// long, so that a switch that accepts connections and drops them is not dialled at full speed.
func (p *Backoff) Down(now policy.Tenths) {
	if p.upAt != 0 && now-p.upAt >= steady {
		p.failed = 0
	}
	p.upAt = 0
}

// Liveness tracks the liveness of one link that is up.
type Liveness struct{ heardAt, beatAt policy.Tenths }

// Received records that something was received on the link.
func (l *Liveness) Received(now policy.Tenths) { l.heardAt = now }

// Check reports whether a heartbeat is due, whether the link is dead, and when to check again. stalled is the end of the last
// stall of this process: what arrived during the stall has not been read, so silence counts from its end.
func (l *Liveness) Check(now, stalled policy.Tenths) (beat, dead bool, next policy.Tenths) {
	if quiet := now - max(l.heardAt, stalled); quiet >= silentMost {
		return false, true, now
	}
	if now-l.beatAt >= beatEvery {
		l.beatAt = now
		beat = true
	}
	return beat, false, l.beatAt + beatEvery
}
