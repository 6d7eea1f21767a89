package soak

import (
	"fmt"
	"strconv"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// Q.850 release causes.
const (
	causeNormalClearing    = 16
	causeNormalUnspecified = 31
	causeTemporaryFailure  = 41
)

const (
	maxLateAnswerDelay = 800 * time.Millisecond // after the abandon time
	maxDuplicateDelay  = 20 * time.Millisecond  // of the second copy after the first

	// maxTimeLeftToDrop is the longest Expires-Ms of a set-up that a switch may drop without an answer.
	maxTimeLeftToDrop = 150 * time.Millisecond
)

// legState is the state of a call leg.
type legState uint8

const (
	legPending legState = iota // the set-up is being processed
	legEstablished
	legEnded
)

// callLeg is one set-up at a switch and the call that it establishes. Each try of a call makes a leg, and several may be established at once
// because answers may be lost: each leg holds its own circuits, ends on its own and is released on its own.
type callLeg struct {
	number       int
	callID       string
	uri          string
	controller   int
	conn         *switchConn
	cseq         uint32
	state        legState
	setUpPending bool // the set-up is neither answered nor abandoned
}

// release is a release of a leg that the switch sends.
type release struct {
	leg   *callLeg
	cause int
}

// SetUpOutcome is what a switch does with a set-up.
type SetUpOutcome uint8

// Outcomes of set-ups. From OutcomeMalformedAnswer on the call is established at the switch, however the answer goes.
const (
	OutcomeEstablished      SetUpOutcome = iota
	OutcomeFull                          // 503
	OutcomeError                         // 486 or 500
	OutcomeUnavailable                   // 480
	OutcomeTimeout                       // 504
	OutcomeReleased                      // released before an answer
	OutcomeDropped                       // no answer, if little time is left
	OutcomeResetPending                  // the connection is reset, and the call is not established
	OutcomeMalformedAnswer               // the answer is malformed
	OutcomeTruncatedClose                // the answer is truncated, and the connection closed
	OutcomeTruncatedOpen                 // the answer is truncated, and the connection stays open
	OutcomeNoAnswer                      // the answer is never sent
	OutcomeLateAnswer                    // the answer is sent after the abandon time
	OutcomeResetEstablished              // the connection is reset instead of an answer, and the call is established
	OutcomeDuplicateAnswer               // the answer is sent twice
	OutcomeUnknownIDFirst                // an answer with an unknown call id is sent before it
	numSetUpOutcomes
)

var setUpOutcomeNames = [numSetUpOutcomes]string{"stands", "full", "error", "moot", "broke", "released", "dropped", "reset-unread",
	"spoilt", "cut", "short", "never", "late", "reset-read", "twice", "ahead"}

func (o SetUpOutcome) String() string { return setUpOutcomeNames[o] }

// ParseSetUpOutcome returns the outcome of a name.
func ParseSetUpOutcome(name string) (SetUpOutcome, bool) {
	for outcome, outcomeName := range setUpOutcomeNames {
		if outcomeName == name {
			return SetUpOutcome(outcome), true
		}
	}
	return 0, false
}

// drawOutcome draws the outcome of a set-up. s.mu must be held.
func (s *Switch) drawOutcome() SetUpOutcome {
	x := s.random.Float64()
	for outcome, share := range s.plan.Switches.OutcomeShares {
		if x -= share; x < 0 {
			return SetUpOutcome(outcome)
		}
	}
	return OutcomeEstablished
}

// handle handles a message from a controller.
func (s *Switch) handle(conn *switchConn, message *sip.Message) {
	switch message.Method {
	case sip.Invite:
		s.handleSetUp(conn, message)
	case sip.Cancel:
		s.mu.Lock()
		for _, leg := range s.legs[message.CallID] {
			if leg.conn == conn && leg.setUpPending {
				s.abandonSetUp(leg, "cancelled")
			}
		}
		s.mu.Unlock()
	case sip.Bye:
		if s.plan.Switches.RespondsToReleases {
			response := message.Response(sip.OK)
			s.send(conn, &response)
		}
		s.handleRelease(message.CallID)
	case sip.Options:
		response := message.Response(sip.OK)
		s.send(conn, &response)
	}
}

// abandonSetUp records that a set-up is abandoned. A leg that is being processed ends, an established one continues. s.mu must be held.
func (s *Switch) abandonSetUp(leg *callLeg, reason string) {
	delete(leg.conn.legs, leg)
	if !leg.setUpPending {
		return
	}
	leg.setUpPending = false
	s.log.Add(Event{Kind: TryAbandoned, Controller: leg.controller, SwitchID: s.id, CallID: leg.callID, ConnID: leg.conn.id, Number: uint64(leg.number), Detail: reason})
	if leg.state == legPending {
		leg.state = legEnded
		s.usedCircuits--
	}
}

// endLeg ends an established leg. It returns false if the leg is not established. s.mu must be held.
func (s *Switch) endLeg(leg *callLeg, reason string) bool {
	if leg.state != legEstablished {
		return false
	}
	leg.state = legEnded
	s.usedCircuits--
	s.log.Add(Event{Kind: CallEnded, Controller: leg.controller, SwitchID: s.id, CallID: leg.callID, Number: uint64(leg.number), Detail: reason})
	return true
}

// detailReleasedByController is the detail of CallEnded that the checker looks for.
const detailReleasedByController = "released by the controller"

// handleRelease handles a controller's release. It names only the call, so it ends all established legs of the call.
func (s *Switch) handleRelease(callID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, leg := range s.legs[callID] {
		s.endLeg(leg, detailReleasedByController)
	}
}

// handleSetUp handles an INVITE: it seizes a circuit, draws the outcome and its delay, and may send 180 Ringing.
func (s *Switch) handleSetUp(conn *switchConn, message *sip.Message) {
	expires, _ := strconv.Atoi(message.Get("Expires-Ms"))
	timeLeft := time.Duration(expires) * time.Millisecond
	unread := s.maxUnreadTime(conn)
	s.mu.Lock()
	s.lastLeg++
	leg := &callLeg{number: s.lastLeg, callID: message.CallID, uri: message.URI, controller: conn.controller, conn: conn, cseq: message.CSeq, setUpPending: true}
	if !s.plan.Switches.EchoesCSeq {
		leg.cseq = 1
	}
	outcome := s.drawOutcome()
	if s.usedCircuits >= s.plan.Switches.Circuits {
		outcome = OutcomeFull
	}
	if outcome == OutcomeDropped && timeLeft > maxTimeLeftToDrop {
		outcome = OutcomeEstablished
	}
	delay := randomDuration(s.random, s.plan.Switches.MinAnswerDelay, s.plan.Switches.MaxAnswerDelay)
	rings := s.random.IntN(4) == 0
	s.usedCircuits++
	s.legs[leg.callID] = append(s.legs[leg.callID], leg)
	conn.legs[leg] = struct{}{}
	s.mu.Unlock()
	s.log.Add(Event{Kind: TryReceived, Controller: conn.controller, SwitchID: s.id, CallID: message.CallID, ConnID: conn.id,
		Number: uint64(leg.number), Duration: unread, Detail: string(message.Body)})
	if rings {
		s.send(conn, &sip.Message{Status: 180, CallID: leg.callID, CSeq: leg.cseq, CSeqMethod: sip.Invite})
	}
	s.wg.Go(func() {
		if s.sleepUnlessDead(delay) {
			s.finishSetUp(leg, outcome, timeLeft)
		}
	})
}

// sleepUnlessDead waits for a duration and for the end of a hang. It returns false if the switch is dead.
func (s *Switch) sleepUnlessDead(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return s.awaitResume()
	case <-s.died:
		return false
	}
}

// finishSetUp ends the processing of a set-up with the outcome that was drawn.
func (s *Switch) finishSetUp(leg *callLeg, outcome SetUpOutcome, timeLeft time.Duration) {
	if !s.awaitResume() {
		return
	}
	s.mu.Lock()
	if leg.state != legPending {
		s.mu.Unlock()
		return
	}
	if outcome >= OutcomeMalformedAnswer || outcome == OutcomeEstablished {
		leg.state = legEstablished
		s.log.Add(Event{Kind: CallEstablished, Controller: leg.controller, SwitchID: s.id, CallID: leg.callID, ConnID: leg.conn.id,
			Number: uint64(leg.number), Detail: outcome.String()})
		holdingTime := randomDuration(s.random, s.plan.Switches.MinHoldingTime, s.plan.Switches.MaxHoldingTime)
		if outcome != OutcomeEstablished && s.random.IntN(2) == 0 { // soon enough to overlap the next try
			holdingTime = randomDuration(s.random, releaseTime/2, 2*releaseTime)
		}
		cause := []int{causeNormalClearing, causeNormalClearing, causeNormalClearing, causeTemporaryFailure, causeNormalUnspecified}[s.random.IntN(5)]
		s.wg.Go(func() {
			if s.sleepUnlessDead(holdingTime) {
				s.endAndRelease(leg, cause)
			}
		})
	}
	s.mu.Unlock()
	switch outcome {
	case OutcomeDropped:
	case OutcomeNoAnswer:
	case OutcomeFull, OutcomeError, OutcomeUnavailable, OutcomeTimeout:
		s.reject(leg, outcome)
	case OutcomeReleased:
		s.releaseBeforeAnswer(leg)
	case OutcomeResetPending, OutcomeResetEstablished:
		s.resetConn(leg.conn, "reset with a pending set-up")
	case OutcomeLateAnswer:
		if s.sleepUnlessDead(timeLeft + time.Duration(float64(maxLateAnswerDelay)*s.randomFloat())) {
			s.sendAnswer(leg, outcome)
		}
	default:
		s.sendAnswer(leg, outcome)
	}
}

// randomFloat draws a number from 0 to 1.
func (s *Switch) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// endSetUp records the end of a set-up that is about to be written. s.mu must be held.
func (s *Switch) endSetUp(leg *callLeg, status int, detail string) {
	delete(leg.conn.legs, leg)
	if leg.setUpPending {
		leg.setUpPending = false
		s.log.Add(Event{Kind: TryEnded, Controller: leg.controller, SwitchID: s.id, CallID: leg.callID, ConnID: leg.conn.id,
			Number: uint64(leg.number), Status: status, Detail: detail})
	}
}

// reject answers a set-up with an error status.
func (s *Switch) reject(leg *callLeg, outcome SetUpOutcome) {
	message := &sip.Message{CallID: leg.callID, CSeq: leg.cseq, CSeqMethod: sip.Invite}
	s.mu.Lock()
	switch outcome {
	case OutcomeFull:
		warning := []string{"atb", "rtb", "racc", "acc"}[s.random.IntN(4)]
		message.Status = sip.ServiceUnavailable
		message.Fields = []sip.Field{{Name: "Warning-Word", Value: warning}}
		if warning == "acc" {
			message.Fields = append(message.Fields, sip.Field{Name: "P-Wait", Value: strconv.Itoa(s.random.IntN(60))})
		}
	case OutcomeError:
		message.Status = []int{sip.BusyHere, sip.ServerInternalError}[s.random.IntN(2)]
	case OutcomeUnavailable:
		message.Status = sip.TemporarilyUnavailable
	default:
		message.Status = sip.ServerTimeout
	}
	message.Fields = append(message.Fields, s.loadField())
	leg.state = legEnded
	s.usedCircuits--
	s.endSetUp(leg, message.Status, outcome.String())
	s.mu.Unlock()
	s.send(leg.conn, message)
}

// releaseBeforeAnswer releases a call whose set-up is not answered yet.
func (s *Switch) releaseBeforeAnswer(leg *callLeg) {
	s.mu.Lock()
	leg.state = legEnded
	s.usedCircuits--
	s.endSetUp(leg, 0, "released before an answer")
	cause := []int{causeNormalUnspecified, causeTemporaryFailure}[s.random.IntN(2)]
	s.mu.Unlock()
	s.send(leg.conn, s.releaseMessage(release{leg, cause}))
}

// AnswerBody returns the session description with which a switch answers a set-up.
func AnswerBody(switchID uint32, callID string, leg uint64) string {
	return fmt.Sprintf("answer of %s to %s, run %d", board.FormatID(switchID), callID, leg)
}

// sendAnswer writes the answer of an established call, with the fault of the outcome that was drawn.
func (s *Switch) sendAnswer(leg *callLeg, outcome SetUpOutcome) {
	message := &sip.Message{Status: sip.OK, CallID: leg.callID, CSeq: leg.cseq, CSeqMethod: sip.Invite, Body: []byte(AnswerBody(s.id, leg.callID, uint64(leg.number)))}
	s.mu.Lock()
	if leg.state != legEstablished { // released meanwhile
		s.mu.Unlock()
		return
	}
	message.Fields = append(message.Fields, s.loadField())
	variant := s.random.IntN(4)
	status := sip.OK
	if outcome == OutcomeMalformedAnswer || outcome == OutcomeTruncatedClose || outcome == OutcomeTruncatedOpen {
		status = 0
	}
	s.endSetUp(leg, status, outcome.String())
	s.mu.Unlock()
	octets := sip.Append(nil, message)
	switch outcome {
	case OutcomeMalformedAnswer:
		s.sendOctets(leg.conn, malformedAnswer(octets, leg.callID, variant))
	case OutcomeTruncatedClose:
		s.sendOctets(leg.conn, octets[:len(octets)/2])
		s.log.Add(Event{Kind: SwitchConnLost, Controller: leg.controller, SwitchID: s.id, ConnID: leg.conn.id, Detail: "closed within an answer"})
		leg.conn.netConn.Close()
	case OutcomeTruncatedOpen:
		s.sendOctets(leg.conn, octets[:len(octets)*2/3])
	case OutcomeUnknownIDFirst:
		unknown := *message
		unknown.CallID = fmt.Sprintf("f%015x", leg.number)
		s.sendOctets(leg.conn, sip.Append(sip.Append(nil, &unknown), message))
	case OutcomeDuplicateAnswer:
		s.sendOctets(leg.conn, octets)
		if s.sleepUnlessDead(time.Duration(float64(maxDuplicateDelay) * s.randomFloat())) {
			s.sendOctets(leg.conn, octets)
		}
	default:
		s.sendOctets(leg.conn, octets)
	}
}

// malformedAnswer returns an answer that can't be parsed.
func malformedAnswer(octets []byte, callID string, variant int) []byte {
	switch variant {
	case 0:
		return append([]byte("SIP/2.0 noise\x00"), octets[:len(octets)/2]...)
	case 1:
		return []byte("SIP/2.0 200 OK\r\nCall-ID: " + callID + "\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\n")
	case 2:
		return []byte("SIP/2.0 200 OK\r\nCall-ID: " + callID + "\r\nCSeq: 1 INVITE\r\nContent-Length: -7\r\n\r\n")
	}
	return append([]byte("SIP/2.0 200 OK\r\nCall-ID: "), make([]byte, 20<<10)...) // an endless line
}

// endAndRelease ends an established leg and sends a release to its controller: on the connection of the set-up or, if that is closed, on any open
// one. The release is repeated on the next connection that opens.
func (s *Switch) endAndRelease(leg *callLeg, cause int) {
	if !s.awaitResume() {
		return
	}
	s.mu.Lock()
	if !s.endLeg(leg, fmt.Sprintf("cause %d", cause)) {
		s.mu.Unlock()
		return
	}
	s.endSetUp(leg, 0, "released before its answer was sent")
	conn := leg.conn
	if conn.closed {
		conn = nil
		if open := s.conns[leg.controller]; len(open) > 0 {
			conn = open[s.random.IntN(len(open))]
		}
	}
	s.repeatedReleases[leg.controller] = append(s.repeatedReleases[leg.controller], release{leg, cause})
	s.mu.Unlock()
	if conn != nil {
		s.sendRelease(conn, release{leg, cause})
	}
}

// releaseMessage returns the BYE of a release.
func (s *Switch) releaseMessage(r release) *sip.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &sip.Message{Method: sip.Bye, URI: r.leg.uri, CallID: r.leg.callID, CSeq: 2, CSeqMethod: sip.Bye,
		Fields: []sip.Field{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", r.cause)}, s.loadField()}}
}

// sendRelease sends a release on a connection and records it.
func (s *Switch) sendRelease(conn *switchConn, r release) {
	s.send(conn, s.releaseMessage(r))
	s.log.Add(Event{Kind: ReleaseSent, Controller: r.leg.controller, SwitchID: s.id, CallID: r.leg.callID, ConnID: conn.id, Number: uint64(r.leg.number), Status: r.cause})
}

// DisconnectCalls disconnects a random half of the established calls.
func (s *Switch) DisconnectCalls() {
	s.mu.Lock()
	var established []*callLeg
	for _, legs := range s.legs {
		for _, leg := range legs {
			if leg.state == legEstablished && s.random.IntN(2) == 0 {
				established = append(established, leg)
			}
		}
	}
	s.mu.Unlock()
	for _, leg := range established {
		s.endAndRelease(leg, causeTemporaryFailure)
	}
}
