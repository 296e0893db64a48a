package registry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// If many leases expire together, the fault is more often the registry's than the servers'. Expiry is therefore
	// suspended if more than maxExpiringFraction of the instances, and more than minMassExpirations, expire within
	// expirationWindow.
	maxExpiringFraction = 0.3
	minMassExpirations  = 3
	expirationWindow    = 30 * time.Second

	// maxClockStep limits the lease time that one AdvanceClock adds, even if it comes late. Agents can't renew while
	// the leader is stalled, so a stall must not use up more than this of their leases.
	maxClockStep = 5 * time.Second
)

// lessor decides when leases expire. Deadlines are in lease time, the sum of the time that passed at all leaders: a
// replica's own clock plays no part. The lessor is part of the Store and, like it, has no clock and does no I/O.
type lessor struct {
	now               time.Duration   // lease time
	recentExpirations []time.Duration // lease times of expirations within expirationWindow, oldest first
	suspended         bool            // too many leases are overdue, so none expires
}

// grant starts or renews an instance's lease for its full TTL.
func (l *lessor) grant(instance *Instance) { instance.Deadline = l.now + instance.TTL }

// restart renews all leases, because agents could not renew them while there was no leader. It forgets the recent
// expirations and ends a suspension.
func (l *lessor) restart(instances map[string]Instance) {
	for id, instance := range instances {
		l.grant(&instance)
		instances[id] = instance
	}
	l.recentExpirations, l.suspended = nil, false
}

// advance adds elapsed, but at least 0 and at most maxClockStep, to lease time. It forgets the expirations that are then
// outside of expirationWindow.
func (l *lessor) advance(elapsed time.Duration) {
	l.now += min(max(0, elapsed), maxClockStep)
	l.recentExpirations = slices.DeleteFunc(l.recentExpirations, func(at time.Duration) bool {
		return l.now-at > expirationWindow
	})
}

// expire decides whether expiry is suspended. If it isn't, expire returns the instances whose leases have expired, sorted
// by ID, and the caller removes them.
func (l *lessor) expire(instances map[string]Instance) []Instance {
	var overdue []Instance
	for _, instance := range instances {
		if instance.Deadline <= l.now {
			overdue = append(overdue, instance)
		}
	}
	l.suspended = l.isMassExpiration(len(overdue), len(instances))
	if l.suspended {
		return nil
	}
	slices.SortFunc(overdue, func(a, b Instance) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	for range overdue {
		l.recentExpirations = append(l.recentExpirations, l.now)
	}
	return overdue
}

func (l *lessor) isMassExpiration(overdue, instances int) bool {
	recent := len(l.recentExpirations)
	expiring, total := overdue+recent, instances+recent
	return overdue > 0 && expiring > minMassExpirations && float64(expiring) > maxExpiringFraction*float64(total)
}
