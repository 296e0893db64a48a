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
		{"a retry with a whole timeout", Request{Timeout: 300 * ms, ClientRetry: true}, 250 * ms / assumedWaitDivisor},
	} {
		k := &class{Class: Class{LatencyObjective: 250 * ms, Deadline: 600 * ms},
			classStats: &classStats{firstTryTimeout: 300 * ms}}
		if got := k.waitedBefore(c.request); got != c.want {
			t.Errorf("%s has waited %v, want %v", c.name, got, c.want)
		}
	}
}
