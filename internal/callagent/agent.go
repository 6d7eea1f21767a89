// Package callagent is the call agent of an exchange (RFC 3435). It brings MGCP gateways into service, tracks the telephones at
// their endpoints and passes calls between them and the exchange's call control. It does no I/O and reads no clock:
// internal/control passes it the time and the received messages, and implements Output.
//
// Each line is a small reconciler: it holds the desired state of its endpoint (requested events, tone, connection mode) and the
// state that the gateway has confirmed. reconcile sends the one command that brings the two closer, with at most one command
// outstanding for an endpoint. Lost responses, restarts and crossing events therefore need no special cases. The decisions that
// don't depend on a call (conflict resolution, delays, tones by cause) are in internal/gateways.
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

// Gateway holds the settings of one gateway. Its endpoints are aaln/1 to aaln/Endpoints at the domain Name. Their lines have
// consecutive numbers of this exchange.
type Gateway struct {
	Name        string           // domain of its endpoint names
	Addresses   []netip.AddrPort // the first is used until it stops answering; empty: learned from the first report
	Endpoints   int
	FirstLine   int // number of its first line within the exchange
	BearerIndex int // index of its bearer type in the settings
	Width       int // circuits per call
}

// Config holds the settings of an Agent.
type Config struct {
	OwnExchange       int
	PointCode         uint16
	Seed              uint64 // of the jitter of retransmissions
	Incarnation       uint32 // differs between starts of the process; call, transaction and request IDs start from it
	Gateways          []Gateway
	DigitMap          mgcp.DigitMap
	AbandonTimes      []policy.Tenths // by bearer type
	GoSTarget         policy.Tenths   // the tightest of all bearer types
	MaxDialTime       policy.Tenths   // until the number is complete
	MaxRingTime       policy.Tenths   // until the call is answered
	MediaAddress      string          // of the own switch, for calls over circuits
	NotifiedEntities  []string        // the call agents of the site, as gateways are to address them
	OwnEntityIndex    int             // index of this call agent in NotifiedEntities
	RestartRate       float64         // gateways brought into service per second
	MaxQueuedRestarts int             // restart reports that may wait for admission
}

// Output sends the agent's messages. Its methods must not call the agent.
type Output interface {
	Send(to netip.AddrPort, msg mgcp.Message)
	Offer(point, cic uint16, msg isup.Message) // passes a message from the line side to the exchange
	Note(text string)                          // logs an event
	CallFailed(line int, words string)         // reports why a call of a line failed
}

// RequestedEvents is the set of events that a gateway is asked to detect at an endpoint.
type RequestedEvents uint8

const (
	DetectNothing RequestedEvents = iota
	DetectOffHook
	DetectDigits // also on-hook and hook flash
	DetectOnHook // also hook flash
)

// Mode is the mode of a connection (RFC 3435, 3.2.2.6).
type Mode uint8

const (
	NoMode Mode = iota // no connection
	ReceiveOnly
	SendReceive
)

// String returns the mode as the M parameter has it.
func (m Mode) String() string { return [...]string{"", "recvonly", "sendrecv"}[m] }

// endpointState is a desired or applied state of an endpoint.
type endpointState struct {
	events RequestedEvents
	tone   gateways.Tone
	mode   Mode
}

// circuitKey identifies a call between the agent and the exchange by the circuit on the exchange's line side.
type circuitKey struct{ point, cic uint16 }

// lineCall is a call at a line.
type lineCall struct {
	id             uint32 // with the incarnation it makes the MGCP call ID
	connectionID   string // "" until the gateway has reported it
	localSession   string // session description of the gateway
	remoteSession  string // session description for the gateway to send to
	appliedSession string // remote session description that the gateway has confirmed
	pendingSession string // remote session description in the outstanding command
	digits         string
	deadline       policy.Tenths // end of the caller's abandon time, less the time to deliver the answer
	circuit        circuitKey
}

// lineRecord is the state of one line.
type lineRecord struct {
	state          State
	connection     ConnectionState
	desired        endpointState
	applied        endpointState // confirmed by the gateway
	pending        endpointState // applied once the outstanding command succeeds
	refusals       uint8         // transient errors in a row
	auditDue       bool          // audit the endpoint when no other command is needed
	lastFlags      uint8         // ISUP flags for a repeated call to lastNumber
	gateway        int32         // index of its gateway
	transactionID  uint32        // of the outstanding command, 0 for none
	requestID      uint32        // of the last notification request sent
	notifiedID     uint32        // request ID of the last notification received
	stateTimeoutAt policy.Tenths
	retryAt        policy.Tenths
	answerDeadline policy.Tenths // commands sent now are of use to the call until then
	lastNumber     uint64        // digest of the last number
	call           *lineCall
	connectedCall  *lineCall // its connection exists at the gateway
	pendingCall    *lineCall // whose connection the outstanding command creates or modifies
	uncertainCall  *lineCall // its CRCX was abandoned unanswered: the connection may exist
	auditAt        policy.Tenths
	orphaned       []string // connections without a call, to be deleted
}

// gatewayRecord is the state of one gateway.
type gatewayRecord struct {
	Gateway
	lineOffset     int // index of its first line in Agent.lines
	currentAddress int // index into Addresses, modulo their number
	presence       gateways.Presence
	sender         *mgcp.Sender
	receiver       *mgcp.Receiver
	joinStep       joinStep
	transactionID  uint32         // of the outstanding command for all endpoints, 0 for none
	queuedReports  []queuedReport // restart reports to answer on admission
	suspect        bool           // commands have been retransmitted often without a response
	timerAt        policy.Tenths
	auditAt        policy.Tenths
	nextAudit      int // endpoint to audit next
}

// queuedReport is a restart report that is answered when its gateway is admitted.
type queuedReport struct {
	message mgcp.Message
	from    netip.AddrPort
}

// timerKind tells what a timer is for.
type timerKind uint8

const (
	lineTimer timerKind = iota
	gatewayTimer
	admissionTimer
)

// timer is an entry of the timer heap. It is ignored if its owner has been rescheduled to another time since.
type timer struct {
	at    policy.Tenths
	kind  timerKind
	index int // of the line or the gateway
}

// timerHeap implements heap.Interface by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any          { n := len(*h) - 1; x := (*h)[n]; *h = (*h)[:n]; return x }

// queuedISUP is a message from the exchange that has not been handled yet.
type queuedISUP struct {
	circuit circuitKey
	message isup.Message
}

// commandKind tells what a command is addressed to.
type commandKind uint8

const (
	lineCommand    commandKind = iota
	gatewayCommand             // to all endpoints of a gateway while it joins
	probeCommand               // checks whether a gateway answers
)

// outstandingCommand is a command that has not been answered.
type outstandingCommand struct {
	kind   commandKind
	index  int // of the line or the gateway
	verb   mgcp.Verb
	sentAt policy.Tenths
}

// Counts holds counters of calls, gateways and messages.
type Counts struct {
	Dialled, Answered, Refused, Failed, Rung, Rejected                          int
	Joined, Lost, OrphanedConnections, ConflictingResponses, StaleNotifications int
	InvalidTransitions                                                          int // of connection states, a fault in the program
	IncompleteMessages                                                          int // truncated messages
	DatagramsSent                                                               int
}

const (
	maxToneTime          = policy.Tenths(300000) // then the off-hook warning replaces the tone
	lateAnswerMargin     = 500                   // tenths of a millisecond from a call's deadline to its release if unanswered
	auditInterval        = policy.Tenths(300000) // one endpoint of each gateway is audited at this interval
	auditDelay           = policy.Tenths(100000) // from deleting a connection, or the reset of a busy endpoint, to an audit of the endpoint
	firstGatewayIdentity = 1 << 23               // references of gateway calls lie above those that the switch assigns
	identityMask         = firstGatewayIdentity - 1
	maxRefusals          = 6 // transient errors in a row before a command counts as failed
	maxAddresses         = 4 // of one gateway
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
	onConflict       func(mgcp.Message) // set while a response of an unknown transaction is handled
	lineByCircuit    map[circuitKey]int // calls from the exchange to lines
	queue            []queuedISUP
	outstanding      map[uint32]outstandingCommand
	timers           timerHeap
	transactionIDs   *mgcp.TransactionIDs
	lastCallID       uint32
	lastRequestID    uint32
	lastIdentity     uint32
	admissionAt      policy.Tenths
	restarts         *gateways.RestartLimiter
	callDelay        policy.Tenths // how long the message being handled waited in the queue
	processing       bool          // guards processQueue against recursion

	Counts           Counts
	UnexpectedEvents [stateCount][eventCount]int
}

// New returns an agent. It starts at once to bring the gateways whose addresses are configured into service, at RestartRate.
func New(config Config, output Output, now policy.Tenths) *Agent {
	a := &Agent{
		config:           config,
		output:           output,
		now:              now,
		gatewayByName:    map[string]int{},
		lineByNumber:     map[int]int{},
		gatewayByAddress: map[netip.AddrPort]int{},
		lineByCircuit:    map[circuitKey]int{},
		outstanding:      map[uint32]outstandingCommand{},
		transactionIDs:   mgcp.NewTransactionIDs(config.Incarnation * 7919),
		lastRequestID:    config.Incarnation << 12,
		lastIdentity:     config.Incarnation & identityMask,
		restarts: gateways.NewRestartLimiter(gateways.Limits{
			Rate:      config.RestartRate,
			MaxQueued: max(config.MaxQueuedRestarts, len(config.Gateways)),
			GoSTarget: config.GoSTarget,
		}, now),
	}
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
		if len(settings.Addresses) > 0 { // an earlier process may have served it
			a.admit(i)
		}
	}
	return a
}

// Next returns the time at which Tick must be called next; false if no timer is set.
func (a *Agent) Next() (policy.Tenths, bool) {
	if len(a.timers) == 0 {
		return 0, false
	}
	return a.timers[0].at, true
}

// schedule sets a timer.
func (a *Agent) schedule(at policy.Tenths, kind timerKind, index int) {
	heap.Push(&a.timers, timer{at, kind, index})
}

// Tick runs the timers that have expired.
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

// SetCallDelay sets how long the messages being handled waited in the queue. Admission of gateways and of new calls depends on it.
func (a *Agent) SetCallDelay(now, callDelay policy.Tenths) {
	a.callDelay = callDelay
	a.restarts.SetCallDelay(now, callDelay)
}

// CountLines returns the number of lines in a state.
func (a *Agent) CountLines(state State) (n int) {
	for i := range a.lines {
		if a.lines[i].state == state {
			n++
		}
	}
	return n
}

// LinesAwaitingResponse returns the number of lines whose gateway has not answered a command that is still of use to a call. If the
// process ended now and the network lost the command, the caller would not get the answer.
func (a *Agent) LinesAwaitingResponse(now policy.Tenths) (n int) {
	for i := range a.lines {
		if line := &a.lines[i]; line.transactionID != 0 && now < line.answerDeadline {
			n++
		}
	}
	return n
}

// HandleISUP queues a message that the exchange sends to its line side, and reports whether it is for a line at a gateway.
// ProcessQueue must follow.
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

// HasCircuit reports whether a circuit of the exchange's line side belongs to a line at a gateway.
func (a *Agent) HasCircuit(point, cic uint16) bool {
	_, found := a.lineByCircuit[circuitKey{point, cic}]
	return found || point >= exchange.FirstGatewayPoint && point < exchange.FirstCalledPoint
}

// ProcessQueue handles the messages queued by HandleISUP.
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
		if !incoming { // a call from a line: the circuit is that of the line
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

// sendToExchange passes a message from a line to the exchange.
func (a *Agent) sendToExchange(circuit circuitKey, msg isup.Message) {
	if msg.Type == isup.REL {
		delete(a.lineByCircuit, circuit)
	}
	msg.CIC = circuit.cic
	a.output.Offer(circuit.point, circuit.cic, msg)
}

// pointOf and cicOf return the circuit of calls from a line, and numberOf its number.
func (a *Agent) pointOf(i int) uint16 { return exchange.FirstGatewayPoint + uint16(i>>12) }
func (a *Agent) cicOf(i int) uint16   { return uint16(i & isup.MaxCIC) }

func (a *Agent) numberOf(i int) string {
	gateway := &a.gateways[a.lines[i].gateway]
	return exchange.LineNumber(a.config.OwnExchange, uint32(gateway.FirstLine+i-gateway.lineOffset))
}

// endpointName returns the MGCP name of a line's endpoint.
func (a *Agent) endpointName(i int) string {
	gateway := &a.gateways[a.lines[i].gateway]
	return "aaln/" + strconv.Itoa(i-gateway.lineOffset+1) + "@" + gateway.Name
}

// findEndpoint returns the gateway and the line of an endpoint name; i is -1 for all endpoints of the gateway.
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

// numberDigest returns a digest of a dialled number; it is never 0.
func numberDigest(digits string) uint64 { return max(1, xxhash.Sum64String(digits)) }

// callID returns the MGCP call ID of a call.
func (a *Agent) callID(call *lineCall) string {
	return fmt.Sprintf("%X%08X", a.config.Incarnation, call.id)
}
