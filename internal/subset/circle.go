package subset

import (
	"cmp"
	"math/bits"
	"slices"
)

// circle holds servers in such an order that each run of consecutive servers, starting at a client's point, is a subset.
//
// Each slot has a key: see member.key. The bits of the keys divide the servers into halves of the circle, quarters and so
// on, like a binary tree, down to cells that hold a few subsets. A cell spaces its servers evenly and interleaves their
// zones, so a change of a server moves servers only within its cell. The cells stay in place while the tree is roughly
// balanced, that is, while the slots in use are roughly consecutive. Where the tree is unbalanced, the lengths of the
// halves follow their numbers of servers.
type circle struct {
	servers []member
	cells   []cell
}

// member is a server with the index of its zone in Ring.zoneCounts.
type member struct {
	Server
	zone int
}

// cell is an arc of the circle whose servers are spaced evenly: each has an interval of the same length.
type cell struct {
	start  uint64 // in units of 2^-64 of the circle
	length uint64 // in the same units; 0 means the whole circle
	first  int    // index of its first server in circle.servers
	count  int
}

const (
	// goldenRatioStep is 2^64 divided by the golden ratio. Its multiples by consecutive slots are spread with low
	// discrepancy, and so are its multiples by every second slot, every third slot and so on.
	goldenRatioStep = 0x9E3779B97F4A7C15

	// maxSubsetsPerCell limits the servers of a cell to this many subset sizes. Larger cells spread the load more evenly,
	// but move more clients when one of their servers changes.
	maxSubsetsPerCell = 4

	// minCellLimit is the number of servers that a cell may hold however small the subsets are.
	minCellLimit = 64

	// The halves of an arc with count servers get the same length if their counts differ by at most
	// toleratedImbalance + count/imbalanceDivisor. Beyond that, the lengths follow the excess.
	toleratedImbalance = 2
	imbalanceDivisor   = 128

	keyBits = 64
)

// newCircle arranges the servers for runs of runLength servers. It takes over the slice and reorders it.
func newCircle(servers []member, runLength int) *circle {
	slices.SortFunc(servers, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.key(), b.key()), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.ID, b.ID))
	})
	c := &circle{servers: servers}
	c.divide(0, len(servers), 0, 0, 0, max(minCellLimit, runLength*maxSubsetsPerCell))
	return c
}

func (m member) key() uint64 {
	return uint64(m.Slot) * goldenRatioStep
}

// divide appends the cells of servers[first:end], whose keys agree in the leading depth bits. They occupy the arc from
// start with the given length.
func (c *circle) divide(first, end, depth int, start, length uint64, maxCellSize int) {
	count := end - first
	if count <= maxCellSize || depth == keyBits {
		interleaveZones(c.servers[first:end])
		c.cells = append(c.cells, cell{start: start, length: length, first: first, count: count})
		return
	}
	bit := uint64(1) << (keyBits - 1 - depth)
	lower, _ := slices.BinarySearchFunc(c.servers[first:end], bit, func(m member, bit uint64) int {
		return cmp.Compare(m.key()&bit, bit)
	})
	if lower == 0 || lower == count {
		c.divide(first, end, depth+1, start, length, maxCellSize)
		return
	}
	lowerLength := mulDiv(length, lowerHalfWeight(lower, count), 2*uint64(count))
	c.divide(first, first+lower, depth+1, start, lowerLength, maxCellSize)
	c.divide(first+lower, end, depth+1, start+lowerLength, length-lowerLength, maxCellSize)
}

// lowerHalfWeight returns the length of the lower half of an arc, in units of 1/(2*count) of the arc's length. The arc
// holds count servers; lower is the number of them in its lower half.
func lowerHalfWeight(lower, count int) uint64 {
	tolerated := toleratedImbalance + count/imbalanceDivisor
	switch imbalance := 2*lower - count; {
	case imbalance > tolerated:
		return uint64(count + imbalance - tolerated)
	case imbalance < -tolerated:
		return uint64(count + imbalance + tolerated)
	default:
		return uint64(count)
	}
}

// mulDiv returns length*numerator/denominator for numerator < denominator, where a length of 0 means the whole circle. It
// uses integers, so that the result is the same on every processor.
func mulDiv(length, numerator, denominator uint64) uint64 {
	high, low := bits.Mul64(length, numerator)
	if length == 0 {
		high = numerator
	}
	quotient, _ := bits.Div64(high, low, denominator)
	return quotient
}

// interleaveZones orders the servers of a cell so that each run contains every zone in roughly its share.
func interleaveZones(servers []member) {
	type ranked struct {
		member
		rank, count int // rank among the cell's servers of the same zone, and the number of those servers
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
		// (2*rank + 1) / (2*count) is the middle of the interval of a rank among count.
		return cmp.Or(cmp.Compare((2*a.rank+1)*b.count, (2*b.rank+1)*a.count), cmp.Compare(a.zone, b.zone))
	})
	for i, entry := range order {
		servers[i] = entry.member
	}
}

// serverAt returns the index in circle.servers of the server whose interval contains the point.
func (c *circle) serverAt(point uint64) int {
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

// appendRun appends count consecutive servers, starting at index.
func (c *circle) appendRun(chosen []member, index, count int) []member {
	for i := range count {
		chosen = append(chosen, c.servers[(index+i)%len(c.servers)])
	}
	return chosen
}
