package registry

import (
	"fmt"
	"slices"
)

// serviceIndexes holds the index of each service, for scoped lists. The indexes are derived from the instances and the
// history, and are not stored in snapshots.
type serviceIndexes map[string]*serviceIndex

// serviceIndex holds the slots of one service and its part of the history.
type serviceIndex struct {
	slots      slotTable
	changes    []change // those in the history that affect the service, oldest first; elements are never overwritten
	lastChange int64    // no later revision affected the service; after a restore, it may be above the last change
	view       *serviceView
}

// allocateSlot assigns the lowest free slot of a service to an instance. Without a service the slot is always 0.
func (s serviceIndexes) allocateSlot(service, id string) int {
	if service == "" {
		return 0
	}
	index := s[service]
	if index == nil {
		index = new(serviceIndex)
		s[service] = index
	}
	return index.slots.allocate(id)
}

// releaseSlot frees the slot of an instance that leaves its service.
func (s serviceIndexes) releaseSlot(service string, slot int) {
	if service != "" {
		s[service].slots.release(slot)
	}
}

// record adds a change to the services that it affects.
func (s serviceIndexes) record(c change) {
	for _, service := range c.affectedServices() {
		index := s[service]
		index.changes = append(index.changes, c)
		index.lastChange = c.Revision
		index.view = nil
	}
}

// compact drops the changes up to a revision, as the history did. A service that is left with neither instances nor
// changes becomes unknown.
func (s serviceIndexes) compact(dropped []change, revision int64) {
	for _, c := range dropped {
		for _, service := range c.affectedServices() {
			if index := s[service]; index != nil && index.compact(revision) {
				delete(s, service)
			}
		}
	}
}

// compact drops the changes up to a revision; empty is true if neither instances nor changes are left.
func (index *serviceIndex) compact(revision int64) (empty bool) {
	if remaining := changesSince(index.changes, revision); len(remaining) < len(index.changes) {
		index.changes = slices.Clone(remaining)
	}
	return len(index.changes) == 0 && index.slots.empty()
}

// restoreServiceIndexes builds the indexes for the instances and the history read from a snapshot. It returns an error if
// a slot is out of range or used twice.
func restoreServiceIndexes(instances map[string]Instance, h history) (serviceIndexes, error) {
	indexes := make(serviceIndexes)
	for id, instance := range instances {
		if instance.Endpoint.Service == "" {
			continue
		}
		if err := indexes.restoreInstance(id, instance, h.compactedRevision); err != nil {
			return nil, err
		}
	}
	for _, index := range indexes {
		index.slots.rebuildFree()
	}
	for _, c := range h.changes {
		for _, service := range c.affectedServices() {
			indexes.ensure(service, h.compactedRevision)
		}
		indexes.record(c)
	}
	return indexes, nil
}

func (s serviceIndexes) restoreInstance(id string, instance Instance, compactedRevision int64) error {
	service, slot := instance.Endpoint.Service, instance.Slot
	if slot < 0 || slot >= maxInstances {
		return fmt.Errorf("instance %q: slot %d is out of range", id, slot)
	}
	index := s.ensure(service, compactedRevision)
	if other := index.slots.restore(id, slot); other != "" {
		return fmt.Errorf("instances %q and %q: both have slot %d of service %q", min(id, other), max(id, other), slot, service)
	}
	index.lastChange = max(index.lastChange, instance.Version)
	return nil
}

// ensure returns the index of a service. If there is none, it adds one with the given lastChange.
func (s serviceIndexes) ensure(service string, lastChange int64) *serviceIndex {
	index := s[service]
	if index == nil {
		index = &serviceIndex{lastChange: lastChange}
		s[service] = index
	}
	return index
}
