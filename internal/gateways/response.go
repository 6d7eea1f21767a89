package gateways

import (
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
