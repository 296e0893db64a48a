package policy

// capacityShare is how much of the servers' capacity falls to this node, in even parts: 1 is one part of as
// many as there are nodes. The nodes near a server fill it between them; each of the others may take one
// part in addition.
type capacityShare struct {
	nodeCount   float64
	nearbyNodes float64 // nodes near this one, itself included; 0 before the first update
}

// update takes over the number of nodes, and of those near this one as membership has it. Where it has
// none, the nodes are taken to be spread evenly over the zones.
func (c *capacityShare) update(nodeCount, reachableInZone, zoneCount int) {
	c.nodeCount = float64(nodeCount)
	if c.nearbyNodes = min(c.nodeCount, float64(reachableInZone)); c.nearbyNodes == 0 {
		c.nearbyNodes = max(1, c.nodeCount/float64(max(1, zoneCount)))
	}
}

// ofNearby is this node's share of a server in its own zone.
func (c *capacityShare) ofNearby() float64 { return c.nodeCount / c.nearbyNodes }

// of is this node's share of a server.
func (c *capacityShare) of(s *server) float64 {
	if s.zone != nil && s.zone.crossingCost == 0 {
		return c.ofNearby()
	}
	return 1
}

// updateCapacityShare follows the number of nodes and of zones.
func (b *Balancer) updateCapacityShare() {
	b.share.update(b.settings.NodeCount, b.fleetSize.reachableInZone, len(b.zones.all))
}
