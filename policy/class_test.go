package policy

import (
	"reflect"
	"testing"
	"time"
)

func TestClassRegistryFindsClassesByFormerSettings(t *testing.T) {
	registry := newClassRegistry()
	pool := new(serverPool)
	formerSettings := Class{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second}
	registry.configure([]Class{formerSettings}, pool)
	former := registry.byName["read"]
	former.firstTryTimeout = time.Second
	registry.configure([]Class{{Name: "read", Deadline: time.Second},
		{Name: "write", Deadline: time.Second}}, pool)
	current := registry.byName["read"]
	for _, c := range []struct {
		name    string
		request Request
		want    *class
	}{
		{"current settings", Request{Class: "read"}, current},
		{"former settings", Request{Class: "read", Accepted: &AcceptedClass{Class: formerSettings}}, former},
		{"settings equal to the current ones", Request{Class: "write",
			Accepted: &AcceptedClass{Class: Class{Name: "write", Deadline: time.Second}}}, registry.byName["write"]},
		{"an unknown class", Request{Class: "unknown"}, nil},
	} {
		if got := registry.find(c.request, new(packingOrder)); got != c.want {
			t.Errorf("class for %s: got %p, want %p", c.name, got, c.want)
		}
	}
	if current.classStats != former.classStats || current.firstTryTimeout != 0 {
		t.Errorf("measurements under new settings: got %+v, want those of the former class and firstTryTimeout 0",
			current.classStats)
	}
	if current.LatencyObjective != current.Deadline {
		t.Errorf("latency objective of a class without one: got %v, want its deadline", current.LatencyObjective)
	}
}

func TestTailLatencyHoldsItsQuantile(t *testing.T) {
	c := &class{Class: Class{LatencyObjective: time.Second}, classStats: &classStats{tailLatency: 500 * ms}}
	for i := range 10000 {
		c.observeLatency(time.Duration(i*7919%100) * ms)
	}
	if c.tailLatency < 85*ms || c.tailLatency > 105*ms {
		t.Errorf("tail latency of responses of 0 to 99 ms: got %v, want 85 to 105 ms", c.tailLatency)
	}
	if c.observeLatency(time.Hour); c.tailLatency > c.LatencyObjective {
		t.Errorf("tail latency after a very slow response: got %v, want at most the objective", c.tailLatency)
	}
}

// A class that is restricted by another one keeps the bounds of both, and otherwise its own settings.
func TestRestrictedClassKeepsTheBoundsOfBoth(t *testing.T) {
	wide := &AcceptedClass{Class: Class{Name: "order", RetrySafety: IdempotencyKeyed, DedupScope: DedupEverywhere,
		DedupWindow: time.Second, Deadline: 2 * time.Second}, MaxAttempts: 3}
	narrow := &AcceptedClass{Class: Class{Name: "order", RetrySafety: IdempotencyKeyed, DedupScope: DedupPerZone,
		DedupWindow: 2 * time.Second, Deadline: time.Second}}
	want := &AcceptedClass{Class: Class{Name: "order", RetrySafety: IdempotencyKeyed, DedupScope: DedupPerZone,
		DedupWindow: time.Second, Deadline: 2 * time.Second}, MaxAttempts: 1}
	if got := wide.RestrictedBy(narrow); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if want.Deadline = time.Second; !reflect.DeepEqual(narrow.RestrictedBy(wide), want) {
		t.Errorf("the other way round: got %+v, want %+v", narrow.RestrictedBy(wide), want)
	}
}
