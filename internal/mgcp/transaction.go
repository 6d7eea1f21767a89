package mgcp

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"indigodrift/policy"
)

// Times of RFC 3435, 3.5, in tenths of a millisecond.
const (
	TMax  = policy.Tenths(200000) // T-MAX: a command is retransmitted for so long at most, then abandoned
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
