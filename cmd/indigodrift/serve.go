package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"indigodrift/internal/baseline"
	"indigodrift/internal/control"
	"indigodrift/internal/day"
	"indigodrift/internal/exchange"
	"indigodrift/internal/site"
	"indigodrift/policy"

	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	var file, format, level, routing, plant string
	c := &cobra.Command{Use: "serve -f SITE", Short: "Run one exchange until SIGTERM, then drain", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(file, format, level, routing, plant) }}
	c.Flags().StringVarP(&file, "file", "f", "", "settings file of the exchange")
	c.Flags().StringVar(&format, "log", "text", "log format: text or json")
	c.Flags().StringVar(&level, "level", "info", "minimum log level: debug, info, warn, error")
	c.Flags().StringVar(&routing, "routing", "module", "for scripted days: module, direct or random")
	c.Flags().StringVar(&plant, "plant", "", "for scripted days: rule to break on purpose")
	c.MarkFlagRequired("file")
	c.Flags().MarkHidden("routing")
	c.Flags().MarkHidden("plant")
	return c
}

func newPolicy(d policy.Deployment, out policy.Executor, now policy.Tenths) exchange.Decider {
	return policy.New(d, out, now)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func serve(file, format, level, routing, plant string) error {
	var least slog.LevelVar
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("--level: %w", err)
	}
	options := &slog.HandlerOptions{Level: &least}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, options)
	switch format {
	case "text":
	case "json":
		handler = slog.NewJSONHandler(os.Stderr, options)
	default:
		return fmt.Errorf("--log is %q, not text or json", format)
	}
	s, err := site.Read(file)
	if err != nil {
		return err
	}
	log := slog.New(handler).With("exchange", s.Deployment.OwnExchange)
	build := control.DeciderBuilder(newPolicy)
	switch routing {
	case "module":
	case "direct", "random":
		build = baseline.Build(routing == "random")
	default:
		return fmt.Errorf("--routing is %q, not module, direct or random", routing)
	}
	var wrong *day.Wrong
	if plant != "" {
		var near []exchange.Neighbour
		for _, n := range s.Neighbours {
			near = append(near, n.Neighbour)
		}
		if wrong, err = day.NewWrong(plant, near); err != nil {
			return err
		}
		build = wrong.Deciding(build)
	}
	station, err := control.New(s, build, dialTCP, log)
	if err != nil {
		return err
	}
	station.OnReady = func() { fmt.Println("ready") }
	if wrong != nil {
		station.InterceptSend = wrong.Sent
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() {
		for range hup {
			again, err := site.Read(file)
			switch {
			case err != nil:
				log.Error("settings rejected, nothing changes", "why", err)
			case station.Reload(again):
				log.Info("settings reloaded")
			default:
				log.Warn("settings reloaded; some changes need a restart")
			}
		}
	}()
	return station.Run(ctx)
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check the settings of an exchange, or a day, without starting", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := site.Read(args[0])
			if err != nil {
				if _, other := day.Read(args[0]); other == nil {
					err = nil
				}
			}
			return err
		}}
}
