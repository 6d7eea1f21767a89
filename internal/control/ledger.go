package control

import (
	"fmt"
	"time"

	"indigodrift/internal/exchange"
	"indigodrift/internal/ledger"
	"indigodrift/internal/recovery"

	"github.com/cespare/xxhash/v2"
)

// callStore stores the calls of the exchange in a ledger. A call with a side at a gateway is not stored: the call agent restarts
// with no connections, so the call could not continue.
type callStore struct {
	*ledger.Ledger
	agent *agentAdapter
}

// Put stores a call unless one of its sides is at a gateway.
func (s callStore) Put(call recovery.StoredCall) {
	if s.agent.hasLine(call.In) || s.agent.hasLine(call.Out) {
		return
	}
	s.Ledger.Put(call)
}

// openLedger reads the calls that the previous process stored, restores them in the exchange, and stores its calls from then
// on.
func (s *Server) openLedger(name string) error {
	disk := s.config.Disk
	if disk == nil {
		disk = ledger.OSDisk{}
	}
	digest := xxhash.Sum64String(fmt.Sprintf("indigodrift exchange %d of %d", s.config.Deployment.OwnExchange, s.config.ExchangeCount))
	opened, contents, err := ledger.Open(name, digest, disk, func(text string) { s.log.Warn(text) })
	if err != nil {
		return err
	}
	s.ledger = opened
	s.exchange.SetStore(callStore{opened, s.agent}, s.clock.wallTime)
	if len(contents.Calls) == 0 && len(contents.Process.Incarnations) == 0 {
		return nil
	}
	settings := recovery.Settings{SiteDigest: digest, Circuits: map[int]int{}, HasLines: func(point uint16) bool {
		return point >= exchange.FirstSubscriberPoint && point < exchange.FirstGatewayPoint || point >= exchange.FirstCalledPoint && point < 1<<14
	}}
	for _, n := range s.config.Neighbours {
		settings.Circuits[n.Number] = n.Circuits
	}
	stored := make([]recovery.StoredCall, 0, len(contents.Calls))
	for _, call := range contents.Calls {
		stored = append(stored, call)
	}
	now := s.clock.Now()
	decisions := recovery.Decide(s.clock.wallTime(now), contents.Process, stored, settings)
	counts := map[recovery.Outcome]int{}
	for _, decision := range decisions {
		if counts[decision.Outcome]++; decision.Outcome == recovery.Continue || decision.Outcome == recovery.AnswerFailed {
			opened.Put(decision.StoredCall)
		}
	}
	for n, incarnation := range contents.Process.Incarnations {
		opened.SetIncarnation(n, incarnation)
	}
	opened.SetIncarnation(-1, contents.Process.OwnIncarnation)
	restored := s.exchange.Restore(now, contents.Process, decisions)
	s.log.Info("restored calls of the previous process", "stand on", restored, "answered failed", counts[recovery.AnswerFailed], "cut", counts[recovery.Release],
		"forgotten", counts[recovery.Discard], "dead for", time.Duration(s.clock.wallTime(now)-contents.Process.LastHeartbeat)*100*time.Microsecond)
	return nil
}
