package policy

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxBuckets bounds the buckets of tenants without a quota, for clients may invent tenants: further ones
	// share one bucket.
	maxBuckets = 4096
	// bucketsPerSweep is how many buckets each admission examines.
	bucketsPerSweep = 2
	// minBucketsToShrink and bucketShrinkRatio say when the map of buckets is made anew, for a Go map never
	// returns its memory: when it held at least so many buckets, and less than this part of them is left.
	minBucketsToShrink, bucketShrinkRatio = 4096, 16
)

// bucketKey names a bucket. The class is empty but for classes that have a limit of their own.
type bucketKey struct{ tenant, class string }

// sharedBucketKey is the key of the bucket for tenants beyond maxBuckets.
var sharedBucketKey = bucketKey{}

// bucket is a token bucket with whole tokens.
type bucket struct {
	key        bucketKey
	tokens     int64
	refilledAt Time
}

// refill adds the whole tokens that the rate, in tokens per second, gave since the last refill, up to the
// burst. Less than one token leaves the refill time as it is.
func (b *bucket) refill(now Time, perSecond float64, burst int64) {
	add := math.Floor((now - b.refilledAt).Seconds() * perSecond)
	if add >= 1 {
		b.tokens, b.refilledAt = min(burst, b.tokens+int64(min(add, float64(burst)))), now
	}
}

// bucketTable holds buckets by key, and sweeps them a few at a time, so that those which no longer matter
// are dropped.
type bucketTable struct {
	byKey     map[bucketKey]*bucket
	ring      []*bucket // the same buckets, in the order of the sweep
	next      int       // index in ring of the next to examine
	peakCount int       // most buckets that byKey held since it was made
}

func newBucketTable() bucketTable { return bucketTable{byKey: make(map[bucketKey]*bucket)} }

func (t *bucketTable) add(b *bucket) *bucket {
	t.byKey[b.key] = b
	t.ring = append(t.ring, b)
	t.peakCount = max(t.peakCount, len(t.byKey))
	return b
}

// shareWhenFull returns the key itself, or that of the shared bucket where the table is full and has no
// bucket of the key.
func (t *bucketTable) shareWhenFull(key bucketKey) bucketKey {
	if t.byKey[key] == nil && len(t.byKey) >= maxBuckets {
		return sharedBucketKey
	}
	return key
}

// sweep examines the next few buckets and drops those that isRefilled names.
func (t *bucketTable) sweep(isRefilled func(*bucket) bool) {
	for range bucketsPerSweep {
		if len(t.ring) == 0 {
			return
		}
		if t.next >= len(t.ring) {
			t.next = 0
		}
		if isRefilled(t.ring[t.next]) {
			t.dropNext()
		} else {
			t.next++
		}
	}
	if t.peakCount >= minBucketsToShrink && bucketShrinkRatio*len(t.byKey) < t.peakCount {
		t.peakCount = len(t.byKey)
		t.byKey, t.ring = maps.Collect(maps.All(t.byKey)), slices.Clone(t.ring)
	}
}

// dropNext drops the bucket at next, and puts the last one of the ring in its place.
func (t *bucketTable) dropNext() {
	last := len(t.ring) - 1
	delete(t.byKey, t.ring[t.next].key)
	t.ring[t.next], t.ring[last] = t.ring[last], nil
	t.ring = t.ring[:last]
}
