package b2bua

import "indigodrift/policy"

// RecordKind names what a Record tells.
type RecordKind uint8

// The kinds of records. All but CallState, TryState, CallRefused and ReleaseWritten tell of something unusual.
const (
	CallState         RecordKind = iota // a call changed its state
	SetUpRefused                        // a message of a caller was refused
	ReleaseWritten                      // a release was written to a caller
	ReleaseRepeated                     // and again, on another connection
	ReleaseWaits                        // no caller's connection can take a release now
	ReleaseUnanswered                   // a caller did not answer a release in time
	ReleaseLate                         // a release was confirmed later than the platform allows
	ReleaseDropped                      // a release is given up
	ReleaseUnknown                      // a switch released a call that is not known here
	ReleaseIgnored                      // a switch released a call that does not stand there
	SwitchSuspect                       // a connection to a switch owes a sign of life
	SwitchDown                          // a connection to a switch ended
	CallerDown                          // a caller's connection ended with set-ups or releases open on it
	TryState                            // a route try was written, or ended
	TryReset                            // a switch released a call that had no answer yet
	TryEventIgnored                     // something came for a route try that means nothing in its state
	AnswerIgnored                       // a switch answered a set-up for which nobody waits
	CallRefused                         // a call was refused or failed
)

var recordNames = [...]string{"call state", "a caller's message is refused", "release written", "release repeated", "release waits",
	"release unanswered", "release late", "release dropped", "release of an unknown call", "release ignored", "switch connection suspect",
	"switch connection ended", "caller connection ended", "try state", "try reset by a release", "try event ignored", "answer ignored", "call refused"}

func (k RecordKind) String() string { return recordNames[k] }

// Record is one entry of the log of calls and connections. Fields that do not apply are zero.
type Record struct {
	Kind   RecordKind
	CallID string
	Conn   Conn
	Switch uint32
	Try    int   // number of the call's route try, and its CSeq, from 1
	From   State // of CallState, as To
	To     State
	Cause  int           // Q.850
	Copies int           // how often a release was written
	Waited policy.Tenths // since the release or the last sign of life came
	Why    string
}

var stateNames = [...]string{Offered: "offered", Trying: "trying", Standing: "standing", Over: "over"}

func (s State) String() string { return stateNames[s] }

// Releases counts what became of releases towards callers since the start.
type Releases struct {
	Written    uint64 // first copies
	Repeated   uint64 // further copies
	Unanswered uint64 // copies that were not answered in time
	Confirmed  uint64
	Late       uint64 // confirmed later than the platform allows
	Dropped    uint64
	Unknown    uint64        // of calls that were not known here
	Waiting    int           // not confirmed now
	Oldest     policy.Tenths // how long the oldest of these has waited
}

// Tries counts what became of route tries since the start.
type Tries struct {
	Written      uint64 // set-ups written to switches
	Again        uint64 // of them for a call that was tried before
	Stood        uint64
	Refused      uint64
	TimedOut     uint64
	Cancelled    uint64 // called off by the module, or their caller has left
	Lost         uint64 // their connection ended
	Reset        uint64 // their switch released the call before an answer
	AnsweredLate uint64 // answers to tries that were over
}
