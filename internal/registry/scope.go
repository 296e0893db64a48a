package registry

import (
	"cmp"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"sloerail/internal/subset"
)

// Bounds on what a call may ask for.
const (
	maxScopeServices = 256     // services in one scope
	maxSubsetClients = 100_000 // among which a service is divided
)

// Scope is the part of the list that a node needs: some services and, where Size is above 0, of each of them the
// subset that the node connects to.
type Scope struct {
	Services   []string // sorted, each once
	SubsetSize int
	Client     subset.Client
}

// checkService says why a name can't be a service's.
func checkService(name string) error {
	if name == "" || len(name) > maxFieldBytes {
		return fmt.Errorf("service: want 1 to %d bytes, got %d", maxFieldBytes, len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == ',' {
			return fmt.Errorf("service: want printable ASCII with no space and no comma, got %q", name)
		}
	}
	return nil
}

// parseScope reads the scope of a call. It is nil for the whole list, which no parameter of a scope asks for.
func parseScope(query url.Values) (*Scope, error) {
	if !query.Has("service") {
		for _, name := range []string{"subset", "position", "nodes", "zone"} {
			if query.Has(name) {
				return nil, fmt.Errorf("%s: wants a service beside it", name)
			}
		}
		return nil, nil
	}
	var names []string
	for _, value := range query["service"] {
		for name := range strings.SplitSeq(value, ",") {
			if err := checkService(name); err != nil {
				return nil, err
			}
			names = append(names, name)
		}
	}
	slices.Sort(names)
	scope := &Scope{Services: slices.Compact(names)}
	if len(scope.Services) > maxScopeServices {
		return nil, fmt.Errorf("service: want %d names at most, got %d", maxScopeServices, len(scope.Services))
	}
	return scope, scope.parseSubset(query)
}

// parseSubset reads which part of each service the caller connects to.
func (scope *Scope) parseSubset(query url.Values) error {
	if !query.Has("subset") {
		for _, name := range []string{"position", "nodes", "zone"} {
			if query.Has(name) {
				return fmt.Errorf("%s: wants a subset beside it", name)
			}
		}
		return nil
	}
	var err error
	if scope.SubsetSize, err = within(query, "subset", 1, maxInstances); err != nil {
		return err
	}
	if scope.Client.Count, err = within(query, "nodes", 1, maxSubsetClients); err != nil {
		return err
	}
	if scope.Client.Position, err = within(query, "position", 0, scope.Client.Count-1); err != nil {
		return err
	}
	if scope.Client.Zone = query.Get("zone"); len(scope.Client.Zone) > maxFieldBytes {
		return fmt.Errorf("zone: over %d bytes", maxFieldBytes)
	}
	return nil
}

// within reads a parameter that is a whole number between two bounds.
func within(query url.Values, name string, least, most int) (int, error) {
	n, err := strconv.Atoi(query.Get(name))
	if err != nil || n < least || n > most {
		return 0, fmt.Errorf("%s: want a whole number from %d to %d, got %.40q", name, least, most, query.Get(name))
	}
	return n, nil
}

// UnknownServicesError is a scope of which nothing is known: neither instances nor changes that are kept.
type UnknownServicesError struct{ Services []string }

func (e UnknownServicesError) Error() string {
	return "service: unknown: " + strings.Join(e.Services, ", ")
}

// scopedView is what a scoped list is made of. It shares nothing with the state that changes, so that the list is
// made without holding the state up.
type scopedView struct {
	scope    *Scope
	revision int64
	epoch    int64
	complete bool
	unknown  []string
	parts    []servicePart
}

// servicePart is one service of a scopedView.
type servicePart struct {
	name    string
	now     *serviceView
	changes []change // since the watcher's revision
}

// scoped gathers a scope as it is now, with what changed after a revision. Below 0, at a revision that never was
// and where the history doesn't reach back, the list is whole.
func (s *Store) scoped(scope *Scope, since int64) (*scopedView, error) {
	view := &scopedView{scope: scope, revision: s.Revision, epoch: s.Epoch()}
	view.complete = since < 0 || since > s.Revision || since>>epochBits != s.Epoch()
	for _, name := range scope.Services {
		index := s.services[name]
		if index == nil {
			view.unknown = append(view.unknown, name)
			view.complete = view.complete || since < s.CompactedRevision
			continue
		}
		if index.changed > since && since < s.CompactedRevision {
			view.complete = true
		}
	}
	if len(view.unknown) == len(scope.Services) {
		return nil, UnknownServicesError{view.unknown}
	}
	for _, name := range scope.Services {
		index := s.services[name]
		if index == nil || !view.complete && index.changed <= since {
			continue
		}
		part := servicePart{name: name, now: index.current(s.Instances)}
		if !view.complete {
			part.changes = changesAfter(index.changes, since)
		}
		view.parts = append(view.parts, part)
	}
	return view, nil
}

// list is the answer to a call; news is false if nothing in the scope changed.
func (v *scopedView) list() (l EndpointList, news bool) {
	told, left := make(map[string]Endpoint), make(map[string]Endpoint)
	for _, part := range v.parts {
		if v.complete {
			part.whole(v.scope, told)
		} else {
			part.delta(v.scope, told, left)
		}
	}
	for id, entry := range left {
		if _, there := told[id]; !there { // else it changed its service, and is in scope by the other
			entry.Phase = PhaseRemoved
			told[id] = entry
		}
	}
	l = EndpointList{Revision: v.revision, Complete: v.complete, Endpoints: slices.AppendSeq([]Endpoint{}, maps.Values(told))}
	slices.SortFunc(l.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return l, v.complete || len(told) > 0
}

// whole adds the servers in scope.
func (p servicePart) whole(scope *Scope, told map[string]Endpoint) {
	if scope.SubsetSize == 0 {
		for _, entry := range p.now.entries {
			told[entry.ID] = entry
		}
		return
	}
	for id := range p.now.ringsNow(scope.SubsetSize).choose(scope.Client) {
		told[id] = p.now.byID()[id]
	}
}

// delta adds the servers that changed or entered the scope, and those that left it, also those that still run.
func (p servicePart) delta(scope *Scope, told, left map[string]Endpoint) {
	newest := make(map[string]Endpoint)
	for _, c := range p.changes {
		newest[c.Endpoint.ID] = c.Endpoint
	}
	entries := p.now.byID()
	if scope.SubsetSize == 0 || len(entries)+len(newest) <= scope.SubsetSize { // all of the service was and is in scope
		for id, entry := range newest {
			if now, there := entries[id]; there {
				told[id] = now
			} else {
				left[id] = entry
			}
		}
		return
	}
	now := p.now.ringsNow(scope.SubsetSize).choose(scope.Client)
	before := p.now.ringsBefore(scope.SubsetSize, p.changes, p.former).choose(scope.Client)
	for id := range now {
		if _, changed := newest[id]; changed || !before[id] {
			told[id] = entries[id]
		}
	}
	for id := range before {
		if now[id] {
			continue
		}
		entry, there := entries[id]
		if !there {
			entry = newest[id]
		}
		left[id] = entry
	}
}

// former are the candidates as they were before the changes.
func (p servicePart) former() candidates {
	changed := make(map[string]*Placement)
	for _, c := range p.changes {
		if _, seen := changed[c.Endpoint.ID]; !seen {
			changed[c.Endpoint.ID] = c.Previous
		}
	}
	var servers candidates
	for i, server := range p.now.servers.all {
		if _, ok := changed[server.ID]; !ok {
			servers.add(server, p.now.entries[i].Phase)
		}
	}
	for id, was := range changed {
		if was != nil && was.Service == p.name {
			servers.add(subset.Server{ID: id, Zone: was.Locality, Slot: was.Slot}, was.Phase)
		}
	}
	bySlot := func(a, b subset.Server) int { return cmp.Compare(a.Slot, b.Slot) }
	slices.SortFunc(servers.all, bySlot)
	slices.SortFunc(servers.running, bySlot)
	return servers
}
