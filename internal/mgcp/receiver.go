package mgcp

import "indigodrift/policy"

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

// StoredResponses returns the number of stored responses.
func (r *Receiver) StoredResponses() int { return len(r.responses) }
