package b2bua

import "indigodrift/policy"

// RecordKind is the kind of a Record.
type RecordKind uint8

// The kinds of records. All but CallState, TryState, CallRefused and ReleaseWritten report something unusual.
const (
	CallState         RecordKind = iota // a call changed its state
	SetUpRefused                        // a caller's message was refused
	ReleaseWritten                      // a release was written to a caller
	ReleaseRepeated                     // a further copy was written, on another connection
	ReleasePending                      // no connection can take a release at present
	ReleaseUnanswered                   // no answer to a release came in time
	ReleaseLate                         // a release was confirmed later than the platform allows
	ReleaseDropped                      // a release was dropped unconfirmed
	ReleaseUnknown                      // a switch released an unknown call
	ReleaseIgnored                      // a switch released a call that is not established there
	SwitchConnProbed                    // a connection to a switch is probed with a keepalive
	SwitchConnEnded                     // a connection to a switch ended
	CallerConnEnded                     // a caller's connection ended with set-ups or releases open on it
	TryState                            // a route try changed its state
	TryReset                            // a switch released a call before its answer
	TryEventIgnored                     // an event that does not apply to the state of its route try
	AnswerIgnored                       // a switch answered a set-up that no try waits for
	CallRefused                         // a call was refused or failed
)

var recordNames = [...]string{"call state", "a caller's message is refused", "release written", "release repeated", "release pending",
	"release unanswered", "release late", "release dropped", "release of an unknown call", "release ignored", "switch connection probed",
	"switch connection ended", "caller connection ended", "try state", "try reset by a release", "try event ignored", "answer ignored", "call refused"}

func (k RecordKind) String() string { return recordNames[k] }

// Record is an entry of the log of calls and connections. Fields that do not apply are zero.
type Record struct {
	Kind   RecordKind
	CallID string
	Conn   ConnID
	Switch uint32
	Try    int   // number of the route try, which is also its CSeq, from 1
	From   State // of CallState, like To
	To     State
	Cause  int           // Q.850
	Copies int           // copies of the release written so far
	Waited policy.Tenths // since the release or the last message on the connection
	Reason string
}

// stateNames holds the names of the states in the log.
var stateNames = [...]string{Offered: "offered", Trying: "trying", Established: "standing", Ended: "over"}

func (s State) String() string { return stateNames[s] }

// ReleaseCounts counts the outcomes of releases towards callers since the start.
type ReleaseCounts struct {
	Written    uint64 // first copies
	Repeated   uint64 // further copies
	Unanswered uint64 // copies not answered in time
	Confirmed  uint64
	Late       uint64 // confirmed later than the platform allows
	Dropped    uint64
	Unknown    uint64        // releases of unknown calls
	Pending    int           // not confirmed at present
	OldestAge  policy.Tenths // how long the oldest of these has been waiting
}

// TryCounts counts the outcomes of route tries since the start.
type TryCounts struct {
	Written      uint64 // set-ups written to switches
	Retries      uint64 // of these, for a call that was tried before
	Answered     uint64
	Refused      uint64
	TimedOut     uint64
	Cancelled    uint64 // by the policy, or because the caller abandoned the call
	Lost         uint64 // connection ended
	Reset        uint64 // released by the switch before an answer
	AnsweredLate uint64 // answered after their end
}
