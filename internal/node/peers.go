package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// silentLeast is how long a connection may be without its first byte before it can lose its
	// descriptor to another: a client that connects has its request at hand.
	silentLeast = 500 * time.Millisecond
	// idleLeast is the same for one that was answered, and the least that clients are owed.
	idleLeast = 2 * time.Second
)

// peers knows the connections on the clients' side. It sees to it that those with nothing to do give
// way to new ones once their part of the descriptors is used up.
type peers struct {
	most int

	mu   sync.Mutex
	open map[net.Conn]*peer
}

type peer struct {
	conn  net.Conn
	state http.ConnState
	since time.Time
	over  bool // came when the limit was reached and no other could give way
	shed  bool
}

type peerKey struct{}

func newPeers(most int) *peers { return &peers{most: most, open: make(map[net.Conn]*peer)} }

// overLimit tells whether the connection of a request is one too many.
func overLimit(ctx context.Context) bool {
	p, _ := ctx.Value(peerKey{}).(*peer)
	return p != nil && p.over
}

// connOf is the connection of a request; nil where it isn't known.
func connOf(ctx context.Context) net.Conn {
	if p, _ := ctx.Value(peerKey{}).(*peer); p != nil {
		return p.conn
	}
	return nil
}

// admit takes in a new connection before anything is read from it.
func (s *peers) admit(ctx context.Context, c net.Conn) context.Context {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &peer{conn: c, state: http.StateNew, since: now, over: len(s.open) >= s.most && !s.shed(now)}
	s.open[c] = p
	return context.WithValue(ctx, peerKey{}, p)
}

// follow is told what each connection does.
func (s *peers) follow(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
	} else if p := s.open[c]; p != nil {
		p.state, p.since, p.shed = state, time.Now(), false
	}
}

// count is how many connections there are.
func (s *peers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *peers) resize(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// shed ends the connection that was without a request for longest, if one was for long enough.
func (s *peers) shed(now time.Time) bool {
	var oldest net.Conn
	for c, p := range s.open {
		least := idleLeast
		if p.state == http.StateNew {
			least = silentLeast
		}
		if p.state == http.StateActive || p.shed || now.Sub(p.since) < least {
			continue
		}
		if oldest == nil || p.since.Before(s.open[oldest].since) {
			oldest = c
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
