package policy

import (
	"fmt"
	"testing"
	"time"
)

// A process that handed over makes no retries, refills no buckets and uses no warm-up budget until it takes
// over again. Its tokens and the successor's together don't exceed the burst of the limit.
func TestHandedOverProcessUsesNoSharedBudget(t *testing.T) {
	set := testSettings(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0, Window: time.Second}
	list := append(testEndpoints(2), Endpoint{ID: "young", Zone: "a", StartedAt: 9 * time.Second, Weight: 1})
	old := startBalancer(t, set, list)
	now := 10 * time.Second
	retried := func(b *Balancer, id string) bool {
		t.Helper()
		first := sentTo(t, b.Handle(now, newRequest(id, "free")))
		acts := b.Handle(now, Outcome{ID: id, Server: first, Code: Overloaded})
		return len(actionsOf(acts, Send)) > 0
	}
	if !retried(old, "a") {
		t.Fatal("no retry before the hand-over, want one")
	}
	snapshot := old.Snapshot(now)
	old.Handle(now, HandedOver{Active: true})
	tokens := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens
	if sum := tokens + snapshot.Buckets[0].Tokens; sum > old.rateLimiter.tenantLimits["t"].Burst {
		t.Errorf("tokens in both processes: got %d, want at most the burst of %d", sum,
			old.rateLimiter.tenantLimits["t"].Burst)
	}
	now += 2 * time.Second // after the retry budget's window
	if retried(old, "b") {
		t.Error("process that handed over made a retry")
	}
	old.Handle(now, newRequest("c", "free"))
	if got := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens; got != tokens-2 {
		t.Errorf("tokens after the hand-over and two requests: got %d, want %d (nothing refilled)", got, tokens-2)
	}
	if old.refillWarmupBudget(old.servers["young"]) {
		t.Error("process that handed over may send to a server that is warming up")
	}
	old.Handle(now, HandedOver{})
	if !retried(old, "d") {
		t.Error("no retry after the process took over again, want one")
	}
}

// During a hot restart, a server's limit holds for the attempts of both processes together.
func TestLimitsHoldOverBothProcesses(t *testing.T) {
	old, successor := startBalancer(t, testSettings(1), testEndpoints(2)),
		startBalancer(t, testSettings(1), testEndpoints(2))
	full := int(old.servers["s00"].concurrencyLimit)
	for i := range full {
		sentTo(t, old.Handle(ms, newRequest(fmt.Sprint("o", i), "free")))
	}
	inFlight := old.InFlight()
	if inFlight["s00"] != full || len(inFlight) != 1 {
		t.Fatalf("attempts in flight: got %v, want only %d at s00", inFlight, full)
	}
	inFlight["unknown"] = 5 // a server that the successor doesn't know
	successor.SetSiblingInFlight(inFlight)
	if first := sentTo(t, successor.Handle(ms, newRequest("a", "free"))); first == "s00" {
		t.Error("request sent to s00, which the other process has filled")
	}
	successor.SetSiblingInFlight(nil)
	if next := sentTo(t, successor.Handle(ms, newRequest("b", "free"))); next != "s00" {
		t.Errorf("request sent to %s, want s00, where the other process has nothing in flight any more", next)
	}
}
