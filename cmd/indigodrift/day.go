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
	cmd := &cobra.Command{Use: "day", Short: "Run scripted days on loopback"}
	var seed int64
	var onlyJSON bool
	options := day.Options{Progress: os.Stderr}
	run := &cobra.Command{Use: "run FILE", Short: "Run a day and check the rules against the messages on its sockets", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			script, err := day.Read(args[0])
			if err != nil {
				return err
			}
			if seed >= 0 {
				script.Seed = uint64(seed)
			}
			program, err := os.Executable()
			if err != nil {
				return fmt.Errorf("locate own executable: %w", err)
			}
			if onlyJSON {
				options.Progress = io.Discard
			}
			ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			report, err := day.Run(ctx, script, day.OnLoopback(program, options))
			if err != nil {
				return err
			}
			if err := report.Print(os.Stdout, onlyJSON); err != nil {
				return err
			}
			if len(report.Violations)+report.MixedCalls > 0 {
				return exitCode(1)
			}
			return nil
		}}
	run.Flags().Int64Var(&seed, "seed", -1, "seed that replaces the one in the file")
	run.Flags().BoolVar(&onlyJSON, "json", false, "print only the last line")
	run.Flags().StringVar(&options.Routing, "routing", "module", "routing: module, or one of the baselines direct and random")
	run.Flags().StringVar(&options.PlantedFault, "plant", "", "inject one violation of a rule: answer, copy, drain, cold, release")
	run.Flags().StringVar(&options.Dir, "keep", "", "folder for the audit log and the logs of the controllers")
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
			for _, file := range files {
				script, err := day.Read(file)
				if err != nil {
					return err
				}
				fmt.Printf("%s\t%d exchanges, %.0f calls/s, %v, %d troubles: %s\n", file, script.ExchangeCount, script.CallRate, script.Duration, len(script.Troubles), script.Description)
			}
			return nil
		}}
	cmd.AddCommand(run, list)
	return cmd
}

func newAuditCommand() *cobra.Command {
	return &cobra.Command{Use: "audit FILE...", Short: "Check recorded traffic against the rules", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			violationCount := 0
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
				violations := audit.Check(events)
				violationCount += len(violations)
				for _, violation := range violations {
					fmt.Printf("%s: rule %d broken at %.3f s: %s\n", name, violation.Rule, float64(violation.At)/1e6, violation.Text)
				}
				fmt.Printf("%s: %d events, %d breaches\n", name, len(events), len(violations))
			}
			if violationCount > 0 {
				return exitCode(1)
			}
			return nil
		}}
}
