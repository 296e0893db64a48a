package policy

import (
	"cmp"
	"slices"
	"strings"
)

// serverPool is a set of servers in packing order: by the cost of sending a request from the node's zone to
// the server's zone (crossing cost), then by ID. Servers are inserted and removed by binary search, so that a
// list change is cheap at any number of servers. This type is unrelated to the serverPool of
// internal/node/upstream, which holds idle connections.
type serverPool struct {
	segments []*segment // by ascending cost
	length   int        // number of servers in all segments
	ejected  int        // number of ejected servers; not maintained for classes of former settings
}

// segment holds the servers of a pool with the same crossing cost, sorted by ID. A walk begins at the index
// start and wraps around.
type segment struct {
	cost    float64
	servers []*server
	start   int
}

// all iterates over the servers in packing order.
func (p *serverPool) all(yield func(*server) bool) {
	for _, g := range p.segments {
		for _, s := range g.servers[g.start:] {
			if !yield(s) {
				return
			}
		}
		for _, s := range g.servers[:g.start] {
			if !yield(s) {
				return
			}
		}
	}
}

// contains reports whether the predicate holds for any server of the pool.
func (p *serverPool) contains(predicate func(*server) bool) bool {
	for s := range p.all {
		if predicate(s) {
			return true
		}
	}
	return false
}

// find returns the index of the segment with the given cost, or the index at which to insert it.
func (p *serverPool) find(cost float64) (index int, found bool) {
	return slices.BinarySearchFunc(p.segments, cost, func(g *segment, cost float64) int {
		return cmp.Compare(g.cost, cost)
	})
}

// find returns the index of the server with the given ID, or the index at which to insert it.
func (g *segment) find(id string) (index int, found bool) {
	return slices.BinarySearchFunc(g.servers, id, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
}

// insert adds a server to the segment with the given cost. The caller then sets the start of the walk
// (rotate).
func (p *serverPool) insert(s *server, cost float64) *segment {
	i, found := p.find(cost)
	if !found {
		p.segments = slices.Insert(p.segments, i, &segment{cost: cost})
	}
	g := p.segments[i]
	at, _ := g.find(s.ID)
	g.servers = slices.Insert(g.servers, at, s)
	p.length++
	return g
}

// remove removes a server from the segment with the given cost, if it is there.
func (p *serverPool) remove(s *server, cost float64) {
	i, found := p.find(cost)
	if !found {
		return
	}
	g := p.segments[i]
	at, found := g.find(s.ID)
	if !found || g.servers[at] != s {
		return
	}
	g.servers = slices.Delete(g.servers, at, at+1)
	p.length--
	if p.ejected > 0 && s.contribution.outlier.counted {
		p.ejected--
	}
}

// rotate makes the walk of a segment begin at the first server whose ID isn't below firstID.
func (p *serverPool) rotate(cost float64, firstID string) {
	if i, found := p.find(cost); found {
		p.segments[i].start, _ = p.segments[i].find(firstID)
	}
}

// isBefore reports whether s comes before other in the packing order. Both must be in service.
func (s *server) isBefore(other *server) bool {
	g := s.segment
	if g != other.segment {
		return g.cost < other.segment.cost
	}
	if g.start < len(g.servers) {
		firstID := g.servers[g.start].ID
		if wrapped := s.ID < firstID; wrapped != (other.ID < firstID) {
			return !wrapped
		}
	}
	return s.ID < other.ID
}

// comparePackingOrder compares servers in service by packing order, for slices.SortFunc.
func comparePackingOrder(s, other *server) int {
	if s.isBefore(other) {
		return -1
	}
	return 1
}
