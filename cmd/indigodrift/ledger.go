package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"indigodrift/internal/ledger"
	"indigodrift/internal/recovery"

	"github.com/spf13/cobra"
)

func newLedgerCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "ledger", Short: "Inspect the file that preserves calls across a restart"}
	readLedger := func(name string) (ledger.Contents, error) {
		content, err := os.ReadFile(name)
		if err != nil {
			return ledger.Contents{}, fmt.Errorf("read ledger: %w", err)
		}
		return ledger.Read(content), nil
	}
	inspect := &cobra.Command{Use: "inspect FILE", Short: "Print a summary of the contents", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		contents, err := readLedger(args[0])
		if err != nil {
			return err
		}
		phases := map[recovery.Phase]int{}
		for _, call := range contents.Calls {
			phases[call.Phase]++
		}
		fmt.Printf("format %d, %d frames, %d octets read\n", contents.Version, contents.Frames, contents.ReadOctets)
		fmt.Printf("%d calls stand, %d are being set up\n", phases[recovery.Established], phases[recovery.SettingUp])
		fmt.Printf("last sign of life %s; own switch in life %q, %d far switches known\n", formatTime(contents.Process.LastHeartbeat), contents.Process.OwnIncarnation, len(contents.Process.Incarnations))
		if contents.UnreadReason != "" {
			fmt.Printf("%d octets at the end were not read: %s\n", contents.UnreadOctets, contents.UnreadReason)
		}
		return nil
	}}
	verify := &cobra.Command{Use: "verify FILE...", Short: "Check every frame; exit code 1 if one is damaged", Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		damaged := false
		for _, name := range args {
			contents, err := readLedger(name)
			if err != nil {
				return err
			}
			if contents.UnreadReason != "" {
				damaged = true
				fmt.Printf("%s: whole up to octet %d, %d after it are not: %s\n", name, contents.ReadOctets, contents.UnreadOctets, contents.UnreadReason)
				continue
			}
			fmt.Printf("%s: %d frames, whole\n", name, contents.Frames)
		}
		if damaged {
			return exitCode(1)
		}
		return nil
	}}
	var asJSON bool
	dump := &cobra.Command{Use: "dump FILE", Short: "Print every stored call", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		contents, err := readLedger(args[0])
		if err != nil {
			return err
		}
		calls := make([]recovery.StoredCall, 0, len(contents.Calls))
		for _, call := range contents.Calls {
			calls = append(calls, call)
		}
		slices.SortFunc(calls, func(a, b recovery.StoredCall) int { return int(int64(a.ID) - int64(b.ID)) })
		if asJSON {
			encoder := json.NewEncoder(os.Stdout)
			for _, call := range calls {
				if err := encoder.Encode(call); err != nil {
					return fmt.Errorf("dump: %w", err)
				}
			}
			return nil
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(table, "call\treference\tphase\tsince\tfrom\tto")
		for _, call := range calls {
			phase, to := "being set up", "-"
			if call.Phase == recovery.Established {
				phase, to = "stands", formatLeg(call.Out)
			}
			fmt.Fprintf(table, "%d\t%d/%d\t%s\t%s\t%s\t%s\n", call.ID, call.Ref.Point, call.Ref.Identity, phase, formatTime(call.Since), formatLeg(call.In), to)
		}
		if err := table.Flush(); err != nil {
			return fmt.Errorf("dump: %w", err)
		}
		return nil
	}}
	dump.Flags().BoolVar(&asJSON, "json", false, "print one line of JSON for each call")
	cmd.AddCommand(inspect, verify, dump)
	return cmd
}

// formatTime formats a time in tenths of a millisecond since 1970.
func formatTime(tenths int64) string {
	return time.Unix(0, tenths*100_000).Format("2006-01-02 15:04:05.000")
}

func formatLeg(leg recovery.Leg) string {
	if leg.Trunk {
		return fmt.Sprintf("exchange %d circuit %d", leg.Number, leg.CIC)
	}
	return fmt.Sprintf("line %04x/%d", leg.Point, leg.CIC)
}
