package policy

import (
	"cmp"
	"slices"
	"strings"
)

// serverPool is a set of servers in packing order: by the cost of crossing to them, then by ID. A change
// takes a binary search, so that a list change costs little at any number of servers. The type of this
// name in internal/node/upstream is another: it holds idle connections.
type serverPool struct {
	segments []*segment // by ascending cost
	length   int        // servers in all segments
	ejected  int        // ejected servers among them; not maintained for classes of former settings
}

// segment holds the servers of a pool that cost the same to cross to, sorted by ID. A walk begins at the
// index start and wraps around.
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

// contains reports whether the predicate holds for a server of the pool.
func (p *serverPool) contains(predicate func(*server) bool) bool {
	for s := range p.all {
		if predicate(s) {
			return true
		}
	}
	return false
}

// find returns the index of the segment with a cost, or the index to insert it at.
func (p *serverPool) find(cost float64) (index int, found bool) {
	return slices.BinarySearchFunc(p.segments, cost, func(g *segment, cost float64) int {
		return cmp.Compare(g.cost, cost)
	})
}

// find returns the index of the server with an ID, or the index to insert it at.
func (g *segment) find(id string) (index int, found bool) {
	return slices.BinarySearchFunc(g.servers, id, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
}

// insert puts a server into the segment of a cost. Where the walk of the segment begins is left to rotate.
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

// remove takes a server out of the segment of a cost, if it is there.
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

// rotate lets the walk of a segment begin at the first server whose ID isn't below firstID.
func (p *serverPool) rotate(cost float64, firstID string) {
	if i, found := p.find(cost); found {
		p.segments[i].start, _ = p.segments[i].find(firstID)
	}
}

// isBefore reports whether a server comes before another one in the packing order that both are in.
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

// comparePackingOrder orders servers in service for slices.SortFunc.
func comparePackingOrder(s, other *server) int {
	if s.isBefore(other) {
		return -1
	}
	return 1
}
