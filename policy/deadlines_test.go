package policy

import (
	"testing"
	"time"
)

func TestClientRetryHasWaitedSinceItsFirstTry(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		want    time.Duration
	}{
		{"a first try", Request{Timeout: 300 * ms}, 0},
		{"a retry that ends with the deadline", Request{Timeout: 200 * ms, ClientRetry: true}, 400 * ms},
		{"a retry with a whole timeout", Request{Timeout: 300 * ms, ClientRetry: true},
			250 * ms / assumedWaitDivisor},
	} {
		k := &class{Class: Class{LatencyObjective: 250 * ms, Deadline: 600 * ms},
			firstTryTimeout: 300 * ms, classStats: &classStats{}}
		if got := k.timeSinceFirstTry(c.request); got != c.want {
			t.Errorf("%s: time since the first try: got %v, want %v", c.name, got, c.want)
		}
	}
}

// The latency objective counts from the client's first try. A retry after the objective is rejected at once,
// as a response would be useless; an earlier retry has less time than the first try.
func TestClientRetriesCountFromTheFirstTry(t *testing.T) {
	set := testSettings(2)
	set.Classes[0].Deadline = 1000 * ms // and an objective of 250 ms
	b := startBalancer(t, set, testEndpoints(4))
	try := func(id string, retry bool, timeoutMs int) []Action {
		r := newRequest(id, "free")
		r.ClientRetry, r.Timeout = retry, time.Duration(timeoutMs)*ms
		return b.Handle(b.now+ms, r)
	}
	first := actionsOf(try("first", false, 600), Send)
	retried := actionsOf(try("again", true, 600), Send)
	if len(first) != 1 || len(retried) != 1 || retried[0].AttemptDeadline-first[0].AttemptDeadline >= ms {
		t.Errorf("first try: got %+v, retry: got %+v; want one Send each, the retry's deadline under 1 ms later",
			first, retried)
	}
	// The retry ends with the deadline, 450 ms from now, so the first try began 550 ms ago.
	if acts := try("late", true, 450); len(actionsOf(acts, Reject)) != 1 {
		t.Errorf("a retry after the objective: got %+v, want one Reject action", acts)
	}
}
