package policy

import (
	"math"
	"testing"
	"time"
)

// The rate settles at the rate of the responses. The peak per server decays slowly after the responses end.
func TestCompletionRate(t *testing.T) {
	const perSecond, servers = 50, 5
	var c completionRate
	now := time.Hour
	for range 20 * perSecond {
		now += time.Second / perSecond
		c.record(now, servers)
	}
	if got := c.current(now); math.Abs(got-perSecond) > 1 {
		t.Errorf("completion rate: got %v, want about %v", got, perSecond)
	}
	for _, step := range []struct {
		after        time.Duration
		peakFraction float64 // fraction of the peak that remains
	}{{0, 1}, {5 * time.Second, math.Exp(-5.0 / 60)}, {10 * time.Minute, 0}} {
		now += step.after
		want := step.peakFraction * perSecond / servers
		if got := c.serverPeak(now, servers); math.Abs(got-want) > 0.05*want+0.01 {
			t.Errorf("peak per server: got %v after %v, want about %v", got, step.after, want)
		}
	}
}
