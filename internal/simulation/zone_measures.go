package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"sloerail/internal/emulator"
)

// Measure is a figure of a run that has to be within bounds.
type Measure struct {
	Name     string
	Scenario string
	Min, Max float64
	Of       func(r Run) float64
}

// Run is a scenario with its outcome.
type Run struct {
	Scenario
	*Outcome
	Baseline *Outcome // of BaselineOf the scenario, with the same seed; nil for none
}

// Times of the fault in the shipped scenarios of zones.
const (
	faultAt  = 15 * time.Second
	faultEnd = 30 * time.Second
)

// unbounded is the bound of a measure that has none.
var unbounded = math.Inf(1)

// ZoneMeasures are the requirements on the handling of zones; docs/zones.md explains them.
func ZoneMeasures() []Measure {
	measures := slices.Concat(oneZoneMeasures(), evacuationMeasures(), largeFleetMeasures())
	for _, name := range []string{"all-slow", "all-errors", "one-bad"} {
		measures = append(measures, Measure{name + ": places left meanwhile", name, 0, 0, func(r Run) float64 {
			return float64(r.evacuations(faultAt, faultEnd))
		}})
	}
	return measures
}

// oneZoneMeasures are those of the loss and return of one zone or region.
func oneZoneMeasures() []Measure {
	return []Measure{
		{"zone lost: served from 2 s on, against before", "zone-lost", 0.98, unbounded, Run.servedRatio},
		{"zone lost: requests that failed, less those under way, for each node and server", "zone-lost", -unbounded, 1, func(r Run) float64 {
			return float64(r.Between(faultAt-2*time.Second, faultEnd).Failed-r.Interrupted) / float64(r.nodesAndServers())
		}},
		{"zone lost: crossing attempts against the least possible", "zone-lost", 0, 1.15, func(r Run) float64 {
			s := r.Between(20*time.Second, faultEnd)
			return float64(s.CrossZone) / float64(sum(s.AttemptsByZone["a"]))
		}},
		{"calm: attempts that cross", "calm", 0, 0, func(r Run) float64 {
			return float64(r.Between(0, r.Length.Duration).CrossZone)
		}},
		{"overflow: crossing attempts against what is beyond 0.8 of the own zone", "overflow", 0, 1.15, overflowRatio},
		{"return: growing took, against the law", "zone-lost", 0.8, 1.2, func(r Run) float64 { return r.growthRatio("a") }},
		{"return: from the zone's return to the last whole share, s", "zone-lost", 0, unbounded, func(r Run) float64 {
			return r.lastLogged("zone a has its whole") - faultEnd.Seconds()
		}},
		{"return: requests that failed", "zone-lost", 0, 0.005, func(r Run) float64 { return r.failedFraction(faultEnd, faultEnd+15*time.Second) }},
		{"return cold: requests that failed", "zone-cold", 0, 0.005, func(r Run) float64 { return r.failedFraction(faultEnd, faultEnd+25*time.Second) }},
		{"flapping: times left by one node in a minute", "zone-flap", 0, 3, func(r Run) float64 { return float64(r.maxEvacuations()) }},
		{"flapping: served against a zone that stays away", "zone-flap", 0.95, unbounded, func(r Run) float64 {
			return r.servedFraction(faultAt, 75*time.Second) / r.Baseline.Between(faultAt, 75*time.Second).ServedFraction()
		}},
		{"region lost, room for half: worth served against the greatest possible", "region-lost", 0.9, unbounded, regionLossRatio},
		{"region lost: boxes elsewhere choked", "region-lost", 0, 0, func(r Run) float64 {
			return float64(r.Between(faultAt, 35*time.Second).Overloaded)
		}},
	}
}

// evacuationMeasures are those of zones that fail in other ways.
func evacuationMeasures() (measures []Measure) {
	for _, name := range []string{"zone-errors", "zone-slow", "zone-silent", "zone-mute"} {
		measures = append(measures, stillSent(name, "a", 5*time.Second))
	}
	for _, name := range []string{"two-in-turn", "zone-apart", "zone-vanish", "zone-drain", "large-lost"} {
		measures = append(measures, Measure{name + ": served from 2 s on, against before", name, 0.98, unbounded, Run.servedRatio})
	}
	measures = append(measures, Measure{"lost-and-load: served from 2 s on, against before, with 0.93 of what is left asked for", "lost-and-load", 0.9,
		unbounded, Run.servedRatio})
	return measures
}

// largeFleetMeasures are those of 60 zones.
func largeFleetMeasures() (measures []Measure) {
	for i, name := range []string{"large-lost", "large-errors"} {
		from := time.Duration(i+1) * 5 * time.Second // each node gets 6 responses a second
		measures = append(measures, stillSent(name, "z00", from), Measure{name + ": attempts of the other zones that cross", name, 0, 0.02,
			func(r Run) float64 {
				s := r.Between(faultAt, faultEnd)
				return float64(s.CrossZone-sum(s.AttemptsByZone["z00"])+s.AttemptsByZone["z00"]["z00"]) / float64(s.Attempts)
			}})
	}
	return measures
}

// stillSent measures the fraction of a zone's attempts that still go there, from so long after the fault on.
func stillSent(scenario, zone string, after time.Duration) Measure {
	return Measure{fmt.Sprintf("%s: share of the zone's requests still sent there from %v on", scenario, after), scenario, 0, 0.05,
		func(r Run) float64 {
			to := r.Between(faultAt+after, faultEnd).AttemptsByZone[zone]
			return float64(to[zone]) / float64(sum(to))
		}}
}

// servedRatio is the fraction served from 2 s after the fault on, over that before.
func (r Run) servedRatio() float64 {
	return r.servedFraction(faultAt+2*time.Second, faultEnd) / r.servedFraction(5*time.Second, faultAt-time.Second)
}

// BaselineOf names the scenario that the measures of another compare with; empty for none.
func BaselineOf(scenario string) string {
	if scenario == "zone-flap" {
		return "zone-away"
	}
	return ""
}

func sum(to map[string]int) (n int) {
	for _, k := range to {
		n += k
	}
	return n
}

func (r Run) servedFraction(from, to time.Duration) float64 {
	return r.Between(from, to).ServedFraction()
}

func (r Run) failedFraction(from, to time.Duration) float64 {
	s := r.Between(from, to)
	return float64(s.Failed) / float64(max(1, s.Requests))
}

// nodesAndServers is how many nodes there are and servers are affected, in all.
func (r Run) nodesAndServers() (n int) {
	for _, z := range r.Zones {
		n += z.Nodes
	}
	return n + r.Zones[0].Servers
}

// lastLogged is when a node last logged a text with this prefix, in seconds.
func (r Run) lastLogged(prefix string) (at float64) {
	for _, m := range r.Timeline {
		if strings.HasPrefix(m.Text, prefix) {
			at = m.At
		}
	}
	return at
}

// isEvacuation tells whether a node has logged that it evacuated a zone.
func (e TimelineEntry) isEvacuation() bool { return strings.Contains(e.Text, " evacuated: ") }

// evacuations counts how often nodes evacuated zones between two times.
func (r Run) evacuations(from, to time.Duration) (n int) {
	for _, entry := range r.Timeline {
		if entry.At >= from.Seconds() && entry.At < to.Seconds() && entry.isEvacuation() {
			n++
		}
	}
	return n
}

// maxEvacuations is how often the node with the most evacuations evacuated zones.
func (r Run) maxEvacuations() (highest int) {
	counts := make(map[string]int)
	for _, entry := range r.Timeline {
		if entry.isEvacuation() {
			counts[entry.Node]++
			highest = max(highest, counts[entry.Node])
		}
	}
	return highest
}

// Ramp of a zone's share after its return, by design: from rampStart to 1, growing e-fold in rampTimeConstant.
const (
	rampStart               = 1.0 / 20
	rampTimeConstantSeconds = 2
)

// growthRatio is the mean duration of the nodes' recovery ramps of a zone, over that by design.
func (r Run) growthRatio(zone string) float64 {
	began, total, ramps := make(map[string]float64), 0.0, 0 // began by node, in seconds
	for _, entry := range r.Timeline {
		switch {
		case strings.HasPrefix(entry.Text, "zone "+zone+" recovers"):
			began[entry.Node] = entry.At
		case strings.HasPrefix(entry.Text, "zone "+zone+" has its whole") && began[entry.Node] > 0:
			total = total + entry.At - began[entry.Node]
			ramps++
		}
	}
	return total / float64(max(1, ramps)) / (rampTimeConstantSeconds * math.Log(1/rampStart))
}

// overflowRatio is the cross-zone attempts over those that the own zone has no capacity for, at 0.8 of its cores.
func overflowRatio(r Run) float64 {
	const maxUtilization = 0.8
	from, to := 20*time.Second, 35*time.Second
	s := r.Between(from, to)
	work := 0.0
	for _, ofClass := range s.Work["a"] {
		work += ofClass
	}
	capacity := maxUtilization * r.Cores["a"] * (to - from).Seconds()
	excess := max(0, 1-capacity/work) * float64(sum(s.AttemptsByZone["a"]))
	return float64(s.CrossZone) / excess
}

// regionLossRatio is the value that was served over the greatest possible: the classes with the highest priority weight
// first, up to all cores of the zone that is left.
func regionLossRatio(r Run) float64 {
	from, to := faultAt+3*time.Second, 35*time.Second
	s := r.Between(from, to)
	capacity, greatest := r.Cores["c"]*(to-from).Seconds(), 0.0
	classes := emulator.Classes()
	slices.SortFunc(classes, func(a, b emulator.Class) int { return int(b.PriorityWeight - a.PriorityWeight) })
	for _, class := range classes {
		work := 0.0
		for _, byClass := range s.Work {
			work += byClass[class.Name]
		}
		served := min(work, capacity)
		capacity -= served
		greatest += served * class.PriorityWeight
	}
	return s.ServedValue / greatest
}
