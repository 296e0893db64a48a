package policy

import (
	"time"
)

// defaultRetryBudget applies if the settings state none.
var defaultRetryBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second}

// retryLimitMargin, in retries, keeps the number of retries below the limit rather than at it. Otherwise,
// rounding of the ratio could allow one retry too many. An observer may count entries that are exactly as old
// as the window differently, and could then also find one retry too many.
const retryLimitMargin = 1e-9

// retryBudget bounds the retries of a node. In any window, the node makes fewer retries than MinRetries plus
// RetryRatio times the number of requests that it received in the window. Requests and retries are counted
// exactly, over a sliding window. A request that is exactly as old as the window no longer counts; a retry of
// that age still does.
type retryBudget struct {
	limits     RetryBudget
	receivedAt []Time // times of the requests received within the window, oldest first
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
	r.receivedAt = append(r.receivedAt, now)
	r.trim(now)
}

// recordRetry counts a retry.
func (r *retryBudget) recordRetry(now Time) { r.retriesAt = append(r.retriesAt, now) }

// allows reports whether the budget permits another retry.
func (r *retryBudget) allows(now Time) bool {
	r.trim(now)
	return float64(len(r.retriesAt)+1) <= r.limit()-retryLimitMargin
}

// exhaust records as many further retries as the current limit, rounded down, because the successor in a hot
// restart may have made them.
func (r *retryBudget) exhaust(now Time) {
	for range int(r.limit()) {
		r.recordRetry(now)
	}
}

// limit returns the number that the retries in the current window must stay below.
func (r *retryBudget) limit() float64 {
	return r.limits.MinRetries + r.limits.RetryRatio*float64(len(r.receivedAt))
}

// trim drops the entries that have left the window.
func (r *retryBudget) trim(now Time) {
	start := now - r.limits.Window
	for len(r.receivedAt) > 0 && r.receivedAt[0] <= start {
		r.receivedAt = r.receivedAt[1:]
	}
	for len(r.retriesAt) > 0 && r.retriesAt[0] < start {
		r.retriesAt = r.retriesAt[1:]
	}
}

// mayRetry reports whether this process may retry a request. After a hand-over, the successor has the budget.
func (b *Balancer) mayRetry() bool { return !b.handedOver && b.retryBudget.allows(b.now) }
