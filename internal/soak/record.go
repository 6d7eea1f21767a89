package soak

import (
	"fmt"
	"sync"
	"time"
)

// Kind tells what an Event is about.
type Kind uint8

// What callers, switches, the notice board and the rig itself see. A controller's own view is never recorded.
const (
	CallSent       Kind = iota // a caller wrote a set-up
	CallAnswered               // and read its final answer
	CallGivenUp                // cancelled it or closed its connection
	CallUnanswered             // or its connection ended before an answer
	CallToldOver               // it read the release of a call
	CallReleased               // it wrote one itself
	CallAnnounced              // it told a controller of a call that stands, as after a restart
	CallerOpened
	CallerClosed
	CallerSilenced // nothing passes on the connection any more
	TryArrived     // a switch read a set-up
	TryEnded       // wrote its final answer
	TryGivenUp     // read a CANCEL, or its connection ended under the set-up
	CallStood
	CallOver // a call that stood is over at its switch
	ReleaseWritten
	LinkLost   // a connection to a switch was silenced or reset
	LinkClosed // or closed by the controller
	ListChanged
	ListTold // an event of the board was written to a controller
	BoardLost
	BoardBack
	ControllerStarted
	ControllerReady
	ControllerTold // a signal was sent
	ControllerEnded
	ClientServed // a bad client had what it is owed
	RigStalled
	Fault
)

var kindNames = [...]string{"set-up sent", "final answer read", "given up by its caller", "connection ended without an answer", "release read by a caller",
	"released by its caller", "announced as standing", "caller connected", "caller's connection closed", "callers silenced", "set-up read by the switch",
	"answer written by the switch", "set-up given up at the switch", "stands at the switch", "over at the switch", "release written by the switch",
	"connection to the switch lost", "connection to the switch closed by the controller", "list changed", "list told", "board lost", "board back", "controller started", "controller ready", "signal",
	"controller ended", "bad client served", "rig stalled", "fault"}

func (k Kind) String() string { return kindNames[k] }

// How a connection is lost. Of the first two neither side can see the end.
const (
	lostSilent   = "silent"
	lostVanished = "vanished"
	lostReset    = "reset"
)

// Event is one thing that was seen. Fields that do not apply are zero.
type Event struct {
	At         time.Duration // since the run began
	Kind       Kind
	Controller int
	Switch     uint32
	Cell       int // of a switch that is listed; of a call in transit its destination, from 1
	Call       string
	Conn       int
	Status     int
	Number     uint64        // of an event of the board, or of a run at a switch
	Span       time.Duration // how long a message may have lain unread, a stall has lasted, a caller waits, news may take
	Text       string
}

func (e Event) String() string {
	text := fmt.Sprintf("%9.3f n%d %s", e.At.Seconds(), e.Controller, e.Kind)
	if e.Switch != 0 {
		text += fmt.Sprintf(" s-%08x", e.Switch)
	}
	if e.Conn != 0 {
		text += fmt.Sprintf(" conn %d", e.Conn)
	}
	if e.Status != 0 {
		text += fmt.Sprintf(" %d", e.Status)
	}
	if e.Span != 0 {
		text += fmt.Sprintf(" (%v)", e.Span.Round(time.Millisecond))
	}
	if e.Text != "" {
		text += " " + e.Text
	}
	return text
}

// Log keeps the events of a run in the order in which they were seen.
type Log struct {
	mu     sync.Mutex
	began  time.Time
	events []Event
	conns  int
}

// NewLog starts a log; its time begins now.
func NewLog() *Log { return &Log{began: time.Now()} }

// Now is the time since the run began.
func (l *Log) Now() time.Duration { return time.Since(l.began) }

// Add adds an event that is seen now.
func (l *Log) Add(e Event) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.began)
	l.events = append(l.events, e)
	return e.At
}

// Conn names a new connection.
func (l *Log) Conn() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns++
	return l.conns
}

// Events returns what was seen so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

const (
	watchEvery = 5 * time.Millisecond
	stallLeast = 30 * time.Millisecond
)

// watch notes when the rig itself stands still: what it sees then is late.
func (l *Log) watch(stop <-chan struct{}) {
	last := l.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchEvery):
		}
		now := l.Now()
		if gap := now - last - watchEvery; gap > stallLeast {
			l.Add(Event{Kind: RigStalled, Span: gap})
		}
		last = now
	}
}
