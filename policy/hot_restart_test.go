package policy

import (
	"fmt"
	"testing"
	"time"
)

// Of what a node may spend once, the process that takes over gets all that is left, and the one that
// ceded spends nothing more of it until it takes the node back.
func TestHandedOverProcessUsesNoSharedBudget(t *testing.T) {
	set := site(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0, Window: time.Second}
	cold := append(members(2), Endpoint{ID: "young", Zone: "a", StartedAt: 9 * time.Second, Weight: 1})
	old := start(t, set, cold)
	now := 10 * time.Second
	retried := func(b *Balancer, id string) bool {
		t.Helper()
		first := sentTo(t, b.Handle(now, ask(id, "free")))
		acts := b.Handle(now, Outcome{ID: id, Server: first, Code: Overloaded})
		return len(of(acts, Send)) > 0
	}
	if !retried(old, "a") {
		t.Fatal("no further attempt before")
	}
	know := old.Snapshot(now)
	old.Handle(now, HandedOver{Active: true})
	tokens := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens
	if sum := tokens + know.Buckets[0].Tokens; sum > old.rateLimiter.tenantLimits["t"].Burst {
		t.Errorf("%d tokens in both, one node may have %d", sum, old.rateLimiter.tenantLimits["t"].Burst)
	}
	now += 2 * time.Second // beyond the span
	if retried(old, "b") {
		t.Error("a ceded process made a further attempt")
	}
	old.Handle(now, ask("c", "free"))
	if got := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens; got != tokens-2 {
		t.Errorf("%d tokens after two requests, want %d: no refill", got, tokens-2)
	}
	if old.hasWarmupBudget(old.servers["young"]) {
		t.Error("a ceded process may send to a cold server")
	}
	old.Handle(now, HandedOver{})
	if !retried(old, "d") {
		t.Error("taken back, it makes no further attempt")
	}
}

// While one process replaces another, a server's threshold holds for what both have out there.
func TestLimitsHoldOverBothProcesses(t *testing.T) {
	old, heir := start(t, site(1), members(2)), start(t, site(1), members(2))
	full := int(old.servers["s00"].concurrencyLimit)
	for i := range full {
		sentTo(t, old.Handle(ms, ask(fmt.Sprint("o", i), "free")))
	}
	out := old.InFlight()
	if out["s00"] != full || len(out) != 1 {
		t.Fatalf("%v are out, want %d at the first server", out, full)
	}
	out["gone"] = 5 // and a server that this process has not heard of
	heir.SetSiblingInFlight(out)
	if first := sentTo(t, heir.Handle(ms, ask("a", "free"))); first == "s00" {
		t.Error("the first server is filled again")
	}
	heir.SetSiblingInFlight(nil)
	if next := sentTo(t, heir.Handle(ms, ask("b", "free"))); next != "s00" {
		t.Errorf("sent to %s, though the other process has nothing out any more", next)
	}
}
