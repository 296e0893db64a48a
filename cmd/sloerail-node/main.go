// Command sloerail-node runs a request-routing node. The environment variable ROUTER_CONFIG names its configuration file.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"

	"sloerail/internal/node"
	"sloerail/internal/node/config"
)

func main() {
	// Hide the lines of package log, with which net/http reports unsolicited bytes from the list service.
	slog.SetLogLoggerLevel(slog.LevelDebug)
	level := slog.LevelInfo
	if os.Getenv(config.DebugLogVariable) != "" {
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sloerail-node:", err)
		os.Exit(1)
	}
}

// profileVariable is the environment variable that names the file for a CPU profile. It contains the program's former
// name, and is kept for existing setups.
const profileVariable = "WAYHOLD_PROFILE"

// startGCPercent makes the garbage of the start small, beside a predecessor that still uses the memory.
const startGCPercent = 20

func run() error {
	normalGCPercent := debug.SetGCPercent(startGCPercent)
	// Without a handler, a SIGHUP during the start would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	stopProfile, err := startProfile(os.Getenv(profileVariable))
	if err != nil {
		return err
	}
	defer stopProfile()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listeners, err := node.Listen(context.WithoutCancel(ctx), c) // Run handles a signal that arrives during Listen
	if err != nil {
		return err
	}
	slog.Info("listening", "name", c.Name, "address", listeners.Clients.Addr(), "servers", len(c.Known.Endpoints),
		"cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets, "max_open", c.MaxOpen)
	debug.SetGCPercent(normalGCPercent)
	changes := make(chan node.Change)
	go reloadOnHangup(ctx, c.WithoutList(), hangups, changes)
	return node.Run(ctx, c, listeners, changes)
}

// startProfile writes a CPU profile to the file at path until stop is called. It does nothing if path is empty.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", profileVariable, err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, fmt.Errorf("%s: %w", profileVariable, errors.Join(err, f.Close()))
	}
	return func() {
		pprof.StopCPUProfile()
		if err := f.Close(); err != nil {
			slog.Error("closing the profile failed", "error", err)
		}
	}, nil
}

// reloadOnHangup reloads the configuration at each signal until ctx ends. A reloaded file is rejected if it
// lacks a key of the last accepted one.
func reloadOnHangup(ctx context.Context, c config.Config, hangups <-chan os.Signal, changes chan<- node.Change) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		next, err := config.Reload(os.Getenv, c)
		if err == nil {
			c = next.WithoutList()
		}
		select {
		case changes <- node.Change{Config: next, Err: err}:
		case <-ctx.Done():
			return
		}
	}
}
