package downstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ConnectionLimiter is the clients' listener: it lets in so many connections at a time, and none while it is shut. A
// shut gate leaves those that wait to the process that shares the socket.
type ConnectionLimiter struct {
	net.Listener
	mu      sync.Mutex
	changed *sync.Cond
	limit   int
	open    int
	paused  bool
	closed  bool
}

func NewConnectionLimiter(l net.Listener, limit int) *ConnectionLimiter {
	g := &ConnectionLimiter{Listener: l, limit: limit}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// Accept waits for a place and for a connection.
func (g *ConnectionLimiter) Accept() (net.Conn, error) {
	for {
		if err := g.acquire(); err != nil {
			return nil, err
		}
		c, err := g.Listener.Accept()
		if err == nil {
			return &limitedConn{Conn: c, limiter: g}, nil
		}
		g.release()
		if !errors.Is(err, os.ErrDeadlineExceeded) { // that is how setShut wakes it
			return nil, err
		}
	}
}

func (g *ConnectionLimiter) acquire() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.closed && (g.paused || g.open >= g.limit) {
		g.changed.Wait()
	}
	if g.closed {
		return net.ErrClosed
	}
	g.open++
	return nil
}

func (g *ConnectionLimiter) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.changed.Broadcast()
}

// SetLimit sets how many connections may be open; those over it stay.
func (g *ConnectionLimiter) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.changed.Broadcast()
}

// Limit is how many connections may be open.
func (g *ConnectionLimiter) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// SetPaused shuts the gate or opens it again.
func (g *ConnectionLimiter) SetPaused(paused bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = paused
	g.changed.Broadcast()
	l, ok := g.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	if paused {
		return l.SetDeadline(time.Unix(1, 0))
	}
	return l.SetDeadline(time.Time{})
}

// Close ends the listening.
func (g *ConnectionLimiter) Close() error {
	g.mu.Lock()
	g.closed = true
	g.changed.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

type limitedConn struct {
	net.Conn
	limiter  *ConnectionLimiter
	released atomic.Bool
}

// NetConn is the connection that c wraps.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if c.released.CompareAndSwap(false, true) {
		c.limiter.release()
	}
	return err
}
