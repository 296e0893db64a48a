package policy

import (
	"maps"
	"math"
	"slices"
)

// rebuildRatio decides between incremental updates of the packing order and a rebuild: if more than one
// server in rebuildRatio has changed, a rebuild costs less.
const rebuildRatio = 4

// packingOrder holds the servers in service in the order in which they are filled, and updates the pool of
// each class that is restricted to some of them.
type packingOrder struct {
	pool          serverPool
	serversByZone map[string]int  // number of servers of the pool in each zone
	classes       map[*class]bool // classes whose pools follow the order
	changed       []*server       // servers that the list changed or dropped since the last update of the order
	stale         bool            // the order must be rebuilt
	walkOffset    float64         // where the walk of a segment begins, as a fraction of the segment's length
}

// newWalkOffset returns where a node's walk of each segment begins, as a fraction of the segment's length.
// The nodes of a small fleet all begin at the first server, which packs the load. Many nodes would overload
// that server, so each node's walk begins one step of the golden ratio after the walk of the node before it.
// These starts are spread evenly, whichever nodes share a zone.
func newWalkOffset(nodeIndex int, largeFleet bool) float64 {
	if !largeFleet {
		return 0
	}
	_, offset := math.Modf(float64(nodeIndex) / math.Phi)
	return offset
}

// rotate updates where the walk of a segment begins, after the segment's length has changed. The walks in the
// pools of restricted classes begin at the same server, or the next one that the pool contains.
func (o *packingOrder) rotate(g *segment) {
	firstID := ""
	if g.start = int(o.walkOffset * float64(len(g.servers))); g.start < len(g.servers) {
		firstID = g.servers[g.start].ID
	}
	for c := range o.classes {
		if c.isRestricted() {
			c.eligible.rotate(g.cost, firstID)
		}
	}
}

// insert adds a server to the pools, and sets its retrySafety. The caller then calls rotate for the server's
// segment.
func (o *packingOrder) insert(s *server, cost float64) {
	s.segment = o.pool.insert(s, cost)
	s.retrySafety = NonIdempotent
	for c := range o.classes {
		if !c.permits(s) {
			continue
		}
		s.retrySafety = max(s.retrySafety, c.RetrySafety)
		if c.isRestricted() {
			c.eligible.insert(s, cost)
		}
	}
	o.serversByZone[s.Zone]++
}

// remove removes a server from the pools.
func (o *packingOrder) remove(s *server) {
	g := s.segment
	o.pool.remove(s, g.cost)
	for c := range o.classes {
		if c.isRestricted() {
			c.eligible.remove(s, g.cost)
		}
	}
	o.serversByZone[s.Zone]--
	s.segment = nil
}

// addRestricted gives a restricted class that isn't in the order yet a pool of its own, which follows the
// order from then on.
func (o *packingOrder) addRestricted(c *class) {
	c.eligible = &serverPool{}
	for _, g := range o.pool.segments {
		for _, s := range g.servers {
			if c.permits(s) {
				s.retrySafety = max(s.retrySafety, c.RetrySafety)
				c.eligible.insert(s, g.cost)
			}
		}
	}
	o.classes[c] = true
	for _, g := range o.pool.segments {
		o.rotate(g)
	}
}

// needsRebuild reports whether the order must be rebuilt, or a rebuild costs less than changing it server by
// server.
func (o *packingOrder) needsRebuild(classes map[*class]bool) bool {
	return o.stale || rebuildRatio*len(o.changed) > o.pool.length || !maps.Equal(o.classes, classes)
}

// reset empties the pools, and sets the classes and the walk offset.
func (o *packingOrder) reset(classes map[*class]bool, walkOffset float64) {
	o.pool, o.serversByZone, o.changed, o.stale = serverPool{}, make(map[string]int), nil, false
	o.classes, o.walkOffset = classes, walkOffset
	for c := range classes {
		if c.isRestricted() {
			c.eligible = &serverPool{}
		}
	}
}

// refreshOrder updates the order from the list, and the sums that mechanisms keep over the servers in the
// order. It gives each new server its initial limit and a random lastSentAt.
func (b *Balancer) refreshOrder() {
	for _, s := range b.updateOrder() {
		if s.concurrencyLimit == 0 {
			s.concurrencyLimit = b.initialLimit()
			s.lastSentAt = b.now - seconds(b.rng.Float64()*s.meanLatency/s.concurrencyLimit)
		}
	}
}

// updateOrder updates the order, and returns the servers that may be new in it, in packing order.
func (b *Balancer) updateOrder() []*server {
	if b.packing.needsRebuild(b.classesInUse()) {
		b.rebuildOrder()
		return slices.Collect(b.packing.pool.all)
	}
	changed := b.packing.changed
	b.packing.changed = nil
	for _, s := range changed {
		if s.segment != nil {
			b.removeFromService(s)
		}
	}
	var added []*server
	for _, s := range changed {
		if s.segment == nil && s.Availability == Running && b.servers[s.ID] == s {
			b.addToService(s)
			b.packing.rotate(s.segment)
			added = append(added, s)
		}
		b.countUnavailable(s)
	}
	b.updateCapacityShare()
	slices.SortFunc(added, comparePackingOrder)
	return added
}

// rebuildOrder rebuilds the order and all sums over it from the list.
func (b *Balancer) rebuildOrder() {
	b.resetSums()
	b.packing.reset(b.classesInUse(), newWalkOffset(b.settings.NodeIndex, b.isLargeFleet()))
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		if s.zone = b.zones.findOrCreate(s.Zone); s.Availability == Running {
			b.addToService(s)
		}
		b.countUnavailable(s)
	}
	for _, g := range b.packing.pool.segments {
		b.packing.rotate(g)
	}
	b.updateCapacityShare()
}

// addToService adds a server to the order and the sums over it.
func (b *Balancer) addToService(s *server) {
	b.packing.insert(s, b.zones.crossingCost(s))
	b.slowStart.add(s, b.now)
	b.zones.addEvidence(s, b.now)
	b.outliers.add(s)
	b.ejectionChanged(s)
}

// removeFromService removes a server from the order and the sums over it.
func (b *Balancer) removeFromService(s *server) {
	g := s.segment
	b.packing.remove(s)
	b.slowStart.remove(s)
	b.zones.removeEvidence(s)
	b.outliers.remove(s)
	b.ejectionChanged(s)
	b.packing.rotate(g)
}

// resetSums clears the sums over the order, and what each server has contributed to them. It also goes
// through packing.changed, because changed servers may no longer be in the order or the list.
func (b *Balancer) resetSums() {
	for s := range b.packing.pool.all {
		s.segment, s.contribution = nil, contribution{}
	}
	for _, s := range b.packing.changed {
		s.segment, s.contribution = nil, contribution{}
	}
	for _, s := range b.servers {
		s.contribution = contribution{}
	}
	b.slowStart.reset(b.zones.all)
	b.zones.resetEvidence()
	b.outliers.reset()
	b.list.unavailable = 0
}
