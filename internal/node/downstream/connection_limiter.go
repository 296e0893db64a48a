package downstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ConnectionLimiter is a listener that limits how many of its connections are open at a time. During a hot restart, the
// predecessor pauses its limiter: it then accepts none, and leaves new connections to the successor, which shares the
// socket.
type ConnectionLimiter struct {
	net.Listener
	// MakeRoom is called now and then while the limiter is at its limit and connections wait to be accepted. It may close
	// some of those that are open. It must be set before the first call of Accept, if at all.
	MakeRoom func()

	mu      sync.Mutex
	changed *sync.Cond
	limit   int
	open    int
	paused  bool
	closed  bool
}

// NewConnectionLimiter returns a ConnectionLimiter that accepts connections from l, up to limit at a time.
func NewConnectionLimiter(l net.Listener, limit int) *ConnectionLimiter {
	cl := &ConnectionLimiter{Listener: l, limit: limit}
	cl.changed = sync.NewCond(&cl.mu)
	return cl
}

// Accept waits while the listener is paused or at its limit, and then for the next connection. It returns net.ErrClosed
// after Close.
func (cl *ConnectionLimiter) Accept() (net.Conn, error) {
	for {
		if err := cl.acquire(); err != nil {
			return nil, err
		}
		c, err := cl.Listener.Accept()
		if err == nil {
			return &limitedConn{Conn: c, limiter: cl}, nil
		}
		cl.release()
		if !errors.Is(err, os.ErrDeadlineExceeded) { // SetPaused interrupts Accept by setting a deadline
			return nil, err
		}
	}
}

func (cl *ConnectionLimiter) acquire() error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for !cl.closed && (cl.paused || cl.open >= cl.limit) {
		if cl.paused || cl.MakeRoom == nil {
			cl.changed.Wait()
			continue
		}
		cl.mu.Unlock()
		if cl.HasPending() {
			cl.MakeRoom()
		}
		cl.mu.Lock()
		if cl.open >= cl.limit && !cl.closed {
			retry := time.AfterFunc(makeRoomInterval, cl.wake)
			cl.changed.Wait()
			retry.Stop()
		}
	}
	if cl.closed {
		return net.ErrClosed
	}
	cl.open++
	return nil
}

// makeRoomInterval is the time between two calls of MakeRoom.
const makeRoomInterval = 10 * time.Millisecond

func (cl *ConnectionLimiter) wake() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.changed.Broadcast()
}

// HasPending reports whether connections wait to be accepted. It polls the socket and doesn't block.
func (cl *ConnectionLimiter) HasPending() (pending bool) {
	socket, ok := cl.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) { pending = pollNow(fd, unix.POLLIN) })
	return err == nil && pending
}

func (cl *ConnectionLimiter) release() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.open--
	cl.changed.Broadcast()
}

// SetLimit sets how many connections may be open at a time. Connections already open over the new limit stay open.
func (cl *ConnectionLimiter) SetLimit(limit int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.limit = limit
	cl.changed.Broadcast()
}

// Limit returns how many connections may be open at a time.
func (cl *ConnectionLimiter) Limit() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.limit
}

// SetPaused pauses or resumes accepting. It returns errors.ErrUnsupported if the listener has no SetDeadline method.
func (cl *ConnectionLimiter) SetPaused(paused bool) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.paused = paused
	cl.changed.Broadcast()
	listener, ok := cl.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	if paused {
		return listener.SetDeadline(time.Unix(1, 0))
	}
	return listener.SetDeadline(time.Time{})
}

// Close closes the listener. Open connections stay open.
func (cl *ConnectionLimiter) Close() error {
	cl.mu.Lock()
	cl.closed = true
	cl.changed.Broadcast()
	cl.mu.Unlock()
	return cl.Listener.Close()
}

// limitedConn is a connection that counts towards the limiter's limit until it is closed.
type limitedConn struct {
	net.Conn
	limiter  *ConnectionLimiter
	released atomic.Bool
}

// NetConn returns the connection that c wraps.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection. Only the first call releases it from the limit.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if c.released.CompareAndSwap(false, true) {
		c.limiter.release()
	}
	return err
}
