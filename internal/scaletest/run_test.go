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

// small is a scenario that takes little.
func small(d Dimension, sizes ...int) Scenario {
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
		s := small(d, 10, 20, 40, 80, 160)
		r, err := Run(t.Context(), s, Options{MaxSize: 40})
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Sizes(); !slices.Equal(got, []int{10, 20, 40}) || r.Stopped != "" {
			t.Errorf("%s: sizes %v, stopped %q", d, got, r.Stopped)
		}
		for _, m := range want {
			for _, size := range r.Sizes() {
				if v := r.Values(m, Hollow, size); len(v) != 1 || v[0] <= 0 {
					t.Errorf("%s %d: %s: %v", d, size, m.Name, v)
				}
			}
		}
	}
}

func TestWatchersApplyEveryChange(t *testing.T) {
	r, err := Run(t.Context(), small(Nodes, 1, 3, 4, 5, 6), Options{MaxSize: 3})
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{1, 3} {
		if missed := r.Values(ChangesMissed, Hollow, size); !slices.Equal(missed, []float64{0}) {
			t.Errorf("%d nodes: %v changes missed", size, missed)
		}
		for _, m := range []Measure{InForceP50, InForceLast, ReceivedBytes, SentBytes, SentWrites, ReceivedReads, Heap, RegistryResident} {
			if v := r.Values(m, Hollow, size); len(v) != 1 || v[0] <= 0 {
				t.Errorf("%d nodes: %s: %v", size, m.Name, v)
			}
		}
	}
}

func TestNodesOutliveTheRegistryAndApplyLaterChanges(t *testing.T) {
	s := small(Nodes, 2, 3, 4, 5, 6)
	s.Fault, s.Outage.Duration, s.Span.Duration = ReplicasDown, 300*time.Millisecond, 2500*time.Millisecond
	r, err := Run(t.Context(), s, Options{MaxSize: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []Measure{ChangesMissed, ServersRemoved} {
		if v := r.Values(m, Hollow, 2); !slices.Equal(v, []float64{0}) {
			t.Errorf("%s: %v, want none", m.Name, v)
		}
	}
	for _, m := range []Measure{LeaderAgain, ReturnCalls, ReturnBytes, InForceLast} {
		if v := r.Values(m, Hollow, 2); len(v) != 1 || v[0] <= 0 {
			t.Errorf("%s: %v", m.Name, v)
		}
	}
}

func TestOverMeanIsTheBusiestWindowOverTheMean(t *testing.T) {
	calls := func(t node.Traffic) uint64 { return t.Calls }
	steady := []node.Traffic{{Calls: 10}, {Calls: 20}, {Calls: 30}}
	if got := overMean([]node.Traffic{{Calls: 5}, {Calls: 50}, {}}, steady, calls); got != 2.5 {
		t.Errorf("got %v, want 2.5", got)
	}
	if got := overMean(steady, nil, calls); got != 0 {
		t.Errorf("over no mean: %v", got)
	}
}

func TestCancelledRunReturnsItsMeasurements(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	r, err := Run(ctx, small(Servers, 10, 20, 40, 80, 160), Options{Progress: func(p Progress) {
		if p.Done == 2 {
			cancel(errors.New("interrupted"))
		}
	}})
	if err != nil || !slices.Equal(r.Sizes(), []int{10, 20}) || r.Stopped != "interrupted" {
		t.Errorf("sizes %v, stopped %q, %v", r.Sizes(), r.Stopped, err)
	}
	r, err = Run(t.Context(), small(Servers, 10, 20, 40, 80, 160), Options{MaxDuration: time.Nanosecond})
	if err != nil || len(r.Measurements) > 0 || !strings.Contains(r.Stopped, "1ns") {
		t.Errorf("out of time: %d measurements, stopped %q, %v", len(r.Measurements), r.Stopped, err)
	}
}

func TestComparisonGivesRatios(t *testing.T) {
	atSmallest := func(_ context.Context, s Scenario, size, run int) ([]Measurement, error) {
		if size > 10 {
			return nil, nil
		}
		beside := NewRecorder(string(s.Dimension), size, run, Process)
		beside.Record(ConfigBytes, 1e9)
		return beside.Measurements(), nil
	}
	r, err := Run(t.Context(), small(Servers, 10, 20, 40, 80, 160), Options{MaxSize: 20, Compare: atSmallest})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Ratios) != 1 || r.Ratios[0].Size != 10 || r.Ratios[0].Ratio != 1e9/r.Values(ConfigBytes, Hollow, 10)[0] {
		t.Errorf("ratios %+v", r.Ratios)
	}
	failing := func(context.Context, Scenario, int, int) ([]Measurement, error) { return nil, errors.New("no process") }
	if _, err := Run(t.Context(), small(Servers, 10, 20, 40, 80, 160), Options{Compare: failing}); err == nil ||
		!strings.Contains(err.Error(), "no process") {
		t.Errorf("a failure beside: %v", err)
	}
}

func TestSeedMakesTheFleet(t *testing.T) {
	list := func(seed uint64, run int) string {
		f := newFleet(FixedSizes{Servers: 50, Tenants: 2, Nodes: 1}, t.TempDir(), seed, run)
		return string(encodeList(1, true, f.servers()...))
	}
	first, again := list(1, 1), list(1, 1)
	if first != again {
		t.Error("the same seed and run made another list")
	}
	if first == list(2, 1) || first == list(1, 2) {
		t.Error("another seed or run made the same list")
	}
}

func TestTrackerCountsEachChangeOfTheSpanAtEachNode(t *testing.T) {
	c := newChangeTracker(2, 100)
	c.begin(5)
	c.changeDue(time.Now())
	c.changeDue(time.Now())
	take := func(node int, kind policy.ListKind, changes ...int) {
		l := policy.EndpointList{Kind: kind}
		for _, change := range changes {
			l.Endpoints = append(l.Endpoints, policy.Endpoint{Cell: changeCell(change)})
		}
		c.listReceived(node, l)
	}
	take(0, policy.ListReplace, 4)
	take(0, policy.ListUpdate, 4, 5, 6) // 4 was made before
	take(1, policy.ListUpdate, 5)
	if got, missed := c.times().TotalCount(), c.missed(0); got != 3 || missed != 1 {
		t.Errorf("%d in force, %d missed; want 3 and 1", got, missed)
	}
	take(1, policy.ListReplace, 5, 6) // a whole list has a change as well, and 5 was in force
	if missed := c.missed(0); missed != 0 {
		t.Errorf("%d missed", missed)
	}
}

func TestLaterChangeOfTheSameServerSupersedesTheEarlier(t *testing.T) {
	c := newChangeTracker(1, 3)
	for range 7 { // of servers 0, 1, 2, 0, 1, 2, 0
		c.changeDue(time.Now())
	}
	c.listReceived(0, policy.EndpointList{Kind: policy.ListUpdate, Endpoints: []policy.Endpoint{{Cell: changeCell(6)}, {Cell: changeCell(1)}}})
	if missed := c.missed(0); missed != 3 { // 2, 4 and 5
		t.Errorf("%d missed, want 3", missed)
	}
}

func TestRejectedChangesAreNeitherFailedNorMissed(t *testing.T) {
	turnedAway := registry.StatusError{StatusCode: http.StatusServiceUnavailable}
	if !isOverloaded(fmt.Errorf("registering: %w", turnedAway)) || isOverloaded(registry.StatusError{StatusCode: http.StatusBadRequest}) ||
		isOverloaded(nil) || isOverloaded(context.Canceled) {
		t.Error("a service that has no room is told from other failures by its status")
	}
	c := newChangeTracker(2, 100)
	c.changeDue(time.Now())
	c.changeDue(time.Now())
	if missed := c.missed(1); missed != 2 {
		t.Errorf("one of two refused at two nodes: %d missed, want 2", missed)
	}
}

func TestNoChangeIsMadeInASpanThatIsOver(t *testing.T) {
	w := &watchedRegistry{point: &point{fixed: FixedSizes{Changes: 60}}}
	err := w.writeChanges(t.Context(), -time.Second, func(time.Time) { t.Error("a change was due") })
	if err != nil || w.changes != 0 {
		t.Errorf("%d changes, %v", w.changes, err)
	}
}

func TestPlotShowsLawsAndLimit(t *testing.T) {
	r := &Report{Scenario: small(Servers, 10, 20, 40, 80, 160)}
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
		t.Fatalf("laws %+v", r.Laws)
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
			t.Errorf("the plot lacks %q", want)
		}
	}
	if err := (&Report{}).WriteSVG(io.Discard); err == nil {
		t.Error("a plot of nothing")
	}
}

func TestListChangesDrainAndBringBack(t *testing.T) {
	held := FixedSizes{Servers: 10, Tenants: 1, Nodes: 1, Requests: 1}
	p := &point{fixed: held, fleet: newFleet(held, t.TempDir(), 1, 1), record: NewRecorder(string(Servers), 10, 1, Hollow)}
	n, err := p.newStepped()
	if err != nil {
		t.Fatal(err)
	}
	for i, change := range p.listChanges(n, 6) {
		if err := n.TakeList(change); err != nil {
			t.Fatal(err)
		}
		if got, want := n.Unavailable(), (i+1)%2; got != want {
			t.Errorf("after change %d: %d servers avoided, want %d", i, got, want)
		}
	}
}
