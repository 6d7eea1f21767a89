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

func (k keeper) Put(c recovery.Kept) {
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
func (s *Station) openLedger(name string) error {
	disk := s.site.Disk
	if disk == nil {
		disk = ledger.OnDisk{}
	}
	digest := xxhash.Sum64String(fmt.Sprintf("indigodrift exchange %d of %d", s.site.Deployment.OwnExchange, s.site.Exchanges))
	l, c, err := ledger.Open(name, digest, disk, func(text string) { s.log.Warn(text) })
	if err != nil {
		return err
	}
	s.ledger = l
	s.x.Keep(keeper{l, s.agent}, s.clock.wall)
	if len(c.Calls) == 0 && len(c.Life.Far) == 0 {
		return nil
	}
	sites := recovery.Sites{Digest: digest, Circuits: map[int]int{}, Lines: func(point uint16) bool {
		return point >= exchange.Lines && point < exchange.AtGateways || point >= exchange.CalledFrom && point < 1<<14
	}}
	for _, n := range s.site.Neighbours {
		sites.Circuits[n.Number] = n.Circuits
	}
	kept := make([]recovery.Kept, 0, len(c.Calls))
	for _, k := range c.Calls {
		kept = append(kept, k)
	}
	now := s.clock.Now()
	verdicts := recovery.Judge(s.clock.wall(now), c.Life, kept, sites)
	count := map[recovery.Fate]int{}
	for _, v := range verdicts {
		if count[v.Fate]++; v.Fate == recovery.StandsOn || v.Fate == recovery.AnswerFail {
			l.Put(v.Kept)
		}
	}
	for n, life := range c.Life.Far {
		l.Knows(n, life)
	}
	l.Knows(-1, c.Life.Own)
	standing := s.x.Restore(now, c.Life, verdicts)
	s.log.Info("restored calls of the previous process", "stand on", standing, "answered failed", count[recovery.AnswerFail], "cut", count[recovery.Cut],
		"forgotten", count[recovery.Forget], "dead for", time.Duration(s.clock.wall(now)-c.Life.Alive)*100*time.Microsecond)
	return nil
}
