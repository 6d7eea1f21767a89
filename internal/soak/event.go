package soak

import (
	"fmt"
	"sync"
	"time"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, as seen by callers, switches, boards and the test harness. What a controller itself sees is not recorded.
const (
	SetUpSent                EventKind = iota // a caller wrote a set-up
	AnswerRead                                // a caller read a final answer
	CallAbandoned                             // a caller cancelled its set-up
	ConnEndedUnanswered                       // a caller's connection ended before the final answer
	ReleaseRead                               // a caller read the release of a call
	CallReleased                              // a caller wrote a release
	EstablishedCallAnnounced                  // a caller announced an established call to a controller, as after a restart
	CallerConnOpened
	CallerConnClosed
	CallerConnDisrupted // a caller's connection was silenced or reset by a fault
	TryReceived         // a switch read a set-up
	TryEnded            // a switch wrote the end of a set-up
	TryAbandoned        // a switch read a CANCEL, or the connection of a pending set-up ended
	CallEstablished     // a call is established at its switch
	CallEnded           // an established call is over at its switch
	ReleaseSent         // a switch wrote a release
	SwitchConnLost      // a connection to a switch was silenced or reset
	SwitchConnClosed    // a controller closed a connection to a switch
	ListChanged         // the list of switches changed
	ListSent            // a board event was written to a controller
	BoardLost
	BoardRestored
	ControllerStarted
	ControllerReady
	SignalSent
	ControllerExited
	BadClientServed // a bad client was answered or closed, or timed out
	HarnessStalled
	FaultInjected
)

var eventKindNames = [...]string{"set-up sent", "final answer read", "given up by its caller", "connection ended without an answer", "release read by a caller",
	"released by its caller", "announced as standing", "caller connected", "caller's connection closed", "callers silenced", "set-up read by the switch",
	"answer written by the switch", "set-up given up at the switch", "stands at the switch", "over at the switch", "release written by the switch",
	"connection to the switch lost", "connection to the switch closed by the controller", "list changed", "list told", "board lost", "board back",
	"controller started", "controller ready", "signal", "controller ended", "bad client served", "rig stalled", "fault"}

func (k EventKind) String() string { return eventKindNames[k] }

// Ways to lose a connection. In the first two neither side sees the loss.
const (
	lossSilent    = "silent"
	lossPartition = "vanished"
	lossReset     = "reset"
)

// Event is one observation. Fields that do not apply are zero.
type Event struct {
	At         time.Duration // since the start of the run
	Kind       EventKind
	Controller int
	SwitchID   uint32
	Cell       int // exchange of a listed switch; destination of a transit call, counted from 1
	CallID     string
	ConnID     int
	Status     int           // SIP status, release cause, signal or list state; 1 for a failed exit, 0 or 1 for a bad client without an answer
	Number     uint64        // of a board event, or of a call leg at a switch
	Duration   time.Duration // how long a message may have been unread, a stall lasted, a caller waits or the board's recovery may take
	Detail     string
}

func (e Event) String() string {
	text := fmt.Sprintf("%9.3f n%d %s", e.At.Seconds(), e.Controller, e.Kind)
	if e.SwitchID != 0 {
		text += fmt.Sprintf(" s-%08x", e.SwitchID)
	}
	if e.ConnID != 0 {
		text += fmt.Sprintf(" conn %d", e.ConnID)
	}
	if e.Status != 0 {
		text += fmt.Sprintf(" %d", e.Status)
	}
	if e.Duration != 0 {
		text += fmt.Sprintf(" (%v)", e.Duration.Round(time.Millisecond))
	}
	if e.Detail != "" {
		text += " " + e.Detail
	}
	return text
}

// Log records the events of a run in the order in which they occurred.
type Log struct {
	mu         sync.Mutex
	startTime  time.Time
	events     []Event
	lastConnID int
}

// NewLog returns an empty log whose time starts now.
func NewLog() *Log { return &Log{startTime: time.Now()} }

// Now returns the time since the start of the run.
func (l *Log) Now() time.Duration { return time.Since(l.startTime) }

// Add records an event that occurs now and returns its time.
func (l *Log) Add(e Event) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.startTime)
	l.events = append(l.events, e)
	return e.At
}

// NewConnID returns the id of a new connection.
func (l *Log) NewConnID() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastConnID++
	return l.lastConnID
}

// Events returns a copy of the events so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

const (
	stallCheckInterval = 5 * time.Millisecond
	minStall           = 30 * time.Millisecond
)

// watchStalls records stalls of the test harness, as its observations are late by them. It runs until stop is closed.
func (l *Log) watchStalls(stop <-chan struct{}) {
	last := l.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(stallCheckInterval):
		}
		now := l.Now()
		if gap := now - last - stallCheckInterval; gap > minStall {
			l.Add(Event{Kind: HarnessStalled, Duration: gap})
		}
		last = now
	}
}
