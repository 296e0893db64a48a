package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/http1"
)

const (
	adminSockets     = 16          // descriptors reserved for connections to the admin server
	adminCallTimeout = time.Second // for reading a request, and for writing its response: operators' tools wait no longer
	healthPath       = "/healthcheck"
	statsPath        = "/stats"
)

// adminServer serves health checks, metrics and views for operators at an address of its own, one request per
// connection. Connections that send no complete request are closed if new ones need the room. The descriptors for all
// connections are reserved, so that none are taken from clients.
type adminServer struct {
	http  http.Server
	conns *downstream.ClientConns
}

// newAdminServer returns the admin server. The health check succeeds if acceptsNewClients returns true. fleet is nil if
// the node is in no fleet.
func newAdminServer(l *loop, acceptsNewClients func() bool, fleet *membership) *adminServer {
	c := &adminServer{conns: downstream.NewClientConns(func() int { return adminSockets / 2 }, func(int) {}, func() {})}
	mux := http.NewServeMux()
	mux.HandleFunc(http.MethodGet+" "+healthPath, func(w http.ResponseWriter, _ *http.Request) {
		if !acceptsNewClients() {
			http.Error(w, "not taking clients", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc(http.MethodGet+" "+statsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		l.metrics.set.WritePrometheus(w)
	})
	mux.HandleFunc(http.MethodGet+" "+zonesPath, l.serveZones)
	if fleet != nil {
		mux.HandleFunc(http.MethodGet+" "+fleetPath, fleet.serve)
	}
	c.http = http.Server{
		Handler: mux, MaxHeaderBytes: http1.MaxHeadBytes, ReadTimeout: adminCallTimeout, WriteTimeout: 2 * adminCallTimeout,
		DisableGeneralOptionsHandler: true, ConnContext: c.conns.ConnContext, ConnState: c.conns.ConnState,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	c.http.SetKeepAlivesEnabled(false)
	return c
}

// run serves until ctx ends.
func (c *adminServer) run(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = c.http.Close() }) // ends Serve
	defer stop()
	err := c.http.Serve(netutil.LimitListener(listener, adminSockets))
	if !errors.Is(err, http.ErrServerClosed) {
		slog.Error("serving the admin address failed", "error", err)
	}
}
