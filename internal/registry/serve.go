package registry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
)

// Serve runs a replica until ctx ends or serving an address fails. Set newEpoch if the data directory was restored from an
// older copy. The replica then begins an epoch when it next becomes the leader, so that watchers get the full list.
func Serve(ctx context.Context, c Config, newEpoch bool) error {
	replica, err := Open(ReplicaConfig{ID: c.ID, RaftAddress: c.RaftAddress, RaftBindAddress: c.RaftBindAddress,
		APIAddress: c.ListenAddress, DataDir: c.DataDir, InitialReplicas: c.InitialReplicas, NewEpoch: newEpoch})
	if err != nil {
		return err
	}
	server := NewServer(replica, ServerConfig{MaxWatches: c.MaxWatches})
	httpServers := []*http.Server{server.HTTPServer(c.ListenAddress)}
	if c.AdminAddress != "" {
		httpServers = append(httpServers,
			&http.Server{Addr: c.AdminAddress, Handler: server.adminHandler(), ReadHeaderTimeout: readTimeout})
	}
	slog.Info("registry: replica started", "id", c.ID, "listen", c.ListenAddress, "raft", c.RaftAddress, "folder", c.DataDir)
	return errors.Join(serveAll(ctx, httpServers), replica.Close())
}

// serveAll runs servers until ctx ends or one of them fails, and returns the first error.
func serveAll(ctx context.Context, servers []*http.Server) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(servers))
	for _, server := range servers {
		go func() { results <- listenAndServe(ctx, server) }()
	}
	firstErr := <-results // nil if ctx ended
	cancel()
	for range len(servers) - 1 {
		if err := <-results; firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// listenAndServe serves at the server's address until ctx ends.
func listenAndServe(ctx context.Context, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() {
		if err := server.Close(); err != nil {
			slog.Debug("registry: closing an HTTP server failed", "address", server.Addr, "error", err)
		}
	})
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
