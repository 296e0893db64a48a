package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// gate is the clients' listener: it lets in so many connections at a time, and none while it is shut. A
// shut gate leaves those that wait to the process that shares the socket.
type gate struct {
	net.Listener
	mu     sync.Mutex
	change *sync.Cond
	most   int
	open   int
	shut   bool
	closed bool
}

func newGate(l net.Listener, most int) *gate {
	g := &gate{Listener: l, most: most}
	g.change = sync.NewCond(&g.mu)
	return g
}

// Accept waits for a place and for a connection.
func (g *gate) Accept() (net.Conn, error) {
	for {
		if err := g.enter(); err != nil {
			return nil, err
		}
		c, err := g.Listener.Accept()
		if err == nil {
			return &gatedConn{Conn: c, gate: g}, nil
		}
		g.leave()
		if !errors.Is(err, os.ErrDeadlineExceeded) { // that is how setShut wakes it
			return nil, err
		}
	}
}

func (g *gate) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.closed && (g.shut || g.open >= g.most) {
		g.change.Wait()
	}
	if g.closed {
		return net.ErrClosed
	}
	g.open++
	return nil
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.change.Broadcast()
}

// resize sets how many connections may be open; those over it stay.
func (g *gate) resize(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.most = most
	g.change.Broadcast()
}

// setShut shuts the gate or opens it again.
func (g *gate) setShut(shut bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	g.change.Broadcast()
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
func (g *gate) Close() error {
	g.mu.Lock()
	g.closed = true
	g.change.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

type gatedConn struct {
	net.Conn
	gate *gate
	left atomic.Bool
}

// NetConn is the connection that c wraps.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }

func (c *gatedConn) Close() error {
	err := c.Conn.Close()
	if c.left.CompareAndSwap(false, true) {
		c.gate.leave()
	}
	return err
}
