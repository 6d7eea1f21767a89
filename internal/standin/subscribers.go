package standin

import (
	"container/heap"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/m3ua"
)

// Caller is one subscriber who attempts one call. Times count from the start of the day. The fields from Attempts on hold
// the outcome.
type Caller struct {
	StartTime                 time.Duration
	From, Dest, Bearer, Width int
	HoldingTime               time.Duration
	AbandonTime               time.Duration

	Attempts       int
	EstablishedAt  time.Duration // when the call was first established; 0: never
	Disconnections int           // how often the network ended the established call
	Disconnected   bool          // the call was disconnected and not established again in time
	Refused        int
	Failed         int
	Abandoned      int
	disconnectedAt time.Duration
	gosTarget      time.Duration
}

// Line returns the line number that the caller dials at the destination exchange.
func (c *Caller) Line() uint32 { return uint32(c.StartTime/time.Microsecond) % 1000000 }

// SubscriberBehaviour is how subscribers redial and abandon.
type SubscriberBehaviour struct {
	MaxRedials           int
	InitialBackoff       time.Duration // before the first redial; doubles with each attempt
	RetryAfterCompliance float64       // share of subscribers that observe a given retry time
	AttemptTimeRatio     float64       // fraction of the abandon time that one attempt may take
	MaxReconnectDelay    time.Duration // a disconnected call is dialled again within this time
	GoSTargets           []time.Duration
}

type attempt struct {
	caller      *Caller
	cic         uint16
	established bool
	ended       bool
}

type action struct {
	at        time.Duration
	kind      byte // 'd' dial, 'l' abandon, 'h' hang up
	caller    *Caller
	attempt   *attempt
	reconnect bool
}

type actionHeap []action

func (s actionHeap) Len() int           { return len(s) }
func (s actionHeap) Less(i, j int) bool { return s[i].at < s[j].at }
func (s actionHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *actionHeap) Push(x any)        { *s = append(*s, x.(action)) }
func (s *actionHeap) Pop() any          { n := len(*s) - 1; x := (*s)[n]; *s = (*s)[:n]; return x }

type linkEvent struct {
	exchange int
	message  isup.Message
	linkDown bool
	conn     net.Conn
}

// Subscribers simulates subscribers, which dial at fixed times whatever the exchanges do.
type Subscribers struct {
	behaviour         SubscriberBehaviour
	dialer            func(exchange int) (net.Conn, error)
	random            *rand.Rand
	startTime         time.Time
	actions           actionHeap
	conns             []net.Conn
	attempts          []map[uint16]*attempt
	nextCIC           []uint16
	lastIdentity      uint32
	linkEvents        chan linkEvent
	earlyAbandonRatio float64 // share of callers who abandon early
	mu                sync.Mutex
	maxDialDelay      time.Duration // longest delay of a dial after its planned time
}

// NewSubscribers returns the subscribers of all exchanges. The dialer connects to the switch of an exchange.
func NewSubscribers(exchanges int, callers []*Caller, h SubscriberBehaviour, seed uint64, dialer func(int) (net.Conn, error)) *Subscribers {
	s := &Subscribers{behaviour: h, dialer: dialer, random: rand.New(rand.NewPCG(seed, 77)), conns: make([]net.Conn, exchanges),
		nextCIC: make([]uint16, exchanges), linkEvents: make(chan linkEvent, 4096)}
	for range exchanges {
		s.attempts = append(s.attempts, map[uint16]*attempt{})
	}
	for _, c := range callers {
		c.gosTarget = h.GoSTargets[c.Bearer]
		s.actions = append(s.actions, action{at: c.StartTime, kind: 'd', caller: c})
	}
	heap.Init(&s.actions)
	return s
}

// SetEarlyAbandonRatio makes a share of the callers abandon long before their time.
func (s *Subscribers) SetEarlyAbandonRatio(share float64) {
	s.mu.Lock()
	s.earlyAbandonRatio = share
	s.mu.Unlock()
}

// MaxDialDelay returns the longest delay of a dial after its planned time.
func (s *Subscribers) MaxDialDelay() time.Duration { return s.maxDialDelay }

// Run makes the calls until every caller is done or stop is closed.
func (s *Subscribers) Run(stop <-chan struct{}) {
	s.startTime = time.Now()
	var all sync.WaitGroup
	closing := make(chan struct{})
	for i := range s.conns {
		all.Go(func() { s.maintainLink(i, closing) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for running := true; running; {
		now := time.Since(s.startTime)
		for len(s.actions) > 0 && s.actions[0].at <= now {
			s.perform(heap.Pop(&s.actions).(action), now)
		}
		if len(s.actions) == 0 {
			break
		}
		timer.Reset(s.actions[0].at - now)
		select {
		case <-stop:
			running = false
		case <-timer.C:
		case h := <-s.linkEvents:
			s.handleLinkEvent(h)
		}
	}
	close(closing)
	for _, c := range s.conns {
		if c != nil {
			c.Close()
		}
	}
	go func() { // a reader may be sending still
		for range s.linkEvents {
		}
	}()
	all.Wait()
	close(s.linkEvents)
}

// maintainLink maintains the connection to one exchange's switch.
func (s *Subscribers) maintainLink(i int, closing chan struct{}) {
	for {
		conn, err := s.dialer(i)
		if err == nil {
			hello, _ := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.ASPUp, ASPID: exchange.FirstSubscriberPoint})
			_, err = conn.Write(hello)
			var f m3ua.Frame
			var scratch []byte
			s.linkEvents <- linkEvent{exchange: i, conn: conn}
			for err == nil {
				if f, scratch, err = m3ua.Read(conn, scratch); err == nil && f.Kind == m3ua.Data {
					if m, bad := isup.Decode(f.UserData); bad == nil {
						s.linkEvents <- linkEvent{exchange: i, message: m}
					}
				}
			}
			conn.Close()
			s.linkEvents <- linkEvent{exchange: i, linkDown: true}
		}
		select {
		case <-closing:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *Subscribers) send(i int, m isup.Message) bool {
	b, err := isup.Append(nil, m)
	if err != nil || s.conns[i] == nil {
		return false
	}
	f, err := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint, DPC: uint32(exchange.PointCode(i)), UserData: b})
	if err != nil {
		return false
	}
	_, err = s.conns[i].Write(f)
	return err == nil
}

func (s *Subscribers) perform(st action, now time.Duration) {
	c := st.caller
	switch st.kind {
	case 'd':
		s.maxDialDelay = max(s.maxDialDelay, now-st.at)
		s.startAttempt(c, st.reconnect, now)
	case 'l', 'h':
		if d := st.attempt; !d.ended && d.established == (st.kind == 'h') {
			s.send(c.From, isup.Message{CIC: d.cic, Type: isup.REL, Cause: isup.NormalClearing, Location: isup.User})
			s.endAttempt(d)
			if st.kind == 'l' {
				c.Abandoned++
				s.scheduleRedial(c, 0, now)
			}
		}
	}
}

func (s *Subscribers) endAttempt(d *attempt) {
	d.ended = true
	delete(s.attempts[d.caller.From], d.cic)
}

func (s *Subscribers) startAttempt(c *Caller, cut bool, now time.Duration) {
	if c.Attempts++; s.conns[c.From] == nil || len(s.attempts[c.From]) > isup.MaxCIC/2 {
		c.Failed++
		s.scheduleRedial(c, 0, now)
		return
	}
	for s.attempts[c.From][s.nextCIC[c.From]] != nil {
		s.nextCIC[c.From] = (s.nextCIC[c.From] + 1) & isup.MaxCIC
	}
	d := &attempt{caller: c, cic: s.nextCIC[c.From]}
	s.nextCIC[c.From] = (s.nextCIC[c.From] + 1) & isup.MaxCIC
	s.attempts[c.From][d.cic] = d
	s.lastIdentity++
	ttl := time.Duration(s.behaviour.AttemptTimeRatio * float64(c.AbandonTime))
	marks := uint8(0)
	if c.Attempts > 1 && !cut {
		marks = isup.FlagRedial
	} else if cut {
		marks = isup.FlagDisconnectedBefore
	}
	s.send(c.From, isup.Message{CIC: d.cic, Type: isup.IAM, Digits: exchange.LineNumber(c.Dest, c.Line()), Caller: exchange.LineNumber(c.From, c.Line()), Width: c.Width,
		Ref: isup.Reference{Point: exchange.PointCode(c.From), Identity: s.lastIdentity & 0xffffff}, UserInfo: isup.UserInfo{
			Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: uint32(ttl / (100 * time.Microsecond)),
			SentAt: uint32(now / (100 * time.Microsecond)), Bearer: uint8(c.Bearer), Flags: marks}})
	s.mu.Lock()
	if s.random.Float64() < s.earlyAbandonRatio {
		ttl = time.Duration(float64(ttl) * s.random.Float64() * 0.3)
	}
	s.mu.Unlock()
	heap.Push(&s.actions, action{at: now + ttl, kind: 'l', caller: c, attempt: d})
}

// scheduleRedial schedules the next attempt of a caller, if its abandon time and behaviour allow one.
func (s *Subscribers) scheduleRedial(c *Caller, comeBack, now time.Duration) {
	if c.Attempts > s.behaviour.MaxRedials {
		return
	}
	wait := time.Duration(float64(s.behaviour.InitialBackoff<<(c.Attempts-1)) * (0.5 + s.random.Float64()))
	if comeBack > 0 && s.random.Float64() < s.behaviour.RetryAfterCompliance {
		wait = max(comeBack, wait)
	}
	if now+wait < c.StartTime+c.AbandonTime {
		heap.Push(&s.actions, action{at: now + wait, kind: 'd', caller: c})
	}
}

func (s *Subscribers) handleLinkEvent(h linkEvent) {
	now := time.Since(s.startTime)
	switch {
	case h.conn != nil:
		s.conns[h.exchange] = h.conn
		return
	case h.linkDown:
		s.conns[h.exchange] = nil
		for _, d := range s.attempts[h.exchange] {
			s.handleNetworkRelease(d, false, 0, now)
		}
		return
	}
	d := s.attempts[h.exchange][h.message.CIC]
	if d == nil {
		return
	}
	switch h.message.Type {
	case isup.ANM:
		if d.established {
			return
		}
		d.established = true
		c := d.caller
		if c.EstablishedAt == 0 {
			c.EstablishedAt = max(now, 1)
		}
		if c.disconnectedAt > 0 && now-c.disconnectedAt <= c.gosTarget {
			c.Disconnected = false
		}
		heap.Push(&s.actions, action{at: now + c.HoldingTime, kind: 'h', caller: c, attempt: d})
	case isup.REL:
		s.send(h.exchange, isup.Message{CIC: h.message.CIC, Type: isup.RLC})
		refused := h.message.Cause == isup.NoCircuit || h.message.Cause == isup.Congestion || h.message.Cause == isup.UserBusy
		s.handleNetworkRelease(d, refused, time.Duration(h.message.UserInfo.RetryAfter)*100*time.Microsecond, now)
	}
}

// handleNetworkRelease ends an attempt that the network released.
func (s *Subscribers) handleNetworkRelease(d *attempt, refused bool, comeBack, now time.Duration) {
	c := d.caller
	s.endAttempt(d)
	switch {
	case d.established:
		c.Disconnections++
		c.Disconnected, c.disconnectedAt = true, now
		heap.Push(&s.actions, action{at: now + time.Duration(s.random.Float64()*float64(s.behaviour.MaxReconnectDelay)), kind: 'd', caller: c, reconnect: true})
		return
	case refused:
		c.Refused++
	default:
		c.Failed++
	}
	s.scheduleRedial(c, comeBack, now)
}
