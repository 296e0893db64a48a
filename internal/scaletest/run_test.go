package scaletest

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"sloerail/internal/node"
	"sloerail/internal/registry"
	"sloerail/internal/simulation"
	"sloerail/policy"
)

// smallScenario returns a scenario that runs for a few seconds and measures hollow nodes (a node's code in this process,
// without sockets for requests).
func smallScenario(d Dimension, sizes ...int) Scenario {
	return Scenario{Name: "small", Dimension: d, Sizes: sizes, Runs: 1, Seed: 1, MaxDuration: simulation.Duration{Duration: time.Minute},
		Span: simulation.Duration{Duration: 500 * time.Millisecond}, Target: 1000,
		Fixed:   FixedSizes{Servers: 20, Tenants: 10, Nodes: 3, Requests: 200, Changes: 240},
		Budgets: []Limit{{Heap.Name, 1 << 20}, {InForceP99.Name, 5000}}}
}

func TestRunMeasuresEachPoint(t *testing.T) {
	for d, want := range map[Dimension][]Measure{
		Servers: {DecisionCPU, DecisionP99, ListChangeCPU, StartCPU, Heap, Resident, ListBytes},
		Tenants: {DecisionCPU, ConfigCPU, Heap, ConfigBytes},
	} {
		s := smallScenario(d, 10, 20, 40, 80, 160)
		r, err := Run(t.Context(), s, Options{MaxSize: 40})
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Sizes(); !slices.Equal(got, []int{10, 20, 40}) || r.Stopped != "" {
			t.Errorf("dimension %s: sizes %v, stopped %q, want sizes 10, 20 and 40 and no stop", d, got, r.Stopped)
		}
		for _, m := range want {
			for _, size := range r.Sizes() {
				if v := r.Values(m, Hollow, size); len(v) != 1 || v[0] <= 0 {
					t.Errorf("%s %d: measure %s: got values %v, want one above 0", d, size, m.Name, v)
				}
			}
		}
	}
}

func TestWatchersApplyEveryChange(t *testing.T) {
	r, err := Run(t.Context(), smallScenario(Nodes, 1, 3, 4, 5, 6), Options{MaxSize: 3})
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{1, 3} {
		if missed := r.Values(ChangesMissed, Hollow, size); !slices.Equal(missed, []float64{0}) {
			t.Errorf("%d nodes: changes missed: got %v, want a single value of 0", size, missed)
		}
		for _, m := range []Measure{InForceP50, InForceLast, ReceivedBytes, SentBytes, SentMessages, ReceivedMessages, Heap, RegistryResident} {
			if v := r.Values(m, Hollow, size); len(v) != 1 || v[0] <= 0 {
				t.Errorf("%d nodes: measure %s: got values %v, want one above 0", size, m.Name, v)
			}
		}
	}
}

func TestNodesOutliveTheRegistryAndApplyLaterChanges(t *testing.T) {
	s := smallScenario(Nodes, 2, 3, 4, 5, 6)
	s.Fault, s.Outage.Duration, s.Span.Duration = ReplicasDown, 300*time.Millisecond, 2500*time.Millisecond
	r, err := Run(t.Context(), s, Options{MaxSize: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []Measure{ChangesMissed, ServersRemoved} {
		if v := r.Values(m, Hollow, 2); !slices.Equal(v, []float64{0}) {
			t.Errorf("measure %s: got values %v, want a single value of 0", m.Name, v)
		}
	}
	for _, m := range []Measure{LeaderElectionTime, PeakCallsAfterFault, PeakBytesAfterFault, InForceLast} {
		if v := r.Values(m, Hollow, 2); len(v) != 1 || v[0] <= 0 {
			t.Errorf("measure %s: got values %v, want one above 0", m.Name, v)
		}
	}
}

func TestPeakOverMean(t *testing.T) {
	calls := func(t node.Traffic) uint64 { return t.Calls }
	steady := []node.Traffic{{Calls: 10}, {Calls: 20}, {Calls: 30}}
	if got := peakOverMean([]node.Traffic{{Calls: 5}, {Calls: 50}, {}}, steady, calls); got != 2.5 {
		t.Errorf("peak of 50 over a mean of 20: got %v, want 2.5", got)
	}
	if got := peakOverMean(steady, nil, calls); got != 0 {
		t.Errorf("peak over an empty baseline: got %v, want 0", got)
	}
}

func TestCanceledRunReturnsItsMeasurements(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	r, err := Run(ctx, smallScenario(Servers, 10, 20, 40, 80, 160), Options{Progress: func(p Progress) {
		if p.Done == 2 {
			cancel(errors.New("interrupted"))
		}
	}})
	if err != nil || !slices.Equal(r.Sizes(), []int{10, 20}) || r.Stopped != "interrupted" {
		t.Errorf("canceled after two points: sizes %v, stopped %q, error %v, want sizes 10 and 20, stop reason interrupted",
			r.Sizes(), r.Stopped, err)
	}
	r, err = Run(t.Context(), smallScenario(Servers, 10, 20, 40, 80, 160), Options{MaxDuration: time.Nanosecond})
	if err != nil || len(r.Measurements) > 0 || !strings.Contains(r.Stopped, "1ns") {
		t.Errorf("time limit of 1 ns: %d measurements, stopped %q, error %v, want none, a stop reason with the limit and no error",
			len(r.Measurements), r.Stopped, err)
	}
}

func TestComparisonGivesRatios(t *testing.T) {
	compareSmallest := func(_ context.Context, s Scenario, size, run int) ([]Measurement, error) {
		if size > 10 {
			return nil, nil
		}
		recorder := NewRecorder(string(s.Dimension), size, run, Process)
		recorder.Record(ConfigBytes, 1e9)
		return recorder.Measurements(), nil
	}
	r, err := Run(t.Context(), smallScenario(Servers, 10, 20, 40, 80, 160), Options{MaxSize: 20, Compare: compareSmallest})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Ratios) != 1 || r.Ratios[0].Size != 10 || r.Ratios[0].Ratio != 1e9/r.Values(ConfigBytes, Hollow, 10)[0] {
		t.Errorf("ratios: got %+v, want one, at size 10: 1e9 divided by the hollow node's value", r.Ratios)
	}
	failing := func(context.Context, Scenario, int, int) ([]Measurement, error) { return nil, errors.New("no process") }
	if _, err := Run(t.Context(), smallScenario(Servers, 10, 20, 40, 80, 160), Options{Compare: failing}); err == nil ||
		!strings.Contains(err.Error(), "no process") {
		t.Errorf("failing comparison: got error %v, want the comparison's error", err)
	}
}

func TestFleetDependsOnlyOnSeedAndRun(t *testing.T) {
	list := func(seed uint64, run int) string {
		f := newFleet(FixedSizes{Servers: 50, Tenants: 2, Nodes: 1}, t.TempDir(), seed, run)
		return string(encodeList(1, true, f.servers()...))
	}
	first, again := list(1, 1), list(1, 1)
	if first != again {
		t.Error("two fleets of the same seed and run have different lists")
	}
	if first == list(2, 1) || first == list(1, 2) {
		t.Error("fleets of different seeds or runs have the same list")
	}
}

func TestTrackerCountsEachChangeOfTheSpanAtEachNode(t *testing.T) {
	c := newChangeTracker(2, 100)
	c.begin(5)
	c.changeDue(time.Now())
	c.changeDue(time.Now())
	receive := func(node int, kind policy.ListKind, changes ...int) {
		l := policy.EndpointList{Kind: kind}
		for _, change := range changes {
			l.Endpoints = append(l.Endpoints, policy.Endpoint{Cell: changeCell(change)})
		}
		c.listReceived(node, l)
	}
	receive(0, policy.ListReplace, 4)
	receive(0, policy.ListUpdate, 4, 5, 6) // change 4 precedes the first that counts
	receive(1, policy.ListUpdate, 5)
	if got, missed := c.delays().TotalCount(), c.missed(0); got != 3 || missed != 1 {
		t.Errorf("after deltas to both nodes: %d in force, %d missed, want 3 and 1", got, missed)
	}
	receive(1, policy.ListReplace, 5, 6) // changes in a whole list count too; node 1 already has change 5
	if missed := c.missed(0); missed != 0 {
		t.Errorf("after a whole list with the last change: %d missed, want 0", missed)
	}
}

func TestLaterChangeOfTheSameServerSupersedesTheEarlier(t *testing.T) {
	c := newChangeTracker(1, 3)
	for range 7 { // changes of servers 0, 1, 2, 0, 1, 2, 0
		c.changeDue(time.Now())
	}
	c.listReceived(0, policy.EndpointList{Kind: policy.ListUpdate, Endpoints: []policy.Endpoint{{Cell: changeCell(6)}, {Cell: changeCell(1)}}})
	if missed := c.missed(0); missed != 3 { // changes 2, 4 and 5
		t.Errorf("after changes 6 and 1 are in force: %d missed, want 3", missed)
	}
}

func TestRefusedChangesAreNeitherFailedNorMissed(t *testing.T) {
	overloaded := registry.StatusError{StatusCode: http.StatusServiceUnavailable}
	if !isOverloaded(fmt.Errorf("registering: %w", overloaded)) || isOverloaded(registry.StatusError{StatusCode: http.StatusBadRequest}) ||
		isOverloaded(nil) || isOverloaded(context.Canceled) {
		t.Error("isOverloaded: want true for status 503 only, not for other statuses, other errors or nil")
	}
	c := newChangeTracker(2, 100)
	c.changeDue(time.Now())
	c.changeDue(time.Now())
	if missed := c.missed(1); missed != 2 {
		t.Errorf("one of two changes refused, two nodes: %d missed, want 2", missed)
	}
}

func TestWriteChangesWithNegativeSpanWritesNone(t *testing.T) {
	w := &watchedRegistry{point: &point{fixed: FixedSizes{Changes: 60}}}
	err := w.writeChanges(t.Context(), -time.Second, func(time.Time) { t.Error("onDue was called in a negative span") })
	if err != nil || w.changes != 0 {
		t.Errorf("negative span: %d changes, error %v, want none", w.changes, err)
	}
}

func TestPlotShowsLawsAndLimit(t *testing.T) {
	r := &Report{Scenario: smallScenario(Servers, 10, 20, 40, 80, 160)}
	for _, size := range r.Scenario.Sizes {
		for run := 1; run <= 3; run++ {
			point := NewRecorder(string(Servers), size, run, Hollow)
			point.Record(Heap, float64(1000+50*size+run))
			point.Record(Refused, 0)
			r.Measurements = append(r.Measurements, point.Measurements()...)
		}
	}
	r.fit()
	if len(r.Laws) != 1 || r.Laws[0].Law != Linear || r.Laws[0].Reaches < 10_000 {
		t.Fatalf("laws: got %+v, want a linear law of the heap that reaches its budget above size 10,000", r.Laws)
	}
	var svg bytes.Buffer
	if err := r.WriteSVG(&svg); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for d := xml.NewDecoder(&svg); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if data, ok := token.(xml.CharData); ok {
			text.Write(data)
		}
	}
	for _, want := range []string{"heap (hollow): linear", "budget", "target"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("plot lacks the text %q", want)
		}
	}
	if err := (&Report{}).WriteSVG(io.Discard); err == nil {
		t.Error("WriteSVG of an empty report: got no error, want one")
	}
}

func TestListChangesDrainAndRestoreServers(t *testing.T) {
	sizes := FixedSizes{Servers: 10, Tenants: 1, Nodes: 1, Requests: 1}
	p := &point{fixed: sizes, fleet: newFleet(sizes, t.TempDir(), 1, 1), record: NewRecorder(string(Servers), 10, 1, Hollow)}
	n, err := p.newSteppedNode()
	if err != nil {
		t.Fatal(err)
	}
	for i, change := range p.listChanges(n, 6) {
		if err := n.ApplyList(change); err != nil {
			t.Fatal(err)
		}
		if got, want := n.Unavailable(), (i+1)%2; got != want {
			t.Errorf("after change %d: %d servers unavailable, want %d", i, got, want)
		}
	}
}
