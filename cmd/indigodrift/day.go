package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"indigodrift/internal/audit"
	"indigodrift/internal/day"

	"github.com/spf13/cobra"
)

func newDayCommand() *cobra.Command {
	c := &cobra.Command{Use: "day", Short: "Run scripted days on loopback"}
	var seed int64
	var onlyJSON bool
	o := day.Options{Progress: os.Stderr}
	run := &cobra.Command{Use: "run FILE", Short: "Run a day and check the rules against the messages on its sockets", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := day.Read(args[0])
			if err != nil {
				return err
			}
			if seed >= 0 {
				s.Seed = uint64(seed)
			}
			program, err := os.Executable()
			if err != nil {
				return fmt.Errorf("locate own executable: %w", err)
			}
			if onlyJSON {
				o.Progress = io.Discard
			}
			ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			rep, err := day.Run(ctx, s, day.OnLoopback(program, o))
			if err != nil {
				return err
			}
			if err := rep.Print(os.Stdout, onlyJSON); err != nil {
				return err
			}
			if len(rep.Breaches)+rep.Mixed > 0 {
				return exitCode(1)
			}
			return nil
		}}
	run.Flags().Int64Var(&seed, "seed", -1, "seed that replaces the one in the file")
	run.Flags().BoolVar(&onlyJSON, "json", false, "print only the last line")
	run.Flags().StringVar(&o.Routing, "routing", "module", "routing: module, or a baseline, direct or random")
	run.Flags().StringVar(&o.Plant, "plant", "", "break a rule once on purpose: answer, copy, drain, cold, release")
	run.Flags().StringVar(&o.Keep, "keep", "", "folder for the audit log and the logs of the controllers")
	list := &cobra.Command{Use: "list [FOLDER]", Short: "List the days in a folder, by default examples/days", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			folder := filepath.Join("examples", "days")
			if len(args) > 0 {
				folder = args[0]
			}
			files, err := filepath.Glob(filepath.Join(folder, "*.hcl"))
			if err != nil {
				return fmt.Errorf("list %s: %w", folder, err)
			}
			for _, f := range files {
				s, err := day.Read(f)
				if err != nil {
					return err
				}
				fmt.Printf("%s\t%d exchanges, %.0f calls/s, %v, %d troubles: %s\n", f, s.Exchanges, s.Rate, s.Length, len(s.Troubles), s.About)
			}
			return nil
		}}
	c.AddCommand(run, list)
	return c
}

func newAuditCommand() *cobra.Command {
	return &cobra.Command{Use: "audit FILE...", Short: "Check recorded traffic against the rules", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			broken := 0
			for _, name := range args {
				f, err := os.Open(name)
				if err != nil {
					return fmt.Errorf("audit: %w", err)
				}
				events, err := audit.Read(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				found := audit.Judge(events)
				broken += len(found)
				for _, b := range found {
					fmt.Printf("%s: rule %d broken at %.3f s: %s\n", name, b.Rule, float64(b.At)/1e6, b.Text)
				}
				fmt.Printf("%s: %d events, %d breaches\n", name, len(events), len(found))
			}
			if broken > 0 {
				return exitCode(1)
			}
			return nil
		}}
}
