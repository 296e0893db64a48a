package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestRetryAfterIsTheTimeOfOneToken(t *testing.T) {
	for _, c := range []struct {
		limit Limit
		want  time.Duration
	}{
		{Limit{PerWindow: 100, Window: time.Minute}, time.Second},
		{Limit{PerWindow: 1, Window: time.Minute}, time.Minute},
		{Limit{PerWindow: 2, Window: 5 * time.Second}, 3 * time.Second},
		{Limit{PerWindow: 5000, Window: time.Second}, time.Second},
		{Limit{PerWindow: 0, Window: 30 * time.Second}, 30 * time.Second},
		{Limit{PerWindow: -1, Window: 30 * time.Second}, 30 * time.Second},
	} {
		if got := c.limit.retryAfter(); got != c.want {
			t.Errorf("%+v: retry-after %v, want %v", c.limit, got, c.want)
		}
	}
}

func TestEmptyBucketRejectsWithRetryAfter(t *testing.T) {
	b := start(t, site(1), members(4))
	b.settings.Allowed.RetryAfter = true
	for i := 0; ; i++ {
		r := ask(fmt.Sprint(i), "free")
		r.Tenant = "u"
		if rejects := of(b.Handle(ms, r), Reject); len(rejects) == 1 {
			if i != 8 { // 10 a second / ln 2, half a second of burst
				t.Errorf("rejected after %d, want 8", i)
			}
			if rejects[0].Wait != time.Second {
				t.Errorf("retry-after %v, want 1 s", rejects[0].Wait)
			}
			break
		}
	}
}

func TestClassLimitHasItsOwnBucketAndMaximum(t *testing.T) {
	set := site(1)
	set.Limits = RateLimits{PerClass: map[string]Limit{"free": {PerWindow: 50, Window: time.Second, Burst: 50}}, Max: 2}
	b := start(t, set, members(8))
	rejected := 0
	for i := range 5 {
		rejected += len(of(b.Handle(ms, ask(fmt.Sprint("f", i), "free")), Reject))
	}
	if rejected != 3 {
		t.Errorf("rejected %d of 5, want 3: the maximum bounds the burst to 2", rejected)
	}
	if len(of(b.Handle(ms, ask("x", "once")), Reject)) != 0 {
		t.Error("another class was rejected by the bucket of the class limit")
	}
}

func TestRateLimiterResolvesTheLayers(t *testing.T) {
	classLimit := Limit{PerWindow: 5, Window: time.Minute, Burst: 7}
	half := quotaLimit(100, 2)
	smallest := quotaLimit(10, 2)
	for _, c := range []struct {
		name, tenant, class string
		limits              RateLimits
		want                Limit
		wantKey             bucketKey
	}{
		{name: "a quota is divided by the nodes", tenant: "t", class: "read", want: half, wantKey: bucketKey{tenant: "t"}},
		{name: "the smallest quota is the default", tenant: "unknown", class: "read", want: smallest,
			wantKey: bucketKey{tenant: "unknown"}},
		{name: "a stated default", tenant: "unknown", class: "read", limits: RateLimits{Default: &classLimit},
			want: classLimit, wantKey: bucketKey{tenant: "unknown"}},
		{name: "a class limit has a bucket of its own", tenant: "t", class: "write",
			limits: RateLimits{PerClass: map[string]Limit{"write": classLimit}},
			want:   classLimit, wantKey: bucketKey{tenant: "t", class: "write"}},
		{name: "the maximum bounds rate and burst", tenant: "t", class: "read", limits: RateLimits{Max: 2},
			want: Limit{PerWindow: 2, Window: quotaWindow, Burst: 2}, wantKey: bucketKey{tenant: "t"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := rateLimiter{buckets: newBucketTable()}
			limiter.configure(c.limits, []Tenant{{Name: "t", Quota: 100}, {Name: "u", Quota: 10}}, 2)
			limit, key, limited := limiter.resolve(c.tenant, c.class)
			if !limited || limit != c.want || key != c.wantKey {
				t.Errorf("got %+v of %+v, limited %v; want %+v of %+v", limit, key, limited, c.want, c.wantKey)
			}
		})
	}
}
