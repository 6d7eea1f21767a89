package gateways

import (
	"math"
	"slices"

	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// Result is the meaning of a response to a command for the endpoint and its call.
type Result uint8

const (
	Succeeded           Result = iota // the command was executed
	IsOffHook                         // the endpoint is off hook, without a notification so far
	IsOnHook                          // the endpoint is on hook, without a notification so far
	RetryLater                        // transient error: retry after RetryDelay
	ConnectionGone                    // the connection doesn't exist any more
	EndpointUnavailable               // the endpoint is unknown or out of service
	OtherCallAgent                    // the endpoint belongs to another call agent
	Failed                            // permanent error
)

// ResultOf returns the meaning of a return code (RFC 3435, 2.4; RFC 3661, 4) for a verb.
func ResultOf(verb mgcp.Verb, code int) Result {
	switch code {
	case mgcp.CodeOffHook:
		return IsOffHook
	case mgcp.CodeOnHook:
		return IsOnHook
	case mgcp.CodeUnknownConnection, mgcp.CodeUnknownCall:
		if verb == mgcp.DeleteConnection { // already deleted
			return Succeeded
		}
		return ConnectionGone
	case mgcp.CodeUnknownEndpoint, mgcp.CodeEndpointNotReady, mgcp.CodeEndpointRestarting, mgcp.CodeRestarting, mgcp.CodeHardwareFailure:
		return EndpointUnavailable
	case mgcp.CodeRedirected:
		return OtherCallAgent
	case mgcp.CodeNoResources, mgcp.CodeInsufficientResources, mgcp.CodeNoBandwidth, mgcp.CodeInsufficientBandwidth:
		if verb == mgcp.CreateConnection || verb == mgcp.ModifyConnection { // this call fails, a later one may succeed
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

// Delays between retries after transient errors.
const (
	initialRetryDelay = policy.Tenths(2000)
	maxRetryDelay     = policy.Tenths(80000)
)

// RetryDelay returns the delay before the next retry after a number of transient errors in a row.
func RetryDelay(refusals int) policy.Tenths {
	return min(maxRetryDelay, initialRetryDelay<<min(refusals, 8))
}

// Tone is a tone that the user hears, or ringing.
type Tone uint8

const (
	Silence Tone = iota
	DialTone
	Busy       // the called line is busy, or the other side ended the call
	Congestion // no free circuit or an overloaded processor; the caller may redial
	Reorder    // the call can't be set up as dialled, or failed
	Ring
	OffHookWarning // off hook without a call for too long
)

// String returns the name of the tone for logs and tests.
func (t Tone) String() string {
	return [...]string{"silence", "dial tone", "busy", "congestion", "reorder", "ring", "off-hook warning"}[t]
}

// ToneFor returns the tone for a release cause (Q.850) and a text for the log.
func ToneFor(cause isup.Cause) (Tone, string) {
	switch cause {
	case isup.NormalClearing, isup.NormalUnspecified:
		return Busy, "the other side hung up"
	case isup.UserBusy:
		return Busy, "the called line is busy"
	case isup.NoAnswer:
		return Busy, "the called line did not answer"
	case isup.NoCircuit:
		return Congestion, "no circuit is free"
	case isup.Congestion:
		return Congestion, "an exchange is overloaded"
	case isup.OutOfOrder, isup.NetworkOutOfOrder:
		return Reorder, "the destination is out of order"
	case isup.TimerExpiry, isup.TemporaryFailure:
		return Reorder, "the call set-up failed"
	}
	return Reorder, "the number cannot be reached"
}

// The answer margin allows for so many transmissions that at most maxUndelivered of all answers are lost, within bounds.
const (
	maxUndelivered   = 0.001
	minTransmissions = 3
	maxTransmissions = 8
)

// AnswerMargin returns the part of a caller's remaining time that is reserved to deliver the answer to the gateway, with
// retransmissions at doubling timeouts. timeout is the first of them; loss is the recent share of commands to the gateway that were
// retransmitted. The margin is at most half of the remaining time, or a bad network would leave no time to set up calls.
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

// Overloaded reports whether a user who goes off hook now gets congestion tone instead of dial tone. Calls then wait in the queue for
// more than half of the tightest GoS target: a new call would probably be late and delay others. Users who have dialled continue.
func Overloaded(callDelay, gosTarget policy.Tenths) bool { return callDelay > gosTarget/2 }

// OrphanedConnections returns the connections held by an endpoint that belong to no call, and whether the connection of its call,
// live ("" for none), is missing. The endpoint must be audited while no command to it is outstanding, so that no connection is
// being created.
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

// Stale reports whether a notification with a request ID was overtaken by one with a later request ID, lastID. Request IDs count up
// and wrap around.
func Stale(id, lastID uint32) bool { return int32(id-lastID) < 0 }
