package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"indigodrift/internal/day"

	"github.com/spf13/cobra"
)

func newStandinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run one stand-in of a scripted day"}
	for _, kind := range []string{"switch", "register", "subscribers"} {
		var file, addresses string
		var exchange int
		subcommand := &cobra.Command{Use: kind + " -f DAY", Short: "Run the day's " + kind + " until interrupted", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				script, err := day.Read(file)
				if err != nil {
					return err
				}
				ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
				defer cancel()
				return day.RunStandin(ctx, script, kind, exchange, addresses, func(address string) { fmt.Println("listening on", address) })
			}}
		subcommand.Flags().StringVarP(&file, "file", "f", "", "script of the day")
		subcommand.Flags().IntVar(&exchange, "exchange", 0, "exchange whose switch to run")
		subcommand.Flags().StringVar(&addresses, "switches", "", "comma-separated addresses of the day's switches, for subscribers")
		subcommand.MarkFlagRequired("file")
		cmd.AddCommand(subcommand)
	}
	return cmd
}
