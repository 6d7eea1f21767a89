package policy

// Tenths counts time in whole tenths of a millisecond, both instants and spans.
type Tenths int64

// Call is what a subscriber, or the exchange before this one, asks for.
type Call struct {
	ID      uint32
	Number  uint64 // the number called, 0 when not told
	Bearer  int    // row of Deployment.Bearers
	Dest    int    // number of the destination exchange, or of the pool of first choice
	Width   int    // circuits taken on each group crossed
	Advice  int    // number of the tandem a centre advises, -1 when none
	TTL     Tenths // from now until the caller gives this try up
	Redial  bool   // the caller was turned away before
	Transit bool   // it arrives over another exchange
	Cut     bool   // it stood before, was cut and comes again
}

// Switch is one line of the list of switches.
type Switch struct {
	ID       uint32
	Number   int    // the exchange or pool it serves
	BootAt   Tenths // its last start, 0 when long ago
	Ready    bool
	Draining bool // neither ready nor draining: gone
}

// Report is what an answer tells about a switch and the group towards it; fields not told are negative.
type Report struct {
	Free, Size int
	Wait       Tenths  // wait at its processor
	HoldBack   float64 // share of new set-ups it asks to be held back
}

// Ending tells how a route try ended.
type Ending int

const (
	Released  Ending = iota // the standing call came to its end
	Faulted                 // signalling fault, or the number called is busy
	Blocked                 // turned back, or a processor or pool was full
	TimedOut                // no answer in time
	Unreached               // the switch could not be reached
	Cut                     // set-up or standing call cut
	Cancelled               // called off
	Unsent                  // never left this exchange
)

// Reason says more about an ending.
type Reason int

const (
	NoReason      Reason = iota
	NoCircuit            // no circuit or agent was free
	TurnedBack           // the tandem turned it back
	ProcessorFull        // the processor of the switch was full, or the own one is down
	NumberBusy           // every line of the number called is busy
	DestFull             // the processor beyond the tandem was full
)

// Bearer is one bearer type as the operator states it.
type Bearer struct {
	Revenue   float64
	LateShare float64 // share of the revenue left after the GoS target
	GoSTarget Tenths
	Abandon   Tenths // callers keep trying this long
	Holding   Tenths // mean time that a call stands, 0 when not told
	Pools     []int  // pools that may serve it, empty when any may
}

// Deployment is what an operator states about the network when a controller starts.
type Deployment struct {
	Seed           uint64
	Own            int // number of the own exchange, -1 with pools
	Pools          bool
	Controllers    int // call controllers of the network, 0 when not told
	Bearers        []Bearer
	MaxTries       int
	ReleaseTime    Tenths
	Resend         Tenths // a waiting set-up is sent again after this, 0 when never
	ComeBackMost   Tenths // longest come-back time callers heed, 0 when none may be told
	DrainGrace     Tenths
	ColdFrom       float64
	RampTime       Tenths
	FallMultiple   float64
	FallWindow     Tenths
	ListAsked      bool   // the list comes only when followed
	AskWithin      Tenths // how often it must at least be asked for
	CancelsAllowed bool
}

// Exchange is the controller's only way out. Every call is carried out in the order made.
type Exchange interface {
	Send(call uint32, to uint32, limit Tenths) // start a route try
	Block(call uint32, comeBack Tenths)        // final: refused, with a time to come back or 0
	Abort(call uint32)                         // final: failed
	Cancel(call uint32, try int)               // stop waiting for a route try
	Wake(at Tenths, token uint64)              // have Woken called at or after that time
	Follow()                                   // subscribe to the list of switches
	Note(text string)                          // a line for staff
}
