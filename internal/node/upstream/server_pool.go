package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// minReuseDelay is the minimum time between a response and the reuse of its connection. A server may send a second
// response some milliseconds after the first, and it would be taken for the response to the next request. After the delay,
// isUsable finds it, and the connection isn't reused.
const minReuseDelay = 10 * time.Millisecond

// serverPool holds the idle connections to one process of one server, the most recently used last. It is unrelated to the
// type of the same name in policy, which holds servers in packing order.
type serverPool struct {
	address         string
	startedAtMillis int64 // Unix time
	idle            []*serverConn
	missingSince    time.Time // when the server disappeared from the endpoint list; zero while it is listed
	draining        bool
}

// serverConn is a connection to a server, used by one attempt at a time.
type serverConn struct {
	net.Conn
	pool        *serverPool
	lastUsed    time.Time
	lastChecked time.Time // when it was last known to be open
	rawConn     syscall.RawConn
	tryRead     func(fd uintptr) // reads a byte and sets wouldBlock; stored so that isUsable doesn't allocate
	wouldBlock  bool             // tryRead found nothing to read
}

func newServerConn(c net.Conn, p *serverPool) *serverConn {
	sc := &serverConn{Conn: c, pool: p}
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			sc.rawConn = raw
		}
	}
	sc.tryRead = func(fd uintptr) {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		sc.wouldBlock = errors.Is(err, unix.EAGAIN)
	}
	return sc
}

// isUsable reports whether an idle connection may be written to: the server has neither closed it nor sent unsolicited
// data. It doesn't block.
func (c *serverConn) isUsable() bool {
	if c.rawConn == nil {
		return true
	}
	c.wouldBlock = false
	return c.rawConn.Control(c.tryRead) == nil && c.wouldBlock
}

// unsentBytes returns how many written bytes the server's machine has not acknowledged; 0 if that can't be told.
func (c *serverConn) unsentBytes() (n int) {
	if c.rawConn == nil {
		return 0
	}
	err := c.rawConn.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}

// closeQuietly closes c and ignores the error: the descriptor is released in any case, and no caller could act on the
// error. Package downstream has the same function.
func closeQuietly(c io.Closer) { _ = c.Close() }

// acquire takes an idle connection to the server or dials one, and attaches it to l.
func (t *Transport) acquire(l *Lifetime, id string) (*serverConn, error) {
	p, c, err := t.reserve(id)
	if errors.Is(err, errNoDescriptor) {
		p, c, err = t.awaitDescriptor(l, id)
	}
	if err != nil {
		return nil, err
	}
	if c == nil {
		conn, err := t.dial(l, p.address)
		if err != nil {
			t.cancelReservation()
			return nil, err
		}
		c = newServerConn(conn, p)
		if !t.isCurrent(id, p) {
			t.release(c, id, false)
			return nil, errServerDraining
		}
	}
	if err := l.attach(c.Conn); err != nil {
		t.release(c, id, true) // reusable: nothing was written
		return nil, err
	}
	return c, nil
}

// reserve returns the server's pool and an idle connection. If there is none, it returns a nil connection and counts
// one more as open: the caller must then dial a connection or call cancelReservation.
func (t *Transport) reserve(id string) (*serverPool, *serverConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[id]
	switch {
	case p == nil:
		return nil, nil, errUnknownServer
	case p.draining: // it began to drain after the balancer chose it
		return nil, nil, errServerDraining
	}
	now := time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		idle := now.Sub(c.lastUsed)
		if idle < minReuseDelay {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if idle < t.idleTimeout() && c.isUsable() {
			return p, c, nil
		}
		t.discard(c)
	}
	if t.openConns >= t.connLimit() && !t.evictOldest() {
		return nil, nil, errNoDescriptor
	}
	t.addOpen(1)
	return p, nil, nil
}

func (t *Transport) cancelReservation() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addOpen(-1)
}

// dial opens a connection. It fails when l ends.
func (t *Transport) dial(l *Lifetime, address string) (net.Conn, error) {
	t.mu.Lock()
	dial := t.config.Dial
	t.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if deadline := l.startDial(cancel); !deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	return dial(ctx, "tcp", address)
}

// isCurrent reports whether p is still the server's pool and not draining. It is called after a dial: a draining
// server may have stopped taking requests meanwhile, as a dial may take longer than the server's grace period.
func (t *Transport) isCurrent(id string, p *serverPool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pools[id] == p && !p.draining
}

// release returns a connection to its pool if it is reusable and the pool still exists, and closes it otherwise.
func (t *Transport) release(c *serverConn, id string, reusable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reusable && t.pools[id] == c.pool {
		c.lastUsed = time.Now()
		c.lastChecked = c.lastUsed
		c.pool.idle = append(c.pool.idle, c)
		t.waiters.wake() // the waiter may use it or close it to dial another server
		return
	}
	t.discard(c)
}

// discard closes a connection that is in no pool. t.mu is held.
func (t *Transport) discard(c *serverConn) {
	closeQuietly(c)
	t.addOpen(-1)
}

// closeOldest closes the n connections of p that have been idle longest. t.mu is held.
func (t *Transport) closeOldest(p *serverPool, n int) {
	for _, c := range p.idle[:n] {
		closeQuietly(c)
	}
	p.idle = append([]*serverConn(nil), p.idle[n:]...)
	t.addOpen(-n)
}

// evictOldest closes the connection that has been idle longest, and reports whether there was one. t.mu is held.
func (t *Transport) evictOldest() bool {
	var oldest *serverPool
	for _, p := range t.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].lastUsed.Before(oldest.idle[0].lastUsed)) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	t.closeOldest(oldest, 1)
	return true
}
