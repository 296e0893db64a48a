package downstream

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/memory"
	"sloerail/policy"
)

// ReadyPath is the path of the readiness check, by which a load balancer asks whether the node takes clients.
const ReadyPath = "/health/ready"

const (
	// minAcceptBackoff is the pause after a failed accept. It doubles with each further failure, up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 250 * time.Millisecond
	// capacityWaitTimeout is how long a request on a connection over the limit waits for a descriptor, while the
	// predecessor of this process hands over descriptors.
	capacityWaitTimeout = 100 * time.Millisecond
	// crowdedWaitTimeout is the same while further connections wait to be accepted.
	crowdedWaitTimeout   = 20 * time.Millisecond
	capacityPollInterval = 5 * time.Millisecond
)

// Handler handles the requests that a Server reads. Its methods are called from many goroutines.
type Handler interface {
	// HandleRequest takes a request. The response is sent on Exchange.Reply.
	HandleRequest(*Exchange)
	// HandleDisconnect is called when the client disconnects before its response is written.
	HandleDisconnect(*Exchange)
	// HandleBodyReceived is called when the last byte of a streamed body has arrived. The client sent it after the given
	// time, maybe at once.
	HandleBodyReceived(x *Exchange, sentAfter time.Time)
	// HandleBodyEnd is called when the reading of a streamed body ends: with nil if the body is complete, else with the
	// reason.
	HandleBodyEnd(x *Exchange, err error)
	// NodeReady reports whether the node takes clients, for ReadyPath.
	NodeReady() bool
	// Now returns the current time on the clock of Exchange.ReceivedAt.
	Now() policy.Time
	// RequestRules returns the current rules for reading requests. It is called for all bytes that arrive, and must not
	// block.
	RequestRules() RequestRules
	// ResponseCounter returns the counter of responses to requests of a class.
	ResponseCounter(class string) ResponseCounter
	// AddOpenRequests adds n to the number of open requests; n is negative when requests end.
	AddOpenRequests(n int)
}

// RequestRules are the rules for reading requests. They are immutable: a reload of the configuration makes new ones.
type RequestRules interface {
	// Class returns the class that binds a request until it ends; ok is false if there is none with the name. Just after a
	// change of the configuration, clients may still go by the former one, so the class depends on the request's method,
	// on whether it has an idempotency key, and on when it began to arrive.
	Class(name, method string, hasKey bool, receivedAt time.Time) (c *policy.AcceptedClass, ok bool)
}

// ResponseCounter counts responses by status. A streamed response that the server didn't complete counts as 502.
type ResponseCounter interface{ Count(status int) }

// Server reads requests from clients, passes them to a Handler, and writes the responses.
type Server struct {
	// Stopping is set once the node is told to stop. A crowded node (crowdedDivisor) then no longer closes connections
	// after their first response, since their clients would move to the other nodes.
	Stopping atomic.Bool
	// Draining is set when each response must close its connection.
	Draining atomic.Bool
	// Memory counts what is held for clients; nil for no limit.
	Memory *memory.Budget
	// DebugLog is whether the closes of connections are logged, at debug level.
	DebugLog bool
	// HasPending reports whether connections wait to be accepted. It doesn't block.
	HasPending func() bool
	// AwaitingDescriptors is set during a hot restart, while the predecessor gradually releases descriptors to this
	// process.
	AwaitingDescriptors atomic.Bool

	handler     Handler
	closing     atomic.Bool // set when connections must end as soon as they have no request
	clientConns *ClientConns
	conns       sync.WaitGroup
}

// NewServer returns a Server that tracks its connections in conns.
func NewServer(h Handler, conns *ClientConns) *Server {
	return &Server{handler: h, clientConns: conns, HasPending: func() bool { return false }}
}

// ClientConns returns the connections of the server.
func (s *Server) ClientConns() *ClientConns { return s.clientConns }

// Accept serves connections from l, and returns nil once l is closed. The connections then continue until Shutdown.
// After a net.Error, such as a lack of descriptors, Accept continues with a backoff. It returns any other error.
func (s *Server) Accept(l net.Listener) error {
	s.conns.Add(1) // so that Shutdown, called after l is closed, waits for the connections accepted last
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
		case errors.As(err, &netErr): // no free descriptor, or the client has already disconnected
			slog.Warn("failed to accept a client connection", "error", err)
			time.Sleep(backoff)
			backoff = min(maxAcceptBackoff, 2*backoff)
		default:
			return err
		}
	}
}

// maxStreamTime is how long Shutdown waits for streamed responses that have begun, after its end. A node that must end sooner
// is killed.
const maxStreamTime = time.Minute

// Shutdown ends the idle connections as CloseIdle does, waits for the others until end, and then closes those still
// open. A streamed response that has begun is not cut off for up to maxStreamTime more.
func (s *Server) Shutdown(end time.Time) {
	s.CloseIdle()
	closed := make(chan struct{})
	go func() {
		s.conns.Wait()
		close(closed)
	}()
	if endsBy(closed, end) {
		return
	}
	s.clientConns.closeAllExcept(func(c *clientConn) bool { return c.streaming.Load() })
	if !endsBy(closed, end.Add(maxStreamTime)) {
		s.clientConns.closeAllExcept(func(*clientConn) bool { return false })
		<-closed
	}
}

// endsBy waits until ended is closed, and returns false if that takes longer than until a time.
func endsBy(ended <-chan struct{}, at time.Time) bool {
	timeout := time.NewTimer(time.Until(at))
	defer timeout.Stop()
	select {
	case <-ended:
		return true
	case <-timeout.C:
		return false
	}
}

// CloseIdle ends the connections that are idle after a response, and from now on each one that becomes idle.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.clientConns.closeIdle()
}

// awaitCapacity reports whether a connection is within the limit. For a connection over the limit, it waits up to
// capacityWaitTimeout while the predecessor releases descriptors, or up to crowdedWaitTimeout if others wait behind it.
func (s *Server) awaitCapacity(t *trackedConn) bool {
	start := time.Now()
	for t.overLimit && !s.clientConns.isAdmitted(t) {
		waited := time.Since(start)
		if !s.AwaitingDescriptors.Load() || waited >= capacityWaitTimeout || waited >= crowdedWaitTimeout && s.HasPending() {
			return false
		}
		time.Sleep(capacityPollInterval)
	}
	return true
}
