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

// attempt is one dial of a caller.
type attempt struct {
	caller      *Caller
	cic         uint16
	established bool
	ended       bool
}

// action is a scheduled action of a caller.
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

// linkEvent is a received message, a new connection or the loss of one.
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
func NewSubscribers(exchanges int, callers []*Caller, behaviour SubscriberBehaviour, seed uint64, dialer func(int) (net.Conn, error)) *Subscribers {
	s := &Subscribers{behaviour: behaviour, dialer: dialer, random: rand.New(rand.NewPCG(seed, 77)), conns: make([]net.Conn, exchanges),
		nextCIC: make([]uint16, exchanges), linkEvents: make(chan linkEvent, 4096)}
	for range exchanges {
		s.attempts = append(s.attempts, map[uint16]*attempt{})
	}
	for _, caller := range callers {
		caller.gosTarget = behaviour.GoSTargets[caller.Bearer]
		s.actions = append(s.actions, action{at: caller.StartTime, kind: 'd', caller: caller})
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
	var wg sync.WaitGroup
	closing := make(chan struct{})
	for i := range s.conns {
		wg.Go(func() { s.maintainLink(i, closing) })
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
		case event := <-s.linkEvents:
			s.handleLinkEvent(event)
		}
	}
	close(closing)
	for _, conn := range s.conns {
		if conn != nil {
			conn.Close()
		}
	}
	go func() { // a reader may be sending still
		for range s.linkEvents {
		}
	}()
	wg.Wait()
	close(s.linkEvents)
}

// maintainLink maintains the connection to one exchange's switch.
func (s *Subscribers) maintainLink(number int, closing chan struct{}) {
	for {
		conn, err := s.dialer(number)
		if err == nil {
			aspUp, _ := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.ASPUp, ASPID: exchange.FirstSubscriberPoint})
			_, err = conn.Write(aspUp)
			var frame m3ua.Frame
			var scratch []byte
			s.linkEvents <- linkEvent{exchange: number, conn: conn}
			for err == nil {
				if frame, scratch, err = m3ua.Read(conn, scratch); err == nil && frame.Kind == m3ua.Data {
					if message, decodeErr := isup.Decode(frame.UserData); decodeErr == nil {
						s.linkEvents <- linkEvent{exchange: number, message: message}
					}
				}
			}
			conn.Close()
			s.linkEvents <- linkEvent{exchange: number, linkDown: true}
		}
		select {
		case <-closing:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *Subscribers) send(number int, message isup.Message) bool {
	data, err := isup.Append(nil, message)
	if err != nil || s.conns[number] == nil {
		return false
	}
	frame, err := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.Data, OPC: exchange.FirstSubscriberPoint, DPC: uint32(exchange.PointCode(number)), UserData: data})
	if err != nil {
		return false
	}
	_, err = s.conns[number].Write(frame)
	return err == nil
}

func (s *Subscribers) perform(next action, now time.Duration) {
	caller := next.caller
	switch next.kind {
	case 'd':
		s.maxDialDelay = max(s.maxDialDelay, now-next.at)
		s.startAttempt(caller, next.reconnect, now)
	case 'l', 'h':
		if attempt := next.attempt; !attempt.ended && attempt.established == (next.kind == 'h') {
			s.send(caller.From, isup.Message{CIC: attempt.cic, Type: isup.REL, Cause: isup.NormalClearing, Location: isup.User})
			s.endAttempt(attempt)
			if next.kind == 'l' {
				caller.Abandoned++
				s.scheduleRedial(caller, 0, now)
			}
		}
	}
}

func (s *Subscribers) endAttempt(ending *attempt) {
	ending.ended = true
	delete(s.attempts[ending.caller.From], ending.cic)
}

func (s *Subscribers) startAttempt(caller *Caller, reconnect bool, now time.Duration) {
	if caller.Attempts++; s.conns[caller.From] == nil || len(s.attempts[caller.From]) > isup.MaxCIC/2 {
		caller.Failed++
		s.scheduleRedial(caller, 0, now)
		return
	}
	for s.attempts[caller.From][s.nextCIC[caller.From]] != nil {
		s.nextCIC[caller.From] = (s.nextCIC[caller.From] + 1) & isup.MaxCIC
	}
	started := &attempt{caller: caller, cic: s.nextCIC[caller.From]}
	s.nextCIC[caller.From] = (s.nextCIC[caller.From] + 1) & isup.MaxCIC
	s.attempts[caller.From][started.cic] = started
	s.lastIdentity++
	timeLeft := time.Duration(s.behaviour.AttemptTimeRatio * float64(caller.AbandonTime))
	flags := uint8(0)
	if caller.Attempts > 1 && !reconnect {
		flags = isup.FlagRedial
	} else if reconnect {
		flags = isup.FlagDisconnectedBefore
	}
	s.send(caller.From, isup.Message{CIC: started.cic, Type: isup.IAM, Digits: exchange.LineNumber(caller.Dest, caller.Line()), Caller: exchange.LineNumber(caller.From, caller.Line()), Width: caller.Width,
		Ref: isup.Reference{Point: exchange.PointCode(caller.From), Identity: s.lastIdentity & 0xffffff}, UserInfo: isup.UserInfo{
			Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: uint32(timeLeft / (100 * time.Microsecond)),
			SentAt: uint32(now / (100 * time.Microsecond)), Bearer: uint8(caller.Bearer), Flags: flags}})
	s.mu.Lock()
	if s.random.Float64() < s.earlyAbandonRatio {
		timeLeft = time.Duration(float64(timeLeft) * s.random.Float64() * 0.3)
	}
	s.mu.Unlock()
	heap.Push(&s.actions, action{at: now + timeLeft, kind: 'l', caller: caller, attempt: started})
}

// scheduleRedial schedules the next attempt of a caller, if its abandon time and behaviour allow one.
func (s *Subscribers) scheduleRedial(caller *Caller, retryAfter, now time.Duration) {
	if caller.Attempts > s.behaviour.MaxRedials {
		return
	}
	wait := time.Duration(float64(s.behaviour.InitialBackoff<<(caller.Attempts-1)) * (0.5 + s.random.Float64()))
	if retryAfter > 0 && s.random.Float64() < s.behaviour.RetryAfterCompliance {
		wait = max(retryAfter, wait)
	}
	if now+wait < caller.StartTime+caller.AbandonTime {
		heap.Push(&s.actions, action{at: now + wait, kind: 'd', caller: caller})
	}
}

func (s *Subscribers) handleLinkEvent(event linkEvent) {
	now := time.Since(s.startTime)
	switch {
	case event.conn != nil:
		s.conns[event.exchange] = event.conn
		return
	case event.linkDown:
		s.conns[event.exchange] = nil
		for _, current := range s.attempts[event.exchange] {
			s.handleNetworkRelease(current, false, 0, now)
		}
		return
	}
	current := s.attempts[event.exchange][event.message.CIC]
	if current == nil {
		return
	}
	switch event.message.Type {
	case isup.ANM:
		if current.established {
			return
		}
		current.established = true
		caller := current.caller
		if caller.EstablishedAt == 0 {
			caller.EstablishedAt = max(now, 1)
		}
		if caller.disconnectedAt > 0 && now-caller.disconnectedAt <= caller.gosTarget {
			caller.Disconnected = false
		}
		heap.Push(&s.actions, action{at: now + caller.HoldingTime, kind: 'h', caller: caller, attempt: current})
	case isup.REL:
		s.send(event.exchange, isup.Message{CIC: event.message.CIC, Type: isup.RLC})
		refused := event.message.Cause == isup.NoCircuit || event.message.Cause == isup.Congestion || event.message.Cause == isup.UserBusy
		s.handleNetworkRelease(current, refused, time.Duration(event.message.UserInfo.RetryAfter)*100*time.Microsecond, now)
	}
}

// handleNetworkRelease ends an attempt that the network released.
func (s *Subscribers) handleNetworkRelease(released *attempt, refused bool, retryAfter, now time.Duration) {
	caller := released.caller
	s.endAttempt(released)
	switch {
	case released.established:
		caller.Disconnections++
		caller.Disconnected, caller.disconnectedAt = true, now
		heap.Push(&s.actions, action{at: now + time.Duration(s.random.Float64()*float64(s.behaviour.MaxReconnectDelay)), kind: 'd', caller: caller, reconnect: true})
		return
	case refused:
		caller.Refused++
	default:
		caller.Failed++
	}
	s.scheduleRedial(caller, retryAfter, now)
}
