package policy

import (
	"testing"
)

// Nodes near a server fill it between them; others may take one part of it.
func TestCapacityShare(t *testing.T) {
	own, other := &server{zone: &zoneHealth{}}, &server{zone: &zoneHealth{crossingCost: 1}}
	for _, c := range []struct {
		nodes, reachable, zones int
		wantOwnZone             float64
	}{
		{12, 3, 4, 4},  // as membership has it
		{12, 0, 4, 4},  // spread evenly over the zones
		{12, 20, 4, 1}, // no more than there are
		{2, 0, 4, 2},
	} {
		var share capacityShare
		share.update(c.nodes, c.reachable, c.zones)
		if got := share.of(own); got != c.wantOwnZone {
			t.Errorf("%+v: a share of %v in the own zone", c, got)
		}
		if got := share.of(other); got != 1 {
			t.Errorf("%+v: a share of %v in another zone, want 1", c, got)
		}
	}
}
