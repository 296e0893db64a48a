package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"sloerail/internal/subset"
)

// fullListRevision is the revision to pass for a full list.
const fullListRevision = -1

// UnknownServicesError is a scope of which nothing is known: neither instances nor changes in the history.
type UnknownServicesError struct{ Services []string }

func (e *UnknownServicesError) Error() string {
	return "service: unknown: " + strings.Join(e.Services, ", ")
}

// scopedView is what a scoped list is computed from. It shares nothing with the store that changes, so that the list
// is computed without the store's lock.
type scopedView struct {
	scope    *Scope
	revision int64
	complete bool // the list will have all of the scope, not the changes
	unknown  []string
	services []scopedService
}

// scopedService is one service of a scopedView.
type scopedService struct {
	name    string
	current *serviceView
	changes []change // since the watcher's revision; unused in a complete view
}

// scoped collects what a scoped list since a revision is computed from. The list will be complete for a revision that
// is negative, in the future, of another epoch, or from which the history can't be resumed. If all services of the
// scope are unknown the error is *UnknownServicesError.
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

// needsFullScope reports whether a watcher at a revision can't be resumed by changes alone.
func (s *Store) needsFullScope(scope *Scope, since int64) bool {
	if since < 0 || since > s.revision || epochOf(since) != s.Epoch() {
		return true
	}
	if since >= s.history.compactedRevision {
		return false
	}
	// Changes of other services may be compacted without harm. Those of an unknown service may have been its last.
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
		// One that is in both changed its service, and is in scope by the other service.
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

// addAll adds the endpoints in scope.
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

// addChanges adds the endpoints that changed in the scope or entered it, and those that left it. An endpoint may leave
// a subset though it is still up.
func (s scopedService) addChanges(scope *Scope, inScope, removed map[string]Endpoint) {
	newest := newestEndpoints(s.changes)
	current := s.current.byID()
	// Where a subset takes the whole service, as it is and as it was, there is nothing to choose.
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
	changed := make(map[string]*Placement) // before the first change of each
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
