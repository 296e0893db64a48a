package policy

import (
	"fmt"
	"testing"
)

func TestRateMultiplierFollowsCapacity(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	for range 100 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value >= 0.5 || b.rateMultiplier.value < minRateMultiplier {
		t.Errorf("multiplier after 100 selections without capacity: got %v, want at least the minimum, below 0.5",
			b.rateMultiplier.value)
	}
	before := b.rateMultiplier.value
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value != before {
		t.Error("the multiplier changed, though no bucket rejected a request")
	}
	b.rateMultiplier.bucketRejected = true
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value <= before {
		t.Error("the multiplier did not rise, though a bucket rejected a request and there was capacity")
	}
}

// A request that stays queued counts once as having found no capacity, not at each poll.
func TestQueuedRequestMovesTheRateMultiplierOnce(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(1))
	s := b.order()[0]
	s.concurrencyLimit, s.limitObserved, s.inFlight = 1, true, 3
	b.Handle(ms, newRequest("x", "free"))
	before := b.rateMultiplier.value
	for now := 2 * ms; now < 80*ms; now += queuePollInterval {
		b.Handle(now, Timer{Token: queueTimerToken})
	}
	if len(b.queue.requests) != 1 || before >= 1 || b.rateMultiplier.value != before {
		t.Errorf("got %d queued requests, want 1; multiplier %v before polls, %v after; want both equal, below 1",
			len(b.queue.requests), before, b.rateMultiplier.value)
	}
}

// Traffic far beyond the quotas is admitted only while few responses are bad: other nodes may lack the
// capacity.
func TestRateMultiplierIsCautiousWhileResponsesAreBad(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	raise := func() {
		for range 200 {
			b.rateMultiplier.bucketRejected = true
			b.adjustRateMultiplier(true)
		}
	}
	raise()
	if b.rateMultiplier.value != maxRateMultiplier {
		t.Errorf("multiplier with good responses: got %v, want %v", b.rateMultiplier.value, maxRateMultiplier)
	}
	for range 20 {
		b.updateConcurrencyLimit(b.order()[0], b.classes.ordered[0], TimedOut, ms, 1)
	}
	raise()
	if b.rateMultiplier.value > cautiousRateMultiplier*(1+rateIncreaseStep) {
		t.Errorf("multiplier with bad responses: got %v, want about %v",
			b.rateMultiplier.value, cautiousRateMultiplier)
	}
}

// With membership, the nodes that share a quota admit no more than the quota, whatever the capacity.
func TestRateMultiplierIsAtMostOneWithMembership(t *testing.T) {
	b, err := New(testSettings(1), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.rateMultiplier.value = maxRateMultiplier
	b.Handle(1, FleetSize{ReachableNodes: 1})
	b.rateMultiplier.bucketRejected = true
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value != 1 {
		t.Errorf("multiplier with membership: got %v, want 1", b.rateMultiplier.value)
	}
}

func TestRateMultiplierStepsByCapacity(t *testing.T) {
	up, down := 1+rateIncreaseStep, 1-rateDecreaseStep
	for _, c := range []struct {
		name          string
		multiplier    rateMultiplier
		conditions    rateConditions
		foundCapacity bool
		want          float64
	}{
		{"no capacity lowers it", rateMultiplier{value: 2}, rateConditions{}, false, 2 * down},
		{"not below its minimum", rateMultiplier{value: minRateMultiplier},
			rateConditions{}, false, minRateMultiplier},
		{"not below 1 with load reports", rateMultiplier{value: 1},
			rateConditions{usesLoadReports: true}, false, 1},
		{"capacity alone changes nothing", rateMultiplier{value: 1}, rateConditions{}, true, 1},
		{"a rejection raises it", rateMultiplier{value: 1, bucketRejected: true}, rateConditions{}, true, up},
		{"not above 1 with membership", rateMultiplier{value: 1, bucketRejected: true},
			rateConditions{hasMembership: true}, true, 1},
		{"bad responses lower a high multiplier",
			rateMultiplier{value: 2, badRatio: 2 * maxBadRatio, bucketRejected: true},
			rateConditions{}, true, 2 * down},
		{"lost attempts lower it in a large fleet", rateMultiplier{value: 1, lostRatio: 2 * maxBadRatio},
			rateConditions{minLimitsOverload: true}, true, down},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.multiplier.adjust(c.foundCapacity, c.conditions)
			if c.multiplier.value != c.want || c.multiplier.bucketRejected {
				t.Errorf("got %+v, want value %v and bucketRejected false", c.multiplier, c.want)
			}
		})
	}
}

// With load reports, the overcommit bounds reject the classes of the lowest priority when capacity is short.
// The refill rates of the buckets aren't lowered, since lower rates would reject all classes alike.
func TestRateMultiplierIsNotLoweredWithLoadReports(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	for range 500 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value != 1 {
		t.Errorf("multiplier with load reports: got %v, want 1", b.rateMultiplier.value)
	}
	b = startBalancer(t, testSettings(40), testEndpoints(12))
	for range 500 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value != minRateMultiplier {
		t.Errorf("multiplier without load reports: got %v, want %v", b.rateMultiplier.value, minRateMultiplier)
	}
}

// In a large fleet without load reports, even the minimum limits of all nodes together overload a server.
// Lost attempts lower the admitted rate there until responses arrive again. In a small fleet, lost attempts
// lower only the limits.
func TestRateMultiplierFollowsLostAttemptsInLargeFleets(t *testing.T) {
	for _, c := range []struct {
		nodes    int
		wantDrop bool
	}{{300, true}, {8, false}} {
		set := testSettings(c.nodes)
		set.Tenants = []Tenant{{Name: "t", Quota: 10 * float64(c.nodes)}}
		b := startBalancer(t, set, testEndpoints(200))
		now, n := Time(0), 0
		admittedFraction := func(code Code) (fraction float64) {
			const requests = 300
			for range requests {
				now += 20 * ms
				n++
				id := fmt.Sprint("r", n)
				for _, a := range actionsOf(b.Handle(now, newRequest(id, "free")), Send) {
					fraction += 1.0 / requests
					end := outcome(id, 0, a.Server, code, 40*ms)
					end.RequestEnded = true
					b.Handle(now+ms, end)
				}
			}
			return fraction
		}
		admittedFraction(OK)
		before := admittedFraction(OK)
		admittedFraction(TimedOut)
		if got := admittedFraction(TimedOut); (got < 0.6*before) != c.wantDrop {
			t.Errorf("%d nodes: admitted %.2f with timeouts, %.2f before; want a ratio under 0.6 for 300 nodes only",
				c.nodes, got, before)
		}
		for range 5 { // the multiplier stays cautious until few of the last few hundred responses are bad
			admittedFraction(OK)
		}
		if got := admittedFraction(OK); got < 0.9*before {
			t.Errorf("%d nodes: admitted fraction after the timeouts: got %.2f, want at least 0.9 of the %.2f before",
				c.nodes, got, before)
		}
	}
}
