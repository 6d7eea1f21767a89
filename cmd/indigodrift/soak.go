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
	c := &cobra.Command{Use: "soak", Short: "Run real controllers among faults drawn from seeds, and judge the rules from their sockets", Args: cobra.NoArgs}
	o := soak.Options{Out: os.Stdout}
	c.Flags().Uint64Var(&o.From, "from", 1, "first seed")
	c.Flags().IntVar(&o.Seeds, "seeds", 5, "how many seeds")
	c.Flags().IntVar(&o.Parallel, "parallel", 2, "runs side by side")
	c.Flags().DurationVar(&o.Length, "length", 12*time.Second, "time with calls and faults in each run")
	c.Flags().StringVar(&o.Folder, "keep", "", "folder for events and logs of the controllers")
	c.Flags().StringVar(&o.Program, "program", "", "another build of the program to run the controllers with")
	c.Flags().StringVar(&o.Only, "only", "", "the one unusual way in which set-ups end, and no faults: full, error, moot, broke, released, dropped, reset-unread, spoilt, cut, short, never, late, reset-read, twice, ahead")
	c.Flags().StringVar(&o.Plant, "plant", "", "a fault the controllers have on purpose: release, answer, early, standing, crossing")
	c.RunE = func(*cobra.Command, []string) error {
		if o.Program == "" {
			own, err := os.Executable()
			if err != nil {
				return fmt.Errorf("own program: %w", err)
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
			if len(r.Breaches) > 0 || r.Err != nil {
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
