package node

import (
	"sync/atomic"
	"testing"

	"sloerail/internal/node/config"
)

// Guards against two processes of a node that exceed its memory because nothing was left for the list of the second one:
// however much the first one holds for clients, both can hold their list, and clients get a part of the rest only.
func TestShareLeavesMemoryForTheList(t *testing.T) {
	for _, memoryMB := range []int64{32, 64, 192} {
		for _, servers := range []int64{0, 200, 800, 3200} {
			for _, held := range []int64{0, 1 << 20, 64 << 20} {
				c := config.Config{MemoryMB: memoryMB}
				var listed atomic.Int64
				listed.Store(servers)
				m := newMemoryLimits(c, &listed)
				m.clients.Add(held)
				left := m.share(c)
				total := heapBytes(c, 2)
				if own := m.heap.Load(); own+left != total || own < total/2 && own < idleHeapBytes+servers*endpointHeapBytes {
					t.Errorf("%d MB, %d servers, %d bytes held: got %d bytes for this process and %d for the next, want %d in all", memoryMB,
						servers, held, own, left, total)
				}
				if wanted := min(total/2, minHeapBytes+servers*endpointHeapBytes); left < wanted {
					t.Errorf("%d MB, %d servers, %d bytes held: got %d bytes for the next process, want at least %d", memoryMB, servers, held,
						left, wanted)
				}
				if limit := m.clients.Limit(); limit > max(minClientBytes, m.heap.Load()-servers*endpointHeapBytes) {
					t.Errorf("%d MB, %d servers, %d bytes held: got a limit of %d for clients, want no more than the list leaves", memoryMB,
						servers, held, limit)
				}
			}
		}
	}
}
