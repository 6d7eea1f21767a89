package b2bua

import "indigodrift/policy"

// endedRetention is how long calls that are over are retained.
const endedRetention = policy.Tenths(100000)

// callQueue holds calls that are over, oldest first.
type callQueue struct {
	calls []*trackedCall
	limit int
}

// add adds a call. If the queue is full, it removes and returns the oldest one.
func (q *callQueue) add(call *trackedCall) (removed *trackedCall) {
	if len(q.calls) >= q.limit {
		removed = q.removeOldest()
	}
	q.calls = append(q.calls, call)
	return removed
}

func (q *callQueue) removeOldest() *trackedCall {
	oldest := q.calls[0]
	q.calls[0] = nil
	q.calls = q.calls[1:]
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
	a.forget(queue.add(call))
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
	if call != nil && a.calls[call.id] == call {
		delete(a.calls, call.id)
	}
}
