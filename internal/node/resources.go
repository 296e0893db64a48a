package node

import (
	"log/slog"
	"runtime/debug"
	"sync/atomic"

	gossip "sloerail/internal/membership"

	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/memory"
)

const (
	baseSockets            = 32 // descriptors for the log, discovery, the runtime and the like
	baseSocketsWhileShared = 18 // for each of two processes that share the node's descriptors: 14 of them are in use

	// programBytes is what the pages of the program and the runtime's own data take, and secondProgramBytes what those of a
	// second process of the node add, most of whose pages are shared.
	programBytes       = 13 << 20
	secondProgramBytes = 4 << 20
	// maxHeapFraction bounds the part of the memory limit that goes to the heaps and stacks of the node's processes. Small
	// limits leave less, by programBytes.
	maxHeapFraction = 0.75
	minHeapBytes    = 4 << 20 // of one process
	minClientBytes  = 1 << 20 // held for clients, however little the list leaves
	// clientFraction is the part of a process's heap limit that may be held for clients. The rest is for the balancer, the
	// list, and garbage.
	clientFraction = 0.5
	// idleHeapBytes is the heap of a process that holds nothing for clients, with its garbage. What may be held for clients
	// leaves as much to a second process, or else the node could not hand over.
	idleHeapBytes = 5 << 20
	// endpointHeapBytes is what a process holds for each server of the list.
	endpointHeapBytes = 1100
	// heapStep is the least change of a process's heap limit while it shares the memory: each change stops the process.
	heapStep = 1 << 20
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

// heapBytes returns how many bytes of heap a number of processes of the node may use together.
func heapBytes(c config.Config, processes int) int64 {
	total := c.MemoryMB << 20
	left := total - programBytes - int64(processes-1)*secondProgramBytes
	return max(int64(processes)*minHeapBytes, min(left, int64(maxHeapFraction*float64(total))))
}

// memoryLimits holds the memory limits of this process.
type memoryLimits struct {
	clients    *memory.Budget
	maxClients int64         // limit of clients
	listed     *atomic.Int64 // servers in the list
	heap       atomic.Int64
}

// newMemoryLimits returns the limits of a process that serves alone. listed counts the servers in the list.
func newMemoryLimits(c config.Config, listed *atomic.Int64) *memoryLimits {
	m := &memoryLimits{clients: new(memory.Budget), listed: listed,
		maxClients: max(minHeapBytes/2, heapBytes(c, 2)-2*idleHeapBytes)}
	if needed := 2 * (idleHeapBytes + m.listBytes()); needed > heapBytes(c, 2) {
		slog.Warn("memory: the list leaves too little for a second process, a replacement sheds load and may exceed the limit",
			"servers", listed.Load(), "memory_mb", c.MemoryMB, "needed_mb", (needed+programBytes+secondProgramBytes)>>20)
	}
	m.set(heapBytes(c, 1))
	return m
}

// listBytes returns what this process holds for the list.
func (m *memoryLimits) listBytes() int64 { return m.listed.Load() * endpointHeapBytes }

// set sets how many bytes of heap this process may use. Clients get a part of what the list leaves.
func (m *memoryLimits) set(heap int64) {
	if m.heap.Swap(heap) == heap {
		return
	}
	left := max(minClientBytes, int64(clientFraction*float64(heap-m.listBytes())))
	m.clients.SetLimit(min(m.maxClients, left))
	debug.SetMemoryLimit(heap)
}

// maxConnections returns how many client connections the memory permits.
func (m *memoryLimits) maxConnections() int { return downstream.MaxConnections(m.clients.Limit()) }

// share limits this process to half of the node's heap, or to what it needs for what it holds, while it has a successor. It
// returns how many bytes are left for the successor, which needs as much for the list.
func (m *memoryLimits) share(c config.Config) (left int64) {
	total := heapBytes(c, 2)
	needed := idleHeapBytes + m.listBytes() + m.clients.Held()
	needed += heapStep - needed%heapStep
	own := max(total/2, min(needed, total-minHeapBytes-m.listBytes()))
	m.set(own)
	return total - own
}
