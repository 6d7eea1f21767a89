package mgcp

// Return codes of RFC 3435, 2.4, and RFC 3661, 4.
const (
	CodeInProgress            = 100 // the command is being executed
	CodeQueued                = 101 // the command is queued for execution
	CodeOK                    = 200
	CodeConnectionDeleted     = 250
	CodeTransientError        = 400 // unspecified transient error
	CodeOffHook               = 401 // the endpoint is already off hook
	CodeOnHook                = 402 // the endpoint is already on hook
	CodeNoResources           = 403 // insufficient resources at this time
	CodeNoBandwidth           = 404 // insufficient bandwidth at this time
	CodeRestarting            = 405 // the endpoint is restarting
	CodeTransactionTimeout    = 406 // the transaction didn't complete in time
	CodeTransactionAborted    = 407 // the transaction was aborted
	CodeOverload              = 409 // processing overload
	CodeNoEndpointAvailable   = 410 // for the wildcard "any of"
	CodeUnknownEndpoint       = 500
	CodeEndpointNotReady      = 501 // or out of service
	CodeInsufficientResources = 502 // permanently
	CodeAllOfTooComplicated   = 503 // the wildcard "all of" is too complicated
	CodeUnknownCommand        = 504
	CodeUnsupportedSession    = 505 // unsupported remote session description
	CodeProtocolError         = 510
	CodeUnrecognisedExtension = 511
	CodeCannotDetectEvent     = 512 // cannot detect one of the requested events
	CodeCannotGenerateSignal  = 513 // cannot generate one of the requested signals
	CodeUnknownConnection     = 515
	CodeUnknownCall           = 516 // or not the call of the connection
	CodeUnsupportedMode       = 517
	CodeUnknownPackage        = 518
	CodeNoDigitMap            = 519
	CodeEndpointRestarting    = 520 // the endpoint is restarting
	CodeRedirected            = 521 // the endpoint belongs to another call agent
	CodeUnknownEvent          = 522
	CodeUnknownAction         = 523
	CodeInconsistentOptions   = 524 // in LocalConnectionOptions
	CodeUnknownOption         = 525 // in LocalConnectionOptions
	CodeInsufficientBandwidth = 526 // permanently
	CodeMissingRemoteSession  = 527
	CodeIncompatibleVersion   = 528 // protocol version
	CodeHardwareFailure       = 529
	CodeUnsupportedValue      = 532 // in LocalConnectionOptions
	CodeResponseTooLarge      = 533
	CodeCodecNegotiation      = 534 // codec negotiation failed
	CodeRedirectionLoop       = 539 // loop of redirections between call agents
)

// CodeClass is the class of a return code.
type CodeClass uint8

const (
	Provisional CodeClass = iota
	Success
	TransientError // the same command may succeed later
	PermanentError
)

// ClassOf returns the class of a return code. 8xx codes are package-specific and permanent (RFC 3661, 2).
func ClassOf(code int) CodeClass {
	switch code / 100 {
	case 1:
		return Provisional
	case 2:
		return Success
	case 4:
		return TransientError
	}
	return PermanentError
}
