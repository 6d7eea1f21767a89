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
	var file, format, level, routing, fault string
	cmd := &cobra.Command{Use: "serve -f SITE", Short: "Run one exchange until SIGTERM, then drain", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(file, format, level, routing, fault) }}
	cmd.Flags().StringVarP(&file, "file", "f", "", "settings file of the exchange")
	cmd.Flags().StringVar(&format, "log", "text", "log format: text or json")
	cmd.Flags().StringVar(&level, "level", "info", "minimum log level: debug, info, warn, error")
	cmd.Flags().StringVar(&routing, "routing", "module", "for scripted days: module, direct or random")
	cmd.Flags().StringVar(&fault, "plant", "", "for scripted days: rule violation to inject")
	cmd.MarkFlagRequired("file")
	cmd.Flags().MarkHidden("routing")
	cmd.Flags().MarkHidden("plant")
	return cmd
}

func newPolicy(deployment policy.Deployment, executor policy.Executor, now policy.Tenths) exchange.Decider {
	return policy.New(deployment, executor, now)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func serve(file, format, level, routing, fault string) error {
	var minLevel slog.LevelVar
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("--level: %w", err)
	}
	options := &slog.HandlerOptions{Level: &minLevel}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, options)
	switch format {
	case "text":
	case "json":
		handler = slog.NewJSONHandler(os.Stderr, options)
	default:
		return fmt.Errorf("--log is %q, not text or json", format)
	}
	config, err := site.Read(file)
	if err != nil {
		return err
	}
	log := slog.New(handler).With("exchange", config.Deployment.OwnExchange)
	build := control.DeciderBuilder(newPolicy)
	switch routing {
	case "module":
	case "direct", "random":
		build = baseline.NewBuilder(routing == "random")
	default:
		return fmt.Errorf("--routing is %q, not module, direct or random", routing)
	}
	var injector *day.FaultyController
	if fault != "" {
		var neighbours []exchange.Neighbour
		for _, n := range config.Neighbours {
			neighbours = append(neighbours, n.Neighbour)
		}
		if injector, err = day.NewFaultyController(fault, neighbours); err != nil {
			return err
		}
		build = injector.WrapDecider(build)
	}
	server, err := control.New(config, build, dialTCP, log)
	if err != nil {
		return err
	}
	server.OnReady = func() { fmt.Println("ready") }
	if injector != nil {
		server.InterceptSend = injector.InterceptSend
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() {
		for range hup {
			next, err := site.Read(file)
			switch {
			case err != nil:
				log.Error("settings rejected, nothing changes", "why", err)
			case server.Reload(next):
				log.Info("settings reloaded")
			default:
				log.Warn("settings reloaded; some changes need a restart")
			}
		}
	}()
	return server.Run(ctx)
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check the settings of an exchange, or a day, without starting", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := site.Read(args[0])
			if err != nil {
				if _, dayErr := day.Read(args[0]); dayErr == nil {
					err = nil
				}
			}
			return err
		}}
}
