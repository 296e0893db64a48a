package simulation

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloerail/internal/golden"
)

// goldenScenario returns a scenario with every key and every kind of fault.
func goldenScenario() Scenario {
	reports := false
	s := Scenario{Name: "golden", Description: "every key", Length: Duration{90 * time.Second}, Rate: 12.5, WorkScale: 1.25, Topology: true, Quota: 400,
		Reports: &reports, Zones: []Zone{{"a", "east", 6, 2}, {"b", "west", 3, 1}},
		Bindings: []ClassBinding{{Class: "bill-charge", Regions: []string{"east"}, Zones: []string{"a"}}}}
	for i, kind := range []FaultKind{Crash, CrashRestart, ConnectTimeout, ResponseLost, Partition, Errors, Slow, Unlisted, Drain, NodesDown, LoadIncrease} {
		s.Faults = append(s.Faults, Fault{At: Duration{time.Duration(i) * time.Second}, Length: Duration{1500 * time.Millisecond}, Kind: kind,
			Zone: "a", Fraction: 0.5, Factor: 2.5, RepeatEvery: Duration{10 * time.Second}, Repeats: 3})
	}
	return s
}

func TestScenarioFormatIsFrozen(t *testing.T) {
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
		t.Errorf("parsed golden scenario: got %+v, want the value that was written", read)
	}
	if got, want := len(goldenScenario().Faults), len(faultKinds); got != want {
		t.Errorf("kinds of fault in the golden scenario: got %d, want %d", got, want)
	}
}

// goldenOutcome returns an outcome with every key.
func goldenOutcome() Outcome {
	totals := Totals{Requests: 10, InTime: 7, Late: 1, Failed: 2, Value: 12.5, ServedValue: 8.75}
	return Outcome{
		Seconds: []Second{
			{Totals: totals, Attempts: 12, CrossZone: 3, Overloaded: 1, Utilization: 0.75, AttemptsByZone: map[string]map[string]int{"a": {"a": 9, "b": 3}},
				Work: map[string]map[string]float64{"a": {"meter-read": 1.5, "bill-charge": 0.5}}},
			newSecond(),
		},
		Classes:  map[string]Totals{"meter-read": totals},
		Timeline: []TimelineEntry{{At: 1.25, Node: "n0", Text: "place a is left: 5 of 6 ill"}},
		Broken:   1, BrokenRules: []string{"1.000 s: c1: a second final answer, 200"}, InvalidSends: 4,
		AttemptsByZone: map[string]map[string]int{"meter-read": {"a": 9, "b": 3}},
		Interrupted:    5, Cores: map[string]float64{"a": 75.6},
	}
}

func TestOutcomeFormatIsFrozen(t *testing.T) {
	const file = "outcome.json"
	raw, err := json.Marshal(goldenOutcome())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, file, raw)
	var read Outcome
	if err := json.Unmarshal(golden.Read(t, file), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, goldenOutcome()) {
		t.Errorf("decoded golden outcome: got %+v, want the value that was written", read)
	}
}

// A scenario and a seed give the same outcome in all versions, byte for byte. Log lines of nodes are left out.
func TestSeededOutcomeIsFrozen(t *testing.T) {
	s, err := Read("zone-errors")
	if err != nil {
		t.Fatal(err)
	}
	s.Length = Duration{4 * time.Second}
	s.Faults[0].At = Duration{time.Second}
	sim, err := New(s, 39)
	if err != nil {
		t.Fatal(err)
	}
	outcome := sim.Run()
	outcome.Timeline = slices.DeleteFunc(outcome.Timeline, func(entry TimelineEntry) bool { return entry.Node != "" }) // the texts may change
	raw, err := json.Marshal(outcome)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "played.json", raw)
}

func TestPairFormatIsFrozen(t *testing.T) {
	pair := Pair{Scenario: "calm", Ours: []float64{1}, Theirs: []float64{2}, Mean: 0.5, HalfInterval: 0.25, P: 0.125, OurG: 0.75, TheirG: 0.625,
		OurBroken: 1, TheirBroken: 2}
	raw, err := json.Marshal([]Pair{pair})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "pairs.json", raw)
}
