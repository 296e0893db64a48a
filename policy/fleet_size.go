package policy

import "time"

// How many nodes share a quota. A node that fell silent may serve on behind a cut, so its part is nobody's
// for fleetHold: until then the sum over all sides of a split is the quota at most. Then those who hear more
// than half take the silent ones' parts, and a side with half or less keeps what it had: under one and a half
// quotas for a split however long, and under half a quota more whenever the larger side splits again.

const fleetShrinkDelay = time.Minute // longer than nearly every restart, and than the splits that heal by themselves

// configure takes over the number of nodes that the settings tell, and returns the one to go by: what the
// nodes found out themselves, unless the settings have changed since.
func (f *fleetSize) configure(nodes int) int {
	if f.configuredNodes != nodes {
		f.configuredNodes, f.quotaNodes, f.shrunkSince = nodes, nodes, 0
	}
	return f.quotaNodes
}

// onFleetSize follows the number of nodes that are heard. A part shrinks at once, and grows late.
func (b *Balancer) onFleetSize(e FleetSize) {
	f := &b.fleetSize
	f.hasMembership, f.reachable, f.reachableInZone = true, max(1, e.ReachableNodes), e.ReachableInZone
	b.countNearbyNodes()
	b.rateMultiplier = min(b.rateMultiplier, b.rateMultiplierCap())
	switch {
	case f.reachable >= f.quotaNodes || 2*f.reachable <= f.quotaNodes: // or cut off: those not heard may serve on
		f.shrunkSince = 0
		b.setQuotaNodes(max(f.quotaNodes, f.reachable))
	case f.shrunkSince == 0:
		f.shrunkSince, f.maxReachable = b.now, f.reachable
		b.emit(Action{Kind: SetTimer, Wait: fleetShrinkDelay, Token: fleetSizeTimerToken})
	default:
		f.maxReachable = max(f.maxReachable, f.reachable)
	}
}

// settleFleetSize counts those as gone who were silent throughout the hold.
func (b *Balancer) settleFleetSize() {
	f := &b.fleetSize
	if f.shrunkSince == 0 || b.now-f.shrunkSince < fleetShrinkDelay {
		return
	}
	f.shrunkSince = 0
	b.setQuotaNodes(f.maxReachable)
	b.onFleetSize(FleetSize{ReachableNodes: f.reachable, ReachableInZone: f.reachableInZone}) // fewer may be left by now
}

// setQuotaNodes divides the quotas by another number of nodes.
func (b *Balancer) setQuotaNodes(nodes int) {
	if nodes == b.fleetSize.quotaNodes {
		return
	}
	b.fleetSize.quotaNodes, b.settings.NodeCount, b.orderStale = nodes, nodes, true
	b.divideQuotas()
	b.refreshOrder()
}

// rateMultiplierCap is how far the buckets' pace may go: a quota that the nodes divide among themselves is one.
func (b *Balancer) rateMultiplierCap() float64 {
	if b.fleetSize.hasMembership {
		return 1
	}
	return maxRateMultiplier
}
