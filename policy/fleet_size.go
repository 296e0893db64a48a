package policy

import (
	"time"
)

const (
	// fleetShrinkDelay is how long nodes have to be unreachable before the others divide the quotas without
	// them: longer than nearly every restart, and than most partitions.
	fleetShrinkDelay = time.Minute
	// maxSmallFleet is the largest number of nodes that all fill servers in the same order. More would overload
	// the first server, so each begins elsewhere.
	maxSmallFleet = 3
)

// fleetSize decides by how many nodes the quotas are divided: by those of the settings, or as many as
// membership reached. The number grows at once and shrinks late, and stays where this node reaches half of
// the fleet or less: the parts of all nodes must not exceed a quota.
type fleetSize struct {
	configuredNodes int  // by the settings
	hasMembership   bool // a FleetSize event came
	quotaNodes      int  // nodes that quotas are divided by
	reachable       int  // nodes that this one reaches, itself included
	reachableInZone int  // those of them in its zone; 0 where not known
	shrunkSince     Time // since when more than half of quotaNodes are reachable, but not all; 0: they aren't
	maxReachable    int  // most that were reachable since shrunkSince
}

// configure takes over the settings' number of nodes, and returns the number to divide quotas by: what
// membership found, unless the settings have changed since.
func (f *fleetSize) configure(nodes int) int {
	if f.configuredNodes != nodes {
		f.configuredNodes, f.quotaNodes, f.shrunkSince = nodes, nodes, 0
	}
	return f.quotaNodes
}

// observe takes over how many nodes are reachable, and reports whether to call settle after fleetShrinkDelay.
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

// settle counts the nodes as gone that were unreachable throughout the delay, and reports whether it did.
func (f *fleetSize) settle(now Time) bool {
	if f.shrunkSince == 0 || now-f.shrunkSince < fleetShrinkDelay {
		return false
	}
	f.shrunkSince, f.quotaNodes = 0, f.maxReachable
	return true
}

// isPartitioned reports whether this node reaches half of the fleet or less: the others may serve on.
func (f *fleetSize) isPartitioned() bool { return f.hasMembership && 2*f.reachable <= f.quotaNodes }

// FleetSize returns how many nodes quotas are divided by, how many of them this node reaches, and whether it
// takes itself as cut off from the others.
func (b *Balancer) FleetSize() (quotaNodes, reachable int, partitioned bool) {
	return b.settings.NodeCount, b.fleetSize.reachable, b.fleetSize.isPartitioned()
}

// onFleetSize follows the number of reachable nodes.
func (b *Balancer) onFleetSize(e FleetSize) {
	startDelay := b.fleetSize.observe(b.now, e)
	b.updateCapacityShare()
	b.rateMultiplier.value = min(b.rateMultiplier.value, b.rateConditions().maximum())
	if startDelay {
		b.emit(Action{Kind: SetTimer, Wait: fleetShrinkDelay, Token: fleetSizeTimerToken})
	}
	b.applyQuotaNodes()
}

// onFleetSizeTimer lets the fleet shrink. Fewer nodes may be reachable by now than the delay counted, and
// those begin a delay of their own.
func (b *Balancer) onFleetSizeTimer() {
	if !b.fleetSize.settle(b.now) {
		return
	}
	b.applyQuotaNodes()
	b.onFleetSize(FleetSize{ReachableNodes: b.fleetSize.reachable,
		ReachableInZone: b.fleetSize.reachableInZone})
}

// applyQuotaNodes divides the quotas by another number of nodes, if it changed.
func (b *Balancer) applyQuotaNodes() {
	nodes := b.fleetSize.quotaNodes
	if nodes == b.settings.NodeCount {
		return
	}
	b.settings.NodeCount, b.packing.stale = nodes, true
	b.rateLimiter.configure(b.settings.Limits, b.settings.Tenants, nodes)
	b.refreshOrder()
}

// isLargeFleet reports whether the nodes are so many that each fills servers in an order of its own.
func (b *Balancer) isLargeFleet() bool { return b.settings.NodeCount > maxSmallFleet }
