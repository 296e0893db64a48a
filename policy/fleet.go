package policy

import "time"

// How many nodes share a quota. A node that fell silent may serve on behind a cut, so its part is nobody's
// for fleetHold: until then the sum over all sides of a split is the quota at most. Then those who hear more
// than half take the silent ones' parts, and a side with half or less keeps what it had: under one and a half
// quotas for a split however long, and under half a quota more whenever the larger side splits again.

const fleetHold = time.Minute // longer than nearly every restart, and than the splits that heal by themselves

// configured takes over the number of nodes that the settings tell, and returns the one to go by: what the
// nodes found out themselves, unless the settings have changed since.
func (f *presence) configured(nodes int) int {
	if f.told != nodes {
		f.told, f.agreed, f.below = nodes, nodes, 0
	}
	return f.agreed
}

// onFleet follows the number of nodes that are heard. A part shrinks at once, and grows late.
func (b *Balancer) onFleet(e Fleet) {
	f := &b.fleet
	f.known, f.heard, f.near = true, max(1, e.Heard), e.Near
	b.countNear()
	b.pace = min(b.pace, b.paceTop())
	switch {
	case f.heard >= f.agreed || 2*f.heard <= f.agreed: // or cut off: those not heard may serve on
		f.below = 0
		b.agree(max(f.agreed, f.heard))
	case f.below == 0:
		f.below, f.most = b.now, f.heard
		b.emit(Action{Kind: SetTimer, Wait: fleetHold, Token: fleetToken})
	default:
		f.most = max(f.most, f.heard)
	}
}

// settleFleet counts those as gone who were silent throughout the hold.
func (b *Balancer) settleFleet() {
	f := &b.fleet
	if f.below == 0 || b.now-f.below < fleetHold {
		return
	}
	f.below = 0
	b.agree(f.most)
	b.onFleet(Fleet{Heard: f.heard, Near: f.near}) // fewer may be left by now
}

// agree divides the quotas by another number of nodes.
func (b *Balancer) agree(nodes int) {
	if nodes == b.fleet.agreed {
		return
	}
	b.fleet.agreed, b.set.Nodes, b.stale = nodes, nodes, true
	b.divide()
	b.reorder()
}

// paceTop is how far the buckets' pace may go: a quota that the nodes divide among themselves is one.
func (b *Balancer) paceTop() float64 {
	if b.fleet.known {
		return 1
	}
	return paceMost
}
