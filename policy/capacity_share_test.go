package policy

import (
	"testing"
)

// The nodes near a server share its whole capacity; each other node may use an even share.
func TestCapacityShare(t *testing.T) {
	own, other := &server{zone: &zoneHealth{}}, &server{zone: &zoneHealth{crossingCost: 1}}
	for _, c := range []struct {
		nodes, reachable, zones int
		wantOwnZone             float64
	}{
		{12, 3, 4, 4},  // membership reports 3 nodes
		{12, 0, 4, 4},  // without membership: nodes spread evenly over the zones
		{12, 20, 4, 1}, // membership reports more nodes than there are
		{2, 0, 4, 2},
	} {
		var share capacityShare
		share.update(c.nodes, c.reachable, c.zones)
		if got := share.of(own); got != c.wantOwnZone {
			t.Errorf("%+v: got a share of %v in the own zone, want the case's wantOwnZone", c, got)
		}
		if got := share.of(other); got != 1 {
			t.Errorf("%+v: got a share of %v in another zone, want 1", c, got)
		}
	}
}
