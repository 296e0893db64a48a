package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// While the highest priority finds no capacity, requests of lower priorities are shed: the lower the
// priority, the more. The highest priority is never shed. If limits are based on load reports, no request is
// shed.
func TestLowPrioritiesAreShedForTheHighest(t *testing.T) {
	set := testSettings(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight, set.Classes[2].PriorityWeight = 1, 5, 3
	b := startBalancer(t, set, testEndpoints(4))
	shedFraction := func(class string) (fraction float64) {
		const requests = 2000
		for range requests {
			if b.shouldShed(b.classes.byName[class]) {
				fraction += 1.0 / requests
			}
		}
		return fraction
	}
	if got := shedFraction("free"); got != 0 {
		t.Errorf("shed fraction of the lowest priority while the highest finds capacity: got %v, want 0", got)
	}
	b.loadShedder.highPriorityShortage = 0.15
	lowest, middle, highest := shedFraction("free"), shedFraction("all"), shedFraction("once")
	if math.Abs(lowest-0.48) > 0.05 || math.Abs(middle-0.24) > 0.05 || highest != 0 {
		t.Errorf("shed fractions by priority, lowest first: got %v, %v and %v, want 0.48, 0.24 and 0",
			lowest, middle, highest)
	}
	b.loadShedder.highPriorityShortage = 1
	if got := shedFraction("free"); math.Abs(got-maxShedProbability) > 0.05 {
		t.Errorf("shed fraction of the lowest priority while the highest finds no capacity: got %v, want %v",
			got, maxShedProbability)
	}
	if acts := b.Handle(ms, newRequest("x", "once")); len(actionsOf(acts, Send)) != 1 {
		t.Errorf("a request of the highest priority: got %+v, want one Send action", acts)
	}
	reporting := startLargeFleet(t, 40, testEndpoints(4))
	reporting.loadShedder.highPriorityShortage, reporting.loadShedder.maxPriorityWeight = 1, 5
	if reporting.shouldShed(reporting.classes.byName["free"]) {
		t.Error("a request is shed, though servers report their load")
	}
}

func TestLoadShedderFollowsTheShortageOfTheHighestPriority(t *testing.T) {
	var shedder loadShedder
	shedder.configure([]Class{{PriorityWeight: 1}, {PriorityWeight: 4}})
	shedder.recordDispatch(1, false)
	if shedder.highPriorityShortage != 0 {
		t.Errorf("shortage after a low-priority request found no server: got %v, want 0",
			shedder.highPriorityShortage)
	}
	shedder.recordDispatch(4, false)
	if shedder.highPriorityShortage != shortageGain {
		t.Errorf("shortage after a request of the highest priority found no server: got %v, want %v",
			shedder.highPriorityShortage, shortageGain)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		if shedder.shouldShed(rng, 4) {
			t.Fatal("a request of the highest priority was shed")
		}
	}
}
