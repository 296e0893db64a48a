package downstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minSilentTime is how long a connection may be without a byte of the request that it owes before it can
	// lose its descriptor to another: a client has its request at hand, and a slow one sends piece by piece.
	minSilentTime = 500 * time.Millisecond
	// MinIdleTime is the same for one that was answered, and the least that clients are owed.
	MinIdleTime = 2 * time.Second
	// crowdedDivisor of the places may be taken before connections end with their first answer. Those that stay
	// then are owed idleLeast each, and new clients come meanwhile.
	crowdedDivisor = 4
)

// ClientConns knows the connections on the clients' side. It sees to it that those with nothing to do give
// way to new ones once their part of the descriptors is used up.
type ClientConns struct {
	limit   func() int
	onCount func(n int) // hears how many there are
	reclaim func()      // asks for descriptors that others can do without

	mu            sync.Mutex
	conns         map[net.Conn]*trackedConn
	closeWhenIdle bool // connections end once they are idle
}

type trackedConn struct {
	conn         net.Conn
	state        http.ConnState
	since        time.Time
	requests     int       // requests that it has begun
	requestStart time.Time // its request's first byte, or the connect if that is its first request
	awaitsInput  bool      // the rest of its head is waited for, or its body
	overLimit    bool      // came when the limit was reached and no other could give way
	evicted      bool
}

func NewClientConns(most func() int, counted func(int), yield func()) *ClientConns {
	return &ClientConns{limit: most, onCount: counted, reclaim: yield, conns: make(map[net.Conn]*trackedConn)}
}

// add takes in a new connection before anything is read from it.
func (s *ClientConns) add(c net.Conn) *trackedConn {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limit() {
		s.reclaim()
	}
	p := &trackedConn{conn: c, state: http.StateNew, since: now, requestStart: now, overLimit: len(s.conns) >= s.limit() && !s.evictQuietest(now)}
	s.conns[c] = p
	s.onCount(len(s.conns))
	return p
}

// isAdmitted tells whether a connection that came over the limit has a place by now, and gives it that.
func (s *ClientConns) isAdmitted(p *trackedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) <= s.limit() {
		p.overLimit = false
	}
	return !p.overLimit
}

// setState notes what a connection does now, and tells whether it was to give way before.
func (s *ClientConns) setState(p *trackedConn, state http.ConnState) (shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if state == http.StateActive {
		p.requests++
		p.awaitsInput = false
		if p.state == http.StateIdle {
			p.requestStart = now
		}
	}
	shed = p.evicted
	p.state, p.since, p.evicted = state, now, false
	if s.closeWhenIdle {
		p.wakeIfIdle()
	}
	return shed
}

// startRequest notes the first byte of a further request: its connection rests no more, and is not ended as one that does.
func (s *ClientConns) startRequest(p *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.state, p.since, p.requestStart, p.awaitsInput, p.evicted = http.StateActive, now, now, true, false
}

// isExpired tells whether a connection without a request is to end.
func (s *ClientConns) isExpired(p *trackedConn, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.evicted || p.state == http.StateIdle && now.Sub(p.since) >= IdleTimeout
}

// remove forgets a connection that is closed.
func (s *ClientConns) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.onCount(len(s.conns))
}

// ConnContext and follow are enter, become and leave as net/http calls them.
func (s *ClientConns) ConnContext(ctx context.Context, c net.Conn) context.Context {
	s.add(c)
	return ctx
}

func (s *ClientConns) ConnState(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.remove(c)
		return
	}
	s.mu.Lock()
	p := s.conns[c]
	s.mu.Unlock()
	if p != nil {
		s.setState(p, state)
	}
}

// requestStartOf tells when the request of a connection began.
func (s *ClientConns) requestStartOf(p *trackedConn) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.requestStart
}

// Count is how many connections there are.
func (s *ClientConns) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// isCrowded tells whether a request's connection is to end with the answer: more than a part of the places
// are taken, and one that stays idle has to be borne for some time. Who has come back for a second
// request is a client that uses its connection, and keeps it.
func (s *ClientConns) isCrowded(p *trackedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.requests < 2 && len(s.conns) > s.limit()/crowdedDivisor
}

// setAwaitsInput notes that a request's body is waited for, or no more.
func (s *ClientConns) setAwaitsInput(p *trackedConn, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.awaitsInput = on
}

// closeIdle ends the waiting of all connections that were answered and have no further request, from now on. New ones
// may have sent theirs.
func (s *ClientConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeWhenIdle = true
	for _, p := range s.conns {
		p.wakeIfIdle()
	}
}

// wakeIfIdle ends the waiting of a connection without a request.
func (p *trackedConn) wakeIfIdle() {
	if p.state == http.StateIdle {
		_ = p.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeAll ends all connections.
func (s *ClientConns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		closeQuietly(c)
	}
}

// quietFor is how long a connection has been without what is awaited from it, and whether that is long
// enough to end it.
func (p *trackedConn) quietFor(c net.Conn, now time.Time) (span time.Duration, enough bool) {
	span = now.Sub(p.since)
	owes := p.state == http.StateNew || p.state == http.StateActive && p.awaitsInput
	if f, ok := c.(*clientConn); ok && owes {
		span = min(span, now.Sub(time.Unix(0, f.lastReceived.Load())))
	}
	switch {
	case p.evicted:
		return span, false
	case owes:
		return span, span >= minSilentTime
	}
	return span, p.state == http.StateIdle && span >= MinIdleTime
}

// EvictQuietest ends the connection that was quiet for longest, if one was for long enough by now.
func (s *ClientConns) EvictQuietest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictQuietest(now)
}

// CountIdle is how many connections have no request.
func (s *ClientConns) CountIdle() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateIdle {
			n++
		}
	}
	return n
}

// evictQuietest ends the connection that was quiet for longest, if one was for long enough.
func (s *ClientConns) evictQuietest(now time.Time) bool {
	var oldest net.Conn
	var longest time.Duration
	for c, p := range s.conns {
		if span, enough := p.quietFor(c, now); enough && span > longest {
			oldest, longest = c, span
		}
	}
	if oldest == nil {
		return false
	}
	s.conns[oldest].evicted = true
	// Only a read that waits fails by this, and net/http then closes. Where a request has just come
	// in, net/http sets the deadline anew, and the request is served.
	_ = oldest.SetReadDeadline(now)
	return true
}
