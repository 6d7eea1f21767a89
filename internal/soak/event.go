package soak

import (
	"fmt"
	"sync"
	"time"
)

// EventKind tells what an Event is about.
type EventKind uint8

// What callers, switches, the notice board and the rig itself see. A controller's own view is never recorded.
const (
	SetUpSent                EventKind = iota // a caller wrote a set-up
	AnswerRead                                // and read its final answer
	CallAbandoned                             // cancelled it or closed its connection
	ConnEndedUnanswered                       // or its connection ended before an answer
	ReleaseRead                               // it read the release of a call
	CallReleased                              // it wrote one itself
	EstablishedCallAnnounced                  // it told a controller of a call that stands, as after a restart
	CallerConnOpened
	CallerConnClosed
	CallerConnDisrupted // nothing passes on the connection any more
	TryReceived         // a switch read a set-up
	TryEnded            // wrote its final answer
	TryAbandoned        // read a CANCEL, or its connection ended under the set-up
	CallEstablished
	CallEnded // a call that stood is over at its switch
	ReleaseSent
	SwitchConnLost   // a connection to a switch was silenced or reset
	SwitchConnClosed // or closed by the controller
	ListChanged
	ListSent // an event of the board was written to a controller
	BoardLost
	BoardRestored
	ControllerStarted
	ControllerReady
	SignalSent // a signal was sent
	ControllerExited
	BadClientServed // a bad client had what it is owed
	HarnessStalled
	FaultInjected
)

var eventKindNames = [...]string{"set-up sent", "final answer read", "given up by its caller", "connection ended without an answer", "release read by a caller",
	"released by its caller", "announced as standing", "caller connected", "caller's connection closed", "callers silenced", "set-up read by the switch",
	"answer written by the switch", "set-up given up at the switch", "stands at the switch", "over at the switch", "release written by the switch",
	"connection to the switch lost", "connection to the switch closed by the controller", "list changed", "list told", "board lost", "board back", "controller started", "controller ready", "signal",
	"controller ended", "bad client served", "rig stalled", "fault"}

func (k EventKind) String() string { return eventKindNames[k] }

// How a connection is lost. Of the first two neither side can see the end.
const (
	lossSilent    = "silent"
	lossPartition = "vanished"
	lossReset     = "reset"
)

// Event is one thing that was seen. Fields that do not apply are zero.
type Event struct {
	At         time.Duration // since the run began
	Kind       EventKind
	Controller int
	SwitchID   uint32
	Cell       int // of a switch that is listed; of a call in transit its destination, from 1
	CallID     string
	ConnID     int
	Status     int
	Number     uint64        // of an event of the board, or of a run at a switch
	Duration   time.Duration // how long a message may have lain unread, a stall has lasted, a caller waits, news may take
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

// Log keeps the events of a run in the order in which they were seen.
type Log struct {
	mu         sync.Mutex
	startTime  time.Time
	events     []Event
	lastConnID int
}

// NewLog starts a log; its time begins now.
func NewLog() *Log { return &Log{startTime: time.Now()} }

// Now is the time since the run began.
func (l *Log) Now() time.Duration { return time.Since(l.startTime) }

// Add adds an event that is seen now.
func (l *Log) Add(e Event) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.startTime)
	l.events = append(l.events, e)
	return e.At
}

// NewConnID names a new connection.
func (l *Log) NewConnID() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastConnID++
	return l.lastConnID
}

// Events returns what was seen so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

const (
	stallCheckInterval = 5 * time.Millisecond
	minStall           = 30 * time.Millisecond
)

// watchStalls notes when the rig itself stands still: what it sees then is late.
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
