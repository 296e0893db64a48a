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
	maxWatchWait    = time.Minute // of a watch
)

// nodeList is the list service of a node under measurement.
type nodeList interface {
	counted() *listCounter
	change(ctx context.Context, server int, phase string) error
}

// listCounter is the server of a list, and counts its responses.
type listCounter struct {
	address string
	bytes   atomic.Int64 // of answers, bodies alone
	answers atomic.Int64
	server  *http.Server
}

func (c *listCounter) counted() *listCounter { return c }
func (c *listCounter) close()                { _ = c.server.Close() }

// serve serves a handler at a new address of the cluster.
func (c *listCounter) serve(r *testcluster.Cluster, h http.Handler) error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.NewAddress(), listServicePort))
	if err != nil {
		return err
	}
	c.address = ln.Addr().String()
	c.server = &http.Server{Handler: h}
	go func() { _ = c.server.Serve(ln) }()
	return nil
}

// listService is the emulator's list on a socket, with as many servers as a run asks for.
type listService struct {
	listCounter

	mu      sync.Mutex
	list    *emulator.List
	changed chan struct{} // closed at a change
}

// serverName, serviceOf and zoneOf say how the servers of a run are laid out: a service's servers follow each
// other, spread over all zones.
func serverName(i int) string   { return fmt.Sprintf("server-%06d", i) }
func serviceOf(i int) string    { return fmt.Sprintf("service-%04d", i/serversPerService) }
func zoneOf(i int) string       { return fmt.Sprintf("zone-%02d", i%zoneCount) }
func serviceCount(n int) int    { return (n + serversPerService - 1) / serversPerService }
func routeService(i int) string { return fmt.Sprintf("service-%04d", i) }

// startList serves a list of n servers; address says where each of them is.
func startList(r *testcluster.Cluster, n int, address func(i int) string) (*listService, error) {
	s := &listService{list: emulator.NewList(), changed: make(chan struct{})}
	for i := range n {
		s.list.Set(emulator.Entry{ID: serverName(i), HostPort: address(i), Locality: zoneOf(i), Flavor: serviceOf(i),
			Cell: int64(i / 100), Phase: emulator.Up, Size: 1})
	}
	return s, s.serve(r, s)
}

// snapshot returns the complete list.
func (s *listService) snapshot() emulator.ListResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Snapshot()
}

// change changes one server's phase, and notifies all watches.
func (s *listService) change(_ context.Context, server int, phase string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.SetPhase(serverName(server), phase)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// ServeHTTP answers a call for the list, which may wait for a change.
func (s *listService) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	index, err := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	ms, _ := strconv.ParseInt(req.URL.Query().Get("wait"), 10, 64)
	until := time.NewTimer(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	defer until.Stop()
	for {
		answer, changed, isNew := s.since(index, watch)
		if isNew {
			s.write(w, answer)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			s.write(w, answer)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (s *listService) since(index int64, watch bool) (emulator.ListResponse, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !watch {
		return s.list.Snapshot(), nil, true
	}
	answer, isNew := s.list.Since(index)
	return answer, s.changed, isNew
}

func (s *listService) write(w http.ResponseWriter, answer emulator.ListResponse) {
	body, err := json.Marshal(answer)
	if err != nil { // plain fields always can be written
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(body)
	s.bytes.Add(int64(n))
	s.answers.Add(1)
}
