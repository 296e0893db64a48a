package registry

import (
	"cmp"
	"slices"
)

// maxHistoryChanges bounds the changes from which watches can be resumed.
const maxHistoryChanges = 4096

// change is one change to an endpoint.
type change struct {
	Revision int64      `cbor:"1,keyasint"`
	Endpoint Endpoint   `cbor:"2,keyasint"`           // after the change; in PhaseRemoved if it was removed or expired
	Previous *Placement `cbor:"3,keyasint,omitempty"` // placement before the change; nil if the endpoint was not registered
}

// Placement holds the properties that decide which scoped lists contain an instance.
type Placement struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Phase   string `cbor:"3,keyasint,omitempty"`
	Slot    int    `cbor:"4,keyasint,omitempty"`
}

func (i Instance) placement() *Placement {
	return &Placement{Service: i.Endpoint.Service, Zone: i.Endpoint.Zone, Phase: i.Endpoint.Phase, Slot: i.Slot}
}

// affectedServices returns the endpoint's services before and after the change.
func (c change) affectedServices() (services []string) {
	if c.Endpoint.Service != "" {
		services = append(services, c.Endpoint.Service)
	}
	if c.Previous != nil && c.Previous.Service != "" && c.Previous.Service != c.Endpoint.Service {
		services = append(services, c.Previous.Service)
	}
	return services
}

// history holds the latest changes.
type history struct {
	changes           []change // oldest first
	compactedRevision int64    // changes holds all changes after this revision
}

func (h *history) append(c change) { h.changes = append(h.changes, c) }

// excess returns how many of the oldest changes to compact: none up to maxHistoryChanges, then all but the newest
// maxHistoryChanges/2. Compaction is thus rare.
func (h *history) excess() int {
	if len(h.changes) <= maxHistoryChanges {
		return 0
	}
	return len(h.changes) - maxHistoryChanges/2
}

// compact drops the oldest count changes and returns them. The remaining ones must be those after revision.
func (h *history) compact(count int, revision int64) (dropped []change) {
	dropped = h.changes[:count]
	h.changes, h.compactedRevision = slices.Clone(h.changes[count:]), revision
	return dropped
}

// since returns the changes after a revision.
func (h *history) since(revision int64) []change { return changesSince(h.changes, revision) }

// changesSince returns the changes after a revision. The changes are given oldest first.
func changesSince(changes []change, revision int64) []change {
	first, _ := slices.BinarySearchFunc(changes, revision+1, func(c change, revision int64) int {
		return cmp.Compare(c.Revision, revision)
	})
	return changes[first:]
}

// newestEndpoints returns the latest state of each changed endpoint, by ID.
func newestEndpoints(changes []change) map[string]Endpoint {
	newest := make(map[string]Endpoint)
	for _, c := range changes {
		newest[c.Endpoint.ID] = c.Endpoint
	}
	return newest
}
