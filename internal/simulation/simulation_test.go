package simulation

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"sloerail/policy"
)

// A sample of the measures of docs/zones.md, on one seed: all of them take minutes.
func TestZonesAreEvacuatedAndReturnedTo(t *testing.T) {
	var few []Measure
	for _, m := range ZoneMeasures() {
		if slices.Contains([]string{"calm", "zone-lost", "zone-cold", "zone-errors", "zone-slow", "all-slow", "one-bad"}, m.Scenario) {
			few = append(few, m)
		}
	}
	rows, err := MeasureZones(few, []uint64{2}, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if !r.Reached() {
			t.Errorf("%s: %v, want %v to %v; rules broken: %d", r.Name, r.WithTopology, r.Min, r.Max, r.Broken)
		}
	}
}

// A seed gives the same run each time, so that a finding can be reproduced.
func TestSameSeedGivesTheSameOutcome(t *testing.T) {
	for _, name := range []string{"zone-errors", "zone-lost", "zone-nodes"} {
		var runs [2][]byte
		for i := range runs {
			r, err := playOnce(name, 5, true)
			if err != nil {
				t.Fatal(err)
			}
			if runs[i], err = json.Marshal(r.Outcome); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(runs[0], runs[1]) {
			t.Errorf("%s: two runs of one seed differ", name)
		}
	}
}

// A class that is bound to a region never leaves it, also while all its servers are gone.
func TestBoundClassNeverLeavesItsRegion(t *testing.T) {
	s, err := Read("bound")
	if err != nil {
		t.Fatal(err)
	}
	s.WorkScale, s.Length = 0.5, Duration{35 * time.Second}
	w, err := New(s, 2)
	if err != nil {
		t.Fatal(err)
	}
	out := w.Run()
	for zone, by := range out.AttemptsByZone["bill-charge"] {
		if zone != "c" && by > 0 {
			t.Errorf("%d attempts of the bound class went to zone %s", by, zone)
		}
	}
	if out.AttemptsByZone["bill-charge"]["c"] == 0 || out.Broken > 0 {
		t.Errorf("sent %v, rules broken: %q", out.AttemptsByZone, out.BrokenRules)
	}
	after := out.Between(32*time.Second, 35*time.Second)
	if after.ServedFraction() < 0.9 {
		t.Errorf("served %.2f of the value once the region was back", after.ServedFraction())
	}
}

// An invalid scenario is an error that names the key.
func TestInvalidScenariosAreRejectedByName(t *testing.T) {
	const zones = "for = \"3s\"\nrate = 5.0\nzones = [{name = \"a\", boxes = 1, nodes = 1}]\n"
	for text, want := range map[string]string{
		"rate = 1.0":                                  "nodes",
		zones + "colour = 3":                          "unknown key colour",
		zones + "work = -1.0":                         "work",
		strings.Replace(zones, "3s", "3 s", 1):        "duration",
		strings.Replace(zones, "3s", "300h", 1):       "for",
		zones + "faults = [{do = \"melt\"}]":          "faults[0].do",
		zones + "faults = [{do = \"slow\"}]":          "times",
		zones + "faults = [{do=\"lost\",zone=\"z\"}]": "there is no zone",
		zones + "faults = [{do=\"lost\",count=2}]":    "every",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want an error that names %s", text, err, want)
		}
	}
	if _, err := Read("no-such"); err == nil || !strings.Contains(err.Error(), "zone-lost") {
		t.Errorf("an unknown name: %v, want those that there are", err)
	}
}

// BenchmarkDecision is the cost of a request and its answer, in 300 nodes and 60 zones, with places and without.
func BenchmarkDecision(b *testing.B) {
	for name, places := range map[string]bool{"places": true, "none": false} {
		b.Run(name, func(b *testing.B) {
			s := Scenario{Length: Duration{time.Second}, Rate: 1, WorkScale: 1, Topology: places}
			for i := range 60 {
				s.Zones = append(s.Zones, Zone{Name: string(rune('A' + i)), Region: string(rune('a' + i%6)), Servers: 3, Nodes: 5})
			}
			w, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			m, now := w.nodes[0].balancer, w.now
			for i := 0; b.Loop(); i++ {
				now += 10 * time.Millisecond
				id := "r" + string(rune(i%1000+0x1000))
				acts := m.Handle(now, policy.Request{ID: id, Class: "meter-read", Tenant: "east", Timeout: time.Second})
				server := ""
				for _, a := range acts {
					if a.Kind == policy.Send {
						server = a.Server
					}
				}
				if server != "" {
					m.Handle(now+5*time.Millisecond, policy.Outcome{ID: id, Server: server, Code: policy.OK,
						Latency: 5 * time.Millisecond, RequestEnded: true, LoadReport: []float64{200, 0.5, 20}})
				}
			}
		})
	}
}
