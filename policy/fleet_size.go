package policy

import (
	"time"
)

// longer than nearly every restart, and than the splits that heal by themselves
const fleetShrinkDelay = time.Minute

const (
	maxSmallFleet = 3 // nodes; more would jam the first server, so each walks from elsewhere
)

// fleetSize is what is known of how many nodes there are.
type fleetSize struct {
	configuredNodes int  // by the settings
	hasMembership   bool // there is a membership
	quotaNodes      int  // that quotas are divided by
	reachable       int  // that this node hears, itself included,
	reachableInZone int  // and those of them in its zone; 0 for not known
	shrunkSince     Time // since when more than half of the agreed are heard and not all; 0 for not
	maxReachable    int  // that were heard since
}

// configure takes over the number of nodes that the settings tell, and returns the one to go by: what the
// nodes found out themselves, unless the settings have changed since.
func (f *fleetSize) configure(nodes int) int {
	if f.configuredNodes != nodes {
		f.configuredNodes, f.quotaNodes, f.shrunkSince = nodes, nodes, 0
	}
	return f.quotaNodes
}

// FleetSize tells how many nodes quotas are divided by, how many of them this node hears, and whether it
// takes itself as cut off from the others.
func (b *Balancer) FleetSize() (agreed, heard int, cutOff bool) {
	f := b.fleetSize
	return b.settings.NodeCount, f.reachable, f.hasMembership && 2*f.reachable <= f.quotaNodes
}

// onFleetSize follows the number of nodes that are heard. A part shrinks at once, and grows late.
func (b *Balancer) onFleetSize(e FleetSize) {
	f := &b.fleetSize
	f.hasMembership, f.reachable, f.reachableInZone = true, max(1, e.ReachableNodes), e.ReachableInZone
	b.updateCapacityShare()
	b.rateMultiplier = min(b.rateMultiplier, b.rateMultiplierCap())
	switch {
	// or cut off: those not heard may serve on
	case f.reachable >= f.quotaNodes || 2*f.reachable <= f.quotaNodes:
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
	// fewer may be left by now
	b.onFleetSize(FleetSize{ReachableNodes: f.reachable, ReachableInZone: f.reachableInZone})
}

// setQuotaNodes divides the quotas by another number of nodes.
func (b *Balancer) setQuotaNodes(nodes int) {
	if nodes == b.fleetSize.quotaNodes {
		return
	}
	b.fleetSize.quotaNodes, b.settings.NodeCount, b.packing.stale = nodes, nodes, true
	b.divideQuotas()
	b.refreshOrder()
}

func (b *Balancer) isLargeFleet() bool { return b.settings.NodeCount > maxSmallFleet }
