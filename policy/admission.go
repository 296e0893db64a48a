package policy

import (
	"math"
	"time"
)

const (
	rateWindow   = time.Second // of limits made from quotas; also the retry-after of a quota of zero
	burstSeconds = 0.5         // seconds of a quota's rate in its bucket: the bursts within a share
	minBurst     = 3           // tokens, so that a sliver of a quota still passes a few at once
	maxBuckets   = 4096        // where clients name tenants freely; further ones without a quota share one
	// refillCompensation makes up for the fractions lost in whole-token refill, which let Poisson arrivals pass
	// only up to ln 2 of the rate. Far above it 1/(1/r + 1/a) still passes, of refill r and arrivals a.
	refillCompensation = 1 / math.Ln2
)

type bucketKey struct{ tenant, class string }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	key        bucketKey
	tokens     int64
	refilledAt Time
}

// refill adds the whole tokens of the time gone by, which resets the refill time, up to the burst.
func (k *bucket) refill(now Time, perSecond float64, burst int64) {
	add := math.Floor((now - k.refilledAt).Seconds() * perSecond)
	if add >= 1 {
		k.tokens, k.refilledAt = min(burst, k.tokens+int64(min(add, float64(burst)))), now
	}
}

// retryAfter is the wait, in whole seconds, that a refused client is told.
func (l Limit) retryAfter() time.Duration {
	rate := l.perSecond()
	if rate <= 0 {
		return l.Window
	}
	return max(1, time.Duration(math.Ceil(min(1/rate, math.MaxInt32)))) * time.Second
}

// nodeLimit is this node's part of a quota that holds over all nodes.
func (b *Balancer) nodeLimit(quota float64) Limit {
	rate := quota / float64(b.settings.NodeCount) * refillCompensation
	return Limit{PerWindow: rate * rateWindow.Seconds(), Window: rateWindow,
		Burst: max(minBurst, int64(math.Ceil(rate*burstSeconds)))}
}

// divideQuotas works out this node's part of each quota.
func (b *Balancer) divideQuotas() {
	set := b.settings
	b.tenantLimits, b.defaultLimit = make(map[string]Limit), set.Limits.Default
	for _, t := range set.Tenants { // a tenant that nobody agreed a share with counts as the smallest
		l := b.nodeLimit(t.Quota)
		b.tenantLimits[t.Name] = l
		if set.Limits.Default == nil && (b.defaultLimit == nil || l.PerWindow < b.defaultLimit.PerWindow) {
			b.defaultLimit = &l
		}
	}
}

// resolveLimit resolves the layers: tenant's share or default, override for the class, platform maximum.
func (b *Balancer) resolveLimit(tenant, class string) (l Limit, key bucketKey, ok bool) {
	key.tenant = tenant
	if o, found := b.settings.Limits.PerClass[class]; found {
		key.class, l, ok = class, o, true
	} else if l, ok = b.tenantLimits[tenant]; !ok && b.defaultLimit != nil {
		l, ok = *b.defaultLimit, true
	}
	if most := b.settings.Limits.Max; most > 0 {
		l.PerWindow, l.Burst = min(l.PerWindow, most), min(l.Burst, int64(most))
	}
	return l, key, ok
}

// admit takes a token, or says how long the client should wait.
func (b *Balancer) admit(tenant, class string) (bool, time.Duration) {
	l, key, ok := b.resolveLimit(tenant, class)
	if !ok {
		return true, 0
	}
	l.PerWindow *= b.rateMultiplier
	b.dropFullBuckets()
	_, told := b.tenantLimits[tenant]
	if !told && b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
		key = bucketKey{}
	}
	k := b.bucketOf(key, l.Burst)
	if !b.handedOver {
		k.refill(b.now, l.perSecond(), l.Burst)
	}
	if k.tokens <= 0 {
		b.bucketRejected = true
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

func (b *Balancer) onRequest(e Request) {
	if b.requests[e.ID] != nil {
		return // a duplicate of a request in hand
	}
	c := b.classes[e.Class]
	if was := b.formerClasses[e.Class]; e.FormerClass && was != nil {
		c = was
	}
	if c == nil { // not in the settings: one safe try, never repeated
		c = &class{Class: Class{LatencyObjective: e.Timeout, LateWeight: 1}, eligible: &b.packing.pool,
			classStats: &classStats{timerIndex: -1}}
	}
	r := &request{Request: e, class: c, maxAttempts: max(1, b.settings.Allowed.MaxAttempts)}
	b.setDeadlines(r)
	b.requests[r.ID] = r
	b.acceptedAt = append(b.acceptedAt, b.now)
	b.trimRetryBudget()
	if b.shouldShed(c) {
		b.reject(r, 0)
		return
	}
	if ok, wait := b.admit(e.Tenant, e.Class); !ok {
		b.reject(r, wait)
		return
	}
	b.dispatch(r)
}
