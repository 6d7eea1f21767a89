// Package reconnect decides when a signalling link is dialled again and when a silent link is dead. It is pure: it depends
// only on the seed and on the times that are passed in. internal/trunk does the dialling.
package reconnect

import (
	"math/rand/v2"

	"indigodrift/policy"
)

const (
	initialDelay = policy.Tenths(2000)  // minimum delay after a failure
	maxDelay     = policy.Tenths(60000) // maximum random part of the delay
	stableTime   = policy.Tenths(50000) // a link that was up for this long starts again with the minimum delay

	// dialSpacing spreads the dials of an exchange over its links. Every exchange has about as many links as there are
	// exchanges, so when the whole network starts or loses a switch at once, each switch gets one dial per dialSpacing. With
	// the minimum delay alone, a thousand exchanges reconnected within 0.2 s.
	dialSpacing = policy.Tenths(30)

	heartbeatInterval = policy.Tenths(10000)
	silenceTimeout    = policy.Tenths(35000) // a link is dead if nothing is received for this long: three heartbeats and a margin
)

// Backoff computes the delays between the dials of one link: exponential backoff with jitter.
type Backoff struct {
	random       *rand.Rand
	links        int
	initialDelay policy.Tenths // minimum delay, and at least the random part after the first failure
	maxDelay     policy.Tenths // maximum random part
	failures     int           // failures in a row
	dialled      bool          // the first dial was made
	upSince      policy.Tenths // when the link came up, 0 while it is down
}

// NewBackoff creates the backoff for one of the links of an exchange. The seed must differ between links and exchanges.
func NewBackoff(seed uint64, links int) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, 0x11)), links: links, initialDelay: initialDelay, maxDelay: maxDelay}
}

// NewBackoffBetween creates a backoff with its own minimum delay and maximum random part. The first dial counts as made.
func NewBackoffBetween(seed uint64, initialDelay, maxDelay policy.Tenths) *Backoff {
	return &Backoff{random: rand.New(rand.NewPCG(seed, 0x11)), links: 1, initialDelay: initialDelay, maxDelay: maxDelay, dialled: true}
}

// NextDelay returns the delay before the next dial. The first dials are spread over all links. Later delays are the minimum delay
// and a random part of a span that doubles with each failure, so that many exchanges that lost the same switch at once do not
// reconnect at once.
func (b *Backoff) NextDelay() policy.Tenths {
	if !b.dialled {
		b.dialled = true
		return policy.Tenths(b.random.Int64N(int64(dialSpacing)*int64(max(1, b.links)) + 1))
	}
	span := min(b.maxDelay, max(b.initialDelay, dialSpacing*policy.Tenths(b.links))<<min(b.failures, 10))
	b.failures++
	return b.initialDelay + policy.Tenths(b.random.Int64N(int64(span)))
}

// Up records that the link came up.
func (b *Backoff) Up(now policy.Tenths) { b.upSince = now }

// Down records that the link went down or could not be established. The failure count is reset only if the link was up for
// long, so that a switch that accepts connections and drops them is not dialled at full speed.
func (b *Backoff) Down(now policy.Tenths) {
	if b.upSince != 0 && now-b.upSince >= stableTime {
		b.failures = 0
	}
	b.upSince = 0
}

// Liveness tracks the liveness of one link that is up.
type Liveness struct{ lastReceived, lastHeartbeat policy.Tenths }

// Received records that something was received on the link.
func (l *Liveness) Received(now policy.Tenths) { l.lastReceived = now }

// Check reports whether a heartbeat is due, whether the link is dead, and when to check again. stallEnd is the end of the last
// stall of this process: what arrived during the stall has not been read, so silence counts from its end.
func (l *Liveness) Check(now, stallEnd policy.Tenths) (heartbeatDue, dead bool, next policy.Tenths) {
	if silence := now - max(l.lastReceived, stallEnd); silence >= silenceTimeout {
		return false, true, now
	}
	if now-l.lastHeartbeat >= heartbeatInterval {
		l.lastHeartbeat = now
		heartbeatDue = true
	}
	return heartbeatDue, false, l.lastHeartbeat + heartbeatInterval
}
