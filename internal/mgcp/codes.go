package mgcp

// Return codes of RFC 3435, 2.4, and RFC 3661, 4, that are sent or told apart here.
const (
	CodeInProgress            = 100 // being carried out
	CodeQueued                = 101
	CodeOK                    = 200
	CodeConnectionDeleted     = 250 // the connection was deleted
	CodeTransientError        = 400 // unspecified transient error
	CodeOffHook               = 401 // the phone is off hook already
	CodeOnHook                = 402 // the phone is on hook already
	CodeNoResources           = 403 // none at this time
	CodeNoBandwidth           = 404
	CodeRestarting            = 405 // the endpoint is restarting
	CodeTransactionTimeout    = 406 // a transaction of the command did not end in time
	CodeTransactionAborted    = 407
	CodeOverload              = 409 // processing overload
	CodeNoEndpointAvailable   = 410 // no endpoint available (wildcard any of)
	CodeUnknownEndpoint       = 500 // unknown endpoint
	CodeEndpointNotReady      = 501 // the endpoint is not ready or out of service
	CodeInsufficientResources = 502
	CodeAllOfTooComplicated   = 503 // the wildcard "all of" too complicated
	CodeUnknownCommand        = 504
	CodeUnsupportedSession    = 505 // unsupported remote session description
	CodeProtocolError         = 510
	CodeUnrecognisedExtension = 511
	CodeCannotDetectEvent     = 512 // cannot detect one of the requested events
	CodeCannotGenerateSignal  = 513 // cannot generate one of the requested signals
	CodeUnknownConnection     = 515 // the connection id is not known
	CodeUnknownCall           = 516 // the call id is not known, or not that of the connection
	CodeUnsupportedMode       = 517
	CodeUnknownPackage        = 518
	CodeNoDigitMap            = 519
	CodeEndpointRestarting    = 520 // the endpoint is restarting
	CodeRedirected            = 521 // to another call agent
	CodeUnknownEvent          = 522
	CodeUnknownAction         = 523
	CodeInconsistentOptions   = 524
	CodeUnknownOption         = 525
	CodeInsufficientBandwidth = 526 // insufficient bandwidth
	CodeMissingRemoteSession  = 527
	CodeIncompatibleVersion   = 528 // protocol version
	CodeHardwareFailure       = 529
	CodeUnsupportedValue      = 532 // unsupported values
	CodeResponseTooLarge      = 533 // the response is too large
	CodeCodecNegotiation      = 534 // codec negotiation
	CodeRedirectionLoop       = 539 // loop in the call agents' redirection
)

// CodeClass of a return code.
type CodeClass uint8

const (
	Provisional CodeClass = iota
	Success
	TransientError // the same command may do later
	PermanentError
)

// ClassOf tells what sort of response a code is; 8xx are package specific and permanent (RFC 3661, 2).
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
