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
			t.Errorf("Retry-After of %+v: got %v, want %v", c.limit, got, c.want)
		}
	}
}

func TestEmptyBucketRejectsWithRetryAfter(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(4))
	b.settings.Allowed.RetryAfter = true
	for i := 0; ; i++ {
		r := newRequest(fmt.Sprint(i), "free")
		r.Tenant = "u"
		if rejects := actionsOf(b.Handle(ms, r), Reject); len(rejects) == 1 {
			if i != 8 { // half a second at 10 / ln 2 requests per second
				t.Errorf("requests admitted before the first rejection: got %d, want 8", i)
			}
			if rejects[0].Wait != time.Second {
				t.Errorf("Retry-After: got %v, want 1s", rejects[0].Wait)
			}
			break
		}
	}
}

func TestClassLimitHasItsOwnBucketAndMaximum(t *testing.T) {
	set := testSettings(1)
	set.Limits = RateLimits{
		PerClass: map[string]Limit{"free": {PerWindow: 50, Window: time.Second, Burst: 50}}, Max: 2}
	b := startBalancer(t, set, testEndpoints(8))
	rejected := 0
	for i := range 5 {
		rejected += len(actionsOf(b.Handle(ms, newRequest(fmt.Sprint("f", i), "free")), Reject))
	}
	if rejected != 3 {
		t.Errorf("rejected requests: got %d of 5, want 3, as the maximum bounds the burst to 2", rejected)
	}
	if len(actionsOf(b.Handle(ms, newRequest("x", "once")), Reject)) != 0 {
		t.Error("a request of another class was rejected by the bucket of the class limit")
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
		{name: "a quota is divided among the nodes", tenant: "t", class: "read", want: half,
			wantKey: bucketKey{tenant: "t"}},
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
				t.Errorf("got limit %+v, key %+v, limited %v; want limit %+v, key %+v, limited true",
					limit, key, limited, c.want, c.wantKey)
			}
		})
	}
}
