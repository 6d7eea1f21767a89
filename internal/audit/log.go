// Package audit checks the five rules by what the stand-ins saw on their sockets, independently of the controllers.
// docs/audit.md says how each event gets its time and which margin is allowed.
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

// Kind is the kind of an event that a stand-in saw. Its values are the codes in the log file.
type Kind byte

const (
	Parameter         Kind = 'r' // Site: which parameter of the rules (ParameterDrainGrace, ...); Value: its value
	SwitchStarted     Kind = 'l' // Value: rate of a warm switch, in thousandths of a set-up per second; CIC 1: it starts cold
	CallOffered       Kind = 'o' // a call written to the controller of Site; Slots: first three digits dialled, Value: time left in microseconds
	CallerReleased    Kind = 'x' // the caller's release written to that controller
	CallResponse      Kind = 'a' // the controller's response read from its socket; CIC: message type
	TryReceived       Kind = 't' // a set-up from the controller of Peer read at switch Site, with CIC and Slots
	SetUpDelivered    Kind = 'n' // that set-up written to the controller of Site, whose own set-up on the same circuits it may override
	TryReleased       Kind = 'c' // that controller's release of the set-up read
	TryResponse       Kind = 'b' // an answer or release written back; Value: message type
	ResetReceived     Kind = 's' // a reset of circuits CIC to CIC+Value read from the controller of Peer at switch Site
	ResetDelivered    Kind = 'i' // such a reset written to the controller of Site, for its calls to Peer
	LinkLost          Kind = 'd' // the link of controller Peer to switch Site was lost
	ListEntrySent     Kind = 'w' // an entry of list version Value written to controller Site: switch Peer is ready (CIC 1) or not (CIC 0)
	ListAcknowledged  Kind = 'k' // controller Site acknowledged list version Value
	ControllerPaused  Kind = 'p' // controller Site is paused
	ControllerResumed Kind = 'g' // controller Site runs again
	ControllerKilled  Kind = 'q' // controller Site, or the link to its own switch, is gone
	DayEnded          Kind = 'E' // later events belong to the shutdown and are not checked

	// Phones at gateways. Site: exchange, Peer: gateway, CIC: endpoint, Ref: the call that the user makes.
	NumberDialled      Kind = 'D' // the last digit was dialled; Value: how long the caller waits, in microseconds
	NumberAcknowledged Kind = 'T' // the call agent acknowledged the notification of the number
	PhoneOutcome       Kind = 'F' // Slots 1: speech both ways, 2: a tone for a failed call (Value)
	HangUpAcknowledged Kind = 'U' // the call agent acknowledged the notification of the hang-up
	ConnectionChanged  Kind = 'C' // Slots: serial number of the connection; Value 1: created, 0: deleted
	ToneRequested      Kind = 'S' // Value: tone code; Slots bit 0: the phone is off hook, bit 1: a hook change is not acknowledged yet
	HookChanged        Kind = 'H' // Value 1: off hook, 0: on hook
	PhoneOutcomeLost   Kind = 'N' // the simulated network lost or delayed a command that carries the outcome of the call
	GatewayDown        Kind = 'G' // Value 1: the gateway restarts or cannot reach its call agent, 0: it has registered
)

// Parameters of the rules. Durations are in microseconds.
const (
	ParameterDrainGrace = iota
	ParameterReleaseTime
	ParameterRampTime
	ParameterOverloadWindow
	ParameterOverloadMultiple // thousandths
	ParameterInitialCapacity  // thousandths
	parameterCount
)

// Event is one line of the log. The meaning of its fields depends on the kind.
type Event struct {
	At    int64 // microseconds since the start of the log
	Kind  Kind
	Site  int // exchange
	Peer  int
	Ref   isup.Reference
	CIC   uint16
	Slots uint32
	Value int64
}

// Log writes events in the order received. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	w         *bufio.Writer
	startTime time.Time
	err       error
	line      []byte
}

// NewLog returns a log that starts now and writes to w.
func NewLog(w io.Writer) *Log { return &Log{w: bufio.NewWriterSize(w, 1<<16), startTime: time.Now()} }

// Add sets the time of an event and writes it.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := strconv.AppendInt(l.line[:0], time.Since(l.startTime).Microseconds(), 10)
	line = append(line, ' ', byte(e.Kind))
	for _, v := range []int64{int64(e.Site), int64(e.Peer), int64(e.Ref.Point), int64(e.Ref.Identity), int64(e.CIC),
		int64(e.Slots), e.Value} {
		line = strconv.AppendInt(append(line, ' '), v, 10)
	}
	l.line = append(line, '\n')
	if _, err := l.w.Write(l.line); err != nil && l.err == nil {
		l.err = fmt.Errorf("write log: %w", err)
	}
}

// Close flushes the log and returns the first write error.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.w.Flush(); l.err == nil && err != nil {
		l.err = fmt.Errorf("write log: %w", err)
	}
	return l.err
}

// Read reads a log, sorted by time. It stops at the first invalid line; the error has its number.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	for number := 1; scanner.Scan(); number++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) != 9 || len(fields[1]) != 1 {
			return events, fmt.Errorf("line %d: %d fields, want 9", number, len(fields))
		}
		var values [9]int64
		for i := range fields {
			if i == 1 {
				continue
			}
			var err error
			if values[i], err = strconv.ParseInt(fields[i], 10, 64); err != nil {
				return events, fmt.Errorf("line %d, field %d: %w", number, i+1, err)
			}
		}
		events = append(events, Event{values[0], Kind(fields[1][0]), int(values[2]), int(values[3]),
			isup.Reference{Point: uint16(values[4]), Identity: uint32(values[5])}, uint16(values[6]), uint32(values[7]), values[8]})
	}
	if err := scanner.Err(); err != nil {
		return events, fmt.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events, nil
}
