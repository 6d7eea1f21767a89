package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ReleaseAnswer is how a caller answers the release of a call. The protocol leaves it free.
type ReleaseAnswer uint8

// The ways to answer a release.
const (
	AnswerAtOnce ReleaseAnswer = iota
	AnswerLate
	AnswerNever
)

// FaultKind names a fault that is injected at an instant.
type FaultKind uint8

// The faults.
const (
	SilenceLinks   FaultKind = iota // all connections of a controller to a switch fall silent
	SilenceLink                     // one of them
	ResetLinks                      // all are reset
	ResetLink                       // one
	RefuseLinks                     // new ones are refused for a while
	HangLinks                       // new ones come up and nothing passes
	VanishSwitch                    // a switch is cut off from all for a while
	HangSwitch                      // a switch neither reads nor writes for a while
	KillSwitch                      // its process dies, and is listed as gone later
	ReplaceSwitch                   // drains, ends, and another stands in its place
	DrainSwitch                     // drains for a while and is ready again
	CutCalls                        // a switch cuts half of its calls
	SilenceBoard                    // the board's open connections fall silent
	BreakBoard                      // the board breaks off within an event
	LoseBoard                       // the board refuses and resets for a while
	Reload                          // new configurations in a row, each with another board
	Restart                         // SIGTERM, SIGKILL at the earliest, a new start
	ReloadRestart                   // a new configuration close to SIGTERM
	KillController                  // SIGKILL out of the blue, a new start
	SilenceCallers                  // the callers' connections fall silent
	ResetCallers                    // or are reset
	Crowd                           // many connect, and many of them say nothing
	BadClients                      // some send what cannot be read
	EndLink                         // a connection is ended in the direction to the controller alone
	Burst                           // callers place many calls at once
	Signals                         // SIGHUP and SIGTERM in a row, then a planned restart
	faultKinds
)

var faultNames = [...]string{"silence links", "silence a link", "reset links", "reset a link", "refuse links", "hang links", "vanish switch",
	"hang switch", "kill switch", "replace switch", "drain switch", "cut calls", "silence board", "break board", "lose board", "reload",
	"restart", "reload and restart", "kill controller", "silence callers", "reset callers", "crowd", "bad clients", "end a link one way", "burst", "signals"}

func (k FaultKind) String() string { return faultNames[k] }

// Injection is one fault of a plan.
type Injection struct {
	At         time.Duration
	Kind       FaultKind
	Controller int
	Cell       int // whose switch
	For        time.Duration
	Count      int
}

func (i Injection) String() string {
	return fmt.Sprintf("%s (n%d, cell %d, %v, %d times)", i.Kind, i.Controller, i.Cell, i.For.Round(time.Millisecond), i.Count)
}

// CallerPlan is how the callers of one controller behave.
type CallerPlan struct {
	Connections int
	Rate        float64 // calls a second
	Answer      []ReleaseAnswer
	Impatient   float64 // share of calls given up early
	Repeat      float64 // share of refused calls that come again at once
	Release     float64 // share of standing calls that the caller ends
	Transit     float64 // share of calls in transit
	Again       float64 // share of calls that were cut and come again
	Brief       float64 // share of calls with little time left
}

// ClassPlan is one class of calls.
type ClassPlan struct {
	Name  string
	Aim   time.Duration
	Worth float64
}

// SwitchPlan is how switches behave.
type SwitchPlan struct {
	Circuits  int
	AnswerMin time.Duration
	AnswerMax time.Duration
	HoldMin   time.Duration
	HoldMax   time.Duration
	Shares    [setUpEnds]float64 // of what becomes of set-ups; the rest stands

	EchoesCSeq    bool          // answers repeat the number in the set-up's CSeq, else they have 1
	HearsReleases bool          // a release is answered
	ResetNew      float64       // share of connections that are reset when new
	IdleClose     time.Duration // connections are closed or reset when idle for so long, 0: never
	Unasked       time.Duration // between reports of the group's state that nobody asked for, 0: none
}

// Plan is all that one seed draws. The same seed gives the same plan.
type Plan struct {
	Seed        uint64
	Controllers int
	Length      time.Duration // during which callers call and faults come
	Deadline    time.Duration // the longest a caller waits
	Callers     []CallerPlan
	Classes     []ClassPlan
	Switches    SwitchPlan
	PieceMost   int             // octets of a piece, 0: as they come
	Ways        []time.Duration // one way between a controller and a switch, by cell and controller
	Jitter      time.Duration   // and up to so much longer
	ConnectMost time.Duration
	BoardTwice  bool // boards write events twice
	Faults      []Injection
}

// Draw draws a plan.
func Draw(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x708859))
	p := Plan{Seed: seed, Controllers: 3 + r.IntN(2), Length: length}
	p.Deadline = []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second}[r.IntN(3)]
	for i, name := range []string{"voice", "data", "alarm"}[:1+r.IntN(3)] {
		share := 0.4 + 0.55*r.Float64()
		p.Classes = append(p.Classes, ClassPlan{Name: name, Aim: time.Duration(share * float64(p.Deadline)), Worth: float64(1 + 2*i)})
	}
	p.Switches = drawSwitches(r)
	same, cross := upTo(r, 0, 8*time.Millisecond), upTo(r, 4*time.Millisecond, wayMost)
	for range p.Controllers * p.Controllers {
		p.Ways = append(p.Ways, []time.Duration{same, cross}[r.IntN(2)])
	}
	p.Jitter = upTo(r, 0, jitterMost)
	p.BoardTwice = r.IntN(4) == 0
	if r.IntN(3) == 0 {
		p.PieceMost = 40 + r.IntN(200)
	}
	if r.IntN(4) == 0 {
		p.ConnectMost = upTo(r, 100*time.Millisecond, time.Second)
	}
	for range p.Controllers {
		p.Callers = append(p.Callers, drawCallers(r))
	}
	p.drawFaults(r)
	return p
}

// The longest way between a controller and a switch, and how much longer octets take at times.
const (
	wayMost    = 24 * time.Millisecond
	jitterMost = 8 * time.Millisecond
)

// shareMost is the greatest share of set-ups that end in one of the unusual ways.
const shareMost = 0.08

func drawSwitches(r *rand.Rand) SwitchPlan {
	p := SwitchPlan{Circuits: 10 + r.IntN(60), AnswerMin: 2 * time.Millisecond, AnswerMax: upTo(r, 20*time.Millisecond, 120*time.Millisecond),
		HoldMin: 100 * time.Millisecond, HoldMax: upTo(r, time.Second, 6*time.Second), EchoesCSeq: r.IntN(2) == 0, HearsReleases: r.IntN(4) > 0}
	for kind := EndFull; kind < setUpEnds; kind++ {
		if r.IntN(2) == 0 {
			p.Shares[kind] = shareMost * r.Float64()
		}
	}
	if r.IntN(3) == 0 {
		p.ResetNew = 0.1 * r.Float64()
	}
	if r.IntN(3) == 0 {
		p.IdleClose = upTo(r, time.Second, 4*time.Second)
	}
	if r.IntN(2) == 0 {
		p.Unasked = upTo(r, 100*time.Millisecond, time.Second)
	}
	return p
}

// onlyShare is the share of set-ups that end in the one way of a run that has no other.
const onlyShare = 0.35

// Only leaves a plan with one unusual way in which set-ups end, and no faults: what is found then was found in that way.
func (p *Plan) Only(kind SetUpEnd) {
	p.Switches.Shares = [setUpEnds]float64{}
	p.Switches.Shares[kind] = onlyShare
	p.Switches.ResetNew, p.Switches.IdleClose = 0, 0
	p.Faults = nil
}

func drawCallers(r *rand.Rand) CallerPlan {
	c := CallerPlan{Connections: 1 + r.IntN(3), Rate: 5 + 15*r.Float64(), Impatient: 0.1 * r.Float64(), Repeat: r.Float64(), Release: 0.3 * r.Float64(),
		Transit: 0.2 * r.Float64(), Again: r.Float64(), Brief: 0.1 * r.Float64()}
	for range c.Connections {
		c.Answer = append(c.Answer, ReleaseAnswer(r.IntN(3)))
	}
	return c
}

func upTo(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)+1))
}

// quietFirst is left without a fault, so that calls stand when the first one comes.
const quietFirst = 1500 * time.Millisecond

// drawFaults draws some kinds of faults, each once or more: few kinds at a time make clearer runs than all at once.
func (p *Plan) drawFaults(r *rand.Rand) {
	kinds := r.Perm(int(faultKinds))[:3+r.IntN(4)]
	for _, kind := range kinds {
		for range 1 + r.IntN(3) {
			p.Faults = append(p.Faults, Injection{At: upTo(r, quietFirst, p.Length-time.Second), Kind: FaultKind(kind), Controller: r.IntN(p.Controllers),
				Cell: r.IntN(p.Controllers), For: upTo(r, 300*time.Millisecond, 6*time.Second), Count: 1 + r.IntN(5)})
		}
	}
	if r.IntN(3) == 0 { // restarts of all, one after the other
		at := upTo(r, quietFirst, p.Length/2)
		for i := range p.Controllers {
			p.Faults = append(p.Faults, Injection{At: at, Kind: Restart, Controller: i})
			at += upTo(r, 200*time.Millisecond, time.Second)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Injection) int { return int(a.At - b.At) })
}
