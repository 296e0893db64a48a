package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// fleet is the servers of one service beside the count of its clients.
type fleet struct {
	servers []Server
	clients int
	size    int
}

// assignment holds the slots of each client's servers, by position.
type assignment [][]int

// evenness tells how the load of a service is spread: each server's sum over its clients of 1/subset size.
type evenness struct {
	most, least   float64 // load of the most and the least loaded server, over the mean
	fewestClients int     // the least number of subsets that a server is in
	leastOutside  float64 // over all clients and zones: the least part of a subset outside of the zone
	singleZone    int     // clients with all servers in one zone
}

func measure(f fleet, chosen assignment) evenness {
	load := make(map[int]float64)
	degree := make(map[int]int)
	zoneOf := make(map[int]string)
	for _, server := range f.servers {
		zoneOf[server.Slot] = server.Zone
	}
	result := evenness{least: 1e9, fewestClients: f.clients, leastOutside: 1}
	for _, slots := range chosen {
		zones := make(map[string]int)
		for _, slot := range slots {
			load[slot] += 1 / float64(len(slots))
			degree[slot]++
			zones[zoneOf[slot]]++
		}
		for _, count := range zones {
			result.leastOutside = min(result.leastOutside, 1-float64(count)/float64(len(slots)))
		}
		if len(zones) == 1 {
			result.singleZone++
		}
	}
	mean := float64(f.clients) / float64(len(f.servers))
	for _, server := range f.servers {
		result.most = max(result.most, load[server.Slot]/mean)
		result.least = min(result.least, load[server.Slot]/mean)
		result.fewestClients = min(result.fewestClients, degree[server.Slot])
	}
	return result
}

// moved counts the pairs of client and server that are new, or gone, whichever is more. Clients in one of the
// assignments alone count with all their pairs.
func moved(before, after assignment) int {
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

// layout places the servers of a service in zones: the zone of the server in a slot.
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

// uneven has half of the servers in the first zone, a quarter in the second, and so on.
func uneven(zones int) layout {
	return layout{fmt.Sprintf("%d uneven", zones), func(_, _ int, random *rand.Rand) string {
		zone := 0
		for zone < zones-1 && random.IntN(2) == 0 {
			zone++
		}
		return zoneName(zone)
	}}
}

// mostIn has the given share of the servers in one of two zones.
func mostIn(percent int) layout {
	return layout{fmt.Sprintf("2, %d%% in one", percent), func(_, _ int, random *rand.Rand) string {
		if random.IntN(100) < percent {
			return zoneName(0)
		}
		return zoneName(1)
	}}
}

// halfCircles has each zone in one half of the circle, so that hardly any run of servers holds both.
func halfCircles() layout {
	return layout{"2 half circles", func(slot, _ int, _ *rand.Rand) string {
		return zoneName(int(member{Server: Server{Slot: slot}}.key() >> (keyBits - 1)))
	}}
}

// newFleet makes servers in the first slots, of which the given share of a hundred is missing.
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
		for _, server := range ring.members(Client{Position: position, Count: f.clients}) {
			result[position] = append(result[position], server.Slot)
		}
	}
	return result
}

// without returns the fleet without the server at the index.
func (f fleet) without(index int) fleet {
	f.servers = slices.Delete(slices.Clone(f.servers), index, index+1)
	return f
}

// with returns the fleet with another server in its lowest free slot.
func (f fleet) with(zone string) fleet {
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

// withClients returns the fleet with another count of clients.
func (f fleet) withClients(clients int) fleet {
	f.clients = clients
	return f
}
