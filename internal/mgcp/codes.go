package mgcp

// Return codes of RFC 3435, 2.4, and RFC 3661, 4, that are sent or told apart here.
const (
	Pending         = 100 // being carried out
	Queued          = 101
	Done            = 200
	Deleted         = 250 // the connection was deleted
	Transient       = 400 // unspecified transient error
	OffHook         = 401 // the phone is off hook already
	OnHook          = 402 // the phone is on hook already
	NoResources     = 403 // none at this time
	NoBandwidth     = 404
	Restarting      = 405 // the endpoint is restarting
	TimedOut        = 406 // a transaction of the command did not end in time
	TransferAborted = 407
	Overload        = 409 // processing overload
	NoEndpointNow   = 410 // no endpoint available (wildcard any of)
	NoEndpoint      = 500 // unknown endpoint
	NotReady        = 501 // the endpoint is not ready or out of service
	NoResourcesEver = 502
	AllOf           = 503 // the wildcard "all of" too complicated
	UnknownVerb     = 504
	BadSession      = 505 // unsupported remote session description
	ProtocolError   = 510
	Unrecognised    = 511
	NoEvent         = 512 // cannot detect one of the requested events
	NoSignal        = 513 // cannot generate one of the requested signals
	NoConnection    = 515 // the connection id is not known
	NoCall          = 516 // the call id is not known, or not that of the connection
	BadMode         = 517
	NoPackage       = 518
	NoDigitMap      = 519
	EndpointStarts  = 520 // the endpoint is restarting
	Redirected      = 521 // to another call agent
	NoSuchEvent     = 522
	UnknownAction   = 523
	BadOptions      = 524
	UnknownOption   = 525
	NoRoom          = 526 // insufficient bandwidth
	MissingRemote   = 527
	Incompatible    = 528 // protocol version
	Hardware        = 529
	NoPeer          = 532 // unsupported values
	TooLong         = 533 // the response is too large
	NegotiationFail = 534 // codec negotiation
	Loop            = 539 // loop in the call agents' redirection
)

// Kind of a return code.
type Kind uint8

const (
	Provisional Kind = iota
	Success
	TransientError // the same command may do later
	PermanentError
)

// KindOf tells what sort of response a code is; 8xx are package specific and permanent (RFC 3661, 2).
func KindOf(code int) Kind {
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
