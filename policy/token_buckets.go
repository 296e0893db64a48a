package policy

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxBuckets limits the memory that clients can use up by inventing tenants. Once there are this many
	// buckets, including those of tenants with a quota, new tenants without a quota share one.
	maxBuckets = 4096
	// maxTenantBytes is the length of a name up to which a tenant without a quota has a bucket of its own.
	maxTenantBytes = 256
	// bucketsPerAdmission is how many buckets each admission examines, to drop those that would be full by now.
	bucketsPerAdmission = 2
	// minBucketsToShrink and bucketShrinkRatio determine when the map of buckets is rebuilt. It is rebuilt once
	// it has held at least minBucketsToShrink buckets, and fewer than 1/bucketShrinkRatio of its peak are left.
	// Without the rebuild, the memory would stay in use, because a Go map never frees its memory.
	minBucketsToShrink, bucketShrinkRatio = 4096, 16
)

// bucketKey identifies a bucket. The class is empty except for classes with their own limit.
type bucketKey struct{ tenant, class string }

// sharedBucketKey is the key of the bucket that tenants beyond maxBuckets share. A request that names no
// tenant has the same key, unless its class has its own limit.
var sharedBucketKey = bucketKey{}

// bucket is a token bucket that holds whole tokens.
type bucket struct {
	key        bucketKey
	tokens     int64
	refilledAt Time
}

// refill adds the whole tokens that accrued since the last refill at a rate in tokens per second, up to the
// burst. If less than one token accrued, refilledAt stays, so that the fraction isn't lost. Otherwise the
// fraction beyond whole tokens is lost (see refillCompensation).
func (b *bucket) refill(now Time, perSecond float64, burst int64) {
	added := math.Floor((now - b.refilledAt).Seconds() * perSecond)
	if added >= 1 {
		b.tokens, b.refilledAt = min(burst, b.tokens+int64(min(added, float64(burst)))), now
	}
}

// bucketTable holds buckets by key. The caller sweeps them, a few at a time, and decides which ones to drop:
// each is examined with current, and then kept with advance or dropped with dropCurrent.
type bucketTable struct {
	byKey     map[bucketKey]*bucket
	ring      []*bucket // the same buckets, in the order of the sweep
	position  int       // index in ring of the current bucket of the sweep
	peakCount int       // largest number of buckets in byKey since it was created
}

func newBucketTable() bucketTable { return bucketTable{byKey: make(map[bucketKey]*bucket)} }

func (t *bucketTable) add(b *bucket) *bucket {
	t.byKey[b.key] = b
	t.ring = append(t.ring, b)
	t.peakCount = max(t.peakCount, len(t.byKey))
	return b
}

// isFull reports whether there are maxBuckets buckets or more.
func (t *bucketTable) isFull() bool { return len(t.byKey) >= maxBuckets }

// current returns the current bucket of the sweep, or nil if there are no buckets.
func (t *bucketTable) current() *bucket {
	if len(t.ring) == 0 {
		return nil
	}
	if t.position >= len(t.ring) {
		t.position = 0
	}
	return t.ring[t.position]
}

// advance moves the sweep to the next bucket.
func (t *bucketTable) advance() { t.position++ }

// dropCurrent drops the current bucket, and puts the last one of the ring in its place.
func (t *bucketTable) dropCurrent() {
	last := len(t.ring) - 1
	delete(t.byKey, t.ring[t.position].key)
	t.ring[t.position], t.ring[last] = t.ring[last], nil
	t.ring = t.ring[:last]
}

// shrink frees the memory of dropped buckets once few are left.
func (t *bucketTable) shrink() {
	if t.peakCount >= minBucketsToShrink && bucketShrinkRatio*len(t.byKey) < t.peakCount {
		t.peakCount = len(t.byKey)
		t.byKey, t.ring = maps.Collect(maps.All(t.byKey)), slices.Clone(t.ring)
	}
}
