package node

import (
	"runtime/debug"

	gossip "sloerail/internal/membership"

	"sloerail/internal/node/config"
)

const (
	ownSockets            = 32 // descriptors for the log, discovery, the runtime and the like
	ownSocketsWhileShared = 18 // the same while two processes share the node's: 14 are in use
	// heapFraction of the memory limit is the heap's: stacks and sockets take the rest.
	heapFraction = 0.75
)

// reservedSockets is how many descriptors belong to neither side.
func reservedSockets(c config.Config) int {
	n := ownSockets
	if c.Control != "" {
		n += adminSockets
	}
	if c.Fleet != nil {
		n += gossip.MaxDescriptors
	}
	return n
}

// reservedSocketsWhileShared is the same for each of two processes that share the node's descriptors for a while. What is set
// aside for moments when counts are off, and for many callers at the second address, is set aside once.
func reservedSocketsWhileShared(c config.Config) int {
	n := ownSocketsWhileShared
	if c.Control != "" {
		n += adminSockets / 2
	}
	if c.Fleet != nil { // one of the two is the member
		n += gossip.MaxDescriptors / 2
	}
	return n
}

// limitMemory sets the part of the memory limit that this process may use.
func limitMemory(c config.Config, part float64) {
	debug.SetMemoryLimit(int64(part * heapFraction * float64(c.MemoryMB) * (1 << 20)))
}
