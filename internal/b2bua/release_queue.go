package b2bua

import (
	"container/list"
	"iter"

	"indigodrift/internal/due"
	"indigodrift/policy"
)

const (
	maxCallerReleases    = 4096 // unconfirmed releases of calls that a switch knew; beyond this the oldest is dropped
	maxAnnouncedReleases = 1024 // and of calls that were merely announced

	// maxReleaseCopies bounds the copies of all unconfirmed releases. Beyond it only first copies are written.
	maxReleaseCopies = 32768
)

// pendingRelease is the release of a call towards its caller. It exists from the end of the call until the caller
// is known to have read the release, or the release is dropped. Its next round is always scheduled, whatever
// happens to connections.
type pendingRelease struct {
	call             *trackedCall
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
	announced        bool          // the call was merely announced by its caller
	place            *fairEntry    // among the announced ones
	element          *list.Element // among the others
}

// releaseQueue holds the unconfirmed releases. Those of calls that were merely announced have a limit of their own, within
// which each connection displaces its own: anyone can announce any number of them.
type releaseQueue struct {
	byCall    map[uint64]*pendingRelease
	order     list.List // of calls that a switch knew, oldest first
	announced fairQueue[*pendingRelease]
	copies    int // on open connections
}

func newReleaseQueue() releaseQueue {
	return releaseQueue{byCall: map[uint64]*pendingRelease{}, announced: newFairQueue[*pendingRelease](maxAnnouncedReleases)}
}

// add adds a release. It returns the one to drop if there are too many, which may be the added one.
func (q *releaseQueue) add(release *pendingRelease) (excess *pendingRelease) {
	q.byCall[release.call.id] = release
	if !release.announced {
		if q.order.Len() >= maxCallerReleases {
			excess = q.order.Front().Value.(*pendingRelease)
		}
		release.element = q.order.PushBack(release)
		return excess
	}
	place, displaced, full := q.announced.add(release.call.callerConnID, release)
	release.place = place
	switch {
	case place == nil:
		return release
	case full:
		displaced.place = nil
		return displaced
	}
	return nil
}

// remove removes a release.
func (q *releaseQueue) remove(release *pendingRelease) {
	delete(q.byCall, release.call.id)
	if release.element != nil {
		q.order.Remove(release.element)
	}
	if release.place != nil {
		q.announced.remove(release.place)
	}
	release.element, release.place = nil, nil
}

func (q *releaseQueue) len() int { return q.order.Len() + q.announced.length }

// all yields the releases, those of calls that a switch knew first, and of each kind the oldest first. The present one may
// be removed meanwhile.
func (q *releaseQueue) all() iter.Seq[*pendingRelease] {
	return func(yield func(*pendingRelease) bool) {
		for element := q.order.Front(); element != nil; {
			next := element.Next()
			if !yield(element.Value.(*pendingRelease)) {
				return
			}
			element = next
		}
		q.announced.all()(yield)
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
