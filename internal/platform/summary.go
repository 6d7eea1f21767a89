package platform

import (
	"log/slog"
	"runtime/metrics"

	"indigodrift/internal/b2bua"
)

// warn logs a warning, within the limit between two summaries.
func (s *Server) warn(text string) {
	if s.allowWarning() {
		s.log.Warn(text)
	}
}

// allowWarning reports whether one more warning may be logged before the next summary.
func (s *Server) allowWarning() bool {
	if s.warningCount++; s.warningCount > maxWarningsPerSummary {
		s.suppressed++
		return false
	}
	return true
}

// logSummary logs the controller's counters and its view of the switches, to be compared with the traffic on the sockets.
func (s *Server) logSummary() {
	counts, openCalls, establishedCalls, retained, callers, lateness := s.agent.Counts()
	releases, tries := s.agent.ReleaseCounts(), s.agent.TryCounts()
	memory := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(memory)
	s.log.Info("summary", "taken", counts.Accepted, "stood", counts.Established, "blocked", counts.Blocked, "aborted", counts.Aborted, "left", counts.Abandoned,
		"refused", counts.Refused, "released", counts.Released, "cut", counts.Disconnected, "crossed", counts.CancelCrossed, "open", openCalls, "standing", establishedCalls, "over", retained,
		"callers", callers, "descriptors", len(s.callerConns)+len(s.switchConns), "far", s.agent.SwitchStatuses(), "list", s.lastBoardEvent,
		"board", s.boardConnected, "late_ms", float64(lateness)/10, "stood_still", s.stalls,
		"memory_kb", (memory[0].Value.Uint64()-memory[1].Value.Uint64())>>10, "unsaid", s.suppressed,
		slog.Group("releases", "written", releases.Written, "repeated", releases.Repeated, "unanswered", releases.Unanswered, "confirmed", releases.Confirmed,
			"late", releases.Late, "dropped", releases.Dropped, "unknown", releases.Unknown, "waiting", releases.Pending, "oldest_ms", float64(releases.OldestAge)/10),
		slog.Group("tries", "written", tries.Written, "again", tries.Retries, "stood", tries.Answered, "refused", tries.Refused, "timed_out", tries.TimedOut,
			"cancelled", tries.Cancelled, "lost", tries.Lost, "reset", tries.Reset, "answered_late", tries.AnsweredLate),
		s.heldGroup())
	s.warningCount, s.suppressed, s.stalls = 0, 0, 0
	clear(s.recordCounts)
}

// heldGroup returns the log attributes of what the controller holds on account of its peers.
func (s *Server) heldGroup() slog.Attr {
	held := s.agent.Held()
	callerOctets, switchOctets := queuedOctets(s.callerConns), queuedOctets(s.switchConns)
	return slog.Group("held", "timers", held.Timers, "retained_calls", held.RetainedCalls, "release_copies", held.ReleaseCopies, "switches", held.Switches,
		"sent_releases", held.SentReleases, "caller_queue_octets", callerOctets, "switch_queue_octets", switchOctets, "policy_calls", held.Policy.Calls,
		"rejected_numbers", held.Policy.RejectedNumbers, "destinations", held.Policy.Destinations, "policy_switches", held.Policy.Switches)
}

// queuedOctets returns the octets queued on connections.
func queuedOctets(conns map[b2bua.ConnID]*connection) int {
	total := 0
	for _, conn := range conns {
		total += conn.queuedOctets()
	}
	return total
}
