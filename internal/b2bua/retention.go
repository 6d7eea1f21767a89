package b2bua

import "indigodrift/policy"

// endedRetention is how long calls that are over are retained.
const endedRetention = policy.Tenths(100000)

// callQueue holds calls that are over, oldest first.
type callQueue struct {
	calls []*trackedCall
	limit int
	tries int // of these calls
}

// maxTriesPerRetained is how many tries calls that are over may have on average, if their queue is full.
const maxTriesPerRetained = 4

// add adds a call.
func (q *callQueue) add(call *trackedCall) {
	q.calls = append(q.calls, call)
	q.tries += len(call.tries)
}

// overfull reports whether the oldest call must be removed.
func (q *callQueue) overfull() bool {
	return len(q.calls) > q.limit || len(q.calls) > 1 && q.tries > q.limit*maxTriesPerRetained
}

func (q *callQueue) removeOldest() *trackedCall {
	oldest := q.calls[0]
	q.calls[0] = nil
	q.calls = q.calls[1:]
	q.tries -= len(oldest.tries)
	return oldest
}

// retainedCalls holds calls that are over, since late messages may refer to them. Calls that no switch knows, such as
// those that were turned away at once, have a queue of their own: however many they are, they displace no call that a
// switch may still answer or release.
type retainedCalls struct {
	knownToSwitch callQueue
	turnedAway    callQueue
}

func newRetainedCalls(limits callLimits) retainedCalls {
	return retainedCalls{knownToSwitch: callQueue{limit: limits.retained}, turnedAway: callQueue{limit: limits.turnedAway}}
}

func (r *retainedCalls) len() int { return len(r.knownToSwitch.calls) + len(r.turnedAway.calls) }

// retain retains a call that is over. The oldest one is forgotten if there are too many.
func (a *Agent) retain(call *trackedCall) {
	call.endedAt = a.now
	a.calls[call.id] = call
	queue := &a.retained.turnedAway
	if call.knownToSwitch() {
		queue = &a.retained.knownToSwitch
	}
	queue.add(call)
	for queue.overfull() {
		a.forget(queue.removeOldest())
	}
}

// purgeEnded forgets the calls whose retention has expired.
func (a *Agent) purgeEnded() {
	for _, queue := range []*callQueue{&a.retained.knownToSwitch, &a.retained.turnedAway} {
		for len(queue.calls) > 0 && a.now-queue.calls[0].endedAt > endedRetention {
			a.forget(queue.removeOldest())
		}
	}
}

// forget forgets a retained call, unless its id has been used again since.
func (a *Agent) forget(call *trackedCall) {
	if a.calls[call.id] == call {
		delete(a.calls, call.id)
	}
}
