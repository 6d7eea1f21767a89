package b2bua

import (
	"indigodrift/internal/due"
	"indigodrift/policy"
)

// callTimers holds the pending timers of a call. They are stopped when the call or the try ends, so that ended calls
// leave nothing in the timer queue, however long their callers were ready to wait.
type callTimers struct {
	deadline *due.Timer
	try      *due.Timer // the timeout of the present try
	heldTry  *due.Timer // the end of the release time before the present try
	policy   due.Group  // set by the policy
}

// setTryTimeout sets the timeout of the present try of a call.
func (a *Agent) setTryTimeout(try *routeTry) {
	a.timers.Stop(try.call.timers.try)
	try.call.timers.try = a.timers.Set(try.deadline, timerTryTimeout, try.token())
}

// setHeldTry sets the time at which the present try of a call may be placed.
func (a *Agent) setHeldTry(try *routeTry) {
	a.timers.Stop(try.call.timers.heldTry)
	try.call.timers.heldTry = a.timers.Set(try.call.nextTryAt, timerHeldTry, try.token())
}

// setPolicyTimer sets a timer of the policy. It belongs to a call if its token is the handle of one.
func (a *Agent) setPolicyTimer(at policy.Tenths, token uint64) {
	timer := a.timers.Set(at, timerPolicyWake, token)
	if call := a.byHandle[uint32(token)]; call != nil && uint64(call.handle) == token {
		call.timers.policy.Add(timer)
	}
}

// stopTryTimers stops the timers of a call's try, which has ended.
func (a *Agent) stopTryTimers(call *trackedCall) {
	a.timers.Stop(call.timers.try)
	a.timers.Stop(call.timers.heldTry)
	call.timers.try, call.timers.heldTry = nil, nil
}

// stopCallTimers stops all timers of a call that is established or over.
func (a *Agent) stopCallTimers(call *trackedCall) {
	a.stopTryTimers(call)
	a.timers.Stop(call.timers.deadline)
	call.timers.policy.Stop(&a.timers)
	call.timers = callTimers{}
}
