package subset

import (
	"cmp"
	"math/bits"
	"slices"
)

// Ring is an index over the servers of one service, for choosing the subsets of many clients. For n servers, building it
// takes O(n log n), and each choice O(log n + size log size). It is immutable and safe for concurrent use.
type Ring struct {
	size int
	all  []Server // in ID order

	zoneCounts []int // number of servers by number of the zone; nil if every client gets all servers or none

	// If one zone dominates, so that runs over all servers would often miss the other zones, servers holds that zone and
	// others holds the rest. Otherwise servers holds all, and others is nil. Both are nil if every client gets all servers
	// or none.
	servers, others *circle
}

const (
	// If runs over all servers would contain, on average, fewer than minOutsideMean servers outside of the largest zone,
	// that zone dominates and gets a circle of its own.
	minOutsideMean = 4

	// outsideDivisor sets the minimum number of servers outside of a zone in each subset: 1/outsideDivisor of the number
	// that the subset would have if zones were represented proportionally.
	outsideDivisor = 3

	// maxSpanLoad limits the load on the few servers outside of a dominating zone, as a multiple of the even load. They get
	// more than the even load so that subsets span two zones.
	maxSpanLoad = 2
)

// NewRing indexes the servers for subsets of at most size servers. The order of servers doesn't matter; of several with
// the same ID only one is kept.
func NewRing(servers []Server, size int) *Ring {
	ring := &Ring{size: max(size, 0), all: distinct(servers)}
	if ring.choosesAll() || ring.size == 0 {
		return ring
	}
	members := ring.numberZones()
	largest := slices.Index(ring.zoneCounts, slices.Max(ring.zoneCounts))
	if !ring.dominates(largest) {
		ring.servers = newCircle(members, ring.size)
		return ring
	}
	inside, outside := splitByZone(members, largest)
	ring.servers = newCircle(inside, ring.size)
	ring.others = newCircle(outside, max(1, ring.size*len(outside)/len(members)))
	return ring
}

// distinct returns a copy of servers in ID order with one server per ID.
func distinct(servers []Server) []Server {
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Zone, b.Zone))
	})
	return slices.CompactFunc(ordered, func(a, b Server) bool { return a.ID == b.ID })
}

func (ring *Ring) choosesAll() bool {
	return len(ring.all) <= ring.size
}

// numberZones numbers the zones in the order of their names, sets zoneCounts, and returns the servers with their zones'
// numbers.
func (ring *Ring) numberZones() []member {
	var names []string
	counts := make(map[string]int)
	for _, server := range ring.all {
		if counts[server.Zone] == 0 {
			names = append(names, server.Zone)
		}
		counts[server.Zone]++
	}
	slices.Sort(names)
	numbers := make(map[string]int, len(names))
	for number, name := range names {
		numbers[name] = number
		ring.zoneCounts = append(ring.zoneCounts, counts[name])
	}
	members := make([]member, len(ring.all))
	for i, server := range ring.all {
		members[i] = member{Server: server, zone: numbers[server.Zone]}
	}
	return members
}

// dominates reports whether runs over all servers would contain too few servers outside of the zone.
func (ring *Ring) dominates(zone int) bool {
	total, inside := len(ring.all), ring.zoneCounts[zone]
	return inside < total && 2*inside > total && ring.size > 1 && ring.size*(total-inside) < minOutsideMean*total
}

func splitByZone(members []member, zone int) (inside, outside []member) {
	for _, server := range members {
		if server.zone == zone {
			inside = append(inside, server)
		} else {
			outside = append(outside, server)
		}
	}
	return inside, outside
}

// Choose returns the IDs of the servers that the client connects to, in ID order, like the function Choose.
func (ring *Ring) Choose(client Client) []string {
	if ring.size == 0 || len(ring.all) == 0 {
		return nil
	}
	if ring.choosesAll() {
		ids := make([]string, len(ring.all))
		for i, server := range ring.all {
			ids[i] = server.ID
		}
		return ids
	}
	chosen := ring.chooseSubset(client)
	ids := make([]string, len(chosen))
	for i, server := range chosen {
		ids[i] = server.ID
	}
	slices.Sort(ids)
	return ids
}

// chooseSubset returns the client's subset. There must be more than size servers.
func (ring *Ring) chooseSubset(client Client) []member {
	client = client.normalized()
	point := clientPoint(client, clientCellSize(client.Count, len(ring.all), ring.size))
	chosen := make([]member, 0, ring.size)
	first := ring.servers.serverAt(point)
	if ring.others == nil {
		chosen = ring.servers.appendRun(chosen, first, ring.size)
		ring.spanZones(chosen, first)
		return chosen
	}
	outside := ring.outsideCount(client)
	chosen = ring.servers.appendRun(chosen, first, ring.size-outside)
	return ring.others.appendRun(chosen, ring.others.serverAt(point), outside)
}

// outsideCount returns the number of servers outside of the dominating zone in the client's subset: their proportional
// share, rounded down for some clients and up for others to preserve the mean. A share below one is raised towards one,
// as far as maxSpanLoad allows.
func (ring *Ring) outsideCount(client Client) int {
	total := len(ring.all)
	share := ring.size * len(ring.others.servers)
	if share < total {
		share = min(total, maxSpanLoad*share)
	}
	rounding, _ := bits.Mul64(uint64(client.Position)*goldenRatioStep, uint64(total))
	count := share / total
	if int(rounding) < share%total {
		count++
	}
	return count
}

// spanZones replaces servers in chosen, the run that starts at first. If one zone has too many of them, servers of other
// zones that follow the run take the place of the surplus.
func (ring *Ring) spanZones(chosen []member, first int) {
	counts := make([]int, len(ring.zoneCounts))
	for _, server := range chosen {
		counts[server.zone]++
	}
	for zone, count := range counts {
		surplus := count - (ring.size - ring.minOutside(zone))
		if surplus > 0 {
			ring.replaceSurplus(chosen, first+len(chosen), zone, surplus)
			return // at most one zone has more than half of the subset
		}
	}
}

// minOutside returns the minimum number of servers outside of the zone in each subset, by outsideDivisor. It is at least 1
// if there are any servers outside, but at most half of the subset.
func (ring *Ring) minOutside(zone int) int {
	total := len(ring.all)
	outside := total - ring.zoneCounts[zone]
	if outside == 0 {
		return 0
	}
	return min(max(1, ring.size*outside/(outsideDivisor*total)), ring.size/2)
}

// replaceSurplus replaces servers of the zone in chosen, the last ones first, with servers of other zones that it takes
// from index next on. surplus is the number of servers to replace.
func (ring *Ring) replaceSurplus(chosen []member, next, zone, surplus int) {
	servers := ring.servers.servers
	for i := len(chosen) - 1; surplus > 0; i-- {
		if chosen[i].zone != zone {
			continue
		}
		for servers[next%len(servers)].zone == zone {
			next++
		}
		chosen[i] = servers[next%len(servers)]
		next++
		surplus--
	}
}
