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
	faultKinds
)

var faultNames = [...]string{"silence links", "silence a link", "reset links", "reset a link", "refuse links", "hang links", "vanish switch",
	"hang switch", "kill switch", "replace switch", "drain switch", "cut calls", "silence board", "break board", "lose board", "reload",
	"restart", "reload and restart", "kill controller", "silence callers", "reset callers", "crowd", "bad clients"}

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
}

// SwitchPlan is how switches behave.
type SwitchPlan struct {
	Circuits  int
	AnswerMin time.Duration
	AnswerMax time.Duration
	HoldMin   time.Duration
	HoldMax   time.Duration
	Spoilt    float64 // shares of answers
	Broken    float64
	Never     float64
	Late      float64
	Twice     float64
	Refused   float64
}

// Plan is all that one seed draws. The same seed gives the same plan.
type Plan struct {
	Seed        uint64
	Controllers int
	Length      time.Duration // during which callers call and faults come
	Deadline    time.Duration // the longest a caller waits
	Callers     []CallerPlan
	Switches    SwitchPlan
	PieceMost   int // octets of a piece, 0: as they come
	ConnectMost time.Duration
	Faults      []Injection
}

// Draw draws a plan.
func Draw(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x708859))
	p := Plan{Seed: seed, Controllers: 3 + r.IntN(2), Length: length}
	p.Deadline = []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second}[r.IntN(3)]
	p.Switches = SwitchPlan{Circuits: 10 + r.IntN(60), AnswerMin: 2 * time.Millisecond, AnswerMax: upTo(r, 20*time.Millisecond, 120*time.Millisecond),
		HoldMin: 100 * time.Millisecond, HoldMax: upTo(r, time.Second, 6*time.Second), Refused: 0.05}
	if r.IntN(2) == 0 {
		p.Switches.Spoilt, p.Switches.Broken, p.Switches.Never = 0.01*r.Float64(), 0.01*r.Float64(), 0.02*r.Float64()
		p.Switches.Late, p.Switches.Twice = 0.02*r.Float64(), 0.05*r.Float64()
	}
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

func drawCallers(r *rand.Rand) CallerPlan {
	c := CallerPlan{Connections: 1 + r.IntN(3), Rate: 5 + 15*r.Float64(), Impatient: 0.1 * r.Float64(), Repeat: r.Float64(), Release: 0.3 * r.Float64()}
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
