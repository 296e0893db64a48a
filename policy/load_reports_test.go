package policy

import (
	"math"
	"testing"
)

// startLargeFleet returns a node of a fleet of many nodes whose servers report their load.
func startLargeFleet(t *testing.T, nodes int, list []Endpoint) *Balancer {
	t.Helper()
	set := testSettings(nodes)
	set.ReportFields = []string{"latency_ms", "util", "qps"}
	return startBalancer(t, set, list)
}

func report(latency, util, rate float64) []float64 { return []float64{latency, util, rate} }

// reportLoad hands the node n responses of a server with the same report, each 100 ms after the previous one.
func reportLoad(b *Balancer, s *server, n int, row []float64) {
	for range n {
		b.now += 100 * ms
		b.onLoadReport(s, row)
	}
}

// Limits follow the reported service rates. They don't follow the latency, which grows with the load.
func TestLimitsFollowReportedServiceRates(t *testing.T) {
	list := testEndpoints(12)
	for i := range list {
		list[i].Kind = []string{"big", "small"}[i%2]
	}
	b := startLargeFleet(t, 40, list)
	big, small := b.servers["s00"], b.servers["s01"]
	if b.effectiveLimit(big) != b.effectiveLimit(small) {
		t.Fatalf("limits before any report: got %v and %v, want them equal", b.effectiveLimit(big),
			b.effectiveLimit(small))
	}
	reportLoad(b, big, 30, report(100, 0.5, 30))
	reportLoad(b, small, 30, report(400, 0.5, 10))
	if got := b.effectiveLimit(big) / b.effectiveLimit(small); math.Abs(got-3) > 0.1 {
		t.Errorf("limit of a server with 3 times the service rate: got %v times the other limit, want 3", got)
	}
	if got := b.effectiveLimit(b.servers["s02"]) / b.effectiveLimit(b.servers["s03"]); math.Abs(got-3) > 0.1 {
		t.Errorf("limits of servers without reports: got a ratio of %v, want 3, the ratio of their kinds", got)
	}
}

// Reports with missing or implausible values and reports of idle servers are ignored.
func TestImplausibleReportsAreIgnored(t *testing.T) {
	b := startLargeFleet(t, 40, testEndpoints(12))
	s := b.order()[0]
	reportLoad(b, s, 3, report(100, 0.5, 10))
	limit, window := b.effectiveLimit(s), b.concurrencyWindow()
	nan, inf := math.NaN(), math.Inf(1)
	for _, row := range [][]float64{nil, {1}, report(nan, 1, 1), report(100, nan, 10), report(100, 0.5, nan),
		report(100, 0.5, inf), report(100, inf, 10), report(-1, 0.5, 10), report(100, 0, 0), report(100, 40, 10)} {
		b.window.capacityWanted = true
		reportLoad(b, s, 1, row)
		if b.effectiveLimit(s) != limit || b.concurrencyWindow() != window {
			t.Errorf("report %v changed the limit from %v to %v and the window from %v to %v, want no change",
				row, limit, b.effectiveLimit(s), window, b.concurrencyWindow())
		}
	}
}

// A report is valid if it contains all required values, in any order.
func TestLoadReportsAreParsed(t *testing.T) {
	var l loadReports
	if l.configure([]string{"qps", "latency_ms"}); l.hasRequiredFields() {
		t.Error("hasRequiredFields returns true for reports without utilization")
	}
	if l.configure([]string{"qps", "other", "latency_ms", "util"}); !l.hasRequiredFields() {
		t.Fatal("hasRequiredFields returns false for reports with all values")
	}
	got, valid := l.parse([]float64{12, -1, 150, 0.5})
	if want := (loadReport{latency: 0.15, utilization: 0.5, rate: 12}); got != want || !valid {
		t.Errorf("parsed report: got %+v, valid %v; want %+v, valid true", got, valid, want)
	}
	if _, valid := l.parse([]float64{12, -1, 150}); valid {
		t.Error("report with a missing value is valid")
	}
}

// A server keeps its full limit up to the target utilization and up to twice the latency of its kind. Above
// either, its limit falls, but not below minLimitScale times the full limit. Far above both, it counts as
// overloaded.
func TestLimitScale(t *testing.T) {
	kind := &serverLoad{samples: 1, rate: 10, latency: 0.1}
	for _, c := range []struct {
		latency, utilization, scale float64
		overloaded                  bool
	}{
		{0.1, 0.5, 1, false},
		{0.2, targetUtilization, 1, false},
		{0.4, targetUtilization, 0.5, false},
		{0.1, 0.9, 0.6, false},
		{0.1, 1.4, minLimitScale, false},
		{0.5, 0.9, 0.4, true},
	} {
		report := loadReport{latency: c.latency, utilization: c.utilization, rate: 5}
		if got := kind.limitScale(report); math.Abs(got-c.scale) > 1e-9 {
			t.Errorf("limit scale for report %+v: got %v, want %v", report, got, c.scale)
		}
		if got := kind.isOverloaded(report); got != c.overloaded {
			t.Errorf("overloaded by report %+v: got %v, want the opposite", report, got)
		}
	}
}
