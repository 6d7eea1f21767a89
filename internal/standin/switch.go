// Package standin holds the parties that the project writes for itself to run exchanges against: switches with a
// processor and lines, the register with the centre, and subscribers. They are plain and honest: what a trouble makes them
// do wrong, they do on the sockets, and what they see there goes into the audit's log.
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

// Work is what a processor is: how long each kind of job takes when it is warm and undisturbed.
type Work struct {
	SetUp, Finish time.Duration // a set-up looked at, also one refused; an answer or a release
	RefuseAfter   time.Duration // set-ups are refused once they would wait so long
	ReportEvery   time.Duration
	Noise         float64 // of reports
	ColdFrom      float64
	Ramp          time.Duration
	FallMultiple  float64
	FallWindow    time.Duration
	Reuse         bool // warm at the first start
}

// Disturb is what a trouble does to a switch while it lasts.
type Disturb struct {
	Slow       float64 // times slower, 1 when well
	Busy       float64 // share of the processor that other work takes
	Hung       bool    // does no work at all
	LoseAnswer float64 // share of answers to other exchanges that do not leave
	ResetLost  bool    // the link of a lost answer is reset
	Deaf       bool    // reads and drops all, says nothing (a half-open link)
	Chop       int     // writes go out in pieces of so many octets
}

type job struct {
	cost time.Duration
	do   func(wait time.Duration)
	void *bool // set: the set-up was given up while it waited, and costs nothing
}

// queued names a set-up that waits in line: who sent it, on which circuit.
type queued struct {
	point uint32
	cic   uint16
}

type peer struct {
	conn  net.Conn
	point uint32
	down  bool // the own controller drains: no set-up goes there, what ends calls does
	mu    sync.Mutex
	buf   []byte
}

// Switch is one exchange's switch.
type Switch struct {
	Number int
	work   Work
	log    *audit.Log
	ln     net.Listener
	mu     sync.Mutex
	chance *rand.Rand
	lives  int
	bootAt time.Time
	cold   bool
	up     bool
	drain  bool
	dis    Disturb
	peers  map[uint32]*peer
	conns  map[net.Conn]bool // every one open, also those that speak for nobody any more
	urgent []job
	fresh  []job
	behind time.Duration // work that waits
	kick   chan struct{}
	stop   chan struct{}
	seen   time.Duration // wait last reported
	seenAt time.Time
	setups []time.Time // while cold
	lost   map[uint32]map[uint16]bool
	busy   map[uint32]map[uint16]uint32 // by exchange whose calls they are: circuits held, as slots of the call
	lines  map[uint16]isup.Reference    // subscriber's circuit: the call on it
	inLine map[queued]*bool
	all    sync.WaitGroup
}

// NewSwitch makes a switch that is off; Start turns it on.
func NewSwitch(number int, work Work, seed uint64, log *audit.Log) *Switch {
	return &Switch{Number: number, work: work, log: log, chance: rand.New(rand.NewPCG(seed, uint64(number))), dis: Disturb{Slow: 1},
		lost: map[uint32]map[uint16]bool{}}
}

// Start turns the switch on; from the second life on it is cold.
func (s *Switch) Start(listen func() (net.Listener, error)) error {
	ln, err := listen()
	if err != nil {
		return fmt.Errorf("switch %d: %w", s.Number, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	s.ln, s.up, s.drain = ln, true, false
	s.bootAt, s.cold = time.Now(), s.lives > 1 || !s.work.Reuse
	s.conns = map[net.Conn]bool{}
	s.peers, s.busy, s.lines = map[uint32]*peer{}, map[uint32]map[uint16]uint32{}, map[uint16]isup.Reference{}
	s.inLine = map[queued]*bool{}
	s.urgent, s.fresh, s.behind, s.setups, s.seen = nil, nil, 0, nil, 0
	s.kick, s.stop = make(chan struct{}, 1), make(chan struct{})
	cold := uint16(0)
	if s.cold {
		cold = 1
	}
	s.log.Add(audit.Event{Kind: audit.Life, Site: s.Number, CIC: cold, Value: int64(float64(time.Second) / float64(s.work.SetUp) * 1000)})
	s.all.Go(func() { s.process(s.stop, s.kick) })
	s.all.Go(func() { s.accept(ln) })
	return nil
}

// Stop ends this life: every connection breaks and what was waiting is gone.
func (s *Switch) Stop() {
	s.mu.Lock()
	if s.up {
		s.up = false
		s.ln.Close()
		close(s.stop)
		for c := range s.conns { // with the peers' alone, one that had drained held the end up for ever
			c.Close()
		}
	}
	s.mu.Unlock()
	s.all.Wait()
}

// Lamp is what the register sees.
func (s *Switch) Lamp() (life int, up time.Duration, ready, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up = time.Since(s.bootAt)
	if !s.cold { // it has run for long when the day begins
		up += time.Hour
	}
	return s.lives, up, s.up && !s.drain, s.up && s.drain
}

// Set changes what disturbs the switch; Drain its lamp.
func (s *Switch) Set(change func(d *Disturb)) {
	s.mu.Lock()
	change(&s.dis)
	s.mu.Unlock()
	s.nudge()
}
func (s *Switch) Drain(on bool) { s.mu.Lock(); s.drain = on; s.mu.Unlock() }

// BreakLinks resets the connections of other exchanges' controllers, all or a share of them.
func (s *Switch) BreakLinks(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for point, p := range s.peers {
		if point < exchange.FirstSubscriberPoint && int(point) != int(exchange.PointCode(s.Number)) && s.chance.Float64() < share {
			reset(p.conn)
		}
	}
}

// reset closes a connection so that the far end sees a reset where there is one to see.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// LoseCircuits takes circuits of the group to another exchange out of service, cutting that exchange's calls on them; with
// none, all are back.
func (s *Switch) LoseCircuits(to int, cics []uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	point := uint32(exchange.PointCode(to))
	for cic := range s.lost[point] {
		s.bothEnds(point, isup.UBL, cic)
	}
	s.lost[point] = map[uint16]bool{}
	for _, cic := range cics {
		s.lost[point][cic] = true
		s.bothEnds(point, isup.BLO, cic)
		for lead, bits := range s.busy[point] {
			if lead/32 == cic/32 && bits&(1<<(cic%32-1)) != 0 {
				s.cut(point, lead)
			}
		}
	}
}

// CutCalls cuts a share of the calls that come in from other exchanges; their circuits stay.
func (s *Switch) CutCalls(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for point, calls := range s.busy {
		for lead := range calls {
			if s.chance.Float64() < share {
				s.cut(point, lead)
			}
		}
	}
}

func (s *Switch) cut(point uint32, lead uint16) {
	s.log.Add(audit.Event{Kind: audit.Back, Site: s.Number, Peer: int(point) - 1, CIC: lead, Value: int64(isup.REL)})
	s.bothEnds(point, isup.REL, lead)
	delete(s.busy[point], lead)
}

func (s *Switch) bothEnds(point uint32, t isup.Type, cic uint16) {
	own := uint32(exchange.PointCode(s.Number))
	m := isup.Message{CIC: cic, Type: t, Cause: isup.NetworkOutOfOrder, Location: isup.LocalNetwork}
	s.write(s.peers[point], own, point, m)
	s.write(s.peers[own], point, own, m)
}

// Busy counts the circuits that calls of another exchange hold here.
func (s *Switch) Busy(of int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bits := range s.busy[uint32(exchange.PointCode(of))] {
		for ; bits != 0; bits &= bits - 1 {
			n++
		}
	}
	return n
}

// strength is the part of its full speed that the processor has now.
func (s *Switch) strength() float64 {
	v := 1.0
	if age := time.Since(s.bootAt); s.cold && age < s.work.Ramp {
		v = s.work.ColdFrom + (1-s.work.ColdFrom)*float64(age)/float64(s.work.Ramp)
	}
	return v / s.dis.Slow * (1 - s.dis.Busy)
}

// process works off one job after the other, answers and releases first.
func (s *Switch) process(stop, kick chan struct{}) {
	free := time.Now()
	for {
		s.mu.Lock()
		var j job
		queue := &s.urgent
		if len(s.urgent) == 0 {
			queue = &s.fresh
		}
		if len(*queue) == 0 || s.dis.Hung {
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
		if j.void != nil && *j.void {
			s.behind -= j.cost
			s.mu.Unlock()
			s.nudge()
			continue
		}
		took := time.Duration(float64(j.cost) / s.strength())
		s.mu.Unlock()
		free = maxTime(free, time.Now().Add(-2*time.Millisecond)).Add(took) // sleeping long is made up for
		if d := time.Until(free); d > 0 {
			select {
			case <-stop:
				return
			case <-time.After(d):
			}
		}
		s.mu.Lock()
		s.behind -= j.cost
		j.do(time.Duration(float64(s.behind) / s.strength()))
		s.mu.Unlock()
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// add puts a job in line; the lock is held.
func (s *Switch) add(fresh bool, cost time.Duration, do func(time.Duration)) {
	queue := &s.urgent
	if fresh {
		queue = &s.fresh
	}
	*queue = append(*queue, job{cost: cost, do: do})
	s.behind += cost
	s.nudgeLocked()
}

// addSetUp puts a set-up in line for the own controller, from which a release drops it again.
func (s *Switch) addSetUp(point uint32, m isup.Message, arrived time.Time) {
	void := new(bool)
	at := queued{point, m.CIC}
	s.inLine[at] = void
	s.add(true, s.work.SetUp, func(time.Duration) {
		if s.inLine[at] == void {
			delete(s.inLine, at)
		}
		s.toController(point, m, arrived)
	})
	s.fresh[len(s.fresh)-1].void = void
}

// dropSetUp takes a set-up out of the line, and tells whether it was there.
func (s *Switch) dropSetUp(point uint32, cic uint16) bool {
	void := s.inLine[queued{point, cic}]
	if void == nil {
		return false
	}
	*void = true
	delete(s.inLine, queued{point, cic})
	return true
}

func (s *Switch) nudge() { s.mu.Lock(); s.nudgeLocked(); s.mu.Unlock() }
func (s *Switch) nudgeLocked() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Switch) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.all.Go(func() { s.serve(c) })
	}
}

func (s *Switch) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	f, scratch, err := m3ua.Read(c, nil)
	if err != nil || f.Kind != m3ua.ASPUp {
		return
	}
	p := &peer{conn: c, point: f.ASPID}
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.peers[p.point] = p
	s.send(p, m3ua.Frame{Kind: m3ua.ASPUpAck, ASPID: uint32(exchange.PointCode(s.Number)), Info: fmt.Sprintf("life=%d clock=%d", s.lives, s.clock())})
	s.mu.Unlock()
	for err == nil {
		if f, scratch, err = m3ua.Read(c, scratch); err != nil {
			break
		}
		s.mu.Lock()
		switch {
		case s.dis.Deaf && p.point < exchange.FirstSubscriberPoint && p.point != uint32(exchange.PointCode(s.Number)):
			// Nothing is done, but what came was seen: without it the audit held tries to be out that had been released.
			if m, err := isup.Decode(f.UserData); f.Kind == m3ua.Data && err == nil && m.Type == isup.REL {
				s.log.Add(audit.Event{Kind: audit.Off, Site: s.Number, Peer: int(p.point) - 1, CIC: m.CIC})
			}
		case f.Kind == m3ua.Heartbeat:
			s.send(p, m3ua.Frame{Kind: m3ua.HeartbeatAck, UserData: f.UserData})
		case f.Kind == m3ua.ASPDown:
			// With the peer forgotten here its callers' releases were lost, and it answered callers who had left.
			p.down = true
		case f.Kind == m3ua.Data:
			var m isup.Message
			if m, err = isup.Decode(f.UserData); err == nil {
				s.route(p, f.DPC, m)
			}
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	if s.peers[p.point] == p {
		delete(s.peers, p.point)
	}
	if p.point == uint32(exchange.PointCode(s.Number)) {
		s.log.Add(audit.Event{Kind: audit.Killed, Site: s.Number})
	} else if p.point < exchange.FirstSubscriberPoint {
		s.log.Add(audit.Event{Kind: audit.Broke, Site: s.Number, Peer: int(p.point) - 1})
	}
	s.mu.Unlock()
}

// route puts a message in the processor's line; the lock is held.
func (s *Switch) route(p *peer, to uint32, m isup.Message) {
	own := uint32(exchange.PointCode(s.Number))
	far := int(p.point) - 1
	switch {
	case p.point >= exchange.FirstSubscriberPoint: // a subscriber
		s.fromLine(p, m, time.Now())
	case p.point != own: // another exchange's controller
		arrived := time.Now()
		switch m.Type {
		case isup.IAM:
			s.log.Add(audit.Event{Kind: audit.Try, Site: s.Number, Peer: far, Ref: m.Ref, CIC: m.CIC, Slots: m.Slots,
				Value: int64(m.UserInfo.TableVersion)<<16 | int64(m.UserInfo.Dest)})
			if s.tips() {
				return
			}
			if s.refuses(p, own, p.point, m) {
				return
			}
			bits := m.Slots
			if bits == 0 {
				bits = 1 << (m.CIC%32 - 1)
			}
			if s.busy[p.point] == nil {
				s.busy[p.point] = map[uint16]uint32{}
			}
			for lead, held := range s.busy[p.point] { // a call that a restarted controller dropped without a word is over by now
				if lead/32 == m.CIC/32 && held&bits != 0 {
					delete(s.busy[p.point], lead)
				}
			}
			s.busy[p.point][m.CIC] = bits
			s.addSetUp(p.point, m, arrived)
			return
		case isup.REL:
			s.dropSetUp(p.point, m.CIC)
			s.log.Add(audit.Event{Kind: audit.Off, Site: s.Number, Peer: far, CIC: m.CIC})
		case isup.RSC, isup.GRS:
			for cic := m.CIC; cic <= m.CIC+uint16(m.Range); cic++ {
				s.dropSetUp(p.point, cic)
			}
			s.log.Add(audit.Event{Kind: audit.Reset, Site: s.Number, Peer: far, CIC: m.CIC, Value: int64(m.Range)})
		}
		s.add(false, s.work.Finish, func(time.Duration) { s.toController(p.point, m, arrived) })
	case to >= exchange.FirstCalledPoint: // own controller, to a line it calls
		reply := isup.Message{CIC: m.CIC, Type: isup.RLC}
		if m.Type == isup.IAM {
			reply.Type = isup.ANM
		} else if m.Type != isup.REL {
			return
		}
		s.add(false, s.work.Finish, func(time.Duration) { s.write(s.peers[own], to, own, reply) })
	case to >= exchange.FirstSubscriberPoint: // own controller, to a subscriber
		if ref, ok := s.lines[m.CIC]; ok && (m.Type == isup.ANM || m.Type == isup.REL) {
			s.log.Add(audit.Event{Kind: audit.Answer, Site: s.Number, Ref: ref, CIC: uint16(m.Type)})
		}
		s.add(false, s.work.Finish, func(time.Duration) { s.write(s.peers[to], own, to, m) })
	default: // own controller, back to another exchange
		s.add(false, s.work.Finish, func(wait time.Duration) { s.back(to, m, wait) })
	}
}

func (s *Switch) fromLine(p *peer, m isup.Message, arrived time.Time) {
	own := uint32(exchange.PointCode(s.Number))
	switch m.Type {
	case isup.IAM:
		if !s.refuses(p, own, p.point, m) {
			s.addSetUp(p.point, m, arrived)
		}
	case isup.REL:
		if s.dropSetUp(p.point, m.CIC) {
			s.add(false, s.work.Finish, func(time.Duration) { s.write(p, own, p.point, isup.Message{CIC: m.CIC, Type: isup.RLC}) })
			return
		}
		s.add(false, s.work.Finish, func(time.Duration) { s.toController(p.point, m, arrived) })
	}
}

// refuses turns a set-up away when no controller is there, its circuit is lost, or the line of work is too long.
func (s *Switch) refuses(p *peer, own, to uint32, m isup.Message) bool {
	r := isup.Message{CIC: m.CIC, Type: isup.REL, Cause: isup.Congestion, Location: isup.LocalNetwork}
	wait := time.Duration(float64(s.behind) / s.strength())
	switch {
	case s.peers[own] == nil || s.peers[own].down:
		r.Cause = isup.OutOfOrder
	case s.lost[p.point][m.CIC]:
		r.Cause = isup.NoCircuit
	case wait > s.work.RefuseAfter:
		r.UserInfo = isup.UserInfo{Present: isup.PartRetryAfter, RetryAfter: uint32(wait / (100 * time.Microsecond))}
	default:
		return false
	}
	s.add(false, s.work.SetUp/2, func(wait time.Duration) {
		if p.point < exchange.FirstSubscriberPoint {
			s.back(to, r, wait)
		} else {
			s.write(p, own, to, r)
		}
	})
	return true
}

// tips tells whether the set-up that just came pushes a cold processor over; the lock is held.
func (s *Switch) tips() bool {
	now := time.Now()
	if !s.cold || time.Since(s.bootAt) > s.work.Ramp {
		s.setups = nil
		return false
	}
	s.setups = append(s.setups, now)
	for now.Sub(s.setups[0]) > s.work.FallWindow {
		s.setups = s.setups[1:]
	}
	full := s.work.FallWindow.Seconds() / s.work.SetUp.Seconds()
	if most := s.work.FallMultiple * s.strength() * full; float64(len(s.setups)) <= most*1.3+10 {
		return false
	}
	go s.Stop()
	return true
}

// toController passes a message on to the own controller, which may not be there.
func (s *Switch) toController(from uint32, m isup.Message, arrived time.Time) {
	own := uint32(exchange.PointCode(s.Number))
	p := s.peers[own]
	if p != nil && p.down && m.Type == isup.IAM { // it was in line when the controller said that it drains
		p = nil
	}
	if m.UserInfo.Present&isup.PartTimeLeft != 0 {
		waited := uint32(time.Since(arrived) / (100 * time.Microsecond))
		if m.UserInfo.TimeLeft <= waited { // its caller is gone
			return
		}
		m.UserInfo.TimeLeft -= waited
		m.UserInfo.SentAt = s.clock()
	}
	if p != nil && from < exchange.FirstSubscriberPoint && m.Type == isup.IAM {
		s.log.Add(audit.Event{Kind: audit.In, Site: s.Number, Peer: int(from) - 1, Ref: m.Ref, CIC: m.CIC, Slots: m.Slots})
	}
	if p != nil && (m.Type == isup.RSC || m.Type == isup.GRS) {
		s.log.Add(audit.Event{Kind: audit.ResetIn, Site: s.Number, Peer: int(from) - 1, CIC: m.CIC, Value: int64(m.Range)})
	}
	if from >= exchange.FirstSubscriberPoint {
		switch {
		case m.Type == isup.IAM && p != nil:
			s.lines[m.CIC] = m.Ref
			dialled, _ := strconv.Atoi(m.Digits[:min(3, len(m.Digits))])
			s.log.Add(audit.Event{Kind: audit.Offer, Site: s.Number, Ref: m.Ref, Slots: uint32(dialled), Value: int64(m.UserInfo.TimeLeft) * 100})
		case m.Type == isup.REL:
			s.log.Add(audit.Event{Kind: audit.Leave, Site: s.Number, Ref: s.lines[m.CIC]})
		}
	}
	if p == nil && from >= exchange.FirstSubscriberPoint && m.Type == isup.REL {
		s.write(s.peers[from], own, from, isup.Message{CIC: m.CIC, Type: isup.RLC})
	}
	s.write(p, from, own, m)
}

// clock is what stamps count with.
func (s *Switch) clock() uint32 { return uint32(time.Since(s.bootAt) / (100 * time.Microsecond)) }

// back sends a message of the own controller, or a refusal of the switch itself, to the exchange whose call it concerns.
func (s *Switch) back(to uint32, m isup.Message, wait time.Duration) {
	if time.Since(s.seenAt) >= s.work.ReportEvery {
		s.seen, s.seenAt = time.Duration(float64(wait)*(1+s.work.Noise*(2*s.chance.Float64()-1))), time.Now()
	}
	m.UserInfo.Present |= isup.PartLoad
	m.UserInfo.Wait = uint32(s.seen / (100 * time.Microsecond))
	m.UserInfo.HoldBack = uint16(min(900, max(0, (s.seen-100*time.Millisecond)*1000/(2*time.Second))))
	p := s.peers[to]
	if (m.Type == isup.ANM || m.Type == isup.REL) && p != nil {
		if s.chance.Float64() < s.dis.LoseAnswer {
			if s.dis.ResetLost {
				reset(p.conn)
			}
			return
		}
		s.log.Add(audit.Event{Kind: audit.Back, Site: s.Number, Peer: int(to) - 1, CIC: m.CIC, Value: int64(m.Type)})
	}
	switch m.Type {
	case isup.REL, isup.RLC:
		delete(s.busy[to], m.CIC)
	case isup.GRA:
		for cic := m.CIC; cic <= m.CIC+uint16(m.Range); cic++ {
			delete(s.busy[to], cic)
		}
	}
	s.write(p, uint32(exchange.PointCode(s.Number)), to, m)
}

func (s *Switch) write(p *peer, from, to uint32, m isup.Message) {
	if p == nil {
		return
	}
	b, err := isup.Append(nil, m)
	if err != nil {
		return
	}
	s.send(p, m3ua.Frame{Kind: m3ua.Data, OPC: from, DPC: to, UserData: b})
}

// send writes a frame; a far end that does not read loses its connection rather than hold the switch up.
func (s *Switch) send(p *peer, f m3ua.Frame) {
	if s.dis.Deaf && p.point < exchange.FirstSubscriberPoint && p.point != uint32(exchange.PointCode(s.Number)) {
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
	if s.dis.Chop > 0 {
		step = s.dis.Chop
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
