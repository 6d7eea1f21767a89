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
	cmd := &cobra.Command{Use: "numbers", Short: "Check, compare and explain tables for number analysis, and change them in a running exchange"}
	var exchangeCount int
	cmd.PersistentFlags().IntVar(&exchangeCount, "exchanges", 999, "number of exchanges in the network")
	readTable := func(name string) (numberfile.Source, *numbers.Table, error) {
		if content, err := os.ReadFile(name); err == nil {
			if src, err := numberfile.Decode(content); err == nil { // a file written by the build command
				t, err := src.Table(exchangeCount)
				return src, t, err
			}
		}
		src, err := numberfile.ReadSource(name)
		if err != nil {
			return src, nil, err
		}
		t, err := src.Table(exchangeCount)
		return src, t, err
	}
	check := &cobra.Command{Use: "check TABLE", Short: "Check a table", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		_, t, err := readTable(args[0])
		if err == nil {
			fmt.Printf("version %d %q: %d routes, %d prefixes, %d screens, search takes %.1f MiB\n", t.Version, t.Name, len(t.Routes), t.PrefixCount(),
				len(t.Screens), float64(t.MemoryBytes())/(1<<20))
		}
		return err
	}}
	var outFile string
	build := &cobra.Command{Use: "build TABLE -o FILE", Short: "Write a table and its prefixes to one file with a checksum", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			src, _, err := readTable(args[0])
			if err != nil {
				return err
			}
			if err := os.WriteFile(outFile, numberfile.Encode(src), 0o644); err != nil {
				return fmt.Errorf("write table: %w", err)
			}
			return nil
		}}
	build.Flags().StringVarP(&outFile, "out", "o", "", "file to write")
	build.MarkFlagRequired("out")

	var timeText, caller, table, sampleFile, addresses, reason string
	var count int
	var seed uint64
	parseTime := func() (time.Time, error) {
		if timeText == "" {
			return time.Now(), nil
		}
		t, err := time.Parse(time.RFC3339, timeText)
		if err != nil {
			return t, fmt.Errorf("--at is %q, not a time such as 2026-12-01T22:00:00+02:00", timeText)
		}
		return t, nil
	}
	explain := &cobra.Command{Use: "explain NUMBER --table TABLE", Short: "Print each step of the analysis of a number", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, t, err := readTable(table)
			if err != nil {
				return err
			}
			callTime, err := parseTime()
			if err != nil {
				return err
			}
			result := t.Analyse(caller, args[0], callTime.Unix(), numbers.NewDistributor(1).ForVersion(t.Version), func(step string) { fmt.Println(step) })
			fmt.Printf("%s", result.Outcome)
			if result.Outcome == numbers.ToExchange {
				fmt.Printf(" %d, by version %d\n", result.Exchange, result.Version)
			} else {
				fmt.Printf(", cause %d, by version %d\n", result.Cause, result.Version)
			}
			return nil
		}}
	explain.Flags().StringVar(&table, "table", "", "table to use")
	explain.Flags().StringVar(&caller, "caller", "", "calling number")
	explain.MarkFlagRequired("table")
	diff := &cobra.Command{Use: "diff OLD NEW", Short: "Print the share of calls that would be routed differently", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			_, before, err := readTable(args[0])
			if err != nil {
				return err
			}
			_, after, err := readTable(args[1])
			if err != nil {
				return err
			}
			callTime, err := parseTime()
			if err != nil {
				return err
			}
			dialled, err := sampleNumbers(sampleFile, count, seed, before, after)
			if err != nil {
				return err
			}
			return printDifferences(dialled, before, after, callTime.Unix())
		}}
	diff.Flags().StringVar(&sampleFile, "numbers", "", "file of dialled numbers, one per line; by default random numbers are drawn from both tables")
	diff.Flags().IntVar(&count, "count", 10000, "how many numbers to draw")
	diff.Flags().Uint64Var(&seed, "seed", 1, "seed of the draw")
	for _, cmd := range []*cobra.Command{explain, diff} {
		cmd.Flags().StringVar(&timeText, "at", "", "time of the call, by default now")
	}
	sendToAll := func(command control.Command) error {
		failed := 0
		for _, address := range strings.Split(addresses, ",") { // an error at one exchange does not stop the others
			if err := sendCommand(address, command); err != nil {
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
			command := control.Command{Name: "load", File: name}
			if timeText != "" {
				t, err := parseTime()
				if err != nil {
					return err
				}
				command.ActivationTime = t.Unix()
			}
			return sendToAll(command)
		}}
	load.Flags().StringVar(&timeText, "at", "", "time at which the table comes into force")
	rollback := &cobra.Command{Use: "rollback", Short: "Return to the previous table in running exchanges", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return sendToAll(control.Command{Name: "rollback", Reason: reason})
		}}
	rollback.Flags().StringVar(&reason, "why", "", "reason to record in the history")
	versions := &cobra.Command{Use: "versions", Short: "Print the table in force at running exchanges", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return sendToAll(control.Command{Name: "versions"}) }}
	for _, cmd := range []*cobra.Command{load, rollback, versions} {
		cmd.Flags().StringVar(&addresses, "control", "127.0.0.1:7900", "comma-separated control addresses of the exchanges")
	}
	cmd.AddCommand(check, build, diff, explain, load, rollback, versions)
	return cmd
}

// sendCommand sends a command to one exchange and prints the version in force there.
func sendCommand(address string, command control.Command) error {
	reply, err := control.SendCommand(address, command)
	if err != nil {
		return err
	}
	fmt.Printf("exchange %d: version %d %q in force, %d held", reply.Exchange, reply.Version, reply.Name, reply.HeldVersions)
	if reply.PendingVersion != 0 {
		fmt.Printf(", version %d waits for %s", reply.PendingVersion, time.Unix(reply.ActivationTime, 0).Format(time.RFC3339))
	}
	fmt.Println()
	if reply.Error != "" {
		return fmt.Errorf("exchange %d: %s", reply.Exchange, reply.Error)
	}
	return nil
}

// sampleNumbers returns the numbers by which to compare tables: those in a file, or random ones under the prefixes of all tables.
func sampleNumbers(file string, count int, seed uint64, tables ...*numbers.Table) ([]string, error) {
	var sample []string
	if file != "" {
		input, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("read numbers: %w", err)
		}
		defer input.Close()
		scanner := bufio.NewScanner(input)
		for scanner.Scan() {
			if line := strings.TrimSpace(scanner.Text()); line != "" {
				sample = append(sample, line)
			}
		}
		return sample, scanner.Err()
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for _, t := range tables {
		remaining, drawn := t.PrefixCount(), 0
		t.Walk(func(prefix string, routeIndex uint32) bool {
			remaining--
			quota := float64(count/len(tables)-drawn) / float64(remaining+1) // share of the remaining numbers for each remaining prefix
			for ; quota > 0; quota-- {
				if quota < 1 && random.Float64() > quota {
					break
				}
				number := prefix
				for len(number) < t.Routes[routeIndex].MinDigits {
					number += string(rune('0' + random.IntN(10)))
				}
				sample = append(sample, t.DialPlan.InternationalPrefix+number)
				drawn++
			}
			return drawn < count/len(tables)
		})
	}
	return sample, nil
}

// printDifferences prints the share of the numbers that are routed differently, and the first of them.
func printDifferences(dialled []string, before, after *numbers.Table, unixTime int64) error {
	const maxShown = 10
	moved, lost, found := 0, 0, 0
	for _, number := range dialled {
		oldResult, newResult := before.Analyse("", number, unixTime, nil, nil), after.Analyse("", number, unixTime, nil, nil)
		if oldResult.Outcome == newResult.Outcome && oldResult.Exchange == newResult.Exchange && oldResult.OutgoingDigits == newResult.OutgoingDigits && oldResult.Cause == newResult.Cause {
			continue
		}
		switch {
		case newResult.Outcome == numbers.NoRoute:
			lost++
		case oldResult.Outcome == numbers.NoRoute:
			found++
		default:
			moved++
		}
		if moved+lost+found <= maxShown {
			fmt.Printf("%s: %s %d -> %s %d\n", number, oldResult.Outcome, oldResult.Exchange, newResult.Outcome, newResult.Exchange)
		}
	}
	total := float64(max(1, len(dialled)))
	fmt.Printf("version %d to %d, %d numbers: %.2f%% go elsewhere, %.2f%% lose their route, %.2f%% find one\n", before.Version, after.Version,
		len(dialled), float64(moved)/total*100, float64(lost)/total*100, float64(found)/total*100)
	return nil
}
