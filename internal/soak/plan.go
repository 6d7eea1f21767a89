package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ReleaseResponse is how a caller answers the release of a call. The protocol leaves it free.
type ReleaseResponse uint8

// The ways to answer a release.
const (
	RespondImmediately ReleaseResponse = iota
	RespondLate
	RespondNever
)

// FaultKind names a fault that is injected at an instant.
type FaultKind uint8

// The faults.
const (
	SilenceLinks    FaultKind = iota // all connections of a controller to a switch fall silent
	SilenceLink                      // one of them
	ResetLinks                       // all are reset
	ResetLink                        // one
	RefuseLinks                      // new ones are refused for a while
	HangLinks                        // new ones come up and nothing passes
	PartitionSwitch                  // a switch is cut off from all for a while
	HangSwitch                       // a switch neither reads nor writes for a while
	KillSwitch                       // its process dies, and is listed as gone later
	ReplaceSwitch                    // drains, ends, and another stands in its place
	DrainSwitch                      // drains for a while and is ready again
	DisconnectCalls                  // a switch cuts half of its calls
	SilenceBoard                     // the board's open connections fall silent
	TruncateBoard                    // the board breaks off within an event
	StopBoard                        // the board refuses and resets for a while
	Reload                           // new configurations in a row, each with another board
	Restart                          // SIGTERM, SIGKILL at the earliest, a new start
	ReloadRestart                    // a new configuration close to SIGTERM
	KillController                   // SIGKILL out of the blue, a new start
	SilenceCallers                   // the callers' connections fall silent
	ResetCallers                     // or are reset
	IdleClients                      // many connect, and many of them say nothing
	BadClients                       // some send what cannot be read
	HalfCloseLink                    // a connection is ended in the direction to the controller alone
	CallBurst                        // callers place many calls at once
	SignalBurst                      // SIGHUP and SIGTERM in a row, then a planned restart
	numFaultKinds
)

var faultKindNames = [...]string{"silence links", "silence a link", "reset links", "reset a link", "refuse links", "hang links", "vanish switch",
	"hang switch", "kill switch", "replace switch", "drain switch", "cut calls", "silence board", "break board", "lose board", "reload",
	"restart", "reload and restart", "kill controller", "silence callers", "reset callers", "crowd", "bad clients", "end a link one way", "burst", "signals"}

func (k FaultKind) String() string { return faultKindNames[k] }

// Injection is one fault of a plan.
type Injection struct {
	At         time.Duration
	Kind       FaultKind
	Controller int
	Cell       int // whose switch
	Duration   time.Duration
	Count      int
}

func (i Injection) String() string {
	return fmt.Sprintf("%s (n%d, cell %d, %v, %d times)", i.Kind, i.Controller, i.Cell, i.Duration.Round(time.Millisecond), i.Count)
}

// CallerPlan is how the callers of one controller behave.
type CallerPlan struct {
	Connections           int
	CallsPerSecond        float64 // calls a second
	ReleaseResponses      []ReleaseResponse
	AbandonShare          float64 // share of calls given up early
	RepeatShare           float64 // share of refused calls that come again at once
	ReleaseShare          float64 // share of standing calls that the caller ends
	TransitShare          float64 // share of calls in transit
	RedialShare           float64 // share of calls that were cut and come again
	ShortAbandonTimeShare float64 // share of calls with little time left
}

// BearerPlan is one class of calls.
type BearerPlan struct {
	Name      string
	GoSTarget time.Duration
	Revenue   float64
}

// SwitchPlan is how switches behave.
type SwitchPlan struct {
	Circuits       int
	MinAnswerDelay time.Duration
	MaxAnswerDelay time.Duration
	MinHoldingTime time.Duration
	MaxHoldingTime time.Duration
	OutcomeShares  [numSetUpOutcomes]float64 // of what becomes of set-ups; the rest stands

	EchoesCSeq         bool          // answers repeat the number in the set-up's CSeq, else they have 1
	RespondsToReleases bool          // a release is answered
	ResetNewShare      float64       // share of connections that are reset when new
	IdleTimeout        time.Duration // connections are closed or reset when idle for so long, 0: never
	LoadReportInterval time.Duration // between reports of the group's state that nobody asked for, 0: none
}

// Plan is all that one seed draws. The same seed gives the same plan.
type Plan struct {
	Seed                 uint64
	Controllers          int
	Duration             time.Duration // during which callers call and faults come
	MaxAbandonTime       time.Duration // the longest a caller waits
	Callers              []CallerPlan
	Bearers              []BearerPlan
	Switches             SwitchPlan
	MaxChunk             int             // octets of a piece, 0: as they come
	Latencies            []time.Duration // one way between a controller and a switch, by cell and controller
	Jitter               time.Duration   // and up to so much longer
	MaxConnectDelay      time.Duration
	DuplicateBoardEvents bool // boards write events twice
	Faults               []Injection
}

// NewPlan draws a plan.
func NewPlan(seed uint64, duration time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0x708859))
	plan := Plan{Seed: seed, Controllers: 3 + random.IntN(2), Duration: duration}
	plan.MaxAbandonTime = []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second}[random.IntN(3)]
	for i, name := range []string{"voice", "data", "alarm"}[:1+random.IntN(3)] {
		share := 0.4 + 0.55*random.Float64()
		plan.Bearers = append(plan.Bearers, BearerPlan{Name: name, GoSTarget: time.Duration(share * float64(plan.MaxAbandonTime)), Revenue: float64(1 + 2*i)})
	}
	plan.Switches = newSwitchPlan(random)
	shortLatency, longLatency := randomDuration(random, 0, 8*time.Millisecond), randomDuration(random, 4*time.Millisecond, maxLatency)
	for range plan.Controllers * plan.Controllers {
		plan.Latencies = append(plan.Latencies, []time.Duration{shortLatency, longLatency}[random.IntN(2)])
	}
	plan.Jitter = randomDuration(random, 0, maxJitter)
	plan.DuplicateBoardEvents = random.IntN(4) == 0
	if random.IntN(3) == 0 {
		plan.MaxChunk = 40 + random.IntN(200)
	}
	if random.IntN(4) == 0 {
		plan.MaxConnectDelay = randomDuration(random, 100*time.Millisecond, time.Second)
	}
	for range plan.Controllers {
		plan.Callers = append(plan.Callers, newCallerPlan(random))
	}
	plan.addFaults(random)
	return plan
}

// The longest way between a controller and a switch, and how much longer octets take at times.
const (
	maxLatency = 24 * time.Millisecond
	maxJitter  = 8 * time.Millisecond
)

// maxOutcomeShare is the greatest share of set-ups that end in one of the unusual ways.
const maxOutcomeShare = 0.08

func newSwitchPlan(random *rand.Rand) SwitchPlan {
	plan := SwitchPlan{Circuits: 10 + random.IntN(60), MinAnswerDelay: 2 * time.Millisecond, MaxAnswerDelay: randomDuration(random, 20*time.Millisecond, 120*time.Millisecond),
		MinHoldingTime: 100 * time.Millisecond, MaxHoldingTime: randomDuration(random, time.Second, 6*time.Second), EchoesCSeq: random.IntN(2) == 0, RespondsToReleases: random.IntN(4) > 0}
	for outcome := OutcomeFull; outcome < numSetUpOutcomes; outcome++ {
		if random.IntN(2) == 0 {
			plan.OutcomeShares[outcome] = maxOutcomeShare * random.Float64()
		}
	}
	if random.IntN(3) == 0 {
		plan.ResetNewShare = 0.1 * random.Float64()
	}
	if random.IntN(3) == 0 {
		plan.IdleTimeout = randomDuration(random, time.Second, 4*time.Second)
	}
	if random.IntN(2) == 0 {
		plan.LoadReportInterval = randomDuration(random, 100*time.Millisecond, time.Second)
	}
	return plan
}

// onlyOutcomeShare is the share of set-ups that end in the one way of a run that has no other.
const onlyOutcomeShare = 0.35

// RestrictTo leaves a plan with one unusual way in which set-ups end, and no faults: what is found then was found in that way.
func (p *Plan) RestrictTo(outcome SetUpOutcome) {
	p.Switches.OutcomeShares = [numSetUpOutcomes]float64{}
	p.Switches.OutcomeShares[outcome] = onlyOutcomeShare
	p.Switches.ResetNewShare, p.Switches.IdleTimeout = 0, 0
	p.Faults = nil
}

func newCallerPlan(random *rand.Rand) CallerPlan {
	plan := CallerPlan{Connections: 1 + random.IntN(3), CallsPerSecond: 5 + 15*random.Float64(), AbandonShare: 0.1 * random.Float64(), RepeatShare: random.Float64(), ReleaseShare: 0.3 * random.Float64(),
		TransitShare: 0.2 * random.Float64(), RedialShare: random.Float64(), ShortAbandonTimeShare: 0.1 * random.Float64()}
	for range plan.Connections {
		plan.ReleaseResponses = append(plan.ReleaseResponses, ReleaseResponse(random.IntN(3)))
	}
	return plan
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}

// initialQuietTime is left without a fault, so that calls stand when the first one comes.
const initialQuietTime = 1500 * time.Millisecond

// addFaults draws some kinds of faults, each once or more: few kinds at a time make clearer runs than all at once.
func (p *Plan) addFaults(random *rand.Rand) {
	kinds := random.Perm(int(numFaultKinds))[:3+random.IntN(4)]
	for _, kind := range kinds {
		for range 1 + random.IntN(3) {
			p.Faults = append(p.Faults, Injection{At: randomDuration(random, initialQuietTime, p.Duration-time.Second), Kind: FaultKind(kind), Controller: random.IntN(p.Controllers),
				Cell: random.IntN(p.Controllers), Duration: randomDuration(random, 300*time.Millisecond, 6*time.Second), Count: 1 + random.IntN(5)})
		}
	}
	if random.IntN(3) == 0 { // restarts of all, one after the other
		start := randomDuration(random, initialQuietTime, p.Duration/2)
		for i := range p.Controllers {
			p.Faults = append(p.Faults, Injection{At: start, Kind: Restart, Controller: i})
			start += randomDuration(random, 200*time.Millisecond, time.Second)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Injection) int { return int(a.At - b.At) })
}
