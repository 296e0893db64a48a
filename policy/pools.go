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

// pool is a set of servers in packing order.
type pool struct {
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
func (p *pool) all(yield func(*server) bool) {
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
func (p *pool) contains(predicate func(*server) bool) bool {
	for s := range p.all {
		if predicate(s) {
			return true
		}
	}
	return false
}

// find returns the segment of a cost, or where it would stand.
func (p *pool) find(cost float64) (int, bool) {
	return slices.BinarySearchFunc(p.segments, cost, func(g *segment, c float64) int { return cmp.Compare(g.cost, c) })
}

// find returns where the server of an id stands in the segment, or would stand.
func (g *segment) find(id string) (int, bool) {
	return slices.BinarySearchFunc(g.servers, id, func(s *server, id string) int { return strings.Compare(s.Server, id) })
}

func (p *pool) insert(s *server, cost float64) *segment {
	i, found := p.find(cost)
	if !found {
		p.segments = slices.Insert(p.segments, i, &segment{cost: cost})
	}
	g := p.segments[i]
	at, _ := g.find(s.Server)
	g.servers = slices.Insert(g.servers, at, s)
	p.length++
	return g
}

// remove takes s out, if it is in the pool.
func (p *pool) remove(s *server, cost float64) {
	i, found := p.find(cost)
	if !found {
		return
	}
	g := p.segments[i]
	at, found := g.find(s.Server)
	if !found || g.servers[at] != s {
		return
	}
	g.servers = slices.Delete(g.servers, at, at+1)
	p.length--
	if p.ejected > 0 && s.counted.ejected {
		p.ejected--
	}
}

// turn lets the walk of a segment of the pool begin at the first server whose id isn't below the given one.
func (p *pool) turn(cost float64, first string) {
	if i, found := p.find(cost); found {
		p.segments[i].start, _ = p.segments[i].find(first)
	}
}

// turn follows where this node's walk of a segment begins, which rests on its length. The pools of bound classes
// are walked in the same order.
func (b *Balancer) turn(g *segment) {
	first := ""
	if g.start = b.walkStart(len(g.servers)); g.start < len(g.servers) {
		first = g.servers[g.start].Server
	}
	for c := range b.placed {
		if c.bound() {
			c.open.turn(g.cost, first)
		}
	}
}

// before tells whether s stands before another server in the packing order.
func (s *server) before(o *server) bool {
	g := s.segment
	if g != o.segment {
		return g.cost < o.segment.cost
	}
	if g.start < len(g.servers) {
		first := g.servers[g.start].Server
		if wrapped := s.Server < first; wrapped != (o.Server < first) {
			return !wrapped
		}
	}
	return s.Server < o.Server
}

// bound tells whether a class may be sent to some servers only.
func (c *class) bound() bool { return len(c.Kinds)+len(c.Zones)+len(c.Regions) > 0 }

// insert puts a server into the order and the sums; where the walk of its segment begins is left to turn.
func (b *Balancer) insert(s *server) {
	s.segment = b.pool.insert(s, b.crossing(s))
	s.safest = Never
	for c := range b.placed {
		if !c.permits(s) {
			continue
		}
		s.safest = max(s.safest, c.Repeat)
		if c.bound() {
			c.open.insert(s, s.segment.cost)
		}
	}
	b.zones[s.Zone]++
	b.count(s)
}

// remove takes a server out of the order and the sums.
func (b *Balancer) remove(s *server) {
	g := s.segment
	b.pool.remove(s, g.cost)
	for c := range b.placed {
		if c.bound() {
			c.open.remove(s, g.cost)
		}
	}
	b.zones[s.Zone]--
	s.segment = nil
	b.uncount(s)
	b.turn(g)
}

// drop forgets a server that the list has taken away.
func (b *Balancer) drop(s *server) {
	delete(b.servers, s.Server)
	b.changed = append(b.changed, s)
}

const remakeFrom = 4 // changes for 1 / remakeFrom of the servers cost more one by one than all anew

// realign brings the order and the sums in line with the list. It returns the servers that may be new to them, in
// packing order.
func (b *Balancer) realign() []*server {
	changed := b.changed
	b.changed = nil
	if b.stale || remakeFrom*len(changed) > b.length || !maps.Equal(b.placed, b.inUse()) {
		b.remake(changed)
		return slices.Collect(b.all)
	}
	for _, s := range changed {
		if s.segment != nil {
			b.remove(s)
		}
	}
	var fresh []*server
	for _, s := range changed {
		if s.segment == nil && s.Availability == Running && b.servers[s.Server] == s {
			b.insert(s)
			b.turn(s.segment)
			fresh = append(fresh, s)
		}
		b.countAvoided(s)
	}
	b.countNear()
	slices.SortFunc(fresh, func(s, o *server) int {
		if s.before(o) {
			return -1
		}
		return 1
	})
	return fresh
}

// remake makes the order and the sums anew. Those that have changed may be in neither the order nor the list now.
func (b *Balancer) remake(changed []*server) {
	b.resetCounts(changed)
	b.pool, b.zones, b.placed = pool{}, make(map[string]int), b.inUse()
	for c := range b.placed {
		if c.bound() {
			c.open = &pool{}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		if s.place = b.placeOf(s.Zone); s.Availability == Running {
			b.insert(s)
		}
		b.countAvoided(s)
	}
	for _, g := range b.segments {
		b.turn(g)
	}
	b.countNear()
	b.stale = false
}

// trialWalk walks the servers among which a trial is sought, in packing order. Where reports tell of room that is
// all of them, for the first with room ends the walk; else it is those that are ejected.
func (b *Balancer) trialWalk(c *class) iter.Seq[*server] {
	if b.measured() {
		return c.open.all
	}
	var due []*server
	for _, s := range b.ejectedServers {
		if !s.health.trialOut && b.now >= s.health.until && c.permits(s) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(s, o *server) int {
		if s.before(o) {
			return -1
		}
		return 1
	})
	return slices.Values(due)
}
