package control

import (
	"fmt"
	"time"

	"indigodrift/internal/exchange"
	"indigodrift/internal/ledger"
	"indigodrift/internal/recovery"
	"indigodrift/policy"

	"github.com/cespare/xxhash/v2"
)

// keeper stores the calls of the exchange in a ledger. A call with a side at a gateway is not stored: the call agent restarts
// with no connections, so the call could not continue.
type keeper struct {
	*ledger.Ledger
	a *agent
}

func (k keeper) Put(c recovery.StoredCall) {
	if k.a.takes(c.In) || k.a.takes(c.Out) {
		return
	}
	k.Ledger.Put(c)
}

// wall converts a clock reading to tenths of a millisecond since 1970.
func (c *clock) wall(at policy.Tenths) int64 {
	return c.base.UnixNano()/100_000 + int64(at-epoch)
}

// openLedger reads the calls that the previous process stored, restores them in the exchange, and stores its calls from then
// on.
func (s *Server) openLedger(name string) error {
	disk := s.site.Disk
	if disk == nil {
		disk = ledger.OSDisk{}
	}
	digest := xxhash.Sum64String(fmt.Sprintf("indigodrift exchange %d of %d", s.site.Deployment.OwnExchange, s.site.ExchangeCount))
	l, c, err := ledger.Open(name, digest, disk, func(text string) { s.log.Warn(text) })
	if err != nil {
		return err
	}
	s.ledger = l
	s.x.SetStore(keeper{l, s.agent}, s.clock.wall)
	if len(c.Calls) == 0 && len(c.Process.Incarnations) == 0 {
		return nil
	}
	sites := recovery.Settings{SiteDigest: digest, Circuits: map[int]int{}, HasLines: func(point uint16) bool {
		return point >= exchange.FirstSubscriberPoint && point < exchange.FirstGatewayPoint || point >= exchange.FirstCalledPoint && point < 1<<14
	}}
	for _, n := range s.site.Neighbours {
		sites.Circuits[n.Number] = n.Circuits
	}
	kept := make([]recovery.StoredCall, 0, len(c.Calls))
	for _, k := range c.Calls {
		kept = append(kept, k)
	}
	now := s.clock.Now()
	verdicts := recovery.Decide(s.clock.wall(now), c.Process, kept, sites)
	count := map[recovery.Outcome]int{}
	for _, v := range verdicts {
		if count[v.Outcome]++; v.Outcome == recovery.Continue || v.Outcome == recovery.AnswerFailed {
			l.Put(v.StoredCall)
		}
	}
	for n, life := range c.Process.Incarnations {
		l.Knows(n, life)
	}
	l.Knows(-1, c.Process.OwnIncarnation)
	standing := s.x.Restore(now, c.Process, verdicts)
	s.log.Info("restored calls of the previous process", "stand on", standing, "answered failed", count[recovery.AnswerFailed], "cut", count[recovery.Release],
		"forgotten", count[recovery.Discard], "dead for", time.Duration(s.clock.wall(now)-c.Process.LastHeartbeat)*100*time.Microsecond)
	return nil
}
