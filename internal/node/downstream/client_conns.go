package downstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minSilentTime is how long a connection whose request is awaited may be without a byte before it can lose its
	// descriptor to another: a client has its request at hand, and a slow one sends it piece by piece.
	minSilentTime = 500 * time.Millisecond
	// MinIdleTime is the same for a connection that was answered.
	MinIdleTime = 2 * time.Second
	// crowdedDivisor makes connections end with their first response once a quarter of the limit is open: each that
	// stays idle can't be evicted for MinIdleTime, and new clients come meanwhile.
	crowdedDivisor = 4
)

// ClientConns tracks the connections of clients. Once as many are open as there are descriptors for, it evicts those
// that have nothing to do, to make room for new ones. Its methods may be called from any goroutine; none blocks.
type ClientConns struct {
	limit   func() int
	onCount func(n int) // called with the number of connections when it changes
	reclaim func()      // called at the limit, to raise it where others hold idle descriptors

	mu            sync.Mutex
	conns         map[net.Conn]*trackedConn
	closeWhenIdle bool
}

// trackedConn is what ClientConns knows of a connection. ClientConns.mu guards it.
type trackedConn struct {
	conn         net.Conn
	state        http.ConnState
	since        time.Time // when it got its state
	requests     int       // that it has begun
	requestStart time.Time // its request's first byte, or the connect if that is its first request
	awaitsInput  bool      // the rest of a head or of a body is to come
	overLimit    bool      // it came at the limit, and no other could be evicted
	evicted      bool      // it ends unless a request comes in time
}

// NewClientConns makes a ClientConns. limit returns how many connections may be open; onCount is called with the number
// of connections when it changes, and reclaim when a connection comes at the limit. They are called under a lock, and
// must not block or call back.
func NewClientConns(limit func() int, onCount func(n int), reclaim func()) *ClientConns {
	return &ClientConns{limit: limit, onCount: onCount, reclaim: reclaim, conns: make(map[net.Conn]*trackedConn)}
}

// add tracks a new connection, before anything is read from it.
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

// isAdmitted reports whether a connection that came over the limit is within it by now; it stays so from then on.
func (cc *ClientConns) isAdmitted(t *trackedConn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if len(cc.conns) <= cc.limit() {
		t.overLimit = false
	}
	return !t.overLimit
}

// setState sets what a connection does now, and reports whether it was evicted before.
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

// startRequest notes the first byte of a further request: its connection isn't closed as an idle one from then on.
func (cc *ClientConns) startRequest(t *trackedConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	now := time.Now()
	t.state, t.since, t.requestStart, t.awaitsInput, t.evicted = http.StateActive, now, now, true, false
}

// isExpired reports whether a connection without a request is to end.
func (cc *ClientConns) isExpired(t *trackedConn, now time.Time) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return t.evicted || t.state == http.StateIdle && now.Sub(t.since) >= IdleTimeout
}

// remove ends the tracking of a connection that is closed.
func (cc *ClientConns) remove(c net.Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.conns, c)
	cc.onCount(len(cc.conns))
}

// ConnContext tracks a new connection of an http.Server; it fits http.Server.ConnContext.
func (cc *ClientConns) ConnContext(ctx context.Context, c net.Conn) context.Context {
	cc.add(c)
	return ctx
}

// ConnState follows the connections of an http.Server; it fits http.Server.ConnState.
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

// requestStartOf is when the request of a connection began.
func (cc *ClientConns) requestStartOf(t *trackedConn) time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return t.requestStart
}

// Count is how many connections there are.
func (cc *ClientConns) Count() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.conns)
}

// isCrowded reports whether a request's connection is to end with the response, since many are open. A client that has come
// back for a second request uses its connection, and goes on with it.
func (cc *ClientConns) isCrowded(t *trackedConn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return t.requests < 2 && len(cc.conns) > cc.limit()/crowdedDivisor
}

// setAwaitsInput notes that a request's body is awaited, or no longer.
func (cc *ClientConns) setAwaitsInput(t *trackedConn, on bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	t.awaitsInput = on
}

// closeIdle ends all connections that were answered and have no further request, and those that get there later. New
// connections stay: their request may be on its way.
func (cc *ClientConns) closeIdle() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.closeWhenIdle = true
	for _, t := range cc.conns {
		t.wakeIfIdle()
	}
}

// wakeIfIdle has the reader of a connection without a request see that it is to end.
func (t *trackedConn) wakeIfIdle() {
	if t.state == http.StateIdle {
		_ = t.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// closeAll closes all connections.
func (cc *ClientConns) closeAll() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for c := range cc.conns {
		closeQuietly(c)
	}
}

// quietFor is how long a connection has been without what is awaited from it, and whether that is long enough to evict
// it.
func (t *trackedConn) quietFor(c net.Conn, now time.Time) (span time.Duration, enough bool) {
	span = now.Sub(t.since)
	awaited := t.state == http.StateNew || t.state == http.StateActive && t.awaitsInput
	if f, ok := c.(*clientConn); ok && awaited {
		span = min(span, now.Sub(time.Unix(0, f.lastReceived.Load())))
	}
	switch {
	case t.evicted:
		return span, false
	case awaited:
		return span, span >= minSilentTime
	}
	return span, t.state == http.StateIdle && span >= MinIdleTime
}

// EvictQuietest ends the connection that was quiet for longest, and reports whether one was for long enough.
func (cc *ClientConns) EvictQuietest(now time.Time) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.evictQuietest(now)
}

// CountIdle is how many connections have no request.
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
	var oldest net.Conn
	var longest time.Duration
	for c, t := range cc.conns {
		if span, enough := t.quietFor(c, now); enough && span > longest {
			oldest, longest = c, span
		}
	}
	if oldest == nil {
		return false
	}
	cc.conns[oldest].evicted = true
	// Only a read that waits fails by this, and its reader then closes the connection. Where a request has just come in,
	// the reader sets the deadline anew, and the request is served.
	_ = oldest.SetReadDeadline(now) // fails only on a closed connection
	return true
}
