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
	adminSockets     = 16          // descriptors set aside for callers at the second address
	adminCallTimeout = time.Second // for a call and for its answer: a caller waits no longer
	healthPath       = "/healthcheck"
	statsPath        = "/stats"
)

// adminServer answers operators at an address of their own, one call a connection. Callers that finish no
// call give way to others, and none of them takes anything from the clients.
type adminServer struct {
	http  http.Server
	conns *downstream.ClientConns
}

// newAdminServer makes the operators' side; acceptsNewClients reports whether clients come to this process, and fleet is nil for a
// node of none.
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
		l.fig.set.WritePrometheus(w)
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
	stop := context.AfterFunc(ctx, func() { _ = c.http.Close() }) // which ends Serve
	defer stop()
	err := c.http.Serve(netutil.LimitListener(listener, adminSockets))
	if !errors.Is(err, http.ErrServerClosed) {
		slog.Error("the operators' address is lost", "error", err)
	}
}
