package subset

import "math/bits"

const (
	// clientsPerCell bounds the clients that are spaced evenly over a stretch of the circle, and cellPerLoad does so
	// in times the mean count of a server's clients. More of them make loads more even, and move more clients when one
	// is added.
	clientsPerCell = 64
	cellPerLoad    = 4
)

// clientCell returns how many clients one stretch of the circle may hold, a power of two. Below the highest it follows
// the mean count of a server's clients: loads of a few clients each can't be even, and aren't worth moves.
func clientCell(clients, servers, size int) uint64 {
	high, low := bits.Mul64(uint64(clients), uint64(cellPerLoad*size))
	if high > 0 {
		return clientsPerCell
	}
	limit := min(clientsPerCell, low/uint64(servers))
	if limit < 1 {
		return 1
	}
	return 1 << (bits.Len64(limit) - 1)
}

// clientPoint returns the client's place on the circle, in units of 2^-64 of it. Halves of the circle are told apart
// by the position's lowest bit, quarters by the next one and so on (the van der Corput sequence), down to stretches of
// at most largest clients, which are spaced evenly there.
func clientPoint(client Client, largest uint64) uint64 {
	count, position := uint64(client.Count), uint64(client.Position)
	var depth uint
	clients := count
	for clients > largest {
		depth++
		cells := uint64(1) << depth
		clients = (count - position%cells + cells - 1) / cells
	}
	cells := uint64(1) << depth
	start := bits.Reverse64(position % cells)
	within, _ := bits.Div64(reversedRank(position/cells, clients), 0, clients)
	return start + within>>depth
}

// wrapped returns the client with a Count of at least 1 and a Position from 0 to Count-1.
func (client Client) wrapped() Client {
	client.Count = max(client.Count, 1)
	client.Position %= client.Count
	if client.Position < 0 {
		client.Position += client.Count
	}
	return client
}

// reversedRank returns how many of the numbers below count come before the given one in the order of their reversed
// bits.
func reversedRank(number, count uint64) uint64 {
	reversed := bits.Reverse64(number)
	var rank uint64
	for other := range count {
		if bits.Reverse64(other) < reversed {
			rank++
		}
	}
	return rank
}
