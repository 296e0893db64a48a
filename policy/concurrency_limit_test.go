package policy

import (
	"math"
	"testing"
	"time"
)

// An attempt that timed out still waits or runs at its server, though it no longer counts as in flight. The
// server gets nothing until that attempt has likely ended; otherwise the next attempts of all nodes would
// overload it.
func TestServerGetsNothingForAWhileAfterATimeout(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	first := b.order()[0]
	b.now += 5 * seconds(first.meanLatency)
	if s := sentTo(t, b.Handle(b.now, newRequest("a", "free"))); s != first.ID {
		t.Fatalf("server of the first attempt: got %s, want %s", s, first.ID)
	}
	b.Handle(b.now+250*ms, outcome("a", 0, first.ID, TimedOut, 250*ms))
	for i := range 20 {
		if b.hasCapacity(first) {
			t.Fatalf("hasCapacity is true %d ms after the timeout", i*10)
		}
		b.now += 10 * ms
	}
	b.now += 20 * seconds(first.meanLatency)
	if !b.hasCapacity(first) {
		t.Error("hasCapacity is still false long after the timeout")
	}
}

// A learned limit moves by whole steps, or by smaller steps if it is under one; it has a minimum.
func TestLearnedLimitMoves(t *testing.T) {
	for _, c := range []struct{ limit, step, want float64 }{
		{4, limitIncrease, 4 + limitIncrease},
		{4, -failureDecrease, 4 - failureDecrease},
		{0.5, -slowResponseDecrease, 0.5 - slowResponseDecrease/2},
		{0.3, -1, 0.25},
	} {
		s := &server{concurrencyLimit: c.limit}
		if s.moveLimit(c.step, 0.25); math.Abs(s.concurrencyLimit-c.want) > 1e-9 ||
			s.limitObserved != (c.step < 0) {
			t.Errorf("limit %v moved by %v: got %v, want %v; limitObserved: got %v, want true after a step down",
				c.limit, c.step, s.concurrencyLimit,
				c.want, s.limitObserved)
		}
	}
}

// Under a limit below one, attempts are separated by pauses: with a limit of 0.5, the pause after an attempt
// is as long as the attempt.
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
			t.Errorf("isUnderLimit, %d in flight, limit %v, %v after the last attempt: got %v, want the opposite",
				c.inFlight, c.limit, c.after, got)
		}
	}
}

// The initial limits of the nodes of a small fleet add up to initialFleetLimit at each server. If each node
// had this limit, together they would overload the first server.
func TestSmallFleetSharesTheInitialLimit(t *testing.T) {
	for nodes := 1; nodes <= maxSmallFleet; nodes++ {
		b := startBalancer(t, testSettings(nodes), testEndpoints(4))
		if total := b.order()[0].concurrencyLimit * float64(nodes); math.Abs(total-initialFleetLimit) > 1e-9 {
			t.Errorf("%d nodes: sum of the initial limits: got %v, want %v", nodes, total, initialFleetLimit)
		}
	}
}

// If a response takes half of its objective, the request has waited for about as long as it was served. If
// the limit still grew then, it would grow until servers are overloaded.
func TestSlowResponsesLowerTheConcurrencyLimit(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	s, c := b.order()[0], b.classes.ordered[0]
	for _, v := range []struct {
		objectiveFraction float64 // of the latency objective
		wantGrowth        bool
	}{{0.3, true}, {0.5, false}, {0.9, false}} {
		s.concurrencyLimit, s.inFlight = 10, 10
		b.updateConcurrencyLimit(s, c, OK, seconds(v.objectiveFraction*c.LatencyObjective.Seconds()), 1)
		if grew := s.concurrencyLimit > 10; grew != v.wantGrowth || s.concurrencyLimit == 10 {
			t.Errorf("limit of 10 after a response at %v of its objective: got %v, want over 10 at 0.3, else under 10",
				v.objectiveFraction, s.concurrencyLimit)
		}
	}
}
