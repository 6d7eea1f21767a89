package policy

// Tenths is a point in time or a duration in whole tenths of a millisecond.
type Tenths int64

// Call is a call offered by a subscriber or by the preceding exchange.
type Call struct {
	ID            uint32
	Number        uint64 // number called, 0 if unknown
	Bearer        int    // index in Deployment.Bearers
	Dest          int    // number of the destination exchange or of the pool of first choice
	Width         int    // circuits that it takes in each group on its way
	AdvisedTandem int    // number of the tandem that a routing centre advises, -1 if none
	TTL           Tenths // time to live: from now until the caller abandons the call
	Redial        bool   // the caller was rejected before and dials again
	Transit       bool   // it arrives from another exchange
	Disconnected  bool   // the caller was disconnected before and dials again
}

// Switch is an entry of the list of switches.
type Switch struct {
	ID       uint32
	Number   int    // number of the exchange or pool that it serves
	BootAt   Tenths // its last start, 0 if long ago
	Ready    bool
	Draining bool // a switch that is neither ready nor draining is gone
}

// LoadReport is the load of a switch and of the circuit group towards it. Unknown values are negative.
type LoadReport struct {
	Free, Size int     // free circuits and all circuits of the group
	Wait       Tenths  // wait at its processor
	HoldBack   float64 // admission hold-back: share of new set-ups that it asks others not to send
}

// Outcome is the outcome of a route try.
type Outcome int

const (
	Released     Outcome = iota // the established call was released
	Faulted                     // signalling fault, or the number called is busy
	Blocked                     // turned back, or a processor or pool was overloaded
	TimedOut                    // not answered in time
	Unreachable                 // the switch could not be reached
	Disconnected                // the set-up or the established call was interrupted
	Cancelled                   // cancelled by the controller
	Unsent                      // not sent by this exchange
)

// Reason gives details of an outcome.
type Reason int

const (
	NoReason            Reason = iota
	NoCircuit                  // no circuit or agent was free
	TurnedBack                 // the tandem turned the call back
	ProcessorOverloaded        // the processor of the switch was overloaded, or the own one is down
	NumberBusy                 // every line of the number called is busy
	DestOverloaded             // the processor beyond the tandem was overloaded
)

// Bearer holds the settings of a bearer type.
type Bearer struct {
	Revenue     float64
	LateShare   float64 // share of the revenue that is left after the GoS target
	GoSTarget   Tenths
	AbandonTime Tenths // how long callers keep trying
	HoldingTime Tenths // mean holding time of a call, 0 if unknown
	Pools       []int  // pools that may serve it, empty if any may
}

// Deployment holds the settings of the network and of one controller in it.
type Deployment struct {
	Seed                 uint64
	OwnExchange          int  // number of the own exchange, -1 with pools
	Pools                bool // destinations are pools instead of exchanges
	Controllers          int  // call controllers of the network, 0 if unknown
	Bearers              []Bearer
	MaxTries             int     // route tries of a call
	ReleaseTime          Tenths  // wait after a failed try before the next one
	ResendInterval       Tenths  // an unanswered set-up is sent again after this, 0 if never
	MaxRetryAfter        Tenths  // longest retry-after time that callers respect, 0 if they respect none
	DrainGrace           Tenths  // tries to a switch that drains are allowed for this long
	InitialCapacity      float64 // share of its full capacity that a switch has when it starts
	RampTime             Tenths  // time until it has its full capacity
	OverloadMultiple     float64 // a cold switch collapses if it gets more than this multiple of its capacity
	OverloadWindow       Tenths  // within this window
	MustSubscribe        bool    // the list of switches is only sent to subscribers
	MaxSubscribeInterval Tenths  // longest interval allowed between subscriptions
	CancelsAllowed       bool    // the controller may cancel route tries
}

// Executor carries out the decisions of a Controller, in the order in which its methods are called.
type Executor interface {
	Send(callID uint32, switchID uint32, timeout Tenths) // starts a route try
	Block(callID uint32, retryAfter Tenths)              // final answer: rejected; retryAfter may be 0
	Abort(callID uint32)                                 // final answer: failed
	Cancel(callID uint32, try int)                       // cancels a route try
	SetTimer(at Tenths, token uint64)                    // calls Controller.TimerExpired at or after that time
	Subscribe()                                          // subscribes to the list of switches
	Log(text string)                                     // writes a log line for operators
}
