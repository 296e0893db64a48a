package policy

import (
	"fmt"
	"testing"
)

// With load reports, overcommit gives up the classes of the lowest priority when capacity is short. The rates of the
// buckets stay, since they would reject all classes alike.
func TestRateMultiplierIsNotLoweredWithLoadReports(t *testing.T) {
	b := startLargeFleet(t, 40, members(12))
	for range 500 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value != 1 {
		t.Errorf("the multiplier is %v, want 1", b.rateMultiplier.value)
	}
	b = start(t, site(40), members(12))
	for range 500 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value != minRateMultiplier {
		t.Errorf("without reports the multiplier is %v, want %v", b.rateMultiplier.value, minRateMultiplier)
	}
}

// In a large fleet without load reports, the limits of the nodes can't be so low that all of them together don't
// overload a server. Lost attempts lower the admitted rate there until responses come again; a few nodes rely on their
// limits.
func TestRateMultiplierFollowsLostAttemptsInLargeFleets(t *testing.T) {
	for _, c := range []struct {
		nodes   int
		follows bool
	}{{300, true}, {8, false}} {
		set := site(c.nodes)
		set.Tenants = []Tenant{{Name: "t", Quota: 10 * float64(c.nodes)}}
		b := start(t, set, members(200))
		now, n := Time(0), 0
		admitted := func(code Code) (part float64) {
			const asked = 300
			for range asked {
				now += 20 * ms
				n++
				id := fmt.Sprint("r", n)
				for _, a := range of(b.Handle(now, ask(id, "free")), Send) {
					part += 1.0 / asked
					end := outcome(id, 0, a.Server, code, 40*ms)
					end.RequestEnded = true
					b.Handle(now+ms, end)
				}
			}
			return part
		}
		admitted(OK)
		usual := admitted(OK)
		admitted(TimedOut)
		if got := admitted(TimedOut); (got < 0.6*usual) != c.follows {
			t.Errorf("%d nodes: %.2f of the requests are admitted while attempts time out, %.2f before", c.nodes, got, usual)
		}
		for range 5 { // the rates above the shares wait until few answers of the last hundreds are bad
			admitted(OK)
		}
		if got := admitted(OK); got < 0.9*usual {
			t.Errorf("%d nodes: %.2f of the requests are admitted after that, %.2f before", c.nodes, got, usual)
		}
	}
}
