package policy

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxBuckets is the number of buckets, those of tenants with a quota included, from which on further
	// tenants without a quota share one bucket, since clients may invent tenants.
	maxBuckets = 4096
	// bucketsPerSweep is how many buckets each admission examines.
	bucketsPerSweep = 2
	// minBucketsToShrink and bucketShrinkRatio determine when the map of buckets is rebuilt, since a Go map
	// never returns its memory: once it has held at least minBucketsToShrink buckets and fewer than
	// 1/bucketShrinkRatio of the most it held are left.
	minBucketsToShrink, bucketShrinkRatio = 4096, 16
)

// bucketKey identifies a bucket. The class is empty except for classes with their own limit.
type bucketKey struct{ tenant, class string }

// sharedBucketKey is the key of the bucket that tenants beyond maxBuckets share.
var sharedBucketKey = bucketKey{}

// bucket is a token bucket that holds whole tokens.
type bucket struct {
	key        bucketKey
	tokens     int64
	refilledAt Time
}

// refill adds the whole tokens that accrued since the last refill at a rate in tokens per second, up to the
// burst. If less than one token accrued, the refill time stays.
func (b *bucket) refill(now Time, perSecond float64, burst int64) {
	added := math.Floor((now - b.refilledAt).Seconds() * perSecond)
	if added >= 1 {
		b.tokens, b.refilledAt = min(burst, b.tokens+int64(min(added, float64(burst)))), now
	}
}

// bucketTable holds buckets by key, and sweeps them a few at a time to drop those that are no longer needed.
type bucketTable struct {
	byKey     map[bucketKey]*bucket
	ring      []*bucket // the same buckets, in sweep order
	next      int       // index in ring of the next bucket to examine
	peakCount int       // largest number of buckets in byKey since it was created
}

func newBucketTable() bucketTable { return bucketTable{byKey: make(map[bucketKey]*bucket)} }

func (t *bucketTable) add(b *bucket) *bucket {
	t.byKey[b.key] = b
	t.ring = append(t.ring, b)
	t.peakCount = max(t.peakCount, len(t.byKey))
	return b
}

// isFull reports whether there are maxBuckets or more.
func (t *bucketTable) isFull() bool { return len(t.byKey) >= maxBuckets }

// current returns the next bucket of the sweep, or nil if there is none.
func (t *bucketTable) current() *bucket {
	if len(t.ring) == 0 {
		return nil
	}
	if t.next >= len(t.ring) {
		t.next = 0
	}
	return t.ring[t.next]
}

// advance moves the sweep to the next bucket.
func (t *bucketTable) advance() { t.next++ }

// dropCurrent drops the current bucket, and puts the last one of the ring in its place.
func (t *bucketTable) dropCurrent() {
	last := len(t.ring) - 1
	delete(t.byKey, t.ring[t.next].key)
	t.ring[t.next], t.ring[last] = t.ring[last], nil
	t.ring = t.ring[:last]
}

// shrink frees the memory of dropped buckets once few are left.
func (t *bucketTable) shrink() {
	if t.peakCount >= minBucketsToShrink && bucketShrinkRatio*len(t.byKey) < t.peakCount {
		t.peakCount = len(t.byKey)
		t.byKey, t.ring = maps.Collect(maps.All(t.byKey)), slices.Clone(t.ring)
	}
}
