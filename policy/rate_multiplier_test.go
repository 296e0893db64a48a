package policy

import (
	"testing"
)

func TestRateMultiplierFollowsCapacity(t *testing.T) {
	b := start(t, site(1), members(2))
	for range 100 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value >= 0.5 || b.rateMultiplier.value < minRateMultiplier {
		t.Errorf("after 100 choices without room the scale is %v", b.rateMultiplier.value)
	}
	was := b.rateMultiplier.value
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value != was {
		t.Error("the scale rose though no bucket refused")
	}
	b.rateMultiplier.bucketRejected = true
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value <= was {
		t.Error("the scale did not rise though a bucket refused and there was room")
	}
}

// A request that is held for long tells once that servers had no room, not at each look.
func TestQueuedRequestMovesTheRateMultiplierOnce(t *testing.T) {
	b := start(t, site(1), members(1))
	s := b.order()[0]
	s.concurrencyLimit, s.limitReached, s.inFlight = 1, true, 3
	b.Handle(ms, ask("x", "free"))
	was := b.rateMultiplier.value
	for now := 2 * ms; now < 80*ms; now += queuePollInterval {
		b.Handle(now, Timer{Token: queueTimerToken})
	}
	if len(b.queue.requests) != 1 || was >= 1 || b.rateMultiplier.value != was {
		t.Errorf("%d held, the scale went from %v to %v", len(b.queue.requests), was, b.rateMultiplier.value)
	}
}

// Traffic far beyond the shares passes only while next to no answer is bad: other nodes may lack the room.
func TestRateMultiplierIsCautiousWhileResponsesAreBad(t *testing.T) {
	b := start(t, site(1), members(2))
	grow := func() {
		for range 200 {
			b.rateMultiplier.bucketRejected = true
			b.adjustRateMultiplier(true)
		}
	}
	grow()
	if b.rateMultiplier.value != maxRateMultiplier {
		t.Errorf("with good answers the scale is %v, want %v", b.rateMultiplier.value, maxRateMultiplier)
	}
	for range 20 {
		b.updateConcurrencyLimit(b.order()[0], b.classes.ordered[0], TimedOut, ms, 1)
	}
	grow()
	if b.rateMultiplier.value > cautiousRateMultiplier*(1+rateIncreaseStep) {
		t.Errorf("with bad answers the scale is %v, want about %v", b.rateMultiplier.value, cautiousRateMultiplier)
	}
}

// A quota that nodes divide is one: no pace goes beyond it.
func TestRateMultiplierIsAtMostOneWithMembership(t *testing.T) {
	b, err := New(site(1), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.rateMultiplier.value = maxRateMultiplier
	b.Handle(1, FleetSize{ReachableNodes: 1})
	b.rateMultiplier.bucketRejected = true
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value != 1 {
		t.Errorf("pace %v", b.rateMultiplier.value)
	}
}
