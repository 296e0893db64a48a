package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// neverDrops are the buckets of a node that keeps all it ever made.
type neverDrops map[bucketKey]*bucket

func (n neverDrops) admits(b *Balancer, tenant, class string) bool {
	l, key, ok := b.rateLimiter.resolve(tenant, class)
	if !ok {
		return true
	}
	l.PerWindow *= b.rateMultiplier.value
	k := n[key]
	if k == nil {
		k = &bucket{tokens: l.Burst, refilledAt: b.now}
		n[key] = k
	}
	k.refill(b.now, l.perSecond(), l.Burst)
	if k.tokens <= 0 {
		return false
	}
	k.tokens--
	return true
}

// Dropping full buckets changes no decision, at whatever pace the rates are.
func TestDroppedBucketsChangeNoDecision(t *testing.T) {
	dropped := 0
	rapid.Check(t, func(t *rapid.T) {
		set := site(rapid.IntRange(1, 5).Draw(t, "nodes"))
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
		model := make(neverDrops)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			b.now += time.Duration(rapid.SampledFrom([]int{0, 1, 30, 999, 5000, 60000}).Draw(t, "wait")) * ms
			b.rateMultiplier.value = rapid.SampledFrom([]float64{minRateMultiplier, 0.5, 1, maxRateMultiplier}).Draw(t, "pace")
			tenant := fmt.Sprint("t", rapid.IntRange(0, 12).Draw(t, "tenant")) // the last isn't named
			class := rapid.SampledFrom([]string{"free", "once"}).Draw(t, "class")
			want := model.admits(b, tenant, class)
			if got, _ := b.admit(tenant, class); got != want {
				t.Fatalf("%s, %s at %v: admitted %v, by a node that keeps all its buckets %v", tenant, class, b.now, got, want)
			}
		}
		if len(b.rateLimiter.buckets.byKey) != len(b.rateLimiter.buckets.ring) {
			t.Fatalf("%d buckets, %d in the ring", len(b.rateLimiter.buckets.byKey), len(b.rateLimiter.buckets.ring))
		}
		dropped += len(model) - len(b.rateLimiter.buckets.byKey)
	})
	if dropped == 0 {
		t.Error("no bucket was dropped")
	}
}

// A bucket that was dropped is as good as handed over: the process that takes over makes a full one, and the one
// that ceded spends half at most.
func TestDroppedBucketIsCededByHalf(t *testing.T) {
	b := start(t, site(1), members(2))
	l := b.rateLimiter.tenantLimits["u"]
	for now := Time(0); now < time.Minute; now += time.Second {
		tenant := "t"
		if now == 0 {
			tenant = "u"
		}
		b.now = now
		b.admit(tenant, "free")
	}
	if b.rateLimiter.buckets.byKey[bucketKey{tenant: "u"}] != nil {
		t.Fatal("a full bucket was kept for a minute")
	}
	b.Handle(time.Minute, HandedOver{Active: true})
	admitted := int64(0)
	for range 2 * l.Burst {
		if ok, _ := b.admit("u", "free"); ok {
			admitted++
		}
	}
	if most := l.Burst - l.Burst/2; admitted != most {
		t.Errorf("a ceded process admits %d of a burst of %d, want %d", admitted, l.Burst, most)
	}
}

// seenOnce has each of n tenants make one request, a millisecond apart, and tells what the node's buckets hold then
// and some requests later.
func seenOnce(tb testing.TB, n int) (admitted, kept, later int, held uint64) {
	set := site(1)
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
	kept = len(b.rateLimiter.buckets.byKey)
	for range 2 * kept {
		b.now += ms
		b.admit("tenant-0", "free")
	}
	after := heap()
	later = len(b.rateLimiter.buckets.byKey)
	return admitted, kept, later, after - min(before, after)
}

// What is kept follows the tenants that ask, not those ever seen.
func TestBucketsOfTenantsSeenOnceAreDropped(t *testing.T) {
	const tenants = 50000
	admitted, kept, later, _ := seenOnce(t, tenants)
	if kept > maxBuckets || later > 10 {
		t.Errorf("of %d tenants seen once %d buckets are kept at once, %d later", tenants, kept, later)
	}
	if admitted < tenants {
		t.Errorf("the first request of %d of %d tenants is refused", tenants-admitted, tenants)
	}
}

// Tenants that the settings name have buckets of their own, however many ask at once; of those that clients name
// freely, further ones share a bucket.
func TestTenantsWithQuotasShareNoBucket(t *testing.T) {
	const tenants = 3 * maxBuckets
	set := site(1)
	set.Tenants = nil
	for i := range tenants {
		set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("told", i), Quota: 1})
	}
	b := start(t, set, members(1))
	for _, c := range []struct {
		name string
		want func(admitted int) bool
	}{
		{"told", func(admitted int) bool { return admitted == tenants }},
		{"free", func(admitted int) bool { return admitted < maxBuckets }},
	} {
		admitted := 0
		for i := range tenants {
			if ok, _ := b.admit(fmt.Sprint(c.name, i), "free"); ok {
				admitted++
			}
		}
		if !c.want(admitted) {
			t.Errorf("%d of %d first requests of tenants called %s are admitted", admitted, tenants, c.name)
		}
	}
	if most := tenants + 1; len(b.rateLimiter.buckets.byKey) > most {
		t.Errorf("%d buckets are kept, want at most %d", len(b.rateLimiter.buckets.byKey), most)
	}
}

// BenchmarkTenantsSeenOnce gives the bytes that 800,000 tenants leave behind.
func BenchmarkTenantsSeenOnce(b *testing.B) {
	for b.Loop() {
		admitted, kept, later, held := seenOnce(b, 800000)
		b.ReportMetric(float64(admitted), "admitted")
		b.ReportMetric(float64(kept), "buckets-at-the-end")
		b.ReportMetric(float64(later), "buckets-later")
		b.ReportMetric(float64(held), "bytes-held")
	}
}
