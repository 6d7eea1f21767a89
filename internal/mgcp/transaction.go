package mgcp

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"indigodrift/policy"
)

// Times of RFC 3435, 3.5, in tenths of a millisecond.
const (
	TMax  = policy.Tenths(200000) // T-MAX: a command is retransmitted for so long at most
	THist = policy.Tenths(300000) // T-HIST: responses are stored and transaction IDs not reused for so long

	longTransactionTimer   = policy.Tenths(50000) // between retransmissions after a provisional response
	initialRTO             = policy.Tenths(2000)  // until a response time has been measured
	minRTO                 = policy.Tenths(500)
	maxRTO                 = policy.Tenths(40000) // 3.5.3: four seconds
	suspectRetransmissions = 5                    // Max1: then the peer's other addresses are tried
	maxRetransmissions     = 7                    // Max2: then the peer counts as disconnected
	rtoDeviations          = 2                    // deviations added to the mean response time
	maxID                  = uint32(MaxTransactionID)
	meanGain               = 0.125 // weight of a new sample in the moving averages
	deviationGain          = 0.25
	lossGain               = 0.05
	minTransmissions       = 8       // of a command until its deadline
	jitter                 = 0.1     // share of a wait that is added at random
	maxStoredResponses     = 1 << 16 // of one peer
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
	heldRTO          policy.Tenths              // response time of the last command if it was retransmitted, otherwise 0
	finished         map[uint32]finishedCommand // answered or abandoned, by transaction ID
	purgeAt          policy.Tenths
	pendingAcks      []uint32 // acknowledged with the next command (K parameter)
}

// TransactionIDs allocates the transaction IDs of all senders of a call agent or gateway, so that an ID identifies the sender.
type TransactionIDs struct{ next uint32 }

// NewTransactionIDs returns IDs that start after first. A restarted process must continue after its last ID or start at random.
func NewTransactionIDs(first uint32) *TransactionIDs { return &TransactionIDs{first%maxID + 1} }

// allocate returns the next transaction ID.
func (t *TransactionIDs) allocate() uint32 {
	id := t.next
	t.next = id%maxID + 1
	return id
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

// Receiver ensures that each command of a peer is executed at most once (3.5.1). A command that is repeated during its execution gets a
// provisional response; for THist after it, the stored response.
type Receiver struct {
	responses map[uint32]*storedResponse
	order     []uint32
}

// storedResponse is a command and the response to it, once there is one.
type storedResponse struct {
	digest    uint64 // of the command
	response  Message
	done      bool
	expiresAt policy.Tenths
}

// NewReceiver returns a receiver without stored responses.
func NewReceiver() *Receiver { return &Receiver{responses: map[uint32]*storedResponse{}} }

// HandleCommand handles a received command. If execute is true the command is new, and StoreResponse must follow its execution.
// Otherwise reply is the response to send.
func (r *Receiver) HandleCommand(now policy.Tenths, msg Message) (execute bool, reply *Message) {
	r.purge(now)
	commandDigest := digest(msg)
	// A different command with a stored transaction ID is not a repetition. A restarted gateway may reuse its IDs: its off-hook
	// notification got the response to an old command and was lost.
	if stored := r.responses[msg.Transaction]; stored != nil && stored.digest == commandDigest {
		if stored.done {
			return false, &stored.response
		}
		return false, &Message{Transaction: msg.Transaction, Code: 100, Comment: "being carried out"}
	}
	if len(r.responses) >= maxStoredResponses { // bounds the memory; 403: insufficient resources at this time
		return false, &Message{Transaction: msg.Transaction, Code: 403, Comment: "too many transactions"}
	}
	r.responses[msg.Transaction] = &storedResponse{digest: commandDigest, expiresAt: now + THist}
	r.order = append(r.order, msg.Transaction)
	return true, nil
}

// StoreResponse stores the response to a command and returns it.
func (r *Receiver) StoreResponse(now policy.Tenths, response Message) Message {
	if stored := r.responses[response.Transaction]; stored != nil {
		stored.response, stored.done, stored.expiresAt = response, true, now+THist
	}
	return response
}

// HandleAck drops the parameters of a response that the peer has acknowledged. Its transaction ID stays in use for THist.
func (r *Receiver) HandleAck(id uint32) {
	if stored := r.responses[id]; stored != nil && stored.done {
		stored.response = Message{Transaction: id, Code: stored.response.Code}
	}
}

// purge removes expired responses. They expire THist after they were sent, so not always in the order of the commands; a response
// that expires late delays the removal of those after it.
func (r *Receiver) purge(now policy.Tenths) {
	for len(r.order) > 0 {
		stored := r.responses[r.order[0]]
		if stored != nil && now < stored.expiresAt {
			return
		}
		delete(r.responses, r.order[0])
		r.order = r.order[1:]
	}
}

// ParseIDRanges parses the transaction IDs of a K parameter. Malformed and too wide ranges are ignored.
func ParseIDRanges(text string) (ids []uint32) {
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(strings.TrimSpace(part), "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(strings.TrimSpace(first), 10, 32)
		to, toErr := strconv.ParseUint(strings.TrimSpace(last), 10, 32)
		if err != nil || toErr != nil || to < from || to-from > maxStoredResponses {
			continue
		}
		for id := from; id <= to && len(ids) < maxStoredResponses; id++ {
			ids = append(ids, uint32(id))
		}
	}
	return ids
}

// digest distinguishes messages with the same transaction ID. Repeated messages differ only in their acknowledgements (K).
func digest(msg Message) uint64 {
	h := xxhash.New()
	fmt.Fprint(h, msg.Verb, msg.Endpoint, msg.Code)
	for _, p := range msg.Params {
		if p.Name != "K" {
			h.WriteString(p.Name + ":" + p.Value + "\n")
		}
	}
	h.Write(msg.Session)
	h.Write(msg.SecondSession)
	return h.Sum64()
}

// StoredResponses returns the number of stored responses.
func (r *Receiver) StoredResponses() int { return len(r.responses) }

// formatIDRanges formats transaction IDs as a K parameter: 6234-6255, 6257.
func formatIDRanges(ids []uint32) string {
	var b []byte
	for i := 0; i < len(ids); {
		j := i
		for j+1 < len(ids) && ids[j+1] == ids[j]+1 {
			j++
		}
		if len(b) > 0 {
			b = append(b, ", "...)
		}
		b = strconv.AppendUint(b, uint64(ids[i]), 10)
		if j > i {
			b = strconv.AppendUint(append(b, '-'), uint64(ids[j]), 10)
		}
		i = j + 1
	}
	return string(b)
}
