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
		t.Errorf("measurements under new settings: got %+v and firstTryTimeout %v, want those of the former class and 0",
			current.classStats, current.firstTryTimeout)
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

// Guards against a wrong latency objective after a reload: the timeouts of requests that were accepted under another
// deadline, or before the class was dropped, counted as those of first tries under the deadline in force.
func TestFirstTryTimeoutIsOfTheClassesOwnDeadline(t *testing.T) {
	set := testSettings(1)
	long := set.Classes[0]
	long.Deadline = 10 * long.Deadline
	withClass := func(c Class) Settings {
		changed := testSettings(1)
		changed.Classes[0] = c
		return changed
	}
	withoutClass := testSettings(1)
	withoutClass.Classes = withoutClass.Classes[1:]
	first := newRequest("first", "free")
	first.Timeout, first.Accepted = long.Deadline/2, &AcceptedClass{Class: long}
	for name, events := range map[string][]Event{
		"accepted before the change": {set, first},
		"accepted two changes ago":   {set, set, first},
		"dropped, then back":         {first, withoutClass, set},
		"unchanged deadline":         {set, newRequest("same", "free"), set},
	} {
		t.Run(name, func(t *testing.T) {
			b := startBalancer(t, withClass(long), testEndpoints(4))
			for _, event := range events {
				b.Handle(ms, event)
			}
			want := time.Duration(0)
			if name == "unchanged deadline" {
				want = newRequest("same", "free").Timeout
			}
			if got := b.classes.byName["free"].firstTryTimeout; got != want {
				t.Errorf("longest timeout of a first try: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a request to a server that drains: the pool of a restricted class that the settings never named, as a
// successor gets it from its predecessor, no longer followed the list once the settings changed.
func TestPoolOfAnAcceptedClassFollowsTheList(t *testing.T) {
	dropped := Class{Name: "dropped", Deadline: 600 * ms, RetrySafety: Idempotent, Kinds: []string{"k1"}} // s01, s04, s07
	set := testSettings(1)
	list := testEndpoints(9)
	b := startBalancer(t, set, list)
	r := newRequest("r", "dropped")
	r.Accepted = &AcceptedClass{Class: dropped, MaxAttempts: 4}
	first := sentTo(t, b.Handle(ms, r))
	b.Handle(2*ms, set)
	next := list[4]
	if next.ID == first {
		next = list[1]
	}
	next.Availability = Draining
	b.Handle(3*ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{next}})
	if second := sentTo(t, b.Handle(4*ms, outcome("r", 0, first, ServerError, ms))); second == next.ID {
		t.Errorf("the request was sent to %s, which drains", second)
	}
}
