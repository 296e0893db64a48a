package policy

import (
	"time"
)

// defaultRetryBudget holds where the settings state none.
var defaultRetryBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second}

// retryLimitMargin, in retries, keeps their number below the limit rather than at it, so that neither the
// ratio's rounding nor another way to count entries that are just as old as the window makes it one too many.
const retryLimitMargin = 1e-9

// retryBudget bounds the retries of a node: in any window they number fewer than MinRetries plus RetryRatio
// of the requests that the node received in it. Both are counted exactly, over a sliding window; where an
// entry is as old as the window, a request counts no longer and a retry still does.
type retryBudget struct {
	limits     RetryBudget
	acceptedAt []Time // requests received within the window, oldest first
	retriesAt  []Time // retries within it, oldest first
}

// configure takes over the limits; nil stands for the default.
func (r *retryBudget) configure(limits *RetryBudget) {
	if r.limits = defaultRetryBudget; limits != nil {
		r.limits = *limits
	}
}

// recordRequest counts a request that the node received, rejected or not.
func (r *retryBudget) recordRequest(now Time) {
	r.acceptedAt = append(r.acceptedAt, now)
	r.trim(now)
}

// recordRetry counts a retry.
func (r *retryBudget) recordRetry(now Time) { r.retriesAt = append(r.retriesAt, now) }

// allows reports whether the budget has one more retry.
func (r *retryBudget) allows(now Time) bool {
	r.trim(now)
	return float64(len(r.retriesAt)+1) <= r.limit()-retryLimitMargin
}

// exhaust counts as many retries as the whole budget has, for another process may have made them.
func (r *retryBudget) exhaust(now Time) {
	for range int(r.limit()) {
		r.recordRetry(now)
	}
}

// limit is the number that the retries in the present window stay below.
func (r *retryBudget) limit() float64 {
	return r.limits.MinRetries + r.limits.RetryRatio*float64(len(r.acceptedAt))
}

// trim drops what has left the window.
func (r *retryBudget) trim(now Time) {
	start := now - r.limits.Window
	for len(r.acceptedAt) > 0 && r.acceptedAt[0] <= start {
		r.acceptedAt = r.acceptedAt[1:]
	}
	for len(r.retriesAt) > 0 && r.retriesAt[0] < start {
		r.retriesAt = r.retriesAt[1:]
	}
}

// mayRetry reports whether this process may retry a request. After a hand-over the budget is the
// successor's.
func (b *Balancer) mayRetry() bool { return !b.handedOver && b.retryBudget.allows(b.now) }
