package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// silentLeast is how long a connection may be without a byte of the request that it owes before it can
	// lose its descriptor to another: a client has its request at hand, and a slow one sends piece by piece.
	silentLeast = 500 * time.Millisecond
	// idleLeast is the same for one that was answered, and the least that clients are owed.
	idleLeast = 2 * time.Second
	// crowdedPart of the places may be taken before connections end with their first answer. Those that stay
	// then are owed idleLeast each, and new clients come meanwhile.
	crowdedPart = 4
)

// peers knows the connections on the clients' side. It sees to it that those with nothing to do give
// way to new ones once their part of the descriptors is used up.
type peers struct {
	most    func() int
	counted func(n int) // hears how many there are
	yield   func()      // asks for descriptors that others can do without

	mu     sync.Mutex
	open   map[net.Conn]*peer
	ending bool // connections end once they are idle
}

type peer struct {
	conn  net.Conn
	state http.ConnState
	since time.Time
	asked int       // requests that it has begun
	begun time.Time // its request's first byte, or the connect if that is its first request
	reads bool      // the rest of its head is waited for, or its body
	over  bool      // came when the limit was reached and no other could give way
	shed  bool
}

func newPeers(most func() int, counted func(int), yield func()) *peers {
	return &peers{most: most, counted: counted, yield: yield, open: make(map[net.Conn]*peer)}
}

// enter takes in a new connection before anything is read from it.
func (s *peers) enter(c net.Conn) *peer {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.most() {
		s.yield()
	}
	p := &peer{conn: c, state: http.StateNew, since: now, begun: now, over: len(s.open) >= s.most() && !s.shed(now)}
	s.open[c] = p
	s.counted(len(s.open))
	return p
}

// fits tells whether a connection that came over the limit has a place by now, and gives it that.
func (s *peers) fits(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) <= s.most() {
		p.over = false
	}
	return !p.over
}

// become notes what a connection does now, and tells whether it was to give way before.
func (s *peers) become(p *peer, state http.ConnState) (shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if state == http.StateActive {
		p.asked++
		p.reads = false
		if p.state == http.StateIdle {
			p.begun = now
		}
	}
	shed = p.shed
	p.state, p.since, p.shed = state, now, false
	if s.ending {
		p.wake()
	}
	return shed
}

// begin notes the first byte of a further request: its connection rests no more, and is not ended as one that does.
func (s *peers) begin(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.state, p.since, p.begun, p.reads, p.shed = http.StateActive, now, now, true, false
}

// expired tells whether a connection without a request is to end.
func (s *peers) expired(p *peer, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.shed || p.state == http.StateIdle && now.Sub(p.since) >= clientIdle
}

// leave forgets a connection that is closed.
func (s *peers) leave(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.counted(len(s.open))
}

// admit and follow are enter, become and leave as net/http calls them.
func (s *peers) admit(ctx context.Context, c net.Conn) context.Context {
	s.enter(c)
	return ctx
}

func (s *peers) follow(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.leave(c)
		return
	}
	s.mu.Lock()
	p := s.open[c]
	s.mu.Unlock()
	if p != nil {
		s.become(p, state)
	}
}

// begunAt tells when the request of a connection began.
func (s *peers) begunAt(p *peer) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.begun
}

// count is how many connections there are.
func (s *peers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// crowded tells whether a request's connection is to end with the answer: more than a part of the places
// are taken, and one that stays idle has to be borne for some time. Who has come back for a second
// request is a client that uses its connection, and keeps it.
func (s *peers) crowded(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.asked < 2 && len(s.open) > s.most()/crowdedPart
}

// reading notes that a request's body is waited for, or no more.
func (s *peers) reading(p *peer, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.reads = on
}

// end ends the waiting of all connections that were answered and have no further request, from now on. New ones
// may have sent theirs.
func (s *peers) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	for _, p := range s.open {
		p.wake()
	}
}

// wake ends the waiting of a connection without a request.
func (p *peer) wake() {
	if p.state == http.StateIdle {
		_ = p.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeAll ends all connections.
func (s *peers) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// quiet is how long a connection has been without what is awaited from it, and whether that is long
// enough to end it.
func (p *peer) quiet(c net.Conn, now time.Time) (span time.Duration, enough bool) {
	span = now.Sub(p.since)
	owes := p.state == http.StateNew || p.state == http.StateActive && p.reads
	if f, ok := c.(*client); ok && owes {
		span = min(span, now.Sub(time.Unix(0, f.heard.Load())))
	}
	switch {
	case p.shed:
		return span, false
	case owes:
		return span, span >= silentLeast
	}
	return span, p.state == http.StateIdle && span >= idleLeast
}

// shed ends the connection that was quiet for longest, if one was for long enough.
func (s *peers) shed(now time.Time) bool {
	var oldest net.Conn
	var longest time.Duration
	for c, p := range s.open {
		if span, enough := p.quiet(c, now); enough && span > longest {
			oldest, longest = c, span
		}
	}
	if oldest == nil {
		return false
	}
	s.open[oldest].shed = true
	// Only a read that waits fails by this, and net/http then closes. Where a request has just come
	// in, net/http sets the deadline anew, and the request is served.
	_ = oldest.SetReadDeadline(now)
	return true
}
