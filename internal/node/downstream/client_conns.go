package downstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSilentTime is how long a connection must have sent nothing, while its request is awaited, before it can be
	// evicted. A client that connects has its request ready, and even a slow client keeps sending parts of it.
	minSilentTime = 500 * time.Millisecond
	// minUnheardTime is the same for a new connection that has sent nothing at all, or is over the limit.
	minUnheardTime = 50 * time.Millisecond
	// MinIdleTime is how long a connection must have been idle after a response before it can be evicted.
	MinIdleTime = 2 * time.Second
	// crowdedDivisor sets how many connections are too many: while more than a quarter of the limit are open, connections
	// close with their first response. If they stayed open and idle, they couldn't be evicted for MinIdleTime, while new
	// clients connect.
	crowdedDivisor = 4
)

// ClientConns tracks the connections of clients. At the limit, it evicts idle and silent connections to make room for new
// ones. Its methods may be called from any goroutine and don't block.
type ClientConns struct {
	limit   func() int
	onCount func(n int) // called with the number of connections when it changes
	reclaim func()      // called at the limit; may raise it, by closing connections to servers

	mu            sync.Mutex
	conns         map[net.Conn]*trackedConn
	closeWhenIdle bool
}

// trackedConn is the state of a connection. ClientConns.mu guards it.
type trackedConn struct {
	conn         net.Conn
	state        http.ConnState
	since        time.Time // when it entered the state
	requests     int       // number of requests received
	requestStart time.Time // time of the current request's first byte, or of the connect for the first request
	awaitsInput  bool      // the rest of a head or a body is still expected
	overLimit    bool      // opened at the limit, when no other connection could be evicted
	heard        bool      // its first bytes have arrived, though they aren't read yet
	evicted      bool      // the connection ends unless a request arrives first
}

// NewClientConns returns a ClientConns. limit returns how many connections may be open. onCount is called with the number
// of connections when it changes, and reclaim when a connection opens at the limit. All three are called under a lock,
// and must not block or call methods of the ClientConns.
func NewClientConns(limit func() int, onCount func(n int), reclaim func()) *ClientConns {
	return &ClientConns{limit: limit, onCount: onCount, reclaim: reclaim, conns: make(map[net.Conn]*trackedConn)}
}

// add tracks a new connection. It must be called before anything is read from the connection.
func (cc *ClientConns) add(c net.Conn) *trackedConn {
	now := time.Now()
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if len(cc.conns) >= cc.limit() {
		cc.reclaim()
	}
	t := &trackedConn{conn: c, state: http.StateNew, since: now, requestStart: now}
	t.overLimit = len(cc.conns) >= cc.limit() && !cc.evictQuietest(now)
	cc.conns[c] = t
	cc.onCount(len(cc.conns))
	return t
}

// isAdmitted reports whether a connection that opened over the limit is now within it. Once admitted, it stays so.
func (cc *ClientConns) isAdmitted(t *trackedConn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if len(cc.conns) <= cc.limit() {
		t.overLimit = false
	}
	return !t.overLimit
}

// setState sets the state of a connection, cancels its eviction, and reports whether it had been evicted.
func (cc *ClientConns) setState(t *trackedConn, state http.ConnState) (wasEvicted bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	now := time.Now()
	if state == http.StateActive {
		t.requests++
		t.awaitsInput = false
		if t.state == http.StateIdle {
			t.requestStart = now
		}
	}
	wasEvicted = t.evicted
	t.state, t.since, t.evicted = state, now, false
	if cc.closeWhenIdle {
		t.wakeIfIdle()
	}
	return wasEvicted
}

// startRequest records the first byte of a further request. The connection counts as active from then on.
func (cc *ClientConns) startRequest(t *trackedConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	now := time.Now()
	t.state, t.since, t.requestStart, t.awaitsInput, t.evicted = http.StateActive, now, now, true, false
}

// isExpired reports whether a connection must end because it was evicted or idle for IdleTimeout.
func (cc *ClientConns) isExpired(t *trackedConn, now time.Time) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return t.evicted || t.state == http.StateIdle && now.Sub(t.since) >= IdleTimeout
}

// remove stops tracking a closed connection.
func (cc *ClientConns) remove(c net.Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.conns, c)
	cc.onCount(len(cc.conns))
}

// ConnContext tracks a new connection of an http.Server. It is used as http.Server.ConnContext.
func (cc *ClientConns) ConnContext(ctx context.Context, c net.Conn) context.Context {
	cc.add(c)
	return ctx
}

// ConnState updates the state of an http.Server's connection. It is used as http.Server.ConnState.
func (cc *ClientConns) ConnState(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		cc.remove(c)
		return
	}
	cc.mu.Lock()
	t := cc.conns[c]
	cc.mu.Unlock()
	if t != nil {
		cc.setState(t, state)
	}
}

// requestStartTime returns when the current request of a connection began.
func (cc *ClientConns) requestStartTime(t *trackedConn) time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return t.requestStart
}

// Count returns the number of connections.
func (cc *ClientConns) Count() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.conns)
}

// isCrowded reports whether a connection must end with its response because too many are open. A connection that has
// received a second request stays open, since its client does reuse it.
func (cc *ClientConns) isCrowded(t *trackedConn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return t.requests < 2 && len(cc.conns) > cc.limit()/crowdedDivisor
}

// setAwaitsInput sets whether more of a request's body is expected.
func (cc *ClientConns) setAwaitsInput(t *trackedConn, on bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	t.awaitsInput = on
}

// closeIdle ends all connections that are idle after a response, and from now on each one that becomes idle. New
// connections stay open, since their first request may be on its way.
func (cc *ClientConns) closeIdle() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.closeWhenIdle = true
	for _, t := range cc.conns {
		t.wakeIfIdle()
	}
}

// wakeIfIdle interrupts the pending read of an idle connection, so that its reader notices that it must end.
func (t *trackedConn) wakeIfIdle() {
	if t.state == http.StateIdle {
		_ = t.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// closeAllExcept closes all connections except those for which except returns true.
func (cc *ClientConns) closeAllExcept(except func(*clientConn) bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for conn := range cc.conns {
		if c, ok := conn.(*clientConn); !ok || !except(c) {
			closeQuietly(conn)
		}
	}
}

// quietFor returns how long a connection has been idle, or silent while its request is awaited, and whether it can be
// evicted.
func (t *trackedConn) quietFor(c net.Conn, now time.Time) (quietTime time.Duration, evictable bool) {
	quietTime = now.Sub(t.since)
	awaited := t.state == http.StateNew || t.state == http.StateActive && t.awaitsInput
	unheard := false
	if f, ok := c.(*clientConn); ok && awaited {
		lastReceived := f.lastReceived.Load()
		unheard = lastReceived == 0 && !t.heard
		quietTime = min(quietTime, now.Sub(time.Unix(0, lastReceived)))
	}
	switch {
	case t.evicted:
		return quietTime, false
	case unheard, awaited && t.overLimit: // one over the limit gets no more than a 503
		return quietTime, quietTime >= minUnheardTime
	case awaited:
		return quietTime, quietTime >= minSilentTime
	}
	return quietTime, t.state == http.StateIdle && quietTime >= MinIdleTime
}

// hasUnreadStart reports whether the first bytes of a new connection have arrived, but its goroutine hasn't read them yet.
// cc.mu is held.
func (cc *ClientConns) hasUnreadStart(conn net.Conn) bool {
	c, ok := conn.(*clientConn)
	t := cc.conns[conn]
	return ok && t.state == http.StateNew && !t.heard && c.lastReceived.Load() == 0 && c.hasPollEvent(unix.POLLIN)
}

// quietest returns the evictable connection that has been quiet for longest, or nil. cc.mu is held.
func (cc *ClientConns) quietest(now time.Time) (quietest net.Conn) {
	var longest time.Duration
	for c, t := range cc.conns {
		if quietTime, evictable := t.quietFor(c, now); evictable && quietTime > longest {
			quietest, longest = c, quietTime
		}
	}
	return quietest
}

// EvictQuietest evicts the connection that has been idle or silent for longest, and reports whether one could be evicted.
func (cc *ClientConns) EvictQuietest(now time.Time) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.evictQuietest(now)
}

// maxEvictions is how many connections MakeRoom evicts at most.
const maxEvictions = 8

// MakeRoom evicts the connections that have been idle or silent for longest.
func (cc *ClientConns) MakeRoom() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	now := time.Now()
	for range maxEvictions {
		if !cc.evictQuietest(now) {
			return
		}
	}
}

// CountIdle returns the number of idle connections.
func (cc *ClientConns) CountIdle() (n int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, c := range cc.conns {
		if c.state == http.StateIdle {
			n++
		}
	}
	return n
}

// evictQuietest is EvictQuietest with mu held.
func (cc *ClientConns) evictQuietest(now time.Time) bool {
	quietest := cc.quietest(now)
	for quietest != nil && cc.hasUnreadStart(quietest) {
		cc.conns[quietest].heard = true
		quietest = cc.quietest(now)
	}
	if quietest == nil {
		return false
	}
	cc.conns[quietest].evicted = true
	// This makes a pending read fail, and the reader then closes the connection. If a request has just arrived, the reader
	// resets the deadline and the request is served.
	_ = quietest.SetReadDeadline(now) // fails only on a closed connection
	return true
}
