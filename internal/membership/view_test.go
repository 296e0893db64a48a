package membership

import "testing"

func TestViewCounts(t *testing.T) {
	members := []Member{
		{Name: "a", Zone: "z1", State: Alive},
		{Name: "b", Zone: "z1", State: Suspect},
		{Name: "c", Zone: "z1", State: Dead},
		{Name: "d", Zone: "z1", State: Left},
		{Name: "e", Zone: "z2", State: Alive},
	}
	for _, c := range []struct {
		self            string
		present, inZone int
	}{
		{"a", 3, 2},
		{"e", 3, 1},
		{"unknown", 3, 0},
	} {
		v := View{Self: c.self, Members: members}
		if present, inZone := v.PresentCount(), v.PresentInZone(); present != c.present || inZone != c.inZone {
			t.Errorf("self %s: got %d present and %d in its zone, want %d and %d", c.self, present, inZone, c.present, c.inZone)
		}
	}
}
