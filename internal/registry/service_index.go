package registry

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"sync"

	"sloerail/internal/subset"
)

// Placement is what an instance's part in scoped lists follows from.
type Placement struct {
	Service  string `cbor:"1,keyasint,omitempty"`
	Locality string `cbor:"2,keyasint,omitempty"`
	Phase    string `cbor:"3,keyasint,omitempty"`
	Slot     int    `cbor:"4,keyasint,omitempty"`
}

func (i Instance) placement() *Placement {
	return &Placement{Service: i.Endpoint.Service, Locality: i.Endpoint.Zone, Phase: i.Endpoint.Phase, Slot: i.Slot}
}

// services is an index of the state by service. It is derived from the image: a snapshot doesn't hold it.
type services map[string]*serviceIndex

// serviceIndex holds the slots of one service and its part of the history.
type serviceIndex struct {
	ids     []string // by slot; empty where the slot is free
	free    slotHeap // the free slots among them
	changes []change // those of the history that touch the service, oldest first; elements are never overwritten
	changed int64    // the last revision that touched the service, or a later one
	view    *serviceView
}

// slotHeap is a heap of slots, the lowest first.
type slotHeap []int

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(slot any)     { *h = append(*h, slot.(int)) }

// Pop removes the last element, as container/heap wants it.
func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	slot := (*h)[last]
	*h = (*h)[:last]
	return slot
}

// take gives the lowest free slot of a service to an instance. Instances without a service have no slot.
func (s services) take(service, id string) int {
	if service == "" {
		return 0
	}
	index := s[service]
	if index == nil {
		index = new(serviceIndex)
		s[service] = index
	}
	if index.free.Len() == 0 {
		index.ids = append(index.ids, id)
		return len(index.ids) - 1
	}
	slot := heap.Pop(&index.free).(int)
	index.ids[slot] = id
	return slot
}

// release frees the slot of an instance that leaves its service.
func (s services) release(service string, slot int) {
	if service == "" {
		return
	}
	index := s[service]
	index.ids[slot] = ""
	heap.Push(&index.free, slot)
}

// note enters a change into the services that it touches.
func (s services) note(c change) {
	for _, service := range c.touchedServices() {
		index := s[service]
		index.changes = append(index.changes, c)
		index.changed = c.Revision
		index.view = nil
	}
}

// forget drops the changes up to a revision, which the history has dropped. A service with neither instances nor
// changes is unknown from then on.
func (s services) forget(dropped []change, floor int64) {
	for _, c := range dropped {
		for _, service := range c.touchedServices() {
			index := s[service]
			if index == nil {
				continue
			}
			if kept := changesAfter(index.changes, floor); len(kept) < len(index.changes) {
				index.changes = slices.Clone(kept)
			}
			if len(index.changes) == 0 && index.free.Len() == len(index.ids) {
				delete(s, service)
			}
		}
	}
}

// newServices makes the index of an image that was read.
func newServices(from snapshotImage) (services, error) {
	all := make(services)
	for id, instance := range from.Instances {
		service, slot := instance.Endpoint.Service, instance.Slot
		if service == "" {
			continue
		}
		if slot < 0 || slot >= maxInstances {
			return nil, fmt.Errorf("instance %q: slot %d is out of range", id, slot)
		}
		index := all[service]
		if index == nil {
			index = &serviceIndex{changed: from.CompactedRevision}
			all[service] = index
		}
		if missing := slot + 1 - len(index.ids); missing > 0 {
			index.ids = append(index.ids, make([]string, missing)...)
		}
		if other := index.ids[slot]; other != "" {
			return nil, fmt.Errorf("instances %q and %q: both have slot %d of %q", min(id, other), max(id, other), slot, service)
		}
		index.ids[slot] = id
		index.changed = max(index.changed, instance.Version)
	}
	for _, index := range all {
		for slot, id := range index.ids {
			if id == "" {
				index.free = append(index.free, slot) // in rising order, which is a heap
			}
		}
	}
	for _, c := range from.History {
		for _, service := range c.touchedServices() {
			if all[service] == nil {
				all[service] = &serviceIndex{changed: from.CompactedRevision}
			}
		}
		all.note(c)
	}
	return all, nil
}

// serviceView is a service at one revision. It is shared by all who ask, and its servers never change.
type serviceView struct {
	entries []Endpoint // in the order of slots
	servers candidates
	byID    func() map[string]Endpoint

	mu    sync.Mutex
	rings map[ringsKey]*rings
}

// ringsKey says what rings are for: subsets of a size, of the servers as they are or as they were before a change.
type ringsKey struct {
	size   int
	before int64 // the revision of the change; 0 for the servers as they are
}

// mostRings are kept with a view: callers choose the sizes and where they begin.
const mostRings = 8

// ringsNow are the rings of the servers as they are.
func (v *serviceView) ringsNow(size int) *rings {
	return v.keep(ringsKey{size: size}, func() candidates { return v.servers })
}

// ringsBefore are the rings of the servers as they were before some changes. Callers whose newest revision is after
// the last change before them share these.
func (v *serviceView) ringsBefore(size int, changes []change, former func() candidates) *rings {
	return v.keep(ringsKey{size: size, before: changes[0].Revision}, former)
}

// keep makes rings once for all who ask for them.
func (v *serviceView) keep(key ringsKey, from func() candidates) *rings {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.rings[key]; r != nil {
		return r
	}
	if v.rings == nil || len(v.rings) >= mostRings {
		v.rings = make(map[ringsKey]*rings)
	}
	r := newRings(from(), key.size)
	v.rings[key] = r
	return r
}

// candidates are the servers that a subset is chosen from.
type candidates struct {
	all     []subset.Server
	running []subset.Server // without those that drain
}

func (c *candidates) add(server subset.Server, phase string) {
	c.all = append(c.all, server)
	if phase == PhaseUp {
		c.running = append(c.running, server)
	}
}

// rings are indexes of candidates for subsets of one size.
type rings struct {
	all     *subset.Ring
	running *subset.Ring // nil while no server drains
}

func newRings(from candidates, size int) *rings {
	r := &rings{all: subset.NewRing(from.all, size)}
	if len(from.running) < len(from.all) {
		r.running = subset.NewRing(from.running, size)
	}
	return r
}

// choose returns a client's servers. While some drain they are a subset of all joined with a subset of those that
// don't: the drain is told, and what takes the place of a draining server is there before that one has gone.
func (r *rings) choose(client subset.Client) map[string]bool {
	chosen := make(map[string]bool)
	for _, id := range r.all.Choose(client) {
		chosen[id] = true
	}
	if r.running != nil {
		for _, id := range r.running.Choose(client) {
			chosen[id] = true
		}
	}
	return chosen
}

// current is the view of a service now.
func (index *serviceIndex) current(instances map[string]Instance) *serviceView {
	if index.view != nil {
		return index.view
	}
	view := new(serviceView)
	for slot, id := range index.ids {
		if id == "" {
			continue
		}
		entry := instances[id].Endpoint
		view.entries = append(view.entries, entry)
		view.servers.add(subset.Server{ID: id, Zone: entry.Zone, Slot: slot}, entry.Phase)
	}
	view.byID = sync.OnceValue(func() map[string]Endpoint {
		byID := make(map[string]Endpoint, len(view.entries))
		for _, entry := range view.entries {
			byID[entry.ID] = entry
		}
		return byID
	})
	index.view = view
	return view
}

// changesAfter are those of some changes, oldest first, that came after a revision.
func changesAfter(changes []change, revision int64) []change {
	at, _ := slices.BinarySearchFunc(changes, revision+1, func(c change, revision int64) int {
		return cmp.Compare(c.Revision, revision)
	})
	return changes[at:]
}
