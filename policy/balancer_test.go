package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a small deployment, with a class for each retry safety and dedup
// scope.
func testSettings(nodes int) Settings {
	return Settings{
		NodeCount: nodes, Zone: "a",
		Classes: []Class{
			{Name: "free", LatencyObjective: 250 * ms, Deadline: 600 * ms, RetrySafety: Idempotent},
			{Name: "once", LatencyObjective: 250 * ms, Deadline: 600 * ms, LateWeight: 0.2},
			{Name: "all", LatencyObjective: 250 * ms, Deadline: 600 * ms,
				RetrySafety: IdempotencyKeyed, DedupScope: DedupEverywhere, DedupWindow: 300 * ms},
			{Name: "zone", LatencyObjective: 250 * ms, Deadline: 600 * ms,
				RetrySafety: IdempotencyKeyed, DedupScope: DedupPerZone, DedupWindow: 300 * ms},
			{Name: "cell", LatencyObjective: 250 * ms, Deadline: 600 * ms,
				RetrySafety: IdempotencyKeyed, DedupScope: DedupPerCell, DedupWindow: 300 * ms},
		},
		Tenants: []Tenant{{Name: "t", Quota: 1000}, {Name: "u", Quota: 10}},
		Allowed: Allowed{Cancel: true, MaxAttempts: 4},
		Rules: Rules{DrainGrace: time.Second, SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * time.Second,
			OverloadMultiple: 3, OverloadDuration: 2 * time.Second},
	}
}

func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: []string{"a", "b"}[i%2],
			Kind: fmt.Sprint("k", i%3), Cell: int64(i % 4), Weight: 1})
	}
	return list
}

func startBalancer(t *testing.T, set Settings, list []Endpoint) *Balancer {
	t.Helper()
	b, err := New(set, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, EndpointList{Kind: ListCached, Endpoints: list})
	return b
}

// actionsOf returns the actions of one kind.
func actionsOf(acts []Action, kind ActionKind) []Action {
	var found []Action
	for _, a := range acts {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

func newRequest(id, class string) Request {
	return Request{ID: id, Class: class, Tenant: "t", Timeout: 600 * ms}
}

func sentTo(t *testing.T, acts []Action) string {
	t.Helper()
	s := actionsOf(acts, Send)
	if len(s) != 1 {
		t.Fatalf("got %+v, want one Send action", acts)
	}
	return s[0].Server
}

// Every attempt of a request of a restricted class is sent to a server of the class. If none of these servers
// is in service, a request is queued, and rejected before its timeout. The bound on ejections applies to the
// class's few servers alone.
func TestRestrictedClassUsesOnlyItsServers(t *testing.T) {
	set := testSettings(1)
	set.Classes[0].Kinds = []string{"k1"} // s01, s04, s07 of nine
	b := startBalancer(t, set, testEndpoints(9))
	permitted := map[string]bool{"s01": true, "s04": true, "s07": true}
	for i, code := range []Code{ServerError, Overloaded, ConnectFailed} {
		id := fmt.Sprint(i)
		s := sentTo(t, b.Handle(ms, newRequest(id, "free")))
		if !permitted[s] {
			t.Fatalf("the first attempt was sent to %s, which the class may not use", s)
		}
		if s = sentTo(t, b.Handle(2*ms, outcome(id, 0, s, code, ms))); !permitted[s] {
			t.Fatalf("the second attempt was sent to %s, which the class may not use", s)
		}
		b.Handle(3*ms, outcome(id, 1, s, OK, ms))
	}
	for _, id := range []string{"s01", "s04", "s07"} {
		b.servers[id].outlier.failureScore = 0.6
		b.recordFailure(b.servers[id], attemptFailureWeight)
	}
	if b.classes.ordered[0].eligible.ejected != 1 {
		t.Errorf("ejected servers of the class's 3: got %d, want 1", b.classes.ordered[0].eligible.ejected)
	}
	for id := range permitted {
		b.Handle(4*ms, EndpointList{Kind: ListUpdate,
			Endpoints: []Endpoint{{ID: id, Zone: "a", Kind: "k1", Availability: Draining}}})
	}
	acts := slices.Clone(b.Handle(5*ms, newRequest("x", "free")))
	for now := 6 * ms; now < 600*ms; now += queuePollInterval {
		acts = append(acts, b.Handle(now, Timer{Token: queueTimerToken})...)
	}
	if len(actionsOf(acts, Send)) != 0 || len(actionsOf(acts, Reject)) != 1 {
		t.Errorf("with none of the class's servers in service: got %+v, want one Reject and no Send action", acts)
	}
}

func outcome(id string, attempt int, server string, code Code, latency time.Duration) Outcome {
	return Outcome{ID: id, Attempt: attempt, Server: server, Code: code, Latency: latency,
		RequestEnded: code == OK}
}

// New settings keep the measurements and the open requests. A request that arrived under the former settings
// has the class of those settings.
func TestNewSettingsKeepMeasurementsAndOpenRequests(t *testing.T) {
	set := testSettings(1)
	b := startBalancer(t, set, testEndpoints(4))
	first := sentTo(t, b.Handle(0, newRequest("open", "free")))
	b.servers["s00"].concurrencyLimit = 9
	b.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens = 5
	b.classes.byName["free"].tailLatency = 77 * ms

	changed := testSettings(1)
	changed.Classes[0].RetrySafety = NonIdempotent
	changed.Classes = slices.Delete(changed.Classes, 1, 2) // "once" is dropped
	changed.Classes = append(changed.Classes,
		Class{Name: "new", LatencyObjective: 250 * ms, Deadline: 600 * ms, RetrySafety: Idempotent})
	changed.Allowed.MaxAttempts = 2
	b.Handle(ms, changed)
	if s := b.servers["s00"]; s.concurrencyLimit != 9 ||
		s.inFlight+b.servers["s01"].inFlight+b.servers["s02"].inFlight != 1 {
		t.Errorf("after new settings: got concurrency limit %v of s00, want 9 and a total of one attempt in flight",
			s.concurrencyLimit)
	}
	if got := b.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens; got != 5 {
		t.Errorf("tokens after new settings: got %d, want 5", got)
	}
	if got := b.classes.byName["free"].tailLatency; got != 77*ms {
		t.Errorf("tail latency after new settings: got %v, want 77ms", got)
	}
	isRetried := func(id, server string) bool {
		return len(actionsOf(b.Handle(2*ms, Outcome{ID: id, Server: server, Code: TimedOut}), Send)) > 0
	}
	if !isRetried("open", first) {
		t.Error("a request was not retried, though its class was idempotent when it arrived")
	}
	if acts := b.Handle(3*ms, Outcome{ID: "open", Attempt: 1, Code: TimedOut}); len(actionsOf(acts, Send)) > 0 {
		t.Error("a third attempt was sent, though the new settings allow 2")
	}
	if isRetried("strict", sentTo(t, b.Handle(2*ms, newRequest("strict", "free")))) {
		t.Error("a request was retried, though the new settings make its class non-idempotent")
	}
	formerClassRequest := newRequest("was", "free")
	formerClassRequest.Accepted = &AcceptedClass{Class: testSettings(1).Classes[0], MaxAttempts: 2}
	if !isRetried("was", sentTo(t, b.Handle(2*ms, formerClassRequest))) {
		t.Error("a request of a former class was not retried, though the former settings make it idempotent")
	}
	if isRetried("dropped", sentTo(t, b.Handle(2*ms, newRequest("dropped", "once")))) {
		t.Error("a request of a class that the new settings drop was retried")
	}
	if !isRetried("new", sentTo(t, b.Handle(2*ms, newRequest("new", "new")))) {
		t.Error("a request of a class that the new settings add was not retried")
	}
	if acts := b.Handle(time.Second, Timer{Token: firstClassTimerToken + 5}); len(actionsOf(acts, Send)) > 0 {
		t.Error("the timer of the added class sent an attempt of a request that has ended")
	}
}

// order returns the pool's servers in packing order.
func (p *serverPool) order() []*server { return slices.Collect(p.all) }
