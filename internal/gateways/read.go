package gateways

import (
	"math"
	"slices"

	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// Result is what a response to a command means for the endpoint and its call.
type Result uint8

const (
	Succeeded           Result = iota // the endpoint is as it was asked to be
	IsOffHook                         // its phone is off hook, which nobody has told us
	IsOnHook                          // its phone is on hook, which nobody has told us
	RetryLater                        // it cannot now: once more after a while
	ConnectionGone                    // the connection that was named is not there any more
	EndpointUnavailable               // there is no such endpoint, or it is out of service
	OtherCallAgent                    // it belongs to another call agent
	Failed                            // it will never do this
)

// ResultOf reads a return code (RFC 3435, 2.4; RFC 3661, 4) for a verb.
func ResultOf(verb mgcp.Verb, code int) Result {
	switch code {
	case mgcp.CodeOffHook:
		return IsOffHook
	case mgcp.CodeOnHook:
		return IsOnHook
	case mgcp.CodeUnknownConnection, mgcp.CodeUnknownCall:
		if verb == mgcp.DeleteConnection { // what was to be gone is gone
			return Succeeded
		}
		return ConnectionGone
	case mgcp.CodeUnknownEndpoint, mgcp.CodeEndpointNotReady, mgcp.CodeEndpointRestarting, mgcp.CodeRestarting, mgcp.CodeHardwareFailure:
		return EndpointUnavailable
	case mgcp.CodeRedirected:
		return OtherCallAgent
	case mgcp.CodeNoResources, mgcp.CodeInsufficientResources, mgcp.CodeNoBandwidth, mgcp.CodeInsufficientBandwidth:
		if verb == mgcp.CreateConnection || verb == mgcp.ModifyConnection { // the call cannot be had; the next one perhaps
			return Failed
		}
		return RetryLater
	}
	switch mgcp.ClassOf(code) {
	case mgcp.Success:
		return Succeeded
	case mgcp.TransientError:
		return RetryLater
	}
	return Failed
}

// Waits between repeats of what an endpoint cannot do now.
const (
	initialRetryDelay = policy.Tenths(2000)
	maxRetryDelay     = policy.Tenths(80000)
)

// RetryDelay is how long to wait before something is asked for again, refused so many times in a row.
func RetryDelay(refusals int) policy.Tenths {
	return min(maxRetryDelay, initialRetryDelay<<min(refusals, 8))
}

// Tone is what a user hears, or how a phone rings.
type Tone uint8

const (
	Silence Tone = iota
	DialTone
	Busy       // the called user is engaged, or hung up after the call
	Congestion // circuits or processors are full: it may be tried again
	Reorder    // the call cannot be set up as dialled, or failed
	Ring
	OffHookWarning // the receiver is off and nothing is going on
)

func (t Tone) String() string {
	return [...]string{"silence", "dial tone", "busy", "congestion", "reorder", "ring", "off-hook warning"}[t]
}

// ToneFor tells which tone goes with a cause (Q.850), and the words that go into the log and to staff.
func ToneFor(cause isup.Cause) (Tone, string) {
	switch cause {
	case isup.NormalClearing, isup.NormalUnspecified:
		return Busy, "the far end hung up"
	case isup.UserBusy:
		return Busy, "the called line is engaged"
	case isup.NoAnswer:
		return Busy, "the called line did not answer"
	case isup.NoCircuit:
		return Congestion, "no circuit is free"
	case isup.Congestion:
		return Congestion, "an exchange has more work than it can do"
	case isup.OutOfOrder, isup.NetworkOutOfOrder:
		return Reorder, "the destination cannot be reached"
	case isup.TimerExpiry, isup.TemporaryFailure:
		return Reorder, "the call failed on its way"
	}
	return Reorder, "the number cannot be reached"
}

// A final answer is given time to be told so often that one in a thousand stays unheard at the loss seen, within bounds.
const (
	maxUndelivered   = 0.001
	minTransmissions = 3
	maxTransmissions = 8
)

// AnswerMargin is how much of a caller's time is kept for telling its answer to the gateway, which may have to be told several
// times with waits that double; wait is the first of them, loss the share of commands to that gateway that had to be repeated
// of late. Half of the time left bounds it, or a bad network would have no time to set up calls.
func AnswerMargin(timeout, remaining policy.Tenths, loss float64) policy.Tenths {
	transmissions := minTransmissions
	for undelivered := math.Pow(loss, minTransmissions); undelivered > maxUndelivered && transmissions < maxTransmissions; undelivered *= loss {
		transmissions++
	}
	margin := policy.Tenths(0)
	for i := range transmissions - 1 {
		margin += timeout << i
	}
	return min(margin, remaining/2)
}

// Overloaded tells whether a user who lifts the receiver now should hear congestion in place of dial tone: calls wait longer for
// the program than a part of the tightest GoSTarget target, so that the call would likely be late, and to let it dial adds to what is
// late already. Those who have dialled go on.
func Overloaded(callDelay, gosTarget policy.Tenths) bool { return callDelay > gosTarget/2 }

// OrphanedConnections picks from what an endpoint holds the connections of no live call. It was asked while no command of ours was out on
// that endpoint, so that none is being made that we do not know yet; live is the connection of the call that goes on there, ""
// none. gone: the live one is not there.
func OrphanedConnections(held []string, live string) (orphaned []string, liveGone bool) {
	liveGone = live != ""
	for _, id := range held {
		if id == live && live != "" {
			liveGone = false
			continue
		}
		orphaned = append(orphaned, id)
	}
	slices.Sort(orphaned)
	return orphaned, liveGone
}

// Stale tells whether a notification under request id got says less than was heard under request id heard: ids count up, and
// one from before the last that was heard had been overtaken on its way.
func Stale(id, lastID uint32) bool { return int32(id-lastID) < 0 }
