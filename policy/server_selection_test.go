package policy

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

// A response that comes too late is useless, so a server that is warming up or overloaded gets only requests
// with enough time left. A reported latency loses its effect with time.
func TestSlowServersGetOnlyRequestsWithTimeLeft(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	s := b.order()[0]
	reportLoad(b, s, 5, report(50, 0.5, 10))
	short := &request{class: b.classes.ordered[0], usefulUntil: b.now + 200*ms}
	long := &request{class: b.classes.ordered[0], usefulUntil: b.now + 2000*ms}
	if !b.respondsInTime(short, s) {
		t.Fatal("respondsInTime is false for a fast server")
	}
	reportLoad(b, s, 1, report(400, 0.9, 10))
	if b.respondsInTime(short, s) || !b.respondsInTime(long, s) {
		t.Errorf("slow server responds in time: got %v within 200 ms and %v within 2 s, want false and true",
			b.respondsInTime(short, s), b.respondsInTime(long, s))
	}
	b.now += 10 * reportDecayTime
	short.usefulUntil = b.now + 200*ms
	if !b.respondsInTime(short, s) {
		t.Error("respondsInTime is still false long after one slow report")
	}
	s.StartedAt = b.now
	if b.respondsInTime(short, s) {
		t.Error("respondsInTime is true for a server that has just started")
	}
}

// A selection examines each server a fixed number of times. If it summed over all servers for each
// server, a node with many servers would be too slow.
func TestSelectionTimeGrowsLinearlyWithServers(t *testing.T) {
	selectionTime := func(servers int) time.Duration {
		b := startLargeFleet(t, 300, testEndpoints(servers))
		b.window.inFlight = 1e6 // no server has capacity, so each is examined
		r := &request{Request: newRequest("r", "free"), class: b.classes.byName["free"], maxAttempts: 1}
		r.deadline, r.usefulUntil = b.now+time.Hour, b.now+time.Hour
		best := time.Hour
		for range 200 {
			began := time.Now()
			b.dispatch(r)
			best = min(best, time.Since(began))
			if len(r.attempts) > 0 {
				t.Fatal("an attempt was sent, though no server has capacity")
			}
		}
		return best
	}
	if few, many := selectionTime(50), selectionTime(800); many > 64*few {
		t.Errorf("selection from 800 servers takes %d times as long as from 50 (%v and %v), want at most 64 times",
			many/few, few, many)
	}
}

// A request that may have run is sent again only where a duplicate does no harm.
func TestWhereARequestMayRunAgain(t *testing.T) {
	ranOn := &server{Endpoint: Endpoint{Zone: "a", Cell: 1}}
	sameCell, sameZone := &server{Endpoint: Endpoint{Zone: "b", Cell: 1}},
		&server{Endpoint: Endpoint{Zone: "a", Cell: 2}}
	elsewhere := &server{Endpoint: Endpoint{Zone: "b", Cell: 2}}
	keyed := func(scope DedupScope) Class {
		return Class{RetrySafety: IdempotencyKeyed, DedupScope: scope, DedupWindow: time.Second}
	}
	for name, c := range map[string]struct {
		class   Class
		now     Time
		allowed []*server
	}{
		"idempotent":      {Class{RetrySafety: Idempotent}, time.Hour, []*server{sameCell, sameZone, elsewhere}},
		"non-idempotent":  {Class{RetrySafety: NonIdempotent}, 0, nil},
		"keyed, in cell":  {keyed(DedupPerCell), 0, []*server{sameCell}},
		"keyed, in zone":  {keyed(DedupPerZone), 0, []*server{sameZone}},
		"keyed, anywhere": {keyed(DedupEverywhere), 0, []*server{sameCell, sameZone, elsewhere}},
		"keyed, too late": {keyed(DedupEverywhere), time.Second, nil},
		"restricted":      {Class{RetrySafety: Idempotent, Zones: []string{"a"}}, 0, []*server{sameZone}},
	} {
		r := &request{class: &class{Class: c.class}, attempts: []attempt{{server: ranOn}}}
		r.updateMayHaveRun()
		var allowed []*server
		for _, s := range []*server{ranOn, sameCell, sameZone, elsewhere} {
			if r.mayRunOn(s, c.now) {
				allowed = append(allowed, s)
			}
		}
		if !slices.Equal(allowed, c.allowed) {
			t.Errorf("%s: servers that the request may run on: got %v, want %v", name, allowed, c.allowed)
		}
	}
}

func TestOwnZoneFillsInIDOrderBeforeOthers(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(4))
	for _, s := range b.order() {
		s.concurrencyLimit = 1
	}
	var got []string
	for i := range 4 {
		got = append(got, sentTo(t, b.Handle(ms, newRequest(fmt.Sprint(i), "free"))))
	}
	if want := []string{"s00", "s02", "s01", "s03"}; !reflect.DeepEqual(got, want) {
		t.Errorf("servers of 4 requests with limits of 1: got %v, want %v", got, want)
	}
}
