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
	c := &cobra.Command{Use: "standin", Short: "Run one stand-in of a scripted day"}
	for _, part := range []string{"switch", "register", "subscribers"} {
		var file, addresses string
		var number int
		one := &cobra.Command{Use: part + " -f DAY", Short: "Run the day's " + part + " until interrupted", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				s, err := day.Read(file)
				if err != nil {
					return err
				}
				ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
				defer cancel()
				return day.Alone(ctx, s, part, number, addresses, func(at string) { fmt.Println("listening on", at) })
			}}
		one.Flags().StringVarP(&file, "file", "f", "", "script of the day")
		one.Flags().IntVar(&number, "exchange", 0, "exchange whose switch to run")
		one.Flags().StringVar(&addresses, "switches", "", "comma-separated addresses of the day's switches, for subscribers")
		one.MarkFlagRequired("file")
		c.AddCommand(one)
	}
	return c
}
