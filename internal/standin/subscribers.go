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

// Caller is one subscriber who wants one call; its times count from the day's begin. The second half is what came of it.
type Caller struct {
	At                        time.Duration
	From, Dest, Bearer, Width int
	Holding                   time.Duration
	Abandon                   time.Duration

	Dials   int
	Stood   time.Duration // when it first stood, 0 never
	Cuts    int           // times that it stood and the network ended it
	Cut     bool          // it stood and was cut, and did not stand again in time
	Refused int
	Failed  int
	Left    int
	cutAt   time.Duration
	within  time.Duration // GoS target
}

// Line is the number that the caller dials at its exchange.
func (c *Caller) Line() uint32 { return uint32(c.At/time.Microsecond) % 1000000 }

// Habits of subscribers.
type Habits struct {
	Redials  int
	Backoff  time.Duration // before the first redial; it doubles
	Honour   float64       // share who heed a time to come back
	TryShare float64       // part of the abandon time that one dial is given
	CutBack  time.Duration // a call that was cut is dialled again within
	GoS      []time.Duration
}

type dial struct {
	caller *Caller
	cic    uint16
	stands bool
	over   bool
}

type step struct {
	at   time.Duration
	what byte // d dial, l leave, h hang up
	c    *Caller
	d    *dial
	cut  bool
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any          { n := len(*s) - 1; x := (*s)[n]; *s = (*s)[:n]; return x }

type heard struct {
	exchange int
	m        isup.Message
	gone     bool
	conn     net.Conn
}

// Subscribers dial at their set times whatever the exchanges do.
type Subscribers struct {
	habits Habits
	dialer func(exchange int) (net.Conn, error)
	chance *rand.Rand
	began  time.Time
	steps  steps
	conns  []net.Conn
	active []map[uint16]*dial
	next   []uint16
	ident  uint32
	inbox  chan heard
	early  float64 // trouble: share of callers who leave early
	mu     sync.Mutex
	late   time.Duration // the worst that a dial was behind its time
}

// NewSubscribers makes the subscribers of a number of exchanges.
func NewSubscribers(exchanges int, callers []*Caller, h Habits, seed uint64, dialer func(int) (net.Conn, error)) *Subscribers {
	s := &Subscribers{habits: h, dialer: dialer, chance: rand.New(rand.NewPCG(seed, 77)), conns: make([]net.Conn, exchanges),
		next: make([]uint16, exchanges), inbox: make(chan heard, 4096)}
	for range exchanges {
		s.active = append(s.active, map[uint16]*dial{})
	}
	for _, c := range callers {
		c.within = h.GoS[c.Bearer]
		s.steps = append(s.steps, step{at: c.At, what: 'd', c: c})
	}
	heap.Init(&s.steps)
	return s
}

// LeaveEarly has a share of the callers give up long before their time.
func (s *Subscribers) LeaveEarly(share float64) { s.mu.Lock(); s.early = share; s.mu.Unlock() }

// Late is the worst that a dial went out behind its time.
func (s *Subscribers) Late() time.Duration { return s.late }

// Run dials until every caller is done or stop closes.
func (s *Subscribers) Run(stop <-chan struct{}) {
	s.began = time.Now()
	var all sync.WaitGroup
	closing := make(chan struct{})
	for i := range s.conns {
		all.Go(func() { s.listen(i, closing) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for running := true; running; {
		now := time.Since(s.began)
		for len(s.steps) > 0 && s.steps[0].at <= now {
			s.act(heap.Pop(&s.steps).(step), now)
		}
		if len(s.steps) == 0 {
			break
		}
		timer.Reset(s.steps[0].at - now)
		select {
		case <-stop:
			running = false
		case <-timer.C:
		case h := <-s.inbox:
			s.hear(h)
		}
	}
	close(closing)
	for _, c := range s.conns {
		if c != nil {
			c.Close()
		}
	}
	go func() { // readers may be handing over
		for range s.inbox {
		}
	}()
	all.Wait()
	close(s.inbox)
}

// listen keeps the connection to one exchange's switch.
func (s *Subscribers) listen(i int, closing chan struct{}) {
	for {
		conn, err := s.dialer(i)
		if err == nil {
			hello, _ := m3ua.Append(nil, m3ua.Frame{Kind: m3ua.ASPUp, ASPID: exchange.FirstSubscriberPoint})
			_, err = conn.Write(hello)
			var f m3ua.Frame
			var scratch []byte
			s.inbox <- heard{exchange: i, conn: conn}
			for err == nil {
				if f, scratch, err = m3ua.Read(conn, scratch); err == nil && f.Kind == m3ua.Data {
					if m, bad := isup.Decode(f.UserData); bad == nil {
						s.inbox <- heard{exchange: i, m: m}
					}
				}
			}
			conn.Close()
			s.inbox <- heard{exchange: i, gone: true}
		}
		select {
		case <-closing:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *Subscribers) write(i int, m isup.Message) bool {
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

func (s *Subscribers) act(st step, now time.Duration) {
	c := st.c
	switch st.what {
	case 'd':
		s.late = max(s.late, now-st.at)
		s.dial(c, st.cut, now)
	case 'l', 'h':
		if d := st.d; !d.over && d.stands == (st.what == 'h') {
			s.write(c.From, isup.Message{CIC: d.cic, Type: isup.REL, Cause: isup.NormalClearing, Location: isup.User})
			s.end(d)
			if st.what == 'l' {
				c.Left++
				s.again(c, 0, now)
			}
		}
	}
}

func (s *Subscribers) end(d *dial) {
	d.over = true
	delete(s.active[d.caller.From], d.cic)
}

func (s *Subscribers) dial(c *Caller, cut bool, now time.Duration) {
	if c.Dials++; s.conns[c.From] == nil || len(s.active[c.From]) > isup.MaxCIC/2 {
		c.Failed++
		s.again(c, 0, now)
		return
	}
	for s.active[c.From][s.next[c.From]] != nil {
		s.next[c.From] = (s.next[c.From] + 1) & isup.MaxCIC
	}
	d := &dial{caller: c, cic: s.next[c.From]}
	s.next[c.From] = (s.next[c.From] + 1) & isup.MaxCIC
	s.active[c.From][d.cic] = d
	s.ident++
	ttl := time.Duration(s.habits.TryShare * float64(c.Abandon))
	marks := uint8(0)
	if c.Dials > 1 && !cut {
		marks = isup.FlagRedial
	} else if cut {
		marks = isup.FlagDisconnectedBefore
	}
	s.write(c.From, isup.Message{CIC: d.cic, Type: isup.IAM, Digits: exchange.LineNumber(c.Dest, c.Line()), Caller: exchange.LineNumber(c.From, c.Line()), Width: c.Width,
		Ref: isup.Reference{Point: exchange.PointCode(c.From), Identity: s.ident & 0xffffff}, UserInfo: isup.UserInfo{
			Present: isup.PartTimeLeft | isup.PartCall, TimeLeft: uint32(ttl / (100 * time.Microsecond)),
			SentAt: uint32(now / (100 * time.Microsecond)), Bearer: uint8(c.Bearer), Flags: marks}})
	s.mu.Lock()
	if s.chance.Float64() < s.early {
		ttl = time.Duration(float64(ttl) * s.chance.Float64() * 0.3)
	}
	s.mu.Unlock()
	heap.Push(&s.steps, step{at: now + ttl, what: 'l', c: c, d: d})
}

// again has a caller dial once more, if its patience and habits allow.
func (s *Subscribers) again(c *Caller, comeBack, now time.Duration) {
	if c.Dials > s.habits.Redials {
		return
	}
	wait := time.Duration(float64(s.habits.Backoff<<(c.Dials-1)) * (0.5 + s.chance.Float64()))
	if comeBack > 0 && s.chance.Float64() < s.habits.Honour {
		wait = max(comeBack, wait)
	}
	if now+wait < c.At+c.Abandon {
		heap.Push(&s.steps, step{at: now + wait, what: 'd', c: c})
	}
}

func (s *Subscribers) hear(h heard) {
	now := time.Since(s.began)
	switch {
	case h.conn != nil:
		s.conns[h.exchange] = h.conn
		return
	case h.gone:
		s.conns[h.exchange] = nil
		for _, d := range s.active[h.exchange] {
			s.fails(d, false, 0, now)
		}
		return
	}
	d := s.active[h.exchange][h.m.CIC]
	if d == nil {
		return
	}
	switch h.m.Type {
	case isup.ANM:
		if d.stands {
			return
		}
		d.stands = true
		c := d.caller
		if c.Stood == 0 {
			c.Stood = max(now, 1)
		}
		if c.cutAt > 0 && now-c.cutAt <= c.within {
			c.Cut = false
		}
		heap.Push(&s.steps, step{at: now + c.Holding, what: 'h', c: c, d: d})
	case isup.REL:
		s.write(h.exchange, isup.Message{CIC: h.m.CIC, Type: isup.RLC})
		refused := h.m.Cause == isup.NoCircuit || h.m.Cause == isup.Congestion || h.m.Cause == isup.UserBusy
		s.fails(d, refused, time.Duration(h.m.UserInfo.RetryAfter)*100*time.Microsecond, now)
	}
}

// fails ends a dial that the network ended.
func (s *Subscribers) fails(d *dial, refused bool, comeBack, now time.Duration) {
	c := d.caller
	s.end(d)
	switch {
	case d.stands:
		c.Cuts++
		c.Cut, c.cutAt = true, now
		heap.Push(&s.steps, step{at: now + time.Duration(s.chance.Float64()*float64(s.habits.CutBack)), what: 'd', c: c, cut: true})
		return
	case refused:
		c.Refused++
	default:
		c.Failed++
	}
	s.again(c, comeBack, now)
}
