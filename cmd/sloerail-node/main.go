// Command sloerail-node is one request-routing node on real sockets. ROUTER_CONFIG names its configuration.
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
	"runtime/pprof"
	"syscall"

	"sloerail/internal/node"
	"sloerail/internal/node/config"
)

func main() {
	slog.SetLogLoggerLevel(slog.LevelDebug) // net/http logs stray bytes from the list service by the log package
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sloerail-node:", err)
		os.Exit(1)
	}
}

// profileVariable names the file for a CPU profile. It has the program's former name, and is kept for
// those who set it.
const profileVariable = "WAYHOLD_PROFILE"

func run() error {
	// SIGHUP would end the process if it came before the handler is installed.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	endProfile, err := profile(os.Getenv(profileVariable))
	if err != nil {
		return err
	}
	defer endProfile()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	at, err := node.Listen(context.WithoutCancel(ctx), c) // Run handles a stop, also one that comes now
	if err != nil {
		return err
	}
	slog.Info("listening", "name", c.Name, "address", at.Clients.Addr(), "servers", len(c.Known.Endpoints),
		"cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets, "max_open", c.MaxOpen)
	changes := make(chan node.Change)
	go follow(ctx, c, changed, changes)
	return node.Run(ctx, c, at, changes)
}

// profile writes a CPU profile to the file at path, until end is called; an empty path is for none.
func profile(path string) (end func(), err error) {
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

// follow reads the configuration again at each signal, until ctx ends. A file has to have the keys of the last one that
// was taken.
func follow(ctx context.Context, c config.Config, changed <-chan os.Signal, changes chan<- node.Change) {
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		next, err := config.Reload(os.Getenv, c)
		if err == nil {
			c = next
		}
		select {
		case changes <- node.Change{Config: next, Err: err}:
		case <-ctx.Done():
			return
		}
	}
}
