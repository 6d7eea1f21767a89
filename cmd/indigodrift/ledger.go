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
	c := &cobra.Command{Use: "ledger", Short: "Read the file that preserves calls over a restart"}
	read := func(name string) (ledger.Contents, error) {
		b, err := os.ReadFile(name)
		if err != nil {
			return ledger.Contents{}, fmt.Errorf("read ledger: %w", err)
		}
		return ledger.Read(b), nil
	}
	inspect := &cobra.Command{Use: "inspect FILE", Short: "Print a summary of the contents", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		l, err := read(args[0])
		if err != nil {
			return err
		}
		phases := map[recovery.Phase]int{}
		for _, k := range l.Calls {
			phases[k.Phase]++
		}
		fmt.Printf("format %d, %d frames, %d octets read\n", l.Version, l.Frames, l.ReadOctets)
		fmt.Printf("%d calls stand, %d are being set up\n", phases[recovery.Established], phases[recovery.SettingUp])
		fmt.Printf("last sign of life %s; own switch in life %q, %d far switches known\n", formatTime(l.Process.LastHeartbeat), l.Process.OwnIncarnation, len(l.Process.Incarnations))
		if l.UnreadReason != "" {
			fmt.Printf("%d octets at the end were not read: %s\n", l.UnreadOctets, l.UnreadReason)
		}
		return nil
	}}
	verify := &cobra.Command{Use: "verify FILE...", Short: "Check every frame; exit code 1 if one is damaged", Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		damaged := false
		for _, name := range args {
			l, err := read(name)
			if err != nil {
				return err
			}
			if l.UnreadReason != "" {
				damaged = true
				fmt.Printf("%s: whole up to octet %d, %d after it are not: %s\n", name, l.ReadOctets, l.UnreadOctets, l.UnreadReason)
				continue
			}
			fmt.Printf("%s: %d frames, whole\n", name, l.Frames)
		}
		if damaged {
			return exitCode(1)
		}
		return nil
	}}
	var asJSON bool
	dump := &cobra.Command{Use: "dump FILE", Short: "Print every stored call", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		l, err := read(args[0])
		if err != nil {
			return err
		}
		calls := make([]recovery.StoredCall, 0, len(l.Calls))
		for _, k := range l.Calls {
			calls = append(calls, k)
		}
		slices.SortFunc(calls, func(a, b recovery.StoredCall) int { return int(int64(a.ID) - int64(b.ID)) })
		if asJSON {
			out := json.NewEncoder(os.Stdout)
			for _, k := range calls {
				if err := out.Encode(k); err != nil {
					return fmt.Errorf("dump: %w", err)
				}
			}
			return nil
		}
		t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, "call\treference\tphase\tsince\tfrom\tto")
		for _, k := range calls {
			phase, to := "being set up", "-"
			if k.Phase == recovery.Established {
				phase, to = "stands", formatPlace(k.Out)
			}
			fmt.Fprintf(t, "%d\t%d/%d\t%s\t%s\t%s\t%s\n", k.ID, k.Ref.Point, k.Ref.Identity, phase, formatTime(k.Since), formatPlace(k.In), to)
		}
		if err := t.Flush(); err != nil {
			return fmt.Errorf("dump: %w", err)
		}
		return nil
	}}
	dump.Flags().BoolVar(&asJSON, "json", false, "print one line of JSON for each call")
	c.AddCommand(inspect, verify, dump)
	return c
}

// formatTime formats a time in tenths of a millisecond since 1970.
func formatTime(tenths int64) string {
	return time.Unix(0, tenths*100_000).Format("2006-01-02 15:04:05.000")
}

func formatPlace(p recovery.Leg) string {
	if p.Trunk {
		return fmt.Sprintf("exchange %d circuit %d", p.Number, p.CIC)
	}
	return fmt.Sprintf("line %04x/%d", p.Point, p.CIC)
}
