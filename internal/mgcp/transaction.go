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
	TMax  = policy.Tenths(200000) // a command is repeated for so long at most, and is then given up
	THist = policy.Tenths(300000) // a response is kept so long after it was sent, and an id is not used again before

	longTransactionTimer   = policy.Tenths(50000) // after a provisional response a command is repeated this seldom
	initialRTO             = policy.Tenths(2000)  // before any answer of a peer has told how long it takes
	minRTO                 = policy.Tenths(500)   // the least wait before a repeat
	maxRTO                 = policy.Tenths(40000) // 3.5.3: not over four seconds
	suspectRetransmissions = 5                    // Max1: repeats after which a peer's other addresses are tried
	maxRetransmissions     = 7                    // Max2: repeats after which it is held to be disconnected
	rtoDeviations          = 2                    // deviations above the mean answer time that a wait allows for
	maxID                  = uint32(MaxTransactionID)
	meanGain               = 0.125
	deviationGain          = 0.25
	lossGain               = 0.05
	minTransmissions       = 8
	jitter                 = 0.1
	maxStoredResponses     = 1 << 16 // responses kept for one peer
)

// Outcome of a command that was sent.
type Outcome uint8

const (
	Answered         Outcome = iota
	PeerSuspect              // not answered so often that another address of the peer should be tried; it goes on
	PeerDisconnected         // given up: the peer is held to be disconnected
)

// SenderOutput is what a Sender asks for. Ended may send, Transmit must not call back.
type SenderOutput interface {
	Transmit(m Message, repeat int)                   // put it on the wire; repeat counts from 0
	HandleOutcome(id uint32, fate Outcome, r Message) // r is the response when it was answered
	// HandleConflict tells that a command which is over was answered again, otherwise: the first answer counts, but the peer may
	// hold what it said the second time.
	HandleConflict(id uint32, first int, r Message)
}

type pendingCommand struct {
	message         Message
	sentAt          policy.Tenths
	retransmitAt    policy.Tenths
	retransmissions int
	deadline        policy.Tenths // it is of use until then, 0: no matter when
	provisional     bool          // a provisional response came
	suspect         bool
}

// finishedCommand is a command that was answered or given up: its id must not be used again until then.
type finishedCommand struct {
	reusableAt policy.Tenths
	code       int // of the answer, 0 none
	digest     uint64
}

// Sender sees commands to one peer through: repeats them with a wait that follows how long answers take and doubles, gives
// them up after TMax, and acknowledges final responses that ask for it.
type Sender struct {
	output           SenderOutput
	random           *rand.Rand
	pending          map[uint32]*pendingCommand
	order            []uint32 // as sent
	ids              *TransactionIDs
	meanResponseTime float64 // answer time, tenths
	deviation        float64
	measured         bool
	lossRate         float64                    // share of commands that had to be repeated, of late
	heldRTO          policy.Tenths              // the wait that a repeated command had come to, until one is answered without a repeat
	finished         map[uint32]finishedCommand // given up or answered
	purgeAt          policy.Tenths
	pendingAcks      []uint32 // answered, to be acknowledged with the next command (K parameter)
}

// TransactionIDs counts transaction ids for all the senders of one party, so that a response tells by its id alone whose it is.
type TransactionIDs struct{ next uint32 }

// NewTransactionIDs starts with an id; the one after the last must be kept over a restart of the program, or drawn at random.
func NewTransactionIDs(first uint32) *TransactionIDs { return &TransactionIDs{first%maxID + 1} }

func (t *TransactionIDs) allocate() uint32 {
	id := t.next
	t.next = id%maxID + 1
	return id
}

// NewSender makes a sender that has nothing out.
func NewSender(ids *TransactionIDs, seed uint64, output SenderOutput) *Sender {
	return &Sender{output: output, random: rand.New(rand.NewPCG(seed, 0x17)), pending: map[uint32]*pendingCommand{}, ids: ids, finished: map[uint32]finishedCommand{}}
}

// rto is the wait before the first repeat: the mean answer time and some deviations.
func (s *Sender) rto() policy.Tenths {
	switch {
	case s.heldRTO > 0:
		return s.heldRTO
	case !s.measured:
		return initialRTO
	}
	return min(maxRTO, max(minRTO, policy.Tenths(s.meanResponseTime+rtoDeviations*s.deviation)))
}

// Send sends a command under a new transaction id and returns it.
func (s *Sender) Send(now policy.Tenths, m Message) uint32 { return s.SendWithDeadline(now, m, 0) }

// SendWithDeadline sends a command that is of use until an instant only: however long this peer's answers take, it is repeated often
// enough to be sent minTransmissions until then. A call's last answer went out but once or twice on a network that lost one datagram in
// three, with the waits that such a network leads to.
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

// boundWait shortens a wait for a command that is of use for a while only.
func (c *pendingCommand) boundWait(now, wait policy.Tenths) policy.Tenths {
	if now >= c.deadline {
		return wait
	}
	return min(wait, max(minRTO, (c.deadline-c.sentAt)/minTransmissions))
}

// addJitter keeps many senders that began together from repeating together.
func (s *Sender) addJitter(wait policy.Tenths) policy.Tenths {
	return wait + policy.Tenths(float64(wait)*jitter*s.random.Float64())
}

// HandleResponse takes a response. One to a command that is over, or never was, is passed over; a final one that follows a
// provisional one is acknowledged at once (the three-way handshake of 3.5.6).
func (s *Sender) HandleResponse(now policy.Tenths, response Message) {
	command := s.pending[response.Transaction]
	if command == nil {
		// What a peer has seen acknowledged it repeats without its parameters: no contradiction, though on a network that held
		// commands up it was taken for one, and every such repeat had a whole gateway audited. An answer to what was never sent, or is
		// forgotten, tells that something old was carried out just now.
		finished, known := s.finished[response.Transaction]
		stripped := response.Code == finished.code && len(response.Params)+len(response.Session) == 0
		if !response.IsProvisional() && (!known || finished.code != 0 && finished.digest != digest(response) && !stripped) {
			s.output.HandleConflict(response.Transaction, finished.code, response)
		}
		return
	}
	if response.IsProvisional() {
		command.provisional = true
		command.retransmitAt = min(now+longTransactionTimer, command.sentAt+TMax) // unbounded, a late provisional response kept a dead command past TMax
		return
	}
	// An answer to a repeat may be the answer to the first and tells no time; the next command waits as long as this one took in
	// all, so that a peer slower than the first wait is learned of (Karn's rule, without its doubling: on a network that loses one
	// datagram in three the wait doubled from command to command, and the last answers of a call were sent but once).
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

func (s *Sender) finish(now policy.Tenths, id uint32, finished finishedCommand) {
	delete(s.pending, id)
	finished.reusableAt = now + THist
	s.finished[id] = finished
	for len(s.order) > 0 && s.pending[s.order[0]] == nil {
		s.order = s.order[1:]
	}
}

// Tick repeats what is due and gives up what has been repeated too long.
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
	for id, finished := range s.finished { // bounded by what was sent within THist and the time between two sweeps
		if now >= finished.reusableAt {
			delete(s.finished, id)
		}
	}
}

// Cancel gives a command up without a word: nobody waits for its answer any more.
func (s *Sender) Cancel(now policy.Tenths, id uint32) {
	if s.pending[id] != nil {
		s.finish(now, id, finishedCommand{})
	}
}

// CancelAll gives up all that is out, as when the peer has restarted and knows of none of it. It returns the ids.
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

// LossRate is the share of commands that had to be repeated, of late.
func (s *Sender) LossRate() float64 { return s.lossRate }

// RetransmissionTimeout is how long the first repeat of a command is waited for now.
func (s *Sender) RetransmissionTimeout() policy.Tenths { return s.rto() }

// Next is when Tick must be called next; false when nothing is out.
func (s *Sender) Next() (at policy.Tenths, ok bool) {
	for _, id := range s.order {
		if command := s.pending[id]; command != nil && (!ok || command.retransmitAt < at) {
			at, ok = command.retransmitAt, true
		}
	}
	return at, ok
}

// Receiver carries each command of one peer out at most once (3.5.1): a command that comes again while it is being carried
// out gets a provisional response, and afterwards the response that was sent before, for THist.
type Receiver struct {
	responses map[uint32]*storedResponse
	order     []uint32
}

type storedResponse struct {
	digest    uint64 // digest of the command
	response  Message
	done      bool
	expiresAt policy.Tenths
}

// NewReceiver makes a receiver that has seen nothing.
func NewReceiver() *Receiver { return &Receiver{responses: map[uint32]*storedResponse{}} }

// HandleCommand takes a command. carryOut: it is new, and Done must follow; else reply, if any, goes back.
func (r *Receiver) HandleCommand(now policy.Tenths, msg Message) (execute bool, reply *Message) {
	r.purge(now)
	commandDigest := digest(msg)
	// Another command under an id that is still kept is no repeat: a gateway that restarts may count from where it counted
	// before, and its off-hook was answered with the answer to an old one and lost.
	if stored := r.responses[msg.Transaction]; stored != nil && stored.digest == commandDigest {
		if stored.done {
			return false, &stored.response
		}
		return false, &Message{Transaction: msg.Transaction, Code: 100, Comment: "being carried out"}
	}
	if len(r.responses) >= maxStoredResponses { // memory stays bounded: an overloaded peer is told so (403: no resources now)
		return false, &Message{Transaction: msg.Transaction, Code: 403, Comment: "too many transactions"}
	}
	r.responses[msg.Transaction] = &storedResponse{digest: commandDigest, expiresAt: now + THist}
	r.order = append(r.order, msg.Transaction)
	return true, nil
}

// StoreResponse keeps the response to a command and returns what to send.
func (r *Receiver) StoreResponse(now policy.Tenths, response Message) Message {
	if stored := r.responses[response.Transaction]; stored != nil {
		stored.response, stored.done, stored.expiresAt = response, true, now+THist
	}
	return response
}

// HandleAck forgets a response that the peer has; its id stays used until THist has passed.
func (r *Receiver) HandleAck(id uint32) {
	if stored := r.responses[id]; stored != nil && stored.done {
		stored.response = Message{Transaction: id, Code: stored.response.Code}
	}
}

// purge drops what was kept for long enough. Responses are kept from when they were sent, so that the order of commands
// is not quite that of their ends; one in the way of others waits for its own time.
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

// ParseIDRanges reads ids as the K parameter has them. What is no range is passed over, and a range that is too wide.
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

// digest tells messages apart that share an id. Repeats are the same octets; only acknowledgements that ride along (K) may
// differ between them.
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

// StoredResponses counts the responses kept.
func (r *Receiver) StoredResponses() int { return len(r.responses) }

// formatIDRanges writes ids as the K parameter has them: 6234-6255, 6257.
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
