package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"indigodrift/internal/soak"

	"github.com/spf13/cobra"
)

func newSoakCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "soak", Short: "Run controller processes with random faults and check the rules against the messages on their sockets", Args: cobra.NoArgs}
	options := soak.Options{Out: os.Stdout}
	cmd.Flags().Uint64Var(&options.FirstSeed, "from", 1, "first seed")
	cmd.Flags().IntVar(&options.Seeds, "seeds", 5, "number of seeds")
	cmd.Flags().IntVar(&options.Parallel, "parallel", 2, "number of parallel runs")
	cmd.Flags().DurationVar(&options.Duration, "length", 12*time.Second, "duration of calls and faults in each run")
	cmd.Flags().StringVar(&options.Dir, "keep", "", "folder for the events and the logs of the controllers")
	cmd.Flags().StringVar(&options.Program, "program", "", "executable of the controllers, by default this one")
	cmd.Flags().StringVar(&options.OnlyOutcome, "only", "", "run without faults, and end set-ups in one abnormal way only: full, error, moot, broke, released, dropped, reset-unread, spoilt, cut, short, never, late, reset-read, twice, ahead")
	cmd.Flags().StringVar(&options.PlantedFault, "plant", "", "fault to inject into the controllers: release, answer, early, standing, crossing")
	cmd.RunE = func(*cobra.Command, []string) error {
		if options.Program == "" {
			executable, err := os.Executable()
			if err != nil {
				return fmt.Errorf("locate own executable: %w", err)
			}
			options.Program = executable
		}
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		results, err := soak.Run(ctx, options)
		if err != nil {
			return err
		}
		failedRuns := 0
		for _, r := range results {
			if len(r.Violations) > 0 || r.Err != nil {
				failedRuns++
			}
		}
		fmt.Fprintf(options.Out, "%d seeds, %d not kept\n", len(results), failedRuns)
		if failedRuns > 0 {
			return exitCode(1)
		}
		return nil
	}
	return cmd
}
