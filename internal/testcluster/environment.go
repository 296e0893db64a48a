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
	healthCheckInterval = 100 * time.Millisecond // between looks of the front at a node
	unhealthyThreshold  = 3                      // looks that fail in a row, and the front leaves a node
	maxOpenAttempts     = 4096                   // tries open at a time; more are the driver's own fault and counted so
	maxWatchWait        = time.Minute            // that a call for the list may wait
	maxListCalls        = 1 << 16                // for the list whose times are kept
)

// Environment is what nodes live among, on sockets: servers, the list of them, clients behind a front, and the
// checker. Its parts are the emulator's; the world gives them the time and carries bytes.
type Environment struct {
	Checker *emulator.Checker // hold the lock of Look while reading

	cluster *Cluster
	start   time.Time
	seed    uint64

	mu              sync.Mutex
	list            *emulator.List
	servers         map[string]*server
	listChanged     chan struct{} // closed when the list changes
	openAttempts    int
	skippedAttempts int                 // tries not sent for want of the driver's own room
	attemptCounts   map[[2]string]int   // attempts, by node and zone
	listCalls       []time.Time         // for the list; the last ones of many
	outcome         *simulation.Outcome // of the scenario that is played; nil for none
	sending         sync.WaitGroup
	ctx             context.Context
	cancel          context.CancelFunc
	background      sync.WaitGroup
}

// NewEnvironment makes a world with these servers, all of them warm and in the list.
func (c *Cluster) NewEnvironment(seed uint64, specs ...emulator.ServerSpec) *Environment {
	w := &Environment{Checker: emulator.NewChecker(emulator.DefaultRules()), cluster: c, start: time.Now().Add(-time.Hour),
		seed: seed, list: emulator.NewList(), servers: make(map[string]*server), listChanged: make(chan struct{}),
		attemptCounts: make(map[[2]string]int)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for _, spec := range specs {
		w.addServer(spec, 0)
	}
	c.onClose(w.close)
	return w
}

func (e *Environment) close() {
	e.cancel()
	e.sending.Wait()
	e.background.Wait()
}

// now is the world's clock. It begins at an hour, so that no moment of a run is 0, which stands for long ago.
func (e *Environment) now() emulator.Time { return time.Since(e.start) }

// WithLock calls do with the world's lock held: on servers, the list, the checker and sums.
func (e *Environment) WithLock(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// AddNode makes a node of this world: it reaches each server and the list by paths of its own, and is told the
// servers as they are now. Spec's discovery and known list are filled in.
func (e *Environment) AddNode(spec NodeSpec) (*Node, error) {
	addrs := make(map[string]string)
	e.mu.Lock()
	servers := make([]*server, 0, len(e.servers))
	for _, b := range e.servers {
		servers = append(servers, b)
	}
	e.mu.Unlock()
	for _, b := range servers {
		at, err := e.listenFor(spec.Name, b.Spec.ID, e.serverHandler(spec.Name, spec.zone(), b))
		if err != nil {
			return nil, err
		}
		addrs[b.Spec.ID] = at
	}
	at, err := e.listenFor(spec.Name, "list", e.listHandler(spec.Name, addrs))
	if err != nil {
		return nil, err
	}
	spec.Discovery = at
	e.mu.Lock()
	spec.InitialList = withAddresses(e.list.Snapshot(), addrs)
	e.mu.Unlock()
	n, err := e.cluster.Node(spec)
	if err != nil {
		return nil, err
	}
	return n, nil
}

// listenFor answers one node on a path of its own.
func (e *Environment) listenFor(node, party string, h http.Handler) (at string, err error) {
	ln, err := net.Listen("tcp", e.cluster.anyPortAddress())
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	e.background.Go(func() { _ = s.Serve(ln) })
	context.AfterFunc(e.ctx, func() { _ = s.Close() })
	return e.cluster.RelayTCP(node, party, ln.Addr().String())
}
