// Package callagent is the call agent of an exchange (RFC 3435): it brings MGCP gateways into service, follows the phones at
// their endpoints, and takes their calls to the exchange's call control and from it. It is pure: internal/control tells it the
// time and every datagram, and carries out what it asks through Carrier.
//
// It does not send commands as things happen. Each line has what it should be like (what to listen for, which tone, which
// connection) and what its gateway is known to be like; push sends the one command that brings the two closer, one at a time for
// an endpoint, so that a lost answer, a restart or a crossing of two events needs no case of its own. Which of two things that
// contradict each other counts, how long is waited and which tone goes with which cause stand in internal/gateways.
package callagent

import (
	"container/heap"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"indigodrift/internal/exchange"
	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// Gateway is one gateway as the settings have it: endpoints aaln/1 to aaln/Endpoints at Name, whose lines have consecutive
// numbers at this exchange.
type Gateway struct {
	Name        string           // domain of its endpoints' names
	Addresses   []netip.AddrPort // the first is used until it does not answer; none: known once it reports
	Endpoints   int
	FirstLine   int
	BearerIndex int // row of the bearer types
	Width       int
}

// Config is what the agent of one exchange is told.
type Config struct {
	OwnExchange       int
	PointCode         uint16
	Seed              uint64
	Incarnation       uint32 // no two starts of the program have the same: call ids, transactions and requests count from it
	Gateways          []Gateway
	DigitMap          mgcp.DigitMap
	AbandonTimes      []policy.Tenths // of each bearer type
	GoSTarget         policy.Tenths   // the tightest target
	MaxDialTime       policy.Tenths   // until the digits are there
	MaxRingTime       policy.Tenths   // until somebody picks up
	MediaAddress      string          // where the own switch takes media for calls that leave by circuits
	NotifiedEntities  []string        // the site's call agents, as gateways are to name them
	OwnEntityIndex    int             // which of them this is
	RestartRate       float64         // gateways a second that may be brought into service
	MaxQueuedRestarts int             // reports that may wait for it
}

// Output carries out what the agent asks. Its methods must not call back.
type Output interface {
	Send(to netip.AddrPort, m mgcp.Message)
	Offer(point, cic uint16, m isup.Message) // to the exchange, from the line side
	Note(text string)
	Told(line int, words string) // why a call of a line came to nothing
}

// RequestedEvents is what a gateway listens for at an endpoint, Mode what its connection does.
type RequestedEvents uint8

const (
	DetectNothing RequestedEvents = iota
	DetectOffHook
	DetectDigits
	DetectOnHook
)

// Mode of a connection (RFC 3435, 3.2.2.6).
type Mode uint8

const (
	NoMode Mode = iota // there is no connection
	ReceiveOnly
	SendReceive
)

func (m Mode) String() string { return [...]string{"", "recvonly", "sendrecv"}[m] }

type endpointState struct {
	events RequestedEvents
	tone   gateways.Tone
	mode   Mode
}

// circuitKey is where a call stands between the agent and the exchange: a circuit of a block of lines.
type circuitKey struct{ point, cic uint16 }

// lineCall is one call at one line.
type lineCall struct {
	id             uint32 // its id is this and the agent's life
	connectionID   string // connection id, "" not known
	localSession   string // session descriptions
	remoteSession  string
	appliedSession string // the remote one that the gateway has
	pendingSession string // and the one on its way there
	digits         string
	deadline       policy.Tenths
	circuit        circuitKey
}

type lineRecord struct {
	state          State
	connection     ConnectionState
	desired        endpointState
	applied        endpointState
	pending        endpointState // what the command that is out asks for
	refusals       uint8
	auditDue       bool  // ask what it holds, once nothing else is to be done
	lastFlags      uint8 // what a call to the last number is to be marked with
	gateway        int32
	transactionID  uint32 // transaction that is out, 0 none
	requestID      uint32 // id of the last notification request sent, and of the last one that was heard of
	notifiedID     uint32
	stateTimeoutAt policy.Tenths
	retryAt        policy.Tenths
	answerDeadline policy.Tenths // what is sent now is of use to a call until then
	lastNumber     uint64        // digest of the last number
	call           *lineCall
	connectedCall  *lineCall // whose connection the gateway holds
	pendingCall    *lineCall
	uncertainCall  *lineCall // a command to make its connection was given up: it may be there
	auditAt        policy.Tenths
	orphaned       []string // connections of no call, to be deleted
}

type gatewayRecord struct {
	Gateway
	lineOffset     int // index of its first line
	currentAddress int // which of its addresses is in use
	presence       gateways.Presence
	sender         *mgcp.Sender
	receiver       *mgcp.Receiver
	joinStep       joinStep
	transactionID  uint32 // transaction for all its endpoints
	queuedReports  []queuedReport
	suspect        bool // commands are repeated without an answer
	timerAt        policy.Tenths
	auditAt        policy.Tenths
	nextAudit      int // line to be audited next
}

// queuedReport is one that is answered when its gateway's turn comes.
type queuedReport struct {
	message mgcp.Message
	from    netip.AddrPort
}

type timerKind uint8

const (
	lineTimer timerKind = iota
	gatewayTimer
	admissionTimer
)

type timer struct {
	at    policy.Tenths
	kind  timerKind
	index int
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any          { n := len(*h) - 1; x := (*h)[n]; *h = (*h)[:n]; return x }

type queuedISUP struct {
	circuit circuitKey
	message isup.Message
}

type commandKind uint8

const (
	lineCommand commandKind = iota
	gatewayCommand
	probeCommand
)

type outstandingCommand struct {
	kind   commandKind
	index  int // line, or gateway
	verb   mgcp.Verb
	sentAt policy.Tenths
}

// Counts of what came of calls and gateways.
type Counts struct {
	Dialled, Answered, Refused, Failed, Rung, Rejected                          int
	Joined, Lost, OrphanedConnections, ConflictingResponses, StaleNotifications int
	InvalidTransitions                                                          int // moves that no table has
	IncompleteMessages                                                          int // messages cut short
	DatagramsSent                                                               int // datagrams
}

const (
	maxToneTime          = policy.Tenths(300000) // a tone is given for so long, then the off-hook warning
	lateAnswerMargin     = 500                   // tenths after a caller's time at which a call that the exchange never answered is given up
	auditInterval        = policy.Tenths(300000) // a line of each gateway is audited so often, whatever it does
	auditDelay           = policy.Tenths(100000) // and each so long after a connection was deleted
	firstGatewayIdentity = 1 << 23               // calls from lines at gateways: references above those that the switch gives
	identityMask         = firstGatewayIdentity - 1
	maxRefusals          = 6
	maxAddresses         = 4
	allEndpoints         = "aaln/*"
)

// Agent is the call agent of one exchange.
type Agent struct {
	config           Config
	output           Output
	now              policy.Tenths
	gateways         []gatewayRecord
	lines            []lineRecord
	gatewayByName    map[string]int
	lineByNumber     map[int]int
	gatewayByAddress map[netip.AddrPort]int
	onConflict       func(mgcp.Message) // takes a second answer that differs, while responses are read
	lineByCircuit    map[circuitKey]int // calls of the exchange to lines
	queue            []queuedISUP
	outstanding      map[uint32]outstandingCommand
	timers           timerHeap
	transactionIDs   *mgcp.TransactionIDs
	lastCallID       uint32
	lastRequestID    uint32
	lastIdentity     uint32
	admissionAt      policy.Tenths
	restarts         *gateways.RestartLimiter
	callDelay        policy.Tenths // how long what is read now has waited
	processing       bool

	Counts           Counts
	UnexpectedEvents [stateCount][eventCount]int
}

// New makes the agent; Tick at once brings the gateways whose addresses are known into service, at the door's pace.
func New(config Config, output Output, now policy.Tenths) *Agent {
	a := &Agent{config: config, output: output, now: now, gatewayByName: map[string]int{}, lineByNumber: map[int]int{}, gatewayByAddress: map[netip.AddrPort]int{}, lineByCircuit: map[circuitKey]int{}, outstanding: map[uint32]outstandingCommand{},
		transactionIDs: mgcp.NewTransactionIDs(config.Incarnation * 7919), lastRequestID: config.Incarnation << 12, lastIdentity: config.Incarnation & identityMask,
		restarts: gateways.NewRestartLimiter(gateways.Limits{Rate: config.RestartRate, MaxQueued: max(config.MaxQueuedRestarts, len(config.Gateways)), GoSTarget: config.GoSTarget}, now)}
	for i, settings := range config.Gateways {
		record := gatewayRecord{Gateway: settings, lineOffset: len(a.lines), receiver: mgcp.NewReceiver()}
		record.sender = mgcp.NewSender(a.transactionIDs, config.Seed+uint64(i), (*commandOutput)(a))
		a.gatewayByName[strings.ToLower(settings.Name)] = i
		a.gateways = append(a.gateways, record)
		for _, address := range settings.Addresses {
			a.gatewayByAddress[address] = i
		}
		for n := range settings.Endpoints {
			a.lineByNumber[settings.FirstLine+n] = len(a.lines)
			a.lines = append(a.lines, lineRecord{gateway: int32(i)})
		}
		if len(settings.Addresses) > 0 { // it may have been served by an earlier life of this program
			a.admit(i)
		}
	}
	return a
}

// Next is when Tick must be called next.
func (a *Agent) Next() (policy.Tenths, bool) {
	if len(a.timers) == 0 {
		return 0, false
	}
	return a.timers[0].at, true
}

func (a *Agent) schedule(at policy.Tenths, kind timerKind, index int) {
	heap.Push(&a.timers, timer{at, kind, index})
}

// Tick does what has fallen due.
func (a *Agent) Tick(now policy.Tenths) {
	a.now = now
	for len(a.timers) > 0 && a.timers[0].at <= now {
		due := heap.Pop(&a.timers).(timer)
		switch due.kind {
		case lineTimer:
			line := &a.lines[due.index]
			if line.stateTimeoutAt == due.at {
				line.stateTimeoutAt = 0
				a.handleEvent(due.index, stateTimedOut, eventData{})
			}
			if line.auditAt == due.at {
				line.auditAt, line.auditDue = 0, true
				a.reconcile(due.index)
			}
			if line.retryAt == due.at {
				line.retryAt = 0
				a.retryLine(due.index)
			}
		case gatewayTimer:
			if gateway := &a.gateways[due.index]; gateway.timerAt == due.at {
				gateway.timerAt = 0
				gateway.sender.Tick(now)
				a.superviseGateway(due.index)
			}
		case admissionTimer:
			if a.admissionAt == due.at {
				a.admissionAt = 0
				for _, gatewayIndex := range a.restarts.Tick(now) {
					a.startJoin(int(gatewayIndex))
				}
				a.scheduleAdmission()
			}
		}
		a.processQueue()
	}
}

// SetCallDelay tells how long what the program reads now has waited; the door follows it.
func (a *Agent) SetCallDelay(now, callDelay policy.Tenths) {
	a.callDelay = callDelay
	a.restarts.SetCallDelay(now, callDelay)
}

// CountLines counts the lines in a state.
func (a *Agent) CountLines(state State) (n int) {
	for i := range a.lines {
		if a.lines[i].state == state {
			n++
		}
	}
	return n
}

// LinesAwaitingResponse counts the lines whose gateway has not answered a command that is still of use to a call: a program that ended now would
// leave callers without their answer where the network lost it.
func (a *Agent) LinesAwaitingResponse(now policy.Tenths) (n int) {
	for i := range a.lines {
		if line := &a.lines[i]; line.transactionID != 0 && now < line.answerDeadline {
			n++
		}
	}
	return n
}

// HandleISUP takes what the exchange sends to its line side, and tells whether it is for a line at a gateway. It only notes it; Settle
// follows.
func (a *Agent) HandleISUP(point, cic uint16, msg isup.Message) bool {
	circuit := circuitKey{point, cic}
	if point >= exchange.FirstGatewayPoint && point < exchange.FirstCalledPoint {
		a.queue = append(a.queue, queuedISUP{circuit, msg})
		return true
	}
	if _, found := a.lineByCircuit[circuit]; found {
		a.queue = append(a.queue, queuedISUP{circuit, msg})
		return true
	}
	if msg.Type != isup.IAM {
		return false
	}
	number, err := strconv.Atoi(msg.Digits)
	if err != nil || number/1000000 != a.config.OwnExchange {
		return false
	}
	i, found := a.lineByNumber[number%1000000]
	if found {
		a.lineByCircuit[circuit] = i
		a.queue = append(a.queue, queuedISUP{circuit, msg})
	}
	return found
}

// HasCircuit tells whether a circuit of a block of lines is a call at one of its lines.
func (a *Agent) HasCircuit(point, cic uint16) bool {
	_, found := a.lineByCircuit[circuitKey{point, cic}]
	return found || point >= exchange.FirstGatewayPoint && point < exchange.FirstCalledPoint
}

// ProcessQueue does what follows from what the exchange sent.
func (a *Agent) ProcessQueue(now policy.Tenths) {
	a.now = now
	a.processQueue()
}

func (a *Agent) processQueue() {
	if a.processing {
		return
	}
	a.processing = true
	defer func() { a.processing = false }()
	for len(a.queue) > 0 {
		queued := a.queue[0]
		a.queue = a.queue[1:]
		i, incoming := a.lineByCircuit[queued.circuit]
		if !incoming {
			i = int(queued.circuit.point-exchange.FirstGatewayPoint)<<12 + int(queued.circuit.cic)
		}
		if i >= len(a.lines) {
			continue
		}
		call := a.lines[i].call
		switch queued.message.Type {
		case isup.IAM:
			if a.gateways[a.lines[i].gateway].suspect || a.gateways[a.lines[i].gateway].presence.State() != gateways.Serving {
				a.sendToExchange(queued.circuit, isup.Message{Type: isup.REL, Cause: isup.OutOfOrder, Location: isup.User})
				continue
			}
			a.handleEvent(i, incomingCall, eventData{circuit: queued.circuit, message: queued.message})
		case isup.ANM:
			if call != nil && call.circuit == queued.circuit {
				a.handleEvent(i, callAnswered, eventData{message: queued.message})
			}
		case isup.REL:
			if incoming {
				delete(a.lineByCircuit, queued.circuit)
			}
			if call != nil && call.circuit == queued.circuit {
				a.handleEvent(i, callReleased, eventData{message: queued.message})
			}
		}
	}
}

// sendToExchange passes a message of a line's on.
func (a *Agent) sendToExchange(circuit circuitKey, msg isup.Message) {
	if msg.Type == isup.REL {
		delete(a.lineByCircuit, circuit)
	}
	msg.CIC = circuit.cic
	a.output.Offer(circuit.point, circuit.cic, msg)
}

func (a *Agent) pointOf(i int) uint16 { return exchange.FirstGatewayPoint + uint16(i>>12) }
func (a *Agent) cicOf(i int) uint16   { return uint16(i & isup.MaxCIC) }

func (a *Agent) numberOf(i int) string {
	gateway := &a.gateways[a.lines[i].gateway]
	return exchange.LineNumber(a.config.OwnExchange, uint32(gateway.FirstLine+i-gateway.lineOffset))
}

// endpointName is the name of a line; find the line of a name, -1 for all of a gateway's, and whether there is such a one.
func (a *Agent) endpointName(i int) string {
	gateway := &a.gateways[a.lines[i].gateway]
	return "aaln/" + strconv.Itoa(i-gateway.lineOffset+1) + "@" + gateway.Name
}

func (a *Agent) findEndpoint(name string) (gatewayIndex, i int, ok bool) {
	local, domain, _ := strings.Cut(name, "@")
	gatewayIndex, ok = a.gatewayByName[strings.ToLower(domain)]
	if !ok {
		return 0, 0, false
	}
	term, number, hasNumber := strings.Cut(strings.ToLower(local), "/")
	if !hasNumber && term == "*" || hasNumber && (term == "aaln" || term == "*") && number == "*" {
		return gatewayIndex, -1, true
	}
	n, err := strconv.Atoi(number)
	if term != "aaln" || err != nil || n < 1 || n > a.gateways[gatewayIndex].Endpoints {
		return gatewayIndex, 0, false
	}
	return gatewayIndex, a.gateways[gatewayIndex].lineOffset + n - 1, true
}

func numberDigest(digits string) uint64 { return max(1, xxhash.Sum64String(digits)) }

func (a *Agent) callID(call *lineCall) string {
	return fmt.Sprintf("%X%08X", a.config.Incarnation, call.id)
}
