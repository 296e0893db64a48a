package policy

// capacityShare is this node's share of the servers' capacity, as a multiple of an even share (the capacity
// divided by the number of nodes). A node is near a server if crossing to it costs nothing, as in the node's
// own zone. The nodes near a server share its whole capacity; each other node may use an even share in
// addition.
type capacityShare struct {
	nodeCount   float64
	nearbyNodes float64 // nodes in this node's zone, including itself; 0 before the first update
}

// update sets the number of nodes, and the number of reachable nodes in this node's zone. If reachableInZone
// is unknown (0), the nodes are assumed to be spread evenly over the zones.
func (c *capacityShare) update(nodeCount, reachableInZone, zoneCount int) {
	c.nodeCount = float64(nodeCount)
	if c.nearbyNodes = min(c.nodeCount, float64(reachableInZone)); c.nearbyNodes == 0 {
		c.nearbyNodes = max(1, c.nodeCount/float64(max(1, zoneCount)))
	}
}

// ofNearby returns this node's share of a server that it is near.
func (c *capacityShare) ofNearby() float64 { return c.nodeCount / c.nearbyNodes }

// of returns this node's share of a server. It is 1, the even share, for a server that this node isn't near.
// Without a topology, it is 1 for all servers.
func (c *capacityShare) of(s *server) float64 {
	if s.zone != nil && s.zone.crossingCost == 0 {
		return c.ofNearby()
	}
	return 1
}

// updateCapacityShare updates the share from the numbers of nodes and zones.
func (b *Balancer) updateCapacityShare() {
	b.share.update(b.settings.NodeCount, b.fleetSize.reachableInZone, len(b.zones.all))
}
