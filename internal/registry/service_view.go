package registry

import (
	"sync"

	"sloerail/internal/subset"
)

// maxCachedRings bounds the rings cached in a view, because callers choose the subset sizes and the revisions.
const maxCachedRings = 8

// serviceView is a service at one revision. Any goroutine may use it without the store's lock: its endpoints and servers
// never change, and mu guards the rings.
type serviceView struct {
	endpoints []Endpoint // by ascending slot
	servers   subsetServers
	byID      func() map[string]Endpoint

	mu    sync.Mutex
	rings map[ringsKey]*subsetRings
}

// currentView returns the view of a service at the current revision. The caller holds the store's lock.
func (index *serviceIndex) currentView(instances map[string]Instance) *serviceView {
	if index.view != nil {
		return index.view
	}
	view := new(serviceView)
	for slot, id := range index.slots.ids {
		if id == "" {
			continue
		}
		endpoint := instances[id].Endpoint
		view.endpoints = append(view.endpoints, endpoint)
		view.servers.add(subset.Server{ID: id, Zone: endpoint.Zone, Slot: slot}, endpoint.Phase)
	}
	view.byID = sync.OnceValue(func() map[string]Endpoint {
		byID := make(map[string]Endpoint, len(view.endpoints))
		for _, endpoint := range view.endpoints {
			byID[endpoint.ID] = endpoint
		}
		return byID
	})
	index.view = view
	return view
}

// ringsKey identifies rings by subset size, and by whether they hold the current servers or those before a change.
type ringsKey struct {
	subsetSize  int
	firstChange int64 // revision of the change; 0 for the current servers
}

// currentRings returns the rings of the current servers.
func (v *serviceView) currentRings(subsetSize int) *subsetRings {
	return v.cachedRings(ringsKey{subsetSize: subsetSize}, func() subsetServers { return v.servers })
}

// previousRings returns the rings of the servers as they were before the given changes. All watchers that lack the same
// changes share the rings.
func (v *serviceView) previousRings(subsetSize int, changes []change, previous func() subsetServers) *subsetRings {
	return v.cachedRings(ringsKey{subsetSize: subsetSize, firstChange: changes[0].Revision}, previous)
}

func (v *serviceView) cachedRings(key ringsKey, servers func() subsetServers) *subsetRings {
	v.mu.Lock()
	defer v.mu.Unlock()
	if cached := v.rings[key]; cached != nil {
		return cached
	}
	if v.rings == nil || len(v.rings) >= maxCachedRings {
		v.rings = make(map[ringsKey]*subsetRings)
	}
	rings := newSubsetRings(servers(), key.subsetSize)
	v.rings[key] = rings
	return rings
}

// subsetServers holds the servers from which subsets are chosen.
type subsetServers struct {
	all    []subset.Server
	active []subset.Server // not draining
}

func (s *subsetServers) add(server subset.Server, phase string) {
	s.all = append(s.all, server)
	if phase == PhaseUp {
		s.active = append(s.active, server)
	}
}

// subsetRings chooses subsets of one size.
type subsetRings struct {
	all    *subset.Ring
	active *subset.Ring // nil while no server is draining
}

func newSubsetRings(servers subsetServers, subsetSize int) *subsetRings {
	rings := &subsetRings{all: subset.NewRing(servers.all, subsetSize)}
	if len(servers.active) < len(servers.all) {
		rings.active = subset.NewRing(servers.active, subsetSize)
	}
	return rings
}

// choose returns the IDs of a client's servers. While some servers are draining, the result is the union of a subset of
// all servers and a subset of the active ones. The client thus sees the drain, and has a replacement before the draining
// server is removed.
func (r *subsetRings) choose(client subset.Client) map[string]bool {
	chosen := make(map[string]bool)
	for _, id := range r.all.Choose(client) {
		chosen[id] = true
	}
	if r.active != nil {
		for _, id := range r.active.Choose(client) {
			chosen[id] = true
		}
	}
	return chosen
}
