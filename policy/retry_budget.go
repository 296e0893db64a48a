package policy

import (
	"time"
)

// defaultRetryBudget applies if the settings state none.
var defaultRetryBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second}

// retryLimitMargin, in retries, keeps their number below the limit rather than at it, so that neither
// rounding of the ratio nor a different treatment of entries exactly as old as the window allows one retry
// too many.
const retryLimitMargin = 1e-9

// retryBudget bounds the retries of a node: in any window there are fewer than MinRetries plus RetryRatio
// times the requests that the node received in it. Both are counted exactly, over a sliding window. When an
// entry is exactly as old as the window, a request no longer counts and a retry still does.
type retryBudget struct {
	limits     RetryBudget
	acceptedAt []Time // times of the requests received within the window, oldest first
	retriesAt  []Time // times of the retries within the window, oldest first
}

// configure sets the limits; nil selects the default.
func (r *retryBudget) configure(limits *RetryBudget) {
	if r.limits = defaultRetryBudget; limits != nil {
		r.limits = *limits
	}
}

// recordRequest counts a request that the node received, whether it is rejected or not.
func (r *retryBudget) recordRequest(now Time) {
	r.acceptedAt = append(r.acceptedAt, now)
	r.trim(now)
}

// recordRetry counts a retry.
func (r *retryBudget) recordRetry(now Time) { r.retriesAt = append(r.retriesAt, now) }

// allows reports whether the budget permits another retry.
func (r *retryBudget) allows(now Time) bool {
	r.trim(now)
	return float64(len(r.retriesAt)+1) <= r.limit()-retryLimitMargin
}

// exhaust counts as many retries as the whole budget permits, since another process may have made them.
func (r *retryBudget) exhaust(now Time) {
	for range int(r.limit()) {
		r.recordRetry(now)
	}
}

// limit returns the number that the retries in the current window must stay below.
func (r *retryBudget) limit() float64 {
	return r.limits.MinRetries + r.limits.RetryRatio*float64(len(r.acceptedAt))
}

// trim drops the entries that have left the window.
func (r *retryBudget) trim(now Time) {
	start := now - r.limits.Window
	for len(r.acceptedAt) > 0 && r.acceptedAt[0] <= start {
		r.acceptedAt = r.acceptedAt[1:]
	}
	for len(r.retriesAt) > 0 && r.retriesAt[0] < start {
		r.retriesAt = r.retriesAt[1:]
	}
}

// mayRetry reports whether this process may retry a request. After a hand-over, the successor has the budget.
func (b *Balancer) mayRetry() bool { return !b.handedOver && b.retryBudget.allows(b.now) }
