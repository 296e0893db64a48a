package policy

import (
	"fmt"
	"testing"
	"time"
)

// near is a site of two regions: zones a and b in the north, c in the south.
func near(nodes int) Settings {
	set := site(nodes)
	set.Topology = &Topology{RegionOfZone: map[string]string{"a": "north", "b": "north", "c": "south"}, SameRegionCost: 1, OtherRegionCost: 3}
	return set
}

// zoned is n servers in each of the zones.
func zoned(n int, zones ...string) (list []Endpoint) {
	for _, z := range zones {
		for i := range n {
			list = append(list, Endpoint{ID: fmt.Sprint(z, i), Zone: z, Kind: "k", Weight: 1})
		}
	}
	return list
}

// Servers that a list takes away in a mass are kept for half of the grace, drained ones and few ones are not; named
// again they are as before, and one that was let go brings its place back by a small share.
func TestListsAreEasedIn(t *testing.T) {
	all := zoned(4, "a", "b")
	gone := func(kind ListKind, n int, as Availability) EndpointList {
		e := EndpointList{Kind: kind}
		for i, m := range all {
			if m.Availability = as; (i < n) == (kind == ListUpdate) {
				e.Endpoints = append(e.Endpoints, m)
			}
		}
		if kind == ListReplace {
			for i := range e.Endpoints {
				e.Endpoints[i].Availability = Running
			}
		}
		return e
	}
	grace := site(1).Rules.DrainGrace
	for name, c := range map[string]struct {
		eases bool
		news  EndpointList
		kept  int
		back  bool
	}{
		"a zone in a change":       {true, gone(ListUpdate, 4, Removed), 4, true},
		"a zone in a whole list":   {true, gone(ListReplace, 4, Running), 4, true},
		"a smaller part of a zone": {true, gone(ListUpdate, 2, Removed), 2, false},
		"not asked for":            {false, gone(ListUpdate, 4, Removed), 0, false},
	} {
		set := near(1)
		set.RetainMissing = c.eases
		b := start(t, set, all)
		b.servers["a0"].concurrencyLimit = 7
		b.Handle(ms, c.news)
		left := 0
		for id := range b.servers {
			if id[0] == 'a' {
				left++
			}
		}
		if left != c.kept {
			t.Errorf("%s: %d servers of the zone are kept, want %d", name, left, c.kept)
		}
		b.Handle(ms+grace/2, Timer{Token: retainTimerToken})
		b.Handle(time.Second+grace, EndpointList{Kind: ListReplace, Endpoints: all})
		if got := b.zones.find("a").recovering; got != c.back {
			t.Errorf("%s: the place returns by shares: %v, want %v", name, got, c.back)
		}
	}
	set := near(1)
	set.RetainMissing = true
	b := start(t, set, all)
	b.servers["a0"].concurrencyLimit = 7
	b.Handle(ms, gone(ListUpdate, 4, Removed))
	b.Handle(2*ms, EndpointList{Kind: ListReplace, Endpoints: all})
	b.Handle(ms+grace, Timer{Token: retainTimerToken})
	if s := b.servers["a0"]; s == nil || s.concurrencyLimit != 7 || b.zones.find("a").recovering {
		t.Error("named again in time, a server is not as before")
	}
	b.Handle(3*time.Second, gone(ListUpdate, 4, Draining))
	for _, s := range b.order() {
		if s.Zone == "a" {
			t.Errorf("%s drains and is still in use", s.ID)
		}
	}
	if b.Handle(4*time.Second, gone(ListUpdate, 4, Removed)); len(b.servers) != 4 {
		t.Errorf("%d servers after drained ones are gone, want 4", len(b.servers))
	}
}

// Servers are walked in order of what crossing costs, and a cost that the settings name goes before the usual one.
func TestPlacesAreWalkedByCost(t *testing.T) {
	for want, costs := range map[string]map[string]map[string]float64{
		"abc": nil, "acb": {"a": {"c": 0.5}}, "a(bc)": {"a": {"c": 1}},
	} {
		set := near(1)
		set.Topology.ZoneCosts = costs
		b := start(t, set, zoned(1, "c", "b", "a"))
		got := ""
		for _, s := range b.order() {
			got += s.Zone
		}
		if want == "a(bc)" { // of one cost: by id
			want = "abc"
		}
		if got != want {
			t.Errorf("costs %v: walked %s, want %s", costs, got, want)
		}
	}
}

// Evidence of one server, or of one kind of several, convicts no place.
func TestOneServerOrKindIsNoBadPlace(t *testing.T) {
	for name, c := range map[string]struct {
		ill  func(i int) bool
		left bool
	}{
		"one server":  {func(i int) bool { return i == 0 }, false},
		"one kind":    {func(i int) bool { return i%2 == 0 }, false},
		"all of them": {func(int) bool { return true }, true},
		"all but one": {func(i int) bool { return i > 0 }, true},
	} {
		list := zoned(6, "a", "b")
		for i := range list {
			list[i].Kind = []string{"big", "small"}[i%2]
		}
		b := start(t, near(1), list)
		for range 40 {
			b.now += 50 * ms
			for i := range 6 {
				for _, zone := range []string{"a", "b"} {
					s := b.servers[fmt.Sprint(zone, i)]
					ill := 0.0
					if zone == "a" && c.ill(i) {
						ill = 1
					}
					b.recordEvidence(&attempt{server: s, sentAt: b.now}, ill)
				}
			}
		}
		if got := b.zones.find("a").isEvacuated(); got != c.left {
			t.Errorf("%s: left %v, want %v", name, got, c.left)
		}
		if b.zones.find("b").trafficShare != 1 {
			t.Errorf("%s: the other place has a share of %v", name, b.zones.find("b").trafficShare)
		}
	}
}
