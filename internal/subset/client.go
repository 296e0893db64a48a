package subset

import "math/bits"

const (
	// A client cell is an arc of the circle on which clients are spaced evenly. It holds at most maxClientsPerCell clients,
	// and at most maxCellToLoadRatio times the mean number of clients per server. Larger cells make loads more even, but
	// move more clients when one is added.
	maxClientsPerCell  = 64
	maxCellToLoadRatio = 4
)

// clientCellSize returns the maximum number of clients in a client cell: a power of two, at least 1. Below
// maxClientsPerCell it is roughly proportional to the mean number of clients per server, because with few clients per
// server loads can't be even, and larger cells aren't worth the moves.
func clientCellSize(clients, servers, size int) uint64 {
	high, low := bits.Mul64(uint64(clients), uint64(maxCellToLoadRatio*size))
	if high > 0 {
		return maxClientsPerCell
	}
	limit := min(maxClientsPerCell, low/uint64(servers))
	if limit < 1 {
		return 1
	}
	return 1 << (bits.Len64(limit) - 1)
}

// clientPoint returns the client's point on the circle, in units of 2^-64 of the circle. The lowest bit of the position
// selects the half of the circle, the next bit the quarter and so on (the van der Corput sequence), down to client
// cells of at most maxCellSize clients. Within a client cell, the clients are spaced evenly. The client must be
// normalized.
func clientPoint(client Client, maxCellSize uint64) uint64 {
	count, position := uint64(client.Count), uint64(client.Position)
	var depth uint
	clients := count
	for clients > maxCellSize {
		depth++
		cells := uint64(1) << depth
		clients = (count - position%cells + cells - 1) / cells
	}
	cells := uint64(1) << depth
	start := bits.Reverse64(position % cells)
	within, _ := bits.Div64(bitReversedRank(position/cells, clients), 0, clients)
	return start + within>>depth
}

// normalized returns the client with Count raised to at least 1 and Position reduced to 0 to Count-1.
func (client Client) normalized() Client {
	client.Count = max(client.Count, 1)
	client.Position %= client.Count
	if client.Position < 0 {
		client.Position += client.Count
	}
	return client
}

// bitReversedRank returns how many of the numbers below count come before the given number when ordered by their reversed
// bits.
func bitReversedRank(number, count uint64) uint64 {
	reversed := bits.Reverse64(number)
	var rank uint64
	for other := range count {
		if bits.Reverse64(other) < reversed {
			rank++
		}
	}
	return rank
}
