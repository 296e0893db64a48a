package policy

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
)

// The packing order of the servers, and which of them each class may be sent to. Both are kept up by difference:
// a change of the list costs a binary search in each pool that the server is in. No decisions here.

// serverPool is a set of servers in packing order.
type serverPool struct {
	segments []*segment // in the order of their costs
	length   int        // servers in all segments,
	ejected  int        // and those of them that are ejected; 0 for a class that the settings name no more
}

// segment holds the servers of a pool that cost the same to cross to, sorted by id. Its walk begins at start.
type segment struct {
	cost    float64
	servers []*server
	start   int
}

// all walks the servers in packing order.
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

// contains tells whether the predicate holds for a server of the pool.
func (p *serverPool) contains(predicate func(*server) bool) bool {
	for s := range p.all {
		if predicate(s) {
			return true
		}
	}
	return false
}

// find returns the segment of a cost, or where it would stand.
func (p *serverPool) find(cost float64) (int, bool) {
	return slices.BinarySearchFunc(p.segments, cost, func(g *segment, c float64) int { return cmp.Compare(g.cost, c) })
}

// find returns where the server of an id stands in the segment, or would stand.
func (g *segment) find(id string) (int, bool) {
	return slices.BinarySearchFunc(g.servers, id, func(s *server, id string) int { return strings.Compare(s.ID, id) })
}

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

// remove takes s out, if it is in the pool.
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
	if p.ejected > 0 && s.contribution.ejected {
		p.ejected--
	}
}

// rotate lets the walk of a segment of the pool begin at the first server whose id isn't below the given one.
func (p *serverPool) rotate(cost float64, first string) {
	if i, found := p.find(cost); found {
		p.segments[i].start, _ = p.segments[i].find(first)
	}
}

// rotate follows where this node's walk of a segment begins, which rests on its length. The pools of bound classes
// are walked in the same order.
func (b *Balancer) rotate(g *segment) {
	first := ""
	if g.start = b.walkStart(len(g.servers)); g.start < len(g.servers) {
		first = g.servers[g.start].ID
	}
	for c := range b.pooledClasses {
		if c.isRestricted() {
			c.eligible.rotate(g.cost, first)
		}
	}
}

// isBefore tells whether s stands before another server in the packing order.
func (s *server) isBefore(o *server) bool {
	g := s.segment
	if g != o.segment {
		return g.cost < o.segment.cost
	}
	if g.start < len(g.servers) {
		first := g.servers[g.start].ID
		if wrapped := s.ID < first; wrapped != (o.ID < first) {
			return !wrapped
		}
	}
	return s.ID < o.ID
}

// isRestricted tells whether a class may be sent to some servers only.
func (c *class) isRestricted() bool { return len(c.Kinds)+len(c.Zones)+len(c.Regions) > 0 }

// insert puts a server into the order and the sums; where the walk of its segment begins is left to turn.
func (b *Balancer) insert(s *server) {
	s.segment = b.serverPool.insert(s, b.crossingCost(s))
	s.retrySafety = NonIdempotent
	for c := range b.pooledClasses {
		if !c.permits(s) {
			continue
		}
		s.retrySafety = max(s.retrySafety, c.RetrySafety)
		if c.isRestricted() {
			c.eligible.insert(s, s.segment.cost)
		}
	}
	b.serversByZone[s.Zone]++
	b.addToSums(s)
}

// remove takes a server out of the order and the sums.
func (b *Balancer) remove(s *server) {
	g := s.segment
	b.serverPool.remove(s, g.cost)
	for c := range b.pooledClasses {
		if c.isRestricted() {
			c.eligible.remove(s, g.cost)
		}
	}
	b.serversByZone[s.Zone]--
	s.segment = nil
	b.removeFromSums(s)
	b.rotate(g)
}

// dropServer forgets a server that the list has taken away.
func (b *Balancer) dropServer(s *server) {
	delete(b.servers, s.ID)
	b.changedServers = append(b.changedServers, s)
}

const rebuildRatio = 4 // changes for 1 / remakeFrom of the servers cost more one by one than all anew

// updateOrder brings the order and the sums in line with the list. It returns the servers that may be new to them, in
// packing order.
func (b *Balancer) updateOrder() []*server {
	changed := b.changedServers
	b.changedServers = nil
	if b.orderStale || rebuildRatio*len(changed) > b.length || !maps.Equal(b.pooledClasses, b.classesInUse()) {
		b.rebuildOrder(changed)
		return slices.Collect(b.all)
	}
	for _, s := range changed {
		if s.segment != nil {
			b.remove(s)
		}
	}
	var fresh []*server
	for _, s := range changed {
		if s.segment == nil && s.Availability == Running && b.servers[s.ID] == s {
			b.insert(s)
			b.rotate(s.segment)
			fresh = append(fresh, s)
		}
		b.countUnavailable(s)
	}
	b.countNearbyNodes()
	slices.SortFunc(fresh, func(s, o *server) int {
		if s.isBefore(o) {
			return -1
		}
		return 1
	})
	return fresh
}

// rebuildOrder makes the order and the sums anew. Those that have changed may be in neither the order nor the list now.
func (b *Balancer) rebuildOrder(changed []*server) {
	b.resetSums(changed)
	b.serverPool, b.serversByZone, b.pooledClasses = serverPool{}, make(map[string]int), b.classesInUse()
	for c := range b.pooledClasses {
		if c.isRestricted() {
			c.eligible = &serverPool{}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		if s.zone = b.zoneOf(s.Zone); s.Availability == Running {
			b.insert(s)
		}
		b.countUnavailable(s)
	}
	for _, g := range b.segments {
		b.rotate(g)
	}
	b.countNearbyNodes()
	b.orderStale = false
}

// probationCandidates walks the servers among which a trial is sought, in packing order. Where reports tell of room that is
// all of them, for the first with room ends the walk; else it is those that are ejected.
func (b *Balancer) probationCandidates(c *class) iter.Seq[*server] {
	if b.usesLoadReports() {
		return c.eligible.all
	}
	var due []*server
	for _, s := range b.ejectedServers {
		if !s.outlier.probationInFlight && b.now >= s.outlier.ejectedUntil && c.permits(s) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(s, o *server) int {
		if s.isBefore(o) {
			return -1
		}
		return 1
	})
	return slices.Values(due)
}
