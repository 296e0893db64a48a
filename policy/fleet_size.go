package policy

import (
	"time"
)

const (
	// fleetShrinkDelay is how long nodes must be unreachable before the quotas are divided without them. It is
	// longer than nearly all restarts and most partitions.
	fleetShrinkDelay = time.Minute
	// maxSmallFleet is the maximum number of nodes that fill servers in the same order. More nodes would
	// overload the first server, so in a larger fleet each node starts with a different server.
	maxSmallFleet = 3
)

// fleetSize determines the number of nodes that the quotas are divided by. At first it is the number in the
// settings. Then it follows the number of nodes that are reachable by membership: it grows at once and
// shrinks after a delay. It doesn't shrink while this node reaches half of the fleet or less. In that case
// the other nodes may still serve, and the parts of all nodes together must not exceed a quota.
type fleetSize struct {
	configuredNodes int  // number of nodes in the settings
	hasMembership   bool // whether a FleetSize event has been received
	quotaNodes      int  // number of nodes that quotas are divided by
	reachable       int  // nodes that this node reaches, including itself
	reachableInZone int  // reachable nodes in this node's zone; 0 if unknown
	shrunkSince     Time // since when more than half but not all of quotaNodes are reachable; 0 otherwise
	maxReachable    int  // maximum of reachable since shrunkSince
}

// configure sets the number of nodes in the settings and returns the number to divide quotas by. The number
// that membership found is kept unless the number in the settings changes.
func (f *fleetSize) configure(nodes int) int {
	if f.configuredNodes != nodes {
		f.configuredNodes, f.quotaNodes, f.shrunkSince = nodes, nodes, 0
	}
	return f.quotaNodes
}

// observe records the number of reachable nodes and reports whether to call settle after fleetShrinkDelay.
func (f *fleetSize) observe(now Time, e FleetSize) (startDelay bool) {
	f.hasMembership, f.reachable, f.reachableInZone = true, max(1, e.ReachableNodes), e.ReachableInZone
	switch {
	case f.reachable >= f.quotaNodes || f.isPartitioned():
		f.shrunkSince = 0
		f.quotaNodes = max(f.quotaNodes, f.reachable)
	case f.shrunkSince == 0:
		f.shrunkSince, f.maxReachable = now, f.reachable
		return true
	default:
		f.maxReachable = max(f.maxReachable, f.reachable)
	}
	return false
}

// settle reduces quotaNodes to the maximum of reachable nodes during the delay, and returns true. If no delay
// has begun or it hasn't passed yet, settle changes nothing and returns false.
func (f *fleetSize) settle(now Time) bool {
	if f.shrunkSince == 0 || now-f.shrunkSince < fleetShrinkDelay {
		return false
	}
	f.shrunkSince, f.quotaNodes = 0, f.maxReachable
	return true
}

// isPartitioned reports whether this node reaches half of the fleet or less. The other nodes may still serve.
// The result is false until the first FleetSize event.
func (f *fleetSize) isPartitioned() bool { return f.hasMembership && 2*f.reachable <= f.quotaNodes }

// FleetSize returns the number of nodes that quotas are divided by, the number of nodes that this node
// reaches (0 before the first FleetSize event), and whether it considers itself partitioned from the others.
func (b *Balancer) FleetSize() (quotaNodes, reachable int, partitioned bool) {
	return b.settings.NodeCount, b.fleetSize.reachable, b.fleetSize.isPartitioned()
}

// onFleetSize applies the number of reachable nodes.
func (b *Balancer) onFleetSize(e FleetSize) {
	startDelay := b.fleetSize.observe(b.now, e)
	b.updateCapacityShare()
	b.rateMultiplier.value = min(b.rateMultiplier.value, b.rateConditions().maximum())
	if startDelay {
		b.emit(Action{Kind: SetTimer, Wait: fleetShrinkDelay, Token: fleetSizeTimerToken})
	}
	b.applyQuotaNodes()
}

// onFleetSizeTimer lets the fleet shrink after the delay. If fewer nodes are reachable now than the maximum
// during the delay, another delay starts.
func (b *Balancer) onFleetSizeTimer() {
	if !b.fleetSize.settle(b.now) {
		return
	}
	b.applyQuotaNodes()
	b.onFleetSize(FleetSize{ReachableNodes: b.fleetSize.reachable,
		ReachableInZone: b.fleetSize.reachableInZone})
}

// applyQuotaNodes updates the quotas if the number of nodes that they are divided by has changed.
func (b *Balancer) applyQuotaNodes() {
	nodes := b.fleetSize.quotaNodes
	if nodes == b.settings.NodeCount {
		return
	}
	b.settings.NodeCount, b.packing.stale = nodes, true
	b.rateLimiter.configure(b.settings.Limits, b.settings.Tenants, nodes)
	b.refreshOrder()
}

// isLargeFleet reports whether there are so many nodes that each fills servers in a different order.
func (b *Balancer) isLargeFleet() bool { return b.settings.NodeCount > maxSmallFleet }
