package node

import (
	"runtime/debug"

	gossip "sloerail/internal/membership"

	"sloerail/internal/node/config"
)

const (
	baseSockets            = 32 // descriptors for the log, discovery, the runtime and the like
	baseSocketsWhileShared = 18 // for each of two processes that share the node's descriptors: 14 of them are in use
	// heapFraction is the heap's part of the memory limit. Stacks and sockets take the rest.
	heapFraction = 0.75
)

// reservedSockets returns how many descriptors belong neither to the client side nor to the server side.
func reservedSockets(c config.Config) int {
	n := baseSockets
	if c.Control != "" {
		n += adminSockets
	}
	if c.Fleet != nil {
		n += gossip.MaxDescriptors
	}
	return n
}

// reservedSocketsWhileShared is reservedSockets for each of two processes that share the node's descriptors during a hot
// restart. The reserves for brief miscounts and for many connections to the admin server are split between the two.
func reservedSocketsWhileShared(c config.Config) int {
	n := baseSocketsWhileShared
	if c.Control != "" {
		n += adminSockets / 2
	}
	if c.Fleet != nil { // only one of the two is a member of the fleet
		n += gossip.MaxDescriptors / 2
	}
	return n
}

// limitMemory sets the runtime's memory limit for a process that may use the given fraction of the node's memory.
func limitMemory(c config.Config, fraction float64) {
	debug.SetMemoryLimit(int64(fraction * heapFraction * float64(c.MemoryMB) * (1 << 20)))
}
