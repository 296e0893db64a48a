package policy

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxBuckets is the number of buckets, those of tenants with a quota included, from which on a further
	// tenant without a quota gets no bucket of its own, for clients may invent tenants: those share one.
	maxBuckets = 4096
	// bucketsPerSweep is how many buckets each admission examines.
	bucketsPerSweep = 2
	// minBucketsToShrink and bucketShrinkRatio say when the map of buckets is made anew, for a Go map never
	// returns its memory: when it held at least so many buckets, and less than this part of them is left.
	minBucketsToShrink, bucketShrinkRatio = 4096, 16
)

// bucketKey names a bucket. The class is empty but for classes that have a limit of their own.
type bucketKey struct{ tenant, class string }

// sharedBucketKey is the key of the bucket that the tenants beyond maxBuckets share.
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
	added := math.Floor((now - b.refilledAt).Seconds() * perSecond)
	if added >= 1 {
		b.tokens, b.refilledAt = min(burst, b.tokens+int64(min(added, float64(burst)))), now
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

// isFull reports whether there are maxBuckets or more.
func (t *bucketTable) isFull() bool { return len(t.byKey) >= maxBuckets }

// current returns the next bucket of the sweep; nil if there is none.
func (t *bucketTable) current() *bucket {
	if len(t.ring) == 0 {
		return nil
	}
	if t.next >= len(t.ring) {
		t.next = 0
	}
	return t.ring[t.next]
}

// advance leaves the current bucket and goes on to the next one.
func (t *bucketTable) advance() { t.next++ }

// dropCurrent drops the current bucket; the last one of the ring takes its place.
func (t *bucketTable) dropCurrent() {
	last := len(t.ring) - 1
	delete(t.byKey, t.ring[t.next].key)
	t.ring[t.next], t.ring[last] = t.ring[last], nil
	t.ring = t.ring[:last]
}

// shrink returns the memory of dropped buckets once few are left.
func (t *bucketTable) shrink() {
	if t.peakCount >= minBucketsToShrink && bucketShrinkRatio*len(t.byKey) < t.peakCount {
		t.peakCount = len(t.byKey)
		t.byKey, t.ring = maps.Collect(maps.All(t.byKey)), slices.Clone(t.ring)
	}
}
