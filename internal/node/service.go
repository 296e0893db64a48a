package node

import (
	"sync/atomic"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/policy"
)

// During a hot restart there are no descriptors beyond the clients' share. Some of the share are then kept for connections
// that get a 503 at once: maxSheddingConns, or the share divided by sheddingDivisor if that is less.
const (
	maxSheddingConns = 4
	sheddingDivisor  = 16
)

// server is the client side of a node. It connects a downstream.Server to the loop, and knows which process of the node
// serves clients.
type server struct {
	*downstream.Server
	loop         *loop
	soleListener chan struct{} // closed once this process alone accepts new clients
	superseded   atomic.Bool   // a successor accepts new clients instead
	isSuccessor  bool          // this process has a predecessor
}

func newServer(l *loop, limits *memoryLimits) *server {
	s := &server{loop: l, soleListener: make(chan struct{})}
	descriptors := l.up.Descriptors()
	maxConns := func() int {
		n := min(descriptors.ForClients(), limits.maxConnections())
		if s.AwaitingDescriptors.Load() {
			n -= min(maxSheddingConns, n/sheddingDivisor)
		}
		return n
	}
	s.Server = downstream.NewServer(s, downstream.NewClientConns(maxConns, descriptors.SetClients, l.up.CloseExcessIdle))
	s.Memory = limits.clients
	s.DebugLog = l.tracing
	return s
}

// HandleRequest sends the loop a new request.
func (s *server) HandleRequest(x *downstream.Exchange) { s.loop.send(requestReceived{x}) }

// HandleDisconnect tells the loop that a request's client has disconnected.
func (s *server) HandleDisconnect(x *downstream.Exchange) { s.loop.send(clientDisconnected{x}) }

// HandleBodyReceived tells the loop that the last byte of a streamed body has arrived.
func (s *server) HandleBodyReceived(x *downstream.Exchange, sentAfter time.Time) {
	s.loop.send(bodyReceived{x, s.loop.clock.now() - time.Since(sentAfter)})
}

// HandleBodyEnd tells the loop that a streamed body has ended.
func (s *server) HandleBodyEnd(x *downstream.Exchange, err error) { s.loop.send(bodyEnded{x, err}) }

// Now returns the time by the loop's clock.
func (s *server) Now() policy.Time { return s.loop.clock.now() }

// RequestRules returns the classes of the current configuration.
func (s *server) RequestRules() downstream.RequestRules { return s.loop.classes.Load() }

// ResponseCounter returns the counters of the responses to requests of a class.
func (s *server) ResponseCounter(class string) downstream.ResponseCounter {
	return s.loop.metrics.class(class)
}

// AddOpenRequests adds n, which may be negative, to the number of open requests.
func (s *server) AddOpenRequests(n int) { s.loop.metrics.open.Add(int64(n)) }

// acceptsNewClients reports whether this process has become the only one of the node that accepts new clients. It stays
// true when a successor takes over, until this process is told to stop.
func (s *server) acceptsNewClients() bool {
	select {
	case <-s.soleListener: // implies that the balancer has the list
		return !s.Stopping.Load()
	default:
		return false
	}
}

// NodeReady reports whether the node accepts clients, in this process or in its predecessor or successor. In contrast,
// acceptsNewClients is about this process alone.
func (s *server) NodeReady() bool {
	if s.Stopping.Load() {
		return s.superseded.Load()
	}
	select {
	case <-s.loop.ready:
		return true
	default:
		return s.isSuccessor
	}
}
