package mgcp

import (
	"math/rand/v2"

	"indigodrift/policy"
)

// Outcome is the outcome of a command.
type Outcome uint8

const (
	Answered         Outcome = iota // by a final response
	PeerSuspect                     // not answered so far: another address of the peer should be tried; retransmission continues
	PeerDisconnected                // not answered: the peer counts as disconnected
)

// SenderOutput transmits the messages of a Sender and handles the outcomes of its commands. HandleOutcome may send commands;
// Transmit must not call the Sender.
type SenderOutput interface {
	Transmit(msg Message, retransmission int)                   // retransmission counts from 0
	HandleOutcome(id uint32, outcome Outcome, response Message) // response is empty unless the command was answered
	// HandleConflict handles a second, different response to a finished command. The first one counts, with the code firstCode,
	// but the peer may be in the state that the second one reports.
	HandleConflict(id uint32, firstCode int, response Message)
}

// pendingCommand is a command without a final response so far.
type pendingCommand struct {
	message         Message
	sentAt          policy.Tenths
	retransmitAt    policy.Tenths
	retransmissions int
	deadline        policy.Tenths // the command is of use until then, 0 for no deadline
	provisional     bool          // a provisional response was received
	suspect         bool          // PeerSuspect was reported
}

// finishedCommand is a command that was answered or abandoned. Its transaction ID must not be reused before reusableAt.
type finishedCommand struct {
	reusableAt policy.Tenths
	code       int    // of the response, 0 for none
	digest     uint64 // of the response
}

// Sender sends commands to one peer. It retransmits them at doubling intervals that adapt to the measured response time, abandons
// them after TMax, and acknowledges responses.
type Sender struct {
	output           SenderOutput
	random           *rand.Rand
	pending          map[uint32]*pendingCommand
	order            []uint32 // pending transaction IDs in the order sent
	ids              *TransactionIDs
	meanResponseTime float64 // in tenths of a millisecond
	deviation        float64
	measured         bool                       // a response time has been measured
	lossRate         float64                    // moving average of the share of retransmitted commands
	heldRTO          policy.Tenths              // response time of the last answered command if it was retransmitted, otherwise 0
	finished         map[uint32]finishedCommand // answered or abandoned, by transaction ID
	purgeAt          policy.Tenths
	pendingAcks      []uint32 // acknowledged with the next command (K parameter)
}

// NewSender returns a sender without pending commands.
func NewSender(ids *TransactionIDs, seed uint64, output SenderOutput) *Sender {
	return &Sender{output: output, random: rand.New(rand.NewPCG(seed, 0x17)), pending: map[uint32]*pendingCommand{}, ids: ids,
		finished: map[uint32]finishedCommand{}}
}

// rto returns the time until the first retransmission: the mean response time plus some deviations.
func (s *Sender) rto() policy.Tenths {
	switch {
	case s.heldRTO > 0:
		return s.heldRTO
	case !s.measured:
		return initialRTO
	}
	return min(maxRTO, max(minRTO, policy.Tenths(s.meanResponseTime+rtoDeviations*s.deviation)))
}

// Send sends a command with a new transaction ID, which it returns.
func (s *Sender) Send(now policy.Tenths, m Message) uint32 { return s.SendWithDeadline(now, m, 0) }

// SendWithDeadline sends a command that is of use only until a deadline. It is transmitted at least minTransmissions times until then,
// whatever the response time of the peer. With a third of all datagrams lost, the timeouts had grown so much that the last answer of
// a call was transmitted only once or twice.
func (s *Sender) SendWithDeadline(now policy.Tenths, msg Message, deadline policy.Tenths) uint32 {
	for msg.Transaction = s.ids.allocate(); ; msg.Transaction = s.ids.allocate() {
		finished, used := s.finished[msg.Transaction]
		if s.pending[msg.Transaction] == nil && (!used || now >= finished.reusableAt) {
			break
		}
	}
	delete(s.finished, msg.Transaction)
	if len(s.pendingAcks) > 0 {
		msg.Params = append([]Param{{"K", formatIDRanges(s.pendingAcks)}}, msg.Params...)
		s.pendingAcks = s.pendingAcks[:0]
	}
	command := &pendingCommand{message: msg, sentAt: now, deadline: deadline}
	command.retransmitAt = now + s.addJitter(command.boundWait(now, s.rto()))
	s.pending[msg.Transaction] = command
	s.order = append(s.order, msg.Transaction)
	s.output.Transmit(msg, 0)
	return msg.Transaction
}

// boundWait shortens a wait so that the command is transmitted minTransmissions times until its deadline.
func (c *pendingCommand) boundWait(now, wait policy.Tenths) policy.Tenths {
	if now >= c.deadline {
		return wait
	}
	return min(wait, max(minRTO, (c.deadline-c.sentAt)/minTransmissions))
}

// addJitter lengthens a wait at random, so that senders that started together don't retransmit together.
func (s *Sender) addJitter(wait policy.Tenths) policy.Tenths {
	return wait + policy.Tenths(float64(wait)*jitter*s.random.Float64())
}

// HandleResponse handles a response. A repeated response to a finished command is ignored, a different one is a conflict. A final
// response after a provisional one is acknowledged at once (the three-way handshake of 3.5.6).
func (s *Sender) HandleResponse(now policy.Tenths, response Message) {
	command := s.pending[response.Transaction]
	if command == nil {
		// A peer repeats an acknowledged response without its parameters. That is no conflict; taken for one on a network with
		// delays, it caused an audit of the whole gateway each time. A response to an unknown transaction means that an old command
		// was executed just now.
		finished, known := s.finished[response.Transaction]
		stripped := response.Code == finished.code && len(response.Params)+len(response.Session) == 0
		if !response.IsProvisional() && (!known || finished.code != 0 && finished.digest != digest(response) && !stripped) {
			s.output.HandleConflict(response.Transaction, finished.code, response)
		}
		return
	}
	if response.IsProvisional() {
		command.provisional = true
		// Without the bound a late provisional response kept a command beyond TMax.
		command.retransmitAt = min(now+longTransactionTimer, command.sentAt+TMax)
		return
	}
	// The response to a retransmitted command gives no response time, as it may answer any transmission (Karn's rule). The next
	// command waits as long as this one took in all, so that a peer slower than the timeout is measured. The timeout isn't doubled:
	// with a third of all datagrams lost it doubled with each command, and the last answers of a call were transmitted only once.
	s.lossRate += lossGain * (min(1, float64(command.retransmissions)) - s.lossRate)
	if command.retransmissions > 0 {
		s.heldRTO = min(maxRTO, now-command.sentAt)
	} else {
		s.heldRTO = 0
		responseTime := float64(now - command.sentAt)
		if !s.measured {
			s.measured, s.meanResponseTime, s.deviation = true, responseTime, responseTime/2
		} else if difference := responseTime - s.meanResponseTime; !command.provisional {
			s.meanResponseTime += meanGain * difference
			s.deviation += deviationGain * (max(difference, -difference) - s.deviation)
		}
	}
	if command.provisional {
		s.output.Transmit(Message{Transaction: response.Transaction}, 0)
	} else {
		s.pendingAcks = append(s.pendingAcks, response.Transaction)
	}
	s.finish(now, response.Transaction, finishedCommand{code: response.Code, digest: digest(response)})
	s.output.HandleOutcome(response.Transaction, Answered, response)
}

// finish moves a command from the pending to the finished ones.
func (s *Sender) finish(now policy.Tenths, id uint32, finished finishedCommand) {
	delete(s.pending, id)
	finished.reusableAt = now + THist
	s.finished[id] = finished
	for len(s.order) > 0 && s.pending[s.order[0]] == nil {
		s.order = s.order[1:]
	}
}

// Tick retransmits the commands that are due and abandons those that have been retransmitted too often or too long.
func (s *Sender) Tick(now policy.Tenths) {
	for _, id := range append([]uint32(nil), s.order...) {
		command := s.pending[id]
		if command == nil || now < command.retransmitAt {
			continue
		}
		if now-command.sentAt >= TMax || command.retransmissions >= maxRetransmissions && !command.provisional && now >= command.deadline {
			s.finish(now, id, finishedCommand{})
			s.output.HandleOutcome(id, PeerDisconnected, Message{})
			continue
		}
		command.retransmissions++
		wait := longTransactionTimer
		if !command.provisional {
			wait = command.boundWait(now, min(maxRTO, s.rto()<<command.retransmissions))
		}
		command.retransmitAt = min(now+s.addJitter(wait), command.sentAt+TMax)
		s.output.Transmit(command.message, command.retransmissions)
		if command.retransmissions == suspectRetransmissions && !command.suspect {
			command.suspect = true
			s.output.HandleOutcome(id, PeerSuspect, Message{})
		}
	}
	if now < s.purgeAt {
		return
	}
	s.purgeAt = now + THist/8
	for id, finished := range s.finished { // bounded by the commands sent within THist and one purge interval
		if now >= finished.reusableAt {
			delete(s.finished, id)
		}
	}
}

// Cancel abandons a command without reporting an outcome.
func (s *Sender) Cancel(now policy.Tenths, id uint32) {
	if s.pending[id] != nil {
		s.finish(now, id, finishedCommand{})
	}
}

// CancelAll abandons all pending commands, as after a restart of the peer, and returns their transaction IDs.
func (s *Sender) CancelAll(now policy.Tenths) []uint32 {
	var cancelled []uint32
	for _, id := range append([]uint32(nil), s.order...) {
		if s.pending[id] != nil {
			s.finish(now, id, finishedCommand{})
			cancelled = append(cancelled, id)
		}
	}
	return cancelled
}

// LossRate returns the recent share of commands that were retransmitted.
func (s *Sender) LossRate() float64 { return s.lossRate }

// RetransmissionTimeout returns the current time until the first retransmission of a command.
func (s *Sender) RetransmissionTimeout() policy.Tenths { return s.rto() }

// Next returns the time at which Tick must be called next; false if no command is pending.
func (s *Sender) Next() (at policy.Tenths, ok bool) {
	for _, id := range s.order {
		if command := s.pending[id]; command != nil && (!ok || command.retransmitAt < at) {
			at, ok = command.retransmitAt, true
		}
	}
	return at, ok
}
