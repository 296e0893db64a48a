package policy

import (
	"math"
	"strings"
	"time"
)

const (
	// quotaWindow is the window of the limits derived from quotas, and the Retry-After of a quota of zero.
	quotaWindow = time.Second
	// quotaBurst determines the size of the bucket of a quota: the bucket fills from empty in this time, unless
	// minBurst makes it larger.
	quotaBurst = 500 * time.Millisecond
	// minBurst is the smallest burst of a quota, in tokens, so that a very small quota still admits a few
	// requests at once.
	minBurst = 3
	// refillCompensation multiplies the refill rate of a quota, because refilling in whole tokens loses
	// fractions of tokens. With a refill rate r, Poisson arrivals at a rate a are admitted at a rate of
	// 1/(1/r + 1/a) if a is far above r, and of r * ln 2 if both are equal.
	refillCompensation = 1 / math.Ln2
)

// rateLimiter admits requests by token buckets. It owns the limits in force and the buckets. Each tenant has
// one bucket, and another for each class with its own limit. Beyond maxBuckets, tenants without a quota share
// one bucket.
type rateLimiter struct {
	limits       RateLimits       // layers that apply to every tenant
	tenantLimits map[string]Limit // this node's share of each tenant's quota
	defaultLimit *Limit           // for tenants without a quota; nil: no limit
	buckets      bucketTable
	handedOver   bool // the successor in a hot restart refills the buckets; set with Balancer.handedOver
}

// configure sets the limits, and this node's share of each quota: 1/nodeCount of it. Without a default limit,
// a tenant without a quota gets the smallest quota, or no limit if no tenant has a quota.
func (l *rateLimiter) configure(limits RateLimits, tenants []Tenant, nodeCount int) {
	l.limits, l.tenantLimits, l.defaultLimit = limits, make(map[string]Limit), limits.Default
	for _, tenant := range tenants {
		limit := quotaLimit(tenant.Quota, nodeCount)
		l.tenantLimits[tenant.Name] = limit
		if limits.Default == nil && (l.defaultLimit == nil || limit.PerWindow < l.defaultLimit.PerWindow) {
			l.defaultLimit = &limit
		}
	}
}

// quotaLimit returns one node's share of a quota, which is in requests per second over all nodes.
func quotaLimit(quota float64, nodeCount int) Limit {
	rate := quota / float64(nodeCount) * refillCompensation
	return Limit{PerWindow: rate * quotaWindow.Seconds(), Window: quotaWindow,
		Burst: max(minBurst, int64(math.Ceil(rate*quotaBurst.Seconds())))}
}

// admit takes a token for a request of the tenant and the class, or returns how long its client should wait.
// The multiplier scales the refill rate. A request without a limit needs no token.
func (l *rateLimiter) admit(now Time, tenant, class string, multiplier float64) (
	admitted bool, retryAfter time.Duration,
) {
	limit, key, limited := l.resolve(tenant, class)
	if !limited {
		return true, 0
	}
	limit.PerWindow *= multiplier
	if !l.handedOver {
		l.dropRefilled(now)
	}
	bucket := l.buckets.byKey[key]
	if bucket == nil {
		bucket = l.bucket(now, l.newBucketKey(key), limit.Burst)
	}
	if !l.handedOver {
		bucket.refill(now, limit.perSecond(), limit.Burst)
	}
	if bucket.tokens <= 0 {
		return false, limit.retryAfter()
	}
	bucket.tokens--
	return true, 0
}

// resolve returns the limit for a tenant's requests of a class, and the key of the bucket. The limit is the
// class's own, else this node's share of the tenant's quota, else the default. RateLimits.Max bounds its
// PerWindow and Burst. If none of the three exists, limited is false.
func (l *rateLimiter) resolve(tenant, class string) (limit Limit, key bucketKey, limited bool) {
	key.tenant = tenant
	if classLimit, found := l.limits.PerClass[class]; found {
		key.class, limit, limited = class, classLimit, true
	} else if limit, limited = l.tenantLimits[tenant]; !limited && l.defaultLimit != nil {
		limit, limited = *l.defaultLimit, true
	}
	if maximum := l.limits.Max; maximum > 0 {
		limit.PerWindow, limit.Burst = min(limit.PerWindow, maximum), min(limit.Burst, int64(maximum))
	}
	return limit, key, limited
}

// bucket returns the bucket for a key, and creates it if there is none. A new bucket holds the burst. After
// the hand-over it holds half of the burst, as if the other half had been left to the successor.
func (l *rateLimiter) bucket(now Time, key bucketKey, burst int64) *bucket {
	if known := l.buckets.byKey[key]; known != nil {
		return known
	}
	tokens := burst
	if l.handedOver {
		tokens -= burst / 2
	}
	return l.buckets.add(&bucket{key: key, tokens: tokens, refilledAt: now})
}

// newBucketKey returns the key of the bucket to use for a key that has no bucket yet. It is the given key or,
// if the tenant has no quota, and has a long name or there are maxBuckets buckets or more, the key of the
// shared bucket.
func (l *rateLimiter) newBucketKey(key bucketKey) bucketKey {
	_, hasQuota := l.tenantLimits[key.tenant]
	if !hasQuota && (l.buckets.isFull() || len(key.tenant) > maxTenantBytes) {
		return sharedBucketKey
	}
	key.tenant = strings.Clone(key.tenant) // it is a part of a request's head
	return key
}

// dropRefilled examines the next few buckets, and drops those that would be full by now even if they had been
// empty. It then shrinks the table if few buckets are left.
func (l *rateLimiter) dropRefilled(now Time) {
	for range bucketsPerAdmission {
		bucket := l.buckets.current()
		if bucket == nil {
			return
		}
		if l.isRefilled(now, bucket) {
			l.buckets.dropCurrent()
		} else {
			l.buckets.advance()
		}
	}
	l.buckets.shrink()
}

// isRefilled reports whether the time since a bucket's last refill would fill it from empty, even at the
// lowest rate multiplier. Whatever such a bucket holds, its next refill makes it equal to a new one: full,
// and refilled at that moment. So dropping the bucket changes no decision. isRefilled is false for the shared
// bucket, and true for a bucket whose requests no longer have a limit.
func (l *rateLimiter) isRefilled(now Time, b *bucket) bool {
	if b.key == sharedBucketKey { // used by tenants with different limits
		return false
	}
	limit, _, limited := l.resolve(b.key.tenant, b.key.class)
	limit.PerWindow *= minRateMultiplier
	return !limited ||
		math.Floor((now-b.refilledAt).Seconds()*limit.perSecond()) >= max(1, float64(limit.Burst))
}

// handOver leaves the refills, and half of the tokens of each bucket, to the successor. If active is false,
// it takes back the refills, but no tokens.
func (l *rateLimiter) handOver(active bool) {
	l.handedOver = active
	if !active {
		return
	}
	for _, bucket := range l.buckets.byKey {
		bucket.tokens -= bucket.tokens / 2
	}
}

// perSecond returns the refill rate of a limit, in tokens per second.
func (l Limit) perSecond() float64 {
	if l.Window <= 0 {
		return 0
	}
	return l.PerWindow / l.Window.Seconds()
}

// retryAfter returns the Retry-After of a rejected request: the time to refill one token, rounded up to whole
// seconds, or the window if nothing is refilled.
func (l Limit) retryAfter() time.Duration {
	rate := l.perSecond()
	if rate <= 0 {
		return l.Window
	}
	return max(1, time.Duration(math.Ceil(min(1/rate, math.MaxInt32)))) * time.Second
}

// onRequest admits a request and dispatches it, or rejects it.
func (b *Balancer) onRequest(e Request) {
	if b.requests[e.ID] != nil {
		return // duplicate of an open request
	}
	r := &request{Request: e, class: b.classOfRequest(e), maxAttempts: b.settings.Allowed.attemptsPerRequest()}
	if e.Accepted != nil {
		r.maxAttempts = attemptsPerRequest(e.Accepted.MaxAttempts)
	}
	b.setDeadlines(r)
	b.requests[r.ID] = r
	b.retryBudget.recordRequest(b.now)
	if b.shouldShed(r.class) {
		b.reject(r, 0)
		return
	}
	if admitted, retryAfter := b.admit(e.Tenant, e.Class); !admitted {
		b.reject(r, retryAfter)
		return
	}
	b.dispatch(r)
}

// admit takes a token for a request, or returns how long its client should wait. The rate multiplier learns
// of a rejection.
func (b *Balancer) admit(tenant, class string) (admitted bool, retryAfter time.Duration) {
	admitted, retryAfter = b.rateLimiter.admit(b.now, tenant, class, b.rateMultiplier.value)
	if !admitted {
		b.rateMultiplier.recordRejection()
	}
	return admitted, retryAfter
}
