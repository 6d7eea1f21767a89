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
func NewSwitch(number int, work Processor, seed uint64, log *audit.Log) *Switch {
	return &Switch{Number: number, processor: work, log: log, random: rand.New(rand.NewPCG(seed, uint64(number))), faults: SwitchFaults{Slowdown: 1},
		lostCircuits: map[uint32]map[uint16]bool{}}
}

// Start switches the switch on. From the second start on it is cold.
func (s *Switch) Start(listen func() (net.Listener, error)) error {
	ln, err := listen()
	if err != nil {
		return fmt.Errorf("switch %d: %w", s.Number, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.listener, s.running, s.draining = ln, true, false
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
	s.wg.Go(func() { s.accept(ln) })
	return nil
}

// Stop switches the switch off. All connections and queued jobs are lost.
func (s *Switch) Stop() {
	s.mu.Lock()
	if s.running {
		s.running = false
		s.listener.Close()
		close(s.stop)
		for c := range s.connections { // closing the peers' alone would wait forever for a connection that had drained
			c.Close()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Status returns what the register sees of the switch.
func (s *Switch) Status() (life int, up time.Duration, ready, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up = time.Since(s.startTime)
	if !s.cold { // a warm switch has run for long before the day starts
		up += time.Hour
	}
	return s.incarnation, up, s.running && !s.draining, s.running && s.draining
}

// UpdateFaults changes the faults of the switch.
func (s *Switch) UpdateFaults(change func(d *SwitchFaults)) {
	s.mu.Lock()
	change(&s.faults)
	s.mu.Unlock()
	s.wakeProcessor()
}

// SetDraining sets whether the switch reports that it drains.
func (s *Switch) SetDraining(on bool) { s.mu.Lock(); s.draining = on; s.mu.Unlock() }

// ResetLinks resets a share of the connections from other exchanges' controllers.
func (s *Switch) ResetLinks(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for point, p := range s.peers {
		if point < exchange.FirstSubscriberPoint && int(point) != int(exchange.PointCode(s.Number)) && s.random.Float64() < share {
			resetConnection(p.conn)
		}
	}
}

// resetConnection closes a connection with a TCP reset where the network has one.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// SetLostCircuits sets which circuits of the group to another exchange are out of service. Calls of that exchange on them
// are disconnected, and all others are back in service.
func (s *Switch) SetLostCircuits(to int, cics []uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	point := uint32(exchange.PointCode(to))
	for cic := range s.lostCircuits[point] {
		s.sendToBothEnds(point, isup.UBL, cic)
	}
	s.lostCircuits[point] = map[uint16]bool{}
	for _, cic := range cics {
		s.lostCircuits[point][cic] = true
		s.sendToBothEnds(point, isup.BLO, cic)
		for lead, bits := range s.busyCircuits[point] {
			if lead/32 == cic/32 && bits&(1<<(cic%32-1)) != 0 {
				s.disconnect(point, lead)
			}
		}
	}
}

// DisconnectCalls disconnects a share of the calls from other exchanges. The circuits stay in service.
func (s *Switch) DisconnectCalls(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for point, calls := range s.busyCircuits {
		for lead := range calls {
			if s.random.Float64() < share {
				s.disconnect(point, lead)
			}
		}
	}
}

func (s *Switch) disconnect(point uint32, lead uint16) {
	s.log.Add(audit.Event{Kind: audit.TryResponse, Site: s.Number, Peer: int(point) - 1, CIC: lead, Value: int64(isup.REL)})
	s.sendToBothEnds(point, isup.REL, lead)
	delete(s.busyCircuits[point], lead)
}

func (s *Switch) sendToBothEnds(point uint32, t isup.Type, cic uint16) {
	own := uint32(exchange.PointCode(s.Number))
	m := isup.Message{CIC: cic, Type: t, Cause: isup.NetworkOutOfOrder, Location: isup.LocalNetwork}
	s.sendMessage(s.peers[point], own, point, m)
	s.sendMessage(s.peers[own], point, own, m)
}

// BusyCircuits returns the number of circuits in use by calls from another exchange.
func (s *Switch) BusyCircuits(of int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bits := range s.busyCircuits[uint32(exchange.PointCode(of))] {
		for ; bits != 0; bits &= bits - 1 {
			n++
		}
	}
	return n
}

// capacity returns the present speed of the processor relative to its full speed.
func (s *Switch) capacity() float64 {
	v := 1.0
	if age := time.Since(s.startTime); s.cold && age < s.processor.RampTime {
		v = s.processor.InitialCapacity + (1-s.processor.InitialCapacity)*float64(age)/float64(s.processor.RampTime)
	}
	return v / s.faults.Slowdown * (1 - s.faults.OtherLoad)
}

// runProcessor executes the queued jobs one by one, answers and releases first.
func (s *Switch) runProcessor(stop, kick chan struct{}) {
	free := time.Now()
	for {
		s.mu.Lock()
		var j job
		queue := &s.priorityQueue
		if len(s.priorityQueue) == 0 {
			queue = &s.setUpQueue
		}
		if len(*queue) == 0 || s.faults.Hung {
			s.mu.Unlock()
			select {
			case <-stop:
				return
			case <-kick:
			}
			free = maxTime(free, time.Now())
			continue
		}
		j = (*queue)[0]
		*queue = (*queue)[1:]
		if j.cancelled != nil && *j.cancelled {
			s.queuedWork -= j.cost
			s.mu.Unlock()
			s.wakeProcessor()
			continue
		}
		took := time.Duration(float64(j.cost) / s.capacity())
		s.mu.Unlock()
		free = maxTime(free, time.Now().Add(-2*time.Millisecond)).Add(took) // catch up after an overlong sleep
		if d := time.Until(free); d > 0 {
			select {
			case <-stop:
				return
			case <-time.After(d):
			}
		}
		s.mu.Lock()
		s.queuedWork -= j.cost
		j.run(time.Duration(float64(s.queuedWork) / s.capacity()))
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
func (s *Switch) enqueue(fresh bool, cost time.Duration, do func(time.Duration)) {
	queue := &s.priorityQueue
	if fresh {
		queue = &s.setUpQueue
	}
	*queue = append(*queue, job{cost: cost, run: do})
	s.queuedWork += cost
	s.wakeProcessorLocked()
}

// enqueueSetUp queues a set-up for the own controller. A release cancels it while it waits.
func (s *Switch) enqueueSetUp(point uint32, m isup.Message, arrived time.Time) {
	void := new(bool)
	at := setUpKey{point, m.CIC}
	s.queuedSetUps[at] = void
	s.enqueue(true, s.processor.SetUpTime, func(time.Duration) {
		if s.queuedSetUps[at] == void {
			delete(s.queuedSetUps, at)
		}
		s.sendToController(point, m, arrived)
	})
	s.setUpQueue[len(s.setUpQueue)-1].cancelled = void
}

// cancelSetUp cancels a queued set-up and reports whether there was one.
func (s *Switch) cancelSetUp(point uint32, cic uint16) bool {
	void := s.queuedSetUps[setUpKey{point, cic}]
	if void == nil {
		return false
	}
	*void = true
	delete(s.queuedSetUps, setUpKey{point, cic})
	return true
}

func (s *Switch) wakeProcessor() { s.mu.Lock(); s.wakeProcessorLocked(); s.mu.Unlock() }
func (s *Switch) wakeProcessorLocked() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Switch) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(c) })
	}
}

func (s *Switch) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.connections[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	f, scratch, err := m3ua.Read(c, nil)
	if err != nil || f.Kind != m3ua.ASPUp {
		return
	}
	p := &peer{conn: c, pointCode: f.ASPID}
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.peers[p.pointCode] = p
	s.sendFrame(p, m3ua.Frame{Kind: m3ua.ASPUpAck, ASPID: uint32(exchange.PointCode(s.Number)), Info: fmt.Sprintf("life=%d clock=%d", s.incarnation, s.clock())})
	s.mu.Unlock()
	for err == nil {
		if f, scratch, err = m3ua.Read(c, scratch); err != nil {
			break
		}
		s.mu.Lock()
		switch {
		case s.faults.HalfOpen && p.pointCode < exchange.FirstSubscriberPoint && p.pointCode != uint32(exchange.PointCode(s.Number)):
			// Dropped, but recorded: otherwise the audit would take released route tries for open ones.
			if m, err := isup.Decode(f.UserData); f.Kind == m3ua.Data && err == nil && m.Type == isup.REL {
				s.log.Add(audit.Event{Kind: audit.TryReleased, Site: s.Number, Peer: int(p.pointCode) - 1, CIC: m.CIC})
			}
		case f.Kind == m3ua.Heartbeat:
			s.sendFrame(p, m3ua.Frame{Kind: m3ua.HeartbeatAck, UserData: f.UserData})
		case f.Kind == m3ua.ASPDown:
			// Keep the peer: without it the releases of its callers would be lost, and it would answer calls that were abandoned.
			p.draining = true
		case f.Kind == m3ua.Data:
			var m isup.Message
			if m, err = isup.Decode(f.UserData); err == nil {
				s.handleMessage(p, f.DPC, m)
			}
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	if s.peers[p.pointCode] == p {
		delete(s.peers, p.pointCode)
	}
	if p.pointCode == uint32(exchange.PointCode(s.Number)) {
		s.log.Add(audit.Event{Kind: audit.ControllerKilled, Site: s.Number})
	} else if p.pointCode < exchange.FirstSubscriberPoint {
		s.log.Add(audit.Event{Kind: audit.LinkLost, Site: s.Number, Peer: int(p.pointCode) - 1})
	}
	s.mu.Unlock()
}

// handleMessage queues a received message for the processor. The caller holds the lock.
func (s *Switch) handleMessage(p *peer, to uint32, m isup.Message) {
	own := uint32(exchange.PointCode(s.Number))
	far := int(p.pointCode) - 1
	switch {
	case p.pointCode >= exchange.FirstSubscriberPoint: // a subscriber
		s.handleSubscriberMessage(p, m, time.Now())
	case p.pointCode != own: // another exchange's controller
		arrived := time.Now()
		switch m.Type {
		case isup.IAM:
			s.log.Add(audit.Event{Kind: audit.TryReceived, Site: s.Number, Peer: far, Ref: m.Ref, CIC: m.CIC, Slots: m.Slots,
				Value: int64(m.UserInfo.TableVersion)<<16 | int64(m.UserInfo.Dest)})
			if s.failsFromOverload() {
				return
			}
			if s.refuseSetUp(p, own, p.pointCode, m) {
				return
			}
			bits := m.Slots
			if bits == 0 {
				bits = 1 << (m.CIC%32 - 1)
			}
			if s.busyCircuits[p.pointCode] == nil {
				s.busyCircuits[p.pointCode] = map[uint16]uint32{}
			}
			for lead, held := range s.busyCircuits[p.pointCode] { // a restarted controller has dropped an earlier call without a release
				if lead/32 == m.CIC/32 && held&bits != 0 {
					delete(s.busyCircuits[p.pointCode], lead)
				}
			}
			s.busyCircuits[p.pointCode][m.CIC] = bits
			s.enqueueSetUp(p.pointCode, m, arrived)
			return
		case isup.REL:
			s.cancelSetUp(p.pointCode, m.CIC)
			s.log.Add(audit.Event{Kind: audit.TryReleased, Site: s.Number, Peer: far, CIC: m.CIC})
		case isup.RSC, isup.GRS:
			for cic := m.CIC; cic <= m.CIC+uint16(m.Range); cic++ {
				s.cancelSetUp(p.pointCode, cic)
			}
			s.log.Add(audit.Event{Kind: audit.ResetReceived, Site: s.Number, Peer: far, CIC: m.CIC, Value: int64(m.Range)})
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendToController(p.pointCode, m, arrived) })
	case to >= exchange.FirstCalledPoint: // own controller, to a line it calls
		reply := isup.Message{CIC: m.CIC, Type: isup.RLC}
		if m.Type == isup.IAM {
			reply.Type = isup.ANM
		} else if m.Type != isup.REL {
			return
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendMessage(s.peers[own], to, own, reply) })
	case to >= exchange.FirstSubscriberPoint: // own controller, to a subscriber
		if ref, ok := s.lineCalls[m.CIC]; ok && (m.Type == isup.ANM || m.Type == isup.REL) {
			s.log.Add(audit.Event{Kind: audit.CallResponse, Site: s.Number, Ref: ref, CIC: uint16(m.Type)})
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendMessage(s.peers[to], own, to, m) })
	default: // own controller, back to another exchange
		s.enqueue(false, s.processor.MessageTime, func(wait time.Duration) { s.sendBack(to, m, wait) })
	}
}

func (s *Switch) handleSubscriberMessage(p *peer, m isup.Message, arrived time.Time) {
	own := uint32(exchange.PointCode(s.Number))
	switch m.Type {
	case isup.IAM:
		if !s.refuseSetUp(p, own, p.pointCode, m) {
			s.enqueueSetUp(p.pointCode, m, arrived)
		}
	case isup.REL:
		if s.cancelSetUp(p.pointCode, m.CIC) {
			s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendMessage(p, own, p.pointCode, isup.Message{CIC: m.CIC, Type: isup.RLC}) })
			return
		}
		s.enqueue(false, s.processor.MessageTime, func(time.Duration) { s.sendToController(p.pointCode, m, arrived) })
	}
}

// refuseSetUp refuses a set-up and returns true if there is no controller, the circuit is out of service, or the processor's
// queue is too long.
func (s *Switch) refuseSetUp(p *peer, own, to uint32, m isup.Message) bool {
	r := isup.Message{CIC: m.CIC, Type: isup.REL, Cause: isup.Congestion, Location: isup.LocalNetwork}
	wait := time.Duration(float64(s.queuedWork) / s.capacity())
	switch {
	case s.peers[own] == nil || s.peers[own].draining:
		r.Cause = isup.OutOfOrder
	case s.lostCircuits[p.pointCode][m.CIC]:
		r.Cause = isup.NoCircuit
	case wait > s.processor.MaxWait:
		r.UserInfo = isup.UserInfo{Present: isup.PartRetryAfter, RetryAfter: uint32(wait / (100 * time.Microsecond))}
	default:
		return false
	}
	s.enqueue(false, s.processor.SetUpTime/2, func(wait time.Duration) {
		if p.pointCode < exchange.FirstSubscriberPoint {
			s.sendBack(to, r, wait)
		} else {
			s.sendMessage(p, own, to, r)
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
	full := s.processor.OverloadWindow.Seconds() / s.processor.SetUpTime.Seconds()
	if most := s.processor.OverloadMultiple * s.capacity() * full; float64(len(s.coldSetUps)) <= most*1.3+10 {
		return false
	}
	go s.Stop()
	return true
}

// sendToController passes a message on to the own controller, if it is connected.
func (s *Switch) sendToController(from uint32, m isup.Message, arrived time.Time) {
	own := uint32(exchange.PointCode(s.Number))
	p := s.peers[own]
	if p != nil && p.draining && m.Type == isup.IAM { // queued before the controller reported that it drains
		p = nil
	}
	if m.UserInfo.Present&isup.PartTimeLeft != 0 {
		waited := uint32(time.Since(arrived) / (100 * time.Microsecond))
		if m.UserInfo.TimeLeft <= waited { // the caller has abandoned
			return
		}
		m.UserInfo.TimeLeft -= waited
		m.UserInfo.SentAt = s.clock()
	}
	if p != nil && from < exchange.FirstSubscriberPoint && m.Type == isup.IAM {
		s.log.Add(audit.Event{Kind: audit.SetUpDelivered, Site: s.Number, Peer: int(from) - 1, Ref: m.Ref, CIC: m.CIC, Slots: m.Slots})
	}
	if p != nil && (m.Type == isup.RSC || m.Type == isup.GRS) {
		s.log.Add(audit.Event{Kind: audit.ResetDelivered, Site: s.Number, Peer: int(from) - 1, CIC: m.CIC, Value: int64(m.Range)})
	}
	if from >= exchange.FirstSubscriberPoint {
		switch {
		case m.Type == isup.IAM && p != nil:
			s.lineCalls[m.CIC] = m.Ref
			dialled, _ := strconv.Atoi(m.Digits[:min(3, len(m.Digits))])
			s.log.Add(audit.Event{Kind: audit.CallOffered, Site: s.Number, Ref: m.Ref, Slots: uint32(dialled), Value: int64(m.UserInfo.TimeLeft) * 100})
		case m.Type == isup.REL:
			s.log.Add(audit.Event{Kind: audit.CallerReleased, Site: s.Number, Ref: s.lineCalls[m.CIC]})
		}
	}
	if p == nil && from >= exchange.FirstSubscriberPoint && m.Type == isup.REL {
		s.sendMessage(s.peers[from], own, from, isup.Message{CIC: m.CIC, Type: isup.RLC})
	}
	s.sendMessage(p, from, own, m)
}

// clock returns the time that stamps count with, in units of 100 µs.
func (s *Switch) clock() uint32 { return uint32(time.Since(s.startTime) / (100 * time.Microsecond)) }

// sendBack sends a message of the own controller, or a refusal of the switch itself, to the exchange that sent the call.
func (s *Switch) sendBack(to uint32, m isup.Message, wait time.Duration) {
	if time.Since(s.reportedAt) >= s.processor.ReportInterval {
		s.reportedWait, s.reportedAt = time.Duration(float64(wait)*(1+s.processor.ReportNoise*(2*s.random.Float64()-1))), time.Now()
	}
	m.UserInfo.Present |= isup.PartLoad
	m.UserInfo.Wait = uint32(s.reportedWait / (100 * time.Microsecond))
	m.UserInfo.HoldBack = uint16(min(900, max(0, (s.reportedWait-100*time.Millisecond)*1000/(2*time.Second))))
	p := s.peers[to]
	if (m.Type == isup.ANM || m.Type == isup.REL) && p != nil {
		if s.random.Float64() < s.faults.AnswerLossRatio {
			if s.faults.ResetOnLoss {
				resetConnection(p.conn)
			}
			return
		}
		s.log.Add(audit.Event{Kind: audit.TryResponse, Site: s.Number, Peer: int(to) - 1, CIC: m.CIC, Value: int64(m.Type)})
	}
	switch m.Type {
	case isup.REL, isup.RLC:
		delete(s.busyCircuits[to], m.CIC)
	case isup.GRA:
		for cic := m.CIC; cic <= m.CIC+uint16(m.Range); cic++ {
			delete(s.busyCircuits[to], cic)
		}
	}
	s.sendMessage(p, uint32(exchange.PointCode(s.Number)), to, m)
}

func (s *Switch) sendMessage(p *peer, from, to uint32, m isup.Message) {
	if p == nil {
		return
	}
	b, err := isup.Append(nil, m)
	if err != nil {
		return
	}
	s.sendFrame(p, m3ua.Frame{Kind: m3ua.Data, OPC: from, DPC: to, UserData: b})
}

// sendFrame writes a frame. The connection is closed if the peer does not read within the write timeout, so that the switch
// is not blocked.
func (s *Switch) sendFrame(p *peer, f m3ua.Frame) {
	if s.faults.HalfOpen && p.pointCode < exchange.FirstSubscriberPoint && p.pointCode != uint32(exchange.PointCode(s.Number)) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.buf, err = m3ua.Append(p.buf[:0], f); err != nil {
		return
	}
	p.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	step := len(p.buf)
	if s.faults.MaxWriteSize > 0 {
		step = s.faults.MaxWriteSize
	}
	for b := p.buf; len(b) > 0 && err == nil; {
		n := min(step, len(b))
		_, err = p.conn.Write(b[:n])
		b = b[n:]
	}
	if err != nil {
		p.conn.Close()
	}
}
