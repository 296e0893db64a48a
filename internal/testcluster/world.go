package testcluster

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/simulation"
)

const (
	healthInterval = 100 * time.Millisecond // between looks of the front at a node
	unhealthyAfter = 3                      // looks that fail in a row, and the front leaves a node
	maxOpenTries   = 4096                   // tries open at a time; more are the driver's own fault and counted so
	maxWatch       = time.Minute            // that a call for the list may wait
	maxCalls       = 1 << 16                // for the list whose times are kept
)

// World is what nodes live among, on sockets: servers, the list of them, clients behind a front, and the
// checker. Its parts are the emulator's; the world gives them the time and carries bytes.
type World struct {
	Checker *emulator.Checker // hold the lock of Look while reading

	cluster *Cluster
	start   time.Time
	seed    uint64

	mu        sync.Mutex
	list      *emulator.List
	servers   map[string]*server
	changed   chan struct{} // closed when the list changes
	open      int
	skipped   int                 // tries not sent for want of the driver's own room
	sent      map[[2]string]int   // attempts, by node and zone
	listCalls []time.Time         // for the list; the last ones of many
	outcome   *simulation.Outcome // of the scenario that is played; nil for none
	trying    sync.WaitGroup
	ctx       context.Context
	end       context.CancelFunc
	parts     sync.WaitGroup
}

// NewWorld makes a world with these servers, all of them warm and in the list.
func (r *Cluster) NewWorld(seed uint64, specs ...emulator.ServerSpec) *World {
	w := &World{Checker: emulator.NewChecker(emulator.DefaultRules()), cluster: r, start: time.Now().Add(-time.Hour),
		seed: seed, list: emulator.NewList(), servers: make(map[string]*server), changed: make(chan struct{}),
		sent: make(map[[2]string]int)}
	w.ctx, w.end = context.WithCancel(context.Background())
	for _, spec := range specs {
		w.addServer(spec, 0)
	}
	r.onClose(w.close)
	return w
}

func (w *World) close() {
	w.end()
	w.trying.Wait()
	w.parts.Wait()
}

// now is the world's clock. It begins at an hour, so that no moment of a run is 0, which stands for long ago.
func (w *World) now() emulator.Time { return time.Since(w.start) }

// Look calls do with the world's lock held: on servers, the list, the checker and sums.
func (w *World) Look(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// AddNode makes a node of this world: it reaches each server and the list by paths of its own, and is told the
// servers as they are now. Spec's discovery and known list are filled in.
func (w *World) AddNode(spec NodeSpec) (*Node, error) {
	addrs := make(map[string]string)
	w.mu.Lock()
	servers := make([]*server, 0, len(w.servers))
	for _, b := range w.servers {
		servers = append(servers, b)
	}
	w.mu.Unlock()
	for _, b := range servers {
		at, err := w.serve(spec.Name, b.Spec.ID, w.serverHandler(spec.Name, spec.zone(), b))
		if err != nil {
			return nil, err
		}
		addrs[b.Spec.ID] = at
	}
	at, err := w.serve(spec.Name, "list", w.listHandler(spec.Name, addrs))
	if err != nil {
		return nil, err
	}
	spec.Discovery = at
	w.mu.Lock()
	spec.InitialList = withAddresses(w.list.Snapshot(), addrs)
	w.mu.Unlock()
	n, err := w.cluster.Node(spec)
	if err != nil {
		return nil, err
	}
	return n, nil
}

// serve answers one node on a path of its own.
func (w *World) serve(node, party string, h http.Handler) (at string, err error) {
	ln, err := net.Listen("tcp", w.cluster.anyPort())
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.parts.Go(func() { _ = s.Serve(ln) })
	context.AfterFunc(w.ctx, func() { _ = s.Close() })
	return w.cluster.RelayTCP(node, party, ln.Addr().String())
}
