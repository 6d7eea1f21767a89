package callagent

import (
	"net/netip"

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
	Incarnation       uint32 // differs at each start of the process; call, transaction and request IDs start from it
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
	Log(text string)                           // logs an event
	CallFailed(line int, reason string)        // reports why a call of a line failed
}
