package policy

import (
	"testing"
)

// If no server has capacity, the least overcommitted one still gets a few requests of the highest priority,
// and requests of the lowest priority are queued.
func TestHighestPriorityIsSentBeyondTheLimit(t *testing.T) {
	set := testSettings(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight = 1, 5
	b := startBalancer(t, set, testEndpoints(2))
	for _, s := range b.order() {
		s.concurrencyLimit, s.limitObserved, s.inFlight = 10, true, 12
	}
	if sent := actionsOf(b.Handle(ms, newRequest("low", "free")), Send); len(sent) != 0 {
		t.Errorf("a request of the lowest priority is sent beyond the limit: %+v", sent)
	}
	if sent := actionsOf(b.Handle(ms, newRequest("high", "once")), Send); len(sent) != 1 {
		t.Errorf("a high-priority request is not sent, though servers are only a little beyond their limits")
	}
	for _, s := range b.order() {
		s.inFlight = int(maxLearnedOvercommit * 10)
	}
	if sent := actionsOf(b.Handle(ms, newRequest("late", "once")), Send); len(sent) != 0 {
		t.Errorf("a request of the highest priority is sent to a server far beyond its limit")
	}
}
