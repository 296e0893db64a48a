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
	healthCheckInterval = 100 * time.Millisecond // between a load generator's health checks of one node
	unhealthyThreshold  = 3                      // consecutive failed health checks that make a node unhealthy
	maxOpenAttempts     = 4096                   // of all clients; further attempts are skipped and counted
	maxWatchWait        = time.Minute            // longest wait of a list watch
	maxListCalls        = 1 << 16                // list calls whose times are retained
)

// Environment emulates everything that nodes talk to (servers, the list service and clients) and runs the checker. The
// emulator's state machines define the behavior; the environment connects them to sockets and to the real clock. The
// environment stops when its cluster is closed.
type Environment struct {
	Checker *emulator.Checker // may be used only within WithLock

	cluster    *Cluster
	start      time.Time // when the environment's clock read zero
	seed       uint64
	ctx        context.Context // canceled by close
	cancel     context.CancelFunc
	sending    sync.WaitGroup // attempts of clients
	background sync.WaitGroup // all other goroutines

	mu              sync.Mutex
	list            *emulator.List
	servers         map[string]*server
	listChanged     chan struct{} // closed and replaced on each change of the list
	openAttempts    int
	skippedAttempts int                 // not sent because of maxOpenAttempts
	attemptCounts   map[[2]string]int   // attempts that reached servers, by node and by zone of the server
	listCalls       []time.Time         // times of the newest calls, at most maxListCalls
	outcome         *simulation.Outcome // of the running scenario; nil if none runs
}

// NewEnvironment creates an environment with the given servers. All servers are in the list and past their slow start.
func (c *Cluster) NewEnvironment(seed uint64, specs ...emulator.ServerSpec) *Environment {
	e := &Environment{Checker: emulator.NewChecker(emulator.DefaultRules()), cluster: c, start: time.Now().Add(-time.Hour),
		seed: seed, list: emulator.NewList(), servers: make(map[string]*server), listChanged: make(chan struct{}),
		attemptCounts: make(map[[2]string]int)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	for _, spec := range specs {
		e.addServer(spec, 0)
	}
	c.onClose(e.close)
	return e
}

func (e *Environment) close() {
	e.cancel()
	e.sending.Wait()
	e.background.Wait()
}

// now returns the time on the environment's clock. The clock begins at one hour, because a server start time of 0 means
// long ago.
func (e *Environment) now() emulator.Time { return time.Since(e.start) }

// WithLock calls do with the environment's lock held, which guards servers, the list, the checker and the counts.
func (e *Environment) WithLock(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// AddNode creates a node in this environment. The node reaches each server and the list service through a separate
// relay. AddNode overrides two fields of the spec: Discovery, and InitialList with the current list.
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

// listenFor serves a party's handler for one node, and returns the address of the relay between the node and the party.
func (e *Environment) listenFor(node, party string, h http.Handler) (relayAddress string, err error) {
	ln, err := net.Listen("tcp", e.cluster.anyPortAddress())
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	e.background.Go(func() { _ = s.Serve(ln) })
	context.AfterFunc(e.ctx, func() { _ = s.Close() })
	return e.cluster.RelayTCP(node, party, ln.Addr().String())
}
