package registry

import (
	"cmp"
	"slices"
)

// maxHistoryChanges bounds the changes that watches can be resumed from.
const maxHistoryChanges = 4096

// change is one change of an endpoint.
type change struct {
	Revision int64      `cbor:"1,keyasint"`
	Endpoint Endpoint   `cbor:"2,keyasint"`           // after the change; in PhaseRemoved if it was deregistered
	Previous *Placement `cbor:"3,keyasint,omitempty"` // before the change; nil if it was not registered
}

// Placement is what decides which scoped lists an instance is in.
type Placement struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Phase   string `cbor:"3,keyasint,omitempty"`
	Slot    int    `cbor:"4,keyasint,omitempty"`
}

func (i Instance) placement() *Placement {
	return &Placement{Service: i.Endpoint.Service, Zone: i.Endpoint.Zone, Phase: i.Endpoint.Phase, Slot: i.Slot}
}

// touchedServices returns the services that the endpoint was in before and is in after the change.
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
	compactedRevision int64    // changes after this revision are all in changes
}

func (h *history) append(c change) { h.changes = append(h.changes, c) }

// excess returns how many of the oldest changes are to be compacted: half of the bound at once, so that compaction is
// rare.
func (h *history) excess() int {
	if len(h.changes) <= maxHistoryChanges {
		return 0
	}
	return len(h.changes) - maxHistoryChanges/2
}

// compact drops the oldest changes, up to a revision, and returns them.
func (h *history) compact(count int, revision int64) (dropped []change) {
	dropped = h.changes[:count]
	h.changes, h.compactedRevision = slices.Clone(h.changes[count:]), revision
	return dropped
}

// since returns the changes after a revision.
func (h *history) since(revision int64) []change { return changesSince(h.changes, revision) }

// changesSince returns those of some changes, oldest first, that came after a revision.
func changesSince(changes []change, revision int64) []change {
	first, _ := slices.BinarySearchFunc(changes, revision+1, func(c change, revision int64) int {
		return cmp.Compare(c.Revision, revision)
	})
	return changes[first:]
}

// newestEndpoints returns the last state of each endpoint in some changes, by ID.
func newestEndpoints(changes []change) map[string]Endpoint {
	newest := make(map[string]Endpoint)
	for _, c := range changes {
		newest[c.Endpoint.ID] = c.Endpoint
	}
	return newest
}
