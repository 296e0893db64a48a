package policy

import (
	"math"
	"testing"
	"time"
)

// An attempt that timed out still waits or runs at its server, though it isn't in flight any more. Until it is likely
// done, the server gets nothing, or the next attempts of all nodes would overload it.
func TestServerGetsNothingForAWhileAfterATimeout(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	first := b.order()[0]
	b.now += 5 * seconds(first.meanLatency)
	if s := sentTo(t, b.Handle(b.now, newRequest("a", "free"))); s != first.ID {
		t.Fatalf("sent to %s, want %s", s, first.ID)
	}
	b.Handle(b.now+250*ms, outcome("a", 0, first.ID, TimedOut, 250*ms))
	for i := range 20 {
		if b.hasCapacity(first) {
			t.Fatalf("%d ms after the timeout it has capacity", i*10)
		}
		b.now += 10 * ms
	}
	b.now += 20 * seconds(first.meanLatency)
	if !b.hasCapacity(first) {
		t.Error("it never has capacity again")
	}
}

// A learned limit moves by whole steps, and by smaller ones under one; it keeps a minimum.
func TestLearnedLimitMoves(t *testing.T) {
	for _, c := range []struct{ limit, step, want float64 }{
		{4, limitIncrease, 4 + limitIncrease},
		{4, -failureDecrease, 4 - failureDecrease},
		{0.5, -slowResponseDecrease, 0.5 - slowResponseDecrease/2},
		{0.3, -1, 0.25},
	} {
		s := &server{concurrencyLimit: c.limit}
		if s.moveLimit(c.step, 0.25); math.Abs(s.concurrencyLimit-c.want) > 1e-9 || s.limitReached != (c.step < 0) {
			t.Errorf("from %v by %v: a limit of %v, want %v; reached: %v", c.limit, c.step, s.concurrencyLimit,
				c.want, s.limitReached)
		}
	}
}

// A limit under one is spread over time: of half an attempt, the pause after an attempt is as long as the attempt.
func TestLimitUnderOneIsSpreadOverTime(t *testing.T) {
	s := &server{meanLatency: 0.1, lastSentAt: time.Hour}
	for _, c := range []struct {
		limit    float64
		inFlight int
		after    time.Duration
		want     bool
	}{
		{2, 1, 0, true}, {2, 2, time.Minute, false},
		{0.5, 0, 99 * ms, false}, {0.5, 0, 100 * ms, true}, {0.5, 1, time.Minute, false},
	} {
		s.inFlight = c.inFlight
		if got := s.isUnderLimit(c.limit, time.Hour+c.after); got != c.want {
			t.Errorf("%d in flight under a limit of %v, %v after the last: %v", c.inFlight, c.limit, c.after, got)
		}
	}
}

// The initial limits of a small fleet's nodes sum to the same at each server: whole limits of each node would
// overload the first one.
func TestSmallFleetSharesTheInitialLimit(t *testing.T) {
	for nodes := 1; nodes <= maxSmallFleet; nodes++ {
		b := startBalancer(t, testSettings(nodes), testEndpoints(4))
		if total := b.order()[0].concurrencyLimit * float64(nodes); math.Abs(total-initialFleetLimit) > 1e-9 {
			t.Errorf("%d nodes: %v attempts in all, want %v", nodes, total, initialFleetLimit)
		}
	}
}

// A response after half of its objective has waited for about as long as it was served: a limit that still grew
// would do so until servers are overloaded.
func TestSlowResponsesLowerTheConcurrencyLimit(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	s, c := b.order()[0], b.classes.ordered[0]
	for _, v := range []struct {
		objectiveFraction float64 // of the objective
		wantGrowth        bool
	}{{0.3, true}, {0.5, false}, {0.9, false}} {
		s.concurrencyLimit, s.inFlight = 10, 10
		b.updateConcurrencyLimit(s, c, OK, seconds(v.objectiveFraction*c.LatencyObjective.Seconds()), 1)
		if grew := s.concurrencyLimit > 10; grew != v.wantGrowth || s.concurrencyLimit == 10 {
			t.Errorf("a response after %v of its objective moves the limit from 10 to %v", v.objectiveFraction, s.concurrencyLimit)
		}
	}
}
