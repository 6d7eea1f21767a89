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
	c := &cobra.Command{Use: "soak", Short: "Run controller processes with random faults and check the rules against the messages on their sockets", Args: cobra.NoArgs}
	o := soak.Options{Out: os.Stdout}
	c.Flags().Uint64Var(&o.FirstSeed, "from", 1, "first seed")
	c.Flags().IntVar(&o.Seeds, "seeds", 5, "number of seeds")
	c.Flags().IntVar(&o.Parallel, "parallel", 2, "number of parallel runs")
	c.Flags().DurationVar(&o.Duration, "length", 12*time.Second, "duration of calls and faults in each run")
	c.Flags().StringVar(&o.Dir, "keep", "", "folder for the events and the logs of the controllers")
	c.Flags().StringVar(&o.Program, "program", "", "executable of the controllers, by default this one")
	c.Flags().StringVar(&o.OnlyOutcome, "only", "", "run without faults, and end set-ups in one abnormal way only: full, error, moot, broke, released, dropped, reset-unread, spoilt, cut, short, never, late, reset-read, twice, ahead")
	c.Flags().StringVar(&o.PlantedFault, "plant", "", "fault to inject into the controllers: release, answer, early, standing, crossing")
	c.RunE = func(*cobra.Command, []string) error {
		if o.Program == "" {
			own, err := os.Executable()
			if err != nil {
				return fmt.Errorf("locate own executable: %w", err)
			}
			o.Program = own
		}
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		results, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		broken := 0
		for _, r := range results {
			if len(r.Violations) > 0 || r.Err != nil {
				broken++
			}
		}
		fmt.Fprintf(o.Out, "%d seeds, %d not kept\n", len(results), broken)
		if broken > 0 {
			return exitCode(1)
		}
		return nil
	}
	return c
}
