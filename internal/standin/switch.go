// Package standin simulates the peers of a controller: switches with a processor and subscriber lines, the register,
// subscribers, gateways with phones, and a portability server. Faults show on their sockets, and what they see there goes
// into the audit log.
package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/m3ua"
)

// Processor describes the processor of a switch. Times of jobs hold for a warm processor without faults.
type Processor struct {
	SetUpTime, MessageTime time.Duration // time of a set-up, refused or not; time of an answer or a release
	MaxWait                time.Duration // set-ups that would wait longer are refused
	ReportInterval         time.Duration
	ReportNoise            float64 // relative error of reported waits
	InitialCapacity        float64
	RampTime               time.Duration
	OverloadMultiple       float64
	OverloadWindow         time.Duration
	WarmStart              bool // the first start is warm
}

// SwitchFaults are the present faults of a switch.
type SwitchFaults struct {
	Slowdown        float64 // factor; 1: normal speed
	OtherLoad       float64 // share of the processor taken by other work
	Hung            bool    // the processor does nothing
	AnswerLossRatio float64 // share of answers to other exchanges that are not sent
	ResetOnLoss     bool    // reset the link of a lost answer
	HalfOpen        bool    // links of other exchanges are read, but messages are dropped and none is sent
	MaxWriteSize    int     // octets per write; 0: no limit
}

// job is work of the processor.
type job struct {
	cost      time.Duration
	run       func(wait time.Duration)
	cancelled *bool // the set-up was released while it waited, and costs nothing; nil for other jobs
}

// setUpKey identifies a queued set-up by its sender and circuit.
type setUpKey struct {
	pointCode uint32
	cic       uint16
}

// peer is a connected controller or the subscribers.
type peer struct {
	conn      net.Conn
	pointCode uint32
	draining  bool // the own controller drains: it gets no more set-ups, but still what ends calls
	mu        sync.Mutex
	buf       []byte
}

// Switch simulates the switch of one exchange.
type Switch struct {
	Number        int
	processor     Processor
	log           *audit.Log
	listener      net.Listener
	mu            sync.Mutex
	random        *rand.Rand
	incarnation   int
	startTime     time.Time
	cold          bool
	running       bool
	draining      bool
	faults        SwitchFaults
	peers         map[uint32]*peer
	connections   map[net.Conn]bool // all open connections, also those that are no peer's any more
	priorityQueue []job
	setUpQueue    []job
	queuedWork    time.Duration // processing time of all queued jobs
	wake          chan struct{}
	stop          chan struct{}
	reportedWait  time.Duration // wait in the last report
	reportedAt    time.Time
	coldSetUps    []time.Time // recent set-ups while the switch is cold
	lostCircuits  map[uint32]map[uint16]bool
	busyCircuits  map[uint32]map[uint16]uint32 // by remote exchange and first circuit of a call: bit mask of the circuits in use
	lineCalls     map[uint16]isup.Reference    // by subscriber circuit
	queuedSetUps  map[setUpKey]*bool
	wg            sync.WaitGroup
}

// NewSwitch returns a switch that is switched off.
func NewSwitch(number int, processor Processor, seed uint64, log *audit.Log) *Switch {
	return &Switch{Number: number, processor: processor, log: log, random: rand.New(rand.NewPCG(seed, uint64(number))), faults: SwitchFaults{Slowdown: 1},
		lostCircuits: map[uint32]map[uint16]bool{}}
}

// Start switches the switch on. From the second start on it is cold.
func (s *Switch) Start(listen func() (net.Listener, error)) error {
	listener, err := listen()
	if err != nil {
		return fmt.Errorf("switch %d: %w", s.Number, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.listener, s.running, s.draining = listener, true, false
	s.startTime, s.cold = time.Now(), s.incarnation > 1 || !s.processor.WarmStart
	s.connections = map[net.Conn]bool{}
	s.peers, s.busyCircuits, s.lineCalls = map[uint32]*peer{}, map[uint32]map[uint16]uint32{}, map[uint16]isup.Reference{}
	s.queuedSetUps = map[setUpKey]*bool{}
	s.priorityQueue, s.setUpQueue, s.queuedWork, s.coldSetUps, s.reportedWait = nil, nil, 0, nil, 0
	s.wake, s.stop = make(chan struct{}, 1), make(chan struct{})
	cold := uint16(0)
	if s.cold {
		cold = 1
	}
	s.log.Add(audit.Event{Kind: audit.SwitchStarted, Site: s.Number, CIC: cold, Value: int64(float64(time.Second) / float64(s.processor.SetUpTime) * 1000)})
	s.wg.Go(func() { s.runProcessor(s.stop, s.wake) })
	s.wg.Go(func() { s.accept(listener) })
	return nil
}

// Stop switches the switch off. All connections and queued jobs are lost.
func (s *Switch) Stop() {
	s.mu.Lock()
	if s.running {
		s.running = false
		s.listener.Close()
		close(s.stop)
		for conn := range s.connections { // closing the peers' alone would wait forever for a connection that had drained
			conn.Close()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Status returns what the register sees of the switch.
func (s *Switch) Status() (incarnation int, uptime time.Duration, ready, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	uptime = time.Since(s.startTime)
	if !s.cold { // a warm switch has run for long before the day starts
		uptime += time.Hour
	}
	return s.incarnation, uptime, s.running && !s.draining, s.running && s.draining
}

// UpdateFaults changes the faults of the switch.
func (s *Switch) UpdateFaults(update func(faults *SwitchFaults)) {
	s.mu.Lock()
	update(&s.faults)
	s.mu.Unlock()
	s.wakeProcessor()
}

// SetDraining sets whether the switch reports that it drains.
func (s *Switch) SetDraining(draining bool) { s.mu.Lock(); s.draining = draining; s.mu.Unlock() }

// ResetLinks resets a share of the connections from other exchanges' controllers.
func (s *Switch) ResetLinks(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pointCode, remote := range s.peers {
		if pointCode < exchange.FirstSubscriberPoint && int(pointCode) != int(exchange.PointCode(s.Number)) && s.random.Float64() < share {
			resetConnection(remote.conn)
		}
	}
}

// resetConnection closes a connection with a TCP reset where the network has one.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// SetLostCircuits sets which circuits of the group to another exchange are out of service. Calls of that exchange on them
// are disconnected, and all others are back in service.
func (s *Switch) SetLostCircuits(to int, cics []uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pointCode := uint32(exchange.PointCode(to))
	for cic := range s.lostCircuits[pointCode] {
		s.sendToBothEnds(pointCode, isup.UBL, cic)
	}
	s.lostCircuits[pointCode] = map[uint16]bool{}
	for _, cic := range cics {
		s.lostCircuits[pointCode][cic] = true
		s.sendToBothEnds(pointCode, isup.BLO, cic)
		for firstCIC, bits := range s.busyCircuits[pointCode] {
			if firstCIC/32 == cic/32 && bits&(1<<(cic%32-1)) != 0 {
				s.disconnect(pointCode, firstCIC)
			}
		}
	}
}

// DisconnectCalls disconnects a share of the calls from other exchanges. The circuits stay in service.
func (s *Switch) DisconnectCalls(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pointCode, calls := range s.busyCircuits {
		for firstCIC := range calls {
			if s.random.Float64() < share {
				s.disconnect(pointCode, firstCIC)
			}
		}
	}
}

// disconnect releases a call from another exchange at both ends.
func (s *Switch) disconnect(pointCode uint32, firstCIC uint16) {
	s.log.Add(audit.Event{Kind: audit.TryResponse, Site: s.Number, Peer: int(pointCode) - 1, CIC: firstCIC, Value: int64(isup.REL)})
	s.sendToBothEnds(pointCode, isup.REL, firstCIC)
	delete(s.busyCircuits[pointCode], firstCIC)
}

// sendToBothEnds sends a message on a circuit to the own and the remote controller.
func (s *Switch) sendToBothEnds(pointCode uint32, messageType isup.Type, cic uint16) {
	own := uint32(exchange.PointCode(s.Number))
	message := isup.Message{CIC: cic, Type: messageType, Cause: isup.NetworkOutOfOrder, Location: isup.LocalNetwork}
	s.sendMessage(s.peers[pointCode], own, pointCode, message)
	s.sendMessage(s.peers[own], pointCode, own, message)
}

// BusyCircuits returns the number of circuits in use by calls from another exchange.
func (s *Switch) BusyCircuits(number int) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bits := range s.busyCircuits[uint32(exchange.PointCode(number))] {
		for ; bits != 0; bits &= bits - 1 {
			count++
		}
	}
	return count
}

// capacity returns the present speed of the processor relative to its full speed.
func (s *Switch) capacity() float64 {
	capacity := 1.0
	if age := time.Since(s.startTime); s.cold && age < s.processor.RampTime {
		capacity = s.processor.InitialCapacity + (1-s.processor.InitialCapacity)*float64(age)/float64(s.processor.RampTime)
	}
	return capacity / s.faults.Slowdown * (1 - s.faults.OtherLoad)
}

// runProcessor executes the queued jobs one by one, answers and releases first.
func (s *Switch) runProcessor(stop, wake chan struct{}) {
	freeAt := time.Now()
	for {
		s.mu.Lock()
		var next job
		queue := &s.priorityQueue
		if len(s.priorityQueue) == 0 {
			queue = &s.setUpQueue
		}
		if len(*queue) == 0 || s.faults.Hung {
			s.mu.Unlock()
			select {
			case <-stop:
				return
			case <-wake:
			}
			freeAt = maxTime(freeAt, time.Now())
			continue
		}
		next = (*queue)[0]
		*queue = (*queue)[1:]
		if next.cancelled != nil && *next.cancelled {
			s.queuedWork -= next.cost
			s.mu.Unlock()
			s.wakeProcessor()
			continue
		}
		duration := time.Duration(float64(next.cost) / s.capacity())
		s.mu.Unlock()
		freeAt = maxTime(freeAt, time.Now().Add(-2*time.Millisecond)).Add(duration) // catch up after an overlong sleep
		if d := time.Until(freeAt); d > 0 {
			select {
			case <-stop:
				return
			case <-time.After(d):
			}
		}
		s.mu.Lock()
		s.queuedWork -= next.cost
		next.run(time.Duration(float64(s.queuedWork) / s.capacity()))
		s.mu.Unlock()
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// enqueue queues a job. The caller holds the lock.
func (s *Switch) enqueue(isSetUp bool, cost time.Duration, run func(time.Duration)) {
	queue := &s.priorityQueue
	if isSetUp {
		queue = &s.setUpQueue
	}
	*queue = append(*queue, job{cost: cost, run: run})
	s.queuedWork += cost
	s.wakeProcessorLocked()
}

// enqueueSetUp queues a set-up for the own controller. A release cancels it while it waits.
func (s *Switch) enqueueSetUp(pointCode uint32, message isup.Message, arrived time.Time) {
	cancelled := new(bool)
	key := setUpKey{pointCode, message.CIC}
	s.queuedSetUps[key] = cancelled
	s.enqueue(true, s.processor.SetUpTime, func(time.Duration) {
		if s.queuedSetUps[key] == cancelled {
			delete(s.queuedSetUps, key)
		}
		s.sendToController(pointCode, message, arrived)
	})
	s.setUpQueue[len(s.setUpQueue)-1].cancelled = cancelled
}

// cancelSetUp cancels a queued set-up and reports whether there was one.
func (s *Switch) cancelSetUp(pointCode uint32, cic uint16) bool {
	cancelled := s.queuedSetUps[setUpKey{pointCode, cic}]
	if cancelled == nil {
		return false
	}
	*cancelled = true
	delete(s.queuedSetUps, setUpKey{pointCode, cic})
	return true
}

func (s *Switch) wakeProcessor() { s.mu.Lock(); s.wakeProcessorLocked(); s.mu.Unlock() }
func (s *Switch) wakeProcessorLocked() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Switch) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(conn) })
	}
}

// serve reads the messages of one connection.
func (s *Switch) serve(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.connections[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.connections, conn)
		s.mu.Unlock()
	}()
	frame, scratch, err := m3ua.Read(conn, nil)
	if err != nil || frame.Kind != m3ua.ASPUp {
		return
	}
	client := &peer{conn: conn, pointCode: frame.ASPID}
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.peers[client.pointCode] = client
	s.sendFrame(client, m3ua.Frame{Kind: m3ua.ASPUpAck, ASPID: uint32(exchange.PointCode(s.Number)), Info: fmt.Sprintf("life=%d clock=%d", s.incarnation, s.clock())})
	s.mu.Unlock()
	for err == nil {
		if frame, scratch, err = m3ua.Read(conn, scratch); err != nil {
			break
		}
		s.mu.Lock()
		switch {
		case s.faults.HalfOpen && client.pointCode < exchange.FirstSubscriberPoint && client.pointCode != uint32(exchange.PointCode(s.Number)):
			// Dropped, but recorded: otherwise the audit would take released route tries for open ones.
			if message, err := isup.Decode(frame.UserData); frame.Kind == m3ua.Data && err == nil && message.Type == isup.REL {
				s.log.Add(audit.Event{Kind: audit.TryReleased, Site: s.Number, Peer: int(client.pointCode) - 1, CIC: message.CIC})
			}
		case frame.Kind == m3ua.Heartbeat:
			s.sendFrame(client, m3ua.Frame{Kind: m3ua.HeartbeatAck, UserData: frame.UserData})
		case frame.Kind == m3ua.ASPDown:
			// Keep the peer: without it the releases of its callers would be lost, and it would answer calls that were abandoned.
			client.draining = true
		case frame.Kind == m3ua.Data:
			var message isup.Message
			if message, err = isup.Decode(frame.UserData); err == nil {
				s.handleMessage(client, frame.DPC, message)
			}
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	if s.peers[client.pointCode] == client {
		delete(s.peers, client.pointCode)
	}
	if client.pointCode == uint32(exchange.PointCode(s.Number)) {
		s.log.Add(audit.Event{Kind: audit.ControllerKilled, Site: s.Number})
	} else if client.pointCode < exchange.FirstSubscriberPoint {
		s.log.Add(audit.Event{Kind: audit.LinkLost, Site: s.Number, Peer: int(client.pointCode) - 1})
	}
	s.mu.Unlock()
}

// handleMessage queues a received message for the processor. The caller holds the lock.
func (s *Switch) handleMessage(sender *peer, destination uint32, message isup.Message) {
	own := uint32(exchange.PointCode(s.Number))
	remote := int(sender.pointCode) - 1
	switch {
	case sender.pointCode >= exchange.FirstSubscriberPoint: // a subscriber
		s.handleSubscriberMessage(sender, message, time.Now())
	case sender.pointCode != own: // another exchange's controller
		arrived := time.Now()
		switch message.Type {
		case isup.IAM:
			s.log.Add(audit.Event{Kind: audit.TryReceived, Site: s.Number, Peer: remote, Ref: message.Ref, CIC: message.CIC, Slots: message.Slots,
				Value: int64(message.UserInfo.TableVersion)<<16 | int64(message.UserInfo.Dest)})
			if s.failsFromOverload() {
				return
			}
			if s.refuseSetUp(sender, own, sender.pointCode, message) {
				return
			}
			bits := message.Slots
			if bits == 0 {
				bits = 1 << (message.CIC%32 - 1)
			}
			if s.busyCircuits[sender.pointCode] == nil {
				s.busyCircuits[sender.pointCode] = map[uint16]uint32{}
			}
			for firstCIC, heldBits := range s.busyCircuits[sender.pointCode] { // a restarted controller has dropped an earlier call without a release
				if firstCIC/32 == message.CIC/32 && heldBits&bits != 0 {
					delete(s.busyCircuits[sender.pointCode], firstCIC)
				}
			}
			s.busyCircuits[sender.pointCode][message.CIC] = bits
			s.enqueueSetUp(sender.pointCode, message, arrived)
			return
		case isup.REL:
			s.cancelSetUp(sender.pointCode, message.CIC)
			s.log.Add(audit.Event{Kind: audit.TryReleased, Site: s.Number, Peer: remote, CIC: message.CIC})
		case isup.RSC, isup.GRS:
			for cic := message.CIC; cic <= message.CIC+uint16(message.Range); cic++ {
				s.cancelSetUp(sender.pointCode, cic)
			}
			s.log.Add(audit.Event{Kind: audit.ResetReceived, Site: s.Number, Peer: remote, CIC: message.CIC, Value: int64(message.Range)})
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendToController(sender.pointCode, message, arrived) })
	case destination >= exchange.FirstCalledPoint: // own controller, to a line it calls
		reply := isup.Message{CIC: message.CIC, Type: isup.RLC}
		if message.Type == isup.IAM {
			reply.Type = isup.ANM
		} else if message.Type != isup.REL {
			return
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendMessage(s.peers[own], destination, own, reply) })
	case destination >= exchange.FirstSubscriberPoint: // own controller, to a subscriber
		if ref, ok := s.lineCalls[message.CIC]; ok && (message.Type == isup.ANM || message.Type == isup.REL) {
			s.log.Add(audit.Event{Kind: audit.CallResponse, Site: s.Number, Ref: ref, CIC: uint16(message.Type)})
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendMessage(s.peers[destination], own, destination, message) })
	default: // own controller, back to another exchange
		s.enqueue(false, s.processor.MessageTime, func(wait time.Duration) { s.sendBack(destination, message, wait) })
	}
}

func (s *Switch) handleSubscriberMessage(sender *peer, message isup.Message, arrived time.Time) {
	own := uint32(exchange.PointCode(s.Number))
	switch message.Type {
	case isup.IAM:
		if !s.refuseSetUp(sender, own, sender.pointCode, message) {
			s.enqueueSetUp(sender.pointCode, message, arrived)
		}
	case isup.REL:
		if s.cancelSetUp(sender.pointCode, message.CIC) {
			s.enqueue(false, s.processor.MessageTime, func(time.Duration) {
				s.sendMessage(sender, own, sender.pointCode, isup.Message{CIC: message.CIC, Type: isup.RLC})
			})
			return
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendToController(sender.pointCode, message, arrived) })
	}
}

// refuseSetUp refuses a set-up and returns true if there is no controller, the circuit is out of service, or the processor's
// queue is too long.
func (s *Switch) refuseSetUp(sender *peer, own, to uint32, message isup.Message) bool {
	refusal := isup.Message{CIC: message.CIC, Type: isup.REL, Cause: isup.Congestion, Location: isup.LocalNetwork}
	wait := time.Duration(float64(s.queuedWork) / s.capacity())
	switch {
	case s.peers[own] == nil || s.peers[own].draining:
		refusal.Cause = isup.OutOfOrder
	case s.lostCircuits[sender.pointCode][message.CIC]:
		refusal.Cause = isup.NoCircuit
	case wait > s.processor.MaxWait:
		refusal.UserInfo = isup.UserInfo{Present: isup.PartRetryAfter, RetryAfter: uint32(wait / (100 * time.Microsecond))}
	default:
		return false
	}
	s.enqueue(false, s.processor.SetUpTime/2, func(wait time.Duration) {
		if sender.pointCode < exchange.FirstSubscriberPoint {
			s.sendBack(to, refusal, wait)
		} else {
			s.sendMessage(sender, own, to, refusal)
		}
	})
	return true
}

// failsFromOverload reports whether the received set-up overloads a cold processor, and stops the switch then. The caller
// holds the lock.
func (s *Switch) failsFromOverload() bool {
	now := time.Now()
	if !s.cold || time.Since(s.startTime) > s.processor.RampTime {
		s.coldSetUps = nil
		return false
	}
	s.coldSetUps = append(s.coldSetUps, now)
	for now.Sub(s.coldSetUps[0]) > s.processor.OverloadWindow {
		s.coldSetUps = s.coldSetUps[1:]
	}
	warmSetUps := s.processor.OverloadWindow.Seconds() / s.processor.SetUpTime.Seconds()
	if maxSetUps := s.processor.OverloadMultiple * s.capacity() * warmSetUps; float64(len(s.coldSetUps)) <= maxSetUps*1.3+10 {
		return false
	}
	go s.Stop()
	return true
}

// sendToController passes a message on to the own controller, if it is connected.
func (s *Switch) sendToController(from uint32, message isup.Message, arrived time.Time) {
	own := uint32(exchange.PointCode(s.Number))
	controller := s.peers[own]
	if controller != nil && controller.draining && message.Type == isup.IAM { // queued before the controller reported that it drains
		controller = nil
	}
	if message.UserInfo.Present&isup.PartTimeLeft != 0 {
		waited := uint32(time.Since(arrived) / (100 * time.Microsecond))
		if message.UserInfo.TimeLeft <= waited { // the caller has abandoned
			return
		}
		message.UserInfo.TimeLeft -= waited
		message.UserInfo.SentAt = s.clock()
	}
	if controller != nil && from < exchange.FirstSubscriberPoint && message.Type == isup.IAM {
		s.log.Add(audit.Event{Kind: audit.SetUpDelivered, Site: s.Number, Peer: int(from) - 1, Ref: message.Ref, CIC: message.CIC, Slots: message.Slots})
	}
	if controller != nil && (message.Type == isup.RSC || message.Type == isup.GRS) {
		s.log.Add(audit.Event{Kind: audit.ResetDelivered, Site: s.Number, Peer: int(from) - 1, CIC: message.CIC, Value: int64(message.Range)})
	}
	if from >= exchange.FirstSubscriberPoint {
		switch {
		case message.Type == isup.IAM && controller != nil:
			s.lineCalls[message.CIC] = message.Ref
			dialled, _ := strconv.Atoi(message.Digits[:min(3, len(message.Digits))])
			s.log.Add(audit.Event{Kind: audit.CallOffered, Site: s.Number, Ref: message.Ref, Slots: uint32(dialled), Value: int64(message.UserInfo.TimeLeft) * 100})
		case message.Type == isup.REL:
			s.log.Add(audit.Event{Kind: audit.CallerReleased, Site: s.Number, Ref: s.lineCalls[message.CIC]})
		}
	}
	if controller == nil && from >= exchange.FirstSubscriberPoint && message.Type == isup.REL {
		s.sendMessage(s.peers[from], own, from, isup.Message{CIC: message.CIC, Type: isup.RLC})
	}
	s.sendMessage(controller, from, own, message)
}

// clock returns the time that stamps count with, in units of 100 µs.
func (s *Switch) clock() uint32 { return uint32(time.Since(s.startTime) / (100 * time.Microsecond)) }

// sendBack sends a message of the own controller, or a refusal of the switch itself, to the exchange that sent the call.
func (s *Switch) sendBack(to uint32, message isup.Message, wait time.Duration) {
	if time.Since(s.reportedAt) >= s.processor.ReportInterval {
		s.reportedWait, s.reportedAt = time.Duration(float64(wait)*(1+s.processor.ReportNoise*(2*s.random.Float64()-1))), time.Now()
	}
	message.UserInfo.Present |= isup.PartLoad
	message.UserInfo.Wait = uint32(s.reportedWait / (100 * time.Microsecond))
	message.UserInfo.HoldBack = uint16(min(900, max(0, (s.reportedWait-100*time.Millisecond)*1000/(2*time.Second))))
	remote := s.peers[to]
	if (message.Type == isup.ANM || message.Type == isup.REL) && remote != nil {
		if s.random.Float64() < s.faults.AnswerLossRatio {
			if s.faults.ResetOnLoss {
				resetConnection(remote.conn)
			}
			return
		}
		s.log.Add(audit.Event{Kind: audit.TryResponse, Site: s.Number, Peer: int(to) - 1, CIC: message.CIC, Value: int64(message.Type)})
	}
	switch message.Type {
	case isup.REL, isup.RLC:
		delete(s.busyCircuits[to], message.CIC)
	case isup.GRA:
		for cic := message.CIC; cic <= message.CIC+uint16(message.Range); cic++ {
			delete(s.busyCircuits[to], cic)
		}
	}
	s.sendMessage(remote, uint32(exchange.PointCode(s.Number)), to, message)
}

func (s *Switch) sendMessage(receiver *peer, from, to uint32, message isup.Message) {
	if receiver == nil {
		return
	}
	data, err := isup.Append(nil, message)
	if err != nil {
		return
	}
	s.sendFrame(receiver, m3ua.Frame{Kind: m3ua.Data, OPC: from, DPC: to, UserData: data})
}

// sendFrame writes a frame. The connection is closed if the peer does not read within the write timeout, so that the switch
// is not blocked.
func (s *Switch) sendFrame(receiver *peer, frame m3ua.Frame) {
	if s.faults.HalfOpen && receiver.pointCode < exchange.FirstSubscriberPoint && receiver.pointCode != uint32(exchange.PointCode(s.Number)) {
		return
	}
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	var err error
	if receiver.buf, err = m3ua.Append(receiver.buf[:0], frame); err != nil {
		return
	}
	receiver.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	size := len(receiver.buf)
	if s.faults.MaxWriteSize > 0 {
		size = s.faults.MaxWriteSize
	}
	for rest := receiver.buf; len(rest) > 0 && err == nil; {
		n := min(size, len(rest))
		_, err = receiver.conn.Write(rest[:n])
		rest = rest[n:]
	}
	if err != nil {
		receiver.conn.Close()
	}
}
