package subset

import (
	"cmp"
	"math/bits"
	"slices"
)

// Ring is an index over the servers of one service, for a caller that answers many clients after each change: it
// costs O(n log n) to build for n servers, and each choice O(log n + size log size). It doesn't change once it is
// built, so that any number of goroutines may choose from it at once.
type Ring struct {
	size int
	all  []Server // in ID order

	zoneCounts []int

	// One zone may hold so much of the service that runs over all servers would often miss the others. Then it has a
	// circle of its own, and the others share one. Else servers holds them all, and others is nil.
	servers, others *circle
}

const (
	// minOthersMean is the mean count of servers outside of the largest zone in a subset, below which that zone gets a
	// circle of its own.
	minOthersMean = 4

	// outsideShare is the part of a zone's complement that each subset holds at least: a subset has at least
	// 1/outsideShare of the servers that it would have outside of the zone if zones were in exact proportion.
	outsideShare = 3

	// maxSpanLoad bounds the load on few servers outside of a large zone, in times the even load, for the sake of
	// subsets that span two zones.
	maxSpanLoad = 2
)

// NewRing indexes the servers for subsets of at most the given size. The order of the servers doesn't matter; of
// several with one ID a single one is kept.
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
	inside, outside := split(members, largest)
	ring.servers = newCircle(inside, ring.size)
	ring.others = newCircle(outside, max(1, ring.size*len(outside)/len(members)))
	return ring
}

// distinct returns a copy in ID order with one server an ID.
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

// numberZones counts the servers of each zone, and numbers zones in the order of their names.
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

// dominates tells whether runs over all servers would hold few of those outside of the zone.
func (ring *Ring) dominates(zone int) bool {
	total, inside := len(ring.all), ring.zoneCounts[zone]
	return inside < total && 2*inside > total && ring.size > 1 && ring.size*(total-inside) < minOthersMean*total
}

func split(members []member, zone int) (inside, outside []member) {
	for _, server := range members {
		if server.zone == zone {
			inside = append(inside, server)
		} else {
			outside = append(outside, server)
		}
	}
	return inside, outside
}

// Choose returns the IDs of the servers that the client connects to, in ID order, as Choose of the package does.
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
	chosen := ring.members(client)
	ids := make([]string, len(chosen))
	for i, server := range chosen {
		ids[i] = server.ID
	}
	slices.Sort(ids)
	return ids
}

// members returns the client's subset where it is a part of the servers.
func (ring *Ring) members(client Client) []member {
	client = client.wrapped()
	point := clientPoint(client, clientCell(client.Count, len(ring.all), ring.size))
	chosen := make([]member, 0, ring.size)
	first := ring.servers.at(point)
	if ring.others == nil {
		chosen = ring.servers.appendRun(chosen, first, ring.size)
		ring.spanZones(chosen, first)
		return chosen
	}
	outside := ring.outsideCount(client)
	chosen = ring.servers.appendRun(chosen, first, ring.size-outside)
	return ring.others.appendRun(chosen, ring.others.at(point), outside)
}

// outsideCount returns how many servers outside of the dominating zone the client connects to: their share of the
// subset, rounded down for some clients and up for others so that the mean is kept. A share below one is raised to
// one, as far as maxSpanLoad allows.
func (ring *Ring) outsideCount(client Client) int {
	total := len(ring.all)
	share := ring.size * len(ring.others.servers)
	if share < total {
		share = min(total, maxSpanLoad*share)
	}
	rounding, _ := bits.Mul64(uint64(client.Position)*goldenStep, uint64(total))
	count := share / total
	if int(rounding) < share%total {
		count++
	}
	return count
}

// spanZones exchanges surplus servers of one zone in chosen, the run from first on, for the next ones of other zones.
func (ring *Ring) spanZones(chosen []member, first int) {
	counts := make([]int, len(ring.zoneCounts))
	for _, server := range chosen {
		counts[server.zone]++
	}
	for zone, count := range counts {
		surplus := count - (ring.size - ring.minOutside(zone))
		if surplus > 0 {
			ring.exchange(chosen, first+len(chosen), zone, surplus)
			return // no two zones have more than half of the subset
		}
	}
}

// minOutside returns how many servers of each subset are outside of the zone.
func (ring *Ring) minOutside(zone int) int {
	total := len(ring.all)
	outside := total - ring.zoneCounts[zone]
	if outside == 0 {
		return 0
	}
	return min(max(1, ring.size*outside/(outsideShare*total)), ring.size/2)
}

// exchange replaces the last surplus servers of the zone in chosen by the ones of other zones from index next on.
func (ring *Ring) exchange(chosen []member, next, zone, surplus int) {
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
