package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// changedList returns a list of the given kind: an update that sets the availability of the first n
// endpoints, or a whole list without these endpoints.
func changedList(all []Endpoint, kind ListKind, n int, availability Availability) EndpointList {
	list := EndpointList{Kind: kind}
	for i, endpoint := range all {
		switch {
		case kind == ListUpdate && i < n:
			endpoint.Availability = availability
			list.Endpoints = append(list.Endpoints, endpoint)
		case kind == ListReplace && i >= n:
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// countInZone counts the listed servers of a zone.
func countInZone(b *Balancer, zone string) (n int) {
	for _, s := range b.servers {
		if s.Zone == zone {
			n++
		}
	}
	return n
}

// Servers that are missing from the list with most of their zone are retained for half of the drain grace. If
// they are listed again after that, their zone starts to recover, with a small traffic share.
func TestServersMissingWithMostOfTheirZoneAreRetained(t *testing.T) {
	all := endpointsInZones(4, "a", "b")
	grace := testSettings(1).Rules.DrainGrace
	for name, c := range map[string]struct {
		retainMissing  bool
		list           EndpointList
		wantServers    int
		wantRecovering bool
	}{
		"whole zone removed by an update":      {true, changedList(all, ListUpdate, 4, Removed), 4, true},
		"whole zone missing from a whole list": {true, changedList(all, ListReplace, 4, Running), 4, true},
		"half of a zone removed by an update":  {true, changedList(all, ListUpdate, 2, Removed), 2, false},
		"whole zone without RetainMissing":     {false, changedList(all, ListUpdate, 4, Removed), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			set := twoRegions(1)
			set.RetainMissing = c.retainMissing
			b := startBalancer(t, set, all)
			b.servers["a0"].concurrencyLimit = 7
			b.Handle(ms, c.list)
			if got := countInZone(b, "a"); got != c.wantServers {
				t.Errorf("servers of the zone after the list: got %d, want %d", got, c.wantServers)
			}
			b.Handle(ms+grace/2, Timer{Token: retainTimerToken})
			b.Handle(time.Second+grace, EndpointList{Kind: ListReplace, Endpoints: all})
			if got := b.zones.findOrCreate("a").recovering; got != c.wantRecovering {
				t.Errorf("zone recovering after its servers are listed again: got %v, want %v", got, c.wantRecovering)
			}
		})
	}
}

// A retained server keeps its state if it is listed again in time.
func TestRetainedServersThatReturnInTimeAreUnchanged(t *testing.T) {
	all := endpointsInZones(4, "a", "b")
	set := twoRegions(1)
	set.RetainMissing = true
	b := startBalancer(t, set, all)
	b.servers["a0"].concurrencyLimit = 7
	b.Handle(ms, changedList(all, ListUpdate, 4, Removed))
	b.Handle(2*ms, EndpointList{Kind: ListReplace, Endpoints: all})
	b.Handle(ms+set.Rules.DrainGrace, Timer{Token: retainTimerToken})
	if s := b.servers["a0"]; s == nil || s.concurrencyLimit != 7 || b.zones.findOrCreate("a").recovering {
		t.Error("server a0, listed again in time: want concurrency limit 7, and a zone that isn't recovering")
	}
}

// Draining servers are taken out on purpose: they get no requests and aren't retained when they are removed.
func TestDrainingServersAreNotRetained(t *testing.T) {
	all := endpointsInZones(4, "a", "b")
	set := twoRegions(1)
	set.RetainMissing = true
	b := startBalancer(t, set, all)
	b.Handle(3*time.Second, changedList(all, ListUpdate, 4, Draining))
	for _, s := range b.order() {
		if s.Zone == "a" {
			t.Errorf("draining server %s is still in service", s.ID)
		}
	}
	if b.Handle(4*time.Second, changedList(all, ListUpdate, 4, Removed)); len(b.servers) != 4 {
		t.Errorf("servers after the draining ones are removed: got %d, want 4", len(b.servers))
	}
}

// When many nodes start together, their first subscriptions are spread, because one discovery service serves
// all of them. Retries back off, but not so far that a node misses a drain for long.
func TestListSubscriptionsAreSpreadAndBackOff(t *testing.T) {
	set := testSettings(40)
	set.SubscribeList = true
	wait := func(actions []Action) time.Duration {
		t.Helper()
		timers := actionsOf(actions, SetTimer)
		if len(actionsOf(actions, WatchList)) != 0 || len(timers) != 1 || timers[0].Token != listTimerToken {
			t.Fatalf("actions after a list event: got %+v, want a single list timer and no WatchList", actions)
		}
		return timers[0].Wait
	}
	var first, meanFailed, later time.Duration
	seen := make(map[time.Duration]bool)
	for seed := range uint64(200) {
		b, err := New(set, 0, seed)
		if err != nil {
			t.Fatal(err)
		}
		w := wait(b.Handle(0, EndpointList{Kind: ListCached, Endpoints: testEndpoints(4)}))
		first, seen[w] = max(first, w), true
		meanFailed += wait(b.Handle(0, EndpointList{Kind: ListUnavailable})) / 200
		for range 10 {
			later = max(later, wait(b.Handle(0, EndpointList{Kind: ListUnavailable})))
		}
		b.Handle(0, EndpointList{Kind: ListUpdate})
		if w := wait(b.Handle(0, EndpointList{Kind: ListUnavailable})); w > resubscribeBackoffBase*3/2 {
			t.Fatalf("wait after the first failure after a list: got %v, want at most resubscribeBackoffBase*3/2", w)
		}
	}
	if first > set.Rules.DrainGrace || len(seen) < 100 {
		t.Errorf("waits for first subscriptions: longest %v, want at most DrainGrace; %d different, want over 99",
			first, len(seen))
	}
	if later < 2*meanFailed || later > resubscribeBackoffMax*3/2 {
		t.Errorf("backoffs: mean first %v, longest later %v; want 2*first <= later <= resubscribeBackoffMax*3/2",
			meanFailed, later)
	}
}

// The mean wait doubles up to a maximum: resubscribeBackoffMax or, if shorter, a quarter of the poll
// interval.
func TestListBackoffIsBounded(t *testing.T) {
	for _, c := range []struct {
		pollInterval time.Duration
		failures     int
		mean         time.Duration
	}{
		{0, 0, resubscribeBackoffBase},
		{0, 1, 2 * resubscribeBackoffBase},
		{0, 100, resubscribeBackoffMax},
		{time.Second, 100, 250 * ms},
	} {
		l := endpointList{failures: c.failures}
		got := l.nextBackoff(c.pollInterval, rand.New(rand.NewPCG(1, 1)))
		if got < c.mean/2 || got > c.mean*3/2 || l.failures != c.failures+1 {
			t.Errorf("after %d failures, poll interval %v: wait %v, then %d failures; want %v within 50%%, then %d",
				c.failures, c.pollInterval, got, l.failures, c.mean, c.failures+1)
		}
	}
}

// A failed call for the list or a lost subscription is retried soon, but not by all nodes at the same time.
func TestListRetriesOfNodesAreSpread(t *testing.T) {
	waits := map[time.Duration]bool{}
	for n := range 8 {
		set := testSettings(8)
		set.NodeIndex, set.SubscribeList = n, true
		b, err := New(set, 0, 7)
		if err != nil {
			t.Fatal(err)
		}
		first := actionsOf(b.Handle(0, EndpointList{Kind: ListCached}), SetTimer) // spreads the first subscriptions
		if len(first) != 1 || len(actionsOf(b.Handle(first[0].Wait, Timer{Token: first[0].Token}), WatchList)) != 1 {
			t.Fatal("want a single timer after the cached list, and a subscription when it fires")
		}
		timers := actionsOf(b.Handle(2*time.Second, EndpointList{Kind: ListUnavailable}), SetTimer)
		if len(timers) != 1 || timers[0].Wait < resubscribeBackoffBase/2 || timers[0].Wait > resubscribeBackoffBase*3/2 {
			t.Fatalf("timers after a failed call: got %+v, want a single one of resubscribeBackoffBase +-50%%", timers)
		}
		waits[timers[0].Wait] = true
		if len(actionsOf(b.Handle(3*time.Second, Timer{Token: timers[0].Token}), WatchList)) != 1 {
			t.Error("no new subscription after the backoff timer")
		}
	}
	if len(waits) < 8 {
		t.Errorf("different waits of 8 nodes: got %d, want 8", len(waits))
	}
}
