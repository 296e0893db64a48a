package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// connLimiter is the clients' listener: it lets in so many connections at a time, and none while it is shut. A
// shut gate leaves those that wait to the process that shares the socket.
type connLimiter struct {
	net.Listener
	mu      sync.Mutex
	changed *sync.Cond
	limit   int
	open    int
	paused  bool
	closed  bool
}

func newConnLimiter(l net.Listener, most int) *connLimiter {
	g := &connLimiter{Listener: l, limit: most}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// Accept waits for a place and for a connection.
func (g *connLimiter) Accept() (net.Conn, error) {
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

func (g *connLimiter) acquire() error {
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

func (g *connLimiter) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.changed.Broadcast()
}

// setLimit sets how many connections may be open; those over it stay.
func (g *connLimiter) setLimit(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = most
	g.changed.Broadcast()
}

// setPaused shuts the gate or opens it again.
func (g *connLimiter) setPaused(shut bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = shut
	g.changed.Broadcast()
	l, ok := g.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	if shut {
		return l.SetDeadline(time.Unix(1, 0))
	}
	return l.SetDeadline(time.Time{})
}

// Close ends the listening.
func (g *connLimiter) Close() error {
	g.mu.Lock()
	g.closed = true
	g.changed.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

type limitedConn struct {
	net.Conn
	limiter *connLimiter
	closed  atomic.Bool
}

// NetConn is the connection that c wraps.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.limiter.release()
	}
	return err
}
