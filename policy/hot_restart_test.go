package policy

import (
	"fmt"
	"testing"
	"time"
)

// Of what a node may use once, the successor gets all that is left, and the process that handed over uses nothing
// more of it until it takes the node back.
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
		t.Fatal("no retry before the hand-over")
	}
	snapshot := old.Snapshot(now)
	old.Handle(now, HandedOver{Active: true})
	tokens := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens
	if sum := tokens + snapshot.Buckets[0].Tokens; sum > old.rateLimiter.tenantLimits["t"].Burst {
		t.Errorf("%d tokens in both processes, one node may have %d", sum, old.rateLimiter.tenantLimits["t"].Burst)
	}
	now += 2 * time.Second // beyond the window
	if retried(old, "b") {
		t.Error("a process that handed over made a retry")
	}
	old.Handle(now, newRequest("c", "free"))
	if got := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens; got != tokens-2 {
		t.Errorf("%d tokens after two requests, want %d: no refill", got, tokens-2)
	}
	if old.refillWarmupBudget(old.servers["young"]) {
		t.Error("a process that handed over may send to a server that is warming up")
	}
	old.Handle(now, HandedOver{})
	if !retried(old, "d") {
		t.Error("taken back, it makes no retry")
	}
}

// While one process replaces another, a server's limit holds for the attempts of both.
func TestLimitsHoldOverBothProcesses(t *testing.T) {
	old, successor := startBalancer(t, testSettings(1), testEndpoints(2)), startBalancer(t, testSettings(1), testEndpoints(2))
	full := int(old.servers["s00"].concurrencyLimit)
	for i := range full {
		sentTo(t, old.Handle(ms, newRequest(fmt.Sprint("o", i), "free")))
	}
	inFlight := old.InFlight()
	if inFlight["s00"] != full || len(inFlight) != 1 {
		t.Fatalf("%v are in flight, want %d at the first server", inFlight, full)
	}
	inFlight["unknown"] = 5 // a server that this process doesn't know
	successor.SetSiblingInFlight(inFlight)
	if first := sentTo(t, successor.Handle(ms, newRequest("a", "free"))); first == "s00" {
		t.Error("the first server is filled again")
	}
	successor.SetSiblingInFlight(nil)
	if next := sentTo(t, successor.Handle(ms, newRequest("b", "free"))); next != "s00" {
		t.Errorf("sent to %s, though the other process has nothing in flight any more", next)
	}
}
