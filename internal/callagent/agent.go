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
	Name      string           // domain of its endpoints' names
	Addresses []netip.AddrPort // the first is used until it does not answer; none: known once it reports
	Endpoints int
	FirstLine int
	Bearer    int // row of the bearer types
	Width     int
}

// Site is what the agent of one exchange is told.
type Site struct {
	Own      int
	Point    uint16
	Seed     uint64
	Life     uint32 // no two starts of the program have the same: call ids, transactions and requests count from it
	Gateways []Gateway
	Map      mgcp.DigitMap
	Abandon  []policy.Tenths // of each bearer type
	GoS      policy.Tenths   // the tightest target
	DialMost policy.Tenths   // until the digits are there
	RingMost policy.Tenths   // until somebody picks up
	Media    string          // where the own switch takes media for calls that leave by circuits
	Notified []string        // the site's call agents, as gateways are to name them
	Self     int             // which of them this is
	Rate     float64         // gateways a second that may be brought into service
	Queue    int             // reports that may wait for it
}

// Carrier carries out what the agent asks. Its methods must not call back.
type Carrier interface {
	Send(to netip.AddrPort, m mgcp.Message)
	Offer(point, cic uint16, m isup.Message) // to the exchange, from the line side
	Note(text string)
	Told(line int, words string) // why a call of a line came to nothing
}

// Hear is what a gateway listens for at an endpoint, Mode what its connection does.
type Hear uint8

const (
	HearNothing Hear = iota
	HearLift
	HearDigits
	HearHang
)

// Mode of a connection (RFC 3435, 3.2.2.6).
type Mode uint8

const (
	NoMedia Mode = iota // there is no connection
	Receive
	Both
)

func (m Mode) String() string { return [...]string{"", "recvonly", "sendrecv"}[m] }

type wish struct {
	hear Hear
	tone gateways.Tone
	mode Mode
}

// place is where a call stands between the agent and the exchange: a circuit of a block of lines.
type place struct{ point, cic uint16 }

// talk is one call at one line.
type talk struct {
	call    uint32 // its id is this and the agent's life
	conn    string // connection id, "" not known
	local   string // session descriptions
	remote  string
	told    string // the remote one that the gateway has
	sending string // and the one on its way there
	digits  string
	leaves  policy.Tenths
	hop     place
}

type line struct {
	state    State
	conn     Connection
	want     wish
	has      wish
	sent     wish // what the command that is out asks for
	refusals uint8
	audit    bool  // ask what it holds, once nothing else is to be done
	lastMark uint8 // what a call to the last number is to be marked with
	gw       int32
	out      uint32 // transaction that is out, 0 none
	request  uint32 // id of the last notification request sent, and of the last one that was heard of
	heard    uint32
	guard    policy.Tenths
	retryAt  policy.Tenths
	by       policy.Tenths // what is sent now is of use to a call until then
	last     uint64        // digest of the last number
	talk     *talk
	held     *talk // whose connection the gateway holds
	sentTalk *talk
	unsure   *talk // a command to make its connection was given up: it may be there
	auditAt  policy.Tenths
	left     []string // connections of no call, to be deleted
}

type gateway struct {
	Gateway
	first    int // index of its first line
	at       int // which of its addresses is in use
	presence gateways.Presence
	sender   *mgcp.Sender
	receiver *mgcp.Receiver
	step     joinStep
	out      uint32 // transaction for all its endpoints
	waiting  []report
	suspect  bool // commands are repeated without an answer
	dueAt    policy.Tenths
	auditAt  policy.Tenths
	next     int // line to be audited next
}

// report is one that is answered when its gateway's turn comes.
type report struct {
	m    mgcp.Message
	from netip.AddrPort
}

type dueKind uint8

const (
	dueLine dueKind = iota
	dueGateway
	dueDoor
)

type due struct {
	at   policy.Tenths
	kind dueKind
	n    int
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any          { n := len(*d) - 1; x := (*d)[n]; *d = (*d)[:n]; return x }

type told struct {
	hop place
	m   isup.Message
}

type outKind uint8

const (
	outLine outKind = iota
	outGateway
	outProbe
)

type pending struct {
	kind outKind
	n    int // line, or gateway
	verb mgcp.Verb
	at   policy.Tenths
}

// Counts of what came of calls and gateways.
type Counts struct {
	Dialled, Stood, Refused, Failed, Rung, TurnedAway int
	Joined, Lost, Leftovers, Contradictions, Stale    int
	Faults                                            int // moves that no table has
	Incomplete                                        int // messages cut short
	Sent                                              int // datagrams
}

const (
	toneMost      = policy.Tenths(300000) // a tone is given for so long, then the off-hook warning
	lateAnswer    = 500                   // tenths after a caller's time at which a call that the exchange never answered is given up
	auditEvery    = policy.Tenths(300000) // a line of each gateway is audited so often, whatever it does
	settled       = policy.Tenths(100000) // and each so long after a connection was deleted
	identityFirst = 1 << 23               // calls from lines at gateways: references above those that the switch gives
	identityMost  = identityFirst - 1
	refusalsMost  = 6
	addressesMost = 4
	allEndpoints  = "aaln/*"
)

// Agent is the call agent of one exchange.
type Agent struct {
	site      Site
	out       Carrier
	now       policy.Tenths
	gws       []gateway
	lines     []line
	byName    map[string]int
	byNumber  map[int]int
	byAddress map[netip.AddrPort]int
	contrary  func(mgcp.Message) // takes a second answer that differs, while responses are read
	taken     map[place]int      // calls of the exchange to lines
	queue     []told
	outs      map[uint32]pending
	timers    dues
	ids       *mgcp.IDs
	nextCall  uint32
	nextReq   uint32
	identity  uint32
	doorAt    policy.Tenths
	door      *gateways.Restarts
	waits     policy.Tenths // how long what is read now has waited
	settling  bool

	Counts     Counts
	Unexpected [states][events]int
}

// New makes the agent; Tick at once brings the gateways whose addresses are known into service, at the door's pace.
func New(site Site, out Carrier, now policy.Tenths) *Agent {
	a := &Agent{site: site, out: out, now: now, byName: map[string]int{}, byNumber: map[int]int{}, byAddress: map[netip.AddrPort]int{}, taken: map[place]int{}, outs: map[uint32]pending{},
		ids: mgcp.NewIDs(site.Life * 7919), nextReq: site.Life << 12, identity: site.Life & identityMost,
		door: gateways.NewRestarts(gateways.Limits{Rate: site.Rate, Queue: max(site.Queue, len(site.Gateways)), GoS: site.GoS}, now)}
	for i, g := range site.Gateways {
		gw := gateway{Gateway: g, first: len(a.lines), receiver: mgcp.NewReceiver()}
		gw.sender = mgcp.NewSender(a.ids, site.Seed+uint64(i), (*ends)(a))
		a.byName[strings.ToLower(g.Name)] = i
		a.gws = append(a.gws, gw)
		for _, from := range g.Addresses {
			a.byAddress[from] = i
		}
		for n := range g.Endpoints {
			a.byNumber[g.FirstLine+n] = len(a.lines)
			a.lines = append(a.lines, line{gw: int32(i)})
		}
		if len(g.Addresses) > 0 { // it may have been served by an earlier life of this program
			a.enter(i)
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

func (a *Agent) at(at policy.Tenths, kind dueKind, n int) { heap.Push(&a.timers, due{at, kind, n}) }

// Tick does what has fallen due.
func (a *Agent) Tick(now policy.Tenths) {
	a.now = now
	for len(a.timers) > 0 && a.timers[0].at <= now {
		d := heap.Pop(&a.timers).(due)
		switch d.kind {
		case dueLine:
			l := &a.lines[d.n]
			if l.guard == d.at {
				l.guard = 0
				a.happen(d.n, expired, input{})
			}
			if l.auditAt == d.at {
				l.auditAt, l.audit = 0, true
				a.push(d.n)
			}
			if l.retryAt == d.at {
				l.retryAt = 0
				a.again(d.n)
			}
		case dueGateway:
			if g := &a.gws[d.n]; g.dueAt == d.at {
				g.dueAt = 0
				g.sender.Tick(now)
				a.look(d.n)
			}
		case dueDoor:
			if a.doorAt == d.at {
				a.doorAt = 0
				for _, gw := range a.door.Tick(now) {
					a.join(int(gw))
				}
				a.watchDoor()
			}
		}
		a.settle()
	}
}

// Waits tells how long what the program reads now has waited; the door follows it.
func (a *Agent) Waits(now, wait policy.Tenths) {
	a.waits = wait
	a.door.CallsWait(now, wait)
}

// Lines counts the lines in a state.
func (a *Agent) Lines(s State) (n int) {
	for i := range a.lines {
		if a.lines[i].state == s {
			n++
		}
	}
	return n
}

// Telling counts the lines whose gateway has not answered a command that is still of use to a call: a program that ended now would
// leave callers without their answer where the network lost it.
func (a *Agent) Telling(now policy.Tenths) (n int) {
	for i := range a.lines {
		if l := &a.lines[i]; l.out != 0 && now < l.by {
			n++
		}
	}
	return n
}

// Hear takes what the exchange sends to its line side, and tells whether it is for a line at a gateway. It only notes it; Settle
// follows.
func (a *Agent) Hear(point, cic uint16, m isup.Message) bool {
	p := place{point, cic}
	if point >= exchange.FirstGatewayPoint && point < exchange.FirstCalledPoint {
		a.queue = append(a.queue, told{p, m})
		return true
	}
	if _, ours := a.taken[p]; ours {
		a.queue = append(a.queue, told{p, m})
		return true
	}
	if m.Type != isup.IAM {
		return false
	}
	number, err := strconv.Atoi(m.Digits)
	if err != nil || number/1000000 != a.site.Own {
		return false
	}
	i, ours := a.byNumber[number%1000000]
	if ours {
		a.taken[p] = i
		a.queue = append(a.queue, told{p, m})
	}
	return ours
}

// Takes tells whether a circuit of a block of lines is a call at one of its lines.
func (a *Agent) Takes(point, cic uint16) bool {
	_, ours := a.taken[place{point, cic}]
	return ours || point >= exchange.FirstGatewayPoint && point < exchange.FirstCalledPoint
}

// Settle does what follows from what the exchange sent.
func (a *Agent) Settle(now policy.Tenths) {
	a.now = now
	a.settle()
}

func (a *Agent) settle() {
	if a.settling {
		return
	}
	a.settling = true
	defer func() { a.settling = false }()
	for len(a.queue) > 0 {
		t := a.queue[0]
		a.queue = a.queue[1:]
		i, toLine := a.taken[t.hop]
		if !toLine {
			i = int(t.hop.point-exchange.FirstGatewayPoint)<<12 + int(t.hop.cic)
		}
		if i >= len(a.lines) {
			continue
		}
		k := a.lines[i].talk
		switch t.m.Type {
		case isup.IAM:
			if a.gws[a.lines[i].gw].suspect || a.gws[a.lines[i].gw].presence.Standing() != gateways.Serving {
				a.toExchange(t.hop, isup.Message{Type: isup.REL, Cause: isup.OutOfOrder, Location: isup.User})
				continue
			}
			a.happen(i, called, input{hop: t.hop, m: t.m})
		case isup.ANM:
			if k != nil && k.hop == t.hop {
				a.happen(i, answered, input{m: t.m})
			}
		case isup.REL:
			if toLine {
				delete(a.taken, t.hop)
			}
			if k != nil && k.hop == t.hop {
				a.happen(i, released, input{m: t.m})
			}
		}
	}
}

// toExchange passes a message of a line's on.
func (a *Agent) toExchange(hop place, m isup.Message) {
	if m.Type == isup.REL {
		delete(a.taken, hop)
	}
	m.CIC = hop.cic
	a.out.Offer(hop.point, hop.cic, m)
}

func (a *Agent) pointOf(i int) uint16 { return exchange.FirstGatewayPoint + uint16(i>>12) }
func (a *Agent) cicOf(i int) uint16   { return uint16(i & isup.MaxCIC) }

func (a *Agent) numberOf(i int) string {
	g := &a.gws[a.lines[i].gw]
	return exchange.LineNumber(a.site.Own, uint32(g.FirstLine+i-g.first))
}

// endpoint is the name of a line; find the line of a name, -1 for all of a gateway's, and whether there is such a one.
func (a *Agent) endpoint(i int) string {
	g := &a.gws[a.lines[i].gw]
	return "aaln/" + strconv.Itoa(i-g.first+1) + "@" + g.Name
}

func (a *Agent) find(name string) (gw, i int, ok bool) {
	local, domain, _ := strings.Cut(name, "@")
	gw, ok = a.byName[strings.ToLower(domain)]
	if !ok {
		return 0, 0, false
	}
	term, number, two := strings.Cut(strings.ToLower(local), "/")
	if !two && term == "*" || two && (term == "aaln" || term == "*") && number == "*" {
		return gw, -1, true
	}
	n, err := strconv.Atoi(number)
	if term != "aaln" || err != nil || n < 1 || n > a.gws[gw].Endpoints {
		return gw, 0, false
	}
	return gw, a.gws[gw].first + n - 1, true
}

func numberDigest(digits string) uint64 { return max(1, xxhash.Sum64String(digits)) }

func (a *Agent) callID(k *talk) string { return fmt.Sprintf("%X%08X", a.site.Life, k.call) }
