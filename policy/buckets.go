package policy

import (
	"maps"
	"math"
	"slices"
)

// The buckets of tenants are kept only while they aren't full: a new bucket is full, so one that has refilled says
// nothing. Each request looks at a few in turn, so at most about twice as many are kept as aren't full. No
// decisions here.

const (
	bucketsLooked = 2    // buckets that each request looks at
	bucketsShrink = 16   // their map is made anew once it holds so small a part of the most that it held,
	bucketsLeast  = 4096 // where that was so many
)

// bucketRing are the buckets in the order in which they are looked at.
type bucketRing struct {
	buckets []*bucket
	next    int // index of the next one
	most    int // buckets that the map held since it was made
}

// bucketOf returns the bucket of a key, a new one where none is kept. Of a new one's tokens the process that takes
// over has half, as of those of all others.
func (b *Balancer) bucketOf(key bucketKey, burst int64) *bucket {
	k := b.buckets[key]
	if k == nil {
		k = &bucket{key: key, tokens: burst, last: b.now}
		if b.handedOver {
			k.tokens -= burst / 2
		}
		b.buckets[key] = k
		b.ring.buckets = append(b.ring.buckets, k)
		b.ring.most = max(b.ring.most, len(b.buckets))
	}
	return k
}

// dropBuckets looks at the next few buckets and drops those that are full.
func (b *Balancer) dropBuckets() {
	ring := &b.ring
	for range bucketsLooked {
		if len(ring.buckets) == 0 || b.handedOver { // a ceded process refills none
			return
		}
		if ring.next >= len(ring.buckets) {
			ring.next = 0
		}
		k := ring.buckets[ring.next]
		if !b.refilled(k) {
			ring.next++
			continue
		}
		delete(b.buckets, k.key)
		last := len(ring.buckets) - 1
		ring.buckets[ring.next], ring.buckets[last] = ring.buckets[last], nil
		ring.buckets = ring.buckets[:last]
	}
	if ring.most >= bucketsLeast && bucketsShrink*len(b.buckets) < ring.most { // a map gives no memory back
		ring.most = len(b.buckets)
		b.buckets, ring.buckets = maps.Collect(maps.All(b.buckets)), slices.Clone(ring.buckets)
	}
}

// refilled tells whether the time since a bucket's last refill fills it from empty, at the least pace that may yet
// come. Whatever it held, its next refill then makes it what a new one is: full, as of the moment of that.
func (b *Balancer) refilled(k *bucket) bool {
	if k.key == (bucketKey{}) { // of all who found no room among the buckets: it has no limit of its own
		return false
	}
	l, _, limited := b.limitFor(k.key.tenant, k.key.class)
	l.PerWindow *= paceLeast
	return !limited || math.Floor((b.now-k.last).Seconds()*l.perSecond()) >= max(1, float64(l.Burst))
}
