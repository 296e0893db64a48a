package policy

import (
	"fmt"
	"math"
	"testing"
)

// The window shrinks while servers are busier than targetUtilization. It grows while they are less busy
// and the node has found no capacity; otherwise it stays.
func TestWindowFollowsUtilization(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(40))
	s, first := b.order()[0], b.concurrencyWindow()
	reportLoad(b, s, 30, report(100, 0.3, 10))
	if b.concurrencyWindow() != first {
		t.Errorf("window that was never full: went from %v to %v, want no change", first, b.concurrencyWindow())
	}
	reportLoad(b, s, 30, report(100, 1, 30))
	full := b.concurrencyWindow()
	if full >= first {
		t.Errorf("window while servers are full: got %v, want less than %v", full, first)
	}
	for range 60 {
		b.window.capacityWanted = true
		reportLoad(b, s, 1, report(100, 0.3, 10))
	}
	if b.concurrencyWindow() <= full {
		t.Errorf("window with idle servers: got %v, want more than with full servers", b.concurrencyWindow())
	}
}

// However many servers there are, a node has no more attempts in flight than its window, except those of the
// class with the highest priority.
func TestAttemptsInFlightStayWithinTheWindow(t *testing.T) {
	set := testSettings(40)
	set.ReportFields = []string{"latency_ms", "util", "qps"}
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight = 1, 5
	set.Tenants[0].Quota = 1e6
	b := startBalancer(t, set, testEndpoints(40))
	send := func(class string) (n int) {
		for i := range 100 {
			n += len(actionsOf(b.Handle(b.now, newRequest(fmt.Sprint(class, i), class)), Send))
		}
		return n
	}
	if n := send("free"); float64(n) >= b.concurrencyWindow()+1 || n < 2 {
		t.Errorf("attempts in flight: got %d, want at least 2, and less than the window of %v plus 1",
			n, b.concurrencyWindow())
	}
	if n := send("once"); n == 0 {
		t.Error("the class of the highest priority got no attempts beyond the window")
	}
	if limit := maxReportedOvercommit*b.concurrencyWindow() + 1; float64(b.window.inFlight) > limit {
		t.Errorf("attempts in flight with the highest priority: got %d, want at most %v", b.window.inFlight, limit)
	}
}

// A server that is overloaded or warming up is busy whatever the node does. So its reports say nothing about
// the load of other servers.
func TestWindowIgnoresOverloadedAndWarmingUpServers(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	for _, s := range b.order() {
		reportLoad(b, s, 3, report(100, 0.5, 10))
	}
	before := b.concurrencyWindow()
	b.order()[1].StartedAt = b.now
	reportLoad(b, b.order()[0], 20, report(900, 1, 3))
	reportLoad(b, b.order()[1], 20, report(100, 1, 3))
	if scale := b.concurrencyWindow() / b.warmedUpWeight() * 12 / before; scale < 0.99 {
		t.Errorf("ratio of the windows per warmed-up server, after to before: got %v, want at least 0.99", scale)
	}
}

// A server whose mean utilization is below targetUtilization is full at times and idle at times. The window
// follows the mean, because single reports would move it down more than up.
func TestWindowFollowsMeanUtilization(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	reportLoad(b, b.order()[0], 5, report(100, 0.5, 10))
	before := b.concurrencyWindow()
	for i := range 60 {
		b.window.capacityWanted = true
		reportLoad(b, b.order()[0], 1, report(100, []float64{0.4, 1}[i%2], 10))
	}
	if b.concurrencyWindow() < before {
		t.Errorf("window with servers that are 0.7 busy on average: went from %v to %v, want no decrease",
			before, b.concurrencyWindow())
	}
}

// The window is the node's share of what all nodes may have in flight, and at least one attempt.
func TestWindowSizeIsTheNodesShare(t *testing.T) {
	for _, c := range []struct {
		scale, weight float64
		nodes         int
		want          float64
	}{
		{1, 40, 40, initialReportedLimit},
		{1, 40, 10, 4 * initialReportedLimit},
		{0.5, 40, 40, initialReportedLimit / 2},
		{1, 0, 40, 1},
		{1, 1, 1000, 1},
	} {
		w := concurrencyWindow{scale: c.scale}
		if got := w.size(c.weight, c.nodes); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("scale %v, %v servers, %d nodes: got a window of %v, want %v",
				c.scale, c.weight, c.nodes, got, c.want)
		}
	}
}
