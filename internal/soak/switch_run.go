package soak

import (
	"fmt"
	"strconv"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// Q.850 causes of releases.
const (
	causeNormal = 16
	causeOther  = 31
	causeCut    = 41
)

const (
	lateAnswer = 800 * time.Millisecond // after its time, at most
	copyLater  = 20 * time.Millisecond  // a second copy after the first, at most

	// dropUnder is the time left in a set-up under which a switch may drop it without a word.
	dropUnder = 150 * time.Millisecond
)

type runState uint8

const (
	runWorking runState = iota // the set-up is worked on
	runStands
	runOver
)

// run is one set-up at a switch, and the call that stands by it. A call may have several, by its tries: each has circuits of its own, ends
// by itself and is released by itself, as the answer to one that ran may have been lost on its way.
type run struct {
	number     int
	id         string
	uri        string
	controller int
	link       *switchLink
	seq        uint32
	state      runState
	open       bool // its set-up is neither ended nor given up
}

// release is a release that the switch wrote, or has to.
type release struct {
	run   *run
	cause int
}

// SetUpEnd is what becomes of a set-up.
type SetUpEnd uint8

// What becomes of set-ups. From EndSpoilt to EndTwice the call has run and stands.
const (
	EndStands      SetUpEnd = iota
	EndFull                 // 503
	EndError                // 486 or 500
	EndMoot                 // 480
	EndBroke                // 504: the set-up broke on its way
	EndReleased             // a release before the answer
	EndDropped              // nothing, where little time is left
	EndResetUnread          // the connection is reset under it, and it never ran
	EndSpoilt               // cannot be read
	EndCut                  // breaks off with its connection
	EndShort                // stops short on a connection that stays open
	EndNever                // never comes
	EndLate                 // comes after its time
	EndResetRead            // the connection is reset instead
	EndTwice                // comes a second time
	EndAhead                // comes after one with an id that nobody knows
	setUpEnds
)

var setUpEndNames = [setUpEnds]string{"stands", "full", "error", "moot", "broke", "released", "dropped", "reset-unread", "spoilt", "cut", "short", "never", "late",
	"reset-read", "twice", "ahead"}

func (k SetUpEnd) String() string { return setUpEndNames[k] }

// SetUpEndNamed finds an answer kind by its name.
func SetUpEndNamed(name string) (SetUpEnd, bool) {
	for k, n := range setUpEndNames {
		if n == name {
			return SetUpEnd(k), true
		}
	}
	return 0, false
}

// drawAnswer draws what becomes of a set-up; s.mu is held.
func (s *Switch) drawAnswer() SetUpEnd {
	x := s.random.Float64()
	for kind, share := range s.plan.Switches.Shares {
		if x -= share; x < 0 {
			return SetUpEnd(kind)
		}
	}
	return EndStands
}

func (s *Switch) take(l *switchLink, m *sip.Message) {
	switch m.Method {
	case sip.Invite:
		s.setUp(l, m)
	case sip.Cancel:
		s.mu.Lock()
		for _, r := range s.runs[m.CallID] {
			if r.link == l && r.open {
				s.giveUp(r, "cancelled")
			}
		}
		s.mu.Unlock()
	case sip.Bye:
		if s.plan.Switches.HearsReleases {
			heard := m.Response(sip.OK)
			s.write(l, &heard)
		}
		s.released(m.CallID)
	case sip.Options:
		passed := m.Response(sip.OK)
		s.write(l, &passed)
	}
}

// giveUp notes that a set-up is given up. What is worked on ends; what has run goes on standing. s.mu is held.
func (s *Switch) giveUp(r *run, why string) {
	delete(r.link.runs, r)
	if !r.open {
		return
	}
	r.open = false
	s.log.Add(Event{Kind: TryGivenUp, Controller: r.controller, Switch: s.id, Call: r.id, Conn: r.link.conn, Number: uint64(r.number), Text: why})
	if r.state == runWorking {
		r.state = runOver
		s.used--
	}
}

// over ends a call that stands; s.mu is held. False: it did not stand.
func (s *Switch) over(r *run, why string) bool {
	if r.state != runStands {
		return false
	}
	r.state = runOver
	s.used--
	s.log.Add(Event{Kind: CallOver, Controller: r.controller, Switch: s.id, Call: r.id, Number: uint64(r.number), Text: why})
	return true
}

const textReleased = "released by the controller"

// released takes a controller's release: it names the call and ends all that stands by it.
func (s *Switch) released(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs[id] {
		s.over(r, textReleased)
	}
}

func (s *Switch) setUp(l *switchLink, m *sip.Message) {
	expires, _ := strconv.Atoi(m.Get("Expires-Ms"))
	left := time.Duration(expires) * time.Millisecond
	lain := s.lain(l)
	s.mu.Lock()
	s.number++
	r := &run{number: s.number, id: m.CallID, uri: m.URI, controller: l.controller, link: l, seq: m.CSeq, open: true}
	if !s.plan.Switches.EchoesCSeq {
		r.seq = 1
	}
	kind := s.drawAnswer()
	if s.used >= s.plan.Switches.Circuits {
		kind = EndFull
	}
	if kind == EndDropped && left > dropUnder {
		kind = EndStands
	}
	wait := upTo(s.random, s.plan.Switches.AnswerMin, s.plan.Switches.AnswerMax)
	progress := s.random.IntN(4) == 0
	s.used++
	s.runs[r.id] = append(s.runs[r.id], r)
	l.runs[r] = struct{}{}
	s.mu.Unlock()
	s.log.Add(Event{Kind: TryArrived, Controller: l.controller, Switch: s.id, Call: m.CallID, Conn: l.conn, Number: uint64(r.number), Span: lain, Text: string(m.Body)})
	if progress {
		s.write(l, &sip.Message{Status: 180, CallID: r.id, CSeq: r.seq, CSeqMethod: sip.Invite})
	}
	s.all.Go(func() {
		if s.pause(wait) {
			s.answer(r, kind, left)
		}
	})
}

// pause waits; false: the switch has died.
func (s *Switch) pause(span time.Duration) bool {
	select {
	case <-time.After(span):
		return s.wait()
	case <-s.stopping:
		return false
	}
}

// answer ends the work on a set-up in the way that was drawn.
func (s *Switch) answer(r *run, kind SetUpEnd, left time.Duration) {
	if !s.wait() {
		return
	}
	s.mu.Lock()
	if r.state != runWorking {
		s.mu.Unlock()
		return
	}
	if kind >= EndSpoilt || kind == EndStands {
		r.state = runStands
		s.log.Add(Event{Kind: CallStood, Controller: r.controller, Switch: s.id, Call: r.id, Conn: r.link.conn, Number: uint64(r.number), Text: kind.String()})
		hold := upTo(s.random, s.plan.Switches.HoldMin, s.plan.Switches.HoldMax)
		if kind != EndStands && s.random.IntN(2) == 0 { // soon enough to meet a further try
			hold = upTo(s.random, releaseGuard/2, 2*releaseGuard)
		}
		cause := []int{causeNormal, causeNormal, causeNormal, causeCut, causeOther}[s.random.IntN(5)]
		s.all.Go(func() {
			if s.pause(hold) {
				s.end(r, cause)
			}
		})
	}
	s.mu.Unlock()
	switch kind {
	case EndDropped:
	case EndNever:
	case EndFull, EndError, EndMoot, EndBroke:
		s.refuse(r, kind)
	case EndReleased:
		s.releaseUnanswered(r)
	case EndResetUnread, EndResetRead:
		s.reset(r.link, "reset under a set-up")
	case EndLate:
		if s.pause(left + time.Duration(float64(lateAnswer)*s.drawn())) {
			s.accept(r, kind)
		}
	default:
		s.accept(r, kind)
	}
}

func (s *Switch) drawn() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// ends notes that a set-up's end is written; s.mu is held.
func (s *Switch) ends(r *run, status int, text string) {
	delete(r.link.runs, r)
	if r.open {
		r.open = false
		s.log.Add(Event{Kind: TryEnded, Controller: r.controller, Switch: s.id, Call: r.id, Conn: r.link.conn, Number: uint64(r.number), Status: status, Text: text})
	}
}

// refuse writes a refusal.
func (s *Switch) refuse(r *run, kind SetUpEnd) {
	m := &sip.Message{CallID: r.id, CSeq: r.seq, CSeqMethod: sip.Invite}
	s.mu.Lock()
	switch kind {
	case EndFull:
		word := []string{"atb", "rtb", "racc", "acc"}[s.random.IntN(4)]
		m.Status = sip.ServiceUnavailable
		m.Fields = []sip.Field{{Name: "Warning-Word", Value: word}}
		if word == "acc" {
			m.Fields = append(m.Fields, sip.Field{Name: "P-Wait", Value: strconv.Itoa(s.random.IntN(60))})
		}
	case EndError:
		m.Status = []int{sip.BusyHere, sip.ServerInternalError}[s.random.IntN(2)]
	case EndMoot:
		m.Status = sip.TemporarilyUnavailable
	default:
		m.Status = sip.ServerTimeout
	}
	m.Fields = append(m.Fields, s.load())
	r.state = runOver
	s.used--
	s.ends(r, m.Status, kind.String())
	s.mu.Unlock()
	s.write(r.link, m)
}

// releaseUnanswered releases a call before its answer: its set-up is reset.
func (s *Switch) releaseUnanswered(r *run) {
	s.mu.Lock()
	r.state = runOver
	s.used--
	s.ends(r, 0, "released before an answer")
	cause := []int{causeOther, causeCut}[s.random.IntN(2)]
	s.mu.Unlock()
	s.write(r.link, s.bye(release{r, cause}))
}

// AnswerBody is the description with which a switch answers a set-up.
func AnswerBody(id uint32, call string, run uint64) string {
	return fmt.Sprintf("answer of %s to %s, run %d", board.FormatID(id), call, run)
}

// accept writes the answer of a call that stands, in the way that was drawn.
func (s *Switch) accept(r *run, kind SetUpEnd) {
	m := &sip.Message{Status: sip.OK, CallID: r.id, CSeq: r.seq, CSeqMethod: sip.Invite, Body: []byte(AnswerBody(s.id, r.id, uint64(r.number)))}
	s.mu.Lock()
	if r.state != runStands { // it was released meanwhile
		s.mu.Unlock()
		return
	}
	m.Fields = append(m.Fields, s.load())
	noise := s.random.IntN(4)
	status := sip.OK
	if kind == EndSpoilt || kind == EndCut || kind == EndShort {
		status = 0
	}
	s.ends(r, status, kind.String())
	s.mu.Unlock()
	octets := sip.Append(nil, m)
	switch kind {
	case EndSpoilt:
		s.writeRaw(r.link, spoil(octets, r.id, noise))
	case EndCut:
		s.writeRaw(r.link, octets[:len(octets)/2])
		s.log.Add(Event{Kind: LinkLost, Controller: r.controller, Switch: s.id, Conn: r.link.conn, Text: "breaks off"})
		r.link.c.Close()
	case EndShort:
		s.writeRaw(r.link, octets[:len(octets)*2/3])
	case EndAhead:
		ahead := *m
		ahead.CallID = fmt.Sprintf("f%015x", r.number)
		s.writeRaw(r.link, sip.Append(sip.Append(nil, &ahead), m))
	case EndTwice:
		s.writeRaw(r.link, octets)
		if s.pause(time.Duration(float64(copyLater) * s.drawn())) {
			s.writeRaw(r.link, octets)
		}
	default:
		s.writeRaw(r.link, octets)
	}
}

// spoil makes an answer that cannot be read.
func spoil(octets []byte, id string, how int) []byte {
	switch how {
	case 0:
		return append([]byte("SIP/2.0 noise\x00"), octets[:len(octets)/2]...)
	case 1:
		return []byte("SIP/2.0 200 OK\r\nCall-ID: " + id + "\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\n")
	case 2:
		return []byte("SIP/2.0 200 OK\r\nCall-ID: " + id + "\r\nCSeq: 1 INVITE\r\nContent-Length: -7\r\n\r\n")
	}
	return append([]byte("SIP/2.0 200 OK\r\nCall-ID: "), make([]byte, 20<<10)...) // a line that does not end
}

// end ends a call that stands and releases it towards its controller: on the connection of its set-up, else on any that is open, and on the
// next that opens as well.
func (s *Switch) end(r *run, cause int) {
	if !s.wait() {
		return
	}
	s.mu.Lock()
	if !s.over(r, fmt.Sprintf("cause %d", cause)) {
		s.mu.Unlock()
		return
	}
	s.ends(r, 0, "released, as its answer never came")
	l := r.link
	if l.closed {
		l = nil
		if open := s.links[r.controller]; len(open) > 0 {
			l = open[s.random.IntN(len(open))]
		}
	}
	s.repeat[r.controller] = append(s.repeat[r.controller], release{r, cause})
	s.mu.Unlock()
	if l != nil {
		s.writeRelease(l, release{r, cause})
	}
}

func (s *Switch) bye(r release) *sip.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &sip.Message{Method: sip.Bye, URI: r.run.uri, CallID: r.run.id, CSeq: 2, CSeqMethod: sip.Bye,
		Fields: []sip.Field{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", r.cause)}, s.load()}}
}

func (s *Switch) writeRelease(l *switchLink, r release) {
	s.write(l, s.bye(r))
	s.log.Add(Event{Kind: ReleaseWritten, Controller: r.run.controller, Switch: s.id, Call: r.run.id, Conn: l.conn, Number: uint64(r.run.number), Status: r.cause})
}

// CutCalls cuts every second call that stands.
func (s *Switch) CutCalls() {
	s.mu.Lock()
	var standing []*run
	for _, runs := range s.runs {
		for _, r := range runs {
			if r.state == runStands && s.random.IntN(2) == 0 {
				standing = append(standing, r)
			}
		}
	}
	s.mu.Unlock()
	for _, r := range standing {
		s.end(r, causeCut)
	}
}
