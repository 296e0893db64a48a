// Command wayhold is one request-routing node on real sockets. ROUTER_CONFIG names its configuration.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"cobaltward/internal/node"
)

func main() {
	slog.SetLogLoggerLevel(slog.LevelDebug) // net/http would log a line for each server's stray byte
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "wayhold:", err)
		os.Exit(1)
	}
}

func run() error {
	// SIGHUP would end the process if it came before there is anybody to hear it.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	at, err := node.Listen(c)
	if err != nil {
		return err
	}
	slog.Info("listening", "name", c.Name, "address", at.Clients.Addr(), "servers", len(c.Known.Members),
		"cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets, "max_open", c.MaxOpen)
	changes := make(chan node.Change)
	go follow(ctx, c, changed, changes)
	return node.Run(ctx, c, at, changes)
}

// follow reads the configuration anew at each signal, until ctx ends. A file has to hold what the last one
// that was taken held.
func follow(ctx context.Context, c node.Config, changed <-chan os.Signal, changes chan<- node.Change) {
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		next, err := node.Reload(os.Getenv, c)
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
