package registry

import "container/heap"

// slotTable assigns a slot to each instance of a service. A slot is a number that is unique within the service. An
// instance gets the lowest free slot, so that a replacement takes the slot of the instance that it replaces, unless a
// lower one is free.
type slotTable struct {
	ids  []string // by slot; empty where the slot is free
	free slotHeap // free slots
}

// allocate assigns the lowest free slot to an instance.
func (t *slotTable) allocate(id string) (slot int) {
	if t.free.Len() == 0 {
		t.ids = append(t.ids, id)
		return len(t.ids) - 1
	}
	slot = heap.Pop(&t.free).(int)
	t.ids[slot] = id
	return slot
}

func (t *slotTable) release(slot int) {
	t.ids[slot] = ""
	heap.Push(&t.free, slot)
}

// restore assigns an instance the slot that it had when a snapshot was written. It returns the ID of the instance that
// already had that slot, or "". Call rebuildFree after the last restore.
func (t *slotTable) restore(id string, slot int) (other string) {
	if missing := slot + 1 - len(t.ids); missing > 0 {
		t.ids = append(t.ids, make([]string, missing)...)
	}
	other = t.ids[slot]
	t.ids[slot] = id
	return other
}

// rebuildFree rebuilds the heap of free slots.
func (t *slotTable) rebuildFree() {
	t.free = nil
	for slot, id := range t.ids {
		if id == "" {
			t.free = append(t.free, slot) // in ascending order, which is a heap
		}
	}
}

func (t *slotTable) empty() bool { return t.free.Len() == len(t.ids) }

// slotHeap implements heap.Interface with the lowest slot first.
type slotHeap []int

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(slot any)     { *h = append(*h, slot.(int)) }

// Pop removes the last element.
func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	slot := (*h)[last]
	*h = (*h)[:last]
	return slot
}
