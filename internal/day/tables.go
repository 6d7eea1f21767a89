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

// The number tables of a day route numbers with the three-digit prefix n to exchange n + version, modulo the number of
// exchanges. Every version changes the destination of every number, so that the audit log shows a call that is routed by
// two versions.

func (r *runner) tableFile(version int) string {
	return filepath.Join(r.dir, fmt.Sprintf("table-%d.hcl", version))
}

// writeNextTable writes the next version of the number table.
func (r *runner) writeNextTable() error {
	r.tableVersion++
	var table strings.Builder
	fmt.Fprintf(&table, "name    = \"day\"\nversion = %d\ndialling {\n  international = \"\"\n}\n", r.tableVersion)
	for n := range r.script.ExchangeCount {
		fmt.Fprintf(&table, "\nroute \"from-%d\" {\n  least    = 9\n  most     = 9\n  ported   = %v\n  prefixes = [\"%03d\"]\n  choice {\n    to \"%d\" {}\n  }\n}\n", n, r.script.PortedShare > 0, n, (n+r.tableVersion)%r.script.ExchangeCount)
	}
	if err := os.WriteFile(r.tableFile(r.tableVersion), []byte(table.String()), 0o644); err != nil {
		return fmt.Errorf("write number table: %w", err)
	}
	return nil
}

// enumZone is the zone of the ENUM queries for ported numbers.
const enumZone = "e164.test."

// startPortability starts a server by which a share of the callers' numbers is ported to the exchange after next.
func (r *runner) startPortability() error {
	random := rand.New(rand.NewPCG(r.script.Seed, 0xe1))
	ported := map[string]string{}
	for _, caller := range r.plan.callers {
		if random.Float64() < r.script.PortedShare {
			ported[enum.DomainName(exchange.LineNumber(caller.Dest, caller.Line()), enumZone)] = exchange.LineNumber((caller.Dest+2)%r.script.ExchangeCount, caller.Line())
		}
	}
	var err error
	if r.portability, err = standin.NewPortabilityServer(ported); err != nil {
		return fmt.Errorf("portability server: %w", err)
	}
	return nil
}

// changeTables loads a new number table into all exchanges at each interval.
func changeTables(r *runner, trouble Trouble, _ []int, _ *rand.Rand) func() {
	r.wg.Go(func() {
		for elapsed := time.Duration(0); elapsed < trouble.Duration && r.sleep(trouble.Interval); elapsed += trouble.Interval {
			if err := r.writeNextTable(); err != nil {
				fmt.Fprintln(r.options.Progress, err)
				return
			}
			name := r.tableFile(r.tableVersion)
			for _, c := range r.controllers {
				r.wg.Go(func() { c.process().Load(name) }) // a controller that is down or paused keeps its version, which its calls carry
			}
		}
	})
	return nil
}

// checkTables checks by what the switches saw that every call is routed by one version of the number table: all its route
// tries use the same version and its destination for the number dialled. It returns the number of versions seen and the
// number of calls that violate this.
func checkTables(events []audit.Event, exchanges int) (versions, mixed int) {
	dialled, versionOf, seen := map[isup.Reference]uint32{}, map[isup.Reference]int64{}, map[int64]bool{}
	violating := map[isup.Reference]bool{}
	for _, e := range events {
		switch e.Kind {
		case audit.CallOffered:
			dialled[e.Ref] = e.Slots
		case audit.TryReceived:
			version, dest := e.Value>>16, e.Value&0xffff
			prefix, ok := dialled[e.Ref]
			if !ok {
				continue
			}
			if earlier, found := versionOf[e.Ref]; found && earlier != version || dest != (int64(prefix)+version)%int64(exchanges) {
				violating[e.Ref] = true
			}
			versionOf[e.Ref], seen[version] = version, true
		}
	}
	return len(seen), len(violating)
}

// freeAddress returns a loopback address with a port that is free at the moment.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find control address: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
