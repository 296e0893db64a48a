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
	healthCheckInterval = 100 * time.Millisecond // between a load generator's health checks of a node
	unhealthyThreshold  = 3                      // health checks that fail in a row, after which no attempts go to the node
	maxOpenAttempts     = 4096                   // of all clients; more aren't sent, and are counted
	maxWatchWait        = time.Minute            // of a call to the list service
	maxListCalls        = 1 << 16                // whose times are retained
)

// Environment is what surrounds nodes, on sockets: servers, the list service, clients and the checker. The emulator's
// state machines do the work; the environment gives them the time and carries bytes. It ends with its cluster.
type Environment struct {
	Checker *emulator.Checker // guarded by WithLock

	cluster    *Cluster
	start      time.Time // of its clock
	seed       uint64
	ctx        context.Context // ends with the environment
	cancel     context.CancelFunc
	sending    sync.WaitGroup // attempts of clients
	background sync.WaitGroup // all other goroutines

	mu              sync.Mutex
	list            *emulator.List
	servers         map[string]*server
	listChanged     chan struct{} // closed, and replaced, at each change
	openAttempts    int
	skippedAttempts int                 // not sent because of maxOpenAttempts
	attemptCounts   map[[2]string]int   // of attempts that reached servers, by node and zone of the server
	listCalls       []time.Time         // the newest maxListCalls at most
	outcome         *simulation.Outcome // of the scenario that is played; nil for none
}

// NewEnvironment makes an environment with these servers, all of them in the list and past their slow start.
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

// now is the environment's clock. It begins at an hour, because 0 stands for long ago.
func (e *Environment) now() emulator.Time { return time.Since(e.start) }

// WithLock calls do with the lock held that guards servers, the list, the checker and the counts.
func (e *Environment) WithLock(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// AddNode makes a node in this environment. It reaches each server and the list service by a path of its own, and
// starts with the list as it is now: Discovery and InitialList of the spec are filled in.
func (e *Environment) AddNode(spec NodeSpec) (*Node, error) {
	addresses := make(map[string]string)
	e.mu.Lock()
	servers := make([]*server, 0, len(e.servers))
	for _, s := range e.servers {
		servers = append(servers, s)
	}
	e.mu.Unlock()
	for _, s := range servers {
		address, err := e.listenFor(spec.Name, s.Spec.ID, e.serverHandler(spec.Name, spec.zone(), s))
		if err != nil {
			return nil, err
		}
		addresses[s.Spec.ID] = address
	}
	address, err := e.listenFor(spec.Name, "list", e.listHandler(spec.Name, addresses))
	if err != nil {
		return nil, err
	}
	spec.Discovery = address
	e.mu.Lock()
	spec.InitialList = withAddresses(e.list.Snapshot(), addresses)
	e.mu.Unlock()
	return e.cluster.Node(spec)
}

// listenFor serves a party's handler to one node, and returns the address of the relay between them.
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
