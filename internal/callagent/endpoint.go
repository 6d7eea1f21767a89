package callagent

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"indigodrift/internal/exchange"
	"indigodrift/internal/gateways"
	"indigodrift/policy"
)

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

// requestedEventLists holds the R parameters of the requested events, with the event names of RFC 3660.
var requestedEventLists = [...]string{
	DetectNothing: "",
	DetectOffHook: "L/hd(N)",
	DetectDigits:  "L/hu(N), L/hf(N), D/[0-9#*T](D)",
	DetectOnHook:  "L/hu(N), L/hf(N)",
}

// toneSignals holds the S parameters of the tones, with the signal names of RFC 3660. A connection ID follows a final @.
var toneSignals = [...]string{
	gateways.Silence:        "",
	gateways.DialTone:       "L/dl",
	gateways.Busy:           "L/bz",
	gateways.Congestion:     "G/cg",
	gateways.Reorder:        "L/ro",
	gateways.Ring:           "L/rg, G/rt@",
	gateways.OffHookWarning: "L/ot",
}

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

// numberOf returns the subscriber number of a line.
func (a *Agent) numberOf(i int) string {
	gateway := &a.gateways[a.lines[i].gateway]
	return exchange.LineNumber(a.config.OwnExchange, uint32(gateway.FirstLine+i-gateway.lineOffset))
}

// callID returns the MGCP call ID of a call.
func (a *Agent) callID(call *lineCall) string {
	return fmt.Sprintf("%X%08X", a.config.Incarnation, call.id)
}

// numberDigest returns a digest of a dialled number; it is never 0.
func numberDigest(digits string) uint64 { return max(1, xxhash.Sum64String(digits)) }
