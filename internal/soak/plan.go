package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ReleaseResponse is how a caller responds to the release of a call. The protocol allows each.
type ReleaseResponse uint8

// Responses to a release.
const (
	RespondImmediately ReleaseResponse = iota
	RespondLate
	RespondNever
)

// FaultKind is a kind of injected fault.
type FaultKind uint8

// Kinds of faults.
const (
	SilenceLinks    FaultKind = iota // all connections of a controller to a switch drop all data
	SilenceLink                      // one of these connections drops all data
	ResetLinks                       // all connections of a controller to a switch are reset
	ResetLink                        // one of these connections is reset
	RefuseLinks                      // new connections of a controller to a switch are refused for a while
	HangLinks                        // new connections are accepted but not forwarded for a while
	PartitionSwitch                  // a switch is unreachable from all controllers for a while
	HangSwitch                       // a switch neither reads nor writes for a while
	KillSwitch                       // a switch is killed and replaced; it is listed as gone before or after
	ReplaceSwitch                    // a switch drains, stops and is replaced
	DrainSwitch                      // a switch drains for a while and is ready again
	DisconnectCalls                  // a switch disconnects half of its calls
	SilenceBoard                     // the board writes nothing more on its open connections
	TruncateBoard                    // the board closes its connections in the middle of a frame
	StopBoard                        // the board refuses connections for a while
	Reload                           // a sequence of new configurations, each with another board address
	Restart                          // planned restart: SIGTERM, SIGKILL after killDelay, start
	ReloadRestart                    // new configuration shortly before a planned restart
	KillController                   // SIGKILL without warning, start
	SilenceCallers                   // the callers' connections drop all data
	ResetCallers                     // the callers' connections are reset
	IdleClients                      // many clients connect and send nothing
	BadClients                       // clients send invalid messages
	HalfCloseLink                    // a switch connection is closed in the direction to the controller only
	CallBurst                        // callers place many calls at once
	SignalBurst                      // several SIGHUPs, then a planned restart with more signals
	numFaultKinds
)

var faultKindNames = [...]string{"silence links", "silence a link", "reset links", "reset a link", "refuse links", "hang links", "vanish switch",
	"hang switch", "kill switch", "replace switch", "drain switch", "cut calls", "silence board", "break board", "lose board", "reload",
	"restart", "reload and restart", "kill controller", "silence callers", "reset callers", "crowd", "bad clients", "end a link one way", "burst", "signals"}

func (k FaultKind) String() string { return faultKindNames[k] }

// Injection is the injection of one fault.
type Injection struct {
	At         time.Duration // since the first calls
	Kind       FaultKind
	Controller int
	Cell       int           // exchange whose switch is affected
	Duration   time.Duration // of faults that end by themselves
	Count      int           // repetitions or a variant, as the kind has them
}

func (i Injection) String() string {
	return fmt.Sprintf("%s (n%d, cell %d, %v, %d times)", i.Kind, i.Controller, i.Cell, i.Duration.Round(time.Millisecond), i.Count)
}

// CallerPlan sets how the callers of one controller behave.
type CallerPlan struct {
	Connections           int
	CallsPerSecond        float64
	ReleaseResponses      []ReleaseResponse
	AbandonShare          float64 // share of calls abandoned before their abandon time
	RepeatShare           float64 // twice the share of rejected calls that are repeated at once
	ReleaseShare          float64 // share of established calls that the caller releases
	TransitShare          float64 // share of transit calls
	RedialShare           float64 // share of disconnected calls that are placed again
	ShortAbandonTimeShare float64 // share of calls with a very short abandon time
}

// BearerPlan is one bearer type.
type BearerPlan struct {
	Name      string
	GoSTarget time.Duration
	Revenue   float64
}

// SwitchPlan sets how switches behave.
type SwitchPlan struct {
	Circuits       int
	MinAnswerDelay time.Duration
	MaxAnswerDelay time.Duration
	MinHoldingTime time.Duration
	MaxHoldingTime time.Duration
	OutcomeShares  [numSetUpOutcomes]float64 // by SetUpOutcome; the remaining set-ups are established

	EchoesCSeq         bool          // answers carry the set-up's CSeq number, else 1
	RespondsToReleases bool          // releases by controllers are answered
	ResetNewShare      float64       // share of connections that are reset as they open
	IdleTimeout        time.Duration // after which connections are closed or reset, 0 for never
	LoadReportInterval time.Duration // between unsolicited load reports, 0 for none
}

// Plan is everything that is drawn from a seed before a run. The same seed gives the same plan.
type Plan struct {
	Seed                 uint64
	Controllers          int
	Duration             time.Duration // of the part with calls and faults
	MaxAbandonTime       time.Duration // of all calls
	Callers              []CallerPlan
	Bearers              []BearerPlan
	Switches             SwitchPlan
	MaxChunk             int             // octets that proxies write at once, 0 for no limit
	Latencies            []time.Duration // one-way latency between a controller and a switch, by cell and controller
	Jitter               time.Duration   // maximum random addition to the latency
	MaxConnectDelay      time.Duration
	DuplicateBoardEvents bool // boards write each event twice
	Faults               []Injection
}

// NewPlan draws the plan of a seed.
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

// Limits of the one-way latency between a controller and a switch, and of its jitter.
const (
	maxLatency = 24 * time.Millisecond
	maxJitter  = 8 * time.Millisecond
)

// maxOutcomeShare limits the share of each unusual set-up outcome.
const maxOutcomeShare = 0.08

// newSwitchPlan draws the plan of the switches.
func newSwitchPlan(random *rand.Rand) SwitchPlan {
	plan := SwitchPlan{Circuits: 10 + random.IntN(60), MinAnswerDelay: 2 * time.Millisecond,
		MaxAnswerDelay: randomDuration(random, 20*time.Millisecond, 120*time.Millisecond), MinHoldingTime: 100 * time.Millisecond,
		MaxHoldingTime: randomDuration(random, time.Second, 6*time.Second), EchoesCSeq: random.IntN(2) == 0, RespondsToReleases: random.IntN(4) > 0}
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

// onlyOutcomeShare is the share of the only unusual outcome after RestrictTo.
const onlyOutcomeShare = 0.35

// RestrictTo leaves one unusual set-up outcome and no faults in the plan, so that a violation can only be due to that outcome.
func (p *Plan) RestrictTo(outcome SetUpOutcome) {
	p.Switches.OutcomeShares = [numSetUpOutcomes]float64{}
	p.Switches.OutcomeShares[outcome] = onlyOutcomeShare
	p.Switches.ResetNewShare, p.Switches.IdleTimeout = 0, 0
	p.Faults = nil
}

// newCallerPlan draws the plan of the callers of one controller.
func newCallerPlan(random *rand.Rand) CallerPlan {
	plan := CallerPlan{Connections: 1 + random.IntN(3), CallsPerSecond: 5 + 15*random.Float64(), AbandonShare: 0.1 * random.Float64(),
		RepeatShare: random.Float64(), ReleaseShare: 0.3 * random.Float64(), TransitShare: 0.2 * random.Float64(), RedialShare: random.Float64(),
		ShortAbandonTimeShare: 0.1 * random.Float64()}
	for range plan.Connections {
		plan.ReleaseResponses = append(plan.ReleaseResponses, ReleaseResponse(random.IntN(3)))
	}
	return plan
}

// randomDuration draws a duration from low to high, both included.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}

// initialQuietTime has no faults, so that calls are established when the first fault is injected.
const initialQuietTime = 1500 * time.Millisecond

// addFaults draws the faults: a few kinds, each once or more, since a run with all kinds is hard to analyse.
func (p *Plan) addFaults(random *rand.Rand) {
	kinds := random.Perm(int(numFaultKinds))[:3+random.IntN(4)]
	for _, kind := range kinds {
		for range 1 + random.IntN(3) {
			p.Faults = append(p.Faults, Injection{At: randomDuration(random, initialQuietTime, p.Duration-time.Second), Kind: FaultKind(kind),
				Controller: random.IntN(p.Controllers), Cell: random.IntN(p.Controllers),
				Duration: randomDuration(random, 300*time.Millisecond, 6*time.Second), Count: 1 + random.IntN(5)})
		}
	}
	if random.IntN(3) == 0 { // a rolling restart of all controllers
		start := randomDuration(random, initialQuietTime, p.Duration/2)
		for i := range p.Controllers {
			p.Faults = append(p.Faults, Injection{At: start, Kind: Restart, Controller: i})
			start += randomDuration(random, 200*time.Millisecond, time.Second)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Injection) int { return int(a.At - b.At) })
}
