package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"indigodrift/internal/platform"

	"github.com/spf13/cobra"
)

// Environment variables that the platform sets for a call controller.
const (
	envConfig   = "GW_CONFIG"
	envName     = "GW_NAME"
	envListen   = "GW_LISTEN"
	envLogLevel = "INDIGODRIFT_LOG" // minimum log level: debug, info, warn or error; info by default
)

func newPlatformCommand() *cobra.Command {
	fault := ""
	cmd := &cobra.Command{Use: "platform", Short: "Run one call controller on the platform, configured by GW_CONFIG", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runOnPlatform(fault) }}
	cmd.Flags().StringVar(&fault, "plant", "", "inject a fault: release, answer, early, standing, crossing")
	_ = cmd.Flags().MarkHidden("plant") // cannot fail: the flag exists
	return cmd
}

// runOnPlatform runs a controller until a signal ends it. SIGHUP reloads the configuration.
func runOnPlatform(fault string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	level := slog.LevelInfo
	if text := os.Getenv(envLogLevel); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return fmt.Errorf("%s: %w", envLogLevel, err)
		}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	file := os.Getenv(envConfig)
	config, err := platform.ReadConfig(file)
	if err != nil {
		return err
	}
	for _, expected := range []struct{ env, configured string }{{envName, config.Name}, {envListen, config.Listen}} {
		if value := os.Getenv(expected.env); value != "" && value != expected.configured {
			return fmt.Errorf("%s is %q, but the configuration has %q", expected.env, value, expected.configured)
		}
	}
	if err := config.InjectFault(fault); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(config.MemoryTarget())
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := platform.New(config, newPolicy, dialTCP, log)
	reloads := make(chan platform.Config)
	go func() {
		for range hup {
			next, err := platform.ReadConfig(file)
			if err != nil {
				log.Error("configuration rejected, nothing changes", "why", err)
				continue
			}
			reloads <- next
		}
	}()
	return server.Run(ctx, listener, reloads)
}
