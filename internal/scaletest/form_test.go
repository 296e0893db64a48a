package scaletest

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloerail/internal/golden"
	"sloerail/internal/simulation"
)

// goldenScenario returns a scenario with every key.
func goldenScenario() Scenario {
	return Scenario{Name: "golden", What: "every key", Dimension: Changes, Sizes: []int{10, 20, 40, 80, 160}, Runs: 3, Seed: 39,
		MaxDuration: simulation.Duration{Duration: 10 * time.Minute}, Span: simulation.Duration{Duration: 1500 * time.Millisecond},
		Fixed:    FixedSizes{Servers: 1000, Tenants: 50, Nodes: 20, Requests: 200.5, Changes: 0.5},
		Replicas: 3, Fault: ReplicasDown, Outage: simulation.Duration{Duration: 5 * time.Second}, Target: 20000,
		Budgets: []Limit{{Measure: "heap", Max: 1e8}, {Measure: "decision CPU", Max: 5000.5}}}
}

func TestScenarioFormatIsStable(t *testing.T) {
	const file = "scenario.toml"
	raw, err := toml.Marshal(goldenScenario())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, file, raw)
	read, err := Parse(golden.Read(t, file))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, goldenScenario()) {
		t.Errorf("scenario decoded from the golden file: got %+v, want goldenScenario()", read)
	}
}

// goldenReport returns a report with every key. Optional keys are present in one item and absent in another.
func goldenReport() Report {
	fit := Fit{Measure: Heap, Source: Hollow, Law: Power, A: 1.5, B: 2.5, P: 1.25, Points: 15, MinSize: 10, MaxSize: 160, Residual: 0.125, MaxDeviation: 0.25,
		Exponent: 1.0625, SizesOmitted: 1}
	noFit := Fit{Measure: Resident, Source: Process, Why: NoLaw}
	return Report{Scenario: goldenScenario(), Machine: Machine{Cores: 8, Memory: 1 << 35, Go: "go1.26"},
		Began: time.Date(2026, 12, 3, 4, 5, 6, 7000, time.UTC),
		Measurements: []Measurement{
			{Dimension: "changes", Size: 10, Run: 1, Source: Hollow, Value: 1024.5, Measure: Heap},
			{Dimension: "changes", Size: 10, Run: 2, Source: Process, Value: 0, Measure: InForceP99},
		},
		Ratios: []Ratio{{Measure: Heap, Size: 10, Hollow: 2, Process: 3, Ratio: 1.5}},
		Laws: []Extrapolation{{Fit: fit, Target: 20000, AtTarget: 5e6, Low: 4e6, High: 6e6, TargetFactor: 125, Limit: 1e8, Reaches: 3e5},
			{Fit: noFit}},
		NotMeasured: NotMeasured, Stopped: "context canceled"}
}

func TestReportFormatIsStable(t *testing.T) {
	const file = "report.json"
	raw, err := json.MarshalIndent(goldenReport(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, file, append(raw, '\n'))
	var read Report
	if err := json.Unmarshal(golden.Read(t, file), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, goldenReport()) {
		t.Errorf("report decoded from the golden file: got %+v, want goldenReport()", read)
	}
}

// An empty report omits its optional keys.
func TestEmptyReportFormatIsStable(t *testing.T) {
	raw, err := json.Marshal(Report{})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "empty.json", raw)
}

// Reports of different versions are compared by these names.
func TestReportNamesAreStable(t *testing.T) {
	raw, err := json.MarshalIndent(map[string]any{
		"measures": Measures(), "dimensions": measuredDimensions, "not_measured": NotMeasured, "faults": faults,
		"sources": []Source{Hollow, Process}, "laws": []Law{Constant, Logarithmic, Linear, Linearithmic, Power},
		"reasons":   []Reason{NoLaw, TooFewSizes, NotAboveZero},
		"units":     []Unit{Nanoseconds, Milliseconds, Bytes, BytesPerSecond, PerSecond, CorePercent, Percent, Count, Times},
		"scenarios": BuiltinNames(),
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "names.json", append(raw, '\n'))
}

// The registry has to accept the registrations of the writers.
func TestRegistrationFormatIsStable(t *testing.T) {
	const file = "registration.json"
	want := registration{HostPort: "10.0.0.1:8080", Locality: "region-0-zone-0", Flavor: "big-box", Cell: 7, Phase: "up", Size: 1.5, LeaseMs: 60000}
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, file, raw)
	var read registration
	if err := json.Unmarshal(golden.Read(t, file), &read); err != nil {
		t.Fatal(err)
	}
	if read != want {
		t.Errorf("registration decoded from the golden file: got %+v, want the encoded one", read)
	}
}
