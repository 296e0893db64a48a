package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"sloerail/internal/subset"
)

// fullListRevision, passed as a revision, requests the full list.
const fullListRevision = -1

// UnknownServicesError reports that no service of a scope has any instances or any changes in the history.
type UnknownServicesError struct{ Services []string }

func (e *UnknownServicesError) Error() string {
	return "service: unknown: " + strings.Join(e.Services, ", ")
}

// scopedView holds the input of a scoped list. It shares no mutable state with the store, so that the list can be
// computed without the store's lock.
type scopedView struct {
	scope    *Scope
	revision int64
	complete bool // the list will hold the whole scope instead of the changes
	unknown  []string
	services []scopedService
}

// scopedService is one service of a scopedView.
type scopedService struct {
	name    string
	current *serviceView
	changes []change // since the watcher's revision; unused in a complete view
}

// newScopedView collects the input of a scoped list since a revision. The list will be complete if the revision is
// negative, in the future or of another epoch, or if the history may lack changes of the scope after that revision. If
// all services of the scope are unknown, the error is *UnknownServicesError.
func (s *Store) newScopedView(scope *Scope, since int64) (*scopedView, error) {
	view := &scopedView{scope: scope, revision: s.revision}
	for _, name := range scope.Services {
		if s.services[name] == nil {
			view.unknown = append(view.unknown, name)
		}
	}
	if len(view.unknown) == len(scope.Services) {
		return nil, &UnknownServicesError{Services: view.unknown}
	}
	view.complete = s.needsFullScope(scope, since)
	for _, name := range scope.Services {
		index := s.services[name]
		if index == nil || !view.complete && index.lastChange <= since {
			continue
		}
		service := scopedService{name: name, current: index.currentView(s.instances)}
		if !view.complete {
			service.changes = changesSince(index.changes, since)
		}
		view.services = append(view.services, service)
	}
	return view, nil
}

// needsFullScope reports whether a watcher at a revision needs the whole scope, because changes alone don't suffice.
func (s *Store) needsFullScope(scope *Scope, since int64) bool {
	if since < 0 || since > s.revision || epochOf(since) != s.Epoch() {
		return true
	}
	if since >= s.history.compactedRevision {
		return false
	}
	// Compacted changes of services outside the scope don't matter. If a service of the scope is unknown now, compacted
	// changes may have removed its last instances.
	return slices.ContainsFunc(scope.Services, func(name string) bool {
		index := s.services[name]
		return index == nil || index.lastChange > since
	})
}

// list computes the list; changed is false if nothing in the scope changed.
func (v *scopedView) list() (list EndpointList, changed bool) {
	inScope, removed := make(map[string]Endpoint), make(map[string]Endpoint)
	for _, service := range v.services {
		if v.complete {
			service.addAll(v.scope, inScope)
		} else {
			service.addChanges(v.scope, inScope, removed)
		}
	}
	for id, endpoint := range removed {
		// An endpoint in both maps moved to another service of the scope.
		if _, ok := inScope[id]; !ok {
			endpoint.Phase = PhaseRemoved
			inScope[id] = endpoint
		}
	}
	list = EndpointList{Revision: v.revision, Complete: v.complete,
		Endpoints: slices.AppendSeq([]Endpoint{}, maps.Values(inScope))}
	slices.SortFunc(list.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list, v.complete || len(inScope) > 0
}

// addAll adds all endpoints in scope.
func (s scopedService) addAll(scope *Scope, inScope map[string]Endpoint) {
	if scope.SubsetSize == 0 {
		for _, endpoint := range s.current.endpoints {
			inScope[endpoint.ID] = endpoint
		}
		return
	}
	for id := range s.current.currentRings(scope.SubsetSize).choose(scope.Client) {
		inScope[id] = s.current.byID()[id]
	}
}

// addChanges adds to inScope the endpoints that changed in the scope or entered it, and to removed those that left it.
// An endpoint may leave a subset while it is still up.
func (s scopedService) addChanges(scope *Scope, inScope, removed map[string]Endpoint) {
	newest := newestEndpoints(s.changes)
	current := s.current.byID()
	// If the subset includes the whole service, both now and before the changes, there is nothing to choose.
	if scope.SubsetSize == 0 || len(current)+len(newest) <= scope.SubsetSize {
		for id, endpoint := range newest {
			if now, exists := current[id]; exists {
				inScope[id] = now
			} else {
				removed[id] = endpoint
			}
		}
		return
	}
	after := s.current.currentRings(scope.SubsetSize).choose(scope.Client)
	before := s.current.previousRings(scope.SubsetSize, s.changes, s.previousServers).choose(scope.Client)
	for id := range after {
		if _, changed := newest[id]; changed || !before[id] {
			inScope[id] = current[id]
		}
	}
	for id := range before {
		if after[id] {
			continue
		}
		endpoint, exists := current[id]
		if !exists {
			endpoint = newest[id]
		}
		removed[id] = endpoint
	}
}

// previousServers returns the servers as they were before the changes.
func (s scopedService) previousServers() subsetServers {
	changed := make(map[string]*Placement) // placement before the first change of each endpoint
	for _, c := range s.changes {
		if _, seen := changed[c.Endpoint.ID]; !seen {
			changed[c.Endpoint.ID] = c.Previous
		}
	}
	var servers subsetServers
	for i, server := range s.current.servers.all {
		if _, ok := changed[server.ID]; !ok {
			servers.add(server, s.current.endpoints[i].Phase)
		}
	}
	for id, previous := range changed {
		if previous != nil && previous.Service == s.name {
			servers.add(subset.Server{ID: id, Zone: previous.Zone, Slot: previous.Slot}, previous.Phase)
		}
	}
	bySlot := func(a, b subset.Server) int { return cmp.Compare(a.Slot, b.Slot) }
	slices.SortFunc(servers.all, bySlot)
	slices.SortFunc(servers.active, bySlot)
	return servers
}
