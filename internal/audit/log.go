// Package audit judges the five rules from what stand-ins saw on their sockets, and from nothing else: no controller is
// asked. docs/audit.md says how each instant is dated and what margin is allowed.
package audit

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigodrift/internal/isup"
)

// Kind of what a stand-in saw.
type Kind byte

const (
	Parameter         Kind = 'r' // Site: which rule's figure (ParameterDrainGrace ...), Value: it
	SwitchStarted     Kind = 'l' // a switch starts: Value is what it does warm, in thousandths of a set-up a second; CIC 1: cold
	CallOffered       Kind = 'o' // a call written to the controller of Site: Value is the time left, in microseconds
	CallerReleased    Kind = 'x' // its caller's release written to that controller
	CallResponse      Kind = 'a' // the controller's answer read from its socket: CIC is the message type
	TryReceived       Kind = 't' // a set-up from the controller of Peer read at the switch of Site; CIC, Slots
	SetUpDelivered    Kind = 'n' // that set-up written to the controller of Site: it may make void what both ends seized
	TryReleased       Kind = 'c' // that controller's release of it read
	TryResponse       Kind = 'b' // an answer or release written back: Value is the message type
	ResetReceived     Kind = 's' // a reset of CIC to CIC+Value read from the controller of Peer at switch Site
	ResetDelivered    Kind = 'i' // the same, written to the controller of Site, for what it sent to Peer
	LinkLost          Kind = 'd' // the link of controller Peer to switch Site broke
	ListEntrySent     Kind = 'w' // list Value written to controller Site: switch Peer may be sent to (CIC 1) or not (CIC 0)
	ListAcknowledged  Kind = 'k' // controller Site says that list Value is in force
	ControllerPaused  Kind = 'p' // controller Site is stopped, Went: goes on, Killed: is gone, or its own link is
	ControllerResumed Kind = 'g'
	ControllerKilled  Kind = 'q'
	DayEnded          Kind = 'E' // the day is over: what is torn down after it is not judged

	// Phones at gateways: Site is the exchange, Peer the gateway, CIC the endpoint, Ref the call that its user makes.
	NumberDialled      Kind = 'D' // the last digit: Value is how long the caller waits, in microseconds
	NumberAcknowledged Kind = 'T' // the call agent has answered the notification of the number
	PhoneOutcome       Kind = 'F' // Slots 1: speech both ways, 2: a tone that says no
	HangUpAcknowledged Kind = 'U' // the call agent has answered the notification
	ConnectionChanged  Kind = 'C' // Slots: which; Value 1 made, 0 gone
	ToneRequested      Kind = 'S' // Value: which; Slots bit 0: the phone is off hook, bit 1: that is not answered yet
	HookChanged        Kind = 'H' // Value 1: off
	PhoneOutcomeLost   Kind = 'N' // the network of the rig lost or held up a command that told the phone its answer
	GatewayDown        Kind = 'G' // Value 1: it starts anew or cannot reach its call agent, 0: it has reported
)

// Figures of the rules, in microseconds where they are spans.
const (
	ParameterDrainGrace = iota
	ParameterReleaseTime
	ParameterRampTime
	ParameterOverloadWindow
	ParameterOverloadMultiple // thousandths
	ParameterInitialCapacity  // thousandths
	parameterCount
)

// Event is one line of the log.
type Event struct {
	At    int64 // microseconds since the log began
	Kind  Kind
	Site  int
	Peer  int
	Ref   isup.Reference
	CIC   uint16
	Slots uint32
	Value int64
}

// Log takes events from any goroutine and writes them in the order taken.
type Log struct {
	mu        sync.Mutex
	w         *bufio.Writer
	startTime time.Time
	err       error
	line      []byte
}

// NewLog begins a log now.
func NewLog(w io.Writer) *Log { return &Log{w: bufio.NewWriterSize(w, 1<<16), startTime: time.Now()} }

// Add dates an event and writes it.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := strconv.AppendInt(l.line[:0], time.Since(l.startTime).Microseconds(), 10)
	b = append(b, ' ', byte(e.Kind))
	for _, v := range []int64{int64(e.Site), int64(e.Peer), int64(e.Ref.Point), int64(e.Ref.Identity), int64(e.CIC),
		int64(e.Slots), e.Value} {
		b = strconv.AppendInt(append(b, ' '), v, 10)
	}
	l.line = append(b, '\n')
	if _, err := l.w.Write(l.line); err != nil && l.err == nil {
		l.err = fmt.Errorf("write log: %w", err)
	}
}

// Close writes out what is left and tells the first failure.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.w.Flush(); l.err == nil && err != nil {
		l.err = fmt.Errorf("write log: %w", err)
	}
	return l.err
}

// Read takes a log; it ends at the first line that is none, with its number.
func Read(r io.Reader) ([]Event, error) {
	var all []Event
	in := bufio.NewScanner(r)
	for n := 1; in.Scan(); n++ {
		f := strings.Fields(in.Text())
		if len(f) != 9 || len(f[1]) != 1 {
			return all, fmt.Errorf("line %d: %d fields, 9 are needed", n, len(f))
		}
		var v [9]int64
		for i := range f {
			if i == 1 {
				continue
			}
			var err error
			if v[i], err = strconv.ParseInt(f[i], 10, 64); err != nil {
				return all, fmt.Errorf("line %d, field %d: %w", n, i+1, err)
			}
		}
		all = append(all, Event{v[0], Kind(f[1][0]), int(v[2]), int(v[3]),
			isup.Reference{Point: uint16(v[4]), Identity: uint32(v[5])}, uint16(v[6]), uint32(v[7]), v[8]})
	}
	if err := in.Err(); err != nil {
		return all, fmt.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all, nil
}
