package downstream

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/policy"
)

// ReadyPath is where a load balancer asks whether the node takes clients.
const ReadyPath = "/health/ready"

const (
	// minAcceptBackoff is the pause after a failed accept, doubled up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 250 * time.Millisecond
	// capacityWaitTimeout is how long a request whose connection came over the limit waits for a descriptor, while
	// descriptors come from the process that this one replaces.
	capacityWaitTimeout  = 100 * time.Millisecond
	capacityPollInterval = 5 * time.Millisecond
)

// Handler takes what a Server reads. Its methods are called from many goroutines.
type Handler interface {
	// HandleRequest takes a request. It answers with Exchange.Reply.
	HandleRequest(*Exchange)
	// HandleDisconnect hears that the client left before it was answered.
	HandleDisconnect(*Exchange)
	// HandleBodyEnd hears that nothing more of a streamed body is read: nil where it is complete.
	HandleBodyEnd(x *Exchange, err error)
	// NodeReady reports whether the node takes clients, for ReadyPath.
	NodeReady() bool
	// Now is the time on the clock of Exchange.ReceivedAt.
	Now() policy.Time
	// Terms are the rules for requests that are read now.
	Terms() Terms
	// Tally counts the responses to requests of a class.
	Tally(class string) Tally
	// AddOpenRequests counts requests that were taken, and, below 0, that ended.
	AddOpenRequests(n int)
}

// Terms are the rules by which requests are read. Equal values are the same rules.
type Terms interface {
	// Class is that of a request; former where the request has the form from before a change of the configuration.
	Class(name, method string, hasKey bool) (c policy.Class, former, ok bool)
}

// Tally counts responses by their status.
type Tally interface{ Count(status int) }

// Server takes requests from clients, hands them to a Handler, and writes its responses.
type Server struct {
	// Stopping is set once the node is told to stop: clients that come again are kept then, since the other nodes would
	// have to bear them.
	Stopping atomic.Bool
	// Draining is set when responses are to end their connections.
	Draining atomic.Bool
	// AwaitingDescriptors is set while another process releases descriptors to this one bit by bit.
	AwaitingDescriptors atomic.Bool

	handler     Handler
	closing     atomic.Bool // connections end as soon as they have no request
	clientConns *ClientConns
	conns       sync.WaitGroup
}

// NewServer makes a Server that keeps track of its connections in conns.
func NewServer(h Handler, conns *ClientConns) *Server { return &Server{handler: h, clientConns: conns} }

// ClientConns are the connections of the server.
func (s *Server) ClientConns() *ClientConns { return s.clientConns }

// Accept serves the connections that come at l, and returns nil once l is closed. Shutdown ends the connections.
func (s *Server) Accept(l net.Listener) error {
	s.conns.Add(1) // so that Shutdown, which comes after l is closed, waits for what is accepted last
	defer s.conns.Done()
	backoff := minAcceptBackoff
	for {
		conn, err := l.Accept()
		switch netErr := net.Error(nil); {
		case err == nil:
			backoff = minAcceptBackoff
			s.conns.Add(1)
			go s.newClientConn(conn).serve()
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &netErr): // no descriptor is left, or the client has gone again
			slog.Warn("accepting a client failed", "error", err)
			time.Sleep(backoff)
			backoff = min(maxAcceptBackoff, 2*backoff)
		default:
			return err
		}
	}
}

// Shutdown ends the connections that have no request, waits for the others until end, and closes what is still open then.
func (s *Server) Shutdown(end time.Time) {
	s.CloseIdle()
	closed := make(chan struct{})
	go func() {
		s.conns.Wait()
		close(closed)
	}()
	timeout := time.NewTimer(time.Until(end))
	defer timeout.Stop()
	select {
	case <-closed:
	case <-timeout.C:
		s.clientConns.closeAll()
		<-closed
	}
}

// CloseIdle ends the connections that have no request, from now on.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.clientConns.closeIdle()
}

// awaitCapacity reports whether a connection is within the limit. One that came over it waits for a moment while another
// process releases descriptors.
func (s *Server) awaitCapacity(t *trackedConn) bool {
	end := time.Now().Add(capacityWaitTimeout)
	for t.overLimit && !s.clientConns.isAdmitted(t) {
		if !s.AwaitingDescriptors.Load() || !time.Now().Before(end) {
			return false
		}
		time.Sleep(capacityPollInterval)
	}
	return true
}
