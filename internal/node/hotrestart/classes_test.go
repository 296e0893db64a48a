package hotrestart

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

func testClassPeriods() []ClassPeriod {
	return []ClassPeriod{
		{Remaining: 300 * time.Millisecond, Classes: []policy.AcceptedClass{
			{Class: policy.Class{Name: "read", Deadline: 3 * time.Second, RetrySafety: policy.Idempotent}, MaxAttempts: 2},
		}},
		{Remaining: time.Second, Classes: []policy.AcceptedClass{
			{MaxAttempts: 6, Class: policy.Class{Name: "order", LatencyObjective: time.Second, ObjectivePerWork: 1.5,
				Deadline: 2 * time.Second, RetrySafety: policy.IdempotencyKeyed, DedupScope: policy.DedupPerZone,
				DedupWindow: 12 * time.Second, LateWeight: 0.5, PriorityWeight: 2, Streaming: true, Kinds: []string{"k"},
				Zones: []string{"a"}, Regions: []string{"north"}}},
			{Class: policy.Class{Name: "charge", Deadline: time.Second}},
		}},
	}
}

// Former classes are handed over whole. Other versions of the program read their JSON, so the golden file must not be
// regenerated.
func TestFormerClassesAreHandedOver(t *testing.T) {
	var state State
	state.SetFormerClasses(testClassPeriods())
	raw, err := json.Marshal(state.FormerPeriods)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.AssertEqualBytes(t, "former classes", raw, bytes.TrimSpace(nodetest.ReadGolden(t, "handover_former_classes.json")))
	var read State
	if err := json.Unmarshal(raw, &read.FormerPeriods); err != nil {
		t.Fatal(err)
	}
	if got := read.FormerClasses(); !reflect.DeepEqual(got, testClassPeriods()) {
		t.Errorf("got %+v, want the classes that were handed over", got)
	}
	fields := reflect.TypeFor[policy.AcceptedClass]().NumField() + reflect.TypeFor[policy.Class]().NumField() - 1
	if n := reflect.TypeFor[classState]().NumField(); n != fields {
		t.Errorf("fields of a class that are handed over: got %d, want all %d", n, fields)
	}
}

// A value that only another version knows is taken for the strictest one.
func TestUnknownRetrySafetyIsTheStrictest(t *testing.T) {
	var state State
	raw := `{"FormerPeriods":[{"RemainingMillis":1,"Classes":[{"Name":"c","RetrySafety":9,"DedupScope":9,"Later":1}]}]}`
	if err := json.Unmarshal([]byte(raw), &state); err != nil {
		t.Fatal(err)
	}
	c := state.FormerClasses()[0].Classes[0]
	if c.RetrySafety != policy.NonIdempotent || c.DedupScope != policy.DedupPerCell {
		t.Errorf("got retry safety %d and dedup scope %d, want the strictest ones", c.RetrySafety, c.DedupScope)
	}
}
