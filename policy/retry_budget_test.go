package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Retries stay below the minimum plus the ratio times the requests in the window. Once the requests have left
// the window, only the minimum is left.
func TestRetryBudgetCountsExactly(t *testing.T) {
	set := testSettings(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0.5, Window: time.Second}
	b := startBalancer(t, set, testEndpoints(9))
	retries := func(now Time, from, n int) (sent int) {
		for i := range n {
			id := fmt.Sprint(from + i)
			for _, a := range actionsOf(slices.Clone(b.Handle(now, newRequest(id, "free"))), Send) {
				sent += len(actionsOf(b.Handle(now, outcome(id, 0, a.Server, ServerError, ms)), Send))
			}
		}
		return sent
	}
	if got := retries(ms, 0, 4); got > 4 { // the minimum of 2, and half of 4 requests
		t.Errorf("retries for 4 requests: got %d, want at most 4", got)
	}
	b.retryBudget.retriesAt, b.retryBudget.receivedAt = nil, []Time{0, 1, 2, 3}
	b.now = 500 * ms
	for n := range 10 {
		if allowed := b.mayRetry(); allowed != (n < 3) { // the retries must stay below the limit of 4
			t.Fatalf("mayRetry after %d retries: got %v, want true up to 2 retries and then false", n, allowed)
		}
		if !b.mayRetry() {
			break
		}
		b.retryBudget.retriesAt = append(b.retryBudget.retriesAt, b.now)
	}
	b.now = time.Second + 4 // the requests have left the window, the retries have not
	if b.mayRetry() {
		t.Error("a retry beyond the minimum is allowed, though the requests have left the window")
	}
	b.now = 2 * time.Second
	if !b.mayRetry() || len(b.retryBudget.retriesAt)+len(b.retryBudget.receivedAt) != 0 {
		t.Error("after the window has passed: want a retry to be allowed and no entries to be left")
	}
}

// Requests without a retry are forgotten once the window of the budget has passed.
func TestRetryBudgetForgetsRequestsAfterItsWindow(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(4))
	const perSecond = 50
	for i := range 60 * perSecond {
		now := time.Duration(i) * time.Second / perSecond
		id := fmt.Sprint(i)
		s := sentTo(t, b.Handle(now, newRequest(id, "free")))
		b.Handle(now+ms, outcome(id, 0, s, OK, ms))
	}
	if limit := int(defaultRetryBudget.Window.Seconds())*perSecond + 1; len(b.retryBudget.receivedAt) > limit {
		t.Errorf("requests that the budget counts: got %d, want at most the %d within its window",
			len(b.retryBudget.receivedAt), limit)
	}
}

func TestRetryBudgetBoundsRetriesWithinTheWindow(t *testing.T) {
	for _, c := range []struct {
		name              string
		limits            RetryBudget
		requests, retries int
		now               Time
		want              bool
	}{
		{"fewer than the minimum", RetryBudget{MinRetries: 2, Window: time.Second}, 0, 0, 0, true},
		{"reaching the minimum", RetryBudget{MinRetries: 2, Window: time.Second}, 0, 1, 0, false},
		{"below the ratio of the requests", RetryBudget{RetryRatio: 0.5, Window: time.Second}, 5, 1, 0, true},
		{"reaching the ratio of the requests", RetryBudget{RetryRatio: 0.5, Window: time.Second}, 5, 2, 0, false},
		{"requests as old as the window", RetryBudget{RetryRatio: 0.5, Window: time.Second},
			5, 0, time.Second, false},
		{"a retry as old as the window", RetryBudget{MinRetries: 1.5, Window: time.Second},
			0, 1, time.Second, false},
		{"a retry older than the window", RetryBudget{MinRetries: 1.5, Window: time.Second},
			0, 1, time.Second + 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var budget retryBudget
			budget.configure(&c.limits)
			for range c.requests {
				budget.recordRequest(0)
			}
			for range c.retries {
				budget.recordRetry(0)
			}
			if got := budget.allows(c.now); got != c.want {
				t.Errorf("allows another retry: got %v, want %v", got, c.want)
			}
			if budget.exhaust(c.now); budget.allows(c.now) {
				t.Error("an exhausted budget allows a retry")
			}
		})
	}
}
