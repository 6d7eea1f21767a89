package b2bua

import "indigodrift/policy"

const (
	// endedRetention is how long calls that are over are retained.
	endedRetention = policy.Tenths(100000)

	// triesPerWeight is how many tries of a call weigh as much as one more call.
	triesPerWeight = 4
)

// retainedCalls holds calls that are over, since late messages may refer to them. Each kind has a limit of its own, and
// within it a connection displaces its own calls first: however many calls a peer ends, no call of another is forgotten that
// a switch may still answer or release.
type retainedCalls struct {
	knownToSwitch fairQueue[*trackedCall] // set up here at a switch
	foreign       fairQueue[*trackedCall] // released by a switch, but not known here
	turnedAway    fairQueue[*trackedCall] // known to no switch from here
}

func newRetainedCalls(limits heldLimits) retainedCalls {
	return retainedCalls{knownToSwitch: newFairQueue[*trackedCall](limits.retained), foreign: newFairQueue[*trackedCall](limits.foreign),
		turnedAway: newFairQueue[*trackedCall](limits.turnedAway)}
}

// queueOf returns the queue of a call and the connection on whose account it is held.
func (r *retainedCalls) queueOf(call *trackedCall) (*fairQueue[*trackedCall], ConnID) {
	switch {
	case call.foreignFrom != 0:
		return &r.foreign, call.foreignFrom
	case call.reachedSwitch():
		return &r.knownToSwitch, call.callerConnID
	}
	return &r.turnedAway, call.callerConnID
}

func (r *retainedCalls) len() int {
	return r.knownToSwitch.length + r.foreign.length + r.turnedAway.length
}

// retain retains a call that is over. Older ones are forgotten if there are too many.
func (a *Agent) retain(call *trackedCall) {
	call.endedAt = a.now
	a.calls[call.id] = call
	queue, conn := a.retained.queueOf(call)
	place, displaced := queue.addWeighted(conn, call, 1+len(call.tries)/triesPerWeight)
	if place == nil {
		a.forget(call)
	}
	for _, other := range displaced {
		a.forget(other)
	}
}

// purgeEnded forgets the calls whose retention has expired.
func (a *Agent) purgeEnded() {
	expired := func(call *trackedCall) bool { return a.now-call.endedAt > endedRetention }
	for _, queue := range []*fairQueue[*trackedCall]{&a.retained.knownToSwitch, &a.retained.foreign, &a.retained.turnedAway} {
		queue.removeWhile(expired, a.forget)
	}
}

// forget forgets a retained call, unless its id has been used again since.
func (a *Agent) forget(call *trackedCall) {
	if a.calls[call.id] == call {
		delete(a.calls, call.id)
	}
}
