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
	"net/netip"
	"strings"

	"indigodrift/internal/gateways"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

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
	onConflict       func(mgcp.Message) // set while a response to an unknown transaction is handled
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
		if len(settings.Addresses) > 0 { // an earlier incarnation may have served it
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
