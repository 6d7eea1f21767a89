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
	plant := ""
	c := &cobra.Command{Use: "platform", Short: "Run one call controller on the platform, configured by GW_CONFIG", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runOnPlatform(plant) }}
	c.Flags().StringVar(&plant, "plant", "", "inject a fault: release, answer, early, standing, crossing")
	_ = c.Flags().MarkHidden("plant") // cannot fail: the flag exists
	return c
}

func runOnPlatform(plant string) error {
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
	m, err := platform.ReadConfig(file)
	if err != nil {
		return err
	}
	for _, told := range []struct{ env, here string }{{envName, m.Name}, {envListen, m.Listen}} {
		if v := os.Getenv(told.env); v != "" && v != told.here {
			return fmt.Errorf("%s is %q, but the configuration has %q", told.env, v, told.here)
		}
	}
	if err := m.InjectFault(plant); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(m.MemoryTarget())
	ln, err := net.Listen("tcp", m.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	station := platform.New(m, newPolicy, dialTCP, log)
	again := make(chan platform.Config)
	go func() {
		for range hup {
			next, err := platform.ReadConfig(file)
			if err != nil {
				log.Error("configuration rejected, nothing changes", "why", err)
				continue
			}
			again <- next
		}
	}()
	return station.Run(ctx, ln, again)
}
