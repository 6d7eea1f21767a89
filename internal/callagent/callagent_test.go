package callagent

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/exchange"
	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/internal/seeded"
	"indigodrift/policy"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

const sessionDescription = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 0\r\n"

var gatewayAddress = netip.MustParseAddrPort("127.0.0.1:2427")

// simulatedPhone is an endpoint of a simulated gateway: its last notification request and its connections.
type simulatedPhone struct {
	offHook           bool
	requestID         string
	requested, signal string
	armed             bool // a notification request is active
	connections       map[string]bool
	quarantined       []string // events while no request is active (RFC 3435, quarantine)
}

// harness connects an agent to two simulated gateways and an exchange that answers at random.
type harness struct {
	t              *rapid.T
	agent          *Agent
	now            policy.Tenths
	random         *rand.Rand
	loss           float64
	phones         [][]simulatedPhone
	receivers      []*mgcp.Receiver
	senders        []*mgcp.Sender
	inFlight       []func()
	reorders       bool // some messages are delayed and overtaken by later ones
	delayed        map[policy.Tenths][]func()
	lastConnection int
	calls          map[circuitKey]string // offered to the exchange or by it: "asked", "ringing" (to a line) or "stands" (answered)
	ended          int
	started        int
}

// gatewayOutput is the mgcp.SenderOutput of a simulated gateway.
type gatewayOutput struct {
	harness *harness
	index   int
}

func (o gatewayOutput) Transmit(msg mgcp.Message, _ int) {
	o.harness.transmit(func() { o.harness.agent.HandleMessage(o.harness.now, gatewayAddress, msg, 0) })
}
func (o gatewayOutput) HandleOutcome(uint32, mgcp.Outcome, mgcp.Message) {}
func (o gatewayOutput) HandleConflict(uint32, int, mgcp.Message)         {}
func (h *harness) Log(string)                                            {}
func (h *harness) CallFailed(int, string)                                {}

// transmit sends a message over the simulated network, which may lose or delay it.
func (h *harness) transmit(deliver func()) {
	switch {
	case h.random.Float64() < h.loss:
	case h.reorders && h.random.Float64() < 0.2:
		at := h.now + 50*policy.Tenths(1+h.random.Int64N(400))
		h.delayed[at] = append(h.delayed[at], deliver)
	default:
		h.inFlight = append(h.inFlight, deliver)
	}
}

// Offer receives a message from the agent for the exchange.
func (h *harness) Offer(point, cic uint16, msg isup.Message) {
	circuit := circuitKey{point, cic}
	switch msg.Type {
	case isup.IAM:
		if h.calls[circuit] != "" {
			h.t.Fatalf("second call on circuit %v, where the first is %s", circuit, h.calls[circuit])
		}
		h.calls[circuit] = "asked"
		h.started++
	case isup.ANM:
		if h.calls[circuit] != "ringing" {
			h.t.Fatalf("answer on circuit %v, whose call is %q", circuit, h.calls[circuit])
		}
		h.calls[circuit] = "stands"
	case isup.REL:
		if h.calls[circuit] == "" {
			h.t.Fatalf("release on circuit %v without a call", circuit)
		}
		delete(h.calls, circuit)
		h.ended++
	}
}

// Send transmits a message from the agent to a gateway.
func (h *harness) Send(_ netip.AddrPort, msg mgcp.Message) {
	if _, err := mgcp.Append(nil, msg); err != nil {
		h.t.Fatalf("encode message: %v", err)
	}
	h.transmit(func() { h.receive(msg) })
}

// receive handles a message at a gateway.
func (h *harness) receive(msg mgcp.Message) {
	if msg.Verb == "" {
		for _, sender := range h.senders {
			sender.HandleResponse(h.now, msg)
		}
		return
	}
	local, domain, _ := strings.Cut(msg.Endpoint, "@")
	var gw, n int
	fmt.Sscanf(domain, "gw%d", &gw)
	execute, stored := h.receivers[gw].HandleCommand(h.now, msg)
	if stored != nil {
		reply := *stored
		h.transmit(func() { h.agent.HandleMessage(h.now, gatewayAddress, reply, 0) })
	}
	if !execute {
		return
	}
	reply := mgcp.Message{Transaction: msg.Transaction, Code: 200}
	phones := h.phones[gw]
	if local != "aaln/*" {
		fmt.Sscanf(local, "aaln/%d", &n)
		phones = phones[n-1 : n]
	}
	for i := range phones {
		if reply.Code < 300 {
			h.handleCommand(&phones[i], msg, &reply)
		}
	}
	response := h.receivers[gw].StoreResponse(h.now, reply)
	h.transmit(func() { h.agent.HandleMessage(h.now, gatewayAddress, response, 0) })
}

// handleCommand executes a command at one endpoint and completes the reply.
func (h *harness) handleCommand(phone *simulatedPhone, msg mgcp.Message, reply *mgcp.Message) {
	requestID, hasRequest := msg.Param("X")
	requested, _ := msg.Param("R")
	tone, _ := msg.Param("S")
	id, hasID := msg.Param("I")
	switch {
	case msg.Verb == mgcp.AuditEndpoint:
		state := "L/hu"
		if phone.offHook {
			state = "L/hd"
		}
		var ids []string
		for c := range phone.connections {
			ids = append(ids, c)
		}
		reply.Params = []mgcp.Param{{Name: "I", Value: strings.Join(ids, ",")}, {Name: "ES", Value: state}}
		return
	case hasRequest && phone.offHook && strings.Contains(requested, "L/hd"):
		reply.Code = mgcp.CodeOffHook
		return
	case hasRequest && !phone.offHook && strings.Contains(requested, "L/hu"):
		reply.Code = mgcp.CodeOnHook
		return
	case hasID && !phone.connections[id] && msg.Verb != mgcp.CreateConnection:
		reply.Code = mgcp.CodeUnknownConnection
		return
	case msg.Verb == mgcp.CreateConnection:
		if len(phone.connections) > 0 && !h.reorders {
			h.t.Fatalf("second connection at %s", msg.Endpoint)
		}
		h.lastConnection++
		id = fmt.Sprintf("%X", h.lastConnection)
		phone.connections[id] = true
		reply.Params, reply.Session = []mgcp.Param{{Name: "I", Value: id}}, []byte(sessionDescription)
	case msg.Verb == mgcp.DeleteConnection && hasID:
		delete(phone.connections, id)
	case msg.Verb == mgcp.DeleteConnection:
		clear(phone.connections)
	}
	if hasRequest {
		phone.requestID, phone.requested, phone.signal, phone.armed = requestID, requested, tone, true
		quarantined := phone.quarantined
		phone.quarantined = nil
		for _, event := range quarantined {
			h.reportEvent(phone, event)
		}
	}
}

// reportEvent notifies the agent of an event at a telephone, or quarantines it while no request is active.
func (h *harness) reportEvent(phone *simulatedPhone, event string) {
	wanted := strings.Contains(phone.requested, "D/") && strings.HasPrefix(event, "D/") || strings.Contains(phone.requested, event)
	switch {
	case !phone.armed:
		phone.quarantined = append(phone.quarantined, event)
	case wanted:
		phone.armed, phone.signal = false, ""
		for gw := range h.phones {
			for n := range h.phones[gw] {
				if &h.phones[gw][n] == phone {
					h.senders[gw].Send(h.now, mgcp.Message{Verb: mgcp.Notify, Endpoint: fmt.Sprintf("aaln/%d@gw%d", n+1, gw),
						Params: []mgcp.Param{{Name: "X", Value: phone.requestID}, {Name: "O", Value: event}}})
				}
			}
		}
	}
}

// advance runs the simulation for a duration and checks that the state of every line is consistent.
func (h *harness) advance(duration policy.Tenths) {
	for end := h.now + duration; h.now < end; {
		next := h.now + 50
		if len(h.inFlight)+len(h.delayed) == 0 { // no message in flight: skip to the next timer
			next = end
			if at, ok := h.agent.Next(); ok {
				next = min(next, at)
			}
			for _, sender := range h.senders {
				if at, ok := sender.Next(); ok {
					next = min(next, at)
				}
			}
		}
		h.now = max(next, h.now+1)
		deliveries := h.inFlight
		h.inFlight = nil
		for _, at := range slices.Sorted(maps.Keys(h.delayed)) {
			if at <= h.now {
				deliveries = append(deliveries, h.delayed[at]...)
				delete(h.delayed, at)
			}
		}
		for _, deliver := range deliveries {
			deliver()
		}
		for _, sender := range h.senders {
			if at, ok := sender.Next(); ok && at <= h.now {
				sender.Tick(h.now)
			}
		}
		if at, ok := h.agent.Next(); ok && at <= h.now {
			h.agent.Tick(h.now)
		}
	}
	outstanding := map[int]int{} // commands by line
	for _, command := range h.agent.outstanding {
		if command.kind == lineCommand {
			if outstanding[command.index]++; outstanding[command.index] > 1 {
				h.t.Fatalf("two outstanding commands for line %d", command.index)
			}
		}
	}
	for i := range h.agent.lines {
		line := &h.agent.lines[i]
		if (line.state == CreatingConnection || line.state == Calling || line.state == Talking || line.state == Incoming ||
			line.state == Ringing) != (line.call != nil) {
			h.t.Fatalf("line %d in state %v has call %v", i, line.state, line.call)
		}
		if (line.connection.mayExist() && line.uncertainCall == nil) != (line.applied.mode != NoMode) ||
			(line.connection == ConnectionUncertain) && line.uncertainCall == nil || h.agent.Counts.InvalidTransitions > 0 {
			h.t.Fatalf("line %d: connection %v, applied state %v, uncertain call %v, %d invalid transitions",
				i, line.connection, line.applied, line.uncertainCall, h.agent.Counts.InvalidTransitions)
		}
		if line.transactionID != 0 {
			if command, ok := h.agent.outstanding[line.transactionID]; !ok || command.kind != lineCommand || command.index != i {
				h.t.Fatalf("line %d waits for a command that is not outstanding", i)
			}
		}
	}
}

// newHarness returns an agent with two gateways of three endpoints each.
func newHarness(t *rapid.T, seed uint64) *harness {
	h := &harness{t: t, now: 1 << 30, random: rand.New(rand.NewPCG(seed, 3)), delayed: map[policy.Tenths][]func(){},
		calls: map[circuitKey]string{}}
	digitMap, _ := mgcp.ParseDigitMap("(xxx)")
	config := Config{OwnExchange: 4, PointCode: 5, Seed: seed, Incarnation: 7, DigitMap: digitMap, AbandonTimes: []policy.Tenths{90000},
		GoSTarget: 12000, MaxDialTime: 100000, MaxRingTime: 200000, MediaAddress: "127.0.0.1", RestartRate: 100, MaxQueuedRestarts: 10}
	ids := mgcp.NewTransactionIDs(1)
	for gw := range 2 {
		config.Gateways = append(config.Gateways, Gateway{Name: fmt.Sprintf("gw%d", gw), Addresses: []netip.AddrPort{gatewayAddress},
			Endpoints: 3, FirstLine: 10 * gw, Width: 1})
		h.phones = append(h.phones, make([]simulatedPhone, 3))
		for n := range h.phones[gw] {
			h.phones[gw][n].connections = map[string]bool{}
		}
		h.receivers = append(h.receivers, mgcp.NewReceiver())
		h.senders = append(h.senders, mgcp.NewSender(ids, seed+uint64(gw), gatewayOutput{h, gw}))
	}
	h.agent = New(config, h, h.now)
	return h
}

// sendFromExchange sends a message from the exchange to the agent.
func (h *harness) sendFromExchange(circuit circuitKey, msg isup.Message) {
	msg.CIC = circuit.cic
	if !h.agent.HandleISUP(circuit.point, circuit.cic, msg) {
		h.t.Fatalf("message on circuit %v is not for a line", circuit)
	}
	h.agent.ProcessQueue(h.now)
}

// mayExist reports whether the gateway has the connection, or may have it.
func (c ConnectionState) mayExist() bool {
	return c == ConnectionCreated || c == ConnectionModifying || c == ConnectionDeleting
}

// Guards against lines that get stuck after any sequence of actions of users, exchange, network and gateways. The state of every line
// is consistent after each step. In the end, with a good network and all telephones on hook, every line is idle, no connection is
// left and every call has ended exactly once.
func TestLinesReturnToIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, rapid.Uint64().Draw(t, "seed"))
		h.advance(20000)
		if n := h.agent.CountLines(Idle); n != 6 {
			t.Fatalf("%d of 6 lines are in service", n)
		}
		h.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		h.reorders = rapid.Bool().Draw(t, "mixed")
		lastCIC := uint16(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			gw, n := rapid.IntRange(0, 1).Draw(t, "gateway"), rapid.IntRange(0, 2).Draw(t, "phone")
			phone := &h.phones[gw][n]
			switch action := rapid.IntRange(0, 7).Draw(t, "what"); action {
			case 0, 1:
				if phone.offHook = !phone.offHook; phone.offHook {
					h.reportEvent(phone, "L/hd")
				} else {
					h.reportEvent(phone, "L/hu")
				}
			case 2:
				if phone.offHook {
					h.reportEvent(phone, "L/hf")
				}
			case 3:
				if phone.offHook {
					h.reportEvent(phone, rapid.SampledFrom([]string{"D/1, D/2, D/3", "D/1, D/T", "D/4, D/4, D/4"}).Draw(t, "digits"))
				}
			case 4, 5: // the exchange releases or answers a call
				for i := range h.agent.lines {
					call := h.agent.lines[i].call
					if call == nil || h.calls[call.circuit] == "" ||
						call.circuit.point < exchange.FirstCalledPoint && h.agent.lines[i].state == CreatingConnection {
						continue
					}
					circuit := call.circuit
					if action == 4 && h.calls[circuit] == "asked" && circuit.point < exchange.FirstCalledPoint {
						h.calls[circuit] = "stands"
						h.sendFromExchange(circuit, isup.Message{Type: isup.ANM,
							UserInfo: isup.UserInfo{Present: isup.PartSession, Session: sessionDescription}})
					} else if action == 5 {
						delete(h.calls, circuit)
						h.ended++
						h.sendFromExchange(circuit, isup.Message{Type: isup.REL, Cause: isup.UserBusy})
					}
					break
				}
			case 6: // a call to a line
				lastCIC++
				circuit := circuitKey{exchange.FirstCalledPoint, lastCIC}
				h.calls[circuit] = "ringing"
				h.started++
				h.sendFromExchange(circuit, isup.Message{Type: isup.IAM, Digits: exchange.LineNumber(4, uint32(10*gw+n)),
					UserInfo: isup.UserInfo{Present: isup.PartTimeLeft, TimeLeft: 50000}})
			case 7: // a gateway restarts
				for i := range h.phones[gw] {
					h.phones[gw][i] = simulatedPhone{connections: map[string]bool{}, offHook: h.phones[gw][i].offHook}
				}
				h.senders[gw].Send(h.now, mgcp.Message{Verb: mgcp.RestartInProgress, Endpoint: fmt.Sprintf("*@gw%d", gw),
					Params: []mgcp.Param{{Name: "RM", Value: "restart"}}})
			}
			h.advance(policy.Tenths(rapid.SampledFrom([]int{0, 50, 1000, 20000, 200000}).Draw(t, "gap")))
		}
		h.loss, h.reorders = 0, false
		for gw := range h.phones { // all telephones go on hook
			for n := range h.phones[gw] {
				if phone := &h.phones[gw][n]; phone.offHook {
					phone.offHook = false
					h.reportEvent(phone, "L/hu")
				}
			}
		}
		h.advance(1500000)
		for circuit, state := range h.calls {
			t.Fatalf("the call on circuit %v is still %s", circuit, state)
		}
		for gw := range h.phones {
			for n, phone := range h.phones[gw] {
				if line := h.agent.lines[gw*3+n]; len(phone.connections) > 0 || line.state != Idle ||
					!phone.armed || !strings.Contains(phone.requested, "L/hd") {
					t.Fatalf("phone %d at gateway %d: %+v, line %v", n, gw, phone, line.state)
				}
			}
		}
		if h.started != h.ended {
			t.Fatalf("%d calls started, %d ended", h.started, h.ended)
		}
	})
}

// Guards against joining a gateway only at its configured address after it moved to another one while the program was down.
func TestGatewayIsFollowedToNewAddress(t *testing.T) {
	digitMap, _ := mgcp.ParseDigitMap("(xxx)")
	newAddress := netip.MustParseAddrPort("127.0.0.1:3000")
	var sent []netip.AddrPort
	output := fakeOutput{send: func(to netip.AddrPort, _ mgcp.Message) { sent = append(sent, to) }}
	agent := New(Config{OwnExchange: 4, PointCode: 5, Incarnation: 7, DigitMap: digitMap, AbandonTimes: []policy.Tenths{90000},
		GoSTarget: 12000, RestartRate: 100, MaxQueuedRestarts: 10,
		Gateways: []Gateway{{Name: "gw", Addresses: []netip.AddrPort{gatewayAddress}, Endpoints: 1, Width: 1}}}, output, 1000)
	if len(sent) != 1 || sent[0] != gatewayAddress {
		t.Fatal(sent)
	}
	agent.HandleMessage(2000, newAddress, mgcp.Message{Verb: mgcp.Notify, Transaction: 5, Endpoint: "aaln/1@gw",
		Params: []mgcp.Param{{Name: "X", Value: "1"}, {Name: "O", Value: "L/hd"}}}, 0)
	if last := sent[len(sent)-1]; last != newAddress || len(sent) != 3 { // the response and the first command again
		t.Fatal(sent)
	}
}

// fakeOutput passes on the messages to gateways and ignores everything else.
type fakeOutput struct {
	send func(netip.AddrPort, mgcp.Message)
}

func (o fakeOutput) Send(to netip.AddrPort, msg mgcp.Message) { o.send(to, msg) }
func (o fakeOutput) Offer(uint16, uint16, isup.Message)       {}
func (o fakeOutput) Log(string)                               {}
func (o fakeOutput) CallFailed(int, string)                   {}

// Guards against states without a transition for an incoming call, which the exchange waits to have answered, or for the loss of the
// gateway.
func TestEveryStateHandlesCallAndLoss(t *testing.T) {
	for state := range stateCount {
		if transitions[state][incomingCall].action == nil || transitions[state][endpointLost].action == nil {
			t.Errorf("%v: no transition for an incoming call or the loss of the gateway", state)
		}
		for e, entry := range transitions[state] {
			if entry.action != nil && entry.next >= stateCount {
				t.Errorf("%v, %v: transition to an invalid state", state, event(e))
			}
		}
	}
}

func TestToneForCause(t *testing.T) {
	for cause, want := range map[isup.Cause]gateways.Tone{
		isup.UserBusy: gateways.Busy, isup.NoCircuit: gateways.Congestion, isup.TemporaryFailure: gateways.Reorder, 1: gateways.Reorder,
	} {
		if got, text := gateways.ToneFor(cause); got != want || text == "" {
			t.Errorf("cause %d: %v %q", cause, got, text)
		}
	}
}
