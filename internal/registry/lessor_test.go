package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// grantLeases returns n instances with leases that start now.
func grantLeases(l *lessor, n int, ttl time.Duration) map[string]Instance {
	instances := make(map[string]Instance)
	for i := range n {
		instance := Instance{Endpoint: testEndpoint(fmt.Sprintf("s%02d", i)), TTL: ttl}
		l.grant(&instance)
		instances[instance.Endpoint.ID] = instance
	}
	return instances
}

// expireAll removes the instances whose leases expired, as the Store does, and returns their IDs.
func expireAll(l *lessor, instances map[string]Instance) (ids []string) {
	for _, instance := range l.expire(instances) {
		delete(instances, instance.Endpoint.ID)
		ids = append(ids, instance.Endpoint.ID)
	}
	return ids
}

func TestLeaseExpiresAtItsDeadline(t *testing.T) {
	l := new(lessor)
	instances := grantLeases(l, 1, 4*time.Second)
	l.advance(4*time.Second - 1)
	if ids := expireAll(l, instances); ids != nil {
		t.Errorf("leases expired before the deadline: got %v, want none", ids)
	}
	l.advance(1)
	if ids := expireAll(l, instances); !slices.Equal(ids, []string{"s00"}) {
		t.Errorf("leases expired at the deadline: got %v, want [s00]", ids)
	}
}

func TestMassExpirationSuspendsExpiry(t *testing.T) {
	for _, test := range []struct {
		name               string
		expiring, renewing int
		suspended          bool
	}{
		{"all, but only as many as minMassExpirations", minMassExpirations, 0, false},
		{"all", minMassExpirations + 1, 0, true},
		{"exactly the maximum fraction", 6, 14, false},
		{"more than the maximum fraction", 7, 13, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := new(lessor)
			instances := grantLeases(l, test.expiring, time.Second)
			for i := range test.renewing {
				instance := Instance{Endpoint: testEndpoint(fmt.Sprint("renewed", i)), TTL: time.Minute}
				l.grant(&instance)
				instances[instance.Endpoint.ID] = instance
			}
			l.advance(2 * time.Second)
			expired := expireAll(l, instances)
			want := test.expiring
			if test.suspended {
				want = 0
			}
			if len(expired) != want || l.suspended != test.suspended {
				t.Errorf("got %d leases expired, suspended %v; want %d leases expired, suspended %v", len(expired), l.suspended, want, test.suspended)
			}
		})
	}
}

func TestRecentExpirationsCountTowardMassExpiration(t *testing.T) {
	for wait, suspended := range map[time.Duration]bool{expirationWindow: true, expirationWindow + 1: false} {
		l := new(lessor)
		instances := grantLeases(l, minMassExpirations, time.Second)
		instances["last"] = Instance{Endpoint: testEndpoint("last"), Deadline: time.Second + wait}
		for i := range 2 * minMassExpirations {
			id := fmt.Sprint("renewed", i)
			instances[id] = Instance{Endpoint: testEndpoint(id), Deadline: time.Hour}
		}
		l.advance(time.Second)
		if ids := expireAll(l, instances); len(ids) != minMassExpirations {
			t.Fatalf("leases expired at their deadline: got %v, want %d of them", ids, minMassExpirations)
		}
		for elapsed := time.Duration(0); elapsed < wait; elapsed += maxClockStep {
			l.advance(min(maxClockStep, wait-elapsed))
		}
		if ids := expireAll(l, instances); (len(ids) == 0) != suspended || l.suspended != suspended {
			t.Errorf("last lease, %v after the others: got %v expired, suspended %v; want suspended %v, and the lease expired only if not suspended", wait, ids, l.suspended, suspended)
		}
	}
}

// After lessor.restart, each lease runs for its full TTL again, earlier expirations no longer count, and expiry is no
// longer suspended.
func TestRestartRenewsAllLeases(t *testing.T) {
	l := new(lessor)
	instances := grantLeases(l, minMassExpirations, time.Second)
	instances["last"] = Instance{Endpoint: testEndpoint("last"), TTL: 2 * time.Second, Deadline: 2 * time.Second}
	l.advance(time.Second)
	if ids := expireAll(l, instances); len(ids) != minMassExpirations {
		t.Fatalf("leases expired at their deadline: got %v, want %d of them", ids, minMassExpirations)
	}
	l.advance(time.Second)
	if ids := expireAll(l, instances); len(ids) != 0 || !l.suspended {
		t.Fatalf("last lease after earlier expirations: got %v expired, suspended %v; want none, suspended", ids, l.suspended)
	}
	l.restart(instances)
	if l.suspended {
		t.Error("expiry after a restart: got suspended, want resumed")
	}
	l.advance(2*time.Second - 1)
	if ids := expireAll(l, instances); len(ids) != 0 {
		t.Errorf("leases expired before the new deadline: got %v, want none", ids)
	}
	l.advance(1)
	if ids := expireAll(l, instances); !slices.Equal(ids, []string{"last"}) {
		t.Errorf("leases expired at the new deadline: got %v, want [last], as earlier expirations no longer count", ids)
	}
}

func TestClockStepIsBounded(t *testing.T) {
	l := new(lessor)
	l.advance(time.Hour)
	l.advance(-time.Hour)
	if l.now != maxClockStep {
		t.Errorf("lease time after a step of an hour and one of minus an hour: got %v, want %v", l.now, maxClockStep)
	}
}
