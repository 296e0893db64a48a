package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/testcluster"
)

const (
	listServicePort = 8500
	maxWatchWait    = time.Minute // a watch waits for a change for at most this long
)

// listSource is the list service that the measured node watches.
type listSource interface {
	counter() *listCounter
	setPhase(ctx context.Context, server int, phase string) error
}

// listCounter is the HTTP server of a list service, and counts the responses and their bytes.
type listCounter struct {
	address   string
	bytes     atomic.Int64 // of response bodies
	responses atomic.Int64
	server    *http.Server
}

func (c *listCounter) counter() *listCounter { return c }
func (c *listCounter) close()                { _ = c.server.Close() }

// serve starts to serve a handler at a new address of the cluster.
func (c *listCounter) serve(cluster *testcluster.Cluster, h http.Handler) error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", cluster.NewAddress(), listServicePort))
	if err != nil {
		return err
	}
	c.address = ln.Addr().String()
	c.server = &http.Server{Handler: h}
	go func() { _ = c.server.Serve(ln) }()
	return nil
}

// listService is a stand-in for the registry that serves the emulator's list over HTTP.
type listService struct {
	listCounter

	mu      sync.Mutex
	list    *emulator.List
	changed chan struct{} // closed and replaced at each change
}

// serverName, serverService and serverZone return the name, the service and the zone of the server with an index.
// Servers of a service have consecutive indexes, and consecutive servers are in different zones.
func serverName(i int) string    { return fmt.Sprintf("server-%06d", i) }
func serverService(i int) string { return fmt.Sprintf("service-%04d", i/serversPerService) }
func serverZone(i int) string    { return fmt.Sprintf("zone-%02d", i%zoneCount) }
func serviceCount(n int) int     { return (n + serversPerService - 1) / serversPerService }
func routeService(i int) string  { return fmt.Sprintf("service-%04d", i) }

// startListService serves a list of n servers at the given addresses.
func startListService(cluster *testcluster.Cluster, n int, address func(i int) string) (*listService, error) {
	s := &listService{list: emulator.NewList(), changed: make(chan struct{})}
	for i := range n {
		s.list.Set(emulator.Entry{ID: serverName(i), HostPort: address(i), Locality: serverZone(i), Flavor: serverService(i),
			Cell: int64(i / 100), Phase: emulator.Up, Size: 1})
	}
	return s, s.serve(cluster, s)
}

// snapshot returns the complete list.
func (s *listService) snapshot() emulator.ListResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Snapshot()
}

// setPhase changes a server's phase, and wakes all watches.
func (s *listService) setPhase(_ context.Context, server int, phase string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.SetPhase(serverName(server), phase)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// ServeHTTP responds with the whole list to a call without an index. For a call with an index it waits for changes since
// that index, at most for the wait time in the call and for maxWatchWait, and responds with the changes, if any.
func (s *listService) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	index, err := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	ms, _ := strconv.ParseInt(req.URL.Query().Get("wait"), 10, 64)
	timer := time.NewTimer(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	defer timer.Stop()
	for {
		response, changed, isNew := s.changesSince(index, watch)
		if isNew {
			s.respond(w, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.respond(w, response)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (s *listService) changesSince(index int64, watch bool) (emulator.ListResponse, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !watch {
		return s.list.Snapshot(), nil, true
	}
	response, isNew := s.list.Since(index)
	return response, s.changed, isNew
}

func (s *listService) respond(w http.ResponseWriter, response emulator.ListResponse) {
	body, err := json.Marshal(response)
	if err != nil { // can't happen: all fields are plain values
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(body)
	s.bytes.Add(int64(n))
	s.responses.Add(1)
}
