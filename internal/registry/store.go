package registry

import (
	"maps"
	"slices"
	"time"
)

const (
	maxInstances = 150_000 // same as maxSubset in internal/node/discovery

	// The bits of a revision from bit epochShift on hold its epoch, so all revisions of an epoch are above those of
	// earlier epochs.
	epochShift = 32
)

// Instance is an endpoint with its lease.
type Instance struct {
	Endpoint Endpoint      `cbor:"1,keyasint"`
	Version  int64         `cbor:"2,keyasint"` // revision that last changed the endpoint
	TTL      time.Duration `cbor:"3,keyasint"`
	Deadline time.Duration `cbor:"4,keyasint"`           // lease time at which the lease expires
	Slot     int           `cbor:"5,keyasint,omitempty"` // unique within its service, the lowest free when assigned
}

// Store is the replicated state machine: the same commands in the same order produce the same state at each replica. It
// has no clock (the leader sends the time in AdvanceClock commands) and does no I/O. Use NewStore to create one. It is
// not safe for concurrent use: watchableStore guards it.
type Store struct {
	revision         int64
	instances        map[string]Instance // by endpoint ID
	leases           lessor
	history          history
	responses        responseCache
	services         serviceIndexes
	replicaAddresses map[string]string // HTTP address of each replica, by replica ID
	appliedIndex     uint64            // raft index of the last command
}

// NewStore returns an empty store in its first epoch.
func NewStore() *Store {
	const first = 1 << epochShift
	return &Store{
		revision:         first,
		instances:        make(map[string]Instance),
		history:          history{compactedRevision: first},
		responses:        newResponseCache(nil),
		services:         make(serviceIndexes),
		replicaAddresses: make(map[string]string),
	}
}

// Epoch returns the part of the revision that grows when a store is restored from an older copy. Within an epoch no
// watcher sees the revision decrease.
func (s *Store) Epoch() int64 { return epochOf(s.revision) }

func epochOf(revision int64) int64 { return revision >> epochShift }

// Apply carries out a command. If the result for its RequestID is cached, Apply changes nothing and returns that result.
func (s *Store) Apply(c Command) Result {
	if cached, ok := s.responses.lookup(c.RequestID); ok {
		return cached
	}
	result := s.execute(c)
	result.Revision = s.revision
	s.responses.add(c.RequestID, result)
	return result
}

func (s *Store) execute(c Command) Result {
	switch c.Kind {
	case RegisterInstance:
		return s.register(c)
	case RenewLease:
		return s.update(c, s.renew)
	case SetInstancePhase:
		return s.update(c, func(instance Instance) Result { return s.setPhase(instance, c.Phase) })
	case DeregisterInstance:
		return s.update(c, s.deregister)
	case AdvanceClock:
		s.advanceClock(c.Elapsed)
	case RestartLeases:
		s.leases.restart(s.instances)
	case BeginEpoch:
		s.beginEpoch()
	case SetReplicaAddress:
		s.setReplicaAddress(c.ID, c.Endpoint.Address)
	default:
		return Result{Code: ResultUnknownCommand}
	}
	return Result{}
}

func (s *Store) register(c Command) Result {
	current, exists := s.instances[c.Endpoint.ID]
	switch {
	case c.IfMatch > 0 && (!exists || current.Version != c.IfMatch):
		return Result{Code: ResultVersionMismatch, Instance: current}
	case !exists && len(s.instances) >= maxInstances:
		return Result{Code: ResultTooManyInstances}
	}
	registered := Instance{Endpoint: c.Endpoint, Version: current.Version, TTL: c.TTL, Slot: current.Slot}
	s.leases.grant(&registered)
	if !exists || current.Endpoint != c.Endpoint {
		s.publish(&registered)
	}
	return s.put(registered)
}

// update applies a command to an instance. It returns ResultNotFound if the instance does not exist, and
// ResultVersionMismatch if the command requires another version.
func (s *Store) update(c Command, apply func(Instance) Result) Result {
	instance, exists := s.instances[c.ID]
	switch {
	case !exists:
		return Result{Code: ResultNotFound}
	case c.IfMatch > 0 && instance.Version != c.IfMatch:
		return Result{Code: ResultVersionMismatch, Instance: instance}
	}
	return apply(instance)
}

func (s *Store) renew(instance Instance) Result {
	s.leases.grant(&instance)
	return s.put(instance)
}

func (s *Store) setPhase(instance Instance, phase string) Result {
	if instance.Endpoint.Phase != phase {
		instance.Endpoint.Phase = phase
		s.publish(&instance)
	}
	return s.put(instance)
}

func (s *Store) put(instance Instance) Result {
	s.instances[instance.Endpoint.ID] = instance
	return Result{Instance: instance}
}

// publish sets the slot and the version of an instance whose endpoint is new or changed, and records the change for
// watches. s.instances must still hold the previous state of the instance.
func (s *Store) publish(instance *Instance) {
	var previous *Placement
	current, exists := s.instances[instance.Endpoint.ID]
	if exists {
		previous = current.placement()
	}
	instance.Slot = current.Slot
	if !exists || current.Endpoint.Service != instance.Endpoint.Service {
		s.services.releaseSlot(current.Endpoint.Service, current.Slot)
		instance.Slot = s.services.allocateSlot(instance.Endpoint.Service, instance.Endpoint.ID)
	}
	instance.Version = s.record(instance.Endpoint, previous)
}

func (s *Store) deregister(instance Instance) Result {
	delete(s.instances, instance.Endpoint.ID)
	s.services.releaseSlot(instance.Endpoint.Service, instance.Slot)
	removed := instance.Endpoint
	removed.Phase = PhaseRemoved
	s.record(removed, instance.placement())
	return Result{Instance: instance}
}

// record records a change under a new revision.
func (s *Store) record(endpoint Endpoint, previous *Placement) (revision int64) {
	s.revision++
	c := change{Revision: s.revision, Endpoint: endpoint, Previous: previous}
	s.services.record(c)
	s.history.append(c)
	if count := s.history.excess(); count > 0 {
		s.compact(count, s.history.changes[count-1].Revision)
	}
	return s.revision
}

// compact drops the oldest changes. Watches at a revision below the given one then need the full list; scoped watches need
// their whole scope only if one of its services changed since their revision, or is unknown now.
func (s *Store) compact(count int, revision int64) {
	dropped := s.history.compact(count, revision)
	s.services.compact(dropped, revision)
}

// advanceClock advances lease time, and removes the instances whose leases expired.
func (s *Store) advanceClock(elapsed time.Duration) {
	s.leases.advance(elapsed)
	for _, instance := range s.leases.expire(s.instances) {
		s.deregister(instance)
	}
}

func (s *Store) beginEpoch() {
	s.revision = (s.Epoch() + 1) << epochShift
	s.compact(len(s.history.changes), s.revision)
	s.leases.restart(s.instances)
}

func (s *Store) setReplicaAddress(id, address string) {
	if address == "" {
		delete(s.replicaAddresses, id)
		return
	}
	s.replicaAddresses[id] = address
}

// FullList returns all endpoints.
func (s *Store) FullList() EndpointList {
	list := EndpointList{Revision: s.revision, Complete: true, Endpoints: make([]Endpoint, 0, len(s.instances))}
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		list.Endpoints = append(list.Endpoints, s.instances[id].Endpoint)
	}
	return list
}

// ChangesSince returns the latest state of each endpoint that changed after a revision; changed is false if none did.
// For a revision of another epoch, in the future, or before the compacted one, it returns the full list.
func (s *Store) ChangesSince(revision int64) (list EndpointList, changed bool) {
	if revision == s.revision {
		return EndpointList{Revision: s.revision, Endpoints: []Endpoint{}}, false
	}
	if revision > s.revision || revision < s.history.compactedRevision {
		return s.FullList(), true
	}
	newest := newestEndpoints(s.history.since(revision))
	list = EndpointList{Revision: s.revision, Endpoints: make([]Endpoint, 0, len(newest))}
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		list.Endpoints = append(list.Endpoints, newest[id])
	}
	return list, true
}
