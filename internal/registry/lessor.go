package registry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Leases that expire in a mass are more often the registry's fault than the servers', so expiry is suspended
	// where more than maxExpiringFraction of the instances, and more than minMassExpirations, expire within
	// expirationWindow.
	maxExpiringFraction = 0.3
	minMassExpirations  = 3
	expirationWindow    = 30 * time.Second

	// maxClockStep bounds what one AdvanceClock counts for, however late it is: agents can't renew while the leader
	// stands still, so their leases must not run out for it.
	maxClockStep = 5 * time.Second
)

// lessor decides when leases expire. It has lease time, the sum of the time that passed at all leaders, in which
// deadlines are given: a replica's own clock plays no part. It is a part of the Store and as pure.
type lessor struct {
	now               time.Duration   // lease time
	recentExpirations []time.Duration // lease times of expirations within expirationWindow, oldest first
	suspended         bool            // expiry is suspended: leases are over, and no instance is removed
}

// grant starts or renews an instance's lease for its whole TTL.
func (l *lessor) grant(instance *Instance) { instance.Deadline = l.now + instance.TTL }

// restart grants all leases anew: nobody could renew while there was no leader.
func (l *lessor) restart(instances map[string]Instance) {
	for id, instance := range instances {
		l.grant(&instance)
		instances[id] = instance
	}
	l.recentExpirations, l.suspended = nil, false
}

// advance lets lease time pass.
func (l *lessor) advance(elapsed time.Duration) {
	l.now += min(max(0, elapsed), maxClockStep)
	l.recentExpirations = slices.DeleteFunc(l.recentExpirations, func(at time.Duration) bool {
		return l.now-at > expirationWindow
	})
}

// expire returns the instances whose leases have expired, sorted by ID, none while expiry is suspended. The caller
// removes them.
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
