// Package seeded makes randomized tests deterministic, so that their result does not change from run to run. Only tests
// import it.
package seeded

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed rapid seed, the given number of checks and no failure files, and exits.
func Main(m *testing.M, checks int) { os.Exit(Run(m, checks)) }

// Run runs the tests like Main and returns the exit code.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	for name, v := range map[string]string{"rapid.seed": "1971", "rapid.checks": fmt.Sprint(checks), "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f == nil || f.Value.String() != f.DefValue { // the command line takes precedence
			continue
		}
		if err := flag.Set(name, v); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return m.Run()
}
