package b2bua

import (
	"iter"

	"indigodrift/internal/due"
	"indigodrift/policy"
)

// releaseClass is a class of releases by what shows that their callers wait for them. Each class has limits of its own.
type releaseClass uint8

const (
	releaseOfOwnCall   releaseClass = iota // set up here, or known to the switch that released it
	releaseOfForeign                       // a switch released it, but it is not known here
	releaseOfAnnounced                     // merely announced by a caller, who can announce any number
	releaseClassCount
)

// releaseLimits are the limits of a class of releases.
type releaseLimits struct {
	pending int // unconfirmed releases; the connection with the most loses its oldest
	copies  int // of all of them on open connections; beyond it only first copies are written
	rounds  int // copies of one release in rounds and when connections end
	offered int // further copies, on connections that send set-ups later
	proved  int // and on connections whose callers prove to read
	backlog int // octets that may wait on a connection on which a copy is written
}

var limitsOfReleases = [releaseClassCount]releaseLimits{
	releaseOfOwnCall:   {pending: maxCallerReleases, copies: maxReleaseCopies, rounds: maxRoundCopies, offered: maxOfferedCopies, proved: maxProvedCopies, backlog: maxReleaseBacklog},
	releaseOfForeign:   {pending: maxCallerReleases, copies: maxReleaseCopies, rounds: maxRoundCopies, offered: maxOfferedCopies, proved: maxProvedCopies, backlog: maxForeignBacklog},
	releaseOfAnnounced: {pending: maxAnnouncedReleases, copies: maxReleaseCopies, rounds: maxAnnouncedCopies, offered: maxAnnouncedCopies, backlog: maxAnnouncedBacklog},
}

const (
	maxCallerReleases    = 4096 // unconfirmed releases of one class
	maxAnnouncedReleases = 1024
	maxReleaseCopies     = 32768 // of one class

	// A copy is only written on a connection on which no more than this waits to be written, in octets, so that releases
	// never fill the queue of a connection with set-ups of others, nor one class the room of the next. The release itself
	// stays pending.
	maxReleaseBacklog   = 128 << 10
	maxForeignBacklog   = 64 << 10
	maxAnnouncedBacklog = 32 << 10

	maxRoundCopies     = 32
	maxOfferedCopies   = 32
	maxProvedCopies    = 64
	maxAnnouncedCopies = 8
)

// pendingRelease is the release of a call towards its caller. It exists from the end of the call until the caller
// is known to have read the release, or the release is dropped. Its next round is always scheduled, whatever
// happens to connections.
type pendingRelease struct {
	call             *trackedCall
	class            releaseClass
	cause            int
	receivedAt       policy.Tenths
	roundTimer       *due.Timer // of the next round
	lastCopyAt       policy.Tenths
	rounds           int
	copies           int           // copies in total
	roundCopies      int           // of these, in rounds and when connections ended
	offeredCopies    int           // and on connections that came or proved to be read
	firstSetUpConnAt policy.Tenths // first copy on a connection on which a set-up came, 0 before
	conns            []ConnID      // open connections with a copy
	postponed        bool          // the round has been postponed for a stall
	waitLogged       bool          // the lack of connections has been logged
	place            *fairEntry    // in its queue, nil if it is in none
}

// newPendingRelease returns the release of a call that is over.
func newPendingRelease(call *trackedCall, cause int, now policy.Tenths) *pendingRelease {
	release := &pendingRelease{call: call, cause: max(cause, 0), receivedAt: now}
	switch {
	case call.foreignFrom != 0:
		release.class = releaseOfForeign
	case call.merelyAnnounced():
		release.class = releaseOfAnnounced
	}
	return release
}

// limits returns the limits of the release's class.
func (r *pendingRelease) limits() releaseLimits { return limitsOfReleases[r.class] }

// origin returns the connection on whose account the release is held.
func (r *pendingRelease) origin() ConnID {
	if r.call.foreignFrom != 0 {
		return r.call.foreignFrom
	}
	return r.call.callerConnID
}

// mayOffer reports whether a further copy may be written on a connection about which something new is known.
func (r *pendingRelease) mayOffer(proved bool) bool {
	limit := r.limits().offered
	if proved {
		limit += r.limits().proved
	}
	return r.offeredCopies < limit
}

// releaseQueue holds the unconfirmed releases.
type releaseQueue struct {
	byCall  map[uint64]*pendingRelease
	classes [releaseClassCount]fairQueue[*pendingRelease]
	copies  [releaseClassCount]int // on open connections
}

func newReleaseQueue() releaseQueue {
	q := releaseQueue{byCall: map[uint64]*pendingRelease{}}
	for class, limits := range limitsOfReleases {
		q.classes[class] = newFairQueue[*pendingRelease](limits.pending)
	}
	return q
}

// add adds a release. It returns those to drop if there are too many, among them perhaps the added one.
func (q *releaseQueue) add(release *pendingRelease) (excess []*pendingRelease) {
	q.byCall[release.call.id] = release
	release.place, excess = q.classes[release.class].add(release.origin(), release)
	for _, displaced := range excess {
		displaced.place = nil
	}
	if release.place == nil {
		excess = append(excess, release)
	}
	return excess
}

// remove removes a release.
func (q *releaseQueue) remove(release *pendingRelease) {
	delete(q.byCall, release.call.id)
	if release.place != nil {
		q.classes[release.class].remove(release.place)
		release.place = nil
	}
}

func (q *releaseQueue) len() (total int) {
	for class := range q.classes {
		total += q.classes[class].length
	}
	return total
}

// all yields the releases by class, those of calls set up here first. The present one may be removed meanwhile.
func (q *releaseQueue) all() iter.Seq[*pendingRelease] {
	return func(yield func(*pendingRelease) bool) {
		for class := range q.classes {
			for release := range q.classes[class].all() {
				if !yield(release) {
					return
				}
			}
		}
	}
}

// oldest returns when the oldest release was received, and false if there is none.
func (q *releaseQueue) oldest() (at policy.Tenths, ok bool) {
	for release := range q.all() {
		if !ok || release.receivedAt < at {
			at, ok = release.receivedAt, true
		}
	}
	return at, ok
}
