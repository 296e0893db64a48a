package policy

import (
	"fmt"
	"testing"
	"time"
)

// benchSizes are the numbers of servers at which the cost of a decision and of a list change is measured.
var benchSizes = []int{100, 1000, 10000, 50000}

// benchDeployment is a kind of deployment, described by what affects the cost of a decision.
type benchDeployment struct {
	name            string
	nodes           int
	requestInterval time.Duration // between two requests at this node
	reports         bool          // servers report their load
	zones           bool          // the settings name zones, and two classes are restricted
}

var benchDeployments = []benchDeployment{
	{name: "one-node", nodes: 1, requestInterval: ms},
	{name: "many-nodes", nodes: 300, requestInterval: 20 * ms, zones: true},
	{name: "many-nodes-reports", nodes: 300, requestInterval: 20 * ms, reports: true, zones: true},
}

func (s benchDeployment) settings() Settings {
	set := testSettings(s.nodes)
	set.Tenants = []Tenant{{Name: "t", Quota: 1e9}}
	if s.reports {
		set.ReportFields = []string{reportLatency, reportUtil, reportRate}
	}
	if s.zones {
		set.Topology = &Topology{RegionOfZone: map[string]string{"a": "north", "b": "north"},
			SameRegionCost: 1, OtherRegionCost: 3}
		set.Classes[1].Kinds = []string{"k1", "k2"}
		set.Classes[2].Zones = []string{"b"}
	}
	return set
}

// benchEndpoints returns n servers, one in a hundred of which is warming up during the benchmark.
func benchEndpoints(n int, now Time) []Endpoint {
	list := make([]Endpoint, 0, n)
	for i := range n {
		endpoint := Endpoint{ID: fmt.Sprintf("s%06d", i), Zone: []string{"a", "b"}[i%2], Kind: fmt.Sprint("k", i%3),
			Cell: int64(i % 4), Weight: 1}
		if i%100 == 99 {
			endpoint.StartedAt = now
		}
		list = append(list, endpoint)
	}
	return list
}

const benchStart = time.Hour // node time; late enough that no server is warming up by chance

func benchBalancer(tb testing.TB, s benchDeployment, servers int) *Balancer {
	tb.Helper()
	b, err := New(s.settings(), benchStart, 1)
	if err != nil {
		tb.Fatal(err)
	}
	b.Handle(benchStart, EndpointList{Kind: ListCached, Endpoints: benchEndpoints(servers, benchStart)})
	return b
}

// decide handles one request and its outcome, and returns the number of attempts sent.
func decide(b *Balancer, now Time, id, class string, load []float64) (sent int) {
	r := Request{ID: id, Class: class, Tenant: "t", Timeout: 600 * ms}
	for _, a := range b.Handle(now, r) {
		if a.Kind == Send {
			sent++
			b.Handle(now+ms/2, Outcome{ID: id, Server: a.Server, Code: OK, Latency: 20 * ms,
				RequestEnded: true, LoadReport: load})
		}
	}
	return sent
}

func forEachBenchDeployment(b *testing.B, run func(b *testing.B, s benchDeployment, servers int)) {
	for _, s := range benchDeployments {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("%s/servers=%d", s.name, n), func(b *testing.B) { run(b, s, n) })
		}
	}
}

// BenchmarkDecision measures one request: the selection of its server, and the outcome.
func BenchmarkDecision(b *testing.B) {
	forEachBenchDeployment(b, func(b *testing.B, s benchDeployment, servers int) {
		balancer := benchBalancer(b, s, servers)
		classes := []string{"free", "once", "all"}
		load := report(20, 0.5, 10)
		now, sent, requests := benchStart, 0, 0
		for b.Loop() {
			now += s.requestInterval
			sent += decide(balancer, now, "r", classes[requests%len(classes)], load)
			requests++
		}
		if sent < requests/2 {
			b.Fatalf("forwarded requests: got %d of %d, want at least half", sent, requests)
		}
	})
}

// BenchmarkListChange measures the change of one server in the list: it drains, or runs again.
func BenchmarkListChange(b *testing.B) {
	forEachBenchDeployment(b, func(b *testing.B, s benchDeployment, servers int) {
		balancer := benchBalancer(b, s, servers)
		list := benchEndpoints(servers, benchStart)
		now, i := benchStart, 0
		for b.Loop() {
			now += ms
			endpoint := &list[i/2*7919%servers] // steps of a prime spread the changes over the order
			endpoint.Availability = []Availability{Draining, Running}[i%2]
			balancer.Handle(now, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{*endpoint}})
			i++
		}
	})
}
