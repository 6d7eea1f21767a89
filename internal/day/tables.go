package day

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/enum"
	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/standin"
)

// A day with tables leads numbers that begin with the three digits of n to exchange n plus the version, counted round: so
// that every version sends every number elsewhere, and a call routed by two of them shows.

func (r *runner) tableFile(version int) string {
	return filepath.Join(r.dir, fmt.Sprintf("table-%d.hcl", version))
}

// writeNextTable writes the next version.
func (r *runner) writeNextTable() error {
	r.tableVersion++
	var b strings.Builder
	fmt.Fprintf(&b, "name    = \"day\"\nversion = %d\ndialling {\n  international = \"\"\n}\n", r.tableVersion)
	for n := range r.script.ExchangeCount {
		fmt.Fprintf(&b, "\nroute \"from-%d\" {\n  least    = 9\n  most     = 9\n  ported   = %v\n  prefixes = [\"%03d\"]\n  choice {\n    to \"%d\" {}\n  }\n}\n", n, r.script.PortedShare > 0, n, (n+r.tableVersion)%r.script.ExchangeCount)
	}
	if err := os.WriteFile(r.tableFile(r.tableVersion), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

const enumZone = "e164.test."

// startPortability has a part of the callers' numbers ported to the exchange after next.
func (r *runner) startPortability() error {
	chance := rand.New(rand.NewPCG(r.script.Seed, 0xe1))
	ported := map[string]string{}
	for _, c := range r.plan.callers {
		if chance.Float64() < r.script.PortedShare {
			ported[enum.DomainName(exchange.LineNumber(c.Dest, c.Line()), enumZone)] = exchange.LineNumber((c.Dest+2)%r.script.ExchangeCount, c.Line())
		}
	}
	var err error
	if r.portability, err = standin.NewPortabilityServer(ported); err != nil {
		return fmt.Errorf("portability server: %w", err)
	}
	return nil
}

// changeTables has all exchanges take one new table after the other, every so often.
func changeTables(r *runner, t Trouble, _ []int, _ *rand.Rand) func() {
	r.wg.Go(func() {
		for at := time.Duration(0); at < t.Duration && r.sleep(t.Interval); at += t.Interval {
			if err := r.writeNextTable(); err != nil {
				fmt.Fprintln(r.options.Progress, err)
				return
			}
			name := r.tableFile(r.tableVersion)
			for _, c := range r.controllers {
				r.wg.Go(func() { c.process().Load(name) }) // one that is down or stopped keeps its own: calls tell by what they went
			}
		}
	})
	return nil
}

// checkTables checks, from what switches saw, that every call goes by one whole version: all its tries by the same, each
// to where that version leads the number dialled. It returns the versions seen and the calls that mixed two.
func checkTables(events []audit.Event, exchanges int) (versions, mixed int) {
	dialled, by, seen := map[isup.Reference]uint32{}, map[isup.Reference]int64{}, map[int64]bool{}
	bad := map[isup.Reference]bool{}
	for _, e := range events {
		switch e.Kind {
		case audit.CallOffered:
			dialled[e.Ref] = e.Slots
		case audit.TryReceived:
			version, dest := e.Value>>16, e.Value&0xffff
			n, ok := dialled[e.Ref]
			if !ok {
				continue
			}
			if was, again := by[e.Ref]; again && was != version || dest != (int64(n)+version)%int64(exchanges) {
				bad[e.Ref] = true
			}
			by[e.Ref], seen[version] = version, true
		}
	}
	return len(seen), len(bad)
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("address for orders: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
