package platform

import (
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	queueMemoryDivisor = 8 // queued octets of all connections may take 1/8 of the memory limit
	queueBudgetDivisor = 2 // and those of one connection half of that

	// unreadTimeout is how long a write may take before its peer counts as one that does not read.
	unreadTimeout = 100 * time.Millisecond
)

// writeBudget counts the octets that wait to be written on all connections.
type writeBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *writeBudget) add(octets int) {
	if b != nil {
		b.used.Add(int64(octets))
	}
}

func (b *writeBudget) exceeded() bool { return b.used.Load() > b.limit }

// closeLargestQueues closes connections until the queued octets are within the budget: first those whose peers do not
// read, and among these the ones with most octets queued.
func (s *Server) closeLargestQueues() {
	for s.writeBudget.exceeded() {
		worst := s.largestQueue()
		if worst == nil {
			return
		}
		s.logClosedByQueue(worst, "connection closed: too much is queued on all connections")
		worst.discard()
		worst.netConn.Close() // the write in progress ends as well
		worst.writeEnded()
	}
}

// largestQueue returns the connection that is to be closed first for its queue, nil if nothing is queued.
func (s *Server) largestQueue() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	var worst *connection
	worstUnread, worstOctets := false, 0
	for conn := range s.openConns {
		unread, octets := conn.unreadFor() >= unreadTimeout, conn.queuedOctets()
		if octets == 0 || worst != nil && (worstUnread && !unread || worstUnread == unread && octets <= worstOctets) {
			continue
		}
		worst, worstUnread, worstOctets = conn, unread, octets
	}
	return worst
}

// logClosedByQueue logs that a connection is closed for what is queued on it.
func (s *Server) logClosedByQueue(conn *connection, text string) {
	if s.allowWarning() {
		s.log.Warn(text, "conn", conn.id, "peer", conn.netConn.RemoteAddr(), "queued_octets", conn.queuedOctets(),
			slog.Int64("unread_ms", conn.unreadFor().Milliseconds()))
	}
}
