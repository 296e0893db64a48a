package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bucketModel models the buckets of a node that drops none.
type bucketModel map[bucketKey]*bucket

func (m bucketModel) admits(b *Balancer, tenant, class string) bool {
	limit, key, limited := b.rateLimiter.resolve(tenant, class)
	if !limited {
		return true
	}
	limit.PerWindow *= b.rateMultiplier.value
	entry := m[key]
	if entry == nil {
		entry = &bucket{tokens: limit.Burst, refilledAt: b.now}
		m[key] = entry
	}
	entry.refill(b.now, limit.perSecond(), limit.Burst)
	if entry.tokens <= 0 {
		return false
	}
	entry.tokens--
	return true
}

// Dropping full buckets changes no decision, at any rate multiplier.
func TestDroppedBucketsChangeNoDecision(t *testing.T) {
	dropped := 0
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings(rapid.IntRange(1, 5).Draw(t, "nodes"))
		set.Tenants = nil
		for i := range 12 {
			quota := rapid.SampledFrom([]float64{0, 0.1, 1, 3.7, 20, 300}).Draw(t, "quota")
			set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: quota})
		}
		set.Limits.PerClass = map[string]Limit{"once": {
			PerWindow: float64(rapid.IntRange(-1, 8).Draw(t, "per window")), Window: 3 * time.Second,
			Burst: int64(rapid.IntRange(0, 5).Draw(t, "burst"))}}
		set.Limits.Max = float64(rapid.SampledFrom([]int{0, 4}).Draw(t, "max"))
		b, err := New(set, 0, 1)
		if err != nil {
			t.Fatal(err)
		}
		model := make(bucketModel)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			b.now += time.Duration(rapid.SampledFrom([]int{0, 1, 30, 999, 5000, 60000}).Draw(t, "wait")) * ms
			b.rateMultiplier.value = rapid.SampledFrom(
				[]float64{minRateMultiplier, 0.5, 1, maxRateMultiplier}).Draw(t, "multiplier")
			tenant := fmt.Sprint("t", rapid.IntRange(0, 12).Draw(t, "tenant")) // the last has no quota
			class := rapid.SampledFrom([]string{"free", "once"}).Draw(t, "class")
			want := model.admits(b, tenant, class)
			if got, _ := b.admit(tenant, class); got != want {
				t.Fatalf("tenant %s, class %s at %v: admitted: got %v, want %v, as if no bucket were dropped",
					tenant, class, b.now, got, want)
			}
		}
		if len(b.rateLimiter.buckets.byKey) != len(b.rateLimiter.buckets.ring) {
			t.Fatalf("got %d buckets in the map and %d in the ring, want equal numbers",
				len(b.rateLimiter.buckets.byKey), len(b.rateLimiter.buckets.ring))
		}
		dropped += len(model) - len(b.rateLimiter.buckets.byKey)
	})
	if dropped == 0 {
		t.Error("no bucket was dropped in any of the runs")
	}
}

// A tenant's bucket was dropped before the hand-over, and both processes now serve the tenant. The successor
// starts with a full bucket, so the old process gets one with only half of the burst, rounded up.
func TestProcessHasHalfOfDroppedBucketAfterHandOver(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	limit := b.rateLimiter.tenantLimits["u"]
	for now := Time(0); now < time.Minute; now += time.Second {
		tenant := "t"
		if now == 0 {
			tenant = "u"
		}
		b.now = now
		b.admit(tenant, "free")
	}
	if b.rateLimiter.buckets.byKey[bucketKey{tenant: "u"}] != nil {
		t.Fatal("the full bucket of tenant u was not dropped within a minute")
	}
	b.Handle(time.Minute, HandedOver{Active: true})
	admitted := int64(0)
	for range 2 * limit.Burst {
		if ok, _ := b.admit("u", "free"); ok {
			admitted++
		}
	}
	if want := limit.Burst - limit.Burst/2; admitted != want {
		t.Errorf("admitted after the hand-over: got %d of a burst of %d, want %d", admitted, limit.Burst, want)
	}
}

// requestOncePerTenant makes one request for each of n tenants, a millisecond apart. It returns the number of
// admitted requests, the number of buckets after these requests (atEnd) and after further requests of one
// tenant (later), and the bytes of heap still in use after the further requests.
func requestOncePerTenant(tb testing.TB, n int) (admitted, atEnd, later int, heapBytes uint64) {
	set := testSettings(1)
	set.Tenants, set.Limits.Default = nil, &Limit{PerWindow: 10, Window: time.Second, Burst: 5}
	b, err := New(set, 0, 1)
	if err != nil {
		tb.Fatal(err)
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := range n {
		b.now += ms
		if ok, _ := b.admit(fmt.Sprintf("tenant-%d", i), "free"); ok {
			admitted++
		}
	}
	atEnd = len(b.rateLimiter.buckets.byKey)
	for range 2 * atEnd {
		b.now += ms
		b.admit("tenant-0", "free")
	}
	after := heap()
	later = len(b.rateLimiter.buckets.byKey)
	return admitted, atEnd, later, after - min(before, after)
}

// The number of buckets follows the tenants that send requests now, not all that were ever seen.
func TestBucketsOfTenantsSeenOnceAreDropped(t *testing.T) {
	const tenants = 50000
	admitted, atEnd, later, _ := requestOncePerTenant(t, tenants)
	if atEnd > maxBuckets || later > 10 {
		t.Errorf("after %d tenants seen once: got %d buckets, want at most maxBuckets; later %d, want at most 10",
			tenants, atEnd, later)
	}
	if admitted < tenants {
		t.Errorf("rejected first requests: got %d of %d, want none", tenants-admitted, tenants)
	}
}

// Tenants with a quota have their own buckets, even beyond maxBuckets. Their buckets count towards
// maxBuckets. Once that is reached, new tenants without a quota share one bucket.
func TestTenantsWithQuotasShareNoBucket(t *testing.T) {
	const tenants = 3 * maxBuckets
	set := testSettings(1)
	set.Tenants = nil
	for i := range tenants {
		set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("quota", i), Quota: 1})
	}
	b := startBalancer(t, set, testEndpoints(1))
	for _, c := range []struct {
		name string
		want func(admitted int) bool
	}{
		{"quota", func(admitted int) bool { return admitted == tenants }},
		{"free", func(admitted int) bool { return admitted < maxBuckets }},
	} {
		admitted := 0
		for i := range tenants {
			if ok, _ := b.admit(fmt.Sprint(c.name, i), "free"); ok {
				admitted++
			}
		}
		if !c.want(admitted) {
			t.Errorf("admitted %d of %d tenants named %s; want all if named quota, fewer than maxBuckets if free",
				admitted, tenants, c.name)
		}
	}
	if limit := tenants + 1; len(b.rateLimiter.buckets.byKey) > limit {
		t.Errorf("buckets of all tenants: got %d, want at most %d", len(b.rateLimiter.buckets.byKey), limit)
	}
}

// BenchmarkTenantsSeenOnce lets 800,000 tenants make one request each, and then one of them make further
// requests. It reports the admitted requests of the first part, the number of buckets after each part, and
// the memory held at the end.
func BenchmarkTenantsSeenOnce(b *testing.B) {
	for b.Loop() {
		admitted, atEnd, later, heapBytes := requestOncePerTenant(b, 800000)
		b.ReportMetric(float64(admitted), "admitted")
		b.ReportMetric(float64(atEnd), "buckets-at-the-end")
		b.ReportMetric(float64(later), "buckets-later")
		b.ReportMetric(float64(heapBytes), "bytes-held")
	}
}

func TestBucketRefillsInWholeTokens(t *testing.T) {
	const ms = time.Millisecond
	k := bucket{tokens: 0, refilledAt: 0}
	k.refill(599*ms, 1.667, 100)
	if k.tokens != 0 || k.refilledAt != 0 {
		t.Fatalf("under one token: got %+v, want nothing added and the refill time kept", k)
	}
	k.refill(1100*ms, 1.667, 100) // 1.83 tokens: one is added, the fraction is lost
	if k.tokens != 1 || k.refilledAt != 1100*ms {
		t.Fatalf("1.83 tokens: got %+v, want one token and the refill time reset", k)
	}
	k.refill(time.Hour, 1.667, 100)
	if k.tokens != 100 {
		t.Fatalf("after an hour: got %d tokens, want the burst of 100", k.tokens)
	}
}
