package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// fleet holds the servers of one service, the number of its clients and the subset size.
type fleet struct {
	servers []Server
	clients int
	size    int
}

// assignment holds the slots of each client's servers, indexed by the client's position.
type assignment [][]int

// loadStats describes how evenly the load of a service is spread. A server's load is the sum of 1/(subset size) over
// its clients.
type loadStats struct {
	maxLoad, minLoad  float64 // load of the most and the least loaded server, as multiples of the mean
	minClients        int     // number of clients of the server that has the fewest
	minOutsideShare   float64 // the smallest fraction of a subset outside of a zone, over all clients and zones
	singleZoneClients int     // clients whose servers are all in one zone
}

func measure(f fleet, chosen assignment) loadStats {
	load := make(map[int]float64)
	clientCounts := make(map[int]int)
	zoneOf := make(map[int]string)
	for _, server := range f.servers {
		zoneOf[server.Slot] = server.Zone
	}
	result := loadStats{minLoad: 1e9, minClients: f.clients, minOutsideShare: 1}
	for _, slots := range chosen {
		zones := make(map[string]int)
		for _, slot := range slots {
			load[slot] += 1 / float64(len(slots))
			clientCounts[slot]++
			zones[zoneOf[slot]]++
		}
		for _, count := range zones {
			result.minOutsideShare = min(result.minOutsideShare, 1-float64(count)/float64(len(slots)))
		}
		if len(zones) == 1 {
			result.singleZoneClients++
		}
	}
	mean := float64(f.clients) / float64(len(f.servers))
	for _, server := range f.servers {
		result.maxLoad = max(result.maxLoad, load[server.Slot]/mean)
		result.minLoad = min(result.minLoad, load[server.Slot]/mean)
		result.minClients = min(result.minClients, clientCounts[server.Slot])
	}
	return result
}

// movedPairs returns the number of client-server pairs added or the number dropped, whichever is higher. A client that is
// in only one of the assignments counts with all its pairs.
func movedPairs(before, after assignment) int {
	added, dropped := 0, 0
	for client := range max(len(before), len(after)) {
		var old, current []int
		if client < len(before) {
			old = slices.Sorted(slices.Values(before[client]))
		}
		if client < len(after) {
			current = slices.Sorted(slices.Values(after[client]))
		}
		for _, slot := range current {
			if _, found := slices.BinarySearch(old, slot); !found {
				added++
			}
		}
		for _, slot := range old {
			if _, found := slices.BinarySearch(current, slot); !found {
				dropped++
			}
		}
	}
	return max(added, dropped)
}

// layout places the servers of a service in zones: zone returns the zone of the server in a slot.
type layout struct {
	name string
	zone func(slot, count int, random *rand.Rand) string
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

func inTurn(zones int) layout {
	return layout{fmt.Sprintf("%d in turn", zones), func(slot, _ int, _ *rand.Rand) string { return zoneName(slot % zones) }}
}

func inBlocks(zones int) layout {
	return layout{fmt.Sprintf("%d in blocks", zones), func(slot, count int, _ *rand.Rand) string {
		return zoneName(min(slot*zones/count, zones-1))
	}}
}

func atRandom(zones int) layout {
	return layout{fmt.Sprintf("%d at random", zones), func(_, _ int, random *rand.Rand) string { return zoneName(random.IntN(zones)) }}
}

// uneven places half of the servers in the first zone, a quarter in the second, and so on.
func uneven(zones int) layout {
	return layout{fmt.Sprintf("%d uneven", zones), func(_, _ int, random *rand.Rand) string {
		zone := 0
		for zone < zones-1 && random.IntN(2) == 0 {
			zone++
		}
		return zoneName(zone)
	}}
}

// mostIn places the given percentage of the servers in the first of two zones.
func mostIn(percent int) layout {
	return layout{fmt.Sprintf("2, %d%% in one", percent), func(_, _ int, random *rand.Rand) string {
		if random.IntN(100) < percent {
			return zoneName(0)
		}
		return zoneName(1)
	}}
}

// halfCircles places each of two zones in one half of the circle, so that hardly any run of servers contains both.
func halfCircles() layout {
	return layout{"2 half circles", func(slot, _ int, _ *rand.Rand) string {
		return zoneName(int(member{Server: Server{Slot: slot}}.key() >> (keyBits - 1)))
	}}
}

// newFleet creates servers in consecutive slots; the given percentage of the slots has no server.
func newFleet(servers, clients, size, missingPercent int, zones layout, seed uint64) fleet {
	random := rand.New(rand.NewPCG(seed, 0))
	result := fleet{clients: clients, size: size}
	slots := servers * 100 / (100 - missingPercent)
	missing := make(map[int]bool)
	for _, slot := range random.Perm(slots)[servers:] {
		missing[slot] = true
	}
	for slot := range slots {
		zone := zones.zone(slot, slots, random)
		if !missing[slot] {
			result.servers = append(result.servers, Server{ID: fmt.Sprintf("server-%05d", slot), Zone: zone, Slot: slot})
		}
	}
	return result
}

func ringAssignment(f fleet) assignment {
	ring := NewRing(f.servers, f.size)
	result := make(assignment, f.clients)
	for position := range result {
		if ring.choosesAll() {
			for _, server := range ring.all {
				result[position] = append(result[position], server.Slot)
			}
			continue
		}
		for _, server := range ring.chooseSubset(Client{Position: position, Count: f.clients}) {
			result[position] = append(result[position], server.Slot)
		}
	}
	return result
}

// withoutServer returns the fleet without the server at the index.
func (f fleet) withoutServer(index int) fleet {
	f.servers = slices.Delete(slices.Clone(f.servers), index, index+1)
	return f
}

// withServer returns the fleet with an additional server in its lowest free slot.
func (f fleet) withServer(zone string) fleet {
	used := make(map[int]bool)
	for _, server := range f.servers {
		used[server.Slot] = true
	}
	slot := 0
	for used[slot] {
		slot++
	}
	f.servers = append(slices.Clone(f.servers), Server{ID: "added", Zone: zone, Slot: slot})
	return f
}

// withClients returns the fleet with the given number of clients.
func (f fleet) withClients(clients int) fleet {
	f.clients = clients
	return f
}
