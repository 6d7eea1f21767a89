package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"indigodrift/internal/control"
	"indigodrift/internal/numberfile"
	"indigodrift/internal/numbers"

	"github.com/spf13/cobra"
)

func newNumbersCommand() *cobra.Command {
	c := &cobra.Command{Use: "numbers", Short: "Check, compare and explain tables for number analysis, and change them in a running exchange"}
	var exchanges int
	c.PersistentFlags().IntVar(&exchanges, "exchanges", 999, "number of exchanges in the network")
	read := func(name string) (numberfile.Source, *numbers.Table, error) {
		if b, err := os.ReadFile(name); err == nil {
			if src, err := numberfile.Decode(b); err == nil { // a file written by the build command
				t, err := src.Table(exchanges)
				return src, t, err
			}
		}
		src, err := numberfile.ReadSource(name)
		if err != nil {
			return src, nil, err
		}
		t, err := src.Table(exchanges)
		return src, t, err
	}
	check := &cobra.Command{Use: "check TABLE", Short: "Check a table", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		_, t, err := read(args[0])
		if err == nil {
			fmt.Printf("version %d %q: %d routes, %d prefixes, %d screens, search takes %.1f MiB\n", t.Version, t.Name, len(t.Routes), t.PrefixCount(),
				len(t.Screens), float64(t.MemoryBytes())/(1<<20))
		}
		return err
	}}
	var out string
	build := &cobra.Command{Use: "build TABLE -o FILE", Short: "Write a table and its prefixes to one file with a checksum", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			src, _, err := read(args[0])
			if err != nil {
				return err
			}
			if err := os.WriteFile(out, numberfile.Encode(src), 0o644); err != nil {
				return fmt.Errorf("write table: %w", err)
			}
			return nil
		}}
	build.Flags().StringVarP(&out, "out", "o", "", "file to write")
	build.MarkFlagRequired("out")

	var at, caller, table, sample, address, why string
	var count int
	var seed uint64
	when := func() (time.Time, error) {
		if at == "" {
			return time.Now(), nil
		}
		t, err := time.Parse(time.RFC3339, at)
		if err != nil {
			return t, fmt.Errorf("--at is %q, not a time such as 2026-12-01T22:00:00+02:00", at)
		}
		return t, nil
	}
	explain := &cobra.Command{Use: "explain NUMBER --table TABLE", Short: "Print each step of the analysis of a number", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, t, err := read(table)
			if err != nil {
				return err
			}
			instant, err := when()
			if err != nil {
				return err
			}
			r := t.Analyse(caller, args[0], instant.Unix(), numbers.NewDistributor(1).ForVersion(t.Version), func(step string) { fmt.Println(step) })
			fmt.Printf("%s", r.Outcome)
			if r.Outcome == numbers.ToExchange {
				fmt.Printf(" %d, by version %d\n", r.Exchange, r.Version)
			} else {
				fmt.Printf(", cause %d, by version %d\n", r.Cause, r.Version)
			}
			return nil
		}}
	explain.Flags().StringVar(&table, "table", "", "table to use")
	explain.Flags().StringVar(&caller, "caller", "", "calling number")
	explain.MarkFlagRequired("table")
	diff := &cobra.Command{Use: "diff OLD NEW", Short: "Print the share of calls that would be routed differently", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			_, before, err := read(args[0])
			if err != nil {
				return err
			}
			_, after, err := read(args[1])
			if err != nil {
				return err
			}
			instant, err := when()
			if err != nil {
				return err
			}
			dialled, err := sampleNumbers(sample, count, seed, before, after)
			if err != nil {
				return err
			}
			return printDifferences(dialled, before, after, instant.Unix())
		}}
	diff.Flags().StringVar(&sample, "numbers", "", "file of dialled numbers, one per line; by default random numbers are drawn from both tables")
	diff.Flags().IntVar(&count, "count", 10000, "how many numbers to draw")
	diff.Flags().Uint64Var(&seed, "seed", 1, "seed of the draw")
	for _, c := range []*cobra.Command{explain, diff} {
		c.Flags().StringVar(&at, "at", "", "time of the call, by default now")
	}
	tell := func(o control.Command) error {
		failed := 0
		for _, a := range strings.Split(address, ",") { // an error at one exchange does not stop the others
			if err := sendCommand(a, o); err != nil {
				fmt.Fprintln(os.Stderr, err)
				failed++
			}
		}
		if failed > 0 {
			return exitCode(2)
		}
		return nil
	}
	load := &cobra.Command{Use: "load TABLE", Short: "Load a table into running exchanges, at once or at a given time", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			name, err := filepath.Abs(args[0])
			if err != nil {
				return fmt.Errorf("load: %w", err)
			}
			o := control.Command{Name: "load", File: name}
			if at != "" {
				t, err := when()
				if err != nil {
					return err
				}
				o.ActivationTime = t.Unix()
			}
			return tell(o)
		}}
	load.Flags().StringVar(&at, "at", "", "time at which the table comes into force")
	rollback := &cobra.Command{Use: "rollback", Short: "Return to the previous table in running exchanges", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return tell(control.Command{Name: "rollback", Reason: why}) }}
	rollback.Flags().StringVar(&why, "why", "", "reason to record in the history")
	versions := &cobra.Command{Use: "versions", Short: "Print the table in force at running exchanges", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return tell(control.Command{Name: "versions"}) }}
	for _, c := range []*cobra.Command{load, rollback, versions} {
		c.Flags().StringVar(&address, "control", "127.0.0.1:7900", "comma-separated control addresses of the exchanges")
	}
	c.AddCommand(check, build, diff, explain, load, rollback, versions)
	return c
}

// sendCommand sends a command to one exchange and prints the version in force there.
func sendCommand(address string, o control.Command) error {
	r, err := control.SendCommand(address, o)
	if err != nil {
		return err
	}
	fmt.Printf("exchange %d: version %d %q in force, %d held", r.Exchange, r.Version, r.Name, r.HeldVersions)
	if r.PendingVersion != 0 {
		fmt.Printf(", version %d waits for %s", r.PendingVersion, time.Unix(r.ActivationTime, 0).Format(time.RFC3339))
	}
	fmt.Println()
	if r.Error != "" {
		return fmt.Errorf("exchange %d: %s", r.Exchange, r.Error)
	}
	return nil
}

// sampleNumbers returns the numbers by which to compare tables: those in a file, or random ones under the prefixes of all tables.
func sampleNumbers(file string, count int, seed uint64, tables ...*numbers.Table) ([]string, error) {
	var all []string
	if file != "" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("read numbers: %w", err)
		}
		defer f.Close()
		in := bufio.NewScanner(f)
		for in.Scan() {
			if line := strings.TrimSpace(in.Text()); line != "" {
				all = append(all, line)
			}
		}
		return all, in.Err()
	}
	chance := rand.New(rand.NewPCG(seed, 1))
	for _, t := range tables {
		n, taken := t.PrefixCount(), 0
		t.Walk(func(prefix string, entry uint32) bool {
			n--
			want := float64(count/len(tables)-taken) / float64(n+1) // share of the remaining numbers for each remaining prefix
			for ; want > 0; want-- {
				if want < 1 && chance.Float64() > want {
					break
				}
				number := prefix
				for len(number) < t.Routes[entry].MinDigits {
					number += string(rune('0' + chance.IntN(10)))
				}
				all = append(all, t.DialPlan.InternationalPrefix+number)
				taken++
			}
			return taken < count/len(tables)
		})
	}
	return all, nil
}

// printDifferences prints the share of the numbers that are routed differently, and the first of them.
func printDifferences(dialled []string, before, after *numbers.Table, at int64) error {
	const shown = 10
	moved, lost, found := 0, 0, 0
	for _, d := range dialled {
		a, b := before.Analyse("", d, at, nil, nil), after.Analyse("", d, at, nil, nil)
		if a.Outcome == b.Outcome && a.Exchange == b.Exchange && a.OutgoingDigits == b.OutgoingDigits && a.Cause == b.Cause {
			continue
		}
		switch {
		case b.Outcome == numbers.NoRoute:
			lost++
		case a.Outcome == numbers.NoRoute:
			found++
		default:
			moved++
		}
		if moved+lost+found <= shown {
			fmt.Printf("%s: %s %d -> %s %d\n", d, a.Outcome, a.Exchange, b.Outcome, b.Exchange)
		}
	}
	of := float64(max(1, len(dialled)))
	fmt.Printf("version %d to %d, %d numbers: %.2f%% go elsewhere, %.2f%% lose their route, %.2f%% find one\n", before.Version, after.Version,
		len(dialled), float64(moved)/of*100, float64(lost)/of*100, float64(found)/of*100)
	return nil
}
