package node

import (
	"sync/atomic"

	"sloerail/internal/node/downstream"
	"sloerail/policy"
)

// server is the clients' side of a node: it joins a Server to the loop, and knows which process of the node serves.
type server struct {
	*downstream.Server
	loop         *loop
	soleListener chan struct{} // closed once new clients come to this process alone
	superseded   atomic.Bool   // another process of this node serves
	isSuccessor  bool          // another one served before this
}

func newServer(l *loop) *server {
	s := &server{loop: l, soleListener: make(chan struct{})}
	descriptors := l.up.Descriptors()
	s.Server = downstream.NewServer(s, downstream.NewClientConns(descriptors.ForClients, descriptors.SetClients, l.up.CloseExcessIdle))
	return s
}

// HandleRequest hands the loop a request.
func (s *server) HandleRequest(x *downstream.Exchange) { s.loop.send(arrival{x}) }

// HandleDisconnect tells the loop that a client has left.
func (s *server) HandleDisconnect(x *downstream.Exchange) { s.loop.send(departure{x}) }

// HandleBodyEnd tells the loop that a streamed body has ended.
func (s *server) HandleBodyEnd(x *downstream.Exchange, err error) { s.loop.send(bodyEnded{x, err}) }

// Now is the loop's time.
func (s *server) Now() policy.Time { return s.loop.clock.now() }

// Terms are those of the configuration as the loop has it.
func (s *server) Terms() downstream.Terms { return s.loop.terms.Load() }

// Tally counts the responses to requests of a class.
func (s *server) Tally(class string) downstream.Tally { return s.loop.fig.class(class) }

// AddOpenRequests counts requests that were taken or have ended.
func (s *server) AddOpenRequests(n int) { s.loop.fig.open.Add(int64(n)) }

// acceptsNewClients reports whether new clients come to this process, and to no other of the node.
func (s *server) acceptsNewClients() bool {
	select {
	case <-s.soleListener: // and so the list is in
		return !s.Stopping.Load()
	default:
		return false
	}
}

// NodeReady reports whether the node takes clients, in this process or, unlike acceptsNewClients, in another of it.
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
