package subset

import (
	"cmp"
	"math/bits"
	"slices"
)

// circle holds servers in an order in which a run of them, taken from a client's point on, is a subset.
//
// The key of a slot divides the servers by halves of the circle, quarters and so on, as a binary tree does, down to
// cells that hold a few subsets. A cell spaces its servers evenly and mixes their zones. So a change moves servers
// within its own cell, and the cells keep their places while the tree is about in balance, as it is while the slots
// in use are about consecutive. Where it isn't, lengths follow the counts.
type circle struct {
	servers []member
	cells   []cell
}

// member is a server with the number of its zone in the Ring.
type member struct {
	Server
	zone int
}

// cell is a stretch of the circle over which its servers are spaced evenly.
type cell struct {
	start  uint64 // where it begins, in units of 2^-64 of the circle
	length uint64 // in the same units; 0 stands for the whole circle
	first  int    // its first server, as an index into circle.servers
	count  int
}

const (
	// goldenStep is 2^64 divided by the golden ratio: its multiples by consecutive slots are spread with low
	// discrepancy, and so are the multiples by every second slot, every third one and so on.
	goldenStep = 0x9E3779B97F4A7C15

	// subsetsPerCell bounds the servers of a cell, in subset sizes. A larger cell is more even, and moves more
	// clients when one of its servers changes.
	subsetsPerCell = 4

	// evenCellServers is a count of servers that one cell may always hold, for the sake of small subsets.
	evenCellServers = 64

	// Two halves of a stretch whose counts differ by no more than imbalanceServers + count/imbalanceShare get the
	// same length. Beyond that the lengths follow the excess.
	imbalanceServers = 2
	imbalanceShare   = 128

	keyBits = 64
)

// newCircle arranges the servers for runs of the given length. It keeps and reorders the slice.
func newCircle(servers []member, run int) *circle {
	slices.SortFunc(servers, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.key(), b.key()), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.ID, b.ID))
	})
	c := &circle{servers: servers}
	c.divide(0, len(servers), 0, 0, 0, max(evenCellServers, run*subsetsPerCell))
	return c
}

func (m member) key() uint64 {
	return uint64(m.Slot) * goldenStep
}

// divide appends the cells of servers[first:end]: their keys agree in the leading depth bits, and they have the part
// of the circle that begins at start and has the given length.
func (c *circle) divide(first, end, depth int, start, length uint64, largest int) {
	count := end - first
	if count <= largest || depth == keyBits {
		mixZones(c.servers[first:end])
		c.cells = append(c.cells, cell{start: start, length: length, first: first, count: count})
		return
	}
	bit := uint64(1) << (keyBits - 1 - depth)
	lower, _ := slices.BinarySearchFunc(c.servers[first:end], bit, func(m member, bit uint64) int {
		return cmp.Compare(m.key()&bit, bit)
	})
	if lower == 0 || lower == count {
		c.divide(first, end, depth+1, start, length, largest)
		return
	}
	lowerLength := part(length, lowerHalfWeight(lower, count), 2*uint64(count))
	c.divide(first, first+lower, depth+1, start, lowerLength, largest)
	c.divide(first+lower, end, depth+1, start+lowerLength, length-lowerLength, largest)
}

// lowerHalfWeight returns the length of a stretch's left half, in parts of which the stretch has twice its count.
func lowerHalfWeight(lower, count int) uint64 {
	tolerated := imbalanceServers + count/imbalanceShare
	switch imbalance := 2*lower - count; {
	case imbalance > tolerated:
		return uint64(count + imbalance - tolerated)
	case imbalance < -tolerated:
		return uint64(count + imbalance + tolerated)
	default:
		return uint64(count)
	}
}

// part returns length*numerator/denominator for numerator < denominator, where a length of 0 stands for the whole
// circle. Integers keep the result the same on every processor.
func part(length, numerator, denominator uint64) uint64 {
	high, low := bits.Mul64(length, numerator)
	if length == 0 {
		high = numerator
	}
	quotient, _ := bits.Div64(high, low, denominator)
	return quotient
}

// mixZones orders the servers of a cell so that each run of them has each zone in about its share.
func mixZones(servers []member) {
	type ranked struct {
		member
		rank, count int // its rank in the zone's part of the cell, and the servers in that part
	}
	counts := make(map[int]int)
	order := make([]ranked, len(servers))
	for i, server := range servers {
		order[i] = ranked{member: server, rank: counts[server.zone]}
		counts[server.zone]++
	}
	for i := range order {
		order[i].count = counts[order[i].zone]
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		// (2 rank + 1) / (2 count) is the middle of the place of one among count.
		return cmp.Or(cmp.Compare((2*a.rank+1)*b.count, (2*b.rank+1)*a.count), cmp.Compare(a.zone, b.zone))
	})
	for i, entry := range order {
		servers[i] = entry.member
	}
}

// at returns the server that has the point in its place, as an index into circle.servers.
func (c *circle) at(point uint64) int {
	index, found := slices.BinarySearchFunc(c.cells, point, func(each cell, point uint64) int {
		return cmp.Compare(each.start, point)
	})
	if !found {
		index--
	}
	hit := c.cells[index]
	high, low := bits.Mul64(point-hit.start, uint64(hit.count))
	if hit.length == 0 {
		return hit.first + int(high)
	}
	offset, _ := bits.Div64(high, low, hit.length)
	return hit.first + int(offset)
}

// appendRun appends count servers from the index on.
func (c *circle) appendRun(chosen []member, index, count int) []member {
	for i := range count {
		chosen = append(chosen, c.servers[(index+i)%len(c.servers)])
	}
	return chosen
}
